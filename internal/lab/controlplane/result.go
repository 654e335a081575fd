package controlplane

import (
	"slices"

	"milldeck/internal/maintenance"
	"milldeck/internal/release"
)

// Result is the outcome of one simulation.
type Result struct {
	Seed                        uint64            `json:"seed"`
	SimulatedSeconds            float64           `json:"seconds"`
	Violations                  int               `json:"broken_rules"`
	ViolationsByRule            map[string]int    `json:"rule_counts"`
	FirstViolations             []Violation       `json:"first,omitempty"` // at most maxListedViolations
	Faults                      []string          `json:"faults"`          // one line each: time after the start, description
	Releases                    map[string]string `json:"Releases"`        // phase at the end, by name
	Windows                     map[string]string `json:"Windows"`         // stage at the end, by name
	FeasibleWindows             int               `json:"windows_that_fit"`
	CompletedWindows            int               `json:"windows_done"`       // number of feasible windows that were completed
	ExcludedSeconds             float64           `json:"kept_off_s"`         // sum over all sidecars and tenants
	ExcludedOutsideHoursSeconds float64           `json:"kept_off_outside_s"` // part of ExcludedSeconds outside the approved hours
	Writes                      int               `json:"writes"`             // writes that controllers and operators attempted
}

// Violation is one violation of a rule.
type Violation struct {
	AtS    float64 `json:"at_s"` // seconds after the start
	Rule   string  `json:"rule"`
	Detail string  `json:"what"`
}

// result returns the outcome of the simulation so far.
func (c *cluster) result() *Result {
	result := &Result{
		Seed:                        c.seed,
		SimulatedSeconds:            float64(c.nowMS-c.startMS) / 1000,
		Violations:                  c.checker.violationCount(),
		ViolationsByRule:            c.checker.violationsByRule,
		FirstViolations:             c.checker.violations,
		Faults:                      c.scenario.faults,
		Releases:                    map[string]string{},
		Windows:                     map[string]string{},
		ExcludedSeconds:             float64(c.checker.excludedMS) / 1000,
		ExcludedOutsideHoursSeconds: float64(c.checker.outsideHoursMS) / 1000,
		Writes:                      c.writeCount,
	}
	for _, name := range c.registry.releases.Names() {
		state, _ := c.registry.releases.Get(name)
		result.Releases[name] = string(state.Status.Phase)
	}
	for _, window := range c.registry.windows.Windows() {
		result.Windows[window.Name] = string(window.Stage)
		if !c.scenario.windowFits {
			continue
		}
		result.FeasibleWindows++
		if window.Stage == maintenance.StageDone {
			result.CompletedWindows++
		}
	}
	return result
}

// Summary aggregates simulations and rollouts. Shares and ratios are 0 if there were no runs to take them from.
type Summary struct {
	Simulations                 int     `json:"nights"`
	Violations                  int     `json:"broken_rules"`
	ExcludedOutsideHoursSeconds float64 `json:"kept_off_outside_s"`
	ExcludedSeconds             float64 `json:"kept_off_s"`
	FeasibleWindows             int     `json:"windows_that_fit"`
	CompletedWindowShare        float64 `json:"windows_held"`          // share of the feasible windows that were completed
	StoppedEarlyShare           float64 `json:"harmful_stopped_early"` // regressed rollouts rolled back below earlyStopShare
	FalseHaltShare              float64 `json:"false_halts"`           // share of the healthy rollouts that were not completed
	MaxRollbackRatio            float64 `json:"way_back"`              // see RolloutResult.RollbackRatio
	MedianRollbackRatio         float64 `json:"way_back_median"`
	RolloutViolations           int     `json:"releases_broken_rules"`
	RegressedRollouts           int     `json:"harmful_releases"`
	HealthyRollouts             int     `json:"healthy_releases"`
	SimulatedSeconds            float64 `json:"seconds_of_the_worlds"`
	Writes                      int     `json:"writes_to_the_log"`
	FailedSeeds                 []int   `json:"broken_nights,omitzero"` // seeds of the simulations with violations
}

// earlyStopShare is the share of the fleet below which a regressed version counts as stopped early.
const earlyStopShare = 0.1

// Summarize aggregates the results of simulations and of rollouts of regressed and of healthy versions.
func Summarize(results []*Result, regressed, healthy []RolloutResult) Summary {
	summary := Summary{Simulations: len(results), RegressedRollouts: len(regressed), HealthyRollouts: len(healthy)}
	summary.addSimulations(results)
	summary.addRegressedRollouts(regressed)
	summary.addHealthyRollouts(healthy)
	return summary
}

func (s *Summary) addSimulations(results []*Result) {
	completed := 0
	for _, result := range results {
		s.Violations += result.Violations
		s.ExcludedOutsideHoursSeconds += result.ExcludedOutsideHoursSeconds
		s.ExcludedSeconds += result.ExcludedSeconds
		s.FeasibleWindows += result.FeasibleWindows
		s.SimulatedSeconds += result.SimulatedSeconds
		s.Writes += result.Writes
		completed += result.CompletedWindows
		if result.Violations > 0 {
			s.FailedSeeds = append(s.FailedSeeds, int(result.Seed))
		}
	}
	s.CompletedWindowShare = ratio(completed, s.FeasibleWindows)
}

func (s *Summary) addRegressedRollouts(results []RolloutResult) {
	stoppedEarly := 0
	var rollbackRatios []float64
	for _, result := range results {
		s.RolloutViolations += result.Violations
		if result.Phase == string(release.PhaseRolledBack) && result.UpgradedShare < earlyStopShare {
			stoppedEarly++
		}
		if result.RollbackRatio > 0 {
			rollbackRatios = append(rollbackRatios, result.RollbackRatio)
		}
	}
	s.StoppedEarlyShare = ratio(stoppedEarly, len(results))
	if len(rollbackRatios) > 0 {
		slices.Sort(rollbackRatios)
		s.MaxRollbackRatio = rollbackRatios[len(rollbackRatios)-1]
		s.MedianRollbackRatio = rollbackRatios[len(rollbackRatios)/2]
	}
}

func (s *Summary) addHealthyRollouts(results []RolloutResult) {
	halted := 0
	for _, result := range results {
		s.RolloutViolations += result.Violations
		if result.Phase != string(release.PhaseCompleted) {
			halted++
		}
	}
	s.FalseHaltShare = ratio(halted, len(results))
}

// ratio returns count divided by total, or 0 if total is 0.
func ratio(count, total int) float64 { return float64(count) / float64(max(total, 1)) }
