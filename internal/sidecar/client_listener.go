package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"milldeck/internal/sockets"
)

// capacityPollInterval is how soon Accept looks again for a connection to evict, and drain for one to close.
const capacityPollInterval = 5 * time.Millisecond

// readBufferBytes is how much is read ahead at a time behind an active request.
const readBufferBytes = 4 << 10

// clientListener accepts client connections and holds the table of those that are open. A plain listener with a limit
// stops accepting when it is full, so that silent clients shut all others out; this one evicts the connection that is
// idle for longest.
type clientListener struct {
	*net.TCPListener
	maxConns      int
	maxPersistent int           // of connections that have carried a request; beyond it the longest idle one is evicted
	capacityFreed chan struct{} // signals that a connection has ended, or may now be evicted
	closed        chan struct{}
	closeOnce     sync.Once

	lingerTimeout time.Duration
	monitor       *monitor

	acceptErrorLoggedAt time.Time // the goroutine that accepts alone uses it

	mu sync.Mutex
	// readAheadEnded: nothing is read behind active requests any more; see clientConn.readBehind.
	readAheadEnded bool
	drainDeadline  time.Time // no connection lingers longer; zero: no drain yet
	conns          map[*clientConn]struct{}
	readBuffer     [readBufferBytes]byte // for one read under the lock
	memory         *byteBudget           // of what is read ahead; nil: no bound
}

func newClientListener(listener net.Listener, maxConns, maxPersistent int) *clientListener {
	return &clientListener{
		TCPListener:   listener.(*net.TCPListener),
		maxConns:      maxConns,
		maxPersistent: maxPersistent,
		capacityFreed: make(chan struct{}, 1),
		closed:        make(chan struct{}),
		lingerTimeout: lingerTimeout,
		conns:         map[*clientConn]struct{}{},
	}
}

// Accept implements net.Listener. It waits until the table has capacity for the connection, evicting another if it can.
func (l *clientListener) Accept() (net.Conn, error) {
	tcpConn, err := l.acceptTCP()
	if err != nil {
		return nil, err
	}
	rawConn, err := tcpConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{TCPConn: tcpConn, rawConn: rawConn, listener: l, phase: phaseNew, readAhead: readAheadBuffer{memory: l.memory}}
	for !l.register(conn) {
		select {
		case <-l.capacityFreed:
		case <-time.After(capacityPollInterval):
		case <-l.closed:
			_ = tcpConn.Close() // the process is about to end
			return nil, net.ErrClosed
		}
	}
	return conn, nil
}

// acceptTCP accepts a connection. It outlives every error that passes: net/http would end the server with some of them, and
// have clients wait for up to a second after the others. net.ErrClosed means that stopAccepting has ended accepting.
func (l *clientListener) acceptTCP() (*net.TCPConn, error) {
	var pause sockets.Backoff
	for failed := false; ; {
		tcpConn, err := l.AcceptTCP()
		switch {
		case err == nil:
			return tcpConn, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !failed && !l.connectionQueued() {
				return nil, net.ErrClosed // net/http would retry after a timeout
			}
			// The time was over before the queue was empty.
			failed = false
			if err := l.stopAccepting(); err != nil {
				return nil, err
			}
		case sockets.IsPermanentAcceptError(err):
			return nil, err
		default:
			failed = true
			l.logAcceptError(err)
			if !l.sleep(pause.Next()) {
				return nil, net.ErrClosed
			}
		}
	}
}

// connectionQueued reports whether a connection waits to be accepted.
func (l *clientListener) connectionQueued() bool {
	rawListener, err := l.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	controlErr := rawListener.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		queued = err == nil && n > 0 || errors.Is(err, unix.EINTR)
	})
	return controlErr == nil && queued
}

