package balance

import "math"

// This file decides how an endpoint update is applied, and when discovery is polled.

const (
	// pollBackoffPerSidecar is the initial backoff, in ms per sidecar of the fleet.
	pollBackoffPerSidecar = 50
	maxPollDoublings      = 4 // doublings of the backoff, one per consecutive failed poll
	// maxUnqueuedPollBackoff bounds the backoff, in ms, if discovery can answer all sidecars in time. A
	// sidecar counts as informed 6 s after discovery becomes reachable, by the platform's protocol. That
	// leaves time for one unanswered and one answered poll. The bound does not apply if polls wait in a
	// queue: many polls at such short intervals would not be answered.
	maxUnqueuedPollBackoff = 3000
)

func (b *Balancer) onEndpointUpdate(ev EndpointUpdate) {
	switch ev.Kind {
	case UpdateFailed:
		b.discovery.failedPolls++
		b.schedulePoll(0.5, b.config.PollInterval, ev.DiscoveryUnreachable) // at least half of the backoff
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

// updateServer applies one entry of an update. A restart clears the recorded faults of a server and begins
// its slow start.
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

// schedulePoll schedules the next poll of discovery after a random delay between minFraction of the backoff
// and the backoff. maxBackoff bounds the backoff; 0: no bound. The backoff leaves discovery time for the
// polls of all sidecars: polls that all sidecars send at once, after a mass restart or an outage of
// discovery, wait in the queue of discovery until most polls have timed out. unqueued states that no polls
// wait at discovery.
func (b *Balancer) schedulePoll(minFraction, maxBackoff float64, unqueued bool) {
	fleetBackoff := pollBackoffPerSidecar * float64(max(b.config.SidecarCount, 1))
	backoff := fleetBackoff * float64(int(1)<<min(b.discovery.failedPolls, maxPollDoublings))
	fewSidecars := 2*fleetBackoff <= maxUnqueuedPollBackoff // discovery answers all their polls in time
	if backoff > maxUnqueuedPollBackoff && (unqueued || fewSidecars) {
		backoff, minFraction = maxUnqueuedPollBackoff, 0
	}
	if maxBackoff > 0 {
		backoff = math.Min(backoff, maxBackoff)
	}
	delay := backoff * (minFraction + (1-minFraction)*b.random())
	b.emit(Action{Kind: SetTimer, Token: discoveryTimer, Delay: delay})
}
