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

// connPhase is what a client's connection is doing.
type connPhase uint8

// In the order in which connections make room for others: the first on which nothing more is owed.
const (
	phaseClosing connPhase = iota // its last answer is written, and it closes
	phaseNew                      // has asked for nothing yet
	phaseIdle                     // between requests
	phaseActive                   // a head is read whole; never closed to make room
)

// partialRequestGrace is how long the first bytes of a request may wait for its others, on a machine that is busy. Meanwhile
// their connection makes no room, and neither do others that the application uses.
const partialRequestGrace = 50 * time.Millisecond

// maxPipelined is what is kept of bytes that come behind an open request: a further one without a body.
const maxPipelined = maxRequestHeader

// lingerTimeout is how long a connection stays after its last answer while its client has not closed it: closed over
// bytes that are unread it would be reset, and the answer may go with that. A process that ends has as long.
const lingerTimeout = shutdownMargin / 2

// errPipelineTooLong ends a client that sends on and on behind an open request.
var errPipelineTooLong = errors.New("too much is sent behind a request that is open")

// clientConn is a connection of the application, or of who else comes. Reading from it and closing it exclude each
// other under the table's lock: what is read has its answer, and what is closed to make room has nothing read.
type clientConn struct {
	*net.TCPConn
	rawConn  syscall.RawConn
	listener *clientListener

	// All below is guarded by the table's lock.
	phase      connPhase
	phaseSince time.Time // in this phase, or since its next request began
	// parked: the server has used up all it has read and waits for more. What it reads in one piece and not parked
	// yet may be a request.
	readerWaiting  bool
	requestStarted bool   // some of its next request is read
	pipelined      []byte // read behind the open request
	readErr        error  // nothing more comes: the client has ended its side
	readClosed     bool   // this side has ended it: nothing is read any more
}

// Read is for net/http alone, which reads at one place at a time.
func (c *clientConn) Read(p []byte) (int, error) {
	var n int
	var err error
	readReady := func(fd uintptr) bool {
		var wouldBlock bool
		n, wouldBlock, err = c.readAvailable(int(fd), p)
		return !wouldBlock
	}
	waitErr := c.rawConn.Read(readReady)
	if errors.Is(waitErr, os.ErrDeadlineExceeded) && c.betweenRequests() {
		// A request may have come in the last moment, before this goroutine had its turn.
		c.rawConn.Control(func(fd uintptr) {
			if readReady(fd) {
				waitErr = nil
			}
		})
	}
	if waitErr != nil {
		err = waitErr
	}
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Net: "tcp", Err: err} // as net/http knows it
	}
	return n, err
}

// readAvailable reads what is there; wait: nothing is.
func (c *clientConn) readAvailable(fd int, p []byte) (n int, wouldBlock bool, err error) {
	listener := c.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if c.readClosed {
		return 0, false, net.ErrClosed
	}
	if c.readErr != nil {
		return 0, false, c.readErr
	}
	// net/http reads one byte where it only watches for the client's end, and stops at the first that it gets.
	if c.phase == phaseActive && len(p) == 1 {
		return c.readPipelined(fd)
	}
	if len(c.pipelined) > 0 {
		n = copy(p, c.pipelined)
		c.pipelined = c.pipelined[n:]
	} else if n, err = readNonblocking(fd, p); err == syscall.EAGAIN {
		c.readerWaiting = true
		listener.signalCapacity()
		return 0, true, nil
	}
	c.readerWaiting, c.readErr = false, err
	if c.phase != phaseActive && !c.requestStarted {
		c.requestStarted, c.phaseSince = true, time.Now()
	}
	return n, false, err
}

// readPipelined reads behind an open request up to the client's end, of which nobody would hear else; the caller holds the
// lock.
func (c *clientConn) readPipelined(fd int) (n int, wouldBlock bool, err error) {
	for {
		n, err := readNonblocking(fd, c.listener.readBuffer[:])
		if err == syscall.EAGAIN {
			return 0, true, nil
		}
		if c.readErr = err; err == nil && len(c.pipelined)+n > maxPipelined {
			c.readErr, c.pipelined = errPipelineTooLong, nil
		}
		if c.readErr != nil {
			return 0, false, c.readErr
		}
		c.pipelined = append(c.pipelined, c.listener.readBuffer[:n]...)
	}
}

// readNonblocking reads without waiting; at the end of what a client sends the error is io.EOF.
func readNonblocking(fd int, p []byte) (int, error) {
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
	if lingerDeadline, lingers := c.listener.beginClose(c); lingers && c.TCPConn.CloseWrite() == nil && c.SetReadDeadline(lingerDeadline) == nil {
		c.rawConn.Read(func(uintptr) bool { // up to the client's end, or until then
			err := peekRead(c.rawConn)
			return err != nil && err != syscall.EAGAIN
		})
	}
	return c.TCPConn.Close()
}

// CloseWrite is called by net/http behind a last answer, half a second before it closes.
func (c *clientConn) CloseWrite() error {
	c.listener.setPhase(c, phaseClosing)
	return c.TCPConn.CloseWrite()
}

// betweenRequests tells that no request is open.
func (c *clientConn) betweenRequests() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase != phaseActive
}

// evictable tells that nothing is read of a request, or half of one that has had its time; the caller holds the lock.
// Whether the socket has something is another question.
func (c *clientConn) evictable(now time.Time) bool {
	return c.phase != phaseActive && c.readerWaiting && (!c.requestStarted || now.Sub(c.phaseSince) >= partialRequestGrace)
}

// disconnectErr tells whether the client has ended its side, and with what.
func (c *clientConn) disconnectErr() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.readErr != nil {
		return c.readErr
	}
	if err := peekRead(c.rawConn); err != syscall.EAGAIN {
		return err
	}
	return nil
}

// openAndEmpty tells that a connection is open with nothing to read.
func openAndEmpty(conn net.Conn) bool {
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	return err == nil && peekRead(rawConn) == syscall.EAGAIN
}

// peekRead tells what the next read would, nil for bytes, and takes nothing.
func peekRead(rawConn syscall.RawConn) error {
	var err error
	// Control, not Read: that would wait for the reader that every client's connection has.
	controlErr := rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		var n int
		n, _, err = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == nil && n == 0 {
			err = io.EOF
		}
	})
	return cmp.Or(controlErr, err)
}
