package release

import (
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

const (
	holdPlan   = "hold"
	configPlan = `name = "r"
on_halt = "hold"
deadline_s = 3600
[what]
sidecar_config = "c2"
[[wave]]
bake_s = 2
`
)

func tell(t *testing.T, w *world, what string) {
	t.Helper()
	if err := w.apply(&Op{Name: "r", Tell: &Command{What: what, By: "operator/eva"}}); err != nil {
		t.Fatal(err)
	}
}

// Hard case 5: a version that cannot come up hits one wave's units at most, and goes back by itself.
func TestAVersionThatDoesNotComeUpGoesBack(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*world)
		want string
	}{
		{"fails at start", func(w *world) { w.broken["2"] = true }, "exit status 1"},
		{"is never ready", func(w *world) { w.never["2"] = true }, "it runs, but is unready"},
	} {
		w := newWorld(t, disruption.KindServer, 2, 10, 4)
		w.start(serverPlan)
		c.set(w)
		s, err := w.finish(&kill{at: -1}, 4000, nil)
		if err != nil || s.Head.Phase != Backed || !strings.Contains(s.Head.Why, c.want) {
			t.Errorf("%s: %s, %v, why %q; want backed for %q", c.name, s.Head.Phase, err, s.Head.Why, c.want)
		}
		hit := 0
		for what := range w.launches {
			if strings.HasSuffix(what, " 2") {
				hit++
			}
		}
		if hit > 2 {
			t.Errorf("%s: %d of 20 units were started on it", c.name, hit)
		}
	}
}

func TestAVersionThatThePlatformLacksGoesBack(t *testing.T) {
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	w.start(strings.Replace(serverPlan, `server = "2"`, `server = "9"`, 1))
	if s, err := w.finish(&kill{at: -1}, 1000, nil); err != nil || s.Head.Phase != Backed || !strings.Contains(s.Head.Why, "no server of version 9") {
		t.Errorf("%s, %v: %s", s.Head.Phase, err, s.Head.Why)
	}
}

// A configuration that is refused at SIGHUP counts as failed there, halts the wave, and is taken back where it was given.
func TestARefusedConfigurationHalts(t *testing.T) {
	w := newWorld(t, disruption.KindSidecar, 2, 3, 2)
	w.start(configPlan)
	w.badConf["c2"] = true
	s, _ := w.run("r", &kill{at: -1}, 300, nil)
	if s.Head.Phase != Held || !strings.Contains(s.Head.Why, "refuses the configuration") {
		t.Fatalf("it is %s: %s", s.Head.Phase, s.Head.Why)
	}
	told := 0
	for what := range w.reloads {
		if strings.HasSuffix(what, "c2") {
			told++
		}
	}
	if l := w.list(); told != 1 || l.Find(s.Units[0].Name).ConfigName != "c1" || w.most > 0 {
		t.Errorf("%d were told, the first is at %s, %d were out at once; want 1, c1, 0", told, l.Find(s.Units[0].Name).ConfigName, w.most)
	}
	tell(t, w, CmdBack)
	if s, err := w.finish(&kill{at: -1}, 300, nil); err != nil || s.Head.Phase != Backed {
		t.Errorf("sent back it is %s: %v", s.Head.Phase, err)
	}
}

// Hard case 6: a halt at every moment, so also across each grant: nothing new goes out after it, what is out comes to
// rest, and resumed the release ends as if nothing had been.
func TestHaltAtEveryMoment(t *testing.T) {
	for at := range 80 {
		w := newWorld(t, disruption.KindServer, 2, 3, 2)
		w.start(strings.Replace(serverPlan, `"back"`, `"`+holdPlan+`"`, 1))
		begun := map[string]bool{}
		before := 0
		s, err := w.finish(&kill{at: -1}, 1000, func(i int, s *State) {
			if i == at && !s.Head.Phase.Over() {
				tell(t, w, CmdHalt)
				before = len(w.out())
			}
			if i >= at && i < at+60 {
				for _, id := range w.out() {
					begun[id] = true
				}
			}
			if s.Head.Phase == Held && i == at+60 {
				if n := len(w.out()); n > 0 {
					t.Errorf("halted at tick %d: %d are out half a minute later", at, n)
				}
				tell(t, w, CmdResume)
			}
		})
		if err != nil || s.Head.Phase != Done {
			t.Errorf("halted at tick %d and resumed: %s, %v", at, s.Head.Phase, err)
		}
		if s.Head.Phase == Done && len(begun) > before && at < 60 {
			t.Errorf("halted at tick %d with %d out, and %d were out after", at, before, len(begun))
		}
	}
}

