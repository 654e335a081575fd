package maintenance

import (
	"fmt"

	"milldeck/internal/disruption"
)

// transition moves one window on, a copy that is kept only where the step is applied.
func (t *Table) transition(window *Window, revision uint64, op *Operation, now timeBounds) (Outcome, string) {
	wrongStage := func() (Outcome, string) {
		return OutcomeStale, fmt.Sprintf("%s is %s: no %s", window.Name, window.Stage, op.Kind)
	}
	switch op.Kind {
	case OpSchedule:
		if !beforeDrain(window.Stage) {
			return wrongStage()
		}
		return t.schedule(window, op)
	case OpReject:
		if !beforeDrain(window.Stage) {
			return wrongStage()
		}
		window.Stage, window.Reason = StageRejected, op.Reason
	case OpAwaitPermit:
		if window.Stage != StageApproved {
			return wrongStage()
		}
		if outcome, reason := t.checkDrain(window, now); outcome != OutcomeApplied {
			return outcome, reason
		}
		window.Stage, window.Reason = StageAwaitingPermit, ""
		window.Attempt++
	case OpBeginDrain:
		if window.Stage != StageAwaitingPermit {
			return wrongStage()
		}
		if outcome, reason := t.checkDrain(window, now); outcome != OutcomeApplied {
			return outcome, reason
		}
		if t.LookupPermit != nil {
			if stage, found := t.LookupPermit(window.PermitID()); !found || stage != disruption.StageGranted {
				return OutcomeBlocked, "permit " + window.PermitID() + " is not granted"
			}
		}
		window.Stage, window.DrainStartedAtMS, window.EstimatedTotalMS = StageDraining, now.earliest, t.EstimatedTotalMS(window.WorkMS)
		window.DrainedAtMS, window.ReturnStartedAtMS, window.ReturnedAtMS, window.ExcludedUntilMS, window.ExclusionRevision = 0, 0, 0, 0, 0
	case OpExtendExclusion:
		if window.Stage != StageDraining && window.Stage != StageDrained && window.Stage != StageReturning {
			return wrongStage()
		}
		return t.extendExclusion(window, revision, op, now)
	case OpCompleteDrain:
		if window.Stage != StageDraining {
			return wrongStage()
		}
		if outcome, reason := t.checkHours(window, now, window.WorkMS+t.EstimatedReturnMS()); outcome != OutcomeApplied {
			return outcome, reason
		}
		if window.ExcludedUntilMS <= now.latest {
			return OutcomeOutsideHours, "tenants may not keep off any more"
		}
		window.Stage, window.DrainedAtMS = StageDrained, now.earliest
		t.drainSamplesMS = addSample(t.drainSamplesMS, now.latest-window.DrainStartedAtMS, t.EstimatedDrainMS())
	case OpFinishWork:
		if window.Stage != StageDrained {
			return wrongStage()
		}
		window.beginReturn(StageDone, "", now)
	case OpCancel:
		switch {
		case beforeDrain(window.Stage) || window.Stage == StageHalted:
			window.Stage, window.Reason = StageCancelled, op.Reason
		case window.Stage == StageDraining || window.Stage == StageDrained:
			window.beginReturn(StageCancelled, op.Reason, now)
		case window.Stage == StageReturning:
			window.StageAfterReturn = StageCancelled
		}
	case OpBeginReturn:
		if window.Stage != StageDraining && window.Stage != StageDrained {
			return wrongStage()
		}
		if window.Stage == StageDraining && now.clockFault == "" { // it would have taken at least so long
			if tookMS := now.latest - window.DrainStartedAtMS; tookMS > t.EstimatedDrainMS() {
				t.drainSamplesMS = addSample(t.drainSamplesMS, tookMS, t.EstimatedDrainMS())
			}
		}
		stageAfter, reason := op.StageAfterReturn, op.Reason
		if stageAfter == StageDone && now.clockFault != "" { // whether the work's time is over cannot be told
			stageAfter, reason = StageHalted, now.clockFault
		}
		window.beginReturn(stageAfter, reason, now)
	case OpMarkOverrun:
		if !window.OutOfService() || window.Stage == StageOverrun {
			return wrongStage()
		}
		if now.latest < window.ClosesAtMS {
			return OutcomeOutsideHours, "the close is still to come"
		}
		if window.ReturnStartedAtMS == 0 {
			window.ReturnStartedAtMS = now.earliest
		}
		window.Stage = StageOverrun
		t.applyOverrunPolicy(window)
	case OpCompleteReturn:
		if window.Stage != StageReturning && window.Stage != StageOverrun || !window.OutOfService() {
			return wrongStage()
		}
		t.completeReturn(window, now)
	default:
		return OutcomeInvalid, fmt.Sprintf("unknown operation %q", op.Kind) // of a later version: all replicas of this one skip it
	}
	return OutcomeApplied, ""
}

