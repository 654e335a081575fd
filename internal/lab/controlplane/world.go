package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
	"milldeck/internal/supervisor/fake"
)

// Times of the world in ms.
const (
	tickMS   = 500  // between two looks at everything
	leaseMS  = 4000 // of servers and sidecars in the list
	holdMS   = 60_000
	readyMS  = 800  // from a process's start to its first answer
	warmMS   = 3000 // of a server, from there
	stopMS   = 700  // from SIGTERM to the end
	longest  = 3000 // of a request, for the proof that a server is empty
	massPart = 6    // one of so many missing at once is a loss of sight
)

// unit is what is true of a unit, whatever anybody knows of it.
type unit struct {
	disruption.Unit
	name    string
	version string // of the process that was started last
	bootMS  int64
	ready   int64 // when that process answers; far: never
	warm    int64
	cut     int64 // until when nobody reaches it
	busy    bool  // a window's work is done on it
	alive   bool
	lost    int64 // since when it does not show; 0: it does
	active  bool  // something about it is under way
	gone    bool  // it is to be out at the end
	car     *sidecar
	judged  judged
}

// sidecar is what a sidecar knows and has been told.
type sidecar struct {
	clock
	mute   int64 // until when its agent reaches nobody
	lag    int64
	rev    uint64 // of the placement
	epoch  uint64
	list   uint64
	forced map[string]*forced
}

// forced is an entry that a sidecar follows.
type forced struct {
	tenant     string
	since, end int64
	drain      int64 // when its last request there is answered
}

type timer struct {
	at int64
	do func()
}

// world is a night.
type world struct {
	opt      Options
	rng      *rand.Rand
	now      int64 // true Unix ms
	begin    int64
	plane    *plane
	platform *fake.Platform
	units    []*unit // servers first
	servers  []*unit
	sidecars []*unit
	by       map[string]*unit // by ledger's id
	names    map[string]*unit
	timers   []timer
	procs    []*process
	judge    *referee
	fleet    maintenance.Fleet
	topToken uint64
	outs     map[string]int // by budget, a second ago: for a planted fault
	powerOff map[string]int64
	stepMS   int64 // between two steps of a release's controller
	listed   *supervisor.List
	listedAt int64
	traffic  *traffic
	night    *nightPlan
	seed     uint64
	calls    int
	moved    uint64 // revision of the placement or the list that sidecars were last walked for
	walkTo   int64
	writes   int
}

const far = int64(1) << 60

// never marks versions that do not come up.
const (
	goodVersion  = "2"
	deadVersion  = "3" // fails at start
	neverVersion = "4" // is never ready
)

