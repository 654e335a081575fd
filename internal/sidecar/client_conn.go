package sidecar

import (
	"cmp"
	"errors"
	"net"
	"syscall"
	"time"
)

// connPhase is the phase of a client connection. Connections in lower phases are evicted first.
type connPhase uint8

const (
	phaseClosing connPhase = iota // the last response is written
	phaseNew                      // no request yet
	phaseIdle                     // between requests
	phaseActive                   // serves a request; never evicted
)

// partialRequestGrace is how long the rest of a request may take after its first bytes, on a busy machine. During this time
// the connection is not evicted, and idle connections that have carried requests are not evicted either.
const partialRequestGrace = 50 * time.Millisecond

// lingerTimeout is how long a connection stays open after its last response, so that the client closes it. Closing a
// connection that holds unread bytes resets it, and the client can lose the response.
const lingerTimeout = shutdownMargin / 2

// errPipelineTooLong ends the connection of a client that sends more bytes behind an active request than the sidecar reads
// ahead.
var errPipelineTooLong = errors.New("too many bytes behind an active request")

// clientConn is a connection of a client. The lock of the listener makes reading and eviction mutually exclusive: a request
// that was read gets its response, and nothing is read from an evicted connection.
type clientConn struct {
	*net.TCPConn
	rawConn  syscall.RawConn
	listener *clientListener

	// The lock of the listener guards the fields below.
	phase      connPhase
	phaseSince time.Time // when the phase began or, if later, when the first byte of the next request was read
	// readerWaiting: net/http has processed all bytes that it has read, and waits for more. While it is false, the bytes
	// that were read last may be a request.
	readerWaiting  bool
	requestStarted bool // a part of the next request is read
	readAhead      readAheadBuffer
	head           headScanner
	bodyRemaining  int       // unread bytes of the active request's body
	partialBytes   int       // memory that is reserved for the request that is being read
	finalRequests  int       // requests that were answered in the last phase of a drain
	shed           bool      // the partial request is ended, as its memory or place is needed
	arrivedAt      time.Time // when the bytes that were read last arrived
	readErr        error     // set when reading has failed, such as when the client has closed its side: nothing more is read
	disconnectedAt time.Time // when readErr was set
	unanswered     bool      // a request is read completely and its response is not written
	writing        bool      // the response is being written
	writingSince   time.Time
	writeErr       error // of the latest response
	closeChecked   bool  // recordClose has checked that no request is left unanswered
	handled        bool  // the request that was read last has reached the frontend
	malformed      bool  // a malformed request was read: the bytes that follow may be a part of it
	readClosed     bool  // set when this side closes: nothing more is read

	requests rateCounter // only the goroutine that reads uses it
}

// Close implements net.Conn. It closes the sending side first and lingers, so that the client gets its last response even
// if it has sent more bytes, which are discarded. net/http calls Close on the goroutine that reads.
func (c *clientConn) Close() error {
	lingerDeadline, lingers := c.listener.beginClose(c)
	if lingers && c.TCPConn.CloseWrite() == nil && c.SetReadDeadline(lingerDeadline) == nil {
		// Read returns when the client closes its side or at the deadline. In both cases the connection is closed next.
		_ = c.rawConn.Read(func(uintptr) bool {
			err := peekRead(c.rawConn)
			return err != nil && !errors.Is(err, syscall.EAGAIN)
		})
	}
	return c.TCPConn.Close()
}

// Write implements net.Conn. It records the first error: the client has disconnected or does not read.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.listener.mu.Lock()
		c.writeErr = cmp.Or(c.writeErr, err)
		c.listener.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the sending side. net/http calls it after the last response, half a second before Close.
func (c *clientConn) CloseWrite() error {
	c.listener.setPhase(c, phaseClosing)
	return c.TCPConn.CloseWrite()
}

// setReadErr records the first read error and its time. It does nothing if err is nil. The caller holds the lock of the
// listener.
func (c *clientConn) setReadErr(err error) {
	if err == nil || c.readErr != nil {
		return
	}
	c.readErr = err
	c.disconnectedAt = time.Now()
}

// disconnectedSince returns the time at which the sidecar noticed that the client had closed its side.
func (c *clientConn) disconnectedSince() (since time.Time, disconnected bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.disconnectedAt, c.readErr != nil
}

// setUnanswered records that a request is read completely and not answered.
func (c *clientConn) setUnanswered() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unanswered = true
}

// setHandled records that the request has reached the frontend: net/http has not rejected it.
func (c *clientConn) setHandled() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.handled = true
}

// setWriting records that the response is being written. The write blocks only while the client does not read.
func (c *clientConn) setWriting() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unanswered, c.writing, c.writingSince = false, true, time.Now()
}

