package balance

// selectionState is the working state of a pick.
type selectionState struct {
	round        float64         // first attempts so far, which are the rounds of the weighted round robin
	candidates   []*server       // servers considered by the current pick
	allEjected   bool            // in the current pick: all servers are ejected, so all are candidates
	excluded     excludedServers // from the current pick, by the placement
	pool         poolSums        // of the current pick; without key affinity only
	loadReported bool            // in the current pick: the load comes from fresh load reports

	// Bounded load: a server may hold headroom × load × its weight / weight.
	load     float64 // requests in flight at the servers with a known load, plus the attempt to be sent
	weight   float64 // sum of these servers' weights
	headroom float64
}

// sumCandidates sets the load bound of the current pick, above which best prefers other servers. It sums the
// loads and the weights of the candidates with a known load. Without any fresh load report, all candidates
// count, each with the attempts of this sidecar only.
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
