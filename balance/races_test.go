package balance

import (
	"fmt"
	"slices"
	"testing"
)

// A request that must not be executed twice is neither retried nor rejected after an attempt that may have been
// executed, whatever ends the attempt and whatever else happens. If the attempt was certainly not executed, the
// request is retried while there is time and a server, and rejected otherwise.
func TestNoRetryAfterPossibleExecution(t *testing.T) {
	for name, meanwhile := range map[string]func(h *harness, id RequestID){
		"quiet":          func(*harness, RequestID) {},
		"draining":       func(h *harness, id RequestID) { h.drain(h.balancer.requests.open[id].attempts[0].server.ID) },
		"shedding":       func(h *harness, _ RequestID) { h.balancer.admission.sustainedShed = maxShedFraction + shedDeadband },
		"past objective": func(h *harness, _ RequestID) { h.now += 350 },
		"deadline":       func(h *harness, id RequestID) { h.now = h.balancer.requests.open[id].deadline },
	} {
		for _, class := range []int{nonIdempotentClass, cellScopeClass} {
			for result := OK; result <= Obsolete; result++ {
				t.Run(fmt.Sprintf("%s/class%d/result%d", name, class, result), func(t *testing.T) {
					cfg := baseConfig()
					// The idempotency key is forgotten at once.
					cfg.Classes[cellScopeClass].LatencyObjective, cfg.Classes[cellScopeClass].IdempotencyWindow = 300, 0
					h := newHarness(t, cfg, testServers(8)...)
					id, _ := h.request(class)
					meanwhile(h, id)
					before := len(h.actions)
					h.finishAttempt(id, 0, result, 100)
					h.runTimers(id)
					actions := h.actions[before:]
					resent := hasAction(actions, Send)
					neverExecuted := slices.Contains([]Result{Overloaded, ConnectFailed, Obsolete}, result)
					switch final := hasAction(actions, Fail) || hasAction(actions, Reject); {
					case result == OK && (final || resent):
						t.Fatalf("after the answer: %+v", actions)
					case result != OK && !neverExecuted && (resent || !hasAction(actions, Fail) || hasAction(actions, Reject)):
						t.Fatalf("the request may have been executed: %+v", actions)
					case neverExecuted && (hasAction(actions, Fail) || final == resent):
						t.Fatalf("the request was not executed; retried %v: %+v", resent, actions)
					case neverExecuted && resent != (name == "quiet" || name == "draining" || name == "shedding"):
						t.Fatalf("retried: %v", resent)
					}
				})
			}
		}
	}
}

// runTimers fires a request's timers until the request is answered or sent.
func (h *harness) runTimers(id RequestID) {
	for range 200 {
		r := h.balancer.requests.open[id]
		if r == nil || r.finished || r.inFlight > 0 {
			return
		}
		h.now = r.timerAt
		h.handle(TimerFired{Token: uint64(id)})
	}
	h.t.Fatal("the request has not ended after 200 timers")
}

func (h *harness) drain(ids ...ServerID) {
	var entries []Server
	for _, id := range ids {
		e := h.balancer.serversByID[id].Server
		e.State = Draining
		entries = append(entries, e)
	}
	h.handle(EndpointUpdate{Kind: UpdateDelta, Servers: entries})
}

