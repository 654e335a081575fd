package balance

import (
	"errors"
	"fmt"
	"math"
)

// Errors of Handle: the event is invalid, and the state of the balancer is unchanged.
var (
	ErrUnknownClass       = errors.New("unknown class")
	ErrAttemptNotInFlight = errors.New("attempt is not in flight")
)

// Tokens of timers. The token of a request's timer is the RequestID, which is below 2^52.
const (
	discoveryTimer = 1 << 60
	gossipTimer    = 1<<60 + 1
)

// Start starts the balancer. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.startedAt, b.actions = now, now, b.actions[:0]
	if b.config.Subscribe {
		b.schedulePoll(0, b.config.PollInterval/2, true)
	}
	return b.actions
}

// Handle processes one event and returns the actions that the caller must execute. The actions are valid until the
// next call. now must not decrease between calls. The error is ErrUnknownClass or ErrAttemptNotInFlight, wrapped.
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
	case DiscoveryAddressChanged:
		b.discovery = discoveryState{polling: true, polledAt: b.now}
	case HealthCheckResult:
		b.onHealthCheckResult(ev)
	case ClientDisconnected:
		if r := b.requests.open[ev.Request]; r != nil {
			b.finish(r)
		}
	case StreamStarted:
		b.onStreamStarted(ev)
	case Placement:
		b.onPlacement(&ev)
	case GossipMessage:
		b.onGossip(&ev)
	}
	b.requests.recycleFinished()
	return b.actions, err
}

func (b *Balancer) onRequest(ev *Request) error {
	if ev.Class < 0 || ev.Class >= len(b.config.Classes) {
		return fmt.Errorf("request %d of class %d: %w", ev.ID, ev.Class, ErrUnknownClass)
	}
	r := b.requests.add(ev)
	r.class, r.stats = &b.config.Classes[ev.Class], &b.admission.classes[ev.Class]
	r.tenant = b.tenantCounts(ev.Tenant)
	r.arrivedAt, r.deadline, r.timerAt = b.now, b.now+ev.Timeout, math.Inf(1)
	admitted := b.admit(r)
	b.traffic.add(b.now, trafficSpan)
	b.refillGossipBudget()
	b.keys.record(ev.Key)
	r.stats.received++ // after admit, so that the request does not make its own class look worse served
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
	r := b.requests.open[ev.Request]
	if r == nil || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].inFlight {
		return fmt.Errorf("outcome of request %d, attempt %d: %w", ev.Request, ev.Attempt, ErrAttemptNotInFlight)
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
	s.healthCheckPending = false
	b.scheduleRefresh(s)
	switch ev.Result {
	case Obsolete, Cancelled: // the check was not sent, or nothing waited for it: the result says nothing about the server
	case OK:
		b.recordLoadReport(s, ev.LoadReport)
		if s.errors.healthCheckFailed {
			s.errors.healthCheckFailed, s.ejection = false, ejectionState{}
		}
	default: // the server is unreachable, though its process may run
		b.eject(s)
		s.errors.healthCheckFailed = true
	}
	b.resumeWaitingRequests()
}

func (b *Balancer) onTimer(ev TimerFired) {
	switch ev.Token {
	case discoveryTimer:
		b.poll()
	case gossipTimer:
		b.sendFindings()
	default:
		if r := b.requests.open[RequestID(ev.Token)]; r != nil {
			r.timerAt = math.Inf(1) // not compared with the clock: a timer may fire a rounding error early
			b.advance(r)
		}
	}
}

func (b *Balancer) onStreamStarted(ev StreamStarted) {
	if r := b.requests.open[ev.Request]; r != nil && !r.finished && !r.streaming {
		r.streaming = true // from now on the client owns the attempt: no deadline, no retry
		b.cancelAttemptsExcept(r, ev.Attempt)
	}
}
