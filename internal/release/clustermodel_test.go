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

const tickMS = 500 // ms

// unitModel is what is true of a unit, whatever anybody knows of it.
type unitModel struct {
	unit            disruption.Unit
	version         string // of the process that was started last
	config          string // that it runs by
	bootMS          int64
	readyMS         int64 // when that process is ready; -1: never
	terminating     bool  // in the list
	drainingSinceMS int64 // since when
	leaseEndMS      int64 // when its lease ends; 0: it lives
	coldUntilMS     int64 // until when
	rejectedConfig  string
}

// clusterModel is a fleet: the ledger, the platform and the releases' table are the real ones, the rest is numbers.
type clusterModel struct {
	t                  testing.TB
	nowMS              int64
	revision           uint64
	token              uint64
	ledger             *disruption.Ledger
	platform           *fake.Platform
	table              *Table
	units              map[string]*unitModel
	ids                []string
	launches           map[string]int  // by unit and version
	reloads            map[string]int  // by unit and configuration
	broken             map[string]bool // versions that fail at start
	neverReady         map[string]bool // versions that are never ready
	rejectedConfigs    map[string]bool // configurations that sidecars refuse
	verdict            func(*State) judge.Verdict
	maxOut             int  // units truly out at once, most of all moments
	hidesEndedPermits  bool // views show no permits that are over
	bugs               plantedBugs
	reportsChangesOnly bool // units are told of to the ledger where something has changed alone, as the list service does

	applied func(revision uint64, applyLedgerOp *Operation) // called with each operation that the releases' table has taken in; nil: nobody is
}

// plantedBugs are planted.
type plantedBugs struct {
	writesAfterEffects      bool // a step is written after it is done, not before
	requestIDsPerController bool // request ids follow from who asks, not from what is written
	rollbackRankForward     bool // ways back ask behind forward steps
	trustsIncompleteList    bool // what a platform that has forgotten does not list counts as ended
}

const stopMS = 700 // ms from SIGTERM to a process's end

func newClusterModel(t testing.TB, kind disruption.Kind, zones, unitsPerZone, maxOut int) *clusterModel {
	model := &clusterModel{t: t, nowMS: 1_000_000, ledger: disruption.NewLedger(), table: NewTable(), units: map[string]*unitModel{}, token: 100, revision: 1000,
		launches: map[string]int{}, reloads: map[string]int{}, broken: map[string]bool{}, neverReady: map[string]bool{}, rejectedConfigs: map[string]bool{},
		verdict: func(*State) judge.Verdict { return judge.Verdict{Outcome: judge.Pass} }}
	versions := map[core.Version]fake.Version{}
	for _, version := range []string{"1", "2", "3"} {
		versions[core.Version{Kind: supervisor.Kind(kind), Name: version}] = fake.Version{
			ProcessPolicy: core.ProcessPolicy{GraceMS: 10_000, MaxRestarts: 1}, Behave: model.startProcess,
		}
	}
	model.platform = fake.New(fake.Options{Versions: versions}, model.nowMS)
	model.applyLedgerOp(&disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &maxOut}}})
	for zone := range zones {
		for i := range unitsPerZone {
			name := fmt.Sprintf("%c%d", 'a'+zone, i)
			unit := &unitModel{unit: disruption.Unit{ID: disruption.UnitID(kind, name), Kind: kind, Zone: string(rune('a' + zone)), PodGroup: i % 3, Capacity: 1}}
			model.units[unit.unit.ID] = unit
			model.ids = append(model.ids, unit.unit.ID)
			list, _ := model.platform.List(context.Background())
			model.callPlatform(supervisor.Request{ID: "first-" + name, Op: supervisor.Start, Epoch: list.Epoch, Unit: name, Kind: supervisor.Kind(kind),
				Version: "1", ConfigName: "c1", ConfigText: "c1", Listen: "127.0.0.1:7000", Zone: unit.unit.Zone})
		}
	}
	for range 16 {
		model.advance()
	}
	for _, id := range model.ids {
		if unit, _ := model.ledger.Unit(id); unit.Condition != disruption.ConditionUp {
			t.Fatalf("%s is %q at the start", id, unit.Condition)
		}
	}
	model.maxOut, model.launches = 0, map[string]int{}
	return model
}

