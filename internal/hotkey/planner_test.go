package hotkey

import (
	"fmt"
	"slices"
	"testing"

	"milldeck/internal/placement"
)

const hotKey = uint64(0xfeedface)

// detectionThreshold is the fraction of all requests at which a key just exceeds the headroom of its home servers, with the
// fleet at half load.
const detectionThreshold = 20 * (0.8 - 0.5) / (1 - 20.0/serverCount) / (0.5 * serverCount)

// simulateOnset simulates one key that suddenly takes 30% of all load. It returns the times in s until the key has active
// replicas, and until its home servers are no longer overloaded; each is seconds if that does not happen.
func simulateOnset(t testing.TB, sidecarCount int, seed uint64, config Config, seconds float64) (cluster *clusterModel, active, relieved float64) {
	cluster = newClusterModel(t, sidecarCount, seed, config)
	cluster.run(3+cluster.rng.Float64(), nil)
	cluster.hotShares[hotKey] = 0.3
	active, relieved = seconds, seconds
	began := cluster.now
	cluster.run(seconds, func() bool {
		share, count := cluster.replicatedShare(hotKey)
		if count > 0 {
			active = min(active, cluster.now-began)
		}
		load := 0.3 * cluster.requestRate * testRequestWork
		headroom := 1 - 0.7*cluster.requestRate*testRequestWork/(serverCount*testServerCapacity)
		if (1-share)*load <= headroom*20*testServerCapacity {
			relieved = min(relieved, cluster.now-began)
		}
		return relieved < seconds
	})
	return cluster, active, relieved
}

func TestReplicasActiveSoonAfterOnset(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		cluster, elapsed, _ := simulateOnset(t, manySidecars, seed, testConfig(), 3)
		if elapsed > 2 {
			t.Errorf("seed %d: first active replicas after %.2f s, want at most 2 s", seed, elapsed)
		}
		cluster.checkInvariants("onset")
	}
}

func TestMovingHotKey(t *testing.T) {
	t.Parallel()
	cluster := newClusterModel(t, fewSidecars, 1, testConfig())
	for turn := range 6 { // the load moves among three keys, every 3 s
		key := uint64(turn%3 + 1)
		clear(cluster.hotShares)
		cluster.hotShares[key] = 0.3
		cluster.run(3, nil)
		if _, active := cluster.replicatedShare(key); active < 10 {
			t.Errorf("turn %d: %d active replicas", turn, active)
		}
	}
	cluster.checkInvariants("moves")
	if cluster.replicasStarted > 3*130 || cluster.timesReplicated[1] > 1 {
		t.Errorf("%d replicas were started, %d times for the first key: warm replicas are not reused", cluster.replicasStarted, cluster.timesReplicated[1])
	}
	for key := range uint64(8) { // the load moves to a new key every 3 s
		clear(cluster.hotShares)
		cluster.hotShares[key+100] = 0.3
		cluster.run(3, nil)
		if _, active := cluster.replicatedShare(key + 100); active < 10 {
			t.Errorf("new key %d: %d active replicas", key, active)
		}
	}
	cluster.checkInvariants("moves on")
	clear(cluster.hotShares)
	cluster.run(60, func() bool { return len(cluster.published) == 0 })
	if len(cluster.published) != 0 {
		t.Errorf("%d keys are replicated 60 s after the last was hot", len(cluster.published))
	}
}

// replicasStartedAtThreshold returns the number of replicas that are started for a key whose load is close to the scale-up
// threshold. The number is high if the key is scaled up and down in turn.
func replicasStartedAtThreshold(t testing.TB, config Config) int {
	cluster := newClusterModel(t, fewSidecars, 1, config)
	cluster.hotShares[hotKey] = 1.5 * detectionThreshold
	cluster.run(25, nil)
	return cluster.replicasStarted
}

func TestNoFlapping(t *testing.T) {
	t.Parallel()
	if n := replicasStartedAtThreshold(t, testConfig()); n > 30 {
		t.Errorf("%d replicas were started, want at most 30", n)
	}
}

func TestPlannerFailsDuringWarmup(t *testing.T) {
	t.Parallel()
	cluster, _, _ := simulateOnset(t, fewSidecars, 1, testConfig(), 1.3)
	if cluster.planner.keys[hotKey] == nil || cluster.planner.keys[hotKey].countIn(Warming) == 0 {
		t.Fatal("no replica is warming up")
	}
	cluster.plannerDown = true
	cluster.run(2, nil)
	cluster.startPlanner()
	cluster.run(0.3, nil)
	if _, active := cluster.replicatedShare(hotKey); active > 0 && cluster.prematureShares > 0 {
		t.Error("the next planner assigns shares before replicas have given responses")
	}
	cluster.run(4, nil)
	if _, active := cluster.replicatedShare(hotKey); active < 20 {
		t.Errorf("%d active replicas after the takeover", active)
	}
	share, _ := cluster.replicatedShare(hotKey)
	cluster.plannerDown = true // this time while replicas are active
	cluster.run(1, nil)
	cluster.startPlanner()
	cluster.run(0.5, nil)
	if now, _ := cluster.replicatedShare(hotKey); now < 0.9*share {
		t.Errorf("after the takeover replicas take %v of the load, before %v", now, share)
	}
	cluster.checkInvariants("takeover")
	cluster.plannerDown = true // without a successor
	cluster.run(cluster.config.DirectiveTTL+0.2, nil)
	if len(cluster.published) > 0 {
		t.Error("a directive is still in force after its expiry")
	}
}

