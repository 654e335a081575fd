package balance

import (
	"fmt"
	"slices"
	"testing"
)

// What may run twice is never sent again nor refused, whatever ends its attempt and whatever else goes on; only where
// it surely never ran, and there is time and room, it goes to another server, else it is refused.
func TestNoRetryAfterPossibleExecution(t *testing.T) {
	for name, meanwhile := range map[string]func(g *harness, id RequestID){
		"quiet":    func(*harness, RequestID) {},
		"draining": func(g *harness, id RequestID) { g.drain(g.balancer.requests.open[id].attempts[0].server.ID) },
		"shedding": func(g *harness, _ RequestID) { g.balancer.admission.sustainedShed = maxShedFraction + shedDeadband },
		"past aim": func(g *harness, _ RequestID) { g.now += 350 },
		"deadline": func(g *harness, id RequestID) { g.now = g.balancer.requests.open[id].deadline },
	} {
		for _, class := range []int{nonIdempotentClass, cellScopeClass} {
			for res := OK; res <= Obsolete; res++ {
				t.Run(fmt.Sprintf("%s/class%d/result%d", name, class, res), func(t *testing.T) {
					cfg := baseConfig()
					cfg.Classes[cellScopeClass].LatencyObjective, cfg.Classes[cellScopeClass].IdempotencyWindow = 300, 0 // it is forgotten at once
					g := newHarness(t, cfg, testServers(8)...)
					id, _ := g.request(class)
					meanwhile(g, id)
					before := len(g.actions)
					g.finishAttempt(id, 0, res, 100)
					g.runTimers(id)
					acts := g.actions[before:]
					resent, neverRan := hasAction(acts, Send), slices.Contains([]Result{Overloaded, ConnectFailed, Obsolete}, res)
					switch final := hasAction(acts, Fail) || hasAction(acts, Reject); {
					case res == OK && (final || resent):
						t.Fatalf("after the answer: %+v", acts)
					case res != OK && !neverRan && (resent || !hasAction(acts, Fail) || hasAction(acts, Reject)):
						t.Fatalf("it may have run: %+v", acts)
					case neverRan && (hasAction(acts, Fail) || final == resent):
						t.Fatalf("it never ran, sent again is %v: %+v", resent, acts)
					case neverRan && resent != (name == "quiet" || name == "draining" || name == "shedding"):
						t.Fatalf("sent again is %v", resent)
					}
				})
			}
		}
	}
}

// runTimers brings a request's timers until it is answered or sent.
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

// A client that is gone gets nothing sent any more, whatever comes after: not where its request waits for its first
// attempt, not between two, not while one is out, and not when the outcome comes before the news.
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
		before  func(g *harness, id RequestID) // the client goes
		after   func(g *harness, id RequestID)
	}{
		"waits for its first attempt": {0, false, func(*harness, RequestID) {}, back},
		"waits for a probe": {1, true, func(*harness, RequestID) {}, func(g *harness, id RequestID) {
			g.handle(HealthCheckResult{Server: 1, Elapsed: 1, LoadReport: []float32{0}})
			wake(g, id)
		}},
		"waits between two attempts": {1, false, func(g *harness, id RequestID) { g.finishAttempt(id, 0, Overloaded, 1) }, back},
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
			if acts := g.handle(ClientDisconnected{Request: id}); hasAction(acts, Cancel) != out {
				t.Fatalf("attempt out: %v, got %+v", out, acts)
			}
			from := len(g.actions)
			c.after(g, id)
			if acts := g.actions[from:]; hasAction(acts, Send) || hasAction(acts, Reject) || hasAction(acts, Fail) || len(g.balancer.requests.open) != 0 {
				t.Fatalf("%d requests left, %+v", len(g.balancer.requests.open), acts)
			}
		})
	}
}

// A final answer that crosses the end of the attempt given up for it stays the only one, whatever that end is, and the
// late end is still counted: the server's work in flight and the request are forgotten.
func TestOutcomeThatCrossesTheFinalAnswer(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellScopeClass} {
		for res := OK; res <= Obsolete; res++ {
			g := newHarness(t, baseConfig(), testServers(4)...)
			id, _ := g.request(class)
			s := g.balancer.requests.open[id].attempts[0].server
			g.now = g.balancer.requests.open[id].deadline
			acts := g.handle(TimerFired{Token: uint64(id)})
			if hasAction(acts, Fail) == hasAction(acts, Reject) || !hasAction(acts, Cancel) {
				t.Fatalf("class %d at its deadline: %+v", class, acts)
			}
			acts = g.handle(Outcome{Request: id, Server: s.ID, Result: res, Elapsed: 1, RequestDone: res == OK})
			if len(acts) != 0 || len(g.balancer.requests.open) != 0 || s.inFlight != 0 {
				t.Errorf("class %d, result %d: %d requests left, %d in flight, %+v", class, res, len(g.balancer.requests.open), s.inFlight, acts)
			}
			if _, err := g.balancer.Handle(g.now, Outcome{Request: id, Server: s.ID, Result: res, RequestDone: true}); err == nil {
				t.Errorf("class %d: an attempt ended twice", class)
			}
		}
	}
}

