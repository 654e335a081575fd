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
	healthReportsPath = "/stats" // a health check that also returns a load report
)

// expiredDeadline makes all I/O on a connection fail at once.
var expiredDeadline = time.Unix(1, 0)

// errObsolete: between the decision for an attempt and its first byte the call was answered, a deadline passed, or the
// server was retired.
var errObsolete = errors.New("request is obsolete")

// outboundRequest is a client's request as servers get it.
type outboundRequest struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end headers only
	body   []byte
}

// exchangeResult is how an attempt or a health check ended.
type exchangeResult struct {
	outcome    balance.Result
	unsent     error    // why the request was not completely written; nil: it was
	response   response // if the outcome is balance.OK
	loadReport []float32
}

// sendAttempt sends an attempt and waits for its end.
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

// checkHealth sends a health check. Its load report comes in a header or in the body.
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
	p.bodyMemory.release(result.response.reservedBytes)
	return result
}

// exchange writes a request once and reads its response; attempt is nil for a health check. The request moves to another
// connection only while its last byte is not written: net/http's Transport is not used, as it would send the request again
// by itself when a reused connection breaks, which is one more attempt.
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
		if reused {
			p.learnIdleTimeLimit(upstream, idleTime, result.outcome, time.Since(writtenAt))
		}
		if stopCancel() && reusable {
			p.returnIdle(conn)
		} else {
			p.guard.monitor.count(upstreamConnEnded)
			p.discard(conn)
		}
		return result
	}
}

// cancelWithContext sets the deadlines of a connection, and lets them expire when ctx ends. The returned function undoes
// the latter; it reports false if ctx has ended. Setting a deadline fails only on a closed connection, which the next
// read or write reports.
func cancelWithContext(ctx context.Context, conn *upstreamConn, readDeadline, writeDeadline time.Time) (stop func() bool) {
	stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(expiredDeadline) })
	conn.readDeadline = readDeadline
	_ = conn.SetWriteDeadline(writeDeadline)
	setReadDeadline(ctx, conn, readDeadline)
	return stop
}

// setReadDeadline sets the deadline of the next reads, within that of the exchange and unless ctx has ended.
func setReadDeadline(ctx context.Context, conn *upstreamConn, deadline time.Time) {
	if conn.readDeadline.Before(deadline) {
		deadline = conn.readDeadline
	}
	_ = conn.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		_ = conn.SetDeadline(expiredDeadline) // what was set may have undone it
	}
}

// writeRequest writes a request, and reports whether it is completely written: only then may a server execute it. The
// final check whether it is still to be sent is made here, as the endpoint list may change while a connection is dialed.
func writeRequest(guard sendGuard, conn *upstreamConn, deadline time.Time, req *http.Request, attempt *attempt) (complete bool, err error) {
	if attempt != nil {
		attempt.call.writeMu.Lock()
		defer attempt.call.writeMu.Unlock()
		attempt.startedAt = time.Now()
		if err := guard.admit(attempt, attempt.startedAt); err != nil {
			return false, err
		}
	}
	remaining := time.Until(deadline)
	if conn.upstream.retired.Load() || remaining <= 0 {
		return false, errObsolete
	}
	buffer, err := encodeRequest(req, attempt, remaining)
	if err != nil {
		return false, errObsolete
	}
	written, err := conn.Write(buffer.Bytes())
	complete = written == buffer.Len()
	if complete && attempt != nil {
		attempt.fullyWritten.Store(true)
		guard.checkWritten(attempt, remaining, time.Now())
		traceWritten(attempt, remaining, conn.idleTime > 0)
	}
	return complete, err
}

// encodeRequest encodes a request with the time that remains for it.
func encodeRequest(req *http.Request, attempt *attempt, remaining time.Duration) (*bytes.Buffer, error) {
	req.Header.Set(timeoutHeader, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	req.Body = http.NoBody
	if attempt != nil && len(attempt.call.outbound.body) > 0 {
		// A new reader for each connection, as encoding consumes it.
		req.Body = io.NopCloser(bytes.NewReader(attempt.call.outbound.body))
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // net/http would add its own
	}
	buffer := &bytes.Buffer{}
	return buffer, req.Write(buffer)
}

// unsentResult is the result of an exchange whose request was not completely written.
func unsentResult(ctx context.Context, writeDeadline time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil,
		errors.Is(err, errObsolete),
		errors.Is(err, errNoSocketAvailable),
		!time.Now().Before(writeDeadline):
		return balance.Obsolete // not the server's fault
	default:
		return balance.ConnectFailed
	}
}
