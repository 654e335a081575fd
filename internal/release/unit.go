package release

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// Reasons of a unit's state, as far as they do not quote the platform, the ledger or a sidecar. They are stored.
const (
	reasonNotReady             = "it was started and is not ready"
	reasonExited               = "it ended"
	reasonNotRunning           = "it does not run"
	reasonNotReloaded          = "it does not take the configuration up"
	reasonNoEffect             = "the platform does not do what it says"
	reasonUnknownVersion       = "the platform has no such version"
	reasonPermitDeniedPrefix   = "no permit can be had: "
	reasonConfigRejectedPrefix = "it refuses the configuration: "
)

// Purposes of permits. They are stored in the ledger.
const (
	purposeDrain         = "drained"
	purposeReleasePrefix = "to " // before the desired image
)

// conditionUnregistered stands in reasons for the condition of a unit that the ledger does not have.
const conditionUnregistered = disruption.Condition("not registered")

// reconcileUnit does what a unit's written stage requires, and moves it to the next stage once there is evidence.
func (r *reconciler) reconcileUnit(i int) {
	written := r.release.Units[i]
	if changed, ok := r.changed[i]; ok && changed.Stage != written.Stage {
		return // a halt has just moved it: that is written first
	}
	if !written.inProgress() {
		return
	}
	unit := r.unit(i)
	permit, permitKnown := r.view.Permit(r.release.PermitID(&unit))
	r.reconcileStage(&unit, permit, permitKnown)
	r.setUnit(i, unit)
}

// reconcileStage calls the function of the unit's stage. Known says whether the ledger has the unit's permit.
func (r *reconciler) reconcileStage(unit *Unit, permit disruption.Permit, permitKnown bool) {
	switch unit.Stage {
	case StageRequestingPermit, StagePreparing, StageBeginningDisruption:
		r.reconcilePermit(unit, permit, permitKnown)
	case StageDraining:
		r.reconcileDrain(unit)
	case StageStopping:
		if r.requireActivePermit(unit, permit, permitKnown) {
			r.reconcileStop(unit)
		}
	case StageStarting:
		r.reconcileStart(unit)
	case StageReloading:
		if r.requireActivePermit(unit, permit, permitKnown) {
			r.reconcileReload(unit)
		}
	case StageWarmingUp:
		r.reconcileWarmUp(unit, permit, permitKnown)
	case StageCancelling:
		r.reconcileCancel(unit, permit, permitKnown)
	}
}

// requireActivePermit reports whether the unit's permit lets it be changed, and otherwise makes it start over: evidence
// completed the permit before the unit was rolled back, or an operator completed it.
func (r *reconciler) requireActivePermit(unit *Unit, permit disruption.Permit, permitKnown bool) bool {
	if permitKnown && (permit.Stage == disruption.StageActive || permit.Stage == disruption.StageReturning) {
		return true
	}
	r.enterStage(unit, StagePending)
	return false
}

// enterStage moves a unit to a stage.
func (r *reconciler) enterStage(unit *Unit, stage Stage) {
	unit.Stage = stage
	unit.StageSinceMS = r.view.NowMS
	unit.Request = nil
}

// inStageLongerThan reports whether a unit has been in its stage for longer than a timeout.
func (r *reconciler) inStageLongerThan(unit *Unit, timeoutMS int64) bool {
	return r.view.NowMS-unit.StageSinceMS > timeoutMS
}

// recordFailedStart records a start that failed. It is tried again once; then the unit fails.
func (r *reconciler) recordFailedStart(unit *Unit, reason string) {
	unit.FailedStarts++
	if unit.FailedStarts < maxFailedStarts && unit.RequestCount < maxRequestsPerUnit {
		unit.Reason = reason
		r.enterStage(unit, r.release.firstUpdateStage())
		return
	}
	r.failUnit(unit, reason)
}

// failUnit records that a unit cannot run its desired image. In a rollout that halts the release and returns the unit at
// once; in a rollback the unit has failed.
func (r *reconciler) failUnit(unit *Unit, reason string) {
	reason = fmt.Sprintf("%s on %s: %s", unit.ID, unit.desiredImage(), reason)
	if unit.Rollback {
		unit.Stage = StageFailed
		unit.Request = nil
		unit.Reason = reason
		return
	}
	*unit = r.rollbackUnit(*unit)
	unit.Reason = reason
	r.failures = append(r.failures, reason)
}

// permitEnded reports whether evidence or an operator has ended a permit.
func permitEnded(permit disruption.Permit) bool {
	return permit.Stage == disruption.StageCompleted || permit.Stage == disruption.StageCancelled
}

// runsImage reports whether a listed unit runs an image.
func runsImage(listed *supervisor.Unit, image Image) bool {
	return listed.Version == image.Version && listed.ConfigName == image.ConfigName
}
