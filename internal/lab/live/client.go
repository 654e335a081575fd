package live

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
	"milldeck/internal/lab"
)

const (
	// maxSendDelay is how late the lab may begin a request for it still to count: beyond it the lab's own machine
	// is what is measured.
	maxSendDelay = 50 * time.Millisecond
	// lateResponseWait is how long past its time a client still listens, so that a late answer is seen as late.
	lateResponseWait = 300 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	// maxConnectionIdle is less than the 2 s after which a sidecar may close a connection without a request.
	maxConnectionIdle = 1500 * time.Millisecond
	emptyJSONBody     = "{}"
)

// sentRequest is a request that is known to servers by its id.
type sentRequest struct {
	*lab.Arrival
	attempts atomic.Int32
}

// connectionPool is the application beside one sidecar: its connections.
type connectionPool struct {
	mu   sync.Mutex
	idle []*clientConnection
}

type clientConnection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

func (a *connectionPool) get() *clientConnection {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.idle) > 0 {
		connection := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		if time.Since(connection.idleSince) < maxConnectionIdle {
			return connection
		}
		connection.Close()
	}
	return nil
}

func (a *connectionPool) put(connection *clientConnection) {
	connection.idleSince = time.Now()
	connection.SetDeadline(time.Time{})
	a.mu.Lock()
	defer a.mu.Unlock()
	// The oldest go first: under a falling load they would otherwise stay open for good.
	for len(a.idle) > 0 && time.Since(a.idle[0].idleSince) > maxConnectionIdle {
		a.idle[0].Close()
		a.idle = a.idle[1:]
	}
	a.idle = append(a.idle, connection)
}

func (a *connectionPool) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, connection := range a.idle {
		connection.Close()
	}
	a.idle = nil
}

// generateLoad sends the plan's requests at their times, whatever becomes of them. It returns when all are sent or ctx
// ends; open ones go on.
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
			f.recorder.RequestSentLate()
			continue
		}
		f.openRequests.Add(1)
		f.openClients.Go(func() {
			defer f.openRequests.Add(-1)
			f.sendWithRetries(&arrival)
		})
	}
}

// sendWithRetries makes the tries of one request.
func (f *fleet) sendWithRetries(arrival *lab.Arrival) {
	ctx := f.ctx
	if arrival.DisconnectAfterMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, f.timeAt(arrival.StartMS+arrival.DisconnectAfterMS))
		defer cancel()
	}
	outcome, attempts := lab.OutcomeNoResponse, 0
	for {
		var retryAfter float64
		outcome, retryAfter = f.sendAttempt(ctx, arrival, attempts)
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

// sendAttempt sends the request once and waits for its answer.
func (f *fleet) sendAttempt(ctx context.Context, arrival *lab.Arrival, attempt int) (lab.Outcome, float64) {
	client, sidecar := lab.Endpoint{Kind: lab.ClientEndpoint, Index: arrival.Sidecar}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: arrival.Sidecar}
	timeout := f.plan.AttemptTimeout(arrival, f.now())
	ctx, cancel := context.WithTimeout(ctx, milliseconds(timeout)+lateResponseWait)
	defer cancel()
	if !f.network.transmit(ctx, client, sidecar, 0, rand.Float64()) {
		sleep(ctx, milliseconds(timeout)) // it never got there
		return lab.OutcomeNoResponse, 0
	}
	process := f.sidecars[arrival.Sidecar]
	requestID := f.nextRequestID()
	connection := process.clients.get()
	for reused := connection != nil; ; reused = false {
		if connection == nil {
			dialer := net.Dialer{Timeout: dialTimeout}
			dialed, err := dialer.DialContext(ctx, "tcp4", process.address)
			if err != nil {
				return lab.OutcomeUnreachable, 0
			}
			connection = &clientConnection{Conn: dialed, reader: bufio.NewReader(dialed)}
		}
		outcome, retryAfter, noBytes := f.roundTrip(ctx, connection, arrival, requestID, attempt, timeout)
		// PROTOCOL: if the close of a kept connection crosses a request, the client sends it once more.
		if reused && noBytes && outcome == lab.OutcomeUnreachable {
			connection = nil
			continue
		}
		return outcome, retryAfter
	}
}

