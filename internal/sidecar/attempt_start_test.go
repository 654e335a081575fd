package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"milldeck/balance"
)

// blockedDial is a dialer hook that blocks each dial before the connection is established.
type blockedDial struct{ started, release chan struct{} }

func blockDials(pool *connPool) blockedDial {
	blocked := blockedDial{make(chan struct{}, 8), make(chan struct{})}
	pool.dialer.Control = func(string, string, syscall.RawConn) error {
		blocked.started <- struct{}{}
		<-blocked.release
		return nil
	}
	return blocked
}

// endpointRemovals returns the updates with which discovery can withdraw a server between the decision for an attempt and
// its first byte.
func endpointRemovals(server *backend) map[string]endpointUpdate {
	updateWith := func(kind balance.UpdateKind, change func(*endpoint)) endpointUpdate {
		changed := server.endpoint
		change(&changed)
		return endpointUpdate{kind: kind, endpoints: endpointList{Revision: 2, Endpoints: []endpoint{changed}}}
	}
	return map[string]endpointUpdate{
		"drains":              updateWith(balance.UpdateDelta, func(changed *endpoint) { changed.State = "Terminating" }),
		"is removed":          updateWith(balance.UpdateDelta, func(changed *endpoint) { changed.State = "Gone" }),
		"restarts":            updateWith(balance.UpdateDelta, func(changed *endpoint) { changed.BootMS = 1e12 }),
		"changes its address": updateWith(balance.UpdateDelta, func(changed *endpoint) { changed.Address = "127.0.0.1:1" }),
		"unlisted":            updateWith(balance.UpdateFull, func(changed *endpoint) { changed.UID = "z" }),
	}
}

// A server that drains, is removed or restarts between the decision for an attempt and its first byte gets no bytes, neither
// on a reused connection nor on a connection that is being dialed. The attempt counts as never executed, and even a
// non-idempotent request is retried at another server.
func TestEndpointRemovedBeforeFirstByte(t *testing.T) {
	for _, reused := range []bool{true, false} {
		server := newBackend(t, "a", serveOK)
		for name, removal := range endpointRemovals(server) {
			t.Run(fmt.Sprintf("%s, reused connection %v", name, reused), func(t *testing.T) {
				other := newBackend(t, "b", serveOK)
				var dials blockedDial
				loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", server.endpoint), func(pool *connPool) {
					if !reused {
						dials = blockDials(pool)
					}
				})
				if reused { // leaves an idle connection
					call := loop.submit("charge")
					loop.handleEvent(loop.nowMS(), loop.nextCompleted())
					loop.takeResponse(call)
				}
				before := server.requests.Load()
				call := loop.newCall("charge")
				call.writeMu.Lock() // blocks the final check
				loop.handleEvent(loop.nowMS(), requestArrived{call})
				if !reused {
					receiveWithin(t, "the dial", dials.started)
				} else {
					waitUntil(t, "the idle connection to be acquired", func() bool {
						loop.pool.mu.Lock()
						defer loop.pool.mu.Unlock()
						return len(loop.pool.hostsWithIdleConns) == 0
					})
				}
				loop.applyEndpointUpdate(loop.nowMS(), deltaUpdate(2, other.endpoint))
				loop.applyEndpointUpdate(loop.nowMS(), removal)
				if !reused {
					close(dials.release)
				}
				call.writeMu.Unlock()
				event := loop.nextCompleted()
				if event.exchange.outcome != balance.Obsolete {
					t.Fatalf("result %v, want obsolete", event.exchange.outcome)
				}
				if name == "unlisted" { // the full list named only z, at the address of the removed server
					loop.applyEndpointUpdate(loop.nowMS(), fullUpdate(3, other.endpoint))
				}
				loop.handleEvent(loop.nowMS(), event)
				loop.handleEvent(loop.nowMS(), loop.nextCompleted())
				if resp := loop.takeResponse(call); resp.status != 200 || other.requests.Load() != 1 {
					t.Errorf("%+v, %d requests at the other server", resp, other.requests.Load())
				}
				if requests := server.requests.Load() - before; requests != 0 {
					t.Errorf("%d requests reached the removed server", requests)
				}
				loop.assertReleased(call)
			})
		}
	}
}

// A call that ends while its connection is being dialed, or just before the final check, is not written. Its connection is
// closed.
func TestCallEndedBeforeFirstByte(t *testing.T) {
	endings := map[string]func(loop *steppedLoop, call *call){
		"disconnect": func(loop *steppedLoop, call *call) { loop.disconnect(call) },
		"timeout": func(loop *steppedLoop, call *call) {
			loop.runDueTimers(loop.clock.unixMS(call.deadline) + 1)
			if resp := loop.takeResponse(call); resp.status != statusTimedOut { // answered at once, although the attempt has not ended
				loop.t.Errorf("call got response %+v", resp)
			}
		},
	}
	for name, end := range endings {
		for _, dialling := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, while dialling %v", name, dialling), func(t *testing.T) {
				server := newBackend(t, "a", serveOK)
				var dials blockedDial
				loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", server.endpoint), func(pool *connPool) { dials = blockDials(pool) })
				call := loop.newCall("charge")
				if !dialling {
					call.writeMu.Lock()
				}
				loop.handleEvent(loop.nowMS(), requestArrived{call})
				receiveWithin(t, "the dial", dials.started)
				if dialling {
					end(loop, call)
					close(dials.release)
				} else {
					close(dials.release)
					waitUntil(t, "the connection to be established", func() bool { return server.conns.Load() == 1 })
					end(loop, call)
					call.writeMu.Unlock()
				}
				event := loop.nextCompleted()
				if event.exchange.outcome != balance.Obsolete || event.attempt.fullyWritten.Load() {
					t.Errorf("%+v, fully written %v", event.exchange, event.attempt.fullyWritten.Load())
				}
				loop.handleEvent(loop.nowMS(), event)
				loop.assertReleased(call)
				if loop.pool.openConns != 0 || server.requests.Load() != 0 {
					t.Errorf("%d connections open, %d requests at the server", loop.pool.openConns, server.requests.Load())
				}
			})
		}
	}
}