func (m *clusterModel) callPlatform(r supervisor.Request) ([]supervisor.Outcome, error) {
	return m.platform.Do(context.Background(), r)
}

func (m *clusterModel) applyLedgerOp(op *disruption.Op) disruption.Result {
	m.revision++
	return m.ledger.Apply(m.revision, op)
}

// apply has the releases' table take an operation in.
func (m *clusterModel) apply(op *Operation) error {
	m.revision++
	err := m.table.Apply(m.revision, op)
	if err == nil && m.applied != nil {
		m.applied(m.revision, op)
	}
	return err
}

func (m *clusterModel) unitID(name string) string {
	for _, id := range m.ids {
		if strings.HasSuffix(id, "/"+name) {
			return id
		}
	}
	return ""
}

// startProcess is told of each launch by the platform.
func (m *clusterModel) startProcess(listed supervisor.Unit) fake.Behavior {
	unit := m.units[m.unitID(listed.Name)]
	m.launches[unit.unit.ID+" "+listed.Version]++
	unit.version, unit.config, unit.bootMS, unit.readyMS = listed.Version, listed.ConfigName, m.nowMS, m.nowMS+800
	life := fake.Behavior{ReadyAfterMS: 800, StopAfterMS: stopMS, OnReload: func(config, _ string) {
		m.reloads[unit.unit.ID+" "+config]++
		if m.rejectedConfigs[config] {
			unit.rejectedConfig = config
		} else {
			unit.config, unit.rejectedConfig = config, ""
		}
	}}
	if m.broken[listed.Version] {
		unit.readyMS, life.ReadyAfterMS, life.ExitAfterMS, life.ExitText = -1, -1, 100, "exit status 1"
	}
	if m.neverReady[listed.Version] {
		unit.readyMS = -1 // the platform's own check is met, the list's is not
	}
	return life
}

func (u *unitModel) name() string { return u.unit.ID[strings.Index(u.unit.ID, "/")+1:] }

// serves is the truth about a unit.
func (m *clusterModel) serves(u *unitModel) bool {
	return m.platform.LiveProcesses(u.name()) > 0 && u.readyMS >= 0 && u.readyMS <= m.nowMS && !u.terminating && u.coldUntilMS <= m.nowMS
}

// advance has a tick pass: processes go on, leases end, what registers is seen.
func (m *clusterModel) advance() {
	m.nowMS += tickMS
	m.platform.Advance(m.nowMS)
	out := 0
	for _, id := range m.ids {
		unit := m.units[id]
		alive := m.platform.LiveProcesses(unit.name()) > 0
		known, registered := m.ledger.Unit(id)
		m.revision++
		switch {
		case !alive:
			if unit.leaseEndMS == 0 {
				unit.leaseEndMS = m.nowMS + 1000
			}
			if registered && m.nowMS >= unit.leaseEndMS {
				m.ledger.MarkLost(m.revision, id)
			}
		default:
			unit.leaseEndMS = 0
			reported := unit.unit
			reported.Version, reported.Condition, reported.BootMS = unit.version, disruption.ConditionUp, float64(unit.bootMS)
			if unit.readyMS < 0 || unit.readyMS > m.nowMS {
				reported.Condition = disruption.ConditionUnready
			}
			if registered && known.BootMS != reported.BootMS {
				unit.terminating = false // it registers anew
				if reported.Kind == disruption.KindServer {
					unit.coldUntilMS = m.nowMS + 3000
				}
			}
			if unit.terminating {
				reported.Condition = disruption.ConditionDraining
			}
			if !m.reportsChangesOnly || !registered || known.BootMS != reported.BootMS || known.Version != reported.Version ||
				(known.Condition == disruption.ConditionDraining || known.Condition == disruption.ConditionLost) != unit.terminating {
				m.ledger.Register(m.revision, reported)
			}
			if known, _ = m.ledger.Unit(id); reported.Condition == disruption.ConditionUp && known.Condition != disruption.ConditionUp && unit.coldUntilMS <= m.nowMS {
				m.applyLedgerOp(&disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: id, Condition: disruption.ConditionUp}}})
			}
			if known, _ = m.ledger.Unit(id); reported.Condition == disruption.ConditionUnready && known.Condition == disruption.ConditionUp {
				m.applyLedgerOp(&disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: id, Condition: disruption.ConditionUnready}}})
			}
		}
		if !m.serves(unit) {
			out++
		}
	}
	m.maxOut = max(m.maxOut, out)
}

