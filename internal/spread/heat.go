package spread

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"milldeck/internal/placement"
)

const (
	// every is the s between two reports of a sidecar.
	every = 1.0
	// staleAfter is the s after which a report tells nothing more: two that were lost and the time between.
	staleAfter = 3.0
	// goneAfter is the s after which a sidecar that is silent is no longer missed.
	goneAfter = 30.0
	// maxReporters bounds the sidecars that are kept, to a few MB.
	maxReporters = 4096
	// witnesses is how many sidecars a key's heat has to come from, where there are as many: one alone makes up at
	// most this part of it.
	witnesses = 4
	// outlier is how many times the median's load of all keys a sidecar's can be. Above it counts as nonsense.
	outlier = 8.0
	// youngest is the part of its average that the first report of a sidecar is taken to show.
	youngest = 0.4
	// chance is by how many standard deviations a load counts as less than it was measured.
	chance = 3.0
)

// reporter is what a sidecar reported last.
type reporter struct {
	first      float64 // s: when it was heard first
	at         float64 // s: when it came
	rev, epoch uint64
	all        float64
	floor      float64 // a key that is not listed has at most this
	heat       []listed
}

type listed struct {
	key       uint64
	low, high float64
}

// heat is what the fleet's reports add up to.
type heat struct {
	half      float64
	work      float64
	reporters map[string]*reporter
	names     []string // of them, sorted
	expected  int      // sidecars that are known of otherwise

	sums []sum
	of   map[uint64]int // places in sums
	keys []uint64       // that may be hot, sorted
	// all is the load of all keys at most, seen what reports show of it; missing is by what sums of the reports at hand
	// are to be multiplied.
	all, seen, missing, floors float64
	fresh                      int
}

// sum is a key's load over the fresh reports.
type sum struct {
	low, maxLow, high, maxHigh, floors float64
	seen                               int
}

func newHeat(half, work float64) heat {
	return heat{half: half, work: work, reporters: map[string]*reporter{}, of: map[uint64]int{}, missing: 1}
}

// take keeps a report; false: it is nonsense, or one too many, and tells nothing.
func (h *heat) take(now float64, r *placement.LoadReport) bool {
	next := &reporter{first: now, at: now, rev: r.PlacementRevision, epoch: r.PlacementEpoch, all: r.TotalKeyLoad}
	if r.Sidecar == "" || len(r.Sidecar) > 256 || len(r.HotKeys) > placement.MaxHotKeys || !(r.TotalKeyLoad >= 0) || math.IsInf(r.TotalKeyLoad, 1) {
		return false
	}
	surely := 0.0
	for _, k := range r.HotKeys {
		key, err := strconv.ParseUint(k.KeyHash, 16, 64)
		switch {
		case err != nil || len(k.KeyHash) != 16,
			!(k.Load >= 0) || !(k.ErrorBound >= 0) || k.ErrorBound > k.Load*(1+1e-6)+1e-9,
			slices.ContainsFunc(next.heat, func(l listed) bool { return l.key == key }):
			return false
		}
		low := math.Max(k.Load-k.ErrorBound, 0)
		surely += low
		next.heat = append(next.heat, listed{key, low, math.Min(k.Load, r.TotalKeyLoad)})
	}
	if surely > r.TotalKeyLoad*1.01+1e-6 { // more than all together
		return false
	}
	if n := len(r.HotKeys); n == placement.MaxHotKeys {
		next.floor = next.heat[0].high
		for _, l := range next.heat {
			next.floor = math.Min(next.floor, l.high)
		}
	}
	last := h.reporters[r.Sidecar]
	if last == nil {
		if len(h.reporters) >= maxReporters {
			return false
		}
		i, _ := slices.BinarySearch(h.names, r.Sidecar)
		h.names = slices.Insert(h.names, i, r.Sidecar)
	} else {
		next.first = last.first
	}
	h.reporters[r.Sidecar] = next
	return true
}

// work is what a sidecar has surely been asked for of a key between its last two reports, in ms.
func (r *reporter) work(before *reporter, l listed, half float64) float64 {
	was := before.floor
	for _, o := range before.heat {
		if o.key == l.key {
			was = o.high
		}
	}
	return math.Max(l.low-was*math.Exp2(-(r.at-before.at)/half), 0) * half / math.Ln2
}

