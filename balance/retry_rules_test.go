package balance

import (
	"fmt"
	"testing"
)

// TestWhatMayFollowAnAttempt checks the reaction to the end of a first attempt for each idempotency, deduplication
// scope and result, within the idempotency window and after it: a retry, a rejection or a failure.
func TestWhatMayFollowAnAttempt(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellScopeClass, allScopeClass, zoneScopeClass} {
		for _, result := range []Result{Failed, Overloaded, TimedOut, ConnectFailed, Reset, Cancelled} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, result, late), func(t *testing.T) {
					checkFollowUp(t, class, result, late)
				})
			}
		}
	}
}

func checkFollowUp(t *testing.T, class int, result Result, late bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // a retry is useful until the deadline
		cfg.Classes[i].IdempotencyWindow = 200
	}
	h := newHarness(t, cfg, testServers(8)...)
	id, actions := h.request(class)
	first, ok := sentServer(actions)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if h.now += 100; late {
		h.now += 200
	}
	actions = h.finishAttempt(id, 0, result, 100)
	c := cfg.Classes[class]
	mayRetry := c.Idempotency == Idempotent || result.NeverExecuted() || c.Idempotency == IdempotentWithKey && !late
	second, sent := sentServer(actions)
	if sent != mayRetry {
		t.Fatalf("sent again: %v, want %v (%+v)", sent, mayRetry, actions)
	}
	if !sent {
		mayReject := c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll
		if hasAction(actions, Reject) != mayReject || hasAction(actions, Fail) == mayReject {
			t.Fatalf("rejection allowed: %v, got %+v", mayReject, actions)
		}
		return
	}
	a, b := h.balancer.serversByID[first], h.balancer.serversByID[second]
	mayHaveExecuted := !result.NeverExecuted()
	if a == b || mayHaveExecuted && class == cellScopeClass && a.Cell != b.Cell ||
		mayHaveExecuted && class == zoneScopeClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Server, a.Server)
	}
}

func TestNothingIsRejectedThatMayHaveRun(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	for _, class := range []int{nonIdempotentClass, cellScopeClass, zoneScopeClass} {
		id, _ := h.request(class)
		h.now = h.balancer.requests.open[id].deadline
		actions := h.handle(TimerFired{Token: uint64(id)})
		if hasAction(actions, Reject) || !hasAction(actions, Fail) {
			t.Errorf("class %d at its deadline with an attempt in flight: %+v", class, actions)
		}
	}
}

func TestExpiredRequestIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	actions := h.handle(Request{ID: 1, Class: nonIdempotentClass, Timeout: 0})
	if !hasAction(actions, Reject) || hasAction(actions, Send) {
		t.Fatalf("a request without time left: %+v", actions)
	}
}

func TestNoServerAvailable(t *testing.T) {
	drained := testServers(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "draining": drained} {
		h := newHarness(t, baseConfig(), servers...)
		id, actions := h.request(nonIdempotentClass)
		if hasAction(actions, Send) || !hasAction(actions, SetTimer) {
			t.Fatalf("%s server list: got %+v, want a timer and no send", name, actions)
		}
		rejected := false
		for h.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
			h.now += 10
			rejected = rejected || hasAction(h.handle(TimerFired{Token: uint64(id)}), Reject)
		}
		if !rejected || len(h.balancer.requests.open) != 0 {
			t.Fatalf("%s: rejected %v, %d requests left", name, rejected, len(h.balancer.requests.open))
		}
	}
}

func TestDrainingServerReceivesNothingNew(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(2)...)
	entry := testServers(1)[0]
	entry.State = Draining
	h.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{entry}})
	for range 20 {
		id, actions := h.request(idempotentClass)
		if s, _ := sentServer(actions); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	entry.State = Ready
	h.handle(EndpointUpdate{Kind: UpdateFull, Servers: []Server{entry}}) // the other server is not listed and thus removed
	id, actions := h.request(idempotentClass)
	if s, _ := sentServer(actions); s != 1 {
		t.Fatalf("sent to %d, want 1, for request %d", s, id)
	}
}

func TestAttemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	h := newHarness(t, cfg, testServers(4)...)
	id, _ := h.request(idempotentClass)
	if actions := h.finishAttempt(id, 0, Overloaded, 1); hasAction(actions, Send) || !hasAction(actions, Reject) {
		t.Fatalf("after the only attempt allowed: %+v", actions)
	}
}

// If a timer fires early by a rounding error, the balancer must set it again: otherwise the request would
// get no answer at its deadline.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	id, _ := h.request(nonIdempotentClass)
	h.now = h.balancer.requests.open[id].timerAt - 1e-4
	if actions := h.handle(TimerFired{Token: uint64(id)}); !hasAction(actions, SetTimer) {
		t.Fatalf("no timer was set after an early one: %+v", actions)
	}
}

