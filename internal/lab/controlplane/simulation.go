// Package night plays the control plane of a fleet through a bad night on a virtual clock: the same pure cores that run
// in processes (ledger, duties, releases, windows, placement, spreader, platform), over a world of units without
// requests. Releases, a window, an operator's drain and a hot key come at once, while a zone is lost, leader and
// controllers are killed, frozen and cut off, clocks are wrong and the platform fails; all of it is drawn from a seed.
// A judge that sees the world alone says which rules were broken.
//
// It has no sockets, no goroutines and no clock of its own: the same options and seed give the same result.
package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor/core"
)

// Options say how large the fleet is, and what is planted.
type Options struct {
	Sidecars, Servers int // 8 or more; a fleet-night has 1,000 and 2,000
	Defects           Defects

	// Of single tests; a night draws what is zero.
	StartMS                 int64 // Unix ms
	SlowReturn              bool  // a window's servers come back half an hour late
	NoFaults                bool  // no faults are drawn
	StopAtFirstViolation    bool  // it ends with the first rule that is broken
	ControllerClockOffsetMS int64 // ms that the first window controller's clock is off
	HoursOpenIn             time.Duration
	HoursCloseIn            time.Duration // from the start to the close of all hours
}

// Defects are planted faults of the control plane, which the judge has to find.
type Defects struct {
	StaleReads                   bool // grants are decided on what was true a second ago
	CompletePermitsOnLeaseExpiry bool // a permit ends with its owner's lease
	UseControllerClock           bool // hours are looked up by the controller's clock, not where the log is applied
	IgnoreFencingTokens          bool // tokens are not looked at
	ExcludePastClose             bool // sidecars are told an end past the close
	DelayReleaseWrites           bool // a step is written after it is done
}

// Result is how a night went.
type Result struct {
	Seed                        uint64            `json:"seed"`
	SimulatedSeconds            float64           `json:"seconds"` // of the world
	Violations                  int               `json:"broken_rules"`
	ViolationsByRule            map[string]int    `json:"rule_counts"`
	FirstViolations             []Violation       `json:"first,omitempty"`
	Faults                      []string          `json:"faults"`
	Releases                    map[string]string `json:"Releases"`
	Windows                     map[string]string `json:"Windows"`
	FeasibleWindows             int               `json:"windows_that_fit"`
	CompletedWindows            int               `json:"windows_done"`
	ExcludedSeconds             float64           `json:"kept_off_s"`
	ExcludedOutsideHoursSeconds float64           `json:"kept_off_outside_s"`
	Writes                      int               `json:"writes"`
}

var zones = []string{"a", "b", "c", "d"}

// tenants with the zones of their clocks.
var tenants = []struct{ name, zone string }{{"portal", "America/Montevideo"}, {"teller", "Europe/Madrid"}, {"island", "Australia/Lord_Howe"}}

// startDates are days on which clocks are put forward or back somewhere, months end, or nothing is.
var startDates = []string{"2026-03-28", "2026-10-24", "2026-04-04", "2026-09-30", "2026-02-27", "2026-06-10"}

// scenario is what a night holds.
type scenario struct {
	hotKeyHash                  uint64
	hotKeyFromMS, hotKeyUntilMS int64
	serverVersion               string // version of the release of servers
	faultsEndMS                 int64  // from when on no fault is left
	windowFits                  bool
	proposal                    *maintenance.Operation
	proposed                    bool
	faults                      []string
}

const (
	serverReleaseName  = "servers"
	sidecarReleaseName = "sidecars"
	drainName          = "drain"
	windowName         = "w"
	maxSimulationMS    = 5400_000 // of a night: far more than any takes that comes to rest
)

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

