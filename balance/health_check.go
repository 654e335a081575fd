package balance

// healthCheckWait is the wait of a request for health checks before its first attempt.
type healthCheckWait struct {
	sentTo    []*server
	waitUntil float64
}

func (w *healthCheckWait) includes(s *server) bool {
	for _, checked := range w.sentTo {
		if checked == s {
			return true
		}
	}
	return false
}

// sendHealthCheck sends a health check to a server, unless one is in flight.
func (b *Balancer) sendHealthCheck(s *server) {
	if !s.healthCheckPending {
		s.healthCheckPending = true
		b.emit(Action{Kind: HealthCheck, Server: s.ID})
	}
}

// awaitsHealthChecks reports whether a request still waits for health checks, which it does briefly at most.
func (b *Balancer) awaitsHealthChecks(r *request) bool {
	for _, s := range r.healthChecks.sentTo {
		if s.healthCheckPending && b.now < r.healthChecks.waitUntil {
			return true
		}
	}
	r.healthChecks.waitUntil = 0
	return false
}

// resumeWaitingRequests advances the requests that wait for health checks and keeps those that still wait.
func (b *Balancer) resumeWaitingRequests() {
	awaiting := b.requests.awaitingHealthChecks
	b.requests.awaitingHealthChecks = awaiting[:0]
	for _, r := range awaiting {
		b.advance(r)
		if !r.finished && r.healthChecks.waitUntil > b.now {
			b.requests.awaitingHealthChecks = append(b.requests.awaitingHealthChecks, r)
		}
	}
}
