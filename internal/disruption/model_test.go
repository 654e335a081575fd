package disruption

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
)

// model is the ledger written down as simply as can be: all sums are counted anew for each question, and after each
// operation all that wait are gone through from the first until nothing more is granted.
type model struct {
	rev     uint64
	units   map[string]Unit
	permits map[string]Permit // over ones too
	budgets map[string]Budget
	halts   []Halt
	frozen  bool
	asking  *Permit // that is tried: its units count as under it
}

func newModel() *model {
	return &model{units: map[string]Unit{}, permits: map[string]Permit{}, budgets: map[string]Budget{}}
}

func (m *model) clone() *model {
	c := *m
	c.units, c.permits, c.budgets, c.halts = maps.Clone(m.units), maps.Clone(m.permits), maps.Clone(m.budgets), slices.Clone(m.halts)
	return &c
}

func (p *Permit) active() bool { return p.Stage == Granted || p.Stage == Out || p.Stage == Returning }

func (m *model) holder(id string) *Permit {
	if p := m.asking; p != nil && slices.Contains(p.Units, id) {
		return p
	}
	for _, p := range m.permits {
		if p.active() && slices.Contains(p.Units, id) && !slices.Contains(p.Settled, id) {
			return &p
		}
	}
	return nil
}

func (m *model) out(u Unit) bool { return u.Condition != Up || m.holder(u.ID) != nil }

func (m *model) serving(u Unit) bool {
	return m.holder(u.ID) == nil && (u.Condition == Up || u.Condition == Cold || u.Condition == Unseen)
}

func (m *model) cold(u Unit) bool {
	h := m.holder(u.ID)
	return u.Condition == Cold || h != nil && (h.End != Retired || h.Undone)
}

// of gives the units of a group: of a zone, a pod group or a budget.
func (m *model) of(in func(u *Unit) bool) []Unit {
	var out []Unit
	for _, id := range slices.Sorted(maps.Keys(m.units)) {
		if u := m.units[id]; in(&u) {
			out = append(out, u)
		}
	}
	return out
}

func (m *model) outOf(list []Unit) int {
	n := 0
	for _, u := range list {
		if m.out(u) {
			n++
		}
	}
	return n
}

func (m *model) zone(u *Unit) []Unit {
	return m.of(func(v *Unit) bool { return v.Kind == u.Kind && v.Zone == u.Zone })
}

// after gives how it would be with the permit granted.
func (m *model) after(p Permit) *model {
	c := m.clone()
	c.asking = &p
	return c
}

// can tells whether a permit can be granted but for those before it; which groups it needs; and whether it waits for
// room alone, so that it holds back others.
func (m *model) can(p Permit) (ok, ever, holds bool, needs map[string]bool) {
	ever, needs = true, map[string]bool{}
	var mine []Unit
	free := true
	for _, id := range p.Units {
		u, is := m.units[id]
		if !is {
			return false, false, false, needs
		}
		mine = append(mine, u)
		free = free && m.holder(id) == nil && !(m.serving(u) && m.standsIn(id))
	}
	then, fit := m.after(p), true
	serving := func(in func(*Unit) bool) (n int) {
		for _, u := range mine {
			if in(&u) && m.serving(u) {
				n++
			}
		}
		return n
	}
	for name, b := range m.budgets {
		in := func(u *Unit) bool { return b.Select.Selects(u) }
		n := serving(in)
		if n == 0 {
			continue
		}
		needs["budget/"+name] = true
		list := m.of(in)
		if limit, bound := b.MaxOut.of(len(list)); bound {
			ever, fit = ever && n <= limit, fit && then.outOf(list) <= limit
		}
		size, now, cold := int64(0), int64(0), int64(0)
		for _, u := range list {
			size += u.size()
			if m.cold(u) {
				now += u.size()
			}
			if then.cold(u) {
				cold += u.size()
			}
		}
		if limit, bound := b.MaxCold.ofSize(size, len(list)); bound {
			ever, fit = ever && cold-now <= limit, fit && cold <= limit
		}
	}
	for _, u := range mine {
		if !m.serving(u) {
			continue
		}
		zone := m.zone(&u)
		key := string(u.Kind) + " " + u.Zone
		needs["zone "+key] = true
		groups := [][]Unit{zone}
		if u.Kind == Server {
			needs[fmt.Sprint("pod ", u.Pod)] = true
			groups = append(groups, m.of(func(v *Unit) bool { return v.Kind == Server && v.Pod == u.Pod }))
			for _, g := range groups {
				in := len(slices.DeleteFunc(slices.Clone(g), func(v Unit) bool { return !slices.Contains(p.Units, v.ID) }))
				switch {
				case len(g) == 1:
					ever = ever && (p.Alone || p.Instead[u.ID] != "")
				case in == len(g):
					ever = false
				default:
					fit = fit && then.outOf(g) < len(g)
				}
			}
		}
		if 2*then.outOf(zone) > len(zone) {
			needs["zones "+string(u.Kind)] = true
			for _, v := range m.units {
				if v.Kind == u.Kind && v.Zone != u.Zone && 2*then.outOf(m.zone(&v)) > len(m.zone(&v)) {
					fit = false
				}
			}
		}
	}
	kinds := map[Kind]map[string]bool{Server: {}, Sidecar: {}}
	for _, u := range mine {
		if n := serving(func(v *Unit) bool { return v.Kind == u.Kind && v.Zone == u.Zone }); 2*n > len(m.zone(&u)) {
			kinds[u.Kind][u.Zone] = true
		}
	}
	ever = ever && len(kinds[Server]) < 2 && len(kinds[Sidecar]) < 2
	stands := true
	for _, other := range p.Instead {
		s, is := m.units[other]
		stands = stands && is && !m.out(s)
	}
	holds = ever && free && stands && !m.halted(p)
	return holds && fit, ever, holds, needs
}

