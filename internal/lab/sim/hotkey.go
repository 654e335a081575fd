package sim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"milldeck/balance"
	"milldeck/internal/hotkey"
	"milldeck/internal/hotkey/topk"
	"milldeck/internal/lab"
	"milldeck/internal/placement"
)

const (
	epochSeconds         = 1e9  // Unix time at which the virtual clock starts
	sketchKeys           = 64   // keys that a sidecar counts at a time, as in a real sidecar
	refreshIntervalMS    = 1000 // interval between two updates of the controller's view of the servers
	congestionIntervalMS = 100  // interval between two counts of congested servers
	falseReportKeys      = 8    // number of keys in a false load report, each with the sidecar's total load
)

// hotKeySimulation simulates the communication between the sidecars and the hot-key controller: load reports, the placement
// and their delays. hotkey.Planner makes the decisions.
type hotKeySimulation struct {
	engine  *simEngine
	spec    *lab.HotKeySpec
	config  hotkey.Config
	checker *lab.HotKeyChecker
	rng     *rand.Rand // separate stream, so that no other draw depends on reports and placements
	hotKeys map[uint64]bool

	planner      *hotkey.Planner // nil: the controller is down
	writePending bool            // a write of planned changes is in progress
	revision     uint64
	directives   map[string]placement.Directive // by ID
	placement    balance.Placement              // all directives, in the form that sidecars get
	keyLoads     []sidecarKeyLoad               // by sidecar

	lossShares     []float64 // share of load reports that each active fault drops
	falseReporters map[int]bool
}

// sidecarKeyLoad is the hot-key state that a sidecar keeps outside the decision module.
type sidecarKeyLoad struct {
	sketch        *topk.Sketch
	revision      uint64 // revision of the sidecar's current placement
	updatePending bool   // a placement is in transit to the sidecar
}

func newHotKeySimulation(engine *simEngine) (*hotKeySimulation, error) {
	plan := engine.plan
	c := &hotKeySimulation{
		engine: engine, spec: plan.Experiment.HotKeys, checker: lab.NewHotKeyChecker(plan, engine.checker),
		rng: rand.New(rand.NewPCG(plan.Seed, streamHotKeys)), hotKeys: plan.HotKeys(),
		directives: map[string]placement.Directive{}, keyLoads: make([]sidecarKeyLoad, len(plan.Sidecars)),
		falseReporters: map[int]bool{},
	}
	c.config = c.controllerConfig()
	if c.spec.Oracle {
		for _, server := range engine.servers {
			server.model.AlwaysCached = c.hotKeys
		}
	}
	return c, c.config.Validate()
}

// controllerConfig returns the controller's configuration.
func (c *hotKeySimulation) controllerConfig() hotkey.Config {
	plan := c.engine.plan
	serverCapacity, requestWork := c.spec.ServerCapacity, c.spec.RequestWorkMS
	if serverCapacity == 0 {
		serverCapacity = plan.MeanServerCapacity()
	}
	if requestWork == 0 {
		requestWork = plan.MeanWork()
	}
	config := hotkey.DefaultConfig(serverCapacity, requestWork)
	if c.spec.WarmupBudget > 0 {
		config.WarmupBudget = c.spec.WarmupBudget
	}
	if c.spec.CopiesPerServer > 0 {
		config.ReplicasPerServer = c.spec.CopiesPerServer
	}
	if c.spec.MaxKeys > 0 {
		config.MaxKeys = c.spec.MaxKeys
	}
	return config
}

// start starts the periodic measurements and, if HotKeySpec.Enabled is set, the controller and the load reports.
func (c *hotKeySimulation) start() {
	c.repeat(congestionIntervalMS, congestionIntervalMS, func(float64) { c.countCongested() })
	c.repeat(0, refreshIntervalMS, c.refreshServers)
	if !c.spec.Enabled {
		return
	}
	c.startPlanner(0)
	for index := range c.keyLoads {
		first := c.rng.Float64() * c.spec.ReportIntervalMS
		c.repeat(first, c.spec.ReportIntervalMS, func(now float64) { c.sendReport(now, index) })
	}
	c.repeat(c.spec.PlanIntervalMS, c.spec.PlanIntervalMS, c.plan)
}

// repeat schedules a function for a time, and again after each interval.
func (c *hotKeySimulation) repeat(first, every float64, run func(now float64)) {
	c.engine.schedule(first, func(now float64) {
		run(now)
		c.repeat(first+every, every, run)
	})
}

func (c *hotKeySimulation) drawDelay(r lab.Range) float64 {
	return r.Min + (r.Max-r.Min)*c.rng.Float64()
}

// unixSeconds returns a time of the run as Unix time.
func unixSeconds(now float64) float64 { return epochSeconds + now/1000 }

// countCongested records how many servers are congested.
func (c *hotKeySimulation) countCongested() {
	count := 0
	for _, server := range c.engine.servers {
		if server.up && server.model.Congested(c.engine.now) {
			count++
		}
	}
	c.checker.RecordCongestion(count, congestionIntervalMS)
}

// startPlanner starts the controller, which restores its state from the placement.
func (c *hotKeySimulation) startPlanner(now float64) {
	planner, err := hotkey.NewPlanner(c.config)
	if err != nil {
		panic(err) // the configuration was validated
	}
	c.planner = planner
	c.refreshServers(now)
	planner.SetExpectedSidecars(len(c.keyLoads))
	var directives []placement.Directive
	for _, id := range slices.Sorted(maps.Keys(c.directives)) {
		directives = append(directives, c.directives[id])
	}
	planner.Restore(unixSeconds(now), directives)
}

