package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"milldeck/balance"
)

const (
	healthCheckTimeout = 250 * time.Millisecond

	healthCheckPath   = "/health/live"
	healthReportsPath = "/stats" // the health check path if the servers send load reports
)

// expiredDeadline makes all I/O on a connection fail immediately.
var expiredDeadline = time.Unix(1, 0)

// errObsolete means that, between the decision for an attempt and its first byte, the call was answered, a deadline passed,
// or the server was retired.
var errObsolete = errors.New("request is obsolete")

// errNoTimeoutHeader means that an encoded request has no place for its timeout.
var errNoTimeoutHeader = errors.New("encoded request has no timeout header")

// outboundRequest is a client's request in the form in which it is sent to servers.
type outboundRequest struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end headers only
	body   []byte
}

// exchangeResult is the result of an attempt or a health check.
type exchangeResult struct {
	outcome    balance.Result
	unsent     error    // why the request was not completely written; nil if it was
	response   response // set if the outcome is balance.OK
	loadReport []float32
}

// sendAttempt sends an attempt and waits for its result.
func (p *connPool) sendAttempt(attempt *attempt) exchangeResult {
	outbound := attempt.call.outbound
	req := &http.Request{
		Method:        outbound.method,
		URL:           outbound.url,
		Host:          outbound.host,
		Header:        outbound.header.Clone(),
		ContentLength: int64(len(outbound.body)),
	}
	result := p.exchange(attempt.ctx, attempt.upstream, attempt.deadline, req, attempt)
	p.guard.recordEnd(attempt, result.outcome)
	return result
}

// checkHealth sends a health check. If the servers send load reports, the report is in a header or in the body.
func (p *connPool) checkHealth(ctx context.Context, upstream *upstreamHost) exchangeResult {
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: p.healthCheckPath},
		Host:   upstream.address,
		Header: http.Header{},
	}
	result := p.exchange(ctx, upstream, time.Now().Add(healthCheckTimeout), req, nil)
	if len(result.loadReport) == 0 {
		result.loadReport = parseLoadReport(string(result.response.body), p.loadReportFields)
	}
	p.responseMemory.release(result.response.reservedBytes)
	return result
}

// exchange writes a request and reads its response; attempt is nil for a health check. If a reused connection breaks before
// the last byte of the request is written, exchange moves to another connection. net/http's Transport is not used, as it
// resends a request by itself when a reused connection breaks, which is one more attempt.
func (p *connPool) exchange(ctx context.Context, upstream *upstreamHost, deadline time.Time, req *http.Request, attempt *attempt) exchangeResult {
	writeDeadline := deadline
	if attempt != nil {
		writeDeadline = attempt.writeDeadline()
	}
	for {
		conn, reused, err := p.acquire(ctx, upstream, writeDeadline)
		if err != nil {
			return exchangeResult{outcome: unsentResult(ctx, writeDeadline, err), unsent: err}
		}
		stopCancel := cancelWithContext(ctx, conn, deadline, writeDeadline)
		complete, err := writeRequest(p.guard, conn, deadline, req, attempt)
		if err != nil && !complete {
			stopCancel()
			p.discard(conn)
			closedWhileIdle := reused && errors.As(err, new(*net.OpError))
			if closedWhileIdle && ctx.Err() == nil && time.Now().Before(writeDeadline) {
				continue
			}
			return exchangeResult{outcome: unsentResult(ctx, writeDeadline, err), unsent: err}
		}
		idleTime := conn.idleTime
		writtenAt := time.Now()
		result, reusable := p.readResponse(ctx, conn)
		elapsed := time.Since(writtenAt)
		if reused {
			p.learnIdleTimeLimit(upstream, idleTime, result.outcome, elapsed)
		}
		kept := stopCancel() && reusable
		if kept {
			p.returnIdle(conn)
		} else {
			p.guard.monitor.count(upstreamConnEnded)
			p.discard(conn)
		}
		traceExchangeEnded(attempt, conn, result.outcome, elapsed, kept)
		return result
	}
}

// cancelWithContext sets the deadlines of a connection and makes them expire when ctx ends. The returned function stops
// watching ctx; it returns false if ctx has ended. Setting a deadline fails only on a closed connection, and the next read
// or write reports that.
func cancelWithContext(ctx context.Context, conn *upstreamConn, readDeadline, writeDeadline time.Time) (stop func() bool) {
	stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(expiredDeadline) })
	conn.readDeadline = readDeadline
	_ = conn.SetWriteDeadline(writeDeadline)
	setReadDeadline(ctx, conn, readDeadline)
	return stop
}

