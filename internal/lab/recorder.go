package lab

import (
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded from 1 µs to the longest deadline of an experiment, with two significant digits. A histogram
	// takes some tens of KiB.
	minLatencyMicros = 1
	maxLatencyMicros = 3600 * 1e6
	latencyDigits    = 2

	maxWindows  = 120 // windows of a run, so that the results of a long run stay small
	minWindowMS = 1000
)

// Recorder measures a run. It may be used concurrently.
type Recorder struct {
	plan     *Plan
	windowMS float64

	mu               sync.Mutex
	latency          *hdrhistogram.Histogram
	lateness         *hdrhistogram.Histogram // delay of the emulator's actions relative to their schedule
	classes          []classTally
	windows          []windowTally
	attemptsByResult map[string]int
	counts           Counts
	faultTimings     []faultTiming // by fault of the plan
	lateReplacements int           // late steps of rolling replacements
}

// Counts are the totals of a run.
type Counts struct {
	Requests           int `json:"requests"`
	Served             int `json:"served"` // within the latency objective
	ServedLate         int `json:"late"`   // beyond the latency objective
	Rejected           int `json:"refused"`
	Failed             int `json:"failed"`
	Unanswered         int `json:"lost"`
	ClientDisconnected int `json:"left"`
	SkippedLate        int `json:"lab_late"` // requests not sent because the emulator was too late; not counted elsewhere
	ClientAttempts     int `json:"tries"`
	Attempts           int `json:"attempts"` // attempts of sidecars at servers
	Retries            int `json:"retries"`  // attempts beyond the first of each client attempt
	Handshakes         int `json:"handshakes"`
	CrossZoneAttempts  int `json:"cross_zone"`
	HealthChecks       int `json:"probes"`
	GossipMessages     int `json:"messages"`      // delivered
	GossipBytes        int `json:"message_bytes"` // delivered
}

// classTally sums the requests of a class.
type classTally struct {
	requests, served int
	offeredWeight    float64
	servedWeight     float64
}

// windowTally sums the requests that start, and the attempts that end, within a window.
type windowTally struct {
	offeredWeight, servedWeight float64
	latency                     *hdrhistogram.Histogram
	attemptsByResult            map[string]int
	attemptsByZone              []int // attempts by zone of the server
}

// NewRecorder returns the recorder of a run.
func NewRecorder(p *Plan) *Recorder {
	return &Recorder{
		plan: p, windowMS: math.Max(minWindowMS, math.Ceil(p.DurationMS/maxWindows/1000)*1000),
		latency: newHistogram(), lateness: newHistogram(), classes: make([]classTally, len(p.Classes)),
		attemptsByResult: map[string]int{}, faultTimings: make([]faultTiming, len(p.Faults)),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// recordLatency records a time in ms, moved to the bounds of the histogram if it is beyond them.
func recordLatency(histogram *hdrhistogram.Histogram, ms float64) {
	micros := math.Max(minLatencyMicros, math.Min(maxLatencyMicros, ms*1000))
	if err := histogram.RecordValue(int64(micros)); err != nil {
		panic(err) // the value is within bounds
	}
}

// windowAt returns the window of a time. Times after the load belong to the last window.
func (r *Recorder) windowAt(now float64) *windowTally {
	i := int(math.Min(now, r.plan.DurationMS-1e-6) / r.windowMS)
	for len(r.windows) <= i {
		r.windows = append(r.windows, windowTally{
			latency: newHistogram(), attemptsByResult: map[string]int{},
			attemptsByZone: make([]int, len(r.plan.Experiment.Zones)),
		})
	}
	return &r.windows[i]
}

// RequestDone records that a request with all its client attempts has ended. Latency is measured from the scheduled start.
func (r *Recorder) RequestDone(arrival *Arrival, attempts int, outcome Outcome, disconnected bool, endedAt float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := &r.plan.Classes[arrival.Class]
	tally, window := &r.classes[arrival.Class], r.windowAt(arrival.StartMS)
	r.counts.Requests++
	r.counts.ClientAttempts += attempts
	tally.requests++
	tally.offeredWeight += class.PriorityWeight
	window.offeredWeight += class.PriorityWeight
	latency := endedAt - arrival.StartMS
	switch {
	case disconnected:
		r.counts.ClientDisconnected++
	case outcome == OutcomeServed && latency <= class.LatencyObjectiveMS:
		r.counts.Served++
		tally.served++
		tally.servedWeight += class.PriorityWeight
		window.servedWeight += class.PriorityWeight
	case outcome == OutcomeServed:
		r.counts.ServedLate++
	case outcome == OutcomeRejected:
		r.counts.Rejected++
	case outcome == OutcomeFailed:
		r.counts.Failed++
	default:
		r.counts.Unanswered++
	}
	if outcome == OutcomeServed && !disconnected {
		recordLatency(r.latency, latency)
		recordLatency(window.latency, latency)
	}
}

// RequestSkipped records that the emulator did not send a request because it was too late. The sidecar had no part in this.
func (r *Recorder) RequestSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.SkippedLate++
}

// RecordLateness records by how many ms the emulator acted later than scheduled.
func (r *Recorder) RecordLateness(ms float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordLatency(r.lateness, ms)
}

// AttemptDone records that an attempt of a sidecar has ended, with the name of its result.
func (r *Recorder) AttemptDone(now float64, sidecar, server int, retry bool, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	zone := r.plan.Servers[server].Zone
	r.counts.Attempts++
	r.counts.Retries += boolToInt(retry)
	r.counts.CrossZoneAttempts += boolToInt(zone != r.plan.Sidecars[sidecar].Zone)
	r.attemptsByResult[result]++
	window := r.windowAt(now)
	window.attemptsByResult[result]++
	window.attemptsByZone[zone]++
}

// AddCounts calls a function that updates the totals.
func (r *Recorder) AddCounts(add func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.counts)
}

// Progress returns how many requests have ended, and the share of their priority weight that was served in time.
func (r *Recorder) Progress() (requests int, weightedServedShare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.Requests, r.weightedServedShare()
}

// weightedServedShare is the share of the priority weight of all requests that was served in time.
func (r *Recorder) weightedServedShare() float64 {
	offered, served := 0.0, 0.0
	for i := range r.classes {
		offered += r.classes[i].offeredWeight
		served += r.classes[i].servedWeight
	}
	return fraction(served, offered)
}