// schedule gives a window its time.
func (t *Table) schedule(window *Window, op *Operation) (Outcome, string) {
	if len(op.Approvals) == 0 {
		return OutcomeInvalid, "no grants"
	}
	for i := range op.Approvals {
		approval := &op.Approvals[i]
		active := t.contracts[approval.Tenant]
		switch {
		case active == nil || active.Version != approval.ContractVersion:
			return OutcomeStale, "the contract of " + approval.Tenant + " has changed"
		case op.PlannedStartMS < approval.OpensAtMS || op.PlannedStartMS >= approval.ClosesAtMS || len(approval.Months) == 0:
			return OutcomeOutsideHours, "the start lies outside the hours of " + approval.Tenant
		case op.PlannedStartMS < window.ProposedAtMS+active.NoticeMS():
			return OutcomeOutsideHours, "the notice of " + approval.Tenant + " is longer"
		}
	}
	window.Stage, window.Reason, window.Approvals, window.PlannedStartMS, window.ClosesAtMS = StageApproved, "", op.Approvals, op.PlannedStartMS, earliestClose(op.Approvals)
	return OutcomeApplied, ""
}

// checkHours checks that a step lies within the hours of all contracts, by the uncertainty of its time, and that more ms
// fit after it before each close.
func (t *Table) checkHours(window *Window, now timeBounds, requiredMS int64) (Outcome, string) {
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		active := t.contracts[approval.Tenant]
		switch {
		case active == nil || active.Version != approval.ContractVersion:
			return OutcomeStale, "the contract of " + approval.Tenant + " has changed"
		case now.earliest < approval.OpensAtMS:
			return OutcomeOutsideHours, fmt.Sprintf("the hours of %s open in %d ms", approval.Tenant, approval.OpensAtMS-now.earliest)
		case now.latest+requiredMS+CloseGuardMS > approval.ClosesAtMS:
			return OutcomeOutsideHours, fmt.Sprintf("%d ms do not fit before the close of %s", requiredMS, approval.Tenant)
		}
	}
	return OutcomeApplied, ""
}

// checkDrain checks all that a window needs to begin at an instant, but for its permit.
func (t *Table) checkDrain(window *Window, now timeBounds) (Outcome, string) {
	requiredMS := t.EstimatedTotalMS(window.WorkMS)
	if outcome, reason := t.checkHours(window, now, requiredMS); outcome != OutcomeApplied {
		return outcome, reason
	}
	if reason := t.haltReason(window); reason != "" {
		return OutcomeBlocked, reason
	}
	for _, other := range t.windows {
		if other.OutOfService() && other.Name != window.Name && shareServer(other.ServerUIDs, window.ServerUIDs) {
			return OutcomeBlocked, "another window has taken one of its servers out"
		}
	}
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		active := t.contracts[approval.Tenant]
		if now.earliest < window.ProposedAtMS+active.NoticeMS() {
			return OutcomeOutsideHours, "the notice of " + approval.Tenant + " is not over"
		}
		windowsOut, serversOut := t.countOutOfService(approval.Tenant)
		switch {
		case windowsOut+1 > active.MaxConcurrentWindows:
			return OutcomeBlocked, fmt.Sprintf("%d windows of %s are out", windowsOut, approval.Tenant)
		case serversOut+len(window.ServerUIDs) > maxServersOut(approval.ServerCount, active.MinAvailableShare):
			return OutcomeBlocked, fmt.Sprintf("less than the least share of %s would stay", approval.Tenant)
		}
		for _, month := range splitByMonth(approval, now.earliest, now.latest+requiredMS) {
			if excessMS := t.committedMS(approval.Tenant, month.Name, now.latest) + month.EndMS - month.StartMS - int64(active.MinutesPerMonth)*60_000; excessMS > 0 {
				return OutcomeBlocked, fmt.Sprintf("%s would be over its minutes of %s by %d ms", approval.Tenant, month.Name, excessMS)
			}
		}
	}
	return OutcomeApplied, ""
}

// maxServersOut is how many of a tenant's servers may be out.
func maxServersOut(serverCount int, minAvailableShare float64) int {
	const rounding = 1e-9 // 0.9 of 10 is meant to be 9
	return int(float64(serverCount)*(1-minAvailableShare) + rounding)
}

// countOutOfService counts a tenant's windows and servers that are out.
func (t *Table) countOutOfService(tenant string) (windowCount, serverCount int) {
	for _, window := range t.windows {
		if window.OutOfService() && involvesTenant(window, tenant) {
			windowCount++
			serverCount += len(window.ServerUIDs)
		}
	}
	return windowCount, serverCount
}

