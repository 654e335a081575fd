// Package fake is a platform in virtual time for tests and simulations: the core of the stand-in platform, with
// processes that are numbers. Time is given from outside; nothing runs by itself.
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

// Behavior is how one process goes.
type Behavior struct {
	ReadyAfterMS int64  // from its start to its first good ready check; below 0: never
	ExitAfterMS  int64  // from its start to its end by itself; 0: never
	ExitText     string // how it ends by itself, as "exit status 1"
	StopAfterMS  int64  // from SIGTERM to its end; below 0: only SIGKILL ends it
	// Reloaded, where set, is called with each configuration that SIGHUP has it read. It must not call the platform.
	OnReload func(config, file string)
}

// Version is what the platform knows of a version and how its processes go.
type Version struct {
	core.ProcessPolicy
	Behave func(u supervisor.Unit) Behavior // nil: ready and ended at once; must not call the platform
}

// Options say what there is.
type Options struct {
	Versions      map[core.Version]Version
	MaxUnits      int // listed; 0: 65,536
	MaxRequestIDs int // remembered; 0: the core's default
	// TimeoutMS is how long a caller waits for an answer that comes late; 0: as long as it takes. The answer itself
	// comes without a wait, as there is nothing to wait on.
	TimeoutMS int64
}

const defaultMaxUnits = 1 << 16 // the fake's cost a unit is some hundred bytes

// Platform is the fake. It is safe for concurrent use.
type Platform struct {
	mu         sync.Mutex
	options    Options
	core       *core.Core
	nowMS      int64 // ms
	events     eventHeap
	processes  map[uint64]*process
	liveCounts map[string]int
	configs    map[string]core.RewriteConfig // the last of each unit
	lastEvent  uint64
}

var _ supervisor.Supervisor = (*Platform)(nil)

type process struct {
	unit     supervisor.Unit
	behavior Behavior
}

// New makes a platform at a time in ms, above 0.
func New(options Options, nowMS int64) *Platform {
	policies := make(map[core.Version]core.ProcessPolicy, len(options.Versions))
	for id, version := range options.Versions {
		policies[id] = version.ProcessPolicy
	}
	if options.MaxUnits == 0 {
		options.MaxUnits = defaultMaxUnits
	}
	return &Platform{
		options: options, nowMS: nowMS, processes: map[uint64]*process{}, liveCounts: map[string]int{}, configs: map[string]core.RewriteConfig{},
		core: core.New(core.Options{Versions: policies, MaxUnits: options.MaxUnits, MaxRequestIDs: options.MaxRequestIDs}, nowMS),
	}
}

// Do is a single attempt: an answer that does not come is an unknown outcome at once.
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

// List is a single attempt.
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

// deliveryError says why an answer does not arrive.
func (p *Platform) deliveryError(response *core.Response) error {
	switch {
	case response.Failure != "":
		return fmt.Errorf("500: %s", response.Failure)
	case response.Disconnect:
		return errors.New("the connection was cut")
	case response.HeldTicket != 0 || p.options.TimeoutMS > 0 && response.DelayMS > p.options.TimeoutMS:
		return errors.New("no answer in time")
	}
	return nil
}

// SetFault has the platform fail from now on.
func (p *Platform) SetFault(fault core.Fault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.core.SetFault(p.nowMS, fault)
	p.drainEffects()
	return err
}

// ClearFaults ends all faults; calls that hang are carried out.
func (p *Platform) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.ClearFaults(p.nowMS)
	p.drainEffects()
}

// Advance has all happen that is due up to a time in ms, in order. Time never runs back.
func (p *Platform) Advance(untilMS int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		at, of := untilMS+1, -1
		if len(p.events) > 0 && p.events[0].atMS < at {
			at, of = p.events[0].atMS, 0
		}
		if due, ok := p.core.NextTimer(); ok && due < at {
			at, of = due, 1
		}
		if of < 0 {
			break
		}
		p.nowMS = max(p.nowMS, at)
		if of == 0 {
			heap.Pop(&p.events).(event).run()
		} else {
			p.core.Tick(p.nowMS)
		}
		p.drainEffects()
	}
	p.nowMS = max(p.nowMS, untilMS)
}

// LiveProcesses is how many processes of a unit live, whatever the platform knows of them.
func (p *Platform) LiveProcesses(unit string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveCounts[unit]
}

// Crash ends all processes of a unit by themselves.
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

// drainEffects does what the core asks for.
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
		process := &process{unit: e.Unit}
		if behave := p.options.Versions[core.Version{Kind: e.Unit.Kind, Name: e.Unit.Version}].Behave; behave != nil {
			process.behavior = behave(e.Unit)
		}
		if e.ConfigText != "" {
			p.configs[e.Unit.Name] = core.RewriteConfig{Unit: e.Unit.Name, ConfigName: e.Unit.ConfigName, ConfigText: e.ConfigText}
		}
		p.processes[e.Process] = process
		p.liveCounts[e.Unit.Name]++
		if process.behavior.ReadyAfterMS >= 0 {
			p.schedule(process.behavior.ReadyAfterMS, e.Process, func() { p.core.ProcessReady(p.nowMS, e.Process) })
		}
		if process.behavior.ExitAfterMS > 0 {
			p.schedule(process.behavior.ExitAfterMS, e.Process, func() { p.endProcess(e.Process, process.behavior.ExitText) })
		}
	case core.Signal:
		process := p.processes[e.Process]
		switch {
		case process == nil:
		case e.Kind == core.Kill:
			p.schedule(0, e.Process, func() { p.endProcess(e.Process, "signal: killed") })
		case e.Kind == core.Hangup:
			if process.behavior.OnReload != nil {
				config := p.configs[process.unit.Name]
				process.behavior.OnReload(config.ConfigName, config.ConfigText)
			}
		case process.behavior.StopAfterMS >= 0:
			p.schedule(process.behavior.StopAfterMS, e.Process, func() { p.endProcess(e.Process, "exit status 0") })
		}
	case core.RewriteConfig:
		p.configs[e.Unit] = e
	case core.UnitRemoved:
		delete(p.configs, e.Unit)
	case core.HeldResponse: // who asked has long been told that the outcome is unknown
	}
}

// schedule has something happen to a process, unless it has ended by then.
func (p *Platform) schedule(delayMS int64, number uint64, run func()) {
	p.lastEvent++
	heap.Push(&p.events, event{p.nowMS + delayMS, p.lastEvent, func() {
		if p.processes[number] != nil {
			run()
		}
	}})
}

func (p *Platform) endProcess(number uint64, exit string) {
	name := p.processes[number].unit.Name
	delete(p.processes, number)
	if p.liveCounts[name]--; p.liveCounts[name] == 0 {
		delete(p.liveCounts, name)
	}
	p.core.ProcessExited(p.nowMS, number, exit)
}

// event is something that happens to a process.
type event struct {
	atMS     int64
	sequence uint64 // those of one time go in the order in which they were set
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].atMS < e[j].atMS || e[i].atMS == e[j].atMS && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	removed := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return removed
}
