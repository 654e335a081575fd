package controlplane

import (
	"fmt"
	"strings"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/release"
)

// maxListedBlockedUnits is the number of blocked units that are described for an unfinished release.
const maxListedBlockedUnits = 3

// checkEnd checks ruleStranded at the end of a simulation, and ruleApprovedHours on the exclusions that are still active.
func (c *checker) checkEnd() {
	targetVersions, listed := c.checkReleases()
	for _, member := range c.cluster.units {
		c.observe(member)
		if !listed[member.ID] {
			c.checkUnit(member, targetVersions[member.ID])
		}
	}
	for _, window := range c.cluster.registry.windows.Windows() {
		if window.OutOfService() {
			c.reportUnfinishedWindow(window)
		}
	}
	for _, member := range c.cluster.sidecars {
		c.cluster.endAllExclusions(member)
	}
}

// checkReleases checks that every release has finished. It returns the version that each unit of a release should have,
// and the units that a release itself lists as stranded.
func (c *checker) checkReleases() (targetVersions map[string]string, listed map[string]bool) {
	targetVersions, listed = map[string]string{}, map[string]bool{}
	for _, name := range c.cluster.registry.releases.Names() {
		state, _ := c.cluster.registry.releases.Get(name)
		status := &state.Status
		if !status.Phase.Finished() {
			c.report(ruleStranded, fmt.Sprintf("release %s is in phase %s at the end: %s %s",
				name, status.Phase, status.HaltReason, c.cluster.describeBlockedUnits(state)))
		}
		for index := range state.Units {
			member := &state.Units[index]
			targetVersions[member.ID] = member.Previous.Version
			if status.Phase == release.PhaseCompleted {
				targetVersions[member.ID] = member.Target.Version
			}
			listed[member.ID] = listed[member.ID] || listsUnit(status.Stranded, member.ID)
		}
	}
	return targetVersions, listed
}

// listsUnit reports whether a line is about a unit: it starts with the unit's ID, then a space or a colon.
func listsUnit(lines []string, unitID string) bool {
	for _, line := range lines {
		if strings.HasPrefix(line, unitID+" ") || strings.HasPrefix(line, unitID+":") {
			return true
		}
	}
	return false
}

// checkUnit checks that a unit is in service on the target version. An empty version stands for the initial one.
func (c *checker) checkUnit(target *unit, targetVersion string) {
	if targetVersion == "" {
		targetVersion = initialVersion
	}
	switch inService := target.observed.inService; {
	case target.decommissioned && inService:
		c.report(ruleStranded, target.ID+" is in service, and should be drained")
	case target.decommissioned:
	case !inService:
		outSinceS := float64(target.observed.outSinceMS-c.cluster.startMS) / 1000
		terminating := c.cluster.registry.drainRevisions[target.ID] != 0
		c.report(ruleStranded, fmt.Sprintf("%s is out of service since %.0f s: alive %v, Terminating %v, under maintenance %v",
			target.ID, outSinceS, target.alive, terminating, target.underMaintenance))
	case target.version != targetVersion:
		c.report(ruleStranded, fmt.Sprintf("%s is on version %s, should be on %s", target.ID, target.version, targetVersion))
	}
}

// reportUnfinishedWindow reports a window whose servers are still out of service.
func (c *checker) reportUnfinishedWindow(window *maintenance.Window) {
	registry := c.cluster.registry
	permit, _ := registry.permit(window.PermitID())
	c.report(ruleStranded, fmt.Sprintf("window %s is in stage %s at the end: %s, permit %s",
		window.Name, window.Stage, window.Reason, permit.Stage))
	for _, uid := range window.ServerUIDs {
		known, _ := registry.ledger.Unit(disruption.UnitID(disruption.KindServer, uid))
		inService := c.cluster.unitsByName[uid].observed.inService
		c.report(ruleStranded, fmt.Sprintf("%s in service %v, ledger %+v, permit begun at revision %d, returning at %d",
			uid, inService, known, permit.BeginRevision, permit.ReturnRevision))
	}
}

// describeBlockedUnits describes the units for which a release waits, and the halts of the ledger.
func (c *cluster) describeBlockedUnits(state *release.State) string {
	var blocked []string
	for index := range state.Units {
		member := &state.Units[index]
		if member.Stage == release.StageConverged || member.Stage == release.StagePending || len(blocked) == maxListedBlockedUnits {
			continue
		}
		known, _ := c.registry.ledger.Unit(member.ID)
		permit, _ := c.registry.permit(state.PermitID(member))
		unitText := fmt.Sprintf("%s %s, rollback %v, %s", member.ID, member.Stage, member.Rollback, member.Reason)
		permitText := fmt.Sprintf("permit %s granted at revision %d, begun at %d, aborted %v",
			permit.Stage, permit.GrantRevision, permit.BeginRevision, permit.Aborted)
		blocked = append(blocked, fmt.Sprintf("%s (ledger: %s, %s)", unitText, known.Condition, permitText))
	}
	return fmt.Sprintf("%s %v", strings.Join(blocked, "; "), c.registry.ledger.Halts())
}
