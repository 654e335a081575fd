package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/supervisor"
)

// bug is planted into how the core is asked.
type bug int

const (
	none           bug = iota
	forgetsFailed      // an id is not remembered when the answer failed
	anyIncarnation     // a request takes whatever incarnation there is
	anyMemory          // a request takes whatever memory there is
)

// world runs the core with processes that are ready at once and end when they are told to.
type world struct {
	*Core
	now     int64
	bug     bug
	started map[string]int // processes by request
	living  map[uint64]string
}

func newWorld(b bug) *world {
	return &world{
		Core: New(Options{Versions: versions, MostIDs: 8}, 1), now: 1, bug: b,
		started: map[string]int{}, living: map[uint64]string{},
	}
}

func (w *world) settle() {
	w.Tick(w.now)
	for all := w.Effects(); len(all) > 0; all = w.Effects() {
		for _, e := range all {
			switch e := e.(type) {
			case Launch:
				w.living[e.Proc] = e.Unit.Name
				w.started[e.Unit.Config]++
				w.Ready(w.now, e.Proc)
			case Signal:
				if e.Sig != Hup && w.living[e.Proc] != "" {
					delete(w.living, e.Proc)
					w.Ended(w.now, e.Proc, "exit status 0")
				}
			}
		}
	}
}

// ask calls once; nil: the outcome is not known.
func (w *world) ask(r request) *supervisor.Outcome {
	if u := w.units[r.Unit]; u != nil && w.bug == anyIncarnation {
		r.Incarnation = u.Incarnation
	}
	if w.bug == anyMemory {
		r.Memory = w.memory
	}
	a := w.Do(w.now, []request{r})
	w.settle()
	if w.bug == forgetsFailed && (a.Cut || a.Failed != "") {
		delete(w.ids, r.ID)
	}
	if a.Cut || a.Failed != "" || a.Held != 0 {
		w.now += 10 // as long as the caller waits
		w.settle()
		return nil
	}
	return &a.Outcomes[0]
}

// bring has a unit stand at a version, "" for stopped, as a careful caller does: it looks at the list, asks, and
// asks some times with the same id; where it still does not know, it looks again. A request's id is its
// configuration's name too, so that its processes can be counted.
func (w *world) bring(draw draw, id, unit, version string) (all []request, err error) {
	for try := range 30 {
		l := w.list(w.now)
		for ; !l.Complete; l = w.list(w.now) {
			w.now += 100
			w.settle()
		}
		u := l.Find(unit)
		r := request{ID: fmt.Sprintf("%s.%d", id, try), Op: supervisor.Stop, Memory: l.Memory, Unit: unit}
		up := u != nil && u.State != supervisor.Exited
		if u != nil {
			r.Incarnation = u.Incarnation
		}
		switch {
		case version == "" && !up, up && u.Version == version:
			return all, nil
		case version != "":
			r.Op, r.Kind, r.Version, r.Listen, r.Config = supervisor.Start, supervisor.Sidecar, version, "127.0.0.1:1", r.ID
			if up {
				r.Op = supervisor.Restart
			}
		}
		all = append(all, r)
		for range 1 + draw("tries", 3) {
			out := w.ask(r)
			if out != nil && out.Refused == supervisor.Stale && w.started[r.ID] > 0 {
				return nil, fmt.Errorf("%s was done, and its repeat is refused: %s", r.ID, out.Text)
			}
			if out != nil {
				break
			}
		}
	}
	return nil, fmt.Errorf("%s does not come to %q: %+v", unit, version, w.list(w.now))
}

// draw gives a choice among n, from 0.
type draw func(what string, n int) int

