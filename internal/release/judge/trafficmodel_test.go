package judge

import (
	"math"
	"math/rand/v2"
)

// Parameters of the model.
const (
	baseFailureRate   = 0.003
	baseRestartRate   = 0.0002
	medianLatencyMS   = 20
	lateMS            = 65 // above the bucket bound of 64 ms
	latencyBuckets    = 33 // with bounds that rise by a factor of √2 from 0.5 ms
	firstBoundMS      = 0.5
	latencySigma      = 0.5
	memoryNoise       = 0.02
	baselineMeanBytes = 100
)

// effect is how a fault or a regression changes requests: a load factor, an added failure rate and a latency factor.
type effect struct{ load, failures, latency float64 }

var noEffect = effect{load: 1, failures: 0, latency: 1}

// trafficModel generates intervals of a second for zones a and b, with a common and a rarer class. Each unit gets rate
// requests a second, with log-normal latencies.
type trafficModel struct {
	rng           *rand.Rand
	canaryUnits   int // per zone
	baselineUnits int
	rate          float64
	memoryGrowth  float64 // of the canary, per second
	restartRate   float64 // additional share of the canary's units that restart per second
	noise         float64 // relative spread of each version's failure rate from second to second
	staleBaseline bool    // planted bug: the fault does not affect the baseline

	// fault, if set, affects both versions.
	fault func(second, zoneIndex int) effect
	// regression, if set, affects the canary in addition to the fault.
	regression func(second int, class string, load float64) effect
}

func (m *trafficModel) binomial(trials int, probability float64) int {
	if probability > 0.5 {
		return trials - m.binomial(trials, 1-probability)
	}
	switch mean := float64(trials) * probability; {
	case trials == 0 || probability <= 0:
		return 0
	case trials < 40:
		hits := 0
		for range trials {
			if m.rng.Float64() < probability {
				hits++
			}
		}
		return hits
	case mean < 15: // Poisson, by products of uniform numbers
		hits, product, end := 0, 1.0, math.Exp(-mean)
		for product *= m.rng.Float64(); product > end; product *= m.rng.Float64() {
			hits++
		}
		return min(hits, trials)
	default: // normal
		drawn := math.Round(mean + math.Sqrt(mean*(1-probability))*m.rng.NormFloat64())
		return min(max(int(drawn), 0), trials)
	}
}

// shareBelow returns the share of log-normal latencies below a bound.
func shareBelow(boundMS, medianMS float64) float64 {
	return 0.5 * math.Erfc(-math.Log(boundMS/medianMS)/latencySigma/math.Sqrt2)
}

// counts draws the outcomes of an interval's requests to a number of units, for a class with the given share of the traffic.
func (m *trafficModel) counts(units int, share, load, failures, slowdown float64) Counts {
	requests := m.binomial(int(2*float64(units)*m.rate*share*load)+2, 0.5)
	failureRate := failures * max(0, 1+m.noise*m.rng.NormFloat64())
	counts := Counts{Failed: m.binomial(requests, failureRate), LatencyHistogram: make([]uint32, latencyBuckets)}
	counts.Served = requests - counts.Failed
	remaining, shareSoFar := counts.Served, 0.0
	for i, boundMS := 0, firstBoundMS; i < latencyBuckets-1 && remaining > 0; i, boundMS = i+1, boundMS*math.Sqrt2 {
		shareBelowBound := shareBelow(boundMS, medianLatencyMS*slowdown)
		if probability := (shareBelowBound - shareSoFar) / (1 - shareSoFar); probability > 1e-6 {
			bucket := m.binomial(remaining, probability)
			counts.LatencyHistogram[i] = uint32(bucket)
			remaining -= bucket
		}
		shareSoFar = shareBelowBound
		if boundMS > lateMS {
			counts.Late += int(counts.LatencyHistogram[i])
		}
	}
	counts.LatencyHistogram[latencyBuckets-1] += uint32(remaining)
	counts.Late += remaining
	return counts
}

