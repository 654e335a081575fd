package maintenance

import (
	"slices"

	"milldeck/internal/disruption"
)

func operationEffect(op Operation) Effect { return Effect{Operation: &op} }

// ledgerEffect is an act on the window's permit.
func ledgerEffect(kind disruption.OpKind, window *Window, rank disruption.Priority) Effect {
	return Effect{LedgerAction: &LedgerAction{Kind: kind, PermitID: window.PermitID(), ServerUIDs: window.ServerUIDs, Rank: rank, Purpose: "window " + window.Name}}
}

// activePermit is the stage of the window's permit; "" where there is none any more, or none yet.
func (p *reconcilePass) activePermit(window *Window) disruption.Stage {
	stage := p.view.PermitStages[window.PermitID()]
	if stage == disruption.StageCompleted || stage == disruption.StageCancelled {
		return ""
	}
	return stage
}

// nextEffect is the window's next step; an empty effect: it waits.
func (p *reconcilePass) nextEffect(window *Window) Effect {
	switch {
	case window.Stage == StageDraining:
		return p.reconcileDraining(window)
	case window.Stage == StageDrained:
		return p.reconcileDrained(window)
	case window.Stage == StageReturning || window.Stage == StageOverrun && window.OutOfService():
		return p.reconcileReturning(window)
	case window.Stage == StageAwaitingPermit:
		return p.reconcileAwaitingPermit(window)
	case p.activePermit(window) != "": // of an attempt that took nothing out: it goes before there is another
		return ledgerEffect(disruption.OpCancel, window, 0)
	case window.Stage == StageProposed:
		return p.schedule(window)
	case window.Stage == StageApproved:
		return p.reconcileApproved(window)
	}
	return Effect{}
}

func (p *reconcilePass) schedule(window *Window) Effect {
	if p.planned {
		return Effect{}
	}
	p.planned = true
	plan, err := p.reconciler.planner.Plan(p.table, p.view.Fleet, Request{window.Name, window.ServerUIDs, window.WorkMS, window.NotBeforeMS, window.ProposedAtMS}, p.now.latest)
	if err != nil {
		reason := err.Error()
		return operationEffect(Operation{Kind: OpReject, Reason: reason[:min(len(reason), maxReasonLength)]})
	}
	return operationEffect(Operation{Kind: OpSchedule, Approvals: plan.Approvals, PlannedStartMS: plan.StartMS})
}

// approvalsCurrent tells whether all whose servers these are have approved, by the contracts in force.
func (p *reconcilePass) approvalsCurrent(window *Window) bool {
	for i := range window.Approvals {
		if active := p.table.Contract(window.Approvals[i].Tenant); active == nil || active.Version != window.Approvals[i].ContractVersion {
			return false
		}
	}
	for tenant := range p.view.Fleet.ServerCounts(p.table, window.ServerUIDs) {
		if !involvesTenant(window, tenant) {
			return false
		}
	}
	return true
}

func (p *reconcilePass) reconcileApproved(window *Window) Effect {
	if !p.approvalsCurrent(window) {
		return p.schedule(window)
	}
	if p.now.earliest < window.PlannedStartMS {
		return Effect{}
	}
	switch outcome, _ := p.table.checkDrain(window, p.now); outcome {
	case OutcomeApplied:
		return operationEffect(Operation{Kind: OpAwaitPermit})
	case OutcomeBlocked:
		return Effect{}
	}
	return p.schedule(window)
}

func (p *reconcilePass) reconcileAwaitingPermit(window *Window) Effect {
	outcome, _ := p.table.checkDrain(window, p.now)
	stage, known := p.view.PermitStages[window.PermitID()]
	rejection, rejected := p.reconciler.permitRejections[window.Name]
	delete(p.reconciler.permitRejections, window.Name)
	switch {
	case rejected && !known: // where it is known after all, an earlier try got there
		return operationEffect(Operation{Kind: OpReject, Reason: rejection[:min(len(rejection), maxReasonLength)]})
	case outcome != OutcomeApplied || !p.approvalsCurrent(window):
		return p.schedule(window)
	case !known:
		rank := disruption.PriorityDrain
		if window.ClosesAtMS-p.now.latest-p.table.EstimatedTotalMS(window.WorkMS) < urgentSlackMS {
			rank = disruption.PriorityDeadline
		}
		return ledgerEffect(disruption.OpRequest, window, rank)
	case stage == disruption.StageGranted:
		return operationEffect(Operation{Kind: OpBeginDrain})
	case stage == disruption.StageCompleted || stage == disruption.StageCancelled:
		return p.schedule(window)
	}
	return Effect{}
}

// exclusionLapsed tells whether tenants could not be told to keep off in time, for doubt about it.
func (p *reconcilePass) exclusionLapsed(window *Window) bool {
	return p.table.ClockFault() != "" && p.now.latest >= max(window.ExcludedUntilMS, window.DrainStartedAtMS+ExclusionTTLMS)
}