// startRelease takes a plan in.
func (m *clusterModel) startRelease(text string) *State {
	releasePlan, err := plan.Parse("plan.toml", []byte(text))
	if err != nil {
		m.t.Fatal(err)
	}
	list, err := m.platform.List(context.Background())
	if err != nil {
		m.t.Fatal(err)
	}
	state, err := New(releasePlan, m.nowMS, m.ledger.Units(), m.ledger.Budgets(), list)
	if err == nil {
		err = m.apply(&Operation{Start: state})
	}
	if err != nil {
		m.t.Fatal(err)
	}
	state, _ = m.table.Get(state.Name)
	return state
}

// fakeController is one process that holds the duty, or believes so.
type fakeController struct {
	model         *clusterModel
	name          string
	token         uint64
	state         *State
	outcomes      map[string]supervisor.Outcome
	deniedPermits map[string]string

	pendingDeltas []Delta // by a planted bug
}

func (m *clusterModel) newController(name string) *fakeController {
	m.token++
	state, _ := m.table.Get(name)
	own := *state
	own.Units = slices.Clone(state.Units)
	return &fakeController{model: m, name: name, token: m.token, state: &own, outcomes: map[string]supervisor.Outcome{}, deniedPermits: map[string]string{}}
}

func (c *fakeController) view() *View {
	model := c.model
	list, err := model.platform.List(context.Background())
	if err != nil {
		list = nil
	}
	if model.bugs.trustsIncompleteList && list != nil {
		list.Complete = true
	}
	_, commands := model.table.Get(c.name)
	return &View{
		NowMS: model.nowMS, Token: c.token, Platform: list, Outcomes: c.outcomes, DeniedPermits: c.deniedPermits, Commands: commands, Verdict: model.verdict(c.state),
		Permit: model.visiblePermit, Unit: model.ledger.Unit,
		Prepared: func(string) bool { return true },
		Drained: func(id string) bool {
			u := model.units[id]
			return u.terminating && model.nowMS-u.drainingSinceMS >= 1000
		},
		Running: func(id string) (Image, bool) {
			u := model.units[id]
			return Image{u.version, u.config}, model.serves(u)
		},
		ConfigRejection: func(id, config string) string {
			if model.units[id].rejectedConfig == config {
				return "no such class"
			}
			return ""
		},
	}
}

// visiblePermit is a permit as a view of the ledger shows it: those that are over are not in every view.
func (m *clusterModel) visiblePermit(id string) (disruption.Permit, bool) {
	permit, known := m.ledger.Permit(id)
	if m.hidesEndedPermits && known && (permit.Stage == disruption.StageCompleted || permit.Stage == disruption.StageCancelled) {
		return disruption.Permit{}, false
	}
	return permit, known
}

