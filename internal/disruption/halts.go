package disruption

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// uncertaintyIssuer is the issuer of the halts that the ledger sets itself, because its state may differ from the fleet's.
const uncertaintyIssuer = "doubt"

// compareHalts orders halts by scope and issuer.
func compareHalts(a, b Halt) int {
	return cmp.Or(strings.Compare(a.Scope, b.Scope), strings.Compare(a.IssuedBy, b.IssuedBy))
}

// applyHalt adds a halt. The halt defers the grants in its scope, and revokes those whose permits have not begun.
func (l *Ledger) applyHalt(op *Op) Result {
	if name, ok := strings.CutPrefix(op.Halt.Scope, budgetScopePrefix); ok && l.budgetConstraints[name] == nil {
		return notFound("there is no budget %s", name)
	}
	return l.addHalt(Halt{Scope: op.Halt.Scope, IssuedBy: op.Owner, Reason: op.Halt.Reason, Revision: l.revision})
}

// addHalt adds a halt. If its issuer has already halted the scope, the first halt stays with its reason.
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

// haltFleet defers all grants except those of PriorityRollback until an operator resumes the fleet.
func (l *Ledger) haltFleet(format string, args ...any) {
	// With MaxHalts halts in force this halt is not added. So many halts need an operator in any case.
	l.addHalt(Halt{Scope: "", IssuedBy: uncertaintyIssuer, Reason: fmt.Sprintf(format, args...), Revision: l.revision})
}

// applyResume lifts the halts of a scope: an operator lifts all of them, any other owner only its own.
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

// HaltForUncertainty halts the fleet until an operator resumes it, because the ledger may not know all unavailable units.
func (l *Ledger) HaltForUncertainty(revision uint64, reason string) {
	l.revision = revision
	l.haltFleet("%s", reason)
	l.processQueue()
}

// Freeze defers all grants except those of PriorityRollback until Unfreeze. Callers freeze the ledger while the state of
// the fleet is uncertain. A unit of ConditionUnknown has the same effect without a freeze.
func (l *Ledger) Freeze(revision uint64, reason string) {
	l.revision, l.freezeReason = revision, cmp.Or(reason, "frozen")
	l.processQueue()
}

// Unfreeze ends a freeze.
func (l *Ledger) Unfreeze(revision uint64) {
	l.revision, l.freezeReason = revision, ""
	l.processQueue()
}

// uncertainty returns why the state of the fleet is too uncertain to take units out; "" if it is not.
func (l *Ledger) uncertainty() string {
	if l.freezeReason != "" {
		return l.freezeReason
	}
	if l.unknownCount > 0 {
		return fmt.Sprintf("%d units cannot be seen", l.unknownCount)
	}
	return ""
}

// haltReason returns which halt or uncertainty defers a permit, whatever its budgets allow; "" if none does. Permits of
// PriorityRollback are not halted.
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

// haltCovers reports whether a halt's scope is the fleet, the permit's owner, or a budget that selects a unit of the
// permit.
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

// reevaluate queues the affected pending permits for another evaluation, and revokes the affected grants that are halted
// now and whose permits have not begun. The owner has not acted under a revoked grant, and its OpBegin will be rejected.
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

// revoke withdraws a grant. The permit waits again, and keeps its place in the order of grants.
func (l *Ledger) revoke(permit *permitState) {
	l.countSubstitutes(permit, -1)
	l.releaseUnits(permit, permit.Units)
	permit.Stage, permit.GrantRevision = StageRequested, 0
	l.enqueue(permit)
}