// setReadDeadline sets the deadline of the next reads, at most the read deadline of the exchange. If ctx has ended, the
// deadline is expired.
func setReadDeadline(ctx context.Context, conn *upstreamConn, deadline time.Time) {
	if conn.readDeadline.Before(deadline) {
		deadline = conn.readDeadline
	}
	_ = conn.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		_ = conn.SetDeadline(expiredDeadline) // the deadline above may have overwritten the expired one
	}
}

// writeRequest writes a request and reports whether it is completely written; a server executes only a complete request.
// The final check whether the request may still be sent is made here, as the endpoint list may change during a dial. The
// clock is read as the last step before the write: what is between the two makes the timeout that is sent too long.
func writeRequest(guard sendGuard, conn *upstreamConn, deadline time.Time, req *http.Request, attempt *attempt) (complete bool, err error) {
	encoded, err := encodeRequest(req, attempt)
	if err != nil {
		return false, errObsolete
	}
	if attempt != nil {
		attempt.call.writeMu.Lock()
		defer attempt.call.writeMu.Unlock()
	}
	if attempt != nil {
		if err := guard.admit(attempt, time.Now()); err != nil {
			return false, err
		}
	}
	now := time.Now() // again, as admit may have waited for the lock of the client connections
	remaining := deadline.Sub(now)
	if conn.upstream.retired.Load() || remaining <= 0 {
		return false, errObsolete
	}
	if attempt != nil {
		attempt.startedAt = now
		if !now.Before(attempt.writeDeadline()) {
			return false, errWriteDeadlinePassed
		}
	}
	message := encoded.withTimeout(remaining)
	written, err := conn.Write(message)
	complete = written == len(message)
	if complete && attempt != nil {
		attempt.fullyWritten.Store(true)
		guard.checkWritten(attempt, remaining, time.Now())
		traceWritten(attempt, remaining, conn)
	}
	return complete, err
}

// timeoutPlaceholder is the value of timeoutHeader in an encoded request until the timeout is known: room for any timeout.
const timeoutPlaceholder = "0000000000000000000"

// encodedHeadBytes is enough for the usual head of a request.
const encodedHeadBytes = 512

// encodedRequest is a request that is ready to be written, but for its timeout.
type encodedRequest struct {
	message       []byte
	timeoutOffset int // of timeoutPlaceholder
}

// encodeRequest encodes a request, with timeoutPlaceholder in timeoutHeader.
func encodeRequest(req *http.Request, attempt *attempt) (encodedRequest, error) {
	req.Header.Set(timeoutHeader, timeoutPlaceholder)
	req.Body = http.NoBody
	if attempt != nil && len(attempt.call.outbound.body) > 0 {
		// Each connection needs a new reader, as encoding consumes it.
		req.Body = io.NopCloser(bytes.NewReader(attempt.call.outbound.body))
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // stops net/http from adding its own
	}
	buffer := &bytes.Buffer{}
	if attempt != nil {
		buffer.Grow(encodedHeadBytes + len(attempt.call.outbound.body))
	}
	if err := req.Write(buffer); err != nil {
		return encodedRequest{}, err
	}
	// No header before it can contain a line break, so this is the header itself.
	headerStart := "\r\n" + timeoutHeader + ": "
	offset := bytes.Index(buffer.Bytes(), []byte(headerStart))
	if offset < 0 {
		return encodedRequest{}, errNoTimeoutHeader
	}
	return encodedRequest{message: buffer.Bytes(), timeoutOffset: offset + len(headerStart)}, nil
}

// withTimeout puts the timeout in place of the placeholder, without allocating, and returns the complete message. It must be
// called once.
func (e encodedRequest) withTimeout(timeout time.Duration) []byte {
	rest := e.message[e.timeoutOffset+len(timeoutPlaceholder):]
	message := strconv.AppendInt(e.message[:e.timeoutOffset], max(timeout.Milliseconds(), 1), 10)
	return append(message, rest...)
}

// unsentResult returns the result of an exchange whose request was not completely written.
func unsentResult(ctx context.Context, writeDeadline time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil,
		errors.Is(err, errObsolete),
		errors.Is(err, errNoSocketAvailable),
		!time.Now().Before(writeDeadline):
		return balance.Obsolete // does not count against the server
	default:
		return balance.ConnectFailed
	}
}
