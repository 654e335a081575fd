package release

import (
	"reflect"
	"testing"

	"milldeck/internal/placement"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// Guards against counts on the wrong side of the comparison: the counts of the release's cohort belong to the canary, and
// the counts of another release's cohort are left out.
func TestIntervalFromReports(t *testing.T) {
	state := &State{Name: "r", Plan: &plan.Plan{Change: plan.Change{ServerVersion: "2"}}, Units: []Unit{
		{ID: "server/n", Name: "n", Stage: StageConverged}, {ID: "server/o", Name: "o", Stage: StagePending}}}
	count := func(cohort string, served int, slow uint32) placement.ClassCount {
		return placement.ClassCount{
			Class: "c", Zone: "z", Cohort: cohort, Succeeded: served, Failed: 1,
			LatencyHistogram: []uint32{uint32(served) - slow, slow},
		}
	}
	list := func(restarts int) *supervisor.List {
		return &supervisor.List{Epoch: 1, Units: []supervisor.Unit{
			{Name: "n", Kind: supervisor.Server, Zone: "z", State: supervisor.Running, Incarnation: 2, Restarts: restarts},
			{Name: "o", Kind: supervisor.Server, Zone: "z", State: supervisor.Running, Incarnation: 1},
			{Name: "x", Kind: supervisor.Sidecar, Zone: "z", State: supervisor.Running, Incarnation: 3}}}
	}
	got := state.Interval([]placement.LoadReport{
		{Sidecar: "a", Zone: "y", ClassCounts: []placement.ClassCount{count("r", 5, 1), count("", 20, 2)}},
		{Sidecar: "b", Zone: "y", ClassCounts: []placement.ClassCount{count("r", 4, 0), count("other", 30, 0)}},
	}, 3, list(1), list(3))
	want := judge.Interval{ExpectedReports: 3, ReceivedReports: 2,
		Classes: []judge.ClassSample{{
			Class: "c", Zone: "z",
			Canary:   judge.Counts{Served: 9, Failed: 2, LatencyHistogram: []uint32{8, 1}},
			Baseline: judge.Counts{Served: 20, Failed: 1, LatencyHistogram: []uint32{18, 2}},
		}},
		Zones: []judge.ZoneSample{{
			Zone:     "z",
			Canary:   judge.UnitStats{Units: 1, Restarts: 2},
			Baseline: judge.UnitStats{Units: 1},
		}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
}
