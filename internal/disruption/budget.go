package disruption

import (
	"math"
	"slices"
)

// Selector selects the units of a budget or a drain. An empty field selects all units.
type Selector struct {
	Kind     Kind     `json:"kind,omitempty" toml:"kind"`
	Zone     string   `json:"zone,omitempty" toml:"zone"`
	Model    string   `json:"model,omitempty" toml:"model"`
	PodGroup *int     `json:"pod,omitempty" toml:"pod"`
	Tenant   string   `json:"tenant,omitempty" toml:"tenant"`
	Version  string   `json:"version,omitempty" toml:"version"`
	IDs      []string `json:"ids,omitempty" toml:"ids"`
}

// Matches reports whether the selector selects a unit. A unit that names no tenants serves all of them.
func (s *Selector) Matches(unit *Unit) bool {
	switch {
	case s.Kind != "" && s.Kind != unit.Kind:
	case s.Zone != "" && s.Zone != unit.Zone:
	case s.Model != "" && s.Model != unit.Model:
	case s.Version != "" && s.Version != unit.Version:
	case s.PodGroup != nil && (unit.Kind != KindServer || *s.PodGroup != unit.PodGroup):
	case s.Tenant != "" && len(unit.Tenants) > 0 && !slices.Contains(unit.Tenants, s.Tenant):
	default:
		return len(s.IDs) == 0 || slices.Contains(s.IDs, unit.ID)
	}
	return false
}

// Limit bounds a number of units: by a count, by a fraction of the selected units rounded down, or by the smaller of the
// two if both are given. Without either there is no bound.
type Limit struct {
	Count    *int     `json:"count,omitempty" toml:"count"`
	Fraction *float64 `json:"share,omitempty" toml:"share"` // 0 to 1
}

// roundingTolerance prevents a fraction that is meant to give a whole number from being rounded down to the next lower
// one because of floating-point error, as 0.29 of 100 would be.
const roundingTolerance = 1e-9

// unitLimit returns how many of total units the limit allows, and whether there is a bound.
func (l Limit) unitLimit(total int) (limit int, bounded bool) {
	limit = math.MaxInt
	if l.Count != nil {
		limit, bounded = *l.Count, true
	}
	if l.Fraction != nil {
		limit, bounded = min(limit, int(math.Floor(*l.Fraction*float64(total)+roundingTolerance))), true
	}
	return limit, bounded
}

// capacityLimit returns how much of the capacity of total units the limit allows, in thousandths, and whether there is a
// bound. A count is a multiple of the mean capacity of a unit.
func (l Limit) capacityLimit(milliCapacity int64, total int) (limit int64, bounded bool) {
	limit = math.MaxInt64
	if l.Count != nil && total > 0 {
		limit, bounded = int64(*l.Count)*milliCapacity/int64(total), true
	}
	if l.Fraction != nil {
		limit, bounded = min(limit, int64(math.Floor(*l.Fraction*float64(milliCapacity)+roundingTolerance))), true
	}
	return limit, bounded
}

// Budget bounds how many of the units that it selects are unavailable, and how much of their capacity is warming up.
type Budget struct {
	Name           string   `json:"name" toml:"name"`
	Selector       Selector `json:"select" toml:"select"`
	MaxUnavailable Limit    `json:"max_out" toml:"max_out"`
	MaxWarmingUp   Limit    `json:"max_cold" toml:"max_cold"` // of capacity; a count is a multiple of the mean capacity
}
