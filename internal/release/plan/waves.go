package plan

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"milldeck/internal/disruption"
)

// roundingTolerance compensates for rounding errors in products of shares and counts, and in sums of capacities.
const roundingTolerance = 1e-9

// SelectUnits returns the units that a plan changes, in the order of their updates. The order is that of a hash of their
// IDs, which spreads neighbours in a rack or pod group over the waves.
func SelectUnits(p *Plan, units []disruption.Unit) []disruption.Unit {
	selector := p.Selector
	selector.Kind = p.Kind()
	var selected []disruption.Unit
	for i := range units {
		if selector.Matches(&units[i]) {
			selected = append(selected, units[i])
		}
	}
	orderHash := func(id string) uint64 { return xxhash.Sum64String(p.Name + "\x00" + id) }
	slices.SortFunc(selected, func(a, b disruption.Unit) int {
		return cmp.Or(cmp.Compare(orderHash(a.ID), orderHash(b.ID)), strings.Compare(a.ID, b.ID))
	})
	return selected
}

// AssignWaves divides the selected units, in their order, among the plan's waves, and returns the units' IDs by wave. Within
// a wave the units are grouped by zone, because planned disruptions are not meant to affect two zones at once.
func AssignWaves(p *Plan, selected []disruption.Unit) [][]string {
	remaining, zones := map[string][]string{}, []string{}
	for i := range selected {
		unit := &selected[i]
		if remaining[unit.Zone] == nil {
			zones = append(zones, unit.Zone)
		}
		remaining[unit.Zone] = append(remaining[unit.Zone], unit.ID)
	}
	slices.Sort(zones)
	zoneSizes := map[string]int{}
	for _, zone := range zones {
		zoneSizes[zone] = len(remaining[zone])
	}
	assigned := make([][]string, len(p.Waves))
	for i := range p.Waves {
		wave := &p.Waves[i]
		for _, zone := range zones {
			if wave.Zone != "" && wave.Zone != zone {
				continue
			}
			count := min(wave.unitsFromZone(zoneSizes[zone]), len(remaining[zone]))
			assigned[i] = append(assigned[i], remaining[zone][:count]...)
			remaining[zone] = remaining[zone][count:]
		}
	}
	return assigned
}

// unitsFromZone returns how many units the wave takes from a zone with zoneSize units of the release, if earlier waves have left
// that many.
func (w *Wave) unitsFromZone(zoneSize int) int {
	switch {
	case w.Count != nil:
		return *w.Count
	case w.Share != nil:
		return int(math.Ceil(*w.Share*float64(zoneSize) - roundingTolerance))
	}
	return zoneSize
}

// MaxUnavailable returns how many of its unitCount units the release's own limit allows to be unavailable at once, at least
// one.
func (p *Plan) MaxUnavailable(unitCount int) int {
	maxUnavailable, limited := unitsAllowed(p.Limits.MaxUnavailable, unitCount)
	if !limited {
		return 1
	}
	return max(maxUnavailable, 1)
}

// unitsAllowed returns how many of unitCount units a limit allows, and whether the limit is set.
func unitsAllowed(limit disruption.Limit, unitCount int) (allowed int, limited bool) {
	bound := math.Inf(1)
	if limit.Count != nil {
		bound = float64(*limit.Count)
	}
	if limit.Fraction != nil {
		bound = min(bound, math.Floor(*limit.Fraction*float64(unitCount)+roundingTolerance))
	}
	if math.IsInf(bound, 1) {
		return 0, false
	}
	return int(bound), true
}

// warmingUpAllowed returns how much of the capacity of unitCount units a limit allows to warm up at once, and whether the
// limit is set. A count stands for that many units of mean capacity.
func warmingUpAllowed(limit disruption.Limit, unitCount int, meanCapacity float64) (allowed float64, limited bool) {
	bound := math.Inf(1)
	if limit.Count != nil {
		bound = float64(*limit.Count) * meanCapacity
	}
	if limit.Fraction != nil {
		bound = min(bound, *limit.Fraction*float64(unitCount)*meanCapacity)
	}
	return bound, !math.IsInf(bound, 1)
}

// EffectiveCapacity returns a unit's relative capacity, 1 if it is not set.
func EffectiveCapacity(unit *disruption.Unit) float64 {
	if unit.Capacity == 0 {
		return 1
	}
	return unit.Capacity
}
