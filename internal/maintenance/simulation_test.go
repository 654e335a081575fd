package maintenance

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/placement"
)

// simulation plays controllers, a leader, sidecars and workers on a virtual clock. Times are true Unix ms but where a clock
// is named; clocks and delays are drawn from a seed.
type simulation struct {
	random       *rand.Rand
	nowMS        int64
	queue        eventQueue
	sequence     int
	table        *Table
	revision     uint64
	token        uint64 // that the duty has now
	ledger       *disruption.Ledger
	view         *View // of the newest revision
	registryDown bool  // the registry answers nobody

	leaderClock simulatedClock
	controller  *simulatedController
	sidecars    []*simulatedSidecar
	fleet       Fleet
	serverUp    map[string]bool
	oracle      *oracle

	onDrainStart     []func()                   // faults that wait for a window to be out
	slowWindows      map[string]bool            // windows whose servers came back far later than ever
	slowReturns      bool                       // servers do
	unusedGrantMS    int64                      // that the ledger takes for a grant, at most
	corruptOperation func(*Operation)           // a planted bug: an operation is changed
	corruptDirective func(*placement.Directive) // a planted bug: what sidecars are told is changed
	ignoreTokens     bool                       // a planted bug: tokens are not looked at
	beforeWrite      func(e *Effect)            // sees each write that reaches the log
	writes           int
	ledgerReason     string   // the ledger refused last
	history          []string // applied steps and acts, but for prolongations
}

type simulatedClock struct{ offsetMS, uncertaintyMS int64 }

type simulatedController struct {
	reconciler    *Reconciler
	clock         simulatedClock
	token         uint64
	dead          bool
	frozenUntilMS int64 // until
	nextRunMS     int64 // of the wake that counts
}

type simulatedSidecar struct {
	name        string
	clock       simulatedClock
	partitioned bool
	revision    uint64
	active      map[string]*activeExclusion // by entry's id
}

