package lab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

const controlPlaneExperiment = `name = "control"
duration_s = 60
zones = ["a", "b"]
[discovery]
source = "registry"
[sidecars]
count = 2
[[server]]
kind = "k"
count = 4
[[class]]
name = "read"
work_ms = 10
aim_ms = 100
deadline_ms = 500
effect = "safe"
[[phase]]
rate = 10
[control]
server_version = "1"
sidecar_version = "1"
sight_ms = 2000
[[control.version]]
name = "1"
kind = "server"
[[control.version]]
name = "2"
kind = "server"
[[control.version]]
name = "1"
kind = "sidecar"
[[control.budget]]
name = "servers"
kind = "server"
most = 1
[[control.hours]]
tenant = "branch"
from_s = 10
to_s = 20
[[control.hours]]
tenant = "branch"
from_s = 20
to_s = 30
[[control.end]]
target = "server:3"
version = "2"
[control.spread]
window_s = 1
most = 0.3
`

// controlPlaneFixture is a fleet whose checker gets its observations from the test.
type controlPlaneFixture struct {
	t       *testing.T
	plan    *Plan
	checker *Checker
	control *ControlPlaneChecker
	names   []string
}

// newControlPlaneFixture returns a fleet that is in service: servers 0 to 2 on version 1, server 3 on version 2.
func newControlPlaneFixture(t *testing.T) *controlPlaneFixture {
	t.Helper()
	experiment, err := Parse("control.toml", []byte(controlPlaneExperiment))
	if err != nil {
		t.Fatal(err)
	}
	plan := experiment.NewPlan(0)
	fixture := &controlPlaneFixture{t: t, plan: plan, checker: NewChecker(plan, 0)}
	fixture.control = NewControlPlaneChecker(plan, fixture.checker)
	for i := range plan.Servers {
		fixture.names = append(fixture.names, plan.Servers[i].UID)
		version := "1"
		if i == 3 {
			version = "2"
		}
		fixture.startServer(0, i, "first", version)
	}
	for i := range plan.Sidecars {
		fixture.control.ProcessStarted(0, plan.Sidecars[i].Name, "first", "1")
		fixture.control.ReadinessChanged(0, plan.Sidecars[i].Name, "first", true)
	}
	return fixture
}

// startServer starts a server, which becomes ready and is listed.
func (f *controlPlaneFixture) startServer(now float64, server int, incarnation, version string) {
	f.control.ProcessStarted(now, f.names[server], incarnation, version)
	f.control.ReadinessChanged(now, f.names[server], incarnation, true)
	f.control.EndpointStateChanged(now, f.names[server], endpointReady)
}

// drainServer drains a server and terminates it, as a controller does.
func (f *controlPlaneFixture) drainServer(now float64, server int, incarnation string) {
	f.control.EndpointStateChanged(now, f.names[server], endpointDraining)
	f.control.TerminationRequested(now+500, f.names[server], incarnation)
	f.control.ReadinessChanged(now+500, f.names[server], incarnation, false)
	f.control.ProcessExited(now+600, f.names[server], incarnation)
}

