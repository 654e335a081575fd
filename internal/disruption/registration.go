package disruption

import (
	"cmp"
	"slices"
	"strings"
)

// Register records a unit as the registry lists it: ConditionUp, ConditionUnready, ConditionDraining, or
// ConditionUnknown while the registry holds back the expiry of the unit's lease. The registry does not know whether a
// server has warmed up. If any budget exists, a new or restarted server is therefore ConditionWarmingUp until an
// observation reports it up. A server whose start time is not known (BootMS 0) counts as warmed up.
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
		case sameIncarnation && existing.Condition.observable():
			unit.Condition = existing.Condition // as last observed: the registry's list does not tell these conditions apart
		case !unit.WarmedUp:
			unit.Condition = ConditionWarmingUp
		}
	}
	l.replaceUnit(existing, unit)
	l.processQueue()
}

// SetUnit records a unit as given, except for its revisions, predecessor and successor. It is for callers that know the
// full state of the unit.
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

// MarkUnknown records that a unit's lease has expired while the registry holds the expiry back. The ledger defers all
// grants except those of PriorityRollback until each unknown unit has registered, is marked lost or is removed.
func (l *Ledger) MarkUnknown(revision uint64, id string) {
	l.setCondition(revision, id, ConditionUnknown)
}

// MarkLost records that a unit's lease has expired. The unit stays in the ledger and counts as unavailable.
func (l *Ledger) MarkLost(revision uint64, id string) {
	l.setCondition(revision, id, ConditionLost)
	if l.lostCount > MaxLostUnits {
		l.dropOldestLost()
	}
}

// Deregister removes a unit that has deregistered itself. A unit under a permit is marked lost instead, and stays until
// the permit ends.
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

// replaceUnit sets a unit. TransitionRevision rises only if the condition, incarnation or version changes: a change of
// zone or capacity says nothing about availability.
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

// addNewUnit adds a unit that the ledger does not hold yet. The unit replaces a lost server at the same endpoint, since
// the lost server will not return.
func (l *Ledger) addNewUnit(added Unit) {
	if len(l.units) >= MaxUnits {
		l.haltFleet("%s is not counted: there are %d units", added.ID, len(l.units))
		return
	}
	if added.Endpoint != "" && added.Condition != ConditionLost {
		l.replaceLostAt(added.Endpoint, added.ID)
	}
	l.addUnit(added)
}

// replaceLostAt removes the lost servers at an endpoint. A lost server under a permit stays, with its successor recorded.
func (l *Ledger) replaceLostAt(endpoint, successor string) {
	for _, id := range slices.Clone(l.lostByEndpoint[endpoint]) {
		if lost := l.units[id]; lost.permit != nil {
			l.updateUnit(lost, func(lost *unitState) { lost.Successor = successor })
		} else {
			l.removeUnit(lost)
		}
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

// dropOldestLost removes the unit that has been lost longest among those that are not under a permit. The ledger then no
// longer counts every unavailable unit, so it halts the fleet.
func (l *Ledger) dropOldestLost() {
	var oldest *unitState
	for _, unit := range l.units {
		if unit.Condition != ConditionLost || unit.permit != nil {
			continue
		}
		if oldest == nil || compareLost(unit, oldest) < 0 {
			oldest = unit
		}
	}
	if oldest == nil {
		return // all lost units are under permits, and the limits on permits bound their number
	}
	l.haltFleet("over %d units are lost: forget or replace them", MaxLostUnits)
	l.removeUnit(oldest)
	l.processQueue()
}

// compareLost orders lost units by how long they have been lost, longest first.
func compareLost(a, b *unitState) int {
	return cmp.Or(cmp.Compare(a.TransitionRevision, b.TransitionRevision), strings.Compare(a.ID, b.ID))
}
