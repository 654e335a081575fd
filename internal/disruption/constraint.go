package disruption

import (
	"fmt"
	"maps"
	"slices"
)

// constraint is a budget or a built-in rule, with the sums over its units. The sums are integers, so they do not depend
// on the order in which units were added.
type constraint struct {
	key         string
	budget      *Budget // nil for a built-in rule
	neverEmpty  bool    // rule of a pod group or a zone of servers: at least one unit has to serve at any time
	zoneKind    Kind    // rule of a zone: the kind of its units; otherwise ""
	isZoneLimit bool    // rule that counts zones of a kind, see zoneLimitKey

	total          int // number of units
	unavailable    int
	milliCapacity  int64
	milliWarmingUp int64          // part of milliCapacity whose units warm up, or will when they return
	waiters        []*permitState // pending permits whose evaluation depends on the constraint, in the order of grants
}

// budgetScopePrefix is the prefix of the key of a budget's constraint and of the scope of its halts.
const budgetScopePrefix = "budget/"

func zoneKey(kind Kind, zone string) string { return "zone/" + string(kind) + "/" + zone }

func podGroupKey(group int) string { return fmt.Sprintf("pod/%d", group) }

// zoneLimitKey returns the key of the zone limit of a kind of units. The zone limit allows at most one zone to have most
// of its units, more than half, unavailable. Its field unavailable counts these zones.
func zoneLimitKey(kind Kind) string { return "zones/" + string(kind) }

// isMajority reports whether a number of units is more than half of the total.
func isMajority(units, total int) bool { return 2*units > total }

func (c *constraint) majorityUnavailable() bool { return isMajority(c.unavailable, c.total) }

// fractionOf returns an amount of capacity as a fraction of the constraint's capacity.
func (c *constraint) fractionOf(milliCapacity int64) float64 {
	return float64(milliCapacity) / float64(max(c.milliCapacity, 1))
}

// getOrAddConstraint returns the constraint with the key of the given one, and adds the given one if there is none.
func (l *Ledger) getOrAddConstraint(added constraint) *constraint {
	if existing := l.constraints[added.key]; existing != nil {
		return existing
	}
	c := added
	l.constraints[c.key] = &c
	return &c
}

// constraintsOf returns the constraints that a unit belongs to, in a fixed order: the built-in rules of its zone and, for
// a server, of its pod group, then the budgets that select the unit. It adds built-in rules that the ledger does not have
// yet. It also adds the zone limit of the unit's kind, but does not return it, because the zone limit counts zones instead
// of units.
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

// countUnit adds a unit to the sums of its constraints (sign +1) or subtracts it (sign -1).
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

// countZone updates the zone limit after most units of a zone have become unavailable, or no longer are.
func (l *Ledger) countZone(zone *constraint) {
	zoneLimit := l.constraints[zoneLimitKey(zone.zoneKind)]
	if zone.majorityUnavailable() {
		zoneLimit.unavailable++
	} else {
		zoneLimit.unavailable--
	}
	l.requeueWaiters(zoneLimit)
}

// pruneConstraints removes the built-in ones among the given constraints that have neither units nor waiters.
func (l *Ledger) pruneConstraints(constraints []*constraint) {
	for _, c := range constraints {
		if c.budget == nil && !c.isZoneLimit && c.total == 0 && len(c.waiters) == 0 {
			delete(l.constraints, c.key)
		}
	}
}

// recountUnits assigns all units to constraints again after a budget was set or deleted.
func (l *Ledger) recountUnits() {
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		unit := l.units[id]
		l.countUnit(unit, -1)
		unit.constraints = l.constraintsOf(&unit.Unit)
		l.countUnit(unit, +1)
	}
}
