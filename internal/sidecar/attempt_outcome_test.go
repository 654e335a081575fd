package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milldeck/balance"
)

// resetConn ends a connection as the end of a process does.
func resetConn(conn net.Conn) bool {
	conn.(*net.TCPConn).SetLinger(0)
	return false
}

// respondAndStall writes text and leaves the connection open, until the sidecar ends it.
func respondAndStall(text string) serveFunc {
	return func(conn net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn)
		return false
	}
}

// respondForever writes a beginning and then the same again and again, many at a time, until the sidecar ends the connection.
func respondForever(text, repeated string) serveFunc {
	return func(conn net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(conn, text)
		repeated := strings.Repeat(repeated, 100)
		for err == nil {
			_, err = io.WriteString(conn, repeated)
		}
		return false
	}
}

// respondAndReset writes text and resets the connection once the sidecar's machine has it.
func respondAndReset(text string) serveFunc {
	return func(conn net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(conn, text)
		return resetConn(conn)
	}
}

const halfLine = "HTTP/1.1 200 O"

// Each way in which an attempt may end, for each effect: a further one goes out only where the rules let it, and not
// before the connection of the one before is closed. Whatever comes is no answer unless it is whole.
func TestRetryAfterFailedAttempt(t *testing.T) {
	type outcomeCase struct {
		timeout  time.Duration
		serve    serveFunc
		statuses [3]int // of a safe, a keyed and an unsafe request
		attempts [3]int64
		reusable bool // the connection may be kept, as the answer is whole
	}
	// May have run: the unsafe one gets no further attempt.
	maybeExecuted := func(serve serveFunc) outcomeCase {
		return outcomeCase{time.Second, serve, [3]int{200, 200, statusFailed}, [3]int64{2, 2, 1}, false}
	}
	// No outcome comes before the deadline, and there is only one attempt out at a time.
	silent := func(serve serveFunc) outcomeCase {
		return outcomeCase{200 * time.Millisecond, serve, [3]int{statusRejected, statusTimedOut, statusTimedOut}, [3]int64{1, 1, 1}, false}
	}
	neverExecuted := func(serve serveFunc) outcomeCase {
		return outcomeCase{time.Second, serve, [3]int{200, 200, 200}, [3]int64{2, 2, 2}, true}
	}
	failed := func(serve serveFunc) outcomeCase {
		return outcomeCase{time.Second, serve, [3]int{200, 200, statusFailed}, [3]int64{2, 2, 1}, true}
	}
	notProcessed := "X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]outcomeCase{
		"reset at once":               maybeExecuted(respondAndReset("")),
		"close at once":               maybeExecuted(respondWith("", false)),
		"half a line, close":          maybeExecuted(respondWith(halfLine, false)),
		"half a line, reset":          maybeExecuted(respondAndReset(halfLine)),
		"half a line, silence":        silent(respondAndStall(halfLine)),
		"whole status line, close":    maybeExecuted(respondWith("HTTP/1.1 200 OK", false)),
		"half a length, close":        maybeExecuted(respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1", false)),
		"half an end of head, close":  maybeExecuted(respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", false)),
		"half a mark, close":          maybeExecuted(respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\nX-Not-Processed: 1", false)),
		"half a chunk, reset":         maybeExecuted(respondAndReset("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo")),
		"last chunk alone, close":     maybeExecuted(respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0", false)),
		"no length, close":            maybeExecuted(respondWith("HTTP/1.1 200 OK\r\n\r\ndone", false)),
		"no length, reset":            maybeExecuted(respondAndReset("HTTP/1.1 200 OK\r\n\r\ndone")),
		"no length, left open":        maybeExecuted(respondAndStall("HTTP/1.1 200 OK\r\n\r\ndone")),
		"not HTTP, left open":         maybeExecuted(respondAndStall("hello\r\n\r\n")),
		"endless head":                maybeExecuted(respondForever("HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n")),
		"endless line":                maybeExecuted(respondForever("HTTP/1.1 200 OK\r\nX-More: ", "of the same")),
		"endless chunks":              maybeExecuted(respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")),
		"endless chunk":               maybeExecuted(respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "x")),
		"endless trailer":             maybeExecuted(respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n")),
		"endless hints":               maybeExecuted(respondForever("", "HTTP/1.1 103 Soon\r\n\r\n")),
		"hints, then silence":         silent(respondAndStall("HTTP/1.1 103 Soon\r\n\r\n")),
		"body, then silence":          silent(respondAndStall("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone")),
		"error":                       failed(respondWith("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true)),
		"429 with mark":               failed(respondWith("HTTP/1.1 429 No\r\n"+notProcessed, true)),
		"502 with mark":               failed(respondWith("HTTP/1.1 502 No\r\n"+notProcessed, true)),
		"503 with mark, cut short":    maybeExecuted(respondWith("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\n", false)),
		"503 without mark":            failed(respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true)),
		"503 with mark":               neverExecuted(respondWith("HTTP/1.1 503 No\r\n"+notProcessed, true)),
		"504 with mark, then a close": neverExecuted(respondWith("HTTP/1.1 504 No\r\n"+notProcessed, false)),
		"whole, then a reset":         {time.Second, respondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"), [3]int{200, 200, 200}, [3]int64{1, 1, 1}, true},
	} {
		for i, class := range []string{"lookup", "reserve", "charge"} {
			t.Run(name+"/"+class, func(t *testing.T) {
				var attempts atomic.Int64
				firstConn := make(chan net.Conn, 1)
				serve := func(conn net.Conn, r *http.Request, body string) bool {
					if attempts.Add(1) == 1 {
						firstConn <- conn
						return test.serve(conn, r, body)
					}
					if first := <-firstConn; !test.reusable && openAndEmpty(first) {
						t.Error("the connection of the first attempt is open")
					}
					return serveOK(conn, r, body)
				}
				serverA, serverB := newBackend(t, "a", serve), newBackend(t, "b", serve)
				sidecar := startSidecar(t, newConfigDocument(newFakeRegistry(t).address(), serverA.endpoint, serverB.endpoint))
				memory := sidecar.loop.pool.bodyMemory.remaining.Load()
				got := sidecar.do(sidecar.newRequest(class, test.timeout))
				if got.status != test.statuses[i] || got.status == 200 && got.body != "done" {
					t.Errorf("answer %d %q, want %d", got.status, got.body, test.statuses[i])
				}
				if attempted := attempts.Load(); attempted != test.attempts[i] {
					t.Errorf("%d attempts, want %d", attempted, test.attempts[i])
				}
				waitUntil(t, "all memory to be given back", func() bool { return sidecar.loop.pool.bodyMemory.remaining.Load() == memory })
			})
		}
	}
}

// steppedLoop is a loop whose events the test takes one by one, in the order it chooses. Its attempts are real.
type steppedLoop struct {
	*eventLoop
	t      *testing.T
	memory int64
}

func newSteppedLoop(t *testing.T, document configDocument, tweaks ...func(*connPool)) *steppedLoop {
	t.Helper()
	config, err := document.load(t)
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := balance.New(config.settings)
	if err != nil {
		t.Fatal(err)
	}
	memory := &byteBudget{}
	memory.release(4 * maxBody)
	loop := &steppedLoop{newEventLoop(config, balancer, newConnPool(config, 10, memory)), t, 4 * maxBody}
	loop.pool.reuseDelay = 0
	for _, tweak := range tweaks {
		tweak(loop.pool)
	}
	var cancel context.CancelFunc
	loop.ctx, cancel = context.WithCancel(context.Background())
	loop.discovery = newDiscoveryClient(config.DiscoveryAddress, loop.post, func(func()) {})
	t.Cleanup(func() {
		cancel()
		close(loop.stopped)
		loop.workers.Wait()
		loop.pool.closeAll()
		if loop.pool.openConns != 0 {
			t.Errorf("%d connections are still counted", loop.pool.openConns)
		}
		if remaining := memory.remaining.Load(); remaining != loop.memory {
			t.Errorf("%d bytes of the memory for bodies are not given back", loop.memory-remaining)
		}
	})
	loop.execute(loop.nowMS(), balancer.Start(loop.nowMS()))
	loop.applyEndpointUpdate(loop.nowMS(), endpointUpdate{kind: balance.UpdateCached, endpoints: config.knownEndpoints})
	return loop
}

func (loop *steppedLoop) nowMS() float64 { return loop.clock.unixMS(time.Now()) }

// submit makes a request arrive; its first attempt is under way afterwards.
func (loop *steppedLoop) submit(class string) *call {
	call := loop.newCall(class)
	loop.handleEvent(loop.nowMS(), requestArrived{call})
	return call
}

func (loop *steppedLoop) newCall(class string) *call {
	created := &call{response: make(chan response, 1), deadline: time.Now().Add(testTimeout), outbound: &outboundRequest{
		method: "POST", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}, body: []byte("plate 12-34"),
	}}
	created.request.Class = loop.config.classNumbers[class]
	return created
}

// nextCompleted waits for an attempt to end; the loop has not heard of it yet.
func (loop *steppedLoop) nextCompleted() attemptCompleted {
	loop.t.Helper()
	return receiveWithin(loop.t, "the end of an attempt", loop.events).(attemptCompleted)
}

// disconnect is what the frontend does when the client is gone.
func (loop *steppedLoop) disconnect(call *call) {
	loop.t.Helper()
	if !call.markAnswered() {
		loop.t.Fatal("already answered")
	}
	loop.handleEvent(loop.nowMS(), clientDisconnected{call})
}

// takeResponse takes the one answer as the frontend does.
func (loop *steppedLoop) takeResponse(call *call) response {
	loop.t.Helper()
	select {
	case resp := <-call.response:
		loop.pool.bodyMemory.release(resp.reservedBytes)
		return resp
	default:
		loop.t.Fatal("not answered")
		panic("unreachable")
	}
}

// assertReleased checks that nothing is left of a request.
func (loop *steppedLoop) assertReleased(call *call) {
	loop.t.Helper()
	if len(call.response) != 0 || len(loop.calls.byID) != 0 || !call.answered.Load() {
		loop.t.Errorf("%d further answers, %d requests open, answered %v", len(call.response), len(loop.calls.byID), call.answered.Load())
	}
}

// An answer is whole in the moment in which its request ends otherwise. Whichever the loop takes first, there is one
// answer, one outcome and no memory left.
func TestResponseRacingTermination(t *testing.T) {
	server := newBackend(t, "a", serveOK)
	for name, play := range map[string]func(loop *steppedLoop, call *call, event attemptCompleted){
		"hang-up first": func(loop *steppedLoop, call *call, event attemptCompleted) {
			loop.disconnect(call)
			loop.handleEvent(loop.nowMS(), event)
		},
		"answer first": func(loop *steppedLoop, call *call, event attemptCompleted) {
			loop.handleEvent(loop.nowMS(), event)
			if call.markAnswered() {
				loop.t.Error("a second answer could be given")
			}
			if resp := loop.takeResponse(call); resp.status != 200 || string(resp.body) != "done" {
				loop.t.Errorf("%+v", resp)
			}
		},
		"time-out first": func(loop *steppedLoop, call *call, event attemptCompleted) {
			loop.runDueTimers(loop.clock.unixMS(call.deadline) + 1)
			if resp := loop.takeResponse(call); resp.status != statusTimedOut {
				loop.t.Errorf("%+v", resp)
			}
			loop.handleEvent(loop.clock.unixMS(call.deadline)+1, event)
		},
		"overdue first": func(loop *steppedLoop, call *call, event attemptCompleted) {
			front := &frontend{post: func(posted loopEvent) { loop.handleEvent(loop.nowMS(), posted) }}
			if resp, claimed := front.concludeCall(call); !claimed || resp.status != statusTimedOut {
				loop.t.Errorf("%+v, owed %v", resp, claimed)
			}
			loop.handleEvent(loop.nowMS(), event)
		},
		"answer before overdue": func(loop *steppedLoop, call *call, event attemptCompleted) {
			loop.handleEvent(loop.nowMS(), event)
			front := &frontend{post: func(loopEvent) { loop.t.Error("the loop hears of a second end") }}
			resp, claimed := front.concludeCall(call)
			if claimed || resp.status != 200 {
				loop.t.Errorf("%+v, owed %v", resp, claimed)
			}
			loop.pool.bodyMemory.release(resp.reservedBytes)
		},
	} {
		t.Run(name, func(t *testing.T) {
			loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", server.endpoint))
			call := loop.submit("charge")
			event := loop.nextCompleted()
			if event.exchange.outcome != balance.OK {
				t.Fatalf("%+v", event.exchange)
			}
			play(loop, call, event)
			loop.assertReleased(call)
		})
	}
}

// hookedConn plays what comes on a connection and calls cut in the moment in which something has come.
type hookedConn struct {
	net.Conn
	onRead func()
}

func (c hookedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.onRead()
	return n, err
}

// The cut comes while the answer is read: what has come whole by then is the answer, what has not is none, and the
// connection is closed in any case.
func TestCancelWhileReading(t *testing.T) {
	complete := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for name, test := range map[string]struct {
		text      string
		interrupt func(attempt *attempt, conn *upstreamConn)
		want      balance.Result
	}{
		"whole, cancelled": {complete, func(attempt *attempt, _ *upstreamConn) { attempt.cancel() }, balance.OK},
		"part, cancelled":  {complete[:len(complete)-1], func(attempt *attempt, _ *upstreamConn) { attempt.cancel() }, balance.Cancelled},
		"part, timed out": {complete[:len(complete)-1], func(_ *attempt, conn *upstreamConn) {
			conn.SetDeadline(expiredDeadline)
		}, balance.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, "a", respondAndStall(test.text))
			pool, attempt, conn, _ := newExchange(t, server)
			attempt.call.outbound = &outboundRequest{method: "GET", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}}
			memory := pool.bodyMemory.remaining.Load()
			conn.limit.R = hookedConn{conn.Conn, func() { test.interrupt(attempt, conn) }}
			pool.returnIdle(conn)
			result := pool.sendAttempt(attempt)
			if result.outcome != test.want || result.outcome == balance.OK && string(result.response.body) != "done" {
				t.Errorf("%+v, want %v", result, test.want)
			}
			if remaining := pool.bodyMemory.remaining.Load(); remaining != memory-int64(result.response.reservedBytes) {
				t.Errorf("%d bytes held for an answer of %d", memory-remaining, result.response.reservedBytes)
			}
			if pool.openConns != 0 {
				t.Error("the connection is not closed")
			}
		})
	}
}

// A second answer behind the first, before or after its connection was put to rest, is never the next request's.
func TestSecondResponseIsNotReused(t *testing.T) {
	const responseFormat = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"
	for _, atOnce := range []bool{true, false} {
		t.Run(fmt.Sprintf("at once %v", atOnce), func(t *testing.T) {
			conns := make(chan net.Conn, 2)
			requests := 0
			server := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
				text := fmt.Sprintf(responseFormat, requests)
				if requests++; atOnce {
					text += text
				}
				_, err := io.WriteString(c, text)
				conns <- c
				return err == nil
			})
			loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", server.endpoint))
			for i := range 2 {
				c := loop.submit("charge")
				loop.handleEvent(loop.nowMS(), loop.nextCompleted())
				if a := loop.takeResponse(c); a.status != 200 || string(a.body) != strconv.Itoa(i) {
					t.Fatalf("request %d got %+v", i, a)
				}
				upstream, conn := c.attempts[0].upstream, <-conns
				if atOnce {
					if len(upstream.idleConns) != 0 {
						t.Error("the connection is kept")
					}
					continue
				}
				fmt.Fprintf(conn, responseFormat, i)
				waitUntil(t, "the second answer", func() bool { return !openAndEmpty(upstream.idleConns[0].Conn) })
			}
			if conns := server.conns.Load(); conns != 2 {
				t.Errorf("%d connections, want one for each request", conns)
			}
		})
	}
}