func (m *model) standsIn(id string) bool {
	for _, p := range m.permits {
		if p.active() {
			for _, other := range p.Instead {
				if other == id {
					return true
				}
			}
		}
	}
	return false
}

func (m *model) halted(p Permit) bool {
	if p.Rank == RankBack {
		return false
	}
	for _, u := range m.units {
		if u.Condition == Unseen {
			return true
		}
	}
	for _, h := range m.halts {
		if h.Scope == "" || h.Scope == p.Owner {
			return true
		}
		for name, b := range m.budgets {
			for _, id := range p.Units {
				if u, is := m.units[id]; is && h.Scope == "budget/"+name && b.Select.Selects(&u) {
					return true
				}
			}
		}
	}
	return m.frozen
}

func (m *model) waiting() []Permit {
	var out []Permit
	for _, p := range m.permits {
		if p.Stage == Asked {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return a.Rank < b.Rank || a.Rank == b.Rank && a.AskedAt < b.AskedAt
	})
	return out
}

// settle takes back what is halted and grants until nothing more fits.
func (m *model) settle() {
	for id, p := range m.permits {
		if p.Stage == Granted && m.halted(p) {
			p.Stage = Asked
			m.permits[id] = p
		}
	}
again:
	for {
		var before []map[string]bool
		for _, p := range m.waiting() {
			ok, _, holds, needs := m.can(p)
			for _, other := range before {
				for key := range needs {
					ok = ok && !other[key]
				}
			}
			if ok {
				p.Stage = Granted
				m.permits[p.ID] = p
				continue again
			}
			if holds {
				before = append(before, needs)
			}
		}
		return
	}
}

