package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// uncertaintyIssuer is who halts by what the ledger itself cannot see.
const uncertaintyIssuer = "doubt"

func compareHalts(a, b Halt) int {
	return cmp.Or(strings.Compare(a.Scope, b.Scope), strings.Compare(a.IssuedBy, b.IssuedBy))
}

// Register takes in a unit as whoever keeps the list of its kind has it: Up, Unready or Draining, or Unseen where it is
// held back from expiry. What is warm is not in the list. A server that is new, or has started again, is Cold until it
// was found Up, but only where there is any budget; one whose start was long ago (BootMS 0) is Up.
func (l *Ledger) Register(revision uint64, unit Unit) {
	l.revision = revision
	existing := l.units[unit.ID]
	sameIncarnation := existing != nil && existing.BootMS == unit.BootMS
	unit.TransitionRevision, unit.ObservedRevision, unit.Predecessor, unit.Successor = revision, revision, "", ""
	unit.WarmedUp = unit.Kind != KindServer || unit.BootMS == 0 || len(l.budgetConstraints) == 0
	if existing != nil {
		unit.Predecessor = existing.Predecessor
	}
	if sameIncarnation {
		unit.WarmedUp = existing.WarmedUp || unit.Kind != KindServer
	}
	if unit.Kind == KindServer && unit.Condition == ConditionUp {
		switch {
		case sameIncarnation && (existing.Condition == ConditionUp || existing.Condition == ConditionWarmingUp || existing.Condition == ConditionUnready):
			unit.Condition = existing.Condition // the list does not know better
		case !unit.WarmedUp:
			unit.Condition = ConditionWarmingUp
		}
	}
	l.replaceUnit(existing, unit)
	l.processQueue()
}

// replaceUnit sets a unit. Its Rev rises where its condition, its life or its version is another: where it stands and how large
// it is are no news of whether it is out.
func (l *Ledger) replaceUnit(existing *unitState, updated Unit) {
	if existing == nil {
		l.addNewUnit(updated)
		return
	}
	previous := &existing.Unit
	updated.TransitionRevision = previous.TransitionRevision
	if previous.Condition != updated.Condition || previous.BootMS != updated.BootMS || previous.Version != updated.Version {
		updated.TransitionRevision = l.revision
	} else if sameAttributes(previous, &updated) {
		previous.ObservedRevision = updated.ObservedRevision
		return
	}
	l.updateUnit(existing, func(unit *unitState) { unit.Unit = updated })
}

// sameAttributes tells whether two units differ in nothing but what put sees to, and in when they were seen.
func sameAttributes(a, b *Unit) bool {
	return a.Zone == b.Zone && a.Model == b.Model && a.PodGroup == b.PodGroup && a.Capacity == b.Capacity && a.Endpoint == b.Endpoint &&
		a.WarmedUp == b.WarmedUp && a.Predecessor == b.Predecessor && a.Successor == b.Successor && slices.Equal(a.Tenants, b.Tenants)
}

// addNewUnit takes in a unit that is not known. A lost server at the same endpoint is gone for good: its place is taken.
func (l *Ledger) addNewUnit(added Unit) {
	if len(l.units) >= MaxUnits {
		l.addHalt(Halt{Scope: "", IssuedBy: uncertaintyIssuer, Reason: fmt.Sprintf("%s is not counted: there are %d units", added.ID, len(l.units)), Revision: l.revision})
		return
	}
	if added.Endpoint != "" && added.Condition != ConditionLost {
		for _, id := range slices.Clone(l.lostByEndpoint[added.Endpoint]) {
			if lost := l.units[id]; lost.permit != nil {
				l.updateUnit(lost, func(lost *unitState) { lost.Successor = added.ID })
			} else {
				l.removeUnit(lost)
			}
		}
	}
	l.addUnit(added)
}

