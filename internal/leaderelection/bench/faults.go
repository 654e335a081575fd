package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/leaderelection/clock"
	"milldeck/internal/leaderelection/leasetable"
)

const (
	// holderTimeout is how long a duty with live candidates may be without one that works: a lease, elections and a machine
	// that is busy with other things are far below it.
	holderTimeout = time.Minute
	// logPollInterval is how often a holder's log is left for the duty's news: it may have lost the duty before it began.
	logPollInterval = 100 * time.Millisecond
	// stopTimeout bounds the end of a process that was told to; it waits for its release, 2 s.
	stopTimeout = 30 * time.Second
)

// injectFaults harms the holders of all duties until enough was done.
func (b *benchRun) injectFaults(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if b.opts.FaultTime > 0 {
		deadline := time.AfterFunc(b.opts.FaultTime, func() { b.addTo(&b.remainingFaults, -b.opts.Faults) })
		defer deadline.Stop()
	}
	var leases, background sync.WaitGroup
	if b.opts.LeaderKillInterval > 0 {
		background.Go(func() {
			if err := b.killLeaders(ctx); err != nil {
				cancel(err)
			}
		})
	}
	for i := range b.opts.Leases {
		leases.Go(func() {
			if err := b.runContest(ctx, i); err != nil {
				cancel(err)
			}
		})
	}
	leases.Wait()
	err := context.Cause(ctx)
	cancel(nil)
	background.Wait()
	return err
}

// killLeaders kills a registry leader now and then.
func (b *benchRun) killLeaders(ctx context.Context) error {
	for {
		if !sleep(ctx, b.opts.LeaderKillInterval) {
			return nil
		}
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
}

// sleep waits; false: ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// contest is one duty and its candidates' processes.
type contest struct {
	*benchRun
	leaseName  string
	updates    chan leasetable.Lease // the newest state that was not looked at
	lease      leasetable.Lease      // the newest that was
	candidates map[string]*proc.Process
	started    int
}

// enqueueLatest keeps the newest state.
func (c *contest) enqueueLatest(lease leasetable.Lease) {
	for {
		select {
		case c.updates <- lease:
			return
		default:
		}
		select {
		case <-c.updates:
		default:
		}
	}
}

// addCandidate starts one more candidate.
func (c *contest) addCandidate() error {
	candidate := fmt.Sprintf("%s-%d", c.leaseName, c.started)
	args := []string{
		"duty", "hold", c.leaseName, "--who", candidate, "--ttl", c.opts.TTL.String(), "--save-every", c.opts.CheckpointInterval.String(),
		"--log-level", "error", "--replicas", strings.Join(c.cluster.HTTPAddrs(), ","),
	}
	if n := len(c.opts.ClockFaults); n > 0 {
		args = append(args, "--clock", c.opts.ClockFaults[c.started%n])
	}
	c.started++
	process, err := proc.Start(proc.Spec{Name: candidate, Path: c.opts.Program, Args: args, Log: filepath.Join(c.opts.Dir, candidate+".log")})
	if err == nil {
		c.candidates[candidate] = process
	}
	return err
}

// runContest keeps two candidates of a duty at work and harms the holder again and again.
func (b *benchRun) runContest(ctx context.Context, n int) error {
	rng := rand.New(rand.NewPCG(b.opts.Seed, uint64(n)))
	c := &contest{benchRun: b, leaseName: fmt.Sprint("duty-", n), updates: make(chan leasetable.Lease, 1), candidates: map[string]*proc.Process{}}
	watchCtx, stopWatch := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { _ = b.client.WatchLease(watchCtx, c.leaseName, c.enqueueLatest) }) // ends with its context
	defer background.Wait()
	defer stopWatch()
	defer func() {
		for candidate, process := range c.candidates {
			b.kill(candidate, process)
		}
	}()
	for range 2 {
		if err := c.addCandidate(); err != nil {
			return err
		}
	}
	for {
		holder, err := c.awaitHolder(ctx, "")
		if err != nil {
			return err
		}
		if !b.reserveFault() {
			return nil
		}
		// At any moment of its work, its renewals and the writes of its checkpoint.
		if !sleep(ctx, time.Duration(rng.Float64()*float64(b.opts.TTL))) {
			return context.Cause(ctx)
		}
		if err := c.injectFault(ctx, holder, rng); err != nil {
			return err
		}
	}
}

// injectFault freezes, stops or kills a holder, and has another candidate where it is gone.
func (c *contest) injectFault(ctx context.Context, holder string, rng *rand.Rand) error {
	process := c.candidates[holder]
	switch kind := rng.IntN(3); {
	case kind == 0 && c.opts.FreezeHolders:
		c.addTo(&c.result.Freezes, 1)
		if err := process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		_, err := c.awaitHolder(ctx, holder)
		sleep(ctx, time.Duration(rng.Float64()*float64(c.opts.TTL)/2)) // the next is at work by then
		return errors.Join(err, process.Signal(syscall.SIGCONT))
	case kind == 1:
		c.addTo(&c.result.Stops, 1)
		c.recordTime(c.stopRequestedAt, holder)
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		err := process.Stop(ctx)
		cancel()
		if err != nil {
			return fmt.Errorf("%w; its log ends:\n%s", err, process.Log())
		}
	default:
		c.addTo(&c.result.Kills, 1)
		c.kill(holder, process)
	}
	delete(c.candidates, holder)
	return c.addCandidate()
}

// awaitHolder waits until a live candidate works that is not the one given.
func (c *contest) awaitHolder(ctx context.Context, excluded string) (string, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, holderTimeout, fmt.Errorf("%s has had no holder at work for %v", c.leaseName, holderTimeout))
	defer cancel()
	for {
		select {
		case c.lease = <-c.updates:
		default:
		}
		holder, process := c.lease.Holder, c.candidates[c.lease.Holder]
		if process == nil || holder == excluded {
			select {
			case <-ctx.Done():
				return "", fmt.Errorf("%w; last known: %+v", context.Cause(ctx), c.lease)
			case c.lease = <-c.updates:
			}
			continue
		}
		pollCtx, stopPoll := context.WithTimeout(ctx, logPollInterval)
		_, err := process.WaitLog(pollCtx, fmt.Sprintf(`"acquired","duty":%q,"who":%q,"token":%d,`, c.leaseName, holder, c.lease.Token))
		stopPoll()
		switch {
		case err == nil:
			return holder, nil
		case ctx.Err() != nil:
			return "", fmt.Errorf("%w; last known: %+v; %w", context.Cause(ctx), c.lease, err)
		case !process.Running():
			return "", err
		}
	}
}

// reserveFault reserves a fault.
func (b *benchRun) reserveFault() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remainingFaults--
	if b.remainingFaults >= 0 {
		b.result.Faults++
		if b.result.Faults%100 == 0 {
			b.reportProgress("%d faults", b.result.Faults)
		}
	}
	return b.remainingFaults >= 0
}

func (b *benchRun) addTo(counter *int, delta int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*counter += delta
}

// kill ends a process and notes when: it believed nothing any more once it was gone.
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
