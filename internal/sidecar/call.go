package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
)

// call is one request of a client, with its attempts and its response. The goroutine that marks it as answered provides the
// only response to the client.
type call struct {
	request  balance.Request // as the balancer gets it
	clientID string          // the X-Request-ID, for logs
	class    *balance.Class  // set when the call arrives at the event loop
	client   *clientConn     // nil outside of the HTTP server
	outbound *outboundRequest
	deadline time.Time     // when the client stops waiting
	response chan response // buffered, so that the event loop sends its response without blocking
	// onDone releases what the frontend holds for the call: its memory and its ID. It is called once the call is answered and
	// its last attempt has ended, which may be long after its client has left. forwarded reports whether there was an attempt.
	onDone func(forwarded bool)

	answered  atomic.Bool // set by the goroutine that provides the response; see markAnswered
	responded atomic.Bool // the frontend starts to write a response, the event loop's or its own
	// writeMu is held while an attempt is written to a server: from the final check that it may be sent (sendGuard.admit),
	// for instance that the call is not answered, to its last byte. Before the HTTP handler (frontend) writes the response
	// to the client, it acquires writeMu once, so that nothing is written to a server after the response.
	writeMu sync.Mutex
	// startedAttempts holds the attempts that have passed the final check, in order. writeMu guards it.
	startedAttempts []*attempt

	// Only the event loop uses the fields below.
	attempts []*attempt
	inFlight int // attempts without an outcome
}

// markAnswered marks the call as answered. It reports whether the caller must provide the response, because no other
// goroutine has marked the call before.
func (c *call) markAnswered() bool { return c.answered.CompareAndSwap(false, true) }

// clientDisconnectedSince returns the time at which the sidecar noticed that the client had disconnected.
func (c *call) clientDisconnectedSince() (since time.Time, disconnected bool) {
	if c.client == nil {
		return since, false
	}
	return c.client.disconnectedSince()
}

// response is the response to a client.
type response struct {
	status        int
	retryAfterMS  float64 // 0: no Retry-After
	contentType   string
	body          []byte
	reservedBytes int // reserved from the response memory until the response is written or dropped
	reason        countedEvent
}

// attempt is one attempt to send a call to a server.
type attempt struct {
	call        *call
	number      int // the index in call.attempts, which identifies the attempt to the balancer
	upstream    *upstreamHost
	decidedAtMS float64 // when the balancer decided to send the attempt

	deadline time.Time // for the whole exchange
	// idempotencyWindowEnd is the time after which servers may have forgotten the idempotency key of an earlier attempt.
	// Zero means no bound.
	idempotencyWindowEnd time.Time

	ctx          context.Context
	cancel       context.CancelFunc
	fullyWritten atomic.Bool // the last byte is written: the server may execute the request

	// call.writeMu guards the fields below; see sendGuard.
	startedAt       time.Time // the last reading of the clock before the first byte
	ended           bool      // the connection is closed, or has carried the complete response
	mayHaveExecuted bool      // valid once ended is true

	// Only the event loop uses the fields below.
	completed     bool // the outcome is known
	result        balance.Result
	neverExecuted bool // the outcome proves that the server did not execute the request
}

// writeDeadline returns the time by which the last byte of the request must be written to the server.
func (a *attempt) writeDeadline() time.Time {
	if !a.idempotencyWindowEnd.IsZero() && a.idempotencyWindowEnd.Before(a.deadline) {
		return a.idempotencyWindowEnd
	}
	return a.deadline
}

// callTable holds the calls that are unanswered or have attempts in flight.
type callTable struct {
	byID   map[balance.RequestID]*call
	lastID balance.RequestID
}

// add assigns the next request ID to a call and adds the call to the table.
func (t *callTable) add(added *call) {
	t.lastID++
	added.request.ID = t.lastID
	t.byID[t.lastID] = added
}

// releaseIfDone removes a call that is answered and has no attempt in flight, and tells the frontend so.
func (t *callTable) releaseIfDone(done *call) {
	if done.inFlight > 0 || !done.answered.Load() || t.byID[done.request.ID] == nil {
		return
	}
	delete(t.byID, done.request.ID)
	if done.onDone != nil {
		done.onDone(len(done.attempts) > 0)
	}
}
