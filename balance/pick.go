package balance

import "math"

// This file decides which server a request is sent to.

const (
	loadHeadroom    = 0.4                // a server above this multiple of its load share is passed over
	maxRoundsBehind = 4                  // rounds by which a server's running weight may be negative
	rotationPeriod  = 1000               // ms in which each server of the rotation should receive a request
	trafficSpan     = 2 * rotationPeriod // time constant of the request rate
	minRotationSize = 4                  // servers in the rotation of a sidecar with almost no traffic
	zonePreference  = 200                // the weight factor of the own zone is 1 + this × Costs.CrossZone
)

// pick selects the server of an attempt by smooth weighted round robin, over the servers of the request's
// key or over all servers. A retry goes to the healthiest server that the request has not tried. pick
// returns nil if no server may receive the attempt.
func (b *Balancer) pick(r *request, retry bool) *server {
	byKey := !retry && b.config.KeyAffinity && r.Key != 0
	totalWeight, ok := b.prepareSelection(r, byKey)
	if !ok {
		return nil
	}
	if !retry {
		b.beginRound(totalWeight)
	}
	b.creditRounds(byKey, retry)
	choices := b.selection.candidates
	if byKey {
		b.selection.headroom = keyLoadHeadroom
		if choices = b.hotKeyReplica(r.Key); choices == nil {
			choices = b.keySubset(r.Key)
		}
	}
	best := b.best(choices, retry)
	if best != nil {
		if byKey {
			b.creditServer(best)
		}
		b.beginZoneTrial(best)
		remaining := best.round.runningWeight - totalWeight
		best.round.runningWeight = math.Max(remaining, -maxRoundsBehind*totalWeight)
	}
	return best
}

// prepareSelection sets up the current pick and returns the total weight to choose from. If all servers are
// ejected, the cause is probably outside of the servers, and all become candidates. If the placement
// excludes further servers, ok is false instead.
func (b *Balancer) prepareSelection(r *request, byKey bool) (totalWeight float64, ok bool) {
	selection := &b.selection
	if b.config.KeyAffinity {
		totalWeight = b.refreshRotation()
	}
	if len(selection.excluded.servers) > 0 {
		totalWeight = b.subtractExcluded(totalWeight)
	}
	selection.allEjected = false
	if byKey && b.rotation.size > selection.excluded.inRotation {
		b.sumRotation(totalWeight)
		return totalWeight, true
	}
	if totalWeight = b.collectCandidates(r, false); totalWeight != 0 {
		return totalWeight, true
	}
	if len(selection.excluded.servers) > 0 {
		return 0, false
	}
	selection.allEjected = true
	return b.collectCandidates(r, true), true
}

// best returns the best of several servers, nil if none may receive an attempt. Servers within the load
// bound come first, then the order is by preferred.
func (b *Balancer) best(choices []*server, retry bool) (best *server) {
	bestOverBound := false
	for _, s := range choices {
		if !b.mayReceive(s) {
			continue
		}
		overBound := b.exceedsLoadBound(s)
		if best == nil || bestOverBound && !overBound ||
			overBound == bestOverBound && b.preferred(s, best, retry, overBound) {
			best, bestOverBound = s, overBound
		}
	}
	return best
}

func (b *Balancer) mayReceive(s *server) bool { return !b.inSlowStart(s) || b.hasSlowStartBudget(s) }

// exceedsLoadBound implements bounded load: a server that holds more than its share of the load is slow,
// hung or loaded by other sidecars, even if it returns no errors. The pick passes over the server, which
// keeps its running weight for later picks.
func (b *Balancer) exceedsLoadBound(s *server) bool {
	limit := b.selection.headroom * b.selection.load * s.weight / b.selection.weight
	return !s.loadKnown || b.serverLoad(s)+1 > math.Ceil(limit-1e-9) // rounding must not raise the limit
}

// rotationSize returns the number of servers that this sidecar rotates over: the first in its own order, as
// many as it can visit often. If a thousand sidecars used all servers, connection tables would be full and
// no sidecar would know any server. With key affinity all servers are used: with separate rotations the
// sidecars would warm a key at many servers.
func (b *Balancer) rotationSize() int {
	if b.config.KeyAffinity {
		return len(b.servers)
	}
	return max(minRotationSize, int(rotationPeriod*b.requestRate()))
}

