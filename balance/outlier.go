package balance

import (
	"maps"
	"math"
	"slices"
)

// This file decides which servers are ejected: servers that fail, hang or are unreachable, and all servers
// of a lost zone. Requests in flight at them are retried elsewhere while they can still be answered in
// time.

const (
	errorsBeforeEjection          = 2    // consecutive errors that eject a server
	unreachableBeforeZoneEjection = 3    // unreachable servers that eject a zone without answers in between
	maxEjectionDoublings          = 3    // bound of the doublings of the ejection time
	lateEjectionPerSidecar        = 100  // ms; all sidecars together try a late server ten times a second
	maxLateEjectedFraction        = 0.15 // fraction of the servers; if more are late, the load is too high
)

// recordError records an error of a server. Several consecutive errors eject the server. With little
// traffic one late answer suffices: a second one would come seconds later, while all other sidecars keep
// sending requests to the server.
func (b *Balancer) recordError(s *server, unreachable bool) {
	s.errors.consecutive++
	s.errors.lastAt = b.now
	b.scheduleRefresh(s)
	if unreachable && !b.isEjected(s) { // attempts that fail together count once
		s.errors.unreachable++
	}
	switch late := !unreachable && b.lowTraffic(); {
	case late && b.mayEjectLate():
		b.eject(s)
		b.publishFault(s)
		// An overloaded server recovers only when it is mostly idle, but each sidecar sends it trial
		// attempts. The ejection time therefore grows with the number of sidecars.
		extension := math.Max(lateEjectionPerSidecar*float64(b.config.SidecarCount)-b.longestObjective, 0)
		doublings := min(s.ejection.count-1, maxEjectionDoublings)
		s.ejection.until += extension * float64(int(1)<<doublings) * (0.75 + b.random()/2)
	case !late && s.errors.consecutive >= errorsBeforeEjection:
		b.eject(s)
		b.publishFault(s)
	}
}

// lowTraffic reports whether this sidecar visits the servers of its rotation less than once per
// rotationPeriod.
func (b *Balancer) lowTraffic() bool {
	return b.requestRate()*rotationPeriod < float64(min(b.rotationSize(), len(b.servers)))
}

func (b *Balancer) mayEjectLate() bool {
	ejected := 0.0
	for _, s := range b.servers {
		if b.now < s.ejection.until && s.errors.unreachable == 0 {
			ejected++
		}
	}
	return ejected < maxLateEjectedFraction*float64(len(b.servers))
}

// eject keeps a server out of picks for a time that doubles with each ejection until the server answers.
func (b *Balancer) eject(s *server) {
	s.ejection.until = b.now + b.ejectionTime(s.ejection.count)
	s.ejection.count++
	b.scheduleRefresh(s)
}

func (b *Balancer) ejectionTime(ejections int) float64 {
	return b.longestObjective * float64(int(1)<<min(ejections, maxEjectionDoublings))
}

func (b *Balancer) isEjected(s *server) bool { return b.ejectionEnd(s) > b.now }

// ejectionEnd returns the time at which the ejection of a server ends, by this sidecar, by gossip or with
// its zone. The time is in the past if the server is not ejected. A server that started after its zone was
// lost is not ejected with the zone.
func (b *Balancer) ejectionEnd(s *server) float64 {
	until := math.Max(s.ejection.until, s.gossip.ejectedUntil)
	if b.ejectedWithZone(s) {
		return math.Max(until, s.zoneHealth.ejectedUntil)
	}
	return until
}

func (b *Balancer) ejectedWithZone(s *server) bool {
	return s.zoneHealth.lost && s.slowStart.since < s.zoneHealth.unreachableSince
}

// recordUnreachable records a failed connect. A zone is lost if several of its servers are unreachable and
// none of its servers has answered since, while another zone has.
func (b *Balancer) recordUnreachable(s *server) {
	b.cancelAttemptsAt(s)
	zone := s.zoneHealth
	if len(zone.unreachable) == 0 {
		zone.unreachableSince = b.now
	}
	if len(zone.unreachable) < len(b.servers) && !slices.Contains(zone.unreachable, s) {
		zone.unreachable = append(zone.unreachable, s)
	}
	// Attempts that were sent before the zone was ejected still fail and carry no new information.
	sentBefore := zone.lost && s != zone.trialServer
	belowThreshold := len(zone.unreachable) < unreachableBeforeZoneEjection
	if belowThreshold || sentBefore || !b.otherZoneAnswered(s.Zone, zone.unreachableSince) {
		return
	}
	b.ejectZone(s.Zone, zone)
}

func (b *Balancer) ejectZone(id int, zone *zoneHealth) {
	if !zone.lost {
		b.shedLoadOfLostZone(id)
	}
	zone.lost, zone.trialServer, zone.ejectedUntil = true, nil, b.now+b.ejectionTime(zone.ejections)
	zone.ejections++
	b.scheduleZoneRefresh(zone)
	for _, s := range b.servers {
		if s.Zone == id && b.isEjected(s) {
			b.cancelAttemptsAt(s)
		}
	}
}

// shedLoadOfLostZone immediately sheds the part of the load that a lost zone served. The other servers
// receive the zone's keys with cold caches and would be overloaded before their answers show the overload.
// If they are not overloaded, the shedding soon decays.
func (b *Balancer) shedLoadOfLostZone(id int) {
	lost, total := 0.0, 0.0
	for _, s := range b.servers {
		weight := b.weight(s)
		if total += weight; s.Zone == id {
			lost += weight
		}
	}
	b.admission.sustainedShed = math.Max(b.admission.sustainedShed, shedDeadband+lost/total)
}

// beginZoneTrial allows one server of a lost zone to be tried at a time.
func (b *Balancer) beginZoneTrial(s *server) {
	if b.ejectedWithZone(s) {
		s.zoneHealth.trialServer, s.zoneHealth.ejectedUntil = s, b.now+b.longestObjective
		b.scheduleZoneRefresh(s.zoneHealth)
	}
}

// cancelAttemptsAt cancels the attempts in flight at an unreachable server, so that their requests can be
// answered elsewhere in time: a server that is cut off keeps its connections open and is silent until the
// client's deadline.
func (b *Balancer) cancelAttemptsAt(s *server) {
	if !b.config.AllowCancel || s.inFlight == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests.open)) {
		r := b.requests.open[id]
		retryable := r.class.Idempotency != NonIdempotent && len(r.attempts) <= maxRetries
		if !retryable || r.streaming || r.finished {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.inFlight && a.server == s {
				b.emit(Action{Kind: Cancel, Request: id, Attempt: i})
			}
		}
	}
}
