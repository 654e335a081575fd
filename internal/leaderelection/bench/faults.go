package bench

import (
	"context"
	"sync"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/leaderelection/clock"
)

// injectFaults contests all leases and injects faults until enough were injected or FaultTime is over.
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

// reserveFault reports whether one more fault is to be injected, and counts it.
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

// kill ends a process and records when: once it has exited it believes nothing any more.
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

// sleep reports whether it has waited for the whole time; if not, ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
