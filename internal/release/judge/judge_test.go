package judge

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

var tolerated = Settings{Served: 0.02, Late: 0.02, Failed: 0.01, Latency: 0.06, Restarts: 0.005, Memory: 0.3,
	FalseAlarms: 0.01, Strata: 4}

// world makes intervals of a second: zones a and b, a common class and a rarer one, units that each get rate requests a
// second, log-normal latencies about 20 ms.
type world struct {
	r              *rand.Rand
	newUnits, old  int // in a zone
	rate           float64
	trouble        func(sec int, zone int) (load, fail, slow float64) // felt by both: factor, added share, factor
	harm           func(sec int, class string, load float64) (fail, slow float64)
	leak, restarts float64 // memory a second, and share of the new's units restarting in one
	noise          float64 // spread of each side's own failures from second to second
	yesterday      bool    // planted: the old is as it was without the trouble
}

func (w *world) binomial(n int, p float64) int {
	if p > 0.5 {
		return n - w.binomial(n, 1-p)
	}
	switch mean := float64(n) * p; {
	case n == 0 || p <= 0:
		return 0
	case n < 40:
		k := 0
		for range n {
			if w.r.Float64() < p {
				k++
			}
		}
		return k
	case mean < 15: // Poisson by products of uniform numbers
		k, at, end := 0, 1.0, math.Exp(-mean)
		for at *= w.r.Float64(); at > end; at *= w.r.Float64() {
			k++
		}
		return min(k, n)
	default:
		return min(max(int(math.Round(mean+math.Sqrt(mean*(1-p))*w.r.NormFloat64())), 0), n)
	}
}

func below(ms, median float64) float64 {
	return 0.5 * math.Erfc(-math.Log(ms/median)/0.5/math.Sqrt2)
}

func (w *world) counts(units int, share, load, fail, slow float64) Counts {
	n := w.binomial(int(2*float64(units)*w.rate*share*load)+2, 0.5)
	c := Counts{Failed: w.binomial(n, fail*max(0, 1+w.noise*w.r.NormFloat64())), Latency: make([]uint32, 33)}
	c.Served = n - c.Failed
	left, under := c.Served, 0.0
	for i, bound := 0, 0.5; i < 32 && left > 0; i, bound = i+1, bound*math.Sqrt2 {
		upTo := below(bound, 20*slow)
		if p := (upTo - under) / (1 - under); p > 1e-6 {
			k := w.binomial(left, p)
			c.Latency[i] = uint32(k)
			left -= k
		}
		under = upTo
		if bound > 65 { // beyond 64 ms: late
			c.Late += int(c.Latency[i])
		}
	}
	c.Latency[32] += uint32(left)
	c.Late += left
	return c
}

func (w *world) interval(sec int) Interval {
	in := Interval{Expected: 10, Reports: 10}
	for z, zone := range []string{"a", "b"} {
		load, fail, slow := 1.0, 0.0, 1.0
		if w.trouble != nil {
			load, fail, slow = w.trouble(sec, z)
		}
		for _, c := range []struct {
			name  string
			share float64
		}{{"lookup", 0.8}, {"simulate", 0.2}} {
			hf, hs := 0.0, 1.0
			if w.harm != nil {
				hf, hs = w.harm(sec, c.name, load)
			}
			p := Pair{Class: c.name, Zone: zone, New: w.counts(w.newUnits, c.share, load, 0.003+fail+hf, slow*hs)}
			if w.yesterday {
				p.Old = w.counts(w.old, c.share, 1, 0.003, 1)
			} else {
				p.Old = w.counts(w.old, c.share, load, 0.003+fail, slow)
			}
			in.Pairs = append(in.Pairs, p)
		}
		memory := 100 * (1 + 0.02*w.r.NormFloat64())
		in.Zones = append(in.Zones, ZonePair{zone,
			Side{w.newUnits, w.binomial(w.newUnits, 0.0002+w.restarts), memory + w.leak*float64(sec)},
			Side{w.old, w.binomial(w.old, 0.0002), 100 * (1 + 0.02*w.r.NormFloat64())}})
	}
	return in
}

