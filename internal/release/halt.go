package release

import (
	"cmp"
	"fmt"

	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// commands takes in what operators have said since, in their order.
func (c *stepper) commands() {
	for ; c.head.Commands < len(c.v.Commands); c.head.Commands++ {
		cmd := c.v.Commands[c.head.Commands]
		switch p := c.head.Phase; {
		case cmd.What == CmdHalt && p == Forward:
			c.halt(cmd.By, cmp.Or(cmd.Why, "by hand"), plan.Hold)
		case cmd.What == CmdResume && p == Held:
			c.head.Phase, c.head.By, c.head.Why, c.head.BakeMS = Forward, "", "", 0
		case cmd.What == CmdBack && (p == Forward || p == Held || p == Done) && !c.head.Final:
			c.halt(cmd.By, cmp.Or(cmd.Why, "by hand"), plan.Back)
		}
	}
}

// guards halts by what is seen: a verdict of harm, a unit that does not come up, the deadline.
func (c *stepper) guards() {
	if c.head.Phase != Forward {
		return
	}
	if c.v.Verdict.Kind == judge.Harm && !c.s.Drain {
		c.halt("guard", c.v.Verdict.Why, c.s.Plan.OnHalt)
		return
	}
	if float64(c.v.NowMS-c.s.StartMS) > 1000*c.s.Plan.Deadline {
		c.halt("guard", fmt.Sprintf("the deadline of %v s is over", c.s.Plan.Deadline), c.s.Plan.OnHalt)
	}
}

// halt stops the way forward at once. What has not been stopped yet comes back; what was stopped starts as it was; what
// has been started already is left to come up, but where everything goes back.
func (c *stepper) halt(by, why, then string) {
	c.head.By, c.head.Why, c.head.BakeMS, c.head.StuckMS = by, why, 0, 0
	c.head.Phase = Held
	if then == plan.Back && !c.s.Drain {
		c.head.Phase = Back
	}
	for i := range c.s.Units {
		u := c.at(i)
		switch {
		case c.head.Phase == Back:
			c.put(i, c.turn(u))
		case u.Stage == Start || u.Stage == Reload || u.Stage == Rise || c.s.Drain && u.Stage == Stop:
		case u.flying():
			c.put(i, c.turn(u))
		}
	}
}

// turn sends a unit back, from wherever it is.
func (c *stepper) turn(u Unit) Unit {
	if u.Back {
		return u
	}
	switch u.Stage {
	case Todo:
		return u
	case Ask, Make, Begin, Drain, Cancel:
		// Its permit is given back. What it runs was not touched.
		u.Stage = Cancel
		return u
	case Rest, Lost:
		u.Stage = Todo // by a permit of its own
	default: // the permit that it is under is for this too
		u.Stage = c.s.first()
	}
	u.Back, u.Fails, u.Call, u.SinceMS = true, 0, nil, c.v.NowMS
	return u
}
