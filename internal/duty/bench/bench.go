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

	"milldeck/internal/duty/table"
	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

// Options say what is played.
type Options struct {
	Program string // milldeck
	Dir     string // for logs
	Seed    uint64

	Replicas    int
	Duties      int           // at a time, each with two candidates
	Faults      int           // in all
	TTL         time.Duration // of the leases
	Save        time.Duration // how often a holder writes under its token
	LeaderEvery time.Duration // a registry leader is killed so often and started again; 0: never
	Freeze      bool          // holders are frozen past their leases as well
	Clocks      []string      // faults of the candidates' clocks in turn, as clock.Parse reads them; none: all are right
	Queues      []int         // candidates of a duty whose handovers are counted in log writes
	Renewing    int           // duties of one holder that are renewed together; 0: not measured

	// For is how long harm is done at most, where the machine is too slow for all faults; 0: until they are done.
	For time.Duration
	// Limit bounds the whole play: beyond it, it has failed. 0: the caller's context alone does.
	Limit time.Duration

	Progress func(string)
}

// Quick takes about 20 s on a machine of its own and ends within two minutes on any.
func Quick() Options {
	return Options{
		Seed: 1, Replicas: 3, Duties: 24, Faults: 504, TTL: 500 * time.Millisecond, Save: 20 * time.Millisecond,
		LeaderEvery: 5 * time.Second, Freeze: true, Queues: []int{5, 50, 500}, Renewing: 1000,
		For: 45 * time.Second, Limit: 2 * time.Minute,
	}
}

// Full is four times as much.
func Full() Options {
	o := Quick()
	o.Faults, o.For, o.Limit = 4*o.Faults, 4*o.For, 4*o.Limit
	return o
}

// Result is what was measured. Times are ms.
type Result struct {
	Faults      int `json:"faults"`
	Kills       int `json:"kills"`
	Freezes     int `json:"freezes"`
	Stops       int `json:"stops"`
	LeaderKills int `json:"leader_kills"`

	Tenures     int      `json:"tenures"`
	Overlaps    int      `json:"overlaps"`  // pairs of tenures of one duty in which two believed at a time
	ToldLate    int      `json:"told_late"` // releases that were heard of after the next had begun: no overlap
	NotTaken    int      `json:"not_taken"` // times that a duty was given and its lease was over before it was known to run
	Saves       int      `json:"saves"`     // writes under a token
	Refused     int      `json:"refused"`   // ... that came too late and were refused
	Twice       int      `json:"twice"`     // ... that took effect twice, or after those of a later token
	Broken      []string `json:"broken,omitempty"`
	ReleaseGap  []gap    `json:"-"`
	KillGap     []gap    `json:"-"`
	ReleaseP50  float64  `json:"release_gap_p50_ms"`
	ReleaseP99  float64  `json:"release_gap_p99_ms"`
	KillP50     float64  `json:"kill_gap_p50_ms"`
	KillP99     float64  `json:"kill_gap_p99_ms"`
	TTLMS       int64    `json:"ttl_ms"`
	WritesOf    []Writes `json:"writes_a_handover"`
	RenewalsSec float64  `json:"renewals_a_second"`
	Seconds     float64  `json:"seconds"`
}

// Writes is how many log entries a handover takes with so many candidates.
type Writes struct {
	Candidates int     `json:"candidates"`
	Entries    float64 `json:"entries"`
}

// gap is a time without a holder; one in which the registry had no leader either is told apart.
type gap struct {
	ms         float64
	leaderless bool
}

type play struct {
	opts    Options
	cluster *cluster.Cluster
	client  *registry.Client

	mu    sync.Mutex
	left  int
	r     *Result
	ended map[string]int64 // when processes were killed, as all times here in ns of the machine's clock
	asked map[string]int64 // when a process was told to end, or killed: its gap begins
	down  []int64          // when registry leaders were killed
}

// Run plays it.
func Run(ctx context.Context, o Options) (*Result, error) {
	began := time.Now()
	if o.Limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, o.Limit, fmt.Errorf("not over after %v", o.Limit))
		defer cancel()
	}
	r, err := run(ctx, o)
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(err, cause) {
		return nil, fmt.Errorf("%w: %w", cause, err)
	} else if err != nil {
		return nil, err
	}
	r.Seconds = time.Since(began).Seconds()
	return r, nil
}

func run(ctx context.Context, o Options) (*Result, error) {
	block, err := proc.TakeBlock()
	if err != nil {
		return nil, err
	}
	defer block.Release()
	c, err := cluster.Start(ctx, o.Replicas, cluster.Options{Program: o.Program, Dir: o.Dir, Block: block})
	defer func() { _ = c.Close() }()
	if err != nil {
		return nil, err
	}
	client, err := c.Client()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	p := &play{
		opts: o, cluster: c, client: client, left: o.Faults, r: &Result{TTLMS: o.TTL.Milliseconds()},
		ended: map[string]int64{}, asked: map[string]int64{},
	}
	if err := p.figures(ctx); err != nil {
		return nil, err
	}
	if err := p.faults(ctx); err != nil {
		return nil, err
	}
	if err := p.judge(); err != nil {
		return nil, err
	}
	return p.r, nil
}

func (p *play) say(format string, args ...any) {
	if p.opts.Progress != nil {
		p.opts.Progress(fmt.Sprintf(format, args...))
	}
}

// figures measures what needs no fault: log entries a handover, and renewals.
func (p *play) figures(ctx context.Context) error {
	const handovers = 10
	applied := func() (uint64, error) {
		leader, err := p.cluster.Leader(ctx)
		if err != nil {
			return 0, err
		}
		st, err := p.client.StatusOf(ctx, leader.HTTP)
		return st.Applied, err
	}
	for _, n := range p.opts.Queues {
		name := fmt.Sprintf("queue-%d", n)
		for i := range n + handovers {
			in := registry.DutyCall{Who: fmt.Sprint("c", i), TTLMS: 600_000}
			if _, err := p.client.Duty(ctx, table.Seek, name, in); err != nil {
				return err
			}
		}
		from, err := applied()
		if err != nil {
			return err
		}
		for range handovers {
			d, err := p.client.GetDuty(ctx, name)
			if err != nil {
				return err
			}
			if _, err := p.client.Duty(ctx, table.Release, name, registry.DutyCall{Who: d.Holder, Token: d.Token}); err != nil {
				return err
			}
		}
		to, err := applied()
		if err != nil {
			return err
		}
		p.r.WritesOf = append(p.r.WritesOf, Writes{n, float64(to-from) / handovers})
		p.say("%d candidates: %.1f log entries a handover", n, float64(to-from)/handovers)
	}
	if p.opts.Renewing == 0 {
		return nil
	}
	var all []registry.DutyRenewal
	for i := range p.opts.Renewing {
		d, err := p.client.Duty(ctx, table.Seek, fmt.Sprint("many-", i), registry.DutyCall{Who: "one", TTLMS: 600_000})
		if err != nil {
			return err
		}
		all = append(all, registry.DutyRenewal{Name: d.Name, Token: d.Token})
	}
	calls, began := 0, time.Now()
	for ; time.Since(began) < time.Second; calls++ {
		lost, err := p.client.RenewDuties(ctx, "one", all)
		if err != nil || len(lost) > 0 {
			return fmt.Errorf("%d of %d renewals lost: %w", len(lost), len(all), err)
		}
	}
	p.r.RenewalsSec = float64(calls*len(all)) / time.Since(began).Seconds()
	p.say("%.0f renewals a second", p.r.RenewalsSec)
	return nil
}
