package maintenance

import (
	"slices"

	"milldeck/internal/disruption"
)

// Reasons that the Reconciler gives for a return. They are stored with the window.
const (
	reasonContractChanged = "a contract has changed"
	reasonDrainTimeout    = "it did not drain in time"
	reasonPermitRevoked   = "its permit was taken away"
	reasonCloseReached    = "the close came before the work was over"
)

// reconcilePass is the state of one call of Reconcile, with the view and the clocks that were read for it.
type reconcilePass struct {
	reconciler *Reconciler
	view       *View
	table      *Table
	clock      ClockReading
	now        timeBounds

	scheduled bool // a window was scheduled in this pass; the next one needs a view that contains it
}

// nextRunMS returns the monotonic time by which a window has to be reconciled again.
func (p *reconcilePass) nextRunMS(window *Window) int64 {
	return p.clock.MonotonicMS + p.pollIntervalMS(window)
}

func (p *reconcilePass) pollIntervalMS(window *Window) int64 {
	switch {
	case window.Finished() || window.Stage == StageHalted:
		return idlePollMS
	case window.Stage == StageOverrun || window.Stage == StageAwaitingPermit:
		return ExclusionRefreshMS // a granted permit changes the state, and the caller reconciles at once
	case window.Stage == StageApproved && p.now.earliest < window.PlannedStartMS:
		return min(idlePollMS, window.PlannedStartMS-p.now.earliest)
	case window.Stage == StageDrained:
		workEndsMS := window.DrainedAtMS + window.WorkMS
		returnStartsMS := window.ClosesAtMS - CloseMarginMS - p.table.EstimatedReturnMS()
		refreshMS := window.ExcludedUntilMS - ExclusionTTLMS + ExclusionRefreshMS
		dueInMS := min(workEndsMS, returnStartsMS, refreshMS) - p.now.latest
		return max(activePollMS, min(dueInMS, ExclusionRefreshMS))
	}
	return activePollMS
}

// nextAction returns the next write for a window; nil: there is none yet.
func (p *reconcilePass) nextAction(window *Window) Action {
	switch {
	case window.Stage == StageDraining:
		return p.reconcileDraining(window)
	case window.Stage == StageDrained:
		return p.reconcileDrained(window)
	case window.Stage == StageReturning || window.Stage == StageOverrun && window.OutOfService():
		return p.reconcileReturning(window)
	case window.Stage == StageAwaitingPermit:
		return p.reconcileAwaitingPermit(window)
	case p.openPermitStage(window) != "": // an earlier attempt took no server out: cancel its permit before the next attempt
		return ledgerAction(disruption.OpCancel, window)
	case window.Stage == StageProposed:
		return p.schedule(window)
	case window.Stage == StageApproved:
		return p.reconcileApproved(window)
	}
	return nil
}

func ledgerAction(kind disruption.OpKind, window *Window) *LedgerAction {
	return &LedgerAction{
		Kind:       kind,
		PermitID:   window.PermitID(),
		ServerUIDs: window.ServerUIDs,
		Purpose:    "window " + window.Name,
	}
}

// openPermitStage returns the stage of the window's permit; "" if the permit has ended or was not requested yet.
func (p *reconcilePass) openPermitStage(window *Window) disruption.Stage {
	stage := p.view.PermitStages[window.PermitID()]
	if permitEnded(stage) {
		return ""
	}
	return stage
}

func permitEnded(stage disruption.Stage) bool {
	return stage == disruption.StageCompleted || stage == disruption.StageCancelled
}

// schedule plans a window, or rejects it if there is no start. It handles one window per pass.
func (p *reconcilePass) schedule(window *Window) Action {
	if p.scheduled {
		return nil
	}
	p.scheduled = true
	request := Request{
		Name:         window.Name,
		ServerUIDs:   window.ServerUIDs,
		WorkMS:       window.WorkMS,
		NotBeforeMS:  window.NotBeforeMS,
		ProposedAtMS: window.ProposedAtMS,
	}
	plan, err := p.reconciler.planner.Plan(p.table, p.view.Fleet, request, p.now.latest)
	if err != nil {
		return reject(err.Error())
	}
	return &Operation{Kind: OpSchedule, Approvals: plan.Approvals, PlannedStartMS: plan.StartMS}
}

