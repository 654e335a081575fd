package disruption

import (
	"fmt"
	"slices"
)

// Snapshot is the stored form of the ledger in a snapshot of the replicated state.
type Snapshot struct {
	Revision uint64    `json:"rev"`
	Units    []Unit    `json:"units"`
	Budgets  []Budget  `json:"budgets"`
	Permits  []*Permit `json:"permits"` // closed ones, oldest first, then open ones in the order of grants
	Halts    []Halt    `json:"halts,omitempty"`
	Frozen   string    `json:"frozen,omitempty"` // why the ledger is frozen; "": it is not
}

// Snapshot returns the complete ledger, in a fixed order. The snapshot shares memory with the ledger, so it is valid only
// until the ledger's next change.
func (l *Ledger) Snapshot() Snapshot {
	snapshot := Snapshot{
		Revision: l.revision,
		Units:    l.Units(),
		Budgets:  l.Budgets(),
		Permits:  []*Permit{},
		Halts:    slices.Clone(l.halts),
		Frozen:   l.freezeReason,
	}
	for _, id := range l.closedOrder {
		snapshot.Permits = append(snapshot.Permits, l.closedPermits[id])
	}
	for _, permit := range l.sortedOpenPermits() {
		snapshot.Permits = append(snapshot.Permits, &permit.Permit)
	}
	return snapshot
}

// Restore returns the ledger of a snapshot, or an error that names the invalid entry of the snapshot. It grants nothing.
func Restore(snapshot Snapshot) (*Ledger, error) {
	l := NewLedger()
	l.revision, l.freezeReason, l.halts = snapshot.Revision, snapshot.Frozen, slices.Clone(snapshot.Halts)
	for i := range snapshot.Budgets {
		budget := snapshot.Budgets[i]
		if err := budget.Validate(); err != nil {
			return nil, fmt.Errorf("budgets[%d]: %w", i, err)
		}
		c := l.getOrAddConstraint(constraint{key: budgetScopePrefix + budget.Name, budget: &budget})
		l.budgetConstraints[budget.Name] = c
	}
	for i, unit := range snapshot.Units {
		if unit.ID == "" || l.units[unit.ID] != nil {
			return nil, fmt.Errorf("units[%d]: ID %q is empty or a duplicate", i, unit.ID)
		}
		l.addUnit(unit)
	}
	for i, permit := range snapshot.Permits {
		if permit == nil || permit.ID == "" || l.openPermits[permit.ID] != nil || l.closedPermits[permit.ID] != nil {
			return nil, fmt.Errorf("permits[%d]: the permit is null, or its ID is empty or a duplicate", i)
		}
		if err := l.restorePermit(clonePermit(permit)); err != nil {
			return nil, fmt.Errorf("permits[%d]: %w", i, err)
		}
	}
	l.restoreQueue()
	return l, nil
}

func (l *Ledger) restorePermit(restored *Permit) error {
	switch restored.Stage {
	case StageCompleted, StageCancelled:
		l.retainClosed(restored)
	case StageRequested:
		permit := newPermitState(restored)
		l.openPermits[permit.ID] = permit
		l.enqueue(permit)
	case StageGranted, StageActive, StageReturning:
		return l.restoreGranted(newPermitState(restored))
	default:
		return fmt.Errorf("unknown stage %q", restored.Stage)
	}
	return nil
}

// restoreGranted adds a permit that is granted but not closed, and assigns its remaining units to it.
func (l *Ledger) restoreGranted(permit *permitState) error {
	l.openPermits[permit.ID] = permit
	for _, id := range permit.remainingUnits() {
		unit := l.units[id]
		if unit == nil || unit.permit != nil {
			return fmt.Errorf("unit %s is unknown or under two permits", id)
		}
		l.updateUnit(unit, func(unit *unitState) { unit.permit = permit })
	}
	l.countSubstitutes(permit, +1)
	return nil
}

// restoreQueue computes the state of the pending permits, which is not saved because it follows from the rest.
func (l *Ledger) restoreQueue() {
	for _, permit := range l.sortedOpenPermits() {
		if permit.pending != nil {
			l.computeDemands(permit)
			l.evaluate(permit)
		}
	}
	l.queue, l.uncertainWhenLastProcessed = nil, l.uncertainty() != ""
}
