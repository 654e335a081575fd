package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// wireText is a request as it is written to a connection.
func (sidecar *testSidecar) wireText(req *http.Request) string {
	sidecar.t.Helper()
	var buffer bytes.Buffer
	if err := req.Write(&buffer); err != nil {
		sidecar.t.Fatal(err)
	}
	return buffer.String()
}

// writeTo writes text to a connection.
func writeTo(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads one response and returns its status; 0: the connection ended without a response.
func readStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("the response is incomplete: %v", err)
	}
	return resp.StatusCode
}

// blockingBackend is a server that reports each request and responds when the test releases it.
type blockingBackend struct {
	*backend
	arrivals chan string   // the query of each request
	release  chan struct{} // one for each response
}

func newBlockingBackend(t *testing.T, uid string, serve serveFunc) *blockingBackend {
	server := &blockingBackend{arrivals: make(chan string, 100), release: make(chan struct{}, 100)}
	done := make(chan struct{})
	server.backend = newBackend(t, uid, func(conn net.Conn, r *http.Request, body string) bool {
		server.arrivals <- r.URL.RawQuery
		select {
		case <-server.release:
			return serve(conn, r, body)
		case <-done:
			return false
		}
	})
	t.Cleanup(func() { close(done) })
	return server
}

// A client that has disconnected, or has only closed its sending side, gets no response that no server made.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	server := newBlockingBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	conn := sidecar.dial()
	writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", 2*time.Second)))
	receiveWithin(t, "the request", server.arrivals)
	closeWrite(t, conn)
	if got, err := io.ReadAll(conn); len(got) > 0 || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// newTestFrontend makes a frontend whose events the test handles.
func newTestFrontend(t *testing.T, maxConns, maxPersistent int, post func(loopEvent)) *frontend {
	t.Helper()
	config, err := newConfigDocument("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	frontend := &frontend{
		config: config, post: post, listener: newClientListener(listener, maxConns, maxPersistent), requestIDs: newRecentRequestIDs(), bodyMemory: &byteBudget{},
		maxInFlight: 10, writeTimeout: testTimeout, drainExpired: make(chan struct{}),
	}
	frontend.bodyMemory.release(1 << 20)
	t.Cleanup(func() { listener.Close() })
	return frontend
}

// dialAndAccept connects a client and accepts its connection.
func (l *clientListener) dialAndAccept(t *testing.T) (client net.Conn, conn *clientConn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	setTestDeadline(t, client)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted.(*clientConn)
}

// locked calls a function under the lock of the listener.
func (l *clientListener) locked(critical func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	critical()
}

// awaitIdle waits until the only connection is between requests and its reader waits for more.
func (l *clientListener) awaitIdle(t *testing.T) {
	t.Helper()
	waitUntil(t, "an idle connection", func() bool {
		isIdle := false
		l.locked(func() {
			for conn := range l.conns {
				isIdle = conn.phase == phaseIdle && conn.readerWaiting
			}
		})
		return isIdle
	})
}

// A request that net/http has read at the moment when idle connections are shut down is answered: the shutdown comes
// between the read and the handler.
func TestRequestReadDuringCloseIsAnswered(t *testing.T) {
	front := newTestFrontend(t, 10, 10, func(event loopEvent) {
		if arrived, ok := event.(requestArrived); ok && arrived.call.markAnswered() {
			arrived.call.response <- response{status: 200}
		}
	})
	httpServer := front.httpServer()
	onConnState := httpServer.ConnState
	httpServer.ConnState = func(netConn net.Conn, state http.ConnState) {
		if state == http.StateActive {
			front.listener.shutdownIdle()
		}
		onConnState(netConn, state)
	}
	serveUntilCleanup(t, httpServer, front.listener)
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	conn := sidecar.dial()
	reader := bufio.NewReader(conn)
	for i := range 2 { // on a new connection, and on an idle one
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("charge", time.Second)))
		if got := readStatus(t, reader); got != 200 {
			t.Fatalf("request %d: %d", i, got)
		}
	}
}

