package judge

import (
	"fmt"
	"math"
)

// stratum holds the evidence of one class of requests in a zone. Each comparison is made over all intervals, and again over
// the intervals of high load.
type stratum struct {
	threshold        float64 // logarithm of the evidence that shows a regression
	notInTime        [intervalSetCount]comparison
	late             [intervalSetCount]comparison
	failed           [intervalSetCount]comparison
	slow             [intervalSetCount]comparison
	meanRequests     float64                     // decaying mean per interval, of both versions
	baselineLatency  [intervalSetCount][]float64 // decaying histograms
	baselineRequests int
}

// The sets of intervals over which a stratum is compared.
const (
	allIntervals = iota
	highLoadIntervals
	intervalSetCount
)

func newStratum(settings *Settings, threshold float64) *stratum {
	s := &stratum{threshold: threshold}
	for i := range s.failed {
		s.notInTime[i].tolerance = settings.ServedTolerance
		s.late[i].tolerance = settings.LateTolerance
		s.failed[i].tolerance = settings.FailedTolerance
		s.slow[i].tolerance = settings.LatencyTolerance
	}
	return s
}

func (s *stratum) add(sample *ClassSample) {
	canary, baseline := &sample.Canary, &sample.Baseline
	s.baselineRequests += baseline.total()
	highLoad := s.addTraffic(float64(canary.total() + baseline.total()))
	s.compare(allIntervals, canary, baseline)
	if highLoad {
		s.compare(highLoadIntervals, canary, baseline)
	}
}

// addTraffic adds an interval's requests to their decaying mean, and reports whether the load was high relative to the mean
// of earlier intervals.
func (s *stratum) addTraffic(requests float64) (highLoad bool) {
	highLoad = s.meanRequests > 0 && requests > highLoadFactor*s.meanRequests
	if s.meanRequests == 0 {
		s.meanRequests = requests
	}
	s.meanRequests = decayPerInterval*s.meanRequests + (1-decayPerInterval)*requests
	return highLoad
}

// compare adds an interval to the comparisons over one set of intervals.
func (s *stratum) compare(i int, canary, baseline *Counts) {
	canaryTotal, baselineTotal := canary.total(), baseline.total()
	s.notInTime[i].add(canary.notInTime(), canaryTotal, baseline.notInTime(), baselineTotal)
	s.late[i].add(canary.Late, canaryTotal, baseline.Late, baselineTotal)
	s.failed[i].add(canary.Failed, canaryTotal, baseline.Failed, baselineTotal)
	// The boundary comes from earlier intervals, so that it does not depend on the requests that it divides.
	if boundary := tailBoundary(s.baselineLatency[i]); boundary >= 0 {
		canarySlow, canaryAnswers := countBeyond(canary.LatencyHistogram, boundary)
		baselineSlow, baselineAnswers := countBeyond(baseline.LatencyHistogram, boundary)
		s.slow[i].add(canarySlow, canaryAnswers, baselineSlow, baselineAnswers)
	}
	s.baselineLatency[i] = decayAndAdd(s.baselineLatency[i], baseline.LatencyHistogram)
}

// regression describes the first regression with enough evidence, or returns "" if there is none.
func (s *stratum) regression(key stratumKey) string {
	for i, conditionSuffix := range []string{allIntervals: "", highLoadIntervals: " under load"} {
		for _, candidate := range []struct {
			name       string
			comparison *comparison
		}{
			{"failed", &s.failed[i]},
			{"late", &s.late[i]},
			{"not in time", &s.notInTime[i]},
			{"slower than three quarters of the old", &s.slow[i]},
		} {
			compared := candidate.comparison
			if compared.regression.logEvidence() >= s.threshold {
				return fmt.Sprintf("%s%s, class %q in zone %q: %d of %d, more than the old and the tolerated %v",
					candidate.name, conditionSuffix, key.class, key.zone, compared.canaryHits, compared.canaryTrials, compared.tolerance)
			}
		}
	}
	return ""
}

// missingTraffic names the first comparison with too little traffic to pass, or returns "" if all pass.
func (s *stratum) missingTraffic(key stratumKey) string {
	passThreshold := -math.Log(falsePassRate)
	for _, candidate := range []struct {
		name       string
		comparison *comparison
	}{
		{"in time", &s.notInTime[allIntervals]},
		{"late", &s.late[allIntervals]},
		{"failed", &s.failed[allIntervals]},
		{"latency", &s.slow[allIntervals]},
	} {
		if candidate.comparison.nonInferiority.logEvidence() < passThreshold {
			return fmt.Sprintf("too little traffic for %s, class %q in zone %q: %d requests at the new so far",
				candidate.name, key.class, key.zone, candidate.comparison.canaryTrials)
		}
	}
	return ""
}
