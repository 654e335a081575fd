package release

import (
	"slices"

	"milldeck/internal/disruption"
)

// Timeouts, in ms. All are far above what a healthy unit or platform takes. What exceeds one is tried again or counts as
// failed; it never counts as done.
const (
	requestEffectTimeoutMS = 5_000   // from an accepted request until the platform's list shows an effect
	stopTimeoutMS          = 15_000  // from SIGTERM until the stop is requested again: above the platform's usual grace of 10 s
	startTimeoutMS         = 60_000  // from the start request until the unit was ready once
	warmUpTimeoutMS        = 180_000 // from then until it is registered, ready and warm
	exitConfirmationMS     = 3_000   // for which a started unit may be listed as exited: the platform may restart it
	rollbackStallTimeoutMS = 120_000 // without a grant in a rollback that has a failed unit
)

// msPerSecond converts the seconds of plans to the controller's milliseconds.
const msPerSecond = 1000

// Bounds on attempts.
const (
	// maxFailedStarts is how many starts may fail before the unit does: the first may be the platform's fault.
	maxFailedStarts = 2
	// maxFailedRollbacks is how many units may fail in a rollback before it takes no further unit out. The previous
	// version is broken too then, and what still serves on the new one stays.
	maxFailedRollbacks = 2
	// maxRequestsPerUnit bounds the platform requests for one unit.
	maxRequestsPerUnit = 40
	// maxPermitAttempts bounds how often a unit that has drifted is updated again.
	maxPermitAttempts = 8
)

// Reconcile returns what has to be done now, in order, the write of the next state last. It changes nothing. Nothing to do
// gives no effects.
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

// reconciler is one run of Reconcile. What it does follows from release, the written state; what it decides goes into
// status and changed, and is written before anything is done about it.
type reconciler struct {
	release  *State
	view     *View
	status   Status       // as it will be written
	changed  map[int]Unit // by index, as they will be written
	failures []string     // of units that did not come up on the target image
	effects  []Effect
}

// unit is a unit as it will be written.
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

// emitPermitOp applies an operation on a unit's present permit.
func (r *reconciler) emitPermitOp(kind disruption.OpKind, unit *Unit) {
	r.emit(ApplyLedgerOp{disruption.Op{
		Kind:   kind,
		Owner:  Owner(r.release.Name),
		Permit: &disruption.Permit{ID: r.release.PermitID(unit)},
	}})
}

// restartTimers restarts the units' timers under a new token: another controller wrote the times, by its own clock.
func (r *reconciler) restartTimers() {
	for i := range r.release.Units {
		if unit := r.release.Units[i]; unit.inProgress() {
			unit.StageSinceMS = r.view.NowMS
			r.setUnit(i, unit)
		}
	}
}

// buildDelta is the difference between the written state and the decisions, nil where there is none.
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
