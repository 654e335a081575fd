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

	"milldeck/internal/arrival"
)

// Read implements net.Conn. net/http reads on one goroutine at a time.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.requests.count > unpacedRequests && c.awaitsNextRequest() {
		c.listener.processor.wait(maxRequestPause, c.listener.paceEnded)
	}
	var n int
	var err error
	readReady := func(fd uintptr) bool {
		var wouldBlock bool
		n, wouldBlock, err = c.readAvailable(int(fd), p)
		return !wouldBlock
	}
	waitErr := c.rawConn.Read(readReady)
	if errors.Is(waitErr, os.ErrDeadlineExceeded) && c.betweenRequests() && !c.wasShed() {
		// A request may have arrived just before the deadline, while this goroutine was not scheduled. If Control fails,
		// Read returns the deadline error.
		_ = c.rawConn.Control(func(fd uintptr) {
			if readReady(fd) {
				waitErr = nil
			}
		})
	}
	if waitErr != nil {
		err = waitErr
	}
	if errors.Is(err, errTooManyFields) {
		c.rejectHeaderFields()
	}
	if err != nil && err != io.EOF { //nolint:errorlint // io.Reader requires an unwrapped io.EOF
		err = &net.OpError{Op: "read", Net: "tcp", Err: err} // the type that net/http expects
	}
	return n, err
}

// awaitsNextRequest reports whether no byte of the next request has been delivered.
func (c *clientConn) awaitsNextRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase == phaseIdle && c.head == (headScanner{})
}

// readAvailable reads without blocking. wouldBlock is true if no bytes are available. net/http gets one request at a time:
// no byte beyond a request's head, and none beyond the body whose size the frontend has set with expectBody.
func (c *clientConn) readAvailable(fd int, p []byte) (n int, wouldBlock bool, err error) {
	listener := c.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if c.readClosed {
		return 0, false, net.ErrClosed
	}
	if c.shed {
		return 0, false, errRequestShed
	}
	// While a request is active, net/http reads a single byte to detect that the client disconnects. It stops reading when
	// it gets that byte.
	if c.phase == phaseActive && len(p) == 1 && c.bodyRemaining == 0 {
		return c.fillReadAhead(fd)
	}
	if c.readErr != nil {
		return 0, false, c.readErr
	}
	if c.readAhead.size > 0 {
		data, arrivedAt := c.readAhead.first(len(p))
		n, err = c.deliver(p, data, arrivedAt)
		c.readAhead.discard(n)
		return n, false, err
	}
	return c.readSocket(fd, p)
}

// readSocket reads once from the socket. Bytes that net/http must not get yet go to the read-ahead buffer. In the last phase of a
// drain they stay in the socket instead: what is read must be answered, and a client that always sends more would never be done.
// The caller holds the lock of the listener.
func (c *clientConn) readSocket(fd int, p []byte) (n int, wouldBlock bool, err error) {
	readBytes := readNonblocking
	singleRequest := c.listener.readAheadEnded
	if singleRequest {
		readBytes = peekNonblocking
	}
	size, err := readBytes(fd, c.listener.readBuffer[:])
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
	arrivedAt := arrival.Time(fd)
	n, err = c.deliver(p, data, arrivedAt)
	if err != nil {
		return 0, false, err
	}
	if singleRequest {
		_, err = readNonblocking(fd, c.listener.readBuffer[:n])
		return n, false, err
	}
	if !c.readAhead.append(data[n:], arrivedAt) {
		c.setReadErr(errPipelineTooLong) // the read-ahead memory is exhausted
	}
	return n, false, nil
}

// deliver copies bytes to net/http, up to the end of the request's head or body, and returns their number. It reserves the
// memory that net/http needs for a head; the frontend does so for a body. The caller holds the lock of the listener.
func (c *clientConn) deliver(p, data []byte, arrivedAt time.Time) (int, error) {
	data = data[:min(len(data), len(p))]
	switch {
	case c.phase != phaseActive:
		linesBefore := c.head.lines
		length, ended := c.head.scan(data)
		data = data[:length]
		if c.head.lines > maxHeaderFields {
			return 0, errTooManyFields
		}
		if !c.listener.reservePartial(c, length+headerFieldMemory*(c.head.lines-linesBefore)) {
			c.shedPartial()
			return 0, errRequestShed
		}
		if ended {
			c.head = headScanner{}
			c.requests.add(time.Now())
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
	return copy(p, data), nil
}

// fillReadAhead reads the bytes behind the active request into the read-ahead buffer, until no more are available or the
// client has disconnected. Without reading, the disconnect would go unnoticed. In the last phase of a drain, fillReadAhead
// reads nothing more, because the client sends an unread request again on another connection. The caller holds the lock of
// the listener.
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
		if err == nil && !c.readAhead.append(c.listener.readBuffer[:n], arrival.Time(fd)) {
			err = errPipelineTooLong
			c.readAhead.clear()
		}
		c.setReadErr(err)
	}
	return 0, false, c.readErr
}

// readNonblocking reads once. The error is io.EOF if the client has closed its side, and syscall.EAGAIN if no bytes are
// available.
func readNonblocking(fd int, p []byte) (int, error) {
	return retryInterrupted(func() (int, error) { return syscall.Read(fd, p) })
}

// peekNonblocking is readNonblocking, but leaves the bytes in the socket.
func peekNonblocking(fd int, p []byte) (int, error) {
	return retryInterrupted(func() (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
}

// retryInterrupted reads again after EINTR, and returns io.EOF for the end of the input.
func retryInterrupted(read func() (int, error)) (int, error) {
	for {
		n, err := read()
		switch {
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// openAndEmpty reports whether the peer has not closed a connection and its socket holds no unread bytes.
func openAndEmpty(conn net.Conn) bool { return errors.Is(peekConn(conn), syscall.EAGAIN) }

// peekConn returns the error that the next read of a connection would return, or nil if bytes are available. It consumes no
// bytes and does not block: syscall.EAGAIN means that the connection is open and empty.
func peekConn(conn net.Conn) error {
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	return peekRead(rawConn)
}

// peekRead returns the error that the next read would return, or nil if bytes are available. It consumes no bytes.
func peekRead(rawConn syscall.RawConn) error {
	var err error
	// Control is used because Read would wait for the goroutine that reads the connection.
	controlErr := rawConn.Control(func(fd uintptr) { err = peekDescriptor(int(fd)) })
	return cmp.Or(controlErr, err)
}

// peekDescriptor is peekRead for a file descriptor.
func peekDescriptor(fd int) error {
	var buffer [1]byte
	_, err := peekNonblocking(fd, buffer[:])
	return err
}

// unacknowledgedBytes returns how many written bytes the machine of the peer has not acknowledged, or 0 if the kernel does
// not report that.
func unacknowledgedBytes(rawConn syscall.RawConn) int {
	count := 0
	controlErr := rawConn.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			count = queued
		}
	})
	if controlErr != nil {
		return 0 // the connection is already closed
	}
	return count
}
