package disruption

import (
	"fmt"
	"slices"
)

// pendingPermit is what the queue knows of a permit that waits. All of it follows from the rest of the ledger: it is
// computed again after a restore, and is not saved.
type pendingPermit struct {
	stale              bool     // one of its units has changed: all but the last two fields are out of date
	demands            []demand // one for each constraint of its units
	demandByConstraint map[*constraint]demand
	zoneLimits         []*constraint // of its units' kinds
	unknownUnit        string        // a unit that the ledger does not know; "": none
	blockedReason      string        // why one of its units cannot be taken out now; "": all can

	blocksLater      bool          // later permits that need the same as it have to wait for it
	neededZoneLimits []*constraint // zone limits that a grant would use, as it leaves a zone with most units unavailable
}

// needs reports whether the permit would use up some of what a constraint allows.
func (p *pendingPermit) needs(c *constraint) bool {
	return slices.Contains(p.neededZoneLimits, c) || p.demandByConstraint[c].serving > 0
}

// demand is what a permit takes of one constraint.
type demand struct {
	constraint       *constraint
	total            int // its units there
	serving          int // of these, those that may still serve
	newlyUnavailable int // of these, those that do not count as unavailable yet
	milliWarmingUp   int64
	firstUnit        string // one of its units there
}

func (d *demand) addUnit(unit *unitState, disposition Disposition) {
	d.total++
	if unit.serving() {
		d.serving++
		if !unit.unavailable() {
			d.newlyUnavailable++
		}
	}
	if !unit.countsAsWarmingUp() && disposition != DispositionRetire {
		d.milliWarmingUp += unit.milliCapacity()
	}
}

// computeDemands finds what a pending permit takes of each constraint, and has it wait for these.
func (l *Ledger) computeDemands(permit *permitState) {
	previous := l.removeWaiterFromConstraints(permit)
	pending := permit.pending
	pending.stale, pending.unknownUnit, pending.blockedReason = false, "", ""
	indexes := map[*constraint]int{} // of demands
	for _, id := range permit.Units {
		unit := l.units[id]
		if unit == nil {
			pending.unknownUnit = id
			continue
		}
		if reason := l.unitBlockedReason(unit); reason != "" {
			pending.blockedReason = reason
		}
		if zoneLimit := l.constraints[zoneLimitKey(unit.Kind)]; !slices.Contains(pending.zoneLimits, zoneLimit) {
			pending.zoneLimits = append(pending.zoneLimits, zoneLimit)
		}
		for _, c := range unit.constraints {
			index, known := indexes[c]
			if !known {
				index = len(pending.demands)
				indexes[c] = index
				pending.demands = append(pending.demands, demand{constraint: c, firstUnit: id})
			}
			pending.demands[index].addUnit(unit, permit.Disposition)
		}
	}
	l.addWaiterToConstraints(permit)
	l.pruneConstraints(previous)
}

// unitBlockedReason is why a unit cannot be taken out now, whatever the budgets allow; "" if it can.
func (l *Ledger) unitBlockedReason(unit *unitState) string {
	switch {
	case unit.permit != nil:
		return fmt.Sprintf("%s is under permit %s", unit.ID, unit.permit.ID)
	case l.substituteUses[unit.ID] > 0 && unit.serving():
		return fmt.Sprintf("%s stands in for others under a permit", unit.ID)
	}
	return ""
}

// addWaiterToConstraints has a permit wait for the constraints that it has demands on.
func (l *Ledger) addWaiterToConstraints(permit *permitState) {
	for _, d := range permit.pending.demands {
		permit.pending.demandByConstraint[d.constraint] = d
		d.constraint.addWaiter(permit)
	}
	for _, zoneLimit := range permit.pending.zoneLimits {
		zoneLimit.addWaiter(permit)
	}
}

// removeWaiterFromConstraints is the reverse of addWaiterToConstraints; it returns the constraints.
func (l *Ledger) removeWaiterFromConstraints(permit *permitState) []*constraint {
	pending := permit.pending
	constraints := slices.Clone(pending.zoneLimits)
	for _, d := range pending.demands {
		constraints = append(constraints, d.constraint)
	}
	for _, c := range constraints {
		c.removeWaiter(permit)
		l.requeueWaiters(c)
	}
	pending.demands, pending.zoneLimits, pending.demandByConstraint = nil, nil, map[*constraint]demand{}
	return constraints
}

func (c *constraint) addWaiter(permit *permitState) {
	if index, found := slices.BinarySearchFunc(c.waiters, permit, compareGrantOrder); !found {
		c.waiters = slices.Insert(c.waiters, index, permit)
	}
}

func (c *constraint) removeWaiter(permit *permitState) {
	if index, found := slices.BinarySearchFunc(c.waiters, permit, compareGrantOrder); found {
		c.waiters = slices.Delete(c.waiters, index, index+1)
	}
}
