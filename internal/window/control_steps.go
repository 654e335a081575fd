package window

import (
	"slices"

	"milldeck/internal/disruption"
)

func operation(o Op) Effect { return Effect{Op: &o} }

// act is an act on the window's permit.
func act(kind disruption.OpKind, w *Window, rank disruption.Priority) Effect {
	return Effect{Act: &Act{Kind: kind, ID: w.PermitID(), Servers: w.Servers, Rank: rank, Purpose: "window " + w.Name}}
}

// permit is the stage of the window's permit; "" where there is none any more, or none yet.
func (s *look) permit(w *Window) disruption.Stage {
	stage := s.v.Permits[w.PermitID()]
	if stage == disruption.StageCompleted || stage == disruption.StageCancelled {
		return ""
	}
	return stage
}

// next is the window's next step; an empty effect: it waits.
func (s *look) next(w *Window) Effect {
	switch {
	case w.Stage == Draining:
		return s.draining(w)
	case w.Stage == Free:
		return s.free(w)
	case w.Stage == Returning || w.Stage == Overrun && w.Out():
		return s.returning(w)
	case w.Stage == Waiting:
		return s.waiting(w)
	case s.permit(w) != "": // of an attempt that took nothing out: it goes before there is another
		return act(disruption.OpCancel, w, 0)
	case w.Stage == Proposed:
		return s.plan(w)
	case w.Stage == Approved:
		return s.approved(w)
	}
	return Effect{}
}

func (s *look) plan(w *Window) Effect {
	if s.planned {
		return Effect{}
	}
	s.planned = true
	p, err := s.c.planner.Plan(s.t, s.v.Fleet, Wish{w.Name, w.Servers, w.WorkMS, w.AfterMS, w.ProposedMS}, s.at.hi)
	if err != nil {
		why := err.Error()
		return operation(Op{Kind: OpRefuse, Why: why[:min(len(why), maxWhy)]})
	}
	return operation(Op{Kind: OpPlan, Grants: p.Grants, FromMS: p.FromMS})
}

// granted tells whether all whose servers these are have approved, by the contracts in force.
func (s *look) granted(w *Window) bool {
	for i := range w.Grants {
		if c := s.t.Contract(w.Grants[i].Tenant); c == nil || c.Version != w.Grants[i].Version {
			return false
		}
	}
	for tenant := range s.v.Fleet.TenantsOf(s.t, w.Servers) {
		if !touches(w, tenant) {
			return false
		}
	}
	return true
}

func (s *look) approved(w *Window) Effect {
	if !s.granted(w) {
		return s.plan(w)
	}
	if s.at.lo < w.FromMS {
		return Effect{}
	}
	switch outcome, _ := s.t.mayDrain(w, s.at); outcome {
	case Applied:
		return operation(Op{Kind: OpWait})
	case Held:
		return Effect{}
	}
	return s.plan(w)
}

func (s *look) waiting(w *Window) Effect {
	outcome, _ := s.t.mayDrain(w, s.at)
	stage, known := s.v.Permits[w.PermitID()]
	never, refused := s.c.never[w.Name]
	delete(s.c.never, w.Name)
	switch {
	case refused && !known: // where it is known after all, an earlier try got there
		return operation(Op{Kind: OpRefuse, Why: never[:min(len(never), maxWhy)]})
	case outcome != Applied || !s.granted(w):
		return s.plan(w)
	case !known:
		rank := disruption.PriorityDrain
		if w.CloseMS-s.at.hi-s.t.NeedMS(w.WorkMS) < pressMS {
			rank = disruption.PriorityDeadline
		}
		return act(disruption.OpRequest, w, rank)
	case stage == disruption.StageGranted:
		return operation(Op{Kind: OpDrain})
	case stage == disruption.StageCompleted || stage == disruption.StageCancelled:
		return s.plan(w)
	}
	return Effect{}
}

// blind tells whether tenants could not be told to keep off in time, for doubt about it.
func (s *look) blind(w *Window) bool {
	return s.t.InDoubt() != "" && s.at.hi >= max(w.ToldMS, w.OutMS+StepMS)
}

