package live

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milldeck/internal/lab"
)

const (
	handshakeTrips = 1 // round trips of a new connection before its first request arrives, as in package sim
	probeWork      = 0.3
	maxRequestBody = 64 << 10 // PROTOCOL
	closeWait      = time.Second

	connectionClosed = "given up" // its sidecar closed the connection
)

// server is the stand-in for one server: its model behind real sockets. It has a port for each sidecar, so that
// it knows whose connection it holds and links between two parties can be cut.
type server struct {
	f     *fleet
	n     int
	plan  *lab.ServerPlan
	ports []*port // by sidecar

	mu    sync.Mutex
	model *lab.Server
	timer *time.Timer
	up    bool
	life  int
	boot  float64 // ms; 0: from the start
	conns map[net.Conn]struct{}
	asks  map[int64]chan lab.Ended
}

func (f *fleet) newServer(n int) *server {
	s := &server{
		f: f, n: n, plan: &f.plan.Servers[n], model: lab.NewServer(f.plan, n, f.stores),
		conns: map[net.Conn]struct{}{}, asks: map[int64]chan lab.Ended{},
	}
	for i := range f.plan.Sidecars {
		s.ports = append(s.ports, &port{
			addr: f.addrs.server(s.plan.Slot, i), accept: func(c net.Conn) { s.serve(c, i) },
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
		s.f.registry.keeper.Drop(s.plan.UID) // nobody renews its lease any more
	}
	for _, p := range s.ports {
		p.close()
	}
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	s.lose()
}

// lose resets all connections and forgets what they waited for.
func (s *server) lose() {
	s.mu.Lock()
	s.life++
	held := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.asks = map[int64]chan lab.Ended{}
	s.mu.Unlock()
	for c := range held {
		reset(c)
	}
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

// exchange is one request on a connection.
type exchange struct {
	req   *http.Request
	first time.Time // of its first byte
	last  time.Time
}

// serve is one connection. One goroutine reads, so that a close is seen while a request is at work.
func (s *server) serve(c net.Conn, sidecar int) {
	s.mu.Lock()
	life := s.life
	if !s.up || s.f.ctx.Err() != nil {
		s.mu.Unlock()
		reset(c)
		return
	}
	s.conns[c] = struct{}{}
	crowded := len(s.conns) > s.plan.Kind.Connections
	s.mu.Unlock()
	ctx, closed := context.WithCancel(s.f.ctx)
	defer func() {
		closed()
		s.mu.Lock()
		if s.life == life {
			delete(s.conns, c)
		}
		s.mu.Unlock()
		c.Close()
	}()
	requests := make(chan exchange, 1)
	go func() {
		defer closed()
		s.read(ctx, c, requests)
	}()
	idle := millis(s.plan.Kind.IdleCloseMS)
	fresh := true
	for {
		c.SetReadDeadline(time.Now().Add(idle))
		select {
		case <-ctx.Done():
			return
		case x := <-requests:
			c.SetReadDeadline(time.Time{})
			if !s.answer(ctx, c, sidecar, x, fresh, crowded) {
				return
			}
			fresh = false
		}
	}
}

// read hands on each request; it returns when the connection has ended.
func (s *server) read(ctx context.Context, c net.Conn, to chan<- exchange) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxRequestBody)); err != nil {
			return
		}
		select {
		case to <- exchange{req, first, time.Now()}:
		case <-ctx.Done():
			return
		}
	}
}

