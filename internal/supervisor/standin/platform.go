package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/supervisor/core"
)

const (
	minHealthCheckInterval = 5 * time.Millisecond // between ready checks; a sidecar is ready some 20 ms after its start
	maxHealthCheckInterval = 250 * time.Millisecond
	healthCheckTimeout     = time.Second // for one check
	processStopTimeout     = 3 * time.Second
	logTrimInterval        = time.Second
	maxLogBytes            = 1 << 20 // bytes of a unit's log; above, it is emptied
	maxExitTextBytes       = 200     // bytes of the last line that a process has logged, as told with its end
)

// platform drives the core with real processes.
type platform struct {
	versions     *Versions
	dir          string
	startTime    time.Time // of the clock
	healthClient *http.Client

	mu          sync.Mutex
	core        *core.Core
	processes   map[uint64]*proc.Process
	loggedUnits map[string]bool // units that have written or may write
	heldCalls   map[uint64]chan core.Response
	closed      bool // nothing is started any more

	wake       chan struct{} // something is due at another time
	ctx        context.Context
	background sync.WaitGroup
}

func newPlatform(ctx context.Context, versions *Versions, dir string) *platform {
	p := &platform{
		versions: versions, dir: dir, startTime: time.Now(), ctx: ctx, wake: make(chan struct{}, 1),
		processes: map[uint64]*proc.Process{}, loggedUnits: map[string]bool{}, heldCalls: map[uint64]chan core.Response{},
		healthClient: &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	p.core = core.New(versions.coreOptions(), p.now())
	p.background.Go(p.runTimers)
	return p
}

// now is ms since 1970 at the platform's start and runs evenly from there.
func (p *platform) now() int64 {
	return p.startTime.UnixMilli() + time.Since(p.startTime).Milliseconds()
}

// update has the core do something and does what it asks for.
func (p *platform) update(mutate func(now int64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mutate(p.now())
	for effects := p.core.Effects(); len(effects) > 0; effects = p.core.Effects() {
		for _, e := range effects {
			p.execute(e)
		}
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runTimers ticks the core when something is due, and keeps logs short.
func (p *platform) runTimers() {
	trim := time.NewTicker(logTrimInterval)
	defer trim.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-trim.C:
			p.trimLogs()
		case <-p.wake:
		case <-due.C:
			p.update(p.core.Tick)
		}
		p.mu.Lock()
		dueMS, ok := p.core.NextTimer()
		wait := time.Duration(dueMS-p.now()) * time.Millisecond
		p.mu.Unlock()
		if ok {
			due.Reset(max(wait, 0))
		} else {
			due.Stop()
		}
	}
}

// trimLogs empties logs that have grown too long; what is written goes on at the file's new end.
func (p *platform) trimLogs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.loggedUnits {
		info, err := os.Stat(p.logPath(name))
		if err == nil && info.Size() > maxLogBytes {
			slog.Warn("output dropped", "unit", name, "bytes", info.Size())
			err = os.Truncate(p.logPath(name), 0)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			slog.Warn("output not kept short", "unit", name, "error", err)
		}
	}
}

func (p *platform) logPath(unit string) string    { return filepath.Join(p.dir, unit+".log") }
func (p *platform) configPath(unit string) string { return filepath.Join(p.dir, unit+".json") }

// execute does one thing that the core asks for, under the lock.
func (p *platform) execute(e core.Effect) {
	switch e := e.(type) {
	case core.Launch:
		if err := p.startProcess(&e); err != nil {
			p.core.ProcessExited(p.now(), e.Process, oneLine(err.Error()))
		}
	case core.Signal:
		if process := p.processes[e.Process]; process != nil {
			signal := [...]syscall.Signal{core.Terminate: syscall.SIGTERM, core.Kill: syscall.SIGKILL, core.Hangup: syscall.SIGHUP}[e.Kind]
			if err := process.Signal(signal); err != nil {
				slog.Error("signal not sent", "unit", process.Name, "signal", signal, "error", err)
			}
		}
	case core.RewriteConfig:
		if err := p.writeConfig(e.Unit, e.ConfigText); err != nil {
			slog.Error("configuration not written", "unit", e.Unit, "error", err)
		}
	case core.UnitRemoved:
		delete(p.loggedUnits, e.Unit)
		for _, path := range []string{p.logPath(e.Unit), p.configPath(e.Unit)} {
			if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				slog.Warn("file of a unit that is gone stays", "error", err)
			}
		}
	case core.HeldResponse:
		if waiter := p.heldCalls[e.Ticket]; waiter != nil {
			waiter <- e.Response // it has room for the one answer
			delete(p.heldCalls, e.Ticket)
		}
	}
}

