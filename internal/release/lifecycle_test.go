package release

import (
	"fmt"
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// holdOnHaltPlan is serverPlan, but a halt holds the updated units.
var holdOnHaltPlan = strings.Replace(serverPlan, `"back"`, `"hold"`, 1)

const configPlan = `name = "r"
on_halt = "hold"
deadline_s = 3600
[what]
sidecar_config = "c2"
[[wave]]
bake_s = 2
`

func sendCommand(t testing.TB, model *clusterModel, action Action) {
	t.Helper()
	if err := model.command(action); err != nil {
		t.Fatal(err)
	}
}

// checkEnd runs the release r to its end, and checks its phase and a part of the reason of its halt.
func checkEnd(t *testing.T, model *clusterModel, ticks int, phase Phase, reason string) *State {
	t.Helper()
	state, err := model.runToEnd(noCrash(), ticks, nil)
	status := &state.Status
	if err != nil || status.Phase != phase || !strings.Contains(status.HaltReason, reason) {
		t.Fatalf("ended %s, %v, reason %q; want %s for %q", status.Phase, err, status.HaltReason, phase, reason)
	}
	return state
}

// A version that cannot come up affects the units of one wave at most, and is rolled back by itself.
func TestFailedStartRollsBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(*clusterModel)
		reason string
	}{
		{"fails at its start", func(model *clusterModel) { model.broken["2"] = true }, "exit status 1"},
		{"is never ready", func(model *clusterModel) { model.neverReady["2"] = true }, "it runs, but is unready"},
	} {
		t.Run(c.name, func(t *testing.T) {
			model := newClusterModel(t, disruption.KindServer, 2, 10, 4)
			model.startRelease(serverPlan)
			c.inject(model)
			checkEnd(t, model, 4000, PhaseRolledBack, c.reason)
			if started := model.launchesOf("2"); started > 2 {
				t.Errorf("%d of 20 units were started on it", started)
			}
		})
	}
}

func TestUnknownVersionRollsBack(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, `server = "2"`, `server = "9"`, 1))
	checkEnd(t, model, 1000, PhaseRolledBack, "no server of version 9")
}

// A configuration that a sidecar rejects at SIGHUP halts the wave there, and is replaced by the previous one.
func TestRejectedConfigurationHalts(t *testing.T) {
	model := newClusterModel(t, disruption.KindSidecar, 2, 3, 2)
	model.startRelease(configPlan)
	model.rejectedConfigs["c2"] = true
	state, _ := model.run(noCrash(), 300, nil)
	if state.Status.Phase != PhaseHalted || !strings.Contains(state.Status.HaltReason, "refuses the configuration") {
		t.Fatalf("it is %s: %s", state.Status.Phase, state.Status.HaltReason)
	}
	reloaded := 0
	for reload := range model.reloads {
		if strings.HasSuffix(reload, "c2") {
			reloaded++
		}
	}
	first := model.list().Find(state.Units[0].Name)
	if reloaded != 1 || first.ConfigName != "c1" || model.peakUnavailable > 0 {
		t.Errorf("%d were reloaded, the first has %s, %d were out at once; want 1, c1, 0",
			reloaded, first.ConfigName, model.peakUnavailable)
	}
	sendCommand(t, model, CommandRollback)
	checkEnd(t, model, 300, PhaseRolledBack, "")
}

// A halt at every moment, so also across each grant: no further unit goes out after it, those that are out return or finish,
// and a resumed release completes as if nothing had happened.
func TestHaltAtEveryTick(t *testing.T) {
	const haltTicks = 60
	for haltTick := range 80 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startRelease(holdOnHaltPlan)
		disrupted := map[string]bool{}
		outAtHalt := 0
		state, err := model.runToEnd(noCrash(), 1000, func(tick int, state *State) {
			if tick == haltTick && !state.Status.Phase.Finished() {
				sendCommand(t, model, CommandHalt)
				outAtHalt = len(model.disruptedUnits())
			}
			if tick >= haltTick && tick < haltTick+haltTicks {
				for _, id := range model.disruptedUnits() {
					disrupted[id] = true
				}
			}
			if state.Status.Phase == PhaseHalted && tick == haltTick+haltTicks {
				if out := len(model.disruptedUnits()); out > 0 {
					t.Errorf("halted at tick %d: %d are out half a minute later", haltTick, out)
				}
				sendCommand(t, model, CommandResume)
			}
		})
		if err != nil || state.Status.Phase != PhaseCompleted {
			t.Errorf("halted at tick %d and resumed: %s, %v", haltTick, state.Status.Phase, err)
		}
		if state.Status.Phase == PhaseCompleted && len(disrupted) > outAtHalt && haltTick < haltTicks {
			t.Errorf("halted at tick %d with %d out, and %d were out after", haltTick, outAtHalt, len(disrupted))
		}
	}
}

