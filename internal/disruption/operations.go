package disruption

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Apply takes one operation in. Rev is its place in the log, which only grows. The owner's duty and token have been
// checked; the rest is checked here, on every replica alike. Refused, it has changed nothing.
func (l *Ledger) Apply(revision uint64, op *Op) (Outcome, string) {
	if op == nil {
		return OutcomeRejected, "no operation"
	}
	if err := op.Validate(); err != nil {
		return OutcomeRejected, err.Error()
	}
	previousRevision := l.revision
	l.revision = revision
	outcome, reason := l.dispatch(op)
	if outcome != OutcomeApplied {
		l.revision = previousRevision
		return outcome, reason
	}
	l.processQueue()
	return OutcomeApplied, reason
}

func (l *Ledger) dispatch(op *Op) (Outcome, string) {
	switch op.Kind {
	case OpSetBudget:
		return l.applySetBudget(op)
	case OpRequest:
		return l.applyRequest(op.Permit)
	case OpHalt:
		return l.applyHalt(op)
	case OpResume:
		return l.applyResume(op)
	case OpObserve:
		return l.applyObserve(op.Observed)
	case OpForget:
		return l.applyForget(op.Units)
	}
	permit, closed := l.openPermits[op.Permit.ID], l.closedPermits[op.Permit.ID]
	owner := ""
	switch {
	case permit != nil:
		owner = permit.Owner
	case closed != nil:
		owner = closed.Owner
	default:
		return OutcomeNotFound, "there is no permit " + op.Permit.ID
	}
	if op.Kind != OpForceComplete && op.Owner != owner {
		return OutcomeRejected, fmt.Sprintf("permit %s is %s's, not %s's", op.Permit.ID, owner, op.Owner)
	}
	if closed != nil {
		return outcomeOfRepeat(op, closed)
	}
	switch op.Kind {
	case OpBegin:
		return l.applyBegin(permit)
	case OpReturn:
		return l.applyReturn(permit)
	case OpCancel:
		return l.applyCancel(permit)
	case OpComplete:
		return l.applyComplete(permit, op)
	default: // OpForceComplete
		stage := StageCompleted
		if permit.Stage == StageRequested {
			stage = StageCancelled
		}
		l.endUnits(permit, permit.remainingUnits(), stage)
		return OutcomeApplied, ""
	}
}

// outcomeOfRepeat answers an operation about a permit that is over: what it asks for has come about, or cannot any more.
func outcomeOfRepeat(op *Op, closed *Permit) (Outcome, string) {
	switch {
	case op.Kind == OpBegin, op.Kind == OpReturn, op.Kind == OpComplete && closed.Stage == StageCancelled:
		return OutcomeRejected, fmt.Sprintf("permit %s is %s", closed.ID, closed.Stage)
	}
	return OutcomeApplied, ""
}

func (l *Ledger) applySetBudget(op *Op) (Outcome, string) {
	budget := *op.Budget
	switch existing := l.budgetConstraints[budget.Name]; {
	case op.Delete && existing == nil:
		return OutcomeNotFound, "there is no budget " + budget.Name
	case op.Delete:
		delete(l.budgetConstraints, budget.Name)
		delete(l.constraints, existing.key)
	case existing == nil && len(l.budgetConstraints) >= MaxBudgets:
		return OutcomeLimitReached, fmt.Sprintf("there are %d budgets", len(l.budgetConstraints))
	default:
		c := &constraint{key: budgetScopePrefix + budget.Name, budget: &budget}
		l.budgetConstraints[budget.Name], l.constraints[c.key] = c, c
	}
	// All are counted anew: budgets change seldom.
	for _, id := range slices.Sorted(maps.Keys(l.units)) {
		unit := l.units[id]
		l.countUnit(unit, -1)
		unit.constraints = l.constraintsOf(&unit.Unit)
		l.countUnit(unit, +1)
	}
	for _, permit := range l.openPermits {
		if permit.pending != nil {
			permit.pending.stale = true
			l.queue.add(permit)
		}
	}
	l.reevaluate(func(*permitState) bool { return true }) // a halt of that budget may hold others now
	return OutcomeApplied, ""
}

