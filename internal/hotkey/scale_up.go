package hotkey

import (
	"cmp"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// maxLoadReplicas limits the replicas of a key that are started because of its load. The remaining replicas, up to
// placement.MaxCopiesPerKey, are reserved for replacing draining servers.
const maxLoadReplicas = 56

// scaleUpCandidate is a key that requires more capacity than it has.
type scaleUpCandidate struct {
	key      *replicatedKey
	capacity float64 // of the key's servers, with all replicas warm, ms of work per second
}

// scaleUp starts replicas until a budget or limit is used up. All replicas cost the same, so each goes to the key where it
// takes the most excess work off the key's servers. Replacements for draining servers come first.
func (p *Planner) scaleUp(now float64) {
	candidates := p.scaleUpCandidates(now)
	replicaCount := float64(p.replicaCount())
	for len(candidates) > 0 && p.mayStartReplica() && replicaCount < p.replicaLimit() {
		best := slices.MaxFunc(candidates, func(a, b *scaleUpCandidate) int {
			return cmp.Compare(p.scaleUpBenefit(a), p.scaleUpBenefit(b))
		})
		if p.scaleUpBenefit(best) <= 0 {
			return
		}
		i, ok := p.chooseServer(best.key)
		if !ok {
			candidates = slices.DeleteFunc(candidates, func(c *scaleUpCandidate) bool { return c == best })
			continue
		}
		best.key.replicas = append(best.key.replicas, &replica{serverUID: p.fleet.servers[i].UID, startedAt: now})
		best.key.scaleDownAfter = math.Max(best.key.scaleDownAfter, now+p.config.ScaleDownStabilization)
		best.capacity += p.fleet.serverCapacity(i)
		p.warmupTokens -= p.config.WarmupWork
		p.replicaTokens--
		replicaCount++
	}
}

// mayStartReplica reports whether both budgets permit one more replica.
func (p *Planner) mayStartReplica() bool {
	return p.warmupTokens >= p.config.WarmupWork && p.replicaTokens >= 1
}

// scaleUpCandidates returns the keys that require more capacity. It first makes retiring replicas of these keys active
// again, since they are still warm and cost nothing.
func (p *Planner) scaleUpCandidates(now float64) []*scaleUpCandidate {
	var candidates []*scaleUpCandidate
	for _, k := range p.sortedKeys() {
		candidate := &scaleUpCandidate{key: k, capacity: k.plannedCapacity(&p.fleet, &p.config)}
		if candidate.capacity >= k.requiredCapacity {
			continue
		}
		for _, r := range k.replicas {
			if r.state == Retiring && !p.fleet.draining[r.serverUID] && candidate.capacity < k.requiredCapacity {
				r.state = Active
				candidate.capacity += p.fleet.serverCapacity(p.fleet.index[r.serverUID])
				k.scaleDownAfter = math.Max(k.scaleDownAfter, now+p.config.ScaleDownStabilization)
			}
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// scaleUpBenefit returns the excess work that one more replica takes off the key's servers, in ms per second. It is infinite
// for the replacement of a draining server, and 0 if no replica may be started.
func (p *Planner) scaleUpBenefit(c *scaleUpCandidate) float64 {
	k, warming := c.key, c.key.countIn(Warming)
	switch {
	case len(k.replicas) >= placement.MaxCopiesPerKey,
		c.capacity >= k.requiredCapacity,
		warming >= max(p.config.MaxWarming, k.countIn(Active)):
		return 0
	case k.capacityAtDrain > c.capacity:
		// The draining server still serves its share and must not lose it at once, so fewer replicas warm up at a time.
		if warming >= max(p.config.MaxWarming/3, 1) {
			return 0
		}
		return math.Inf(1)
	case len(k.replicas) >= maxLoadReplicas:
		return 0
	}
	excess := k.loadLowerBound - k.headroomUpperBound*c.capacity
	replicaLoad := k.loadLowerBound * p.config.ServerCapacity / (c.capacity + p.config.ServerCapacity)
	return math.Min(excess, replicaLoad)
}

// chooseServer returns the index of the server for the key's next replica; ok is false if no server may get one. It is the
// first server in the key's preference order whose zone has less than its part of the key's servers and whose pod group
// has none of them. If there is no such server, chooseServer chooses a server from a zone with the fewest of the key's servers.
func (p *Planner) chooseServer(k *replicatedKey) (index int, ok bool) {
	zoneReplicas, podReplicas := map[string]int{}, map[int]int{}
	used := map[int]bool{}
	markUsed := func(i int) {
		if !used[i] {
			used[i] = true
			zoneReplicas[p.fleet.servers[i].Zone]++
			podReplicas[p.fleet.servers[i].PodGroup]++
		}
	}
	p.fleet.forEachHomeServer(k.key, markUsed)
	for _, r := range k.replicas {
		markUsed(p.fleet.index[r.serverUID])
	}
	zoneLimit := len(used)/p.fleet.zoneCount + 1
	fallback := -1
	for _, serverIndex := range p.fleet.preferenceOrder(k.key) {
		i := int(serverIndex)
		if used[i] || !p.fleet.canAddReplica(i) {
			continue
		}
		server := &p.fleet.servers[i]
		if zoneReplicas[server.Zone] < zoneLimit && podReplicas[server.PodGroup] == 0 {
			return i, true
		}
		if fallback < 0 || zoneReplicas[server.Zone] < zoneReplicas[p.fleet.servers[fallback].Zone] {
			fallback = i
		}
	}
	return fallback, fallback >= 0
}
