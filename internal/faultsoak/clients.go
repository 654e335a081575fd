package faultsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	requestsPerSecond = 24                     // to each sidecar
	answerGrace       = 500 * time.Millisecond // an answer this late earns nothing, a later one is lost
	labSlack          = 150 * time.Millisecond // the machine of the soak is busy itself
	badClientLimit    = 3 * time.Second        // within which a client that stops gets an error or a close
	newConnsAfterTerm = 400 * time.Millisecond // new connections come this long after SIGTERM
	slowWriteLongest  = 400 * time.Millisecond
	minTimeoutShare   = 0.4
	maxBodyBytes      = 3000
	floodRequests     = 40
	pipelineRequests  = 6
	idleConnections   = 80
	clientDialTimeout = time.Second
)

// clients are the clients of one sidecar.
type clients struct {
	sidecar *sidecar
	records *records
	faults  *linkFaults // of the clients' side
	lastID  *atomic.Int64
	work    sync.WaitGroup

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is a connection to a sidecar.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
	// closing: the last answer announced the end of the connection.
	closing bool
}

// run sends requests until ctx ends, and waits for what is under way.
func (c *clients) run(ctx context.Context) {
	defer c.closeIdle()
	defer c.work.Wait()
	for {
		pause := time.Duration(rand.ExpFloat64() * float64(time.Second) / requestsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c.work.Go(c.sendOne)
	}
}

// sendOne plays one client of a kind that is drawn.
func (c *clients) sendOne() {
	switch draw := rand.Float64(); {
	case c.faults.draw(faultFlood) && draw < 0.2:
		c.flood()
	case c.faults.draw(faultPipelining) && draw < 0.4 || draw < 0.02:
		c.pipeline()
	case c.faults.draw(faultLeaving) || draw < 0.06:
		c.leave()
	case draw < 0.10:
		c.request("slow", slowWriteLongest)
	case draw < 0.12:
		c.stop()
	default:
		c.request("plain", 0)
	}
}

func (c *clients) newRequest(kind string) *requestRecord {
	chosen := &classes[rand.IntN(len(classes))]
	return &requestRecord{
		ID: fmt.Sprintf("r%08x", c.lastID.Add(1)), Class: chosen, Sidecar: c.sidecar.number, Kind: kind,
		Timeout: time.Duration((minTimeoutShare + (1-minTimeoutShare)*rand.Float64()) * float64(chosen.deadline)),
	}
}

// encode is the request on the wire.
func (r *requestRecord) encode() string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n",
		r.Class.method, r.ID, r.Class.name, r.Timeout.Milliseconds())
	fmt.Fprintf(&head, "Cookie: k=%d\r\n", rand.IntN(200))
	if r.Class.keyed {
		fmt.Fprintf(&head, "Idempotency-Key: key-%s\r\n", r.ID)
	}
	if r.Class.method == http.MethodGet {
		return head.String() + "\r\n"
	}
	body := strings.Repeat("b", rand.IntN(maxBodyBytes))
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return head.String()
}

// connect returns an idle connection, or else a new one; nil if none can be had.
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

// request sends one request, in two parts where slowBy is not 0, and waits for the answer.
func (c *clients) request(kind string, slowBy time.Duration) {
	record := c.newRequest(kind)
	conn := c.connect(false)
	if conn == nil {
		return
	}
	c.records.addRequest(record)
	text := record.encode()
	if slowBy > 0 {
		cut := rand.IntN(len(text))
		if _, err := io.WriteString(conn, text[:cut]); err == nil {
			time.Sleep(rand.N(slowBy))
		}
		text = text[cut:]
	}
	c.exchange(conn, record, text)
}

// exchange writes a request, or the rest of one, and reads its answer. Where the close of a connection that was reused
// crosses the request, it is sent once more on a new connection.
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
	resend := conn.reused && !timedOut(err) && !c.sidecar.killedSince(sentAt)
	if !resend {
		c.fail(record, err, sentAt)
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
		c.fail(record, err, sentAt)
	}
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// fail records that a request got no answer.
func (c *clients) fail(record *requestRecord, err error, sentAt time.Time) {
	outcome := outcomeClosed
	switch {
	case c.sidecar.killedSince(sentAt):
		outcome = outcomeExcused
	case timedOut(err):
		outcome = outcomeSilent
	}
	c.records.update(func() { record.Outcome = outcome })
}

