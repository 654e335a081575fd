package balance

import "math"

// admissionState is what load shedding goes by; see admit.
type admissionState struct {
	classes []classStats
	tenants []requestCounts // the last is for requests without a tenant

	firstRequestAt  float64
	updatedAt       float64 // the last request
	sustainedShed   float64 // fraction of the load that is shed lastingly, shedDeadband included
	minLatencyRatio float64 // least latency of recent answers, as a fraction of the objective

	firstAnswerAt float64 // traffic may begin long after the start
	answers       rateMeter
	recentAnswers rateMeter // over about one objective
	load          inFlightLoad
}

// inFlightLoad is what is in flight, each attempt as 1 / its latency objective; see trackLoad.
type inFlightLoad struct{ current, mean, updatedAt float64 }

// answerRate is the rate of answers per millisecond over a long span, with some assumed ones added, or what the last
// objective surely shows, if that is more: traffic may grow fast.
func (b *Balancer) answerRate(assumed float64) float64 {
	state := &b.admission
	long := state.answers.rate(b.now, state.firstAnswerAt, answerRateSpan*b.longestObjective, assumed)
	const longAgo = 1e9 // no correction for a short time of counting
	recent := state.recentAnswers.rate(b.now, b.now-longAgo, b.longestObjective, 0) * b.longestObjective
	certain := recent - growthDeviations*math.Sqrt(recent)
	return math.Max(long, certain/b.longestObjective)
}

// trackLoad follows what is in flight. An attempt counts as 1 / its objective, and for no longer than that: a hung server
// is not overload. The mean is over the time of a few answers: a few requests of a small sidecar coincide by chance.
func (b *Balancer) trackLoad(delta, answerRate float64) {
	load := &b.admission.load
	load.mean += (load.current - load.mean) * -math.Expm1((load.updatedAt-b.now)*answerRate/assumedAnswers)
	load.current, load.updatedAt = load.current+delta, b.now
}

// trackLatency follows the latency of a class as a fraction of its objective, and the least that it has been of late. The
// least of all classes is a mean over recent answers: where one class is shed, the others may take a larger fraction of
// their objective, which is not overload.
func (b *Balancer) trackLatency(class *classStats, ratio float64) {
	class.recentSamples = math.Min(class.recentSamples+1, averagingSamples)
	class.recentLatencyRatio += (math.Min(ratio, maxLatencyRatio) - class.recentLatencyRatio) / class.recentSamples
	if class.recentSamples == averagingSamples {
		forgotten := -math.Expm1((class.minLatencyUpdatedAt - b.now) / minLatencyDecay)
		class.minLatencyRatio += math.Max(initialLatencyRatio-class.minLatencyRatio, 0) * forgotten
		class.minLatencyRatio = math.Min(class.minLatencyRatio, class.recentLatencyRatio)
	}
	class.minLatencyUpdatedAt = b.now
	b.admission.minLatencyRatio += (class.minLatencyRatio - b.admission.minLatencyRatio) / averagingSamples
}

// recordLatency records an answer for admission and for the capacity of the server.
func (b *Balancer) recordLatency(r *request, s *server, latency float64) {
	if b.admission.answers.count == 0 {
		b.admission.firstAnswerAt = b.now
	}
	b.admission.answers.add(b.now, answerRateSpan*b.longestObjective)
	b.admission.recentAnswers.add(b.now, b.longestObjective)
	b.trackLatency(r.stats, latency/r.class.LatencyObjective)
	if b.now <= r.arrivedAt+r.class.LatencyObjective {
		r.stats.servedInTime++
		r.tenant.servedInTime++
	}
	if r.stats.samples > 0 {
		b.learnCapacity(s, latency/r.stats.meanLatency)
	}
	r.stats.recordLatency(latency)
}

func newAdmissionState(config *Config) admissionState {
	state := admissionState{
		classes:         make([]classStats, len(config.Classes)),
		tenants:         make([]requestCounts, len(config.Tenants)+1),
		minLatencyRatio: initialLatencyRatio,
	}
	for i := range config.Classes {
		state.classes[i] = classStats{
			requestCounts:   requestCounts{received: 1, servedInTime: 1},
			priorityWeight:  config.Classes[i].PriorityWeight,
			minLatencyRatio: initialLatencyRatio,
		}
	}
	for i := range state.tenants {
		state.tenants[i] = requestCounts{received: 1, servedInTime: 1}
		if i < len(config.Tenants) {
			state.tenants[i].quota = config.Tenants[i].Quota
		}
	}
	return state
}
