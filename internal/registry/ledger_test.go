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
	"milldeck/internal/lab/proc"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

const operator = "operator/test"

// applyLedgerOp makes an operation that has to succeed.
func (b *testEnv) applyLedgerOp(op disruption.Op) registry.LedgerResult {
	b.Helper()
	if op.Owner == "" {
		op.Owner = operator
	}
	result, err := b.client.ApplyLedgerOp(b.ctx, registry.WriteOptions{}, op)
	if err != nil {
		b.Fatalf("%s: %v", op.Kind, err)
	}
	return result
}

func (b *testEnv) ledgerView(units bool) disruption.View {
	b.Helper()
	view, err := b.client.LedgerView(b.ctx, true, units)
	if err != nil {
		b.Fatal(err)
	}
	return view
}

// registerFleet registers servers without leases in three zones, two to a pod group, with a budget of how many may be out.
func (b *testEnv) registerFleet(servers, maxOut int) {
	b.Helper()
	for ordinal := range servers {
		server := newInstance(fmt.Sprint("s", ordinal), ordinal)
		server.BootMS, server.Zone, server.PodGroup = 0, fmt.Sprint(ordinal%3), ordinal/2
		b.register(server)
	}
	b.applyLedgerOp(disruption.Op{Kind: disruption.OpSetBudget, Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &maxOut}}})
}

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

// Case 3: the leader is killed between a grant and its answer. The repeat finds the one grant.
func TestLeaderKilledBetweenGrantAndResponse(t *testing.T) {
	env := startEnv(t, 3, false, "")
	env.registerFleet(8, 2)
	for round := range 3 {
		leader, id := env.leader(), fmt.Sprintf("drain/x/%d", round) // a name with slashes is one name
		request := registry.LedgerRequest{ID: registry.NewID(), Op: requestPermit(id, fmt.Sprint("s", round))}
		// The answer is never read: to whoever asked, it is lost.
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
		var granted disruption.Permit
		env.eventually("a follower has the grant", func() bool {
			for _, replica := range env.cluster.Replicas {
				if client, err := registry.NewClient([]string{replica.HTTPAddr}); err == nil && replica != leader {
					view, err := client.LedgerView(env.ctx, false, false)
					client.Close()
					for _, permit := range view.Permits {
						if err == nil && permit.ID == id && permit.Stage == disruption.StageGranted {
							granted = permit
							return true
						}
					}
				}
			}
			return false
		})
		leader.Process.Kill()
		abandon()
		result, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{ID: request.ID}, request.Op)
		if err != nil || result.Permit == nil || result.Permit.GrantRevision != granted.GrantRevision || result.Permit.Stage != disruption.StageGranted {
			t.Fatalf("the repeat gives %+v: %v, not the grant %+v", result.Permit, err, granted)
		}
		again, err := env.client.ApplyLedgerOp(env.ctx, registry.WriteOptions{}, request.Op) // as who has lost the id of the write as well
		if err != nil || again.Permit.GrantRevision != granted.GrantRevision {
			t.Fatalf("asked anew: %+v: %v", again.Permit, err)
		}
		if view := env.ledgerView(false); len(view.Permits) != 1 || len(view.Units) != 1 {
			t.Fatalf("out are %+v under %+v", view.Units, view.Permits)
		}
		env.applyLedgerOp(permitOp(disruption.OpCancel, id))
		if err := leader.Start(); err != nil {
			t.Fatal(err)
		}
		env.eventually("the killed replica follows again", func() bool { return env.status(leader).Leader != "" })
	}
}