// execute does one effect. An answer that is lost is not known to the controller.
func (c *fakeController) execute(e Effect, answerLost bool) {
	model := c.model
	current := c.token == model.token // what the log guards by the token
	switch e := e.(type) {
	case ApplyLedgerOp:
		op := e.Op
		if model.bugs.rollbackRankForward && op.Kind == disruption.OpRequest {
			permit := *op.Permit
			permit.Priority = disruption.PriorityRollout
			op.Permit = &permit
		}
		if current {
			if result := model.applyLedgerOp(&op); op.Kind == disruption.OpRequest && result.Outcome != disruption.OutcomeApplied && !answerLost {
				c.deniedPermits[op.Permit.ID] = result.Reason
			}
		}
	case CallPlatform:
		request := e.Request
		id := request.ID
		if model.bugs.requestIDsPerController {
			request.ID = fmt.Sprintf("%s-%d", request.ID, c.token)
		}
		if request.Op == supervisor.Reload {
			request.ConfigText = request.ConfigName
		}
		outcome, err := model.callPlatform(request)
		if err == nil && !answerLost {
			c.outcomes[id] = outcome[0]
		}
	case MarkTerminating:
		if u := model.units[e.Unit]; current && !u.terminating && model.platform.LiveProcesses(u.name()) > 0 {
			u.terminating, u.drainingSinceMS = true, model.nowMS
		}
	case MarkReady:
		if current {
			model.units[e.Unit].terminating = false
		}
	case PrepareUnit:
	case WriteDelta:
		if model.bugs.writesAfterEffects {
			c.state.Apply(e.Delta)
			c.pendingDeltas = append(c.pendingDeltas, e.Delta)
			return
		}
		if current && model.apply(&Operation{Name: c.name, Delta: &e.Delta}) == nil && !answerLost {
			state, _ := model.table.Get(c.name)
			c.state.Apply(e.Delta)
			if c.state.Sequence != state.Sequence {
				model.t.Fatal("the controller's state is not the log's")
			}
		}
	}
}

// writePending writes what a planted bug has put off, in the tick after it.
func (c *fakeController) writePending() {
	for _, delta := range c.pendingDeltas {
		if c.token == c.model.token {
			c.model.apply(&Operation{Name: c.name, Delta: &delta})
		}
	}
	c.pendingDeltas = nil
}

// crash says where controllers die: each effect is passed a number, from 0, over the whole run.
type crash struct {
	effectIndex  int // -1: never
	mode         string
	effectsDone  int
	happened     bool
	resumeFrozen func() // does what a frozen controller had still to do
	ticksToThaw  int    // in so many ticks
}

// run plays a release to its end, with hooks before each tick. It gives the number of effects that were done.
func (m *clusterModel) run(name string, planned *crash, ticks int, beforeTick func(tick int, state *State)) (*State, int) {
	current := m.newController(name)
	for i := range ticks {
		state, _ := m.table.Get(name)
		if beforeTick != nil {
			beforeTick(i, state)
		}
		if state, commands := m.table.Get(name); state.Status.Phase.Finished() && state.Status.HandledCommands == len(commands) && (planned.ticksToThaw == 0) {
			return state, planned.effectsDone
		}
		effects := current.state.Reconcile(current.view())
		if i%3 == 0 {
			current.writePending()
		}
		for j, e := range effects {
			index := planned.effectsDone
			planned.effectsDone++
			if index == planned.effectIndex && !planned.happened {
				planned.happened = true
				switch planned.mode {
				case "before":
				case "after":
					current.execute(e, true)
				case "frozen":
					frozen, rest := current, effects[j:]
					planned.ticksToThaw = 12
					planned.resumeFrozen = func() {
						for _, e := range rest {
							frozen.execute(e, false)
						}
					}
				}
				current = m.newController(name)
				break
			}
			current.execute(e, false)
		}
		if planned.ticksToThaw > 0 {
			if planned.ticksToThaw--; planned.ticksToThaw == 0 {
				planned.resumeFrozen()
			}
		}
		m.advance()
	}
	state, _ := m.table.Get(name)
	return state, planned.effectsDone
}

// checkAllRun tells whether every unit truly runs an image and serves.
func (m *clusterModel) checkAllRun(state *State, version, config string) error {
	for i := range state.Units {
		unit := m.units[state.Units[i].ID]
		if !m.serves(unit) || unit.version != version || unit.config != config {
			return fmt.Errorf("%s runs %s %s, up %v, want %s %s", unit.unit.ID, unit.version, unit.config, m.serves(unit), version, config)
		}
		if processes := m.platform.LiveProcesses(state.Units[i].Name); processes != 1 {
			return fmt.Errorf("%s has %d processes", unit.unit.ID, processes)
		}
	}
	return nil
}

// list is the platform's list, which has to be had.
func (m *clusterModel) list() *supervisor.List {
	list, err := m.platform.List(context.Background())
	if err != nil {
		m.t.Fatal(err)
	}
	return list
}
