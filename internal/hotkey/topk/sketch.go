// Package topk measures the load of the hottest keys in bounded memory. A key's load is an exponentially decaying average
// of requests a second times the work of a request, in ms of work a second. A Sketch is that of one sidecar, by
// space-saving (Metwally et al., 2005) on weights with forward decay; Merge adds up those of many (Agarwal et al., 2012).
// Each load carries by how much it may be too high: the true load lies within [Load - Error, Load].
//
// The package is pure: no clock, no randomness. Times are inputs, in seconds. It knows nothing of the form in which
// sidecars report loads.
package topk

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// KeyLoad is a key's load in ms of work a second: at most Load, and at least Load - Error.
type KeyLoad struct {
	Key         uint64
	Load, Error float64
}

// LowerBound is the least that the true load can be, at least 0.
func (k KeyLoad) LowerBound() float64 { return math.Max(k.Load-k.Error, 0) }

// Snapshot is what a Sketch, or the merge of several, shows at a time.
type Snapshot struct {
	Keys          []KeyLoad // the hottest keys, the highest Load first
	UnlistedBound float64   // a key that is not among Keys has at most this load
	Total         float64   // load of all keys together
}

// Sketch counts the requests of one sidecar by key. It is not safe for concurrent use.
type Sketch struct {
	capacity  int     // keys that are counted at a time
	decayRate float64 // 1/s: a decayed sum of work times this is a load
	halfLife  float64 // s
	reference float64 // time at which a weight is 1
	latest    float64 // latest time known
	total     float64 // weighted work of all keys
	counters  counterHeap
	byKey     map[uint64]*counter
}

// counter counts the work of one key.
type counter struct {
	key       uint64
	load      float64 // weighted work
	overcount float64 // part of load that may be other keys'
	heapIndex int
}

// maxHalfLives is the number of half-lives after which all weights are scaled down again. Sums of work that are 2^64
// times as large still fit a float64.
const maxHalfLives = 64

// New returns a Sketch that counts at most capacity keys at a time, at least 1, and forgets half of what it has counted
// within halfLife seconds, above 0.
func New(capacity int, halfLife float64) *Sketch {
	return &Sketch{
		capacity:  max(capacity, 1),
		halfLife:  halfLife,
		decayRate: math.Ln2 / halfLife,
		byKey:     make(map[uint64]*counter, capacity),
	}
}

// Add counts a request for a key with its work in ms. Work that is not a positive number is ignored. A time before the
// latest one counts as the latest.
func (s *Sketch) Add(now float64, key uint64, work float64) {
	if !(work > 0) || math.IsInf(work, 1) {
		return
	}
	weighted := work * s.weight(now)
	s.total += weighted
	if c := s.byKey[key]; c != nil {
		c.load += weighted
		heap.Fix(&s.counters, c.heapIndex)
		return
	}
	if len(s.counters) < s.capacity {
		c := &counter{key: key, load: weighted}
		s.byKey[key] = c
		heap.Push(&s.counters, c)
		return
	}
	// The least counter is given to the new key, which may have had as much before.
	c := s.counters[0]
	delete(s.byKey, c.key)
	c.key, c.overcount, c.load = key, c.load, c.load+weighted
	s.byKey[key] = c
	heap.Fix(&s.counters, 0)
}

// weight is the factor of what is counted now. It grows by 2 each half-life, in place of the decay of all counters.
func (s *Sketch) weight(now float64) float64 {
	now = math.Max(now, s.latest)
	s.latest = now
	halfLives := (now - s.reference) / s.halfLife
	if halfLives > maxHalfLives {
		s.scale(math.Exp2(-halfLives))
		s.reference, halfLives = now, 0
	}
	return math.Exp2(halfLives)
}

// scale multiplies all that was counted by a factor.
func (s *Sketch) scale(factor float64) {
	for _, c := range s.counters {
		c.load *= factor
		c.overcount *= factor
	}
	s.total *= factor
}

// Top returns the n hottest keys at a time, and bounds for the others.
func (s *Sketch) Top(now float64, n int) Snapshot {
	scale := s.decayRate / s.weight(now)
	snapshot := Snapshot{Total: s.total * scale}
	if len(s.counters) == s.capacity {
		snapshot.UnlistedBound = s.counters[0].load * scale
	}
	for _, c := range s.counters {
		snapshot.Keys = append(snapshot.Keys, KeyLoad{c.key, c.load * scale, c.overcount * scale})
	}
	snapshot.truncate(n)
	return snapshot
}

// truncate sorts the keys and retains the n hottest.
func (s *Snapshot) truncate(n int) {
	slices.SortFunc(s.Keys, func(a, b KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	if n < len(s.Keys) {
		s.UnlistedBound = math.Max(s.UnlistedBound, s.Keys[n].Load)
		s.Keys = s.Keys[:n:n]
	}
}

// Merge adds up snapshots of different sidecars, or their sums, and retains the limit hottest keys. Its bounds hold where
// those of the snapshots do, in whatever order and grouping they are merged.
func Merge(limit int, snapshots ...Snapshot) Snapshot {
	var merged Snapshot
	unlistedTotal := 0.0
	for i := range snapshots {
		unlistedTotal += snapshots[i].UnlistedBound
		merged.Total += snapshots[i].Total
	}
	positions := make(map[uint64]int)
	for i := range snapshots {
		unlistedBound := snapshots[i].UnlistedBound
		for _, load := range snapshots[i].Keys {
			position, ok := positions[load.Key]
			if !ok { // each snapshot that doesn't list the key counts with its bound
				position = len(merged.Keys)
				positions[load.Key] = position
				merged.Keys = append(merged.Keys, KeyLoad{load.Key, unlistedTotal, unlistedTotal})
			}
			merged.Keys[position].Load += load.Load - unlistedBound
			merged.Keys[position].Error += load.Error - unlistedBound
		}
	}
	merged.UnlistedBound = unlistedTotal
	merged.truncate(limit)
	return merged
}
