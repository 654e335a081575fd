package release

import (
	"testing"

	"milldeck/internal/disruption"
)

// A drained unit whose permit has ended, and that has left the ledger, while no controller was alive has converged.
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
		t.Errorf("the unit is at %s, the drain %s", state.Units[0].Stage, state.Status.Phase)
	}
}

// A server that is being drained ends by itself at any moment, and the platform restarts it by its policy: it is stopped
// all the same.
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
			t.Errorf("ended by itself at tick %d: %s, %d processes, %+v", crashTick, state.Status.Phase, processes, state.Units[0])
		}
	}
}
