package sidecar

import (
	"hash/maphash"
	"sync"
	"time"
)

// requestIDRetention is the minimum time for which an ID is kept after its response. A client that reuses an ID may send the
// duplicate just after the original is answered.
const requestIDRetention = 3 * time.Second

// recentRequestIDs holds the request IDs that are in flight or were answered recently, because an ID must identify one
// request only. It stores hashes, because IDs may be long and their number is not limited.
type recentRequestIDs struct {
	seed maphash.Seed

	mu                sync.Mutex
	inFlight          map[uint64]struct{}
	current, previous map[uint64]struct{} // answered in the current and in the previous retention period
	rotatedAt         time.Time           // when the current period began
}

func newRecentRequestIDs() *recentRequestIDs {
	return &recentRequestIDs{
		seed:      maphash.MakeSeed(),
		rotatedAt: time.Now(),
		inFlight:  map[uint64]struct{}{},
		current:   map[uint64]struct{}{},
		previous:  map[uint64]struct{}{},
	}
}

// claim marks an ID as in flight and returns its hash. ok is false if the ID is already in flight or recently answered.
func (ids *recentRequestIDs) claim(id string) (hash uint64, ok bool) {
	hash = maphash.String(ids.seed, id)
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.rotate()
	for _, known := range []map[uint64]struct{}{ids.inFlight, ids.current, ids.previous} {
		if _, found := known[hash]; found {
			return hash, false
		}
	}
	ids.inFlight[hash] = struct{}{}
	return hash, true
}

// release marks a claimed ID as answered.
func (ids *recentRequestIDs) release(hash uint64) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	ids.rotate()
	delete(ids.inFlight, hash)
	ids.current[hash] = struct{}{}
}

// rotate discards the IDs of the previous period when the current one is over. The caller holds the lock.
func (ids *recentRequestIDs) rotate() {
	age := time.Since(ids.rotatedAt)
	if age < requestIDRetention {
		return
	}
	ids.previous = ids.current
	if age > 2*requestIDRetention {
		ids.previous = nil
	}
	ids.current = map[uint64]struct{}{}
	ids.rotatedAt = time.Now()
}
