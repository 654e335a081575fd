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

// SettingsOf are a judge's settings for one wave of a plan, of so many classes × zones: the plan's false alarms are
// shared among its waves. A successor's watch of a wave begins anew, and so does its share.
func SettingsOf(p *plan.Plan, strata int) judge.Settings {
	or := func(v *float64, otherwise float64) float64 {
		if v == nil {
			return otherwise
		}
		return *v
	}
	g := &p.Guards
	return judge.Settings{
		Served: or(g.Served, tolerateServed), Late: or(g.Late, tolerateLate), Failed: or(g.Failed, tolerateFailed),
		Latency: or(g.Latency, tolerateLatency), Restarts: or(g.Restarts, tolerateRestarts), Memory: or(g.Memory, tolerateMemory),
		FalseAlarms: or(g.FalseAlarms, falseAlarms) / float64(max(len(p.Waves), 1)), Strata: strata,
	}
}
