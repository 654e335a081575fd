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

// Times of the model, in ms.
const (
	tickMS       = 500  // step of the virtual clock
	startupMS    = 800  // time from the start of a process to its readiness
	warmupMS     = 3000 // time from the readiness of a server until it is warm
	shutdownMS   = 700  // time from SIGTERM to the exit
	maxRequestMS = 3000 // longest request that a draining server may still have to answer
)

const (
	startupTicks       = 16 // the fleet starts in these ticks, before the simulation begins
	podGroupSize       = 10 // servers per group
	processGraceMS     = 10_000
	processMaxRestarts = 3
	clockErrorMS       = 200 // maximum error of an accurate clock
	clockUncertaintyMS = 250
)

// operatorName is the owner of the ledger operations that operators write.
const operatorName = "operator/ops"

// cluster is the simulated cluster: the units, the platform that runs them, the registry and the controllers.
type cluster struct {
	options Options
	seed    uint64
	random  *rand.Rand // for all draws of the simulation except those of traffic
	nowMS   int64      // true Unix ms
	startMS int64
	timers  []timer

	units         []*unit // servers first
	servers       []*unit
	sidecars      []*unit
	unitsByID     map[string]*unit // by the ledger's unit ID
	unitsByName   map[string]*unit
	serverTenants maintenance.Fleet

	registry          *registry
	processes         []*process
	reconcilePeriodMS int64 // of the release controllers
	scenario          *scenario
	traffic           *traffic // nil: requests are not modelled
	checker           *checker

	platform        *fake.Platform
	cachedList      *supervisor.List
	cachedListMS    int64
	powerOffUntilMS map[string]int64 // by zone: end of a power loss
	requestCount    int              // number of requests of the operator to the platform

	syncedRevision uint64 // newest revision of the placement or the registry that sidecars poll
	syncUntilMS    int64
	writeCount     int

	highestToken      uint64         // for Defects.IgnoreFencingTokens
	unavailableBefore map[string]int // for Defects.StaleReads: unavailable units one second ago, by budget
}

// timer runs a function at a time.
type timer struct {
	dueMS int64
	run   func()
}

// newCluster starts a fleet on the initial version and waits until it is in service.
func newCluster(seed uint64, options Options) *cluster {
	cluster := &cluster{
		options:           options,
		seed:              seed,
		random:            rand.New(rand.NewPCG(seed, 18)),
		nowMS:             options.StartMS,
		startMS:           options.StartMS,
		unitsByID:         map[string]*unit{},
		unitsByName:       map[string]*unit{},
		serverTenants:     maintenance.Fleet{},
		powerOffUntilMS:   map[string]int64{},
		unavailableBefore: map[string]int{},
		reconcilePeriodMS: 2 * tickMS,
	}
	cluster.checker = newChecker(cluster)
	cluster.registry = newRegistry(cluster)
	cluster.registry.leaderClock = cluster.accurateClock()
	cluster.platform = cluster.newPlatform()
	for _, budget := range options.budgets() {
		cluster.registry.commitLedgerOp(&disruption.Op{Kind: disruption.OpSetBudget, Owner: operatorName, Budget: &budget})
	}
	cluster.addServers()
	cluster.addSidecars()
	cluster.startFleet()
	for range startupTicks {
		cluster.tick()
	}
	cluster.checker.start()
	cluster.startMS = cluster.nowMS
	return cluster
}

// newPlatform returns a platform that knows all versions of servers and sidecars.
func (c *cluster) newPlatform() *fake.Platform {
	policy := core.ProcessPolicy{GraceMS: processGraceMS, MaxRestarts: processMaxRestarts}
	versions := map[core.Version]fake.Version{}
	for _, kind := range []supervisor.Kind{supervisor.Server, supervisor.Sidecar} {
		for _, name := range []string{initialVersion, goodVersion, crashingVersion, unreadyVersion} {
			versions[core.Version{Kind: kind, Name: name}] = fake.Version{ProcessPolicy: policy, Behave: c.processBehavior}
		}
	}
	return fake.New(fake.Options{Versions: versions}, c.nowMS)
}

// addServers adds the servers, spread evenly over the zones. Models alternate. A pod group serves one set of tenants.
func (c *cluster) addServers() {
	tenantSets := [][]string{{"portal"}, {"teller"}, {"portal", "teller"}, {"island"}}
	for index := range c.options.Servers {
		podGroup := index / podGroupSize
		server := &unit{name: fmt.Sprintf("s%04d", index)}
		server.Unit = disruption.Unit{
			Kind:     disruption.KindServer,
			Zone:     zones[index*len(zones)/c.options.Servers],
			Model:    fmt.Sprintf("m%d", index%modelCount),
			PodGroup: podGroup,
			Capacity: 1,
			Tenants:  tenantSets[podGroup%len(tenantSets)],
		}
		c.serverTenants[server.name] = server.Tenants
		c.servers = append(c.servers, server)
		c.addUnit(server)
	}
}

// addSidecars adds the sidecars, spread evenly over the zones.
func (c *cluster) addSidecars() {
	for index := range c.options.Sidecars {
		added := &unit{name: fmt.Sprintf("c%04d", index)}
		added.sidecar = &sidecarState{
			wallClock:   c.accurateClock(),
			pollDelayMS: c.random.Int64N(900),
			exclusions:  map[string]*exclusion{},
		}
		added.Unit = disruption.Unit{
			Kind:     disruption.KindSidecar,
			Zone:     zones[index*len(zones)/c.options.Sidecars],
			Capacity: 1,
		}
		c.sidecars = append(c.sidecars, added)
		c.addUnit(added)
	}
}

