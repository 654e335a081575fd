package disruption

import (
	"fmt"
	"slices"
)

// pendingPermit is what the queue knows of a permit that waits. All of it follows from the ledger as it stands: it is found
// again after a restore, and is not saved.
type pendingPermit struct {
	stale         bool // one of its units has changed: takes and blocked are to be found again
	demands       []demand
	zoneSlots     []*constraint          // of zones, whose news may let it through
	demandOn      map[*constraint]demand // takes by group
	unknownUnit   string                 // a unit that the ledger does not know
	blockedReason string                 // why one of its units cannot be had now
	blocksLater   bool                   // it holds back later ones that need the same room
	neededSlots   []*constraint          // of zones: it leaves one mostly out, and so needs the only place of that
}

// demand is what a permit takes of one group.
type demand struct {
	constraint       *constraint
	total            int // its units there
	serving          int // of these, those that may still serve
	newlyUnavailable int // of these, those that do not count as out yet
	milliWarmingUp   int64
	firstUnit        string // one of its units there
}

// grantQueue is the permits to look at, in the order of grants.
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

// requeueWaiters has those who wait for a group's room look again.
func (l *Ledger) requeueWaiters(c *constraint) {
	for _, permit := range c.waiters {
		l.queue.add(permit)
	}
}

// enqueue has a permit wait; it is looked at in the next run.
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

// referencedUnits are its units and their stand-ins.
func (p *permitState) referencedUnits() []string {
	ids := slices.Clone(p.Units)
	for _, substitute := range p.Substitutes {
		ids = append(ids, substitute)
	}
	return ids
}

