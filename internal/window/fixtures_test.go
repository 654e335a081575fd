package window

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"milldeck/internal/disruption"
	"milldeck/internal/placement"
	"milldeck/internal/window/contract"
	"milldeck/internal/window/hours"
)

// updateGolden rewrites the golden files. They hold what earlier versions have stored: a change in them is a change of
// the stored format, which replicas of the version before have to be able to read.
var updateGolden = flag.Bool("update", false, "write the golden files under testdata")

// storedOperation is an operation as a record of the replicated log holds it, with its revision and time.
type storedOperation struct {
	Revision  uint64 `json:"revision"`
	Timestamp Stamp  `json:"stamp"`
	Operation Op     `json:"op"`
}

// storedResult is what applying an operation gave: the entries go into the placement from the same record. The reason is
// left out: it is text for operators.
type storedResult struct {
	Revision uint64                `json:"revision"`
	Outcome  Outcome               `json:"outcome"`
	Set      []placement.Directive `json:"set,omitempty"`
	Drop     []string              `json:"drop,omitempty"`
}

// fixtureScript applies a fixed history of windows to a table and records what a replica would store.
type fixtureScript struct {
	t          *testing.T
	table      *Table
	opensMS    int64 // opening of the hours of the contract of portal, Unix ms
	operations []storedOperation
	results    []storedResult
}

const (
	fixtureSecond = int64(1000)
	fixtureMinute = 60 * fixtureSecond
	fixtureHour   = 60 * fixtureMinute
	fixtureToken  = 7
)

// apply adds one operation to the history, offsetMS after the opening, at clocks that agree.
func (s *fixtureScript) apply(offsetMS int64, op Op) Outcome {
	s.t.Helper()
	at := s.opensMS + offsetMS
	return s.applyAt(Stamp{ControllerMS: at, UncertaintyMS: 250, LeaderMS: at + 15, LeaderUncertaintyMS: 200}, op)
}

func (s *fixtureScript) applyAt(stamp Stamp, op Op) Outcome {
	s.t.Helper()
	if op.Kind.Guarded() && op.Token == 0 {
		op.Token = fixtureToken
	}
	revision := uint64(len(s.operations) + 1)
	s.operations = append(s.operations, storedOperation{revision, stamp, op})
	result := s.table.Apply(revision, &op, stamp)
	s.results = append(s.results, storedResult{revision, result.Outcome, result.Set, result.Drop})
	return result.Outcome
}

// must applies an operation that has to be accepted.
func (s *fixtureScript) must(offsetMS int64, op Op) {
	s.t.Helper()
	if outcome := s.apply(offsetMS, op); outcome != Applied {
		s.t.Fatalf("%s of %q: %s", op.Kind, op.Name, outcome)
	}
}

// snapshot compares the table with the snapshot of that name, and has the stored bytes read and written again.
func (s *fixtureScript) snapshot(name string) {
	s.t.Helper()
	checkGolden(s.t, "snapshot_"+name+".json", s.table.Save(), func(data []byte) (any, error) {
		var saved Saved
		err := decodeStrictly(data, &saved)
		return Load(&saved).Save(), err
	})
}

// grants are what the contracts approve of a start.
func (s *fixtureScript) grants(startMS int64) []Grant {
	s.t.Helper()
	planner := NewPlanner()
	var grants []Grant
	for _, c := range s.table.Contracts() {
		grant := planner.Grant(c, startMS, 4)
		if grant == nil {
			s.t.Fatalf("the contract of %s approves nothing", c.Tenant)
		}
		grants = append(grants, *grant)
	}
	return grants
}

// drain takes a proposed window to its drain, with its tenants told to keep off.
func (s *fixtureScript) drain(name string, startMS int64) {
	s.t.Helper()
	s.must(startMS-fixtureMinute, Op{Kind: OpPlan, Name: name, Grants: s.grants(s.opensMS + startMS), FromMS: s.opensMS + startMS})
	s.must(startMS+fixtureSecond, Op{Kind: OpWait, Name: name})
	s.must(startMS+2*fixtureSecond, Op{Kind: OpDrain, Name: name})
	s.must(startMS+3*fixtureSecond, s.tell(name, startMS+3*fixtureSecond))
}

