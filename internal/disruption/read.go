package disruption

import (
	"maps"
	"slices"
	"strings"
)

// Rev is the revision of the last change.
func (t *Table) Rev() uint64 { return t.rev }

// Permit gives a permit, as long as it is not over or is still kept.
func (t *Table) Permit(id string) (Permit, bool) {
	if p := t.live[id]; p != nil {
		return *clone(&p.Permit), true
	}
	if p := t.kept[id]; p != nil {
		return *clone(p), true
	}
	return Permit{}, false
}

// Permits are those that are not over, in the order of grants.
func (t *Table) Permits() []Permit {
	out := make([]Permit, 0, len(t.live))
	for _, p := range t.sorted() {
		out = append(out, *clone(&p.Permit))
	}
	return out
}

// Unit gives a unit.
func (t *Table) Unit(id string) (Unit, bool) {
	if u := t.units[id]; u != nil {
		return u.Unit, true
	}
	return Unit{}, false
}

// Units are all units, lost ones too, by id.
func (t *Table) Units() []Unit {
	out := make([]Unit, 0, len(t.units))
	for _, id := range slices.Sorted(maps.Keys(t.units)) {
		out = append(out, t.units[id].Unit)
	}
	return out
}

// In are the units of a condition, by id.
func (t *Table) In(c Condition) []Unit {
	var out []Unit
	for _, u := range t.units {
		if u.Condition == c {
			out = append(out, u.Unit)
		}
	}
	slices.SortFunc(out, func(a, b Unit) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Budgets are those that were set, by name.
func (t *Table) Budgets() []Budget {
	out := make([]Budget, 0, len(t.budgets))
	for _, n := range slices.Sorted(maps.Keys(t.budgets)) {
		out = append(out, *t.budgets[n].budget)
	}
	return out
}

// Halts are those in force, by scope.
func (t *Table) Halts() []Halt { return slices.Clone(t.halts) }

// Room is how a budget or a built-in rule stands.
type Room struct {
	Name        string  `json:"name"` // "budget/NAME", or of a built-in rule "pod/N", "zone/KIND/ZONE"
	All         int     `json:"all"`
	Out         int     `json:"out"`
	Allowed     int     `json:"allowed"`      // out at most
	Cold        float64 `json:"cold"`         // capacity that is cold, or out under a permit and cold when it is back
	ColdAllowed float64 `json:"cold_allowed"` // -1: no bound
	Capacity    float64 `json:"capacity"`
}

// View is the ledger as it is shown.
type View struct {
	Rev     uint64            `json:"rev"`
	Doubt   string            `json:"doubt,omitempty"` // why the fleet cannot be seen well enough to grant anything
	Counts  map[Condition]int `json:"counts"`          // units by condition
	Rooms   []Room            `json:"rooms"`
	Budgets []Budget          `json:"budgets"`
	Permits []Permit          `json:"permits"` // that are not over, in the order of grants
	Halts   []Halt            `json:"halts"`
	Units   []Unit            `json:"units"` // those that count as out; all where all are asked for
}

// View shows the ledger: its units all, or those alone that count as out.
func (t *Table) View(all bool) View {
	v := View{
		Rev: t.rev, Doubt: t.doubt(), Counts: map[Condition]int{}, Budgets: t.Budgets(), Permits: t.Permits(),
		Halts: append([]Halt{}, t.halts...), Units: []Unit{}, Rooms: []Room{},
	}
	for _, id := range slices.Sorted(maps.Keys(t.units)) {
		u := t.units[id]
		v.Counts[u.Condition]++
		if all || u.out() {
			v.Units = append(v.Units, u.Unit)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(t.groups), strings.Compare) {
		if g := t.groups[key]; g.budget != nil || g.whole {
			v.Rooms = append(v.Rooms, g.room())
		}
	}
	return v
}

func (g *group) room() Room {
	r := Room{Name: g.key, All: g.all, Out: g.out, Allowed: max(g.all-1, 0), ColdAllowed: -1}
	r.Cold, r.Capacity = float64(g.cold)/1000, float64(g.size)/1000
	if g.budget != nil {
		r.Allowed = g.all
		if limit, bound := g.budget.MaxOut.of(g.all); bound {
			r.Allowed = limit
		}
		if limit, bound := g.budget.MaxCold.ofSize(g.size, g.all); bound {
			r.ColdAllowed = float64(limit) / 1000
		}
	}
	return r
}
