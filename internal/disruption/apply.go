package disruption

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Apply takes one operation in. Rev is its place in the log, which only grows. The owner's duty and token have been
// checked; the rest is checked here, on every replica alike. Refused, it has changed nothing.
func (t *Table) Apply(rev uint64, op *Op) (Outcome, string) {
	if op == nil {
		return Refused, "no operation"
	}
	if err := op.Check(); err != nil {
		return Refused, err.Error()
	}
	before := t.rev
	t.rev = rev
	outcome, why := t.apply(op)
	if outcome != Done {
		t.rev = before
		return outcome, why
	}
	t.run()
	return Done, why
}

func (t *Table) apply(op *Op) (Outcome, string) {
	switch op.Kind {
	case OpBudget:
		return t.setBudget(op)
	case OpAsk:
		return t.ask(op.Permit)
	case OpHalt:
		return t.halt(op)
	case OpResume:
		return t.resume(op)
	case OpSee:
		return t.found(op.Seen)
	case OpForget:
		return t.forget(op.Units)
	}
	p, over := t.live[op.Permit.ID], t.kept[op.Permit.ID]
	owner := ""
	switch {
	case p != nil:
		owner = p.Owner
	case over != nil:
		owner = over.Owner
	default:
		return NotFound, "there is no permit " + op.Permit.ID
	}
	if op.Kind != OpRelease && op.Owner != owner {
		return Refused, fmt.Sprintf("permit %s is %s's, not %s's", op.Permit.ID, owner, op.Owner)
	}
	if over != nil {
		return repeated(op, over)
	}
	switch op.Kind {
	case OpBegin:
		return t.begin(p)
	case OpReturn:
		return t.goBack(p)
	case OpCancel:
		return t.cancel(p)
	case OpSettle:
		return t.settle(p, op)
	default: // OpRelease
		stage := Settled
		if p.Stage == Asked {
			stage = Cancelled
		}
		t.end(p, p.left(), stage)
		return Done, ""
	}
}

// repeated answers an operation about a permit that is over: what it asks for has come about, or cannot any more.
func repeated(op *Op, p *Permit) (Outcome, string) {
	switch {
	case op.Kind == OpBegin, op.Kind == OpReturn, op.Kind == OpSettle && p.Stage == Cancelled:
		return Refused, fmt.Sprintf("permit %s is %s", p.ID, p.Stage)
	}
	return Done, ""
}

func (t *Table) setBudget(op *Op) (Outcome, string) {
	b := *op.Budget
	switch old := t.budgets[b.Name]; {
	case op.Drop && old == nil:
		return NotFound, "there is no budget " + b.Name
	case op.Drop:
		delete(t.budgets, b.Name)
		delete(t.groups, old.key)
	case old == nil && len(t.budgets) >= MaxBudgets:
		return TooMany, fmt.Sprintf("there are %d budgets", len(t.budgets))
	default:
		g := &group{key: ofBudget + b.Name, budget: &b}
		t.budgets[b.Name], t.groups[g.key] = g, g
	}
	// All are counted anew: budgets change seldom.
	for _, id := range slices.Sorted(maps.Keys(t.units)) {
		u := t.units[id]
		t.count(u, -1)
		u.groups = t.groupsOf(&u.Unit)
		t.count(u, +1)
	}
	for _, p := range t.live {
		if p.asks != nil {
			p.asks.stale = true
			t.todo.add(p)
		}
	}
	t.reconsider(func(*permit) bool { return true }) // a halt of that budget may hold others now
	return Done, ""
}

// ask takes in a permit. A repeat is the same one; what can never be granted is refused.
func (t *Table) ask(in *Permit) (Outcome, string) {
	old := t.kept[in.ID]
	if p := t.live[in.ID]; p != nil {
		old = &p.Permit
	}
	if old != nil {
		if !same(old, in) {
			return Refused, fmt.Sprintf("permit %s is there with another content", in.ID)
		}
		return Done, ""
	}
	if len(t.live) >= MaxPermits {
		return TooMany, fmt.Sprintf("%d permits are not over", len(t.live))
	}
	c := clone(in)
	c.Stage, c.Settled, c.AskedAt, c.GotAt, c.Why, c.OutAt, c.BackAt, c.Undone = Asked, nil, t.rev, 0, "", 0, 0, false
	p := &permit{Permit: *c, settled: map[string]bool{}}
	t.queue(p)
	t.look(p)
	if v, why := t.judge(p); v == never {
		unknown := p.asks.unknown != ""
		t.unqueue(p)
		t.todo = nil // nobody has got room by a permit that never waited
		if unknown {
			return NotFound, why
		}
		return Refused, why
	}
	t.live[p.ID] = p
	return Done, ""
}

