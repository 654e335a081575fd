package controlplane

import (
	"fmt"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/release"
)

// checkEnd judges how the night ends.
func (c *checker) checkEnd() {
	cluster := c.cluster
	wantedVersions, listed := map[string]string{}, map[string]bool{}
	for _, name := range cluster.registry.releases.Names() {
		state, _ := cluster.registry.releases.Get(name)
		if !state.Status.Phase.Finished() {
			c.report(ruleStranded, fmt.Sprintf("release %s is %s at the end: %s %s", name, state.Status.Phase, state.Status.HaltReason, cluster.describeBlockedUnits(state)))
		}
		for i := range state.Units {
			member := &state.Units[i]
			wantedVersions[member.ID] = member.Previous.Version
			if state.Status.Phase == release.PhaseCompleted {
				wantedVersions[member.ID] = member.Target.Version
			}
			for _, line := range state.Status.Stranded {
				listed[member.ID] = listed[member.ID] || strings.HasPrefix(line, member.ID+" ") || strings.HasPrefix(line, member.ID+":")
			}
		}
	}
	for _, member := range cluster.units {
		c.observe(member)
		wanted := wantedVersions[member.ID]
		if wanted == "" {
			wanted = "1"
		}
		switch {
		case listed[member.ID]:
		case member.decommissioned && member.observed.inService:
			c.report(ruleStranded, member.ID+" serves, and should be gone")
		case member.decommissioned:
		case !member.observed.inService:
			c.report(ruleStranded, fmt.Sprintf("%s is out since %.0f s: alive %v, Terminating %v, busy %v", member.ID,
				float64(member.observed.outSinceMS-cluster.startMS)/1000, member.alive, cluster.registry.drainRevisions[member.ID] != 0, member.underMaintenance))
		case member.version != wanted:
			c.report(ruleStranded, fmt.Sprintf("%s is on version %s, should be on %s", member.ID, member.version, wanted))
		}
	}
	for _, window := range cluster.registry.windows.Windows() {
		if window.OutOfService() {
			permit, _ := cluster.registry.permit(window.PermitID())
			c.report(ruleStranded, fmt.Sprintf("window %s is %s at the end: %s, permit %s", window.Name, window.Stage, window.Reason, permit.Stage))
			for _, uid := range window.ServerUIDs {
				ledgerUnit, _ := cluster.registry.ledger.Unit(disruption.UnitID(disruption.KindServer, uid))
				c.report(ruleStranded, fmt.Sprintf("%s serves %v, ledger %+v, permit out %d back %d", uid, cluster.unitsByName[uid].observed.inService, ledgerUnit, permit.BeginRevision, permit.ReturnRevision))
			}
		}
	}
	for _, member := range cluster.sidecars {
		cluster.endAllExclusions(member)
	}
}

// describeBlockedUnits tells what a release waits for.
func (c *cluster) describeBlockedUnits(state *release.State) string {
	var blocked []string
	for index := range state.Units {
		if member := &state.Units[index]; member.Stage != release.StageConverged && member.Stage != release.StagePending && len(blocked) < 3 {
			ledgerUnit, _ := c.registry.ledger.Unit(member.ID)
			permit, _ := c.registry.permit(state.PermitID(member))
			blocked = append(blocked, fmt.Sprintf("%s %s back %v %s (ledger: %s, permit %s of revision %d, out at %d, undone %v)", member.ID, member.Stage, member.Rollback, member.Reason,
				ledgerUnit.Condition, permit.Stage, permit.GrantRevision, permit.BeginRevision, permit.Aborted))
		}
	}
	halts := c.registry.ledger.Halts()
	return strings.Join(blocked, "; ") + fmt.Sprint(halts)
}
