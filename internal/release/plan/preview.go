package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/disruption"
)

// Preview is a dry run: what would move, and what the fleet keeps meanwhile.
type Preview struct {
	Name              string              `json:"name"`
	Hash              string              `json:"hash"`
	Waves             []PreviewWave       `json:"waves"`
	MaxUnavailable    int                 `json:"max_out"` // units of the release out at once, by its limits and the budgets
	RemainingCapacity map[string]Capacity `json:"stays"`   // capacity while that many are out, by zone; "" for the fleet
	WarmUpCapacity    float64             `json:"cold"`    // capacity that is warmed anew, in all
	Infeasible        []string            `json:"refused,omitempty"`
}

// PreviewWave is one wave of a dry run.
type PreviewWave struct {
	Units          []string `json:"units"` // in the order in which they go
	BakeSeconds    float64  `json:"bake_s"`
	WarmUpCapacity float64  `json:"cold"`  // capacity that the wave warms anew
	UpdatedShare   float64  `json:"share"` // of the release's units that are moved once it is over
}

// Capacity is capacity that stays, of all that there is.
type Capacity struct {
	Remaining float64 `json:"stays"`
	Total     float64 `json:"all"`
}

// NewPreview draws the waves of a plan for a fleet and tells what budgets can never allow: what they merely hold back for now
// is no refusal. Units and budgets may come in any order.
func NewPreview(p *Plan, units []disruption.Unit, budgets []disruption.Budget) *Preview {
	preview := &Preview{Name: p.Name, Hash: p.Hash(), RemainingCapacity: map[string]Capacity{}}
	selected := SelectUnits(p, units)
	if len(selected) == 0 {
		preview.addInfeasible("the plan selects no %s of %d units", p.Kind(), len(units))
		return preview
	}
	waves := AssignWaves(p, selected)
	byID := make(map[string]disruption.Unit, len(selected))
	for _, u := range selected {
		byID[u.ID] = u
	}
	assigned := 0
	for i, ids := range waves {
		wave := PreviewWave{Units: ids, BakeSeconds: p.Waves[i].BakeSeconds}
		assigned += len(ids)
		wave.UpdatedShare = float64(assigned) / float64(len(selected))
		if p.Kind() == disruption.KindServer {
			for _, id := range ids {
				wave.WarmUpCapacity += effectiveCapacity(byID[id])
			}
		}
		preview.WarmUpCapacity += wave.WarmUpCapacity
		preview.Waves = append(preview.Waves, wave)
		if len(ids) == 0 {
			preview.addInfeasible("wave[%d] has no units: earlier waves take all of its zone, or the zone has none", i)
		}
	}
	if unassigned := len(selected) - assigned; unassigned > 0 {
		preview.addInfeasible("%d of %d units are in no wave: let the last wave take all that is left (neither count nor share)", unassigned, len(selected))
	}
	preview.MaxUnavailable = p.MaxUnavailable(len(selected))
	if !p.restartsUnits() {
		preview.MaxUnavailable = min(preview.MaxUnavailable, len(selected))
	}
	preview.checkBudgets(p, selected, units, budgets)
	preview.checkGroups(p, selected, units)
	preview.computeRemainingCapacity(selected, units)
	return preview
}

func (v *Preview) addInfeasible(format string, args ...any) {
	v.Infeasible = append(v.Infeasible, fmt.Sprintf(format, args...))
}

