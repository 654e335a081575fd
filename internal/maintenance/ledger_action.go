package maintenance

import (
	"milldeck/internal/disruption"
	"milldeck/internal/maintenance/contract"
)

// LedgerAction is an operation of the Reconciler on a window's permit in the disruption ledger: OpRequest,
// OpBegin, OpReturn, OpObserve, OpComplete or OpCancel. Each may be repeated: the ledger executes it once.
type LedgerAction struct {
	Kind       disruption.OpKind
	PermitID   string
	ServerUIDs []string
	Priority   disruption.Priority
	Purpose    string
}

// Operation returns the operation for the ledger. For OpObserve use ObservationOperation.
func (a *LedgerAction) Operation() *disruption.Op {
	permit := &disruption.Permit{ID: a.PermitID}
	if a.Kind == disruption.OpRequest {
		permit.Owner = LeaseName
		permit.Purpose = a.Purpose
		permit.Priority = a.Priority
		permit.Disposition = disruption.DispositionReturn
		for _, uid := range a.ServerUIDs {
			permit.Units = append(permit.Units, serverUnitID(uid))
		}
	}
	return &disruption.Op{Kind: a.Kind, Permit: permit, Owner: LeaseName}
}

// ObservationOperation returns the ledger operation that records the conditions of the servers, one for each of
// ServerUIDs. The conditions must have been observed after the view was read: an older observation does not show
// that a server is back.
func (a *LedgerAction) ObservationOperation(view *View, conditions []disruption.Condition) *disruption.Op {
	op := &disruption.Op{Kind: disruption.OpObserve, Owner: LeaseName}
	for i, uid := range a.ServerUIDs {
		op.Observed = append(op.Observed, disruption.Unit{
			ID:                 serverUnitID(uid),
			TransitionRevision: view.OutOfService[uid].Revision,
			Condition:          conditions[i],
		})
	}
	return op
}

// ContractBudgetName is the name of the disruption budget that belongs to a tenant's contract.
func ContractBudgetName(tenant string) string { return "contract/" + tenant }

// ContractBudget returns the disruption budget that belongs to a contract. It counts every unavailable server of
// the tenant, whatever the reason.
func ContractBudget(terms *contract.Contract) *disruption.Budget {
	maxUnavailableShare := 1 - terms.MinAvailableShare
	return &disruption.Budget{
		Name:           ContractBudgetName(terms.Tenant),
		MaxUnavailable: disruption.Limit{Fraction: &maxUnavailableShare},
		Selector:       disruption.Selector{Kind: disruption.KindServer, Tenant: terms.Tenant},
	}
}
