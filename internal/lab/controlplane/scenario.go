package controlplane

import (
	"fmt"
	"slices"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
)

// zones are the availability zones of the cluster.
var zones = []string{"a", "b", "c", "d"}

// tenants are the tenants, each with the time zone of its approved hours.
var tenants = []struct{ name, timeZone string }{
	{"portal", "America/Montevideo"},
	{"teller", "Europe/Madrid"},
	{"island", "Australia/Lord_Howe"},
}

// Names of the operations of a scenario.
const (
	serverReleaseName  = "servers"
	sidecarReleaseName = "sidecars"
	drainName          = "drain"
	windowName         = "w"
)

// Server and sidecar versions that the platform knows.
const (
	initialVersion  = "1"
	goodVersion     = "2"
	crashingVersion = "3" // exits at startup
	unreadyVersion  = "4" // runs and never becomes ready
)

const (
	modelCount        = 4 // number of server models, which alternate over the fleet
	drainedModel      = 2 // model of the drained servers; the server release selects another
	maintainedModel   = 3 // model of the servers of the maintenance window
	drainedServers    = 4
	drainDeadlineS    = 20000
	controllerCount   = 2 // candidates for each lease
	windowServers     = 3
	feasibleHours     = 100 * time.Minute // the maintenance window fits into approved hours of this length
	proposalBackoffMS = 10_000
)

// serverPlan is the plan of the server release; %s is the version, %d the largest number of unavailable servers.
const serverPlan = `name = "servers"
on_halt = "back"
deadline_s = 20000
[what]
server = "%s"
[select]
model = "m1"
[[wave]]
share = 0.05
bake_s = 20
[[wave]]
share = 0.4
bake_s = 10
[[wave]]
bake_s = 5
[limits]
max_out = { count = %d }
`

// sidecarPlan is the plan of the sidecar release; %d is the largest number of unavailable sidecars.
const sidecarPlan = `name = "sidecars"
on_halt = "hold"
deadline_s = 20000
[what]
sidecar = "2"
[[wave]]
share = 0.02
bake_s = 10
[[wave]]
bake_s = 5
[limits]
max_out = { count = %d }
`

// scenario describes the operations that a simulation starts and the faults that it injects.
type scenario struct {
	hotKeyHash                  uint64
	hotKeyFromMS, hotKeyUntilMS int64
	faultsEndMS                 int64 // when the last fault ends
	windowFits                  bool  // the approved hours are long enough for the maintenance window
	proposal                    *maintenance.Operation
	proposed                    bool // the proposal is known to have been accepted
	faults                      []string
}

// setContracts sets the tenants' contracts. The approved hours are open from the start, or from HoursOpenIn. In a quarter
// of the simulations they close too soon for the maintenance window, which then has to wait.
func (c *cluster) setContracts() {
	closes := time.Duration(100+c.random.IntN(200)) * time.Minute
	if c.random.IntN(4) == 0 {
		closes = time.Duration(5+c.random.IntN(35)) * time.Minute
	}
	opened := time.Duration(10+c.random.IntN(90)) * time.Minute
	if c.options.HoursCloseIn != 0 {
		closes = c.options.HoursCloseIn
	}
	if c.options.HoursOpenIn != 0 {
		opened = -c.options.HoursOpenIn
	}
	c.scenario.windowFits = closes >= feasibleHours && opened > 0
	for _, tenant := range tenants {
		location, err := time.LoadLocation(tenant.timeZone)
		if err != nil {
			panic(err) // the time zone database is part of the binary
		}
		opens := time.UnixMilli(c.nowMS).Add(-opened).In(location).Truncate(time.Minute)
		c.setContract(tenant.name, tenant.timeZone, opens, (opened + closes).Truncate(time.Minute))
	}
}

// startOperations starts the releases, the drain and the controllers, and plans the maintenance window and the hot key.
// It reports whether every operation was accepted.
func (c *cluster) startOperations() bool {
	serverVersion := c.drawServerVersion()
	serverPlanText := fmt.Sprintf(serverPlan, serverVersion, max(c.options.Servers/40, 3))
	sidecarPlanText := fmt.Sprintf(sidecarPlan, max(c.options.Sidecars/25, 2))
	started := c.startPlannedRelease(serverReleaseName, serverPlanText) && c.startPlannedRelease(sidecarReleaseName, sidecarPlanText)
	if !c.startDrain() {
		return false
	}
	c.startControllers()
	c.planWindow()
	c.planHotKey()
	return started
}

