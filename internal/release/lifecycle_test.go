package release

import (
	"fmt"
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// holdOnHaltPlan is serverPlan, except that updated units stay updated after a halt.
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

// checkEnd runs the release r to its end, and checks its final phase and that its halt reason contains a text.
func checkEnd(t *testing.T, model *clusterModel, ticks int, phase Phase, reason string) *State {
	t.Helper()
	state, err := model.runToEnd(noCrash(), ticks, nil)
	status := &state.Status
	if err != nil || status.Phase != phase || !strings.Contains(status.HaltReason, reason) {
		t.Fatalf("ended in phase %s, error %v, reason %q; want %s, reason %q", status.Phase, err, status.HaltReason, phase, reason)
	}
	return state
}

// Guards against a broken version that spreads beyond one wave or is not rolled back automatically.
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
				t.Errorf("%d of 20 units were started with the broken version, want at most 2", started)
			}
		})
	}
}

func TestUnknownVersionRollsBack(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, `server = "2"`, `server = "9"`, 1))
	checkEnd(t, model, 1000, PhaseRolledBack, "no server of version 9")
}

// Guards against a rejected configuration that spreads or stays in place: if a sidecar rejects the configuration at SIGHUP,
// the release halts at that sidecar and gives it the previous configuration again.
func TestRejectedConfigurationHalts(t *testing.T) {
	model := newClusterModel(t, disruption.KindSidecar, 2, 3, 2)
	model.startRelease(configPlan)
	model.rejectedConfigs["c2"] = true
	state, _ := model.run(noCrash(), 300, nil)
	if state.Status.Phase != PhaseHalted || !strings.Contains(state.Status.HaltReason, "refuses the configuration") {
		t.Fatalf("release is in phase %s: %s", state.Status.Phase, state.Status.HaltReason)
	}
	reloaded := 0
	for reload := range model.reloads {
		if strings.HasSuffix(reload, "c2") {
			reloaded++
		}
	}
	first := model.list().Find(state.Units[0].Name)
	if reloaded != 1 || first.ConfigName != "c1" || model.peakUnavailable > 0 {
		t.Errorf("%d units were reloaded, the first has configuration %s, %d were unavailable at once; want 1, c1, 0",
			reloaded, first.ConfigName, model.peakUnavailable)
	}
	sendCommand(t, model, ActionRollback)
	checkEnd(t, model, 300, PhaseRolledBack, "")
}

// Guards against units that go out after a halt or stay out under it. Each run halts the release at another tick, so that
// halts also cross each grant. A unit that is out has to return or finish, and the release has to complete after a resume.
func TestHaltAtEveryTick(t *testing.T) {
	const haltTicks = 60
	for haltTick := range 80 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startRelease(holdOnHaltPlan)
		disrupted := map[string]bool{}
		outAtHalt := 0
		state, err := model.runToEnd(noCrash(), 1000, func(tick int, state *State) {
			if tick == haltTick && !state.Status.Phase.Finished() {
				sendCommand(t, model, ActionHalt)
				outAtHalt = len(model.disruptedUnits())
			}
			if tick >= haltTick && tick < haltTick+haltTicks {
				for _, id := range model.disruptedUnits() {
					disrupted[id] = true
				}
			}
			if state.Status.Phase == PhaseHalted && tick == haltTick+haltTicks {
				if out := len(model.disruptedUnits()); out > 0 {
					t.Errorf("halted at tick %d: %d units are still out half a minute later", haltTick, out)
				}
				sendCommand(t, model, ActionResume)
			}
		})
		if err != nil || state.Status.Phase != PhaseCompleted {
			t.Errorf("halted at tick %d and resumed: phase %s, error %v", haltTick, state.Status.Phase, err)
		}
		if state.Status.Phase == PhaseCompleted && len(disrupted) > outAtHalt && haltTick < haltTicks {
			t.Errorf("halted at tick %d with %d units out, but %d were out afterwards", haltTick, outAtHalt, len(disrupted))
		}
	}
}

// Guards against a rollback that another command stops: a halt or a resume may arrive just before or after it.
func TestCommandsDuringRollback(t *testing.T) {
	for commandTick := 20; commandTick < 70; commandTick += 3 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startRelease(serverPlan)
		state, err := model.runToEnd(noCrash(), 1000, func(tick int, _ *State) {
			switch tick {
			case commandTick:
				sendCommand(t, model, ActionHalt)
				sendCommand(t, model, ActionRollback)
				sendCommand(t, model, ActionResume)
			case commandTick + 6:
				sendCommand(t, model, ActionRollback)
				sendCommand(t, model, ActionHalt)
			}
		})
		if err != nil || state.Status.Phase != PhaseRolledBack {
			t.Errorf("commands at tick %d: phase %s, error %v", commandTick, state.Status.Phase, err)
		}
		for launch, count := range model.launches {
			if count > 1 {
				t.Errorf("commands at tick %d: %s was started %d times", commandTick, launch, count)
			}
		}
	}
}

