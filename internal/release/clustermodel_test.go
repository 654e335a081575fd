package release

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/release/judge"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
	"milldeck/internal/supervisor/fake"
)

// Parameters of the model. Names that end in MS are in ms.
const (
	tickMS         = 500
	readyAfterMS   = 800  // from the start of a process until it is ready
	stopMS         = 700  // from SIGTERM until the process exits
	leaseMS        = 1000 // from the exit of a process until its registration expires
	serverWarmUpMS = 3000 // from the registration of a restarted server until it is warm
	drainMS        = 1000 // from Terminating until the server is proved to have no open request
	settleTicks    = 60   // after a release, so that units that crashed at its very end come up again
	operatorName   = "operator/eva"
)

// unitModel is the actual state of one unit, which may differ from what has been observed.
type unitModel struct {
	unit             disruption.Unit // as it registers
	version          string          // of the latest process
	config           string          // that the latest process uses
	bootMS           int64           // when the latest process was started
	readyMS          int64           // when the latest process is ready; -1: never
	terminating      bool            // in the endpoint list
	drainingSinceMS  int64
	leaseEndMS       int64 // when the registration expires; 0: it is being renewed
	warmingUpUntilMS int64 // when the unit is warm
	rejectedConfig   string
}

// name returns the unit's name on the platform.
func (u *unitModel) name() string { return u.unit.ID[strings.Index(u.unit.ID, "/")+1:] }

// clusterModel is a cluster in virtual time. It uses the real ledger, platform core and table of releases, and models
// processes, registrations and readiness.
type clusterModel struct {
	t                  testing.TB
	nowMS              int64
	revision           uint64 // of the log
	token              uint64 // the only valid fencing token
	ledger             *disruption.Ledger
	platform           *fake.Platform
	table              *Table
	units              map[string]*unitModel // by ID
	ids                []string
	launches           map[string]int  // by unit ID and version
	reloads            map[string]int  // by unit ID and configuration
	broken             map[string]bool // versions whose processes exit right after their start
	neverReady         map[string]bool // versions that never become ready in the endpoint list
	rejectedConfigs    map[string]bool // configurations that sidecars reject
	verdict            func(*State) judge.Verdict
	peakUnavailable    int  // the largest number of units that did not serve at the same time
	hidesEndedPermits  bool // views of the ledger lack permits that have ended
	reportsChangesOnly bool // units register in the ledger only when they change, as in the registry
	defects            injectedDefects

	// applied, if not nil, is called with each operation that the table of releases has applied.
	applied func(revision uint64, op *Operation)
}

// injectedDefects are defects that the fake controller imitates, and that the tests have to detect.
type injectedDefects struct {
	writesAfterEffects        bool // a state is written only after its effects were executed
	requestIDsPerController   bool // request IDs depend on the controller, not only on the written state
	rollbackAtRolloutPriority bool // rollbacks request permits at the priority of rollouts
	trustsIncompleteList      bool // a unit that is missing from an incomplete list counts as stopped
}

