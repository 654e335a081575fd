package live

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"milldeck/internal/lab"
)

// server is the stand-in for one server within the lab's process. It has a port for each sidecar, so that it knows
// whose connection it holds and links between two parties can be cut.
type server struct {
	front
	f     *fleet
	ports []*port // by sidecar
	boot  float64 // ms; 0: from the start
	// version of its process, where a platform has started it
	version string
}

func (f *fleet) newServer(n int) *server {
	s := &server{f: f}
	s.front = newFront(s, n, &f.plan.Servers[n], lab.NewServer(f.plan, n, f.stores), f.plan.Experiment.Limits.AllowHealthChecks)
	for i := range f.plan.Sidecars {
		s.ports = append(s.ports, &port{
			addr: f.addrs.server(s.plan.AddressSlot, i), accept: func(c net.Conn) { s.serve(c, i) },
		})
		if f.registry != nil {
			break // the list service has one address for all; whose a request is, its id tells
		}
	}
	return s
}

// start opens the server's ports.
func (s *server) start(now float64, cold bool) error {
	s.mu.Lock()
	s.up = true
	s.model.Start(now, cold)
	if cold {
		s.boot = now
	}
	s.mu.Unlock()
	return s.listen()
}

func (s *server) listen() error {
	for _, p := range s.ports {
		if err := p.open(); err != nil {
			return fmt.Errorf("server %d: %w", s.n, err)
		}
	}
	return nil
}

// die ends the process: its connections are reset, new ones refused.
func (s *server) die() {
	if s.f.registry != nil {
		s.f.registry.keeper.Remove(s.plan.UID) // nobody renews its lease any more
	}
	for _, p := range s.ports {
		p.close()
	}
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	s.lose()
}

// hush makes its machine vanish from the network, or come back.
func (s *server) hush(on bool) error {
	for _, p := range s.ports {
		if err := p.hush(on); err != nil {
			return fmt.Errorf("server %d: %w", s.n, err)
		}
	}
	return nil
}

// The server is its front's host: it takes part in the lab's run itself.

func (s *server) running() context.Context { return s.f.ctx }

func (s *server) now() float64 { return s.f.now() }

func (s *server) lateness(ms float64) { s.f.measure.RecordLateness(ms) }

func (s *server) count(add func(*lab.Counts)) { s.f.measure.AddCounts(add) }

func (s *server) ran(end lab.JobCompletion) {
	s.f.judge.RequestExecuted(end.At, end.Request, s.n, end.EffectApplied)
}

func (s *server) fell(now float64, fall *lab.SlowStartOverload) {
	s.f.judge.ServerOverloaded(now, s.n, fall)
	s.die()
	s.f.unlist(s)
}

func (s *server) link(sidecar int) link { return &fleetLink{f: s.f, server: s.n, sidecar: sidecar} }

func (s *server) call(id uint64, sidecar int, x exchange) (call, bool) {
	return s.f.sent(s.n, id, sidecar, x.first, x.last)
}

// fleetLink is the way between a sidecar and a server.
type fleetLink struct {
	f               *fleet
	server, sidecar int
}

// way is the delay from the sidecar's zone, one way.
func (l *fleetLink) way() time.Duration {
	d := l.f.plan.Servers[l.server].DelayByZone[l.f.plan.Sidecars[l.sidecar].Zone]
	return millis(d * (1 + l.f.plan.Experiment.Network.Jitter*(2*rand.Float64()-1)))
}

func (l *fleetLink) ends() (here, there lab.Endpoint) {
	return lab.Endpoint{Kind: lab.ServerEndpoint, Index: l.server}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: l.sidecar}
}

func (l *fleetLink) arrives(ctx context.Context, fresh bool) bool {
	here, there := l.ends()
	trips := 1.0
	if fresh {
		trips += 2 * handshakeTrips
	}
	return l.f.net.pass(ctx, there, here, time.Duration(trips*float64(l.way())), rand.Float64())
}

func (l *fleetLink) returns(ctx context.Context) bool {
	here, there := l.ends()
	return l.f.net.pass(ctx, here, there, l.way(), rand.Float64())
}

// fleetCall is an attempt at a server, wherever that runs.
type fleetCall struct {
	fleetLink
	id      uint64
	attempt int64
	asked   *asked // nil: no client sent the request
}

// sent tells the judge of an attempt. It reports whether a client sent its request.
func (f *fleet) sent(server int, id uint64, sidecar int, first, last time.Time) (*fleetCall, bool) {
	known, mine := f.asked.Load(id)
	c := &fleetCall{fleetLink: fleetLink{f, server, sidecar}, id: id, attempt: f.attempts.Add(1)}
	if mine {
		c.asked = known.(*asked)
		c.sidecar = c.asked.Sidecar
	}
	f.judge.AttemptReceived(f.ms(last), f.ms(first), id, c.attempt, c.sidecar, server)
	return c, mine
}

func (c *fleetCall) job() lab.Job {
	a := c.asked
	return lab.Job{
		Attempt: c.attempt, Request: c.id, Class: a.Class, Key: a.Key, EffectID: a.EffectID, WorkMS: a.WorkMS,
		SenderInformed: c.f.informed(c.sidecar, c.server),
	}
}

func (c *fleetCall) over(how string) { c.overAt(c.f.now(), how) }

func (c *fleetCall) overAt(now float64, how string) {
	c.f.judge.AttemptEnded(now, c.id, c.attempt, how)
	c.f.measure.AttemptDone(now, c.sidecar, c.server, c.f.isRepeat(c.id), how)
}

func (c *fleetCall) made() { c.f.judge.ResponseProduced(c.f.now(), c.id, c.server) }
