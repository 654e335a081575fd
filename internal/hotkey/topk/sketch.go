// Package summary keeps the heat of keys in bounded memory. A key's heat is its load: requests a second times the work
// of one, in ms of work a second, over an average that forgets by halves. A Summary is one sidecar's, by space-saving
// (Metwally et al., 2005) on weights that decay forward in time; Merge adds those of many (Agarwal et al., 2012). Each
// figure carries by how much it may be too high, so that the true value lies within [Load - Error, Load].
//
// The package is pure: no clock, no randomness. Times are inputs, in seconds.
package topk

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// KeyLoad is a key's load as it is known: at most Load and at least Load - Error, in ms of work a second.
type KeyLoad struct {
	Key         uint64
	Load, Error float64
}

// LowerBound is the least that the true load can be.
func (k KeyLoad) LowerBound() float64 { return math.Max(k.Load-k.Error, 0) }

// Snapshot is what one summary tells: the hottest keys, the highest Load first, and bounds for the rest.
type Snapshot struct {
	Keys          []KeyLoad
	UnlistedBound float64 // a key that is not among Figures has at most this load
	Total         float64 // load of all keys together
}

// Sketch counts the keys that one sidecar meets. It is not safe for use by several goroutines.
type Sketch struct {
	capacity  int
	decayRate float64 // 1/s: what a decayed sum of work is multiplied with to be a load
	halfLife  float64 // s
	reference float64 // time at which weights have the factor 1
	latest    float64 // latest time known
	total     float64
	counters  counterHeap
	byKey     map[uint64]*counter
}

type counter struct {
	key             uint64
	load, overcount float64 // decayed sums, times grow
	heapIndex       int     // place in the heap
}

// maxHalfLives is the half-lives after which all weights are scaled down again: 2^64 of a sum of work leaves room in a float64.
const maxHalfLives = 64

// New returns a Summary that counts at most size keys at a time (1 or more) and forgets half of what it counted within
// half seconds (above 0).
func New(capacity int, halfLife float64) *Sketch {
	return &Sketch{capacity: max(capacity, 1), halfLife: halfLife, decayRate: math.Ln2 / halfLife, byKey: make(map[uint64]*counter, capacity)}
}

// Add counts a request for a key, with its work in ms. Work that is no positive number counts as none. Time that runs
// back counts as the latest known.
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
	c := s.counters[0] // the least takes the new key in, and its count is what that key may have had before
	delete(s.byKey, c.key)
	c.key, c.overcount, c.load = key, c.load, c.load+weighted
	s.byKey[key] = c
	heap.Fix(&s.counters, 0)
}

// weight is the factor of what is added now.
func (s *Sketch) weight(now float64) float64 {
	now = math.Max(now, s.latest)
	s.latest = now
	halfLives := (now - s.reference) / s.halfLife
	if halfLives > maxHalfLives {
		shrink := math.Exp2(-halfLives)
		for _, c := range s.counters {
			c.load *= shrink
			c.overcount *= shrink
		}
		s.total *= shrink
		s.reference, halfLives = now, 0
	}
	return math.Exp2(halfLives)
}

// Top returns the n hottest keys as of now, and what the rest may have.
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

// truncate keeps the n highest figures.
func (s *Snapshot) truncate(n int) {
	slices.SortFunc(s.Keys, func(a, b KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	if n < len(s.Keys) {
		s.UnlistedBound = math.Max(s.UnlistedBound, s.Keys[n].Load)
		s.Keys = s.Keys[:n:n]
	}
}

// Merge adds parts of different sidecars, or of their sums, and keeps the size highest figures. Its bounds hold where
// those of the parts do, in whatever order and grouping they are merged.
func Merge(limit int, snapshots ...Snapshot) Snapshot {
	var merged Snapshot
	unlistedTotal := 0.0
	for i := range snapshots {
		unlistedTotal += snapshots[i].UnlistedBound
		merged.Total += snapshots[i].Total
	}
	positions := make(map[uint64]int)
	for i := range snapshots {
		for _, load := range snapshots[i].Keys {
			position, ok := positions[load.Key]
			if !ok { // until a part lists the key, each may have had its floor
				position = len(merged.Keys)
				positions[load.Key] = position
				merged.Keys = append(merged.Keys, KeyLoad{load.Key, unlistedTotal, unlistedTotal})
			}
			merged.Keys[position].Load += load.Load - snapshots[i].UnlistedBound
			merged.Keys[position].Error += load.Error - snapshots[i].UnlistedBound
		}
	}
	merged.UnlistedBound = unlistedTotal
	merged.truncate(limit)
	return merged
}

// counterHeap is a heap with the least load in front.
type counterHeap []*counter

func (h counterHeap) Len() int { return len(h) }
func (h counterHeap) Less(i, j int) bool {
	return h[i].load < h[j].load || h[i].load == h[j].load && h[i].key < h[j].key
}
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *counterHeap) Push(v any) {
	c := v.(*counter)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}
func (h *counterHeap) Pop() any {
	removed := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return removed
}
