package controlplane

import (
	"flag"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var seedsFlag = flag.Uint64("seeds", 4, "seeded nights")

// smallFleet is a fleet that plays a night in a fraction of a second.
var smallFleet = Options{Sidecars: 40, Servers: 160}

func TestSimulationsViolateNoRule(t *testing.T) {
	for seed := range *seedsFlag {
		result := Run(seed, smallFleet)
		for _, violation := range result.FirstViolations {
			t.Errorf("seed %d at %.1f s: %s: %s", seed, violation.AtS, violation.Rule, violation.Detail)
		}
		if result.CompletedWindows < result.FeasibleWindows {
			t.Errorf("seed %d: a window that could fit was not held: %v", seed, result.Windows)
		}
		if result.Violations > 0 {
			t.Logf("seed %d: %q", seed, result.Faults)
		}
	}
}

// Nights that once broke rules: a sidecar's permit that nothing settled (13, 32), a drained server that the platform
// started again (409), a lost duty (112), a restore across a withdrawal (186), a unit given up as it came up (348).
func TestSeedsThatOnceViolatedRules(t *testing.T) {
	for _, seed := range []uint64{13, 32, 112, 186, 348, 409} {
		if result := Run(seed, smallFleet); result.Violations > 0 {
			t.Errorf("seed %d: %+v", seed, result.FirstViolations[0])
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	if diff := cmp.Diff(Run(7, smallFleet), Run(7, smallFleet)); diff != "" {
		t.Error(diff)
	}
}

// A harmful version is stopped early and goes back, a healthy one ends.
func TestRolloutsWithAndWithoutRegression(t *testing.T) {
	for i := range Regressions {
		result := RunRollout(uint64(i), &Regressions[i])
		if result.Phase != "backed" || result.UpgradedShare >= 0.1 || result.Violations > 0 {
			t.Errorf("%s: %+v", result.Regression, result)
		}
	}
	if result := RunRollout(1, nil); result.Phase != "done" || result.Violations > 0 {
		t.Errorf("a healthy version: %+v", result)
	}
}

// What a minority or a backup has is equal to the state, and its own.
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
		t.Error("a copy changes with what it is of")
	}
}
