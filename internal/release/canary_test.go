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

// regression is how a version is worse than the one before.
type regression struct {
	name          string
	addedFailures [2]float64 // added share of failures, of the common class and of the rarer one
	slowUnderLoad bool       // 0.18 of the answers lie beyond a bound, 0.36 on it, while the load is high
	memoryGrowth  float64    // share of memory a second
	restartRate   float64    // share of its units that restart in a second
}

var regressions = []regression{
	{name: "5% fail", addedFailures: [2]float64{0.05, 0.05}},
	{name: "one class fails", addedFailures: [2]float64{0, 0.1}},
	{name: "slower under load", slowUnderLoad: true},
	{name: "leaks", memoryGrowth: 0.01},
	{name: "restarts", restartRate: 0.05},
}

// trafficModel makes the counts of a fleet whose units run as the world says.
type trafficModel struct {
	rng        *rand.Rand
	model      *clusterModel
	regression regression
	analysis   *WaveAnalysis
	calls      int
}

func (m *trafficModel) verdict(state *State) judge.Verdict {
	if m.analysis == nil {
		m.analysis = NewWaveAnalysis(8)
	}
	if m.calls++; m.calls%2 == 1 { // a tick is half a second
		m.analysis.Add(state, m.interval())
	}
	return m.analysis.Verdict(state)
}

func (m *trafficModel) interval() judge.Interval {
	interval := judge.Interval{ExpectedReports: 1, ReceivedReports: 1}
	seconds := m.model.nowMS / 1000
	load, fail, slow := 1.0, 0.003, 0.18
	if seconds%50 >= 30 {
		load, slow = 1.6, 0.25
	}
	if seconds%170 >= 150 { // an ordinary trouble, felt by all
		fail = 0.1
	}
	zones := map[string]*[2][]*unitModel{}
	for _, id := range m.model.ids {
		unit := m.model.units[id]
		if zones[unit.unit.Zone] == nil {
			zones[unit.unit.Zone] = &[2][]*unitModel{}
		}
		if m.model.serves(unit) {
			side := 0
			if unit.version == "2" {
				side = 1
			}
			zones[unit.unit.Zone][side] = append(zones[unit.unit.Zone][side], unit)
		}
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
		var sides [2]judge.UnitStats
		for side, units := range zones[zone] {
			sides[side] = judge.UnitStats{Units: len(units), MeanMemory: 100 * (1 + 0.02*m.rng.NormFloat64())}
			meanAge := 0.0
			for _, unit := range units {
				meanAge += float64(m.model.nowMS-unit.bootMS) / 1000 / float64(len(units))
			}
			if side == 1 {
				sides[1].MeanMemory += 100 * m.regression.memoryGrowth * meanAge
				sides[1].Restarts = m.binomial(len(units), m.regression.restartRate)
			}
		}
		interval.Zones = append(interval.Zones, judge.ZoneSample{Zone: zone, Canary: sides[1], Baseline: sides[0]})
		for classIndex, class := range []string{"lookup", "simulate"} {
			counts := func(side int) judge.Counts {
				failureRate, slowRate := fail, slow
				if side == 1 {
					failureRate += m.regression.addedFailures[classIndex]
					if m.regression.slowUnderLoad && load > 1 {
						slowRate += 0.18
					}
				}
				requests := m.binomial(int(float64(sides[side].Units)*load*[]float64{40, 10}[classIndex])*2, 0.5)
				failed := m.binomial(requests, failureRate)
				served := requests - failed
				far := m.binomial(served, slowRate)
				near := m.binomial(served-far, 0.25)
				return judge.Counts{Served: served, Late: m.binomial(served, 0.01), Failed: failed,
					LatencyHistogram: []uint32{uint32(served - far - near), uint32(near), uint32(far)}}
			}
			interval.Classes = append(interval.Classes, judge.ClassSample{Class: class, Zone: zone, Canary: counts(1), Baseline: counts(0)})
		}
	}
	return interval
}

