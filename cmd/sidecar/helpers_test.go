package main

import (
	"io"
	"net"
	"testing"
	"time"
)

// tryWrite writes text to a peer that may have closed the connection; a test sees that by what it reads.
func tryWrite(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// discard reads until the end; how it ends is no concern of the caller.
func discard(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// setTestDeadline bounds all I/O on a connection by testTimeout.
func setTestDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
}
