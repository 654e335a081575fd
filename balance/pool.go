package balance

import "math"

// With key affinity the slow start pool is all servers, and requests come hundreds of times a second: its sums are cached for
// so long, in ms.
const (
	poolTTL       = 1000 // for the usable fraction, which is a mean over seconds
	poolBudgetTTL = 100  // for the budget of a server
)

// poolWeights are sums of the weights that a first attempt chooses from.
type poolWeights struct {
	current   float64 // at the last first attempt
	slowStart slowStartPool
}

// slowStartPool is what a server's share of the answers is taken of for its budget in slow start: without key affinity the
// servers of this sidecar's own order up to the last of its rotation, ejected and excluded ones included, else all ready
// servers. A sidecar that passes over a server uses one more behind it, so each of those is in the rotation of more sidecars.
// Health does not count: the answers of overloaded servers do not fall as far as their health.
type slowStartPool struct {
	poolSums
	updatedAt      float64
	usableFraction ewma    // over the span of the answer rate
	pickedAt       float64 // the last first attempt
	lastPickedAt   float64 // the one before
}

// poolSums are sums of weights of servers in good health.
type poolSums struct {
	full   float64 // as if none were in slow start
	usable float64 // what is neither ejected nor missing because of a slow start
}

// addToPool counts a server, unless it is draining; zoneFactor is the preference of the own zone.
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

// recordPool records what a first attempt chooses from; totalWeight is without excluded servers.
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

// refreshPool sums up all servers, unless that was done within a time.
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

// answeringWeight is the part of the pool that gave the answers of the answer rate, by the present scale of weights. Over time
// only fractions compare: the learned capacities of all servers rise and fall together.
func (p *slowStartPool) answeringWeight() float64 { return p.full * p.usableFraction.mean }
