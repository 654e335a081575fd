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

// reset ends a connection as the end of a process does.
func reset(c net.Conn) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// openEnded writes text and leaves the connection open, until the sidecar ends it.
func openEnded(text string) serveOne {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, text)
		io.Copy(io.Discard, c)
		return false
	}
}

// endless writes a beginning and then the same again and again, many at a time, until the sidecar ends the connection.
func endless(text, again string) serveOne {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		_, err := io.WriteString(c, text)
		again := strings.Repeat(again, 100)
		for err == nil {
			_, err = io.WriteString(c, again)
		}
		return false
	}
}

// thenReset writes text and resets the connection once the sidecar's machine has it.
func thenReset(text string) serveOne {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, text)
		return reset(c)
	}
}

const halfLine = "HTTP/1.1 200 O"

// Each way in which an attempt may end, for each effect: a further one goes out only where the rules let it, and not
// before the connection of the one before is closed. Whatever comes is no answer unless it is whole.
func TestWhatIsSentAfterAnEndedAttempt(t *testing.T) {
	type ends struct {
		timeout  time.Duration
		serve    serveOne
		statuses [3]int // of a safe, a keyed and an unsafe request
		attempts [3]int64
		kept     bool // the connection may be kept, as the answer is whole
	}
	// May have run: the unsafe one gets no further attempt.
	mayHaveRun := func(serve serveOne) ends {
		return ends{time.Second, serve, [3]int{200, 200, statusFailed}, [3]int64{2, 2, 1}, false}
	}
	// No outcome comes before the deadline, and there is only one attempt out at a time.
	silent := func(serve serveOne) ends {
		return ends{200 * time.Millisecond, serve, [3]int{statusRefused, statusTimedOut, statusTimedOut}, [3]int64{1, 1, 1}, false}
	}
	neverRan := func(serve serveOne) ends {
		return ends{time.Second, serve, [3]int{200, 200, 200}, [3]int64{2, 2, 2}, true}
	}
	failed := func(serve serveOne) ends {
		return ends{time.Second, serve, [3]int{200, 200, statusFailed}, [3]int64{2, 2, 1}, true}
	}
	none := "X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]ends{
		"reset at once":               mayHaveRun(thenReset("")),
		"close at once":               mayHaveRun(respond("", false)),
		"half a line, close":          mayHaveRun(respond(halfLine, false)),
		"half a line, reset":          mayHaveRun(thenReset(halfLine)),
		"half a line, silence":        silent(openEnded(halfLine)),
		"whole status line, close":    mayHaveRun(respond("HTTP/1.1 200 OK", false)),
		"half a length, close":        mayHaveRun(respond("HTTP/1.1 200 OK\r\nContent-Length: 1", false)),
		"half an end of head, close":  mayHaveRun(respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", false)),
		"half a mark, close":          mayHaveRun(respond("HTTP/1.1 503 No\r\nContent-Length: 0\r\nX-Not-Processed: 1", false)),
		"half a chunk, reset":         mayHaveRun(thenReset("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo")),
		"last chunk alone, close":     mayHaveRun(respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0", false)),
		"no length, close":            mayHaveRun(respond("HTTP/1.1 200 OK\r\n\r\ndone", false)),
		"no length, reset":            mayHaveRun(thenReset("HTTP/1.1 200 OK\r\n\r\ndone")),
		"no length, left open":        mayHaveRun(openEnded("HTTP/1.1 200 OK\r\n\r\ndone")),
		"not HTTP, left open":         mayHaveRun(openEnded("hello\r\n\r\n")),
		"endless head":                mayHaveRun(endless("HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n")),
		"endless line":                mayHaveRun(endless("HTTP/1.1 200 OK\r\nX-More: ", "of the same")),
		"endless chunks":              mayHaveRun(endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")),
		"endless chunk":               mayHaveRun(endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "x")),
		"endless trailer":             mayHaveRun(endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n")),
		"endless hints":               mayHaveRun(endless("", "HTTP/1.1 103 Soon\r\n\r\n")),
		"hints, then silence":         silent(openEnded("HTTP/1.1 103 Soon\r\n\r\n")),
		"body, then silence":          silent(openEnded("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone")),
		"error":                       failed(respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", true)),
		"429 with mark":               failed(respond("HTTP/1.1 429 No\r\n"+none, true)),
		"502 with mark":               failed(respond("HTTP/1.1 502 No\r\n"+none, true)),
		"503 with mark, cut short":    mayHaveRun(respond("HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\n", false)),
		"503 without mark":            failed(respond("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true)),
		"503 with mark":               neverRan(respond("HTTP/1.1 503 No\r\n"+none, true)),
		"504 with mark, then a close": neverRan(respond("HTTP/1.1 504 No\r\n"+none, false)),
		"whole, then a reset":         {time.Second, thenReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"), [3]int{200, 200, 200}, [3]int64{1, 1, 1}, true},
	} {
		for i, class := range []string{"lookup", "reserve", "charge"} {
			t.Run(name+"/"+class, func(t *testing.T) {
				var attempts atomic.Int64
				ended := make(chan net.Conn, 1)
				serve := func(c net.Conn, r *http.Request, body string) bool {
					if attempts.Add(1) == 1 {
						ended <- c
						return test.serve(c, r, body)
					}
					if first := <-ended; !test.kept && quiet(first) {
						t.Error("the connection of the first attempt is open")
					}
					return ok(c, r, body)
				}
				a, b := newBackend(t, "a", serve), newBackend(t, "b", serve)
				s := start(t, newConf(newRegistry(t).addr(), a.target, b.target))
				memory := s.loop.ups.memory.left.Load()
				got := s.do(s.request(class, test.timeout))
				if got.status != test.statuses[i] || got.status == 200 && got.body != "done" {
					t.Errorf("answer %d %q, want %d", got.status, got.body, test.statuses[i])
				}
				if n := attempts.Load(); n != test.attempts[i] {
					t.Errorf("%d attempts, want %d", n, test.attempts[i])
				}
				until(t, "all memory to be given back", func() bool { return s.loop.ups.memory.left.Load() == memory })
			})
		}
	}
}

// stepped is a loop whose events the test takes one by one, in the order it chooses. Its attempts are real.
type stepped struct {
	*loop
	t      *testing.T
	memory int64
}

func step(t *testing.T, c conf, tweaks ...func(*upstreams)) *stepped {
	t.Helper()
	cfg, err := c.load(t)
	if err != nil {
		t.Fatal(err)
	}
	bal, err := balance.New(cfg.balance)
	if err != nil {
		t.Fatal(err)
	}
	memory := &budget{}
	memory.give(4 * maxBody)
	s := &stepped{newLoop(cfg, bal, newUpstreams(cfg, 10, memory)), t, 4 * maxBody}
	s.ups.restWait = 0
	for _, tweak := range tweaks {
		tweak(s.ups)
	}
	var end context.CancelFunc
	s.ctx, end = context.WithCancel(context.Background())
	s.disc = newDiscovery(cfg.Discovery, s.post, func(func()) {})
	t.Cleanup(func() {
		end()
		close(s.stopped)
		s.workers.Wait()
		s.ups.closeAll()
		if s.ups.open != 0 {
			t.Errorf("%d connections are still counted", s.ups.open)
		}
		if left := memory.left.Load(); left != s.memory {
			t.Errorf("%d bytes of the memory for bodies are not given back", s.memory-left)
		}
	})
	s.act(s.now(), bal.Start(s.now()))
	s.takeNews(s.now(), news{kind: balance.UpdateCached, list: cfg.known})
	return s
}

func (s *stepped) now() float64 { return s.clock.ms(time.Now()) }

// ask makes a request arrive; its first attempt is under way afterwards.
func (s *stepped) ask(class string) *call {
	c := s.newCall(class)
	s.take(s.now(), arrival{c})
	return c
}

func (s *stepped) newCall(class string) *call {
	c := &call{answers: make(chan answer, 1), deadline: time.Now().Add(patience), out: &outbound{
		method: "POST", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}, body: []byte("plate 12-34"),
	}}
	c.ev.Class = s.cfg.classes[class]
	return c
}

// ended waits for an attempt to end; the loop has not heard of it yet.
func (s *stepped) ended() outcome {
	s.t.Helper()
	return receive(s.t, "the end of an attempt", s.inbox).(outcome)
}

// hangUp is what the frontend does when the client is gone.
func (s *stepped) hangUp(c *call) {
	s.t.Helper()
	if !c.finish() {
		s.t.Fatal("already answered")
	}
	s.take(s.now(), hangUp{c})
}

// answered takes the one answer as the frontend does.
func (s *stepped) answered(c *call) answer {
	s.t.Helper()
	select {
	case a := <-c.answers:
		s.ups.memory.give(a.held)
		return a
	default:
		s.t.Fatal("not answered")
		panic("unreachable")
	}
}

// over checks that nothing is left of a request.
func (s *stepped) over(c *call) {
	s.t.Helper()
	if len(c.answers) != 0 || len(s.calls) != 0 || !c.final.Load() {
		s.t.Errorf("%d further answers, %d requests open, answered %v", len(c.answers), len(s.calls), c.final.Load())
	}
}

// An answer is whole in the moment in which its request ends otherwise. Whichever the loop takes first, there is one
// answer, one outcome and no memory left.
func TestAnswerCrossesTheEnd(t *testing.T) {
	b := newBackend(t, "a", ok)
	for name, play := range map[string]func(s *stepped, c *call, o outcome){
		"hang-up first": func(s *stepped, c *call, o outcome) {
			s.hangUp(c)
			s.take(s.now(), o)
		},
		"answer first": func(s *stepped, c *call, o outcome) {
			s.take(s.now(), o)
			if c.finish() {
				s.t.Error("a second answer could be given")
			}
			if a := s.answered(c); a.status != 200 || string(a.body) != "done" {
				s.t.Errorf("%+v", a)
			}
		},
		"time-out first": func(s *stepped, c *call, o outcome) {
			s.fire(s.clock.ms(c.deadline) + 1)
			if a := s.answered(c); a.status != statusTimedOut {
				s.t.Errorf("%+v", a)
			}
			s.take(s.clock.ms(c.deadline)+1, o)
		},
		"overdue first": func(s *stepped, c *call, o outcome) {
			f := &frontend{post: func(ev any) { s.take(s.now(), ev) }}
			if a, owed := f.conclude(c); !owed || a.status != statusTimedOut {
				s.t.Errorf("%+v, owed %v", a, owed)
			}
			s.take(s.now(), o)
		},
		"answer before overdue": func(s *stepped, c *call, o outcome) {
			s.take(s.now(), o)
			f := &frontend{post: func(any) { s.t.Error("the loop hears of a second end") }}
			a, owed := f.conclude(c)
			if owed || a.status != 200 {
				s.t.Errorf("%+v, owed %v", a, owed)
			}
			s.ups.memory.give(a.held)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := step(t, newConf("127.0.0.1:1", b.target))
			c := s.ask("charge")
			o := s.ended()
			if o.reply.result != balance.OK {
				t.Fatalf("%+v", o.reply)
			}
			play(s, c, o)
			s.over(c)
		})
	}
}

// cutAt plays what comes on a connection and calls cut in the moment in which something has come.
type cutAt struct {
	net.Conn
	cut func()
}

func (c cutAt) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.cut()
	return n, err
}

// The cut comes while the answer is read: what has come whole by then is the answer, what has not is none, and the
// connection is closed in any case.
func TestCutWhileReading(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for name, test := range map[string]struct {
		text string
		cut  func(a *attempt, conn *upConn)
		want balance.Result
	}{
		"whole, cancelled": {whole, func(a *attempt, _ *upConn) { a.cancel() }, balance.OK},
		"part, cancelled":  {whole[:len(whole)-1], func(a *attempt, _ *upConn) { a.cancel() }, balance.Cancelled},
		"part, timed out": {whole[:len(whole)-1], func(_ *attempt, conn *upConn) {
			conn.SetDeadline(longAgo)
		}, balance.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "a", openEnded(test.text))
			p, a, conn, _ := exchanging(t, b)
			a.call.out = &outbound{method: "GET", url: &url.URL{Path: "/api"}, host: "b", header: http.Header{}}
			memory := p.memory.left.Load()
			conn.left.R = cutAt{conn.Conn, func() { test.cut(a, conn) }}
			p.put(conn)
			r := p.send(a)
			if r.result != test.want || r.result == balance.OK && string(r.answer.body) != "done" {
				t.Errorf("%+v, want %v", r, test.want)
			}
			if left := p.memory.left.Load(); left != memory-int64(r.answer.held) {
				t.Errorf("%d bytes held for an answer of %d", memory-left, r.answer.held)
			}
			if p.open != 0 {
				t.Error("the connection is not closed")
			}
		})
	}
}

// A second answer behind the first, before or after its connection was put to rest, is never the next request's.
func TestSecondAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"
	for _, atOnce := range []bool{true, false} {
		t.Run(fmt.Sprintf("at once %v", atOnce), func(t *testing.T) {
			conns := make(chan net.Conn, 2)
			requests := 0
			b := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
				text := fmt.Sprintf(answer, requests)
				if requests++; atOnce {
					text += text
				}
				_, err := io.WriteString(c, text)
				conns <- c
				return err == nil
			})
			s := step(t, newConf("127.0.0.1:1", b.target))
			for i := range 2 {
				c := s.ask("charge")
				s.take(s.now(), s.ended())
				if a := s.answered(c); a.status != 200 || string(a.body) != strconv.Itoa(i) {
					t.Fatalf("request %d got %+v", i, a)
				}
				up, conn := c.attempts[0].up, <-conns
				if atOnce {
					if len(up.idle) != 0 {
						t.Error("the connection is kept")
					}
					continue
				}
				fmt.Fprintf(conn, answer, i)
				until(t, "the second answer", func() bool { return !quiet(up.idle[0].Conn) })
			}
			if n := b.conns.Load(); n != 2 {
				t.Errorf("%d connections, want one for each request", n)
			}
		})
	}
}

