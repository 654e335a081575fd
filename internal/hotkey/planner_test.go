package hotkey

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"milldeck/internal/placement"
)

const hotKey = uint64(0xfeedface)

// detectionThreshold is the part of all requests at which a key's own servers have just no room for it, at half load.
const detectionThreshold = 20 * (0.8 - 0.5) / (1 - 20.0/serverCount) / (0.5 * serverCount)

// playOnset plays one key that takes 30% of all load at once, and returns the s to the first copies that carry and to when
// its own servers have no more to do than they can, or those played.
func playOnset(t testing.TB, sidecarCount int, seed uint64, config Config, seconds float64) (cluster *clusterModel, active, relieved float64) {
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
		load, headroom := 0.3*cluster.requestRate*testRequestWork, 1-0.7*cluster.requestRate*testRequestWork/(serverCount*testServerCapacity)
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
		cluster, elapsed, _ := playOnset(t, manySidecars, seed, testConfig(), 3)
		if elapsed > 2 {
			t.Errorf("seed %d: %.2f s", seed, elapsed)
		}
		cluster.checkInvariants("onset")
	}
}

// quietScenarios are those in which nothing may be spread.
var quietScenarios = map[string]func(cluster *clusterModel){
	"calm": func(*clusterModel) {},
	"zipf": func(cluster *clusterModel) { // the first key has 2.5% of the load
		var upTo []float64
		sum := 0.0
		for k := range 5000 {
			sum += math.Pow(float64(k+1), -0.7)
			upTo = append(upTo, sum)
		}
		cluster.drawKey = func() uint64 {
			k, _ := slices.BinarySearch(upTo, cluster.rng.Float64()*sum)
			return uint64(k + 1)
		}
	},
	"scan": func(cluster *clusterModel) {
		next := uint64(0)
		cluster.drawKey = func() uint64 { next++; return next / 4 } // each a few times
	},
	"lukewarm": func(cluster *clusterModel) {
		for k := range uint64(10) {
			cluster.hotShares[k+1] = 0.85 * detectionThreshold
		}
	},
	"full": func(cluster *clusterModel) {
		cluster.requestRate, cluster.hotShares[1], cluster.hotShares[2] = 5700, 0.15, 0.1
	},
	"nonsense": func(cluster *clusterModel) { // one sidecar says what it likes
		n := uint64(0)
		cluster.corruptReport = func(r *placement.LoadReport) {
			n++
			if len(r.HotKeys) == 0 {
				return
			}
			switch n % 6 {
			case 0: // all else as it is
				r.HotKeys[0].Load = math.NaN()
			case 1:
				r.HotKeys[0].Load, r.HotKeys[0].ErrorBound = -1e9, -2e9
			case 2: // more than all together
				r.HotKeys[0].Load, r.HotKeys[0].ErrorBound = 1e9, 0
			case 3: // more than any sidecar has
				r.HotKeys, r.TotalKeyLoad = []placement.KeyLoad{{KeyHash: FormatKey(hotKey), Load: 1e12}}, 1e12
			case 4: // just what passes
				r.HotKeys, r.TotalKeyLoad = []placement.KeyLoad{{KeyHash: FormatKey(1<<32 + 1), Load: 3500}}, 3500
			case 5: // ever new keys
				r.HotKeys = r.HotKeys[:0]
				for i := range uint64(placement.MaxHotKeys) {
					r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: FormatKey(n*100 + i), Load: 100})
				}
				r.TotalKeyLoad = 3200
			}
		}
	},
}

// staysQuiet tells whether nothing was spread in a world.
func staysQuiet(t testing.TB, sidecarCount int, scenario string, seed uint64, plantBug func(*Planner)) bool {
	cluster := newClusterModel(t, sidecarCount, seed, testConfig())
	cluster.plantBug = plantBug
	cluster.startPlanner()
	quietScenarios[scenario](cluster)
	cluster.run(8, func() bool { return len(cluster.timesReplicated) > 0 })
	return len(cluster.timesReplicated) == 0
}

func TestNoReplicationWithoutHotKey(t *testing.T) {
	t.Parallel()
	for name := range quietScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				if !staysQuiet(t, fewSidecars, name, seed, nil) {
					t.Errorf("seed %d: spread", seed)
				}
			}
		})
	}
}

// isDetected tells whether a key of a multiple of the brink is spread within 6 s.
func isDetected(t testing.TB, sidecarCount int, seed uint64, multiple float64) bool {
	cluster := newClusterModel(t, sidecarCount, seed, testConfig())
	cluster.run(2, nil)
	cluster.hotShares[hotKey] = multiple * detectionThreshold
	cluster.run(6, func() bool { return cluster.timesReplicated[hotKey] > 0 })
	return cluster.timesReplicated[hotKey] > 0
}

func TestHotKeysAreDetected(t *testing.T) {
	t.Parallel()
	for seed, multiple := range []float64{1.4, 1.7, 2, 4} {
		if !isDetected(t, fewSidecars, uint64(seed), multiple) {
			t.Errorf("%v times the brink: not found", multiple)
		}
	}
}

