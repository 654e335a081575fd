package disruption

import (
	"fmt"
	"maps"
	"slices"
	"sort"
)

// model is the reference model: the ledger's rules, implemented as simply as possible. It keeps no sums, but counts the
// units anew for each evaluation. After each operation it evaluates all pending permits, and starts again from the first
// permit after each grant.
type model struct {
	revision  uint64
	units     map[string]Unit
	permits   map[string]Permit // closed ones too
	budgets   map[string]Budget
	halts     []Halt
	frozen    bool
	candidate *Permit // pending permit that the model treats as granted, to evaluate the effect of a grant; nil: none
}

func newModel() *model {
	return &model{units: map[string]Unit{}, permits: map[string]Permit{}, budgets: map[string]Budget{}}
}

func (m *model) clone() *model {
	copied := *m
	copied.units, copied.permits = maps.Clone(m.units), maps.Clone(m.permits)
	copied.budgets, copied.halts = maps.Clone(m.budgets), slices.Clone(m.halts)
	return &copied
}

// holdsUnits reports whether the permit is granted and not closed, so that its remaining units count as unavailable.
func (p *Permit) holdsUnits() bool {
	return p.Stage == StageGranted || p.Stage == StageActive || p.Stage == StageReturning
}

// permitOf returns the permit that a unit is under; nil: none.
func (m *model) permitOf(id string) *Permit {
	if permit := m.candidate; permit != nil && slices.Contains(permit.Units, id) {
		return permit
	}
	for _, permit := range m.permits {
		if permit.holdsUnits() && slices.Contains(permit.Units, id) && !slices.Contains(permit.CompletedUnits, id) {
			return &permit
		}
	}
	return nil
}

func (m *model) unavailable(unit Unit) bool {
	return unit.Condition != ConditionUp || m.permitOf(unit.ID) != nil
}

func (m *model) serving(unit Unit) bool {
	return m.permitOf(unit.ID) == nil && (unit.Condition == ConditionUp || unit.Condition == ConditionWarmingUp || unit.Condition == ConditionUnknown)
}

func (m *model) countsAsWarmingUp(unit Unit) bool {
	permit := m.permitOf(unit.ID)
	return unit.Condition == ConditionWarmingUp || permit != nil && (permit.Disposition != DispositionRetire || permit.Aborted)
}

func (m *model) setCondition(id string, condition Condition) {
	if unit, known := m.units[id]; known && unit.Condition != ConditionLost && unit.Condition != condition {
		unit.Condition, unit.TransitionRevision, unit.ObservedRevision = condition, m.revision, m.revision
		m.units[id] = unit
	}
}

// unitsWhere returns the selected units, sorted by ID.
func (m *model) unitsWhere(selects func(unit *Unit) bool) []Unit {
	var selected []Unit
	for _, id := range slices.Sorted(maps.Keys(m.units)) {
		if unit := m.units[id]; selects(&unit) {
			selected = append(selected, unit)
		}
	}
	return selected
}

func (m *model) countUnavailable(units []Unit) int {
	count := 0
	for _, unit := range units {
		if m.unavailable(unit) {
			count++
		}
	}
	return count
}

func (m *model) unitsInZoneOf(unit *Unit) []Unit {
	return m.unitsWhere(func(other *Unit) bool { return other.Kind == unit.Kind && other.Zone == unit.Zone })
}

// withCandidate returns the model as it would be with a permit granted.
func (m *model) withCandidate(permit Permit) *model {
	copied := m.clone()
	copied.candidate = &permit
	return copied
}

// evaluation is the model's evaluation of a pending permit.
type evaluation struct {
	fits        bool            // a grant is within all constraints, given the units that are unavailable or warming up now
	feasible    bool            // a grant is within all constraints if no other unit is unavailable or warming up
	blocksLater bool            // the permit waits only for its constraints
	needs       map[string]bool // constraints of which a grant uses up a part
}

// admissible reports whether the permit can be granted unless an earlier permit blocks it.
func (e *evaluation) admissible() bool { return e.blocksLater && e.fits }

func (m *model) evaluate(permit Permit) *evaluation {
	result := &evaluation{fits: true, feasible: true, needs: map[string]bool{}}
	var units []Unit
	available := true
	for _, id := range permit.Units {
		unit, known := m.units[id]
		if !known {
			return &evaluation{needs: result.needs}
		}
		units = append(units, unit)
		protected := m.serving(unit) && m.usedAsSubstitute(id)
		available = available && m.permitOf(id) == nil && !protected
	}
	afterGrant := m.withCandidate(permit)
	for name, budget := range m.budgets {
		m.evaluateBudget(result, afterGrant, units, name, &budget)
	}
	for _, unit := range units {
		if m.serving(unit) {
			m.evaluateBuiltIn(result, afterGrant, permit, unit)
		}
	}
	result.feasible = result.feasible && !m.takesTwoMajorities(units)
	substitutesUp := true
	for _, substitute := range permit.Substitutes {
		unit, known := m.units[substitute]
		substitutesUp = substitutesUp && known && !m.unavailable(unit)
	}
	result.blocksLater = result.feasible && available && substitutesUp && !m.halted(permit)
	return result
}

// countServing counts the units of a permit that are selected and may still serve.
func (m *model) countServing(units []Unit, selects func(*Unit) bool) int {
	count := 0
	for _, unit := range units {
		if selects(&unit) && m.serving(unit) {
			count++
		}
	}
	return count
}

