package main

import (
	"io"
	"net"
	"testing"
	"time"
)

// tryWrite writes text to a peer that may have closed the connection. It ignores the error: the test notices a closed
// connection by what it reads.
func tryWrite(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// discard reads until the end of the input or an error, which it ignores.
func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// setTestDeadline limits all I/O on a connection to testTimeout from now.
func setTestDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
}