func (c *cluster) addUnit(added *unit) {
	added.ID = disruption.UnitID(added.Kind, added.name)
	c.units = append(c.units, added)
	c.unitsByID[added.ID], c.unitsByName[added.name] = added, added
}

// startFleet has the platform start every unit on the initial version.
func (c *cluster) startFleet() {
	list := c.platformList()
	for _, member := range c.units {
		member.version = initialVersion
		if _, err := c.platform.Do(context.Background(), startRequest("first-"+member.name, member, list.Epoch, 0)); err != nil {
			panic(err) // no fault has been injected yet
		}
	}
}

// startRequest returns a request to the platform to start a unit on its current version. The new process replaces the
// given incarnation; 0 means that there is none.
func startRequest(id string, target *unit, epoch, incarnation uint64) supervisor.Request {
	const configuration = "c1"
	return supervisor.Request{
		ID:          id,
		Op:          supervisor.Start,
		Epoch:       epoch,
		Unit:        target.name,
		Incarnation: incarnation,
		Kind:        supervisor.Kind(target.Kind),
		Version:     target.version,
		ConfigName:  configuration,
		ConfigText:  configuration,
		Listen:      "127.0.0.1:7000",
		Zone:        target.Zone,
	}
}

// accurateClock draws a wall clock whose error is within its reported uncertainty.
func (c *cluster) accurateClock() wallClock {
	return wallClock{offsetMS: c.random.Int64N(2*clockErrorMS) - clockErrorMS, uncertaintyMS: clockUncertaintyMS}
}

// schedule runs a function after a delay, at the next tick at the earliest.
func (c *cluster) schedule(delayMS int64, run func()) {
	c.timers = append(c.timers, timer{c.nowMS + max(delayMS, 1), run})
}

// platformList returns the platform's list of units, requested at most once a tick; nil if the platform does not respond.
func (c *cluster) platformList() *supervisor.List {
	if c.cachedListMS == c.nowMS {
		return c.cachedList
	}
	list, err := c.platform.List(context.Background())
	if err != nil {
		list = nil
	}
	c.cachedList, c.cachedListMS = list, c.nowMS
	return list
}

// processBehavior determines the behavior of a process that the platform starts.
func (c *cluster) processBehavior(started supervisor.Unit) fake.Behavior {
	target := c.unitsByName[started.Name]
	c.checker.observeLaunch(target, started.Version, started.Incarnation)
	target.version, target.bootMS, target.registrationPending = started.Version, c.nowMS, true
	target.readyAtMS = c.nowMS + startupMS
	behavior := fake.Behavior{ReadyAfterMS: startupMS, StopAfterMS: shutdownMS}
	if powerOnMS := c.powerOffUntilMS[target.Zone]; powerOnMS > c.nowMS {
		behavior.ReadyAfterMS += powerOnMS - c.nowMS
		target.readyAtMS = powerOnMS + startupMS
	}
	switch started.Version {
	case crashingVersion:
		target.readyAtMS = never
		behavior.ReadyAfterMS, behavior.ExitAfterMS, behavior.ExitText = -1, 100, "exit status 1"
	case unreadyVersion:
		target.readyAtMS = never // passes the platform's readiness check, but never the registry's
	}
	target.warmAtMS = target.readyAtMS
	if target.Kind == disruption.KindServer && target.readyAtMS != never {
		target.warmAtMS += warmupMS
	}
	if sidecar := target.sidecar; sidecar != nil { // a new process has no placement and no endpoint list
		c.endAllExclusions(target)
		sidecar.placementRevision, sidecar.placementEpoch, sidecar.endpointRevision = 0, 0, 0
	}
	return behavior
}

// inService reports whether a unit serves requests, judged by its actual state.
func (c *cluster) inService(target *unit) bool {
	return target.ready(c.nowMS) &&
		target.warmAtMS <= c.nowMS &&
		target.unreachableUntilMS <= c.nowMS &&
		!target.underMaintenance &&
		c.registry.drainRevisions[target.ID] == 0
}

// tick advances the simulation by tickMS.
func (c *cluster) tick() {
	c.nowMS += tickMS
	c.platform.Advance(c.nowMS)
	c.runDueTimers()
	missing := c.observeProcesses()
	for _, member := range c.units {
		if member.registrationPending {
			c.updateRegistration(member, missing[member.Kind])
		}
		if member.registrationPending || !member.observed.inService {
			c.checker.observe(member)
		}
	}
	c.registry.expireLeases()
	for _, process := range c.processes {
		process.tick()
	}
	c.syncSidecars()
	c.registry.indexPermits()
	c.checker.checkGrants()
}

// runDueTimers runs all due timers, including those that a due timer adds.
func (c *cluster) runDueTimers() {
	for index := 0; index < len(c.timers); index++ {
		due := c.timers[index]
		if due.run != nil && due.dueMS <= c.nowMS {
			c.timers[index].run = nil
			due.run()
		}
	}
	c.timers = slices.DeleteFunc(c.timers, func(t timer) bool { return t.run == nil })
}

// observeProcesses updates which units have a process, and counts the units without heartbeats by kind.
func (c *cluster) observeProcesses() map[disruption.Kind]int {
	missing := map[disruption.Kind]int{}
	for _, member := range c.units {
		alive := c.platform.LiveProcesses(member.name) > 0
		if alive != member.alive {
			member.alive, member.registrationPending = alive, true
			if !alive && member.sidecar != nil {
				c.endAllExclusions(member)
			}
		}
		if member.missingSinceMS != 0 {
			missing[member.Kind]++
		}
	}
	return missing
}
