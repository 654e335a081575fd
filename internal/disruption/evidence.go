package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// observable reports whether an observation may set or change the condition. The other conditions follow from the
// registry's list, which no observation overrides.
func (c Condition) observable() bool {
	return c == ConditionUp || c == ConditionWarmingUp || c == ConditionUnready
}

// applyObserve records the observed conditions of registered units. An observation that names a TransitionRevision is
// valid only until the unit's next transition: an observation of an earlier incarnation says nothing about the current one.
func (l *Ledger) applyObserve(observations []Unit) Result {
	ignored := 0
	for i := range observations {
		if !l.observe(&observations[i]) {
			ignored++
		}
	}
	result := applied()
	if ignored > 0 {
		result.Reason = fmt.Sprintf("%d of %d were left as they are: unknown, changed since, or out by the list",
			ignored, len(observations))
	}
	return result
}

// observe records one observation, and reports whether it was still valid.
func (l *Ledger) observe(observed *Unit) bool {
	unit := l.units[observed.ID]
	if unit == nil || !unit.Condition.observable() {
		return false
	}
	if observed.TransitionRevision != 0 && observed.TransitionRevision != unit.TransitionRevision {
		return false
	}
	updated := unit.Unit
	updated.Condition, updated.ObservedRevision = observed.Condition, l.revision
	updated.WarmedUp = observed.Condition == ConditionUp
	l.replaceUnit(unit, updated)
	return true
}

// applyComplete completes units of a permit if there is evidence for each of them; otherwise it completes none. Without
// named units it completes all remaining ones.
func (l *Ledger) applyComplete(permit *permitState, op *Op) Result {
	if permit.Stage == StageRequested || permit.Stage == StageGranted {
		return rejected("permit %s has not begun: cancel it", permit.ID)
	}
	ids := op.Units
	if len(ids) == 0 {
		ids = permit.remainingUnits()
	}
	predecessors := map[string]string{} // by successor
	var completed []string
	for _, id := range ids {
		if !slices.Contains(permit.Units, id) {
			return rejected("%s is not of permit %s", id, permit.ID)
		}
		if permit.completed[id] {
			continue
		}
		successor, err := l.completionEvidence(permit, l.units[id], op.Successors[id])
		if err != nil {
			return rejected("%v", err)
		}
		if successor != "" {
			if other := predecessors[successor]; other != "" {
				return rejected("%s is to replace both %s and %s", successor, other, id)
			}
			predecessors[successor] = id
		}
		completed = append(completed, id)
	}
	l.completeUnits(permit, completed, predecessors)
	return applied()
}

// completeUnits ends units of a permit. Lost units among them were retired or replaced, and are removed from the ledger.
func (l *Ledger) completeUnits(permit *permitState, ids []string, predecessors map[string]string) {
	for _, successor := range slices.Sorted(maps.Keys(predecessors)) {
		l.updateUnit(l.units[successor], func(unit *unitState) { unit.Predecessor = predecessors[successor] })
	}
	l.endUnits(permit, ids, StageCompleted)
	for _, id := range ids {
		if unit := l.units[id]; unit.Condition == ConditionLost && unit.permit == nil {
			l.removeUnit(unit)
		}
	}
}

// completionEvidence checks whether the state of a unit is evidence that completes it under its permit. It returns the
// successor that has replaced the unit, or "" if none is needed. The error says which evidence is missing.
func (l *Ledger) completionEvidence(permit *permitState, unit *unitState, namedSuccessor string) (successor string, err error) {
	if unit.returned(permit) && (permit.Disposition == DispositionReturn || permit.Aborted) {
		return "", nil
	}
	if permit.Disposition == DispositionRetire {
		if unit.Condition != ConditionLost {
			return "", fmt.Errorf("%s is %s, not out of the list", unit.ID, unit.Condition)
		}
		return "", nil
	}
	successor = cmp.Or(namedSuccessor, unit.Successor)
	if successor == "" {
		return "", fmt.Errorf("%s is %s since revision %d, and nothing is named in its place",
			unit.ID, unit.Condition, unit.TransitionRevision)
	}
	if err := l.checkSuccessor(permit, unit, successor); err != nil {
		return "", err
	}
	return successor, nil
}

// returned reports whether the unit is up again after it was taken out under a permit. Evidence is a transition later
// than the permit's begin, or an observation later than the begin of the return.
func (u *unitState) returned(permit *permitState) bool {
	if u.Condition != ConditionUp {
		return false
	}
	return u.TransitionRevision > permit.BeginRevision ||
		permit.Stage == StageReturning && u.ObservedRevision > permit.ReturnRevision
}

// checkSuccessor checks whether a successor has replaced a lost unit.
func (l *Ledger) checkSuccessor(permit *permitState, unit *unitState, successor string) error {
	replacement := l.units[successor]
	switch {
	case unit.Condition != ConditionLost:
		return fmt.Errorf("%s is %s, not out of the list", unit.ID, unit.Condition)
	case replacement == nil || replacement.unavailable():
		return fmt.Errorf("%s, in place of %s, is not up", successor, unit.ID)
	case replacement.Kind != unit.Kind || slices.Contains(permit.Units, successor):
		return fmt.Errorf("%s cannot be in place of %s", successor, unit.ID)
	case replacement.Predecessor != "":
		return fmt.Errorf("%s is in place of %s already", successor, replacement.Predecessor)
	}
	return nil
}
