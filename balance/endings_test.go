package balance

import (
	"fmt"
	"slices"
	"testing"
)

// What may run twice is never sent again nor refused, whatever ends its attempt and whatever else goes on; only where
// it surely never ran, and there is time and room, it goes to another server, else it is refused.
func TestNothingFollowsWhatMayHaveRun(t *testing.T) {
	for name, meanwhile := range map[string]func(g *rig, id RequestID){
		"quiet":    func(*rig, RequestID) {},
		"draining": func(g *rig, id RequestID) { g.drain(g.b.reqs[id].tries[0].s.ID) },
		"shedding": func(g *rig, _ RequestID) { g.b.steady = maxShed + byChance },
		"past aim": func(g *rig, _ RequestID) { g.now += 350 },
		"deadline": func(g *rig, id RequestID) { g.now = g.b.reqs[id].deadline },
	} {
		for _, class := range []int{unsafeClass, cellClass} {
			for res := OK; res <= Moot; res++ {
				t.Run(fmt.Sprintf("%s/class%d/result%d", name, class, res), func(t *testing.T) {
					cfg := baseConfig()
					cfg.Classes[cellClass].Aim, cfg.Classes[cellClass].Window = 300, 0 // it is forgotten at once
					g := newRig(t, cfg, fleet(8)...)
					id, _ := g.ask(class)
					meanwhile(g, id)
					before := len(g.acts)
					g.answer(id, 0, res, 100)
					g.settle(id)
					acts := g.acts[before:]
					resent, neverRan := has(acts, Send), slices.Contains([]Result{Full, ConnectFailed, Moot}, res)
					switch final := has(acts, Fail) || has(acts, Refuse); {
					case res == OK && (final || resent):
						t.Fatalf("after the answer: %+v", acts)
					case res != OK && !neverRan && (resent || !has(acts, Fail) || has(acts, Refuse)):
						t.Fatalf("it may have run: %+v", acts)
					case neverRan && (has(acts, Fail) || final == resent):
						t.Fatalf("it never ran, sent again is %v: %+v", resent, acts)
					case neverRan && resent != (name == "quiet" || name == "draining" || name == "shedding"):
						t.Fatalf("sent again is %v", resent)
					}
				})
			}
		}
	}
}

// settle brings a request's timers until it is answered or sent.
func (g *rig) settle(id RequestID) {
	for range 200 {
		r := g.b.reqs[id]
		if r == nil || r.done || r.live > 0 {
			return
		}
		g.now = r.wakeAt
		g.do(Timer{Token: uint64(id)})
	}
	g.t.Fatal("no end")
}

func (g *rig) drain(ids ...ServerID) {
	var entries []Server
	for _, id := range ids {
		e := g.b.byID[id].Server
		e.State = Draining
		entries = append(entries, e)
	}
	g.do(ServerList{Kind: ListDelta, Servers: entries})
}

// A client that is gone gets nothing sent any more, whatever comes after: not where its request waits for its first
// attempt, not between two, not while one is out, and not when the outcome comes before the news.
func TestNothingIsSentForAClientThatIsGone(t *testing.T) {
	wake := func(g *rig, id RequestID) {
		for range 20 {
			g.now += 40
			g.do(Timer{Token: uint64(id)})
		}
	}
	back := func(g *rig, id RequestID) {
		g.do(ServerList{Kind: ListFull, Servers: fleet(4)})
		wake(g, id)
	}
	for name, c := range map[string]struct {
		servers int
		probes  bool
		before  func(g *rig, id RequestID) // the client goes
		after   func(g *rig, id RequestID)
	}{
		"waits for its first attempt": {0, false, func(*rig, RequestID) {}, back},
		"waits for a probe": {1, true, func(*rig, RequestID) {}, func(g *rig, id RequestID) {
			g.do(ProbeResult{Server: 1, Took: 1, Report: []float32{0}})
			wake(g, id)
		}},
		"waits between two attempts": {1, false, func(g *rig, id RequestID) { g.answer(id, 0, Full, 1) }, back},
		"its server drained": {1, false, func(g *rig, id RequestID) {
			g.drain(1)
			g.answer(id, 0, ConnectFailed, 1)
		}, back},
		"an attempt is out": {4, false, func(*rig, RequestID) {}, func(g *rig, id RequestID) {
			g.answer(id, 0, Failed, 50)
			wake(g, id)
		}},
		"an attempt is out, given up": {4, false, func(*rig, RequestID) {}, func(g *rig, id RequestID) {
			wake(g, id)
			g.answer(id, 0, Cancelled, 800)
			wake(g, id)
		}},
		"it was answered": {4, false, func(g *rig, id RequestID) { g.answer(id, 0, OK, 50) }, wake},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := baseConfig()
			if c.probes {
				cfg = probeConfig()
			}
			g := newRig(t, cfg, fleet(c.servers)...)
			id, _ := g.ask(safeClass)
			c.before(g, id)
			out := g.b.reqs[id] != nil && g.b.reqs[id].live > 0
			if acts := g.do(HangUp{Request: id}); has(acts, Cancel) != out {
				t.Fatalf("attempt out: %v, got %+v", out, acts)
			}
			from := len(g.acts)
			c.after(g, id)
			if acts := g.acts[from:]; has(acts, Send) || has(acts, Refuse) || has(acts, Fail) || len(g.b.reqs) != 0 {
				t.Fatalf("%d requests left, %+v", len(g.b.reqs), acts)
			}
		})
	}
}

