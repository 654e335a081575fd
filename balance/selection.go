package balance

// selectionState is what the pick of a server works with.
type selectionState struct {
	round        float64         // first attempts so far: the rounds of the weighted round robin
	candidates   []*server       // servers looked at in the current pick
	allEjected   bool            // in the current pick: all servers are ejected, so all are candidates
	excluded     excludedServers // from the current pick, by the placement
	pool         poolSums        // of the current pick; without key affinity only
	loadReported bool            // in the current pick: the load is known from fresh load reports

	// Bounded load: a server may hold headroom × load × its weight / weight.
	load     float64 // in flight at the servers whose load is known, with the attempt to be sent
	weight   float64 // sum of these servers' weights
	headroom float64
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
