package plan

import (
	"fmt"
	"slices"
	"strings"

	"milldeck/internal/disruption"
)

// Preview is a dry run of a plan: what it would change, which capacity remains meanwhile, and what makes it infeasible.
type Preview struct {
	Name           string        `json:"name"`
	Hash           string        `json:"hash"`
	Waves          []PreviewWave `json:"waves"`
	MaxUnavailable int           `json:"max_out"` // units of the release out at once, by its limits and the budgets
	// RemainingCapacity is the capacity while that many units are out, by zone, and of the fleet under "".
	RemainingCapacity map[string]Capacity `json:"stays"`
	WarmUpCapacity    float64             `json:"cold"` // capacity that warms up in the course of the release
	// Infeasible says, one line each, what budgets, pod groups or zones can never allow. Empty: the plan is feasible.
	Infeasible []string `json:"refused,omitempty"`
}

// PreviewWave is one wave of a dry run.
type PreviewWave struct {
	Units          []string `json:"units"` // IDs, in the order in which they are changed
	BakeSeconds    float64  `json:"bake_s"`
	WarmUpCapacity float64  `json:"cold"`
	UpdatedShare   float64  `json:"share"` // of the release's units, once the wave is over
}

// Capacity is relative capacity that remains in service, of a total.
type Capacity struct {
	Remaining float64 `json:"stays"`
	Total     float64 `json:"all"`
}

// preview is a dry run under way, with what it is made of.
type preview struct {
	*Preview
	plan     *Plan
	units    []disruption.Unit // of the fleet
	selected []disruption.Unit // of the release, in order
}

// NewPreview makes a dry run of a plan for a fleet and its budgets, which may be in any order. What budgets merely delay is
// not infeasible.
func NewPreview(p *Plan, units []disruption.Unit, budgets []disruption.Budget) *Preview {
	result := &Preview{Name: p.Name, Hash: p.Hash(), RemainingCapacity: map[string]Capacity{}}
	v := &preview{Preview: result, plan: p, units: units, selected: SelectUnits(p, units)}
	if len(v.selected) == 0 {
		v.addInfeasible("the plan selects no %s of %d units", p.Kind(), len(units))
		return result
	}
	v.previewWaves()
	v.MaxUnavailable = p.MaxUnavailable(len(v.selected))
	if !p.RestartsUnits() {
		v.MaxUnavailable = min(v.MaxUnavailable, len(v.selected))
	}
	v.checkBudgets(budgets)
	v.checkGroups()
	v.computeTotals()
	v.subtractUnavailable()
	return result
}

func (v *preview) addInfeasible(format string, args ...any) {
	v.Infeasible = append(v.Infeasible, fmt.Sprintf(format, args...))
}

// previewWaves divides the units into waves. Each unit has to be in one, and each wave has to have one.
func (v *preview) previewWaves() {
	byID := make(map[string]*disruption.Unit, len(v.selected))
	for i := range v.selected {
		byID[v.selected[i].ID] = &v.selected[i]
	}
	assigned := 0
	for i, ids := range AssignWaves(v.plan, v.selected) {
		assigned += len(ids)
		wave := PreviewWave{
			Units:        ids,
			BakeSeconds:  v.plan.Waves[i].BakeSeconds,
			UpdatedShare: float64(assigned) / float64(len(v.selected)),
		}
		if v.plan.Kind() == disruption.KindServer {
			for _, id := range ids {
				wave.WarmUpCapacity += effectiveCapacity(byID[id])
			}
		}
		v.WarmUpCapacity += wave.WarmUpCapacity
		v.Waves = append(v.Waves, wave)
		if len(ids) == 0 {
			v.addInfeasible("wave[%d] has no units: earlier waves take all of its zone, or the zone has none", i)
		}
	}
	if unassigned := len(v.selected) - assigned; unassigned > 0 {
		v.addInfeasible("%d of %d units are in no wave: let the last wave take all that is left (neither count nor share)",
			unassigned, len(v.selected))
	}
}

// checkBudgets finds the budgets that do not allow a single unit of the release, even when nothing else is out. The limits
// of the plan itself are checked as one more budget.
func (v *preview) checkBudgets(budgets []disruption.Budget) {
	sorted := slices.Clone(budgets)
	slices.SortFunc(sorted, func(a, b disruption.Budget) int { return strings.Compare(a.Name, b.Name) })
	own := disruption.Budget{Name: "limits of " + v.plan.Name, MaxWarmingUp: v.plan.Limits.MaxWarmingUp}
	for i := range v.selected {
		own.Selector.IDs = append(own.Selector.IDs, v.selected[i].ID)
	}
	for _, budget := range append(sorted, own) {
		v.checkBudget(&budget)
	}
}

