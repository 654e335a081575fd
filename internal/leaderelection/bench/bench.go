// Package bench plays duties with processes of the program, kills, freezes and stops their holders, and judges from
// what the processes print whether ever two held one duty. They print when they began and ceased to believe, on the clock
// that all of them share; when a line came to be printed does not matter.
package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// Options say what is played.
type Options struct {
	Program string // milldeck
	Dir     string // for logs
	Seed    uint64

	Replicas           int
	Leases             int           // at a time, each with two candidates
	Faults             int           // in all
	TTL                time.Duration // of the leases
	CheckpointInterval time.Duration // how often a holder writes under its token
	LeaderKillInterval time.Duration // a registry leader is killed so often and started again; 0: never
	FreezeHolders      bool          // holders are frozen past their leases as well
	ClockFaults        []string      // faults of the candidates' clocks in turn, as clock.Parse reads them; none: all are right
	QueueLengths       []int         // candidates of a duty whose handovers are counted in log writes
	BatchedRenewals    int           // duties of one holder that are renewed together; 0: not measured

	// For is how long harm is done at most, where the machine is too slow for all faults; 0: until they are done.
	FaultTime time.Duration
	// Limit bounds the whole play: beyond it, it has failed. 0: the caller's context alone does.
	Timeout time.Duration

	Progress func(string)
}

// QuickOptions takes about 20 s on a machine of its own and ends within two minutes on any.
func QuickOptions() Options {
	return Options{
		Seed: 1, Replicas: 3, Leases: 24, Faults: 504, TTL: 500 * time.Millisecond, CheckpointInterval: 20 * time.Millisecond,
		LeaderKillInterval: 5 * time.Second, FreezeHolders: true, QueueLengths: []int{5, 50, 500}, BatchedRenewals: 1000,
		FaultTime: 45 * time.Second, Timeout: 2 * time.Minute,
	}
}

// FullOptions is four times as much.
func FullOptions() Options {
	opts := QuickOptions()
	opts.Faults, opts.FaultTime, opts.Timeout = 4*opts.Faults, 4*opts.FaultTime, 4*opts.Timeout
	return opts
}

// Result is what was measured. Times are ms.
type Result struct {
	Faults      int `json:"faults"`
	Kills       int `json:"kills"`
	Freezes     int `json:"freezes"`
	Stops       int `json:"stops"`
	LeaderKills int `json:"leader_kills"`

	Tenures            int            `json:"tenures"`
	Overlaps           int            `json:"overlaps"`  // pairs of tenures of one duty in which two believed at a time
	LateReleaseNotices int            `json:"told_late"` // releases that were heard of after the next had begun: no overlap
	ExpiredUnclaimed   int            `json:"not_taken"` // times that a duty was given and its lease was over before it was known to run
	GuardedWrites      int            `json:"saves"`     // writes under a token
	RejectedWrites     int            `json:"refused"`   // ... that came too late and were refused
	DuplicateWrites    int            `json:"twice"`     // ... that took effect twice, or after those of a later token
	Violations         []string       `json:"broken,omitempty"`
	releaseGaps        []holderGap    `json:"-"`
	killGaps           []holderGap    `json:"-"`
	ReleaseGapP50MS    float64        `json:"release_gap_p50_ms"`
	ReleaseGapP99MS    float64        `json:"release_gap_p99_ms"`
	KillGapP50MS       float64        `json:"kill_gap_p50_ms"`
	KillGapP99MS       float64        `json:"kill_gap_p99_ms"`
	TTLMS              int64          `json:"ttl_ms"`
	HandoverCosts      []HandoverCost `json:"writes_a_handover"`
	RenewalsPerSecond  float64        `json:"renewals_a_second"`
	Seconds            float64        `json:"seconds"`
}

// HandoverCost is how many log entries a handover takes with so many candidates.
type HandoverCost struct {
	Candidates int     `json:"candidates"`
	LogEntries float64 `json:"entries"`
}

// holderGap is a time without a holder; one in which the registry had no leader either is told apart.
type holderGap struct {
	ms         float64
	leaderless bool
}

