package balance

import (
	"math"
	"slices"
)

// This file holds the placement that is in force and what a pick needs of it. What it changes is decided in
// placement.go.

// placement is the placement in force. There is none before the first event that brings one.
type activePlacement struct {
	exclusions    []Exclusion
	hotKeys       map[uint64]*hotKeyState
	nextExpiry    float64               // the next end of an entry
	exclusionSets map[int]*exclusionSet // by tenant, until the list or the placement changes
	suspended     map[int]bool          // entries not followed since the last ask
}

// exclusionSet is what the requests of a tenant keep off.
type exclusionSet struct {
	servers   []*server
	applied   []int // entries, by ID
	suspended []int // ... that would leave too little
}

// hotKeyState is a key's copies, with the shares that they get.
type hotKeyState struct {
	replicas  []Replica
	phase     float64 // where in its turn the key is, 0 to 1
	expiresAt float64
}

// onPlacement takes over a whole placement. What is over or cannot be is left out; a key that stays goes on in its turn.
func (b *Balancer) onPlacement(ev *Placement) {
	old := b.placement
	active := &activePlacement{hotKeys: map[uint64]*hotKeyState{}, exclusionSets: map[int]*exclusionSet{}, suspended: map[int]bool{}}
	if old != nil {
		active.suspended = old.suspended
	}
	for _, exclusion := range ev.Exclusions {
		if exclusion.ExpiresAt > b.now && len(exclusion.Servers) > 0 {
			exclusion.Servers = slices.Clone(exclusion.Servers)
			active.exclusions = append(active.exclusions, exclusion)
		}
	}
	for _, spec := range ev.HotKeys {
		if !(spec.ExpiresAt > b.now) || spec.Key == 0 || len(spec.Replicas) == 0 {
			continue
		}
		state := &hotKeyState{replicas: slices.Clone(spec.Replicas), expiresAt: spec.ExpiresAt}
		normalizeLoadFractions(state.replicas)
		if old != nil && old.hotKeys[spec.Key] != nil {
			state.phase = old.hotKeys[spec.Key].phase
		} else {
			state.phase = b.random() // sidecars that are told together start apart
		}
		active.hotKeys[spec.Key] = state
	}
	b.placement = active
	active.removeExpired(b)
}

// expire ends what is over by now.
func (p *activePlacement) expire(b *Balancer) {
	if b.now >= p.nextExpiry {
		p.removeExpired(b)
	}
}

func (p *activePlacement) removeExpired(b *Balancer) {
	p.exclusions = slices.DeleteFunc(p.exclusions, func(k Exclusion) bool { return b.now >= k.ExpiresAt })
	p.nextExpiry = math.Inf(1)
	for i := range p.exclusions {
		p.nextExpiry = math.Min(p.nextExpiry, p.exclusions[i].ExpiresAt)
	}
	for key, s := range p.hotKeys {
		if b.now >= s.expiresAt {
			delete(p.hotKeys, key)
		} else {
			p.nextExpiry = math.Min(p.nextExpiry, s.expiresAt)
		}
	}
	clear(p.exclusionSets)
}

func (p *activePlacement) recordSuspended(ids []int) {
	for _, id := range ids {
		p.suspended[id] = true
	}
}

// invalidateExclusionSets has what is kept off worked out anew: the list has changed.
func (b *Balancer) invalidateExclusionSets() {
	if b.placement != nil {
		clear(b.placement.exclusionSets)
	}
}

// SuspendedExclusions lists the keep-off entries, by ID in rising order, that a pick since the last call did not follow:
// too little would have been left.
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

// excludedServers is what the current pick keeps off.
type excludedServers struct {
	servers    []*server
	inRotation int     // those in the rotation
	inFlight   int     // ... what they hold
	weight     float64 // ... and their weight; without a rotation that of all that do not rest
}

// exclude keeps servers out of picks until show.
func (b *Balancer) exclude(servers []*server) {
	b.excluded = excludedServers{servers: servers}
	for _, s := range servers {
		s.excluded = true
	}
}

// subtractExcluded takes what is hidden out of the sums of the rotation, and returns that of the weights left.
func (b *Balancer) subtractExcluded(totalWeight float64) float64 {
	excluded := &b.excluded
	for _, s := range excluded.servers {
		if s.inRotation {
			excluded.inRotation++
			excluded.inFlight += s.inFlight
			excluded.weight += b.currentWeight(s)
		} else if !b.config.KeyAffinity && !b.isEjected(s) {
			excluded.weight += b.weight(s)
		}
	}
	return math.Max(totalWeight-excluded.weight, 1e-6)
}

func (b *Balancer) endExclusion() {
	for _, s := range b.excluded.servers {
		s.excluded = false
	}
	b.excluded = excludedServers{}
}
