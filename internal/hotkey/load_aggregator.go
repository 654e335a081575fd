package hotkey

import (
	"cmp"
	"math"
	"slices"

	"milldeck/internal/placement"
)

const (
	// reportInterval is the time in s between two reports of a sidecar.
	reportInterval = 1.0
	// staleAfter is the age in s above which a report is ignored. It tolerates the loss of two reports.
	staleAfter = 3.0
	// sidecarTimeout is the time in s without reports after which a sidecar is no longer expected to report.
	sidecarTimeout = 30.0
	// maxSidecars limits the sidecars whose reports are stored, to a few MB.
	maxSidecars = 4096
	// minReporters is the number of sidecars that must report a key; if fewer sidecars report at all, each of these must
	// report the key. One sidecar accounts for at most an equal part, 1/minReporters, of a key's lower bound.
	minReporters = 4
	// outlierFactor limits a sidecar's total load to a multiple of the median over all sidecars. A report above this
	// limit is ignored.
	outlierFactor = 8.0
	// outlierMinRequests is the rate in requests per second up to which a sidecar is never an outlier.
	outlierMinRequests = 10
	// minObservedFraction is the fraction of a new sidecar's load that its average is assumed to show at least.
	minObservedFraction = 0.4
	// noiseDeviations is the number of standard deviations that are subtracted from a measured load for its lower bound.
	noiseDeviations = 3.0
)

// loadAggregator computes bounds of the fleet's load for each key from the sidecars' reports.
type loadAggregator struct {
	halfLife         float64 // s
	requestWork      float64 // ms
	reports          map[string]*sidecarReport
	sidecarNames     []string // keys of reports, sorted
	expectedSidecars int

	// The fields below are results of the last call of aggregate.

	sums       []keySum
	keyIndex   map[uint64]int // indices into sums
	candidates []uint64       // keys that may be hot, the hottest first

	observedTotal float64 // load of all keys according to the reports
	maxTotal      float64 // upper bound of the load of all keys
	unlistedTotal float64 // sum of the sidecars' bounds for a key that they do not list
	extrapolation float64 // factor from the load in the used reports to that of all sidecars
	freshCount    int     // number of used reports
}

// keySum sums a key's load over the used reports.
type keySum struct {
	lower, maxLower float64 // sum and maximum of the lower bounds
	upper, maxUpper float64 // sum and maximum of the upper bounds
	unlisted        float64 // sum of the bounds for unlisted keys of the sidecars that list this key
	reporterCount   int
}

func newLoadAggregator(halfLife, requestWork float64) loadAggregator {
	return loadAggregator{
		halfLife:      halfLife,
		requestWork:   requestWork,
		reports:       map[string]*sidecarReport{},
		keyIndex:      map[uint64]int{},
		extrapolation: 1,
	}
}

// add stores a report. It returns false if the report is invalid or the limit of sidecars is reached.
func (agg *loadAggregator) add(now float64, report *placement.LoadReport) (accepted bool) {
	parsed, ok := parseReport(now, report)
	if !ok {
		return false
	}
	previous := agg.reports[report.Sidecar]
	if previous == nil {
		if len(agg.reports) >= maxSidecars {
			return false
		}
		i, _ := slices.BinarySearch(agg.sidecarNames, report.Sidecar)
		agg.sidecarNames = slices.Insert(agg.sidecarNames, i, report.Sidecar)
	} else {
		parsed.firstReceived = previous.firstReceived
	}
	agg.reports[report.Sidecar] = parsed
	return true
}

// aggregate computes the sums over the fresh reports of sidecars that are not outliers.
func (agg *loadAggregator) aggregate(now float64) {
	agg.dropSilentSidecars(now)
	clear(agg.keyIndex)
	agg.sums, agg.candidates = agg.sums[:0], agg.candidates[:0]
	agg.observedTotal, agg.maxTotal, agg.unlistedTotal = 0, 0, 0
	agg.freshCount, agg.extrapolation = 0, 1
	fresh := agg.freshReports(now)
	if len(fresh) == 0 {
		return
	}
	totalLimit := agg.outlierLimit(fresh)
	for _, r := range fresh {
		if r.totalLoad <= totalLimit {
			agg.addToSums(r, now)
		}
	}
	if agg.freshCount > 0 {
		expected := max(agg.expectedSidecars, len(agg.sidecarNames))
		agg.extrapolation = math.Max(float64(expected)/float64(agg.freshCount), 1)
	}
	agg.maxTotal *= agg.extrapolation
	agg.selectCandidates()
}

// dropSilentSidecars removes sidecars that have not reported for sidecarTimeout.
func (agg *loadAggregator) dropSilentSidecars(now float64) {
	agg.sidecarNames = slices.DeleteFunc(agg.sidecarNames, func(name string) bool {
		expired := now-agg.reports[name].receivedAt > sidecarTimeout
		if expired {
			delete(agg.reports, name)
		}
		return expired
	})
}

