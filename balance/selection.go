package balance

// beginRound begins a round of the weighted round robin: a first attempt. Excluded servers get no credit for it.
func (b *Balancer) beginRound(totalWeight float64) {
	b.pool.current = totalWeight + b.selection.excluded.weight
	b.pool.recent.add(b.now, answerRateSpan*b.longestObjective, b.pool.current)
	b.selection.round++
	for _, s := range b.selection.excluded.servers {
		s.round.creditedUpTo++
	}
}

// sumCandidates sets the load bound of this pick. Without any report the attempts of this sidecar are all that is known.
func (b *Balancer) sumCandidates(anyReport bool) {
	b.selection.load, b.selection.weight, b.selection.headroom = 1, 0, loadHeadroom
	for _, s := range b.selection.candidates {
		s.loadKnown = s.loadKnown || !anyReport
		if s.loadKnown {
			b.selection.load += b.serverLoad(s)
			b.selection.weight += s.weight
		}
	}
}