// setAnswered records that the response is written, or the write error: the client has disconnected or does not read.
func (c *clientConn) setAnswered(err error) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unanswered, c.writing = false, false
	c.writeErr = err
}

// setMalformed records that a malformed request was read, so that the bytes after it are not taken as a request.
func (c *clientConn) setMalformed() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.malformed = true
}

// recordClose counts the end of a connection by its reason. It records a violation if a request was read and not answered
// while the client still waits. The caller holds the lock of the listener.
func (c *clientConn) recordClose(reason countedEvent) {
	c.listener.monitor.count(reason)
	traceClientClosed(c, reason)
	if c.readErr != nil || c.writeErr != nil || c.writing || c.closeChecked {
		return
	}
	c.closeChecked = true
	if err := peekRead(c.rawConn); err != nil && !errors.Is(err, syscall.EAGAIN) {
		return // the client has disconnected, which was not noticed before
	}
	unservedReadAhead := c.readAhead.size > 0 && c.handled && !c.malformed
	if c.unanswered || unservedReadAhead {
		c.listener.monitor.recordViolation(invariantEveryRequestAnswered, "client", c.RemoteAddr().String(), "reason", reason.String(),
			"unanswered", c.unanswered, "read_ahead_bytes", c.readAhead.size)
	}
}

// markClosing marks the connection as closing. Nothing more is read from it. The caller holds the lock of the listener.
func (c *clientConn) markClosing(now time.Time) {
	c.readClosed = true
	c.phase = phaseClosing
	c.phaseSince = now
}

// betweenRequests reports whether no request is active.
func (c *clientConn) betweenRequests() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase != phaseActive
}

// evictable reports whether the connection may be evicted: no part of a request is read, or the grace period of a partial
// request is over. The caller holds the lock of the listener and also checks that the socket holds no unread bytes.
func (c *clientConn) evictable(now time.Time) bool {
	return c.phase != phaseActive && c.readerWaiting && (!c.requestStarted || now.Sub(c.phaseSince) >= partialRequestGrace)
}

// disconnectErr returns the read error if the client of an active request has disconnected, and nil if not. It checks the
// socket, because the disconnect may not have been noticed yet. Bytes that arrived before the disconnect are read ahead.
func (c *clientConn) disconnectErr() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.readErr != nil || c.readClosed || c.phase != phaseActive {
		return c.readErr
	}
	// Control is used because Read would wait for the goroutine that reads the connection. Control fails only if the
	// connection is closed.
	if err := c.rawConn.Control(func(fd uintptr) { _, _, _ = c.fillReadAhead(int(fd)) }); err != nil {
		return err
	}
	return c.readErr
}

// expectBody sets the size of the active request's body, before any of it is read.
func (c *clientConn) expectBody(size int) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.bodyRemaining = size
}

// writeStartTime is how long a write may take if the client reads: without it, a close could come between the end of a request and
// the first byte of its response.
const writeStartTime = capacityPollInterval

// owesResponse reports whether closing the connection now could lose a request or its response. A complete request is always
// waited for, as it is answered at the drain deadline at the latest. What depends on the client is waited for until limit: that
// the rest of a request that has just begun arrives, and that a response is written and delivered. The caller holds the lock of
// the listener.
func (c *clientConn) owesResponse(now, limit time.Time) bool {
	if c.unanswered || c.writing && now.Sub(c.writingSince) < writeStartTime {
		return true
	}
	if !now.Before(limit) {
		return false
	}
	switch {
	case c.writing:
		return true
	case c.phase == phaseClosing:
		return unacknowledgedBytes(c.rawConn) > 0
	case c.phase == phaseActive:
		return !c.readerWaiting // it waits only for a body that the client has not sent completely
	default:
		return !c.evictable(now) || !openAndEmpty(c.TCPConn)
	}
}

// lastArrival returns the arrival time of the last byte that was read. After a request is read completely, this byte is the
// last byte of the request.
func (c *clientConn) lastArrival() time.Time {
	if c == nil {
		return time.Now()
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.arrivedAt
}

// maxFinalRequests is how many requests of a connection are served in the last phase of a drain, if they wait in its socket: more
// than a client sends at once, but a client that never stops sending is ended.
const maxFinalRequests = 32

// moreRequested reports, in the last phase of a drain, whether bytes behind the active request were read ahead, or wait in the
// socket and may still be served.
func (c *clientConn) moreRequested() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.readAhead.size > 0 || c.finalRequests < maxFinalRequests && peekRead(c.rawConn) == nil
}

// countFinalRequest counts a request that is served in the last phase of a drain.
func (c *clientConn) countFinalRequest() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.finalRequests++
}
