package balance

import "math"

// With key affinity the slow start pool consists of all servers, and requests arrive hundreds of times a second. The
// sums of the pool are therefore cached, for these times in ms.
const (
	poolTTL       = 1000 // for the usable fraction, which is averaged over seconds
	poolBudgetTTL = 100  // for the slow start budget of a server
)

// poolWeights are sums of the weights of the servers that a first attempt chooses from.
type poolWeights struct {
	current   float64 // at the last first attempt
	slowStart slowStartPool
}

// slowStartPool is the set of servers that share the answers of this sidecar. The slow start budget of a
// server is proportional to its share of the pool's weight. With key affinity the pool consists of all
// ready servers. Without key affinity it consists of the servers in this sidecar's own order up to the last
// one of its rotation, including ejected and excluded servers: a sidecar that passes over a server rotates
// over the next server in its order as well, so the other servers are in the rotations of more sidecars.
// Health does not count, because the answers of overloaded servers do not fall as far as their health.
type slowStartPool struct {
	poolSums
	updatedAt      float64
	usableFraction ewma    // averaged over the span of the answer rate
	pickedAt       float64 // time of the last first attempt
	lastPickedAt   float64 // time of the first attempt before it
}

// poolSums are sums of weights, as if all servers were healthy.
type poolSums struct {
	full   float64 // as if no server were in slow start
	usable float64 // without ejected servers, and reduced by slow start
}

// addToPool adds a server to the sums unless it is draining. zoneFactor is the weight factor of the own zone.
func (b *Balancer) addToPool(sums *poolSums, s *server, zoneFactor float64) {
	if s.State != Ready {
		return
	}
	full := b.capacityWeight(s)
	if b.inOwnZone(s) {
		full *= zoneFactor
	}
	sums.full += full
	if !b.isEjected(s) {
		sums.usable += full * b.slowStartFactor(s)
	}
}

// recordPool records the servers that a first attempt chooses from. totalWeight does not include excluded servers.
func (b *Balancer) recordPool(totalWeight float64) {
	b.pool.current = totalWeight + b.selection.excluded.weight
	pool := &b.pool.slowStart
	pool.lastPickedAt, pool.pickedAt = pool.pickedAt, b.now
	if b.config.KeyAffinity {
		b.refreshPool(poolTTL)
	} else {
		pool.poolSums = b.selection.pool
	}
	pool.usableFraction.add(b.now, answerRateSpan*b.longestObjective, pool.usable/math.Max(pool.full, minWeight))
}

// refreshPool sums up all servers, unless the sums are newer than ttl.
func (b *Balancer) refreshPool(ttl float64) {
	pool := &b.pool.slowStart
	if pool.full > 0 && b.now < pool.updatedAt+ttl {
		return
	}
	pool.poolSums, pool.updatedAt = poolSums{}, b.now
	zoneFactor := b.ownZoneFactor()
	for _, s := range b.servers {
		b.addToPool(&pool.poolSums, s, zoneFactor)
	}
}

// answeringWeight returns the weight of the part of the pool that gave the answers of the answer rate, in the current
// scale of weights. Only fractions can be compared over time, because the learned capacities of all servers rise and
// fall together.
func (p *slowStartPool) answeringWeight() float64 { return p.full * p.usableFraction.mean }
