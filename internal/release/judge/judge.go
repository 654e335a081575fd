// Package judge compares a release's new version (the canary) with the old one (the baseline) at the same time, in the same
// zone and class of requests, and decides whether the new version is a regression.
//
// It does no I/O and reads no clock. The analysis is sequential: a verdict may be read after every interval, and the bound on
// false alarms holds over all intervals together. The package owns the statistics and their evidence; package release turns
// load reports into intervals and acts on the verdicts.
//
// Statistical tests compare the versions' shares of requests (not answered in time, late, failed, slow) and their restarts.
// A fault that affects both versions alike is therefore no regression. Memory is not a random sample, so its level is compared
// directly. Two bounds hold over the lifetime of a Judge: the tests of shares report a version within its tolerances as a
// regression with a probability of at most Settings.FalseAlarmRate, and a version beyond a tolerance, in a stratum that a pass
// requires, passes with a probability of at most falsePassRate. Restarts are too rare for the second bound within a wave: they
// can show a regression, and weaker evidence of too many restarts withholds a pass.
package judge

import "fmt"

const (
	// falsePassRate bounds the probability that a version beyond its tolerances passes. A pass requires every comparison to
	// pass, so the rate is not divided among them.
	falsePassRate = 0.01
	// comparisonsPerStratum is the maximum number of comparisons of a stratum: four shares, each over all intervals and over
	// the intervals of high load, and the stratum's part of the zone's restarts.
	comparisonsPerStratum = 9
	// minClassShare is the smallest share of a zone's baseline requests at which a class has to pass. A rarer class can only
	// show a regression.
	minClassShare = 0.01
	// memoryRegressionIntervals is how many consecutive intervals with memory above its tolerance show a regression.
	memoryRegressionIntervals = 10
	// maxRestartEvidenceForPass is the logarithm of the evidence of too many restarts above which a pass is withheld.
	maxRestartEvidenceForPass = 1
	// noDataIntervals is how many consecutive intervals with less than half of the reports give the outcome NoData.
	noDataIntervals = 5
	// highLoadFactor is the ratio of an interval's traffic to the mean of earlier intervals above which its load is high.
	highLoadFactor = 1.2
	// decayPerInterval is the factor by which the weight of older data decays in each interval, in the mean traffic and the
	// baseline's latencies. With intervals of a second, both cover about a minute.
	decayPerInterval = 0.98
	// tailShare is the largest share of the baseline's answers beyond the latency bound by which both versions are compared.
	tailShare = 0.25
	// maxStrata bounds memory. Further strata (classes × zones) are not judged, and a pass is withheld.
	maxStrata = 4096
)

// Settings are the tolerances, defined as in plan.Guards, and the false-alarm rate.
type Settings struct {
	ServedTolerance  float64
	LateTolerance    float64
	FailedTolerance  float64
	LatencyTolerance float64
	RestartTolerance float64
	MemoryTolerance  float64

	FalseAlarmRate float64 // over all comparisons and verdicts of one Judge, 0 to 1
	Strata         int     // expected classes × zones; each further stratum gets a smaller part of the rate
}

// Counts are the outcomes of an interval's requests.
type Counts struct {
	Served, Late, Failed int      // Served includes Late
	LatencyHistogram     []uint32 // served requests by ascending bounds, the same for both versions
}

func (c *Counts) total() int { return c.Served + c.Failed }

// notInTime counts the requests that failed or were answered late.
func (c *Counts) notInTime() int { return c.Failed + c.Late }

// ClassSample holds the outcomes of one class of requests in a zone.
type ClassSample struct {
	Class, Zone      string
	Canary, Baseline Counts
}

// UnitStats describes the units of one version in a zone.
type UnitStats struct {
	Units      int
	Restarts   int     // unrequested restarts in the interval
	MeanMemory float64 // per unit, in any measure that is the same for both versions; 0: unknown
}

// ZoneSample describes the units of both versions in a zone.
type ZoneSample struct {
	Zone             string
	Canary, Baseline UnitStats
}

// Interval is what was observed of both versions in a second or more. The numbers of reports distinguish missing reports
// from missing traffic.
type Interval struct {
	ExpectedReports, ReceivedReports int
	Classes                          []ClassSample
	Zones                            []ZoneSample
}

// sufficientReports reports whether at least half of the expected reports arrived.
func (i *Interval) sufficientReports() bool {
	return i.ExpectedReports > 0 && 2*i.ReceivedReports >= i.ExpectedReports
}

// Outcome is the result of an analysis. Its values are stored in releases.
type Outcome string

// The outcomes.
const (
	Pass         Outcome = "pass"   // enough evidence that nothing is worse than tolerated
	Regression   Outcome = "harm"   // enough evidence that something is worse than tolerated
	Inconclusive Outcome = "wait"   // too little evidence for either
	NoData       Outcome = "silent" // reports are missing
)

// Verdict is an outcome and the reason for it, in one line.
type Verdict struct {
	Outcome Outcome `json:"kind"`
	Reason  string  `json:"why,omitempty"`
}

// stratumKey is a class of requests in a zone.
type stratumKey struct{ zone, class string }

// Judge is one analysis of a wave.
type Judge struct {
	settings             Settings
	strata               map[stratumKey]*stratum
	zones                map[string]*zone
	thresholdsIssued     int
	intervalsWithoutData int // in a row
	strataLimitReached   bool
	regression           string // description of the first regression; empty: none
}

// New starts an analysis.
func New(settings Settings) *Judge {
	settings.Strata = max(settings.Strata, 1)
	return &Judge{settings: settings, strata: map[stratumKey]*stratum{}, zones: map[string]*zone{}}
}

// Add adds an interval and returns the verdict after it.
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

// verdict returns the verdict after the latest interval.
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
	if reason := j.withheldPassReason(); reason != "" {
		return Verdict{Outcome: Inconclusive, Reason: reason}
	}
	return Verdict{Outcome: Pass}
}