// A second answer that comes only when the next request is out: that one is on another connection, as the first rests.
func TestSecondResponseDuringNextRequest(t *testing.T) {
	const responseFormat = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"
	var first net.Conn
	requests := 0
	server := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
		if first == nil {
			first = c
		} else {
			fmt.Fprintf(first, responseFormat, 0)
		}
		requests++
		_, err := fmt.Fprintf(c, responseFormat, requests-1)
		return err == nil
	})
	loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", server.endpoint), func(pool *connPool) { pool.reuseDelay = time.Hour })
	for i := range 2 {
		c := loop.submit("charge")
		loop.handleEvent(loop.nowMS(), loop.nextCompleted())
		if resp := loop.takeResponse(c); resp.status != 200 || string(resp.body) != strconv.Itoa(i) {
			t.Errorf("request %d got %+v", i, resp)
		}
	}
	if conns := server.conns.Load(); conns != 2 {
		t.Errorf("%d connections, want one for each request", conns)
	}
}

// A reset long after the request has begun, past its aim: it may have run, so what it may still be depends on its effect.
func TestResetAfterLatencyObjective(t *testing.T) {
	for class, test := range map[string]struct {
		status  int
		retried bool
	}{
		"lookup":  {statusRejected, false}, // past its aim it is worth no further attempt
		"reserve": {200, true},             // within its window, in the cell
		"charge":  {statusFailed, false},
	} {
		t.Run(class, func(t *testing.T) {
			started := make(chan net.Conn, 1)
			var attempts atomic.Int64
			serve := func(c net.Conn, r *http.Request, body string) bool {
				if attempts.Add(1) > 1 {
					return serveOK(c, r, body)
				}
				started <- c
				io.Copy(io.Discard, c)
				return false
			}
			serverA, serverB := newBackend(t, "a", serve), newBackend(t, "b", serve)
			loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", serverA.endpoint, serverB.endpoint))
			c := loop.submit(class)
			conn := receiveWithin(t, "the request", started)
			lateMS := loop.nowMS() + loop.config.settings.Classes[c.request.Class].LatencyObjective + 1
			loop.runDueTimers(lateMS)
			resetConn(conn)
			conn.Close()
			event := loop.nextCompleted()
			if event.exchange.outcome != balance.Reset {
				t.Errorf("%+v", event.exchange)
			}
			loop.handleEvent(lateMS, event)
			if test.retried {
				loop.handleEvent(lateMS, loop.nextCompleted())
			}
			if got := loop.takeResponse(c); got.status != test.status {
				t.Errorf("%+v, want %d", got, test.status)
			}
			loop.assertReleased(c)
		})
	}
}

