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
	Name    string         `json:"name"`
	Hash    string         `json:"hash"`
	Waves   []PreviewWave  `json:"waves"`
	MaxOut  int            `json:"max_out"` // units of the release out at once, by its limits and the budgets
	Stays   map[string]Cap `json:"stays"`   // capacity while that many are out, by zone; "" for the fleet
	Cold    float64        `json:"cold"`    // capacity that is warmed anew, in all
	Refused []string       `json:"refused,omitempty"`
}

// PreviewWave is one wave of a dry run.
type PreviewWave struct {
	Units []string `json:"units"` // in the order in which they go
	Bake  float64  `json:"bake_s"`
	Cold  float64  `json:"cold"`  // capacity that the wave warms anew
	Share float64  `json:"share"` // of the release's units that are moved once it is over
}

// Cap is capacity that stays, of all that there is.
type Cap struct {
	Stays float64 `json:"stays"`
	All   float64 `json:"all"`
}

// Check draws the waves of a plan for a fleet and tells what budgets can never allow: what they merely hold back for now
// is no refusal. Units and budgets may come in any order.
func Check(p *Plan, units []disruption.Unit, budgets []disruption.Budget) *Preview {
	v := &Preview{Name: p.Name, Hash: p.Hash(), Stays: map[string]Cap{}}
	moved := Units(p, units)
	if len(moved) == 0 {
		v.refuse("the plan selects no %s of %d units", p.Kind(), len(units))
		return v
	}
	waves := Waves(p, moved)
	byID := make(map[string]disruption.Unit, len(moved))
	for _, u := range moved {
		byID[u.ID] = u
	}
	done := 0
	for i, ids := range waves {
		w := PreviewWave{Units: ids, Bake: p.Waves[i].Bake}
		done += len(ids)
		w.Share = float64(done) / float64(len(moved))
		if p.Kind() == disruption.KindServer {
			for _, id := range ids {
				w.Cold += capacity(byID[id])
			}
		}
		v.Cold += w.Cold
		v.Waves = append(v.Waves, w)
		if len(ids) == 0 {
			v.refuse("wave[%d] has no units: earlier waves take all of its zone, or the zone has none", i)
		}
	}
	if left := len(moved) - done; left > 0 {
		v.refuse("%d of %d units are in no wave: let the last wave take all that is left (neither count nor share)", left, len(moved))
	}
	v.MaxOut = p.MaxOut(len(moved))
	if !p.restarts() {
		v.MaxOut = min(v.MaxOut, len(moved))
	}
	v.budgets(p, moved, units, budgets)
	v.groups(p, moved, units)
	v.stays(moved, units)
	return v
}

func (v *Preview) refuse(format string, args ...any) {
	v.Refused = append(v.Refused, fmt.Sprintf(format, args...))
}

// budgets tells which budget has no room for a single unit even when nothing else is out.
func (v *Preview) budgets(p *Plan, moved, units []disruption.Unit, budgets []disruption.Budget) {
	budgets = slices.Clone(budgets)
	slices.SortFunc(budgets, func(a, b disruption.Budget) int { return strings.Compare(a.Name, b.Name) })
	own := disruption.Budget{Name: "limits of " + p.Name, MaxWarmingUp: p.Limits.MaxCold}
	for _, u := range moved {
		own.Selector.IDs = append(own.Selector.IDs, u.ID)
	}
	for _, b := range append(budgets, own) {
		all, total := 0, 0.0
		for _, u := range units {
			if b.Selector.Matches(&u) {
				all++
				total += capacity(u)
			}
		}
		var hit []disruption.Unit
		for _, u := range moved {
			if b.Selector.Matches(&u) {
				hit = append(hit, u)
			}
		}
		if len(hit) == 0 {
			continue
		}
		if out, bound := allowed(b.MaxUnavailable, float64(all)); bound {
			if out < 1 {
				v.refuse("budget %q: max_out allows %d of its %d units out, and %s is one of them (%d of the release)",
					b.Name, int(out), all, hit[0].ID, len(hit))
			}
			if len(hit) == len(moved) {
				v.MaxOut = min(v.MaxOut, int(out))
			}
		}
		if p.Kind() != disruption.KindServer || all == 0 {
			continue
		}
		// A count of cold is in units of mean capacity, a share is of the capacity.
		mean := total / float64(all)
		if cold, bound := coldAllowed(b.MaxWarmingUp, float64(all), mean); bound {
			for _, u := range hit {
				if capacity(u) > cold+1e-9 {
					v.refuse("budget %q: max_cold allows a capacity of %.3g cold, and %s alone is %.3g", b.Name, cold, u.ID, capacity(u))
					break
				}
			}
		}
	}
}

