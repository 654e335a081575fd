package maintenance

import (
	"slices"

	"milldeck/internal/placement"
)

// setContract brings a contract into force, with immediate effect on the tenant's windows that are out of
// service. If the operation carries a current approval, these windows continue under it. Otherwise the tenant's
// exclusions are deleted.
func (t *Table) setContract(revision uint64, op *Operation, now timeBounds) error {
	terms := op.Contract
	if terms == nil || terms.Tenant == "" || (op.CurrentApproval != nil && op.CurrentApproval.Tenant != terms.Tenant) {
		return rejected(OutcomeInvalid, "no contract, or an approval of another tenant")
	}
	if t.contracts[terms.Tenant] == nil && len(t.contracts) >= MaxContracts {
		return rejected(OutcomeLimitExceeded, "there are %d contracts", len(t.contracts))
	}
	affected := t.windowsOutOfService(terms.Tenant)
	t.contracts[terms.Tenant] = &ActiveContract{Contract: *terms, Version: revision}
	for _, item := range affected {
		t.reviseWindow(revision, now, terms.Tenant, item, func(approval *Approval) {
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
		// The approval is not changed: it is void without its contract.
		t.reviseWindow(revision, now, tenant, item, func(*Approval) {})
	}
	return nil
}

// affectedWindow is a window of a tenant whose contract changes, as it was before the change.
type affectedWindow struct {
	previous     *Window
	directiveIDs []string // of its exclusion directives
}

// windowsOutOfService returns those windows of a tenant whose servers are out of service (see
// Window.OutOfService), with the IDs of their current exclusion directives.
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

// reviseWindow stores a new version of a window after a change of a tenant's contract. It calls update for the
// tenant's approvals, and records which exclusion directives change.
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
	for _, directive := range remaining { // the contract's available share may have changed
		changed := directive.Tenant == tenant || shortened
		if changed && directive.ExpiresAtMS > now.latest && now.trusted() {
			t.changes.SetDirectives = append(t.changes.SetDirectives, directive)
		}
	}
}

// shortenExclusion moves the expiry of the exclusion to before the close if the expiry is too late for the close.
// The exclusion ends at once if the new expiry has passed or the clocks are not trusted. shortenExclusion reports
// whether the expiry has changed.
func (w *Window) shortenExclusion(now timeBounds) bool {
	latestExpiry := w.ClosesAtMS - CloseMarginMS - now.uncertainty
	if w.ExcludedUntilMS <= latestExpiry {
		return false
	}
	w.ExcludedUntilMS = latestExpiry
	if latestExpiry <= now.latest || !now.trusted() {
		w.ExcludedUntilMS = 0
	}
	return true
}
