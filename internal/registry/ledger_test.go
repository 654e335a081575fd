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
	"milldeck/internal/duty/table"
	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
)

const operator = "operator/test"

// ledger makes an operation that has to succeed.
func (b *bed) ledger(op disruption.Op) registry.LedgerResult {
	b.Helper()
	if op.Owner == "" {
		op.Owner = operator
	}
	res, err := b.client.Ledger(b.ctx, registry.Write{}, op)
	if err != nil {
		b.Fatalf("%s: %v", op.Kind, err)
	}
	return res
}

func (b *bed) view(units bool) disruption.View {
	b.Helper()
	v, err := b.client.LedgerView(b.ctx, true, units)
	if err != nil {
		b.Fatal(err)
	}
	return v
}

// fleet registers servers without leases in three zones, two to a pod group, with a budget of how many may be out.
func (b *bed) fleet(n, out int) {
	b.Helper()
	for k := range n {
		i := instance(fmt.Sprint("s", k), k)
		i.BootMS, i.Zone, i.Pod = 0, fmt.Sprint(k%3), k/2
		b.register(i)
	}
	b.ledger(disruption.Op{Kind: disruption.OpSetBudget, Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &out}}})
}

func ask(id string, servers ...string) disruption.Op {
	p := &disruption.Permit{ID: id, Owner: operator, Disposition: disruption.DispositionReturn, Priority: disruption.PriorityDrain}
	for _, s := range servers {
		p.Units = append(p.Units, disruption.UnitID(disruption.KindServer, s))
	}
	return disruption.Op{Kind: disruption.OpRequest, Owner: operator, Permit: p}
}

func about(kind disruption.OpKind, id string) disruption.Op {
	return disruption.Op{Kind: kind, Owner: operator, Permit: &disruption.Permit{ID: id}}
}

func refused(err error, status int) bool {
	var e *registry.StatusError
	return errors.As(err, &e) && e.Status == status
}

func asJSON(t *testing.T, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Case 3: the leader is killed between a grant and its answer. The repeat finds the one grant.
func TestCase3LeaderKilledBetweenGrantAndAnswer(t *testing.T) {
	b := start(t, 3, false, "")
	b.fleet(8, 2)
	for n := range 3 {
		old, id := b.leader(), fmt.Sprintf("drain/x/%d", n) // a name with slashes is one name
		in := registry.LedgerCall{ID: registry.NewID(), Op: ask(id, fmt.Sprint("s", n))}
		// The answer is never read: to whoever asked, it is lost.
		lost, hangUp := context.WithCancel(b.ctx)
		req, err := http.NewRequestWithContext(lost, http.MethodPost, "http://"+old.HTTP+"/ledger/ask", strings.NewReader(asJSON(t, in)))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		}()
		var granted disruption.Permit
		b.until("a follower has the grant", func() bool {
			for _, r := range b.c.Replicas {
				if one, err := registry.NewClient([]string{r.HTTP}); err == nil && r != old {
					v, err := one.LedgerView(b.ctx, false, false)
					one.Close()
					for _, p := range v.Permits {
						if err == nil && p.ID == id && p.Stage == disruption.StageGranted {
							granted = p
							return true
						}
					}
				}
			}
			return false
		})
		old.Proc.Kill()
		hangUp()
		res, err := b.client.Ledger(b.ctx, registry.Write{ID: in.ID}, in.Op)
		if err != nil || res.Permit == nil || res.Permit.GrantRevision != granted.GrantRevision || res.Permit.Stage != disruption.StageGranted {
			t.Fatalf("the repeat gives %+v: %v, not the grant %+v", res.Permit, err, granted)
		}
		again, err := b.client.Ledger(b.ctx, registry.Write{}, in.Op) // as who has lost the id of the write as well
		if err != nil || again.Permit.GrantRevision != granted.GrantRevision {
			t.Fatalf("asked anew: %+v: %v", again.Permit, err)
		}
		if v := b.view(false); len(v.Permits) != 1 || len(v.Units) != 1 {
			t.Fatalf("out are %+v under %+v", v.Units, v.Permits)
		}
		b.ledger(about(disruption.OpCancel, id))
		if err := old.Start(); err != nil {
			t.Fatal(err)
		}
		b.until("the killed replica follows again", func() bool { return b.status(old).Leader != "" })
	}
}

