// Package duty lets one process of many do what only one may do at a time. A duty is a lease in the replicated log of
// the list service, with the log's index as fencing token: Run waits for it, works while it holds, and stops in time.
//
// What is promised: of all processes that measure with a working monotonic clock, at most one believes at any moment
// that it holds a duty. What is not: that a process which was stopped between a look at its lease and what it did
// next notices in time. What must not happen twice has to be guarded by the token, as writes to the list service can
// be (registry.Guard, Lease.Save).
package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"milldeck/internal/duty/table"
	"milldeck/internal/registry"
)

const (
	// renewals come so many times in a lease: two may be lost.
	renewals = 3
	// releaseWait bounds the release of one that is ending; without it the lease runs out by itself.
	releaseWait = 2 * time.Second

	// DefaultTTL outlives an election of the list service, which takes up to two seconds.
	DefaultTTL = 5 * time.Second
)

// Why work is told to stop.
var (
	ErrLost  = errors.New("the duty is lost")
	ErrAsked = errors.New("the holder is asked to step down")
)

// Event is what becomes of a candidate: waiting, acquired, renewed, asked, lost, stopped or released. At is when it
// came to be, not when it was told: stopped is when the holder has ceased to believe, before it sends its release, and
// released when it has heard that this is done; the next may have begun by then.
type Event struct {
	What  string    `json:"what"`
	Duty  string    `json:"duty"`
	Who   string    `json:"who"`
	Token uint64    `json:"token,omitempty"`
	At    time.Time `json:"at"`
	Until time.Time `json:"until,omitzero"` // when the holder stops without a further renewal
	Place int       `json:"place,omitempty"`
}

// Options say how Run takes part.
type Options struct {
	Who    string        // this candidate, another with each start of a process; "" draws one
	TTL    time.Duration // of the lease, where this candidate is the first; 0: DefaultTTL
	Events func(Event)   // told of each step, in order; nil: nobody
	Once   bool          // return after the first tenure, however it ended
	Clock  Clock         // what this candidate measures by; nil: the process's own clock
}

// Clock tells the time and waits. Of the times that it tells only differences count, by their monotonic readings.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

type ownClock struct{}

func (ownClock) Now() time.Time                         { return time.Now() }
func (ownClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Lease is a duty while it is held.
type Lease struct {
	Name       string
	Who        string
	Token      uint64
	Checkpoint []byte // as the last holder left it

	client *registry.Client
	clock  Clock
	mu     sync.Mutex
	until  time.Time // by the monotonic clock
	over   bool      // the work has ended: a renewal that is still under way changes nothing
}

// Until is when the holder has to have stopped, unless it is renewed before; no time once it has stopped.
func (l *Lease) Until() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

// Valid tells whether the lease holds now. By the time that the caller acts on it, it may not: see the package.
func (l *Lease) Valid() bool { return l.clock.Now().Before(l.Until()) }

// end makes the lease invalid, for good, and returns a time at which it was.
func (l *Lease) end() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over, l.until = true, time.Time{}
	return l.clock.Now()
}

// Guard makes a write to the list service count only under this lease.
func (l *Lease) Guard() *registry.Guard { return &registry.Guard{Duty: l.Name, Token: l.Token} }

// Save writes where the work is, for whoever goes on. It fails once the duty is another's.
func (l *Lease) Save(ctx context.Context, checkpoint []byte) error {
	_, err := l.client.Duty(ctx, table.Checkpoint, l.Name, registry.DutyCall{Who: l.Who, Token: l.Token, Data: checkpoint})
	if err != nil {
		return fmt.Errorf("checkpoint of %s: %w", l.Name, err)
	}
	return nil
}

// Run seeks a duty and calls work each time it is held, until ctx ends or work returns without having been told to
// stop. The context of work ends, with ErrLost or ErrAsked as its cause, in time before the lease does; work has to
// return then, and Run seeks again. After its end the duty is released, and the next in line has it at once.
func Run(ctx context.Context, client *registry.Client, name string, opts Options, work func(context.Context, *Lease) error) error {
	if opts.Who == "" {
		opts.Who = registry.NewID()
	}
	if opts.TTL == 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Clock == nil {
		opts.Clock = ownClock{}
	}
	c := &candidate{client: client, name: name, opts: opts, news: make(chan table.Duty, 1)}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var around sync.WaitGroup
	defer around.Wait()
	defer stop()
	around.Go(func() { _ = client.WatchDuty(watching, name, c.tell) }) // ends with its context
	for {
		d, err := c.wait(ctx)
		if err != nil {
			c.release(0)
			return err
		}
		ttl := time.Duration(d.TTLMS) * time.Millisecond
		l, err := c.take(ctx, d, ttl)
		if err != nil {
			continue // it went to another before it was taken up
		}
		err, told := c.hold(ctx, l, ttl, work)
		c.event(l.end(), "stopped", l.Token, time.Time{}, 0)
		c.release(l.Token)
		if !told || opts.Once || ctx.Err() != nil {
			return err
		}
	}
}

type candidate struct {
	client *registry.Client
	name   string
	opts   Options
	news   chan table.Duty // the newest state that was not looked at
}

// tell keeps the newest state of the duty.
func (c *candidate) tell(d table.Duty) {
	for {
		select {
		case c.news <- d:
			return
		default:
		}
		select {
		case <-c.news:
		default:
		}
	}
}

// event tells of a step that was taken at a time.
func (c *candidate) event(at time.Time, what string, token uint64, until time.Time, place int) {
	if c.opts.Events != nil {
		c.opts.Events(Event{What: what, Duty: c.name, Who: c.opts.Who, Token: token, At: at, Until: until, Place: place})
	}
}