// TestControlPlaneCheckerRules checks that runs which violate a rule of the control plane are detected, and that similar runs
// without a violation are not.
func TestControlPlaneCheckerRules(t *testing.T) {
	for _, c := range []struct {
		name    string
		observe func(f *controlPlaneFixture)
		want    map[Rule]int
	}{
		{"no action", func(*controlPlaneFixture) {}, nil},
		{"one after the other", func(f *controlPlaneFixture) {
			f.drainServer(1000, 0, "first")
			f.startServer(3000, 0, "next", "1.5")
			f.drainServer(3500, 0, "next")
			f.startServer(4000, 0, "third", "1")
			f.drainServer(5000, 1, "first")
			f.startServer(6000, 1, "next", "1.5")
			f.drainServer(7000, 1, "next")
			f.startServer(8000, 1, "third", "1")
		}, nil},
		{"two at once", func(f *controlPlaneFixture) {
			f.drainServer(1000, 0, "first")
			f.drainServer(1100, 1, "first")
			f.startServer(3000, 0, "next", "1.5")
			f.startServer(3000, 1, "next", "1.5")
			f.plan.Experiment.ControlPlane.AllowMixedVersions = true
		}, map[Rule]int{RuleDisruptionBudget: 1}},
		{"two terminated at once without a drain", func(f *controlPlaneFixture) {
			f.control.TerminationRequested(1000, f.names[0], "first")
			f.control.TerminationRequested(1000, f.names[1], "first")
			f.plan.Experiment.ControlPlane.FinalStates = nil
			f.control.ProcessExited(1010, f.names[0], "first")
			f.control.ProcessExited(1010, f.names[1], "first")
			f.control.FaultInjected(f.names[0], 1020, 1e9)
			f.control.FaultInjected(f.names[1], 1020, 1e9)
		}, map[Rule]int{RuleDisruptionBudget: 1}},
		{"a failure just before a disruption", func(f *controlPlaneFixture) {
			f.control.FaultInjected(f.names[0], 900, 4000)
			f.control.ProcessExited(1000, f.names[0], "first")
			f.drainServer(1500, 1, "first")
			f.startServer(3000, 0, "next", "1")
			f.startServer(3000, 1, "next", "1.5")
			f.plan.Experiment.ControlPlane.AllowMixedVersions = true
		}, nil},
		{"a failure long before a disruption", func(f *controlPlaneFixture) {
			f.control.FaultInjected(f.names[0], 900, 9000)
			f.control.ProcessExited(1000, f.names[0], "first")
			f.drainServer(5000, 1, "first")
			f.startServer(8000, 0, "next", "1")
			f.startServer(8000, 1, "next", "1.5")
			f.plan.Experiment.ControlPlane.AllowMixedVersions = true
		}, map[Rule]int{RuleDisruptionBudget: 1}},
		{"two failures, no disruption", func(f *controlPlaneFixture) {
			for i := range 2 {
				f.control.FaultInjected(f.names[i], 900, 9000)
				f.control.ProcessExited(1000, f.names[i], "first")
				f.startServer(8000, i, "next", "1")
			}
		}, nil},
		{"started twice", func(f *controlPlaneFixture) {
			f.control.ProcessStarted(1000, f.names[0], "second", "1")
			f.control.ProcessExited(1100, f.names[0], "second")
		}, map[Rule]int{RuleDuplicateAction: 1}},
		{"started twice by a fault of the supervisor", func(f *controlPlaneFixture) {
			f.control.SupervisorFault("twice", 900, 1100)
			f.control.ProcessStarted(1000, f.names[0], "second", "1")
			f.control.ProcessExited(1100, f.names[0], "second")
		}, nil},
		{"the same action carried out again", func(f *controlPlaneFixture) {
			f.drainServer(1000, 3, "first")
			f.startServer(2000, 3, "next", "2")
		}, map[Rule]int{RuleDuplicateAction: 1}},
		{"started again after it never was ready", func(f *controlPlaneFixture) {
			f.drainServer(1000, 0, "first")
			f.control.ProcessStarted(2000, f.names[0], "next", "1.5")
			f.control.TerminationRequested(3000, f.names[0], "next")
			f.control.ProcessExited(3000, f.names[0], "next")
			f.startServer(4000, 0, "third", "1.5")
			f.drainServer(5000, 0, "third")
			f.startServer(6000, 0, "fourth", "1")
		}, nil},
		{"left out of service", func(f *controlPlaneFixture) { f.drainServer(1000, 0, "first") }, map[Rule]int{RuleFinalState: 1}},
		{"drained, never terminated", func(f *controlPlaneFixture) { f.control.EndpointStateChanged(1000, f.names[0], endpointDraining) }, map[Rule]int{RuleFinalState: 1}},
		{"wrong version", func(f *controlPlaneFixture) {
			f.drainServer(1000, 0, "first")
			f.startServer(3000, 0, "next", "2")
		}, map[Rule]int{RuleFinalState: 1}},
		{"within its hours, which adjoin", func(f *controlPlaneFixture) {
			f.control.ExclusionsPublished(11000, 0, []Exclusion{{"branch", f.names[0], 25000}})
			f.control.ExclusionsPublished(15000, 0, []Exclusion{{"branch", f.names[0], 29000}, {"branch", f.names[1], 26000}})
			f.control.ExclusionsPublished(28000, 0, nil)
		}, nil},
		{"before its hours", func(f *controlPlaneFixture) {
			f.control.ExclusionsPublished(5000, 0, []Exclusion{{"branch", f.names[0], 12000}})
			f.control.ExclusionsPublished(11000, 0, nil)
		}, map[Rule]int{RuleMaintenanceHours: 1}},
		{"beyond its hours", func(f *controlPlaneFixture) {
			f.control.ExclusionsPublished(25000, 0, []Exclusion{{"branch", f.names[0], 35000}})
		}, map[Rule]int{RuleMaintenanceHours: 1}},
		{"withdrawn before the end of its hours", func(f *controlPlaneFixture) {
			f.control.ExclusionsPublished(25000, 0, []Exclusion{{"branch", f.names[0], 35000}})
			f.control.ExclusionsPublished(29000, 0, nil)
		}, nil},
		{"another tenant's hours", func(f *controlPlaneFixture) {
			f.control.ExclusionsPublished(11000, 1, []Exclusion{{"portal", f.names[0], 12000}})
		}, map[Rule]int{RuleMaintenanceHours: 1}},
		{"warm-up work within its limit", func(f *controlPlaneFixture) {
			f.control.CopiesPublished(0, []KeyCopy{{7, f.names[0]}})
			f.control.WorkDone(1000, f.names[0], 7, 100, true)
			f.control.WorkDone(1000, f.names[0], 7, 1e6, false) // cache hit
			f.control.WorkDone(1000, f.names[1], 7, 1e6, true)  // server without a copy
			f.control.CopiesPublished(0, nil)
			f.control.WorkDone(1000, f.names[0], 7, 1e6, true)
		}, nil},
		{"too much warm-up work", func(f *controlPlaneFixture) {
			f.control.CopiesPublished(0, []KeyCopy{{7, f.names[0]}})
			for i := range 5 {
				f.control.WorkDone(1000+100*float64(i), f.names[0], 7, 1000, true)
			}
		}, map[Rule]int{RuleHotKeyCost: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newControlPlaneFixture(t)
			c.observe(f)
			f.control.Finish(60000)
			got, violations := f.checker.Violations()
			for _, rule := range ControlPlaneRules {
				if got[rule] != c.want[rule] {
					t.Errorf("rule %s is violated %d times, want %d", rule, got[rule], c.want[rule])
				}
			}
			if t.Failed() {
				for _, violation := range violations {
					t.Log(violation.Rule, violation.Detail)
				}
			}
		})
	}
}

