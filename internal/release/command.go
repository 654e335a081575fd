package release

import (
	"cmp"
	"fmt"

	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// haltedByGuard is who halts a release where no operator does. It is stored in Status.HaltedBy.
const haltedByGuard = "guard"

// defaultCommandReason is stored where an operator gave no reason.
const defaultCommandReason = "by hand"

// handleCommands handles the operators' commands that are new, in their order. One that does not fit the phase is ignored.
func (r *reconciler) handleCommands() {
	for ; r.status.HandledCommands < len(r.view.Commands); r.status.HandledCommands++ {
		r.handleCommand(r.view.Commands[r.status.HandledCommands])
	}
}

func (r *reconciler) handleCommand(command Command) {
	reason := cmp.Or(command.Reason, defaultCommandReason)
	switch command.Action {
	case CommandHalt:
		if r.status.Phase == PhaseRollout {
			r.halt(command.Operator, reason, plan.OnHaltHold)
		}
	case CommandResume:
		if r.status.Phase == PhaseHalted {
			r.status.Phase = PhaseRollout
			r.status.HaltedBy = ""
			r.status.HaltReason = ""
			r.status.BakeStartMS = 0
		}
	case CommandRollback:
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

// checkGuards halts a rollout whose new version regresses, or whose deadline is over.
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

// halt ends the rollout at once. Under plan.OnHaltRollback every unit returns to its previous image. Otherwise a unit that
// has not been stopped yet returns, and one that is being started or reloaded finishes.
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

// finishesUnderHalt reports whether a unit at this stage goes on while the release is halted: it has been changed already.
func (r *reconciler) finishesUnderHalt(stage Stage) bool {
	switch stage {
	case StageStarting, StageReloading, StageWarmingUp:
		return true
	case StageStopping:
		return r.release.DrainOnly
	}
	return false
}

// rollbackUnit turns a unit towards its previous image, at whatever stage it is.
func (r *reconciler) rollbackUnit(unit Unit) Unit {
	if unit.Rollback {
		return unit
	}
	switch unit.Stage {
	case StagePending:
		return unit
	case StageRequestingPermit, StagePreparing, StageBeginningDisruption, StageDraining, StageCancelling:
		unit.Stage = StageCancelling // it has not been changed: its permit is cancelled
		return unit
	case StageConverged, StageFailed:
		unit.Stage = StagePending // it returns under a permit of its own
	default:
		unit.Stage = r.release.firstUpdateStage() // it is out, and returns under the permit that it has
	}
	unit.Rollback = true
	unit.FailedStarts = 0
	unit.Request = nil
	unit.StageSinceMS = r.view.NowMS
	return unit
}
