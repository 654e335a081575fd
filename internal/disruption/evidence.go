package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// doubter is who halts by what the ledger itself cannot see.
const doubter = "doubt"

func byScope(a, b Halt) int {
	return cmp.Or(strings.Compare(a.Scope, b.Scope), strings.Compare(a.By, b.By))
}

// Register takes in a unit as whoever keeps the list of its kind has it: Up, Unready or Draining, or Unseen where it is
// held back from expiry. What is warm is not in the list. A server that is new, or has started again, is Cold until it
// was found Up, but only where there is any budget; one whose start was long ago (BootMS 0) is Up.
func (t *Table) Register(rev uint64, n Unit) {
	t.rev = rev
	old := t.units[n.ID]
	same := old != nil && old.BootMS == n.BootMS
	n.Rev, n.Seen, n.For, n.Next = rev, rev, "", ""
	n.Warm = n.Kind != Server || n.BootMS == 0 || len(t.budgets) == 0
	if old != nil {
		n.For = old.For
	}
	if same {
		n.Warm = old.Warm || n.Kind != Server
	}
	if n.Kind == Server && n.Condition == Up {
		switch {
		case same && (old.Condition == Up || old.Condition == Cold || old.Condition == Unready):
			n.Condition = old.Condition // the list does not know better
		case !n.Warm:
			n.Condition = Cold
		}
	}
	t.put(old, n)
	t.run()
}

// put sets a unit. Its Rev rises where its condition, its life or its version is another: where it stands and how large
// it is are no news of whether it is out.
func (t *Table) put(old *unit, n Unit) {
	if old == nil {
		t.arrive(n)
		return
	}
	was := &old.Unit
	n.Rev = was.Rev
	if was.Condition != n.Condition || was.BootMS != n.BootMS || was.Version != n.Version {
		n.Rev = t.rev
	} else if equal(was, &n) {
		was.Seen = n.Seen
		return
	}
	t.change(old, func(u *unit) { u.Unit = n })
}

// equal tells whether two units differ in nothing but what put sees to, and in when they were seen.
func equal(a, b *Unit) bool {
	return a.Zone == b.Zone && a.Model == b.Model && a.Pod == b.Pod && a.Capacity == b.Capacity && a.Endpoint == b.Endpoint &&
		a.Warm == b.Warm && a.For == b.For && a.Next == b.Next && slices.Equal(a.Tenants, b.Tenants)
}

// arrive takes in a unit that is not known. A lost server at the same endpoint is gone for good: its place is taken.
func (t *Table) arrive(n Unit) {
	if len(t.units) >= MaxUnits {
		t.addHalt(Halt{Scope: "", By: doubter, Why: fmt.Sprintf("%s is not counted: there are %d units", n.ID, len(t.units)), Rev: t.rev})
		return
	}
	if n.Endpoint != "" && n.Condition != Lost {
		for _, id := range slices.Clone(t.at[n.Endpoint]) {
			if u := t.units[id]; u.holder != nil {
				t.change(u, func(u *unit) { u.Next = n.ID })
			} else {
				t.remove(u)
			}
		}
	}
	t.add(n)
}

// See sets a unit as it is, for a state that knows all of it.
func (t *Table) See(rev uint64, n Unit) {
	t.rev = rev
	n.Seen, n.Rev = rev, rev
	old := t.units[n.ID]
	if old != nil {
		n.For, n.Next = old.For, old.Next
	}
	t.put(old, n)
	t.run()
}

// Unsee marks units whose leases have run out but are held back: nothing is known of them. It freezes all grants until
// the last of them was registered, lost or forgotten.
func (t *Table) Unsee(rev uint64, id string) { t.condition(rev, id, Unseen) }

// Lose marks a unit whose lease has ended. It stays, and counts as out.
func (t *Table) Lose(rev uint64, id string) {
	t.condition(rev, id, Lost)
	if t.lost > MaxLost {
		t.dropLost()
	}
}

func (t *Table) condition(rev uint64, id string, c Condition) {
	u := t.units[id]
	if u == nil || u.Condition == c || u.Condition == Lost {
		return
	}
	t.rev = rev
	t.change(u, func(u *unit) { u.Condition, u.Rev, u.Seen = c, rev, rev })
	t.run()
}

// dropLost forgets the longest lost unit under no permit. The fleet is halted: what is out is not all counted any more.
func (t *Table) dropLost() {
	var oldest *unit
	for _, u := range t.units {
		if u.Condition == Lost && u.holder == nil &&
			(oldest == nil || cmp.Or(cmp.Compare(u.Rev, oldest.Rev), strings.Compare(u.ID, oldest.ID)) < 0) {
			oldest = u
		}
	}
	if oldest == nil {
		return // permits hold so many at most
	}
	t.addHalt(Halt{Scope: "", By: doubter, Why: fmt.Sprintf("over %d units are lost: forget or replace them", MaxLost), Rev: t.rev})
	t.remove(oldest)
	t.run()
}

