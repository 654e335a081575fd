package faultsoak

import (
	"io"
	"net"
	"strings"
	"time"
)

// This file has the clients that behave badly in ways that the platform allows: they disconnect early, send many requests at
// once, stop in the middle of a request, or only hold connections open.

// disconnectEarly sends a request and closes the connection, or only its sending side, without reading the response.
func (c *clients) disconnectEarly(random *generator) {
	record := c.newRequest("leaving", random)
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
	time.Sleep(time.Duration(random.Float64() * random.Float64() * float64(record.Timeout)))
	if random.IntN(3) == 0 {
		_ = conn.Conn.(*net.TCPConn).CloseWrite() // fails only if the sidecar has closed the connection
	} else {
		conn.Close()
	}
	c.records.update(func() { record.Outcome, record.DisconnectedAt = outcomeDisconnected, time.Now() })
	time.Sleep(badClientTimeout / 10)
}

// flood sends many requests at once and closes the connection without reading the responses.
func (c *clients) flood(random *generator) {
	conn := c.connect(true)
	if conn == nil {
		return
	}
	var text strings.Builder
	var sent []*requestRecord
	for range 2 + random.IntN(floodRequests) {
		record := c.newRequest("flood", random)
		c.records.addRequest(record)
		sent = append(sent, record)
		text.WriteString(record.encode())
	}
	_ = conn.SetWriteDeadline(time.Now().Add(badClientTimeout / 10))
	_, _ = io.WriteString(conn, text.String()) // a partial write is fine
	conn.Close()
	disconnectedAt := time.Now()
	c.records.update(func() {
		for _, record := range sent {
			record.SentAt, record.DisconnectedAt, record.Outcome = disconnectedAt, disconnectedAt, outcomeDisconnected
		}
	})
}

// pipeline sends several requests at once and reads the responses in order.
func (c *clients) pipeline(random *generator) {
	conn := c.connect(random.IntN(2) == 0)
	if conn == nil {
		return
	}
	var text strings.Builder
	var sent []*requestRecord
	for range 2 + random.IntN(pipelineRequests) {
		record := c.newRequest("pipelined", random)
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
	stale := conn.reused && answered == 0 && !timedOut(err) && !c.sidecar.killedSince(sentAt)
	for _, record := range sent[answered:] {
		if stale { // the close of the idle connection raced with the requests; the soak does not resend them
			c.records.update(func() { record.Outcome, record.resentAt = outcomeUnreachable, time.Now() })
			continue
		}
		c.recordFailure(record, err, sentAt)
	}
}

// stopMidRequest sends a part of a request. The sidecar has to send an error response or close the connection within
// badClientTimeout.
func (c *clients) stopMidRequest(random *generator) {
	conn := c.connect(true)
	if conn == nil {
		return
	}
	defer conn.Close()
	record := c.newRequest("stopped", random)
	text := record.encode()
	if _, err := io.WriteString(conn, text[:1+random.IntN(len(text)-1)]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(badClientTimeout + hostSlack + c.records.slack))
	if _, err := conn.reader.ReadByte(); timedOut(err) && !c.sidecar.killedSince(time.Now().Add(-badClientTimeout)) {
		c.records.addViolation("bad_client", record.ID, "a client that stopped in the middle of a request got neither error nor close")
	}
}

// exhaustDescriptors opens more idle connections than the sidecar has file descriptors for.
func (c *clients) exhaustDescriptors(until time.Time) {
	c.mu.Lock()
	c.descriptorsExhaustedUntil = laterOf(c.descriptorsExhaustedUntil, until.Add(clientDialTimeout))
	c.mu.Unlock()
	c.holdIdleConnections(exhaustingConnections, until)
}

// descriptorsExhausted reports whether exhaustDescriptors is active or ended less than clientDialTimeout ago. During this time,
// the sidecar may close new connections without reading from them.
func (c *clients) descriptorsExhausted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.descriptorsExhaustedUntil)
}

// holdIdleConnections opens count idle connections and closes them at the given time.
func (c *clients) holdIdleConnections(count int, until time.Time) {
	var idle []net.Conn
	for range count {
		if conn, err := net.DialTimeout("tcp", c.sidecar.address, clientDialTimeout); err == nil {
			idle = append(idle, conn)
		}
	}
	time.Sleep(time.Until(until))
	for _, conn := range idle {
		conn.Close()
	}
}
