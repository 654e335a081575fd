package faultsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	requestsPerSecond     = 24                     // to each sidecar
	answerGrace           = 500 * time.Millisecond // a response up to this late is worthless to the client; a later response is lost
	hostSlack             = 150 * time.Millisecond // scheduling delay of the machine that runs the soak
	badClientTimeout      = 3 * time.Second        // after a partial request, the sidecar sends an error or closes within this time
	newConnsAfterTerm     = 400 * time.Millisecond // clients open new connections until this long after SIGTERM
	maxSlowWritePause     = 400 * time.Millisecond
	minTimeoutShare       = 0.4
	maxBodyBytes          = 3000
	distinctKeys          = 200
	floodRequests         = 40
	pipelineRequests      = 6
	idleConnections       = 80
	exhaustingConnections = 420 // more than the file descriptors that a sidecar may open
	// Connections that clients open just before SIGTERM, and the interval at which they send on each idle connection after it.
	warmConnections   = 6
	reuseIdleInterval = 60 * time.Millisecond
	clientDialTimeout = time.Second
)

// clients generates the requests of all clients of one sidecar.
type clients struct {
	sidecar *sidecar
	records *records
	faults  *faultSet // faults of the clients' behavior
	classes []class
	seed    uint64
	lastID  *atomic.Int64
	work    sync.WaitGroup

	mu                        sync.Mutex
	idle                      []*clientConn
	descriptorsExhaustedUntil time.Time
}

// clientConn is a connection to a sidecar.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
	// closing: the last response announced that the connection will be closed.
	closing bool
	// kept: the client keeps the connection to itself.
	kept bool
}

// run starts clients at random intervals until ctx ends, and waits for those that are still active.
func (c *clients) run(ctx context.Context) {
	defer c.closeIdle()
	defer c.work.Wait()
	arrivals := newGenerator(c.seed, fmt.Sprint("arrivals ", c.sidecar.number))
	for number := 0; ; number++ {
		pause := arrivals.Exponential(time.Second / requestsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c.work.Go(func() { c.runRandomClient(newGenerator(c.seed, fmt.Sprint("client ", c.sidecar.number, " ", number))) })
	}
}

// runRandomClient runs one client whose behavior is drawn at random.
func (c *clients) runRandomClient(random *generator) {
	switch draw := random.Float64(); {
	case c.faults.hits(faultFlood, random) && draw < 0.2:
		c.flood(random)
	case c.faults.hits(faultPipelining, random) && draw < 0.4 || draw < 0.02:
		c.pipeline(random)
	case c.faults.hits(faultDisconnect, random) || draw < 0.06:
		c.disconnectEarly(random)
	case draw < 0.10:
		c.sendRequest("slow", maxSlowWritePause, random)
	case draw < 0.12:
		c.stopMidRequest(random)
	default:
		c.sendRequest("plain", 0, random)
	}
}

func (c *clients) newRequest(kind string, random *generator) *requestRecord {
	return c.newRequestWithID(fmt.Sprintf("r%08x", c.lastID.Add(1)), kind, random)
}

func (c *clients) newRequestWithID(id, kind string, random *generator) *requestRecord {
	chosen := &c.classes[random.IntN(len(c.classes))]
	return &requestRecord{
		ID: id, Class: chosen, Sidecar: c.sidecar.number, Kind: kind,
		Timeout: time.Duration((minTimeoutShare + (1-minTimeoutShare)*random.Float64()) * float64(chosen.deadline)),
		key:     random.IntN(distinctKeys), size: random.IntN(maxBodyBytes),
	}
}

// encode returns the request in HTTP/1.1 wire format.
func (r *requestRecord) encode() string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n",
		r.Class.method, r.ID, r.Class.name, r.Timeout.Milliseconds())
	fmt.Fprintf(&head, "Cookie: k=%d\r\n", r.key)
	if r.Class.keyed {
		fmt.Fprintf(&head, "Idempotency-Key: key-%s\r\n", r.ID)
	}
	if r.Class.method == http.MethodGet {
		return head.String() + "\r\n"
	}
	body := strings.Repeat("b", r.size)
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return head.String()
}

// connect returns an idle connection, or a new one if none is idle or fresh is set. It returns nil if the dial fails, or if
// the sidecar accepts no new connections and fresh is not set.
func (c *clients) connect(fresh bool) *clientConn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		conn.reused = true
		return conn
	}
	c.mu.Unlock()
	if !fresh && !c.sidecar.acceptsNew() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.sidecar.address, clientDialTimeout)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *clients) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// sendRequest sends one request and reads the response. If maxPause is not 0, it writes the request in two parts with a pause