// A server that drains gets nothing of what waits for it: neither a repeat that is due after the news nor a request
// that waits for its probe, and where no other is left the request is refused in time.
func TestDrainBeforeSend(t *testing.T) {
	t.Run("repeat", func(t *testing.T) {
		g := newHarness(t, baseConfig(), testServers(2)...)
		id, acts := g.request(nonIdempotentClass)
		first, _ := sentServer(acts)
		g.drain(3 - first)
		if acts = g.finishAttempt(id, 0, Overloaded, 1); hasAction(acts, Send) {
			t.Fatalf("%+v", acts)
		}
		g.runTimers(id)
		if !hasAction(g.actions, Reject) || len(g.balancer.requests.open) != 0 {
			t.Fatalf("not refused: %+v", g.actions)
		}
	})
	t.Run("probe", func(t *testing.T) {
		g := newHarness(t, healthCheckConfig(), testServers(1)...)
		id, acts := g.request(idempotentClass)
		if !hasAction(acts, HealthCheck) || hasAction(acts, Send) {
			t.Fatalf("it does not wait for its probe: %+v", acts)
		}
		g.drain(1)
		g.handle(HealthCheckResult{Server: 1, Elapsed: 1, LoadReport: []float32{0}})
		g.runTimers(id)
		if hasAction(g.actions, Send) || !hasAction(g.actions, Reject) || len(g.balancer.requests.open) != 0 {
			t.Fatalf("not refused: %+v", g.actions)
		}
	})
	t.Run("back in time", func(t *testing.T) { // a request that waits is sent once there is a server again
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

// An attempt is given up as its server is out of reach, and its answer is on the way: whoever wins, there is one.
func TestAnswerThatCrossesACancel(t *testing.T) {
	for _, class := range []int{idempotentClass, cellScopeClass, allScopeClass} {
		for _, res := range []Result{OK, Failed, Reset, TimedOut, Cancelled} {
			g := newHarness(t, baseConfig(), testServers(2)...)
			ids := map[ServerID][]RequestID{}
			for range 4 {
				id, acts := g.request(class)
				to, _ := sentServer(acts)
				ids[to] = append(ids[to], id)
			}
			down, up := ids[1][0], ids[1][1]
			if acts := g.finishAttempt(down, 0, ConnectFailed, 100); !slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == Cancel && a.Request == up }) {
				t.Fatalf("class %d: not given up: %+v", class, acts)
			}
			acts := g.finishAttempt(up, 0, res, 100)
			if to, sent := sentServer(acts); sent != (res != OK) || sent && to != 2 || hasAction(acts, Reject) || hasAction(acts, Fail) {
				t.Errorf("class %d, result %d: sent again is %v, %+v", class, res, sent, acts)
			}
			if left := g.balancer.requests.open[up] != nil; left != (res != OK) {
				t.Errorf("class %d, result %d: remembered is %v", class, res, left)
			}
		}
	}
}

// A probe that was never sent, as no descriptor was free or the server's process had ended, is no news of the server.
func TestHealthCheckThatWasNeverSent(t *testing.T) {
	for _, result := range []Result{Obsolete, Cancelled, ConnectFailed} {
		g := newHarness(t, healthCheckConfig(), testServers(2)...)
		g.request(idempotentClass)
		s := g.balancer.serversByID[1]
		if !s.healthCheckPending {
			t.Fatal("no probe is out")
		}
		g.handle(HealthCheckResult{Server: 1, Result: result})
		if blamed := s.errors.healthCheckFailed || g.balancer.isEjected(s); blamed != (result == ConnectFailed) || s.healthCheckPending {
			t.Errorf("result %d: dark %v, resting %v, out %v", result, s.errors.healthCheckFailed, g.balancer.isEjected(s), s.healthCheckPending)
		}
	}
}
