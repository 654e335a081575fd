package sidecar

import "time"

// This file ends the connections of clients during a drain, without losing a request that was read.

// shutdownIdle shuts down all connections without a request, during a drain. Their readers then close them. New connections
// are exempt for partialRequestGrace, because their first request may be in transit.
func (l *clientListener) shutdownIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for conn := range l.conns {
		firstRequestExpected := conn.phase == phaseNew && now.Sub(conn.phaseSince) < partialRequestGrace
		if conn.phase == phaseClosing || firstRequestExpected || !conn.evictable(now) || !openAndEmpty(conn.TCPConn) {
			continue
		}
		l.monitor.count(clientConnShutByDrain)
		conn.markClosing(now)
		_ = conn.TCPConn.CloseWrite() // fails only if the connection is broken, which the reader notices
		_ = conn.SetReadDeadline(now) // wakes the reader
	}
}

// endPacing makes nothing wait for processor time any more, as the drain has a deadline. It must be called once.
func (l *clientListener) endPacing() { close(l.paceEnded) }

// acceptEndMargin is the time between the end of accepting and the end of connections without a response: enough for the first
// request of a connection that was accepted last.
const acceptEndMargin = partialRequestGrace + 5*capacityPollInterval

// drainUntil closes each connection as soon as it has no request, until none is left or a time is reached.
func (l *clientListener) drainUntil(end time.Time) {
	for ; l.openCount() > 0 && time.Now().Before(end); time.Sleep(capacityPollInterval) {
		l.shutdownIdle()
	}
}

// drain closes each connection as soon as it has no request. After the deadline it waits only for connections whose clients are
// still owed a response, and then ends reading. It reports whether all connections were closed.
func (l *clientListener) drain(deadline time.Time) bool {
	l.mu.Lock()
	l.drainDeadline = deadline.Add(lateResponseWindow)
	l.mu.Unlock()
	for ; l.openCount() > 0; time.Sleep(capacityPollInterval) {
		if time.Now().After(deadline) && l.endReading() {
			return false
		}
		l.shutdownIdle()
	}
	return true
}

// endReading ends reading on all connections, so that they can be closed without losing a request. It does nothing and reports
// false while a client is still owed a response.
func (l *clientListener) endReading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for conn := range l.conns {
		if conn.owesResponse(now, l.drainDeadline) {
			return false
		}
	}
	l.readingEnded = true
	l.drainDeadline = now
	for conn := range l.conns {
		conn.readClosed = true
	}
	return true
}

// stopAccepting makes Accept return net.ErrClosed after it has accepted all queued connections.
func (l *clientListener) stopAccepting() error {
	return l.SetDeadline(time.Now().Add(capacityPollInterval))
}

// endReadAhead stops reading ahead behind active requests.
func (l *clientListener) endReadAhead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAheadEnded = true
}

// anyPersistent reports whether any open connection has carried a request and may carry another.
func (l *clientListener) anyPersistent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if conn.phase >= phaseIdle {
			return true
		}
	}
	return false
}
