package core

import (
	"fmt"
	"testing"

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
