package release

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// Values of Unit.Reason that do not come from the platform, the ledger or a sidecar. They are stored.
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

// conditionUnregistered is the condition that stored reasons give for a unit that is not in the ledger.
const conditionUnregistered = disruption.Condition("not registered")

// reconcileUnit emits the effects that a unit's written stage requires, and moves the unit to the next stage once the
// view has the evidence for it.
func (r *reconciler) reconcileUnit(i int) {
	written := r.release.Units[i]
	if changed, ok := r.changed[i]; ok && changed.Stage != written.Stage {
		return // a halt has changed the stage in this run: the change must be written before its effects
	}
	if !written.inProgress() {
		return
	}
	unit := r.unit(i)
	permit, permitKnown := r.view.Permit(r.release.PermitID(&unit))
	r.reconcileStage(&unit, permit, permitKnown)
	r.setUnit(i, unit)
}

// reconcileStage calls the function for the unit's stage. permitKnown says whether the view has the unit's permit.
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

// requireActivePermit reports whether the unit's permit allows changing the unit. If it does not, requireActivePermit
// makes the unit pending again. A permit has ended early if evidence completed it before the unit was rolled back, or if
// an operator completed it.
func (r *reconciler) requireActivePermit(unit *Unit, permit disruption.Permit, permitKnown bool) bool {
	if permitKnown && (permit.Stage == disruption.StageActive || permit.Stage == disruption.StageReturning) {
		return true
	}
	r.enterStage(unit, StagePending)
	return false
}

// enterStage moves a unit to a stage and drops the platform request of the previous stage.
func (r *reconciler) enterStage(unit *Unit, stage Stage) {
	unit.Stage = stage
	unit.StageSinceMS = r.view.NowMS
	unit.Request = nil
}

func (r *reconciler) inStageLongerThan(unit *Unit, timeoutMS int64) bool {
	return r.view.NowMS-unit.StageSinceMS > timeoutMS
}

// recordFailedStart records a failed start. The start is retried once; after a second failure the unit fails.
func (r *reconciler) recordFailedStart(unit *Unit, reason string) {
	unit.FailedStarts++
	if unit.FailedStarts < maxFailedStarts && unit.RequestCount < maxRequestsPerUnit {
		unit.Reason = reason
		r.enterStage(unit, r.release.firstUpdateStage())
		return
	}
	r.failUnit(unit, reason)
}

// failUnit records that a unit cannot run its desired image. In a rollout this halts the release and rolls the unit back
// at once. In a rollback the unit enters StageFailed.
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

// permitEnded reports whether a permit is closed: completed, by evidence or by an operator, or cancelled.
func permitEnded(permit disruption.Permit) bool {
	return permit.Stage == disruption.StageCompleted || permit.Stage == disruption.StageCancelled
}

func runsImage(listed *supervisor.Unit, image Image) bool {
	return listed.Version == image.Version && listed.ConfigName == image.ConfigName
}
