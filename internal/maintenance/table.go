package maintenance

import (
	"cmp"
	"maps"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/placement"
)

// Table is all contracts, windows and minutes. It is not safe for concurrent use.
type Table struct {
	contracts       map[string]*ActiveContract
	windows         map[string]*Window
	halts           map[string]string           // why, by scope
	usedMS          map[string]map[string]int64 // ms out, by tenant and month
	drainSamplesMS  []int64                     // ms, the newest last: what drains took
	returnSamplesMS []int64
	logTimeMS       int64  // the latest logged time: it never runs back
	token           uint64 // the highest that wrote: lower ones count no more
	clockFault      string // why the last step's times were not trusted; "" where they were
	modRevision     uint64

	setEntries   []placement.Directive // by the operation that is being applied
	dropEntryIDs []string

	// Permit looks up the ledger's permit as it stands when a drain is applied; nil: not asked.
	LookupPermit func(id string) (disruption.Stage, bool)
}

// New is an empty table.
func New() *Table {
	return &Table{contracts: map[string]*ActiveContract{}, windows: map[string]*Window{}, halts: map[string]string{},
		usedMS: map[string]map[string]int64{}}
}

// Snapshot is a table as it is kept in a snapshot.
type Snapshot struct {
	Contracts       []*ActiveContract           `json:"contracts,omitempty"`
	Windows         []*Window                   `json:"windows,omitempty"`
	Halts           map[string]string           `json:"halts,omitempty"`
	UsedMS          map[string]map[string]int64 `json:"used,omitempty"`
	DrainSamplesMS  []int64                     `json:"drains,omitempty"`
	ReturnSamplesMS []int64                     `json:"returns,omitempty"`
	LogTimeMS       int64                       `json:"now_ms,omitempty"`
	Token           uint64                      `json:"token,omitempty"`
	ClockFault      string                      `json:"doubt,omitempty"`
	ModRevision     uint64                      `json:"rev"`
}

// Snapshot gives the whole table, in order. Its windows and contracts are shared: nobody changes them.
func (t *Table) Snapshot() *Snapshot {
	snapshot := &Snapshot{Halts: maps.Clone(t.halts), DrainSamplesMS: slices.Clone(t.drainSamplesMS), ReturnSamplesMS: slices.Clone(t.returnSamplesMS),
		LogTimeMS: t.logTimeMS, Token: t.token, ClockFault: t.clockFault, ModRevision: t.modRevision, UsedMS: map[string]map[string]int64{},
		Contracts: t.Contracts(), Windows: t.Windows()}
	for tenant, months := range t.usedMS {
		snapshot.UsedMS[tenant] = maps.Clone(months)
	}
	return snapshot
}

// Restore puts a table back, as Save gave it; nil is an empty one.
func Restore(snapshot *Snapshot) *Table {
	table := New()
	if snapshot == nil {
		return table
	}
	for _, active := range snapshot.Contracts {
		table.contracts[active.Tenant] = active
	}
	for _, window := range snapshot.Windows {
		table.windows[window.Name] = window
	}
	maps.Copy(table.halts, snapshot.Halts)
	for tenant, months := range snapshot.UsedMS {
		table.usedMS[tenant] = maps.Clone(months)
	}
	table.drainSamplesMS, table.returnSamplesMS = slices.Clone(snapshot.DrainSamplesMS), slices.Clone(snapshot.ReturnSamplesMS)
	table.logTimeMS, table.token, table.clockFault, table.modRevision = snapshot.LogTimeMS, snapshot.Token, snapshot.ClockFault, snapshot.ModRevision
	return table
}

// ModRevision is the revision of the last change.
func (t *Table) ModRevision() uint64 { return t.modRevision }

// LogTimeMS is the latest logged time.
func (t *Table) LogTimeMS() int64 { return t.logTimeMS }

// ClockFault says why the last step's times were not trusted, or "".
func (t *Table) ClockFault() string { return t.clockFault }

// Windows gives all windows by name. They are shared: nobody changes them.
func (t *Table) Windows() []*Window {
	windows := make([]*Window, 0, len(t.windows))
	for _, name := range slices.Sorted(maps.Keys(t.windows)) {
		windows = append(windows, t.windows[name])
	}
	return windows
}

// Window is one window, or nil. It is shared: nobody changes it.
func (t *Table) Window(name string) *Window { return t.windows[name] }

