// Package judge compares a new version with the old one at the same time, in the same zone and class, and says whether
// the new harms. It is pure and sequential: it may be asked after every interval, and what it says of false alarms holds
// for all its looks together.
//
// Shares (answered in time, late, failed, slower than three quarters of the old, restarts) are tested one against the
// other; a trouble that both feel moves both and is no difference. Memory is no draw of chances and is compared by its
// level. What is stated: over the whole life of one Judge, a version that is no worse than tolerated is found harmful by
// the tests of shares with a chance of at most Settings.FalseAlarmRate, and one that is worse by more than tolerated in a
// stratum that counts passes with a chance of at most falsePassRate. Restarts are too rare for such a proof within a wave:
// they convict, and on suspicion they keep a pass back.
package judge

import (
	"fmt"
	"math"
	"slices"
)

const (
	// falsePassRate bounds the chance that a version beyond what is tolerated passes. A pass needs every comparison, so it is
	// not divided among them.
	falsePassRate = 0.01
	// comparisonsPerStratum is how many comparisons a stratum has at most: four shares, each over all and over the loaded intervals,
	// and its part of the zone's restarts.
	comparisonsPerStratum = 9
	// minClassShare of a zone's requests at the old makes a class one that a pass waits for. Rarer ones can only convict.
	minClassShare = 0.01
	// memoryRegressionIntervals is how many intervals in a row the memory has to be above what is tolerated.
	memoryRegressionIntervals = 10
	// restartSuspicion is the logarithm of the evidence of too many restarts that keeps a pass back.
	restartSuspicion = 1
	// noDataIntervals is how many intervals in a row without half of the reports make a silence.
	noDataIntervals = 5
	// highLoadFactor is how far above its mean so far an interval's traffic is to count as loaded.
	highLoadFactor = 1.2
	// decay is what the mean traffic and the latencies of the old keep of themselves in each interval: about a minute.
	decay = 0.98
	// tailShare is the share of the old's answers that the latency is compared beyond.
	tailShare = 0.25
	// maxStrata bounds memory: classes × zones beyond it are not judged, and a pass is withheld.
	maxStrata = 4096
)

// Settings are what is tolerated; see plan.Guards for the terms.
type Settings struct {
	ServedTolerance, LateTolerance, FailedTolerance, LatencyTolerance, RestartTolerance, MemoryTolerance float64

	FalseAlarmRate float64 // over all comparisons and looks of one Judge, 0 to 1
	Strata         int     // classes × zones that are expected; more are judged with ever less of the false-alarm rate
}

// Counts are what became of requests in an interval. Latency counts the served by rising bounds, the same for both.
type Counts struct {
	Served, Late, Failed int // Late are among Served
	LatencyHistogram     []uint32
}

// ClassSample is a class in a zone, new and old.
type ClassSample struct {
	Class, Zone      string
	Canary, Baseline Counts
}

// UnitStats is what is known of the units of one version in a zone.
type UnitStats struct {
	Units      int
	Restarts   int     // in the interval, that nobody asked for
	MeanMemory float64 // mean of a unit, in any unit that is the same for both; 0: unknown
}

// ZoneSample is the units of a zone, new and old.
type ZoneSample struct {
	Zone             string
	Canary, Baseline UnitStats
}

// Interval is a second or more of both versions. Its reports are counted so that silence is known from calm.
type Interval struct {
	ExpectedReports, ReceivedReports int
	Classes                          []ClassSample
	Zones                            []ZoneSample
}

// Outcome is a verdict.
type Outcome string

// The verdicts.
const (
	Pass         Outcome = "pass"   // there is enough evidence that nothing is worse than tolerated
	Regression   Outcome = "harm"   // there is enough evidence that something is
	Inconclusive Outcome = "wait"   // too little traffic for either
	NoData       Outcome = "silent" // reports are missing
)

// Verdict is a verdict and, in one line, what it rests on.
type Verdict struct {
	Outcome Outcome `json:"kind"`
	Reason  string  `json:"why,omitempty"`
}

// Judge is the watch of one wave.
type Judge struct {
	settings             Settings
	strata               map[[2]string]*stratum // by zone and class
	zones                map[string]*zone
	thresholdsIssued     int // strata so far
	intervalsWithoutData int // intervals in a row without enough reports
	tooManyStrata        bool
	regression           string
}

// stratum is a class in a zone. The second of each pair is over the loaded intervals alone.
type stratum struct {
	threshold                     float64 // of the logarithm of the evidence of harm
	notInTime, late, failed, slow [2]comparison
	meanRequests                  float64 // mean of an interval so far
	baselineLatency               [2][]float64
	baselineRequests              int // requests of the old
}

type zone struct {
	threshold      float64
	restarts       comparison
	intervalsAbove int // intervals in a row in which the memory is above what is tolerated
	memorySamples  int // intervals that told of memory
	canaryUnits    int // of the new, last
	memoryRatio    float64
}

