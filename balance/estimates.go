package balance

import "math"

// admissionState is the state of load shedding; see admit.
type admissionState struct {
	classes []classStats
	tenants []requestCounts // the last entry is for requests without a tenant

	firstRequestAt  float64
	updatedAt       float64 // time of the last request
	sustainedShed   float64 // sustained fraction of the load to shed, including shedDeadband
	minLatencyRatio float64 // minimum latency of recent answers, as a fraction of the objective

	firstAnswerAt float64 // time of the first answer: traffic may begin long after Start
	answers       rateMeter
	recentAnswers rateMeter // answers over about one longest latency objective
	load          inFlightLoad
}

// inFlightLoad is the load in flight. Each attempt counts as 1 / its latency objective; see trackLoad.
type inFlightLoad struct{ current, mean, updatedAt float64 }

// answerRate returns the rate of answers per millisecond over a long span, with the assumed answers added
// to the count. If the answers within the last span of the longest latency objective certainly show a
// higher rate, it returns that rate, because traffic may grow fast.
func (b *Balancer) answerRate(assumed float64) float64 {
	state := &b.admission
	long := state.answers.rate(b.now, state.firstAnswerAt, answerRateSpan*b.longestObjective, assumed)
	const longAgo = 1e9 // disables the correction for a short counting time
	recent := state.recentAnswers.rate(b.now, b.now-longAgo, b.longestObjective, 0) * b.longestObjective
	certain := recent - growthDeviations*math.Sqrt(recent)
	return math.Max(long, certain/b.longestObjective)
}

// trackLoad updates the load in flight. An attempt counts as 1 / its latency objective, and for no longer
// than its objective, because a hung server is not overload. The mean is taken over the time of a few
// answers: at a sidecar with little traffic, a few requests are in flight together by chance.
func (b *Balancer) trackLoad(delta, answerRate float64) {
	load := &b.admission.load
	load.mean += (load.current - load.mean) * -math.Expm1((load.updatedAt-b.now)*answerRate/assumedAnswers)
	load.current, load.updatedAt = load.current+delta, b.now
}

// trackLatency updates the latency of a class as a fraction of its objective, and the recent minimum of
// that fraction. The minimum for all classes together is the mean of the classes' minima over recent
// answers: if one class is shed, the answers of the other classes may take a larger fraction of their
// objective, which is not overload.
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

// recordLatency records the latency of an answer for admission and for the learned capacity of the server.
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
