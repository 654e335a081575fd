package disruption

// Apply applies one operation. The revision is the operation's log index, which increases from call to call. The caller
// has checked the owner's lease and fencing token. Apply checks everything else, with the same result on every replica.
func (l *Ledger) Apply(revision uint64, op *Op) Result {
	if op == nil {
		return rejected("no operation")
	}
	if err := op.Validate(); err != nil {
		return rejected("%v", err)
	}
	previousRevision := l.revision
	l.revision = revision
	result := l.dispatch(op)
	if result.Outcome != OutcomeApplied {
		l.revision = previousRevision
		return result
	}
	l.processQueue()
	return result
}

func (l *Ledger) dispatch(op *Op) Result {
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
	case OpRemoveLost:
		return l.applyRemoveLost(op.Units)
	default:
		return l.dispatchPermit(op)
	}
}

// dispatchPermit applies an operation on a permit that was requested before.
func (l *Ledger) dispatchPermit(op *Op) Result {
	id := op.Permit.ID
	existing := l.findPermit(id)
	if existing == nil {
		return notFound("there is no permit %s", id)
	}
	if op.Kind != OpForceComplete && op.Owner != existing.Owner {
		return rejected("permit %s is %s's, not %s's", id, existing.Owner, op.Owner)
	}
	permit := l.openPermits[id]
	if permit == nil {
		return resultForClosed(op, existing)
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
	default: // OpForceComplete: Validate rejects every other kind
		return l.applyForceComplete(permit)
	}
}

// findPermit returns a permit that is open, or closed and still retained.
func (l *Ledger) findPermit(id string) *Permit {
	if permit := l.openPermits[id]; permit != nil {
		return &permit.Permit
	}
	return l.closedPermits[id]
}

// resultForClosed returns the result of an operation on a closed permit. A begin, a return and the completion of a
// cancelled permit are rejected, because they are no longer possible. Any other operation is applied without a change,
// as in a retry after a lost response.
func resultForClosed(op *Op, closed *Permit) Result {
	if op.Kind == OpBegin || op.Kind == OpReturn || op.Kind == OpComplete && closed.Stage == StageCancelled {
		return rejected("permit %s is %s", closed.ID, closed.Stage)
	}
	return applied()
}

func (l *Ledger) applySetBudget(op *Op) Result {
	budget := *op.Budget
	existing := l.budgetConstraints[budget.Name]
	switch {
	case op.Delete && existing == nil:
		return notFound("there is no budget %s", budget.Name)
	case op.Delete:
		delete(l.budgetConstraints, budget.Name)
		delete(l.constraints, existing.key)
	case existing == nil && len(l.budgetConstraints) >= MaxBudgets:
		return limitReached("there are %d budgets", len(l.budgetConstraints))
	default:
		c := &constraint{key: budgetScopePrefix + budget.Name, budget: &budget}
		l.budgetConstraints[budget.Name], l.constraints[c.key] = c, c
	}
	l.recountUnits()
	for _, permit := range l.openPermits {
		if permit.pending != nil {
			permit.pending.stale = true
			l.queue.add(permit)
		}
	}
	l.reevaluate(func(*permitState) bool { return true }) // a halt of this budget may now cover other permits
	return applied()
}

// applyRequest adds a permit. It is idempotent, and rejects a permit that can never be granted.
func (l *Ledger) applyRequest(request *Permit) Result {
	if existing := l.findPermit(request.ID); existing != nil {
		if !sameRequest(existing, request) {
			return rejected("permit %s is there with another content", request.ID)
		}
		return applied()
	}
	if len(l.openPermits) >= MaxOpenPermits {
		return limitReached("%d permits are not over", len(l.openPermits))
	}
	permit := newPermitState(newPermit(request, l.revision))
	l.enqueue(permit)
	l.computeDemands(permit)
	unknownUnit := permit.pending.unknownUnit
	if decision := l.evaluate(permit); decision.verdict == infeasible {
		l.dequeue(permit)
		l.queue = nil // an infeasible permit blocks no other, so its removal makes no other admissible
		if unknownUnit != "" {
			return notFound("%s", decision.reason)
		}
		return rejected("%s", decision.reason)
	}
	l.openPermits[permit.ID] = permit
	return applied()
}

// applyBegin records that the owner is about to take the units out. The owner writes the operation before its first
// action; if a halt has revoked the grant, the operation is rejected.
func (l *Ledger) applyBegin(permit *permitState) Result {
	switch permit.Stage {
	case StageRequested:
		return rejected("permit %s is not granted: %s", permit.ID, permit.WaitReason)
	case StageGranted:
		permit.Stage, permit.BeginRevision = StageActive, l.revision
	case StageReturning:
		return rejected("permit %s comes back already", permit.ID)
	}
	return applied()
}

func (l *Ledger) applyReturn(permit *permitState) Result {
	switch permit.Stage {
	case StageRequested, StageGranted:
		return rejected("permit %s has not begun", permit.ID)
	case StageActive:
		l.beginReturn(permit)
	}
	return applied()
}

func (l *Ledger) beginReturn(permit *permitState) {
	permit.Stage, permit.ReturnRevision = StageReturning, l.revision
}

// applyCancel closes a permit that has not begun. A permit that has begun becomes returning instead: only evidence or a
// forced completion closes it.
func (l *Ledger) applyCancel(permit *permitState) Result {
	switch permit.Stage {
	case StageRequested, StageGranted:
		l.endUnits(permit, permit.remainingUnits(), StageCancelled)
		return applied()
	case StageActive:
		l.beginReturn(permit)
	}
	l.abort(permit)
	return applied()
}

// abort marks a permit as cancelled after its begin. From then on its units count as warming up, whatever its
// disposition, because they will warm up when they return.
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

// applyForceComplete closes a permit without evidence, at an operator's request.
func (l *Ledger) applyForceComplete(permit *permitState) Result {
	stage := StageCompleted
	if permit.Stage == StageRequested {
		stage = StageCancelled
	}
	l.endUnits(permit, permit.remainingUnits(), stage)
	return applied()
}

// endUnits marks units of a permit as completed or cancelled, and detaches them from the permit. It closes the permit when
// none of its units remains.
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
	if len(permit.completed) == len(permit.Units) {
		l.closePermit(permit, stage)
	}
}

func (l *Ledger) closePermit(permit *permitState, stage Stage) {
	if permit.Stage != StageRequested {
		l.countSubstitutes(permit, -1)
	}
	permit.Stage, permit.WaitReason = stage, ""
	delete(l.openPermits, permit.ID)
	l.retainClosed(clonePermit(&permit.Permit))
	if len(l.closedOrder) > MaxClosedPermits {
		delete(l.closedPermits, l.closedOrder[0])
		l.closedOrder = l.closedOrder[1:]
	}
}

// retainClosed retains a closed permit, so that a repeated operation on it has the same result as the first.
func (l *Ledger) retainClosed(closed *Permit) {
	l.closedPermits[closed.ID] = closed
	l.closedOrder = append(l.closedOrder, closed.ID)
}

// applyRemoveLost removes lost units that are not under a permit: all of the named units or none.
func (l *Ledger) applyRemoveLost(ids []string) Result {
	for _, id := range ids {
		switch unit := l.units[id]; {
		case unit == nil:
			return notFound("%s is not known", id)
		case unit.Condition != ConditionLost:
			return rejected("%s is %s, not lost", id, unit.Condition)
		case unit.permit != nil:
			return rejected("%s is under permit %s: release that first", id, unit.permit.ID)
		}
	}
	for _, id := range ids {
		l.removeUnit(l.units[id])
	}
	return applied()
}
