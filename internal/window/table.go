package window

import (
	"cmp"
	"maps"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/window/hours"
)

// Table is all contracts, windows and minutes. It is not safe for concurrent use.
type Table struct {
	contracts map[string]*Kept
	windows   map[string]*Window
	halts     map[string]string           // why, by scope
	used      map[string]map[string]int64 // ms out, by tenant and month
	drains    []int64                     // ms, the newest last: what drains took
	returns   []int64
	nowMS     int64  // the latest logged time: it never runs back
	token     uint64 // the highest that wrote: lower ones count no more
	doubt     string // why the last step's times were not trusted; "" where they were
	rev       uint64

	set  []placement.Directive // by the operation that is being applied
	drop []string

	// Permit looks up the ledger's permit as it stands when a drain is applied; nil: not asked.
	Permit func(id string) (disruption.Stage, bool)
}

// New is an empty table.
func New() *Table {
	return &Table{contracts: map[string]*Kept{}, windows: map[string]*Window{}, halts: map[string]string{},
		used: map[string]map[string]int64{}}
}

// Saved is a table as it is kept in a snapshot.
type Saved struct {
	Contracts []*Kept                     `json:"contracts,omitempty"`
	Windows   []*Window                   `json:"windows,omitempty"`
	Halts     map[string]string           `json:"halts,omitempty"`
	Used      map[string]map[string]int64 `json:"used,omitempty"`
	Drains    []int64                     `json:"drains,omitempty"`
	Returns   []int64                     `json:"returns,omitempty"`
	NowMS     int64                       `json:"now_ms,omitempty"`
	Token     uint64                      `json:"token,omitempty"`
	Doubt     string                      `json:"doubt,omitempty"`
	Rev       uint64                      `json:"rev"`
}

// Save gives the whole table, in order. Its windows and contracts are shared: nobody changes them.
func (t *Table) Save() *Saved {
	s := &Saved{Halts: maps.Clone(t.halts), Drains: slices.Clone(t.drains), Returns: slices.Clone(t.returns),
		NowMS: t.nowMS, Token: t.token, Doubt: t.doubt, Rev: t.rev, Used: map[string]map[string]int64{},
		Contracts: t.Contracts(), Windows: t.Windows()}
	for tenant, months := range t.used {
		s.Used[tenant] = maps.Clone(months)
	}
	return s
}

// Load puts a table back, as Save gave it; nil is an empty one.
func Load(s *Saved) *Table {
	t := New()
	if s == nil {
		return t
	}
	for _, c := range s.Contracts {
		t.contracts[c.Tenant] = c
	}
	for _, w := range s.Windows {
		t.windows[w.Name] = w
	}
	maps.Copy(t.halts, s.Halts)
	for tenant, months := range s.Used {
		t.used[tenant] = maps.Clone(months)
	}
	t.drains, t.returns = slices.Clone(s.Drains), slices.Clone(s.Returns)
	t.nowMS, t.token, t.doubt, t.rev = s.NowMS, s.Token, s.Doubt, s.Rev
	return t
}

// Rev is the revision of the last change.
func (t *Table) Rev() uint64 { return t.rev }

// NowMS is the latest logged time.
func (t *Table) NowMS() int64 { return t.nowMS }

// InDoubt says why the last step's times were not trusted, or "".
func (t *Table) InDoubt() string { return t.doubt }

// Windows gives all windows by name. They are shared: nobody changes them.
func (t *Table) Windows() []*Window {
	out := make([]*Window, 0, len(t.windows))
	for _, name := range slices.Sorted(maps.Keys(t.windows)) {
		out = append(out, t.windows[name])
	}
	return out
}

// Window is one window, or nil. It is shared: nobody changes it.
func (t *Table) Window(name string) *Window { return t.windows[name] }

// Contracts gives the contracts in force by tenant. They are shared: nobody changes them.
func (t *Table) Contracts() []*Kept {
	out := make([]*Kept, 0, len(t.contracts))
	for _, name := range slices.Sorted(maps.Keys(t.contracts)) {
		out = append(out, t.contracts[name])
	}
	return out
}

// Contract is one tenant's contract in force, or nil.
func (t *Table) Contract(tenant string) *Kept { return t.contracts[tenant] }

// Halts gives why, by scope.
func (t *Table) Halts() map[string]string { return maps.Clone(t.halts) }

// UsedMS is what a tenant's windows were out in a month, as far as they are back.
func (t *Table) UsedMS(tenant, month string) int64 { return t.used[tenant][month] }

// Entries are what sidecars are told of a window, by tenant; none where they are told nothing.
func (t *Table) Entries(w *Window) []placement.Directive {
	if w.ToldMS == 0 {
		return nil
	}
	var out []placement.Directive
	for _, g := range w.Grants {
		c := t.contracts[g.Tenant]
		if c == nil || c.Version != g.Version || w.ToldMS > g.CloseMS-GuardMS {
			continue
		}
		out = append(out, placement.Directive{ID: entryID(w.Name, g.Tenant), Kind: placement.KindExclude, Tenant: g.Tenant,
			Servers: w.Servers, MinAvailable: c.LeastShare, ExpiresAtMS: w.ToldMS})
	}
	return out
}

func entryID(window, tenant string) string { return "window/" + window + "/" + tenant }

// tell works out which entries an operation has changed.
func (t *Table) tell(old, w *Window) {
	was, is := map[string]bool{}, map[string]bool{}
	if old != nil {
		for _, g := range old.Grants {
			was[entryID(old.Name, g.Tenant)] = old.ToldMS != 0
		}
	}
	for _, e := range t.Entries(w) {
		is[e.ID] = true
		if old == nil || old.ToldMS != w.ToldMS {
			t.set = append(t.set, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(was)) {
		if was[id] && !is[id] {
			t.drop = append(t.drop, id)
		}
	}
}

// forget drops the windows that ended longest ago, beyond what is kept.
func (t *Table) forget() {
	if len(t.windows) <= MaxEnded {
		return
	}
	var ended []*Window
	for _, w := range t.windows {
		if w.Ended() {
			ended = append(ended, w)
		}
	}
	if len(ended) <= MaxEnded {
		return
	}
	slices.SortFunc(ended, func(a, b *Window) int { return cmp.Or(cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Name, b.Name)) })
	for _, w := range ended[:len(ended)-MaxEnded] {
		delete(t.windows, w.Name)
	}
}

// count adds the time from a to b (Unix ms) to what the window's tenants have used, by their own months.
func (t *Table) count(w *Window, a, b int64) {
	for i := range w.Grants {
		g := &w.Grants[i]
		for _, m := range monthsOf(g, a, b) {
			used := t.used[g.Tenant]
			if used == nil {
				used = map[string]int64{}
				t.used[g.Tenant] = used
			}
			used[m.Name] += m.Until - m.From
			if len(used) > MaxMonths {
				delete(used, slices.Min(slices.Collect(maps.Keys(used))))
			}
		}
	}
}

// monthsOf parts [a, b) by a grant's months. What lies beyond them counts in the nearest: a window that is longer
// overdue than the months that were written down loses none of its time.
func monthsOf(g *Grant, a, b int64) []hours.Month {
	var out []hours.Month
	for i, m := range g.Months {
		from, until := max(a, m.From), min(b, m.Until)
		if i == 0 {
			from = a
		}
		if i == len(g.Months)-1 {
			until = b
		}
		if from < until {
			out = append(out, hours.Month{Name: m.Name, Interval: hours.Interval{From: from, Until: until}})
		}
	}
	return out
}