func (m *model) evaluateBudget(result *evaluation, afterGrant *model, units []Unit, name string, budget *Budget) {
	count := m.countServing(units, budget.Selector.Matches)
	if count == 0 {
		return
	}
	result.needs["budget/"+name] = true
	selected := m.unitsWhere(budget.Selector.Matches)
	if limit, bounded := budget.MaxUnavailable.unitLimit(len(selected)); bounded {
		result.feasible = result.feasible && count <= limit
		result.fits = result.fits && afterGrant.countUnavailable(selected) <= limit
	}
	milliCapacity, warmingUpBefore, warmingUpAfter := int64(0), int64(0), int64(0)
	for _, unit := range selected {
		milliCapacity += unit.milliCapacity()
		if m.countsAsWarmingUp(unit) {
			warmingUpBefore += unit.milliCapacity()
		}
		if afterGrant.countsAsWarmingUp(unit) {
			warmingUpAfter += unit.milliCapacity()
		}
	}
	if limit, bounded := budget.MaxWarmingUp.capacityLimit(milliCapacity, len(selected)); bounded {
		result.feasible = result.feasible && warmingUpAfter-warmingUpBefore <= limit
		result.fits = result.fits && warmingUpAfter <= limit
	}
}

// evaluateBuiltIn evaluates the built-in rules of the zone and the pod group of a unit that serves.
func (m *model) evaluateBuiltIn(result *evaluation, afterGrant *model, permit Permit, unit Unit) {
	zone := m.unitsInZoneOf(&unit)
	result.needs["zone "+string(unit.Kind)+" "+unit.Zone] = true
	if unit.Kind == KindServer {
		result.needs[fmt.Sprint("pod ", unit.PodGroup)] = true
		podGroup := m.unitsWhere(func(other *Unit) bool { return other.Kind == KindServer && other.PodGroup == unit.PodGroup })
		for _, members := range [][]Unit{zone, podGroup} {
			taken := len(slices.DeleteFunc(slices.Clone(members), func(other Unit) bool { return !slices.Contains(permit.Units, other.ID) }))
			switch {
			case len(members) == 1:
				result.feasible = result.feasible && (permit.WithoutSubstitute || permit.Substitutes[unit.ID] != "")
			case taken == len(members):
				result.feasible = false
			default:
				result.fits = result.fits && afterGrant.countUnavailable(members) < len(members)
			}
		}
	}
	if 2*afterGrant.countUnavailable(zone) <= len(zone) {
		return
	}
	result.needs["zones "+string(unit.Kind)] = true
	for _, other := range m.units {
		if other.Kind != unit.Kind || other.Zone == unit.Zone {
			continue
		}
		if otherZone := m.unitsInZoneOf(&other); 2*afterGrant.countUnavailable(otherZone) > len(otherZone) {
			result.fits = false
		}
	}
}

// takesTwoMajorities reports whether a permit takes more than half of the units of two zones of a kind.
func (m *model) takesTwoMajorities(units []Unit) bool {
	zones := map[Kind]map[string]bool{KindServer: {}, KindSidecar: {}}
	for _, unit := range units {
		taken := m.countServing(units, func(other *Unit) bool { return other.Kind == unit.Kind && other.Zone == unit.Zone })
		if 2*taken > len(m.unitsInZoneOf(&unit)) {
			zones[unit.Kind][unit.Zone] = true
		}
	}
	return len(zones[KindServer]) > 1 || len(zones[KindSidecar]) > 1
}

func (m *model) usedAsSubstitute(id string) bool {
	for _, permit := range m.permits {
		if permit.holdsUnits() {
			for _, substitute := range permit.Substitutes {
				if substitute == id {
					return true
				}
			}
		}
	}
	return false
}

func (m *model) halted(permit Permit) bool {
	if permit.Priority == PriorityRollback {
		return false
	}
	for _, unit := range m.units {
		if unit.Condition == ConditionUnknown {
			return true
		}
	}
	for _, halt := range m.halts {
		if halt.Scope == "" || halt.Scope == permit.Owner {
			return true
		}
		for name, budget := range m.budgets {
			for _, id := range permit.Units {
				if unit, known := m.units[id]; known && halt.Scope == "budget/"+name && budget.Selector.Matches(&unit) {
					return true
				}
			}
		}
	}
	return m.frozen
}

func (m *model) waiting() []Permit {
	var waiting []Permit
	for _, permit := range m.permits {
		if permit.Stage == StageRequested {
			waiting = append(waiting, permit)
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		return a.Priority < b.Priority || a.Priority == b.Priority && a.RequestRevision < b.RequestRevision
	})
	return waiting
}

// grantAdmissible revokes the grants that are halted, and then grants permits until none is admissible.
func (m *model) grantAdmissible() {
	for id, permit := range m.permits {
		if permit.Stage == StageGranted && m.halted(permit) {
			permit.Stage = StageRequested
			m.permits[id] = permit
		}
	}
again:
	for {
		var earlier []map[string]bool
		for _, permit := range m.waiting() {
			result := m.evaluate(permit)
			admissibleNow := result.admissible()
			for _, needed := range earlier {
				for key := range result.needs {
					admissibleNow = admissibleNow && !needed[key]
				}
			}
			if admissibleNow {
				permit.Stage = StageGranted
				m.permits[permit.ID] = permit
				continue again
			}
			if result.blocksLater {
				earlier = append(earlier, result.needs)
			}
		}
		return
	}
}