// freshReports returns the reports that are not stale, sorted by the names of sidecars.
func (agg *loadAggregator) freshReports(now float64) []*sidecarReport {
	var fresh []*sidecarReport
	for _, name := range agg.sidecarNames {
		if r := agg.reports[name]; now-r.receivedAt <= staleAfter {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// outlierLimit returns the total load above which a sidecar is an outlier.
func (agg *loadAggregator) outlierLimit(fresh []*sidecarReport) float64 {
	if len(fresh) < minReporters {
		return math.Inf(1)
	}
	totals := make([]float64, 0, len(fresh))
	for _, r := range fresh {
		totals = append(totals, r.totalLoad)
	}
	slices.Sort(totals)
	return math.Max(outlierFactor*totals[len(totals)/2], outlierMinRequests*agg.requestWork)
}

// addToSums adds one report to the sums. Once the next report is overdue, the lower bounds decay as the sidecar's own
// average does without requests, so that they stay lower bounds.
func (agg *loadAggregator) addToSums(r *sidecarReport, now float64) {
	agg.freshCount++
	agg.observedTotal += r.totalLoad
	// A new sidecar may have started to measure just now, so that its average has yet to rise. The upper bound of the total
	// compensates for the low average.
	observedFraction := 1 - math.Exp2(-(r.receivedAt-r.firstReceived)/agg.halfLife)
	agg.maxTotal += r.totalLoad / math.Max(observedFraction, minObservedFraction)
	agg.unlistedTotal += r.unlistedBound
	decay := math.Exp2(-math.Max(now-r.receivedAt-reportInterval, 0) / agg.halfLife)
	for _, load := range r.loads {
		sum := agg.ensureSum(load.key)
		lower := load.lower * decay
		sum.reporterCount++
		sum.lower += lower
		sum.maxLower = math.Max(sum.maxLower, lower)
		sum.upper += load.upper
		sum.maxUpper = math.Max(sum.maxUpper, load.upper)
		sum.unlisted += r.unlistedBound
	}
}

// ensureSum returns a key's sum and creates it if needed. The pointer is valid until the next call.
func (agg *loadAggregator) ensureSum(key uint64) *keySum {
	i, ok := agg.keyIndex[key]
	if !ok {
		i = len(agg.sums)
		agg.keyIndex[key] = i
		agg.sums = append(agg.sums, keySum{})
	}
	return &agg.sums[i]
}

// selectCandidates collects the keys that enough sidecars report, hottest first.
func (agg *loadAggregator) selectCandidates() {
	for key, i := range agg.keyIndex {
		if agg.sums[i].reporterCount >= agg.requiredReporters() {
			agg.candidates = append(agg.candidates, key)
		}
	}
	slices.SortFunc(agg.candidates, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(agg.sumOf(b).lower, agg.sumOf(a).lower), cmp.Compare(a, b))
	})
}

// sumOf returns a key's sum, or nil if no used report lists the key.
func (agg *loadAggregator) sumOf(key uint64) *keySum {
	if i, ok := agg.keyIndex[key]; ok {
		return &agg.sums[i]
	}
	return nil
}

// requiredReporters returns the number of sidecars that must report a key.
func (agg *loadAggregator) requiredReporters() int { return max(min(minReporters, agg.freshCount), 1) }

// lowerBound returns the lower bound of a key's load: the load in the used reports, with the part of one sidecar limited,
// minus the possible effect of noise. Missing reports add nothing.
func (agg *loadAggregator) lowerBound(key uint64) float64 {
	sum := agg.sumOf(key)
	if sum == nil || sum.reporterCount < agg.requiredReporters() {
		return 0
	}
	lower := sum.lower
	if required := agg.requiredReporters(); required > 1 {
		others := sum.lower - sum.maxLower
		lower = others + math.Min(sum.maxLower, others/float64(required-1))
	}
	deviation := math.Sqrt(lower * agg.requestWork * math.Ln2 / (2 * agg.halfLife))
	return math.Max(lower-noiseDeviations*deviation, 0)
}

// upperBound returns the upper bound of a key's load; it is infinite without reports. Sidecars without a used report are
// assumed to have the average load. With includeUnlisted, sidecars that do not list the key count with the smallest bound
// that they list. One sidecar accounts for at most as much load as all other sidecars together.
func (agg *loadAggregator) upperBound(key uint64, includeUnlisted bool) float64 {
	if agg.freshCount == 0 {
		return math.Inf(1)
	}
	upper, unlisted := 0.0, agg.unlistedTotal
	if sum := agg.sumOf(key); sum != nil {
		upper, unlisted = sum.upper, agg.unlistedTotal-sum.unlisted
		if agg.requiredReporters() > 1 {
			upper += math.Min(sum.maxUpper, sum.upper-sum.maxUpper) - sum.maxUpper
		}
	}
	if includeUnlisted {
		upper += unlisted
	}
	return upper * agg.extrapolation
}
