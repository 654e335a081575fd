package disruption

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// uncertaintyIssuer issues the halts that the ledger sets by itself, when its state may not be that of the fleet.
const uncertaintyIssuer = "doubt"

// compareHalts orders halts by scope and issuer.
func compareHalts(a, b Halt) int {
	return cmp.Or(strings.Compare(a.Scope, b.Scope), strings.Compare(a.IssuedBy, b.IssuedBy))
}

// applyHalt defers grants, and revokes those that were not begun.
func (l *Ledger) applyHalt(op *Op) Result {
	if name, ok := strings.CutPrefix(op.Halt.Scope, budgetScopePrefix); ok && l.budgetConstraints[name] == nil {
		return notFound("there is no budget %s", name)
	}
	return l.addHalt(Halt{Scope: op.Halt.Scope, IssuedBy: op.Owner, Reason: op.Halt.Reason, Revision: l.revision})
}

// addHalt adds a halt. Where its issuer has halted the scope already, the first reason stays.
func (l *Ledger) addHalt(halt Halt) Result {
	index, found := slices.BinarySearchFunc(l.halts, halt, compareHalts)
	if found {
		return applied()
	}
	if len(l.halts) >= MaxHalts {
		return limitReached("there are %d halts", len(l.halts))
	}
	l.halts = slices.Insert(l.halts, index, halt)
	l.reevaluate(func(permit *permitState) bool { return l.haltCovers(&halt, permit) })
	return applied()
}

// haltFleet halts all grants until an operator resumes them.
func (l *Ledger) haltFleet(format string, args ...any) {
	// With MaxHalts halts in force this one is not added. That many are a matter for an operator already.
	l.addHalt(Halt{Scope: "", IssuedBy: uncertaintyIssuer, Reason: fmt.Sprintf(format, args...), Revision: l.revision})
}

// applyResume lifts the halts of a scope: an operator lifts all of them, others their own.
func (l *Ledger) applyResume(op *Op) Result {
	before := len(l.halts)
	l.halts = slices.DeleteFunc(l.halts, func(halt Halt) bool {
		return halt.Scope == op.Halt.Scope && (IsOperator(op.Owner) || halt.IssuedBy == op.Owner)
	})
	if len(l.halts) < before {
		l.reevaluate(func(*permitState) bool { return true })
	}
	return applied()
}

// HaltForUncertainty halts the fleet until an operator resumes it: the ledger may not say what is unavailable.
func (l *Ledger) HaltForUncertainty(revision uint64, reason string) {
	l.revision = revision
	l.haltFleet("%s", reason)
	l.processQueue()
}

// Freeze defers all grants while the state of the fleet is uncertain, until Unfreeze. Units of ConditionUnknown have
// the same effect by themselves.
func (l *Ledger) Freeze(revision uint64, reason string) {
	l.revision, l.freezeReason = revision, cmp.Or(reason, "frozen")
	l.processQueue()
}

// Unfreeze ends a freeze.
func (l *Ledger) Unfreeze(revision uint64) {
	l.revision, l.freezeReason = revision, ""
	l.processQueue()
}

// uncertainty is why the state of the fleet is too uncertain to take anything out; "" if it is not.
func (l *Ledger) uncertainty() string {
	if l.freezeReason != "" {
		return l.freezeReason
	}
	if l.unknownCount > 0 {
		return fmt.Sprintf("%d units cannot be seen", l.unknownCount)
	}
	return ""
}

// haltReason is what defers a permit whatever its budgets allow; "" if nothing does. Rollbacks are not halted.
func (l *Ledger) haltReason(permit *permitState) string {
	if permit.Priority == PriorityRollback {
		return ""
	}
	if reason := l.uncertainty(); reason != "" {
		return uncertaintyIssuer + ": " + reason
	}
	for i := range l.halts {
		if halt := &l.halts[i]; l.haltCovers(halt, permit) {
			return fmt.Sprintf("halt of %q by %s: %s", halt.Scope, halt.IssuedBy, halt.Reason)
		}
	}
	return ""
}

// haltCovers reports whether a halt's scope is the fleet, the permit's owner, or a budget that selects one of its units.
func (l *Ledger) haltCovers(halt *Halt, permit *permitState) bool {
	if halt.Scope == "" || halt.Scope == permit.Owner {
		return true
	}
	c := l.constraints[halt.Scope]
	if c == nil || c.budget == nil {
		return false
	}
	return slices.ContainsFunc(permit.Units, func(id string) bool {
		unit := l.units[id]
		return unit != nil && slices.Contains(unit.constraints, c)
	})
}

// reevaluate queues the pending permits among those affected for another evaluation, and revokes grants that were not
// begun and are halted now: the owner has not acted under such a grant, and its begin will be rejected.
func (l *Ledger) reevaluate(affected func(*permitState) bool) {
	for _, permit := range l.sortedOpenPermits() {
		switch {
		case !affected(permit):
		case permit.pending != nil:
			l.queue.add(permit)
		case permit.Stage == StageGranted && l.haltReason(permit) != "":
			l.revoke(permit)
		}
	}
}

// revoke has a granted permit wait again. It keeps its place among those that wait.
func (l *Ledger) revoke(permit *permitState) {
	l.countSubstitutes(permit, -1)
	l.releaseUnits(permit, permit.Units)
	permit.Stage, permit.GrantRevision = StageRequested, 0
	l.enqueue(permit)
}