// Contracts gives the contracts in force by tenant. They are shared: nobody changes them.
func (t *Table) Contracts() []*ActiveContract {
	contracts := make([]*ActiveContract, 0, len(t.contracts))
	for _, name := range slices.Sorted(maps.Keys(t.contracts)) {
		contracts = append(contracts, t.contracts[name])
	}
	return contracts
}

// Contract is one tenant's contract in force, or nil.
func (t *Table) Contract(tenant string) *ActiveContract { return t.contracts[tenant] }

// Halts gives why, by scope.
func (t *Table) Halts() map[string]string { return maps.Clone(t.halts) }

// UsedMS is what a tenant's windows were out in a month, as far as they are back.
func (t *Table) UsedMS(tenant, month string) int64 { return t.usedMS[tenant][month] }

// ExclusionEntries are what sidecars are told of a window, by tenant; none where they are told nothing.
func (t *Table) ExclusionEntries(window *Window) []placement.Directive {
	if window.ExcludedUntilMS == 0 {
		return nil
	}
	var entries []placement.Directive
	for _, approval := range window.Approvals {
		active := t.contracts[approval.Tenant]
		if active == nil || active.Version != approval.ContractVersion || window.ExcludedUntilMS > approval.ClosesAtMS-CloseGuardMS {
			continue
		}
		entries = append(entries, placement.Directive{ID: exclusionEntryID(window.Name, approval.Tenant), Kind: placement.KindExclude, Tenant: approval.Tenant,
			Servers: window.ServerUIDs, MinAvailable: active.MinAvailableShare, ExpiresAtMS: window.ExcludedUntilMS})
	}
	return entries
}

func exclusionEntryID(window, tenant string) string { return "window/" + window + "/" + tenant }

// publishExclusions works out which entries an operation has changed.
func (t *Table) publishExclusions(previous, window *Window) {
	publishedBefore, publishedNow := map[string]bool{}, map[string]bool{}
	if previous != nil {
		for _, approval := range previous.Approvals {
			publishedBefore[exclusionEntryID(previous.Name, approval.Tenant)] = previous.ExcludedUntilMS != 0
		}
	}
	for _, entry := range t.ExclusionEntries(window) {
		publishedNow[entry.ID] = true
		if previous == nil || previous.ExcludedUntilMS != window.ExcludedUntilMS {
			t.setEntries = append(t.setEntries, entry)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(publishedBefore)) {
		if publishedBefore[id] && !publishedNow[id] {
			t.dropEntryIDs = append(t.dropEntryIDs, id)
		}
	}
}

// evictFinished drops the windows that ended longest ago, beyond what is kept.
func (t *Table) evictFinished() {
	if len(t.windows) <= MaxFinishedWindows {
		return
	}
	var finished []*Window
	for _, window := range t.windows {
		if window.Finished() {
			finished = append(finished, window)
		}
	}
	if len(finished) <= MaxFinishedWindows {
		return
	}
	slices.SortFunc(finished, func(a, b *Window) int {
		return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(a.Name, b.Name))
	})
	for _, window := range finished[:len(finished)-MaxFinishedWindows] {
		delete(t.windows, window.Name)
	}
}

// recordUsage adds the time from a to b (Unix ms) to what the window's tenants have used, by their own months.
func (t *Table) recordUsage(window *Window, startMS, endMS int64) {
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		for _, month := range splitByMonth(approval, startMS, endMS) {
			byMonth := t.usedMS[approval.Tenant]
			if byMonth == nil {
				byMonth = map[string]int64{}
				t.usedMS[approval.Tenant] = byMonth
			}
			byMonth[month.Name] += month.EndMS - month.StartMS
			if len(byMonth) > MaxMonthsPerTenant {
				delete(byMonth, slices.Min(slices.Collect(maps.Keys(byMonth))))
			}
		}
	}
}

// splitByMonth parts [a, b) by a grant's months. What lies beyond them counts in the nearest: a window that is longer
// overdue than the months that were written down loses none of its time.
func splitByMonth(approval *Approval, startMS, endMS int64) []calendar.Month {
	var months []calendar.Month
	for i, month := range approval.Months {
		partStart, partEnd := max(startMS, month.StartMS), min(endMS, month.EndMS)
		if i == 0 {
			partStart = startMS
		}
		if i == len(approval.Months)-1 {
			partEnd = endMS
		}
		if partStart < partEnd {
			months = append(months, calendar.Month{Name: month.Name, Interval: calendar.Interval{StartMS: partStart, EndMS: partEnd}})
		}
	}
	return months
}
