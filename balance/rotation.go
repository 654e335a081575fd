package balance

import (
	"cmp"
	"container/heap"
	"container/list"
	"math"
	"slices"
)

// This file keeps what a pick needs at hand, so that its cost does not grow with the fleet: the sums over the
// rotation, the servers first in each key's order, the times at which either changes by itself. It only stores:
// what a weight is, who rests and which servers a key has is told in the files that decide.

// trendOf is a sum of weights that change with time by themselves, as a function of the ms d since at:
// level + slope·d + (dent + penaltySlope·d)·2^(-d/errorHalfLife). The slopes come of servers that warm up, the dents of
// errors that decay.
type weightTrend struct{ level, slope, penalty, penaltySlope, updatedAt float64 }

func (t *weightTrend) advanceTo(now float64) {
	elapsed := now - t.updatedAt
	t.updatedAt = now
	t.level += t.slope * elapsed
	if t.penalty != 0 || t.penaltySlope != 0 {
		decay := math.Exp2(-elapsed / errorHalfLife)
		t.penalty, t.penaltySlope = (t.penalty+t.penaltySlope*elapsed)*decay, t.penaltySlope*decay
	}
}

// record adds u times sign; both hold for the same time.
func (t *weightTrend) add(other *weightTrend, sign float64) {
	t.level += sign * other.level
	t.slope += sign * other.slope
	t.penalty += sign * other.penalty
	t.penaltySlope += sign * other.penaltySlope
}

// constant: the value does not change with time.
func (t *weightTrend) constant() bool { return t.slope == 0 && t.penalty == 0 && t.penaltySlope == 0 }

// weightGroupFor is the servers of one kind in one zone: they share a factor, which moves with each answer.
type weightGroup struct {
	kind, zone int
	factor     float64
	sum        weightTrend // of the members in the rotation
}

// rotation is the servers that a first pick may choose from, all those of a sidecar whose keys stay warm: how
// many they are, their weights by group, and the own attempts that they hold.
type rotation struct {
	size                  int
	inFlight              int
	groups                []*weightGroup
	changed               []*server   // to be looked at before the next pick
	refreshQueue          refreshHeap // ... and those that change by themselves
	refreshesSinceRebuild int         // since the sums were last made anew
	reporters             []*server   // those that told lately what they hold
}

// scheduleRefresh has a server looked at before the next pick: something about it has changed.
func (b *Balancer) scheduleRefresh(s *server) {
	if b.config.KeyAffinity && !s.refreshPending {
		s.refreshPending = true
		b.rotation.changed = append(b.rotation.changed, s)
	}
}

// scheduleZoneRefresh does so for all servers of a zone.
func (b *Balancer) scheduleZoneRefresh(z *zoneHealth) {
	for _, s := range b.servers {
		if s.zoneHealth == z {
			b.scheduleRefresh(s)
		}
	}
}

// refreshRotation brings the rotation up to date: what changed by an event or by itself, then the sums. It returns the sum
// of all weights.
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
	if rotation.refreshesSinceRebuild > 1000+len(b.servers) { // rounding errors stay below any that counts
		rotation.refreshesSinceRebuild = 0
		for _, g := range rotation.groups {
			g.sum = weightTrend{}
		}
		for _, s := range b.servers {
			if s.inRotation {
				s.contribution.advanceTo(b.now)
				s.weightGroup.sum.advanceTo(b.now)
				s.weightGroup.sum.add(&s.contribution, 1)
			}
		}
	}
	total := 0.0
	for _, g := range rotation.groups {
		g.factor = b.groupFactor(g.kind, g.zone)
		g.sum.advanceTo(b.now)
		total += (g.sum.level + g.sum.penalty) * g.factor
	}
	return math.Max(total, 1e-6)
}

// refreshServer takes a server out of the sums and puts it back as it is now, where it is in the rotation.
func (b *Balancer) refreshServer(s *server) {
	rotation := &b.rotation
	rotation.refreshesSinceRebuild++
	wasInRotation := s.inRotation
	if s.inRotation {
		s.inRotation = false
		s.contribution.advanceTo(b.now)
		s.weightGroup.sum.advanceTo(b.now)
		s.weightGroup.sum.add(&s.contribution, -1)
		rotation.size--
		rotation.inFlight -= s.inFlight
	}
	if s.weightGroup == nil || s.weightGroup.kind != s.Kind || s.weightGroup.zone != s.Zone {
		s.weightGroup = b.weightGroupFor(s.Kind, s.Zone)
	}
	changesAt := math.Inf(1)
	if s.State == Ready {
		if changesAt = b.ejectionEnd(s); changesAt <= b.now {
			s.inRotation = true
			if !wasInRotation {
				s.creditedRound = b.round // it gets none for its rest
			}
			s.contribution, changesAt = b.trendOf(s)
			s.weightGroup.sum.advanceTo(b.now)
			s.weightGroup.sum.add(&s.contribution, 1)
			rotation.size++
			rotation.inFlight += s.inFlight
		}
	}
	s.refreshAt = math.Max(changesAt, math.Nextafter(b.now, math.Inf(1))) // else a rounding error had it looked at for ever
	switch scheduled := s.refreshHeapIndex > 0; {
	case !scheduled && !math.IsInf(changesAt, 1):
		heap.Push(&rotation.refreshQueue, s)
	case scheduled && math.IsInf(changesAt, 1):
		heap.Remove(&rotation.refreshQueue, s.refreshHeapIndex-1)
	case scheduled:
		heap.Fix(&rotation.refreshQueue, s.refreshHeapIndex-1)
	}
}

