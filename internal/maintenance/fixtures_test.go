package maintenance

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"milldeck/internal/disruption"
	"milldeck/internal/goldentest"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/placement"
)

// storedOperation is an operation as a record of the replicated log stores it, with its revision and time.
type storedOperation struct {
	Revision  uint64    `json:"revision"`
	Timestamp Timestamp `json:"stamp"`
	Operation Operation `json:"op"`
}

// storedResult is the result of an applied operation, whose record also writes the directives to the placement.
// storedResult omits the reason, which is text for operators.
type storedResult struct {
	Revision           uint64                `json:"revision"`
	Outcome            Outcome               `json:"outcome"`
	SetDirectives      []placement.Directive `json:"set,omitempty"`
	DeleteDirectiveIDs []string              `json:"drop,omitempty"`
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

// apply adds an operation to the history, at offsetMS after the opening, with clocks that agree.
func (s *fixtureScript) apply(offsetMS int64, op Operation) Outcome {
	s.t.Helper()
	atMS := s.opensMS + offsetMS
	return s.applyAt(Timestamp{ControllerMS: atMS, UncertaintyMS: 250, LeaderMS: atMS + 15, LeaderUncertaintyMS: 200}, op)
}

func (s *fixtureScript) applyAt(timestamp Timestamp, op Operation) Outcome {
	s.t.Helper()
	if op.Kind.RequiresToken() && op.Token == 0 {
		op.Token = fixtureToken
	}
	revision := uint64(len(s.operations) + 1)
	s.operations = append(s.operations, storedOperation{revision, timestamp, op})
	changes, err := s.table.Apply(revision, &op, timestamp)
	s.results = append(s.results, storedResult{revision, OutcomeOf(err), changes.SetDirectives, changes.DeleteDirectiveIDs})
	return OutcomeOf(err)
}

// must applies an operation that the table has to accept.
func (s *fixtureScript) must(offsetMS int64, op Operation) {
	s.t.Helper()
	if outcome := s.apply(offsetMS, op); outcome != OutcomeApplied {
		s.t.Fatalf("%s of %q: %s", op.Kind, op.Window, outcome)
	}
}

// snapshot compares the table with the golden snapshot of that name, and checks that the stored bytes are the
// same after decoding and encoding.
func (s *fixtureScript) snapshot(name string) {
	s.t.Helper()
	checkGolden(s.t, "snapshot_"+name+".json", s.table.Snapshot(), func(data []byte) (any, error) {
		var snapshot Snapshot
		err := decodeStrictly(data, &snapshot)
		return Restore(&snapshot).Snapshot(), err
	})
}

// approvals returns the approvals of all contracts for a start.
func (s *fixtureScript) approvals(startMS int64) []Approval {
	s.t.Helper()
	planner := NewPlanner()
	var approvals []Approval
	for _, active := range s.table.Contracts() {
		approval := planner.Approval(active, startMS, 4)
		if approval == nil {
			s.t.Fatalf("the contract of %s approves nothing", active.Tenant)
		}
		approvals = append(approvals, *approval)
	}
	return approvals
}

// beginDrain takes a proposed window to its drain and has its servers excluded.
func (s *fixtureScript) beginDrain(name string, startMS int64) {
	s.t.Helper()
	plannedMS := s.opensMS + startMS
	s.must(startMS-fixtureMinute, Operation{Kind: OpSchedule, Window: name, Approvals: s.approvals(plannedMS), PlannedStartMS: plannedMS})
	s.must(startMS+fixtureSecond, Operation{Kind: OpAwaitPermit, Window: name})
	s.must(startMS+2*fixtureSecond, Operation{Kind: OpBeginDrain, Window: name})
	s.must(startMS+3*fixtureSecond, s.extendExclusion(name, startMS+3*fixtureSecond))
}

// proposal returns the operation that proposes a window of one server.
func proposal(name, operator, server string, workMS int64) Operation {
	return Operation{Kind: OpPropose, Window: name, Operator: operator, ServerUIDs: []string{server}, WorkMS: workMS}
}

func (s *fixtureScript) extendExclusion(name string, offsetMS int64) Operation {
	return Operation{Kind: OpExtendExclusion, Window: name, ExcludeUntilMS: s.opensMS + offsetMS + ExclusionTTLMS}
}

func fixtureContracts() (portal, teller contract.Contract) {
	portal = contract.Contract{
		Tenant: "portal",
		Spec: calendar.Spec{
			Zone:          "America/Montevideo",
			ApprovedHours: []calendar.Rule{{Recurrence: "FREQ=DAILY", Start: "22:00", Length: "2h", FirstDay: "2026-01-05"}},
			ClosedDays: []calendar.ClosedDay{
				{Day: "2026-12-24", Reason: "rates announced"},
				{Recurrence: "FREQ=MONTHLY;BYMONTHDAY=1", FirstDay: "2026-01-01"},
			},
		},
		Notice:               "1m",
		MinutesPerMonth:      600,
		MinAvailableShare:    0.5,
		MaxConcurrentWindows: 2,
		OverrunPolicy:        contract.OverrunHaltsTenant,
	}
	workdays := calendar.Rule{Recurrence: "FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR", Start: "02:00", Length: "4h", FirstDay: "2026-01-05"}
	teller = contract.Contract{
		Tenant:               "teller",
		Spec:                 calendar.Spec{Zone: "Europe/Madrid", ApprovedHours: []calendar.Rule{workdays}},
		Notice:               "0s",
		MinutesPerMonth:      300,
		MinAvailableShare:    0.25,
		MaxConcurrentWindows: 3,
		OverrunPolicy:        contract.OverrunCountsOnly,
	}
	return portal, teller
}

// runFixtureScript applies the history and compares a snapshot at each stage.
func runFixtureScript(t *testing.T) *fixtureScript {
	t.Helper()
	s := &fixtureScript{t: t, table: New(), opensMS: time.Date(2026, 6, 11, 1, 0, 0, 0, time.UTC).UnixMilli()}
	portal, teller := fixtureContracts()
	s.must(-fixtureHour, Operation{Kind: OpSetContract, Contract: &portal, Operator: "operator/eva"})
	approval := NewPlanner().Approval(&ActiveContract{Contract: teller}, s.opensMS, 0)
	s.must(-fixtureHour, Operation{Kind: OpSetContract, Contract: &teller, CurrentApproval: approval})

	s.must(-50*fixtureMinute, Operation{Kind: OpPropose, Window: "disks", Operator: "operator/eva", ServerUIDs: []string{"m1", "m0", "m1"},
		WorkMS: 5 * fixtureMinute, NotBeforeMS: s.opensMS - 10*fixtureMinute})
	s.snapshot("proposed")
	s.must(-49*fixtureMinute, Operation{Kind: OpSchedule, Window: "disks", Approvals: s.approvals(s.opensMS), PlannedStartMS: s.opensMS})
	s.snapshot("approved")
	s.must(fixtureSecond, Operation{Kind: OpAwaitPermit, Window: "disks"})
	s.snapshot("waiting")
	s.must(2*fixtureSecond, Operation{Kind: OpBeginDrain, Window: "disks"})
	s.must(3*fixtureSecond, s.extendExclusion("disks", 3*fixtureSecond))
	s.snapshot("draining")
	s.must(10*fixtureSecond, Operation{Kind: OpCompleteDrain, Window: "disks"})
	s.must(13*fixtureSecond, s.extendExclusion("disks", 13*fixtureSecond))
	s.snapshot("free")
	s.must(3*fixtureMinute, Operation{Kind: OpFinishWork, Window: "disks"})
	s.must(3*fixtureMinute+fixtureSecond, s.extendExclusion("disks", 3*fixtureMinute+fixtureSecond))
	s.snapshot("returning")
	s.must(6*fixtureMinute, Operation{Kind: OpCompleteReturn, Window: "disks"})
	s.snapshot("done")

	s.rejections()
	s.halts()
	s.cancellations()
	s.overrun()

	changed := teller // a copy: the first operation refers to the original
	changed.MinAvailableShare = 0.5
	s.must(3*fixtureHour, Operation{Kind: OpSetContract, Contract: &changed})
	s.must(3*fixtureHour+fixtureMinute, Operation{Kind: OpWithdrawContract, Tenant: "teller"})
	s.must(3*fixtureHour+2*fixtureMinute, Operation{Kind: OpResetEstimates})
	s.snapshot("withdrawn")
	return s
}

// rejections adds a rejected window, and operations that the table rejects.
func (s *fixtureScript) rejections() {
	s.t.Helper()
	s.must(7*fixtureMinute, proposal("fans", "operator/eva", "m2", fixtureMinute))
	s.must(7*fixtureMinute, Operation{Kind: OpReject, Window: "fans", Reason: "contract of portal forbids it"})
	s.snapshot("refused")
	s.apply(7*fixtureMinute, Operation{Kind: OpBeginDrain, Window: "fans"})
	s.apply(7*fixtureMinute, Operation{Kind: OpAwaitPermit, Window: "absent"})
	s.apply(7*fixtureMinute, Operation{Kind: OpSchedule, Window: "fans", Token: fixtureToken - 1})
	s.apply(7*fixtureMinute, Operation{Kind: OpPropose, Window: "fans", ServerUIDs: []string{"m3"}, WorkMS: fixtureMinute})
	s.apply(7*fixtureMinute, Operation{Kind: OpWithdrawContract, Tenant: "absent"})
	atMS := s.opensMS + 7*fixtureMinute
	s.applyAt(Timestamp{ControllerMS: atMS, UncertaintyMS: 250, LeaderMS: atMS + fixtureHour, LeaderUncertaintyMS: 200},
		Operation{Kind: OpPropose, Window: "later", ServerUIDs: []string{"m3"}, WorkMS: fixtureMinute})
	s.snapshot("doubt")
}

// halts adds halts of a window, of a tenant and of all windows, and resumes each of them.
func (s *fixtureScript) halts() {
	s.t.Helper()
	s.must(8*fixtureMinute, proposal("power", "operator/kim", "m3", 2*fixtureMinute))
	s.must(8*fixtureMinute, Operation{Kind: OpHalt, Scope: "window/power", Reason: "spare part is missing"})
	s.must(8*fixtureMinute, Operation{Kind: OpHalt, Scope: "tenant/teller", Reason: "rates announced"})
	s.must(8*fixtureMinute, Operation{Kind: OpHalt, Reason: "incident 12"})
	s.snapshot("halted")
	s.must(9*fixtureMinute, Operation{Kind: OpResume})
	s.must(9*fixtureMinute, Operation{Kind: OpResume, Scope: "tenant/teller"})
	s.must(9*fixtureMinute, Operation{Kind: OpResume, Scope: "window/power"})
}

// cancellations cancels one window before its drain and one that is out of service.
func (s *fixtureScript) cancellations() {
	s.t.Helper()
	s.must(10*fixtureMinute, proposal("cables", "operator/kim", "m2", fixtureMinute))
	s.must(10*fixtureMinute, Operation{Kind: OpCancel, Window: "cables", Reason: "no longer needed"})
	s.beginDrain("power", 15*fixtureMinute)
	s.must(16*fixtureMinute, Operation{Kind: OpCancel, Window: "power", Reason: "spare part is broken"})
	s.must(17*fixtureMinute, Operation{Kind: OpCompleteReturn, Window: "power"})
	s.snapshot("cancelled")
}

// overrun adds a window whose servers are not back at the close.
func (s *fixtureScript) overrun() {
	s.t.Helper()
	s.must(18*fixtureMinute, proposal("racks", "operator/eva", "m2", fixtureMinute))
	s.beginDrain("racks", 20*fixtureMinute)
	s.must(21*fixtureMinute, s.extendExclusion("racks", 21*fixtureMinute))
	s.must(21*fixtureMinute+fixtureSecond, Operation{Kind: OpCompleteDrain, Window: "racks"})
	s.must(23*fixtureMinute, Operation{Kind: OpBeginReturn, Window: "racks", StageAfterReturn: StageDone})
	s.must(2*fixtureHour+5*fixtureSecond, Operation{Kind: OpMarkOverrun, Window: "racks"})
	s.snapshot("overrun")
	s.must(2*fixtureHour+10*fixtureMinute, Operation{Kind: OpCompleteReturn, Window: "racks"})
	s.snapshot("overrun_returned")
}

// TestStoredFormats guards against changes of stored formats. A fixed history must give, byte for byte, the
// operations, results and snapshots that earlier versions have stored.
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

// TestStoredOperationsReplay rebuilds a table from stored operations alone, as a replica does when it starts from
// its log.
func TestStoredOperationsReplay(t *testing.T) {
	var operations []storedOperation
	if err := decodeStrictly(goldentest.Read(t, "operations.json"), &operations); err != nil {
		t.Fatal(err)
	}
	table := New()
	var results []storedResult
	for i := range operations {
		stored := &operations[i]
		changes, err := table.Apply(stored.Revision, &stored.Operation, stored.Timestamp)
		results = append(results, storedResult{stored.Revision, OutcomeOf(err), changes.SetDirectives, changes.DeleteDirectiveIDs})
	}
	goldentest.Compare(t, "results.json", encodeGolden(t, results))
	goldentest.Compare(t, "snapshot_withdrawn.json", encodeGolden(t, table.Snapshot()))
}

// TestLedgerOperationsFormat checks the format of the operations that the controller writes to the disruption
// ledger.
func TestLedgerOperationsFormat(t *testing.T) {
	portal, _ := fixtureContracts()
	view := &View{OutOfService: map[string]ServerStatus{
		"m0": {Revision: 3, Endpoint: "127.0.0.1:7001"},
		"m1": {Ready: true, Revision: 4, Endpoint: "127.0.0.1:7002"},
	}}
	window := &Window{Name: "disks", ServerUIDs: []string{"m0", "m1"}, Attempt: 2}
	operations := []*disruption.Op{{Kind: disruption.OpSetBudget, Budget: ContractBudget(&portal)}}
	kinds := []disruption.OpKind{disruption.OpRequest, disruption.OpBegin, disruption.OpReturn, disruption.OpComplete, disruption.OpCancel}
	for _, kind := range kinds {
		action := ledgerAction(kind, window)
		action.Priority = disruption.PriorityDrain
		operations = append(operations, action.Operation())
	}
	conditions := []disruption.Condition{disruption.ConditionUnready, disruption.ConditionUp}
	operations = append(operations, ledgerAction(disruption.OpObserve, window).ObservationOperation(view, conditions))
	checkGolden(t, "ledger_operations.json", operations, func(data []byte) (any, error) {
		var stored []*disruption.Op
		err := decodeStrictly(data, &stored)
		return stored, err
	})
	checkGolden(t, "servers.json", view.OutOfService, func(data []byte) (any, error) {
		var stored map[string]ServerStatus
		err := decodeStrictly(data, &stored)
		return stored, err
	})
}

// checkGolden compares a value with a golden file, and checks that the file's bytes are the same after decoding
// and encoding.
func checkGolden(t *testing.T, name string, value any, decode func([]byte) (any, error)) {
	t.Helper()
	goldentest.Compare(t, name, encodeGolden(t, value))
	data := goldentest.Read(t, name)
	decoded, err := decode(data)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if diff := cmp.Diff(string(data), string(encodeGolden(t, decoded))); diff != "" {
		t.Errorf("%s differs after decoding and encoding:\n%s", name, diff)
	}
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
