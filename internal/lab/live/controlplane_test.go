package live

import (
	"fmt"
	"slices"
	"testing"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc/proctest"
)

const controlPlaneExperiment = `name = "plane"
seed = 4
duration_s = %s
zones = ["a", "b"]
[discovery]
source = "registry"
[sidecars]
count = 3
[clients]
retries = 1
wait_ms = 100
keys = 20
[[server]]
kind = "k"
count = 6
cores = 4
queue = 60
cold_from = 0.3
cold_s = 1
pod_size = 3
[[class]]
name = "read"
work_ms = [5, 15]
aim_ms = 300
deadline_ms = 800
effect = "safe"
[[class]]
name = "book"
work_ms = [5, 15]
aim_ms = 300
deadline_ms = 800
effect = "keyed"
group = "zone"
window_ms = 3000
[[phase]]
rate = 60
[control]
server_version = "1"
sidecar_version = "1"
[[control.version]]
name = "1"
kind = "server"
grace_ms = 1000
[[control.version]]
name = "1"
kind = "sidecar"
grace_ms = 1000
[[control.budget]]
name = "servers"
kind = "server"
most = 1
`

// stepTOML returns an operator's step of an experiment in TOML.
func stepTOML(action, target, atSeconds string) string {
	return fmt.Sprintf("[[control.step]]\nat_s = %s\ndo = %q\ntarget = %q\n", atSeconds, action, target)
}

// Faults alone violate no rule of the control plane. Steps that bypass the controllers violate rules, and the checker
// detects each violation.
func TestControlPlane(t *testing.T) {
	for _, test := range []struct {
		name, extra string
		want        []lab.Rule
	}{
		{"faults", faultTOML("kill", "leader", "0.3", "0.8", "") + faultTOML("kill", "server:0-1", "0.5", "0.8", "") +
			faultTOML("kill", "agent:0", "0.6", "0.5", "") + faultTOML("freeze", "supervisor", "0.2", "0.2", "") +
			faultTOML("kill", "sidecar:1", "0.9", "0.4", "") + faultTOML("cut", "replica:0", "1.4", "0.5", "") +
			faultTOML("platform", "", "1.2", "", "what = \"lose\"\ncount = 1"), nil},
		{"three stopped at once", stepTOML("stop", "server:0-2", "0.5"), []lab.Rule{lab.RuleDisruptionBudget, lab.RuleFinalState}},
		{"a step done twice", stepTOML("restart", "server:1", "0.5"), []lab.Rule{lab.RuleDuplicateAction}},
		{"a sidecar left out", stepTOML("stop", "sidecar:0", "0.5"), []lab.Rule{lab.RuleFinalState}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			experiment, err := lab.Parse("plane.toml", []byte(fmt.Sprintf(controlPlaneExperiment, "4")+test.extra))
			if err != nil {
				t.Fatal(err)
			}
			dir := t.TempDir()
			result, err := Run(t.Context(), experiment.NewPlan(0), Options{
				SidecarPath: proctest.Program(t, "sidecar"), MilldeckPath: proctest.Program(t, "milldeck"), Dir: dir,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, rule := range lab.ControlPlaneRules {
				if slices.Contains(test.want, rule) != (result.ViolationsByRule[rule] > 0) {
					t.Errorf("rule %s violated %d times", rule, result.ViolationsByRule[rule])
				}
			}
			if result.Requests < 100 || result.ServedShare < 0.6 {
				t.Errorf("%d requests, %.3f served", result.Requests, result.ServedShare)
			}
			if t.Failed() {
				for _, violation := range result.Violations {
					t.Log(violation.Rule, violation.Detail)
				}
				t.Log(LogTail(dir))
			}
		})
	}
}
