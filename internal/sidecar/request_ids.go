package sidecar

import (
	"hash/maphash"
	"sync"
	"time"
)

// requestIDRetention is the least time for which an ID is remembered after its response. Whoever copies an ID may send it
// a moment after the original is answered.
const requestIDRetention = 3 * time.Second

// recentRequestIDs remembers the request IDs in flight and those answered recently, as an ID names one request only. It
// stores hashes: IDs may be long, and there is no end to them.
type recentRequestIDs struct {
	seed maphash.Seed

	mu                sync.Mutex
	inFlight          map[uint64]struct{}
	current, previous map[uint64]struct{} // answered in this retention period and in the one before
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

// claim marks an ID as in flight and returns its hash; ok is false if the ID is known already.
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

// rotate forgets the previous period when the current one is over. The caller holds the lock.
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
