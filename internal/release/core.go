package release

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
)

// Limits of patience, in ms. All are far above what a healthy unit or platform takes, and only their order matters: what
// runs out of them is tried again or counts as failed, never as done.
const (
	callWait  = 5_000   // from a call's answer to some sign of it in the platform's list
	stopWait  = 15_000  // from SIGTERM to another call to stop: beyond the platform's usual grace of 10 s
	startWait = 60_000  // from the call to start until the unit has been ready once
	riseWait  = 180_000 // from then until it is registered, ready and warm
	exitWait  = 3_000   // that a unit which was started may be seen exited: the platform may start it again by itself
	stuckWait = 120_000 // without a grant on a way back that has lost a unit
	// maxFails is how many starts may come to nothing before a unit counts as failed: the first may be the platform's fault.
	maxFails = 2
	// maxLost is how many units may be lost on the way back before nothing further is taken out for it: the old version
	// is broken too, and what still serves on the new one is left there.
	maxLost = 2
	// maxCalls bounds the calls for one unit: a platform that does nothing of what it says is no platform.
	maxCalls = 40
	// maxTries bounds how often a unit that came to rest and is found otherwise is taken up again.
	maxTries = 8
)

// View is what is seen of the fleet at one moment. What could not be seen is nil, and is no news.
type View struct {
	NowMS    int64
	Token    uint64 // of the duty, under which this controller writes
	Permits  func(id string) (disruption.Permit, bool)
	Unit     func(id string) (disruption.Unit, bool)
	Platform *supervisor.List
	Answers  map[string]supervisor.Outcome  // the platform's, by request id, as far as they arrived here
	Made     func(id string) bool           // what stood only there is ready elsewhere
	Empty    func(id string) bool           // proof: all sidecars that live have the list that drains it, and nothing open there
	Running  func(id string) (Image, bool)  // what a sidecar itself says that it runs
	Refused  func(id, config string) string // why a sidecar refused a configuration; "" if it did not
	Denied   map[string]string              // why the ledger refused to take in a permit that was asked for, by its id
	Verdict  judge.Verdict                  // of the wave that is watched; none where Kind is ""
	Commands []Command
}

// Effect is something to be done: Ledger, Do, Prepare, Terminate, Restore or Write.
type Effect any

// Ledger is an operation for the ledger.
type Ledger struct{ Op disruption.Op }

// Do is a request for the platform. Where it launches or reloads, its configuration's text is for who carries it out.
type Do struct{ Request supervisor.Request }

// Prepare has what stands only on a unit made ready elsewhere.
type Prepare struct{ Unit string }

// Terminate sets a server to Terminating in the list; Restore sets it to Ready again.
type (
	Terminate struct{ Unit string }
	Restore   struct{ Unit string }
)

// Write puts a step into the log, under the token. It is the last effect of a step.
type Write struct{ Delta Delta }

// Step tells what is to be done now, and what is to be written then. It changes nothing; nothing to do gives none.
func (s *State) Step(v *View) []Effect {
	c := &stepper{s: s, v: v, head: s.Head}
	if s.Head.Token != v.Token {
		c.takeOver()
	}
	c.commands()
	c.guards()
	if !s.Head.Phase.Over() {
		for i := range s.Units {
			c.unit(i)
		}
	}
	if len(c.failed) > 0 && c.head.Phase == Forward {
		c.halt("guard", c.failed[0], s.Plan.OnHalt)
	}
	c.phase()
	if d := c.delta(); d != nil {
		c.effects = append(c.effects, Write{*d})
	}
	return c.effects
}

// takeOver begins all patience anew: the clock that wrote the times may have been another.
func (c *stepper) takeOver() {
	for i := range c.s.Units {
		if u := c.s.Units[i]; u.flying() {
			u.SinceMS = c.v.NowMS
			c.put(i, u)
		}
	}
}

// stepper is one step under way. What it does follows from s, as it is written; what it decides goes into head and next.
type stepper struct {
	s       *State
	v       *View
	head    Head
	next    map[int]Unit
	failed  []string // units that did not come up on the new version
	effects []Effect
}

// at is a unit as it will be written.
func (c *stepper) at(i int) Unit {
	if u, changed := c.next[i]; changed {
		return u
	}
	return c.s.Units[i]
}

func (c *stepper) put(i int, u Unit) {
	if c.next == nil {
		c.next = map[int]Unit{}
	}
	c.next[i] = u
}

func (c *stepper) do(e Effect) { c.effects = append(c.effects, e) }

func (c *stepper) delta() *Delta {
	d := &Delta{Seq: c.s.Seq}
	for i := range c.s.Units {
		if u, changed := c.next[i]; changed && !same(u, c.s.Units[i]) {
			d.Units = append(d.Units, u)
		}
	}
	c.head.Token = c.v.Token
	if !slices.Equal(c.head.Stranded, c.s.Head.Stranded) || !sameHead(c.head, c.s.Head) {
		h := c.head
		d.Head = &h
	}
	if d.Head == nil && len(d.Units) == 0 {
		return nil
	}
	return d
}

func same(a, b Unit) bool {
	if (a.Call == nil) != (b.Call == nil) || a.Call != nil && *a.Call != *b.Call {
		return false
	}
	a.Call, b.Call = nil, nil
	return a == b
}

func sameHead(a, b Head) bool {
	return a.Phase == b.Phase && a.Wave == b.Wave && a.BakeMS == b.BakeMS && a.Token == b.Token && a.Commands == b.Commands &&
		a.By == b.By && a.Why == b.Why && a.Final == b.Final && a.StuckMS == b.StuckMS && a.GaveUp == b.GaveUp
}

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
		case cmd.What == CmdFinalize && p.Over():
			c.head.Final = true
		}
	}
}

// guards halts by what is seen: a verdict of harm, a unit that does not come up, the deadline.
func (c *stepper) guards() {
	if c.head.Phase != Forward {
		return
	}
	if c.v.Verdict.Kind == judge.Harm {
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
	if c.v.Verdict.Kind == judge.Silent {
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
	wave := plan.Wave{}
	if c.head.Wave < len(c.s.Plan.Waves) {
		wave = c.s.Plan.Waves[c.head.Wave]
	}
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
	if s.ledgerKind() != disruption.Server {
		return out
	}
	if l.Count != nil {
		out = float64(*l.Count) * all / float64(len(s.Units))
	}
	if l.Share != nil {
		out = min(out, *l.Share*all)
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
	return at == nil || at.State == supervisor.Exited && l.AtMS-at.SinceMS > startWait || at.Version != u.goal().Version || at.Config != u.goal().Config
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
