package registry_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"testing"

	"milldeck/internal/disruption"
	"milldeck/internal/goldentest"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
)

// logEntry is one record at its index in the log.
type logEntry struct {
	name   string
	index  uint64
	record registry.Record
}

// The wall clock of the records, in Unix ms: 2026-01-05 00:00 UTC, a Monday.
const (
	monday = 1_767_571_200_000
	hourMS = 3_600_000
)

func fixtureInstance(uid, zone string, pod, port int) registry.Instance {
	return registry.Instance{
		Target: registry.Target{
			UID: uid, Endpoint: fmt.Sprintf("127.0.0.1:%d", port), Zone: zone, Model: "m1", PodGroup: pod, State: registry.InstanceReady,
			Capacity: 1.5, BootMS: monday - hourMS,
		},
		Version: "v1", TTLMS: 15_000,
	}
}

// fixtureLog returns a log with records of every operation, and of every kind of operation that the state machine
// passes to its tables. None of the records is rejected.
func fixtureLog(t *testing.T) []logEntry {
	t.Helper()
	var log []logEntry
	add := func(name string, record registry.Record) uint64 {
		index := uint64(len(log)) + 2 // raft's own first entry has index 1
		log = append(log, logEntry{fmt.Sprintf("%02d-%s", index, name), index, record})
		return index
	}
	lease := func(name string, op leasetable.Operation) uint64 {
		return add(name, registry.Record{Op: registry.OpLease, Lease: &op})
	}
	ledger := func(name string, guard *registry.Guard, op disruption.Op) {
		add(name, registry.Record{Op: registry.OpLedger, ID: "write-" + name, Guard: guard, Ledger: &op})
	}
	maintenanceOp := func(name string, guard *registry.Guard, offsetMS int64, op maintenance.Operation) uint64 {
		stamp := &maintenance.Timestamp{ControllerMS: monday + offsetMS, UncertaintyMS: 100, LeaderMS: monday + offsetMS + 20, LeaderUncertaintyMS: 250}
		return add(name, registry.Record{Op: registry.OpWindow, ID: "write-" + name, Guard: guard, Window: &op, Timestamp: stamp})
	}

	add("epoch", registry.Record{Op: registry.OpEpoch, Epoch: 4_503_599_627_370_495})

	// Instances.
	add("register", registry.Record{Op: registry.OpRegister, ID: "write-register", Instances: []registry.Instance{
		fixtureInstance("s1", "z1", 1, 9001), fixtureInstance("s2", "z2", 1, 9002),
		fixtureInstance("s3", "z1", 2, 9003), fixtureInstance("s4", "z2", 2, 9004), fixtureInstance("s5", "z1", 2, 9005),
	}})
	restarted := fixtureInstance("s5", "z1", 2, 9005)
	restarted.BootMS, restarted.Version = monday, "v2"
	revision := uint64(3)
	compared := add("register-compare", registry.Record{Op: registry.OpRegister, IfRevision: &revision, Instances: []registry.Instance{restarted}})
	add("state", registry.Record{Op: registry.OpSetState, ID: "write-state", State: registry.InstanceTerminating,
		Refs: []registry.InstanceRef{{UID: "s5", Revision: compared}}})
	add("suspect", registry.Record{Op: registry.OpSuspect, Refs: []registry.InstanceRef{{UID: "s4", Revision: 3}}, Suspected: true})
	add("suspect-cleared", registry.Record{Op: registry.OpSuspect, Refs: []registry.InstanceRef{{UID: "s4"}}})
	add("deregister", registry.Record{Op: registry.OpDeregister, ID: "write-deregister", Refs: []registry.InstanceRef{{UID: "s5"}}})
	again := add("register-again", registry.Record{Op: registry.OpRegister, Instances: []registry.Instance{restarted}})
	add("expire", registry.Record{Op: registry.OpExpire, Refs: []registry.InstanceRef{{UID: "s5", Revision: again}}})
	add("follow", registry.Record{Op: registry.OpMirror, Instances: []registry.Instance{fixtureInstance("s6", "z1", 2, 9006)},
		Refs: []registry.InstanceRef{{UID: "s7"}}})

	// Leader election.
	first := lease("lease-seek", leasetable.Operation{Kind: leasetable.Campaign, Name: "release/r", Candidate: "one", TTLMS: 15_000})
	lease("lease-queue", leasetable.Operation{Kind: leasetable.Campaign, Name: "release/r", Candidate: "two", TTLMS: 15_000})
	lease("lease-queue-third", leasetable.Operation{Kind: leasetable.Campaign, Name: "release/r", Candidate: "three", TTLMS: 15_000})
	lease("lease-checkpoint", leasetable.Operation{Kind: leasetable.Checkpoint, Name: "release/r", Candidate: "one", Token: first, Data: []byte("wave 2")})
	lease("lease-handover", leasetable.Operation{Kind: leasetable.Handover, Name: "release/r", Successor: "three"})
	third := lease("lease-release", leasetable.Operation{Kind: leasetable.Release, Name: "release/r", Candidate: "one", Token: first})
	second := lease("lease-lapse", leasetable.Operation{Kind: leasetable.Expire, Name: "release/r", Candidate: "three", Token: third, ShortTenure: true})
	spreadGuard := &registry.Guard{Lease: "spread", Token: lease("lease-seek-spread", leasetable.Operation{Kind: leasetable.Campaign, Name: "spread", Candidate: "one", TTLMS: 5000})}
	windowGuard := &registry.Guard{Lease: maintenance.LeaseName, Token: lease("lease-seek-window", leasetable.Operation{Kind: leasetable.Campaign, Name: maintenance.LeaseName, Candidate: "one", TTLMS: 5000})}
	releaseGuard := &registry.Guard{Lease: "release/r", Token: second}
	lease("lease-seek-backup", leasetable.Operation{Kind: leasetable.Campaign, Name: "backup", Candidate: "one", TTLMS: 5000})
	lease("lease-takeaway", leasetable.Operation{Kind: leasetable.Revoke, Name: "backup"})

	// The placement.
	add("placement-spread", registry.Record{Op: registry.OpPlacement, ID: "write-placement", Guard: spreadGuard, Placement: &placement.Op{
		LeaderTimeMS: monday, WriterTimeMS: monday + 40, Set: []placement.Directive{
			{ID: "spread/0123456789abcdef", Kind: placement.KindSpreadKey, KeyHash: "0123456789abcdef", ExpiresAtMS: monday + 60_000,
				Copies: []placement.KeyCopy{{ServerUID: "s1", LoadFraction: 0.25}, {ServerUID: "s2"}}},
			{ID: "spread/fedcba9876543210", Kind: placement.KindSpreadKey, KeyHash: "fedcba9876543210", ExpiresAtMS: monday + 50_000,
				Copies: []placement.KeyCopy{{ServerUID: "s3", LoadFraction: 0.5}}},
		}}})
	cohort := add("placement-cohort", registry.Record{Op: registry.OpPlacement, Guard: releaseGuard, Placement: &placement.Op{
		LeaderTimeMS: monday, Set: []placement.Directive{{ID: "cohort/r", Kind: placement.KindCohort, Cohort: "r", Servers: []string{"s1"}, ExpiresAtMS: monday + 30_000}}}})
	add("placement-drop", registry.Record{Op: registry.OpPlacement, Guard: spreadGuard, Placement: &placement.Op{
		LeaderTimeMS: monday + 10, Delete: []string{"spread/fedcba9876543210", "spread/none"}}})
	add("placement-ended", registry.Record{Op: registry.OpPlacement, Placement: &placement.Op{
		LeaderTimeMS: monday + 40_000, Expired: []placement.DirectiveRef{{ID: "cohort/r", Revision: cohort}}}})

	// Releases.
	add("release-start", registry.Record{Op: registry.OpRelease, ID: "write-release", Release: &release.Operation{Start: newReleaseState(t, "r", "2")}})
	add("release-step", registry.Record{Op: registry.OpRelease, Guard: releaseGuard, Release: &release.Operation{Name: "r",
		Delta: &release.Delta{Status: &release.Status{Phase: release.PhaseRollout, Wave: 1, Token: second}}}})
	add("release-command", registry.Record{Op: registry.OpRelease, Release: &release.Operation{Name: "r",
		Command: &release.Command{Action: release.ActionHalt, Operator: "operator/eva", Reason: "errors rise"}}})

	// The disruption ledger, with sidecars.
	two, half := 2, 0.5
	ledger("ledger-budget", nil, disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/eva", Budget: &disruption.Budget{
		Name: "all", Selector: disruption.Selector{Kind: disruption.KindServer}, MaxUnavailable: disruption.Limit{Count: &two, Fraction: &half},
		MaxWarmingUp: disruption.Limit{Fraction: &half}}})
	sidecars := add("sidecars", registry.Record{Op: registry.OpSidecars, ID: "write-sidecars", Sidecars: []registry.Sidecar{
		{Name: "c1", Version: "v1", Zone: "z1", Tenant: "portal", Ready: true, BootMS: monday, TTLMS: 10_000},
		{Name: "c2", Zone: "z2", Ready: true, Draining: true, TTLMS: 10_000},
		{Name: "c3", Ready: true, TTLMS: 10_000}, {Name: "c4", TTLMS: 10_000},
	}})
	add("sidecars-left", registry.Record{Op: registry.OpSidecars, Refs: []registry.InstanceRef{{UID: "c2"}}, State: "left"})
	add("sidecars-lost", registry.Record{Op: registry.OpSidecars, Refs: []registry.InstanceRef{{UID: "c4", Revision: sidecars}}, State: "lost"})
	add("sidecars-held", registry.Record{Op: registry.OpSidecars, Refs: []registry.InstanceRef{{UID: "c3", Revision: sidecars}}, State: "held"})
	add("sidecars-again", registry.Record{Op: registry.OpSidecars, Sidecars: []registry.Sidecar{{Name: "c3", Ready: true, TTLMS: 10_000}}})
	permit := func(id string) *disruption.Permit { return &disruption.Permit{ID: id} }
	ledger("ledger-forget", nil, disruption.Op{Kind: disruption.OpRemoveLost, Owner: "operator/eva", Units: []string{"sidecar/c4"}})
	ledger("ledger-see", nil, disruption.Op{Kind: disruption.OpObserve, Observed: []disruption.Unit{
		{ID: "server/s1", Condition: disruption.ConditionUp}, {ID: "server/s6", Condition: disruption.ConditionUnready}}})
	ledger("ledger-ask", releaseGuard, disruption.Op{Kind: disruption.OpRequest, Owner: "release/r", Permit: &disruption.Permit{ID: "p1", Owner: "release/r",
		Purpose: "restart", Units: []string{"server/s2"}, Priority: disruption.PriorityRollout, Disposition: disruption.DispositionReturn}})
	ledger("ledger-ask-waits", nil, disruption.Op{Kind: disruption.OpRequest, Owner: "operator/eva", Permit: &disruption.Permit{ID: "p2", Owner: "operator/eva",
		Units: []string{"server/s3"}, Priority: disruption.PriorityDrain, Disposition: disruption.DispositionRetire}})
	ledger("ledger-begin", releaseGuard, disruption.Op{Kind: disruption.OpBegin, Owner: "release/r", Permit: permit("p1")})
	ledger("ledger-return", releaseGuard, disruption.Op{Kind: disruption.OpReturn, Owner: "release/r", Permit: permit("p1")})
	restartedS2 := fixtureInstance("s2", "z2", 1, 9002)
	restartedS2.BootMS = monday + 1
	add("register-in-ledger", registry.Record{Op: registry.OpRegister, Instances: []registry.Instance{restartedS2}})
	ledger("ledger-see-back", nil, disruption.Op{Kind: disruption.OpObserve, Observed: []disruption.Unit{
		{ID: "server/s2", Condition: disruption.ConditionUp}, {ID: "server/s6", Condition: disruption.ConditionUp}}})
	ledger("ledger-settle", releaseGuard, disruption.Op{Kind: disruption.OpComplete, Owner: "release/r", Permit: permit("p1"), Units: []string{"server/s2"}})
	ledger("ledger-cancel", nil, disruption.Op{Kind: disruption.OpCancel, Owner: "operator/eva", Permit: permit("p2")})
	ledger("ledger-halt", nil, disruption.Op{Kind: disruption.OpHalt, Owner: "operator/eva",
		Halt: &disruption.Halt{Scope: "release/r", IssuedBy: "operator/eva", Reason: "errors rise"}})
	ledger("ledger-ask-halted", releaseGuard, disruption.Op{Kind: disruption.OpRequest, Owner: "release/r", Permit: &disruption.Permit{ID: "p3", Owner: "release/r",
		Units: []string{"server/s1"}, Priority: disruption.PriorityRollout, Disposition: disruption.DispositionReplace}})
	ledger("ledger-release", nil, disruption.Op{Kind: disruption.OpForceComplete, Owner: "operator/eva", Permit: permit("p3")})
	ledger("ledger-resume", nil, disruption.Op{Kind: disruption.OpResume, Owner: "operator/eva", Halt: &disruption.Halt{Scope: "release/r"}})

	// Maintenance windows.
	version := maintenanceOp("window-contract", nil, 0, maintenance.Operation{Kind: maintenance.OpSetContract, Contract: &contract.Contract{
		Tenant: "portal", Notice: "0s", MinutesPerMonth: 10_000, MinAvailableShare: 0.5, MaxConcurrentWindows: 1, OverrunPolicy: contract.OverrunHaltsTenant,
		Spec: calendar.Spec{Zone: "UTC", ApprovedHours: []calendar.Rule{{Recurrence: "FREQ=DAILY", Start: "00:00", Length: "8h", FirstDay: "2026-01-01"}}}}})
	maintenanceOp("window-propose", nil, 1000, maintenance.Operation{Kind: maintenance.OpPropose, Window: "w", Operator: "ops", ServerUIDs: []string{"s1"}, WorkMS: 60_000})
	approval := maintenance.Approval{Tenant: "portal", ContractVersion: version, OpensAtMS: monday, ClosesAtMS: monday + 8*hourMS, ServerCount: 4,
		Months: []calendar.Month{{Name: "2026-01", Interval: calendar.Interval{StartMS: monday - 4*24*hourMS, EndMS: monday + 27*24*hourMS}}}}
	maintenanceOp("window-plan", windowGuard, 2000, maintenance.Operation{Kind: maintenance.OpSchedule, Window: "w", Approvals: []maintenance.Approval{approval}, PlannedStartMS: monday + 2500})
	maintenanceOp("window-wait", windowGuard, 3000, maintenance.Operation{Kind: maintenance.OpAwaitPermit, Window: "w"})
	ledger("window-ask", windowGuard, disruption.Op{Kind: disruption.OpRequest, Owner: maintenance.LeaseName, Permit: &disruption.Permit{ID: "window/w/1", Owner: maintenance.LeaseName,
		Units: []string{"server/s1"}, Priority: disruption.PriorityDrain, Disposition: disruption.DispositionReturn}})
	maintenanceOp("window-drain", windowGuard, 4000, maintenance.Operation{Kind: maintenance.OpBeginDrain, Window: "w"})
	ledger("window-begin", windowGuard, disruption.Op{Kind: disruption.OpBegin, Owner: maintenance.LeaseName, Permit: permit("window/w/1")})
	maintenanceOp("window-tell", windowGuard, 5000, maintenance.Operation{Kind: maintenance.OpExtendExclusion, Window: "w", ExcludeUntilMS: monday + 30_000})
	maintenanceOp("window-free", windowGuard, 6000, maintenance.Operation{Kind: maintenance.OpCompleteDrain, Window: "w"})
	maintenanceOp("window-finish", nil, 7000, maintenance.Operation{Kind: maintenance.OpFinishWork, Window: "w"})
	maintenanceOp("window-back", windowGuard, 60_000, maintenance.Operation{Kind: maintenance.OpCompleteReturn, Window: "w"})
	maintenanceOp("window-halt", nil, 61_000, maintenance.Operation{Kind: maintenance.OpHalt, Scope: "tenant/portal", Reason: "incident"})
	maintenanceOp("window-resume", nil, 62_000, maintenance.Operation{Kind: maintenance.OpResume, Scope: "tenant/portal"})
	maintenanceOp("window-propose-second", nil, 63_000, maintenance.Operation{Kind: maintenance.OpPropose, Window: "v", Operator: "ops", ServerUIDs: []string{"s2"}, WorkMS: 60_000, NotBeforeMS: monday + hourMS})
	maintenanceOp("window-refuse", windowGuard, 64_000, maintenance.Operation{Kind: maintenance.OpReject, Window: "v", Reason: "no hours"})
	maintenanceOp("window-propose-third", nil, 65_000, maintenance.Operation{Kind: maintenance.OpPropose, Window: "u", Operator: "ops", ServerUIDs: []string{"s2"}, WorkMS: 60_000})
	maintenanceOp("window-cancel", nil, 66_000, maintenance.Operation{Kind: maintenance.OpCancel, Window: "u", Reason: "not needed"})
	maintenanceOp("window-forget", nil, 67_000, maintenance.Operation{Kind: maintenance.OpResetEstimates})
	maintenanceOp("window-withdraw", nil, 68_000, maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: "portal"})

	add("epoch-restored", registry.Record{Op: registry.OpEpoch, Epoch: 7})
	return log
}

