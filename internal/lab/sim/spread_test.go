package sim

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"milldeck/internal/lab"
)

// hotKey plays experiments/hot-key-sim.toml, short and with changes.
func hotKey(t *testing.T, file string, workers int, change ...string) *lab.Result {
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
	r, _, err := Run(t.Context(), f.Draw(1), Options{Workers: workers})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const short = "duration_s = 9"

func TestHotKeyIsSpread(t *testing.T) {
	t.Parallel()
	on := hotKey(t, "hot-key-sim.toml", 2, "duration_s = 30", short)
	off := hotKey(t, "hot-key-sim.toml", 2, "duration_s = 30", short, "on = true", "on = false")
	if f := on.Figures; f["hot_found"] != 1 || f["spread_never_hot"] != 0 || f["hot_carried_most_ms"] > 2500 || on.BrokenRules > 0 {
		t.Errorf("%v, rules %v", f, on.RuleCounts)
	}
	if on.WorthShare < off.WorthShare+0.02 {
		t.Errorf("worth %v, without %v", on.WorthShare, off.WorthShare)
	}
	again, err := json.Marshal(hotKey(t, "hot-key-sim.toml", 1, "duration_s = 30", short))
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
	r := hotKey(t, "hot-key-sim.toml", 2, "duration_s = 30", "duration_s = 13", "rate = 1400", "rate = 1200", "[[phase]]", faults)
	if f := r.Figures; f["hot_found"] != 1 || f["spread_never_hot"] != 0 || r.BrokenRules > 0 {
		t.Errorf("%v, rules %v", f, r.RuleCounts)
	}
}

func TestBrokenSpreaderIsCaught(t *testing.T) {
	t.Parallel()
	if r := hotKey(t, "hot-key-sim-broken.toml", 2); r.RuleCounts[lab.RuleSpread] == 0 {
		t.Errorf("rules %v, %v", r.RuleCounts, r.Figures)
	}
}
