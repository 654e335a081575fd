package disruption

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milldeck/internal/validation"
)

func intPointer(value int) *int           { return &value }
func floatPointer(value float64) *float64 { return &value }

// harness is a ledger beside the model, and beside a copy that is saved and loaded now and then.
type harness struct {
	ledger, restored *Ledger // again is nil where it is no matter
	model            *model
	injectFault      func(ledger *Ledger, lost string) // a fault put in after each operation; nil: none
}

func newHarness() *harness {
	return &harness{ledger: NewLedger(), restored: NewLedger(), model: newModel()}
}

// newFleetHarness is a world in which all units are up.
func newFleetHarness() (*harness, error) {
	h := newHarness()
	for _, unit := range testUnits {
		unit.Condition = ConditionUp
		if err := h.observe(func(l *Ledger) { l.Register(h.model.revision, unit) }, unit.ID, "", nil); err != nil {
			return h, err
		}
	}
	return h, nil
}

// step does one thing to all three and says where they differ.
func (h *harness) step(act func(l *Ledger) Outcome, expected func(model *model) Outcome, lostUnit string) error {
	h.model.revision++
	before := slices.Clone(h.ledger.OpenPermits())
	outcome := act(h.ledger)
	if h.restored != nil {
		act(h.restored)
	}
	if h.injectFault != nil {
		h.injectFault(h.ledger, lostUnit)
		h.injectFault(h.restored, lostUnit)
	}
	if expected := expected(h.model); outcome != expected {
		return fmt.Errorf("outcome %s, not %s", outcome, expected)
	}
	h.model.grantAdmissible()
	if err := h.model.compare(h.ledger); err != nil {
		return err
	}
	if h.restored != nil {
		if original, restored := asJSON(h.ledger.Snapshot()), asJSON(h.restored.Snapshot()); original != restored {
			return fmt.Errorf("loaded, it goes another way:\n%s\n%s", original, restored)
		}
	}
	return h.checkNewGrants(before)
}

// checkNewGrants holds each new grant against all budgets: what is out for whatever reason is within them.
func (h *harness) checkNewGrants(before []Permit) error {
	previousStages := map[string]Stage{}
	for _, permit := range before {
		previousStages[permit.ID] = permit.Stage
	}
	for _, permit := range h.ledger.OpenPermits() {
		if permit.Stage != StageGranted || previousStages[permit.ID] == StageGranted {
			continue
		}
		for name, budget := range h.model.budgets {
			selected := h.model.unitsWhere(func(unit *Unit) bool { return budget.Selector.Matches(unit) })
			takesServing := slices.ContainsFunc(selected, func(unit Unit) bool { return unit.Condition == ConditionUp && slices.Contains(permit.Units, unit.ID) })
			if limit, bounded := budget.MaxUnavailable.unitLimit(len(selected)); takesServing && bounded && h.model.countUnavailable(selected) > limit {
				return fmt.Errorf("permit %s granted with %d out of %s, which allows %d", permit.ID, h.model.countUnavailable(selected), name, limit)
			}
		}
	}
	return nil
}

func (h *harness) apply(op *Op) error {
	return h.step(func(l *Ledger) Outcome { outcome, _ := l.Apply(h.model.revision, op); return outcome }, func(model *model) Outcome { return model.apply(op) }, "")
}

// observe has the world know what became of a unit. Condition and warmth after a registration are the ledger's to tell;
// the model takes them over, as TestNewServersWarmUp is about them.
func (h *harness) observe(act func(l *Ledger), id, lostUnit string, updateModel func(model *model)) error {
	return h.step(func(l *Ledger) Outcome { act(l); return OutcomeApplied }, func(model *model) Outcome {
		if updateModel != nil {
			updateModel(model)
		} else if unit, known := h.ledger.Unit(id); known {
			model.units[id] = unit
		}
		return OutcomeApplied
	}, lostUnit)
}

func (h *harness) restoreCopy() error {
	data, err := json.Marshal(h.ledger.Snapshot())
	if err != nil {
		return err
	}
	var snapshot Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	h.restored, err = Restore(snapshot)
	return err
}

func (m *model) setCondition(id string, condition Condition) {
	if unit, known := m.units[id]; known && unit.Condition != ConditionLost && unit.Condition != condition {
		unit.Condition, unit.TransitionRevision, unit.ObservedRevision = condition, m.revision, m.revision
		m.units[id] = unit
	}
}

