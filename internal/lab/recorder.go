package lab

import (
	"math"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are kept from 1 µs to the longest deadline that an experiment can have, to two digits: each
	// histogram is some tens of KiB.
	minLatencyMicros = 1
	maxLatencyMicros = 3600 * 1e6
	latencyDigits    = 2
	maxWindows       = 120 // of a run, so that a long one stays small
	minWindowMS      = 1000
)

// Recorder gathers the figures of a run. It may be called concurrently.
type Recorder struct {
	plan     *Plan
	windowMS float64 // ms

	mu               sync.Mutex
	latency          *hdrhistogram.Histogram
	lateness         *hdrhistogram.Histogram // of the lab itself
	classes          []classTally
	windows          []windowTally
	attemptsByResult map[string]int
	counts           Counts
}

// Counts are the sums of a run.
type Counts struct {
	Requests           int `json:"requests"`
	Served             int `json:"served"` // within the aim
	ServedLate         int `json:"late"`   // served past the aim
	Rejected           int `json:"refused"`
	Failed             int `json:"failed"`
	Unanswered         int `json:"lost"`     // never answered
	ClientDisconnected int `json:"left"`     // the client went away
	SentTooLate        int `json:"lab_late"` // the lab itself sent them too late: they count nowhere else
	ClientAttempts     int `json:"tries"`    // of clients
	Attempts           int `json:"attempts"`
	Retries            int `json:"retries"` // attempts beyond the first of each try
	Handshakes         int `json:"handshakes"`
	CrossZoneAttempts  int `json:"cross_zone"` // attempts
	HealthChecks       int `json:"probes"`
	GossipMessages     int `json:"messages"`
	GossipBytes        int `json:"message_bytes"` // delivered
}

type classTally struct {
	requests, served int
	offeredWeight    float64
	servedWeight     float64
}

type windowTally struct {
	offeredWeight, servedWeight float64 // worth
	latency                     *hdrhistogram.Histogram
	attemptsByResult            map[string]int
	attemptsByZone              []int // attempts by zone of the server
}