type benchRun struct {
	opts    Options
	cluster *cluster.Cluster
	client  *registry.Client

	mu              sync.Mutex
	remainingFaults int
	result          *Result
	killedAt        map[string]int64 // when processes were killed, as all times here in ns of the machine's clock
	stopRequestedAt map[string]int64 // when a process was told to end, or killed: its gap begins
	leaderKills     []int64          // when registry leaders were killed
}

// Run plays it.
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
	block, err := proc.TakeBlock()
	if err != nil {
		return nil, err
	}
	defer block.Release()
	replicas, err := cluster.Start(ctx, opts.Replicas, cluster.Options{Program: opts.Program, DataDir: opts.Dir, Addresses: block})
	defer func() { _ = replicas.Close() }()
	if err != nil {
		return nil, err
	}
	client, err := replicas.Client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	b := &benchRun{
		opts: opts, cluster: replicas, client: client, remainingFaults: opts.Faults, result: &Result{TTLMS: opts.TTL.Milliseconds()},
		killedAt: map[string]int64{}, stopRequestedAt: map[string]int64{},
	}
	if err := b.measureSteadyState(ctx); err != nil {
		return nil, err
	}
	if err := b.injectFaults(ctx); err != nil {
		return nil, err
	}
	if err := b.judge(); err != nil {
		return nil, err
	}
	return b.result, nil
}

func (b *benchRun) reportProgress(format string, args ...any) {
	if b.opts.Progress != nil {
		b.opts.Progress(fmt.Sprintf(format, args...))
	}
}

// measureSteadyState measures what needs no fault: log entries a handover, and renewals.
func (b *benchRun) measureSteadyState(ctx context.Context) error {
	const handovers = 10
	appliedIndex := func() (uint64, error) {
		leader, err := b.cluster.AwaitLeader(ctx)
		if err != nil {
			return 0, err
		}
		status, err := b.client.ReplicaStatus(ctx, leader.HTTPAddr)
		return status.AppliedIndex, err
	}
	for _, candidates := range b.opts.QueueLengths {
		name := fmt.Sprintf("queue-%d", candidates)
		for i := range candidates + handovers {
			call := registry.LeaseRequest{Candidate: fmt.Sprint("c", i), TTLMS: 600_000}
			if _, err := b.client.UpdateLease(ctx, leasetable.Campaign, name, call); err != nil {
				return err
			}
		}
		firstIndex, err := appliedIndex()
		if err != nil {
			return err
		}
		for range handovers {
			lease, err := b.client.Lease(ctx, name)
			if err != nil {
				return err
			}
			if _, err := b.client.UpdateLease(ctx, leasetable.Release, name, registry.LeaseRequest{Candidate: lease.Holder, Token: lease.Token}); err != nil {
				return err
			}
		}
		lastIndex, err := appliedIndex()
		if err != nil {
			return err
		}
		b.result.HandoverCosts = append(b.result.HandoverCosts, HandoverCost{candidates, float64(lastIndex-firstIndex) / handovers})
		b.reportProgress("%d candidates: %.1f log entries a handover", candidates, float64(lastIndex-firstIndex)/handovers)
	}
	if b.opts.BatchedRenewals == 0 {
		return nil
	}
	var renewals []registry.LeaseRenewal
	for i := range b.opts.BatchedRenewals {
		lease, err := b.client.UpdateLease(ctx, leasetable.Campaign, fmt.Sprint("many-", i), registry.LeaseRequest{Candidate: "one", TTLMS: 600_000})
		if err != nil {
			return err
		}
		renewals = append(renewals, registry.LeaseRenewal{Name: lease.Name, Token: lease.Token})
	}
	calls, startedAt := 0, time.Now()
	for ; time.Since(startedAt) < time.Second; calls++ {
		lost, err := b.client.RenewLeases(ctx, "one", renewals)
		if err != nil || len(lost) > 0 {
			return fmt.Errorf("%d of %d renewals lost: %w", len(lost), len(renewals), err)
		}
	}
	b.result.RenewalsPerSecond = float64(calls*len(renewals)) / time.Since(startedAt).Seconds()
	b.reportProgress("%.0f renewals a second", b.result.RenewalsPerSecond)
	return nil
}
