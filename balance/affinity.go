package balance

import (
	"math"
	"slices"
)

// This file decides which servers a key's requests go to.

const (
	minServersPerKey  = 2    // enough choice to even out the load, few enough to stay warm
	fleetPerKeyServer = 15   // in a large fleet a key has one of so many servers
	maxKeyFraction    = 0.5  // a frequent key is at most this part of what each of its servers receives
	keyLoadHeadroom   = 1.25 // loadHeadroom for a key's servers: a wait costs less than a cold cache
)

// keySubset returns the servers to choose from for a key: the first in the key's order by rendezvous hashing,
// the same at all sidecars. They are few, so that a key is still warm when it comes again, though each
// sidecar meets it seldom. In a large fleet a sidecar with little traffic keeps to the first of them in its
// own order: it needs few connections and soon knows the servers that it uses, and the orders of all sidecars
// even out the load. While none of them has capacity the subset grows (bounded load).
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

// narrowCandidates orders the candidates by this sidecar's own order, weighted once more so that errors and
// slow start take keys off a server. If the first has capacity it returns true, with only that one in place.
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

// frequencySubsetSize is over how many of count servers a key is distributed for its frequency at this
// sidecar.
func (b *Balancer) frequencySubsetSize(key uint64, count int) int {
	return int(math.Ceil(b.keys.fraction(key) * float64(count) / maxKeyFraction))
}

// candidateCount is how many servers a first attempt by key chooses from.
func (b *Balancer) candidateCount() int {
	if b.selection.allEjected {
		return len(b.selection.candidates)
	}
	return b.rotation.size - b.selection.excluded.inRotation
}

// narrowsToOwnOrder reports whether only the first of a key's servers in this sidecar's own order are used.
func (b *Balancer) narrowsToOwnOrder() bool {
	return b.candidateCount()/fleetPerKeyServer > minServersPerKey && b.lowTraffic()
}

func (b *Balancer) hasCapacity(s *server) bool { return b.mayReceive(s) && !b.exceedsLoadBound(s) }
