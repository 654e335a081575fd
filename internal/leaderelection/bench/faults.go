package bench

import (
	"context"
	"sync"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/leaderelection/clock"
)

// injectFaults runs candidates for all leases and injects faults until all are injected or FaultTime is over.
func (b *benchRun) injectFaults(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if b.opts.FaultTime > 0 {
		faultTimer := time.AfterFunc(b.opts.FaultTime, func() { b.addTo(&b.remainingFaults, -b.opts.Faults) })
		defer faultTimer.Stop()
	}
	var groups, background sync.WaitGroup
	if b.opts.LeaderKillInterval > 0 {
		background.Go(func() {
			if err := b.killLeaders(ctx); err != nil {
				cancel(err)
			}
		})
	}
	for i := range b.opts.Leases {
		groups.Go(func() {
			if err := b.runCandidates(ctx, i); err != nil {
				cancel(err)
			}
		})
	}
	groups.Wait()
	err := context.Cause(ctx)
	cancel(nil)
	background.Wait()
	return err
}

// killLeaders kills the registry's raft leader and starts it again, every LeaderKillInterval until ctx ends.
func (b *benchRun) killLeaders(ctx context.Context) error {
	for sleep(ctx, b.opts.LeaderKillInterval) {
		leader, err := b.cluster.AwaitLeader(ctx)
		if ctx.Err() != nil {
			return nil
		} else if err != nil {
			return err
		}
		b.mu.Lock()
		b.leaderKills = append(b.leaderKills, clock.MonotonicNS())
		b.result.LeaderKills++
		b.mu.Unlock()
		leader.Process.Kill()
		if err := leader.Start(); err != nil {
			return err
		}
	}
	return nil
}

// reserveFault reports whether one more fault is to be injected, and if so counts it.
func (b *benchRun) reserveFault() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remainingFaults--
	if b.remainingFaults < 0 {
		return false
	}
	b.result.Faults++
	if b.result.Faults%progressInterval == 0 {
		b.reportProgress("%d faults", b.result.Faults)
	}
	return true
}

func (b *benchRun) addTo(counter *int, delta int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*counter += delta
}

// kill kills a process and records when it has exited: from then on it cannot consider itself a holder.
func (b *benchRun) kill(candidate string, process *proc.Process) {
	b.recordTime(b.stopRequestedAt, candidate)
	process.Kill()
	b.recordTime(b.killedAt, candidate)
}

func (b *benchRun) recordTime(times map[string]int64, candidate string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	times[candidate] = clock.MonotonicNS()
}

// sleep waits for d and reports true, or reports false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
