package night

import (
	"flag"
	"testing"
)

var seedsFlag = flag.Uint64("seeds", 4, "seeded nights")

var small = Options{Sidecars: 40, Servers: 160}

func TestNights(t *testing.T) {
	for seed := range *seedsFlag {
		r := Run(seed, small)
		t.Logf("seed %d: %.0f s, broken %d %v, %v %v, kept %.0f s, fit %d held %d", seed, r.Seconds, r.Broken, r.Counts, r.Releases, r.Windows, r.KeptS, r.Fit, r.Held)
		for _, b := range r.First {
			t.Errorf("seed %d at %.1f s: %s: %s", seed, b.AtS, b.Rule, b.What)
		}
		if r.Broken > 0 && testing.Verbose() {
			for _, f := range r.Faults {
				t.Log(f)
			}
		}
	}
}
