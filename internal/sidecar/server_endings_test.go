package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milldeck/balance"
)

// smallBuffers is for sockets that take little of a request while the other side does not read.
func smallBuffers(option int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		if err := c.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 4096) }); err != nil {
			return err
		}
		return set
	}
}

// unread listens and hands over each connection as it was accepted; little of what is written to it leaves the sender.
func unread(t *testing.T) (net.Listener, <-chan net.Conn) {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: smallBuffers(syscall.SO_RCVBUF)}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			conns <- c
		}
	}()
	return ln, conns
}

// readWhole reports whether a request comes whole on a connection before it ends.
func readWhole(t *testing.T, c net.Conn) bool {
	t.Helper()
	c.SetDeadline(time.Now().Add(patience))
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	return err == nil && int64(len(body)) == r.ContentLength
}

// A repeat whose window runs out while a server does not read it: its last byte must not come when the key may be
// forgotten. The attempt never ran, and the request is answered without waiting for its deadline.
func TestRepeatEndsWithItsWindow(t *testing.T) {
	const window = 600 * time.Millisecond
	first, firstConns := unread(t)
	second, secondConns := unread(t)
	conf := newConf(newRegistry(t).addr(), ready("a", first.Addr().String()), ready("b", second.Addr().String())).
		setting(`"window_ms": 2000, "on_time_ms": 500, "hard_limit_ms": 1000`, `"window_ms": 600, "on_time_ms": 500, "hard_limit_ms": 8000`)
	s := start(t, conf, func(s *Sidecar) { s.loop.ups.dialer.Control = smallBuffers(syscall.SO_SNDBUF) })
	req := s.request("reserve", 8*time.Second)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody))), maxBody
	answered := s.goDo(req)
	c, other := net.Conn(nil), secondConns
	select {
	case c = <-firstConns:
	case c = <-secondConns:
		other = firstConns
	case <-time.After(patience):
		t.Fatal("no attempt")
	}
	if !readWhole(t, c) {
		t.Fatal("the first attempt is not whole")
	}
	ended := time.Now() // the window began before
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	repeat := receive(t, "the repeat", other)
	select {
	case got := <-answered:
		if got.status != statusFailed {
			t.Errorf("answer %d, want %d: the first attempt may have run", got.status, statusFailed)
		}
	case <-time.After(time.Until(ended.Add(window + 2*time.Second))): // long past the window: now it is read
		t.Error("not answered at the end of the window")
	}
	if readWhole(t, repeat) {
		t.Error("the repeat came whole after the end of the window")
	}
}

