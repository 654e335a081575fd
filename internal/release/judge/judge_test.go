package judge

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

var testSettings = Settings{ServedTolerance: 0.02, LateTolerance: 0.02, FailedTolerance: 0.01, LatencyTolerance: 0.06, RestartTolerance: 0.005, MemoryTolerance: 0.3,
	FalseAlarmRate: 0.01, Strata: 4}

// trafficModel makes intervals of a second: zones a and b, a common class and a rarer one, units that each get rate requests a
// second, log-normal latencies about 20 ms.
type trafficModel struct {
	rng                        *rand.Rand
	canaryUnits, baselineUnits int // in a zone
	rate                       float64
	fault                      func(sec int, zone int) (load, fail, slow float64) // felt by both: factor, added share, factor
	regression                 func(sec int, class string, load float64) (fail, slow float64)
	memoryGrowth, restartRate  float64 // memory a second, and share of the new's units restarting in one
	noise                      float64 // spread of each side's own failures from second to second
	staleBaseline              bool    // planted: the old is as it was without the trouble
}

func (m *trafficModel) binomial(trials int, probability float64) int {
	if probability > 0.5 {
		return trials - m.binomial(trials, 1-probability)
	}
	switch mean := float64(trials) * probability; {
	case trials == 0 || probability <= 0:
		return 0
	case trials < 40:
		hits := 0
		for range trials {
			if m.rng.Float64() < probability {
				hits++
			}
		}
		return hits
	case mean < 15: // Poisson by products of uniform numbers
		hits, product, end := 0, 1.0, math.Exp(-mean)
		for product *= m.rng.Float64(); product > end; product *= m.rng.Float64() {
			hits++
		}
		return min(hits, trials)
	default:
		return min(max(int(math.Round(mean+math.Sqrt(mean*(1-probability))*m.rng.NormFloat64())), 0), trials)
	}
}

func shareBelow(ms, median float64) float64 {
	return 0.5 * math.Erfc(-math.Log(ms/median)/0.5/math.Sqrt2)
}

func (m *trafficModel) counts(units int, share, load, fail, slow float64) Counts {
	requests := m.binomial(int(2*float64(units)*m.rate*share*load)+2, 0.5)
	counts := Counts{Failed: m.binomial(requests, fail*max(0, 1+m.noise*m.rng.NormFloat64())), LatencyHistogram: make([]uint32, 33)}
	counts.Served = requests - counts.Failed
	remaining, shareSoFar := counts.Served, 0.0
	for i, bound := 0, 0.5; i < 32 && remaining > 0; i, bound = i+1, bound*math.Sqrt2 {
		shareBelowBound := shareBelow(bound, 20*slow)
		if probability := (shareBelowBound - shareSoFar) / (1 - shareSoFar); probability > 1e-6 {
			bucket := m.binomial(remaining, probability)
			counts.LatencyHistogram[i] = uint32(bucket)
			remaining -= bucket
		}
		shareSoFar = shareBelowBound
		if bound > 65 { // beyond 64 ms: late
			counts.Late += int(counts.LatencyHistogram[i])
		}
	}
	counts.LatencyHistogram[32] += uint32(remaining)
	counts.Late += remaining
	return counts
}

func (m *trafficModel) interval(second int) Interval {
	interval := Interval{ExpectedReports: 10, ReceivedReports: 10}
	for zoneIndex, zone := range []string{"a", "b"} {
		load, fail, slow := 1.0, 0.0, 1.0
		if m.fault != nil {
			load, fail, slow = m.fault(second, zoneIndex)
		}
		for _, class := range []struct {
			name  string
			share float64
		}{{"lookup", 0.8}, {"simulate", 0.2}} {
			addedFailures, slowdown := 0.0, 1.0
			if m.regression != nil {
				addedFailures, slowdown = m.regression(second, class.name, load)
			}
			sample := ClassSample{Class: class.name, Zone: zone, Canary: m.counts(m.canaryUnits, class.share, load, 0.003+fail+addedFailures, slow*slowdown)}
			if m.staleBaseline {
				sample.Baseline = m.counts(m.baselineUnits, class.share, 1, 0.003, 1)
			} else {
				sample.Baseline = m.counts(m.baselineUnits, class.share, load, 0.003+fail, slow)
			}
			interval.Classes = append(interval.Classes, sample)
		}
		memory := 100 * (1 + 0.02*m.rng.NormFloat64())
		interval.Zones = append(interval.Zones, ZoneSample{zone,
			UnitStats{m.canaryUnits, m.binomial(m.canaryUnits, 0.0002+m.restartRate), memory + m.memoryGrowth*float64(second)},
			UnitStats{m.baselineUnits, m.binomial(m.baselineUnits, 0.0002), 100 * (1 + 0.02*m.rng.NormFloat64())}})
	}
	return interval
}