// A second answer that comes only when the next request is out: that one is on another connection, as the first rests.
func TestSecondAnswerBehindTheNextRequest(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d"
	var first net.Conn
	requests := 0
	b := newBackend(t, "a", func(c net.Conn, _ *http.Request, _ string) bool {
		if first == nil {
			first = c
		} else {
			fmt.Fprintf(first, answer, 0)
		}
		requests++
		_, err := fmt.Fprintf(c, answer, requests-1)
		return err == nil
	})
	s := step(t, newConf("127.0.0.1:1", b.target), func(p *upstreams) { p.restWait = time.Hour })
	for i := range 2 {
		c := s.ask("charge")
		s.take(s.now(), s.ended())
		if a := s.answered(c); a.status != 200 || string(a.body) != strconv.Itoa(i) {
			t.Errorf("request %d got %+v", i, a)
		}
	}
	if n := b.conns.Load(); n != 2 {
		t.Errorf("%d connections, want one for each request", n)
	}
}

// A reset long after the request has begun, past its aim: it may have run, so what it may still be depends on its effect.
func TestResetLongAfter(t *testing.T) {
	for class, test := range map[string]struct {
		status  int
		further bool
	}{
		"lookup":  {statusRefused, false}, // past its aim it is worth no further attempt
		"reserve": {200, true},            // within its window, in the cell
		"charge":  {statusFailed, false},
	} {
		t.Run(class, func(t *testing.T) {
			begun := make(chan net.Conn, 1)
			var attempts atomic.Int64
			serve := func(c net.Conn, r *http.Request, body string) bool {
				if attempts.Add(1) > 1 {
					return ok(c, r, body)
				}
				begun <- c
				io.Copy(io.Discard, c)
				return false
			}
			a, b := newBackend(t, "a", serve), newBackend(t, "b", serve)
			s := step(t, newConf("127.0.0.1:1", a.target, b.target))
			c := s.ask(class)
			conn := receive(t, "the request", begun)
			late := s.now() + s.cfg.balance.Classes[c.ev.Class].LatencyObjective + 1
			s.fire(late)
			reset(conn)
			conn.Close()
			o := s.ended()
			if o.reply.result != balance.Reset {
				t.Errorf("%+v", o.reply)
			}
			s.take(late, o)
			if test.further {
				s.take(late, s.ended())
			}
			if got := s.answered(c); got.status != test.status {
				t.Errorf("%+v, want %d", got, test.status)
			}
			s.over(c)
		})
	}
}

