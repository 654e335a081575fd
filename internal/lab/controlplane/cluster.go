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
	tickMS          = 500  // between two looks at everything
	endpointLeaseMS = 4000 // of servers and sidecars in the list
	massLossHoldMS  = 60_000
	startupMS       = 800  // from a process's start to its first answer
	warmupMS        = 3000 // of a server, from there
	shutdownMS      = 700  // from SIGTERM to the end
	maxRequestMS    = 3000 // of a request, for the proof that a server is empty
	massLossDivisor = 6    // one of so many missing at once is a loss of sight
)

// unit is what is true of a unit, whatever anybody knows of it.
type unit struct {
	disruption.Unit
	name               string
	version            string // of the process that was started last
	bootMS             int64
	readyAtMS          int64 // when that process answers; far: never
	warmAtMS           int64
	unreachableUntilMS int64 // until when nobody reaches it
	underMaintenance   bool  // a window's work is done on it
	alive              bool
	missingSinceMS     int64 // since when it does not show; 0: it does
	changing           bool  // something about it is under way
	decommissioned     bool  // it is to be out at the end
	sidecar            *sidecarState
	observed           observation
}

// sidecarState is what a sidecar knows and has been told.
type sidecarState struct {
	wallClock
	agentDownUntilMS  int64 // until when its agent reaches nobody
	pollDelayMS       int64
	placementRevision uint64 // of the placement
	placementEpoch    uint64
	endpointRevision  uint64
	exclusions        map[string]*exclusion
}

// exclusion is an entry that a sidecar follows.
type exclusion struct {
	tenant               string
	startedMS, expiresMS int64
	drainedMS            int64 // when its last request there is answered
}

type timer struct {
	dueMS int64
	run   func()
}

// cluster is a night.
type cluster struct {
	options           Options
	random            *rand.Rand
	nowMS             int64 // true Unix ms
	startMS           int64
	registry          *registry
	platform          *fake.Platform
	units             []*unit // servers first
	servers           []*unit
	sidecars          []*unit
	unitsByID         map[string]*unit // by ledger's id
	unitsByName       map[string]*unit
	timers            []timer
	processes         []*process
	checker           *checker
	serverTenants     maintenance.Fleet
	highestToken      uint64
	unavailableBefore map[string]int // by budget, a second ago: for a planted fault
	powerOffUntilMS   map[string]int64
	reconcilePeriodMS int64 // between two steps of a release's controller
	cachedList        *supervisor.List
	cachedListMS      int64
	traffic           *traffic
	scenario          *scenario
	seed              uint64
	requestCount      int
	syncedRevision    uint64 // revision of the placement or the list that sidecars were last walked for
	syncUntilMS       int64
	writeCount        int
}

const never = int64(1) << 60

// never marks versions that do not come up.
const (
	goodVersion     = "2"
	crashingVersion = "3" // fails at start
	unreadyVersion  = "4" // is never ready
)

