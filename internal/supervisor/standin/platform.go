package standin

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/supervisor/core"
)

// platform drives the core with real processes. Its log lines have no component attribute, because the lab and tests parse
// them.
type platform struct {
	versions     *Versions
	dir          string // of logs and configuration files
	startTime    time.Time
	healthClient *http.Client

	mu            sync.Mutex // guards the following fields
	core          *core.Core
	processes     map[uint64]*proc.Process      // by the core's process number
	loggedUnits   map[string]bool               // units that may have a log file
	deferredCalls map[uint64]chan core.Response // by ticket
	closed        bool                          // no further process may be started

	wake       chan struct{} // notifies runTimers that the core's next timer may have changed
	ctx        context.Context
	background sync.WaitGroup
}

// newPlatform returns a platform. Its goroutines end when ctx ends, and close waits for them.
func newPlatform(ctx context.Context, versions *Versions, dir string) *platform {
	p := &platform{
		versions:      versions,
		dir:           dir,
		startTime:     time.Now(),
		healthClient:  &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		processes:     map[uint64]*proc.Process{},
		loggedUnits:   map[string]bool{},
		deferredCalls: map[uint64]chan core.Response{},
		wake:          make(chan struct{}, 1),
		ctx:           ctx,
	}
	p.core = core.New(versions.coreOptions(), p.now())
	p.background.Go(p.runTimers)
	return p
}

// now returns the Unix time in ms at the platform's start, plus the monotonic time since then.
func (p *platform) now() int64 {
	return p.startTime.UnixMilli() + time.Since(p.startTime).Milliseconds()
}

// update changes the core with mutate, and executes the resulting effects.
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
	default: // a notification is already pending
	}
}

// runTimers calls the core's Tick when a timer is due, and trims the logs, until the platform's context ends.
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
		if wait, ok := p.nextTimer(); ok {
			due.Reset(wait)
		} else {
			due.Stop()
		}
	}
}

// nextTimer returns the time until the core's next timer; false if no timer is set.
func (p *platform) nextTimer() (wait time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dueMS, ok := p.core.NextTimer()
	return max(time.Duration(dueMS-p.now())*time.Millisecond, 0), ok
}

// execute executes an effect. The caller holds mu.
func (p *platform) execute(e core.Effect) {
	switch e := e.(type) {
	case core.Launch:
		if err := p.startProcess(&e); err != nil {
			p.core.ProcessExited(p.now(), e.Process, oneLine(err.Error()))
		}
	case core.Signal:
		p.signal(e)
	case core.RewriteConfig:
		if err := p.writeConfig(e.Unit, e.ConfigText); err != nil {
			slog.Error("configuration write failed", "unit", e.Unit, "error", err)
		}
	case core.UnitRemoved:
		delete(p.loggedUnits, e.Unit)
		p.removeFiles(e.Unit)
	case core.DeferredResponse:
		if waiter := p.deferredCalls[e.Ticket]; waiter != nil {
			waiter <- e.Response // does not block: the channel has a buffer for the one response
			delete(p.deferredCalls, e.Ticket)
		}
	}
}

// signal sends a signal to a process, unless the process has exited.
func (p *platform) signal(e core.Signal) {
	process := p.processes[e.Process]
	if process == nil {
		return
	}
	signals := [...]syscall.Signal{core.Terminate: syscall.SIGTERM, core.Kill: syscall.SIGKILL, core.Hangup: syscall.SIGHUP}
	if err := process.Signal(signals[e.Kind]); err != nil {
		slog.Error("signal failed", "unit", process.Name, "signal", signals[e.Kind], "error", err)
	}
}