// What bounds a repeat: the first attempt that may have run, and only where a key is remembered for a while.
func TestWindowCountsFromTheFirstThatMayHaveRun(t *testing.T) {
	cfg, err := newConf("127.0.0.1:1").load(t)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(cfg, nil, nil)
	at := func(ms float64) time.Time { return l.clock.time(l.clock.base + ms) }
	attempts := func(clean ...bool) (list []*attempt) { // 100 ms apart
		for i, c := range clean {
			list = append(list, &attempt{from: l.clock.base + 100*float64(i), clean: c})
		}
		return list
	}
	for name, test := range map[string]struct {
		class    string
		attempts []*attempt
		want     time.Time
	}{
		"no attempt":        {"reserve", nil, time.Time{}},
		"never ran":         {"reserve", attempts(true, true), time.Time{}},
		"second may have":   {"reserve", attempts(true, false, false), at(2100)},
		"first may have":    {"reserve", attempts(false, true), at(2000)},
		"safe":              {"lookup", attempts(false), time.Time{}},
		"unsafe, never ran": {"charge", attempts(true), time.Time{}},
	} {
		c := &call{deadline: at(5000), attempts: test.attempts}
		c.ev.Class = cfg.classes[test.class]
		if got := l.keyEnd(c); !got.Equal(test.want) {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	cfg.balance.Classes[cfg.classes["reserve"]].Window = math.MaxFloat64
	if got := l.keyEnd(&call{ev: balance.Request{Class: cfg.classes["reserve"]}, deadline: at(5000), attempts: attempts(false)}); !got.IsZero() {
		t.Errorf("an endless window ends at %v", got)
	}
}

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
	s.takeNews(s.now(), news{kind: balance.ListCached, list: cfg.known})
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

// heldDial is a dialer's hook that holds a connection back before it comes up.
type heldDial struct{ reached, release chan struct{} }

func holdDials(p *upstreams) heldDial {
	h := heldDial{make(chan struct{}, 8), make(chan struct{})}
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		h.reached <- struct{}{}
		<-h.release
		return nil
	}
	return h
}

// What discovery may tell of a server between the decision for it and the first byte.
func goings(b *backend) map[string]news {
	with := func(kind balance.ListKind, change func(*target)) news {
		t := b.target
		change(&t)
		return news{kind: kind, list: list{Rev: 2, Targets: []target{t}}}
	}
	return map[string]news{
		"drains":   with(balance.ListDelta, func(t *target) { t.State = "Terminating" }),
		"is gone":  with(balance.ListDelta, func(t *target) { t.State = "Gone" }),
		"restarts": with(balance.ListDelta, func(t *target) { t.BootMS = 1e12 }),
		"moves":    with(balance.ListDelta, func(t *target) { t.Endpoint = "127.0.0.1:1" }),
		"unlisted": with(balance.ListFull, func(t *target) { t.UID = "z" }),
	}
}

// A server that drains, goes or restarts between decision and first byte gets nothing, neither on a kept connection nor
// on one that was being dialled. The attempt never ran, and the request goes elsewhere, also an unsafe one.
func TestServerGoesBeforeTheFirstByte(t *testing.T) {
	for _, kept := range []bool{true, false} {
		b := newBackend(t, "a", ok)
		for name, gone := range goings(b) {
			t.Run(fmt.Sprintf("%s, connection kept %v", name, kept), func(t *testing.T) {
				other := newBackend(t, "b", ok)
				var dials heldDial
				s := step(t, newConf("127.0.0.1:1", b.target), func(p *upstreams) {
					if !kept {
						dials = holdDials(p)
					}
				})
				if kept { // leaves a connection
					c := s.ask("charge")
					s.take(s.now(), s.ended())
					s.answered(c)
				}
				before := b.requests.Load()
				c := s.newCall("charge")
				c.writing.Lock() // held back at the last check
				s.take(s.now(), arrival{c})
				if !kept {
					receive(t, "the dial", dials.reached)
				} else {
					until(t, "the kept connection to be taken", func() bool {
						s.ups.mu.Lock()
						defer s.ups.mu.Unlock()
						return len(s.ups.kept) == 0
					})
				}
				s.takeNews(s.now(), news{kind: balance.ListDelta, list: list{Rev: 2, Targets: []target{other.target}}})
				s.takeNews(s.now(), gone)
				if !kept {
					close(dials.release)
				}
				c.writing.Unlock()
				o := s.ended()
				if o.reply.result != balance.Moot {
					t.Fatalf("result %v, want it moot", o.reply.result)
				}
				if name == "unlisted" { // the full list named only one more, which answers nowhere
					s.takeNews(s.now(), news{kind: balance.ListFull, list: list{Rev: 3, Targets: []target{other.target}}})
				}
				s.take(s.now(), o)
				s.take(s.now(), s.ended())
				if a := s.answered(c); a.status != 200 || other.requests.Load() != 1 {
					t.Errorf("%+v, %d requests at the other server", a, other.requests.Load())
				}
				if n := b.requests.Load() - before; n != 0 {
					t.Errorf("%d requests came to the server that went", n)
				}
				s.over(c)
			})
		}
	}
}

// A request that is given up while its connection comes up, or at the last check, is not written, and its connection goes.
func TestGivenUpBeforeTheFirstByte(t *testing.T) {
	giveUp := map[string]func(s *stepped, c *call){
		"hang-up": func(s *stepped, c *call) { s.hangUp(c) },
		"time-out": func(s *stepped, c *call) {
			s.fire(s.clock.ms(c.deadline) + 1)
			if a := s.answered(c); a.status != statusTimedOut { // at once, though the attempt is not over
				s.t.Errorf("%+v", a)
			}
		},
	}
	for name, end := range giveUp {
		for _, dialling := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, while dialling %v", name, dialling), func(t *testing.T) {
				b := newBackend(t, "a", ok)
				var dials heldDial
				s := step(t, newConf("127.0.0.1:1", b.target), func(p *upstreams) { dials = holdDials(p) })
				c := s.newCall("charge")
				if !dialling {
					c.writing.Lock()
				}
				s.take(s.now(), arrival{c})
				receive(t, "the dial", dials.reached)
				if dialling {
					end(s, c)
					close(dials.release)
				} else {
					close(dials.release)
					until(t, "the connection to come up", func() bool { return b.conns.Load() == 1 })
					end(s, c)
					c.writing.Unlock()
				}
				o := s.ended()
				if o.reply.result != balance.Moot || o.attempt.sent.Load() {
					t.Errorf("%+v, sent %v", o.reply, o.attempt.sent.Load())
				}
				s.take(s.now(), o)
				s.over(c)
				if s.ups.open != 0 || b.requests.Load() != 0 {
					t.Errorf("%d connections open, %d requests at the server", s.ups.open, b.requests.Load())
				}
			})
		}
	}
}

