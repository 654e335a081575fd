package balance

// Violations counts actions that broke a rule of the balancer's own. Each is a bug: the policy files must never decide so.
// The rules are checked here a second time, by other code than decides.
type Violations struct {
	SecondAttempt     int // sent while another attempt of the request was in flight
	Repeated          int // sent, though it may have been executed and its class forbids the repeat
	NotReady          int // sent to a server that is draining or removed
	SlowStartOverdraw int // sent to a server in slow start without a token
}

// Violations returns the counts since New.
func (b *Balancer) Violations() Violations { return b.violations }

// checkSend counts the rules that sending a request to a server now would break.
func (b *Balancer) checkSend(r *request, s *server) {
	if r.inFlight > 0 && (!b.config.AllowParallelAttempts || r.class.Idempotency == NonIdempotent) {
		b.violations.SecondAttempt++
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverExecuted && !b.mayRepeat(r, a, s) {
			b.violations.Repeated++
			break
		}
	}
	if s.State != Ready {
		b.violations.NotReady++
	}
	if b.inSlowStart(s) && s.slowStart.tokens < 1 {
		b.violations.SlowStartOverdraw++
	}
}

// mayRepeat reports whether a request may go to a server although an earlier attempt may have been executed.
func (b *Balancer) mayRepeat(r *request, earlier *attempt, s *server) bool {
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
