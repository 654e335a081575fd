package sidecar

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"

	"milldeck/balance"
	"milldeck/internal/hotkey/topk"
	"milldeck/internal/placement"
)

const (
	// maxTrackedKeys is the number of keys whose load is counted. Only the hotter half is reported; the other half holds the
	// keys that may become hot next.
	maxTrackedKeys         = 64
	keyLoadHalfLifeSeconds = 0.7 // short enough to show a new hot key within a second
	maxMeanWorkSamples     = 50  // number of recent responses in the mean work of a class
)

// reportRecorder collects the counts for the next load report. Only the event loop uses it.
type reportRecorder struct {
	config          *Config
	keyLoad         *topk.Sketch
	workByClass     []meanWork
	counts          map[countKey]*placement.ClassCount
	intervalStartMS float64 // when the current counts started
}

// meanWork is the mean latency of recent responses of a class in ms, as an estimate of their work. A latency above the
// latency objective counts as the objective, as the request spent the time above the objective in a queue.
type meanWork struct{ samples, meanMS float64 }

// countKey identifies a count of outcomes.
type countKey struct {
	class        int
	zone, cohort string // of the server
}

func newReportRecorder(config *Config, nowMS float64) *reportRecorder {
	return &reportRecorder{
		config:          config,
		keyLoad:         topk.New(maxTrackedKeys, keyLoadHalfLifeSeconds),
		workByClass:     make([]meanWork, len(config.settings.Classes)),
		counts:          map[countKey]*placement.ClassCount{},
		intervalStartMS: nowMS,
	}
}

// recordRequest adds a request to the load of its key, even if the request is rejected later. The work of the request is
// the client's estimate, or the mean work of its class if there is no estimate.
func (r *reportRecorder) recordRequest(nowMS float64, request *balance.Request) {
	if request.Key == 0 {
		return
	}
	workMS := request.ExpectedWork
	if !(workMS > 0) {
		workMS = r.workByClass[request.Class].meanMS
	}
	r.keyLoad.Add(nowMS/msPerSecond, request.Key, workMS)
}

// recordOutcome counts the outcome of an attempt. It ignores an attempt that was cancelled or not sent, as such an outcome
// does not depend on the server.
func (r *reportRecorder) recordOutcome(nowMS float64, attempt *attempt, result balance.Result, cohort string) {
	if result == balance.Cancelled || result == balance.Obsolete {
		return
	}
	class := attempt.call.request.Class
	count := r.countFor(countKey{class, attempt.upstream.zone, cohort})
	if count == nil {
		return
	}
	if result != balance.OK {
		count.Failed++
		return
	}
	latencyMS := nowMS - attempt.decidedAtMS
	objectiveMS := r.config.settings.Classes[class].LatencyObjective
	count.Succeeded++
	if latencyMS > objectiveMS {
		count.Late++
	}
	count.LatencyHistogram[sort.SearchFloat64s(placement.LatencyBucketBounds, latencyMS)]++
	work := &r.workByClass[class]
	work.samples = math.Min(work.samples+1, maxMeanWorkSamples)
	work.meanMS += (math.Min(latencyMS, objectiveMS) - work.meanMS) / work.samples
}

// countFor returns the count of a key, or nil if the report already has the maximum number of counts.
func (r *reportRecorder) countFor(key countKey) *placement.ClassCount {
	count := r.counts[key]
	if count == nil && len(r.counts) < placement.MaxClassCounts {
		count = &placement.ClassCount{
			Zone:             key.zone,
			Cohort:           key.cohort,
			LatencyHistogram: make([]uint32, len(placement.LatencyBucketBounds)+1),
		}
		r.counts[key] = count
	}
	return count
}

// flushInto writes the counts since the last flush into a report and resets them.
func (r *reportRecorder) flushInto(report *placement.LoadReport, nowMS float64) {
	report.IntervalMS = math.Max(nowMS-r.intervalStartMS, 0)
	r.intervalStartMS = nowMS
	top := r.keyLoad.Top(nowMS/msPerSecond, placement.MaxHotKeys)
	report.TotalKeyLoad = top.Total
	for _, key := range top.Keys {
		report.HotKeys = append(report.HotKeys, placement.KeyLoad{
			KeyHash:    fmt.Sprintf("%016x", key.Key),
			Load:       key.Load,
			ErrorBound: key.Error,
		})
	}
	for key, count := range r.counts {
		count.Class = r.config.className(key.class)
		count.LatencyHistogram = withoutTrailingZeros(count.LatencyHistogram)
		report.ClassCounts = append(report.ClassCounts, *count)
	}
	slices.SortFunc(report.ClassCounts, func(a, b placement.ClassCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cohort, b.Cohort))
	})
	clear(r.counts)
}

// className returns the name of a class, or "" if no class has the index.
func (cfg *Config) className(index int) string {
	for name, i := range cfg.classIndexes {
		if i == index {
			return name
		}
	}
	return ""
}

func withoutTrailingZeros(histogram []uint32) []uint32 {
	for len(histogram) > 0 && histogram[len(histogram)-1] == 0 {
		histogram = histogram[:len(histogram)-1]
	}
	return histogram
}
