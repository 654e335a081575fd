package controlplane

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/hotkey"
	"milldeck/internal/placement"
)

// Load model of the hot key.
const (
	serverCapacityMS = 1000 // work that a server completes per second
	requestWorkMS    = 50   // work of a request
	hotKeyShare      = 0.15 // load of the hot key as a share of the capacity of all servers
	hotKeyPeriodMS   = 1000 // interval between two steps of a hot-key controller
)

// hotKeyController runs the planner of hot-key replicas.
type hotKeyController struct {
	process *process
	token   uint64
	planner *hotkey.Planner
}

// addHotKeyController adds a candidate for the lease of the hot-key planner.
func (c *cluster) addHotKeyController(replica int) {
	c.addProcess(fmt.Sprintf("spread-%d", replica), hotkey.LeaseName, func(p *process) controller {
		return &hotKeyController{process: p}
	})
}

func (c *cluster) hotKeyConfig() hotkey.Config {
	return hotkey.DefaultConfig(serverCapacityMS, requestWorkMS)
}

func (c *hotKeyController) becomeLeader(token uint64) {
	cluster := c.process.cluster
	planner, err := hotkey.NewPlanner(cluster.hotKeyConfig())
	if err != nil {
		panic(err) // the default configuration is valid
	}
	planner.SetExpectedSidecars(len(cluster.sidecars))
	planner.SetServers(c.servers())
	placed := cluster.registry.placements.CompleteUpdate(cluster.registry.leaderTimeMS())
	planner.Restore(c.nowSeconds(), placed.Directives)
	c.token, c.planner = token, planner
}

func (c *hotKeyController) nowSeconds() float64 { return float64(c.process.cluster.nowMS) / 1000 }

// servers returns the registered servers in the planner's form.
func (c *hotKeyController) servers() []hotkey.Server {
	cluster := c.process.cluster
	excluded := cluster.excludedServers()
	servers := make([]hotkey.Server, 0, len(cluster.servers))
	for _, member := range cluster.servers {
		known, _ := cluster.registry.ledger.Unit(member.ID)
		if known.Condition == disruption.ConditionLost {
			continue
		}
		warmingUp := known.Condition == disruption.ConditionWarmingUp
		servers = append(servers, hotkey.Server{
			UID:       member.name,
			Zone:      member.Zone,
			PodGroup:  member.PodGroup,
			Capacity:  1,
			BootMS:    float64(member.bootMS),
			Excluded:  excluded[member.name],
			Ready:     warmingUp || known.Condition == disruption.ConditionUp,
			WarmingUp: warmingUp,
		})
	}
	return servers
}

// excludedServers returns the servers from which a maintenance window excludes tenants.
func (c *cluster) excludedServers() map[string]bool {
	excluded := map[string]bool{}
	for _, window := range c.registry.windows.Windows() {
		if window.ExcludedUntilMS == 0 {
			continue
		}
		for _, uid := range window.ServerUIDs {
			excluded[uid] = true
		}
	}
	return excluded
}

// reconcile plans once a second while there may be replicas of the hot key.
func (c *hotKeyController) reconcile() {
	cluster := c.process.cluster
	if cluster.nowMS%hotKeyPeriodMS != 0 || c.process.partitioned() || !cluster.hotKeyPlaced() {
		return
	}
	c.planner.SetServers(c.servers())
	c.addReports()
	for _, change := range c.planner.Plan(c.nowSeconds()) {
		if !c.process.execute(func() { c.applyChange(change) }) {
			return
		}
	}
}

// addReports adds the load reports of the reachable sidecars. While the key is hot, it accounts for half of the reported load.
func (c *hotKeyController) addReports() {
	cluster := c.process.cluster
	hotKeyLoad := hotKeyShare * serverCapacityMS * float64(len(cluster.servers))
	for _, member := range cluster.sidecars {
		if !member.alive || !member.agentReachable(cluster.nowMS) {
			continue
		}
		report := placement.LoadReport{
			Sidecar:           member.name,
			PlacementRevision: member.sidecar.placementRevision,
			IntervalMS:        hotKeyPeriodMS,
			TotalKeyLoad:      2 * hotKeyLoad / float64(len(cluster.sidecars)),
		}
		if cluster.hotKeyActive() {
			key := hotkey.FormatKey(cluster.scenario.hotKeyHash)
			report.HotKeys = []placement.KeyLoad{{KeyHash: key, Load: hotKeyLoad / float64(len(cluster.sidecars))}}
		}
		c.planner.AddReport(c.nowSeconds(), &report)
	}
}

// applyChange writes a change of the plan, and confirms it to the planner that planned it.
func (c *hotKeyController) applyChange(change hotkey.Change) {
	registry, planner := c.process.cluster.registry, c.planner
	directiveID := change.RemoveID
	if change.Set != nil {
		directiveID = change.Set.ID
	}
	result, known := c.process.write(c.token, func() writeResult { return registry.applyHotKeyChange(change) })
	if known && result.outcome == string(placement.OutcomeApplied) {
		planner.Confirm(directiveID, registry.revision)
	}
}

// applyHotKeyChange applies a change of the hot-key placement within a write.
func (r *registry) applyHotKeyChange(change hotkey.Change) writeResult {
	op := &placement.Op{LeaderTimeMS: r.leaderTimeMS()}
	if change.Set == nil {
		op.Delete = []string{change.RemoveID}
		return r.applyPlacementOp(op)
	}
	op.Set = []placement.Directive{*change.Set}
	existing := r.replicaServers(change.Set.ID)
	result := r.applyPlacementOp(op)
	if result.outcome == string(placement.OutcomeApplied) {
		r.cluster.checker.observeReplicas(change.Set, existing)
	}
	return result
}

func (r *registry) applyPlacementOp(op *placement.Op) writeResult {
	result := r.placements.Apply(r.revision, hotkey.LeaseName, op)
	return writeResult{string(result.Outcome), result.Reason}
}

// replicaServers returns the set of servers that have a replica under a directive.
func (r *registry) replicaServers(directiveID string) map[string]bool {
	existing := map[string]bool{}
	for _, directive := range r.placements.CompleteUpdate(r.leaderTimeMS()).Directives {
		if directive.ID != directiveID {
			continue
		}
		for _, replica := range directive.Copies {
			existing[replica.ServerUID] = true
		}
	}
	return existing
}
