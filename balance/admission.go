package balance

import "math"

// This file decides what is shed, and of whom.

const (
	queueingAllowance           = 0.25 // part of the aim beyond the quickest answers that queues may take: else load is shed
	queueingAllowanceLowTraffic = 0.08 // ... where each server is met seldom: what fills up shows late, and in most at once
	initialLatencyRatio         = 0.33 // held to be the quickest until answers tell
	minLatencyDecay             = 6e4  // ms in which the quickest is forgotten: servers change, and what they do
	averagingSamples            = 50   // answers or reports over which a mean is taken
	immediateShedGain           = 1.5  // part of the load to shed at once, per aim that answers take too long
	minShedStep                 = 0.04 // ... and lastingly, more for each request
	shedStepTime                = 400  // ms after which it is all, per aim
	shedDecayTime               = 2500 // ms in which lasting shedding ends by itself: idle servers turn cold, and look crowded
	maxShedStep                 = 0.34 // ... but no more for one request
	shedDeadband                = 0.1  // of the lasting part is not shed: small sidecars gather it by chance
	maxShedFraction             = 0.95 // never all: answers are needed to see that the load is gone
	answerRateSpan              = 8    // span of the rate of answers, in longest aims
	assumedAnswers              = 3    // assumed beside the recent answers, and over which the load is averaged
	maxFairnessBoost            = 2    // a tenant counts as at most this far under its share
	similarValueFactor          = 1.25 // values within this factor are shed alike, so that no tenant pays for a tiny excess
)

// admit sheds load that the fleet cannot answer within the aims. What is in flight over the rate of answers
// tells how long answers take (Little's law), sooner than they do. What is shed lastingly moves with each
// request, of small sidecars by time: they took seconds to shed when servers were lost.
func (b *Balancer) admit(r *request) bool {
	answerRate := b.answerRate(assumedAnswers)
	b.trackLoad(0, answerRate)
	if b.firstRequestAt == 0 {
		b.firstRequestAt = b.now
	}
	if b.now < b.firstRequestAt+b.longestObjective {
		// The answers to the first requests are still to come, so their rate tells nothing yet: after each
		// restart half of the first second was shed.
		b.lastAdmissionAt = b.now
		return true
	}
	expectedLatency := b.meanLoad/answerRate + b.minLatencyRatio*(1-b.answerRate(0)/answerRate) // as a part of the aim; those assumed are quick
	allowance := queueingAllowance
	if b.lowTraffic() {
		allowance = queueingAllowanceLowTraffic
	}
	threshold := b.minLatencyRatio + allowance*(1-b.minLatencyRatio) // the work itself and a part of the rest
	excess := math.Min(expectedLatency, 2) - threshold
	if excess < 0 { // what is shed ends as fast where queues may take less: most of it was shed for nothing
		excess = expectedLatency - b.minLatencyRatio - queueingAllowance*(1-b.minLatencyRatio)
	}
	step := math.Max(minShedStep, clamp((b.now-b.lastAdmissionAt)/shedStepTime, 0, maxShedStep))
	b.sustainedShed *= math.Exp((b.lastAdmissionAt - b.now) / shedDecayTime)
	b.lastAdmissionAt = b.now
	b.sustainedShed = clamp(b.sustainedShed+step*excess, 0, maxShedFraction+shedDeadband)
	sustained := b.sustainedShed - shedDeadband
	shedFraction := clamp(sustained+immediateShedGain*excess, 0, math.Min(maxShedFraction, 2*sustained))
	return shedFraction == 0 || b.random() >= b.shedProbability(r, shedFraction)
}

// trackLoad follows what is in flight, each attempt as one over its aim and for no longer than that: what
// hangs is no overload. The mean is over the time of a few answers: a small sidecar's few crowd by chance.
func (b *Balancer) trackLoad(delta, answerRate float64) {
	b.meanLoad += (b.load - b.meanLoad) * -math.Expm1((b.loadUpdatedAt-b.now)*answerRate/assumedAnswers)
	b.load, b.loadUpdatedAt = b.load+delta, b.now
}

