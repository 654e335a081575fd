package registry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

// The wall clock of the records, Unix ms: 2026-01-05 00:00 UTC, a Monday.
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

// fixtureLog is a log with records of every operation, and of the kinds of operations that the state hands to its
// tables. Each of them is applied.
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
		return add(name, registry.Record{Op: registry.OpWindow, ID: "write-" + name, Guard: guard, Window: &op, Stamp: stamp})
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
		Command: &release.Command{Action: release.CommandHalt, Operator: "operator/eva", Reason: "errors rise"}}})

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
	grant := maintenance.Approval{Tenant: "portal", ContractVersion: version, OpensAtMS: monday, ClosesAtMS: monday + 8*hourMS, ServerCount: 4,
		Months: []calendar.Month{{Name: "2026-01", Interval: calendar.Interval{StartMS: monday - 4*24*hourMS, EndMS: monday + 27*24*hourMS}}}}
	maintenanceOp("window-plan", windowGuard, 2000, maintenance.Operation{Kind: maintenance.OpSchedule, Window: "w", Approvals: []maintenance.Approval{grant}, PlannedStartMS: monday + 2500})
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

// snapshotBody is a snapshot without its first line and checksum: JSON.
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

// TestStoredRecords reads the stored bytes of a record of every kind, writes the same bytes again, and applies them: the
// outcome, the revision and the whole state after each record are those of the version that wrote them.
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

// TestStoredSnapshots reads stored snapshots and writes the same bytes again: the state of all records before a restore,
// and that of a version without the ledger.
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

// bodyRecorder is a response that a watcher reads: it has no deadlines and keeps all that was written.
type bodyRecorder struct {
	mu     sync.Mutex
	header http.Header
	body   bytes.Buffer
}

func newBodyRecorder() *bodyRecorder { return &bodyRecorder{header: http.Header{}} }

func (r *bodyRecorder) Header() http.Header              { return r.header }
func (r *bodyRecorder) WriteHeader(int)                  {}
func (r *bodyRecorder) SetWriteDeadline(time.Time) error { return nil }
func (r *bodyRecorder) Flush()                           {}

func (r *bodyRecorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.Write(data)
}

// take returns what was written since the last call.
func (r *bodyRecorder) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.body.Reset()
	return r.body.String()
}

// servedLog is a log of what watchers are served, by the clock of a synctest bubble.
func servedLog(nowMS int64) []logEntry {
	guard := &registry.Guard{Lease: "spread", Token: 5}
	records := []struct {
		name   string
		record registry.Record
	}{
		{"epoch", registry.Record{Op: registry.OpEpoch, Epoch: 4_503_599_627_370_495}},
		{"register", registry.Record{Op: registry.OpRegister, Instances: []registry.Instance{
			fixtureInstance("s1", "z1", 1, 9001), fixtureInstance("s2", "z2", 1, 9002)}}},
		{"state", registry.Record{Op: registry.OpSetState, State: registry.InstanceTerminating, Refs: []registry.InstanceRef{{UID: "s1"}}}},
		{"lease", registry.Record{Op: registry.OpLease, Lease: &leasetable.Operation{Kind: leasetable.Campaign, Name: "spread", Candidate: "one", TTLMS: 5000}}},
		{"placement", registry.Record{Op: registry.OpPlacement, Guard: guard, Placement: &placement.Op{LeaderTimeMS: nowMS, Set: []placement.Directive{
			{ID: "spread/0123456789abcdef", Kind: placement.KindSpreadKey, KeyHash: "0123456789abcdef", ExpiresAtMS: nowMS + 60_000, Copies: []placement.KeyCopy{{ServerUID: "s1", LoadFraction: 0.25}}},
			{ID: "spread/fedcba9876543210", Kind: placement.KindSpreadKey, KeyHash: "fedcba9876543210", ExpiresAtMS: nowMS + 90_000, Copies: []placement.KeyCopy{{ServerUID: "s2"}}},
		}}}},
		{"suspect", registry.Record{Op: registry.OpSuspect, Refs: []registry.InstanceRef{{UID: "s2"}}, Suspected: true}},
		{"register-batch", registry.Record{Op: registry.OpRegister, Instances: []registry.Instance{
			fixtureInstance("s3", "z1", 2, 9003), fixtureInstance("s4", "z2", 2, 9004)}}},
		{"placement-drop", registry.Record{Op: registry.OpPlacement, Guard: guard, Placement: &placement.Op{LeaderTimeMS: nowMS, Delete: []string{"spread/fedcba9876543210"}}}},
		{"deregister", registry.Record{Op: registry.OpDeregister, Refs: []registry.InstanceRef{{UID: "s1"}}}},
	}
	var log []logEntry
	for n, r := range records {
		log = append(log, logEntry{r.name, uint64(n) + 2, r.record})
	}
	return log
}

