package balance

import "math"

// keyFrequencySpan is the number of requests over which a key's frequency is measured. At a sidecar with
// little traffic they take seconds.
const keyFrequencySpan = 256

// keyFrequencies counts the requests per key. It halves the counts from time to time, so that the map stays small.
type keyFrequencies struct {
	counts map[uint64]float64
	total  float64
}

// record counts a request for a key; 0: the request has no key.
func (f *keyFrequencies) record(key uint64) {
	f.total++
	if f.total >= keyFrequencySpan {
		f.halve()
	}
	if key != 0 {
		f.counts[key]++
	}
}

func (f *keyFrequencies) halve() {
	f.total /= 2
	for key, count := range f.counts {
		if count /= 2; count < 1 {
			delete(f.counts, key)
		} else {
			f.counts[key] = count
		}
	}
}

// fraction returns the fraction of all requests that are for a key. A key with a single request counts as 0.
func (f *keyFrequencies) fraction(key uint64) float64 {
	return math.Max(f.counts[key]-1, 0) / math.Max(f.total, keyFrequencySpan/4)
}
