package hotkey

import "math"

// scaleUpMargin multiplies the capacity that a key requires when the key is scaled up, because loads vary.
const scaleUpMargin = 1.15

// headroom returns the fraction of a server's capacity that a key with the given load may use in addition to all other
// load. headroomUpperBound is computed from the other load that reports show, and decides whether a key is too hot for its
// servers. headroomLowerBound is computed from the largest possible other load, and decides whether other servers have
// capacity to spare.
func (p *Planner) headroom(lower float64) (headroomUpperBound, headroomLowerBound float64) {
	if p.fleet.totalCapacity == 0 {
		return 0, 0
	}
	observedOthers := math.Max(p.loads.observedTotal-lower, 0)
	possibleOthers := math.Max(p.loads.maxTotal-lower, 0)
	headroomUpperBound = p.config.TargetUtilization - observedOthers/p.fleet.totalCapacity
	headroomLowerBound = p.config.TargetUtilization - possibleOthers/p.fleet.totalCapacity
	return headroomUpperBound, headroomLowerBound
}

// detectHotKeys starts to replicate the keys for which the lower bound of the load exceeds the headroom of the home servers.
func (p *Planner) detectHotKeys(now float64) {
	for _, key := range p.loads.candidates { // hottest first
		lower := p.scaleUpLoad(key)
		headroomUpperBound, headroomLowerBound := p.headroom(lower)
		if p.keys[key] != nil {
			continue
		}
		if len(p.keys) >= p.config.MaxKeys {
			return
		}
		if p.loads.sumOf(key).lower <= p.config.MinHeadroom*p.fleet.unitCapacity {
			return // one server can serve this key, and each key after it
		}
		k := &replicatedKey{key: key}
		if headroomLowerBound >= p.config.MinHeadroom && lower > k.homeCapacity(&p.fleet)*headroomUpperBound {
			k.scaleDownAfter = now + p.config.ScaleDownStabilization
			p.keys[key] = k
		}
	}
}

// updateDemand computes the capacity that a key requires: at least the capacity before a drain. Otherwise, a key requires
// more than its planned capacity only if the lower bound of its load exceeds what that capacity can serve, because the
// lower bound rises fast and the key shares its servers with other load.
func (p *Planner) updateDemand(k *replicatedKey) {
	k.loadLowerBound = p.scaleUpLoad(k.key)
	k.headroomUpperBound, k.headroomLowerBound = p.headroom(k.loadLowerBound)
	capacity := k.plannedCapacity(&p.fleet, &p.config)
	k.requiredCapacity = k.capacityAtDrain
	if k.headroomLowerBound >= p.config.MinHeadroom && k.loadLowerBound > capacity*k.headroomUpperBound {
		required := math.Min(scaleUpMargin*k.loadLowerBound/k.headroomUpperBound, p.fleet.totalCapacity)
		k.requiredCapacity = math.Max(k.requiredCapacity, required)
	}
}
