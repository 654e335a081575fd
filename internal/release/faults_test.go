package release

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/supervisor/core"
)

// seedsFlag is how many seeds of random faults are played. The figures are of 300.
var seedsFlag = flag.Uint64("seeds", 6, "seeds of random faults")

// finish plays a release to its end and tells whether all its units are where its phase says.
func (w *world) finish(k *kill, ticks int, before func(int, *State)) (*State, error) {
	s, _ := w.run("r", k, ticks, before)
	for range 60 { // who has failed alone at the very end comes up again by itself
		w.advance()
	}
	switch s.Head.Phase {
	case Done:
		return s, w.all(s, s.Units[0].To.Version, s.Units[0].To.Config)
	case Backed:
		return s, w.all(s, s.Units[0].Was.Version, s.Units[0].Was.Config)
	case Stranded:
		return s, w.exact(s)
	}
	return s, fmt.Errorf("it is still %s: %s", s.Head.Phase, s.Head.Why)
}

// exact tells whether the list of a way back that has left units stranded is that of those that are not on the old version.
func (w *world) exact(s *State) error {
	for i := range s.Units {
		u := w.units[s.Units[i].ID]
		listed := slices.ContainsFunc(s.Head.Stranded, func(line string) bool {
			return strings.HasPrefix(line, u.unit.ID+":") || strings.HasPrefix(line, u.unit.ID+" ")
		})
		if old := w.up(u) && u.version == s.Units[i].Was.Version && u.config == s.Units[i].Was.Config; old == listed {
			return fmt.Errorf("%s runs %s, up %v, and is listed as stranded: %v", u.unit.ID, u.version, w.up(u), listed)
		}
	}
	return nil
}

// halted plays a release that a guard sends back while an operator has halted the whole fleet.
func halted(t testing.TB, b bugs) error {
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	w.bugs = b
	w.start(serverPlan)
	w.verdict = func(s *State) judge.Verdict {
		if s.Head.Wave == 1 {
			return judge.Verdict{Kind: judge.Harm, Why: "planted"}
		}
		return judge.Verdict{Kind: judge.Pass}
	}
	s, err := w.finish(&kill{at: -1}, 1000, func(_ int, s *State) {
		if s.Head.Phase == Back {
			w.op(&disruption.Op{Kind: disruption.OpHalt, Owner: "operator/eva", Halt: &disruption.Halt{Reason: "a bad night"}})
		}
	})
	if err == nil && s.Head.Phase != Backed {
		err = fmt.Errorf("it is %s", s.Head.Phase)
	}
	return err
}

// forgotten plays a release while the platform forgets at a tick, and finds all again 8 s later.
func forgotten(t testing.TB, b bugs, at int) error {
	w := newWorld(t, disruption.KindServer, 2, 3, 2)
	w.bugs = b
	w.start(serverPlan)
	two := 0
	_, err := w.finish(&kill{at: -1}, 1000, func(i int, _ *State) {
		if i == at {
			if err := w.platform.SetFault(core.Fault{Kind: core.FaultLoseState, DurationMS: 8000}); err != nil {
				t.Fatal(err)
			}
		}
		for _, id := range w.ids {
			two = max(two, w.platform.LiveProcesses(w.units[id].name()))
		}
	})
	if two > 1 {
		err = fmt.Errorf("once: a unit had %d processes", two)
	}
	return err
}

func TestAWayBackGoesOnWhileTheFleetIsHalted(t *testing.T) {
	if err := halted(t, bugs{}); err != nil {
		t.Error(err)
	}
}

func TestAPlatformThatForgetsIsNoEvidence(t *testing.T) {
	for at := range 60 {
		if err := forgotten(t, bugs{}, at); err != nil {
			t.Errorf("forgets at tick %d: %v", at, err)
		}
	}
}

// Each planted bug is found by the tests that are there for it.
func TestPlantedBugsAreFound(t *testing.T) {
	kills := func(sc scenario, b bugs) (err error) {
		if _, e := sc.play(t, &kill{at: -1}, b); e != nil {
			t.Errorf("%+v shows without a kill: %v", b, e)
		}
		for at := 0; at < 120 && err == nil; at++ {
			for _, mode := range []string{"before", "after", "frozen"} {
				if _, e := sc.play(t, &kill{at: at, mode: mode}, b); e != nil {
					err = e
				}
			}
		}
		return err
	}
	for _, c := range []struct {
		name string
		find func() error
	}{
		{"steps written after what they do", func() error { return kills(scenarios[0], bugs{late: true}) }},
		{"request ids that do not follow from what is written", func() error {
			for _, sc := range scenarios {
				if sc.name == "configuration" {
					return kills(sc, bugs{random: true})
				}
			}
			return nil
		}},
		{"ways back that ask behind forward steps", func() error { return halted(t, bugs{behind: true}) }},
		{"absence at a platform that has forgotten taken for an end", func() (err error) {
			for at := 0; at < 60 && err == nil; at++ {
				err = forgotten(t, bugs{forgets: true}, at)
			}
			return err
		}},
	} {
		err := c.find()
		if err == nil {
			t.Errorf("%s: not found", c.name)
		} else {
			t.Logf("%s: found: %v", c.name, err)
		}
	}
}