func reject(reason string) *Operation {
	return &Operation{Kind: OpReject, Reason: reason[:min(len(reason), maxReasonLength)]}
}

// approvalsCurrent reports whether the window has an approval of every tenant of its servers, each by the
// contract in force.
func (p *reconcilePass) approvalsCurrent(window *Window) bool {
	for i := range window.Approvals {
		if p.table.contractOf(&window.Approvals[i]) == nil {
			return false
		}
	}
	for tenant := range p.view.Fleet.ServerCounts(p.table, window.ServerUIDs) {
		if !window.involves(tenant) {
			return false
		}
	}
	return true
}

func (p *reconcilePass) reconcileApproved(window *Window) Action {
	if !p.approvalsCurrent(window) {
		return p.schedule(window)
	}
	if p.now.earliest < window.PlannedStartMS {
		return nil
	}
	switch OutcomeOf(p.table.checkDrain(window, p.now)) {
	case OutcomeApplied:
		return &Operation{Kind: OpAwaitPermit}
	case OutcomeBlocked:
		return nil
	}
	return p.schedule(window)
}

func (p *reconcilePass) reconcileAwaitingPermit(window *Window) Action {
	stage, requested := p.view.PermitStages[window.PermitID()]
	rejection, permitRejected := p.reconciler.permitRejections[window.Name]
	delete(p.reconciler.permitRejections, window.Name) // a rejection is used once: the window may be proposed again
	switch {
	case permitRejected && !requested: // if requested, an earlier request succeeded and its answer was lost
		return reject(rejection)
	case p.table.checkDrain(window, p.now) != nil || !p.approvalsCurrent(window):
		return p.schedule(window)
	case !requested:
		return p.requestPermit(window)
	case stage == disruption.StageGranted:
		return &Operation{Kind: OpBeginDrain}
	case permitEnded(stage):
		return p.schedule(window)
	}
	return nil
}

func (p *reconcilePass) requestPermit(window *Window) Action {
	action := ledgerAction(disruption.OpRequest, window)
	action.Priority = disruption.PriorityDrain
	slackMS := window.ClosesAtMS - p.now.latest - p.table.EstimatedTotalMS(window.WorkMS)
	if slackMS < urgentSlackMS {
		action.Priority = disruption.PriorityDeadline
	}
	return action
}

// exclusionLapsed reports whether the exclusion has expired because a clock fault prevents its extension.
func (p *reconcilePass) exclusionLapsed(window *Window) bool {
	expiryMS := max(window.ExcludedUntilMS, window.DrainStartedAtMS+ExclusionTTLMS)
	return p.table.ClockFault() != "" && p.now.latest >= expiryMS
}

func returnTo(nextStage Stage, reason string) *Operation {
	return &Operation{Kind: OpBeginReturn, StageAfterReturn: nextStage, Reason: reason}
}

func (p *reconcilePass) reconcileDraining(window *Window) Action {
	permit := p.openPermitStage(window)
	haltReason, halted := p.table.haltReason(window)
	switch {
	case !p.approvalsCurrent(window):
		return returnTo(StageProposed, reasonContractChanged)
	case halted:
		return returnTo(StageProposed, haltReason)
	case p.exclusionLapsed(window):
		return returnTo(StageProposed, p.table.ClockFault())
	case p.now.latest+window.WorkMS+p.table.EstimatedReturnMS()+CloseMarginMS > window.ClosesAtMS:
		return returnTo(StageProposed, reasonDrainTimeout)
	case permit == "":
		return returnTo(StageHalted, reasonPermitRevoked)
	case permit == disruption.StageGranted:
		return ledgerAction(disruption.OpBegin, window)
	case permit != disruption.StageActive: // the permit waits again, because a halt of the ledger has revoked the grant
		return nil
	case p.serversIdle(window):
		return &Operation{Kind: OpCompleteDrain}
	}
	return p.extendExclusion(window)
}