// groups tells which pod group or zone would be wholly out with one of its servers: that is never granted.
func (v *Preview) groups(p *Plan, moved, units []disruption.Unit) {
	if p.Kind() != disruption.KindServer {
		return
	}
	size := map[string]int{}
	pod := func(u disruption.Unit) string { return fmt.Sprintf("pod group %d", u.PodGroup) }
	zone := func(u disruption.Unit) string { return fmt.Sprintf("zone %q", u.Zone) }
	for _, u := range units {
		if u.Kind == disruption.KindServer {
			size[pod(u)]++
			size[zone(u)]++
		}
	}
	for _, u := range moved {
		for _, g := range []string{pod(u), zone(u)} {
			if size[g] == 1 {
				v.refuse("%s is %s alone: neither a pod group nor a zone is ever wholly out", g, u.ID)
			}
		}
	}
}

// stays works out the capacity that stays in each zone while the largest MaxOut units of the release there are out.
func (v *Preview) stays(moved, units []disruption.Unit) {
	kind := moved[0].Kind
	for _, u := range units {
		if u.Kind != kind {
			continue
		}
		for _, zone := range []string{u.Zone, ""} {
			c := v.Stays[zone]
			c.All += capacity(u)
			if u.Condition == disruption.ConditionUp {
				c.Stays += capacity(u)
			}
			v.Stays[zone] = c
		}
	}
	byZone := map[string][]float64{}
	for _, u := range moved {
		if u.Condition == disruption.ConditionUp {
			byZone[u.Zone] = append(byZone[u.Zone], capacity(u))
			if u.Zone != "" {
				byZone[""] = append(byZone[""], capacity(u))
			}
		}
	}
	for zone, caps := range byZone {
		slices.Sort(caps)
		c := v.Stays[zone]
		for i := range min(max(v.MaxOut, 0), len(caps)) {
			c.Stays -= caps[len(caps)-1-i]
		}
		v.Stays[zone] = c
	}
}

// restarts tells whether units are out while they move: a configuration alone is read again by one that serves on.
func (p *Plan) restarts() bool { return p.What.Server != "" || p.What.Sidecar != "" }

// MaxOut is how many of n units the release itself lets out at once, at least one.
func (p *Plan) MaxOut(n int) int {
	out, bound := allowed(p.Limits.MaxOut, float64(n))
	if !bound {
		return 1
	}
	return max(int(out), 1)
}

// Units are those that a plan moves, in the order of their going: by a hash of their name, so that a wave's units are no
// neighbours of one rack or pod.
func Units(p *Plan, units []disruption.Unit) []disruption.Unit {
	sel := p.Select
	sel.Kind = p.Kind()
	var out []disruption.Unit
	for _, u := range units {
		if sel.Matches(&u) {
			out = append(out, u)
		}
	}
	place := func(u disruption.Unit) uint64 { return xxhash.Sum64String(p.Name + "\x00" + u.ID) }
	slices.SortFunc(out, func(a, b disruption.Unit) int {
		if x, y := place(a), place(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}

// Waves divides units, in the order of Units, among the plan's waves. Within a wave zone follows zone, as two zones are
// never out together for planned reasons.
func Waves(p *Plan, units []disruption.Unit) [][]string {
	byZone, zones := map[string][]string{}, []string{}
	for _, u := range units {
		if byZone[u.Zone] == nil {
			zones = append(zones, u.Zone)
		}
		byZone[u.Zone] = append(byZone[u.Zone], u.ID)
	}
	slices.Sort(zones)
	size := map[string]int{}
	for _, z := range zones {
		size[z] = len(byZone[z])
	}
	out := make([][]string, len(p.Waves))
	for i, w := range p.Waves {
		for _, z := range zones {
			if w.Zone != "" && w.Zone != z {
				continue
			}
			n := len(byZone[z])
			switch {
			case w.Count != nil:
				n = min(n, *w.Count)
			case w.Share != nil:
				n = min(n, int(math.Ceil(*w.Share*float64(size[z])-1e-9)))
			}
			out[i] = append(out[i], byZone[z][:n]...)
			byZone[z] = byZone[z][n:]
		}
	}
	return out
}

// allowed is how many of n a limit lets out, and whether it bounds at all.
func allowed(l disruption.Limit, n float64) (float64, bool) {
	out := math.Inf(1)
	if l.Count != nil {
		out = float64(*l.Count)
	}
	if l.Fraction != nil {
		out = min(out, math.Floor(*l.Fraction*n+1e-9))
	}
	return out, !math.IsInf(out, 1)
}

// coldAllowed is how much capacity of n units of mean capacity a limit lets be cold, and whether it bounds at all.
func coldAllowed(l disruption.Limit, n, mean float64) (float64, bool) {
	out := math.Inf(1)
	if l.Count != nil {
		out = float64(*l.Count) * mean
	}
	if l.Fraction != nil {
		out = min(out, *l.Fraction*n*mean)
	}
	return out, !math.IsInf(out, 1)
}

func capacity(u disruption.Unit) float64 {
	if u.Capacity == 0 {
		return 1
	}
	return u.Capacity
}
