package maintenance

import (
	"cmp"
	"maps"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
)

// Table is the replicated state of maintenance: contracts, windows, halts and used time. All changes go through Apply.
// It is not safe for concurrent use. The windows and contracts that it returns are shared and must not be changed.
type Table struct {
	contracts       map[string]*ActiveContract  // by tenant
	windows         map[string]*Window          // by name
	halts           map[string]string           // reason, by scope
	usedMS          map[string]map[string]int64 // out of service, by tenant and month
	drainSamplesMS  []int64                     // how long drains took, the newest last
	returnSamplesMS []int64                     // how long returns took, the newest last
	logTimeMS       int64                       // the latest time in the log, Unix ms: it never runs backwards
	token           uint64                      // the highest fencing token that has written: lower ones are superseded
	clockFault      string                      // why the clocks of the last operation were not trusted; "": they were
	modRevision     uint64

	changes Changes // of the operation that is being applied

	// LookupPermit returns the stage of a disruption permit as it is when an operation is applied. Where it is nil,
	// permits are not checked.
	LookupPermit func(id string) (disruption.Stage, bool)
}

// Changes are the exclusion directives that an applied operation sets and deletes. They go into the placement with the
// same log record.
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

// Snapshot is the stored form of a table. Lists are in the order of names.
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

// Snapshot returns the table's content. Later operations on the table do not change it.
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

// Restore returns a table with the content of a snapshot; nil gives an empty one.
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

// ModRevision is the log revision of the last change.
func (t *Table) ModRevision() uint64 { return t.modRevision }

// LogTimeMS is the latest time in the log, Unix ms.
func (t *Table) LogTimeMS() int64 { return t.logTimeMS }

// ClockFault says why the clocks of the last operation were not trusted, or "".
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

// contractOf returns the contract that an approval was computed from, or nil where it is no longer in force.
func (t *Table) contractOf(approval *Approval) *ActiveContract {
	active := t.contracts[approval.Tenant]
	if active == nil || active.Version != approval.ContractVersion {
		return nil
	}
	return active
}

// Halts returns the reasons of all halts, by scope.
func (t *Table) Halts() map[string]string { return maps.Clone(t.halts) }

// store replaces a window by its new version and records the change of its exclusion directives.
func (t *Table) store(revision uint64, previous, window *Window) {
	window.ModRevision = revision
	t.publishExclusions(previous, window)
	t.windows[window.Name] = window
}

// evictFinished drops the windows that finished longest ago, beyond MaxFinishedWindows.
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
