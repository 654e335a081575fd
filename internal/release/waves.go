package release

import (
	"fmt"
	"math"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// phase decides about waves and ends.
func (c *stepper) phase() {
	if c.head.Phase != c.s.Head.Phase {
		return // what was just decided is written first
	}
	switch c.head.Phase {
	case Forward:
		c.forward()
	case Back:
		c.back()
	}
}

// forward sends units out within the limits, and goes on to the next wave once this one has come to rest and passes.
func (c *stepper) forward() {
	if c.head.Token != c.v.Token {
		c.head.BakeMS = 0 // another controller's watch is not known here
	}
	resting, todo := true, []int{}
	for i := range c.s.Units {
		u := c.at(i)
		switch {
		case u.Wave > c.head.Wave && !u.flying():
		case u.Back && (u.Stage == Todo || u.Stage == Rest): // a halt brought it back, and the release goes on
			u.Back, u.Why = false, ""
			c.reopen(i, u)
			resting = false
		case u.Stage == Todo:
			todo = append(todo, i)
			resting = false
		case u.Stage != Rest:
			resting = false
		case c.strayed(u):
			c.reopen(i, u)
			resting = false
		}
	}
	wave := plan.Wave{}
	if c.head.Wave < len(c.s.Plan.Waves) {
		wave = c.s.Plan.Waves[c.head.Wave]
	}
	if c.v.Verdict.Kind == judge.Silent && wave.Bake > 0 {
		return // silence holds: nothing further goes out until there is news
	}
	c.send(todo)
	if !resting {
		c.head.BakeMS = 0
		return
	}
	if c.head.BakeMS == 0 {
		c.head.BakeMS = max(c.v.NowMS, 1)
	}
	last := !slices.ContainsFunc(c.s.Units, func(u Unit) bool { return u.Wave > c.head.Wave })
	if float64(c.v.NowMS-c.head.BakeMS) < 1000*wave.Bake {
		return
	}
	switch {
	case last: // with the last wave there is no old version left to compare with: harm alone would have stopped it
		c.head.Phase, c.head.BakeMS = Done, 0
	case c.s.Drain || wave.Bake == 0 || c.v.Verdict.Kind == judge.Pass:
		c.head.Wave++
		c.head.BakeMS = 0
	case c.v.Verdict.Kind == judge.Wait:
		c.widen(wave)
	}
}

// widen takes one more unit into a wave that has met too little traffic for a verdict.
func (c *stepper) widen(w plan.Wave) {
	grown := 0
	for i := range c.s.Units {
		if u := c.s.Units[i]; u.Wave == c.head.Wave && u.Widened {
			grown++
		}
	}
	if grown >= w.Widen {
		return
	}
	for i := range c.s.Units {
		u := c.at(i)
		if u.Wave > c.head.Wave && u.Stage == Todo && (w.Zone == "" || w.Zone == u.Zone) {
			u.Wave, u.Widened = c.head.Wave, true
			c.put(i, u)
			c.head.BakeMS = 0
			return
		}
	}
}

// send has as many units ask for their permits as the release's own limits have room for. The way back may have twice
// as many out as the way forward: the fleet's budgets bound it all the same, and what it goes to is known.
func (c *stepper) send(todo []int) {
	room, cold := c.s.Plan.MaxOut(len(c.s.Units)), c.s.maxCold()
	if c.head.Phase == Back {
		room, cold = 2*room, 2*cold
	}
	for i := range c.s.Units {
		if u := c.at(i); u.flying() {
			room--
			cold -= u.Capacity
		}
	}
	for _, i := range todo {
		u := c.at(i)
		if room <= 0 || u.Capacity > cold+1e-9 {
			return
		}
		room--
		cold -= u.Capacity
		u.Try++
		u.AskedBack = u.Back
		u.Stage, u.SinceMS, u.Call, u.Why = Ask, c.v.NowMS, nil, ""
		c.put(i, u)
	}
}

// maxCold is the capacity of units that the release itself lets be out or cold at once.
func (s *State) maxCold() float64 {
	l, all := s.Plan.Limits.MaxCold, 0.0
	for i := range s.Units {
		all += s.Units[i].Capacity
	}
	out := math.Inf(1)
	if s.ledgerKind() != disruption.KindServer {
		return out
	}
	if l.Count != nil {
		out = float64(*l.Count) * all / float64(len(s.Units))
	}
	if l.Fraction != nil {
		out = min(out, *l.Fraction*all)
	}
	return out
}

// strayed tells whether a unit that has come to rest is found otherwise: the platform has stopped the wrong one, or
// somebody else has started it as something else.
func (c *stepper) strayed(u Unit) bool {
	l := c.v.Platform
	if l == nil || !l.Complete || u.Try >= maxTries || c.s.Drain && !u.Back || c.v.NowMS-u.SinceMS < startWait {
		return false
	}
	at := l.Find(u.Name)
	return at == nil || at.State == supervisor.Exited && l.AtMS-at.SinceMS > startWait || at.Version != u.goal().Version || at.ConfigName != u.goal().Config
}

func (c *stepper) reopen(i int, u Unit) {
	u.Stage, u.Fails = Todo, 0
	c.put(i, u)
}

// back sends what was touched back and ends when all is at rest. Where units are lost on the way, the old version may be
// broken too: after maxLost of them, or where those that are left get no permit any more, nothing further is taken out.
func (c *stepper) back() {
	var todo []int
	lost, flying, asking := 0, 0, 0
	for i := range c.s.Units {
		u := c.at(i)
		switch {
		case u.Stage == Lost:
			lost++
		case u.Stage == Todo && u.Back:
			todo = append(todo, i)
		case u.Stage == Ask:
			asking++
			flying++
		case u.flying():
			flying++
		default:
			u.Back = true // what was not touched was on Was too, unless the platform has done something to it
			if c.strayed(u) {
				c.reopen(i, u)
				return
			}
		}
	}
	switch stuck := lost > 0 && asking > 0 && flying == asking; {
	case lost >= maxLost || stuck && c.head.StuckMS != 0 && c.v.NowMS-c.head.StuckMS >= stuckWait:
		c.head.GaveUp = true
	case !stuck:
		c.head.StuckMS = 0
	case c.head.StuckMS == 0:
		c.head.StuckMS = max(c.v.NowMS, 1)
	}
	if !c.head.GaveUp {
		slices.Reverse(todo) // the last to go is the first to come back
		c.send(todo)
	}
	for i := range c.s.Units {
		if u := c.at(i); c.head.GaveUp && u.Stage == Ask {
			u.Stage, u.SinceMS = Cancel, c.v.NowMS
			c.put(i, u)
		}
	}
	if flying > 0 || len(todo) > 0 && !c.head.GaveUp {
		return
	}
	c.head.Stranded = c.stranded()
	if c.head.Phase = Backed; len(c.head.Stranded) > 0 {
		c.head.Phase = Stranded
	}
}

// stranded lists the units that are not known to run the old version.
func (c *stepper) stranded() []string {
	var out []string
	for i := range c.s.Units {
		u := c.at(i)
		switch {
		case u.Stage == Lost:
			out = append(out, u.Why+"; what permit it has is for an operator to settle")
		case u.Back && u.Stage != Rest:
			out = append(out, fmt.Sprintf("%s: still on %s, as the old version fails elsewhere", u.ID, u.To.Version+" "+u.To.Config))
		}
	}
	return out
}
