package release

import (
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
)

// What is tolerated where a plan does not say. Shares of requests; restarts of a unit in a second; memory relative. They
// are set so that a wave of a few units at some ten requests a second each passes within a minute or two.
const (
	tolerateServed   = 0.02
	tolerateLate     = 0.02
	tolerateFailed   = 0.01
	tolerateLatency  = 0.06
	tolerateRestarts = 0.005
	tolerateMemory   = 0.3
	falseAlarms      = 0.01
)

// settingsOf are a judge's settings for one watch of a plan, of so many classes × zones: the plan's false alarms are
// shared among its watches, which are two of each wave, and one more each time that it is widened.
func settingsOf(p *plan.Plan, strata int) judge.Settings {
	or := func(v *float64, otherwise float64) float64 {
		if v == nil {
			return otherwise
		}
		return *v
	}
	g, watches := &p.Guards, 0
	for _, w := range p.Waves {
		watches += 2 + w.Widen
	}
	return judge.Settings{
		Served: or(g.Served, tolerateServed), Late: or(g.Late, tolerateLate), Failed: or(g.Failed, tolerateFailed),
		Latency: or(g.Latency, tolerateLatency), Restarts: or(g.Restarts, tolerateRestarts), Memory: or(g.Memory, tolerateMemory),
		FalseAlarms: or(g.FalseAlarms, falseAlarms) / float64(watches), Strata: strata,
	}
}

// Watch is a controller's watch of a release. While a wave goes out it looks for harm alone; once the wave is at rest a
// watch begins anew, so that a pass rests on what all of its units have done. It is soft: a successor begins anew too.
type Watch struct {
	strata int
	judge  *judge.Judge
	wave   int
	bakeMS int64
	last   judge.Verdict
}

// NewWatch makes a watch of so many classes × zones.
func NewWatch(strata int) *Watch { return &Watch{strata: strata} }

// Add takes an interval in and says how the wave stands.
func (w *Watch) Add(s *State, in judge.Interval) judge.Verdict {
	if w.judge == nil || w.wave != s.Head.Wave || w.bakeMS != s.Head.BakeMS {
		w.judge, w.wave, w.bakeMS = judge.New(settingsOf(s.Plan, w.strata)), s.Head.Wave, s.Head.BakeMS
	}
	w.last = w.judge.Add(in)
	return w.last
}

// Verdict is the last one, of the wave and bake that the release stands in; none where it has gone on since.
func (w *Watch) Verdict(s *State) judge.Verdict {
	if w.judge == nil || w.wave != s.Head.Wave || w.bakeMS != s.Head.BakeMS {
		return judge.Verdict{}
	}
	if w.bakeMS == 0 && w.last.Kind == judge.Pass {
		return judge.Verdict{Kind: judge.Wait, Why: "the wave is still on its way"}
	}
	return w.last
}