// roundTrip writes a request and reads its answer. Silent tells that not a byte came before the connection ended.
func (f *fleet) roundTrip(ctx context.Context, connection *clientConnection, arrival *lab.Arrival, requestID uint64, attempt int, timeout float64) (outcome lab.Outcome, retryAfter float64, noBytes bool) {
	stop := context.AfterFunc(ctx, func() { connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	startedAt := time.Now()
	sent := &sentRequest{Arrival: arrival}
	f.sentRequests.Store(requestID, sent)
	// Servers may meet the request for as long as the judge remembers it.
	time.AfterFunc(milliseconds(timeout)+sentRequestRetention, func() { f.sentRequests.Delete(requestID) })
	f.checker.RequestSent(f.now(), requestID, arrival.Sidecar, arrival.Class, timeout) // before the first byte: servers may be quick
	reused := !connection.idleSince.IsZero()
	if _, err := io.WriteString(connection, f.requestHead(arrival, requestID, attempt, timeout)); err != nil {
		connection.Close()
		f.checker.ClientDisconnected(f.now(), requestID) // not taken
		return lab.OutcomeUnreachable, 0, true
	}
	response, err := http.ReadResponse(connection.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	now := f.now()
	client, sidecar := lab.Endpoint{Kind: lab.ClientEndpoint, Index: arrival.Sidecar}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: arrival.Sidecar}
	if err == nil && !f.network.transmit(ctx, sidecar, client, 0, rand.Float64()) {
		err = context.DeadlineExceeded
	}
	if err != nil {
		connection.Close()
		return f.classifyConnectionError(ctx, err, requestID, reused, f.millisecondsAt(startedAt)+timeout+lateResponseWait.Seconds()*1000)
	}
	if connection.reader.Buffered() > 0 || response.Close {
		connection.Close()
	} else if stop() {
		f.sidecars[arrival.Sidecar].clients.put(connection)
	} else {
		connection.Close()
	}
	switch response.StatusCode {
	case http.StatusOK:
		owner, server := parseResponse(string(body))
		f.checker.ResponseReceived(now, requestID, lab.OutcomeServed, owner, server)
		return lab.OutcomeServed, 0, false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		f.checker.ResponseReceived(now, requestID, lab.OutcomeRejected, 0, -1)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // none, or not a number: no wait
		return lab.OutcomeRejected, 1000 * seconds, false
	default:
		f.checker.ResponseReceived(now, requestID, lab.OutcomeFailed, 0, -1)
		return lab.OutcomeFailed, 0, false
	}
}

// classifyConnectionError says how a connection without a whole answer counts; until is when the client stops listening.
func (f *fleet) classifyConnectionError(ctx context.Context, err error, id uint64, reused bool, until float64) (lab.Outcome, float64, bool) {
	now := f.now()
	switch {
	case f.ctx.Err() != nil:
		f.checker.ClientDisconnected(now, id) // the run is over
		return lab.OutcomeNoResponse, 0, false
	case ctx.Err() != nil && now < until-1:
		f.checker.ClientDisconnected(now, id)
		return lab.OutcomeNoResponse, 0, false
	case ctx.Err() != nil:
		f.checker.RequestUnanswered(now, id, lab.OutcomeNoResponse)
		return lab.OutcomeNoResponse, 0, false
	case errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), "malformed"):
		f.checker.CorruptResponseReceived(now, id)
		return lab.OutcomeFailed, 0, false
	case reused && f.checker.ConnectionClosed(now, id):
		return lab.OutcomeUnreachable, 0, true
	default:
		f.checker.RequestUnanswered(now, id, lab.OutcomeUnreachable)
		return lab.OutcomeUnreachable, 0, false
	}
}

// parseResponse reads whose answer a body is.
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

// requestHead is the request as PROTOCOL has it.
func (f *fleet) requestHead(arrival *lab.Arrival, requestID uint64, attempt int, timeout float64) string {
	var head strings.Builder
	class := &f.plan.Classes[arrival.Class]
	method := "POST"
	if class.Idempotency == balance.Idempotent {
		method = "GET"
	}
	fmt.Fprintf(&head, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %.0f\r\nX-Cost: %.0f\r\n",
		method, requestID, class.Name, timeout, 1000*arrival.ExpectedWorkMS)
	if arrival.Key != 0 {
		fmt.Fprintf(&head, "Cookie: k=%016x\r\n", arrival.Key)
	}
	if attempt > 0 {
		head.WriteString("X-Retried: 1\r\n")
	}
	if class.Idempotency == balance.IdempotentWithKey {
		fmt.Fprintf(&head, "Idempotency-Key: %032x\r\n", arrival.EffectID)
	}
	if method == "POST" {
		fmt.Fprintf(&head, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(emptyJSONBody), emptyJSONBody)
	} else {
		head.WriteString("\r\n")
	}
	return head.String()
}
