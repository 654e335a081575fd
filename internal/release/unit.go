package release

import (
	"cmp"
	"fmt"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// unit does what a unit's written stage asks for, and goes on to the next once there is evidence.
func (c *stepper) unit(i int) {
	u := c.s.Units[i]
	if next, decided := c.next[i]; decided && next.Stage != u.Stage {
		return // a halt has just sent it elsewhere: that is written first
	}
	if !u.flying() {
		return
	}
	u = c.at(i)
	p, known := c.v.Permits(c.s.PermitID(&u))
	if held := known && (p.Stage == disruption.StageActive || p.Stage == disruption.StageReturning); !held && (u.Stage == Stop || u.Stage == Reload) {
		// Evidence had settled its permit when it was turned, or an operator has: nobody is taken out without one.
		c.to(&u, Todo)
		c.put(i, u)
		return
	}
	switch u.Stage {
	case Ask, Make, Begin:
		c.permit(&u, p, known)
	case Drain:
		c.drain(&u)
	case Stop:
		c.stop(&u)
	case Start:
		c.start(&u)
	case Reload:
		c.reload(&u)
	case Rise:
		c.rise(&u, p, known)
	case Cancel:
		c.cancel(&u, p, known)
	}
	c.put(i, u)
}

// to goes on to a stage.
func (c *stepper) to(u *Unit, s Stage) { u.Stage, u.SinceMS, u.Call = s, c.v.NowMS, nil }

func (c *stepper) ledger(kind disruption.OpKind, u *Unit) {
	c.do(Ledger{disruption.Op{Kind: kind, Owner: Owner(c.s.Name), Permit: &disruption.Permit{ID: c.s.PermitID(u)}}})
}

// ask asks for a unit's permit; a repeat is no second one.
func (c *stepper) ask(u *Unit) {
	p := &disruption.Permit{
		ID: c.s.PermitID(u), Owner: Owner(c.s.Name), Units: []string{u.ID}, Priority: disruption.PriorityRollout, Disposition: disruption.DispositionReturn,
		Purpose: strings.TrimSpace("to " + u.goal().Version + " " + u.goal().Config),
	}
	switch {
	case u.AskedBack:
		p.Priority = disruption.PriorityRollback
	case c.s.Drain:
		p.Priority, p.Disposition, p.Purpose = disruption.PriorityDrain, disruption.DispositionRetire, "drained"
	}
	c.do(Ledger{disruption.Op{Kind: disruption.OpRequest, Owner: p.Owner, Permit: p}})
}

// permit follows a permit from its asking to its begin. A grant that a halt has taken back is waited for again.
func (c *stepper) permit(u *Unit, p disruption.Permit, known bool) {
	got := known && p.Stage != disruption.StageRequested
	switch {
	case known && (p.Stage == disruption.StageCancelled || p.Stage == disruption.StageCompleted):
		u.Why = "its permit was ended by an operator"
		c.to(u, Todo)
	case u.Stage == Ask && !known:
		c.ask(u)
		if why := c.v.Denied[c.s.PermitID(u)]; why != "" && c.v.NowMS-u.SinceMS > callWait {
			c.failed = append(c.failed, u.ID+": no permit can be had: "+why)
			u.Stage, u.Why = Lost, "no permit can be had: "+why
			if !u.Back {
				c.to(u, Todo)
			}
		}
	case u.Stage == Ask && got:
		c.to(u, Make)
		if c.s.ledgerKind() != disruption.KindServer {
			c.to(u, Begin)
		}
	case u.Stage == Ask:
		u.Why = p.WaitReason
	case !got:
		c.to(u, Ask)
	case u.Stage == Make && (c.v.Made(u.ID) || c.gone(u)):
		c.to(u, Begin)
	case u.Stage == Make:
		c.do(Prepare{u.ID})
	case p.Stage == disruption.StageGranted:
		c.ledger(disruption.OpBegin, u)
	case c.s.ledgerKind() == disruption.KindServer:
		c.to(u, Drain)
	default:
		c.to(u, c.s.first())
	}
	if u.Stage != Ask {
		u.Why = ""
	}
}

// gone tells whether a unit has ended by itself, so that nothing can be open on it.
func (c *stepper) gone(u *Unit) bool {
	d, known := c.v.Unit(u.ID)
	if known && d.Condition == disruption.ConditionLost {
		return true
	}
	l := c.v.Platform
	if l == nil {
		return false
	}
	at := l.Find(u.Name)
	return at != nil && at.State == supervisor.Exited
}

func (c *stepper) drain(u *Unit) {
	if c.v.Empty(u.ID) || c.gone(u) {
		c.to(u, Stop)
		return
	}
	c.do(Terminate{u.ID})
}

// ended is the evidence that a unit has no process. That it is not listed says so only where the platform knows all that
// it runs: one that has forgotten lists nothing, and everything runs on.
func ended(l *supervisor.List, name string) bool {
	at := l.Find(name)
	if at == nil {
		return l.Complete
	}
	return at.State == supervisor.Exited
}

func (c *stepper) stop(u *Unit) {
	l := c.v.Platform
	if l == nil {
		return
	}
	if ended(l, u.Name) {
		if c.s.Drain && !u.Back {
			c.to(u, Rise)
			return
		}
		c.to(u, Start)
		return
	}
	at := l.Find(u.Name)
	if at == nil {
		return // it may run: the platform has forgotten, and has not found all again
	}
	if c.call(u, l, supervisor.Stop, at.Incarnation) {
		return
	}
	// It was asked and answered. What is still there after a while was not stopped, or only told to: ask anew.
	wait := int64(callWait)
	if at.State == supervisor.Stopping {
		wait = stopWait
	}
	if c.answered(u) && l.AtMS-at.SinceMS > wait && c.v.NowMS-u.Call.AtMS > wait {
		u.Call = nil
	}
}

func (c *stepper) start(u *Unit) {
	l := c.v.Platform
	if l == nil {
		return
	}
	at, goal := l.Find(u.Name), u.goal()
	incarnation := uint64(0)
	if at != nil {
		incarnation = at.Incarnation
	}
	switch {
	case at == nil && !l.Complete:
		return // it may run already
	case at != nil && at.State != supervisor.Exited && (at.Version != goal.Version || at.ConfigName != goal.Config):
		c.to(u, Stop) // something else was started in its place
		return
	case at != nil && at.State == supervisor.Running:
		c.to(u, Rise)
		return
	case at != nil && at.State == supervisor.Starting:
		if c.v.NowMS-u.SinceMS > startWait && l.AtMS-at.SinceMS > startWait {
			c.fails(u, "it was started and is not ready")
		}
		return
	case at != nil && at.State == supervisor.Stopping:
		c.to(u, Stop)
		return
	}
	// It is not there, or has exited: as it was before the call, or by itself after it.
	if u.Call != nil && u.Call.Memory == l.Epoch && at != nil && incarnation != u.Call.Incarnation {
		if l.AtMS-at.SinceMS > exitWait && at.Version == goal.Version {
			c.fails(u, cmp.Or(at.Exit, "it ended"))
		}
		return
	}
	if c.call(u, l, supervisor.Start, incarnation) {
		return
	}
	if c.answered(u) && c.v.NowMS-u.Call.AtMS > callWait {
		u.Call = nil
	}
}

func (c *stepper) reload(u *Unit) {
	if why := c.v.Refused(u.ID, u.goal().Config); why != "" && c.answered(u) {
		c.refuses(u, "it refuses the configuration: "+why)
		return
	}
	l := c.v.Platform
	if l == nil {
		return
	}
	at := l.Find(u.Name)
	// It serves on by what it has until it has read the other: the platform's word alone is no evidence, nor is its own,
	// as one that was refused the other has the old one still, and would read the other at its next start.
	if is, known := c.v.Running(u.ID); known && is == u.goal() && at != nil && at.ConfigName == u.goal().Config {
		c.to(u, Rise)
		return
	}
	if at == nil || at.State != supervisor.Running {
		if c.v.NowMS-u.SinceMS > startWait {
			c.fails(u, "it does not run")
		}
		return
	}
	if c.call(u, l, supervisor.Reload, at.Incarnation) {
		return
	}
	if c.answered(u) && c.v.NowMS-u.Call.AtMS > callWait {
		c.fails(u, "it does not take the configuration up")
	}
}

// call has the written call made, or a new one decided, which is written before it is made. It tells whether that is all
// for now: once the call was answered, its evidence is looked for in the list.
func (c *stepper) call(u *Unit, l *supervisor.List, op supervisor.Op, incarnation uint64) bool {
	if u.Call == nil || u.Call.Op != op || u.Call.Memory != l.Epoch {
		if u.Calls >= maxCalls {
			c.fails(u, "the platform does not do what it says")
			return true
		}
		u.Calls++
		u.Call = &Call{N: u.Calls, Op: op, Memory: l.Epoch, Incarnation: incarnation, AtMS: c.v.NowMS}
		return true
	}
	out, answered := c.v.Answers[c.s.RequestID(u)]
	if !answered {
		c.do(Do{c.s.request(u)})
		return true
	}
	switch out.Rejected {
	case "":
		return false
	case supervisor.UnknownVersion:
		c.refuses(u, cmp.Or(out.Detail, "the platform has no such version"))
		return true
	}
	// A refusal has changed nothing, and a repeat would be refused alike: the list tells what is to be asked now.
	if c.v.NowMS-u.Call.AtMS > callWait {
		u.Call = nil
	}
	return true
}

func (c *stepper) answered(u *Unit) bool {
	if u.Call == nil {
		return false
	}
	out, is := c.v.Answers[c.s.RequestID(u)]
	return is && out.Rejected == ""
}

// rise waits for the evidence that a unit is back: its permit settled. The platform's word that it runs is not enough.
func (c *stepper) rise(u *Unit, p disruption.Permit, known bool) {
	switch {
	case known && (p.Stage == disruption.StageCompleted || p.Stage == disruption.StageCancelled):
		u.Fails, u.Why = 0, ""
		c.to(u, Rest)
		return
	case c.s.Drain && !u.Back && c.runs(u):
		c.to(u, Stop) // it had ended by itself, and the platform has started it again
		return
	case known && p.Stage == disruption.StageActive && !(c.s.Drain && !u.Back):
		c.ledger(disruption.OpReturn, u)
	}
	d, seen := c.v.Unit(u.ID)
	switch {
	case !seen && !known && c.s.Drain && !u.Back: // its permit is settled, and it is out of the list for good
		c.to(u, Rest)
		return
	case !seen || d.Condition != disruption.ConditionUp && !(c.s.Drain && d.Condition == disruption.ConditionLost):
	case known:
		c.ledger(disruption.OpComplete, u)
		return
	default: // it was over so long ago that it is not kept
		c.to(u, Rest)
		return
	}
	if c.s.Drain && !u.Back {
		return
	}
	l := c.v.Platform
	if l != nil {
		at := l.Find(u.Name)
		switch {
		case at != nil && at.State == supervisor.Exited && l.AtMS-at.SinceMS > exitWait:
			c.fails(u, cmp.Or(at.Exit, "it ended"))
			return
		case at == nil && l.Complete:
			c.to(u, Start)
			return
		}
	}
	if c.v.NowMS-u.SinceMS > riseWait {
		condition := disruption.Condition("not registered")
		if seen {
			condition = d.Condition
		}
		c.fails(u, fmt.Sprintf("it runs, but is %s after %d s", condition, riseWait/1000))
	}
}

// runs tells whether the platform lists a unit as one that is not over.
func (c *stepper) runs(u *Unit) bool {
	l := c.v.Platform
	if l == nil {
		return false
	}
	at := l.Find(u.Name)
	return at != nil && at.State != supervisor.Exited
}

// cancel gives a permit back before anything was stopped under it, and puts a server that drains into the list again.
func (c *stepper) cancel(u *Unit, p disruption.Permit, known bool) {
	d, seen := c.v.Unit(u.ID)
	switch {
	case !known || p.Stage == disruption.StageCancelled || p.Stage == disruption.StageCompleted:
		u.Why = ""
		c.to(u, Todo)
		return
	case c.s.ledgerKind() == disruption.KindServer:
		// Whether it drains already cannot be known from what is seen: it may have been told so a moment ago.
		c.do(Restore{u.ID})
	}
	switch {
	case !p.Aborted:
		c.ledger(disruption.OpCancel, u)
	case seen && d.Condition == disruption.ConditionUp:
		if c.s.ledgerKind() == disruption.KindSidecar {
			c.see(u, d)
		}
		c.ledger(disruption.OpComplete, u)
	}
}

// see tells the ledger that a sidecar under whose permit nothing was done runs on as before. The list tells of changes
// alone, and here there was none, so that no other evidence would ever come.
func (c *stepper) see(u *Unit, d disruption.Unit) {
	l := c.v.Platform
	if l == nil {
		return
	}
	if at := l.Find(u.Name); at != nil && at.State == supervisor.Running {
		c.do(Ledger{disruption.Op{Kind: disruption.OpObserve, Owner: Owner(c.s.Name),
			Observed: []disruption.Unit{{ID: u.ID, Condition: disruption.ConditionUp, TransitionRevision: d.TransitionRevision}}}})
	}
}

// fails notes a start that came to nothing. It is tried again; then the unit has failed.
func (c *stepper) fails(u *Unit, why string) {
	u.Fails++
	if u.Fails < maxFails && u.Calls < maxCalls {
		u.Why = why
		c.to(u, c.s.first())
		return
	}
	c.refuses(u, why)
}

// refuses notes a unit that cannot come up as it is wanted. On the way forward that halts the release, and the unit goes
// back at once; on the way back it is lost.
func (c *stepper) refuses(u *Unit, why string) {
	why = fmt.Sprintf("%s on %s: %s", u.ID, strings.TrimSpace(u.goal().Version+" "+u.goal().Config), why)
	if u.Back {
		u.Stage, u.Call, u.Why = Lost, nil, why
		return
	}
	*u = c.turn(*u)
	u.Why = why
	c.failed = append(c.failed, why)
}
