package balance

import "math"

// This file decides which findings a sidecar publishes to other sidecars and which of theirs it accepts. A
// sidecar visits each server rarely, so some other sidecar usually detects a fault of the server earlier. A
// finding is a hint, never a fact: for a short time and for few servers, it delays the next attempt at a
// server that has returned errors to this sidecar and no newer answer. An overloaded server can thus become
// idle although hundreds of sidecars try it occasionally.

const (
	gossipBudget             = 5e-4 // fraction of the score that the gossip for each request may cost
	gossipCostUnit           = 256  // bytes that Costs.Gossip refers to
	minGossipCost            = 0.01
	gossipBurstBytes         = 400  // bytes that may be sent at once, over all receivers
	gossipFanout             = 8    // receivers of a message; other senders inform the other sidecars
	bootstrapFanout          = 3    // sidecars queried at the start: one of them will know the faults
	gossipBatchDelay         = 25   // ms over which findings are batched
	gossipLifetimeObjectives = 4    // lifetime of a finding in longest objectives: a server can become idle
	maxGossipLifetime        = 5000 // ms, bound of the lifetime: the maximum age that a finding can express
	maxGossipEjectedFraction = 0.1  // of the servers, and at most half of the servers of a zone
	sufficientConfirmations  = 3    // receptions of a finding after which it is not published again
	gossipContactLimit       = 4    // requests per server and finding lifetime that reveal as much as gossip
	maxContradictions        = 2.5  // recent contradictions after which a sender is ignored
)

func (b *Balancer) gossipLifetime() float64 {
	return math.Min(gossipLifetimeObjectives*b.longestObjective, maxGossipLifetime)
}

// gossipEnabled reports whether gossip is allowed, there is a receiver, and this sidecar visits servers so
// rarely that other sidecars know more. Sidecars that visit servers often would drive each other to the
// same servers.
func (b *Balancer) gossipEnabled() bool {
	if !b.config.AllowGossip || b.config.SidecarCount <= 1 {
		return false
	}
	return b.requestRate()*b.gossipLifetime() < gossipContactLimit*float64(len(b.servers))
}

// refillGossipBudget adds some bytes to the gossip budget for each request, so that all gossip costs the same
// fraction of the score in a fleet of any size.
func (b *Balancer) refillGossipBudget() {
	earned := gossipBudget * gossipCostUnit / math.Max(b.config.Costs.Gossip, minGossipCost)
	b.gossip.budgetBytes = math.Min(b.gossip.budgetBytes+earned, gossipBurstBytes)
}

// publishFault publishes the ejection of a server, unless this sidecar has recently published it or has
// often received it.
func (b *Balancer) publishFault(s *server) {
	confirmed := s.gossip.confirmations >= sufficientConfirmations && b.now < s.gossip.ejectedUntil
	if b.now < s.gossip.publishedUntil || confirmed {
		return
	}
	if b.queueFinding(findingFault, serverTag(s.ID)) {
		s.gossip.publishedUntil = b.now + b.gossipLifetime()
	}
}

// publishRecovery retracts the published fault of a server that answers in time. It counts a contradiction
// for the sender of a finding that claims a fault.
func (b *Balancer) publishRecovery(s *server) {
	s.timelyAnswerAt = b.now
	if s.gossip.publishedUntil > 0 {
		s.gossip.publishedUntil = 0
		b.queueFinding(findingRecovery, serverTag(s.ID))
	}
	if b.now >= s.gossip.ejectedUntil {
		return
	}
	if source := b.gossip.senders[s.gossip.source]; source != nil {
		source.contradictions = b.recentContradictions(source) + 1
		source.contradictedAt = b.now
	}
	b.clearGossipEjection(s)
}

// sendFindings sends the pending findings to a few sidecars, within the budget. It drops the rest.
func (b *Balancer) sendFindings() {
	state := &b.gossip
	state.timerSet = false
	fanout := gossipFanout
	if !state.bootstrapped { // the first message is the query
		state.bootstrapped = true
		fanout = bootstrapFanout
		const queryBytes = bootstrapFanout * (gossipHeaderSize + findingSize)
		state.budgetBytes = math.Max(state.budgetBytes, queryBytes)
	}
	if len(state.pending) > 0 {
		b.sendToPeers(encodeGossip(b.now, state.pending), fanout)
	}
	state.pending = state.pending[:0]
}

