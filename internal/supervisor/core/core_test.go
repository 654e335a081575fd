package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/supervisor"
)

var versions = map[Version]Rules{
	{supervisor.Sidecar, "1"}: {}, {supervisor.Sidecar, "2"}: {GraceMS: 500}, {supervisor.Sidecar, "crash"}: {Restarts: 2},
}

func start(c *Core, id, unit, version string, incarnation uint64) request {
	return request{
		ID: id, Op: supervisor.Start, Memory: c.memory, Unit: unit, Incarnation: incarnation, Kind: supervisor.Sidecar, Version: version,
		Listen: "127.0.0.1:1",
	}
}

func stop(c *Core, id, unit string, incarnation uint64) request {
	return request{ID: id, Op: supervisor.Stop, Memory: c.memory, Unit: unit, Incarnation: incarnation}
}

// one does one request and gives its outcome.
func one(t interface{ Fatalf(string, ...any) }, c *Core, now int64, r request) supervisor.Outcome {
	if err := supervisor.CheckCall([]request{r}); err != nil {
		t.Fatalf("%v", err)
	}
	a := c.Do(now, []request{r})
	if len(a.Outcomes) != 1 {
		t.Fatalf("%+v, want one outcome", a)
	}
	return a.Outcomes[0]
}

func state(c *Core, unit string) supervisor.Unit {
	if u := c.list(0).Find(unit); u != nil {
		return *u
	}
	return supervisor.Unit{}
}

// effects as text, in order.
func effects(c *Core) string {
	s := ""
	for _, e := range c.Effects() {
		switch e := e.(type) {
		case Launch:
			s += fmt.Sprintf("launch %d %s %s;", e.Proc, e.Unit.Name, e.Unit.Version)
		case Signal:
			s += fmt.Sprintf("%s %d;", [...]string{"term", "kill", "hup"}[e.Sig], e.Proc)
		default:
			s += fmt.Sprintf("%T;", e)
		}
	}
	return s
}

