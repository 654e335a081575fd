package night

import (
	"testing"
	"time"
)

// finds plays nights until the judge breaks one of the rules. Without the planted fault the same night breaks none.
func finds(t *testing.T, opt Options, seeds uint64, rules ...string) {
	t.Helper()
	for seed := range seeds {
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
	t.Errorf("no rule of %v was broken in %d nights", rules, seeds)
}

func TestFindsGrantThatIsNotAtomic(t *testing.T) {
	finds(t, Options{Sidecars: 40, Servers: 160, Calm: true, Bugs: Bugs{Torn: true}}, 4, ruleBudget)
}

func TestFindsPermitFreedByALeasesEnd(t *testing.T) {
	finds(t, Options{Sidecars: 40, Servers: 160, Bugs: Bugs{LeaseFrees: true}}, 40, ruleBudget)
}

// The controller's clock is four minutes ahead, and the hours open within that time.
func TestFindsHoursLookedUpBeforeTheLog(t *testing.T) {
	finds(t, Options{Sidecars: 40, Servers: 160, Calm: true, ClockOff: 240_000, OpenIn: 3 * time.Minute, CloseIn: 4 * time.Hour,
		Bugs: Bugs{EarlyHours: true}}, 4, ruleHours)
}

func TestFindsTokenThatIsNotLookedAt(t *testing.T) {
	finds(t, Options{Sidecars: 40, Servers: 160, Bugs: Bugs{NoToken: true}}, 60, ruleBudget, ruleOnce, ruleStranded, ruleHours)
}

// The servers come back long after the close, up to which sidecars are told to keep off.
func TestFindsEndPastTheClose(t *testing.T) {
	finds(t, Options{Sidecars: 40, Servers: 160, Calm: true, SlowReturn: true, CloseIn: 25 * time.Minute, Bugs: Bugs{PastClose: true}}, 4, ruleHours)
}

func TestFindsStepWrittenAfterItIsDone(t *testing.T) {
	finds(t, Options{Sidecars: 40, Servers: 160, Bugs: Bugs{WrittenAfter: true}}, 40, ruleBudget, ruleOnce, ruleStranded)
}
