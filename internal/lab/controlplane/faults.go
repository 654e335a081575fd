package controlplane

import (
	"context"
	"fmt"

	"milldeck/internal/maintenance"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
)

// startUnit has the platform start a unit that has ended as it was last, by an operator.
func (w *world) startUnit(u *unit, at *supervisor.Unit, memory uint64) {
	inc := uint64(0)
	if at != nil {
		if inc = at.Incarnation; at.State != supervisor.Exited {
			if at.State == supervisor.Starting && !u.alive { // listed, and no process: half was done
				w.calls++
				w.platform.Do(context.Background(), supervisor.Request{ID: fmt.Sprintf("ops-%d", w.calls), Op: supervisor.Stop, Epoch: memory, Unit: u.name, Incarnation: inc})
			}
			return
		}
	}
	w.calls++
	w.platform.Do(context.Background(), supervisor.Request{ID: fmt.Sprintf("ops-%d", w.calls), Op: supervisor.Start, Epoch: memory, Unit: u.name,
		Incarnation: inc, Kind: supervisor.Kind(u.Kind), Version: u.version, ConfigName: "c1", ConfigText: "c1", Listen: "127.0.0.1:7000", Zone: u.Zone})
}

// The night's faults come within busyMS of its begin.
const busyMS = 300_000

// faults draws the night's faults.
func (w *world) faults() {
	r := w.rng
	at := func() int64 { return 5000 + r.Int64N(busyMS) }
	w.loseZone(10_000 + r.Int64N(120_000))
	w.fault(at(), "leader killed between entry and answer", func() { w.plane.lose = true })
	for range r.IntN(3) {
		w.fault(at(), "leader killed", func() { w.plane.kill(1000 + r.Int64N(6000)) })
	}
	if r.IntN(4) == 0 {
		w.fault(at(), "all replicas killed and started", func() { w.plane.kill(20_000 + r.Int64N(30_000)) })
	}
	for range 2 + r.IntN(5) {
		p, k, late := w.procs[r.IntN(len(w.procs))], r.IntN(30), r.IntN(2) == 0
		w.fault(at(), fmt.Sprintf("a holder of %s killed at its effect %d", p.duty, k), func() { w.holder(p).doom = &doom{after: k, late: late} })
	}
	for range 1 + r.IntN(3) {
		p, k, ms := w.procs[r.IntN(len(w.procs))], r.IntN(30), 4000+r.Int64N(56_000)
		w.fault(at(), fmt.Sprintf("a holder of %s frozen for %d ms", p.duty, ms), func() { w.holder(p).doom = &doom{after: k, freeze: ms} })
	}
	if r.IntN(2) == 0 {
		p, ms := w.procs[r.IntN(len(w.procs))], 5000+r.Int64N(60_000)
		w.fault(at(), fmt.Sprintf("a holder of %s and a tenth of the sidecars at a minority for %d ms", p.duty, ms), func() {
			h := w.holder(p)
			h.behind, h.cut = w.plane.copied(), w.now+ms
			w.mute(len(w.sidecars)/10, ms)
		})
	}
	n, ms := 1+r.IntN(max(len(w.sidecars)/50, 1)), 5000+r.Int64N(100_000)
	w.fault(at(), fmt.Sprintf("%d sidecars cut off from their agents for %d ms", n, ms), func() { w.mute(n, ms) })
	w.platformFaults(at)
	for range 3 + r.IntN(10) {
		u := w.servers[r.IntN(len(w.servers))]
		w.fault(at(), u.ID+" ends by itself", func() { w.platform.Crash(u.name, "signal: killed") })
	}
	w.clocks(at)
	w.people(at)
	if r.IntN(5) == 0 {
		t := at()
		w.fault(t, "backup", func() { w.plane.backup = w.plane.copied() })
		w.fault(t+5000+r.Int64N(60_000), "restore from it", func() {
			w.judge.restore = w.now
			w.plane.restore()
			for _, t := range tenants { // whoever restores sets again first what was withdrawn since the backup
				if list := w.judge.hours[t.name]; list[len(list)-1].length == 0 && w.plane.windows.Contract(t.name) != nil {
					w.operate(&maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: t.name})
				}
			}
			for _, u := range w.units {
				u.active = true
			}
		})
	}
}

// holder is who holds a process's duty, or itself.
func (w *world) holder(p *process) *process {
	for _, q := range w.procs {
		if q.duty == p.duty && q.holds() && !q.dead {
			return q
		}
	}
	return p
}