func TestMovingHotKey(t *testing.T) {
	t.Parallel()
	cluster := newClusterModel(t, fewSidecars, 1, testConfig())
	for turn := range 6 { // among three keys, 3 s each
		key := uint64(turn%3 + 1)
		clear(cluster.hotShares)
		cluster.hotShares[key] = 0.3
		cluster.run(3, nil)
		if _, active := cluster.replicatedShare(key); active < 10 {
			t.Errorf("turn %d: %d copies carry", turn, active)
		}
	}
	cluster.checkInvariants("moves")
	if cluster.replicasStarted > 3*130 || cluster.timesReplicated[1] > 1 {
		t.Errorf("%d copies were begun, %d times for the first key: what was warm is not used again", cluster.replicasStarted, cluster.timesReplicated[1])
	}
	for key := range uint64(8) { // and to ever new ones
		clear(cluster.hotShares)
		cluster.hotShares[key+100] = 0.3
		cluster.run(3, nil)
		if _, active := cluster.replicatedShare(key + 100); active < 10 {
			t.Errorf("new key %d: %d copies carry", key, active)
		}
	}
	cluster.checkInvariants("moves on")
	clear(cluster.hotShares)
	cluster.run(60, func() bool { return len(cluster.published) == 0 })
	if len(cluster.published) != 0 {
		t.Errorf("%d keys are spread 60 s after the last heat", len(cluster.published))
	}
}

// A key about as hot as where it is widened is not widened and narrowed in turn.
func replicasStartedAtThreshold(t testing.TB, config Config) int {
	cluster := newClusterModel(t, fewSidecars, 1, config)
	cluster.hotShares[hotKey] = 1.5 * detectionThreshold
	cluster.run(25, nil)
	return cluster.replicasStarted
}

func TestNoFlapping(t *testing.T) {
	t.Parallel()
	if n := replicasStartedAtThreshold(t, testConfig()); n > 30 {
		t.Errorf("%d copies were begun", n)
	}
}

func TestPlannerFailsDuringWarmup(t *testing.T) {
	t.Parallel()
	cluster, _, _ := playOnset(t, fewSidecars, 1, testConfig(), 1.3)
	if cluster.planner.keys[hotKey] == nil || cluster.planner.keys[hotKey].countIn(Warming) == 0 {
		t.Fatal("none is warming")
	}
	cluster.plannerDown = true
	cluster.run(2, nil)
	cluster.startPlanner()
	cluster.run(0.3, nil)
	if _, active := cluster.replicatedShare(hotKey); active > 0 && cluster.prematureShares > 0 {
		t.Error("the successor gives shares before it has seen answers")
	}
	cluster.run(4, nil)
	if _, active := cluster.replicatedShare(hotKey); active < 20 {
		t.Errorf("%d copies carry after it", active)
	}
	share, _ := cluster.replicatedShare(hotKey)
	cluster.plannerDown = true // while they carry
	cluster.run(1, nil)
	cluster.startPlanner()
	cluster.run(0.5, nil)
	if now, _ := cluster.replicatedShare(hotKey); now < 0.9*share {
		t.Errorf("the successor lets %v of the load be carried, of %v", now, share)
	}
	cluster.checkInvariants("takeover")
	cluster.plannerDown = true // and nobody comes
	cluster.run(cluster.config.DirectiveTTL+0.2, nil)
	if len(cluster.published) > 0 {
		t.Error("an entry outlives its end")
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
		t.Errorf("%.2f s to copies that carry", elapsed)
	}
	cluster.run(15, nil)
	if _, n := cluster.replicatedShare(hotKey); n < 40 || n > 120 {
		t.Errorf("%d copies carry", n)
	}
	cluster.checkInvariants("half lost")
	cluster.lostReports = 1
	before, _ := cluster.replicatedShare(hotKey)
	cluster.run(8, nil) // silence is no news
	if share, _ := cluster.replicatedShare(hotKey); share < before-0.01 {
		t.Errorf("in silence %v of the load is carried, of %v", share, before)
	}
}

// A nonsense reporter beside a true hot key neither hides it nor keeps it wide once its heat is over.
func TestInvalidReportsBesideHotKey(t *testing.T) {
	t.Parallel()
	cluster := newClusterModel(t, fewSidecars, 3, testConfig())
	cluster.corruptReport = func(r *placement.LoadReport) {
		r.HotKeys, r.TotalKeyLoad = []placement.KeyLoad{{KeyHash: FormatKey(hotKey), Load: 3000}, {KeyHash: FormatKey(1<<32 + 1), Load: 12000}}, 15000
	}
	cluster.run(2, nil)
	cluster.hotShares[hotKey] = 1.5 * detectionThreshold
	if cluster.run(6, nil); cluster.timesReplicated[hotKey] == 0 {
		t.Error("what the one says of another key hides this")
	}
	cluster.hotShares[hotKey] = 0.3
	cluster.run(6, nil)
	if _, n := cluster.replicatedShare(hotKey); n < 30 || n > 110 {
		t.Errorf("%d copies carry", n)
	}
	clear(cluster.hotShares)
	cluster.run(60, func() bool { return len(cluster.published) == 0 })
	if len(cluster.published) > 0 {
		t.Error("still spread")
	}
	cluster.checkInvariants("nonsense")
}

