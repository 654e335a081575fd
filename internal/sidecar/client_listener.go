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

// capacityPollInterval is the interval at which Accept looks for a connection to evict, and at which drain looks for
// connections to close.
const capacityPollInterval = 5 * time.Millisecond

// readBufferBytes is the maximum number of bytes that one read takes from a client socket.
const readBufferBytes = 4 << 10

// clientListener accepts client connections and holds the table of open connections. A listener that only stops accepting
// at a limit lets clients that send nothing lock out all other clients. At the limit, clientListener evicts the longest
// idle connection.
type clientListener struct {
	*net.TCPListener
	maxConns      int
	maxPersistent int           // limit of connections that have carried a request; above it the longest idle one is evicted
	capacityFreed chan struct{} // signals that a connection has ended or has become evictable
	closed        chan struct{}
	closeOnce     sync.Once

	lingerTimeout time.Duration
	monitor       *monitor

	processor *processorBudget // nil: no limit
	paceEnded chan struct{}    // closed when a drain begins: nothing waits for processor time any more

	// Only the goroutine that accepts uses these fields.
	acceptErrorLoggedAt time.Time
	accepted            rateCounter

	mu sync.Mutex
	// readAheadEnded: no more bytes are read behind active requests; see clientConn.fillReadAhead.
	readAheadEnded bool
	readingEnded   bool      // nothing more is read from any connection; see endReading
	drainDeadline  time.Time // no connection lingers beyond it; zero: no drain has begun
	conns          map[*clientConn]struct{}
	readBuffer     [readBufferBytes]byte // for one read while the lock is held
	memory         *byteBudget           // for bytes that are read ahead; nil: no limit
	partialMemory  *byteBudget           // for requests that are not completely read; nil: no limit

	shortageLoggedAt time.Time
}

func newClientListener(listener net.Listener, maxConns, maxPersistent int) *clientListener {
	return &clientListener{
		TCPListener:   listener.(*net.TCPListener),
		maxConns:      maxConns,
		maxPersistent: maxPersistent,
		capacityFreed: make(chan struct{}, 1),
		closed:        make(chan struct{}),
		paceEnded:     make(chan struct{}),
		lingerTimeout: lingerTimeout,
		conns:         map[*clientConn]struct{}{},
	}
}

// Accept implements net.Listener. It waits until the table has capacity for the connection, and evicts another connection if
// necessary and possible.
func (l *clientListener) Accept() (net.Conn, error) {
	if l.accepted.count >= unpacedConns {
		l.processor.wait(maxAcceptPause, l.paceEnded)
	}
	tcpConn, err := l.acceptTCP()
	if err != nil {
		return nil, err
	}
	l.accepted.add(time.Now())
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

// acceptTCP accepts a connection. It retries after every temporary error. If it returned them, net/http would stop the
// server on some of these errors, and would pause accepting for up to a second after the rest. net.ErrClosed means that
// stopAccepting or Close has ended accepting.
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
			// The deadline passed before all queued connections were accepted.
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

// connectionQueued reports whether a connection is waiting to be accepted.
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

// logAcceptError counts an accept error, and logs at most one a second.
func (l *clientListener) logAcceptError(err error) {
	l.monitor.count(acceptFailed)
	if now := time.Now(); now.Sub(l.acceptErrorLoggedAt) >= time.Second {
		l.acceptErrorLoggedAt = now
		frontendLog.Warn("accept failed, trying again", "error", err)
	}
}

// sleep waits for a duration. It returns early and reports false if the listener is closed.
func (l *clientListener) sleep(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-l.closed:
		return false
	}
}

// Close implements net.Listener. It also ends an Accept call that waits for capacity.
func (l *clientListener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.TCPListener.Close()
	})
	return err
}

// register adds a connection to the table, after evicting another if the table is full. It reports false if the table is
// full and no connection can be evicted.
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
		conn.readClosed = l.readingEnded
		l.conns[conn] = struct{}{}
		l.monitor.count(clientConnAccepted)
	}
	l.mu.Unlock()
	if evicted != nil {
		_ = evicted.TCPConn.Close() // the connection is closed even if Close returns an error
	}
	return admitted
}

