package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A request, or a part of a request, that arrives while its idle connection is being shut down is not read and causes no
// reset: the client gets the end of the connection and is served on a new connection. Connections that wait to be accepted
// are served too, one by one if the table has capacity for only one connection, and each response ends its connection.
func TestDrainClosesIdleAndServesQueued(t *testing.T) {
	calls := make(chan *call, 10)
	front := newTestFrontend(t, 1, 1, func(event loopEvent) {
		if arrived, ok := event.(requestArrived); ok {
			calls <- arrived.call
		}
	})
	httpServer := front.httpServer()
	serveErr, drainErr := make(chan error, 1), make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(front.listener) }()
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	respondNext := func(reader *bufio.Reader) {
		t.Helper()
		call := receiveWithin(t, "a request", calls)
		call.markAnswered()
		call.response <- response{status: 200}
		if got := readStatus(t, reader); got != 200 {
			t.Errorf("got status %d", got)
		}
	}
	conn := sidecar.dial()
	reader := bufio.NewReader(conn)
	requestText := sidecar.wireText(sidecar.newRequest("lookup", testTimeout))
	writeTo(t, conn, requestText)
	respondNext(reader)
	front.listener.awaitIdle(t)
	front.listener.shutdownIdle()
	writeTo(t, conn, requestText) // after the shutdown and before the client closes the connection
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("end of the connection: %v", err)
	}
	if len(calls) > 0 {
		t.Error("a request that was sent after the shutdown was forwarded")
	}
	conn.Close()

	var waiting []*bufio.Reader
	for range 3 {
		conn := sidecar.dial()
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
		waiting = append(waiting, bufio.NewReader(conn))
	}
	call := receiveWithin(t, "the first request", calls)
	go func() { drainErr <- front.closeConnections(httpServer, serveErr, time.Now().Add(testTimeout)) }()
	waitUntil(t, "the last phase of the drain", front.closeAfterResponse.Load)
	calls <- call
	for _, reader := range waiting {
		respondNext(reader)
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("after the response: %v", err)
		}
	}
	if err := receiveWithin(t, "the end of the drain", drainErr); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", front.listener.Addr().String()); err == nil {
		t.Error("the listener accepts connections after the drain")
	}
}

// delayedConn delays the return of each read of more than one byte until the test releases it.
type delayedConn struct {
	*clientConn
	read    chan struct{}
	release chan struct{}
}

func (c *delayedConn) Read(p []byte) (int, error) {
	n, err := c.clientConn.Read(p)
	if n > 1 {
		c.read <- struct{}{}
		<-c.release
	}
	return n, err
}

// delayedListener wraps each accepted connection in a delayedConn.
type delayedListener struct {
	*clientListener
	read, release chan struct{}
}

func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.clientListener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{conn.(*clientConn), l.read, l.release}, nil
}

