package balance

import (
	"maps"
	"math"
	"slices"
)

// This file ejects outliers: servers that fail, hang or are out of reach get a rest, and so does a zone that
// is lost. What waits for them is moved elsewhere while it can still be in time.

const (
	strikes     = 2 // consecutive errors before a server is rested
	zoneStrikes = 3 // servers of a zone out of reach, with no answer from it in between, before it is rested
	mostRests   = 3 // doublings of a rest at the most
	// A crowded server recovers only when it is mostly idle, and each sidecar tries it again after its rest.
	trialPause = 100  // ms of a late server's rest for each sidecar: all together try it ten times a second
	latePart   = 0.15 // of the servers rest for lateness at the most: if more are late, load is too high
)

// answered ends what is held against a zone, and the rests that came of it.
func (b *Balancer) answered(z *zoneState) {
	if z.dark {
		for _, s := range z.failed {
			s.restUntil = b.now
			b.mark(s)
		}
		b.markZone(z)
	}
	*z = zoneState{answeredAt: b.now}
}

// fault counts an error; a server is rested when it is down or after several in a row. Where it is met seldom
// one late answer has to do: a second would come after seconds in which all the others sent there as well.
func (b *Balancer) fault(s *server, down bool) {
	s.errs++
	s.lastErr = b.now
	b.mark(s)
	if down && !b.resting(s) { // what fails together is one sign
		s.downs++
	}
	switch late := !down && b.seldom(); {
	case late && b.mayRestLate():
		b.rest(s)
		b.foundBad(s)
		pause := math.Max(trialPause*float64(b.cfg.Peers)-b.longestAim, 0)
		s.restUntil += pause * float64(int(1)<<min(s.rests-1, mostRests)) * (0.75 + b.random()/2)
	case !late && s.errs >= strikes:
		b.rest(s)
		b.foundBad(s)
	}
}

// seldom tells whether this sidecar meets the servers of its rotation less than once in turnTime.
func (b *Balancer) seldom() bool {
	return b.demand()*turnTime < float64(min(b.reach(), len(b.servers)))
}

func (b *Balancer) mayRestLate() bool {
	n := 0.0
	for _, s := range b.servers {
		if b.now < s.restUntil && s.downs == 0 {
			n++
		}
	}
	return n < latePart*float64(len(b.servers))
}

// rest keeps a server out for a time that doubles until it answers.
func (b *Balancer) rest(s *server) {
	s.restUntil = b.now + b.restTime(s.rests)
	s.rests++
	b.mark(s)
}

func (b *Balancer) restTime(rests int) float64 {
	return b.longestAim * float64(int(1)<<min(rests, mostRests))
}

// resting: it left several attempts without an answer or is out of reach, or its zone is; the next rest is
// longer. A server that started since its zone was lost is there again.
func (b *Balancer) resting(s *server) bool {
	return b.restEnds(s) > b.now
}

// restEnds is when a rest ends, long past for a server that has none.
func (b *Balancer) restEnds(s *server) float64 {
	until := math.Max(s.restUntil, s.hintUntil)
	if z := s.state; z.dark && s.coldSince < z.failedAt {
		return math.Max(until, z.restUntil)
	}
	return until
}

// outOfReach takes in a connect that failed. Several in a zone that answers nothing, while another does, mean
// that the zone is lost.
func (b *Balancer) outOfReach(s *server) {
	b.rescue(s)
	z := s.state
	if len(z.failed) == 0 {
		z.failedAt = b.now
	}
	if len(z.failed) < len(b.servers) && !slices.Contains(z.failed, s) {
		z.failed = append(z.failed, s)
	}
	// What was sent before the zone was rested still fails, and is no new sign.
	if len(z.failed) < zoneStrikes || z.dark && s != z.tried || !b.othersAnswer(s.Zone, z.failedAt) {
		return
	}
	if !z.dark {
		b.shedLost(s.Zone)
	}
	z.dark, z.tried, z.restUntil = true, nil, b.now+b.restTime(z.rests)
	z.rests++
	b.markZone(z)
	for _, t := range b.servers {
		if t.Zone == s.Zone && b.resting(t) {
			b.rescue(t)
		}
	}
}

// shedLost sheds at once the part of the load that a lost zone has served. What is left of the fleet gets its
// keys cold and would be choked before answers show it; where it has room the shedding soon leaks away.
func (b *Balancer) shedLost(zone int) {
	lost, all := 0.0, 0.0
	for _, s := range b.servers {
		w := b.weight(s)
		if all += w; s.Zone == zone {
			lost += w
		}
	}
	b.steady = math.Max(b.steady, byChance+lost/all)
}

func (b *Balancer) othersAnswer(zone int, since float64) bool {
	for other, z := range b.zoneStates {
		if other != zone && z.answeredAt > since {
			return true
		}
	}
	return false
}

// trial: of a zone that is held to be lost one server is tried at a time.
func (b *Balancer) trial(s *server) {
	if z := s.state; z.dark && s.coldSince < z.failedAt {
		z.tried, z.restUntil = s, b.now+b.longestAim
		b.markZone(z)
	}
}

// rescue gives up what waits for a server that is out of reach, so that it can be in time elsewhere: a server
// that is cut off keeps its connections open and says nothing until the client's deadline.
func (b *Balancer) rescue(s *server) {
	if !b.cfg.Cancel || s.inFlight == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(b.reqs)) {
		r := b.reqs[id]
		if r.class.Effect == Unsafe || r.stream || r.done || len(r.tries) > maxRepeats {
			continue
		}
		for i := range r.tries {
			if a := &r.tries[i]; a.live && a.s == s {
				b.emit(Action{Kind: Cancel, Request: id, Attempt: i})
			}
		}
	}
}
