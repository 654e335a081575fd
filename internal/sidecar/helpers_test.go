package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// tryWrite writes text to a peer that may have closed the connection. It ignores errors: the test checks what it reads.
func tryWrite(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// discard reads until the end of the input or an error, which it ignores.
func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// deadliner is a connection or a listener whose deadline can be set.
type deadliner interface{ SetDeadline(time.Time) error }

// setTestDeadline limits all I/O on a connection to testTimeout from now.
func setTestDeadline(t *testing.T, conn deadliner) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
}

// setReadBuffer sets the size of a connection's receive buffer.
func setReadBuffer(t *testing.T, conn net.Conn, size int) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetReadBuffer(size); err != nil {
		t.Error(err)
	}
}

func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Error(err)
	}
}

// serveUntilCleanup runs a server until the test ends.
func serveUntilCleanup(t *testing.T, server *http.Server, listener net.Listener) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("server ended with %v", err)
		}
	})
}
