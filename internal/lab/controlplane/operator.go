package controlplane

import (
	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/release"
)

// runOperator does what people do who look every few seconds: resumes what is in doubt once the fleet is seen again, sends
// back what harms, starts what has ended and nobody works on, and gives up permits of units that a release has lost.
func (c *cluster) runOperator() {
	registry := c.registry
	if !registry.hasLeader() {
		return
	}
	for _, status := range registry.ledger.Halts() {
		if c.nowMS-c.checker.restoredMS > 30_000 {
			registry.revision++
			registry.ledger.Apply(registry.revision, &disruption.Op{Kind: disruption.OpResume, Owner: "operator/ops", Halt: &disruption.Halt{Scope: status.Scope, IssuedBy: status.IssuedBy}})
		}
	}
	claimed := map[string]bool{}
	for _, name := range registry.releases.Names() {
		state, commands := registry.releases.Get(name)
		status := state.Status
		if status.Phase == release.PhaseHalted && status.HandledCommands == len(commands) {
			action := release.CommandResume
			if len(commands) > 20 && !state.DrainOnly { // it does not get on: people give up
				action = release.CommandRollback
			}
			registry.revision++
			registry.releases.Apply(registry.revision, &release.Operation{Name: name, Command: &release.Command{Action: action, Operator: "operator/ops"}})
		}
		for i := range state.Units {
			member := &state.Units[i]
			claimed[member.ID] = !status.Phase.Finished() && member.Stage != release.StagePending && member.Stage != release.StageConverged
			if status.Phase.Finished() && member.Stage == release.StageFailed {
				registry.revision++
				registry.ledger.Apply(registry.revision, &disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/ops", Permit: &disruption.Permit{ID: state.PermitID(member)}})
			}
		}
	}
	for _, scope := range sortedKeys(registry.windows.Halts()) {
		c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpResume, Scope: scope})
	}
	for _, window := range registry.windows.Windows() {
		if window.Stage == maintenance.StageHalted {
			c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpResume, Scope: "window/" + window.Name})
		}
	}
	if c.scenario.proposed && len(registry.windows.Windows()) == 0 { // a restore has lost it
		c.applyAsOperator(c.scenario.proposal)
	}
	c.repairUnits(claimed)
}

// repairUnits starts what has ended by itself, and puts back into the list what drains for nobody.
func (c *cluster) repairUnits(claimedUnits map[string]bool) {
	list := c.platformList()
	if list == nil || !list.Complete {
		return
	}
	for _, member := range c.units {
		if claimedUnits[member.ID] || member.decommissioned || member.observed.inService || c.nowMS-member.observed.outSinceMS < 20_000 {
			continue
		}
		reported := list.Find(member.name)
		if !member.alive {
			c.restartUnit(member, reported, list.Epoch)
		}
		if _, permitted := c.registry.permitByUnit[member.ID]; !permitted && member.alive && c.registry.drainRevisions[member.ID] != 0 {
			delete(c.registry.drainRevisions, member.ID)
			c.registry.revision++
			member.changing = true
		}
	}
}