// binomial is a binomial number: exact where few are expected, else by the normal law.
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

// The figures of a release with its judge: how much of the fleet a harmful version meets, and how long the way back takes.
// 100 units in four zones; -seeds 200 gives the figures that are told.
func TestRegressionsAreStoppedEarly(t *testing.T) {
	seeds := *seedsFlag
	early, ratios, shares := uint64(0), []float64{}, []float64{}
	for seed := range seeds {
		model := newClusterModel(t, disruption.KindServer, 4, 25, 8)
		traffic := &trafficModel{rng: rand.New(rand.NewPCG(seed, 9)), model: model, regression: regressions[seed%uint64(len(regressions))]}
		model.verdict = traffic.verdict
		model.startRelease(canaryPlan)
		startedMS, haltedMS := model.nowMS, int64(0)
		state, err := model.runToEnd(&crash{effectIndex: -1}, 20000, func(_ int, state *State) {
			if state.Status.Phase == PhaseRollback && haltedMS == 0 {
				haltedMS = model.nowMS
			}
		})
		endedMS := model.nowMS - 60*tickMS // finish has let some time pass
		updated := 0
		for launch := range model.launches {
			if launch[len(launch)-2:] == " 2" {
				updated++
			}
		}
		share := float64(updated) / float64(len(model.ids))
		shares = append(shares, share)
		switch {
		case err != nil:
			t.Errorf("seed %d, %s: %v", seed, traffic.regression.name, err)
		case state.Status.Phase != PhaseRolledBack:
			t.Logf("seed %d, %s: %s with %.0f%%", seed, traffic.regression.name, state.Status.Phase, 100*share)
		default:
			if share < 0.1 {
				early++
			}
			ratios = append(ratios, float64(endedMS-haltedMS)/float64(haltedMS-startedMS))
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

func TestHealthyReleasesComplete(t *testing.T) {
	seeds := *seedsFlag
	completed := uint64(0)
	for seed := range seeds {
		model := newClusterModel(t, disruption.KindServer, 4, 25, 8)
		traffic := &trafficModel{rng: rand.New(rand.NewPCG(seed, 11)), model: model}
		model.verdict = traffic.verdict
		model.startRelease(canaryPlan)
		startedMS := model.nowMS
		state, err := model.runToEnd(&crash{effectIndex: -1}, 20000, nil)
		if err != nil || state.Status.Phase != PhaseCompleted {
			t.Errorf("seed %d: %s, %v: %s", seed, state.Status.Phase, err, state.Status.HaltReason)
			continue
		}
		completed++
		if seed == 0 {
			t.Logf("100 units in %d s", (model.nowMS-startedMS)/1000-30)
		}
	}
	t.Logf("%d of %d healthy releases done", completed, seeds)
}

// A way back from the middle of a release without a bake: the least favourable moment.
func TestRollbackFromTheMiddle(t *testing.T) {
	model := newClusterModel(t, disruption.KindServer, 4, 25, 8)
	model.startRelease(serverPlan)
	startedMS, rollbackMS := model.nowMS, int64(0)
	state, err := model.runToEnd(&crash{effectIndex: -1}, 20000, func(_ int, state *State) {
		updated := 0
		for i := range state.Units {
			if state.Units[i].Stage == StageConverged {
				updated++
			}
		}
		if rollbackMS == 0 && updated >= 50 {
			rollbackMS = model.nowMS
			sendCommand(t, model, CommandRollback)
		}
	})
	ratio := float64(model.nowMS-60*tickMS-rollbackMS) / float64(rollbackMS-startedMS)
	t.Logf("%d s forward, %.2f of it back", (rollbackMS-startedMS)/1000, ratio)
	if err != nil || state.Status.Phase != PhaseRolledBack || ratio > 0.6 {
		t.Errorf("%s, %v, %.2f", state.Status.Phase, err, ratio)
	}
}
