package balance

import "math"

// This file decides what a change of the list means, and when it is asked for.

// pollPause is the ms of pause before a list call for each sidecar that may call too; it doubles each time.
// What discovery has counts as told 6 s after it can be reached (PROTOCOL): promptPollPause ms leave room for a
// silent call and the answer. But where calls wait in turn, many that come so soon would never pass.
const pollPause, promptPollPause = 50, 3000

func (b *Balancer) onEndpointUpdate(ev EndpointUpdate) {
	switch ev.Kind {
	case UpdateFailed:
		b.failedPolls++
		b.schedulePoll(0.5, b.config.PollInterval, ev.DiscoveryUnreachable) // a quarter of what the settings allow
		return
	case UpdateFull, UpdateCached:
		b.removeUnlisted(ev.Servers)
	}
	if ev.Kind != UpdateCached {
		b.failedPolls = 0
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

// updateServer takes in one entry. A restart clears what was held against it.
func (b *Balancer) updateServer(entry *Server) {
	s := b.serversByID[entry.ID]
	switch {
	case s == nil && entry.State == Removed:
		return
	case s == nil:
		// A random start keeps sidecars that begin together from choosing in step.
		s = &server{runningWeight: 100 * b.random(), creditedRound: b.round, slowStartSince: math.Inf(-1), gossipSource: -1}
		b.serversByID[entry.ID] = s
	case s.Server == *entry:
		return
	}
	if entry.StartedAt > s.StartedAt {
		s.clearFaults()
		s.runningWeight, s.creditedRound = 0, b.round
		b.beginSlowStart(s, entry.StartedAt)
	}
	b.insertServer(s, entry)
	b.scheduleRefresh(s)
}

// schedulePoll calls discovery after a jittered pause, from least of it to all, longer after each failure and
// within a limit where there is one. The pauses leave it time for the calls of all sidecars: what they ask at
// once, after a mass restart or a break of its own, waits in turn until most is given up; soon: none does.
func (b *Balancer) schedulePoll(minFraction, maxPause float64, prompt bool) {
	fleetPause := pollPause * float64(max(b.config.SidecarCount, 1))
	pause := fleetPause * float64(int(1)<<min(b.failedPolls, 4))
	if pause > promptPollPause && (prompt || 2*fleetPause <= promptPollPause) { // few sidecars all pass in time
		pause, minFraction = promptPollPause, 0 // spread over all the room there is
	}
	if maxPause > 0 {
		pause = math.Min(pause, maxPause)
	}
	b.emit(Action{Kind: SetTimer, Token: discoveryTimer, At: pause * (minFraction + (1-minFraction)*b.random())})
}
