package maintenance

import "slices"

// Bounds of the estimates of drain and return times, which are learned from earlier ones.
const (
	maxSamples = 64
	// With fewer samples than minSamples the tail is unknown, and the initial values are the lower bound.
	minSamples      = 8
	initialDrainMS  = 5 * minuteMS
	initialReturnMS = 10 * minuteMS
	// The 95th percentile and half as much again make an overrun rare; a longer estimate would keep windows out of short
	// approved hours for good.
	estimateQuantile = 0.95
	safetyFactor     = 1.5
	minEstimateMS    = 10_000 // load reports come once a second, and each step takes its time
	// A sample counts for at most so many times the estimate: otherwise one server that was away for a night would rule
	// out all hours until its sample is evicted. Where times have really become longer, several samples show it.
	maxSampleRatio = 4
)

// EstimatedDrainMS is the time that a drain is expected to take.
func (t *Table) EstimatedDrainMS() int64 { return estimateMS(t.drainSamplesMS, initialDrainMS) }

// EstimatedReturnMS is the time that a return is expected to take.
func (t *Table) EstimatedReturnMS() int64 { return estimateMS(t.returnSamplesMS, initialReturnMS) }

// EstimatedTotalMS is the time that drain, work of workMS and return are expected to take together.
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
	// Never the maximum of several samples: it may be a server that had failed.
	rank := int(estimateQuantile * float64(len(sorted)-1))
	return max(floorMS, int64(safetyFactor*float64(sorted[rank])))
}

// addSample appends a time that was estimated as estimatedMS, and drops the oldest samples beyond maxSamples.
func addSample(samples []int64, sampleMS, estimatedMS int64) []int64 {
	if len(samples) >= maxSamples {
		samples = slices.Delete(slices.Clone(samples), 0, len(samples)-maxSamples+1)
	}
	return append(samples, min(max(sampleMS, 0), maxSampleRatio*estimatedMS))
}
