package faultsoak

import (
	"testing"
	"time"
)

// The numbers that a generator draws depend on the seed and the name of the part. Otherwise a second run with the same seed
// would not inject the same faults.
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
		t.Error("the draws are not determined by seed and part")
	}
}

// SIGKILL after SIGTERM excuses unanswered requests that were sent before SIGTERM or up to 0.7 s after it. SIGKILL without
// SIGTERM excuses all requests in flight. With fewer excuses the oracle would report losses that the protocol allows; with more
// it would miss broken promises.
func TestKillExcusesRequests(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		termAt, killedAt, sentAt time.Duration // how long before now; 0: never
		writing                  time.Duration // time between writing the first and the last byte
		want                     bool
	}{
		"not killed":                               {0, 0, time.Second, 0, false},
		"SIGKILL without SIGTERM":                  {0, time.Second, 2 * time.Second, 0, true},
		"killed before the request was sent":       {0, 3 * time.Second, 2 * time.Second, 0, false},
		"killed while the request was written":     {0, time.Second, 700 * time.Millisecond, 400 * time.Millisecond, true},
		"killed before the first byte was written": {0, time.Second, 700 * time.Millisecond, 0, false},
		"sent within the grace after SIGTERM":      {4 * time.Second, time.Second, 3500 * time.Millisecond, 0, true},
		"sent after the grace":                     {4 * time.Second, time.Second, 3 * time.Second, 0, false},
		"sent before SIGTERM":                      {4 * time.Second, time.Second, 5 * time.Second, 0, true},
		"sent to the next process":                 {4 * time.Second, 2 * time.Second, time.Second, 0, false},
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

// The soak sends SIGKILL as early after SIGTERM as the protocol allows: after the longest deadline, of which at most 3 s count,
// plus 0.7 s. A later SIGKILL would hide a sidecar that drains too slowly.
func TestKillComesAtTheEarliest(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{
		1200 * time.Millisecond: 1900 * time.Millisecond, 3 * time.Second: 3700 * time.Millisecond, 4500 * time.Millisecond: 3700 * time.Millisecond,
	} {
		if got := killAfterTerm(newClasses(longest, time.Second)); got != want {
			t.Errorf("longest deadline %v: SIGKILL comes %v after SIGTERM, want %v", longest, got, want)
		}
	}
}
