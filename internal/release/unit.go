package release

import (
	"cmp"
	"fmt"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// reconcileUnit does what a unit's written stage asks for, and goes on to the next once there is evidence.
func (r *reconciler) reconcileUnit(i int) {
	unit := r.release.Units[i]
	if changed, ok := r.changed[i]; ok && changed.Stage != unit.Stage {
		return // a halt has just sent it elsewhere: that is written first
	}
	if !unit.inProgress() {
		return
	}
	unit = r.unit(i)
	permit, known := r.view.Permit(r.release.PermitID(&unit))
	if active := known && (permit.Stage == disruption.StageActive || permit.Stage == disruption.StageReturning); !active && (unit.Stage == StageStopping || unit.Stage == StageReloading) {
		// Evidence had settled its permit when it was turned, or an operator has: nobody is taken out without one.
		r.enterStage(&unit, StagePending)
		r.setUnit(i, unit)
		return
	}
	switch unit.Stage {
	case StageRequestingPermit, StagePreparing, StageBeginningDisruption:
		r.reconcilePermit(&unit, permit, known)
	case StageDraining:
		r.reconcileDrain(&unit)
	case StageStopping:
		r.reconcileStop(&unit)
	case StageStarting:
		r.reconcileStart(&unit)
	case StageReloading:
		r.reconcileReload(&unit)
	case StageWarmingUp:
		r.reconcileWarmUp(&unit, permit, known)
	case StageCancelling:
		r.reconcileCancel(&unit, permit, known)
	}
	r.setUnit(i, unit)
}

// enterStage goes on to a stage.
func (r *reconciler) enterStage(unit *Unit, stage Stage) {
	unit.Stage, unit.StageSinceMS, unit.Request = stage, r.view.NowMS, nil
}

func (r *reconciler) emitPermitOp(kind disruption.OpKind, unit *Unit) {
	r.emit(ApplyLedgerOp{disruption.Op{Kind: kind, Owner: Owner(r.release.Name), Permit: &disruption.Permit{ID: r.release.PermitID(unit)}}})
}

// requestPermit asks for a unit's permit; a repeat is no second one.
func (r *reconciler) requestPermit(unit *Unit) {
	permit := &disruption.Permit{
		ID: r.release.PermitID(unit), Owner: Owner(r.release.Name), Units: []string{unit.ID}, Priority: disruption.PriorityRollout, Disposition: disruption.DispositionReturn,
		Purpose: strings.TrimSpace("to " + unit.desiredImage().Version + " " + unit.desiredImage().ConfigName),
	}
	switch {
	case unit.RollbackPermit:
		permit.Priority = disruption.PriorityRollback
	case r.release.DrainOnly:
		permit.Priority, permit.Disposition, permit.Purpose = disruption.PriorityDrain, disruption.DispositionRetire, "drained"
	}
	r.emit(ApplyLedgerOp{disruption.Op{Kind: disruption.OpRequest, Owner: permit.Owner, Permit: permit}})
}

// reconcilePermit follows a permit from its asking to its begin. A grant that a halt has taken back is waited for again.
func (r *reconciler) reconcilePermit(unit *Unit, permit disruption.Permit, known bool) {
	granted := known && permit.Stage != disruption.StageRequested
	switch {
	case known && (permit.Stage == disruption.StageCancelled || permit.Stage == disruption.StageCompleted):
		unit.Reason = "its permit was ended by an operator"
		r.enterStage(unit, StagePending)
	case unit.Stage == StageRequestingPermit && !known:
		r.requestPermit(unit)
		if reason := r.view.DeniedPermits[r.release.PermitID(unit)]; reason != "" && r.view.NowMS-unit.StageSinceMS > requestEffectTimeoutMS {
			r.failures = append(r.failures, unit.ID+": no permit can be had: "+reason)
			unit.Stage, unit.Reason = StageFailed, "no permit can be had: "+reason
			if !unit.Rollback {
				r.enterStage(unit, StagePending)
			}
		}
	case unit.Stage == StageRequestingPermit && granted:
		r.enterStage(unit, StagePreparing)
		if r.release.unitKind() != disruption.KindServer {
			r.enterStage(unit, StageBeginningDisruption)
		}
	case unit.Stage == StageRequestingPermit:
		unit.Reason = permit.WaitReason
	case !granted:
		r.enterStage(unit, StageRequestingPermit)
	case unit.Stage == StagePreparing && (r.view.Prepared(unit.ID) || r.exitedOrLost(unit)):
		r.enterStage(unit, StageBeginningDisruption)
	case unit.Stage == StagePreparing:
		r.emit(PrepareUnit{unit.ID})
	case permit.Stage == disruption.StageGranted:
		r.emitPermitOp(disruption.OpBegin, unit)
	case r.release.unitKind() == disruption.KindServer:
		r.enterStage(unit, StageDraining)
	default:
		r.enterStage(unit, r.release.replacementStage())
	}
	if unit.Stage != StageRequestingPermit {
		unit.Reason = ""
	}
}

// exitedOrLost tells whether a unit has ended by itself, so that nothing can be open on it.
func (r *reconciler) exitedOrLost(unit *Unit) bool {
	ledgerUnit, known := r.view.Unit(unit.ID)
	if known && ledgerUnit.Condition == disruption.ConditionLost {
		return true
	}
	platform := r.view.Platform
	if platform == nil {
		return false
	}
	listed := platform.Find(unit.Name)
	return listed != nil && listed.State == supervisor.Exited
}

func (r *reconciler) reconcileDrain(unit *Unit) {
	if r.view.Drained(unit.ID) || r.exitedOrLost(unit) {
		r.enterStage(unit, StageStopping)
		return
	}
	r.emit(MarkTerminating{unit.ID})
}

// confirmedStopped is the evidence that a unit has no process. That it is not listed says so only where the platform knows all that
// it runs: one that has forgotten lists nothing, and everything runs on.
func confirmedStopped(platform *supervisor.List, name string) bool {
	listed := platform.Find(name)
	if listed == nil {
		return platform.Complete
	}
	return listed.State == supervisor.Exited
}

func (r *reconciler) reconcileStop(unit *Unit) {
	platform := r.view.Platform
	if platform == nil {
		return
	}
	if confirmedStopped(platform, unit.Name) {
		if r.release.DrainOnly && !unit.Rollback {
			r.enterStage(unit, StageWarmingUp)
			return
		}
		r.enterStage(unit, StageStarting)
		return
	}
	listed := platform.Find(unit.Name)
	if listed == nil {
		return // it may run: the platform has forgotten, and has not found all again
	}
	if r.ensureRequested(unit, platform, supervisor.Stop, listed.Incarnation) {
		return
	}
	// It was asked and answered. What is still there after a while was not stopped, or only told to: ask anew.
	timeoutMS := int64(requestEffectTimeoutMS)
	if listed.State == supervisor.Stopping {
		timeoutMS = stopTimeoutMS
	}
	if r.requestAccepted(unit) && platform.AtMS-listed.SinceMS > timeoutMS && r.view.NowMS-unit.Request.DecidedAtMS > timeoutMS {
		unit.Request = nil
	}
}

func (r *reconciler) reconcileStart(unit *Unit) {
	platform := r.view.Platform
	if platform == nil {
		return
	}
	listed, desired := platform.Find(unit.Name), unit.desiredImage()
	incarnation := uint64(0)
	if listed != nil {
		incarnation = listed.Incarnation
	}
	switch {
	case listed == nil && !platform.Complete:
		return // it may run already
	case listed != nil && listed.State != supervisor.Exited && (listed.Version != desired.Version || listed.ConfigName != desired.ConfigName):
		r.enterStage(unit, StageStopping) // something else was started in its place
		return
	case listed != nil && listed.State == supervisor.Running:
		r.enterStage(unit, StageWarmingUp)
		return
	case listed != nil && listed.State == supervisor.Starting:
		if r.view.NowMS-unit.StageSinceMS > startTimeoutMS && platform.AtMS-listed.SinceMS > startTimeoutMS {
			r.recordFailedStart(unit, "it was started and is not ready")
		}
		return
	case listed != nil && listed.State == supervisor.Stopping:
		r.enterStage(unit, StageStopping)
		return
	}
	// It is not there, or has exited: as it was before the call, or by itself after it.
	if unit.Request != nil && unit.Request.Epoch == platform.Epoch && listed != nil && incarnation != unit.Request.Incarnation {
		if platform.AtMS-listed.SinceMS > exitConfirmationMS && listed.Version == desired.Version {
			r.recordFailedStart(unit, cmp.Or(listed.Exit, "it ended"))
		}
		return
	}
	if r.ensureRequested(unit, platform, supervisor.Start, incarnation) {
		return
	}
	if r.requestAccepted(unit) && r.view.NowMS-unit.Request.DecidedAtMS > requestEffectTimeoutMS {
		unit.Request = nil
	}
}

func (r *reconciler) reconcileReload(unit *Unit) {
	if reason := r.view.ConfigRejection(unit.ID, unit.desiredImage().ConfigName); reason != "" && r.requestAccepted(unit) {
		r.failUnit(unit, "it refuses the configuration: "+reason)
		return
	}
	platform := r.view.Platform
	if platform == nil {
		return
	}
	listed := platform.Find(unit.Name)
	// It serves on by what it has until it has read the other: the platform's word alone is no evidence, nor is its own,
	// as one that was refused the other has the old one still, and would read the other at its next start.
	if running, known := r.view.Running(unit.ID); known && running == unit.desiredImage() && listed != nil && listed.ConfigName == unit.desiredImage().ConfigName {
		r.enterStage(unit, StageWarmingUp)
		return
	}
	if listed == nil || listed.State != supervisor.Running {
		if r.view.NowMS-unit.StageSinceMS > startTimeoutMS {
			r.recordFailedStart(unit, "it does not run")
		}
		return
	}
	if r.ensureRequested(unit, platform, supervisor.Reload, listed.Incarnation) {
		return
	}
	if r.requestAccepted(unit) && r.view.NowMS-unit.Request.DecidedAtMS > requestEffectTimeoutMS {
		r.recordFailedStart(unit, "it does not take the configuration up")
	}
}

// ensureRequested has the written call made, or a new one decided, which is written before it is made. It tells whether that is all
// for now: once the call was answered, its evidence is looked for in the list.
func (r *reconciler) ensureRequested(unit *Unit, platform *supervisor.List, op supervisor.Op, incarnation uint64) bool {
	if unit.Request == nil || unit.Request.Op != op || unit.Request.Epoch != platform.Epoch {
		if unit.RequestCount >= maxRequestsPerUnit {
			r.recordFailedStart(unit, "the platform does not do what it says")
			return true
		}
		unit.RequestCount++
		unit.Request = &PlatformRequest{Sequence: unit.RequestCount, Op: op, Epoch: platform.Epoch, Incarnation: incarnation, DecidedAtMS: r.view.NowMS}
		return true
	}
	outcome, answered := r.view.Outcomes[r.release.RequestID(unit)]
	if !answered {
		r.emit(CallPlatform{r.release.platformRequest(unit)})
		return true
	}
	switch outcome.Rejected {
	case "":
		return false
	case supervisor.UnknownVersion:
		r.failUnit(unit, cmp.Or(outcome.Detail, "the platform has no such version"))
		return true
	}
	// A refusal has changed nothing, and a repeat would be refused alike: the list tells what is to be asked now.
	if r.view.NowMS-unit.Request.DecidedAtMS > requestEffectTimeoutMS {
		unit.Request = nil
	}
	return true
}

func (r *reconciler) requestAccepted(unit *Unit) bool {
	if unit.Request == nil {
		return false
	}
	outcome, answered := r.view.Outcomes[r.release.RequestID(unit)]
	return answered && outcome.Rejected == ""
}

// reconcileWarmUp waits for the evidence that a unit is back: its permit settled. The platform's word that it runs is not enough.
func (r *reconciler) reconcileWarmUp(unit *Unit, permit disruption.Permit, known bool) {
	switch {
	case known && (permit.Stage == disruption.StageCompleted || permit.Stage == disruption.StageCancelled):
		unit.FailedStarts, unit.Reason = 0, ""
		r.enterStage(unit, StageConverged)
		return
	case r.release.DrainOnly && !unit.Rollback && r.listedAlive(unit):
		r.enterStage(unit, StageStopping) // it had ended by itself, and the platform has started it again
		return
	case known && permit.Stage == disruption.StageActive && !(r.release.DrainOnly && !unit.Rollback):
		r.emitPermitOp(disruption.OpReturn, unit)
	}
	ledgerUnit, registered := r.view.Unit(unit.ID)
	switch {
	case !registered && !known && r.release.DrainOnly && !unit.Rollback: // its permit is settled, and it is out of the list for good
		r.enterStage(unit, StageConverged)
		return
	case !registered || ledgerUnit.Condition != disruption.ConditionUp && !(r.release.DrainOnly && ledgerUnit.Condition == disruption.ConditionLost):
	case known:
		r.emitPermitOp(disruption.OpComplete, unit)
		return
	default: // it was over so long ago that it is not kept
		r.enterStage(unit, StageConverged)
		return
	}
	if r.release.DrainOnly && !unit.Rollback {
		return
	}
	platform := r.view.Platform
	if platform != nil {
		listed := platform.Find(unit.Name)
		switch {
		case listed != nil && listed.State == supervisor.Exited && platform.AtMS-listed.SinceMS > exitConfirmationMS:
			r.recordFailedStart(unit, cmp.Or(listed.Exit, "it ended"))
			return
		case listed == nil && platform.Complete:
			r.enterStage(unit, StageStarting)
			return
		}
	}
	if r.view.NowMS-unit.StageSinceMS > warmUpTimeoutMS {
		condition := disruption.Condition("not registered")
		if registered {
			condition = ledgerUnit.Condition
		}
		r.recordFailedStart(unit, fmt.Sprintf("it runs, but is %s after %d s", condition, warmUpTimeoutMS/1000))
	}
}

// listedAlive tells whether the platform lists a unit as one that is not over.
func (r *reconciler) listedAlive(unit *Unit) bool {
	platform := r.view.Platform
	if platform == nil {
		return false
	}
	listed := platform.Find(unit.Name)
	return listed != nil && listed.State != supervisor.Exited
}

// reconcileCancel gives a permit back before anything was stopped under it, and puts a server that drains into the list again.
func (r *reconciler) reconcileCancel(unit *Unit, permit disruption.Permit, known bool) {
	ledgerUnit, registered := r.view.Unit(unit.ID)
	switch {
	case !known || permit.Stage == disruption.StageCancelled || permit.Stage == disruption.StageCompleted:
		unit.Reason = ""
		r.enterStage(unit, StagePending)
		return
	case r.release.unitKind() == disruption.KindServer:
		// Whether it drains already cannot be known from what is seen: it may have been told so a moment ago.
		r.emit(MarkReady{unit.ID})
	}
	switch {
	case !permit.Aborted:
		r.emitPermitOp(disruption.OpCancel, unit)
	case registered && ledgerUnit.Condition == disruption.ConditionUp:
		if r.release.unitKind() == disruption.KindSidecar {
			r.reportSidecarUp(unit, ledgerUnit)
		}
		r.emitPermitOp(disruption.OpComplete, unit)
	}
}

// reportSidecarUp tells the ledger that a sidecar under whose permit nothing was done runs on as before. The list tells of changes
// alone, and here there was none, so that no other evidence would ever come.
func (r *reconciler) reportSidecarUp(unit *Unit, ledgerUnit disruption.Unit) {
	platform := r.view.Platform
	if platform == nil {
		return
	}
	if listed := platform.Find(unit.Name); listed != nil && listed.State == supervisor.Running {
		r.emit(ApplyLedgerOp{disruption.Op{Kind: disruption.OpObserve, Owner: Owner(r.release.Name),
			Observed: []disruption.Unit{{ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: ledgerUnit.TransitionRevision}}}})
	}
}

// recordFailedStart notes a start that came to nothing. It is tried again; then the unit has failed.
func (r *reconciler) recordFailedStart(unit *Unit, reason string) {
	unit.FailedStarts++
	if unit.FailedStarts < maxFailedStarts && unit.RequestCount < maxRequestsPerUnit {
		unit.Reason = reason
		r.enterStage(unit, r.release.replacementStage())
		return
	}
	r.failUnit(unit, reason)
}

// failUnit notes a unit that cannot come up as it is wanted. On the way forward that halts the release, and the unit goes
// back at once; on the way back it is lost.
func (r *reconciler) failUnit(unit *Unit, reason string) {
	reason = fmt.Sprintf("%s on %s: %s", unit.ID, strings.TrimSpace(unit.desiredImage().Version+" "+unit.desiredImage().ConfigName), reason)
	if unit.Rollback {
		unit.Stage, unit.Request, unit.Reason = StageFailed, nil, reason
		return
	}
	*unit = r.rollbackUnit(*unit)
	unit.Reason = reason
	r.failures = append(r.failures, reason)
}
