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
	probeFirst = 5 * time.Millisecond // between ready checks; a sidecar is ready some 20 ms after its start
	probeMost  = 250 * time.Millisecond
	probeWait  = time.Second // for one check
	endGrace   = 3 * time.Second
	trimEvery  = time.Second
	maxOutput  = 1 << 20 // bytes of a unit's log; above, it is emptied
	maxExit    = 200     // bytes of the last line that a process has logged, as told with its end
)

// platform drives the core with real processes.
type platform struct {
	versions *Versions
	dir      string
	base     time.Time // of the clock
	probes   *http.Client

	mu     sync.Mutex
	core   *core.Core
	procs  map[uint64]*proc.Process
	logs   map[string]bool // units that have written or may write
	waits  map[uint64]chan core.Answer
	closed bool // nothing is started any more

	wake   chan struct{} // something is due at another time
	ctx    context.Context
	around sync.WaitGroup
}

func newPlatform(ctx context.Context, v *Versions, dir string) *platform {
	p := &platform{
		versions: v, dir: dir, base: time.Now(), ctx: ctx, wake: make(chan struct{}, 1),
		procs: map[uint64]*proc.Process{}, logs: map[string]bool{}, waits: map[uint64]chan core.Answer{},
		probes: &http.Client{Timeout: probeWait, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	p.core = core.New(v.options(), p.now())
	p.around.Go(p.keepTime)
	return p
}

// now is ms since 1970 at the platform's start and runs evenly from there.
func (p *platform) now() int64 {
	return p.base.UnixMilli() + time.Since(p.base).Milliseconds()
}

// with has the core do something and does what it asks for.
func (p *platform) with(do func(now int64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(p.now())
	for effects := p.core.Effects(); len(effects) > 0; effects = p.core.Effects() {
		for _, e := range effects {
			p.effect(e)
		}
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// keepTime ticks the core when something is due, and keeps logs short.
func (p *platform) keepTime() {
	trim := time.NewTicker(trimEvery)
	defer trim.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-trim.C:
			p.trim()
		case <-p.wake:
		case <-due.C:
			p.with(p.core.Tick)
		}
		p.mu.Lock()
		at, ok := p.core.Next()
		wait := time.Duration(at-p.now()) * time.Millisecond
		p.mu.Unlock()
		if ok {
			due.Reset(max(wait, 0))
		} else {
			due.Stop()
		}
	}
}

// trim empties logs that have grown too long; what is written goes on at the file's new end.
func (p *platform) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.logs {
		info, err := os.Stat(p.log(name))
		if err == nil && info.Size() > maxOutput {
			slog.Warn("output dropped", "unit", name, "bytes", info.Size())
			err = os.Truncate(p.log(name), 0)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			slog.Warn("output not kept short", "unit", name, "error", err)
		}
	}
}

func (p *platform) log(unit string) string    { return filepath.Join(p.dir, unit+".log") }
func (p *platform) config(unit string) string { return filepath.Join(p.dir, unit+".json") }

// effect does one thing that the core asks for, under the lock.
func (p *platform) effect(e core.Effect) {
	switch e := e.(type) {
	case core.Launch:
		if err := p.launch(&e); err != nil {
			p.core.Ended(p.now(), e.Proc, oneLine(err.Error()))
		}
	case core.Signal:
		if pr := p.procs[e.Proc]; pr != nil {
			sig := [...]syscall.Signal{core.Term: syscall.SIGTERM, core.Kill: syscall.SIGKILL, core.Hup: syscall.SIGHUP}[e.Sig]
			if err := pr.Signal(sig); err != nil {
				slog.Error("signal not sent", "unit", pr.Name, "signal", sig, "error", err)
			}
		}
	case core.Rewrite:
		if err := p.write(e.Unit, e.File); err != nil {
			slog.Error("configuration not written", "unit", e.Unit, "error", err)
		}
	case core.Dropped:
		delete(p.logs, e.Unit)
		for _, path := range []string{p.log(e.Unit), p.config(e.Unit)} {
			if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				slog.Warn("file of a unit that is gone stays", "error", err)
			}
		}
	case core.Answered:
		if to := p.waits[e.Ticket]; to != nil {
			to <- e.Answer // it has room for the one answer
			delete(p.waits, e.Ticket)
		}
	}
}

// launch starts a process, and what watches it.
func (p *platform) launch(l *core.Launch) error {
	u := &l.Unit
	v := p.versions.find(u.Kind, u.Version)
	if p.closed || v == nil {
		return errors.New("not started: the platform ends")
	}
	if l.File != "" {
		if err := p.write(u.Name, l.File); err != nil {
			return err
		}
	}
	argv, env, configured := v.command(u, p.config(u.Name))
	if configured {
		if _, err := os.Stat(p.config(u.Name)); err != nil {
			return errors.New("not started: it has no configuration file")
		}
	}
	pr, err := proc.Start(proc.Spec{Name: u.Name, Path: argv[0], Args: argv[1:], Env: env, Log: p.log(u.Name)})
	if err != nil {
		return fmt.Errorf("not started: %w", err)
	}
	slog.Info("started", "unit", u.Name, "version", u.Version, "incarnation", u.Incarnation, "pid", pr.PID())
	p.procs[l.Proc] = pr
	p.logs[u.Name] = true
	p.around.Go(func() { p.mind(l.Proc, pr) })
	if v.Ready == "" {
		p.core.Ready(p.now(), l.Proc)
	} else {
		p.around.Go(func() { p.probe(l.Proc, pr, "http://"+u.Listen+v.Ready) })
	}
	return nil
}

// write replaces a configuration file whole.
func (p *platform) write(unit, text string) error {
	path := p.config(unit)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// mind notes the end of a process.
func (p *platform) mind(n uint64, pr *proc.Process) {
	<-pr.Done()
	how := "exit status 0"
	if err := pr.Exit(); err != nil {
		how = oneLine(err.Error())
		var exit *exec.ExitError
		if errors.As(err, &exit) && exit.Exited() { // its last line tells why, that of one that was killed does not
			how = oneLine(how + " " + lastLine(pr.Log()))
		}
	}
	slog.Info("ended", "unit", pr.Name, "pid", pr.PID(), "how", how)
	p.with(func(now int64) {
		delete(p.procs, n)
		p.core.Ended(now, n, how)
	})
}

// probe asks a process whether it is ready until it is or has ended.
func (p *platform) probe(n uint64, pr *proc.Process, url string) {
	for wait := probeFirst; ; wait = min(wait*3/2, probeMost) {
		select {
		case <-pr.Done():
			return
		case <-p.ctx.Done():
			return
		case <-time.After(wait):
		}
		resp, err := p.probes.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK && pr.Running() {
			p.with(func(now int64) { p.core.Ready(now, n) })
			return
		}
	}
}

// close ends all that was started, known or forgotten, and waits for it. The platform's context has ended before.
func (p *platform) close() {
	p.mu.Lock()
	p.closed = true
	var all []*proc.Process
	for _, pr := range p.procs {
		all = append(all, pr)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), endGrace)
	defer cancel()
	for _, pr := range all {
		p.around.Go(func() {
			if err := pr.Stop(ctx); err != nil {
				slog.Debug("ended with the platform", "error", err)
			}
		})
	}
	p.around.Wait()
	p.probes.CloseIdleConnections()
}

func lastLine(log string) string {
	log = strings.TrimSpace(log)
	return log[strings.LastIndexByte(log, '\n')+1:]
}

// oneLine keeps a text short and on one line.
func oneLine(s string) string {
	s = strings.Join(strings.Fields(s), " ")
	return cmp.Or(s[:min(len(s), maxExit)], "no reason told")
}
