package release

import (
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
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