// checkBudgets tells which budget has no room for a single unit even when nothing else is out.
func (v *Preview) checkBudgets(plan *Plan, selected, units []disruption.Unit, checkBudgets []disruption.Budget) {
	checkBudgets = slices.Clone(checkBudgets)
	slices.SortFunc(checkBudgets, func(a, budget disruption.Budget) int { return strings.Compare(a.Name, budget.Name) })
	ownLimits := disruption.Budget{Name: "limits of " + plan.Name, MaxWarmingUp: plan.Limits.MaxWarmingUp}
	for _, unit := range selected {
		ownLimits.Selector.IDs = append(ownLimits.Selector.IDs, unit.ID)
	}
	for _, budget := range append(checkBudgets, ownLimits) {
		unitCount, totalCapacity := 0, 0.0
		for _, unit := range units {
			if budget.Selector.Matches(&unit) {
				unitCount++
				totalCapacity += effectiveCapacity(unit)
			}
		}
		var affected []disruption.Unit
		for _, unit := range selected {
			if budget.Selector.Matches(&unit) {
				affected = append(affected, unit)
			}
		}
		if len(affected) == 0 {
			continue
		}
		if maxUnavailable, limited := unitsAllowed(budget.MaxUnavailable, float64(unitCount)); limited {
			if maxUnavailable < 1 {
				v.addInfeasible("budget %q: max_out allows %d of its %d units out, and %s is one of them (%d of the release)",
					budget.Name, int(maxUnavailable), unitCount, affected[0].ID, len(affected))
			}
			if len(affected) == len(selected) {
				v.MaxUnavailable = min(v.MaxUnavailable, int(maxUnavailable))
			}
		}
		if plan.Kind() != disruption.KindServer || unitCount == 0 {
			continue
		}
		// A count of cold is in units of mean capacity, a share is of the capacity.
		meanCapacity := totalCapacity / float64(unitCount)
		if maxWarmingUp, limited := warmingUpAllowed(budget.MaxWarmingUp, float64(unitCount), meanCapacity); limited {
			for _, unit := range affected {
				if effectiveCapacity(unit) > maxWarmingUp+1e-9 {
					v.addInfeasible("budget %q: max_cold allows a capacity of %.3g cold, and %s alone is %.3g", budget.Name, maxWarmingUp, unit.ID, effectiveCapacity(unit))
					break
				}
			}
		}
	}
}

// checkGroups tells which pod group or zone would be wholly out with one of its servers: that is never granted.
func (v *Preview) checkGroups(p *Plan, selected, units []disruption.Unit) {
	if p.Kind() != disruption.KindServer {
		return
	}
	sizes := map[string]int{}
	pod := func(u disruption.Unit) string { return fmt.Sprintf("pod group %d", u.PodGroup) }
	zone := func(u disruption.Unit) string { return fmt.Sprintf("zone %q", u.Zone) }
	for _, u := range units {
		if u.Kind == disruption.KindServer {
			sizes[pod(u)]++
			sizes[zone(u)]++
		}
	}
	for _, u := range selected {
		for _, group := range []string{pod(u), zone(u)} {
			if sizes[group] == 1 {
				v.addInfeasible("%s is %s alone: neither a pod group nor a zone is ever wholly out", group, u.ID)
			}
		}
	}
}

// computeRemainingCapacity works out the capacity that stays in each zone while the largest MaxUnavailable units of the release there are out.
func (v *Preview) computeRemainingCapacity(selected, units []disruption.Unit) {
	kind := selected[0].Kind
	for _, unit := range units {
		if unit.Kind != kind {
			continue
		}
		for _, zone := range []string{unit.Zone, ""} {
			remaining := v.RemainingCapacity[zone]
			remaining.Total += effectiveCapacity(unit)
			if unit.Condition == disruption.ConditionUp {
				remaining.Remaining += effectiveCapacity(unit)
			}
			v.RemainingCapacity[zone] = remaining
		}
	}
	byZone := map[string][]float64{}
	for _, unit := range selected {
		if unit.Condition == disruption.ConditionUp {
			byZone[unit.Zone] = append(byZone[unit.Zone], effectiveCapacity(unit))
			if unit.Zone != "" {
				byZone[""] = append(byZone[""], effectiveCapacity(unit))
			}
		}
	}
	for zone, capacities := range byZone {
		slices.Sort(capacities)
		remaining := v.RemainingCapacity[zone]
		for i := range min(max(v.MaxUnavailable, 0), len(capacities)) {
			remaining.Remaining -= capacities[len(capacities)-1-i]
		}
		v.RemainingCapacity[zone] = remaining
	}
}