// New begins a watch.
func New(settings Settings) *Judge {
	settings.Strata = max(settings.Strata, 1)
	return &Judge{settings: settings, strata: map[[2]string]*stratum{}, zones: map[string]*zone{}}
}

// nextThreshold is the logarithm of the evidence that convicts in the next stratum: half of the false-alarm rate is shared
// among those expected, half is for what comes beyond, ever less of it.
func (j *Judge) nextThreshold() float64 {
	j.thresholdsIssued++
	alpha := j.settings.FalseAlarmRate / 2 / comparisonsPerStratum
	if j.thresholdsIssued <= j.settings.Strata {
		alpha /= float64(j.settings.Strata)
	} else {
		extra := float64(j.thresholdsIssued - j.settings.Strata)
		alpha /= extra * (extra + 1)
	}
	return -math.Log(alpha)
}

// Add takes an interval and says how things stand.
func (j *Judge) Add(interval Interval) Verdict {
	if 2*interval.ReceivedReports < interval.ExpectedReports || interval.ExpectedReports == 0 {
		j.intervalsWithoutData++
		return j.verdict()
	}
	j.intervalsWithoutData = 0
	for _, sample := range interval.Classes {
		key := [2]string{sample.Zone, sample.Class}
		evidence := j.strata[key]
		if evidence == nil {
			if len(j.strata) == maxStrata {
				j.tooManyStrata = true
				continue
			}
			evidence = j.newStratum()
			j.strata[key] = evidence
		}
		evidence.add(sample)
		j.detectRegression(evidence, sample)
	}
	for _, sample := range interval.Zones {
		evidence := j.zones[sample.Zone]
		if evidence == nil {
			evidence = &zone{threshold: j.nextThreshold(), restarts: comparison{tolerance: j.settings.RestartTolerance}}
			j.zones[sample.Zone] = evidence
		}
		evidence.add(sample, j.settings.MemoryTolerance)
		switch {
		case j.regression != "":
		case evidence.restarts.regression.logEvidence() >= evidence.threshold:
			j.regression = fmt.Sprintf("restarts in zone %q: %d in %d unit-intervals, more than the old and the tolerated %v",
				sample.Zone, evidence.restarts.canaryHits, evidence.restarts.canaryTrials, j.settings.RestartTolerance)
		case evidence.intervalsAbove >= memoryRegressionIntervals:
			j.regression = fmt.Sprintf("memory in zone %q: %.2f times the old, tolerated %.2f", sample.Zone, evidence.memoryRatio, 1+j.settings.MemoryTolerance)
		}
	}
	return j.verdict()
}

func (j *Judge) newStratum() *stratum {
	s := &stratum{threshold: j.nextThreshold()}
	for i := range 2 {
		s.notInTime[i].tolerance, s.late[i].tolerance = j.settings.ServedTolerance, j.settings.LateTolerance
		s.failed[i].tolerance, s.slow[i].tolerance = j.settings.FailedTolerance, j.settings.LatencyTolerance
	}
	return s
}

func (s *stratum) add(sample ClassSample) {
	canaryTotal, baselineTotal := sample.Canary.Served+sample.Canary.Failed, sample.Baseline.Served+sample.Baseline.Failed
	s.baselineRequests += baselineTotal
	total := float64(canaryTotal + baselineTotal)
	highLoad := s.meanRequests > 0 && total > highLoadFactor*s.meanRequests
	if s.meanRequests == 0 {
		s.meanRequests = total
	}
	s.meanRequests = decay*s.meanRequests + (1-decay)*total
	for i := range 2 {
		if i == 1 && !highLoad {
			break
		}
		s.notInTime[i].add(canaryTotal-sample.Canary.Served+sample.Canary.Late, canaryTotal, baselineTotal-sample.Baseline.Served+sample.Baseline.Late, baselineTotal)
		s.late[i].add(sample.Canary.Late, canaryTotal, sample.Baseline.Late, baselineTotal)
		s.failed[i].add(sample.Canary.Failed, canaryTotal, sample.Baseline.Failed, baselineTotal)
		// The bound is that of the intervals before, so that it owes nothing to what it is applied to.
		if boundary := tailBoundary(s.baselineLatency[i]); boundary >= 0 {
			canarySlow, canaryAnswers := countBeyond(sample.Canary.LatencyHistogram, boundary)
			baselineSlow, baselineAnswers := countBeyond(sample.Baseline.LatencyHistogram, boundary)
			s.slow[i].add(canarySlow, canaryAnswers, baselineSlow, baselineAnswers)
		}
		s.baselineLatency[i] = decayAndAdd(s.baselineLatency[i], sample.Baseline.LatencyHistogram)
	}
}

