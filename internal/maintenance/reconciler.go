package maintenance

import (
	"cmp"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
)

// Times of the controller, by its own monotonic clock unless they are compared with logged ones.
const (
	retryMS             = 2000        // a write without an answer, or one that was refused, is tried again after this long
	clockFaultRetryMS   = 5000        // the same after doubt about time: clocks are not mended sooner, and each try is in the log
	maxReportAgeMS      = 3000        // reports come once a second: three were lost
	activePollMS        = 1000        // while servers are out or asked for
	idlePollMS          = 600_000     // the program asks again sooner where something has changed
	urgentSlackMS       = 10 * 60_000 // with less time than this to spare, the close presses
	leaderUncertaintyMS = 500         // what the leader's clock is taken to be off: beyond it the last prolongation is refused
	maxReports          = 20_000      // reports kept, one for each sidecar
)

// ClockReading is the controller's time: its monotonic clock, and its wall clock with what that may be off (ms).
type ClockReading struct {
	MonotonicMS   int64
	WallMS        int64
	UncertaintyMS int64
}

// Timestamp is the controller's part of a step's time.
func (n ClockReading) Timestamp() Timestamp {
	return Timestamp{ControllerMS: n.WallMS, UncertaintyMS: n.UncertaintyMS}
}

// View is what the controller last read of the replicated state, all of one revision.
type View struct {
	Revision     uint64
	Table        *Table
	PermitStages map[string]disruption.Stage // of the ledger, by id
	OutOfService map[string]ServerStatus     // by uid, those of windows that are out
	Fleet        Fleet
	LiveSidecars []string // that live: all of them have to say that they keep off
}

// ServerStatus is what the ledger knows of a server that a window has out.
type ServerStatus struct {
	Ready    bool   `json:"up"` // there is evidence that it is up, and where the way back has begun, back
	Revision uint64 `json:"rev"`
	Endpoint string `json:"endpoint"`
}

// LedgerAction is what the controller asks of the ledger. All acts may be repeated: the ledger takes each once. To see is to look
// at the servers and write what was found: what has not been looked at since the way back began is no evidence.
type LedgerAction struct {
	Kind       disruption.OpKind // ask, begin, return, see, settle or cancel
	PermitID   string
	ServerUIDs []string
	Rank       disruption.Priority
	Purpose    string
}

// Effect is one thing to write, under the controller's token: an operation of the table or an act on the ledger.
type Effect struct {
	Window       string
	Operation    *Operation
	LedgerAction *LedgerAction
}

// Reconciler is the controller of all windows. What has to outlive it stands in the table: one that takes over begins with an
// empty core and goes on exactly where the table stands. It is not safe for concurrent use.
type Reconciler struct {
	token            uint64
	planner          *Planner
	retryAtMS        map[string]int64  // by window: not before this monotonic time again
	minRevision      map[string]uint64 // by window: a view has to be at least of this revision
	reports          map[string]receivedReport
	permitRejections map[string]string // by window: why its permit can never be granted
}

type receivedReport struct {
	placement.LoadReport
	receivedAtMS int64 // monotonic
}

// NewReconciler is the controller that holds the duty under a token.
func NewReconciler(token uint64) *Reconciler {
	return &Reconciler{token: token, planner: NewPlanner(), retryAtMS: map[string]int64{}, minRevision: map[string]uint64{}, reports: map[string]receivedReport{},
		permitRejections: map[string]string{}}
}

// ObserveReport takes in a sidecar's report.
func (r *Reconciler) ObserveReport(now ClockReading, report placement.LoadReport) {
	if _, known := r.reports[report.Sidecar]; !known && len(r.reports) >= maxReports {
		for name, previous := range r.reports {
			if now.MonotonicMS-previous.receivedAtMS > maxReportAgeMS {
				delete(r.reports, name)
			}
		}
		if len(r.reports) >= maxReports {
			return // the window stays as if this sidecar were silent: it is not taken for empty
		}
	}
	r.reports[report.Sidecar] = receivedReport{report, now.MonotonicMS}
}