// logAcceptError logs an error of accept, at most one a second, and counts it.
func (l *clientListener) logAcceptError(err error) {
	l.monitor.count(acceptFailed)
	if now := time.Now(); now.Sub(l.acceptErrorLoggedAt) >= time.Second {
		l.acceptErrorLoggedAt = now
		frontendLog.Warn("accept failed, trying again", "error", err)
	}
}

// sleep waits; it reports false if the listener is closed meanwhile.
func (l *clientListener) sleep(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-l.closed:
		return false
	}
}

// Close implements net.Listener. It also ends an Accept that waits for capacity.
func (l *clientListener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.TCPListener.Close()
	})
	return err
}

// register enters a connection into the table and reports whether there was capacity.
func (l *clientListener) register(conn *clientConn) bool {
	l.mu.Lock()
	var evicted *clientConn
	admitted := len(l.conns) < l.maxConns
	if !admitted {
		evicted = l.evictOne()
		admitted = evicted != nil
	}
	if admitted {
		conn.phaseSince = time.Now()
		l.conns[conn] = struct{}{}
		l.monitor.count(clientConnAccepted)
	}
	l.mu.Unlock()
	if evicted != nil {
		_ = evicted.TCPConn.Close() // closed for good, whatever it returns
	}
	return admitted
}

// evictOne removes a connection without a request from the table, nil if there is none. The caller holds the lock and
// closes the connection after it has released the lock: closing waits for a reader, which may wait for the lock.
func (l *clientListener) evictOne() *clientConn {
	now := time.Now()
	for {
		candidate, firstRequestExpected := l.evictionCandidate(now)
		if candidate == nil || firstRequestExpected && candidate.phase == phaseIdle {
			return nil
		}
		if candidate.phase == phaseClosing || openAndEmpty(candidate.TCPConn) {
			l.remove(candidate, clientConnEvictedForNew)
			return candidate
		}
		candidate.readerWaiting = false // bytes have arrived, and its reader is about to get them
	}
}

// evictionCandidate returns the evictable connection of the earliest phase that is in it for longest. It also reports
// whether a new connection may have its first request, or a part of it, unread. One whose last response is still on its way
// is no candidate: bytes that its client has sent, or sends next, would have the close reset it and take the rest of the
// response with it. The caller holds the lock.
func (l *clientListener) evictionCandidate(now time.Time) (candidate *clientConn, firstRequestExpected bool) {
	for conn := range l.conns {
		if conn.phase != phaseClosing && !conn.evictable(now) {
			firstRequestExpected = firstRequestExpected || conn.phase == phaseNew
			continue
		}
		if l.awaitsDelivery(conn, now) {
			continue
		}
		if candidate == nil || conn.phase < candidate.phase || conn.phase == candidate.phase && conn.phaseSince.Before(candidate.phaseSince) {
			candidate = conn
		}
	}
	return candidate, firstRequestExpected
}

// awaitsDelivery reports whether a response is still on its way to the client, and the client has had less time to read it than a
// connection lingers for. A closing connection is bounded by its own deadline.
func (l *clientListener) awaitsDelivery(conn *clientConn, now time.Time) bool {
	switch conn.phase {
	case phaseClosing:
	case phaseIdle:
		if now.After(conn.phaseSince.Add(l.lingerTimeout)) {
			return false
		}
	default:
		return false
	}
	return unacknowledgedBytes(conn.rawConn) > 0
}

// evictExcessPersistent removes the longest idle connection if more than maxPersistent have carried a request, nil if
// not. The caller holds the lock and closes the connection after it has released the lock. The application may use a
// third of the descriptors for its requests: if it fills them with connections that it used once, it has none left for
// its next request long before this side reaches its own limit.
func (l *clientListener) evictExcessPersistent() *clientConn {
	persistent := 0
	var longestIdle *clientConn
	now := time.Now()
	for conn := range l.conns {
		if conn.phase >= phaseIdle {
			persistent++
		}
		if conn.phase == phaseIdle && conn.evictable(now) && (longestIdle == nil || conn.phaseSince.Before(longestIdle.phaseSince)) {
			longestIdle = conn
		}
	}
	if persistent <= l.maxPersistent || longestIdle == nil || !openAndEmpty(longestIdle.TCPConn) || l.awaitsDelivery(longestIdle, now) {
		return nil
	}
	l.remove(longestIdle, clientConnEvictedIdle)
	return longestIdle
}

