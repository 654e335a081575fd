package hotkey_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"milldeck/balance"
	"milldeck/internal/hotkey"
	"milldeck/internal/hotkey/topk"
	"milldeck/internal/lab"
	"milldeck/internal/lab/sim"
	"milldeck/internal/placement"
)

const unixStart = 1e9 // Unix time in s at which the virtual clock starts

// simulatedController runs a Planner for a simulated fleet. Sidecars receive its placement after a short delay.
type simulatedController struct {
	planner    *hotkey.Planner
	nextPlanMS float64
	revision   uint64
	directives map[string]placement.Directive
	sidecars   []*simulatedSidecar
}

// simulatedSidecar wraps a sidecar's instance of the decision module. Between the events of the instance, it measures and
// reports key loads and receives the placement.
type simulatedSidecar struct {
	sim.Instance
	controller     *simulatedController
	name           string
	sketch         *topk.Sketch
	nextReportMS   float64
	placementDueMS float64 // time at which the sidecar receives the placement; +Inf if it has the current placement
	revision       uint64
	actions        []balance.Action
}

func serverID(uid string) balance.ServerID {
	h := fnv.New64a()
	h.Write([]byte(uid))
	return balance.ServerID(h.Sum64())
}

func (c *simulatedController) plan(now float64) {
	if now < c.nextPlanMS {
		return
	}
	c.nextPlanMS = now + 250
	unixSeconds := unixStart + now/1000
	changed := false
	for _, change := range c.planner.Plan(unixSeconds) {
		c.revision++
		changed = true
		if change.Set == nil {
			delete(c.directives, change.RemoveID)
			c.planner.Confirm(change.RemoveID, c.revision)
			continue
		}
		c.directives[change.Set.ID] = *change.Set
		c.planner.Confirm(change.Set.ID, c.revision)
	}
	if changed {
		for i, sidecar := range c.sidecars {
			if math.IsInf(sidecar.placementDueMS, 1) {
				sidecar.placementDueMS = now + 30 + 100*float64(i%50)/50
			}
		}
	}
}

func (c *simulatedSidecar) Handle(now float64, event balance.Event) ([]balance.Action, error) {
	c.controller.plan(now)
	c.actions = c.actions[:0]
	if now >= c.placementDueMS {
		c.placementDueMS, c.revision = math.Inf(1), c.controller.revision
		var p balance.Placement
		for _, id := range slices.Sorted(maps.Keys(c.controller.directives)) {
			directive := c.controller.directives[id]
			hotKey := balance.HotKey{ExpiresAt: float64(directive.ExpiresAtMS) - unixStart*1000}
			hotKey.Key, _ = strconv.ParseUint(directive.KeyHash, 16, 64)
			for _, replica := range directive.Copies {
				hotKey.Replicas = append(hotKey.Replicas, balance.Replica{Server: serverID(replica.ServerUID), LoadFraction: replica.LoadFraction})
			}
			p.HotKeys = append(p.HotKeys, hotKey)
		}
		actions, err := c.Instance.Handle(now, p)
		if err != nil {
			return nil, err
		}
		c.actions = append(c.actions, actions...)
	}
	if request, ok := event.(balance.Request); ok && request.Key != 0 {
		c.sketch.Add(now/1000, request.Key, request.ExpectedWork)
	}
	if now >= c.nextReportMS {
		c.nextReportMS = now + 1000
		top := c.sketch.Top(now/1000, placement.MaxHotKeys)
		report := placement.LoadReport{Sidecar: c.name, PlacementRevision: c.revision, IntervalMS: 1000, TotalKeyLoad: top.Total}
		for _, load := range top.Keys {
			report.HotKeys = append(report.HotKeys, placement.KeyLoad{KeyHash: hotkey.FormatKey(load.Key), Load: load.Load, ErrorBound: load.Error})
		}
		c.controller.planner.AddReport(unixStart+now/1000, &report)
	}
	actions, err := c.Instance.Handle(now, event)
	c.actions = append(c.actions, actions...)
	return c.actions, err
}

