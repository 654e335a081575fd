package lab

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of the emulator's own lateness. A run beyond them does not show how sidecars behave.
const (
	maxLatenessMS   = 20.0  // 99th percentile of the emulator's lateness
	maxSkippedShare = 0.005 // share of the requests that were not sent because the emulator was too late
)

// Modes of a run, as results have them.
const (
	ModeSimulation = "sim" // on a virtual clock
	ModeLive       = "run" // with real processes
)

// Result is the result of a run, as its JSON has it. Times are ms unless a key says otherwise.
type Result struct {
	Name            string  `json:"name"`
	Mode            string  `json:"mode"` // ModeSimulation or ModeLive
	Policy          string  `json:"policy"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_s"`
	Sidecars        int     `json:"sidecars"`
	Servers         int     `json:"servers"`
	CutShort        bool    `json:"cut_short,omitempty"`

	Counts
	ServedShare         float64 `json:"served_share"` // share of the requests that were served within their latency objective
	WeightedServedShare float64 `json:"worth_share"`  // the same, by priority weight
	P50                 float64 `json:"p50_ms"`       // latency percentiles of all served requests, late ones included
	P90                 float64 `json:"p90_ms"`
	P99                 float64 `json:"p99_ms"`
	P999                float64 `json:"p999_ms"`
	Lateness            float64 `json:"lateness_ms"` // 99th percentile of how late the emulator itself was
	MaxLateness         float64 `json:"lateness_max_ms"`
	CrossZoneShare      float64 `json:"cross_zone_share"` // share of the attempts that went to another zone

	ViolationCount       int             `json:"broken_rules"`
	Overloaded           bool            `json:"overloaded,omitempty"`  // the machine could not generate the load in time
	LateFaults           int             `json:"late_faults,omitempty"` // faults later than MaxFaultLatenessMS: the run is not judged
	DiscountedViolations int             `json:"not_counted,omitempty"` // violations that an overload or late faults discount
	ViolationsByRule     map[Rule]int    `json:"rules"`
	Violations           []Violation     `json:"broken,omitempty"`
	AttemptsByResult     map[string]int  `json:"attempts_by_result"`
	Classes              []ClassResult   `json:"classes"`
	WindowMS             float64         `json:"window_ms"`
	Windows              []Window        `json:"windows"`
	Faults               []FaultInterval `json:"faults"`

	Metrics map[string]float64 `json:"figures,omitempty"` // metrics of the component that the experiment is about
}

// ClassResult is the result of a class of requests.
type ClassResult struct {
	Name        string  `json:"name"`
	Requests    int     `json:"requests"`
	ServedShare float64 `json:"served_share"`
}

// Window is the result of a period of Result.WindowMS.
type Window struct {
	AtS                 float64        `json:"at_s"`
	OfferedWeight       float64        `json:"worth_asked"`
	WeightedServedShare float64        `json:"worth_share"`
	P50                 float64        `json:"p50_ms"`
	P99                 float64        `json:"p99_ms"`
	AttemptsByResult    map[string]int `json:"attempts_by_result"`
	AttemptsByZone      []int          `json:"attempts_by_zone"`
}

// FaultInterval is the period of a fault, as planned and, in a run with real processes, as measured.
type FaultInterval struct {
	Fault    string   `json:"fault"`
	FromS    float64  `json:"from_s"`
	ToS      float64  `json:"to_s,omitempty"`       // 0: the fault did not end
	InForceS *float64 `json:"in_force_s,omitempty"` // when its last part was in force
	EndedS   *float64 `json:"ended_s,omitempty"`    // when its last part had ended
	Late     bool     `json:"late,omitempty"`       // it came, or ended, later than MaxFaultLatenessMS
}

// Result returns the result of a run in a mode with a policy. The violations are those of the checker.
func (r *Recorder) Result(mode, policy string, checker *Checker) *Result {
	violationCounts, violations := checker.Violations()
	r.mu.Lock()
	defer r.mu.Unlock()
	plan := r.plan
	result := &Result{
		Name: plan.Experiment.Name, Mode: mode, Policy: policy, Seed: plan.Seed, DurationSeconds: plan.DurationMS / 1000,
		Sidecars: len(plan.Sidecars), Servers: len(plan.initialServers()), Counts: r.counts,
		P50: quantile(r.latency, 50), P90: quantile(r.latency, 90), P99: quantile(r.latency, 99), P999: quantile(r.latency, 99.9),
		Lateness: quantile(r.lateness, 99), MaxLateness: quantile(r.lateness, 100),
		ServedShare:         fraction(float64(r.counts.Served), float64(r.counts.Requests)),
		WeightedServedShare: r.weightedServedShare(),
		CrossZoneShare:      fraction(float64(r.counts.CrossZoneAttempts), float64(r.counts.Attempts)),
		ViolationsByRule:    violationCounts, Violations: violations, AttemptsByResult: r.attemptsByResult,
		WindowMS: r.windowMS, Classes: r.classResults(), Windows: r.windowResults(),
	}
	for _, count := range violationCounts {
		result.ViolationCount += count
	}
	result.discountIfOverloaded()
	result.Faults = r.faultIntervals()
	result.discountIfFaultsLate(r.lateReplacements)
	return result
}

func (r *Recorder) classResults() []ClassResult {
	var results []ClassResult
	for i := range r.classes {
		class := &r.classes[i]
		servedShare := fraction(float64(class.served), float64(class.requests))
		results = append(results, ClassResult{r.plan.Classes[i].Name, class.requests, servedShare})
	}
	return results
}

func (r *Recorder) windowResults() []Window {
	var results []Window
	for i := range r.windows {
		window := &r.windows[i]
		results = append(results, Window{
			AtS: float64(i) * r.windowMS / 1000, OfferedWeight: window.offeredWeight,
			WeightedServedShare: fraction(window.servedWeight, window.offeredWeight),
			P50:                 quantile(window.latency, 50), P99: quantile(window.latency, 99),
			AttemptsByResult: window.attemptsByResult, AttemptsByZone: window.attemptsByZone,
		})
	}
	return results
}

// discountIfOverloaded discounts the violations of sidecars if the machine could not generate the load in time. Violations
// of the control plane remain, because they do not depend on milliseconds.
func (r *Result) discountIfOverloaded() {
	due := float64(r.Requests + r.SkippedLate)
	if r.Lateness <= maxLatenessMS && float64(r.SkippedLate) <= maxSkippedShare*due {
		return
	}
	all := r.ViolationCount
	r.ViolationCount = 0
	for _, rule := range ControlPlaneRules {
		r.ViolationCount += r.ViolationsByRule[rule]
	}
	r.Overloaded, r.DiscountedViolations = true, all-r.ViolationCount
	r.Violations = slices.DeleteFunc(r.Violations, func(violation Violation) bool {
		return !slices.Contains(ControlPlaneRules, violation.Rule)
	})
}

// quantile returns a percentile of a histogram in ms, or 0 if the histogram has no values.
func quantile(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	if histogram.TotalCount() == 0 {
		return 0
	}
	return roundMicros(float64(histogram.ValueAtQuantile(percentile)) / 1000)
}

// fraction returns the fraction of a part in a total, rounded to six digits. It is 1 if the total is 0.
func fraction(part, total float64) float64 {
	if total == 0 {
		return 1
	}
	return math.Round(part/total*1e6) / 1e6
}