func (w *world) mute(n int, ms int64) {
	for range n {
		u := w.sidecars[w.rng.IntN(len(w.sidecars))]
		u.car.mute, u.active = w.now+ms, true
	}
}

// loseZone has a zone lose its power, or be cut off.
func (w *world) loseZone(at int64) {
	zone, power, ms := zones[w.rng.IntN(len(zones))], w.rng.IntN(2) == 0, 10_000+w.rng.Int64N(80_000)
	how := "cut off"
	if power {
		how = "without power"
	}
	w.fault(at, fmt.Sprintf("zone %s %s for %d ms", zone, how, ms), func() {
		if power {
			w.powerOff[zone] = w.now + ms
		}
		for _, u := range w.units {
			if u.Zone != zone {
				continue
			}
			u.active = true
			if power {
				w.platform.Crash(u.name, "signal: killed")
			} else {
				u.cut = w.now + ms
			}
		}
	})
	w.night.quiet = max(w.night.quiet, w.now+at+ms)
}

func (w *world) platformFaults(at func() int64) {
	r := w.rng
	hang := core.Fault{Kind: core.FaultHang, DurationMS: 2000 + r.Int64N(30_000)}
	w.fault(at(), fmt.Sprintf("the platform hangs for %d ms", hang.DurationMS), w.platformFault(hang))
	for range 1 + r.IntN(4) {
		f := core.Fault{Kind: []core.FaultKind{core.FaultPartial, core.FaultDropResponse, core.FaultDuplicate, core.FaultWrongUnit, core.FaultLoseState, core.FaultError}[r.IntN(6)], Count: 1 + r.IntN(3)}
		switch f.Kind {
		case core.FaultLoseState:
			f.Count, f.DurationMS = 0, 1000+r.Int64N(20_000)
			w.judge.excused = true
		case core.FaultDuplicate:
			f.On, f.Count = core.OnDo, 1
			w.judge.excused = true
		case core.FaultPartial, core.FaultWrongUnit:
			f.On = core.OnDo
		}
		w.fault(at(), "the platform: "+string(f.Kind), w.platformFault(f))
	}
}

// clocks has some be wrong, by up to an hour; they are mended after a while.
func (w *world) clocks(at func() int64) {
	r := w.rng
	const hour = 3600_000
	off := func() int64 { return r.Int64N(2*hour) - hour }
	for range max(len(w.sidecars)/100, 1) {
		c := w.sidecars[r.IntN(len(w.sidecars))].car // one that is wrong keeps off for no time, and no window is empty of it
		old, o := c.off, off()
		c.off = o
		w.after(busyMS, func() { c.off = old })
	}
	switch o := off(); r.IntN(4) {
	case 0:
		w.fault(at(), fmt.Sprintf("the leader's clock off by %d ms", o), func() {
			old := w.plane.leader
			w.plane.leader.off = o
			w.after(120_000, func() { w.plane.leader = old })
		})
		w.night.quiet += 120_000
	case 1:
		for _, p := range w.procs {
			if c, is := p.c.(*windower); is {
				w.fault(at(), fmt.Sprintf("the clock of %s off by %d ms", p.name, o), func() {
					old := c.clock
					c.clock.off = o
					w.after(120_000, func() { c.clock = old })
				})
				break
			}
		}
		w.night.quiet += 120_000
	}
}

// people do what crosses what is under way.
func (w *world) people(at func() int64) {
	r := w.rng
	tell := func(name string, action release.Action) func() {
		return func() {
			if w.plane.leads() {
				w.plane.rev++
				_ = w.plane.releases.Apply(w.plane.rev, &release.Operation{Name: name, Command: &release.Command{Action: action, Operator: "operator/eva"}})
			}
		}
	}
	name := []string{releaseS, releaseC}[r.IntN(2)]
	switch r.IntN(5) {
	case 0:
		w.fault(at(), "release "+name+" halted", tell(name, release.CommandHalt))
	case 1:
		w.fault(at(), "release "+name+" sent back", tell(name, release.CommandRollback))
	case 2:
		t := tenants[r.IntN(len(tenants))].name
		w.fault(at(), "the contract of "+t+" withdrawn", func() {
			if w.operate(&maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: t}) == string(maintenance.OutcomeApplied) {
				w.judge.agree(t, w.judge.hours[t][0].opens, 0)
				w.night.fits = false
			}
		})
	}
}
