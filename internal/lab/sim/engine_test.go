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

// smallExperiment is an experiment that takes a fraction of a second to simulate; %s stands for its faults.
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
	experiment, err := lab.Parse("small.toml", fmt.Appendf(nil, smallExperiment, faults))
	if err != nil {
		t.Fatal(err)
	}
	return experiment.NewPlan(seed)
}

func mustRun(t *testing.T, plan *lab.Plan, options Options) *lab.Result {
	t.Helper()
	result, _, err := Run(t.Context(), plan, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// newFaultsPlan returns a plan of experiments/faults.toml, which has a fault of every kind.
func newFaultsPlan(t *testing.T, seed uint64) *lab.Plan {
	t.Helper()
	experiment, err := lab.Load("../../../experiments/faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	return experiment.NewPlan(seed)
}

func TestModuleKeepsRulesUnderEveryFault(t *testing.T) {
	for seed := range uint64(10) {
		result := mustRun(t, newFaultsPlan(t, seed+1), Options{})
		if result.ViolationCount > 0 || result.Requests < 3000 || result.ServedShare < 0.5 {
			t.Errorf("seed %d: %d requests, %.3f served, violations: %+v", seed+1, result.Requests, result.ServedShare, result.Violations)
		}
	}
}

func TestResultIndependentOfWorkers(t *testing.T) {
	var first []byte
	for _, workers := range []int{1, 6, 6, 3} {
		data, err := json.Marshal(mustRun(t, newFaultsPlan(t, 5), Options{Workers: workers}))
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = data
		}
		if !bytes.Equal(first, data) {
			t.Fatalf("the result with %d workers differs", workers)
		}
	}
}

// defectiveInstance wraps an instance and changes its actions so that they violate a rule.
type defectiveInstance struct {
	Instance
	change func(p *defectiveInstance, now float64, ev balance.Event, acts []balance.Action) []balance.Action

	servers []balance.ServerID
	target  balance.ServerID
}

func (d *defectiveInstance) Handle(now float64, event balance.Event) ([]balance.Action, error) {
	if update, ok := event.(balance.EndpointUpdate); ok {
		for _, server := range update.Servers {
			if update.Kind != balance.UpdateDelta {
				d.servers = append(d.servers, server.ID)
			}
			if update.Kind == balance.UpdateDelta && (server.State != balance.Ready || server.StartedAt > 0) {
				d.target = server.ID
			}
		}
	}
	actions, err := d.Instance.Handle(now, event)
	if err != nil {
		return actions, nil // the module rejects outcomes of actions that it did not return
	}
	return d.change(d, now, event, actions), nil
}

// redirect sends all attempts to the target of the instance.
func redirect(instance *defectiveInstance, actions []balance.Action) []balance.Action {
	for i := range actions {
		if actions[i].Kind == balance.Send && instance.target != 0 {
			actions[i].Server = instance.target
		}
	}
	return actions
}

// TestCheckerDetectsDefects checks, for every rule that an instance can violate, that the checker detects an instance that
// violates it, and that the checker reports the history of the request.
func TestCheckerDetectsDefects(t *testing.T) {
	drop := func(kinds ...balance.ActionKind) func(*defectiveInstance, float64, balance.Event, []balance.Action) []balance.Action {
		return func(_ *defectiveInstance, _ float64, _ balance.Event, actions []balance.Action) []balance.Action {
			var out []balance.Action
			for _, a := range actions {
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
			func(instance *defectiveInstance, _ float64, event balance.Event, actions []balance.Action) []balance.Action {
				// Retries a request that may have been executed, regardless of its class and the server.
				if outcome, ok := event.(balance.Outcome); ok && outcome.Result == balance.Reset && outcome.Attempt == 0 {
					to := instance.servers[0]
					if to == outcome.Server {
						to = instance.servers[1]
					}
					return []balance.Action{{Kind: balance.Send, Request: outcome.Request, Server: to}}
				}
				return actions
			}},
		{lab.RuleParallelAttempts, "", func(instance *defectiveInstance, _ float64, event balance.Event, actions []balance.Action) []balance.Action {
			out := append([]balance.Action(nil), actions...)
			for _, a := range actions {
				if a.Kind == balance.Send {
					out = append(out, balance.Action{Kind: balance.Send, Request: a.Request, Server: instance.servers[0]})
				}
			}
			return out
		}},
		{lab.RuleDraining, "[[fault]]\nkind = \"restart\"\ntarget = \"server:0\"\nat_s = 1\n",
			func(instance *defectiveInstance, _ float64, _ balance.Event, actions []balance.Action) []balance.Action {
				return redirect(instance, actions)
			}},
		{lab.RuleSlowStart, "[[fault]]\nkind = \"kill\"\ntarget = \"server:0\"\nat_s = 1\nfor_s = 1\n",
			func(instance *defectiveInstance, _ float64, _ balance.Event, actions []balance.Action) []balance.Action {
				return redirect(instance, actions)
			}},
	} {
		result := mustRun(t, newSmallPlan(t, c.faults, 3), Options{InstanceFactory: func(_ int, config balance.Config) (Instance, error) {
			instance, err := balance.New(config)
			return &defectiveInstance{Instance: instance, change: c.change}, err
		}})
		if result.ViolationsByRule[c.rule] == 0 {
			t.Errorf("rule %s: the injected defect was not detected; violations: %v", c.rule, result.ViolationsByRule)
			continue
		}
		for _, violation := range result.Violations {
			if violation.Rule == c.rule && violation.Request != 0 && len(violation.History) == 0 {
				t.Errorf("rule %s: no history of request %d", c.rule, violation.Request)
			}
		}
	}
}

// TestExperimentsRun simulates the first seconds of all experiments in the repository.
func TestExperimentsRun(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no experiments", err)
	}
	for _, path := range files {
		experiment, err := lab.Load(path)
		if err != nil {
			t.Error(err)
			continue
		}
		plan := experiment.NewPlan(0)
		plan.DurationMS = 2000
		result := mustRun(t, plan, Options{})
		if result.Requests == 0 || result.ViolationCount > 0 {
			t.Errorf("%s: %d requests, violations: %+v", path, result.Requests, result.Violations)
		}
	}
}

func TestBaselinesKeepRetryRules(t *testing.T) {
	for _, policy := range Policies()[1:] {
		result := mustRun(t, newFaultsPlan(t, 2), Options{Policy: policy})
		for _, rule := range []lab.Rule{lab.RuleDuplicateEffect, lab.RuleParallelAttempts, lab.RuleDraining, lab.RuleSingleResponse} {
			if result.ViolationsByRule[rule] > 0 {
				t.Errorf("%s violates rule %s: %+v", policy, rule, result.Violations[0])
			}
		}
	}
}

// BenchmarkFleet measures how the duration of a run grows with the number of sidecars at the same load.
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
