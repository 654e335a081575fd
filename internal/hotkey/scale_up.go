package hotkey

import (
	"cmp"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// scaleUp starts copies while the budgets last. Each goes to the key where it takes most work off servers that have too
// much, for the same cost; what stands in for a server that leaves goes first.
func (p *Planner) scaleUp(now float64) {
	type candidate struct {
		k                  *replicatedKey
		homeCapacity, have float64 // ms/s that all its servers bear
	}
	var candidates []*candidate
	replicaCount := float64(p.replicaCount())
	for _, k := range p.sortedKeys() {
		homeCapacity := k.homeCapacity(&p.fleet)
		_, replicaCapacity := k.replicaCapacity(&p.fleet, &p.config)
		w := &candidate{k, homeCapacity, homeCapacity + replicaCapacity}
		if w.have >= k.requiredCapacity {
			continue
		}
		for _, r := range k.replicas { // what still is warm comes back for nothing
			if r.state == Retiring && !p.fleet.draining[r.serverUID] && w.have < k.requiredCapacity {
				r.state = Active
				w.have += p.fleet.serverCapacity(p.fleet.index[r.serverUID])
				k.scaleDownAfter = math.Max(k.scaleDownAfter, now+p.config.ScaleDownStabilization)
			}
		}
		candidates = append(candidates, w)
	}
	// gain is what a further copy takes off the key's servers, of what is too much for them.
	benefit := func(w *candidate) float64 {
		if len(w.k.replicas) >= placement.MaxCopiesPerKey || w.have >= w.k.requiredCapacity || w.k.countIn(Warming) >= max(p.config.MaxWarming, w.k.countIn(Active)) {
			return 0
		}
		if w.k.capacityAtDrain > w.have {
			if w.k.countIn(Warming) >= max(p.config.MaxWarming/3, 1) { // what leaves still carries, and is not to lose its part at once
				return 0
			}
			return math.Inf(1)
		}
		if len(w.k.replicas) >= maxLoadReplicas {
			return 0
		}
		return math.Min(w.k.lower-w.k.maxHeadroom*w.have, w.k.lower*p.config.ServerCapacity/(w.have+p.config.ServerCapacity))
	}
	for len(candidates) > 0 && p.warmupTokens >= p.config.WarmupWork && p.replicaTokens >= 1 && replicaCount < p.replicaLimit() {
		w := slices.MaxFunc(candidates, func(a, b *candidate) int { return cmp.Compare(benefit(a), benefit(b)) })
		if benefit(w) <= 0 {
			return
		}
		i := p.chooseServer(w.k)
		if i < 0 {
			candidates = slices.DeleteFunc(candidates, func(x *candidate) bool { return x == w })
			continue
		}
		w.k.replicas = append(w.k.replicas, &replica{serverUID: p.fleet.servers[i].UID, startedAt: now})
		w.k.scaleDownAfter = math.Max(w.k.scaleDownAfter, now+p.config.ScaleDownStabilization)
		w.have += p.fleet.serverCapacity(i)
		p.warmupTokens -= p.config.WarmupWork
		p.replicaTokens--
		replicaCount++
	}
}

// chooseServer returns the first server in the key's order that may get a copy, or -1. Zones and pod groups that have less of
// the key go first: a server of a zone that has more than its part, or of a pod group that has one already, waits until
// there is no other.
func (p *Planner) chooseServer(k *replicatedKey) int {
	zoneReplicas, podReplicas := map[string]int{}, map[int]int{}
	used := map[int]bool{}
	markUsed := func(i int) {
		if !used[i] {
			used[i] = true
			zoneReplicas[p.fleet.servers[i].Zone]++
			podReplicas[p.fleet.servers[i].Pod]++
		}
	}
	p.fleet.forEachHomeServer(k.key, markUsed)
	for _, r := range k.replicas {
		markUsed(p.fleet.index[r.serverUID])
	}
	zoneLimit := len(used)/p.fleet.zoneCount + 1
	fallback := -1
	for _, position := range p.fleet.preferenceOrder(k.key) {
		i := int(position)
		if used[i] || !p.fleet.canAddReplica(i) {
			continue
		}
		server := &p.fleet.servers[i]
		if zoneReplicas[server.Zone] < zoneLimit && podReplicas[server.Pod] == 0 {
			return i
		}
		if fallback < 0 || zoneReplicas[server.Zone] < zoneReplicas[p.fleet.servers[fallback].Zone] {
			fallback = i
		}
	}
	return fallback
}
