package controlplane

import (
	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
	"milldeck/internal/release"
)

// operator does what people do who look every few seconds: resumes what is in doubt once the fleet is seen again, sends
// back what harms, starts what has ended and nobody works on, and gives up permits of units that a release has lost.
func (w *world) operator() {
	p := w.plane
	if !p.leads() {
		return
	}
	for _, h := range p.ledger.Halts() {
		if w.now-w.judge.restore > 30_000 {
			p.rev++
			p.ledger.Apply(p.rev, &disruption.Op{Kind: disruption.OpResume, Owner: "operator/ops", Halt: &disruption.Halt{Scope: h.Scope, IssuedBy: h.IssuedBy}})
		}
	}
	claimed := map[string]bool{}
	for _, name := range p.releases.Names() {
		s, cmds := p.releases.Get(name)
		h := s.Status
		if h.Phase == release.PhaseHalted && h.HandledCommands == len(cmds) {
			what := release.CommandResume
			if len(cmds) > 20 && !s.DrainOnly { // it does not get on: people give up
				what = release.CommandRollback
			}
			p.rev++
			p.releases.Apply(p.rev, &release.Operation{Name: name, Command: &release.Command{Action: what, Operator: "operator/ops"}})
		}
		for i := range s.Units {
			u := &s.Units[i]
			claimed[u.ID] = !h.Phase.Finished() && u.Stage != release.StagePending && u.Stage != release.StageConverged
			if h.Phase.Finished() && u.Stage == release.StageFailed {
				p.rev++
				p.ledger.Apply(p.rev, &disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/ops", Permit: &disruption.Permit{ID: s.PermitID(u)}})
			}
		}
	}
	for _, scope := range sorted(p.windows.Halts()) {
		w.operate(&maintenance.Operation{Kind: maintenance.OpResume, Scope: scope})
	}
	for _, win := range p.windows.Windows() {
		if win.Stage == maintenance.StageHalted {
			w.operate(&maintenance.Operation{Kind: maintenance.OpResume, Scope: "window/" + win.Name})
		}
	}
	if w.night.asked && len(p.windows.Windows()) == 0 { // a restore has lost it
		w.operate(w.night.wish)
	}
	w.mend(claimed)
}

// mend starts what has ended by itself, and puts back into the list what drains for nobody.
func (w *world) mend(claimed map[string]bool) {
	l := w.list()
	if l == nil || !l.Complete {
		return
	}
	for _, u := range w.units {
		if claimed[u.ID] || u.gone || u.judged.in || w.now-u.judged.since < 20_000 {
			continue
		}
		at := l.Find(u.name)
		if !u.alive {
			w.startUnit(u, at, l.Epoch)
		}
		if _, under := w.plane.at[u.ID]; !under && u.alive && w.plane.drains[u.ID] != 0 {
			delete(w.plane.drains, u.ID)
			w.plane.rev++
			u.active = true
		}
	}
}