// TestServedBodies pins the bytes of the list, of the placement and of their watches as they are served.
func TestServedBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := registry.NewHub()
		feed := registry.NewPlacementFeed(func(after, epoch uint64) (list placement.Update) {
			hub.Read(func(state *registry.StateMachine) {
				list = state.Placement().ChangesSince(after, epoch, time.Now().Add(50*time.Millisecond).UnixMilli())
			})
			return list
		})
		ctx, cancel := context.WithCancel(t.Context())
		var watchers sync.WaitGroup
		defer watchers.Wait()
		defer cancel()
		watch := func(stream func(context.Context, http.ResponseWriter, *http.Request, uint64, uint64, func() bool) error, after, epoch uint64) *bodyRecorder {
			recorder := newBodyRecorder()
			request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
			watchers.Go(func() {
				if err := stream(ctx, recorder, request, after, epoch, func() bool { return true }); err != nil {
					t.Error(err)
				}
			})
			return recorder
		}
		list, entries := watch(hub.Watch, 0, 0), watch(feed.Watch, 0, 0)
		var out strings.Builder
		note := func(what string, recorder *bodyRecorder) { fmt.Fprintf(&out, "# %s\n%s", what, recorder.take()) }
		synctest.Wait()
		note("list watch, empty", list)
		note("placement watch, empty", entries)
		for _, entry := range servedLog(time.Now().UnixMilli()) {
			if _, err := hub.Apply(entry.index, &entry.record); err != nil {
				t.Fatal(err)
			}
			feed.Notify()
			time.Sleep(100 * time.Millisecond) // of the bubble's clock: watchers are woken together
			synctest.Wait()
			note("list watch after "+entry.name, list)
			note("placement watch after "+entry.name, entries)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		note("list watch, heartbeat", list)
		note("placement watch, heartbeat", entries)

		var epoch uint64
		hub.Read(func(state *registry.StateMachine) { epoch = state.Epoch() })
		for _, cursor := range []struct {
			name         string
			after, epoch uint64
		}{
			{"from nothing", 0, 0}, {"from revision 3", 3, epoch}, {"from a revision between changes", 5, epoch},
			{"from the newest revision", 10, epoch}, {"from another epoch", 3, 9}, {"without an epoch", 3, 0},
		} {
			late, lateEntries := watch(hub.Watch, cursor.after, cursor.epoch), watch(feed.Watch, cursor.after, cursor.epoch)
			synctest.Wait()
			note("list watch "+cursor.name, late)
			note("placement watch "+cursor.name, lateEntries)
		}
		for name, write := range map[string]func(http.ResponseWriter) error{"list.json": hub.WriteFullList, "placement.json": feed.WriteFullList} {
			recorder := newBodyRecorder()
			if err := write(recorder); err != nil {
				t.Fatal(err)
			}
			goldentest.Compare(t, name, []byte(recorder.take()))
		}
		goldentest.Compare(t, "watch.txt", []byte(out.String()))
	})
}

// exchange is a stand-in for a replica: it records requests, and answers each path with a fixed body.
type exchange struct {
	mu       sync.Mutex
	requests bytes.Buffer
	answers  map[string]string
}

// randomID is an id that the client draws for a write.
var randomID = regexp.MustCompile(`"id":"[A-Z2-7]{26}"`)

