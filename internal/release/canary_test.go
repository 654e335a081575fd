package release

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
)

const canaryPlan = `name = "r"
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

// regression describes how a version is worse than the previous one.
type regression struct {
	name          string
	addedFailures [2]float64 // added share of failed requests, by class
	slowUnderLoad bool       // while the load is high, twice as many responses are slow
	memoryGrowth  float64    // per second, relative to the previous version's memory
	restartRate   float64    // share of the version's units that restart per second
}

var regressions = []regression{
	{name: "5% fail", addedFailures: [2]float64{0.05, 0.05}},
	{name: "one class fails", addedFailures: [2]float64{0, 0.1}},
	{name: "slower under load", slowUnderLoad: true},
	{name: "leaks", memoryGrowth: 0.01},
	{name: "restarts", restartRate: 0.05},
}

// The sides of a comparison.
const (
	baselineSide = iota
	canarySide
)

// The model's classes of requests, and their requests per second and unit.
var (
	modelClasses    = [2]string{"lookup", "simulate"}
	modelClassRates = [2]float64{40, 10}
)

// trafficModel generates the counts that a fleet reports, from the state of the units in a cluster model.
type trafficModel struct {
	rng        *rand.Rand
	model      *clusterModel
	regression regression
	analysis   *WaveAnalysis
	ticks      int
}

func (m *trafficModel) verdict(state *State) judge.Verdict {
	if m.analysis == nil {
		m.analysis = NewWaveAnalysis(8)
	}
	if m.ticks++; m.ticks%2 == 1 { // a tick is half a second, an interval one second
		m.analysis.Add(state, m.interval())
	}
	return m.analysis.Verdict(state)
}

// conditions affect the requests of an interval, whichever version they go to.
type conditions struct {
	load        float64 // multiplies the rate of requests
	failureRate float64
	slowRate    float64
}

// conditions returns the present conditions: periods of high load, and from time to time a fault that affects both
// versions alike.
func (m *trafficModel) conditions() conditions {
	seconds := m.model.nowMS / 1000
	now := conditions{load: 1, failureRate: 0.003, slowRate: 0.18}
	if seconds%50 >= 30 {
		now.load = 1.6
		now.slowRate = 0.25
	}
	if seconds%170 >= 150 {
		now.failureRate = 0.1
	}
	return now
}

func (m *trafficModel) interval() judge.Interval {
	interval := judge.Interval{ExpectedReports: 1, ReceivedReports: 1}
	now := m.conditions()
	serving := m.servingUnits()
	for _, zone := range []string{"a", "b", "c", "d"} {
		stats := m.unitStats(serving[zone])
		interval.Zones = append(interval.Zones, judge.ZoneSample{
			Zone: zone, Canary: stats[canarySide], Baseline: stats[baselineSide],
		})
		for class, name := range modelClasses {
			interval.Classes = append(interval.Classes, judge.ClassSample{
				Class: name, Zone: zone,
				Canary:   m.counts(now, class, canarySide, stats[canarySide].Units),
				Baseline: m.counts(now, class, baselineSide, stats[baselineSide].Units),
			})
		}
	}
	return interval
}

// servingUnits returns the units that actually serve, by zone and side.
func (m *trafficModel) servingUnits() map[string]*[2][]*unitModel {
	zones := map[string]*[2][]*unitModel{}
	for _, id := range m.model.ids {
		unit := m.model.units[id]
		if zones[unit.unit.Zone] == nil {
			zones[unit.unit.Zone] = &[2][]*unitModel{}
		}
		if !m.model.serves(unit) {
			continue
		}
		side := baselineSide
		if unit.version == "2" {
			side = canarySide
		}
		zones[unit.unit.Zone][side] = append(zones[unit.unit.Zone][side], unit)
	}
	return zones
}

func (m *trafficModel) unitStats(sides *[2][]*unitModel) (stats [2]judge.UnitStats) {
	for side, units := range sides {
		stats[side] = judge.UnitStats{Units: len(units), MeanMemory: 100 * (1 + 0.02*m.rng.NormFloat64())}
		if side == baselineSide {
			continue
		}
		meanAge := 0.0
		for _, unit := range units {
			meanAge += float64(m.model.nowMS-unit.bootMS) / 1000 / float64(len(units))
		}
		stats[side].MeanMemory += 100 * m.regression.memoryGrowth * meanAge
		stats[side].Restarts = m.binomial(len(units), m.regression.restartRate)
	}
	return stats
}

func (m *trafficModel) counts(now conditions, class, side, units int) judge.Counts {
	if side == canarySide {
		now.failureRate += m.regression.addedFailures[class]
		if m.regression.slowUnderLoad && now.load > 1 {
			now.slowRate += 0.18
		}
	}
	requests := m.binomial(int(float64(units)*now.load*modelClassRates[class])*2, 0.5)
	failed := m.binomial(requests, now.failureRate)
	served := requests - failed
	slow := m.binomial(served, now.slowRate)
	medium := m.binomial(served-slow, 0.25)
	return judge.Counts{
		Served: served, Late: m.binomial(served, 0.01), Failed: failed,
		LatencyHistogram: []uint32{uint32(served - slow - medium), uint32(medium), uint32(slow)},
	}
}

// binomial draws a number from a binomial distribution: exactly if few hits are expected, otherwise by the normal
// approximation.
func (m *trafficModel) binomial(trials int, probability float64) int {
	mean := float64(trials) * probability
	if trials < 60 || mean < 15 {
		hits := 0
		for range trials {
			if m.rng.Float64() < probability {
				hits++
			}
		}
		return hits
	}
	return min(max(int(math.Round(mean+math.Sqrt(mean*(1-probability))*m.rng.NormFloat64())), 0), trials)
}

// Guards against a regression that spreads over the fleet before the release halts, and against a slow rollback. The fleet
// has 100 units in four zones. docs/release.md has figures of -seeds 200.
func TestRegressionsAreStoppedEarly(t *testing.T) {
	seeds := *seedsFlag
	early := uint64(0)
	var ratios, shares []float64
	for seed := range seeds {
		tested := regressions[seed%uint64(len(regressions))]
		model := newClusterModel(t, disruption.KindServer, 4, 25, 8)
		traffic := &trafficModel{rng: rand.New(rand.NewPCG(seed, 9)), model: model, regression: tested}
		model.verdict = traffic.verdict
		model.startRelease(canaryPlan)
		startedMS, haltedMS := model.nowMS, int64(0)
		state, err := model.runToEnd(noCrash(), 20000, func(_ int, state *State) {
			if state.Status.Phase == PhaseRollback && haltedMS == 0 {
				haltedMS = model.nowMS
			}
		})
		endedMS := model.nowMS - settleTicks*tickMS
		share := float64(model.launchesOf("2")) / float64(len(model.ids))
		shares = append(shares, share)
		switch {
		case err != nil:
			t.Errorf("seed %d, %s: %v", seed, tested.name, err)
		case state.Status.Phase != PhaseRolledBack:
			t.Logf("seed %d, %s: %s with %.0f%%", seed, tested.name, state.Status.Phase, 100*share)
		default:
			if share < 0.1 {
				early++
			}
			ratios = append(ratios, float64(endedMS-haltedMS)/float64(haltedMS-startedMS))
		}
	}
	slices.Sort(shares)
	slices.Sort(ratios)
	t.Logf("%d of %d rolled back under a tenth of the fleet (maximum %.2f); duration of rollback / rollout: median %.2f, worst %.2f",
		early, seeds, shares[len(shares)-1], ratios[len(ratios)/2], ratios[len(ratios)-1])
	if float64(early) < 0.95*float64(seeds) {
		t.Errorf("%d of %d regressions were rolled back under a tenth of the fleet, want 95%%", early, seeds)
	}
	if worst := ratios[len(ratios)-1]; worst > 0.5 {
		t.Errorf("a rollback took %.2f of the time of its rollout, want at most 0.5", worst)
	}
}

func TestHealthyReleasesComplete(t *testing.T) {
	seeds := *seedsFlag
	completed := uint64(0)
	for seed := range seeds {
		model := newClusterModel(t, disruption.KindServer, 4, 25, 8)
		traffic := &trafficModel{rng: rand.New(rand.NewPCG(seed, 11)), model: model}
		model.verdict = traffic.verdict
		model.startRelease(canaryPlan)
		startedMS := model.nowMS
		state, err := model.runToEnd(noCrash(), 20000, nil)
		if err != nil || state.Status.Phase != PhaseCompleted {
			t.Errorf("seed %d: %s, %v: %s", seed, state.Status.Phase, err, state.Status.HaltReason)
			continue
		}
		completed++
		if seed == 0 {
			t.Logf("100 units in %d s", (model.nowMS-startedMS-settleTicks*tickMS)/1000)
		}
	}
	t.Logf("%d of %d healthy releases completed", completed, seeds)
}

// Guards against a slow rollback from the least favourable moment: half of the units are updated, and only one bake of 5 s
// has extended the rollout.
func TestRollbackFromTheMiddle(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 4, 25, 8)
	model.startRelease(serverPlan)
	startedMS, rollbackMS := model.nowMS, int64(0)
	state, err := model.runToEnd(noCrash(), 20000, func(_ int, state *State) {
		if rollbackMS == 0 && unitsAt(state, StageConverged) >= 50 {
			rollbackMS = model.nowMS
			sendCommand(t, model, ActionRollback)
		}
	})
	ratio := float64(model.nowMS-settleTicks*tickMS-rollbackMS) / float64(rollbackMS-startedMS)
	t.Logf("rollout took %d s, rollback %.2f of that", (rollbackMS-startedMS)/1000, ratio)
	if err != nil || state.Status.Phase != PhaseRolledBack || ratio > 0.6 {
		t.Errorf("phase %s, error %v, rollback took %.2f of the rollout; want at most 0.6", state.Status.Phase, err, ratio)
	}
}
