package controlplane

import (
	"testing"
	"time"
)

// finds plays nights from a seed on until the judge finds one of the rules broken. Without the planted fault the same night breaks none.
func finds(t *testing.T, opt Options, first uint64, rules ...string) {
	t.Helper()
	const tries = 4
	opt.First = true
	for seed := first; seed < first+tries; seed++ {
		r := Run(seed, opt)
		for _, rule := range rules {
			if r.Counts[rule] == 0 {
				continue
			}
			t.Logf("seed %d: %+v", seed, r.First[0])
			opt.Bugs = Bugs{}
			if sound := Run(seed, opt); sound.Broken > 0 {
				t.Errorf("seed %d breaks rules without the planted fault: %+v", seed, sound.First)
			}
			return
		}
	}
	t.Errorf("no rule of %v was broken in %d nights", rules, tries)
}

func TestFindsGrantThatIsNotAtomic(t *testing.T) {
	finds(t, Options{Sidecars: small.Sidecars, Servers: small.Servers, Calm: true, Bugs: Bugs{Torn: true}}, 0, ruleBudget)
}

func TestFindsPermitFreedByALeasesEnd(t *testing.T) {
	finds(t, Options{Sidecars: small.Sidecars, Servers: small.Servers, Bugs: Bugs{LeaseFrees: true}}, 13, ruleBudget)
}

// The controller's clock is four minutes ahead, and the hours open within that time.
func TestFindsHoursLookedUpBeforeTheLog(t *testing.T) {
	finds(t, Options{Sidecars: small.Sidecars, Servers: small.Servers, Calm: true, ClockOff: 240_000, OpenIn: 3 * time.Minute, CloseIn: 4 * time.Hour,
		Bugs: Bugs{EarlyHours: true}}, 0, ruleHours)
}

func TestFindsTokenThatIsNotLookedAt(t *testing.T) {
	finds(t, Options{Sidecars: small.Sidecars, Servers: small.Servers, Bugs: Bugs{NoToken: true}}, 13, ruleBudget, ruleOnce, ruleStranded, ruleHours)
}

// The servers come back long after the close, up to which sidecars are told to keep off.
func TestFindsEndPastTheClose(t *testing.T) {
	finds(t, Options{Sidecars: small.Sidecars, Servers: small.Servers, Calm: true, SlowReturn: true, CloseIn: 25 * time.Minute, Bugs: Bugs{PastClose: true}}, 0, ruleHours)
}

func TestFindsStepWrittenAfterItIsDone(t *testing.T) {
	finds(t, Options{Sidecars: small.Sidecars, Servers: small.Servers, Bugs: Bugs{WrittenAfter: true}}, 0, ruleBudget, ruleOnce, ruleStranded)
}
