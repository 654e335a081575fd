package sidecar

import (
	"hash/maphash"
	"sync"
	"time"
)

// requestIDRetention is how long an id is known after its request is answered, at the least. Who sends it again has
// seen it elsewhere, and may do so a moment too late to find it open.
const requestIDRetention = 3 * time.Second

// recentRequestIDs knows the ids that are open or were lately: an id names one request. It holds hashes, as ids
// come without end and may be long.
type recentRequestIDs struct {
	seed maphash.Seed

	mu                sync.Mutex
	inFlight          map[uint64]struct{}
	current, previous map[uint64]struct{} // answered in this span and the one before
	rotatedAt         time.Time
}

func newRecentRequestIDs() *recentRequestIDs {
	return &recentRequestIDs{
		seed: maphash.MakeSeed(), rotatedAt: time.Now(),
		inFlight: map[uint64]struct{}{}, current: map[uint64]struct{}{}, previous: map[uint64]struct{}{},
	}
}

// claim opens an id, unless it is known already.
func (k *recentRequestIDs) claim(id string) (uint64, bool) {
	hash := maphash.String(k.seed, id)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rotate()
	for _, known := range []map[uint64]struct{}{k.inFlight, k.current, k.previous} {
		if _, found := known[hash]; found {
			return hash, false
		}
	}
	k.inFlight[hash] = struct{}{}
	return hash, true
}

// release ends a claim.
func (k *recentRequestIDs) release(hash uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rotate()
	delete(k.inFlight, hash)
	k.current[hash] = struct{}{}
}

// rotate forgets the older span; the caller holds the lock.
func (k *recentRequestIDs) rotate() {
	age := time.Since(k.rotatedAt)
	if age < requestIDRetention {
		return
	}
	if k.previous = k.current; age > 2*requestIDRetention {
		k.previous = nil
	}
	k.current, k.rotatedAt = map[uint64]struct{}{}, time.Now()
}
