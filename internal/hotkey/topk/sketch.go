// Package topk estimates the load of the hottest keys in bounded memory. A key's load is an exponentially decaying
// average of its requests per second times the work of a request in ms; the unit is ms of work per second. A Sketch
// measures the loads at one sidecar, with the space-saving algorithm (Metwally et al., 2005) on weights with forward
// decay. Merge combines the snapshots of many sketches (Agarwal et al., 2012). Each load has an error bound: the true
// load is between Load - Error and Load.
//
// The package is deterministic: it uses no clock and no randomness. Times are parameters, in seconds. The package does
// not depend on the format in which sidecars report loads.
package topk

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// KeyLoad is the estimate of a key's load in ms of work per second. The true load is between Load - Error and Load.
type KeyLoad struct {
	Key         uint64
	Load, Error float64
}

// LowerBound returns the lower bound of the true load, at least 0.
func (k KeyLoad) LowerBound() float64 { return math.Max(k.Load-k.Error, 0) }

// Snapshot contains the loads of a Sketch at a time, or the merged loads of several sketches.
type Snapshot struct {
	Keys          []KeyLoad // the hottest keys, the highest Load first
	UnlistedBound float64   // upper bound of the load of a key that is not among Keys
	Total         float64   // sum of the loads of all keys
}

// Sketch measures the load of the keys in the requests of one sidecar. It is not safe for concurrent use.
type Sketch struct {
	capacity          int     // maximum number of counters
	decayRate         float64 // 1/s; converts a decayed sum of work into a load
	halfLife          float64 // s
	referenceTime     float64 // time at which the weight is 1
	latestTime        float64 // the latest time of any call
	totalWeightedWork float64 // sum of the weighted work of all keys
	counters          counterHeap
	byKey             map[uint64]*counter
}

// counter adds up the work of one key.
type counter struct {
	key          uint64
	weightedWork float64
	overcount    float64 // part of weightedWork that may belong to previous keys of the counter
	heapIndex    int
}

// maxHalfLives is the number of half-lives after which all sums are scaled down and the weight restarts at 1. Until then
// the weight is at most 2^64, and sums of work that are 2^64 times as large still fit a float64.
const maxHalfLives = 64

// New returns a Sketch with counters for at most capacity keys, at least 1. The weight of past work halves every halfLife
// seconds, which must be above 0.
func New(capacity int, halfLife float64) *Sketch {
	return &Sketch{
		capacity:  max(capacity, 1),
		halfLife:  halfLife,
		decayRate: math.Ln2 / halfLife,
		byKey:     make(map[uint64]*counter, capacity),
	}
}

// Add adds the work of a request, in ms, to its key. Work that is not positive or not finite is ignored. If now is before
// the time of an earlier call, Add uses the time of the earlier call.
func (s *Sketch) Add(now float64, key uint64, work float64) {
	if !(work > 0) || math.IsInf(work, 1) {
		return
	}
	weighted := work * s.weight(now)
	s.totalWeightedWork += weighted
	if c := s.byKey[key]; c != nil {
		c.weightedWork += weighted
		heap.Fix(&s.counters, c.heapIndex)
		return
	}
	if len(s.counters) < s.capacity {
		c := &counter{key: key, weightedWork: weighted}
		s.byKey[key] = c
		heap.Push(&s.counters, c)
		return
	}
	// The counter with the lowest load is reassigned to the new key, whose earlier work is at most that load.
	c := s.counters[0]
	delete(s.byKey, c.key)
	c.key, c.overcount, c.weightedWork = key, c.weightedWork, c.weightedWork+weighted
	s.byKey[key] = c
	heap.Fix(&s.counters, 0)
}

// weight returns the weight of work at a time. The weight doubles with each half-life, which replaces the decay of the
// past work in all counters.
func (s *Sketch) weight(now float64) float64 {
	now = math.Max(now, s.latestTime)
	s.latestTime = now
	halfLives := (now - s.referenceTime) / s.halfLife
	if halfLives > maxHalfLives {
		s.scale(math.Exp2(-halfLives))
		s.referenceTime, halfLives = now, 0
	}
	return math.Exp2(halfLives)
}

// scale multiplies all sums of work by a factor.
func (s *Sketch) scale(factor float64) {
	for _, c := range s.counters {
		c.weightedWork *= factor
		c.overcount *= factor
	}
	s.totalWeightedWork *= factor
}

// Top returns the loads of the n hottest keys at a time, and the bound for the other keys.
func (s *Sketch) Top(now float64, n int) Snapshot {
	loadPerWeightedWork := s.decayRate / s.weight(now)
	snapshot := Snapshot{Total: s.totalWeightedWork * loadPerWeightedWork}
	if len(s.counters) == s.capacity {
		snapshot.UnlistedBound = s.counters[0].weightedWork * loadPerWeightedWork
	}
	for _, c := range s.counters {
		snapshot.Keys = append(snapshot.Keys, KeyLoad{c.key, c.weightedWork * loadPerWeightedWork, c.overcount * loadPerWeightedWork})
	}
	snapshot.truncate(n)
	return snapshot
}

// truncate sorts the keys by load, retains the n hottest and adapts the bound for the other keys.
func (s *Snapshot) truncate(n int) {
	slices.SortFunc(s.Keys, func(a, b KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	if n < len(s.Keys) {
		s.UnlistedBound = math.Max(s.UnlistedBound, s.Keys[n].Load)
		s.Keys = s.Keys[:n:n]
	}
}

// Merge adds up snapshots of different sidecars, or results of Merge for disjoint sets of sidecars, and retains the limit
// hottest keys. If the bounds of the snapshots hold, the bounds of the result hold, in any order and grouping.
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
			if !ok { // a snapshot that does not list the key contributes its UnlistedBound
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
