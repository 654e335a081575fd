package release

import (
	"cmp"
	"fmt"

	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// haltedByGuard is stored in Status.HaltedBy when a guard, not an operator, halts a release.
const haltedByGuard = "guard"

// defaultCommandReason is stored in Status.HaltReason when an operator gives no reason.
const defaultCommandReason = "by hand"

// handleCommands handles the operators' new commands in order. It ignores a command that the present phase does not allow.
func (r *reconciler) handleCommands() {
	for ; r.status.HandledCommands < len(r.view.Commands); r.status.HandledCommands++ {
		r.handleCommand(r.view.Commands[r.status.HandledCommands])
	}
}

func (r *reconciler) handleCommand(command Command) {
	reason := cmp.Or(command.Reason, defaultCommandReason)
	switch command.Action {
	case ActionHalt:
		if r.status.Phase == PhaseRollout {
			r.halt(command.Operator, reason, plan.OnHaltHold)
		}
	case ActionResume:
		if r.status.Phase == PhaseHalted {
			r.status.Phase = PhaseRollout
			r.status.HaltedBy = ""
			r.status.HaltReason = ""
			r.status.BakeStartMS = 0
		}
	case ActionRollback:
		if r.rollbackAllowed() {
			r.halt(command.Operator, reason, plan.OnHaltRollback)
		}
	}
}

func (r *reconciler) rollbackAllowed() bool {
	if r.status.Finalized {
		return false
	}
	phase := r.status.Phase
	return phase == PhaseRollout || phase == PhaseHalted || phase == PhaseCompleted
}

// checkGuards halts a rollout if the new version regresses or the deadline has passed.
func (r *reconciler) checkGuards() {
	if r.status.Phase != PhaseRollout {
		return
	}
	policy := r.release.Plan.OnHalt
	if r.view.Verdict.Outcome == judge.Regression && !r.release.DrainOnly {
		r.halt(haltedByGuard, r.view.Verdict.Reason, policy)
		return
	}
	deadline := r.release.Plan.DeadlineSeconds
	if float64(r.view.NowMS-r.release.StartedAtMS) > msPerSecond*deadline {
		r.halt(haltedByGuard, fmt.Sprintf("the deadline of %v s is over", deadline), policy)
	}
}

// halt stops the rollout at once. Under plan.OnHaltRollback every unit returns to its previous image, unless the release
// is a drain. Otherwise only units in progress are affected: those that have already been changed finish (see
// finishesUnderHalt), and the other units in progress return to their previous image.
func (r *reconciler) halt(haltedBy, reason string, policy plan.HaltPolicy) {
	r.status.HaltedBy = haltedBy
	r.status.HaltReason = reason
	r.status.BakeStartMS = 0
	r.status.StalledSinceMS = 0
	r.status.Phase = PhaseHalted
	if policy == plan.OnHaltRollback && !r.release.DrainOnly {
		r.status.Phase = PhaseRollback
	}
	for i := range r.release.Units {
		unit := r.unit(i)
		if r.status.Phase == PhaseRollback || unit.inProgress() && !r.finishesUnderHalt(unit.Stage) {
			r.setUnit(i, r.rollbackUnit(unit))
		}
	}
}

// finishesUnderHalt reports whether a unit at this stage continues while the release is halted, because the unit has
// already been changed.
func (r *reconciler) finishesUnderHalt(stage Stage) bool {
	switch stage {
	case StageStarting, StageReloading, StageWarmingUp:
		return true
	case StageStopping:
		return r.release.DrainOnly
	}
	return false
}

// rollbackUnit returns a unit with its direction changed to the previous image. The unit may be at any stage.
func (r *reconciler) rollbackUnit(unit Unit) Unit {
	if unit.Rollback {
		return unit
	}
	switch unit.Stage {
	case StagePending:
		return unit
	case StageRequestingPermit, StagePreparing, StageBeginningDisruption, StageDraining, StageCancelling:
		unit.Stage = StageCancelling // the unit is unchanged, so cancelling its permit is enough
		return unit
	case StageConverged, StageFailed:
		unit.Stage = StagePending // the rollback requests another permit
	default:
		unit.Stage = r.release.firstUpdateStage() // the unit is out, so the present permit covers the rollback
	}
	unit.Rollback = true
	unit.FailedStarts = 0
	unit.Request = nil
	unit.StageSinceMS = r.view.NowMS
	return unit
}
