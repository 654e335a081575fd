package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milldeck/balance"
)

// A reused connection that breaks after the request ends the attempt: a non-idempotent request is not retried and
// fails, as the server may have executed it.
func TestBrokenReusedConnectionIsNotResent(t *testing.T) {
	served := 0
	server := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		served++
		return served == 1 && serveOK(c, r, body)
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

// A connection that the server closed while it was idle is noticed before a request is written to it.
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

// Which responses prove that a server did not execute a request, and which do not.
func TestOutcomesOfNonIdempotentRequest(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   int
	}{
		"error":                              {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"503 without mark":                   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"504 without mark":                   {"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"429":                                {"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"500 with mark":                      {"HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", statusFailed},
		"503 with mark":                      {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", statusRejected},
		"504 with mark":                      {"HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", statusRejected},
		"body cut short":                     {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ndone", statusFailed},
		"chunks cut short":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", statusFailed},
		"no framing":                         {"HTTP/1.1 200 OK\r\n\r\ndone", statusFailed},
		"endless headers":                    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: of the same\r\n", 20000) + "Content-Length: 4\r\n\r\ndone", statusFailed},
		"not HTTP":                           {"hello\r\n\r\n", statusFailed},
		"complete":                           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 200},
		"complete after an interim response": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 200},
		"complete, chunked":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 200},
		"both framings":                      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", statusFailed},
		"two lengths":                        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"negative length":                    {"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone", statusFailed},
		"length with a sign":                 {"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ndone", statusFailed},
		"3 GB":                               {"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20), statusFailed},
		"another encoding":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", statusFailed},
		"no trailer's end":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n", statusFailed},
		"other protocol":                     {"HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"endless interim responses":          {strings.Repeat("HTTP/1.1 103 Soon\r\n\r\n", 1000), statusFailed},
		"status is no number":                {"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"no content":                         {"HTTP/1.1 204 OK\r\nContent-Length: 4\r\n\r\ndone", statusFailed},
		"unreadable report":                  {"HTTP/1.1 200 OK\r\nX-Server-Load: busy=NaN,,=\r\nContent-Length: 4\r\n\r\ndone", 200},
		"header cut short":                   {"HTTP/1.1 200 OK\r\nConte", statusFailed},
		"body above the limit":               {"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), statusFailed},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "a", respondWith(test.answer, false))
			sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
			got := sidecar.do(sidecar.newRequest("charge", 300*time.Millisecond))
			if got.status != test.want || test.want == 200 && got.body != "done" {
				t.Errorf("answer %d %q, want %d", got.status, got.body, test.want)
			}
			if attempts := server.requests.Load(); attempts != 1 {
				t.Errorf("%d sends, want 1", attempts)
			}
		})
	}
}

// Bytes after a response never become the response of the next request, even if they arrive a moment later: they are
// noticed after the reuse delay.
func TestBytesAfterResponseAreNotReused(t *testing.T) {
	trailing := make(chan error, 1)
	server := newBackend(t, "a", func(c net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("X-Request-ID")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
		time.Sleep(500 * time.Microsecond) // so that the response is read alone
		_, err := io.WriteString(c, text)
		trailing <- err
		return err == nil
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) { sidecar.loop.pool.reuseDelay = reuseDelay })
	for range 60 {
		req := sidecar.newRequest("charge", time.Second)
		if got := sidecar.do(req); got.status != 200 || got.body != req.Header.Get("X-Request-ID") {
			t.Errorf("%+v, request ID %s", got, req.Header.Get("X-Request-ID"))
		}
		if err := receiveWithin(t, "the bytes behind", trailing); err != nil {
			t.Log("written to a closed connection:", err)
		}
	}
	if requests := server.requests.Load(); requests != 60 {
		t.Errorf("%d requests at the server", requests)
	}
}

// A connection is reused only after the reuse delay, and of several the one that is idle for the shortest time.
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
		t.Errorf("%+v has not rested", conn)
	}
}

// A load report counts only if each value occurs once and is valid.
func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	names := []string{"busy", "rate"}
	for _, text := range []string{
		"", "busy=0.5", "busy=NaN,rate=7", "busy=0.5,rate=+Inf", "busy=-1,rate=7", "busy=0.5,rate=1e12",
		"busy=0.5,rate=7,busy=0.6", "busy=0.5,rate=", "busy,rate", "busy=0.5;rate=7", "busy=1e400,rate=7",
	} {
		if report := parseLoadReport(text, names); report != nil {
			t.Errorf("%q: %v", text, report)
		}
	}
	if report := parseLoadReport(" rate=7, more=x ,busy=0.5", names); len(report) != 2 || report[0] != 0.5 || report[1] != 7 {
		t.Errorf("%v", report)
	}
}

