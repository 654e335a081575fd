package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// When the table is full, a connection that lingers after its last response is evicted first. Guards against closing it while
// it holds unread bytes from the client: that resets the connection, and a client that reads slowly loses the part of the
// response that is still buffered at the sidecar. The third response below then ended in "connection reset by peer".
func TestFinalResponseSurvivesEviction(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	server := newBackend(t, "a", respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) { sidecar.frontend.listener.lingerTimeout = testTimeout })
	listener := sidecar.frontend.listener
	conn := sidecar.dial()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil { // keeps responses buffered at the sidecar
		t.Fatal(err)
	}
	for range 2 {
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
	}
	waitUntil(t, "the responses", func() bool { return server.requests.Load() == 2 && sidecar.frontend.inFlight.Load() == 0 })
	listener.awaitIdle(t)
	malformedRequest := sidecar.newRequest("charge", time.Second)
	malformedRequest.Header.Set("X-Priority-Class", "none")
	writeTo(t, conn, sidecar.wireText(malformedRequest)+strings.Repeat("x", 10<<10))
	var closing *clientConn
	waitUntil(t, "the closing connection", func() bool {
		listener.locked(func() {
			for conn := range listener.conns {
				if conn.phase == phaseClosing && conn.readClosed {
					closing = conn
				}
			}
		})
		return closing != nil
	})
	listener.locked(func() {
		if evicted := listener.evictOne(); evicted != nil {
			_ = evicted.TCPConn.Close() // as register does
		}
	})
	setReadBuffer(t, conn, 1<<20)
	reader := bufio.NewReader(conn)
	for i, want := range []int{200, 200, 400, 0} {
		if got := readStatus(t, reader); got != want {
			t.Errorf("response %d: status %d, want %d", i, got, want)
		}
	}
	waitUntil(t, "the connection to be evictable, because its client has the response", func() bool {
		evictable := false
		listener.locked(func() { evictable = len(listener.conns) == 0 || listener.evictOne() == closing })
		return evictable
	})
}

// A client reads its last response late and has sent more bytes, which the sidecar never reads. The response must arrive
// completely: closing a connection that holds unread bytes would reset the connection.
func TestFinalResponseSurvivesUnreadBytes(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	server := newBackend(t, "a", respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint), func(sidecar *Sidecar) { sidecar.frontend.listener.lingerTimeout = testTimeout })
	conn := sidecar.dial()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil { // keeps responses buffered at the sidecar
		t.Fatal(err)
	}
	malformedRequest := sidecar.newRequest("charge", time.Second)
	malformedRequest.Header.Set("X-Priority-Class", "none")
	for range 2 {
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
	}
	waitUntil(t, "the responses", func() bool { return server.requests.Load() == 2 && sidecar.frontend.inFlight.Load() == 0 })
	sidecar.frontend.listener.awaitIdle(t)
	writeTo(t, conn, sidecar.wireText(malformedRequest)+strings.Repeat("x", 10<<10))
	waitUntil(t, "the closing connection", func() bool {
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
			t.Errorf("response %d: status %d, want %d", i, got, want)
		}
	}
	sidecar.terminate()
	if err := receiveWithin(t, "the end of the drain, without waiting for the linger timeout", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
}
