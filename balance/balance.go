package balance

import "math"

// This file decides the lifecycle of a request: when an attempt is sent, when the request is retried and
// which final answer ends a request that was not served.

const (
	retryBudgetRatio = 0.2 // retries allowed per first attempt while the fleet is overloaded
	retryBudgetMax   = 20  // bound of the budget: enough to retry the attempts of one unreachable server
	maxRetries       = 1   // per request: more retries multiply a load that is already too high
)

// advance performs the next step of a request: it sends an attempt, gives the final answer or sets a timer.
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
			// While load is shed, a non-idempotent attempt is given up at its latency objective: in full
			// queues every answer is late. Other attempts are not given up: their clients would retry, which
			// adds load.
			b.sendAttempt(r, s, r.class.Idempotency == NonIdempotent && b.shedding())
		}
	}
	b.scheduleTimer(r)
}

// exhausted reports whether a request must end now: no further attempt is allowed, or waiting for a server
// does not help.
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
	// An attempt that was never executed does not count as a retry: otherwise two failed connects after a
	// crash would cause a rejection.
	retried := len(r.attempts) > 0
	if len(r.attempts) >= b.config.MaxAttempts || executed > maxRetries || retried && !b.retryAllowed() {
		return true
	}
	return b.now >= r.arrivedAt+r.class.LatencyObjective && b.safeToReject(r)
}

// retryAllowed applies the retry budget, a token bucket that first attempts refill. The budget limits
// retries only while the fleet is overloaded: a retry then displaces a first attempt, and no other server
// is better.
func (b *Balancer) retryAllowed() bool { return b.retries.tokens >= 1 || !b.overloaded() }

// overloaded reports whether this sidecar sheds load, or a server rejected an attempt within the last
// longest latency objective.
func (b *Balancer) overloaded() bool {
	return b.shedding() || b.now < b.retries.lastOverloadedAt+b.longestObjective
}

// rejectOrFail gives the final answer to a request that was not served. A client that may retry receives a
// Retry-After.
func (b *Balancer) rejectOrFail(r *request) {
	action := Action{Kind: Fail, Request: r.ID}
	if b.safeToReject(r) {
		action.Kind, action.RetryAfter = Reject, b.retryAfter(r)
	}
	b.emit(action)
	b.finish(r)
}

// retryAfter returns how long a client should wait before it retries: the minimum latency of an answer,
// since the load does not change sooner, plus the time in which the current shedding decays. Jitter
// prevents clients that were rejected together from retrying together.
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
