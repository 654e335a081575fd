// Package leaderelection runs work that only one process may run at a time. Each kind of work has a lease in the registry's
// replicated log, and the log index at which a process acquires the lease is its fencing token. Run waits for the lease,
// calls the work while this process holds the lease, and cancels the work before the lease expires.
//
// Guaranteed: of all processes whose monotonic clocks work, at most one considers itself the holder of a lease at any
// moment. Not guaranteed: that a process which is paused between checking its lease and acting on it notices the expiry in
// time. Effects that must not happen twice have to be guarded by the fencing token, as writes to the registry can be
// (Lease.Guard, Lease.SaveCheckpoint).
//
// Package leasetable implements the rules by which leases change hands; the registry's raft leader decides on expiry.
package leaderelection

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"milldeck/internal/leaderelection/latest"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

const (
	// renewalsPerLease is the number of renewals within a lease's TTL. Two of these renewals may be lost.
	renewalsPerLease = 3
	// releaseTimeout limits the release request at the end of a tenure; a lease that is not released expires.
	releaseTimeout = 2 * time.Second

	// DefaultTTL is longer than a raft election of the registry, which ends within two seconds; see raft.go in package
	// registry.
	DefaultTTL = 5 * time.Second
)

// The causes with which Run cancels the context of the work.
var (
	ErrLeaseLost         = errors.New("the lease is lost")
	ErrStepDownRequested = errors.New("the holder was requested to step down")
)

// Work is what the holder of a lease runs. It must return when its context ends; context.Cause then returns ErrLeaseLost,
// ErrStepDownRequested or the cause of the context that was passed to Run.
type Work func(ctx context.Context, lease *Lease) error

// Options configure how Run takes part in an election.
type Options struct {
	Candidate    string        // unique among all processes and their earlier incarnations; "": a random ID
	TTL          time.Duration // applies if this candidate finds the lease free; 0: DefaultTTL
	OnEvent      func(Event)   // called for each event, in order; may be nil
	SingleTenure bool          // return after the first tenure, whatever ended it
	Clock        Clock         // measures the lease; nil: the system clock
}

// Clock reads the time and waits. Run uses only differences between its times, by their monotonic readings.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Run campaigns for a lease and calls work each time it acquires the lease. It cancels the context of work before the lease
// expires. After work has returned, Run releases the lease, so that the next candidate acquires it at once, and campaigns
// again. Run returns when ctx ends, or when work returns without having been cancelled by the loss of the lease or a request
// to step down.
//
// Run returns the error of work, of ctx, or of a campaign that the registry rejected.
func Run(ctx context.Context, client *registry.Client, name string, opts Options, work Work) error {
	if opts.Candidate == "" {
		opts.Candidate = registry.NewID()
	}
	if opts.TTL == 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Clock == nil {
		opts.Clock = systemClock{}
	}
	c := &candidate{client: client, leaseName: name, opts: opts, updates: latest.New[leasetable.Lease]()}
	watchCtx, stopWatch := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stopWatch()
	background.Go(func() { _ = client.WatchLease(watchCtx, name, c.updates.Set) }) // returns only when its context ends
	for {
		state, err := c.campaign(ctx)
		if err != nil {
			c.release(0)
			return err
		}
		ttl := time.Duration(state.TTLMS) * time.Millisecond
		lease, err := c.acquire(ctx, state, ttl)
		if err != nil {
			continue // the lease was lost before its first renewal: campaign again
		}
		interrupted, err := c.runTenure(ctx, lease, ttl, work)
		c.emit(Event{Type: Stopped, Token: lease.Token, At: lease.invalidate()})
		c.release(lease.Token)
		if !interrupted || opts.SingleTenure || ctx.Err() != nil {
			return err
		}
	}
}

// candidate is one process's participation in the election for one lease.
type candidate struct {
	client    *registry.Client
	leaseName string
	opts      Options
	updates   latest.Value[leasetable.Lease]
}

// emit reports an event after setting its lease and candidate.
func (c *candidate) emit(event Event) {
	if c.opts.OnEvent == nil {
		return
	}
	event.Lease, event.Candidate = c.leaseName, c.opts.Candidate
	c.opts.OnEvent(event)
}

func (c *candidate) now() time.Time { return c.opts.Clock.Now() }

