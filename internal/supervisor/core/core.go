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
	defaultMaxUnits         = 4096    // listed at a time: twice the servers of the largest fleet that is tried out
	defaultMaxRequestIDs    = 1 << 16 // remembered: a day of a fleet's releases
	defaultMaxHeldCalls     = 64      // calls that hang at a time, with their requests
	initialRestartBackoffMS = 200     // ms from a process's own end to its next start, doubled with each restart
	maxRestartBackoffMS     = 10_000  // ms; the most that it is doubled to
	defaultGraceMS          = 10_000  // ms from SIGTERM to SIGKILL
)

// Version names a program.
type Version struct {
	Kind supervisor.Kind
	Name string
}

// ProcessPolicy are what the platform knows of a version.
type ProcessPolicy struct {
	GraceMS     int64 // from SIGTERM to SIGKILL where a request names none; 0: 10 s
	MaxRestarts int   // how often the platform itself starts it again, of one incarnation, when it has ended by itself
}

// Options say what there is; bounds that are 0 have their defaults.
type Options struct {
	Versions      map[Version]ProcessPolicy
	MaxUnits      int
	MaxRequestIDs int
	MaxHeldCalls  int
}

// Response is what a call is answered.
type Response struct {
	Outcomes   []supervisor.Outcome // of do
	List       *supervisor.List     // of list
	Failure    string               // answered 500 with this line: the outcome is unknown
	Disconnect bool                 // the connection is cut instead
	DelayMS    int64                // before the answer is sent
	HeldTicket uint64               // a ticket: an Answered effect brings the answer
}

// Effect is something to be done: Launch, Signal, Rewrite, Dropped or Answered.
type Effect any

// Launch starts a process, whose number is Proc.
type Launch struct {
	Process    uint64
	Unit       supervisor.Unit
	ConfigText string // configuration to be written before; empty: the one that is there
}

// Signal sends a signal to a process.
type Signal struct {
	Process uint64
	Kind    SignalKind
}

// SignalKind is a signal.
type SignalKind int

// Signals.
const (
	Terminate SignalKind = iota
	Kill
	Hangup
)

// Rewrite replaces a unit's configuration file.
type Rewrite struct{ Unit, ConfigName, ConfigText string }

// Dropped says that a unit that has exited is no longer listed: what is kept for it can go.
type Dropped struct{ Unit string }

// Answered is the answer to a call that hung.
type Answered struct {
	Ticket uint64
	Response
}

// unit is one that the platform knows of, or a process that it has forgotten or never knew it started.
type unit struct {
	supervisor.Unit
	process     uint64 // 0: none lives
	policy      ProcessPolicy
	killAtMS    int64          // when SIGKILL is due; 0: not
	restartAtMS int64          // when the platform starts it again; 0: not
	pending     *pendingLaunch // of a restart, due when the process has ended
}

type pendingLaunch struct {
	unit       supervisor.Unit
	configText string
	fault      FaultKind // Twice or none
}

// requestRecord is a request that has an outcome.
type requestRecord struct {
	id      string
	digest  [sha256.Size]byte
	outcome supervisor.Outcome
}

// Core is the platform.
type Core struct {
	options     Options
	epoch       uint64
	complete    bool
	units       map[string]*unit
	processes   map[uint64]*unit // by the number of the living process, also of those that are not known
	records     map[string]*requestRecord
	recordOrder []*requestRecord // oldest first

	faults    []*activeFault
	heldCalls []heldCall
	timers    timerHeap
	effects   []Effect

	lastProcess, lastIncarnation, lastTicket, lastTimer uint64
}

// New makes a platform that runs nothing. now, in ms, also names its memory; it has to be above 0.
func New(options Options, now int64) *Core {
	options.MaxUnits = cmp.Or(options.MaxUnits, defaultMaxUnits)
	options.MaxRequestIDs = cmp.Or(options.MaxRequestIDs, defaultMaxRequestIDs)
	options.MaxHeldCalls = cmp.Or(options.MaxHeldCalls, defaultMaxHeldCalls)
	return &Core{
		options: options, epoch: uint64(max(now, 1)), complete: true,
		units: map[string]*unit{}, processes: map[uint64]*unit{}, records: map[string]*requestRecord{},
	}
}

// Do takes a call with requests that have been checked.
func (c *Core) Do(now int64, requests []request) Response {
	fault := c.takeFault(now, OnDo, requests)
	if fault == nil {
		return c.executeAll(now, requests, "")
	}
	switch fault.Kind {
	case FaultError:
		return Response{Failure: "the platform failed"}
	case FaultHang:
		return c.holdCall(fault, heldCall{requests: slices.Clone(requests)})
	}
	response := c.executeAll(now, requests, fault.Kind)
	response.Disconnect = fault.Kind == FaultDropResponse
	response.DelayMS = fault.DelayMS
	return response
}