// apply does an operation and says its outcome.
func (m *model) apply(op *Op) Outcome {
	if op.Check() != nil {
		return Refused
	}
	var p Permit
	switch op.Kind {
	case OpAsk, OpBegin, OpReturn, OpCancel, OpSettle, OpRelease:
		p = m.permits[op.Permit.ID]
		if op.Kind != OpAsk && p.ID == "" {
			return NotFound
		}
		if op.Kind != OpAsk && op.Kind != OpRelease && op.Owner != p.Owner {
			return Refused
		}
	}
	over := p.Stage == Settled || p.Stage == Cancelled
	begun := p.Stage == Out || p.Stage == Returning
	switch op.Kind {
	case OpBudget:
		_, is := m.budgets[op.Budget.Name]
		if op.Drop {
			delete(m.budgets, op.Budget.Name)
		} else {
			m.budgets[op.Budget.Name] = *op.Budget
		}
		if op.Drop && !is {
			return NotFound
		}
	case OpAsk:
		if p.ID != "" {
			if !same(&p, op.Permit) {
				return Refused
			}
			return Done
		}
		n := *op.Permit
		n.Stage, n.AskedAt = Asked, m.rev
		for _, id := range n.Units {
			if _, is := m.units[id]; !is {
				return NotFound
			}
		}
		if _, ever, _, _ := m.can(n); !ever {
			return Refused
		}
		m.permits[n.ID] = n
	case OpBegin:
		if p.Stage != Granted && p.Stage != Out {
			return Refused
		}
		if p.Stage == Granted {
			p.Stage, p.OutAt = Out, m.rev
		}
	case OpReturn, OpCancel:
		switch {
		case over && op.Kind == OpCancel:
			return Done
		case over, !begun && op.Kind == OpReturn:
			return Refused
		case !begun:
			p.Stage = Cancelled
		default:
			if p.Stage == Out {
				p.Stage, p.BackAt = Returning, m.rev
			}
			p.Undone = p.Undone || op.Kind == OpCancel
		}
	case OpSettle:
		if over && p.Stage == Settled {
			return Done
		}
		if !begun || !m.ends(&p, op) {
			return Refused
		}
	case OpRelease:
		switch {
		case over:
			return Done
		case p.Stage == Asked:
			p.Stage = Cancelled
		default:
			p.Stage, p.Settled = Settled, p.Units
		}
	case OpHalt:
		if m.budgets["a"].Name == "" && op.Halt.Scope == "budget/a" {
			return NotFound
		}
		if !slices.ContainsFunc(m.halts, func(h Halt) bool { return h.Scope == op.Halt.Scope && h.By == op.Owner }) {
			m.halts = append(m.halts, Halt{Scope: op.Halt.Scope, By: op.Owner})
		}
	case OpResume:
		m.halts = slices.DeleteFunc(m.halts, func(h Halt) bool {
			return h.Scope == op.Halt.Scope && (Operator(op.Owner) || h.By == op.Owner)
		})
	case OpForget:
		for _, id := range op.Units {
			switch u, is := m.units[id]; {
			case !is:
				return NotFound
			case u.Condition != Lost || m.holder(id) != nil:
				return Refused
			}
		}
		for _, id := range op.Units {
			delete(m.units, id)
		}
	}
	if p.ID != "" {
		m.permits[p.ID] = p
	}
	return Done
}

// ends takes the evidence for units of a permit.
func (m *model) ends(p *Permit, op *Op) bool {
	ids, used := op.Units, map[string]string{}
	if len(ids) == 0 {
		ids = p.Units
	}
	var now, gone []string
	for _, id := range ids {
		if !slices.Contains(p.Units, id) {
			return false
		}
		if slices.Contains(p.Settled, id) {
			continue
		}
		u, by := m.units[id], m.units[op.Successors[id]]
		back := u.Condition == Up && (u.Rev > p.OutAt || p.Stage == Returning && u.Seen > p.BackAt) && (p.End == ComesBack || p.Undone)
		left := p.End == Retired && u.Condition == Lost
		other := p.End != Retired && u.Condition == Lost && by.ID != "" && !m.out(by) && by.For == "" && used[by.ID] == "" &&
			by.Kind == u.Kind && !slices.Contains(p.Units, by.ID)
		if !back && !left && !other {
			return false
		}
		now = append(now, id)
		if !back {
			gone = append(gone, id)
			if other {
				used[by.ID] = id
			}
		}
	}
	p.Settled = append(slices.Clone(p.Settled), now...)
	if len(p.Settled) == len(p.Units) {
		p.Stage = Settled
	}
	for by, id := range used {
		u := m.units[by]
		u.For = id
		m.units[by] = u
	}
	for _, id := range gone {
		delete(m.units, id)
	}
	return true
}

// differs says where the ledger is not what the model says.
func (m *model) differs(t *Table) error {
	if got, want := t.Units(), m.of(func(*Unit) bool { return true }); !sameJSON(got, append([]Unit{}, want...)) {
		return fmt.Errorf("units are %s, not %s", text2(got), text2(want))
	}
	for id, want := range m.permits {
		got, is := t.Permit(id)
		if !is || got.Stage != want.Stage || !slices.Equal(got.Settled, want.Settled) {
			return fmt.Errorf("permit %s is %s, not %s", id, text2(got), text2(want))
		}
		for _, u := range want.Units { // nobody else has it
			if h := t.units[u]; want.active() && !slices.Contains(want.Settled, u) && (h == nil || h.holder == nil || h.holder.ID != id) {
				return fmt.Errorf("%s is not under permit %s", u, id)
			}
		}
	}
	for _, r := range t.View(false).Rooms {
		if g := t.groups[r.Name]; g.budget != nil {
			list := m.of(func(u *Unit) bool { b := m.budgets[g.budget.Name]; return b.Select.Selects(u) })
			if r.All != len(list) || r.Out != m.outOf(list) {
				return fmt.Errorf("%s: %d of %d out, not %d of %d", r.Name, r.Out, r.All, m.outOf(list), len(list))
			}
		}
	}
	return nil
}

func text2(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func sameJSON(a, b any) bool { return text2(a) == text2(b) }
