package window

import (
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/window/contract"
)

// Duty is held by the one controller of all windows; it owns their permits and what sidecars are told of them.
const Duty = "window"

// Look reads what the controller needs out of the replicated state.
func Look(rev uint64, t *Table, led *disruption.Ledger) *View {
	v := &View{Rev: rev, Table: t, Permits: map[string]disruption.Stage{}, Out: map[string]Server{}, Fleet: Fleet{}}
	for _, w := range t.Windows() {
		p, is := led.Permit(w.PermitID())
		if is {
			v.Permits[p.ID] = p.Stage
		}
		if !w.Out() {
			continue
		}
		for _, uid := range w.Servers {
			u, known := led.Unit(serverID(uid))
			// As the ledger itself counts it: what was found before the way back began is no evidence.
			v.Out[uid] = Server{Rev: u.TransitionRevision, Endpoint: u.Endpoint, Up: known && u.Condition == disruption.ConditionUp &&
				(u.TransitionRevision > p.BeginRevision || p.Stage != disruption.StageReturning || u.ObservedRevision > p.ReturnRevision)}
		}
	}
	for _, u := range led.Units() {
		_, name, _ := strings.Cut(u.ID, "/")
		switch {
		case u.Kind == disruption.KindServer:
			v.Fleet[name] = u.Tenants
		case u.Condition != disruption.ConditionLost:
			v.Sidecars = append(v.Sidecars, name)
		}
	}
	return v
}

func serverID(uid string) string { return disruption.UnitID(disruption.KindServer, uid) }

// Op is the act as an operation of the ledger, but for what was found: that is Found's.
func (a *Act) Op() *disruption.Op {
	p := &disruption.Permit{ID: a.ID}
	if a.Kind == disruption.OpRequest {
		p.Owner, p.Purpose, p.Priority, p.Disposition = Duty, a.Purpose, a.Rank, disruption.DispositionReturn
		for _, uid := range a.Servers {
			p.Units = append(p.Units, serverID(uid))
		}
	}
	return &disruption.Op{Kind: a.Kind, Permit: p, Owner: Duty}
}

// Found is the operation for what was found of the servers, looked at since the view was read.
func (a *Act) Found(v *View, condition func(Server) disruption.Condition) *disruption.Op {
	op := &disruption.Op{Kind: disruption.OpObserve, Owner: Duty}
	for _, uid := range a.Servers {
		u := v.Out[uid]
		op.Observed = append(op.Observed, disruption.Unit{ID: serverID(uid), TransitionRevision: u.Rev, Condition: condition(u)})
	}
	return op
}

// BudgetName names the ledger's budget that goes with a tenant's contract.
func BudgetName(tenant string) string { return "contract/" + tenant }

// BudgetOf is the ledger's budget that goes with a contract: it counts what is out for whatever reason, windows or not.
func BudgetOf(c *contract.Contract) *disruption.Budget {
	share := 1 - c.LeastShare
	return &disruption.Budget{Name: BudgetName(c.Tenant), MaxUnavailable: disruption.Limit{Fraction: &share},
		Selector: disruption.Selector{Kind: disruption.KindServer, Tenant: c.Tenant}}
}
