package lab

import "math/rand/v2"

// Streams of random numbers, one for each purpose, so that an additional draw for one does not change the others.
const (
	streamServers uint64 = iota + 1
	streamSidecars
	streamFaults
	streamArrivals
)

func (p *Plan) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }

func (r Range) draw(rng *rand.Rand) float64 { return r.Min + (r.Max-r.Min)*rng.Float64() }

func (r Range) drawInt(rng *rand.Rand) int {
	return int(r.Min) + rng.IntN(int(r.Max)-int(r.Min)+1)
}

// mixHash hashes numbers into one. Random decisions that must not depend on the order of events use it.
func mixHash(parts ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, p := range parts {
		h ^= p
		h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
		h = (h ^ h>>27) * 0x94d049bb133111eb
		h ^= h >> 31
	}
	return h
}

// hashFraction returns a number in [0, 1) that is uniformly distributed over the hashed parts.
func hashFraction(parts ...uint64) float64 { return float64(mixHash(parts...)>>11) / (1 << 53) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func boolToFloat(b bool) float64 { return float64(boolToInt(b)) }
