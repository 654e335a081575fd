package release

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
)

const figuresPlan = `name = "r"
on_halt = "back"
deadline_s = 36000
[what]
server = "2"
[[wave]]
share = 0.02
bake_s = 30
[[wave]]
share = 0.1
bake_s = 30
[[wave]]
share = 0.4
bake_s = 30
[[wave]]
bake_s = 30
[limits]
max_out = { count = 4 }
`

// harmful is how a version is worse than the one before.
type harmful struct {
	name       string
	fail       [2]float64 // added share of failures, of the common class and of the rarer one
	slow       bool       // 0.18 of the answers lie beyond a bound, 0.36 on it, while the load is high
	leak       float64    // share of memory a second
	restarting float64    // share of its units that restart in a second
}

var harms = []harmful{
	{name: "5% fail", fail: [2]float64{0.05, 0.05}},
	{name: "one class fails", fail: [2]float64{0, 0.1}},
	{name: "slower under load", slow: true},
	{name: "leaks", leak: 0.01},
	{name: "restarts", restarting: 0.05},
}

// observer makes the counts of a fleet whose units run as the world says.
type observer struct {
	r     *rand.Rand
	w     *world
	harm  harmful
	watch *Watch
	calls int
}

func (o *observer) verdict(s *State) judge.Verdict {
	if o.watch == nil {
		o.watch = NewWatch(8)
	}
	if o.calls++; o.calls%2 == 1 { // a tick is half a second
		o.watch.Add(s, o.interval())
	}
	return o.watch.Verdict(s)
}

func (o *observer) interval() judge.Interval {
	in := judge.Interval{Expected: 1, Reports: 1}
	now := o.w.now / 1000
	load, fail, slow := 1.0, 0.003, 0.18
	if now%50 >= 30 {
		load, slow = 1.6, 0.25
	}
	if now%170 >= 150 { // an ordinary trouble, felt by all
		fail = 0.1
	}
	zones := map[string]*[2][]*unitWorld{}
	for _, id := range o.w.ids {
		u := o.w.units[id]
		if zones[u.unit.Zone] == nil {
			zones[u.unit.Zone] = &[2][]*unitWorld{}
		}
		if o.w.up(u) {
			side := 0
			if u.version == "2" {
				side = 1
			}
			zones[u.unit.Zone][side] = append(zones[u.unit.Zone][side], u)
		}
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
		var sides [2]judge.Side
		for side, units := range zones[zone] {
			sides[side] = judge.Side{Units: len(units), Memory: 100 * (1 + 0.02*o.r.NormFloat64())}
			age := 0.0
			for _, u := range units {
				age += float64(o.w.now-u.bootMS) / 1000 / float64(len(units))
			}
			if side == 1 {
				sides[1].Memory += 100 * o.harm.leak * age
				sides[1].Restarts = o.draw(len(units), o.harm.restarting)
			}
		}
		in.Zones = append(in.Zones, judge.ZonePair{Zone: zone, New: sides[1], Old: sides[0]})
		for c, class := range []string{"lookup", "simulate"} {
			counts := func(side int) judge.Counts {
				f, sl := fail, slow
				if side == 1 {
					f += o.harm.fail[c]
					if o.harm.slow && load > 1 {
						sl += 0.18
					}
				}
				n := o.draw(int(float64(sides[side].Units)*load*[]float64{40, 10}[c])*2, 0.5)
				failed := o.draw(n, f)
				served := n - failed
				far := o.draw(served, sl)
				near := o.draw(served-far, 0.25)
				return judge.Counts{Served: served, Late: o.draw(served, 0.01), Failed: failed,
					Latency: []uint32{uint32(served - far - near), uint32(near), uint32(far)}}
			}
			in.Pairs = append(in.Pairs, judge.Pair{Class: class, Zone: zone, New: counts(1), Old: counts(0)})
		}
	}
	return in
}

// draw is a binomial number: exact where few are expected, else by the normal law.
func (o *observer) draw(n int, p float64) int {
	mean := float64(n) * p
	if n < 60 || mean < 15 {
		k := 0
		for range n {
			if o.r.Float64() < p {
				k++
			}
		}
		return k
	}
	return min(max(int(math.Round(mean+math.Sqrt(mean*(1-p))*o.r.NormFloat64())), 0), n)
}

