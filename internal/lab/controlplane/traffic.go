package controlplane

import (
	"math"
	"math/rand/v2"

	"milldeck/internal/release"
	"milldeck/internal/release/judge"
)

// traffic makes the counts that requests would have left, of a release of servers under way.
type traffic struct {
	cluster    *cluster
	random     *rand.Rand
	regression Regression
}

// Regression is how a version is worse than the one before.
type Regression struct {
	Name          string
	FailureRates  [2]float64 // added share of failures, of the common class and of the rarer one
	SlowUnderLoad bool       // 0.18 of the answers lie beyond a bound, 0.36 on it, while the load is high
	MemoryGrowth  float64    // share of memory a second
	RestartRate   float64    // share of its units that restart in a second
}

// Regressions are those that the figures are told of.
var Regressions = []Regression{
	{Name: "5% fail", FailureRates: [2]float64{0.05, 0.05}},
	{Name: "one class fails", FailureRates: [2]float64{0, 0.1}},
	{Name: "slower under load", SlowUnderLoad: true},
	{Name: "leaks", MemoryGrowth: 0.01},
	{Name: "restarts", RestartRate: 0.05},
}

var requestRates = []float64{40, 10} // requests a second of the classes, each server

// interval is one second, as sidecars would have reported it.
func (t *traffic) interval(state *release.State) judge.Interval {
	interval := judge.Interval{ExpectedReports: len(t.cluster.sidecars), ReceivedReports: len(t.cluster.sidecars)}
	nowSeconds := t.cluster.nowMS / 1000
	load, failureRate0, slowRate0 := 1.0, 0.003, 0.18
	if nowSeconds%50 >= 30 {
		load, slowRate0 = 1.6, 0.25
	}
	if nowSeconds%170 >= 150 { // an ordinary trouble, felt by all
		failureRate0 = 0.1
	}
	samplesByZone := map[string]*[2]judge.UnitStats{}
	ages := map[string]float64{}
	for _, zone := range zones {
		samplesByZone[zone] = &[2]judge.UnitStats{}
	}
	for index := range state.Units {
		member := t.cluster.unitsByID[state.Units[index].ID]
		if !member.observed.inService {
			continue
		}
		group := 0
		if member.version != "1" {
			group = 1
			ages[member.Zone] += float64(t.cluster.nowMS-member.bootMS) / 1000
		}
		samplesByZone[member.Zone][group].Units++
	}
	for _, zone := range zones {
		samples := samplesByZone[zone]
		for group := range samples {
			samples[group].MeanMemory = 100 * (1 + 0.02*t.random.NormFloat64())
		}
		samples[1].MeanMemory += 100 * t.regression.MemoryGrowth * ages[zone] / math.Max(float64(samples[1].Units), 1)
		samples[1].Restarts = t.binomial(samples[1].Units, t.regression.RestartRate)
		interval.Zones = append(interval.Zones, judge.ZoneSample{Zone: zone, Canary: samples[1], Baseline: samples[0]})
		for classIndex, class := range []string{"lookup", "simulate"} {
			counts := func(group int) judge.Counts {
				failureRate, slowRate := failureRate0, slowRate0
				if group == 1 {
					failureRate += t.regression.FailureRates[classIndex]
					if t.regression.SlowUnderLoad && load > 1 {
						slowRate += 0.18
					}
				}
				requests := t.binomial(int(2*float64(samples[group].Units)*load*requestRates[classIndex]), 0.5)
				failed := t.binomial(requests, failureRate)
				served := requests - failed
				slowest := t.binomial(served, slowRate)
				near := t.binomial(served-slowest, 0.25)
				return judge.Counts{Served: served, Late: t.binomial(served, 0.01), Failed: failed,
					LatencyHistogram: []uint32{uint32(served - slowest - near), uint32(near), uint32(slowest)}}
			}
			interval.Classes = append(interval.Classes, judge.ClassSample{Class: class, Zone: zone, Canary: counts(1), Baseline: counts(0)})
		}
	}
	return interval
}

// binomial is a binomial number: exact where few are expected, else by the normal law.
func (t *traffic) binomial(trials int, probability float64) int {
	mean := float64(trials) * probability
	if trials < 60 || mean < 15 {
		count := 0
		for range trials {
			if t.random.Float64() < probability {
				count++
			}
		}
		return count
	}
	return min(max(int(math.Round(mean+math.Sqrt(mean*(1-probability))*t.random.NormFloat64())), 0), trials)
}
