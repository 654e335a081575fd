package controlplane

import (
	"flag"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var seedsFlag = flag.Uint64("seeds", 4, "number of seeds to simulate")

// smallFleet is a fleet whose simulation takes a fraction of a second.
var smallFleet = Options{Sidecars: 40, Servers: 160}

func TestSimulationsViolateNoRule(t *testing.T) {
	for seed := range *seedsFlag {
		result := Run(seed, smallFleet)
		for _, violation := range result.FirstViolations {
			t.Errorf("seed %d at %.1f s: %s: %s", seed, violation.AtS, violation.Rule, violation.Detail)
		}
		if result.CompletedWindows < result.FeasibleWindows {
			t.Errorf("seed %d: a feasible window was not completed: %v", seed, result.Windows)
		}
		if result.Violations > 0 {
			t.Logf("seed %d: faults %q", seed, result.Faults)
		}
	}
}

func TestSeedsThatOnceViolatedRules(t *testing.T) {
	tests := []struct {
		name string
		seed uint64
	}{
		{"permit of a sidecar never completed", 13},
		{"permit of a sidecar never completed, second seed", 32},
		{"lost lease", 112},
		{"restore across the withdrawal of a contract", 186},
		{"unit given up as it became ready", 348},
		{"drained server restarted by the platform", 409},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if result := Run(test.seed, smallFleet); result.Violations > 0 {
				t.Errorf("seed %d: %+v", test.seed, result.FirstViolations[0])
			}
		})
	}
}

func TestSameSeedSameResult(t *testing.T) {
	if diff := cmp.Diff(Run(7, smallFleet), Run(7, smallFleet)); diff != "" {
		t.Error(diff)
	}
}

// The release of a version with a regression is stopped early and rolled back. The release of a healthy version is completed.
func TestRolloutsWithAndWithoutRegression(t *testing.T) {
	for i := range Regressions {
		t.Run(Regressions[i].Name, func(t *testing.T) {
			result := RunRollout(uint64(i), &Regressions[i])
			if result.Phase != "backed" || result.UpgradedShare >= 0.1 || result.Violations > 0 {
				t.Errorf("%+v, want phase backed, less than a tenth upgraded and no violation", result)
			}
		})
	}
	t.Run("healthy", func(t *testing.T) {
		if result := RunRollout(1, nil); result.Phase != "done" || result.Violations > 0 {
			t.Errorf("%+v, want phase done and no violation", result)
		}
	})
}

// The state of a backup or a partitioned replica equals the state from which it was cloned, and is independent of it.
func TestClonedStateIsIndependent(t *testing.T) {
	cluster := newCluster(5, Options{Sidecars: 16, Servers: 160, StartMS: 1_780_000_000_000})
	clone := cluster.registry.clone()
	if diff := cmp.Diff(cluster.registry.ledger.Snapshot(), clone.ledger.Snapshot()); diff != "" {
		t.Error(diff)
	}
	before := clone.ledger.Revision()
	cluster.registry.revision++
	cluster.registry.ledger.Freeze(cluster.registry.revision, "test")
	if clone.ledger.Revision() != before {
		t.Error("the clone changes with its source")
	}
}
