package balance

import (
	"fmt"
	"slices"
	"testing"
)

// A request that must not be executed twice is neither retried nor rejected, whatever ends its attempt and whatever else
// happens. If the attempt was surely not executed it is retried while there is time and a server, and rejected otherwise.
func TestNoRetryAfterPossibleExecution(t *testing.T) {
	for name, meanwhile := range map[string]func(g *harness, id RequestID){
		"quiet":          func(*harness, RequestID) {},
		"draining":       func(g *harness, id RequestID) { g.drain(g.balancer.requests.open[id].attempts[0].server.ID) },
		"shedding":       func(g *harness, _ RequestID) { g.balancer.admission.sustainedShed = maxShedFraction + shedDeadband },
		"past objective": func(g *harness, _ RequestID) { g.now += 350 },
		"deadline":       func(g *harness, id RequestID) { g.now = g.balancer.requests.open[id].deadline },
	} {
		for _, class := range []int{nonIdempotentClass, cellScopeClass} {
			for res := OK; res <= Obsolete; res++ {
				t.Run(fmt.Sprintf("%s/class%d/result%d", name, class, res), func(t *testing.T) {
					cfg := baseConfig()
					cfg.Classes[cellScopeClass].LatencyObjective, cfg.Classes[cellScopeClass].IdempotencyWindow = 300, 0 // its key is forgotten at once
					g := newHarness(t, cfg, testServers(8)...)
					id, _ := g.request(class)
					meanwhile(g, id)
					before := len(g.actions)
					g.finishAttempt(id, 0, res, 100)
					g.runTimers(id)
					actions := g.actions[before:]
					resent := hasAction(actions, Send)
					neverExecuted := slices.Contains([]Result{Overloaded, ConnectFailed, Obsolete}, res)
					switch final := hasAction(actions, Fail) || hasAction(actions, Reject); {
					case res == OK && (final || resent):
						t.Fatalf("after the answer: %+v", actions)
					case res != OK && !neverExecuted && (resent || !hasAction(actions, Fail) || hasAction(actions, Reject)):
						t.Fatalf("it may have been executed: %+v", actions)
					case neverExecuted && (hasAction(actions, Fail) || final == resent):
						t.Fatalf("it was not executed, sent again is %v: %+v", resent, actions)
					case neverExecuted && resent != (name == "quiet" || name == "draining" || name == "shedding"):
						t.Fatalf("sent again is %v", resent)
					}
				})
			}
		}
	}
}

// runTimers fires a request's timers until it is answered or sent.
func (g *harness) runTimers(id RequestID) {
	for range 200 {
		r := g.balancer.requests.open[id]
		if r == nil || r.finished || r.inFlight > 0 {
			return
		}
		g.now = r.timerAt
		g.handle(TimerFired{Token: uint64(id)})
	}
	g.t.Fatal("no end")
}

func (g *harness) drain(ids ...ServerID) {
	var entries []Server
	for _, id := range ids {
		e := g.balancer.serversByID[id].Server
		e.State = Draining
		entries = append(entries, e)
	}
	g.handle(EndpointUpdate{Kind: UpdateDelta, Servers: entries})
}

