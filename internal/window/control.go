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
	Out      map[string]Server           // by uid, those of windows that are out
	Fleet    Fleet
	Sidecars []string // that live: all of them have to say that they keep off
}

// Server is what the ledger knows of a server that a window has out.
type Server struct {
	Up       bool   `json:"up"` // there is evidence that it is up, and where the way back has begun, back
	Rev      uint64 `json:"rev"`
	Endpoint string `json:"endpoint"`
}

// Act is what the controller asks of the ledger. All acts may be repeated: the ledger takes each once. To see is to look
// at the servers and write what was found: what has not been looked at since the way back began is no evidence.
type Act struct {
	Kind    disruption.OpKind // ask, begin, return, see, settle or cancel
	ID      string
	Servers []string
	Rank    disruption.Priority
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
	placement.LoadReport
	at int64 // monotonic
}

// NewCore is the controller that holds the duty under a token.
func NewCore(token uint64) *Core {
	return &Core{token: token, planner: NewPlanner(), sent: map[string]int64{}, seen: map[string]uint64{}, heard: map[string]report{},
		never: map[string]string{}}
}

// Heard takes in a sidecar's report.
func (c *Core) Heard(now Now, r placement.LoadReport) {
	if _, known := c.heard[r.Sidecar]; !known && len(c.heard) >= maxHeard {
		for name, old := range c.heard {
			if now.MonoMS-old.at > freshMS {
				delete(c.heard, name)
			}
		}
		if len(c.heard) >= maxHeard {
			return // the window stays as if this sidecar were silent: it is not taken for empty
		}
	}
	c.heard[r.Sidecar] = report{r, now.MonoMS}
}

// Answered takes in what became of an effect, and the revision of the log that has it.
func (c *Core) Answered(now Now, e Effect, outcome Outcome, why string, rev uint64) {
	c.seen[e.Window] = max(c.seen[e.Window], rev)
	if e.Act != nil && e.Act.Kind == disruption.OpRequest && outcome == Bad {
		c.never[e.Window] = why
	}
	switch {
	case e.Act != nil && e.Act.Kind == disruption.OpObserve:
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
