package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

func TestReadyCheck(t *testing.T) {
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address()))
	resp, err := sidecar.client.Get("http://" + sidecar.Addr() + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("ready check: %s", resp.Status)
	}
}

// A malformed request gets a status that is no rejection, its connection ends, and no server gets it.
func TestMalformedRequests(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	for name, test := range map[string]struct {
		class  string
		change func(*http.Request)
		want   int
	}{
		"no id":                     {"charge", func(r *http.Request) { r.Header.Del("X-Request-ID") }, 400},
		"no class":                  {"charge", func(r *http.Request) { r.Header.Del("X-Priority-Class") }, 400},
		"unknown class":             {"charge", func(r *http.Request) { r.Header.Set("X-Priority-Class", "nope") }, 400},
		"no tenant":                 {"charge", func(r *http.Request) { r.Header.Del("X-Tenant-Id") }, 400},
		"unknown tenant":            {"charge", func(r *http.Request) { r.Header.Set("X-Tenant-Id", "nope") }, 400},
		"timeout is no number":      {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "soon") }, 400},
		"timeout 0":                 {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "0") }, 400},
		"negative timeout":          {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "-5") }, 400},
		"endless timeout":           {"charge", func(r *http.Request) { r.Header.Set("X-Timeout-Ms", "4294967295") }, 400},
		"cost is no number":         {"charge", func(r *http.Request) { r.Header.Set("X-Cost", "NaN") }, 400},
		"no idempotency key":        {"reserve", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"non-idempotent with a key": {"charge", func(r *http.Request) { r.Header.Set("Idempotency-Key", "1") }, 400},
		"non-idempotent by GET":     {"charge", func(r *http.Request) { r.Method, r.Body, r.ContentLength = "GET", nil, 0 }, 400},
		"idempotent by POST":        {"lookup", func(r *http.Request) { r.Method = "POST" }, 400},
		"idempotent with a body": {"lookup", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1
		}, 400},
		"other method":        {"charge", func(r *http.Request) { r.Method = "PUT" }, 405},
		"other path":          {"charge", func(r *http.Request) { r.URL.Path = "/other" }, 404},
		"ready check by POST": {"charge", func(r *http.Request) { r.URL.Path = readyPath }, 404},
		"two ids":             {"charge", func(r *http.Request) { r.Header.Add("X-Request-ID", "2") }, 400},
		"endless id":          {"charge", func(r *http.Request) { r.Header.Set("X-Request-ID", strings.Repeat("1", 999)) }, 400},
		"two classes":         {"charge", func(r *http.Request) { r.Header.Add("X-Priority-Class", "lookup") }, 400},
		"two times":           {"charge", func(r *http.Request) { r.Header.Add("X-Timeout-Ms", "100") }, 400},
		"two keys":            {"reserve", func(r *http.Request) { r.Header.Add("Idempotency-Key", "2") }, 400},
		"body too large": {"charge", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBody+1))), maxBody+1
		}, 413},
		"chunked": {"charge", func(r *http.Request) { r.ContentLength = -1 }, 411},
	} {
		t.Run(name, func(t *testing.T) {
			req := sidecar.newRequest(test.class, time.Second)
			test.change(req)
			if got := sidecar.do(req); got.status != test.want || !got.connClosed {
				t.Errorf("%d %q, closed %v; want %d and closed", got.status, got.body, got.connClosed, test.want)
			}
		})
	}
	if n := server.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	req := sidecar.newRequest("charge", time.Second)
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBody))), maxBody
	if got := sidecar.do(req); got.status != 200 {
		t.Errorf("the largest body: %+v", got)
	}
	if got := sidecar.do(sidecar.newRequest("reserve", time.Second)); got.status != 200 {
		t.Errorf("a request with an idempotency key: %+v", got)
	}
}

// dial opens a connection for requests that no client library sends.
func (sidecar *testSidecar) dial() net.Conn {
	sidecar.t.Helper()
	conn, err := net.Dial("tcp", sidecar.Addr())
	if err != nil {
		sidecar.t.Fatal(err)
	}
	sidecar.t.Cleanup(func() { conn.Close() })
	setTestDeadline(sidecar.t, conn)
	return conn
}

