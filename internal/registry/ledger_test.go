package registry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

const operator = "operator/test"

// applyLedgerOp applies an operation, which must succeed. The default owner is an operator.
func (e *testEnv) applyLedgerOp(op disruption.Op) registry.LedgerResult {
	e.Helper()
	if op.Owner == "" {
		op.Owner = operator
	}
	result, err := e.client.ApplyLedgerOp(e.ctx, registry.WriteOptions{}, op)
	if err != nil {
		e.Fatalf("%s: %v", op.Kind, err)
	}
	return result
}

// ledgerView returns the newest view of the ledger.
func (e *testEnv) ledgerView(units bool) disruption.View {
	e.Helper()
	view, err := e.client.LedgerView(e.ctx, true, units)
	if err != nil {
		e.Fatal(err)
	}
	return view
}

// registerFleet registers servers that never expire, in three zones and pod groups of two. It sets a budget that bounds
// how many servers may be out of service.
func (e *testEnv) registerFleet(servers, maxUnavailable int) {
	e.Helper()
	for ordinal := range servers {
		server := newInstance(fmt.Sprint("s", ordinal), ordinal)
		server.BootMS, server.Zone, server.PodGroup = 0, fmt.Sprint(ordinal%3), ordinal/2
		e.register(server)
	}
	e.applyLedgerOp(disruption.Op{Kind: disruption.OpSetBudget, Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &maxUnavailable}}})
}

// requestPermit returns a request for a permit for servers that return to service.
func requestPermit(id string, servers ...string) disruption.Op {
	permit := &disruption.Permit{ID: id, Owner: operator, Disposition: disruption.DispositionReturn, Priority: disruption.PriorityDrain}
	for _, server := range servers {
		permit.Units = append(permit.Units, disruption.UnitID(disruption.KindServer, server))
	}
	return disruption.Op{Kind: disruption.OpRequest, Owner: operator, Permit: permit}
}

func permitOp(kind disruption.OpKind, id string) disruption.Op {
	return disruption.Op{Kind: kind, Owner: operator, Permit: &disruption.Permit{ID: id}}
}

// hasStatus reports whether an error is a response with the given HTTP status.
func hasStatus(err error, statusCode int) bool {
	var statusErr *registry.StatusError
	return errors.As(err, &statusErr) && statusErr.StatusCode == statusCode
}

func asJSON(t *testing.T, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// The leader is killed after it has granted a permit and before the client has read the response. The retry returns the
// same grant.
func TestLeaderKilledBetweenGrantAndResponse(t *testing.T) {
	env := startEnv(t, 3, false, "")
	env.registerFleet(8, 2)
	for round := range 3 {
		leader, id := env.awaitLeader(), fmt.Sprintf("drain/x/%d", round) // an ID may contain slashes
		request := registry.LedgerRequest{ID: registry.NewID(), Op: requestPermit(id, fmt.Sprint("s", round))}
		// The client never reads the response, as if it were lost.
		abandoned, abandon := context.WithCancel(env.ctx)
		httpRequest, err := http.NewRequestWithContext(abandoned, http.MethodPost, "http://"+leader.HTTPAddr+"/ledger/ask", strings.NewReader(asJSON(t, request)))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if response, err := http.DefaultClient.Do(httpRequest); err == nil {
				response.Body.Close()
			}
		}()
		var followers []*registry.Client
		for _, address := range env.httpAddrsExcept(leader) {
			followers = append(followers, env.newClientFor(address))
		}
		var granted disruption.Permit
		env.eventually("a follower has the grant", func() bool {
			for _, follower := range followers {
				view, err := follower.LedgerView(env.ctx, false, false)
				for _, permit := range view.Permits {
					if err == nil && permit.ID == id && permit.Stage == disruption.StageGranted {
						granted = permit
						return true
					}
				}
			}
			return false
		})
		leader.Process.Kill()
		abandon()
		result, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{ID: request.ID}, request.Op)
		if err != nil || result.Permit == nil || result.Permit.GrantRevision != granted.GrantRevision || result.Permit.Stage != disruption.StageGranted {
			t.Fatalf("the retry returns %+v: %v, want the grant %+v", result.Permit, err, granted)
		}
		again, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{}, request.Op) // the idempotency key is lost
		if err != nil || again.Permit.GrantRevision != granted.GrantRevision {
			t.Fatalf("requested again: %+v: %v", again.Permit, err)
		}
		if view := env.ledgerView(false); len(view.Permits) != 1 || len(view.Units) != 1 {
			t.Fatalf("units %+v are out under permits %+v", view.Units, view.Permits)
		}
		env.applyLedgerOp(permitOp(disruption.OpCancel, id))
		if err := leader.Start(); err != nil {
			t.Fatal(err)
		}
		env.eventually("the killed replica follows again", func() bool { return env.status(leader).Leader != "" })
	}
}

