package sidecar

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// connPhase is what a client connection is doing, ordered by which is evicted first.
type connPhase uint8

const (
	phaseClosing connPhase = iota // its last response is written
	phaseNew                      // has not carried a request yet
	phaseIdle                     // between requests
	phaseActive                   // has a request; never evicted
)

// partialRequestGrace is how long the rest of a request may take after its first bytes, on a busy machine. Until then its
// connection is not evicted, and neither are idle ones that have carried requests.
const partialRequestGrace = 50 * time.Millisecond

// lingerTimeout is how long a connection stays open after its last response for the client to close it. If it were closed
// over unread bytes, it would be reset, and the client could lose the response.
const lingerTimeout = shutdownMargin / 2

// errPipelineTooLong ends the connection of a client that sends more behind an active request than is read ahead.
var errPipelineTooLong = errors.New("too many bytes behind an active request")

// clientConn is a connection of a client. Reading from it and evicting it exclude each other under the lock of the
// listener: a request that is read gets its response, and from a connection that is evicted nothing is read.
type clientConn struct {
	*net.TCPConn
	rawConn  syscall.RawConn
	listener *clientListener

	// The lock of the listener guards the fields below.
	phase      connPhase
	phaseSince time.Time // when the phase began, or the first byte of the next request arrived
	// readerWaiting: the server has processed all it has read and waits for more. While it is false, what was read last
	// may be a request.
	readerWaiting  bool
	requestStarted bool // a part of the next request is read
	readAhead      readAheadBuffer
	head           headScanner
	bodyRemaining  int       // bytes of the active request's body that are not read
	arrivedAt      time.Time // when the bytes arrived that were read last
	readErr        error     // set when the client has closed its side: nothing more arrives
	disconnectedAt time.Time // when readErr was set
	unanswered     bool      // a request is read completely and its response is not written
	writing        bool      // the response is being written
	writeErr       error     // of the latest response
	closeChecked   bool      // recordClose has run
	handled        bool      // the request that was read last has reached the frontend
	malformed      bool      // what follows on the connection cannot be told from the request before
	readClosed     bool      // set when this side closes: nothing more is read
}

// Close implements net.Conn. It closes the sending side first and lingers, so that the client gets its last response
// whatever it has sent meanwhile, which is discarded. net/http calls it on the goroutine that reads.
func (c *clientConn) Close() error {
	lingerDeadline, lingers := c.listener.beginClose(c)
	if lingers && c.TCPConn.CloseWrite() == nil && c.SetReadDeadline(lingerDeadline) == nil {
		// Returns when the client closes its side, or at the deadline; either way the connection is closed next.
		_ = c.rawConn.Read(func(uintptr) bool {
			err := peekRead(c.rawConn)
			return err != nil && !errors.Is(err, syscall.EAGAIN)
		})
	}
	return c.TCPConn.Close()
}

// CloseWrite is called by net/http after the last response, half a second before Close.
func (c *clientConn) CloseWrite() error {
	c.listener.setPhase(c, phaseClosing)
	return c.TCPConn.CloseWrite()
}

// setReadErr records that nothing more arrives, and since when; nil changes nothing. The caller holds the lock.
func (c *clientConn) setReadErr(err error) {
	if err == nil || c.readErr != nil {
		return
	}
	c.readErr = err
	c.disconnectedAt = time.Now()
}

// disconnectedSince returns when the client was seen to have closed its side.
func (c *clientConn) disconnectedSince() (since time.Time, disconnected bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.disconnectedAt, c.readErr != nil
}

// setUnanswered records that the connection has a request that is read completely and not answered.
func (c *clientConn) setUnanswered() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unanswered = true
}

// setHandled records that a request has reached the frontend, and was not rejected by net/http.
func (c *clientConn) setHandled() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.handled = true
}

// setWriting records that the response is being written; it blocks only while the client does not read.
func (c *clientConn) setWriting() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unanswered, c.writing = false, true
}

// setAnswered records that the response is written, or the error with which that failed: the client has gone or does not
// read.
func (c *clientConn) setAnswered(err error) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unanswered, c.writing = false, false
	c.writeErr = err
}

// setMalformed records that what follows on the connection is no request of its own.
func (c *clientConn) setMalformed() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.malformed = true
}

// recordClose counts a close over a request that was read and not answered, while its client waits. The caller holds the
// lock.
func (c *clientConn) recordClose(reason countedEvent) {
	c.listener.monitor.count(reason)
	traceClientClosed(c, reason)
	if c.readErr != nil || c.writeErr != nil || c.writing || c.closeChecked {
		return
	}
	c.closeChecked = true
	if err := peekRead(c.rawConn); err != nil && !errors.Is(err, syscall.EAGAIN) {
		return // the client has gone, and nobody has noticed yet
	}
	unservedReadAhead := c.readAhead.size > 0 && c.handled && !c.malformed
	if c.unanswered || unservedReadAhead {
		c.listener.monitor.recordViolation(invariantEveryRequestAnswered, "client", c.RemoteAddr().String(), "reason", reason.String(),
			"unanswered", c.unanswered, "read_ahead_bytes", c.readAhead.size)
	}
}

// markClosing marks the connection as closing; nothing more is read from it. The caller holds the lock.
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

// evictable reports whether nothing of a request is read, or a part of one whose grace is over. The caller holds the
// lock, and checks in addition whether the socket holds unread bytes.
func (c *clientConn) evictable(now time.Time) bool {
	return c.phase != phaseActive && c.readerWaiting && (!c.requestStarted || now.Sub(c.phaseSince) >= partialRequestGrace)
}

// disconnectErr returns the error with which the client has closed its side, nil if it is connected. The connection has an
// active request. The socket is asked, as nobody may have noticed yet; what stands before the end is read ahead.
func (c *clientConn) disconnectErr() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.readErr != nil || c.readClosed || c.phase != phaseActive {
		return c.readErr
	}
	// Control, as Read would wait for the goroutine that reads the connection. If it fails the connection is closed.
	if err := c.rawConn.Control(func(fd uintptr) { _, _, _ = c.fillReadAhead(int(fd)) }); err != nil {
		return err
	}
	return c.readErr
}

// expectBody announces the body of the active request, of which nothing has been read.
func (c *clientConn) expectBody(size int) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.bodyRemaining = size
}

// lastArrival is when the last byte that was read arrived: once a request is read completely, its last byte.
func (c *clientConn) lastArrival() time.Time {
	if c == nil {
		return time.Now()
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.arrivedAt
}

// readAheadPending reports whether anything was read behind the active request.
func (c *clientConn) readAheadPending() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.readAhead.size > 0
}
