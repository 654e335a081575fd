package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// capacityPollInterval is how soon room is sought again where something was about to be read.
const capacityPollInterval = 5 * time.Millisecond

// clientListener is the listener and the table of the connections it took. Where a plain listener with a limit
// stops accepting, so that those who connect and say nothing shut all others out, this one closes the
// connection on which nothing has happened for longest.
type clientListener struct {
	*net.TCPListener
	maxConns      int
	maxPersistent int           // of those on which requests came; beyond it the longest idle end
	capacityFreed chan struct{} // a connection ended, or may now make room
	closed        chan struct{}
	closeOnce     sync.Once

	lingerTimeout time.Duration

	mu            sync.Mutex
	drainDeadline time.Time // no connection lingers any longer; zero: no drain yet
	conns         map[*clientConn]struct{}
	readBuffer    [4 << 10]byte // for one read
}

func newClientListener(listener net.Listener, maxConns, maxPersistent int) *clientListener {
	return &clientListener{
		TCPListener: listener.(*net.TCPListener), maxConns: maxConns, maxPersistent: maxPersistent,
		capacityFreed: make(chan struct{}, 1), closed: make(chan struct{}), conns: map[*clientConn]struct{}{}, lingerTimeout: lingerTimeout,
	}
}

// Accept takes the next connection and makes room for it.
func (t *clientListener) Accept() (net.Conn, error) {
	tcpConn, err := t.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // stopAccepting: net/http would try again
	}
	if err != nil {
		return nil, err
	}
	rawConn, err := tcpConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{TCPConn: tcpConn, rawConn: rawConn, listener: t, phase: phaseNew}
	for !t.register(conn) {
		select {
		case <-t.capacityFreed:
		case <-time.After(capacityPollInterval):
		case <-t.closed:
			tcpConn.Close()
			return nil, net.ErrClosed
		}
	}
	return conn, nil
}

// Close ends accepting, also where it waits for room.
func (t *clientListener) Close() error {
	var err error
	t.closeOnce.Do(func() {
		close(t.closed)
		err = t.TCPListener.Close()
	})
	return err
}

func (t *clientListener) register(conn *clientConn) bool {
	t.mu.Lock()
	var evicted *clientConn
	admitted := len(t.conns) < t.maxConns
	if !admitted {
		evicted = t.evictOne()
		admitted = evicted != nil
	}
	if admitted {
		conn.phaseSince = time.Now()
		t.conns[conn] = struct{}{}
	}
	t.mu.Unlock()
	if evicted != nil {
		evicted.TCPConn.Close()
	}
	return admitted
}

// evictOne takes out one connection, if there is any on which no request waits. The caller holds the lock, and
// closes it without: that waits for a reader, which may wait for the lock.
func (t *clientListener) evictOne() *clientConn {
	now := time.Now()
	for {
		var candidate *clientConn
		requestExpected := false
		for conn := range t.conns {
			if conn.phase != phaseClosing && !conn.evictable(now) {
				requestExpected = requestExpected || conn.phase == phaseNew // its first request may have come, or a part of it
				continue
			}
			if candidate == nil || conn.phase < candidate.phase || conn.phase == candidate.phase && conn.phaseSince.Before(candidate.phaseSince) {
				candidate = conn
			}
		}
		if candidate == nil || requestExpected && candidate.phase == phaseIdle {
			return nil
		}
		if candidate.phase == phaseClosing || openAndEmpty(candidate.TCPConn) {
			t.remove(candidate)
			return candidate
		}
		candidate.readerWaiting = false // what has come is about to be read
	}
}

