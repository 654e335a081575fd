package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"time"

	"milldeck/balance"
	"milldeck/internal/hotkey/topk"
	"milldeck/internal/placement"
)

const (
	reportInterval  = time.Second
	trackedKeys     = 64  // counted at a time: half of them are reported, the colder half is what the next hot key comes from
	keyLoadHalfLife = 0.7 // s in which a load is half forgotten: an onset has to show within a second
	meanWorkSamples = 50  // answers over which the mean work of a class is taken
)

// reportRecorder counts what the next report says. It is the loop's alone.
type reportRecorder struct {
	config      *Config
	keyLoad     *topk.Sketch
	workByClass []meanWork // by class
	counts      map[countKey]*placement.ClassCount
	spanStartMS float64
}

// meanWork is what answers of a class took of late, ms; what took longer than the class's aim waited.
type meanWork struct{ samples, meanMS float64 }

type countKey struct {
	class        int
	zone, cohort string
}

func newReportRecorder(config *Config, nowMS float64) *reportRecorder {
	return &reportRecorder{
		config: config, keyLoad: topk.New(trackedKeys, keyLoadHalfLife), workByClass: make([]meanWork, len(config.settings.Classes)),
		counts: map[countKey]*placement.ClassCount{}, spanStartMS: nowMS,
	}
}

// recordRequest counts a request into its key's heat, also one that is refused later: so much is asked for. Its work is what
// the client expects, or else what its class's answers take.
func (g *reportRecorder) recordRequest(nowMS float64, request *balance.Request) {
	if request.Key == 0 {
		return
	}
	workMS := request.ExpectedWork
	if !(workMS > 0) {
		workMS = g.workByClass[request.Class].meanMS
	}
	g.keyLoad.Add(nowMS/1e3, request.Key, workMS)
}

// recordOutcome counts what became of an attempt at a server. What was cancelled or never left says nothing of the server.
func (g *reportRecorder) recordOutcome(nowMS float64, attempt *attempt, result balance.Result, cohort string) {
	if result == balance.Cancelled || result == balance.Obsolete {
		return
	}
	class := attempt.call.request.Class
	key := countKey{class, attempt.upstream.zone, cohort}
	count := g.counts[key]
	if count == nil {
		if len(g.counts) >= placement.MaxClassCounts {
			return
		}
		count = &placement.ClassCount{Zone: key.zone, Cohort: key.cohort, LatencyHistogram: make([]uint32, len(placement.LatencyBucketBounds)+1)}
		g.counts[key] = count
	}
	if result != balance.OK {
		count.Failed++
		return
	}
	latencyMS, objectiveMS := nowMS-attempt.decidedAtMS, g.config.settings.Classes[class].LatencyObjective
	count.Succeeded++
	if latencyMS > objectiveMS {
		count.Late++
	}
	count.LatencyHistogram[sort.SearchFloat64s(placement.LatencyBucketBounds, latencyMS)]++
	work := &g.workByClass[class]
	work.samples = math.Min(work.samples+1, meanWorkSamples)
	work.meanMS += (math.Min(latencyMS, objectiveMS) - work.meanMS) / work.samples
}

// flushInto writes what was counted since the last time into a report and begins anew.
func (g *reportRecorder) flushInto(report *placement.LoadReport, nowMS float64) {
	report.IntervalMS, g.spanStartMS = math.Max(nowMS-g.spanStartMS, 0), nowMS
	top := g.keyLoad.Top(nowMS/1e3, placement.MaxHotKeys)
	report.TotalKeyLoad = top.Total
	for _, figure := range top.Keys {
		report.HotKeys = append(report.HotKeys, placement.KeyLoad{KeyHash: fmt.Sprintf("%016x", figure.Key), Load: figure.Load, ErrorBound: figure.Error})
	}
	for key, count := range g.counts {
		for name, i := range g.config.classNumbers {
			if i == key.class {
				count.Class = name
			}
		}
		for len(count.LatencyHistogram) > 0 && count.LatencyHistogram[len(count.LatencyHistogram)-1] == 0 {
			count.LatencyHistogram = count.LatencyHistogram[:len(count.LatencyHistogram)-1]
		}
		report.ClassCounts = append(report.ClassCounts, *count)
	}
	slices.SortFunc(report.ClassCounts, func(a, b placement.ClassCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Cohort, b.Cohort))
	})
	clear(g.counts)
}

// runReporter reports once a second until ctx ends, as soon as a placement is known: an agent that knows of none takes no
// reports. One that is not taken is dropped and its counts with it: told again, they might count twice.
func (p *placementClient) runReporter(ctx context.Context) {
	pause := rand.N(p.reportInterval) // sidecars that started together report apart
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		startedAt := time.Now()
		if p.placementKnown() {
			reportDue := make(chan *placement.LoadReport, 1)
			p.post(p.snapshot(reportDue))
			select {
			case <-ctx.Done():
				return
			case report := <-reportDue:
				if err := p.postReport(ctx, report); err != nil {
					slog.Debug("report not taken", "error", err)
				}
			}
		}
		pause = max(p.reportInterval-time.Since(startedAt), p.reportInterval/10)
	}
}

// postReport posts a report within the time to the next. One that is too large goes without counts, then without heat; what
// is open is told whole or not at all, as none told means none open.
func (p *placementClient) postReport(ctx context.Context, report *placement.LoadReport) error {
	data, err := json.Marshal(report)
	for _, shrink := range []func(){func() { report.ClassCounts = nil }, func() { report.HotKeys, report.TotalKeyLoad = nil, 0 }} {
		if err == nil && len(data) > placement.MaxReportBytes {
			shrink()
			data, err = json.Marshal(report)
		}
	}
	if err != nil {
		return err
	}
	if len(data) > placement.MaxReportBytes {
		return fmt.Errorf("%d bytes, at most %d", len(data), placement.MaxReportBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, p.reportInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.baseURL+"report", bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.CopyN(io.Discard, resp.Body, maxResponseHeader); err != nil && err != io.EOF { // so that its connection is kept
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the agent answers %s", resp.Status)
	}
	return nil
}
