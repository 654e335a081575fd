package sidecar

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// phase is what a client's connection is doing.
type phase uint8

// In the order in which connections make room for others: the first on which nothing more is owed.
const (
	over    phase = iota // its last answer is written, and it closes
	silent               // has asked for nothing yet
	idle                 // between requests
	serving              // a head is read whole; never closed to make room
)

// readSoon is how long the first bytes of a request may wait for its others, on a machine that is busy. Meanwhile
// their connection makes no room, and neither do others that the application uses.
const readSoon = 50 * time.Millisecond

// maxAhead is what is kept of bytes that come behind an open request: a further one without a body.
const maxAhead = maxHead

// lingerWait is how long a connection stays after its last answer while its client has not closed it: closed over
// bytes that are unread it would be reset, and the answer may go with that. A process that ends has as long.
const lingerWait = killMargin / 2

// errAhead ends a client that sends on and on behind an open request.
var errAhead = errors.New("too much is sent behind a request that is open")

// clientConn is a connection of the application, or of who else comes. Reading from it and closing it exclude each
// other under the table's lock: what is read has its answer, and what is closed to make room has nothing read.
type clientConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	table *clientConns

	// All below is guarded by the table's lock.
	phase phase
	since time.Time // in this phase, or since its next request began
	// parked: the server has used up all it has read and waits for more. What it reads in one piece and not parked
	// yet may be a request.
	parked bool
	begun  bool   // some of its next request is read
	ahead  []byte // read behind the open request
	ended  error  // nothing more comes: the client has ended its side
	shut   bool   // this side has ended it: nothing is read any more
}

// Read is for net/http alone, which reads at one place at a time.
func (c *clientConn) Read(p []byte) (int, error) {
	var n int
	var err error
	take := func(fd uintptr) bool {
		var wait bool
		n, wait, err = c.take(int(fd), p)
		return !wait
	}
	waited := c.raw.Read(take)
	if errors.Is(waited, os.ErrDeadlineExceeded) && c.resting() {
		// A request may have come in the last moment, before this goroutine had its turn.
		c.raw.Control(func(fd uintptr) {
			if take(fd) {
				waited = nil
			}
		})
	}
	if waited != nil {
		err = waited
	}
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Net: "tcp", Err: err} // as net/http knows it
	}
	return n, err
}

// take reads what is there; wait: nothing is.
func (c *clientConn) take(fd int, p []byte) (n int, wait bool, err error) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.shut {
		return 0, false, net.ErrClosed
	}
	if c.ended != nil {
		return 0, false, c.ended
	}
	// net/http reads one byte where it only watches for the client's end, and stops at the first that it gets.
	if c.phase == serving && len(p) == 1 {
		return c.watch(fd)
	}
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		c.ahead = c.ahead[n:]
	} else if n, err = readNow(fd, p); err == syscall.EAGAIN {
		c.parked = true
		t.signal()
		return 0, true, nil
	}
	c.parked, c.ended = false, err
	if c.phase != serving && !c.begun {
		c.begun, c.since = true, time.Now()
	}
	return n, false, err
}

// watch reads behind an open request up to the client's end, of which nobody would hear else; the caller holds the
// lock.
func (c *clientConn) watch(fd int) (n int, wait bool, err error) {
	for {
		n, err := readNow(fd, c.table.scratch[:])
		if err == syscall.EAGAIN {
			return 0, true, nil
		}
		if c.ended = err; err == nil && len(c.ahead)+n > maxAhead {
			c.ended, c.ahead = errAhead, nil
		}
		if c.ended != nil {
			return 0, false, c.ended
		}
		c.ahead = append(c.ahead, c.table.scratch[:n]...)
	}
}

// readNow reads without waiting; at the end of what a client sends the error is io.EOF.
func readNow(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// Close ends the connection. Sending ends first, so that a client has its last answer whatever it has sent meanwhile;
// that is not read any more. net/http calls it where the connection's reader ends.
func (c *clientConn) Close() error {
	if until, lingers := c.table.leave(c); lingers && c.TCPConn.CloseWrite() == nil && c.SetReadDeadline(until) == nil {
		c.raw.Read(func(uintptr) bool { // up to the client's end, or until then
			err := peek(c.raw)
			return err != nil && err != syscall.EAGAIN
		})
	}
	return c.TCPConn.Close()
}

// CloseWrite is called by net/http behind a last answer, half a second before it closes.
func (c *clientConn) CloseWrite() error {
	c.table.enter(c, over)
	return c.TCPConn.CloseWrite()
}

// resting tells that no request is open.
func (c *clientConn) resting() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.phase != serving
}

// waits tells that nothing is read of a request, or half of one that has had its time; the caller holds the lock.
// Whether the socket has something is another question.
func (c *clientConn) waits(now time.Time) bool {
	return c.phase != serving && c.parked && (!c.begun || now.Sub(c.since) >= readSoon)
}

// gone tells whether the client has ended its side, and with what.
func (c *clientConn) gone() error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.ended != nil {
		return c.ended
	}
	if err := peek(c.raw); err != syscall.EAGAIN {
		return err
	}
	return nil
}

// quiet tells that a connection is open with nothing to read.
func quiet(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	return err == nil && peek(raw) == syscall.EAGAIN
}

// peek tells what the next read would, nil for bytes, and takes nothing.
func peek(raw syscall.RawConn) error {
	var err error
	// Control, not Read: that would wait for the reader that every client's connection has.
	failed := raw.Control(func(fd uintptr) {
		var one [1]byte
		var n int
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == nil && n == 0 {
			err = io.EOF
		}
	})
	return cmp.Or(failed, err)
}
