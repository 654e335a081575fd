package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Table is the ledger. It is not safe for concurrent use.
type Table struct {
	rev     uint64
	units   map[string]*unit
	at      map[string][]string // lost servers by their endpoint, sorted
	lost    int
	unseen  int
	groups  map[string]*group // budgets and built-in rules, by key
	budgets map[string]*group
	live    map[string]*permit // permits that are not over
	kept    map[string]*Permit // those that are
	order   []string           // of kept, oldest first
	halts   []Halt             // sorted by scope and by
	frozen  string
	doubted bool                          // frozen, or a unit is unseen: as it was when the queue was last gone through
	stands  map[string]int                // by unit: permits under which it stands in for others
	wanted  map[string]map[string]*permit // permits that wait, by each unit that they name and by their id
	todo    agenda
}

// unit is a unit with what the ledger counts of it.
type unit struct {
	Unit
	groups []*group
	holder *permit // under which it is out
}

// group is a budget or a built-in rule, with its sums. Sums are whole numbers: they are the same in whatever order
// they came to be, so a replica that was restored from a snapshot decides like one that was there all along.
type group struct {
	key     string
	budget  *Budget // nil of a built-in rule
	kind    Kind    // of a zone: whose units; else ""
	whole   bool    // never wholly out
	zones   bool    // of all zones of a kind
	all     int
	out     int
	size    int64 // thousandths of capacity
	cold    int64
	waiting []*permit // that name one of its units, in the order of grants
}

// permit is a permit that is not over, with what the queue knows of it.
type permit struct {
	Permit
	settled map[string]bool
	asks    *asks // nil unless it waits
}

// New is the empty ledger.
func New() *Table {
	return &Table{
		units: map[string]*unit{}, at: map[string][]string{}, groups: map[string]*group{}, budgets: map[string]*group{},
		live: map[string]*permit{}, kept: map[string]*Permit{}, stands: map[string]int{}, wanted: map[string]map[string]*permit{},
	}
}

// thousandths of a capacity, at least one.
func (u *Unit) size() int64 {
	c := u.Capacity
	if !(c > 0) {
		c = 1
	}
	return max(int64(math.Round(1000*min(c, maxCapacity))), 1)
}

// out tells whether a unit counts as out.
func (u *unit) out() bool { return u.Condition != Up || u.holder != nil }

// cold tells whether its capacity counts as cold: it is, or it is out under a permit and will be when it is back.
func (u *unit) cold() bool {
	return u.Condition == Cold || u.holder != nil && (u.holder.End != Retired || u.holder.Undone)
}

// serves tells whether a permit for the unit takes something away that may still serve.
func (u *unit) serves() bool {
	return u.holder == nil && (u.Condition == Up || u.Condition == Cold || u.Condition == Unseen)
}

// mostly tells whether more than half of a zone's units are out.
func (g *group) mostly() bool { return 2*g.out > g.all }

func zoneKey(k Kind, zone string) string { return "zone/" + string(k) + "/" + zone }

// zonesKey is the group of all zones of a kind: its sums count zones, and those of them that are mostly out.
func zonesKey(k Kind) string { return "zones/" + string(k) }

func (t *Table) group(key string, make func() *group) *group {
	g := t.groups[key]
	if g == nil {
		g = make()
		g.key = key
		t.groups[key] = g
	}
	return g
}

// groupsOf finds what a unit belongs to, in a fixed order.
func (t *Table) groupsOf(u *Unit) []*group {
	zone := t.group(zoneKey(u.Kind, u.Zone), func() *group { return &group{kind: u.Kind, whole: u.Kind == Server} })
	t.group(zonesKey(u.Kind), func() *group { return &group{zones: true} })
	out := []*group{zone}
	if u.Kind == Server {
		out = append(out, t.group(fmt.Sprintf("pod/%d", u.Pod), func() *group { return &group{whole: true} }))
	}
	for _, b := range slices.Sorted(maps.Keys(t.budgets)) {
		if g := t.budgets[b]; g.budget.Select.Selects(u) {
			out = append(out, g)
		}
	}
	return out
}

// count adds a unit to the sums of its groups or takes it off.
func (t *Table) count(u *unit, sign int) {
	switch u.Condition {
	case Lost:
		t.lost += sign
	case Unseen:
		t.unseen += sign
	}
	for _, g := range u.groups {
		before := g.mostly()
		t.sum(g, u, sign)
		if g.kind != "" && g.mostly() != before {
			zones := t.groups[zonesKey(g.kind)]
			if before {
				zones.out--
			} else {
				zones.out++
			}
			t.touch(zones)
		}
	}
}

func (t *Table) sum(g *group, u *unit, sign int) {
	g.all += sign
	g.size += int64(sign) * u.size()
	if u.out() {
		g.out += sign
	}
	if u.cold() {
		g.cold += int64(sign) * u.size()
	}
	t.touch(g)
}

// change changes a unit and keeps sums and indexes right. A group that has lost its last unit is dropped, unless it
// is a budget or somebody waits for it.
func (t *Table) change(u *unit, do func(u *unit)) {
	t.count(u, -1)
	before, groups := u.Unit, u.groups
	do(u)
	if before.Zone != u.Zone || before.Pod != u.Pod || before.Version != u.Version || before.Model != u.Model ||
		!slices.Equal(before.Tenants, u.Tenants) {
		u.groups = t.groupsOf(&u.Unit)
	}
	t.count(u, +1)
	if before.Condition == Lost && (u.Condition != Lost || before.Endpoint != u.Endpoint) {
		t.leave(before.Endpoint, u.ID)
	}
	if u.Condition == Lost && (before.Condition != Lost || before.Endpoint != u.Endpoint) && u.Endpoint != "" {
		ids := append(t.at[u.Endpoint], u.ID)
		slices.Sort(ids)
		t.at[u.Endpoint] = ids
	}
	t.renew(u.ID)
	t.prune(groups)
}

