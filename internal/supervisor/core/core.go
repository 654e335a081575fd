// Package core is a platform that starts and stops processes, apart from clocks, sockets and processes: calls and
// what becomes of processes go in with a time, answers and effects come out. The stand-in platform drives it with
// real processes, the fake with virtual ones. It is not safe for concurrent use.
package core

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"fmt"
	"slices"

	"milldeck/internal/supervisor"
)

type request = supervisor.Request

// Bounds where Options name none.
const (
	defaultUnits = 4096    // listed at a time: twice the servers of the largest fleet that is tried out
	defaultIDs   = 1 << 16 // remembered: a day of a fleet's releases
	defaultHeld  = 64      // calls that hang at a time, with their requests
	restartFirst = 200     // ms from a process's own end to its next start, doubled with each restart
	restartMost  = 10_000  // ms; the most that it is doubled to
	defaultGrace = 10_000  // ms from SIGTERM to SIGKILL
)

// Version names a program.
type Version struct {
	Kind supervisor.Kind
	Name string
}

// Rules are what the platform knows of a version.
type Rules struct {
	GraceMS  int64 // from SIGTERM to SIGKILL where a request names none; 0: 10 s
	Restarts int   // how often the platform itself starts it again, of one incarnation, when it has ended by itself
}

// Options say what there is; bounds that are 0 have their defaults.
type Options struct {
	Versions  map[Version]Rules
	MostUnits int
	MostIDs   int
	MostHeld  int
}

// Answer is what a call is answered.
type Answer struct {
	Outcomes []supervisor.Outcome // of do
	List     *supervisor.List     // of list
	Failed   string               // answered 500 with this line: the outcome is unknown
	Cut      bool                 // the connection is cut instead
	DelayMS  int64                // before the answer is sent
	Held     uint64               // a ticket: an Answered effect brings the answer
}

// Effect is something to be done: Launch, Signal, Rewrite, Dropped or Answered.
type Effect any

// Launch starts a process, whose number is Proc.
type Launch struct {
	Proc uint64
	Unit supervisor.Unit
	File string // configuration to be written before; empty: the one that is there
}

// Signal sends a signal to a process.
type Signal struct {
	Proc uint64
	Sig  Sig
}

// Sig is a signal.
type Sig int

// Signals.
const (
	Term Sig = iota
	Kill
	Hup
)

// Rewrite replaces a unit's configuration file.
type Rewrite struct{ Unit, Config, File string }

// Dropped says that a unit that has exited is no longer listed: what is kept for it can go.
type Dropped struct{ Unit string }

// Answered is the answer to a call that hung.
type Answered struct {
	Ticket uint64
	Answer
}

// unit is one that the platform knows of, or a process that it has forgotten or never knew it started.
type unit struct {
	supervisor.Unit
	proc      uint64 // 0: none lives
	rules     Rules
	killAt    int64          // when SIGKILL is due; 0: not
	restartAt int64          // when the platform starts it again; 0: not
	next      *pendingLaunch // of a restart, due when the process has ended
}

type pendingLaunch struct {
	unit  supervisor.Unit
	file  string
	fault FaultKind // Twice or none
}

// remembered is a request that has an outcome.
type remembered struct {
	id     string
	digest [sha256.Size]byte
	out    supervisor.Outcome
}

// Core is the platform.
type Core struct {
	opts     Options
	memory   uint64
	complete bool
	units    map[string]*unit
	procs    map[uint64]*unit // by the number of the living process, also of those that are not known
	ids      map[string]*remembered
	order    []*remembered // oldest first

	faults []*active
	held   []held
	timers timers
	out    []Effect

	lastProc, lastIncarnation, lastTicket, lastTimer uint64
}

// New makes a platform that runs nothing. now, in ms, also names its memory; it has to be above 0.
func New(opts Options, now int64) *Core {
	opts.MostUnits = cmp.Or(opts.MostUnits, defaultUnits)
	opts.MostIDs = cmp.Or(opts.MostIDs, defaultIDs)
	opts.MostHeld = cmp.Or(opts.MostHeld, defaultHeld)
	return &Core{
		opts: opts, memory: uint64(max(now, 1)), complete: true,
		units: map[string]*unit{}, procs: map[uint64]*unit{}, ids: map[string]*remembered{},
	}
}

