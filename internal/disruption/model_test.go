package disruption

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
)

// model is the ledger written down as simply as can be: all sums are counted anew for each question, and after each
// operation all that wait are gone through from the first until nothing more is granted.
type model struct {
	revision  uint64
	units     map[string]Unit
	permits   map[string]Permit // over ones too
	budgets   map[string]Budget
	halts     []Halt
	frozen    bool
	candidate *Permit // that is tried: its units count as under it
}

func newModel() *model {
	return &model{units: map[string]Unit{}, permits: map[string]Permit{}, budgets: map[string]Budget{}}
}

func (m *model) clone() *model {
	copied := *m
	copied.units, copied.permits, copied.budgets, copied.halts = maps.Clone(m.units), maps.Clone(m.permits), maps.Clone(m.budgets), slices.Clone(m.halts)
	return &copied
}

func (p *Permit) holdsUnits() bool {
	return p.Stage == StageGranted || p.Stage == StageActive || p.Stage == StageReturning
}

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

// unitsWhere gives the units of a group: of a zone, a pod group or a budget.
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

// withCandidate gives how it would be with the permit granted.
func (m *model) withCandidate(permit Permit) *model {
	copied := m.clone()
	copied.candidate = &permit
	return copied
}

// evaluate tells whether a permit can be granted but for those before it; which groups it needs; and whether it waits for
// room alone, so that it holds back others.
func (m *model) evaluate(permit Permit) (admissibleNow, feasible, blocksLater bool, needs map[string]bool) {
	feasible, needs = true, map[string]bool{}
	var units []Unit
	available := true
	for _, id := range permit.Units {
		unit, known := m.units[id]
		if !known {
			return false, false, false, needs
		}
		units = append(units, unit)
		available = available && m.permitOf(id) == nil && !(m.serving(unit) && m.usedAsSubstitute(id))
	}
	granted, fits := m.withCandidate(permit), true
	serving := func(selects func(*Unit) bool) (count int) {
		for _, unit := range units {
			if selects(&unit) && m.serving(unit) {
				count++
			}
		}
		return count
	}
	for name, budget := range m.budgets {
		selects := func(unit *Unit) bool { return budget.Selector.Matches(unit) }
		count := serving(selects)
		if count == 0 {
			continue
		}
		needs["budget/"+name] = true
		selected := m.unitsWhere(selects)
		if limit, bounded := budget.MaxUnavailable.unitLimit(len(selected)); bounded {
			feasible, fits = feasible && count <= limit, fits && granted.countUnavailable(selected) <= limit
		}
		milliCapacity, warmingUpNow, warmingUpThen := int64(0), int64(0), int64(0)
		for _, unit := range selected {
			milliCapacity += unit.milliCapacity()
			if m.countsAsWarmingUp(unit) {
				warmingUpNow += unit.milliCapacity()
			}
			if granted.countsAsWarmingUp(unit) {
				warmingUpThen += unit.milliCapacity()
			}
		}
		if limit, bounded := budget.MaxWarmingUp.capacityLimit(milliCapacity, len(selected)); bounded {
			feasible, fits = feasible && warmingUpThen-warmingUpNow <= limit, fits && warmingUpThen <= limit
		}
	}
	for _, unit := range units {
		if !m.serving(unit) {
			continue
		}
		zone := m.unitsInZoneOf(&unit)
		key := string(unit.Kind) + " " + unit.Zone
		needs["zone "+key] = true
		constraints := [][]Unit{zone}
		if unit.Kind == KindServer {
			needs[fmt.Sprint("pod ", unit.PodGroup)] = true
			constraints = append(constraints, m.unitsWhere(func(other *Unit) bool { return other.Kind == KindServer && other.PodGroup == unit.PodGroup }))
			for _, members := range constraints {
				selects := len(slices.DeleteFunc(slices.Clone(members), func(other Unit) bool { return !slices.Contains(permit.Units, other.ID) }))
				switch {
				case len(members) == 1:
					feasible = feasible && (permit.WithoutSubstitute || permit.Substitutes[unit.ID] != "")
				case selects == len(members):
					feasible = false
				default:
					fits = fits && granted.countUnavailable(members) < len(members)
				}
			}
		}
		if 2*granted.countUnavailable(zone) > len(zone) {
			needs["zones "+string(unit.Kind)] = true
			for _, other := range m.units {
				if other.Kind == unit.Kind && other.Zone != unit.Zone && 2*granted.countUnavailable(m.unitsInZoneOf(&other)) > len(m.unitsInZoneOf(&other)) {
					fits = false
				}
			}
		}
	}
	kinds := map[Kind]map[string]bool{KindServer: {}, KindSidecar: {}}
	for _, unit := range units {
		if count := serving(func(other *Unit) bool { return other.Kind == unit.Kind && other.Zone == unit.Zone }); 2*count > len(m.unitsInZoneOf(&unit)) {
			kinds[unit.Kind][unit.Zone] = true
		}
	}
	feasible = feasible && len(kinds[KindServer]) < 2 && len(kinds[KindSidecar]) < 2
	substitutesUp := true
	for _, substitute := range permit.Substitutes {
		substituteUnit, known := m.units[substitute]
		substitutesUp = substitutesUp && known && !m.unavailable(substituteUnit)
	}
	blocksLater = feasible && available && substitutesUp && !m.halted(permit)
	return blocksLater && fits, feasible, blocksLater, needs
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

// grantAdmissible takes back what is halted and grants until nothing more fits.
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
			admissibleNow, _, blocksLater, needs := m.evaluate(permit)
			for _, needed := range earlier {
				for key := range needs {
					admissibleNow = admissibleNow && !needed[key]
				}
			}
			if admissibleNow {
				permit.Stage = StageGranted
				m.permits[permit.ID] = permit
				continue again
			}
			if blocksLater {
				earlier = append(earlier, needs)
			}
		}
		return
	}
}