// out are the units under a permit that has begun.
func (w *world) out() (ids []string) {
	for _, p := range w.ledger.OpenPermits() {
		if p.Stage == disruption.StageActive || p.Stage == disruption.StageReturning {
			ids = append(ids, p.Units...)
		}
	}
	return ids
}

func TestResumeCrossingBackAndBackWhileBack(t *testing.T) {
	for at := 20; at < 70; at += 3 {
		w := newWorld(t, disruption.KindServer, 2, 3, 2)
		w.start(serverPlan)
		s, err := w.finish(&kill{at: -1}, 1000, func(i int, _ *State) {
			switch i {
			case at:
				tell(t, w, CmdHalt)
				tell(t, w, CmdBack)
				tell(t, w, CmdResume) // it crosses: who goes back goes back
			case at + 6:
				tell(t, w, CmdBack)
				tell(t, w, CmdHalt)
			}
		})
		if err != nil || s.Head.Phase != Backed {
			t.Errorf("at tick %d: %s, %v", at, s.Head.Phase, err)
		}
		for what, n := range w.launches {
			if n > 1 {
				t.Errorf("at tick %d: %s was started %d times", at, what, n)
			}
		}
	}
}

// The way back to a version that is broken too ends, with the exact list, and leaves what still serves.
func TestBackToABrokenVersion(t *testing.T) {
	w := newWorld(t, disruption.KindServer, 2, 10, 4)
	w.start(serverPlan)
	sent := false
	s, err := w.finish(&kill{at: -1}, 4000, func(_ int, s *State) {
		moved := 0
		for i := range s.Units {
			if s.Units[i].Stage == Rest {
				moved++
			}
		}
		if moved >= 8 && !sent {
			w.broken["1"], sent = true, true
			tell(t, w, CmdBack)
		}
	})
	if err != nil || s.Head.Phase != Stranded {
		t.Fatalf("%s, %v", s.Head.Phase, err)
	}
	up := 0
	for _, id := range w.ids {
		if w.up(w.units[id]) {
			up++
		}
	}
	if len(s.Head.Stranded) < 8 || up < 16 {
		t.Errorf("%d are stranded and %d of 20 serve: %q", len(s.Head.Stranded), up, s.Head.Stranded)
	}
	t.Logf("%d serve, stranded: %q", up, s.Head.Stranded)
}

func TestDoneMayGoBackUntilItIsFinal(t *testing.T) {
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	first := w.start(serverPlan)
	if s, err := w.finish(&kill{at: -1}, 1000, nil); err != nil || s.Head.Phase != Done {
		t.Fatal(s.Head.Phase, err)
	}
	other := *first
	other.Name = "other"
	if err := w.apply(&Op{Start: &other}); err == nil || !strings.Contains(err.Error(), "claimed by release r") {
		t.Errorf("another takes its units before it is final: %v", err)
	}
	tell(t, w, CmdBack)
	if s, err := w.finish(&kill{at: -1}, 1000, nil); err != nil || s.Head.Phase != Backed {
		t.Fatal(s.Head.Phase, err)
	}
	if err := w.apply(&Op{Start: &other}); err != nil {
		t.Errorf("another cannot have units that are back: %v", err)
	}
}

