package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milldeck/balance"
	"milldeck/internal/lab"
)

const (
	// maxSendDelay is the longest delay with which the lab still sends a request. The lab skips a request with a longer
	// delay, because the measured latency would be that of the lab's own machine.
	maxSendDelay = 50 * time.Millisecond
	// lateResponseWait is how long a client keeps reading after the timeout, to distinguish a late response from a
	// missing one.
	lateResponseWait = 300 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	// maxConnectionIdle is shorter than the 2 s after which a sidecar may close an idle connection.
	maxConnectionIdle = 1500 * time.Millisecond
	emptyJSONBody     = "{}"
)

// sentRequest is a request that a client has sent. Servers look it up by the request ID.
type sentRequest struct {
	*lab.Arrival
	attempts atomic.Int32 // number of attempts that servers have received
}

// generateLoad sends the plan's requests at their scheduled times in an open loop: it does not wait for responses. It
// returns when all requests are sent or ctx ends; requests in flight continue.
func (f *fleet) generateLoad(ctx context.Context) {
	arrivals := f.plan.Arrivals()
	for {
		arrival, ok := arrivals.Next()
		if !ok || !sleep(ctx, milliseconds(arrival.StartMS-f.now())) {
			return
		}
		delay := f.now() - arrival.StartMS
		f.recorder.RecordLateness(max(delay, 0))
		if delay > maxSendDelay.Seconds()*1000 {
			f.recorder.RequestSkipped()
			continue
		}
		f.openRequests.Add(1)
		f.clientGoroutines.Go(func() {
			defer f.openRequests.Add(-1)
			f.sendWithRetries(&arrival)
		})
	}
}

// sendWithRetries sends one request, and retries it as the plan specifies for the client.
func (f *fleet) sendWithRetries(arrival *lab.Arrival) {
	ctx := f.ctx
	if arrival.DisconnectAfterMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, f.timeAt(arrival.StartMS+arrival.DisconnectAfterMS))
		defer cancel()
	}
	attempts := 0
	for {
		outcome, retryAfter := f.sendAttempt(ctx, arrival, attempts)
		attempts++
		if ctx.Err() != nil && outcome != lab.OutcomeServed {
			f.recorder.RequestDone(arrival, attempts, outcome, f.ctx.Err() == nil, f.now())
			return
		}
		retryAt, retry := f.plan.NextRetry(arrival, attempts-1, outcome, f.now(), retryAfter)
		if !retry || !sleep(ctx, milliseconds(retryAt-f.now())) {
			f.recorder.RequestDone(arrival, attempts, outcome, retry && f.ctx.Err() == nil, f.now())
			return
		}
	}
}

// sendAttempt sends the request once and waits for its response. It returns the outcome and the Retry-After of the
// response in ms, or 0 if there is none.
func (f *fleet) sendAttempt(ctx context.Context, arrival *lab.Arrival, number int) (lab.Outcome, float64) {
	client, sidecar := clientLink(arrival)
	timeout := f.plan.AttemptTimeout(arrival, f.now())
	ctx, cancel := context.WithTimeout(ctx, milliseconds(timeout)+lateResponseWait)
	defer cancel()
	if !f.network.transmit(ctx, client, sidecar, 0, rand.Float64()) {
		sleep(ctx, milliseconds(timeout)) // the request is lost: the client waits until its timeout
		return lab.OutcomeNoResponse, 0
	}
	process := f.sidecars[arrival.Sidecar]
	attempt := clientAttempt{arrival: arrival, requestID: f.nextRequestID(), number: number, timeoutMS: timeout}
	connection := process.clients.get()
	for reused := connection != nil; ; reused = false {
		if connection == nil {
			dialed, err := dialClient(ctx, process.address)
			if err != nil {
				return lab.OutcomeUnreachable, 0
			}
			connection = dialed
		}
		response := f.roundTrip(ctx, connection, attempt)
		// The platform's protocol: a client sends the request again if the sidecar closed the kept-alive connection
		// while the request was on its way.
		if reused && response.noBytes && response.outcome == lab.OutcomeUnreachable {
			connection = nil
			continue
		}
		return response.outcome, response.retryAfterMS
	}
}

// clientLink returns the two ends of the link between a request's client and its sidecar.
func clientLink(arrival *lab.Arrival) (client, sidecar lab.LinkEnd) {
	return lab.LinkEnd{Kind: lab.ClientEnd, Index: arrival.Sidecar}, sidecarEnd(arrival.Sidecar)
}

// clientAttempt is one attempt by a client to send a request.
type clientAttempt struct {
	arrival   *lab.Arrival
	requestID uint64
	number    int // 0 for the first attempt
	timeoutMS float64
}

// clientResponse is the result of an attempt for its client.
type clientResponse struct {
	outcome      lab.Outcome
	retryAfterMS float64
	noBytes      bool // the connection ended before the first byte of a response
}