// newClusterModel returns a cluster whose units are all up and run version 1 with configuration c1. The ledger's budget
// allows maxUnavailable units to be out.
func newClusterModel(t testing.TB, kind disruption.Kind, zones, unitsPerZone, maxUnavailable int) *clusterModel {
	t.Helper()
	model := &clusterModel{
		t:               t,
		nowMS:           1_000_000,
		revision:        1000,
		token:           100,
		ledger:          disruption.NewLedger(),
		table:           NewTable(),
		units:           map[string]*unitModel{},
		launches:        map[string]int{},
		reloads:         map[string]int{},
		broken:          map[string]bool{},
		neverReady:      map[string]bool{},
		rejectedConfigs: map[string]bool{},
		verdict:         func(*State) judge.Verdict { return judge.Verdict{Outcome: judge.Pass} },
	}
	versions := map[core.Version]fake.Version{}
	for _, version := range []string{"1", "2", "3"} {
		versions[core.Version{Kind: supervisor.Kind(kind), Name: version}] = fake.Version{
			ProcessPolicy: core.ProcessPolicy{GraceMS: 10_000, MaxRestarts: 1}, Behave: model.startProcess,
		}
	}
	model.platform = fake.New(fake.Options{Versions: versions}, model.nowMS)
	budget := &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &maxUnavailable}}
	model.applyLedgerOp(&disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: budget})
	for zone := range zones {
		for i := range unitsPerZone {
			model.addUnit(kind, string(rune('a'+zone)), i)
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
	model.peakUnavailable = 0
	model.launches = map[string]int{}
	return model
}

func (m *clusterModel) addUnit(kind disruption.Kind, zone string, i int) {
	m.t.Helper()
	name := fmt.Sprintf("%s%d", zone, i)
	unit := &unitModel{unit: disruption.Unit{
		ID: disruption.UnitID(kind, name), Kind: kind, Zone: zone, PodGroup: i % 3, Capacity: 1,
	}}
	m.units[unit.unit.ID] = unit
	m.ids = append(m.ids, unit.unit.ID)
	_, err := m.callPlatform(supervisor.Request{
		ID: "first-" + name, Op: supervisor.Start, Epoch: m.list().Epoch, Unit: name, Kind: supervisor.Kind(kind),
		Version: "1", ConfigName: "c1", ConfigText: "c1", Listen: "127.0.0.1:7000", Zone: zone,
	})
	if err != nil {
		m.t.Fatal(err)
	}
}

func (m *clusterModel) callPlatform(request supervisor.Request) ([]supervisor.Outcome, error) {
	return m.platform.Do(context.Background(), request)
}

// list returns the platform's list, and fails the test if the platform does not answer.
func (m *clusterModel) list() *supervisor.List {
	m.t.Helper()
	list, err := m.platform.List(context.Background())
	if err != nil {
		m.t.Fatal(err)
	}
	return list
}

func (m *clusterModel) setFault(fault core.Fault) {
	m.t.Helper()
	if err := m.platform.SetFault(fault); err != nil {
		m.t.Fatal(err)
	}
}

// crashUnit makes a unit's process exit by itself.
func (m *clusterModel) crashUnit(name string) { m.platform.Crash(name, "signal: killed") }

func (m *clusterModel) applyLedgerOp(op *disruption.Op) disruption.Result {
	m.revision++
	return m.ledger.Apply(m.revision, op)
}

// observeUnit reports a unit's condition to the ledger in the manner of a health check.
func (m *clusterModel) observeUnit(id string, condition disruption.Condition) {
	observed := []disruption.Unit{{ID: id, Condition: condition}}
	m.applyLedgerOp(&disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: observed})
}

func (m *clusterModel) apply(op *Operation) error {
	m.revision++
	err := m.table.Apply(m.revision, op)
	if err == nil && m.applied != nil {
		m.applied(m.revision, op)
	}
	return err
}

// command sends an operator's command to the release r.
func (m *clusterModel) command(action Action) error {
	return m.apply(&Operation{Name: "r", Command: &Command{Action: action, Operator: operatorName}})
}

func (m *clusterModel) unitID(name string) string {
	for _, id := range m.ids {
		if strings.HasSuffix(id, "/"+name) {
			return id
		}
	}
	return ""
}

// startProcess is called by the platform for each process that it starts.
func (m *clusterModel) startProcess(listed supervisor.Unit) fake.Behavior {
	unit := m.units[m.unitID(listed.Name)]
	m.launches[unit.unit.ID+" "+listed.Version]++
	unit.version = listed.Version
	unit.config = listed.ConfigName
	unit.bootMS = m.nowMS
	unit.readyMS = m.nowMS + readyAfterMS
	behavior := fake.Behavior{ReadyAfterMS: readyAfterMS, StopAfterMS: stopMS, OnReload: func(config, _ string) {
		m.reloads[unit.unit.ID+" "+config]++
		if m.rejectedConfigs[config] {
			unit.rejectedConfig = config
			return
		}
		unit.config = config
		unit.rejectedConfig = ""
	}}
	if m.broken[listed.Version] {
		unit.readyMS = -1
		behavior.ReadyAfterMS = -1
		behavior.ExitAfterMS = 100
		behavior.ExitText = "exit status 1"
	}
	if m.neverReady[listed.Version] {
		unit.readyMS = -1 // the platform's own readiness check passes, but the registry's does not
	}
	return behavior
}

func (m *clusterModel) alive(unit *unitModel) bool { return m.platform.LiveProcesses(unit.name()) > 0 }

// serves reports whether a unit actually serves at full capacity.
func (m *clusterModel) serves(unit *unitModel) bool {
	ready := unit.readyMS >= 0 && unit.readyMS <= m.nowMS
	return m.alive(unit) && ready && !unit.terminating && unit.warmingUpUntilMS <= m.nowMS
}

// advance simulates one tick: processes make progress, units register, leases expire and health checks report.
func (m *clusterModel) advance() {
	m.nowMS += tickMS
	m.platform.Advance(m.nowMS)
	out := 0
	for _, id := range m.ids {
		unit := m.units[id]
		m.revision++
		if m.alive(unit) {
			m.register(unit)
		} else {
			m.expire(unit)
		}
		if !m.serves(unit) {
			out++
		}
	}
	m.peakUnavailable = max(m.peakUnavailable, out)
}