// answer answers one request; false ends the connection.
func (s *server) answer(ctx context.Context, c net.Conn, sidecar int, x exchange, fresh, crowded bool) bool {
	f := s.f
	id, err := strconv.ParseUint(x.req.Header.Get("X-Request-ID"), 16, 64)
	known, mine := f.asked.Load(id)
	if mine {
		sidecar = known.(*asked).Sidecar
	}
	way := s.way(sidecar)
	here, there := lab.End{Kind: lab.ServerEnd, N: s.n}, lab.End{Kind: lab.SidecarEnd, N: sidecar}
	say := func(status int, head, body string) bool {
		if !f.net.pass(ctx, here, there, way, rand.Float64()) {
			<-ctx.Done() // the answer is lost: the sidecar waits for it in vain
			return false
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
		return err == nil
	}
	arrives := func() bool {
		trips := 1.0
		if fresh {
			trips += 2 * handshakeTrips
		}
		if f.net.pass(ctx, there, here, time.Duration(trips*float64(way)), rand.Float64()) {
			return true
		}
		<-ctx.Done()
		return false
	}
	if x.req.URL.Path != "/api" {
		if x.req.URL.Path != "/health/live" || !f.plan.File.Limits.Probes {
			return say(http.StatusNotFound, "", "")
		}
		f.measure.Count(func(t *lab.Counts) { t.Probes++ })
		if !arrives() {
			return false
		}
		s.offer(lab.Job{Work: probeWork})
		return say(http.StatusOK, "", "")
	}
	if err != nil {
		return say(http.StatusNotFound, "", "")
	}
	attempt := f.attempts.Add(1)
	f.judge.Sent(f.ms(x.last), f.ms(x.first), id, attempt, sidecar, s.n)
	var once sync.Once
	over := func(how string) {
		once.Do(func() {
			f.judge.Over(f.now(), id, attempt, how)
			f.measure.Attempt(f.now(), sidecar, s.n, f.isRepeat(id), how)
		})
	}
	// Its close ends the attempt for the judge at once, whatever link is cut in between.
	defer context.AfterFunc(ctx, func() { over(connectionClosed) })()
	defer over(connectionClosed)
	done := func(how string) bool {
		over(how)
		return true
	}
	if !mine {
		return say(http.StatusBadRequest, "", "")
	}
	a := known.(*asked)
	if !arrives() {
		return false
	}
	notRun := "X-Not-Processed: 1\r\n"
	if crowded {
		return say(http.StatusServiceUnavailable, notRun, "") && done("full")
	}
	if fresh {
		f.measure.Count(func(t *lab.Counts) { t.Handshakes++ })
		if s.plan.Kind.HandshakeMS > 0 {
			s.offer(lab.Job{Work: s.plan.Kind.HandshakeMS})
		}
	}
	job := lab.Job{
		Attempt: attempt, Request: id, Class: a.Class, Key: a.Key, Effect: a.Effect, Work: a.Work,
		Informed: f.informed(sidecar, s.n),
	}
	if wait, err := strconv.ParseFloat(x.req.Header.Get("X-Timeout-Ms"), 64); err == nil {
		job.Expires = f.ms(x.last) + wait
	}
	result, taken := s.offer(job)
	if !taken {
		return say(http.StatusServiceUnavailable, notRun, "") && done("full")
	}
	var end lab.Ended
	select {
	case <-ctx.Done():
		s.drop(attempt)
		return false
	case end = <-result:
	}
	s.mu.Lock()
	silent, resets, spoils := s.model.Silent, s.model.Resets, s.model.Spoils
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return false
	case end.How == lab.Expired:
		return say(http.StatusGatewayTimeout, notRun, "") && done("expired")
	case end.How == lab.Errored:
		return say(http.StatusInternalServerError, "", "") && done("error")
	case rand.Float64() < resets:
		over("reset")
		reset(c)
		return false
	case rand.Float64() < spoils:
		return say(http.StatusOK, "Content-Length: x\r\n", "noise") && done("spoilt")
	}
	f.judge.Made(f.now(), id, s.n)
	return say(http.StatusOK, "Content-Type: text/plain\r\n", fmt.Sprintf("%016x %d", id, s.n)) && done("served")
}

// way is the delay from a sidecar's zone, one way.
func (s *server) way(sidecar int) time.Duration {
	d := s.plan.Delay[s.f.plan.Sidecars[sidecar].Zone]
	return millis(d * (1 + s.f.plan.File.Network.Jitter*(2*rand.Float64()-1)))
}

// offer brings the model a job; what becomes of it comes on the channel.
func (s *server) offer(j lab.Job) (<-chan lab.Ended, bool) {
	s.mu.Lock()
	now := s.f.now()
	s.advance(now)
	result := make(chan lab.Ended, 1)
	if j.Attempt != 0 {
		s.asks[j.Attempt] = result
	}
	taken, fall := s.model.Offer(now, j)
	if !taken {
		delete(s.asks, j.Attempt)
	}
	s.arm(now)
	s.mu.Unlock()
	if fall != nil {
		s.f.judge.Fell(now, s.n, fall)
		s.die()
		s.f.unlist(s)
	}
	return result, taken
}

func (s *server) drop(attempt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.f.now()
	delete(s.asks, attempt)
	s.advance(now)
	s.model.Drop(now, attempt)
	s.arm(now)
}

// advance lets the model's time pass; the caller holds the lock.
func (s *server) advance(now float64) {
	s.model.Advance(now, func(end lab.Ended) {
		if end.How != lab.Expired {
			s.f.judge.Ran(end.At, end.Request, s.n, end.Effect)
		}
		if ch := s.asks[end.Attempt]; ch != nil {
			ch <- end
			delete(s.asks, end.Attempt)
		}
	})
}

// arm sets the timer for what the model does next; the caller holds the lock.
func (s *server) arm(now float64) {
	next := s.model.Next()
	if next > 1e12 {
		return
	}
	after := max(0, millis(next-now))
	if s.timer != nil {
		s.timer.Reset(after)
		return
	}
	s.timer = time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.f.now()
		if next := s.model.Next(); next <= now {
			s.f.measure.Lateness(now - next)
		}
		s.advance(now)
		s.arm(now)
	})
}
