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

// runToEnd plays a release to its end and tells whether all its units are where its phase says.
func (m *clusterModel) runToEnd(planned *crash, ticks int, beforeTick func(int, *State)) (*State, error) {
	state, _ := m.run("r", planned, ticks, beforeTick)
	for range 60 { // who has failed alone at the very end comes up again by itself
		m.advance()
	}
	switch state.Status.Phase {
	case PhaseCompleted:
		return state, m.checkAllRun(state, state.Units[0].Target.Version, state.Units[0].Target.ConfigName)
	case PhaseRolledBack:
		return state, m.checkAllRun(state, state.Units[0].Previous.Version, state.Units[0].Previous.ConfigName)
	case PhaseStranded:
		return state, m.checkStranded(state)
	}
	return state, fmt.Errorf("it is still %s: %s", state.Status.Phase, state.Status.HaltReason)
}

// checkStranded tells whether the list of a way back that has left units stranded is that of those that are not on the old version.
func (m *clusterModel) checkStranded(state *State) error {
	for i := range state.Units {
		unit := m.units[state.Units[i].ID]
		listed := slices.ContainsFunc(state.Status.Stranded, func(line string) bool {
			return strings.HasPrefix(line, unit.unit.ID+":") || strings.HasPrefix(line, unit.unit.ID+" ")
		})
		if onPrevious := m.serves(unit) && unit.version == state.Units[i].Previous.Version && unit.config == state.Units[i].Previous.ConfigName; onPrevious == listed {
			return fmt.Errorf("%s runs %s, up %v, and is listed as stranded: %v", unit.unit.ID, unit.version, m.serves(unit), listed)
		}
	}
	return nil
}

// rollbackUnderFleetHalt plays a release that a guard sends back while an operator has halted the whole fleet.
func rollbackUnderFleetHalt(t testing.TB, planted plantedBugs) error {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.bugs = planted
	model.startRelease(serverPlan)
	model.verdict = func(state *State) judge.Verdict {
		if state.Status.Wave == 1 {
			return judge.Verdict{Outcome: judge.Regression, Reason: "planted"}
		}
		return judge.Verdict{Outcome: judge.Pass}
	}
	state, err := model.runToEnd(&crash{effectIndex: -1}, 1000, func(_ int, state *State) {
		if state.Status.Phase == PhaseRollback {
			model.applyLedgerOp(&disruption.Op{Kind: disruption.OpHalt, Owner: "operator/eva", Halt: &disruption.Halt{Reason: "a bad night"}})
		}
	})
	if err == nil && state.Status.Phase != PhaseRolledBack {
		err = fmt.Errorf("it is %s", state.Status.Phase)
	}
	return err
}

// losePlatformState plays a release while the platform forgets at a tick, and finds all again 8 s later.
func losePlatformState(t testing.TB, planted plantedBugs, lossTick int) error {
	model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
	model.bugs = planted
	model.startRelease(serverPlan)
	maxProcesses := 0
	_, err := model.runToEnd(&crash{effectIndex: -1}, 1000, func(i int, _ *State) {
		if i == lossTick {
			if err := model.platform.SetFault(core.Fault{Kind: core.FaultLoseState, DurationMS: 8000}); err != nil {
				t.Fatal(err)
			}
		}
		for _, id := range model.ids {
			maxProcesses = max(maxProcesses, model.platform.LiveProcesses(model.units[id].name()))
		}
	})
	if maxProcesses > 1 {
		err = fmt.Errorf("once: a unit had %d processes", maxProcesses)
	}
	return err
}

func TestRollbackContinuesUnderFleetHalt(t *testing.T) {
	if err := rollbackUnderFleetHalt(t, plantedBugs{}); err != nil {
		t.Error(err)
	}
}

func TestPlatformStateLossIsNotEvidence(t *testing.T) {
	for lossTick := range 60 {
		if err := losePlatformState(t, plantedBugs{}, lossTick); err != nil {
			t.Errorf("forgets at tick %d: %v", lossTick, err)
		}
	}
}