// A request whose length can be read in two ways may hide another in its body. Neither is forwarded: there is one
// response, which never invites a retry, and the connection ends.
func TestRequestSmugglingIsRejected(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	const head = " HTTP/1.1\r\nHost: b\r\nX-Tenant-Id: kita\r\nX-Timeout-Ms: 900\r\n"
	const hidden = "GET /api" + head + "X-Priority-Class: lookup\r\nX-Request-ID: hidden\r\n\r\n"
	outer := func(version, framing, body string) string {
		return "POST /api" + strings.Replace(head, "HTTP/1.1", version, 1) +
			"X-Priority-Class: charge\r\nX-Request-ID: outer\r\n" + framing + "\r\n" + body
	}
	for name, text := range map[string]string{
		"chunks and a length":     outer("HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+hidden),
		"a length and chunks":     outer("HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"hidden in the length":    outer("HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 900\r\n", "0\r\n\r\n"+hidden),
		"chunks in HTTP/1.0":      outer("HTTP/1.0", "Connection: keep-alive\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+hidden),
		"another encoding":        outer("HTTP/1.1", "Transfer-Encoding: identity\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"an encoding with a tail": outer("HTTP/1.1", "Transfer-Encoding: chunked, x\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"a space in the name":     outer("HTTP/1.1", "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+hidden),
		"two lengths":             outer("HTTP/1.1", "Content-Length: 5\r\nContent-Length: 6\r\n", "0\r\n\r\n"+hidden),
		"a negative length":       outer("HTTP/1.1", "Content-Length: -5\r\n", "0\r\n\r\n"+hidden),
		"a huge length":           outer("HTTP/1.1", "Content-Length: 99999999999999999999\r\n", hidden),
		"60 MB":                   outer("HTTP/1.1", "Content-Length: 62914560\r\n", hidden),
		"behind a bad class":      strings.Replace(outer("HTTP/1.1", "Content-Length: 0\r\n", hidden), "charge", "none", 1),
		"behind another path":     strings.Replace(outer("HTTP/1.1", "Content-Length: 0\r\n", hidden), "/api", "/", 1),
		"a body for the check": "GET /health/ready HTTP/1.1\r\nHost: b\r\nContent-Length: " + fmt.Sprint(len(hidden)) +
			"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			conn := sidecar.dial()
			tryWrite(conn, text)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			discard(resp.Body)
			if resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503 {
				t.Errorf("answered %s", resp.Status)
			}
			if more, _ := io.ReadAll(reader); len(more) > 0 {
				t.Errorf("what followed was answered as well: %q", more)
			}
		})
	}
	if n := server.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}

// A request with the ID of another that is in flight, or was answered recently, is rejected as a conflict.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		<-release
		return serveOK(conn, r, body)
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	first, second := sidecar.newRequest("lookup", 2*time.Second), sidecar.newRequest("charge", 2*time.Second)
	second.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))
	pending := sidecar.doAsync(first)
	waitUntil(t, "the request at the server", func() bool { return server.requests.Load() == 1 })
	if got := sidecar.do(second); got.status != http.StatusConflict || !got.connClosed {
		t.Errorf("while the other is open: %+v", got)
	}
	close(release)
	if got := receiveWithin(t, "the answer", pending); got.status != 200 {
		t.Errorf("%+v", got)
	}
	again := sidecar.newRequest("charge", 2*time.Second)
	again.Header.Set("X-Request-ID", first.Header.Get("X-Request-ID"))
	if got := sidecar.do(again); got.status != http.StatusConflict {
		t.Errorf("right after: %+v", got)
	}
	if requests := server.requests.Load(); requests != 1 {
		t.Errorf("%d requests reached the server", requests)
	}
}

// Request IDs are forgotten some time after their responses, so that they do not fill the memory.
func TestRequestIDsExpire(t *testing.T) {
	ids := newRecentRequestIDs()
	claim := func(id string, want bool) uint64 {
		t.Helper()
		hash, ok := ids.claim(id)
		if ok != want {
			t.Errorf("%s: %v", id, ok)
		}
		return hash
	}
	hash, open := claim("a", true), claim("open", true)
	ids.release(hash)
	ids.rotatedAt = ids.rotatedAt.Add(-requestIDRetention)
	claim("a", false)
	ids.rotatedAt = ids.rotatedAt.Add(-requestIDRetention)
	ids.release(claim("a", true))
	ids.rotatedAt = ids.rotatedAt.Add(-3 * requestIDRetention)
	claim("a", true)
	claim("open", false)
	ids.release(open)
	if retained := len(ids.inFlight) + len(ids.current) + len(ids.previous); retained != 2 {
		t.Errorf("%d IDs are retained", retained)
	}
}