// serversIdle reports whether the exclusions of all tenants are in force, and every live sidecar has confirmed
// that it follows them and has no request in flight on the window's servers.
func (p *reconcilePass) serversIdle(window *Window) bool {
	if window.ExcludedUntilMS <= p.now.latest {
		return false
	}
	directives := p.table.ExclusionDirectives(window)
	if len(directives) != len(window.Approvals) {
		return false
	}
	for _, name := range p.view.LiveSidecars {
		report, known := p.reconciler.reports[name]
		fresh := known && p.clock.MonotonicMS-report.receivedAtMS <= maxReportAgeMS
		if !fresh || report.PlacementRevision < window.ExclusionRevision {
			return false
		}
		for _, directive := range directives {
			inFlight, followed := report.ExcludedInFlight[directive.ID]
			if !followed || inFlight != 0 || slices.Contains(report.SuspendedDirectives, directive.ID) {
				return false
			}
		}
	}
	return true
}

func (p *reconcilePass) reconcileDrained(window *Window) Action {
	switch {
	case p.now.earliest >= window.DrainedAtMS+window.WorkMS:
		return returnTo(StageDone, "")
	case !p.approvalsCurrent(window):
		return returnTo(StageHalted, reasonContractChanged)
	case p.exclusionLapsed(window):
		return returnTo(StageHalted, p.table.ClockFault())
	case p.now.latest+p.table.EstimatedReturnMS()+CloseMarginMS >= window.ClosesAtMS:
		return returnTo(StageHalted, reasonCloseReached)
	case p.openPermitStage(window) == "":
		return returnTo(StageHalted, reasonPermitRevoked)
	}
	return p.extendExclusion(window)
}

func (p *reconcilePass) reconcileReturning(window *Window) Action {
	allReady := true
	for _, uid := range window.ServerUIDs {
		allReady = allReady && p.view.OutOfService[uid].Ready
	}
	switch permit := p.openPermitStage(window); {
	case permit == disruption.StageRequested || permit == disruption.StageGranted: // the disruption has not begun
		return ledgerAction(disruption.OpCancel, window)
	case permit == disruption.StageActive:
		return ledgerAction(disruption.OpReturn, window)
	case allReady && permit == "":
		return &Operation{Kind: OpCompleteReturn}
	case allReady:
		return ledgerAction(disruption.OpComplete, window)
	case window.Stage == StageReturning && p.now.latest >= window.ClosesAtMS && p.table.ClockFault() == "":
		return &Operation{Kind: OpMarkOverrun}
	}
	if window.Stage == StageReturning {
		if extension := p.extendExclusion(window); extension != nil {
			return extension
		}
	}
	return ledgerAction(disruption.OpObserve, window)
}

// extendExclusion returns the operation that extends the exclusion of a window's servers, never past the close;
// nil: no extension is due.
func (p *reconcilePass) extendExclusion(window *Window) Action {
	untilMS := p.clock.WallMS + ExclusionTTLMS
	validApprovals := 0
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		if p.table.contractOf(approval) != nil {
			untilMS = min(untilMS, approval.ClosesAtMS-CloseMarginMS-max(p.now.uncertainty, leaderUncertaintyMS))
			validApprovals++
		}
	}
	remainingMS := window.ExcludedUntilMS - p.now.latest
	due := remainingMS <= ExclusionTTLMS-ExclusionRefreshMS
	extends := untilMS > window.ExcludedUntilMS && untilMS > p.now.latest+activePollMS
	if validApprovals == 0 || !due || !extends {
		return nil
	}
	return &Operation{Kind: OpExtendExclusion, ExcludeUntilMS: untilMS}
}
