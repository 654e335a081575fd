package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// unitName is a unit's name in the list and at the platform.
func unitName(id string) string {
	_, name, _ := strings.Cut(id, "/")
	return name
}

// observe sees the fleet as it is. Without the ledger or the list nothing is decided; the platform may be silent.
func (t *leaseTerm) observe(ctx context.Context) (*release.View, error) {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	ledger, err := t.Store.LedgerView(ctx, true, true)
	if err != nil {
		return nil, fmt.Errorf("release %s: the ledger: %w", t.Name, err)
	}
	if ledger.Revision < t.ledgerRevision { // a replica that has fallen behind: what it lacks is no news
		return nil, fmt.Errorf("release %s: the ledger at revision %d, after %d", t.Name, ledger.Revision, t.ledgerRevision)
	}
	t.ledgerRevision = ledger.Revision
	list, err := t.Store.List(ctx, true)
	if err != nil {
		return nil, fmt.Errorf("release %s: the list: %w", t.Name, err)
	}
	sidecars, err := t.Store.Sidecars(ctx)
	if err != nil {
		return nil, fmt.Errorf("release %s: the sidecars: %w", t.Name, err)
	}
	platform, err := t.Platform.List(ctx)
	if err != nil {
		platform = nil
	}
	units := make(map[string]disruption.Unit, len(ledger.Units))
	for _, unit := range ledger.Units {
		units[unit.ID] = unit
	}
	sidecarRevisions := make(map[string]uint64, len(sidecars)) // the list of each sidecar that lives
	for target := range sidecars {
		sidecarRevisions[sidecars[target].Name] = sidecars[target].ListRevision
	}
	permits := make(map[string]disruption.Permit, len(ledger.Permits))
	for _, permit := range ledger.Permits {
		permits[permit.ID] = permit
	}
	var terminating []string
	for _, target := range list.Targets {
		if target.State == registry.InstanceTerminating {
			terminating = append(terminating, disruption.UnitID(disruption.KindServer, target.UID))
		}
	}
	nowMS := t.elapsedMS()
	t.recordReports(sidecarRevisions, terminating, list.Revision, platform, nowMS)
	t.reportWarmServers(ctx, units, platform)
	return &release.View{
		NowMS: time.Now().UnixMilli(), Token: t.guard.Token, Platform: platform, Outcomes: t.outcomes, DeniedPermits: t.deniedPermits, Commands: t.commands,
		Verdict:  t.analysis.Verdict(t.state),
		Permit:   func(id string) (disruption.Permit, bool) { permit, ok := permits[id]; return permit, ok },
		Unit:     func(id string) (disruption.Unit, bool) { unit, ok := units[id]; return unit, ok },
		Prepared: func(id string) bool { return t.PrepareUnit == nil || t.prepared[id] },
		Drained:  func(id string) bool { return t.drains.Drained(nowMS, id) },
		// What configuration a sidecar has read is not told by any sidecar yet: a release of a configuration alone halts at
		// its first unit, as there is no evidence.
		Running:         func(string) (release.Image, bool) { return release.Image{}, false },
		ConfigRejection: func(string, string) string { return "" },
	}, nil
}

// elapsedMS is monotonic, in ms, above 0.
func (t *leaseTerm) elapsedMS() int64 { return time.Since(t.startedAt).Milliseconds() + 1 }

// recordReports takes sidecars' reports in: what lists they have, and once a second what the judge compares.
func (t *leaseTerm) recordReports(sidecarRevisions map[string]uint64, terminating []string, listRevision uint64, platform *supervisor.List, nowMS int64) {
	reports, _ := t.Reports.Snapshot()
	liveSidecars := slices.Sorted(maps.Keys(sidecarRevisions))
	for i := range reports {
		if revision, live := sidecarRevisions[reports[i].Sidecar]; live {
			sidecarRevisions[reports[i].Sidecar] = max(revision, reports[i].EndpointRevision)
		}
	}
	t.drains.Update(nowMS, terminating, listRevision, liveSidecars, sidecarRevisions)
	if time.Since(t.judgedAt) < judgeInterval {
		return
	}
	t.judgedAt = time.Now()
	var fresh []placement.LoadReport
	for i := range reports {
		if receivedAt, known := t.reportTimes[reports[i].Sidecar]; !known || receivedAt != reports[i].ReceivedAt {
			fresh = append(fresh, reports[i].LoadReport)
		}
	}
	clear(t.reportTimes)
	for i := range reports {
		t.reportTimes[reports[i].Sidecar] = reports[i].ReceivedAt
	}
	t.analysis.Add(t.state, t.state.Interval(fresh, len(liveSidecars), t.previousList, platform))
	if platform != nil {
		t.previousList = platform
	}
}

// reportWarmServers tells the ledger of servers that come back and have been ready for long enough to be warm. A unit that has changed
// since it was looked at is left alone.
func (t *leaseTerm) reportWarmServers(ctx context.Context, units map[string]disruption.Unit, platform *supervisor.List) {
	if t.WarmUpTime == 0 || platform == nil {
		return
	}
	var warm []disruption.Unit
	for i := range t.state.Units {
		unit := &t.state.Units[i]
		ledgerUnit, listed := units[unit.ID], platform.Find(unit.Name)
		if unit.Stage == release.StageWarmingUp && ledgerUnit.Kind == disruption.KindServer && (ledgerUnit.Condition == disruption.ConditionWarmingUp || ledgerUnit.Condition == disruption.ConditionUnready) &&
			listed != nil && listed.State == supervisor.Running && platform.AtMS-listed.SinceMS >= t.WarmUpTime.Milliseconds() {
			warm = append(warm, disruption.Unit{ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: ledgerUnit.TransitionRevision})
		}
	}
	if len(warm) == 0 {
		return
	}
	op := disruption.Op{Kind: disruption.OpObserve, Owner: release.Owner(t.Name), Observed: warm}
	if _, err := t.Store.ApplyLedgerOp(ctx, registry.WriteOptions{Guard: t.guard}, op); err != nil {
		slog.Debug("not seen as warm", "release", t.Name, "units", len(warm), "error", err)
	}
}