// A drain starts after a request is read and while net/http still counts its connection as idle. The request must be
// answered before the drain closes the connection. A connection without a request is closed.
func TestRequestReadDuringDrainIsAnswered(t *testing.T) {
	front := newTestFrontend(t, 10, 10, func(event loopEvent) {
		if arrived, ok := event.(requestArrived); ok && arrived.call.markAnswered() {
			arrived.call.response <- response{status: 200}
		}
	})
	delayed := delayedListener{front.listener, make(chan struct{}, 10), make(chan struct{}, 10)}
	httpServer := front.httpServer()
	onConnState, withConn := httpServer.ConnState, httpServer.ConnContext
	httpServer.ConnState = func(netConn net.Conn, state http.ConnState) { onConnState(netConn.(*delayedConn).clientConn, state) }
	httpServer.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		return withConn(ctx, netConn.(*delayedConn).clientConn)
	}
	serveErr, drainErr := make(chan error, 1), make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(delayed) }()
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	var conns [2]net.Conn
	var readers [2]*bufio.Reader
	for i := range conns {
		conns[i] = sidecar.dial()
		readers[i] = bufio.NewReader(conns[i])
		delayed.release <- struct{}{}
		writeTo(t, conns[i], sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
		receiveWithin(t, "the request", delayed.read)
		if got := readStatus(t, readers[i]); got != 200 {
			t.Fatal(got)
		}
	}
	writeTo(t, conns[0], sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
	receiveWithin(t, "the next request", delayed.read)
	go func() { drainErr <- front.closeConnections(httpServer, serveErr, time.Now().Add(testTimeout)) }()
	if got := readStatus(t, readers[1]); got != 0 {
		t.Errorf("idle connection: status %d", got)
	}
	delayed.release <- struct{}{}
	if got := readStatus(t, readers[0]); got != 200 {
		t.Errorf("connection whose request was read: status %d", got)
	}
	conns[0].Close()
	conns[1].Close()
	if err := receiveWithin(t, "the end of the drain", drainErr); err != nil {
		t.Error(err)
	}
}

// allStacks returns the stacks of all goroutines.
func allStacks() string {
	buffer := make([]byte, 1<<20)
	return string(buffer[:runtime.Stack(buffer, true)])
}

// stackEntry returns the text by which a function appears in allStacks.
func stackEntry(function any) string {
	return runtime.FuncForPC(reflect.ValueOf(function).Pointer()).Name() + "("
}

// If a timeout, a disconnect or the end of the process coincides with the response of the event loop, the client gets the
// response of the event loop and no second response.
func TestTerminationRacingResponse(t *testing.T) {
	for name, terminate := range map[string]func(front *frontend, conn net.Conn){
		"timeout":            func(*frontend, net.Conn) {},
		"disconnect":         func(_ *frontend, conn net.Conn) { closeWrite(t, conn) },
		"end of the process": func(front *frontend, _ net.Conn) { close(front.drainExpired) },
	} {
		t.Run(name, func(t *testing.T) {
			posted := make(chan loopEvent, 10)
			front := newTestFrontend(t, 10, 10, func(event loopEvent) { posted <- event })
			httpServer := front.httpServer()
			serveUntilCleanup(t, httpServer, front.listener)
			sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
			conn := sidecar.dial()
			timeout := testTimeout
			if name == "timeout" {
				timeout = time.Millisecond
			}
			writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", timeout)))
			call := receiveWithin(t, "the request", posted).(requestArrived).call
			call.markAnswered() // the event loop has answered it
			terminate(front, conn)
			waitUntil(t, "the handler to end the call", func() bool { return strings.Contains(allStacks(), stackEntry((*frontend).endUnlessAnswered)) })
			call.response <- response{status: 200}
			if got := readStatus(t, bufio.NewReader(conn)); got != 200 {
				t.Errorf("got status %d", got)
			}
			if len(posted) > 0 {
				t.Error("the event loop is notified of the end of a call that it has answered")
			}
		})
	}
}

// Some clients send requests until their connection is closed, others are idle. Each request that was forwarded is answered,
// and no connection is open after the drain.
func TestDrainUnderContinuousRequests(t *testing.T) {
	var answered sync.Map // by forwarded request ID: whether the client has a response
	var sent atomic.Int64
	front := newTestFrontend(t, 20, 20, func(event loopEvent) {
		if arrived, ok := event.(requestArrived); ok && arrived.call.markAnswered() {
			answered.Store(arrived.call.outbound.header.Get("X-Request-ID"), false)
			sent.Add(1)
			arrived.call.response <- response{status: 200}
		}
	})
	front.maxInFlight = 20
	httpServer := front.httpServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(front.listener) }()
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	var clients sync.WaitGroup
	for i := range 12 {
		conn := sidecar.dial()
		clients.Go(func() {
			reader := bufio.NewReader(conn)
			for {
				req := sidecar.newRequest("charge", time.Second)
				if req.Write(conn) != nil {
					return
				}
				got := readStatus(t, reader)
				if got == 0 {
					return // the connection was closed before the request was read
				}
				if got != 200 {
					t.Errorf("got status %d", got)
				}
				answered.Store(req.Header.Get("X-Request-ID"), true)
				if i%3 == 0 { // idle after its first response
					if _, err := reader.ReadByte(); err != io.EOF {
						t.Errorf("the end of an idle connection: %v", err)
					}
					return
				}
			}
		})
	}
	waitUntil(t, "some load", func() bool { return sent.Load() > 50 })
	if err := front.closeConnections(httpServer, serveErr, time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
	if open := front.listener.openCount(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
	clients.Wait()
	answered.Range(func(id, ok any) bool {
		if !ok.(bool) {
			t.Errorf("%v was forwarded and not answered", id)
		}
		return true
	})
}

// A client that does not read its response does not delay a drain beyond the time at which the process may be killed.
func TestDrainWithClientThatDoesNotRead(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	server := newBackend(t, "a", respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), server.endpoint))
	sidecar.frontend.writeTimeout = time.Hour
	conn := sidecar.dial()
	setReadBuffer(t, conn, 4<<10)
	stuck := func() bool {
		for stack := range strings.SplitSeq(allStacks(), "\n\n") {
			if strings.Contains(stack, stackEntry(writeResponse)) && strings.Contains(stack, "waitWrite") {
				return true
			}
		}
		return false
	}
	requested := int64(0)
	waitUntil(t, "a response that the client does not read", func() bool {
		if server.requests.Load() == requested {
			writeTo(t, conn, sidecar.wireText(sidecar.newRequest("lookup", testTimeout)))
			requested++
		}
		return stuck()
	})
	sidecar.terminate()
	if err := receiveWithin(t, "the end of the sidecar", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
}

// Many faulty clients that disconnect in different ways, such as with a reset or in the middle of a request, do not prevent
// other clients from being served, and leave no state behind.
func TestFloodOfDisconnectingClients(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	document := newConfigDocument(newFakeRegistry(t).address(), server.endpoint)
	document["limits"] = map[string]any{"sockets": minSockets, "memory_mb": 64}
	sidecar := startSidecar(t, document)
	memory := sidecar.frontend.requestMemory.remaining.Load()
	requestText := sidecar.wireText(sidecar.newRequest("lookup", time.Minute)) // all have the same ID, so all but the first are rejected
	payloads := []string{
		"", "GET /api HT", requestText[:len(requestText)-2], "POST /api HTTP/1.1\r\nHost: b\r\nContent-Length: 60000\r\n\r\nhalf",
		requestText, requestText + requestText, requestText + strings.Repeat("x", 5000), requestText + strings.Repeat("x", 1<<18), strings.Repeat("x", 1<<18),
		"GET /api HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxRequestHeaderBytes),
	}
	var flood sync.WaitGroup
	for i := range 4 {
		flood.Go(func() {
			for j := range 100 {
				conn, err := net.Dial("tcp", sidecar.Addr())
				if err != nil {
					t.Error(err)
					return
				}
				setTestDeadline(t, conn)
				if (i+j)%2 == 0 {
					resetConn(conn) // disconnects with a reset
				}
				tryWrite(conn, payloads[j%len(payloads)])
				conn.Close()
			}
		})
	}
	for range 20 {
		if got := sidecar.do(sidecar.newRequest("lookup", testTimeout)); got.status != 200 { // the client library retries a GET whose connection is closed
			t.Errorf("during the flood: %+v", got)
		}
	}
	flood.Wait()
	sidecar.client.CloseIdleConnections()
	waitUntil(t, "all connections, requests and memory to be released", func() bool {
		return sidecar.frontend.listener.openCount() == 0 && sidecar.frontend.inFlight.Load() == 0 && sidecar.frontend.requestMemory.remaining.Load() == memory
	})
}

// While idle clients hold all descriptors for clients, a reload takes effect, servers can be reached, and an idle client is
// evicted for a client with a request. After the drain all connections are closed.
func TestIdleClientsHoldingAllDescriptors(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	secondServer := newBackend(t, "b", serveOK)
	registry, secondRegistry := newFakeRegistry(t), newFakeRegistry(t)
	document := newConfigDocument(registry.address(), server.endpoint)
	document["limits"] = map[string]any{"sockets": minSockets}
	sidecar := startSidecar(t, document, func(sidecar *Sidecar) { sidecar.frontend.listener.maxPersistent = minSockets })
	maxConns := sidecar.frontend.listener.maxConns
	requestOn := func(conn net.Conn) {
		t.Helper()
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("charge", testTimeout)))
		if got := readStatus(t, bufio.NewReader(conn)); got != 200 {
			t.Fatalf("got status %d", got)
		}
	}
	startedAt := time.Now()
	var idleConns []net.Conn
	for range maxConns {
		idleConns = append(idleConns, sidecar.dial())
		requestOn(idleConns[len(idleConns)-1])
	}
	if open := sidecar.frontend.listener.openCount(); open != maxConns {
		t.Fatalf("%d connections are open, want %d", open, maxConns)
	}
	requestOn(sidecar.dial())
	if elapsed := time.Since(startedAt); elapsed >= idleTimeout { // the first idle connection times out then
		t.Errorf("a client with a request is served only after %v", elapsed)
	}
	receiveWithin(t, "the watch", registry.calls).failWith <- http.StatusInternalServerError // discovery fails: the sidecar retries
	receiveWithin(t, "the retried watch", registry.calls)
	document["discovery"] = secondRegistry.address()
	config, err := document.load(t)
	if err != nil {
		t.Fatal(err)
	}
	sidecar.Reload(config)
	receiveWithin(t, "the watch at the new address", secondRegistry.calls).sendList(t, endpointList{Revision: 2, Complete: true, Endpoints: []endpoint{secondServer.endpoint}})
	waitUntil(t, "the new list", func() bool {
		requestOn(sidecar.dial())
		return secondServer.requests.Load() > 0
	})
	if open := sidecar.frontend.listener.openCount(); open > maxConns {
		t.Errorf("%d connections are open, of %d", open, maxConns)
	}
	sidecar.terminate()
	if err := receiveWithin(t, "the end of the sidecar", sidecar.done); err != nil {
		t.Error(err)
	}
	sidecar.done <- nil
	for _, conn := range idleConns {
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("read from an idle connection: %v", err)
		}
	}
}
