package sidecar

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// A process that was suspended over the end of a drain finds that the time for closing connections has passed before it has
// answered the open requests at the drain deadline. Each request that was read is answered before its connection is closed.
// Clients that have sent nothing, or a part of a request, do not delay the end.
func TestLateDrainAnswersBeforeClosing(t *testing.T) {
	front := newTestFrontend(t, 10, 10, func(loopEvent) {}) // an event loop that answers nothing
	front.monitor = &monitor{}
	front.listener.monitor = front.monitor
	httpServer := front.httpServer()
	serveErr, drainErr := make(chan error, 1), make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(front.listener) }()
	sidecar := &testSidecar{t: t, Sidecar: &Sidecar{frontend: front}}
	var waiting []*bufio.Reader
	for range 3 {
		conn := sidecar.dial()
		writeTo(t, conn, sidecar.wireText(sidecar.newRequest("charge", testTimeout)))
		waiting = append(waiting, bufio.NewReader(conn))
	}
	idle, partialHeader, partialBody := sidecar.dial(), sidecar.dial(), sidecar.dial()
	writeTo(t, partialHeader, "GET /api HT")
	text := sidecar.wireText(sidecar.newRequest("charge", testTimeout))
	writeTo(t, partialBody, text[:len(text)-1])
	waitUntil(t, "the requests", func() bool { return front.inFlight.Load() == 3 && front.listener.openCount() == 6 })

	closeDeadline := time.Now().Add(-time.Hour)
	go func() { drainErr <- front.closeConnections(httpServer, serveErr, closeDeadline) }()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("end of the idle connection: %v", err)
	}
	idle.Close()
	select {
	case err := <-drainErr:
		t.Fatalf("the drain ended before the requests were answered: %v", err)
	case <-time.After(10 * capacityPollInterval):
	}
	close(front.drainExpired)
	for _, reader := range waiting {
		if got := readStatus(t, reader); got != statusTimedOut {
			t.Errorf("got status %d, want %d", got, statusTimedOut)
		}
	}
	if err := receiveWithin(t, "the end of the drain", drainErr); err != nil {
		t.Error(err)
	}
	if found := front.monitor.totalViolations(); found != 0 {
		t.Errorf("%d connections were closed before a request was answered", found)
	}
}

// A process that is suspended when SIGTERM arrives notices it late, and may be suspended again just before SIGKILL. Its drain
// deadline still comes early enough for the responses to be written before the second suspension.
func TestDrainDeadlineAllowsForLateNotice(t *testing.T) {
	const timeToRespond = 50 * time.Millisecond
	for deadlineMS, kill := range map[string]time.Duration{"2000": 2700 * time.Millisecond, "5000": 3700 * time.Millisecond} {
		config, err := newConfigDocument("127.0.0.1:1").replaceSetting(`"hard_limit_ms": 2500`, `"hard_limit_ms": `+deadlineMS).load(t)
		if err != nil {
			t.Fatal(err)
		}
		if end := schedulingAllowance + drainPeriod(config) + timeToRespond + schedulingAllowance; end > kill {
			t.Errorf("deadline of %s ms: the last response may be written %v after SIGTERM, SIGKILL follows after %v", deadlineMS, end, kill)
		}
	}
}

// What a connection owes its client decides whether it may be closed after the time for closing connections, and what it owes
// depends on time only where the client may keep it open.
func TestOwedResponses(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		text                      string // what the client has sent and the sidecar has not read
		prepare                   func(conn *clientConn)
		owedBefore, owedFromLimit bool
	}{
		"no request": {},
		"a request that was read": {prepare: func(conn *clientConn) { conn.phase, conn.unanswered = phaseActive, true },
			owedBefore: true, owedFromLimit: true},
		"a request that is being handled":  {prepare: func(conn *clientConn) { conn.phase, conn.readerWaiting = phaseActive, false }, owedBefore: true},
		"a body that the client withholds": {prepare: func(conn *clientConn) { conn.phase = phaseActive }},
		"a response that is being written": {prepare: func(conn *clientConn) { conn.phase, conn.writing = phaseActive, true }, owedBefore: true},
		"a delivered response":             {prepare: func(conn *clientConn) { conn.phase = phaseClosing }},
		"a request in the socket":          {text: "GET", prepare: func(conn *clientConn) { conn.phase = phaseIdle }, owedBefore: true},
		"bytes that net/http has not processed": {prepare: func(conn *clientConn) { conn.phase, conn.readerWaiting = phaseIdle, false },
			owedBefore: true},
		"a request that has just begun": {prepare: func(conn *clientConn) { conn.requestStarted, conn.phaseSince = true, now }, owedBefore: true},
		"a request that began long ago": {prepare: func(conn *clientConn) {
			conn.requestStarted, conn.phaseSince = true, now.Add(-partialRequestGrace)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			listener := newTestFrontend(t, 10, 10, nil).listener
			client, conn := listener.dialAndAccept(t)
			if test.text != "" {
				writeTo(t, client, test.text)
				waitUntil(t, "the bytes", func() bool { return !openAndEmpty(conn.TCPConn) })
			}
			listener.locked(func() {
				conn.phase, conn.readerWaiting = phaseNew, true
				if test.prepare != nil {
					test.prepare(conn)
				}
				if got := conn.owesResponse(now, now.Add(time.Second)); got != test.owedBefore {
					t.Errorf("before the limit: owes a response: %v", got)
				}
				if got := conn.owesResponse(now, now); got != test.owedFromLimit {
					t.Errorf("from the limit on: owes a response: %v", got)
				}
			})
		})
	}
}

// Clients that send without a pause, each again on a new connection, keep neither the connections nor the listener open at the end
// of a drain: each request that was read is answered, and a connection that was queued when accepting ends is served.
func TestDrainEndsBesideClientsAtFullSpeed(t *testing.T) {
	front := newTestFrontend(t, 20, 20, nil)
	front.monitor = &monitor{}
	front.listener.monitor = front.monitor
	httpServer := front.httpServer()
	serveErr := make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(front.listener) }()
	address := front.listener.Addr().String()
	text := strings.Repeat("GET "+readyPath+" HTTP/1.1\r\nHost: b\r\n\r\n", 50)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return // accepting has ended
				}
				go discard(conn)
				for err == nil {
					_, err = io.WriteString(conn, text)
				}
				conn.Close()
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	waitUntil(t, "the clients", func() bool { return front.listener.openCount() >= 8 })
	if err := front.closeConnections(httpServer, serveErr, time.Now().Add(2*finalResponseWindow)); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("connections are accepted after the drain")
	}
	close(stop)
	clients.Wait()
	if violations := front.monitor.totalViolations(); violations != 0 {
		t.Errorf("%d violations of invariants", violations)
	}
}
