package disruption

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
)

func intPointer(value int) *int { return &value }

func floatPointer(value float64) *float64 { return &value }

// harness applies the same steps to a ledger, to a copy restored from a snapshot, and to the reference model.
type harness struct {
	ledger      *Ledger
	restored    *Ledger // nil: the test uses no copy
	model       *model
	injectFault func(ledger *Ledger, lostUnit string) // called after each step; nil: none
}

func newHarness() *harness {
	return &harness{ledger: NewLedger(), restored: NewLedger(), model: newModel()}
}

// newFleetHarness returns a harness in which all testUnits are up.
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

// step applies one step to the ledger, the copy and the model, and returns an error if they differ.
func (h *harness) step(applyToLedger func(l *Ledger) Outcome, applyToModel func(model *model) Outcome, lostUnit string) error {
	h.model.revision++
	before := slices.Clone(h.ledger.OpenPermits())
	outcome := applyToLedger(h.ledger)
	if h.restored != nil {
		applyToLedger(h.restored)
	}
	if h.injectFault != nil {
		h.injectFault(h.ledger, lostUnit)
		h.injectFault(h.restored, lostUnit)
	}
	if expected := applyToModel(h.model); outcome != expected {
		return fmt.Errorf("outcome is %s, want %s", outcome, expected)
	}
	h.model.grantAdmissible()
	if err := h.model.compare(h.ledger); err != nil {
		return err
	}
	if h.restored != nil {
		if original, restored := asJSON(h.ledger.Snapshot()), asJSON(h.restored.Snapshot()); original != restored {
			return fmt.Errorf("the restored ledger differs:\n%s\n%s", original, restored)
		}
	}
	return h.checkNewGrants(before)
}

// checkNewGrants checks each new grant against all budgets: the number of units that are unavailable for any reason is
// within them.
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
			takesServing := slices.ContainsFunc(selected, func(unit Unit) bool {
				return unit.Condition == ConditionUp && slices.Contains(permit.Units, unit.ID)
			})
			unavailable := h.model.countUnavailable(selected)
			if limit, bounded := budget.MaxUnavailable.unitLimit(len(selected)); takesServing && bounded && unavailable > limit {
				return fmt.Errorf("permit %s granted with %d unavailable of %s, which allows %d", permit.ID, unavailable, name, limit)
			}
		}
	}
	return nil
}

func (h *harness) apply(op *Op) error {
	applyToLedger := func(l *Ledger) Outcome { return l.Apply(h.model.revision, op).Outcome }
	return h.step(applyToLedger, func(model *model) Outcome { return model.apply(op) }, "")
}

// observe records a change of a unit. The model takes the unit's condition from the ledger unless updateModel is given;
// TestNewServersWarmUp checks the condition after a registration.
func (h *harness) observe(updateLedger func(l *Ledger), id, lostUnit string, updateModel func(model *model)) error {
	applyToModel := func(model *model) Outcome {
		if updateModel != nil {
			updateModel(model)
		} else if unit, known := h.ledger.Unit(id); known {
			model.units[id] = unit
		}
		return OutcomeApplied
	}
	return h.step(func(l *Ledger) Outcome { updateLedger(l); return OutcomeApplied }, applyToModel, lostUnit)
}

// restoreCopy replaces the copy with one restored from the ledger's snapshot.
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

func (h *harness) markLost(id string) error {
	return h.observe(func(l *Ledger) { l.MarkLost(h.model.revision, id) }, id, id, func(model *model) { model.setCondition(id, ConditionLost) })
}

func (h *harness) markUnknown(id string) error {
	return h.observe(func(l *Ledger) { l.MarkUnknown(h.model.revision, id) }, id, "", func(model *model) { model.setCondition(id, ConditionUnknown) })
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

// randomStep applies one random step; draw returns a number from 0 to n-1.
func (h *harness) randomStep(draw func(n int) int) error {
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
		return h.markUnknown(unit.ID)
	case 5, 6, 7:
		unit.Condition = []Condition{ConditionUp, ConditionUp, ConditionUp, ConditionWarmingUp, ConditionUnready}[draw(5)]
		op.Kind, op.Observed = OpObserve, []Unit{unit}
		return h.observe(func(l *Ledger) { l.Apply(h.model.revision, op) }, unit.ID, "", nil)
	case 8, 9, 10, 11:
		op.Kind, op.Permit = OpRequest, randomPermit(draw, id, owner)
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
		budget := testBudgets[draw(len(testBudgets))]
		op.Budget = &budget
	case 20:
		op.Kind, op.Owner = []OpKind{OpRemoveLost, OpForceComplete}[draw(2)], "operator/o"
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

var testBudgets = []Budget{
	{Name: "a", MaxUnavailable: Limit{Count: intPointer(2)}},
	{Name: "b", Selector: Selector{Zone: "1"}, MaxUnavailable: Limit{Fraction: floatPointer(0.5)}},
	{Name: "c", Selector: Selector{Kind: KindServer}, MaxWarmingUp: Limit{Fraction: floatPointer(0.4)}},
	{Name: "b", Selector: Selector{PodGroup: intPointer(1)}, MaxUnavailable: Limit{Count: intPointer(1)}},
}

// randomPermit draws a request for a permit of one to three units.
func randomPermit(draw func(n int) int, id, owner string) *Permit {
	permit := &Permit{ID: id, Owner: owner, Priority: Priority(draw(4))}
	permit.Disposition = []Disposition{DispositionReturn, DispositionReplace, DispositionRetire}[draw(3)]
	for range 1 + draw(3) {
		if unitID := testUnits[draw(len(testUnits))].ID; !slices.Contains(permit.Units, unitID) {
			permit.Units = append(permit.Units, unitID)
		}
	}
	if substitute := testUnits[draw(len(testUnits))].ID; draw(3) == 0 && !slices.Contains(permit.Units, substitute) {
		permit.Substitutes = map[string]string{permit.Units[0]: substitute}
	}
	permit.WithoutSubstitute = IsOperator(owner) && draw(2) == 0
	return permit
}

// runSeeds applies random steps for a number of seeds, with injectFault called after each step, and returns the first
// difference between the ledger, its restored copy and the model.
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