// Leave takes out a unit that was deregistered by its own word. Under a permit it stays as lost until that ends.
func (t *Table) Leave(rev uint64, id string) {
	u := t.units[id]
	switch {
	case u == nil:
	case u.holder != nil:
		t.Lose(rev, id)
	default:
		t.rev = rev
		t.remove(u)
		t.run()
	}
}

// Freeze keeps all grants back because the fleet cannot be seen, until Thaw; nobody is freed by it. Units that are
// Unseen freeze by themselves.
func (t *Table) Freeze(rev uint64, why string) {
	t.rev, t.frozen = rev, cmp.Or(why, "frozen")
	t.run()
}

// Thaw ends a freeze.
func (t *Table) Thaw(rev uint64) {
	t.rev, t.frozen = rev, ""
	t.run()
}

// found takes in what somebody found of units that are registered: whether they are up, cold or not ready. It does not
// overrule the list: who is lost, unseen or draining stays so. A revision that is named must still be the unit's: what
// was found of an earlier life says nothing of this one.
func (t *Table) found(seen []Unit) (Outcome, string) {
	stale := 0
	for k := range seen {
		n, u := &seen[k], t.units[seen[k].ID]
		if u == nil || n.Rev != 0 && n.Rev != u.Rev {
			stale++
			continue
		}
		if u.Condition != Up && u.Condition != Cold && u.Condition != Unready {
			stale++
			continue
		}
		next := u.Unit
		next.Condition, next.Warm, next.Seen = n.Condition, n.Condition == Up, t.rev
		t.put(u, next)
	}
	if stale > 0 {
		return Done, fmt.Sprintf("%d of %d were left as they are: unknown, changed since, or out by the list", stale, len(seen))
	}
	return Done, ""
}

// settle ends units of a permit for which there is evidence; all of those named or none. None named are all that are left.
func (t *Table) settle(p *permit, op *Op) (Outcome, string) {
	if p.Stage == Asked || p.Stage == Granted {
		return Refused, fmt.Sprintf("permit %s has not begun: cancel it", p.ID)
	}
	ids := op.Units
	if len(ids) == 0 {
		ids = p.left()
	}
	used := map[string]string{}
	var todo []string
	for _, id := range ids {
		if !slices.Contains(p.Units, id) {
			return Refused, fmt.Sprintf("%s is not of permit %s", id, p.ID)
		}
		if p.settled[id] {
			continue
		}
		by, why := t.evidence(p, t.units[id], op.Successors[id])
		if why != "" {
			return Refused, why
		}
		if by != "" && used[by] != "" {
			return Refused, fmt.Sprintf("%s is to replace both %s and %s", by, used[by], id)
		}
		if by != "" {
			used[by] = id
		}
		todo = append(todo, id)
	}
	for _, by := range slices.Sorted(maps.Keys(used)) {
		t.change(t.units[by], func(u *unit) { u.For = used[by] })
	}
	t.end(p, todo, Settled)
	for _, id := range todo { // who is out of the list and was to go, or was replaced, is no more
		if u := t.units[id]; u.Condition == Lost && u.holder == nil {
			t.remove(u)
		}
	}
	return Done, ""
}

// evidence tells whether what is known of a unit ends it under its permit, and who stands in its place, or why not.
func (t *Table) evidence(p *permit, u *unit, successor string) (by, why string) {
	back := u.Condition == Up && (u.Rev > p.OutAt || p.Stage == Returning && u.Seen > p.BackAt)
	if back && (p.End == ComesBack || p.Undone) {
		return "", ""
	}
	if p.End == Retired {
		if u.Condition == Lost {
			return "", ""
		}
		return "", fmt.Sprintf("%s is %s, not out of the list", u.ID, u.Condition)
	}
	if successor = cmp.Or(successor, u.Next); successor == "" {
		return "", fmt.Sprintf("%s is %s since revision %d, and nothing is named in its place", u.ID, u.Condition, u.Rev)
	}
	s := t.units[successor]
	switch {
	case u.Condition != Lost:
		return "", fmt.Sprintf("%s is %s, not out of the list", u.ID, u.Condition)
	case s == nil || s.Condition != Up || s.holder != nil:
		return "", fmt.Sprintf("%s, in place of %s, is not up", successor, u.ID)
	case s.Kind != u.Kind || slices.Contains(p.Units, successor):
		return "", fmt.Sprintf("%s cannot be in place of %s", successor, u.ID)
	case s.For != "":
		return "", fmt.Sprintf("%s is in place of %s already", successor, s.For)
	}
	return successor, ""
}

// Doubt halts the fleet until an operator has looked: what is out may not be what the ledger says.
func (t *Table) Doubt(rev uint64, why string) {
	t.rev = rev
	t.addHalt(Halt{Scope: "", By: doubter, Why: why, Rev: rev})
	t.run()
}