func (b *Balancer) weightGroupFor(kind, zone int) *weightGroup {
	for _, g := range b.rotation.groups {
		if g.kind == kind && g.zone == zone {
			return g
		}
	}
	g := &weightGroup{kind: kind, zone: zone}
	b.rotation.groups = append(b.rotation.groups, g)
	return g
}

// addInFlight counts an own attempt that a server got or lost.
func (b *Balancer) addInFlight(s *server, delta int) {
	s.inFlight += delta
	if s.inRotation {
		b.rotation.inFlight += delta
	}
}

// trendOf is a server's weight without that factor as it changes by itself, until the time that it returns.
func (b *Balancer) trendOf(s *server) (weightTrend, float64) {
	slowStart, rise, until := b.slowStartFactor(s), 0.0, math.Inf(1)
	if b.now < s.slowStartSince {
		until = s.slowStartSince
	} else if b.inSlowStart(s) {
		rise, until = (1-b.config.SlowStartMinCapacity)/b.config.SlowStartDuration, s.slowStartSince+b.config.SlowStartDuration
	}
	health, penalty := b.health(s), 0.0
	if health <= minHealth {
		until = math.Min(until, s.lastErrorAt+errorHalfLife*math.Log2(float64(s.consecutiveErrors)*errorPenalty/(1-minHealth)))
	} else {
		health, penalty = 1, 1-health
	}
	capacity := 100 * s.RelativeCapacity * math.Exp(s.logCapacity)
	t := weightTrend{level: capacity * slowStart * health, slope: capacity * rise * health, updatedAt: b.now}
	t.penalty, t.penaltySlope = -capacity*slowStart*penalty, -capacity*rise*penalty
	return t, until
}

// currentWeight is the weight of a server of the rotation, its zone's favour included, from what settle keeps.
func (b *Balancer) currentWeight(s *server) float64 {
	if s.contribution.constant() {
		return max(s.contribution.level*s.weightGroup.factor, 1e-6)
	}
	s.contribution.advanceTo(b.now)
	return max((s.contribution.level+s.contribution.penalty)*s.weightGroup.factor, 1e-6)
}

// sumRotation does for the whole rotation what enter does for a pick that lists its servers.
func (b *Balancer) sumRotation(totalWeight float64) {
	b.candidateLoad, b.candidateWeight = 1, 0
	for _, s := range b.freshReporters() {
		if s.inRotation && !s.excluded {
			b.candidateLoad += b.serverLoad(s)
			b.candidateWeight += b.currentWeight(s)
		}
	}
	if b.loadReported = b.candidateWeight > 0; !b.loadReported {
		b.candidateLoad, b.candidateWeight = 1+float64(b.rotation.inFlight-b.excluded.inFlight), totalWeight
	}
}

// creditRounds gives all servers in question their turns. A sidecar that keeps to few servers of each key does
// not compare them by running: there it has to be up to date for a repeat only.
func (b *Balancer) creditRounds(byKey, retry bool) {
	switch {
	case b.allEjected || !b.config.KeyAffinity: // what is out of these gets no turns
		for _, s := range b.candidates {
			if !retry {
				s.creditedRound = b.round - 1
				b.creditServer(s)
			}
		}
	case !byKey:
		for _, s := range b.candidates {
			b.creditServer(s)
		}
	case !b.narrowsToOwnOrder():
		for _, s := range b.servers {
			if s.inRotation && !s.excluded {
				s.weight = b.currentWeight(s)
				b.creditServer(s)
			}
		}
	}
}

// creditServer gives a server its turns since it was last credited, or came back, at the weight of now.
func (b *Balancer) creditServer(s *server) {
	s.runningWeight = math.Min(s.runningWeight+s.weight*(b.round-s.creditedRound), b.poolWeight)
	s.creditedRound = b.round
}

