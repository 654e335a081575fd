package lab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

const controlFile = `name = "control"
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

// controlWorld is a fleet whose judge is told by hand.
type controlWorld struct {
	t     *testing.T
	plan  *Plan
	judge *Judge
	c     *ControlJudge
	names []string
}

func newControlWorld(t *testing.T) *controlWorld {
	t.Helper()
	f, err := Parse("control.toml", []byte(controlFile))
	if err != nil {
		t.Fatal(err)
	}
	p := f.Draw(0)
	w := &controlWorld{t: t, plan: p, judge: NewJudge(p, 0)}
	w.c = NewControlJudge(p, w.judge)
	for i := range p.Servers {
		w.names = append(w.names, p.Servers[i].UID)
		version := "1"
		if i == 3 {
			version = "2"
		}
		w.up(0, i, "first", version)
	}
	for i := range p.Sidecars {
		w.c.Began(0, p.Sidecars[i].Name, "first", "1")
		w.c.Ready(0, p.Sidecars[i].Name, "first", true)
	}
	return w
}

func (w *controlWorld) up(now float64, server int, life, version string) {
	w.c.Began(now, w.names[server], life, version)
	w.c.Ready(now, w.names[server], life, true)
	w.c.Listed(now, w.names[server], listReady)
}

// drain takes a server out as a controller does, and ends it.
func (w *controlWorld) drain(now float64, server int, life string) {
	w.c.Listed(now, w.names[server], listDraining)
	w.c.Told(now+500, w.names[server], life)
	w.c.Ready(now+500, w.names[server], life, false)
	w.c.Ended(now+600, w.names[server], life)
}

// A hand's worth of runs for each rule of the control plane: one that breaks it, and beside it what looks alike.
func TestControlJudgeByHand(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(w *controlWorld)
		want map[Rule]int
	}{
		{"calm", func(*controlWorld) {}, nil},
		{"one after the other", func(w *controlWorld) {
			w.drain(1000, 0, "first")
			w.up(3000, 0, "next", "1.5")
			w.drain(3500, 0, "next")
			w.up(4000, 0, "third", "1")
			w.drain(5000, 1, "first")
			w.up(6000, 1, "next", "1.5")
			w.drain(7000, 1, "next")
			w.up(8000, 1, "third", "1")
		}, nil},
		{"two at once", func(w *controlWorld) {
			w.drain(1000, 0, "first")
			w.drain(1100, 1, "first")
			w.up(3000, 0, "next", "1.5")
			w.up(3000, 1, "next", "1.5")
			w.plan.File.Control.Mixed = true
		}, map[Rule]int{RuleBudget: 1}},
		{"stopped without a drain, beside another", func(w *controlWorld) {
			w.c.Told(1000, w.names[0], "first")
			w.c.Told(1000, w.names[1], "first")
			w.plan.File.Control.Ends = nil
			w.c.Ended(1010, w.names[0], "first")
			w.c.Ended(1010, w.names[1], "first")
			w.c.Fault(w.names[0], 1020, 1e9)
			w.c.Fault(w.names[1], 1020, 1e9)
		}, map[Rule]int{RuleBudget: 1}},
		{"one fails just before another is taken out", func(w *controlWorld) {
			w.c.Fault(w.names[0], 900, 4000)
			w.c.Ended(1000, w.names[0], "first")
			w.drain(1500, 1, "first")
			w.up(3000, 0, "next", "1")
			w.up(3000, 1, "next", "1.5")
			w.plan.File.Control.Mixed = true
		}, nil},
		{"one has long failed when another is taken out", func(w *controlWorld) {
			w.c.Fault(w.names[0], 900, 9000)
			w.c.Ended(1000, w.names[0], "first")
			w.drain(5000, 1, "first")
			w.up(8000, 0, "next", "1")
			w.up(8000, 1, "next", "1.5")
			w.plan.File.Control.Mixed = true
		}, map[Rule]int{RuleBudget: 1}},
		{"two fail, nobody takes anything out", func(w *controlWorld) {
			for i := range 2 {
				w.c.Fault(w.names[i], 900, 9000)
				w.c.Ended(1000, w.names[i], "first")
				w.up(8000, i, "next", "1")
			}
		}, nil},
		{"started twice", func(w *controlWorld) {
			w.c.Began(1000, w.names[0], "second", "1")
			w.c.Ended(1100, w.names[0], "second")
		}, map[Rule]int{RuleOnce: 1}},
		{"started twice by the platform's fault", func(w *controlWorld) {
			w.c.Platform("twice", 900, 1100)
			w.c.Began(1000, w.names[0], "second", "1")
			w.c.Ended(1100, w.names[0], "second")
		}, nil},
		{"the same step done again", func(w *controlWorld) {
			w.drain(1000, 3, "first")
			w.up(2000, 3, "next", "2")
		}, map[Rule]int{RuleOnce: 1}},
		{"started again, as it never was ready", func(w *controlWorld) {
			w.drain(1000, 0, "first")
			w.c.Began(2000, w.names[0], "next", "1.5")
			w.c.Told(3000, w.names[0], "next")
			w.c.Ended(3000, w.names[0], "next")
			w.up(4000, 0, "third", "1.5")
			w.drain(5000, 0, "third")
			w.up(6000, 0, "fourth", "1")
		}, nil},
		{"left out", func(w *controlWorld) { w.drain(1000, 0, "first") }, map[Rule]int{RuleStranded: 1}},
		{"drained, never stopped", func(w *controlWorld) { w.c.Listed(1000, w.names[0], listDraining) }, map[Rule]int{RuleStranded: 1}},
		{"wrong version", func(w *controlWorld) {
			w.drain(1000, 0, "first")
			w.up(3000, 0, "next", "2")
		}, map[Rule]int{RuleStranded: 1}},
		{"within its hours, which adjoin", func(w *controlWorld) {
			w.c.Placed(11000, 0, []Kept{{"branch", w.names[0], 25000}})
			w.c.Placed(15000, 0, []Kept{{"branch", w.names[0], 29000}, {"branch", w.names[1], 26000}})
			w.c.Placed(28000, 0, nil)
		}, nil},
		{"before its hours", func(w *controlWorld) {
			w.c.Placed(5000, 0, []Kept{{"branch", w.names[0], 12000}})
			w.c.Placed(11000, 0, nil)
		}, map[Rule]int{RuleHours: 1}},
		{"past their close", func(w *controlWorld) { w.c.Placed(25000, 0, []Kept{{"branch", w.names[0], 35000}}) }, map[Rule]int{RuleHours: 1}},
		{"taken back before their close", func(w *controlWorld) {
			w.c.Placed(25000, 0, []Kept{{"branch", w.names[0], 35000}})
			w.c.Placed(29000, 0, nil)
		}, nil},
		{"another tenant's hours", func(w *controlWorld) { w.c.Placed(11000, 1, []Kept{{"portal", w.names[0], 12000}}) }, map[Rule]int{RuleHours: 1}},
		{"cold work within its budget", func(w *controlWorld) {
			w.c.Copies(0, []Copied{{7, w.names[0]}})
			w.c.Worked(1000, w.names[0], 7, 100, true)
			w.c.Worked(1000, w.names[0], 7, 1e6, false) // warm
			w.c.Worked(1000, w.names[1], 7, 1e6, true)  // no copy
			w.c.Copies(0, nil)
			w.c.Worked(1000, w.names[0], 7, 1e6, true)
		}, nil},
		{"too much cold work", func(w *controlWorld) {
			w.c.Copies(0, []Copied{{7, w.names[0]}})
			for i := range 5 {
				w.c.Worked(1000+100*float64(i), w.names[0], 7, 1000, true)
			}
		}, map[Rule]int{RuleSpread: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newControlWorld(t)
			c.play(w)
			w.c.Finish(60000)
			got, broken := w.judge.Verdict()
			for _, rule := range ControlRules {
				if got[rule] != c.want[rule] {
					t.Errorf("rule %s broken %d times, wanted %d", rule, got[rule], c.want[rule])
				}
			}
			if t.Failed() {
				for _, b := range broken {
					t.Log(b.Rule, b.What)
				}
			}
		})
	}
}

// The figures are what was told and done, whether or not a rule was broken.
func TestControlFigures(t *testing.T) {
	w := newControlWorld(t)
	w.c.Placed(25000, 0, []Kept{{"branch", w.names[0], 35000}})
	w.c.Placed(32000, 0, nil)
	w.drain(1000, 0, "first")
	w.drain(1100, 1, "first")
	w.c.Copies(0, []Copied{{7, w.names[0]}})
	w.c.Worked(1000, w.names[0], 7, 480, true)
	got := w.c.Figures()
	want := map[string]float64{"kept_off": 1, "kept_off_outside_s": 2, "most_servers_out": 2, "most_sidecars_out": 0, "cold_work_of_budget": 0.1}
	if !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// fault is an entry of a file.
func fault(kind, target, more string) string {
	return fmt.Sprintf("[[fault]]\nkind = %q\ntarget = %q\nat_s = 1\n%s\n", kind, target, more)
}

// What a fault names in the control plane is drawn into the plan.
func TestFaultsOfTheControlPlane(t *testing.T) {
	text := controlFile + fault("kill", "leader", "for_s = 2") + fault("freeze", "agent:1", "for_s = 1") +
		fault("kill", "controllers", "") + fault("cut", "replica:2", "for_s = 1") + fault("freeze", "supervisor", "for_s = 1")
	text = strings.Replace(text, "[control.spread]", "[[control.controller]]\nname = \"x\"\nargs = [\"y\"]\n[control.spread]", 1)
	f, err := Parse("control.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p := f.Draw(0)
	all := p.Faults
	if len(all) != 5 || !all[0].Leader || !slices.Equal(all[1].Agents, []int{1}) || !slices.Equal(all[2].Controllers, []string{"x"}) ||
		!slices.Equal(all[3].Replicas, []int{2}) || !all[4].Supervisor || !p.CutsReplicas() {
		t.Errorf("%+v", all)
	}
}

func TestControlFilesAreRefusedWithTheirKey(t *testing.T) {
	for _, c := range []struct{ old, text, want string }{
		{`source = "registry"`, `source = "lab"`, "control"},
		{`server_version = "1"`, `server_version = "9"`, "control.server_version"},
		{`most = 1`, `most = -1`, "control.budget[0].most"},
		{`target = "server:3"`, `target = "server:9"`, "control.end[0].target"},
		{`to_s = 20`, `to_s = 5`, "control.hours[0].to_s"},
		{`window_s = 1`, `windows = 1`, "unknown key"},
		{"", fault("kill", "replica:3", ""), "numbers go from 0 to 2"},
		{"", fault("kill", "controller:none", ""), "unknown target"},
		{"", fault("freeze", "server:0", "for_s = 1"), "cannot befall"},
		{"", fault("silent", "server:0", "for_s = 1"), "is not played with the control plane"},
		{"", fault("kill", "supervisor", ""), "cannot befall"},
		{"", fault("cut", "agent:0", "for_s = 1"), "only replicas can be cut off"},
		{"", fault("platform", "", `what = "sulk"`), "fault[0].what"},
		{"", fault("clock", "leader", "ms = 10"), "unknown fault"},
	} {
		text := controlFile + c.text
		if c.old != "" {
			text = strings.Replace(controlFile, c.old, c.text, 1)
		}
		_, err := Parse("control.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

// In a phase "hot" a part of the requests is for one key, which another takes the place of.
func TestAHotKey(t *testing.T) {
	text := strings.Replace(controlFile, "rate = 10\n", "rate = 200\nkind = \"hot\"\npart = 0.3\nevery_s = 20\n", 1)
	text = strings.Replace(text, "[sidecars]\n", "[clients]\nkeys = 1000\n[sidecars]\n", 1)
	f, err := Parse("hot.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	all := [3]int{}
	counts := [3]map[uint64]int{{}, {}, {}}
	arrivals := f.Draw(0).Arrivals()
	for {
		a, more := arrivals.Next()
		if !more {
			break
		}
		all[int(a.At/20000)]++
		counts[int(a.At/20000)][a.Key]++
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
