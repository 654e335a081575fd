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
	// maxTrackedKeys are counted at a time. The hotter half is reported; the next hot key comes from the other.
	maxTrackedKeys         = 64
	keyLoadHalfLifeSeconds = 0.7 // short enough to show a new hot key within a second
	maxMeanWorkSamples     = 50  // responses that the mean work of a class is taken over
)

// reportRecorder counts what the next load report says. The event loop owns it.
type reportRecorder struct {
	config          *Config
	keyLoad         *topk.Sketch
	workByClass     []meanWork
	counts          map[countKey]*placement.ClassCount
	intervalStartMS float64 // when counting began
}

// meanWork is the mean time that recent responses of a class took, in ms, each up to the latency objective: what takes
// longer was queued.
type meanWork struct{ samples, meanMS float64 }

// countKey is what outcomes are counted by.
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

// recordRequest adds a request to the load of its key, also if it is rejected later. Its work is the client's estimate,
// or else the mean of its class.
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

// recordOutcome counts the outcome of an attempt. One that was cancelled or not sent says nothing about the server.
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

// countFor returns the count of a key, nil if the report has no room for another.
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

// flushInto writes what was counted since the last flush into a report and starts again.
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

// className is the name of a class, "" if there is none with that number.
func (cfg *Config) className(number int) string {
	for name, i := range cfg.classNumbers {
		if i == number {
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