// Case 3: all replicas are killed and started; the ledger is as before, from the log and from a snapshot.
func TestCase3AllReplicasKilledLedgerAsBefore(t *testing.T) {
	b := start(t, 3, false, "snapshot_every = 20")
	b.fleet(8, 2)
	for n := range 15 { // past a snapshot
		b.ledger(ask(fmt.Sprint("old", n), "s7"))
		b.ledger(about(disruption.OpCancel, fmt.Sprint("old", n)))
	}
	b.ledger(ask("out", "s0"))
	b.ledger(about(disruption.OpBegin, "out"))
	b.ledger(ask("granted", "s2"))
	b.ledger(ask("waits", "s4"))
	b.ledger(disruption.Op{Kind: disruption.OpHalt, Halt: &disruption.Halt{Scope: "release/x", Reason: "test"}})
	before := asJSON(t, b.view(true))
	for _, r := range b.c.Replicas {
		r.Proc.Kill()
	}
	for _, r := range b.c.Replicas {
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	b.leader()
	if after := asJSON(t, b.view(true)); after != before {
		t.Fatalf("the ledger is\n%s\nand was\n%s", after, before)
	}
	b.ledger(about(disruption.OpCancel, "granted"))
	if p, err := b.client.Permit(b.ctx, "waits"); err != nil || p.Stage != disruption.StageGranted {
		t.Fatalf("who waited is %+v: %v", p, err)
	}
}

// Case 3: a leader that is cut off and goes on believing in itself grants nothing.
func TestCase3MinorityGrantsNothing(t *testing.T) {
	b := start(t, 3, true, "")
	b.fleet(12, 1)
	cut := b.leader()
	var rest []string
	for _, r := range b.c.Replicas {
		if r != cut {
			rest = append(rest, r.HTTP)
		}
	}
	one, err := registry.NewClient([]string{cut.HTTP})
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	majority, err := registry.NewClient(rest)
	if err != nil {
		t.Fatal(err)
	}
	defer majority.Close()
	b.links.Cut(cut.N, 3, true)
	var wg sync.WaitGroup
	var told atomic.Int64
	short, cancel := context.WithTimeout(b.ctx, 3*time.Second)
	defer cancel()
	for n := range 8 { // from the first moment of the cut, while it still believes
		wg.Go(func() {
			if res, err := one.Ledger(short, registry.Write{}, ask(fmt.Sprint("believed", n), fmt.Sprint("s", n))); err == nil && res.Permit.Stage == disruption.StageGranted {
				told.Add(1)
			}
		})
	}
	res, err := majority.Ledger(b.ctx, registry.Write{}, ask("real", "s10"))
	if err != nil || res.Permit.Stage != disruption.StageGranted {
		t.Fatalf("the majority grants %+v: %v", res.Permit, err)
	}
	wg.Wait()
	if told.Load() > 0 {
		t.Errorf("%d grants by a replica that is cut off", told.Load())
	}
	b.links.Cut(cut.N, 3, false)
	b.until("the cut replica has what the others granted", func() bool {
		v, err := one.LedgerView(b.ctx, false, false)
		return err == nil && slices.ContainsFunc(v.Permits, func(p disruption.Permit) bool { return p.ID == "real" && p.Stage == disruption.StageGranted })
	})
	for _, p := range b.view(false).Permits {
		if p.ID != "real" && p.Stage != disruption.StageRequested {
			t.Errorf("%s is %s beside the one that the budget allows", p.ID, p.Stage)
		}
	}
}

// Case 3: a backup from before a grant is restored. The owner of the lost permit may not go on, nothing further is
// granted until an operator has looked, and who is out counts as out because it is, permit or not.
func TestCase3RestoreFromBeforeGrants(t *testing.T) {
	b := start(t, 3, false, "")
	b.fleet(8, 1)
	leased := instance("leased", 100)
	leased.BootMS, leased.Zone, leased.Pod, leased.TTLMS = 0, "1", 3, 1000
	b.register(leased)
	backup, err := b.client.SaveSnapshot(b.ctx)
	if err != nil {
		t.Fatal(err)
	}
	b.ledger(ask("lost", "leased"))
	b.ledger(ask("unbegun", "s1"))
	b.ledger(about(disruption.OpBegin, "lost"))
	if _, err := b.client.Deregister(b.ctx, registry.Write{}, "leased"); err != nil { // it was stopped
		t.Fatal(err)
	}
	if _, err := b.client.RestoreSnapshot(b.ctx, backup); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"lost", "unbegun"} {
		if _, err := b.client.Ledger(b.ctx, registry.Write{}, about(disruption.OpBegin, id)); !refused(err, http.StatusNotFound) {
			t.Errorf("begin of %s: %v", id, err)
		}
	}
	if res := b.ledger(ask("new", "s2")); res.Permit.Stage != disruption.StageRequested || !strings.Contains(res.Permit.WaitReason, "backup") {
		t.Errorf("after the restore: %+v", res.Permit)
	}
	b.until("it is seen that the unit is gone", func() bool { return b.view(false).Counts[disruption.ConditionLost] == 1 })
	b.ledger(disruption.Op{Kind: disruption.OpResume, Halt: &disruption.Halt{}})
	if p, err := b.client.Permit(b.ctx, "new"); err != nil || p.Stage != disruption.StageRequested || !strings.Contains(p.WaitReason, "budget/all") {
		t.Errorf("with one unit out already: %+v: %v", p, err)
	}
	b.ledger(disruption.Op{Kind: disruption.OpForget, Units: []string{"server/leased"}})
	if p, err := b.client.Permit(b.ctx, "new"); err != nil || p.Stage != disruption.StageGranted {
		t.Errorf("with none out: %+v: %v", p, err)
	}
}

