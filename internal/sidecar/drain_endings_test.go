package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A request that crosses the end of a resting connection, or half of one, is not read, and resets nothing: the client
// sees an end and is served on a new connection. What waits to be accepted is served too, one by one where there is
// room for one, and each answer ends its connection.
func TestEndOfADrain(t *testing.T) {
	calls := make(chan *call, 10)
	f := bareFrontend(t, 1, 1, func(ev any) {
		if a, is := ev.(arrival); is {
			calls <- a.call
		}
	})
	srv := f.server()
	served, ended := make(chan error, 1), make(chan error, 1)
	go func() { served <- srv.Serve(f.conns) }()
	r := &running{t: t, Sidecar: &Sidecar{frontend: f}}
	reply := func(in *bufio.Reader) {
		t.Helper()
		c := receive(t, "a request", calls)
		c.finish()
		c.answers <- answer{status: 200}
		if got := status(t, in); got != 200 {
			t.Errorf("answered %d", got)
		}
	}
	conn := r.dial()
	in := bufio.NewReader(conn)
	text := r.text(r.request("lookup", patience))
	send(t, conn, text)
	reply(in)
	f.conns.awaitRest(t)
	f.conns.shutResting()
	send(t, conn, text) // after the shutdown, before the close
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the end: %v", err)
	}
	if len(calls) > 0 {
		t.Error("what came after the end was sent on")
	}
	conn.Close()

	var waiting []*bufio.Reader
	for range 3 {
		conn := r.dial()
		send(t, conn, r.text(r.request("lookup", patience)))
		waiting = append(waiting, bufio.NewReader(conn))
	}
	c := receive(t, "the first", calls)
	go func() { ended <- f.finish(srv, served, time.Now().Add(patience)) }()
	until(t, "the end", f.closing.Load)
	calls <- c
	for _, in := range waiting {
		reply(in)
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("after the answer: %v", err)
		}
	}
	if err := receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", f.conns.Addr().String()); err == nil {
		t.Error("connects after the end")
	}
}

// lateConn gives what it has read to its reader when the test says so.
type lateConn struct {
	*clientConn
	read    chan struct{}
	release chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.clientConn.Read(p)
	if n > 1 {
		c.read <- struct{}{}
		<-c.release
	}
	return n, err
}

// lateListener makes all connections late ones.
type lateListener struct {
	*clientConns
	read, release chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.clientConns.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{c.(*clientConn), l.read, l.release}, nil
}

// A request that was read when the drain came to its end is answered, though net/http holds its connection to be idle
// still; one that rests is closed.
func TestRequestReadAtTheDrainIsAnswered(t *testing.T) {
	f := bareFrontend(t, 10, 10, func(ev any) {
		if a, is := ev.(arrival); is && a.call.finish() {
			a.call.answers <- answer{status: 200}
		}
	})
	l := lateListener{f.conns, make(chan struct{}, 10), make(chan struct{}, 10)}
	srv := f.server()
	follow, withConn := srv.ConnState, srv.ConnContext
	srv.ConnState = func(c net.Conn, state http.ConnState) { follow(c.(*lateConn).clientConn, state) }
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return withConn(ctx, c.(*lateConn).clientConn)
	}
	served, ended := make(chan error, 1), make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	r := &running{t: t, Sidecar: &Sidecar{frontend: f}}
	var conns [2]net.Conn
	var ins [2]*bufio.Reader
	for i := range conns {
		conns[i] = r.dial()
		ins[i] = bufio.NewReader(conns[i])
		l.release <- struct{}{}
		send(t, conns[i], r.text(r.request("lookup", patience)))
		receive(t, "the request", l.read)
		if got := status(t, ins[i]); got != 200 {
			t.Fatal(got)
		}
	}
	send(t, conns[0], r.text(r.request("lookup", patience)))
	receive(t, "the next request", l.read)
	go func() { ended <- f.finish(srv, served, time.Now().Add(patience)) }()
	if got := status(t, ins[1]); got != 0 {
		t.Errorf("the resting one: %d", got)
	}
	l.release <- struct{}{}
	if got := status(t, ins[0]); got != 200 {
		t.Errorf("the one that was read: %d", got)
	}
	conns[0].Close()
	conns[1].Close()
	if err := receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
}

// allStacks is what all goroutines are at.
func allStacks() string {
	buf := make([]byte, 1<<20)
	return string(buf[:runtime.Stack(buf, true)])
}

