package live

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milldeck/internal/lab"
)

const (
	handshakeRoundTrips = 1 // round trips of a new connection before its first request arrives, as in package sim
	healthCheckWorkMS   = 0.3
	maxRequestBody      = 64 << 10 // PROTOCOL
	readHeaderTimeout   = time.Second

	connectionClosed   = "given up" // its sidecar closed the connection
	notProcessedHeader = "X-Not-Processed: 1\r\n"
)

// host is what a server's front stands in: the lab's own process, or a program of its own.
type host interface {
	runContext() context.Context // ends with the run
	now() float64                // ms, of the model
	pathTo(sidecar int) networkPath
	// call tells of an attempt, and whether a client sent its request. A sidecar of -1 is not known.
	beginAttempt(id uint64, sidecar int, x receivedRequest) (serverAttempt, bool)
	addCounts(add func(*lab.Counts))
	recordLateness(ms float64)
	jobCompleted(end lab.JobCompletion)
	overloaded(now float64, fall *lab.SlowStartOverload)
}

// networkPath is the way between a sidecar and a server. False: what went on it is lost, or ctx has ended.
type networkPath interface {
	deliverRequest(ctx context.Context, fresh bool) bool
	deliverResponse(ctx context.Context) bool
}

// serverAttempt is one attempt.
type serverAttempt interface {
	networkPath
	job() lab.Job // once it has arrived
	ended(how string)
	responseProduced() // an answer, which leaves only after this has returned
}

// frontend is one server: its model behind real sockets.
type frontend struct {
	host                host
	number              int
	plan                *lab.ServerPlan
	answersHealthChecks bool
	processEndpoint     func(path string) (status int, body string, mine bool) // what is asked of its process; nil: nothing
	applyRegression     func(*lab.Job)                                         // what a harmful version does to a request; nil: nothing

	mu          sync.Mutex
	model       *lab.Server
	timer       *time.Timer
	up          bool
	incarnation int
	connections map[net.Conn]struct{}
	pendingJobs map[int64]chan lab.JobCompletion
}

func newFrontend(frontendHost host, number int, plan *lab.ServerPlan, model *lab.Server, answersHealthChecks bool) frontend {
	return frontend{
		host: frontendHost, number: number, plan: plan, model: model, answersHealthChecks: answersHealthChecks,
		connections: map[net.Conn]struct{}{}, pendingJobs: map[int64]chan lab.JobCompletion{},
	}
}

// resetConnections resets all connections and forgets what they waited for.
func (s *frontend) resetConnections() {
	s.mu.Lock()
	s.incarnation++
	connections := s.connections
	s.connections = map[net.Conn]struct{}{}
	s.pendingJobs = map[int64]chan lab.JobCompletion{}
	s.mu.Unlock()
	for connection := range connections {
		resetConnection(connection)
	}
}

// receivedRequest is one request on a connection.
type receivedRequest struct {
	request     *http.Request
	firstByteAt time.Time // of its first byte
	lastByteAt  time.Time
}

// serveConnection is one connection. One goroutine reads, so that a close is seen while a request is at work.
func (s *frontend) serveConnection(connection net.Conn, sidecar int) {
	s.mu.Lock()
	incarnation := s.incarnation
	if !s.up || s.host.runContext().Err() != nil {
		s.mu.Unlock()
		resetConnection(connection)
		return
	}
	s.connections[connection] = struct{}{}
	overConnectionLimit := len(s.connections) > s.plan.Spec.MaxConnections
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.host.runContext())
	defer func() {
		cancel()
		s.mu.Lock()
		if s.incarnation == incarnation {
			delete(s.connections, connection)
		}
		s.mu.Unlock()
		connection.Close()
	}()
	requests := make(chan receivedRequest, 1)
	go func() {
		defer cancel()
		s.readRequests(ctx, connection, requests)
	}()
	idleTimeout := milliseconds(s.plan.Spec.IdleCloseMS)
	newConnection := true
	for {
		connection.SetReadDeadline(time.Now().Add(idleTimeout))
		select {
		case <-ctx.Done():
			return
		case received := <-requests:
			connection.SetReadDeadline(time.Time{})
			if !s.handleRequest(ctx, connection, sidecar, received, newConnection, overConnectionLimit) {
				return
			}
			newConnection = false
		}
	}
}

// readRequests hands on each request; it returns when the connection has ended.
func (s *frontend) readRequests(ctx context.Context, connection net.Conn, requests chan<- receivedRequest) {
	reader := bufio.NewReader(connection)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxRequestBody)); err != nil {
			return
		}
		select {
		case requests <- receivedRequest{request, firstByteAt, time.Now()}:
		case <-ctx.Done():
			return
		}
	}
}