func newWorld(seed uint64, opt Options) *world {
	w := &world{opt: opt, seed: seed, rng: rand.New(rand.NewPCG(seed, 18)), by: map[string]*unit{}, names: map[string]*unit{}, fleet: maintenance.Fleet{},
		powerOff: map[string]int64{}, outs: map[string]int{}, stepMS: 2 * tickMS}
	w.now = opt.Start
	w.begin = w.now
	w.judge = newJudge(w)
	w.plane = newPlane(w)
	w.plane.leader = w.goodClock()
	versions := map[core.Version]fake.Version{}
	for _, kind := range []supervisor.Kind{supervisor.Server, supervisor.Sidecar} {
		for _, v := range []string{"1", goodVersion, deadVersion, neverVersion} {
			versions[core.Version{Kind: kind, Name: v}] = fake.Version{ProcessPolicy: core.ProcessPolicy{GraceMS: 10_000, MaxRestarts: 3}, Behave: w.behave}
		}
	}
	w.platform = fake.New(fake.Options{Versions: versions}, w.now)
	for _, b := range opt.budgets() {
		w.plane.rev++
		w.plane.ledger.Apply(w.plane.rev, &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ops", Budget: &b})
	}
	for i := range opt.Servers {
		u := &unit{name: fmt.Sprintf("s%04d", i)}
		zone := i * len(zones) / opt.Servers
		u.Unit = disruption.Unit{Kind: disruption.KindServer, Zone: zones[zone], Model: "m" + fmt.Sprint(i%4), PodGroup: i / 10, Capacity: 1}
		u.Tenants = [][]string{{"portal"}, {"teller"}, {"portal", "teller"}, {"island"}}[i/10%4]
		w.fleet[u.name] = u.Tenants
		w.addUnit(u)
	}
	for i := range opt.Sidecars {
		u := &unit{name: fmt.Sprintf("c%04d", i), car: &sidecar{clock: w.goodClock(), lag: w.rng.Int64N(900), forced: map[string]*forced{}}}
		u.Unit = disruption.Unit{Kind: disruption.KindSidecar, Zone: zones[i*len(zones)/opt.Sidecars], Capacity: 1}
		w.addUnit(u)
	}
	list := w.list()
	for _, u := range w.units {
		w.platform.Do(context.Background(), supervisor.Request{ID: "first-" + u.name, Op: supervisor.Start, Epoch: list.Epoch, Unit: u.name,
			Kind: supervisor.Kind(u.Kind), Version: "1", ConfigName: "c1", ConfigText: "c1", Listen: "127.0.0.1:7000", Zone: u.Zone})
	}
	for range 16 {
		w.tick()
	}
	w.judge.start()
	w.begin = w.now
	return w
}

func (w *world) addUnit(u *unit) {
	u.ID = disruption.UnitID(u.Kind, u.name)
	w.units = append(w.units, u)
	if u.Kind == disruption.KindServer {
		w.servers = append(w.servers, u)
	} else {
		w.sidecars = append(w.sidecars, u)
	}
	w.by[u.ID], w.names[u.name] = u, u
}

func (w *world) goodClock() clock { return clock{w.rng.Int64N(400) - 200, 250} }

// after has something happen in some ms.
func (w *world) after(ms int64, do func()) {
	w.timers = append(w.timers, timer{w.now + max(ms, 1), do})
}

// list is the platform's list, asked for once in a tick; nil where it does not answer.
func (w *world) list() *supervisor.List {
	if w.listedAt != w.now {
		l, err := w.platform.List(context.Background())
		if err != nil {
			l = nil
		}
		w.listed, w.listedAt = l, w.now
	}
	return w.listed
}

// behave is told of each launch by the platform.
func (w *world) behave(p supervisor.Unit) fake.Behavior {
	u := w.names[p.Name]
	w.judge.launched(u, p.Version, p.Incarnation)
	u.version, u.bootMS, u.active = p.Version, w.now, true
	u.ready = w.now + readyMS
	life := fake.Behavior{ReadyAfterMS: readyMS, StopAfterMS: stopMS}
	if off := w.powerOff[u.Zone]; off > w.now {
		life.ReadyAfterMS += off - w.now
		u.ready = off + readyMS
	}
	switch p.Version {
	case deadVersion:
		u.ready, life.ReadyAfterMS, life.ExitAfterMS, life.ExitText = far, -1, 100, "exit status 1"
	case neverVersion:
		u.ready = far // the platform's own check is met, the list's is not
	}
	u.warm = u.ready
	if u.Kind == disruption.KindServer && u.ready != far {
		u.warm += warmMS
	}
	if u.car != nil { // it begins anew, and knows nothing
		w.lapseAll(u)
		u.car.rev, u.car.epoch, u.car.list = 0, 0, 0
	}
	return life
}

// serves is the truth about a unit.
func (w *world) serves(u *unit) bool {
	return u.alive && u.ready <= w.now && u.warm <= w.now && u.cut <= w.now && !u.busy && w.plane.drains[u.ID] == 0
}

// tick has everything happen that is due within the next tickMS.
func (w *world) tick() {
	w.now += tickMS
	w.platform.Advance(w.now)
	for i := 0; i < len(w.timers); i++ { // one may set others
		if t := w.timers[i]; t.do != nil && t.at <= w.now {
			w.timers[i].do = nil
			t.do()
		}
	}
	w.timers = slices.DeleteFunc(w.timers, func(t timer) bool { return t.do == nil })
	missing := map[disruption.Kind]int{}
	for _, u := range w.units {
		if alive := w.platform.LiveProcesses(u.name) > 0; alive != u.alive {
			u.alive, u.active = alive, true
			if !alive && u.car != nil {
				w.lapseAll(u)
			}
		}
		if u.lost != 0 {
			missing[u.Kind]++
		}
	}
	for _, u := range w.units {
		if u.active {
			w.show(u, missing[u.Kind])
		}
		if u.active || !u.judged.in {
			w.judge.see(u)
		}
	}
	w.plane.leases()
	for i := range w.procs {
		w.procs[i].step()
	}
	w.walk()
	w.plane.look()
	w.judge.grants()
}

// show has a unit seen by the list service, or not.
func (w *world) show(u *unit, missing int) {
	p := w.plane
	if !p.leads() {
		return
	}
	shows := u.alive && u.cut <= w.now && (u.car == nil || u.car.mute <= w.now)
	if !shows {
		if u.lost == 0 {
			u.lost = w.now
		}
		known, is := p.ledger.Unit(u.ID)
		since := max(u.lost, p.since)
		switch all := len(w.servers); {
		case !is || known.Condition == disruption.ConditionLost || w.now-since < leaseMS:
		case u.car == nil && missing*massPart > all && w.now-since < holdMS:
			if known.Condition != disruption.ConditionUnknown {
				p.rev++
				p.ledger.MarkUnknown(p.rev, u.ID)
			}
		default:
			p.rev++
			p.ledger.MarkLost(p.rev, u.ID)
			if u.gone {
				delete(p.drains, u.ID)
			}
		}
		return
	}
	u.lost = 0
	known, is := p.ledger.Unit(u.ID)
	n := u.Unit
	n.Version, n.Condition, n.BootMS = u.version, disruption.ConditionUp, float64(u.bootMS)
	if is && known.BootMS != n.BootMS && p.drains[u.ID] != 0 {
		delete(p.drains, u.ID) // it registers anew
		p.rev++
	}
	switch {
	case u.ready > w.now || u.busy:
		n.Condition = disruption.ConditionUnready
	case p.drains[u.ID] != 0:
		n.Condition = disruption.ConditionDraining
	}
	p.rev++
	p.ledger.Register(p.rev, n)
	known, _ = p.ledger.Unit(u.ID)
	found := n.Condition
	if found == disruption.ConditionUp && u.warm > w.now {
		found = disruption.ConditionWarmingUp
	}
	if found != disruption.ConditionDraining && known.Condition != found {
		p.rev++
		p.ledger.Apply(p.rev, &disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: u.ID, Condition: found}}})
		known, _ = p.ledger.Unit(u.ID)
	}
	u.active = u.ready > w.now && u.ready != far || u.warm > w.now && u.warm != far || known.Condition != found
}
