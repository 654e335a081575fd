package disruption

import (
	"maps"
	"slices"
	"strings"
)

// Revision is the revision of the last change.
func (l *Ledger) Revision() uint64 { return l.revision }

// Permit gives a permit, as long as it is not over or is still kept.
func (l *Ledger) Permit(id string) (Permit, bool) {
	if permit := l.openPermits[id]; permit != nil {
		return *clonePermit(&permit.Permit), true
	}
	if permit := l.closedPermits[id]; permit != nil {
		return *clonePermit(permit), true
	}
	return Permit{}, false
}

// OpenPermits are those that are not over, in the order of grants.
func (l *Ledger) OpenPermits() []Permit {
	permits := make([]Permit, 0, len(l.openPermits))
	for _, permit := range l.sortedOpenPermits() {
		permits = append(permits, *clonePermit(&permit.Permit))
	}
	return permits
}

// Unit gives a unit.
func (l *Ledger) Unit(id string) (Unit, bool) {
	if unit := l.units[id]; unit != nil {
		return unit.Unit, true
	}
	return Unit{}, false
}

// Units are all units, lost ones too, by id.
func (l *Ledger) Units() []Unit {
	units := make([]Unit, 0, len(l.units))
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		units = append(units, l.units[id].Unit)
	}
	return units
}

// UnitsIn are the units of a condition, by id.
func (l *Ledger) UnitsIn(condition Condition) []Unit {
	var units []Unit
	for _, unit := range l.units {
		if unit.Condition == condition {
			units = append(units, unit.Unit)
		}
	}
	slices.SortFunc(units, func(a, b Unit) int { return strings.Compare(a.ID, b.ID) })
	return units
}

// Budgets are those that were set, by name.
func (l *Ledger) Budgets() []Budget {
	budgets := make([]Budget, 0, len(l.budgetConstraints))
	for _, name := range slices.Sorted(maps.Keys(l.budgetConstraints)) {
		budgets = append(budgets, *l.budgetConstraints[name].budget)
	}
	return budgets
}

// Halts are those in force, by scope.
func (l *Ledger) Halts() []Halt { return slices.Clone(l.halts) }

// ConstraintStatus is how a budget or a built-in rule stands.
type ConstraintStatus struct {
	Name           string  `json:"name"` // "budget/NAME", or of a built-in rule "pod/N", "zone/KIND/ZONE"
	Total          int     `json:"all"`
	Unavailable    int     `json:"out"`
	MaxUnavailable int     `json:"allowed"`      // out at most
	WarmingUp      float64 `json:"cold"`         // capacity that is cold, or out under a permit and cold when it is back
	MaxWarmingUp   float64 `json:"cold_allowed"` // -1: no bound
	Capacity       float64 `json:"capacity"`
}

// View is the ledger as it is shown.
type View struct {
	Revision    uint64             `json:"rev"`
	Uncertainty string             `json:"doubt,omitempty"` // why the fleet cannot be seen well enough to grant anything
	Counts      map[Condition]int  `json:"counts"`          // units by condition
	Constraints []ConstraintStatus `json:"rooms"`
	Budgets     []Budget           `json:"budgets"`
	Permits     []Permit           `json:"permits"` // that are not over, in the order of grants
	Halts       []Halt             `json:"halts"`
	Units       []Unit             `json:"units"` // those that count as out; all where all are asked for
}

// View shows the ledger: its units all, or those alone that count as out.
func (l *Ledger) View(allUnits bool) View {
	view := View{
		Revision: l.revision, Uncertainty: l.uncertainty(), Counts: map[Condition]int{}, Budgets: l.Budgets(), Permits: l.OpenPermits(),
		Halts: append([]Halt{}, l.halts...), Units: []Unit{}, Constraints: []ConstraintStatus{},
	}
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		unit := l.units[id]
		view.Counts[unit.Condition]++
		if allUnits || unit.unavailable() {
			view.Units = append(view.Units, unit.Unit)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(l.constraints), strings.Compare) {
		if c := l.constraints[key]; c.budget != nil || c.neverEmpty {
			view.Constraints = append(view.Constraints, c.status())
		}
	}
	return view
}

func (c *constraint) status() ConstraintStatus {
	status := ConstraintStatus{Name: c.key, Total: c.total, Unavailable: c.unavailable, MaxUnavailable: max(c.total-1, 0), MaxWarmingUp: -1}
	status.WarmingUp, status.Capacity = float64(c.milliWarmingUp)/1000, float64(c.milliCapacity)/1000
	if c.budget != nil {
		status.MaxUnavailable = c.total
		if limit, bounded := c.budget.MaxUnavailable.unitLimit(c.total); bounded {
			status.MaxUnavailable = limit
		}
		if limit, bounded := c.budget.MaxWarmingUp.capacityLimit(c.milliCapacity, c.total); bounded {
			status.MaxWarmingUp = float64(limit) / 1000
		}
	}
	return status
}
