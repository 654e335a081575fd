package release

import (
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// What is tolerated where a plan does not say. Shares of requests; restarts of a unit in a second; memory relative. They
// are set so that a wave of a few units at some ten requests a second each passes within a minute or two.
const (
	defaultServedTolerance  = 0.02
	defaultLateTolerance    = 0.02
	defaultFailedTolerance  = 0.01
	defaultLatencyTolerance = 0.06
	defaultRestartTolerance = 0.005
	defaultMemoryTolerance  = 0.3
	defaultFalseAlarmRate   = 0.01
)

// judgeSettings are a judge's settings for one watch of a plan, of so many classes × zones: the plan's false alarms are
// shared among its watches, which are two of each wave, and one more each time that it is widened.
func judgeSettings(releasePlan *plan.Plan, strata int) judge.Settings {
	valueOrDefault := func(value *float64, fallback float64) float64 {
		if value == nil {
			return fallback
		}
		return *value
	}
	guards, analyses := &releasePlan.Guards, 0
	for _, wave := range releasePlan.Waves {
		analyses += 2 + wave.MaxExtraUnits
	}
	return judge.Settings{
		ServedTolerance: valueOrDefault(guards.ServedTolerance, defaultServedTolerance), LateTolerance: valueOrDefault(guards.LateTolerance, defaultLateTolerance), FailedTolerance: valueOrDefault(guards.FailedTolerance, defaultFailedTolerance),
		LatencyTolerance: valueOrDefault(guards.LatencyTolerance, defaultLatencyTolerance), RestartTolerance: valueOrDefault(guards.RestartTolerance, defaultRestartTolerance), MemoryTolerance: valueOrDefault(guards.MemoryTolerance, defaultMemoryTolerance),
		FalseAlarmRate: valueOrDefault(guards.FalseAlarmRate, defaultFalseAlarmRate) / float64(analyses), Strata: strata,
	}
}

// WaveAnalysis is a controller's watch of a release. While a wave goes out it looks for harm alone; once the wave is at rest a
// watch begins anew, so that a pass rests on what all of its units have done. It is soft: a successor begins anew too.
type WaveAnalysis struct {
	strata      int
	judge       *judge.Judge
	wave        int
	bakeStartMS int64
	last        judge.Verdict
}

// NewWaveAnalysis makes a watch of so many classes × zones.
func NewWaveAnalysis(strata int) *WaveAnalysis { return &WaveAnalysis{strata: strata} }

// Add takes an interval in and says how the wave stands.
func (a *WaveAnalysis) Add(state *State, interval judge.Interval) judge.Verdict {
	if a.judge == nil || a.wave != state.Status.Wave || a.bakeStartMS != state.Status.BakeStartMS {
		a.judge, a.wave, a.bakeStartMS = judge.New(judgeSettings(state.Plan, a.strata)), state.Status.Wave, state.Status.BakeStartMS
	}
	a.last = a.judge.Add(interval)
	return a.last
}

// Verdict is the last one, of the wave and bake that the release stands in; none where it has gone on since.
func (a *WaveAnalysis) Verdict(state *State) judge.Verdict {
	if a.judge == nil || a.wave != state.Status.Wave || a.bakeStartMS != state.Status.BakeStartMS {
		return judge.Verdict{}
	}
	if a.bakeStartMS == 0 && a.last.Outcome == judge.Pass {
		return judge.Verdict{Outcome: judge.Inconclusive, Reason: "the wave is still on its way"}
	}
	return a.last
}