// fullListener listens, but its queue of connections is full: new ones come up once the fillers are accepted.
func fullListener(t *testing.T) (ln net.Listener, fillers int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	for ; ; fillers++ {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return ln, fillers
		}
		t.Cleanup(func() { c.Close() })
	}
}

// A connection that comes up after the time for it, or after its request, carries nothing and is not left behind.
func TestConnectionUpLate(t *testing.T) {
	for name, test := range map[string]struct {
		setting string
		timeout time.Duration
		status  int
	}{
		"after the connect time-out": {`"connect_timeout_ms": 50`, 2 * time.Second, statusRefused},
		"after the request":          {`"connect_timeout_ms": 60000`, 100 * time.Millisecond, statusTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			ln, fillers := fullListener(t)
			c := newConf(newRegistry(t).addr(), ready("a", ln.Addr().String())).setting(`"connect_timeout_ms": 100`, test.setting)
			s := start(t, c)
			if got := s.do(s.request("charge", test.timeout)); got.status != test.status {
				t.Errorf("%+v, want %d", got, test.status)
			}
			until(t, "the descriptor to be free", func() bool {
				s.loop.ups.mu.Lock()
				defer s.loop.ups.mu.Unlock()
				return s.loop.ups.open == 0
			})
			accept := func() net.Conn {
				conn, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				return conn
			}
			for range fillers {
				accept() // there is room again: what comes next is the next request
			}
			answered := s.goDo(s.request("charge", 2*time.Second))
			conn := accept()
			if !readWhole(t, conn) {
				t.Error("the first connection to come up carries no whole request")
			}
			ok(conn, nil, "")
			if got := receive(t, "the answer", answered); got.status != 200 {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Nothing is known of servers when this machine has no socket left: they are not blamed, the request is turned away
// unsent, and the server serves again once there is room.
func TestNoSocketLeft(t *testing.T) {
	for name, none := range map[string]func(p *upstreams, full bool){
		"own bound": func(p *upstreams, full bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.most = 10; full {
				p.most = p.open
			}
		},
		"process": func(p *upstreams, full bool) { p.dialer.Control = failing(full, syscall.EMFILE) },
		"machine": func(p *upstreams, full bool) { p.dialer.Control = failing(full, syscall.ENFILE) },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			b := newBackend(t, "a", func(c net.Conn, r *http.Request, body string) bool {
				<-release
				return ok(c, r, body)
			})
			serve := sync.OnceFunc(func() { close(release) })
			t.Cleanup(serve)
			s := step(t, newConf("127.0.0.1:1", b.target))
			first := s.ask("charge")
			until(t, "the first request at the server", func() bool { return b.requests.Load() == 1 })
			none(s.ups, true)
			second := s.ask("charge")
			o := s.ended()
			if o.attempt.call != second || o.reply.result != balance.Moot {
				t.Errorf("%+v, want the second moot", o.reply)
			}
			s.take(s.now(), o)
			serve()
			s.take(s.now(), s.ended())
			if a := s.answered(first); a.status != 200 {
				t.Errorf("%+v", a)
			}
			none(s.ups, false)
			s.ups.closeIdle(s.servers[first.attempts[0].up.id])
			third := s.ask("charge")
			s.take(s.now(), s.ended())
			if a := s.answered(third); a.status != 200 {
				t.Errorf("%+v", a)
			}
			s.fire(s.now() + s.cfg.balance.Classes[second.ev.Class].Aim) // no other server has come up for it
			if a := s.answered(second); a.status != statusRefused {
				t.Errorf("%+v", a)
			}
			s.over(second)
		})
	}
}

func failing(now bool, err error) func(string, string, syscall.RawConn) error {
	if !now {
		return nil
	}
	return func(string, string, syscall.RawConn) error { return os.NewSyscallError("socket", err) }
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
			late := s.now() + s.cfg.balance.Classes[c.ev.Class].Aim + 1
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
	s.takeNews(s.now(), news{kind: balance.ListDelta, list: list{Rev: 2, Targets: []target{good.target}}})
	s.take(s.now(), o)
	s.take(s.now(), s.ended())
	if a := s.answered(c); a.status != 200 || good.requests.Load() != 1 {
		t.Errorf("%+v, %d requests", a, good.requests.Load())
	}
	s.over(c)
}