// Many clients that send nothing, or a part of a request, shut no other client out, and are disconnected.
func TestSilentClientsAreEvicted(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	document["limits"] = map[string]any{"sockets": minSockets}
	sidecar := startSidecar(t, document)
	persistent := sidecar.dial()
	requestOnPersistent := func() int {
		req := sidecar.newRequest("charge", 2*time.Second)
		if err := req.Write(persistent); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(persistent), req)
		if err != nil {
			t.Fatal("on the good client's connection:", err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	requestOnPersistent()
	startedAt := time.Now()
	var silent []net.Conn
	for i := range 3 * minSockets {
		conn := sidecar.dial()
		tryWrite(conn, "POST /api HTTP/1.1\r\nHost:"[:i%20])
		silent = append(silent, conn)
		if i%50 == 0 {
			if status := requestOnPersistent(); status != 200 {
				t.Errorf("beside %d silent ones: %d", i, status)
			}
		}
	}
	if got := sidecar.do(sidecar.newRequest("charge", 2*time.Second)); got.status != 200 {
		t.Errorf("on a new connection: %+v", got)
	}
	if open := sidecar.frontend.listener.openCount(); open > minSockets/2 {
		t.Errorf("%d connections are open", open)
	}
	for _, conn := range silent {
		if _, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a silent connection stays open")
		}
	}
	if elapsed := time.Since(startedAt); elapsed > 6*time.Second { // headerTimeout on a busy machine; the idle timeout is much longer
		t.Errorf("the last of the silent ones was closed after %v", elapsed)
	}
}

// Clients that use a connection once and keep it open would use up the sockets of the application. The longest idle
// connections are closed long before their timeout; those in use stay open.
func TestConnectionsUsedOnceAreEvicted(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	const sockets, third = 240, 80
	document["limits"] = map[string]any{"sockets": sockets}
	sidecar := startSidecar(t, document)
	busy := sidecar.dial()
	requestOn := func(conn net.Conn) {
		t.Helper()
		req := sidecar.newRequest("charge", 2*time.Second)
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	var usedOnce []net.Conn
	for range 3 * third {
		requestOn(busy)
		usedOnce = append(usedOnce, sidecar.dial())
		requestOn(usedOnce[len(usedOnce)-1])
	}
	if open := sidecar.frontend.listener.openCount(); open >= third {
		t.Errorf("%d connections are open", open)
	}
	for _, conn := range usedOnce[:2*third] { // an end of the connection, not a timeout
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a connection used once stays open")
		}
	}
	requestOn(busy)
}

// A client that sends a part of a request is disconnected in time, and so is one that sends a request and nothing
// more.
func TestSlowClientsAreDisconnected(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	var wire bytes.Buffer
	if err := sidecar.newRequest("charge", time.Second).Write(&wire); err != nil {
		t.Fatal(err)
	}
	requestText := wire.String()
	for name, text := range map[string]string{
		"nothing": "", "partial header": requestText[:60], "partial body": requestText[:len(requestText)-3], "one request": requestText,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := sidecar.dial()
			startedAt := time.Now()
			tryWrite(conn, text)
			got, err := io.ReadAll(conn)
			elapsed := time.Since(startedAt)
			if err != nil || elapsed > 3*time.Second {
				t.Errorf("ended after %v with %v", elapsed, err)
			}
			if answered := bytes.HasPrefix(got, []byte("HTTP/1.1 200")); answered != (text == requestText) {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// Without X-Timeout-Ms the timeout is the class's deadline.
func TestDefaultTimeoutIsClassDeadline(t *testing.T) {
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address()).replaceSetting(`"hard_limit_ms": 2500`, `"hard_limit_ms": 100`).
		replaceSetting(`"on_time_ms": 750`, `"on_time_ms": 100`))
	req := sidecar.newRequest("lookup", time.Second)
	req.Header.Del("X-Timeout-Ms")
	if got := sidecar.do(req); got.status != statusRejected || got.elapsed > 900*time.Millisecond {
		t.Errorf("%+v, want a refusal after 100 ms", got)
	}
}

// Requests beyond the limit in flight are rejected at once; those within it are served.
func TestOverloadIsRejected(t *testing.T) {
	release := make(chan struct{})
	server := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
		<-release
		return serveOK(c, r, body)
	})
	c := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	c["limits"] = map[string]any{"sockets": minSockets, "memory_mb": 64}
	c.replaceSetting(`"open_cap": 20000`, `"open_cap": 5`)
	sidecar := startSidecar(t, c)
	var pending []<-chan clientResult
	for range 5 {
		pending = append(pending, sidecar.doAsync(sidecar.newRequest("reserve", time.Second)))
	}
	waitUntil(t, "five requests at the server", func() bool { return server.requests.Load() == 5 })
	for range 3 {
		if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != statusRejected || got.elapsed > 500*time.Millisecond {
			t.Errorf("%+v, want a refusal at once", got)
		}
	}
	close(release)
	for _, response := range pending {
		if got := receiveWithin(t, "an answer", response); got.status != 200 {
			t.Errorf("%+v", got)
		}
	}
}

