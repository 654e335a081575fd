package disruption

import (
	"fmt"
	"slices"
)

// verdict is the result of an evaluation: whether a pending permit can be granted.
type verdict int

const (
	admissible verdict = iota
	deferred           // possible once other permits have ended, units have returned or halts are lifted
	infeasible         // impossible with the current fleet and budgets
)

// decision is the verdict on a pending permit, or on one of its demands, with its reason.
type decision struct {
	verdict verdict
	reason  string // "" if admissible
}

func deferredFor(format string, args ...any) decision {
	return decision{deferred, fmt.Sprintf(format, args...)}
}

func infeasibleFor(format string, args ...any) decision {
	return decision{infeasible, fmt.Sprintf(format, args...)}
}

// evaluate decides whether a pending permit can be granted now. A permit that waits only for its constraints blocks later
// permits that need the same constraints, so that small permits do not starve a large one. A permit that is infeasible
// or halted, or that waits for a unit under another permit or for a substitute, blocks no other permit, because the wait
// of the first permit might never end.
func (l *Ledger) evaluate(permit *permitState) decision {
	pending := permit.pending
	pending.blocksLater, pending.neededZoneLimits = false, nil
	if pending.unknownUnit != "" {
		return infeasibleFor("%s is not known", pending.unknownUnit)
	}
	result := l.evaluateDemands(permit)
	if result.verdict == infeasible {
		return result
	}
	if reason := l.haltReason(permit); reason != "" {
		return decision{deferred, reason}
	}
	if pending.blockedReason != "" {
		return decision{deferred, pending.blockedReason}
	}
	if reason := l.substituteUnavailableReason(permit); reason != "" {
		return decision{deferred, reason}
	}
	pending.blocksLater = true
	if reason := blockedByEarlierReason(permit); reason != "" {
		return decision{deferred, reason}
	}
	return result
}

// evaluateDemands evaluates a pending permit by its constraints only, whether or not a halt, a substitute or an earlier
// permit defers it, and records which zone limits the permit needs. If several demands are deferred, the reason is that of the
// first.
func (l *Ledger) evaluateDemands(permit *permitState) decision {
	pending := permit.pending
	var result decision
	var majorityKinds []Kind // kinds of which the permit takes more than half of the units in some zone
	for i := range pending.demands {
		d := &pending.demands[i]
		if d.serving == 0 {
			continue
		}
		current := evaluateDemand(permit, d)
		if current.verdict == infeasible {
			return current
		}
		if c := d.constraint; c.zoneKind != "" && isMajority(d.serving, c.total) {
			if slices.Contains(majorityKinds, c.zoneKind) {
				return infeasibleFor("two zones would be out by more than half")
			}
			majorityKinds = append(majorityKinds, c.zoneKind)
		}
		if l.exceedsZoneLimit(pending, d) {
			current = deferredFor("%s would be out by more than half, as another zone is", d.constraint.key)
		}
		if result.verdict == admissible {
			result = current
		}
	}
	return result
}

// evaluateDemand decides whether a demand is within its constraint.
func evaluateDemand(permit *permitState, d *demand) decision {
	c := d.constraint
	if c.budget == nil {
		return evaluateBuiltIn(permit, d)
	}
	if limit, bounded := c.budget.MaxUnavailable.unitLimit(c.total); bounded {
		if d.serving > limit {
			return infeasibleFor("%s allows %d out of %d, never %d", c.key, limit, c.total, d.serving)
		}
		if c.unavailable+d.newlyUnavailable > limit {
			return deferredFor("%s: %d of %d are out, %d allowed", c.key, c.unavailable, c.total, limit)
		}
	}
	if limit, bounded := c.budget.MaxWarmingUp.capacityLimit(c.milliCapacity, c.total); bounded {
		if d.milliWarmingUp > limit {
			return infeasibleFor("%s allows %.3f of the capacity cold, never %.3f",
				c.key, c.fractionOf(limit), c.fractionOf(d.milliWarmingUp))
		}
		if c.milliWarmingUp+d.milliWarmingUp > limit {
			return deferredFor("%s: %.3f of the capacity is cold or will be, %.3f allowed",
				c.key, c.fractionOf(c.milliWarmingUp), c.fractionOf(limit))
		}
	}
	return decision{}
}

// evaluateBuiltIn decides whether a demand would leave a pod group, or the servers of a zone, without a serving unit. The
// only unit of a group or zone may be taken out if a substitute elsewhere carries what only that unit had, or if an
// operator has waived the substitute.
func evaluateBuiltIn(permit *permitState, d *demand) decision {
	c := d.constraint
	switch {
	case !c.neverEmpty:
	case c.total == 1:
		if !permit.WithoutSubstitute && permit.Substitutes[d.firstUnit] == "" {
			return infeasibleFor("%s is the only one of %s, and nothing is named that stands in for it", d.firstUnit, c.key)
		}
	case d.total == c.total:
		return infeasibleFor("%s would be wholly out", c.key)
	case c.total-c.unavailable-d.newlyUnavailable <= 0:
		return deferredFor("%s would be wholly out: %d of %d are", c.key, c.unavailable, c.total)
	}
	return decision{}
}

// exceedsZoneLimit reports whether a demand would make its zone the second one of a kind with most units unavailable. It
// records the zone limit as needed if the demand leaves most units of its zone unavailable.
func (l *Ledger) exceedsZoneLimit(pending *pendingPermit, d *demand) bool {
	zone := d.constraint
	if zone.zoneKind == "" || !isMajority(zone.unavailable+d.newlyUnavailable, zone.total) {
		return false
	}
	zoneLimit := l.constraints[zoneLimitKey(zone.zoneKind)]
	if slices.Contains(pending.neededZoneLimits, zoneLimit) {
		return true // another zone of the same permit uses up the limit
	}
	pending.neededZoneLimits = append(pending.neededZoneLimits, zoneLimit)
	return zoneLimit.unavailable > 1 || zoneLimit.unavailable == 1 && !zone.majorityUnavailable()
}

// substituteUnavailableReason returns why a substitute cannot take over; "" if all can.
func (l *Ledger) substituteUnavailableReason(permit *permitState) string {
	for _, id := range permit.Units {
		substitute := permit.Substitutes[id]
		if substitute == "" {
			continue
		}
		if unit := l.units[substitute]; unit == nil || unit.unavailable() {
			return fmt.Sprintf("%s, which is to stand in for %s, is not up", substitute, id)
		}
	}
	return ""
}

// blockedByEarlierReason names an earlier permit that waits for a constraint that this permit needs; "" if there is none.
func blockedByEarlierReason(permit *permitState) string {
	for _, d := range permit.pending.demands {
		if d.serving == 0 {
			continue
		}
		if reason := blockedAtConstraintReason(permit, d.constraint); reason != "" {
			return reason
		}
	}
	for _, zoneLimit := range permit.pending.neededZoneLimits {
		if reason := blockedAtConstraintReason(permit, zoneLimit); reason != "" {
			return reason
		}
	}
	return ""
}

func blockedAtConstraintReason(permit *permitState, c *constraint) string {
	for _, earlier := range c.waiters {
		if earlier == permit {
			break
		}
		if earlier.pending.blocksLater && earlier.pending.needs(c) {
			return fmt.Sprintf("behind permit %s, which waits for %s", earlier.ID, c.key)
		}
	}
	return ""
}
