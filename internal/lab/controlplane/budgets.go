package controlplane

import (
	"slices"

	"milldeck/internal/disruption"
)

// budgets are those of the night.
func (o *Options) budgets() []disruption.Budget {
	servers, sidecars := max(o.Servers/20, 4), max(o.Sidecars/16, 2)
	return slices.Clone([]disruption.Budget{
		{Name: "servers", Selector: disruption.Selector{Kind: disruption.KindServer}, MaxUnavailable: disruption.Limit{Count: &servers}},
		{Name: "sidecars", Selector: disruption.Selector{Kind: disruption.KindSidecar}, MaxUnavailable: disruption.Limit{Count: &sidecars}},
	})
}

// hadCapacity tells, for the planted fault of a grant that is not atomic, whether there was room a second ago.
func (c *cluster) hadCapacity(permit *disruption.Permit) bool {
	for _, budget := range c.options.budgets() {
		count := 0
		for _, id := range permit.Units {
			if budget.Selector.Matches(&c.unitsByID[id].Unit) {
				count++
			}
		}
		if count > 0 && c.unavailableBefore[budget.Name]+count > *budget.MaxUnavailable.Count {
			return false
		}
	}
	return true
}

// recordUnavailable takes in what is out, for roomy.
func (c *cluster) recordUnavailable() {
	c.registry.indexPermits()
	for _, budget := range c.options.budgets() {
		count := 0
		for _, member := range c.units {
			if budget.Selector.Matches(&member.Unit) {
				ledgerUnit, _ := c.registry.ledger.Unit(member.ID)
				if _, permitted := c.registry.permitByUnit[member.ID]; permitted || ledgerUnit.Condition != disruption.ConditionUp {
					count++
				}
			}
		}
		c.unavailableBefore[budget.Name] = count
	}
}
