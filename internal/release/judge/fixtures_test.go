package judge

import (
	"bytes"
	"fmt"
	"testing"

	"milldeck/internal/goldentest"
)

// fixtureInterval returns one interval of synthetic counts: zone a has a common and a rare class, zone b a common one. No
// count is random, so the verdicts depend only on the comparisons.
func fixtureInterval(second int, failingPercent, latePercent, slowPercent, restarts int, memoryRatio float64) Interval {
	counts := func(requests, failed, late, slow int) Counts {
		served := requests - failed
		return Counts{Served: served, Late: late, Failed: failed,
			LatencyHistogram: []uint32{uint32(served - served/5 - slow), uint32(served / 5), uint32(slow)}}
	}
	requests := 60 + second%7
	if second%20 >= 15 {
		requests *= 2
	}
	interval := Interval{ExpectedReports: 4, ReceivedReports: 4}
	if second%33 == 32 {
		interval.ReceivedReports = 1
	}
	for _, stratum := range []struct {
		class, zone    string
		requestDivisor int
	}{{"lookup", "a", 1}, {"lookup", "b", 1}, {"simulate", "a", 4}} {
		classRequests := requests / stratum.requestDivisor
		percent := func(percentage int) int { return percentage * classRequests / 100 }
		interval.Classes = append(interval.Classes, ClassSample{
			Class: stratum.class, Zone: stratum.zone,
			Canary:   counts(classRequests, percent(failingPercent), percent(latePercent), percent(slowPercent)),
			Baseline: counts(10*classRequests, second%3, second%5, classRequests),
		})
	}
	for _, zone := range []string{"a", "b"} {
		interval.Zones = append(interval.Zones, ZoneSample{
			Zone:     zone,
			Canary:   UnitStats{Units: 2, Restarts: restarts, MeanMemory: 100 * memoryRatio},
			Baseline: UnitStats{Units: 20, Restarts: second % 2, MeanMemory: 100},
		})
	}
	return interval
}

// Verdicts and their reasons must not change between builds: operators and logs show the reasons, and halts follow from the
// verdicts.
func TestVerdictsAreAsBefore(t *testing.T) {
	var lines bytes.Buffer
	for _, c := range []struct {
		name       string
		intervalAt func(second int) Interval
	}{
		{"healthy", func(second int) Interval { return fixtureInterval(second, 0, 1, 5, 0, 1) }},
		{"fails", func(second int) Interval { return fixtureInterval(second, 8, 0, 5, 0, 1) }},
		{"late", func(second int) Interval { return fixtureInterval(second, 0, 9, 5, 0, 1) }},
		{"slow", func(second int) Interval { return fixtureInterval(second, 0, 0, 60, 0, 1) }},
		{"restarts", func(second int) Interval { return fixtureInterval(second, 0, 0, 5, second%2, 1) }},
		{"leaks", func(second int) Interval { return fixtureInterval(second, 0, 0, 5, 0, 1+0.01*float64(second)) }},
		{"silent", func(second int) Interval {
			interval := fixtureInterval(second, 0, 0, 5, 0, 1)
			if second > 10 {
				interval.ReceivedReports = 0
			}
			return interval
		}},
	} {
		judge := New(testSettings)
		last := Verdict{Outcome: "none"}
		for second := range 120 {
			if v := judge.Add(c.intervalAt(second)); v != last {
				last = v
				fmt.Fprintf(&lines, "%s %d %s: %s\n", c.name, second, v.Outcome, v.Reason)
			}
		}
	}
	goldentest.Compare(t, "verdicts.txt", lines.Bytes())
}
