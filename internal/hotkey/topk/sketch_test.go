package topk

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// exactCounts counts as a Summary does, with all keys.
type exactCounts struct {
	halfLife, updatedAt float64
	byKey               map[uint64]float64
}

func (e *exactCounts) add(now float64, key uint64, work float64) {
	e.decay(now)
	e.byKey[key] += work
}

func (e *exactCounts) decay(now float64) {
	f := math.Exp2(-(now - e.updatedAt) / e.halfLife)
	for k := range e.byKey {
		e.byKey[k] *= f
	}
	e.updatedAt = now
}

// boundsHold tells whether a part's bounds hold for each key of the exact counts.
func boundsHold(p Snapshot, truth map[uint64]float64) bool {
	listed, all := map[uint64]KeyLoad{}, 0.0
	for _, f := range p.Keys {
		listed[f.Key] = f
	}
	for _, v := range truth {
		all += v
	}
	slack := 1e-9 * (1 + all)
	if math.Abs(p.Total-all) > slack {
		return false
	}
	for k, v := range truth {
		f, ok := listed[k]
		if !ok {
			f = KeyLoad{Load: p.UnlistedBound, Error: p.UnlistedBound}
		}
		if v > f.Load+slack || v < f.Load-f.Error-slack {
			return false
		}
	}
	return true
}

// playRequests adds drawn requests to a Summary and to exact counts, and returns both as loads.
func playRequests(t *rapid.T, name string, now float64) (Snapshot, map[uint64]float64) {
	half := 2.0
	s := New(rapid.IntRange(1, 8).Draw(t, name+" size"), half)
	e := &exactCounts{halfLife: half, byKey: map[uint64]float64{}}
	at := 0.0
	for range rapid.IntRange(0, 60).Draw(t, name+" requests") {
		at = math.Min(at+rapid.SampledFrom([]float64{0, 0.01, 0.5, 3, 100}).Draw(t, "gap"), now)
		key, work := rapid.Uint64Range(0, 14).Draw(t, "key"), rapid.Float64Range(0.1, 100).Draw(t, "work")
		s.Add(at, key, work)
		e.add(at, key, work)
	}
	e.decay(now)
	for k := range e.byKey {
		e.byKey[k] *= math.Ln2 / half
	}
	return s.Top(now, rapid.IntRange(1, 8).Draw(t, name+" top")), e.byKey
}

func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, truth := playRequests(t, "one", 5000)
		if !boundsHold(p, truth) {
			t.Fatalf("%+v does not hold for %v", p, truth)
		}
	})
}

// Merged in any grouping, the bounds hold for the sums.
func TestMergedBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := map[uint64]float64{}
		var parts []Snapshot
		for range rapid.IntRange(1, 5).Draw(t, "sidecars") {
			p, truth := playRequests(t, "part", 5000)
			parts = append(parts, p)
			for k, v := range truth {
				sum[k] += v
			}
		}
		size := rapid.IntRange(1, 12).Draw(t, "merged size")
		half := len(parts) / 2
		flat := Merge(size, parts...)
		tree := Merge(size, Merge(size, parts[:half]...), Merge(size, parts[half:]...))
		if !boundsHold(flat, sum) || !boundsHold(tree, sum) {
			t.Fatalf("%+v or %+v does not hold for %v", flat, tree, sum)
		}
	})
}

// A key with more than 1/size of the load is always listed, however many others come between.
func TestHeavyKeyIsListed(t *testing.T) {
	s := New(16, 2)
	now := 0.0
	for i := range 10_000 {
		now += 0.003
		key := uint64(1000 + i) // each new
		if i%10 == 0 {
			key = 7
		}
		s.Add(now, key, 20)
	}
	p := s.Top(now, 16)
	if p.Keys[0].Key != 7 || p.Keys[0].LowerBound() < 0.05*p.Total {
		t.Fatalf("first is %+v of %v", p.Keys[0], p.Total)
	}
	if want := 20 / 0.003; math.Abs(p.Total-want) > 0.02*want {
		t.Fatalf("all %v ms/s, wanted %v", p.Total, want)
	}
	if len(s.counters) != 16 || len(s.byKey) != 16 {
		t.Fatalf("%d counters, %d keys", len(s.counters), len(s.byKey))
	}
}

func TestInvalidWorkIsIgnored(t *testing.T) {
	s := New(4, 1)
	for _, work := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		s.Add(1, 9, work)
	}
	if p := s.Top(1, 4); len(p.Keys) != 0 || p.Total != 0 {
		t.Fatalf("%+v", p)
	}
}

func BenchmarkAdd(b *testing.B) {
	s := New(64, 2)
	now, z := 0.0, uint64(1)
	b.ReportAllocs()
	for range b.N {
		now += 0.001
		z = z*6364136223846793005 + 1442695040888963407
		s.Add(now, z>>58|z>>40&0xff, 20)
	}
}