func (h *harness) markLost(id string) error {
	return h.observe(func(l *Ledger) { l.MarkLost(h.model.revision, id) }, id, id, func(model *model) { model.setCondition(id, ConditionLost) })
}

func (h *harness) deregister(id string) error {
	return h.observe(func(l *Ledger) { l.Deregister(h.model.revision, id) }, id, "", func(model *model) {
		if model.permitOf(id) != nil {
			model.setCondition(id, ConditionLost)
		} else {
			delete(model.units, id)
		}
	})
}

var testUnits = []Unit{
	{ID: "server/a", Kind: KindServer, Zone: "1", PodGroup: 1}, {ID: "server/b", Kind: KindServer, Zone: "1", PodGroup: 1},
	{ID: "server/c", Kind: KindServer, Zone: "1", PodGroup: 2}, {ID: "server/d", Kind: KindServer, Zone: "2", PodGroup: 2, Capacity: 2},
	{ID: "server/e", Kind: KindServer, Zone: "2", PodGroup: 3}, {ID: "server/f", Kind: KindServer, Zone: "2", PodGroup: 4},
	{ID: "sidecar/x", Kind: KindSidecar, Zone: "1"}, {ID: "sidecar/y", Kind: KindSidecar, Zone: "2"},
}

// randomStep does one drawn thing.
func (h *harness) randomStep(draw func(unitID int) int) error {
	unit := testUnits[draw(len(testUnits))]
	owner := []string{"release/r", "window/w", "operator/o"}[draw(3)]
	id := fmt.Sprint("p", draw(6))
	if permit, known := h.ledger.Permit(id); known && draw(8) > 0 {
		owner = permit.Owner
	}
	op := &Op{Owner: owner, Permit: &Permit{ID: id}}
	switch draw(22) {
	case 0, 1:
		unit.Condition = []Condition{ConditionUp, ConditionUp, ConditionDraining}[draw(3)]
		unit.BootMS = float64(draw(2))
		return h.observe(func(l *Ledger) { l.Register(h.model.revision, unit) }, unit.ID, "", nil)
	case 2:
		return h.markLost(unit.ID)
	case 3:
		return h.deregister(unit.ID)
	case 4:
		return h.observe(func(l *Ledger) { l.MarkUnknown(h.model.revision, unit.ID) }, unit.ID, "", func(model *model) { model.setCondition(unit.ID, ConditionUnknown) })
	case 5, 6, 7:
		unit.Condition = []Condition{ConditionUp, ConditionUp, ConditionUp, ConditionWarmingUp, ConditionUnready}[draw(5)]
		op.Kind, op.Observed = OpObserve, []Unit{unit}
		return h.observe(func(l *Ledger) { l.Apply(h.model.revision, op) }, unit.ID, "", nil)
	case 8, 9, 10, 11:
		op.Kind = OpRequest
		op.Permit = &Permit{ID: id, Owner: owner, Priority: Priority(draw(4)), Disposition: []Disposition{DispositionReturn, DispositionReplace, DispositionRetire}[draw(3)]}
		for range 1 + draw(3) {
			if unitID := testUnits[draw(len(testUnits))].ID; !slices.Contains(op.Permit.Units, unitID) {
				op.Permit.Units = append(op.Permit.Units, unitID)
			}
		}
		if substitute := testUnits[draw(len(testUnits))].ID; draw(3) == 0 && !slices.Contains(op.Permit.Units, substitute) {
			op.Permit.Substitutes = map[string]string{op.Permit.Units[0]: substitute}
		}
		op.Permit.WithoutSubstitute = IsOperator(owner) && draw(2) == 0
	case 12, 13:
		op.Kind = OpBegin
	case 14:
		op.Kind = OpReturn
	case 15, 16:
		op.Kind = OpComplete
		if permit, known := h.ledger.Permit(id); known {
			op.Successors = map[string]string{permit.Units[0]: unit.ID}
			if draw(2) == 0 {
				op.Units = permit.Units[:1]
			}
		}
	case 17:
		op.Kind = OpCancel
	case 18:
		op.Kind = []OpKind{OpHalt, OpResume, OpResume}[draw(3)]
		op.Halt = &Halt{Scope: []string{"", "budget/a", "release/r"}[draw(3)]}
	case 19:
		op.Kind, op.Owner, op.Delete = OpSetBudget, "operator/o", draw(3) == 0
		op.Budget = &[]Budget{
			{Name: "a", MaxUnavailable: Limit{Count: intPointer(2)}}, {Name: "b", Selector: Selector{Zone: "1"}, MaxUnavailable: Limit{Fraction: floatPointer(0.5)}},
			{Name: "c", Selector: Selector{Kind: KindServer}, MaxWarmingUp: Limit{Fraction: floatPointer(0.4)}},
			{Name: "b", Selector: Selector{PodGroup: intPointer(1)}, MaxUnavailable: Limit{Count: intPointer(1)}},
		}[draw(4)]
	case 20:
		op.Kind, op.Owner = []OpKind{OpForget, OpForceComplete}[draw(2)], "operator/o"
		op.Units = []string{unit.ID}
	default:
		if draw(2) == 0 {
			return h.observe(func(l *Ledger) { l.Unfreeze(h.model.revision) }, "", "", func(model *model) { model.frozen = false })
		}
		if draw(4) == 0 {
			return h.observe(func(l *Ledger) { l.Freeze(h.model.revision, "test") }, "", "", func(model *model) { model.frozen = true })
		}
		return h.restoreCopy()
	}
	return h.apply(op)
}

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

