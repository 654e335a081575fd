package controlplane

import (
	"fmt"
	"strings"

	"milldeck/internal/disruption"
)

// maxListedUnits of a budget violation are named.
const maxListedUnits = 12

// checkGrants checks ruleBudget on the permits that were granted since the last check: when a unit in service is granted,
// no more units may be unavailable than the budget allows. Those that are granted and still in service count as
// unavailable, those that failed do once the failure can be known. A failure alone is no violation.
func (c *checker) checkGrants() {
	registry := c.cluster.registry
	for _, name := range registry.releases.Names() {
		c.observePhase(name)
	}
	grants := registry.newGrants
	registry.newGrants = nil
	c.endReturnedGrants()
	if !c.enabled || len(grants) == 0 {
		return
	}
	takenOut := c.recordGrants(grants)
	for _, budget := range c.cluster.options.budgets() {
		c.checkBudget(&budget, takenOut)
	}
}

// endReturnedGrants ends the grants whose permit is gone and whose unit is in service, or has left for good.
func (c *checker) endReturnedGrants() {
	for _, unitID := range sortedKeys(c.grantedUnits) {
		target := c.grantedUnits[unitID]
		_, permitted := c.cluster.registry.permitByUnit[unitID]
		drained := target.decommissioned && !target.alive
		if !permitted && (target.observed.inService || drained) {
			c.endGrant(target)
		}
	}
}

func (c *checker) endGrant(target *unit) {
	target.observed.granted = false
	delete(c.grantedUnits, target.ID)
}

// recordGrants records new grants. It returns the permit of each unit that a grant takes out of service: units that are
// out already, or are missing and so count as out, are not.
func (c *checker) recordGrants(grants []disruption.Permit) map[*unit]string {
	takenOut := map[*unit]string{}
	for _, permit := range grants {
		for _, unitID := range permit.Units {
			target := c.cluster.unitsByID[unitID]
			if target == nil {
				continue
			}
			observed := &target.observed
			if observed.inService && target.missingSinceMS == 0 {
				takenOut[target] = permit.ID
			}
			observed.granted, observed.outSinceGrant = true, !observed.inService
			c.grantedUnits[unitID] = target
		}
	}
	return takenOut
}

// checkBudget reports a violation where a grant took a unit of the budget out of service and more are unavailable than
// the budget allows.
func (c *checker) checkBudget(budget *disruption.Budget, takenOut map[*unit]string) {
	count, lastPermit := 0, ""
	var listed []string
	for _, member := range c.cluster.units {
		if !budget.Selector.Matches(&member.Unit) {
			continue
		}
		if permitID, ok := takenOut[member]; ok {
			lastPermit = max(lastPermit, permitID)
		}
		if !c.unavailable(member) {
			continue
		}
		count++
		if len(listed) < maxListedUnits {
			listed = append(listed, member.name)
		}
	}
	if allowed := *budget.MaxUnavailable.Count; lastPermit != "" && count > allowed {
		c.report(ruleBudget, fmt.Sprintf("permit %s is granted, and %d of the budget %s are unavailable, %d allowed: %s",
			lastPermit, count, budget.Name, allowed, strings.Join(listed, ", ")))
	}
}

// unavailable tells whether a unit counts as unavailable, as far as the control plane can know.
func (c *checker) unavailable(target *unit) bool {
	observed := &target.observed
	switch {
	case observed.granted:
		return true
	case target.decommissioned && !target.alive:
		return false // drained for good
	case observed.inService || !c.cluster.registry.available():
		return false
	default:
		knownSinceMS := max(observed.outSinceMS, c.cluster.registry.leaderSinceMS)
		return c.cluster.nowMS-knownSinceMS > detectionMS
	}
}

// requirePermit checks that a unit in service is taken out of service with a permit.
func (c *checker) requirePermit(target *unit, action string) {
	registry := c.cluster.registry
	registry.indexPermits()
	_, permitted := registry.permitByUnit[target.ID]
	excused := c.restoredMS != 0 && c.cluster.nowMS-c.restoredMS <= restoreGraceMS
	if !permitted && !excused && c.cluster.inService(target) {
		c.report(ruleBudget, fmt.Sprintf("%s is %s without a permit", target.ID, action))
	}
}
