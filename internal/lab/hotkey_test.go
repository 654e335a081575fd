package lab

import (
	"os"
	"strings"
	"testing"
)

func parseHotKeyExperiment(t *testing.T, replacements ...string) (*Experiment, error) {
	t.Helper()
	data, err := os.ReadFile("../../experiments/hot-key-sim.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			t.Fatalf("the experiment does not contain %q", replacements[i])
		}
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return Parse("hot-key-sim.toml", []byte(text))
}

// TestHotKeyPeriods checks that clients request a hot key only within its period, with its share of all requests.
func TestHotKeyPeriods(t *testing.T) {
	experiment, err := parseHotKeyExperiment(t, "\npart = 0.3", "\npart = 0.3\nevery_s = 5")
	if err != nil {
		t.Fatal(err)
	}
	plan := experiment.NewPlan(3)
	periods := plan.hotKeyPeriods()
	if len(periods) != 5 || len(plan.HotKeys()) != 5 {
		t.Fatalf("%d periods with %d keys, want 5 with 5", len(periods), len(plan.HotKeys()))
	}
	totals, hot := make([]float64, 6), make([]float64, 6)
	for arrivals := plan.Arrivals(); ; {
		arrival, more := arrivals.Next()
		if !more {
			break
		}
		i := int(arrival.StartMS / 5000)
		totals[i]++
		if plan.HotKeys()[arrival.Key] {
			if period := periods[max(i, 1)-1]; period.key != arrival.Key || arrival.StartMS < period.from || arrival.StartMS > period.to {
				t.Fatalf("%v ms: the key is not hot at this time", arrival.StartMS)
			}
			hot[i]++
		}
	}
	for i, n := range hot {
		if share := n / totals[i]; i == 0 && n > 0 || i > 0 && (share < 0.27 || share > 0.33) {
			t.Errorf("%d s: the hot key has a share of %.3f of the requests", 5*i, share)
		}
	}
	if steady := experiment.WithoutHotKeys().NewPlan(3); len(steady.hotKeyPeriods()) != 0 || steady.Experiment.Phases[1].Kind != "steady" {
		t.Error("the experiment without hot keys still has hot phases")
	}
}

func TestInvalidHotKeySpecIsReportedWithKey(t *testing.T) {
	for _, c := range []struct{ old, now, key string }{
		{"\npart = 0.3", "\npart = 0\n", "part"},
		{"on = true", "on = true\noracle = true", "oracle"},
		{"on = true", "on = true\nbudget = 2", "budget"},
		{"on = true", "on = true\nfoo = 2", "foo"},
		{"[[phase]]", "[[fault]]\nkind = \"decider-down\"\n[[phase]]", "for_s"},
		{"[[phase]]", "[[fault]]\nkind = \"reports-lost\"\nfor_s = 1\n[[phase]]", "part"},
		{"[[phase]]", "[[fault]]\nkind = \"reports-lie\"\ntarget = \"servers\"\nfor_s = 1\n[[phase]]", "target"},
	} {
		if _, err := parseHotKeyExperiment(t, c.old, c.now); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%q: %v", c.now, err)
		}
	}
}

// TestHotKeyChecker checks that the checker counts only the replicas in the placement and the warm-up work at these
// replicas, and reports a violation once either exceeds its limit.
func TestHotKeyChecker(t *testing.T) {
	experiment, err := parseHotKeyExperiment(t, "count = 40", "count = 5")
	if err != nil {
		t.Fatal(err)
	}
	const key, allowedMS = 7, 30 * 120 // about the warm-up work in ms that the checker allows a small fleet at once
	plan := experiment.NewPlan(1)
	completeJob := func(hotKeyChecker *HotKeyChecker, at float64, server int, extra float64, cacheHit bool) {
		hotKeyChecker.JobCompleted(server, &JobCompletion{Job: Job{Key: key, Attempt: 1}, EffectApplied: true, CacheHit: cacheHit, ActualWorkMS: extra / 0.45, At: at})
	}
	for _, c := range []struct {
		name    string
		observe func(hotKeyChecker *HotKeyChecker)
		want    int
	}{
		{"within the limit", func(hotKeyChecker *HotKeyChecker) { completeJob(hotKeyChecker, 10, 1, 0.9*allowedMS, false) }, 0},
		{"too much at once", func(hotKeyChecker *HotKeyChecker) {
			for range 4 {
				completeJob(hotKeyChecker, 10, 1, 0.4*allowedMS, false)
			}
		}, 1},
		{"the same over four seconds", func(hotKeyChecker *HotKeyChecker) {
			for i := range 4 {
				completeJob(hotKeyChecker, 10+1000*float64(i), 1, 0.4*allowedMS, false)
			}
		}, 0},
		{"at a server that is no replica", func(hotKeyChecker *HotKeyChecker) { completeJob(hotKeyChecker, 10, 0, 9*allowedMS, false) }, 0},
		{"from the cache", func(hotKeyChecker *HotKeyChecker) { completeJob(hotKeyChecker, 10, 1, 9*allowedMS, true) }, 0},
		{"just removed from the placement", func(hotKeyChecker *HotKeyChecker) {
			hotKeyChecker.PlacementChanged(5, key, nil)
			completeJob(hotKeyChecker, 10, 1, 9*allowedMS, false)
		}, 1},
		{"long removed from the placement", func(hotKeyChecker *HotKeyChecker) {
			hotKeyChecker.PlacementChanged(5, key, nil)
			completeJob(hotKeyChecker, 3000, 1, 9*allowedMS, false)
		}, 0},
		{"as many replicas as servers", func(hotKeyChecker *HotKeyChecker) {
			hotKeyChecker.PlacementChanged(5, key, map[int]float64{1: 0, 2: 0, 3: 0})
			hotKeyChecker.PlacementChanged(5, 8, map[int]float64{1: 0, 2: 0})
		}, 0},
		{"one replica more", func(hotKeyChecker *HotKeyChecker) {
			hotKeyChecker.PlacementChanged(5, key, map[int]float64{1: 0, 2: 0, 3: 0})
			hotKeyChecker.PlacementChanged(5, 8, map[int]float64{1: 0, 2: 0, 3: 0})
		}, 1},
	} {
		checker := NewChecker(plan, 0)
		hotKeyChecker := NewHotKeyChecker(plan, checker)
		hotKeyChecker.PlacementChanged(0, key, map[int]float64{1: 0.5, 2: 0})
		c.observe(hotKeyChecker)
		hotKeyChecker.PlacementWritten(10)
		if counts, _ := checker.Violations(); counts[RuleHotKeyCost] != c.want {
			t.Errorf("%s: %v", c.name, counts)
		}
	}
}
