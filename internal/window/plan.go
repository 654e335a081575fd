package window

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"milldeck/internal/window/hours"
)

const (
	// HorizonMS is how far ahead the planner looks: two months, so that each rule of a month is met.
	HorizonMS = 60 * aDayMS
	// aboutMS is how far about a start a contract's own hours are looked up: hours that are longer are cut.
	aboutMS = 8 * aDayMS
)

// Fleet is what is known of the servers: the tenants of each, by uid. A server of no tenant's belongs to all who have a
// contract.
type Fleet map[string][]string

// Wish is a window that is to be planned.
type Wish struct {
	Name    string
	Servers []string
	WorkMS  int64
	AfterMS int64 // not before
	FromMS  int64 // when it was proposed: notices run from there
}

// Plan is when a window may begin, and what the contracts approve of it.
type Plan struct {
	FromMS  int64
	CloseMS int64
	NeedMS  int64
	Grants  []Grant
}

// Forbidden says why there is no time for a window, and what comes nearest.
type Forbidden struct {
	Tenant    string // whose contract alone forbids it; "" where it takes more than one
	Why       string
	WithoutMS int64 // the earliest start if that contract did not; 0: none
	ShorterMS int64 // the longest work for which there is a time; 0: none
	ShorterAt int64 // and its start
}

func (f *Forbidden) Error() string {
	s := f.Why
	if f.WithoutMS != 0 {
		s += fmt.Sprintf("; without it from %s on", utc(f.WithoutMS))
	}
	if f.ShorterMS != 0 {
		s += fmt.Sprintf("; work of %s fits at %s", time.Duration(f.ShorterMS)*time.Millisecond, utc(f.ShorterAt))
	}
	return s
}

