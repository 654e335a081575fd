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

// runFaultBench runs the bench and requires that no guarded write took effect twice.
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

// requireExclusion is runFaultBench, and requires mutual exclusion: no two processes believe at a time to hold a lease.
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

// Clocks at half the speed break mutual exclusion: a frozen holder goes on believing while the next one works. Its writes
// are rejected all the same.
func TestGuardRejectsWritesOfSlowClocks(t *testing.T) {
	result := runFaultBench(t, bench.Options{Seed: 6, Faults: 40, FreezeHolders: true, ClockFaults: []string{"rate=0.5"}})
	if result.Overlaps == 0 || result.RejectedWrites == 0 {
		t.Errorf("%d overlaps, %d late writes rejected: the run shows nothing", result.Overlaps, result.RejectedWrites)
	}
}

// Holders are killed at random moments of their work; others are stopped in good order.
func TestHolderKilled(t *testing.T) {
	if result := requireMutualExclusion(t, bench.Options{Seed: 1, Faults: 300}); result.Kills < 170 {
		t.Errorf("only %d kills", result.Kills)
	}
}

// Holders are frozen for longer than their leases and resume in the middle of a write, which is rejected.
func TestHolderFrozen(t *testing.T) {
	if result := requireMutualExclusion(t, bench.Options{Seed: 2, Faults: 100, FreezeHolders: true}); result.Freezes < 15 || result.RejectedWrites == 0 {
		t.Errorf("%d freezes, %d late writes rejected", result.Freezes, result.RejectedWrites)
	}
}

// Raft leaders of the registry are killed while leases change hands.
func TestRegistryLeaderKilled(t *testing.T) {
	if result := requireMutualExclusion(t, bench.Options{Seed: 4, Faults: 100, FreezeHolders: true, LeaderKillInterval: 1500 * time.Millisecond}); result.LeaderKills == 0 {
		t.Error("no leader was killed")
	}
}

// A run that would not end fails at its timeout.
func TestBenchStopsAtItsTimeout(t *testing.T) {
	const timeout = 3 * time.Second
	opts := bench.Options{Program: proctest.Program(t, "milldeck"), Dir: t.TempDir(), Replicas: 1, Leases: 2, Faults: 1e6, Timeout: timeout}
	opts.TTL, opts.CheckpointInterval = time.Second, 20*time.Millisecond
	if result, err := bench.Run(t.Context(), opts); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("not over after %v", timeout)) {
		t.Errorf("%+v: %v", result, err)
	}
}