// handleRequest answers one request; false ends the connection.
func (s *frontend) handleRequest(ctx context.Context, connection net.Conn, sidecar int, received receivedRequest, newConnection, overConnectionLimit bool) bool {
	write := func(status int, header, body string) bool {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
		return err == nil
	}
	if s.processEndpoint != nil {
		if status, body, ok := s.processEndpoint(received.request.URL.Path); ok {
			return write(status, "", body) // who asks stands beside it
		}
	}
	requestID, err := strconv.ParseUint(received.request.Header.Get("X-Request-ID"), 16, 64)
	if received.request.URL.Path != "/api" || err != nil {
		path := s.host.pathTo(sidecar)
		if received.request.URL.Path != "/health/live" || !s.answersHealthChecks {
			return awaitDelivery(ctx, path.deliverResponse) && write(http.StatusNotFound, "", "")
		}
		s.host.addCounts(func(counts *lab.Counts) { counts.HealthChecks++ })
		if !awaitDelivery(ctx, func(ctx context.Context) bool { return path.deliverRequest(ctx, newConnection) }) {
			return false
		}
		s.submit(lab.Job{WorkMS: healthCheckWorkMS})
		return awaitDelivery(ctx, path.deliverResponse) && write(http.StatusOK, "", "")
	}
	attempt, ok := s.host.beginAttempt(requestID, sidecar, received)
	respond := func(status int, header, body string) bool {
		return awaitDelivery(ctx, attempt.deliverResponse) && write(status, header, body)
	}
	var once sync.Once
	ended := func(result string) { once.Do(func() { attempt.ended(result) }) }
	// Its close ends the attempt for the judge at once, whatever link is cut in between.
	defer context.AfterFunc(ctx, func() { ended(connectionClosed) })()
	defer ended(connectionClosed)
	endAttempt := func(result string) bool {
		ended(result)
		return true
	}
	if !ok {
		return respond(http.StatusBadRequest, "", "")
	}
	if !awaitDelivery(ctx, func(ctx context.Context) bool { return attempt.deliverRequest(ctx, newConnection) }) {
		return false
	}
	if overConnectionLimit {
		return respond(http.StatusServiceUnavailable, notProcessedHeader, "") && endAttempt("full")
	}
	if newConnection {
		s.host.addCounts(func(counts *lab.Counts) { counts.Handshakes++ })
		if s.plan.Spec.HandshakeMS > 0 {
			s.submit(lab.Job{WorkMS: s.plan.Spec.HandshakeMS})
		}
	}
	job := attempt.job()
	if timeoutMS, err := strconv.ParseFloat(received.request.Header.Get("X-Timeout-Ms"), 64); err == nil {
		job.ExpiresAt = s.host.now() - float64(time.Since(received.lastByteAt))/1e6 + timeoutMS
	}
	if s.applyRegression != nil {
		s.applyRegression(&job)
	}
	result, accepted := s.submit(job)
	if !accepted {
		return respond(http.StatusServiceUnavailable, notProcessedHeader, "") && endAttempt("full")
	}
	var completion lab.JobCompletion
	select {
	case <-ctx.Done():
		s.cancel(job.Attempt)
		return false
	case completion = <-result:
	}
	s.mu.Lock()
	unresponsive, resetShare, corruptShare := s.model.Unresponsive, s.model.ResetShare, s.model.CorruptShare
	s.mu.Unlock()
	switch {
	case unresponsive:
		<-ctx.Done()
		return false
	case completion.Result == lab.JobExpired:
		return respond(http.StatusGatewayTimeout, notProcessedHeader, "") && endAttempt("expired")
	case completion.Result == lab.JobFailed:
		return respond(http.StatusInternalServerError, "", "") && endAttempt("error")
	case rand.Float64() < resetShare:
		ended("reset")
		resetConnection(connection)
		return false
	case rand.Float64() < corruptShare:
		return respond(http.StatusOK, "Content-Length: x\r\n", "noise") && endAttempt("spoilt")
	}
	attempt.responseProduced()
	return respond(http.StatusOK, "Content-Type: text/plain\r\n", fmt.Sprintf("%016x %d", requestID, s.number)) && endAttempt("served")
}

// awaitDelivery waits until something has gone its way; what is lost, the other side waits for in vain.
func awaitDelivery(ctx context.Context, pass func(context.Context) bool) bool {
	if pass(ctx) {
		return true
	}
	<-ctx.Done()
	return false
}
