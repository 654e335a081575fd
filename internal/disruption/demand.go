package disruption

import (
	"fmt"
	"slices"
)

// pendingPermit is the state of a permit that waits for its grant. It is not saved: it follows from the rest of the
// ledger, and is computed again after a restore.
type pendingPermit struct {
	stale              bool     // a unit, substitute or budget has changed, so that the fields up to blockedReason are out of date
	demands            []demand // one for each constraint of the permit's units
	demandByConstraint map[*constraint]demand
	zoneLimits         []*constraint // of the kinds of the permit's units
	unknownUnit        string        // a unit of the permit that the ledger does not hold; "": none
	blockedReason      string        // why a unit of the permit cannot be taken out now; "": all can

	blocksLater      bool          // later permits that need the same constraints have to wait
	neededZoneLimits []*constraint // zone limits that a grant would use up, because most units of a zone would be unavailable
}

// needs reports whether a grant would use up some of what a constraint allows.
func (p *pendingPermit) needs(c *constraint) bool {
	return slices.Contains(p.neededZoneLimits, c) || p.demandByConstraint[c].serving > 0
}

// demand is how much of one constraint the grant of a permit would use up.
type demand struct {
	constraint       *constraint
	total            int    // the permit's units that belong to the constraint
	serving          int    // part of total that may still serve
	newlyUnavailable int    // part of serving that does not count as unavailable yet
	milliWarmingUp   int64  // capacity in thousandths that would count as warming up after the grant, and does not yet
	firstUnit        string // ID of one of the units in total
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

// computeDemands computes the demands of a pending permit, and adds the permit to the waiters of the constraints.
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

// unitBlockedReason returns why a unit cannot be taken out now, whatever the budgets allow; "" if it can.
func (l *Ledger) unitBlockedReason(unit *unitState) string {
	switch {
	case unit.permit != nil:
		return fmt.Sprintf("%s is under permit %s", unit.ID, unit.permit.ID)
	case l.substituteUses[unit.ID] > 0 && unit.serving():
		return fmt.Sprintf("%s stands in for others under a permit", unit.ID)
	}
	return ""
}

// addWaiterToConstraints adds a permit to the waiters of the constraints that it has demands on.
func (l *Ledger) addWaiterToConstraints(permit *permitState) {
	for _, d := range permit.pending.demands {
		permit.pending.demandByConstraint[d.constraint] = d
		d.constraint.addWaiter(permit)
	}
	for _, zoneLimit := range permit.pending.zoneLimits {
		zoneLimit.addWaiter(permit)
	}
}

// removeWaiterFromConstraints removes a permit from the waiters of its constraints, and returns these constraints.
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
