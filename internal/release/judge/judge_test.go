package judge

import (
	"math/rand/v2"
	"strings"
	"testing"
)

var testSettings = Settings{
	ServedTolerance:  0.02,
	LateTolerance:    0.02,
	FailedTolerance:  0.01,
	LatencyTolerance: 0.06,
	RestartTolerance: 0.005,
	MemoryTolerance:  0.3,
	FalseAlarmRate:   0.01,
	Strata:           4,
}

// Guards against false alarms: while random faults affect both versions, less than 1% of healthy versions may be reported as
// regressions.
func TestFalseAlarmRate(t *testing.T) {
	const runs, seconds = 2000, 40
	alarms := 0
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 1))
		model := &trafficModel{rng: rng, baselineUnits: 20, failureRateNoise: 0.3}
		model.canaryUnits = 1 + rng.IntN(4)
		model.rate = 10 + 30*rng.Float64()
		model.fault = randomFault(rng)
		if verdict, second, _ := model.run(seconds, false); verdict.Outcome == Regression {
			alarms++
			t.Logf("seed %d, %d s: %s", seed, second, verdict.Reason)
		}
	}
	t.Logf("%d of %d healthy versions reported as regressions", alarms, runs)
	if alarms >= runs/100 {
		t.Errorf("%d false alarms in %d runs, want less than 1%%", alarms, runs)
	}
}

// Guards against modelled faults too weak for TestFalseAlarmRate to detect anything: with the injected defect of a baseline that
// predates a fault of both versions, the judge has to report regressions.
func TestStaleBaselineIsDetected(t *testing.T) {
	alarms := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		model := &trafficModel{rng: rng, canaryUnits: 2, baselineUnits: 20, rate: 25, staleBaseline: true}
		model.fault = randomFault(rng)
		if verdict, _, _ := model.run(40, false); verdict.Outcome == Regression {
			alarms++
		}
	}
	if alarms < 10 {
		t.Errorf("%d of 100 reported as regressions, want 10 or more: the modelled faults do not reveal a stale baseline", alarms)
	}
}

func TestHealthyVersionsPass(t *testing.T) {
	const runs, seconds = 100, 120
	passed, requests, latest := 0, 0, 0
	for seed := range uint64(runs) {
		model := &trafficModel{rng: rand.New(rand.NewPCG(seed, 5)), canaryUnits: 4, baselineUnits: 20, rate: 25}
		if verdict, second, requestCount := model.run(seconds, true); verdict.Outcome == Pass {
			passed++
			requests += requestCount
			latest = max(latest, second)
		}
	}
	t.Logf("%d of %d pass within %d s, after a mean of %d requests to 8 canary units",
		passed, runs, latest, requests/max(passed, 1))
	if passed < runs*95/100 {
		t.Errorf("%d of %d healthy versions passed within %d s", passed, runs, seconds)
	}
}

