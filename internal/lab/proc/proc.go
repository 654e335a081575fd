// Package proc starts programs of the project as child processes, on behalf of the lab and of tests: it keeps
// their logs, waits for events with a bound and ends only what it started. Children die with their parent.
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
)

const (
	// logTailBytes of a log are shown when something went wrong.
	logTailBytes = 4 << 10
	// logPollInterval is how often a log is read again by WaitLog; nothing announces that a file has grown.
	logPollInterval = 5 * time.Millisecond
)

// Spec says what to start.
type Spec struct {
	Name string // in errors
	Path string
	Args []string
	Env  []string // beside the parent's
	Log  string   // file for standard output and error; appended to
}

// Process is a child.
type Process struct {
	Name string

	command   *exec.Cmd
	logPath   string
	logOffset int64 // where this process's log begins in the file
	done      chan struct{}
	waitError error // of Wait; valid once done is closed
}

// spawnThread starts all children from one thread: the kernel ends a child when the thread that started it ends,
// which of a goroutine's thread may be at any time.
var spawnThread = sync.OnceValue(func() chan func() {
	tasks := make(chan func())
	go func() {
		runtime.LockOSThread()
		for task := range tasks {
			task()
		}
	}()
	return tasks
})

// Start starts a child.
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
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true, // a Ctrl-C at the terminal is the parent's to pass on, in its order
	}
	started := make(chan error)
	spawnThread() <- func() { started <- command.Start() }
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running tells whether it has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Wait says how it ended, once it has: nil is status 0.
func (p *Process) Wait() error {
	<-p.done
	return p.waitError
}

// Signal sends a signal; to one that has ended it sends none.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends it at once and waits for its end.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.done
	}
}

// Stop asks it to end with SIGTERM and kills it when ctx ends first; the error says so or how it failed.
func (p *Process) Stop(ctx context.Context) error {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
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

// Log is the end of what this process has logged.
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

// WaitLog waits until the process has logged a line with the text and returns the line. It fails, with the
// log's end, when the process ends or ctx does first.
func (p *Process) WaitLog(ctx context.Context, text string) (string, error) {
	ticker := time.NewTicker(logPollInterval)
	defer ticker.Stop()
	for {
		ended := !p.Running() // before the log is read, so that its last lines are
		content, err := p.readLog()
		if err != nil {
			return "", fmt.Errorf("%s: %w", p.Name, err)
		}
		for line := range strings.SplitSeq(string(content), "\n") {
			if strings.Contains(line, text) {
				return line, nil
			}
		}
		if ended {
			return "", fmt.Errorf("%s ended before it logged %q; its log ends:\n%s", p.Name, text, p.Log())
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("%s did not log %q: %w; its log ends:\n%s", p.Name, text, ctx.Err(), p.Log())
		case <-ticker.C:
		}
	}
}

// Path is the program that it runs.
func (p *Process) Path() string { return p.command.Path }

// LimitFileSize bounds the size in bytes of files that it may write from now on, as on a disk that is full.
func (p *Process) LimitFileSize(maxBytes uint64) error {
	limit := syscall.Rlimit{Cur: maxBytes, Max: maxBytes}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.PID()), syscall.RLIMIT_FSIZE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return fmt.Errorf("%s: %w", p.Name, errno)
	}
	return nil
}
