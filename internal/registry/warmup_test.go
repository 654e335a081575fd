package registry

import (
	"testing"
	"time"

	"milldeck/internal/disruption"
)

// A server is marked as warm once the leader has observed it warming up for the duration in one incarnation. The
// duration starts again for a server that restarts or was absent.
func TestWarmUpByDuration(t *testing.T) {
	tracker := newWarmUpTracker(60 * time.Second)
	start := time.Unix(1000, 0)
	warmingUp := func(id string, revision uint64) disruption.Unit {
		return disruption.Unit{ID: id, TransitionRevision: revision, Condition: disruption.ConditionWarmingUp}
	}
	for _, step := range []struct {
		at      time.Duration
		warming []disruption.Unit
		want    string
	}{
		{0, []disruption.Unit{warmingUp("server/a", 1), warmingUp("server/b", 2)}, ""},
		{59 * time.Second, []disruption.Unit{warmingUp("server/a", 1), warmingUp("server/b", 7)}, ""}, // b has restarted
		{60 * time.Second, []disruption.Unit{warmingUp("server/a", 1), warmingUp("server/b", 7)}, "server/a"},
		{61 * time.Second, []disruption.Unit{warmingUp("server/a", 1), warmingUp("server/b", 7)}, "server/a"}, // not applied yet: returned again
		{70 * time.Second, nil, ""}, // both are absent
		{119 * time.Second, []disruption.Unit{warmingUp("server/b", 7)}, ""},
		{179 * time.Second, []disruption.Unit{warmingUp("server/b", 7)}, "server/b"},
	} {
		got := ""
		for _, unit := range tracker.update(start.Add(step.at), step.warming) {
			if unit.Condition != disruption.ConditionUp || unit.TransitionRevision == 0 {
				t.Errorf("%v: %+v", step.at, unit)
			}
			got += unit.ID
		}
		if got != step.want {
			t.Errorf("%v: found %q, want %q", step.at, got, step.want)
		}
	}
}
