// Package duty lets one process of many do what only one may do at a time. A duty is a lease in the replicated log of
// the list service, with the log's index as fencing token: Run waits for it, works while it holds, and stops in time.
//
// What is promised: of all processes that measure with a working monotonic clock, at most one believes at any moment
// that it holds a duty. What is not: that a process which was stopped between a look at its lease and what it did
// next notices in time. What must not happen twice has to be guarded by the token, as writes to the list service can
// be (registry.Guard, Lease.Save).
package leaderelection

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

const (
	// renewalsPerLease come so many times in a lease: two may be lost.
	renewalsPerLease = 3
	// releaseTimeout bounds the release of one that is ending; without it the lease runs out by itself.
	releaseTimeout = 2 * time.Second

	// DefaultTTL outlives an election of the list service, which takes up to two seconds.
	DefaultTTL = 5 * time.Second
)

// Why work is told to stop.
var (
	ErrLeaseLost         = errors.New("the duty is lost")
	ErrStepDownRequested = errors.New("the holder is asked to step down")
)

// Event is what becomes of a candidate: waiting, acquired, renewed, asked, lost, stopped or released. At is when it
// came to be, not when it was told: stopped is when the holder has ceased to believe, before it sends its release, and
// released when it has heard that this is done; the next may have begun by then.
type Event struct {
	Type          string    `json:"what"`
	Lease         string    `json:"duty"`
	Candidate     string    `json:"who"`
	Token         uint64    `json:"token,omitempty"`
	At            time.Time `json:"at"`
	ValidUntil    time.Time `json:"until,omitzero"` // when the holder stops without a further renewal
	QueuePosition int       `json:"place,omitempty"`
}

// Options say how Run takes part.
type Options struct {
	Candidate    string        // this candidate, another with each start of a process; "" draws one
	TTL          time.Duration // of the lease, where this candidate is the first; 0: DefaultTTL
	OnEvent      func(Event)   // told of each step, in order; nil: nobody
	SingleTenure bool          // return after the first tenure, however it ended
	Clock        Clock         // what this candidate measures by; nil: the process's own clock
}

// Clock tells the time and waits. Of the times that it tells only differences count, by their monotonic readings.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Lease is a duty while it is held.
type Lease struct {
	Name       string
	Holder     string
	Token      uint64
	Checkpoint []byte // as the last holder left it

	client     *registry.Client
	clock      Clock
	mu         sync.Mutex
	validUntil time.Time // by the monotonic clock
	ended      bool      // the work has ended: a renewal that is still under way changes nothing
}

// ValidUntil is when the holder has to have stopped, unless it is renewed before; no time once it has stopped.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validUntil
}

// Valid tells whether the lease holds now. By the time that the caller acts on it, it may not: see the package.
func (l *Lease) Valid() bool { return l.clock.Now().Before(l.ValidUntil()) }

// invalidate makes the lease invalid, for good, and returns a time at which it was.
func (l *Lease) invalidate() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.validUntil = true, time.Time{}
	return l.clock.Now()
}

// Guard makes a write to the list service count only under this lease.
func (l *Lease) Guard() *registry.Guard { return &registry.Guard{Lease: l.Name, Token: l.Token} }

// SaveCheckpoint writes where the work is, for whoever goes on. It fails once the duty is another's.
func (l *Lease) SaveCheckpoint(ctx context.Context, checkpoint []byte) error {
	_, err := l.client.UpdateLease(ctx, leasetable.Checkpoint, l.Name, registry.LeaseRequest{Candidate: l.Holder, Token: l.Token, Data: checkpoint})
	if err != nil {
		return fmt.Errorf("checkpoint of %s: %w", l.Name, err)
	}
	return nil
}

