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

// seedsFlag is the number of seeds that the randomized tests run. docs/release.md has figures of 300.
var seedsFlag = flag.Uint64("seeds", 6, "number of seeds of the randomized tests")

// runToEnd runs the release r to its end. It returns an error unless the actual state of all its units matches the final
// phase.
func (m *clusterModel) runToEnd(planned *crash, ticks int, beforeTick func(int, *State)) (*State, error) {
	state, _ := m.run(planned, ticks, beforeTick)
	for range settleTicks {
		m.advance()
	}
	switch state.Status.Phase {
	case PhaseCompleted:
		return state, m.checkAllRun(state, state.Units[0].Target)
	case PhaseRolledBack:
		return state, m.checkAllRun(state, state.Units[0].Previous)
	case PhaseStranded:
		return state, m.checkStranded(state)
	}
	return state, fmt.Errorf("release did not finish; it is in phase %s: %s", state.Status.Phase, state.Status.HaltReason)
}

// checkStranded returns an error unless the stranded units are exactly those that do not run their previous image.
func (m *clusterModel) checkStranded(state *State) error {
	for i := range state.Units {
		unit, previous := m.units[state.Units[i].ID], state.Units[i].Previous
		id := unit.unit.ID
		listed := slices.ContainsFunc(state.Status.Stranded, func(line string) bool {
			return strings.HasPrefix(line, id+":") || strings.HasPrefix(line, id+" ")
		})
		returned := m.serves(unit) && unit.version == previous.Version && unit.config == previous.ConfigName
		if returned == listed {
			return fmt.Errorf("%s runs version %s and serves %v; listed as stranded: %v", id, unit.version, m.serves(unit), listed)
		}
	}
	return nil
}

// runRollbackUnderFleetHalt runs a release that a guard rolls back while an operator's halt defers grants for the whole
// fleet.
func runRollbackUnderFleetHalt(t testing.TB, defects injectedDefects) error {
	t.Helper()
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.defects = defects
	model.startRelease(serverPlan)
	model.verdict = func(state *State) judge.Verdict {
		if state.Status.Wave == 1 {
			return judge.Verdict{Outcome: judge.Regression, Reason: "planted"}
		}
		return judge.Verdict{Outcome: judge.Pass}
	}
	state, err := model.runToEnd(noCrash(), 1000, func(_ int, state *State) {
		if state.Status.Phase == PhaseRollback {
			halt := &disruption.Halt{Reason: "incident"}
			model.applyLedgerOp(&disruption.Op{Kind: disruption.OpHalt, Owner: operatorName, Halt: halt})
		}
	})
	if err == nil && state.Status.Phase != PhaseRolledBack {
		err = fmt.Errorf("release ended in phase %s", state.Status.Phase)
	}
	return err
}

// runWithPlatformStateLoss runs a release in which the platform loses its state at a tick and rediscovers all units 8 s
// later.
func runWithPlatformStateLoss(t testing.TB, defects injectedDefects, lossTick int) error {
	t.Helper()
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.defects = defects
	model.startRelease(serverPlan)
	maxProcesses := 0
	_, err := model.runToEnd(noCrash(), 1000, func(tick int, _ *State) {
		if tick == lossTick {
			model.setFault(core.Fault{Kind: core.FaultLoseState, DurationMS: 8000})
		}
		for _, id := range model.ids {
			maxProcesses = max(maxProcesses, model.platform.LiveProcesses(model.units[id].name()))
		}
	})
	if maxProcesses > 1 {
		err = fmt.Errorf("a unit had %d processes at the same time", maxProcesses)
	}
	return err
}

func TestRollbackContinuesUnderFleetHalt(t *testing.T) {
	if err := runRollbackUnderFleetHalt(t, injectedDefects{}); err != nil {
		t.Error(err)
	}
}

// Guards against a second process for a running unit: a platform that has lost its state does not list the unit, and that
// must not count as evidence that the unit is stopped.
func TestPlatformStateLossIsNotEvidence(t *testing.T) {
	for lossTick := range 60 {
		if err := runWithPlatformStateLoss(t, injectedDefects{}, lossTick); err != nil {
			t.Errorf("state lost at tick %d: %v", lossTick, err)
		}
	}
}

// detectByCrashes runs a scenario with injected defects, each time with a crash at another effect, until a run detects the
// defects. It fails the test if a run without a crash detects them.
func detectByCrashes(t *testing.T, tested *scenario, defects injectedDefects) error {
	t.Helper()
	if _, err := tested.run(t, noCrash(), defects); err != nil {
		t.Errorf("%+v is detected without a crash: %v", defects, err)
	}
	var found error
	for index := 0; index < 120 && found == nil; index++ {
		for _, mode := range crashModes {
			if _, err := tested.run(t, &crash{effectIndex: index, mode: mode}, defects); err != nil {
				found = err
			}
		}
	}
	return found
}