// detectRegression notes the first harm that the stratum's evidence is enough for.
func (j *Judge) detectRegression(evidence *stratum, sample ClassSample) {
	if j.regression != "" {
		return
	}
	for i, condition := range []string{"", " under load"} {
		for _, candidate := range []struct {
			what      string
			candidate *comparison
		}{{"failed", &evidence.failed[i]}, {"late", &evidence.late[i]}, {"not in time", &evidence.notInTime[i]}, {"slower than three quarters of the old", &evidence.slow[i]}} {
			if candidate.candidate.regression.logEvidence() >= evidence.threshold {
				j.regression = fmt.Sprintf("%s%s, class %q in zone %q: %d of %d, more than the old and the tolerated %v",
					candidate.what, condition, sample.Class, sample.Zone, candidate.candidate.canaryHits, candidate.candidate.canaryTrials, candidate.candidate.tolerance)
				return
			}
		}
	}
}

func (z *zone) add(sample ZoneSample, tolerance float64) {
	z.canaryUnits = sample.Canary.Units
	z.restarts.add(min(sample.Canary.Restarts, sample.Canary.Units), sample.Canary.Units, min(sample.Baseline.Restarts, sample.Baseline.Units), sample.Baseline.Units)
	if sample.Canary.MeanMemory <= 0 || sample.Baseline.MeanMemory <= 0 {
		return
	}
	z.memorySamples++
	z.memoryRatio = sample.Canary.MeanMemory / sample.Baseline.MeanMemory
	if z.memoryRatio > 1+tolerance {
		z.intervalsAbove++
	} else {
		z.intervalsAbove = 0
	}
}

// verdict says how things stand after the last interval.
func (j *Judge) verdict() Verdict {
	if j.regression != "" {
		return Verdict{Regression, j.regression}
	}
	if j.intervalsWithoutData >= noDataIntervals {
		return Verdict{NoData, fmt.Sprintf("%d intervals in a row without half of the reports", j.intervalsWithoutData)}
	}
	if reason := j.missingEvidence(); reason != "" {
		return Verdict{Inconclusive, reason}
	}
	return Verdict{Outcome: Pass}
}

// missingEvidence tells what a pass still lacks, the same whatever the order in which things were told.
func (j *Judge) missingEvidence() string {
	if j.intervalsWithoutData > 0 {
		return "the last reports are missing"
	}
	if j.tooManyStrata {
		return fmt.Sprintf("more than %d classes × zones", maxStrata)
	}
	baselineByZone := map[string]int{} // by zone
	keys := make([][2]string, 0, len(j.strata))
	for key, evidence := range j.strata {
		baselineByZone[key[0]] += evidence.baselineRequests
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	passThreshold, counted := -math.Log(falsePassRate), 0
	for _, key := range keys {
		evidence := j.strata[key]
		if z := j.zones[key[0]]; z == nil || z.canaryUnits == 0 || evidence.baselineRequests == 0 || float64(evidence.baselineRequests) < minClassShare*float64(baselineByZone[key[0]]) {
			continue
		}
		counted++
		for _, candidate := range []struct {
			what      string
			candidate *comparison
		}{{"in time", &evidence.notInTime[0]}, {"late", &evidence.late[0]}, {"failed", &evidence.failed[0]}, {"latency", &evidence.slow[0]}} {
			if candidate.candidate.nonInferiority.logEvidence() < passThreshold {
				return fmt.Sprintf("too little traffic for %s, class %q in zone %q: %d requests at the new so far", candidate.what, key[1], key[0], candidate.candidate.canaryTrials)
			}
		}
	}
	if counted == 0 {
		return "no class has met both versions in a zone"
	}
	names := make([]string, 0, len(j.zones))
	for name := range j.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		switch z := j.zones[name]; {
		case z.canaryUnits == 0:
		case z.restarts.regression.logEvidence() > restartSuspicion:
			return fmt.Sprintf("%d restarts in zone %q, in %d unit-intervals", z.restarts.canaryHits, name, z.restarts.canaryTrials)
		case z.intervalsAbove > 0 || z.memorySamples > 0 && z.memorySamples < memoryRegressionIntervals:
			return fmt.Sprintf("memory in zone %q: %.2f times the old", name, z.memoryRatio)
		}
	}
	return ""
}

// tailBoundary is the first bound beyond which at most tail of a histogram lies, -1 for an empty one.
func tailBoundary(histogram []float64) int {
	total := 0.0
	for _, count := range histogram {
		total += count
	}
	if total == 0 {
		return -1
	}
	beyondBucket := total
	for i, count := range histogram {
		if beyondBucket -= count; beyondBucket <= tailShare*total {
			return i
		}
	}
	return len(histogram) - 1
}

// countBeyond counts what lies beyond a bound, and all.
func countBeyond(histogram []uint32, boundary int) (slow, total int) {
	for i, count := range histogram {
		total += int(count)
		if i > boundary {
			slow += int(count)
		}
	}
	return slow, total
}

// maxLatencyBuckets bounds a histogram that is remembered.
const maxLatencyBuckets = 64

func decayAndAdd(histogram []float64, counts []uint32) []float64 {
	for i := range histogram {
		histogram[i] *= decay
	}
	for i, count := range counts[:min(len(counts), maxLatencyBuckets)] {
		if i == len(histogram) {
			histogram = append(histogram, 0)
		}
		histogram[i] += float64(count)
	}
	return histogram
}