// The figures of a release with its judge: how much of the fleet a harmful version meets, and how long the way back takes.
// 100 units in four zones; -seeds 200 gives the figures that are told.
func TestHarmfulVersionsAreStoppedEarly(t *testing.T) {
	seeds := *seedsFlag
	early, ratios, shares := uint64(0), []float64{}, []float64{}
	for seed := range seeds {
		w := newWorld(t, disruption.KindServer, 4, 25, 8)
		o := &observer{r: rand.New(rand.NewPCG(seed, 9)), w: w, harm: harms[seed%uint64(len(harms))]}
		w.verdict = o.verdict
		w.start(figuresPlan)
		begun, halted := w.now, int64(0)
		s, err := w.finish(&kill{at: -1}, 20000, func(_ int, s *State) {
			if s.Head.Phase == Back && halted == 0 {
				halted = w.now
			}
		})
		over := w.now - 60*tick // finish has let some time pass
		hit := 0
		for what := range w.launches {
			if what[len(what)-2:] == " 2" {
				hit++
			}
		}
		share := float64(hit) / float64(len(w.ids))
		shares = append(shares, share)
		switch {
		case err != nil:
			t.Errorf("seed %d, %s: %v", seed, o.harm.name, err)
		case s.Head.Phase != Backed:
			t.Logf("seed %d, %s: %s with %.0f%%", seed, o.harm.name, s.Head.Phase, 100*share)
		default:
			if share < 0.1 {
				early++
			}
			ratios = append(ratios, float64(over-halted)/float64(halted-begun))
		}
	}
	slices.Sort(shares)
	slices.Sort(ratios)
	t.Logf("%d of %d stopped under a tenth of the fleet (most %.2f); way back against forward: median %.2f, worst %.2f",
		early, seeds, shares[len(shares)-1], ratios[len(ratios)/2], ratios[len(ratios)-1])
	if float64(early) < 0.95*float64(seeds) {
		t.Errorf("%d of %d stopped under a tenth of the fleet", early, seeds)
	}
	if worst := ratios[len(ratios)-1]; worst > 0.5 {
		t.Errorf("a way back took %.2f of the way forward", worst)
	}
}

func TestHealthyReleasesEnd(t *testing.T) {
	seeds := *seedsFlag
	done := uint64(0)
	for seed := range seeds {
		w := newWorld(t, disruption.KindServer, 4, 25, 8)
		o := &observer{r: rand.New(rand.NewPCG(seed, 11)), w: w}
		w.verdict = o.verdict
		w.start(figuresPlan)
		begun := w.now
		s, err := w.finish(&kill{at: -1}, 20000, nil)
		if err != nil || s.Head.Phase != Done {
			t.Errorf("seed %d: %s, %v: %s", seed, s.Head.Phase, err, s.Head.Why)
			continue
		}
		done++
		if seed == 0 {
			t.Logf("100 units in %d s", (w.now-begun)/1000-30)
		}
	}
	t.Logf("%d of %d healthy releases done", done, seeds)
}

// A way back from the middle of a release without a bake: the least favourable moment.
func TestWayBackFromTheMiddle(t *testing.T) {
	w := newWorld(t, disruption.KindServer, 4, 25, 8)
	w.start(serverPlan)
	begun, sent := w.now, int64(0)
	s, err := w.finish(&kill{at: -1}, 20000, func(_ int, s *State) {
		moved := 0
		for i := range s.Units {
			if s.Units[i].Stage == Rest {
				moved++
			}
		}
		if sent == 0 && moved >= 50 {
			sent = w.now
			tell(t, w, CmdBack)
		}
	})
	ratio := float64(w.now-60*tick-sent) / float64(sent-begun)
	t.Logf("%d s forward, %.2f of it back", (sent-begun)/1000, ratio)
	if err != nil || s.Head.Phase != Backed || ratio > 0.6 {
		t.Errorf("%s, %v, %.2f", s.Head.Phase, err, ratio)
	}
}