func TestRegressionsAreDetected(t *testing.T) {
	const runs = 100
	burst := func(second, _ int) effect {
		if second%40 >= 25 {
			return effect{loadFactor: 1.8, addedFailureRate: 0.01, latencyFactor: 1.2}
		}
		return noEffect
	}
	someFail := func(int, string, float64) effect {
		return effect{loadFactor: 1, addedFailureRate: 0.05, latencyFactor: 1}
	}
	oneClassFails := func(_ int, class string, _ float64) effect {
		if class == "simulate" {
			return effect{loadFactor: 1, addedFailureRate: 0.1, latencyFactor: 1}
		}
		return noEffect
	}
	slowUnderLoad := func(_ int, _ string, load float64) effect {
		if load > 1 {
			return effect{loadFactor: 1, addedFailureRate: 0, latencyFactor: 1.3}
		}
		return noEffect
	}
	for _, c := range []struct {
		name    string
		model   trafficModel
		seconds int
	}{
		{"5% fail", trafficModel{regression: someFail}, 120},
		{"one class fails 10%", trafficModel{regression: oneClassFails}, 120},
		{"30% slower under load only", trafficModel{fault: burst, regression: slowUnderLoad}, 200},
		{"leak of 1% a second", trafficModel{memoryGrowth: 1}, 120},
		{"restarts every 20 s", trafficModel{restartRate: 0.05}, 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			detected, latest, requests := 0, 0, 0
			for seed := range uint64(runs) {
				model := c.model
				model.rng = rand.New(rand.NewPCG(seed, 2))
				model.canaryUnits = 2
				model.baselineUnits = 20
				model.rate = 25
				model.failureRateNoise = 0.3
				if verdict, second, requestCount := model.run(c.seconds, false); verdict.Outcome == Regression {
					detected++
					latest = max(latest, second)
					requests += requestCount
				}
			}
			t.Logf("%d of %d detected within %d s, after a mean of %d requests to 4 canary units",
				detected, runs, latest, requests/max(detected, 1))
			if detected < runs*95/100 {
				t.Errorf("%d of %d detected within %d s", detected, runs, c.seconds)
			}
		})
	}
}

func TestRegressionsDoNotPass(t *testing.T) {
	passed := 0
	for seed := range uint64(200) {
		model := &trafficModel{rng: rand.New(rand.NewPCG(seed, 3)), canaryUnits: 2, baselineUnits: 20, rate: 25}
		model.regression = func(int, string, float64) effect {
			return effect{loadFactor: 1, addedFailureRate: 0.02, latencyFactor: 1}
		}
		if verdict, _, _ := model.run(200, true); verdict.Outcome == Pass {
			passed++
		}
	}
	if passed > 2 {
		t.Errorf("%d of 200 versions that fail 2%% of requests passed, want at most 1%%", passed)
	}
}

func TestSparseTrafficAndMissingReports(t *testing.T) {
	model := &trafficModel{rng: rand.New(rand.NewPCG(1, 4)), canaryUnits: 1, baselineUnits: 20, rate: 0.02}
	verdict, _, _ := model.run(100, true)
	if verdict.Outcome != Inconclusive || !strings.Contains(verdict.Reason, "too little traffic") {
		t.Errorf("sparse traffic: %+v, want inconclusive", verdict)
	}
	judge := New(testSettings)
	model = &trafficModel{rng: rand.New(rand.NewPCG(1, 4)), canaryUnits: 2, baselineUnits: 20, rate: 50}
	for second := range 100 {
		verdict = judge.Add(model.drawInterval(second))
	}
	if verdict.Outcome != Pass {
		t.Fatalf("100 s of a healthy version: %+v, want pass", verdict)
	}
	for i := range noDataIntervals {
		interval := model.drawInterval(101 + i)
		interval.ReceivedReports = 4
		verdict = judge.Add(interval)
		if verdict.Outcome == Pass {
			t.Errorf("pass with %d of 10 reports", interval.ReceivedReports)
		}
	}
	if verdict.Outcome != NoData {
		t.Errorf("%d intervals with 4 of 10 reports: %+v, want no data", noDataIntervals, verdict)
	}
	if verdict = New(testSettings).Add(Interval{}); verdict.Outcome == Pass {
		t.Error("an empty interval passes")
	}
}

// Guards against a halt by chance: one interval, and even four, show no regression, however bad their counts, because
// chance may decide which servers the requests of an interval reach.
func TestOneIntervalIsNoRegression(t *testing.T) {
	judge := New(testSettings)
	bad := ClassSample{
		Class: "lookup", Zone: "a",
		Canary:   Counts{Failed: 10000},
		Baseline: Counts{Served: 100000, LatencyHistogram: []uint32{100000}},
	}
	for i := range 4 {
		verdict := judge.Add(Interval{ExpectedReports: 1, ReceivedReports: 1, Classes: []ClassSample{bad}})
		if verdict.Outcome == Regression {
			t.Errorf("regression reported after %d intervals", i+1)
		}
	}
}
