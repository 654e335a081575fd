package lab

import (
	"os"
	"strings"
	"testing"
)

func parseHotKeyExperiment(t *testing.T, change ...string) (*Experiment, error) {
	t.Helper()
	data, err := os.ReadFile("../../experiments/hot-key-sim.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for i := 0; i < len(change); i += 2 {
		if !strings.Contains(text, change[i]) {
			t.Fatalf("no %q", change[i])
		}
		text = strings.Replace(text, change[i], change[i+1], 1)
	}
	return Parse("hot-key-sim.toml", []byte(text))
}

// The times of hot keys are those that arrivals have.
func TestHotKeyPeriods(t *testing.T) {
	f, err := parseHotKeyExperiment(t, "\npart = 0.3", "\npart = 0.3\nevery_s = 5")
	if err != nil {
		t.Fatal(err)
	}
	p := f.NewPlan(3)
	times := p.hotKeyPeriods()
	if len(times) != 5 || len(p.HotKeys()) != 5 {
		t.Fatalf("%d times, %d keys", len(times), len(p.HotKeys()))
	}
	all, hot := make([]float64, 6), make([]float64, 6)
	for from := p.Arrivals(); ; {
		a, more := from.Next()
		if !more {
			break
		}
		i := int(a.StartMS / 5000)
		all[i]++
		if p.HotKeys()[a.Key] {
			if h := times[max(i, 1)-1]; h.key != a.Key || a.StartMS < h.from || a.StartMS > h.to {
				t.Fatalf("%v ms: hot at another time", a.StartMS)
			}
			hot[i]++
		}
	}
	for i, n := range hot {
		if part := n / all[i]; i == 0 && n > 0 || i > 0 && (part < 0.27 || part > 0.33) {
			t.Errorf("%d s: %.3f of the requests", 5*i, part)
		}
	}
	if calm := f.WithoutHotKeys().NewPlan(3); len(calm.hotKeyPeriods()) != 0 || calm.Experiment.Phases[1].Kind != "steady" {
		t.Error("calm is not")
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

// The judge counts cold work at servers that the placement made carry, and copies; nothing else.
func TestHotKeyChecker(t *testing.T) {
	f, err := parseHotKeyExperiment(t, "count = 40", "count = 5")
	if err != nil {
		t.Fatal(err)
	}
	const key, paid = 7, 30 * 120 // ms of extra cold work that a small fleet may have at once, about
	p := f.NewPlan(1)
	run := func(s *HotKeyChecker, at float64, server int, extra float64, met bool) {
		s.JobCompleted(server, &JobCompletion{Job: Job{Key: key, Attempt: 1}, EffectApplied: true, CacheHit: met, ActualWorkMS: extra / 0.45, At: at})
	}
	for _, c := range []struct {
		name string
		do   func(s *HotKeyChecker)
		want int
	}{
		{"paid for", func(s *HotKeyChecker) { run(s, 10, 1, 0.9*paid, false) }, 0},
		{"too much at once", func(s *HotKeyChecker) {
			for range 4 {
				run(s, 10, 1, 0.4*paid, false)
			}
		}, 1},
		{"the same over four seconds", func(s *HotKeyChecker) {
			for i := range 4 {
				run(s, 10+1000*float64(i), 1, 0.4*paid, false)
			}
		}, 0},
		{"of its own servers", func(s *HotKeyChecker) { run(s, 10, 0, 9*paid, false) }, 0},
		{"warm", func(s *HotKeyChecker) { run(s, 10, 1, 9*paid, true) }, 0},
		{"just given up", func(s *HotKeyChecker) { s.PlacementChanged(5, key, nil); run(s, 10, 1, 9*paid, false) }, 1},
		{"long given up", func(s *HotKeyChecker) { s.PlacementChanged(5, key, nil); run(s, 3000, 1, 9*paid, false) }, 0},
		{"as many copies as servers", func(s *HotKeyChecker) {
			s.PlacementChanged(5, key, map[int]float64{1: 0, 2: 0, 3: 0})
			s.PlacementChanged(5, 8, map[int]float64{1: 0, 2: 0})
		}, 0},
		{"one more", func(s *HotKeyChecker) {
			s.PlacementChanged(5, key, map[int]float64{1: 0, 2: 0, 3: 0})
			s.PlacementChanged(5, 8, map[int]float64{1: 0, 2: 0, 3: 0})
		}, 1},
	} {
		j := NewChecker(p, 0)
		s := NewHotKeyChecker(p, j)
		s.PlacementChanged(0, key, map[int]float64{1: 0.5, 2: 0})
		c.do(s)
		s.PlacementWritten(10)
		if counts, _ := j.Violations(); counts[RuleHotKeyCost] != c.want {
			t.Errorf("%s: %v", c.name, counts)
		}
	}
}
