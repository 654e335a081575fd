package sockets

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// failingListener returns its errors from Accept, one for each call, and then the connections of the listener.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.Listener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// acceptError returns an error of accept(2) in the form in which package net returns it.
func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// Accept retries after every temporary error.
func TestRetryAcceptContinuesAfterTemporaryErrors(t *testing.T) {
	failing := &failingListener{Listener: listen(t)}
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
		syscall.ENETUNREACH, syscall.ETIMEDOUT,
	} {
		failing.errors = append(failing.errors, acceptError(errno))
	}
	client, err := net.Dial("tcp", failing.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := RetryAccept(failing).Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}

// Accept returns a permanent error and does not retry.
func TestRetryAcceptReturnsPermanentErrors(t *testing.T) {
	other := errors.New("something else")
	for _, permanent := range []error{
		acceptError(syscall.EBADF), acceptError(syscall.EINVAL), acceptError(syscall.ENOTSOCK), fmt.Errorf("wrapped: %w", net.ErrClosed), other,
	} {
		failing := &failingListener{Listener: listen(t), errors: []error{permanent}}
		if _, err := RetryAccept(failing).Accept(); !errors.Is(err, permanent) {
			t.Errorf("Accept returned %v, want %v", err, permanent)
		}
	}
}

// alwaysFailingListener returns a temporary error from every call of Accept.
type alwaysFailingListener struct{ net.Listener }

func (alwaysFailingListener) Accept() (net.Conn, error) { return nil, acceptError(syscall.ENFILE) }

// Close ends an Accept that is retrying.
func TestRetryAcceptEndsOnClose(t *testing.T) {
	listener := RetryAccept(alwaysFailingListener{listen(t)})
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept returned %v after Close", err)
		}
	case <-time.After(testTimeout):
		t.Error("Accept did not return after Close")
	}
}

// Retry retries only after temporary local errors.
func TestRetry(t *testing.T) {
	for _, test := range []struct {
		err  error
		want int
	}{{syscall.ENFILE, 3}, {syscall.EADDRNOTAVAIL, 3}, {syscall.EADDRINUSE, 1}, {os.ErrNotExist, 1}, {nil, 1}} {
		calls := 0
		err := Retry(func() error {
			if calls++; calls == 3 {
				return nil
			}
			return test.err
		})
		if calls != test.want || test.want == 3 && err != nil || test.want == 1 && !errors.Is(err, test.err) {
			t.Errorf("%v: %d calls, ended with %v", test.err, calls, err)
		}
	}
}
