package balance

import "math"

// This file decides what a placement changes: which servers a tenant's requests avoid, as long as enough
// remain, and how much of a hot key's load its replicas carry. Without a placement none of it applies.

const (
	// A replica without a load fraction receives a trickle of its key's load: a new one warms up by it, and
	// one that is drained stays warm in case it is needed again.
	trickleFraction = 0.05
	maxTrickleTotal = 0.5 // of all trickles together
	// Steps of the golden section meet each part of an interval as often as its length says, however few they
	// are. The first picks of a weighted round robin do not follow the weights, and here there are few.
	goldenSection    = 0.6180339887498949
	fractionRounding = 1e-9 // no fraction is missed by a rounding error
)

// selectUnderPlacement selects a server under the placement: an attempt avoids the servers that its tenant is
// excluded from. Where all others are ejected or have no slow start budget, serving comes first: all servers
// are tried, and the exclusions are suspended. A retry within its deduplication scope may have no other
// server; that suspends nothing.
func (b *Balancer) selectUnderPlacement(r *request, retry bool) *server {
	active := b.placement
	if active == nil {
		return b.selectServer(r, retry)
	}
	active.expire(b.now)
	if len(active.exclusions) == 0 {
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
	scoped := retry && r.class.Idempotency == IdempotentWithKey && r.class.DeduplicationScope != ScopeAll
	if s = b.selectServer(r, retry); s != nil && !scoped {
		active.recordSuspended(set.applied)
	}
	return s
}

// exclusionSetFor returns what a tenant is excluded from now. Exclusions are applied in the order given, each
// where it leaves its own fraction of the tenant's ready servers, by capacity, and those of the exclusions
// before it.
func (b *Balancer) exclusionSetFor(tenant int) *exclusionSet {
	active := b.placement
	if tenant < 0 || tenant >= len(b.config.Tenants) {
		tenant = AllTenants
	}
	if set := active.exclusionSets[tenant]; set != nil {
		return set
	}
	set, total := &exclusionSet{}, b.readyCapacity()
	remaining, minAvailable := total, 0.0
	for i := range active.exclusions {
		exclusion := &active.exclusions[i]
		if exclusion.Tenant != tenant && exclusion.Tenant != AllTenants {
			continue
		}
		start := len(set.servers)
		remainder := b.markExcluded(set, exclusion, remaining)
		required := math.Max(minAvailable, exclusion.MinAvailable) // NaN: never enough
		if remainder >= (required-fractionRounding)*total {
			remaining, minAvailable = remainder, required
			set.applied = append(set.applied, exclusion.ID)
			continue
		}
		clearExcluded(set.servers[start:])
		set.servers = set.servers[:start]
		set.suspended = append(set.suspended, exclusion.ID)
	}
	clearExcluded(set.servers)
	active.exclusionSets[tenant] = set
	return set
}

// hotKeyReplica returns the replica of a hot key that receives this attempt, nil if the key's own servers do.
// The turns of a replica that drains, is ejected, excluded, above its load bound or without slow start budget
// are theirs, whatever its load fraction.
func (b *Balancer) hotKeyReplica(key uint64) []*server {
	s := b.nextReplica(key)
	if s == nil || !s.inRotation || s.excluded {
		return nil
	}
	b.prepareCandidate(s)
	if !b.hasCapacity(s) {
		return nil
	}
	b.selection.candidates = append(b.selection.candidates[:0], s)
	return b.selection.candidates
}

// normalizeLoadFractions turns the fractions of a placement into those that apply: at most 1 in all, with
// trickles.
func normalizeLoadFractions(replicas []Replica) {
	total, trickles := 0.0, 0.0
	for i := range replicas {
		fraction := math.Min(replicas[i].LoadFraction, 1)
		if !(fraction > 0) {
			fraction = 0
			trickles++
		}
		replicas[i].LoadFraction = fraction
		total += fraction
	}
	trickle := math.Min(trickleFraction, maxTrickleTotal/math.Max(trickles, 1))
	scale := math.Min(1, (1-trickles*trickle)/math.Max(total, 1e-9))
	for i := range replicas {
		replicas[i].LoadFraction *= scale
		if replicas[i].LoadFraction == 0 {
			replicas[i].LoadFraction = trickle
		}
	}
}

// nextReplica advances a hot key by one turn and returns the replica whose turn it is by the load fractions.
// Where this sidecar's own traffic distributes the key over more servers than the replicas add, it returns
// nil: they would narrow it.
func (b *Balancer) nextReplica(key uint64) *server {
	if b.placement == nil || len(b.placement.hotKeys) == 0 {
		return nil
	}
	state := b.placement.hotKeys[key]
	if state == nil {
		return nil
	}
	count := b.candidateCount()
	subsetSize := max(minServersPerKey, count/fleetPerKeyServer)
	if b.frequencySubsetSize(key, count) > subsetSize+len(state.replicas) {
		return nil
	}
	state.phase = math.Mod(state.phase+goldenSection, 1)
	cumulative := 0.0
	for _, replica := range state.replicas {
		if cumulative += replica.LoadFraction; state.phase < cumulative {
			return b.serversByID[replica.Server]
		}
	}
	return nil
}
