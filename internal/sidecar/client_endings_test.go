package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// text is a request as it goes over the wire.
func (r *running) text(req *http.Request) string {
	r.t.Helper()
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		r.t.Fatal(err)
	}
	return b.String()
}

// send writes to a client's connection.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// status reads one answer; 0: the connection ended without one.
func status(t *testing.T, in *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("the answer is not whole: %v", err)
	}
	return resp.StatusCode
}

// held is a server that tells of each request and answers it when the test says so.
type held struct {
	*backend
	came   chan string   // the query of a request
	answer chan struct{} // one for each answer
}

func newHeld(t *testing.T, uid string, serve serveOne) *held {
	h := &held{came: make(chan string, 100), answer: make(chan struct{}, 100)}
	over := make(chan struct{})
	h.backend = newBackend(t, uid, func(c net.Conn, r *http.Request, body string) bool {
		h.came <- r.URL.RawQuery
		select {
		case <-h.answer:
			return serve(c, r, body)
		case <-over:
			return false
		}
	})
	t.Cleanup(func() { close(over) })
	return h
}

// A client that has gone, also one that only ended its sending, gets no answer that no server made.
func TestClientThatLeavesGetsNoAnswer(t *testing.T) {
	b := newHeld(t, "a", ok)
	s := start(t, newConf(newRegistry(t).addr(), b.target))
	conn := s.dial()
	send(t, conn, s.text(s.request("lookup", 2*time.Second)))
	receive(t, "the request", b.came)
	conn.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(conn); len(got) > 0 || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}