// run plays up to n seconds, to the first verdict of harm, or of a pass where stop says so.
func (m *trafficModel) run(maxSeconds int, stopAtPass bool) (verdict Verdict, seconds, requests int) {
	watched := New(testSettings)
	for seconds = 1; seconds <= maxSeconds; seconds++ {
		interval := m.interval(seconds)
		for _, sample := range interval.Classes {
			requests += sample.Canary.Served + sample.Canary.Failed
		}
		if verdict = watched.Add(interval); verdict.Outcome == Regression || stopAtPass && verdict.Outcome == Pass {
			return verdict, seconds, requests
		}
	}
	return verdict, maxSeconds, requests
}

// ordinaryFault is a trouble of each kind at some time, felt by both: a zone loses servers, a burst, a choke.
func ordinaryFault(rng *rand.Rand) func(int, int) (float64, float64, float64) {
	kind, from, to, zone, severity := rng.IntN(4), 5+rng.IntN(15), 0, rng.IntN(2), 0.2+0.6*rng.Float64()
	to = from + 5 + rng.IntN(20)
	return func(second, zoneIndex int) (float64, float64, float64) {
		if second < from || second > to {
			return 1, 0, 1
		}
		switch {
		case kind == 0 && zoneIndex == zone: // half of a zone is lost, and the rest is told late
			return 0.6, severity * 0.5, 1.2
		case kind == 0: // the other zone takes its load
			return 1.4, 0.02, 1.3
		case kind == 1: // a burst
			return 1 + 2*severity, 0.1 * severity, 1 + severity
		case kind == 2 && zoneIndex == zone: // a choke
			return 1, 0.3 * severity, 1 + 3*severity
		}
		return 1, 0, 1
	}
}

func TestFalseAlarmRate(t *testing.T) {
	const runs, seconds = 2000, 40
	alarms := 0
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 1))
		model := &trafficModel{rng: rng, canaryUnits: 1 + rng.IntN(4), baselineUnits: 20, rate: 10 + 30*rng.Float64(), fault: ordinaryFault(rng), noise: 0.3}
		if verdict, second, _ := model.run(seconds, false); verdict.Outcome == Regression {
			alarms++
			t.Logf("seed %d, %d s: %s", seed, second, verdict.Reason)
		}
	}
	t.Logf("%d of %d healthy versions halted", alarms, runs)
	if alarms >= runs/100 {
		t.Errorf("%d false alarms of %d, wanted less than 1%%", alarms, runs)
	}
}

// The planted bug: a comparison with the old as it was before finds harm in troubles that both feel.
func TestStaleBaselineIsDetected(t *testing.T) {
	alarms := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		model := &trafficModel{rng: rng, canaryUnits: 2, baselineUnits: 20, rate: 25, fault: ordinaryFault(rng), staleBaseline: true}
		if verdict, _, _ := model.run(40, false); verdict.Outcome == Regression {
			alarms++
		}
	}
	if alarms < 10 {
		t.Errorf("%d of 100 halted: the simulated troubles would not show a judge that compares with the past", alarms)
	}
}

func TestHealthyVersionsPass(t *testing.T) {
	const runs, seconds = 100, 120
	passed, requests, latest := 0, 0, 0
	for seed := range uint64(runs) {
		model := &trafficModel{rng: rand.New(rand.NewPCG(seed, 5)), canaryUnits: 4, baselineUnits: 20, rate: 25}
		if verdict, second, met := model.run(seconds, true); verdict.Outcome == Pass {
			passed++
			requests += met
			latest = max(latest, second)
		}
	}
	t.Logf("%d of %d pass within %d s, in the mean after %d requests at 8 new units", passed, runs, latest, requests/max(passed, 1))
	if passed < runs*95/100 {
		t.Errorf("%d of %d healthy versions passed within %d s", passed, runs, seconds)
	}
}