// Run seeks a duty and calls work each time it is held, until ctx ends or work returns without having been told to
// stop. The context of work ends, with ErrLeaseLost or ErrStepDownRequested as its cause, in time before the lease does; work has to
// return then, and Run seeks again. After its end the duty is released, and the next in line has it at once.
func Run(ctx context.Context, client *registry.Client, name string, opts Options, work func(context.Context, *Lease) error) error {
	if opts.Candidate == "" {
		opts.Candidate = registry.NewID()
	}
	if opts.TTL == 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Clock == nil {
		opts.Clock = systemClock{}
	}
	c := &candidate{client: client, leaseName: name, opts: opts, updates: make(chan leasetable.Lease, 1)}
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var background sync.WaitGroup
	defer background.Wait()
	defer stopWatch()
	background.Go(func() { _ = client.WatchLease(watchCtx, name, c.enqueueLatest) }) // ends with its context
	for {
		state, err := c.campaign(ctx)
		if err != nil {
			c.release(0)
			return err
		}
		ttl := time.Duration(state.TTLMS) * time.Millisecond
		lease, err := c.acquire(ctx, state, ttl)
		if err != nil {
			continue // it went to another before it was taken up
		}
		err, interrupted := c.holdLease(ctx, lease, ttl, work)
		c.emit(lease.invalidate(), "stopped", lease.Token, time.Time{}, 0)
		c.release(lease.Token)
		if !interrupted || opts.SingleTenure || ctx.Err() != nil {
			return err
		}
	}
}

type candidate struct {
	client    *registry.Client
	leaseName string
	opts      Options
	updates   chan leasetable.Lease // the newest state that was not looked at
}

// enqueueLatest keeps the newest state of the duty.
func (c *candidate) enqueueLatest(state leasetable.Lease) {
	for {
		select {
		case c.updates <- state:
			return
		default:
		}
		select {
		case <-c.updates:
		default:
		}
	}
}

// emit tells of a step that was taken at a time.
func (c *candidate) emit(at time.Time, eventType string, token uint64, validUntil time.Time, queuePosition int) {
	if c.opts.OnEvent != nil {
		c.opts.OnEvent(Event{Type: eventType, Lease: c.leaseName, Candidate: c.opts.Candidate, Token: token, At: at, ValidUntil: validUntil, QueuePosition: queuePosition})
	}
}

func (c *candidate) now() time.Time { return c.opts.Clock.Now() }

// campaign seeks the duty and keeps its place in the queue until it is the holder.
func (c *candidate) campaign(ctx context.Context) (leasetable.Lease, error) {
	joinQueue := func() (leasetable.Lease, error) {
		return c.client.UpdateLease(ctx, leasetable.Campaign, c.leaseName, registry.LeaseRequest{Candidate: c.opts.Candidate, TTLMS: c.opts.TTL.Milliseconds()})
	}
	state, err := joinQueue()
	if err != nil {
		return state, fmt.Errorf("duty %s: %w", c.leaseName, err)
	}
	reportedPosition := -1
	for {
		if state.Holder == c.opts.Candidate {
			return state, nil
		}
		position := 0
		for i, waiting := range state.Queue {
			if waiting == c.opts.Candidate {
				position = i + 1
			}
		}
		if position != reportedPosition {
			reportedPosition = position
			c.emit(c.now(), "waiting", 0, time.Time{}, position)
		}
		select {
		case <-ctx.Done():
			return state, ctx.Err()
		case update := <-c.updates:
			if update.Rev >= state.Rev { // else a replica is behind, and knows nothing of this candidate yet
				state = update
			}
			if state.Holder == "" && update.Rev == state.Rev { // who waits for a place in the queue need not wait any more
				if state, err = joinQueue(); err != nil {
					return state, fmt.Errorf("duty %s: %w", c.leaseName, err)
				}
			}
		case <-c.opts.Clock.After(c.opts.TTL / renewalsPerLease):
			lost, err := renewBatched(ctx, c.client, c.opts.Candidate, registry.LeaseRenewal{Name: c.leaseName}, c.opts.TTL/lingerDivisor)
			if err != nil && ctx.Err() != nil {
				return state, ctx.Err()
			}
			if err == nil && lost { // it may be the holder meanwhile, or was away for too long
				if state, err = joinQueue(); err != nil {
					return state, fmt.Errorf("duty %s: %w", c.leaseName, err)
				}
			}
		}
	}
}

