package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	requestsBehind = 40
	// beginSlack is how long after the close of its client an attempt may begin, with the suspension of the test.
	beginSlack = 100*time.Millisecond + suspension
)

// pipelinedOnce returns requests of the non-idempotent class, and their IDs.
func pipelinedOnce(name string, count, bodyBytes int) (text string, ids []string) {
	var all strings.Builder
	for i := range count {
		ids = append(ids, fmt.Sprintf("%s%d", name, i))
		all.WriteString(requestText("once", ids[i], strings.Repeat("x", bodyBytes)))
	}
	return all.String(), ids
}

// A client writes many requests on a connection and closes it. None is sent to a server later than 0.1 s after the close, and none
// is executed again when its ID comes again on another connection.
func TestRequestsBehindClosedConnectionAreSent(t *testing.T) {
	closeFully := func(conn *net.TCPConn) { _ = conn.Close() } // the test looks at what the sidecar does next
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0) // fails only on a closed connection
		closeFully(conn)
	}
	closeSending := func(conn *net.TCPConn) { _ = conn.CloseWrite() } // fails only if the sidecar has closed the connection
	for name, test := range map[string]struct {
		bodyBytes int
		end       func(conn *net.TCPConn)
		suspended bool
	}{
		"closed":              {20, closeFully, false},
		"closed, large":       {3000, closeFully, false},
		"closed, suspended":   {20, closeFully, true},
		"reset":               {20, reset, false},
		"reset, suspended":    {20, reset, true},
		"half closed":         {20, closeSending, false},
		"half closed, larger": {3000, closeSending, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, programOptions{memoryMB: leastMemoryMB, sockets: mostSockets, cores: 0.5, servers: 2})
			for _, server := range r.servers {
				server.handle = func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(20 * time.Millisecond)
					fmt.Fprint(w, "served")
				}
			}
			var ids []string
			closedAt := map[string]time.Time{}
			for i, open := range []time.Duration{0, 20, 80} {
				text, sent := pipelinedOnce(fmt.Sprintf("c%d-", i), requestsBehind, test.bodyBytes)
				ids = append(ids, sent...)
				conn, err := net.Dial("tcp", r.address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				tryWrite(conn, text)
				time.Sleep(open * time.Millisecond)
				if test.suspended {
					_ = r.command.Process.Signal(syscall.SIGSTOP) // fails only if the process has exited
				}
				test.end(conn.(*net.TCPConn))
				for _, id := range sent {
					closedAt[id] = time.Now()
				}
				if test.suspended {
					time.Sleep(suspension)
					_ = r.command.Process.Signal(syscall.SIGCONT)
				}
			}
			time.Sleep(500 * time.Millisecond)
			for _, id := range ids {
				client := &usualClient{address: r.address, class: "once"}
				_, _ = client.exchange(id, time.Now().Add(time.Second)) // any response will do
				client.close()
			}
			executedOnce := 0
			for _, id := range ids {
				for _, server := range r.servers {
					server.mu.Lock()
					began, executed := server.beganFirst[id]
					server.mu.Unlock()
					if executed && began.Before(closedAt[id].Add(500*time.Millisecond)) {
						executedOnce++
						if late := began.Sub(closedAt[id]); late > beginSlack {
							t.Errorf("%s: execution began %v after the close", id, late)
						}
						if count := r.executions(id); count > 1 {
							t.Errorf("%s: executed %d times", id, count)
						}
					}
				}
			}
			t.Logf("%d of %d executed before or at the close", executedOnce, len(ids))
		})
	}
}

// The ID of a request whose client has left comes again, while the first attempt is executing and long after its end. It is not
// executed again.
func TestRequestIDComesAgainAndIsExecutedAgain(t *testing.T) {
	const execution = 8 * time.Second
	r := newRig(t, programOptions{memoryMB: leastMemoryMB, sockets: mostSockets, cores: 0.5, servers: rigServers})
	for _, server := range r.servers {
		server.handle = func(w http.ResponseWriter, request *http.Request) {
			if request.Header.Get("X-Request-ID") == "long" {
				select {
				case <-time.After(execution):
				case <-request.Context().Done():
				}
			}
			fmt.Fprint(w, "served")
		}
	}
	ids := []string{"short", "long"}
	send := func() {
		for _, id := range ids {
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			tryWrite(conn, strings.Replace(requestText("once", id, "x"), fmt.Sprint(clientWait.Milliseconds()), fmt.Sprint(execution.Milliseconds()), 1))
			time.Sleep(100 * time.Millisecond)
			conn.Close()
		}
	}
	stop := make(chan struct{})
	var usual sync.WaitGroup
	usual.Go(func() { r.usualClients(stop) }) // so that the sidecar knows its servers as healthy
	for _, pause := range []time.Duration{time.Second, 4 * time.Second, 3 * time.Second} {
		time.Sleep(pause)
		send()
	}
	close(stop)
	usual.Wait()
	for _, id := range ids {
		if count := r.executions(id); count != 1 {
			t.Errorf("%s was executed %d times", id, count)
		}
	}
}