// SetUnit sets a unit as it is, for a state that knows all of it.
func (l *Ledger) SetUnit(revision uint64, unit Unit) {
	l.revision = revision
	unit.ObservedRevision, unit.TransitionRevision = revision, revision
	existing := l.units[unit.ID]
	if existing != nil {
		unit.Predecessor, unit.Successor = existing.Predecessor, existing.Successor
	}
	l.replaceUnit(existing, unit)
	l.processQueue()
}

// MarkUnknown marks units whose leases have run out but are held back: nothing is known of them. It freezes all grants until
// the last of them was registered, lost or forgotten.
func (l *Ledger) MarkUnknown(revision uint64, id string) {
	l.setCondition(revision, id, ConditionUnknown)
}

// MarkLost marks a unit whose lease has ended. It stays, and counts as out.
func (l *Ledger) MarkLost(revision uint64, id string) {
	l.setCondition(revision, id, ConditionLost)
	if l.lostCount > MaxLostUnits {
		l.dropOldestLost()
	}
}

func (l *Ledger) setCondition(revision uint64, id string, condition Condition) {
	unit := l.units[id]
	if unit == nil || unit.Condition == condition || unit.Condition == ConditionLost {
		return
	}
	l.revision = revision
	l.updateUnit(unit, func(unit *unitState) {
		unit.Condition, unit.TransitionRevision, unit.ObservedRevision = condition, revision, revision
	})
	l.processQueue()
}

// dropOldestLost forgets the longest lost unit under no permit. The fleet is halted: what is out is not all counted any more.
func (l *Ledger) dropOldestLost() {
	var oldest *unitState
	for _, unit := range l.units {
		if unit.Condition == ConditionLost && unit.permit == nil &&
			(oldest == nil || cmp.Or(cmp.Compare(unit.TransitionRevision, oldest.TransitionRevision), strings.Compare(unit.ID, oldest.ID)) < 0) {
			oldest = unit
		}
	}
	if oldest == nil {
		return // permits hold so many at most
	}
	l.addHalt(Halt{Scope: "", IssuedBy: uncertaintyIssuer, Reason: fmt.Sprintf("over %d units are lost: forget or replace them", MaxLostUnits), Revision: l.revision})
	l.removeUnit(oldest)
	l.processQueue()
}

// Deregister takes out a unit that was deregistered by its own word. Under a permit it stays as lost until that ends.
func (l *Ledger) Deregister(revision uint64, id string) {
	unit := l.units[id]
	switch {
	case unit == nil:
	case unit.permit != nil:
		l.MarkLost(revision, id)
	default:
		l.revision = revision
		l.removeUnit(unit)
		l.processQueue()
	}
}

// Freeze keeps all grants back because the fleet cannot be seen, until Thaw; nobody is freed by it. Units that are
// Unseen freeze by themselves.
func (l *Ledger) Freeze(revision uint64, reason string) {
	l.revision, l.freezeReason = revision, cmp.Or(reason, "frozen")
	l.processQueue()
}

// Unfreeze ends a freeze.
func (l *Ledger) Unfreeze(revision uint64) {
	l.revision, l.freezeReason = revision, ""
	l.processQueue()
}

// applyObserve takes in what somebody found of units that are registered: whether they are up, cold or not ready. It does not
// overrule the list: who is lost, unseen or draining stays so. A revision that is named must still be the unit's: what
// was found of an earlier life says nothing of this one.
func (l *Ledger) applyObserve(observations []Unit) (Outcome, string) {
	ignored := 0
	for i := range observations {
		observed, unit := &observations[i], l.units[observations[i].ID]
		if unit == nil || observed.TransitionRevision != 0 && observed.TransitionRevision != unit.TransitionRevision {
			ignored++
			continue
		}
		if unit.Condition != ConditionUp && unit.Condition != ConditionWarmingUp && unit.Condition != ConditionUnready {
			ignored++
			continue
		}
		updated := unit.Unit
		updated.Condition, updated.WarmedUp, updated.ObservedRevision = observed.Condition, observed.Condition == ConditionUp, l.revision
		l.replaceUnit(unit, updated)
	}
	if ignored > 0 {
		return OutcomeApplied, fmt.Sprintf("%d of %d were left as they are: unknown, changed since, or out by the list", ignored, len(observations))
	}
	return OutcomeApplied, ""
}

