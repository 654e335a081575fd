// Package fake is a platform in virtual time for tests and simulations: the core of the stand-in platform, with simulated
// processes. The time is given from outside; nothing runs by itself. Times are in ms.
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

// Behavior is how one process behaves.
type Behavior struct {
	ReadyAfterMS int64  // from its start until it is ready; below 0: never
	ExitAfterMS  int64  // from its start to its end by itself; 0: never
	ExitText     string // how it ends by itself: "exit status 1"
	StopAfterMS  int64  // from SIGTERM to its end; below 0: only SIGKILL ends it

	// OnReload, where set, is called with each configuration that SIGHUP makes it read. It must not call the platform.
	OnReload func(configName, configText string)
}

// Version is how the platform treats the processes of a version, and how these behave.
type Version struct {
	core.ProcessPolicy
	// Behave returns the behavior of a unit's next process; nil: it is ready at once and stops at once. It must not call
	// the platform.
	Behave func(u supervisor.Unit) Behavior
}

// Options says what a platform has.
type Options struct {
	Versions      map[core.Version]Version
	MaxUnits      int // listed at a time; 0: 65,536
	MaxRequestIDs int // remembered; 0: the core's default
	// TimeoutMS is how long a caller waits for a response; 0: as long as it takes. A response that comes in time is
	// returned at once, as nothing can wait in virtual time.
	TimeoutMS int64
}

const defaultMaxUnits = 1 << 16 // a unit takes some hundred bytes

var (
	errDisconnected = errors.New("the connection was closed")
	errTimeout      = errors.New("no response in time")
)

// Platform is the fake. It is safe for concurrent use.
type Platform struct {
	options Options

	mu         sync.Mutex // guards what follows
	core       *core.Core
	nowMS      int64
	events     eventHeap
	processes  map[uint64]*process
	liveCounts map[string]int                // processes by unit
	configs    map[string]core.RewriteConfig // the last of each unit
	lastEvent  uint64
}

var _ supervisor.Supervisor = (*Platform)(nil)

// process is a living process.
type process struct {
	unit     supervisor.Unit
	behavior Behavior
}

// New returns a platform at a time, above 0.
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

// Do makes a single attempt: without a response the outcome is unknown at once.
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

// List makes a single attempt.
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

// deliveryError returns why a response doesn't arrive, nil where it does.
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

// SetFault injects a fault from now on.
func (p *Platform) SetFault(fault core.Fault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.core.SetFault(p.nowMS, fault)
	p.drainEffects()
	return err
}

// ClearFaults ends all faults; calls that hang are executed.
func (p *Platform) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ClearFaults(p.nowMS)
	p.drainEffects()
}

// Advance lets everything happen that is due up to a time, in order. Time never runs backwards.
func (p *Platform) Advance(untilMS int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.step(untilMS) {
	}
	p.nowMS = max(p.nowMS, untilMS)
}

// step lets the next thing happen, a process's event or a timer of the core; false where none is due up to a time. Of one
// time, events go first.
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

// LiveProcesses is how many processes of a unit live, whatever the platform knows of them.
func (p *Platform) LiveProcesses(unit string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveCounts[unit]
}

// Crash ends all processes of a unit by themselves, with a text that says how.
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
	case core.DeferredResponse: // its caller has already got an unknown outcome
	}
}

// launch starts a process.
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

// signal lets a process react to a signal, unless it has ended.
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

// schedule lets something happen to a process after a time, unless it has ended by then.
func (p *Platform) schedule(delayMS int64, number uint64, run func()) {
	p.lastEvent++
	heap.Push(&p.events, event{p.nowMS + delayMS, p.lastEvent, func() {
		if p.processes[number] != nil {
			run()
		}
	}})
}

// endProcess ends a process and reports that to the core.
func (p *Platform) endProcess(number uint64, exit string) {
	unit := p.processes[number].unit.Name
	delete(p.processes, number)
	if p.liveCounts[unit]--; p.liveCounts[unit] == 0 {
		delete(p.liveCounts, unit)
	}
	p.core.ProcessExited(p.nowMS, number, exit)
}
