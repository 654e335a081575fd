package release

import (
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

const (
	onHaltHold = "hold"
	configPlan = `name = "r"
on_halt = "hold"
deadline_s = 3600
[what]
sidecar_config = "c2"
[[wave]]
bake_s = 2
`
)

func sendCommand(t *testing.T, model *clusterModel, action Action) {
	t.Helper()
	if err := model.apply(&Operation{Name: "r", Command: &Command{Action: action, Operator: "operator/eva"}}); err != nil {
		t.Fatal(err)
	}
}

// Hard case 5: a version that cannot come up hits one wave's units at most, and goes back by itself.
func TestFailedStartRollsBack(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*clusterModel)
		want string
	}{
		{"fails at start", func(model *clusterModel) { model.broken["2"] = true }, "exit status 1"},
		{"is never ready", func(model *clusterModel) { model.neverReady["2"] = true }, "it runs, but is unready"},
	} {
		model := newClusterModel(t, disruption.KindServer, 2, 10, 4)
		model.startRelease(serverPlan)
		c.set(model)
		state, err := model.runToEnd(&crash{effectIndex: -1}, 4000, nil)
		if err != nil || state.Status.Phase != PhaseRolledBack || !strings.Contains(state.Status.HaltReason, c.want) {
			t.Errorf("%s: %s, %v, why %q; want backed for %q", c.name, state.Status.Phase, err, state.Status.HaltReason, c.want)
		}
		started := 0
		for launch := range model.launches {
			if strings.HasSuffix(launch, " 2") {
				started++
			}
		}
		if started > 2 {
			t.Errorf("%s: %d of 20 units were started on it", c.name, started)
		}
	}
}

func TestUnknownVersionRollsBack(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, `server = "2"`, `server = "9"`, 1))
	if state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, nil); err != nil || state.Status.Phase != PhaseRolledBack || !strings.Contains(state.Status.HaltReason, "no server of version 9") {
		t.Errorf("%s, %v: %s", state.Status.Phase, err, state.Status.HaltReason)
	}
}

// A configuration that is refused at SIGHUP counts as failed there, halts the wave, and is taken back where it was given.
func TestRejectedConfigurationHalts(t *testing.T) {
	model := newClusterModel(t, disruption.KindSidecar, 2, 3, 2)
	model.startRelease(configPlan)
	model.rejectedConfigs["c2"] = true
	state, _ := model.run("r", &crash{effectIndex: -1}, 300, nil)
	if state.Status.Phase != PhaseHalted || !strings.Contains(state.Status.HaltReason, "refuses the configuration") {
		t.Fatalf("it is %s: %s", state.Status.Phase, state.Status.HaltReason)
	}
	reloaded := 0
	for reload := range model.reloads {
		if strings.HasSuffix(reload, "c2") {
			reloaded++
		}
	}
	if list := model.list(); reloaded != 1 || list.Find(state.Units[0].Name).ConfigName != "c1" || model.maxOut > 0 {
		t.Errorf("%d were told, the first is at %s, %d were out at once; want 1, c1, 0", reloaded, list.Find(state.Units[0].Name).ConfigName, model.maxOut)
	}
	sendCommand(t, model, CommandRollback)
	if state, err := model.runToEnd(&crash{effectIndex: -1}, 300, nil); err != nil || state.Status.Phase != PhaseRolledBack {
		t.Errorf("sent back it is %s: %v", state.Status.Phase, err)
	}
}

// Hard case 6: a halt at every moment, so also across each grant: nothing new goes out after it, what is out comes to
// rest, and resumed the release ends as if nothing had been.
func TestHaltAtEveryTick(t *testing.T) {
	for haltTick := range 80 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startRelease(strings.Replace(serverPlan, `"back"`, `"`+onHaltHold+`"`, 1))
		takenOut := map[string]bool{}
		outAtHalt := 0
		state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, func(i int, state *State) {
			if i == haltTick && !state.Status.Phase.Finished() {
				sendCommand(t, model, CommandHalt)
				outAtHalt = len(model.unitsOut())
			}
			if i >= haltTick && i < haltTick+60 {
				for _, id := range model.unitsOut() {
					takenOut[id] = true
				}
			}
			if state.Status.Phase == PhaseHalted && i == haltTick+60 {
				if n := len(model.unitsOut()); n > 0 {
					t.Errorf("halted at tick %d: %d are out half a minute later", haltTick, n)
				}
				sendCommand(t, model, CommandResume)
			}
		})
		if err != nil || state.Status.Phase != PhaseCompleted {
			t.Errorf("halted at tick %d and resumed: %s, %v", haltTick, state.Status.Phase, err)
		}
		if state.Status.Phase == PhaseCompleted && len(takenOut) > outAtHalt && haltTick < 60 {
			t.Errorf("halted at tick %d with %d out, and %d were out after", haltTick, outAtHalt, len(takenOut))
		}
	}
}

// unitsOut are the units under a permit that has begun.
func (m *clusterModel) unitsOut() (ids []string) {
	for _, p := range m.ledger.OpenPermits() {
		if p.Stage == disruption.StageActive || p.Stage == disruption.StageReturning {
			ids = append(ids, p.Units...)
		}
	}
	return ids
}