func TestWhatIsFinalGoesBackNoMore(t *testing.T) {
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	first := w.start(serverPlan)
	if err := w.apply(&Op{Name: "r", Tell: &Command{What: CmdFinalize, By: "operator/eva"}}); err == nil {
		t.Error("a release under way is made final")
	}
	if s, err := w.finish(&kill{at: -1}, 1000, nil); err != nil || s.Head.Phase != Done {
		t.Fatal(s.Head.Phase, err)
	}
	tell(t, w, CmdFinalize)
	if err := w.apply(&Op{Name: "r", Tell: &Command{What: CmdBack, By: "operator/eva"}}); err == nil {
		t.Error("what is final is sent back")
	}
	other := *first
	other.Name = "other"
	if err := w.apply(&Op{Start: &other}); err != nil {
		t.Errorf("another cannot have units of what is final: %v", err)
	}
}

func TestAnEditedPlanUnderWayIsRefused(t *testing.T) {
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	s := w.start(serverPlan)
	if err := w.apply(&Op{Start: s}); err != nil {
		t.Errorf("the same start again: %v", err)
	}
	p, err := plan.Parse("plan.toml", []byte(strings.Replace(serverPlan, `server = "2"`, `server = "3"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	edited, err := New(p, w.now, w.ledger.Units(), w.ledger.Budgets(), w.list())
	if err != nil {
		t.Fatal(err)
	}
	if err := w.apply(&Op{Start: edited}); err == nil || !strings.Contains(err.Error(), "under way with another plan") {
		t.Errorf("an edited plan is taken in: %v", err)
	}
}

func TestSilenceAndTooLittleTrafficHold(t *testing.T) {
	for _, kind := range []judge.Kind{judge.Silent, judge.Wait, ""} {
		w := newWorld(t, disruption.KindServer, 2, 3, 2)
		w.start(serverPlan)
		w.verdict = func(*State) judge.Verdict { return judge.Verdict{Kind: kind} }
		s, _ := w.run("r", &kill{at: -1}, 400, nil)
		if s.Head.Phase != Forward || s.Head.Wave != 0 {
			t.Errorf("verdict %q: it is %s in wave %d, want held in the first", kind, s.Head.Phase, s.Head.Wave)
		}
	}
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	w.start(strings.Replace(serverPlan, "bake_s = 5", "bake_s = 5\nwiden = 1", 1))
	w.verdict = func(*State) judge.Verdict { return judge.Verdict{Kind: judge.Wait} }
	s, _ := w.run("r", &kill{at: -1}, 400, nil)
	in := 0
	for i := range s.Units {
		if s.Units[i].Stage == Rest {
			in++
		}
	}
	if s.Head.Wave != 0 || in != 3 {
		t.Errorf("a wave of 2 that may widen by 1 has %d units in wave %d", in, s.Head.Wave)
	}
}

func TestDeadlineHalts(t *testing.T) {
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	w.start(strings.Replace(serverPlan, "3600", "40", 1))
	if s, err := w.finish(&kill{at: -1}, 1000, nil); err != nil || s.Head.Phase != Backed || !strings.Contains(s.Head.Why, "deadline") {
		t.Errorf("%s, %v: %s", s.Head.Phase, err, s.Head.Why)
	}
}

// Hard case 1: two releases, a window's permit and an operator's drain ask at once in one zone; then servers fail alone.
func TestAllAskAtOnce(t *testing.T) {
	const maxOut = 2
	w := newWorld(t, disruption.KindServer, 2, 6, maxOut)
	half := func(name, ids string) string {
		return strings.Replace(strings.Replace(serverPlan, `name = "r"`, `name = "`+name+`"`, 1), "[[wave]]", "[select]\nids = ["+ids+"]\n[[wave]]", 1)
	}
	w.start(half("r1", `"server/a0","server/a1","server/b0","server/b1"`))
	w.start(half("r2", `"server/a2","server/b2","server/b3"`))
	d, err := NewDrain(DrainPlan("d", disruption.Selector{IDs: []string{"server/a3"}}, 3600), w.now, w.ledger.Units(), w.list())
	if err == nil {
		err = w.apply(&Op{Start: d})
	}
	if err != nil {
		t.Fatal(err)
	}
	window := &disruption.Permit{ID: "window/1", Owner: "window/w", Purpose: "work", Units: []string{"server/a4"}, Priority: disruption.PriorityDeadline, Disposition: disruption.DispositionReturn}
	w.op(&disruption.Op{Kind: disruption.OpRequest, Owner: window.Owner, Permit: window})
	cs := map[string]*controller{}
	for _, name := range w.table.Names() {
		cs[name] = w.take(name)
	}
	for i := range 800 {
		planned := map[string]bool{}
		for _, name := range w.table.Names() {
			c := cs[name]
			c.token = w.token // each holds a duty of its own
			for _, e := range c.state.Step(c.view()) {
				c.carry(e, false)
			}
		}
		switch p, _ := w.ledger.Permit("window/1"); {
		case p.Stage == disruption.StageGranted:
			w.op(&disruption.Op{Kind: disruption.OpBegin, Owner: window.Owner, Permit: window})
		case p.Stage == disruption.StageActive && i > 60:
			w.op(&disruption.Op{Kind: disruption.OpReturn, Owner: window.Owner, Permit: window})
		case p.Stage == disruption.StageReturning:
			w.op(&disruption.Op{Kind: disruption.OpComplete, Owner: window.Owner, Permit: window})
		}
		if i == 30 {
			w.platform.Crash("b5", "signal: killed")
			w.platform.Crash("a5", "signal: killed")
		}
		for _, id := range w.out() {
			planned[id] = true
		}
		if len(planned) > maxOut {
			t.Fatalf("tick %d: %d are out under permits, %d may be", i, len(planned), maxOut)
		}
		w.advance()
	}
	for _, name := range w.table.Names() {
		if s, _ := w.table.Get(name); s.Head.Phase != Done {
			t.Errorf("%s is %s: %+v", name, s.Head.Phase, s.Units)
		}
	}
	if p, _ := w.ledger.Permit("window/1"); p.Stage != disruption.StageCompleted {
		t.Errorf("the window's permit is %s", p.Stage)
	}
}

// A halt between a permit's begin and the first act: nothing was done to the sidecar, so nothing about it changes either.
// Its permit is settled all the same.
func TestAHaltBeforeTheFirstActSettles(t *testing.T) {
	for at := range 12 {
		w := newWorld(t, disruption.KindSidecar, 2, 3, 2)
		w.quiet = true
		w.start(strings.Replace(strings.Replace(serverPlan, "server =", "sidecar =", 1), `"back"`, `"hold"`, 1))
		s, _ := w.run("r", &kill{at: -1}, 400, func(i int, s *State) {
			if i == at {
				tell(t, w, CmdHalt)
			}
			if i == at+100 && s.Head.Phase == Held {
				tell(t, w, CmdResume)
			}
		})
		if s.Head.Phase != Done {
			t.Errorf("halted at tick %d and resumed: %s, %+v", at, s.Head.Phase, s.Units[0])
		}
	}
}

// A server that is drained ends by itself at any moment, and the platform starts it again as its version says: it is
// stopped all the same.
func TestADrainedServerThatThePlatformStartsAgainIsStopped(t *testing.T) {
	for at := range 16 {
		w := newWorld(t, disruption.KindServer, 2, 3, 2)
		s, err := NewDrain(DrainPlan("r", disruption.Selector{IDs: []string{"server/a0"}}, 3600), w.now, w.ledger.Units(), w.list())
		if err == nil {
			err = w.apply(&Op{Start: s})
		}
		if err != nil {
			t.Fatal(err)
		}
		s, _ = w.run("r", &kill{at: -1}, 400, func(i int, _ *State) {
			if i == at {
				w.platform.Crash("a0", "signal: killed")
			}
		})
		if s.Head.Phase != Done || w.platform.LiveProcesses("a0") != 0 {
			t.Errorf("ended by itself at tick %d: %s, %d processes, %+v", at, s.Head.Phase, w.platform.LiveProcesses("a0"), s.Units[0])
		}
	}
}