// inStack is how a function stands in allStacks, whatever it is called.
func inStack(function any) string {
	return runtime.FuncForPC(reflect.ValueOf(function).Pointer()).Name() + "("
}

// A time-out, a client's end and the end of the process that cross the loop's answer leave one answer, the loop's.
func TestEndsThatCrossAnAnswer(t *testing.T) {
	for name, end := range map[string]func(f *frontend, conn net.Conn){
		"time-out":           func(*frontend, net.Conn) {},
		"client's end":       func(_ *frontend, conn net.Conn) { conn.(*net.TCPConn).CloseWrite() },
		"end of the process": func(f *frontend, _ net.Conn) { close(f.ending) },
	} {
		t.Run(name, func(t *testing.T) {
			posted := make(chan any, 10)
			f := bareFrontend(t, 10, 10, func(ev any) { posted <- ev })
			srv := f.server()
			go srv.Serve(f.conns)
			defer srv.Close()
			r := &running{t: t, Sidecar: &Sidecar{frontend: f}}
			conn := r.dial()
			wait := patience
			if name == "time-out" {
				wait = time.Millisecond
			}
			send(t, conn, r.text(r.request("lookup", wait)))
			c := receive(t, "the request", posted).(arrival).call
			c.finish() // the loop has decided
			end(f, conn)
			until(t, "the handler to see the end", func() bool { return strings.Contains(allStacks(), inStack((*frontend).conclude)) })
			c.answers <- answer{status: 200}
			if got := status(t, bufio.NewReader(conn)); got != 200 {
				t.Errorf("answered %d", got)
			}
			if len(posted) > 0 {
				t.Error("the loop is told of an end")
			}
		})
	}
}

// Clients that send on every connection as long as it is open, and such that rest until they are closed: whatever was
// sent on is answered, and no connection is open once the sidecar has ended.
func TestClientsUpToTheEnd(t *testing.T) {
	var answered sync.Map // ids that were sent on, and whether their clients have an answer
	var sent atomic.Int64
	f := bareFrontend(t, 20, 20, func(ev any) {
		if a, is := ev.(arrival); is && a.call.finish() {
			answered.Store(a.call.out.header.Get("X-Request-ID"), false)
			sent.Add(1)
			a.call.answers <- answer{status: 200}
		}
	})
	f.maxTaken = 20
	srv := f.server()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(f.conns) }()
	s := &running{t: t, Sidecar: &Sidecar{frontend: f}}
	var clients sync.WaitGroup
	for i := range 12 {
		conn := s.dial()
		clients.Go(func() {
			in := bufio.NewReader(conn)
			for {
				req := s.request("charge", time.Second)
				if req.Write(conn) != nil {
					return
				}
				got := status(t, in)
				if got == 0 {
					return // it crossed the end
				}
				if got != 200 {
					t.Errorf("answered %d", got)
				}
				answered.Store(req.Header.Get("X-Request-ID"), true)
				if i%3 == 0 { // rests from its first answer on
					if _, err := in.ReadByte(); err != io.EOF {
						t.Errorf("the end of a rest: %v", err)
					}
					return
				}
			}
		})
	}
	until(t, "some load", func() bool { return sent.Load() > 50 })
	if err := f.finish(srv, served, time.Now().Add(patience)); err != nil {
		t.Error(err)
	}
	if n := f.conns.open(); n != 0 {
		t.Errorf("%d connections are open", n)
	}
	clients.Wait()
	answered.Range(func(id, is any) bool {
		if !is.(bool) {
			t.Errorf("%v was sent on and not answered", id)
		}
		return true
	})
}

// A client that does not take its answer holds a drain up no longer than the process may live.
func TestDrainWithAClientThatDoesNotRead(t *testing.T) {
	body := strings.Repeat("x", maxBody)
	b := newBackend(t, "a", respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true))
	s := start(t, newConf(newRegistry(t).addr(), b.target))
	s.frontend.writeWait = time.Hour
	conn := s.dial()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	stuck := func() bool {
		for g := range strings.SplitSeq(allStacks(), "\n\n") {
			if strings.Contains(g, inStack(write)) && strings.Contains(g, "waitWrite") {
				return true
			}
		}
		return false
	}
	asked := int64(0)
	until(t, "an answer that is not taken", func() bool {
		if b.requests.Load() == asked {
			send(t, conn, s.text(s.request("lookup", patience)))
			asked++
		}
		return stuck()
	})
	s.term()
	if err := receive(t, "the end", s.ended); err != nil {
		t.Error(err)
	}
	s.ended <- nil
}

