package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Ledger is the ledger. It is not safe for concurrent use.
type Ledger struct {
	revision             uint64
	units                map[string]*unitState
	lostByEndpoint       map[string][]string // lost servers by their endpoint, sorted
	lostCount            int
	unknownCount         int
	constraints          map[string]*constraint // budgets and built-in rules, by key
	budgetConstraints    map[string]*constraint
	openPermits          map[string]*permitState // permits that are not over
	closedPermits        map[string]*Permit      // those that are
	closedOrder          []string                // of kept, oldest first
	halts                []Halt                  // sorted by scope and by
	freezeReason         string
	uncertainAtLastGrant bool                               // frozen, or a unit is unseen: as it was when the queue was last gone through
	substituteUses       map[string]int                     // by unit: permits under which it stands in for others
	waitersByUnit        map[string]map[string]*permitState // permits that wait, by each unit that they name and by their id
	queue                grantQueue
}

// unitState is a unit with what the ledger counts of it.
type unitState struct {
	Unit
	constraints []*constraint
	permit      *permitState // under which it is out
}

// getOrAddConstraint is a budget or a built-in rule, with its sums. Sums are whole numbers: they are the same in whatever order
// they came to be, so a replica that was restored from a snapshot decides like one that was there all along.
type constraint struct {
	key            string
	budget         *Budget // nil of a built-in rule
	zoneKind       Kind    // of a zone: whose units; else ""
	neverEmpty     bool    // never wholly out
	zoneSlots      bool    // of all zones of a kind
	total          int
	unavailable    int
	milliCapacity  int64 // thousandths of capacity
	milliWarmingUp int64
	waiters        []*permitState // that name one of its units, in the order of grants
}

// permitState is a permit that is not over, with what the queue knows of it.
type permitState struct {
	Permit
	completed map[string]bool
	pending   *pendingPermit // nil unless it waits
}

// NewLedger is the empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		units: map[string]*unitState{}, lostByEndpoint: map[string][]string{}, constraints: map[string]*constraint{}, budgetConstraints: map[string]*constraint{},
		openPermits: map[string]*permitState{}, closedPermits: map[string]*Permit{}, substituteUses: map[string]int{}, waitersByUnit: map[string]map[string]*permitState{},
	}
}

// thousandths of a capacity, at least one.
func (u *Unit) milliCapacity() int64 {
	capacity := u.Capacity
	if !(capacity > 0) {
		capacity = 1
	}
	return max(int64(math.Round(1000*min(capacity, maxUnitCapacity))), 1)
}

// unavailable tells whether a unit counts as out.
func (u *unitState) unavailable() bool { return u.Condition != ConditionUp || u.permit != nil }

// countsAsWarmingUp tells whether its capacity counts as cold: it is, or it is out under a permit and will be when it is back.
func (u *unitState) countsAsWarmingUp() bool {
	return u.Condition == ConditionWarmingUp || u.permit != nil && (u.permit.Disposition != DispositionRetire || u.permit.Aborted)
}

// serving tells whether a permit for the unit takes something away that may still serve.
func (u *unitState) serving() bool {
	return u.permit == nil && (u.Condition == ConditionUp || u.Condition == ConditionWarmingUp || u.Condition == ConditionUnknown)
}

// majorityUnavailable tells whether more than half of a zone's units are out.
func (c *constraint) majorityUnavailable() bool { return 2*c.unavailable > c.total }

func zoneKey(kind Kind, zone string) string { return "zone/" + string(kind) + "/" + zone }

// zoneSlotsKey is the group of all zones of a kind: its sums count zones, and those of them that are mostly out.
func zoneSlotsKey(kind Kind) string { return "zones/" + string(kind) }

func (l *Ledger) getOrAddConstraint(key string, create func() *constraint) *constraint {
	c := l.constraints[key]
	if c == nil {
		c = create()
		c.key = key
		l.constraints[key] = c
	}
	return c
}

// constraintsOf finds what a unit belongs to, in a fixed order.
func (l *Ledger) constraintsOf(unit *Unit) []*constraint {
	zoneConstraint := l.getOrAddConstraint(zoneKey(unit.Kind, unit.Zone), func() *constraint { return &constraint{zoneKind: unit.Kind, neverEmpty: unit.Kind == KindServer} })
	l.getOrAddConstraint(zoneSlotsKey(unit.Kind), func() *constraint { return &constraint{zoneSlots: true} })
	constraints := []*constraint{zoneConstraint}
	if unit.Kind == KindServer {
		constraints = append(constraints, l.getOrAddConstraint(fmt.Sprintf("pod/%d", unit.PodGroup), func() *constraint { return &constraint{neverEmpty: true} }))
	}
	for _, name := range slices.Sorted(maps.Keys(l.budgetConstraints)) {
		if c := l.budgetConstraints[name]; c.budget.Selector.Matches(unit) {
			constraints = append(constraints, c)
		}
	}
	return constraints
}

