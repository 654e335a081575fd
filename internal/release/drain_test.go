package release

import (
	"testing"

	"milldeck/internal/disruption"
)

// A drained unit that has left the list, and whose permit has ended, while its controller was dead is at rest.
func TestDrainedUnitRemovedWhileUnobserved(t *testing.T) {
	drainPlan := DrainPlan("d", disruption.Selector{IDs: []string{"server/a"}}, 3600)
	state := &State{Name: "d", Plan: drainPlan, PlanHash: drainPlan.Hash(), DrainOnly: true, Status: Status{Phase: PhaseRollout, Token: 2},
		Units: []Unit{{ID: "server/a", Name: "a", Stage: StageWarmingUp, PermitAttempt: 1}}}
	emptyView := &View{
		NowMS: 1000, Token: 2,
		Permit: func(string) (disruption.Permit, bool) { return disruption.Permit{}, false },
		Unit:   func(string) (disruption.Unit, bool) { return disruption.Unit{}, false },
	}
	for range 3 {
		for _, effect := range state.Reconcile(emptyView) {
			if write, ok := effect.(WriteDelta); ok {
				if err := state.Apply(write.Delta); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if state.Units[0].Stage != StageConverged || state.Status.Phase != PhaseCompleted {
		t.Errorf("the unit is at %s, the drain %s", state.Units[0].Stage, state.Status.Phase)
	}
}
