package sidecar

import (
	"bufio"
	"bytes"
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

// wireText is a request as it goes over the wire.
func (sidecar *testSidecar) wireText(req *http.Request) string {
	sidecar.t.Helper()
	var buffer bytes.Buffer
	if err := req.Write(&buffer); err != nil {
		sidecar.t.Fatal(err)
	}
	return buffer.String()
}

// writeTo writes to a client's connection.
func writeTo(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads one answer; 0: the connection ended without one.
func readStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("the answer is not whole: %v", err)
	}
	return resp.StatusCode
}

// blockingBackend is a server that tells of each request and answers it when the test says so.
type blockingBackend struct {
	*backend
	arrivals chan string   // the query of a request
	release  chan struct{} // one for each answer
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

// A client that has gone, also one that only ended its sending, gets no answer that no server made.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	server := newBlockingBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	conn := sidecar.dial()
	writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", 2*time.Second)))
	receiveWithin(t, "the request", server.arrivals)
	conn.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(conn); len(got) > 0 || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// newTestFrontend is a frontend over a loop that the test plays.
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

// dialAndAccept connects a client and takes its connection.
func (listener *clientListener) dialAndAccept(t *testing.T) (client net.Conn, conn *clientConn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(testTimeout))
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted.(*clientConn)
}

// locked runs what needs the table's lock.
func (t *clientListener) locked(front func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	front()
}

// awaitIdle waits until the one connection is between requests and its reader waits for more.
func (listener *clientListener) awaitIdle(t *testing.T) {
	t.Helper()
	waitUntil(t, "a rest", func() bool {
		isIdle := false
		listener.locked(func() {
			for conn := range listener.conns {
				isIdle = conn.phase == phaseIdle && conn.readerWaiting
			}
		})
		return isIdle
	})
}

// A request that net/http has read in the very moment in which connections are closed is answered: the drain comes
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
	go httpServer.Serve(front.listener)
	defer httpServer.Close()
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	conn := sidecar.dial()
	reader := bufio.NewReader(conn)
	for i := range 2 { // on a new connection, and on one that has rested
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("charge", time.Second)))
		if got := readStatus(t, reader); got != 200 {
			t.Fatalf("request %d: %d", i, got)
		}
	}
}

// What is read of a connection keeps it open, whole or a half that may still become whole; a half that rests and a
// connection that waits make room. Of one that has made room nothing is read.
func TestReadAndEvictionAreMutuallyExclusive(t *testing.T) {
	const half = "GET /api HTT"
	for name, test := range map[string]struct {
		phase   connPhase
		read    string // before its reader asks again
		wait    bool   // its reader does ask again
		age     time.Duration
		evicted bool
	}{
		"not looked at yet":          {phaseNew, "", false, 0, false},
		"read whole":                 {phaseNew, half, false, time.Hour, false},
		"read whole, kept":           {phaseIdle, half, false, time.Hour, false},
		"half a request":             {phaseNew, half, true, 0, false},
		"half a request, kept":       {phaseIdle, half, true, 0, false},
		"half a request that rests":  {phaseNew, half, true, partialRequestGrace, true},
		"silent":                     {phaseNew, "", true, 0, true},
		"kept":                       {phaseIdle, "", true, 0, true},
		"its request is open":        {phaseActive, "", true, time.Hour, false},
		"its last answer is written": {phaseClosing, "", false, 0, true},
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
				conn.phaseSince = time.Now().Add(time.Hour) // however long the test takes, no half has had its time
				if test.age > 0 {
					conn.phaseSince = time.Now().Add(-test.age)
				}
				evicted = listener.evictOne()
				if evicted == nil && listener.evictExcessPersistent() != nil {
					t.Error("trimmed")
				}
			})
			if (evicted == conn) != test.evicted {
				t.Errorf("makes room: %v", evicted == conn)
			}
			if !test.evicted {
				listener.shutdownIdle()
				if _, err := conn.Write([]byte("x")); err != nil {
					t.Error("closed at a drain:", err)
				}
			}
			writeTo(t, client, "x") // before it is closed
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

// Of a connection that is shut nothing is read, though its reader has its turn only once a request is there.
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