// Guards against a rollback to a broken version that takes down the units that still serve. The rollback has to end with an
// exact list of the stranded units.
func TestRollbackToBrokenVersion(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 10, 4)
	model.startRelease(serverPlan)
	rolledBack := false
	state, err := model.runToEnd(noCrash(), 4000, func(_ int, state *State) {
		if unitsAt(state, StageConverged) >= 8 && !rolledBack {
			model.broken["1"] = true
			rolledBack = true
			sendCommand(t, model, ActionRollback)
		}
	})
	if err != nil || state.Status.Phase != PhaseStranded {
		t.Fatalf("phase %s, error %v", state.Status.Phase, err)
	}
	serving := 0
	for _, id := range model.ids {
		if model.serves(model.units[id]) {
			serving++
		}
	}
	if len(state.Status.Stranded) < 8 || serving < 16 {
		t.Errorf("%d units are stranded, %d of 20 serve; want at least 8, 16: %q",
			len(state.Status.Stranded), serving, state.Status.Stranded)
	}
	t.Logf("%d units serve, stranded: %q", serving, state.Status.Stranded)
}

func TestCompletedReleaseRollsBackUntilFinalized(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	first := model.startRelease(serverPlan)
	checkEnd(t, model, 1000, PhaseCompleted, "")
	other := *first
	other.Name = "other"
	if err := model.apply(&Operation{Start: &other}); err == nil || !strings.Contains(err.Error(), "claimed by release r") {
		t.Errorf("starting another release with units of one that is not finalized: error %v, want a claim conflict", err)
	}
	sendCommand(t, model, ActionRollback)
	checkEnd(t, model, 1000, PhaseRolledBack, "")
	if err := model.apply(&Operation{Start: &other}); err != nil {
		t.Errorf("starting another release with units that were rolled back: %v", err)
	}
}

func TestFinalizedReleaseDoesNotRollBack(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	first := model.startRelease(serverPlan)
	if err := model.command(ActionFinalize); err == nil {
		t.Error("an unfinished release could be finalized")
	}
	checkEnd(t, model, 1000, PhaseCompleted, "")
	sendCommand(t, model, ActionFinalize)
	if err := model.command(ActionRollback); err == nil {
		t.Error("a finalized release accepted a rollback command")
	}
	other := *first
	other.Name = "other"
	if err := model.apply(&Operation{Start: &other}); err != nil {
		t.Errorf("starting another release with units of a finalized one: %v", err)
	}
}

func TestEditedPlanIsRejected(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	state := model.startRelease(serverPlan)
	if err := model.apply(&Operation{Start: state}); err != nil {
		t.Errorf("repeating the same start: %v", err)
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
		t.Errorf("starting an edited plan while the release is unfinished: error %v, want a rejection", err)
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
				t.Errorf("release is in phase %s, wave %d; want it to stay in wave 0", state.Status.Phase, state.Status.Wave)
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
		t.Errorf("a wave of 2 that may be extended by 1 has %d units, and the release is in wave %d", converged, state.Status.Wave)
	}
}

func TestDeadlineHalts(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, "3600", "40", 1))
	checkEnd(t, model, 1000, PhaseRolledBack, "deadline")
}

// planForUnits returns serverPlan with another name and a selector for the given units.
func planForUnits(name, ids string) string {
	named := strings.Replace(serverPlan, `name = "r"`, `name = "`+name+`"`, 1)
	return strings.Replace(named, "[[wave]]", "[select]\nids = ["+ids+"]\n[[wave]]", 1)
}

// Guards against concurrent actors that together exceed the budget. Two releases, a maintenance window and an operator's
// drain request permits for servers of one zone at the same time. Later two servers crash.
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
			t.Fatalf("tick %d: %d units are out under permits, limit is %d", tick, len(out), maxUnavailable)
		}
		model.advance()
	}
	for _, name := range model.table.Names() {
		if state, _ := model.table.Get(name); state.Status.Phase != PhaseCompleted {
			t.Errorf("%s is in phase %s: %+v", name, state.Status.Phase, state.Units)
		}
	}
	if permit := window.stored(); permit.Stage != disruption.StageCompleted {
		t.Errorf("the window's permit is at stage %s", permit.Stage)
	}
}

// reconcile runs one step of the controller. It always uses the valid token of the model, because each release's controller
// has its own lease, while the model has a single token.
func (c *fakeController) reconcile() {
	c.token = c.model.token
	for _, effect := range c.state.Reconcile(c.view()) {
		c.execute(effect, false)
	}
}

// windowPermit is a maintenance window's permit for one server. The window uses the server until after tick
// windowBusyTicks.
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
	permit, _ := w.model.ledger.Permit(windowPermitID) // if there is none, the stage is empty
	return permit
}

// advance applies the next operation of the window if it is due.
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

// Guards against a permit that stays open forever: a halt comes after the begin of the permit and before the first action.
// The sidecar does not change, so the registry reports nothing, but the permit still has to complete.
func TestHaltBeforeFirstActionSettlesPermit(t *testing.T) {
	for haltTick := range 12 {
		model := newClusterModel(t, disruption.KindSidecar, 2, 3, 2)
		model.reportsChangesOnly = true
		model.startRelease(strings.Replace(holdOnHaltPlan, "server =", "sidecar =", 1))
		state, _ := model.run(noCrash(), 400, func(tick int, state *State) {
			if tick == haltTick {
				sendCommand(t, model, ActionHalt)
			}
			if tick == haltTick+100 && state.Status.Phase == PhaseHalted {
				sendCommand(t, model, ActionResume)
			}
		})
		if state.Status.Phase != PhaseCompleted {
			t.Errorf("halted at tick %d and resumed: phase %s, %+v", haltTick, state.Status.Phase, state.Units[0])
		}
	}
}
