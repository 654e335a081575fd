package balance

import "math"

// This file decides the course of a request: when it is sent, when it is retried and how it ends unserved.

const (
	retryBudgetRatio = 0.2 // retries per first attempt while servers are overloaded
	retryBudgetMax   = 20  // retries that may be saved up: what an unreachable server held
	maxRetries       = 1   // of a request: more of them multiply a load that is too high already
)

// advance takes the next step of a request: it sends an attempt, gives the final answer or sets a timer.
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
			b.updateRetryBudget(len(r.attempts) > 0)
			// While load is shed an attempt that must not be repeated is given up at its objective: in full
			// queues all that is served is late. Clients would retry the others, which is more load.
			b.sendAttempt(r, s, r.class.Idempotency == NonIdempotent && b.shedding())
		}
	}
	b.scheduleTimer(r)
}

// exhausted reports whether nothing more can be sent for a request, or waiting for a server is of no use.
func (b *Balancer) exhausted(r *request) bool {
	executed := 0 // attempts that may have been executed
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverExecuted {
			continue
		}
		executed++
		withKey := r.class.Idempotency == IdempotentWithKey
		if r.class.Idempotency == NonIdempotent || withKey && b.idempotencyWindowOver(r, a) {
			return true
		}
	}
	// An attempt that was never executed is not a retry: after a crash two failed connects would reject a
	// request.
	retried := len(r.attempts) > 0
	if len(r.attempts) >= b.config.MaxAttempts || executed > maxRetries || retried && !b.retryAllowed() {
		return true
	}
	return b.now >= r.arrivedAt+r.class.LatencyObjective && b.safeToReject(r)
}

// retryAllowed is the retry budget, a token bucket that first attempts fill. It applies while the fleet is
// overloaded: there a retry takes the place of a first attempt, and no other server is better.
func (b *Balancer) retryAllowed() bool { return b.retries.tokens >= 1 || !b.overloaded() }

// overloaded reports whether load is shed, or a server rejected an attempt within the last longest objective.
func (b *Balancer) overloaded() bool {
	return b.shedding() || b.now < b.retries.lastOverloadedAt+b.longestObjective
}

// rejectOrFail gives a request its final answer without having served it. A client that may retry is told
// when.
func (b *Balancer) rejectOrFail(r *request) {
	action := Action{Kind: Fail, Request: r.ID}
	if b.safeToReject(r) {
		action.Kind, action.RetryAfter = Reject, b.retryAfter(r)
	}
	b.emit(action)
	b.finish(r)
}

// retryAfter is how long a client should wait before it retries: the least time that an answer takes, as
// nothing changes sooner, and the time in which the present shedding decays. Jitter keeps clients that were
// rejected together from returning together.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.config.SendRetryAfter {
		return 0
	}
	shed := math.Max(b.admission.sustainedShed-shedDeadband, 0)
	delay := r.stats.minLatencyRatio*r.class.LatencyObjective + shed*shedDecayTime
	return math.Min(delay*(0.5+b.random()), b.config.MaxRetryAfter)
}

// safeToReject reports whether the client may retry the request without a risk of executing it twice.
func (b *Balancer) safeToReject(r *request) bool {
	knownToAll := r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope == ScopeAll
	if r.class.Idempotency == Idempotent || knownToAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverExecuted {
			return false
		}
	}
	return true
}
