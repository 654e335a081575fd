// Package bench plays duties with processes of the program, kills, freezes and stops their holders, and judges from
// what the processes print whether ever two held one duty.
package bench

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
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
	Queues      []int         // candidates of a duty whose handovers are counted in log writes
	Renewing    int           // duties of one holder that are renewed together; 0: not measured

	Progress func(string)
}

// Quick is what ends within a minute.
func Quick() Options {
	return Options{
		Seed: 1, Replicas: 3, Duties: 24, Faults: 504, TTL: 500 * time.Millisecond, Save: 20 * time.Millisecond,
		LeaderEvery: 5 * time.Second, Freeze: true, Queues: []int{5, 50, 500}, Renewing: 1000,
	}
}

// Full is four times as much.
func Full() Options {
	o := Quick()
	o.Faults *= 4
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
	Overlaps    int      `json:"overlaps"` // pairs of tenures of one duty that meet in time
	Saves       int      `json:"saves"`    // writes under a token
	Refused     int      `json:"refused"`  // ... that came too late and were refused
	Twice       int      `json:"twice"`    // ... that took effect twice, or after those of a later token
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

// event is a line that a holder prints.
type event struct {
	What  string    `json:"what"`
	Duty  string    `json:"duty"`
	Who   string    `json:"who"`
	Token uint64    `json:"token"`
	At    time.Time `json:"at"`
	Until time.Time `json:"until"`
	Count int       `json:"count"`
}

type play struct {
	opts    Options
	cluster *cluster.Cluster
	client  *registry.Client

	mu    sync.Mutex
	left  int
	r     *Result
	ended map[string]time.Time // of processes that were killed
	asked map[string]time.Time // when a process was told to end, or killed: its gap begins
	down  []time.Time          // when registry leaders were killed
}

// Run plays it.
func Run(ctx context.Context, o Options) (*Result, error) {
	began := time.Now()
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
		ended: map[string]time.Time{}, asked: map[string]time.Time{},
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
	p.r.Seconds = time.Since(began).Seconds()
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

// faults harms the holders of all duties until enough was done.
func (p *play) faults(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var duties, around sync.WaitGroup
	if p.opts.LeaderEvery > 0 {
		around.Go(func() {
			if err := p.leaders(ctx); err != nil {
				cancel(err)
			}
		})
	}
	for i := range p.opts.Duties {
		duties.Go(func() {
			if err := p.duty(ctx, i); err != nil {
				cancel(err)
			}
		})
	}
	duties.Wait()
	err := context.Cause(ctx)
	cancel(nil)
	around.Wait()
	return err
}

// leaders kills a registry leader now and then.
func (p *play) leaders(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(p.opts.LeaderEvery):
		}
		r, err := p.cluster.Leader(ctx)
		if ctx.Err() != nil {
			return nil
		} else if err != nil {
			return err
		}
		p.mu.Lock()
		p.down = append(p.down, time.Now())
		p.r.LeaderKills++
		p.mu.Unlock()
		r.Proc.Kill()
		if err := r.Start(); err != nil {
			return err
		}
	}
}

// duty keeps two candidates of a duty at work and harms the holder again and again.
func (p *play) duty(ctx context.Context, n int) error {
	rng := rand.New(rand.NewPCG(p.opts.Seed, uint64(n)))
	name := fmt.Sprint("duty-", n)
	news := make(chan table.Duty, 256)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		_ = p.client.WatchDuty(watching, name, func(d table.Duty) { // ends with its context
			select {
			case news <- d:
			case <-watching.Done():
			}
		})
	}()
	of := map[string]*proc.Process{}
	defer func() {
		for who, h := range of {
			p.note(who, true)
			h.Kill()
		}
	}()
	started := 0
	add := func() error {
		who := fmt.Sprintf("%s-%d", name, started)
		started++
		args := []string{
			"duty", "hold", name, "--who", who, "--ttl", p.opts.TTL.String(), "--save-every", p.opts.Save.String(),
			"--log-level", "error",
		}
		for _, r := range p.cluster.HTTPs() {
			args = append(args, "--replicas", r)
		}
		h, err := proc.Start(proc.Spec{Name: who, Path: p.opts.Program, Args: args, Log: p.log(who)})
		of[who] = h
		return err
	}
	for range 2 {
		if err := add(); err != nil {
			return err
		}
	}
	for {
		holder, err := p.held(ctx, news, of, "")
		if err != nil {
			return err
		}
		if !p.take() {
			return nil
		}
		// At any moment of its work, its renewals and the writes of its checkpoint.
		time.Sleep(time.Duration(rng.Float64() * float64(p.opts.TTL)))
		h := of[holder]
		switch kind := rng.IntN(3); {
		case kind == 0 && p.opts.Freeze:
			p.count(&p.r.Freezes)
			if err := h.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			if _, err := p.held(ctx, news, of, holder); err != nil {
				return err
			}
			time.Sleep(time.Duration(rng.Float64() * float64(p.opts.TTL) / 2)) // the next is at work by then
			if err := h.Signal(syscall.SIGCONT); err != nil {
				return err
			}
			continue
		case kind == 1:
			p.count(&p.r.Stops)
			p.note(holder, false)
			ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
			err := h.Stop(ctx)
			cancel()
			if err != nil {
				return err
			}
		default:
			p.count(&p.r.Kills)
			p.note(holder, true)
			h.Kill()
			p.mu.Lock()
			p.ended[holder] = time.Now()
			p.mu.Unlock()
		}
		delete(of, holder)
		if err := add(); err != nil {
			return err
		}
	}
}

