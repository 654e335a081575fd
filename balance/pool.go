package balance

// fullCapacityWeightTTL is for how long fullCapacityPoolWeight is cached: it goes over all servers while any of them is in
// slow start, and requests come hundreds of times a second.
const fullCapacityWeightTTL = 100

// poolWeights are sums of the weights that a first attempt chooses from. The budget of servers in slow start is a part
// of them.
type poolWeights struct {
	current        float64 // at the last first attempt
	recent         ewma    // at the last ones, over the span of the answer rate
	fullCapacity   float64 // as if no server were in slow start; see fullCapacityPoolWeight
	fullCapacityAt float64 // when that was computed
}

// fullCapacityPoolWeight is the sum of the weights of the servers in use as if none of them were in slow start. It is 0
// without key affinity: there a rotation grows with the traffic, and its recent weight does not compare with the present.
func (b *Balancer) fullCapacityPoolWeight() float64 {
	if !b.config.KeyAffinity {
		return 0
	}
	if b.now < b.pool.fullCapacityAt+fullCapacityWeightTTL {
		return b.pool.fullCapacity
	}
	b.pool.fullCapacity, b.pool.fullCapacityAt = 0, b.now
	for _, s := range b.servers {
		if s.State != Ready || b.isEjected(s) {
			continue
		}
		weight := b.weight(s) / b.slowStartFactor(s)
		if b.inOwnZone(s) {
			weight *= b.ownZoneFactor()
		}
		b.pool.fullCapacity += weight
	}
	return b.pool.fullCapacity
}
