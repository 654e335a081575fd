package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"milldeck/balance"
)

// A reused connection that breaks after the request was written ends the attempt. A non-idempotent request then fails and is
// not retried, as the server may have executed it.
func TestBrokenReusedConnectionIsNotResent(t *testing.T) {
	served := 0
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		served++
		return served == 1 && serveOK(conn, r, body)
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 || got.body != "done" {
		t.Fatalf("first: %+v", got)
	}
	if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != statusFailed {
		t.Errorf("second: %+v, want a failure", got)
	}
	if n, conns := server.requests.Load(), server.conns.Load(); n != 2 || conns != 1 {
		t.Errorf("%d requests on %d connections reached the server, want 2 on one reused connection", n, conns)
	}
}

// Before the sidecar writes a request to an idle connection, it detects that the server has closed the connection, and uses
// another connection.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	for i := range 3 {
		if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
			t.Fatalf("request %d: %+v", i, got)
		}
		server.closeConns()
	}
	if n := server.conns.Load(); n != 3 {
		t.Errorf("%d connections, want 3", n)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	for range 5 {
		sidecar.do(sidecar.newRequest("lookup", time.Second))
	}
	if n, conns := server.requests.Load(), server.conns.Load(); n != 5 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 5 on 1", n, conns)
	}
}

// Surplus bytes that a server sends after its response are never read as the response to the next request, even if they
// arrive a moment after the response. The pool detects them after the reuse delay.
func TestBytesAfterResponseAreNotReused(t *testing.T) {
	trailing := make(chan error, 1)
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("X-Request-ID")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		time.Sleep(500 * time.Microsecond) // so that the sidecar reads the response without the surplus bytes
		_, err := io.WriteString(conn, text)
		trailing <- err
		return err == nil
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) { sidecar.loop.pool.reuseDelay = reuseDelay })
	for range 60 {
		req := sidecar.newRequest("charge", time.Second)
		if got := sidecar.do(req); got.status != 200 || got.body != req.Header.Get("X-Request-ID") {
			t.Errorf("%+v, request ID %s", got, req.Header.Get("X-Request-ID"))
		}
		if err := receiveWithin(t, "the surplus bytes to be written", trailing); err != nil {
			t.Log("surplus bytes written to a closed connection:", err)
		}
	}
	if requests := server.requests.Load(); requests != 60 {
		t.Errorf("%d requests at the server", requests)
	}
}

// Only connections whose reuse delay is over are reused, the most recently used one first.
func TestReuseDelay(t *testing.T) {
	pool := newConnPool(&Config{}, 8, &byteBudget{})
	upstream, now := &upstreamHost{}, time.Now()
	for _, ago := range []time.Duration{time.Hour, 2 * reuseDelay, reuseDelay - time.Hour} { // the last is not reusable yet
		upstream.idleConns = append(upstream.idleConns, &upstreamConn{upstream: upstream, idleSince: now.Add(-ago)})
	}
	if conn := pool.popIdle(upstream); conn == nil || !conn.idleSince.Equal(now.Add(-2*reuseDelay)) {
		t.Errorf("%+v", conn)
	}
	if conn := pool.popIdle(upstream); conn == nil || !conn.idleSince.Equal(now.Add(-time.Hour)) {
		t.Errorf("%+v", conn)
	}
	if conn := pool.popIdle(upstream); conn != nil || len(upstream.idleConns) != 1 {
		t.Errorf("%+v is reused within the reuse delay", conn)
	}
}

// The memory for all requests is bounded, and for all responses: a response waits for memory, as its server has executed the
// request. Completed requests release their memory.
func TestRequestAndResponseMemoryAreBounded(t *testing.T) {
	release := make(chan struct{})
	large, half := strings.Repeat("x", 40<<10), strings.Repeat("y", 20<<10)
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		<-release
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(half), half)
		return err == nil
	})
	const requestLimit, responseLimit = 2*(requestMemory+requestCopies*41<<10) + requestMemory, 20 << 10 // two requests, one response
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) {
		sidecar.frontend.requestMemory.remaining.Store(requestLimit)
		sidecar.loop.pool.responseMemory.remaining.Store(responseLimit)
	})
	newLargeRequest := func() *http.Request {
		req := sidecar.newRequest("charge", time.Second)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(large)), int64(len(large))
		return req
	}
	first, second := sidecar.doAsync(newLargeRequest()), sidecar.doAsync(newLargeRequest())
	waitUntil(t, "two requests at the server", func() bool { return server.requests.Load() == 2 })
	if got := sidecar.do(newLargeRequest()); got.status != statusRejected {
		t.Errorf("third request: %+v, want a rejection", got)
	}
	close(release)
	for _, r := range []<-chan clientResult{first, second} {
		if got := receiveWithin(t, "a response", r); got.status != 200 || got.body != half {
			t.Errorf("%d, and the response has %d bytes", got.status, len(got.body))
		}
	}
	waitUntil(t, "all memory to be released", func() bool {
		return sidecar.loop.pool.responseMemory.remaining.Load() == responseLimit && sidecar.frontend.requestMemory.remaining.Load() == requestLimit
	})
	if got := sidecar.do(newLargeRequest()); got.status != 200 {
		t.Errorf("afterwards %d", got.status)
	}
}

