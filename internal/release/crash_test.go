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

// scenario is a release that controllers are killed in.
type scenario struct {
	name         string
	kind         disruption.Kind
	plan         string
	drain        bool
	rollbackTick int // tick at which an operator sends it back; 0: never
	wantPhase    Phase
	wantImage    Image
	maxLaunches  int // of one unit and version, at most
}

var scenarios = []scenario{
	{name: "servers", kind: disruption.KindServer, plan: serverPlan, wantPhase: PhaseCompleted, wantImage: Image{"2", "c1"}, maxLaunches: 1},
	{name: "servers back, some of them out", kind: disruption.KindServer, plan: serverPlan, rollbackTick: 62, wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"}, maxLaunches: 1},
	{name: "servers back", kind: disruption.KindServer, plan: serverPlan, rollbackTick: 82, wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"}, maxLaunches: 1},
	{name: "sidecars", kind: disruption.KindSidecar, plan: sidecarPlan, wantPhase: PhaseCompleted, wantImage: Image{"2", "c2"}, maxLaunches: 1},
	{name: "configuration", kind: disruption.KindSidecar, plan: reloadPlan, wantPhase: PhaseCompleted, wantImage: Image{"1", "c2"}},
	{name: "sidecars back", kind: disruption.KindSidecar, plan: sidecarPlan, rollbackTick: 35, wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"}, maxLaunches: 1},
	{name: "configuration back", kind: disruption.KindSidecar, plan: reloadPlan, rollbackTick: 30, wantPhase: PhaseRolledBack, wantImage: Image{"1", "c1"}},
	{name: "drain", kind: disruption.KindServer, drain: true, wantPhase: PhaseCompleted},
}

// errCompletedEarly says that a release was over before it was sent back.
var errCompletedEarly = errors.New("it was done before it was sent back")

// play plays a scenario with a controller killed somewhere, and tells what was wrong.
func (sc *scenario) play(t testing.TB, planned *crash, bugs plantedBugs) (effects int, err error) {
	const unitsPerZone, maxOut = 3, 2
	model := newClusterModel(t, sc.kind, 2, unitsPerZone, maxOut)
	model.bugs, model.hidesEndedPermits = bugs, planned.effectIndex%2 == 0
	if sc.drain {
		selector := disruption.Selector{IDs: []string{"server/a0", "server/b1"}}
		list := model.list()
		state, startErr := NewDrain(DrainPlan("r", selector, 3600), model.nowMS, model.ledger.Units(), list)
		if startErr == nil {
			startErr = model.apply(&Operation{Start: state})
		}
		if startErr != nil {
			t.Fatal(startErr)
		}
	} else {
		model.startRelease(sc.plan)
	}
	state, effects := model.run("r", planned, 2000, func(i int, _ *State) {
		if sc.rollbackTick > 0 && i == sc.rollbackTick {
			if startErr := model.apply(&Operation{Name: "r", Command: &Command{Action: CommandRollback, Operator: "operator/eva"}}); startErr != nil {
				t.Fatal(startErr)
			}
		}
	})
	switch {
	case state.Status.Phase == PhaseCompleted && sc.wantPhase == PhaseRolledBack:
		return effects, errCompletedEarly
	case state.Status.Phase != sc.wantPhase:
		return effects, fmt.Errorf("it is %s (%s), want %s", state.Status.Phase, state.Status.HaltReason, sc.wantPhase)
	}
	if model.maxOut > maxOut {
		return effects, fmt.Errorf("budget: %d units were out at once, %d may be", model.maxOut, maxOut)
	}
	for key, n := range model.launches {
		if n > sc.maxLaunches {
			return effects, fmt.Errorf("once: %s was started %d times", key, n)
		}
	}
	for key, n := range model.reloads {
		if n > 1 {
			return effects, fmt.Errorf("once: %s was told %d times", key, n)
		}
	}
	for _, permit := range model.ledger.OpenPermits() {
		return effects, fmt.Errorf("permit %s is %s at the end", permit.ID, permit.Stage)
	}
	if sc.drain {
		for i := range state.Units {
			if n := model.platform.LiveProcesses(state.Units[i].Name); n != 0 {
				return effects, fmt.Errorf("%s is drained and has %d processes", state.Units[i].ID, n)
			}
		}
		return effects, nil
	}
	return effects, model.checkAllRun(state, sc.wantImage.Version, sc.wantImage.ConfigName)
}

// From half a wave, wherever it stands: a way back ends with all on the old version.
func TestRollbackFromEveryTick(t *testing.T) {
	for _, tested := range scenarios {
		if tested.drain || tested.rollbackTick > 0 {
			continue
		}
		tested.wantPhase, tested.wantImage, tested.maxLaunches = PhaseRolledBack, Image{"1", "c1"}, 1
		for tested.rollbackTick = 1; tested.rollbackTick < 100; tested.rollbackTick++ {
			_, err := tested.play(t, &crash{effectIndex: -1}, plantedBugs{})
			if errors.Is(err, errCompletedEarly) {
				break
			}
			if err != nil {
				t.Errorf("%s, back at tick %d: %v", tested.name, tested.rollbackTick, err)
			}
		}
	}
}

// Hard case 2: the controller is killed at every single step, before what it does, after it but before it knows, and is
// frozen there while another goes on, and then does the rest.
func TestControllerKilledAtEveryEffect(t *testing.T) {
	for _, tested := range scenarios {
		if _, err := tested.play(t, &crash{effectIndex: -2}, plantedBugs{}); err != nil {
			t.Errorf("%s, nobody killed, no permits that are over in view: %v", tested.name, err)
		}
		effects, err := tested.play(t, &crash{effectIndex: -1}, plantedBugs{})
		if err != nil {
			t.Errorf("%s, nobody killed: %v", tested.name, err)
			continue
		}
		t.Logf("%s: %d steps", tested.name, effects)
		for index := range effects {
			for _, mode := range []string{"before", "after", "frozen"} {
				t.Run(fmt.Sprintf("%s/%d %s", tested.name, index, mode), func(t *testing.T) {
					if _, err := tested.play(t, &crash{effectIndex: index, mode: mode}, plantedBugs{}); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}
