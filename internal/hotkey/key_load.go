package hotkey

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"milldeck/internal/placement"
)

const (
	// reportInterval is the s between two reports of a sidecar.
	reportInterval = 1.0
	// staleAfter is the s after which a report tells nothing more: two that were lost and the time between.
	staleAfter = 3.0
	// sidecarTimeout is the s after which a sidecar that is silent is no longer missed.
	sidecarTimeout = 30.0
	// maxSidecars bounds the sidecars that are kept, to a few MB.
	maxSidecars = 4096
	// requiredReporters is how many sidecars a key's heat has to come from, where there are as many: one alone makes up at
	// most this part of it.
	minReporters = 4
	// outlierFactor is how many times the median's load of all keys a sidecar's can be. Above it counts as nonsense.
	outlierFactor = 8.0
	// minObservedFraction is the part of its average that the first report of a sidecar is taken to show.
	minObservedFraction = 0.4
	// noiseDeviations is by how many standard deviations a load counts as less than it was measured.
	noiseDeviations = 3.0
)

// sidecarReport is what a sidecar reported last.
type sidecarReport struct {
	firstReceived   float64 // s: when it was heard first
	receivedAt      float64 // s: when it came
	revision, epoch uint64
	totalLoad       float64
	unlistedBound   float64 // a key that is not listed has at most this
	loads           []keyLoad
}

type keyLoad struct {
	key          uint64
	lower, upper float64
}

// loadAggregator is what the fleet's reports add up to.
type loadAggregator struct {
	halfLife         float64
	requestWork      float64
	reports          map[string]*sidecarReport
	sidecarNames     []string // of them, sorted
	expectedSidecars int      // sidecars that are known of otherwise

	sums       []keySum
	keyIndex   map[uint64]int // places in sums
	candidates []uint64       // that may be hot, sorted
	// all is the load of all keys at most, seen what reports show of it; missing is by what sums of the reports at hand
	// are to be multiplied.
	maxTotal, observedTotal, extrapolation, unlistedTotal float64
	freshCount                                            int
}

// sumOf is a key's load over the fresh reports.
type keySum struct {
	lower, maxLower, upper, maxUpper, unlisted float64
	reporterCount                              int
}

func newLoadAggregator(halfLife, requestWork float64) loadAggregator {
	return loadAggregator{halfLife: halfLife, requestWork: requestWork, reports: map[string]*sidecarReport{}, keyIndex: map[uint64]int{}, extrapolation: 1}
}

// add keeps a report; false: it is nonsense, or one too many, and tells nothing.
func (agg *loadAggregator) add(now float64, report *placement.LoadReport) bool {
	accepted := &sidecarReport{firstReceived: now, receivedAt: now, revision: report.PlacementRevision, epoch: report.PlacementEpoch, totalLoad: report.TotalKeyLoad}
	if report.Sidecar == "" || len(report.Sidecar) > 256 || len(report.HotKeys) > placement.MaxHotKeys || !(report.TotalKeyLoad >= 0) || math.IsInf(report.TotalKeyLoad, 1) {
		return false
	}
	lowerTotal := 0.0
	for _, reported := range report.HotKeys {
		key, err := strconv.ParseUint(reported.KeyHash, 16, 64)
		switch {
		case err != nil || len(reported.KeyHash) != 16,
			!(reported.Load >= 0) || !(reported.ErrorBound >= 0) || reported.ErrorBound > reported.Load*(1+1e-6)+1e-9,
			slices.ContainsFunc(accepted.loads, func(load keyLoad) bool { return load.key == key }):
			return false
		}
		lower := math.Max(reported.Load-reported.ErrorBound, 0)
		lowerTotal += lower
		accepted.loads = append(accepted.loads, keyLoad{key, lower, math.Min(reported.Load, report.TotalKeyLoad)})
	}
	if lowerTotal > report.TotalKeyLoad*1.01+1e-6 { // more than all together
		return false
	}
	if n := len(report.HotKeys); n == placement.MaxHotKeys {
		accepted.unlistedBound = accepted.loads[0].upper
		for _, load := range accepted.loads {
			accepted.unlistedBound = math.Min(accepted.unlistedBound, load.upper)
		}
	}
	previous := agg.reports[report.Sidecar]
	if previous == nil {
		if len(agg.reports) >= maxSidecars {
			return false
		}
		i, _ := slices.BinarySearch(agg.sidecarNames, report.Sidecar)
		agg.sidecarNames = slices.Insert(agg.sidecarNames, i, report.Sidecar)
	} else {
		accepted.firstReceived = previous.firstReceived
	}
	agg.reports[report.Sidecar] = accepted
	return true
}

