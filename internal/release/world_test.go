package release

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
	"milldeck/internal/supervisor/fake"
)

const tick = 500 // ms

// unitWorld is what is true of a unit, whatever anybody knows of it.
type unitWorld struct {
	unit        disruption.Unit
	version     string // of the process that was started last
	config      string // that it runs by
	bootMS      int64
	readyMS     int64 // when that process is ready; -1: never
	terminating bool  // in the list
	drainedMS   int64 // since when
	lostAt      int64 // when its lease ends; 0: it lives
	cold        int64 // until when
	refused     string
}

// world is a fleet: the ledger, the platform and the releases' table are the real ones, the rest is numbers.
type world struct {
	t        testing.TB
	now      int64
	rev      uint64
	token    uint64
	ledger   *disruption.Ledger
	platform *fake.Platform
	table    *Table
	units    map[string]*unitWorld
	ids      []string
	launches map[string]int  // by unit and version
	reloads  map[string]int  // by unit and configuration
	broken   map[string]bool // versions that fail at start
	never    map[string]bool // versions that are never ready
	badConf  map[string]bool // configurations that sidecars refuse
	verdict  func(*State) judge.Verdict
	most     int  // units truly out at once, most of all moments
	brief    bool // views show no permits that are over
	bugs     bugs
	quiet    bool // units are told of to the ledger where something has changed alone, as the list service does

	applied func(rev uint64, op *Op) // called with each operation that the releases' table has taken in; nil: nobody is
}

// bugs are planted.
type bugs struct {
	late    bool // a step is written after it is done, not before
	random  bool // request ids follow from who asks, not from what is written
	behind  bool // ways back ask behind forward steps
	forgets bool // what a platform that has forgotten does not list counts as ended
}

const sleepyStop = 700 // ms from SIGTERM to a process's end

func newWorld(t testing.TB, kind disruption.Kind, zones, each, maxOut int) *world {
	w := &world{t: t, now: 1_000_000, ledger: disruption.NewLedger(), table: NewTable(), units: map[string]*unitWorld{}, token: 100, rev: 1000,
		launches: map[string]int{}, reloads: map[string]int{}, broken: map[string]bool{}, never: map[string]bool{}, badConf: map[string]bool{},
		verdict: func(*State) judge.Verdict { return judge.Verdict{Kind: judge.Pass} }}
	versions := map[core.Version]fake.Version{}
	for _, v := range []string{"1", "2", "3"} {
		versions[core.Version{Kind: supervisor.Kind(kind), Name: v}] = fake.Version{
			ProcessPolicy: core.ProcessPolicy{GraceMS: 10_000, MaxRestarts: 1}, Behave: w.behave,
		}
	}
	w.platform = fake.New(fake.Options{Versions: versions}, w.now)
	w.op(&disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &maxOut}}})
	for z := range zones {
		for i := range each {
			name := fmt.Sprintf("%c%d", 'a'+z, i)
			u := &unitWorld{unit: disruption.Unit{ID: disruption.UnitID(kind, name), Kind: kind, Zone: string(rune('a' + z)), PodGroup: i % 3, Capacity: 1}}
			w.units[u.unit.ID] = u
			w.ids = append(w.ids, u.unit.ID)
			l, _ := w.platform.List(context.Background())
			w.do(supervisor.Request{ID: "first-" + name, Op: supervisor.Start, Epoch: l.Epoch, Unit: name, Kind: supervisor.Kind(kind),
				Version: "1", ConfigName: "c1", ConfigText: "c1", Listen: "127.0.0.1:7000", Zone: u.unit.Zone})
		}
	}
	for range 16 {
		w.advance()
	}
	for _, id := range w.ids {
		if u, _ := w.ledger.Unit(id); u.Condition != disruption.ConditionUp {
			t.Fatalf("%s is %q at the start", id, u.Condition)
		}
	}
	w.most, w.launches = 0, map[string]int{}
	return w
}

func (w *world) do(r supervisor.Request) ([]supervisor.Outcome, error) {
	return w.platform.Do(context.Background(), r)
}

func (w *world) op(op *disruption.Op) (disruption.Outcome, string) {
	w.rev++
	return w.ledger.Apply(w.rev, op)
}

// apply has the releases' table take an operation in.
func (w *world) apply(op *Op) error {
	w.rev++
	err := w.table.Apply(w.rev, op)
	if err == nil && w.applied != nil {
		w.applied(w.rev, op)
	}
	return err
}

func (w *world) id(name string) string {
	for _, id := range w.ids {
		if strings.HasSuffix(id, "/"+name) {
			return id
		}
	}
	return ""
}

