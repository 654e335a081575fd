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
	notRun           = "X-Not-Processed: 1\r\n"
)

// host is what a server's front stands in: the lab's own process, or a program of its own.
type host interface {
	running() context.Context // ends with the run
	now() float64             // ms, of the model
	link(sidecar int) link
	// call tells of an attempt, and whether a client sent its request. A sidecar of -1 is not known.
	call(id uint64, sidecar int, x exchange) (call, bool)
	count(add func(*lab.Counts))
	lateness(ms float64)
	ran(end lab.JobCompletion)
	fell(now float64, fall *lab.SlowStartOverload)
}

// link is the way between a sidecar and a server. False: what went on it is lost, or ctx has ended.
type link interface {
	arrives(ctx context.Context, fresh bool) bool
	returns(ctx context.Context) bool
}

// call is one attempt.
type call interface {
	link
	job() lab.Job // once it has arrived
	over(how string)
	made() // an answer, which leaves only after this has returned
}

// front is one server: its model behind real sockets.
type front struct {
	host   host
	n      int
	plan   *lab.ServerPlan
	probes bool
	own    func(path string) (status int, body string, mine bool) // what is asked of its process; nil: nothing
	harm   func(*lab.Job)                                         // what a harmful version does to a request; nil: nothing

	mu    sync.Mutex
	model *lab.Server
	timer *time.Timer
	up    bool
	life  int
	conns map[net.Conn]struct{}
	asks  map[int64]chan lab.JobCompletion
}

func newFront(h host, n int, plan *lab.ServerPlan, model *lab.Server, probes bool) front {
	return front{
		host: h, n: n, plan: plan, model: model, probes: probes,
		conns: map[net.Conn]struct{}{}, asks: map[int64]chan lab.JobCompletion{},
	}
}

// lose resets all connections and forgets what they waited for.
func (s *front) lose() {
	s.mu.Lock()
	s.life++
	held := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.asks = map[int64]chan lab.JobCompletion{}
	s.mu.Unlock()
	for c := range held {
		reset(c)
	}
}

// exchange is one request on a connection.
type exchange struct {
	req   *http.Request
	first time.Time // of its first byte
	last  time.Time
}

// serve is one connection. One goroutine reads, so that a close is seen while a request is at work.
func (s *front) serve(c net.Conn, sidecar int) {
	s.mu.Lock()
	life := s.life
	if !s.up || s.host.running().Err() != nil {
		s.mu.Unlock()
		reset(c)
		return
	}
	s.conns[c] = struct{}{}
	crowded := len(s.conns) > s.plan.Spec.MaxConnections
	s.mu.Unlock()
	ctx, closed := context.WithCancel(s.host.running())
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
	idle := millis(s.plan.Spec.IdleCloseMS)
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
func (s *front) read(ctx context.Context, c net.Conn, to chan<- exchange) {
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
func (s *front) answer(ctx context.Context, c net.Conn, sidecar int, x exchange, fresh, crowded bool) bool {
	write := func(status int, head, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
		return err == nil
	}
	if s.own != nil {
		if status, body, mine := s.own(x.req.URL.Path); mine {
			return write(status, "", body) // who asks stands beside it
		}
	}
	id, err := strconv.ParseUint(x.req.Header.Get("X-Request-ID"), 16, 64)
	if x.req.URL.Path != "/api" || err != nil {
		l := s.host.link(sidecar)
		if x.req.URL.Path != "/health/live" || !s.probes {
			return comes(ctx, l.returns) && write(http.StatusNotFound, "", "")
		}
		s.host.count(func(t *lab.Counts) { t.HealthChecks++ })
		if !comes(ctx, func(ctx context.Context) bool { return l.arrives(ctx, fresh) }) {
			return false
		}
		s.offer(lab.Job{WorkMS: probeWork})
		return comes(ctx, l.returns) && write(http.StatusOK, "", "")
	}
	k, mine := s.host.call(id, sidecar, x)
	say := func(status int, head, body string) bool {
		return comes(ctx, k.returns) && write(status, head, body)
	}
	var once sync.Once
	over := func(how string) { once.Do(func() { k.over(how) }) }
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
	if !comes(ctx, func(ctx context.Context) bool { return k.arrives(ctx, fresh) }) {
		return false
	}
	if crowded {
		return say(http.StatusServiceUnavailable, notRun, "") && done("full")
	}
	if fresh {
		s.host.count(func(t *lab.Counts) { t.Handshakes++ })
		if s.plan.Spec.HandshakeMS > 0 {
			s.offer(lab.Job{WorkMS: s.plan.Spec.HandshakeMS})
		}
	}
	job := k.job()
	if wait, err := strconv.ParseFloat(x.req.Header.Get("X-Timeout-Ms"), 64); err == nil {
		job.ExpiresAt = s.host.now() - float64(time.Since(x.last))/1e6 + wait
	}
	if s.harm != nil {
		s.harm(&job)
	}
	result, taken := s.offer(job)
	if !taken {
		return say(http.StatusServiceUnavailable, notRun, "") && done("full")
	}
	var end lab.JobCompletion
	select {
	case <-ctx.Done():
		s.drop(job.Attempt)
		return false
	case end = <-result:
	}
	s.mu.Lock()
	silent, resets, spoils := s.model.Unresponsive, s.model.ResetShare, s.model.CorruptShare
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return false
	case end.Result == lab.JobExpired:
		return say(http.StatusGatewayTimeout, notRun, "") && done("expired")
	case end.Result == lab.JobFailed:
		return say(http.StatusInternalServerError, "", "") && done("error")
	case rand.Float64() < resets:
		over("reset")
		reset(c)
		return false
	case rand.Float64() < spoils:
		return say(http.StatusOK, "Content-Length: x\r\n", "noise") && done("spoilt")
	}
	k.made()
	return say(http.StatusOK, "Content-Type: text/plain\r\n", fmt.Sprintf("%016x %d", id, s.n)) && done("served")
}

// comes waits until something has gone its way; what is lost, the other side waits for in vain.
func comes(ctx context.Context, pass func(context.Context) bool) bool {
	if pass(ctx) {
		return true
	}
	<-ctx.Done()
	return false
}
