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
	// bodyTimeout: the application runs beside the sidecar, so what it sends is there at once.
	bodyTimeout = 1200 * time.Millisecond
)

// malformedError is what is wrong with a request. Its status is never 429 or 503, as these invite the client to retry.
type malformedError struct {
	status  int
	message string
}

func (e *malformedError) Error() string { return e.message }

// badRequest is a malformedError with status 400.
func badRequest(message string) error { return &malformedError{http.StatusBadRequest, message} }

// Headers of a request, in the canonical form that net/http stores.
const (
	requestIDHeader      = "X-Request-Id"
	priorityClassHeader  = "X-Priority-Class"
	tenantHeader         = "X-Tenant-Id"
	timeoutHeader        = "X-Timeout-Ms" // milliseconds
	idempotencyKeyHeader = "Idempotency-Key"
	retriedHeader        = "X-Retried" // "1": the client sends the request again
	costHeader           = "X-Cost"    // expected work in microseconds
)

// keyCookie names what a request is about.
const keyCookie = "k"

// singleValueHeaders may occur once only, as two values could be read in two ways.
var singleValueHeaders = []string{
	requestIDHeader, priorityClassHeader, tenantHeader, timeoutHeader, idempotencyKeyHeader, retriedHeader, costHeader,
}

// parseRequest checks the head of a request. It returns the call and how long the client waits, or a malformedError. The
// body is read afterwards, so that none is read in vain.
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

// checkFraming rejects requests whose length two readers could understand differently. net/http ignores Content-Length
// beside Transfer-Encoding, and Transfer-Encoding in HTTP/1.0, so neither is accepted: bodies come with their length.
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

// newCall makes a call from the headers of a request, and returns how long the client waits.
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
	if request.Class, ok = f.config.classNumbers[r.Header.Get(priorityClassHeader)]; !ok {
		return nil, 0, badRequest("unknown X-Priority-Class")
	}
	if len(f.config.tenantNumbers) > 0 {
		if request.Tenant, ok = f.config.tenantNumbers[r.Header.Get(tenantHeader)]; !ok {
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

// checkMethod checks that the method and the idempotency key fit the class. A request of a class with idempotency keys
// could be executed twice without its key.
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

// parseTimeout parses X-Timeout-Ms; without it the class's deadline is the timeout.
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

// parseCost converts X-Cost, in microseconds, to milliseconds of expected work; without it these are 0.
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

// requestKey hashes keyCookie; without it the key is 0.
func requestKey(r *http.Request) uint64 {
	cookie, err := r.Cookie(keyCookie)
	if err != nil {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, cookie.Value) // a hash accepts any input
	return hash.Sum64()
}

// readBody reads a body whose length checkFraming has accepted. Memory is taken as bytes arrive, not as announced. The
// client's timeout starts at the last byte.
func (f *frontend) readBody(w http.ResponseWriter, r *http.Request, call *call, timeout time.Duration) error {
	var body []byte
	if r.ContentLength > 0 {
		controller := http.NewResponseController(w)
		clientConnOf(r).expectBody(int(r.ContentLength))
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
	call.deadline = clientConnOf(r).lastArrival().Add(timeout)
	if drainDeadline := f.drainDeadline.Load(); drainDeadline != nil && drainDeadline.Before(call.deadline) {
		call.deadline = *drainDeadline // the process may be killed then
	}
	call.outbound = &outboundRequest{method: r.Method, url: r.URL, host: r.Host, header: endToEndHeaders(r.Header), body: body}
	return nil
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length",
}

// endToEndHeaders is a copy of the headers without those that concern the client's connection only.
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
