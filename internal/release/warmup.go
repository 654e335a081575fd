package release

import (
	"cmp"
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// reconcileWarmUp waits for the evidence that completes a unit's permit. A running process is not enough: the unit has to
// be registered, ready and warm.
func (r *reconciler) reconcileWarmUp(unit *Unit, permit disruption.Permit, permitKnown bool) {
	switch {
	case permitKnown && permitEnded(permit):
		unit.FailedStarts = 0
		unit.Reason = ""
		r.enterStage(unit, StageConverged)
	case r.release.retires(unit):
		r.awaitRetirement(unit, permitKnown)
	default:
		r.awaitReturn(unit, permit, permitKnown)
	}
}

// awaitRetirement waits until a drained unit has left the fleet permanently.
func (r *reconciler) awaitRetirement(unit *Unit, permitKnown bool) {
	listed := r.listedUnit(unit)
	if listed != nil && listed.State != supervisor.Exited {
		r.enterStage(unit, StageStopping) // the unit had exited by itself, and the platform has restarted it
		return
	}
	ledgerUnit, registered := r.view.Unit(unit.ID)
	switch {
	case !registered && !permitKnown: // the permit is completed and no longer in the ledger
		r.enterStage(unit, StageConverged)
	case registered && r.permitCompletes(ledgerUnit.Condition):
		r.completePermit(unit, permitKnown)
	}
}

// awaitReturn waits until an updated unit is up. It retries or fails a unit that does not come up in time.
func (r *reconciler) awaitReturn(unit *Unit, permit disruption.Permit, permitKnown bool) {
	if permitKnown && permit.Stage == disruption.StageActive {
		r.emitPermitOp(disruption.OpReturn, unit)
	}
	ledgerUnit, registered := r.view.Unit(unit.ID)
	if registered && r.permitCompletes(ledgerUnit.Condition) {
		r.completePermit(unit, permitKnown)
		return
	}
	if r.handleExitDuringWarmUp(unit) || !r.inStageLongerThan(unit, warmUpTimeoutMS) {
		return
	}
	condition := conditionUnregistered
	if registered {
		condition = ledgerUnit.Condition
	}
	r.recordFailedStart(unit, fmt.Sprintf("it runs, but is %s after %d s", condition, warmUpTimeoutMS/1000))
}

// permitCompletes reports whether a unit's condition is the evidence that completes its permit.
func (r *reconciler) permitCompletes(condition disruption.Condition) bool {
	return condition == disruption.ConditionUp || r.release.DrainOnly && condition == disruption.ConditionLost
}

// completePermit completes a unit's permit. If the permit is no longer in the view, it has already been completed.
func (r *reconciler) completePermit(unit *Unit, permitKnown bool) {
	if permitKnown {
		r.emitPermitOp(disruption.OpComplete, unit)
		return
	}
	r.enterStage(unit, StageConverged)
}

// handleExitDuringWarmUp handles a unit that exited or disappeared while it was warming up. It reports whether that
// happened.
func (r *reconciler) handleExitDuringWarmUp(unit *Unit) bool {
	platform := r.view.Platform
	if platform == nil {
		return false
	}
	listed := platform.Find(unit.Name)
	switch {
	case listed == nil && platform.Complete:
		r.enterStage(unit, StageStarting)
		return true
	case listed != nil && listed.State == supervisor.Exited && platform.AtMS-listed.SinceMS > exitConfirmationMS:
		r.recordFailedStart(unit, cmp.Or(listed.Exit, reasonExited))
		return true
	}
	return false
}