// All replicas are killed and started: the ledger is restored, from a snapshot and the log.
func TestLedgerSurvivesKillOfAllReplicas(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 20")
	env.registerFleet(8, 2)
	for round := range 15 { // enough records for a snapshot
		env.applyLedgerOp(requestPermit(fmt.Sprint("old", round), "s7"))
		env.applyLedgerOp(permitOp(disruption.OpCancel, fmt.Sprint("old", round)))
	}
	env.applyLedgerOp(requestPermit("out", "s0"))
	env.applyLedgerOp(permitOp(disruption.OpBegin, "out"))
	env.applyLedgerOp(requestPermit("granted", "s2"))
	env.applyLedgerOp(requestPermit("waits", "s4"))
	env.applyLedgerOp(disruption.Op{Kind: disruption.OpHalt, Halt: &disruption.Halt{Scope: "release/x", Reason: "test"}})
	before := asJSON(t, env.ledgerView(true))
	for _, replica := range env.cluster.Replicas {
		replica.Process.Kill()
	}
	for _, replica := range env.cluster.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	env.awaitLeader()
	if after := asJSON(t, env.ledgerView(true)); after != before {
		t.Fatalf("after the restart the ledger is\n%s\nwant\n%s", after, before)
	}
	env.applyLedgerOp(permitOp(disruption.OpCancel, "granted"))
	if permit, err := env.client.Permit(env.ctx, "waits"); err != nil || permit.Stage != disruption.StageGranted {
		t.Fatalf("the waiting permit is %+v: %v", permit, err)
	}
}

// A leader in the minority grants no permits, even before it detects that it was deposed.
func TestMinorityGrantsNoPermits(t *testing.T) {
	env := startEnv(t, 3, true, "")
	env.registerFleet(12, 1)
	isolated := env.awaitLeader()
	minority, majority := env.newClientFor(isolated.HTTPAddr), env.newClientFor(env.httpAddrsExcept(isolated)...)
	env.network.Partition(isolated.Index, 3, true)
	var wg sync.WaitGroup
	var granted atomic.Int64
	shortCtx, cancel := context.WithTimeout(env.ctx, 3*time.Second)
	defer cancel()
	for n := range 8 { // sent from the start of the partition, before the isolated leader steps down
		wg.Go(func() {
			request := requestPermit(fmt.Sprint("minority", n), fmt.Sprint("s", n))
			result, err := minority.ApplyLedgerOp(shortCtx, registry.WriteOptions{}, request)
			if err == nil && result.Permit.Stage == disruption.StageGranted {
				granted.Add(1)
			}
		})
	}
	result, err := majority.ApplyLedgerOp(env.ctx, registry.WriteOptions{}, requestPermit("real", "s10"))
	if err != nil || result.Permit.Stage != disruption.StageGranted {
		t.Fatalf("the majority grants %+v: %v", result.Permit, err)
	}
	wg.Wait()
	if granted.Load() > 0 {
		t.Errorf("%d grants by a replica in the minority", granted.Load())
	}
	env.network.Partition(isolated.Index, 3, false)
	env.eventually("the isolated replica has the grant of the majority", func() bool {
		view, err := minority.LedgerView(env.ctx, false, false)
		return err == nil && slices.ContainsFunc(view.Permits, func(permit disruption.Permit) bool {
			return permit.ID == "real" && permit.Stage == disruption.StageGranted
		})
	})
	for _, permit := range env.ledgerView(false).Permits {
		if permit.ID != "real" && permit.Stage != disruption.StageRequested {
			t.Errorf("%s has stage %s, and the budget allows only the permit of the majority", permit.ID, permit.Stage)
		}
	}
}

