package plan

import (
	"fmt"
	"slices"
	"strings"

	"milldeck/internal/disruption"
)

// Preview is the result of a dry run: the waves, the capacity that remains during the release, and what makes it infeasible.
type Preview struct {
	Name           string        `json:"name"`
	Hash           string        `json:"hash"`
	Waves          []PreviewWave `json:"waves"`
	MaxUnavailable int           `json:"max_out"` // units that may be unavailable at once, by limits and budgets
	// RemainingCapacity is the capacity by zone, and of the fleet under "", while MaxUnavailable units are unavailable.
	RemainingCapacity map[string]Capacity `json:"stays"`
	WarmUpCapacity    float64             `json:"cold"` // total capacity that warms up during the release
	// Infeasible lists, one line each, what budgets, pod groups or zones never allow. Empty: the plan is feasible.
	Infeasible []string `json:"refused,omitempty"`
}

// PreviewWave is one wave of a dry run.
type PreviewWave struct {
	Units          []string `json:"units"` // IDs, in the order of their updates
	BakeSeconds    float64  `json:"bake_s"`
	WarmUpCapacity float64  `json:"cold"`
	UpdatedShare   float64  `json:"share"` // share of the release's units that is updated after the wave
}

// Capacity is the relative capacity that remains in service, and the total.
type Capacity struct {
	Remaining float64 `json:"stays"`
	Total     float64 `json:"all"`
}

// previewBuilder holds the inputs and the unfinished result of a dry run.
type previewBuilder struct {
	*Preview
	plan     *Plan
	units    []disruption.Unit // of the whole fleet
	selected []disruption.Unit // by the plan, in the order of their updates
}

// NewPreview makes a dry run of a plan for a fleet and its budgets. The order of units and budgets does not matter. A budget
// that only delays the release does not make it infeasible.
func NewPreview(p *Plan, units []disruption.Unit, budgets []disruption.Budget) *Preview {
	result := &Preview{Name: p.Name, Hash: p.Hash(), RemainingCapacity: map[string]Capacity{}}
	builder := &previewBuilder{Preview: result, plan: p, units: units, selected: SelectUnits(p, units)}
	if len(builder.selected) == 0 {
		builder.addInfeasible("the plan selects no %s of %d units", p.Kind(), len(units))
		return result
	}
	builder.previewWaves()
	builder.MaxUnavailable = p.MaxUnavailable(len(builder.selected))
	if !p.RestartsUnits() {
		builder.MaxUnavailable = min(builder.MaxUnavailable, len(builder.selected))
	}
	builder.checkBudgets(budgets)
	builder.checkSingleServerGroups()
	builder.computeTotals()
	builder.subtractUnavailable()
	return result
}

func (b *previewBuilder) addInfeasible(format string, args ...any) {
	b.Infeasible = append(b.Infeasible, fmt.Sprintf(format, args...))
}

// previewWaves assigns the units to waves. The plan is infeasible if a unit is in no wave or if a wave has no units.
func (b *previewBuilder) previewWaves() {
	byID := make(map[string]*disruption.Unit, len(b.selected))
	for i := range b.selected {
		byID[b.selected[i].ID] = &b.selected[i]
	}
	assigned := 0
	for i, ids := range AssignWaves(b.plan, b.selected) {
		assigned += len(ids)
		wave := PreviewWave{
			Units:        ids,
			BakeSeconds:  b.plan.Waves[i].BakeSeconds,
			UpdatedShare: float64(assigned) / float64(len(b.selected)),
		}
		if b.plan.Kind() == disruption.KindServer {
			for _, id := range ids {
				wave.WarmUpCapacity += EffectiveCapacity(byID[id])
			}
		}
		b.WarmUpCapacity += wave.WarmUpCapacity
		b.Waves = append(b.Waves, wave)
		if len(ids) == 0 {
			b.addInfeasible("wave[%d] has no units: earlier waves take all of its zone, or the zone has none", i)
		}
	}
	if unassigned := len(b.selected) - assigned; unassigned > 0 {
		b.addInfeasible("%d of %d units are in no wave: let the last wave take all that is left (neither count nor share)",
			unassigned, len(b.selected))
	}
}

// checkBudgets reports the budgets that do not allow even one unit to be updated while all other units are up. The plan's own
// limit on warming capacity is checked as one more budget.
func (b *previewBuilder) checkBudgets(budgets []disruption.Budget) {
	sorted := slices.Clone(budgets)
	slices.SortFunc(sorted, func(a, b disruption.Budget) int { return strings.Compare(a.Name, b.Name) })
	planBudget := disruption.Budget{Name: "limits of " + b.plan.Name, MaxWarmingUp: b.plan.Limits.MaxWarmingUp}
	for i := range b.selected {
		planBudget.Selector.IDs = append(planBudget.Selector.IDs, b.selected[i].ID)
	}
	for _, budget := range append(sorted, planBudget) {
		b.checkBudget(&budget)
	}
}

