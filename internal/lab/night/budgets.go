package night

import (
	"slices"

	"milldeck/internal/disruption"
)

// budgets are those of the night.
func (o *Options) budgets() []disruption.Budget {
	servers, sidecars := max(o.Servers/20, 4), max(o.Sidecars/16, 2)
	return slices.Clone([]disruption.Budget{
		{Name: "servers", Select: disruption.Selector{Kind: disruption.Server}, MaxOut: disruption.Limit{Count: &servers}},
		{Name: "sidecars", Select: disruption.Selector{Kind: disruption.Sidecar}, MaxOut: disruption.Limit{Count: &sidecars}},
	})
}

// roomy tells, for the planted fault of a grant that is not atomic, whether there was room a second ago.
func (w *world) roomy(m *disruption.Permit) bool {
	for _, b := range w.opt.budgets() {
		n := 0
		for _, id := range m.Units {
			if b.Select.Selects(&w.by[id].Unit) {
				n++
			}
		}
		if n > 0 && w.outs[b.Name]+n > *b.MaxOut.Count {
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
			if b.Select.Selects(&u.Unit) {
				k, _ := w.plane.ledger.Unit(u.ID)
				if _, under := w.plane.at[u.ID]; under || k.Condition != disruption.Up {
					n++
				}
			}
		}
		w.outs[b.Name] = n
	}
}