// Do takes a call with requests that have been checked.
func (c *Core) Do(now int64, reqs []request) Answer {
	f := c.take(now, OnDo, reqs)
	if f == nil {
		return c.do(now, reqs, "")
	}
	switch f.Kind {
	case Fail:
		return Answer{Failed: "the platform failed"}
	case Hang:
		return c.hold(f, held{reqs: slices.Clone(reqs)})
	}
	a := c.do(now, reqs, f.Kind)
	a.Cut = f.Kind == Lose
	a.DelayMS = f.DelayMS
	return a
}

// List takes a call for the list.
func (c *Core) List(now int64) Answer {
	f := c.take(now, OnList, nil)
	if f == nil {
		return Answer{List: c.list(now)}
	}
	switch f.Kind {
	case Fail:
		return Answer{Failed: "the platform failed"}
	case Hang:
		return c.hold(f, held{list: true})
	}
	return Answer{List: c.list(now), Cut: f.Kind == Lose, DelayMS: f.DelayMS}
}

func (c *Core) list(now int64) *supervisor.List {
	l := &supervisor.List{Memory: c.memory, Complete: c.complete, AtMS: now, Units: make([]supervisor.Unit, 0, len(c.units))}
	for _, u := range c.units {
		l.Units = append(l.Units, u.Unit)
	}
	slices.SortFunc(l.Units, func(a, b supervisor.Unit) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// do carries requests out, under a fault or none ("").
func (c *Core) do(now int64, reqs []request, fault FaultKind) Answer {
	if !c.room(len(reqs)) {
		return Answer{Failed: "too many requests are under way"}
	}
	n := len(reqs)
	if fault == Half && n > 1 {
		n, fault = (n+1)/2, ""
	}
	var a Answer
	for i := range n {
		a.Outcomes = append(a.Outcomes, c.one(now, &reqs[i], &fault))
	}
	if n < len(reqs) {
		return Answer{Failed: "the platform failed half-way"}
	}
	return a
}

// one carries one request out, unless it was before. The fault is gone once it has acted.
func (c *Core) one(now int64, r *request, fault *FaultKind) supervisor.Outcome {
	out := supervisor.Outcome{ID: r.ID, Unit: r.Unit, Memory: c.memory}
	if r.Memory != c.memory {
		out.Refused, out.Text = supervisor.Forgotten, fmt.Sprintf("this is memory %d, not %d", c.memory, r.Memory)
		return out
	}
	digest := r.Digest()
	if was := c.ids[r.ID]; was != nil {
		if was.digest != digest {
			out.Refused, out.Text = supervisor.Reused, "the id was used for another request"
			return out
		}
		return was.out
	}
	out.Refused, out.Text = c.apply(now, r, fault)
	if u := c.units[r.Unit]; u != nil {
		out.Incarnation = u.Incarnation
		if u.next != nil && r.Op == supervisor.Restart && out.Refused == "" {
			out.Incarnation = u.next.unit.Incarnation
		}
	}
	m := &remembered{r.ID, digest, out}
	c.ids[r.ID] = m
	c.order = append(c.order, m)
	return out
}

// room makes room for n more ids: the oldest go whose units are neither starting nor stopping.
func (c *Core) room(n int) bool {
	for looked := len(c.order); len(c.order)+n > c.opts.MostIDs; looked-- {
		if looked == 0 {
			return false
		}
		m := c.order[0]
		c.order = c.order[1:]
		if u := c.units[m.out.Unit]; u != nil && (u.State == supervisor.Starting || u.State == supervisor.Stopping) {
			c.order = append(c.order, m)
			continue
		}
		delete(c.ids, m.id)
	}
	return true
}

// Effects gives what has to be done, in order, and forgets it.
func (c *Core) Effects() []Effect {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) effect(e Effect) { c.out = append(c.out, e) }

// timer is something due.
type timer struct {
	at  int64
	n   uint64 // those of one time go in the order in which they were set
	run func(now int64)
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

func (c *Core) at(at int64, run func(now int64)) {
	c.lastTimer++
	heap.Push(&c.timers, timer{at, c.lastTimer, run})
}

// Next is when Tick is due, in ms; false: no time is known.
func (c *Core) Next() (int64, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// Tick does what is due.
func (c *Core) Tick(now int64) {
	for len(c.timers) > 0 && c.timers[0].at <= now {
		heap.Pop(&c.timers).(timer).run(now)
	}
}
