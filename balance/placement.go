package balance

import "math"

// This file decides what the fleet's placement changes: which servers a tenant's requests keep off, while
// enough is left, and how much of a spread key its copies carry. Nothing of it runs before there is one.

const (
	// A copy that is told no share gets a trickle, this part of its key's load: by it a new one gets warm,
	// and one that cools is still warm when it is wanted again.
	trickleFraction = 0.05
	maxTrickleTotal = 0.5 // ... for all of these together: what a hot key's own servers cannot do may as well warm
	// The golden section of a key's turn: steps of it meet each part of the turn as often as it is long,
	// however few they are. Weighted round robin's first picks do not go by weight, and here few come.
	goldenSection = 0.6180339887498949
)

// selectUnderPlacement is choose under a placement: a request keeps off what its tenant is told to, by smooth weighted round
// robin over the rest. Where all the rest rests or is cold and sent enough, serving goes first: the pick is
// done again over all. A repeat goes to a server kept off rather than leave its group, which is all that
// allowed lets it have: that is the rule, and no suspension.
func (b *Balancer) selectUnderPlacement(r *request, retry bool) *server {
	active := b.placement
	if active == nil {
		return b.selectServer(r, retry)
	}
	if active.expire(b); len(active.exclusions) == 0 {
		return b.selectServer(r, retry)
	}
	set := b.exclusionSetFor(r.Tenant)
	active.recordSuspended(set.suspended)
	if len(set.servers) == 0 {
		return b.selectServer(r, retry)
	}
	b.exclude(set.servers)
	s := b.selectServer(r, retry)
	b.endExclusion()
	if s != nil {
		return s
	}
	scopeBound := retry && r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope != ScopeAll
	if s = b.selectServer(r, retry); s != nil && !scopeBound {
		active.recordSuspended(set.applied)
	}
	return s
}

// exclusionSetFor finds what a tenant keeps off now. Entries are followed in the order given, each where it leaves
// its share of the tenant's ready servers, by rating, and the shares of those followed before.
func (b *Balancer) exclusionSetFor(tenant int) *exclusionSet {
	active := b.placement
	if tenant < 0 || tenant >= len(b.config.Tenants) {
		tenant = AllTenants
	}
	if set := active.exclusionSets[tenant]; set != nil {
		return set
	}
	set, totalCapacity, minAvailable := &exclusionSet{}, 0.0, 0.0
	for _, s := range b.servers {
		if s.State == Ready {
			totalCapacity += s.RelativeCapacity
		}
	}
	remaining := totalCapacity
	for i := range active.exclusions {
		k := &active.exclusions[i]
		if k.Tenant != tenant && k.Tenant != AllTenants {
			continue
		}
		start, remainingAfter := len(set.servers), remaining
		for _, id := range k.Servers {
			if s := b.serversByID[id]; s != nil && s.State == Ready && !s.excluded {
				s.excluded = true
				set.servers = append(set.servers, s)
				remainingAfter -= s.RelativeCapacity
			}
		}
		// 1e-9: no share is missed by a rounding error. What is no number is never enough.
		if required := math.Max(minAvailable, k.MinAvailable); remainingAfter >= (required-1e-9)*totalCapacity {
			remaining, minAvailable = remainingAfter, required
			set.applied = append(set.applied, k.ID)
			continue
		}
		for _, s := range set.servers[start:] {
			s.excluded = false
		}
		set.servers = set.servers[:start]
		set.suspended = append(set.suspended, k.ID)
	}
	for _, s := range set.servers {
		s.excluded = false
	}
	active.exclusionSets[tenant] = set
	return set
}

// hotKeyReplica returns the copy of a spread key that carries this request, nil where its own servers do. While a
// copy drains, rests, is kept off, holds more than its share of what is in flight or is cold and sent enough,
// its turns are theirs, whatever it is told to carry.
func (b *Balancer) hotKeyReplica(key uint64) []*server {
	s := b.nextReplica(key)
	if s == nil || !s.inRotation || s.excluded {
		return nil
	}
	if b.prepareCandidate(s); !b.hasCapacity(s) {
		return nil
	}
	b.candidates = append(b.candidates[:0], s)
	return b.candidates
}

// normalizeLoadFractions turns the shares that a placement tells into those that copies get: 1 in all at the most, trickles
// included.
func normalizeLoadFractions(replicas []Replica) {
	total, withoutFraction := 0.0, 0.0
	for i := range replicas {
		c := &replicas[i]
		if c.LoadFraction = math.Min(c.LoadFraction, 1); !(c.LoadFraction > 0) {
			c.LoadFraction = 0
			withoutFraction++
		}
		total += c.LoadFraction
	}
	trickle := math.Min(trickleFraction, maxTrickleTotal/math.Max(withoutFraction, 1))
	scale := math.Min(1, (1-withoutFraction*trickle)/math.Max(total, 1e-9))
	for i := range replicas {
		if replicas[i].LoadFraction *= scale; replicas[i].LoadFraction == 0 {
			replicas[i].LoadFraction = trickle
		}
	}
}

// nextReplica takes the key on to its next turn and returns the copy that has it by the shares. A sidecar that
// has the key on more servers than these by what it meets itself goes by that: copies would narrow it.
func (b *Balancer) nextReplica(key uint64) *server {
	if b.placement == nil || len(b.placement.hotKeys) == 0 {
		return nil
	}
	state := b.placement.hotKeys[key]
	if state == nil {
		return nil
	}
	count := b.candidateCount()
	if b.frequencySubsetSize(key, count) > max(minServersPerKey, count/fleetPerKeyServer)+len(state.replicas) {
		return nil
	}
	state.phase = math.Mod(state.phase+goldenSection, 1)
	cumulative := 0.0
	for _, c := range state.replicas {
		if cumulative += c.LoadFraction; state.phase < cumulative {
			return b.serversByID[c.Server]
		}
	}
	return nil
}
