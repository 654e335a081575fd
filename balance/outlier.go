package balance

import (
	"maps"
	"math"
	"slices"
)

// This file ejects outliers: servers that fail, hang or are out of reach get a rest, and so does a zone that
// is lost. What waits for them is moved elsewhere while it can still be in time.

const (
	errorsBeforeEjection          = 2 // consecutive errors before a server is rested
	unreachableBeforeZoneEjection = 3 // servers of a zone out of reach, with no answer from it in between, before it is rested
	maxEjectionDoublings          = 3 // doublings of a rest at the most
	// A crowded server recovers only when it is mostly idle, and each sidecar tries it again after its rest.
	lateEjectionPerSidecar = 100  // ms of a late server's rest for each sidecar: all together try it ten times a second
	maxLateEjectedFraction = 0.15 // of the servers rest for lateness at the most: if more are late, load is too high
)

// zoneAnswered ends what is held against a zone, and the rests that came of it.
func (b *Balancer) zoneAnswered(zone *zoneHealth) {
	if zone.lost {
		for _, s := range zone.unreachable {
			s.ejectedUntil = b.now
			b.scheduleRefresh(s)
		}
		b.scheduleZoneRefresh(zone)
	}
	*zone = zoneHealth{lastAnswerAt: b.now}
}

// recordError counts an error; a server is rested when it is down or after several in a row. Where it is met seldom
// one late answer has to do: a second would come after seconds in which all the others sent there as well.
func (b *Balancer) recordError(s *server, unreachable bool) {
	s.consecutiveErrors++
	s.lastErrorAt = b.now
	b.scheduleRefresh(s)
	if unreachable && !b.isEjected(s) { // what fails together is one sign
		s.connectFailures++
	}
	switch late := !unreachable && b.lowTraffic(); {
	case late && b.mayEjectLate():
		b.eject(s)
		b.publishFault(s)
		extension := math.Max(lateEjectionPerSidecar*float64(b.config.SidecarCount)-b.longestObjective, 0)
		s.ejectedUntil += extension * float64(int(1)<<min(s.ejections-1, maxEjectionDoublings)) * (0.75 + b.random()/2)
	case !late && s.consecutiveErrors >= errorsBeforeEjection:
		b.eject(s)
		b.publishFault(s)
	}
}

// lowTraffic tells whether this sidecar meets the servers of its rotation less than once in rotationPeriod.
func (b *Balancer) lowTraffic() bool {
	return b.requestRate()*rotationPeriod < float64(min(b.rotationSize(), len(b.servers)))
}

func (b *Balancer) mayEjectLate() bool {
	ejected := 0.0
	for _, s := range b.servers {
		if b.now < s.ejectedUntil && s.connectFailures == 0 {
			ejected++
		}
	}
	return ejected < maxLateEjectedFraction*float64(len(b.servers))
}

// eject keeps a server out for a time that doubles until it answers.
func (b *Balancer) eject(s *server) {
	s.ejectedUntil = b.now + b.ejectionTime(s.ejections)
	s.ejections++
	b.scheduleRefresh(s)
}

func (b *Balancer) ejectionTime(ejections int) float64 {
	return b.longestObjective * float64(int(1)<<min(ejections, maxEjectionDoublings))
}

// isEjected: it left several attempts without an answer or is out of reach, or its zone is; the next rest is
// longer. A server that started since its zone was lost is there again.
func (b *Balancer) isEjected(s *server) bool {
	return b.ejectionEnd(s) > b.now
}

// ejectionEnd is when a rest ends, long past for a server that has none.
func (b *Balancer) ejectionEnd(s *server) float64 {
	until := math.Max(s.ejectedUntil, s.gossipEjectedUntil)
	if z := s.zoneHealth; z.lost && s.slowStartSince < z.unreachableSince {
		return math.Max(until, z.ejectedUntil)
	}
	return until
}

// recordUnreachable takes in a connect that failed. Several in a zone that answers nothing, while another does, mean
// that the zone is lost.
func (b *Balancer) recordUnreachable(s *server) {
	b.cancelStranded(s)
	z := s.zoneHealth
	if len(z.unreachable) == 0 {
		z.unreachableSince = b.now
	}
	if len(z.unreachable) < len(b.servers) && !slices.Contains(z.unreachable, s) {
		z.unreachable = append(z.unreachable, s)
	}
	// What was sent before the zone was rested still fails, and is no new sign.
	if len(z.unreachable) < unreachableBeforeZoneEjection || z.lost && s != z.trialServer || !b.otherZoneAnswered(s.Zone, z.unreachableSince) {
		return
	}
	if !z.lost {
		b.shedLostZone(s.Zone)
	}
	z.lost, z.trialServer, z.ejectedUntil = true, nil, b.now+b.ejectionTime(z.ejections)
	z.ejections++
	b.scheduleZoneRefresh(z)
	for _, t := range b.servers {
		if t.Zone == s.Zone && b.isEjected(t) {
			b.cancelStranded(t)
		}
	}
}

// shedLostZone sheds at once the part of the load that a lost zone has served. What is left of the fleet gets its
// keys cold and would be choked before answers show it; where it has room the shedding soon leaks away.
func (b *Balancer) shedLostZone(zone int) {
	lostWeight, totalWeight := 0.0, 0.0
	for _, s := range b.servers {
		weight := b.weight(s)
		if totalWeight += weight; s.Zone == zone {
			lostWeight += weight
		}
	}
	b.sustainedShed = math.Max(b.sustainedShed, shedDeadband+lostWeight/totalWeight)
}

func (b *Balancer) otherZoneAnswered(zone int, since float64) bool {
	for other, z := range b.zoneHealth {
		if other != zone && z.lastAnswerAt > since {
			return true
		}
	}
	return false
}

// beginZoneTrial: of a zone that is held to be lost one server is tried at a time.
func (b *Balancer) beginZoneTrial(s *server) {
	if z := s.zoneHealth; z.lost && s.slowStartSince < z.unreachableSince {
		z.trialServer, z.ejectedUntil = s, b.now+b.longestObjective
		b.scheduleZoneRefresh(z)
	}
}

// cancelStranded gives up what waits for a server that is out of reach, so that it can be in time elsewhere: a server
// that is cut off keeps its connections open and says nothing until the client's deadline.
func (b *Balancer) cancelStranded(s *server) {
	if !b.config.AllowCancel || s.inFlight == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[id]
		if r.class.Idempotency == NonIdempotent || r.streaming || r.finished || len(r.attempts) > maxRetries {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.inFlight && a.server == s {
				b.emit(Action{Kind: Cancel, Request: id, Attempt: i})
			}
		}
	}
}
