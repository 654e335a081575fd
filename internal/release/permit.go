package release

import (
	"milldeck/internal/disruption"
	"milldeck/internal/supervisor"
)

// reconcilePermit handles the stages from the permit's request to the begin of the disruption.
func (r *reconciler) reconcilePermit(unit *Unit, permit disruption.Permit, permitKnown bool) {
	granted := permitKnown && permit.Stage != disruption.StageRequested
	switch {
	case permitKnown && permitEnded(permit): // an operator has ended the permit
		r.enterStage(unit, StagePending)
	case unit.Stage == StageRequestingPermit:
		r.awaitGrant(unit, permit, permitKnown, granted)
	case !granted: // a halt of the ledger has revoked the grant
		r.enterStage(unit, StageRequestingPermit)
	case unit.Stage == StagePreparing:
		r.awaitPreparation(unit)
	default:
		r.beginDisruption(unit, permit)
	}
	if unit.Stage != StageRequestingPermit {
		unit.Reason = ""
	}
}

// awaitGrant requests the permit if the ledger does not have it, and waits until it is granted.
func (r *reconciler) awaitGrant(unit *Unit, permit disruption.Permit, permitKnown, granted bool) {
	switch {
	case !permitKnown:
		r.requestPermit(unit)
		r.handleDeniedPermit(unit)
	case !granted:
		unit.Reason = permit.WaitReason
	case r.release.unitKind() == disruption.KindServer:
		r.enterStage(unit, StagePreparing)
	default: // a sidecar needs no preparation: it serves nothing that other sidecars do not
		r.enterStage(unit, StageBeginningDisruption)
	}
}

// requestPermit requests a unit's permit. The ledger recognizes a repeated request by the permit's ID.
func (r *reconciler) requestPermit(unit *Unit) {
	permit := &disruption.Permit{
		ID:          r.release.PermitID(unit),
		Owner:       Owner(r.release.Name),
		Units:       []string{unit.ID},
		Priority:    disruption.PriorityRollout,
		Disposition: disruption.DispositionReturn,
		Purpose:     purposeReleasePrefix + unit.desiredImage().String(),
	}
	switch {
	case unit.RollbackPermit:
		permit.Priority = disruption.PriorityRollback
	case r.release.DrainOnly:
		permit.Priority = disruption.PriorityDrain
		permit.Disposition = disruption.DispositionRetire
		permit.Purpose = purposeDrain
	}
	r.emit(ApplyLedgerOp{disruption.Op{Kind: disruption.OpRequest, Owner: permit.Owner, Permit: permit}})
}

// handleDeniedPermit records a failure if the ledger still denies a unit's permit after requestEffectTimeoutMS. In a
// rollback the unit then fails; in a rollout it becomes pending again.
func (r *reconciler) handleDeniedPermit(unit *Unit) {
	reason := r.view.DeniedPermits[r.release.PermitID(unit)]
	if reason == "" || !r.inStageLongerThan(unit, requestEffectTimeoutMS) {
		return
	}
	r.failures = append(r.failures, unit.ID+": "+reasonPermitDeniedPrefix+reason)
	if unit.Rollback {
		unit.Stage = StageFailed
		return
	}
	r.enterStage(unit, StagePending)
}

// awaitPreparation prepares a unit until everything that only this unit serves is available on other units.
func (r *reconciler) awaitPreparation(unit *Unit) {
	if r.view.Prepared(unit.ID) || r.exitedOrLost(unit) {
		r.enterStage(unit, StageBeginningDisruption)
		return
	}
	r.emit(PrepareUnit{unit.ID})
}

// beginDisruption records the begin of the disruption in the ledger, and enters the next stage once it is recorded.
func (r *reconciler) beginDisruption(unit *Unit, permit disruption.Permit) {
	switch {
	case permit.Stage == disruption.StageGranted:
		r.emitPermitOp(disruption.OpBegin, unit)
	case r.release.unitKind() == disruption.KindServer:
		r.enterStage(unit, StageDraining)
	default:
		r.enterStage(unit, r.release.firstUpdateStage())
	}
}

// reconcileCancel cancels the permit of a unit that has not been changed, and marks a draining server Ready again.
func (r *reconciler) reconcileCancel(unit *Unit, permit disruption.Permit, permitKnown bool) {
	if !permitKnown || permitEnded(permit) {
		unit.Reason = ""
		r.enterStage(unit, StagePending)
		return
	}
	if r.release.unitKind() == disruption.KindServer {
		// The view does not show reliably whether the server is draining: it may have been marked only a moment ago.
		r.emit(MarkReady{unit.ID})
	}
	if !permit.Aborted {
		r.emitPermitOp(disruption.OpCancel, unit)
		return
	}
	ledgerUnit, registered := r.view.Unit(unit.ID)
	if !registered || ledgerUnit.Condition != disruption.ConditionUp {
		return
	}
	if r.release.unitKind() == disruption.KindSidecar {
		r.reportSidecarUp(unit, ledgerUnit)
	}
	r.emitPermitOp(disruption.OpComplete, unit)
}

// reportSidecarUp reports to the ledger that a sidecar with a cancelled permit is still running. The registry reports only
// changes, and an unchanged sidecar has none, so the ledger would never receive other evidence.
func (r *reconciler) reportSidecarUp(unit *Unit, ledgerUnit disruption.Unit) {
	listed := r.listedUnit(unit)
	if listed == nil || listed.State != supervisor.Running {
		return
	}
	observed := disruption.Unit{
		ID:                 unit.ID,
		Condition:          disruption.ConditionUp,
		TransitionRevision: ledgerUnit.TransitionRevision,
	}
	r.emit(ApplyLedgerOp{disruption.Op{
		Kind:     disruption.OpObserve,
		Owner:    Owner(r.release.Name),
		Observed: []disruption.Unit{observed},
	}})
}