func same(a, b *Permit) bool {
	return a.Owner == b.Owner && a.Purpose == b.Purpose && a.Rank == b.Rank && a.End == b.End && a.Alone == b.Alone &&
		slices.Equal(a.Units, b.Units) && maps.Equal(a.Instead, b.Instead)
}

// begin is written before the first act under a permit. What a halt has taken back is refused.
func (t *Table) begin(p *permit) (Outcome, string) {
	switch p.Stage {
	case Asked:
		return Refused, fmt.Sprintf("permit %s is not granted: %s", p.ID, p.Why)
	case Granted:
		p.Stage, p.OutAt = Out, t.rev
	case Returning:
		return Refused, fmt.Sprintf("permit %s comes back already", p.ID)
	}
	return Done, ""
}

func (t *Table) goBack(p *permit) (Outcome, string) {
	switch p.Stage {
	case Asked, Granted:
		return Refused, fmt.Sprintf("permit %s has not begun", p.ID)
	case Out:
		p.Stage, p.BackAt = Returning, t.rev
	}
	return Done, ""
}

// cancel ends a permit under which nothing was taken out. One that has begun comes back: only evidence ends it.
func (t *Table) cancel(p *permit) (Outcome, string) {
	switch p.Stage {
	case Asked, Granted:
		t.end(p, p.left(), Cancelled)
	default:
		if p.Stage == Out {
			p.Stage, p.BackAt = Returning, t.rev
		}
		t.undo(p)
	}
	return Done, ""
}

// undo notes that a permit has no purpose any more. What comes back will be cold, whatever it was for.
func (t *Table) undo(p *permit) {
	ids := p.left()
	for _, id := range ids {
		t.count(t.units[id], -1)
	}
	p.Undone = true
	for _, id := range ids {
		t.count(t.units[id], +1)
	}
}

// left are a permit's units that nothing has ended yet.
func (p *permit) left() []string {
	var out []string
	for _, id := range p.Units {
		if !p.settled[id] {
			out = append(out, id)
		}
	}
	return out
}

// end ends some of a permit's units, and the permit with the last of them.
func (t *Table) end(p *permit, ids []string, stage Stage) {
	if p.asks != nil {
		t.unqueue(p)
	} else {
		t.free(p, ids)
	}
	for _, id := range ids {
		p.settled[id] = true
		if stage == Settled {
			p.Settled = append(p.Settled, id)
		}
	}
	if len(p.settled) < len(p.Units) {
		return
	}
	if p.Stage != Asked {
		t.stand(p, -1)
	}
	p.Stage, p.Why = stage, ""
	delete(t.live, p.ID)
	t.kept[p.ID] = clone(&p.Permit)
	t.order = append(t.order, p.ID)
	if len(t.order) > MaxKept {
		delete(t.kept, t.order[0])
		t.order = t.order[1:]
	}
}

// halt keeps grants back, and takes back what was granted but not begun.
func (t *Table) halt(op *Op) (Outcome, string) {
	if b, is := strings.CutPrefix(op.Halt.Scope, ofBudget); is && t.budgets[b] == nil {
		return NotFound, "there is no budget " + b
	}
	h := Halt{Scope: op.Halt.Scope, By: op.Owner, Why: op.Halt.Why, Rev: t.rev}
	return t.addHalt(h)
}

func (t *Table) addHalt(h Halt) (Outcome, string) {
	at, is := slices.BinarySearchFunc(t.halts, h, byScope)
	if is {
		return Done, "" // it is halted already; the first reason stays
	}
	if len(t.halts) >= MaxHalts {
		return TooMany, fmt.Sprintf("there are %d halts", len(t.halts))
	}
	t.halts = slices.Insert(t.halts, at, h)
	t.reconsider(func(p *permit) bool { return t.covers(&h, p) })
	return Done, ""
}

// resume lifts the halts of a scope: an operator all of them, others their own.
func (t *Table) resume(op *Op) (Outcome, string) {
	n := len(t.halts)
	t.halts = slices.DeleteFunc(t.halts, func(h Halt) bool {
		return h.Scope == op.Halt.Scope && (Operator(op.Owner) || h.By == op.Owner)
	})
	if len(t.halts) < n {
		t.reconsider(func(*permit) bool { return true })
	}
	return Done, ""
}

// forget drops lost units that are under no permit; all of those named or none.
func (t *Table) forget(ids []string) (Outcome, string) {
	for _, id := range ids {
		switch u := t.units[id]; {
		case u == nil:
			return NotFound, id + " is not known"
		case u.Condition != Lost:
			return Refused, fmt.Sprintf("%s is %s, not lost", id, u.Condition)
		case u.holder != nil:
			return Refused, fmt.Sprintf("%s is under permit %s: release that first", id, u.holder.ID)
		}
	}
	for _, id := range ids {
		t.remove(t.units[id])
	}
	return Done, ""
}
