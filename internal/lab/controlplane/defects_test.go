package controlplane

import (
	"testing"
	"time"
)

// requireViolation simulates a few seeds until the checker detects a violation of one of the rules. The same seed without
// the injected defect must violate no rule.
func requireViolation(t *testing.T, options Options, firstSeed uint64, rules ...string) {
	t.Helper()
	const maxSeeds = 4
	options.Sidecars, options.Servers = smallFleet.Sidecars, smallFleet.Servers
	options.StopAtFirstViolation = true
	for seed := firstSeed; seed < firstSeed+maxSeeds; seed++ {
		result := Run(seed, options)
		if !violatesAny(result, rules) {
			continue
		}
		t.Logf("seed %d: %+v", seed, result.FirstViolations[0])
		options.Defects = Defects{}
		if withoutDefect := Run(seed, options); withoutDefect.Violations > 0 {
			t.Errorf("seed %d without the injected defect: violations %+v, want none", seed, withoutDefect.FirstViolations)
		}
		return
	}
	t.Errorf("seeds %d to %d: no violation of %v", firstSeed, firstSeed+maxSeeds-1, rules)
}

func violatesAny(result *Result, rules []string) bool {
	for _, rule := range rules {
		if result.ViolationsByRule[rule] > 0 {
			return true
		}
	}
	return false
}

func TestFindsGrantOnStaleReads(t *testing.T) {
	options := Options{NoFaults: true, Defects: Defects{StaleReads: true}}
	requireViolation(t, options, 0, ruleBudget)
}

func TestFindsPermitCompletedByLeaseExpiry(t *testing.T) {
	options := Options{Defects: Defects{CompletePermitsOnLeaseExpiry: true}}
	requireViolation(t, options, 13, ruleBudget)
}

// The controller's clock is four minutes ahead and the approved hours open in three, so that a controller which evaluates the
// hours by its own clock excludes tenants before the hours open.
func TestFindsHoursByControllerClock(t *testing.T) {
	options := Options{
		NoFaults:                true,
		ControllerClockOffsetMS: 240_000,
		HoursOpenIn:             3 * time.Minute,
		HoursCloseIn:            4 * time.Hour,
		Defects:                 Defects{UseControllerClock: true},
	}
	requireViolation(t, options, 0, ruleApprovedHours)
}

func TestFindsIgnoredFencingTokens(t *testing.T) {
	options := Options{Defects: Defects{IgnoreFencingTokens: true}}
	requireViolation(t, options, 13, ruleBudget, ruleSingleStart, ruleStranded, ruleApprovedHours)
}

// The servers return long after the approved hours have closed. Sidecars must exclude the tenant only until the close; the
// defect lets exclusions expire later.
func TestFindsExclusionPastClose(t *testing.T) {
	options := Options{
		NoFaults:     true,
		SlowReturn:   true,
		HoursCloseIn: 25 * time.Minute,
		Defects:      Defects{ExcludePastClose: true},
	}
	requireViolation(t, options, 0, ruleApprovedHours)
}

func TestFindsDelayedReleaseWrites(t *testing.T) {
	options := Options{Defects: Defects{DelayReleaseWrites: true}}
	requireViolation(t, options, 0, ruleBudget, ruleSingleStart, ruleStranded)
}