// Only the holder of the owner's duty acts under a permit; a former holder's token counts no more.
func TestLedgerUnderTheOwnersToken(t *testing.T) {
	b := start(t, 1, false, "")
	b.fleet(8, 3)
	const duty = "release/one"
	op := ask("p", "s0")
	op.Owner, op.Permit.Owner = duty, duty
	if _, err := b.client.Ledger(b.ctx, registry.Write{}, op); !refused(err, http.StatusConflict) {
		t.Errorf("without a token: %v", err)
	}
	first, err := b.client.Duty(b.ctx, table.Campaign, duty, registry.DutyCall{Who: "a", TTLMS: 60_000})
	if err != nil {
		t.Fatal(err)
	}
	guard := &registry.Guard{Duty: duty, Token: first.Token}
	if _, err := b.client.Ledger(b.ctx, registry.Write{Guard: guard}, op); err != nil {
		t.Fatal(err)
	}
	if _, err := b.client.Duty(b.ctx, table.Revoke, duty, registry.DutyCall{}); err != nil {
		t.Fatal(err)
	}
	begin := disruption.Op{Kind: disruption.OpBegin, Owner: duty, Permit: &disruption.Permit{ID: "p"}}
	if _, err := b.client.Ledger(b.ctx, registry.Write{Guard: guard}, begin); !refused(err, http.StatusConflict) {
		t.Errorf("under a token that was taken away: %v", err)
	}
	if p, err := b.client.Permit(b.ctx, "p"); err != nil || p.Stage != disruption.StageGranted {
		t.Errorf("its permit is %+v: %v", p, err)
	}
}

