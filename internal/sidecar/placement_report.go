package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"milldeck/balance"
	"milldeck/internal/placement"
)

const (
	reportInterval = time.Second // between two load reports
	// minDelayDivisor sets the minimum delay between two reports, reportInterval / minDelayDivisor, if posting a report takes
	// long.
	minDelayDivisor = 10
)

// buildReport builds a load report on the placement in force and on the requests since the last report.
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

// zoneName returns the name of the sidecar's zone, or "" if the settings do not name it.
func (cfg *Config) zoneName() string {
	for name, index := range cfg.zoneIndexes {
		if index == cfg.settings.Zone {
			return name
		}
	}
	return ""
}

// excludedInFlight counts, for each exclusion in force, the attempts in flight on the excluded servers. An exclusion of a
// tenant that this sidecar does not serve is reported as in force with 0 attempts, because the owner of the exclusion waits
// for this report.
func (l *eventLoop) excludedInFlight() map[string]int {
	counts := map[string]int{}
	for _, directive := range l.reportedExclusions() {
		counts[directive.ID] = 0
		if directive.excluded != nil {
			counts[directive.ID] = l.countInFlightAt(directive)
		}
	}
	return counts
}

// reportedExclusions returns the exclusions in force. If there are too many to report, it returns the newest ones, for which
// their owners wait. An exclusion that is left out counts as not in force yet.
func (l *eventLoop) reportedExclusions() []*activeDirective {
	var exclusions []*activeDirective
	directives := l.placement.active.directives
	for i := range directives {
		if directives[i].Kind == placement.KindExclude {
			exclusions = append(exclusions, &directives[i])
		}
	}
	if len(exclusions) <= placement.MaxExclusions {
		return exclusions
	}
	slices.SortStableFunc(exclusions, func(a, b *activeDirective) int { return cmp.Compare(b.Revision, a.Revision) })
	return exclusions[:placement.MaxExclusions]
}

// countInFlightAt counts the attempts of the exclusion's tenant that are in flight on the excluded servers.
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

// runReporter posts a report in each interval until ctx ends. It starts when a placement has arrived, as an older agent that
// does not serve a placement accepts no reports either. A report that is not accepted is dropped with its counts, as a
// second post could count them twice.
func (p *placementClient) runReporter(ctx context.Context) {
	delay := rand.N(p.reportInterval) // random, so that sidecars that start at the same time do not report at the same time
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

// reportOnce requests a report from the event loop and posts it. It returns false if ctx ends before the report is built.
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

// postReport posts a report. It gives up after one report interval, when the next report is due.
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
	// The transport reuses the connection only after the body has been read.
	if _, err := io.CopyN(io.Discard, resp.Body, maxResponseHeaderBytes); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &unexpectedStatusError{resp.Status}
	}
	return nil
}

// encodeReport encodes a report as JSON. If the report is too large, it drops the class counts and then the hot keys. It
// never drops single exclusions, as a missing exclusion means that no attempts are in flight.
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
		return nil, fmt.Errorf("load report has %d bytes, the limit is %d", len(data), placement.MaxReportBytes)
	}
	return data, nil
}
