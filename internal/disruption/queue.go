package disruption

import "slices"

// grantQueue is the permits to evaluate, in the order of grants, each once.
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

// enqueue has a permit wait for its grant; it is evaluated when the queue is next processed.
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

// dequeue ends a permit's wait; permits that it blocked are evaluated again.
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

// markWaitersStale queues the permits that wait for a unit, which has changed, for another evaluation.
func (l *Ledger) markWaitersStale(id string) {
	for _, permit := range l.waitersByUnit[id] {
		permit.pending.stale = true
		l.queue.add(permit)
	}
}

// requeueWaiters queues the permits that wait for a constraint, whose sums have changed, for another evaluation.
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
		l.queue.remove(permit) // leaving and joining its constraints has queued it again
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

// requeueBlockedBy queues the later permits that a permit may have blocked up to now.
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

// grant takes a permit's units out, all of them at once.
func (l *Ledger) grant(permit *permitState) {
	l.dequeue(permit)
	permit.Stage, permit.GrantRevision, permit.WaitReason = StageGranted, l.revision, ""
	for _, id := range permit.Units {
		l.updateUnit(l.units[id], func(unit *unitState) { unit.permit = permit })
	}
	l.countSubstitutes(permit, +1)
}

// releaseUnits gives units of a granted permit back.
func (l *Ledger) releaseUnits(permit *permitState, ids []string) {
	for _, id := range ids {
		if unit := l.units[id]; unit != nil && unit.permit == permit {
			l.updateUnit(unit, func(unit *unitState) { unit.permit = nil })
		}
	}
}

// countSubstitutes protects a permit's substitutes from being taken out (sign +1), or no longer (-1).
func (l *Ledger) countSubstitutes(permit *permitState, sign int) {
	for _, substitute := range permit.Substitutes {
		l.substituteUses[substitute] += sign
		if l.substituteUses[substitute] == 0 {
			delete(l.substituteUses, substitute)
		}
		l.markWaitersStale(substitute)
	}
}
