package disruption

import (
	"maps"
	"reflect"
	"slices"
)

// BudgetChange is one write of a replacement of budgets.
type BudgetChange struct {
	Budget *Budget
	Delete bool
}

// PlanBudgetChanges returns the writes that replace the existing budgets by the desired ones, by name. Limits are tightened
// before any limit is loosened or deleted, so that at no time in between more may be out than the existing or the desired
// budgets allow. A budget of which one limit is tightened and another loosened is written twice.
func PlanBudgetChanges(existing []Budget, desired map[string]*Budget) []BudgetChange {
	current := map[string]*Budget{}
	for i := range existing {
		current[existing[i].Name] = &existing[i]
	}
	names := slices.Sorted(maps.Keys(desired))
	var tightened, loosened []BudgetChange
	for _, name := range names {
		strict := tightenedBudget(current[name], desired[name])
		if strict != nil {
			tightened = append(tightened, BudgetChange{Budget: strict})
		}
		if strict == nil || !reflect.DeepEqual(strict, desired[name]) {
			loosened = append(loosened, BudgetChange{Budget: desired[name]})
		}
	}
	changes := slices.Concat(tightened, loosened)
	for i := range existing {
		if desired[existing[i].Name] == nil {
			changes = append(changes, BudgetChange{Budget: &existing[i], Delete: true})
		}
	}
	return changes
}

// tightenedBudget returns a budget with the stricter of the current and the desired limits; nil if that is the current budget.
// A budget that selects other units than before cannot be compared and counts as loosened.
func tightenedBudget(current, desired *Budget) *Budget {
	if current == nil {
		return desired
	}
	if !reflect.DeepEqual(current.Selector, desired.Selector) {
		return nil
	}
	strict := *desired
	strict.MaxUnavailable = stricterLimit(current.MaxUnavailable, desired.MaxUnavailable)
	strict.MaxWarmingUp = stricterLimit(current.MaxWarmingUp, desired.MaxWarmingUp)
	if reflect.DeepEqual(&strict, current) {
		return nil
	}
	return &strict
}

// stricterLimit returns the smaller count and the smaller fraction. A limit without one of them does not bound it.
func stricterLimit(a, b Limit) Limit {
	return Limit{Count: smallerOf(a.Count, b.Count), Fraction: smallerOf(a.Fraction, b.Fraction)}
}

func smallerOf[T int | float64](a, b *T) *T {
	if a == nil || b != nil && *b < *a {
		return b
	}
	return a
}
