package disruption

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/validation"
)

// Guards against sums, indexes or restored ledgers that violate the rules: after any sequence of steps the ledger, its copy
// restored from a snapshot and the reference model agree.
func TestLedgerMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, err := newFleetHarness()
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if err := h.randomStep(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a reference model that detects nothing: the comparison with the model has to detect each fault that is
// injected into the ledger.
func TestReferenceModelDetectsInjectedFaults(t *testing.T) {
	forceGrant := func(l *Ledger, eligible func(permit *permitState) bool) {
		for _, permit := range l.sortedOpenPermits() {
			if permit.pending != nil && permit.pending.unknownUnit == "" && permit.pending.blockedReason == "" && eligible(permit) {
				l.grant(permit)
				l.processQueue()
				return
			}
		}
	}
	faults := map[string]func(l *Ledger, lostUnit string){
		"a grant that checks the first budget alone": func(l *Ledger, _ string) {
			forceGrant(l, func(permit *permitState) bool {
				for _, d := range permit.pending.demands {
					if d.constraint.budget != nil {
						result := evaluateDemand(&permitState{Permit: permit.Permit}, &d)
						return result.verdict == admissible && l.haltReason(permit) == ""
					}
				}
				return false
			})
		},
		"a permit that ends with a lease": func(l *Ledger, lostUnit string) {
			if unit := l.units[lostUnit]; unit != nil && unit.permit != nil {
				l.endUnits(unit.permit, []string{lostUnit}, StageCompleted)
				l.processQueue()
			}
		},
		"a lost unit that is not counted": func(l *Ledger, lostUnit string) {
			if unit := l.units[lostUnit]; unit != nil && unit.permit == nil {
				l.removeUnit(unit)
				l.processQueue()
			}
		},
		"a permit that blocks nobody": func(l *Ledger, _ string) {
			forceGrant(l, func(permit *permitState) bool {
				blocking := map[*permitState]bool{}
				for _, waiter := range l.openPermits {
					if waiter != permit && waiter.pending != nil {
						blocking[waiter] = waiter.pending.blocksLater
						waiter.pending.blocksLater = false
					}
				}
				result := l.evaluate(permit)
				for waiter, blocksLater := range blocking {
					waiter.pending.blocksLater = blocksLater
				}
				return result.verdict == admissible
			})
		},
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			err := runSeeds(300, injectFault)
			if err == nil {
				t.Fatal("the fault is not detected")
			}
			t.Log(err)
		})
	}
	if err := runSeeds(20, nil); err != nil {
		t.Fatal(err)
	}
}

// A large permit is granted eventually although small admissible permits are requested continually: the large permit
// blocks them.
func TestLargePermitIsNotStarved(t *testing.T) {
	l, revision := NewLedger(), uint64(0)
	apply := func(op Op) {
		t.Helper()
		revision++
		if result := l.Apply(revision, &op); result.Outcome != OutcomeApplied {
			t.Fatalf("%s: %s %s", op.Kind, result.Outcome, result.Reason)
		}
	}
	for i := range 9 {
		revision++
		l.Register(revision, Unit{ID: fmt.Sprint("sidecar/", i), Kind: KindSidecar, Zone: fmt.Sprint(i % 3), Condition: ConditionUp})
	}
	apply(Op{Kind: OpSetBudget, Owner: "operator/o", Budget: &Budget{Name: "all", MaxUnavailable: Limit{Fraction: floatPointer(0.34)}}})
	request := func(id string, priority Priority, units ...string) Op {
		return Op{Kind: OpRequest, Owner: "operator/o", Permit: &Permit{ID: id, Owner: "operator/o", Units: units, Priority: priority, Disposition: DispositionReturn}}
	}
	apply(request("s0", PriorityRollout, "sidecar/0"))
	apply(request("large", PriorityRollout, "sidecar/1", "sidecar/2", "sidecar/3"))
	for i := 4; i < 9; i++ {
		apply(request(fmt.Sprint("s", i), PriorityRollout, fmt.Sprint("sidecar/", i)))
	}
	apply(request("first", PriorityDeadline, "sidecar/8")) // a permit of a better priority is not blocked
	stage := func(id string) Stage { p, _ := l.Permit(id); return p.Stage }
	if stage("first") != StageGranted || stage("s4") != StageRequested || stage("large") != StageRequested {
		t.Fatalf("first %s, s4 %s, large %s: %+v", stage("first"), stage("s4"), stage("large"), l.OpenPermits())
	}
	for _, id := range []string{"s0", "first"} {
		apply(Op{Kind: OpCancel, Owner: "operator/o", Permit: &Permit{ID: id}})
	}
	if stage("large") != StageGranted || stage("s4") != StageRequested {
		t.Fatalf("large %s, s4 %s", stage("large"), stage("s4"))
	}
	apply(Op{Kind: OpCancel, Owner: "operator/o", Permit: &Permit{ID: "large"}})
	if stage("s4") != StageGranted || stage("s6") != StageGranted || stage("s7") != StageRequested {
		t.Fatalf("s4 %s, s6 %s, s7 %s", stage("s4"), stage("s6"), stage("s7"))
	}
}

