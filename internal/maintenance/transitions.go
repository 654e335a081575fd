package maintenance

import (
	"slices"

	"milldeck/internal/disruption"
)

// transition applies an operation to one window. The window is a copy, which the caller stores only if the
// operation is accepted.
func (t *Table) transition(window *Window, revision uint64, op *Operation, now timeBounds) error {
	if !op.Kind.permittedAt(window) {
		return rejected(OutcomeStale, "%s is %s: no %s", window.Name, window.Stage, op.Kind)
	}
	switch op.Kind {
	case OpSchedule:
		return t.schedule(window, op)
	case OpReject:
		window.Stage = StageRejected
		window.Reason = op.Reason
		return nil
	case OpAwaitPermit:
		return t.awaitPermit(window, now)
	case OpBeginDrain:
		return t.beginDrain(window, now)
	case OpExtendExclusion:
		return t.extendExclusion(window, revision, op, now)
	case OpCompleteDrain:
		return t.completeDrain(window, now)
	case OpFinishWork:
		window.beginReturn(StageDone, "", now)
		return nil
	case OpCancel:
		window.cancel(op.Reason, now)
		return nil
	case OpBeginReturn:
		t.beginReturn(window, op, now)
		return nil
	case OpMarkOverrun:
		return t.markOverrun(window, now)
	case OpCompleteReturn:
		t.completeReturn(window, now)
		return nil
	}
	// A later version introduced the operation: all replicas of this version reject it.
	return rejected(OutcomeInvalid, "unknown operation %q", op.Kind)
}

// permittedAt reports whether the operation is defined for the stage of a window. It returns true for OpCancel
// and for unknown operations, which transition rejects.
func (kind OperationKind) permittedAt(window *Window) bool {
	stage := window.Stage
	switch kind {
	case OpSchedule, OpReject:
		return stage.beforeDrain()
	case OpAwaitPermit:
		return stage == StageApproved
	case OpBeginDrain:
		return stage == StageAwaitingPermit
	case OpExtendExclusion:
		return stage == StageDraining || stage == StageDrained || stage == StageReturning
	case OpCompleteDrain:
		return stage == StageDraining
	case OpFinishWork:
		return stage == StageDrained
	case OpBeginReturn:
		return stage == StageDraining || stage == StageDrained
	case OpMarkOverrun:
		return window.OutOfService() && stage != StageOverrun
	case OpCompleteReturn:
		return window.OutOfService() && (stage == StageReturning || stage == StageOverrun)
	}
	return true
}

// propose adds a window. It accepts a repeated proposal of the same window without a change.
func (t *Table) propose(revision uint64, op *Operation, now timeBounds) error {
	serverUIDs := slices.Compact(slices.Sorted(slices.Values(op.ServerUIDs)))
	if existing := t.windows[op.Window]; existing != nil {
		repeated := slices.Equal(existing.ServerUIDs, serverUIDs) && existing.WorkMS == op.WorkMS &&
			existing.Operator == op.Operator && existing.NotBeforeMS == op.NotBeforeMS
		if repeated {
			return nil
		}
		return rejected(OutcomeInvalid, "there is another window %s", op.Window)
	}
	if len(t.windows) >= MaxWindows {
		return rejected(OutcomeLimitExceeded, "there are %d windows", len(t.windows))
	}
	t.store(revision, nil, &Window{
		Name:         op.Window,
		Operator:     op.Operator,
		ServerUIDs:   serverUIDs,
		WorkMS:       op.WorkMS,
		NotBeforeMS:  op.NotBeforeMS,
		Stage:        StageProposed,
		ProposedAtMS: now.latest,
	})
	return nil
}

// schedule sets the planned start of a window and the approvals that cover it.
func (t *Table) schedule(window *Window, op *Operation) error {
	if len(op.Approvals) == 0 {
		return rejected(OutcomeInvalid, "no approvals")
	}
	for i := range op.Approvals {
		approval := &op.Approvals[i]
		active := t.contractOf(approval)
		switch {
		case active == nil:
			return rejected(OutcomeStale, "the contract of %s has changed", approval.Tenant)
		case op.PlannedStartMS < approval.OpensAtMS || op.PlannedStartMS >= approval.ClosesAtMS || len(approval.Months) == 0:
			return rejected(OutcomeOutsideHours, "the start lies outside the hours of %s", approval.Tenant)
		case op.PlannedStartMS < window.ProposedAtMS+active.NoticeMS():
			return rejected(OutcomeOutsideHours, "the notice of %s is longer", approval.Tenant)
		}
	}
	window.Stage = StageApproved
	window.Reason = ""
	window.Approvals = op.Approvals
	window.PlannedStartMS = op.PlannedStartMS
	window.ClosesAtMS = earliestClose(op.Approvals)
	return nil
}

