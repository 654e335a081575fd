package night

import (
	"milldeck/internal/disruption"
	"milldeck/internal/release"
	"milldeck/internal/window"
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
		h := s.Head
		if h.Phase == release.Held && h.Commands == len(cmds) {
			what := release.CmdResume
			if len(cmds) > 20 && !s.Drain { // it does not get on: people give up
				what = release.CmdBack
			}
			p.rev++
			p.releases.Apply(p.rev, &release.Op{Name: name, Tell: &release.Command{What: what, By: "operator/ops"}})
		}
		for i := range s.Units {
			u := &s.Units[i]
			claimed[u.ID] = !h.Phase.Over() && u.Stage != release.Todo && u.Stage != release.Rest
			if h.Phase.Over() && u.Stage == release.Lost {
				p.rev++
				p.ledger.Apply(p.rev, &disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/ops", Permit: &disruption.Permit{ID: s.PermitID(u)}})
			}
		}
	}
	for _, scope := range sorted(p.windows.Halts()) {
		w.operate(&window.Operation{Kind: window.OpResume, Scope: scope})
	}
	for _, win := range p.windows.Windows() {
		if win.Stage == window.StageHalted {
			w.operate(&window.Operation{Kind: window.OpResume, Scope: "window/" + win.Name})
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