// If any budget exists, a server of a new incarnation is warming up until an observation reports it up. A warmed-up server
// that was lost and registers again in the same incarnation is up at once.
func TestNewServersWarmUp(t *testing.T) {
	l := NewLedger()
	unit := Unit{ID: "server/a", Kind: KindServer, BootMS: 5, Condition: ConditionUp, Endpoint: "127.0.0.1:1"}
	requireCondition := func(id string, want Condition) {
		t.Helper()
		if got, _ := l.Unit(id); got.Condition != want {
			t.Fatalf("%s is %q, want %q", id, got.Condition, want)
		}
	}
	l.Register(1, unit)
	requireCondition(unit.ID, ConditionUp) // no budget
	l.Apply(2, &Op{Kind: OpSetBudget, Owner: "operator/o", Budget: &Budget{Name: "b", MaxUnavailable: Limit{Count: intPointer(1)}}})
	unit.BootMS = 6
	l.Register(3, unit)
	requireCondition(unit.ID, ConditionWarmingUp)
	observe := func(revision uint64, observed Unit) {
		l.Apply(revision, &Op{Kind: OpObserve, Observed: []Unit{observed}})
	}
	observe(4, Unit{ID: unit.ID, Condition: ConditionUp, TransitionRevision: 1})
	requireCondition(unit.ID, ConditionWarmingUp) // the observation is of an earlier incarnation
	observe(5, Unit{ID: unit.ID, Condition: ConditionUp, TransitionRevision: 3})
	requireCondition(unit.ID, ConditionUp)
	l.MarkLost(6, unit.ID)
	observe(7, Unit{ID: unit.ID, Condition: ConditionUp})
	requireCondition(unit.ID, ConditionLost) // an observation does not override the registry's list
	l.Register(8, unit)
	requireCondition(unit.ID, ConditionUp)
	l.MarkUnknown(9, unit.ID)
	requireCondition(unit.ID, ConditionUnknown)
	l.Register(10, unit)
	requireCondition(unit.ID, ConditionUp)
	l.MarkLost(11, unit.ID)
	l.Register(12, Unit{ID: "server/z", Kind: KindServer, Condition: ConditionUp, Endpoint: unit.Endpoint})
	requireCondition("server/z", ConditionUp)
	requireCondition(unit.ID, "") // replaced
}

// Guards against a permit that stays open because its unit does not return: a server that registers at the endpoint of a
// lost unit under a permit completes the unit once the server is up.
func TestSuccessorAtSameEndpointCompletesPermit(t *testing.T) {
	l, op := NewLedger(), Op{Owner: "operator/o", Permit: &Permit{ID: "p", Owner: "operator/o", Units: []string{"server/a"}, Disposition: DispositionReturn}}
	apply := func(revision uint64, kind OpKind, want Outcome) {
		t.Helper()
		op.Kind = kind
		if got := l.Apply(revision, &op); got.Outcome != want {
			t.Fatalf("%s: %s %s", kind, got.Outcome, got.Reason)
		}
	}
	for i, id := range []string{"server/a", "server/b"} {
		l.Register(uint64(1+i), Unit{ID: id, Kind: KindServer, Endpoint: id, Condition: ConditionUp})
	}
	apply(3, OpRequest, OutcomeApplied)
	apply(4, OpComplete, OutcomeRejected) // the permit has not begun
	apply(5, OpBegin, OutcomeApplied)
	apply(6, OpComplete, OutcomeRejected) // no transition since the permit's begin
	l.Deregister(7, "server/a")
	apply(8, OpComplete, OutcomeRejected)
	successor := Unit{ID: "server/a2", Kind: KindServer, Endpoint: "server/a", Condition: ConditionDraining}
	l.Register(9, successor)
	apply(10, OpComplete, OutcomeRejected)
	successor.Condition = ConditionUp
	l.Register(11, successor)
	apply(12, OpComplete, OutcomeApplied)
	if unit, _ := l.Unit("server/a2"); unit.Predecessor != "server/a" || len(l.Units()) != 2 {
		t.Fatalf("units are %+v", l.Units())
	}
}

