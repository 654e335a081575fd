package hotkey

import "math"

const (
	// scaleDownStep is the fraction of a key's replicas that one step removes.
	scaleDownStep = 0.25
	// uncertaintyPeriod is the time in s for which a key keeps its replicas only because it might be just below what
	// sidecars list in their reports.
	uncertaintyPeriod = 10.0
	// reclaimThreshold is the fraction of the load that scales a key up below which its replicas are removed early, where
	// another key needs them.
	reclaimThreshold = 0.25
	// minReplicaLimit is how many replicas the smallest fleet may have.
	minReplicaLimit = 4.0
)

// scaleDown retires replicas of a key where the upper bound of its load is far below what they have capacity for.
func (p *Planner) scaleDown(k *replicatedKey, now float64) {
	excess := p.excessReplicas(k)
	if len(excess) == 0 || k.capacityAtDrain > 0 {
		return
	}
	if !p.fitsWithout(k, excess, now) {
		return
	}
	if now < k.scaleDownAfter && !p.replicasScarce(k) {
		return
	}
	for _, r := range excess {
		if r.state == Warming {
			k.remove(r.serverUID)
		} else {
			r.state, r.retiredAt = Retiring, now
		}
	}
	k.scaleDownAfter = math.Max(k.scaleDownAfter, now+p.config.ScaleDownInterval)
}

// excessReplicas returns the replicas that one step removes: the last in order.
func (p *Planner) excessReplicas(k *replicatedKey) []*replica {
	var removable []*replica
	for _, r := range k.replicas {
		if r.state != Retiring && !p.fleet.draining[r.serverUID] {
			removable = append(removable, r)
		}
	}
	count := int(math.Ceil(scaleDownStep * float64(len(removable))))
	return removable[len(removable)-count:]
}

// fitsWithout reports whether a key's load fits the servers that remain without some replicas. Where only the bounds of
// unlisted keys speak against it, that counts for uncertaintyPeriod.
func (p *Planner) fitsWithout(k *replicatedKey, excess []*replica, now float64) bool {
	remaining := k.activeCapacity(&p.fleet, &p.config)
	for _, r := range excess {
		if r.state == Active {
			remaining -= p.currentCapacity(r, now)
		}
	}
	limit := p.config.ScaleDownUtilization * p.scaleDownHeadroom(k) * remaining
	if p.loads.upperBound(k.key, false) > limit {
		k.uncertainSince = 0
		return false
	}
	if p.loads.upperBound(k.key, true) <= limit {
		k.uncertainSince = 0
		return true
	}
	if k.uncertainSince == 0 {
		k.uncertainSince = now
	}
	return now-k.uncertainSince >= uncertaintyPeriod
}

// scaleDownHeadroom is the headroom that a key surely has.
func (p *Planner) scaleDownHeadroom(k *replicatedKey) float64 {
	return math.Max(k.minHeadroom, p.config.MinHeadroom)
}

// replicasScarce reports whether there are as many replicas as there may be while the key needs its own least.
func (p *Planner) replicasScarce(k *replicatedKey) bool {
	if float64(p.replicaCount()) < p.replicaLimit() {
		return false
	}
	return k.loadLowerBound < reclaimThreshold*p.scaleDownHeadroom(k)*k.homeCapacity(&p.fleet)
}

// replicaLimit is how many replicas of all keys there may be, and how many may be started a second.
func (p *Planner) replicaLimit() float64 {
	return math.Max(p.config.ReplicasPerServer*float64(p.fleet.readyCount), minReplicaLimit)
}

// replicaCount counts the replicas of all keys. Retiring ones count too: they are in the placement, and where load moves
// from key to key there are many.
func (p *Planner) replicaCount() int {
	count := 0
	for _, k := range p.keys {
		count += len(k.replicas)
	}
	return count
}
