package balance

import (
	"math"
	"slices"
)

// This file decides what sidecars tell each other. Each meets a server seldom, and finds out alone what
// others have found already. What a message says is a hint and never a fact: it puts the next trial of
// a server off that this sidecar has found bad itself and has no better news of, for a short time and
// for few servers. So what is choked becomes idle at last, though each of hundreds tries it seldom.

const (
	gossipBudget             = 5e-4 // part of the result that what is told for each request may cost: it has to save more
	gossipBurstBytes         = 400  // bytes that may be told at once, receivers added up: a finding to all of the fan
	gossipFanout             = 8    // receivers of a message: each finding reaches all after few more have found it as well
	gossipBatchDelay         = 25   // ms over which what is found together is gathered: a part of what a hint can save
	bootstrapFanout          = 3    // sidecars that one asks at its start; one of them will know
	gossipLifetimeObjectives = 4    // longest aims that a hint holds, so that what is choked can become idle
	maxGossipLifetime        = 5000 // ms that it holds at the most: as far as ages are told
	maxGossipEjectedFraction = 0.1  // of the servers rest by hints at the most, and no more than half of those of a zone
	sufficientConfirmations  = 3    // times that a finding was heard, after which it is not told again
	gossipContactLimit       = 4    // times that a server is met while a hint holds, at which own trials tell as much
	maxContradictions        = 2.5  // contradictions of late after which a sender is not listened to
)

func (b *Balancer) gossipLifetime() float64 {
	return math.Min(gossipLifetimeObjectives*b.longestObjective, maxGossipLifetime)
}

// gossipEnabled: messages are allowed, there is somebody to hear them, and while a hint holds this sidecar meets a
// server so few times that others know more. Three that met each server often led each other into a jam.
func (b *Balancer) gossipEnabled() bool {
	return b.config.AllowGossip && b.config.SidecarCount > 1 && b.requestRate()*b.gossipLifetime() < gossipContactLimit*float64(len(b.servers))
}

// earnGossipBudget lets each request pay for some bytes. So all messages together cost the same part of the result,
// whatever the size of the fleet.
func (b *Balancer) earnGossipBudget() {
	b.gossip.budgetBytes = math.Min(b.gossip.budgetBytes+gossipBudget*256/math.Max(b.config.Costs.Peer, 0.01), gossipBurstBytes)
}

// queueFinding has something told soon, with what else is found until then; false: it is not told.
func (b *Balancer) queueFinding(kind findingKind, subject uint32) bool {
	state := &b.gossip
	queued := slices.ContainsFunc(state.pending, func(h finding) bool { return h.kind == kind && h.subject == subject })
	if queued || len(state.pending) == maxFindings || !b.gossipEnabled() {
		return queued
	}
	state.pending = append(state.pending, finding{kind, subject, b.now})
	if !state.timerSet {
		state.timerSet = true
		b.emit(Action{Kind: SetTimer, Token: gossipTimer, At: gossipBatchDelay * b.random()})
	}
	return true
}

// publishFault tells of a server's rest, unless this was told or heard often of late.
func (b *Balancer) publishFault(s *server) {
	if b.now < s.publishedUntil || s.gossipConfirmations >= sufficientConfirmations && b.now < s.gossipEjectedUntil {
		return
	}
	if b.queueFinding(findingFault, serverTag(s.ID)) {
		s.publishedUntil = b.now + b.gossipLifetime()
	}
}

// publishRecovery takes back what was told of a server that answers in time.
func (b *Balancer) publishRecovery(s *server) {
	s.timelyAnswerAt = b.now
	if s.publishedUntil > 0 {
		s.publishedUntil = 0
		b.queueFinding(findingRecovery, serverTag(s.ID))
	}
	if b.now >= s.gossipEjectedUntil { // there is none, or it is over
		return
	}
	if source := b.gossip.senders[s.gossipSource]; source != nil {
		source.contradictions = source.contradictions*math.Exp2((source.contradictedAt-b.now)/b.gossipLifetime()) + 1
		source.contradictedAt = b.now
	}
	b.clearGossipEjection(s)
}

