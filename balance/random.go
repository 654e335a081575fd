package balance

import "math"

// random returns a pseudo-random number in [0, 1), by splitmix64 from the seed.
func (b *Balancer) random() float64 {
	b.randomState += 0x9e3779b97f4a7c15
	return float64(splitmix64(b.randomState)>>11) / (1 << 53)
}

// splitmix64 is the finalizer of the splitmix64 generator, also used as a hash.
func splitmix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func clamp(value, lower, upper float64) float64 { return math.Max(lower, math.Min(upper, value)) }
