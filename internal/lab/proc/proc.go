// Package proc starts programs of the project as child processes, for the lab and for tests. It writes their output to log
// files, waits for readiness, log lines and exits with a timeout, and sends signals only to processes that it started. The kernel
// kills the children when the parent exits. The package does not restart a process that exits: that is the caller's
// decision.
package proc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"milldeck/internal/readiness"
)

const (
	// logTailBytes is the number of bytes that an error message shows from the end of a log.
	logTailBytes = 4 << 10
	// logPollInterval is how often WaitLog reads a log again.
	logPollInterval = 5 * time.Millisecond
	// readyPollInterval is the pause between two readiness checks of WaitReady.
	readyPollInterval = 10 * time.Millisecond
)

// Spec describes a process to start.
type Spec struct {
	Name string   // for error messages
	Path string   // path of the program
	Args []string // without the program's name
	Env  []string // KEY=VALUE, added to the parent's environment
	Log  string   // path of the file to which standard output and error are appended

	ExtraFiles []*os.File // files that the child inherits as descriptors 3 and up
}

// Process is a child process. Its methods are safe for concurrent use.
type Process struct {
	Name string

	command   *exec.Cmd
	logPath   string
	logOffset int64 // where this process's output begins in the file
	done      chan struct{}
	waitError error // the result of Wait; valid once done is closed
}

// spawnThreads is the number of threads that start children: a thread waits for each child until it executes its program.
const spawnThreads = 8

// spawnQueue returns the task channel of the threads that start all children. The kernel sends a child its Pdeathsig when
// the thread that started it exits, and the Go runtime may end the thread of any other goroutine at any time.
var spawnQueue = sync.OnceValue(func() chan func() {
	tasks := make(chan func())
	for range spawnThreads {
		go func() {
			runtime.LockOSThread()
			for task := range tasks {
				task()
			}
		}()
	}
	return tasks
})

// Start starts a child process. It creates the log file and its folder if they are missing.
func Start(spec Spec) (*Process, error) {
	if err := os.MkdirAll(filepath.Dir(spec.Log), 0o755); err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	log, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	defer log.Close()
	logOffset, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	command := exec.Command(spec.Path, spec.Args...)
	command.Env = append(os.Environ(), spec.Env...)
	command.Stdout, command.Stderr = log, log
	command.ExtraFiles = spec.ExtraFiles
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true, // an interrupt at the terminal reaches the parent only, which stops its children in order
	}
	started := make(chan error)
	spawnQueue() <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	process := &Process{Name: spec.Name, command: command, logPath: spec.Log, logOffset: logOffset, done: make(chan struct{})}
	go func() {
		process.waitError = command.Wait()
		close(process.done)
	}()
	return process, nil
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Wait waits until the process has exited. It returns nil for exit status 0, else the error of exec.Cmd.Wait.
func (p *Process) Wait() error {
	<-p.done
	return p.waitError
}

// Signal sends a signal. If the process has exited, Signal sends none and returns nil.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.done
	}
}

// Stop ends the process with SIGTERM, even if it is stopped by SIGSTOP. If ctx ends first, Stop kills the process and
// returns an error that wraps the error of ctx; otherwise it returns the error of Wait.
func (p *Process) Stop(ctx context.Context) error {
	p.RequestStop()
	return p.AwaitStop(ctx)
}

// RequestStop sends SIGTERM, even to a process that is stopped by SIGSTOP, and does not wait for the exit.
func (p *Process) RequestStop() {
	// If a signal cannot be sent, the process does not exit, which AwaitStop reports.
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
}

// AwaitStop waits for the exit after RequestStop. Its result is that of Stop.
func (p *Process) AwaitStop(ctx context.Context) error {
	select {
	case <-p.done:
		if p.waitError != nil {
			return fmt.Errorf("%s: %w", p.Name, p.waitError)
		}
		return nil
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s had to be killed: %w", p.Name, ctx.Err())
	}
}

// Log returns the end of what this process has logged, for error messages. If the log cannot be read, it returns the text
// of the error.
func (p *Process) Log() string {
	content, err := p.readLog()
	if err != nil {
		return err.Error()
	}
	if len(content) > logTailBytes {
		content = content[len(content)-logTailBytes:]
	}
	return string(content)
}

// readLog returns all that this process has logged so far.
func (p *Process) readLog() ([]byte, error) {
	file, err := os.Open(p.logPath)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if _, err := file.Seek(p.logOffset, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(file)
}

// WaitLog waits until the process has logged a line that contains text and returns the line. It fails when the process
// exits or ctx ends first; the error shows the end of the log.
func (p *Process) WaitLog(ctx context.Context, text string) (string, error) {
	return p.WaitLine(ctx, fmt.Sprintf("%q", text), func(line string) bool { return strings.Contains(line, text) })
}

// WaitLine waits until the process has logged a line that matches and returns the line. It fails as WaitLog does; the error
// says with the description what was not logged.
func (p *Process) WaitLine(ctx context.Context, description string, matches func(line string) bool) (string, error) {
	ticker := time.NewTicker(logPollInterval)
	defer ticker.Stop()
	for {
		ended := !p.Running() // checked before the log is read, so that its last lines are not missed
		content, err := p.readLog()
		if err != nil {
			return "", fmt.Errorf("%s: %w", p.Name, err)
		}
		for line := range strings.SplitSeq(string(content), "\n") {
			if matches(line) {
				return line, nil
			}
		}
		if ended {
			return "", fmt.Errorf("%s exited before it logged %s; end of its log:\n%s", p.Name, description, p.Log())
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("%s did not log %s: %w; end of its log:\n%s", p.Name, description, ctx.Err(), p.Log())
		case <-ticker.C:
		}
	}
}

// WaitListening waits until the process has logged that it accepts connections, and returns the address, or "" if the line
// has none. It fails as WaitLog does.
func (p *Process) WaitListening(ctx context.Context) (string, error) {
	line, err := p.WaitLog(ctx, readiness.ListeningMarker())
	if err != nil {
		return "", err
	}
	address, _ := readiness.ListenAddress(line)
	return address, nil
}

// WaitReady waits until the process answers the readiness check at an address and path with status 200. It fails when the
// process exits or ctx ends first; the error shows the end of the log.
func (p *Process) WaitReady(ctx context.Context, address, path string) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if readiness.Check(ctx, address, path) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s exited before GET %s at %s answered 200 (%s); end of its log:\n%s",
				p.Name, path, address, p.command.ProcessState, p.Log())
		case <-ctx.Done():
			return fmt.Errorf("%s did not answer GET %s at %s with 200: %w; end of its log:\n%s", p.Name, path, address, ctx.Err(), p.Log())
		case <-ticker.C:
		}
	}
}

// Path returns the path of the program.
func (p *Process) Path() string { return p.command.Path }

// LimitFileSize sets the maximum size in bytes of the files that the process writes from now on. Writes beyond this size fail,
// as on a full disk.
func (p *Process) LimitFileSize(maxBytes uint64) error {
	limit := syscall.Rlimit{Cur: maxBytes, Max: maxBytes}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.PID()), syscall.RLIMIT_FSIZE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return fmt.Errorf("%s: %w", p.Name, errno)
	}
	return nil
}
