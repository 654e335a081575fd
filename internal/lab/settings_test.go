package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// settingsExperiment has every kind of class, two kinds of servers and limits other than the defaults.
const settingsExperiment = `name = "settings"
duration_s = 5
zones = ["a", "b"]
[discovery]
mode = "subscribe"
[sidecars]
count = 3
[limits]
max_attempts = 5
may_tell = true
retry_after = false
[prices]
handshake = 0.25
[[server]]
kind = "small"
count = 2
cold_from = 0.25
cold_s = [2, 10]
warm_gain = 0.5
[[server]]
kind = "large"
count = 2
cold_from = 0.5
idle_close_ms = 9000
[[class]]
name = "read"
work_ms = 10
aim_ms = 100
deadline_ms = 200
effect = "safe"
[[class]]
name = "book"
work_ms = 10
aim_ms = 100
deadline_ms = 250.5
worth = 2
effect = "keyed"
group = "pod"
window_ms = 1000
[[class]]
name = "pay"
work_ms = 10
aim_ms = 100
deadline_ms = 200
effect = "unsafe"
[[phase]]
rate = 10
`

// TestSettingsAreUnchanged checks that the settings of sidecars stay the same byte for byte, as they are stored data that
// earlier versions wrote.
func TestSettingsAreUnchanged(t *testing.T) {
	experiment, err := Parse("settings.toml", []byte(settingsExperiment))
	if err != nil {
		t.Fatal(err)
	}
	plan := experiment.NewPlan(7)
	want, err := os.ReadFile(filepath.Join("testdata", "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got := append(plan.Settings(1), '\n'); !bytes.Equal(got, want) {
		t.Errorf("settings\n%s\nwant\n%s", got, want)
	}
	if _, err := plan.Config(1, 2); err != nil {
		t.Error(err)
	}
}
