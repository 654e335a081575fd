package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"milldeck/balance"
	"milldeck/internal/placement"
)

const (
	reportInterval = time.Second // between two load reports
	// minDelayDivisor: after a report that took long, the next one still waits for this part of the interval.
	minDelayDivisor = 10
)

// buildReport describes the placement in force and the requests since the last report.
func (l *eventLoop) buildReport(nowMS float64) *placement.LoadReport {
	active := l.placement.active
	report := &placement.LoadReport{
		Sidecar:           l.config.Name,
		Zone:              l.config.zoneName(),
		Version:           l.placement.version,
		PlacementRevision: active.revision,
		PlacementEpoch:    active.epoch,
		EndpointRevision:  uint64(max(l.discovery.revision.Load(), 0)),
		ExcludedInFlight:  l.excludedInFlight(),
	}
	suspended := l.balancer.SuspendedExclusions()
	for i := range active.directives {
		id := active.directives[i].ID
		balancerID, ok := active.balancerIDs[id]
		if ok && slices.Contains(suspended, balancerID) && len(report.SuspendedDirectives) < placement.MaxExclusions {
			report.SuspendedDirectives = append(report.SuspendedDirectives, id)
		}
	}
	active.recorder.flushInto(report, nowMS)
	return report
}

// zoneName is the name of the sidecar's zone, "" if the settings name none.
func (cfg *Config) zoneName() string {
	for name, number := range cfg.zoneNumbers {
		if number == cfg.settings.Zone {
			return name
		}
	}
	return ""
}

// excludedInFlight counts, for each exclusion in force, the attempts in flight on the servers that it excludes. Also an
// exclusion of another tenant is in force here and counts 0, as its owner waits for that. Where there are too many to
// report, those without attempts are left out, which means the same.
func (l *eventLoop) excludedInFlight() map[string]int {
	counts := map[string]int{}
	directives := l.placement.active.directives
	for i := range directives {
		directive := &directives[i]
		switch {
		case directive.excluded != nil:
			counts[directive.ID] = l.countInFlightAt(directive)
		case directive.Kind == placement.KindExclude:
			counts[directive.ID] = 0
		}
	}
	if len(counts) > placement.MaxExclusions {
		maps.DeleteFunc(counts, func(_ string, count int) bool { return count == 0 })
	}
	return counts
}

// countInFlightAt counts the attempts of an exclusion's tenant that are in flight on the servers that it excludes.
func (l *eventLoop) countInFlightAt(directive *activeDirective) int {
	count := 0
	for _, call := range l.calls.byID {
		if directive.tenant != balance.AllTenants && directive.tenant != call.request.Tenant {
			continue
		}
		for _, attempt := range call.attempts {
			if !attempt.completed && directive.excluded[attempt.upstream.id] {
				count++
			}
		}
	}
	return count
}

// runReporter posts a report each interval until ctx ends, once a placement has arrived: an older agent, which serves
// none, accepts no reports. A report that is not accepted is dropped with its counts, as a second post might count them
// twice.
func (p *placementClient) runReporter(ctx context.Context) {
	delay := rand.N(p.reportInterval) // so that sidecars that start together do not report together
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		startedAt := time.Now()
		if p.synced() && !p.reportOnce(ctx) {
			return
		}
		delay = max(p.reportInterval-time.Since(startedAt), p.reportInterval/minDelayDivisor)
	}
}

// reportOnce asks the event loop for a report and posts it. It returns false if ctx ends before the report is built.
func (p *placementClient) reportOnce(ctx context.Context) bool {
	reportDue := make(chan *placement.LoadReport, 1)
	p.post(p.snapshot(reportDue))
	select {
	case <-ctx.Done():
		return false
	case report := <-reportDue:
		if err := p.postReport(ctx, report); err != nil {
			placementLog.Debug("load report not accepted", "error", err)
		}
		return true
	}
}

// postReport posts a report within the time to the next one.
func (p *placementClient) postReport(ctx context.Context, report *placement.LoadReport) error {
	data, err := encodeReport(report)
	if err != nil {
		return err
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
	// The body is read so that the connection can be reused.
	if _, err := io.CopyN(io.Discard, resp.Body, maxResponseHeaderBytes); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &unexpectedStatusError{resp.Status}
	}
	return nil
}

// encodeReport encodes a report as JSON. One that is too large goes without its counts, and then without its hot keys.
// Exclusions are never left out one by one, as a missing one means that nothing is in flight.
func encodeReport(report *placement.LoadReport) ([]byte, error) {
	data, err := json.Marshal(report)
	for _, shrink := range []func(){
		func() { report.ClassCounts = nil },
		func() { report.HotKeys, report.TotalKeyLoad = nil, 0 },
	} {
		if err == nil && len(data) > placement.MaxReportBytes {
			shrink()
			data, err = json.Marshal(report)
		}
	}
	if err != nil {
		return nil, err
	}
	if len(data) > placement.MaxReportBytes {
		return nil, fmt.Errorf("load report of %d bytes, at most %d", len(data), placement.MaxReportBytes)
	}
	return data, nil
}
