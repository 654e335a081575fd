package judge

// maxLatencyBuckets bounds the size of the histogram that a stratum keeps.
const maxLatencyBuckets = 64

// tailBoundary returns the first bucket beyond which at most tailShare of a histogram lies, or -1 for an empty histogram.
func tailBoundary(histogram []float64) int {
	total := 0.0
	for _, count := range histogram {
		total += count
	}
	if total == 0 {
		return -1
	}
	beyond := total
	for i, count := range histogram {
		if beyond -= count; beyond <= tailShare*total {
			return i
		}
	}
	return len(histogram) - 1
}

// countBeyond returns how many counts of a histogram lie beyond the boundary bucket, and the total of all its counts.
func countBeyond(histogram []uint32, boundary int) (beyond, total int) {
	for i, count := range histogram {
		total += int(count)
		if i > boundary {
			beyond += int(count)
		}
	}
	return beyond, total
}

// decayAndAdd decays a histogram by one interval and adds the interval's counts to it.
func decayAndAdd(histogram []float64, counts []uint32) []float64 {
	for i := range histogram {
		histogram[i] *= decayPerInterval
	}
	for i, count := range counts[:min(len(counts), maxLatencyBuckets)] {
		if i == len(histogram) {
			histogram = append(histogram, 0)
		}
		histogram[i] += float64(count)
	}
	return histogram
}
