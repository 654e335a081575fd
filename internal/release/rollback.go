package release

import (
	"fmt"
	"slices"
)

// rollbackProgress counts the units of a rollback by where they are.
type rollbackProgress struct {
	pending        []int // indexes of those that still have to return
	failed         int
	inProgress     int
	awaitingPermit int // of those in progress
}

// stalled reports whether, after a failure, everything that is in progress waits for a permit.
func (p *rollbackProgress) stalled() bool {
	return p.failed > 0 && p.awaitingPermit > 0 && p.inProgress == p.awaitingPermit
}

// advanceRollback returns the changed units to their previous images, and ends when none is pending or in progress. Where
// units fail, the previous version may be broken too: after maxFailedRollbacks of them, or where the others get no permit
// any more, no further unit is taken out.
func (r *reconciler) advanceRollback() {
	progress, requeued := r.collectRollback()
	if requeued {
		return
	}
	r.updateAbandoned(&progress)
	if r.status.RollbackAbandoned {
		r.cancelPermitRequests()
	} else {
		slices.Reverse(progress.pending) // the last to be updated returns first
		r.requestPermits(progress.pending)
	}
	if progress.inProgress > 0 {
		return
	}
	if len(progress.pending) > 0 && !r.status.RollbackAbandoned {
		return
	}
	r.status.Stranded = r.strandedUnits()
	r.status.Phase = PhaseRolledBack
	if len(r.status.Stranded) > 0 {
		r.status.Phase = PhaseStranded
	}
}

// collectRollback counts the units of a rollback. It stops at a unit that has drifted from its previous image, makes that
// one pending, and reports so.
func (r *reconciler) collectRollback() (progress rollbackProgress, requeued bool) {
	for i := range r.release.Units {
		unit := r.unit(i)
		switch {
		case unit.Stage == StageFailed:
			progress.failed++
		case unit.Stage == StagePending && unit.Rollback:
			progress.pending = append(progress.pending, i)
		case unit.Stage == StageRequestingPermit:
			progress.awaitingPermit++
			progress.inProgress++
		case unit.inProgress():
			progress.inProgress++
		default:
			unit.Rollback = true // also of a unit that was not updated: it has to run its previous image as well
			if r.drifted(unit) {
				r.requeueUnit(i, unit)
				return progress, true
			}
		}
	}
	return progress, false
}

// updateAbandoned abandons the rollback where too many units have failed, or a stall has lasted too long.
func (r *reconciler) updateAbandoned(progress *rollbackProgress) {
	stalled := progress.stalled()
	since := r.status.StalledSinceMS
	switch {
	case progress.failed >= maxFailedRollbacks:
		r.status.RollbackAbandoned = true
	case stalled && since != 0 && r.view.NowMS-since >= rollbackStallTimeoutMS:
		r.status.RollbackAbandoned = true
	case !stalled:
		r.status.StalledSinceMS = 0
	case since == 0:
		r.status.StalledSinceMS = max(r.view.NowMS, 1)
	}
}

// cancelPermitRequests cancels the permits that units of an abandoned rollback still wait for.
func (r *reconciler) cancelPermitRequests() {
	for i := range r.release.Units {
		if unit := r.unit(i); unit.Stage == StageRequestingPermit {
			unit.Stage = StageCancelling
			unit.StageSinceMS = r.view.NowMS
			r.setUnit(i, unit)
		}
	}
}

// strandedUnits describes the units that are not known to run their previous image, one line each, for the operator.
func (r *reconciler) strandedUnits() []string {
	var lines []string
	for i := range r.release.Units {
		unit := r.unit(i)
		switch {
		case unit.Stage == StageFailed:
			lines = append(lines, unit.Reason+"; what permit it has is for an operator to settle")
		case unit.Rollback && unit.Stage != StageConverged:
			lines = append(lines, fmt.Sprintf("%s: still on %s %s, as the old version fails elsewhere",
				unit.ID, unit.Target.Version, unit.Target.ConfigName))
		}
	}
	return lines
}