// A final answer that crosses the end of the attempt given up for it stays the only one, whatever that end is, and the
// late end is still counted: the server's work in flight and the request are forgotten.
func TestAnEndThatCrossesTheFinalAnswer(t *testing.T) {
	for _, class := range []int{safeClass, unsafeClass, cellClass} {
		for res := OK; res <= Moot; res++ {
			g := newRig(t, baseConfig(), fleet(4)...)
			id, _ := g.ask(class)
			s := g.b.reqs[id].tries[0].s
			g.now = g.b.reqs[id].deadline
			acts := g.do(Timer{Token: uint64(id)})
			if has(acts, Fail) == has(acts, Refuse) || !has(acts, Cancel) {
				t.Fatalf("class %d at its deadline: %+v", class, acts)
			}
			acts = g.do(Outcome{Request: id, Server: s.ID, Result: res, Took: 1, Finished: res == OK})
			if len(acts) != 0 || len(g.b.reqs) != 0 || s.inFlight != 0 {
				t.Errorf("class %d, result %d: %d requests left, %d in flight, %+v", class, res, len(g.b.reqs), s.inFlight, acts)
			}
			if _, err := g.b.Handle(g.now, Outcome{Request: id, Server: s.ID, Result: res, Finished: true}); err == nil {
				t.Errorf("class %d: an attempt ended twice", class)
			}
		}
	}
}

// A server that drains gets nothing of what waits for it: neither a repeat that is due after the news nor a request
// that waits for its probe, and where no other is left the request is refused in time.
func TestDrainBeforeASend(t *testing.T) {
	t.Run("repeat", func(t *testing.T) {
		g := newRig(t, baseConfig(), fleet(2)...)
		id, acts := g.ask(unsafeClass)
		first, _ := sentTo(acts)
		g.drain(3 - first)
		if acts = g.answer(id, 0, Full, 1); has(acts, Send) {
			t.Fatalf("%+v", acts)
		}
		g.settle(id)
		if !has(g.acts, Refuse) || len(g.b.reqs) != 0 {
			t.Fatalf("not refused: %+v", g.acts)
		}
	})
	t.Run("probe", func(t *testing.T) {
		g := newRig(t, probeConfig(), fleet(1)...)
		id, acts := g.ask(safeClass)
		if !has(acts, Probe) || has(acts, Send) {
			t.Fatalf("it does not wait for its probe: %+v", acts)
		}
		g.drain(1)
		g.do(ProbeResult{Server: 1, Took: 1, Report: []float32{0}})
		g.settle(id)
		if has(g.acts, Send) || !has(g.acts, Refuse) || len(g.b.reqs) != 0 {
			t.Fatalf("not refused: %+v", g.acts)
		}
	})
	t.Run("back in time", func(t *testing.T) { // a request that waits is sent once there is a server again
		g := newRig(t, baseConfig(), fleet(1)...)
		g.drain(1)
		id, _ := g.ask(safeClass)
		g.now += 100
		g.do(ServerList{Kind: ListFull, Servers: fleet(1)})
		if g.settle(id); !slices.ContainsFunc(g.acts, func(a Action) bool { return a.Kind == Send && a.Request == id }) {
			t.Fatalf("not sent: %+v", g.acts)
		}
	})
}

// An attempt is given up as its server is out of reach, and its answer is on the way: whoever wins, there is one.
func TestAnAnswerThatCrossesACancel(t *testing.T) {
	for _, class := range []int{safeClass, cellClass, allClass} {
		for _, res := range []Result{OK, Failed, Reset, TimedOut, Cancelled} {
			g := newRig(t, baseConfig(), fleet(2)...)
			ids := map[ServerID][]RequestID{}
			for range 4 {
				id, acts := g.ask(class)
				to, _ := sentTo(acts)
				ids[to] = append(ids[to], id)
			}
			down, up := ids[1][0], ids[1][1]
			if acts := g.answer(down, 0, ConnectFailed, 100); !slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == Cancel && a.Request == up }) {
				t.Fatalf("class %d: not given up: %+v", class, acts)
			}
			acts := g.answer(up, 0, res, 100)
			if to, sent := sentTo(acts); sent != (res != OK) || sent && to != 2 || has(acts, Refuse) || has(acts, Fail) {
				t.Errorf("class %d, result %d: sent again is %v, %+v", class, res, sent, acts)
			}
			if left := g.b.reqs[up] != nil; left != (res != OK) {
				t.Errorf("class %d, result %d: remembered is %v", class, res, left)
			}
		}
	}
}

// A probe that was never sent, as no descriptor was free or the server's process had ended, is no news of the server.
func TestProbeThatWasNeverSent(t *testing.T) {
	for _, result := range []Result{Moot, Cancelled, ConnectFailed} {
		g := newRig(t, probeConfig(), fleet(2)...)
		g.ask(safeClass)
		s := g.b.byID[1]
		if !s.probing {
			t.Fatal("no probe is out")
		}
		g.do(ProbeResult{Server: 1, Result: result})
		if blamed := s.dark || g.b.resting(s); blamed != (result == ConnectFailed) || s.probing {
			t.Errorf("result %d: dark %v, resting %v, out %v", result, s.dark, g.b.resting(s), s.probing)
		}
	}
}