func (s *fixtureScript) tell(name string, offsetMS int64) Op {
	return Op{Kind: OpTell, Name: name, UntilMS: s.opensMS + offsetMS + StepMS}
}

func fixtureContracts() (portal, teller contract.Contract) {
	portal = contract.Contract{Tenant: "portal", Notice: "1m", MinutesAMonth: 600, LeastShare: 0.5, WindowsAtOnce: 2, OnOverrun: contract.HaltOthers,
		Spec: hours.Spec{Zone: "America/Montevideo",
			Open: []hours.Rule{{Rule: "FREQ=DAILY", Start: "22:00", Length: "2h", From: "2026-01-05"}},
			Closed: []hours.Closed{{Day: "2026-12-24", Why: "rates announced"},
				{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "2026-01-01"}}}}
	teller = contract.Contract{Tenant: "teller", Notice: "0s", MinutesAMonth: 300, LeastShare: 0.25, WindowsAtOnce: 3, OnOverrun: contract.CountOnly,
		Spec: hours.Spec{Zone: "Europe/Madrid",
			Open: []hours.Rule{{Rule: "FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR", Start: "02:00", Length: "4h", From: "2026-01-05"}}}}
	return portal, teller
}

// runFixtureScript plays the history and compares the snapshots on its way.
func runFixtureScript(t *testing.T) *fixtureScript {
	t.Helper()
	s := &fixtureScript{t: t, table: New(), opensMS: time.Date(2026, 6, 11, 1, 0, 0, 0, time.UTC).UnixMilli()}
	portal, teller := fixtureContracts()
	s.must(-fixtureHour, Op{Kind: OpContract, Contract: &portal, By: "operator/eva"})
	s.must(-fixtureHour, Op{Kind: OpContract, Contract: &teller, Grant: NewPlanner().Grant(&Kept{Contract: teller}, s.opensMS, 0)})

	s.must(-50*fixtureMinute, Op{Kind: OpPropose, Name: "disks", By: "operator/eva", Servers: []string{"m1", "m0", "m1"},
		WorkMS: 5 * fixtureMinute, AfterMS: s.opensMS - 10*fixtureMinute})
	s.snapshot("proposed")
	s.must(-49*fixtureMinute, Op{Kind: OpPlan, Name: "disks", Grants: s.grants(s.opensMS), FromMS: s.opensMS})
	s.snapshot("approved")
	s.must(fixtureSecond, Op{Kind: OpWait, Name: "disks"})
	s.snapshot("waiting")
	s.must(2*fixtureSecond, Op{Kind: OpDrain, Name: "disks"})
	s.must(3*fixtureSecond, s.tell("disks", 3*fixtureSecond))
	s.snapshot("draining")
	s.must(10*fixtureSecond, Op{Kind: OpFree, Name: "disks"})
	s.must(13*fixtureSecond, s.tell("disks", 13*fixtureSecond))
	s.snapshot("free")
	s.must(3*fixtureMinute, Op{Kind: OpFinish, Name: "disks"})
	s.must(3*fixtureMinute+fixtureSecond, s.tell("disks", 3*fixtureMinute+fixtureSecond))
	s.snapshot("returning")
	s.must(6*fixtureMinute, Op{Kind: OpBack, Name: "disks"})
	s.snapshot("done")

	s.refusals()
	s.halts()
	s.cancellations()
	s.overrun()

	changed := teller // a copy: the operation above keeps its contract
	changed.LeastShare = 0.5
	s.must(3*fixtureHour, Op{Kind: OpContract, Contract: &changed})
	s.must(3*fixtureHour+fixtureMinute, Op{Kind: OpWithdraw, Tenant: "teller"})
	s.must(3*fixtureHour+2*fixtureMinute, Op{Kind: OpForget})
	s.snapshot("withdrawn")
	return s
}

