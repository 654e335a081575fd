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

	// pollRepeatInterval is the time, in ms, after which another poll is sent beside those that are not
	// answered. It leaves time for two unanswered polls, or for a backoff and one, within the 6 s.
	pollRepeatInterval = 2600
	// queuedPollRepeatInterval applies in a large fleet from firstQueuedPoll on, the number of a poll in a
	// row: the polls probably wait in a queue, where each further one may take a turn.
	queuedPollRepeatInterval = 5100
	firstQueuedPoll          = 3
)

// PollRepeatInterval returns the time, in ms, between two polls of discovery that are not answered.
// unanswered is the number of such polls in a row.
func (c *Config) PollRepeatInterval(unanswered int) float64 {
	if unanswered >= firstQueuedPoll && !c.fewSidecars() {
		return queuedPollRepeatInterval
	}
	return pollRepeatInterval
}

// fleetPollBackoff returns the initial backoff of polls in ms.
func (c *Config) fleetPollBackoff() float64 {
	return pollBackoffPerSidecar * float64(max(c.SidecarCount, 1))
}

// fewSidecars reports whether discovery answers the polls of all sidecars in time.
func (c *Config) fewSidecars() bool { return 2*c.fleetPollBackoff() <= maxUnqueuedPollBackoff }

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
	backoff := b.config.fleetPollBackoff() * float64(int(1)<<min(b.discovery.failedPolls, maxPollDoublings))
	if backoff > maxUnqueuedPollBackoff && (unqueued || b.config.fewSidecars()) {
		backoff, minFraction = maxUnqueuedPollBackoff, 0
	}
	if maxBackoff > 0 {
		backoff = math.Min(backoff, maxBackoff)
	}
	delay := backoff * (minFraction + (1-minFraction)*b.random())
	b.emit(Action{Kind: SetTimer, Token: discoveryTimer, Delay: delay})
}
