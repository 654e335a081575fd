package hotkey

// almostOne is the fraction of a capacity that counts as the whole capacity, because sums of capacities have rounding errors.
const almostOne = 1 - 1e-9

// StartDrain starts the drain of a server: no new replica is started on it, and replicas on other servers warm up to
// replace its capacity for replicated keys. Drained reports whether they have replaced it. Repeated calls have no effect.
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

// CancelDrain cancels a server's drain: it may get replicas again.
func (p *Planner) CancelDrain(uid string) { delete(p.fleet.draining, uid) }

// Drained reports whether a draining server hosts no replica, and other servers have replaced its capacity for each
// replicated key of which it is a home server. A server that is not listed counts as drained.
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

// isReplaced reports whether the key's capacity without draining servers has reached that before the drain.
func (p *Planner) isReplaced(k *replicatedKey) bool {
	return k.activeCapacity(&p.fleet, &p.config) >= k.capacityAtDrain*almostOne
}

// drainReplicas retires replicas on draining servers one by one, as replacements on other servers become active.
func (p *Planner) drainReplicas(k *replicatedKey, now float64) {
	if k.capacityAtDrain == 0 {
		return
	}
	available := k.activeCapacity(&p.fleet, &p.config)
	var draining []*replica // still active
	affected := false       // whether a server of the key drains
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

// currentCapacity returns the capacity of a replica's server, scaled by the replica's ramp factor.
func (p *Planner) currentCapacity(r *replica, now float64) float64 {
	return p.fleet.serverCapacity(p.fleet.index[r.serverUID]) * r.rampFactor(&p.config, now)
}