// acquire renews a duty that was given to this candidate. Only from then on does it know when its lease ends: it was
// not told when it began.
func (c *candidate) acquire(ctx context.Context, state leasetable.Lease, ttl time.Duration) (*Lease, error) {
	lease := &Lease{
		Name: c.leaseName, Holder: c.opts.Candidate, Token: state.Token, Checkpoint: state.Checkpoint, client: c.client, clock: c.opts.Clock,
	}
	acquiredAt, err := c.renew(ctx, lease, ttl, 0)
	if err == nil && !lease.Valid() {
		err = ErrLeaseLost // the answer came too late to work on
	}
	if err != nil {
		c.release(state.Token)
		return nil, err
	}
	c.emit(acquiredAt, "acquired", lease.Token, lease.ValidUntil(), 0)
	return lease, nil
}

// renew asks for more time and counts it from before the question was sent. It may wait for others to go with it. At is
// when the answer was there.
func (c *candidate) renew(ctx context.Context, lease *Lease, ttl, linger time.Duration) (answeredAt time.Time, err error) {
	sentAt := c.now()
	lost, err := renewBatched(ctx, c.client, lease.Holder, registry.LeaseRenewal{Name: lease.Name, Token: lease.Token}, linger)
	answeredAt = c.now()
	if err != nil {
		return answeredAt, err
	}
	if lost {
		return answeredAt, ErrLeaseLost
	}
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if validUntil := sentAt.Add(ttl - leasetable.SafetyMargin(ttl)); validUntil.After(lease.validUntil) && !lease.ended {
		lease.validUntil = validUntil
	}
	return answeredAt, nil
}

// holdLease does the work and keeps the lease. Told: the work was told to stop.
func (c *candidate) holdLease(ctx context.Context, lease *Lease, ttl time.Duration, work func(context.Context, *Lease) error) (err error, interrupted bool) {
	workCtx, stopWork := context.WithCancelCause(ctx)
	defer stopWork(nil)
	done := make(chan error, 1)
	go func() { done <- work(workCtx, lease) }()
	type renewal struct {
		at  time.Time
		err error
	}
	renewed := make(chan renewal, 1)
	renewalInFlight, lost := false, false
	loseLease := func(validUntil time.Time) {
		if !lost {
			lost = true
			stopWork(ErrLeaseLost)
			c.emit(lease.invalidate(), "lost", lease.Token, validUntil, 0)
		}
	}
	remaining := func() time.Duration { return lease.ValidUntil().Sub(c.now()) }
	renewalDue, expiry := c.opts.Clock.After(ttl/renewalsPerLease), c.opts.Clock.After(remaining())
	for {
		select {
		case err := <-done:
			cause := context.Cause(workCtx)
			return err, errors.Is(cause, ErrLeaseLost) || errors.Is(cause, ErrStepDownRequested)
		case <-expiry:
			if timeLeft := remaining(); timeLeft > 0 {
				expiry = c.opts.Clock.After(timeLeft)
			} else {
				loseLease(lease.ValidUntil())
			}
		case <-renewalDue:
			if !renewalInFlight && !lost { // also while the work finishes its last step
				renewalInFlight = true
				go func() {
					ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining())
					defer cancel()
					at, err := c.renew(ctx, lease, ttl, ttl/lingerDivisor)
					renewed <- renewal{at, err}
				}()
			}
			renewalDue = c.opts.Clock.After(ttl / renewalsPerLease)
		case r := <-renewed:
			renewalInFlight = false
			switch {
			case r.err == nil && !lost:
				c.emit(r.at, "renewed", lease.Token, lease.ValidUntil(), 0)
			case errors.Is(r.err, ErrLeaseLost):
				loseLease(time.Time{})
			}
		case state := <-c.updates:
			switch {
			case state.Rev < lease.Token: // of before
			case state.Holder != lease.Holder || state.Token != lease.Token || state.Revoked:
				loseLease(time.Time{})
			case state.StepDownRequested && workCtx.Err() == nil:
				stopWork(ErrStepDownRequested)
				c.emit(c.now(), "asked", lease.Token, lease.ValidUntil(), 0)
			}
		}
	}
}

// release gives up the duty, or with token 0 the place in its queue, also when the caller's context has ended.
func (c *candidate) release(token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := c.client.UpdateLease(ctx, leasetable.Release, c.leaseName, registry.LeaseRequest{Candidate: c.opts.Candidate, Token: token}); err == nil && token != 0 {
		c.emit(c.now(), "released", token, time.Time{}, 0)
	}
}