// Run plays the night of a seed.
func Run(seed uint64, options Options) *Result {
	if options.StartMS == 0 {
		date, err := time.Parse(time.DateOnly, startDates[seed%uint64(len(startDates))])
		if err != nil {
			panic(err)
		}
		options.StartMS = date.UnixMilli() + int64(rand.New(rand.NewPCG(seed, 3)).IntN(86400))*1000
	}
	cluster := newCluster(seed, options)
	plan := &scenario{hotKeyHash: cluster.random.Uint64()}
	cluster.scenario = plan
	cluster.setContracts()
	if !cluster.startOperations() {
		return cluster.result()
	}
	if !options.NoFaults {
		cluster.scheduleFaults()
	}
	for cluster.nowMS-cluster.startMS < maxSimulationMS {
		cluster.tick()
		if options.StopAtFirstViolation && len(cluster.checker.violations) > 0 {
			return cluster.result()
		}
		if cluster.nowMS%1000 == 0 && cluster.options.Defects.StaleReads {
			cluster.recordUnavailable()
		}
		if cluster.nowMS%5000 == 0 {
			cluster.runOperator()
			if cluster.settled() {
				break
			}
		}
	}
	cluster.checker.checkEnd()
	return cluster.result()
}

func (c *cluster) result() *Result {
	checker := c.checker
	result := &Result{Seed: c.seed, SimulatedSeconds: float64(c.nowMS-c.startMS) / 1000, ViolationsByRule: checker.violationsByRule, FirstViolations: checker.violations, Faults: c.scenario.faults,
		Releases: map[string]string{}, Windows: map[string]string{}, ExcludedSeconds: float64(checker.excludedMS) / 1000, ExcludedOutsideHoursSeconds: float64(checker.outsideHoursMS) / 1000, Writes: c.writeCount}
	for _, rule := range RuleNames {
		result.Violations += checker.violationsByRule[rule]
	}
	for _, name := range c.registry.releases.Names() {
		state, _ := c.registry.releases.Get(name)
		result.Releases[name] = string(state.Status.Phase)
	}
	for _, window := range c.registry.windows.Windows() {
		result.Windows[window.Name] = string(window.Stage)
		if c.scenario.windowFits {
			result.FeasibleWindows++
			if window.Stage == maintenance.StageDone {
				result.CompletedWindows++
			}
		}
	}
	return result
}

// setContracts agrees on hours that the night lies in: where they close so soon that the window cannot be, it has to wait.
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
	c.scenario.windowFits = closes >= 100*time.Minute && opened > 0
	for _, tenant := range tenants {
		location, err := time.LoadLocation(tenant.zone)
		if err != nil {
			panic(err) // the program carries its zones
		}
		opens := time.UnixMilli(c.nowMS).Add(-opened).In(location).Truncate(time.Minute)
		c.setContract(tenant.name, tenant.zone, opens, (opened + closes).Truncate(time.Minute))
	}
}

