package release

import (
	"testing"

	"milldeck/internal/disruption"
)

// Guards against a drain that never ends: while no controller runs, the permit of a drained unit ends, and the ledger
// removes both the unit and the permit. The next controller has to count the unit as converged.
func TestDrainedUnitRemovedWhileUnobserved(t *testing.T) {
	drainPlan := DrainPlan("d", disruption.Selector{IDs: []string{"server/a"}}, 3600)
	state := &State{
		Name: "d", Plan: drainPlan, PlanHash: drainPlan.Hash(), DrainOnly: true,
		Status: Status{Phase: PhaseRollout, Token: 2},
		Units:  []Unit{{ID: "server/a", Name: "a", Stage: StageWarmingUp, PermitAttempt: 1}},
	}
	emptyView := &View{
		NowMS: 1000, Token: 2,
		Permit: func(string) (disruption.Permit, bool) { return disruption.Permit{}, false },
		Unit:   func(string) (disruption.Unit, bool) { return disruption.Unit{}, false },
	}
	for range 3 {
		for _, effect := range state.Reconcile(emptyView) {
			write, ok := effect.(WriteDelta)
			if !ok {
				continue
			}
			if err := state.Apply(write.Delta); err != nil {
				t.Fatal(err)
			}
		}
	}
	if state.Units[0].Stage != StageConverged || state.Status.Phase != PhaseCompleted {
		t.Errorf("the unit is at stage %s, the drain in phase %s", state.Units[0].Stage, state.Status.Phase)
	}
}

// Guards against a drained server that keeps running: the server exits by itself during the drain, and the platform
// restarts it by its restart policy. The drain has to stop it again.
func TestDrainedServerRestartedByPlatformIsStopped(t *testing.T) {
	for crashTick := range 16 {
		model := newClusterModel(t, disruption.KindServer, 2, 3, 2)
		model.startDrain("r", "server/a0")
		state, _ := model.run(noCrash(), 400, func(tick int, _ *State) {
			if tick == crashTick {
				model.crashUnit("a0")
			}
		})
		processes := model.platform.LiveProcesses("a0")
		if state.Status.Phase != PhaseCompleted || processes != 0 {
			t.Errorf("server exited at tick %d: phase %s, %d processes, %+v", crashTick, state.Status.Phase, processes, state.Units[0])
		}
	}
}
