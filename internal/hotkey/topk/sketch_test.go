package topk

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// exactCounts adds up decayed work as a Sketch does, but for all keys.
type exactCounts struct {
	halfLife, updatedAt float64
	byKey               map[uint64]float64
}

func (e *exactCounts) add(now float64, key uint64, work float64) {
	e.decay(now)
	e.byKey[key] += work
}

func (e *exactCounts) decay(now float64) {
	factor := math.Exp2(-(now - e.updatedAt) / e.halfLife)
	for key := range e.byKey {
		e.byKey[key] *= factor
	}
	e.updatedAt = now
}

// boundsHold reports whether a snapshot's bounds contain the exact load of each key, and its total is correct.
func boundsHold(snapshot Snapshot, exact map[uint64]float64) bool {
	listed, total := map[uint64]KeyLoad{}, 0.0
	for _, bounds := range snapshot.Keys {
		listed[bounds.Key] = bounds
	}
	for _, load := range exact {
		total += load
	}
	tolerance := 1e-9 * (1 + total)
	if math.Abs(snapshot.Total-total) > tolerance {
		return false
	}
	for key, load := range exact {
		bounds, ok := listed[key]
		if !ok {
			bounds = KeyLoad{Load: snapshot.UnlistedBound, Error: snapshot.UnlistedBound}
		}
		if load > bounds.Load+tolerance || load < bounds.Load-bounds.Error-tolerance {
			return false
		}
	}
	return true
}

// addDrawnRequests adds drawn requests to a Sketch and to exact counts, and returns the loads that both result in.
func addDrawnRequests(t *rapid.T, name string, now float64) (Snapshot, map[uint64]float64) {
	halfLife := 2.0
	sketch := New(rapid.IntRange(1, 8).Draw(t, name+" size"), halfLife)
	exact := &exactCounts{halfLife: halfLife, byKey: map[uint64]float64{}}
	at := 0.0
	for range rapid.IntRange(0, 60).Draw(t, name+" requests") {
		at = math.Min(at+rapid.SampledFrom([]float64{0, 0.01, 0.5, 3, 100}).Draw(t, "gap"), now)
		key, work := rapid.Uint64Range(0, 14).Draw(t, "key"), rapid.Float64Range(0.1, 100).Draw(t, "work")
		sketch.Add(at, key, work)
		exact.add(at, key, work)
	}
	exact.decay(now)
	for k := range exact.byKey {
		exact.byKey[k] *= math.Ln2 / halfLife
	}
	return sketch.Top(now, rapid.IntRange(1, 8).Draw(t, name+" top")), exact.byKey
}

func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot, exact := addDrawnRequests(t, "one", 5000)
		if !boundsHold(snapshot, exact) {
			t.Fatalf("the bounds of %+v do not hold for %v", snapshot, exact)
		}
	})
}

// The bounds of merged snapshots hold for the sums of the loads, in any grouping.
func TestMergedBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := map[uint64]float64{}
		var snapshots []Snapshot
		for range rapid.IntRange(1, 5).Draw(t, "sidecars") {
			snapshot, exact := addDrawnRequests(t, "part", 5000)
			snapshots = append(snapshots, snapshot)
			for key, load := range exact {
				sum[key] += load
			}
		}
		size := rapid.IntRange(1, 12).Draw(t, "merged size")
		half := len(snapshots) / 2
		flat := Merge(size, snapshots...)
		tree := Merge(size, Merge(size, snapshots[:half]...), Merge(size, snapshots[half:]...))
		if !boundsHold(flat, sum) || !boundsHold(tree, sum) {
			t.Fatalf("the bounds of %+v or %+v do not hold for %v", flat, tree, sum)
		}
	})
}

// A key with more than 1/capacity of the load is always listed, however many other keys have requests in between.
func TestHeavyKeyIsListed(t *testing.T) {
	sketch := New(16, 2)
	now := 0.0
	for i := range 10_000 {
		now += 0.003
		key := uint64(1000 + i) // a new key for each request
		if i%10 == 0 {
			key = 7
		}
		sketch.Add(now, key, 20)
	}
	top := sketch.Top(now, 16)
	if top.Keys[0].Key != 7 || top.Keys[0].LowerBound() < 0.05*top.Total {
		t.Fatalf("the first key is %+v, the total is %v", top.Keys[0], top.Total)
	}
	if want := 20 / 0.003; math.Abs(top.Total-want) > 0.02*want {
		t.Fatalf("the total is %v ms/s, want %v", top.Total, want)
	}
	if len(sketch.counters) != 16 || len(sketch.byKey) != 16 {
		t.Fatalf("%d counters, %d keys", len(sketch.counters), len(sketch.byKey))
	}
}

func TestInvalidWorkIsIgnored(t *testing.T) {
	sketch := New(4, 1)
	for _, work := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		sketch.Add(1, 9, work)
	}
	if top := sketch.Top(1, 4); len(top.Keys) != 0 || top.Total != 0 {
		t.Fatalf("invalid work was counted: %+v", top)
	}
}

func BenchmarkAdd(b *testing.B) {
	sketch := New(64, 2)
	now, random := 0.0, uint64(1)
	b.ReportAllocs()
	for range b.N {
		now += 0.001
		random = random*6364136223846793005 + 1442695040888963407
		sketch.Add(now, random>>58|random>>40&0xff, 20)
	}
}
