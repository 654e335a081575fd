package balance

import (
	"math"
	"slices"
)

// gossipState holds the findings that this sidecar publishes, and the state of the sidecars that send findings.
type gossipState struct {
	pending      []finding // findings for the next message
	timerSet     bool
	budgetBytes  float64 // bytes that may be sent
	bootstrapped bool    // the bootstrap query was sent
	senders      map[int]*gossipSender
	serversByTag map[uint32]*server
	readBuffer   []finding // findings of the last message, for reuse
}

// gossipSender is the state of another sidecar that has sent messages.
type gossipSender struct {
	lastTimestamp  uint32  // of its last message
	contradictions float64 // of its findings by this sidecar's own answers; see recentContradictions
	contradictedAt float64
}

// postGossip sends a message if the budget allows it.
func (b *Balancer) postGossip(peer int, data []byte) bool {
	if b.gossip.budgetBytes < float64(len(data)) {
		return false
	}
	b.gossip.budgetBytes -= float64(len(data))
	b.emit(Action{Kind: SendGossip, Peer: peer, Data: data})
	return true
}

// clearGossipEjection ends the ejection of a server by gossip.
func (b *Balancer) clearGossipEjection(s *server) {
	if s.gossip.ejectedUntil > 0 {
		s.gossip.ejectedUntil, s.gossip.source, s.gossip.confirmations = 0, -1, 0
		b.scheduleRefresh(s)
	}
}

// queueFinding queues a finding for the next message. It returns false if the finding will not be sent.
func (b *Balancer) queueFinding(kind findingKind, subject uint32) bool {
	state := &b.gossip
	queued := slices.ContainsFunc(state.pending, func(f finding) bool { return f.kind == kind && f.subject == subject })
	if queued || len(state.pending) == maxFindings || !b.gossipEnabled() {
		return queued
	}
	state.pending = append(state.pending, finding{kind, subject, b.now})
	if !state.timerSet {
		state.timerSet = true
		b.emit(Action{Kind: SetTimer, Token: gossipTimer, Delay: gossipBatchDelay * b.random()})
	}
	return true
}

// recentContradictions returns the contradictions of a sender, halved per gossip lifetime since the last one.
func (b *Balancer) recentContradictions(source *gossipSender) float64 {
	return source.contradictions * math.Exp2((source.contradictedAt-b.now)/b.gossipLifetime())
}

// acceptSender returns the state of the sender of a message, nil if the message is not newer than its last one.
func (g *gossipState) acceptSender(from int, timestamp uint32) *gossipSender {
	sender := g.senders[from]
	if sender == nil {
		sender = &gossipSender{lastTimestamp: timestamp - 1}
		g.senders[from] = sender
	}
	if int32(timestamp-sender.lastTimestamp) <= 0 { // timestamps wrap
		return nil
	}
	sender.lastTimestamp = timestamp
	return sender
}