// A request that comes in the last moment of a rest is read, though the time is over when its reader looks.
func TestRequestAtIdleTimeoutIsRead(t *testing.T) {
	listener := newTestFrontend(t, 10, 10, nil).listener
	client, conn := listener.dialAndAccept(t)
	writeTo(t, client, "GET")
	waitUntil(t, "the bytes", func() bool { return !openAndEmpty(conn.TCPConn) })
	conn.SetReadDeadline(time.Unix(1, 0))
	got := make([]byte, 10)
	if n, err := conn.Read(got); n != 3 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if n, err := conn.Read(got); n != 0 || err == nil || !err.(net.Error).Timeout() {
		t.Errorf("with nothing there: %d bytes, %v", n, err)
	}
}

// A client that has gone is noticed also behind what it sent on: its request is over at once, not at its time. Who
// sends more behind a request than a client may is told so.
func TestPipeliningClientDisconnects(t *testing.T) {
	server := newBlockingBackend(t, "a", serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	for name, pipelined := range map[string]string{
		"nothing": "", "a byte": "G", "a request": sidecar.wireText(sidecar.newRequest("lookup", time.Minute)),
		"half a buffer": strings.Repeat("x", 4000), "a buffer": strings.Repeat("x", 5000), "much": strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			before := server.requests.Load()
			conn := sidecar.dial()
			writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", time.Minute)))
			receiveWithin(t, "the request", server.arrivals)
			if io.WriteString(conn, pipelined); len(pipelined) > maxPipelined { // it may be cut off while it sends
				if got := readStatus(t, bufio.NewReader(conn)); got != 400 {
					t.Errorf("answered %d", got)
				}
			}
			conn.Close()
			waitUntil(t, "the request to be over", func() bool {
				return sidecar.frontend.inFlight.Load() == 0 && sidecar.frontend.listener.openCount() == 0
			})
			server.release <- struct{}{} // to nobody
			if forwarded := server.requests.Load() - before; forwarded != 1 {
				t.Errorf("%d requests were sent on", forwarded)
			}
		})
	}
}

// What a client sent behind its request is its next one, if it stays, also where one follows another so.
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

// A client that leaves between its last answer and a request that net/http has in hand already is not asked for.
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
				client.(*net.TCPConn).CloseWrite()
				waitUntil(t, "its end", func() bool { return peekRead(netConn.(*clientConn).rawConn) == io.EOF })
			}
		case http.StateClosed:
			close(closed)
		}
	}
	go httpServer.Serve(front.listener)
	defer httpServer.Close()
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	client = sidecar.dial()
	writeTo(t, client, sidecar.wireText(sidecar.newRequest("lookup", time.Second))+sidecar.wireText(sidecar.newRequest("lookup", time.Second)))
	receiveWithin(t, "the end", closed)
	if activations != 2 || len(arrived) != 1 {
		t.Errorf("%d requests were read, %d sent on", activations, len(arrived))
	}
}

// A client that leaves before its first attempt, or between two, is sent nothing on for, whatever comes then.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for name, beforeFirstAttempt := range map[string]bool{"waiting for its first attempt": true, "between two attempts": false} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int64 // for the client that leaves, the only one with GET
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
			for range 20 { // time in which the outcome would lead to another attempt
				serveOne()
			}
			if attempted := attempts.Load(); attempted != want {
				t.Errorf("%d attempts for the client that left, want %d", attempted, want)
			}
		})
	}
}

// A last answer that its client has not read yet comes whole though the client sent more, which is never read.
func TestFinalResponseSurvivesUnreadBytes(t *testing.T) {
	body := strings.Repeat("x", maxBody)
	server := newBackend(t, "a", respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) { sidecar.frontend.listener.lingerTimeout = testTimeout })
	conn := sidecar.dial()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil { // so that answers wait on the sidecar's side
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
	conn.(*net.TCPConn).SetReadBuffer(1 << 20)
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

// A connection whose head is too large makes room once its answer is written, while net/http lets it rest.
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
				t.Fatal("it is closed, and made no room before")
			}
			evicted = sidecar.frontend.listener.evictOne() != nil
		})
		return evicted
	})
}

// Small writes go out at once, also where the peer acknowledges late.
func TestNagleIsDisabled(t *testing.T) {
	_, conn := newTestFrontend(t, 10, 10, nil).listener.dialAndAccept(t)
	noDelay := 0
	conn.rawConn.Control(func(fd uintptr) {
		noDelay, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	if noDelay != 1 {
		t.Error("TCP_NODELAY is off")
	}
}
