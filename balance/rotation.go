package balance

import (
	"container/heap"
	"math"
)

// refreshesBeforeRebuild is the number of refreshes, in addition to one per server, after which the sums are computed
// again. This keeps rounding errors far below what could affect a decision.
const refreshesBeforeRebuild = 1000

// rotation is the set of servers that a first attempt may choose from with key affinity. It maintains their number,
// the sums of their weights by group and their attempts in flight, so that the cost of a pick does not grow with the
// fleet. It makes no decisions: the policy files decide what a weight is and which servers are ejected.
type rotation struct {
	size                  int
	inFlight              int // attempts of this sidecar at these servers
	groups                []*weightGroup
	changed               []*server   // servers to refresh before the next pick
	refreshQueue          refreshHeap // servers whose contribution changes with time
	refreshesSinceRebuild int
	reporters             []*server // servers with a load report that was recently fresh
}

// scheduleRefresh marks a server that has changed for a refresh before the next pick.
func (b *Balancer) scheduleRefresh(s *server) {
	if b.config.KeyAffinity && !s.refreshPending {
		s.refreshPending = true
		b.rotation.changed = append(b.rotation.changed, s)
	}
}

// scheduleZoneRefresh marks all servers of a zone for a refresh before the next pick.
func (b *Balancer) scheduleZoneRefresh(zone *zoneHealth) {
	for _, s := range b.servers {
		if s.zoneHealth == zone {
			b.scheduleRefresh(s)
		}
	}
}

// refreshRotation applies all changes since the last pick, by events or with time. It returns the sum of all weights.
func (b *Balancer) refreshRotation() float64 {
	rotation := &b.rotation
	for len(rotation.refreshQueue) > 0 && rotation.refreshQueue[0].refreshAt <= b.now {
		b.refreshServer(rotation.refreshQueue[0])
	}
	for _, s := range rotation.changed {
		s.refreshPending = false
		b.refreshServer(s)
	}
	rotation.changed = rotation.changed[:0]
	if rotation.refreshesSinceRebuild > refreshesBeforeRebuild+len(b.servers) {
		b.rebuildSums()
	}
	total := 0.0
	for _, g := range rotation.groups {
		g.factor = b.groupFactor(g.kind, g.zone)
		g.sum.advanceTo(b.now)
		total += (g.sum.level + g.sum.penalty) * g.factor
	}
	return math.Max(total, minWeight)
}

func (b *Balancer) rebuildSums() {
	b.rotation.refreshesSinceRebuild = 0
	for _, g := range b.rotation.groups {
		g.sum = weightTrend{}
	}
	for _, s := range b.servers {
		if s.inRotation {
			b.addContribution(s, 1)
		}
	}
}

// addContribution adds sign × a server's contribution to the sum of its group.
func (b *Balancer) addContribution(s *server, sign float64) {
	s.contribution.advanceTo(b.now)
	s.weightGroup.sum.advanceTo(b.now)
	s.weightGroup.sum.add(&s.contribution, sign)
}

// refreshServer removes a server from the sums and adds its current state, if it belongs to the rotation.
func (b *Balancer) refreshServer(s *server) {
	b.rotation.refreshesSinceRebuild++
	wasInRotation := s.inRotation
	if wasInRotation {
		b.leaveRotation(s)
	}
	if s.weightGroup == nil || s.weightGroup.kind != s.Kind || s.weightGroup.zone != s.Zone {
		s.weightGroup = b.weightGroupFor(s.Kind, s.Zone)
	}
	changesAt := math.Inf(1)
	if s.State == Ready {
		if changesAt = b.ejectionEnd(s); changesAt <= b.now {
			if !wasInRotation {
				s.round.creditedUpTo = b.selection.round // skips the rounds in which the server was ejected
			}
			changesAt = b.enterRotation(s)
		}
	}
	b.scheduleNextRefresh(s, changesAt)
}

func (b *Balancer) leaveRotation(s *server) {
	s.inRotation = false
	b.addContribution(s, -1)
	b.rotation.size--
	b.rotation.inFlight -= s.inFlight
}

// enterRotation adds a server to the rotation. It returns the time at which the server's contribution changes by
// itself.
func (b *Balancer) enterRotation(s *server) float64 {
	s.inRotation = true
	contribution, changesAt := b.trendOf(s)
	s.contribution = contribution
	b.addContribution(s, 1)
	b.rotation.size++
	b.rotation.inFlight += s.inFlight
	return changesAt
}

// scheduleNextRefresh queues a server for a refresh at the time at which it changes; infinite: it does not change.
func (b *Balancer) scheduleNextRefresh(s *server, changesAt float64) {
	queue := &b.rotation.refreshQueue
	// Strictly after now: otherwise a rounding error could cause endless refreshes.
	s.refreshAt = math.Max(changesAt, math.Nextafter(b.now, math.Inf(1)))
	switch scheduled := s.refreshHeapIndex > 0; {
	case !scheduled && !math.IsInf(changesAt, 1):
		heap.Push(queue, s)
	case scheduled && math.IsInf(changesAt, 1):
		heap.Remove(queue, s.refreshHeapIndex-1)
	case scheduled:
		heap.Fix(queue, s.refreshHeapIndex-1)
	}
}

// sumRotation sets the load bound of a pick from the whole rotation, as sumCandidates does from the
// candidates.
func (b *Balancer) sumRotation(totalWeight float64) {
	selection := &b.selection
	selection.load, selection.weight = 1, 0
	for _, s := range b.freshReporters() {
		if s.inRotation && !s.excluded {
			selection.load += b.serverLoad(s)
			selection.weight += b.currentWeight(s)
		}
	}
	selection.loadReported = selection.weight > 0
	if !selection.loadReported {
		selection.load = 1 + float64(b.rotation.inFlight-selection.excluded.inFlight)
		selection.weight = totalWeight
	}
}

// refreshHeap orders servers by refreshAt. It implements heap.Interface.
type refreshHeap []*server

func (h refreshHeap) Len() int           { return len(h) }
func (h refreshHeap) Less(i, j int) bool { return h[i].refreshAt < h[j].refreshAt }

func (h refreshHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].refreshHeapIndex, h[j].refreshHeapIndex = i+1, j+1
}

// Push appends a *server.
func (h *refreshHeap) Push(v any) {
	s := v.(*server)
	*h = append(*h, s)
	s.refreshHeapIndex = len(*h)
}

// Pop removes the last *server.
func (h *refreshHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	last.refreshHeapIndex = 0
	return last
}
