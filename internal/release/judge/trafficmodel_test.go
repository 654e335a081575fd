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
type effect struct{ loadFactor, addedFailureRate, latencyFactor float64 }

var noEffect = effect{loadFactor: 1, addedFailureRate: 0, latencyFactor: 1}

// trafficModel generates intervals of a second for zones a and b, with a common and a rarer class. Each unit gets rate
// requests a second, with log-normal latencies.
type trafficModel struct {
	rng              *rand.Rand
	canaryUnits      int // per zone
	baselineUnits    int
	rate             float64
	memoryGrowth     float64 // of the canary, per second
	restartRate      float64 // additional share of the canary's units that restart per second
	failureRateNoise float64 // relative spread of each version's failure rate from second to second
	staleBaseline    bool    // injected defect: the fault does not affect the baseline

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
		hits, product, limit := 0, 1.0, math.Exp(-mean)
		for product *= m.rng.Float64(); product > limit; product *= m.rng.Float64() {
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

// drawCounts draws the outcomes of an interval's requests to a number of units, for a class with the given share of the traffic.
func (m *trafficModel) drawCounts(units int, classShare, loadFactor, meanFailureRate, latencyFactor float64) Counts {
	requests := m.binomial(int(2*float64(units)*m.rate*classShare*loadFactor)+2, 0.5)
	failureRate := meanFailureRate * max(0, 1+m.failureRateNoise*m.rng.NormFloat64())
	counts := Counts{Failed: m.binomial(requests, failureRate), LatencyHistogram: make([]uint32, latencyBuckets)}
	counts.Served = requests - counts.Failed
	remaining, shareSoFar := counts.Served, 0.0
	for i, boundMS := 0, firstBoundMS; i < latencyBuckets-1 && remaining > 0; i, boundMS = i+1, boundMS*math.Sqrt2 {
		shareBelowBound := shareBelow(boundMS, medianLatencyMS*latencyFactor)
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

func (m *trafficModel) drawInterval(second int) Interval {
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
			interval.Classes = append(interval.Classes, m.drawClassSample(second, zone, class.name, class.share, fault))
		}
		interval.Zones = append(interval.Zones, m.drawZoneSample(second, zone))
	}
	return interval
}

func (m *trafficModel) drawClassSample(second int, zone, class string, share float64, fault effect) ClassSample {
	regression := noEffect
	if m.regression != nil {
		regression = m.regression(second, class, fault.loadFactor)
	}
	sample := ClassSample{Class: class, Zone: zone}
	sample.Canary = m.drawCounts(m.canaryUnits, share, fault.loadFactor,
		baseFailureRate+fault.addedFailureRate+regression.addedFailureRate, fault.latencyFactor*regression.latencyFactor)
	if m.staleBaseline {
		fault = noEffect
	}
	sample.Baseline = m.drawCounts(m.baselineUnits, share, fault.loadFactor,
		baseFailureRate+fault.addedFailureRate, fault.latencyFactor)
	return sample
}

func (m *trafficModel) drawZoneSample(second int, zone string) ZoneSample {
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
	judge := New(testSettings)
	for seconds = 1; seconds <= maxSeconds; seconds++ {
		interval := m.drawInterval(seconds)
		for i := range interval.Classes {
			requests += interval.Classes[i].Canary.total()
		}
		verdict = judge.Add(interval)
		if verdict.Outcome == Regression || stopAtPass && verdict.Outcome == Pass {
			return verdict, seconds, requests
		}
	}
	return verdict, maxSeconds, requests
}

// randomFault returns a fault of a random kind at a random time that affects both versions: servers of a zone are lost,
// traffic bursts, servers are overloaded, or none.
func randomFault(rng *rand.Rand) func(second, zoneIndex int) effect {
	kind, from, zone, severity := rng.IntN(4), 5+rng.IntN(15), rng.IntN(2), 0.2+0.6*rng.Float64()
	until := from + 5 + rng.IntN(20)
	return func(second, zoneIndex int) effect {
		if second < from || second > until {
			return noEffect
		}
		switch {
		case kind == 0 && zoneIndex == zone: // half of the zone's servers are lost, which is detected late
			return effect{loadFactor: 0.6, addedFailureRate: severity * 0.5, latencyFactor: 1.2}
		case kind == 0: // the other zone takes over the load
			return effect{loadFactor: 1.4, addedFailureRate: 0.02, latencyFactor: 1.3}
		case kind == 1: // burst
			return effect{loadFactor: 1 + 2*severity, addedFailureRate: 0.1 * severity, latencyFactor: 1 + severity}
		case kind == 2 && zoneIndex == zone: // overload
			return effect{loadFactor: 1, addedFailureRate: 0.3 * severity, latencyFactor: 1 + 3*severity}
		}
		return noEffect
	}
}
