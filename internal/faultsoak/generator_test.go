package faultsoak

import (
	"testing"
	"time"
)

// Each part of a run draws the same for a seed, and something else for another seed or part.
func TestGeneratorFollowsFromSeedAndPart(t *testing.T) {
	draw := func(seed uint64, part string) (drawn [4]int) {
		random := newGenerator(seed, part)
		for i := range drawn {
			drawn[i] = random.IntN(1 << 30)
		}
		return drawn
	}
	first := draw(7, "client 1 2")
	if draw(7, "client 1 2") != first || draw(8, "client 1 2") == first || draw(7, "client 1 3") == first {
		t.Error("the draws do not follow from seed and part")
	}
}

// A kill after SIGTERM excuses what came within 0.7 s of it; an unannounced one excuses all that is in flight.
func TestKillExcusesWhatCameSoon(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		termAt, killedAt, sentAt time.Duration // before now; 0: never
		writing                  time.Duration // between its first byte and its last
		want                     bool
	}{
		"not killed":                  {0, 0, time.Second, 0, false},
		"killed, unannounced":         {0, time.Second, 2 * time.Second, 0, true},
		"killed before it was sent":   {0, 3 * time.Second, 2 * time.Second, 0, false},
		"killed while it was written": {0, time.Second, 700 * time.Millisecond, 400 * time.Millisecond, true},
		"killed before it was begun":  {0, time.Second, 700 * time.Millisecond, 0, false},
		"soon after SIGTERM":          {4 * time.Second, time.Second, 3500 * time.Millisecond, 0, true},
		"late after SIGTERM":          {4 * time.Second, time.Second, 3 * time.Second, 0, false},
		"before SIGTERM":              {4 * time.Second, time.Second, 5 * time.Second, 0, true},
		"after the kill, to another":  {4 * time.Second, 2 * time.Second, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			target := &sidecar{records: newRecords(0)}
			if c.killedAt > 0 {
				target.killedAt = now.Add(-c.killedAt)
			}
			if c.termAt > 0 {
				target.killedProcessTermAt = now.Add(-c.termAt)
			}
			if excused := target.excusedByKill(now.Add(-c.sentAt-c.writing), now.Add(-c.sentAt)); excused != c.want {
				t.Errorf("excused %v, want %v", excused, c.want)
			}
		})
	}
}

// SIGKILL comes at the earliest that the protocol allows: after the longest deadline, which counts for 3 s at most, and 0.7 s more.
func TestKillComesAtTheEarliest(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		1200 * time.Millisecond: 1900 * time.Millisecond, 3 * time.Second: 3700 * time.Millisecond, 4500 * time.Millisecond: 3700 * time.Millisecond,
	} {
		if got := killAfterTerm(newClasses(longest, time.Second)); got != want {
			t.Errorf("longest deadline %v: %v after SIGTERM, want %v", longest, got, want)
		}
	}
}
