package maintenance

import (
	"cmp"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
)

// Times and limits of the Reconciler, times in ms. Retries and the age of reports are timed with the monotonic
// clock.
const (
	retryMS             = 2000          // after a write that was rejected or had no answer
	clockFaultRetryMS   = 5000          // after a rejection for a clock fault: clocks recover slowly, and each attempt is logged
	maxReportAgeMS      = 3000          // load reports come once a second: an older report means that three were lost
	activePollMS        = 1000          // while servers are out of service or about to be
	idlePollMS          = 10 * minuteMS // the caller reconciles earlier when the state has changed
	urgentSlackMS       = 10 * minuteMS // with less slack before the close, permits are requested with PriorityDeadline
	leaderUncertaintyMS = 500           // assumed for the leader's clock; if higher, the last extension is rejected
	maxReports          = 20_000        // retained load reports, one for each sidecar
)

// ClockReading is a reading of the controller's clocks in ms: the monotonic clock, and the wall clock (Unix) with its
// uncertainty.
type ClockReading struct {
	MonotonicMS   int64
	WallMS        int64
	UncertaintyMS int64
}

// Timestamp returns the controller's part of an operation's timestamp.
func (r ClockReading) Timestamp() Timestamp {
	return Timestamp{ControllerMS: r.WallMS, UncertaintyMS: r.UncertaintyMS}
}

// presumedTimestamp returns the timestamp of an operation written now, on the assumption that the leader's clock
// agrees with the controller's.
func (r ClockReading) presumedTimestamp() Timestamp {
	return Timestamp{
		ControllerMS:        r.WallMS,
		UncertaintyMS:       r.UncertaintyMS,
		LeaderMS:            r.WallMS,
		LeaderUncertaintyMS: r.UncertaintyMS,
	}
}

// Action is what an Effect writes: an *Operation of the Table or a *LedgerAction on the disruption ledger.
type Action interface{ maintenanceAction() }

func (*Operation) maintenanceAction()    {}
func (*LedgerAction) maintenanceAction() {}

// Effect is one write of the Reconciler for a window, under the fencing token of the controller's lease.
type Effect struct {
	Window string
	Action Action
}

// EffectResult is the result of an Effect.
type EffectResult struct {
	Outcome  Outcome
	Reason   string
	Revision uint64 // of the log record; 0 where none was written
}

// Reconciler decides the next write for each window. Its own state is a cache: the Table holds all that must be
// durable, and a new Reconciler continues from the Table. It is not safe for concurrent use.
type Reconciler struct {
	token            uint64
	planner          *Planner
	retryAtMS        map[string]int64          // by window: no further write before this monotonic time
	minRevision      map[string]uint64         // by window: a view of an earlier revision is ignored
	reports          map[string]receivedReport // by sidecar
	permitRejections map[string]string         // by window: why its permit can never be granted
}

type receivedReport struct {
	placement.LoadReport
	receivedAtMS int64 // monotonic
}

// NewReconciler returns the Reconciler of a controller that holds its lease under a fencing token.
func NewReconciler(token uint64) *Reconciler {
	return &Reconciler{
		token:            token,
		planner:          NewPlanner(),
		retryAtMS:        map[string]int64{},
		minRevision:      map[string]uint64{},
		reports:          map[string]receivedReport{},
		permitRejections: map[string]string{},
	}
}

// ObserveReport records a sidecar's load report. With maxReports recent reports it drops the report of a new
// sidecar, and windows wait for this sidecar as if it did not report.
func (r *Reconciler) ObserveReport(now ClockReading, report placement.LoadReport) {
	if _, known := r.reports[report.Sidecar]; !known && len(r.reports) >= maxReports {
		r.evictOldReports(now)
		if len(r.reports) >= maxReports {
			return
		}
	}
	r.reports[report.Sidecar] = receivedReport{report, now.MonotonicMS}
}

func (r *Reconciler) evictOldReports(now ClockReading) {
	for name, report := range r.reports {
		if now.MonotonicMS-report.receivedAtMS > maxReportAgeMS {
			delete(r.reports, name)
		}
	}
}

// ObserveResult records the result of an effect.
func (r *Reconciler) ObserveResult(now ClockReading, effect Effect, result EffectResult) {
	r.minRevision[effect.Window] = max(r.minRevision[effect.Window], result.Revision)
	action, onLedger := effect.Action.(*LedgerAction)
	if onLedger && action.Kind == disruption.OpRequest && result.Outcome == OutcomeInvalid {
		r.permitRejections[effect.Window] = result.Reason
	}
	switch {
	case onLedger && action.Kind == disruption.OpObserve:
		r.retryAtMS[effect.Window] = now.MonotonicMS + retryMS // give the servers time to start
	case result.Outcome == OutcomeApplied:
		delete(r.retryAtMS, effect.Window)
	case result.Outcome == OutcomeClockFault:
		r.retryAtMS[effect.Window] = now.MonotonicMS + clockFaultRetryMS
	default:
		r.retryAtMS[effect.Window] = now.MonotonicMS + retryMS
	}
}

// Reconcile returns the next writes, at most one effect for each window, and the monotonic time in ms by which to
// call it again.
func (r *Reconciler) Reconcile(now ClockReading, view *View) (effects []Effect, nextRunMS int64) {
	windows := view.Table.Windows()
	slices.SortStableFunc(windows, func(a, b *Window) int { return cmp.Compare(a.ClosesAtMS, b.ClosesAtMS) })
	pass := &reconcilePass{
		reconciler: r,
		view:       view,
		table:      view.Table,
		clock:      now,
		now:        view.Table.boundTime(now.presumedTimestamp()),
	}
	nextRunMS = now.MonotonicMS + idlePollMS
	for _, window := range windows {
		nextRunMS = min(nextRunMS, pass.nextRunMS(window))
		if view.Revision < r.minRevision[window.Name] || now.MonotonicMS < r.retryAtMS[window.Name] {
			continue
		}
		action := pass.nextAction(window)
		if action == nil {
			continue
		}
		if op, ok := action.(*Operation); ok {
			op.Window = window.Name
			op.Token = r.token
		}
		r.retryAtMS[window.Name] = now.MonotonicMS + retryMS
		effects = append(effects, Effect{Window: window.Name, Action: action})
	}
	r.evictUnknown(view.Table)
	return effects, nextRunMS
}

// evictUnknown deletes the cached state of windows that no longer exist.
func (r *Reconciler) evictUnknown(table *Table) {
	for name := range r.minRevision {
		if table.Window(name) == nil {
			delete(r.minRevision, name)
			delete(r.retryAtMS, name)
			delete(r.permitRejections, name)
		}
	}
}
