package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
)

// call is one request of the client and everything that the sidecar does for it. Whoever marks it as answered owes
// the client the one response.
type call struct {
	request  balance.Request // as the balancer gets it
	clientID string          // the X-Request-ID, for logs
	class    *balance.Class  // set on arrival at the event loop
	client   *clientConn     // nil outside of the HTTP server
	outbound *outboundRequest
	deadline time.Time     // when the client stops waiting
	response chan response // buffered: the event loop hands over its response without blocking

	answered  atomic.Bool
	responded atomic.Bool // the frontend writes the response, or has given it up
	// writeMu is held from the final check before the first byte of an attempt until its last byte is written. The
	// frontend acquires it before it responds, so that nothing is written to a server after the response.
	writeMu sync.Mutex
	// startedAttempts are the attempts that have passed the final check, in order. writeMu guards it.
	startedAttempts []*attempt

	// The event loop alone uses the fields below.
	attempts []*attempt
	inFlight int // attempts without an outcome
}

// markAnswered reports whether the caller is the one to respond.
func (c *call) markAnswered() bool { return c.answered.CompareAndSwap(false, true) }

// clientDisconnectedSince returns when the client was seen to have gone.
func (c *call) clientDisconnectedSince() (since time.Time, disconnected bool) {
	if c.client == nil {
		return since, false
	}
	return c.client.disconnectedSince()
}

// response is what the client gets.
type response struct {
	status        int
	retryAfterMS  float64 // 0: no Retry-After
	contentType   string
	body          []byte
	reservedBytes int // of the body memory, until the response is written or dropped
	reason        countedEvent
}

// attempt is one send of a call to one server.
type attempt struct {
	call        *call
	number      int // its index in call.attempts, by which the balancer names it
	upstream    *upstreamHost
	decidedAtMS float64 // when the balancer decided to send it

	deadline time.Time // for the whole exchange
	// idempotencyWindowEnd is when servers may have forgotten the idempotency key of an earlier attempt; zero: no bound.
	idempotencyWindowEnd time.Time

	ctx          context.Context
	cancel       context.CancelFunc
	fullyWritten atomic.Bool // the last byte is written: the server may execute it

	// The write lock of the call guards the fields below; see sendGuard.
	startedAt       time.Time // the final check before the first byte
	ended           bool      // its connection is closed, or has carried the complete response
	mayHaveExecuted bool      // valid once it has ended

	// The event loop alone uses the fields below.
	completed     bool // its outcome is known
	result        balance.Result
	neverExecuted bool // the outcome proves that the server did not execute it
}

// writeDeadline is when the last byte has to be written at the latest.
func (a *attempt) writeDeadline() time.Time {
	if !a.idempotencyWindowEnd.IsZero() && a.idempotencyWindowEnd.Before(a.deadline) {
		return a.idempotencyWindowEnd
	}
	return a.deadline
}

// callTable holds the calls that are not answered or have attempts in flight.
type callTable struct {
	byID   map[balance.RequestID]*call
	lastID balance.RequestID
}

// add assigns the next request ID to a call and enters it.
func (t *callTable) add(added *call) {
	t.lastID++
	added.request.ID = t.lastID
	t.byID[t.lastID] = added
}

// releaseIfDone removes a call that is answered and has no attempt in flight.
func (t *callTable) releaseIfDone(call *call) {
	if call.inFlight == 0 && call.answered.Load() {
		delete(t.byID, call.request.ID)
	}
}