// roundTrip writes a request and reads its response.
func (f *fleet) roundTrip(ctx context.Context, connection *clientConnection, attempt clientAttempt) clientResponse {
	stop := context.AfterFunc(ctx, func() {
		_ = connection.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose reads have failed already
	})
	defer stop()
	startedAt := time.Now()
	reused := !connection.idleSince.IsZero()
	f.recordRequest(attempt)
	if _, err := io.WriteString(connection, f.requestHead(attempt)); err != nil {
		connection.Close()
		f.checker.ClientDisconnected(f.now(), attempt.requestID) // the sidecar has not accepted the request and need not respond
		return clientResponse{outcome: lab.OutcomeUnreachable, noBytes: true}
	}
	response, err := http.ReadResponse(connection.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	now := f.now()
	client, sidecar := clientLink(attempt.arrival)
	if err == nil && !f.network.transmit(ctx, sidecar, client, 0, rand.Float64()) {
		err = context.DeadlineExceeded
	}
	if err != nil {
		connection.Close()
		listenUntil := f.millisecondsAt(startedAt) + attempt.timeoutMS + lateResponseWait.Seconds()*1000
		return f.classifyConnectionError(ctx, err, attempt.requestID, reused, listenUntil)
	}
	reusable := connection.reader.Buffered() == 0 && !response.Close
	if reusable && stop() {
		f.sidecars[attempt.arrival.Sidecar].clients.store(connection)
	} else {
		connection.Close()
	}
	return f.classifyResponse(now, attempt.requestID, response, string(body))
}

// recordRequest registers a request with the servers and the checker. It has to be called before the first byte is
// sent, because a server may receive the request before the write returns.
func (f *fleet) recordRequest(attempt clientAttempt) {
	f.sentRequests.Store(attempt.requestID, &sentRequest{Arrival: attempt.arrival})
	// A server may receive the request for as long as the checker retains the request's history.
	time.AfterFunc(milliseconds(attempt.timeoutMS)+sentRequestRetention, func() { f.sentRequests.Delete(attempt.requestID) })
	f.checker.RequestSent(f.now(), attempt.requestID, attempt.arrival.Sidecar, attempt.arrival.Class, attempt.timeoutMS)
}

// classifyResponse reports a complete response to the checker and returns its outcome.
func (f *fleet) classifyResponse(now float64, requestID uint64, response *http.Response, body string) clientResponse {
	switch response.StatusCode {
	case http.StatusOK:
		owner, server := parseResponse(body)
		f.checker.ResponseReceived(now, requestID, lab.OutcomeServed, owner, server)
		return clientResponse{outcome: lab.OutcomeServed}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		f.checker.ResponseReceived(now, requestID, lab.OutcomeRejected, 0, -1)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 (no wait) without a number
		return clientResponse{outcome: lab.OutcomeRejected, retryAfterMS: 1000 * seconds}
	default:
		f.checker.ResponseReceived(now, requestID, lab.OutcomeFailed, 0, -1)
		return clientResponse{outcome: lab.OutcomeFailed}
	}
}

// classifyConnectionError reports to the checker that a connection ended without a complete response, and returns the
// outcome. listenUntil is the time of the run, in ms, at which the client stops waiting for the response.
func (f *fleet) classifyConnectionError(ctx context.Context, err error, requestID uint64, reused bool, listenUntil float64) clientResponse {
	now := f.now()
	switch {
	case f.ctx.Err() != nil:
		f.checker.ClientDisconnected(now, requestID) // the run has ended
		return clientResponse{outcome: lab.OutcomeNoResponse}
	case ctx.Err() != nil && now < listenUntil-1:
		f.checker.ClientDisconnected(now, requestID)
		return clientResponse{outcome: lab.OutcomeNoResponse}
	case ctx.Err() != nil:
		f.checker.RequestUnanswered(now, requestID, lab.OutcomeNoResponse)
		return clientResponse{outcome: lab.OutcomeNoResponse}
	case errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), "malformed"):
		f.checker.CorruptResponseReceived(now, requestID)
		return clientResponse{outcome: lab.OutcomeFailed}
	case reused && f.checker.ConnectionClosed(now, requestID):
		return clientResponse{outcome: lab.OutcomeUnreachable, noBytes: true}
	default:
		f.checker.RequestUnanswered(now, requestID, lab.OutcomeUnreachable)
		return clientResponse{outcome: lab.OutcomeUnreachable}
	}
}

// parseResponse returns the request ID and the server number in a response body. A missing ID is 0, a missing number -1.
func parseResponse(body string) (owner uint64, server int) {
	id, number, _ := strings.Cut(body, " ")
	owner, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return 0, -1
	}
	if server, err = strconv.Atoi(number); err != nil {
		return owner, -1
	}
	return owner, server
}

// requestHead returns the request's head in the platform's protocol, with the body if the request is a POST.
func (f *fleet) requestHead(attempt clientAttempt) string {
	arrival, class := attempt.arrival, &f.plan.Classes[attempt.arrival.Class]
	method := http.MethodPost
	if class.Idempotency == balance.Idempotent {
		method = http.MethodGet
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s /api HTTP/1.1\r\n", method)
	head.WriteString("Host: backend.local\r\n")
	fmt.Fprintf(&head, "X-Request-ID: %016x\r\n", attempt.requestID)
	fmt.Fprintf(&head, "X-Priority-Class: %s\r\n", class.Name)
	fmt.Fprintf(&head, "X-Timeout-Ms: %.0f\r\n", attempt.timeoutMS)
	fmt.Fprintf(&head, "X-Cost: %.0f\r\n", 1000*arrival.ExpectedWorkMS)
	if arrival.Key != 0 {
		fmt.Fprintf(&head, "Cookie: k=%016x\r\n", arrival.Key)
	}
	if attempt.number > 0 {
		head.WriteString("X-Retried: 1\r\n")
	}
	if class.Idempotency == balance.IdempotentWithKey {
		fmt.Fprintf(&head, "Idempotency-Key: %032x\r\n", arrival.EffectID)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(emptyJSONBody), emptyJSONBody)
	} else {
		head.WriteString("\r\n")
	}
	return head.String()
}