func (m *trafficModel) interval(second int) Interval {
	interval := Interval{ExpectedReports: 10, ReceivedReports: 10}
	for zoneIndex, zone := range []string{"a", "b"} {
		fault := noEffect
		if m.fault != nil {
			fault = m.fault(second, zoneIndex)
		}
		for _, class := range []struct {
			name  string
			share float64
		}{{"lookup", 0.8}, {"simulate", 0.2}} {
			interval.Classes = append(interval.Classes, m.classSample(second, zone, class.name, class.share, fault))
		}
		interval.Zones = append(interval.Zones, m.zoneSample(second, zone))
	}
	return interval
}

func (m *trafficModel) classSample(second int, zone, class string, share float64, fault effect) ClassSample {
	regression := noEffect
	if m.regression != nil {
		regression = m.regression(second, class, fault.load)
	}
	sample := ClassSample{Class: class, Zone: zone}
	sample.Canary = m.counts(m.canaryUnits, share, fault.load,
		baseFailureRate+fault.failures+regression.failures, fault.latency*regression.latency)
	if m.staleBaseline {
		fault = noEffect
	}
	sample.Baseline = m.counts(m.baselineUnits, share, fault.load, baseFailureRate+fault.failures, fault.latency)
	return sample
}

func (m *trafficModel) zoneSample(second int, zone string) ZoneSample {
	canaryMemory := baselineMeanBytes * (1 + memoryNoise*m.rng.NormFloat64())
	canary := UnitStats{
		Units:      m.canaryUnits,
		Restarts:   m.binomial(m.canaryUnits, baseRestartRate+m.restartRate),
		MeanMemory: canaryMemory + m.memoryGrowth*float64(second),
	}
	baseline := UnitStats{
		Units:      m.baselineUnits,
		Restarts:   m.binomial(m.baselineUnits, baseRestartRate),
		MeanMemory: baselineMeanBytes * (1 + memoryNoise*m.rng.NormFloat64()),
	}
	return ZoneSample{Zone: zone, Canary: canary, Baseline: baseline}
}

// run adds up to maxSeconds intervals to a Judge, until the first regression or, with stopAtPass, the first pass.
func (m *trafficModel) run(maxSeconds int, stopAtPass bool) (verdict Verdict, seconds, requests int) {
	watched := New(testSettings)
	for seconds = 1; seconds <= maxSeconds; seconds++ {
		interval := m.interval(seconds)
		for i := range interval.Classes {
			requests += interval.Classes[i].Canary.total()
		}
		verdict = watched.Add(interval)
		if verdict.Outcome == Regression || stopAtPass && verdict.Outcome == Pass {
			return verdict, seconds, requests
		}
	}
	return verdict, maxSeconds, requests
}

// ordinaryFault returns a fault of a random kind at a random time that affects both versions: servers of a zone are lost,
// traffic bursts, servers are overloaded, or none.
func ordinaryFault(rng *rand.Rand) func(second, zoneIndex int) effect {
	kind, from, zone, severity := rng.IntN(4), 5+rng.IntN(15), rng.IntN(2), 0.2+0.6*rng.Float64()
	until := from + 5 + rng.IntN(20)
	return func(second, zoneIndex int) effect {
		if second < from || second > until {
			return noEffect
		}
		switch {
		case kind == 0 && zoneIndex == zone: // half of the zone's servers are lost, which is detected late
			return effect{load: 0.6, failures: severity * 0.5, latency: 1.2}
		case kind == 0: // the other zone takes over the load
			return effect{load: 1.4, failures: 0.02, latency: 1.3}
		case kind == 1: // burst
			return effect{load: 1 + 2*severity, failures: 0.1 * severity, latency: 1 + severity}
		case kind == 2 && zoneIndex == zone: // overload
			return effect{load: 1, failures: 0.3 * severity, latency: 1 + 3*severity}
		}
		return noEffect
	}
}