// TestControlPlaneMetrics checks that metrics count what was published and executed, whether or not a rule is violated.
func TestControlPlaneMetrics(t *testing.T) {
	f := newControlPlaneFixture(t)
	f.control.ExclusionsPublished(25000, 0, []Exclusion{{"branch", f.names[0], 35000}})
	f.control.ExclusionsPublished(32000, 0, nil)
	f.drainServer(1000, 0, "first")
	f.drainServer(1100, 1, "first")
	f.control.CopiesPublished(0, []KeyCopy{{7, f.names[0]}})
	f.control.WorkDone(1000, f.names[0], 7, 480, true)
	got := f.control.Metrics()
	want := map[string]float64{"kept_off": 1, "kept_off_outside_s": 2, "most_servers_out": 2, "most_sidecars_out": 0, "cold_work_of_budget": 0.1}
	if !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// faultEntry returns a fault as an entry of an experiment file.
func faultEntry(kind, target, more string) string {
	return fmt.Sprintf("[[fault]]\nkind = %q\ntarget = %q\nat_s = 1\n%s\n", kind, target, more)
}

// TestControlPlaneFaultTargets checks that the faults of a plan have the processes of the control plane as their targets.
func TestControlPlaneFaultTargets(t *testing.T) {
	text := controlPlaneExperiment + faultEntry("kill", "leader", "for_s = 2") + faultEntry("freeze", "agent:1", "for_s = 1") +
		faultEntry("kill", "controllers", "") + faultEntry("cut", "replica:2", "for_s = 1") + faultEntry("freeze", "supervisor", "for_s = 1")
	text = strings.Replace(text, "[control.spread]", "[[control.controller]]\nname = \"x\"\nargs = [\"y\"]\n[control.spread]", 1)
	experiment, err := Parse("control.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	plan := experiment.NewPlan(0)
	faults := plan.Faults
	if len(faults) != 5 || !faults[0].Leader || !slices.Equal(faults[1].Agents, []int{1}) || !slices.Equal(faults[2].Controllers, []string{"x"}) ||
		!slices.Equal(faults[3].Replicas, []int{2}) || !faults[4].Supervisor || !plan.PartitionsReplicas() {
		t.Errorf("%+v", faults)
	}
}

func TestInvalidControlPlaneIsReportedWithKey(t *testing.T) {
	for _, c := range []struct{ old, text, want string }{
		{`source = "registry"`, `source = "lab"`, "control"},
		{`server_version = "1"`, `server_version = "9"`, "control.server_version"},
		{`most = 1`, `most = -1`, "control.budget[0].most"},
		{`target = "server:3"`, `target = "server:9"`, "control.end[0].target"},
		{`to_s = 20`, `to_s = 5`, "control.hours[0].to_s"},
		{`window_s = 1`, `windows = 1`, "unknown key"},
		{"", faultEntry("kill", "replica:3", ""), "numbers go from 0 to 2"},
		{"", faultEntry("kill", "controller:none", ""), "unknown target"},
		{"", faultEntry("freeze", "server:0", "for_s = 1"), "cannot affect"},
		{"", faultEntry("silent", "server:0", "for_s = 1"), "is not supported with the control plane"},
		{"", faultEntry("kill", "supervisor", ""), "cannot affect"},
		{"", faultEntry("cut", "agent:0", "for_s = 1"), "only replicas can be partitioned"},
		{"", faultEntry("platform", "", `what = "sulk"`), "fault[0].what"},
		{"", faultEntry("clock", "leader", "ms = 10"), "unknown fault"},
	} {
		text := controlPlaneExperiment + c.text
		if c.old != "" {
			text = strings.Replace(controlPlaneExperiment, c.old, c.text, 1)
		}
		_, err := Parse("control.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

// TestHotPhaseChangesKeys checks that a hot phase has one hot key at a time, and that this key changes.
func TestHotPhaseChangesKeys(t *testing.T) {
	text := strings.Replace(controlPlaneExperiment, "rate = 10\n", "rate = 200\nkind = \"hot\"\npart = 0.3\nevery_s = 20\n", 1)
	text = strings.Replace(text, "[sidecars]\n", "[clients]\nkeys = 1000\n[sidecars]\n", 1)
	experiment, err := Parse("hot.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	totals := [3]int{}
	counts := [3]map[uint64]int{{}, {}, {}}
	arrivals := experiment.NewPlan(0).Arrivals()
	for {
		arrival, more := arrivals.Next()
		if !more {
			break
		}
		totals[int(arrival.StartMS/20000)]++
		counts[int(arrival.StartMS/20000)][arrival.Key]++
	}
	seen := map[uint64]bool{}
	for i, keys := range counts {
		hot := 0
		for key, n := range keys {
			if float64(n) > 0.2*float64(totals[i]) {
				hot++
				seen[key] = true
			}
		}
		if hot != 1 {
			t.Errorf("%d keys are hot in period %d, want one", hot, i)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d keys were hot one after the other, want 3", len(seen))
	}
}