func TestCommandsDuringRollback(t *testing.T) {
	for commandTick := 20; commandTick < 70; commandTick += 3 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startRelease(serverPlan)
		state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, func(i int, _ *State) {
			switch i {
			case commandTick:
				sendCommand(t, model, CommandHalt)
				sendCommand(t, model, CommandRollback)
				sendCommand(t, model, CommandResume) // it crosses: who goes back goes back
			case commandTick + 6:
				sendCommand(t, model, CommandRollback)
				sendCommand(t, model, CommandHalt)
			}
		})
		if err != nil || state.Status.Phase != PhaseRolledBack {
			t.Errorf("at tick %d: %s, %v", commandTick, state.Status.Phase, err)
		}
		for launch, n := range model.launches {
			if n > 1 {
				t.Errorf("at tick %d: %s was started %d times", commandTick, launch, n)
			}
		}
	}
}

// The way back to a version that is broken too ends, with the exact list, and leaves what still serves.
func TestRollbackToBrokenVersion(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 10, 4)
	model.startRelease(serverPlan)
	sent := false
	state, err := model.runToEnd(&crash{effectIndex: -1}, 4000, func(_ int, state *State) {
		updated := 0
		for i := range state.Units {
			if state.Units[i].Stage == StageConverged {
				updated++
			}
		}
		if updated >= 8 && !sent {
			model.broken["1"], sent = true, true
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
	if state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, nil); err != nil || state.Status.Phase != PhaseCompleted {
		t.Fatal(state.Status.Phase, err)
	}
	other := *first
	other.Name = "other"
	if err := model.apply(&Operation{Start: &other}); err == nil || !strings.Contains(err.Error(), "claimed by release r") {
		t.Errorf("another takes its units before it is final: %v", err)
	}
	sendCommand(t, model, CommandRollback)
	if state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, nil); err != nil || state.Status.Phase != PhaseRolledBack {
		t.Fatal(state.Status.Phase, err)
	}
	if err := model.apply(&Operation{Start: &other}); err != nil {
		t.Errorf("another cannot have units that are back: %v", err)
	}
}

func TestFinalizedReleaseDoesNotRollBack(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	first := model.startRelease(serverPlan)
	if err := model.apply(&Operation{Name: "r", Command: &Command{Action: CommandFinalize, Operator: "operator/eva"}}); err == nil {
		t.Error("a release under way is made final")
	}
	if state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, nil); err != nil || state.Status.Phase != PhaseCompleted {
		t.Fatal(state.Status.Phase, err)
	}
	sendCommand(t, model, CommandFinalize)
	if err := model.apply(&Operation{Name: "r", Command: &Command{Action: CommandRollback, Operator: "operator/eva"}}); err == nil {
		t.Error("what is final is sent back")
	}
	other := *first
	other.Name = "other"
	if err := model.apply(&Operation{Start: &other}); err != nil {
		t.Errorf("another cannot have units of what is final: %v", err)
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
	if err := model.apply(&Operation{Start: edited}); err == nil || !strings.Contains(err.Error(), "under way with another plan") {
		t.Errorf("an edited plan is taken in: %v", err)
	}
}

func TestMissingOrSparseReportsHoldWave(t *testing.T) {
	for _, kind := range []judge.Outcome{judge.NoData, judge.Inconclusive, ""} {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startRelease(serverPlan)
		model.verdict = func(*State) judge.Verdict { return judge.Verdict{Outcome: kind} }
		state, _ := model.run("r", &crash{effectIndex: -1}, 400, nil)
		if state.Status.Phase != PhaseRollout || state.Status.Wave != 0 {
			t.Errorf("verdict %q: it is %s in wave %d, want held in the first", kind, state.Status.Phase, state.Status.Wave)
		}
	}
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, "bake_s = 5", "bake_s = 5\nwiden = 1", 1))
	model.verdict = func(*State) judge.Verdict { return judge.Verdict{Outcome: judge.Inconclusive} }
	state, _ := model.run("r", &crash{effectIndex: -1}, 400, nil)
	converged := 0
	for i := range state.Units {
		if state.Units[i].Stage == StageConverged {
			converged++
		}
	}
	if state.Status.Wave != 0 || converged != 3 {
		t.Errorf("a wave of 2 that may widen by 1 has %d units in wave %d", converged, state.Status.Wave)
	}
}

func TestDeadlineHalts(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(strings.Replace(serverPlan, "3600", "40", 1))
	if state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, nil); err != nil || state.Status.Phase != PhaseRolledBack || !strings.Contains(state.Status.HaltReason, "deadline") {
		t.Errorf("%s, %v: %s", state.Status.Phase, err, state.Status.HaltReason)
	}
}

