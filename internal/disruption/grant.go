package disruption

import (
	"fmt"
	"slices"
)

// asks is what the queue knows of a permit that waits. All of it follows from the ledger as it stands: it is found
// again after a restore, and is not saved.
type asks struct {
	stale   bool // one of its units has changed: takes and blocked are to be found again
	takes   []take
	zones   []*group        // of zones, whose news may let it through
	of      map[*group]take // takes by group
	unknown string          // a unit that the ledger does not know
	blocked string          // why one of its units cannot be had now
	holds   bool            // it holds back later ones that need the same room
	zoned   []*group        // of zones: it leaves one mostly out, and so needs the only place of that
}

// take is what a permit takes of one group.
type take struct {
	g       *group
	all     int // its units there
	serving int // of these, those that may still serve
	newly   int // of these, those that do not count as out yet
	cold    int64
	only    string // one of its units there
}

// agenda is the permits to look at, in the order of grants.
type agenda []*permit

func (a *agenda) add(p *permit) {
	if at, is := slices.BinarySearchFunc(*a, p, ahead); !is {
		*a = slices.Insert(*a, at, p)
	}
}

func (a *agenda) drop(p *permit) {
	if at, is := slices.BinarySearchFunc(*a, p, ahead); is {
		*a = slices.Delete(*a, at, at+1)
	}
}

// touch has those who wait for a group's room look again.
func (t *Table) touch(g *group) {
	for _, p := range g.waiting {
		t.todo.add(p)
	}
}

// queue has a permit wait; it is looked at in the next run.
func (t *Table) queue(p *permit) {
	p.asks = &asks{stale: true}
	for _, id := range p.mentions() {
		if t.wanted[id] == nil {
			t.wanted[id] = map[string]*permit{}
		}
		t.wanted[id][p.ID] = p
	}
	t.todo.add(p)
}

// mentions are its units and their stand-ins.
func (p *permit) mentions() []string {
	ids := slices.Clone(p.Units)
	for _, other := range p.Instead {
		ids = append(ids, other)
	}
	return ids
}

// unqueue ends a permit's waiting; those behind it look again.
func (t *Table) unqueue(p *permit) {
	groups := t.unindex(p)
	for _, id := range p.mentions() {
		delete(t.wanted[id], p.ID)
		if len(t.wanted[id]) == 0 {
			delete(t.wanted, id)
		}
	}
	p.asks = nil
	t.todo.drop(p)
	t.prune(groups)
}

// unindex takes a permit off the groups that it waits for.
func (t *Table) unindex(p *permit) []*group {
	a := p.asks
	groups := slices.Clone(a.zones)
	for _, take := range a.takes {
		groups = append(groups, take.g)
	}
	for _, g := range groups {
		if at, is := slices.BinarySearchFunc(g.waiting, p, ahead); is {
			g.waiting = slices.Delete(g.waiting, at, at+1)
		}
		t.touch(g)
	}
	a.takes, a.zones, a.of = nil, nil, map[*group]take{}
	return groups
}

// look finds what a waiting permit takes of each group.
func (t *Table) look(p *permit) {
	old := t.unindex(p)
	a := p.asks
	a.stale, a.unknown, a.blocked = false, "", ""
	at := map[*group]int{}
	for _, id := range p.Units {
		u := t.units[id]
		switch {
		case u == nil:
			a.unknown = id
			continue
		case u.holder != nil:
			a.blocked = fmt.Sprintf("%s is under permit %s", id, u.holder.ID)
		case t.stands[id] > 0 && u.serves():
			a.blocked = fmt.Sprintf("%s stands in for others under a permit", id)
		}
		if zones := t.groups[zonesKey(u.Kind)]; !slices.Contains(a.zones, zones) {
			a.zones = append(a.zones, zones)
		}
		for _, g := range u.groups {
			k, known := at[g]
			if !known {
				k = len(a.takes)
				at[g] = k
				a.takes = append(a.takes, take{g: g, only: id})
			}
			a.takes[k].put(u, p.End)
		}
	}
	for _, take := range a.takes {
		a.of[take.g] = take
		t.index(take.g, p)
	}
	for _, g := range a.zones {
		t.index(g, p)
	}
	t.prune(old)
}

func (k *take) put(u *unit, end End) {
	k.all++
	if u.serves() {
		k.serving++
		if !u.out() {
			k.newly++
		}
	}
	if !u.cold() && end != Retired {
		k.cold += u.size()
	}
}

func (t *Table) index(g *group, p *permit) {
	if at, is := slices.BinarySearchFunc(g.waiting, p, ahead); !is {
		g.waiting = slices.Insert(g.waiting, at, p)
	}
}