// apply does an operation and says its outcome.
func (m *model) apply(op *Op) Outcome {
	if op.Validate() != nil {
		return OutcomeRejected
	}
	var permit Permit
	switch op.Kind {
	case OpRequest, OpBegin, OpReturn, OpCancel, OpComplete, OpForceComplete:
		permit = m.permits[op.Permit.ID]
		if op.Kind != OpRequest && permit.ID == "" {
			return OutcomeNotFound
		}
		if op.Kind != OpRequest && op.Kind != OpForceComplete && op.Owner != permit.Owner {
			return OutcomeRejected
		}
	}
	closed := permit.Stage == StageCompleted || permit.Stage == StageCancelled
	begun := permit.Stage == StageActive || permit.Stage == StageReturning
	switch op.Kind {
	case OpSetBudget:
		_, exists := m.budgets[op.Budget.Name]
		if op.Delete {
			delete(m.budgets, op.Budget.Name)
		} else {
			m.budgets[op.Budget.Name] = *op.Budget
		}
		if op.Delete && !exists {
			return OutcomeNotFound
		}
	case OpRequest:
		if permit.ID != "" {
			if !sameRequest(&permit, op.Permit) {
				return OutcomeRejected
			}
			return OutcomeApplied
		}
		requested := *op.Permit
		requested.Stage, requested.RequestRevision = StageRequested, m.revision
		for _, id := range requested.Units {
			if _, exists := m.units[id]; !exists {
				return OutcomeNotFound
			}
		}
		if _, feasible, _, _ := m.evaluate(requested); !feasible {
			return OutcomeRejected
		}
		m.permits[requested.ID] = requested
	case OpBegin:
		if permit.Stage != StageGranted && permit.Stage != StageActive {
			return OutcomeRejected
		}
		if permit.Stage == StageGranted {
			permit.Stage, permit.BeginRevision = StageActive, m.revision
		}
	case OpReturn, OpCancel:
		switch {
		case closed && op.Kind == OpCancel:
			return OutcomeApplied
		case closed, !begun && op.Kind == OpReturn:
			return OutcomeRejected
		case !begun:
			permit.Stage = StageCancelled
		default:
			if permit.Stage == StageActive {
				permit.Stage, permit.ReturnRevision = StageReturning, m.revision
			}
			permit.Aborted = permit.Aborted || op.Kind == OpCancel
		}
	case OpComplete:
		if closed && permit.Stage == StageCompleted {
			return OutcomeApplied
		}
		if !begun || !m.completeUnits(&permit, op) {
			return OutcomeRejected
		}
	case OpForceComplete:
		switch {
		case closed:
			return OutcomeApplied
		case permit.Stage == StageRequested:
			permit.Stage = StageCancelled
		default:
			permit.Stage, permit.CompletedUnits = StageCompleted, permit.Units
		}
	case OpHalt:
		if m.budgets["a"].Name == "" && op.Halt.Scope == "budget/a" {
			return OutcomeNotFound
		}
		if !slices.ContainsFunc(m.halts, func(halt Halt) bool { return halt.Scope == op.Halt.Scope && halt.IssuedBy == op.Owner }) {
			m.halts = append(m.halts, Halt{Scope: op.Halt.Scope, IssuedBy: op.Owner})
		}
	case OpResume:
		m.halts = slices.DeleteFunc(m.halts, func(halt Halt) bool {
			return halt.Scope == op.Halt.Scope && (IsOperator(op.Owner) || halt.IssuedBy == op.Owner)
		})
	case OpForget:
		for _, id := range op.Units {
			switch unit, exists := m.units[id]; {
			case !exists:
				return OutcomeNotFound
			case unit.Condition != ConditionLost || m.permitOf(id) != nil:
				return OutcomeRejected
			}
		}
		for _, id := range op.Units {
			delete(m.units, id)
		}
	}
	if permit.ID != "" {
		m.permits[permit.ID] = permit
	}
	return OutcomeApplied
}