func scenarioNamed(t *testing.T, name string) *scenario {
	t.Helper()
	for i := range scenarios {
		if scenarios[i].name == name {
			return &scenarios[i]
		}
	}
	t.Fatalf("there is no scenario %q", name)
	return nil
}

// Guards against tests that detect nothing: each injected defect has to be detected by the test meant for it.
func TestInjectedDefectsAreDetected(t *testing.T) {
	for _, c := range []struct {
		name   string
		detect func(t *testing.T) error
	}{
		{"state written after its effects", func(t *testing.T) error {
			return detectByCrashes(t, &scenarios[0], injectedDefects{writesAfterEffects: true})
		}},
		{"request IDs that depend on the controller", func(t *testing.T) error {
			return detectByCrashes(t, scenarioNamed(t, "configuration"), injectedDefects{requestIDsPerController: true})
		}},
		{"rollbacks at the priority of rollouts", func(t *testing.T) error {
			return runRollbackUnderFleetHalt(t, injectedDefects{rollbackAtRolloutPriority: true})
		}},
		{"absence from an incomplete list taken for a stop", func(t *testing.T) error {
			var found error
			for lossTick := 0; lossTick < 60 && found == nil; lossTick++ {
				found = runWithPlatformStateLoss(t, injectedDefects{trustsIncompleteList: true}, lossTick)
			}
			return found
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.detect(t)
			if err == nil {
				t.Fatal("not detected")
			}
			t.Logf("detected: %v", err)
		})
	}
}

// Guards against releases that do not survive a fault of the platform during a rollout or a rollback. The platform hangs,
// fails, executes only half of a call, loses responses, acts on the wrong unit or loses its state.
func TestPlatformFaults(t *testing.T) {
	faults := []core.Fault{
		{Kind: core.FaultHang, DurationMS: 20_000},
		{Kind: core.FaultError, Count: 3},
		{Kind: core.FaultPartial, On: core.OnDo},
		{Kind: core.FaultDropResponse, Count: 2},
		{Kind: core.FaultWrongUnit, On: core.OnDo},
		{Kind: core.FaultLoseState, DurationMS: 5000},
	}
	for _, fault := range faults {
		for _, rollbackTick := range []int{0, 62} {
			for faultTick := 0; faultTick < 100; faultTick += 7 {
				runPlatformFault(t, fault, faultTick, rollbackTick)
			}
		}
	}
}

// runPlatformFault runs a release with one fault. With a rollbackTick of 0 the release is not rolled back.
func runPlatformFault(t *testing.T, fault core.Fault, faultTick, rollbackTick int) {
	t.Helper()
	const maxLaunches = 2 // a unit is started again after a half-executed start or after it was stopped by mistake
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.startRelease(serverPlan)
	_, err := model.runToEnd(noCrash(), 3000, func(tick int, _ *State) {
		if tick == faultTick {
			model.setFault(fault)
		}
		if tick == rollbackTick && rollbackTick > 0 {
			sendCommand(t, model, ActionRollback)
		}
	})
	if err != nil {
		t.Errorf("%s at tick %d, rolled back at %d: %v", fault.Kind, faultTick, rollbackTick, err)
	}
	for launch, count := range model.launches {
		if count > maxLaunches {
			t.Errorf("%s at tick %d, rolled back at %d: %s was started %d times", fault.Kind, faultTick, rollbackTick, launch, count)
		}
	}
}

// Guards against combinations of faults that leave units in the wrong state or exceed the budget. 200 units meet unit
// crashes, platform faults, crashing and freezing controllers, operators' halts and resumes, and regressions. Every release
// has to end with all units on one image, or with an exact list of the stranded ones.
func TestRandomFaults(t *testing.T) {
	seeds := *seedsFlag
	outcomes := map[Phase]int{}
	for seed := range seeds {
		phase, err := runRandomFaults(t, seed)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		outcomes[phase]++
	}
	t.Logf("%d seeds ended %v", seeds, outcomes)
}

// randomFaults is a release with random faults.
type randomFaults struct {
	rng            *rand.Rand
	model          *clusterModel
	planned        *crash
	maxUnavailable int
	crashed        map[int]bool // indexes of the units that have crashed
	currentTick    int
	budgetErr      error // the first violation of the budget
}

// faultTicks is the number of ticks during which faults are injected. A release that is halted after them is rolled back.
const faultTicks = 400

