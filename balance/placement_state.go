package balance

import (
	"math"
	"slices"
)

// activePlacement is the placement in force. Balancer.placement is nil before the first Placement event.
type activePlacement struct {
	exclusions    []Exclusion
	hotKeys       map[uint64]*hotKeyState
	nextExpiry    float64               // the earliest expiry of an entry
	exclusionSets map[int]*exclusionSet // by tenant; cached until the endpoint list or the placement changes
	suspended     map[int]bool          // IDs of exclusions that were not applied since the last call of SuspendedExclusions
}

// exclusionSet is the set of servers that the requests of a tenant avoid.
type exclusionSet struct {
	servers   []*server
	applied   []int // IDs of the applied exclusions
	suspended []int // IDs of the exclusions that would leave too few servers
}

// hotKeyState is a hot key with its normalized load fractions.
type hotKeyState struct {
	replicas  []Replica
	phase     float64 // of the turns of its replicas, 0 to 1; see nextReplica
	expiresAt float64
}

// onPlacement replaces the placement. It omits expired and invalid entries. A hot key that was active keeps its
// phase.
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
			// Sidecars that receive a placement together must not select the same replica at the same time.
			state.phase = b.random()
		}
		active.hotKeys[hotKey.Key] = state
	}
	b.placement = active
	active.removeExpired(b.now)
}

// expire removes the entries that have expired, if there are any.
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

// invalidateExclusionSets drops the cached exclusion sets after a change of the endpoint list.
func (b *Balancer) invalidateExclusionSets() {
	if b.placement != nil {
		clear(b.placement.exclusionSets)
	}
}

// SuspendedExclusions returns the IDs, in ascending order, of the exclusions that a pick since the last call did not
// apply because too few servers would have remained.
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

// readyCapacity returns the total capacity of the ready servers.
func (b *Balancer) readyCapacity() float64 {
	total := 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			total += s.RelativeCapacity
		}
	}
	return total
}

// markExcluded adds the ready servers of an exclusion to a set and marks them as excluded. It returns remaining,
// reduced by their capacity.
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

// excludedServers is the set of servers that the current pick avoids.
type excludedServers struct {
	servers    []*server
	inRotation int     // number of them in the rotation
	inFlight   int     // attempts of this sidecar at those in the rotation
	weight     float64 // of those in the rotation; without key affinity, of those that are not ejected
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

// subtractExcluded sums up the excluded servers and returns the total weight without them.
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