// All copies of a key that needs few stand on servers that are drained, then lost, while all sidecars restart.
func TestActiveReplicasDrainedThenLost(t *testing.T) {
	t.Parallel()
	cluster := newClusterModel(t, fewSidecars, 2, testConfig())
	cluster.hotShares[hotKey] = 2.5 * detectionThreshold
	cluster.run(8, nil)
	var previousServers []string
	for _, c := range cluster.published[hotKey].Copies {
		previousServers = append(previousServers, c.ServerUID)
		if cluster.planner.Drained(c.ServerUID) {
			t.Fatalf("%s may go unasked", c.ServerUID)
		}
	}
	before, _ := cluster.replicatedShare(hotKey)
	if len(previousServers) == 0 || before == 0 {
		t.Fatal("nothing is spread")
	}
	for i, c := range cluster.sidecars {
		c.name, c.sketch = fmt.Sprint(c.name, " again"), newSketch(cluster.config)
		c.nextReport = cluster.now + 1 + float64(i)/fewSidecars
	}
	for _, uid := range previousServers {
		cluster.planner.StartDrain(uid)
	}
	drained := func() bool {
		return !slices.ContainsFunc(previousServers, func(uid string) bool { return !cluster.planner.Drained(uid) })
	}
	cluster.run(20, func() bool {
		if share, _ := cluster.replicatedShare(hotKey); share < 0.7*before {
			t.Errorf("%.2f s: %v of the load is carried, of %v", cluster.now, share, before)
		}
		return t.Failed() || drained()
	})
	if !drained() {
		t.Fatalf("the servers may not go: %+v", cluster.planner.Status())
	}
	for _, uid := range previousServers { // and now lost, with half of the new ones
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
		t.Errorf("%v of the load is carried again, of %v", share, before)
	}
	cluster.checkInvariants("drained, lost")
}

func TestZoneLossAndExcludedServers(t *testing.T) {
	t.Parallel()
	cluster, _, _ := playOnset(t, fewSidecars, 1, testConfig(), 8)
	zones := map[string]int{}
	for _, c := range cluster.published[hotKey].Copies {
		zones[cluster.servers[cluster.serverIndex(c.ServerUID)].Zone]++
	}
	if len(zones) != 3 || slices.Max([]int{zones["z0"], zones["z1"], zones["z2"]}) > len(cluster.published[hotKey].Copies)/2 {
		t.Errorf("copies by zone: %v", zones)
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
		t.Errorf("%d copies carry %v", n, share)
	}
	for _, c := range cluster.published[hotKey].Copies {
		if s := cluster.servers[cluster.serverIndex(c.ServerUID)]; !previousServers[c.ServerUID] && (s.Overloaded || s.WarmingUp) {
			t.Errorf("a new copy on %+v", s)
		}
	}
	cluster.checkInvariants("lost zone")
}

// Each planted bug is found by what tests the rule.
func TestDetectsPlantedBugs(t *testing.T) {
	t.Parallel()
	t.Run("widen by the upper bound", func(t *testing.T) {
		t.Parallel()
		plantBug := func(d *Planner) {
			d.scaleUpLoad = func(k uint64) float64 {
				if d.loads.sumOf(k) == nil {
					return 0
				}
				return d.loads.upperBound(k, true)
			}
		}
		if staysQuiet(t, fewSidecars, "lukewarm", 0, plantBug) && staysQuiet(t, fewSidecars, "nonsense", 0, plantBug) {
			t.Error("not found")
		}
	})
	t.Run("no hysteresis", func(t *testing.T) {
		t.Parallel()
		config := testConfig()
		config.ScaleDownUtilization, config.ScaleDownStabilization, config.ScaleDownInterval, config.RetirePeriod = 1.3, 0, 0, 0
		if n := replicasStartedAtThreshold(t, config); n <= 30 {
			t.Errorf("not found: %d copies were begun", n)
		}
	})
	t.Run("share before it is warm", func(t *testing.T) {
		t.Parallel()
		cluster := newClusterModel(t, fewSidecars, 1, testConfig())
		cluster.corruptPlanner = func(d *Planner) {
			for _, k := range d.keys {
				for _, c := range k.replicas {
					c.inheritedShare = 1
				}
			}
		}
		cluster.hotShares[hotKey] = 1.2 * detectionThreshold
		if cluster.run(6, nil); cluster.prematureShares == 0 {
			t.Error("not found")
		}
	})
	t.Run("budget for each key", func(t *testing.T) {
		t.Parallel()
		playHotKeys := func(config Config) *clusterModel {
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
		playHotKeys(config).checkInvariants("one budget")
		config.WarmupBudget = 4 * 0.005
		if cluster := playHotKeys(config); !cluster.budgetExceeded {
			t.Errorf("not found: %v ms in %v s", cluster.plannedWarmupWork, cluster.now)
		}
	})
}