// Hard case 1: two releases, a window's permit and an operator's drain ask at once in one zone; then servers fail alone.
func TestConcurrentPermitRequestsShareBudget(t *testing.T) {
	const maxOut = 2
	model := newClusterModel(t, disruption.KindServer, 2, 6, maxOut)
	planForUnits := func(name, ids string) string {
		return strings.Replace(strings.Replace(serverPlan, `name = "r"`, `name = "`+name+`"`, 1), "[[wave]]", "[select]\nids = ["+ids+"]\n[[wave]]", 1)
	}
	model.startRelease(planForUnits("r1", `"server/a0","server/a1","server/b0","server/b1"`))
	model.startRelease(planForUnits("r2", `"server/a2","server/b2","server/b3"`))
	drain, err := NewDrain(DrainPlan("d", disruption.Selector{IDs: []string{"server/a3"}}, 3600), model.nowMS, model.ledger.Units(), model.list())
	if err == nil {
		err = model.apply(&Operation{Start: drain})
	}
	if err != nil {
		t.Fatal(err)
	}
	maintenancePermit := &disruption.Permit{ID: "window/1", Owner: "window/w", Purpose: "work", Units: []string{"server/a4"}, Priority: disruption.PriorityDeadline, Disposition: disruption.DispositionReturn}
	model.applyLedgerOp(&disruption.Op{Kind: disruption.OpRequest, Owner: maintenancePermit.Owner, Permit: maintenancePermit})
	controllers := map[string]*fakeController{}
	for _, name := range model.table.Names() {
		controllers[name] = model.newController(name)
	}
	for i := range 800 {
		out := map[string]bool{}
		for _, name := range model.table.Names() {
			c := controllers[name]
			c.token = model.token // each holds a duty of its own
			for _, e := range c.state.Reconcile(c.view()) {
				c.execute(e, false)
			}
		}
		switch p, _ := model.ledger.Permit("window/1"); {
		case p.Stage == disruption.StageGranted:
			model.applyLedgerOp(&disruption.Op{Kind: disruption.OpBegin, Owner: maintenancePermit.Owner, Permit: maintenancePermit})
		case p.Stage == disruption.StageActive && i > 60:
			model.applyLedgerOp(&disruption.Op{Kind: disruption.OpReturn, Owner: maintenancePermit.Owner, Permit: maintenancePermit})
		case p.Stage == disruption.StageReturning:
			model.applyLedgerOp(&disruption.Op{Kind: disruption.OpComplete, Owner: maintenancePermit.Owner, Permit: maintenancePermit})
		}
		if i == 30 {
			model.platform.Crash("b5", "signal: killed")
			model.platform.Crash("a5", "signal: killed")
		}
		for _, id := range model.unitsOut() {
			out[id] = true
		}
		if len(out) > maxOut {
			t.Fatalf("tick %d: %d are out under permits, %d may be", i, len(out), maxOut)
		}
		model.advance()
	}
	for _, name := range model.table.Names() {
		if state, _ := model.table.Get(name); state.Status.Phase != PhaseCompleted {
			t.Errorf("%s is %s: %+v", name, state.Status.Phase, state.Units)
		}
	}
	if p, _ := model.ledger.Permit("window/1"); p.Stage != disruption.StageCompleted {
		t.Errorf("the window's permit is %s", p.Stage)
	}
}

// A halt between a permit's begin and the first act: nothing was done to the sidecar, so nothing about it changes either.
// Its permit is settled all the same.
func TestHaltBeforeFirstActionSettlesPermit(t *testing.T) {
	for haltTick := range 12 {
		model := newClusterModel(t, disruption.KindSidecar, 2, 3, 2)
		model.reportsChangesOnly = true
		model.startRelease(strings.Replace(strings.Replace(serverPlan, "server =", "sidecar =", 1), `"back"`, `"hold"`, 1))
		state, _ := model.run("r", &crash{effectIndex: -1}, 400, func(i int, state *State) {
			if i == haltTick {
				sendCommand(t, model, CommandHalt)
			}
			if i == haltTick+100 && state.Status.Phase == PhaseHalted {
				sendCommand(t, model, CommandResume)
			}
		})
		if state.Status.Phase != PhaseCompleted {
			t.Errorf("halted at tick %d and resumed: %s, %+v", haltTick, state.Status.Phase, state.Units[0])
		}
	}
}

// A server that is drained ends by itself at any moment, and the platform starts it again as its version says: it is
// stopped all the same.
func TestDrainedServerRestartedByPlatformIsStopped(t *testing.T) {
	for crashTick := range 16 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		state, err := NewDrain(DrainPlan("r", disruption.Selector{IDs: []string{"server/a0"}}, 3600), model.nowMS, model.ledger.Units(), model.list())
		if err == nil {
			err = model.apply(&Operation{Start: state})
		}
		if err != nil {
			t.Fatal(err)
		}
		state, _ = model.run("r", &crash{effectIndex: -1}, 400, func(i int, _ *State) {
			if i == crashTick {
				model.platform.Crash("a0", "signal: killed")
			}
		})
		if state.Status.Phase != PhaseCompleted || model.platform.LiveProcesses("a0") != 0 {
			t.Errorf("ended by itself at tick %d: %s, %d processes, %+v", crashTick, state.Status.Phase, model.platform.LiveProcesses("a0"), state.Units[0])
		}
	}
}
