package leaderelection_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/leaderelection/bench"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// runFaultBench runs the bench and requires that guarded writes took effect, and none of them twice.
func runFaultBench(t *testing.T, opts bench.Options) *bench.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	opts.Program, opts.Dir, opts.Replicas = proctest.Program(t, "milldeck"), t.TempDir(), 3
	opts.TTL, opts.CheckpointInterval, opts.Leases = 600*time.Millisecond, 20*time.Millisecond, 16
	result, err := bench.Run(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	if result.DuplicateWrites > 0 || result.GuardedWrites == 0 {
		t.Errorf("%d of %d guarded writes took effect twice: %v", result.DuplicateWrites, result.GuardedWrites, result.Violations)
	}
	return result
}

// requireMutualExclusion calls runFaultBench and requires mutual exclusion: no two processes consider themselves the holder
// of one lease at the same time.
func requireMutualExclusion(t *testing.T, opts bench.Options) *bench.Result {
	t.Helper()
	result := runFaultBench(t, opts)
	if result.Overlaps > 0 || len(result.Violations) > 0 {
		t.Errorf("%d overlaps: %v", result.Overlaps, result.Violations)
	}
	return result
}

// Mutual exclusion holds with clocks that run fast, or slow within the safety margin, or whose wall time jumps.
func TestClockFaultsWithinSafetyMargin(t *testing.T) {
	requireMutualExclusion(t, bench.Options{Seed: 5, Faults: 40, FreezeHolders: true, ClockFaults: []string{"rate=0.93", "rate=1.5", "jump=1h/300ms", ""}})
}

// Clocks at half speed break mutual exclusion: a frozen holder still considers itself the holder after it resumes, while the
// next holder works. Guarded writes under the first holder's token must be rejected nevertheless.
func TestGuardRejectsWritesOfSlowClocks(t *testing.T) {
	result := runFaultBench(t, bench.Options{Seed: 6, Faults: 40, FreezeHolders: true, ClockFaults: []string{"rate=0.5"}})
	if result.Overlaps == 0 || result.RejectedWrites == 0 {
		t.Errorf("%d overlaps, %d late writes rejected: both are needed for the run to test the guard", result.Overlaps, result.RejectedWrites)
	}
}

// Mutual exclusion holds while holders are killed at random moments of their work, and other holders are stopped gracefully.
func TestHolderKilled(t *testing.T) {
	if result := requireMutualExclusion(t, bench.Options{Seed: 1, Faults: 300}); result.Kills < 170 {
		t.Errorf("only %d kills", result.Kills)
	}
}

// Mutual exclusion holds while holders are frozen for longer than their leases. Some holders resume in the middle of a write, and
// the registry must reject that write.
func TestHolderFrozen(t *testing.T) {
	if result := requireMutualExclusion(t, bench.Options{Seed: 2, Faults: 100, FreezeHolders: true}); result.Freezes < 15 || result.RejectedWrites == 0 {
		t.Errorf("%d freezes, %d late writes rejected", result.Freezes, result.RejectedWrites)
	}
}

// Mutual exclusion holds while raft leaders of the registry are killed and leases change hands.
func TestRegistryLeaderKilled(t *testing.T) {
	if result := requireMutualExclusion(t, bench.Options{Seed: 4, Faults: 100, FreezeHolders: true, LeaderKillInterval: 1500 * time.Millisecond}); result.LeaderKills == 0 {
		t.Error("no raft leader was killed")
	}
}

// A run that takes longer than its timeout fails with an error that names the timeout.
func TestBenchStopsAtItsTimeout(t *testing.T) {
	const timeout = 3 * time.Second
	opts := bench.Options{Program: proctest.Program(t, "milldeck"), Dir: t.TempDir(), Replicas: 1, Leases: 2, Faults: 1e6, Timeout: timeout}
	opts.TTL, opts.CheckpointInterval = time.Second, 20*time.Millisecond
	if result, err := bench.Run(t.Context(), opts); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("the bench did not finish within %v", timeout)) {
		t.Errorf("result %+v, error %v, want the timeout", result, err)
	}
}
