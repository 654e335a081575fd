// Package bench runs candidate processes that compete for leases, kills, freezes and stops the holders, and checks from the
// output of the processes whether two of them ever considered themselves the holder of one lease at the same time.
//
// Each process prints when it started and stopped considering itself the holder, by the machine's monotonic clock, which
// all processes share. When a line was printed does not matter.
package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// Options configure a run of the bench.
type Options struct {
	Program string // path of the milldeck binary
	Dir     string // for logs; must be empty, because logs of another run would be analyzed together with this run's
	Seed    uint64

	Replicas           int
	Leases             int           // number of leases that are contended at a time, each by two candidates
	Faults             int           // total number of faults that are injected into holders
	TTL                time.Duration // of the leases
	CheckpointInterval time.Duration // between two guarded writes of a holder
	LeaderKillInterval time.Duration // between two kills of the registry's raft leader; 0: no kills
	FreezeHolders      bool          // holders are also frozen for longer than their leases
	ClockFaults        []string      // of the candidates' clocks in turn, in the form of clock.Parse; none: no clock has a fault
	QueueLengths       []int         // the log entries per handover are counted at each of these queue lengths
	BatchedRenewals    int           // leases that one holder renews together; 0: renewals are not measured

	// FaultTime ends the injection of faults early on a machine that is too slow for all faults; 0: all are injected.
	FaultTime time.Duration
	// Timeout is the time after which the whole run fails; 0: only the caller's context ends it.
	Timeout time.Duration

	Progress func(string) // called with lines for the operator; may be nil
}

// QuickOptions returns options for a run that takes about 20 s on an idle machine and ends within two minutes on any.
func QuickOptions() Options {
	return Options{
		Seed:               1,
		Replicas:           3,
		Leases:             24,
		Faults:             504,
		TTL:                500 * time.Millisecond,
		CheckpointInterval: 20 * time.Millisecond,
		LeaderKillInterval: 5 * time.Second,
		FreezeHolders:      true,
		QueueLengths:       []int{5, 50, 500},
		BatchedRenewals:    1000,
		FaultTime:          45 * time.Second,
		Timeout:            2 * time.Minute,
	}
}

// FullOptions returns QuickOptions with four times as many faults and four times their limits of time.
func FullOptions() Options {
	opts := QuickOptions()
	opts.Faults *= 4
	opts.FaultTime *= 4
	opts.Timeout *= 4
	return opts
}

// Result holds what a run measured.
type Result struct {
	Faults      int `json:"faults"`
	Kills       int `json:"kills"`
	Freezes     int `json:"freezes"`
	Stops       int `json:"stops"`
	LeaderKills int `json:"leader_kills"`

	Tenures int `json:"tenures"`
	// Overlaps counts consecutive tenures of a lease during which two processes considered themselves the holder.
	Overlaps int `json:"overlaps"`
	// LateReleaseConfirmations counts releases that were confirmed after the next tenure had started. They are no overlaps.
	LateReleaseConfirmations int `json:"told_late"`
	ExpiredUnclaimed         int `json:"not_taken"` // assigned leases that expired before the candidate's first renewal was answered
	GuardedWrites            int `json:"saves"`
	RejectedWrites           int `json:"refused"` // guarded writes whose token was no longer valid
	DuplicateWrites          int `json:"twice"`   // guarded writes that took effect twice, or after a write under a later token
	// Violations describes overlaps, duplicate writes and impossible events: the first maxViolations in order of their text.
	Violations []string `json:"broken,omitempty"`

	// Times without a holder after a release and after a kill, in ms. Times in which the registry may have had no raft
	// leader are left out.
	ReleaseGapP50MS float64 `json:"release_gap_p50_ms"`
	ReleaseGapP99MS float64 `json:"release_gap_p99_ms"`
	KillGapP50MS    float64 `json:"kill_gap_p50_ms"`
	KillGapP99MS    float64 `json:"kill_gap_p99_ms"`
	TTLMS           int64   `json:"ttl_ms"`

	HandoverCosts     []HandoverCost `json:"writes_a_handover"`
	RenewalsPerSecond float64        `json:"renewals_a_second"`
	Seconds           float64        `json:"seconds"` // duration of the run
}

// HandoverCost is the number of log entries that a handover takes with a number of candidates in the queue.
type HandoverCost struct {
	Candidates int     `json:"candidates"`
	LogEntries float64 `json:"entries"`
}

// benchRun is the state of one run. All its times are in ns of the machine's monotonic clock.
type benchRun struct {
	opts    Options
	cluster *cluster.Cluster
	client  *registry.Client

	mu              sync.Mutex
	remainingFaults int
	result          *Result
	killedAt        map[string]int64 // by candidate
	stopRequestedAt map[string]int64 // by candidate: when the bench was about to send SIGTERM or SIGKILL
	leaderKills     []int64          // when raft leaders of the registry were killed

	// Only analyzeLogs uses these.
	releaseGaps, killGaps []holderGap
}

// Run runs the bench. It fails if the processes or the registry do not work as they should. Overlaps and other violations
// are part of the result, not an error.
func Run(ctx context.Context, opts Options) (*Result, error) {
	startedAt := time.Now()
	if opts.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, opts.Timeout, fmt.Errorf("the bench did not finish within %v", opts.Timeout))
		defer cancel()
	}
	result, err := runBench(ctx, opts)
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(err, cause) {
		return nil, fmt.Errorf("%w: %w", cause, err)
	} else if err != nil {
		return nil, err
	}
	result.Seconds = time.Since(startedAt).Seconds()
	return result, nil
}

func runBench(ctx context.Context, opts Options) (*Result, error) {
	addresses, err := proc.ReserveAddressBlock()
	if err != nil {
		return nil, err
	}
	defer addresses.Release()
	replicas, err := cluster.Start(ctx, opts.Replicas, cluster.Options{Program: opts.Program, DataDir: opts.Dir, Addresses: addresses})
	defer func() { _ = replicas.Close() }() // an error matters no more once the run has ended
	if err != nil {
		return nil, err
	}
	client, err := replicas.Client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	b := &benchRun{
		opts:            opts,
		cluster:         replicas,
		client:          client,
		remainingFaults: opts.Faults,
		result:          &Result{TTLMS: opts.TTL.Milliseconds()},
		killedAt:        map[string]int64{},
		stopRequestedAt: map[string]int64{},
	}
	for _, step := range []func(context.Context) error{b.measureHandovers, b.measureRenewals, b.injectFaults} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	if err := b.analyzeLogs(); err != nil {
		return nil, err
	}
	return b.result, nil
}

func (b *benchRun) reportProgress(format string, args ...any) {
	if b.opts.Progress != nil {
		b.opts.Progress(fmt.Sprintf(format, args...))
	}
}