func (b *previewBuilder) checkBudget(budget *disruption.Budget) {
	var affected []*disruption.Unit
	for i := range b.selected {
		if budget.Selector.Matches(&b.selected[i]) {
			affected = append(affected, &b.selected[i])
		}
	}
	if len(affected) == 0 {
		return
	}
	unitCount, totalCapacity := 0, 0.0
	for i := range b.units {
		if budget.Selector.Matches(&b.units[i]) {
			unitCount++
			totalCapacity += EffectiveCapacity(&b.units[i])
		}
	}
	b.checkUnavailable(budget, affected, unitCount)
	if b.plan.Kind() == disruption.KindServer && unitCount > 0 {
		b.checkWarmingUp(budget, affected, unitCount, totalCapacity/float64(unitCount))
	}
}

// checkUnavailable checks a budget's limit on unavailable units. A budget that covers the whole release also limits
// b.MaxUnavailable.
func (b *previewBuilder) checkUnavailable(budget *disruption.Budget, affected []*disruption.Unit, unitCount int) {
	allowed, limited := unitsAllowed(budget.MaxUnavailable, unitCount)
	if !limited {
		return
	}
	if allowed < 1 {
		b.addInfeasible("budget %q: max_out allows %d of its %d units out, and %s is one of them (%d of the release)",
			budget.Name, allowed, unitCount, affected[0].ID, len(affected))
	}
	if len(affected) == len(b.selected) {
		b.MaxUnavailable = min(b.MaxUnavailable, allowed)
	}
}

// checkWarmingUp checks a budget's limit on warming capacity.
func (b *previewBuilder) checkWarmingUp(budget *disruption.Budget, affected []*disruption.Unit, unitCount int, meanCapacity float64) {
	allowed, limited := warmingUpAllowed(budget.MaxWarmingUp, unitCount, meanCapacity)
	if !limited {
		return
	}
	for _, unit := range affected {
		if capacity := EffectiveCapacity(unit); capacity > allowed+roundingTolerance {
			b.addInfeasible("budget %q: max_cold allows a capacity of %.3g cold, and %s alone is %.3g",
				budget.Name, allowed, unit.ID, capacity)
			return
		}
	}
}

// checkSingleServerGroups reports the pod groups and zones whose only server belongs to the release. The ledger always keeps
// at least one server of each pod group and zone in service.
func (b *previewBuilder) checkSingleServerGroups() {
	if b.plan.Kind() != disruption.KindServer {
		return
	}
	groupSizes := map[string]int{}
	for i := range b.units {
		if b.units[i].Kind != disruption.KindServer {
			continue
		}
		for _, group := range groupNames(&b.units[i]) {
			groupSizes[group]++
		}
	}
	for i := range b.selected {
		for _, group := range groupNames(&b.selected[i]) {
			if groupSizes[group] == 1 {
				b.addInfeasible("%s is %s alone: neither a pod group nor a zone is ever wholly out", group, b.selected[i].ID)
			}
		}
	}
}

// groupNames names the pod group and the zone of a server, as shown in Infeasible.
func groupNames(unit *disruption.Unit) []string {
	return []string{fmt.Sprintf("pod group %d", unit.PodGroup), fmt.Sprintf("zone %q", unit.Zone)}
}

// computeTotals sums, by zone and for the fleet, the capacity of all units of the release's kind, and that of the units that
// are up.
func (b *previewBuilder) computeTotals() {
	kind := b.selected[0].Kind
	for i := range b.units {
		unit := &b.units[i]
		if unit.Kind != kind {
			continue
		}
		for _, zone := range []string{unit.Zone, ""} {
			capacity := b.RemainingCapacity[zone]
			capacity.Total += EffectiveCapacity(unit)
			if unit.Condition == disruption.ConditionUp {
				capacity.Remaining += EffectiveCapacity(unit)
			}
			b.RemainingCapacity[zone] = capacity
		}
	}
}

// subtractUnavailable subtracts the worst case from the remaining capacity: the MaxUnavailable largest units of the release
// are unavailable, in each zone and in the fleet.
func (b *previewBuilder) subtractUnavailable() {
	capacities := map[string][]float64{} // by zone, of the release's units that are up
	for i := range b.selected {
		unit := &b.selected[i]
		if unit.Condition != disruption.ConditionUp {
			continue
		}
		capacities[unit.Zone] = append(capacities[unit.Zone], EffectiveCapacity(unit))
		if unit.Zone != "" {
			capacities[""] = append(capacities[""], EffectiveCapacity(unit))
		}
	}
	for zone, zoneCapacities := range capacities {
		slices.Sort(zoneCapacities)
		capacity := b.RemainingCapacity[zone]
		for i := range min(max(b.MaxUnavailable, 0), len(zoneCapacities)) {
			capacity.Remaining -= zoneCapacities[len(zoneCapacities)-1-i]
		}
		b.RemainingCapacity[zone] = capacity
	}
}
