package controlplane

import "milldeck/internal/disruption"

// budgets returns the disruption budgets of the fleet: 1/20 of the servers and 1/16 of the sidecars.
func (o *Options) budgets() []disruption.Budget {
	return []disruption.Budget{
		kindBudget("servers", disruption.KindServer, max(o.Servers/20, 4)),
		kindBudget("sidecars", disruption.KindSidecar, max(o.Sidecars/16, 2)),
	}
}

// kindBudget returns a disruption budget for all units of a kind.
func kindBudget(name string, kind disruption.Kind, maxUnavailable int) disruption.Budget {
	return disruption.Budget{
		Name:           name,
		Selector:       disruption.Selector{Kind: kind},
		MaxUnavailable: disruption.Limit{Count: &maxUnavailable},
	}
}