// merge adds up the reports that are fresh. What a sidecar has surely seen holds until its next report is due and fades
// then as in the summary itself, so that it stays a lower bound of the same average.
func (h *heat) merge(now float64) {
	h.names = slices.DeleteFunc(h.names, func(name string) bool {
		gone := now-h.reporters[name].at > goneAfter
		if gone {
			delete(h.reporters, name)
		}
		return gone
	})
	clear(h.of)
	h.sums, h.keys = h.sums[:0], h.keys[:0]
	h.all, h.seen, h.floors, h.fresh, h.missing = 0, 0, 0, 0, 1
	var alls []float64
	for _, name := range h.names {
		if r := h.reporters[name]; now-r.at <= staleAfter {
			alls = append(alls, r.all)
		}
	}
	if len(alls) == 0 {
		return
	}
	slices.Sort(alls)
	most := math.Inf(1)
	if len(alls) >= witnesses {
		most = math.Max(outlier*alls[len(alls)/2], 10*h.work)
	}
	for _, name := range h.names {
		r := h.reporters[name]
		if now-r.at > staleAfter || r.all > most {
			continue
		}
		h.fresh++
		h.seen += r.all
		// A sidecar that was not heard before may have begun to count just now: its average is still to come up. That
		// is made up for in the most that servers have to do.
		h.all += r.all / math.Max(1-math.Exp2(-(r.at-r.first)/h.half), youngest)
		h.floors += r.floor
		fade := math.Exp2(-math.Max(now-r.at-every, 0) / h.half)
		for _, l := range r.heat {
			at, ok := h.of[l.key]
			if !ok {
				at = len(h.sums)
				h.of[l.key] = at
				h.sums = append(h.sums, sum{})
			}
			s := &h.sums[at]
			low := l.low * fade
			s.seen++
			s.low += low
			s.maxLow = math.Max(s.maxLow, low)
			s.high += l.high
			s.maxHigh = math.Max(s.maxHigh, l.high)
			s.floors += r.floor
		}
	}
	if h.fresh > 0 {
		h.missing = math.Max(float64(max(h.expected, len(h.names)))/float64(h.fresh), 1)
	}
	h.all *= h.missing
	for k, at := range h.of {
		if h.sums[at].seen >= h.witnesses() {
			h.keys = append(h.keys, k)
		}
	}
	slices.SortFunc(h.keys, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(h.sum(b).low, h.sum(a).low), cmp.Compare(a, b))
	})
}

// sum returns a key's sum, nil where no fresh report lists it.
func (h *heat) sum(key uint64) *sum {
	if at, ok := h.of[key]; ok {
		return &h.sums[at]
	}
	return nil
}

// witnesses is how many sidecars have to have met a key.
func (h *heat) witnesses() int { return max(min(witnesses, h.fresh), 1) }

// low is the least that a key's load surely is: what the reports at hand show, one sidecar's part of it bounded, less
// what chance may have added. Reports that are missing add nothing.
func (h *heat) low(key uint64) float64 {
	s := h.sum(key)
	if s == nil || s.seen < h.witnesses() {
		return 0
	}
	low := s.low
	if n := h.witnesses(); n > 1 {
		rest := s.low - s.maxLow
		low = rest + math.Min(s.maxLow, rest/float64(n-1))
	}
	return math.Max(low-chance*math.Sqrt(low*h.work*math.Ln2/(2*h.half)), 0)
}

// high is the most that a key's load can be: reports that are missing are taken to be like the others, and a sidecar
// that does not list the key may have had as much as the least that it lists. Without floors, the latter is left out.
// A single sidecar is believed at most what all others say together.
func (h *heat) high(key uint64, floors bool) float64 {
	if h.fresh == 0 {
		return math.Inf(1)
	}
	high, unlisted := 0.0, h.floors
	if s := h.sum(key); s != nil {
		high, unlisted = s.high, h.floors-s.floors
		if h.witnesses() > 1 {
			high += math.Min(s.maxHigh, s.high-s.maxHigh) - s.maxHigh
		}
	}
	if floors {
		high += unlisted
	}
	return high * h.missing
}