// refusals are a window that cannot be, and steps that are not applied.
func (s *fixtureScript) refusals() {
	s.t.Helper()
	s.must(7*fixtureMinute, Op{Kind: OpPropose, Name: "fans", By: "operator/eva", Servers: []string{"m2"}, WorkMS: fixtureMinute})
	s.must(7*fixtureMinute, Op{Kind: OpRefuse, Name: "fans", Why: "contract of portal forbids it"})
	s.snapshot("refused")
	s.apply(7*fixtureMinute, Op{Kind: OpDrain, Name: "fans"})
	s.apply(7*fixtureMinute, Op{Kind: OpWait, Name: "absent"})
	s.apply(7*fixtureMinute, Op{Kind: OpPlan, Name: "fans", Token: fixtureToken - 1})
	s.apply(7*fixtureMinute, Op{Kind: OpPropose, Name: "fans", Servers: []string{"m3"}, WorkMS: fixtureMinute})
	s.apply(7*fixtureMinute, Op{Kind: OpWithdraw, Tenant: "absent"})
	at := s.opensMS + 7*fixtureMinute
	s.applyAt(Stamp{ControllerMS: at, UncertaintyMS: 250, LeaderMS: at + fixtureHour, LeaderUncertaintyMS: 200},
		Op{Kind: OpPropose, Name: "later", Servers: []string{"m3"}, WorkMS: fixtureMinute})
	s.snapshot("doubt")
}

// halts hold windows back by name, by tenant and altogether.
func (s *fixtureScript) halts() {
	s.t.Helper()
	s.must(8*fixtureMinute, Op{Kind: OpPropose, Name: "power", By: "operator/kim", Servers: []string{"m3"}, WorkMS: 2 * fixtureMinute})
	s.must(8*fixtureMinute, Op{Kind: OpHalt, Scope: "window/power", Why: "spare part is missing"})
	s.must(8*fixtureMinute, Op{Kind: OpHalt, Scope: "tenant/teller", Why: "rates announced"})
	s.must(8*fixtureMinute, Op{Kind: OpHalt, Why: "incident 12"})
	s.snapshot("halted")
	s.must(9*fixtureMinute, Op{Kind: OpResume})
	s.must(9*fixtureMinute, Op{Kind: OpResume, Scope: "tenant/teller"})
	s.must(9*fixtureMinute, Op{Kind: OpResume, Scope: "window/power"})
}

// cancellations end a window before its drain, and one that is out.
func (s *fixtureScript) cancellations() {
	s.t.Helper()
	s.must(10*fixtureMinute, Op{Kind: OpPropose, Name: "cables", By: "operator/kim", Servers: []string{"m2"}, WorkMS: fixtureMinute})
	s.must(10*fixtureMinute, Op{Kind: OpCancel, Name: "cables", Why: "no longer needed"})
	s.drain("power", 15*fixtureMinute)
	s.must(16*fixtureMinute, Op{Kind: OpCancel, Name: "power", Why: "spare part is broken"})
	s.must(17*fixtureMinute, Op{Kind: OpBack, Name: "power"})
	s.snapshot("cancelled")
}

// overrun is a window whose servers are not back at the close.
func (s *fixtureScript) overrun() {
	s.t.Helper()
	s.must(18*fixtureMinute, Op{Kind: OpPropose, Name: "racks", By: "operator/eva", Servers: []string{"m2"}, WorkMS: fixtureMinute})
	s.drain("racks", 20*fixtureMinute)
	s.must(21*fixtureMinute, s.tell("racks", 21*fixtureMinute))
	s.must(21*fixtureMinute+fixtureSecond, Op{Kind: OpFree, Name: "racks"})
	s.must(23*fixtureMinute, Op{Kind: OpReturn, Name: "racks", End: Done})
	s.must(2*fixtureHour+5*fixtureSecond, Op{Kind: OpOverrun, Name: "racks"})
	s.snapshot("overrun")
	s.must(2*fixtureHour+10*fixtureMinute, Op{Kind: OpBack, Name: "racks"})
	s.snapshot("overrun_returned")
}

