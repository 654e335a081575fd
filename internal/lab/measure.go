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
	leastLatency = 1
	mostLatency  = 3600 * 1e6
	digits       = 2
	mostWindows  = 120 // of a run, so that a long one stays small
	fewestWindow = 1000
)

// Measure gathers the figures of a run. It may be called concurrently.
type Measure struct {
	plan   *Plan
	window float64 // ms

	mu       sync.Mutex
	all      *hdrhistogram.Histogram
	late     *hdrhistogram.Histogram // of the lab itself
	classes  []classTally
	windows  []windowTally
	attempts map[string]int
	total    Counts
}

// Counts are the sums of a run.
type Counts struct {
	Requests   int `json:"requests"`
	Served     int `json:"served"` // within the aim
	Late       int `json:"late"`   // served past the aim
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Lost       int `json:"lost"`     // never answered
	Left       int `json:"left"`     // the client went away
	LabLate    int `json:"lab_late"` // the lab itself sent them too late: they count nowhere else
	Tries      int `json:"tries"`    // of clients
	Attempts   int `json:"attempts"`
	Retries    int `json:"retries"` // attempts beyond the first of each try
	Handshakes int `json:"handshakes"`
	CrossZone  int `json:"cross_zone"` // attempts
	Probes     int `json:"probes"`
	Messages   int `json:"messages"`
	MessageB   int `json:"message_bytes"` // delivered
}

type classTally struct {
	asked, served int
	worthAsked    float64
	worthServed   float64
}

type windowTally struct {
	asked, served float64 // worth
	latency       *hdrhistogram.Histogram
	attempts      map[string]int
	zones         []int // attempts by zone of the server
}

// NewMeasure begins the figures of a run.
func NewMeasure(p *Plan) *Measure {
	return &Measure{
		plan: p, window: math.Max(fewestWindow, math.Ceil(p.Duration/mostWindows/1000)*1000),
		all: newHistogram(), late: newHistogram(), classes: make([]classTally, len(p.Classes)),
		attempts: map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, digits)
}

func record(h *hdrhistogram.Histogram, ms float64) {
	v := int64(bound(ms*1000, leastLatency, mostLatency))
	if err := h.RecordValue(v); err != nil {
		panic(err) // it is within bounds
	}
}

func bound(v, least, most float64) float64 { return math.Max(least, math.Min(most, v)) }

// at is the window of a time; what comes after the load counts to the last.
func (m *Measure) at(now float64) *windowTally {
	i := int(math.Min(now, m.plan.Duration-1e-6) / m.window)
	for len(m.windows) <= i {
		m.windows = append(m.windows, windowTally{
			latency: newHistogram(), attempts: map[string]int{}, zones: make([]int, len(m.plan.File.Zones)),
		})
	}
	return &m.windows[i]
}

// Done: a request with all its tries has ended, at a time. Its latency counts from its scheduled start.
func (m *Measure) Done(a *Arrival, tries int, ended Answer, left bool, at float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.plan.Classes[a.Class]
	tally, w := &m.classes[a.Class], m.at(a.At)
	m.total.Requests++
	m.total.Tries += tries
	tally.asked++
	tally.worthAsked += c.Worth
	w.asked += c.Worth
	took := at - a.At
	switch {
	case left:
		m.total.Left++
	case ended == Got && took <= c.AimMS:
		m.total.Served++
		tally.served++
		tally.worthServed += c.Worth
		w.served += c.Worth
	case ended == Got:
		m.total.Late++
	case ended == Refusal:
		m.total.Refused++
	case ended == Failure:
		m.total.Failed++
	default:
		m.total.Lost++
	}
	if ended == Got && !left {
		record(m.all, took)
		record(w.latency, took)
	}
}

// LabLate: the lab could not send a request anywhere near its time, so it tells nothing of the sidecar.
func (m *Measure) LabLate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total.LabLate++
}

// Lateness: the lab did something so many ms after it was due.
func (m *Measure) Lateness(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.late, ms)
}

// Attempt: one has ended, with a result by name.
func (m *Measure) Attempt(now float64, sidecar, server int, again bool, result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	zone := m.plan.Servers[server].Zone
	m.total.Attempts++
	m.total.Retries += btoi(again)
	m.total.CrossZone += btoi(zone != m.plan.Sidecars[sidecar].Zone)
	m.attempts[result]++
	w := m.at(now)
	w.attempts[result]++
	w.zones[zone]++
}

