package balance

import "math"

// This file decides how much each server is given: its weight, and what a cold one bears.

const (
	errorHalfLife        = 5000 // ms; errors lose half their weight in this time: troubles last seconds, not minutes
	errorPenalty         = 0.2  // m lost for each consecutive error
	minHealth            = 0.25 // m never falls below this, so that a recovered server is found again
	capacityLearningRate = 0.01 // step of a server's size for each answer; its kind and zone move with half of it
	maxLogCapacity       = 2.5  // bound of each learned logarithm of size
	utilizationGain      = 2    // ... for being less busy than the others, beside that for being quicker
	recentPoolMargin     = 1.15 // the budget of a cold server is at most so much more than the weights of late give
	initialLearningBoost = 24   // times faster that sizes are learned at first: restarted sidecars know none
)

// weight is size × m, lowered while the server warms up.
func (b *Balancer) weight(s *server) float64 {
	capacity := 100 * s.RelativeCapacity * math.Exp(s.logCapacity+b.capacityByKind[s.Kind]+b.capacityByZone[s.Zone])
	return math.Max(capacity*b.health(s)*b.slowStartFactor(s), 1e-6)
}

// groupFactor is what the weights of all servers of a group have in common.
func (b *Balancer) groupFactor(kind, zone int) float64 {
	factor := math.Exp(b.capacityByKind[kind] + b.capacityByZone[zone])
	if zone == b.config.Zone {
		factor *= b.ownZoneFactor()
	}
	return factor
}

func (b *Balancer) health(s *server) float64 { // the multiplier m
	effectiveErrors := float64(s.consecutiveErrors) * math.Exp(-math.Ln2*(b.now-s.lastErrorAt)/errorHalfLife)
	return clamp(1-errorPenalty*effectiveErrors, minHealth, 1)
}

func (b *Balancer) inSlowStart(s *server) bool {
	return b.now < s.slowStartSince+b.config.SlowStartDuration
}

// slowStartFactor is the least fraction of its capacity that a cold server has.
func (b *Balancer) slowStartFactor(s *server) float64 {
	if !b.inSlowStart(s) {
		return 1
	}
	return b.config.SlowStartMinCapacity + (1-b.config.SlowStartMinCapacity)*math.Max(0, b.now-s.slowStartSince)/b.config.SlowStartDuration
}

// hasSlowStartBudget is a hard limit of sends to a cold server, re-routes included: half of the allowed multiple of
// what warm servers of its size answer of this sidecar's requests, lowered by its warmth, so that all of them
// together stay under it. Answers count, not requests, which clients repeat, and few are assumed: with
// thirty, it broke the rule. Where many turn cold the weights of now fall sooner than the answers; those
// of late bound them. A token held for long is lost: what all gathered in a quiet time came in one burst.
func (b *Balancer) hasSlowStartBudget(s *server) bool {
	poolWeight := max(b.poolWeight, math.Min(b.recentPoolWeight.mean, b.fullCapacityPoolWeight())/recentPoolMargin, s.weight)
	refillRate := b.answerRate(1) * s.weight / poolWeight * math.Max(1, b.config.OverloadMultiple/2)
	saved := refillRate * b.config.OverloadDuration / 2
	scarce, maxTokens := b.config.KeyAffinity && saved < 0.5, math.Max(1, saved/2) // few: a fleet holds too much together
	if scarce {
		maxTokens = 1 + saved
	}
	s.slowStartTokens = math.Min(s.slowStartTokens+refillRate*(b.now-s.slowStartTokensAt), maxTokens)
	if s.slowStartTokensAt = b.now; scarce && s.slowStartTokens == maxTokens {
		s.slowStartTokens--
	}
	return s.slowStartTokens >= 1
}

// beginSlowStart begins a server's warm-up with a random budget, so that the first sends of all do not meet.
func (b *Balancer) beginSlowStart(s *server, since float64) {
	s.slowStartSince, s.slowStartTokens, s.slowStartTokensAt = since, b.random(), b.now
}

// learnCapacity moves sizes until answers take equally long everywhere. What all servers share is load, not size.
// Where servers tell how busy they are, that counts as well: while load is shed answers stay quick, and slow
// servers stood idle beside fast ones that were full.
func (b *Balancer) learnCapacity(s *server, relativeLatency float64) {
	if b.inSlowStart(s) {
		return
	}
	step := math.Max(-2, 1-relativeLatency)
	if s.utilization > 0 {
		step += utilizationGain * (b.meanUtilization - s.utilization)
	}
	b.capacityDrift += (step - b.capacityDrift) / 200
	b.capacitySamples++
	step = capacityLearningRate * (1 + initialLearningBoost/(1+b.capacitySamples/averagingSamples)) * (step - b.capacityDrift)
	s.logCapacity = clamp(s.logCapacity+step, -maxLogCapacity, maxLogCapacity)
	b.scheduleRefresh(s)
	b.capacityByKind[s.Kind] = clamp(b.capacityByKind[s.Kind]+step/2, -maxLogCapacity, maxLogCapacity)
	b.capacityByZone[s.Zone] = clamp(b.capacityByZone[s.Zone]+step/2, -maxLogCapacity, maxLogCapacity)
}
