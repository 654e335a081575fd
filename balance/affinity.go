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
	keySpan     = 256  // requests over which a key's share is taken: seconds for a small sidecar
)

// shard returns the servers over which the requests of a key rotate, of those of this pick. The key's servers
// are the first by rendezvous hashing on the key, the same at all sidecars: few, so that what they served is
// warm when the key comes again, though each sidecar alone meets it seldom. Of a large fleet a sidecar that
// meets each server seldom keeps to the first of them in its own order: so it needs few connections and soon
// knows the servers that it uses, and the orders of all sidecars even out the load. Where none is free, more
// come in (bounded load).
func (b *Balancer) shard(key uint64) []*server {
	count := b.choice()
	most := count / keyFleet
	n := max(keyServers, most, int(math.Ceil(b.keys.share(key)*float64(count)/keyPart)))
	n = min(n, count)
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

// choice is how many servers a first pick by key chooses from.
func (b *Balancer) choice() int {
	if b.allRest {
		return len(b.entered)
	}
	return b.rot.n
}

// narrow: of the servers of a key only the first few in this sidecar's own order are used.
func (b *Balancer) narrow() bool { return b.choice()/keyFleet > keyServers && b.seldom() }

func (b *Balancer) free(s *server) bool { return b.mayTake(s) && !b.over(s) }

// collect goes on through a key's order, from its place next, until n servers of the rotation are listed, and
// returns the place after them.
func (b *Balancer) collect(order *keyOrder, next, n int) int {
	for ; len(b.entered) < n; next++ {
		if next == len(order.servers) {
			if math.IsInf(order.upTo, 1) {
				break
			}
			b.extend(order, 2*next)
		}
		s := order.servers[next]
		if s.in {
			s.weight, s.known = b.weightNow(s), !b.told || b.fresh(s)
		} else if !b.allRest || s.State != Ready {
			continue
		}
		b.entered = append(b.entered, s)
	}
	return next
}

func byPlace(s, t *server) int { return cmp.Compare(s.place, t.place) }

// keyMeter counts the requests for each key and forgets them by halves, so that it stays small.
type keyMeter struct {
	counts map[uint64]float64
	all    float64
}

func (m *keyMeter) add(key uint64) {
	if m.all++; m.all >= keySpan {
		m.all /= 2
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

// share is the part of all requests that ask for the key; what came once tells nothing.
func (m *keyMeter) share(key uint64) float64 {
	return math.Max(m.counts[key]-1, 0) / math.Max(m.all, keySpan/4)
}