// Case 3: all replicas are killed and started; the ledger is as before, from the log and from a snapshot.
func TestLedgerSurvivesKillOfAllReplicas(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 20")
	env.registerFleet(8, 2)
	for round := range 15 { // past a snapshot
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
	env.leader()
	if after := asJSON(t, env.ledgerView(true)); after != before {
		t.Fatalf("the ledger is\n%s\nand was\n%s", after, before)
	}
	env.applyLedgerOp(permitOp(disruption.OpCancel, "granted"))
	if permit, err := env.client.Permit(env.ctx, "waits"); err != nil || permit.Stage != disruption.StageGranted {
		t.Fatalf("who waited is %+v: %v", permit, err)
	}
}

// Case 3: a leader that is cut off and goes on believing in itself grants nothing.
func TestMinorityGrantsNoPermits(t *testing.T) {
	env := startEnv(t, 3, true, "")
	env.registerFleet(12, 1)
	cut := env.leader()
	var majorityAddrs []string
	for _, replica := range env.cluster.Replicas {
		if replica != cut {
			majorityAddrs = append(majorityAddrs, replica.HTTPAddr)
		}
	}
	minority, err := registry.NewClient([]string{cut.HTTPAddr})
	if err != nil {
		t.Fatal(err)
	}
	defer minority.Close()
	majority, err := registry.NewClient(majorityAddrs)
	if err != nil {
		t.Fatal(err)
	}
	defer majority.Close()
	env.network.Partition(cut.Index, 3, true)
	var wg sync.WaitGroup
	var granted atomic.Int64
	short, cancel := context.WithTimeout(env.ctx, 3*time.Second)
	defer cancel()
	for n := range 8 { // from the first moment of the cut, while it still believes
		wg.Go(func() {
			if result, err := minority.ApplyLedgerOp(short, registry.WriteOptions{}, requestPermit(fmt.Sprint("believed", n), fmt.Sprint("s", n))); err == nil && result.Permit.Stage == disruption.StageGranted {
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
		t.Errorf("%d grants by a replica that is cut off", granted.Load())
	}
	env.network.Partition(cut.Index, 3, false)
	env.eventually("the cut replica has what the others granted", func() bool {
		view, err := minority.LedgerView(env.ctx, false, false)
		return err == nil && slices.ContainsFunc(view.Permits, func(permit disruption.Permit) bool {
			return permit.ID == "real" && permit.Stage == disruption.StageGranted
		})
	})
	for _, permit := range env.ledgerView(false).Permits {
		if permit.ID != "real" && permit.Stage != disruption.StageRequested {
			t.Errorf("%s is %s beside the one that the budget allows", permit.ID, permit.Stage)
		}
	}
}

// Case 3: a backup from before a grant is restored. The owner of the lost permit may not go on, nothing further is
// granted until an operator has looked, and who is out counts as out because it is, permit or not.
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
	if _, err := env.client.Deregister(env.ctx, registry.WriteOptions{}, "leased"); err != nil { // it was stopped
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
	env.eventually("it is seen that the unit is gone", func() bool { return env.ledgerView(false).Counts[disruption.ConditionLost] == 1 })
	env.applyLedgerOp(disruption.Op{Kind: disruption.OpResume, Halt: &disruption.Halt{}})
	if permit, err := env.client.Permit(env.ctx, "new"); err != nil || permit.Stage != disruption.StageRequested || !strings.Contains(permit.WaitReason, "budget/all") {
		t.Errorf("with one unit out already: %+v: %v", permit, err)
	}
	env.applyLedgerOp(disruption.Op{Kind: disruption.OpRemoveLost, Units: []string{"server/leased"}})
	if permit, err := env.client.Permit(env.ctx, "new"); err != nil || permit.Stage != disruption.StageGranted {
		t.Errorf("with none out: %+v: %v", permit, err)
	}
}

// Only the holder of the owner's duty acts under a permit; a former holder's token counts no more.
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
		t.Errorf("under a token that was taken away: %v", err)
	}
	if permit, err := env.client.Permit(env.ctx, "p"); err != nil || permit.Stage != disruption.StageGranted {
		t.Errorf("its permit is %+v: %v", permit, err)
	}
}

// Sidecars have leases apart from the list: one that falls silent is lost, many at once cannot be seen, and freeze all
// grants until they speak again.
func TestSidecarLeases(t *testing.T) {
	env := startEnv(t, 1, false, "")
	env.registerFleet(8, 3)
	appliedIndex := func() uint64 { return env.status(env.leader()).AppliedIndex }
	list := func(names ...string) (sidecars []registry.Sidecar) {
		for ordinal, name := range names {
			sidecars = append(sidecars, registry.Sidecar{Name: name, Zone: "1", Ready: true, ListRevision: uint64(ordinal)})
		}
		return sidecars
	}
	renew := func(names ...string) {
		t.Helper()
		if _, err := env.client.RegisterSidecars(env.ctx, registry.SidecarRequest{TTLMS: 2000, Sidecars: list(names...)}); err != nil {
			t.Fatal(err)
		}
	}
	all := []string{"a", "b", "c", "d", "e"}
	renew(all...)
	before := appliedIndex()
	renew(all...)
	if now := appliedIndex(); now != before {
		t.Errorf("a renewal made %d entries of the log", now-before)
	}
	if got, err := env.client.Sidecars(env.ctx); err != nil || len(got) != 5 || got[4].ListRevision != 4 {
		t.Errorf("sidecars are %+v: %v", got, err)
	}
	env.eventually("the silent one is lost", func() bool {
		renew(all[1:]...)
		return env.ledgerView(false).Counts[disruption.ConditionLost] == 1
	})
	env.eventually("all others cannot be seen", func() bool { return env.ledgerView(false).Counts[disruption.ConditionUnknown] == 4 })
	if result := env.applyLedgerOp(requestPermit("p", "s0")); result.Permit.Stage != disruption.StageRequested || !strings.Contains(result.Permit.WaitReason, "doubt") {
		t.Errorf("without sight: %+v", result.Permit)
	}
	renew(all...)
	if permit, err := env.client.Permit(env.ctx, "p"); err != nil || permit.Stage != disruption.StageGranted {
		t.Errorf("with sight again: %+v: %v", permit, err)
	}
}

// BenchmarkLedgerGrants asks for permits of three replicas over loopback, with their logs on disk. Grants a second and
// the 99th percentile of the time from asking to having, in ms.
func BenchmarkLedgerGrants(b *testing.B) {
	block, err := proc.TakeBlock()
	if err != nil {
		b.Fatal(err)
	}
	defer block.Release()
	var members []registry.Member
	for ordinal := range 3 {
		members = append(members, registry.Member{HTTPAddr: block.Addr(200, ordinal, 8500), RaftAddr: block.Addr(200, ordinal, 8501)})
	}
	var addresses []string
	for _, member := range members {
		replica, err := registry.Open(registry.Options{HTTPAddr: member.HTTPAddr, RaftAddr: member.RaftAddr, DataDir: b.TempDir(), Members: members})
		if err != nil {
			b.Fatal(err)
		}
		defer replica.Close()
		addresses = append(addresses, member.HTTPAddr)
	}
	client, err := registry.NewClient(addresses)
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	const workers = 16
	var servers []registry.Instance
	for ordinal := range 1000 {
		instance := newInstance(fmt.Sprint("s", ordinal), ordinal)
		instance.Zone, instance.PodGroup = fmt.Sprint(ordinal%3), ordinal/4
		servers = append(servers, instance)
	}
	ctx := context.Background()
	if _, err := client.Register(ctx, registry.WriteOptions{}, servers...); err != nil {
		b.Fatal(err)
	}
	out := workers
	if _, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpSetBudget, Owner: operator,
		Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &out}}}); err != nil {
		b.Fatal(err)
	}
	var mu sync.Mutex
	var latencies []time.Duration
	var next atomic.Int64
	var workersDone sync.WaitGroup
	b.ResetTimer()
	for worker := range workers {
		workersDone.Go(func() {
			for next.Add(1) <= int64(b.N) {
				id := registry.NewID()
				began := time.Now()
				result, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, requestPermit(id, fmt.Sprint("s", worker*40)))
				spent := time.Since(began)
				if err != nil || result.Permit.Stage != disruption.StageGranted {
					b.Errorf("%+v: %v", result.Permit, err)
					return
				}
				mu.Lock()
				latencies = append(latencies, spent)
				mu.Unlock()
				if _, err := client.ApplyLedgerOp(ctx, registry.WriteOptions{}, permitOp(disruption.OpCancel, id)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	workersDone.Wait()
	b.StopTimer()
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "grants/s")
	b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e6, "p99-ms")
}
