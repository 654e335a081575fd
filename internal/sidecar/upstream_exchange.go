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

const healthCheckTimeout = 250 * time.Millisecond

var expiredDeadline = time.Unix(1, 0)

// outboundRequest is a request as servers get it.
type outboundRequest struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end-to-end headers only
	body   []byte
}

// exchangeResult is how an attempt or probe ended.
type exchangeResult struct {
	outcome    balance.Result
	response   response
	loadReport []float32
}

// sendAttempt makes one attempt and tells how it ended.
func (p *connPool) sendAttempt(attempt *attempt) exchangeResult {
	call := attempt.call
	req := &http.Request{
		Method: call.outbound.method, URL: call.outbound.url, Host: call.outbound.host, Header: call.outbound.header.Clone(),
		ContentLength: int64(len(call.outbound.body)),
	}
	return p.exchange(attempt.ctx, attempt.upstream, attempt.deadline, req, attempt)
}

// checkHealth asks a server how it is.
func (p *connPool) checkHealth(ctx context.Context, upstream *upstreamHost) exchangeResult {
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: p.healthCheckPath}, Host: upstream.address, Header: http.Header{},
	}
	result := p.exchange(ctx, upstream, time.Now().Add(healthCheckTimeout), req, nil)
	if len(result.loadReport) == 0 {
		result.loadReport = parseLoadReport(string(result.response.body), p.loadReportFields)
	}
	p.bodyMemory.release(result.response.reservedBytes)
	return result
}

// exchange writes a request once and reads its answer; a is nil for a probe. net/http's Transport would
// send again by itself on a broken kept connection, which is one more attempt; here a request moves to
// another connection only while its last byte has not been written.
func (p *connPool) exchange(ctx context.Context, upstream *upstreamHost, deadline time.Time, req *http.Request, attempt *attempt) exchangeResult {
	writeDeadline := deadline
	if attempt != nil {
		writeDeadline = attempt.writeDeadline()
	}
	for {
		conn, reused, err := p.acquire(ctx, upstream, writeDeadline)
		if err != nil {
			return exchangeResult{outcome: unsentResult(ctx, writeDeadline, err)}
		}
		stopAfterFunc := context.AfterFunc(ctx, func() { conn.SetDeadline(expiredDeadline) })
		conn.SetReadDeadline(deadline)
		conn.SetWriteDeadline(writeDeadline)
		if ctx.Err() != nil {
			conn.SetDeadline(expiredDeadline) // the lines above may have undone the cancel
		}
		complete, err := writeRequest(conn, deadline, req, attempt)
		if err != nil && !complete {
			stopAfterFunc()
			p.discard(conn)
			if reused && ctx.Err() == nil && errors.As(err, new(*net.OpError)) && time.Now().Before(writeDeadline) {
				continue // the server closed it while idle; nothing of the request has run
			}
			return exchangeResult{outcome: unsentResult(ctx, writeDeadline, err)}
		}
		idleTime, writtenAt := conn.idleTime, time.Now()
		result, reusable := p.readResponse(ctx, conn, deadline)
		if reused {
			p.learnIdleTimeLimit(upstream, idleTime, result.outcome, time.Since(writtenAt))
		}
		if stopAfterFunc() && reusable {
			p.returnIdle(conn)
		} else {
			p.discard(conn)
		}
		return result
	}
}

// errObsolete: between decision and first byte the request was concluded, its time or that for a repeat ran out, or
// its server was retired. It is checked last of all, as dialing takes time in which the list changes.
var errObsolete = errors.New("not to be sent any more")

// writeRequest reports whether the last byte was written: only then may the request run.
func writeRequest(conn *upstreamConn, deadline time.Time, req *http.Request, attempt *attempt) (bool, error) {
	if attempt != nil {
		attempt.call.writeMu.Lock()
		defer attempt.call.writeMu.Unlock()
		if attempt.call.answered.Load() || !time.Now().Before(attempt.writeDeadline()) {
			return false, errObsolete
		}
	}
	remaining := time.Until(deadline)
	if conn.upstream.retired.Load() || remaining <= 0 {
		return false, errObsolete
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	req.Body = http.NoBody
	if attempt != nil && len(attempt.call.outbound.body) > 0 {
		// Anew for each connection: the write before has used it up, and the request could not move on.
		req.Body = io.NopCloser(bytes.NewReader(attempt.call.outbound.body))
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // none of our own
	}
	var buffer bytes.Buffer
	if err := req.Write(&buffer); err != nil {
		return false, errObsolete
	}
	written, err := conn.Write(buffer.Bytes())
	complete := written == buffer.Len()
	if complete && attempt != nil {
		attempt.fullyWritten.Store(true)
	}
	return complete, err
}

// unsentResult is the result where the last byte was never written.
func unsentResult(ctx context.Context, writeDeadline time.Time, err error) balance.Result {
	switch {
	case ctx.Err() != nil, err == errObsolete, err == errNoSocketAvailable, !time.Now().Before(writeDeadline):
		return balance.Obsolete // no fault of the server
	default:
		return balance.ConnectFailed
	}
}
