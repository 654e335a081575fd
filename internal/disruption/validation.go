package disruption

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"milldeck/internal/validation"
)

// Bounds of what the ledger keeps. Beyond them an operation is refused; nothing that counts as out is dropped to make
// room (see MaxLostUnits).
const (
	MaxUnits         = 250_000 // the list and the sidecars hold at most 100,000 each, the rest is lost
	MaxLostUnits     = 10_000  // beyond it the oldest are dropped, and the fleet is halted until an operator has looked
	MaxBudgets       = 256     // each new unit is held against all of them
	MaxOpenPermits   = 4096    // that are not over
	MaxPermitUnits   = 1000
	MaxClosedPermits = 4096 // that are over, for repeats of lost answers
	MaxHalts         = 1024
	MaxObservations  = 10_000 // units in one operation
	MaxNameLength    = 160    // characters: a name of the list and its kind
	MaxTextLength    = 512    // characters of a purpose or a reason

	maxUnitCapacity   = 1000 // as in the list
	operatorPrefix    = "operator/"
	budgetScopePrefix = "budget/"
)

// IsOperator tells whether an owner is a person: one needs no duty, and may halt, resume, release and forget.
func IsOperator(owner string) bool { return strings.HasPrefix(owner, operatorPrefix) }

func invalid(field, format string, args ...any) error {
	return validation.Errorf(field, format, args...)
}

func validateName(field, value string) error {
	if value == "" || len(value) > MaxNameLength {
		return invalid(field, "%d characters, wanted 1 to %d", len(value), MaxNameLength)
	}
	return nil
}

func validateText(field, value string) error {
	if len(value) > MaxTextLength {
		return invalid(field, "over %d characters", MaxTextLength)
	}
	return nil
}

// Validate tells which field of an operation cannot be, whatever the ledger holds. It is meant for before the log: what
// it refuses is refused by Apply as well.
func (op *Op) Validate() error {
	switch op.Kind {
	case OpSetBudget:
		if op.Budget == nil {
			return invalid("budget", "it is missing")
		}
		return validation.First(validateOperator(op), op.Budget.Validate())
	case OpRequest:
		if op.Permit == nil {
			return invalid("permit", "it is missing")
		}
		return op.Permit.validate(op.Owner)
	case OpBegin, OpReturn, OpCancel, OpComplete, OpForceComplete:
		if op.Permit == nil {
			return invalid("permit", "it is missing")
		}
		if op.Kind == OpForceComplete {
			return validation.First(validateName("permit.id", op.Permit.ID), validateOperator(op))
		}
		return validation.First(validateName("permit.id", op.Permit.ID), validateName("owner", op.Owner), validateNames("units", op.Units, 0), op.validateSuccessors())
	case OpHalt, OpResume:
		if op.Halt == nil {
			return invalid("halt", "it is missing")
		}
		return validation.First(validateName("owner", op.Owner), validateText("halt.scope", op.Halt.Scope), validateText("halt.why", op.Halt.Reason))
	case OpObserve:
		return op.validateObserved()
	case OpForget:
		return validation.First(validateOperator(op), validateNames("units", op.Units, 1))
	default:
		return invalid("kind", "%q is no operation", op.Kind)
	}
}

func validateOperator(op *Op) error {
	if !IsOperator(op.Owner) {
		return invalid("owner", "%q is no operator", op.Owner)
	}
	return validateName("owner", op.Owner)
}

func validateNames(field string, names []string, minimum int) error {
	if len(names) < minimum || len(names) > MaxPermitUnits {
		return invalid(field, "%d entries, wanted %d to %d", len(names), minimum, MaxPermitUnits)
	}
	known := make(map[string]bool, len(names))
	for _, name := range names {
		if name == "" || len(name) > MaxNameLength {
			return invalid(field, "%q is no name", name)
		}
		if known[name] {
			return invalid(field, "%s is named twice", name)
		}
		known[name] = true
	}
	return nil
}

func (op *Op) validateSuccessors() error {
	if len(op.Successors) > MaxPermitUnits {
		return invalid("successors", "over %d", MaxPermitUnits)
	}
	return nil
}

func (op *Op) validateObserved() error {
	if len(op.Observed) == 0 || len(op.Observed) > MaxObservations {
		return invalid("seen", "%d entries, wanted 1 to %d", len(op.Observed), MaxObservations)
	}
	for i, unit := range op.Observed {
		if unit.Condition != ConditionUp && unit.Condition != ConditionWarmingUp && unit.Condition != ConditionUnready {
			return invalid(fmt.Sprintf("seen[%d].condition", i), "%q is not %s, %s or %s", unit.Condition, ConditionUp, ConditionWarmingUp, ConditionUnready)
		}
	}
	return nil
}