// drawServerVersion draws the version of the server release: in one of eight releases it crashes, in one of eight it never
// becomes ready.
func (c *cluster) drawServerVersion() string {
	if c.options.NoFaults {
		return goodVersion
	}
	switch c.random.IntN(8) {
	case 0:
		return crashingVersion
	case 1:
		return unreadyVersion
	default:
		return goodVersion
	}
}

// startPlannedRelease starts the release of a plan, and reports whether it was accepted.
func (c *cluster) startPlannedRelease(name, planText string) bool {
	parsed, err := plan.Parse(name+".toml", []byte(planText))
	if err != nil {
		panic(err) // the plans are constants
	}
	state, err := release.New(parsed, c.nowMS, c.registry.ledger.Units(), c.registry.ledger.Budgets(), c.platformList())
	return c.startRelease(state, err)
}

// startDrain starts an operator's drain of servers that no release selects, each in a different pod group.
func (c *cluster) startDrain() bool {
	var drained []string
	for index := drainedModel; len(drained) < drainedServers && index < len(c.servers); index += max(len(c.servers)/16, 1) {
		server := c.servers[index-index%modelCount+drainedModel]
		if !slices.Contains(drained, server.ID) {
			drained = append(drained, server.ID)
			server.decommissioned = true
		}
	}
	drainPlan := release.DrainPlan(drainName, disruption.Selector{Kind: disruption.KindServer, IDs: drained}, drainDeadlineS)
	state, err := release.NewDrain(drainPlan, c.nowMS, c.registry.ledger.Units(), c.platformList())
	return c.startRelease(state, err)
}

// startRelease writes the start of a release or drain, unless err says that creating it has failed. A rejection is a
// violation, because no fault has been injected yet that could justify it.
func (c *cluster) startRelease(state *release.State, err error) bool {
	if err == nil {
		err = c.registry.commitReleaseOp(&release.Operation{Start: state})
	}
	if err != nil {
		c.checker.report(ruleStranded, err.Error())
	}
	return err == nil
}

// startControllers adds the candidates for every lease.
func (c *cluster) startControllers() {
	for replica := range controllerCount {
		for _, name := range []string{serverReleaseName, sidecarReleaseName, drainName} {
			c.addReleaseController(name, replica)
		}
		clock := c.accurateClock()
		if replica == 0 {
			clock.offsetMS += c.options.ControllerClockOffsetMS
		}
		c.addMaintenanceController(replica, clock)
		c.addHotKeyController(replica)
	}
}

// planWindow schedules the proposal of a maintenance window on servers of several tenants.
func (c *cluster) planWindow() {
	var serverUIDs []string
	offset := c.random.IntN(len(c.servers))
	for position := range windowServers {
		index := (offset + position*len(c.servers)/windowServers) % len(c.servers)
		index = min(index-index%modelCount+maintainedModel, len(c.servers)-1)
		serverUIDs = append(serverUIDs, c.servers[index].name)
	}
	c.schedule(1000*c.random.Int64N(60), func() { c.proposeWindow(serverUIDs) })
}

// planHotKey draws the period in which the hot key is hot.
func (c *cluster) planHotKey() {
	c.scenario.hotKeyFromMS = c.nowMS + 20_000 + 1000*c.random.Int64N(60)
	c.scenario.hotKeyUntilMS = c.scenario.hotKeyFromMS + 30_000 + 1000*c.random.Int64N(30)
}

// proposeWindow proposes the maintenance window, and retries until the proposal is known to be accepted.
func (c *cluster) proposeWindow(serverUIDs []string) {
	op := &maintenance.Operation{
		Kind:       maintenance.OpPropose,
		Window:     windowName,
		Operator:   "ops",
		ServerUIDs: serverUIDs,
		WorkMS:     60_000 + 1000*c.random.Int64N(60),
	}
	c.scenario.proposal = op
	var attempt func()
	attempt = func() {
		if c.applyAsOperator(op) != string(maintenance.OutcomeApplied) {
			c.schedule(proposalBackoffMS, attempt)
			return
		}
		c.scenario.proposed = true
	}
	attempt()
}

// hotKeyActive reports whether the hot key is hot now.
func (c *cluster) hotKeyActive() bool {
	return c.scenario != nil && c.nowMS >= c.scenario.hotKeyFromMS && c.nowMS < c.scenario.hotKeyUntilMS
}

// hotKeyPlaced reports whether the hot key may have replicas now.
func (c *cluster) hotKeyPlaced() bool {
	return c.scenario != nil && c.nowMS >= c.scenario.hotKeyFromMS-3000 && c.nowMS < c.scenario.hotKeyUntilMS+60_000
}