// collectCandidates collects the candidates of this pick with their weights, and returns the sum of the
// weights.
func (b *Balancer) collectCandidates(r *request, includeEjected bool) float64 {
	totalWeight, anyReport, remaining := 0.0, false, b.rotationSize()
	// The own zone is preferred by rank, or by weight if all servers are in the rotation.
	zoneFactor := 1 + (b.ownZoneFactor()-1)*math.Min(1, float64(remaining)/float64(len(b.servers)))
	b.selection.candidates, b.selection.pool = b.selection.candidates[:0], poolSums{}
	for _, s := range b.servers {
		if remaining == 0 {
			break
		}
		if !b.config.KeyAffinity {
			b.addToPool(&b.selection.pool, s, zoneFactor)
		}
		if !b.permitted(r, s) || !includeEjected && b.isEjected(s) {
			continue
		}
		remaining--
		if b.config.KeyAffinity && s.inRotation {
			s.weight = b.currentWeight(s)
		} else if s.weight = b.weight(s); b.inOwnZone(s) {
			s.weight *= zoneFactor
		}
		totalWeight += s.weight
		s.loadKnown = b.hasFreshReport(s)
		anyReport = anyReport || s.loadKnown
		b.selection.candidates = append(b.selection.candidates, s)
	}
	b.sumCandidates(anyReport)
	return totalWeight
}

// ownZoneFactor returns the weight factor of the own zone, which grows with the cost of crossing zones.
func (b *Balancer) ownZoneFactor() float64 { return 1 + zonePreference*b.config.Costs.CrossZone }

// preferred reports whether s is a better choice than best: for a first attempt by running weight, for a
// retry by health. If both exceed the load bound, a first attempt prefers the server with the least load
// for its weight.
func (b *Balancer) preferred(s, best *server, retry, overBound bool) bool {
	if overBound && !retry {
		return (b.serverLoad(s)+1)*best.weight < (b.serverLoad(best)+1)*s.weight
	}
	health, bestHealth := b.health(s), b.health(best)
	rounding := 1e-9 * b.pool.current
	ahead := s.round.runningWeight > best.round.runningWeight+rounding
	return retry && health > bestHealth || (!retry || health == bestHealth) && ahead
}

// permitted reports whether the rules allow sending the request to a server now. A request that may have
// been executed may only go to servers that know its idempotency key.
func (b *Balancer) permitted(r *request, s *server) bool {
	if s.State != Ready || s.excluded {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s {
			return false
		}
		if a.neverExecuted || r.class.Idempotency != IdempotentWithKey {
			continue
		}
		otherCell := r.class.DeduplicationScope == ScopeCell && a.server.Cell != s.Cell
		otherZone := r.class.DeduplicationScope == ScopeZone && a.server.Zone != s.Zone
		if b.idempotencyWindowOver(r, a) || otherCell || otherZone {
			return false
		}
	}
	return true
}

// idempotencyWindowOver reports whether a retry could reach a server that no longer knows the key. The
// retry may have to connect first.
func (b *Balancer) idempotencyWindowOver(r *request, a *attempt) bool {
	return b.now+b.config.ConnectTimeout >= a.sentAt+r.class.IdempotencyWindow
}

// ownOrderRank returns a server's position in this sidecar's own order, by weighted rendezvous hashing.
// Adding or removing a server does not change the ranks of the others, and a restart of the sidecar changes
// no rank. The rank prefers servers of the own zone. With key affinity it does not, because all servers are
// in the rotation; the weights of the servers prefer the own zone instead.
func (b *Balancer) ownOrderRank(s *server) float64 {
	hash := splitmix64(splitmix64(uint64(b.config.SidecarIndex)+1) ^ uint64(s.ID))
	rank := -math.Log(float64(hash>>11+1) / (1 << 53))
	if b.inOwnZone(s) && !b.config.KeyAffinity {
		rank /= b.ownZoneFactor()
	}
	return rank
}
