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
	epochSeconds         = 1e9  // s of Unix time at which the virtual clock starts, for what counts by it
	sketchKeys           = 64   // that a sidecar counts at a time, as the real one does
	refreshIntervalMS    = 1000 // between two looks of who decides at the list
	congestionIntervalMS = 100  // between two counts of choked servers
	falseKeys            = 8    // keys that a lying sidecar reports, each with as much as it met of all
)

// hotKeyController is what stands between sidecars and the decider of spread keys: reports, the placement and its ways.
type hotKeyController struct {
	engine  *engine
	spec    *lab.HotKeySpec
	config  hotkey.Config
	checker *lab.HotKeyChecker
	rng     *rand.Rand // of reports and placement: it moves no other chance
	hotKeys map[uint64]bool

	planner   *hotkey.Planner // nil: nobody decides
	writing   bool
	revision  uint64
	entries   map[string]placement.Directive
	placement balance.Placement // all entries, as sidecars get them
	sketches  []hotKeySketch    // by sidecar

	lossShares     []float64 // parts of the reports that are lost now
	falseReporters map[int]bool
}

// hotKeySketch is what the sidecar's program keeps beside the module.
type hotKeySketch struct {
	sketch        *topk.Sketch
	revision      uint64
	updatePending bool // the placement is on its way
}

func newHotKeyController(engine *engine) (*hotKeyController, error) {
	plan := engine.plan
	c := &hotKeyController{
		engine: engine, spec: plan.Experiment.HotKeys, checker: lab.NewHotKeyChecker(plan, engine.checker), rng: rand.New(rand.NewPCG(plan.Seed, 98)),
		hotKeys: plan.HotKeys(), entries: map[string]placement.Directive{}, sketches: make([]hotKeySketch, len(plan.Sidecars)), falseReporters: map[int]bool{},
	}
	serverCapacity, requestWork := c.spec.ServerCapacity, c.spec.RequestWorkMS
	if serverCapacity == 0 {
		serverCapacity = plan.MeanServerCapacity()
	}
	if requestWork == 0 {
		requestWork = plan.MeanWork()
	}
	c.config = hotkey.DefaultConfig(serverCapacity, requestWork)
	if c.spec.WarmupBudget > 0 {
		c.config.WarmupBudget = c.spec.WarmupBudget
	}
	if c.spec.CopiesPerServer > 0 {
		c.config.ReplicasPerServer = c.spec.CopiesPerServer
	}
	if c.spec.MaxKeys > 0 {
		c.config.MaxKeys = c.spec.MaxKeys
	}
	if c.spec.Oracle {
		for _, server := range engine.servers {
			server.model.AlwaysCached = c.hotKeys
		}
	}
	return c, c.config.Validate()
}

// start starts what goes on by itself.
func (c *hotKeyController) start() {
	c.repeat(congestionIntervalMS, congestionIntervalMS, func(float64) { c.countCongested() })
	c.repeat(0, refreshIntervalMS, func(now float64) { c.refreshServers(now) })
	if !c.spec.Enabled {
		return
	}
	c.startPlanner(0)
	for index := range c.sketches {
		c.repeat(c.rng.Float64()*c.spec.ReportIntervalMS, c.spec.ReportIntervalMS, func(now float64) { c.sendReport(now, index) })
	}
	c.repeat(c.spec.PlanIntervalMS, c.spec.PlanIntervalMS, c.plan)
}

// repeat does something again and again, first at a time.
func (c *hotKeyController) repeat(first, every float64, run func(now float64)) {
	c.engine.schedule(first, func(now float64) {
		run(now)
		c.repeat(first+every, every, run)
	})
}

func (c *hotKeyController) drawDelay(r lab.Range) float64 {
	return r.Min + (r.Max-r.Min)*c.rng.Float64()
}

// unixSeconds is a time of the run in seconds of Unix time.
func unixSeconds(now float64) float64 { return epochSeconds + now/1000 }

func (c *hotKeyController) countCongested() {
	count := 0
	for _, server := range c.engine.servers {
		if server.up && server.model.Congested(c.engine.now) {
			count++
		}
	}
	c.checker.RecordCongestion(count, congestionIntervalMS)
}

// startPlanner begins a decider, which goes on from the placement.
func (c *hotKeyController) startPlanner(now float64) {
	planner, err := hotkey.NewPlanner(c.config)
	if err != nil {
		panic(err) // its settings were checked
	}
	c.planner = planner
	c.refreshServers(now)
	planner.SetExpectedSidecars(len(c.sketches))
	var entries []placement.Directive
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		entries = append(entries, c.entries[id])
	}
	planner.Restore(unixSeconds(now), entries)
}

// refreshServers tells the decider of the list, and drops entries that are over.
func (c *hotKeyController) refreshServers(now float64) {
	slowStartMS, ready := 0.0, 0
	for i := range c.engine.plan.Experiment.Servers {
		slowStartMS = max(slowStartMS, 1000*c.engine.plan.Experiment.Servers[i].SlowStartS.Max)
	}
	var servers []hotkey.Server
	for _, server := range c.engine.servers {
		if server.plan.StartMS > now {
			continue
		}
		if server.listed {
			ready++
		}
		servers = append(servers, hotkey.Server{
			UID: server.plan.UID, Zone: strconv.Itoa(server.plan.Zone), Pod: server.plan.Cell, Capacity: 1, BootMS: epochSeconds*1000 + server.startedAt,
			Ready: server.listed, WarmingUp: server.startedAt > 0 && now < server.startedAt+slowStartMS,
		})
	}
	c.checker.RecordReadyServers(ready)
	if c.planner != nil {
		c.planner.SetServers(servers)
	}
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[id]; float64(e.ExpiresAtMS) <= 1000*unixSeconds(now) {
			delete(c.entries, id)
			c.checker.PlacementChanged(now, directiveKey(&e), nil)
		}
	}
}

