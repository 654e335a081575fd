package sim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// smallExperiment is a fleet that takes a fraction of a second to play; %s holds its faults.
const smallExperiment = `name = "small"
duration_s = 12
zones = ["a", "b"]
[sidecars]
count = 4
[clients]
retries = 1
wait_ms = 100
keys = 50
leave = 0.02
[[server]]
kind = "k"
count = 8
cores = 2
speed = [0.9, 1.2]
queue = 40
cold_from = 0.2
cold_s = 4
pod_size = 2
[[class]]
name = "read"
work_ms = [10, 30]
aim_ms = 200
deadline_ms = 600
effect = "safe"
[[class]]
name = "book"
work_ms = [10, 30]
aim_ms = 200
deadline_ms = 800
effect = "keyed"
group = "pod"
window_ms = 3000
[[class]]
name = "pay"
share = 0.5
work_ms = [10, 30]
aim_ms = 200
deadline_ms = 800
effect = "unsafe"
[[phase]]
rate = 300
%s`

func newSmallPlan(t *testing.T, faults string, seed uint64) *lab.Plan {
	t.Helper()
	f, err := lab.Parse("small.toml", fmt.Appendf(nil, smallExperiment, faults))
	if err != nil {
		t.Fatal(err)
	}
	return f.NewPlan(seed)
}

