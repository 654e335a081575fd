package core

import (
	"fmt"
	"slices"

	"milldeck/internal/validation"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults. All kinds except FaultLoseState act on calls.
const (
	noFault FaultKind = ""
	// FaultError responds with status 500 without executing the call.
	FaultError FaultKind = "fail"
	// FaultHang defers the execution of the call and its response until the fault ends.
	FaultHang FaultKind = "hang"
	// FaultDelay executes the call at once, and delays the response by DelayMS.
	FaultDelay FaultKind = "late"
	// FaultPartial executes the first half of several requests, rounded up, and responds with status 500. It executes a
	// single request in part and responds with success: a start lists the unit without starting a process, a stop sends no
	// SIGKILL, a restart only stops the unit, a reload sends no SIGHUP.
	FaultPartial FaultKind = "half"
	// FaultDropResponse executes the call, and closes the connection without a response.
	FaultDropResponse FaultKind = "lose"
	// FaultDuplicate starts two processes for the first unit that the call starts. The platform knows only one of them.
	FaultDuplicate FaultKind = "twice"
	// FaultWrongUnit stops another unit instead of the first unit that the call stops: the next running unit of the
	// same kind by name.
	FaultWrongUnit FaultKind = "wrong"
	// FaultLoseState discards all remembered requests and units at once. The processes keep running, and the platform finds
	// them again after DurationMS; 0: never.
	FaultLoseState FaultKind = "forget"
)

// consume reports whether the fault is of a kind. If so, it clears the fault, which acts only once.
func (k *FaultKind) consume(kind FaultKind) bool {
	if *k != kind {
		return false
	}
	*k = noFault
	return true
}

// The calls to which a fault can be restricted.
const (
	OnDo   = "do"
	OnList = "list"
)

// Fault is an injected fault. Its JSON is part of the HTTP interface.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	On         string    `json:"on,omitempty"`       // OnDo or OnList; empty: both
	Unit       string    `json:"unit,omitempty"`     // restricts the fault to calls that name this unit
	Count      int       `json:"count,omitempty"`    // number of affected calls; 0: all if DurationMS is set, otherwise one
	DurationMS int64     `json:"for_ms,omitempty"`   // duration of the fault; 0: until Count calls or ClearFaults
	DelayMS    int64     `json:"delay_ms,omitempty"` // delay of the response, for FaultDelay
}

const (
	maxFaultDurationMS = 3_600_000 // an hour, longer than any run
	maxFaults          = 64        // limit of active faults
)

// Validate returns an error if the fault is invalid. The text is part of the HTTP interface.
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

// activeFault is a fault that acts on the following calls.
type activeFault struct {
	Fault
	untilMS int64 // 0: no time limit
}

// actsOn reports whether the fault acts on a call with an operation and requests.
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

// deferredCall is a call that FaultHang has deferred.
type deferredCall struct {
	ticket   uint64
	fault    *activeFault
	requests []request // nil for a call of List
	isList   bool
}

// SetFault injects a fault, or returns an error if the fault is invalid or too many are active.
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

// ClearFaults ends all faults, and executes the deferred calls.
func (c *Core) ClearFaults(now int64) {
	c.faults = nil
	c.releaseCalls(now, nil)
}

// expireFault ends one fault, and executes the calls that the fault has deferred.
func (c *Core) expireFault(now int64, expired *activeFault) {
	if i := slices.Index(c.faults, expired); i >= 0 {
		c.removeFault(i)
	}
	c.releaseCalls(now, expired)
}

func (c *Core) removeFault(i int) {
	c.faults = append(c.faults[:i:i], c.faults[i+1:]...) // a copy: nextFault ranges over the slice
}

// nextFault returns the oldest fault that acts on a call, or nil. It counts the call towards the limit of the fault,
// and removes a fault that has reached its limit.
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

// deferCall stores a call until its fault ends.
func (c *Core) deferCall(fault *activeFault, call deferredCall) Response {
	if len(c.deferredCalls) >= c.options.MaxDeferredCalls {
		return Response{Failure: "too many calls hang"}
	}
	c.lastTicket++
	call.ticket, call.fault = c.lastTicket, fault
	c.deferredCalls = append(c.deferredCalls, call)
	return Response{DeferredTicket: call.ticket}
}

// releaseCalls executes the calls that a fault has deferred, in the order of their arrival. If fault is nil, it
// executes the deferred calls of all faults.
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
