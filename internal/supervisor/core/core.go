// Package core is a platform that starts and stops processes, without clock, sockets and processes: calls and events
// of processes go in with a time, responses and effects come out. Package standin drives it with real processes, package
// fake with virtual ones. It owns the platform's state: units, remembered requests and injected faults. Nothing of it is
// durable. Times are in ms.
package core

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"milldeck/internal/supervisor"
)

type request = supervisor.Request

// Bounds where Options name none.
const (
	defaultMaxUnits         = 4096    // twice the servers of the largest fleet that is tried out
	defaultMaxRequestIDs    = 1 << 16 // a day of a fleet's releases
	defaultMaxDeferredCalls = 64      // with their requests
)

// Version names a program.
type Version struct {
	Kind supervisor.Kind
	Name string
}

// ProcessPolicy is how the platform treats processes of a version.
type ProcessPolicy struct {
	GraceMS     int64 // from SIGTERM to SIGKILL where a request names none; 0: 10 s
	MaxRestarts int   // how often the platform itself restarts an incarnation whose process has ended by itself
}

// Options says what a platform has. Bounds that are 0 have their defaults.
type Options struct {
	Versions         map[Version]ProcessPolicy
	MaxUnits         int // listed at a time
	MaxRequestIDs    int // remembered
	MaxDeferredCalls int // that hang at a time
}

// Response is the response to a call.
type Response struct {
	Outcomes       []supervisor.Outcome // of Do
	List           *supervisor.List     // of List
	Failure        string               // sent with status 500 in place of the others: the outcome is unknown
	Disconnect     bool                 // the connection is closed in place of a response
	DelayMS        int64                // before the response is sent
	DeferredTicket uint64               // not 0: a DeferredResponse with this ticket follows
}

// Core is the platform. It is not safe for concurrent use.
type Core struct {
	options   Options
	epoch     uint64
	complete  bool // all that runs is listed
	units     map[string]*unit
	processes map[uint64]*unit // the units of living processes by number, listed or not

	records     map[string]*requestRecord // by request id
	recordOrder []*requestRecord          // oldest first

	faults        []*activeFault
	deferredCalls []deferredCall
	timers        timerHeap
	effects       []Effect

	lastProcess, lastIncarnation, lastTicket, lastTimer uint64
}

// requestRecord is a remembered request.
type requestRecord struct {
	id      string
	digest  [sha256.Size]byte
	outcome supervisor.Outcome
}

// New returns a platform that runs nothing. now, above 0, also names its epoch.
func New(options Options, now int64) *Core {
	options.MaxUnits = cmp.Or(options.MaxUnits, defaultMaxUnits)
	options.MaxRequestIDs = cmp.Or(options.MaxRequestIDs, defaultMaxRequestIDs)
	options.MaxDeferredCalls = cmp.Or(options.MaxDeferredCalls, defaultMaxDeferredCalls)
	return &Core{
		options:   options,
		epoch:     uint64(max(now, 1)),
		complete:  true,
		units:     map[string]*unit{},
		processes: map[uint64]*unit{},
		records:   map[string]*requestRecord{},
	}
}

// Do handles a call with requests that are valid.
func (c *Core) Do(now int64, requests []request) Response {
	fault := c.nextFault(now, OnDo, requests)
	if fault == nil {
		return c.executeAll(now, requests, noFault)
	}
	switch fault.Kind {
	case FaultError:
		return Response{Failure: "the platform failed"}
	case FaultHang:
		return c.deferCall(fault, deferredCall{requests: slices.Clone(requests)})
	}
	response := c.executeAll(now, requests, fault.Kind)
	response.Disconnect = fault.Kind == FaultDropResponse
	response.DelayMS = fault.DelayMS
	return response
}

// List handles a call for the list.
func (c *Core) List(now int64) Response {
	fault := c.nextFault(now, OnList, nil)
	if fault == nil {
		return Response{List: c.list(now)}
	}
	switch fault.Kind {
	case FaultError:
		return Response{Failure: "the platform failed"}
	case FaultHang:
		return c.deferCall(fault, deferredCall{isList: true})
	}
	return Response{List: c.list(now), Disconnect: fault.Kind == FaultDropResponse, DelayMS: fault.DelayMS}
}

func (c *Core) list(now int64) *supervisor.List {
	list := &supervisor.List{
		Epoch:    c.epoch,
		Complete: c.complete,
		AtMS:     now,
		Units:    make([]supervisor.Unit, 0, len(c.units)),
	}
	for _, u := range c.units {
		list.Units = append(list.Units, u.Unit)
	}
	slices.SortFunc(list.Units, func(a, b supervisor.Unit) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Effects returns what has to be done, in order, and forgets it.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }
