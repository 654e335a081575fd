package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"milldeck/internal/disruption"
)

// tableFixture is a table with one tenant, approved hours from openMS to closeMS, and operations to apply to it.
type tableFixture struct {
	openMS, closeMS int64
	approval        func(version uint64) *Approval
}

func newTableFixture() (*tableFixture, *Table) {
	terms, _ := dailyContract("portal", "America/Montevideo", "22:00", time.Hour)
	terms.MaxConcurrentWindows, terms.MinutesPerMonth = 1, 60
	openMS := time.Date(2026, 6, 11, 1, 0, 0, 0, time.UTC).UnixMilli()
	fixture := &tableFixture{openMS: openMS, closeMS: openMS + 60*minuteMS}
	approvalTemplate := NewPlanner().Approval(&ActiveContract{Contract: terms}, openMS, 4)
	fixture.approval = func(version uint64) *Approval {
		approval := *approvalTemplate
		approval.ContractVersion = version
		return &approval
	}
	table := New()
	table.LookupPermit = immediatePermits(table)
	mustApply(table, 1, Operation{Kind: OpSetContract, Contract: &terms}, Timestamp{})
	return fixture, table
}

// agreeingClocks returns the timestamp of an operation for which both clocks show atMS with a typical
// uncertainty.
func agreeingClocks(atMS int64) Timestamp {
	return Timestamp{ControllerMS: atMS, UncertaintyMS: 250, LeaderMS: atMS, LeaderUncertaintyMS: 250}
}

// timestamps returns times around the approved hours, and two timestamps that cannot be trusted.
func (f *tableFixture) timestamps() []Timestamp {
	agreeing := func(atMS int64) Timestamp { return Timestamp{atMS, 250, atMS + 20, 250} }
	return []Timestamp{
		agreeing(f.openMS - 5*minuteMS),
		agreeing(f.openMS - 100),
		agreeing(f.openMS + 1000),
		agreeing(f.openMS + 10*minuteMS),
		agreeing(f.closeMS - 12*minuteMS),
		agreeing(f.closeMS - 1000),
		agreeing(f.closeMS + 5000),
		{f.openMS + minuteMS, 250, f.openMS + 61*minuteMS, 250},
		{f.openMS + minuteMS, 9000, f.openMS + minuteMS, 250},
	}
}

// operations returns operations of all kinds on two windows that share a server.
func (f *tableFixture) operations(table *Table, timestamp Timestamp) []Operation {
	var version uint64
	if active := table.Contract("portal"); active != nil {
		version = active.Version
	}
	operations := []Operation{
		{Kind: OpWithdrawContract, Tenant: "portal"},
		{Kind: OpHalt, Scope: ""},
		{Kind: OpResume, Scope: ""},
		{Kind: OpResetEstimates},
	}
	if active := table.Contract("portal"); active != nil {
		next := active.Contract
		operations = append(operations,
			Operation{Kind: OpSetContract, Contract: &next},
			Operation{Kind: OpSetContract, Contract: &next, CurrentApproval: f.approval(version)})
	}
	for _, name := range []string{"v", "w"} {
		operations = append(operations,
			Operation{Kind: OpPropose, Window: name, ServerUIDs: []string{"m0", name}, WorkMS: minuteMS},
			Operation{Kind: OpSchedule, Window: name, Approvals: []Approval{*f.approval(version)}, PlannedStartMS: f.openMS},
			Operation{Kind: OpBeginReturn, Window: name, StageAfterReturn: StageProposed},
			Operation{Kind: OpHalt, Scope: "window/" + name},
			Operation{Kind: OpResume, Scope: "window/" + name},
			Operation{Kind: OpExtendExclusion, Window: name, ExcludeUntilMS: timestamp.ControllerMS + ExclusionTTLMS},
			Operation{Kind: OpExtendExclusion, Window: name, ExcludeUntilMS: f.closeMS - CloseMarginMS},
			Operation{Kind: OpAwaitPermit, Window: name},
			Operation{Kind: OpBeginDrain, Window: name},
			Operation{Kind: OpCompleteDrain, Window: name},
			Operation{Kind: OpFinishWork, Window: name},
			Operation{Kind: OpCancel, Window: name},
			Operation{Kind: OpMarkOverrun, Window: name},
			Operation{Kind: OpCompleteReturn, Window: name})
	}
	for i := range operations {
		if operations[i].Kind.RequiresToken() {
			operations[i].Token = 5
		}
	}
	return operations
}

// checkTransition checks the invariants of the table between the states before and after an operation. rejection
// is the error of the operation.
func checkTransition(table *Table, before *Snapshot, op *Operation, timestamp Timestamp, rejection error) error {
	after := table.Snapshot()
	if rejection != nil {
		after.ClockFault, after.ModRevision = before.ClockFault, before.ModRevision
		if !reflect.DeepEqual(before, after) {
			return fmt.Errorf("%s was rejected (%w) but changed %s", op.Kind, rejection, cmp.Diff(before, after))
		}
		return nil
	}
	if err := checkTimeAndToken(before, after, op, timestamp); err != nil {
		return err
	}
	if op.Kind == OpBeginDrain || op.Kind == OpExtendExclusion || op.Kind == OpCompleteDrain {
		if err := checkWithinHours(table, op, timestamp); err != nil {
			return err
		}
	}
	if err := checkExclusions(table); err != nil {
		return err
	}
	for month, ms := range before.UsedMS["portal"] {
		if after.UsedMS["portal"][month] < ms {
			return fmt.Errorf("minutes of %s were lost", month)
		}
	}
	return nil
}

// checkTimeAndToken checks that an operation was not applied during a clock fault, with a time in the past, or
// under an old token.
func checkTimeAndToken(before, after *Snapshot, op *Operation, timestamp Timestamp) error {
	requiresTrustedClock := op.Kind.advancesWindow() || op.Kind == OpMarkOverrun
	_, latest := timestamp.bounds()
	switch {
	case requiresTrustedClock && timestamp.clockFault() != "":
		return fmt.Errorf("%s was applied in spite of a clock fault", op.Kind)
	case requiresTrustedClock && latest < before.LogTimeMS:
		return fmt.Errorf("%s was applied at %d, before the logged %d", op.Kind, latest, before.LogTimeMS)
	case after.LogTimeMS < before.LogTimeMS:
		return errors.New("logged time ran back")
	case op.Kind.RequiresToken() && op.Token < before.Token:
		return fmt.Errorf("%s was applied under an old token", op.Kind)
	}
	return nil
}

// checkWithinHours checks that an operation was applied within the hours of all contracts of its window that are
// in force.
func checkWithinHours(table *Table, op *Operation, timestamp Timestamp) error {
	earliest, latest := timestamp.bounds()
	for _, approval := range table.Window(op.Window).Approvals {
		active := table.Contract(approval.Tenant)
		if active == nil || active.Version != approval.ContractVersion {
			continue
		}
		if earliest < approval.OpensAtMS || latest >= approval.ClosesAtMS {
			return fmt.Errorf("%s was applied outside the hours", op.Kind)
		}
	}
	return nil
}

// checkExclusions checks that each directive is covered by a contract and expires before the close, and that no
// two windows are out of service at once: all windows of the fixture share a server.
func checkExclusions(table *Table) error {
	for _, window := range table.Windows() {
		for _, directive := range table.ExclusionDirectives(window) {
			covered := table.Contract(directive.Tenant) != nil && window.OutOfService()
			if !covered || directive.ExpiresAtMS > window.ClosesAtMS-CloseMarginMS {
				return fmt.Errorf("window %s has the directive %v", window.Name, directive)
			}
		}
		for _, other := range table.Windows() {
			if other.Name < window.Name && other.OutOfService() && window.OutOfService() {
				return fmt.Errorf("%s and %s are out of service at once", other.Name, window.Name)
			}
		}
	}
	return nil
}

// mustApply applies an operation of a test setup, which the table has to accept.
func mustApply(table *Table, revision uint64, op Operation, timestamp Timestamp) {
	if _, err := table.Apply(revision, &op, timestamp); err != nil {
		panic(fmt.Sprintf("%s: %v", op.Kind, err))
	}
}

// immediatePermits simulates a ledger that grants each permit at once, and whose permits are active as soon as
// the drain starts.
func immediatePermits(table *Table) func(string) (disruption.Stage, bool) {
	return func(id string) (disruption.Stage, bool) {
		for _, window := range table.windows {
			if window.PermitID() == id && window.OutOfService() {
				return disruption.StageActive, true
			}
		}
		return disruption.StageGranted, true
	}
}

// cloneTable returns a table restored from a snapshot of table.
func cloneTable(table *Table) *Table {
	next := Restore(table.Snapshot())
	next.LookupPermit = immediatePermits(next)
	return next
}

// walkStages takes a window from its proposal to its end, and calls visit with the table at each stage.
func (f *tableFixture) walkStages(table *Table, visit func(*Table)) {
	revision := uint64(10)
	apply := func(offsetMS int64, op Operation) {
		op.Window, op.Token = "w", 5
		if op.Kind == OpPropose {
			op.ServerUIDs, op.WorkMS = []string{"m0", "w"}, minuteMS
		}
		revision++
		mustApply(table, revision, op, agreeingClocks(f.openMS+offsetMS))
		visit(table)
	}
	visit(table)
	apply(-minuteMS, Operation{Kind: OpPropose})
	apply(-minuteMS, Operation{Kind: OpSchedule, Approvals: []Approval{*f.approval(1)}, PlannedStartMS: f.openMS})
	apply(1000, Operation{Kind: OpAwaitPermit})
	apply(2000, Operation{Kind: OpBeginDrain})
	apply(3000, Operation{Kind: OpExtendExclusion, ExcludeUntilMS: f.openMS + 3000 + ExclusionTTLMS})
	apply(4000, Operation{Kind: OpCompleteDrain})
	apply(4000+minuteMS, Operation{Kind: OpBeginReturn, StageAfterReturn: StageDone})
	apply(5000+minuteMS, Operation{Kind: OpCompleteReturn})
}

// TestAllOperationsFromEachStage applies all pairs of operations at each stage of a window and checks the
// invariants.
func TestAllOperationsFromEachStage(t *testing.T) {
	fixture, first := newTableFixture()
	allTimestamps := fixture.timestamps()
	selected := []Timestamp{allTimestamps[2], allTimestamps[4], allTimestamps[7]} // hours open, close near, clock fault
	operations := 0
	var explore func(t *testing.T, from *Table, depth int)
	explore = func(t *testing.T, from *Table, depth int) {
		before, next := from.Snapshot(), cloneTable(from)
		timestamps := selected
		if depth == 2 {
			timestamps = allTimestamps
		}
		for _, timestamp := range timestamps {
			for _, op := range fixture.operations(from, timestamp) {
				_, rejection := next.Apply(before.ModRevision+100, &op, timestamp)
				operations++
				if err := checkTransition(next, before, &op, timestamp, rejection); err != nil {
					t.Fatalf("%v, at %+v", err, timestamp)
				}
				if rejection != nil {
					next.clockFault, next.modRevision = before.ClockFault, before.ModRevision // the rest is unchanged
					continue
				}
				if depth > 1 {
					explore(t, next, depth-1)
				}
				next = cloneTable(from)
			}
		}
	}
	fixture.walkStages(first, func(table *Table) { explore(t, cloneTable(table), 2) })
	t.Logf("%d operations", operations)
}

// TestRandomHistories applies random operations, checks the invariants, and checks that a restored snapshot of
// the table gives the same snapshot.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fixture, table := newTableFixture()
		timestamps := fixture.timestamps()
		for revision := uint64(2); revision < 60; revision++ {
			before := table.Snapshot()
			timestamp := rapid.SampledFrom(timestamps).Draw(rt, "time")
			operations := fixture.operations(table, timestamp)
			op := operations[rapid.IntRange(0, len(operations)-1).Draw(rt, "op")]
			if op.Token != 0 {
				op.Token = uint64(rapid.IntRange(4, 6).Draw(rt, "token"))
			}
			changes, rejection := table.Apply(revision, &op, timestamp)
			if err := checkTransition(table, before, &op, timestamp, rejection); err != nil {
				rt.Fatalf("%v, %+v at %+v", err, op, timestamp)
			}
			for _, directive := range changes.SetDirectives {
				if slices.Contains(changes.DeleteDirectiveIDs, directive.ID) {
					rt.Fatalf("%s is set and deleted", directive.ID)
				}
			}
		}
		data, err := json.Marshal(table.Snapshot())
		if err != nil {
			rt.Fatal(err)
		}
		var snapshot Snapshot
		if err := json.Unmarshal(data, &snapshot); err != nil {
			rt.Fatal(err)
		}
		if reencoded, _ := json.Marshal(Restore(&snapshot).Snapshot()); string(reencoded) != string(data) {
			rt.Fatalf("%s, then %s", data, reencoded)
		}
	})
}

func TestFinishedWindowsAreBounded(t *testing.T) {
	fixture, table := newTableFixture()
	for i := range 3 * MaxFinishedWindows {
		name := fmt.Sprint("w", i)
		timestamp := agreeingClocks(fixture.openMS + int64(i))
		proposal := Operation{Kind: OpPropose, Window: name, ServerUIDs: []string{"m0"}, WorkMS: minuteMS}
		mustApply(table, uint64(10+2*i), proposal, timestamp)
		mustApply(table, uint64(11+2*i), Operation{Kind: OpCancel, Window: name}, timestamp)
	}
	if count := len(table.Windows()); count != MaxFinishedWindows {
		t.Errorf("%d windows are retained", count)
	}
}

func TestPlannerNamesBlockingContract(t *testing.T) {
	now := time.Date(2026, 6, 10, 12, 0, 0, 0, time.UTC).UnixMilli()
	fleet := Fleet{"m0": {"portal", "teller"}, "m1": {"portal", "teller"}, "m2": {"portal"}, "m3": {"teller"}}
	table := New()
	for i, test := range []struct {
		tenant, start string
		length        time.Duration
	}{{"portal", "22:00", 2 * time.Hour}, {"teller", "23:20", 2 * time.Hour}} {
		terms, _ := dailyContract(test.tenant, "America/Montevideo", test.start, test.length)
		mustApply(table, uint64(i+1), Operation{Kind: OpSetContract, Contract: &terms}, Timestamp{})
	}
	planner := NewPlanner()
	for _, test := range []struct {
		name    string
		request Request
		want    string
	}{
		{"one tenant", Request{ServerUIDs: []string{"m2"}, WorkMS: 60 * minuteMS}, "2026-06-11T01:00:00Z"},
		{"hours in common", Request{ServerUIDs: []string{"m0"}, WorkMS: 20 * minuteMS}, "2026-06-11T02:20:00Z"},
		{"too long in common", Request{ServerUIDs: []string{"m0"}, WorkMS: 60 * minuteMS},
			"contract of teller forbids it; without it from 2026-06-11T01:00:00Z on; work of 24m0s fits at 2026-06-11T02:20:00Z"},
		{"too many servers", Request{ServerUIDs: []string{"m0", "m1"}, WorkMS: minuteMS},
			"contract of portal: 2 of its 3 servers are more than its least share of 0.5 lets go"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if plan, err := planner.Plan(table, fleet, test.request, now); err != nil {
				got = err.Error()
			} else {
				got = formatUTC(plan.StartMS)
			}
			if got != test.want {
				t.Errorf("%v: %s, want %s", test.request, got, test.want)
			}
		})
	}
}
