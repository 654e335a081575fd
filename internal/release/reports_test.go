package release

import (
	"reflect"
	"testing"

	"milldeck/internal/placement"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

func TestEmptinessNeedsEveryLivingSidecar(t *testing.T) {
	e := NewEmptiness(1000)
	look := func(now int64, has map[string]uint64, living ...string) bool {
		e.Look(now, []string{"s"}, 50, living, has)
		return e.Empty(now, "s")
	}
	for i, c := range []struct {
		now    int64
		has    map[string]uint64
		living []string
		want   bool
	}{
		{1000, map[string]uint64{"a": 60}, []string{"a", "b"}, false}, // b says nothing
		{5000, map[string]uint64{"a": 60, "b": 49}, []string{"a", "b"}, false},
		{6000, map[string]uint64{"a": 60, "b": 50}, []string{"a", "b"}, false}, // what it sent may be open still
		{6900, map[string]uint64{"a": 60, "b": 50, "c": 9}, []string{"a", "b", "c"}, false},
		{7000, map[string]uint64{"a": 60, "b": 50, "c": 51}, []string{"a", "b", "c"}, false}, // c was behind
		{7999, map[string]uint64{"a": 60, "b": 50, "c": 51}, []string{"a", "b", "c"}, false},
		{8000, map[string]uint64{"a": 60, "b": 50, "c": 51}, []string{"a", "b", "c"}, true},
		{8100, map[string]uint64{"a": 60, "b": 50}, []string{"a", "b", "c"}, false}, // c has fallen silent
	} {
		if got := look(c.now, c.has, c.living...); got != c.want {
			t.Errorf("%d: empty %v, want %v", i, got, c.want)
		}
	}
	e.Look(9000, nil, 60, nil, nil)
	if look(9001, nil); len(e.marks) != 1 || e.Empty(9500, "s") {
		t.Error("one that was put back and drains again is not proved anew")
	}
}

func TestIntervalOfReports(t *testing.T) {
	s := &State{Name: "r", Plan: &plan.Plan{What: plan.What{Server: "2"}}, Units: []Unit{
		{ID: "server/n", Name: "n", Stage: Rest}, {ID: "server/o", Name: "o", Stage: Todo}}}
	count := func(cohort string, served int, slow uint32) placement.ClassCount {
		return placement.ClassCount{Class: "c", Zone: "z", Cohort: cohort, Succeeded: served, Failed: 1, LatencyHistogram: []uint32{uint32(served) - slow, slow}}
	}
	list := func(restarts int) *supervisor.List {
		return &supervisor.List{Epoch: 1, Units: []supervisor.Unit{
			{Name: "n", Kind: supervisor.Server, Zone: "z", State: supervisor.Running, Incarnation: 2, Restarts: restarts},
			{Name: "o", Kind: supervisor.Server, Zone: "z", State: supervisor.Running, Incarnation: 1},
			{Name: "x", Kind: supervisor.Sidecar, Zone: "z", State: supervisor.Running, Incarnation: 3}}}
	}
	got := s.Interval([]placement.LoadReport{
		{Sidecar: "a", Zone: "y", ClassCounts: []placement.ClassCount{count("r", 5, 1), count("", 20, 2)}},
		{Sidecar: "b", Zone: "y", ClassCounts: []placement.ClassCount{count("r", 4, 0), count("other", 30, 0)}},
	}, 3, list(1), list(3))
	want := judge.Interval{Expected: 3, Reports: 2,
		Pairs: []judge.Pair{{Class: "c", Zone: "z", New: judge.Counts{Served: 9, Failed: 2, Latency: []uint32{8, 1}},
			Old: judge.Counts{Served: 20, Failed: 1, Latency: []uint32{18, 2}}}},
		Zones: []judge.ZonePair{{Zone: "z", New: judge.Side{Units: 1, Restarts: 2}, Old: judge.Side{Units: 1}}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
}
