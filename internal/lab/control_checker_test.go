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

// controlPlaneFixture is a fleet whose judge is told by hand.
type controlPlaneFixture struct {
	t       *testing.T
	plan    *Plan
	checker *Checker
	control *ControlPlaneChecker
	names   []string
}

func newControlPlaneFixture(t *testing.T) *controlPlaneFixture {
	t.Helper()
	f, err := Parse("control.toml", []byte(controlPlaneExperiment))
	if err != nil {
		t.Fatal(err)
	}
	p := f.NewPlan(0)
	w := &controlPlaneFixture{t: t, plan: p, checker: NewChecker(p, 0)}
	w.control = NewControlPlaneChecker(p, w.checker)
	for i := range p.Servers {
		w.names = append(w.names, p.Servers[i].UID)
		version := "1"
		if i == 3 {
			version = "2"
		}
		w.startServer(0, i, "first", version)
	}
	for i := range p.Sidecars {
		w.control.ProcessStarted(0, p.Sidecars[i].Name, "first", "1")
		w.control.ReadinessChanged(0, p.Sidecars[i].Name, "first", true)
	}
	return w
}

func (w *controlPlaneFixture) startServer(now float64, server int, life, version string) {
	w.control.ProcessStarted(now, w.names[server], life, version)
	w.control.ReadinessChanged(now, w.names[server], life, true)
	w.control.EndpointStateChanged(now, w.names[server], listReady)
}

// drainServer takes a server out as a controller does, and ends it.
func (w *controlPlaneFixture) drainServer(now float64, server int, life string) {
	w.control.EndpointStateChanged(now, w.names[server], listDraining)
	w.control.TerminationRequested(now+500, w.names[server], life)
	w.control.ReadinessChanged(now+500, w.names[server], life, false)
	w.control.ProcessExited(now+600, w.names[server], life)
}