func directiveKey(e *placement.Directive) uint64 {
	key, _ := strconv.ParseUint(e.KeyHash, 16, 64) // the decider wrote it
	return key
}

// sidecarStarted: a sidecar begins a life; its agent has the placement at hand.
func (c *hotKeyController) sidecarStarted(sidecar *simSidecar) {
	c.sketches[sidecar.index] = hotKeySketch{sketch: topk.New(sketchKeys, c.config.HalfLife)}
	if c.revision > 0 {
		c.sendPlacement(sidecar)
	}
}

// requestReceived: a sidecar gets a request. With the oracle a hot key keeps to no servers.
func (c *hotKeyController) requestReceived(now float64, sidecar *simSidecar, request *balance.Request) {
	if c.spec.Oracle && c.hotKeys[request.Key] {
		request.Key = 0
	}
	if request.Key != 0 && c.spec.Enabled {
		c.sketches[sidecar.index].sketch.Add(now/1000, request.Key, request.ExpectedWork)
	}
}

// sendReport has a sidecar report. One that stands still says nothing.
func (c *hotKeyController) sendReport(now float64, index int) {
	sidecar, sketch := c.engine.sidecars[index], &c.sketches[index]
	if !sidecar.up || sidecar.frozen {
		return
	}
	top := sketch.sketch.Top(now/1000, placement.MaxHotKeys)
	report := &placement.LoadReport{Sidecar: sidecar.plan.Name, PlacementRevision: sketch.revision, IntervalMS: c.spec.ReportIntervalMS, TotalKeyLoad: top.Total}
	for _, key := range top.Keys {
		report.HotKeys = append(report.HotKeys, placement.KeyLoad{KeyHash: hotkey.FormatKey(key.Key), Load: key.Load, ErrorBound: key.Error})
	}
	if c.falseReporters[index] {
		report.HotKeys = nil
		for k := range falseKeys {
			report.HotKeys = append(report.HotKeys, placement.KeyLoad{KeyHash: hotkey.FormatKey(uint64(k + 1)), Load: top.Total})
		}
		report.TotalKeyLoad = falseKeys * top.Total
	}
	for _, part := range c.lossShares {
		if c.rng.Float64() < part {
			return
		}
	}
	c.engine.schedule(now+c.drawDelay(c.spec.ReportDelayMS), func(now float64) {
		if c.planner != nil {
			c.planner.AddReport(unixSeconds(now), report)
		}
	})
}

// plan has the decider decide and its changes written; meanwhile it waits.
func (c *hotKeyController) plan(now float64) {
	if c.planner == nil || c.writing {
		return
	}
	changes := c.planner.Plan(unixSeconds(now))
	if len(changes) == 0 {
		return
	}
	c.writing = true
	planner := c.planner
	c.engine.schedule(now+c.drawDelay(c.spec.WriteDelayMS), func(now float64) {
		c.writing = false
		c.applyChanges(now, planner, changes)
	})
}

func (c *hotKeyController) applyChanges(now float64, planner *hotkey.Planner, changes []hotkey.Change) {
	c.revision++
	for _, change := range changes {
		id := change.RemoveID
		if change.Set != nil {
			id = change.Set.ID
			directive := *change.Set
			directive.Revision = c.revision
			c.entries[id] = directive
			shares := map[int]float64{}
			for _, replica := range directive.Copies {
				if server := c.engine.byID[serverID(replica.ServerUID)]; server != nil {
					shares[server.index] = replica.LoadFraction
				}
			}
			c.checker.PlacementChanged(now, directiveKey(&directive), shares)
		} else if directive, ok := c.entries[id]; ok {
			delete(c.entries, id)
			c.checker.PlacementChanged(now, directiveKey(&directive), nil)
		}
		planner.Confirm(id, c.revision)
	}
	c.checker.PlacementWritten(now)
	c.placement = balance.Placement{}
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		directive := c.entries[id]
		hotKey := balance.HotKey{Key: directiveKey(&directive), ExpiresAt: float64(directive.ExpiresAtMS) - 1000*epochSeconds}
		for _, replica := range directive.Copies {
			hotKey.Replicas = append(hotKey.Replicas, balance.Replica{Server: serverID(replica.ServerUID), LoadFraction: replica.LoadFraction})
		}
		c.placement.HotKeys = append(c.placement.HotKeys, hotKey)
	}
	for _, sidecar := range c.engine.sidecars {
		c.sendPlacement(sidecar)
	}
}

// sendPlacement has a sidecar get the placement as it is when it comes there.
func (c *hotKeyController) sendPlacement(sidecar *simSidecar) {
	sketch, incarnation := &c.sketches[sidecar.index], sidecar.incarnation
	if !sidecar.up || sketch.updatePending {
		return
	}
	sketch.updatePending = true
	c.engine.schedule(c.engine.now+c.drawDelay(c.spec.PlacementDelayMS), func(float64) {
		if sidecar.incarnation == incarnation {
			sketch.updatePending, sketch.revision = false, c.revision
			sidecar.deliver(c.placement)
		}
	})
}

// setFault begins or ends one of the spreader's.
func (c *hotKeyController) setFault(now float64, fault *lab.Fault, active bool) {
	switch fault.Kind {
	case lab.FaultHotKeyControllerDown:
		if c.planner = nil; !active {
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
