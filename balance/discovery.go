package balance

import "math"

// This file decides what an endpoint update means, and when discovery is polled.

const (
	// pollPause is the pause before a poll, in ms for each sidecar of the fleet; it doubles with each
	// failure.
	pollPause        = 50
	maxPollDoublings = 4
	// promptPollPause is the longest pause, in ms, where discovery has time for all sidecars. A sidecar
	// counts as informed 6 s after discovery can be reached (PROTOCOL), which leaves time for a poll that
	// gets no answer and one that does. Where polls wait in a queue, many that come so soon would never be
	// answered.
	promptPollPause = 3000
)

func (b *Balancer) onEndpointUpdate(ev EndpointUpdate) {
	switch ev.Kind {
	case UpdateFailed:
		b.discovery.failedPolls++
		b.schedulePoll(0.5, b.config.PollInterval, ev.DiscoveryUnreachable) // a quarter of what is allowed
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

// schedulePoll polls discovery after a backoff with jitter, from minFraction of it to all, within maxPause if
// that is not 0. The backoff leaves discovery time for the polls of all sidecars: what they send at once,
// after a mass restart or an outage of discovery, waits in its queue until most is given up. prompt says that
// there is no queue.
func (b *Balancer) schedulePoll(minFraction, maxPause float64, prompt bool) {
	fleetPause := pollPause * float64(max(b.config.SidecarCount, 1))
	pause := fleetPause * float64(int(1)<<min(b.discovery.failedPolls, maxPollDoublings))
	fewSidecars := 2*fleetPause <= promptPollPause // their polls all pass in time
	if pause > promptPollPause && (prompt || fewSidecars) {
		pause, minFraction = promptPollPause, 0
	}
	if maxPause > 0 {
		pause = math.Min(pause, maxPause)
	}
	delay := pause * (minFraction + (1-minFraction)*b.random())
	b.emit(Action{Kind: SetTimer, Token: discoveryTimer, Delay: delay})
}
