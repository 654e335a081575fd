package core

import (
	"errors"
	"fmt"
)

// FaultKind is how the platform fails.
type FaultKind string

// Ways to fail. All but Forget act on calls as they come.
const (
	FaultError FaultKind = "fail" // nothing is done, answered 500
	FaultHang  FaultKind = "hang" // neither done nor answered until the fault ends, then both
	FaultDelay FaultKind = "late" // done at once, answered DelayMS later
	// FaultPartial does the first half of several requests, rounded up, and answers 500. Of a single one it does the first
	// part and answers as if it were done: a start is listed but starts no process, a stop sends no SIGKILL, a restart
	// does not start again, a reload sends no SIGHUP.
	FaultPartial      FaultKind = "half"
	FaultDropResponse FaultKind = "lose" // done, and the connection cut instead of an answer
	// FaultDuplicate starts the first that the call starts twice; the platform knows of one only.
	FaultDuplicate FaultKind = "twice"
	// FaultWrongUnit stops another unit, the next by name of the same kind that runs, than the first one that the call stops.
	FaultWrongUnit FaultKind = "wrong"
	// FaultLoseState loses all ids and units at once, though processes run on. DurationMS later they are found again; 0: never.
	FaultLoseState FaultKind = "forget"
)

// Calls that a fault can be bound to.
const (
	OnDo   = "do"
	OnList = "list"
)

// Fault is one that is asked for.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	On         string    `json:"on,omitempty"`       // OnDo, OnList; empty: both
	Unit       string    `json:"unit,omitempty"`     // only calls that name this unit
	Count      int       `json:"count,omitempty"`    // calls that it acts on; 0: without bound where DurationMS is set, else 1
	DurationMS int64     `json:"for_ms,omitempty"`   // how long it acts; 0: until Count is used up or it is cleared
	DelayMS    int64     `json:"delay_ms,omitempty"` // late: of the answer
}

// Bounds of faults.
const (
	maxFaultDurationMS = 3_600_000 // an hour: longer than any run
	maxFaults          = 64        // waiting at a time
)

// Validate tells what is wrong with it.
func (f *Fault) Validate() error {
	switch f.Kind {
	case FaultError, FaultHang, FaultDelay, FaultDropResponse:
	case FaultPartial, FaultDuplicate, FaultWrongUnit:
		if f.On == OnList {
			return fmt.Errorf("on: %s does not act on list", f.Kind)
		}
	case FaultLoseState:
		if f.On+f.Unit != "" || f.Count != 0 {
			return errors.New("forget: takes no on, unit or count")
		}
	default:
		return fmt.Errorf("kind: %q is none of fail, hang, late, half, lose, twice, wrong, forget", f.Kind)
	}
	switch {
	case f.On != "" && f.On != OnDo && f.On != OnList:
		return fmt.Errorf("on: %q is neither do nor list", f.On)
	case f.Unit != "" && f.On != OnDo:
		return errors.New(`unit: only with on = "do"`)
	case f.Count < 0 || f.DurationMS < 0 || f.DurationMS > maxFaultDurationMS || f.DelayMS < 0 || f.DelayMS > maxFaultDurationMS:
		return fmt.Errorf("count, for_ms or delay_ms: negative, or above %d ms", maxFaultDurationMS)
	case (f.Kind == FaultDelay) != (f.DelayMS > 0):
		return errors.New("delay_ms: late needs it, no other fault takes it")
	}
	return nil
}

// activeFault is a fault that waits for calls.
type activeFault struct {
	Fault
	untilMS int64 // 0: no end
}

// heldCall is a call that hangs.
type heldCall struct {
	ticket   uint64
	fault    *activeFault
	requests []request // nil: list
	isList   bool
}

// SetFault has the platform fail from now on.
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

// expireFault ends one fault whose time is over.
func (c *Core) expireFault(now int64, expired *activeFault) {
	for i, f := range c.faults {
		if f == expired {
			c.faults = append(c.faults[:i:i], c.faults[i+1:]...)
			break
		}
	}
	c.releaseCalls(now, expired)
}

// takeFault gives the fault that acts on a call, the earliest set that fits, nil where there is none.
func (c *Core) takeFault(now int64, operation string, requests []request) *activeFault {
	for i, f := range c.faults {
		if f.On != "" && f.On != operation || f.untilMS != 0 && now >= f.untilMS || operation == OnList && (f.Kind == FaultPartial || f.Kind == FaultDuplicate || f.Kind == FaultWrongUnit) {
			continue
		}
		if f.Unit != "" && !namesUnit(requests, f.Unit) {
			continue
		}
		if f.Count > 0 {
			if f.Count--; f.Count == 0 {
				c.faults = append(c.faults[:i:i], c.faults[i+1:]...)
			}
		}
		return f
	}
	return nil
}

func namesUnit(requests []request, unit string) bool {
	for i := range requests {
		if requests[i].Unit == unit {
			return true
		}
	}
	return false
}

// holdCall keeps a call back until its fault ends.
func (c *Core) holdCall(fault *activeFault, call heldCall) Response {
	if len(c.heldCalls) >= c.options.MaxHeldCalls {
		return Response{Failure: "too many calls hang"}
	}
	c.lastTicket++
	call.ticket, call.fault = c.lastTicket, fault
	c.heldCalls = append(c.heldCalls, call)
	return Response{HeldTicket: call.ticket}
}

// releaseCalls carries out calls that hung by a fault, nil: by any, in the order in which they came.
func (c *Core) releaseCalls(now int64, fault *activeFault) {
	calls := c.heldCalls
	c.heldCalls = nil
	for _, call := range calls {
		switch {
		case fault != nil && call.fault != fault:
			c.heldCalls = append(c.heldCalls, call)
		case call.isList:
			c.emit(Answered{call.ticket, Response{List: c.list(now)}})
		default:
			c.emit(Answered{call.ticket, c.executeAll(now, call.requests, "")})
		}
	}
}
