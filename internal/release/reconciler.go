package release

import (
	"slices"

	"milldeck/internal/disruption"
)

// Timeouts in ms, all far above the time that a healthy unit or platform takes. An action that exceeds its timeout is
// retried or counts as failed; it never counts as done.
const (
	requestEffectTimeoutMS = 5_000   // from an accepted request until the platform's list shows its effect
	stopTimeoutMS          = 15_000  // from SIGTERM until the stop is requested again; above the platform's usual grace of 10 s
	startTimeoutMS         = 60_000  // from the start request until the unit has been ready once
	warmUpTimeoutMS        = 180_000 // from the first readiness until the unit is registered, ready and warm
	exitConfirmationMS     = 3_000   // how long a started unit may be listed as exited, because the platform may restart it
	rollbackStallTimeoutMS = 120_000 // how long a rollback with a failed unit may wait without a grant
)

// msPerSecond converts the seconds of plans to the controller's milliseconds.
const msPerSecond = 1000

// Limits on attempts.
const (
	// maxFailedStarts is the number of failed starts after which a unit fails. One failure is tolerated because it may be
	// the platform's fault.
	maxFailedStarts = 2
	// maxFailedRollbacks is the number of failed units after which a rollback takes no further unit out. The previous
	// version is then assumed to be broken too, so units that still serve on the new version keep it.
	maxFailedRollbacks = 2
	// maxRequestsPerUnit limits the platform requests for one unit in a release.
	maxRequestsPerUnit = 40
	// maxPermitAttempts limits how often a unit that has drifted from its desired image is updated again.
	maxPermitAttempts = 8
)

// Reconcile returns the effects to execute now, in order. The write of the next state, if it differs, comes last.
// Reconcile does not change s, and returns no effects if there is nothing to do.
func (s *State) Reconcile(view *View) []Effect {
	r := &reconciler{release: s, view: view, status: s.Status}
	if s.Status.Token != view.Token {
		r.restartTimers()
	}
	r.handleCommands()
	r.checkGuards()
	if !s.Status.Phase.Finished() {
		for i := range s.Units {
			r.reconcileUnit(i)
		}
	}
	if len(r.failures) > 0 && r.status.Phase == PhaseRollout {
		r.halt(haltedByGuard, r.failures[0], s.Plan.OnHalt)
	}
	r.advancePhase()
	if delta := r.buildDelta(); delta != nil {
		r.emit(WriteDelta{*delta})
	}
	return r.effects
}

// reconciler is one run of Reconcile. It derives effects only from release, which is the written state. It records
// decisions in status and changed; a later run acts on them, after they have been written.
type reconciler struct {
	release  *State
	view     *View
	status   Status       // to be written
	changed  map[int]Unit // units to be written, by index
	failures []string     // reasons why units failed in this run
	effects  []Effect
}

// unit returns a unit with the changes of this run.
func (r *reconciler) unit(i int) Unit {
	if unit, ok := r.changed[i]; ok {
		return unit
	}
	return r.release.Units[i]
}

func (r *reconciler) setUnit(i int, unit Unit) {
	if r.changed == nil {
		r.changed = map[int]Unit{}
	}
	r.changed[i] = unit
}

func (r *reconciler) emit(effect Effect) { r.effects = append(r.effects, effect) }

// emitPermitOp emits a ledger operation on a unit's present permit.
func (r *reconciler) emitPermitOp(kind disruption.OpKind, unit *Unit) {
	r.emit(ApplyLedgerOp{disruption.Op{
		Kind:   kind,
		Owner:  Owner(r.release.Name),
		Permit: &disruption.Permit{ID: r.release.PermitID(unit)},
	}})
}

// restartTimers restarts the units' timers under a new fencing token, because another controller wrote the times by its
// own clock.
func (r *reconciler) restartTimers() {
	for i := range r.release.Units {
		if unit := r.release.Units[i]; unit.inProgress() {
			unit.StageSinceMS = r.view.NowMS
			r.setUnit(i, unit)
		}
	}
}

// buildDelta returns the difference between the written state and the decisions, or nil if there is none.
func (r *reconciler) buildDelta() *Delta {
	delta := &Delta{Sequence: r.release.Sequence}
	for i := range r.release.Units {
		if unit, ok := r.changed[i]; ok && !equalUnits(unit, r.release.Units[i]) {
			delta.Units = append(delta.Units, unit)
		}
	}
	r.status.Token = r.view.Token
	if !equalStatus(r.status, r.release.Status) {
		status := r.status
		delta.Status = &status
	}
	if delta.Status == nil && len(delta.Units) == 0 {
		return nil
	}
	return delta
}

func equalUnits(a, b Unit) bool {
	if (a.Request == nil) != (b.Request == nil) {
		return false
	}
	if a.Request != nil && *a.Request != *b.Request {
		return false
	}
	a.Request, b.Request = nil, nil
	return a == b
}

func equalStatus(a, b Status) bool {
	return a.Phase == b.Phase &&
		a.Wave == b.Wave &&
		a.BakeStartMS == b.BakeStartMS &&
		a.Token == b.Token &&
		a.HandledCommands == b.HandledCommands &&
		a.HaltedBy == b.HaltedBy &&
		a.HaltReason == b.HaltReason &&
		a.Finalized == b.Finalized &&
		a.StalledSinceMS == b.StalledSinceMS &&
		a.RollbackAbandoned == b.RollbackAbandoned &&
		slices.Equal(a.Stranded, b.Stranded)
}