func mustRun(t *testing.T, p *lab.Plan, o Options) *lab.Result {
	t.Helper()
	r, _, err := Run(t.Context(), p, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// everyFault is one of each kind, as experiments/faults.toml has them.
func everyFault(t *testing.T, seed uint64) *lab.Plan {
	t.Helper()
	f, err := lab.Load("../../../experiments/faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	return f.NewPlan(seed)
}

func TestModuleKeepsRulesUnderEveryFault(t *testing.T) {
	for seed := range uint64(10) {
		r := mustRun(t, everyFault(t, seed+1), Options{})
		if r.ViolationCount > 0 || r.Requests < 3000 || r.ServedShare < 0.5 {
			t.Errorf("seed %d: %d requests, %.3f served, rules broken: %+v", seed+1, r.Requests, r.ServedShare, r.Violations)
		}
	}
}

func TestResultIndependentOfWorkers(t *testing.T) {
	var first []byte
	for _, workers := range []int{1, 6, 6, 3} {
		data, err := json.Marshal(mustRun(t, everyFault(t, 5), Options{Workers: workers}))
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = data
		}
		if !bytes.Equal(first, data) {
			t.Fatalf("%d workers give another result", workers)
		}
	}
}

// defectiveInstance is an instance that breaks one rule on purpose.
type defectiveInstance struct {
	Instance
	change func(p *defectiveInstance, now float64, ev balance.Event, acts []balance.Action) []balance.Action

	servers []balance.ServerID
	bad     balance.ServerID
}

func (p *defectiveInstance) Handle(now float64, ev balance.Event) ([]balance.Action, error) {
	if l, ok := ev.(balance.EndpointUpdate); ok {
		for _, s := range l.Servers {
			if l.Kind != balance.UpdateDelta {
				p.servers = append(p.servers, s.ID)
			}
			if l.Kind == balance.UpdateDelta && (s.State != balance.Ready || s.StartedAt > 0) {
				p.bad = s.ID
			}
		}
	}
	acts, err := p.Instance.Handle(now, ev)
	if err != nil {
		return acts, nil // what it was made to do confuses the module
	}
	return p.change(p, now, ev, acts), nil
}

// sendTo has all first attempts go to one server.
func sendTo(p *defectiveInstance, acts []balance.Action) []balance.Action {
	for i := range acts {
		if acts[i].Kind == balance.Send && p.bad != 0 {
			acts[i].Server = p.bad
		}
	}
	return acts
}

// The judge is proved able to fail: for every rule that an instance can break, one that does is caught, with
// the story of a request.
func TestCheckerDetectsDefects(t *testing.T) {
	drop := func(kinds ...balance.ActionKind) func(*defectiveInstance, float64, balance.Event, []balance.Action) []balance.Action {
		return func(_ *defectiveInstance, _ float64, _ balance.Event, acts []balance.Action) []balance.Action {
			var out []balance.Action
			for _, a := range acts {
				keep := true
				for _, k := range kinds {
					keep = keep && a.Kind != k
				}
				if keep {
					out = append(out, a)
				}
			}
			return out
		}
	}
	for _, c := range []struct {
		rule   lab.Rule
		faults string
		change func(*defectiveInstance, float64, balance.Event, []balance.Action) []balance.Action
	}{
		{lab.RuleSingleResponse, "[[fault]]\nkind = \"errors\"\ntarget = \"servers\"\npart = 1\nat_s = 2\nfor_s = 1\n", drop(balance.Reject, balance.Fail)},
		{lab.RuleDuplicateEffect, "[[fault]]\nkind = \"reset\"\ntarget = \"servers\"\npart = 0.2\nat_s = 2\nfor_s = 5\n",
			func(p *defectiveInstance, _ float64, ev balance.Event, acts []balance.Action) []balance.Action {
				// A request that may have run is sent again, whatever its class, to any server.
				if o, ok := ev.(balance.Outcome); ok && o.Result == balance.Reset && o.Attempt == 0 {
					to := p.servers[0]
					if to == o.Server {
						to = p.servers[1]
					}
					return []balance.Action{{Kind: balance.Send, Request: o.Request, Server: to}}
				}
				return acts
			}},
		{lab.RuleParallelAttempts, "", func(p *defectiveInstance, _ float64, ev balance.Event, acts []balance.Action) []balance.Action {
			out := append([]balance.Action(nil), acts...)
			for _, a := range acts {
				if a.Kind == balance.Send {
					out = append(out, balance.Action{Kind: balance.Send, Request: a.Request, Server: p.servers[0]})
				}
			}
			return out
		}},
		{lab.RuleDraining, "[[fault]]\nkind = \"restart\"\ntarget = \"server:0\"\nat_s = 1\n",
			func(p *defectiveInstance, _ float64, _ balance.Event, acts []balance.Action) []balance.Action {
				return sendTo(p, acts)
			}},
		{lab.RuleSlowStart, "[[fault]]\nkind = \"kill\"\ntarget = \"server:0\"\nat_s = 1\nfor_s = 1\n",
			func(p *defectiveInstance, _ float64, _ balance.Event, acts []balance.Action) []balance.Action {
				return sendTo(p, acts)
			}},
	} {
		r := mustRun(t, newSmallPlan(t, c.faults, 3), Options{InstanceFactory: func(n int, cfg balance.Config) (Instance, error) {
			b, err := balance.New(cfg)
			return &defectiveInstance{Instance: b, change: c.change}, err
		}})
		if r.ViolationsByRule[c.rule] == 0 {
			t.Errorf("rule %s: the planted fault was not seen; broken: %v", c.rule, r.ViolationsByRule)
			continue
		}
		for _, b := range r.Violations {
			if b.Rule == c.rule && b.Request != 0 && len(b.History) == 0 {
				t.Errorf("rule %s: no story of request %d", c.rule, b.Request)
			}
		}
	}
}

// All experiments of the repository are played, though only their first seconds.
func TestExperimentsRun(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no experiments", err)
	}
	for _, path := range files {
		f, err := lab.Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		p := f.NewPlan(0)
		p.DurationMS = 2000
		r := mustRun(t, p, Options{})
		if r.Requests == 0 || r.ViolationCount > 0 {
			t.Errorf("%s: %d requests, broken %+v", path, r.Requests, r.Violations)
		}
	}
}

func TestBaselinesKeepRetryRules(t *testing.T) {
	for _, policy := range Policies()[1:] {
		r := mustRun(t, everyFault(t, 2), Options{Policy: policy})
		for _, rule := range []lab.Rule{lab.RuleDuplicateEffect, lab.RuleParallelAttempts, lab.RuleDraining, lab.RuleSingleResponse} {
			if r.ViolationsByRule[rule] > 0 {
				t.Errorf("%s breaks rule %s: %+v", policy, rule, r.Violations[0])
			}
		}
	}
}

// BenchmarkFleet shows how the time of a run grows with the number of sidecars, at the same load.
func BenchmarkFleet(b *testing.B) {
	data, err := os.ReadFile("../../../experiments/fleet.toml")
	if err != nil {
		b.Fatal(err)
	}
	for _, sidecars := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) {
			f, err := lab.Parse("fleet.toml", data)
			if err != nil {
				b.Fatal(err)
			}
			f.Sidecars.Count = lab.Range{Min: float64(sidecars), Max: float64(sidecars)}
			events := 0
			for b.Loop() {
				p := f.NewPlan(0)
				p.DurationMS = 5000
				_, stats, err := Run(b.Context(), p, Options{})
				if err != nil {
					b.Fatal(err)
				}
				events += stats.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
