package faultsoak

import (
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// generator draws the random numbers of one part of a run. The seed decides what it draws. Where several goroutines draw from one,
// the machine's scheduling decides which of them draws next. It is safe for concurrent use.
type generator struct {
	mu     sync.Mutex
	random *rand.Rand
}

// newGenerator returns the generator of a part of the run with a seed, by the part's name.
func newGenerator(seed uint64, part string) *generator {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, part) // a hash accepts any input
	return &generator{random: rand.New(rand.NewPCG(seed, hash.Sum64()))}
}

// IntN draws from 0 to n-1.
func (g *generator) IntN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n)
}

// Float64 draws from 0 to 1.
func (g *generator) Float64() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// Exponential draws from the exponential distribution with a mean.
func (g *generator) Exponential(mean time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

// Below draws a duration from 0 to one.
func (g *generator) Below(longest time.Duration) time.Duration {
	return time.Duration(g.Float64() * float64(longest))
}