// refreshServers updates the controller's view of the servers, and removes expired directives.
func (c *hotKeySimulation) refreshServers(now float64) {
	servers, ready := c.listServers(now)
	c.checker.RecordReadyServers(ready)
	if c.planner != nil {
		c.planner.SetServers(servers)
	}
	for _, id := range slices.Sorted(maps.Keys(c.directives)) {
		directive := c.directives[id]
		if float64(directive.ExpiresAtMS) <= 1000*unixSeconds(now) {
			delete(c.directives, id)
			c.checker.PlacementChanged(now, directiveKey(&directive), nil)
		}
	}
}

// listServers returns the servers in the planner's form, and how many are listed as ready.
func (c *hotKeySimulation) listServers(now float64) (servers []hotkey.Server, ready int) {
	slowStartMS := 0.0
	for i := range c.engine.plan.Experiment.Servers {
		slowStartMS = max(slowStartMS, 1000*c.engine.plan.Experiment.Servers[i].SlowStartS.Max)
	}
	for _, server := range c.engine.servers {
		if server.plan.StartMS > now {
			continue
		}
		if server.listed {
			ready++
		}
		servers = append(servers, hotkey.Server{
			UID: server.plan.UID, Zone: strconv.Itoa(server.plan.Zone), PodGroup: server.plan.Cell, Capacity: 1,
			BootMS: epochSeconds*1000 + server.startedAt, Ready: server.listed,
			WarmingUp: server.startedAt > 0 && now < server.startedAt+slowStartMS,
		})
	}
	return servers, ready
}

// requestReceived counts the load of a request's key. With the oracle it removes a hot key from the request, so that the
// request may go to any server.
func (c *hotKeySimulation) requestReceived(now float64, sidecar *simSidecar, request *balance.Request) {
	if c.spec.Oracle && c.hotKeys[request.Key] {
		request.Key = 0
	}
	if request.Key != 0 && c.spec.Enabled {
		c.keyLoads[sidecar.index].sketch.Add(now/1000, request.Key, request.ExpectedWork)
	}
}

// sendReport sends the load report of a sidecar. A sidecar that is down or frozen sends none.
func (c *hotKeySimulation) sendReport(now float64, index int) {
	sidecar, keyLoad := c.engine.sidecars[index], &c.keyLoads[index]
	if !sidecar.up || sidecar.frozen {
		return
	}
	report := c.loadReport(now, sidecar, keyLoad)
	for _, share := range c.lossShares {
		if c.rng.Float64() < share {
			return
		}
	}
	c.engine.schedule(now+c.drawDelay(c.spec.ReportDelayMS), func(now float64) {
		if c.planner != nil {
			c.planner.AddReport(unixSeconds(now), report)
		}
	})
}

// loadReport returns the load report of a sidecar, or a false one if a fault requires it.
func (c *hotKeySimulation) loadReport(now float64, sidecar *simSidecar, keyLoad *sidecarKeyLoad) *placement.LoadReport {
	top := keyLoad.sketch.Top(now/1000, placement.MaxHotKeys)
	report := &placement.LoadReport{
		Sidecar: sidecar.plan.Name, PlacementRevision: keyLoad.revision, IntervalMS: c.spec.ReportIntervalMS,
		TotalKeyLoad: top.Total,
	}
	if c.falseReporters[sidecar.index] {
		for key := range falseReportKeys {
			report.HotKeys = append(report.HotKeys, placement.KeyLoad{KeyHash: hotkey.FormatKey(uint64(key + 1)), Load: top.Total})
		}
		report.TotalKeyLoad = falseReportKeys * top.Total
		return report
	}
	for _, key := range top.Keys {
		report.HotKeys = append(report.HotKeys, placement.KeyLoad{
			KeyHash: hotkey.FormatKey(key.Key), Load: key.Load, ErrorBound: key.Error,
		})
	}
	return report
}

// plan runs the planner, and writes the planned changes after a delay. It does not plan again before that write.
func (c *hotKeySimulation) plan(now float64) {
	if c.planner == nil || c.writePending {
		return
	}
	changes := c.planner.Plan(unixSeconds(now))
	if len(changes) == 0 {
		return
	}
	c.writePending = true
	planner := c.planner
	c.engine.schedule(now+c.drawDelay(c.spec.WriteDelayMS), func(now float64) {
		c.writePending = false
		c.applyChanges(now, planner, changes)
	})
}

// setFault begins or ends a fault of the controller or its load reports.
func (c *hotKeySimulation) setFault(now float64, fault *lab.Fault, active bool) {
	switch fault.Kind {
	case lab.FaultHotKeyControllerDown:
		c.planner = nil
		if !active {
			c.startPlanner(now)
		}
	case lab.FaultLoadReportLoss:
		if active {
			c.lossShares = append(c.lossShares, fault.Probability)
		} else if i := slices.Index(c.lossShares, fault.Probability); i >= 0 {
			c.lossShares = slices.Delete(c.lossShares, i, i+1)
		}
	case lab.FaultFalseLoadReports:
		for _, index := range fault.Sidecars {
			c.falseReporters[index] = active
		}
	}
}