// behave is told of each launch by the platform.
func (w *world) behave(p supervisor.Unit) fake.Behavior {
	u := w.units[w.id(p.Name)]
	w.launches[u.unit.ID+" "+p.Version]++
	u.version, u.config, u.bootMS, u.readyMS = p.Version, p.ConfigName, w.now, w.now+800
	life := fake.Behavior{ReadyAfterMS: 800, StopAfterMS: sleepyStop, OnReload: func(config, _ string) {
		w.reloads[u.unit.ID+" "+config]++
		if w.badConf[config] {
			u.refused = config
		} else {
			u.config, u.refused = config, ""
		}
	}}
	if w.broken[p.Version] {
		u.readyMS, life.ReadyAfterMS, life.ExitAfterMS, life.ExitText = -1, -1, 100, "exit status 1"
	}
	if w.never[p.Version] {
		u.readyMS = -1 // the platform's own check is met, the list's is not
	}
	return life
}

func (u *unitWorld) name() string { return u.unit.ID[strings.Index(u.unit.ID, "/")+1:] }

// up is the truth about a unit.
func (w *world) up(u *unitWorld) bool {
	return w.platform.LiveProcesses(u.name()) > 0 && u.readyMS >= 0 && u.readyMS <= w.now && !u.terminating && u.cold <= w.now
}

// advance has a tick pass: processes go on, leases end, what registers is seen.
func (w *world) advance() {
	w.now += tick
	w.platform.Advance(w.now)
	out := 0
	for _, id := range w.ids {
		u := w.units[id]
		alive := w.platform.LiveProcesses(u.name()) > 0
		known, is := w.ledger.Unit(id)
		w.rev++
		switch {
		case !alive:
			if u.lostAt == 0 {
				u.lostAt = w.now + 1000
			}
			if is && w.now >= u.lostAt {
				w.ledger.MarkLost(w.rev, id)
			}
		default:
			u.lostAt = 0
			n := u.unit
			n.Version, n.Condition, n.BootMS = u.version, disruption.ConditionUp, float64(u.bootMS)
			if u.readyMS < 0 || u.readyMS > w.now {
				n.Condition = disruption.ConditionUnready
			}
			if is && known.BootMS != n.BootMS {
				u.terminating = false // it registers anew
				if n.Kind == disruption.KindServer {
					u.cold = w.now + 3000
				}
			}
			if u.terminating {
				n.Condition = disruption.ConditionDraining
			}
			if !w.quiet || !is || known.BootMS != n.BootMS || known.Version != n.Version ||
				(known.Condition == disruption.ConditionDraining || known.Condition == disruption.ConditionLost) != u.terminating {
				w.ledger.Register(w.rev, n)
			}
			if known, _ = w.ledger.Unit(id); n.Condition == disruption.ConditionUp && known.Condition != disruption.ConditionUp && u.cold <= w.now {
				w.op(&disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: id, Condition: disruption.ConditionUp}}})
			}
			if known, _ = w.ledger.Unit(id); n.Condition == disruption.ConditionUnready && known.Condition == disruption.ConditionUp {
				w.op(&disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: id, Condition: disruption.ConditionUnready}}})
			}
		}
		if !w.up(u) {
			out++
		}
	}
	w.most = max(w.most, out)
}