// A connection from which a request was read, or a part of one within its grace, is not evicted. One whose part is
// overdue, or that is idle, is. Nothing is read from an evicted connection.
func TestReadAndEvictionAreMutuallyExclusive(t *testing.T) {
	const partial = "GET /api HTT"
	for name, test := range map[string]struct {
		phase   connPhase
		read    string // before the reader waits again
		wait    bool   // the reader waits for more
		age     time.Duration
		evicted bool
	}{
		"not read yet":                  {phaseNew, "", false, 0, false},
		"complete request read":         {phaseNew, partial, false, time.Hour, false},
		"complete request read, reused": {phaseIdle, partial, false, time.Hour, false},
		"partial request":               {phaseNew, partial, true, 0, false},
		"partial request, reused":       {phaseIdle, partial, true, 0, false},
		"overdue partial request":       {phaseNew, partial, true, partialRequestGrace, true},
		"silent":                        {phaseNew, "", true, 0, true},
		"idle":                          {phaseIdle, "", true, 0, true},
		"request active":                {phaseActive, "", true, time.Hour, false},
		"last response written":         {phaseClosing, "", false, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			listener := newTestFrontend(t, 10, 0, nil).listener
			client, conn := listener.dialAndAccept(t)
			listener.locked(func() { conn.phase = test.phase })
			if test.read != "" {
				writeTo(t, client, test.read)
				if n, err := conn.Read(make([]byte, 100)); n != len(test.read) || err != nil {
					t.Fatal(n, err)
				}
			}
			read := make(chan error, 1)
			if test.wait {
				go func() {
					_, err := conn.Read(make([]byte, 100))
					read <- err
				}()
				waiting := false
				for !waiting {
					listener.locked(func() { waiting = conn.readerWaiting })
				}
			}
			var evicted *clientConn
			listener.locked(func() {
				conn.phaseSince = time.Now().Add(time.Hour) // however long the test takes, the grace of a partial request is not over
				if test.age > 0 {
					conn.phaseSince = time.Now().Add(-test.age)
				}
				evicted = listener.evictOne()
				if evicted == nil && listener.evictExcessPersistent() != nil {
					t.Error("trimmed")
				}
			})
			if (evicted == conn) != test.evicted {
				t.Errorf("evicted: %v", evicted == conn)
			}
			if !test.evicted {
				listener.shutdownIdle()
				if _, err := conn.Write([]byte("x")); err != nil {
					t.Error("closed during a drain:", err)
				}
			}
			writeTo(t, client, "x") // before the connection is closed
			if !test.wait {
				go func() {
					_, err := conn.Read(make([]byte, 100))
					read <- err
				}()
			}
			if err := receiveWithin(t, "the read", read); (err == nil) == test.evicted {
				t.Errorf("read: %v", err)
			}
		})
	}
}

// Nothing is read from a connection that was shut down, although its reader runs only when a request is there.
func TestNoReadAfterShutdownOfIdle(t *testing.T) {
	listener := newTestFrontend(t, 10, 10, nil).listener
	client, conn := listener.dialAndAccept(t)
	listener.locked(func() { conn.phase, conn.readerWaiting = phaseIdle, true })
	listener.shutdownIdle()
	writeTo(t, client, "GET")
	waitUntil(t, "the bytes", func() bool { return !openAndEmpty(conn.TCPConn) })
	if n, err := conn.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// A request that arrives just before the idle timeout is read, although the timeout is over when the reader runs.
func TestRequestAtIdleTimeoutIsRead(t *testing.T) {
	listener := newTestFrontend(t, 10, 10, nil).listener
	client, conn := listener.dialAndAccept(t)
	writeTo(t, client, "GET")
	waitUntil(t, "the bytes", func() bool { return !openAndEmpty(conn.TCPConn) })
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 10)
	if n, err := conn.Read(got); n != 3 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	var netErr net.Error
	if n, err := conn.Read(got); n != 0 || !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Errorf("with nothing there: %d bytes, %v", n, err)
	}
}