// The memory for the bodies of all requests is bounded, and requests that have ended reserve none.
func TestBodyMemoryIsBounded(t *testing.T) {
	release := make(chan struct{})
	large, half := strings.Repeat("x", 40<<10), strings.Repeat("y", 20<<10)
	server := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		<-release
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(half), half)
		return err == nil
	})
	const limit = 100 << 10
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) { sidecar.loop.pool.bodyMemory.remaining.Store(limit) })
	newLargeRequest := func() *http.Request {
		req := sidecar.newRequest("charge", time.Second)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(large)), int64(len(large))
		return req
	}
	first, second := sidecar.doAsync(newLargeRequest()), sidecar.doAsync(newLargeRequest())
	waitUntil(t, "two requests at the server", func() bool { return server.requests.Load() == 2 })
	if got := sidecar.do(newLargeRequest()); got.status != statusRejected {
		t.Errorf("a third: %+v", got)
	}
	close(release)
	served := 0 // there is memory for one response at least
	for _, r := range []<-chan clientResult{first, second} {
		if got := receiveWithin(t, "a response", r); got.status == 200 && got.body == half {
			served++
		} else if got.status != statusFailed {
			t.Errorf("%d", got.status)
		}
	}
	waitUntil(t, "the memory to be free", func() bool { return sidecar.loop.pool.bodyMemory.remaining.Load() == limit })
	if got := sidecar.do(newLargeRequest()); got.status != 200 || served == 0 {
		t.Errorf("%d served, afterwards %d", served, got.status)
	}
}

// A request that a server turned away, or that could not connect, is retried at another server, even if it is not
// idempotent.
func TestUnexecutedAttemptIsRetriedElsewhere(t *testing.T) {
	full := newBackend(t, "a", respondWith("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true))
	refusing := newBackend(t, "c", serveOK)
	refusing.Close()
	good := newBackend(t, "b", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), full.endpoint, refusing.endpoint, good.endpoint))
	for i := range 6 {
		if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
			t.Errorf("request %d: %+v", i, got)
		}
	}
	if served := good.requests.Load(); served != 6 {
		t.Errorf("%d requests served, want 6", served)
	}
}

// A request is forwarded as it came, with the time that remains for it.
func TestForwardedRequest(t *testing.T) {
	type received struct {
		req  *http.Request
		body string
	}
	requests := make(chan received, 1)
	server := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		requests <- received{r, body}
		return serveOK(c, r, body)
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	req := sidecar.newRequest("reserve", 800*time.Millisecond)
	req.URL.RawQuery = "b=2&a=%2F"
	req.Header.Set("X-Other", "kept")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "mine")
	req.Host = "backend.local"
	sidecar.do(req)
	got := receiveWithin(t, "the request", requests)
	header := got.req.Header
	if got.req.Method != "POST" || got.req.RequestURI != "/api?b=2&a=%2F" || got.body != "plate 12-34" ||
		got.req.Host != "backend.local" || header.Get("X-Request-ID") != req.Header.Get("X-Request-ID") ||
		header.Get("Idempotency-Key") != "5c0f6e1a2b3d4c59" || header.Get("X-Other") != "kept" || header.Get("X-Hop") != "" {
		t.Errorf("the server got %s %s %q %v", got.req.Method, got.req.RequestURI, got.body, header)
	}
	if timeoutText := header.Get("X-Timeout-Ms"); len(timeoutText) != 3 || timeoutText > "800" || timeoutText < "500" {
		t.Errorf("X-Timeout-Ms is %s, want a little under 800", timeoutText)
	}
}

// With a silent server the client gets one response at its deadline, which is no rejection, and the connection is
// closed.
func TestSilentServer(t *testing.T) {
	closed := make(chan struct{})
	server := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
		discard(c)
		close(closed)
		return false
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	got := sidecar.do(sidecar.newRequest("charge", 200*time.Millisecond))
	if got.status != statusTimedOut || got.elapsed < 200*time.Millisecond || got.elapsed > time.Second {
		t.Errorf("%d after %v, want %d at the deadline", got.status, got.elapsed, statusTimedOut)
	}
	receiveWithin(t, "the connection to close", closed)
}