// of up to maxPause between them.
func (c *clients) sendRequest(kind string, maxPause time.Duration, random *generator) {
	record := c.newRequest(kind, random)
	conn := c.connect(false)
	if conn == nil {
		return
	}
	record.beganAt = time.Now()
	c.records.addRequest(record)
	text := record.encode()
	if maxPause > 0 {
		cut := random.IntN(len(text))
		if _, err := io.WriteString(conn, text[:cut]); err == nil {
			time.Sleep(random.Below(maxPause))
		}
		text = text[cut:]
	}
	c.exchange(conn, record, text)
}

// exchange writes a request, or the rest of one, and reads the response. If the sidecar closes a reused connection while the
// request is on its way, exchange sends the request once more on a new connection.
func (c *clients) exchange(conn *clientConn, record *requestRecord, text string) {
	_, writeErr := io.WriteString(conn, text)
	sentAt := time.Now()
	c.records.update(func() { record.SentAt = sentAt })
	err := writeErr
	if err == nil {
		err = c.readAnswer(conn, record)
	}
	if err == nil {
		return
	}
	conn.Close()
	stale := conn.reused && !timedOut(err) && !c.sidecar.killedSince(record.began(sentAt))
	killed := c.sidecar.excusedByKill(record.began(sentAt), sentAt) // a kill also ends connections whose requests were read
	if !conn.reused && !timedOut(err) && !killed && c.descriptorsExhausted() {
		c.records.update(func() { record.Outcome = outcomeClosedUnread })
		return
	}
	if !stale {
		c.recordFailure(record, err, sentAt)
		return
	}
	c.records.update(func() { record.resentAt = time.Now() })
	second := c.connect(true)
	if second == nil {
		c.records.update(func() { record.Outcome = outcomeUnreachable })
		return
	}
	_, err = io.WriteString(second, record.encode())
	sentAt = time.Now()
	c.records.update(func() { record.SentAt = sentAt })
	if err == nil {
		err = c.readAnswer(second, record)
	}
	if err != nil {
		second.Close()
		c.recordFailure(record, err, sentAt)
	}
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordFailure records why a request got no response.
func (c *clients) recordFailure(record *requestRecord, err error, sentAt time.Time) {
	outcome := outcomeClosed
	switch {
	case c.sidecar.excusedByKill(record.began(sentAt), sentAt):
		outcome = outcomeExcused
	case timedOut(err):
		outcome = outcomeSilent
	}
	c.records.update(func() { record.Outcome = outcome })
}

// readAnswer reads the response to a request and makes the connection idle again, unless the request is pipelined. Responses
// arrive in order, so the response to a pipelined request is due no earlier than the previous response arrived.
func (c *clients) readAnswer(conn *clientConn, record *requestRecord) error {
	c.records.update(func() { record.dueAt = laterOf(record.SentAt.Add(record.Timeout), time.Now()) })
	deadline := record.dueAt.Add(answerGrace + hostSlack + c.records.slack)
	if err := conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: record.Class.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		return err
	}
	c.records.update(func() {
		record.Outcome, record.AnsweredAt = outcomeAnswered, time.Now()
		record.Status, record.Body = response.StatusCode, string(body)
	})
	conn.closing = response.Close
	if response.Close {
		conn.Close()
	} else if record.Kind != "pipelined" && !conn.kept {
		c.release(conn) // must come last: another client may use the connection afterwards
	}
	return nil
}

// reuseIdle repeatedly sends a request on every idle connection until done is closed. This is what clients of a terminating
// sidecar do while their connections stay open.
func (c *clients) reuseIdle(done <-chan struct{}, random *generator) {
	var work sync.WaitGroup
	defer work.Wait()
	ticker := time.NewTicker(reuseIdleInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		open := c.idle
		c.idle = nil
		c.mu.Unlock()
		for _, conn := range open {
			conn.reused = true
			record := c.newRequest("ending", random)
			c.records.addRequest(record)
			work.Go(func() { c.exchange(conn, record, record.encode()) })
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// openIdle opens connections and sends one request on each, after which they are idle.
func (c *clients) openIdle(random *generator) {
	var work sync.WaitGroup
	for range warmConnections {
		conn := c.connect(true)
		if conn == nil {
			continue
		}
		record := c.newRequest("before the end", random)
		c.records.addRequest(record)
		work.Go(func() { c.exchange(conn, record, record.encode()) })
	}
	work.Wait()
}