func TestRegressionsAreDetected(t *testing.T) {
	const runs = 100
	burst := func(second, _ int) (float64, float64, float64) {
		if second%40 >= 25 {
			return 1.8, 0.01, 1.2
		}
		return 1, 0, 1
	}
	for _, c := range []struct {
		name  string
		model trafficModel
		secs  int
	}{
		{"5% fail", trafficModel{regression: func(int, string, float64) (float64, float64) { return 0.05, 1 }}, 120},
		{"one class fails 10%", trafficModel{regression: func(_ int, class string, _ float64) (float64, float64) {
			if class == "simulate" {
				return 0.1, 1
			}
			return 0, 1
		}}, 120},
		{"30% slower under load only", trafficModel{fault: burst, regression: func(_ int, _ string, load float64) (float64, float64) {
			if load > 1 {
				return 0, 1.3
			}
			return 0, 1
		}}, 200},
		{"leak of 1% a second", trafficModel{memoryGrowth: 1}, 120},
		{"restarts every 20 s", trafficModel{restartRate: 0.05}, 300},
	} {
		found, latest, requests := 0, 0, 0
		for seed := range uint64(runs) {
			model := c.model
			model.rng, model.canaryUnits, model.baselineUnits, model.rate, model.noise = rand.New(rand.NewPCG(seed, 2)), 2, 20, 25, 0.3
			if verdict, second, met := model.run(c.secs, false); verdict.Outcome == Regression {
				found++
				latest = max(latest, second)
				requests += met
			}
		}
		t.Logf("%s: %d of %d found within %d s, in the mean after %d requests at 4 new units", c.name, found, runs, latest, requests/max(found, 1))
		if found < runs*95/100 {
			t.Errorf("%s: %d of %d found within %d s", c.name, found, runs, c.secs)
		}
	}
}

func TestRegressionsDoNotPass(t *testing.T) {
	passed := 0
	for seed := range uint64(200) {
		model := &trafficModel{rng: rand.New(rand.NewPCG(seed, 3)), canaryUnits: 2, baselineUnits: 20, rate: 25,
			regression: func(int, string, float64) (float64, float64) { return 0.02, 1 }}
		if verdict, _, _ := model.run(200, true); verdict.Outcome == Pass {
			passed++
		}
	}
	if passed > 2 {
		t.Errorf("%d of 200 versions that fail 2%% passed, tolerated is 1%%", passed)
	}
}

func TestSparseTrafficAndMissingReports(t *testing.T) {
	model := &trafficModel{rng: rand.New(rand.NewPCG(1, 4)), canaryUnits: 1, baselineUnits: 20, rate: 0.02}
	if verdict, _, _ := model.run(100, true); verdict.Outcome != Inconclusive || !strings.Contains(verdict.Reason, "too little traffic") {
		t.Errorf("hardly any traffic: %+v, want wait", verdict)
	}
	watched := New(testSettings)
	model = &trafficModel{rng: rand.New(rand.NewPCG(1, 4)), canaryUnits: 2, baselineUnits: 20, rate: 50}
	verdict := Verdict{}
	for second := range 100 {
		verdict = watched.Add(model.interval(second))
	}
	if verdict.Outcome != Pass {
		t.Fatalf("100 s of a healthy version: %+v, want pass", verdict)
	}
	for i := range noDataIntervals {
		interval := model.interval(101 + i)
		interval.ReceivedReports = 4
		verdict = watched.Add(interval)
		if verdict.Outcome == Pass {
			t.Errorf("passes with %d of 10 reports", interval.ReceivedReports)
		}
	}
	if verdict.Outcome != NoData {
		t.Errorf("%d intervals with 4 of 10 reports: %+v, want silent", noDataIntervals, verdict)
	}
	if verdict = New(testSettings).Add(Interval{}); verdict.Outcome == Pass {
		t.Error("nothing at all passes")
	}
}

// No single interval convicts, however bad: it may be an accident of the servers that it met.
func TestOneIntervalIsNoRegression(t *testing.T) {
	watched := New(testSettings)
	bad := ClassSample{"lookup", "a", Counts{Failed: 10000}, Counts{Served: 100000, LatencyHistogram: []uint32{100000}}}
	for i := range 4 {
		if verdict := watched.Add(Interval{ExpectedReports: 1, ReceivedReports: 1, Classes: []ClassSample{bad}}); verdict.Outcome == Regression {
			t.Errorf("halted by %d intervals", i+1)
		}
	}
}
