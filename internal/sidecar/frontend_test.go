package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

// A client that sends nothing, a part of a request, or one request and nothing more, is disconnected within 3 s.
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
				t.Errorf("connection ended after %v with %v", elapsed, err)
			}
			if answered := bytes.HasPrefix(got, []byte("HTTP/1.1 200")); answered != (text == requestText) {
				t.Errorf("got response %q", got)
			}
		})
	}
}

// Without X-Timeout-Ms the timeout is the deadline of the class.
func TestDefaultTimeoutIsClassDeadline(t *testing.T) {
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address()).replaceSetting(`"hard_limit_ms": 2500`, `"hard_limit_ms": 100`).
		replaceSetting(`"on_time_ms": 750`, `"on_time_ms": 100`))
	req := sidecar.newRequest("lookup", time.Second)
	req.Header.Del("X-Timeout-Ms")
	if got := sidecar.do(req); got.status != statusRejected || got.elapsed > 900*time.Millisecond {
		t.Errorf("%+v, want a rejection after 100 ms", got)
	}
}

// Requests above the limit on requests in flight are rejected at once. Requests within the limit are served.
func TestOverloadIsRejected(t *testing.T) {
	release := make(chan struct{})
	server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		<-release
		return serveOK(conn, r, body)
	})
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	document["limits"] = map[string]any{"sockets": minSockets, "memory_mb": 64}
	document.replaceSetting(`"open_cap": 20000`, `"open_cap": 5`)
	sidecar := startSidecar(t, document)
	var pending []<-chan clientResult
	for range 5 {
		pending = append(pending, sidecar.doAsync(sidecar.newRequest("reserve", time.Second)))
	}
	waitUntil(t, "five requests at the server", func() bool { return server.requests.Load() == 5 })
	for range 3 {
		if got := sidecar.do(sidecar.newRequest("charge", time.Second)); got.status != statusRejected || got.elapsed > 500*time.Millisecond {
			t.Errorf("%+v, want a rejection at once", got)
		}
	}
	close(release)
	for _, response := range pending {
		if got := receiveWithin(t, "a response", response); got.status != 200 {
			t.Errorf("client got %+v", got)
		}
	}
}

// A client that does not read its responses is disconnected.
func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
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
	for i := range int64(1000) { // more responses than the socket buffers hold, requested one after the other
		if err := sidecar.newRequest("lookup", time.Second).Write(conn); err != nil {
			break
		}
		waitUntil(t, "the request at the server, or the end of the connection", func() bool {
			return server.requests.Load() > i || sidecar.frontend.listener.openCount() == 0
		})
	}
	waitUntil(t, "the connection to end", func() bool {
		return sidecar.frontend.listener.openCount() == 0 && sidecar.frontend.inFlight.Load() == 0
	})
}

// If the balancer never answers a request, which is a bug, the client still gets a failure soon after its deadline.
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
		config: config, post: func(event loopEvent) { posted <- event }, listener: newClientListener(listener, 10, 10), requestIDs: newRecentRequestIDs(1000),
		requestMemory: newByteBudget(1 << 30), maxInFlight: 10, writeTimeout: testTimeout,
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
		t.Errorf("got status %s", resp.Status)
	}
	arrived := (<-posted).(requestArrived).call
	if disconnected, ok := (<-posted).(clientDisconnected); !ok || disconnected.call != arrived || arrived.markAnswered() {
		t.Error("the event loop is not notified that the request has ended")
	}
	http.DefaultClient.CloseIdleConnections()
}

func TestRetryAfterIsInSeconds(t *testing.T) {
	recorder := httptest.NewRecorder()
	writeResponse(recorder, httptest.NewRequest(http.MethodGet, apiPath, http.NoBody), response{status: statusRejected, retryAfterMS: 1250})
	if got := recorder.Header().Get("Retry-After"); got != "1.250" {
		t.Errorf("Retry-After: %q", got)
	}
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
		if got := receiveWithin(t, "a response", response); got.status != 200 && got.status != statusRejected {
			t.Errorf("client got %+v", got)
		}
	}
	waitUntil(t, "all requests to end", func() bool { return sidecar.frontend.inFlight.Load() == 0 })
	sidecar.terminate()
	if err := receiveWithin(t, "the end of the sidecar", sidecar.done); err != nil {
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

// If the listen address is in use, New returns an error that names the setting.
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