func (e *exchange) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body = randomID.ReplaceAll(body, []byte(`"id":"RANDOM"`))
	e.mu.Lock()
	fmt.Fprintf(&e.requests, "%s %s\n%s\n", request.Method, request.URL.RequestURI(), body)
	answer, ok := e.answers[request.Method+" "+request.URL.Path]
	e.mu.Unlock()
	if !ok {
		answer = "{}"
	}
	w.Header().Set(registry.AgeHeader, "120")
	io.WriteString(w, answer+"\n")
}

// startExchange starts a stand-in and a client of it.
func startExchange(t *testing.T, answers map[string]string) (*exchange, *registry.Client, string) {
	t.Helper()
	e := &exchange{answers: answers}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	client, err := registry.NewClient([]string{address})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return e, client, address
}

// The bodies that a replica answers with; each is read by the client and has the same fields when it is written again.
var servedAnswers = map[string]string{
	"POST /registry/instances":         `{"outcome":"done","rev":12}`,
	"POST /registry/state":             `{"outcome":"done","rev":13}`,
	"DELETE /registry/instances/s/1":   `{"outcome":"done","rev":14}`,
	"POST /registry/renew":             `{"renewed":1,"unknown":["s2"]}`,
	"POST /registry/suspects":          `{"outcome":"done","rev":0,"why":"nothing is held back"}`,
	"GET /registry/instances":          `{"rev":12,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:9001","az":"z1","model":"m1","pod_group":1,"state":"Ready","capacity_hint":1.5,"boot_ms":7}],"epoch":5}`,
	"GET /registry/instances/s/1":      `{"uid":"s1","endpoint":"127.0.0.1:9001","az":"z1","model":"m1","pod_group":1,"state":"Terminating","capacity_hint":1.5,"boot_ms":7,"version":"v1","ttl_ms":15000,"rev":12,"suspect":true}`,
	"GET /registry/members":            `[{"http":"127.0.0.1:8500","raft":"127.0.0.1:8501"}]`,
	"GET /registry/status":             `{"http":"127.0.0.1:8500","role":"Leader","leader":"127.0.0.1:8500","rev":12,"epoch":5,"instances":3,"suspects":1,"watchers":2,"age_ms":40,"applied":14,"fresh":true}`,
	"GET /registry/sidecars":           `[{"name":"c1","version":"v1","zone":"z1","tenant":"portal","ready":true,"ending":true,"boot_ms":7,"ttl_ms":10000,"rev":12,"suspect":true,"list_rev":11,"placement_rev":10}]`,
	"POST /registry/sidecars":          `{"outcome":"done","rev":15}`,
	"POST /duties/renew":               `{"lost":["spread"]}`,
	"POST /duties/release/r/seek":      `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"queue":["two"],"changes":1,"rev":16}`,
	"GET /duties/release/r":            `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"changes":1,"rev":16}`,
	"POST /ledger/ask":                 `{"outcome":"done","rev":17,"permit":{"id":"p1","owner":"operator/eva","purpose":"restart","units":["server/s2"],"rank":3,"end":"back","stage":"granted","asked_at":17,"got_at":17}}`,
	"GET /ledger/permits/p/1":          `{"id":"p/1","owner":"operator/eva","purpose":"restart","units":["server/s2"],"rank":3,"end":"back","stage":"granted","asked_at":17,"got_at":17}`,
	"GET /ledger":                      `{"rev":17,"counts":{"up":4},"rooms":[],"budgets":[],"permits":[],"halts":[],"units":[]}`,
	"POST /registry/placement":         `{"outcome":"done","rev":18}`,
	"GET /registry/placement":          `{"rev":18,"all":true,"epoch":5,"entries":[{"id":"cohort/r","kind":"cohort","servers":["s1"],"name":"r","until_ms":60000,"left_ms":500,"rev":18}]}`,
	"POST /releases/r":                 `{"outcome":"done","rev":19}`,
	"GET /releases":                    `[{"name":"r","run":19,"hash":"h","start_ms":1000,"head":{"phase":"forward","wave":1,"token":16,"commands":0},"units":null,"seq":1,"told":[{"what":"halt","by":"operator/eva"}]}]`,
	"GET /releases/r":                  `{"name":"r","run":19,"hash":"h","start_ms":1000,"head":{"phase":"forward","wave":1,"token":16,"commands":0},"units":null,"seq":1}`,
	"POST /windows":                    `{"outcome":"done","rev":20}`,
	"GET /windows":                     `{"rev":20,"table":{"rev":20},"permits":{"window/w/1":"out"},"out":{"s1":{"up":true,"rev":20,"endpoint":"127.0.0.1:9001"}},"fleet":{"portal":["s1"]},"sidecars":["c1"]}`,
	"DELETE /registry/members":         `[{"http":"127.0.0.1:8500","raft":"127.0.0.1:8501"}]`,
	"POST /registry/members":           `[{"http":"127.0.0.1:8500","raft":"127.0.0.1:8501"}]`,
	"POST /duties/release/r/handover":  `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"queue":["two"],"next":"two","asked":true,"changes":1,"rev":21}`,
	"POST /duties/release/r/takeaway":  `{"name":"release/r","holder":"one","token":16,"ttl_ms":15000,"asked":true,"revoked":true,"changes":1,"rev":22}`,
	"POST /duties/backup/checkpoint":   `{"name":"backup","holder":"one","token":16,"ttl_ms":15000,"changes":1,"rev":23,"checkpoint":"d2F2ZSAy","checkpoint_token":16,"falls":[{"who":"two","n":2,"token":9}]}`,
	"POST /releases/with%2Fslash":      `{"outcome":"done","rev":24}`,
	"POST /registry/snapshot":          `{"outcome":"done","rev":25}`,
	"DELETE /registry/instances/plain": `{"outcome":"conflict","rev":3,"why":"plain has revision 3"}`,
}