// evictExcessPersistent takes out the longest idle connection beyond those to keep; the caller holds the lock, and closes it
// without. The application may hold no more than a third of the descriptors for its requests. Filled with
// connections that were used once and kept, none is left for the next request, long before this end has too many.
func (t *clientListener) evictExcessPersistent() *clientConn {
	persistent := 0
	var longestIdle *clientConn
	now := time.Now()
	for conn := range t.conns {
		if conn.phase >= phaseIdle {
			persistent++
		}
		if conn.phase == phaseIdle && conn.evictable(now) && (longestIdle == nil || conn.phaseSince.Before(longestIdle.phaseSince)) {
			longestIdle = conn
		}
	}
	if persistent <= t.maxPersistent || longestIdle == nil || !openAndEmpty(longestIdle.TCPConn) {
		return nil
	}
	t.remove(longestIdle)
	return longestIdle
}

// remove takes a connection out, of which nothing is read any more; the caller holds the lock.
func (t *clientListener) remove(conn *clientConn) {
	delete(t.conns, conn)
	conn.readClosed = true
}

// beginClose marks a connection that ends and tells how long it may linger for its client's sake.
func (t *clientListener) beginClose(conn *clientConn) (until time.Time, lingers bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	until = now.Add(t.lingerTimeout)
	if !t.drainDeadline.IsZero() && t.drainDeadline.Before(until) {
		until = t.drainDeadline
	}
	conn.readClosed, conn.phase, conn.phaseSince = true, phaseClosing, now
	t.signalCapacity()
	return until, (conn.readErr == nil || conn.readErr == errPipelineTooLong) && now.Before(until)
}

// shutdownIdle ends all connections on which nothing is owed, at a drain. Their readers close them. On a new one a
// request may be on its way.
func (t *clientListener) shutdownIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for conn := range t.conns {
		requestExpected := conn.phase == phaseNew && now.Sub(conn.phaseSince) < partialRequestGrace
		if conn.phase == phaseClosing || requestExpected || !conn.evictable(now) || !openAndEmpty(conn.TCPConn) {
			continue
		}
		conn.readClosed, conn.phase, conn.phaseSince = true, phaseClosing, now
		conn.TCPConn.CloseWrite()
		conn.SetReadDeadline(now) // wakes its reader
	}
}

// drain ends connections as soon as nothing is owed on them. It tells whether all have ended by then.
func (t *clientListener) drain(deadline time.Time) bool {
	t.mu.Lock()
	t.drainDeadline = deadline
	t.mu.Unlock()
	for ; t.openCount() > 0; time.Sleep(capacityPollInterval) {
		if time.Now().After(deadline) {
			return false
		}
		t.shutdownIdle()
	}
	return true
}

// stopAccepting takes what waits to be accepted and ends accepting.
func (t *clientListener) stopAccepting() error {
	return t.SetDeadline(time.Now().Add(capacityPollInterval))
}

// anyPersistent tells whether there is a connection on which requests came and more may come.
func (t *clientListener) anyPersistent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		if conn.phase >= phaseIdle {
			return true
		}
	}
	return false
}

// setPhase marks the phase of a connection.
func (t *clientListener) setPhase(conn *clientConn, newPhase connPhase) {
	t.mu.Lock()
	conn.phase, conn.phaseSince = newPhase, time.Now()
	conn.readerWaiting, conn.requestStarted = false, len(conn.pipelined) > 0
	if newPhase != phaseActive {
		t.signalCapacity()
	}
	evicted := t.evictExcessPersistent()
	t.mu.Unlock()
	if evicted != nil {
		evicted.TCPConn.Close()
	}
}

func (t *clientListener) signalCapacity() {
	select {
	case t.capacityFreed <- struct{}{}:
	default:
	}
}

// onConnState follows what the HTTP server tells of a connection. It is active from before its handler is called.
func (t *clientListener) onConnState(netConn net.Conn, onConnState http.ConnState) {
	conn := netConn.(*clientConn)
	switch onConnState {
	case http.StateActive:
		t.setPhase(conn, phaseActive)
	case http.StateIdle:
		t.setPhase(conn, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.conns, conn)
		t.signalCapacity()
		t.mu.Unlock()
	}
}

func (t *clientListener) openCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

type clientConnKey struct{}

// withClientConn lets a handler know its connection.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}
