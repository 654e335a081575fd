package sim

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"milldeck/internal/lab"
)

// runHotKeyExperiment plays experiments/hot-key-sim.toml, short and with changes.
func runHotKeyExperiment(t *testing.T, file string, workers int, change ...string) *lab.Result {
	t.Helper()
	data, err := os.ReadFile("../../../experiments/" + file)
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
	f, err := lab.Parse(file, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r, _, err := Run(t.Context(), f.NewPlan(1), Options{Workers: workers})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const shortDuration = "duration_s = 9"

func TestHotKeyIsSpread(t *testing.T) {
	t.Parallel()
	on := runHotKeyExperiment(t, "hot-key-sim.toml", 2, "duration_s = 30", shortDuration)
	off := runHotKeyExperiment(t, "hot-key-sim.toml", 2, "duration_s = 30", shortDuration, "on = true", "on = false")
	if f := on.Metrics; f["hot_found"] != 1 || f["spread_never_hot"] != 0 || f["hot_carried_most_ms"] > 2500 || on.ViolationCount > 0 {
		t.Errorf("%v, rules %v", f, on.ViolationsByRule)
	}
	if on.WeightedServedShare < off.WeightedServedShare+0.02 {
		t.Errorf("worth %v, without %v", on.WeightedServedShare, off.WeightedServedShare)
	}
	again, err := json.Marshal(runHotKeyExperiment(t, "hot-key-sim.toml", 1, "duration_s = 30", shortDuration))
	if err != nil {
		t.Fatal(err)
	}
	if first, _ := json.Marshal(on); string(first) != string(again) {
		t.Error("another number of workers, another result")
	}
}

// Half of the reports are lost, sidecars lie, and nobody decides while copies warm; the successor goes on.
func TestHotKeyUnderFaults(t *testing.T) {
	t.Parallel()
	faults := `
[[fault]]
kind = "reports-lost"
part = 0.5
at_s = 0
for_s = 9

[[fault]]
kind = "reports-lie"
target = "sidecars"
share = 0.01
at_s = 0
for_s = 9

[[fault]]
kind = "decider-down"
at_s = 6
for_s = 1.5

[[phase]]`
	r := runHotKeyExperiment(t, "hot-key-sim.toml", 2, "duration_s = 30", "duration_s = 13", "rate = 1400", "rate = 1200", "[[phase]]", faults)
	if f := r.Metrics; f["hot_found"] != 1 || f["spread_never_hot"] != 0 || r.ViolationCount > 0 {
		t.Errorf("%v, rules %v", f, r.ViolationsByRule)
	}
}

func TestDefectiveHotKeyControllerIsDetected(t *testing.T) {
	t.Parallel()
	if r := runHotKeyExperiment(t, "hot-key-sim-broken.toml", 2); r.ViolationsByRule[lab.RuleHotKeyCost] == 0 {
		t.Errorf("rules %v, %v", r.ViolationsByRule, r.Metrics)
	}
}