// fleetExperiment returns experiments/fleet.toml without its faults, for 12 s from a start with empty caches, with the given
// number of sidecars, request rate and key skew.
func fleetExperiment(b *testing.B, sidecars, rate int, skew float64) *lab.Experiment {
	data, err := os.ReadFile("../../experiments/fleet.toml")
	if err != nil {
		b.Fatal(err)
	}
	text, _, _ := strings.Cut(string(data), "[[phase]]")
	text = strings.NewReplacer("duration_s = 60", "duration_s = 12", "count = 300", fmt.Sprint("count = ", sidecars),
		"key_skew = 0.7", fmt.Sprint("key_skew = ", skew)).Replace(text)
	experiment, err := lab.Parse("hot", fmt.Appendf([]byte(text), "[[phase]]\nrate = %d\n", rate))
	if err != nil {
		b.Fatal(err)
	}
	return experiment
}

// BenchmarkFleet runs the decision module in a simulated fleet of 200 servers without and with replicated keys, and reports
// the weighted share of requests served:
//
//	go test -run xxx -bench Fleet -benchtime 1x ./internal/hotkey
func BenchmarkFleet(b *testing.B) {
	for _, scenario := range []struct {
		name           string
		sidecars, rate int
		skew           float64
	}{
		{"calm", 300, 3000, 0.7}, {"hot-few", 300, 4000, 1.6}, {"hot-many", 1200, 3000, 1.6}, {"hot-many-full", 1200, 4500, 1.3},
		{"hottest-many-full", 1200, 4500, 1.6},
	} {
		b.Run(scenario.name, func(b *testing.B) {
			const seeds = 3
			var without, with float64
			for range b.N {
				for seed := range uint64(seeds) {
					p := fleetExperiment(b, scenario.sidecars, scenario.rate, scenario.skew).NewPlan(seed + 1)
					without += simulateFleet(b, p, sim.Options{Workers: 2}) / seeds
					with += simulateFleet(b, p, sim.Options{Workers: 1, InstanceFactory: newSimulatedController(b, p).newSidecar}) / seeds
				}
			}
			b.ReportMetric(without/float64(b.N), "worth-without")
			b.ReportMetric(with/float64(b.N), "worth-with")
		})
	}
}

func simulateFleet(b *testing.B, p *lab.Plan, o sim.Options) float64 {
	r, _, err := sim.Run(b.Context(), p, o)
	if err != nil {
		b.Fatal(err)
	}
	if r.ViolationCount > 0 {
		b.Errorf("%v", r.Violations)
	}
	return r.WeightedServedShare
}

func newSimulatedController(b *testing.B, p *lab.Plan) *simulatedController {
	planner, err := hotkey.NewPlanner(hotkey.DefaultConfig(5000, 140))
	if err != nil {
		b.Fatal(err)
	}
	var servers []hotkey.Server
	for i := range p.Servers {
		s := &p.Servers[i]
		servers = append(servers, hotkey.Server{UID: s.UID, Zone: fmt.Sprint(s.Zone), PodGroup: s.Cell, Capacity: 1, Ready: true})
	}
	planner.SetServers(servers)
	planner.SetExpectedSidecars(len(p.Sidecars))
	return &simulatedController{planner: planner, directives: map[string]placement.Directive{}}
}

// newSidecar creates the module instance of one sidecar and wraps it in a simulatedSidecar.
func (c *simulatedController) newSidecar(number int, config balance.Config) (sim.Instance, error) {
	module, err := balance.New(config)
	sidecar := &simulatedSidecar{Instance: module, controller: c, name: fmt.Sprint("car", number), sketch: topk.New(64, 0.7), nextReportMS: float64(number%100) * 10, placementDueMS: math.Inf(1)}
	c.sidecars = append(c.sidecars, sidecar)
	return sidecar, err
}