func (c *candidate) now() time.Time { return c.opts.Clock.Now() }

// wait seeks the duty and keeps its place in the queue until it is the holder.
func (c *candidate) wait(ctx context.Context) (table.Duty, error) {
	seek := func() (table.Duty, error) {
		return c.client.Duty(ctx, table.Seek, c.name, registry.DutyCall{Who: c.opts.Who, TTLMS: c.opts.TTL.Milliseconds()})
	}
	d, err := seek()
	if err != nil {
		return d, fmt.Errorf("duty %s: %w", c.name, err)
	}
	told := -1
	for {
		if d.Holder == c.opts.Who {
			return d, nil
		}
		place := 0
		for i, who := range d.Queue {
			if who == c.opts.Who {
				place = i + 1
			}
		}
		if place != told {
			told = place
			c.event(c.now(), "waiting", 0, time.Time{}, place)
		}
		select {
		case <-ctx.Done():
			return d, ctx.Err()
		case news := <-c.news:
			if news.Rev >= d.Rev { // else a replica is behind, and knows nothing of this candidate yet
				d = news
			}
			if d.Holder == "" && news.Rev == d.Rev { // who waits for a place in the queue need not wait any more
				if d, err = seek(); err != nil {
					return d, fmt.Errorf("duty %s: %w", c.name, err)
				}
			}
		case <-c.opts.Clock.After(c.opts.TTL / renewals):
			lost, err := renewTogether(ctx, c.client, c.opts.Who, registry.DutyRenewal{Name: c.name}, c.opts.TTL/lingerPart)
			if err != nil && ctx.Err() != nil {
				return d, ctx.Err()
			}
			if err == nil && lost { // it may be the holder meanwhile, or was away for too long
				if d, err = seek(); err != nil {
					return d, fmt.Errorf("duty %s: %w", c.name, err)
				}
			}
		}
	}
}

// take renews a duty that was given to this candidate. Only from then on does it know when its lease ends: it was
// not told when it began.
func (c *candidate) take(ctx context.Context, d table.Duty, ttl time.Duration) (*Lease, error) {
	l := &Lease{
		Name: c.name, Who: c.opts.Who, Token: d.Token, Checkpoint: d.Checkpoint, client: c.client, clock: c.opts.Clock,
	}
	from, err := c.renew(ctx, l, ttl, 0)
	if err == nil && !l.Valid() {
		err = ErrLost // the answer came too late to work on
	}
	if err != nil {
		c.release(d.Token)
		return nil, err
	}
	c.event(from, "acquired", l.Token, l.Until(), 0)
	return l, nil
}

// renew asks for more time and counts it from before the question was sent. It may wait for others to go with it. At is
// when the answer was there.
func (c *candidate) renew(ctx context.Context, l *Lease, ttl, linger time.Duration) (at time.Time, err error) {
	sent := c.now()
	lost, err := renewTogether(ctx, c.client, l.Who, registry.DutyRenewal{Name: l.Name, Token: l.Token}, linger)
	at = c.now()
	if err != nil {
		return at, err
	}
	if lost {
		return at, ErrLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := sent.Add(ttl - table.Margin(ttl)); until.After(l.until) && !l.over {
		l.until = until
	}
	return at, nil
}

// hold does the work and keeps the lease. Told: the work was told to stop.
func (c *candidate) hold(ctx context.Context, l *Lease, ttl time.Duration, work func(context.Context, *Lease) error) (err error, told bool) {
	working, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	done := make(chan error, 1)
	go func() { done <- work(working, l) }()
	type renewal struct {
		at  time.Time
		err error
	}
	renewed := make(chan renewal, 1)
	renewing, lost := false, false
	lose := func(until time.Time) {
		if !lost {
			lost = true
			stop(ErrLost)
			c.event(l.end(), "lost", l.Token, until, 0)
		}
	}
	left := func() time.Duration { return l.Until().Sub(c.now()) }
	next, end := c.opts.Clock.After(ttl/renewals), c.opts.Clock.After(left())
	for {
		select {
		case err := <-done:
			cause := context.Cause(working)
			return err, errors.Is(cause, ErrLost) || errors.Is(cause, ErrAsked)
		case <-end:
			if more := left(); more > 0 {
				end = c.opts.Clock.After(more)
			} else {
				lose(l.Until())
			}
		case <-next:
			if !renewing && !lost { // also while the work finishes its last step
				renewing = true
				go func() {
					ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left())
					defer cancel()
					at, err := c.renew(ctx, l, ttl, ttl/lingerPart)
					renewed <- renewal{at, err}
				}()
			}
			next = c.opts.Clock.After(ttl / renewals)
		case r := <-renewed:
			renewing = false
			switch {
			case r.err == nil && !lost:
				c.event(r.at, "renewed", l.Token, l.Until(), 0)
			case errors.Is(r.err, ErrLost):
				lose(time.Time{})
			}
		case d := <-c.news:
			switch {
			case d.Rev < l.Token: // of before
			case d.Holder != l.Who || d.Token != l.Token || d.Revoked:
				lose(time.Time{})
			case d.Asked && working.Err() == nil:
				stop(ErrAsked)
				c.event(c.now(), "asked", l.Token, l.Until(), 0)
			}
		}
	}
}

// release gives up the duty, or with token 0 the place in its queue, also when the caller's context has ended.
func (c *candidate) release(token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait)
	defer cancel()
	if _, err := c.client.Duty(ctx, table.Release, c.name, registry.DutyCall{Who: c.opts.Who, Token: token}); err == nil && token != 0 {
		c.event(c.now(), "released", token, time.Time{}, 0)
	}
}