func want(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

func TestLifeOfAUnit(t *testing.T) {
	c := New(Options{Versions: versions}, 1000)
	first := one(t, c, 1000, start(c, "a", "u", "1", 0))
	want(t, "start", effects(c), "launch 1 u 1;")
	want(t, "a second start", string(one(t, c, 1000, start(c, "b", "u", "1", first.Incarnation)).Refused), "busy")
	c.Ready(1100, 1)
	want(t, "ready", string(state(c, "u").State), "running")
	next := one(t, c, 1200, request{
		ID: "c", Op: supervisor.Restart, Memory: c.memory, Unit: "u", Incarnation: first.Incarnation, Kind: supervisor.Sidecar, Version: "2",
		Listen: "127.0.0.1:1", GraceMS: 300,
	})
	want(t, "restart", effects(c), "term 1;")
	c.Tick(1499)
	want(t, "within the grace", effects(c), "")
	c.Tick(1500)
	want(t, "the grace", effects(c), "kill 1;")
	c.Ended(1501, 1, "signal: killed")
	want(t, "the end", effects(c), "launch 2 u 2;")
	if u := state(c, "u"); u.Incarnation != next.Incarnation || u.Incarnation == first.Incarnation || u.Version != "2" {
		t.Errorf("%+v, want incarnation %d of version 2", u, next.Incarnation)
	}
	want(t, "a late stop of the one before", string(one(t, c, 1600, stop(c, "d", "u", first.Incarnation)).Refused), "stale")
	one(t, c, 1600, stop(c, "e", "u", next.Incarnation))
	c.Tick(2099)
	want(t, "the version's grace", effects(c), "term 2;")
	c.Tick(2100)
	want(t, "the version's grace", effects(c), "kill 2;")
	c.Ended(2100, 2, "signal: killed")
	want(t, "no version", string(one(t, c, 1600, start(c, "f", "u", "9", next.Incarnation)).Refused), "no_version")
	one(t, c, 3000, start(c, "g", "u", "crash", next.Incarnation))
	for i, due := range []int64{3200, 3600} {
		c.Ended(due-200<<i, uint64(3+i), "exit status 1")
		effects(c)
		c.Tick(due - 1)
		want(t, "before the restart", string(state(c, "u").State)+effects(c), "exited")
		c.Tick(due)
		want(t, "by itself", effects(c), fmt.Sprintf("launch %d u crash;", 4+i))
	}
	c.Ended(4000, 5, "exit status 1")
	c.Tick(1e6)
	if u := state(c, "u"); u.State != supervisor.Exited || u.Restarts != 2 || effects(c) != "" {
		t.Errorf("%+v, want an end after two restarts", u)
	}
}

func TestFaultsDoWhatTheySay(t *testing.T) {
	set := func(c *Core, f Fault) {
		t.Helper()
		if err := c.SetFault(1000, f); err != nil {
			t.Fatal(err)
		}
	}
	fresh := func() *Core {
		c := New(Options{Versions: versions}, 1000)
		for i, unit := range []string{"a", "b"} {
			one(t, c, 1000, start(c, unit, unit, "1", 0))
			c.Ready(1000, uint64(1+i))
		}
		effects(c)
		return c
	}
	c := fresh()
	set(c, Fault{Kind: Twice})
	one(t, c, 1000, start(c, "x", "c", "1", 0))
	want(t, "twice", effects(c), "launch 3 c 1;launch 4 c 1;")

	set(c, Fault{Kind: Wrong})
	one(t, c, 1000, stop(c, "y", "a", 1))
	want(t, "wrong", effects(c)+string(state(c, "a").State+state(c, "b").State), "term 2;runningstopping")

	c = fresh()
	set(c, Fault{Kind: Half, On: OnDo})
	both := []request{stop(c, "s1", "a", 1), stop(c, "s2", "b", 2)}
	if a := c.Do(1000, both); a.Failed == "" {
		t.Errorf("%+v, want a failure", a)
	}
	want(t, "half of two", effects(c), "term 1;")
	if a := c.Do(1000, both); a.Failed != "" || len(a.Outcomes) != 2 {
		t.Errorf("%+v, want both done by the repeat", a)
	}
	want(t, "the other half", effects(c), "term 2;")

	c = fresh()
	set(c, Fault{Kind: Half})
	one(t, c, 1000, request{
		ID: "r", Op: supervisor.Restart, Memory: c.memory, Unit: "a", Incarnation: 1, Kind: supervisor.Sidecar, Version: "2", Listen: "127.0.0.1:1",
	})
	c.Ended(1100, 1, "exit status 0")
	want(t, "half of a restart", effects(c)+string(state(c, "a").State), "term 1;exited")

	c = fresh()
	set(c, Fault{Kind: Hang, ForMS: 500})
	a := c.Do(1000, []request{stop(c, "h", "a", 1)})
	want(t, "hangs", fmt.Sprint(a.Held != 0)+effects(c), "true")
	c.Tick(1500)
	want(t, "goes on", effects(c), "term 1;core.Answered;")

	c = fresh()
	before := c.list(0)
	late := stop(c, "l", "a", 1)
	set(c, Fault{Kind: Forget, ForMS: 500})
	if l := c.list(0); l.Memory <= before.Memory || l.Complete || len(l.Units) != 0 {
		t.Errorf("%+v, want another memory and no units", l)
	}
	want(t, "asked of the memory before", string(one(t, c, 1000, late).Refused), "forgotten")
	c.Tick(1500)
	if l := c.list(0); !l.Complete || len(l.Units) != 2 || l.Units[0].State != supervisor.Running {
		t.Errorf("%+v, want both found again", l)
	}
}

// Ids and units are bounded; what goes is the oldest that has settled, and a unit that lives never goes.
func TestMemoryIsBounded(t *testing.T) {
	c := New(Options{Versions: versions, MostUnits: 2, MostIDs: 4}, 1)
	a := start(c, "a", "a", "1", 0)
	one(t, c, 1, a)
	b := one(t, c, 1, start(c, "b", "b", "1", 0))
	want(t, "a third unit", string(one(t, c, 1, start(c, "c", "c", "1", 0)).Refused), "full")
	c.Ready(2, 2)
	one(t, c, 3, stop(c, "d", "b", b.Incarnation))
	c.Ended(4, 2, "exit status 0")
	effects(c)
	if out := one(t, c, 5, start(c, "e", "c", "1", 0)); out.Refused != "" {
		t.Errorf("%+v, want the place of the one that has exited", out)
	}
	want(t, "the one that has exited", effects(c), "core.Dropped;launch 3 c 1;")
	if len(c.ids) != 4 || len(c.order) != 4 || c.ids["a"] == nil || c.ids["b"] != nil {
		t.Errorf("%d ids, a %v, b %v, want a kept as it starts", len(c.ids), c.ids["a"], c.ids["b"])
	}
	if out := one(t, c, 5, a); out.Refused != "" || effects(c) != "" {
		t.Errorf("a repeat did something: %+v", out)
	}
}

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
func (w *world) bring(draw func(int) int, id, unit, version string) (all []request, err error) {
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
		for range 1 + draw(3) {
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

// play has units come to drawn versions, once without faults and once with them and with repeats of earlier
// requests, some long after. Both have to end alike, and no request has to have started two processes.
func play(draw func(int) int, b bug) error {
	clean, rough := newWorld(none), newWorld(b)
	never := func(int) int { return 0 }
	var past []request
	for i := range 1 + draw(12) {
		unit, version := []string{"a", "b", "c"}[draw(3)], []string{"", "1", "2"}[draw(3)]
		f := []Fault{
			{}, {Kind: Fail}, {Kind: Hang, ForMS: 50}, {Kind: Late, DelayMS: 10}, {Kind: Lose}, {Kind: Forget, ForMS: 200},
		}[draw(6)]
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
		for range draw(4) {
			if len(past) > 0 {
				rough.ask(past[draw(len(past))])
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
		if err := play(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, none); err != nil {
			t.Fatal(err)
		}
	})
}

// The model finds what is planted, and nothing where nothing is.
func TestModelFindsPlantedBugs(t *testing.T) {
	for b, name := range []string{none: "none", forgetsFailed: "id forgotten on failure", anyIncarnation: "any incarnation", anyMemory: "any memory"} {
		var found error
		seed := uint64(0)
		for ; seed < 300 && found == nil; seed++ {
			r := rand.New(rand.NewPCG(seed, 0))
			found = play(r.IntN, bug(b))
		}
		t.Logf("%s: %v at seed %d", name, found, seed)
		if (found != nil) != (bug(b) != none) {
			t.Errorf("%s: found %v", name, found)
		}
	}
}