// applyRequest takes in a permit. A repeat is the same one; what can never be granted is refused.
func (l *Ledger) applyRequest(request *Permit) (Outcome, string) {
	existing := l.closedPermits[request.ID]
	if permit := l.openPermits[request.ID]; permit != nil {
		existing = &permit.Permit
	}
	if existing != nil {
		if !sameRequest(existing, request) {
			return OutcomeRejected, fmt.Sprintf("permit %s is there with another content", request.ID)
		}
		return OutcomeApplied, ""
	}
	if len(l.openPermits) >= MaxOpenPermits {
		return OutcomeLimitReached, fmt.Sprintf("%d permits are not over", len(l.openPermits))
	}
	accepted := clonePermit(request)
	accepted.Stage, accepted.CompletedUnits, accepted.RequestRevision, accepted.GrantRevision, accepted.WaitReason, accepted.BeginRevision, accepted.ReturnRevision, accepted.Aborted = StageRequested, nil, l.revision, 0, "", 0, 0, false
	permit := &permitState{Permit: *accepted, completed: map[string]bool{}}
	l.enqueue(permit)
	l.computeDemands(permit)
	if result, reason := l.evaluate(permit); result == infeasible {
		unknownUnit := permit.pending.unknownUnit != ""
		l.dequeue(permit)
		l.queue = nil // nobody has got room by a permit that never waited
		if unknownUnit {
			return OutcomeNotFound, reason
		}
		return OutcomeRejected, reason
	}
	l.openPermits[permit.ID] = permit
	return OutcomeApplied, ""
}

func sameRequest(a, b *Permit) bool {
	return a.Owner == b.Owner && a.Purpose == b.Purpose && a.Priority == b.Priority && a.Disposition == b.Disposition && a.WithoutSubstitute == b.WithoutSubstitute &&
		slices.Equal(a.Units, b.Units) && maps.Equal(a.Substitutes, b.Substitutes)
}

// applyBegin is written before the first act under a permit. What a halt has taken back is refused.
func (l *Ledger) applyBegin(permit *permitState) (Outcome, string) {
	switch permit.Stage {
	case StageRequested:
		return OutcomeRejected, fmt.Sprintf("permit %s is not granted: %s", permit.ID, permit.WaitReason)
	case StageGranted:
		permit.Stage, permit.BeginRevision = StageActive, l.revision
	case StageReturning:
		return OutcomeRejected, fmt.Sprintf("permit %s comes back already", permit.ID)
	}
	return OutcomeApplied, ""
}

func (l *Ledger) applyReturn(permit *permitState) (Outcome, string) {
	switch permit.Stage {
	case StageRequested, StageGranted:
		return OutcomeRejected, fmt.Sprintf("permit %s has not begun", permit.ID)
	case StageActive:
		permit.Stage, permit.ReturnRevision = StageReturning, l.revision
	}
	return OutcomeApplied, ""
}

// applyCancel ends a permit under which nothing was taken out. One that has begun comes back: only evidence ends it.
func (l *Ledger) applyCancel(permit *permitState) (Outcome, string) {
	switch permit.Stage {
	case StageRequested, StageGranted:
		l.endUnits(permit, permit.remainingUnits(), StageCancelled)
	default:
		if permit.Stage == StageActive {
			permit.Stage, permit.ReturnRevision = StageReturning, l.revision
		}
		l.abort(permit)
	}
	return OutcomeApplied, ""
}

// abort notes that a permit has no purpose any more. What comes back will be cold, whatever it was for.
func (l *Ledger) abort(permit *permitState) {
	ids := permit.remainingUnits()
	for _, id := range ids {
		l.countUnit(l.units[id], -1)
	}
	permit.Aborted = true
	for _, id := range ids {
		l.countUnit(l.units[id], +1)
	}
}

