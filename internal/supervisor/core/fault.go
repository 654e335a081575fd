package core

import (
	"errors"
	"fmt"
)

// FaultKind is how the platform fails.
type FaultKind string

// Ways to fail. All but Forget act on calls as they come.
const (
	Fail FaultKind = "fail" // nothing is done, answered 500
	Hang FaultKind = "hang" // neither done nor answered until the fault ends, then both
	Late FaultKind = "late" // done at once, answered DelayMS later
	// Half does the first half of several requests, rounded up, and answers 500. Of a single one it does the first
	// part and answers as if it were done: a start is listed but starts no process, a stop sends no SIGKILL, a restart
	// does not start again, a reload sends no SIGHUP.
	Half FaultKind = "half"
	Lose FaultKind = "lose" // done, and the connection cut instead of an answer
	// Twice starts the first that the call starts twice; the platform knows of one only.
	Twice FaultKind = "twice"
	// Wrong stops another unit, the next by name of the same kind that runs, than the first one that the call stops.
	Wrong FaultKind = "wrong"
	// Forget loses all ids and units at once, though processes run on. ForMS later they are found again; 0: never.
	Forget FaultKind = "forget"
)

// Calls that a fault can be bound to.
const (
	OnDo   = "do"
	OnList = "list"
)

// Fault is one that is asked for.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	On      string    `json:"on,omitempty"`       // OnDo, OnList; empty: both
	Unit    string    `json:"unit,omitempty"`     // only calls that name this unit
	Count   int       `json:"count,omitempty"`    // calls that it acts on; 0: without bound where ForMS is set, else 1
	ForMS   int64     `json:"for_ms,omitempty"`   // how long it acts; 0: until Count is used up or it is cleared
	DelayMS int64     `json:"delay_ms,omitempty"` // late: of the answer
}

// Bounds of faults.
const (
	maxFaultMS = 3_600_000 // an hour: longer than any run
	mostFaults = 64        // waiting at a time
)

// Check tells what is wrong with it.
func (f *Fault) Check() error {
	switch f.Kind {
	case Fail, Hang, Late, Lose:
	case Half, Twice, Wrong:
		if f.On == OnList {
			return fmt.Errorf("on: %s does not act on list", f.Kind)
		}
	case Forget:
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
	case f.Count < 0 || f.ForMS < 0 || f.ForMS > maxFaultMS || f.DelayMS < 0 || f.DelayMS > maxFaultMS:
		return fmt.Errorf("count, for_ms or delay_ms: negative, or above %d ms", maxFaultMS)
	case (f.Kind == Late) != (f.DelayMS > 0):
		return errors.New("delay_ms: late needs it, no other fault takes it")
	}
	return nil
}

// active is a fault that waits for calls.
type active struct {
	Fault
	until int64 // 0: no end
}

// held is a call that hangs.
type held struct {
	ticket uint64
	by     *active
	reqs   []request // nil: list
	list   bool
}

// SetFault has the platform fail from now on.
func (c *Core) SetFault(now int64, f Fault) error {
	if err := f.Check(); err != nil {
		return err
	}
	if f.Kind == Forget {
		c.forget(now, f.ForMS)
		return nil
	}
	if len(c.faults) >= mostFaults {
		return fmt.Errorf("%d faults wait already", mostFaults)
	}
	a := &active{Fault: f}
	if f.Count == 0 && f.ForMS == 0 {
		a.Count = 1
	}
	if f.ForMS > 0 {
		a.until = now + f.ForMS
		c.at(a.until, func(now int64) { c.end(now, a) })
	}
	c.faults = append(c.faults, a)
	return nil
}

// Clear ends all faults; calls that hang go on.
func (c *Core) Clear(now int64) {
	c.faults = nil
	c.release(now, nil)
}

// end ends one fault whose time is over.
func (c *Core) end(now int64, a *active) {
	for i, f := range c.faults {
		if f == a {
			c.faults = append(c.faults[:i:i], c.faults[i+1:]...)
			break
		}
	}
	c.release(now, a)
}

// take gives the fault that acts on a call, the earliest set that fits, nil where there is none.
func (c *Core) take(now int64, on string, reqs []request) *active {
	for i, f := range c.faults {
		if f.On != "" && f.On != on || f.until != 0 && now >= f.until || on == OnList && (f.Kind == Half || f.Kind == Twice || f.Kind == Wrong) {
			continue
		}
		if f.Unit != "" && !names(reqs, f.Unit) {
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

func names(reqs []request, unit string) bool {
	for i := range reqs {
		if reqs[i].Unit == unit {
			return true
		}
	}
	return false
}

// hold keeps a call back until its fault ends.
func (c *Core) hold(by *active, h held) Answer {
	if len(c.held) >= c.opts.MostHeld {
		return Answer{Failed: "too many calls hang"}
	}
	c.lastTicket++
	h.ticket, h.by = c.lastTicket, by
	c.held = append(c.held, h)
	return Answer{Held: h.ticket}
}

// release carries out calls that hung by a fault, nil: by any, in the order in which they came.
func (c *Core) release(now int64, by *active) {
	all := c.held
	c.held = nil
	for _, h := range all {
		switch {
		case by != nil && h.by != by:
			c.held = append(c.held, h)
		case h.list:
			c.effect(Answered{h.ticket, Answer{List: c.list(now)}})
		default:
			c.effect(Answered{h.ticket, c.do(now, h.reqs, "")})
		}
	}
}
