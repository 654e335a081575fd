package maintenance

import (
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance/contract"
)

// LeaseName is held by the one controller of all windows; it owns their permits and what sidecars are told of them.
const LeaseName = "window"

// ReadView reads what the controller needs out of the replicated state.
func ReadView(revision uint64, table *Table, ledger *disruption.Ledger) *View {
	view := &View{Revision: revision, Table: table, PermitStages: map[string]disruption.Stage{}, OutOfService: map[string]ServerStatus{}, Fleet: Fleet{}}
	for _, window := range table.Windows() {
		permit, found := ledger.Permit(window.PermitID())
		if found {
			view.PermitStages[permit.ID] = permit.Stage
		}
		if !window.OutOfService() {
			continue
		}
		for _, uid := range window.ServerUIDs {
			unit, registered := ledger.Unit(serverUnitID(uid))
			// As the ledger itself counts it: what was found before the way back began is no evidence.
			view.OutOfService[uid] = ServerStatus{Revision: unit.TransitionRevision, Endpoint: unit.Endpoint, Ready: registered && unit.Condition == disruption.ConditionUp &&
				(unit.TransitionRevision > permit.BeginRevision || permit.Stage != disruption.StageReturning || unit.ObservedRevision > permit.ReturnRevision)}
		}
	}
	for _, unit := range ledger.Units() {
		_, name, _ := strings.Cut(unit.ID, "/")
		switch {
		case unit.Kind == disruption.KindServer:
			view.Fleet[name] = unit.Tenants
		case unit.Condition != disruption.ConditionLost:
			view.LiveSidecars = append(view.LiveSidecars, name)
		}
	}
	return view
}

func serverUnitID(uid string) string { return disruption.UnitID(disruption.KindServer, uid) }

// Operation is the act as an operation of the ledger, but for what was found: that is Found's.
func (a *LedgerAction) Operation() *disruption.Op {
	permit := &disruption.Permit{ID: a.PermitID}
	if a.Kind == disruption.OpRequest {
		permit.Owner, permit.Purpose, permit.Priority, permit.Disposition = LeaseName, a.Purpose, a.Rank, disruption.DispositionReturn
		for _, uid := range a.ServerUIDs {
			permit.Units = append(permit.Units, serverUnitID(uid))
		}
	}
	return &disruption.Op{Kind: a.Kind, Permit: permit, Owner: LeaseName}
}

// ObservationOperation is the operation for what was found of the servers, looked at since the view was read.
func (a *LedgerAction) ObservationOperation(view *View, condition func(ServerStatus) disruption.Condition) *disruption.Op {
	op := &disruption.Op{Kind: disruption.OpObserve, Owner: LeaseName}
	for _, uid := range a.ServerUIDs {
		server := view.OutOfService[uid]
		op.Observed = append(op.Observed, disruption.Unit{ID: serverUnitID(uid), TransitionRevision: server.Revision, Condition: condition(server)})
	}
	return op
}

// ContractBudgetName names the ledger's budget that goes with a tenant's contract.
func ContractBudgetName(tenant string) string { return "contract/" + tenant }

// ContractBudget is the ledger's budget that goes with a contract: it counts what is out for whatever reason, windows or not.
func ContractBudget(terms *contract.Contract) *disruption.Budget {
	maxOutShare := 1 - terms.MinAvailableShare
	return &disruption.Budget{Name: ContractBudgetName(terms.Tenant), MaxUnavailable: disruption.Limit{Fraction: &maxOutShare},
		Selector: disruption.Selector{Kind: disruption.KindServer, Tenant: terms.Tenant}}
}
