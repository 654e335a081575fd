package sidecar

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// Many clients that send nothing, or only a part of a request, are disconnected. They do not prevent other clients from
// connecting.
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
			t.Fatal("on the persistent connection:", err)
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
				t.Errorf("with %d silent connections: status %d", i, status)
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
	if elapsed := time.Since(startedAt); elapsed > 6*time.Second { // allows for headerTimeout on a busy machine
		t.Errorf("the last silent connection was closed after %v", elapsed)
	}
}

// If clients use each connection once and keep it open, the application runs out of sockets. So the sidecar closes the
// longest idle connections long before their idle timeout. Connections in use stay open.
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
	for _, conn := range usedOnce[:2*third] { // each read must return the end of the connection, not a timeout
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a connection used once stays open")
		}
	}
	requestOn(busy)
}

// More clients connect than the sidecar has descriptors, and each leaves its connection open after a request. The sidecar
// closes idle connections, so that new clients can always connect.
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

// A connection is not evicted if a complete request was read from it, or a partial request whose grace period is not over:
// the request would get no response. An idle connection, or a connection with an overdue partial request, is evicted.
// Nothing is read from an evicted connection.
func TestReadAndEvictionAreMutuallyExclusive(t *testing.T) {
	const partial = "GET /api HTT"
	for name, test := range map[string]evictionCase{
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
		t.Run(name, test.run)
	}
}

// evictionCase is the state of a connection when the listener looks for a connection to evict, and whether the listener must
// evict this connection.
type evictionCase struct {
	phase   connPhase
	read    string // the bytes that were read
	wait    bool   // the reader waits for more bytes
	age     time.Duration
	evicted bool
}

func (test evictionCase) run(t *testing.T) {
	listener := newTestFrontend(t, 10, 0, nil).listener
	client, conn := listener.dialAndAccept(t)
	listener.locked(func() { conn.phase = test.phase })
	if test.read != "" {
		writeTo(t, client, test.read)
		if n, err := conn.Read(make([]byte, 100)); n != len(test.read) || err != nil {
			t.Fatal(n, err)
		}
	}
	var read <-chan error
	if test.wait {
		read = readAsync(conn)
		waiting := false
		for !waiting {
			listener.locked(func() { waiting = conn.readerWaiting })
		}
	}
	if evicted := test.evict(t, listener, conn); (evicted == conn) != test.evicted {
		t.Errorf("connection evicted: %v", evicted == conn)
	}
	if !test.evicted {
		listener.shutdownIdle()
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Error("closed during a drain:", err)
		}
	}
	writeTo(t, client, "x") // arrives before the connection is closed
	if !test.wait {
		read = readAsync(conn)
	}
	if err := receiveWithin(t, "the read", read); (err == nil) == test.evicted {
		t.Errorf("read: %v", err)
	}
}

// evict sets the age of the connection's phase and returns the connection that is evicted, if any.
func (test evictionCase) evict(t *testing.T, listener *clientListener, conn *clientConn) (evicted *clientConn) {
	t.Helper()
	listener.locked(func() {
		conn.phaseSince = time.Now().Add(time.Hour) // the grace period of a partial request is not over, however long the test takes
		if test.age > 0 {
			conn.phaseSince = time.Now().Add(-test.age)
		}
		evicted = listener.evictOne()
		if evicted == nil && listener.evictExcessPersistent() != nil {
			t.Error("evicted as an excess persistent connection")
		}
	})
	return evicted
}

// readAsync reads once on a new goroutine.
func readAsync(conn *clientConn) <-chan error {
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 100))
		read <- err
	}()
	return read
}

// A connection with an oversized header is evictable after its response is written, although net/http keeps the connection
// open for some time.
func TestOversizedHeaderConnectionIsEvictable(t *testing.T) {
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address()), func(sidecar *Sidecar) { sidecar.frontend.listener.lingerTimeout = 0 })
	conn := sidecar.dial()
	writeTo(t, conn, "GET /api HTTP/1.1\r\nHost: b\r\nX: "+strings.Repeat("x", 2*maxRequestHeaderBytes))
	if got := readStatus(t, bufio.NewReader(conn)); got != 431 {
		t.Errorf("got status %d", got)
	}
	waitUntil(t, "an evictable connection", func() bool {
		evicted := false
		sidecar.frontend.listener.locked(func() {
			if len(sidecar.frontend.listener.conns) == 0 {
				t.Fatal("the connection was closed before it became evictable")
			}
			evicted = sidecar.frontend.listener.evictOne() != nil
		})
		return evicted
	})
}

// Many clients that stop in the middle of a body do not make the sidecar close the idle connections of other clients, however few
// connections it may keep.
func TestPartialBodiesEvictIdleConnections(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	document["limits"] = map[string]any{"sockets": minSockets}
	sidecar := startSidecar(t, document)
	idle := sidecar.dial()
	reader := bufio.NewReader(idle)
	request := func() int {
		writeTo(t, idle, sidecar.wireText(sidecar.newRequest("charge", 2*time.Second)))
		return readStatus(t, reader)
	}
	if status := request(); status != 200 {
		t.Fatalf("status %d", status)
	}
	for i := range 2 * minSockets {
		req := sidecar.newRequest("charge", time.Second)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1000))), 1000
		text := sidecar.wireText(req)
		tryWrite(sidecar.dial(), text[:len(text)-500])
		if i%40 == 0 { // the grace period of the partial requests ends
			time.Sleep(2 * partialRequestGrace)
		}
	}
	if status := request(); status != 200 {
		t.Errorf("on the idle connection: status %d", status)
	}
}
