package core

import (
	"fmt"
	"slices"

	"milldeck/internal/validation"
)

// FaultKind is how the platform fails.
type FaultKind string

// The kinds of faults. All but FaultLoseState act on calls.
const (
	noFault FaultKind = ""
	// FaultError does nothing and responds with status 500.
	FaultError FaultKind = "fail"
	// FaultHang neither executes nor responds until the fault ends, then both.
	FaultHang FaultKind = "hang"
	// FaultDelay executes at once, and responds DelayMS later.
	FaultDelay FaultKind = "late"
	// FaultPartial executes the first half of several requests, rounded up, and responds with status 500. Of a single one
	// it does the first part and responds as if it were done: a start is listed but starts no process, a stop sends no
	// SIGKILL, a restart doesn't start again, a reload sends no SIGHUP.
	FaultPartial FaultKind = "half"
	// FaultDropResponse executes, and closes the connection without a response.
	FaultDropResponse FaultKind = "lose"
	// FaultDuplicate starts two processes for the first unit that the call starts; the platform knows one of them.
	FaultDuplicate FaultKind = "twice"
	// FaultWrongUnit stops another unit in place of the first that the call stops: the next by name of the same kind that
	// runs.
	FaultWrongUnit FaultKind = "wrong"
	// FaultLoseState loses all remembered requests and units at once, though processes run on. They are found again
	// DurationMS later; 0: never.
	FaultLoseState FaultKind = "forget"
)

// consume reports whether a fault is of a kind, and then clears it: it acts once.
func (k *FaultKind) consume(kind FaultKind) bool {
	if *k != kind {
		return false
	}
	*k = noFault
	return true
}

// Calls that a fault can be bound to.
const (
	OnDo   = "do"
	OnList = "list"
)

// Fault is an injected fault, as it is requested over HTTP.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	On         string    `json:"on,omitempty"`       // OnDo or OnList; empty: both
	Unit       string    `json:"unit,omitempty"`     // acts only on calls that name this unit
	Count      int       `json:"count,omitempty"`    // calls that it acts on; 0: all where DurationMS is set, else one
	DurationMS int64     `json:"for_ms,omitempty"`   // how long it acts; 0: until Count is used up or it is cleared
	DelayMS    int64     `json:"delay_ms,omitempty"` // of the response, for FaultDelay
}

const (
	maxFaultDurationMS = 3_600_000 // an hour: longer than any run
	maxFaults          = 64        // set at a time
)

// Validate returns what is invalid about a fault. The text is part of the HTTP interface.
func (f *Fault) Validate() error {
	switch f.Kind {
	case FaultError, FaultHang, FaultDelay, FaultDropResponse:
	case FaultPartial, FaultDuplicate, FaultWrongUnit:
		if f.On == OnList {
			return validation.Errorf("on", "%s does not act on list", f.Kind)
		}
	case FaultLoseState:
		if f.On+f.Unit != "" || f.Count != 0 {
			return validation.Errorf("forget", "takes no on, unit or count")
		}
	default:
		return validation.Errorf("kind", "%q is none of fail, hang, late, half, lose, twice, wrong, forget", f.Kind)
	}
	switch {
	case f.On != "" && f.On != OnDo && f.On != OnList:
		return validation.Errorf("on", "%q is neither do nor list", f.On)
	case f.Unit != "" && f.On != OnDo:
		return validation.Errorf("unit", `only with on = "do"`)
	case f.Count < 0 || f.DurationMS < 0 || f.DurationMS > maxFaultDurationMS || f.DelayMS < 0 || f.DelayMS > maxFaultDurationMS:
		return validation.Errorf("count, for_ms or delay_ms", "negative, or above %d ms", maxFaultDurationMS)
	case (f.Kind == FaultDelay) != (f.DelayMS > 0):
		return validation.Errorf("delay_ms", "late needs it, no other fault takes it")
	}
	return nil
}

// activeFault is a fault that waits for calls.
type activeFault struct {
	Fault
	untilMS int64 // 0: it has no end
}

// actsOn reports whether the fault acts on a call.
func (f *activeFault) actsOn(now int64, operation string, requests []request) bool {
	switch {
	case f.On != "" && f.On != operation,
		f.untilMS != 0 && now >= f.untilMS,
		f.Unit != "" && !namesUnit(requests, f.Unit):
		return false
	case operation == OnList:
		return f.Kind != FaultPartial && f.Kind != FaultDuplicate && f.Kind != FaultWrongUnit
	}
	return true
}

// deferredCall is a call that hangs.
type deferredCall struct {
	ticket   uint64
	fault    *activeFault
	requests []request // nil: of a list
	isList   bool
}

// SetFault injects a fault from now on, or returns why it can't.
func (c *Core) SetFault(now int64, fault Fault) error {
	if err := fault.Validate(); err != nil {
		return err
	}
	if fault.Kind == FaultLoseState {
		c.loseState(now, fault.DurationMS)
		return nil
	}
	if len(c.faults) >= maxFaults {
		return fmt.Errorf("%d faults wait already", maxFaults)
	}
	active := &activeFault{Fault: fault}
	if fault.Count == 0 && fault.DurationMS == 0 {
		active.Count = 1
	}
	if fault.DurationMS > 0 {
		active.untilMS = now + fault.DurationMS
		c.schedule(active.untilMS, func(now int64) { c.expireFault(now, active) })
	}
	c.faults = append(c.faults, active)
	return nil
}

// ClearFaults ends all faults; calls that hang go on.
func (c *Core) ClearFaults(now int64) {
	c.faults = nil
	c.releaseCalls(now, nil)
}

// expireFault ends one fault.
func (c *Core) expireFault(now int64, expired *activeFault) {
	if i := slices.Index(c.faults, expired); i >= 0 {
		c.removeFault(i)
	}
	c.releaseCalls(now, expired)
}

func (c *Core) removeFault(i int) {
	c.faults = append(c.faults[:i:i], c.faults[i+1:]...) // a copy: nextFault ranges over the slice
}

// nextFault returns the fault that acts on a call, the earliest set, nil where there is none. It counts the call.
func (c *Core) nextFault(now int64, operation string, requests []request) *activeFault {
	for i, f := range c.faults {
		if !f.actsOn(now, operation, requests) {
			continue
		}
		if f.Count > 0 {
			if f.Count--; f.Count == 0 {
				c.removeFault(i)
			}
		}
		return f
	}
	return nil
}

func namesUnit(requests []request, unit string) bool {
	return slices.ContainsFunc(requests, func(r request) bool { return r.Unit == unit })
}

// deferCall holds a call until its fault ends.
func (c *Core) deferCall(fault *activeFault, call deferredCall) Response {
	if len(c.deferredCalls) >= c.options.MaxDeferredCalls {
		return Response{Failure: "too many calls hang"}
	}
	c.lastTicket++
	call.ticket, call.fault = c.lastTicket, fault
	c.deferredCalls = append(c.deferredCalls, call)
	return Response{DeferredTicket: call.ticket}
}

// releaseCalls executes the calls that hung by a fault, nil: by any, in the order in which they came.
func (c *Core) releaseCalls(now int64, fault *activeFault) {
	calls := c.deferredCalls
	c.deferredCalls = nil
	for _, call := range calls {
		switch {
		case fault != nil && call.fault != fault:
			c.deferredCalls = append(c.deferredCalls, call)
		case call.isList:
			c.emit(DeferredResponse{call.ticket, Response{List: c.list(now)}})
		default:
			c.emit(DeferredResponse{call.ticket, c.executeAll(now, call.requests, noFault)})
		}
	}
}
