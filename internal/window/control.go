package window

import (
	"cmp"
	"slices"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
)

// Times of the controller, by its own monotonic clock unless they are compared with logged ones.
const (
	againMS  = 2000        // a write without an answer, or one that was refused, is tried again after this long
	doubtMS  = 5000        // the same after doubt about time: clocks are not mended sooner, and each try is in the log
	freshMS  = 3000        // reports come once a second: three were lost
	lookMS   = 1000        // while servers are out or asked for
	restMS   = 600_000     // the program asks again sooner where something has changed
	pressMS  = 10 * 60_000 // with less time than this to spare, the close presses
	leaderMS = 500         // what the leader's clock is taken to be off: beyond it the last prolongation is refused
	maxHeard = 20_000      // reports kept, one for each sidecar
)

// Now is the controller's time: its monotonic clock, and its wall clock with what that may be off (ms).
type Now struct {
	MonoMS        int64
	WallMS        int64
	UncertaintyMS int64
}

// Stamp is the controller's part of a step's time.
func (n Now) Stamp() Stamp { return Stamp{ControllerMS: n.WallMS, UncertaintyMS: n.UncertaintyMS} }

// View is what the controller last read of the replicated state, all of one revision.
type View struct {
	Rev      uint64
	Table    *Table
	Permits  map[string]disruption.Stage // of the ledger, by id
	Up       map[string]bool             // servers by uid for which the ledger has evidence that they are up, or back
	Fleet    Fleet
	Sidecars []string // that live: all of them have to say that they keep off
}

// Act is what the controller asks of the ledger. All acts may be repeated: the ledger takes each once. To see is to look
// at the servers and write what was found: what has not been looked at since the way back began is no evidence.
type Act struct {
	Kind    disruption.OpKind // ask, begin, return, see, settle or cancel
	ID      string
	Servers []string
	Rank    disruption.Rank
	Purpose string
}

// Effect is one thing to write, under the controller's token: an operation of the table or an act on the ledger.
type Effect struct {
	Window string
	Op     *Op
	Act    *Act
}

// Core is the controller of all windows. What has to outlive it stands in the table: one that takes over begins with an
// empty core and goes on exactly where the table stands. It is not safe for concurrent use.
type Core struct {
	token   uint64
	planner *Planner
	sent    map[string]int64  // by window: not before this monotonic time again
	seen    map[string]uint64 // by window: a view has to be at least of this revision
	heard   map[string]report
	never   map[string]string // by window: why its permit can never be granted
}

type report struct {
	placement.Report
	at int64 // monotonic
}

// NewCore is the controller that holds the duty under a token.
func NewCore(token uint64) *Core {
	return &Core{token: token, planner: NewPlanner(), sent: map[string]int64{}, seen: map[string]uint64{}, heard: map[string]report{},
		never: map[string]string{}}
}

// Heard takes in a sidecar's report.
func (c *Core) Heard(now Now, r placement.Report) {
	if _, known := c.heard[r.Name]; !known && len(c.heard) >= maxHeard {
		for name, old := range c.heard {
			if now.MonoMS-old.at > freshMS {
				delete(c.heard, name)
			}
		}
		if len(c.heard) >= maxHeard {
			return // the window stays as if this sidecar were silent: it is not taken for empty
		}
	}
	c.heard[r.Name] = report{r, now.MonoMS}
}

// Answered takes in what became of an effect, and the revision of the log that has it.
func (c *Core) Answered(now Now, e Effect, outcome Outcome, why string, rev uint64) {
	c.seen[e.Window] = max(c.seen[e.Window], rev)
	if e.Act != nil && e.Act.Kind == disruption.OpAsk && outcome == Bad {
		c.never[e.Window] = why
	}
	switch {
	case e.Act != nil && e.Act.Kind == disruption.OpSee:
		c.sent[e.Window] = now.MonoMS + againMS // servers take their time
	case outcome == Applied:
		delete(c.sent, e.Window)
	case outcome == Doubt:
		c.sent[e.Window] = now.MonoMS + doubtMS
	default:
		c.sent[e.Window] = now.MonoMS + againMS
	}
}