// A rollback is not stopped by a resume or a halt that crosses it.
func TestCommandsDuringRollback(t *testing.T) {
	for commandTick := 20; commandTick < 70; commandTick += 3 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startRelease(serverPlan)
		state, err := model.runToEnd(noCrash(), 1000, func(tick int, _ *State) {
			switch tick {
			case commandTick:
				sendCommand(t, model, CommandHalt)
				sendCommand(t, model, CommandRollback)
				sendCommand(t, model, CommandResume)
			case commandTick + 6:
				sendCommand(t, model, CommandRollback)
				sendCommand(t, model, CommandHalt)
			}
		})
		if err != nil || state.Status.Phase != PhaseRolledBack {
			t.Errorf("commands at tick %d: %s, %v", commandTick, state.Status.Phase, err)
		}
		for launch, count := range model.launches {
			if count > 1 {
				t.Errorf("commands at tick %d: %s was started %d times", commandTick, launch, count)
			}
		}
	}
}

// A rollback to a version that is broken too ends with the exact list of stranded units, and leaves what still serves.
func TestRollbackToBrokenVersion(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 10, 4)
	model.startRelease(serverPlan)
	rolledBack := false
	state, err := model.runToEnd(noCrash(), 4000, func(_ int, state *State) {
		if unitsAt(state, StageConverged) >= 8 && !rolledBack {
			model.broken["1"] = true
			rolledBack = true
			sendCommand(t, model, CommandRollback)
		}
	})
	if err != nil || state.Status.Phase != PhaseStranded {
		t.Fatalf("%s, %v", state.Status.Phase, err)
	}
	serving := 0
	for _, id := range model.ids {
		if model.serves(model.units[id]) {
			serving++
		}
	}
	if len(state.Status.Stranded) < 8 || serving < 16 {
		t.Errorf("%d are stranded and %d of 20 serve: %q", len(state.Status.Stranded), serving, state.Status.Stranded)
	}
	t.Logf("%d serve, stranded: %q", serving, state.Status.Stranded)
}

func TestCompletedReleaseRollsBackUntilFinalized(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	first := model.startRelease(serverPlan)
	checkEnd(t, model, 1000, PhaseCompleted, "")
	other := *first
	other.Name = "other"
	if err := model.apply(&Operation{Start: &other}); err == nil || !strings.Contains(err.Error(), "claimed by release r") {
		t.Errorf("another release starts with units of one that is not final: %v", err)
	}
	sendCommand(t, model, CommandRollback)
	checkEnd(t, model, 1000, PhaseRolledBack, "")
	if err := model.apply(&Operation{Start: &other}); err != nil {
		t.Errorf("another release cannot start with units that were rolled back: %v", err)
	}
}

func TestFinalizedReleaseDoesNotRollBack(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	first := model.startRelease(serverPlan)
	if err := model.command(CommandFinalize); err == nil {
		t.Error("a release under way is finalized")
	}
	checkEnd(t, model, 1000, PhaseCompleted, "")
	sendCommand(t, model, CommandFinalize)
	if err := model.command(CommandRollback); err == nil {
		t.Error("a finalized release is rolled back")
	}
	other := *first
	other.Name = "other"
	if err := model.apply(&Operation{Start: &other}); err != nil {
		t.Errorf("another release cannot start with units of a finalized one: %v", err)
	}
}