// Where there are many client connections the idle ones are closed, so that they never shut others out.
func TestManyClientConnectionsAreNotRetained(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	document["limits"] = map[string]any{"sockets": minSockets}
	sidecar := startSidecar(t, document)
	for i := range 2 * minSockets {
		conn, err := net.Dial("tcp", sidecar.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		setTestDeadline(t, conn)
		req := sidecar.newRequest("charge", time.Second)
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("connection %d: %s", i, resp.Status)
		}
	}
}

// A client that does not read its responses is disconnected.
func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	body := strings.Repeat("x", maxBody)
	server := newBackend(t, "a", respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.frontend.writeTimeout = 100 * time.Millisecond
	conn, err := net.Dial("tcp", sidecar.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	setReadBuffer(t, conn, 4096)
	setTestDeadline(t, conn)
	for i := range int64(1000) { // more responses than the socket buffers hold, each requested after the previous one is made
		if err := sidecar.newRequest("lookup", time.Second).Write(conn); err != nil {
			break
		}
		waitUntil(t, "the request at the server, or an end", func() bool {
			return server.requests.Load() > i || sidecar.frontend.listener.openCount() == 0
		})
	}
	waitUntil(t, "the connection to end", func() bool {
		return sidecar.frontend.listener.openCount() == 0 && sidecar.frontend.inFlight.Load() == 0
	})
}

// A balancer that never answers is a bug, but the client gets a failure in time.
func TestBalancerThatNeverAnswers(t *testing.T) {
	config, err := newConfigDocument("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	posted := make(chan loopEvent, 4)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := &frontend{
		config: config, post: func(event loopEvent) { posted <- event }, listener: newClientListener(listener, 10, 10), requestIDs: newRecentRequestIDs(),
		bodyMemory: &byteBudget{}, maxInFlight: 10, writeTimeout: testTimeout,
	}
	httpServer := front.httpServer()
	serveUntilCleanup(t, httpServer, front.listener)
	req, err := http.NewRequest("GET", "http://"+listener.Addr().String()+apiPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", "1")
	req.Header.Set("X-Priority-Class", "lookup")
	req.Header.Set("X-Tenant-Id", "kita")
	req.Header.Set("X-Timeout-Ms", "50")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != statusTimedOut {
		t.Errorf("%s", resp.Status)
	}
	arrived := (<-posted).(requestArrived).call
	if disconnected, ok := (<-posted).(clientDisconnected); !ok || disconnected.call != arrived || arrived.markAnswered() {
		t.Error("the event loop is not told that the request has ended")
	}
	http.DefaultClient.CloseIdleConnections()
}

// Retry-After is in seconds.
func TestRetryAfterIsInSeconds(t *testing.T) {
	recorder := httptest.NewRecorder()
	writeResponse(recorder, response{status: statusRejected, retryAfterMS: 1250})
	if got := recorder.Header().Get("Retry-After"); got != "1.250" {
		t.Errorf("Retry-After: %q", got)
	}
}

// After SIGTERM requests are served on open and new connections until the drain deadline, as the application goes on
// using what is open. Then connections end with their responses, and the address can be bound again.
func TestDrainServesUntilDeadline(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		if r.URL.RawQuery == "slow" {
			arrived <- struct{}{}
			<-release
		}
		return serveOK(conn, r, body)
	})
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	sidecar := startSidecar(t, document)
	sidecar.serveWindow = time.Second
	sidecar.do(sidecar.newRequest("charge", time.Second)) // leaves an idle connection
	slow := sidecar.newRequest("lookup", 2500*time.Millisecond)
	slow.URL.RawQuery = "slow"
	pending := sidecar.doAsync(slow)
	receiveWithin(t, "the slow request", arrived)

	sidecar.terminate()
	waitUntil(t, "the drain", func() bool { return sidecar.frontend.drainDeadline.Load() != nil })
	for range 3 {
		if r := sidecar.do(sidecar.newRequest("charge", time.Second)); r.status != 200 || r.connClosed {
			t.Errorf("on an open connection while draining: %+v", r)
		}
	}
	newClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: false}}
	resp, err := newClient.Do(sidecar.newRequest("charge", time.Second))
	if err != nil {
		t.Fatal("on a new connection while draining:", err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("on a new connection while draining: %s", resp.Status)
	}
	newClient.CloseIdleConnections()
	waitUntil(t, "connections to be closed", sidecar.frontend.closeAfterResponse.Load)
	close(release)
	if r := receiveWithin(t, "the slow answer", pending); r.status != 200 {
		t.Errorf("%+v", r)
	}
	if err := receiveWithin(t, "the end", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil

	document["listen"] = sidecar.Addr()
	again := startSidecar(t, document)
	if r := again.do(again.newRequest("charge", time.Second)); r.status != 200 {
		t.Errorf("after a restart: %+v", r)
	}
}

// Clients that go on sending for a while after SIGTERM lose no request.
func TestDrainUnderLoad(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.serveWindow = testTimeout
	stop := make(chan struct{})
	served := make(chan int)
	for range 8 {
		go func() {
			count := 0
			for {
				select {
				case <-stop:
					served <- count
					return
				default:
				}
				if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != 200 {
					t.Errorf("%+v", got)
				}
				count++
			}
		}()
	}
	waitUntil(t, "some load", func() bool { return server.requests.Load() > 50 })
	sidecar.terminate()
	waitUntil(t, "the drain", func() bool { return sidecar.frontend.drainDeadline.Load() != nil })
	before := server.requests.Load()
	waitUntil(t, "requests during the drain", func() bool { return server.requests.Load() > before+50 })
	close(stop)
	for range 8 {
		if count := receiveWithin(t, "a client", served); count == 0 {
			t.Error("a client was served nothing")
		}
	}
	sidecar.client.CloseIdleConnections() // without connections the drain need not wait
	if err := receiveWithin(t, "the end", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
}

// Connections without a request, or with a part of one, do not delay a drain. A request in flight is answered before
// the process may be killed.
func TestDrainWithIncompleteRequests(t *testing.T) {
	server := newBackend(t, "a", func(net.Conn, *http.Request, string) bool { select {} })
	server.Close() // nobody accepts: the request waits at the balancer
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.serveWindow = time.Second
	for _, text := range []string{"", "GET /api HTT"} {
		conn, err := net.Dial("tcp", sidecar.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		tryWrite(conn, text)
	}
	pending := sidecar.doAsync(sidecar.newRequest("lookup", 800*time.Millisecond))
	waitUntil(t, "the connections", func() bool {
		return sidecar.frontend.listener.openCount() == 3 && sidecar.frontend.inFlight.Load() == 1
	})
	startedAt := time.Now()
	sidecar.terminate()
	waitUntil(t, "the drain", func() bool { return sidecar.frontend.drainDeadline.Load() != nil })
	if got := receiveWithin(t, "the answer", pending); got.status == 0 {
		t.Error("the request was dropped")
	}
	err := receiveWithin(t, "the end", sidecar.done)
	if elapsed := time.Since(startedAt); err != nil || elapsed > 2500*time.Millisecond {
		t.Errorf("%v after %v", err, elapsed)
	}
	sidecar.done <- nil
}

// SIGKILL comes 3.7 s after SIGTERM at the latest, however long a class's deadline is, and the last response is due
// before.
func TestDrainEndsBeforeKill(t *testing.T) {
	for _, test := range []struct {
		deadline string
		kill     time.Duration
	}{{"2000", 2700 * time.Millisecond}, {"3000", 3700 * time.Millisecond}, {"5000", 3700 * time.Millisecond}} {
		document := newConfigDocument("127.0.0.1:1").replaceSetting(`"hard_limit_ms": 2500`, `"hard_limit_ms": `+test.deadline)
		config, err := document.load(t)
		if err != nil {
			t.Fatal(err)
		}
		instance, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		if err := instance.frontend.listener.Close(); err != nil {
			t.Error(err)
		}
		if end := instance.serveWindow + finalResponseWindow; end > test.kill-shutdownMargin || end < test.kill-500*time.Millisecond {
			t.Errorf("deadline %s ms: the last answer is due %v after SIGTERM, the kill %v", test.deadline, end, test.kill)
		}
	}
}

// A request that came before SIGTERM and has more time left than the process is answered before the end.
func TestDrainAnswersLongRequests(t *testing.T) {
	arrived := make(chan struct{}, 1)
	server := newBackend(t, "a", func(conn net.Conn, _ *http.Request, _ string) bool {
		arrived <- struct{}{}
		discard(conn)
		return false
	})
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.serveWindow = 100 * time.Millisecond
	pending := sidecar.doAsync(sidecar.newRequest("charge", testTimeout))
	receiveWithin(t, "the request", arrived)
	sidecar.terminate()
	if response := receiveWithin(t, "its answer", pending); response.status != statusTimedOut {
		t.Errorf("%+v, want %d", response, statusTimedOut)
	}
	if err := receiveWithin(t, "the end", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
}

// Concurrent requests, some of whose clients disconnect, leave no state behind.
func TestNoStateLeaksAfterRequests(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	secondServer := newBackend(t, "b", respondWith("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false))
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint, secondServer.endpoint))
	var pending []<-chan clientResult
	for i := range 60 {
		req := sidecar.newRequest([]string{"lookup", "reserve", "charge"}[i%3], time.Second)
		if i%5 == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			t.Cleanup(cancel)
			if resp, err := sidecar.client.Do(req.WithContext(ctx)); err == nil {
				resp.Body.Close()
			}
			continue
		}
		pending = append(pending, sidecar.doAsync(req))
	}
	for _, response := range pending {
		if got := receiveWithin(t, "an answer", response); got.status != 200 && got.status != statusRejected {
			t.Errorf("%+v", got)
		}
	}
	waitUntil(t, "all requests to be over", func() bool { return sidecar.frontend.inFlight.Load() == 0 })
	sidecar.terminate()
	if err := receiveWithin(t, "the end", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
	if remaining := len(sidecar.loop.calls.byID); remaining != 0 {
		t.Errorf("%d requests are still in the table", remaining)
	}
	if sidecar.loop.pool.openConns != 0 {
		t.Errorf("%d connections are counted as open", sidecar.loop.pool.openConns)
	}
}

// New fails with an error that names the address if that is in use.
func TestAddressInUse(t *testing.T) {
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address()))
	document := newConfigDocument("127.0.0.1:1")
	document["listen"] = sidecar.Addr()
	config, err := document.load(t)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(config); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("error %v", err)
	}
}

func TestInvalidConfigurations(t *testing.T) {
	for name, test := range map[string]struct {
		change func(configDocument)
		want   string
	}{
		"listen":         {func(document configDocument) { document["listen"] = "here" }, "listen"},
		"discovery":      {func(document configDocument) { delete(document, "discovery") }, "discovery"},
		"seed":           {func(document configDocument) { document["seed"] = "xyz" }, "seed"},
		"no settings":    {func(document configDocument) { delete(document, "settings") }, "no settings"},
		"no classes":     {func(document configDocument) { document["settings"] = map[string]any{} }, "no classes"},
		"unknown effect": {func(document configDocument) { document.replaceSetting("non_idempotent", "other") }, "effect"},
		"class names":    {func(document configDocument) { document.replaceSetting(`"name": "charge"`, `"name": "lookup"`) }, "classes"},
		"tenant names":   {func(document configDocument) { document.replaceSetting(`"name": "kita"`, `"name": ""`) }, "tenants"},
		"sockets":        {func(document configDocument) { document["limits"] = map[string]any{"sockets": 10} }, "sockets"},
		"wrong type":     {func(document configDocument) { document["limits"] = 3 }, "limits"},
	} {
		t.Run(name, func(t *testing.T) {
			document := newConfigDocument("127.0.0.1:1")
			test.change(document)
			_, err := document.load(t)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q, want one line that names %s", fmt.Sprint(err), test.want)
			}
		})
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("no error without NODE_CONFIG")
	}
}

// The environment overrides the file.
func TestEnvironmentOverridesFile(t *testing.T) {
	path := newConfigDocument("127.0.0.1:1").writeFile(t)
	env := map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:2", "NODE_DISCOVERY": "127.0.0.1:3"}
	config, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n7" || config.ListenAddress != "127.0.0.1:2" || config.DiscoveryAddress != "127.0.0.1:3" {
		t.Errorf("%+v", config)
	}
}