// needs tells whether a permit would take room of a group.
func (a *asks) needs(g *group) bool { return slices.Contains(a.zoned, g) || a.of[g].serving > 0 }

// verdict of a look at a permit that waits.
type verdict int

const (
	fits  verdict = iota
	later         // others have to come back, settle or end first
	never         // not as the fleet and the budgets are
)

// judge tells whether a permit can be granted now, and if not why. A permit that only lacks room holds back later
// ones that need the same room; one that is halted, can never be granted, or waits for a unit that is under another
// permit does not: who would wait behind it could wait for ever.
func (t *Table) judge(p *permit) (verdict, string) {
	a := p.asks
	a.holds, a.zoned = false, nil
	if a.unknown != "" {
		return never, a.unknown + " is not known"
	}
	room := ""
	var wide []Kind // of zones more than half of which it takes
	for k := range a.takes {
		take := &a.takes[k]
		if take.serving == 0 {
			continue
		}
		v, why := t.room(p, take)
		if v == never {
			return never, why
		}
		if g := take.g; g.kind != "" && 2*take.serving > g.all {
			if slices.Contains(wide, g.kind) {
				return never, "two zones would be out by more than half"
			}
			wide = append(wide, g.kind)
		}
		if g := take.g; g.kind != "" && 2*(g.out+take.newly) > g.all {
			zones := t.groups[zonesKey(g.kind)]
			if slices.Contains(a.zoned, zones) || zones.out > 1 || zones.out == 1 && !g.mostly() {
				v, why = later, fmt.Sprintf("%s would be out by more than half, as another zone is", g.key)
			}
			if !slices.Contains(a.zoned, zones) {
				a.zoned = append(a.zoned, zones)
			}
		}
		if v == later && room == "" {
			room = why
		}
	}
	if why := t.halted(p); why != "" {
		return later, why
	}
	if a.blocked != "" {
		return later, a.blocked
	}
	if why := t.unready(p); why != "" {
		return later, why
	}
	a.holds = true
	if why := t.behind(p); why != "" {
		return later, why
	}
	if room != "" {
		return later, room
	}
	return fits, ""
}

// room tells whether what a permit takes of one group fits there.
func (t *Table) room(p *permit, k *take) (verdict, string) {
	g := k.g
	if g.budget == nil {
		return t.wholly(p, k)
	}
	if limit, bound := g.budget.MaxOut.of(g.all); bound {
		if k.serving > limit {
			return never, fmt.Sprintf("%s allows %d out of %d, never %d", g.key, limit, g.all, k.serving)
		}
		if g.out+k.newly > limit {
			return later, fmt.Sprintf("%s: %d of %d are out, %d allowed", g.key, g.out, g.all, limit)
		}
	}
	if limit, bound := g.budget.MaxCold.ofSize(g.size, g.all); bound {
		if k.cold > limit {
			return never, fmt.Sprintf("%s allows %.3f of the capacity cold, never %.3f", g.key, part(limit, g), part(k.cold, g))
		}
		if g.cold+k.cold > limit {
			return later, fmt.Sprintf("%s: %.3f of the capacity is cold or will be, %.3f allowed", g.key, part(g.cold, g), part(limit, g))
		}
	}
	return fits, ""
}

func part(size int64, g *group) float64 { return float64(size) / float64(max(g.size, 1)) }

// wholly tells whether a permit leaves a built-in group without a unit that serves: a pod group, or the servers of a
// zone. Who is the only one there is taken out once another, that is Up elsewhere, carries what stood only there.
func (t *Table) wholly(p *permit, k *take) (verdict, string) {
	g := k.g
	switch {
	case !g.whole || p.Alone && g.all == 1:
		return fits, ""
	case g.all == 1:
		if p.Instead[k.only] == "" {
			return never, fmt.Sprintf("%s is the only one of %s, and nothing is named that stands in for it", k.only, g.key)
		}
		return fits, ""
	case k.all == g.all:
		return never, fmt.Sprintf("%s would be wholly out", g.key)
	case g.all-g.out-k.newly <= 0:
		return later, fmt.Sprintf("%s would be wholly out: %d of %d are", g.key, g.out, g.all)
	}
	return fits, ""
}

// unready names a stand-in that does not stand there.
func (t *Table) unready(p *permit) string {
	for _, id := range p.Units {
		if other := p.Instead[id]; other != "" {
			if s := t.units[other]; s == nil || s.out() {
				return fmt.Sprintf("%s, which is to stand in for %s, is not up", other, id)
			}
		}
	}
	return ""
}