func TestEditedPlanIsRejected(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	state := model.startRelease(serverPlan)
	if err := model.apply(&Operation{Start: state}); err != nil {
		t.Errorf("the same start again: %v", err)
	}
	editedPlan, err := plan.Parse("plan.toml", []byte(strings.Replace(serverPlan, `server = "2"`, `server = "3"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	edited, err := New(editedPlan, model.nowMS, model.ledger.Units(), model.ledger.Budgets(), model.list())
	if err != nil {
		t.Fatal(err)
	}
	err = model.apply(&Operation{Start: edited})
	if err == nil || !strings.Contains(err.Error(), "under way with another plan") {
		t.Errorf("an edited plan starts while the other is under way: %v", err)
	}
}

func TestMissingOrSparseReportsHoldWave(t *testing.T) {
	for _, outcome := range []judge.Outcome{judge.NoData, judge.Inconclusive, ""} {
		t.Run(fmt.Sprintf("verdict %q", outcome), func(t *testing.T) {
			model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
			model.startRelease(serverPlan)
			model.verdict = func(*State) judge.Verdict { return judge.Verdict{Outcome: outcome} }
			state, _ := model.run(noCrash(), 400, nil)
			if state.Status.Phase != PhaseRollout || state.Status.Wave != 0 {
				t.Errorf("it is %s in wave %d, want to stay in the first", state.Status.Phase, state.Status.Wave)
			}
		})
	}
}

func TestInconclusiveWaveIsExtended(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, "bake_s = 5", "bake_s = 5\nwiden = 1", 1))
	model.verdict = func(*State) judge.Verdict { return judge.Verdict{Outcome: judge.Inconclusive} }
	state, _ := model.run(noCrash(), 400, nil)
	if converged := unitsAt(state, StageConverged); state.Status.Wave != 0 || converged != 3 {
		t.Errorf("a wave of 2 that may be extended by 1 has %d units, in wave %d", converged, state.Status.Wave)
	}
}

func TestDeadlineHalts(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, "3600", "40", 1))
	checkEnd(t, model, 1000, PhaseRolledBack, "deadline")
}

// planForUnits is serverPlan under another name, for some units.
func planForUnits(name, ids string) string {
	named := strings.Replace(serverPlan, `name = "r"`, `name = "`+name+`"`, 1)
	return strings.Replace(named, "[[wave]]", "[select]\nids = ["+ids+"]\n[[wave]]", 1)
}

// Two releases, a maintenance window's permit and an operator's drain request permits at once in one zone; then servers
// fail alone.
func TestConcurrentPermitRequestsShareBudget(t *testing.T) {
	const maxUnavailable = 2
	model := newClusterModel(t, disruption.KindServer, 2, 6, maxUnavailable)
	model.startRelease(planForUnits("r1", `"server/a0","server/a1","server/b0","server/b1"`))
	model.startRelease(planForUnits("r2", `"server/a2","server/b2","server/b3"`))
	model.startDrain("d", "server/a3")
	window := &windowPermit{model: model}
	window.apply(disruption.OpRequest)
	controllers := map[string]*fakeController{}
	for _, name := range model.table.Names() {
		controllers[name] = model.newController(name)
	}
	for tick := range 800 {
		for _, name := range model.table.Names() {
			controllers[name].reconcile()
		}
		window.advance(tick)
		if tick == 30 {
			model.crashUnit("b5")
			model.crashUnit("a5")
		}
		out := map[string]bool{}
		for _, id := range model.disruptedUnits() {
			out[id] = true
		}
		if len(out) > maxUnavailable {
			t.Fatalf("tick %d: %d are out under permits, allowed are %d", tick, len(out), maxUnavailable)
		}
		model.advance()
	}
	for _, name := range model.table.Names() {
		if state, _ := model.table.Get(name); state.Status.Phase != PhaseCompleted {
			t.Errorf("%s is %s: %+v", name, state.Status.Phase, state.Units)
		}
	}
	if permit := window.stored(); permit.Stage != disruption.StageCompleted {
		t.Errorf("the window's permit is %s", permit.Stage)
	}
}

// reconcile runs one step under the valid token, as each release's controller holds a lease of its own.
func (c *fakeController) reconcile() {
	c.token = c.model.token
	for _, effect := range c.state.Reconcile(c.view()) {
		c.execute(effect, false)
	}
}

// windowPermit is a maintenance window's permit for one server, which is in use for the first 60 ticks at least.
type windowPermit struct{ model *clusterModel }

const (
	windowPermitID   = "window/1"
	windowBusyTicks  = 60
	windowPermitUnit = "server/a4"
)

func (w *windowPermit) apply(kind disruption.OpKind) {
	permit := &disruption.Permit{
		ID: windowPermitID, Owner: "window/w", Purpose: "work", Units: []string{windowPermitUnit},
		Priority: disruption.PriorityDeadline, Disposition: disruption.DispositionReturn,
	}
	w.model.applyLedgerOp(&disruption.Op{Kind: kind, Owner: permit.Owner, Permit: permit})
}

func (w *windowPermit) stored() disruption.Permit {
	permit, _ := w.model.ledger.Permit(windowPermitID) // without one its stage is empty
	return permit
}

// advance applies the next operation of the window, if it is time for it.
func (w *windowPermit) advance(tick int) {
	switch permit := w.stored(); {
	case permit.Stage == disruption.StageGranted:
		w.apply(disruption.OpBegin)
	case permit.Stage == disruption.StageActive && tick > windowBusyTicks:
		w.apply(disruption.OpReturn)
	case permit.Stage == disruption.StageReturning:
		w.apply(disruption.OpComplete)
	}
}

// A halt between a permit's begin and the first action: nothing was done to the sidecar, so nothing about it changes
// either. Its permit completes all the same.
func TestHaltBeforeFirstActionSettlesPermit(t *testing.T) {
	for haltTick := range 12 {
		model := newClusterModel(t, disruption.KindSidecar, 2, 3, 2)
		model.reportsChangesOnly = true
		model.startRelease(strings.Replace(holdOnHaltPlan, "server =", "sidecar =", 1))
		state, _ := model.run(noCrash(), 400, func(tick int, state *State) {
			if tick == haltTick {
				sendCommand(t, model, CommandHalt)
			}
			if tick == haltTick+100 && state.Status.Phase == PhaseHalted {
				sendCommand(t, model, CommandResume)
			}
		})
		if state.Status.Phase != PhaseCompleted {
			t.Errorf("halted at tick %d and resumed: %s, %+v", haltTick, state.Status.Phase, state.Units[0])
		}
	}
}
