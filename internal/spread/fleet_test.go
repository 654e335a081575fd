package spread_test

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
	"milldeck/internal/lab"
	"milldeck/internal/lab/sim"
	"milldeck/internal/placement"
	"milldeck/internal/spread"
	"milldeck/internal/spread/summary"
)

const unix = 1e9 // s, of the virtual clock's start

// control is a Decider over the sidecars of a simulated fleet, with a placement that each gets a little later.
type control struct {
	d       *spread.Decider
	next    float64 // ms: the next decision
	rev     uint64
	entries map[string]placement.Directive
	cars    []*car
}

// car is a sidecar's instance of the module, which sums up heat, reports and gets the placement between its events.
type car struct {
	sim.Instance
	of   *control
	name string
	heat *summary.Summary
	next float64 // ms: its next report
	due  float64 // ms: when it hears of the placement; +Inf: it has it
	rev  uint64
	acts []balance.Action
}

func serverID(uid string) balance.ServerID {
	h := fnv.New64a()
	h.Write([]byte(uid))
	return balance.ServerID(h.Sum64())
}

func (c *control) decide(now float64) {
	if now < c.next {
		return
	}
	c.next = now + 250
	s := unix + now/1000
	changed := false
	for _, f := range c.d.Decide(s) {
		c.rev++
		changed = true
		if f.Put == nil {
			delete(c.entries, f.Drop)
			c.d.Wrote(f.Drop, c.rev)
			continue
		}
		c.entries[f.Put.ID] = *f.Put
		c.d.Wrote(f.Put.ID, c.rev)
	}
	if changed {
		for i, car := range c.cars {
			if math.IsInf(car.due, 1) {
				car.due = now + 30 + 100*float64(i%50)/50
			}
		}
	}
}

func (c *car) Handle(now float64, ev balance.Event) ([]balance.Action, error) {
	c.of.decide(now)
	c.acts = c.acts[:0]
	if now >= c.due {
		c.due, c.rev = math.Inf(1), c.of.rev
		var p balance.Placement
		for _, id := range slices.Sorted(maps.Keys(c.of.entries)) {
			e := c.of.entries[id]
			s := balance.HotKey{ExpiresAt: float64(e.ExpiresAtMS) - unix*1000}
			s.Key, _ = strconv.ParseUint(e.KeyHash, 16, 64)
			for _, copied := range e.Copies {
				s.Replicas = append(s.Replicas, balance.Replica{Server: serverID(copied.ServerUID), LoadFraction: copied.LoadFraction})
			}
			p.HotKeys = append(p.HotKeys, s)
		}
		acts, err := c.Instance.Handle(now, p)
		if err != nil {
			return nil, err
		}
		c.acts = append(c.acts, acts...)
	}
	if r, is := ev.(balance.Request); is && r.Key != 0 {
		c.heat.Add(now/1000, r.Key, r.ExpectedWork)
	}
	if now >= c.next {
		c.next = now + 1000
		top := c.heat.Top(now/1000, placement.MaxHotKeys)
		r := placement.LoadReport{Sidecar: c.name, PlacementRevision: c.rev, IntervalMS: 1000, TotalKeyLoad: top.All}
		for _, f := range top.Figures {
			r.HotKeys = append(r.HotKeys, placement.KeyLoad{KeyHash: spread.Name(f.Key), Load: f.Load, ErrorBound: f.Error})
		}
		c.of.d.Report(unix+now/1000, &r)
	}
	acts, err := c.Instance.Handle(now, ev)
	c.acts = append(c.acts, acts...)
	return c.acts, err
}

// hotDay is experiments/fleet.toml without its faults, for 12 s from a cold start, with other figures.
func hotDay(b *testing.B, sidecars, rate int, skew float64) *lab.File {
	data, err := os.ReadFile("../../experiments/fleet.toml")
	if err != nil {
		b.Fatal(err)
	}
	text, _, _ := strings.Cut(string(data), "[[phase]]")
	text = strings.NewReplacer("duration_s = 60", "duration_s = 12", "count = 300", fmt.Sprint("count = ", sidecars),
		"key_skew = 0.7", fmt.Sprint("key_skew = ", skew)).Replace(text)
	f, err := lab.Parse("hot", fmt.Appendf([]byte(text), "[[phase]]\nrate = %d\n", rate))
	if err != nil {
		b.Fatal(err)
	}
	return f
}

// BenchmarkFleet plays the module in a simulated fleet of 200 servers without a spreader and with one, and tells the
// worth served: go test -run xxx -bench Fleet -benchtime 1x ./internal/spread
func BenchmarkFleet(b *testing.B) {
	for _, day := range []struct {
		name           string
		sidecars, rate int
		skew           float64
	}{
		{"calm", 300, 3000, 0.7}, {"hot-few", 300, 4000, 1.6}, {"hot-many", 1200, 3000, 1.6}, {"hot-many-full", 1200, 4500, 1.3},
		{"hottest-many-full", 1200, 4500, 1.6},
	} {
		b.Run(day.name, func(b *testing.B) {
			const seeds = 3
			var without, with float64
			for range b.N {
				for seed := range uint64(seeds) {
					p := hotDay(b, day.sidecars, day.rate, day.skew).Draw(seed + 1)
					without += playFleet(b, p, sim.Options{Workers: 2}) / seeds
					with += playFleet(b, p, sim.Options{Workers: 1, New: newControl(b, p).instance}) / seeds
				}
			}
			b.ReportMetric(without/float64(b.N), "worth-without")
			b.ReportMetric(with/float64(b.N), "worth-with")
		})
	}
}

func playFleet(b *testing.B, p *lab.Plan, o sim.Options) float64 {
	r, _, err := sim.Run(b.Context(), p, o)
	if err != nil {
		b.Fatal(err)
	}
	if r.BrokenRules > 0 {
		b.Errorf("%v", r.Broken)
	}
	return r.WorthShare
}

func newControl(b *testing.B, p *lab.Plan) *control {
	d, err := spread.New(spread.Default(5000, 140))
	if err != nil {
		b.Fatal(err)
	}
	var list []spread.Server
	for i := range p.Servers {
		s := &p.Servers[i]
		list = append(list, spread.Server{UID: s.UID, Zone: fmt.Sprint(s.Zone), Pod: s.Pod, Capacity: 1, Ready: true})
	}
	d.Servers(list)
	d.Sidecars(len(p.Sidecars))
	return &control{d: d, entries: map[string]placement.Directive{}}
}

// instance makes one sidecar's.
func (c *control) instance(n int, cfg balance.Config) (sim.Instance, error) {
	module, err := balance.New(cfg)
	made := &car{Instance: module, of: c, name: fmt.Sprint("car", n), heat: summary.New(64, 0.7), next: float64(n%100) * 10, due: math.Inf(1)}
	c.cars = append(c.cars, made)
	return made, err
}
