package leaderelection

import (
	"context"
	"errors"
	"time"

	"milldeck/internal/leaderelection/leasetable"
)

// tenure is the period in which a candidate holds a lease and its work runs.
type tenure struct {
	*candidate
	lease *Lease
	ttl   time.Duration

	workCtx  context.Context
	stopWork context.CancelCauseFunc

	renewals        chan renewalResult
	renewalInFlight bool
	lost            bool
}

type renewalResult struct {
	answeredAt time.Time
	err        error
}

// runTenure calls work and renews the lease until work has returned. It reports whether the loss of the lease or a request
// to step down interrupted work, and returns the error of work.
func (c *candidate) runTenure(ctx context.Context, lease *Lease, ttl time.Duration, work Work) (interrupted bool, err error) {
	workCtx, stopWork := context.WithCancelCause(ctx)
	defer stopWork(nil)
	t := &tenure{candidate: c, lease: lease, ttl: ttl, workCtx: workCtx, stopWork: stopWork, renewals: make(chan renewalResult, 1)}
	done := make(chan error, 1)
	go func() { done <- work(workCtx, lease) }() // done is received below
	clock := c.opts.Clock
	renewalDue, expiry := clock.After(ttl/renewalsPerLease), clock.After(t.remaining())
	for {
		select {
		case err := <-done:
			return t.interrupted(), err
		case <-expiry:
			if remaining := t.remaining(); remaining > 0 { // the lease was renewed meanwhile
				expiry = clock.After(remaining)
			} else {
				t.handleLoss(lease.ValidUntil())
			}
		case <-renewalDue:
			t.startRenewal(ctx)
			renewalDue = clock.After(ttl / renewalsPerLease)
		case result := <-t.renewals:
			t.finishRenewal(result)
		case state := <-c.updates.C():
			t.handleUpdate(&state)
		}
	}
}

// remaining returns how long the lease is still valid.
func (t *tenure) remaining() time.Duration { return t.lease.ValidUntil().Sub(t.now()) }

// interrupted reports whether the election cancelled the work, not the caller.
func (t *tenure) interrupted() bool {
	cause := context.Cause(t.workCtx)
	return errors.Is(cause, ErrLeaseLost) || errors.Is(cause, ErrStepDownRequested)
}

// handleLoss cancels the work and invalidates the lease. validUntil is the time at which the lease expired, or zero if the
// lease was revoked or is held by another candidate.
func (t *tenure) handleLoss(validUntil time.Time) {
	if t.lost {
		return
	}
	t.lost = true
	t.stopWork(ErrLeaseLost)
	t.emit(Event{Type: Lost, Token: t.lease.Token, At: t.lease.invalidate(), ValidUntil: validUntil})
}

// startRenewal renews the lease in the background, unless the lease is lost or a renewal is in flight. Renewals continue
// while cancelled work finishes its last step. The goroutine ends when the answer arrives or the lease ends. If the tenure
// ends first, the result stays in the buffered channel and the lease ignores the renewal.
func (t *tenure) startRenewal(ctx context.Context) {
	if t.renewalInFlight || t.lost {
		return
	}
	t.renewalInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.remaining())
		defer cancel()
		answeredAt, err := t.renew(ctx, t.lease, t.ttl, t.ttl/lingerDivisor)
		t.renewals <- renewalResult{answeredAt, err}
	}()
}

// finishRenewal handles the answer to a renewal. After any error but ErrLeaseLost the lease is renewed at the next interval,
// or expires.
func (t *tenure) finishRenewal(result renewalResult) {
	t.renewalInFlight = false
	switch {
	case result.err == nil && !t.lost:
		t.emit(Event{Type: Renewed, Token: t.lease.Token, At: result.answeredAt, ValidUntil: t.lease.ValidUntil()})
	case errors.Is(result.err, ErrLeaseLost):
		t.handleLoss(time.Time{})
	}
}

// handleUpdate handles a state of the lease that the watch delivered.
func (t *tenure) handleUpdate(state *leasetable.Lease) {
	switch {
	case state.Revision < t.lease.Token: // a state from before this tenure
	case state.Holder != t.lease.Holder || state.Token != t.lease.Token || state.Revoked:
		t.handleLoss(time.Time{})
	case state.StepDownRequested && t.workCtx.Err() == nil:
		t.stopWork(ErrStepDownRequested)
		t.emit(Event{Type: StepDownRequested, Token: t.lease.Token, At: t.now(), ValidUntil: t.lease.ValidUntil()})
	}
}