// The disconnect of a client is also noticed behind bytes that it has pipelined: its request ends at once, not at its
// deadline. A client that pipelines too much gets status 400.
func TestPipeliningClientDisconnects(t *testing.T) {
	server := newBlockingBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	for name, pipelined := range map[string]string{
		"nothing": "", "a byte": "G", "a request": sidecar.wireText(sidecar.newRequest("lookup", time.Minute)),
		"half of the limit": strings.Repeat("x", 4000), "more than the limit": strings.Repeat("x", 5000), "much more": strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			before := server.requests.Load()
			conn := sidecar.dial()
			writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", time.Minute)))
			receiveWithin(t, "the request", server.arrivals)
			tryWrite(conn, pipelined) // it may be disconnected while it sends
			if len(pipelined) > maxPipelined {
				if got := readStatus(t, bufio.NewReader(conn)); got != 400 {
					t.Errorf("answered %d", got)
				}
			}
			conn.Close()
			waitUntil(t, "the request to be over", func() bool {
				return sidecar.frontend.inFlight.Load() == 0 && sidecar.frontend.listener.openCount() == 0
			})
			server.release <- struct{}{} // the client has gone
			if forwarded := server.requests.Load() - before; forwarded != 1 {
				t.Errorf("%d requests were forwarded", forwarded)
			}
		})
	}
}

// Pipelined requests are served one after the other.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	server := newBlockingBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	conn := sidecar.dial()
	reader := bufio.NewReader(conn)
	sendRequest := func(class string) { writeTo(t, conn, sidecar.wireText(sidecar.newRequest(class, testTimeout))) }
	sendRequest("lookup")
	receiveWithin(t, "the first request", server.arrivals)
	sendRequest("charge")
	sendRequest("reserve")
	for i := range 3 {
		server.release <- struct{}{}
		if got := readStatus(t, reader); got != 200 {
			t.Errorf("answer %d: %d", i, got)
		}
	}
}

// A request that net/http has buffered is not forwarded if its client disconnects after the previous response.
func TestBufferedRequestOfDisconnectedClient(t *testing.T) {
	arrived := make(chan struct{}, 10)
	front := newTestFrontend(t, 10, 10, func(event loopEvent) {
		if arrival, ok := event.(requestArrived); ok && arrival.call.markAnswered() {
			arrived <- struct{}{}
			arrival.call.response <- response{status: 200}
		}
	})
	httpServer := front.httpServer()
	onConnState := httpServer.ConnState
	var client net.Conn
	activations := 0
	closed := make(chan struct{})
	httpServer.ConnState = func(netConn net.Conn, state http.ConnState) {
		onConnState(netConn, state)
		switch state {
		case http.StateActive:
			if activations++; activations == 2 {
				closeWrite(t, client)
				waitUntil(t, "its end", func() bool { return errors.Is(peekRead(netConn.(*clientConn).rawConn), io.EOF) })
			}
		case http.StateClosed:
			close(closed)
		}
	}
	serveUntilCleanup(t, httpServer, front.listener)
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	client = sidecar.dial()
	writeTo(t, client, sidecar.wireText(sidecar.newRequest("lookup", time.Second))+sidecar.wireText(sidecar.newRequest("lookup", time.Second)))
	receiveWithin(t, "the end", closed)
	if activations != 2 || len(arrived) != 1 {
		t.Errorf("%d requests were read, %d forwarded", activations, len(arrived))
	}
}

