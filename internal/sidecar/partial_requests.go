package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// This file accounts for requests that are not completely read. While memory or places for connections are short, those that
// have waited longest for their client are shed.

const (
	// maxHeaderFields is the largest number of lines in the head of a request or response, as usual for HTTP servers and
	// proxies. A parsed field takes much more memory than its text.
	maxHeaderFields = 100
	// maxPendingSheds limits how many shed connections are waited for, before another is shed for a place.
	maxPendingSheds = 16
	// initialBodyBuffer is the size of the first buffer for a body of unknown or larger size.
	initialBodyBuffer = 4 << 10
	// headerFieldsWriteTimeout limits the write of the response to a head with too many fields.
	headerFieldsWriteTimeout = 20 * time.Millisecond
)

var (
	// errRequestShed ends a partial request whose memory or place another one needs.
	errRequestShed = errors.New("request was not received in time while memory or connections are short")
	// errTooManyFields ends a request whose head has more than maxHeaderFields lines.
	errTooManyFields = errors.New("too many header fields")
)

// tooManyFieldsResponse is written to the socket, because net/http has only a part of the request then.
var tooManyFieldsResponse = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
	http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), len(errTooManyFields.Error()), errTooManyFields)

// reservePartial reserves memory for more of a request that is being read. If too little is left, it sheds the partial
// requests that have waited longest. It reports false if that is not enough. The caller holds the lock.
func (l *clientListener) reservePartial(conn *clientConn, size int) bool {
	for !l.partialMemory.reserve(size) {
		longest := l.longestPartial(conn)
		if longest == nil {
			return false
		}
		longest.shedPartial()
	}
	conn.partialBytes += size
	return true
}

// longestPartial returns the connection, other than conn, whose partial request holds memory and has waited longest for more
// bytes, or nil. The caller holds the lock.
func (l *clientListener) longestPartial(conn *clientConn) *clientConn {
	for {
		var longest *clientConn
		for other := range l.conns {
			waits := other != conn && other.partialBytes > 0 && other.readerWaiting && !other.shed
			if waits && (longest == nil || other.phaseSince.Before(longest.phaseSince)) {
				longest = other
			}
		}
		if longest == nil || openAndEmpty(longest.TCPConn) {
			return longest
		}
		longest.readerWaiting = false // bytes have arrived that the reader has not read yet
	}
}

// shedPartial ends a connection whose client has sent only a part of a request: its reader wakes up and gets errRequestShed.
// The caller holds the lock of the listener.
func (c *clientConn) shedPartial() {
	c.listener.monitor.count(clientConnShed)
	c.listener.logMemoryShortage()
	c.shed = true
	c.readerWaiting = false
	c.releasePartialLocked()
	_ = c.SetReadDeadline(expiredDeadline) // fails only if the connection is closed
}

// memoryShortageLogInterval is the minimum time between two log lines about shed requests.
const memoryShortageLogInterval = time.Second

// logMemoryShortage logs that a partial request is shed. The caller holds the lock.
func (l *clientListener) logMemoryShortage() {
	now := time.Now()
	if now.Sub(l.shortageLoggedAt) < memoryShortageLogInterval {
		return
	}
	l.shortageLoggedAt = now
	frontendLog.Warn("memory or connections are short, shedding partial requests", "connections", len(l.conns), "limit", l.maxConns)
}

// pendingSheds returns the number of shed connections that are not closing yet. The caller holds the lock.
func (l *clientListener) pendingSheds() (count int) {
	for conn := range l.conns {
		if conn.shed && conn.phase != phaseClosing {
			count++
		}
	}
	return count
}

// bodyStalled reports whether the client has sent only a part of a body and the grace period of a partial request is over. The
// caller holds the lock of the listener.
func (c *clientConn) bodyStalled(now time.Time) bool {
	return c.phase == phaseActive && c.bodyRemaining > 0 && c.readerWaiting && !c.shed && now.Sub(c.phaseSince) >= partialRequestGrace
}

// bodyExpected reports whether the client has sent only a part of a body. The caller holds the lock of the listener.
func (c *clientConn) bodyExpected() bool {
	return c.phase == phaseActive && (c.bodyRemaining > 0 || c.shed)
}

// reserveBody reserves memory for more of the active request's body.
func (c *clientConn) reserveBody(size int) error {
	if c == nil {
		return nil
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.shed || !c.listener.reservePartial(c, size) {
		return errRequestShed
	}
	return nil
}

// partialSize returns the memory that the request that is being read has reserved.
func (c *clientConn) partialSize() int {
	if c == nil {
		return 0
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.partialBytes
}

// releasePartial releases the memory of the request that was being read.
func (c *clientConn) releasePartial() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.releasePartialLocked()
}

func (c *clientConn) releasePartialLocked() {
	c.listener.partialMemory.release(c.partialBytes)
	c.partialBytes = 0
}

// wasShed reports whether the request that is being read was shed.
func (c *clientConn) wasShed() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.shed
}

// rejectHeaderFields responds to a head with too many fields, whose rest is not read, and marks the connection as closing.
func (c *clientConn) rejectHeaderFields() {
	c.listener.monitor.count(rejectedMalformed)
	if c.SetWriteDeadline(time.Now().Add(headerFieldsWriteTimeout)) == nil {
		_, _ = c.Write(tooManyFieldsResponse) // the connection is closed next, whether the client reads this or not
	}
	c.listener.setPhase(c, phaseClosing)
}
