package sidecar

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milldeck/balance"
)

// Final answers other than 200. 429 and 503 tell the client that trying again is harmless, so nothing else
// here may answer with them.
const (
	statusRejected = http.StatusServiceUnavailable
	statusFailed   = http.StatusBadGateway
	statusTimedOut = http.StatusGatewayTimeout
)

const (
	apiPath   = "/api"
	readyPath = "/health/ready"

	// overdueGrace is how long past deadline and answer slack the module is waited for; sockets allow 50 ms.
	overdueGrace = 25 * time.Millisecond
	maxTimeout   = time.Hour // the longest X-Timeout-Ms
	writeTimeout = 5 * time.Second

	// The application is beside the sidecar: what it sends is there at once. Whoever takes longer for a head,
	// or for a body, holds a place; both together stay under the 3 s in which bad clients are owed an end.
	headerTimeout = 1500 * time.Millisecond
	bodyTimeout   = 1200 * time.Millisecond
	// idleTimeout is for clients that keep connections without use: clients hold few, and each costs memory.
	idleTimeout = 2500 * time.Millisecond

	maxRequestHeader = 8 << 10
	maxRequestID     = 128
)

// frontend is the application's side.
type frontend struct {
	config             *Config
	post               func(any)
	drainDeadline      atomic.Pointer[time.Time] // when the last answer is due, from SIGTERM on
	closeAfterResponse atomic.Bool               // connections end with their next answer
	drainExpired       chan struct{}             // closed when the last answer is due
	listener           *clientListener
	requestIDs         *recentRequestIDs
	bodyMemory         *byteBudget
	inFlight           atomic.Int64
	maxInFlight        int64 // requests at a time

	writeTimeout time.Duration
}

func (f *frontend) httpServer() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestHeader,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withClientConn, ConnState: f.listener.onConnState,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// closeConnections ends all connections with their answers, and accepting once none is left: a request that crosses an end comes
// again on a new one. served tells that accepting has ended. net/http's own Shutdown closes what it takes to be idle
// also where a request is read.
func (f *frontend) closeConnections(server *http.Server, serveErr <-chan error, deadline time.Time) error {
	f.closeAfterResponse.Store(true)
	if f.listener.drain(deadline) {
		if err := f.listener.stopAccepting(); err != nil {
			return err
		}
		select {
		case <-serveErr:
		case <-time.After(time.Until(deadline)):
		}
		f.listener.drain(deadline)
	}
	return server.Close() // what is left cannot take its answer
}

// ServeHTTP answers the ready check and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close") // this request is answered first
	}
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
	// Both bound what is open: bytes, goroutines and connections to servers. Nothing has been sent, so a
	// refusal is true. What is not read of the request ends its connection.
	size := int(r.ContentLength)
	if !f.bodyMemory.reserve(size) {
		w.Header().Set("Connection", "close")
		writeResponse(w, response{status: statusRejected})
		return
	}
	defer f.bodyMemory.release(size)
	if err := f.readBody(w, r, call, timeout); err != nil {
		f.rejectMalformed(w, r, err)
		return
	}
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.maxInFlight {
		writeResponse(w, response{status: statusRejected})
		return
	}
	idHash, claimed := f.requestIDs.claim(r.Header.Get("X-Request-ID"))
	if !claimed {
		f.rejectMalformed(w, r, malformedError{http.StatusConflict, "X-Request-ID is in use"})
		return
	}
	defer f.requestIDs.release(idHash)
	f.serveCall(w, r, call)
}

// malformedError is what is wrong with a request that cannot be used. It never is 429 or 503: those invite the
// client to send the same again.
type malformedError struct {
	status  int
	message string
}

func (m malformedError) Error() string { return m.message }