// Measures a permit from its request to its end, with 100 and with 10,000 units. The cost of Apply must not grow with
// the number of units.
func BenchmarkApply(b *testing.B) {
	for _, units := range []int{100, 10_000} {
		b.Run(fmt.Sprint(units), func(b *testing.B) {
			l, revision := NewLedger(), uint64(0)
			apply := func(op Op) {
				revision++
				if result := l.Apply(revision, &op); result.Outcome != OutcomeApplied {
					b.Fatalf("%s: %s %s", op.Kind, result.Outcome, result.Reason)
				}
			}
			for i := range units {
				revision++
				l.Register(revision, Unit{ID: fmt.Sprint("server/", i), Kind: KindServer, Zone: fmt.Sprint(i % 3), PodGroup: i % (units / 4), Condition: ConditionUp})
			}
			for i := range 16 {
				apply(Op{Kind: OpSetBudget, Owner: "operator/o", Budget: &Budget{Name: fmt.Sprint(i), MaxUnavailable: Limit{Count: intPointer(3)}}})
			}
			for i := range 20 { // pending permits
				id := fmt.Sprint("server/", i)
				apply(Op{Kind: OpRequest, Owner: "r", Permit: &Permit{ID: fmt.Sprint("w", i), Owner: "r", Units: []string{id}, Priority: PriorityRollout, Disposition: DispositionReturn}})
			}
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("server/", 30+i%60)
				permit := &Permit{ID: fmt.Sprint("p", i), Owner: "r", Units: []string{id}, Disposition: DispositionReturn, Priority: PriorityRollout}
				apply(Op{Kind: OpRequest, Owner: "r", Permit: permit})
				revision++
				l.MarkLost(revision, id)
				revision++
				l.Register(revision, Unit{ID: id, Kind: KindServer, Zone: "0", PodGroup: 1, Condition: ConditionUp})
				apply(Op{Kind: OpCancel, Owner: "r", Permit: permit})
			}
		})
	}
}

// Guards against decisions that violate the rules after few operations: the ledger and the model agree after every sequence
// of up to four steps. Each step is one of sixteen operations on three units, two budgets and two permits that share a
// unit. A state that differs from an earlier state only in the values of its revisions is not explored further.
func TestExhaustiveShortSequences(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a few seconds")
	}
	const depth = 4
	unit := func(name string) Unit {
		return Unit{ID: "server/" + name, Kind: KindServer, Zone: "1", PodGroup: 1, Condition: ConditionUp}
	}
	start := newHarness()
	for _, name := range []string{"a", "b", "c"} {
		if err := start.observe(func(l *Ledger) { l.Register(start.model.revision, unit(name)) }, "server/"+name, "", nil); err != nil {
			t.Fatal(err)
		}
	}
	two, one := intPointer(2), intPointer(1)
	for _, budget := range []Budget{{Name: "all", MaxUnavailable: Limit{Count: two}}, {Name: "ac", Selector: Selector{IDs: []string{"server/a", "server/c"}}, MaxUnavailable: Limit{Count: one}}} {
		if err := start.apply(&Op{Kind: OpSetBudget, Owner: "operator/o", Budget: &budget}); err != nil {
			t.Fatal(err)
		}
	}
	type testStep func(h *harness) error
	applyOp := func(operation Op) testStep { return func(h *harness) error { return h.apply(&operation) } }
	var testSteps []testStep
	for i, units := range [][]string{{"server/a", "server/b"}, {"server/b", "server/c"}} {
		id, owner := fmt.Sprint("p", i), fmt.Sprint("release/", i)
		permit := &Permit{ID: id, Owner: owner, Units: units, Priority: PriorityRollout, Disposition: []Disposition{DispositionReturn, DispositionRetire}[i]}
		testSteps = append(testSteps,
			applyOp(Op{Kind: OpRequest, Owner: owner, Permit: permit}), applyOp(Op{Kind: OpBegin, Owner: owner, Permit: permit}),
			applyOp(Op{Kind: OpComplete, Owner: owner, Permit: permit}), applyOp(Op{Kind: OpCancel, Owner: owner, Permit: permit}))
	}
	for _, name := range []string{"a", "b", "c"} {
		unit := unit(name)
		testSteps = append(testSteps, func(h *harness) error { return h.markLost(unit.ID) },
			func(h *harness) error {
				return h.observe(func(l *Ledger) { l.Register(h.model.revision, unit) }, unit.ID, "", nil)
			})
	}
	testSteps = append(testSteps,
		applyOp(Op{Kind: OpHalt, Owner: "operator/o", Halt: &Halt{Reason: "test"}}),
		applyOp(Op{Kind: OpResume, Owner: "operator/o", Halt: &Halt{}}))
	visited, level, stepCount := map[string]bool{}, []*harness{start}, 0
	for range depth {
		var next []*harness
		for _, h := range level {
			for _, runStep := range testSteps {
				branch := h.branch(t)
				if err := runStep(branch); err != nil {
					t.Fatal(err)
				}
				stepCount++
				if key := normalizeRevisions(branch.ledger.Snapshot()); !visited[key] {
					visited[key] = true
					next = append(next, branch)
				}
			}
		}
		level = next
	}
	t.Logf("%d steps, %d states", stepCount, len(visited))
}