// newUnansweringListener listens with a full accept queue: further connections are never established.
func newUnansweringListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	})
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// The connect timeout of the settings and the deadline of the request bound dialing.
func TestConnectTimeout(t *testing.T) {
	address := newUnansweringListener(t)
	t.Run("settings", func(t *testing.T) {
		healthyServer := newBackend(t, "b", serveOK)
		sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), readyEndpoint("a", address), healthyServer.endpoint))
		for i := range 3 {
			if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 || got.elapsed > 600*time.Millisecond {
				t.Errorf("request %d: %+v", i, got)
			}
		}
	})
	t.Run("time left", func(t *testing.T) {
		document := newConfigDocument(newFakeRegistry(t).address(), readyEndpoint("a", address)).
			replaceSetting(`"connect_timeout_ms": 100`, `"connect_timeout_ms": 60000`)
		sidecar := startSidecar(t, document)
		got := sidecar.do(sidecar.newRequest("charge", 100*time.Millisecond))
		if got.status != statusRejected && got.status != statusTimedOut || got.elapsed > time.Second {
			t.Errorf("%+v, want an answer at the deadline", got)
		}
	})
}

// A client that disconnects ends its attempt.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	got, closed := make(chan struct{}), make(chan struct{})
	server := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
		close(got)
		discard(c)
		close(closed)
		return false
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan error, 1)
	req := sidecar.newRequest("lookup", 2500*time.Millisecond).WithContext(ctx)
	go func() {
		_, err := sidecar.client.Do(req)
		done <- err
	}()
	receiveWithin(t, "the request", got)
	disconnect()
	disconnectedAt := time.Now()
	receiveWithin(t, "the connection to close", closed)
	if elapsed := time.Since(disconnectedAt); elapsed > time.Second {
		t.Errorf("the attempt went on for %v", elapsed)
	}
	if receiveWithin(t, "the client", done) == nil {
		t.Error("a client that disconnected got a response")
	}
}

// newExchange prepares an attempt on an open connection, just before its first byte.
func newExchange(t *testing.T, server *backend) (*connPool, *attempt, *upstreamConn, *http.Request) {
	t.Helper()
	config, err := newConfigDocument("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	memory := &byteBudget{}
	memory.release(maxBody)
	pool := newConnPool(config, 10, memory)
	pool.reuseDelay = 0
	t.Cleanup(pool.closeAll)
	host := &upstreamHost{id: 1, address: server.endpoint.Address}
	started := &attempt{call: &call{outbound: &outboundRequest{}}, upstream: host, deadline: time.Now().Add(testTimeout)}
	started.ctx, started.cancel = context.WithCancel(t.Context())
	t.Cleanup(started.cancel)
	conn, _, err := pool.acquire(started.ctx, host, started.deadline)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	req := &http.Request{Method: "GET", URL: &url.URL{Path: "/api"}, Host: "b", Header: http.Header{}}
	return pool, started, conn, req
}

// The list may change or the call may be answered between the decision for an attempt and its first byte: nothing is
// sent then, and the server is not blamed.
func TestFinalCheckBeforeFirstByte(t *testing.T) {
	for name, change := range map[string]func(*connPool, *attempt){
		"server retired":          func(pool *connPool, attempt *attempt) { pool.retire(attempt.upstream) },
		"request answered":        func(_ *connPool, attempt *attempt) { attempt.call.markAnswered() },
		"time is over":            func(_ *connPool, attempt *attempt) { attempt.deadline = time.Now() },
		"idempotency window over": func(_ *connPool, attempt *attempt) { attempt.idempotencyWindowEnd = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "a", serveOK)
			pool, attempt, conn, req := newExchange(t, server)
			change(pool, attempt)
			complete, err := writeRequest(conn, attempt.deadline, req, attempt)
			if complete || !errors.Is(err, errObsolete) || unsentResult(attempt.ctx, attempt.deadline, err) != balance.Obsolete {
				t.Errorf("written %v, error %v", complete, err)
			}
			conn.Close()
			if server.requests.Load() != 0 {
				t.Error("the server got a request")
			}
		})
	}
}