// remainingUnits are a permit's units that nothing has ended yet.
func (p *permitState) remainingUnits() []string {
	var remaining []string
	for _, id := range p.Units {
		if !p.completed[id] {
			remaining = append(remaining, id)
		}
	}
	return remaining
}

// endUnits ends some of a permit's units, and the permit with the last of them.
func (l *Ledger) endUnits(permit *permitState, ids []string, stage Stage) {
	if permit.pending != nil {
		l.dequeue(permit)
	} else {
		l.releaseUnits(permit, ids)
	}
	for _, id := range ids {
		permit.completed[id] = true
		if stage == StageCompleted {
			permit.CompletedUnits = append(permit.CompletedUnits, id)
		}
	}
	if len(permit.completed) < len(permit.Units) {
		return
	}
	if permit.Stage != StageRequested {
		l.countSubstitutes(permit, -1)
	}
	permit.Stage, permit.WaitReason = stage, ""
	delete(l.openPermits, permit.ID)
	l.closedPermits[permit.ID] = clonePermit(&permit.Permit)
	l.closedOrder = append(l.closedOrder, permit.ID)
	if len(l.closedOrder) > MaxClosedPermits {
		delete(l.closedPermits, l.closedOrder[0])
		l.closedOrder = l.closedOrder[1:]
	}
}

// applyHalt keeps grants back, and takes back what was granted but not begun.
func (l *Ledger) applyHalt(op *Op) (Outcome, string) {
	if budgetName, ok := strings.CutPrefix(op.Halt.Scope, budgetScopePrefix); ok && l.budgetConstraints[budgetName] == nil {
		return OutcomeNotFound, "there is no budget " + budgetName
	}
	halt := Halt{Scope: op.Halt.Scope, IssuedBy: op.Owner, Reason: op.Halt.Reason, Revision: l.revision}
	return l.addHalt(halt)
}

func (l *Ledger) addHalt(halt Halt) (Outcome, string) {
	index, found := slices.BinarySearchFunc(l.halts, halt, compareHalts)
	if found {
		return OutcomeApplied, "" // it is halted already; the first reason stays
	}
	if len(l.halts) >= MaxHalts {
		return OutcomeLimitReached, fmt.Sprintf("there are %d halts", len(l.halts))
	}
	l.halts = slices.Insert(l.halts, index, halt)
	l.reevaluate(func(permit *permitState) bool { return l.haltCovers(&halt, permit) })
	return OutcomeApplied, ""
}

// applyResume lifts the halts of a scope: an operator all of them, others their own.
func (l *Ledger) applyResume(op *Op) (Outcome, string) {
	before := len(l.halts)
	l.halts = slices.DeleteFunc(l.halts, func(halt Halt) bool {
		return halt.Scope == op.Halt.Scope && (IsOperator(op.Owner) || halt.IssuedBy == op.Owner)
	})
	if len(l.halts) < before {
		l.reevaluate(func(*permitState) bool { return true })
	}
	return OutcomeApplied, ""
}

// applyForget drops lost units that are under no permit; all of those named or none.
func (l *Ledger) applyForget(ids []string) (Outcome, string) {
	for _, id := range ids {
		switch unit := l.units[id]; {
		case unit == nil:
			return OutcomeNotFound, id + " is not known"
		case unit.Condition != ConditionLost:
			return OutcomeRejected, fmt.Sprintf("%s is %s, not lost", id, unit.Condition)
		case unit.permit != nil:
			return OutcomeRejected, fmt.Sprintf("%s is under permit %s: release that first", id, unit.permit.ID)
		}
	}
	for _, id := range ids {
		l.removeUnit(l.units[id])
	}
	return OutcomeApplied, ""
}
