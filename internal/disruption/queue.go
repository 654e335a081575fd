package disruption

import "slices"

// grantQueue holds the permits to evaluate, in the order of grants, each once.
type grantQueue []*permitState

func (q *grantQueue) add(permit *permitState) {
	if index, found := slices.BinarySearchFunc(*q, permit, compareGrantOrder); !found {
		*q = slices.Insert(*q, index, permit)
	}
}

func (q *grantQueue) remove(permit *permitState) {
	if index, found := slices.BinarySearchFunc(*q, permit, compareGrantOrder); found {
		*q = slices.Delete(*q, index, index+1)
	}
}

// enqueue makes a permit wait for its grant. It is evaluated when the queue is next processed.
func (l *Ledger) enqueue(permit *permitState) {
	permit.pending = &pendingPermit{stale: true}
	for _, id := range permit.referencedUnits() {
		if l.waitersByUnit[id] == nil {
			l.waitersByUnit[id] = map[string]*permitState{}
		}
		l.waitersByUnit[id][permit.ID] = permit
	}
	l.queue.add(permit)
}

// dequeue ends a permit's wait, and queues the permits that it may have blocked for another evaluation.
func (l *Ledger) dequeue(permit *permitState) {
	constraints := l.removeWaiterFromConstraints(permit)
	for _, id := range permit.referencedUnits() {
		delete(l.waitersByUnit[id], permit.ID)
		if len(l.waitersByUnit[id]) == 0 {
			delete(l.waitersByUnit, id)
		}
	}
	permit.pending = nil
	l.queue.remove(permit)
	l.pruneConstraints(constraints)
}

// markWaitersStale marks the pending permits that refer to a changed unit as stale, and queues them for another
// evaluation.
func (l *Ledger) markWaitersStale(id string) {
	for _, permit := range l.waitersByUnit[id] {
		permit.pending.stale = true
		l.queue.add(permit)
	}
}

// requeueWaiters queues the waiters of a constraint for another evaluation, after its sums or waiters have changed.
func (l *Ledger) requeueWaiters(c *constraint) {
	for _, permit := range c.waiters {
		l.queue.add(permit)
	}
}

// processQueue evaluates the queued permits in the order of grants, and grants those that are admissible.
func (l *Ledger) processQueue() {
	if uncertain := l.uncertainty() != ""; uncertain != l.uncertainWhenLastProcessed {
		l.uncertainWhenLastProcessed = uncertain
		l.reevaluate(func(*permitState) bool { return true })
	}
	for len(l.queue) > 0 {
		permit := l.queue[0]
		l.queue = l.queue[1:]
		l.processPermit(permit)
	}
	l.queue = nil
}

func (l *Ledger) processPermit(permit *permitState) {
	pending := permit.pending
	if pending.stale {
		l.computeDemands(permit)
		l.queue.remove(permit) // it is evaluated now, whatever computeDemands has queued
	}
	wasBlocking, previousZoneLimits := pending.blocksLater, pending.neededZoneLimits
	result := l.evaluate(permit)
	permit.WaitReason = result.reason
	if result.verdict == admissible {
		l.grant(permit)
		return
	}
	noLongerNeeded := func(zoneLimit *constraint) bool { return !slices.Contains(pending.neededZoneLimits, zoneLimit) }
	if wasBlocking && (!pending.blocksLater || slices.ContainsFunc(previousZoneLimits, noLongerNeeded)) {
		l.requeueBlockedBy(permit)
	}
}

// requeueBlockedBy queues the later permits that a permit may have blocked so far for another evaluation.
func (l *Ledger) requeueBlockedBy(permit *permitState) {
	for _, d := range permit.pending.demands {
		l.requeueWaitersAfter(d.constraint, permit)
	}
	for _, zoneLimit := range permit.pending.zoneLimits {
		l.requeueWaitersAfter(zoneLimit, permit)
	}
}

func (l *Ledger) requeueWaitersAfter(c *constraint, permit *permitState) {
	for _, waiter := range c.waiters {
		if compareGrantOrder(waiter, permit) > 0 {
			l.queue.add(waiter)
		}
	}
}

// grant grants a permit and places all its units under it at once.
func (l *Ledger) grant(permit *permitState) {
	l.dequeue(permit)
	permit.Stage, permit.GrantRevision, permit.WaitReason = StageGranted, l.revision, ""
	for _, id := range permit.Units {
		l.updateUnit(l.units[id], func(unit *unitState) { unit.permit = permit })
	}
	l.countSubstitutes(permit, +1)
}

// releaseUnits detaches units from a granted permit.
func (l *Ledger) releaseUnits(permit *permitState, ids []string) {
	for _, id := range ids {
		if unit := l.units[id]; unit != nil && unit.permit == permit {
			l.updateUnit(unit, func(unit *unitState) { unit.permit = nil })
		}
	}
}

// countSubstitutes protects a permit's substitutes from being taken out (sign +1), or ends that protection (sign -1).
func (l *Ledger) countSubstitutes(permit *permitState, sign int) {
	for _, substitute := range permit.Substitutes {
		l.substituteUses[substitute] += sign
		if l.substituteUses[substitute] == 0 {
			delete(l.substituteUses, substitute)
		}
		l.markWaitersStale(substitute)
	}
}
