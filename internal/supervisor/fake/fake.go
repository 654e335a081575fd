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

// Life is how one process goes.
type Life struct {
	ReadyMS int64  // from its start to its first good ready check; below 0: never
	EndsMS  int64  // from its start to its end by itself; 0: never
	Exit    string // how it ends by itself, as "exit status 1"
	StopMS  int64  // from SIGTERM to its end; below 0: only SIGKILL ends it
	// Reloaded, where set, is called with each configuration that SIGHUP has it read. It must not call the platform.
	Reloaded func(config, file string)
}

// Version is what the platform knows of a version and how its processes go.
type Version struct {
	core.Rules
	Behave func(u supervisor.Unit) Life // nil: ready and ended at once; must not call the platform
}

// Options say what there is.
type Options struct {
	Versions  map[core.Version]Version
	MostUnits int // listed; 0: 65,536
	MostIDs   int // remembered; 0: the core's default
	// TimeoutMS is how long a caller waits for an answer that comes late; 0: as long as it takes. The answer itself
	// comes without a wait, as there is nothing to wait on.
	TimeoutMS int64
}

const mostUnits = 1 << 16 // the fake's cost a unit is some hundred bytes

// Platform is the fake. It is safe for concurrent use.
type Platform struct {
	mu     sync.Mutex
	opts   Options
	core   *core.Core
	now    int64 // ms
	events events
	lives  map[uint64]*process
	alive  map[string]int
	files  map[string]core.Rewrite // the last of each unit
	set    uint64
}

var _ supervisor.Supervisor = (*Platform)(nil)

type process struct {
	unit supervisor.Unit
	life Life
}

// New makes a platform at a time in ms, above 0.
func New(opts Options, now int64) *Platform {
	rules := make(map[core.Version]core.Rules, len(opts.Versions))
	for v, of := range opts.Versions {
		rules[v] = of.Rules
	}
	if opts.MostUnits == 0 {
		opts.MostUnits = mostUnits
	}
	return &Platform{
		opts: opts, now: now, lives: map[uint64]*process{}, alive: map[string]int{}, files: map[string]core.Rewrite{},
		core: core.New(core.Options{Versions: rules, MostUnits: opts.MostUnits, MostIDs: opts.MostIDs}, now),
	}
}

// Do is a single attempt: an answer that does not come is an unknown outcome at once.
func (p *Platform) Do(ctx context.Context, reqs ...supervisor.Request) ([]supervisor.Outcome, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := supervisor.CheckCall(reqs); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.core.Do(p.now, reqs)
	p.settle()
	if err := p.lost(&a); err != nil {
		return nil, fmt.Errorf("%w: %w", supervisor.ErrUnknown, err)
	}
	return a.Outcomes, nil
}

// List is a single attempt.
func (p *Platform) List(ctx context.Context) (*supervisor.List, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.core.List(p.now)
	if err := p.lost(&a); err != nil {
		return nil, err
	}
	return a.List, nil
}

// lost says why an answer does not arrive.
func (p *Platform) lost(a *core.Answer) error {
	switch {
	case a.Failed != "":
		return fmt.Errorf("500: %s", a.Failed)
	case a.Cut:
		return errors.New("the connection was cut")
	case a.Held != 0 || p.opts.TimeoutMS > 0 && a.DelayMS > p.opts.TimeoutMS:
		return errors.New("no answer in time")
	}
	return nil
}

// SetFault has the platform fail from now on.
func (p *Platform) SetFault(f core.Fault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.core.SetFault(p.now, f)
	p.settle()
	return err
}

// ClearFaults ends all faults; calls that hang are carried out.
func (p *Platform) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Clear(p.now)
	p.settle()
}

// Advance has all happen that is due up to a time in ms, in order. Time never runs back.
func (p *Platform) Advance(to int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		at, of := to+1, -1
		if len(p.events) > 0 && p.events[0].at < at {
			at, of = p.events[0].at, 0
		}
		if due, ok := p.core.Next(); ok && due < at {
			at, of = due, 1
		}
		if of < 0 {
			break
		}
		p.now = max(p.now, at)
		if of == 0 {
			heap.Pop(&p.events).(event).run()
		} else {
			p.core.Tick(p.now)
		}
		p.settle()
	}
	p.now = max(p.now, to)
}

// Alive is how many processes of a unit live, whatever the platform knows of them.
func (p *Platform) Alive(unit string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alive[unit]
}

// Crash ends all processes of a unit by themselves.
func (p *Platform) Crash(unit, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(p.lives)) {
		if p.lives[n].unit.Name == unit {
			p.end(n, how)
		}
	}
	p.settle()
}

// settle does what the core asks for.
func (p *Platform) settle() {
	for effects := p.core.Effects(); len(effects) > 0; effects = p.core.Effects() {
		for _, e := range effects {
			p.effect(e)
		}
	}
}

func (p *Platform) effect(e core.Effect) {
	switch e := e.(type) {
	case core.Launch:
		pr := &process{unit: e.Unit}
		if behave := p.opts.Versions[core.Version{Kind: e.Unit.Kind, Name: e.Unit.Version}].Behave; behave != nil {
			pr.life = behave(e.Unit)
		}
		if e.File != "" {
			p.files[e.Unit.Name] = core.Rewrite{Unit: e.Unit.Name, Config: e.Unit.Config, File: e.File}
		}
		p.lives[e.Proc] = pr
		p.alive[e.Unit.Name]++
		if pr.life.ReadyMS >= 0 {
			p.after(pr.life.ReadyMS, e.Proc, func() { p.core.Ready(p.now, e.Proc) })
		}
		if pr.life.EndsMS > 0 {
			p.after(pr.life.EndsMS, e.Proc, func() { p.end(e.Proc, pr.life.Exit) })
		}
	case core.Signal:
		pr := p.lives[e.Proc]
		switch {
		case pr == nil:
		case e.Sig == core.Kill:
			p.after(0, e.Proc, func() { p.end(e.Proc, "signal: killed") })
		case e.Sig == core.Hup:
			if pr.life.Reloaded != nil {
				file := p.files[pr.unit.Name]
				pr.life.Reloaded(file.Config, file.File)
			}
		case pr.life.StopMS >= 0:
			p.after(pr.life.StopMS, e.Proc, func() { p.end(e.Proc, "exit status 0") })
		}
	case core.Rewrite:
		p.files[e.Unit] = e
	case core.Dropped:
		delete(p.files, e.Unit)
	case core.Answered: // who asked has long been told that the outcome is unknown
	}
}

// after has something happen to a process, unless it has ended by then.
func (p *Platform) after(ms int64, proc uint64, run func()) {
	p.set++
	heap.Push(&p.events, event{p.now + ms, p.set, func() {
		if p.lives[proc] != nil {
			run()
		}
	}})
}

func (p *Platform) end(proc uint64, how string) {
	name := p.lives[proc].unit.Name
	delete(p.lives, proc)
	if p.alive[name]--; p.alive[name] == 0 {
		delete(p.alive, name)
	}
	p.core.Ended(p.now, proc, how)
}

// event is something that happens to a process.
type event struct {
	at  int64
	n   uint64 // those of one time go in the order in which they were set
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}
