package balance

import "math"

// creditRounds adds the weights of past rounds to the running weights that the current pick compares. A pick by key in
// a sidecar that uses only the first of a key's servers (see narrowsToOwnOrder) compares no running weights, so
// creditRounds leaves them unchanged.
func (b *Balancer) creditRounds(byKey, retry bool) {
	switch {
	case b.selection.allEjected || !b.config.KeyAffinity: // adds no weight to servers that are not candidates
		for _, s := range b.selection.candidates {
			if !retry {
				s.round.creditedUpTo = b.selection.round - 1
				b.creditServer(s)
			}
		}
	case !byKey:
		for _, s := range b.selection.candidates {
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

// creditServer adds a server's current weight to its running weight, once for each round since the last call for the
// server or since the server entered the rotation.
func (b *Balancer) creditServer(s *server) {
	rounds := b.selection.round - s.round.creditedUpTo
	s.round.runningWeight = math.Min(s.round.runningWeight+s.weight*rounds, b.pool.current)
	s.round.creditedUpTo = b.selection.round
}

// beginRound begins a round of the weighted round robin. Each first attempt of a request is one round. The weights of
// excluded servers are not added to their running weights for this round.
func (b *Balancer) beginRound(totalWeight float64) {
	b.recordPool(totalWeight)
	b.selection.round++
	for _, s := range b.selection.excluded.servers {
		s.round.creditedUpTo++
	}
}