// rejectMalformed turns a request away and ends its connection: what follows on it may be no request at all, but a
// part of this one.
func (f *frontend) rejectMalformed(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	if malformed, ok := err.(malformedError); ok {
		status = malformed.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
	if http.NewResponseController(w).Flush() == nil {
		f.listener.setPhase(clientConnOf(r), phaseClosing)
	}
}

func (f *frontend) serveReady(w http.ResponseWriter) {
	if f.drainDeadline.Load() != nil {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// serveCall waits for the one answer.
func (f *frontend) serveCall(w http.ResponseWriter, r *http.Request, call *call) {
	conn := clientConnOf(r)
	if disconnectErr := conn.disconnectErr(); disconnectErr != nil {
		writeResponse(w, disconnectedResponse(w, disconnectErr)) // net/http had it in hand while its client left
		return
	}
	overdueTimer := time.NewTimer(time.Until(call.deadline) + durationFromMS(f.config.settings.AnswerGracePeriod) + overdueGrace)
	defer overdueTimer.Stop()
	f.post(requestArrived{call})
	var resp response
	select {
	case resp = <-call.response:
	case <-r.Context().Done():
		var claimed bool
		if resp, claimed = f.concludeCall(call); claimed {
			resp = disconnectedResponse(w, conn.disconnectErr())
		}
	case <-f.drainExpired: // the request came before SIGTERM and has more time left than the process
		resp, _ = f.concludeCall(call)
	case <-overdueTimer.C:
		// The module owes an answer and gave none: a bug, but the client is not left without one.
		var claimed bool
		if resp, claimed = f.concludeCall(call); claimed {
			slog.Error("no answer from the module in time", "request", r.Header.Get("X-Request-ID"))
		}
	}
	// An attempt that passed its last check before the answer was decided may still be writing.
	call.writeMu.Lock()
	call.writeMu.Unlock() //nolint:staticcheck // only waits
	f.extendWriteDeadline(w)
	if f.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, resp)
	f.bodyMemory.release(resp.reservedBytes)
}

// disconnectedResponse is the answer to a client that has ended its side: none, as a return would write an empty 200 that no server
// made. Who sends on and on gets one.
func disconnectedResponse(w http.ResponseWriter, disconnectErr error) response {
	if disconnectErr != errPipelineTooLong {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	return response{status: http.StatusBadRequest}
}

// concludeCall ends a call that the loop has not answered and reports so, or takes the answer that it has just given.
func (f *frontend) concludeCall(call *call) (response, bool) {
	if !call.markAnswered() {
		return <-call.response, false
	}
	f.post(clientDisconnected{call})
	return response{status: statusTimedOut}, true
}

// extendWriteDeadline bounds the time for an answer from now on: a client that does not read would hold its place
// among those taken for ever.
func (f *frontend) extendWriteDeadline(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.writeTimeout)); err != nil {
		slog.Error("no bound on writing", "error", err)
	}
}

func writeResponse(w http.ResponseWriter, resp response) {
	header := w.Header()
	header["Content-Type"] = nil
	if resp.contentType != "" {
		header.Set("Content-Type", resp.contentType)
	}
	if resp.retryAfterMS > 0 {
		header.Set("Retry-After", strconv.FormatFloat(resp.retryAfterMS/1e3, 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.status)
	w.Write(resp.body)
}

// parseRequest reads the head of a request and how long its client waits; one that is malformed reaches neither the
// module nor a server. The body comes after it, so that none is waited for in vain.
func (f *frontend) parseRequest(w http.ResponseWriter, r *http.Request) (*call, time.Duration, error) {
	if r.URL.Path != apiPath {
		return nil, 0, malformedError{http.StatusNotFound, "not found"}
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		w.Header().Set("Allow", "GET, POST")
		return nil, 0, malformedError{http.StatusMethodNotAllowed, "method not allowed"}
	}
	if err := checkFraming(r); err != nil {
		return nil, 0, err
	}
	return f.newCall(r)
}

// checkFraming refuses what two readers may take for requests of different length. net/http drops Content-Length
// where Transfer-Encoding stands beside it, and Transfer-Encoding in HTTP/1.0, so neither is taken at all:
// the application's bodies come with their length.
func checkFraming(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return malformedError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	case len(r.TransferEncoding) > 0:
		return malformedError{http.StatusLengthRequired, "a body needs Content-Length, not Transfer-Encoding"}
	case r.ContentLength > maxBody:
		return malformedError{http.StatusRequestEntityTooLarge, "body too large"}
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return errors.New("GET with a body")
	}
	return nil
}

// readBody reads a body of a length that framed allowed, as it comes: what is said and not sent takes no
// memory. The client's time counts from its last byte.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request, call *call, timeout time.Duration) error {
	var body []byte
	if r.ContentLength > 0 {
		controller := http.NewResponseController(w)
		err := controller.SetReadDeadline(time.Now().Add(bodyTimeout))
		if err == nil {
			body, err = io.ReadAll(r.Body)
		}
		if err == nil {
			err = controller.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return fmt.Errorf("body: %w", err)
		}
	}
	call.deadline = time.Now().Add(timeout)
	if drainDeadline := f.drainDeadline.Load(); drainDeadline != nil && drainDeadline.Before(call.deadline) {
		call.deadline = *drainDeadline // the process may be killed then
	}
	call.outbound = &outboundRequest{method: r.Method, url: r.URL, host: r.Host, header: endToEndHeaders(r.Header), body: body}
	return nil
}

// singleValueHeaders are the headers that mean something here; two of one could be read in two ways.
var singleValueHeaders = []string{
	"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "Idempotency-Key", "X-Retried", "X-Cost",
}

// newCall is what the module gets of a request.
func (f *frontend) newCall(r *http.Request) (*call, time.Duration, error) {
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return nil, 0, errors.New(name + " stands twice")
		}
	}
	if id := r.Header.Get("X-Request-ID"); id == "" || len(id) > maxRequestID {
		return nil, 0, errors.New("no X-Request-ID of a usable length")
	}
	request := balance.Request{ClientRetry: r.Header.Get("X-Retried") == "1"}
	var ok bool
	if request.Class, ok = f.config.classNumbers[r.Header.Get("X-Priority-Class")]; !ok {
		return nil, 0, errors.New("unknown X-Priority-Class")
	}
	if len(f.config.tenantNumbers) > 0 {
		if request.Tenant, ok = f.config.tenantNumbers[r.Header.Get("X-Tenant-Id")]; !ok {
			return nil, 0, errors.New("unknown X-Tenant-Id")
		}
	}
	class := &f.config.settings.Classes[request.Class]
	if err := checkMethod(class.Idempotency, r); err != nil {
		return nil, 0, err
	}
	timeout := durationFromMS(class.Deadline)
	if value := r.Header.Get("X-Timeout-Ms"); value != "" {
		ms, err := strconv.ParseUint(value, 10, 32)
		if timeout = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || timeout > maxTimeout {
			return nil, 0, errors.New("X-Timeout-Ms is not a number of milliseconds that can be")
		}
	}
	if value := r.Header.Get("X-Cost"); value != "" {
		micros, err := strconv.ParseFloat(value, 64)
		if err != nil || !(micros >= 0 && micros < 1e12) {
			return nil, 0, errors.New("X-Cost is not a number of microseconds")
		}
		request.ExpectedWork = micros / 1e3
	}
	if cookie, err := r.Cookie("k"); err == nil {
		hash := fnv.New64a()
		io.WriteString(hash, cookie.Value)
		request.Key = hash.Sum64()
	}
	return &call{request: request, response: make(chan response, 1)}, timeout, nil
}

// checkMethod: the method follows from the class. A keyed request without its key would run twice.
func checkMethod(effect balance.Idempotency, r *http.Request) error {
	keyPresent := r.Header.Get("Idempotency-Key") != ""
	switch {
	case effect == balance.Idempotent && r.Method != http.MethodGet:
		return errors.New("the class is sent with GET")
	case effect != balance.Idempotent && r.Method != http.MethodPost:
		return errors.New("the class is sent with POST")
	case effect == balance.IdempotentWithKey && !keyPresent:
		return errors.New("no Idempotency-Key")
	case effect == balance.NonIdempotent && keyPresent:
		return errors.New("the class takes no Idempotency-Key")
	}
	return nil
}

// endToEndHeaders leaves out what concerns the client's connection only.
func endToEndHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Content-Length",
	} {
		forwarded.Del(name)
	}
	return forwarded
}
