package disruption

import (
	"encoding/json"
	"fmt"
	"slices"
)

func (m *model) apply(op *Op) Outcome {
	if op.Validate() != nil {
		return OutcomeRejected
	}
	switch op.Kind {
	case OpSetBudget:
		return m.applySetBudget(op)
	case OpRequest:
		return m.applyRequest(op.Permit)
	case OpHalt:
		return m.applyHalt(op)
	case OpResume:
		m.halts = slices.DeleteFunc(m.halts, func(halt Halt) bool {
			return halt.Scope == op.Halt.Scope && (IsOperator(op.Owner) || halt.IssuedBy == op.Owner)
		})
		return OutcomeApplied
	case OpRemoveLost:
		return m.applyRemoveLost(op.Units)
	case OpObserve:
		return OutcomeApplied // the model takes conditions from the ledger
	default:
		return m.applyToPermit(op)
	}
}

func (m *model) applySetBudget(op *Op) Outcome {
	_, exists := m.budgets[op.Budget.Name]
	switch {
	case !op.Delete:
		m.budgets[op.Budget.Name] = *op.Budget
	case !exists:
		return OutcomeNotFound
	default:
		delete(m.budgets, op.Budget.Name)
	}
	return OutcomeApplied
}

func (m *model) applyRequest(request *Permit) Outcome {
	if existing, exists := m.permits[request.ID]; exists {
		if !sameRequest(&existing, request) {
			return OutcomeRejected
		}
		return OutcomeApplied
	}
	requested := *request
	requested.Stage, requested.RequestRevision = StageRequested, m.revision
	for _, id := range requested.Units {
		if _, exists := m.units[id]; !exists {
			return OutcomeNotFound
		}
	}
	if !m.evaluate(requested).feasible {
		return OutcomeRejected
	}
	m.permits[requested.ID] = requested
	return OutcomeApplied
}

func (m *model) applyHalt(op *Op) Outcome {
	if m.budgets["a"].Name == "" && op.Halt.Scope == "budget/a" {
		return OutcomeNotFound
	}
	if !slices.ContainsFunc(m.halts, func(halt Halt) bool { return halt.Scope == op.Halt.Scope && halt.IssuedBy == op.Owner }) {
		m.halts = append(m.halts, Halt{Scope: op.Halt.Scope, IssuedBy: op.Owner})
	}
	return OutcomeApplied
}

func (m *model) applyRemoveLost(ids []string) Outcome {
	for _, id := range ids {
		switch unit, exists := m.units[id]; {
		case !exists:
			return OutcomeNotFound
		case unit.Condition != ConditionLost || m.permitOf(id) != nil:
			return OutcomeRejected
		}
	}
	for _, id := range ids {
		delete(m.units, id)
	}
	return OutcomeApplied
}

// applyToPermit applies an operation on a permit that was requested before.
func (m *model) applyToPermit(op *Op) Outcome {
	permit, exists := m.permits[op.Permit.ID]
	if !exists {
		return OutcomeNotFound
	}
	if op.Kind != OpForceComplete && op.Owner != permit.Owner {
		return OutcomeRejected
	}
	if !m.advancePermit(&permit, op) {
		return OutcomeRejected
	}
	m.permits[permit.ID] = permit
	return OutcomeApplied
}

// advancePermit advances a permit to the stage that an operation requests, and reports whether that is allowed.
func (m *model) advancePermit(permit *Permit, op *Op) bool {
	begun := permit.Stage == StageActive || permit.Stage == StageReturning
	switch op.Kind {
	case OpBegin:
		if permit.Stage == StageGranted {
			permit.Stage, permit.BeginRevision = StageActive, m.revision
		}
		return permit.Stage == StageActive
	case OpReturn:
		if begun {
			m.beginReturn(permit)
		}
		return begun
	case OpCancel:
		switch {
		case begun:
			m.beginReturn(permit)
			permit.Aborted = true
		case !permit.closed():
			permit.Stage = StageCancelled
		}
		return true
	case OpComplete:
		return permit.Stage == StageCompleted || begun && m.completeUnits(permit, op)
	default: // OpForceComplete
		switch {
		case permit.closed():
		case permit.Stage == StageRequested:
			permit.Stage = StageCancelled
		default:
			permit.Stage, permit.CompletedUnits = StageCompleted, permit.Units
		}
		return true
	}
}

func (m *model) beginReturn(permit *Permit) {
	if permit.Stage == StageActive {
		permit.Stage, permit.ReturnRevision = StageReturning, m.revision
	}
}

// completeUnits completes units of a permit, and reports whether there is evidence for all of them.
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
		returned := unit.Condition == ConditionUp && (permit.Disposition == DispositionReturn || permit.Aborted) &&
			(unit.TransitionRevision > permit.BeginRevision || permit.Stage == StageReturning && unit.ObservedRevision > permit.ReturnRevision)
		retired := permit.Disposition == DispositionRetire && unit.Condition == ConditionLost
		replaced := permit.Disposition != DispositionRetire && unit.Condition == ConditionLost &&
			successor.ID != "" && !m.unavailable(successor) && successor.Kind == unit.Kind &&
			successor.Predecessor == "" && predecessors[successor.ID] == "" && !slices.Contains(permit.Units, successor.ID)
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

// compare returns an error if the ledger differs from the model.
func (m *model) compare(l *Ledger) error {
	if got, want := l.Units(), m.unitsWhere(func(*Unit) bool { return true }); !sameJSON(got, append([]Unit{}, want...)) {
		return fmt.Errorf("units are %s, want %s", asJSON(got), asJSON(want))
	}
	for id, want := range m.permits {
		got, found := l.Permit(id)
		if !found || got.Stage != want.Stage || !slices.Equal(got.CompletedUnits, want.CompletedUnits) {
			return fmt.Errorf("permit %s is %s, want %s", id, asJSON(got), asJSON(want))
		}
		for _, unitID := range want.Units { // the unit is under this permit, not under another
			if !want.holdsUnits() || slices.Contains(want.CompletedUnits, unitID) {
				continue
			}
			if unit := l.units[unitID]; unit == nil || unit.permit == nil || unit.permit.ID != id {
				return fmt.Errorf("%s is not under permit %s", unitID, id)
			}
		}
	}
	for _, status := range l.View(false).Constraints {
		if c := l.constraints[status.Name]; c.budget != nil {
			budget := m.budgets[c.budget.Name]
			selected := m.unitsWhere(budget.Selector.Matches)
			if status.Total != len(selected) || status.Unavailable != m.countUnavailable(selected) {
				return fmt.Errorf("%s: %d of %d unavailable, want %d of %d", status.Name, status.Unavailable, status.Total, m.countUnavailable(selected), len(selected))
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
