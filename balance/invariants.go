package balance

// Violations counts actions that violate a rule of the balancer itself. Each violation is a bug of the policy files.
// checkSend checks the rules with code of its own, separate from the code that decides.
type Violations struct {
	SecondAttempt           int // attempts sent while another attempt of the request was in flight
	Repeated                int // attempts sent though an earlier one may have been executed and the class forbids a repeat
	NotReady                int // attempts sent to a server that is draining or removed
	SlowStartBudgetExceeded int // attempts sent to a server in slow start without a token
}

// Violations returns the counts since New.
func (b *Balancer) Violations() Violations { return b.violations }

// checkSend counts the rules that sending a request to a server now would violate.
func (b *Balancer) checkSend(r *request, s *server) {
	if r.inFlight > 0 && (!b.config.AllowParallelAttempts || r.class.Idempotency == NonIdempotent) {
		b.violations.SecondAttempt++
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverExecuted && !b.isRepeatSafe(r, a, s) {
			b.violations.Repeated++
			break
		}
	}
	if s.State != Ready {
		b.violations.NotReady++
	}
	if b.inSlowStart(s) && s.slowStart.tokens < 1 {
		b.violations.SlowStartBudgetExceeded++
	}
}

// isRepeatSafe reports whether a request may be sent to a server although an earlier attempt may have been executed.
func (b *Balancer) isRepeatSafe(r *request, earlier *attempt, s *server) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	case IdempotentWithKey:
	}
	if b.now >= earlier.sentAt+r.class.IdempotencyWindow {
		return false
	}
	switch r.class.DeduplicationScope {
	case ScopeZone:
		return earlier.server.Zone == s.Zone
	case ScopeCell:
		return earlier.server.Cell == s.Cell
	case ScopeAll:
	}
	return true
}