// startOperations has all that is asked for in the night begin.
func (c *cluster) startOperations() bool {
	scenario := c.scenario
	scenario.serverVersion = goodVersion
	if !c.options.NoFaults {
		switch c.random.IntN(8) {
		case 0:
			scenario.serverVersion = crashingVersion
		case 1:
			scenario.serverVersion = unreadyVersion
		}
	}
	start := func(name, planText string) bool {
		drainPlan, err := plan.Parse(name+".toml", []byte(planText))
		if err != nil {
			panic(err)
		}
		drain, err := release.New(drainPlan, c.nowMS, c.registry.ledger.Units(), c.registry.ledger.Budgets(), c.platformList())
		if err == nil {
			err = c.startRelease(drain)
		}
		if err != nil {
			c.checker.report(ruleStranded, err.Error())
		}
		return err == nil
	}
	ok := start(serverReleaseName, fmt.Sprintf(serverPlan, scenario.serverVersion, max(c.options.Servers/40, 3))) &&
		start(sidecarReleaseName, fmt.Sprintf(sidecarPlan, max(c.options.Sidecars/25, 2)))
	// The drain's servers are of the third model, whose release is none; each of another pod group.
	var drained []string
	for index := 2; len(drained) < 4 && index < len(c.servers); index += max(len(c.servers)/16, 1) {
		member := c.servers[index-index%4+2]
		if !slices.Contains(drained, member.ID) {
			drained = append(drained, member.ID)
			member.decommissioned = true
		}
	}
	drainPlan := release.DrainPlan(drainName, disruption.Selector{Kind: disruption.KindServer, IDs: drained}, 20000)
	drain, err := release.NewDrain(drainPlan, c.nowMS, c.registry.ledger.Units(), c.platformList())
	if err == nil {
		err = c.startRelease(drain)
	}
	if err != nil {
		c.checker.report(ruleStranded, err.Error())
		return false
	}
	for replica := range 2 {
		for _, name := range []string{serverReleaseName, sidecarReleaseName, drainName} {
			c.newReleaseController(name, replica)
		}
		clock := c.accurateClock()
		if replica == 0 {
			clock.offsetMS += c.options.ControllerClockOffsetMS
		}
		c.newMaintenanceController(replica, clock)
		c.newHotKeyController(replica)
	}
	// The window's servers are of the fourth model, of several tenants.
	var serverUIDs []string
	offset := c.random.IntN(len(c.servers))
	for replica := range 3 {
		index := (offset + replica*len(c.servers)/3) % len(c.servers)
		serverUIDs = append(serverUIDs, c.servers[min(index-index%4+3, len(c.servers)-1)].name)
	}
	c.schedule(1000*c.random.Int64N(60), func() { c.proposeWindow(serverUIDs) })
	scenario.hotKeyFromMS = c.nowMS + 20_000 + 1000*c.random.Int64N(60)
	scenario.hotKeyUntilMS = scenario.hotKeyFromMS + 30_000 + 1000*c.random.Int64N(30)
	return ok
}

// proposeWindow asks for the window until it is known to be asked for.
func (c *cluster) proposeWindow(serverUIDs []string) {
	op := &maintenance.Operation{Kind: maintenance.OpPropose, Window: windowName, Operator: "ops", ServerUIDs: serverUIDs, WorkMS: 60_000 + 1000*c.random.Int64N(60)}
	var attempt func()
	attempt = func() {
		if c.applyAsOperator(op) != string(maintenance.OutcomeApplied) {
			c.schedule(10_000, attempt)
			return
		}
		c.scenario.proposed = true
	}
	c.scenario.proposal = op
	attempt()
}

func (c *cluster) startRelease(state *release.State) error {
	c.registry.revision++
	return c.registry.releases.Apply(c.registry.revision, &release.Operation{Start: state})
}

// settled tells whether the night is over: nothing moves and nothing is left to come.
func (c *cluster) settled() bool {
	if c.nowMS < c.scenario.faultsEndMS+30_000 || !c.registry.hasLeader() || c.hotKeyPlaced() {
		return false
	}
	for _, name := range c.registry.releases.Names() {
		state, commands := c.registry.releases.Get(name)
		if !state.Status.Phase.Finished() || state.Status.HandledCommands != len(commands) {
			return false
		}
	}
	windows := c.registry.windows.Windows()
	if len(windows) == 0 {
		return false
	}
	for _, window := range windows {
		later := window.Stage == maintenance.StageApproved && window.PlannedStartMS > c.nowMS+3600_000
		if !window.Finished() && !later {
			return false
		}
	}
	for _, member := range c.units {
		if !member.observed.inService && !member.decommissioned {
			return false
		}
	}
	return true
}

// scheduleFault notes and sets one fault.
func (c *cluster) scheduleFault(atMS int64, description string, inject func()) {
	c.scenario.faults = append(c.scenario.faults, fmt.Sprintf("%4.0f s %s", float64(atMS)/1000, description))
	c.schedule(atMS, inject)
	c.scenario.faultsEndMS = max(c.scenario.faultsEndMS, c.nowMS+atMS)
}

func (c *cluster) platformFault(fault core.Fault) func() {
	return func() { _ = c.platform.SetFault(fault) } // a full row of faults takes no more
}