// TestStoredFormats has a fixed history give the operations, results and snapshots that earlier versions have stored, byte
// for byte.
func TestStoredFormats(t *testing.T) {
	s := runFixtureScript(t)
	checkGolden(t, "operations.json", s.operations, func(data []byte) (any, error) {
		var operations []storedOperation
		err := decodeStrictly(data, &operations)
		return operations, err
	})
	checkGolden(t, "results.json", s.results, func(data []byte) (any, error) {
		var results []storedResult
		err := decodeStrictly(data, &results)
		return results, err
	})
}

// TestStoredOperationsReplay has a table rebuilt from stored operations alone, as a replica does that starts from its log.
func TestStoredOperationsReplay(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "operations.json"))
	if err != nil {
		t.Fatal(err)
	}
	var operations []storedOperation
	if err := decodeStrictly(data, &operations); err != nil {
		t.Fatal(err)
	}
	table := New()
	var results []storedResult
	for i := range operations {
		stored := &operations[i]
		result := table.Apply(stored.Revision, &stored.Operation, stored.Timestamp)
		results = append(results, storedResult{stored.Revision, result.Outcome, result.Set, result.Drop})
	}
	compareGolden(t, "results.json", results)
	compareGolden(t, "snapshot_withdrawn.json", table.Save())
}

// TestLedgerOperationsFormat covers what the controller writes into the disruption ledger.
func TestLedgerOperationsFormat(t *testing.T) {
	portal, _ := fixtureContracts()
	view := &View{Out: map[string]Server{"m0": {Rev: 3, Endpoint: "127.0.0.1:7001"}, "m1": {Up: true, Rev: 4, Endpoint: "127.0.0.1:7002"}}}
	w := &Window{Name: "disks", Servers: []string{"m0", "m1"}, Attempt: 2}
	operations := []*disruption.Op{{Kind: disruption.OpSetBudget, Budget: BudgetOf(&portal)}}
	for _, kind := range []disruption.OpKind{disruption.OpRequest, disruption.OpBegin, disruption.OpReturn, disruption.OpComplete, disruption.OpCancel} {
		operations = append(operations, act(kind, w, disruption.PriorityDrain).Act.Op())
	}
	operations = append(operations, act(disruption.OpObserve, w, 0).Act.Found(view, func(s Server) disruption.Condition {
		if s.Up {
			return disruption.ConditionUp
		}
		return disruption.ConditionUnready
	}))
	checkGolden(t, "ledger_operations.json", operations, func(data []byte) (any, error) {
		var stored []*disruption.Op
		err := decodeStrictly(data, &stored)
		return stored, err
	})
	checkGolden(t, "servers.json", view.Out, func(data []byte) (any, error) {
		var stored map[string]Server
		err := decodeStrictly(data, &stored)
		return stored, err
	})
}

// checkGolden compares a value with a golden file, and has the file's bytes read and written again without a change.
func checkGolden(t *testing.T, name string, value any, reread func([]byte) (any, error)) {
	t.Helper()
	data := compareGolden(t, name, value)
	again, err := reread(data)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if diff := cmp.Diff(string(data), string(encodeGolden(t, again))); diff != "" {
		t.Errorf("%s is not written as it was read:\n%s", name, diff)
	}
}

// compareGolden compares a value with a golden file and gives the file's bytes.
func compareGolden(t *testing.T, name string, value any) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	encoded := encodeGolden(t, value)
	if *updateGolden {
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(encoded)); diff != "" {
		t.Errorf("%s:\n%s", name, diff)
	}
	return data
}

func encodeGolden(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

func decodeStrictly(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
