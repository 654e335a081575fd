package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// runTimeout ends a case that does not end by itself, before the 120 s that it may take.
	runTimeout = 105 * time.Second
	// stopTimeout is the time between SIGTERM and SIGKILL at the end of a case.
	stopTimeout  = 3 * time.Second
	pollInterval = 50 * time.Millisecond
	dirMode      = 0o700
	fileMode     = 0o600
)

// run is one play of a case: its processes, its temporary folder and its record.
type run struct {
	ctx     context.Context
	cancel  context.CancelFunc
	root    string // of the repository
	dir     string // temporary
	trouble bool   // whether the case's disruption happens
	started time.Time
	aimMS   int // of the class charge-card

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// process is a process that the case has started, with its output in a file.
type process struct {
	name    string
	command *exec.Cmd
	log     string
	done    chan struct{}
}

func newRun(root, recordPath string) (*run, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	r := &run{
		ctx: ctx, cancel: func() { stop(); cancel() }, root: root, dir: dir, record: record,
		trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), aimMS: defaultAimMS,
	}
	r.note("trouble: %v", r.trouble)
	return r, nil
}

// note writes a line to the record and to standard output.
func (r *run) note(format string, args ...any) { fmt.Print(r.write(format, args...)) }

// write writes a line to the record and returns it.
func (r *run) write(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line) // the result is in the exit status as well
	return line
}

// close ends all processes and removes the temporary folder.
func (r *run) close() {
	for i := len(r.processes) - 1; i >= 0; i-- {
		r.processes[i].stop()
	}
	r.cancel()
	_ = os.RemoveAll(r.dir)
}

// start starts a program of the project with a shell, in the root of the repository.
func (r *run) start(name, commandLine string, env ...string) (*process, error) {
	logPath := filepath.Join(r.dir, name+".out")
	out, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	command := exec.Command("/bin/sh", "-c", commandLine)
	command.Dir, command.Stdout, command.Stderr = r.root, out, out
	command.Env = append(os.Environ(), env...)
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, log: logPath, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // an unexpected end shows in the case
		close(p.done)
	}()
	r.processes = append(r.processes, p)
	r.note("started %s (pid %d): %s", name, command.Process.Pid, strings.ReplaceAll(commandLine, r.dir, "$DIR"))
	return p, nil
}

// signal sends a signal to a process.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// stop ends a process: SIGTERM, and SIGKILL after stopTimeout.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// lines returns the complete lines that a process has written.
func (p *process) lines() []string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	var lines []string
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines
}

// command runs a milldeck command to its end and notes its output.
func (r *run) command(args string) error {
	command := exec.CommandContext(r.ctx, "/bin/sh", "-c", "exec bin/milldeck "+args)
	command.Dir = r.root
	out, err := command.CombinedOutput()
	text := strings.TrimSpace(string(out))
	r.note("milldeck %s -> %v\n%s", strings.ReplaceAll(args, r.dir, "$DIR"), exitText(err), text)
	if err != nil {
		return fmt.Errorf("milldeck %s: %w", args, err)
	}
	return nil
}

func exitText(err error) string {
	if err == nil {
		return "exit 0"
	}
	return err.Error()
}

// sidecarCommand returns the command of the deploy file that runs a sidecar.
func (r *run) sidecarCommand() (string, error) {
	data, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", errors.New("the deploy file has no run command")
}

// writeFile writes a file of the temporary folder and returns its path.
func (r *run) writeFile(name, text string) (string, error) {
	path := filepath.Join(r.dir, name)
	return path, os.WriteFile(path, []byte(text), fileMode)
}

// wait waits until a condition holds. It fails after a time limit.
func (r *run) wait(what string, limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if condition() {
			return nil
		}
		if err := r.sleep(pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}

func (r *run) sleep(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// ready waits until the readiness check at an address answers 200.
func (r *run) ready(address string) error {
	const limit = 20 * time.Second
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return r.wait("ready check of "+address, limit, func() bool {
		response, err := client.Get("http://" + address + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// Ports below those that the system gives to outgoing connections, so that an address stays free while its process is down.
const firstPort, portCount = 20000, 12000

// freeAddresses returns loopback addresses with ports that are free now.
func freeAddresses(count int) ([]string, error) {
	const maxAttempts = 1000
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			listener.Close()
		}
	}()
	for range maxAttempts {
		if len(addresses) == count {
			return addresses, nil
		}
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return nil, errors.New("no free ports")
}

// startReplicas starts a registry of three replicas and returns their HTTP addresses once all are ready.
func (r *run) startReplicas() ([]string, error) {
	const count = 3
	addresses, err := freeAddresses(2 * count)
	if err != nil {
		return nil, err
	}
	members := ""
	for i := range count {
		members += fmt.Sprintf("[[member]]\nhttp = %q\nraft = %q\n", addresses[i], addresses[count+i])
	}
	for i := range count {
		name := fmt.Sprintf("replica%d", i+1)
		data := filepath.Join(r.dir, name)
		if err := os.MkdirAll(data, dirMode); err != nil {
			return nil, err
		}
		text := fmt.Sprintf("http = %q\nraft = %q\ndir = %q\n%s", addresses[i], addresses[count+i], data, members)
		path, err := r.writeFile(name+".toml", text)
		if err != nil {
			return nil, err
		}
		if _, err := r.start(name, "exec bin/milldeck registry serve --config "+path); err != nil {
			return nil, err
		}
	}
	for i := range count {
		if err := r.ready(addresses[i]); err != nil {
			return nil, err
		}
	}
	return addresses[:count], nil
}
