// Package balance takes the decisions of one sidecar's load balancer: which server gets a request, when it
// is tried again, when it is refused. Its interface (Config, events, Action) is in api.go. The files that
// decide are named as policy in deploy/balancer.toml; events.go calls them, state.go is what they remember.
//
// The mechanism is AWRR (docs/design.md): each server has a multiplier m that falls with its consecutive
// errors and recovers with time; smooth weighted round robin over size × m picks the server; a failed
// repeatable request goes to the untried server of highest m.
package balance

import "math"

const (
	retryBudgetRatio = 0.2 // of first sends may be repeated where servers are crowded
	retryBudgetMax   = 20  // ... and so many at once: what a lost server held
	maxRetries       = 1   // re-routes of a request: more of them multiply the load when it is too high already
)

// advance looks at a request afresh: it sends, answers or waits.
func (b *Balancer) advance(r *request) {
	if r.finished || r.streaming {
		return
	}
	b.checkAttempts(r)
	if b.now >= r.deadline || r.inFlight == 0 && b.exhausted(r) {
		b.rejectOrFail(r)
		return
	}
	if r.inFlight == 0 && !b.awaitsHealthChecks(r) {
		if s := b.selectUnderPlacement(r, len(r.attempts) > 0); s != nil {
			if len(r.attempts) > 0 {
				b.retryTokens = math.Max(b.retryTokens-1, 0)
			} else {
				b.retryTokens = math.Min(b.retryTokens+retryBudgetRatio, retryBudgetMax)
			}
			// Exception: while load is shed an unsafe request is given up at its aim. In full queues all that
			// is served is late; clients try the others again, and that is more load.
			b.sendAttempt(r, s, r.class.Idempotency == NonIdempotent && b.sustainedShed > shedDeadband)
		}
	}
	b.scheduleTimer(r)
}

func (b *Balancer) exhausted(r *request) bool { // nothing more can be sent, or waiting is no use
	executed := 0
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverExecuted {
			continue
		}
		executed++
		if r.class.Idempotency == NonIdempotent || r.class.Idempotency == IdempotentWithKey && b.idempotencyWindowOver(r, a) {
			return true
		}
	}
	// What never ran uses up no re-route: after a crash two failed connects refused a request.
	attemptsExhausted := len(r.attempts) >= b.config.MaxAttempts || executed > maxRetries || len(r.attempts) > 0 && !b.retryAllowed()
	return attemptsExhausted || b.now >= r.arrivedAt+r.class.LatencyObjective && b.safeToReject(r)
}

// retryAllowed is the budget of repeats, a token bucket that first sends fill. It counts while servers turn
// requests away or load is shed: there a repeat takes a place from a first send, and what fails has no
// better server.
func (b *Balancer) retryAllowed() bool { return b.retryTokens >= 1 || !b.overloaded() }

// overloaded: load is shed, or servers turned requests away within the last aim.
func (b *Balancer) overloaded() bool {
	return b.sustainedShed > shedDeadband || b.now < b.lastOverloadedAt+b.longestObjective
}

// rejectOrFail ends a request unserved, at once. A client that may try again is told when.
func (b *Balancer) rejectOrFail(r *request) {
	action := Action{Kind: Fail, Request: r.ID}
	if b.safeToReject(r) {
		action.Kind, action.At = Reject, b.retryAfter(r)
	}
	b.emit(action)
	b.finish(r)
}

// retryAfter is how long a client should stay away: as long as an answer takes at the least, as nothing has
// changed sooner, and what the shedding of now takes to leak away. It is jittered: those who were turned away
// together would come back together.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.config.SendRetryAfter {
		return 0
	}
	delay := r.stats.minLatencyRatio*r.class.LatencyObjective + math.Max(b.sustainedShed-shedDeadband, 0)*shedDecayTime
	return math.Min(delay*(0.5+b.random()), b.config.MaxRetryAfter)
}

func (b *Balancer) safeToReject(r *request) bool { // the client may try again: it does no harm
	if r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope == ScopeAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverExecuted {
			return false
		}
	}
	return true
}

// finish marks a request as answered and gives up what is still out for it.
func (b *Balancer) finish(r *request) {
	r.finished = true
	b.cancelAttemptsExcept(r, -1)
	if r.inFlight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.finished = append(b.finished, r)
	}
}

func (b *Balancer) cancelAttemptsExcept(r *request, except int) {
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != except && b.config.AllowCancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}
