// Package fake implements a platform in virtual time for tests and simulations. It runs package core, as the stand-in
// platform does, with simulated processes. Time passes only in Advance. Times are in ms.
package fake

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// Behavior describes a simulated process.
type Behavior struct {
	ReadyAfterMS int64  // from the start to readiness; below 0: the process never becomes ready
	ExitAfterMS  int64  // from the start to an exit without a signal; 0: the process does not exit by itself
	ExitText     string // the exit text for ExitAfterMS, such as "exit status 1"
	StopAfterMS  int64  // from SIGTERM to the exit; below 0: the process ignores SIGTERM

	// OnReload, if set, is called at SIGHUP with the configuration that the process reads. It must not call the platform.
	OnReload func(configName, configText string)
}

// Version configures the platform's policy for the processes of a version, and their behavior.
type Version struct {
	core.ProcessPolicy
	// Behave returns the behavior of a unit's next process; nil: processes are ready immediately and stop immediately. It
	// must not call the platform.
	Behave func(u supervisor.Unit) Behavior
}

// Options configure a Platform.
type Options struct {
	Versions      map[core.Version]Version
	MaxUnits      int // limit of listed units; 0: 65,536
	MaxRequestIDs int // limit of remembered requests; 0: the core's default
	// TimeoutMS is the caller's timeout for a response; 0: no timeout. A response within the timeout is returned at once,
	// because a call cannot wait in virtual time.
	TimeoutMS int64
}

const defaultMaxUnits = 1 << 16 // a unit takes a few hundred bytes

var (
	errDisconnected = errors.New("the connection was closed")
	errTimeout      = errors.New("no response within the timeout")
)

// Platform is a supervisor.Supervisor in virtual time. It is safe for concurrent use.
type Platform struct {
	options Options

	mu         sync.Mutex // guards the following fields
	core       *core.Core
	nowMS      int64
	events     eventHeap
	processes  map[uint64]*process
	liveCounts map[string]int                // number of running processes by unit
	configs    map[string]core.RewriteConfig // configuration file by unit
	lastEvent  uint64
}

var _ supervisor.Supervisor = (*Platform)(nil)

// process is a running simulated process.
type process struct {
	unit     supervisor.Unit
	behavior Behavior
}

// New returns a platform whose virtual time starts at nowMS, which must be positive.
func New(options Options, nowMS int64) *Platform {
	policies := make(map[core.Version]core.ProcessPolicy, len(options.Versions))
	for id, version := range options.Versions {
		policies[id] = version.ProcessPolicy
	}
	if options.MaxUnits == 0 {
		options.MaxUnits = defaultMaxUnits
	}
	coreOptions := core.Options{Versions: policies, MaxUnits: options.MaxUnits, MaxRequestIDs: options.MaxRequestIDs}
	return &Platform{
		options:    options,
		core:       core.New(coreOptions, nowMS),
		nowMS:      nowMS,
		processes:  map[uint64]*process{},
		liveCounts: map[string]int{},
		configs:    map[string]core.RewriteConfig{},
	}
}

// Do implements supervisor.Supervisor. It makes a single attempt, so a lost response is an unknown outcome at once.
func (p *Platform) Do(ctx context.Context, requests ...supervisor.Request) ([]supervisor.Outcome, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := supervisor.ValidateBatch(requests); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	response := p.core.Do(p.nowMS, requests)
	p.drainEffects()
	if err := p.deliveryError(&response); err != nil {
		return nil, fmt.Errorf("%w: %w", supervisor.ErrOutcomeUnknown, err)
	}
	return response.Outcomes, nil
}

// List implements supervisor.Supervisor. It makes a single attempt.
func (p *Platform) List(ctx context.Context) (*supervisor.List, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	response := p.core.List(p.nowMS)
	if err := p.deliveryError(&response); err != nil {
		return nil, err
	}
	return response.List, nil
}

// deliveryError returns the error if a response does not reach the caller, otherwise nil.
func (p *Platform) deliveryError(response *core.Response) error {
	switch {
	case response.Failure != "":
		return fmt.Errorf("500: %s", response.Failure)
	case response.Disconnect:
		return errDisconnected
	case response.DeferredTicket != 0 || p.options.TimeoutMS > 0 && response.DelayMS > p.options.TimeoutMS:
		return errTimeout
	}
	return nil
}

// SetFault injects a fault.
func (p *Platform) SetFault(fault core.Fault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.core.SetFault(p.nowMS, fault)
	p.drainEffects()
	return err
}

// ClearFaults ends all faults, and executes the calls that FaultHang has deferred.
func (p *Platform) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ClearFaults(p.nowMS)
	p.drainEffects()
}