// start takes a plan in.
func (w *world) start(text string) *State {
	p, err := plan.Parse("plan.toml", []byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	l, err := w.platform.List(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	s, err := New(p, w.now, w.ledger.Units(), w.ledger.Budgets(), l)
	if err == nil {
		err = w.apply(&Op{Start: s})
	}
	if err != nil {
		w.t.Fatal(err)
	}
	s, _ = w.table.Get(s.Name)
	return s
}

// controller is one process that holds the duty, or believes so.
type controller struct {
	w       *world
	name    string
	token   uint64
	state   *State
	answers map[string]supervisor.Outcome
	denied  map[string]string

	unwritten []Delta // by a planted bug
}

func (w *world) take(name string) *controller {
	w.token++
	s, _ := w.table.Get(name)
	c := *s
	c.Units = slices.Clone(s.Units)
	return &controller{w: w, name: name, token: w.token, state: &c, answers: map[string]supervisor.Outcome{}, denied: map[string]string{}}
}

func (c *controller) view() *View {
	w := c.w
	l, err := w.platform.List(context.Background())
	if err != nil {
		l = nil
	}
	if w.bugs.forgets && l != nil {
		l.Complete = true
	}
	_, commands := w.table.Get(c.name)
	return &View{
		NowMS: w.now, Token: c.token, Platform: l, Answers: c.answers, Denied: c.denied, Commands: commands, Verdict: w.verdict(c.state),
		Permits: w.permit, Unit: w.ledger.Unit,
		Made: func(string) bool { return true },
		Empty: func(id string) bool {
			u := w.units[id]
			return u.terminating && w.now-u.drainedMS >= 1000
		},
		Running: func(id string) (Image, bool) {
			u := w.units[id]
			return Image{u.version, u.config}, w.up(u)
		},
		Refused: func(id, config string) string {
			if w.units[id].refused == config {
				return "no such class"
			}
			return ""
		},
	}
}

// permit is a permit as a view of the ledger shows it: those that are over are not in every view.
func (w *world) permit(id string) (disruption.Permit, bool) {
	p, known := w.ledger.Permit(id)
	if w.brief && known && (p.Stage == disruption.StageCompleted || p.Stage == disruption.StageCancelled) {
		return disruption.Permit{}, false
	}
	return p, known
}

// carry does one effect. An answer that is lost is not known to the controller.
func (c *controller) carry(e Effect, lost bool) {
	w := c.w
	current := c.token == w.token // what the log guards by the token
	switch e := e.(type) {
	case Ledger:
		op := e.Op
		if w.bugs.behind && op.Kind == disruption.OpRequest {
			p := *op.Permit
			p.Priority = disruption.PriorityRollout
			op.Permit = &p
		}
		if current {
			if out, why := w.op(&op); op.Kind == disruption.OpRequest && out != disruption.OutcomeApplied && !lost {
				c.denied[op.Permit.ID] = why
			}
		}
	case Do:
		r := e.Request
		id := r.ID
		if w.bugs.random {
			r.ID = fmt.Sprintf("%s-%d", r.ID, c.token)
		}
		if r.Op == supervisor.Reload {
			r.ConfigText = r.ConfigName
		}
		out, err := w.do(r)
		if err == nil && !lost {
			c.answers[id] = out[0]
		}
	case Terminate:
		if u := w.units[e.Unit]; current && !u.terminating && w.platform.LiveProcesses(u.name()) > 0 {
			u.terminating, u.drainedMS = true, w.now
		}
	case Restore:
		if current {
			w.units[e.Unit].terminating = false
		}
	case Prepare:
	case Write:
		if w.bugs.late {
			c.state.Apply(e.Delta)
			c.unwritten = append(c.unwritten, e.Delta)
			return
		}
		if current && w.apply(&Op{Name: c.name, Step: &e.Delta}) == nil && !lost {
			s, _ := w.table.Get(c.name)
			c.state.Apply(e.Delta)
			if c.state.Seq != s.Seq {
				w.t.Fatal("the controller's state is not the log's")
			}
		}
	}
}

// flush writes what a planted bug has put off, in the tick after it.
func (c *controller) flush() {
	for _, d := range c.unwritten {
		if c.token == c.w.token {
			c.w.apply(&Op{Name: c.name, Step: &d})
		}
	}
	c.unwritten = nil
}

// kill says where controllers die: each effect is passed a number, from 0, over the whole run.
type kill struct {
	at     int // -1: never
	mode   string
	effect int
	fired  bool
	frozen func() // does what a frozen controller had still to do
	thaw   int    // in so many ticks
}

// run plays a release to its end, with hooks before each tick. It gives the number of effects that were done.
func (w *world) run(name string, k *kill, ticks int, before func(tick int, s *State)) (*State, int) {
	c := w.take(name)
	for i := range ticks {
		s, _ := w.table.Get(name)
		if before != nil {
			before(i, s)
		}
		if s, cmds := w.table.Get(name); s.Head.Phase.Over() && s.Head.Commands == len(cmds) && (k.thaw == 0) {
			return s, k.effect
		}
		effects := c.state.Step(c.view())
		if i%3 == 0 {
			c.flush()
		}
		for j, e := range effects {
			n := k.effect
			k.effect++
			if n == k.at && !k.fired {
				k.fired = true
				switch k.mode {
				case "before":
				case "after":
					c.carry(e, true)
				case "frozen":
					old, rest := c, effects[j:]
					k.thaw = 12
					k.frozen = func() {
						for _, e := range rest {
							old.carry(e, false)
						}
					}
				}
				c = w.take(name)
				break
			}
			c.carry(e, false)
		}
		if k.thaw > 0 {
			if k.thaw--; k.thaw == 0 {
				k.frozen()
			}
		}
		w.advance()
	}
	s, _ := w.table.Get(name)
	return s, k.effect
}

// all tells whether every unit truly runs an image and serves.
func (w *world) all(s *State, version, config string) error {
	for i := range s.Units {
		u := w.units[s.Units[i].ID]
		if !w.up(u) || u.version != version || u.config != config {
			return fmt.Errorf("%s runs %s %s, up %v, want %s %s", u.unit.ID, u.version, u.config, w.up(u), version, config)
		}
		if n := w.platform.LiveProcesses(s.Units[i].Name); n != 1 {
			return fmt.Errorf("%s has %d processes", u.unit.ID, n)
		}
	}
	return nil
}

// list is the platform's list, which has to be had.
func (w *world) list() *supervisor.List {
	l, err := w.platform.List(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	return l
}