func (v *preview) checkBudget(budget *disruption.Budget) {
	var affected []*disruption.Unit
	for i := range v.selected {
		if budget.Selector.Matches(&v.selected[i]) {
			affected = append(affected, &v.selected[i])
		}
	}
	if len(affected) == 0 {
		return
	}
	unitCount, totalCapacity := 0, 0.0
	for i := range v.units {
		if budget.Selector.Matches(&v.units[i]) {
			unitCount++
			totalCapacity += effectiveCapacity(&v.units[i])
		}
	}
	v.checkUnavailable(budget, affected, unitCount)
	if v.plan.Kind() == disruption.KindServer && unitCount > 0 {
		v.checkWarmingUp(budget, affected, unitCount, totalCapacity/float64(unitCount))
	}
}

// checkUnavailable checks a budget's bound on unavailable units.
func (v *preview) checkUnavailable(budget *disruption.Budget, affected []*disruption.Unit, unitCount int) {
	allowed, limited := unitsAllowed(budget.MaxUnavailable, unitCount)
	if !limited {
		return
	}
	if allowed < 1 {
		v.addInfeasible("budget %q: max_out allows %d of its %d units out, and %s is one of them (%d of the release)",
			budget.Name, allowed, unitCount, affected[0].ID, len(affected))
	}
	if len(affected) == len(v.selected) {
		v.MaxUnavailable = min(v.MaxUnavailable, allowed)
	}
}

// checkWarmingUp checks a budget's bound on warming capacity.
func (v *preview) checkWarmingUp(budget *disruption.Budget, affected []*disruption.Unit, unitCount int, mean float64) {
	allowed, limited := warmingUpAllowed(budget.MaxWarmingUp, unitCount, mean)
	if !limited {
		return
	}
	for _, unit := range affected {
		if capacity := effectiveCapacity(unit); capacity > allowed+tolerance {
			v.addInfeasible("budget %q: max_cold allows a capacity of %.3g cold, and %s alone is %.3g",
				budget.Name, allowed, unit.ID, capacity)
			return
		}
	}
}

// checkGroups finds the pod groups and zones that have only one server, which the release would take out: the ledger never
// lets one be out as a whole.
func (v *preview) checkGroups() {
	if v.plan.Kind() != disruption.KindServer {
		return
	}
	sizes := map[string]int{}
	for i := range v.units {
		if v.units[i].Kind != disruption.KindServer {
			continue
		}
		for _, group := range groupsOf(&v.units[i]) {
			sizes[group]++
		}
	}
	for i := range v.selected {
		for _, group := range groupsOf(&v.selected[i]) {
			if sizes[group] == 1 {
				v.addInfeasible("%s is %s alone: neither a pod group nor a zone is ever wholly out", group, v.selected[i].ID)
			}
		}
	}
}

// groupsOf names the groups of a server that must not be out as a whole.
func groupsOf(unit *disruption.Unit) []string {
	return []string{fmt.Sprintf("pod group %d", unit.PodGroup), fmt.Sprintf("zone %q", unit.Zone)}
}

// computeTotals sums the capacity of the release's kind of units by zone, and that of the units that are up.
func (v *preview) computeTotals() {
	kind := v.selected[0].Kind
	for i := range v.units {
		unit := &v.units[i]
		if unit.Kind != kind {
			continue
		}
		for _, zone := range []string{unit.Zone, ""} {
			capacity := v.RemainingCapacity[zone]
			capacity.Total += effectiveCapacity(unit)
			if unit.Condition == disruption.ConditionUp {
				capacity.Remaining += effectiveCapacity(unit)
			}
			v.RemainingCapacity[zone] = capacity
		}
	}
}

// subtractUnavailable takes the worst case off the remaining capacity: that in each zone, and in the fleet, the largest
// MaxUnavailable units of the release are out.
func (v *preview) subtractUnavailable() {
	capacities := map[string][]float64{} // by zone, of the release's units that are up
	for i := range v.selected {
		unit := &v.selected[i]
		if unit.Condition != disruption.ConditionUp {
			continue
		}
		capacities[unit.Zone] = append(capacities[unit.Zone], effectiveCapacity(unit))
		if unit.Zone != "" {
			capacities[""] = append(capacities[""], effectiveCapacity(unit))
		}
	}
	for zone, ascending := range capacities {
		slices.Sort(ascending)
		capacity := v.RemainingCapacity[zone]
		for i := range min(max(v.MaxUnavailable, 0), len(ascending)) {
			capacity.Remaining -= ascending[len(ascending)-1-i]
		}
		v.RemainingCapacity[zone] = capacity
	}
}