// Sidecars have leases apart from the list: one that falls silent is lost, many at once cannot be seen, and freeze all
// grants until they speak again.
func TestSidecarsLeases(t *testing.T) {
	b := start(t, 1, false, "")
	b.fleet(8, 3)
	rev := func() uint64 { return b.status(b.leader()).Applied }
	list := func(names ...string) (out []registry.Sidecar) {
		for n, name := range names {
			out = append(out, registry.Sidecar{Name: name, Zone: "1", Ready: true, ListRev: uint64(n)})
		}
		return out
	}
	speak := func(names ...string) {
		t.Helper()
		if _, err := b.client.RegisterSidecars(b.ctx, registry.SidecarCall{TTLMS: 2000, Sidecars: list(names...)}); err != nil {
			t.Fatal(err)
		}
	}
	all := []string{"a", "b", "c", "d", "e"}
	speak(all...)
	before := rev()
	speak(all...)
	if now := rev(); now != before {
		t.Errorf("a renewal made %d entries of the log", now-before)
	}
	if got, err := b.client.Sidecars(b.ctx); err != nil || len(got) != 5 || got[4].ListRev != 4 {
		t.Errorf("sidecars are %+v: %v", got, err)
	}
	b.until("the silent one is lost", func() bool {
		speak(all[1:]...)
		return b.view(false).Counts[disruption.ConditionLost] == 1
	})
	b.until("all others cannot be seen", func() bool { return b.view(false).Counts[disruption.ConditionUnknown] == 4 })
	if res := b.ledger(ask("p", "s0")); res.Permit.Stage != disruption.StageRequested || !strings.Contains(res.Permit.WaitReason, "doubt") {
		t.Errorf("without sight: %+v", res.Permit)
	}
	speak(all...)
	if p, err := b.client.Permit(b.ctx, "p"); err != nil || p.Stage != disruption.StageGranted {
		t.Errorf("with sight again: %+v: %v", p, err)
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
	for n := range 3 {
		members = append(members, registry.Member{HTTP: block.Addr(200, n, 8500), Raft: block.Addr(200, n, 8501)})
	}
	var at []string
	for _, m := range members {
		r, err := registry.Open(registry.Options{HTTP: m.HTTP, Raft: m.Raft, Dir: b.TempDir(), Members: members})
		if err != nil {
			b.Fatal(err)
		}
		defer r.Close()
		at = append(at, m.HTTP)
	}
	c, err := registry.NewClient(at)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	const workers = 16
	var servers []registry.Instance
	for n := range 1000 {
		i := instance(fmt.Sprint("s", n), n)
		i.Zone, i.Pod = fmt.Sprint(n%3), n/4
		servers = append(servers, i)
	}
	ctx := context.Background()
	if _, err := c.Register(ctx, registry.Write{}, servers...); err != nil {
		b.Fatal(err)
	}
	out := workers
	if _, err := c.Ledger(ctx, registry.Write{}, disruption.Op{Kind: disruption.OpSetBudget, Owner: operator,
		Budget: &disruption.Budget{Name: "all", MaxUnavailable: disruption.Limit{Count: &out}}}); err != nil {
		b.Fatal(err)
	}
	var mu sync.Mutex
	var took []time.Duration
	var next atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for w := range workers {
		wg.Go(func() {
			for next.Add(1) <= int64(b.N) {
				id := registry.NewID()
				began := time.Now()
				res, err := c.Ledger(ctx, registry.Write{}, ask(id, fmt.Sprint("s", w*40)))
				spent := time.Since(began)
				if err != nil || res.Permit.Stage != disruption.StageGranted {
					b.Errorf("%+v: %v", res.Permit, err)
					return
				}
				mu.Lock()
				took = append(took, spent)
				mu.Unlock()
				if _, err := c.Ledger(ctx, registry.Write{}, about(disruption.OpCancel, id)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	b.ReportMetric(float64(len(took))/b.Elapsed().Seconds(), "grants/s")
	b.ReportMetric(float64(took[len(took)*99/100])/1e6, "p99-ms")
}
