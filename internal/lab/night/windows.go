package night

import (
	"fmt"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/window"
	"milldeck/internal/window/contract"
	"milldeck/internal/window/hours"
)

// windower is the controller of windows.
type windower struct {
	p     *process
	clock clock
	core  *window.Core
	token uint64
}

func (w *world) windower(k int, c clock) *process {
	return w.process(fmt.Sprintf("window-%d", k), window.Duty, func(p *process) controller { return &windower{p: p, clock: c} })
}

func (c *windower) take(token uint64) { c.core, c.token = window.NewCore(token), token }

func (c *windower) now() window.Now {
	return window.Now{MonoMS: c.p.w.now, WallMS: c.p.w.now + c.clock.off, UncertaintyMS: c.clock.unc}
}

func (c *windower) step() {
	w, s := c.p.w, c.p.reads()
	if w.now%1000 != 0 {
		return
	}
	now := c.now()
	v := window.Look(s.rev, s.windows, s.ledger)
	for _, win := range s.windows.Windows() {
		if win.Stage != window.Draining {
			continue
		}
		for _, name := range v.Sidecars {
			if u := w.names[name]; u.alive && u.ready <= w.now && u.car.mute <= w.now {
				c.core.Heard(now, w.report(u))
			}
		}
		break
	}
	effects, _ := c.core.Step(now, v)
	for _, e := range effects {
		if !c.p.act(func() { c.carry(e, now.Stamp()) }) {
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
func (c *windower) carry(e window.Effect, stamp window.Stamp) {
	w := c.p.w
	core := c.core
	a, known := c.p.write(c.token, func() (string, string) {
		if e.Op != nil {
			return w.plane.windowOp(e.Op, stamp)
		}
		return w.windowAct(e.Act)
	})
	if known {
		core.Answered(c.now(), e, window.Outcome(a.outcome), a.why, w.plane.rev)
	}
}

// windowAct is an act on the ledger; its outcome is told in the words of windows.
func (w *world) windowAct(a *window.Act) (string, string) {
	op := a.Op()
	if a.Kind == disruption.OpObserve {
		op.Permit = nil
		for _, uid := range a.Servers {
			if u := w.names[uid]; w.serves(u) {
				op.Observed = append(op.Observed, disruption.Unit{ID: u.ID, Condition: disruption.ConditionUp})
			}
		}
		if len(op.Observed) == 0 {
			return string(window.Applied), ""
		}
	}
	switch out, why := w.plane.ledgerOp(op); {
	case out == string(disruption.OutcomeApplied):
		return string(window.Applied), ""
	case a.Kind == disruption.OpRequest:
		return string(window.Bad), why
	default:
		return string(window.Held), why
	}
}

// work is what the people and servers do that a window is for.
func (w *world) work(op *window.Op) {
	win := w.plane.windows.Window(op.Name)
	if win == nil || op.Kind == window.OpTell || op.Kind == window.OpPlan {
		return
	}
	switch {
	case op.Kind == window.OpFree:
		for _, uid := range win.Servers {
			u := w.names[uid]
			w.judge.taken(u, "worked on")
			u.busy, u.active = true, true
		}
	case win.Out() && (win.Stage == window.Returning || win.Stage == window.Overrun):
		ms := 3000 + w.rng.Int64N(12_000)
		if w.opt.SlowReturn {
			ms += 1800_000
		}
		for _, uid := range win.Servers {
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
func (w *world) operate(op *window.Op) string {
	at := w.now + w.plane.leader.off
	w.writes++
	a, known := w.plane.write(fmt.Sprintf("operator/%d", w.writes), "", 0, func() (string, string) {
		return w.plane.windowOp(op, window.Stamp{ControllerMS: at, UncertaintyMS: 250})
	})
	if !known {
		return "unknown"
	}
	return a.outcome
}

// agree sets a contract of the same hours each day, by the tenant's own clock, and tells the judge.
func (w *world) agree(tenant, zone string, opens time.Time, length time.Duration) {
	c := contract.Contract{Tenant: tenant, Notice: "0s", MinutesAMonth: 10_000, LeastShare: 0.5, WindowsAtOnce: 2, OnOverrun: contract.HaltOthers,
		Spec: hours.Spec{Zone: zone, Open: []hours.Rule{{Rule: "FREQ=DAILY", Start: opens.Format("15:04"), Length: length.String(), From: "2020-01-01"}}}}
	grant := window.NewPlanner().Grant(&window.Kept{Contract: c}, w.now, 0)
	w.judge.agree(tenant, opens, length)
	if out := w.operate(&window.Op{Kind: window.OpContract, Contract: &c, Grant: grant}); out != string(window.Applied) {
		w.judge.breaks(ruleHours, fmt.Sprintf("the contract of %s is %s", tenant, out))
	}
	w.plane.rev++ // the command that sets a contract sets the budget that goes with it
	w.plane.ledger.Apply(w.plane.rev, &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ops", Budget: window.BudgetOf(&c)})
}