// held waits until a live candidate holds the duty that is not the one given.
func (p *play) held(ctx context.Context, news <-chan table.Duty, of map[string]*proc.Process, not string) (string, error) {
	bound := time.NewTimer(time.Minute)
	defer bound.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", context.Cause(ctx)
		case <-bound.C:
			return "", errors.New("a duty has had no holder for a minute")
		case d := <-news:
			if d.Holder == not || of[d.Holder] == nil {
				continue
			}
			// It works from when it has taken the duty up.
			_, err := of[d.Holder].WaitLog(ctx, fmt.Sprintf(`"token":%d,`, d.Token))
			return d.Holder, err
		}
	}
}

func (p *play) log(who string) string { return filepath.Join(p.opts.Dir, who+".log") }

// take reserves a fault.
func (p *play) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left--
	if p.left >= 0 {
		p.r.Faults++
		if p.r.Faults%100 == 0 {
			p.say("%d faults", p.r.Faults)
		}
	}
	return p.left >= 0
}

func (p *play) count(n *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*n++
}

// note remembers when a process was told to end.
func (p *play) note(who string, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[who] = time.Now()
	if killed {
		p.ended[who] = p.asked[who]
	}
}

// tenure is the time in which a process believed that it held a duty.
type tenure struct {
	who        string
	token      uint64
	from, to   time.Time
	released   bool
	saves      []int
	lastSaveAt time.Time
}

// judge reads what all processes printed.
func (p *play) judge() error {
	logs, err := filepath.Glob(filepath.Join(p.opts.Dir, "duty-*.log"))
	if err != nil {
		return err
	}
	byDuty := map[string][]*tenure{}
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		open := map[uint64]*tenure{}
		for in := bufio.NewScanner(bytes.NewReader(data)); in.Scan(); {
			var e event
			if json.Unmarshal(in.Bytes(), &e) != nil || e.Duty == "" {
				continue // of the log, or cut off by a kill
			}
			t := open[e.Token]
			switch e.What {
			case "acquired":
				t = &tenure{who: e.Who, token: e.Token, from: e.At, to: e.Until}
				open[e.Token] = t
				byDuty[e.Duty] = append(byDuty[e.Duty], t)
			case "renewed":
				t.to = e.Until
			case "lost", "released":
				if e.At.Before(t.to) {
					t.to = e.At
				}
				t.released = t.released || e.What == "released"
			case "saved":
				p.r.Saves++
				t.saves = append(t.saves, e.Count)
			case "refused":
				p.r.Refused++
			}
		}
		for _, t := range open {
			if at, killed := p.ended[t.who]; killed && at.Before(t.to) {
				t.to = at
			}
		}
	}
	for name, list := range byDuty {
		p.judgeDuty(name, list)
	}
	p.r.ReleaseP50, p.r.ReleaseP99 = quantiles(p.r.ReleaseGap)
	p.r.KillP50, p.r.KillP99 = quantiles(p.r.KillGap)
	return nil
}

func (p *play) judgeDuty(name string, list []*tenure) {
	slices.SortFunc(list, func(a, b *tenure) int { return cmp.Compare(a.token, b.token) })
	p.r.Tenures += len(list)
	last := 0
	for i, t := range list {
		if i > 0 {
			before := list[i-1]
			if t.from.Before(before.to) {
				p.r.Overlaps++
				p.broken("%s: %s under token %d from %v, %s under %d until %v", name, t.who, t.token, t.from, before.who, before.token, before.to)
			}
			if asked, told := p.asked[before.who]; told && !asked.Before(before.from) && asked.Before(t.from) {
				g := gap{float64(t.from.Sub(asked)) / 1e6, p.leaderless(asked, t.from)}
				if before.released {
					g.ms = float64(t.from.Sub(before.to)) / 1e6
					p.r.ReleaseGap = append(p.r.ReleaseGap, g)
				} else {
					p.r.KillGap = append(p.r.KillGap, g)
				}
			}
		}
		for _, count := range t.saves {
			// Each count is one above the newest checkpoint, so none comes twice, in the order of tokens.
			if count <= last {
				p.r.Twice++
				p.broken("%s: count %d under token %d after %d", name, count, t.token, last)
			}
			last = max(last, count)
		}
	}
}

func (p *play) broken(format string, args ...any) {
	if len(p.r.Broken) < 20 {
		p.r.Broken = append(p.r.Broken, fmt.Sprintf(format, args...))
	}
}

// leaderless tells whether the registry had to elect a leader within a time.
func (p *play) leaderless(from, to time.Time) bool {
	return slices.ContainsFunc(p.down, func(at time.Time) bool { return at.After(from.Add(-2*time.Second)) && at.Before(to) })
}

// quantiles of the gaps in which the registry had a leader: what an election adds is the registry's figure.
func quantiles(list []gap) (p50, p99 float64) {
	var ms []float64
	for _, g := range list {
		if !g.leaderless {
			ms = append(ms, g.ms)
		}
	}
	if len(ms) == 0 {
		return 0, 0
	}
	slices.Sort(ms)
	return ms[len(ms)/2], ms[min(len(ms)-1, len(ms)*99/100)]
}
