package sidecar

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// kernelTick is by how much the system may overstate how long bytes have waited: it counts in ticks. It is taken off, so that
// no request ends before its time.
const kernelTick = 10 * time.Millisecond

// maxArrivalAge is longer than any request waits to be read: the system does not mean what it tells.
const maxArrivalAge = time.Minute

// Read implements net.Conn for net/http, which reads on one goroutine at a time.
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
		// A request may have arrived at the last moment, before this goroutine was scheduled. If Control fails, the
		// deadline error stands.
		_ = c.rawConn.Control(func(fd uintptr) {
			if readReady(fd) {
				waitErr = nil
			}
		})
	}
	if waitErr != nil {
		err = waitErr
	}
	if err != nil && err != io.EOF { //nolint:errorlint // io.Reader asks for a bare io.EOF
		err = &net.OpError{Op: "read", Net: "tcp", Err: err} // the type that net/http expects
	}
	return n, err
}

// readAvailable reads without blocking; wouldBlock reports that nothing is there. net/http gets one request at a time: no
// byte beyond a head, and none beyond the body that the frontend has announced.
func (c *clientConn) readAvailable(fd int, p []byte) (n int, wouldBlock bool, err error) {
	listener := c.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if c.readClosed {
		return 0, false, net.ErrClosed
	}
	// While a request is active net/http reads a single byte, to notice that the client disconnects, and stops reading
	// when it gets one.
	if c.phase == phaseActive && len(p) == 1 && c.bodyRemaining == 0 {
		return c.fillReadAhead(fd)
	}
	if c.readErr != nil {
		return 0, false, c.readErr
	}
	if c.readAhead.size > 0 {
		data, arrivedAt := c.readAhead.first(len(p))
		n = c.deliver(p, data, arrivedAt)
		c.readAhead.discard(n)
		return n, false, nil
	}
	return c.readSocket(fd, p)
}

// readSocket reads once from the socket. What net/http must not have yet is read ahead. The caller holds the lock.
func (c *clientConn) readSocket(fd int, p []byte) (n int, wouldBlock bool, err error) {
	size, err := readNonblocking(fd, c.listener.readBuffer[:])
	if errors.Is(err, syscall.EAGAIN) {
		c.readerWaiting = true
		c.listener.signalCapacity()
		return 0, true, nil
	}
	c.readerWaiting = false
	if err != nil {
		c.setReadErr(err)
		return 0, false, err
	}
	data := c.listener.readBuffer[:size]
	arrivedAt := arrivalTime(fd)
	n = c.deliver(p, data, arrivedAt)
	if !c.readAhead.append(data[n:], arrivedAt) {
		c.setReadErr(errPipelineTooLong) // no memory is left for it
	}
	return n, false, nil
}

// deliver copies bytes to net/http, no more than it may have, and returns how many. The caller holds the lock.
func (c *clientConn) deliver(p, data []byte, arrivedAt time.Time) int {
	data = data[:min(len(data), len(p))]
	switch {
	case c.phase != phaseActive:
		length, ended := c.head.scan(data)
		data = data[:length]
		if ended {
			c.head = headScanner{}
		}
		if !c.requestStarted {
			c.requestStarted = true
			c.phaseSince = time.Now()
		}
	case c.bodyRemaining > 0:
		data = data[:min(len(data), c.bodyRemaining)]
		c.bodyRemaining -= len(data)
	}
	c.readerWaiting = false
	c.arrivedAt = arrivedAt
	return copy(p, data)
}

// fillReadAhead reads ahead behind the active request until the client disconnects, which would go unnoticed otherwise. In the
// last phase of a drain nothing more is read: a request that stays unread is sent again elsewhere. The caller holds the
// lock.
func (c *clientConn) fillReadAhead(fd int) (n int, wouldBlock bool, err error) {
	for c.readErr == nil {
		if c.listener.readAheadEnded {
			err := peekDescriptor(fd)
			if err == nil || errors.Is(err, syscall.EAGAIN) {
				return 0, true, nil
			}
			c.setReadErr(err)
			break
		}
		n, err := readNonblocking(fd, c.listener.readBuffer[:])
		if errors.Is(err, syscall.EAGAIN) {
			return 0, true, nil
		}
		if err == nil && !c.readAhead.append(c.listener.readBuffer[:n], arrivalTime(fd)) {
			err = errPipelineTooLong
			c.readAhead.clear()
		}
		c.setReadErr(err)
	}
	return 0, false, c.readErr
}

// arrivalTime is when the bytes that were just read from a socket arrived at this machine: they may have waited there, if
// the process was held up or could not accept the connection. Where the system does not tell, they have arrived now.
func arrivalTime(fd int) time.Time {
	now := time.Now()
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	waited := time.Duration(info.Last_data_recv) * time.Millisecond
	if waited > maxArrivalAge || waited <= kernelTick {
		return now
	}
	return now.Add(kernelTick - waited)
}

// readNonblocking reads once. The error is io.EOF when the client has closed its side, syscall.EAGAIN when nothing is
// there.
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

// openAndEmpty reports whether a connection is open and holds no unread bytes.
func openAndEmpty(conn net.Conn) bool {
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	return err == nil && errors.Is(peekRead(rawConn), syscall.EAGAIN)
}

// peekRead returns the error that the next read would return, nil if there are bytes. It consumes nothing.
func peekRead(rawConn syscall.RawConn) error {
	var err error
	// Control, as Read would wait for the goroutine that reads the connection.
	controlErr := rawConn.Control(func(fd uintptr) { err = peekDescriptor(int(fd)) })
	return cmp.Or(controlErr, err)
}

// peekDescriptor is peekRead for a file descriptor.
func peekDescriptor(fd int) error {
	var buffer [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case err == nil && n == 0:
			return io.EOF
		default:
			return err
		}
	}
}

// unacknowledgedBytes returns how many bytes were written to a connection that its peer's machine has not acknowledged; 0 if the
// system does not tell.
func unacknowledgedBytes(rawConn syscall.RawConn) int {
	count := 0
	controlErr := rawConn.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			count = queued
		}
	})
	if controlErr != nil {
		return 0 // closed already
	}
	return count
}