// evictOne removes a connection without a request from the table and returns it, or nil if no connection can be evicted at
// once. A connection whose body has stalled is shed instead, and leaves the table when its client is answered.
// The caller holds the lock, and closes the connection only after releasing the lock: closing waits for a reader, which may
// wait for the lock.
func (l *clientListener) evictOne() *clientConn {
	now := time.Now()
	for {
		candidate, firstRequestExpected := l.evictionCandidate(now)
		if candidate == nil || firstRequestExpected && candidate.phase == phaseIdle {
			return nil
		}
		switch {
		case candidate.phase == phaseActive && l.pendingSheds() >= maxPendingSheds:
			return nil
		case candidate.phase == phaseActive && openAndEmpty(candidate.TCPConn):
			candidate.shedPartial() // its place is free once its client is answered
			return nil
		case candidate.phase == phaseClosing || candidate.phase != phaseActive && openAndEmpty(candidate.TCPConn):
			l.remove(candidate, clientConnEvictedForNew)
			return candidate
		}
		candidate.readerWaiting = false // bytes have arrived that the reader has not read yet
	}
}

// evictionCandidate returns the evictable connection of the lowest phase that has been in its phase for longest. It also
// reports whether bytes of a first request may have arrived on any new connection and are not processed yet, or a body is
// awaited: such a connection soon has a complete request or becomes evictable. A connection
// whose last response is not delivered yet is no candidate: if the client has sent bytes, or sends more, closing resets the
// connection and the client loses the rest of the response. The caller holds the lock.
func (l *clientListener) evictionCandidate(now time.Time) (candidate *clientConn, firstRequestExpected bool) {
	for conn := range l.conns {
		if conn.phase != phaseClosing && !conn.evictable(now) && !conn.bodyStalled(now) {
			firstRequestExpected = firstRequestExpected || conn.phase == phaseNew || conn.bodyExpected()
			continue
		}
		if l.awaitsDelivery(conn, now) {
			continue
		}
		if candidate == nil || conn.evictedBefore(candidate) {
			candidate = conn
		}
	}
	return candidate, firstRequestExpected
}

// evictedBefore reports whether this evictable connection is evicted before another one.
func (c *clientConn) evictedBefore(other *clientConn) bool {
	phase, otherPhase := c.evictionPhase(), other.evictionPhase()
	return phase < otherPhase || phase == otherPhase && c.phaseSince.Before(other.phaseSince)
}

// evictionPhase is the phase of an evictable connection. One whose body has stalled counts as a new one: its request is not
// complete.
func (c *clientConn) evictionPhase() connPhase {
	if c.phase == phaseActive {
		return phaseNew
	}
	return c.phase
}

// awaitsDelivery reports whether the client's machine has not acknowledged all of the last response, and the client has had
// less than the linger timeout to read it. For a closing connection the deadline in Close replaces the linger timeout.
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

// evictExcessPersistent removes the longest idle connection from the table and returns it, if more than maxPersistent
// connections have carried a request. Otherwise it returns nil. The caller holds the lock, and closes the connection only
// after releasing it. maxPersistent protects the application, which may use a third of the descriptors for its requests:
// idle connections that the application keeps open use up that third long before the table of the sidecar is full.
func (l *clientListener) evictExcessPersistent() *clientConn {
	persistent := 0
	var longestIdle *clientConn
	now := time.Now()
	for conn := range l.conns {
		if conn.phase >= phaseIdle && !conn.bodyExpected() {
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

// remove deletes a connection from the table. Nothing more is read from it. The caller holds the lock.
func (l *clientListener) remove(conn *clientConn, reason countedEvent) {
	conn.recordClose(reason)
	delete(l.conns, conn)
	conn.releasePartialLocked()
	conn.readClosed = true
}

// beginClose marks a connection as closing. It returns whether the connection lingers, so that the client gets the last
// response, and the time at which lingering ends.
func (l *clientListener) beginClose(conn *clientConn) (until time.Time, lingers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	until = now.Add(l.lingerTimeout)
	if !l.drainDeadline.IsZero() && l.drainDeadline.Before(until) {
		until = l.drainDeadline
	}
	conn.recordClose(clientConnClosed)
	conn.markClosing(now)
	l.signalCapacity()
	clientMayRead := conn.readErr == nil || errors.Is(conn.readErr, errPipelineTooLong)
	return until, clientMayRead && now.Before(until)
}

// setPhase changes the phase of a connection. If more than maxPersistent connections have carried a request, it evicts an
// idle connection.
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
		_ = evicted.TCPConn.Close() // the connection is closed even if Close returns an error
	}
}

func (l *clientListener) signalCapacity() {
	select {
	case l.capacityFreed <- struct{}{}:
	default:
	}
}

// onConnState is the ConnState hook of the HTTP server. net/http reports a connection as active before it calls the handler.
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
		conn.releasePartialLocked()
		l.signalCapacity()
		l.mu.Unlock()
	case http.StateNew: // Accept has added it to the table
	}
}

func (l *clientListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type clientConnKey struct{}

// withClientConn is the ConnContext hook of the HTTP server. It stores the connection in the context for the handler.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// clientConnOf returns the connection of a request, or nil outside of the HTTP server.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}
