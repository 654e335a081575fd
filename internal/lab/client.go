package lab

import (
	"math"

	"milldeck/balance"
)

// maxBackoffDoublings bounds how often the backoff of a client doubles.
const maxBackoffDoublings = 10

// Outcome is how an attempt of a client ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed      Outcome = iota // a complete response of a server to this request
	OutcomeRejected                   // status 429 or 503: nothing was executed, a retry is safe
	OutcomeFailed                     // any other response
	OutcomeNoResponse                 // the client's timeout expired
	OutcomeUnreachable                // the sidecar did not accept the request, or its process ended
)

// NextRetry returns when a client retries after an attempt that ended now, or false if it does not retry. Attempts count
// from 0. The sidecar's Retry-After is in ms.
func (p *Plan) NextRetry(arrival *Arrival, attempt int, outcome Outcome, now, retryAfter float64) (float64, bool) {
	if outcome == OutcomeServed || attempt >= p.Experiment.Clients.Retries {
		return 0, false
	}
	if !p.isRetrySafe(arrival, outcome, now) {
		return 0, false
	}
	backoff := arrival.RetryBackoffMS * float64(int(1)<<min(attempt, maxBackoffDoublings))
	if arrival.HonoursRetryAfter {
		backoff = max(backoff, min(retryAfter, p.Experiment.Limits.MaxRetryAfterMS))
	}
	at := now + backoff
	deadline := arrival.StartMS + p.Classes[arrival.Class].DeadlineMS
	disconnected := arrival.DisconnectAfterMS > 0 && at >= arrival.StartMS+arrival.DisconnectAfterMS
	if at >= deadline || disconnected {
		return 0, false
	}
	return at, true
}

// isRetrySafe reports whether a retry cannot apply the effect of the request twice.
func (p *Plan) isRetrySafe(arrival *Arrival, outcome Outcome, now float64) bool {
	if outcome == OutcomeRejected || outcome == OutcomeUnreachable {
		return true
	}
	class := &p.Classes[arrival.Class]
	switch class.Idempotency {
	case balance.Idempotent:
		return true
	case balance.IdempotentWithKey:
		return class.DeduplicationScope == balance.ScopeAll && now < arrival.StartMS+class.IdempotencyWindowMS
	default:
		return false
	}
}

// AttemptTimeout returns the timeout in ms of a client's attempt that starts now.
func (p *Plan) AttemptTimeout(arrival *Arrival, now float64) float64 {
	deadline := arrival.StartMS + p.Classes[arrival.Class].DeadlineMS
	return math.Max(1, math.Floor(min(arrival.AttemptTimeoutMS, deadline-now)))
}