// A server that goes before it has read all of a request surely never ran it: also an unsafe one goes elsewhere, and
// comes whole there, once.
func TestResetInTheMiddleOfAWrite(t *testing.T) {
	ln, conns := unread(t)
	good := newBackend(t, "b", func(c net.Conn, r *http.Request, body string) bool {
		return len(body) == maxBody && ok(c, r, body)
	})
	s := step(t, newConf("127.0.0.1:1", ready("a", ln.Addr().String())), func(p *upstreams) {
		p.dialer.Control = smallBuffers(syscall.SO_SNDBUF)
	})
	c := s.newCall("charge")
	c.out.body = make([]byte, maxBody)
	s.take(s.now(), arrival{c})
	conn := receive(t, "the connection", conns)
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil { // some of it has come
		t.Fatal(err)
	}
	reset(conn)
	conn.Close()
	o := s.ended()
	if o.reply.result != balance.ConnectFailed || o.attempt.sent.Load() {
		t.Errorf("%+v, sent %v", o.reply, o.attempt.sent.Load())
	}
	s.takeNews(s.now(), news{kind: balance.UpdateDelta, list: list{Rev: 2, Targets: []target{good.target}}})
	s.take(s.now(), o)
	s.take(s.now(), s.ended())
	if a := s.answered(c); a.status != 200 || good.requests.Load() != 1 {
		t.Errorf("%+v, %d requests", a, good.requests.Load())
	}
	s.over(c)
}