// A request is retried at another server if a server rejects it or refuses the connection, even if the request is not
// idempotent.
func TestUnexecutedAttemptIsRetriedElsewhere(t *testing.T) {
	overloaded := newBackend(t, "a", respondWith("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true))
	unreachable := newBackend(t, "c", serveOK)
	unreachable.Close()
	healthy := newBackend(t, "b", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), overloaded.endpoint, unreachable.endpoint, healthy.endpoint))
	for i := range 6 {
		if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
			t.Errorf("request %d: %+v", i, got)
		}
	}
	if served := healthy.requests.Load(); served != 6 {
		t.Errorf("%d requests served, want 6", served)
	}
}

// The number of connections to all servers is bounded. At the limit, the pool closes an idle connection to another server in
// order to open a new one.
func TestConnectionsAreBounded(t *testing.T) {
	server, secondServer := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
	pool, attempt, conn, _ := newExchange(t, server)
	pool.maxConns = 1
	secondHost := &upstreamHost{id: 2, address: secondServer.endpoint.Address}
	if _, _, err := pool.acquire(attempt.ctx, secondHost, attempt.deadline); !errors.Is(err, errNoSocketAvailable) || unsentResult(attempt.ctx, attempt.deadline, err) != balance.Obsolete {
		t.Fatalf("a second connection above the limit: %v", err)
	}
	pool.returnIdle(conn)
	second, reused, err := pool.acquire(attempt.ctx, secondHost, attempt.deadline)
	if err != nil || reused {
		t.Fatalf("a new connection in place of an idle one: %v", err)
	}
	pool.returnIdle(second)
	if pool.openConns != 1 {
		t.Errorf("%d connections are counted as open, want 1", pool.openConns)
	}
}

// The pool closes idle connections before the server does.
func TestIdleConnectionsAreReaped(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	pool, _, conn, _ := newExchange(t, server)
	pool.returnIdle(conn)
	pool.reap(time.Now().Add(8 * time.Second))
	if pool.openConns != 1 {
		t.Error("the idle connection was closed too early")
	}
	pool.reap(time.Now().Add(9 * time.Second))
	if pool.openConns != 0 || len(pool.hostsWithIdleConns) != 0 {
		t.Error("the idle connection was not closed in time")
	}
}

// A server that closes idle connections sooner than the settings say resets the connection when the next request arrives.
// The first reset lowers the server's idle time limit below that idle time; successful reuses raise it again.
func TestServerIdleTimeoutIsLearned(t *testing.T) {
	var resetIdle atomic.Bool
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		if resetIdle.Load() {
			resetConn(conn)
			return false
		}
		return serveOK(conn, r, body)
	})
	pool, attempt, first, _ := newExchange(t, server)
	first.Close()
	pool.releaseConn()
	attempt.call.outbound = &outboundRequest{method: "GET", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}}
	sendAfterIdle := func(idleTime time.Duration) (balance.Result, bool) {
		pool.mu.Lock()
		for _, conn := range attempt.upstream.idleConns {
			conn.idleSince = time.Now().Add(-idleTime)
		}
		pool.mu.Unlock()
		before := server.conns.Load()
		r := pool.sendAttempt(attempt)
		return r.outcome, server.conns.Load() == before
	}
	sendAfterIdle(0) // leaves an idle connection
	resetIdle.Store(true)
	if r, reused := sendAfterIdle(time.Second); r != balance.Reset || !reused {
		t.Fatalf("result %v, on the reused connection: %v", r, reused)
	}
	resetIdle.Store(false)
	sendAfterIdle(0)
	if r, reused := sendAfterIdle(time.Second); r != balance.OK || reused {
		t.Errorf("idle for the same time again: result %v, on the reused connection: %v", r, reused)
	}
	limit := pool.idleTimeLimit(attempt.upstream)
	if r, reused := sendAfterIdle(500 * time.Millisecond); r != balance.OK || !reused {
		t.Errorf("idle for a shorter time: result %v, on the reused connection: %v", r, reused)
	}
	if newLimit := pool.idleTimeLimit(attempt.upstream); newLimit <= limit || newLimit > 750*time.Millisecond {
		t.Errorf("the limit went from %v to %v", limit, newLimit)
	}
}
