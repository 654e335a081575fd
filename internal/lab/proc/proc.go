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
	// tailBytes of a log are shown when something went wrong.
	tailBytes = 4 << 10
	// pollEvery is how often a log is read again by WaitLog; nothing announces that a file has grown.
	pollEvery = 5 * time.Millisecond
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

	cmd  *exec.Cmd
	log  string
	from int64 // where this process's log begins in the file
	done chan struct{}
	err  error // of Wait; valid once done is closed
}

// spawner starts all children from one thread: the kernel ends a child when the thread that started it ends,
// which of a goroutine's thread may be at any time.
var spawner = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range work {
			do()
		}
	}()
	return work
})

// Start starts a child.
func Start(s Spec) (*Process, error) {
	if err := os.MkdirAll(filepath.Dir(s.Log), 0o755); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	log, err := os.OpenFile(s.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	defer log.Close()
	from, err := log.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	cmd := exec.Command(s.Path, s.Args...)
	cmd.Env = append(os.Environ(), s.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true, // a Ctrl-C at the terminal is the parent's to pass on, in its order
	}
	started := make(chan error)
	spawner() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	p := &Process{Name: s.Name, cmd: cmd, log: s.Log, from: from, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
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
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exit says how it ended, once it has: nil is status 0.
func (p *Process) Exit() error {
	<-p.done
	return p.err
}

// Signal sends a signal; to one that has ended it sends none.
func (p *Process) Signal(sig syscall.Signal) error {
	err := p.cmd.Process.Signal(sig)
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
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.Name, p.err)
		}
		return nil
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s had to be killed: %w", p.Name, ctx.Err())
	}
}

// Log is the end of what this process has logged.
func (p *Process) Log() string {
	data, err := p.read()
	if err != nil {
		return err.Error()
	}
	if len(data) > tailBytes {
		data = data[len(data)-tailBytes:]
	}
	return string(data)
}

func (p *Process) read() ([]byte, error) {
	f, err := os.Open(p.log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, err := f.Seek(p.from, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(f)
}

// WaitLog waits until the process has logged a line with the text and returns the line. It fails, with the
// log's end, when the process ends or ctx does first.
func (p *Process) WaitLog(ctx context.Context, text string) (string, error) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		ended := !p.Running() // before the log is read, so that its last lines are
		data, err := p.read()
		if err != nil {
			return "", fmt.Errorf("%s: %w", p.Name, err)
		}
		for line := range strings.SplitSeq(string(data), "\n") {
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
		case <-tick.C:
		}
	}
}

// Path is the program that it runs.
func (p *Process) Path() string { return p.cmd.Path }

// LimitFiles bounds the size in bytes of files that it may write from now on, as on a disk that is full.
func (p *Process) LimitFiles(most uint64) error {
	limit := syscall.Rlimit{Cur: most, Max: most}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.PID()), syscall.RLIMIT_FSIZE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return fmt.Errorf("%s: %w", p.Name, errno)
	}
	return nil
}