// completeUnits takes the evidence for units of a permit.
func (m *model) completeUnits(permit *Permit, op *Op) bool {
	ids, predecessors := op.Units, map[string]string{}
	if len(ids) == 0 {
		ids = permit.Units
	}
	var completed, removed []string
	for _, id := range ids {
		if !slices.Contains(permit.Units, id) {
			return false
		}
		if slices.Contains(permit.CompletedUnits, id) {
			continue
		}
		unit, successor := m.units[id], m.units[op.Successors[id]]
		returned := unit.Condition == ConditionUp && (unit.TransitionRevision > permit.BeginRevision || permit.Stage == StageReturning && unit.ObservedRevision > permit.ReturnRevision) && (permit.Disposition == DispositionReturn || permit.Aborted)
		retired := permit.Disposition == DispositionRetire && unit.Condition == ConditionLost
		replaced := permit.Disposition != DispositionRetire && unit.Condition == ConditionLost && successor.ID != "" && !m.unavailable(successor) && successor.Predecessor == "" && predecessors[successor.ID] == "" &&
			successor.Kind == unit.Kind && !slices.Contains(permit.Units, successor.ID)
		if !returned && !retired && !replaced {
			return false
		}
		completed = append(completed, id)
		if !returned {
			removed = append(removed, id)
			if replaced {
				predecessors[successor.ID] = id
			}
		}
	}
	permit.CompletedUnits = append(slices.Clone(permit.CompletedUnits), completed...)
	if len(permit.CompletedUnits) == len(permit.Units) {
		permit.Stage = StageCompleted
	}
	for successor, id := range predecessors {
		unit := m.units[successor]
		unit.Predecessor = id
		m.units[successor] = unit
	}
	for _, id := range removed {
		delete(m.units, id)
	}
	return true
}

// compare says where the ledger is not what the model says.
func (m *model) compare(l *Ledger) error {
	if got, want := l.Units(), m.unitsWhere(func(*Unit) bool { return true }); !sameJSON(got, append([]Unit{}, want...)) {
		return fmt.Errorf("units are %s, not %s", asJSON(got), asJSON(want))
	}
	for id, want := range m.permits {
		got, found := l.Permit(id)
		if !found || got.Stage != want.Stage || !slices.Equal(got.CompletedUnits, want.CompletedUnits) {
			return fmt.Errorf("permit %s is %s, not %s", id, asJSON(got), asJSON(want))
		}
		for _, unitID := range want.Units { // nobody else has it
			if unit := l.units[unitID]; want.holdsUnits() && !slices.Contains(want.CompletedUnits, unitID) && (unit == nil || unit.permit == nil || unit.permit.ID != id) {
				return fmt.Errorf("%s is not under permit %s", unitID, id)
			}
		}
	}
	for _, status := range l.View(false).Constraints {
		if c := l.constraints[status.Name]; c.budget != nil {
			selected := m.unitsWhere(func(unitID *Unit) bool { budget := m.budgets[c.budget.Name]; return budget.Selector.Matches(unitID) })
			if status.Total != len(selected) || status.Unavailable != m.countUnavailable(selected) {
				return fmt.Errorf("%s: %d of %d out, not %d of %d", status.Name, status.Unavailable, status.Total, m.countUnavailable(selected), len(selected))
			}
		}
	}
	return nil
}

func asJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func sameJSON(a, b any) bool { return asJSON(a) == asJSON(b) }
