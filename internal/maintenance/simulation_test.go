package maintenance

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
)

// simulation runs controllers, a registry leader, sidecars and maintenance work on a virtual clock. Times are
// true Unix ms unless a clock is named. Clock errors and delays are drawn from a seed.
type simulation struct {
	random       *rand.Rand
	nowMS        int64
	queue        eventQueue
	sequence     int
	table        *Table
	revision     uint64
	token        uint64 // of the current lease holder
	ledger       *disruption.Ledger
	view         *View // of the latest revision
	registryDown bool  // no registry replica answers

	leaderClock simulatedClock
	controller  *simulatedController
	sidecars    []*simulatedSidecar
	fleet       Fleet
	serverUp    map[string]bool
	oracle      *oracle

	faultsAtNextDrain []func()                   // faults to inject at the next drain
	slowWindows       map[string]bool            // windows whose servers returned far later than estimated
	slowReturns       bool                       // servers return far later than estimated
	corruptOperation  func(*Operation)           // injected defect: changes an operation before it is applied
	corruptDirective  func(*placement.Directive) // injected defect: changes a directive before it is published
	ignoreTokens      bool                       // injected defect: fencing tokens are not checked
	beforeWrite       func(e *Effect)            // called for each write that reaches the log
	writes            int
	ledgerReason      string   // reason of the ledger's last result
	history           []string // applied operations, except extensions and schedules
}

type simulatedClock struct{ offsetMS, uncertaintyMS int64 }

type scheduledEvent struct {
	dueMS    int64
	sequence int
	action   func()
}
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].dueMS < q[j].dueMS || q[i].dueMS == q[j].dueMS && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func newSimulation(seed uint64, start time.Time, sidecars int, fleet Fleet) *simulation {
	sim := &simulation{
		random:      rand.New(rand.NewPCG(seed, 1)),
		nowMS:       start.UnixMilli(),
		table:       New(),
		ledger:      disruption.NewLedger(),
		fleet:       fleet,
		serverUp:    map[string]bool{},
		oracle:      newOracle(),
		slowWindows: map[string]bool{},
	}
	sim.table.LookupPermit = func(id string) (disruption.Stage, bool) {
		permit, found := sim.ledger.Permit(id)
		return permit.Stage, found
	}
	for _, uid := range slices.Sorted(maps.Keys(fleet)) {
		sim.registerServer(uid, true)
	}
	for i := range sidecars {
		name := fmt.Sprint("s", i)
		sim.sidecars = append(sim.sidecars, &simulatedSidecar{name: name, clock: sim.accurateClock(), active: map[string]*activeExclusion{}})
		sim.revision++
		id := disruption.UnitID(disruption.KindSidecar, name)
		sim.ledger.Register(sim.revision, disruption.Unit{ID: id, Kind: disruption.KindSidecar, Condition: disruption.ConditionUp})
	}
	sim.leaderClock = sim.accurateClock()
	sim.startController(sim.accurateClock())
	return sim
}

func (sim *simulation) accurateClock() simulatedClock {
	return simulatedClock{sim.random.Int64N(400) - 200, 250}
}

func (sim *simulation) schedule(delayMS int64, action func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledEvent{sim.nowMS + delayMS, sim.sequence, action})
}

func (sim *simulation) runUntil(endMS int64) {
	for len(sim.queue) > 0 && sim.queue[0].dueMS < endMS {
		event := heap.Pop(&sim.queue).(scheduledEvent)
		sim.nowMS = event.dueMS
		event.action()
	}
	sim.nowMS = endMS
}

// applyEffect applies a write as one log record.
func (sim *simulation) applyEffect(effect Effect, timestamp Timestamp, token uint64) Outcome {
	if token != 0 && token != sim.token && !sim.ignoreTokens {
		return OutcomeStale // the registry checks the guard before the table
	}
	sim.revision++
	if action, ok := effect.Action.(*LedgerAction); ok {
		return sim.applyLedgerAction(action)
	}
	timestamp.LeaderMS, timestamp.LeaderUncertaintyMS = sim.nowMS+sim.leaderClock.offsetMS, sim.leaderClock.uncertaintyMS
	op := *effect.Action.(*Operation)
	if sim.corruptOperation != nil {
		sim.corruptOperation(&op)
	}
	if sim.ignoreTokens && op.Token != 0 {
		op.Token = max(op.Token, sim.table.token)
	}
	changes, err := sim.table.Apply(sim.revision, &op, timestamp)
	if err != nil {
		return OutcomeOf(err)
	}
	sim.oracle.recordOperation(sim, &op, token)
	if window := sim.table.Window(op.Window); window != nil && op.Kind != OpExtendExclusion && op.Kind != OpSchedule {
		sim.history = append(sim.history, fmt.Sprintf("%s %s/%d", op.Kind, op.Window, window.Attempt))
	}
	for _, directive := range changes.SetDirectives {
		directive.Revision = sim.revision
		if sim.corruptDirective != nil {
			sim.corruptDirective(&directive)
		}
		sim.publishDirective(directive)
	}
	for _, id := range changes.DeleteDirectiveIDs {
		sim.deleteDirective(id)
	}
	sim.simulateWork(&op)
	sim.scheduleRun(sim.controller, 50) // the controller watches the registry
	return OutcomeApplied
}