// A hand's worth of runs for each rule of the control plane: one that breaks it, and beside it what looks alike.
func TestControlPlaneCheckerRules(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(w *controlPlaneFixture)
		want map[Rule]int
	}{
		{"calm", func(*controlPlaneFixture) {}, nil},
		{"one after the other", func(w *controlPlaneFixture) {
			w.drainServer(1000, 0, "first")
			w.startServer(3000, 0, "next", "1.5")
			w.drainServer(3500, 0, "next")
			w.startServer(4000, 0, "third", "1")
			w.drainServer(5000, 1, "first")
			w.startServer(6000, 1, "next", "1.5")
			w.drainServer(7000, 1, "next")
			w.startServer(8000, 1, "third", "1")
		}, nil},
		{"two at once", func(w *controlPlaneFixture) {
			w.drainServer(1000, 0, "first")
			w.drainServer(1100, 1, "first")
			w.startServer(3000, 0, "next", "1.5")
			w.startServer(3000, 1, "next", "1.5")
			w.plan.Experiment.ControlPlane.AllowMixedVersions = true
		}, map[Rule]int{RuleDisruptionBudget: 1}},
		{"stopped without a drain, beside another", func(w *controlPlaneFixture) {
			w.control.TerminationRequested(1000, w.names[0], "first")
			w.control.TerminationRequested(1000, w.names[1], "first")
			w.plan.Experiment.ControlPlane.FinalStates = nil
			w.control.ProcessExited(1010, w.names[0], "first")
			w.control.ProcessExited(1010, w.names[1], "first")
			w.control.FaultInjected(w.names[0], 1020, 1e9)
			w.control.FaultInjected(w.names[1], 1020, 1e9)
		}, map[Rule]int{RuleDisruptionBudget: 1}},
		{"one fails just before another is taken out", func(w *controlPlaneFixture) {
			w.control.FaultInjected(w.names[0], 900, 4000)
			w.control.ProcessExited(1000, w.names[0], "first")
			w.drainServer(1500, 1, "first")
			w.startServer(3000, 0, "next", "1")
			w.startServer(3000, 1, "next", "1.5")
			w.plan.Experiment.ControlPlane.AllowMixedVersions = true
		}, nil},
		{"one has long failed when another is taken out", func(w *controlPlaneFixture) {
			w.control.FaultInjected(w.names[0], 900, 9000)
			w.control.ProcessExited(1000, w.names[0], "first")
			w.drainServer(5000, 1, "first")
			w.startServer(8000, 0, "next", "1")
			w.startServer(8000, 1, "next", "1.5")
			w.plan.Experiment.ControlPlane.AllowMixedVersions = true
		}, map[Rule]int{RuleDisruptionBudget: 1}},
		{"two fail, nobody takes anything out", func(w *controlPlaneFixture) {
			for i := range 2 {
				w.control.FaultInjected(w.names[i], 900, 9000)
				w.control.ProcessExited(1000, w.names[i], "first")
				w.startServer(8000, i, "next", "1")
			}
		}, nil},
		{"started twice", func(w *controlPlaneFixture) {
			w.control.ProcessStarted(1000, w.names[0], "second", "1")
			w.control.ProcessExited(1100, w.names[0], "second")
		}, map[Rule]int{RuleDuplicateAction: 1}},
		{"started twice by the platform's fault", func(w *controlPlaneFixture) {
			w.control.SupervisorFault("twice", 900, 1100)
			w.control.ProcessStarted(1000, w.names[0], "second", "1")
			w.control.ProcessExited(1100, w.names[0], "second")
		}, nil},
		{"the same step done again", func(w *controlPlaneFixture) {
			w.drainServer(1000, 3, "first")
			w.startServer(2000, 3, "next", "2")
		}, map[Rule]int{RuleDuplicateAction: 1}},
		{"started again, as it never was ready", func(w *controlPlaneFixture) {
			w.drainServer(1000, 0, "first")
			w.control.ProcessStarted(2000, w.names[0], "next", "1.5")
			w.control.TerminationRequested(3000, w.names[0], "next")
			w.control.ProcessExited(3000, w.names[0], "next")
			w.startServer(4000, 0, "third", "1.5")
			w.drainServer(5000, 0, "third")
			w.startServer(6000, 0, "fourth", "1")
		}, nil},
		{"left out", func(w *controlPlaneFixture) { w.drainServer(1000, 0, "first") }, map[Rule]int{RuleFinalState: 1}},
		{"drained, never stopped", func(w *controlPlaneFixture) { w.control.EndpointStateChanged(1000, w.names[0], listDraining) }, map[Rule]int{RuleFinalState: 1}},
		{"wrong version", func(w *controlPlaneFixture) {
			w.drainServer(1000, 0, "first")
			w.startServer(3000, 0, "next", "2")
		}, map[Rule]int{RuleFinalState: 1}},
		{"within its hours, which adjoin", func(w *controlPlaneFixture) {
			w.control.ExclusionsPublished(11000, 0, []Exclusion{{"branch", w.names[0], 25000}})
			w.control.ExclusionsPublished(15000, 0, []Exclusion{{"branch", w.names[0], 29000}, {"branch", w.names[1], 26000}})
			w.control.ExclusionsPublished(28000, 0, nil)
		}, nil},
		{"before its hours", func(w *controlPlaneFixture) {
			w.control.ExclusionsPublished(5000, 0, []Exclusion{{"branch", w.names[0], 12000}})
			w.control.ExclusionsPublished(11000, 0, nil)
		}, map[Rule]int{RuleMaintenanceHours: 1}},
		{"past their close", func(w *controlPlaneFixture) {
			w.control.ExclusionsPublished(25000, 0, []Exclusion{{"branch", w.names[0], 35000}})
		}, map[Rule]int{RuleMaintenanceHours: 1}},
		{"taken back before their close", func(w *controlPlaneFixture) {
			w.control.ExclusionsPublished(25000, 0, []Exclusion{{"branch", w.names[0], 35000}})
			w.control.ExclusionsPublished(29000, 0, nil)
		}, nil},
		{"another tenant's hours", func(w *controlPlaneFixture) {
			w.control.ExclusionsPublished(11000, 1, []Exclusion{{"portal", w.names[0], 12000}})
		}, map[Rule]int{RuleMaintenanceHours: 1}},
		{"cold work within its budget", func(w *controlPlaneFixture) {
			w.control.CopiesPublished(0, []KeyCopy{{7, w.names[0]}})
			w.control.WorkDone(1000, w.names[0], 7, 100, true)
			w.control.WorkDone(1000, w.names[0], 7, 1e6, false) // warm
			w.control.WorkDone(1000, w.names[1], 7, 1e6, true)  // no copy
			w.control.CopiesPublished(0, nil)
			w.control.WorkDone(1000, w.names[0], 7, 1e6, true)
		}, nil},
		{"too much cold work", func(w *controlPlaneFixture) {
			w.control.CopiesPublished(0, []KeyCopy{{7, w.names[0]}})
			for i := range 5 {
				w.control.WorkDone(1000+100*float64(i), w.names[0], 7, 1000, true)
			}
		}, map[Rule]int{RuleHotKeyCost: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newControlPlaneFixture(t)
			c.play(w)
			w.control.Finish(60000)
			got, broken := w.checker.Violations()
			for _, rule := range ControlPlaneRules {
				if got[rule] != c.want[rule] {
					t.Errorf("rule %s broken %d times, wanted %d", rule, got[rule], c.want[rule])
				}
			}
			if t.Failed() {
				for _, b := range broken {
					t.Log(b.Rule, b.Detail)
				}
			}
		})
	}
}