func (p *Permit) validate(owner string) error {
	err := validation.First(validateName("permit.id", p.ID), validateName("permit.owner", p.Owner), validateText("permit.purpose", p.Purpose), validateNames("permit.units", p.Units, 1))
	switch {
	case err != nil:
		return err
	case p.Owner != owner:
		return invalid("owner", "%q asks for a permit of %q", owner, p.Owner)
	case strings.HasPrefix(owner, budgetScopePrefix):
		return invalid("owner", "%q is the scope of a budget", owner)
	case p.Priority < PriorityRollback || p.Priority > PriorityRollout:
		return invalid("permit.rank", "%d is not within %d to %d", p.Priority, PriorityRollback, PriorityRollout)
	case p.Disposition != DispositionReturn && p.Disposition != DispositionReplace && p.Disposition != DispositionRetire:
		return invalid("permit.end", "%q is not %s, %s or %s", p.Disposition, DispositionReturn, DispositionReplace, DispositionRetire)
	case p.WithoutSubstitute && !IsOperator(owner):
		return invalid("permit.alone", "%q is no operator", owner)
	}
	listed := make(map[string]bool, len(p.Units))
	for _, id := range p.Units {
		listed[id] = true
	}
	if len(p.Substitutes) > len(p.Units) {
		return invalid("permit.instead", "it names more than the units")
	}
	for id, substitute := range p.Substitutes {
		if !listed[id] || listed[substitute] || substitute == "" || len(substitute) > MaxNameLength {
			return invalid("permit.instead", "one of the units by one that is not among them, not %q by %q", id, substitute)
		}
	}
	return nil
}

// Validate tells which field of a budget cannot be.
func (b *Budget) Validate() error {
	if err := validateName("budget.name", b.Name); err != nil {
		return err
	}
	for i, limit := range []Limit{b.MaxUnavailable, b.MaxWarmingUp} {
		field := []string{"budget.max_out", "budget.max_cold"}[i]
		if limit.Count != nil && (*limit.Count < 0 || *limit.Count > MaxUnits) {
			return invalid(field+".count", "%d is not within 0 to %d", *limit.Count, MaxUnits)
		}
		if limit.Fraction != nil && !(*limit.Fraction >= 0 && *limit.Fraction <= 1) {
			return invalid(field+".share", "%v is not within 0 to 1", *limit.Fraction)
		}
	}
	selector := &b.Selector
	if selector.Kind != "" && selector.Kind != KindServer && selector.Kind != KindSidecar {
		return invalid("budget.select.kind", "%q is not %s or %s", selector.Kind, KindServer, KindSidecar)
	}
	return validateNames("budget.select.ids", selector.IDs, 0)
}

// roundingTolerance keeps a share that is meant to be whole from being rounded down by one for the sake of its last binary digit.
const roundingTolerance = 1e-9

// unitLimit gives how many of n are allowed; none is no bound.
func (l Limit) unitLimit(total int) (limit int, bounded bool) {
	limit = math.MaxInt
	if l.Count != nil {
		limit, bounded = *l.Count, true
	}
	if l.Fraction != nil {
		limit, bounded = min(limit, int(math.Floor(*l.Fraction*float64(total)+roundingTolerance))), true
	}
	return limit, bounded
}

// capacityLimit gives how much of a capacity of n units, in thousandths, is allowed.
func (l Limit) capacityLimit(milliCapacity int64, total int) (limit int64, bounded bool) {
	limit = math.MaxInt64
	if l.Count != nil && total > 0 {
		limit, bounded = int64(*l.Count)*milliCapacity/int64(total), true
	}
	if l.Fraction != nil {
		limit, bounded = min(limit, int64(math.Floor(*l.Fraction*float64(milliCapacity)+roundingTolerance))), true
	}
	return limit, bounded
}

// Matches tells whether a selector takes in a unit.
func (s *Selector) Matches(unit *Unit) bool {
	switch {
	case s.Kind != "" && s.Kind != unit.Kind, s.Zone != "" && s.Zone != unit.Zone, s.Model != "" && s.Model != unit.Model,
		s.Version != "" && s.Version != unit.Version:
		return false
	case s.PodGroup != nil && (unit.Kind != KindServer || *s.PodGroup != unit.PodGroup):
		return false
	case s.Tenant != "" && len(unit.Tenants) > 0 && !slices.Contains(unit.Tenants, s.Tenant):
		return false
	}
	return len(s.IDs) == 0 || slices.Contains(s.IDs, unit.ID)
}