// An incomplete write proves that the server did not execute the request.
func TestShortWriteIsNeverExecuted(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	_, attempt, conn, req := newExchange(t, server)
	closeWrite(t, conn.Conn)
	complete, err := writeRequest(conn, attempt.deadline, req, attempt)
	if got := unsentResult(attempt.ctx, attempt.deadline, err); complete || got != balance.ConnectFailed {
		t.Errorf("written %v, %v, result %v", complete, err, got)
	}
	if attempt.fullyWritten.Load() {
		t.Error("counted as sent")
	}
}

// A reused connection that breaks during the write moves the request to a new one: the server did not execute it and
// is not blamed.
func TestWriteFailureOnReusedConnectionIsRetried(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	pool, attempt, conn, _ := newExchange(t, server)
	attempt.call.outbound = &outboundRequest{
		method: "POST", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}, body: []byte("plate 12-34"),
	}
	closeWrite(t, conn.Conn) // it still seems open for reading
	pool.returnIdle(conn)
	if result := pool.sendAttempt(attempt); result.outcome != balance.OK {
		t.Errorf("result %v", result.outcome)
	}
	if requests := server.requests.Load(); requests != 1 {
		t.Errorf("%d sends, want 1", requests)
	}
}

// The number of connections to all servers is bounded; an idle one of another server is closed for a new one.
func TestConnectionsAreBounded(t *testing.T) {
	server, secondServer := newBackend(t, "a", serveOK), newBackend(t, "b", serveOK)
	pool, attempt, conn, _ := newExchange(t, server)
	pool.maxConns = 1
	secondHost := &upstreamHost{id: 2, address: secondServer.endpoint.Address}
	if _, _, err := pool.acquire(attempt.ctx, secondHost, attempt.deadline); !errors.Is(err, errNoSocketAvailable) || unsentResult(attempt.ctx, attempt.deadline, err) != balance.Obsolete {
		t.Fatalf("a second connection: %v", err)
	}
	pool.returnIdle(conn)
	second, reused, err := pool.acquire(attempt.ctx, secondHost, attempt.deadline)
	if err != nil || reused {
		t.Fatalf("with an idle one to close: %v", err)
	}
	pool.returnIdle(second)
	if pool.openConns != 1 {
		t.Errorf("%d connections are counted", pool.openConns)
	}
}

// Idle connections are closed before the server closes them.
func TestIdleConnectionsAreReaped(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	pool, _, conn, _ := newExchange(t, server)
	pool.returnIdle(conn)
	pool.reap(time.Now().Add(8 * time.Second))
	if pool.openConns != 1 {
		t.Error("reaped early")
	}
	pool.reap(time.Now().Add(9 * time.Second))
	if pool.openConns != 0 || len(pool.withIdle) != 0 {
		t.Error("not reaped in time")
	}
}

func TestHealthCheck(t *testing.T) {
	paths := make(chan string, 1)
	server := newBackend(t, "a", func(c net.Conn, r *http.Request, _ string) bool {
		paths <- r.URL.Path
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nbusy=0.5,rate=7")
		return err == nil
	})
	pool, attempt, conn, _ := newExchange(t, server)
	pool.returnIdle(conn)
	r := pool.checkHealth(attempt.ctx, attempt.upstream)
	if r.outcome != balance.OK || len(r.loadReport) != 2 || r.loadReport[0] != 0.5 || r.loadReport[1] != 7 {
		t.Errorf("%+v", r)
	}
	if path := <-paths; path != "/stats" {
		t.Errorf("requested %s", path)
	}
}

// A server that closes idle connections sooner than the settings say resets the next request on one. After the first
// reset the idle time limit is below that time; successful reuses let it rise again.
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
		t.Errorf("idle as long again: result %v, on the reused connection: %v", r, reused)
	}
	limit := pool.idleTimeLimit(attempt.upstream)
	if r, reused := sendAfterIdle(500 * time.Millisecond); r != balance.OK || !reused {
		t.Errorf("idle for a shorter time: result %v, on the reused connection: %v", r, reused)
	}
	if newLimit := pool.idleTimeLimit(attempt.upstream); newLimit <= limit || newLimit > 750*time.Millisecond {
		t.Errorf("the limit went from %v to %v", limit, newLimit)
	}
}
