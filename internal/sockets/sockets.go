// Package sockets says what errors of system calls on sockets and files mean, and keeps listeners alive through those that
// pass. The errors are those that accept(2), socket(2), connect(2) and open(2) document.
package sockets

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// permanentAcceptErrors are the errors of accept(2) that mean that the listener cannot be used. All others pass: the system
// lacks something for a moment, or passes on what went wrong with the connection that it was about to return.
var permanentAcceptErrors = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.ENOSYS}

// temporaryLocalErrors are errors by which this machine could not open a socket, a connection or a file for a moment. No peer is to
// blame.
var temporaryLocalErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EAGAIN, syscall.EINTR, syscall.EPERM,
}

const (
	minBackoff = time.Millisecond
	// maxBackoff is short, as clients wait whose deadlines may be short.
	maxBackoff = 20 * time.Millisecond
	// retryTimeout is for how long Retry tries again.
	retryTimeout = 5 * time.Second
	// logInterval is the least time between two log lines of a listener.
	logInterval = time.Second
)

// IsPermanentAcceptError reports whether a listener that has returned an error cannot be used any more.
func IsPermanentAcceptError(err error) bool {
	return errors.Is(err, net.ErrClosed) || !errors.As(err, new(syscall.Errno)) || matchesErrno(err, permanentAcceptErrors)
}

// IsTemporaryLocalError reports whether an error means that this machine lacked something for a moment.
func IsTemporaryLocalError(err error) bool { return matchesErrno(err, temporaryLocalErrors) }

func matchesErrno(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// Backoff is the pause between two tries of a system call: it doubles with each, up to 20 ms, with jitter. The zero value is
// ready for use.
type Backoff struct{ delayCap time.Duration }

// Next returns the next pause.
func (b *Backoff) Next() time.Duration {
	b.delayCap = min(max(2*b.delayCap, minBackoff), maxBackoff)
	return b.delayCap/2 + rand.N(b.delayCap/2)
}

// Retry calls a function until it does not fail by an error of this machine that passes, for at most 5 s.
func Retry(operation func() error) error {
	var backoff Backoff
	for deadline := time.Now().Add(retryTimeout); ; time.Sleep(backoff.Next()) {
		err := operation()
		if err == nil || !IsTemporaryLocalError(err) || time.Now().After(deadline) {
			return err
		}
	}
}

// Listen announces on a TCP address, with Retry.
func Listen(network, address string) (listener net.Listener, err error) {
	err = Retry(func() error {
		listener, err = net.Listen(network, address)
		return err
	})
	return listener, err
}

// RetryAccept returns a listener that outlives every error of accept that passes: net/http would end the server with some of them.
func RetryAccept(listener net.Listener) net.Listener {
	return &retryingListener{Listener: listener, closed: make(chan struct{})}
}

// retryingListener implements net.Listener.
type retryingListener struct {
	net.Listener
	closed    chan struct{}
	closeOnce sync.Once

	mu       sync.Mutex
	loggedAt time.Time
}

// Accept waits for a connection. It returns only errors that last.
func (l *retryingListener) Accept() (net.Conn, error) {
	var backoff Backoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil || IsPermanentAcceptError(err) {
			return conn, err
		}
		l.log(err)
		select {
		case <-time.After(backoff.Next()):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// log logs an error, at most one a second.
func (l *retryingListener) log(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
		l.loggedAt = now
		slog.Warn("accept failed, trying again", "listen", l.Addr().String(), "error", err)
	}
}

// Close closes the listener and ends a pause of Accept.
func (l *retryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
