package maintenance

import (
	"cmp"
	"maps"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
)

// Table is the replicated state of maintenance: contracts, windows, halts and the time used by windows. All
// changes go through Apply. It is not safe for concurrent use. The windows and contracts that it returns are
// shared and must not be changed.
type Table struct {
	contracts       map[string]*ActiveContract  // by tenant
	windows         map[string]*Window          // by name
	halts           map[string]string           // reason, by scope
	usedMS          map[string]map[string]int64 // time out of service, by tenant and month
	drainSamplesMS  []int64                     // durations of drains, newest last
	returnSamplesMS []int64                     // durations of returns, newest last
	logTimeMS       int64                       // the latest time in the log, Unix ms: it never runs backwards
	token           uint64                      // highest fencing token of an applied operation: lower ones are superseded
	clockFault      string                      // why the clocks of the last operation were not trusted; "": they were trusted
	modRevision     uint64

	changes Changes // of the operation that is being applied

	// LookupPermit returns the stage of a disruption permit at the time at which an operation is applied. If it
	// is nil, permits are not checked.
	LookupPermit func(id string) (disruption.Stage, bool)
}

// Changes are the exclusion directives that an applied operation sets and deletes. The same log record applies
// them to the placement.
type Changes struct {
	SetDirectives      []placement.Directive
	DeleteDirectiveIDs []string
}

// New returns an empty table.
func New() *Table {
	return &Table{
		contracts: map[string]*ActiveContract{},
		windows:   map[string]*Window{},
		halts:     map[string]string{},
		usedMS:    map[string]map[string]int64{},
	}
}

// Snapshot is the stored form of a table. Contracts are sorted by tenant, windows by name.
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

// Snapshot returns the table's content. Later operations do not change the snapshot.
func (t *Table) Snapshot() *Snapshot {
	snapshot := &Snapshot{
		Contracts:       t.Contracts(),
		Windows:         t.Windows(),
		Halts:           maps.Clone(t.halts),
		UsedMS:          map[string]map[string]int64{},
		DrainSamplesMS:  slices.Clone(t.drainSamplesMS),
		ReturnSamplesMS: slices.Clone(t.returnSamplesMS),
		LogTimeMS:       t.logTimeMS,
		Token:           t.token,
		ClockFault:      t.clockFault,
		ModRevision:     t.modRevision,
	}
	for tenant, months := range t.usedMS {
		snapshot.UsedMS[tenant] = maps.Clone(months)
	}
	return snapshot
}

// Restore returns a table with the content of a snapshot. A nil snapshot gives an empty table.
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
	table.drainSamplesMS = slices.Clone(snapshot.DrainSamplesMS)
	table.returnSamplesMS = slices.Clone(snapshot.ReturnSamplesMS)
	table.logTimeMS = snapshot.LogTimeMS
	table.token = snapshot.Token
	table.clockFault = snapshot.ClockFault
	table.modRevision = snapshot.ModRevision
	return table
}

// ModRevision returns the log revision of the last change.
func (t *Table) ModRevision() uint64 { return t.modRevision }

// LogTimeMS returns the latest time in the log, Unix ms.
func (t *Table) LogTimeMS() int64 { return t.logTimeMS }

// ClockFault returns why the clocks of the last operation were not trusted, or "".
func (t *Table) ClockFault() string { return t.clockFault }

// Windows returns all windows, sorted by name.
func (t *Table) Windows() []*Window {
	windows := make([]*Window, 0, len(t.windows))
	for _, name := range slices.Sorted(maps.Keys(t.windows)) {
		windows = append(windows, t.windows[name])
	}
	return windows
}

// Window returns a window by name, or nil.
func (t *Table) Window(name string) *Window { return t.windows[name] }

// Contracts returns the contracts in force, sorted by tenant.
func (t *Table) Contracts() []*ActiveContract {
	contracts := make([]*ActiveContract, 0, len(t.contracts))
	for _, tenant := range slices.Sorted(maps.Keys(t.contracts)) {
		contracts = append(contracts, t.contracts[tenant])
	}
	return contracts
}

// Contract returns the contract of a tenant that is in force, or nil.
func (t *Table) Contract(tenant string) *ActiveContract { return t.contracts[tenant] }

// contractOf returns the contract from which an approval was computed, or nil if that contract is no longer in
// force.
func (t *Table) contractOf(approval *Approval) *ActiveContract {
	active := t.contracts[approval.Tenant]
	if active == nil || active.Version != approval.ContractVersion {
		return nil
	}
	return active
}

// Halts returns the reasons of all halts, by scope.
func (t *Table) Halts() map[string]string { return maps.Clone(t.halts) }

// store replaces a window with its new version and records which of its exclusion directives change.
func (t *Table) store(revision uint64, previous, window *Window) {
	window.ModRevision = revision
	t.recordExclusionChanges(previous, window)
	t.windows[window.Name] = window
}

// evictFinished deletes the finished windows beyond MaxFinishedWindows, the least recently changed first.
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
