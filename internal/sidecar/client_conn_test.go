package sidecar

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A client that has disconnected, or has only closed its sending side, gets no response. Guards against the empty response
// with status 200 that net/http sends by default, although no server has responded.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	server := newBlockingBackend(t, serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	conn := sidecar.dial()
	writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", 2*time.Second)))
	receiveWithin(t, "the request", server.arrivals)
	closeWrite(t, conn)
	if got, err := io.ReadAll(conn); len(got) > 0 || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// A drain shuts down the idle connections after net/http has read a request and before net/http calls the handler. The
// request must still be answered.
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
			t.Fatalf("request %d: status %d", i, got)
		}
	}
}

// After an idle connection was shut down, nothing is read from it, even if a request arrives before the goroutine that reads
// the connection runs: a request that was read there could stay unanswered.
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

// A request that arrives just before the idle timeout is read, even if the timeout has passed when the goroutine that reads
// the connection runs.
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
		t.Errorf("without unread bytes: %d bytes, %v", n, err)
	}
}

// The sidecar notices the disconnect of a client even if the client has pipelined bytes before the disconnect: the active
// request ends at once, not at its deadline. A client that pipelines more than maxReadAheadBytes gets status 400.
func TestPipeliningClientDisconnects(t *testing.T) {
	server := newBlockingBackend(t, serveOK)
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	for name, pipelined := range map[string]string{
		"nothing": "", "a byte": "G", "a request": sidecar.wireText(sidecar.newRequest("lookup", time.Minute)),
		"less than a read": strings.Repeat("x", 4000),
		"more than a read": strings.Repeat("x", 5000), "more than the limit": strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			before := server.requests.Load()
			conn := sidecar.dial()
			writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", time.Minute)))
			receiveWithin(t, "the request", server.arrivals)
			tryWrite(conn, pipelined) // the sidecar may close the connection during the write
			if len(pipelined) > maxReadAheadBytes {
				if got := readStatus(t, bufio.NewReader(conn)); got != 400 {
					t.Errorf("got status %d", got)
				}
			}
			conn.Close()
			waitUntil(t, "the request to end", func() bool {
				return sidecar.frontend.inFlight.Load() == 0 && sidecar.frontend.listener.openCount() == 0
			})
			server.release <- struct{}{} // the client has already disconnected
			if forwarded := server.requests.Load() - before; forwarded != 1 {
				t.Errorf("%d requests were forwarded", forwarded)
			}
		})
	}
}

// Pipelined requests are served one after the other, and each gets a response.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	server := newBlockingBackend(t, serveOK)
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
			t.Errorf("response %d: status %d", i, got)
		}
	}
}

// A pipelined request that net/http has started to read is not forwarded if its client disconnects after the previous
// response.
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
				waitUntil(t, "the disconnect", func() bool { return errors.Is(peekRead(netConn.(*clientConn).rawConn), io.EOF) })
			}
		case http.StateClosed:
			close(closed)
		}
	}
	serveUntilCleanup(t, httpServer, front.listener)
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	client = sidecar.dial()
	writeTo(t, client, sidecar.wireText(sidecar.newRequest("lookup", time.Second))+sidecar.wireText(sidecar.newRequest("lookup", time.Second)))
	receiveWithin(t, "the end of the connection", closed)
	if activations != 2 || len(arrived) != 1 {
		t.Errorf("%d requests were read, %d forwarded", activations, len(arrived))
	}
}

