package release

import (
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// Defaults for guards that a plan does not set. The first four tolerances are shares of requests, restarts are per unit and
// second, memory is relative to the previous version, and the false-alarm rate is a probability per release. With these
// defaults a wave of a few units passes within one or two minutes at about ten requests per second and unit.
const (
	defaultServedTolerance  = 0.02
	defaultLateTolerance    = 0.02
	defaultFailedTolerance  = 0.01
	defaultLatencyTolerance = 0.06
	defaultRestartTolerance = 0.005
	defaultMemoryTolerance  = 0.3
	defaultFalseAlarmRate   = 0.01
)

// analysesPerWave is the number of analyses in a wave: one during the update of its units and one during the bake. Each
// unit that extends the wave adds another.
const analysesPerWave = 2

// judgeSettings returns the settings of a single analysis over a number of strata (classes × zones). It divides the plan's
// false-alarm rate evenly among all analyses of the release.
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

// WaveAnalysis is a controller's analysis of the present wave of a release. It restarts with each wave, and again when the
// wave's bake begins, so that a pass is based on the traffic of all units of the wave. It is not stored, so a succeeding
// controller restarts it too.
type WaveAnalysis struct {
	strata      int
	judge       *judge.Judge
	wave        int
	bakeStartMS int64
	last        judge.Verdict
}

// NewWaveAnalysis returns an analysis over a number of strata (classes × zones).
func NewWaveAnalysis(strata int) *WaveAnalysis { return &WaveAnalysis{strata: strata} }

// Add adds the observations of an interval and returns the verdict on the wave so far.
func (a *WaveAnalysis) Add(state *State, interval judge.Interval) judge.Verdict {
	if !a.covers(state) {
		a.judge = judge.New(judgeSettings(state.Plan, a.strata))
		a.wave = state.Status.Wave
		a.bakeStartMS = state.Status.BakeStartMS
	}
	a.last = a.judge.Add(interval)
	return a.last
}

// Verdict returns the latest verdict, or an empty one if the release has entered another wave or bake since. Outside the
// bake it returns judge.Inconclusive in place of judge.Pass, because a wave can pass only in its bake.
func (a *WaveAnalysis) Verdict(state *State) judge.Verdict {
	if !a.covers(state) {
		return judge.Verdict{}
	}
	if a.bakeStartMS == 0 && a.last.Outcome == judge.Pass {
		return judge.Verdict{Outcome: judge.Inconclusive, Reason: "the wave is still on its way"}
	}
	return a.last
}

// covers reports whether the analysis belongs to the present wave and bake of the release.
func (a *WaveAnalysis) covers(state *State) bool {
	return a.judge != nil && a.wave == state.Status.Wave && a.bakeStartMS == state.Status.BakeStartMS
}