// run plays up to n seconds, to the first verdict of harm, or of a pass where stop says so.
func (w *world) run(n int, stop bool) (v Verdict, secs, requests int) {
	j := New(tolerated)
	for secs = 1; secs <= n; secs++ {
		in := w.interval(secs)
		for _, p := range in.Pairs {
			requests += p.New.Served + p.New.Failed
		}
		if v = j.Add(in); v.Kind == Harm || stop && v.Kind == Pass {
			return v, secs, requests
		}
	}
	return v, n, requests
}

// ordinary is a trouble of each kind at some time, felt by both: a zone loses servers, a burst, a choke.
func ordinary(r *rand.Rand) func(int, int) (float64, float64, float64) {
	kind, from, to, zone, much := r.IntN(4), 5+r.IntN(15), 0, r.IntN(2), 0.2+0.6*r.Float64()
	to = from + 5 + r.IntN(20)
	return func(sec, z int) (float64, float64, float64) {
		if sec < from || sec > to {
			return 1, 0, 1
		}
		switch {
		case kind == 0 && z == zone: // half of a zone is lost, and the rest is told late
			return 0.6, much * 0.5, 1.2
		case kind == 0: // the other zone takes its load
			return 1.4, 0.02, 1.3
		case kind == 1: // a burst
			return 1 + 2*much, 0.1 * much, 1 + much
		case kind == 2 && z == zone: // a choke
			return 1, 0.3 * much, 1 + 3*much
		}
		return 1, 0, 1
	}
}

func TestHealthyVersionsAreSeldomHalted(t *testing.T) {
	const runs, secs = 2000, 40
	alarms := 0
	for seed := range uint64(runs) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := &world{r: r, newUnits: 1 + r.IntN(4), old: 20, rate: 10 + 30*r.Float64(), trouble: ordinary(r), noise: 0.3}
		if v, at, _ := w.run(secs, false); v.Kind == Harm {
			alarms++
			t.Logf("seed %d, %d s: %s", seed, at, v.Why)
		}
	}
	t.Logf("%d of %d healthy versions halted", alarms, runs)
	if alarms >= runs/100 {
		t.Errorf("%d false alarms of %d, wanted less than 1%%", alarms, runs)
	}
}

// The planted bug: a comparison with the old as it was before finds harm in troubles that both feel.
func TestComparingWithThePastIsFound(t *testing.T) {
	alarms := 0
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := &world{r: r, newUnits: 2, old: 20, rate: 25, trouble: ordinary(r), yesterday: true}
		if v, _, _ := w.run(40, false); v.Kind == Harm {
			alarms++
		}
	}
	if alarms < 10 {
		t.Errorf("%d of 100 halted: the simulated troubles would not show a judge that compares with the past", alarms)
	}
}

func TestHealthyVersionsPass(t *testing.T) {
	const runs, secs = 100, 120
	passed, requests, last := 0, 0, 0
	for seed := range uint64(runs) {
		w := &world{r: rand.New(rand.NewPCG(seed, 5)), newUnits: 4, old: 20, rate: 25}
		if v, at, n := w.run(secs, true); v.Kind == Pass {
			passed++
			requests += n
			last = max(last, at)
		}
	}
	t.Logf("%d of %d pass within %d s, in the mean after %d requests at 8 new units", passed, runs, last, requests/max(passed, 1))
	if passed < runs*95/100 {
		t.Errorf("%d of %d healthy versions passed within %d s", passed, runs, secs)
	}
}

