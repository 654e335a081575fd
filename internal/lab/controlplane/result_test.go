package controlplane

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Programs read the results, so the names of the JSON fields must not change.
func TestResultJSONNames(t *testing.T) {
	result := Result{
		Seed:             1,
		FirstViolations:  []Violation{{AtS: 2, Rule: ruleBudget, Detail: "detail"}},
		ViolationsByRule: map[string]int{ruleBudget: 1},
		Faults:           []string{"fault"},
		Releases:         map[string]string{serverReleaseName: "done"},
		Windows:          map[string]string{windowName: "done"},
	}
	tests := []struct {
		name  string
		value any
		want  string
	}{
		{"simulation", result, `{"seed":1,"seconds":0,"broken_rules":0,"rule_counts":{"budget":1},` +
			`"first":[{"at_s":2,"rule":"budget","what":"detail"}],"faults":["fault"],` +
			`"Releases":{"servers":"done"},"Windows":{"w":"done"},` +
			`"windows_that_fit":0,"windows_done":0,"kept_off_s":0,"kept_off_outside_s":0,"writes":0}`},
		{"rollout", RolloutResult{Regression: "leaks", Phase: "backed", HaltReason: "reason"},
			`{"seed":0,"harm":"leaks","phase":"backed","why":"reason","share":0,"back_for":0,"broken_rules":0}`},
		{"summary", Summary{FailedSeeds: []int{3}},
			`{"nights":0,"broken_rules":0,"kept_off_outside_s":0,"kept_off_s":0,"windows_that_fit":0,"windows_held":0,` +
				`"harmful_stopped_early":0,"false_halts":0,"way_back":0,"way_back_median":0,"releases_broken_rules":0,` +
				`"harmful_releases":0,"healthy_releases":0,"seconds_of_the_worlds":0,"writes_to_the_log":0,"broken_nights":[3]}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := json.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, string(encoded)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