func utc(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// Planner finds times. It keeps the contracts' hours made ready. It is not safe for concurrent use.
type Planner struct {
	ready map[string]readied
}

type readied struct {
	version uint64
	hours   *hours.Hours
}

// NewPlanner is a planner that has seen no contract yet.
func NewPlanner() *Planner { return &Planner{ready: map[string]readied{}} }

// hours are a contract's, compiled once a version.
func (p *Planner) hours(c *Kept) (*hours.Hours, error) {
	if r, is := p.ready[c.Tenant]; is && r.version == c.Version {
		return r.hours, nil
	}
	h, err := c.Hours()
	if err != nil {
		return nil, fmt.Errorf("contract of %s: %w", c.Tenant, err)
	}
	p.ready[c.Tenant] = readied{c.Version, h}
	return h, nil
}

// Grant is what a contract approves at an instant (Unix ms); nil: nothing.
func (p *Planner) Grant(c *Kept, at int64, servers int) *Grant {
	h, err := p.hours(c)
	if err != nil {
		return nil
	}
	for _, i := range h.Between(at-aboutMS, at+aboutMS) {
		if i.From <= at && at < i.Until {
			return &Grant{c.Tenant, c.Version, i.From, i.Until, h.Months(i.From, i.Until+aDayMS), servers}
		}
	}
	return nil
}

// TenantsOf gives, sorted, whose contracts have to approve that the servers go, each with how many servers it has.
func (f Fleet) TenantsOf(t *Table, servers []string) map[string]int {
	out := map[string]int{}
	for _, uid := range servers {
		for _, tenant := range f.tenants(t, uid) {
			out[tenant] = 0
		}
	}
	for uid := range f {
		for _, tenant := range f.tenants(t, uid) {
			if _, is := out[tenant]; is {
				out[tenant]++
			}
		}
	}
	return out
}

func (f Fleet) tenants(t *Table, uid string) []string {
	if list := f[uid]; len(list) > 0 {
		return list
	}
	var all []string
	for _, c := range t.Contracts() {
		all = append(all, c.Tenant)
	}
	return all
}

// asked is one tenant's part in a search.
type asked struct {
	c       *Kept
	servers int
	hours   []hours.Interval
	ready   *hours.Hours
}

// Plan finds the earliest time for a wish from now on, or says who forbids it: then its error is a *Forbidden.
func (p *Planner) Plan(t *Table, f Fleet, w Wish, now int64) (*Plan, error) {
	for _, uid := range w.Servers {
		if _, is := f[uid]; !is {
			return nil, &Forbidden{Why: "there is no server " + uid}
		}
	}
	tenants := f.TenantsOf(t, w.Servers)
	names := sortedKeys(tenants)
	if len(names) == 0 {
		return nil, &Forbidden{Why: "there is no contract that could approve it"}
	}
	from := max(now, w.AfterMS)
	parts := make([]asked, 0, len(names))
	for _, name := range names {
		c := t.Contract(name)
		if c == nil {
			return nil, &Forbidden{Tenant: name, Why: "there is no contract of " + name}
		}
		ready, err := p.hours(c)
		if err != nil {
			return nil, &Forbidden{Tenant: name, Why: err.Error()}
		}
		from = max(from, w.FromMS+c.NoticeMS())
		parts = append(parts, asked{c: c, servers: tenants[name], ready: ready})
	}
	for i := range parts {
		parts[i].hours = parts[i].ready.Between(from, from+HorizonMS)
		if len(w.Servers) > mayGo(parts[i].servers, parts[i].c.LeastShare) {
			return nil, &Forbidden{Tenant: names[i], Why: fmt.Sprintf("contract of %s: %d of its %d servers are more than its least share of %v lets go",
				names[i], len(w.Servers), parts[i].servers, parts[i].c.LeastShare)}
		}
	}
	need := t.NeedMS(w.WorkMS) + GuardMS
	if at := p.earliest(t, parts, w, need, now); at != 0 {
		plan := &Plan{FromMS: at, NeedMS: need}
		for i := range parts {
			g := p.Grant(parts[i].c, at, parts[i].servers)
			if g == nil {
				return nil, &Forbidden{Tenant: names[i], Why: "contract of " + names[i] + ": its hours are longer than can be looked up"}
			}
			plan.Grants = append(plan.Grants, *g)
		}
		plan.CloseMS = firstClose(plan.Grants)
		return plan, nil
	}
	return nil, p.forbidden(t, parts, w, need, now)
}

// earliest is the first start at which so long a time is approved by all and taken by nobody; 0: none.
func (p *Planner) earliest(t *Table, parts []asked, w Wish, need, now int64) int64 {
	for _, i := range approved(t, parts, w, now) {
		for from := i.From; from+need <= i.Until; {
			next := overMinutes(t, parts, w, from, need, now)
			if next == 0 {
				return from
			}
			from = next
		}
	}
	return 0
}

// approved are the times that all contracts approve and no other window of theirs, or of a server, has taken.
func approved(t *Table, parts []asked, w Wish, now int64) []hours.Interval {
	if len(parts) == 0 {
		return nil
	}
	free := parts[0].hours
	for i := range parts[1:] {
		free = hours.Intersect(free, parts[i+1].hours)
	}
	taken := reservations(t, w.Name, now)
	var shut []hours.Interval
	for _, r := range taken {
		if share(r.w.Servers, w.Servers) {
			shut = append(shut, r.Interval)
		}
	}
	for i := range parts {
		shut = append(shut, crowded(&parts[i], taken, len(w.Servers))...)
	}
	slices.SortFunc(shut, func(a, b hours.Interval) int { return cmp.Compare(a.From, b.From) })
	return hours.Subtract(free, shut)
}

// reservation is the time that another window has, or will have.
type reservation struct {
	w *Window
	hours.Interval
}

func reservations(t *Table, but string, now int64) []reservation {
	var out []reservation
	for _, w := range t.Windows() {
		switch need := t.NeedMS(w.WorkMS); {
		case w.Name == but:
		case w.Out():
			out = append(out, reservation{w, hours.Interval{From: w.OutMS, Until: max(w.OutMS+w.NeedMS, now+t.ReturnMS())}})
		case w.Stage == Approved || w.Stage == Waiting:
			from := max(w.FromMS, min(now, w.CloseMS-need))
			out = append(out, reservation{w, hours.Interval{From: from, Until: from + need}})
		}
	}
	return out
}

// crowded are the times at which one more window of so many servers would be one too many for a tenant.
func crowded(a *asked, taken []reservation, servers int) []hours.Interval {
	var mine []reservation
	var edges []int64
	for _, r := range taken {
		if touches(r.w, a.c.Tenant) {
			mine = append(mine, r)
			edges = append(edges, r.From, r.Until)
		}
	}
	slices.Sort(edges)
	var out []hours.Interval
	for i := 1; i < len(edges); i++ {
		windows, gone := 1, servers
		for _, r := range mine {
			if r.From <= edges[i-1] && edges[i-1] < r.Until {
				windows++
				gone += len(r.w.Servers)
			}
		}
		if windows > a.c.WindowsAtOnce || gone > mayGo(a.servers, a.c.LeastShare) {
			out = append(out, hours.Interval{From: edges[i-1], Until: edges[i]})
		}
	}
	return out
}

// overMinutes gives 0 where all tenants have the minutes for a window at from, and else the next start worth a look.
func overMinutes(t *Table, parts []asked, w Wish, from, need, now int64) int64 {
	for i := range parts {
		a := &parts[i]
		for _, m := range a.ready.Months(from, from+need) {
			spent := t.spentMS(a.c.Tenant, m.Name, now) + min(m.Until, from+need) - max(m.From, from)
			for _, other := range t.Windows() {
				if other.Name != w.Name && (other.Stage == Approved || other.Stage == Waiting) && touches(other, a.c.Tenant) {
					spent += max(0, min(m.Until, other.FromMS+t.NeedMS(other.WorkMS))-max(m.From, other.FromMS))
				}
			}
			if spent > int64(a.c.MinutesAMonth)*60_000 {
				return max(m.Until, from+1)
			}
		}
	}
	return 0
}

// forbidden finds out whose contract alone is in the way, and what shorter work would fit.
func (p *Planner) forbidden(t *Table, parts []asked, w Wish, need, now int64) *Forbidden {
	f := &Forbidden{Why: "the contracts approve no such time together"}
	if len(parts) == 1 {
		f.Tenant, f.Why = parts[0].c.Tenant, "contract of "+parts[0].c.Tenant+" forbids it"
	}
	for i := range parts {
		if len(parts) == 1 {
			break
		}
		others := slices.Delete(slices.Clone(parts), i, i+1)
		if at := p.earliest(t, others, w, need, now); at != 0 && (f.WithoutMS == 0 || at < f.WithoutMS) {
			f.Tenant, f.Why, f.WithoutMS = parts[i].c.Tenant, "contract of "+parts[i].c.Tenant+" forbids it", at
		}
	}
	const minute = 60_000
	rest := need - w.WorkMS
	lo, hi := int64(0), w.WorkMS/minute // work of lo minutes fits, of hi does not
	for lo+1 < hi {
		mid := (lo + hi) / 2
		if p.earliest(t, parts, w, rest+mid*minute, now) != 0 {
			lo = mid
		} else {
			hi = mid
		}
	}
	if lo > 0 {
		f.ShorterMS, f.ShorterAt = lo*minute, p.earliest(t, parts, w, rest+lo*minute, now)
	}
	return f
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