// branch returns a harness in the same state, without a restored copy.
func (h *harness) branch(t *testing.T) *harness {
	t.Helper()
	data, err := json.Marshal(h.ledger.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		t.Fatal(err)
	}
	ledger, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{ledger: ledger, model: h.model.clone()}
}

// normalizeRevisions returns the JSON form of a snapshot whose revisions are replaced by their ranks.
func normalizeRevisions(snapshot Snapshot) string {
	var revisions []*uint64
	snapshot.Units, snapshot.Halts = slices.Clone(snapshot.Units), slices.Clone(snapshot.Halts)
	for i := range snapshot.Units {
		revisions = append(revisions, &snapshot.Units[i].TransitionRevision, &snapshot.Units[i].ObservedRevision)
	}
	for i, permit := range snapshot.Permits {
		snapshot.Permits[i] = clonePermit(permit)
		permit = snapshot.Permits[i]
		permit.WaitReason = ""
		revisions = append(revisions, &permit.RequestRevision, &permit.GrantRevision, &permit.BeginRevision, &permit.ReturnRevision)
	}
	for i := range snapshot.Halts {
		snapshot.Halts[i].Revision = 0
	}
	snapshot.Revision = 0
	var order []uint64
	for _, revision := range revisions {
		order = append(order, *revision)
	}
	slices.Sort(order)
	order = slices.Compact(order)
	for _, revision := range revisions {
		position, _ := slices.BinarySearch(order, *revision)
		*revision = uint64(position)
	}
	return asJSON(snapshot)
}

// The error of Validate names the invalid field.
func TestOpValidate(t *testing.T) {
	valid := Permit{ID: "p", Owner: "release/r", Units: []string{"server/a"}, Disposition: DispositionReturn}
	for field, op := range map[string]Op{
		"kind":                 {Kind: "x"},
		"permit":               {Kind: OpRequest},
		"permit.id":            {Kind: OpBegin, Owner: "release/r", Permit: &Permit{}},
		"owner":                {Kind: OpRequest, Owner: "release/x", Permit: &valid},
		"budget":               {Kind: OpSetBudget},
		"units":                {Kind: OpRemoveLost, Owner: "operator/o"},
		"halt":                 {Kind: OpHalt},
		"seen":                 {Kind: OpObserve},
		"permit.units":         {Kind: OpRequest, Owner: "release/r", Permit: &Permit{ID: "p", Owner: "release/r", Disposition: DispositionRetire, Units: []string{"a", "a"}}},
		"permit.alone":         {Kind: OpRequest, Owner: "release/r", Permit: &Permit{ID: "p", Owner: "release/r", Disposition: DispositionRetire, Units: []string{"a"}, WithoutSubstitute: true}},
		"permit.instead":       {Kind: OpRequest, Owner: "release/r", Permit: &Permit{ID: "p", Owner: "release/r", Disposition: DispositionRetire, Units: []string{"a"}, Substitutes: map[string]string{"a": "a"}}},
		"budget.max_out.share": {Kind: OpSetBudget, Owner: "operator/o", Budget: &Budget{Name: "b", MaxUnavailable: Limit{Fraction: floatPointer(2)}}},
	} {
		t.Run(field, func(t *testing.T) {
			var invalid *validation.Error
			if err := op.Validate(); !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("Validate returned %v", err)
			}
		})
	}
}
