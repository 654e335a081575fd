package release

import (
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// Tolerances where a plan sets none: shares of requests, restarts of a unit in a second, memory relative to the previous
// version. With them a wave of a few units passes within a minute or two at some ten requests a second each.
const (
	defaultServedTolerance  = 0.02
	defaultLateTolerance    = 0.02
	defaultFailedTolerance  = 0.01
	defaultLatencyTolerance = 0.06
	defaultRestartTolerance = 0.005
	defaultMemoryTolerance  = 0.3
	defaultFalseAlarmRate   = 0.01
)

// analysesPerWave is how many analyses a wave has, besides one more for each unit that extends it: one while its units are
// updated, one while it bakes.
const analysesPerWave = 2

// judgeSettings are the settings of one of a release's analyses, over so many strata (classes × zones). The plan's
// false-alarm rate is shared evenly among all of the release's analyses.
func judgeSettings(releasePlan *plan.Plan, strata int) judge.Settings {
	analyses := 0
	for _, wave := range releasePlan.Waves {
		analyses += analysesPerWave + wave.MaxExtraUnits
	}
	guards := &releasePlan.Guards
	return judge.Settings{
		ServedTolerance:  valueOr(guards.ServedTolerance, defaultServedTolerance),
		LateTolerance:    valueOr(guards.LateTolerance, defaultLateTolerance),
		FailedTolerance:  valueOr(guards.FailedTolerance, defaultFailedTolerance),
		LatencyTolerance: valueOr(guards.LatencyTolerance, defaultLatencyTolerance),
		RestartTolerance: valueOr(guards.RestartTolerance, defaultRestartTolerance),
		MemoryTolerance:  valueOr(guards.MemoryTolerance, defaultMemoryTolerance),
		FalseAlarmRate:   valueOr(guards.FalseAlarmRate, defaultFalseAlarmRate) / float64(analyses),
		Strata:           strata,
	}
}

func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}

// WaveAnalysis is a controller's analysis of the wave that a release is in. It starts over with each wave, and again when
// the wave's bake begins, so that a pass rests on the traffic of all its units. It is not stored: a successor starts over.
type WaveAnalysis struct {
	strata      int
	judge       *judge.Judge
	wave        int
	bakeStartMS int64
	last        judge.Verdict
}

// NewWaveAnalysis makes an analysis over so many strata (classes × zones).
func NewWaveAnalysis(strata int) *WaveAnalysis { return &WaveAnalysis{strata: strata} }

// Add takes an interval and returns the verdict on the wave so far.
func (a *WaveAnalysis) Add(state *State, interval judge.Interval) judge.Verdict {
	if !a.covers(state) {
		a.judge = judge.New(judgeSettings(state.Plan, a.strata))
		a.wave = state.Status.Wave
		a.bakeStartMS = state.Status.BakeStartMS
	}
	a.last = a.judge.Add(interval)
	return a.last
}

// Verdict is the latest verdict, without an outcome if the release has entered another wave or bake since. A wave passes
// only in its bake.
func (a *WaveAnalysis) Verdict(state *State) judge.Verdict {
	if !a.covers(state) {
		return judge.Verdict{}
	}
	if a.bakeStartMS == 0 && a.last.Outcome == judge.Pass {
		return judge.Verdict{Outcome: judge.Inconclusive, Reason: "the wave is still on its way"}
	}
	return a.last
}

// covers reports whether the analysis is of the wave and bake that the release is in.
func (a *WaveAnalysis) covers(state *State) bool {
	return a.judge != nil && a.wave == state.Status.Wave && a.bakeStartMS == state.Status.BakeStartMS
}
