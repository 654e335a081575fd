package balance

import (
	"cmp"
	"container/list"
	"math"
	"slices"
)

const (
	// maxCachedOrderEntries bounds the total number of servers in all cached orders. It is 2 MB of pointers: the
	// complete order of 1,300 keys at 200 servers, or the first 170 servers for 1,500 keys at 2,000 servers.
	maxCachedOrderEntries = 1 << 18
	// maxMissedChanges is the number of server list changes that an order may miss and still be updated one by one.
	maxMissedChanges = 256
)

// keyOrder is the beginning of a key's order of the servers: the servers with a position of at most coveredUpTo.
type keyOrder struct {
	key         uint64
	servers     []*server
	coveredUpTo float64 // infinite: all servers
	version     int     // of the server list that it reflects
}

// keyOrderCache caches the orders of the most recently requested keys.
type keyOrderCache struct {
	byKey   map[uint64]*list.Element
	recent  *list.List // of *keyOrder, most recently used first
	entries int        // in all cached orders
	changes []*server  // servers that were added, removed or changed in capacity, the latest last
	version int        // number of changes since the start
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

// recordChange records that a server was added or removed, or changed its capacity.
func (c *keyOrderCache) recordChange(s *server) {
	c.version++
	if len(c.changes) == 2*maxMissedChanges {
		c.changes = slices.Delete(c.changes, 0, maxMissedChanges)
	}
	c.changes = append(c.changes, s)
}

// evict removes the least recently used orders until the cache is within its bound.
func (c *keyOrderCache) evict() {
	for c.entries > maxCachedOrderEntries && c.recent.Len() > 1 {
		oldest := c.recent.Remove(c.recent.Back()).(*keyOrder)
		delete(c.byKey, oldest.key)
		c.entries -= len(oldest.servers)
	}
}

// keyOrderFor returns a key's order with at least the first length servers, or all servers if they are fewer.
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

// applyMissedChanges applies the server list changes that an order has missed. It empties the order if they are many.
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
		position := positionForKey(order.key, s)
		if b.serversByID[s.ID] != s || position > order.coveredUpTo || slices.Contains(order.servers, s) {
			continue
		}
		i, _ := slices.BinarySearchFunc(order.servers, position, func(other *server, position float64) int {
			return cmp.Compare(positionForKey(order.key, other), position)
		})
		order.servers = slices.Insert(order.servers, i, s)
	}
	cache.entries += len(order.servers)
}

// extendKeyOrder extends an order to somewhat more than length servers. It sorts only the servers that it keeps.
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
		if float64(length) > serverCount/2 {
			order.coveredUpTo = math.Inf(1)
		} else { // positions are exponentially distributed
			expected := -math.Log1p(-float64(length)/serverCount) * serverCount / totalCapacity
			order.coveredUpTo = math.Max(2*order.coveredUpTo, expected)
		}
		cache.scratch = b.appendPositions(cache.scratch[:0], order)
	}
	slices.SortFunc(cache.scratch, func(p, q keyPosition) int { return cmp.Compare(p.position, q.position) })
	order.servers = slices.Grow(order.servers[:0], len(cache.scratch))
	for _, p := range cache.scratch {
		order.servers = append(order.servers, p.server)
	}
	cache.entries += len(order.servers)
	cache.evict()
}

// appendPositions appends the servers whose position the order covers.
func (b *Balancer) appendPositions(to []keyPosition, order *keyOrder) []keyPosition {
	for _, s := range b.servers {
		if position := positionForKey(order.key, s); position <= order.coveredUpTo {
			to = append(to, keyPosition{position, s})
		}
	}
	return to
}

// collectKeyCandidates walks a key's order from the index next until count candidates are collected, and returns the
// index after them.
func (b *Balancer) collectKeyCandidates(order *keyOrder, next, count int) int {
	for ; len(b.selection.candidates) < count; next++ {
		if next == len(order.servers) {
			if math.IsInf(order.coveredUpTo, 1) {
				break
			}
			b.extendKeyOrder(order, 2*next)
		}
		s := order.servers[next]
		switch {
		case s.excluded:
			continue
		case s.inRotation:
			b.prepareCandidate(s)
		case !b.selection.allEjected || s.State != Ready:
			continue
		}
		b.selection.candidates = append(b.selection.candidates, s)
	}
	return next
}

// prepareCandidate sets the fields of a server in the rotation that the current pick by key needs.
func (b *Balancer) prepareCandidate(s *server) {
	s.weight = b.currentWeight(s)
	s.loadKnown = !b.selection.loadReported || b.hasFreshReport(s)
}

func compareKeyPosition(s, other *server) int { return cmp.Compare(s.keyPosition, other.keyPosition) }