// answerRate is the rate of answers, some assumed; or that surely seen over the last aim: traffic may grow fast.
func (b *Balancer) answerRate(assumed float64) float64 {
	longTermRate := b.answerMeter.rate(b.now, b.firstAnswerAt, answerRateSpan*b.longestObjective, assumed)
	recentAnswers := b.recentAnswerMeter.rate(b.now, b.now-1e9, b.longestObjective, 0) * b.longestObjective
	return math.Max(longTermRate, (recentAnswers-2*math.Sqrt(recentAnswers))/b.longestObjective)
}

// shedProbability spreads the load to shed over classes and tenants, those first whose answers add least to the
// goal for their work; the worst-served weigh on their own. Of a tenant counts what is in its share.
func (b *Balancer) shedProbability(r *request, shedFraction float64) float64 {
	totals, objective := b.sumDemand(), b.config.Objective
	valuePerWork := func(class *classStats, tenant *requestCounts) float64 {
		v := (objective.Whole + objective.WorstWindow) * class.priorityWeight / totals.priorityWeight
		if class == totals.worstClass {
			v += objective.WorstClass / class.received
		}
		if tenant.quota > 0 {
			overQuota := b.config.OverQuotaWeight
			v *= overQuota + (1-overQuota)*math.Min(tenant.quota*totals.received/tenant.received, maxFairnessBoost)
		}
		if tenant == totals.worstTenant {
			v += objective.WorstTenant * class.priorityWeight / totals.priorityWeight * totals.received / tenant.received
		}
		return v / math.Max(class.meanLatency, 1e-3)
	}
	totalWork, lessValuableWork, similarWork, ownValue := 0.0, 0.0, 1e-3, valuePerWork(r.stats, r.tenant)
	for c := range b.classStats {
		for t := range b.tenantStats {
			work := b.classStats[c].received * b.classStats[c].meanLatency * b.tenantStats[t].received
			totalWork += work
			if v := valuePerWork(&b.classStats[c], &b.tenantStats[t]); v*similarValueFactor < ownValue {
				lessValuableWork += work
			} else if v < ownValue*similarValueFactor {
				similarWork += work
			}
		}
	}
	return (shedFraction*totalWork - lessValuableWork) / similarWork
}

func (b *Balancer) sumDemand() demandTotals {
	totals := demandTotals{priorityWeight: 1e-9, worstClass: &b.classStats[0], worstTenant: &b.tenantStats[0]}
	for c := range b.classStats {
		totals.received += b.classStats[c].received
		totals.priorityWeight += b.classStats[c].received * b.classStats[c].priorityWeight
		if b.classStats[c].servedLessThan(&totals.worstClass.requestCounts) {
			totals.worstClass = &b.classStats[c]
		}
	}
	for t := range b.tenantStats {
		if b.tenantStats[t].servedLessThan(totals.worstTenant) {
			totals.worstTenant = &b.tenantStats[t]
		}
	}
	return totals
}

// trackLatency follows how long the answers of a class take, as a part of their aim, and the least it has been of
// late. Of these the quickest is the mean over the answers of late: where one class is shed, what is left may
// take a larger part of its aim, and that is no overload.
func (b *Balancer) trackLatency(class *classStats, latencyRatio float64) {
	class.recentSamples = math.Min(class.recentSamples+1, averagingSamples)
	class.recentLatencyRatio += (math.Min(latencyRatio, 2) - class.recentLatencyRatio) / class.recentSamples
	if class.recentSamples == averagingSamples {
		class.minLatencyRatio += math.Max(initialLatencyRatio-class.minLatencyRatio, 0) * -math.Expm1((class.minLatencyUpdatedAt-b.now)/minLatencyDecay)
		class.minLatencyRatio = math.Min(class.minLatencyRatio, class.recentLatencyRatio)
	}
	class.minLatencyUpdatedAt = b.now
	b.minLatencyRatio += (class.minLatencyRatio - b.minLatencyRatio) / averagingSamples
}

func (c *classStats) recordLatency(latency float64) {
	c.samples = math.Min(c.samples+1, 300)
	c.meanLatency += (latency - c.meanLatency) / c.samples
	c.meanDeviation += (math.Abs(latency-c.meanLatency) - c.meanDeviation) / c.samples
}
