package hotkey

import "math"

const (
	// scaleDownStep is the fraction of a key's replicas that are removed in one step.
	scaleDownStep = 0.25
	// uncertaintyPeriod limits the time in s for which a key keeps its replicas only because sidecars that do not list it
	// may have load for it just below the keys that they list.
	uncertaintyPeriod = 10.0
	// reclaimThreshold is a fraction of the load at which a key is first replicated. Replicas of a key with a lower load
	// are removed early when the limit of replicas is reached, so that other keys can use them.
	reclaimThreshold = 0.25
	// minReplicaLimit is the limit of replicas in the smallest fleets.
	minReplicaLimit = 4.0
)

// scaleDown retires replicas of a key if the upper bound of the load is far below the capacity of the remaining servers.
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

// excessReplicas returns the replicas that one step removes: those started last.
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

// fitsWithout reports whether the capacity without the excess replicas suffices for the key's load. If it suffices except
// for the load that sidecars may have without listing the key, the result is false for uncertaintyPeriod, then true.
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

// scaleDownHeadroom returns the lower bound of the headroom for a key, at least MinHeadroom.
func (p *Planner) scaleDownHeadroom(k *replicatedKey) float64 {
	return math.Max(k.headroomLowerBound, p.config.MinHeadroom)
}

// replicasScarce reports whether the limit of replicas is reached and the load of the key is below reclaimThreshold.
func (p *Planner) replicasScarce(k *replicatedKey) bool {
	if float64(p.replicaCount()) < p.replicaLimit() {
		return false
	}
	return k.loadLowerBound < reclaimThreshold*p.scaleDownHeadroom(k)*k.homeCapacity(&p.fleet)
}

// replicaLimit returns the limit of replicas of all keys, which also limits the replicas started per second.
func (p *Planner) replicaLimit() float64 {
	return math.Max(p.config.ReplicasPerServer*float64(p.fleet.readyCount), minReplicaLimit)
}

// replicaCount returns the number of replicas of all keys. It includes retiring replicas: they are in the placement, and
// there are many of them when load moves from key to key.
func (p *Planner) replicaCount() int {
	count := 0
	for _, k := range p.keys {
		count += len(k.replicas)
	}
	return count
}