// requestedWork is what a sidecar has surely been asked for of a key between its last two reports, in ms.
func (r *sidecarReport) requestedWork(previous *sidecarReport, load keyLoad, halfLife float64) float64 {
	previousUpper := previous.unlistedBound
	for _, other := range previous.loads {
		if other.key == load.key {
			previousUpper = other.upper
		}
	}
	return math.Max(load.lower-previousUpper*math.Exp2(-(r.receivedAt-previous.receivedAt)/halfLife), 0) * halfLife / math.Ln2
}

// aggregate adds up the reports that are fresh. What a sidecar has surely seen holds until its next report is due and fades
// then as in the summary itself, so that it stays a lower bound of the same average.
func (agg *loadAggregator) aggregate(now float64) {
	agg.sidecarNames = slices.DeleteFunc(agg.sidecarNames, func(name string) bool {
		expired := now-agg.reports[name].receivedAt > sidecarTimeout
		if expired {
			delete(agg.reports, name)
		}
		return expired
	})
	clear(agg.keyIndex)
	agg.sums, agg.candidates = agg.sums[:0], agg.candidates[:0]
	agg.maxTotal, agg.observedTotal, agg.unlistedTotal, agg.freshCount, agg.extrapolation = 0, 0, 0, 0, 1
	var totals []float64
	for _, name := range agg.sidecarNames {
		if r := agg.reports[name]; now-r.receivedAt <= staleAfter {
			totals = append(totals, r.totalLoad)
		}
	}
	if len(totals) == 0 {
		return
	}
	slices.Sort(totals)
	totalLimit := math.Inf(1)
	if len(totals) >= minReporters {
		totalLimit = math.Max(outlierFactor*totals[len(totals)/2], 10*agg.requestWork)
	}
	for _, name := range agg.sidecarNames {
		r := agg.reports[name]
		if now-r.receivedAt > staleAfter || r.totalLoad > totalLimit {
			continue
		}
		agg.freshCount++
		agg.observedTotal += r.totalLoad
		// A sidecar that was not heard before may have begun to count just now: its average is still to come up. That
		// is made up for in the most that servers have to do.
		agg.maxTotal += r.totalLoad / math.Max(1-math.Exp2(-(r.receivedAt-r.firstReceived)/agg.halfLife), minObservedFraction)
		agg.unlistedTotal += r.unlistedBound
		decay := math.Exp2(-math.Max(now-r.receivedAt-reportInterval, 0) / agg.halfLife)
		for _, load := range r.loads {
			index, ok := agg.keyIndex[load.key]
			if !ok {
				index = len(agg.sums)
				agg.keyIndex[load.key] = index
				agg.sums = append(agg.sums, keySum{})
			}
			sum := &agg.sums[index]
			lower := load.lower * decay
			sum.reporterCount++
			sum.lower += lower
			sum.maxLower = math.Max(sum.maxLower, lower)
			sum.upper += load.upper
			sum.maxUpper = math.Max(sum.maxUpper, load.upper)
			sum.unlisted += r.unlistedBound
		}
	}
	if agg.freshCount > 0 {
		agg.extrapolation = math.Max(float64(max(agg.expectedSidecars, len(agg.sidecarNames)))/float64(agg.freshCount), 1)
	}
	agg.maxTotal *= agg.extrapolation
	for key, index := range agg.keyIndex {
		if agg.sums[index].reporterCount >= agg.requiredReporters() {
			agg.candidates = append(agg.candidates, key)
		}
	}
	slices.SortFunc(agg.candidates, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(agg.sumOf(b).lower, agg.sumOf(a).lower), cmp.Compare(a, b))
	})
}

// sumOf returns a key's sum, nil where no fresh report lists it.
func (agg *loadAggregator) sumOf(key uint64) *keySum {
	if index, ok := agg.keyIndex[key]; ok {
		return &agg.sums[index]
	}
	return nil
}

// requiredReporters is how many sidecars have to have met a key.
func (agg *loadAggregator) requiredReporters() int { return max(min(minReporters, agg.freshCount), 1) }

// lowerBound is the least that a key's load surely is: what the reports at hand show, one sidecar's part of it bounded, less
// what chance may have added. Reports that are missing add nothing.
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
	return math.Max(lower-noiseDeviations*math.Sqrt(lower*agg.requestWork*math.Ln2/(2*agg.halfLife)), 0)
}

// upperBound is the most that a key's load can be: reports that are missing are taken to be like the others, and a sidecar
// that does not list the key may have had as much as the least that it lists. Without floors, the latter is left out.
// A single sidecar is believed at most what all others say together.
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
