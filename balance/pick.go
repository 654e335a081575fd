package balance

import "math"

// This file decides which server a request goes to.

const (
	loadHeadroom    = 0.4  // a server above this multiple of its share of the requests in flight is passed over
	maxRoundsBehind = 4    // turns that a server is behind at the most, after more of them than its share
	rotationPeriod  = 1000 // ms in which each server of the rotation should get a request: else it is not known
	minRotationSize = 4    // servers in the rotation of the least sidecar
	zonePreference  = 200  // weight added to a server of the own zone, times the price of crossing zones
)

// pick is the ordinary path: smooth weighted round robin over the servers of the request's key, or over all
// where keys do not matter. A repeat goes to the healthiest untried server.
func (b *Balancer) pick(r *request, retry bool) *server {
	totalWeight, byKey := 0.0, !retry && b.config.KeyAffinity && r.Key != 0
	if b.config.KeyAffinity {
		totalWeight = b.refreshRotation()
	}
	if len(b.excluded.servers) > 0 {
		totalWeight = b.subtractExcluded(totalWeight)
	}
	if b.allEjected = false; byKey && b.rotation.size > b.excluded.inRotation {
		b.sumRotation(totalWeight)
	} else if totalWeight = b.collectCandidates(r, false); totalWeight == 0 { // all rest: the cause is hardly theirs
		if len(b.excluded.servers) > 0 {
			return nil
		}
		b.allEjected = true
		totalWeight = b.collectCandidates(r, true)
	}
	if !retry {
		b.poolWeight = totalWeight + b.excluded.weight
		b.recentPoolWeight.add(b.now, answerRateSpan*b.longestObjective, b.poolWeight)
		b.round++
		for _, s := range b.excluded.servers { // they get none
			s.creditedRound++
		}
	}
	b.creditRounds(byKey, retry)
	choices := b.candidates
	if byKey {
		b.headroom = keyLoadHeadroom
		if choices = b.hotKeyReplica(r.Key); choices == nil {
			choices = b.keySubset(r.Key)
		}
	}
	var best *server
	bestOverBound := false
	for _, s := range choices {
		if !b.mayReceive(s) {
			continue
		}
		overBound := b.exceedsLoadBound(s)
		if best == nil || bestOverBound && !overBound || overBound == bestOverBound && b.preferred(s, best, retry, overBound) {
			best, bestOverBound = s, overBound
		}
	}
	if best != nil {
		if byKey {
			b.creditServer(best)
		}
		b.beginZoneTrial(best)
		best.runningWeight = math.Max(best.runningWeight-totalWeight, -maxRoundsBehind*totalWeight)
	}
	return best
}

func (b *Balancer) mayReceive(s *server) bool { return !b.inSlowStart(s) || b.hasSlowStartBudget(s) }

// exceedsLoadBound is bounded load: a server that holds more than its share is slow, hung or filled by others, whatever
// its errors say. It is passed over and keeps its running value for later.
func (b *Balancer) exceedsLoadBound(s *server) bool {
	limit := b.headroom * b.candidateLoad * s.weight / b.candidateWeight
	return !s.loadKnown || b.serverLoad(s)+1 > math.Ceil(limit-1e-9) // 1e-9: no more for a rounding error
}

// rotationSize is how many servers the rotation goes over, the first in the sidecar's own order: as many as it
// visits often. With all in, a thousand sidecars filled all connection tables and knew no server. Where keys
// stay warm all are in: sidecars with rotations of their own would warm a key at many servers.
func (b *Balancer) rotationSize() int {
	if b.config.KeyAffinity {
		return len(b.servers)
	}
	return max(minRotationSize, int(rotationPeriod*b.requestRate()))
}

func (b *Balancer) requestRate() float64 {
	return b.requestMeter.rate(b.now, b.startedAt-rotationPeriod, 2*rotationPeriod, 0)
}

// collectCandidates lists the servers of this pick, their weights and what they hold, and returns the sum of the weights.
func (b *Balancer) collectCandidates(r *request, includeEjected bool) float64 {
	totalWeight, anyReport, remaining := 0.0, false, b.rotationSize()
	// Exception: answers from elsewhere cost a price. The order, or weight where all are in, favours the own.
	zoneFactor := 1 + (b.ownZoneFactor()-1)*math.Min(1, float64(remaining)/float64(len(b.servers)))
	b.candidates = b.candidates[:0]
	for _, s := range b.servers {
		if remaining == 0 || !b.permitted(r, s) || !includeEjected && b.isEjected(s) {
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
		b.candidates = append(b.candidates, s)
	}
	b.candidateLoad, b.candidateWeight, b.headroom = 1, 0, loadHeadroom
	for _, s := range b.candidates {
		s.loadKnown = s.loadKnown || !anyReport // without any report, the own requests in flight are all there is
		if s.loadKnown {
			b.candidateLoad += b.serverLoad(s)
			b.candidateWeight += s.weight
		}
	}
	return totalWeight
}

// ownZoneFactor favours the own zone, by what it costs to cross zones.
func (b *Balancer) ownZoneFactor() float64 { return 1 + zonePreference*b.config.Costs.CrossZone }

// preferred: where all hold more than their share, who holds least for its weight goes first.
func (b *Balancer) preferred(s, best *server, retry, overBound bool) bool {
	if overBound && !retry {
		return (b.serverLoad(s)+1)*best.weight < (b.serverLoad(best)+1)*s.weight
	}
	health, bestHealth := b.health(s), b.health(best)
	ahead := s.runningWeight > best.runningWeight+1e-9*b.poolWeight // no rounding error decides
	return retry && health > bestHealth || (!retry || health == bestHealth) && ahead
}

// permitted: the rules let the request go there now; one that may have run, only where its key is known.
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
		if b.idempotencyWindowOver(r, a) || r.class.DeduplicationScope == ScopeCell && a.server.Cell != s.Cell ||
			r.class.DeduplicationScope == ScopeZone && a.server.Zone != s.Zone {
			return false
		}
	}
	return true
}

// idempotencyWindowOver: a repeat might come to a server that no longer knows the key; it may have to connect first.
func (b *Balancer) idempotencyWindowOver(r *request, a *attempt) bool {
	return b.now+b.config.ConnectTimeout >= a.sentAt+r.class.IdempotencyWindow
}

// ownOrderRank is weighted rendezvous hashing: a server that comes or goes moves no other, nor does a restart.
func (b *Balancer) ownOrderRank(s *server) float64 {
	rank := -math.Log(float64(splitmix64(splitmix64(uint64(b.config.SidecarIndex)+1)^uint64(s.ID))>>11+1) / (1 << 53))
	if b.inOwnZone(s) && !b.config.KeyAffinity { // there the weights of the pick favour the own zone
		rank /= b.ownZoneFactor()
	}
	return rank
}
