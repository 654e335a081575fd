package balance

import "math"

// This file decides what an endpoint update means, and when discovery is polled.

const (
	// pollBackoffPerSidecar is the first backoff, in ms for each sidecar of the fleet.
	pollBackoffPerSidecar = 50
	maxPollDoublings      = 4 // of the backoff, one for each failure in a row
	// maxPromptPollBackoff bounds the backoff, in ms, where discovery has time for all sidecars. A sidecar
	// counts as informed 6 s after discovery can be reached (PROTOCOL), which leaves time for a poll without
	// an answer and one with it. Where polls wait in a queue, many that come so soon would not be answered.
	maxPromptPollBackoff = 3000
)

func (b *Balancer) onEndpointUpdate(ev EndpointUpdate) {
	switch ev.Kind {
	case UpdateFailed:
		b.discovery.failedPolls++
		b.schedulePoll(0.5, b.config.PollInterval, ev.DiscoveryUnreachable) // from half of the backoff on
		return
	case UpdateFull, UpdateCached:
		b.removeUnlisted(ev.Servers)
	case UpdateDelta:
	}
	if ev.Kind != UpdateCached {
		b.discovery.failedPolls = 0
	}
	for i := range ev.Servers {
		b.updateServer(&ev.Servers[i])
	}
	b.dropRemoved()
	b.invalidateExclusionSets()
	if !b.gossip.bootstrapped && len(b.servers) > 0 {
		b.queueFinding(findingQuery, 0)
	}
}

// updateServer applies one entry. A restart clears what is held against a server and begins its slow start.
func (b *Balancer) updateServer(entry *Server) {
	s := b.serversByID[entry.ID]
	switch {
	case s == nil && entry.State == Removed:
		return
	case s == nil:
		s = b.newServer()
		b.serversByID[entry.ID] = s
	case s.Server == *entry:
		return
	}
	if entry.StartedAt > s.StartedAt {
		s.clearFaults()
		s.round = roundRobinState{creditedUpTo: b.selection.round}
		b.beginSlowStart(s, entry.StartedAt)
	}
	b.insertServer(s, entry)
	b.scheduleRefresh(s)
}

// schedulePoll polls discovery after a backoff with jitter, from minFraction of it to all, within maxBackoff
// if that is not 0. The backoff leaves discovery time for the polls of all sidecars: what they send at once,
// after a mass restart or an outage of discovery, waits in its queue until most is given up. prompt says that
// there is no queue.
func (b *Balancer) schedulePoll(minFraction, maxBackoff float64, prompt bool) {
	fleetBackoff := pollBackoffPerSidecar * float64(max(b.config.SidecarCount, 1))
	backoff := fleetBackoff * float64(int(1)<<min(b.discovery.failedPolls, maxPollDoublings))
	fewSidecars := 2*fleetBackoff <= maxPromptPollBackoff // their polls all pass in time
	if backoff > maxPromptPollBackoff && (prompt || fewSidecars) {
		backoff, minFraction = maxPromptPollBackoff, 0
	}
	if maxBackoff > 0 {
		backoff = math.Min(backoff, maxBackoff)
	}
	delay := backoff * (minFraction + (1-minFraction)*b.random())
	b.emit(Action{Kind: SetTimer, Token: discoveryTimer, Delay: delay})
}
