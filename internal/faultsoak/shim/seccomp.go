package shim

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets of fields in struct seccomp_data.
const (
	offsetNumber = 0
	offsetArch   = 4
	offsetArg0   = 16
)

// notification is struct seccomp_notif.
type notification struct {
	id    uint64
	pid   uint32
	flags uint32
	data  struct {
		number             int32
		arch               uint32
		instructionPointer uint64
		args               [6]uint64
	}
}

// notificationResponse is struct seccomp_notif_resp.
type notificationResponse struct {
	id    uint64
	value int64
	errno int32 // negative error number; 0: the call returns value
	flags uint32
}

// Exec installs the filter on the calling process, writes the number of the notification descriptor to descriptor notify, waits
// for a byte from descriptor release, and then executes a program in place of the process. Exec returns only if it fails.
func Exec(path string, args, env []string, notify, release int) error {
	runtime.LockOSThread() // the filter applies only to the thread that installs it, which has to execute the program
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("shim: set no_new_privs: %w", err)
	}
	filter := newFilter()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	listener, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER,
		unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("shim: install the seccomp filter: %w", errno)
	}
	if _, err := unix.Write(notify, fmt.Appendf(nil, "%d\n", listener)); err != nil {
		return fmt.Errorf("shim: send the notification descriptor: %w", err)
	}
	var released [1]byte
	if _, err := unix.Read(release, released[:]); err != nil {
		return fmt.Errorf("shim: wait for the release: %w", err)
	}
	unix.CloseOnExec(notify)
	unix.CloseOnExec(release)
	return syscall.Exec(path, append([]string{path}, args...), env)
}

// newFilter returns the BPF program that notifies the parent of notifiedCalls and of readings of the wall clock.
func newFilter() []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	skipUnlessEqual := func(value uint32, skip uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: value, Jf: skip}
	}
	verdict := func(value uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: value}
	}
	filter := []unix.SockFilter{
		load(offsetArch),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: auditArch, Jt: 1},
		verdict(unix.SECCOMP_RET_ALLOW),
		load(offsetNumber),
	}
	for _, call := range notifiedCalls {
		filter = append(filter, skipUnlessEqual(uint32(call), 1), verdict(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(filter,
		skipUnlessEqual(unix.SYS_CLOCK_GETTIME, 3),
		load(offsetArg0),
		skipUnlessEqual(unix.CLOCK_REALTIME, 1),
		verdict(unix.SECCOMP_RET_USER_NOTIF),
		verdict(unix.SECCOMP_RET_ALLOW),
	)
}

func receiveNotification(listener int) (*notification, error) {
	request := &notification{}
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(request)))
	if errno != 0 {
		return nil, errno
	}
	return request, nil
}

// answerNotification sends a response. It repeats an interrupted call and ignores other errors, which mean that the calling process was killed
// in the meantime.
func answerNotification(listener int, response notificationResponse) {
	for {
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(listener), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&response)))
		if errno != unix.EINTR { // a signal came before the response was sent
			return
		}
	}
}

// File descriptors of the pipes in the process that runs Exec: the first two of exec.Cmd.ExtraFiles.
const (
	NotifyDescriptor  = 3
	ReleaseDescriptor = 4
)

// Pipes are the two pipes between the parent and Exec.
type Pipes struct {
	Notify, Release           *os.File // the parent's ends
	ChildNotify, ChildRelease *os.File // for exec.Cmd.ExtraFiles, in this order
}

// NewPipes creates the pipes.
func NewPipes() (*Pipes, error) {
	notify, childNotify, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("shim: create the notify pipe: %w", err)
	}
	childRelease, release, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("shim: create the release pipe: %w", err)
	}
	return &Pipes{Notify: notify, Release: release, ChildNotify: childNotify, ChildRelease: childRelease}, nil
}

// Close closes all ends that are still open.
func (p *Pipes) Close() {
	for _, file := range []*os.File{p.Notify, p.Release, p.ChildNotify, p.ChildRelease} {
		file.Close()
	}
}