// dequeue ends a permit's waiting; those behind it look again.
func (l *Ledger) dequeue(permit *permitState) {
	constraints := l.leaveConstraints(permit)
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

// leaveConstraints takes a permit off the groups that it waits for.
func (l *Ledger) leaveConstraints(permit *permitState) []*constraint {
	pending := permit.pending
	constraints := slices.Clone(pending.zoneSlots)
	for _, d := range pending.demands {
		constraints = append(constraints, d.constraint)
	}
	for _, c := range constraints {
		if index, found := slices.BinarySearchFunc(c.waiters, permit, compareGrantOrder); found {
			c.waiters = slices.Delete(c.waiters, index, index+1)
		}
		l.requeueWaiters(c)
	}
	pending.demands, pending.zoneSlots, pending.demandOn = nil, nil, map[*constraint]demand{}
	return constraints
}

// computeDemands finds what a waiting permit takes of each group.
func (l *Ledger) computeDemands(permit *permitState) {
	previous := l.leaveConstraints(permit)
	pending := permit.pending
	pending.stale, pending.unknownUnit, pending.blockedReason = false, "", ""
	indexes := map[*constraint]int{}
	for _, id := range permit.Units {
		unit := l.units[id]
		switch {
		case unit == nil:
			pending.unknownUnit = id
			continue
		case unit.permit != nil:
			pending.blockedReason = fmt.Sprintf("%s is under permit %s", id, unit.permit.ID)
		case l.substituteUses[id] > 0 && unit.serving():
			pending.blockedReason = fmt.Sprintf("%s stands in for others under a permit", id)
		}
		if slots := l.constraints[zoneSlotsKey(unit.Kind)]; !slices.Contains(pending.zoneSlots, slots) {
			pending.zoneSlots = append(pending.zoneSlots, slots)
		}
		for _, c := range unit.constraints {
			index, known := indexes[c]
			if !known {
				index = len(pending.demands)
				indexes[c] = index
				pending.demands = append(pending.demands, demand{constraint: c, firstUnit: id})
			}
			pending.demands[index].addUnit(unit, permit.Disposition)
		}
	}
	for _, d := range pending.demands {
		pending.demandOn[d.constraint] = d
		l.addWaiter(d.constraint, permit)
	}
	for _, c := range pending.zoneSlots {
		l.addWaiter(c, permit)
	}
	l.pruneConstraints(previous)
}

func (d *demand) addUnit(unit *unitState, disposition Disposition) {
	d.total++
	if unit.serving() {
		d.serving++
		if !unit.unavailable() {
			d.newlyUnavailable++
		}
	}
	if !unit.countsAsWarmingUp() && disposition != DispositionRetire {
		d.milliWarmingUp += unit.milliCapacity()
	}
}

func (l *Ledger) addWaiter(c *constraint, permit *permitState) {
	if index, found := slices.BinarySearchFunc(c.waiters, permit, compareGrantOrder); !found {
		c.waiters = slices.Insert(c.waiters, index, permit)
	}
}

// needs tells whether a permit would take room of a group.
func (p *pendingPermit) needs(c *constraint) bool {
	return slices.Contains(p.neededSlots, c) || p.demandOn[c].serving > 0
}

// verdict of a look at a permit that waits.
type verdict int

const (
	admissible verdict = iota
	deferred           // others have to come back, settle or end first
	infeasible         // not as the fleet and the budgets are
)

// evaluate tells whether a permit can be granted now, and if not why. A permit that only lacks room holds back later
// ones that need the same room; one that is halted, can never be granted, or waits for a unit that is under another
// permit does not: who would wait behind it could wait for ever.
func (l *Ledger) evaluate(permit *permitState) (verdict, string) {
	pending := permit.pending
	pending.blocksLater, pending.neededSlots = false, nil
	if pending.unknownUnit != "" {
		return infeasible, pending.unknownUnit + " is not known"
	}
	shortage := ""
	var majorityKinds []Kind // of zones more than half of which it takes
	for i := range pending.demands {
		d := &pending.demands[i]
		if d.serving == 0 {
			continue
		}
		result, reason := l.evaluateDemand(permit, d)
		if result == infeasible {
			return infeasible, reason
		}
		if c := d.constraint; c.zoneKind != "" && 2*d.serving > c.total {
			if slices.Contains(majorityKinds, c.zoneKind) {
				return infeasible, "two zones would be out by more than half"
			}
			majorityKinds = append(majorityKinds, c.zoneKind)
		}
		if c := d.constraint; c.zoneKind != "" && 2*(c.unavailable+d.newlyUnavailable) > c.total {
			slots := l.constraints[zoneSlotsKey(c.zoneKind)]
			if slices.Contains(pending.neededSlots, slots) || slots.unavailable > 1 || slots.unavailable == 1 && !c.majorityUnavailable() {
				result, reason = deferred, fmt.Sprintf("%s would be out by more than half, as another zone is", c.key)
			}
			if !slices.Contains(pending.neededSlots, slots) {
				pending.neededSlots = append(pending.neededSlots, slots)
			}
		}
		if result == deferred && shortage == "" {
			shortage = reason
		}
	}
	if reason := l.haltReason(permit); reason != "" {
		return deferred, reason
	}
	if pending.blockedReason != "" {
		return deferred, pending.blockedReason
	}
	if reason := l.unavailableSubstitute(permit); reason != "" {
		return deferred, reason
	}
	pending.blocksLater = true
	if reason := l.blockedByEarlier(permit); reason != "" {
		return deferred, reason
	}
	if shortage != "" {
		return deferred, shortage
	}
	return admissible, ""
}

// evaluateDemand tells whether what a permit takes of one group fits there.
func (l *Ledger) evaluateDemand(permit *permitState, d *demand) (verdict, string) {
	c := d.constraint
	if c.budget == nil {
		return l.evaluateBuiltIn(permit, d)
	}
	if limit, bounded := c.budget.MaxUnavailable.unitLimit(c.total); bounded {
		if d.serving > limit {
			return infeasible, fmt.Sprintf("%s allows %d out of %d, never %d", c.key, limit, c.total, d.serving)
		}
		if c.unavailable+d.newlyUnavailable > limit {
			return deferred, fmt.Sprintf("%s: %d of %d are out, %d allowed", c.key, c.unavailable, c.total, limit)
		}
	}
	if limit, bounded := c.budget.MaxWarmingUp.capacityLimit(c.milliCapacity, c.total); bounded {
		if d.milliWarmingUp > limit {
			return infeasible, fmt.Sprintf("%s allows %.3f of the capacity cold, never %.3f", c.key, fractionOf(limit, c), fractionOf(d.milliWarmingUp, c))
		}
		if c.milliWarmingUp+d.milliWarmingUp > limit {
			return deferred, fmt.Sprintf("%s: %.3f of the capacity is cold or will be, %.3f allowed", c.key, fractionOf(c.milliWarmingUp, c), fractionOf(limit, c))
		}
	}
	return admissible, ""
}

func fractionOf(milliCapacity int64, c *constraint) float64 {
	return float64(milliCapacity) / float64(max(c.milliCapacity, 1))
}

// evaluateBuiltIn tells whether a permit leaves a built-in group without a unit that serves: a pod group, or the servers of a
// zone. Who is the only one there is taken out once another, that is Up elsewhere, carries what stood only there.
func (l *Ledger) evaluateBuiltIn(permit *permitState, d *demand) (verdict, string) {
	c := d.constraint
	switch {
	case !c.neverEmpty || permit.WithoutSubstitute && c.total == 1:
		return admissible, ""
	case c.total == 1:
		if permit.Substitutes[d.firstUnit] == "" {
			return infeasible, fmt.Sprintf("%s is the only one of %s, and nothing is named that stands in for it", d.firstUnit, c.key)
		}
		return admissible, ""
	case d.total == c.total:
		return infeasible, fmt.Sprintf("%s would be wholly out", c.key)
	case c.total-c.unavailable-d.newlyUnavailable <= 0:
		return deferred, fmt.Sprintf("%s would be wholly out: %d of %d are", c.key, c.unavailable, c.total)
	}
	return admissible, ""
}

// unavailableSubstitute names a stand-in that does not stand there.
func (l *Ledger) unavailableSubstitute(permit *permitState) string {
	for _, id := range permit.Units {
		if substitute := permit.Substitutes[id]; substitute != "" {
			if unit := l.units[substitute]; unit == nil || unit.unavailable() {
				return fmt.Sprintf("%s, which is to stand in for %s, is not up", substitute, id)
			}
		}
	}
	return ""
}

// blockedByEarlier names an earlier permit that waits for room which this one would take.
func (l *Ledger) blockedByEarlier(permit *permitState) string {
	blocker := func(c *constraint) string {
		for _, earlier := range c.waiters {
			if earlier == permit {
				break
			}
			if earlier.pending.blocksLater && earlier.pending.needs(c) {
				return fmt.Sprintf("behind permit %s, which waits for %s", earlier.ID, c.key)
			}
		}
		return ""
	}
	for _, d := range permit.pending.demands {
		if d.serving > 0 {
			if reason := blocker(d.constraint); reason != "" {
				return reason
			}
		}
	}
	for _, c := range permit.pending.neededSlots {
		if reason := blocker(c); reason != "" {
			return reason
		}
	}
	return ""
}

// processQueue goes through those who may have got room, in the order of grants, and grants what fits.
func (l *Ledger) processQueue() {
	if uncertain := l.uncertainty() != ""; uncertain != l.uncertainAtLastGrant {
		l.uncertainAtLastGrant = uncertain
		l.reevaluate(func(*permitState) bool { return true })
	}
	for len(l.queue) > 0 {
		permit := l.queue[0]
		l.queue = l.queue[1:]
		if permit.pending.stale {
			l.computeDemands(permit)
			l.queue.remove(permit) // its own leaving and entering of groups is no news to it
		}
		wasBlocking, previousSlots := permit.pending.blocksLater, permit.pending.neededSlots
		result, reason := l.evaluate(permit)
		permit.WaitReason = reason
		if result == admissible {
			l.grant(permit)
			continue
		}
		released := func(c *constraint) bool { return !slices.Contains(permit.pending.neededSlots, c) }
		if wasBlocking && (!permit.pending.blocksLater || slices.ContainsFunc(previousSlots, released)) {
			for _, d := range permit.pending.demands { // who stood behind it does so no more
				l.requeueWaitersAfter(d.constraint, permit)
			}
			for _, c := range permit.pending.zoneSlots {
				l.requeueWaitersAfter(c, permit)
			}
		}
	}
	l.queue = nil
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

// countSubstitutes keeps the stand-ins of a permit from being taken out, or no longer.
func (l *Ledger) countSubstitutes(permit *permitState, sign int) {
	for _, substitute := range permit.Substitutes {
		if l.substituteUses[substitute] += sign; l.substituteUses[substitute] == 0 {
			delete(l.substituteUses, substitute)
		}
		l.markWaitersStale(substitute)
	}
}

// releaseUnits gives units of a permit back.
func (l *Ledger) releaseUnits(permit *permitState, ids []string) {
	for _, id := range ids {
		if unit := l.units[id]; unit != nil && unit.permit == permit {
			l.updateUnit(unit, func(unit *unitState) { unit.permit = nil })
		}
	}
}

// uncertainty says why the fleet cannot be seen well enough to take anything further out; "" if it can.
func (l *Ledger) uncertainty() string {
	if l.freezeReason != "" {
		return l.freezeReason
	}
	if l.unknownCount > 0 {
		return fmt.Sprintf("%d units cannot be seen", l.unknownCount)
	}
	return ""
}

// haltReason says what keeps a permit back, whatever room there is. Ways back go on.
func (l *Ledger) haltReason(permit *permitState) string {
	if permit.Priority == PriorityRollback {
		return ""
	}
	if reason := l.uncertainty(); reason != "" {
		return "doubt: " + reason
	}
	for i := range l.halts {
		if halt := &l.halts[i]; l.haltCovers(halt, permit) {
			return fmt.Sprintf("halt of %q by %s: %s", halt.Scope, halt.IssuedBy, halt.Reason)
		}
	}
	return ""
}

func (l *Ledger) haltCovers(halt *Halt, permit *permitState) bool {
	if halt.Scope == "" || halt.Scope == permit.Owner {
		return true
	}
	c := l.constraints[halt.Scope]
	if c == nil || c.budget == nil {
		return false
	}
	for _, id := range permit.Units {
		if unit := l.units[id]; unit != nil && slices.Contains(unit.constraints, c) {
			return true
		}
	}
	return false
}

// reevaluate has all who wait look again, and takes back what was granted but not begun and is now halted: its owner
// has not acted under it, and cannot any more, as a begin of what only waits is refused.
func (l *Ledger) reevaluate(affected func(*permitState) bool) {
	for _, permit := range l.sortedOpenPermits() {
		switch {
		case !affected(permit):
		case permit.pending != nil:
			l.queue.add(permit)
		case permit.Stage == StageGranted && l.haltReason(permit) != "":
			l.countSubstitutes(permit, -1)
			l.releaseUnits(permit, permit.Units)
			permit.Stage, permit.GrantRevision = StageRequested, 0
			l.enqueue(permit)
		}
	}
}
