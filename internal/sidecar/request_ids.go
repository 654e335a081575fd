package sidecar

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"
)

const (
	// minRequestIDRetention is the minimum time for which an ID is retained after the end of its request. IDs are retained
	// for longer while their memory is not used up.
	minRequestIDRetention = 5 * time.Second
	// requestIDMemory is the memory of one retained ID in bytes.
	requestIDMemory = 16
)

var (
	errRequestIDInUse  = errors.New("X-Request-ID is in use")
	errTooManyRequests = errors.New("too many request IDs are retained")
)

// recentRequestIDs holds the request IDs that are in flight or were forwarded recently, because an ID must identify one request
// only: a client may leave and send the same request again. It stores hashes, because IDs may be long. The IDs of requests that
// were never forwarded are not retained, so that rejected requests take no memory.
type recentRequestIDs struct {
	seed          maphash.Seed
	maxGeneration int // IDs in one generation

	mu                sync.Mutex
	inFlight          map[uint64]struct{}
	current, previous map[uint64]struct{} // the newer and the older generation of ended requests
	rotatedAt         time.Time           // when the newer generation began
}

// newRecentRequestIDs creates an empty set for at most maxRetained IDs of ended requests.
func newRecentRequestIDs(maxRetained int) *recentRequestIDs {
	return &recentRequestIDs{
		seed:          maphash.MakeSeed(),
		maxGeneration: maxRetained / 2,
		rotatedAt:     time.Now(),
		inFlight:      map[uint64]struct{}{},
		current:       map[uint64]struct{}{},
		previous:      map[uint64]struct{}{},
	}
}

// claim marks an ID as in flight and returns its hash. It fails if the ID is in flight or retained, and if no further ID can be
// retained.
func (ids *recentRequestIDs) claim(id string) (hash uint64, err error) {
	hash = maphash.String(ids.seed, id)
	ids.mu.Lock()
	defer ids.mu.Unlock()
	for _, known := range []map[uint64]struct{}{ids.inFlight, ids.current, ids.previous} {
		if _, found := known[hash]; found {
			return hash, errRequestIDInUse
		}
	}
	if len(ids.current) >= ids.maxGeneration && !ids.rotate() {
		return hash, errTooManyRequests
	}
	ids.inFlight[hash] = struct{}{}
	return hash, nil
}

// release marks a claimed ID as no longer in flight, and retains it if its request was forwarded.
func (ids *recentRequestIDs) release(hash uint64, forwarded bool) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.inFlight, hash)
	if forwarded {
		ids.current[hash] = struct{}{}
	}
}

// rotate drops the older generation and begins a new one. It does nothing and reports false if the newer generation has not been
// retained for minRequestIDRetention. The caller holds the lock.
func (ids *recentRequestIDs) rotate() bool {
	now := time.Now()
	if now.Sub(ids.rotatedAt) < minRequestIDRetention {
		return false
	}
	ids.previous, ids.current = ids.current, make(map[uint64]struct{})
	ids.rotatedAt = now
	return true
}