// Bad clients in numbers, of every kind that leaves, keep nobody out and leave nothing behind.
func TestFloodOfClientsThatLeave(t *testing.T) {
	b := newBackend(t, "a", ok)
	c := newConf(newRegistry(t).addr(), b.target)
	c["limits"] = map[string]any{"sockets": fewestSockets, "memory_mb": 64}
	s := start(t, c)
	memory := s.frontend.memory.left.Load()
	ask := s.text(s.request("lookup", time.Minute)) // one id: all but the first are turned away, or go on to no server
	kinds := []string{
		"", "GET /api HT", ask[:len(ask)-2], "POST /api HTTP/1.1\r\nHost: b\r\nContent-Length: 60000\r\n\r\nhalf",
		ask, ask + ask, ask + strings.Repeat("x", 5000), ask + strings.Repeat("x", 1<<18), strings.Repeat("x", 1<<18),
		"GET /api HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHead),
	}
	var flood sync.WaitGroup
	for i := range 4 {
		flood.Go(func() {
			for j := range 100 {
				conn, err := net.Dial("tcp", s.Addr())
				if err != nil {
					t.Error(err)
					return
				}
				conn.SetDeadline(time.Now().Add(patience))
				if (i+j)%2 == 0 {
					conn.(*net.TCPConn).SetLinger(0) // leaves with a reset
				}
				io.WriteString(conn, kinds[j%len(kinds)])
				conn.Close()
			}
		})
	}
	for range 20 {
		if got := s.do(s.request("lookup", patience)); got.status != 200 { // GET: sent again where it crosses an end
			t.Errorf("beside the flood: %+v", got)
		}
	}
	flood.Wait()
	s.client.CloseIdleConnections()
	until(t, "all to be over", func() bool {
		return s.frontend.conns.open() == 0 && s.frontend.taken.Load() == 0 && s.frontend.memory.left.Load() == memory
	})
}

// Where idle clients hold all their descriptors a new configuration is followed, servers are reached, and one that
// rests gives way to one that asks; at the end all are closed.
func TestIdleClientsHoldAllDescriptors(t *testing.T) {
	b := newBackend(t, "a", ok)
	b2 := newBackend(t, "b", ok)
	reg, reg2 := newRegistry(t), newRegistry(t)
	c := newConf(reg.addr(), b.target)
	c["limits"] = map[string]any{"sockets": fewestSockets}
	s := start(t, c, func(s *Sidecar) { s.frontend.conns.keep = fewestSockets })
	most := s.frontend.conns.most
	ask := func(conn net.Conn) {
		t.Helper()
		send(t, conn, s.text(s.request("charge", patience)))
		if got := status(t, bufio.NewReader(conn)); got != 200 {
			t.Fatalf("answered %d", got)
		}
	}
	began := time.Now()
	var resting []net.Conn
	for range most {
		resting = append(resting, s.dial())
		ask(resting[len(resting)-1])
	}
	if n := s.frontend.conns.open(); n != most {
		t.Fatalf("%d connections are open, want %d", n, most)
	}
	ask(s.dial())
	if took := time.Since(began); took >= idleWait { // when the first of them ends by itself
		t.Errorf("one that asks is served after %v", took)
	}
	receive(t, "the watch", reg.calls).fail <- http.StatusInternalServerError // an outage; it is asked again
	receive(t, "the watch that comes back", reg.calls)
	c["discovery"] = reg2.addr()
	cfg, err := c.load(t)
	if err != nil {
		t.Fatal(err)
	}
	s.Reload(cfg)
	receive(t, "the watch at the new address", reg2.calls).send(t, list{Rev: 2, All: true, Targets: []target{b2.target}})
	until(t, "the new list", func() bool {
		ask(s.dial())
		return b2.requests.Load() > 0
	})
	if n := s.frontend.conns.open(); n > most {
		t.Errorf("%d connections are open, of %d", n, most)
	}
	s.term()
	if err := receive(t, "the end", s.ended); err != nil {
		t.Error(err)
	}
	s.ended <- nil
	for _, conn := range resting {
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("a resting connection: %v", err)
		}
	}
}
