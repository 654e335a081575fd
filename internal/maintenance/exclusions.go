package maintenance

import (
	"maps"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
)

// ExclusionDirectives returns the directives by which sidecars exclude the servers of a window: one for each
// tenant whose contract still approves the window, in the order of Approvals. It returns none before the drain
// and after the return.
func (t *Table) ExclusionDirectives(window *Window) []placement.Directive {
	if window.ExcludedUntilMS == 0 {
		return nil
	}
	var directives []placement.Directive
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		active := t.contractOf(approval)
		if active == nil || window.ExcludedUntilMS > approval.ClosesAtMS-CloseMarginMS {
			continue
		}
		directives = append(directives, placement.Directive{
			ID:           exclusionDirectiveID(window.Name, approval.Tenant),
			Kind:         placement.KindExclude,
			Tenant:       approval.Tenant,
			Servers:      window.ServerUIDs,
			MinAvailable: active.MinAvailableShare,
			ExpiresAtMS:  window.ExcludedUntilMS,
		})
	}
	return directives
}

func exclusionDirectiveID(window, tenant string) string { return idPrefix + window + "/" + tenant }

// recordExclusionChanges records which directives to set and to delete for the change between two versions of a
// window. For a new window previous is nil.
func (t *Table) recordExclusionChanges(previous, window *Window) {
	publishedBefore := map[string]bool{}
	if previous != nil {
		for i := range previous.Approvals {
			id := exclusionDirectiveID(previous.Name, previous.Approvals[i].Tenant)
			publishedBefore[id] = previous.ExcludedUntilMS != 0
		}
	}
	publishedNow := map[string]bool{}
	for _, directive := range t.ExclusionDirectives(window) {
		publishedNow[directive.ID] = true
		if previous == nil || previous.ExcludedUntilMS != window.ExcludedUntilMS {
			t.changes.SetDirectives = append(t.changes.SetDirectives, directive)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(publishedBefore)) {
		if publishedBefore[id] && !publishedNow[id] {
			t.changes.DeleteDirectiveIDs = append(t.changes.DeleteDirectiveIDs, id)
		}
	}
}

// extendExclusion moves the expiry of a window's exclusion. If the contract of a tenant is no longer in force, a
// returning window is excluded for the other tenants only; at an earlier stage the operation is rejected.
func (t *Table) extendExclusion(window *Window, revision uint64, op *Operation, now timeBounds) error {
	if reason, halted := t.haltReason(window); halted && window.Stage == StageDraining {
		return rejected(OutcomeBlocked, "%s", reason)
	}
	latestExpiry := min(now.timestamp.ControllerMS, now.timestamp.LeaderMS+MaxClockSkewMS) + ExclusionTTLMS
	if op.ExcludeUntilMS > latestExpiry || op.ExcludeUntilMS <= now.latest {
		return rejected(OutcomeOutsideHours, "the expiry of the exclusion is not within %d ms", ExclusionTTLMS)
	}
	if window.Stage == StageDraining && !t.permitMatches(window, disruption.StageActive) {
		return rejected(OutcomeBlocked, "permit %s is not active", window.PermitID())
	}
	if err := t.checkExclusionHours(window, op.ExcludeUntilMS, now); err != nil {
		return err
	}
	if window.ExcludedUntilMS <= now.latest { // the exclusion may have expired since its last extension
		window.ExclusionRevision = revision
	}
	window.ExcludedUntilMS = op.ExcludeUntilMS
	return nil
}

// checkExclusionHours checks that an exclusion until untilMS is within the approved hours of all tenants of the
// window. In StageReturning it skips tenants whose contract is no longer in force: the servers are then
// excluded for the other tenants only, so the hours of these tenants do not matter.
func (t *Table) checkExclusionHours(window *Window, untilMS int64, now timeBounds) error {
	validApprovals := 0
	for i := range window.Approvals {
		approval := &window.Approvals[i]
		switch active := t.contractOf(approval); {
		case active == nil && window.Stage == StageReturning:
			continue
		case active == nil:
			return rejected(OutcomeStale, "the contract of %s has changed", approval.Tenant)
		case now.earliest < approval.OpensAtMS || untilMS+now.uncertainty+CloseMarginMS > approval.ClosesAtMS:
			return rejected(OutcomeOutsideHours, "outside the hours of %s", approval.Tenant)
		}
		validApprovals++
	}
	if validApprovals == 0 {
		return rejected(OutcomeOutsideHours, "no contract approves the window any more")
	}
	return nil
}

// permitMatches reports whether the window's disruption permit is at the wanted stage; true if permits are not
// checked.
func (t *Table) permitMatches(window *Window, want disruption.Stage) bool {
	if t.LookupPermit == nil {
		return true
	}
	stage, ok := t.LookupPermit(window.PermitID())
	return ok && stage == want
}
