package maintenance

import (
	"slices"

	"milldeck/internal/placement"
)

// setContract brings a contract into force. It acts at once on windows that are out of service: where the operation
// carries a current approval they continue under it, otherwise the tenant's exclusions are deleted.
func (t *Table) setContract(revision uint64, op *Operation, now timeBounds) error {
	next := op.Contract
	if next == nil || next.Tenant == "" || (op.CurrentApproval != nil && op.CurrentApproval.Tenant != next.Tenant) {
		return rejected(OutcomeInvalid, "no contract, or an approval of another tenant")
	}
	if t.contracts[next.Tenant] == nil && len(t.contracts) >= MaxContracts {
		return rejected(OutcomeLimitExceeded, "there are %d contracts", len(t.contracts))
	}
	affected := t.windowsOutOfService(next.Tenant)
	t.contracts[next.Tenant] = &ActiveContract{Contract: *next, Version: revision}
	for _, item := range affected {
		t.reviseWindow(revision, now, next.Tenant, item, func(approval *Approval) {
			if op.CurrentApproval == nil || len(op.CurrentApproval.Months) == 0 {
				return
			}
			serverCount := approval.ServerCount
			*approval = *op.CurrentApproval
			approval.ContractVersion = revision
			approval.ServerCount = serverCount
		})
	}
	return nil
}

func (t *Table) withdrawContract(revision uint64, tenant string, now timeBounds) error {
	if t.contracts[tenant] == nil {
		return rejected(OutcomeNotFound, "there is no contract of %s", tenant)
	}
	affected := t.windowsOutOfService(tenant)
	delete(t.contracts, tenant)
	for _, item := range affected {
		// The approval stays as it is: without its contract it no longer counts.
		t.reviseWindow(revision, now, tenant, item, func(*Approval) {})
	}
	return nil
}

// affectedWindow is a window that a change of a contract concerns, as it was before the change.
type affectedWindow struct {
	previous     *Window
	directiveIDs []string // of its exclusions
}

// windowsOutOfService returns a tenant's windows that are out of service, with their present exclusions.
func (t *Table) windowsOutOfService(tenant string) []affectedWindow {
	var affected []affectedWindow
	for _, window := range t.Windows() {
		if !window.OutOfService() || !window.involves(tenant) {
			continue
		}
		item := affectedWindow{previous: window}
		for _, directive := range t.ExclusionDirectives(window) {
			item.directiveIDs = append(item.directiveIDs, directive.ID)
		}
		affected = append(affected, item)
	}
	return affected
}

// reviseWindow stores a new version of a window after a change of a tenant's contract, with the tenant's approvals
// updated, and records the changed exclusions.
func (t *Table) reviseWindow(revision uint64, now timeBounds, tenant string, affected affectedWindow, update func(*Approval)) {
	window := *affected.previous
	window.Approvals = slices.Clone(window.Approvals)
	for i := range window.Approvals {
		if approval := &window.Approvals[i]; approval.Tenant == tenant {
			update(approval)
		}
	}
	window.ClosesAtMS = earliestClose(window.Approvals)
	window.ModRevision = revision
	shortened := window.shortenExclusion(now)
	t.windows[window.Name] = &window
	remaining := t.ExclusionDirectives(&window)
	for _, id := range affected.directiveIDs {
		if !slices.ContainsFunc(remaining, func(directive placement.Directive) bool { return directive.ID == id }) {
			t.changes.DeleteDirectiveIDs = append(t.changes.DeleteDirectiveIDs, id)
		}
	}
	for _, directive := range remaining { // the contract may have another available share
		changed := directive.Tenant == tenant || shortened
		if changed && directive.ExpiresAtMS > now.latest && now.trusted() {
			t.changes.SetDirectives = append(t.changes.SetDirectives, directive)
		}
	}
}

// shortenExclusion has the window's exclusion expire before an earlier close, at once where that has passed or the time
// is not known. It reports whether the expiry has changed.
func (w *Window) shortenExclusion(now timeBounds) bool {
	latestExpiry := w.ClosesAtMS - CloseGuardMS - now.uncertainty
	if w.ExcludedUntilMS <= latestExpiry {
		return false
	}
	w.ExcludedUntilMS = latestExpiry
	if latestExpiry <= now.latest || !now.trusted() {
		w.ExcludedUntilMS = 0
	}
	return true
}
