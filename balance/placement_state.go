package balance

import (
	"math"
	"slices"
)

// activePlacement is the placement that applies. There is none before the first event that brings one.
type activePlacement struct {
	exclusions    []Exclusion
	hotKeys       map[uint64]*hotKeyState
	nextExpiry    float64               // of any entry
	exclusionSets map[int]*exclusionSet // by tenant, until the endpoint list or the placement changes
	suspended     map[int]bool          // exclusions that were not applied since the last SuspendedExclusions
}

// exclusionSet is what the requests of a tenant avoid.
type exclusionSet struct {
	servers   []*server
	applied   []int // exclusions, by ID
	suspended []int // exclusions that would leave too little
}

// hotKeyState is a hot key with the load fractions that apply.
type hotKeyState struct {
	replicas  []Replica
	phase     float64 // of its turns, 0 to 1; see nextReplica
	expiresAt float64
}

// onPlacement replaces the placement. Expired and invalid entries are left out; a hot key that stays retains its phase.
func (b *Balancer) onPlacement(ev *Placement) {
	old := b.placement
	active := &activePlacement{
		hotKeys:       map[uint64]*hotKeyState{},
		exclusionSets: map[int]*exclusionSet{},
		suspended:     map[int]bool{},
	}
	if old != nil {
		active.suspended = old.suspended
	}
	for _, exclusion := range ev.Exclusions {
		if exclusion.ExpiresAt > b.now && len(exclusion.Servers) > 0 {
			exclusion.Servers = slices.Clone(exclusion.Servers)
			active.exclusions = append(active.exclusions, exclusion)
		}
	}
	for i := range ev.HotKeys {
		hotKey := &ev.HotKeys[i]
		valid := hotKey.ExpiresAt > b.now && hotKey.Key != 0 && len(hotKey.Replicas) > 0
		if !valid {
			continue
		}
		state := &hotKeyState{replicas: slices.Clone(hotKey.Replicas), expiresAt: hotKey.ExpiresAt}
		normalizeLoadFractions(state.replicas)
		if old != nil && old.hotKeys[hotKey.Key] != nil {
			state.phase = old.hotKeys[hotKey.Key].phase
		} else {
			state.phase = b.random() // sidecars that are notified together must not choose in step
		}
		active.hotKeys[hotKey.Key] = state
	}
	b.placement = active
	active.removeExpired(b.now)
}

// expire removes the entries that have expired, if any has.
func (p *activePlacement) expire(now float64) {
	if now >= p.nextExpiry {
		p.removeExpired(now)
	}
}

func (p *activePlacement) removeExpired(now float64) {
	p.exclusions = slices.DeleteFunc(p.exclusions, func(e Exclusion) bool { return now >= e.ExpiresAt })
	p.nextExpiry = math.Inf(1)
	for i := range p.exclusions {
		p.nextExpiry = math.Min(p.nextExpiry, p.exclusions[i].ExpiresAt)
	}
	for key, state := range p.hotKeys {
		if now >= state.expiresAt {
			delete(p.hotKeys, key)
		} else {
			p.nextExpiry = math.Min(p.nextExpiry, state.expiresAt)
		}
	}
	clear(p.exclusionSets)
}

func (p *activePlacement) recordSuspended(ids []int) {
	for _, id := range ids {
		p.suspended[id] = true
	}
}

// invalidateExclusionSets has them computed again: the endpoint list has changed.
func (b *Balancer) invalidateExclusionSets() {
	if b.placement != nil {
		clear(b.placement.exclusionSets)
	}
}

// SuspendedExclusions lists the exclusions, by ID in ascending order, that a pick since the last call did not apply: too
// little would have remained.
func (b *Balancer) SuspendedExclusions() []int {
	if b.placement == nil || len(b.placement.suspended) == 0 {
		return nil
	}
	var ids []int
	for id := range b.placement.suspended {
		ids = append(ids, id)
	}
	clear(b.placement.suspended)
	slices.Sort(ids)
	return ids
}

// readyCapacity is the capacity of all ready servers.
func (b *Balancer) readyCapacity() float64 {
	total := 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			total += s.RelativeCapacity
		}
	}
	return total
}

// markExcluded adds the ready servers of an exclusion to a set and marks them. It returns what remains of a capacity.
func (b *Balancer) markExcluded(set *exclusionSet, exclusion *Exclusion, remaining float64) float64 {
	for _, id := range exclusion.Servers {
		if s := b.serversByID[id]; s != nil && s.State == Ready && !s.excluded {
			s.excluded = true
			set.servers = append(set.servers, s)
			remaining -= s.RelativeCapacity
		}
	}
	return remaining
}

func clearExcluded(servers []*server) {
	for _, s := range servers {
		s.excluded = false
	}
}

// excludedServers is what the current pick avoids.
type excludedServers struct {
	servers    []*server
	inRotation int     // those in the rotation
	inFlight   int     // attempts of this sidecar at them
	weight     float64 // of those in the rotation; without key affinity of those that are not ejected
}

// exclude keeps servers out of picks until endExclusion.
func (b *Balancer) exclude(servers []*server) {
	b.selection.excluded = excludedServers{servers: servers}
	for _, s := range servers {
		s.excluded = true
	}
}

func (b *Balancer) endExclusion() {
	clearExcluded(b.selection.excluded.servers)
	b.selection.excluded = excludedServers{}
}

// subtractExcluded sums up the excluded servers and returns what remains of the sum of the weights.
func (b *Balancer) subtractExcluded(totalWeight float64) float64 {
	excluded := &b.selection.excluded
	for _, s := range excluded.servers {
		if s.inRotation {
			excluded.inRotation++
			excluded.inFlight += s.inFlight
			excluded.weight += b.currentWeight(s)
		} else if !b.config.KeyAffinity && !b.isEjected(s) {
			excluded.weight += b.weight(s)
		}
	}
	return math.Max(totalWeight-excluded.weight, minWeight)
}
