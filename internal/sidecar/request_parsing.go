package sidecar

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"milldeck/balance"
)

const (
	apiPath   = "/api"
	readyPath = "/health/ready"

	maxTimeout            = time.Hour // of X-Timeout-Ms
	maxRequestHeaderBytes = 8 << 10
	maxRequestIDBytes     = 128
	maxCostMicros         = 1e12 // of X-Cost
	// bodyTimeout limits the time to receive a body. The application runs on the same machine, so a body arrives at once.
	bodyTimeout = 1200 * time.Millisecond
)

// malformedError describes why a request is malformed. Its status is never 429 or 503, because these statuses tell the
// client that a retry is safe.
type malformedError struct {
	status  int
	message string
}

func (e *malformedError) Error() string { return e.message }

// badRequest returns a malformedError with status 400.
func badRequest(message string) error { return &malformedError{http.StatusBadRequest, message} }

// Request headers, in the canonical form that net/http stores.
const (
	requestIDHeader      = "X-Request-Id"
	priorityClassHeader  = "X-Priority-Class"
	tenantHeader         = "X-Tenant-Id"
	timeoutHeader        = "X-Timeout-Ms" // milliseconds
	idempotencyKeyHeader = "Idempotency-Key"
	retriedHeader        = "X-Retried" // "1": a retry by the client
	costHeader           = "X-Cost"    // expected work in microseconds
)

// keyCookie is the cookie with the key of a request. The key identifies the subject of the request.
const keyCookie = "k"

// singleValueHeaders may occur only once: of two values, the sidecar and a server could each use a different one.
var singleValueHeaders = []string{
	requestIDHeader, priorityClassHeader, tenantHeader, timeoutHeader, idempotencyKeyHeader, retriedHeader, costHeader,
}

// parseRequest validates the head of a request. It returns the call and its timeout, or a malformedError. The body is read
// later, so that the body of a malformed request is never read.
func (f *frontend) parseRequest(w http.ResponseWriter, r *http.Request) (*call, time.Duration, error) {
	if r.URL.Path != apiPath {
		return nil, 0, &malformedError{http.StatusNotFound, "not found"}
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		w.Header().Set("Allow", "GET, POST")
		return nil, 0, &malformedError{http.StatusMethodNotAllowed, "method not allowed"}
	}
	if err := checkFraming(r); err != nil {
		return nil, 0, err
	}
	return f.newCall(r)
}

// checkFraming rejects requests whose length two HTTP implementations could interpret differently. net/http ignores
// Content-Length beside Transfer-Encoding, and ignores Transfer-Encoding in HTTP/1.0. So both Transfer-Encoding and HTTP/1.0
// are rejected, and a body requires Content-Length.
func checkFraming(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return &malformedError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	case len(r.TransferEncoding) > 0:
		return &malformedError{http.StatusLengthRequired, "a body needs Content-Length, not Transfer-Encoding"}
	case r.ContentLength > maxBodyBytes:
		return &malformedError{http.StatusRequestEntityTooLarge, "body too large"}
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return badRequest("GET with a body")
	}
	return nil
}

// newCall creates a call from the headers of a request, and returns the timeout of the request.
func (f *frontend) newCall(r *http.Request) (*call, time.Duration, error) {
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return nil, 0, badRequest(name + " stands twice")
		}
	}
	if id := r.Header.Get(requestIDHeader); id == "" || len(id) > maxRequestIDBytes {
		return nil, 0, badRequest("no X-Request-ID of a usable length")
	}
	request := balance.Request{ClientRetry: r.Header.Get(retriedHeader) == "1"}
	var ok bool
	if request.Class, ok = f.config.classIndexes[r.Header.Get(priorityClassHeader)]; !ok {
		return nil, 0, badRequest("unknown X-Priority-Class")
	}
	if len(f.config.tenantIndexes) > 0 {
		if request.Tenant, ok = f.config.tenantIndexes[r.Header.Get(tenantHeader)]; !ok {
			return nil, 0, badRequest("unknown X-Tenant-Id")
		}
	}
	class := &f.config.settings.Classes[request.Class]
	if err := checkMethod(class.Idempotency, r); err != nil {
		return nil, 0, err
	}
	timeout, err := parseTimeout(r.Header.Get(timeoutHeader), durationFromMS(class.Deadline))
	if err != nil {
		return nil, 0, err
	}
	if request.ExpectedWork, err = parseCost(r.Header.Get(costHeader)); err != nil {
		return nil, 0, err
	}
	request.Key = requestKey(r)
	return &call{
		request:  request,
		clientID: r.Header.Get(requestIDHeader),
		client:   clientConnOf(r),
		response: make(chan response, 1),
	}, timeout, nil
}

