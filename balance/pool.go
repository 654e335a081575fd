package balance

// fullCapacityWeightTTL is for how long fullCapacityPoolWeight is cached: it goes over all servers while any of them is in
// slow start, and requests come hundreds of times a second.
const fullCapacityWeightTTL = 100

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