// newFullListener returns a listener whose accept queue is full. Further connections are established only after the test
// has accepted the connections that fill the queue.
func newFullListener(t *testing.T) (listener net.Listener, fillers int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	setTestDeadline(t, listener.(*net.TCPListener))
	rawConn, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		controlErr := rawConn.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
		if controlErr != nil {
			t.Fatal(controlErr)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	for ; ; fillers++ {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return listener, fillers
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// A connection that is established after the connect timeout, or after the end of its call, carries no bytes and is closed.
func TestLateConnectionCarriesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		setting string
		timeout time.Duration
		status  int
	}{
		"after the connect time-out": {`"connect_timeout_ms": 50`, 2 * time.Second, statusRejected},
		"after the request":          {`"connect_timeout_ms": 60000`, 100 * time.Millisecond, statusTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			listener, fillers := newFullListener(t)
			document := newConfigDocument(newFakeRegistry(t).address(), readyEndpoint("a", listener.Addr().String())).replaceSetting(`"connect_timeout_ms": 100`, test.setting)
			sidecar := startSidecar(t, document)
			if got := sidecar.do(sidecar.newRequest("charge", test.timeout)); got.status != test.status {
				t.Errorf("client got %+v, want status %d", got, test.status)
			}
			waitUntil(t, "the descriptor to be released", func() bool {
				sidecar.loop.pool.mu.Lock()
				defer sidecar.loop.pool.mu.Unlock()
				return sidecar.loop.pool.openConns == 0
			})
			accept := func() net.Conn {
				conn, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				return conn
			}
			for range fillers {
				accept() // empties the queue, so that the next connection is for the next request
			}
			answered := sidecar.doAsync(sidecar.newRequest("charge", 2*time.Second))
			conn := accept()
			if !readsCompleteRequest(t, conn) {
				t.Error("the first established connection carries no complete request")
			}
			serveOK(conn, nil, "")
			if got := receiveWithin(t, "the response", answered); got.status != 200 {
				t.Errorf("client got %+v", got)
			}
		})
	}
}

// A lack of sockets on this machine does not count as a failure of the server. The request is rejected unsent, and the
// server gets requests again when sockets are available.
func TestSocketExhaustionIsNotBlamedOnServer(t *testing.T) {
	for name, exhaust := range map[string]func(pool *connPool, full bool){
		"own limit": func(pool *connPool, full bool) {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			if pool.maxConns = 10; full {
				pool.maxConns = pool.openConns
			}
		},
		"process": func(pool *connPool, full bool) { pool.dialer.Control = dialErrorControl(full, syscall.EMFILE) },
		"machine": func(pool *connPool, full bool) { pool.dialer.Control = dialErrorControl(full, syscall.ENFILE) },
		"buffers": func(pool *connPool, full bool) { pool.dialer.Control = dialErrorControl(full, syscall.ENOBUFS) },
		"ports":   func(pool *connPool, full bool) { pool.dialer.Control = dialErrorControl(full, syscall.EADDRNOTAVAIL) },
		"network": func(pool *connPool, full bool) { pool.dialer.Control = dialErrorControl(full, syscall.ENETUNREACH) },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			server := newBackend(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
				<-release
				return serveOK(conn, r, body)
			})
			serve := sync.OnceFunc(func() { close(release) })
			t.Cleanup(serve)
			loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", server.endpoint))
			first := loop.submit("charge")
			waitUntil(t, "the first request at the server", func() bool { return server.requests.Load() == 1 })
			exhaust(loop.pool, true)
			second := loop.submit("charge")
			event := loop.nextCompleted()
			if event.attempt.call != second || event.exchange.outcome != balance.Obsolete {
				t.Errorf("%+v, want the second request to be obsolete", event.exchange)
			}
			loop.handleEvent(loop.nowMS(), event)
			serve()
			loop.handleEvent(loop.nowMS(), loop.nextCompleted())
			if resp := loop.takeResponse(first); resp.status != 200 {
				t.Errorf("call got response %+v", resp)
			}
			exhaust(loop.pool, false)
			loop.pool.closeIdle(loop.readyUpstreams[first.attempts[0].upstream.id])
			third := loop.submit("charge")
			loop.handleEvent(loop.nowMS(), loop.nextCompleted())
			if resp := loop.takeResponse(third); resp.status != 200 {
				t.Errorf("call got response %+v", resp)
			}
			loop.runDueTimers(loop.nowMS() + loop.config.settings.Classes[second.request.Class].LatencyObjective) // no other server is available for it
			if resp := loop.takeResponse(second); resp.status != statusRejected {
				t.Errorf("call got response %+v", resp)
			}
			loop.assertReleased(second)
		})
	}
}

func dialErrorControl(active bool, err error) func(string, string, syscall.RawConn) error {
	if !active {
		return nil
	}
	return func(string, string, syscall.RawConn) error { return os.NewSyscallError("socket", err) }
}
