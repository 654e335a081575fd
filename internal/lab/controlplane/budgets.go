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

// roomy tells, for the planted fault of a grant that is not atomic, whether there was room a second ago.
func (w *world) roomy(m *disruption.Permit) bool {
	for _, b := range w.opt.budgets() {
		n := 0
		for _, id := range m.Units {
			if b.Selector.Matches(&w.by[id].Unit) {
				n++
			}
		}
		if n > 0 && w.outs[b.Name]+n > *b.MaxUnavailable.Count {
			return false
		}
	}
	return true
}

// count takes in what is out, for roomy.
func (w *world) count() {
	w.plane.look()
	for _, b := range w.opt.budgets() {
		n := 0
		for _, u := range w.units {
			if b.Selector.Matches(&u.Unit) {
				k, _ := w.plane.ledger.Unit(u.ID)
				if _, under := w.plane.at[u.ID]; under || k.Condition != disruption.ConditionUp {
					n++
				}
			}
		}
		w.outs[b.Name] = n
	}
}
