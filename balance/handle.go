package balance

import (
	"fmt"
	"math"
)

// This file takes events in and hands actions out. What they mean is decided in the policy files.

// Start begins the balancer's life. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.startedAt, b.actions = now, now, b.actions[:0]
	if b.config.Subscribe {
		b.schedulePoll(0, b.config.PollInterval/2, true)
	}
	return b.actions
}

// Handle takes one event and returns what to do. The actions are valid until the next call.
// An error means that the event cannot be; the balancer is unchanged. Requests and outcomes may come by pointer.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	b.now, b.actions = now, b.actions[:0]
	var err error
	switch ev := ev.(type) {
	case *Request:
		err = b.onRequest(ev)
	case *Outcome:
		err = b.onOutcome(ev)
	case Request:
		err = b.onRequest(&ev)
	case Outcome:
		err = b.onOutcome(&ev)
	case TimerFired:
		b.onTimer(ev)
	case EndpointUpdate:
		b.onEndpointUpdate(ev)
	case HealthCheckResult:
		b.onHealthCheckResult(ev)
	case ClientDisconnected:
		if r := b.requests[ev.Request]; r != nil {
			b.finish(r)
		}
	case StreamStarted:
		b.onStreamStarted(ev)
	case Placement:
		b.onPlacement(&ev)
	case GossipMessage:
		b.onGossip(&ev)
	}
	b.recycleRequests()
	return b.actions, err
}

func (b *Balancer) onRequest(ev *Request) error {
	if ev.Class < 0 || ev.Class >= len(b.config.Classes) {
		return fmt.Errorf("request %d: unknown class %d", ev.ID, ev.Class)
	}
	r := b.newRequest()
	r.Request, r.class, r.stats = *ev, &b.config.Classes[ev.Class], &b.classStats[ev.Class]
	r.tenant = b.tenantCounts(ev.Tenant)
	r.arrivedAt, r.deadline, r.timerAt = b.now, b.now+ev.Timeout, math.Inf(1)
	b.requests[ev.ID] = r
	admitted := b.admit(r)
	b.requestMeter.add(b.now, 2*rotationPeriod)
	b.earnGossipBudget()
	b.keyFrequency.record(ev.Key)
	r.stats.received++ // only now: else its own class would look a little worse served
	r.tenant.received++
	if !admitted {
		b.rejectOrFail(r)
		return nil
	}
	b.healthCheckBeforeSend(r)
	b.advance(r)
	return nil
}

func (b *Balancer) onOutcome(ev *Outcome) error {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return fmt.Errorf("outcome of request %d, attempt %d, which is not out", ev.Request, ev.Attempt)
	}
	a := &r.attempts[ev.Attempt]
	a.inFlight, a.neverExecuted = false, ev.Result.NeverExecuted()
	b.addInFlight(a.server, -1)
	b.releaseLoad(r, a)
	r.inFlight--
	b.recordOutcome(r, a, ev)
	if r.finished || ev.RequestDone || r.streaming {
		b.finish(r)
	}
	b.advance(r)
	return nil
}

func (b *Balancer) onHealthCheckResult(ev HealthCheckResult) {
	s := b.serversByID[ev.Server]
	if s == nil {
		return
	}
	s.healthChecking = false
	b.scheduleRefresh(s)
	switch ev.Result {
	case Obsolete, Cancelled: // it was not sent, or nobody waited for it: no news of the server
	case OK:
		if b.recordLoadReport(s, ev.LoadReport); s.healthCheckFailed {
			s.healthCheckFailed, s.ejections, s.ejectedUntil = false, 0, 0
		}
	default: // out of reach, though the process may run
		b.eject(s)
		s.healthCheckFailed = true
	}
	b.resumeAwaiting()
}

func (b *Balancer) onTimer(ev TimerFired) {
	if ev.Token == discoveryTimer {
		b.emit(Action{Kind: WatchEndpoints})
	} else if ev.Token == gossipTimer {
		b.sendFindings()
	} else if r := b.requests[RequestID(ev.Token)]; r != nil {
		r.timerAt = math.Inf(1) // not compared with the clock: a timer may come a rounding error early
		b.advance(r)
	}
}

func (b *Balancer) onStreamStarted(ev StreamStarted) {
	if r := b.requests[ev.Request]; r != nil && !r.finished && !r.streaming {
		r.streaming = true // the client owns it now: no deadline, no repeat
		b.cancelAttemptsExcept(r, ev.Attempt)
	}
}