// Step says what to write next, at most one thing for each window, and when to ask again at the latest (monotonic ms).
func (c *Core) Step(now Now, v *View) (effects []Effect, wake int64) {
	list := v.Table.Windows()
	slices.SortStableFunc(list, func(a, b *Window) int { return cmp.Compare(a.CloseMS, b.CloseMS) })
	wake = now.MonoMS + restMS
	s := &look{c: c, v: v, t: v.Table, now: now, at: v.Table.clock(Stamp{now.WallMS, now.UncertaintyMS, now.WallMS, now.UncertaintyMS})}
	for _, w := range list {
		wake = min(wake, s.wake(w))
		if v.Rev < c.seen[w.Name] || now.MonoMS < c.sent[w.Name] {
			continue
		}
		e := s.next(w)
		if e.Op == nil && e.Act == nil {
			continue
		}
		if e.Op != nil {
			e.Op.Name = w.Name
			e.Op.Token = c.token
		}
		e.Window = w.Name
		c.sent[w.Name] = now.MonoMS + againMS
		effects = append(effects, e)
	}
	c.forget(v.Table)
	return effects, wake
}

// forget drops what is kept of windows that are no more.
func (c *Core) forget(t *Table) {
	for name := range c.seen {
		if t.Window(name) == nil {
			delete(c.seen, name)
			delete(c.sent, name)
			delete(c.never, name)
		}
	}
}

// look is one step's reading of everything.
type look struct {
	c   *Core
	v   *View
	t   *Table
	now Now
	at  instant

	planned bool // one a step: the next is planned around it
}

func (s *look) wake(w *Window) int64 {
	switch {
	case w.Ended() || w.Stage == Halted:
		return s.now.MonoMS + restMS
	case w.Stage == Overrun || w.Stage == Waiting: // a grant is news, and has the program look at once
		return s.now.MonoMS + TellEveryMS
	case w.Stage == Approved && s.at.lo < w.FromMS:
		return s.now.MonoMS + min(restMS, w.FromMS-s.at.lo)
	case w.Stage == Free:
		due := min(w.FreeMS+w.WorkMS, w.CloseMS-GuardMS-s.t.ReturnMS(), w.ToldMS-StepMS+TellEveryMS) - s.at.hi
		return s.now.MonoMS + max(lookMS, min(due, TellEveryMS))
	}
	return s.now.MonoMS + lookMS
}

func operation(o Op) Effect { return Effect{Op: &o} }

// act is an act on the window's permit.
func act(kind disruption.OpKind, w *Window, rank disruption.Rank) Effect {
	return Effect{Act: &Act{Kind: kind, ID: w.PermitID(), Servers: w.Servers, Rank: rank, Purpose: "window " + w.Name}}
}

// permit is the stage of the window's permit; "" where there is none any more, or none yet.
func (s *look) permit(w *Window) disruption.Stage {
	stage := s.v.Permits[w.PermitID()]
	if stage == disruption.Settled || stage == disruption.Cancelled {
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
	if why, is := s.c.never[w.Name]; is {
		delete(s.c.never, w.Name)
		return operation(Op{Kind: OpRefuse, Why: why[:min(len(why), maxWhy)]})
	}
	outcome, _ := s.t.mayDrain(w, s.at)
	switch stage, known := s.v.Permits[w.PermitID()]; {
	case outcome != Applied || !s.granted(w):
		return s.plan(w)
	case !known:
		rank := disruption.RankDrain
		if w.CloseMS-s.at.hi-s.t.NeedMS(w.WorkMS) < pressMS {
			rank = disruption.RankPressed
		}
		return act(disruption.OpAsk, w, rank)
	case stage == disruption.Granted:
		return operation(Op{Kind: OpDrain})
	case stage == disruption.Settled || stage == disruption.Cancelled:
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
	case permit == disruption.Granted:
		return act(disruption.OpBegin, w, 0)
	case permit != disruption.Out: // a halt has taken the grant back
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
		if !known || s.now.MonoMS-r.at > freshMS || r.Rev < w.ToldRev {
			return false
		}
		for _, e := range entries {
			if open, inForce := r.Open[e.ID]; !inForce || open != 0 || slices.Contains(r.Suspended, e.ID) {
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
		up = up && s.v.Up[uid]
	}
	switch permit := s.permit(w); {
	case permit == disruption.Asked || permit == disruption.Granted: // it never began
		return act(disruption.OpCancel, w, 0)
	case permit == disruption.Out:
		return act(disruption.OpReturn, w, 0)
	case up && permit == "":
		return operation(Op{Kind: OpBack})
	case up:
		return act(disruption.OpSettle, w, 0)
	case w.Stage == Returning && s.at.hi >= w.CloseMS && s.t.InDoubt() == "":
		return operation(Op{Kind: OpOverrun})
	}
	if e := s.tell(w); w.Stage == Returning && e.Op != nil {
		return e
	}
	return act(disruption.OpSee, w, 0)
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