// Nothing is sent for a client that has disconnected: not if its request waits for its first attempt, not between two, not
// while one is in flight, and not if the outcome comes first.
func TestNothingIsSentAfterClientDisconnects(t *testing.T) {
	wake := func(g *harness, id RequestID) {
		for range 20 {
			g.now += 40
			g.handle(TimerFired{Token: uint64(id)})
		}
	}
	back := func(g *harness, id RequestID) {
		g.handle(EndpointUpdate{Kind: UpdateFull, Servers: testServers(4)})
		wake(g, id)
	}
	for name, c := range map[string]struct {
		servers int
		probes  bool
		before  func(g *harness, id RequestID) // the client disconnects
		after   func(g *harness, id RequestID)
	}{
		"waits for its first attempt": {0, false, func(*harness, RequestID) {}, back},
		"waits for a probe": {1, true, func(*harness, RequestID) {}, func(g *harness, id RequestID) {
			g.handle(HealthCheckResult{Server: 1, Elapsed: 1, LoadReport: []float32{0}})
			wake(g, id)
		}},
		"waits between two attempts": {1, false, func(g *harness, id RequestID) {
			g.finishAttempt(id, 0, Overloaded, 1)
		}, back},
		"its server drained": {1, false, func(g *harness, id RequestID) {
			g.drain(1)
			g.finishAttempt(id, 0, ConnectFailed, 1)
		}, back},
		"an attempt is out": {4, false, func(*harness, RequestID) {}, func(g *harness, id RequestID) {
			g.finishAttempt(id, 0, Failed, 50)
			wake(g, id)
		}},
		"an attempt is out, given up": {4, false, func(*harness, RequestID) {}, func(g *harness, id RequestID) {
			wake(g, id)
			g.finishAttempt(id, 0, Cancelled, 800)
			wake(g, id)
		}},
		"it was answered": {4, false, func(g *harness, id RequestID) { g.finishAttempt(id, 0, OK, 50) }, wake},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := baseConfig()
			if c.probes {
				cfg = healthCheckConfig()
			}
			g := newHarness(t, cfg, testServers(c.servers)...)
			id, _ := g.request(idempotentClass)
			c.before(g, id)
			out := g.balancer.requests.open[id] != nil && g.balancer.requests.open[id].inFlight > 0
			if actions := g.handle(ClientDisconnected{Request: id}); hasAction(actions, Cancel) != out {
				t.Fatalf("attempt in flight: %v, got %+v", out, actions)
			}
			from := len(g.actions)
			c.after(g, id)
			if actions := g.actions[from:]; hasAction(actions, Send) || hasAction(actions, Reject) ||
				hasAction(actions, Fail) || len(g.balancer.requests.open) != 0 {
				t.Fatalf("%d requests left, %+v", len(g.balancer.requests.open), actions)
			}
		})
	}
}

// A final answer stays the only one if the outcome of the attempt that it cancels crosses it, whatever that outcome is, and
// the outcome is still recorded: nothing of the request remains.
func TestOutcomeThatCrossesTheFinalAnswer(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellScopeClass} {
		for res := OK; res <= Obsolete; res++ {
			g := newHarness(t, baseConfig(), testServers(4)...)
			id, _ := g.request(class)
			s := g.balancer.requests.open[id].attempts[0].server
			g.now = g.balancer.requests.open[id].deadline
			actions := g.handle(TimerFired{Token: uint64(id)})
			if hasAction(actions, Fail) == hasAction(actions, Reject) || !hasAction(actions, Cancel) {
				t.Fatalf("class %d at its deadline: %+v", class, actions)
			}
			actions = g.handle(Outcome{Request: id, Server: s.ID, Result: res, Elapsed: 1, RequestDone: res == OK})
			if len(actions) != 0 || len(g.balancer.requests.open) != 0 || s.inFlight != 0 {
				t.Errorf("class %d, result %d: %d requests left, %d in flight, %+v", class, res,
					len(g.balancer.requests.open), s.inFlight, actions)
			}
			if _, err := g.balancer.Handle(g.now, Outcome{Request: id, Server: s.ID, Result: res,
				RequestDone: true}); err == nil {
				t.Errorf("class %d: an attempt ended twice", class)
			}
		}
	}
}