func TestHarmIsFound(t *testing.T) {
	const runs = 100
	burst := func(sec, _ int) (float64, float64, float64) {
		if sec%40 >= 25 {
			return 1.8, 0.01, 1.2
		}
		return 1, 0, 1
	}
	for _, c := range []struct {
		name string
		w    world
		secs int
	}{
		{"5% fail", world{harm: func(int, string, float64) (float64, float64) { return 0.05, 1 }}, 120},
		{"one class fails 10%", world{harm: func(_ int, class string, _ float64) (float64, float64) {
			if class == "simulate" {
				return 0.1, 1
			}
			return 0, 1
		}}, 120},
		{"30% slower under load only", world{trouble: burst, harm: func(_ int, _ string, load float64) (float64, float64) {
			if load > 1 {
				return 0, 1.3
			}
			return 0, 1
		}}, 200},
		{"leak of 1% a second", world{leak: 1}, 120},
		{"restarts every 20 s", world{restarts: 0.05}, 300},
	} {
		found, most, requests := 0, 0, 0
		for seed := range uint64(runs) {
			w := c.w
			w.r, w.newUnits, w.old, w.rate, w.noise = rand.New(rand.NewPCG(seed, 2)), 2, 20, 25, 0.3
			if v, at, n := w.run(c.secs, false); v.Kind == Harm {
				found++
				most = max(most, at)
				requests += n
			}
		}
		t.Logf("%s: %d of %d found within %d s, in the mean after %d requests at 4 new units", c.name, found, runs, most, requests/max(found, 1))
		if found < runs*95/100 {
			t.Errorf("%s: %d of %d found within %d s", c.name, found, runs, c.secs)
		}
	}
}

func TestHarmfulVersionsDoNotPass(t *testing.T) {
	passed := 0
	for seed := range uint64(200) {
		w := &world{r: rand.New(rand.NewPCG(seed, 3)), newUnits: 2, old: 20, rate: 25,
			harm: func(int, string, float64) (float64, float64) { return 0.02, 1 }}
		if v, _, _ := w.run(200, true); v.Kind == Pass {
			passed++
		}
	}
	if passed > 2 {
		t.Errorf("%d of 200 versions that fail 2%% passed, tolerated is 1%%", passed)
	}
}

func TestTooLittleIsNoPassAndSilenceHolds(t *testing.T) {
	w := &world{r: rand.New(rand.NewPCG(1, 4)), newUnits: 1, old: 20, rate: 0.02}
	if v, _, _ := w.run(100, true); v.Kind != Wait || !strings.Contains(v.Why, "too little traffic") {
		t.Errorf("hardly any traffic: %+v, want wait", v)
	}
	j := New(tolerated)
	w = &world{r: rand.New(rand.NewPCG(1, 4)), newUnits: 2, old: 20, rate: 50}
	v := Verdict{}
	for sec := range 100 {
		v = j.Add(w.interval(sec))
	}
	if v.Kind != Pass {
		t.Fatalf("100 s of a healthy version: %+v, want pass", v)
	}
	for i := range silentRow {
		in := w.interval(101 + i)
		in.Reports = 4
		v = j.Add(in)
		if v.Kind == Pass {
			t.Errorf("passes with %d of 10 reports", in.Reports)
		}
	}
	if v.Kind != Silent {
		t.Errorf("%d intervals with 4 of 10 reports: %+v, want silent", silentRow, v)
	}
	if v = New(tolerated).Add(Interval{}); v.Kind == Pass {
		t.Error("nothing at all passes")
	}
}

// No single interval convicts, however bad: it may be an accident of the servers that it met.
func TestOneIntervalIsNoHarm(t *testing.T) {
	j := New(tolerated)
	bad := Pair{"lookup", "a", Counts{Failed: 10000}, Counts{Served: 100000, Latency: []uint32{100000}}}
	for i := range 4 {
		if v := j.Add(Interval{Expected: 1, Reports: 1, Pairs: []Pair{bad}}); v.Kind == Harm {
			t.Errorf("halted by %d intervals", i+1)
		}
	}
}