// applyComplete ends units of a permit for which there is evidence; all of those named or none. None named are all that are left.
func (l *Ledger) applyComplete(permit *permitState, op *Op) (Outcome, string) {
	if permit.Stage == StageRequested || permit.Stage == StageGranted {
		return OutcomeRejected, fmt.Sprintf("permit %s has not begun: cancel it", permit.ID)
	}
	ids := op.Units
	if len(ids) == 0 {
		ids = permit.remainingUnits()
	}
	predecessors := map[string]string{}
	var completed []string
	for _, id := range ids {
		if !slices.Contains(permit.Units, id) {
			return OutcomeRejected, fmt.Sprintf("%s is not of permit %s", id, permit.ID)
		}
		if permit.completed[id] {
			continue
		}
		successor, reason := l.completionEvidence(permit, l.units[id], op.Successors[id])
		if reason != "" {
			return OutcomeRejected, reason
		}
		if successor != "" && predecessors[successor] != "" {
			return OutcomeRejected, fmt.Sprintf("%s is to replace both %s and %s", successor, predecessors[successor], id)
		}
		if successor != "" {
			predecessors[successor] = id
		}
		completed = append(completed, id)
	}
	for _, successor := range slices.Sorted(maps.Keys(predecessors)) {
		l.updateUnit(l.units[successor], func(unit *unitState) { unit.Predecessor = predecessors[successor] })
	}
	l.endUnits(permit, completed, StageCompleted)
	for _, id := range completed { // who is out of the list and was to go, or was replaced, is no more
		if unit := l.units[id]; unit.Condition == ConditionLost && unit.permit == nil {
			l.removeUnit(unit)
		}
	}
	return OutcomeApplied, ""
}

// completionEvidence tells whether what is known of a unit ends it under its permit, and who stands in its place, or why not.
func (l *Ledger) completionEvidence(permit *permitState, unit *unitState, successor string) (confirmed, reason string) {
	returned := unit.Condition == ConditionUp && (unit.TransitionRevision > permit.BeginRevision || permit.Stage == StageReturning && unit.ObservedRevision > permit.ReturnRevision)
	if returned && (permit.Disposition == DispositionReturn || permit.Aborted) {
		return "", ""
	}
	if permit.Disposition == DispositionRetire {
		if unit.Condition == ConditionLost {
			return "", ""
		}
		return "", fmt.Sprintf("%s is %s, not out of the list", unit.ID, unit.Condition)
	}
	if successor = cmp.Or(successor, unit.Successor); successor == "" {
		return "", fmt.Sprintf("%s is %s since revision %d, and nothing is named in its place", unit.ID, unit.Condition, unit.TransitionRevision)
	}
	replacement := l.units[successor]
	switch {
	case unit.Condition != ConditionLost:
		return "", fmt.Sprintf("%s is %s, not out of the list", unit.ID, unit.Condition)
	case replacement == nil || replacement.Condition != ConditionUp || replacement.permit != nil:
		return "", fmt.Sprintf("%s, in place of %s, is not up", successor, unit.ID)
	case replacement.Kind != unit.Kind || slices.Contains(permit.Units, successor):
		return "", fmt.Sprintf("%s cannot be in place of %s", successor, unit.ID)
	case replacement.Predecessor != "":
		return "", fmt.Sprintf("%s is in place of %s already", successor, replacement.Predecessor)
	}
	return successor, ""
}

// HaltForUncertainty halts the fleet until an operator has looked: what is out may not be what the ledger says.
func (l *Ledger) HaltForUncertainty(revision uint64, reason string) {
	l.revision = revision
	l.addHalt(Halt{Scope: "", IssuedBy: uncertaintyIssuer, Reason: reason, Revision: revision})
	l.processQueue()
}