// A server that drains receives nothing that waits for it: neither a retry that is due after the update nor a request that
// waits for its health check. If no other server is left the request is rejected in time.
func TestDrainBeforeSend(t *testing.T) {
	t.Run("repeat", func(t *testing.T) {
		g := newHarness(t, baseConfig(), testServers(2)...)
		id, actions := g.request(nonIdempotentClass)
		first, _ := sentServer(actions)
		g.drain(3 - first)
		if actions = g.finishAttempt(id, 0, Overloaded, 1); hasAction(actions, Send) {
			t.Fatalf("%+v", actions)
		}
		g.runTimers(id)
		if !hasAction(g.actions, Reject) || len(g.balancer.requests.open) != 0 {
			t.Fatalf("not rejected: %+v", g.actions)
		}
	})
	t.Run("probe", func(t *testing.T) {
		g := newHarness(t, healthCheckConfig(), testServers(1)...)
		id, actions := g.request(idempotentClass)
		if !hasAction(actions, HealthCheck) || hasAction(actions, Send) {
			t.Fatalf("it does not wait for its health check: %+v", actions)
		}
		g.drain(1)
		g.handle(HealthCheckResult{Server: 1, Elapsed: 1, LoadReport: []float32{0}})
		g.runTimers(id)
		if hasAction(g.actions, Send) || !hasAction(g.actions, Reject) || len(g.balancer.requests.open) != 0 {
			t.Fatalf("not rejected: %+v", g.actions)
		}
	})
	t.Run("back in time", func(t *testing.T) { // a waiting request is sent once there is a server
		g := newHarness(t, baseConfig(), testServers(1)...)
		g.drain(1)
		id, _ := g.request(idempotentClass)
		g.now += 100
		g.handle(EndpointUpdate{Kind: UpdateFull, Servers: testServers(1)})
		if g.runTimers(id); !slices.ContainsFunc(g.actions, func(a Action) bool { return a.Kind == Send && a.Request == id }) {
			t.Fatalf("not sent: %+v", g.actions)
		}
	})
}

// An attempt is cancelled as its server is unreachable, and its answer is on the way: whichever wins, there is one answer.
func TestAnswerThatCrossesACancel(t *testing.T) {
	for _, class := range []int{idempotentClass, cellScopeClass, allScopeClass} {
		for _, res := range []Result{OK, Failed, Reset, TimedOut, Cancelled} {
			g := newHarness(t, baseConfig(), testServers(2)...)
			ids := map[ServerID][]RequestID{}
			for range 4 {
				id, actions := g.request(class)
				to, _ := sentServer(actions)
				ids[to] = append(ids[to], id)
			}
			down, up := ids[1][0], ids[1][1]
			cancelled := func(a Action) bool { return a.Kind == Cancel && a.Request == up }
			if actions := g.finishAttempt(down, 0, ConnectFailed, 100); !slices.ContainsFunc(actions, cancelled) {
				t.Fatalf("class %d: not cancelled: %+v", class, actions)
			}
			actions := g.finishAttempt(up, 0, res, 100)
			if to, sent := sentServer(actions); sent != (res != OK) || sent && to != 2 || hasAction(actions, Reject) ||
				hasAction(actions, Fail) {
				t.Errorf("class %d, result %d: sent again is %v, %+v", class, res, sent, actions)
			}
			if left := g.balancer.requests.open[up] != nil; left != (res != OK) {
				t.Errorf("class %d, result %d: retained is %v", class, res, left)
			}
		}
	}
}

// A health check that was never sent, as no descriptor was free for example, says nothing of the server.
func TestHealthCheckThatWasNeverSent(t *testing.T) {
	for _, result := range []Result{Obsolete, Cancelled, ConnectFailed} {
		g := newHarness(t, healthCheckConfig(), testServers(2)...)
		g.request(idempotentClass)
		s := g.balancer.serversByID[1]
		if !s.healthCheckPending {
			t.Fatal("no health check is pending")
		}
		g.handle(HealthCheckResult{Server: 1, Result: result})
		if blamed := s.errors.healthCheckFailed || g.balancer.isEjected(s); blamed != (result == ConnectFailed) ||
			s.healthCheckPending {
			t.Errorf("result %d: failed %v, ejected %v, pending %v", result, s.errors.healthCheckFailed,
				g.balancer.isEjected(s), s.healthCheckPending)
		}
	}
}