// For a client that disconnects before its first attempt, or between two, no further attempt is made, whatever
// happens afterwards.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for name, beforeFirstAttempt := range map[string]bool{"waiting for its first attempt": true, "between two attempts": false} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int64 // for the client that disconnects, the only one with GET
			arrivals, release := make(chan struct{}, 10), make(chan struct{})
			serve := func(conn net.Conn, r *http.Request, body string) bool {
				if r.Method != http.MethodGet {
					return serveOK(conn, r, body)
				}
				attempts.Add(1)
				arrivals <- struct{}{}
				<-release
				return respondWith("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true)(conn, r, body)
			}
			registry := newFakeRegistry(t)
			firstServer, secondServer := newBackend(t, "a", serve), newBackend(t, "b", serve)
			known, want := []endpoint{firstServer.endpoint}, int64(1)
			if beforeFirstAttempt {
				known, want = nil, 0
			}
			sidecar := startSidecar(t, newConfigDocument(registry.address(), known...))
			conn := sidecar.dial()
			writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", time.Minute)))
			if beforeFirstAttempt {
				waitUntil(t, "the request", func() bool { return sidecar.frontend.inFlight.Load() == 1 })
			} else {
				receiveWithin(t, "the request", arrivals)
			}
			conn.Close()
			waitUntil(t, "the request to be over", func() bool { return sidecar.frontend.inFlight.Load() == 0 })
			watch := receiveWithin(t, "the watch", registry.calls)
			watch.sendList(t, endpointList{Revision: 2, Complete: true, Endpoints: []endpoint{firstServer.endpoint, secondServer.endpoint}})
			serveOne := func() bool {
				sidecar.do(sidecar.newRequest("charge", 2*time.Second))
				return secondServer.requests.Load() > attempts.Load()
			}
			waitUntil(t, "a request on the new list", serveOne)
			close(release)
			for range 20 { // in this time the outcome would lead to another attempt
				serveOne()
			}
			if attempted := attempts.Load(); attempted != want {
				t.Errorf("%d attempts for the disconnected client, want %d", attempted, want)
			}
		})
	}
}

// A last response arrives completely even if its client reads late and has sent more, which is never read.
func TestFinalResponseSurvivesUnreadBytes(t *testing.T) {
	body := strings.Repeat("x", maxBody)
	server := newBackend(t, "a", respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) { sidecar.frontend.listener.lingerTimeout = testTimeout })
	conn := sidecar.dial()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil { // so that responses stay buffered at the sidecar
		t.Fatal(err)
	}
	malformedRequest := sidecar.newRequest("charge", time.Second)
	malformedRequest.Header.Set("X-Priority-Class", "none")
	for range 2 {
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
	}
	waitUntil(t, "the answers", func() bool { return server.requests.Load() == 2 && sidecar.frontend.inFlight.Load() == 0 })
	sidecar.frontend.listener.awaitIdle(t)
	writeTo(t, conn, sidecar.wireText(malformedRequest)+strings.Repeat("x", 10<<10))
	waitUntil(t, "the end", func() bool {
		phase := phaseActive
		sidecar.frontend.listener.locked(func() {
			for conn := range sidecar.frontend.listener.conns {
				if phase = conn.phase; !conn.readClosed {
					phase = phaseActive
				}
			}
		})
		return phase == phaseClosing
	})
	setReadBuffer(t, conn, 1<<20)
	reader := bufio.NewReader(conn)
	for i, want := range []int{200, 200, 400, 0} {
		if got := readStatus(t, reader); got != want {
			t.Errorf("answer %d: %d, want %d", i, got, want)
		}
	}
	sidecar.terminate()
	if err := receiveWithin(t, "the end, which waits for no linger", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
}

// A connection with an oversized header is evictable once its response is written, although net/http keeps it open
// for a while.
func TestOversizedHeaderConnectionIsEvictable(t *testing.T) {
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address()), func(sidecar *Sidecar) { sidecar.frontend.listener.lingerTimeout = 0 })
	conn := sidecar.dial()
	writeTo(t, conn, "GET /api HTTP/1.1\r\nHost: b\r\nX: "+strings.Repeat("x", 2*maxRequestHeader))
	if got := readStatus(t, bufio.NewReader(conn)); got != 431 {
		t.Errorf("answered %d", got)
	}
	waitUntil(t, "room", func() bool {
		evicted := false
		sidecar.frontend.listener.locked(func() {
			if len(sidecar.frontend.listener.conns) == 0 {
				t.Fatal("it was closed without being evictable before")
			}
			evicted = sidecar.frontend.listener.evictOne() != nil
		})
		return evicted
	})
}

// Small writes are sent at once, also where the peer acknowledges late.
func TestNagleIsDisabled(t *testing.T) {
	_, conn := newTestFrontend(t, 10, 10, nil).listener.dialAndAccept(t)
	noDelay := 0
	controlErr := conn.rawConn.Control(func(fd uintptr) {
		var err error
		if noDelay, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil {
			t.Error(err)
		}
	})
	if controlErr != nil {
		t.Fatal(controlErr)
	}
	if noDelay != 1 {
		t.Error("TCP_NODELAY is off")
	}
}
