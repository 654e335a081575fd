package balance

import (
	"math"
	"slices"
)

// This file decides which servers receive the requests of a key.

const (
	minServersPerKey  = 2    // enough servers to balance the load, few enough to keep their caches warm
	fleetPerKeyServer = 15   // a key has one server per this many servers of a large fleet
	maxKeyFraction    = 0.5  // maximum fraction of a server's requests that a frequent key causes
	keyLoadHeadroom   = 1.25 // loadHeadroom for a key's servers: waiting costs less than a cold cache
)

// keySubset returns the servers to choose from for a key: the first servers in the key's order by
// rendezvous hashing, which is the same at all sidecars. The subset is small, so that its servers are still
// warm for the key at the key's next request, even if each sidecar receives the key rarely. In a large
// fleet, a sidecar with little traffic uses only the server of the subset that is first in the sidecar's
// own order: the sidecar needs few connections and soon knows the servers that it uses, and the orders of
// all sidecars together balance the load. While no server of the subset has capacity, the subset grows
// (bounded load).
func (b *Balancer) keySubset(key uint64) []*server {
	count := b.candidateCount()
	size := min(max(minServersPerKey, count/fleetPerKeyServer, b.frequencySubsetSize(key, count)), count)
	b.selection.candidates = b.selection.candidates[:0]
	order := b.keyOrderFor(key, size)
	next := b.collectKeyCandidates(order, 0, size)
	if b.narrowsToOwnOrder() {
		if b.narrowCandidates() {
			return b.selection.candidates[:1]
		}
		size = 1
	}
	for i := 0; ; i++ {
		if i == len(b.selection.candidates) {
			if next = b.collectKeyCandidates(order, next, 2*i); i == len(b.selection.candidates) {
				return b.selection.candidates // none has capacity
			}
		}
		if b.hasCapacity(b.selection.candidates[i]) {
			return b.selection.candidates[:max(size, i+1)]
		}
	}
}

// narrowCandidates sorts the candidates by rank in this sidecar's own order, divided by weight per capacity,
// so that errors and slow start move keys away from a server. If the first candidate has capacity,
// narrowCandidates stores it at index 0, without sorting, and returns true.
func (b *Balancer) narrowCandidates() bool {
	candidates, first := b.selection.candidates, 0
	for i, s := range candidates {
		s.keyPosition = s.rank * s.RelativeCapacity / s.weight
		if s.keyPosition < candidates[first].keyPosition {
			first = i
		}
	}
	if b.hasCapacity(candidates[first]) {
		candidates[0] = candidates[first]
		return true
	}
	slices.SortFunc(candidates, compareKeyPosition)
	return false
}

// frequencySubsetSize returns the number of servers, out of count, over which a key is distributed because
// of its frequency at this sidecar.
func (b *Balancer) frequencySubsetSize(key uint64, count int) int {
	return int(math.Ceil(b.keys.fraction(key) * float64(count) / maxKeyFraction))
}

// candidateCount returns the number of servers that a first attempt for a key can choose from.
func (b *Balancer) candidateCount() int {
	if b.selection.allEjected {
		return len(b.selection.candidates)
	}
	return b.rotation.size - b.selection.excluded.inRotation
}

// narrowsToOwnOrder reports whether this sidecar uses only the first of a key's servers in its own order.
func (b *Balancer) narrowsToOwnOrder() bool {
	return b.candidateCount()/fleetPerKeyServer > minServersPerKey && b.lowTraffic()
}

func (b *Balancer) hasCapacity(s *server) bool { return b.mayReceive(s) && !b.exceedsLoadBound(s) }
