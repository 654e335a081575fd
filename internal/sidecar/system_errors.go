package sidecar

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// lastingAcceptErrors are the errors of accept(2) that mean that the listener cannot be used. All others pass: the system
// lacks something for a moment, or passes on what went wrong with the connection that it was about to return.
var lastingAcceptErrors = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK, syscall.ENOSYS}

// localErrors are errors by which this machine could not open a socket, a connection or a file for a moment; see socket(2),
// connect(2) and open(2). No peer is to blame.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EAGAIN, syscall.EINTR, syscall.EPERM,
}

const (
	minRetryPause = time.Millisecond
	// maxRetryPause is short, as clients wait whose deadlines may be short.
	maxRetryPause = 20 * time.Millisecond
	// startRetryTime is for how long the start, or a reload, tries again.
	startRetryTime = 5 * time.Second
)

// isErrno reports whether an error is one of the errors of system calls.
func isErrno(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// acceptErrorLasts reports whether accepting has failed for good.
func acceptErrorLasts(err error) bool {
	return errors.Is(err, net.ErrClosed) || !errors.As(err, new(syscall.Errno)) || isErrno(err, lastingAcceptErrors)
}

// isLocalError reports whether this machine lacked something for a moment.
func isLocalError(err error) bool { return isErrno(err, localErrors) }

// retryPause is the pause between tries of a system call: it doubles with each, with jitter.
type retryPause struct{ longest time.Duration }

// next returns the next pause.
func (p *retryPause) next() time.Duration {
	p.longest = min(max(2*p.longest, minRetryPause), maxRetryPause)
	return p.longest/2 + rand.N(p.longest/2)
}

// retryLocalErrors calls a function until it does not fail by an error of this machine that passes, for at most
// startRetryTime.
func retryLocalErrors(call func() error) error {
	var pause retryPause
	for deadline := time.Now().Add(startRetryTime); ; time.Sleep(pause.next()) {
		err := call()
		if err == nil || !isLocalError(err) || time.Now().After(deadline) {
			return err
		}
	}
}

// listen opens a listener.
func listen(address string) (listener net.Listener, err error) {
	err = retryLocalErrors(func() error {
		listener, err = net.Listen("tcp", address)
		return err
	})
	return listener, err
}

// readFile reads a file.
func readFile(path string) (data []byte, err error) {
	err = retryLocalErrors(func() error {
		data, err = os.ReadFile(path)
		return err
	})
	return data, err
}
