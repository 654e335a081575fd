package sidecar

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Statuses of the responses that the sidecar itself generates. 429 and 503 tell the client that a retry is safe, so only
// rejections use them.
const (
	statusRejected = http.StatusServiceUnavailable
	statusFailed   = http.StatusBadGateway
	statusTimedOut = http.StatusGatewayTimeout
)

const (
	// overdueGrace is how long the frontend waits for the balancer after the deadline and AnswerGracePeriod. The
	// platform's protocol allows 50 ms for sockets.
	overdueGrace = 25 * time.Millisecond
	writeTimeout = 5 * time.Second

	// headerTimeout plus bodyTimeout is less than the 3 s within which a faulty client must be disconnected.
	headerTimeout = 1500 * time.Millisecond
	// idleTimeout is short, because clients need few connections and each connection uses memory.
	idleTimeout = 2500 * time.Millisecond
)

// frontend serves the application: it reads requests, posts them to the event loop and writes the responses.
type frontend struct {
	config     *Config
	post       func(loopEvent)
	listener   *clientListener
	requestIDs *recentRequestIDs
	// requestMemory is for requests in flight. The end of a call releases its part.
	requestMemory  *byteBudget
	responseMemory *byteBudget
	monitor        *monitor

	inFlight     atomic.Int64
	maxInFlight  int64
	writeTimeout time.Duration
	// lateResponseTimeout is how long the frontend waits for the response of the event loop after it is overdue.
	lateResponseTimeout time.Duration

	drainDeadline      atomic.Pointer[time.Time] // the time by which the last response must be written; nil: not draining
	drainExpired       chan struct{}             // closed at the drain deadline
	closeAfterResponse atomic.Bool               // each connection is closed after its next response
}