func TestHalfOfReportsLost(t *testing.T) {
	t.Parallel()
	cluster := newClusterModel(t, fewSidecars, 1, testConfig())
	cluster.lostReports = 0.5
	cluster.run(3, nil)
	cluster.hotShares[hotKey] = 0.3
	elapsed := cluster.run(6, func() bool { _, n := cluster.replicatedShare(hotKey); return n > 0 })
	if elapsed > 4 {
		t.Errorf("first active replicas after %.2f s, want at most 4 s", elapsed)
	}
	cluster.run(15, nil)
	if _, n := cluster.replicatedShare(hotKey); n < 40 || n > 120 {
		t.Errorf("%d active replicas", n)
	}
	cluster.checkInvariants("half lost")
	cluster.lostReports = 1
	before, _ := cluster.replicatedShare(hotKey)
	cluster.run(8, nil) // missing reports are no evidence of a lower load
	if share, _ := cluster.replicatedShare(hotKey); share < before-0.01 {
		t.Errorf("without reports replicas take %v of the load, before %v", share, before)
	}
}

// A sidecar that reports invalid loads prevents neither the replication of a hot key nor the removal of its replicas once the
// key is no longer hot.
func TestInvalidReportsBesideHotKey(t *testing.T) {
	t.Parallel()
	cluster := newClusterModel(t, fewSidecars, 3, testConfig())
	cluster.corruptReport = func(r *placement.LoadReport) {
		r.HotKeys, r.TotalKeyLoad = []placement.KeyLoad{{KeyHash: FormatKey(hotKey), Load: 3000}, {KeyHash: FormatKey(1<<32 + 1), Load: 12000}}, 15000
	}
	cluster.run(2, nil)
	cluster.hotShares[hotKey] = 1.5 * detectionThreshold
	if cluster.run(6, nil); cluster.timesReplicated[hotKey] == 0 {
		t.Error("the hot key is not replicated beside the invalid report about another key")
	}
	cluster.hotShares[hotKey] = 0.3
	cluster.run(6, nil)
	if _, n := cluster.replicatedShare(hotKey); n < 30 || n > 110 {
		t.Errorf("%d active replicas", n)
	}
	clear(cluster.hotShares)
	cluster.run(60, func() bool { return len(cluster.published) == 0 })
	if len(cluster.published) > 0 {
		t.Error("a key is still replicated after the load has ended")
	}
	cluster.checkInvariants("invalid reports")
}

// All servers that host replicas of a key are drained and then lost, while all sidecars restart.
func TestActiveReplicasDrainedThenLost(t *testing.T) {
	t.Parallel()
	cluster := newClusterModel(t, fewSidecars, 2, testConfig())
	cluster.hotShares[hotKey] = 2.5 * detectionThreshold
	cluster.run(8, nil)
	var previousServers []string
	for _, c := range cluster.published[hotKey].Copies {
		previousServers = append(previousServers, c.ServerUID)
		if cluster.planner.Drained(c.ServerUID) {
			t.Fatalf("%s counts as drained without a drain", c.ServerUID)
		}
	}
	before, _ := cluster.replicatedShare(hotKey)
	if len(previousServers) == 0 || before == 0 {
		t.Fatal("no key is replicated")
	}
	for i, sidecar := range cluster.sidecars {
		sidecar.name, sidecar.sketch = fmt.Sprint(sidecar.name, " again"), newSketch(cluster.config)
		sidecar.nextReport = cluster.now + 1 + float64(i)/fewSidecars
	}
	for _, uid := range previousServers {
		cluster.planner.StartDrain(uid)
	}
	drained := func() bool {
		return !slices.ContainsFunc(previousServers, func(uid string) bool { return !cluster.planner.Drained(uid) })
	}
	cluster.run(20, func() bool {
		if share, _ := cluster.replicatedShare(hotKey); share < 0.7*before {
			t.Errorf("%.2f s: replicas take %v of the load, before %v", cluster.now, share, before)
		}
		return t.Failed() || drained()
	})
	if !drained() {
		t.Fatalf("the servers are not drained: %+v", cluster.planner.Status())
	}
	for _, uid := range previousServers { // then lost, with half of the servers that replaced them
		cluster.servers[cluster.serverIndex(uid)].Ready = false
	}
	for i, c := range cluster.published[hotKey].Copies {
		if i%2 == 0 {
			cluster.servers[cluster.serverIndex(c.ServerUID)].Ready = false
		}
	}
	cluster.planner.SetServers(cluster.servers)
	cluster.run(6, nil)
	if share, _ := cluster.replicatedShare(hotKey); share < 0.7*before {
		t.Errorf("after the loss replicas take %v of the load, before %v", share, before)
	}
	cluster.checkInvariants("drained, lost")
}

