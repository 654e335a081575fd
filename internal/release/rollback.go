package release

import (
	"fmt"
	"slices"
)

// rollbackProgress counts the units of a rollback by their progress.
type rollbackProgress struct {
	pending        []int // indexes of the units that still have to be rolled back
	failed         int
	inProgress     int // includes awaitingPermit
	awaitingPermit int
}

// stalled reports whether a unit has failed and all units in progress are waiting for a permit.
func (p *rollbackProgress) stalled() bool {
	return p.failed > 0 && p.awaitingPermit > 0 && p.inProgress == p.awaitingPermit
}

// advanceRollback starts the rollback of changed units, and ends the rollback when no unit is pending or in progress. If
// units fail, the previous version may be broken too. The rollback therefore takes no further unit out once
// maxFailedRollbacks units have failed, or once one unit has failed and the ledger has granted the other units no permit
// for rollbackStallTimeoutMS.
func (r *reconciler) advanceRollback() {
	progress, requeued := r.collectRollback()
	if requeued {
		return
	}
	r.updateAbandoned(&progress)
	if r.status.RollbackAbandoned {
		r.cancelPermitRequests()
	} else {
		slices.Reverse(progress.pending) // the unit that was updated last is rolled back first
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

// collectRollback counts the units of a rollback. If it finds a unit that has drifted from its previous image, it makes
// that unit pending, stops counting and returns requeued as true.
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
			unit.Rollback = true // a unit that was never updated has to run its previous image too
			if r.drifted(unit) {
				r.requeueUnit(i, unit)
				return progress, true
			}
		}
	}
	return progress, false
}

// updateAbandoned abandons the rollback if too many units have failed or a stall has lasted too long.
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

// cancelPermitRequests cancels the permits for which units of an abandoned rollback still wait.
func (r *reconciler) cancelPermitRequests() {
	for i := range r.release.Units {
		if unit := r.unit(i); unit.Stage == StageRequestingPermit {
			unit.Stage = StageCancelling
			unit.StageSinceMS = r.view.NowMS
			r.setUnit(i, unit)
		}
	}
}

// strandedUnits describes for the operator, in one line each, the units that are not known to run their previous image.
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
