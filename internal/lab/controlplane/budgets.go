package controlplane

import "milldeck/internal/disruption"

// budgets are the disruption budgets of the fleet: a twentieth of the servers and a sixteenth of the sidecars.
func (o *Options) budgets() []disruption.Budget {
	maxServers, maxSidecars := max(o.Servers/20, 4), max(o.Sidecars/16, 2)
	return []disruption.Budget{
		{Name: "servers", Selector: disruption.Selector{Kind: disruption.KindServer}, MaxUnavailable: disruption.Limit{Count: &maxServers}},
		{Name: "sidecars", Selector: disruption.Selector{Kind: disruption.KindSidecar}, MaxUnavailable: disruption.Limit{Count: &maxSidecars}},
	}
}
