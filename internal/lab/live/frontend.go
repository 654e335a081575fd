package live

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"milldeck/internal/arrival"
	"milldeck/internal/lab"
)

const (
	// handshakeRoundTrips is the number of round trips of a new connection before its first request, as in package sim.
	handshakeRoundTrips = 1
	// healthCheckWorkMS is the work of a server for a sidecar's health check.
	healthCheckWorkMS = 0.3
	// maxRequestBody is the largest request body that the platform's protocol allows.
	maxRequestBody    = 64 << 10
	readHeaderTimeout = time.Second
	// notProcessedHeader states that the request has had no effect, so that the sidecar may retry it at another server.
	notProcessedHeader = "X-Not-Processed: 1\r\n"
)

// The results of attempts. The lab's reports count the attempts by result.
const (
	resultServed           = "served"
	resultError            = "error"
	resultExpired          = "expired"
	resultFull             = "full"
	resultReset            = "reset"
	resultCorrupt          = "spoilt"
	resultConnectionClosed = "given up" // the sidecar closed the connection before the response
)

// host is the process in which a frontend runs: the lab's own, or that of one server.
type host interface {
	runContext() context.Context // context that ends with the run
	now() float64                // time of the model, in ms
	pathTo(sidecar int) networkPath
	// beginAttempt records an attempt and reports whether a client sent the request. sidecar is -1 if the sidecar is unknown.
	beginAttempt(requestID uint64, sidecar int, received receivedRequest) (serverAttempt, bool)
	addCounts(apply func(*lab.Counts))
	recordLateness(ms float64)
	jobCompleted(completion lab.JobCompletion)
	overloaded(now float64, overload *lab.SlowStartOverload)
}

// networkPath is the modelled network between a sidecar and a server. Its methods wait until the message would have
// arrived. They return false if the message is lost or ctx has ended.
type networkPath interface {
	deliverRequest(ctx context.Context, newConnection bool) bool
	deliverResponse(ctx context.Context) bool
}

// serverAttempt is one attempt at a server.
type serverAttempt interface {
	networkPath
	job() lab.Job // valid once the request has arrived
	ended(result string)
	responseProduced() // returns before the response is sent
}

// frontend is the HTTP side of one modelled server: real sockets in front of the model of package lab.
type frontend struct {
	host                host
	number              int // in the plan
	plan                *lab.ServerPlan
	answersHealthChecks bool
	// processEndpoint answers requests to the server's process itself, such as the supervisor's readiness check.
	// ok is false for all other paths. The function is nil for a server without a process of its own.
	processEndpoint func(path string) (status int, body string, ok bool)
	// applyRegression applies the regression of the server's version to a job. It is nil if the version has no regression.
	applyRegression func(*lab.Job)

	mu          sync.Mutex // guards the fields below
	model       *lab.Server
	timer       *time.Timer // fires at the model's next event
	up          bool
	incarnation int
	connections map[net.Conn]struct{}
	pendingJobs map[int64]chan lab.JobCompletion // by attempt
}

// clientPeer is a connection and what the server knows of the sidecar at its other end.
type clientPeer struct {
	connection          net.Conn
	sidecar             int  // number of the sidecar; -1 if not known
	newConnection       bool // the server has not answered a request on the connection yet
	overConnectionLimit bool // opened while the server already had its maximum number of connections
}

func newFrontend(frontendHost host, number int, plan *lab.ServerPlan, model *lab.Server, answersHealthChecks bool) frontend {
	return frontend{
		host: frontendHost, number: number, plan: plan, model: model, answersHealthChecks: answersHealthChecks,
		connections: map[net.Conn]struct{}{}, pendingJobs: map[int64]chan lab.JobCompletion{},
	}
}

// resetConnections resets all connections and discards the jobs that they wait for, as the exit of a process does.
func (f *frontend) resetConnections() {
	f.mu.Lock()
	f.incarnation++
	connections := f.connections
	f.connections = map[net.Conn]struct{}{}
	f.pendingJobs = map[int64]chan lab.JobCompletion{}
	f.mu.Unlock()
	for connection := range connections {
		resetConnection(connection)
	}
}

// receivedRequest is one request on a connection. Its times are those at which its bytes reached this machine, not those at
// which they were read.
type receivedRequest struct {
	request     *http.Request
	firstByteAt time.Time
	lastByteAt  time.Time
}

// serveConnection answers the requests of one connection until it closes. A separate goroutine reads the requests, so
// that a close is detected while a request is processed.
func (f *frontend) serveConnection(connection net.Conn, sidecar int) {
	f.mu.Lock()
	incarnation := f.incarnation
	if !f.up || f.host.runContext().Err() != nil {
		f.mu.Unlock()
		resetConnection(connection)
		return
	}
	f.connections[connection] = struct{}{}
	overConnectionLimit := len(f.connections) > f.plan.Spec.MaxConnections
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.host.runContext())
	defer func() {
		cancel()
		f.mu.Lock()
		if f.incarnation == incarnation {
			delete(f.connections, connection)
		}
		f.mu.Unlock()
		connection.Close()
	}()
	requests := make(chan receivedRequest, 1)
	go func() {
		defer cancel()
		f.readRequests(ctx, connection, requests)
	}()
	idleTimeout := milliseconds(f.plan.Spec.IdleCloseMS)
	client := clientPeer{
		connection: connection, sidecar: sidecar, newConnection: true, overConnectionLimit: overConnectionLimit,
	}
	for {
		_ = connection.SetReadDeadline(time.Now().Add(idleTimeout)) // fails only on a closed connection, which ends ctx
		select {
		case <-ctx.Done():
			return
		case received := <-requests:
			_ = connection.SetReadDeadline(time.Time{}) // fails only on a closed connection, which ends ctx
			if !f.handleRequest(ctx, client, received) {
				return
			}
			client.newConnection = false
		}
	}
}

// readRequests sends each request to the channel. It returns when a read fails or ctx ends.
func (f *frontend) readRequests(ctx context.Context, connection net.Conn, requests chan<- receivedRequest) {
	reader := bufio.NewReader(connection)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := arrival.ConnTime(connection)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxRequestBody)); err != nil {
			return
		}
		lastByteAt := arrival.ConnTime(connection)
		if lastByteAt.Before(firstByteAt) { // by less than the tick of the kernel's clock
			lastByteAt = firstByteAt
		}
		select {
		case requests <- receivedRequest{request, firstByteAt, lastByteAt}:
		case <-ctx.Done():
			return
		}
	}
}