// committedMS is what a tenant has used of a month, with what its windows that are out will have used when they are back.
func (t *Table) committedMS(tenant, month string, nowMS int64) int64 {
	committed := t.usedMS[tenant][month]
	for _, window := range t.windows {
		if !window.OutOfService() {
			continue
		}
		for i := range window.Approvals {
			if approval := &window.Approvals[i]; approval.Tenant == tenant {
				for _, part := range splitByMonth(approval, window.DrainStartedAtMS, max(window.DrainStartedAtMS+window.EstimatedTotalMS, nowMS)) {
					if part.Name == month {
						committed += part.EndMS - part.StartMS
					}
				}
			}
		}
	}
	return committed
}

func involvesTenant(window *Window, tenant string) bool {
	for _, approval := range window.Approvals {
		if approval.Tenant == tenant {
			return true
		}
	}
	return false
}

// haltReason says which halt holds a window, or "".
func (t *Table) haltReason(window *Window) string {
	if reason, halted := t.halts[""]; halted {
		return "all windows are halted: " + reason
	}
	for _, approval := range window.Approvals {
		if reason, halted := t.halts["tenant/"+approval.Tenant]; halted {
			return approval.Tenant + " is halted: " + reason
		}
	}
	return ""
}

// extendExclusion tells tenants to keep off for a while longer. On the way back those whose contract is gone are left out.
func (t *Table) extendExclusion(window *Window, revision uint64, op *Operation, now timeBounds) (Outcome, string) {
	if reason := t.haltReason(window); reason != "" && window.Stage == StageDraining {
		return OutcomeBlocked, reason
	}
	if op.ExcludeUntilMS > min(now.timestamp.ControllerMS, now.timestamp.LeaderMS+MaxClockSkewMS)+ExclusionTTLMS || op.ExcludeUntilMS <= now.latest {
		return OutcomeOutsideHours, fmt.Sprintf("until is not within %d ms", ExclusionTTLMS)
	}
	if t.LookupPermit != nil && window.Stage == StageDraining {
		if stage, found := t.LookupPermit(window.PermitID()); !found || stage != disruption.StageActive {
			return OutcomeBlocked, "permit " + window.PermitID() + " has not begun"
		}
	}
	validApprovals := 0
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		active := t.contracts[approval.Tenant]
		switch {
		case (active == nil || active.Version != approval.ContractVersion) && window.Stage == StageReturning:
			continue
		case active == nil || active.Version != approval.ContractVersion:
			return OutcomeStale, "the contract of " + approval.Tenant + " has changed"
		case now.earliest < approval.OpensAtMS || op.ExcludeUntilMS+now.uncertainty+CloseGuardMS > approval.ClosesAtMS:
			return OutcomeOutsideHours, "outside the hours of " + approval.Tenant
		}
		validApprovals++
	}
	if validApprovals == 0 {
		return OutcomeOutsideHours, "no contract approves it any more"
	}
	if window.ExcludedUntilMS <= now.latest { // sidecars may have stopped keeping off meanwhile
		window.ExclusionRevision = revision
	}
	window.ExcludedUntilMS = op.ExcludeUntilMS
	return OutcomeApplied, ""
}

// completeReturn ends a window's time out.
func (t *Table) completeReturn(window *Window, now timeBounds) {
	returnedAtMS := now.latest
	if now.clockFault != "" {
		returnedAtMS = min(returnedAtMS, max(t.logTimeMS, window.ClosesAtMS)+dayMS)
	}
	returnedAtMS = max(returnedAtMS, window.DrainStartedAtMS)
	t.recordUsage(window, window.DrainStartedAtMS, returnedAtMS)
	if now.clockFault == "" && window.DrainedAtMS != 0 {
		t.returnSamplesMS = addSample(t.returnSamplesMS, returnedAtMS-window.ReturnStartedAtMS, t.EstimatedReturnMS())
	}
	window.ReturnedAtMS, window.ExcludedUntilMS = returnedAtMS, 0
	switch {
	case window.Stage == StageOverrun || returnedAtMS > window.ClosesAtMS:
		if window.Stage != StageOverrun {
			t.applyOverrunPolicy(window)
		}
		window.Stage = StageOverrun
	case window.StageAfterReturn == StageProposed && window.Attempt >= MaxAttempts:
		window.Stage = StageRejected
	default:
		window.Stage = window.StageAfterReturn
	}
	if window.Stage == StageProposed {
		window.DrainStartedAtMS, window.ReturnedAtMS, window.Approvals, window.StageAfterReturn = 0, 0, nil, ""
	}
}

// shareServer tells whether two sorted lists have a server in common.
func shareServer(a, b []string) bool {
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0]:
			return true
		case a[0] < b[0]:
			a = a[1:]
		default:
			b = b[1:]
		}
	}
	return false
}
