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
	with := func(kind balance.UpdateKind, change func(*target)) news {
		t := b.target
		change(&t)
		return news{kind: kind, list: list{Rev: 2, Targets: []target{t}}}
	}
	return map[string]news{
		"drains":   with(balance.UpdateDelta, func(t *target) { t.State = "Terminating" }),
		"is gone":  with(balance.UpdateDelta, func(t *target) { t.State = "Gone" }),
		"restarts": with(balance.UpdateDelta, func(t *target) { t.BootMS = 1e12 }),
		"moves":    with(balance.UpdateDelta, func(t *target) { t.Endpoint = "127.0.0.1:1" }),
		"unlisted": with(balance.UpdateFull, func(t *target) { t.UID = "z" }),
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
				s.takeNews(s.now(), news{kind: balance.UpdateDelta, list: list{Rev: 2, Targets: []target{other.target}}})
				s.takeNews(s.now(), gone)
				if !kept {
					close(dials.release)
				}
				c.writing.Unlock()
				o := s.ended()
				if o.reply.result != balance.Obsolete {
					t.Fatalf("result %v, want it moot", o.reply.result)
				}
				if name == "unlisted" { // the full list named only one more, which answers nowhere
					s.takeNews(s.now(), news{kind: balance.UpdateFull, list: list{Rev: 3, Targets: []target{other.target}}})
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
				if o.reply.result != balance.Obsolete || o.attempt.sent.Load() {
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
			if o.attempt.call != second || o.reply.result != balance.Obsolete {
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
			s.fire(s.now() + s.cfg.balance.Classes[second.ev.Class].LatencyObjective) // no other server has come up for it
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