// renew has those who wait for a unit look at it again.
func (t *Table) renew(id string) {
	for _, p := range t.wanted[id] {
		p.asks.stale = true
		t.todo.add(p)
	}
}

func (t *Table) leave(endpoint, id string) {
	ids := slices.DeleteFunc(t.at[endpoint], func(x string) bool { return x == id })
	if len(ids) == 0 {
		delete(t.at, endpoint)
		return
	}
	t.at[endpoint] = ids
}

func (t *Table) prune(groups []*group) {
	for _, g := range groups {
		if g.budget == nil && !g.zones && g.all == 0 && len(g.waiting) == 0 {
			delete(t.groups, g.key)
		}
	}
}

// add takes a new unit in.
func (t *Table) add(n Unit) *unit {
	u := &unit{Unit: n}
	u.groups = t.groupsOf(&u.Unit)
	t.units[u.ID] = u
	t.count(u, +1)
	if u.Condition == Lost && u.Endpoint != "" {
		t.at[u.Endpoint] = append(t.at[u.Endpoint], u.ID)
		slices.Sort(t.at[u.Endpoint])
	}
	t.renew(u.ID)
	return u
}

// remove takes a unit out that is under no permit.
func (t *Table) remove(u *unit) {
	t.count(u, -1)
	if u.Condition == Lost {
		t.leave(u.Endpoint, u.ID)
	}
	delete(t.units, u.ID)
	t.renew(u.ID)
	t.prune(u.groups)
}

// Saved is the ledger as it is kept in a snapshot.
type Saved struct {
	Rev     uint64    `json:"rev"`
	Units   []Unit    `json:"units"`
	Budgets []Budget  `json:"budgets"`
	Permits []*Permit `json:"permits"` // those that are over first, oldest first; the rest in the order of grants
	Halts   []Halt    `json:"halts,omitempty"`
	Frozen  string    `json:"frozen,omitempty"`
}

// Save gives the whole ledger, in a fixed order. What it holds is shared with the ledger until that is next changed.
func (t *Table) Save() Saved {
	s := Saved{Rev: t.rev, Units: t.Units(), Budgets: t.Budgets(), Halts: slices.Clone(t.halts), Frozen: t.frozen, Permits: []*Permit{}}
	for _, id := range t.order {
		s.Permits = append(s.Permits, t.kept[id])
	}
	for _, p := range t.sorted() {
		s.Permits = append(s.Permits, &p.Permit)
	}
	return s
}

func (t *Table) sorted() []*permit {
	return slices.SortedFunc(maps.Values(t.live), ahead)
}

// ahead is the order of grants.
func ahead(a, b *permit) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.AskedAt, b.AskedAt), strings.Compare(a.ID, b.ID))
}

// Load makes a ledger of what was saved, or says what cannot be in it. It grants nothing.
func Load(s Saved) (*Table, error) {
	t := New()
	t.rev, t.frozen, t.halts = s.Rev, s.Frozen, slices.Clone(s.Halts)
	for k := range s.Budgets {
		b := s.Budgets[k]
		if err := b.Check(); err != nil {
			return nil, fmt.Errorf("budgets[%d]: %w", k, err)
		}
		g := t.group(ofBudget+b.Name, func() *group { return &group{budget: &b} })
		t.budgets[b.Name] = g
	}
	for k, u := range s.Units {
		if u.ID == "" || t.units[u.ID] != nil {
			return nil, fmt.Errorf("units[%d]: %q is empty or twice there", k, u.ID)
		}
		t.add(u)
	}
	for k, p := range s.Permits {
		if p == nil || p.ID == "" || t.live[p.ID] != nil || t.kept[p.ID] != nil {
			return nil, fmt.Errorf("permits[%d]: it is empty or twice there", k)
		}
		if err := t.loadPermit(clone(p)); err != nil {
			return nil, fmt.Errorf("permits[%d]: %w", k, err)
		}
	}
	for _, p := range t.sorted() {
		if p.asks != nil {
			t.look(p)
			t.judge(p)
		}
	}
	t.todo, t.doubted = nil, t.doubt() != ""
	return t, nil
}

func (t *Table) loadPermit(p *Permit) error {
	l := &permit{Permit: *p, settled: map[string]bool{}}
	for _, id := range p.Settled {
		l.settled[id] = true
	}
	switch p.Stage {
	case Settled, Cancelled:
		t.kept[p.ID] = p
		t.order = append(t.order, p.ID)
	case Asked:
		t.live[p.ID] = l
		t.queue(l)
	case Granted, Out, Returning:
		t.live[p.ID] = l
		for _, id := range p.Units {
			u := t.units[id]
			switch {
			case l.settled[id]:
			case u == nil || u.holder != nil:
				return fmt.Errorf("%s is not known, or under two permits", id)
			default:
				t.change(u, func(u *unit) { u.holder = l })
			}
		}
		t.stand(l, +1)
	default:
		return fmt.Errorf("%q is no stage", p.Stage)
	}
	return nil
}

func clone(p *Permit) *Permit {
	c := *p
	c.Units, c.Settled, c.Instead = slices.Clone(p.Units), slices.Clone(p.Settled), maps.Clone(p.Instead)
	return &c
}
