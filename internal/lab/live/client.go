package live

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
	"milldeck/internal/lab"
)

const (
	// lateLimit is how late the lab may begin a request for it still to count: beyond it the lab's own machine
	// is what is measured.
	lateLimit = 50 * time.Millisecond
	// answerWait is how long past its time a client still listens, so that a late answer is seen as late.
	answerWait = 300 * time.Millisecond
	dialWait   = 500 * time.Millisecond
	// keepIdle is less than the 2 s after which a sidecar may close a connection without a request.
	keepIdle = 1500 * time.Millisecond
	postBody = "{}"
)

// asked is a request that is known to servers by its id.
type asked struct {
	*lab.Arrival
	attempts atomic.Int32
}

// app is the application beside one sidecar: its connections.
type app struct {
	mu   sync.Mutex
	idle []*appConn
}

type appConn struct {
	net.Conn
	in    *bufio.Reader
	since time.Time
}

func (a *app) take() *appConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.idle) > 0 {
		c := a.idle[len(a.idle)-1]
		a.idle = a.idle[:len(a.idle)-1]
		if time.Since(c.since) < keepIdle {
			return c
		}
		c.Close()
	}
	return nil
}

func (a *app) put(c *appConn) {
	c.since = time.Now()
	c.SetDeadline(time.Time{})
	a.mu.Lock()
	defer a.mu.Unlock()
	// The oldest go first: under a falling load they would otherwise stay open for good.
	for len(a.idle) > 0 && time.Since(a.idle[0].since) > keepIdle {
		a.idle[0].Close()
		a.idle = a.idle[1:]
	}
	a.idle = append(a.idle, c)
}

func (a *app) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.idle {
		c.Close()
	}
	a.idle = nil
}

// load sends the plan's requests at their times, whatever becomes of them. It returns when all are sent or ctx
// ends; open ones go on.
func (f *fleet) load(ctx context.Context) {
	arrivals := f.plan.Arrivals()
	for {
		a, more := arrivals.Next()
		if !more || !sleep(ctx, millis(a.StartMS-f.now())) {
			return
		}
		late := f.now() - a.StartMS
		f.measure.RecordLateness(max(late, 0))
		if late > lateLimit.Seconds()*1000 {
			f.measure.RequestSentLate()
			continue
		}
		f.open.Add(1)
		f.clients.Go(func() {
			defer f.open.Add(-1)
			f.request(&a)
		})
	}
}

// request makes the tries of one request.
func (f *fleet) request(a *lab.Arrival) {
	ctx := f.ctx
	if a.DisconnectAfterMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, f.at(a.StartMS+a.DisconnectAfterMS))
		defer cancel()
	}
	how, tries := lab.OutcomeNoResponse, 0
	for {
		var retryAfter float64
		how, retryAfter = f.try(ctx, a, tries)
		tries++
		if ctx.Err() != nil && how != lab.OutcomeServed {
			f.measure.RequestDone(a, tries, how, f.ctx.Err() == nil, f.now())
			return
		}
		at, again := f.plan.NextRetry(a, tries-1, how, f.now(), retryAfter)
		if !again || !sleep(ctx, millis(at-f.now())) {
			f.measure.RequestDone(a, tries, how, again && f.ctx.Err() == nil, f.now())
			return
		}
	}
}

// try sends the request once and waits for its answer.
func (f *fleet) try(ctx context.Context, a *lab.Arrival, number int) (lab.Outcome, float64) {
	client, sidecar := lab.Endpoint{Kind: lab.ClientEndpoint, Index: a.Sidecar}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: a.Sidecar}
	timeout := f.plan.AttemptTimeout(a, f.now())
	ctx, cancel := context.WithTimeout(ctx, millis(timeout)+answerWait)
	defer cancel()
	if !f.net.pass(ctx, client, sidecar, 0, rand.Float64()) {
		sleep(ctx, millis(timeout)) // it never got there
		return lab.OutcomeNoResponse, 0
	}
	n := f.nodes[a.Sidecar]
	id := f.nextID()
	conn := n.app.take()
	for kept := conn != nil; ; kept = false {
		if conn == nil {
			d := net.Dialer{Timeout: dialWait}
			c, err := d.DialContext(ctx, "tcp4", n.addr)
			if err != nil {
				return lab.OutcomeUnreachable, 0
			}
			conn = &appConn{Conn: c, in: bufio.NewReader(c)}
		}
		how, retryAfter, silent := f.exchange(ctx, conn, a, id, number, timeout)
		// PROTOCOL: if the close of a kept connection crosses a request, the client sends it once more.
		if kept && silent && how == lab.OutcomeUnreachable {
			conn = nil
			continue
		}
		return how, retryAfter
	}
}