// Count adds to the sums.
func (m *Measure) Count(add func(*Counts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	add(&m.total)
}

// SoFar is how many requests have ended and which share of their worth was served.
func (m *Measure) SoFar() (requests int, worth float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	asked, served := 0.0, 0.0
	for i := range m.classes {
		asked += m.classes[i].worthAsked
		served += m.classes[i].worthServed
	}
	return m.total.Requests, share(served, asked)
}

// Result is what a run found, as JSON has it. Times are ms.
type Result struct {
	Name     string  `json:"name"`
	Mode     string  `json:"mode"` // "sim" or "run"
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Duration float64 `json:"duration_s"`
	Sidecars int     `json:"sidecars"`
	Servers  int     `json:"servers"`
	Cut      bool    `json:"cut_short,omitempty"`

	Counts
	ServedShare float64 `json:"served_share"` // of the requests, within their aim
	WorthShare  float64 `json:"worth_share"`  // of the worth
	P50         float64 `json:"p50_ms"`       // of all answers, late ones too
	P90         float64 `json:"p90_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
	Lateness    float64 `json:"lateness_ms"` // 99th percentile of how late the lab itself was
	LatenessMax float64 `json:"lateness_max_ms"`
	CrossShare  float64 `json:"cross_zone_share"`

	BrokenRules int            `json:"broken_rules"`
	Overloaded  bool           `json:"overloaded,omitempty"`  // the lab's own machine could not play the load
	NotCounted  int            `json:"not_counted,omitempty"` // broken rules of such a run, which tell of no sidecar
	RuleCounts  map[Rule]int   `json:"rules"`
	Broken      []Broken       `json:"broken,omitempty"`
	ByResult    map[string]int `json:"attempts_by_result"`
	Classes     []ClassResult  `json:"classes"`
	WindowMS    float64        `json:"window_ms"`
	Windows     []Window       `json:"windows"`
	Faults      []FaultMark    `json:"faults"`

	Figures map[string]float64 `json:"figures,omitempty"` // of a part of the program that the experiment is about
}

// ClassResult is a class's part.
type ClassResult struct {
	Name        string  `json:"name"`
	Requests    int     `json:"requests"`
	ServedShare float64 `json:"served_share"`
}

// Window is a stretch of time.
type Window struct {
	AtS        float64        `json:"at_s"`
	WorthAsked float64        `json:"worth_asked"`
	WorthShare float64        `json:"worth_share"`
	P50        float64        `json:"p50_ms"`
	P99        float64        `json:"p99_ms"`
	ByResult   map[string]int `json:"attempts_by_result"`
	ByZone     []int          `json:"attempts_by_zone"`
}

// FaultMark is where a fault lay.
type FaultMark struct {
	Fault string  `json:"fault"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s,omitempty"`
}

// Result puts a run's figures and the judge's verdict together.
func (m *Measure) Result(mode, policy string, j *Judge) *Result {
	counts, broken := j.Verdict()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.plan
	r := &Result{
		Name: p.File.Name, Mode: mode, Policy: policy, Seed: p.Seed, Duration: p.Duration / 1000,
		Sidecars: len(p.Sidecars), Servers: len(p.standing()), Counts: m.total,
		P50: quantile(m.all, 50), P90: quantile(m.all, 90), P99: quantile(m.all, 99), P999: quantile(m.all, 99.9),
		Lateness: quantile(m.late, 99), LatenessMax: quantile(m.late, 100),
		CrossShare: share(float64(m.total.CrossZone), float64(m.total.Attempts)),
		RuleCounts: counts, Broken: broken, ByResult: m.attempts, WindowMS: m.window,
	}
	for _, n := range counts {
		r.BrokenRules += n
	}
	r.overload()
	asked, served := 0.0, 0.0
	for i := range m.classes {
		c := &m.classes[i]
		asked += c.worthAsked
		served += c.worthServed
		r.Classes = append(r.Classes, ClassResult{p.Classes[i].Name, c.asked, share(float64(c.served), float64(c.asked))})
	}
	r.ServedShare = share(float64(m.total.Served), float64(m.total.Requests))
	r.WorthShare = share(served, asked)
	for i := range m.windows {
		w := &m.windows[i]
		r.Windows = append(r.Windows, Window{
			AtS: float64(i) * m.window / 1000, WorthAsked: w.asked, WorthShare: share(w.served, w.asked),
			P50: quantile(w.latency, 50), P99: quantile(w.latency, 99), ByResult: w.attempts, ByZone: w.zones,
		})
	}
	for i := range p.Faults {
		f := &p.Faults[i]
		r.Faults = append(r.Faults, FaultMark{f.Label, f.At / 1000, f.End / 1000})
	}
	return r
}

// Limits of what the lab's own machine may be late for a run to tell of sidecars.
const (
	mostLateMS   = 20.0  // the 99th percentile of its own lateness
	mostLateSent = 0.005 // of the requests, sent too late to count
)

// overload takes back what a run says of sidecars when the lab's own machine could not play it. What the control plane
// did is no matter of milliseconds and stands.
func (r *Result) overload() {
	sent := float64(r.Requests + r.LabLate)
	if r.Lateness <= mostLateMS && float64(r.LabLate) <= mostLateSent*sent {
		return
	}
	all := r.BrokenRules
	r.BrokenRules = 0
	for _, rule := range ControlRules {
		r.BrokenRules += r.RuleCounts[rule]
	}
	r.Overloaded, r.NotCounted = true, all-r.BrokenRules
	r.Broken = slices.DeleteFunc(r.Broken, func(b Broken) bool { return !slices.Contains(ControlRules, b.Rule) })
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return round(float64(h.ValueAtQuantile(q)) / 1000)
}

// share is a part of a whole; of nothing, all of it.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return math.Round(part/whole*1e6) / 1e6
}