// sendFindings posts what was found to a few others, as far as the budget goes. What is not told is dropped.
func (b *Balancer) sendFindings() {
	state := &b.gossip
	state.timerSet = false
	fanout := gossipFanout
	if !state.bootstrapped {
		state.bootstrapped = true
		fanout = bootstrapFanout
		state.budgetBytes = math.Max(state.budgetBytes, float64(bootstrapFanout*(gossipHeaderSize+findingSize))) // the first is the question
	}
	if len(state.pending) > 0 {
		data := appendGossip(nil, b.now, state.pending)
		first := int(float64(b.config.SidecarCount) * b.random()) // those that follow the first by a random stride
		stride := 1 + int(float64(b.config.SidecarCount-1)*b.random())
		contacted := map[int]bool{b.config.SidecarIndex: true}
		for i := 0; i < b.config.SidecarCount && len(contacted) <= fanout; i++ {
			if peer := (first + i*stride) % b.config.SidecarCount; !contacted[peer] && b.postGossip(peer, data) {
				contacted[peer] = true
			}
		}
	}
	state.pending = state.pending[:0]
}

// onGossip takes in what another sidecar tells. Old, repeated and garbled messages are dropped, and those
// of a sender whom own answers contradict.
func (b *Balancer) onGossip(ev *GossipMessage) {
	state := &b.gossip
	if !b.gossipEnabled() || ev.From < 0 || ev.From >= b.config.SidecarCount || ev.From == b.config.SidecarIndex {
		return
	}
	timestamp, findings, err := readGossip(ev.Data, b.now, state.readBuffer[:0])
	if err != nil {
		return
	}
	state.readBuffer = findings
	source := state.senders[ev.From]
	if source == nil {
		source = &gossipSender{lastTimestamp: timestamp - 1}
		state.senders[ev.From] = source
	}
	if int32(timestamp-source.lastTimestamp) <= 0 {
		return
	}
	source.lastTimestamp = timestamp
	if source.contradictions*math.Exp2((source.contradictedAt-b.now)/b.gossipLifetime()) > maxContradictions {
		return
	}
	for _, f := range findings {
		b.handleFinding(ev.From, f)
	}
}

func (b *Balancer) handleFinding(from int, f finding) {
	s := b.gossip.serversByTag[f.subject]
	switch {
	case f.kind == findingQuery:
		b.replyToBootstrap(from)
	case s == nil || f.observedAt <= math.Max(s.timelyAnswerAt, s.gossipObservedAt) || b.now-f.observedAt >= b.gossipLifetime():
		// of none that is listed, or older than what is known
	case f.kind == findingRecovery:
		b.clearGossipEjection(s)
	case b.now < s.gossipEjectedUntil:
		s.gossipConfirmations++
		b.applyFinding(s, f)
	case (s.consecutiveErrors > 0 || b.now < math.Max(s.ejectedUntil, b.startedAt+b.gossipLifetime())) && b.mayEjectByGossip(s):
		// Exception: one that has just started has met no trouble yet.
		s.gossipConfirmations, s.gossipSource = 1, from
		b.applyFinding(s, f)
	}
}

func (b *Balancer) applyFinding(s *server, f finding) {
	s.gossipObservedAt = f.observedAt
	s.gossipEjectedUntil = math.Max(s.gossipEjectedUntil, f.observedAt+b.gossipLifetime())
	b.scheduleRefresh(s)
}

// mayEjectByGossip bounds what all hints together can do.
func (b *Balancer) mayEjectByGossip(s *server) bool {
	ejected, ejectedInZone, readyInZone := 1, 1, 0 // with this one
	for _, t := range b.servers {
		ejectedByGossip := t != s && b.now < t.gossipEjectedUntil
		if ejectedByGossip {
			ejected++
		}
		if t.zoneHealth == s.zoneHealth && t.State == Ready {
			if readyInZone++; ejectedByGossip || t != s && b.isEjected(t) {
				ejectedInZone++
			}
		}
	}
	return float64(ejected) <= maxGossipEjectedFraction*float64(len(b.servers)) && 2*ejectedInZone <= readyInZone
}

// replyToBootstrap tells one that has just started what holds here now.
func (b *Balancer) replyToBootstrap(peer int) {
	var findings []finding
	for _, s := range b.servers {
		if b.now < s.ejectedUntil && b.now-s.lastErrorAt < b.gossipLifetime() && len(findings) < maxFindings {
			findings = append(findings, finding{findingFault, serverTag(s.ID), s.lastErrorAt})
		}
	}
	if len(findings) > 0 {
		b.postGossip(peer, appendGossip(nil, b.now, findings))
	}
}