func (f *frontend) httpServer() *http.Server {
	return &http.Server{
		Handler:                      f,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxRequestHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withClientConn,
		ConnState:                    f.listener.onConnState,
		ErrorLog:                     slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// closeConnections closes all connections after their responses. It stops accepting only when no connection is left, or shortly
// before the deadline: a client that sends a request while its connection is being closed sends the request again on a new
// connection. Connections that are queued at that time are accepted and served: closing the listener over them would reset them.
// serveErr signals that the server has stopped accepting. http.Server.Shutdown is not used, because it also closes connections on which a
// request is being read. After the deadline, connections are closed that owe their client no response; a connection with an
// unanswered request is closed by nothing but its response, however late the process is.
func (f *frontend) closeConnections(server *http.Server, serveErr <-chan error, deadline time.Time) error {
	f.listener.endReadAhead() // before closeAfterResponse is set: announceClose depends on it
	f.closeAfterResponse.Store(true)
	f.listener.drainUntil(deadline.Add(-acceptEndMargin))
	acceptErr := f.endAccepting(serveErr, deadline)
	f.listener.drain(deadline)
	return errors.Join(acceptErr, server.Close()) // Close closes the connections of clients that do not read their responses
}

// endAccepting accepts the queued connections and stops accepting. An error means that accepting had failed before, and why.
func (f *frontend) endAccepting(serveErr <-chan error, deadline time.Time) error {
	stopErr := f.listener.stopAccepting()
	select {
	case err := <-serveErr: // always net.ErrClosed after stopAccepting
		if stopErr != nil {
			return fmt.Errorf("accepting ended early: %w", err)
		}
	case <-time.After(time.Until(deadline)):
	}
	return stopErr
}

// ServeHTTP serves the ready check and the requests of the application.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clientConnOf(r).setHandled()
	if f.closeAfterResponse.Load() {
		clientConnOf(r).countFinalRequest()
	}
	defer clientConnOf(r).releasePartial()
	f.announceClose(w, r)
	f.extendWriteDeadline(w)
	if r.URL.Path == readyPath && r.Method == http.MethodGet && checkFraming(r) == nil {
		f.serveReady(w)
		return
	}
	call, timeout, err := f.parseRequest(w, r)
	if err != nil {
		f.rejectMalformed(w, r, err)
		return
	}
	// The limits on memory and on requests in flight bound memory, goroutines and connections to servers. The request has not
	// been sent to a server, so a rejection is safe. A request that is not read completely ends its connection.
	if err := f.readBody(w, r, call, timeout); err != nil {
		if errors.Is(err, errRequestShed) || clientConnOf(r).wasShed() {
			f.rejectForMemory(w, r)
			return
		}
		f.rejectMalformed(w, r, err)
		return
	}
	clientConnOf(r).setUnanswered()
	f.admit(w, r, call)
}

// admit serves a request that is read completely, if memory and the limit of requests in flight allow it.
func (f *frontend) admit(w http.ResponseWriter, r *http.Request, call *call) {
	size := requestMemory + requestCopies*clientConnOf(r).partialSize()
	if !f.requestMemory.reserve(size) {
		f.rejectForMemory(w, r)
		return
	}
	clientConnOf(r).releasePartial()
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.maxInFlight {
		f.requestMemory.release(size)
		f.monitor.count(rejectedInFlight)
		writeResponse(w, r, response{status: statusRejected})
		return
	}
	idHash, err := f.requestIDs.claim(r.Header.Get(requestIDHeader))
	if err != nil {
		f.requestMemory.release(size)
		if errors.Is(err, errTooManyRequests) {
			f.rejectForMemory(w, r)
			return
		}
		f.rejectMalformed(w, r, &malformedError{http.StatusConflict, err.Error()})
		return
	}
	call.onDone = func(forwarded bool) {
		f.requestMemory.release(size)
		f.requestIDs.release(idHash, forwarded)
	}
	f.serveCall(w, r, call)
}

// rejectForMemory rejects a request that no server has got, and closes the connection, which frees its memory too.
func (f *frontend) rejectForMemory(w http.ResponseWriter, r *http.Request) {
	f.monitor.count(rejectedBodyMemory)
	w.Header().Set("Connection", "close")
	writeResponse(w, r, response{status: statusRejected})
}

// announceClose makes this response close the connection, in the last phase of a drain. If the client has sent more requests on
// the connection, it stays open until they are answered.
func (f *frontend) announceClose(w http.ResponseWriter, r *http.Request) {
	if f.closeAfterResponse.Load() && !clientConnOf(r).moreRequested() {
		w.Header().Set("Connection", "close")
	}
}

// rejectMalformed responds to a malformed request and closes the connection, because the bytes that follow may be a part of
// the request.
func (f *frontend) rejectMalformed(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	var malformed *malformedError
	if errors.As(err, &malformed) {
		status = malformed.status
	}
	f.monitor.count(rejectedMalformed)
	clientConnOf(r).setMalformed()
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
	flushErr := http.NewResponseController(w).Flush()
	clientConnOf(r).setAnswered(flushErr)
	if flushErr == nil {
		f.listener.setPhase(clientConnOf(r), phaseClosing)
	}
}

// serveReady responds to the readiness check, with status 503 while the sidecar drains.
func (f *frontend) serveReady(w http.ResponseWriter) {
	if f.drainDeadline.Load() != nil {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // fails only if the client has disconnected
}

// serveCall posts a call to the event loop and writes the response.
func (f *frontend) serveCall(w http.ResponseWriter, r *http.Request, call *call) {
	// The client may have disconnected while net/http had this request buffered.
	if err := clientConnOf(r).disconnectErr(); err != nil {
		f.monitor.count(abandonedByClient)
		call.onDone(false)
		writeResponse(w, r, disconnectedResponse(w, err))
		return
	}
	traceRequest(call, time.Since(clientConnOf(r).lastArrival()))
	resp := f.awaitResponse(w, r, call)
	waitForWriter(&call.writeMu)
	call.responded.Store(true)
	f.monitor.count(resp.reason)
	traceAnswered(call, resp.status, resp.reason)
	f.extendWriteDeadline(w)
	f.announceClose(w, r)
	writeResponse(w, r, resp)
	f.responseMemory.release(resp.reservedBytes)
}

// awaitResponse waits for the response of the event loop. It ends the call itself if the client disconnects, the drain
// deadline passes, or the response is overdue.
func (f *frontend) awaitResponse(w http.ResponseWriter, r *http.Request, call *call) response {
	overdueAfter := max(time.Until(call.deadline), 0) + durationFromMS(f.config.settings.AnswerGracePeriod) + overdueGrace
	overdue := time.NewTimer(overdueAfter)
	defer overdue.Stop()
	f.post(requestArrived{call})
	select {
	case resp := <-call.response:
		return resp
	case <-r.Context().Done():
		resp, ended := f.endUnlessAnswered(call, abandonedByClient)
		if ended {
			f.monitor.count(abandonedByClient)
			traceAnswered(call, 0, abandonedByClient)
			return disconnectedResponse(w, clientConnOf(r).disconnectErr())
		}
		return resp
	case <-f.drainExpired:
		resp, _ := f.endUnlessAnswered(call, answeredAtDrainEnd)
		return resp
	case <-overdue.C:
		return f.awaitOverdueResponse(call)
	}
}

// awaitOverdueResponse waits for the response to a call whose time is over. If the process was held up, the event loop is as
// late as the overdue timer and still has the response of the balancer, which says whether the client may repeat the request.
// If that does not come within lateResponseTimeout, this is a bug, and the frontend ends the call.
func (f *frontend) awaitOverdueResponse(call *call) response {
	giveUp := time.NewTimer(f.lateResponseTimeout)
	defer giveUp.Stop()
	select {
	case resp := <-call.response:
		return resp
	case <-f.drainExpired: // the response has to be written before SIGKILL
	case <-giveUp.C:
	}
	resp, ended := f.endUnlessAnswered(call, answeredOverdue)
	if ended {
		frontendLog.Error("balancer did not answer in time", "request", call.clientID)
	}
	return resp
}

// waitForWriter waits until no attempt of a call is being written. An attempt that passed its final check before the call
// was answered may still be in progress.
func waitForWriter(writeMu *sync.Mutex) {
	writeMu.Lock()
	writeMu.Unlock() //nolint:staticcheck,gocritic // the critical section is empty: only the wait matters
}

// disconnectedResponse handles a client that has disconnected. It aborts the handler with a panic, because a return would
// send an empty response with status 200 that no server sent. It returns a response only for a client that sent too much
// behind its request, which gets status 400.
func disconnectedResponse(w http.ResponseWriter, disconnectErr error) response {
	if !errors.Is(disconnectErr, errPipelineTooLong) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	return response{status: http.StatusBadRequest}
}

// endUnlessAnswered ends a call without a response of the event loop. If the event loop has already answered the call,
// endUnlessAnswered waits for that response, returns it, and reports false in ended.
func (f *frontend) endUnlessAnswered(call *call, reason countedEvent) (resp response, ended bool) {
	if !call.markAnswered() {
		return <-call.response, false
	}
	f.post(clientDisconnected{call})
	return response{status: statusTimedOut, reason: reason}, true
}

// extendWriteDeadline sets the write deadline to writeTimeout from now, so that a client that does not read cannot occupy
// a connection forever.
func (f *frontend) extendWriteDeadline(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.writeTimeout)); err != nil {
		frontendLog.Error("cannot set the write deadline", "error", err)
	}
}

// writeResponse writes a response to the socket. The write fails if the client has disconnected or does not read.
func writeResponse(w http.ResponseWriter, r *http.Request, resp response) {
	header := w.Header()
	header["Content-Type"] = nil // otherwise net/http guesses one
	if resp.contentType != "" {
		header.Set("Content-Type", resp.contentType)
	}
	if resp.retryAfterMS > 0 {
		header.Set("Retry-After", strconv.FormatFloat(resp.retryAfterMS/msPerSecond, 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	conn := clientConnOf(r)
	conn.setWriting()
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.body)
	if err == nil {
		// Flush before the handler returns, so that a write error is recorded before net/http closes the connection for it.
		err = http.NewResponseController(w).Flush()
	}
	conn.setAnswered(err)
}