// runSeeds plays seeded days of a world with a fault put in; it gives the first difference.
func runSeeds(seeds int, injectFault func(*Ledger, string)) error {
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		h, err := newFleetHarness()
		if err != nil {
			return err
		}
		h.injectFault = injectFault
		for step := range 120 {
			if err := h.randomStep(rng.IntN); err != nil {
				return fmt.Errorf("seed %d, step %d: %w", seed, step, err)
			}
		}
	}
	return nil
}

func TestReferenceModelDetectsInjectedFaults(t *testing.T) {
	force := func(t *Ledger, eligible func(permit *permitState) bool) {
		for _, permit := range t.sortedOpenPermits() {
			if permit.pending != nil && permit.pending.unknownUnit == "" && permit.pending.blockedReason == "" && eligible(permit) {
				t.grant(permit)
				t.processQueue()
				return
			}
		}
	}
	faults := map[string]func(t *Ledger, lostUnit string){
		"a grant that looks at the first budget alone": func(t *Ledger, _ string) {
			force(t, func(permit *permitState) bool {
				for _, d := range permit.pending.demands {
					if d.constraint.budget != nil {
						result, _ := t.evaluateDemand(&permitState{Permit: permit.Permit}, &d)
						return result == admissible && t.haltReason(permit) == ""
					}
				}
				return false
			})
		},
		"a permit that ends with a lease": func(t *Ledger, lostUnit string) {
			if unit := t.units[lostUnit]; unit != nil && unit.permit != nil {
				t.endUnits(unit.permit, []string{lostUnit}, StageCompleted)
				t.processQueue()
			}
		},
		"a lost unit that is not counted": func(t *Ledger, lostUnit string) {
			if unit := t.units[lostUnit]; unit != nil && unit.permit == nil {
				t.removeUnit(unit)
				t.processQueue()
			}
		},
		"no head of line": func(t *Ledger, _ string) {
			force(t, func(permit *permitState) bool {
				for _, waiter := range t.openPermits {
					if waiter != permit && waiter.pending != nil {
						defer func(waiter *permitState, blocksLater bool) { waiter.pending.blocksLater = blocksLater }(waiter, waiter.pending.blocksLater)
						waiter.pending.blocksLater = false
					}
				}
				result, _ := t.evaluate(permit)
				return result == admissible
			})
		},
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			err := runSeeds(300, injectFault)
			if err == nil {
				t.Fatal("not found")
			}
			t.Log(err)
		})
	}
	if err := runSeeds(20, nil); err != nil {
		t.Fatal(err)
	}
}

