// Package sockets classifies errors of system calls on sockets and files, and retries calls that fail temporarily. The
// errors are those that accept(2), socket(2), connect(2) and open(2) document.
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

// permanentAcceptErrors are the errors of accept(2) after which a listener cannot be used. All other errors are temporary:
// the system lacks a resource, or reports an error of the connection that accept was about to return.
var permanentAcceptErrors = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.ENOSYS}

// temporaryLocalErrors mean that this machine temporarily cannot open a socket, a connection or a file. No peer causes
// these errors.
var temporaryLocalErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EAGAIN, syscall.EINTR, syscall.EPERM,
}

const (
	minBackoff = time.Millisecond
	// maxBackoff is short, as the waiting clients may have short deadlines.
	maxBackoff = 20 * time.Millisecond
	// retryTimeout is the time after which Retry gives up.
	retryTimeout = 5 * time.Second
	// logInterval is the minimum time between two log lines of a listener.
	logInterval = time.Second
)

// IsPermanentAcceptError reports whether a listener cannot be used after an error of Accept.
func IsPermanentAcceptError(err error) bool {
	return errors.Is(err, net.ErrClosed) || !errors.As(err, new(syscall.Errno)) || matchesErrno(err, permanentAcceptErrors)
}

// IsTemporaryLocalError reports whether an error means that this machine temporarily lacks a resource.
func IsTemporaryLocalError(err error) bool { return matchesErrno(err, temporaryLocalErrors) }

func matchesErrno(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// Backoff is an exponential backoff with jitter between calls of a failing system call, at most 20 ms. The zero value is
// ready for use.
type Backoff struct{ delayCap time.Duration }

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	b.delayCap = min(max(2*b.delayCap, minBackoff), maxBackoff)
	return b.delayCap/2 + rand.N(b.delayCap/2)
}

// Retry calls an operation, and retries it for at most 5 s while it fails with temporary local errors.
func Retry(operation func() error) error {
	var backoff Backoff
	for deadline := time.Now().Add(retryTimeout); ; time.Sleep(backoff.Next()) {
		err := operation()
		if err == nil || !IsTemporaryLocalError(err) || time.Now().After(deadline) {
			return err
		}
	}
}

// Listen opens a listener on a TCP address, with Retry.
func Listen(network, address string) (listener net.Listener, err error) {
	err = Retry(func() error {
		listener, err = net.Listen(network, address)
		return err
	})
	return listener, err
}

// RetryAccept returns a listener whose Accept retries after temporary errors. Without the retries, net/http stops its server
// after some temporary errors.
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

// Accept waits for a connection. It returns only permanent errors.
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

// log logs an error, at most once a second.
func (l *retryingListener) log(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
		l.loggedAt = now
		slog.Warn("accept failed, trying again", "listen", l.Addr().String(), "error", err)
	}
}

// Close closes the listener and ends a waiting Accept.
func (l *retryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
