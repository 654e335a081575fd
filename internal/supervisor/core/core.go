// Package core implements the state machine of a platform that starts and stops processes. It has no clock, sockets or
// processes of its own: callers pass in calls and process events with the current time, and get responses and effects.
// Package standin drives the core with real processes, package fake with simulated ones. The core owns the platform's
// state: units, remembered requests and injected faults. The state is not durable. Times are in ms.
package core

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"milldeck/internal/supervisor"
)

type request = supervisor.Request

// Default limits for Options.
const (
	defaultMaxUnits         = 4096    // twice the servers of the largest tested fleet
	defaultMaxRequestIDs    = 1 << 16 // the requests of a fleet's releases in a day
	defaultMaxDeferredCalls = 64      // each call keeps its requests in memory
)

// Version identifies a program by kind and name.
type Version struct {
	Kind supervisor.Kind
	Name string
}

// ProcessPolicy configures how the platform stops and restarts processes of a version.
type ProcessPolicy struct {
	GraceMS     int64 // from SIGTERM to SIGKILL for requests without a grace period; 0: 10 s
	MaxRestarts int   // limit of automatic restarts per incarnation, after its process has exited without a stop request
}

// Options configure a Core. A limit of 0 means the default.
type Options struct {
	Versions         map[Version]ProcessPolicy
	MaxUnits         int // limit of listed units
	MaxRequestIDs    int // limit of remembered requests
	MaxDeferredCalls int // limit of calls that FaultHang defers at a time
}

// Response is the response to a call.
type Response struct {
	Outcomes       []supervisor.Outcome // of Do
	List           *supervisor.List     // of List
	Failure        string               // error sent with status 500 instead of outcomes or list; the outcome is unknown
	Disconnect     bool                 // close the connection instead of sending a response
	DelayMS        int64                // delay before the response is sent
	DeferredTicket uint64               // not 0: the response follows as a DeferredResponse with this ticket
}

// Core is the state machine of a platform. It is not safe for concurrent use.
type Core struct {
	options   Options
	epoch     uint64
	complete  bool // the units of all running processes are listed
	units     map[string]*unit
	processes map[uint64]*unit // units of the running processes by process number, listed or not

	records     map[string]*requestRecord // by request ID
	recordOrder []*requestRecord          // oldest first

	faults        []*activeFault
	deferredCalls []deferredCall
	timers        timerHeap
	effects       []Effect

	lastProcess, lastIncarnation, lastTicket, lastTimer uint64
}

// requestRecord is a remembered request with its outcome.
type requestRecord struct {
	id      string
	digest  [sha256.Size]byte
	outcome supervisor.Outcome
}

// New returns a core without units. now must be positive and is also the first epoch.
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

// Do handles a call with valid requests.
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

// List handles a call for the list of units.
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

// Effects returns the pending effects in order, and clears them. The caller has to execute them.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }
