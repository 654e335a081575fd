package core

import (
	"fmt"
	"testing"

	"milldeck/internal/supervisor"
)

var versions = map[Version]ProcessPolicy{
	{supervisor.Sidecar, "1"}: {}, {supervisor.Sidecar, "2"}: {GraceMS: 500}, {supervisor.Sidecar, "crash"}: {MaxRestarts: 2},
}

func start(c *Core, id, unit, version string, incarnation uint64) request {
	return request{
		ID: id, Op: supervisor.Start, Epoch: c.epoch, Unit: unit, Incarnation: incarnation, Kind: supervisor.Sidecar, Version: version,
		Listen: "127.0.0.1:1",
	}
}

func stop(c *Core, id, unit string, incarnation uint64) request {
	return request{ID: id, Op: supervisor.Stop, Epoch: c.epoch, Unit: unit, Incarnation: incarnation}
}

// executeOne passes one valid request to the core and returns its outcome.
func executeOne(t interface{ Fatalf(string, ...any) }, c *Core, now int64, r request) supervisor.Outcome {
	if err := supervisor.ValidateBatch([]request{r}); err != nil {
		t.Fatalf("%v", err)
	}
	response := c.Do(now, []request{r})
	if len(response.Outcomes) != 1 {
		t.Fatalf("%+v, want one outcome", response)
	}
	return response.Outcomes[0]
}

func listedUnit(c *Core, unit string) supervisor.Unit {
	if u := c.list(0).Find(unit); u != nil {
		return *u
	}
	return supervisor.Unit{}
}

// drainEffects returns the pending effects as text, in order, and clears them.
func drainEffects(c *Core) string {
	s := ""
	for _, e := range c.Effects() {
		switch e := e.(type) {
		case Launch:
			s += fmt.Sprintf("launch %d %s %s;", e.Process, e.Unit.Name, e.Unit.Version)
		case Signal:
			s += fmt.Sprintf("%s %d;", [...]string{"term", "kill", "hup"}[e.Kind], e.Process)
		default:
			s += fmt.Sprintf("%T;", e)
		}
	}
	return s
}

func requireText(t *testing.T, description, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", description, got, want)
	}
}

func TestUnitLifecycle(t *testing.T) {
	c := New(Options{Versions: versions}, 1000)
	first := executeOne(t, c, 1000, start(c, "a", "u", "1", 0))
	requireText(t, "start", drainEffects(c), "launch 1 u 1;")
	requireText(t, "start of a starting unit", string(executeOne(t, c, 1000, start(c, "b", "u", "1", first.Incarnation)).Rejected), "busy")
	c.ProcessReady(1100, 1)
	requireText(t, "ready", string(listedUnit(c, "u").State), "running")
	next := executeOne(t, c, 1200, request{
		ID: "c", Op: supervisor.Restart, Epoch: c.epoch, Unit: "u", Incarnation: first.Incarnation, Kind: supervisor.Sidecar, Version: "2",
		Listen: "127.0.0.1:1", GraceMS: 300,
	})
	requireText(t, "restart", drainEffects(c), "term 1;")
	c.Tick(1499)
	requireText(t, "within the grace period", drainEffects(c), "")
	c.Tick(1500)
	requireText(t, "after the grace period", drainEffects(c), "kill 1;")
	c.ProcessExited(1501, 1, "signal: killed")
	requireText(t, "after the process has exited", drainEffects(c), "launch 2 u 2;")
	if u := listedUnit(c, "u"); u.Incarnation != next.Incarnation || u.Incarnation == first.Incarnation || u.Version != "2" {
		t.Errorf("%+v, want incarnation %d of version 2", u, next.Incarnation)
	}
	requireText(t, "a late stop of the previous incarnation", string(executeOne(t, c, 1600, stop(c, "d", "u", first.Incarnation)).Rejected), "stale")
	executeOne(t, c, 1600, stop(c, "e", "u", next.Incarnation))
	c.Tick(2099)
	requireText(t, "within the version's grace period", drainEffects(c), "term 2;")
	c.Tick(2100)
	requireText(t, "after the version's grace period", drainEffects(c), "kill 2;")
	c.ProcessExited(2100, 2, "signal: killed")
	requireText(t, "unknown version", string(executeOne(t, c, 1600, start(c, "f", "u", "9", next.Incarnation)).Rejected), "no_version")
	executeOne(t, c, 3000, start(c, "g", "u", "crash", next.Incarnation))
	for i, due := range []int64{3200, 3600} {
		c.ProcessExited(due-200<<i, uint64(3+i), "exit status 1")
		drainEffects(c)
		c.Tick(due - 1)
		requireText(t, "before the automatic restart", string(listedUnit(c, "u").State)+drainEffects(c), "exited")
		c.Tick(due)
		requireText(t, "the automatic restart", drainEffects(c), fmt.Sprintf("launch %d u crash;", 4+i))
	}
	c.ProcessExited(4000, 5, "exit status 1")
	c.Tick(1e6)
	if u := listedUnit(c, "u"); u.State != supervisor.Exited || u.Restarts != 2 || drainEffects(c) != "" {
		t.Errorf("%+v, want no more than two restarts", u)
	}
}

// setFault injects a fault at 1000 ms.
func setFault(t *testing.T, c *Core, fault Fault) {
	t.Helper()
	if err := c.SetFault(1000, fault); err != nil {
		t.Fatal(err)
	}
}

