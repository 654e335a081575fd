package disruption

import (
	"maps"
	"slices"
)

// Ledger is the replicated state: units, budgets, permits and halts, with the sums and indexes that follow from them.
// It is not safe for concurrent use.
type Ledger struct {
	revision uint64 // of the last change

	units          map[string]*unitState
	lostByEndpoint map[string][]string // ids of lost servers, sorted
	lostCount      int
	unknownCount   int

	constraints       map[string]*constraint // budgets and built-in rules, by key
	budgetConstraints map[string]*constraint // of these the budgets, by name

	openPermits    map[string]*permitState
	closedPermits  map[string]*Permit
	closedOrder    []string       // ids of closed permits, the oldest first
	substituteUses map[string]int // by unit: granted permits under which it substitutes for others

	halts                      []Halt // by scope and issuer
	freezeReason               string // "" unless frozen
	uncertainWhenLastProcessed bool   // as uncertainty was when the queue was last processed

	queue         grantQueue                         // permits to evaluate
	waitersByUnit map[string]map[string]*permitState // pending permits, by each unit that they refer to and their id
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		units:             map[string]*unitState{},
		lostByEndpoint:    map[string][]string{},
		constraints:       map[string]*constraint{},
		budgetConstraints: map[string]*constraint{},
		openPermits:       map[string]*permitState{},
		closedPermits:     map[string]*Permit{},
		substituteUses:    map[string]int{},
		waitersByUnit:     map[string]map[string]*permitState{},
	}
}

// addUnit adds a unit that the ledger does not have.
func (l *Ledger) addUnit(added Unit) {
	unit := &unitState{Unit: added}
	unit.constraints = l.constraintsOf(&unit.Unit)
	l.units[unit.ID] = unit
	l.countUnit(unit, +1)
	if unit.Condition == ConditionLost {
		l.indexLost(unit.Endpoint, unit.ID)
	}
	l.markWaitersStale(unit.ID)
}

// updateUnit changes a unit and keeps sums and indexes right.
func (l *Ledger) updateUnit(unit *unitState, update func(unit *unitState)) {
	l.countUnit(unit, -1)
	previous, previousConstraints := unit.Unit, unit.constraints
	update(unit)
	if !sameConstraints(&previous, &unit.Unit) {
		unit.constraints = l.constraintsOf(&unit.Unit)
	}
	l.countUnit(unit, +1)
	endpointChanged := previous.Endpoint != unit.Endpoint
	if previous.Condition == ConditionLost && (unit.Condition != ConditionLost || endpointChanged) {
		l.unindexLost(previous.Endpoint, unit.ID)
	}
	if unit.Condition == ConditionLost && (previous.Condition != ConditionLost || endpointChanged) {
		l.indexLost(unit.Endpoint, unit.ID)
	}
	l.markWaitersStale(unit.ID)
	l.pruneConstraints(previousConstraints)
}

// removeUnit removes a unit that no permit has taken out.
func (l *Ledger) removeUnit(unit *unitState) {
	l.countUnit(unit, -1)
	if unit.Condition == ConditionLost {
		l.unindexLost(unit.Endpoint, unit.ID)
	}
	delete(l.units, unit.ID)
	l.markWaitersStale(unit.ID)
	l.pruneConstraints(unit.constraints)
}

// indexLost notes at which endpoint a lost unit was, if at any, so that its successor is found.
func (l *Ledger) indexLost(endpoint, id string) {
	if endpoint == "" {
		return
	}
	l.lostByEndpoint[endpoint] = append(l.lostByEndpoint[endpoint], id)
	slices.Sort(l.lostByEndpoint[endpoint])
}

func (l *Ledger) unindexLost(endpoint, id string) {
	ids := slices.DeleteFunc(l.lostByEndpoint[endpoint], func(lostID string) bool { return lostID == id })
	if len(ids) == 0 {
		delete(l.lostByEndpoint, endpoint)
		return
	}
	l.lostByEndpoint[endpoint] = ids
}

// sortedOpenPermits are the open permits in the order of grants.
func (l *Ledger) sortedOpenPermits() []*permitState {
	return slices.SortedFunc(maps.Values(l.openPermits), compareGrantOrder)
}
