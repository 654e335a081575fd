// Package judge compares a release's new version (the canary) with the old one (the baseline) at the same time, in the same
// zone and class of requests, and decides whether the new one regresses.
//
// It is pure and sequential: a verdict may be taken after every interval, and the bound on false alarms holds for all of
// them together. It owns the statistics and their evidence; package release turns reports into intervals and acts on
// verdicts.
//
// Shares of requests (not answered in time, late, failed, slow) and restarts are tested against each other, so a fault that
// both versions meet is no difference. Memory is no random draw and is compared by its level. Over the whole life of one
// Judge, a version that is no worse than tolerated is found to regress by the tests of shares with a probability of at most
// Settings.FalseAlarmRate, and one that is worse by more than tolerated in a stratum that counts passes with a probability
// of at most falsePassRate. Restarts are too rare for such a proof within a wave: they can show a regression, and on
// suspicion they withhold a pass.
package judge

import "fmt"

const (
	// falsePassRate bounds the probability that a version beyond its tolerances passes. A pass takes every comparison, so
	// it is not divided among them.
	falsePassRate = 0.01
	// comparisonsPerStratum is how many comparisons a stratum has at most: four shares, each over all intervals and over
	// those of high load, and its part of the zone's restarts.
	comparisonsPerStratum = 9
	// minClassShare is the share of a zone's baseline requests from which a class has to pass. A rarer one can only show a
	// regression.
	minClassShare = 0.01
	// memoryRegressionIntervals is for how many intervals in a row the memory has to be above its tolerance.
	memoryRegressionIntervals = 10
	// restartSuspicion is the logarithm of the evidence of too many restarts that withholds a pass.
	restartSuspicion = 1
	// noDataIntervals is how many intervals in a row without half of the reports count as no data.
	noDataIntervals = 5
	// highLoadFactor is how far an interval's traffic has to be above its mean so far to count as high load.
	highLoadFactor = 1.2
	// decayPerInterval is what the mean traffic and the baseline's latencies keep of their weight in each interval: about a minute.
	decayPerInterval = 0.98
	// tailShare is the share of the baseline's answers beyond the bound of latency that both are compared by.
	tailShare = 0.25
	// maxStrata bounds memory: classes × zones beyond it are not judged, and a pass is withheld.
	maxStrata = 4096
)

// Settings are the tolerances, in the terms of plan.Guards, and the rate of false alarms.
type Settings struct {
	ServedTolerance  float64
	LateTolerance    float64
	FailedTolerance  float64
	LatencyTolerance float64
	RestartTolerance float64
	MemoryTolerance  float64

	FalseAlarmRate float64 // over all comparisons and verdicts of one Judge, 0 to 1
	Strata         int     // classes × zones that are expected; more share ever less of the false-alarm rate
}

// Counts are the outcomes of requests in an interval.
type Counts struct {
	Served, Late, Failed int      // Late are among Served
	LatencyHistogram     []uint32 // served requests by rising bounds, the same for both versions
}

func (c *Counts) total() int { return c.Served + c.Failed }

// notInTime counts the requests that failed or were answered late.
func (c *Counts) notInTime() int { return c.Failed + c.Late }

// ClassSample is a class of requests in a zone.
type ClassSample struct {
	Class, Zone      string
	Canary, Baseline Counts
}

// UnitStats are the units of one version in a zone.
type UnitStats struct {
	Units      int
	Restarts   int     // in the interval, unrequested
	MeanMemory float64 // of a unit, in any measure that is the same for both versions; 0: unknown
}

// ZoneSample is the units of a zone.
type ZoneSample struct {
	Zone             string
	Canary, Baseline UnitStats
}

// Interval is what was observed of both versions in a second or more. The counts of reports tell missing reports from
// missing traffic.
type Interval struct {
	ExpectedReports, ReceivedReports int
	Classes                          []ClassSample
	Zones                            []ZoneSample
}

// sufficientReports reports whether at least half of the expected reports arrived.
func (i *Interval) sufficientReports() bool {
	return i.ExpectedReports > 0 && 2*i.ReceivedReports >= i.ExpectedReports
}

// Outcome is the result of an analysis. Its values are stored.
type Outcome string

// The outcomes.
const (
	Pass         Outcome = "pass"   // there is enough evidence that nothing is worse than tolerated
	Regression   Outcome = "harm"   // there is enough evidence that something is
	Inconclusive Outcome = "wait"   // there is too little traffic for either
	NoData       Outcome = "silent" // reports are missing
)

// Verdict is an outcome and, in one line, what it rests on.
type Verdict struct {
	Outcome Outcome `json:"kind"`
	Reason  string  `json:"why,omitempty"`
}

// stratumKey is a class of requests in a zone.
type stratumKey struct{ zone, class string }

// Judge is the analysis of one wave.
type Judge struct {
	settings             Settings
	strata               map[stratumKey]*stratum
	zones                map[string]*zone
	thresholdsIssued     int
	intervalsWithoutData int // in a row
	strataLimitReached   bool
	regression           string // the first that was found; empty: none
}

// New begins an analysis.
func New(settings Settings) *Judge {
	settings.Strata = max(settings.Strata, 1)
	return &Judge{settings: settings, strata: map[stratumKey]*stratum{}, zones: map[string]*zone{}}
}

// Add takes an interval and returns the verdict after it.
func (j *Judge) Add(interval Interval) Verdict {
	if !interval.sufficientReports() {
		j.intervalsWithoutData++
		return j.verdict()
	}
	j.intervalsWithoutData = 0
	for i := range interval.Classes {
		j.addClass(&interval.Classes[i])
	}
	for i := range interval.Zones {
		j.addZone(&interval.Zones[i])
	}
	return j.verdict()
}

func (j *Judge) addClass(sample *ClassSample) {
	key := stratumKey{sample.Zone, sample.Class}
	evidence := j.strata[key]
	if evidence == nil {
		if len(j.strata) == maxStrata {
			j.strataLimitReached = true
			return
		}
		evidence = newStratum(&j.settings, j.nextThreshold())
		j.strata[key] = evidence
	}
	evidence.add(sample)
	if j.regression == "" {
		j.regression = evidence.regression(key)
	}
}

func (j *Judge) addZone(sample *ZoneSample) {
	evidence := j.zones[sample.Zone]
	if evidence == nil {
		evidence = newZone(&j.settings, j.nextThreshold())
		j.zones[sample.Zone] = evidence
	}
	evidence.add(sample)
	if j.regression == "" {
		j.regression = evidence.regression(sample.Zone)
	}
}

// verdict is the verdict after the latest interval.
func (j *Judge) verdict() Verdict {
	if j.regression != "" {
		return Verdict{Outcome: Regression, Reason: j.regression}
	}
	if j.intervalsWithoutData >= noDataIntervals {
		return Verdict{
			Outcome: NoData,
			Reason:  fmt.Sprintf("%d intervals in a row without half of the reports", j.intervalsWithoutData),
		}
	}
	if reason := j.missingEvidence(); reason != "" {
		return Verdict{Outcome: Inconclusive, Reason: reason}
	}
	return Verdict{Outcome: Pass}
}
