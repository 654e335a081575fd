package balance

import "math"

// This file decides what a placement changes: which servers a tenant's requests avoid, as long as enough
// servers remain, and which part of a hot key's load its replicas receive. Without a placement, none of
// these rules apply.

const (
	// A replica without a load fraction receives a trickle of its key's load. The trickle warms up a new
	// replica, and keeps a drained replica warm in case it is needed again.
	trickleFraction = 0.05
	maxTrickleTotal = 0.5 // bound of the sum of all trickles
	// Steps of the golden section hit each part of an interval in proportion to its length, even if the
	// steps are few. Weighted round robin does not: its first picks do not follow the weights, and a hot
	// key has few picks.
	goldenSection    = 0.6180339887498949
	fractionRounding = 1e-9 // tolerance, so that a rounding error does not suspend an exclusion
)

// selectUnderPlacement selects a server under the placement: an attempt avoids the servers that its tenant
// is excluded from. If all other servers are ejected or have no slow start budget, serving the request
// takes precedence: the exclusions are suspended and all servers are tried. For a retry, the deduplication
// scope may leave excluded servers only: the retry uses one, and no suspension is recorded.
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

// exclusionSetFor returns the servers that a tenant is currently excluded from. Exclusions are applied in
// the given order. Each is applied only if the remaining servers satisfy its own minimum fraction of the
// tenant's ready capacity, and those of the exclusions applied before it.
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
		required := math.Max(minAvailable, exclusion.MinAvailable) // NaN: never satisfied
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

// hotKeyReplica returns the replica of a hot key that receives this attempt, nil if the key's own servers
// receive it. The key's own servers also receive the turns of a replica that is draining, ejected,
// excluded, above its load bound or without slow start budget, whatever its load fraction.
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

// normalizeLoadFractions converts the load fractions of a placement into those that apply: their sum is at
// most 1, and replicas without a fraction receive a trickle.
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

// nextReplica advances a hot key by one turn and returns the replica whose turn it is by the load
// fractions. If this sidecar's own traffic distributes the key over more servers than the replicas add, it
// returns nil, since the replicas would narrow the distribution.
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
