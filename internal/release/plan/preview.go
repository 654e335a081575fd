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

// previewBuilder is a dry run under way, with what it is made of.
type previewBuilder struct {
	*Preview
	plan     *Plan
	units    []disruption.Unit // of the fleet
	selected []disruption.Unit // of the release, in order
}

// NewPreview makes a dry run of a plan for a fleet and its budgets, which may be in any order. What budgets merely delay is
// not infeasible.
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
	builder.checkGroups()
	builder.computeTotals()
	builder.subtractUnavailable()
	return result
}

func (b *previewBuilder) addInfeasible(format string, args ...any) {
	b.Infeasible = append(b.Infeasible, fmt.Sprintf(format, args...))
}

// previewWaves divides the units into waves. Each unit has to be in one, and each wave has to have one.
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

// checkBudgets finds the budgets that do not allow a single unit of the release, even when nothing else is out. The limits
// of the plan itself are checked as one more budget.
func (b *previewBuilder) checkBudgets(budgets []disruption.Budget) {
	sorted := slices.Clone(budgets)
	slices.SortFunc(sorted, func(a, b disruption.Budget) int { return strings.Compare(a.Name, b.Name) })
	own := disruption.Budget{Name: "limits of " + b.plan.Name, MaxWarmingUp: b.plan.Limits.MaxWarmingUp}
	for i := range b.selected {
		own.Selector.IDs = append(own.Selector.IDs, b.selected[i].ID)
	}
	for _, budget := range append(sorted, own) {
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

// checkUnavailable checks a budget's bound on unavailable units.
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

// checkWarmingUp checks a budget's bound on warming capacity.
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

// checkGroups finds the pod groups and zones that have only one server, which the release would take out: the ledger never
// lets one be out as a whole.
func (b *previewBuilder) checkGroups() {
	if b.plan.Kind() != disruption.KindServer {
		return
	}
	sizes := map[string]int{}
	for i := range b.units {
		if b.units[i].Kind != disruption.KindServer {
			continue
		}
		for _, group := range groupsOf(&b.units[i]) {
			sizes[group]++
		}
	}
	for i := range b.selected {
		for _, group := range groupsOf(&b.selected[i]) {
			if sizes[group] == 1 {
				b.addInfeasible("%s is %s alone: neither a pod group nor a zone is ever wholly out", group, b.selected[i].ID)
			}
		}
	}
}

// groupsOf names the groups of a server that must not be out as a whole.
func groupsOf(unit *disruption.Unit) []string {
	return []string{fmt.Sprintf("pod group %d", unit.PodGroup), fmt.Sprintf("zone %q", unit.Zone)}
}

// computeTotals sums the capacity of the release's kind of units by zone, and that of the units that are up.
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

// subtractUnavailable takes the worst case off the remaining capacity: that in each zone, and in the fleet, the largest
// MaxUnavailable units of the release are out.
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
	for zone, ascending := range capacities {
		slices.Sort(ascending)
		capacity := b.RemainingCapacity[zone]
		for i := range min(max(b.MaxUnavailable, 0), len(ascending)) {
			capacity.Remaining -= ascending[len(ascending)-1-i]
		}
		b.RemainingCapacity[zone] = capacity
	}
}