// registerServer registers a server as up or unready. Each registration as up is a new incarnation.
func (sim *simulation) registerServer(uid string, up bool) {
	unit := disruption.Unit{
		ID:        serverUnitID(uid),
		Endpoint:  uid,
		Kind:      disruption.KindServer,
		Tenants:   sim.fleet[uid],
		Zone:      "z",
		PodGroup:  len(sim.serverUp) % 2,
		Condition: disruption.ConditionUnready,
	}
	if previous, known := sim.ledger.Unit(unit.ID); known {
		unit.BootMS, unit.PodGroup = previous.BootMS, previous.PodGroup
	}
	if up {
		unit.BootMS, unit.Condition = float64(sim.nowMS), disruption.ConditionUp
	}
	sim.serverUp[uid] = up
	sim.revision++
	sim.ledger.Register(sim.revision, unit)
}

func (sim *simulation) applyLedgerAction(action *LedgerAction) Outcome {
	previous, _ := sim.ledger.Permit(action.PermitID)
	op := action.Operation()
	if action.Kind == disruption.OpObserve {
		view := ReadView(sim.revision, sim.table, sim.ledger)
		var conditions []disruption.Condition
		for _, uid := range action.ServerUIDs {
			condition := disruption.ConditionUnready
			if sim.serverUp[view.OutOfService[uid].Endpoint] {
				condition = disruption.ConditionUp
			}
			conditions = append(conditions, condition)
		}
		op = action.ObservationOperation(view, conditions)
	}
	result := sim.ledger.Apply(sim.revision, op)
	sim.ledgerReason = result.Reason
	switch {
	case result.Outcome != disruption.OutcomeApplied && action.Kind == disruption.OpRequest:
		return OutcomeInvalid
	case result.Outcome != disruption.OutcomeApplied:
		return OutcomeBlocked
	}
	if current, _ := sim.ledger.Permit(action.PermitID); current.Stage != previous.Stage {
		sim.history = append(sim.history, string(action.Kind)+" "+action.PermitID)
	}
	return OutcomeApplied
}

// simulateWork simulates the reaction of operators and servers to an operation: servers stop for the work, and
// start again on the return.
func (sim *simulation) simulateWork(op *Operation) {
	window := sim.table.Window(op.Window)
	if window == nil {
		return
	}
	switch {
	case op.Kind == OpBeginDrain:
		for _, fault := range sim.faultsAtNextDrain {
			sim.schedule(sim.random.Int64N(300_000), fault)
		}
		sim.faultsAtNextDrain = nil
	case op.Kind == OpCompleteDrain:
		for _, uid := range window.ServerUIDs {
			sim.registerServer(uid, false)
		}
	case window.Stage == StageReturning || window.Stage == StageOverrun && window.OutOfService():
		delayMS := 5000 + sim.random.Int64N(40_000)
		if sim.slowReturns {
			delayMS += 6 * hourMS
			sim.slowWindows[op.Window] = true
		}
		if op.Kind != OpExtendExclusion {
			sim.schedule(delayMS, func() {
				for _, uid := range window.ServerUIDs {
					if !sim.serverUp[uid] {
						sim.registerServer(uid, true)
					}
				}
				sim.scheduleRun(sim.controller, 50)
			})
		}
	}
}

// violations waits until all exclusions have expired and returns the violations that the oracle found.
func (sim *simulation) violations() []string {
	sim.runUntil(sim.nowMS + 2*ExclusionTTLMS)
	for _, sidecar := range sim.sidecars {
		for _, id := range slices.Sorted(maps.Keys(sidecar.active)) {
			sim.endExclusion(sidecar, sidecar.active[id])
		}
	}
	oracle := sim.oracle
	if oracle.outsideMS > 0 {
		oracle.violations = append(oracle.violations, fmt.Sprintf("%d ms outside the hours: %s", oracle.outsideMS, oracle.firstViolation))
	}
	if !oracle.clocksFaulty {
		for _, key := range slices.SortedFunc(maps.Keys(oracle.usedMS), tenantMonth.compare) {
			if got, want := sim.table.UsedMS(key.tenant, key.month), oracle.usedMS[key]; got < want-2000 || got > want+20_000 {
				oracle.violations = append(oracle.violations, fmt.Sprintf("%s %s: %d ms counted, %d ms used", key.tenant, key.month, got, want))
			}
		}
	}
	seen := map[string]bool{}
	for _, line := range sim.history {
		if seen[line] {
			oracle.violations = append(oracle.violations, "done twice: "+line)
		}
		seen[line] = true
	}
	return oracle.violations
}
