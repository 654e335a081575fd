package spread

import (
	"math"
	"slices"
	"testing"
)

const hotKey = uint64(0xfeedface)

// onset plays one key that takes 30% of all load at once, and returns the s to the first copies that carry and to when
// its own servers have no more of it than they have room for.
func onset(t *testing.T, seed uint64, cfg Config) (w *world, carry, relieved float64) {
	w = newWorld(t, seed, cfg)
	w.run(4+w.rnd.Float64(), nil)
	w.hot[hotKey] = 0.3
	carry, relieved = math.Inf(1), math.Inf(1)
	from := w.now
	w.run(20, func() bool {
		part, copies := w.carried(hotKey)
		if copies > 0 && math.IsInf(carry, 1) {
			carry = w.now - from
		}
		load, room := 0.3*w.load*testWork, 0.8-0.7*w.load*testWork/(servers*testBear)
		if (1-part)*load <= room*20*testBear {
			relieved = w.now - from
		}
		return !math.IsInf(relieved, 1)
	})
	return w, carry, relieved
}

func TestOnsetToCopiesThatCarry(t *testing.T) {
	var carry, relieved []float64
	for seed := range uint64(20) {
		w, c, r := onset(t, seed, testConfig())
		carry, relieved = append(carry, c), append(relieved, r)
		if w.overrun || w.early > 0 {
			t.Errorf("seed %d: past the budget %v, %d of %d copies told a share too early", seed, w.overrun, w.early, w.firsts)
		}
	}
	slices.Sort(carry)
	slices.Sort(relieved)
	t.Logf("onset to copies that carry: p50 %.2f s, worst %.2f s; to relief: p50 %.2f s, worst %.2f s", carry[10], carry[19], relieved[10], relieved[19])
	if carry[19] > 2 {
		t.Errorf("worst %.2f s", carry[19])
	}
}
