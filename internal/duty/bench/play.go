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

	"milldeck/internal/duty/clock"
	"milldeck/internal/duty/table"
	"milldeck/internal/lab/proc"
)

const (
	// heldWait is how long a duty with live candidates may be without one that works: a lease, elections and a machine
	// that is busy with other things are far below it.
	heldWait = time.Minute
	// lookEvery is how often a holder's log is left for the duty's news: it may have lost the duty before it began.
	lookEvery = 100 * time.Millisecond
	// stopWait bounds the end of a process that was told to; it waits for its release, 2 s.
	stopWait = 30 * time.Second
)

// faults harms the holders of all duties until enough was done.
func (p *play) faults(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if p.opts.For > 0 {
		over := time.AfterFunc(p.opts.For, func() { p.count(&p.left, -p.opts.Faults) })
		defer over.Stop()
	}
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
		if !pause(ctx, p.opts.LeaderEvery) {
			return nil
		}
		r, err := p.cluster.Leader(ctx)
		if ctx.Err() != nil {
			return nil
		} else if err != nil {
			return err
		}
		p.mu.Lock()
		p.down = append(p.down, clock.MachineNS())
		p.r.LeaderKills++
		p.mu.Unlock()
		r.Proc.Kill()
		if err := r.Start(); err != nil {
			return err
		}
	}
}

// pause waits; false: ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// arena is one duty and its candidates' processes.
type arena struct {
	*play
	name    string
	news    chan table.Duty // the newest state that was not looked at
	now     table.Duty      // the newest that was
	of      map[string]*proc.Process
	started int
}

// tell keeps the newest state.
func (a *arena) tell(d table.Duty) {
	for {
		select {
		case a.news <- d:
			return
		default:
		}
		select {
		case <-a.news:
		default:
		}
	}
}

// add starts one more candidate.
func (a *arena) add() error {
	who := fmt.Sprintf("%s-%d", a.name, a.started)
	args := []string{
		"duty", "hold", a.name, "--who", who, "--ttl", a.opts.TTL.String(), "--save-every", a.opts.Save.String(),
		"--log-level", "error", "--replicas", strings.Join(a.cluster.HTTPs(), ","),
	}
	if n := len(a.opts.Clocks); n > 0 {
		args = append(args, "--clock", a.opts.Clocks[a.started%n])
	}
	a.started++
	h, err := proc.Start(proc.Spec{Name: who, Path: a.opts.Program, Args: args, Log: filepath.Join(a.opts.Dir, who+".log")})
	if err == nil {
		a.of[who] = h
	}
	return err
}

// duty keeps two candidates of a duty at work and harms the holder again and again.
func (p *play) duty(ctx context.Context, n int) error {
	rng := rand.New(rand.NewPCG(p.opts.Seed, uint64(n)))
	a := &arena{play: p, name: fmt.Sprint("duty-", n), news: make(chan table.Duty, 1), of: map[string]*proc.Process{}}
	watching, stop := context.WithCancel(ctx)
	var around sync.WaitGroup
	around.Go(func() { _ = p.client.WatchDuty(watching, a.name, a.tell) }) // ends with its context
	defer around.Wait()
	defer stop()
	defer func() {
		for who, h := range a.of {
			p.kill(who, h)
		}
	}()
	for range 2 {
		if err := a.add(); err != nil {
			return err
		}
	}
	for {
		holder, err := a.held(ctx, "")
		if err != nil {
			return err
		}
		if !p.take() {
			return nil
		}
		// At any moment of its work, its renewals and the writes of its checkpoint.
		if !pause(ctx, time.Duration(rng.Float64()*float64(p.opts.TTL))) {
			return context.Cause(ctx)
		}
		if err := a.harm(ctx, holder, rng); err != nil {
			return err
		}
	}
}

// harm freezes, stops or kills a holder, and has another candidate where it is gone.
func (a *arena) harm(ctx context.Context, holder string, rng *rand.Rand) error {
	h := a.of[holder]
	switch kind := rng.IntN(3); {
	case kind == 0 && a.opts.Freeze:
		a.count(&a.r.Freezes, 1)
		if err := h.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		_, err := a.held(ctx, holder)
		pause(ctx, time.Duration(rng.Float64()*float64(a.opts.TTL)/2)) // the next is at work by then
		return errors.Join(err, h.Signal(syscall.SIGCONT))
	case kind == 1:
		a.count(&a.r.Stops, 1)
		a.note(a.asked, holder)
		ctx, cancel := context.WithTimeout(ctx, stopWait)
		err := h.Stop(ctx)
		cancel()
		if err != nil {
			return fmt.Errorf("%w; its log ends:\n%s", err, h.Log())
		}
	default:
		a.count(&a.r.Kills, 1)
		a.kill(holder, h)
	}
	delete(a.of, holder)
	return a.add()
}

// held waits until a live candidate works that is not the one given.
func (a *arena) held(ctx context.Context, not string) (string, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, heldWait, fmt.Errorf("%s has had no holder at work for %v", a.name, heldWait))
	defer cancel()
	for {
		select {
		case a.now = <-a.news:
		default:
		}
		holder, h := a.now.Holder, a.of[a.now.Holder]
		if h == nil || holder == not {
			select {
			case <-ctx.Done():
				return "", fmt.Errorf("%w; last known: %+v", context.Cause(ctx), a.now)
			case a.now = <-a.news:
			}
			continue
		}
		look, done := context.WithTimeout(ctx, lookEvery)
		_, err := h.WaitLog(look, fmt.Sprintf(`"acquired","duty":%q,"who":%q,"token":%d,`, a.name, holder, a.now.Token))
		done()
		switch {
		case err == nil:
			return holder, nil
		case ctx.Err() != nil:
			return "", fmt.Errorf("%w; last known: %+v; %w", context.Cause(ctx), a.now, err)
		case !h.Running():
			return "", err
		}
	}
}

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

func (p *play) count(n *int, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*n += by
}

// kill ends a process and notes when: it believed nothing any more once it was gone.
func (p *play) kill(who string, h *proc.Process) {
	p.note(p.asked, who)
	h.Kill()
	p.note(p.ended, who)
}

func (p *play) note(in map[string]int64, who string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in[who] = clock.MachineNS()
}
