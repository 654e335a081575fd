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
	name   string
	kind   disruption.Kind
	plan   string
	drain  bool
	back   int // tick at which an operator sends it back; 0: never
	want   Phase
	image  Image
	launch int // of one unit and version, at most
}

var scenarios = []scenario{
	{name: "servers", kind: disruption.KindServer, plan: serverPlan, want: Done, image: Image{"2", "c1"}, launch: 1},
	{name: "servers back, some of them out", kind: disruption.KindServer, plan: serverPlan, back: 62, want: Backed, image: Image{"1", "c1"}, launch: 1},
	{name: "servers back", kind: disruption.KindServer, plan: serverPlan, back: 82, want: Backed, image: Image{"1", "c1"}, launch: 1},
	{name: "sidecars", kind: disruption.KindSidecar, plan: sidecarPlan, want: Done, image: Image{"2", "c2"}, launch: 1},
	{name: "configuration", kind: disruption.KindSidecar, plan: reloadPlan, want: Done, image: Image{"1", "c2"}},
	{name: "sidecars back", kind: disruption.KindSidecar, plan: sidecarPlan, back: 35, want: Backed, image: Image{"1", "c1"}, launch: 1},
	{name: "configuration back", kind: disruption.KindSidecar, plan: reloadPlan, back: 30, want: Backed, image: Image{"1", "c1"}},
	{name: "drain", kind: disruption.KindServer, drain: true, want: Done},
}

// errEarly says that a release was over before it was sent back.
var errEarly = errors.New("it was done before it was sent back")

// play plays a scenario with a controller killed somewhere, and tells what was wrong.
func (sc *scenario) play(t testing.TB, k *kill, bug bugs) (effects int, err error) {
	const each, maxOut = 3, 2
	w := newWorld(t, sc.kind, 2, each, maxOut)
	w.bugs, w.brief = bug, k.at%2 == 0
	if sc.drain {
		sel := disruption.Selector{IDs: []string{"server/a0", "server/b1"}}
		l := w.list()
		s, e := NewDrain(DrainPlan("r", sel, 3600), w.now, w.ledger.Units(), l)
		if e == nil {
			e = w.apply(&Op{Start: s})
		}
		if e != nil {
			t.Fatal(e)
		}
	} else {
		w.start(sc.plan)
	}
	s, effects := w.run("r", k, 2000, func(i int, _ *State) {
		if sc.back > 0 && i == sc.back {
			if e := w.apply(&Op{Name: "r", Tell: &Command{What: CmdBack, By: "operator/eva"}}); e != nil {
				t.Fatal(e)
			}
		}
	})
	switch {
	case s.Head.Phase == Done && sc.want == Backed:
		return effects, errEarly
	case s.Head.Phase != sc.want:
		return effects, fmt.Errorf("it is %s (%s), want %s", s.Head.Phase, s.Head.Why, sc.want)
	}
	if w.most > maxOut {
		return effects, fmt.Errorf("budget: %d units were out at once, %d may be", w.most, maxOut)
	}
	for what, n := range w.launches {
		if n > sc.launch {
			return effects, fmt.Errorf("once: %s was started %d times", what, n)
		}
	}
	for what, n := range w.reloads {
		if n > 1 {
			return effects, fmt.Errorf("once: %s was told %d times", what, n)
		}
	}
	for _, p := range w.ledger.OpenPermits() {
		return effects, fmt.Errorf("permit %s is %s at the end", p.ID, p.Stage)
	}
	if sc.drain {
		for i := range s.Units {
			if n := w.platform.LiveProcesses(s.Units[i].Name); n != 0 {
				return effects, fmt.Errorf("%s is drained and has %d processes", s.Units[i].ID, n)
			}
		}
		return effects, nil
	}
	return effects, w.all(s, sc.image.Version, sc.image.Config)
}

// From half a wave, wherever it stands: a way back ends with all on the old version.
func TestBackFromEveryMoment(t *testing.T) {
	for _, sc := range scenarios {
		if sc.drain || sc.back > 0 {
			continue
		}
		sc.want, sc.image, sc.launch = Backed, Image{"1", "c1"}, 1
		for sc.back = 1; sc.back < 100; sc.back++ {
			_, err := sc.play(t, &kill{at: -1}, bugs{})
			if errors.Is(err, errEarly) {
				break
			}
			if err != nil {
				t.Errorf("%s, back at tick %d: %v", sc.name, sc.back, err)
			}
		}
	}
}

// Hard case 2: the controller is killed at every single step, before what it does, after it but before it knows, and is
// frozen there while another goes on, and then does the rest.
func TestKilledAtEveryStep(t *testing.T) {
	for _, sc := range scenarios {
		if _, err := sc.play(t, &kill{at: -2}, bugs{}); err != nil {
			t.Errorf("%s, nobody killed, no permits that are over in view: %v", sc.name, err)
		}
		steps, err := sc.play(t, &kill{at: -1}, bugs{})
		if err != nil {
			t.Errorf("%s, nobody killed: %v", sc.name, err)
			continue
		}
		t.Logf("%s: %d steps", sc.name, steps)
		for at := range steps {
			for _, mode := range []string{"before", "after", "frozen"} {
				t.Run(fmt.Sprintf("%s/%d %s", sc.name, at, mode), func(t *testing.T) {
					if _, err := sc.play(t, &kill{at: at, mode: mode}, bugs{}); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}
