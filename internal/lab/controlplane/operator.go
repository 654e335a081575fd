package controlplane

import (
	"context"
	"fmt"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

const (
	resumeDelayMS  = 30_000 // time from a restore to the resumption of the ledger
	repairDelayMS  = 20_000 // the operator repairs a unit that has been out of service for this long
	maxResumptions = 20     // the operator rolls back a release that has had more commands than this
	outcomeUnknown = "unknown"
)

// runOperator simulates a round of the operator. The operator resumes whatever is halted, rolls back a release that does
// not progress, completes the permits of units that failed in a release, proposes the window again if a restore has lost
// it, and repairs units.
func (c *cluster) runOperator() {
	if !c.registry.available() {
		return
	}
	c.resumeLedger()
	claimed := map[string]bool{}
	for _, name := range c.registry.releases.Names() {
		state, commands := c.registry.releases.Get(name)
		c.resumeRelease(name, state, len(commands))
		c.completeFailedPermits(state, claimed)
	}
	c.resumeWindows()
	if c.scenario.proposed && len(c.registry.windows.Windows()) == 0 {
		c.applyAsOperator(c.scenario.proposal)
	}
	c.repairUnits(claimed)
}

// resumeLedger resumes the ledger. After a restore it waits for resumeDelayMS, in which the fleet registers again.
func (c *cluster) resumeLedger() {
	for _, halt := range c.registry.ledger.Halts() {
		if c.nowMS-c.checker.restoredMS > resumeDelayMS {
			resumed := &disruption.Halt{Scope: halt.Scope, IssuedBy: halt.IssuedBy}
			c.registry.commitLedgerOp(&disruption.Op{Kind: disruption.OpResume, Owner: operatorName, Halt: resumed})
		}
	}
}

// resumeRelease resumes a halted release that has handled all commands. After more than maxResumptions commands it rolls
// the release back.
func (c *cluster) resumeRelease(name string, state *release.State, commandCount int) {
	if state.Status.Phase != release.PhaseHalted || state.Status.HandledCommands != commandCount {
		return
	}
	action := release.ActionResume
	if commandCount > maxResumptions && !state.DrainOnly {
		action = release.ActionRollback
	}
	// Rejected where the release does not accept the command now; the next round decides again.
	_ = c.registry.commitReleaseOp(&release.Operation{Name: name, Command: &release.Command{Action: action, Operator: operatorName}})
}

// completeFailedPermits completes the permits of units that failed in a finished release. It records in claimed which
// units an unfinished release is working on.
func (c *cluster) completeFailedPermits(state *release.State, claimed map[string]bool) {
	finished := state.Status.Phase.Finished()
	for index := range state.Units {
		member := &state.Units[index]
		claimed[member.ID] = !finished && member.Stage != release.StagePending && member.Stage != release.StageConverged
		if finished && member.Stage == release.StageFailed {
			permit := &disruption.Permit{ID: state.PermitID(member)}
			c.registry.commitLedgerOp(&disruption.Op{Kind: disruption.OpForceComplete, Owner: operatorName, Permit: permit})
		}
	}
}

// resumeWindows resumes the halted scopes and windows.
func (c *cluster) resumeWindows() {
	for _, scope := range sortedKeys(c.registry.windows.Halts()) {
		c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpResume, Scope: scope})
	}
	for _, window := range c.registry.windows.Windows() {
		if window.Stage == maintenance.StageHalted {
			c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpResume, Scope: "window/" + window.Name})
		}
	}
}

// repairUnits restarts units that have crashed, and ends the drain of units that have no permit to drain. It skips units
// that a release is working on.
func (c *cluster) repairUnits(claimed map[string]bool) {
	list := c.platformList()
	if list == nil || !list.Complete {
		return
	}
	for _, member := range c.units {
		recent := c.nowMS-member.observed.outSinceMS < repairDelayMS
		if claimed[member.ID] || member.decommissioned || member.observed.inService || recent {
			continue
		}
		if !member.alive {
			c.restartUnit(member, list.Find(member.name), list.Epoch)
		}
		_, permitted := c.registry.permitByUnit[member.ID]
		if !permitted && member.alive && c.registry.drainRevisions[member.ID] != 0 {
			delete(c.registry.drainRevisions, member.ID)
			c.registry.revision++
			member.registrationPending = true
		}
	}
}