func (p *reconcilePass) reconcileDraining(window *Window) Effect {
	permit := p.activePermit(window)
	beginReturn := func(reason string) Effect {
		return operationEffect(Operation{Kind: OpBeginReturn, StageAfterReturn: StageProposed, Reason: reason})
	}
	switch {
	case !p.approvalsCurrent(window):
		return beginReturn("a contract has changed")
	case p.table.haltReason(window) != "":
		return beginReturn(p.table.haltReason(window))
	case p.exclusionLapsed(window):
		return beginReturn(p.table.ClockFault())
	case p.now.latest+window.WorkMS+p.table.EstimatedReturnMS()+CloseGuardMS > window.ClosesAtMS:
		return beginReturn("it did not drain in time")
	case permit == "":
		return operationEffect(Operation{Kind: OpBeginReturn, StageAfterReturn: StageHalted, Reason: "its permit was taken away"})
	case permit == disruption.StageGranted:
		return ledgerEffect(disruption.OpBegin, window, 0)
	case permit != disruption.StageActive: // a halt has taken the grant back
		return Effect{}
	case p.serversIdle(window):
		return operationEffect(Operation{Kind: OpCompleteDrain})
	}
	return p.extendExclusion(window)
}

// serversIdle tells whether each sidecar that lives follows all of the window's entries and has nothing open on its servers.
func (p *reconcilePass) serversIdle(window *Window) bool {
	if window.ExcludedUntilMS <= p.now.latest {
		return false
	}
	entries := p.table.ExclusionEntries(window)
	if len(entries) != len(window.Approvals) {
		return false
	}
	for _, name := range p.view.LiveSidecars {
		report, known := p.reconciler.reports[name]
		if !known || p.clock.MonotonicMS-report.receivedAtMS > maxReportAgeMS || report.PlacementRevision < window.ExclusionRevision {
			return false
		}
		for _, entry := range entries {
			if inFlight, followed := report.ExcludedInFlight[entry.ID]; !followed || inFlight != 0 || slices.Contains(report.SuspendedDirectives, entry.ID) {
				return false
			}
		}
	}
	return true
}

func (p *reconcilePass) reconcileDrained(window *Window) Effect {
	workFinished := p.now.earliest >= window.DrainedAtMS+window.WorkMS
	beginReturn := func(reason string) Effect {
		if workFinished {
			return operationEffect(Operation{Kind: OpBeginReturn, StageAfterReturn: StageDone})
		}
		return operationEffect(Operation{Kind: OpBeginReturn, StageAfterReturn: StageHalted, Reason: reason})
	}
	switch {
	case workFinished:
		return beginReturn("")
	case !p.approvalsCurrent(window):
		return beginReturn("a contract has changed")
	case p.exclusionLapsed(window):
		return beginReturn(p.table.ClockFault())
	case p.now.latest+p.table.EstimatedReturnMS()+CloseGuardMS >= window.ClosesAtMS:
		return beginReturn("the close came before the work was over")
	case p.activePermit(window) == "":
		return beginReturn("its permit was taken away")
	}
	return p.extendExclusion(window)
}

func (p *reconcilePass) reconcileReturning(window *Window) Effect {
	allReady := true
	for _, uid := range window.ServerUIDs {
		allReady = allReady && p.view.OutOfService[uid].Ready
	}
	switch permit := p.activePermit(window); {
	case permit == disruption.StageRequested || permit == disruption.StageGranted: // it never began
		return ledgerEffect(disruption.OpCancel, window, 0)
	case permit == disruption.StageActive:
		return ledgerEffect(disruption.OpReturn, window, 0)
	case allReady && permit == "":
		return operationEffect(Operation{Kind: OpCompleteReturn})
	case allReady:
		return ledgerEffect(disruption.OpComplete, window, 0)
	case window.Stage == StageReturning && p.now.latest >= window.ClosesAtMS && p.table.ClockFault() == "":
		return operationEffect(Operation{Kind: OpMarkOverrun})
	}
	if effect := p.extendExclusion(window); window.Stage == StageReturning && effect.Operation != nil {
		return effect
	}
	return ledgerEffect(disruption.OpObserve, window, 0)
}

// extendExclusion prolongs what tenants are told, in time and never past the close.
func (p *reconcilePass) extendExclusion(window *Window) Effect {
	untilMS := p.clock.WallMS + ExclusionTTLMS
	validApprovals := 0
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		if active := p.table.Contract(approval.Tenant); active != nil && active.Version == approval.ContractVersion {
			untilMS = min(untilMS, approval.ClosesAtMS-CloseGuardMS-max(p.now.uncertainty, leaderUncertaintyMS))
			validApprovals++
		}
	}
	if validApprovals == 0 || untilMS <= p.now.latest+activePollMS || untilMS <= window.ExcludedUntilMS || window.ExcludedUntilMS-p.now.latest > ExclusionTTLMS-ExclusionRefreshMS {
		return Effect{}
	}
	return operationEffect(Operation{Kind: OpExtendExclusion, ExcludeUntilMS: untilMS})
}
