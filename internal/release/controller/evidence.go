package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/loadreport"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// recordReports uses the sidecars' reports. Each call updates the drains with the revision of the endpoint list that each
// sidecar has. At most once per judgeInterval, a call also adds the reported counts to the analysis, in which package judge
// compares the new version with the old one.
func (t *leaseTerm) recordReports(observed *observation, nowMS int64) {
	reports, _ := t.Reports.Snapshot()
	revisions := sidecarRevisions(observed.sidecars, reports)
	liveSidecars := slices.Sorted(maps.Keys(revisions))
	t.drains.Update(nowMS, terminatingServers(&observed.list), observed.list.Revision, liveSidecars, revisions)
	if time.Since(t.previousIntervalAt) < judgeInterval {
		return
	}
	t.previousIntervalAt = time.Now()
	fresh := t.freshReports(reports)
	t.analysis.Add(t.state, t.state.Interval(fresh, len(liveSidecars), t.previousPlatformList, observed.platform))
	if observed.platform != nil {
		t.previousPlatformList = observed.platform
	}
}

// sidecarRevisions returns the revision of the endpoint list that each live sidecar has: the newer of the revision in the
// registry and that in the sidecar's own report.
func sidecarRevisions(sidecars []registry.Sidecar, reports []loadreport.ReceivedReport) map[string]uint64 {
	revisions := make(map[string]uint64, len(sidecars))
	for i := range sidecars {
		revisions[sidecars[i].Name] = sidecars[i].ListRevision
	}
	for i := range reports {
		if revision, live := revisions[reports[i].Sidecar]; live {
			revisions[reports[i].Sidecar] = max(revision, reports[i].EndpointRevision)
		}
	}
	return revisions
}

// terminatingServers returns the ledger IDs of the servers that are Terminating in the endpoint list.
func terminatingServers(list *registry.EndpointList) []string {
	var ids []string
	for i := range list.Targets {
		if list.Targets[i].State == registry.InstanceTerminating {
			ids = append(ids, disruption.UnitID(disruption.KindServer, list.Targets[i].UID))
		}
	}
	return ids
}

// freshReports returns the reports that were received after the previous interval.
func (t *leaseTerm) freshReports(reports []loadreport.ReceivedReport) []placement.LoadReport {
	var fresh []placement.LoadReport
	for i := range reports {
		receivedAt, known := t.reportTimes[reports[i].Sidecar]
		if !known || receivedAt != reports[i].ReceivedAt {
			fresh = append(fresh, reports[i].LoadReport)
		}
	}
	clear(t.reportTimes)
	for i := range reports {
		t.reportTimes[reports[i].Sidecar] = reports[i].ReceivedAt
	}
	return fresh
}

// reportWarmServers reports restarted servers that have been ready for WarmUpTime to the ledger as warm. The ledger ignores
// the report on a unit that has changed since the ledger was read.
func (t *leaseTerm) reportWarmServers(ctx context.Context, units map[string]disruption.Unit, platform *supervisor.List) {
	if t.WarmUpTime == 0 || platform == nil {
		return
	}
	var warm []disruption.Unit
	for i := range t.state.Units {
		unit := &t.state.Units[i]
		ledgerUnit := units[unit.ID]
		if unit.Stage == release.StageWarmingUp && notYetWarm(&ledgerUnit) && t.readyForWarmUpTime(platform, unit.Name) {
			warm = append(warm, disruption.Unit{
				ID:                 unit.ID,
				Condition:          disruption.ConditionUp,
				TransitionRevision: ledgerUnit.TransitionRevision,
			})
		}
	}
	if len(warm) == 0 {
		return
	}
	op := disruption.Op{Kind: disruption.OpObserve, Owner: release.Owner(t.Name), Observed: warm}
	if _, err := t.Store.ApplyLedgerOp(ctx, t.writeOptions(), op); err != nil {
		t.logger.Debug("failed to report warm servers to the ledger", "units", len(warm), "error", err)
	}
}

// notYetWarm reports whether a unit is a server that is not warm yet according to the ledger.
func notYetWarm(unit *disruption.Unit) bool {
	if unit.Kind != disruption.KindServer {
		return false
	}
	return unit.Condition == disruption.ConditionWarmingUp || unit.Condition == disruption.ConditionUnready
}

// readyForWarmUpTime reports whether a unit has been running for WarmUpTime according to the platform.
func (t *leaseTerm) readyForWarmUpTime(platform *supervisor.List, name string) bool {
	listed := platform.Find(name)
	if listed == nil || listed.State != supervisor.Running {
		return false
	}
	return platform.AtMS-listed.SinceMS >= t.WarmUpTime.Milliseconds()
}
