package release

import (
	"errors"
	"fmt"
	"testing"

	"milldeck/internal/disruption"
)

const serverPlan = `name = "r"
on_halt = "back"
deadline_s = 3600
[what]
server = "2"
[[wave]]
count = 1
bake_s = 5
[[wave]]
bake_s = 5
[limits]
max_out = { count = 2 }
`

const sidecarPlan = `name = "r"
on_halt = "back"
deadline_s = 3600
[what]
sidecar = "2"
sidecar_config = "c2"
[[wave]]
bake_s = 2
`

const reloadPlan = `name = "r"
on_halt = "back"
deadline_s = 3600
[what]
sidecar_config = "c2"
[[wave]]
count = 1
bake_s = 2
[[wave]]
`

// scenario is a release in which controllers crash.
type scenario struct {
	name         string
	kind         disruption.Kind
	plan         string // TOML; empty: the release is a drain
	rollbackTick int    // tick at which an operator rolls the release back; 0: never
	wantPhase    Phase
	wantImage    Image
	maxLaunches  int // allowed starts of one version on one unit
}

var scenarios = []scenario{
	{
		name: "servers", kind: disruption.KindServer, plan: serverPlan,
		wantPhase: PhaseCompleted, wantImage: Image{"2", "c1"}, maxLaunches: 1,
	},
	{
		name: "servers rolled back, some of them out", kind: disruption.KindServer, plan: serverPlan, rollbackTick: 62,
		wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"}, maxLaunches: 1,
	},
	{
		name: "servers rolled back", kind: disruption.KindServer, plan: serverPlan, rollbackTick: 82,
		wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"}, maxLaunches: 1,
	},
	{
		name: "sidecars", kind: disruption.KindSidecar, plan: sidecarPlan,
		wantPhase: PhaseCompleted, wantImage: Image{"2", "c2"}, maxLaunches: 1,
	},
	{
		name: "configuration", kind: disruption.KindSidecar, plan: reloadPlan,
		wantPhase: PhaseCompleted, wantImage: Image{"1", "c2"},
	},
	{
		name: "sidecars rolled back", kind: disruption.KindSidecar, plan: sidecarPlan, rollbackTick: 35,
		wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"}, maxLaunches: 1,
	},
	{
		name: "configuration rolled back", kind: disruption.KindSidecar, plan: reloadPlan, rollbackTick: 30,
		wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"},
	},
	{
		name: "drain", kind: disruption.KindServer, wantPhase: PhaseCompleted,
	},
}

// errCompletedEarly says that a release was completed before its scenario rolled it back.
var errCompletedEarly = errors.New("the release was completed before it was rolled back")

// run runs a scenario with a planned crash. It returns the number of executed effects, and an error if the release does
// not end as expected.
func (s *scenario) run(t testing.TB, planned *crash, defects injectedDefects) (effects int, err error) {
	t.Helper()
	const zones, unitsPerZone, maxUnavailable = 2, 3, 2
	model := newClusterModel(t, s.kind, zones, unitsPerZone, maxUnavailable)
	model.defects = defects
	model.hidesEndedPermits = planned.effectIndex%2 == 0 // -2 hides them in a run without a crash
	if s.plan == "" {
		model.startDrain("r", "server/a0", "server/b1")
	} else {
		model.startRelease(s.plan)
	}
	state, effects := model.run(planned, 2000, func(tick int, _ *State) {
		if s.rollbackTick > 0 && tick == s.rollbackTick {
			sendCommand(t, model, ActionRollback)
		}
	})
	switch {
	case state.Status.Phase == PhaseCompleted && s.wantPhase == PhaseRolledBack:
		return effects, errCompletedEarly
	case state.Status.Phase != s.wantPhase:
		return effects, fmt.Errorf("release ended in phase %s (%s), want %s", state.Status.Phase, state.Status.HaltReason, s.wantPhase)
	}
	if model.peakUnavailable > maxUnavailable {
		return effects, fmt.Errorf("budget exceeded: %d units were out at once, limit is %d", model.peakUnavailable, maxUnavailable)
	}
	if err := s.checkNoRepeats(model); err != nil {
		return effects, err
	}
	for _, permit := range model.ledger.OpenPermits() {
		return effects, fmt.Errorf("permit %s is still open at the end, at stage %s", permit.ID, permit.Stage)
	}
	if s.plan == "" {
		return effects, model.checkAllStopped(state)
	}
	return effects, model.checkAllRun(state, s.wantImage)
}

// checkNoRepeats returns an error if a unit was started or reloaded more often than necessary.
func (s *scenario) checkNoRepeats(model *clusterModel) error {
	for launch, count := range model.launches {
		if count > s.maxLaunches {
			return fmt.Errorf("repeated start: %s was started %d times", launch, count)
		}
	}
	for reload, count := range model.reloads {
		if count > 1 {
			return fmt.Errorf("repeated reload: %s was reloaded %d times, want at most 1", reload, count)
		}
	}
	return nil
}

// checkAllStopped returns an error if a drained unit has a process.
func (m *clusterModel) checkAllStopped(state *State) error {
	for i := range state.Units {
		if processes := m.platform.LiveProcesses(state.Units[i].Name); processes != 0 {
			return fmt.Errorf("%s is drained and has %d processes", state.Units[i].ID, processes)
		}
	}
	return nil
}

// Guards against a rollback that leaves units on the target image, whichever tick of the rollout it begins at.
func TestRollbackFromEveryTick(t *testing.T) {
	for _, tested := range scenarios {
		if tested.plan == "" || tested.rollbackTick > 0 {
			continue
		}
		tested.wantPhase = PhaseRolledBack
		tested.wantImage = Image{"1", "c1"}
		tested.maxLaunches = 1
		for tested.rollbackTick = 1; tested.rollbackTick < 100; tested.rollbackTick++ {
			_, err := tested.run(t, noCrash(), injectedDefects{})
			if errors.Is(err, errCompletedEarly) {
				break
			}
			if err != nil {
				t.Errorf("%s, rolled back at tick %d: %v", tested.name, tested.rollbackTick, err)
			}
		}
	}
}

// Guards against effects that are lost or done twice when a controller crashes. Each run crashes the controller at another
// effect and in another mode, and its successor has to complete the release.
func TestControllerKilledAtEveryEffect(t *testing.T) {
	for _, tested := range scenarios {
		if _, err := tested.run(t, &crash{effectIndex: -2}, injectedDefects{}); err != nil {
			t.Errorf("%s, no crash, ended permits hidden: %v", tested.name, err)
		}
		effects, err := tested.run(t, noCrash(), injectedDefects{})
		if err != nil {
			t.Errorf("%s, no crash: %v", tested.name, err)
			continue
		}
		t.Logf("%s: %d effects", tested.name, effects)
		for index := range effects {
			for _, mode := range crashModes {
				t.Run(fmt.Sprintf("%s/%d %s", tested.name, index, mode), func(t *testing.T) {
					if _, err := tested.run(t, &crash{effectIndex: index, mode: mode}, injectedDefects{}); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}
