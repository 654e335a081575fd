package controlplane

import (
	"fmt"

	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
)

// maintenancePeriodMS is the time between two steps of a maintenance controller.
const maintenancePeriodMS = 1000

// slowReturnMS is the delay that Options.SlowReturn adds to the return of servers.
const slowReturnMS = 1800_000

// maintenanceController runs the reconciler of maintenance windows.
type maintenanceController struct {
	process    *process
	clock      wallClock
	reconciler *maintenance.Reconciler
	token      uint64
}

// addMaintenanceController adds a candidate for the lease of maintenance windows.
func (c *cluster) addMaintenanceController(replica int, clock wallClock) {
	c.addProcess(fmt.Sprintf("window-%d", replica), maintenance.LeaseName, func(p *process) controller {
		return &maintenanceController{process: p, clock: clock}
	})
}

func (c *maintenanceController) becomeLeader(token uint64) {
	c.reconciler, c.token = maintenance.NewReconciler(token), token
}

func (c *maintenanceController) clockReading() maintenance.ClockReading {
	nowMS := c.process.cluster.nowMS
	return maintenance.ClockReading{MonotonicMS: nowMS, WallMS: nowMS + c.clock.offsetMS, UncertaintyMS: c.clock.uncertaintyMS}
}

func (c *maintenanceController) reconcile() {
	if c.process.cluster.nowMS%maintenancePeriodMS != 0 {
		return
	}
	state, now := c.process.readState(), c.clockReading()
	view := maintenance.ReadView(state.revision, state.windows, state.ledger)
	if windowDraining(state.windows) {
		c.observeReports(now, view.LiveSidecars)
	}
	effects, _ := c.reconciler.Reconcile(now, view) // the time of the next call is ignored: the calls are periodic
	for _, effect := range effects {
		if !c.process.execute(func() { c.applyEffect(effect, now.Timestamp()) }) {
			return
		}
	}
}

// windowDraining reports whether a window waits for its servers to be drained.
func windowDraining(windows *maintenance.Table) bool {
	for _, window := range windows.Windows() {
		if window.Stage == maintenance.StageDraining {
			return true
		}
	}
	return false
}

// observeReports passes the load reports of the reachable sidecars to the reconciler.
func (c *maintenanceController) observeReports(now maintenance.ClockReading, sidecars []string) {
	cluster := c.process.cluster
	for _, name := range sidecars {
		member := cluster.unitsByName[name]
		if member.ready(cluster.nowMS) && member.agentReachable(cluster.nowMS) {
			c.reconciler.ObserveReport(now, cluster.loadReport(member))
		}
	}
}

// applyEffect writes an effect, and passes the result to the reconciler that returned the effect.
func (c *maintenanceController) applyEffect(effect maintenance.Effect, stamp maintenance.Timestamp) {
	cluster, reconciler := c.process.cluster, c.reconciler
	result, known := c.process.write(c.token, func() writeResult {
		switch action := effect.Action.(type) {
		case *maintenance.Operation:
			return cluster.registry.applyMaintenanceOp(action, stamp)
		case *maintenance.LedgerAction:
			return cluster.applyLedgerAction(action)
		default:
			panic(fmt.Sprintf("unknown action %T", action))
		}
	})
	if !known {
		return
	}
	reconciler.ObserveResult(c.clockReading(), effect, maintenance.EffectResult{
		Outcome:  maintenance.Outcome(result.outcome),
		Reason:   result.reason,
		Revision: cluster.registry.revision,
	})
}

// applyLedgerAction applies a ledger action of a window within a write. Its outcome is one of maintenance.Outcome.
func (c *cluster) applyLedgerAction(action *maintenance.LedgerAction) writeResult {
	applied := writeResult{outcome: string(maintenance.OutcomeApplied)}
	op := action.Operation()
	if action.Kind == disruption.OpObserve {
		op.Permit = nil
		op.Observed = c.observedUp(action.ServerUIDs)
		if len(op.Observed) == 0 {
			return applied
		}
	}
	result := c.registry.applyLedgerOp(op)
	switch {
	case result.outcome == string(disruption.OutcomeApplied):
		return applied
	case action.Kind == disruption.OpRequest:
		return writeResult{string(maintenance.OutcomeInvalid), result.reason}
	default:
		return writeResult{string(maintenance.OutcomeBlocked), result.reason}
	}
}

// observedUp returns an observation of the servers that are in service.
func (c *cluster) observedUp(serverUIDs []string) []disruption.Unit {
	var observed []disruption.Unit
	for _, uid := range serverUIDs {
		if server := c.unitsByName[uid]; c.inService(server) {
			observed = append(observed, disruption.Unit{ID: server.ID, Condition: disruption.ConditionUp})
		}
	}
	return observed
}

// simulateWork models the work of a window, after an operation on the window was applied. The work begins when the servers
// are drained, and ends some time after the return of the servers is allowed.
func (c *cluster) simulateWork(op *maintenance.Operation) {
	window := c.registry.windows.Window(op.Window)
	if window == nil || op.Kind == maintenance.OpExtendExclusion || op.Kind == maintenance.OpSchedule {
		return
	}
	returning := window.Stage == maintenance.StageReturning || window.Stage == maintenance.StageOverrun
	switch {
	case op.Kind == maintenance.OpCompleteDrain:
		c.beginWork(window)
	case window.OutOfService() && returning:
		c.scheduleEndOfWork(window)
	}
}

func (c *cluster) beginWork(window *maintenance.Window) {
	for _, uid := range window.ServerUIDs {
		server := c.unitsByName[uid]
		c.checker.requirePermit(server, "worked on")
		server.underMaintenance, server.registrationPending = true, true
	}
}

func (c *cluster) scheduleEndOfWork(window *maintenance.Window) {
	delayMS := 3000 + c.random.Int64N(12_000)
	if c.options.SlowReturn {
		delayMS += slowReturnMS
	}
	for _, uid := range window.ServerUIDs {
		server := c.unitsByName[uid]
		if !server.underMaintenance {
			continue
		}
		c.schedule(delayMS, func() {
			server.underMaintenance, server.registrationPending = false, true
			if server.alive {
				server.warmAtMS = max(server.warmAtMS, c.nowMS+warmupMS)
			}
		})
	}
}