func newCluster(seed uint64, options Options) *cluster {
	cluster := &cluster{options: options, seed: seed, random: rand.New(rand.NewPCG(seed, 18)), unitsByID: map[string]*unit{}, unitsByName: map[string]*unit{}, serverTenants: maintenance.Fleet{},
		powerOffUntilMS: map[string]int64{}, unavailableBefore: map[string]int{}, reconcilePeriodMS: 2 * tickMS}
	cluster.nowMS = options.StartMS
	cluster.startMS = cluster.nowMS
	cluster.checker = newChecker(cluster)
	cluster.registry = newRegistry(cluster)
	cluster.registry.leaderClock = cluster.accurateClock()
	versions := map[core.Version]fake.Version{}
	for _, kind := range []supervisor.Kind{supervisor.Server, supervisor.Sidecar} {
		for _, name := range []string{"1", goodVersion, crashingVersion, unreadyVersion} {
			versions[core.Version{Kind: kind, Name: name}] = fake.Version{ProcessPolicy: core.ProcessPolicy{GraceMS: 10_000, MaxRestarts: 3}, Behave: cluster.processBehavior}
		}
	}
	cluster.platform = fake.New(fake.Options{Versions: versions}, cluster.nowMS)
	for _, budget := range options.budgets() {
		cluster.registry.revision++
		cluster.registry.ledger.Apply(cluster.registry.revision, &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ops", Budget: &budget})
	}
	for index := range options.Servers {
		member := &unit{name: fmt.Sprintf("s%04d", index)}
		zoneIndex := index * len(zones) / options.Servers
		member.Unit = disruption.Unit{Kind: disruption.KindServer, Zone: zones[zoneIndex], Model: "m" + fmt.Sprint(index%4), PodGroup: index / 10, Capacity: 1}
		member.Tenants = [][]string{{"portal"}, {"teller"}, {"portal", "teller"}, {"island"}}[index/10%4]
		cluster.serverTenants[member.name] = member.Tenants
		cluster.addUnit(member)
	}
	for index := range options.Sidecars {
		member := &unit{name: fmt.Sprintf("c%04d", index), sidecar: &sidecarState{wallClock: cluster.accurateClock(), pollDelayMS: cluster.random.Int64N(900), exclusions: map[string]*exclusion{}}}
		member.Unit = disruption.Unit{Kind: disruption.KindSidecar, Zone: zones[index*len(zones)/options.Sidecars], Capacity: 1}
		cluster.addUnit(member)
	}
	list := cluster.platformList()
	for _, member := range cluster.units {
		cluster.platform.Do(context.Background(), supervisor.Request{ID: "first-" + member.name, Op: supervisor.Start, Epoch: list.Epoch, Unit: member.name,
			Kind: supervisor.Kind(member.Kind), Version: "1", ConfigName: "c1", ConfigText: "c1", Listen: "127.0.0.1:7000", Zone: member.Zone})
	}
	for range 16 {
		cluster.tick()
	}
	cluster.checker.start()
	cluster.startMS = cluster.nowMS
	return cluster
}

func (c *cluster) addUnit(member *unit) {
	member.ID = disruption.UnitID(member.Kind, member.name)
	c.units = append(c.units, member)
	if member.Kind == disruption.KindServer {
		c.servers = append(c.servers, member)
	} else {
		c.sidecars = append(c.sidecars, member)
	}
	c.unitsByID[member.ID], c.unitsByName[member.name] = member, member
}

func (c *cluster) accurateClock() wallClock { return wallClock{c.random.Int64N(400) - 200, 250} }

// schedule has something happen in some ms.
func (c *cluster) schedule(delayMS int64, run func()) {
	c.timers = append(c.timers, timer{c.nowMS + max(delayMS, 1), run})
}

// platformList is the platform's list, asked for once in a tick; nil where it does not answer.
func (c *cluster) platformList() *supervisor.List {
	if c.cachedListMS != c.nowMS {
		list, err := c.platform.List(context.Background())
		if err != nil {
			list = nil
		}
		c.cachedList, c.cachedListMS = list, c.nowMS
	}
	return c.cachedList
}

// processBehavior is told of each launch by the platform.
func (c *cluster) processBehavior(started supervisor.Unit) fake.Behavior {
	target := c.unitsByName[started.Name]
	c.checker.observeLaunch(target, started.Version, started.Incarnation)
	target.version, target.bootMS, target.changing = started.Version, c.nowMS, true
	target.readyAtMS = c.nowMS + startupMS
	behavior := fake.Behavior{ReadyAfterMS: startupMS, StopAfterMS: shutdownMS}
	if powerOnMS := c.powerOffUntilMS[target.Zone]; powerOnMS > c.nowMS {
		behavior.ReadyAfterMS += powerOnMS - c.nowMS
		target.readyAtMS = powerOnMS + startupMS
	}
	switch started.Version {
	case crashingVersion:
		target.readyAtMS, behavior.ReadyAfterMS, behavior.ExitAfterMS, behavior.ExitText = never, -1, 100, "exit status 1"
	case unreadyVersion:
		target.readyAtMS = never // the platform's own check is met, the list's is not
	}
	target.warmAtMS = target.readyAtMS
	if target.Kind == disruption.KindServer && target.readyAtMS != never {
		target.warmAtMS += warmupMS
	}
	if target.sidecar != nil { // it begins anew, and knows nothing
		c.endAllExclusions(target)
		target.sidecar.placementRevision, target.sidecar.placementEpoch, target.sidecar.endpointRevision = 0, 0, 0
	}
	return behavior
}

// inService is the truth about a unit.
func (c *cluster) inService(target *unit) bool {
	return target.alive && target.readyAtMS <= c.nowMS && target.warmAtMS <= c.nowMS && target.unreachableUntilMS <= c.nowMS && !target.underMaintenance && c.registry.drainRevisions[target.ID] == 0
}

// tick has everything happen that is due within the next tickMS.
func (c *cluster) tick() {
	c.nowMS += tickMS
	c.platform.Advance(c.nowMS)
	for index := 0; index < len(c.timers); index++ { // one may set others
		if due := c.timers[index]; due.run != nil && due.dueMS <= c.nowMS {
			c.timers[index].run = nil
			due.run()
		}
	}
	c.timers = slices.DeleteFunc(c.timers, func(due timer) bool { return due.run == nil })
	missing := map[disruption.Kind]int{}
	for _, member := range c.units {
		if alive := c.platform.LiveProcesses(member.name) > 0; alive != member.alive {
			member.alive, member.changing = alive, true
			if !alive && member.sidecar != nil {
				c.endAllExclusions(member)
			}
		}
		if member.missingSinceMS != 0 {
			missing[member.Kind]++
		}
	}
	for _, member := range c.units {
		if member.changing {
			c.updateRegistration(member, missing[member.Kind])
		}
		if member.changing || !member.observed.inService {
			c.checker.observe(member)
		}
	}
	c.registry.expireLeases()
	for index := range c.processes {
		c.processes[index].step()
	}
	c.syncSidecars()
	c.registry.indexPermits()
	c.checker.checkGrants()
}

// updateRegistration has a unit seen by the list service, or not.
func (c *cluster) updateRegistration(target *unit, missingCount int) {
	registry := c.registry
	if !registry.hasLeader() {
		return
	}
	visible := target.alive && target.unreachableUntilMS <= c.nowMS && (target.sidecar == nil || target.sidecar.agentDownUntilMS <= c.nowMS)
	if !visible {
		if target.missingSinceMS == 0 {
			target.missingSinceMS = c.nowMS
		}
		known, ok := registry.ledger.Unit(target.ID)
		missingSinceMS := max(target.missingSinceMS, registry.leaderSinceMS)
		switch serverCount := len(c.servers); {
		case !ok || known.Condition == disruption.ConditionLost || c.nowMS-missingSinceMS < endpointLeaseMS:
		case target.sidecar == nil && missingCount*massLossDivisor > serverCount && c.nowMS-missingSinceMS < massLossHoldMS:
			if known.Condition != disruption.ConditionUnknown {
				registry.revision++
				registry.ledger.MarkUnknown(registry.revision, target.ID)
			}
		default:
			registry.revision++
			registry.ledger.MarkLost(registry.revision, target.ID)
			if target.decommissioned {
				delete(registry.drainRevisions, target.ID)
			}
		}
		return
	}
	target.missingSinceMS = 0
	known, ok := registry.ledger.Unit(target.ID)
	registration := target.Unit
	registration.Version, registration.Condition, registration.BootMS = target.version, disruption.ConditionUp, float64(target.bootMS)
	if ok && known.BootMS != registration.BootMS && registry.drainRevisions[target.ID] != 0 {
		delete(registry.drainRevisions, target.ID) // it registers anew
		registry.revision++
	}
	switch {
	case target.readyAtMS > c.nowMS || target.underMaintenance:
		registration.Condition = disruption.ConditionUnready
	case registry.drainRevisions[target.ID] != 0:
		registration.Condition = disruption.ConditionDraining
	}
	registry.revision++
	registry.ledger.Register(registry.revision, registration)
	known, _ = registry.ledger.Unit(target.ID)
	condition := registration.Condition
	if condition == disruption.ConditionUp && target.warmAtMS > c.nowMS {
		condition = disruption.ConditionWarmingUp
	}
	if condition != disruption.ConditionDraining && known.Condition != condition {
		registry.revision++
		registry.ledger.Apply(registry.revision, &disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: target.ID, Condition: condition}}})
		known, _ = registry.ledger.Unit(target.ID)
	}
	target.changing = target.readyAtMS > c.nowMS && target.readyAtMS != never || target.warmAtMS > c.nowMS && target.warmAtMS != never || known.Condition != condition
}
