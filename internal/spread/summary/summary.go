// Package summary keeps the heat of keys in bounded memory. A key's heat is its load: requests a second times the work
// of one, in ms of work a second, over an average that forgets by halves. A Summary is one sidecar's, by space-saving
// (Metwally et al., 2005) on weights that decay forward in time; Merge adds those of many (Agarwal et al., 2012). Each
// figure carries by how much it may be too high, so that the true value lies within [Load - Error, Load].
//
// The package is pure: no clock, no randomness. Times are inputs, in seconds.
package summary

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Figure is a key's load as it is known: at most Load and at least Load - Error, in ms of work a second.
type Figure struct {
	Key         uint64
	Load, Error float64
}

// Low is the least that the true load can be.
func (f Figure) Low() float64 { return math.Max(f.Load-f.Error, 0) }

// Part is what one summary tells: the hottest keys, the highest Load first, and bounds for the rest.
type Part struct {
	Figures []Figure
	Floor   float64 // a key that is not among Figures has at most this load
	All     float64 // load of all keys together
}

// Summary counts the keys that one sidecar meets. It is not safe for use by several goroutines.
type Summary struct {
	size int
	rate float64 // 1/s: what a decayed sum of work is multiplied with to be a load
	half float64 // s
	zero float64 // time at which weights have the factor 1
	last float64 // latest time known
	all  float64
	heap counters
	of   map[uint64]*counter
}

type counter struct {
	key       uint64
	load, err float64 // decayed sums, times grow
	at        int     // place in the heap
}

// maxGrow is the half-lives after which all weights are scaled down again: 2^64 of a sum of work leaves room in a float64.
const maxGrow = 64

// New returns a Summary that counts at most size keys at a time (1 or more) and forgets half of what it counted within
// half seconds (above 0).
func New(size int, half float64) *Summary {
	return &Summary{size: max(size, 1), half: half, rate: math.Ln2 / half, of: make(map[uint64]*counter, size)}
}

// Add counts a request for a key, with its work in ms. Work that is no positive number counts as none. Time that runs
// back counts as the latest known.
func (s *Summary) Add(now float64, key uint64, work float64) {
	if !(work > 0) || math.IsInf(work, 1) {
		return
	}
	w := work * s.grow(now)
	s.all += w
	if c := s.of[key]; c != nil {
		c.load += w
		heap.Fix(&s.heap, c.at)
		return
	}
	if len(s.heap) < s.size {
		c := &counter{key: key, load: w}
		s.of[key] = c
		heap.Push(&s.heap, c)
		return
	}
	c := s.heap[0] // the least takes the new key in, and its count is what that key may have had before
	delete(s.of, c.key)
	c.key, c.err, c.load = key, c.load, c.load+w
	s.of[key] = c
	heap.Fix(&s.heap, 0)
}

// grow is the factor of what is added now.
func (s *Summary) grow(now float64) float64 {
	now = math.Max(now, s.last)
	s.last = now
	d := (now - s.zero) / s.half
	if d > maxGrow {
		shrink := math.Exp2(-d)
		for _, c := range s.heap {
			c.load *= shrink
			c.err *= shrink
		}
		s.all *= shrink
		s.zero, d = now, 0
	}
	return math.Exp2(d)
}

// Top returns the n hottest keys as of now, and what the rest may have.
func (s *Summary) Top(now float64, n int) Part {
	f := s.rate / s.grow(now)
	out := Part{All: s.all * f}
	if len(s.heap) == s.size {
		out.Floor = s.heap[0].load * f
	}
	for _, c := range s.heap {
		out.Figures = append(out.Figures, Figure{c.key, c.load * f, c.err * f})
	}
	out.cut(n)
	return out
}

// cut keeps the n highest figures.
func (p *Part) cut(n int) {
	slices.SortFunc(p.Figures, func(a, b Figure) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	if n < len(p.Figures) {
		p.Floor = math.Max(p.Floor, p.Figures[n].Load)
		p.Figures = p.Figures[:n:n]
	}
}

// Merge adds parts of different sidecars, or of their sums, and keeps the size highest figures. Its bounds hold where
// those of the parts do, in whatever order and grouping they are merged.
func Merge(size int, parts ...Part) Part {
	var out Part
	floors := 0.0
	for i := range parts {
		floors += parts[i].Floor
		out.All += parts[i].All
	}
	sums := make(map[uint64]int)
	for i := range parts {
		for _, f := range parts[i].Figures {
			at, ok := sums[f.Key]
			if !ok { // until a part lists the key, each may have had its floor
				at = len(out.Figures)
				sums[f.Key] = at
				out.Figures = append(out.Figures, Figure{f.Key, floors, floors})
			}
			out.Figures[at].Load += f.Load - parts[i].Floor
			out.Figures[at].Error += f.Error - parts[i].Floor
		}
	}
	out.Floor = floors
	out.cut(size)
	return out
}

// counters is a heap with the least load in front.
type counters []*counter

func (h counters) Len() int { return len(h) }
func (h counters) Less(i, j int) bool {
	return h[i].load < h[j].load || h[i].load == h[j].load && h[i].key < h[j].key
}
func (h counters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}
func (h *counters) Push(v any) {
	c := v.(*counter)
	c.at = len(*h)
	*h = append(*h, c)
}
func (h *counters) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