// freshReporters lists the servers of the rotation whose report is fresh. Few are: a report is soon old.
func (b *Balancer) freshReporters() []*server {
	fresh := b.rotation.reporters[:0]
	for _, s := range b.rotation.reporters {
		if s.reportFresh = b.hasFreshReport(s); s.reportFresh {
			fresh = append(fresh, s)
		}
	}
	b.rotation.reporters = fresh
	return fresh
}

// refreshHeap orders servers by the time at which they change by themselves.
type refreshHeap []*server

func (h refreshHeap) Len() int           { return len(h) }
func (h refreshHeap) Less(i, j int) bool { return h[i].refreshAt < h[j].refreshAt }
func (h refreshHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].refreshHeapIndex, h[j].refreshHeapIndex = i+1, j+1
}
func (h *refreshHeap) Push(v any) {
	s := v.(*server)
	*h = append(*h, s)
	s.refreshHeapIndex = len(*h)
}
func (h *refreshHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	last.refreshHeapIndex = 0
	return last
}

const (
	// maxCachedOrderEntries bounds the servers in all kept orders: 2 MB of pointers, the whole order of 1,300 keys at 200
	// servers, or the first 170 for 1,500 keys at 2,000.
	maxCachedOrderEntries = 1 << 18
	// maxMissedChanges is how many changes of the list an order may have missed and still be mended one by one.
	maxMissedChanges = 256
)

// keyOrder is the head of a key's order of the servers: those whose place is at most cumulative.
type keyOrder struct {
	key         uint64
	servers     []*server
	coveredUpTo float64 // infinite: all servers
	version     int     // changes of the list that it has taken in
}

// keyOrderCache keeps the orders of the keys asked for last.
type keyOrderCache struct {
	byKey   map[uint64]*list.Element
	recent  *list.List // of *keyOrder, that of last use in front
	entries int        // servers in all of them
	changes []*server  // that came, went or are rated otherwise, the latest last
	version int        // changes since the start
	scratch []keyPosition
}

type keyPosition struct {
	position float64
	server   *server
}

func newKeyOrderCache() keyOrderCache {
	return keyOrderCache{byKey: map[uint64]*list.Element{}, recent: list.New()}
}

func positionForKey(key uint64, s *server) float64 {
	return RendezvousPosition(key, s.ID, s.RelativeCapacity)
}

// recordChange notes that a server came, went or is rated otherwise.
func (o *keyOrderCache) recordChange(s *server) {
	o.version++
	if len(o.changes) == 2*maxMissedChanges {
		o.changes = slices.Delete(o.changes, 0, maxMissedChanges)
	}
	o.changes = append(o.changes, s)
}

// keyOrderFor returns a key's order with at least the first n servers, of all where there are fewer.
func (b *Balancer) keyOrderFor(key uint64, length int) *keyOrder {
	cache := &b.keyOrders
	var order *keyOrder
	if element := cache.byKey[key]; element != nil {
		cache.recent.MoveToFront(element)
		order = element.Value.(*keyOrder)
		b.applyMissedChanges(order)
	} else {
		order = &keyOrder{key: key, version: cache.version}
		cache.byKey[key] = cache.recent.PushFront(order)
	}
	if len(order.servers) < length && !math.IsInf(order.coveredUpTo, 1) {
		b.extendKeyOrder(order, length)
	}
	return order
}

// applyMissedChanges takes the changes of the list that an order has missed into it, or empties it where they are many.
func (b *Balancer) applyMissedChanges(order *keyOrder) {
	cache := &b.keyOrders
	missed := cache.version - order.version
	if missed == 0 {
		return
	}
	order.version = cache.version
	cache.entries -= len(order.servers)
	if missed > len(cache.changes) || missed > maxMissedChanges {
		order.servers, order.coveredUpTo = order.servers[:0], 0
		return
	}
	changed := cache.changes[len(cache.changes)-missed:]
	order.servers = slices.DeleteFunc(order.servers, func(s *server) bool { return slices.Contains(changed, s) })
	for _, s := range changed {
		at := positionForKey(order.key, s)
		if b.serversByID[s.ID] != s || at > order.coveredUpTo || slices.Contains(order.servers, s) {
			continue
		}
		i, _ := slices.BinarySearchFunc(order.servers, at, func(t *server, at float64) int {
			return cmp.Compare(positionForKey(order.key, t), at)
		})
		order.servers = slices.Insert(order.servers, i, s)
	}
	cache.entries += len(order.servers)
}

