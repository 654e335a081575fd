// Package bench runs contests for leases between processes of the program, kills, freezes and stops their holders, and
// judges from what the processes print whether two of them ever believed at a time that they hold one lease.
//
// The processes print when they began and ceased to believe, on the machine's monotonic clock, which all of them share;
// when a line was printed does not matter.
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

// Options say what is run.
type Options struct {
	Program string // path of milldeck
	Dir     string // for logs; it has to be empty, as logs of another run would be judged with this one's
	Seed    uint64

	Replicas           int
	Leases             int           // contested at a time, each by two candidates
	Faults             int           // in all, of the holders
	TTL                time.Duration // of the leases
	CheckpointInterval time.Duration // between two guarded writes of a holder
	LeaderKillInterval time.Duration // between two kills of the registry's raft leader; 0: it is not killed
	FreezeHolders      bool          // holders are also frozen for longer than their leases
	ClockFaults        []string      // of the candidates' clocks in turn, in the form of clock.Parse; none: the clocks are right
	QueueLengths       []int         // for each, the log entries of a handover are counted
	BatchedRenewals    int           // leases of one holder that are renewed together; 0: not measured

	// FaultTime ends the faults early on a machine that is too slow for all of them; 0: all are injected.
	FaultTime time.Duration
	// Timeout fails the whole run; 0: only the caller's context ends it.
	Timeout time.Duration

	Progress func(string) // called with lines for the operator; nil: not called
}

// QuickOptions takes about 20 s on an idle machine and ends within two minutes on any.
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

// FullOptions is QuickOptions with four times as many faults.
func FullOptions() Options {
	opts := QuickOptions()
	opts.Faults *= 4
	opts.FaultTime *= 4
	opts.Timeout *= 4
	return opts
}

// Result is what was measured.
type Result struct {
	Faults      int `json:"faults"`
	Kills       int `json:"kills"`
	Freezes     int `json:"freezes"`
	Stops       int `json:"stops"`
	LeaderKills int `json:"leader_kills"`

	Tenures                  int `json:"tenures"`
	Overlaps                 int `json:"overlaps"`  // consecutive tenures of a lease during which two processes believed to hold it
	LateReleaseConfirmations int `json:"told_late"` // releases that were confirmed after the next tenure had begun; no overlap
	ExpiredUnclaimed         int `json:"not_taken"` // assigned leases that expired before the candidate's first renewal was answered
	GuardedWrites            int `json:"saves"`
	RejectedWrites           int `json:"refused"` // guarded writes whose token was no longer valid
	DuplicateWrites          int `json:"twice"`   // guarded writes that took effect twice, or after one under a later token
	// Violations describes overlaps, duplicate writes and impossible events, the first maxViolations by text.
	Violations []string `json:"broken,omitempty"`

	// Times without a holder, in ms, after a release and after a kill. Those in which the registry had no raft leader
	// are left out.
	ReleaseGapP50MS float64 `json:"release_gap_p50_ms"`
	ReleaseGapP99MS float64 `json:"release_gap_p99_ms"`
	KillGapP50MS    float64 `json:"kill_gap_p50_ms"`
	KillGapP99MS    float64 `json:"kill_gap_p99_ms"`
	TTLMS           int64   `json:"ttl_ms"`

	HandoverCosts     []HandoverCost `json:"writes_a_handover"`
	RenewalsPerSecond float64        `json:"renewals_a_second"`
	Seconds           float64        `json:"seconds"` // duration of the run
}

// HandoverCost is how many log entries a handover takes with so many candidates in the queue.
type HandoverCost struct {
	Candidates int     `json:"candidates"`
	LogEntries float64 `json:"entries"`
}

// benchRun is one run. All its times are in ns of the machine's monotonic clock.
type benchRun struct {
	opts    Options
	cluster *cluster.Cluster
	client  *registry.Client

	mu              sync.Mutex
	remainingFaults int
	result          *Result
	killedAt        map[string]int64 // by candidate
	stopRequestedAt map[string]int64 // by candidate: when it was sent SIGTERM or killed
	leaderKills     []int64          // of the registry's raft leaders

	// Used by the judge alone.
	releaseGaps, killGaps []holderGap
}

// Run runs the bench. It fails if the processes or the registry do not work as they should; overlaps and other
// violations are in the result.
func Run(ctx context.Context, opts Options) (*Result, error) {
	startedAt := time.Now()
	if opts.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, opts.Timeout, fmt.Errorf("not over after %v", opts.Timeout))
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
	addresses, err := proc.ReserveBlock()
	if err != nil {
		return nil, err
	}
	defer addresses.Release()
	replicas, err := cluster.Start(ctx, opts.Replicas, cluster.Options{Program: opts.Program, DataDir: opts.Dir, Addresses: addresses})
	defer func() { _ = replicas.Close() }() // the processes have served their purpose
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
