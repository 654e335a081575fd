package balance

import (
	"cmp"
	"math"
	"slices"
)

const (
	keyServers  = 2    // servers of a rare key: enough choice to even out the load, few enough to stay warm
	keyFleet    = 15   // ... and one of so many in a large fleet, where keys are asked for more often
	keyPart     = 0.5  // a frequent key has so many that it is at most this part of what each gets
	keyHeadroom = 1.25 // as headroom, for the servers of a key: a wait costs less than cold work
)

// shard returns the servers over which the requests of a key rotate, of those of this pick. The key's servers
// are the first by rendezvous hashing on the key, the same at all sidecars: few, so that what they served is
// warm when the key comes again, though each sidecar alone meets it seldom. Of a large fleet a sidecar that
// meets each server seldom keeps to the first of them in its own order: so it needs few connections and soon
// knows the servers that it uses, and the orders of all sidecars even out the load. Where none is free, more
// come in (bounded load).
func (b *Balancer) shard(key uint64) []*server {
	count := b.choice()
	n := min(max(keyServers, count/keyFleet, b.width(key, count)), count)
	b.entered = b.entered[:0]
	order, next := b.order(key, n), 0
	next = b.collect(order, next, n)
	if b.narrow() {
		// Weighted rendezvous again: errors and cold take keys off a server. Its size counts above.
		least := 0
		for i, s := range b.entered {
			if s.place = s.rank * s.Rating / s.weight; s.place < b.entered[least].place {
				least = i
			}
		}
		if s := b.entered[least]; b.free(s) {
			b.entered[0] = s
			return b.entered[:1]
		}
		slices.SortFunc(b.entered, byPlace)
		n = 1
	}
	for i := 0; ; i++ {
		if i == len(b.entered) {
			if next = b.collect(order, next, 2*i); i == len(b.entered) {
				return b.entered // none is free
			}
		}
		if b.free(b.entered[i]) {
			return b.entered[:max(n, i+1)]
		}
	}
}

// width is over how many of count servers a sidecar has a key by what it meets itself.
func (b *Balancer) width(key uint64, count int) int {
	return int(math.Ceil(b.keys.share(key) * float64(count) / keyPart))
}

// choice is how many servers a first pick by key chooses from.
func (b *Balancer) choice() int {
	if b.allRest {
		return len(b.entered)
	}
	return b.rot.n - b.hidden.in
}

// narrow: of the servers of a key only the first few in this sidecar's own order are used.
func (b *Balancer) narrow() bool { return b.choice()/keyFleet > keyServers && b.seldom() }

func (b *Balancer) free(s *server) bool { return b.mayTake(s) && !b.over(s) }

func byPlace(s, t *server) int { return cmp.Compare(s.place, t.place) }
