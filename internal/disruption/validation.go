package disruption

import (
	"fmt"
	"strings"

	"milldeck/internal/validation"
)

// Size limits of the ledger. An operation that would exceed a limit is not applied. No unit that counts as unavailable is
// dropped to make room, except for the oldest lost one beyond MaxLostUnits.
const (
	MaxUnits         = 250_000 // the registry lists at most 100,000 servers and as many sidecars; the rest are lost units
	MaxLostUnits     = 10_000  // beyond it the oldest lost unit is dropped, and the fleet is halted until an operator resumes it
	MaxBudgets       = 256     // each new unit is matched against all budgets
	MaxOpenPermits   = 4096
	MaxClosedPermits = 4096 // retained, so that a repeated operation has the same result as the first
	MaxPermitUnits   = 1000
	MaxHalts         = 1024
	MaxObservations  = 10_000 // per operation
	MaxNameLength    = 160    // bytes; a name in the registry with its kind
	MaxTextLength    = 512    // bytes of a purpose or a reason

	maxUnitCapacity = 1000 // the registry's limit
	operatorPrefix  = "operator/"
)

// IsOperator reports whether an owner is a person. Operators need no lease, and may set budgets, halt, resume, force the
// completion of permits and remove lost units.
func IsOperator(owner string) bool { return strings.HasPrefix(owner, operatorPrefix) }

// OperatorOwner returns the owner of a person's operations.
func OperatorOwner(name string) string { return operatorPrefix + name }

// Validate returns a *validation.Error that names the first invalid field of an operation. The result does not depend on
// the state of the ledger. Callers validate an operation before they append it to the log; Apply rejects what Validate
// rejects.
func (op *Op) Validate() error {
	switch op.Kind {
	case OpSetBudget:
		return op.validateBudget()
	case OpRequest:
		if op.Permit == nil {
			return missingField("permit")
		}
		return op.Permit.validate(op.Owner)
	case OpBegin, OpReturn, OpCancel, OpComplete, OpForceComplete:
		return op.validatePermitReference()
	case OpHalt, OpResume:
		return op.validateHalt()
	case OpObserve:
		return op.validateObserved()
	case OpRemoveLost:
		return validation.First(validateOperator(op.Owner), validateNames("units", op.Units, 1))
	default:
		return validation.Errorf("kind", "%q is no operation", op.Kind)
	}
}

func (op *Op) validateBudget() error {
	if op.Budget == nil {
		return missingField("budget")
	}
	return validation.First(validateOperator(op.Owner), op.Budget.Validate())
}

func (op *Op) validatePermitReference() error {
	if op.Permit == nil {
		return missingField("permit")
	}
	if err := validateName("permit.id", op.Permit.ID); err != nil {
		return err
	}
	if op.Kind == OpForceComplete {
		return validateOperator(op.Owner)
	}
	return validation.First(validateName("owner", op.Owner), validateNames("units", op.Units, 0), op.validateSuccessors())
}

func (op *Op) validateSuccessors() error {
	if len(op.Successors) > MaxPermitUnits {
		return validation.Errorf("successors", "over %d", MaxPermitUnits)
	}
	return nil
}

func (op *Op) validateHalt() error {
	if op.Halt == nil {
		return missingField("halt")
	}
	return validation.First(
		validateName("owner", op.Owner),
		validateText("halt.scope", op.Halt.Scope),
		validateText("halt.why", op.Halt.Reason),
	)
}

func (op *Op) validateObserved() error {
	if len(op.Observed) == 0 || len(op.Observed) > MaxObservations {
		return validation.Errorf("seen", "%d entries, wanted 1 to %d", len(op.Observed), MaxObservations)
	}
	for i := range op.Observed {
		if condition := op.Observed[i].Condition; !condition.observable() {
			field := fmt.Sprintf("seen[%d].condition", i)
			return validation.Errorf(field, "%q is not %s, %s or %s", condition, ConditionUp, ConditionWarmingUp, ConditionUnready)
		}
	}
	return nil
}

