package maintenance

import "slices"

// How long a drain and a return take is learned from earlier ones.
const (
	maxSamples = 64
	// With fewer than minSamples nothing is known of the tail, and the first times stand for the least.
	minSamples      = 8
	initialDrainMS  = 5 * 60_000
	initialReturnMS = 10 * 60_000
	// The 95th of a hundred, and half as long again: a window that is late once in a thousand is a rare overrun, while
	// a longer estimate shuts short hours out for good.
	estimateQuantile = 0.95
	safetyFactor     = 1.5
	minEstimateMS    = 10_000 // nothing is over sooner: reports come once a second, steps take their time
	// One time counts for at most so many times what was estimated: a server that was gone for a night would else shut
	// all hours out until it is forgotten. Where times really are longer, a few of them tell.
	maxSampleRatio = 4
)

// EstimatedDrainMS is the time that a drain is taken to need.
func (t *Table) EstimatedDrainMS() int64 { return estimateMS(t.drainSamplesMS, initialDrainMS) }

// ReturnStartedAtMS is the time that a return is taken to need.
func (t *Table) EstimatedReturnMS() int64 { return estimateMS(t.returnSamplesMS, initialReturnMS) }

// RequiredMS is the time that a window with so much work is taken to need in all.
func (t *Table) EstimatedTotalMS(workMS int64) int64 {
	return t.EstimatedDrainMS() + workMS + t.EstimatedReturnMS()
}

func estimateMS(samples []int64, initialMS int64) int64 {
	floorMS := int64(minEstimateMS)
	if len(samples) < minSamples {
		floorMS = initialMS
	}
	if len(samples) == 0 {
		return floorMS
	}
	sorted := slices.Sorted(slices.Values(samples))
	rank := int(estimateQuantile * float64(len(sorted)-1)) // never the greatest of several: one server that was gone tells nothing
	return max(floorMS, int64(safetyFactor*float64(sorted[rank])))
}

// addSample keeps one more time, which was estimated.
func addSample(samples []int64, sampleMS, estimatedMS int64) []int64 {
	if len(samples) >= maxSamples {
		samples = slices.Delete(slices.Clone(samples), 0, len(samples)-maxSamples+1)
	}
	return append(samples, min(max(sampleMS, 0), maxSampleRatio*estimatedMS))
}