// A large request is granted in the end though small ones that would fit come all the time: they wait behind it.
func TestLargePermitIsNotStarved(t *testing.T) {
	l, revision := NewLedger(), uint64(0)
	apply := func(op Op) {
		t.Helper()
		revision++
		if outcome, reason := l.Apply(revision, &op); outcome != OutcomeApplied {
			t.Fatalf("%s: %s %s", op.Kind, outcome, reason)
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
	apply(request("first", PriorityDeadline, "sidecar/8")) // a better rank need not wait
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

// What is new is cold until it was found up, where there is a budget at all; what only was away for a while is not.
func TestNewServersWarmUp(t *testing.T) {
	l := NewLedger()
	unit := Unit{ID: "server/a", Kind: KindServer, BootMS: 5, Condition: ConditionUp, Endpoint: "127.0.0.1:1"}
	requireCondition := func(id string, want Condition) {
		t.Helper()
		if got, _ := l.Unit(id); got.Condition != want {
			t.Fatalf("%s is %q, not %q", id, got.Condition, want)
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
	requireCondition(unit.ID, ConditionWarmingUp) // found of an earlier life
	observe(5, Unit{ID: unit.ID, Condition: ConditionUp, TransitionRevision: 3})
	requireCondition(unit.ID, ConditionUp)
	l.MarkLost(6, unit.ID)
	observe(7, Unit{ID: unit.ID, Condition: ConditionUp})
	requireCondition(unit.ID, ConditionLost) // the list knows better
	l.Register(8, unit)
	requireCondition(unit.ID, ConditionUp)
	l.MarkUnknown(9, unit.ID)
	requireCondition(unit.ID, ConditionUnknown)
	l.Register(10, unit)
	requireCondition(unit.ID, ConditionUp)
	l.MarkLost(11, unit.ID)
	l.Register(12, Unit{ID: "server/z", Kind: KindServer, Condition: ConditionUp, Endpoint: unit.Endpoint})
	requireCondition("server/z", ConditionUp)
	requireCondition(unit.ID, "") // its place is taken
}

// Who registers at the endpoint of a unit that is lost under a permit ends it, once it is up; until then nothing does.
func TestSuccessorAtSameEndpointCompletesPermit(t *testing.T) {
	l, op := NewLedger(), Op{Owner: "operator/o", Permit: &Permit{ID: "p", Owner: "operator/o", Units: []string{"server/a"}, Disposition: DispositionReturn}}
	apply := func(revision uint64, kind OpKind, want Outcome) {
		t.Helper()
		op.Kind = kind
		if got, reason := l.Apply(revision, &op); got != want {
			t.Fatalf("%s: %s %s", kind, got, reason)
		}
	}
	for i, id := range []string{"server/a", "server/b"} {
		l.Register(uint64(1+i), Unit{ID: id, Kind: KindServer, Endpoint: id, Condition: ConditionUp})
	}
	apply(3, OpRequest, OutcomeApplied)
	apply(4, OpComplete, OutcomeRejected) // it has not begun
	apply(5, OpBegin, OutcomeApplied)
	apply(6, OpComplete, OutcomeRejected) // it never went out
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

// Apply costs no more with many units than with few: one permit from ask to settled, at 100 and 10,000 units.
func BenchmarkApply(b *testing.B) {
	for _, units := range []int{100, 10_000} {
		b.Run(fmt.Sprint(units), func(b *testing.B) {
			l, revision := NewLedger(), uint64(0)
			apply := func(op Op) {
				revision++
				if outcome, reason := l.Apply(revision, &op); outcome != OutcomeApplied {
					b.Fatalf("%s: %s %s", op.Kind, outcome, reason)
				}
			}
			for i := range units {
				revision++
				l.Register(revision, Unit{ID: fmt.Sprint("server/", i), Kind: KindServer, Zone: fmt.Sprint(i % 3), PodGroup: i % (units / 4), Condition: ConditionUp})
			}
			for i := range 16 {
				apply(Op{Kind: OpSetBudget, Owner: "operator/o", Budget: &Budget{Name: fmt.Sprint(i), MaxUnavailable: Limit{Count: intPointer(3)}}})
			}
			for i := range 20 { // some that wait
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

// All sequences of sixteen operations on three units, two budgets and two permits that share a unit, up to a depth;
// what was met before, but for how high its revisions are, is not gone on with.
func TestExhaustiveShortSequences(t *testing.T) {
	if testing.Short() {
		t.Skip("a few seconds")
	}
	const depth = 4
	unit := func(name string) Unit {
		return Unit{ID: "server/" + name, Kind: KindServer, Zone: "1", PodGroup: 1, Condition: ConditionUp}
	}
	start := newHarness()
	for _, name := range []string{"a", "b", "c"} {
		if err := start.observe(func(t *Ledger) { t.Register(start.model.revision, unit(name)) }, "server/"+name, "", nil); err != nil {
			t.Fatal(err)
		}
	}
	two, one := intPointer(2), intPointer(1)
	for _, budget := range []Budget{{Name: "all", MaxUnavailable: Limit{Count: two}}, {Name: "ac", Selector: Selector{IDs: []string{"server/a", "server/c"}}, MaxUnavailable: Limit{Count: one}}} {
		if err := start.apply(&Op{Kind: OpSetBudget, Owner: "operator/o", Budget: &budget}); err != nil {
			t.Fatal(err)
		}
	}
	type op func(h *harness) error
	act := func(operation Op) op { return func(h *harness) error { return h.apply(&operation) } }
	var ops []op
	for i, units := range [][]string{{"server/a", "server/b"}, {"server/b", "server/c"}} {
		id, owner := fmt.Sprint("p", i), fmt.Sprint("release/", i)
		permit := &Permit{ID: id, Owner: owner, Units: units, Priority: PriorityRollout, Disposition: []Disposition{DispositionReturn, DispositionRetire}[i]}
		ops = append(ops, act(Op{Kind: OpRequest, Owner: owner, Permit: permit}), act(Op{Kind: OpBegin, Owner: owner, Permit: permit}),
			act(Op{Kind: OpComplete, Owner: owner, Permit: permit}), act(Op{Kind: OpCancel, Owner: owner, Permit: permit}))
	}
	for _, name := range []string{"a", "b", "c"} {
		unit := unit(name)
		ops = append(ops, func(h *harness) error { return h.markLost(unit.ID) },
			func(h *harness) error {
				return h.observe(func(t *Ledger) { t.Register(h.model.revision, unit) }, unit.ID, "", nil)
			})
	}
	ops = append(ops, act(Op{Kind: OpHalt, Owner: "operator/o", Halt: &Halt{Reason: "test"}}), act(Op{Kind: OpResume, Owner: "operator/o", Halt: &Halt{}}))
	seen, level, steps := map[string]bool{}, []*harness{start}, 0
	for range depth {
		var next []*harness
		for _, h := range level {
			for _, act := range ops {
				saved := h.ledger.Snapshot()
				data, err := json.Marshal(saved)
				if err != nil {
					t.Fatal(err)
				}
				branch, snapshot := &harness{model: h.model.clone()}, Snapshot{}
				if err := json.Unmarshal(data, &snapshot); err != nil {
					t.Fatal(err)
				}
				if branch.ledger, err = Restore(snapshot); err != nil {
					t.Fatal(err)
				}
				if err := act(branch); err != nil {
					t.Fatal(err)
				}
				steps++
				if key := normalize(branch.ledger.Snapshot()); !seen[key] {
					seen[key] = true
					next = append(next, branch)
				}
			}
		}
		level = next
	}
	t.Logf("%d steps, %d states", steps, len(seen))
}

// normalize is what was saved with its revisions replaced by their order.
func normalize(snapshot Snapshot) string {
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

var fieldError *validation.Error

func TestOpValidate(t *testing.T) {
	valid := Permit{ID: "p", Owner: "release/r", Units: []string{"server/a"}, Disposition: DispositionReturn}
	for field, op := range map[string]Op{
		"kind":                 {Kind: "x"},
		"permit":               {Kind: OpRequest},
		"permit.id":            {Kind: OpBegin, Owner: "release/r", Permit: &Permit{}},
		"owner":                {Kind: OpRequest, Owner: "release/x", Permit: &valid},
		"budget":               {Kind: OpSetBudget},
		"units":                {Kind: OpForget, Owner: "operator/o"},
		"halt":                 {Kind: OpHalt},
		"seen":                 {Kind: OpObserve},
		"permit.units":         {Kind: OpRequest, Owner: "release/r", Permit: &Permit{ID: "p", Owner: "release/r", Disposition: DispositionRetire, Units: []string{"a", "a"}}},
		"permit.alone":         {Kind: OpRequest, Owner: "release/r", Permit: &Permit{ID: "p", Owner: "release/r", Disposition: DispositionRetire, Units: []string{"a"}, WithoutSubstitute: true}},
		"permit.instead":       {Kind: OpRequest, Owner: "release/r", Permit: &Permit{ID: "p", Owner: "release/r", Disposition: DispositionRetire, Units: []string{"a"}, Substitutes: map[string]string{"a": "a"}}},
		"budget.max_out.share": {Kind: OpSetBudget, Owner: "operator/o", Budget: &Budget{Name: "b", MaxUnavailable: Limit{Fraction: floatPointer(2)}}},
	} {
		if err := op.Validate(); !errors.As(err, &fieldError) || fieldError.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}
