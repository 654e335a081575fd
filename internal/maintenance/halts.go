package maintenance

import (
	"strings"

	"milldeck/internal/maintenance/contract"
)

// applyHalt sets or removes the halt of a scope. A halt of all windows or of a tenant blocks drains. A halt of
// one window also starts its return if it is out of service.
func (t *Table) applyHalt(revision uint64, op *Operation, now timeBounds) error {
	if name, found := strings.CutPrefix(op.Scope, scopeWindow); found {
		return t.applyWindowHalt(revision, name, op, now)
	}
	if op.Kind == OpResume {
		delete(t.halts, op.Scope)
		return nil
	}
	if _, exists := t.halts[op.Scope]; !exists && len(t.halts) >= MaxHalts {
		return rejected(OutcomeLimitExceeded, "there are %d halts", len(t.halts))
	}
	t.halts[op.Scope] = op.Reason
	return nil
}

// applyWindowHalt halts or resumes one window. A halt does not change a window that is finished, overrun or
// returning.
func (t *Table) applyWindowHalt(revision uint64, name string, op *Operation, now timeBounds) error {
	previous := t.windows[name]
	if previous == nil {
		return rejected(OutcomeNotFound, "there is no window %s", name)
	}
	window := *previous
	switch {
	case op.Kind == OpResume && window.Stage == StageHalted:
		window.Stage = StageProposed
		window.Reason = ""
	case op.Kind == OpResume && window.StageAfterReturn == StageHalted && window.OutOfService():
		window.StageAfterReturn = StageProposed
	case op.Kind == OpHalt && window.Stage.beforeDrain():
		window.Stage = StageHalted
		window.Reason = op.Reason
	case op.Kind == OpHalt && (window.Stage == StageDraining || window.Stage == StageDrained):
		window.beginReturn(StageHalted, op.Reason, now)
	default:
		return nil
	}
	t.store(revision, previous, &window)
	return nil
}

// haltReason reports whether all windows or a tenant of the window are halted, and why.
func (t *Table) haltReason(window *Window) (reason string, halted bool) {
	if cause, ok := t.halts[""]; ok {
		return "all windows are halted: " + cause, true
	}
	for _, approval := range window.Approvals {
		if cause, ok := t.halts[scopeTenant+approval.Tenant]; ok {
			return approval.Tenant + " is halted: " + cause, true
		}
	}
	return "", false
}

// applyOverrunPolicy halts the tenants of an overrun window whose contracts have the policy OverrunHaltsTenant.
func (t *Table) applyOverrunPolicy(window *Window) {
	for _, approval := range window.Approvals {
		active := t.contracts[approval.Tenant]
		if active == nil || active.OverrunPolicy != contract.OverrunHaltsTenant {
			continue
		}
		scope := scopeTenant + approval.Tenant
		if _, halted := t.halts[scope]; !halted && len(t.halts) < MaxHalts {
			t.halts[scope] = "window " + window.Name + " was not over at the close"
		}
	}
}