// After a client disconnects, before the first attempt or between two attempts, no further attempt is made, whatever events
// follow.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for name, beforeFirstAttempt := range map[string]bool{"waiting for its first attempt": true, "between two attempts": false} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int64 // for the client that disconnects: only this client sends GET
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
			waitUntil(t, "the request to end", func() bool { return sidecar.frontend.inFlight.Load() == 0 })
			watch := receiveWithin(t, "the watch", registry.calls)
			watch.sendList(t, endpointList{Revision: 2, Complete: true, Endpoints: []endpoint{firstServer.endpoint, secondServer.endpoint}})
			serveOne := func() bool {
				sidecar.do(sidecar.newRequest("charge", 2*time.Second))
				return secondServer.requests.Load() > attempts.Load()
			}
			waitUntil(t, "a request to a server of the new list", serveOne)
			close(release)
			for range 20 { // long enough for the outcome to cause another attempt
				serveOne()
			}
			if attempted := attempts.Load(); attempted != want {
				t.Errorf("%d attempts for the disconnected client, want %d", attempted, want)
			}
		})
	}
}

// The kernel sends small writes at once, even if the peer delays its acknowledgements. With Nagle's algorithm, the second
// write would wait for the acknowledgement of the first.
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

// A request is not forwarded if its client has sent further bytes and disconnected: the sidecar detects the end of the
// connection even though the further bytes are unread.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	arrived := make(chan struct{}, 10)
	front := newTestFrontend(t, 10, 10, func(event loopEvent) {
		if _, ok := event.(requestArrived); ok {
			arrived <- struct{}{}
		}
	})
	closed := make(chan struct{})
	httpServer := front.httpServer()
	onConnState := httpServer.ConnState
	httpServer.ConnState = func(netConn net.Conn, state http.ConnState) {
		onConnState(netConn, state)
		if state == http.StateClosed {
			close(closed)
		}
	}
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	client := sidecar.dial()
	request := sidecar.newRequest("lookup", time.Minute)
	request.Header.Set("X-Padding", strings.Repeat("p", 3000)) // more than one read holds
	writeTo(t, client, sidecar.wireText(request)+strings.Repeat(sidecar.wireText(sidecar.newRequest("lookup", time.Minute)), 20))
	client.Close()
	serveUntilCleanup(t, httpServer, front.listener) // accepts the connection after the client has closed it
	receiveWithin(t, "the end of the connection", closed)
	if len(arrived) != 0 {
		t.Errorf("%d requests of a disconnected client were forwarded", len(arrived))
	}
}

// If an attempt ends while its client disconnects, no further attempt follows, even if the event loop handles the outcome
// before the disconnect is noticed: after the process was suspended, goroutines run in any order.
func TestNoRetryAfterUnnoticedDisconnect(t *testing.T) {
	serve := respondWith("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true)
	for name, behind := range map[string]string{"at once": "", "behind further bytes": "GET /api HTTP/1.1\r\nHost: b\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			serverA, serverB := newBackend(t, "a", serve), newBackend(t, "b", serve)
			loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", serverA.endpoint, serverB.endpoint))
			front := newTestFrontend(t, 10, 10, func(loopEvent) {})
			client, conn := front.listener.dialAndAccept(t)
			front.listener.setPhase(conn, phaseActive)
			call := loop.newCall("lookup")
			call.client = conn
			loop.handleEvent(loop.nowMS(), requestArrived{call})
			completed := loop.nextCompleted()
			writeTo(t, client, behind)
			client.Close()
			waitUntil(t, "the end of the connection", func() bool { return peerHasClosed(t, conn) })
			loop.handleEvent(loop.nowMS(), completed)
			for call.inFlight > 0 {
				loop.handleEvent(loop.nowMS(), loop.nextCompleted())
			}
			if got := serverA.requests.Load() + serverB.requests.Load(); got != 1 {
				t.Errorf("%d attempts, want only the one before the disconnect", got)
			}
			if call.markAnswered() {
				loop.handleEvent(loop.nowMS(), clientDisconnected{call})
			}
		})
	}
}

// peerHasClosed reports whether the peer of a connection has closed it, even if unread bytes precede the end.
func peerHasClosed(t *testing.T, conn *clientConn) bool {
	t.Helper()
	closed := false
	if err := conn.rawConn.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(polled, 0)
		closed = err == nil && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0
	}); err != nil {
		t.Fatal(err)
	}
	return closed
}