// Advance sets the virtual time to untilMS, and runs all events and timers up to then in order. It never sets the time back.
func (p *Platform) Advance(untilMS int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.step(untilMS) {
	}
	p.nowMS = max(p.nowMS, untilMS)
}

// step runs the next process event or timer of the core that is due by untilMS; false if there is none. Events run before
// timers of the same time.
func (p *Platform) step(untilMS int64) bool {
	timerMS, timerSet := p.core.NextTimer()
	eventSet := len(p.events) > 0
	switch {
	case eventSet && p.events[0].atMS <= untilMS && (!timerSet || p.events[0].atMS <= timerMS):
		p.nowMS = max(p.nowMS, p.events[0].atMS)
		heap.Pop(&p.events).(event).run()
	case timerSet && timerMS <= untilMS:
		p.nowMS = max(p.nowMS, timerMS)
		p.core.Tick(p.nowMS)
	default:
		return false
	}
	p.drainEffects()
	return true
}

// LiveProcesses returns the number of running processes of a unit, including those that the platform does not know.
func (p *Platform) LiveProcesses(unit string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveCounts[unit]
}

// Crash makes all processes of a unit exit without a stop request, with an exit text.
func (p *Platform) Crash(unit, exit string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, number := range slices.Sorted(maps.Keys(p.processes)) {
		if p.processes[number].unit.Name == unit {
			p.endProcess(number, exit)
		}
	}
	p.drainEffects()
}

// drainEffects executes the core's effects until there are none.
func (p *Platform) drainEffects() {
	for effects := p.core.Effects(); len(effects) > 0; effects = p.core.Effects() {
		for _, e := range effects {
			p.execute(e)
		}
	}
}

func (p *Platform) execute(e core.Effect) {
	switch e := e.(type) {
	case core.Launch:
		p.launch(e)
	case core.Signal:
		p.signal(e)
	case core.RewriteConfig:
		p.configs[e.Unit] = e
	case core.UnitRemoved:
		delete(p.configs, e.Unit)
	case core.DeferredResponse: // the caller has already received an unknown outcome
	}
}

// launch starts a simulated process.
func (p *Platform) launch(e core.Launch) {
	started := &process{unit: e.Unit}
	version := p.options.Versions[core.Version{Kind: e.Unit.Kind, Name: e.Unit.Version}]
	if version.Behave != nil {
		started.behavior = version.Behave(e.Unit)
	}
	if e.ConfigText != "" {
		p.configs[e.Unit.Name] = core.RewriteConfig{Unit: e.Unit.Name, ConfigName: e.Unit.ConfigName, ConfigText: e.ConfigText}
	}
	p.processes[e.Process] = started
	p.liveCounts[e.Unit.Name]++
	behavior := &started.behavior
	if behavior.ReadyAfterMS >= 0 {
		p.schedule(behavior.ReadyAfterMS, e.Process, func() { p.core.ProcessReady(p.nowMS, e.Process) })
	}
	if behavior.ExitAfterMS > 0 {
		p.schedule(behavior.ExitAfterMS, e.Process, func() { p.endProcess(e.Process, behavior.ExitText) })
	}
}

// signal delivers a signal to a process, unless the process has exited.
func (p *Platform) signal(e core.Signal) {
	signaled := p.processes[e.Process]
	if signaled == nil {
		return
	}
	switch e.Kind {
	case core.Kill:
		p.schedule(0, e.Process, func() { p.endProcess(e.Process, "signal: killed") })
	case core.Hangup:
		if signaled.behavior.OnReload != nil {
			config := p.configs[signaled.unit.Name]
			signaled.behavior.OnReload(config.ConfigName, config.ConfigText)
		}
	case core.Terminate:
		if signaled.behavior.StopAfterMS >= 0 {
			p.schedule(signaled.behavior.StopAfterMS, e.Process, func() { p.endProcess(e.Process, "exit status 0") })
		}
	}
}

// schedule adds an event of a process after a delay. The event does not run if the process has exited by then.
func (p *Platform) schedule(delayMS int64, number uint64, run func()) {
	p.lastEvent++
	heap.Push(&p.events, event{p.nowMS + delayMS, p.lastEvent, func() {
		if p.processes[number] != nil {
			run()
		}
	}})
}

// endProcess removes a process and reports its exit to the core.
func (p *Platform) endProcess(number uint64, exit string) {
	unit := p.processes[number].unit.Name
	delete(p.processes, number)
	if p.liveCounts[unit]--; p.liveCounts[unit] == 0 {
		delete(p.liveCounts, unit)
	}
	p.core.ProcessExited(p.nowMS, number, exit)
}
