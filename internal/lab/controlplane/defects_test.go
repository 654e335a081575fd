package controlplane

import (
	"testing"
	"time"
)

// requireViolation plays nights from a seed on until the judge finds one of the rules broken. Without the planted fault the same night breaks none.
func requireViolation(t *testing.T, options Options, firstSeed uint64, rules ...string) {
	t.Helper()
	const tries = 4
	options.StopAtFirstViolation = true
	for seed := firstSeed; seed < firstSeed+tries; seed++ {
		result := Run(seed, options)
		for _, rule := range rules {
			if result.ViolationsByRule[rule] == 0 {
				continue
			}
			t.Logf("seed %d: %+v", seed, result.FirstViolations[0])
			options.Defects = Defects{}
			if sound := Run(seed, options); sound.Violations > 0 {
				t.Errorf("seed %d breaks rules without the planted fault: %+v", seed, sound.FirstViolations)
			}
			return
		}
	}
	t.Errorf("no rule of %v was broken in %d nights", rules, tries)
}

func TestFindsGrantOnStaleReads(t *testing.T) {
	requireViolation(t, Options{Sidecars: smallFleet.Sidecars, Servers: smallFleet.Servers, NoFaults: true, Defects: Defects{StaleReads: true}}, 0, ruleBudget)
}

func TestFindsPermitCompletedByLeaseExpiry(t *testing.T) {
	requireViolation(t, Options{Sidecars: smallFleet.Sidecars, Servers: smallFleet.Servers, Defects: Defects{CompletePermitsOnLeaseExpiry: true}}, 13, ruleBudget)
}

// The controller's clock is four minutes ahead, and the hours open within that time.
func TestFindsHoursByControllerClock(t *testing.T) {
	requireViolation(t, Options{Sidecars: smallFleet.Sidecars, Servers: smallFleet.Servers, NoFaults: true, ControllerClockOffsetMS: 240_000, HoursOpenIn: 3 * time.Minute, HoursCloseIn: 4 * time.Hour,
		Defects: Defects{UseControllerClock: true}}, 0, ruleHours)
}

func TestFindsIgnoredFencingTokens(t *testing.T) {
	requireViolation(t, Options{Sidecars: smallFleet.Sidecars, Servers: smallFleet.Servers, Defects: Defects{IgnoreFencingTokens: true}}, 13, ruleBudget, ruleOnce, ruleStranded, ruleHours)
}

// The servers come back long after the close, up to which sidecars are told to keep off.
func TestFindsExclusionPastClose(t *testing.T) {
	requireViolation(t, Options{Sidecars: smallFleet.Sidecars, Servers: smallFleet.Servers, NoFaults: true, SlowReturn: true, HoursCloseIn: 25 * time.Minute, Defects: Defects{ExcludePastClose: true}}, 0, ruleHours)
}

func TestFindsDelayedReleaseWrites(t *testing.T) {
	requireViolation(t, Options{Sidecars: smallFleet.Sidecars, Servers: smallFleet.Servers, Defects: Defects{DelayReleaseWrites: true}}, 0, ruleBudget, ruleOnce, ruleStranded)
}
