package live

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"milldeck/internal/lab"
)

// observe listens for servers' processes, which tell the lab what they do.
func (c *control) observe() error {
	ln, err := net.Listen("tcp4", c.observerAddr())
	if err != nil {
		return fmt.Errorf("the lab's own address for servers: %w", err)
	}
	c.observer = ln
	c.around.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return // closed
			}
			c.around.Go(func() { c.attend(conn) })
		}
	})
	return nil
}

// attend serves one life of a server, to its end.
func (c *control) attend(conn net.Conn) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	l := &serverLife{c: c, ctx: ctx, calls: map[int64]*fleetCall{}}
	s := rpc.NewServer()
	if err := s.RegisterName("Lab", l); err != nil {
		slog.Error("the lab's calls", "error", err)
		return
	}
	// What still waits for its way over the network must not keep the end of the life from being seen.
	s.ServeConn(&watched{conn, cancel})
	l.ended()
}

// watched cancels when the other side is gone.
type watched struct {
	net.Conn
	gone func()
}

func (w *watched) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.gone()
	}
	return n, err
}

// serverLife is one life of a server as it tells of it. Its exported methods are the calls of net/rpc.
type serverLife struct {
	c   *control
	ctx context.Context

	mu      sync.Mutex
	s       *server // nil before it has said who it is
	pid     int
	version string
	first   bool
	told    bool
	calls   map[int64]*fleetCall
}

// Hello begins the life.
func (l *serverLife) Hello(h Hello, w *Welcome) error {
	n, known := l.c.numbers[h.Unit]
	if !known {
		return fmt.Errorf("no server %q", h.Unit)
	}
	l.mu.Lock()
	l.s, l.pid, l.version, l.first = l.c.f.servers[n], h.PID, h.Version, l.c.f.zero.Load() == 0
	l.mu.Unlock()
	w.First = l.first
	l.c.began(h.Unit, h.PID, h.Version)
	return nil
}

// who is the server, an error before it has said so.
func (l *serverLife) who() (*server, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.s == nil {
		return nil, fmt.Errorf("no hello")
	}
	return l.s, nil
}

func (l *serverLife) ended() {
	s, err := l.who()
	if err != nil {
		return
	}
	now := l.c.f.now()
	l.mu.Lock()
	open, told := l.calls, l.told
	l.calls = map[int64]*fleetCall{}
	l.mu.Unlock()
	for _, k := range open {
		k.overAt(now, connectionClosed)
	}
	l.c.went(s, told)
}

// Ready tells that the process answers the platform's ready check.
func (l *serverLife) Ready(int, *int) error {
	s, err := l.who()
	if err != nil {
		return err
	}
	l.c.judge.ReadinessChanged(l.c.now(), s.plan.UID, lifeName(l.pid), true)
	l.c.came(s, l.version, l.first)
	return nil
}

// Ends tells that the process was told to end.
func (l *serverLife) Ends(int, *int) error {
	s, err := l.who()
	if err != nil || l.c.over.Load() {
		return err
	}
	l.mu.Lock()
	l.told = true
	l.mu.Unlock()
	l.c.judge.TerminationRequested(l.c.now(), s.plan.UID, lifeName(l.pid))
	return nil
}

// Begin tells of an attempt and is answered with what its request is.
func (l *serverLife) Begin(b Begin, out *Begun) error {
	s, err := l.who()
	if err != nil {
		return err
	}
	k, known := l.c.f.sent(s.n, b.ID, 0, time.Unix(0, b.First), time.Unix(0, b.Last))
	l.mu.Lock()
	l.calls[b.Call] = k
	l.mu.Unlock()
	if out.Known = known; known {
		out.Job = k.job()
		out.Job.Tenant = l.c.f.plan.Tenant(k.sidecar)
		s.mu.Lock()
		out.Job.WorkMS *= s.model.Slowdown
		out.Job.FailImmediately = rand.Float64() < s.model.ErrorShare
		s.mu.Unlock()
	}
	return nil
}

func (l *serverLife) at(call int64) (*fleetCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.calls[call]; k != nil {
		return k, nil
	}
	return nil, fmt.Errorf("no attempt %d", call)
}

// Pass answers once something has gone its way.
func (l *serverLife) Pass(p Pass, ok *bool) error {
	k, err := l.at(p.Call)
	if err != nil {
		return err
	}
	if p.Back {
		*ok = k.returns(l.ctx)
	} else {
		*ok = k.arrives(l.ctx, p.Fresh)
	}
	return nil
}

// Over ends an attempt.
func (l *serverLife) Over(o Over, _ *int) error {
	l.mu.Lock()
	k := l.calls[o.Call]
	delete(l.calls, o.Call)
	l.mu.Unlock()
	if k != nil {
		k.overAt(l.c.f.ms(time.Unix(0, o.At)), o.How)
	}
	return nil
}

// Made tells of an answer, before it leaves.
func (l *serverLife) Made(call int64, _ *int) error {
	k, err := l.at(call)
	if err == nil {
		k.made()
	}
	return err
}

// Seen answers whether the server's group has had an effect.
func (l *serverLife) Seen(e Effect, seen *bool) error {
	s, err := l.who()
	if err != nil || e.Class < 0 || e.Class >= len(l.c.f.plan.Classes) {
		return err
	}
	*seen = l.c.f.stores.CheckAndRecord(l.c.f.now(), s.plan, &l.c.f.plan.Classes[e.Class], e.Class, e.Effect)
	return nil
}

// Ran tells that a request's work is done.
func (l *serverLife) Ran(r Ran, _ *int) error {
	s, err := l.who()
	if err != nil {
		return err
	}
	at := l.c.f.ms(time.Unix(0, r.At))
	l.c.f.judge.RequestExecuted(at, r.Request, s.n, r.Effect)
	l.c.judge.WorkDone(at, s.plan.UID, keyHash(r.Key), r.Work, !r.Met)
	return nil
}

// Fell tells that the server was pushed over.
func (l *serverLife) Fell(f Fell, _ *int) error {
	s, err := l.who()
	if err == nil {
		l.c.f.judge.ServerOverloaded(l.c.f.ms(time.Unix(0, f.At)), s.n, &f.Fall)
	}
	return err
}

// Count counts what the server has met.
func (l *serverLife) Count(n lab.Counts, _ *int) error {
	l.c.f.measure.AddCounts(func(t *lab.Counts) {
		t.HealthChecks += n.HealthChecks
		t.Handshakes += n.Handshakes
	})
	return nil
}