// snapshotBody returns the JSON of a snapshot, without the first line and the checksum.
func snapshotBody(t *testing.T, state *registry.StateMachine) []byte {
	t.Helper()
	var buffer bytes.Buffer
	if err := state.WriteSnapshot(&buffer); err != nil {
		t.Fatal(err)
	}
	_, rest, found := bytes.Cut(buffer.Bytes(), []byte("\n"))
	if !found || len(rest) < 8 {
		t.Fatalf("no snapshot: %q", buffer.Bytes())
	}
	return rest[8:]
}

// TestStoredRecords reads the stored bytes of a record of every kind, writes the same bytes again, and applies them.
// The outcome, the revision and the complete state after each record must be those of the version that wrote the bytes.
func TestStoredRecords(t *testing.T) {
	state := registry.NewStateMachine()
	operations := map[registry.Op]bool{}
	var states bytes.Buffer
	for _, entry := range fixtureLog(t) {
		stored, err := entry.record.Encode()
		if err != nil {
			t.Fatalf("%s: %v", entry.name, err)
		}
		goldentest.Compare(t, filepath.Join("records", entry.name+".record"), stored)
		stored = goldentest.Read(t, filepath.Join("records", entry.name+".record"))
		decoded, err := registry.DecodeRecord(stored)
		if err != nil {
			t.Fatalf("%s: %v", entry.name, err)
		}
		if again, err := decoded.Encode(); err != nil || !bytes.Equal(again, stored) {
			t.Errorf("%s: read and written again it is\n%q\nnot\n%q: %v", entry.name, again, stored, err)
		}
		result := state.Apply(entry.index, decoded)
		if result.Outcome != registry.OutcomeDone {
			t.Errorf("%s is not applied: %+v", entry.name, result)
		}
		operations[decoded.Op] = true
		fmt.Fprintf(&states, "# %s: %s at revision %d\n%s\n", entry.name, result.Outcome, result.Revision, snapshotBody(t, state))
	}
	for _, op := range []registry.Op{
		registry.OpRegister, registry.OpSetState, registry.OpDeregister, registry.OpExpire, registry.OpSuspect, registry.OpEpoch, registry.OpLease,
		registry.OpPlacement, registry.OpRelease, registry.OpWindow, registry.OpLedger, registry.OpSidecars, registry.OpMirror,
	} {
		if !operations[op] {
			t.Errorf("no record of operation %q", op)
		}
	}
	goldentest.Compare(t, "states.txt", states.Bytes())
}