// countUnit adds a unit to the sums of its groups or takes it off.
func (l *Ledger) countUnit(unit *unitState, sign int) {
	switch unit.Condition {
	case ConditionLost:
		l.lostCount += sign
	case ConditionUnknown:
		l.unknownCount += sign
	}
	for _, c := range unit.constraints {
		hadMajority := c.majorityUnavailable()
		l.countInConstraint(c, unit, sign)
		if c.zoneKind != "" && c.majorityUnavailable() != hadMajority {
			slots := l.constraints[zoneSlotsKey(c.zoneKind)]
			if hadMajority {
				slots.unavailable--
			} else {
				slots.unavailable++
			}
			l.requeueWaiters(slots)
		}
	}
}

func (l *Ledger) countInConstraint(c *constraint, unit *unitState, sign int) {
	c.total += sign
	c.milliCapacity += int64(sign) * unit.milliCapacity()
	if unit.unavailable() {
		c.unavailable += sign
	}
	if unit.countsAsWarmingUp() {
		c.milliWarmingUp += int64(sign) * unit.milliCapacity()
	}
	l.requeueWaiters(c)
}

// updateUnit changes a unit and keeps sums and indexes right. A group that has lost its last unit is dropped, unless it
// is a budget or somebody waits for it.
func (l *Ledger) updateUnit(unit *unitState, update func(unit *unitState)) {
	l.countUnit(unit, -1)
	previous, previousConstraints := unit.Unit, unit.constraints
	update(unit)
	if previous.Zone != unit.Zone || previous.PodGroup != unit.PodGroup || previous.Version != unit.Version || previous.Model != unit.Model ||
		!slices.Equal(previous.Tenants, unit.Tenants) {
		unit.constraints = l.constraintsOf(&unit.Unit)
	}
	l.countUnit(unit, +1)
	if previous.Condition == ConditionLost && (unit.Condition != ConditionLost || previous.Endpoint != unit.Endpoint) {
		l.removeLostEndpoint(previous.Endpoint, unit.ID)
	}
	if unit.Condition == ConditionLost && (previous.Condition != ConditionLost || previous.Endpoint != unit.Endpoint) && unit.Endpoint != "" {
		ids := append(l.lostByEndpoint[unit.Endpoint], unit.ID)
		slices.Sort(ids)
		l.lostByEndpoint[unit.Endpoint] = ids
	}
	l.markWaitersStale(unit.ID)
	l.pruneConstraints(previousConstraints)
}

// markWaitersStale has those who wait for a unit look at it again.
func (l *Ledger) markWaitersStale(id string) {
	for _, permit := range l.waitersByUnit[id] {
		permit.pending.stale = true
		l.queue.add(permit)
	}
}

func (l *Ledger) removeLostEndpoint(endpoint, id string) {
	ids := slices.DeleteFunc(l.lostByEndpoint[endpoint], func(lostID string) bool { return lostID == id })
	if len(ids) == 0 {
		delete(l.lostByEndpoint, endpoint)
		return
	}
	l.lostByEndpoint[endpoint] = ids
}

func (l *Ledger) pruneConstraints(constraints []*constraint) {
	for _, c := range constraints {
		if c.budget == nil && !c.zoneSlots && c.total == 0 && len(c.waiters) == 0 {
			delete(l.constraints, c.key)
		}
	}
}

// addUnit takes a new unit in.
func (l *Ledger) addUnit(added Unit) *unitState {
	state := &unitState{Unit: added}
	state.constraints = l.constraintsOf(&state.Unit)
	l.units[state.ID] = state
	l.countUnit(state, +1)
	if state.Condition == ConditionLost && state.Endpoint != "" {
		l.lostByEndpoint[state.Endpoint] = append(l.lostByEndpoint[state.Endpoint], state.ID)
		slices.Sort(l.lostByEndpoint[state.Endpoint])
	}
	l.markWaitersStale(state.ID)
	return state
}

// removeUnit takes a unit out that is under no permit.
func (l *Ledger) removeUnit(unit *unitState) {
	l.countUnit(unit, -1)
	if unit.Condition == ConditionLost {
		l.removeLostEndpoint(unit.Endpoint, unit.ID)
	}
	delete(l.units, unit.ID)
	l.markWaitersStale(unit.ID)
	l.pruneConstraints(unit.constraints)
}