// Once a streamed answer has started, only the client decides when it ends: the balancer applies no deadline, sends no
// retry and produces no answer of its own.
func TestStartedStreamIsNotInterrupted(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Streaming = true
	h := newHarness(t, cfg, testServers(3)...)
	id, actions := h.request(idempotentClass)
	s, _ := sentServer(actions)
	h.handle(StreamStarted{Request: id, Server: s, Elapsed: 20})
	h.now += 5000
	if actions := h.handle(TimerFired{Token: uint64(id)}); hasAction(actions, Fail) || hasAction(actions, Reject) ||
		hasAction(actions, Send) {
		t.Fatalf("a running stream got %+v", actions)
	}
	h.handle(Outcome{Request: id, Server: s, Result: Reset, Elapsed: 5000, RequestDone: true})
	if len(h.balancer.requests.open) != 0 {
		t.Fatal("an ended stream is retained")
	}
}

// Attempts that were not executed, such as failed connects after a crash, do not count as retries: the request is sent
// again as long as it has attempts and time left. A request that may have been executed is retried once at most.
func TestUnexecutedAttemptsDoNotCountAsRetries(t *testing.T) {
	for result, sends := range map[Result]int{ConnectFailed: 4, Overloaded: 4, Failed: 2} {
		h := newHarness(t, baseConfig(), testServers(8)...)
		id, _ := h.request(idempotentClass)
		n := 1
		for ; hasAction(h.finishAttempt(id, n-1, result, 1), Send); n++ {
		}
		if n != sends {
			t.Errorf("result %v: %d attempts, want %d of at most %d", result, n, sends, baseConfig().MaxAttempts)
		}
	}
}

// A retry shortly before the end of the idempotency window is not sent: the retry may have to connect
// first, and would then reach the server when the server no longer knows the idempotency key.
func TestRetryLeavesTimeToConnect(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 100
	for wait, want := range map[float64]bool{1000: true, 1150: false} { // of a window of 1200
		h := newHarness(t, cfg, testServers(4)...)
		id, _ := h.request(cellScopeClass)
		h.now += wait
		actions := h.finishAttempt(id, 0, Reset, wait)
		if _, sent := sentServer(actions); sent != want {
			t.Errorf("after %v ms: retried %v", wait, sent)
		}
	}
}

// While load is shed, the queues of the servers are full, so that every answer arrives after the latency objective.
// The caller gives up a non-idempotent attempt at that objective, and the balancer records no error of the server.
// Attempts of other classes are not given up, because their clients would retry.
func TestNonIdempotentAttemptsEndAtObjectiveWhileShedding(t *testing.T) {
	for class, endsAtObjective := range map[int]bool{nonIdempotentClass: true, idempotentClass: false, cellScopeClass: false} {
		for _, sustained := range []float64{0, 0.2} {
			h := newHarness(t, baseConfig(), testServers(4)...)
			h.balancer.admission.sustainedShed = sustained
			if sustained > 0 {
				h.balancer.admission.sustainedShed += shedDeadband
			}
			id, actions := h.request(class)
			s, ok := sentServer(actions)
			for n := 0; !ok && n < 50; n++ {
				id, actions = h.request(class)
				s, ok = sentServer(actions)
			}
			want := 0.0
			if endsAtObjective && sustained > 0 {
				want = h.now + h.balancer.config.Classes[class].LatencyObjective
			}
			for _, a := range actions {
				if a.Kind == Send && a.Deadline != want {
					t.Errorf("class %d, %v shed: ends at %v, want %v", class, sustained, a.Deadline, want)
				}
			}
			if want > 0 {
				h.now += 200
				if h.finishAttempt(id, 0, TimedOut, 200); h.balancer.serversByID[s].errors.consecutive != 0 {
					t.Error("an attempt that ended at its objective is recorded as an error of its server")
				}
			}
		}
	}
}

// If all servers reject attempts because they are overloaded, the number of retries must stay a fraction of
// the number of first attempts. A request for which the budget allows no retry is rejected at once. Without
// a budget, each request would use all of its allowed attempts.
func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(10)...)
	first, retries := 0, 0
	for range 2000 {
		h.now += 5
		id, actions := h.request(idempotentClass)
		for n := 0; len(actions) > 0; n++ {
			if _, sent := sentServer(actions); !sent {
				break
			}
			if n == 0 {
				first++
			} else {
				retries++
			}
			actions = h.finishAttempt(id, n, Overloaded, 1)
		}
		if h.balancer.requests.open[id] != nil {
			t.Fatal("a request waits though all servers are full and the retry budget is spent")
		}
	}
	if limit := retryBudgetMax + retryBudgetRatio*float64(first); float64(retries) > limit || retries < first/10 {
		t.Errorf("%d retries of %d first attempts, at most %.0f", retries, first, limit)
	}
}