func TestZoneLossAndExcludedServers(t *testing.T) {
	t.Parallel()
	cluster, _, _ := simulateOnset(t, fewSidecars, 1, testConfig(), 8)
	zones := map[string]int{}
	for _, c := range cluster.published[hotKey].Copies {
		zones[cluster.servers[cluster.serverIndex(c.ServerUID)].Zone]++
	}
	if len(zones) != 3 || slices.Max([]int{zones["z0"], zones["z1"], zones["z2"]}) > len(cluster.published[hotKey].Copies)/2 {
		t.Errorf("replicas by zone: %v", zones)
	}
	for i := range cluster.servers {
		cluster.servers[i].Ready = cluster.servers[i].Zone != "z0"
		cluster.servers[i].Excluded = i%3 == 1 && i < 30
		cluster.servers[i].Overloaded, cluster.servers[i].WarmingUp = i%3 == 1 && i >= 30 && i < 60, i%3 == 2 && i < 60
	}
	previousServers := map[string]bool{}
	for _, c := range cluster.published[hotKey].Copies {
		previousServers[c.ServerUID] = true
	}
	cluster.requestRate, cluster.hotShares[hotKey] = 2000, 0.45 // two thirds of the fleet
	cluster.planner.SetServers(cluster.servers)
	cluster.run(8, nil)
	if share, n := cluster.replicatedShare(hotKey); share < 0.5 {
		t.Errorf("%d active replicas take %v of the load, want at least 0.5", n, share)
	}
	for _, c := range cluster.published[hotKey].Copies {
		if s := cluster.servers[cluster.serverIndex(c.ServerUID)]; !previousServers[c.ServerUID] && (s.Overloaded || s.WarmingUp) {
			t.Errorf("new replica on a server that is overloaded or warming up: %+v", s)
		}
	}
	cluster.checkInvariants("lost zone")
}

// The checks of the other tests detect each injected defect.
func TestDetectsInjectedDefects(t *testing.T) {
	t.Parallel()
	t.Run("scale up by the upper bound", func(t *testing.T) {
		t.Parallel()
		injectDefect := func(p *Planner) {
			p.scaleUpLoad = func(key uint64) float64 {
				if p.loads.sumOf(key) == nil {
					return 0
				}
				return p.loads.upperBound(key, true)
			}
		}
		if replicatesNoKey(t, fewSidecars, "lukewarm", 0, injectDefect) && replicatesNoKey(t, fewSidecars, "invalid reports", 0, injectDefect) {
			t.Error("the defect was not detected")
		}
	})
	t.Run("no hysteresis", func(t *testing.T) {
		t.Parallel()
		config := testConfig()
		config.ScaleDownUtilization, config.ScaleDownStabilization, config.ScaleDownInterval, config.RetirePeriod = 1.3, 0, 0, 0
		if n := replicasStartedAtThreshold(t, config); n <= 30 {
			t.Errorf("the defect was not detected: %d replicas were started", n)
		}
	})
	t.Run("share before the replica is warm", func(t *testing.T) {
		t.Parallel()
		cluster := newClusterModel(t, fewSidecars, 1, testConfig())
		cluster.corruptPlanner = func(p *Planner) {
			for _, k := range p.keys {
				for _, r := range k.replicas {
					r.inheritedRampFactor = 1
				}
			}
		}
		cluster.hotShares[hotKey] = 1.2 * detectionThreshold
		if cluster.run(6, nil); cluster.prematureShares == 0 {
			t.Error("the defect was not detected")
		}
	})
	t.Run("budget for each key", func(t *testing.T) {
		t.Parallel()
		simulateHotKeys := func(config Config) *clusterModel {
			cluster := newClusterModel(t, fewSidecars, 1, config)
			cluster.config.WarmupBudget = 0.005
			for k := range uint64(4) {
				cluster.hotShares[k+1] = 0.12
			}
			cluster.run(6, nil)
			return cluster
		}
		config := testConfig()
		config.WarmupBudget, config.MinWarmupBudget = 0.005, 0
		simulateHotKeys(config).checkInvariants("one budget")
		config.WarmupBudget = 4 * 0.005
		if cluster := simulateHotKeys(config); !cluster.budgetExceeded {
			t.Errorf("the defect was not detected: %v ms of work in %v s", cluster.plannedWarmupWork, cluster.now)
		}
	})
}
