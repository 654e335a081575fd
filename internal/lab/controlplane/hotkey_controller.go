package controlplane

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/hotkey"
	"milldeck/internal/placement"
)

// What servers bear and how hot the hot key is: 300 servers' load, met by all sidecars.
const (
	serverCapacityMS    = 1000 // of work a second, each server
	requestWorkMS       = 50   // a request
	hotKeyShare         = 0.15 // of what all servers bear
	warmupPeriodSeconds = 10   // s over which cold work is judged
)

// newHotKeyController is the decider of hot keys.
type hotKeyController struct {
	process *process
	token   uint64
	planner *hotkey.Planner
}

func (c *cluster) newHotKeyController(replica int) *process {
	return c.newProcess(fmt.Sprintf("spread-%d", replica), hotkey.LeaseName, func(p *process) controller { return &hotKeyController{process: p} })
}

func (c *cluster) hotKeyConfig() hotkey.Config {
	return hotkey.DefaultConfig(serverCapacityMS, requestWorkMS)
}

func (c *hotKeyController) becomeLeader(token uint64) {
	planner, err := hotkey.NewPlanner(c.process.cluster.hotKeyConfig())
	if err != nil {
		panic(err) // the default can be
	}
	c.token, c.planner = token, planner
	planner.SetExpectedSidecars(len(c.process.cluster.sidecars))
	planner.SetServers(c.servers())
	cluster := c.process.cluster
	planner.Restore(float64(cluster.nowMS)/1000, cluster.registry.placements.CompleteUpdate(cluster.nowMS+cluster.registry.leaderClock.offsetMS).Directives)
}

func (c *hotKeyController) servers() []hotkey.Server {
	cluster := c.process.cluster
	excluded := map[string]bool{}
	for _, window := range cluster.registry.windows.Windows() {
		if window.ExcludedUntilMS != 0 {
			for _, uid := range window.ServerUIDs {
				excluded[uid] = true
			}
		}
	}
	servers := make([]hotkey.Server, 0, len(cluster.servers))
	for _, member := range cluster.servers {
		ledgerUnit, _ := cluster.registry.ledger.Unit(member.ID)
		if ledgerUnit.Condition == disruption.ConditionLost {
			continue
		}
		servers = append(servers, hotkey.Server{UID: member.name, Zone: member.Zone, Pod: member.PodGroup, Capacity: 1, BootMS: float64(member.bootMS), Excluded: excluded[member.name],
			Ready: ledgerUnit.Condition == disruption.ConditionUp || ledgerUnit.Condition == disruption.ConditionWarmingUp, WarmingUp: ledgerUnit.Condition == disruption.ConditionWarmingUp})
	}
	return servers
}

// reconcile decides once a second while there is a hot key or an entry is left of it.
func (c *hotKeyController) reconcile() {
	cluster := c.process.cluster
	nowSeconds := float64(cluster.nowMS) / 1000
	if cluster.nowMS%1000 != 0 || c.process.partitionedUntilMS > cluster.nowMS || !cluster.hotKeyPlaced() {
		return
	}
	c.planner.SetServers(c.servers())
	hotKeyLoad := hotKeyShare * serverCapacityMS * float64(len(cluster.servers))
	for _, member := range cluster.sidecars {
		if !member.alive || member.sidecar.agentDownUntilMS > cluster.nowMS {
			continue
		}
		report := placement.LoadReport{Sidecar: member.name, PlacementRevision: member.sidecar.placementRevision, IntervalMS: 1000, TotalKeyLoad: 2 * hotKeyLoad / float64(len(cluster.sidecars))}
		if cluster.hotKeyActive() {
			report.HotKeys = []placement.KeyLoad{{KeyHash: hotkey.FormatKey(cluster.scenario.hotKeyHash), Load: hotKeyLoad / float64(len(cluster.sidecars))}}
		}
		c.planner.AddReport(nowSeconds, &report)
	}
	for _, change := range c.planner.Plan(nowSeconds) {
		if !c.process.execute(func() { c.applyChange(change) }) {
			return
		}
	}
}

func (c *hotKeyController) applyChange(change hotkey.Change) {
	cluster, planner := c.process.cluster, c.planner
	op := &placement.Op{}
	directiveID := change.RemoveID
	if change.Set != nil {
		directiveID = change.Set.ID
		op.Set = []placement.Directive{*change.Set}
	} else {
		op.Delete = []string{change.RemoveID}
	}
	result, known := c.process.write(c.token, func() (string, string) {
		op.LeaderTimeMS = cluster.nowMS + cluster.registry.leaderClock.offsetMS
		existing := map[string]bool{}
		if change.Set != nil {
			for _, directive := range cluster.registry.placements.CompleteUpdate(op.LeaderTimeMS).Directives {
				if directive.ID == directiveID {
					for _, copy := range directive.Copies {
						existing[copy.ServerUID] = true
					}
				}
			}
		}
		result := cluster.registry.placements.Apply(cluster.registry.revision, hotkey.LeaseName, op)
		if result.Outcome == placement.OutcomeApplied && change.Set != nil {
			cluster.checker.observeCopies(change.Set, existing)
		}
		return string(result.Outcome), result.Reason
	})
	if known && result.outcome == string(placement.OutcomeApplied) {
		planner.Confirm(directiveID, cluster.registry.revision)
	}
}

// hotKeyActive tells whether the key is hot now; heated, whether its spread may still stand.
func (c *cluster) hotKeyActive() bool {
	return c.scenario != nil && c.nowMS >= c.scenario.hotKeyFromMS && c.nowMS < c.scenario.hotKeyUntilMS
}

func (c *cluster) hotKeyPlaced() bool {
	return c.scenario != nil && c.nowMS >= c.scenario.hotKeyFromMS-3000 && c.nowMS < c.scenario.hotKeyUntilMS+60_000
}

// observeCopies: an entry is told, and its copies that were not there before are to be warmed.
func (c *checker) observeCopies(directive *placement.Directive, existing map[string]bool) {
	config := c.cluster.hotKeyConfig()
	added := 0
	for _, copy := range directive.Copies {
		if !existing[copy.ServerUID] {
			added++
		}
	}
	second := c.cluster.nowMS / 1000
	c.warmupWork[second] += float64(added) * config.WarmupWork
	sum := 0.0
	for past := second - warmupPeriodSeconds + 1; past <= second; past++ {
		sum += c.warmupWork[past]
	}
	// A second of the budget may be saved up, and so may a second of the least.
	rate := max(config.WarmupBudget*serverCapacityMS*float64(len(c.cluster.servers)), config.MinWarmupBudget)
	if sum > rate*(warmupPeriodSeconds+1) {
		c.report(ruleSpread, fmt.Sprintf("%.0f ms of cold work within %d s, %.0f allowed", sum, warmupPeriodSeconds, rate*(warmupPeriodSeconds+1)))
	}
	if copies := float64(len(directive.Copies)); copies > config.ReplicasPerServer*float64(len(c.cluster.servers)) {
		c.report(ruleSpread, fmt.Sprintf("%.0f copies", copies))
	}
}
