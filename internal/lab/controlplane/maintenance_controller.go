package controlplane

import (
	"fmt"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/placement"
)

// newMaintenanceController is the controller of windows.
type maintenanceController struct {
	process    *process
	clock      wallClock
	reconciler *maintenance.Reconciler
	token      uint64
}

func (c *cluster) newMaintenanceController(replica int, clock wallClock) *process {
	return c.newProcess(fmt.Sprintf("window-%d", replica), maintenance.LeaseName, func(p *process) controller { return &maintenanceController{process: p, clock: clock} })
}

func (c *maintenanceController) becomeLeader(token uint64) {
	c.reconciler, c.token = maintenance.NewReconciler(token), token
}

func (c *maintenanceController) clockReading() maintenance.ClockReading {
	return maintenance.ClockReading{MonotonicMS: c.process.cluster.nowMS, WallMS: c.process.cluster.nowMS + c.clock.offsetMS, UncertaintyMS: c.clock.uncertaintyMS}
}

func (c *maintenanceController) reconcile() {
	cluster, state := c.process.cluster, c.process.readState()
	if cluster.nowMS%1000 != 0 {
		return
	}
	now := c.clockReading()
	view := maintenance.ReadView(state.revision, state.windows, state.ledger)
	for _, window := range state.windows.Windows() {
		if window.Stage != maintenance.StageDraining {
			continue
		}
		for _, name := range view.LiveSidecars {
			if member := cluster.unitsByName[name]; member.alive && member.readyAtMS <= cluster.nowMS && member.sidecar.agentDownUntilMS <= cluster.nowMS {
				c.reconciler.ObserveReport(now, cluster.loadReport(member))
			}
		}
		break
	}
	effects, _ := c.reconciler.Reconcile(now, view)
	for _, effect := range effects {
		if !c.process.execute(func() { c.applyEffect(effect, now.Timestamp()) }) {
			return
		}
	}
}

// loadReport is what a sidecar says of what it keeps off.
func (c *cluster) loadReport(source *unit) placement.LoadReport {
	report := placement.LoadReport{Sidecar: source.name, PlacementRevision: source.sidecar.placementRevision, ExcludedInFlight: map[string]int{}}
	for id, active := range source.sidecar.exclusions {
		if active.expiresMS > c.nowMS {
			report.ExcludedInFlight[id] = 0
			if active.drainedMS > c.nowMS {
				report.ExcludedInFlight[id] = 1
			}
		}
	}
	return report
}

// applyEffect writes one effect.
func (c *maintenanceController) applyEffect(effect maintenance.Effect, stamp maintenance.Timestamp) {
	cluster := c.process.cluster
	reconciler := c.reconciler
	result, known := c.process.write(c.token, func() (string, string) {
		switch action := effect.Action.(type) {
		case *maintenance.Operation:
			return cluster.registry.applyMaintenanceOp(action, stamp)
		case *maintenance.LedgerAction:
			return cluster.applyLedgerAction(action)
		}
		panic(fmt.Sprintf("unknown action %T", effect.Action))
	})
	if known {
		reconciler.ObserveResult(c.clockReading(), effect, maintenance.EffectResult{Outcome: maintenance.Outcome(result.outcome), Reason: result.reason, Revision: cluster.registry.revision})
	}
}

// applyLedgerAction is an act on the ledger; its outcome is told in the words of windows.
func (c *cluster) applyLedgerAction(action *maintenance.LedgerAction) (string, string) {
	op := action.Operation()
	if action.Kind == disruption.OpObserve {
		op.Permit = nil
		for _, uid := range action.ServerUIDs {
			if member := c.unitsByName[uid]; c.inService(member) {
				op.Observed = append(op.Observed, disruption.Unit{ID: member.ID, Condition: disruption.ConditionUp})
			}
		}
		if len(op.Observed) == 0 {
			return string(maintenance.OutcomeApplied), ""
		}
	}
	switch outcome, reason := c.registry.applyLedgerOp(op); {
	case outcome == string(disruption.OutcomeApplied):
		return string(maintenance.OutcomeApplied), ""
	case action.Kind == disruption.OpRequest:
		return string(maintenance.OutcomeInvalid), reason
	default:
		return string(maintenance.OutcomeBlocked), reason
	}
}

// simulateWork is what the people and servers do that a window is for.
func (c *cluster) simulateWork(op *maintenance.Operation) {
	window := c.registry.windows.Window(op.Window)
	if window == nil || op.Kind == maintenance.OpExtendExclusion || op.Kind == maintenance.OpSchedule {
		return
	}
	switch {
	case op.Kind == maintenance.OpCompleteDrain:
		for _, uid := range window.ServerUIDs {
			member := c.unitsByName[uid]
			c.checker.requirePermit(member, "worked on")
			member.underMaintenance, member.changing = true, true
		}
	case window.OutOfService() && (window.Stage == maintenance.StageReturning || window.Stage == maintenance.StageOverrun):
		durationMS := 3000 + c.random.Int64N(12_000)
		if c.options.SlowReturn {
			durationMS += 1800_000
		}
		for _, uid := range window.ServerUIDs {
			member := c.unitsByName[uid]
			if !member.underMaintenance {
				continue
			}
			c.schedule(durationMS, func() {
				member.underMaintenance, member.changing = false, true
				if member.alive {
					member.warmAtMS = max(member.warmAtMS, c.nowMS+warmupMS)
				}
			})
		}
	}
}

// applyAsOperator is an operator's write about windows.
func (c *cluster) applyAsOperator(op *maintenance.Operation) string {
	leaderMS := c.nowMS + c.registry.leaderClock.offsetMS
	c.writeCount++
	result, known := c.registry.write(fmt.Sprintf("operator/%d", c.writeCount), "", 0, func() (string, string) {
		return c.registry.applyMaintenanceOp(op, maintenance.Timestamp{ControllerMS: leaderMS, UncertaintyMS: 250})
	})
	if !known {
		return "unknown"
	}
	return result.outcome
}

// setContract sets a contract of the same hours each day, by the tenant's own clock, and tells the judge.
func (c *cluster) setContract(tenant, zone string, opens time.Time, length time.Duration) {
	tenantContract := contract.Contract{Tenant: tenant, Notice: "0s", MinutesPerMonth: 10_000, MinAvailableShare: 0.5, MaxConcurrentWindows: 2, OverrunPolicy: contract.OverrunHaltsTenant,
		Spec: calendar.Spec{Zone: zone, ApprovedHours: []calendar.Rule{{Recurrence: "FREQ=DAILY", Start: opens.Format("15:04"), Length: length.String(), FirstDay: "2020-01-01"}}}}
	approval := maintenance.NewPlanner().Approval(&maintenance.ActiveContract{Contract: tenantContract}, c.nowMS, 0)
	c.checker.setHours(tenant, opens, length)
	if outcome := c.applyAsOperator(&maintenance.Operation{Kind: maintenance.OpSetContract, Contract: &tenantContract, CurrentApproval: approval}); outcome != string(maintenance.OutcomeApplied) {
		c.checker.report(ruleHours, fmt.Sprintf("the contract of %s is %s", tenant, outcome))
	}
	c.registry.revision++ // the command that sets a contract sets the budget that goes with it
	c.registry.ledger.Apply(c.registry.revision, &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ops", Budget: maintenance.ContractBudget(&tenantContract)})
}