// restartUnit restarts a unit that has no process, on its current version. reported is the platform's entry for the unit,
// or nil. If the platform reports the unit as starting, an earlier start was executed only in part, and the unit is
// stopped first.
func (c *cluster) restartUnit(target *unit, reported *supervisor.Unit, epoch uint64) {
	switch {
	case reported == nil:
		c.callPlatform(startRequest(c.nextRequestID(), target, epoch, 0))
	case reported.State == supervisor.Exited:
		c.callPlatform(startRequest(c.nextRequestID(), target, epoch, reported.Incarnation))
	case reported.State == supervisor.Starting:
		c.callPlatform(supervisor.Request{
			ID:          c.nextRequestID(),
			Op:          supervisor.Stop,
			Epoch:       epoch,
			Unit:        target.name,
			Incarnation: reported.Incarnation,
		})
	}
}

// nextRequestID returns the ID of the operator's next request to the platform.
func (c *cluster) nextRequestID() string {
	c.requestCount++
	return fmt.Sprintf("ops-%d", c.requestCount)
}

// callPlatform sends a request of the operator to the platform.
func (c *cluster) callPlatform(request supervisor.Request) {
	_, _ = c.platform.Do(context.Background(), request) // the operator's next round checks the effect and retries
}

// applyAsOperator writes a maintenance operation without a fencing token. It returns the outcome, or outcomeUnknown if
// there is no response.
func (c *cluster) applyAsOperator(op *maintenance.Operation) string {
	stamp := maintenance.Timestamp{ControllerMS: c.registry.leaderTimeMS(), UncertaintyMS: clockUncertaintyMS}
	c.writeCount++
	id := fmt.Sprintf("operator/%d", c.writeCount)
	result, known := c.registry.write(id, "", 0, func() writeResult { return c.registry.applyMaintenanceOp(op, stamp) })
	if !known {
		return outcomeUnknown
	}
	return result.outcome
}

// withdrawContract withdraws a tenant's contract, and returns the outcome.
func (c *cluster) withdrawContract(tenant string) string {
	return c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: tenant})
}

// setContract sets a contract with the same approved hours every day in the tenant's local time, and the disruption
// budget that belongs to it. The checker gets only the hours, not the contract.
func (c *cluster) setContract(tenant, timeZone string, opens time.Time, length time.Duration) {
	daily := calendar.Rule{Recurrence: "FREQ=DAILY", Start: opens.Format("15:04"), Length: length.String(), FirstDay: "2020-01-01"}
	tenantContract := contract.Contract{
		Tenant:               tenant,
		Notice:               "0s",
		MinutesPerMonth:      10_000,
		MinAvailableShare:    0.5,
		MaxConcurrentWindows: 2,
		OverrunPolicy:        contract.OverrunHaltsTenant,
		Spec:                 calendar.Spec{Zone: timeZone, ApprovedHours: []calendar.Rule{daily}},
	}
	approval := maintenance.NewPlanner().Approval(&maintenance.ActiveContract{Contract: tenantContract}, c.nowMS, 0)
	c.checker.setHours(tenant, opens, length)
	outcome := c.applyAsOperator(&maintenance.Operation{
		Kind:            maintenance.OpSetContract,
		Contract:        &tenantContract,
		CurrentApproval: approval,
	})
	if outcome != string(maintenance.OutcomeApplied) {
		c.checker.report(ruleApprovedHours, fmt.Sprintf("contract of %s: %s", tenant, outcome))
	}
	budget := maintenance.ContractBudget(&tenantContract)
	c.registry.commitLedgerOp(&disruption.Op{Kind: disruption.OpSetBudget, Owner: operatorName, Budget: budget})
}
