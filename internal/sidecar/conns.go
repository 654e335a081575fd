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

// lookAgain is how soon room is sought again where something was about to be read.
const lookAgain = 5 * time.Millisecond

// clientConns is the listener and the table of the connections it took. Where a plain listener with a limit
// stops accepting, so that those who connect and say nothing shut all others out, this one closes the
// connection on which nothing has happened for longest.
type clientConns struct {
	*net.TCPListener
	most   int
	keep   int           // of those on which requests came; beyond it the longest idle end
	freed  chan struct{} // a connection ended, or may now make room
	closed chan struct{}
	close  sync.Once

	lingerWait time.Duration

	mu      sync.Mutex
	end     time.Time // no connection lingers any longer; zero: no drain yet
	conns   map[*clientConn]struct{}
	scratch [4 << 10]byte // for one read
}

func newClientConns(listener net.Listener, most, keep int) *clientConns {
	return &clientConns{
		TCPListener: listener.(*net.TCPListener), most: most, keep: keep,
		freed: make(chan struct{}, 1), closed: make(chan struct{}), conns: map[*clientConn]struct{}{}, lingerWait: lingerWait,
	}
}

// Accept takes the next connection and makes room for it.
func (t *clientConns) Accept() (net.Conn, error) {
	tcp, err := t.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // acceptLast: net/http would try again
	}
	if err != nil {
		return nil, err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp, raw: raw, table: t, phase: silent}
	for !t.add(c) {
		select {
		case <-t.freed:
		case <-time.After(lookAgain):
		case <-t.closed:
			tcp.Close()
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

// Close ends accepting, also where it waits for room.
func (t *clientConns) Close() error {
	var err error
	t.close.Do(func() {
		close(t.closed)
		err = t.TCPListener.Close()
	})
	return err
}

func (t *clientConns) add(c *clientConn) bool {
	t.mu.Lock()
	var last *clientConn
	room := len(t.conns) < t.most
	if !room {
		last = t.makeRoom()
		room = last != nil
	}
	if room {
		c.since = time.Now()
		t.conns[c] = struct{}{}
	}
	t.mu.Unlock()
	if last != nil {
		last.TCPConn.Close()
	}
	return room
}

// makeRoom takes out one connection, if there is any on which no request waits. The caller holds the lock, and
// closes it without: that waits for a reader, which may wait for the lock.
func (t *clientConns) makeRoom() *clientConn {
	now := time.Now()
	for {
		var last *clientConn
		pending := false
		for c := range t.conns {
			if c.phase != over && !c.waits(now) {
				pending = pending || c.phase == silent // its first request may have come, or a part of it
				continue
			}
			if last == nil || c.phase < last.phase || c.phase == last.phase && c.since.Before(last.since) {
				last = c
			}
		}
		if last == nil || pending && last.phase == idle {
			return nil
		}
		if last.phase == over || quiet(last.TCPConn) {
			t.drop(last)
			return last
		}
		last.parked = false // what has come is about to be read
	}
}

// trim takes out the longest idle connection beyond those to keep; the caller holds the lock, and closes it
// without. The application may hold no more than a third of the descriptors for its requests. Filled with
// connections that were used once and kept, none is left for the next request, long before this end has too many.
func (t *clientConns) trim() *clientConn {
	used := 0
	var last *clientConn
	now := time.Now()
	for c := range t.conns {
		if c.phase >= idle {
			used++
		}
		if c.phase == idle && c.waits(now) && (last == nil || c.since.Before(last.since)) {
			last = c
		}
	}
	if used <= t.keep || last == nil || !quiet(last.TCPConn) {
		return nil
	}
	t.drop(last)
	return last
}

// drop takes a connection out, of which nothing is read any more; the caller holds the lock.
func (t *clientConns) drop(c *clientConn) {
	delete(t.conns, c)
	c.shut = true
}

// leave marks a connection that ends and tells how long it may linger for its client's sake.
func (t *clientConns) leave(c *clientConn) (until time.Time, lingers bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	until = now.Add(t.lingerWait)
	if !t.end.IsZero() && t.end.Before(until) {
		until = t.end
	}
	c.shut, c.phase, c.since = true, over, now
	t.signal()
	return until, (c.ended == nil || c.ended == errAhead) && now.Before(until)
}

// shutResting ends all connections on which nothing is owed, at a drain. Their readers close them. On a new one a
// request may be on its way.
func (t *clientConns) shutResting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for c := range t.conns {
		fresh := c.phase == silent && now.Sub(c.since) < readSoon
		if c.phase == over || fresh || !c.waits(now) || !quiet(c.TCPConn) {
			continue
		}
		c.shut, c.phase, c.since = true, over, now
		c.TCPConn.CloseWrite()
		c.SetReadDeadline(now) // wakes its reader
	}
}

// finish ends connections as soon as nothing is owed on them. It tells whether all have ended by then.
func (t *clientConns) finish(by time.Time) bool {
	t.mu.Lock()
	t.end = by
	t.mu.Unlock()
	for ; t.open() > 0; time.Sleep(lookAgain) {
		if time.Now().After(by) {
			return false
		}
		t.shutResting()
	}
	return true
}

// acceptLast takes what waits to be accepted and ends accepting.
func (t *clientConns) acceptLast() error { return t.SetDeadline(time.Now().Add(lookAgain)) }

// inUse tells whether there is a connection on which requests came and more may come.
func (t *clientConns) inUse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.phase >= idle {
			return true
		}
	}
	return false
}

// enter marks the phase of a connection.
func (t *clientConns) enter(c *clientConn, p phase) {
	t.mu.Lock()
	c.phase, c.since = p, time.Now()
	c.parked, c.begun = false, len(c.ahead) > 0
	if p != serving {
		t.signal()
	}
	last := t.trim()
	t.mu.Unlock()
	if last != nil {
		last.TCPConn.Close()
	}
}

func (t *clientConns) signal() {
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

// state follows what the HTTP server tells of a connection. It is active from before its handler is called.
func (t *clientConns) state(c net.Conn, state http.ConnState) {
	conn := c.(*clientConn)
	switch state {
	case http.StateActive:
		t.enter(conn, serving)
	case http.StateIdle:
		t.enter(conn, idle)
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.conns, conn)
		t.signal()
		t.mu.Unlock()
	}
}

func (t *clientConns) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

type connKey struct{}

// withConn lets a handler know its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}
