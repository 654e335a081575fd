package disruption

import (
	"maps"
	"slices"
)

// Ledger is the state that is replicated through the registry's log: units, budgets, permits, and the halts that defer
// grants, with the sums and indexes derived from them. It is not safe for concurrent use.
type Ledger struct {
	revision uint64 // log revision of the last change

	units          map[string]*unitState
	lostByEndpoint map[string][]string // sorted IDs of lost servers
	lostCount      int
	unknownCount   int

	constraints       map[string]*constraint // budgets and built-in rules, by key
	budgetConstraints map[string]*constraint // the budgets among constraints, by budget name

	openPermits    map[string]*permitState
	closedPermits  map[string]*Permit
	closedOrder    []string       // IDs of closed permits, oldest first
	substituteUses map[string]int // by unit: number of granted permits that name it as a substitute

	halts                      []Halt // sorted by scope and issuer
	freezeReason               string // "": not frozen
	uncertainWhenLastProcessed bool   // whether the state of the fleet was uncertain when the queue was last processed

	queue         grantQueue                         // permits to evaluate
	waitersByUnit map[string]map[string]*permitState // pending permits, by ID of a named unit or substitute, then by permit ID
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

// addUnit adds a unit that the ledger does not hold yet.
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

// updateUnit changes a unit and updates the sums and indexes.
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

// removeUnit removes a unit that is not under a permit.
func (l *Ledger) removeUnit(unit *unitState) {
	l.countUnit(unit, -1)
	if unit.Condition == ConditionLost {
		l.unindexLost(unit.Endpoint, unit.ID)
	}
	delete(l.units, unit.ID)
	l.markWaitersStale(unit.ID)
	l.pruneConstraints(unit.constraints)
}

// indexLost records the endpoint of a lost unit, if it has one, so that a server that registers there replaces the unit.
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

// sortedOpenPermits returns the open permits in the order of grants.
func (l *Ledger) sortedOpenPermits() []*permitState {
	return slices.SortedFunc(maps.Values(l.openPermits), compareGrantOrder)
}