// restartsUnits tells whether units are out while they move: a configuration alone is read again by one that serves on.
func (p *Plan) restartsUnits() bool {
	return p.Change.ServerVersion != "" || p.Change.SidecarVersion != ""
}

// MaxUnavailable is how many of n units the release itself lets out at once, at least one.
func (p *Plan) MaxUnavailable(unitCount int) int {
	maxUnavailable, limited := unitsAllowed(p.Limits.MaxUnavailable, float64(unitCount))
	if !limited {
		return 1
	}
	return max(int(maxUnavailable), 1)
}

// SelectUnits are those that a plan moves, in the order of their going: by a hash of their name, so that a wave's units are no
// neighbours of one rack or pod.
func SelectUnits(p *Plan, units []disruption.Unit) []disruption.Unit {
	selector := p.Selector
	selector.Kind = p.Kind()
	var selected []disruption.Unit
	for _, u := range units {
		if selector.Matches(&u) {
			selected = append(selected, u)
		}
	}
	position := func(u disruption.Unit) uint64 { return xxhash.Sum64String(p.Name + "\x00" + u.ID) }
	slices.SortFunc(selected, func(a, b disruption.Unit) int {
		if x, y := position(a), position(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return selected
}

// AssignWaves divides units, in the order of Units, among the plan's waves. Within a wave zone follows zone, as two zones are
// never out together for planned reasons.
func AssignWaves(p *Plan, units []disruption.Unit) [][]string {
	byZone, zones := map[string][]string{}, []string{}
	for _, u := range units {
		if byZone[u.Zone] == nil {
			zones = append(zones, u.Zone)
		}
		byZone[u.Zone] = append(byZone[u.Zone], u.ID)
	}
	slices.Sort(zones)
	zoneSizes := map[string]int{}
	for _, zone := range zones {
		zoneSizes[zone] = len(byZone[zone])
	}
	assigned := make([][]string, len(p.Waves))
	for i, wave := range p.Waves {
		for _, zone := range zones {
			if wave.Zone != "" && wave.Zone != zone {
				continue
			}
			count := len(byZone[zone])
			switch {
			case wave.Count != nil:
				count = min(count, *wave.Count)
			case wave.Share != nil:
				count = min(count, int(math.Ceil(*wave.Share*float64(zoneSizes[zone])-1e-9)))
			}
			assigned[i] = append(assigned[i], byZone[zone][:count]...)
			byZone[zone] = byZone[zone][count:]
		}
	}
	return assigned
}

// unitsAllowed is how many of n a limit lets out, and whether it bounds at all.
func unitsAllowed(limit disruption.Limit, unitCount float64) (float64, bool) {
	allowed := math.Inf(1)
	if limit.Count != nil {
		allowed = float64(*limit.Count)
	}
	if limit.Fraction != nil {
		allowed = min(allowed, math.Floor(*limit.Fraction*unitCount+1e-9))
	}
	return allowed, !math.IsInf(allowed, 1)
}

// warmingUpAllowed is how much capacity of n units of mean capacity a limit lets be cold, and whether it bounds at all.
func warmingUpAllowed(limit disruption.Limit, unitCount, meanCapacity float64) (float64, bool) {
	allowed := math.Inf(1)
	if limit.Count != nil {
		allowed = float64(*limit.Count) * meanCapacity
	}
	if limit.Fraction != nil {
		allowed = min(allowed, *limit.Fraction*unitCount*meanCapacity)
	}
	return allowed, !math.IsInf(allowed, 1)
}

func effectiveCapacity(unit disruption.Unit) float64 {
	if unit.Capacity == 0 {
		return 1
	}
	return unit.Capacity
}