// exchange writes a request and reads its answer. Silent tells that not a byte came before the connection ended.
func (f *fleet) exchange(ctx context.Context, c *appConn, a *lab.Arrival, id uint64, number int, timeout float64) (how lab.Outcome, retryAfter float64, silent bool) {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	began := time.Now()
	known := &asked{Arrival: a}
	f.asked.Store(id, known)
	// Servers may meet the request for as long as the judge remembers it.
	time.AfterFunc(millis(timeout)+rememberAsked, func() { f.asked.Delete(id) })
	f.judge.RequestSent(f.now(), id, a.Sidecar, a.Class, timeout) // before the first byte: servers may be quick
	kept := !c.since.IsZero()
	if _, err := io.WriteString(c, f.head(a, id, number, timeout)); err != nil {
		c.Close()
		f.judge.ClientDisconnected(f.now(), id) // not taken
		return lab.OutcomeUnreachable, 0, true
	}
	resp, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	now := f.now()
	client, sidecar := lab.Endpoint{Kind: lab.ClientEndpoint, Index: a.Sidecar}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: a.Sidecar}
	if err == nil && !f.net.pass(ctx, sidecar, client, 0, rand.Float64()) {
		err = context.DeadlineExceeded
	}
	if err != nil {
		c.Close()
		return f.broken(ctx, err, id, kept, f.ms(began)+timeout+answerWait.Seconds()*1000)
	}
	if c.in.Buffered() > 0 || resp.Close {
		c.Close()
	} else if stop() {
		f.nodes[a.Sidecar].app.put(c)
	} else {
		c.Close()
	}
	switch resp.StatusCode {
	case http.StatusOK:
		owner, server := made(string(body))
		f.judge.ResponseReceived(now, id, lab.OutcomeServed, owner, server)
		return lab.OutcomeServed, 0, false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		f.judge.ResponseReceived(now, id, lab.OutcomeRejected, 0, -1)
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // none, or not a number: no wait
		return lab.OutcomeRejected, 1000 * s, false
	default:
		f.judge.ResponseReceived(now, id, lab.OutcomeFailed, 0, -1)
		return lab.OutcomeFailed, 0, false
	}
}

// broken says how a connection without a whole answer counts; until is when the client stops listening.
func (f *fleet) broken(ctx context.Context, err error, id uint64, kept bool, until float64) (lab.Outcome, float64, bool) {
	now := f.now()
	switch {
	case f.ctx.Err() != nil:
		f.judge.ClientDisconnected(now, id) // the run is over
		return lab.OutcomeNoResponse, 0, false
	case ctx.Err() != nil && now < until-1:
		f.judge.ClientDisconnected(now, id)
		return lab.OutcomeNoResponse, 0, false
	case ctx.Err() != nil:
		f.judge.RequestUnanswered(now, id, lab.OutcomeNoResponse)
		return lab.OutcomeNoResponse, 0, false
	case errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), "malformed"):
		f.judge.CorruptResponseReceived(now, id)
		return lab.OutcomeFailed, 0, false
	case kept && f.judge.ConnectionClosed(now, id):
		return lab.OutcomeUnreachable, 0, true
	default:
		f.judge.RequestUnanswered(now, id, lab.OutcomeUnreachable)
		return lab.OutcomeUnreachable, 0, false
	}
}

// made reads whose answer a body is.
func made(body string) (owner uint64, server int) {
	id, n, _ := strings.Cut(body, " ")
	owner, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return 0, -1
	}
	if server, err = strconv.Atoi(n); err != nil {
		return owner, -1
	}
	return owner, server
}

// head is the request as PROTOCOL has it.
func (f *fleet) head(a *lab.Arrival, id uint64, number int, timeout float64) string {
	var b strings.Builder
	class := &f.plan.Classes[a.Class]
	method := "POST"
	if class.Idempotency == balance.Idempotent {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %016x\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %.0f\r\nX-Cost: %.0f\r\n",
		method, id, class.Name, timeout, 1000*a.ExpectedWorkMS)
	if a.Key != 0 {
		fmt.Fprintf(&b, "Cookie: k=%016x\r\n", a.Key)
	}
	if number > 0 {
		b.WriteString("X-Retried: 1\r\n")
	}
	if class.Idempotency == balance.IdempotentWithKey {
		fmt.Fprintf(&b, "Idempotency-Key: %032x\r\n", a.EffectID)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(postBody), postBody)
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}
