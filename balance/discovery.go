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

	// notificationDeadline is the time, in ms, after which a sidecar counts as informed. Up to
	// earlyFailedPolls polls in a row that fail are repeated early enough for an answer before that, which
	// takes up to earlyPollReserve, in ms.
	notificationDeadline = 6000
	earlyPollReserve     = 200
	earlyFailedPolls     = 2
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
		b.onPollFailed(ev.DiscoveryUnreachable)
		return
	case UpdateFull, UpdateCached:
		b.removeUnlisted(ev.Servers)
	case UpdateDelta:
	}
	if ev.Kind != UpdateCached {
		b.discovery = discoveryState{}
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

// poll polls discovery.
func (b *Balancer) poll() {
	if !b.discovery.polling {
		b.discovery.polling, b.discovery.polledAt = true, b.now
	}
	b.emit(Action{Kind: WatchEndpoints})
}

// onPollFailed schedules the next poll after a failed poll or the end of a subscription. unqueued states that
// no polls wait at discovery.
func (b *Balancer) onPollFailed(unqueued bool) {
	d := &b.discovery
	duration := 0.0 // of the poll
	if d.polling {
		duration = b.now - d.polledAt
	}
	d.polling = false
	if d.failedPolls++; d.failedPolls == 1 {
		d.failingSince = b.now - duration
	}
	maxBackoff := b.config.PollInterval
	limit := b.earlyPollLimit(duration)
	early := limit > 0 && (unqueued || b.config.fewSidecars())
	if early && (limit < maxBackoff || maxBackoff == 0) {
		maxBackoff = limit
	}
	b.schedulePoll(0.5, maxBackoff, unqueued) // at least half of the backoff
}

// earlyPollLimit returns the longest backoff, in ms, with which earlyFailedPolls polls in a row may fail,
// each after the same duration in ms, and the next one is answered before notificationDeadline. It is 0 or
// less if there is no such backoff.
func (b *Balancer) earlyPollLimit(duration float64) float64 {
	d := &b.discovery
	if d.failedPolls > earlyFailedPolls {
		return 0
	}
	furtherFailures := float64(earlyFailedPolls - d.failedPolls)
	return notificationDeadline - earlyPollReserve - (b.now - d.failingSince) - furtherFailures*duration
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
		backoff = maxUnqueuedPollBackoff
		if unqueued {
			minFraction = 0
		}
	}
	if maxBackoff > 0 {
		backoff = math.Min(backoff, maxBackoff)
	}
	delay := backoff * (minFraction + (1-minFraction)*b.random())
	b.emit(Action{Kind: SetTimer, Token: discoveryTimer, Delay: delay})
}
