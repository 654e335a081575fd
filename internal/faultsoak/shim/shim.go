// Package shim makes chosen system calls of a child process fail and steps its wall clock. It works at the system call
// interface, so that the program under test is the one that ships, and it needs no privileges. The child installs a seccomp
// filter with user notification on itself before it executes the program (Exec). The parent responds to each notification
// (Supervise): it lets the call run or makes it return an error. See seccomp_unotify(2).
//
// Only a program without a vDSO reads the wall clock by a system call. The parent therefore hides the vDSO from the program
// before the program's first instruction. The shim does not change the monotonic clock.
package shim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Call is a system call that can be made to fail.
type Call int

// The calls that a rule can name, by their numbers on this architecture.
const (
	Accept   Call = unix.SYS_ACCEPT4
	Socket   Call = unix.SYS_SOCKET
	Connect  Call = unix.SYS_CONNECT
	RecvFrom Call = unix.SYS_RECVFROM
	OpenAt   Call = unix.SYS_OPENAT
)

// notifiedCalls are the calls for which the filter notifies the parent, besides readings of the wall clock.
var notifiedCalls = []Call{Accept, Socket, Connect, RecvFrom, OpenAt}

// Rule makes the given share of the calls of one system call return an error until the given time.
type Rule struct {
	Call  Call
	Errno syscall.Errno
	Share float64 // share of the calls that fail, 0 to 1
	Until time.Time
}

// pollTimeoutMS bounds the time until the supervisor detects that the process has exited.
const pollTimeoutMS = 100

// Supervisor responds to the notifications of one process. Its methods are safe for concurrent use.
type Supervisor struct {
	pid      int
	listener int

	mu         sync.Mutex
	rules      []Rule
	wallOffset time.Duration // of the wall clock
	injected   map[string]int
}

// Supervise takes over the notifications of a process that runs Exec. Exec writes the number of the notification descriptor to
// the other end of notify, and waits for a byte from the other end of release. Supervise returns when the process is about to
// execute its program. The rules apply from the program's first call on.
func Supervise(pid int, notify, release *os.File, rules ...Rule) (*Supervisor, error) {
	var line [16]byte
	n, err := notify.Read(line[:])
	if err != nil {
		return nil, fmt.Errorf("shim: read the notification descriptor from the child: %w", err)
	}
	number, err := strconv.Atoi(strings.TrimSpace(string(line[:n])))
	if err != nil {
		return nil, fmt.Errorf("shim: parse the notification descriptor from the child: %w", err)
	}
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("shim: pidfd_open: %w", err)
	}
	defer func() { _ = unix.Close(process) }() // an error loses no data
	listener, err := unix.PidfdGetfd(process, number, 0)
	if err != nil {
		return nil, fmt.Errorf("shim: pidfd_getfd: %w", err)
	}
	supervisor := &Supervisor{pid: pid, listener: listener, rules: rules, injected: map[string]int{}}
	go supervisor.run()
	if _, err := release.Write([]byte{'\n'}); err != nil {
		return nil, fmt.Errorf("shim: release the child: %w", err)
	}
	return supervisor, nil
}

// AddRule adds a rule, which applies at once.
func (s *Supervisor) AddRule(rule Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = append(s.rules, rule)
}

// StepClock steps the wall clock of the process.
func (s *Supervisor) StepClock(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallOffset += step
}

// InjectedFailures returns the number of calls that the supervisor has made fail, by call and error.
func (s *Supervisor) InjectedFailures() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.injected))
	for name, count := range s.injected {
		counts[name] = count
	}
	return counts
}

// run responds to notifications until the process has exited.
func (s *Supervisor) run() {
	defer func() { _ = unix.Close(s.listener) }() // an error loses no data
	vdsoHidden := false
	for {
		polled := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		_, err := unix.Poll(polled, pollTimeoutMS)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return
		case polled[0].Revents&unix.POLLIN != 0:
		case polled[0].Revents&(unix.POLLHUP|unix.POLLNVAL) != 0:
			return
		default: // the timeout, or POLLERR: a signal has interrupted the poll
			continue
		}
		request, err := receiveNotification(s.listener)
		if errors.Is(err, unix.ENOENT) || errors.Is(err, unix.EINTR) {
			continue // the calling process was killed or interrupted in the meantime
		}
		if err != nil {
			return
		}
		if !vdsoHidden {
			vdsoHidden = true
			if err := hideVDSO(s.pid); err != nil {
				fmt.Fprintln(os.Stderr, "shim: hide the vDSO (steps of the wall clock have no effect):", err)
			}
		}
		answerNotification(s.listener, s.answer(request))
	}
}

// answer returns the response to a notification. If it cannot write a wall clock reading to the process, the call runs as usual.
func (s *Supervisor) answer(request *notification) notificationResponse {
	response := notificationResponse{id: request.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if request.data.number == unix.SYS_CLOCK_GETTIME {
		s.mu.Lock()
		now := time.Now().Add(s.wallOffset)
		s.mu.Unlock()
		if err := writeTimespec(int(request.pid), uintptr(request.data.args[1]), now); err == nil {
			response.flags = 0
		}
		return response
	}
	if errno := s.errorFor(Call(request.data.number)); errno != 0 {
		response.flags = 0
		response.errno = -int32(errno)
	}
	return response
}

// errorFor returns the error with which a call has to fail, or 0 to let the call run.
func (s *Supervisor) errorFor(call Call) syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, rule := range s.rules {
		if rule.Call == call && now.Before(rule.Until) && rand.Float64() < rule.Share {
			s.injected[callNames[call]+" "+unix.ErrnoName(rule.Errno)]++
			return rule.Errno
		}
	}
	return 0
}

var callNames = map[Call]string{
	Accept: "accept4", Socket: "socket", Connect: "connect", RecvFrom: "recvfrom", OpenAt: "openat",
}

// String returns the name of the call.
func (c Call) String() string { return callNames[c] }
