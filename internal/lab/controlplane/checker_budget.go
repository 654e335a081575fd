package controlplane

import (
	"fmt"
	"strings"

	"milldeck/internal/disruption"
)

// maxListedUnits is the number of units that the report of a budget violation names.
const maxListedUnits = 12

// checkGrants checks ruleBudget on the permits that were granted since the last check: if a permit covers a unit in
// service, no more units may be unavailable than the budget allows. A unit with a granted permit counts as unavailable
// even while it is in service. A failed unit counts once the control plane can know of the failure. A failure alone is no
// violation.
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

// endReturnedGrants ends the grants whose permit is no longer open and whose unit is in service or permanently drained.
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

// recordGrants records new grants. It returns the permit ID of each unit that a grant takes out of service. Units that are
// already out of service, or that are missing and therefore count as out of service, are left out.
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

// checkBudget reports a violation if a grant took a unit of the budget out of service and more units are unavailable than
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

// unavailable reports whether a unit counts as unavailable, as far as the control plane can know.
func (c *checker) unavailable(target *unit) bool {
	observed := &target.observed
	switch {
	case observed.granted:
		return true
	case target.decommissioned && !target.alive:
		return false // drained permanently
	case observed.inService || !c.cluster.registry.available():
		return false
	default:
		knownSinceMS := max(observed.outSinceMS, c.cluster.registry.leaderSinceMS)
		return c.cluster.nowMS-knownSinceMS > detectionMS
	}
}

// requirePermit reports a violation if a unit in service is taken out of service without a permit.
func (c *checker) requirePermit(target *unit, action string) {
	registry := c.cluster.registry
	registry.indexPermits()
	_, permitted := registry.permitByUnit[target.ID]
	excused := c.restoredMS != 0 && c.cluster.nowMS-c.restoredMS <= restoreGraceMS
	if !permitted && !excused && c.cluster.inService(target) {
		c.report(ruleBudget, fmt.Sprintf("%s is %s without a permit", target.ID, action))
	}
}