// remove takes a connection out of the table; nothing more is read from it. The caller holds the lock.
func (l *clientListener) remove(conn *clientConn, reason countedEvent) {
	conn.checkClose(reason)
	delete(l.conns, conn)
	conn.readClosed = true
}

// beginClose marks a connection as closing. It returns whether the connection lingers, so that its client gets the last
// response, and until when.
func (l *clientListener) beginClose(conn *clientConn) (until time.Time, lingers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	until = now.Add(l.lingerTimeout)
	if !l.drainDeadline.IsZero() && l.drainDeadline.Before(until) {
		until = l.drainDeadline
	}
	conn.checkClose(clientConnClosed)
	conn.closeRead(now)
	l.signalCapacity()
	clientMayRead := conn.readErr == nil || errors.Is(conn.readErr, errPipelineTooLong)
	return until, clientMayRead && now.Before(until)
}

// shutdownIdle ends all connections without a request, during a drain. Their readers close them. A new connection is
// left alone for a moment, as its first request may be on its way.
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
		conn.closeRead(now)
		_ = conn.TCPConn.CloseWrite() // fails only if the connection is broken, which its reader sees
		_ = conn.SetReadDeadline(now) // wakes its reader
	}
}

// drain ends each connection as soon as it has no request, and reports whether all have ended by the deadline.
func (l *clientListener) drain(deadline time.Time) bool {
	l.mu.Lock()
	l.drainDeadline = deadline
	l.mu.Unlock()
	for ; l.openCount() > 0; time.Sleep(capacityPollInterval) {
		if time.Now().After(deadline) {
			return false
		}
		l.shutdownIdle()
	}
	return true
}

// stopAccepting lets Accept take the connections that are queued and then end.
func (l *clientListener) stopAccepting() error {
	return l.SetDeadline(time.Now().Add(capacityPollInterval))
}

// endReadAhead has nothing more read behind active requests.
func (l *clientListener) endReadAhead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAheadEnded = true
}

// anyPersistent reports whether a connection that has carried a request may carry another.
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

// setPhase changes the phase of a connection.
func (l *clientListener) setPhase(conn *clientConn, phase connPhase) {
	l.mu.Lock()
	conn.phase = phase
	conn.phaseSince = time.Now()
	conn.readerWaiting = false
	conn.handled = false
	conn.requestStarted = conn.readAhead.size > 0
	if phase != phaseActive {
		l.signalCapacity()
	}
	evicted := l.evictExcessPersistent()
	l.mu.Unlock()
	if evicted != nil {
		_ = evicted.TCPConn.Close() // closed for good, whatever it returns
	}
}

func (l *clientListener) signalCapacity() {
	select {
	case l.capacityFreed <- struct{}{}:
	default:
	}
}

// onConnState is the ConnState hook of the HTTP server. A connection becomes active before its handler is called.
func (l *clientListener) onConnState(netConn net.Conn, state http.ConnState) {
	conn := netConn.(*clientConn)
	switch state {
	case http.StateActive:
		l.setPhase(conn, phaseActive)
	case http.StateIdle:
		l.setPhase(conn, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		delete(l.conns, conn)
		conn.readAhead.clear()
		l.signalCapacity()
		l.mu.Unlock()
	case http.StateNew: // Accept has entered it
	}
}

func (l *clientListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type clientConnKey struct{}

// withClientConn is the ConnContext hook of the HTTP server: it stores the connection for the handler.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// clientConnOf returns the connection of a request, nil outside of the server.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}