// checkMethod checks that the class of the request permits the method and the presence or absence of an idempotency key.
// Without its key, a request of a class with idempotency keys could be executed twice.
func checkMethod(idempotency balance.Idempotency, r *http.Request) error {
	keyPresent := r.Header.Get(idempotencyKeyHeader) != ""
	switch {
	case idempotency == balance.Idempotent && r.Method != http.MethodGet:
		return badRequest("the class is sent with GET")
	case idempotency != balance.Idempotent && r.Method != http.MethodPost:
		return badRequest("the class is sent with POST")
	case idempotency == balance.IdempotentWithKey && !keyPresent:
		return badRequest("no Idempotency-Key")
	case idempotency == balance.NonIdempotent && keyPresent:
		return badRequest("the class takes no Idempotency-Key")
	}
	return nil
}

// parseTimeout parses X-Timeout-Ms. Without the header the deadline of the class is the timeout.
func parseTimeout(value string, classDeadline time.Duration) (time.Duration, error) {
	if value == "" {
		return classDeadline, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	timeout := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || timeout > maxTimeout {
		return 0, badRequest("X-Timeout-Ms is not a number of milliseconds that can be")
	}
	return timeout, nil
}

// parseCost converts X-Cost, in microseconds, to milliseconds of expected work. Without the header it returns 0.
func parseCost(value string) (workMS float64, err error) {
	if value == "" {
		return 0, nil
	}
	micros, err := strconv.ParseFloat(value, 64)
	if err != nil || !(micros >= 0 && micros < maxCostMicros) {
		return 0, badRequest("X-Cost is not a number of microseconds")
	}
	return micros / microsPerMS, nil
}

// requestKey returns the hash of keyCookie, or 0 if the request has no such cookie.
func requestKey(r *http.Request) uint64 {
	cookie, err := r.Cookie(keyCookie)
	if err != nil {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, cookie.Value) // a hash accepts any input
	return hash.Sum64()
}

// readBody reads a body whose length checkFraming has accepted. It allocates memory as bytes arrive, not for the announced
// length. The timeout starts when the last byte of the request arrives.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request, call *call, timeout time.Duration) error {
	var body []byte
	if r.ContentLength > 0 {
		controller := http.NewResponseController(w)
		clientConnOf(r).expectBody(int(r.ContentLength))
		err := controller.SetReadDeadline(time.Now().Add(bodyTimeout))
		if err == nil {
			body, err = readRequestBody(r)
		}
		if err == nil {
			err = controller.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return fmt.Errorf("body: %w", err)
		}
	}
	call.deadline = clientConnOf(r).lastArrival().Add(timeout)
	if drainDeadline := f.drainDeadline.Load(); drainDeadline != nil && drainDeadline.Before(call.deadline) {
		call.deadline = *drainDeadline // the process may be killed soon after
	}
	call.outbound = &outboundRequest{method: r.Method, url: r.URL, host: r.Host, header: endToEndHeaders(r.Header), body: body}
	return nil
}

// readRequestBody reads a body of a known length. Its buffer grows with the bytes that arrive, and reserves memory for them.
func readRequestBody(r *http.Request) ([]byte, error) {
	length := int(r.ContentLength)
	var body []byte
	for len(body) < length {
		if len(body) == cap(body) {
			capacity := min(max(2*cap(body), initialBodyBuffer), length)
			if err := clientConnOf(r).reserveBody(capacity - cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && len(body) < length {
			return nil, err
		}
	}
	return body, nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length",
}

// endToEndHeaders returns a copy of the headers without those that apply to the client's connection only.
func endToEndHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