// TestStoredSnapshots reads stored snapshots and writes the same bytes again: the state of all records before the
// restore, and the state of a version without the ledger.
func TestStoredSnapshots(t *testing.T) {
	snapshots := map[string]func(logEntry) bool{
		"snapshot.bin": func(e logEntry) bool {
			return e.record.Op != registry.OpWindow || e.record.Window.Kind != maintenance.OpWithdrawContract
		},
		"snapshot-no-ledger.bin": func(e logEntry) bool {
			return e.record.Op != registry.OpLedger && e.record.Op != registry.OpSidecars && e.record.Op != registry.OpWindow
		},
	}
	for name, included := range snapshots {
		t.Run(name, func(t *testing.T) {
			state := registry.NewStateMachine()
			for _, entry := range fixtureLog(t) {
				if included(entry) {
					state.Apply(entry.index, &entry.record)
				}
			}
			var written bytes.Buffer
			if err := state.WriteSnapshot(&written); err != nil {
				t.Fatal(err)
			}
			goldentest.Compare(t, name, written.Bytes())
			stored := goldentest.Read(t, name)
			restored, err := registry.ReadSnapshot(bytes.NewReader(stored))
			if err != nil {
				t.Fatal(err)
			}
			var again bytes.Buffer
			if err := restored.WriteSnapshot(&again); err != nil || !bytes.Equal(again.Bytes(), stored) {
				t.Errorf("read and written again it is\n%q\nnot\n%q: %v", again.Bytes(), stored, err)
			}
			if restored.Revision() != state.Revision() || restored.Epoch() != state.Epoch() || restored.Len() != state.Len() {
				t.Errorf("restored: revision %d, epoch %d, %d instances; was %d, %d, %d", restored.Revision(), restored.Epoch(), restored.Len(), state.Revision(), state.Epoch(), state.Len())
			}
		})
	}
}
