package release

import (
	"cmp"
	"fmt"

	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// handleCommands takes in what operators have said since, in their order.
func (r *reconciler) handleCommands() {
	for ; r.status.HandledCommands < len(r.view.Commands); r.status.HandledCommands++ {
		command := r.view.Commands[r.status.HandledCommands]
		switch phase := r.status.Phase; {
		case command.Action == CommandHalt && phase == PhaseRollout:
			r.halt(command.Operator, cmp.Or(command.Reason, "by hand"), plan.OnHaltHold)
		case command.Action == CommandResume && phase == PhaseHalted:
			r.status.Phase, r.status.HaltedBy, r.status.HaltReason, r.status.BakeStartMS = PhaseRollout, "", "", 0
		case command.Action == CommandRollback && (phase == PhaseRollout || phase == PhaseHalted || phase == PhaseCompleted) && !r.status.Finalized:
			r.halt(command.Operator, cmp.Or(command.Reason, "by hand"), plan.OnHaltRollback)
		}
	}
}

// checkGuards halts by what is seen: a verdict of harm, a unit that does not come up, the deadline.
func (r *reconciler) checkGuards() {
	if r.status.Phase != PhaseRollout {
		return
	}
	if r.view.Verdict.Outcome == judge.Regression && !r.release.DrainOnly {
		r.halt("guard", r.view.Verdict.Reason, r.release.Plan.OnHalt)
		return
	}
	if float64(r.view.NowMS-r.release.StartedAtMS) > 1000*r.release.Plan.DeadlineSeconds {
		r.halt("guard", fmt.Sprintf("the deadline of %v s is over", r.release.Plan.DeadlineSeconds), r.release.Plan.OnHalt)
	}
}

// halt stops the way forward at once. What has not been stopped yet comes back; what was stopped starts as it was; what
// has been started already is left to come up, but where everything goes back.
func (r *reconciler) halt(haltedBy, reason, onHalt string) {
	r.status.HaltedBy, r.status.HaltReason, r.status.BakeStartMS, r.status.StalledSinceMS = haltedBy, reason, 0, 0
	r.status.Phase = PhaseHalted
	if onHalt == plan.OnHaltRollback && !r.release.DrainOnly {
		r.status.Phase = PhaseRollback
	}
	for i := range r.release.Units {
		unit := r.unit(i)
		switch {
		case r.status.Phase == PhaseRollback:
			r.setUnit(i, r.rollbackUnit(unit))
		case unit.Stage == StageStarting || unit.Stage == StageReloading || unit.Stage == StageWarmingUp || r.release.DrainOnly && unit.Stage == StageStopping:
		case unit.inProgress():
			r.setUnit(i, r.rollbackUnit(unit))
		}
	}
}

// rollbackUnit sends a unit back, from wherever it is.
func (r *reconciler) rollbackUnit(unit Unit) Unit {
	if unit.Rollback {
		return unit
	}
	switch unit.Stage {
	case StagePending:
		return unit
	case StageRequestingPermit, StagePreparing, StageBeginningDisruption, StageDraining, StageCancelling:
		// Its permit is given back. What it runs was not touched.
		unit.Stage = StageCancelling
		return unit
	case StageConverged, StageFailed:
		unit.Stage = StagePending // by a permit of its own
	default: // the permit that it is under is for this too
		unit.Stage = r.release.replacementStage()
	}
	unit.Rollback, unit.FailedStarts, unit.Request, unit.StageSinceMS = true, 0, nil, r.view.NowMS
	return unit
}