// TestClientRequests pins the requests of every call of the client, and that it keeps every field of the answers.
func TestClientRequests(t *testing.T) {
	e, client, address := startExchange(t, servedAnswers)
	ctx := t.Context()
	revision := uint64(11)
	guard := &registry.Guard{Lease: "release/r", Token: 16}
	write := registry.WriteOptions{ID: "w1", IfRevision: &revision, Guard: guard}
	var calls bytes.Buffer
	call := func(name string, value any, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		fmt.Fprintf(&calls, "# %s\n%s%s\n", name, e.requests.Bytes(), data)
		e.requests.Reset()
	}
	result, err := client.Register(ctx, write, fixtureInstance("s1", "z1", 1, 9001), fixtureInstance("s2", "z2", 1, 9002))
	call("register", result, err)
	renewal, err := client.RenewInstances(ctx, []string{"s1", "s2"})
	call("renew", renewal, err)
	result, err = client.SetState(ctx, write, "s1", registry.InstanceTerminating)
	call("set state", result, err)
	result, err = client.Deregister(ctx, write, "s/1")
	call("deregister", result, err)
	instance, err := client.Get(ctx, "s/1", true)
	call("get", instance, err)
	list, err := client.List(ctx, true)
	call("list", list, err)
	list, err = client.List(ctx, false)
	call("list of any replica", list, err)
	result, err = client.ResolveSuspects(ctx, true)
	call("suspects", result, err)
	members, err := client.Members(ctx)
	call("members", members, err)
	members, err = client.AddMember(ctx, registry.Member{HTTPAddr: "127.0.0.1:8600", RaftAddr: "127.0.0.1:8601"})
	call("add member", members, err)
	members, err = client.RemoveMember(ctx, "127.0.0.1:8600")
	call("remove member", members, err)
	status, err := client.ReplicaStatus(ctx, address)
	call("status", status, err)

	lease, err := client.UpdateLease(ctx, leasetable.Campaign, "release/r", registry.LeaseRequest{ID: "w2", Candidate: "one", TTLMS: 15_000})
	call("seek", lease, err)
	lease, err = client.UpdateLease(ctx, leasetable.Handover, "release/r", registry.LeaseRequest{ID: "w3", Successor: "two"})
	call("handover", lease, err)
	lease, err = client.UpdateLease(ctx, leasetable.Revoke, "release/r", registry.LeaseRequest{ID: "w4"})
	call("takeaway", lease, err)
	lease, err = client.UpdateLease(ctx, leasetable.Checkpoint, "backup", registry.LeaseRequest{ID: "w5", Candidate: "one", Token: 16, Data: []byte("wave 2")})
	call("checkpoint", lease, err)
	lease, err = client.Lease(ctx, "release/r")
	call("lease", lease, err)
	lost, err := client.RenewLeases(ctx, "one", []registry.LeaseRenewal{{Name: "spread", Token: 16}, {Name: "window"}})
	call("renew leases", lost, err)

	ledgerResult, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{ID: "w6", Guard: guard}, disruption.Op{Kind: disruption.OpRequest, Owner: "operator/eva",
		Permit: &disruption.Permit{ID: "p1", Owner: "operator/eva", Purpose: "restart", Units: []string{"server/s2"}, Priority: disruption.PriorityRollout, Disposition: disruption.DispositionReturn}})
	call("ledger", ledgerResult, err)
	view, err := client.LedgerView(ctx, true, true)
	call("ledger view", view, err)
	permit, err := client.Permit(ctx, "p/1")
	call("permit", permit, err)
	result, err = client.RegisterSidecars(ctx, registry.SidecarRequest{ID: "w7", TTLMS: 10_000, Deregistered: []string{"c2"}, Sidecars: []registry.Sidecar{
		{Name: "c1", Version: "v1", Zone: "z1", Tenant: "portal", Ready: true, Draining: true, BootMS: 7, TTLMS: 10_000, ListRevision: 11, PlacementRevision: 10}}})
	call("register sidecars", result, err)
	sidecars, err := client.Sidecars(ctx)
	call("sidecars", sidecars, err)

	result, err = client.SetPlacement(ctx, registry.WriteOptions{ID: "w8", Guard: guard}, monday,
		[]placement.Directive{{ID: "cohort/r", Kind: placement.KindCohort, Cohort: "r", Servers: []string{"s1"}, ExpiresAtMS: monday + 1000}}, "cohort/q")
	call("set placement", result, err)
	result, err = client.RemovePlacement(ctx, registry.WriteOptions{ID: "w9", Guard: guard}, "cohort/r")
	call("drop placement", result, err)
	entries, err := client.PlacementView(ctx, true)
	call("placement", entries, err)

	result, err = client.WriteRelease(ctx, registry.WriteOptions{ID: "w10", Guard: guard}, "r", release.Operation{Delta: &release.Delta{Sequence: 1, Status: &release.Status{Phase: release.PhaseRollout, Wave: 2}}})
	call("write release", result, err)
	found, err := client.Release(ctx, "r", true, true)
	call("release", found, err)
	releases, err := client.Releases(ctx)
	call("releases", releases, err)
	result, err = client.WriteWindow(ctx, registry.WriteOptions{ID: "w11", Guard: guard}, maintenance.Timestamp{ControllerMS: monday, UncertaintyMS: 100}, maintenance.Operation{Kind: maintenance.OpAwaitPermit, Window: "w"})
	call("write window", result, err)
	windows, err := client.Windows(ctx, true)
	call("windows", windows, err)

	stop := errors.New("one line is enough")
	err = client.WatchEndpoints(ctx, address, 11, 5, func(list *registry.EndpointList, age time.Duration) error {
		call(fmt.Sprintf("watch, %v old", age), list, nil)
		return stop
	})
	if !errors.Is(err, stop) {
		t.Errorf("watch: %v", err)
	}
	err = client.WatchPlacement(ctx, address, 18, 5, func(list *placement.Update, age time.Duration) error {
		call(fmt.Sprintf("watch of the placement, %v old", age), list, nil)
		return stop
	})
	if !errors.Is(err, stop) {
		t.Errorf("watch of the placement: %v", err)
	}
	goldentest.Compare(t, "client.txt", calls.Bytes())
}

// TestKeepAliveRequests pins the requests that register instances and renew their leases: an instance that the registry
// does not know any more is registered again.
func TestKeepAliveRequests(t *testing.T) {
	e, client, _ := startExchange(t, servedAnswers)
	keepAlive := registry.NewLeaseKeepAlive(client, fixtureInstance("s1", "z1", 1, 9001), fixtureInstance("s2", "z2", 1, 9002))
	for range 2 {
		if err := keepAlive.RenewOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	keepAlive.Remove("s2")
	if err := keepAlive.RenewOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "keepalive.txt", e.requests.Bytes())
}
