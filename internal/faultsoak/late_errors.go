package faultsoak

import (
	"fmt"
	"net/http"
	"time"
)

// This file has the faults that tempt a sidecar to send a request again while an attempt is out: a response that is followed by an
// error on the same connection, and requests that cross the close of an idle connection.

// respondTwice responds to a request and sends an error on the same connection up to maxLateError later. The first response is an
// error, which the second one repeats, or the success of the server. After a 500 the server goes on executing the request.
func (l *link) respondTwice(conn *proxiedConn, request *http.Request, body []byte) (reusable bool) {
	late := errorResponse
	if l.lateRandom.IntN(2) == 0 {
		late = notProcessedResponse
	}
	first := late
	delay := l.lateRandom.Below(maxLateError)
	switch {
	case l.lateRandom.IntN(2) == 0:
		status, notProcessed, response, err := l.forward(conn, request, body)
		if err != nil {
			return conn.reset()
		}
		first = sizedResponse(status, notProcessed, response)
	case late == errorResponse:
		detached := &proxiedConn{closed: make(chan struct{})} // the sidecar cannot close it
		l.connections.Go(func() { _, _, _, _ = l.forward(detached, request, body) })
	}
	sentAt := time.Now()
	if !conn.respondWhole(first) {
		return false
	}
	l.connections.Go(func() {
		time.Sleep(delay)
		if time.Since(sentAt) <= maxLateError { // on a busy machine, a sleep may take longer than the fault is about
			writeAll(conn, late)
		}
	})
	return true
}

const (
	sidecarIdleTimeout = 2500 * time.Millisecond // the sidecar closes a client's connection when it has been idle for this long
	maxCrossing        = 3 * time.Millisecond    // a request is sent at most this long before or after that
	crossingClients    = 30
)

// crossIdleTimeouts opens connections, sends one request on each, leaves them idle until the sidecar closes them, and sends
// another request on each in that moment. If the close and the request cross, exchange sends the request once more on a new
// connection. The IDs of the requests follow from the start of the fault, so that other requests keep theirs: the time that an
// execution takes follows from the ID.
func (c *clients) crossIdleTimeouts(startAt time.Duration, random *generator) {
	for number := range crossingClients {
		early := random.Below(maxCrossing)
		late := random.Below(maxCrossing)
		id := fmt.Sprintf("x%d-%x-%d", c.sidecar.number, startAt.Microseconds(), number)
		first := c.newRequestWithID(id+"a", "before a crossing", random)
		second := c.newRequestWithID(id+"b", "crossing", random)
		c.work.Go(func() { c.crossIdleTimeout(first, second, sidecarIdleTimeout-early+late) })
	}
}

func (c *clients) crossIdleTimeout(first, second *requestRecord, idleTime time.Duration) {
	conn := c.connect(true)
	if conn == nil {
		return
	}
	conn.kept = true
	c.records.addRequest(first)
	c.exchange(conn, first, first.encode())
	if first.Outcome != outcomeAnswered || conn.closing || !c.sidecar.acceptsNew() {
		conn.Close()
		return
	}
	time.Sleep(time.Until(first.AnsweredAt.Add(idleTime)))
	conn.reused = true
	c.records.addRequest(second)
	c.exchange(conn, second, second.encode())
	conn.Close()
}