// Nothing may be sent for a client that has disconnected, whether its request waits for the first attempt, waits
// between two attempts or has an attempt in flight, and also if the outcome arrives first.
func TestNothingIsSentAfterClientDisconnects(t *testing.T) {
	fireTimer := func(h *harness, id RequestID) {
		for range 20 {
			h.now += 40
			h.handle(TimerFired{Token: uint64(id)})
		}
	}
	addServers := func(h *harness, id RequestID) {
		h.handle(EndpointUpdate{Kind: UpdateFull, Servers: testServers(4)})
		fireTimer(h, id)
	}
	for name, c := range map[string]struct {
		servers      int
		healthChecks bool
		before       func(h *harness, id RequestID) // before the client disconnects
		after        func(h *harness, id RequestID)
	}{
		"waits for its first attempt": {0, false, func(*harness, RequestID) {}, addServers},
		"waits for a health check": {1, true, func(*harness, RequestID) {}, func(h *harness, id RequestID) {
			h.handle(HealthCheckResult{Server: 1, Elapsed: 1, LoadReport: []float32{0}})
			fireTimer(h, id)
		}},
		"waits between two attempts": {1, false, func(h *harness, id RequestID) {
			h.finishAttempt(id, 0, Overloaded, 1)
		}, addServers},
		"its server drained": {1, false, func(h *harness, id RequestID) {
			h.drain(1)
			h.finishAttempt(id, 0, ConnectFailed, 1)
		}, addServers},
		"an attempt is in flight": {4, false, func(*harness, RequestID) {}, func(h *harness, id RequestID) {
			h.finishAttempt(id, 0, Failed, 50)
			fireTimer(h, id)
		}},
		"an attempt is in flight and cancelled": {4, false, func(*harness, RequestID) {}, func(h *harness, id RequestID) {
			fireTimer(h, id)
			h.finishAttempt(id, 0, Cancelled, 800)
			fireTimer(h, id)
		}},
		"it was answered": {4, false, func(h *harness, id RequestID) { h.finishAttempt(id, 0, OK, 50) }, fireTimer},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := baseConfig()
			if c.healthChecks {
				cfg = healthCheckConfig()
			}
			h := newHarness(t, cfg, testServers(c.servers)...)
			id, _ := h.request(idempotentClass)
			c.before(h, id)
			inFlight := h.balancer.requests.open[id] != nil && h.balancer.requests.open[id].inFlight > 0
			if actions := h.handle(ClientDisconnected{Request: id}); hasAction(actions, Cancel) != inFlight {
				t.Fatalf("attempt in flight: %v, got %+v", inFlight, actions)
			}
			from := len(h.actions)
			c.after(h, id)
			if actions := h.actions[from:]; hasAction(actions, Send) || hasAction(actions, Reject) ||
				hasAction(actions, Fail) || len(h.balancer.requests.open) != 0 {
				t.Fatalf("%d requests left, %+v", len(h.balancer.requests.open), actions)
			}
		})
	}
}

// A final answer cancels the attempt in flight. If the attempt's outcome crosses the cancel, the final answer must
// stay the only one, whatever the outcome. The outcome is still recorded, and nothing of the request remains.
func TestOutcomeThatCrossesTheFinalAnswer(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellScopeClass} {
		for result := OK; result <= Obsolete; result++ {
			h := newHarness(t, baseConfig(), testServers(4)...)
			id, _ := h.request(class)
			s := h.balancer.requests.open[id].attempts[0].server
			h.now = h.balancer.requests.open[id].deadline
			actions := h.handle(TimerFired{Token: uint64(id)})
			if hasAction(actions, Fail) == hasAction(actions, Reject) || !hasAction(actions, Cancel) {
				t.Fatalf("class %d at its deadline: %+v", class, actions)
			}
			actions = h.handle(Outcome{Request: id, Server: s.ID, Result: result, Elapsed: 1, RequestDone: result == OK})
			if len(actions) != 0 || len(h.balancer.requests.open) != 0 || s.inFlight != 0 {
				t.Errorf("class %d, result %d: %d requests left, %d in flight, %+v", class, result,
					len(h.balancer.requests.open), s.inFlight, actions)
			}
			if _, err := h.balancer.Handle(h.now, Outcome{Request: id, Server: s.ID, Result: result,
				RequestDone: true}); err == nil {
				t.Errorf("class %d: an attempt ended twice", class)
			}
		}
	}
}

