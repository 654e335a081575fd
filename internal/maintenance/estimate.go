package maintenance

import "slices"

// Parameters of the estimates of drain and return times. The estimates are computed from the times of earlier
// windows.
const (
	maxSamples = 64
	// With fewer samples than minSamples the tail of the distribution is unknown. The initial value is then the
	// lower bound of the estimate.
	minSamples      = 8
	initialDrainMS  = 5 * minuteMS
	initialReturnMS = 10 * minuteMS
	// The 95th percentile plus half of it makes an overrun rare. A longer estimate would permanently keep windows
	// out of short approved hours.
	estimateQuantile = 0.95
	safetyFactor     = 1.5
	minEstimateMS    = 10_000 // load reports come once a second, and each step takes time
	// A sample is capped at this multiple of the estimate. Without the cap, one server that was out for a night
	// would rule out all hours until its sample is evicted. If the times have really become longer, several
	// samples show it.
	maxSampleRatio = 4
)

// EstimatedDrainMS returns the expected duration of a drain.
func (t *Table) EstimatedDrainMS() int64 { return estimateMS(t.drainSamplesMS, initialDrainMS) }

// EstimatedReturnMS returns the expected duration of a return.
func (t *Table) EstimatedReturnMS() int64 { return estimateMS(t.returnSamplesMS, initialReturnMS) }

// EstimatedTotalMS returns the expected duration of drain, work of workMS and return together.
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
	// The rank excludes the maximum of several samples, because the maximum may come from a server that had failed.
	rank := int(estimateQuantile * float64(len(sorted)-1))
	return max(floorMS, int64(safetyFactor*float64(sorted[rank])))
}

// addSample appends a measured time for which the estimate was estimatedMS, and evicts the oldest samples beyond
// maxSamples.
func addSample(samples []int64, sampleMS, estimatedMS int64) []int64 {
	if len(samples) >= maxSamples {
		samples = slices.Delete(slices.Clone(samples), 0, len(samples)-maxSamples+1)
	}
	return append(samples, min(max(sampleMS, 0), maxSampleRatio*estimatedMS))
}
