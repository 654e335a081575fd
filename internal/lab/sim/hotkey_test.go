package sim

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"milldeck/internal/lab"
)

// runHotKeyExperiment simulates an experiment after replacing texts in its file, given as pairs of old and new text.
func runHotKeyExperiment(t *testing.T, file string, workers int, change ...string) *lab.Result {
	t.Helper()
	data, err := os.ReadFile("../../../experiments/" + file)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for i := 0; i < len(change); i += 2 {
		if !strings.Contains(text, change[i]) {
			t.Fatalf("the experiment file has no text %q", change[i])
		}
		text = strings.Replace(text, change[i], change[i+1], 1)
	}
	experiment, err := lab.Parse(file, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	result, _, err := Run(t.Context(), experiment.NewPlan(1), Options{Workers: workers})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

const shortDuration = "duration_s = 9"

func TestHotKeyIsSpread(t *testing.T) {
	t.Parallel()
	enabled := runHotKeyExperiment(t, "hot-key-sim.toml", 2, "duration_s = 30", shortDuration)
	disabled := runHotKeyExperiment(t, "hot-key-sim.toml", 2, "duration_s = 30", shortDuration, "on = true", "on = false")
	if metrics := enabled.Metrics; metrics["hot_found"] != 1 || metrics["spread_never_hot"] != 0 ||
		metrics["hot_carried_most_ms"] > 2500 || enabled.ViolationCount > 0 {
		t.Errorf("metrics %v, violations %v", metrics, enabled.ViolationsByRule)
	}
	if enabled.WeightedServedShare < disabled.WeightedServedShare+0.02 {
		t.Errorf("weighted served share %v, without the controller %v", enabled.WeightedServedShare, disabled.WeightedServedShare)
	}
	again, err := json.Marshal(runHotKeyExperiment(t, "hot-key-sim.toml", 1, "duration_s = 30", shortDuration))
	if err != nil {
		t.Fatal(err)
	}
	if first, _ := json.Marshal(enabled); string(first) != string(again) {
		t.Error("the result depends on the number of workers")
	}
}

// TestHotKeyUnderFaults checks that the controller finds the hot key, replicates no other key and violates no rule while
// half of the load reports are lost, sidecars send false reports and the controller fails over as replicas warm up.
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
	result := runHotKeyExperiment(t, "hot-key-sim.toml", 2, "duration_s = 30", "duration_s = 13", "rate = 1400", "rate = 1200", "[[phase]]", faults)
	if metrics := result.Metrics; metrics["hot_found"] != 1 || metrics["spread_never_hot"] != 0 || result.ViolationCount > 0 {
		t.Errorf("metrics %v, violations %v", metrics, result.ViolationsByRule)
	}
}

func TestDefectiveHotKeyControllerIsDetected(t *testing.T) {
	t.Parallel()
	if result := runHotKeyExperiment(t, "hot-key-sim-broken.toml", 2); result.ViolationsByRule[lab.RuleHotKeyCost] == 0 {
		t.Errorf("violations %v, metrics %v", result.ViolationsByRule, result.Metrics)
	}
}