func (p *Permit) validate(owner string) error {
	err := validation.First(
		validateName("permit.id", p.ID),
		validateName("permit.owner", p.Owner),
		validateText("permit.purpose", p.Purpose),
		validateNames("permit.units", p.Units, 1),
	)
	switch {
	case err != nil:
		return err
	case p.Owner != owner:
		return validation.Errorf("owner", "%q asks for a permit of %q", owner, p.Owner)
	case strings.HasPrefix(owner, budgetScopePrefix):
		return validation.Errorf("owner", "%q is the scope of a budget", owner)
	case p.Priority < PriorityRollback || p.Priority > PriorityRollout:
		return validation.Errorf("permit.rank", "%d is not within %d to %d", p.Priority, PriorityRollback, PriorityRollout)
	case !p.Disposition.valid():
		return validation.Errorf("permit.end", "%q is not %s, %s or %s",
			p.Disposition, DispositionReturn, DispositionReplace, DispositionRetire)
	case p.WithoutSubstitute && !IsOperator(owner):
		return validation.Errorf("permit.alone", "%q is no operator", owner)
	}
	return p.validateSubstitutes()
}

func (d Disposition) valid() bool {
	return d == DispositionReturn || d == DispositionReplace || d == DispositionRetire
}

func (p *Permit) validateSubstitutes() error {
	if len(p.Substitutes) > len(p.Units) {
		return validation.Errorf("permit.instead", "it names more than the units")
	}
	listed := make(map[string]bool, len(p.Units))
	for _, id := range p.Units {
		listed[id] = true
	}
	for id, substitute := range p.Substitutes {
		if !listed[id] || listed[substitute] || substitute == "" || len(substitute) > MaxNameLength {
			return validation.Errorf("permit.instead", "one of the units by one that is not among them, not %q by %q", id, substitute)
		}
	}
	return nil
}

// Validate returns a *validation.Error that names the first invalid field of a budget.
func (b *Budget) Validate() error {
	selector := &b.Selector
	err := validation.First(
		validateName("budget.name", b.Name),
		b.MaxUnavailable.validate("budget.max_out"),
		b.MaxWarmingUp.validate("budget.max_cold"),
	)
	switch {
	case err != nil:
		return err
	case selector.Kind != "" && selector.Kind != KindServer && selector.Kind != KindSidecar:
		return validation.Errorf("budget.select.kind", "%q is not %s or %s", selector.Kind, KindServer, KindSidecar)
	}
	return validateNames("budget.select.ids", selector.IDs, 0)
}

func (l Limit) validate(field string) error {
	if l.Count != nil && (*l.Count < 0 || *l.Count > MaxUnits) {
		return validation.Errorf(field+".count", "%d is not within 0 to %d", *l.Count, MaxUnits)
	}
	if l.Fraction != nil && !(*l.Fraction >= 0 && *l.Fraction <= 1) {
		return validation.Errorf(field+".share", "%v is not within 0 to 1", *l.Fraction)
	}
	return nil
}

func missingField(field string) error { return validation.Errorf(field, "it is missing") }

func validateOperator(owner string) error {
	if !IsOperator(owner) {
		return validation.Errorf("owner", "%q is no operator", owner)
	}
	return validateName("owner", owner)
}

func validateName(field, value string) error {
	if value == "" || len(value) > MaxNameLength {
		return validation.Errorf(field, "%d characters, wanted 1 to %d", len(value), MaxNameLength)
	}
	return nil
}

func validateText(field, value string) error {
	if len(value) > MaxTextLength {
		return validation.Errorf(field, "over %d characters", MaxTextLength)
	}
	return nil
}

// validateNames checks that there are minimum to MaxPermitUnits names, each valid and unique.
func validateNames(field string, names []string, minimum int) error {
	if len(names) < minimum || len(names) > MaxPermitUnits {
		return validation.Errorf(field, "%d entries, wanted %d to %d", len(names), minimum, MaxPermitUnits)
	}
	known := make(map[string]bool, len(names))
	for _, name := range names {
		if name == "" || len(name) > MaxNameLength {
			return validation.Errorf(field, "%q is no name", name)
		}
		if known[name] {
			return validation.Errorf(field, "%s is named twice", name)
		}
		known[name] = true
	}
	return nil
}
