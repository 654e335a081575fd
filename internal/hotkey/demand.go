package hotkey

import "math"

// scaleUpMargin is the factor of the required capacity that a key gets when it is scaled up, as loads vary.
const scaleUpMargin = 1.15

// headroom returns the fraction of a server's capacity that a key of a load may fill beside all other load: maxHeadroom by
// what reports surely show, minHeadroom by what the load may be. A key is too hot for its servers by the former; other
// servers have capacity to spare by the latter.
func (p *Planner) headroom(lower float64) (maxHeadroom, minHeadroom float64) {
	if p.fleet.totalCapacity == 0 {
		return 0, 0
	}
	observedOthers := math.Max(p.loads.observedTotal-lower, 0)
	possibleOthers := math.Max(p.loads.maxTotal-lower, 0)
	maxHeadroom = p.config.TargetUtilization - observedOthers/p.fleet.totalCapacity
	minHeadroom = p.config.TargetUtilization - possibleOthers/p.fleet.totalCapacity
	return maxHeadroom, minHeadroom
}

// detectHotKeys begins to replicate keys whose lower bound exceeds what their home servers have headroom for.
func (p *Planner) detectHotKeys(now float64) {
	for _, key := range p.loads.candidates { // the hottest first
		lower := p.scaleUpLoad(key)
		maxHeadroom, minHeadroom := p.headroom(lower)
		if p.keys[key] != nil {
			continue
		}
		if len(p.keys) >= p.config.MaxKeys {
			return
		}
		if p.loads.sumOf(key).lower <= p.config.MinHeadroom*p.fleet.unitCapacity {
			return // one server can serve it, and all keys after it
		}
		k := &replicatedKey{key: key}
		if minHeadroom >= p.config.MinHeadroom && lower > k.homeCapacity(&p.fleet)*maxHeadroom {
			k.scaleDownAfter = now + p.config.ScaleDownStabilization
			p.keys[key] = k
		}
	}
}

// updateDemand computes the capacity that a key requires. The lower bound rises fast and the key shares its servers, so
// the requirement exceeds what there is only where that is too little by the lower bound.
func (p *Planner) updateDemand(k *replicatedKey) {
	k.loadLowerBound = p.scaleUpLoad(k.key)
	k.maxHeadroom, k.minHeadroom = p.headroom(k.loadLowerBound)
	capacity := k.plannedCapacity(&p.fleet, &p.config)
	k.requiredCapacity = k.capacityAtDrain
	if k.minHeadroom >= p.config.MinHeadroom && k.loadLowerBound > capacity*k.maxHeadroom {
		required := math.Min(scaleUpMargin*k.loadLowerBound/k.maxHeadroom, p.fleet.totalCapacity)
		k.requiredCapacity = math.Max(k.requiredCapacity, required)
	}
}
