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
	// staleAfter is the time in s after which a report counts no more: that of two reports that were lost.
	staleAfter = 3.0
	// sidecarTimeout is the time in s after which a sidecar that doesn't report is no longer expected to.
	sidecarTimeout = 30.0
	// maxSidecars bounds the sidecars whose reports are retained, to a few MB.
	maxSidecars = 4096
	// minReporters is how many sidecars have to report a key, where there are as many. A single one accounts for at most
	// its equal part among them.
	minReporters = 4
	// outlierFactor is how many times the median of all sidecars' total loads a sidecar's may be. A report above it is
	// left out.
	outlierFactor = 8.0
	// outlierMinRequests is the number of requests a second that no sidecar is an outlier with.
	outlierMinRequests = 10
	// minObservedFraction is the fraction of its average that a sidecar's first report is taken to show at least.
	minObservedFraction = 0.4
	// noiseDeviations is by how many standard deviations a load is taken to be less than it was measured.
	noiseDeviations = 3.0
)

// loadAggregator adds up the sidecars' reports to bounds of the fleet's load of each key.
type loadAggregator struct {
	halfLife         float64 // s
	requestWork      float64 // ms
	reports          map[string]*sidecarReport
	sidecarNames     []string // of the reports, sorted
	expectedSidecars int

	// What follows is of the last aggregate.

	sums       []keySum
	keyIndex   map[uint64]int // indices into sums
	candidates []uint64       // keys that may be hot, the hottest first

	observedTotal float64 // load of all keys that reports show
	maxTotal      float64 // upper bound of the load of all keys
	unlistedTotal float64 // sum of the sidecars' bounds for a key that they don't list
	extrapolation float64 // factor from the reports at hand to those of all sidecars
	freshCount    int     // reports that count
}

// keySum is a key's load over the fresh reports.
type keySum struct {
	lower, maxLower float64 // sum of the lower bounds, and the largest of them
	upper, maxUpper float64 // the same of the upper bounds
	unlisted        float64 // sum of the bounds for unlisted keys, of the sidecars that list this one
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

// add retains a report; false: it is invalid, or of one sidecar too many.
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

// aggregate adds up the fresh reports.
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

// dropSilentSidecars forgets sidecars that have not reported for sidecarTimeout.
func (agg *loadAggregator) dropSilentSidecars(now float64) {
	agg.sidecarNames = slices.DeleteFunc(agg.sidecarNames, func(name string) bool {
		expired := now-agg.reports[name].receivedAt > sidecarTimeout
		if expired {
			delete(agg.reports, name)
		}
		return expired
	})
}

// freshReports returns the reports that aren't stale, by the sidecars' names.
func (agg *loadAggregator) freshReports(now float64) []*sidecarReport {
	var fresh []*sidecarReport
	for _, name := range agg.sidecarNames {
		if r := agg.reports[name]; now-r.receivedAt <= staleAfter {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// outlierLimit is the largest total load of a sidecar that is not an outlier.
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

// addToSums adds one report to the sums. Its lower bounds hold until the next report is due, and then decay as the sidecar's
// own average does, so that they stay lower bounds of it.
func (agg *loadAggregator) addToSums(r *sidecarReport, now float64) {
	agg.freshCount++
	agg.observedTotal += r.totalLoad
	// A sidecar that is new may have begun to count just now, and its average is still to rise. The upper bound of the
	// total makes up for that.
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

// ensureSum returns a key's sum, a new one where the key has none. It is valid until the next call.
func (agg *loadAggregator) ensureSum(key uint64) *keySum {
	i, ok := agg.keyIndex[key]
	if !ok {
		i = len(agg.sums)
		agg.keyIndex[key] = i
		agg.sums = append(agg.sums, keySum{})
	}
	return &agg.sums[i]
}

// selectCandidates collects the keys that enough sidecars report, the hottest first.
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

// sumOf returns a key's sum, nil where no fresh report lists it.
func (agg *loadAggregator) sumOf(key uint64) *keySum {
	if i, ok := agg.keyIndex[key]; ok {
		return &agg.sums[i]
	}
	return nil
}

// requiredReporters is how many sidecars have to report a key.
func (agg *loadAggregator) requiredReporters() int { return max(min(minReporters, agg.freshCount), 1) }

// lowerBound is the load that a key surely has: what the reports at hand show, with a single sidecar's part bounded, less
// what noise may have added. Missing reports add nothing.
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

// upperBound is the largest load that a key can have; infinite without reports. Sidecars whose reports are missing are
// taken to be like the others. With includeUnlisted, sidecars that don't list the key count with the least load that they
// list. A single sidecar counts for at most as much as all others together.
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