// sendToPeers sends a message to fanout sidecars: a random one and those at multiples of a random stride
// from it.
func (b *Balancer) sendToPeers(data []byte, fanout int) {
	count := b.config.SidecarCount
	first := int(float64(count) * b.random())
	stride := 1 + int(float64(count-1)*b.random())
	reached := map[int]bool{b.config.SidecarIndex: true}
	for i := 0; i < count && len(reached) <= fanout; i++ {
		if peer := (first + i*stride) % count; !reached[peer] && b.postGossip(peer, data) {
			reached[peer] = true
		}
	}
}

// onGossip handles a message of another sidecar. It drops stale, repeated and malformed messages, and
// messages of a sender whose findings this sidecar's own answers contradict.
func (b *Balancer) onGossip(ev *GossipMessage) {
	state := &b.gossip
	otherSidecar := ev.From >= 0 && ev.From < b.config.SidecarCount && ev.From != b.config.SidecarIndex
	if !otherSidecar || !b.gossipEnabled() {
		return
	}
	timestamp, findings, err := decodeGossip(ev.Data, b.now, state.readBuffer[:0])
	if err != nil {
		return // a datagram socket can receive anything
	}
	state.readBuffer = findings
	source := state.acceptSender(ev.From, timestamp)
	if source == nil || b.recentContradictions(source) > maxContradictions {
		return
	}
	for _, f := range findings {
		b.handleFinding(ev.From, f)
	}
}

func (b *Balancer) handleFinding(from int, f finding) {
	if f.kind == findingQuery {
		b.replyToQuery(from)
		return
	}
	s := b.gossip.serversByTag[f.subject]
	if s == nil || b.now-f.observedAt >= b.gossipLifetime() ||
		f.observedAt <= math.Max(s.timelyAnswerAt, s.gossip.observedAt) {
		return // the server is not listed, or the finding is older than what is known
	}
	switch {
	case f.kind == findingRecovery:
		b.clearGossipEjection(s)
	case b.now < s.gossip.ejectedUntil:
		s.gossip.confirmations++
		b.applyFinding(s, f)
	case b.findingPlausible(s) && b.mayEjectByGossip(s):
		s.gossip.confirmations, s.gossip.source = 1, from
		b.applyFinding(s, f)
	}
}

// findingPlausible reports whether this sidecar has had errors from a server, or has just started.
func (b *Balancer) findingPlausible(s *server) bool {
	return s.errors.consecutive > 0 || b.now < math.Max(s.ejection.until, b.startedAt+b.gossipLifetime())
}

func (b *Balancer) applyFinding(s *server, f finding) {
	s.gossip.observedAt = f.observedAt
	s.gossip.ejectedUntil = math.Max(s.gossip.ejectedUntil, f.observedAt+b.gossipLifetime())
	b.scheduleRefresh(s)
}

// mayEjectByGossip bounds the number of servers that all findings together eject, this one included.
func (b *Balancer) mayEjectByGossip(s *server) bool {
	ejected, ejectedInZone, readyInZone := 1, 1, 0
	for _, other := range b.servers {
		byGossip := other != s && b.now < other.gossip.ejectedUntil
		if byGossip {
			ejected++
		}
		if other.zoneHealth == s.zoneHealth && other.State == Ready {
			readyInZone++
			if byGossip || other != s && b.isEjected(other) {
				ejectedInZone++
			}
		}
	}
	withinFleetLimit := float64(ejected) <= maxGossipEjectedFraction*float64(len(b.servers))
	return withinFleetLimit && 2*ejectedInZone <= readyInZone
}

// replyToQuery sends the faults that currently hold at this sidecar to a sidecar that has just started.
func (b *Balancer) replyToQuery(peer int) {
	var findings []finding
	for _, s := range b.servers {
		holds := b.now < s.ejection.until && b.now-s.errors.lastAt < b.gossipLifetime()
		if holds && len(findings) < maxFindings {
			findings = append(findings, finding{findingFault, serverTag(s.ID), s.errors.lastAt})
		}
	}
	if len(findings) > 0 {
		b.postGossip(peer, encodeGossip(b.now, findings))
	}
}