// readAnswer reads the answer to a request that is sent, and gives the connection back. Answers come in order, so that of a
// pipelined request is due after the one before, however late that was.
func (c *clients) readAnswer(conn *clientConn, record *requestRecord) error {
	c.records.update(func() { record.dueAt = laterOf(record.SentAt.Add(record.Timeout), time.Now()) })
	deadline := record.dueAt.Add(answerGrace + labSlack + c.records.slack)
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
	} else if record.Kind != "pipelined" {
		c.release(conn) // last: another client may use it from now on
	}
	return nil
}

// leave sends a request and closes the connection before the answer, or its sending side.
func (c *clients) leave() {
	record := c.newRequest("leaving")
	conn := c.connect(false)
	if conn == nil {
		return
	}
	defer conn.Close()
	c.records.addRequest(record)
	if _, err := io.WriteString(conn, record.encode()); err != nil {
		c.records.update(func() { record.Outcome = outcomeUnreachable })
		return
	}
	c.records.update(func() { record.SentAt = time.Now() })
	time.Sleep(time.Duration(rand.Float64() * rand.Float64() * float64(record.Timeout)))
	if rand.IntN(3) == 0 {
		_ = conn.Conn.(*net.TCPConn).CloseWrite() // fails only if the sidecar has closed the connection
	} else {
		conn.Close()
	}
	c.records.update(func() { record.Outcome, record.DisconnectedAt = outcomeDisconnected, time.Now() })
	time.Sleep(badClientLimit / 10)
}

// flood sends many requests at once and closes the connection.
func (c *clients) flood() {
	conn := c.connect(true)
	if conn == nil {
		return
	}
	var text strings.Builder
	var sent []*requestRecord
	for range 2 + rand.IntN(floodRequests) {
		record := c.newRequest("flood")
		c.records.addRequest(record)
		sent = append(sent, record)
		text.WriteString(record.encode())
	}
	_ = conn.SetWriteDeadline(time.Now().Add(badClientLimit / 10))
	_, _ = io.WriteString(conn, text.String()) // what it wrote is enough
	conn.Close()
	disconnectedAt := time.Now()
	c.records.update(func() {
		for _, record := range sent {
			record.SentAt, record.DisconnectedAt, record.Outcome = disconnectedAt, disconnectedAt, outcomeDisconnected
		}
	})
}

// pipeline sends several requests at once and reads their answers in order.
func (c *clients) pipeline() {
	conn := c.connect(rand.IntN(2) == 0)
	if conn == nil {
		return
	}
	var text strings.Builder
	var sent []*requestRecord
	for range 2 + rand.IntN(pipelineRequests) {
		record := c.newRequest("pipelined")
		c.records.addRequest(record)
		sent = append(sent, record)
		text.WriteString(record.encode())
	}
	_, err := io.WriteString(conn, text.String())
	sentAt := time.Now()
	c.records.update(func() {
		for _, record := range sent {
			record.SentAt = sentAt
		}
	})
	answered := 0
	for err == nil && answered < len(sent) {
		if err = c.readAnswer(conn, sent[answered]); err == nil {
			answered++
			if conn.closing {
				err = io.EOF
			}
		}
	}
	if answered == len(sent) {
		if conn.closing {
			conn.Close()
		} else {
			c.release(conn)
		}
		return
	}
	conn.Close()
	crossed := conn.reused && answered == 0 && !timedOut(err) && !c.sidecar.killedSince(sentAt)
	for _, record := range sent[answered:] {
		if crossed { // the close crossed them all; sending them again is nothing that the soak needs
			c.records.update(func() { record.Outcome, record.resentAt = outcomeUnreachable, time.Now() })
			continue
		}
		c.fail(record, err, sentAt)
	}
}

// stop sends a part of a request and waits for the error or the close that it is owed.
func (c *clients) stop() {
	conn := c.connect(true)
	if conn == nil {
		return
	}
	defer conn.Close()
	record := c.newRequest("stopped")
	text := record.encode()
	if _, err := io.WriteString(conn, text[:1+rand.IntN(len(text)-1)]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(badClientLimit + labSlack + c.records.slack))
	if _, err := conn.reader.ReadByte(); timedOut(err) && !c.sidecar.killedSince(time.Now().Add(-badClientLimit)) {
		c.records.violate("bad_client", record.ID, "a client that stopped in the middle of a request got neither error nor close")
	}
}

// hold opens idle connections for a time.
func (c *clients) hold(until time.Time) {
	var idle []net.Conn
	for range idleConnections {
		if conn, err := net.DialTimeout("tcp", c.sidecar.address, clientDialTimeout); err == nil {
			idle = append(idle, conn)
		}
	}
	time.Sleep(time.Until(until))
	for _, conn := range idle {
		conn.Close()
	}
}
