package balance

import (
	"cmp"
	"math"
	"slices"
)

const (
	minServersPerKey  = 2    // servers of a rare key: enough choice to even out the load, few enough to stay warm
	fleetPerKeyServer = 15   // ... and one of so many in a large fleet, where keys are asked for more often
	maxKeyFraction    = 0.5  // a frequent key has so many that it is at most this part of what each gets
	keyLoadHeadroom   = 1.25 // as headroom, for the servers of a key: a wait costs less than cold work
)

// keySubset returns the servers over which the requests of a key rotate, of those of this pick. The key's servers
// are the first by rendezvous hashing on the key, the same at all sidecars: few, so that what they served is
// warm when the key comes again, though each sidecar alone meets it seldom. Of a large fleet a sidecar that
// meets each server seldom keeps to the first of them in its own order: so it needs few connections and soon
// knows the servers that it uses, and the orders of all sidecars even out the load. Where none is free, more
// come in (bounded load).
func (b *Balancer) keySubset(key uint64) []*server {
	count := b.candidateCount()
	size := min(max(minServersPerKey, count/fleetPerKeyServer, b.frequencySubsetSize(key, count)), count)
	b.candidates = b.candidates[:0]
	order, next := b.keyOrderFor(key, size), 0
	next = b.collectKeyCandidates(order, next, size)
	if b.narrowsToOwnOrder() {
		// Weighted rendezvous again: errors and cold take keys off a server. Its size counts above.
		lowest := 0
		for i, s := range b.candidates {
			if s.keyPosition = s.rank * s.RelativeCapacity / s.weight; s.keyPosition < b.candidates[lowest].keyPosition {
				lowest = i
			}
		}
		if s := b.candidates[lowest]; b.hasCapacity(s) {
			b.candidates[0] = s
			return b.candidates[:1]
		}
		slices.SortFunc(b.candidates, compareKeyPosition)
		size = 1
	}
	for i := 0; ; i++ {
		if i == len(b.candidates) {
			if next = b.collectKeyCandidates(order, next, 2*i); i == len(b.candidates) {
				return b.candidates // none is free
			}
		}
		if b.hasCapacity(b.candidates[i]) {
			return b.candidates[:max(size, i+1)]
		}
	}
}

// frequencySubsetSize is over how many of count servers a sidecar has a key by what it meets itself.
func (b *Balancer) frequencySubsetSize(key uint64, count int) int {
	return int(math.Ceil(b.keyFrequency.fraction(key) * float64(count) / maxKeyFraction))
}

// candidateCount is how many servers a first pick by key chooses from.
func (b *Balancer) candidateCount() int {
	if b.allEjected {
		return len(b.candidates)
	}
	return b.rotation.size - b.excluded.inRotation
}

// narrowsToOwnOrder: of the servers of a key only the first few in this sidecar's own order are used.
func (b *Balancer) narrowsToOwnOrder() bool {
	return b.candidateCount()/fleetPerKeyServer > minServersPerKey && b.lowTraffic()
}

func (b *Balancer) hasCapacity(s *server) bool { return b.mayReceive(s) && !b.exceedsLoadBound(s) }

func compareKeyPosition(s, t *server) int { return cmp.Compare(s.keyPosition, t.keyPosition) }