// activeExclusion is an entry that a sidecar follows.
type activeExclusion struct {
	directive   placement.Directive
	startMS     int64
	endMS       int64 // by itself
	drainedAtMS int64 // when its last request is answered
}

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
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), nowMS: start.UnixMilli(), table: New(), ledger: disruption.NewLedger(),
		fleet: fleet, serverUp: map[string]bool{}, oracle: newOracle(), slowWindows: map[string]bool{}}
	sim.table.LookupPermit = func(id string) (disruption.Stage, bool) {
		permit, found := sim.ledger.Permit(id)
		return permit.Stage, found
	}
	for _, uid := range slices.Sorted(maps.Keys(fleet)) {
		sim.registerServer(uid, true)
	}
	for i := range sidecars {
		sim.sidecars = append(sim.sidecars, &simulatedSidecar{name: fmt.Sprint("s", i), clock: sim.accurateClock(), active: map[string]*activeExclusion{}})
		sim.revision++
		sim.ledger.Register(sim.revision, disruption.Unit{ID: disruption.UnitID(disruption.KindSidecar, fmt.Sprint("s", i)), Kind: disruption.KindSidecar, Condition: disruption.ConditionUp})
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

// startController gives the duty to a new controller.
func (sim *simulation) startController(clock simulatedClock) {
	sim.revision++
	sim.token = sim.revision
	sim.controller = &simulatedController{reconciler: NewReconciler(sim.token), clock: clock, token: sim.token}
	sim.scheduleRun(sim.controller, 0)
}

// killController ends the controller; another takes over once its lease has ended.
func (sim *simulation) killController(failoverMS int64) {
	sim.controller.dead = true
	sim.schedule(failoverMS, func() { sim.startController(sim.accurateClock()) })
}

// freezeController stops the controller, another takes over, and then it goes on.
func (sim *simulation) freezeController(durationMS int64) {
	sim.controller.frozenUntilMS = sim.nowMS + durationMS
	sim.schedule(min(durationMS, 5000), func() { sim.startController(sim.accurateClock()) })
}

func (sim *simulation) scheduleRun(controller *simulatedController, delayMS int64) {
	runAtMS := sim.nowMS + max(delayMS, 1)
	if controller.dead || controller.nextRunMS > sim.nowMS && controller.nextRunMS <= runAtMS {
		return
	}
	controller.nextRunMS = runAtMS
	sim.schedule(runAtMS-sim.nowMS, func() {
		if controller.nextRunMS == runAtMS && !controller.dead {
			sim.runController(controller)
		}
	})
}

func (sim *simulation) runController(controller *simulatedController) {
	if controller.frozenUntilMS > sim.nowMS {
		sim.scheduleRun(controller, controller.frozenUntilMS-sim.nowMS)
		return
	}
	if controller.token != sim.token && controller.frozenUntilMS < sim.nowMS-10_000 {
		return // it has noticed by now
	}
	now := ClockReading{sim.nowMS, sim.nowMS + controller.clock.offsetMS, controller.clock.uncertaintyMS}
	sim.deliverReports(controller, now)
	if sim.view == nil || sim.view.Revision != sim.revision {
		sim.view = ReadView(sim.revision, sim.table, sim.ledger)
	}
	view := sim.view
	effects, nextRunMS := controller.reconciler.Reconcile(now, view)
	for _, effect := range effects {
		sim.sendEffect(controller, effect)
	}
	sim.scheduleRun(controller, nextRunMS-sim.nowMS)
}

// sendEffect carries a write to the leader and its answer back; either may be lost where the registry is down.
func (sim *simulation) sendEffect(controller *simulatedController, effect Effect) {
	timestamp := Timestamp{ControllerMS: sim.nowMS + controller.clock.offsetMS, UncertaintyMS: controller.clock.uncertaintyMS}
	sim.schedule(2+sim.random.Int64N(60), func() {
		if controller.frozenUntilMS > sim.nowMS { // it was stopped with the write in its hands
			sim.schedule(controller.frozenUntilMS-sim.nowMS, func() { sim.receiveEffect(controller, effect, timestamp) })
			return
		}
		sim.receiveEffect(controller, effect, timestamp)
	})
}

func (sim *simulation) receiveEffect(controller *simulatedController, effect Effect, timestamp Timestamp) {
	if sim.registryDown || controller.dead {
		return
	}
	if sim.beforeWrite != nil {
		if sim.beforeWrite(&effect); controller.dead {
			return // killed before it reached the log
		}
	}
	sim.writes++
	outcome := sim.applyEffect(effect, timestamp, controller.token)
	revision, reason := sim.revision, sim.ledgerReason
	sim.schedule(2+sim.random.Int64N(60), func() {
		if !controller.dead {
			controller.reconciler.ObserveResult(ClockReading{sim.nowMS, sim.nowMS + controller.clock.offsetMS, controller.clock.uncertaintyMS}, effect, EffectResult{outcome, reason, revision})
			sim.scheduleRun(controller, 1)
		}
	})
}

// applyEffect is one record at its place in the log.
func (sim *simulation) applyEffect(effect Effect, timestamp Timestamp, token uint64) Outcome {
	if token != 0 && token != sim.token && !sim.ignoreTokens {
		return OutcomeStale // the guard of the state that holds the table
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
	sim.scheduleRun(sim.controller, 50) // a watch tells it
	return OutcomeApplied
}

// applyOperator is an operator's write.
func (sim *simulation) applyOperator(op Operation) Outcome {
	operatorMS := sim.nowMS + sim.leaderClock.offsetMS
	return sim.applyEffect(Effect{Action: &op}, Timestamp{ControllerMS: operatorMS, UncertaintyMS: 250}, 0)
}

// registerServer has the list say whether a server serves; each time that it does is another life.
func (sim *simulation) registerServer(uid string, up bool) {
	unit := disruption.Unit{ID: serverUnitID(uid), Endpoint: uid, Kind: disruption.KindServer, Tenants: sim.fleet[uid], Zone: "z", PodGroup: len(sim.serverUp) % 2, Condition: disruption.ConditionUnready}
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

// publishDirective carries an entry to the sidecars that hear. What is left is said by the replica's clock, as the line is written.
func (sim *simulation) publishDirective(directive placement.Directive) {
	if agreed := sim.oracle.agreed[directive.Tenant]; agreed[len(agreed)-1].withdrawn {
		sim.oracle.violations = append(sim.oracle.violations, directive.Tenant+" is told to keep off after its contract ended")
	}
	for _, sidecar := range sim.sidecars {
		remainingMS := directive.ExpiresAtMS - (sim.nowMS + sim.leaderClock.offsetMS)
		sim.schedule(5+sim.random.Int64N(300), func() {
			if sidecar.partitioned || sim.registryDown && sim.random.IntN(2) == 0 {
				return
			}
			sidecar.revision = max(sidecar.revision, directive.Revision)
			endMS := min(directive.ExpiresAtMS-sidecar.clock.offsetMS, sim.nowMS+min(remainingMS, ExclusionTTLMS))
			if endMS <= sim.nowMS {
				return
			}
			exclusion := sidecar.active[directive.ID]
			if exclusion != nil && exclusion.endMS <= sim.nowMS {
				sim.endExclusion(sidecar, exclusion)
				exclusion = nil
			}
			if exclusion == nil {
				exclusion = &activeExclusion{startMS: sim.nowMS, drainedAtMS: sim.nowMS + 3000 + sim.random.Int64N(40_000)}
				sidecar.active[directive.ID] = exclusion
			}
			exclusion.directive, exclusion.endMS = directive, endMS
		})
	}
}

func (sim *simulation) deleteDirective(id string) {
	for _, sidecar := range sim.sidecars {
		sim.schedule(5+sim.random.Int64N(300), func() {
			if exclusion := sidecar.active[id]; exclusion != nil && !sidecar.partitioned && !sim.registryDown {
				exclusion.endMS = min(exclusion.endMS, sim.nowMS)
				sim.endExclusion(sidecar, exclusion)
			}
		})
	}
}

func (sim *simulation) endExclusion(sidecar *simulatedSidecar, exclusion *activeExclusion) {
	delete(sidecar.active, exclusion.directive.ID)
	sim.oracle.recordExclusion(sim, exclusion.directive.Tenant, exclusion.startMS, exclusion.endMS)
}

func (sim *simulation) deliverReports(controller *simulatedController, now ClockReading) {
	for _, sidecar := range sim.sidecars {
		if sidecar.partitioned || sim.registryDown {
			continue
		}
		report := placement.LoadReport{Sidecar: sidecar.name, PlacementRevision: sidecar.revision, ExcludedInFlight: map[string]int{}}
		for _, id := range slices.Sorted(maps.Keys(sidecar.active)) {
			exclusion := sidecar.active[id]
			if exclusion.endMS <= sim.nowMS {
				sim.endExclusion(sidecar, exclusion)
				continue
			}
			report.ExcludedInFlight[id] = 0
			if exclusion.drainedAtMS > sim.nowMS {
				report.ExcludedInFlight[id] = 1
			}
		}
		controller.reconciler.ObserveReport(now, report)
	}
}

// simulateWork is what the people and servers do that a window is for.
func (sim *simulation) simulateWork(op *Operation) {
	window := sim.table.Window(op.Window)
	if window == nil {
		return
	}
	switch {
	case op.Kind == OpBeginDrain:
		for _, fault := range sim.onDrainStart {
			sim.schedule(sim.random.Int64N(300_000), fault)
		}
		sim.onDrainStart = nil
	case op.Kind == OpCompleteDrain:
		for _, uid := range window.ServerUIDs {
			sim.registerServer(uid, false)
		}
	case window.Stage == StageReturning || window.Stage == StageOverrun && window.OutOfService():
		delayMS := 5000 + sim.random.Int64N(40_000)
		if sim.slowReturns {
			delayMS += 6 * 3600_000
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

// dailyContract is a contract with the same hours each day, and the judge's terms for it.
func dailyContract(tenant, zone, start string, length time.Duration) (contract.Contract, agreedHours) {
	startTime, _ := time.Parse("15:04", start)
	location, err := time.LoadLocation(zone)
	if err != nil {
		panic(err)
	}
	return contract.Contract{Tenant: tenant, Notice: "0s", MinutesPerMonth: 10_000, MinAvailableShare: 0.5, MaxConcurrentWindows: 2, OverrunPolicy: contract.OverrunHaltsTenant,
			Spec: calendar.Spec{Zone: zone, ApprovedHours: []calendar.Rule{{Recurrence: "FREQ=DAILY", Start: start, Length: length.String(), FirstDay: "2020-01-01"}}}},
		agreedHours{location: location, startMinute: startTime.Hour()*60 + startTime.Minute(), lengthMinutes: int(length / time.Minute)}
}

// haltLedger halts the ledger: it grants nothing, and takes back what was granted but not begun.
func (sim *simulation) haltLedger(durationMS int64) {
	op := disruption.Op{Kind: disruption.OpHalt, Owner: "operator/ops", Halt: &disruption.Halt{}}
	sim.revision++
	sim.ledger.Apply(sim.revision, &op)
	sim.schedule(durationMS, func() {
		op.Kind = disruption.OpResume
		sim.revision++
		sim.ledger.Apply(sim.revision, &op)
		sim.scheduleRun(sim.controller, 50)
	})
}

// setContract sets a contract, as an operator does.
func (sim *simulation) setContract(newContract contract.Contract, agreed agreedHours) {
	planner := NewPlanner()
	active := &ActiveContract{Contract: newContract}
	approval := planner.Approval(active, sim.nowMS, 0)
	agreed.effectiveFromMS = sim.nowMS
	sim.oracle.agreed[newContract.Tenant] = append(sim.oracle.agreed[newContract.Tenant], agreed)
	sim.revision++
	sim.ledger.Apply(sim.revision, &disruption.Op{Kind: disruption.OpSetBudget, Budget: ContractBudget(&newContract), Owner: "operator/ops"})
	if outcome := sim.applyOperator(Operation{Kind: OpSetContract, Contract: &newContract, CurrentApproval: approval}); outcome != OutcomeApplied {
		panic(outcome)
	}
}

// violations lets all entries lapse and gives what the judge found.
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
		for _, key := range slices.Sorted(maps.Keys(oracle.usedMS)) {
			var tenant, month string
			fmt.Sscan(key, &tenant, &month)
			if got, want := sim.table.UsedMS(tenant, month), oracle.usedMS[key]; got < want-2000 || got > want+20_000 {
				oracle.violations = append(oracle.violations, fmt.Sprintf("%s: %d ms counted, %d ms used", key, got, want))
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
