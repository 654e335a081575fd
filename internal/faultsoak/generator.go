package faultsoak

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// generator draws the random numbers of one part of a run, such as one link or one agent. The seed determines the sequence of
// numbers. If several goroutines share a generator, their scheduling determines which of them gets which number. It is safe for
// concurrent use.
type generator struct {
	mu     sync.Mutex
	random *rand.Rand
}

// newGenerator returns a generator that is seeded with the run's seed and the name of the part.
func newGenerator(seed uint64, part string) *generator {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, part) // a hash accepts any input
	return &generator{random: rand.New(rand.NewPCG(seed, hash.Sum64()))}
}

// IntN draws an integer from [0, n).
func (g *generator) IntN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n)
}

// Float64 draws from [0, 1).
func (g *generator) Float64() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// Exponential draws from an exponential distribution with the given mean.
func (g *generator) Exponential(mean time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

// Below draws a duration from [0, longest).
func (g *generator) Below(longest time.Duration) time.Duration {
	return time.Duration(g.Float64() * float64(longest))
}
