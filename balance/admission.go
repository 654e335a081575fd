package balance

import "math"

// This file decides how much load is shed, and from which classes and tenants.

const (
	// Fractions of the latency objective, beyond the minimum latency, that queueing may take before load is
	// shed. A sidecar with little traffic detects queueing only when most of its servers have queues, so
	// its allowance is smaller.
	queueingAllowance           = 0.25
	queueingAllowanceLowTraffic = 0.08
	initialLatencyRatio         = 0.33 // minimum latency that is assumed until answers arrive
	minLatencyDecay             = 6e4  // ms, time constant for forgetting the minimum latency: servers change
	averagingSamples            = 50   // answers or load reports in a moving average
	maxLatencySamples           = 300  // answers in the moving average of a class's latency
	immediateShedGain           = 1.5  // fraction of load to shed at once, per objective of excess latency
	minShedStep                 = 0.04 // step of the sustained fraction per request and objective of excess
	maxShedStep                 = 0.34 // bound of the step of a request long after the previous request
	shedStepTime                = 400  // ms since the previous request for a step of 1, before its bound
	shedDecayTime               = 2500 // ms, time constant of shedding: cold caches make idle servers slow
	shedDeadband                = 0.1  // sustained fraction not shed: with little traffic, chance reaches it
	maxShedFraction             = 0.95 // answers are needed to detect the end of the overload
	maxLatencyRatio             = 2    // latencies count as at most this multiple of the objective
	answerRateSpan              = 8    // time constant of the answer rate, in longest objectives
	growthDeviations            = 2    // standard deviations deducted from recent answers to prove growth
	assumedAnswers              = 3    // answers added to the answer rate; also the span of the mean load
	maxFairnessBoost            = 2    // bound of a tenant's quota / use, a factor of its requests' value
	similarValueFactor          = 1.25 // requests whose values differ by less than this factor are shed alike
)

// admit decides whether a request is admitted. It sheds load that the fleet cannot answer within the
// latency objectives. The expected latency is the load in flight over the answer rate (Little's law), which
// rises before answers show an overload. The sustained fraction changes by a step with each request. The
// step grows with the time since the previous request: with a fixed step, a sidecar with little traffic
// would react too late to a loss of servers.
func (b *Balancer) admit(r *request) bool {
	state := &b.admission
	answerRate := b.answerRate(assumedAnswers)
	b.trackLoad(0, answerRate)
	if state.firstRequestAt == 0 {
		state.firstRequestAt = b.now
	}
	if b.now < state.firstRequestAt+b.longestObjective {
		// The first requests cannot have been answered yet, so the answer rate is not meaningful.
		state.updatedAt = b.now
		return true
	}
	excess := b.excessLatency(answerRate)
	step := math.Max(minShedStep, clamp((b.now-state.updatedAt)/shedStepTime, 0, maxShedStep))
	state.sustainedShed *= math.Exp((state.updatedAt - b.now) / shedDecayTime)
	state.updatedAt = b.now
	state.sustainedShed = clamp(state.sustainedShed+step*excess, 0, maxShedFraction+shedDeadband)
	sustained := state.sustainedShed - shedDeadband
	fraction := clamp(sustained+immediateShedGain*excess, 0, math.Min(maxShedFraction, 2*sustained))
	return fraction == 0 || b.random() >= b.shedProbability(r, fraction)
}

// excessLatency returns by how much the expected latency exceeds the allowed latency, as a fraction of the
// objective. A negative excess is computed with the larger allowance, so that shedding ends equally fast
// where the smaller allowance applies.
func (b *Balancer) excessLatency(answerRate float64) float64 {
	minRatio, assumed := b.admission.minLatencyRatio, 1-b.answerRate(0)/answerRate
	expected := b.admission.load.mean/answerRate + minRatio*assumed // assumed answers take the minimum
	allowance := queueingAllowance
	if b.lowTraffic() {
		allowance = queueingAllowanceLowTraffic
	}
	threshold := minRatio + allowance*(1-minRatio)
	excess := math.Min(expected, maxLatencyRatio) - threshold
	if excess < 0 {
		excess = expected - minRatio - queueingAllowance*(1-minRatio)
	}
	return excess
}

// shedding reports whether any load is shed.
func (b *Balancer) shedding() bool { return b.admission.sustainedShed > shedDeadband }

// shedProbability returns the probability that a request is shed. It distributes the fraction of the load
// to shed over classes and tenants. Requests whose answers add least to the objective per unit of work are
// shed first.
func (b *Balancer) shedProbability(r *request, fraction float64) float64 {
	totals := b.sumDemand()
	totalWork, lessValuable, similar, own := 0.0, 0.0, 1e-3, b.valuePerWork(&totals, r.stats, r.tenant)
	for i := range b.admission.classes {
		class := &b.admission.classes[i]
		for k := range b.admission.tenants {
			tenant := &b.admission.tenants[k]
			work := class.received * class.meanLatency * tenant.received
			totalWork += work
			if value := b.valuePerWork(&totals, class, tenant); value*similarValueFactor < own {
				lessValuable += work
			} else if value < own*similarValueFactor {
				similar += work
			}
		}
	}
	return (fraction*totalWork - lessValuable) / similar
}

// valuePerWork returns what an answer to a class and tenant adds to the objective, per unit of work. The
// worst-served class and tenant have additional weights. Requests beyond a tenant's quota count less.
func (b *Balancer) valuePerWork(totals *demandTotals, class *classStats, tenant *requestCounts) float64 {
	objective := &b.config.Objective
	value := (objective.Overall + objective.WorstWindow) * class.priorityWeight / totals.priorityWeight
	if class == totals.worstClass {
		value += objective.WorstClass / class.received
	}
	if tenant.quota > 0 {
		boost := math.Min(tenant.quota*totals.received/tenant.received, maxFairnessBoost)
		value *= b.config.OverQuotaWeight + (1-b.config.OverQuotaWeight)*boost
	}
	if tenant == totals.worstTenant {
		fraction := objective.WorstTenant * class.priorityWeight / totals.priorityWeight
		value += fraction * totals.received / tenant.received
	}
	return value / math.Max(class.meanLatency, 1e-3)
}
