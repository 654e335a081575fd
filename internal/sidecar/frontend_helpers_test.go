package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// wireText returns a request as it is written to a connection.
func (sidecar *testSidecar) wireText(req *http.Request) string {
	sidecar.t.Helper()
	var buffer bytes.Buffer
	if err := req.Write(&buffer); err != nil {
		sidecar.t.Fatal(err)
	}
	return buffer.String()
}

func writeTo(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads one response and returns its status, or 0 if the connection ended without a response.
func readStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("incomplete response: %v", err)
	}
	return resp.StatusCode
}

// blockingBackend is a server that reports each request on arrivals and responds when the test sends on release.
type blockingBackend struct {
	*backend
	arrivals chan string   // the query of each request
	release  chan struct{} // one value for each response
}

func newBlockingBackend(t *testing.T, serve serveFunc) *blockingBackend {
	server := &blockingBackend{arrivals: make(chan string, 100), release: make(chan struct{}, 100)}
	done := make(chan struct{})
	server.backend = newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
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

// newTestFrontend creates a frontend that posts its events to a function of the test.
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
		config: config, post: post, listener: newClientListener(listener, maxConns, maxPersistent), requestIDs: newRecentRequestIDs(1000), requestMemory: newByteBudget(1 << 30),
		maxInFlight: 10, writeTimeout: testTimeout, drainExpired: make(chan struct{}),
	}
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

// locked calls a function while it holds the lock of the listener.
func (l *clientListener) locked(critical func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	critical()
}

// awaitIdle waits until the only connection is between requests and its reader waits for more bytes.
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