// expire ends the registration of a unit without a process once its lease has expired.
func (m *clusterModel) expire(unit *unitModel) {
	if unit.leaseEndMS == 0 {
		unit.leaseEndMS = m.nowMS + leaseMS
	}
	if _, registered := m.ledger.Unit(unit.unit.ID); registered && m.nowMS >= unit.leaseEndMS {
		m.ledger.MarkLost(m.revision, unit.unit.ID)
	}
}

// register registers a unit that has a process, and reports the result of its health check.
func (m *clusterModel) register(unit *unitModel) {
	id := unit.unit.ID
	known, registered := m.ledger.Unit(id)
	unit.leaseEndMS = 0
	reported := unit.unit
	reported.Version = unit.version
	reported.BootMS = float64(unit.bootMS)
	reported.Condition = disruption.ConditionUp
	if unit.readyMS < 0 || unit.readyMS > m.nowMS {
		reported.Condition = disruption.ConditionUnready
	}
	if registered && known.BootMS != reported.BootMS {
		unit.terminating = false // a restarted unit registers as ready
		if reported.Kind == disruption.KindServer {
			unit.warmingUpUntilMS = m.nowMS + serverWarmUpMS
		}
	}
	if unit.terminating {
		reported.Condition = disruption.ConditionDraining
	}
	if !m.reportsChangesOnly || !registered || registrationChanged(&known, &reported, unit.terminating) {
		m.ledger.Register(m.revision, reported)
	}
	known, _ = m.ledger.Unit(id)
	ready, knownUp := reported.Condition == disruption.ConditionUp, known.Condition == disruption.ConditionUp
	if ready && !knownUp && unit.warmingUpUntilMS <= m.nowMS {
		m.observeUnit(id, disruption.ConditionUp)
	}
	known, _ = m.ledger.Unit(id)
	if reported.Condition == disruption.ConditionUnready && known.Condition == disruption.ConditionUp {
		m.observeUnit(id, disruption.ConditionUnready)
	}
}

func registrationChanged(known, reported *disruption.Unit, terminating bool) bool {
	if known.BootMS != reported.BootMS || known.Version != reported.Version {
		return true
	}
	knownTerminating := known.Condition == disruption.ConditionDraining || known.Condition == disruption.ConditionLost
	return knownTerminating != terminating
}

// startRelease starts a release whose plan is given as TOML.
func (m *clusterModel) startRelease(text string) *State {
	m.t.Helper()
	releasePlan, err := plan.Parse("plan.toml", []byte(text))
	if err != nil {
		m.t.Fatal(err)
	}
	state, err := New(releasePlan, m.nowMS, m.ledger.Units(), m.ledger.Budgets(), m.list())
	if err != nil {
		m.t.Fatal(err)
	}
	return m.startState(state)
}

// startDrain starts a drain of the units with the given IDs.
func (m *clusterModel) startDrain(name string, ids ...string) {
	m.t.Helper()
	drainPlan := DrainPlan(name, disruption.Selector{IDs: ids}, 3600)
	state, err := NewDrain(drainPlan, m.nowMS, m.ledger.Units(), m.list())
	if err != nil {
		m.t.Fatal(err)
	}
	m.startState(state)
}

func (m *clusterModel) startState(state *State) *State {
	m.t.Helper()
	if err := m.apply(&Operation{Start: state}); err != nil {
		m.t.Fatal(err)
	}
	started, _ := m.table.Get(state.Name)
	return started
}

// disruptedUnits returns the units whose disruption has begun and whose permit is not completed.
func (m *clusterModel) disruptedUnits() (ids []string) {
	for _, permit := range m.ledger.OpenPermits() {
		if permit.Stage == disruption.StageActive || permit.Stage == disruption.StageReturning {
			ids = append(ids, permit.Units...)
		}
	}
	return ids
}

// launchesOf counts the units on which a version was started.
func (m *clusterModel) launchesOf(version string) int {
	count := 0
	for launch := range m.launches {
		if strings.HasSuffix(launch, " "+version) {
			count++
		}
	}
	return count
}

// unitsAt counts the units of a release that are at a stage.
func unitsAt(state *State, stage Stage) int {
	count := 0
	for i := range state.Units {
		if state.Units[i].Stage == stage {
			count++
		}
	}
	return count
}

// checkAllRun returns an error unless every unit of a release actually serves and runs an image in exactly one process.
func (m *clusterModel) checkAllRun(state *State, image Image) error {
	for i := range state.Units {
		unit := m.units[state.Units[i].ID]
		if !m.serves(unit) || unit.version != image.Version || unit.config != image.ConfigName {
			return fmt.Errorf("%s runs %s %s, serves %v, want %s", unit.unit.ID, unit.version, unit.config, m.serves(unit), image)
		}
		if processes := m.platform.LiveProcesses(state.Units[i].Name); processes != 1 {
			return fmt.Errorf("%s has %d processes", unit.unit.ID, processes)
		}
	}
	return nil
}