// Snapshot is the ledger as it is kept in a snapshot.
type Snapshot struct {
	Revision uint64    `json:"rev"`
	Units    []Unit    `json:"units"`
	Budgets  []Budget  `json:"budgets"`
	Permits  []*Permit `json:"permits"` // those that are over first, oldest first; the rest in the order of grants
	Halts    []Halt    `json:"halts,omitempty"`
	Frozen   string    `json:"frozen,omitempty"`
}

// Snapshot gives the whole ledger, in a fixed order. What it holds is shared with the ledger until that is next changed.
func (l *Ledger) Snapshot() Snapshot {
	snapshot := Snapshot{Revision: l.revision, Units: l.Units(), Budgets: l.Budgets(), Halts: slices.Clone(l.halts), Frozen: l.freezeReason, Permits: []*Permit{}}
	for _, id := range l.closedOrder {
		snapshot.Permits = append(snapshot.Permits, l.closedPermits[id])
	}
	for _, permit := range l.sortedOpenPermits() {
		snapshot.Permits = append(snapshot.Permits, &permit.Permit)
	}
	return snapshot
}

func (l *Ledger) sortedOpenPermits() []*permitState {
	return slices.SortedFunc(maps.Values(l.openPermits), compareGrantOrder)
}

// compareGrantOrder is the order of grants.
func compareGrantOrder(a, b *permitState) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.RequestRevision, b.RequestRevision), strings.Compare(a.ID, b.ID))
}

// Restore makes a ledger of what was saved, or says what cannot be in it. It grants nothing.
func Restore(snapshot Snapshot) (*Ledger, error) {
	l := NewLedger()
	l.revision, l.freezeReason, l.halts = snapshot.Revision, snapshot.Frozen, slices.Clone(snapshot.Halts)
	for i := range snapshot.Budgets {
		budget := snapshot.Budgets[i]
		if err := budget.Validate(); err != nil {
			return nil, fmt.Errorf("budgets[%d]: %w", i, err)
		}
		c := l.getOrAddConstraint(budgetScopePrefix+budget.Name, func() *constraint { return &constraint{budget: &budget} })
		l.budgetConstraints[budget.Name] = c
	}
	for i, unit := range snapshot.Units {
		if unit.ID == "" || l.units[unit.ID] != nil {
			return nil, fmt.Errorf("units[%d]: %q is empty or twice there", i, unit.ID)
		}
		l.addUnit(unit)
	}
	for i, permit := range snapshot.Permits {
		if permit == nil || permit.ID == "" || l.openPermits[permit.ID] != nil || l.closedPermits[permit.ID] != nil {
			return nil, fmt.Errorf("permits[%d]: it is empty or twice there", i)
		}
		if err := l.restorePermit(clonePermit(permit)); err != nil {
			return nil, fmt.Errorf("permits[%d]: %w", i, err)
		}
	}
	for _, permit := range l.sortedOpenPermits() {
		if permit.pending != nil {
			l.computeDemands(permit)
			l.evaluate(permit)
		}
	}
	l.queue, l.uncertainAtLastGrant = nil, l.uncertainty() != ""
	return l, nil
}

func (l *Ledger) restorePermit(saved *Permit) error {
	permit := &permitState{Permit: *saved, completed: map[string]bool{}}
	for _, id := range saved.CompletedUnits {
		permit.completed[id] = true
	}
	switch saved.Stage {
	case StageCompleted, StageCancelled:
		l.closedPermits[saved.ID] = saved
		l.closedOrder = append(l.closedOrder, saved.ID)
	case StageRequested:
		l.openPermits[saved.ID] = permit
		l.enqueue(permit)
	case StageGranted, StageActive, StageReturning:
		l.openPermits[saved.ID] = permit
		for _, id := range saved.Units {
			unit := l.units[id]
			switch {
			case permit.completed[id]:
			case unit == nil || unit.permit != nil:
				return fmt.Errorf("%s is not known, or under two permits", id)
			default:
				l.updateUnit(unit, func(unit *unitState) { unit.permit = permit })
			}
		}
		l.countSubstitutes(permit, +1)
	default:
		return fmt.Errorf("%q is no stage", saved.Stage)
	}
	return nil
}

func clonePermit(original *Permit) *Permit {
	copied := *original
	copied.Units, copied.CompletedUnits, copied.Substitutes = slices.Clone(original.Units), slices.Clone(original.CompletedUnits), maps.Clone(original.Substitutes)
	return &copied
}
