package disruption

import (
	"maps"
	"slices"
	"strings"
)

// Revision is the log revision of the last change.
func (l *Ledger) Revision() uint64 { return l.revision }

// Permit returns a copy of a permit, as long as it is open or still retained.
func (l *Ledger) Permit(id string) (Permit, bool) {
	permit := l.findPermit(id)
	if permit == nil {
		return Permit{}, false
	}
	return *clonePermit(permit), true
}

// OpenPermits returns copies of the open permits, in the order of grants.
func (l *Ledger) OpenPermits() []Permit {
	permits := make([]Permit, 0, len(l.openPermits))
	for _, permit := range l.sortedOpenPermits() {
		permits = append(permits, *clonePermit(&permit.Permit))
	}
	return permits
}

// Unit returns a unit.
func (l *Ledger) Unit(id string) (Unit, bool) {
	if unit := l.units[id]; unit != nil {
		return unit.Unit, true
	}
	return Unit{}, false
}

// Units returns all units, lost ones too, by id.
func (l *Ledger) Units() []Unit {
	units := make([]Unit, 0, len(l.units))
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		units = append(units, l.units[id].Unit)
	}
	return units
}

// UnitsIn returns the units of a condition, by id.
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

// Budgets returns the budgets, by name.
func (l *Ledger) Budgets() []Budget {
	budgets := make([]Budget, 0, len(l.budgetConstraints))
	for _, name := range slices.Sorted(maps.Keys(l.budgetConstraints)) {
		budgets = append(budgets, *l.budgetConstraints[name].budget)
	}
	return budgets
}

// Halts returns the halts in force, by scope and issuer.
func (l *Ledger) Halts() []Halt { return slices.Clone(l.halts) }

// ConstraintStatus is how much of a budget, or of a built-in rule, is used up.
type ConstraintStatus struct {
	Name           string  `json:"name"` // "budget/NAME", or of a built-in rule "pod/N", "zone/KIND/ZONE"
	Total          int     `json:"all"`  // units
	Unavailable    int     `json:"out"`
	MaxUnavailable int     `json:"allowed"`
	WarmingUp      float64 `json:"cold"`         // capacity that is warming up, or will be when its units return
	MaxWarmingUp   float64 `json:"cold_allowed"` // -1: no bound
	Capacity       float64 `json:"capacity"`
}

// View is the ledger as clients are shown it.
type View struct {
	Revision    uint64             `json:"rev"`
	Uncertainty string             `json:"doubt,omitempty"` // why the state of the fleet is too uncertain to grant anything
	Counts      map[Condition]int  `json:"counts"`          // units by condition
	Constraints []ConstraintStatus `json:"rooms"`
	Budgets     []Budget           `json:"budgets"`
	Permits     []Permit           `json:"permits"` // open ones, in the order of grants
	Halts       []Halt             `json:"halts"`
	Units       []Unit             `json:"units"` // the unavailable ones, or all where all were requested
}

// View shows the ledger, with all of its units or with the unavailable ones alone.
func (l *Ledger) View(allUnits bool) View {
	view := View{
		Revision:    l.revision,
		Uncertainty: l.uncertainty(),
		Counts:      map[Condition]int{},
		Constraints: []ConstraintStatus{},
		Budgets:     l.Budgets(),
		Permits:     l.OpenPermits(),
		Halts:       append([]Halt{}, l.halts...), // never nil: an empty JSON list
		Units:       []Unit{},
	}
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		unit := l.units[id]
		view.Counts[unit.Condition]++
		if allUnits || unit.unavailable() {
			view.Units = append(view.Units, unit.Unit)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(l.constraints)) {
		if c := l.constraints[key]; c.budget != nil || c.neverEmpty {
			view.Constraints = append(view.Constraints, c.status())
		}
	}
	return view
}

func (c *constraint) status() ConstraintStatus {
	status := ConstraintStatus{
		Name:           c.key,
		Total:          c.total,
		Unavailable:    c.unavailable,
		MaxUnavailable: max(c.total-1, 0),
		WarmingUp:      float64(c.milliWarmingUp) / capacityScale,
		MaxWarmingUp:   -1,
		Capacity:       float64(c.milliCapacity) / capacityScale,
	}
	if c.budget == nil {
		return status
	}
	status.MaxUnavailable = c.total
	if limit, bounded := c.budget.MaxUnavailable.unitLimit(c.total); bounded {
		status.MaxUnavailable = limit
	}
	if limit, bounded := c.budget.MaxWarmingUp.capacityLimit(c.milliCapacity, c.total); bounded {
		status.MaxWarmingUp = float64(limit) / capacityScale
	}
	return status
}
