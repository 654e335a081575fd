package hotkey

// almostOne is the fraction of a sum that counts as all of it, as sums have rounding errors.
const almostOne = 1 - 1e-9

// StartDrain says that a server is to be drained: no replica is started on it, and what it serves of replicated keys is
// first warmed up on other servers. Drained tells when that is done. Calling it again changes nothing.
func (p *Planner) StartDrain(uid string) {
	if _, ok := p.fleet.index[uid]; !ok || p.fleet.draining[uid] {
		return
	}
	for _, k := range p.keys {
		r := k.replicaOn(uid)
		if r != nil && r.state == Warming {
			k.remove(uid)
			r = nil
		}
		if r != nil && r.state == Active || p.isHomeServer(k, uid) {
			k.capacityAtDrain = max(k.capacityAtDrain, k.activeCapacity(&p.fleet, &p.config))
		}
	}
	p.fleet.draining[uid] = true
}

// CancelDrain ends a server's drain: it may host replicas again.
func (p *Planner) CancelDrain(uid string) { delete(p.fleet.draining, uid) }

// Drained reports whether a draining server hosts no replica any more, and whether for each replicated key that it is a
// home server of other servers have replaced its capacity. A server that isn't listed is drained.
func (p *Planner) Drained(uid string) bool {
	if _, ok := p.fleet.index[uid]; !ok {
		return true
	}
	if !p.fleet.draining[uid] {
		return false
	}
	for _, k := range p.keys {
		if k.replicaOn(uid) != nil || p.isHomeServer(k, uid) && !p.isReplaced(k) {
			return false
		}
	}
	return true
}

func (p *Planner) isHomeServer(k *replicatedKey, uid string) bool {
	home := false
	p.fleet.forEachHomeServer(k.key, func(i int) { home = home || p.fleet.servers[i].UID == uid })
	return home
}

// isReplaced reports whether the key's capacity without the draining servers is what it was with them.
func (p *Planner) isReplaced(k *replicatedKey) bool {
	return k.activeCapacity(&p.fleet, &p.config) >= k.capacityAtDrain*almostOne
}

// drainReplicas retires replicas on draining servers, one after the other, as others become active in their place.
func (p *Planner) drainReplicas(k *replicatedKey, now float64) {
	if k.capacityAtDrain == 0 {
		return
	}
	available := k.activeCapacity(&p.fleet, &p.config)
	var draining []*replica // still active
	affected := false       // by a drain
	for _, r := range k.replicas {
		if !p.fleet.draining[r.serverUID] {
			continue
		}
		affected = true
		if r.state == Active {
			draining = append(draining, r)
			available += p.currentCapacity(r, now)
		}
	}
	for _, r := range draining {
		available -= p.currentCapacity(r, now)
		if available < k.capacityAtDrain*almostOne {
			break
		}
		r.state, r.retiredAt = Retiring, now
	}
	for uid := range p.fleet.draining {
		affected = affected || p.isHomeServer(k, uid)
	}
	if !affected {
		k.capacityAtDrain = 0
	}
}

// currentCapacity is the capacity that a replica has by the share that it can take already.
func (p *Planner) currentCapacity(r *replica, now float64) float64 {
	return p.fleet.serverCapacity(p.fleet.index[r.serverUID]) * r.rampFactor(&p.config, now)
}
