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

// windower is the controller of windows.
type windower struct {
	p     *process
	clock clock
	core  *maintenance.Reconciler
	token uint64
}

func (w *world) windower(k int, c clock) *process {
	return w.process(fmt.Sprintf("window-%d", k), maintenance.LeaseName, func(p *process) controller { return &windower{p: p, clock: c} })
}

func (c *windower) take(token uint64) { c.core, c.token = maintenance.NewReconciler(token), token }

func (c *windower) now() maintenance.ClockReading {
	return maintenance.ClockReading{MonotonicMS: c.p.w.now, WallMS: c.p.w.now + c.clock.off, UncertaintyMS: c.clock.unc}
}

func (c *windower) step() {
	w, s := c.p.w, c.p.reads()
	if w.now%1000 != 0 {
		return
	}
	now := c.now()
	v := maintenance.ReadView(s.rev, s.windows, s.ledger)
	for _, win := range s.windows.Windows() {
		if win.Stage != maintenance.StageDraining {
			continue
		}
		for _, name := range v.LiveSidecars {
			if u := w.names[name]; u.alive && u.ready <= w.now && u.car.mute <= w.now {
				c.core.ObserveReport(now, w.report(u))
			}
		}
		break
	}
	effects, _ := c.core.Reconcile(now, v)
	for _, e := range effects {
		if !c.p.act(func() { c.carry(e, now.Timestamp()) }) {
			return
		}
	}
}

// report is what a sidecar says of what it keeps off.
func (w *world) report(u *unit) placement.LoadReport {
	r := placement.LoadReport{Sidecar: u.name, PlacementRevision: u.car.rev, ExcludedInFlight: map[string]int{}}
	for id, f := range u.car.forced {
		if f.end > w.now {
			r.ExcludedInFlight[id] = 0
			if f.drain > w.now {
				r.ExcludedInFlight[id] = 1
			}
		}
	}
	return r
}

// carry writes one effect.
func (c *windower) carry(e maintenance.Effect, stamp maintenance.Timestamp) {
	w := c.p.w
	core := c.core
	a, known := c.p.write(c.token, func() (string, string) {
		switch action := e.Action.(type) {
		case *maintenance.Operation:
			return w.plane.windowOp(action, stamp)
		case *maintenance.LedgerAction:
			return w.windowAct(action)
		}
		panic(fmt.Sprintf("unknown action %T", e.Action))
	})
	if known {
		core.ObserveResult(c.now(), e, maintenance.EffectResult{Outcome: maintenance.Outcome(a.outcome), Reason: a.why, Revision: w.plane.rev})
	}
}

// windowAct is an act on the ledger; its outcome is told in the words of windows.
func (w *world) windowAct(a *maintenance.LedgerAction) (string, string) {
	op := a.Operation()
	if a.Kind == disruption.OpObserve {
		op.Permit = nil
		for _, uid := range a.ServerUIDs {
			if u := w.names[uid]; w.serves(u) {
				op.Observed = append(op.Observed, disruption.Unit{ID: u.ID, Condition: disruption.ConditionUp})
			}
		}
		if len(op.Observed) == 0 {
			return string(maintenance.OutcomeApplied), ""
		}
	}
	switch out, why := w.plane.ledgerOp(op); {
	case out == string(disruption.OutcomeApplied):
		return string(maintenance.OutcomeApplied), ""
	case a.Kind == disruption.OpRequest:
		return string(maintenance.OutcomeInvalid), why
	default:
		return string(maintenance.OutcomeBlocked), why
	}
}

// work is what the people and servers do that a window is for.
func (w *world) work(op *maintenance.Operation) {
	win := w.plane.windows.Window(op.Window)
	if win == nil || op.Kind == maintenance.OpExtendExclusion || op.Kind == maintenance.OpSchedule {
		return
	}
	switch {
	case op.Kind == maintenance.OpCompleteDrain:
		for _, uid := range win.ServerUIDs {
			u := w.names[uid]
			w.judge.taken(u, "worked on")
			u.busy, u.active = true, true
		}
	case win.OutOfService() && (win.Stage == maintenance.StageReturning || win.Stage == maintenance.StageOverrun):
		ms := 3000 + w.rng.Int64N(12_000)
		if w.opt.SlowReturn {
			ms += 1800_000
		}
		for _, uid := range win.ServerUIDs {
			u := w.names[uid]
			if !u.busy {
				continue
			}
			w.after(ms, func() {
				u.busy, u.active = false, true
				if u.alive {
					u.warm = max(u.warm, w.now+warmMS)
				}
			})
		}
	}
}

// operate is an operator's write about windows.
func (w *world) operate(op *maintenance.Operation) string {
	at := w.now + w.plane.leader.off
	w.writes++
	a, known := w.plane.write(fmt.Sprintf("operator/%d", w.writes), "", 0, func() (string, string) {
		return w.plane.windowOp(op, maintenance.Timestamp{ControllerMS: at, UncertaintyMS: 250})
	})
	if !known {
		return "unknown"
	}
	return a.outcome
}

// agree sets a contract of the same hours each day, by the tenant's own clock, and tells the judge.
func (w *world) agree(tenant, zone string, opens time.Time, length time.Duration) {
	c := contract.Contract{Tenant: tenant, Notice: "0s", MinutesPerMonth: 10_000, MinAvailableShare: 0.5, MaxConcurrentWindows: 2, OverrunPolicy: contract.OverrunHaltsTenant,
		Spec: calendar.Spec{Zone: zone, ApprovedHours: []calendar.Rule{{Recurrence: "FREQ=DAILY", Start: opens.Format("15:04"), Length: length.String(), FirstDay: "2020-01-01"}}}}
	grant := maintenance.NewPlanner().Approval(&maintenance.ActiveContract{Contract: c}, w.now, 0)
	w.judge.agree(tenant, opens, length)
	if out := w.operate(&maintenance.Operation{Kind: maintenance.OpSetContract, Contract: &c, CurrentApproval: grant}); out != string(maintenance.OutcomeApplied) {
		w.judge.breaks(ruleHours, fmt.Sprintf("the contract of %s is %s", tenant, out))
	}
	w.plane.rev++ // the command that sets a contract sets the budget that goes with it
	w.plane.ledger.Apply(w.plane.rev, &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ops", Budget: maintenance.ContractBudget(&c)})
}