// campaign joins the queue of the lease and keeps its place in the queue until this candidate holds the lease.
func (c *candidate) campaign(ctx context.Context) (leasetable.Lease, error) {
	state, err := c.joinQueue(ctx)
	if err != nil {
		return state, err
	}
	reported := -1
	for state.Holder != c.opts.Candidate {
		position := slices.Index(state.Queue, c.opts.Candidate) + 1
		if position != reported {
			reported = position
			c.emit(Event{Type: Waiting, At: c.now(), QueuePosition: position})
		}
		if state, err = c.awaitChange(ctx, state); err != nil {
			return state, err
		}
	}
	return state, nil
}

// joinQueue acquires the lease or a place in its queue. It changes nothing if the candidate already has one of the two.
func (c *candidate) joinQueue(ctx context.Context) (leasetable.Lease, error) {
	request := registry.LeaseRequest{Candidate: c.opts.Candidate, TTLMS: c.opts.TTL.Milliseconds()}
	state, err := c.client.UpdateLease(ctx, leasetable.Campaign, c.leaseName, request)
	if err != nil {
		return state, fmt.Errorf("campaign for %s: %w", c.leaseName, err)
	}
	return state, nil
}

// awaitChange waits for the next change of the lease. If a renewal of the place in the queue is due first, awaitChange
// sends the renewal instead. It returns the newest known state of the lease.
func (c *candidate) awaitChange(ctx context.Context, state leasetable.Lease) (leasetable.Lease, error) {
	select {
	case <-ctx.Done():
		return state, ctx.Err()
	case update := <-c.updates.C():
		if update.Revision < state.Revision {
			return state, nil // from a replica that lags behind and does not know this candidate yet
		}
		if update.Holder == "" { // the lease is free: a candidate that lost its place in the queue can acquire it
			return c.joinQueue(ctx)
		}
		return update, nil
	case <-c.opts.Clock.After(c.opts.TTL / renewalsPerLease):
		renewal := registry.LeaseRenewal{Name: c.leaseName}
		lost, err := renewBatched(ctx, c.client, c.opts.Candidate, renewal, c.opts.TTL/lingerDivisor)
		switch {
		case err != nil && ctx.Err() != nil:
			return state, ctx.Err()
		case err == nil && lost: // the candidate holds the lease by now, or its place in the queue has expired
			return c.joinQueue(ctx)
		}
		return state, nil
	}
}

// acquire renews a lease that was assigned to this candidate. The candidate does not know when the assignment took effect,
// so it counts the duration of the lease from the start of this first renewal.
func (c *candidate) acquire(ctx context.Context, state leasetable.Lease, ttl time.Duration) (*Lease, error) {
	lease := &Lease{
		Name:       c.leaseName,
		Holder:     c.opts.Candidate,
		Token:      state.Token,
		Checkpoint: state.Checkpoint,
		client:     c.client,
		clock:      c.opts.Clock,
	}
	acquiredAt, err := c.renew(ctx, lease, ttl, 0)
	if err == nil && !lease.Valid() {
		err = ErrLeaseLost // the answer arrived after the lease had ended
	}
	if err != nil {
		c.release(state.Token)
		return nil, err
	}
	c.emit(Event{Type: Acquired, Token: lease.Token, At: acquiredAt, ValidUntil: lease.ValidUntil()})
	return lease, nil
}

// renew renews a lease and extends it, counting from the time before the request was sent. The request may wait for up to
// linger to be sent together with other renewals. renew returns the time at which the answer arrived, and ErrLeaseLost if
// this candidate no longer holds the lease.
func (c *candidate) renew(ctx context.Context, lease *Lease, ttl, linger time.Duration) (answeredAt time.Time, err error) {
	sentAt := c.now()
	renewal := registry.LeaseRenewal{Name: lease.Name, Token: lease.Token}
	lost, err := renewBatched(ctx, c.client, lease.Holder, renewal, linger)
	answeredAt = c.now()
	if err != nil {
		return answeredAt, err
	}
	if lost {
		return answeredAt, ErrLeaseLost
	}
	lease.extend(sentAt.Add(ttl - leasetable.SafetyMargin(ttl)))
	return answeredAt, nil
}

// release releases the lease, or with token 0 the place in its queue, even if the caller's context has ended. A release that
// fails is not retried: the lease expires.
func (c *candidate) release(token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	request := registry.LeaseRequest{Candidate: c.opts.Candidate, Token: token}
	_, err := c.client.UpdateLease(ctx, leasetable.Release, c.leaseName, request)
	if err == nil && token != 0 {
		c.emit(Event{Type: Released, Token: token, At: c.now()})
	}
}
