package balance

import "math"

// maxFreeRequests bounds the requests that are kept for reuse. A sidecar rarely has more requests open.
const maxFreeRequests = 256

// request is a client's request that needs a final answer, or whose attempts have not all ended.
type request struct {
	Request
	class        *Class
	stats        *classStats
	tenant       *requestCounts
	arrivedAt    float64
	deadline     float64
	attempts     []attempt
	inFlight     int     // attempts in flight
	finished     bool    // it has its final answer, or needs none
	streaming    bool    // its answer has started to stream
	timerAt      float64 // when its next timer fires; infinite: no timer is set
	healthChecks healthCheckWait
}

// attempt is one send of a request to a server.
type attempt struct {
	server          *server
	sentAt          float64
	inFlight        bool
	neverExecuted   bool // its result proves that it was not executed
	overdue         bool // it has taken so long that it was recorded as an error
	endsAtObjective bool // it is given up at the latency objective
	loadReleased    bool // it no longer counts in admission.load
}

// requestTable holds the requests of a sidecar.
type requestTable struct {
	open                 map[RequestID]*request
	awaitingHealthChecks []*request
	finished             []*request // finished by the current event
	free                 []*request // for reuse
}

// retryBudget is a token bucket that first attempts refill; see retryAllowed.
type retryBudget struct {
	tokens           float64
	lastOverloadedAt float64 // time at which a server last rejected an attempt
}

func (t *requestTable) add(ev *Request) *request {
	var r *request
	if n := len(t.free); n > 0 {
		r, t.free = t.free[n-1], t.free[:n-1]
	} else {
		r = &request{}
	}
	r.Request = *ev
	t.open[ev.ID] = r
	return r
}

// recycleFinished keeps for reuse the requests that the event has finished, except those that waited for health checks:
// awaitingHealthChecks may still list them.
func (t *requestTable) recycleFinished() {
	for _, r := range t.finished {
		if len(t.free) < maxFreeRequests && r.healthChecks.sentTo == nil {
			*r = request{attempts: r.attempts[:0]}
			t.free = append(t.free, r)
		}
	}
	t.finished = t.finished[:0]
}

// sendAttempt sends an attempt of a request to a server. If endsAtObjective is set, the attempt is given up at the
// request's latency objective.
func (b *Balancer) sendAttempt(r *request, s *server, endsAtObjective bool) {
	b.checkSend(r, s)
	s.slowStart.tokens--
	b.addInFlight(s, 1)
	s.report.sentSince++
	b.trackLoad(1/r.class.LatencyObjective, b.answerRate(assumedAnswers))
	r.inFlight++
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, inFlight: true, endsAtObjective: endsAtObjective})
	action := Action{Kind: Send, Request: r.ID, Server: s.ID}
	if endsAtObjective {
		action.Deadline = r.arrivedAt + r.class.LatencyObjective
	}
	b.emit(action)
}

// releaseLoad subtracts an attempt from the load in flight, once.
func (b *Balancer) releaseLoad(r *request, a *attempt) {
	if !a.loadReleased {
		a.loadReleased = true
		b.trackLoad(-1/r.class.LatencyObjective, b.answerRate(assumedAnswers))
	}
}

// finish marks a request as finished and cancels its attempts in flight.
func (b *Balancer) finish(r *request) {
	r.finished = true
	b.cancelAttemptsExcept(r, -1)
	if r.inFlight == 0 && b.requests.open[r.ID] == r {
		delete(b.requests.open, r.ID)
		b.requests.finished = append(b.requests.finished, r)
	}
}

// cancelAttemptsExcept cancels all attempts in flight except one; -1: all.
func (b *Balancer) cancelAttemptsExcept(r *request, except int) {
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != except && b.config.AllowCancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

func (b *Balancer) updateRetryBudget(retry bool) {
	if retry {
		b.retries.tokens = math.Max(b.retries.tokens-1, 0)
	} else {
		b.retries.tokens = math.Min(b.retries.tokens+retryBudgetRatio, retryBudgetMax)
	}
}
