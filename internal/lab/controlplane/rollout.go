package controlplane

import (
	"fmt"
	"math/rand/v2"

	"milldeck/internal/release"
	"milldeck/internal/release/plan"
)

// rolloutPlan upgrades servers in four waves, each of which bakes for half a minute.
const rolloutPlan = `name = "servers"
on_halt = "back"
deadline_s = 36000
[what]
server = "2"
[[wave]]
share = 0.02
bake_s = 30
[[wave]]
share = 0.1
bake_s = 30
[[wave]]
share = 0.4
bake_s = 30
[[wave]]
bake_s = 30
[limits]
max_out = { count = 8 }
`

// Size and start of the fleet of a rollout.
const (
	rolloutSidecars = 16
	rolloutServers  = 200
	rolloutStartMS  = 1_780_000_000_000
)

// RolloutResult is the outcome of one rollout.
type RolloutResult struct {
	Seed          uint64  `json:"seed"`
	Regression    string  `json:"harm,omitempty"` // name of the regression; empty for a healthy version
	Phase         string  `json:"phase"`
	HaltReason    string  `json:"why,omitempty"`
	UpgradedShare float64 `json:"share"`    // share of the servers that were started on the new version
	RollbackRatio float64 `json:"back_for"` // duration of the rollback relative to the rollout before it; 0: no rollback
	Violations    int     `json:"broken_rules"`
}

// RunRollout simulates one release to 200 servers with wave analysis. Traffic varies for all versions. A healthy version
// (nil regression) also runs under background faults: servers crash, a zone is unreachable for a while and the release
// controller crashes.
func RunRollout(seed uint64, regression *Regression) RolloutResult {
	cluster := newCluster(seed, Options{Sidecars: rolloutSidecars, Servers: rolloutServers, StartMS: rolloutStartMS, NoFaults: true})
	cluster.scenario, cluster.reconcilePeriodMS = &scenario{}, tickMS
	cluster.traffic = &traffic{cluster: cluster, random: rand.New(rand.NewPCG(seed, 9))}
	result := RolloutResult{Seed: seed}
	if regression != nil {
		cluster.traffic.regression, result.Regression = *regression, regression.Name
	}
	cluster.startRollout()
	if regression == nil {
		cluster.scheduleBackgroundFaults()
	}

	startMS := cluster.nowMS
	rollbackStartMS := cluster.runRollout()
	state, _ := cluster.registry.releases.Get(serverReleaseName)
	result.Phase, result.HaltReason = string(state.Status.Phase), state.Status.HaltReason
	result.UpgradedShare = float64(len(cluster.checker.upgradedUnits)) / float64(len(cluster.servers))
	if rollbackStartMS > startMS {
		result.RollbackRatio = float64(cluster.nowMS-rollbackStartMS) / float64(rollbackStartMS-startMS)
	}
	result.Violations = cluster.checker.violationCount()
	return result
}

// startRollout starts the release and its controllers.
func (c *cluster) startRollout() {
	parsed, err := plan.Parse("figures.toml", []byte(rolloutPlan))
	if err != nil {
		panic(err) // the plan is a constant
	}
	state, err := release.New(parsed, c.nowMS, c.registry.ledger.Units(), c.registry.ledger.Budgets(), c.platformList())
	if err == nil {
		err = c.registry.commitReleaseOp(&release.Operation{Start: state})
	}
	if err != nil {
		panic(fmt.Sprintf("release to %d healthy servers rejected: %v", len(c.servers), err))
	}
	for replica := range controllerCount {
		c.addReleaseController(serverReleaseName, replica)
	}
}

// runRollout advances the simulation until the release has finished. It returns when a rollback began, or 0 if none did.
func (c *cluster) runRollout() (rollbackStartMS int64) {
	for startMS := c.nowMS; c.nowMS-startMS < maxSimulationMS; {
		c.tick()
		state, _ := c.registry.releases.Get(serverReleaseName)
		if state.Status.Phase == release.PhaseRollback && rollbackStartMS == 0 {
			rollbackStartMS = c.nowMS
		}
		if state.Status.Phase.Finished() {
			break
		}
		if c.nowMS%operatorPeriodMS == 0 {
			c.runOperator()
		}
	}
	return rollbackStartMS
}

// scheduleBackgroundFaults schedules the faults that the release of a healthy version must tolerate.
func (c *cluster) scheduleBackgroundFaults() {
	for range 4 {
		server := c.servers[c.random.IntN(len(c.servers))]
		c.schedule(c.random.Int64N(600_000), func() { c.platform.Crash(server.name, crashText) })
	}
	zone := zones[c.random.IntN(len(zones))]
	c.schedule(c.random.Int64N(400_000), func() {
		for _, member := range c.units {
			if member.Zone == zone {
				member.unreachableUntilMS, member.registrationPending = c.nowMS+20_000, true
			}
		}
	})
	c.schedule(c.random.Int64N(400_000), func() { c.leaderOf(c.processes[0]).scheduledFault = &processFault{} })
}