// NewRecorder begins the figures of a run.
func NewRecorder(p *Plan) *Recorder {
	return &Recorder{
		plan: p, windowMS: math.Max(minWindowMS, math.Ceil(p.DurationMS/maxWindows/1000)*1000),
		latency: newHistogram(), lateness: newHistogram(), classes: make([]classTally, len(p.Classes)),
		attemptsByResult: map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

func recordLatency(h *hdrhistogram.Histogram, ms float64) {
	v := int64(clamp(ms*1000, minLatencyMicros, maxLatencyMicros))
	if err := h.RecordValue(v); err != nil {
		panic(err) // it is within bounds
	}
}

func clamp(v, least, most float64) float64 { return math.Max(least, math.Min(most, v)) }

// windowAt is the window of a time; what comes after the load counts to the last.
func (m *Recorder) windowAt(now float64) *windowTally {
	i := int(math.Min(now, m.plan.DurationMS-1e-6) / m.windowMS)
	for len(m.windows) <= i {
		m.windows = append(m.windows, windowTally{
			latency: newHistogram(), attemptsByResult: map[string]int{}, attemptsByZone: make([]int, len(m.plan.Experiment.Zones)),
		})
	}
	return &m.windows[i]
}

// RequestDone: a request with all its tries has ended, at a time. Its latency counts from its scheduled start.
func (m *Recorder) RequestDone(arrival *Arrival, attempts int, outcome Outcome, disconnected bool, endedAt float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	class := &m.plan.Classes[arrival.Class]
	tally, window := &m.classes[arrival.Class], m.windowAt(arrival.StartMS)
	m.counts.Requests++
	m.counts.ClientAttempts += attempts
	tally.requests++
	tally.offeredWeight += class.PriorityWeight
	window.offeredWeight += class.PriorityWeight
	latency := endedAt - arrival.StartMS
	switch {
	case disconnected:
		m.counts.ClientDisconnected++
	case outcome == OutcomeServed && latency <= class.LatencyObjectiveMS:
		m.counts.Served++
		tally.served++
		tally.servedWeight += class.PriorityWeight
		window.servedWeight += class.PriorityWeight
	case outcome == OutcomeServed:
		m.counts.ServedLate++
	case outcome == OutcomeRejected:
		m.counts.Rejected++
	case outcome == OutcomeFailed:
		m.counts.Failed++
	default:
		m.counts.Unanswered++
	}
	if outcome == OutcomeServed && !disconnected {
		recordLatency(m.latency, latency)
		recordLatency(window.latency, latency)
	}
}

// RequestSentLate: the lab could not send a request anywhere near its time, so it tells nothing of the sidecar.
func (m *Recorder) RequestSentLate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.SentTooLate++
}

// RecordLateness: the lab did something so many ms after it was due.
func (m *Recorder) RecordLateness(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	recordLatency(m.lateness, ms)
}

// AttemptDone: one has ended, with a result by name.
func (m *Recorder) AttemptDone(now float64, sidecar, server int, retry bool, result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	zone := m.plan.Servers[server].Zone
	m.counts.Attempts++
	m.counts.Retries += boolToInt(retry)
	m.counts.CrossZoneAttempts += boolToInt(zone != m.plan.Sidecars[sidecar].Zone)
	m.attemptsByResult[result]++
	window := m.windowAt(now)
	window.attemptsByResult[result]++
	window.attemptsByZone[zone]++
}

// AddCounts adds to the sums.
func (m *Recorder) AddCounts(add func(*Counts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	add(&m.counts)
}

// Progress is how many requests have ended and which share of their worth was served.
func (m *Recorder) Progress() (requests int, weightedServedShare float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered, served := 0.0, 0.0
	for i := range m.classes {
		offered += m.classes[i].offeredWeight
		served += m.classes[i].servedWeight
	}
	return m.counts.Requests, fraction(served, offered)
}

// Result is what a run found, as JSON has it. Times are ms.
type Result struct {
	Name            string  `json:"name"`
	Mode            string  `json:"mode"` // "sim" or "run"
	Policy          string  `json:"policy"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_s"`
	Sidecars        int     `json:"sidecars"`
	Servers         int     `json:"servers"`
	CutShort        bool    `json:"cut_short,omitempty"`

	Counts
	ServedShare         float64 `json:"served_share"` // of the requests, within their aim
	WeightedServedShare float64 `json:"worth_share"`  // of the worth
	P50                 float64 `json:"p50_ms"`       // of all answers, late ones too
	P90                 float64 `json:"p90_ms"`
	P99                 float64 `json:"p99_ms"`
	P999                float64 `json:"p999_ms"`
	Lateness            float64 `json:"lateness_ms"` // 99th percentile of how late the lab itself was
	MaxLateness         float64 `json:"lateness_max_ms"`
	CrossZoneShare      float64 `json:"cross_zone_share"`

	ViolationCount       int             `json:"broken_rules"`
	Overloaded           bool            `json:"overloaded,omitempty"`  // the lab's own machine could not play the load
	DiscountedViolations int             `json:"not_counted,omitempty"` // broken rules of such a run, which tell of no sidecar
	ViolationsByRule     map[Rule]int    `json:"rules"`
	Violations           []Violation     `json:"broken,omitempty"`
	AttemptsByResult     map[string]int  `json:"attempts_by_result"`
	Classes              []ClassResult   `json:"classes"`
	WindowMS             float64         `json:"window_ms"`
	Windows              []Window        `json:"windows"`
	Faults               []FaultInterval `json:"faults"`

	Metrics map[string]float64 `json:"figures,omitempty"` // of a part of the program that the experiment is about
}

// ClassResult is a class's part.
type ClassResult struct {
	Name        string  `json:"name"`
	Requests    int     `json:"requests"`
	ServedShare float64 `json:"served_share"`
}

// Window is a stretch of time.
type Window struct {
	AtS                 float64        `json:"at_s"`
	OfferedWeight       float64        `json:"worth_asked"`
	WeightedServedShare float64        `json:"worth_share"`
	P50                 float64        `json:"p50_ms"`
	P99                 float64        `json:"p99_ms"`
	AttemptsByResult    map[string]int `json:"attempts_by_result"`
	AttemptsByZone      []int          `json:"attempts_by_zone"`
}

// FaultInterval is where a fault lay.
type FaultInterval struct {
	Fault string  `json:"fault"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s,omitempty"`
}

// Result puts a run's figures and the judge's verdict together.
func (m *Recorder) Result(mode, policy string, checker *Checker) *Result {
	counts, violations := checker.Violations()
	m.mu.Lock()
	defer m.mu.Unlock()
	plan := m.plan
	result := &Result{
		Name: plan.Experiment.Name, Mode: mode, Policy: policy, Seed: plan.Seed, DurationSeconds: plan.DurationMS / 1000,
		Sidecars: len(plan.Sidecars), Servers: len(plan.initialServers()), Counts: m.counts,
		P50: quantile(m.latency, 50), P90: quantile(m.latency, 90), P99: quantile(m.latency, 99), P999: quantile(m.latency, 99.9),
		Lateness: quantile(m.lateness, 99), MaxLateness: quantile(m.lateness, 100),
		CrossZoneShare:   fraction(float64(m.counts.CrossZoneAttempts), float64(m.counts.Attempts)),
		ViolationsByRule: counts, Violations: violations, AttemptsByResult: m.attemptsByResult, WindowMS: m.windowMS,
	}
	for _, count := range counts {
		result.ViolationCount += count
	}
	result.discountIfOverloaded()
	offered, served := 0.0, 0.0
	for i := range m.classes {
		class := &m.classes[i]
		offered += class.offeredWeight
		served += class.servedWeight
		result.Classes = append(result.Classes, ClassResult{plan.Classes[i].Name, class.requests, fraction(float64(class.served), float64(class.requests))})
	}
	result.ServedShare = fraction(float64(m.counts.Served), float64(m.counts.Requests))
	result.WeightedServedShare = fraction(served, offered)
	for i := range m.windows {
		window := &m.windows[i]
		result.Windows = append(result.Windows, Window{
			AtS: float64(i) * m.windowMS / 1000, OfferedWeight: window.offeredWeight, WeightedServedShare: fraction(window.servedWeight, window.offeredWeight),
			P50: quantile(window.latency, 50), P99: quantile(window.latency, 99), AttemptsByResult: window.attemptsByResult, AttemptsByZone: window.attemptsByZone,
		})
	}
	for i := range plan.Faults {
		fault := &plan.Faults[i]
		result.Faults = append(result.Faults, FaultInterval{fault.Label, fault.StartMS / 1000, fault.EndMS / 1000})
	}
	return result
}

// Limits of what the lab's own machine may be late for a run to tell of sidecars.
const (
	maxLatenessMS    = 20.0  // the 99th percentile of its own lateness
	maxSentLateShare = 0.005 // of the requests, sent too late to count
)

// discountIfOverloaded takes back what a run says of sidecars when the lab's own machine could not play it. What the control plane
// did is no matter of milliseconds and stands.
func (r *Result) discountIfOverloaded() {
	sent := float64(r.Requests + r.SentTooLate)
	if r.Lateness <= maxLatenessMS && float64(r.SentTooLate) <= maxSentLateShare*sent {
		return
	}
	all := r.ViolationCount
	r.ViolationCount = 0
	for _, rule := range ControlPlaneRules {
		r.ViolationCount += r.ViolationsByRule[rule]
	}
	r.Overloaded, r.DiscountedViolations = true, all-r.ViolationCount
	r.Violations = slices.DeleteFunc(r.Violations, func(violation Violation) bool { return !slices.Contains(ControlPlaneRules, violation.Rule) })
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return roundMicros(float64(h.ValueAtQuantile(q)) / 1000)
}

// fraction is a part of a whole; of nothing, all of it.
func fraction(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return math.Round(part/whole*1e6) / 1e6
}