// A server that starts to drain must not receive attempts that were due before: neither a retry that is due
// after the endpoint update nor a request that waits for the server's health check. If no other server is
// left, the request is rejected in time.
func TestDrainBeforeSend(t *testing.T) {
	t.Run("retry", func(t *testing.T) {
		h := newHarness(t, baseConfig(), testServers(2)...)
		id, actions := h.request(nonIdempotentClass)
		first, _ := sentServer(actions)
		h.drain(3 - first)
		if actions = h.finishAttempt(id, 0, Overloaded, 1); hasAction(actions, Send) {
			t.Fatalf("retried while the other server is draining: %+v", actions)
		}
		h.runTimers(id)
		if !hasAction(h.actions, Reject) || len(h.balancer.requests.open) != 0 {
			t.Fatalf("not rejected: %+v", h.actions)
		}
	})
	t.Run("health check", func(t *testing.T) {
		h := newHarness(t, healthCheckConfig(), testServers(1)...)
		id, actions := h.request(idempotentClass)
		if !hasAction(actions, HealthCheck) || hasAction(actions, Send) {
			t.Fatalf("the request does not wait for its health check: %+v", actions)
		}
		h.drain(1)
		h.handle(HealthCheckResult{Server: 1, Elapsed: 1, LoadReport: []float32{0}})
		h.runTimers(id)
		if hasAction(h.actions, Send) || !hasAction(h.actions, Reject) || len(h.balancer.requests.open) != 0 {
			t.Fatalf("not rejected: %+v", h.actions)
		}
	})
	t.Run("server returns in time", func(t *testing.T) { // a waiting request is sent once a server is available
		h := newHarness(t, baseConfig(), testServers(1)...)
		h.drain(1)
		id, _ := h.request(idempotentClass)
		h.now += 100
		h.handle(EndpointUpdate{Kind: UpdateFull, Servers: testServers(1)})
		if h.runTimers(id); !slices.ContainsFunc(h.actions, func(a Action) bool { return a.Kind == Send && a.Request == id }) {
			t.Fatalf("not sent: %+v", h.actions)
		}
	})
}

// An attempt is cancelled because its server is unreachable, while its answer is on the way. Whichever arrives first,
// the request must get one answer.
func TestAnswerThatCrossesACancel(t *testing.T) {
	for _, class := range []int{idempotentClass, cellScopeClass, allScopeClass} {
		for _, result := range []Result{OK, Failed, Reset, TimedOut, Cancelled} {
			h := newHarness(t, baseConfig(), testServers(2)...)
			ids := map[ServerID][]RequestID{}
			for range 4 {
				id, actions := h.request(class)
				to, _ := sentServer(actions)
				ids[to] = append(ids[to], id)
			}
			failed, cancelledID := ids[1][0], ids[1][1]
			cancelled := func(a Action) bool { return a.Kind == Cancel && a.Request == cancelledID }
			if actions := h.finishAttempt(failed, 0, ConnectFailed, 100); !slices.ContainsFunc(actions, cancelled) {
				t.Fatalf("class %d: not cancelled: %+v", class, actions)
			}
			actions := h.finishAttempt(cancelledID, 0, result, 100)
			if to, sent := sentServer(actions); sent != (result != OK) || sent && to != 2 || hasAction(actions, Reject) ||
				hasAction(actions, Fail) {
				t.Errorf("class %d, result %d: retried %v, %+v", class, result, sent, actions)
			}
			if retained := h.balancer.requests.open[cancelledID] != nil; retained != (result != OK) {
				t.Errorf("class %d, result %d: retained %v", class, result, retained)
			}
		}
	}
}

// A health check that was never sent, for example because no file descriptor was free, says nothing about the server.
func TestHealthCheckThatWasNeverSent(t *testing.T) {
	for _, result := range []Result{Obsolete, Cancelled, ConnectFailed} {
		h := newHarness(t, healthCheckConfig(), testServers(2)...)
		h.request(idempotentClass)
		s := h.balancer.serversByID[1]
		if !s.healthCheckPending {
			t.Fatal("no health check is pending")
		}
		h.handle(HealthCheckResult{Server: 1, Result: result})
		if faultRecorded := s.errors.healthCheckFailed || h.balancer.isEjected(s); faultRecorded != (result == ConnectFailed) ||
			s.healthCheckPending {
			t.Errorf("result %d: failed %v, ejected %v, pending %v", result, s.errors.healthCheckFailed,
				h.balancer.isEjected(s), s.healthCheckPending)
		}
	}
}