// A server that goes before it has read all of a request surely never ran it: also an unsafe one goes elsewhere, and
// comes whole there, once.
func TestResetDuringWrite(t *testing.T) {
	listener, conns := newUnreadListener(t)
	healthyServer := newBackend(t, "b", func(c net.Conn, r *http.Request, body string) bool {
		return len(body) == maxBody && serveOK(c, r, body)
	})
	loop := newSteppedLoop(t, newConfigDocument("127.0.0.1:1", readyEndpoint("a", listener.Addr().String())), func(pool *connPool) {
		pool.dialer.Control = smallSocketBuffers(syscall.SO_SNDBUF)
	})
	c := loop.newCall("charge")
	c.outbound.body = make([]byte, maxBody)
	loop.handleEvent(loop.nowMS(), requestArrived{c})
	conn := receiveWithin(t, "the connection", conns)
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil { // some of it has come
		t.Fatal(err)
	}
	resetConn(conn)
	conn.Close()
	event := loop.nextCompleted()
	if event.exchange.outcome != balance.ConnectFailed || event.attempt.fullyWritten.Load() {
		t.Errorf("%+v, sent %v", event.exchange, event.attempt.fullyWritten.Load())
	}
	loop.applyEndpointUpdate(loop.nowMS(), endpointUpdate{kind: balance.UpdateDelta, endpoints: endpointList{Revision: 2, Endpoints: []endpoint{healthyServer.endpoint}}})
	loop.handleEvent(loop.nowMS(), event)
	loop.handleEvent(loop.nowMS(), loop.nextCompleted())
	if resp := loop.takeResponse(c); resp.status != 200 || healthyServer.requests.Load() != 1 {
		t.Errorf("%+v, %d requests", resp, healthyServer.requests.Load())
	}
	loop.assertReleased(c)
}