// startProcess starts a process, and what watches it.
func (p *platform) startProcess(launch *core.Launch) error {
	u := &launch.Unit
	version := p.versions.find(u.Kind, u.Version)
	if p.closed || version == nil {
		return errors.New("not started: the platform ends")
	}
	if launch.ConfigText != "" {
		if err := p.writeConfig(u.Name, launch.ConfigText); err != nil {
			return err
		}
	}
	argv, env, configured := version.command(u, p.configPath(u.Name))
	if configured {
		if _, err := os.Stat(p.configPath(u.Name)); err != nil {
			return errors.New("not started: it has no configuration file")
		}
	}
	process, err := proc.Start(proc.Spec{Name: u.Name, Path: argv[0], Args: argv[1:], Env: env, Log: p.logPath(u.Name)})
	if err != nil {
		return fmt.Errorf("not started: %w", err)
	}
	slog.Info("started", "unit", u.Name, "version", u.Version, "incarnation", u.Incarnation, "pid", process.PID())
	p.processes[launch.Process] = process
	p.loggedUnits[u.Name] = true
	p.background.Go(func() { p.awaitExit(launch.Process, process) })
	if version.ReadyPath == "" {
		p.core.ProcessReady(p.now(), launch.Process)
	} else {
		p.background.Go(func() { p.awaitReady(launch.Process, process, "http://"+u.Listen+version.ReadyPath) })
	}
	return nil
}

// writeConfig replaces a configuration file whole.
func (p *platform) writeConfig(unit, text string) error {
	path := p.configPath(unit)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// awaitExit notes the end of a process.
func (p *platform) awaitExit(number uint64, process *proc.Process) {
	<-process.Done()
	exit := "exit status 0"
	if err := process.Exit(); err != nil {
		exit = oneLine(err.Error())
		var exitError *exec.ExitError
		if errors.As(err, &exitError) && exitError.Exited() { // its last line tells why, that of one that was killed does not
			exit = oneLine(exit + " " + lastLine(process.Log()))
		}
	}
	slog.Info("ended", "unit", process.Name, "pid", process.PID(), "how", exit)
	p.update(func(now int64) {
		delete(p.processes, number)
		p.core.ProcessExited(now, number, exit)
	})
}

// awaitReady asks a process whether it is ready until it is or has ended.
func (p *platform) awaitReady(number uint64, process *proc.Process, url string) {
	for wait := minHealthCheckInterval; ; wait = min(wait*3/2, maxHealthCheckInterval) {
		select {
		case <-process.Done():
			return
		case <-p.ctx.Done():
			return
		case <-time.After(wait):
		}
		resp, err := p.healthClient.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK && process.Running() {
			p.update(func(now int64) { p.core.ProcessReady(now, number) })
			return
		}
	}
}

// close ends all that was started, known or forgotten, and waits for it. The platform's context has ended before.
func (p *platform) close() {
	p.mu.Lock()
	p.closed = true
	var processes []*proc.Process
	for _, process := range p.processes {
		processes = append(processes, process)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), processStopTimeout)
	defer cancel()
	for _, process := range processes {
		p.background.Go(func() {
			if err := process.Stop(ctx); err != nil {
				slog.Debug("ended with the platform", "error", err)
			}
		})
	}
	p.background.Wait()
	p.healthClient.CloseIdleConnections()
}

func lastLine(log string) string {
	log = strings.TrimSpace(log)
	return log[strings.LastIndexByte(log, '\n')+1:]
}

// oneLine keeps a text short and on one line.
func oneLine(s string) string {
	s = strings.Join(strings.Fields(s), " ")
	return cmp.Or(s[:min(len(s), maxExitTextBytes)], "no reason told")
}
