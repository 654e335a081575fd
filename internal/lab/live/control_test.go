package live

import (
	"fmt"
	"slices"
	"testing"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc/proctest"
)

const planeFile = `name = "plane"
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

func step(do, target, at string) string {
	return fmt.Sprintf("[[control.step]]\nat_s = %s\ndo = %q\ntarget = %q\n", at, do, target)
}

// What nobody of the control plane did breaks no rule, whatever fails; what is done behind its back is found.
func TestControlPlane(t *testing.T) {
	for _, c := range []struct {
		name, more string
		want       []lab.Rule
	}{
		{"faults", fault("kill", "leader", "0.3", "0.8", "") + fault("kill", "server:0-1", "0.5", "0.8", "") +
			fault("kill", "agent:0", "0.6", "0.5", "") + fault("freeze", "supervisor", "0.2", "0.2", "") +
			fault("kill", "sidecar:1", "0.9", "0.4", "") + fault("cut", "replica:0", "1.4", "0.5", "") +
			fault("platform", "", "1.2", "", "what = \"lose\"\ncount = 1"), nil},
		{"three stopped at once", step("stop", "server:0-2", "0.5"), []lab.Rule{lab.RuleDisruptionBudget, lab.RuleFinalState}},
		{"a step done twice", step("restart", "server:1", "0.5"), []lab.Rule{lab.RuleDuplicateAction}},
		{"a sidecar left out", step("stop", "sidecar:0", "0.5"), []lab.Rule{lab.RuleFinalState}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, err := lab.Parse("plane.toml", []byte(fmt.Sprintf(planeFile, "4")+c.more))
			if err != nil {
				t.Fatal(err)
			}
			dir := t.TempDir()
			r, err := Run(t.Context(), f.NewPlan(0), Options{
				Sidecar: proctest.Program(t, "sidecar"), Milldeck: proctest.Program(t, "milldeck"), Dir: dir,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, rule := range lab.ControlPlaneRules {
				if slices.Contains(c.want, rule) != (r.ViolationsByRule[rule] > 0) {
					t.Errorf("rule %s broken %d times", rule, r.ViolationsByRule[rule])
				}
			}
			if r.Requests < 100 || r.ServedShare < 0.6 {
				t.Errorf("%d requests, %.3f served", r.Requests, r.ServedShare)
			}
			if t.Failed() {
				for _, b := range r.Violations {
					t.Log(b.Rule, b.Detail)
				}
				t.Log(LogTail(dir))
			}
		})
	}
}