func (s *look) draining(w *Window) Effect {
	permit := s.permit(w)
	back := func(why string) Effect { return operation(Op{Kind: OpReturn, End: Proposed, Why: why}) }
	switch {
	case !s.granted(w):
		return back("a contract has changed")
	case s.t.haltOf(w) != "":
		return back(s.t.haltOf(w))
	case s.blind(w):
		return back(s.t.InDoubt())
	case s.at.hi+w.WorkMS+s.t.ReturnMS()+GuardMS > w.CloseMS:
		return back("it did not drain in time")
	case permit == "":
		return operation(Op{Kind: OpReturn, End: Halted, Why: "its permit was taken away"})
	case permit == disruption.StageGranted:
		return act(disruption.OpBegin, w, 0)
	case permit != disruption.StageActive: // a halt has taken the grant back
		return Effect{}
	case s.empty(w):
		return operation(Op{Kind: OpFree})
	}
	return s.tell(w)
}

// empty tells whether each sidecar that lives follows all of the window's entries and has nothing open on its servers.
func (s *look) empty(w *Window) bool {
	if w.ToldMS <= s.at.hi {
		return false
	}
	entries := s.t.Entries(w)
	if len(entries) != len(w.Grants) {
		return false
	}
	for _, name := range s.v.Sidecars {
		r, known := s.c.heard[name]
		if !known || s.now.MonoMS-r.at > freshMS || r.PlacementRevision < w.ToldRev {
			return false
		}
		for _, e := range entries {
			if open, inForce := r.ExcludedInFlight[e.ID]; !inForce || open != 0 || slices.Contains(r.SuspendedDirectives, e.ID) {
				return false
			}
		}
	}
	return true
}

func (s *look) free(w *Window) Effect {
	over := s.at.lo >= w.FreeMS+w.WorkMS
	end := func(why string) Effect {
		if over {
			return operation(Op{Kind: OpReturn, End: Done})
		}
		return operation(Op{Kind: OpReturn, End: Halted, Why: why})
	}
	switch {
	case over:
		return end("")
	case !s.granted(w):
		return end("a contract has changed")
	case s.blind(w):
		return end(s.t.InDoubt())
	case s.at.hi+s.t.ReturnMS()+GuardMS >= w.CloseMS:
		return end("the close came before the work was over")
	case s.permit(w) == "":
		return end("its permit was taken away")
	}
	return s.tell(w)
}

func (s *look) returning(w *Window) Effect {
	up := true
	for _, uid := range w.Servers {
		up = up && s.v.Out[uid].Up
	}
	switch permit := s.permit(w); {
	case permit == disruption.StageRequested || permit == disruption.StageGranted: // it never began
		return act(disruption.OpCancel, w, 0)
	case permit == disruption.StageActive:
		return act(disruption.OpReturn, w, 0)
	case up && permit == "":
		return operation(Op{Kind: OpBack})
	case up:
		return act(disruption.OpComplete, w, 0)
	case w.Stage == Returning && s.at.hi >= w.CloseMS && s.t.InDoubt() == "":
		return operation(Op{Kind: OpOverrun})
	}
	if e := s.tell(w); w.Stage == Returning && e.Op != nil {
		return e
	}
	return act(disruption.OpObserve, w, 0)
}

// tell prolongs what tenants are told, in time and never past the close.
func (s *look) tell(w *Window) Effect {
	until := s.now.WallMS + StepMS
	valid := 0
	for i := range w.Grants {
		g := &w.Grants[i]
		if c := s.t.Contract(g.Tenant); c != nil && c.Version == g.Version {
			until = min(until, g.CloseMS-GuardMS-max(s.at.off, leaderMS))
			valid++
		}
	}
	if valid == 0 || until <= s.at.hi+lookMS || until <= w.ToldMS || w.ToldMS-s.at.hi > StepMS-TellEveryMS {
		return Effect{}
	}
	return operation(Op{Kind: OpTell, UntilMS: until})
}