func runRandomFaults(t testing.TB, seed uint64) (Phase, error) {
	t.Helper()
	const maxUnavailable = 12
	rng := rand.New(rand.NewPCG(seed, 7))
	model := newClusterModel(t, disruption.KindServer, 4, 50, maxUnavailable)
	planText := strings.Replace(serverPlan, "count = 1", "share = 0.05", 1)
	planText = strings.Replace(planText, "count = 2", "count = 10", 1)
	if rng.IntN(2) == 0 {
		planText = strings.Replace(planText, `"back"`, `"hold"`, 1)
	}
	model.startRelease(planText)
	regressionTick := -1
	if rng.IntN(2) == 0 {
		regressionTick = rng.IntN(300)
	}
	planned := &crash{effectIndex: rng.IntN(200), mode: crashModes[rng.IntN(3)]}
	faults := &randomFaults{rng: rng, model: model, planned: planned, maxUnavailable: maxUnavailable, crashed: map[int]bool{}}
	model.verdict = func(*State) judge.Verdict {
		if regressionTick >= 0 && faults.currentTick >= regressionTick {
			return judge.Verdict{Outcome: judge.Regression, Reason: "planted"}
		}
		return judge.Verdict{Outcome: judge.Pass}
	}
	state, err := model.runToEnd(planned, 4000, faults.beforeTick)
	if err == nil {
		err = faults.budgetErr
	}
	return state.Status.Phase, err
}

func (f *randomFaults) beforeTick(tick int, state *State) {
	f.currentTick = tick
	if f.planned.happened && f.planned.ticksUntilResume == 0 && f.rng.IntN(20) == 0 {
		f.planned.happened = false
		f.planned.effectIndex = f.planned.effectsDone + f.rng.IntN(60)
		f.planned.mode = crashModes[f.rng.IntN(3)]
	}
	if tick%50 == 49 { // a replica that was restored from a snapshot has to behave the same
		f.model.restoreSnapshot()
	}
	if tick < faultTicks {
		f.inject()
	}
	if tick > faultTicks && state.Status.Phase == PhaseHalted && tick%50 == 0 {
		sendCommand(f.model.t, f.model, ActionRollback)
	}
	if out := f.model.plannedUnavailable(state, f.crashed); out > f.maxUnavailable && f.budgetErr == nil {
		f.budgetErr = fmt.Errorf("budget exceeded: %d units are out under permits at tick %d, limit is %d", out, tick, f.maxUnavailable)
	}
}

// Average numbers of ticks between two platform faults, two unit crashes, and two operators' commands.
const (
	ticksPerPlatformFault = 40
	ticksPerUnitCrash     = 60
	ticksPerCommand       = 80
)

// inject injects platform faults, unit crashes and operators' commands, each with its own probability.
func (f *randomFaults) inject() {
	if f.rng.IntN(ticksPerPlatformFault) == 0 {
		f.model.setFault([]core.Fault{
			{Kind: core.FaultHang, DurationMS: 5000},
			{Kind: core.FaultError, Count: 2},
			{Kind: core.FaultPartial, On: core.OnDo},
			{Kind: core.FaultDropResponse, Count: 2},
			{Kind: core.FaultLoseState, DurationMS: 3000},
			{Kind: core.FaultDelay, DelayMS: 3000},
		}[f.rng.IntN(6)])
	}
	if f.rng.IntN(ticksPerUnitCrash) == 0 {
		i := f.rng.IntN(len(f.model.ids))
		if !f.crashed[i] { // each unit crashes at most once, because the platform restarts it only once
			f.model.crashUnit(f.model.units[f.model.ids[i]].name())
		}
		f.crashed[i] = true
	}
	if f.rng.IntN(ticksPerCommand) == 0 {
		sendCommand(f.model.t, f.model, []Action{ActionHalt, ActionResume}[f.rng.IntN(2)])
	}
}

// restoreSnapshot replaces the table with one that is restored from its snapshot.
func (m *clusterModel) restoreSnapshot() {
	m.t.Helper()
	data, err := json.Marshal(m.table.Snapshot())
	if err != nil {
		m.t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		m.t.Fatal(err)
	}
	claims := len(m.table.claims)
	m.table = Restore(&snapshot)
	if len(m.table.claims) != claims {
		m.t.Fatalf("%d claims after restoring the snapshot, %d before", len(m.table.claims), claims)
	}
}

// plannedUnavailable counts the units that do not serve and are under an active permit. It leaves out crashed units, because
// a permit for a unit that is unavailable anyway uses no budget.
func (m *clusterModel) plannedUnavailable(state *State, crashed map[int]bool) int {
	out := 0
	for i := range state.Units {
		unit := &state.Units[i]
		if !unit.inProgress() || crashed[slices.Index(m.ids, unit.ID)] {
			continue
		}
		permit, known := m.ledger.Permit(state.PermitID(unit))
		active := permit.Stage == disruption.StageActive || permit.Stage == disruption.StageReturning
		if known && active && !m.serves(m.units[unit.ID]) {
			out++
		}
	}
	return out
}