// newCoreWithUnits returns a core with the running units a and b, whose processes are 1 and 2.
func newCoreWithUnits(t *testing.T) *Core {
	t.Helper()
	c := New(Options{Versions: versions}, 1000)
	for i, unit := range []string{"a", "b"} {
		executeOne(t, c, 1000, start(c, unit, unit, "1", 0))
		c.ProcessReady(1000, uint64(1+i))
	}
	drainEffects(c)
	return c
}

func TestFaults(t *testing.T) {
	t.Run("duplicate, then wrong unit", func(t *testing.T) {
		c := newCoreWithUnits(t)
		setFault(t, c, Fault{Kind: FaultDuplicate})
		executeOne(t, c, 1000, start(c, "x", "c", "1", 0))
		requireText(t, "duplicate start", drainEffects(c), "launch 3 c 1;launch 4 c 1;")

		setFault(t, c, Fault{Kind: FaultWrongUnit})
		executeOne(t, c, 1000, stop(c, "y", "a", 1))
		requireText(t, "stop of the wrong unit", drainEffects(c)+string(listedUnit(c, "a").State+listedUnit(c, "b").State), "term 2;runningstopping")
	})

	t.Run("partial execution of two stops", func(t *testing.T) {
		c := newCoreWithUnits(t)
		setFault(t, c, Fault{Kind: FaultPartial, On: OnDo})
		both := []request{stop(c, "s1", "a", 1), stop(c, "s2", "b", 2)}
		if response := c.Do(1000, both); response.Failure == "" {
			t.Errorf("%+v, want a failure", response)
		}
		requireText(t, "the first stop", drainEffects(c), "term 1;")
		if response := c.Do(1000, both); response.Failure != "" || len(response.Outcomes) != 2 {
			t.Errorf("%+v, want the outcomes of both stops after the repeat", response)
		}
		requireText(t, "the second stop", drainEffects(c), "term 2;")
	})

	t.Run("partial execution of a restart", func(t *testing.T) {
		c := newCoreWithUnits(t)
		setFault(t, c, Fault{Kind: FaultPartial})
		executeOne(t, c, 1000, request{
			ID: "r", Op: supervisor.Restart, Epoch: c.epoch, Unit: "a", Incarnation: 1, Kind: supervisor.Sidecar, Version: "2", Listen: "127.0.0.1:1",
		})
		c.ProcessExited(1100, 1, "exit status 0")
		requireText(t, "stop without a start", drainEffects(c)+string(listedUnit(c, "a").State), "term 1;exited")
	})

	t.Run("hang", func(t *testing.T) {
		c := newCoreWithUnits(t)
		setFault(t, c, Fault{Kind: FaultHang, DurationMS: 500})
		response := c.Do(1000, []request{stop(c, "h", "a", 1)})
		requireText(t, "deferred call", fmt.Sprint(response.DeferredTicket != 0)+drainEffects(c), "true")
		c.Tick(1500)
		requireText(t, "end of the fault", drainEffects(c), "term 1;core.DeferredResponse;")
	})

	t.Run("lost state", func(t *testing.T) {
		c := newCoreWithUnits(t)
		before := c.list(0)
		late := stop(c, "l", "a", 1)
		setFault(t, c, Fault{Kind: FaultLoseState, DurationMS: 500})
		if list := c.list(0); list.Epoch <= before.Epoch || list.Complete || len(list.Units) != 0 {
			t.Errorf("%+v, want another epoch and no units", list)
		}
		requireText(t, "a request of the previous epoch", string(executeOne(t, c, 1000, late).Rejected), "forgotten")
		c.Tick(1500)
		if list := c.list(0); !list.Complete || len(list.Units) != 2 || list.Units[0].State != supervisor.Running {
			t.Errorf("%+v, want both units found again", list)
		}
	})
}

// The numbers of records and units are bounded. The core evicts the oldest record whose unit is neither starting nor
// stopping, and the unit that exited first. It never evicts a unit with a running process.
func TestRecordsAndUnitsAreBounded(t *testing.T) {
	c := New(Options{Versions: versions, MaxUnits: 2, MaxRequestIDs: 4}, 1)
	a := start(c, "a", "a", "1", 0)
	executeOne(t, c, 1, a)
	b := executeOne(t, c, 1, start(c, "b", "b", "1", 0))
	requireText(t, "a third unit", string(executeOne(t, c, 1, start(c, "c", "c", "1", 0)).Rejected), "full")
	c.ProcessReady(2, 2)
	executeOne(t, c, 3, stop(c, "d", "b", b.Incarnation))
	c.ProcessExited(4, 2, "exit status 0")
	drainEffects(c)
	if out := executeOne(t, c, 5, start(c, "e", "c", "1", 0)); out.Rejected != "" {
		t.Errorf("%+v, want the exited unit evicted", out)
	}
	requireText(t, "effects of the eviction and the start", drainEffects(c), "core.UnitRemoved;launch 3 c 1;")
	if len(c.records) != 4 || len(c.recordOrder) != 4 || c.records["a"] == nil || c.records["b"] != nil {
		t.Errorf("%d records, a %v, b %v, want a retained while its unit starts", len(c.records), c.records["a"], c.records["b"])
	}
	if out := executeOne(t, c, 5, a); out.Rejected != "" || drainEffects(c) != "" {
		t.Errorf("a repeated request had an effect: %+v", out)
	}
}