// awaitPermit starts another attempt, which has its own PermitID.
func (t *Table) awaitPermit(window *Window, now timeBounds) error {
	if err := t.checkDrain(window, now); err != nil {
		return err
	}
	window.Stage = StageAwaitingPermit
	window.Reason = ""
	window.Attempt++
	return nil
}

func (t *Table) beginDrain(window *Window, now timeBounds) error {
	if err := t.checkDrain(window, now); err != nil {
		return err
	}
	if !t.permitMatches(window, disruption.StageGranted) {
		return rejected(OutcomeBlocked, "permit %s is not granted", window.PermitID())
	}
	window.Stage = StageDraining
	window.DrainStartedAtMS = now.earliest
	window.EstimatedTotalMS = t.EstimatedTotalMS(window.WorkMS)
	window.DrainedAtMS = 0
	window.ReturnStartedAtMS = 0
	window.ReturnedAtMS = 0
	window.ExcludedUntilMS = 0
	window.ExclusionRevision = 0
	return nil
}

func (t *Table) completeDrain(window *Window, now timeBounds) error {
	if err := t.checkHours(window, now, window.WorkMS+t.EstimatedReturnMS()); err != nil {
		return err
	}
	if window.ExcludedUntilMS <= now.latest {
		return rejected(OutcomeOutsideHours, "the exclusion may have expired")
	}
	window.Stage = StageDrained
	window.DrainedAtMS = now.earliest
	t.drainSamplesMS = addSample(t.drainSamplesMS, now.latest-window.DrainStartedAtMS, t.EstimatedDrainMS())
	return nil
}

// cancel cancels a window: at once before its drain or while it is halted, otherwise after the return of its
// servers. It does not change a window that is finished or overrun.
func (w *Window) cancel(reason string, now timeBounds) {
	switch {
	case w.Stage.beforeDrain() || w.Stage == StageHalted:
		w.Stage = StageCancelled
		w.Reason = reason
	case w.Stage == StageDraining || w.Stage == StageDrained:
		w.beginReturn(StageCancelled, reason, now)
	case w.Stage == StageReturning:
		w.StageAfterReturn = StageCancelled
	}
}

// beginReturn ends the drain or the work of a window, as the controller has decided.
func (t *Table) beginReturn(window *Window, op *Operation, now timeBounds) {
	if window.Stage == StageDraining && now.trusted() {
		// The aborted drain would have taken at least this long.
		if drainMS := now.latest - window.DrainStartedAtMS; drainMS > t.EstimatedDrainMS() {
			t.drainSamplesMS = addSample(t.drainSamplesMS, drainMS, t.EstimatedDrainMS())
		}
	}
	nextStage, reason := op.StageAfterReturn, op.Reason
	if nextStage == StageDone && !now.trusted() { // it is not known whether the time for the work is over
		nextStage, reason = StageHalted, now.clockFault
	}
	window.beginReturn(nextStage, reason, now)
}

func (t *Table) markOverrun(window *Window, now timeBounds) error {
	if now.latest < window.ClosesAtMS {
		return rejected(OutcomeOutsideHours, "the close is still to come")
	}
	if window.ReturnStartedAtMS == 0 {
		window.ReturnStartedAtMS = now.earliest
	}
	window.Stage = StageOverrun
	t.applyOverrunPolicy(window)
	return nil
}

// completeReturn records how long the window was out of service and moves it to its next stage.
func (t *Table) completeReturn(window *Window, now timeBounds) {
	returnedAtMS := now.latest
	if !now.trusted() { // bounded, because a clock may be far ahead
		returnedAtMS = min(returnedAtMS, max(t.logTimeMS, window.ClosesAtMS)+dayMS)
	}
	returnedAtMS = max(returnedAtMS, window.DrainStartedAtMS)
	t.recordUsage(window, window.DrainStartedAtMS, returnedAtMS)
	if now.trusted() && window.DrainedAtMS != 0 {
		t.returnSamplesMS = addSample(t.returnSamplesMS, returnedAtMS-window.ReturnStartedAtMS, t.EstimatedReturnMS())
	}
	window.ReturnedAtMS = returnedAtMS
	window.ExcludedUntilMS = 0
	t.finishReturn(window)
}

// finishReturn moves a window whose servers are back to its next stage.
func (t *Table) finishReturn(window *Window) {
	switch {
	case window.Stage == StageOverrun:
	case window.ReturnedAtMS > window.ClosesAtMS:
		window.Stage = StageOverrun
		t.applyOverrunPolicy(window)
	case window.StageAfterReturn == StageProposed && window.Attempt >= MaxAttempts:
		window.Stage = StageRejected
	default:
		window.Stage = window.StageAfterReturn
	}
	if window.Stage == StageProposed {
		window.DrainStartedAtMS = 0
		window.ReturnedAtMS = 0
		window.Approvals = nil
		window.StageAfterReturn = ""
	}
}