// Hard case 4: the platform hangs, does half, loses answers, starts one twice, stops the wrong one, forgets all, each at
// every moment of a release and of a way back.
func TestFaultsOfThePlatform(t *testing.T) {
	faults := []core.Fault{
		{Kind: core.FaultHang, DurationMS: 20_000}, {Kind: core.FaultError, Count: 3}, {Kind: core.FaultPartial, On: core.OnDo}, {Kind: core.FaultDropResponse, Count: 2},
		{Kind: core.FaultWrongUnit, On: core.OnDo}, {Kind: core.FaultLoseState, DurationMS: 5000},
	}
	for _, f := range faults {
		for _, back := range []int{0, 62} {
			for at := 0; at < 100; at += 7 {
				w := newWorld(t, disruption.KindServer, 2, 3, 2)
				w.start(serverPlan)
				_, err := w.finish(&kill{at: -1}, 3000, func(i int, s *State) {
					if i == at {
						if err := w.platform.SetFault(f); err != nil {
							t.Fatal(err)
						}
					}
					if i == back && back > 0 {
						w.apply(&Op{Name: "r", Tell: &Command{What: CmdBack, By: "operator/eva"}})
					}
				})
				if err != nil {
					t.Errorf("%s at tick %d, back at %d: %v", f.Kind, at, back, err)
				}
				for what, n := range w.launches {
					if most := 2; n > most { // a start that was done by half, or a unit that was stopped wrongly, is started again
						t.Errorf("%s at tick %d, back at %d: %s was started %d times", f.Kind, at, back, what, n)
					}
				}
			}
		}
	}
}

// The same core with 200 units and faults at random: units that fail alone, a platform that fails, controllers that are
// killed and frozen, halts and resumes by hand, harm. It ends on all new or all old, never over its budget.
func TestRandomFaults(t *testing.T) {
	seeds := *seedsFlag
	ends := map[Phase]int{}
	for seed := range seeds {
		if err := random(t, seed, ends); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d seeds ended %v", seeds, ends)
}

func random(t testing.TB, seed uint64, ends map[Phase]int) error {
	r := rand.New(rand.NewPCG(seed, 7))
	const maxOut = 12
	w := newWorld(t, disruption.KindServer, 4, 50, maxOut)
	text := strings.Replace(serverPlan, "count = 1", "share = 0.05", 1)
	text = strings.Replace(text, "count = 2", "count = 10", 1)
	if r.IntN(2) == 0 {
		text = strings.Replace(text, `"back"`, `"hold"`, 1)
	}
	w.start(text)
	harm := -1
	if r.IntN(2) == 0 {
		harm = r.IntN(300)
	}
	tick := 0
	w.verdict = func(*State) judge.Verdict {
		if harm >= 0 && tick >= harm {
			return judge.Verdict{Kind: judge.Harm, Why: "planted"}
		}
		return judge.Verdict{Kind: judge.Pass}
	}
	k := &kill{at: r.IntN(200), mode: []string{"before", "after", "frozen"}[r.IntN(3)]}
	var tooMany error
	crashed := map[int]bool{}
	s, err := w.finish(k, 4000, func(i int, s *State) {
		tick = i
		if k.fired && k.thaw == 0 && r.IntN(20) == 0 {
			k.fired, k.at, k.mode = false, k.effect+r.IntN(60), []string{"before", "after", "frozen"}[r.IntN(3)]
		}
		if i%50 == 49 { // a replica that was restored from a snapshot goes on alike
			w.restore()
		}
		if i < 400 && r.IntN(40) == 0 {
			w.platform.SetFault([]core.Fault{
				{Kind: core.FaultHang, DurationMS: 5000}, {Kind: core.FaultError, Count: 2}, {Kind: core.FaultPartial, On: core.OnDo}, {Kind: core.FaultDropResponse, Count: 2},
				{Kind: core.FaultLoseState, DurationMS: 3000}, {Kind: core.FaultDelay, DelayMS: 3000},
			}[r.IntN(6)])
		}
		if i < 400 && r.IntN(60) == 0 {
			n := r.IntN(len(w.ids))
			if !crashed[n] { // it fails alone; the platform starts it again, once
				w.platform.Crash(w.units[w.ids[n]].name(), "signal: killed")
			}
			crashed[n] = true
		}
		if i < 400 && r.IntN(80) == 0 {
			w.apply(&Op{Name: "r", Tell: &Command{What: []string{CmdHalt, CmdResume}[r.IntN(2)], By: "operator/eva"}})
		}
		if i > 400 && s.Head.Phase == Held && i%50 == 0 {
			w.apply(&Op{Name: "r", Tell: &Command{What: CmdBack, By: "operator/eva"}})
		}
		if n := w.planned(s, crashed); n > maxOut && tooMany == nil {
			tooMany = fmt.Errorf("budget: %d units are out for planned reasons at tick %d, %d may be", n, i, maxOut)
		}
	})
	ends[s.Head.Phase]++
	if err == nil {
		err = tooMany
	}
	return err
}

// restore takes the table through a snapshot.
func (w *world) restore() {
	data, err := json.Marshal(w.table.Save())
	if err != nil {
		w.t.Fatal(err)
	}
	var s Saved
	if err := json.Unmarshal(data, &s); err != nil {
		w.t.Fatal(err)
	}
	claims := len(w.table.claims)
	if w.table = Load(&s); len(w.table.claims) != claims {
		w.t.Fatalf("%d claims after a restore, %d before", len(w.table.claims), claims)
	}
}

// planned counts the units that are truly out and under a permit, but for those that have failed alone: a permit for one
// that is out anyway takes no room.
func (w *world) planned(s *State, crashed map[int]bool) int {
	n := 0
	for i := range s.Units {
		if !s.Units[i].flying() || crashed[slices.Index(w.ids, s.Units[i].ID)] {
			continue
		}
		p, known := w.ledger.Permit(s.PermitID(&s.Units[i]))
		if known && (p.Stage == disruption.StageActive || p.Stage == disruption.StageReturning) && !w.up(w.units[s.Units[i].ID]) {
			n++
		}
	}
	return n
}
