package hotkey

import (
	"math"
	"slices"
	"testing"

	"milldeck/internal/placement"
)

// noHotKeyScenarios are the scenarios in which no key may be replicated.
var noHotKeyScenarios = map[string]func(cluster *clusterModel){
	"calm": func(*clusterModel) {},
	"zipf": func(cluster *clusterModel) { // the first key has 2.5% of the load
		var cumulativeWeights []float64
		sum := 0.0
		for k := range 5000 {
			sum += math.Pow(float64(k+1), -0.7)
			cumulativeWeights = append(cumulativeWeights, sum)
		}
		cluster.drawKey = func() uint64 {
			k, _ := slices.BinarySearch(cumulativeWeights, cluster.rng.Float64()*sum)
			return uint64(k + 1)
		}
	},
	"scan": func(cluster *clusterModel) {
		next := uint64(0)
		cluster.drawKey = func() uint64 { next++; return next / 4 } // each key four times
	},
	"lukewarm": func(cluster *clusterModel) {
		for k := range uint64(10) {
			cluster.hotShares[k+1] = 0.85 * detectionThreshold
		}
	},
	"full": func(cluster *clusterModel) {
		cluster.requestRate, cluster.hotShares[1], cluster.hotShares[2] = 5700, 0.15, 0.1
	},
	"invalid reports": func(cluster *clusterModel) { // from one sidecar
		n := uint64(0)
		cluster.corruptReport = func(r *placement.LoadReport) {
			n++
			if len(r.HotKeys) == 0 {
				return
			}
			switch n % 6 {
			case 0: // everything else is valid
				r.HotKeys[0].Load = math.NaN()
			case 1:
				r.HotKeys[0].Load, r.HotKeys[0].ErrorBound = -1e9, -2e9
			case 2: // a load above the total
				r.HotKeys[0].Load, r.HotKeys[0].ErrorBound = 1e9, 0
			case 3: // a load above that of any other sidecar
				r.HotKeys, r.TotalKeyLoad = []placement.KeyLoad{{KeyHash: FormatKey(hotKey), Load: 1e12}}, 1e12
			case 4: // just below the limits
				r.HotKeys, r.TotalKeyLoad = []placement.KeyLoad{{KeyHash: FormatKey(1<<32 + 1), Load: 3500}}, 3500
			case 5: // other keys in each report
				r.HotKeys = r.HotKeys[:0]
				for i := range uint64(placement.MaxHotKeys) {
					r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: FormatKey(n*100 + i), Load: 100})
				}
				r.TotalKeyLoad = 3200
			}
		}
	},
}

// replicatesNoKey runs a scenario and reports whether no key was replicated.
func replicatesNoKey(t testing.TB, sidecarCount int, scenario string, seed uint64, injectDefect func(*Planner)) bool {
	cluster := newClusterModel(t, sidecarCount, seed, testConfig())
	cluster.injectDefect = injectDefect
	cluster.startPlanner()
	noHotKeyScenarios[scenario](cluster)
	cluster.run(8, func() bool { return len(cluster.timesReplicated) > 0 })
	return len(cluster.timesReplicated) == 0
}

func TestNoReplicationWithoutHotKey(t *testing.T) {
	t.Parallel()
	for name := range noHotKeyScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				if !replicatesNoKey(t, fewSidecars, name, seed, nil) {
					t.Errorf("seed %d: a key was replicated", seed)
				}
			}
		})
	}
}

// isDetected reports whether a key is replicated within 6 s of its share rising to a multiple of detectionThreshold.
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
			t.Errorf("a key at %v times the threshold was not detected", multiple)
		}
	}
}
