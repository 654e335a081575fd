// Package shim makes chosen system calls of a child process fail, and steps its wall clock, at the boundary of the system
// calls: the program under test is the one that ships. It needs no rights. The child installs a seccomp filter with
// user notification on itself before it executes the program (Exec); the parent answers each notification (Supervise):
// it lets the call run, or has it return an error. See seccomp_unotify(2).
//
// Reading the wall clock is a system call only for a program without a vDSO, so the parent hides the vDSO from the program
// before its first instruction. The monotonic clock is never touched.
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

// notifiedCalls are the calls that the filter hands to the parent, beside those that read the wall clock.
var notifiedCalls = []Call{Accept, Socket, Connect, RecvFrom, OpenAt}

// Rule has a call fail with an error until a time.
type Rule struct {
	Call  Call
	Errno syscall.Errno
	Share float64 // of the calls, 0 to 1
	Until time.Time
}

// pollTimeoutMS bounds how long the end of the process goes unnoticed.
const pollTimeoutMS = 100

// Supervisor answers the notifications of one process. Its methods are safe for concurrent use.
type Supervisor struct {
	pid      int
	listener int

	mu         sync.Mutex
	rules      []Rule
	wallOffset time.Duration // of the wall clock
	injected   map[string]int
}

// Supervise takes over the notifications of a process that Exec has started: from is the end of the pipe to which Exec
// writes the number of its descriptor, release the one from which it reads before it goes on. It returns when the process
// is about to execute its program. Rules that are given hold from the program's first call on.
func Supervise(pid int, notify, release *os.File, rules ...Rule) (*Supervisor, error) {
	var line [16]byte
	n, err := notify.Read(line[:])
	if err != nil {
		return nil, fmt.Errorf("shim: the launcher sent no descriptor: %w", err)
	}
	number, err := strconv.Atoi(strings.TrimSpace(string(line[:n])))
	if err != nil {
		return nil, fmt.Errorf("shim: the launcher sent no descriptor: %w", err)
	}
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("shim: pidfd_open: %w", err)
	}
	defer func() { _ = unix.Close(process) }() // nothing is buffered
	listener, err := unix.PidfdGetfd(process, number, 0)
	if err != nil {
		return nil, fmt.Errorf("shim: pidfd_getfd: %w", err)
	}
	supervisor := &Supervisor{pid: pid, listener: listener, rules: rules, injected: map[string]int{}}
	go supervisor.run()
	if _, err := release.Write([]byte{'\n'}); err != nil {
		return nil, fmt.Errorf("shim: %w", err)
	}
	return supervisor, nil
}

// Add puts a rule in force.
func (s *Supervisor) Add(rule Rule) {
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

// Injected returns how many calls have failed, by call and error.
func (s *Supervisor) Injected() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.injected))
	for name, count := range s.injected {
		counts[name] = count
	}
	return counts
}

// run answers notifications until the process has ended.
func (s *Supervisor) run() {
	defer func() { _ = unix.Close(s.listener) }() // nothing is buffered
	vdsoHidden := false
	for {
		polled := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		_, err := unix.Poll(polled, pollTimeoutMS)
		switch {
		case errors.Is(err, unix.EINTR) || err == nil && polled[0].Revents == 0:
			continue
		case err != nil || polled[0].Revents&unix.POLLIN == 0:
			return
		}
		request, err := receiveNotification(s.listener)
		if errors.Is(err, unix.ENOENT) || errors.Is(err, unix.EINTR) {
			continue // the caller was killed or interrupted meanwhile
		}
		if err != nil {
			return
		}
		if !vdsoHidden {
			vdsoHidden = true
			if err := hideVDSO(s.pid); err != nil {
				fmt.Fprintln(os.Stderr, "shim: the wall clock cannot be stepped:", err)
			}
		}
		answerNotification(s.listener, s.answer(request))
	}
}

// answer decides what a call returns.
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

// errorFor returns the error with which a call is to fail, 0 for none.
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