// play has units come to drawn versions, once without faults and once with them and with repeats of earlier
// requests, some long after. Both have to end alike, and no request has to have started two processes.
func play(draw draw, b bug) error {
	clean, rough := newWorld(none), newWorld(b)
	never := func(string, int) int { return 0 }
	var past []request
	for i := range 1 + draw("steps", 12) {
		unit, version := []string{"a", "b", "c"}[draw("unit", 3)], []string{"", "1", "2"}[draw("version", 3)]
		f := []Fault{
			{}, {Kind: Fail}, {Kind: Hang, ForMS: 50}, {Kind: Late, DelayMS: 10}, {Kind: Lose}, {Kind: Forget, ForMS: 200},
		}[draw("fault", 6)]
		if f.Kind != "" {
			if err := rough.SetFault(rough.now, f); err != nil {
				return err
			}
		}
		asked, err := rough.bring(draw, fmt.Sprint("step", i), unit, version)
		if err != nil {
			return err
		}
		past = append(past, asked...)
		if _, err := clean.bring(never, fmt.Sprint("step", i), unit, version); err != nil {
			return err
		}
		rough.now += 20
		rough.settle()
		for range draw("repeats", 4) {
			if len(past) > 0 {
				rough.ask(past[draw("repeat", len(past))])
			}
		}
	}
	rough.Clear(rough.now)
	for id, n := range rough.started {
		if n != 1 {
			return fmt.Errorf("%s has started %d processes", id, n)
		}
	}
	alive := map[string]int{}
	for _, unit := range rough.living {
		if alive[unit]++; alive[unit] > 1 {
			return fmt.Errorf("%s lives twice", unit)
		}
	}
	if got, want := rough.ends(), clean.ends(); !maps.Equal(got, want) {
		return fmt.Errorf("units end as %v, without faults as %v", got, want)
	}
	return nil
}

// ends are the versions of units that live.
func (w *world) ends() map[string]string {
	w.now += 1000
	w.settle()
	m := map[string]string{}
	for _, u := range w.list(w.now).Units {
		if u.State != supervisor.Exited {
			m[u.Name] = u.Version
		}
	}
	return m
}

func TestRepeatsAndFaultsEndAsCallsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := play(func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(t, what) }, none); err != nil {
			t.Fatal(err)
		}
	})
}

// All plays of two steps for one unit, once with up to two tries of each call and once with up to one late repeat
// after each step.
func TestTwoStepsInAllWays(t *testing.T) {
	for _, c := range []struct{ tries, repeats int }{{2, 1}, {1, 2}} {
		var picks, ways []int // of this play: the choice taken, and among how many
		plays := 0
		for more := true; more; plays++ {
			at := 0
			err := play(func(what string, n int) int {
				switch what {
				case "steps":
					return 1
				case "unit":
					return 0
				case "tries":
					n = c.tries
				case "repeats":
					n = c.repeats
				}
				if at == len(picks) {
					picks, ways = append(picks, 0), append(ways, 0)
				}
				ways[at] = n
				at++
				return picks[at-1]
			}, none)
			if err != nil {
				t.Fatalf("%v: %v", picks, err)
			}
			// The next play differs in the last choice that has another way left.
			picks, ways = picks[:at], ways[:at]
			for more = false; len(picks) > 0 && !more; {
				last := len(picks) - 1
				if picks[last]++; picks[last] < ways[last] {
					more = true
				} else {
					picks, ways = picks[:last], ways[:last]
				}
			}
		}
		t.Logf("%+v: %d plays", c, plays)
	}
}

// The model finds what is planted, and nothing where nothing is.
func TestModelFindsPlantedBugs(t *testing.T) {
	for b, name := range []string{none: "none", forgetsFailed: "id forgotten on failure", anyIncarnation: "any incarnation", anyMemory: "any memory"} {
		var found error
		seed := uint64(0)
		for ; seed < 300 && found == nil; seed++ {
			r := rand.New(rand.NewPCG(seed, 0))
			found = play(func(_ string, n int) int { return r.IntN(n) }, bug(b))
		}
		t.Logf("%s: %v at seed %d", name, found, seed)
		if (found != nil) != (bug(b) != none) {
			t.Errorf("%s: found %v", name, found)
		}
	}
}
