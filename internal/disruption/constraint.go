package disruption

import (
	"fmt"
	"maps"
	"slices"
)

// constraint is a budget or a built-in rule, with the sums over its units. Sums are whole numbers, so they do not
// depend on the order in which units were added.
type constraint struct {
	key         string
	budget      *Budget // nil for a built-in rule
	neverEmpty  bool    // of a pod group or a zone of servers: one unit has to serve at any moment
	zoneKind    Kind    // of a zone: the kind of its units; else ""
	isZoneLimit bool    // it counts the zones of a kind, see zoneLimitKey

	total          int // units
	unavailable    int
	milliCapacity  int64
	milliWarmingUp int64          // of the capacity, what is warming up or will be when its unit returns
	waiters        []*permitState // pending permits whose evaluation depends on it, in the order of grants
}

// budgetScopePrefix begins the key of a budget's constraint and the scope of its halts.
const budgetScopePrefix = "budget/"

func zoneKey(kind Kind, zone string) string { return "zone/" + string(kind) + "/" + zone }

func podGroupKey(group int) string { return fmt.Sprintf("pod/%d", group) }

// zoneLimitKey is the key of the constraint that counts the zones of a kind: those that have most of their units
// unavailable are its unavailable ones. There is one slot for such a zone.
func zoneLimitKey(kind Kind) string { return "zones/" + string(kind) }

// isMajority reports whether a number of units is more than half of all.
func isMajority(units, total int) bool { return 2*units > total }

// majorityUnavailable reports whether more than half of the units are unavailable.
func (c *constraint) majorityUnavailable() bool { return isMajority(c.unavailable, c.total) }

// fractionOf is an amount of capacity as a fraction of the constraint's.
func (c *constraint) fractionOf(milliCapacity int64) float64 {
	return float64(milliCapacity) / float64(max(c.milliCapacity, 1))
}

// getOrAddConstraint finds a built-in constraint, or adds it as it is given.
func (l *Ledger) getOrAddConstraint(added constraint) *constraint {
	if existing := l.constraints[added.key]; existing != nil {
		return existing
	}
	c := added
	l.constraints[c.key] = &c
	return &c
}

// constraintsOf finds the constraints that a unit belongs to, in a fixed order. Its kind's zone slots are not among
// them, as they count zones, but exist from then on.
func (l *Ledger) constraintsOf(unit *Unit) []*constraint {
	server := unit.Kind == KindServer
	zone := l.getOrAddConstraint(constraint{key: zoneKey(unit.Kind, unit.Zone), zoneKind: unit.Kind, neverEmpty: server})
	l.getOrAddConstraint(constraint{key: zoneLimitKey(unit.Kind), isZoneLimit: true})
	constraints := []*constraint{zone}
	if server {
		constraints = append(constraints, l.getOrAddConstraint(constraint{key: podGroupKey(unit.PodGroup), neverEmpty: true}))
	}
	for _, name := range slices.Sorted(maps.Keys(l.budgetConstraints)) {
		if c := l.budgetConstraints[name]; c.budget.Selector.Matches(unit) {
			constraints = append(constraints, c)
		}
	}
	return constraints
}

// countUnit adds a unit to the sums of its constraints (sign +1) or subtracts it (-1).
func (l *Ledger) countUnit(unit *unitState, sign int) {
	switch unit.Condition {
	case ConditionLost:
		l.lostCount += sign
	case ConditionUnknown:
		l.unknownCount += sign
	}
	for _, c := range unit.constraints {
		hadMajority := c.majorityUnavailable()
		l.countInConstraint(c, unit, sign)
		if c.zoneKind != "" && c.majorityUnavailable() != hadMajority {
			l.countZone(c)
		}
	}
}

func (l *Ledger) countInConstraint(c *constraint, unit *unitState, sign int) {
	c.total += sign
	c.milliCapacity += int64(sign) * unit.milliCapacity()
	if unit.unavailable() {
		c.unavailable += sign
	}
	if unit.countsAsWarmingUp() {
		c.milliWarmingUp += int64(sign) * unit.milliCapacity()
	}
	l.requeueWaiters(c)
}

// countZone updates the zone slots after a zone came to have most of its units unavailable, or no longer has.
func (l *Ledger) countZone(zone *constraint) {
	zoneLimit := l.constraints[zoneLimitKey(zone.zoneKind)]
	if zone.majorityUnavailable() {
		zoneLimit.unavailable++
	} else {
		zoneLimit.unavailable--
	}
	l.requeueWaiters(zoneLimit)
}

// pruneConstraints removes those built-in constraints that have neither units nor waiters.
func (l *Ledger) pruneConstraints(constraints []*constraint) {
	for _, c := range constraints {
		if c.budget == nil && !c.isZoneLimit && c.total == 0 && len(c.waiters) == 0 {
			delete(l.constraints, c.key)
		}
	}
}

// recountUnits assigns all units to their constraints again, after a budget was set or deleted.
func (l *Ledger) recountUnits() {
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		unit := l.units[id]
		l.countUnit(unit, -1)
		unit.constraints = l.constraintsOf(&unit.Unit)
		l.countUnit(unit, +1)
	}
}