// behind names an earlier permit that waits for room which this one would take.
func (t *Table) behind(p *permit) string {
	look := func(g *group) string {
		for _, q := range g.waiting {
			if q == p {
				break
			}
			if q.asks.holds && q.asks.needs(g) {
				return fmt.Sprintf("behind permit %s, which waits for %s", q.ID, g.key)
			}
		}
		return ""
	}
	for _, take := range p.asks.takes {
		if take.serving > 0 {
			if why := look(take.g); why != "" {
				return why
			}
		}
	}
	for _, g := range p.asks.zoned {
		if why := look(g); why != "" {
			return why
		}
	}
	return ""
}

// run goes through those who may have got room, in the order of grants, and grants what fits.
func (t *Table) run() {
	if doubted := t.doubt() != ""; doubted != t.doubted {
		t.doubted = doubted
		t.reconsider(func(*permit) bool { return true })
	}
	for len(t.todo) > 0 {
		p := t.todo[0]
		t.todo = t.todo[1:]
		if p.asks.stale {
			t.look(p)
			t.todo.drop(p) // its own leaving and entering of groups is no news to it
		}
		held, zoned := p.asks.holds, p.asks.zoned
		v, why := t.judge(p)
		p.Why = why
		if v == fits {
			t.grant(p)
			continue
		}
		gone := func(g *group) bool { return !slices.Contains(p.asks.zoned, g) }
		if held && (!p.asks.holds || slices.ContainsFunc(zoned, gone)) {
			for _, take := range p.asks.takes { // who stood behind it does so no more
				t.touchAfter(take.g, p)
			}
			for _, g := range p.asks.zones {
				t.touchAfter(g, p)
			}
		}
	}
	t.todo = nil
}

func (t *Table) touchAfter(g *group, p *permit) {
	for _, q := range g.waiting {
		if ahead(q, p) > 0 {
			t.todo.add(q)
		}
	}
}

// grant takes a permit's units out, all of them at once.
func (t *Table) grant(p *permit) {
	t.unqueue(p)
	p.Stage, p.GotAt, p.Why = Granted, t.rev, ""
	for _, id := range p.Units {
		t.change(t.units[id], func(u *unit) { u.holder = p })
	}
	t.stand(p, +1)
}

// stand keeps the stand-ins of a permit from being taken out, or no longer.
func (t *Table) stand(p *permit, sign int) {
	for _, other := range p.Instead {
		if t.stands[other] += sign; t.stands[other] == 0 {
			delete(t.stands, other)
		}
		t.renew(other)
	}
}

// free gives units of a permit back.
func (t *Table) free(p *permit, ids []string) {
	for _, id := range ids {
		if u := t.units[id]; u != nil && u.holder == p {
			t.change(u, func(u *unit) { u.holder = nil })
		}
	}
}

// doubt says why the fleet cannot be seen well enough to take anything further out; "" if it can.
func (t *Table) doubt() string {
	if t.frozen != "" {
		return t.frozen
	}
	if t.unseen > 0 {
		return fmt.Sprintf("%d units cannot be seen", t.unseen)
	}
	return ""
}

// halted says what keeps a permit back, whatever room there is. Ways back go on.
func (t *Table) halted(p *permit) string {
	if p.Rank == RankBack {
		return ""
	}
	if why := t.doubt(); why != "" {
		return "doubt: " + why
	}
	for k := range t.halts {
		if h := &t.halts[k]; t.covers(h, p) {
			return fmt.Sprintf("halt of %q by %s: %s", h.Scope, h.By, h.Why)
		}
	}
	return ""
}

func (t *Table) covers(h *Halt, p *permit) bool {
	if h.Scope == "" || h.Scope == p.Owner {
		return true
	}
	g := t.groups[h.Scope]
	if g == nil || g.budget == nil {
		return false
	}
	for _, id := range p.Units {
		if u := t.units[id]; u != nil && slices.Contains(u.groups, g) {
			return true
		}
	}
	return false
}

// reconsider has all who wait look again, and takes back what was granted but not begun and is now halted: its owner
// has not acted under it, and cannot any more, as a begin of what only waits is refused.
func (t *Table) reconsider(in func(*permit) bool) {
	for _, p := range t.sorted() {
		switch {
		case !in(p):
		case p.asks != nil:
			t.todo.add(p)
		case p.Stage == Granted && t.halted(p) != "":
			t.stand(p, -1)
			t.free(p, p.Units)
			p.Stage, p.GotAt = Asked, 0
			t.queue(p)
		}
	}
}