// A backup that predates a grant is restored. The owner of the lost permit must not continue, no permit is granted until
// an operator resumes the ledger, and a unit that is out of service counts as out with or without a permit.
func TestRestoreFromBackupBeforeGrants(t *testing.T) {
	env := startEnv(t, 3, false, "")
	env.registerFleet(8, 1)
	leased := newInstance("leased", 100)
	leased.BootMS, leased.Zone, leased.PodGroup, leased.TTLMS = 0, "1", 3, 1000
	env.register(leased)
	backup, err := env.client.SaveSnapshot(env.ctx)
	if err != nil {
		t.Fatal(err)
	}
	env.applyLedgerOp(requestPermit("lost", "leased"))
	env.applyLedgerOp(requestPermit("unbegun", "s1"))
	env.applyLedgerOp(permitOp(disruption.OpBegin, "lost"))
	if _, err := env.client.Deregister(env.ctx, registry.WriteOptions{}, "leased"); err != nil { // the server was stopped
		t.Fatal(err)
	}
	if _, err := env.client.RestoreSnapshot(env.ctx, backup); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"lost", "unbegun"} {
		if _, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{}, permitOp(disruption.OpBegin, id)); !hasStatus(err, http.StatusNotFound) {
			t.Errorf("begin of %s: %v", id, err)
		}
	}
	if result := env.applyLedgerOp(requestPermit("new", "s2")); result.Permit.Stage != disruption.StageRequested || !strings.Contains(result.Permit.WaitReason, "backup") {
		t.Errorf("after the restore: %+v", result.Permit)
	}
	env.eventually("the unit is lost", func() bool { return env.ledgerView(false).Counts[disruption.ConditionLost] == 1 })
	env.applyLedgerOp(disruption.Op{Kind: disruption.OpResume, Halt: &disruption.Halt{}})
	if permit, err := env.client.Permit(env.ctx, "new"); err != nil || permit.Stage != disruption.StageRequested || !strings.Contains(permit.WaitReason, "budget/all") {
		t.Errorf("with one unit out already: %+v: %v", permit, err)
	}
	env.applyLedgerOp(disruption.Op{Kind: disruption.OpRemoveLost, Units: []string{"server/leased"}})
	if permit, err := env.client.Permit(env.ctx, "new"); err != nil || permit.Stage != disruption.StageGranted {
		t.Errorf("with none out: %+v: %v", permit, err)
	}
}

// Only the holder of the owner's lease may operate on a permit; a revoked token is not valid.
func TestLedgerRequiresOwnersToken(t *testing.T) {
	env := startEnv(t, 1, false, "")
	env.registerFleet(8, 3)
	const lease = "release/one"
	op := requestPermit("p", "s0")
	op.Owner, op.Permit.Owner = lease, lease
	if _, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{}, op); !hasStatus(err, http.StatusConflict) {
		t.Errorf("without a token: %v", err)
	}
	first, err := env.client.UpdateLease(env.ctx, leasetable.Campaign, lease, registry.LeaseRequest{Candidate: "a", TTLMS: 60_000})
	if err != nil {
		t.Fatal(err)
	}
	guard := &registry.Guard{Lease: lease, Token: first.Token}
	if _, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{Guard: guard}, op); err != nil {
		t.Fatal(err)
	}
	if _, err := env.client.UpdateLease(env.ctx, leasetable.Revoke, lease, registry.LeaseRequest{}); err != nil {
		t.Fatal(err)
	}
	begin := disruption.Op{Kind: disruption.OpBegin, Owner: lease, Permit: &disruption.Permit{ID: "p"}}
	if _, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{Guard: guard}, begin); !hasStatus(err, http.StatusConflict) {
		t.Errorf("under a revoked token: %v", err)
	}
	if permit, err := env.client.Permit(env.ctx, "p"); err != nil || permit.Stage != disruption.StageGranted {
		t.Errorf("its permit is %+v: %v", permit, err)
	}
}
