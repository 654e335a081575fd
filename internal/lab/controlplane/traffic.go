package controlplane

import (
	"math"
	"math/rand/v2"

	"milldeck/internal/release"
	"milldeck/internal/release/judge"
)

// traffic makes the counts that requests would have left, of a release of servers under way.
type traffic struct {
	w    *world
	rng  *rand.Rand
	harm Harm
}

// Harm is how a version is worse than the one before.
type Harm struct {
	Name       string
	Fail       [2]float64 // added share of failures, of the common class and of the rarer one
	Slow       bool       // 0.18 of the answers lie beyond a bound, 0.36 on it, while the load is high
	Leak       float64    // share of memory a second
	Restarting float64    // share of its units that restart in a second
}

// Harms are those that the figures are told of.
var Harms = []Harm{
	{Name: "5% fail", Fail: [2]float64{0.05, 0.05}},
	{Name: "one class fails", Fail: [2]float64{0, 0.1}},
	{Name: "slower under load", Slow: true},
	{Name: "leaks", Leak: 0.01},
	{Name: "restarts", Restarting: 0.05},
}

var rates = []float64{40, 10} // requests a second of the classes, each server

// interval is one second, as sidecars would have reported it.
func (t *traffic) interval(s *release.State) judge.Interval {
	in := judge.Interval{ExpectedReports: len(t.w.sidecars), ReceivedReports: len(t.w.sidecars)}
	now := t.w.now / 1000
	load, fail, slow := 1.0, 0.003, 0.18
	if now%50 >= 30 {
		load, slow = 1.6, 0.25
	}
	if now%170 >= 150 { // an ordinary trouble, felt by all
		fail = 0.1
	}
	sides := map[string]*[2]judge.UnitStats{}
	ages := map[string]float64{}
	for _, zone := range zones {
		sides[zone] = &[2]judge.UnitStats{}
	}
	for i := range s.Units {
		u := t.w.by[s.Units[i].ID]
		if !u.judged.in {
			continue
		}
		side := 0
		if u.version != "1" {
			side = 1
			ages[u.Zone] += float64(t.w.now-u.bootMS) / 1000
		}
		sides[u.Zone][side].Units++
	}
	for _, zone := range zones {
		at := sides[zone]
		for k := range at {
			at[k].MeanMemory = 100 * (1 + 0.02*t.rng.NormFloat64())
		}
		at[1].MeanMemory += 100 * t.harm.Leak * ages[zone] / math.Max(float64(at[1].Units), 1)
		at[1].Restarts = t.draw(at[1].Units, t.harm.Restarting)
		in.Zones = append(in.Zones, judge.ZoneSample{Zone: zone, Canary: at[1], Baseline: at[0]})
		for c, class := range []string{"lookup", "simulate"} {
			counts := func(side int) judge.Counts {
				f, sl := fail, slow
				if side == 1 {
					f += t.harm.Fail[c]
					if t.harm.Slow && load > 1 {
						sl += 0.18
					}
				}
				n := t.draw(int(2*float64(at[side].Units)*load*rates[c]), 0.5)
				failed := t.draw(n, f)
				served := n - failed
				beyond := t.draw(served, sl)
				near := t.draw(served-beyond, 0.25)
				return judge.Counts{Served: served, Late: t.draw(served, 0.01), Failed: failed,
					LatencyHistogram: []uint32{uint32(served - beyond - near), uint32(near), uint32(beyond)}}
			}
			in.Classes = append(in.Classes, judge.ClassSample{Class: class, Zone: zone, Canary: counts(1), Baseline: counts(0)})
		}
	}
	return in
}

// draw is a binomial number: exact where few are expected, else by the normal law.
func (t *traffic) draw(n int, p float64) int {
	mean := float64(n) * p
	if n < 60 || mean < 15 {
		k := 0
		for range n {
			if t.rng.Float64() < p {
				k++
			}
		}
		return k
	}
	return min(max(int(math.Round(mean+math.Sqrt(mean*(1-p))*t.rng.NormFloat64())), 0), n)
}