// List takes a call for the list.
func (c *Core) List(now int64) Response {
	fault := c.takeFault(now, OnList, nil)
	if fault == nil {
		return Response{List: c.list(now)}
	}
	switch fault.Kind {
	case FaultError:
		return Response{Failure: "the platform failed"}
	case FaultHang:
		return c.holdCall(fault, heldCall{isList: true})
	}
	return Response{List: c.list(now), Disconnect: fault.Kind == FaultDropResponse, DelayMS: fault.DelayMS}
}

func (c *Core) list(now int64) *supervisor.List {
	list := &supervisor.List{Epoch: c.epoch, Complete: c.complete, AtMS: now, Units: make([]supervisor.Unit, 0, len(c.units))}
	for _, u := range c.units {
		list.Units = append(list.Units, u.Unit)
	}
	slices.SortFunc(list.Units, func(a, b supervisor.Unit) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// executeAll carries requests out, under a fault or none ("").
func (c *Core) executeAll(now int64, requests []request, fault FaultKind) Response {
	if !c.reserveRecords(len(requests)) {
		return Response{Failure: "too many requests are under way"}
	}
	count := len(requests)
	if fault == FaultPartial && count > 1 {
		count, fault = (count+1)/2, ""
	}
	var response Response
	for i := range count {
		response.Outcomes = append(response.Outcomes, c.execute(now, &requests[i], &fault))
	}
	if count < len(requests) {
		return Response{Failure: "the platform failed half-way"}
	}
	return response
}

// execute carries one request out, unless it was before. The fault is gone once it has acted.
func (c *Core) execute(now int64, request *request, fault *FaultKind) supervisor.Outcome {
	outcome := supervisor.Outcome{ID: request.ID, Unit: request.Unit, Epoch: c.epoch}
	if request.Epoch != c.epoch {
		outcome.Rejected, outcome.Detail = supervisor.EpochMismatch, fmt.Sprintf("this is memory %d, not %d", c.epoch, request.Epoch)
		return outcome
	}
	digest := request.Digest()
	if previous := c.records[request.ID]; previous != nil {
		if previous.digest != digest {
			outcome.Rejected, outcome.Detail = supervisor.RequestIDReused, "the id was used for another request"
			return outcome
		}
		return previous.outcome
	}
	outcome.Rejected, outcome.Detail = c.apply(now, request, fault)
	if u := c.units[request.Unit]; u != nil {
		outcome.Incarnation = u.Incarnation
		if u.pending != nil && request.Op == supervisor.Restart && outcome.Rejected == "" {
			outcome.Incarnation = u.pending.unit.Incarnation
		}
	}
	record := &requestRecord{request.ID, digest, outcome}
	c.records[request.ID] = record
	c.recordOrder = append(c.recordOrder, record)
	return outcome
}

// reserveRecords makes room for n more ids: the oldest go whose units are neither starting nor stopping.
func (c *Core) reserveRecords(n int) bool {
	for remaining := len(c.recordOrder); len(c.recordOrder)+n > c.options.MaxRequestIDs; remaining-- {
		if remaining == 0 {
			return false
		}
		record := c.recordOrder[0]
		c.recordOrder = c.recordOrder[1:]
		if u := c.units[record.outcome.Unit]; u != nil && (u.State == supervisor.Starting || u.State == supervisor.Stopping) {
			c.recordOrder = append(c.recordOrder, record)
			continue
		}
		delete(c.records, record.id)
	}
	return true
}

// Effects gives what has to be done, in order, and forgets it.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// timer is something due.
type timer struct {
	dueMS    int64
	sequence uint64 // those of one time go in the order in which they were set
	run      func(now int64)
}

type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].dueMS < t[j].dueMS || t[i].dueMS == t[j].dueMS && t[i].sequence < t[j].sequence
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	removed := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return removed
}

func (c *Core) schedule(schedule int64, run func(now int64)) {
	c.lastTimer++
	heap.Push(&c.timers, timer{schedule, c.lastTimer, run})
}

// NextTimer is when Tick is due, in ms; false: no time is known.
func (c *Core) NextTimer() (int64, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].dueMS, true
}

// Tick does what is due.
func (c *Core) Tick(now int64) {
	for len(c.timers) > 0 && c.timers[0].dueMS <= now {
		heap.Pop(&c.timers).(timer).run(now)
	}
}
