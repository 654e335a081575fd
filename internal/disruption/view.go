package disruption

import (
	"maps"
	"slices"
	"strings"
)

// Revision returns the log revision of the last change.
func (l *Ledger) Revision() uint64 { return l.revision }

// Permit returns a copy of a permit that is open, or closed and still retained.
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

// Units returns all units, including lost ones, sorted by ID.
func (l *Ledger) Units() []Unit {
	units := make([]Unit, 0, len(l.units))
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		units = append(units, l.units[id].Unit)
	}
	return units
}

// UnitsIn returns the units in a condition, sorted by ID.
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

// Budgets returns the budgets, sorted by name.
func (l *Ledger) Budgets() []Budget {
	budgets := make([]Budget, 0, len(l.budgetConstraints))
	for _, name := range slices.Sorted(maps.Keys(l.budgetConstraints)) {
		budgets = append(budgets, *l.budgetConstraints[name].budget)
	}
	return budgets
}

// Halts returns the halts in force, sorted by scope and issuer.
func (l *Ledger) Halts() []Halt { return slices.Clone(l.halts) }

// ConstraintStatus says how much of a budget, or of a built-in rule, is used up.
type ConstraintStatus struct {
	Name           string  `json:"name"` // "budget/NAME"; for a built-in rule "pod/N" or "zone/KIND/ZONE"
	Total          int     `json:"all"`  // number of units
	Unavailable    int     `json:"out"`
	MaxUnavailable int     `json:"allowed"`
	WarmingUp      float64 `json:"cold"`         // capacity that warms up, or will when its units return
	MaxWarmingUp   float64 `json:"cold_allowed"` // -1: no bound
	Capacity       float64 `json:"capacity"`
}

// View is the form of the ledger that clients receive.
type View struct {
	Revision    uint64             `json:"rev"`
	Uncertainty string             `json:"doubt,omitempty"` // why the state of the fleet is too uncertain to grant anything
	Counts      map[Condition]int  `json:"counts"`          // units by condition
	Constraints []ConstraintStatus `json:"rooms"`
	Budgets     []Budget           `json:"budgets"`
	Permits     []Permit           `json:"permits"` // open ones, in the order of grants
	Halts       []Halt             `json:"halts"`
	Units       []Unit             `json:"units"` // the unavailable ones, or all if requested
}

// View returns the form of the ledger that clients receive, with all units or only the unavailable ones.
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