// Each planted bug is found by the tests that are there for it.
func TestPlantedBugsAreDetected(t *testing.T) {
	crashAtEveryEffect := func(tested scenario, planted plantedBugs) (err error) {
		if _, runErr := tested.play(t, &crash{effectIndex: -1}, planted); runErr != nil {
			t.Errorf("%+v shows without a kill: %v", planted, runErr)
		}
		for index := 0; index < 120 && err == nil; index++ {
			for _, mode := range []string{"before", "after", "frozen"} {
				if _, runErr := tested.play(t, &crash{effectIndex: index, mode: mode}, planted); runErr != nil {
					err = runErr
				}
			}
		}
		return err
	}
	for _, c := range []struct {
		name string
		find func() error
	}{
		{"steps written after what they do", func() error { return crashAtEveryEffect(scenarios[0], plantedBugs{writesAfterEffects: true}) }},
		{"request ids that do not follow from what is written", func() error {
			for _, tested := range scenarios {
				if tested.name == "configuration" {
					return crashAtEveryEffect(tested, plantedBugs{requestIDsPerController: true})
				}
			}
			return nil
		}},
		{"ways back that ask behind forward steps", func() error { return rollbackUnderFleetHalt(t, plantedBugs{rollbackRankForward: true}) }},
		{"absence at a platform that has forgotten taken for an end", func() (err error) {
			for index := 0; index < 60 && err == nil; index++ {
				err = losePlatformState(t, plantedBugs{trustsIncompleteList: true}, index)
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
func TestPlatformFaults(t *testing.T) {
	faults := []core.Fault{
		{Kind: core.FaultHang, DurationMS: 20_000}, {Kind: core.FaultError, Count: 3}, {Kind: core.FaultPartial, On: core.OnDo}, {Kind: core.FaultDropResponse, Count: 2},
		{Kind: core.FaultWrongUnit, On: core.OnDo}, {Kind: core.FaultLoseState, DurationMS: 5000},
	}
	for _, fault := range faults {
		for _, rollbackTick := range []int{0, 62} {
			for faultTick := 0; faultTick < 100; faultTick += 7 {
				model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
				model.startRelease(serverPlan)
				_, err := model.runToEnd(&crash{effectIndex: -1}, 3000, func(i int, s *State) {
					if i == faultTick {
						if err := model.platform.SetFault(fault); err != nil {
							t.Fatal(err)
						}
					}
					if i == rollbackTick && rollbackTick > 0 {
						model.apply(&Operation{Name: "r", Command: &Command{Action: CommandRollback, Operator: "operator/eva"}})
					}
				})
				if err != nil {
					t.Errorf("%s at tick %d, back at %d: %v", fault.Kind, faultTick, rollbackTick, err)
				}
				for launch, n := range model.launches {
					if maxLaunches := 2; n > maxLaunches { // a start that was done by half, or a unit that was stopped wrongly, is started again
						t.Errorf("%s at tick %d, back at %d: %s was started %d times", fault.Kind, faultTick, rollbackTick, launch, n)
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
	outcomes := map[Phase]int{}
	for seed := range seeds {
		if err := runRandomFaults(t, seed, outcomes); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d seeds ended %v", seeds, outcomes)
}

func runRandomFaults(t testing.TB, seed uint64, outcomes map[Phase]int) error {
	rng := rand.New(rand.NewPCG(seed, 7))
	const maxOut = 12
	model := newClusterModel(t, disruption.KindServer, 4, 50, maxOut)
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
	currentTick := 0
	model.verdict = func(*State) judge.Verdict {
		if regressionTick >= 0 && currentTick >= regressionTick {
			return judge.Verdict{Outcome: judge.Regression, Reason: "planted"}
		}
		return judge.Verdict{Outcome: judge.Pass}
	}
	planned := &crash{effectIndex: rng.IntN(200), mode: []string{"before", "after", "frozen"}[rng.IntN(3)]}
	var budgetErr error
	crashed := map[int]bool{}
	state, err := model.runToEnd(planned, 4000, func(i int, state *State) {
		currentTick = i
		if planned.happened && planned.ticksToThaw == 0 && rng.IntN(20) == 0 {
			planned.happened, planned.effectIndex, planned.mode = false, planned.effectsDone+rng.IntN(60), []string{"before", "after", "frozen"}[rng.IntN(3)]
		}
		if i%50 == 49 { // a replica that was restored from a snapshot goes on alike
			model.restoreSnapshot()
		}
		if i < 400 && rng.IntN(40) == 0 {
			model.platform.SetFault([]core.Fault{
				{Kind: core.FaultHang, DurationMS: 5000}, {Kind: core.FaultError, Count: 2}, {Kind: core.FaultPartial, On: core.OnDo}, {Kind: core.FaultDropResponse, Count: 2},
				{Kind: core.FaultLoseState, DurationMS: 3000}, {Kind: core.FaultDelay, DelayMS: 3000},
			}[rng.IntN(6)])
		}
		if i < 400 && rng.IntN(60) == 0 {
			n := rng.IntN(len(model.ids))
			if !crashed[n] { // it fails alone; the platform starts it again, once
				model.platform.Crash(model.units[model.ids[n]].name(), "signal: killed")
			}
			crashed[n] = true
		}
		if i < 400 && rng.IntN(80) == 0 {
			model.apply(&Operation{Name: "r", Command: &Command{Action: []Action{CommandHalt, CommandResume}[rng.IntN(2)], Operator: "operator/eva"}})
		}
		if i > 400 && state.Status.Phase == PhaseHalted && i%50 == 0 {
			model.apply(&Operation{Name: "r", Command: &Command{Action: CommandRollback, Operator: "operator/eva"}})
		}
		if n := model.plannedOut(state, crashed); n > maxOut && budgetErr == nil {
			budgetErr = fmt.Errorf("budget: %d units are out for planned reasons at tick %d, %d may be", n, i, maxOut)
		}
	})
	outcomes[state.Status.Phase]++
	if err == nil {
		err = budgetErr
	}
	return err
}

// restoreSnapshot takes the table through a snapshot.
func (m *clusterModel) restoreSnapshot() {
	data, err := json.Marshal(m.table.Snapshot())
	if err != nil {
		m.t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		m.t.Fatal(err)
	}
	claims := len(m.table.claims)
	if m.table = Restore(&snapshot); len(m.table.claims) != claims {
		m.t.Fatalf("%d claims after a restore, %d before", len(m.table.claims), claims)
	}
}

// plannedOut counts the units that are truly out and under a permit, but for those that have failed alone: a permit for one
// that is out anyway takes no room.
func (m *clusterModel) plannedOut(state *State, crashed map[int]bool) int {
	out := 0
	for i := range state.Units {
		if !state.Units[i].inProgress() || crashed[slices.Index(m.ids, state.Units[i].ID)] {
			continue
		}
		permit, known := m.ledger.Permit(state.PermitID(&state.Units[i]))
		if known && (permit.Stage == disruption.StageActive || permit.Stage == disruption.StageReturning) && !m.serves(m.units[state.Units[i].ID]) {
			out++
		}
	}
	return out
}