// ObserveResult takes in what became of an effect, and the revision of the log that has it.
func (r *Reconciler) ObserveResult(now ClockReading, effect Effect, outcome Outcome, reason string, revision uint64) {
	r.minRevision[effect.Window] = max(r.minRevision[effect.Window], revision)
	if effect.LedgerAction != nil && effect.LedgerAction.Kind == disruption.OpRequest && outcome == OutcomeInvalid {
		r.permitRejections[effect.Window] = reason
	}
	switch {
	case effect.LedgerAction != nil && effect.LedgerAction.Kind == disruption.OpObserve:
		r.retryAtMS[effect.Window] = now.MonotonicMS + retryMS // servers take their time
	case outcome == OutcomeApplied:
		delete(r.retryAtMS, effect.Window)
	case outcome == OutcomeClockFault:
		r.retryAtMS[effect.Window] = now.MonotonicMS + clockFaultRetryMS
	default:
		r.retryAtMS[effect.Window] = now.MonotonicMS + retryMS
	}
}

// Reconcile says what to write next, at most one thing for each window, and when to ask again at the latest (monotonic ms).
func (r *Reconciler) Reconcile(now ClockReading, view *View) (effects []Effect, nextRunMS int64) {
	windows := view.Table.Windows()
	slices.SortStableFunc(windows, func(a, b *Window) int { return cmp.Compare(a.ClosesAtMS, b.ClosesAtMS) })
	nextRunMS = now.MonotonicMS + idlePollMS
	pass := &reconcilePass{reconciler: r, view: view, table: view.Table, clock: now, now: view.Table.boundTime(Timestamp{now.WallMS, now.UncertaintyMS, now.WallMS, now.UncertaintyMS})}
	for _, window := range windows {
		nextRunMS = min(nextRunMS, pass.nextRunMS(window))
		if view.Revision < r.minRevision[window.Name] || now.MonotonicMS < r.retryAtMS[window.Name] {
			continue
		}
		effect := pass.nextEffect(window)
		if effect.Operation == nil && effect.LedgerAction == nil {
			continue
		}
		if effect.Operation != nil {
			effect.Operation.Window = window.Name
			effect.Operation.Token = r.token
		}
		effect.Window = window.Name
		r.retryAtMS[window.Name] = now.MonotonicMS + retryMS
		effects = append(effects, effect)
	}
	r.evictUnknown(view.Table)
	return effects, nextRunMS
}

// evictUnknown drops what is kept of windows that are no more.
func (r *Reconciler) evictUnknown(table *Table) {
	for name := range r.minRevision {
		if table.Window(name) == nil {
			delete(r.minRevision, name)
			delete(r.retryAtMS, name)
			delete(r.permitRejections, name)
		}
	}
}

// reconcilePass is one step's reading of everything.
type reconcilePass struct {
	reconciler *Reconciler
	view       *View
	table      *Table
	clock      ClockReading
	now        timeBounds

	planned bool // one a step: the next is planned around it
}

func (p *reconcilePass) nextRunMS(window *Window) int64 {
	switch {
	case window.Finished() || window.Stage == StageHalted:
		return p.clock.MonotonicMS + idlePollMS
	case window.Stage == StageOverrun || window.Stage == StageAwaitingPermit: // a grant is news, and has the program look at once
		return p.clock.MonotonicMS + ExclusionRefreshMS
	case window.Stage == StageApproved && p.now.earliest < window.PlannedStartMS:
		return p.clock.MonotonicMS + min(idlePollMS, window.PlannedStartMS-p.now.earliest)
	case window.Stage == StageDrained:
		dueInMS := min(window.DrainedAtMS+window.WorkMS, window.ClosesAtMS-CloseGuardMS-p.table.EstimatedReturnMS(), window.ExcludedUntilMS-ExclusionTTLMS+ExclusionRefreshMS) - p.now.latest
		return p.clock.MonotonicMS + max(activePollMS, min(dueInMS, ExclusionRefreshMS))
	}
	return p.clock.MonotonicMS + activePollMS
}