// The figures are what was told and done, whether or not a rule was broken.
func TestControlPlaneMetrics(t *testing.T) {
	w := newControlPlaneFixture(t)
	w.control.ExclusionsPublished(25000, 0, []Exclusion{{"branch", w.names[0], 35000}})
	w.control.ExclusionsPublished(32000, 0, nil)
	w.drainServer(1000, 0, "first")
	w.drainServer(1100, 1, "first")
	w.control.CopiesPublished(0, []KeyCopy{{7, w.names[0]}})
	w.control.WorkDone(1000, w.names[0], 7, 480, true)
	got := w.control.Metrics()
	want := map[string]float64{"kept_off": 1, "kept_off_outside_s": 2, "most_servers_out": 2, "most_sidecars_out": 0, "cold_work_of_budget": 0.1}
	if !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// faultEntry is an entry of a file.
func faultEntry(kind, target, more string) string {
	return fmt.Sprintf("[[fault]]\nkind = %q\ntarget = %q\nat_s = 1\n%s\n", kind, target, more)
}

// What a fault names in the control plane is drawn into the plan.
func TestControlPlaneFaultTargets(t *testing.T) {
	text := controlPlaneExperiment + faultEntry("kill", "leader", "for_s = 2") + faultEntry("freeze", "agent:1", "for_s = 1") +
		faultEntry("kill", "controllers", "") + faultEntry("cut", "replica:2", "for_s = 1") + faultEntry("freeze", "supervisor", "for_s = 1")
	text = strings.Replace(text, "[control.spread]", "[[control.controller]]\nname = \"x\"\nargs = [\"y\"]\n[control.spread]", 1)
	f, err := Parse("control.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p := f.NewPlan(0)
	all := p.Faults
	if len(all) != 5 || !all[0].Leader || !slices.Equal(all[1].Agents, []int{1}) || !slices.Equal(all[2].Controllers, []string{"x"}) ||
		!slices.Equal(all[3].Replicas, []int{2}) || !all[4].Supervisor || !p.PartitionsReplicas() {
		t.Errorf("%+v", all)
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
		{"", faultEntry("freeze", "server:0", "for_s = 1"), "cannot befall"},
		{"", faultEntry("silent", "server:0", "for_s = 1"), "is not played with the control plane"},
		{"", faultEntry("kill", "supervisor", ""), "cannot befall"},
		{"", faultEntry("cut", "agent:0", "for_s = 1"), "only replicas can be cut off"},
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

// In a phase "hot" a part of the requests is for one key, which another takes the place of.
func TestHotPhaseChangesKeys(t *testing.T) {
	text := strings.Replace(controlPlaneExperiment, "rate = 10\n", "rate = 200\nkind = \"hot\"\npart = 0.3\nevery_s = 20\n", 1)
	text = strings.Replace(text, "[sidecars]\n", "[clients]\nkeys = 1000\n[sidecars]\n", 1)
	f, err := Parse("hot.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	all := [3]int{}
	counts := [3]map[uint64]int{{}, {}, {}}
	arrivals := f.NewPlan(0).Arrivals()
	for {
		a, more := arrivals.Next()
		if !more {
			break
		}
		all[int(a.StartMS/20000)]++
		counts[int(a.StartMS/20000)][a.Key]++
	}
	seen := map[uint64]bool{}
	for i, keys := range counts {
		hot := 0
		for key, n := range keys {
			if float64(n) > 0.2*float64(all[i]) {
				hot++
				seen[key] = true
			}
		}
		if hot != 1 {
			t.Errorf("%d keys are hot in part %d", hot, i)
		}
	}
	if len(seen) != 3 {
		t.Errorf("%d keys were hot in turn", len(seen))
	}
}
