package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/sidecar"
)

const (
	suspension = 150 * time.Millisecond // the longest for which the acceptance test suspends a process
	// The settings below make SIGKILL follow SIGTERM after killDelay: the longest deadline and 0.7 s.
	suspendedDeadline = time.Second
	killDelay         = suspendedDeadline + 700*time.Millisecond

	suspendedClients = 16
	slowResponse     = 400 * time.Millisecond // of the server, so that requests are in flight at the drain deadline
	rejectionPause   = 10 * time.Millisecond  // of a client after a response that is not 200
)

// forwardedRequests are the IDs of the requests that have reached the server.
type forwardedRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (f *forwardedRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.ids[r.Header.Get("X-Request-ID")] = true
	f.mu.Unlock()
	select {
	case <-time.After(slowResponse):
	case <-r.Context().Done():
	}
	fmt.Fprint(w, "served")
}

func (f *forwardedRequests) contains(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ids[id]
}

// useConnection sends requests on one connection until the sidecar closes it, and returns the ID of the request that got no
// response.
func useConnection(conn net.Conn, client int) (unansweredID string) {
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		id := fmt.Sprintf("%08x%08x", client, number)
		tryWrite(conn, fmt.Sprintf("GET /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Priority-Class: c\r\nX-Timeout-Ms: %d\r\n\r\n",
			id, suspendedDeadline.Milliseconds()))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return id
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return id
		}
		if resp.StatusCode != http.StatusOK {
			time.Sleep(rejectionPause)
		}
	}
}

// A sidecar is suspended at some time of the last half second before SIGKILL, while clients send on all of their connections. No
// request that it has forwarded loses its response. The process is not killed, so that the test does not depend on how busy the
// machine is: it is the sidecar that closes its connections.
func TestSuspensionBeforeKillLosesNoRequest(t *testing.T) {
	for _, beforeKill := range []time.Duration{500, 400, 350, 300, 275, 250, 225, 200, 175, 150, 100, 50} {
		beforeKill *= time.Millisecond
		t.Run(beforeKill.String(), func(t *testing.T) {
			t.Parallel()
			forwarded := &forwardedRequests{ids: map[string]bool{}}
			server := httptest.NewServer(forwarded)
			t.Cleanup(server.Close)
			command, lines, address := startProgram(t, fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
				"known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":%q,"state":"Ready","capacity_hint":1}]},
				"settings":{"classes":[{"name":"c","effect":"read_like","group":"all","on_time_ms":900,"hard_limit_ms":%d}]}}`,
				server.Listener.Addr(), suspendedDeadline.Milliseconds()))
			unanswered := make(chan string, suspendedClients)
			for client := range suspendedClients {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				setTestDeadline(t, conn)
				go func() { unanswered <- useConnection(conn, client) }()
			}
			process := command.Process
			time.AfterFunc(killDelay-beforeKill, func() {
				_ = process.Signal(syscall.SIGSTOP) // fails only if the process has exited
				time.Sleep(suspension)
				_ = process.Signal(syscall.SIGCONT)
			})
			stop(t, command, lines, func(line string) {
				if strings.Contains(line, sidecar.InvariantViolatedMessage) {
					t.Error("the sidecar has violated an invariant")
				}
			})
			for range suspendedClients {
				if id := <-unanswered; forwarded.contains(id) {
					t.Errorf("request %s was forwarded, and its connection closed without a response", id)
				}
			}
		})
	}
}
