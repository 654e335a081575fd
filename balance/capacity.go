package balance

import "math"

// This file decides how much load each server receives: its weight, and its attempt budget during slow
// start.

const (
	baseWeight           = 100
	minWeight            = 1e-6
	errorHalfLife        = 5000 // ms in which errors lose half their effect: faults last seconds, not minutes
	errorPenalty         = 0.2  // health lost per consecutive error
	minHealth            = 0.25 // above 0, so that the recovery of a server is detected
	capacityLearningRate = 0.01 // step of a log capacity per answer; kind and zone move by half of it
	driftSamples         = 200  // answers in the moving average of the step
	initialLearningBoost = 24   // extra factor of the first steps: a restarted sidecar has learned nothing
	maxLogCapacity       = 2.5  // bound of each learned log capacity, in both directions
	utilizationGain      = 2    // weight of a utilization below the mean, relative to the weight of latency
	recentPoolMargin     = 1.15 // bound of the slow start budget, as a multiple of the recent pool's budget
)

// weight returns capacity × health, reduced during slow start.
func (b *Balancer) weight(s *server) float64 {
	return math.Max(b.capacityWeight(s)*b.health(s)*b.slowStartFactor(s), minWeight)
}

// capacityWeight returns the weight of a healthy server after its slow start.
func (b *Balancer) capacityWeight(s *server) float64 {
	logCapacity := s.logCapacity + b.capacity.byKind[s.Kind] + b.capacity.byZone[s.Zone]
	return baseWeight * s.RelativeCapacity * math.Exp(logCapacity)
}

// groupFactor returns the weight factor that the servers of one kind and zone share.
func (b *Balancer) groupFactor(kind, zone int) float64 {
	factor := math.Exp(b.capacity.byKind[kind] + b.capacity.byZone[zone])
	if zone == b.config.Zone {
		factor *= b.ownZoneFactor()
	}
	return factor
}

// health returns a multiplier from minHealth to 1, which falls with consecutive errors and recovers as they
// decay.
func (b *Balancer) health(s *server) float64 {
	errors := float64(s.errors.consecutive) * math.Exp(-math.Ln2*(b.now-s.errors.lastAt)/errorHalfLife)
	return clamp(1-errorPenalty*errors, minHealth, 1)
}

func (b *Balancer) inSlowStart(s *server) bool {
	return b.now < s.slowStart.since+b.config.SlowStartDuration
}

// slowStartFactor returns the minimum fraction of its capacity that a server has by now.
func (b *Balancer) slowStartFactor(s *server) float64 {
	if !b.inSlowStart(s) {
		return 1
	}
	minFactor := b.config.SlowStartMinCapacity
	return minFactor + (1-minFactor)*math.Max(0, b.now-s.slowStart.since)/b.config.SlowStartDuration
}

// hasSlowStartBudget limits the attempts at a server in slow start, retries included. The limit is half of
// OverloadMultiple times the answers that a server of this size gives to this sidecar, reduced by the
// server's slow start factor, so that all sidecars together stay below OverloadMultiple. The limit is
// computed from answers, because requests include the retries of clients, and from one assumed answer. The
// request rate bounds the answer rate, because answers lag behind falling traffic. If many servers are in
// slow start, the weight of the pool falls before the answer rate does, so the weight of the recent pool
// also bounds the limit. Tokens do not accumulate for long: all sidecars would spend their tokens in one
// burst after a quiet period.
func (b *Balancer) hasSlowStartBudget(s *server) bool {
	pool := &b.pool.slowStart
	if b.config.KeyAffinity {
		b.refreshPool(poolBudgetTTL)
	}
	poolWeight := max(pool.usable, pool.answeringWeight()/recentPoolMargin, s.weight)
	servedRate := math.Min(b.answerRate(1), b.requestRate())
	refillRate := servedRate * s.weight / poolWeight * math.Max(1, b.config.OverloadMultiple/2)
	budget := refillRate * b.config.OverloadDuration / 2
	scarce := budget < 0.5 // one attempt by each sidecar would be too many
	maxTokens := math.Max(1, budget/2)
	if scarce {
		maxTokens = 1 + budget
	}
	state := &s.slowStart
	state.tokens = math.Min(state.tokens+refillRate*(b.now-b.tokensSince(s)), maxTokens)
	state.tokensAt = b.now
	if scarce && state.tokens == maxTokens {
		state.tokens--
	}
	return state.tokens >= 1
}

// tokensSince returns the time from which a server in slow start earns tokens. Without key affinity, a
// server earns none for the time before it entered the rotation, in which the pool did not include the
// server.
func (b *Balancer) tokensSince(s *server) float64 {
	if b.config.KeyAffinity {
		return s.slowStart.tokensAt
	}
	return math.Max(s.slowStart.tokensAt, b.pool.slowStart.lastPickedAt)
}

// beginSlowStart begins the slow start of a server with a random part of a token, so that the first
// attempts of all sidecars do not coincide.
func (b *Balancer) beginSlowStart(s *server, since float64) {
	s.slowStart = slowStartState{since: since, tokens: b.random(), tokensAt: b.now}
}

// learnCapacity adjusts the learned capacities until answers take equally long at all servers. A change
// that all servers have in common is due to load, not capacity. A reported utilization counts as well:
// while load is shed, all answers are fast, and by latency alone slow servers would stay idle while fast
// servers are fully utilized.
func (b *Balancer) learnCapacity(s *server, relativeLatency float64) {
	if b.inSlowStart(s) {
		return
	}
	model := &b.capacity
	step := math.Max(-2, 1-relativeLatency)
	if s.report.utilization > 0 {
		step += utilizationGain * (b.reports.meanUtilization - s.report.utilization)
	}
	model.drift += (step - model.drift) / driftSamples
	model.samples++
	boost := 1 + initialLearningBoost/(1+model.samples/averagingSamples)
	step = capacityLearningRate * boost * (step - model.drift)
	s.logCapacity = clamp(s.logCapacity+step, -maxLogCapacity, maxLogCapacity)
	b.scheduleRefresh(s)
	model.byKind[s.Kind] = clamp(model.byKind[s.Kind]+step/2, -maxLogCapacity, maxLogCapacity)
	model.byZone[s.Zone] = clamp(model.byZone[s.Zone]+step/2, -maxLogCapacity, maxLogCapacity)
}