// recordLoadReport takes in a load report and returns the wait that it tells of: what waits, times the service time.
func (b *Balancer) recordLoadReport(s *server, report []float32) float64 {
	queue, serviceTime := 0.0, 0.0
	for i, field := range b.config.LoadReportFields {
		if i >= len(report) {
			continue
		}
		switch value := float64(report[i]); field {
		case FieldInFlight:
			s.reportedInFlight, s.reportedAt, s.sentSinceReport = value, b.now, 0
			if b.config.KeyAffinity && !s.reportFresh {
				s.reportFresh = true
				b.rotation.reporters = append(b.rotation.reporters, s)
			}
			b.busyFraction += (math.Min(s.reportedInFlight, 1) - b.busyFraction) / averagingSamples
		case FieldUtilization:
			value = math.Min(value, 1.5)
			if b.meanUtilization += (value - b.meanUtilization) / averagingSamples; s.utilization == 0 {
				s.utilization = b.meanUtilization
			}
			s.utilization += (value - s.utilization) / assumedAnswers
		case FieldQueueLength:
			queue = value
		case FieldLatency:
			serviceTime = value
		}
	}
	return queue * serviceTime
}

// removeUnlisted: what a full list does not name is gone.
func (b *Balancer) removeUnlisted(entries []Server) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range b.servers {
		if !listed[s.ID] {
			s.State = Removed
			b.scheduleRefresh(s)
		}
	}
}

// dropRemoved forgets servers that are gone and keeps the others in order.
func (b *Balancer) dropRemoved() {
	remaining := b.servers[:0]
	for _, s := range b.servers {
		if s.State != Removed {
			remaining = append(remaining, s)
		} else {
			delete(b.serversByID, s.ID)
			delete(b.gossip.serversByTag, serverTag(s.ID))
			b.keyOrders.recordChange(s)
		}
	}
	clear(b.servers[len(remaining):])
	b.servers = remaining
}

// healthCheck asks a server, unless an answer is still to come.
func (b *Balancer) healthCheck(s *server) {
	if !s.healthChecking {
		s.healthChecking = true
		b.emit(Action{Kind: HealthCheck, Server: s.ID})
	}
}

func (b *Balancer) awaitsHealthChecks(r *request) bool {
	for _, s := range r.healthChecked {
		if s.healthChecking && b.now < r.healthCheckWaitUntil { // never for long
			return true
		}
	}
	r.healthCheckWaitUntil = 0
	return false
}

// resumeAwaiting takes up the requests that wait for probes and keeps those that still do.
func (b *Balancer) resumeAwaiting() {
	awaiting := b.awaitingHealthChecks
	b.awaitingHealthChecks = awaiting[:0]
	for _, r := range awaiting {
		b.advance(r)
		if !r.finished && r.healthCheckWaitUntil > b.now {
			b.awaitingHealthChecks = append(b.awaitingHealthChecks, r)
		}
	}
}

func (b *Balancer) releaseLoad(r *request, a *attempt) {
	if !a.loadReleased {
		a.loadReleased = true
		b.trackLoad(-1/r.class.LatencyObjective, b.answerRate(assumedAnswers))
	}
}

// sendAttempt makes an attempt and counts it; one that is cut ends with the request's aim.
func (b *Balancer) sendAttempt(r *request, s *server, endsAtObjective bool) {
	s.slowStartTokens--
	b.addInFlight(s, 1)
	s.sentSinceReport++
	b.trackLoad(1/r.class.LatencyObjective, b.answerRate(assumedAnswers))
	r.inFlight++
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, inFlight: true, endsAtObjective: endsAtObjective})
	action := Action{Kind: Send, Request: r.ID, Server: s.ID}
	if endsAtObjective {
		action.At = r.arrivedAt + r.class.LatencyObjective
	}
	b.emit(action)
}

// recycleRequests takes back the requests that the event closed. Those that waited for probes may still be listed there.
func (b *Balancer) recycleRequests() {
	for _, r := range b.finished {
		if len(b.freeRequests) < maxFreeRequests && r.healthChecked == nil {
			*r = request{attempts: r.attempts[:0]}
			b.freeRequests = append(b.freeRequests, r)
		}
	}
	b.finished = b.finished[:0]
}

func (b *Balancer) newRequest() *request {
	if n := len(b.freeRequests); n > 0 {
		r := b.freeRequests[n-1]
		b.freeRequests = b.freeRequests[:n-1]
		return r
	}
	return &request{}
}