// extendKeyOrder makes an order at least n servers long, and somewhat more. It sorts only what is to be kept.
func (b *Balancer) extendKeyOrder(order *keyOrder, length int) {
	cache := &b.keyOrders
	cache.entries -= len(order.servers)
	length += length/4 + 8
	totalCapacity := 0.0
	for _, s := range b.servers {
		totalCapacity += s.RelativeCapacity
	}
	serverCount := float64(len(b.servers))
	cache.scratch = cache.scratch[:0]
	for len(cache.scratch) < min(length, len(b.servers)) {
		cache.scratch = cache.scratch[:0]
		if float64(length) > serverCount/2 {
			order.coveredUpTo = math.Inf(1)
		} else { // places are spread exponentially
			order.coveredUpTo = math.Max(2*order.coveredUpTo, -math.Log1p(-float64(length)/serverCount)*serverCount/totalCapacity)
		}
		for _, s := range b.servers {
			if position := positionForKey(order.key, s); position <= order.coveredUpTo {
				cache.scratch = append(cache.scratch, keyPosition{position, s})
			}
		}
	}
	slices.SortFunc(cache.scratch, func(p, q keyPosition) int { return cmp.Compare(p.position, q.position) })
	order.servers = slices.Grow(order.servers[:0], len(cache.scratch))
	for _, p := range cache.scratch {
		order.servers = append(order.servers, p.server)
	}
	cache.entries += len(order.servers)
	for cache.entries > maxCachedOrderEntries && cache.recent.Len() > 1 {
		e := cache.recent.Back()
		old := cache.recent.Remove(e).(*keyOrder)
		delete(cache.byKey, old.key)
		cache.entries -= len(old.servers)
	}
}

// insertServer keeps the servers in this sidecar's own order, with a new or changed entry of one of them.
func (b *Balancer) insertServer(s *server, entry *Server) {
	oldRank, oldCapacity, i := s.rank, s.RelativeCapacity, b.indexByRank(s, s.rank)
	s.Server = *entry
	if !(s.RelativeCapacity > 0) {
		s.RelativeCapacity = 1
	}
	s.rank, s.zoneHealth = b.ownOrderRank(s), b.healthOfZone(s.Zone)
	b.gossip.serversByTag[serverTag(s.ID)] = s
	if i < 0 || oldCapacity != s.RelativeCapacity {
		b.keyOrders.recordChange(s)
	}
	if i >= 0 && oldRank != s.rank {
		b.servers = slices.Delete(b.servers, i, i+1)
	}
	if i < 0 || oldRank != s.rank {
		i, _ = slices.BinarySearchFunc(b.servers, s.rank, compareRank)
		b.servers = slices.Insert(b.servers, i, s)
	}
}

// indexByRank finds a server that was enlisted with a rank; -1: it was not.
func (b *Balancer) indexByRank(s *server, rank float64) int {
	i, _ := slices.BinarySearchFunc(b.servers, rank, compareRank)
	for ; i < len(b.servers) && b.servers[i].rank == rank; i++ {
		if b.servers[i] == s {
			return i
		}
	}
	return -1
}

func compareRank(s *server, rank float64) int { return cmp.Compare(s.rank, rank) }

// collectKeyCandidates goes on through a key's order, from its place next, until n servers of the rotation are listed, and
// returns the place after them.
func (b *Balancer) collectKeyCandidates(order *keyOrder, next, count int) int {
	for ; len(b.candidates) < count; next++ {
		if next == len(order.servers) {
			if math.IsInf(order.coveredUpTo, 1) {
				break
			}
			b.extendKeyOrder(order, 2*next)
		}
		s := order.servers[next]
		if s.excluded {
			continue
		} else if s.inRotation {
			b.prepareCandidate(s)
		} else if !b.allEjected || s.State != Ready {
			continue
		}
		b.candidates = append(b.candidates, s)
	}
	return next
}

// prepareCandidate takes a server of the rotation into the current pick by key.
func (b *Balancer) prepareCandidate(s *server) {
	s.weight, s.loadKnown = b.currentWeight(s), !b.loadReported || b.hasFreshReport(s)
}

// keyFrequencySpan is the requests over which a key's share is taken: seconds for a small sidecar.
const keyFrequencySpan = 256

// keyFrequencies counts the requests for each key and forgets them by halves, so that it stays small.
type keyFrequencies struct {
	counts map[uint64]float64
	total  float64
}

func (m *keyFrequencies) record(key uint64) {
	if m.total++; m.total >= keyFrequencySpan {
		m.total /= 2
		for k, n := range m.counts {
			if n /= 2; n < 1 {
				delete(m.counts, k)
			} else {
				m.counts[k] = n
			}
		}
	}
	if key != 0 {
		m.counts[key]++
	}
}

// fraction is the part of all requests that ask for the key; what came once tells nothing.
func (m *keyFrequencies) fraction(key uint64) float64 {
	return math.Max(m.counts[key]-1, 0) / math.Max(m.total, keyFrequencySpan/4)
}
