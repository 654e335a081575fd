package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"milldeck/internal/release"
	"milldeck/internal/release/plan"
)

// rolloutPlan releases servers in four waves, each watched for half a minute.
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

// RolloutResult is how one release went.
type RolloutResult struct {
	Seed          uint64  `json:"seed"`
	Regression    string  `json:"harm,omitempty"`
	Phase         string  `json:"phase"`
	HaltReason    string  `json:"why,omitempty"`
	UpgradedShare float64 `json:"share"`    // of the fleet that was started on the new version
	RollbackRatio float64 `json:"back_for"` // time of the way back against the time forward; 0: none
	Violations    int     `json:"broken_rules"`
}

// RunRollout plays one release of 200 servers with its judge. A version without harm meets ordinary trouble: servers that
// end by themselves, a zone that is cut off for a while, its controller killed; beside what all servers feel.
func RunRollout(seed uint64, regression *Regression) RolloutResult {
	cluster := newCluster(seed, Options{Sidecars: 16, Servers: 200, StartMS: 1_780_000_000_000, NoFaults: true})
	cluster.scenario, cluster.reconcilePeriodMS = &scenario{}, tickMS
	cluster.traffic = &traffic{cluster: cluster, random: rand.New(rand.NewPCG(seed, 9))}
	result := RolloutResult{Seed: seed}
	if regression != nil {
		cluster.traffic.regression, result.Regression = *regression, regression.Name
	}
	rolloutPlanFile, err := plan.Parse("figures.toml", []byte(rolloutPlan))
	if err != nil {
		panic(err)
	}
	state, err := release.New(rolloutPlanFile, cluster.nowMS, cluster.registry.ledger.Units(), cluster.registry.ledger.Budgets(), cluster.platformList())
	if err == nil {
		err = cluster.startRelease(state)
	}
	if err != nil {
		panic(fmt.Sprintf("a release of %d sound servers: %v", len(cluster.servers), err))
	}
	for replica := range 2 {
		cluster.newReleaseController(serverReleaseName, replica)
	}
	if regression == nil {
		cluster.scheduleBackgroundFaults()
	}
	startMS, rollbackStartMS := cluster.nowMS, int64(0)
	for cluster.nowMS-startMS < maxSimulationMS {
		cluster.tick()
		state, _ := cluster.registry.releases.Get(serverReleaseName)
		if state.Status.Phase == release.PhaseRollback && rollbackStartMS == 0 {
			rollbackStartMS = cluster.nowMS
		}
		if state.Status.Phase.Finished() {
			break
		}
		if cluster.nowMS%5000 == 0 {
			cluster.runOperator()
		}
	}
	state, _ = cluster.registry.releases.Get(serverReleaseName)
	result.Phase, result.HaltReason = string(state.Status.Phase), state.Status.HaltReason
	result.UpgradedShare = float64(len(cluster.checker.upgradedUnits)) / float64(len(cluster.servers))
	if rollbackStartMS > startMS {
		result.RollbackRatio = float64(cluster.nowMS-rollbackStartMS) / float64(rollbackStartMS-startMS)
	}
	for _, rule := range RuleNames {
		result.Violations += cluster.checker.violationsByRule[rule]
	}
	return result
}

func (c *cluster) scheduleBackgroundFaults() {
	random := c.random
	for range 4 {
		server := c.servers[random.IntN(len(c.servers))]
		c.schedule(random.Int64N(600_000), func() { c.platform.Crash(server.name, "signal: killed") })
	}
	zone := zones[random.IntN(len(zones))]
	c.schedule(random.Int64N(400_000), func() {
		for _, server := range c.units {
			if server.Zone == zone {
				server.unreachableUntilMS, server.changing = c.nowMS+20_000, true
			}
		}
	})
	c.schedule(random.Int64N(400_000), func() { c.leaderOf(c.processes[0]).plannedFault = &processFault{} })
}

// Summary are what is told of many nights and releases.
type Summary struct {
	Simulations                 int     `json:"nights"`
	Violations                  int     `json:"broken_rules"`
	ExcludedOutsideHoursSeconds float64 `json:"kept_off_outside_s"`
	ExcludedSeconds             float64 `json:"kept_off_s"`
	FeasibleWindows             int     `json:"windows_that_fit"`
	CompletedWindowShare        float64 `json:"windows_held"`           // of those that fit
	StoppedEarlyShare           float64 `json:"harmful_stopped_early"`  // share that met under a tenth of the fleet
	FalseHaltShare              float64 `json:"false_halts"`            // share of healthy releases that did not end on the new version
	MaxRollbackRatio            float64 `json:"way_back"`               // worst, against the time forward
	MedianRollbackRatio         float64 `json:"way_back_median"`        //
	RolloutViolations           int     `json:"releases_broken_rules"`  // in the releases of these figures
	RegressedRollouts           int     `json:"harmful_releases"`       //
	HealthyRollouts             int     `json:"healthy_releases"`       //
	SimulatedSeconds            float64 `json:"seconds_of_the_worlds"`  //
	Writes                      int     `json:"writes_to_the_log"`      //
	FailedSeeds                 []int   `json:"broken_nights,omitzero"` // their seeds
}

// Summarize makes the figures of nights, and of releases of harmful and of healthy versions.
func Summarize(results []*Result, regressed, healthy []RolloutResult) Summary {
	summary := Summary{Simulations: len(results), RegressedRollouts: len(regressed), HealthyRollouts: len(healthy)}
	completed := 0
	for _, result := range results {
		summary.Violations += result.Violations
		summary.ExcludedOutsideHoursSeconds += result.ExcludedOutsideHoursSeconds
		summary.ExcludedSeconds += result.ExcludedSeconds
		summary.FeasibleWindows += result.FeasibleWindows
		summary.SimulatedSeconds += result.SimulatedSeconds
		summary.Writes += result.Writes
		completed += result.CompletedWindows
		if result.Violations > 0 {
			summary.FailedSeeds = append(summary.FailedSeeds, int(result.Seed))
		}
	}
	summary.CompletedWindowShare = ratio(completed, summary.FeasibleWindows)
	stoppedEarly, falseHalts, ratios := 0, 0, []float64{}
	for _, result := range regressed {
		summary.RolloutViolations += result.Violations
		if result.Phase == string(release.PhaseRolledBack) && result.UpgradedShare < 0.1 {
			stoppedEarly++
		}
		if result.RollbackRatio > 0 {
			ratios = append(ratios, result.RollbackRatio)
		}
	}
	for _, result := range healthy {
		summary.RolloutViolations += result.Violations
		if result.Phase != string(release.PhaseCompleted) {
			falseHalts++
		}
	}
	summary.StoppedEarlyShare, summary.FalseHaltShare = ratio(stoppedEarly, len(regressed)), ratio(falseHalts, len(healthy))
	if slices.Sort(ratios); len(ratios) > 0 {
		summary.MaxRollbackRatio, summary.MedianRollbackRatio = ratios[len(ratios)-1], ratios[len(ratios)/2]
	}
	return summary
}

func ratio(count, total int) float64 { return float64(count) / float64(max(total, 1)) }
