package bench

import (
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// TestSmallBenchmark runs every step at the smallest size. All changes must reach all watchers, and no result may be missing.
func TestSmallBenchmark(t *testing.T) {
	var progress []string
	options := Options{
		Program: proctest.Program(t, "milldeck"), Dir: t.TempDir(), Instances: 20, Watchers: 6, ChangesPerSecond: 20,
		WatchDuration: 500 * time.Millisecond, Writers: 2, WriteDuration: 200 * time.Millisecond, LeaderKills: 1, LogEntries: 100,
		Progress: func(line string) { progress = append(progress, line) },
	}
	result, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	if result.Changes == 0 || result.MissedChanges > 0 {
		t.Errorf("%d changes, %d of them missed by some watchers", result.Changes, result.MissedChanges)
	}
	for name, value := range map[string]float64{
		"watch p50": result.WatchP50MS, "watch maximum": result.WatchMaxMS, "bytes a change": result.DeltaBytes,
		"complete list": float64(result.CompleteListBytes), "writes, 1 replica": result.SingleWritesPerSecond,
		"writes, 3 replicas": result.ClusterWritesPerSecond, "leader gap": result.LeaderGapMaxMS,
		"restart from the log": result.RestartFromLogMS, "restart from a snapshot": result.RestartFromSnapshotMS,
		"duration": result.Seconds,
	} {
		if !(value > 0) {
			t.Errorf("%s: %v", name, value)
		}
	}
	if len(progress) == 0 {
		t.Error("no progress was reported")
	}
}

// A change counts as delivered when every watcher has received it, on its own or as part of a later event.
func TestDeliveryTracker(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := newDeliveryTracker(2)
	tracker.recordReceived(0, 1, start) // before the acknowledgement
	tracker.recordAcknowledged(1, start.Add(time.Millisecond))
	tracker.recordAcknowledged(2, start.Add(2*time.Millisecond))
	if _, missed := tracker.summarize(); missed != 2 || tracker.acknowledgedCount() != 2 {
		t.Errorf("%d of %d changes missed, want 2 of 2", missed, tracker.acknowledgedCount())
	}
	tracker.recordReceived(0, 2, start.Add(5*time.Millisecond))
	tracker.recordReceived(1, 2, start.Add(10*time.Millisecond))
	latencies, missed := tracker.summarize()
	if missed != 0 || latencies.TotalCount() != 2 || quantileMS(latencies, 100) < 8 {
		t.Errorf("%d missed, %d delivered, at most %v ms; want 0, 2, 8 ms or more",
			missed, latencies.TotalCount(), quantileMS(latencies, 100))
	}
}
