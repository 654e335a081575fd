package controlplane

import (
	"flag"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var seedsFlag = flag.Uint64("seeds", 4, "seeded nights")

// small is a fleet that plays a night in a fraction of a second.
var small = Options{Sidecars: 40, Servers: 160}

func TestNightsBreakNoRule(t *testing.T) {
	for seed := range *seedsFlag {
		r := Run(seed, small)
		for _, b := range r.First {
			t.Errorf("seed %d at %.1f s: %s: %s", seed, b.AtS, b.Rule, b.What)
		}
		if r.Held < r.Fit {
			t.Errorf("seed %d: a window that could fit was not held: %v", seed, r.Windows)
		}
		if r.Broken > 0 {
			t.Logf("seed %d: %q", seed, r.Faults)
		}
	}
}

// Nights that once broke rules: a sidecar's permit that nothing settled (13, 32), a drained server that the platform
// started again (409), a lost duty (112), a restore across a withdrawal (186), a unit given up as it came up (348).
func TestNightsThatOnceBrokeRules(t *testing.T) {
	for _, seed := range []uint64{13, 32, 112, 186, 348, 409} {
		if r := Run(seed, small); r.Broken > 0 {
			t.Errorf("seed %d: %+v", seed, r.First[0])
		}
	}
}

func TestSameNightTwice(t *testing.T) {
	if diff := cmp.Diff(Run(7, small), Run(7, small)); diff != "" {
		t.Error(diff)
	}
}

// A harmful version is stopped early and goes back, a healthy one ends.
func TestReleasesWithAndWithoutHarm(t *testing.T) {
	for i := range Harms {
		r := Release(uint64(i), &Harms[i])
		if r.Phase != "backed" || r.Share >= 0.1 || r.Broken > 0 {
			t.Errorf("%s: %+v", r.Harm, r)
		}
	}
	if r := Release(1, nil); r.Phase != "done" || r.Broken > 0 {
		t.Errorf("a healthy version: %+v", r)
	}
}

// What a minority or a backup has is equal to the state, and its own.
func TestCopiedStateIsItsOwn(t *testing.T) {
	w := newWorld(5, Options{Sidecars: 16, Servers: 160, Start: 1_780_000_000_000})
	c := w.plane.copied()
	if diff := cmp.Diff(w.plane.ledger.Snapshot(), c.ledger.Snapshot()); diff != "" {
		t.Error(diff)
	}
	before := c.ledger.Revision()
	w.plane.rev++
	w.plane.ledger.Freeze(w.plane.rev, "test")
	if c.ledger.Revision() != before {
		t.Error("a copy changes with what it is of")
	}
}
