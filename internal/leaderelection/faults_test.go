package leaderelection_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/leaderelection"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
)

// A holder that is partitioned from the registry stops before the next holder starts. Late writes under its token, sent to
// the guarded resource past the partition, are rejected.
func TestHolderPartitioned(t *testing.T) {
	tc := startCluster(t)
	var proxied []string
	var proxies []*partitionProxy
	for _, address := range tc.cluster.HTTPAddrs() {
		proxy := newPartitionProxy(t, address)
		proxies = append(proxies, proxy)
		proxied = append(proxied, proxy.Addr().String())
	}
	partitioned, err := registry.NewClient(proxied)
	if err != nil {
		t.Fatal(err)
	}
	onLost, losses := collectEvents(leaderelection.Lost)
	first, stopped := tc.startCandidate(partitioned, "first", onLost)
	lease := receive(tc, "the first tenure", first)
	onAcquired, acquisitions := collectEvents(leaderelection.Acquired)
	second, _ := tc.startCandidate(tc.client, "second", onAcquired)
	for _, proxy := range proxies {
		proxy.setPartitioned(true)
	}
	if err := receive(tc, "the stop", stopped); !errors.Is(err, leaderelection.ErrLeaseLost) {
		t.Errorf("the work was cancelled with %v", err)
	}
	next := receive(tc, "the second tenure", second)
	if lease.Valid() || next.Token <= lease.Token {
		t.Errorf("tokens %d and %d, the first still valid: %v", lease.Token, next.Token, lease.Valid())
	}
	loss, acquisition := receive(tc, "the loss", losses), receive(tc, "the acquisition", acquisitions)
	if loss.ValidUntil.IsZero() || acquisition.At.Before(loss.ValidUntil) {
		t.Errorf("acquired at %v, though the first tenure was valid until %v", acquisition.At, loss.ValidUntil)
	}
	lateRequest := registry.LeaseRequest{Candidate: lease.Holder, Token: lease.Token, Data: []byte("late")}
	if _, err := tc.client.UpdateLease(tc.ctx, leasetable.Checkpoint, leaseName, lateRequest); err == nil {
		t.Error("a late write was accepted")
	}
	write := registry.WriteOptions{Guard: lease.Guard()}
	if _, err := tc.client.Register(tc.ctx, write, registry.Instance{Target: registry.Target{UID: "x", Endpoint: "127.0.0.1:9"}}); err == nil {
		t.Error("a late registration was accepted")
	}
	if err := next.SaveCheckpoint(tc.ctx, []byte("new")); err != nil {
		t.Error(err)
	}
	for _, proxy := range proxies {
		proxy.closeConnections()
	}
}

// When all replicas are killed, the holder stops before its lease ends. Once the replicas run again, a candidate acquires
// the lease under a later token and with its checkpoint.
func TestAllReplicasKilled(t *testing.T) {
	tc := startCluster(t)
	acquired, stopped := tc.startCandidate(tc.client, "one", nil)
	lease := receive(tc, "the first tenure", acquired)
	if err := lease.SaveCheckpoint(tc.ctx, []byte("so far")); err != nil {
		t.Fatal(err)
	}
	for _, replica := range tc.cluster.Replicas {
		replica.Process.Kill()
	}
	if err := receive(tc, "the stop", stopped); !errors.Is(err, leaderelection.ErrLeaseLost) || time.Until(lease.ValidUntil()) > 50*time.Millisecond {
		t.Errorf("the work was cancelled with %v, %v before the end of the lease", err, time.Until(lease.ValidUntil()))
	}
	for _, replica := range tc.cluster.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if next := receive(tc, "the next tenure", acquired); next.Token <= lease.Token || string(next.Checkpoint) != "so far" {
		t.Errorf("token %d after %d, checkpoint %q", next.Token, lease.Token, next.Checkpoint)
	}
}

// Of many candidates that campaign at once, one acquires the lease. A lease that was handed over to a dead candidate passes to
// the next candidate after its TTL, and a candidate that has lost the lease cannot renew it.
func TestConcurrentOperations(t *testing.T) {
	tc := startCluster(t)
	var candidates sync.WaitGroup
	tokens := make([]uint64, 20)
	for i := range tokens {
		candidates.Go(func() {
			candidate := fmt.Sprint("candidate-", i)
			state, err := tc.client.UpdateLease(tc.ctx, leasetable.Campaign, "many", registry.LeaseRequest{Candidate: candidate, TTLMS: 60_000})
			if err == nil && state.Holder == candidate {
				tokens[i] = state.Token
			}
		})
	}
	candidates.Wait()
	holders := 0
	for _, token := range tokens {
		if token > 0 {
			holders++
		}
	}
	if holders != 1 {
		t.Errorf("%d of 20 candidates hold the lease", holders)
	}

	acquired, stopped := tc.startCandidate(tc.client, "one", nil)
	lease := receive(tc, "the first tenure", acquired)
	for _, candidate := range []string{"dead", "later"} { // neither of them ever renews
		if _, err := tc.client.UpdateLease(tc.ctx, leasetable.Campaign, leaseName, registry.LeaseRequest{Candidate: candidate, TTLMS: 800}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := tc.client.UpdateLease(tc.ctx, leasetable.Handover, leaseName, registry.LeaseRequest{Successor: "dead"}); err != nil {
		t.Fatal(err)
	}
	if err := receive(tc, "the stop", stopped); !errors.Is(err, leaderelection.ErrStepDownRequested) {
		t.Errorf("the work was cancelled with %v", err)
	}
	if next := receive(tc, "the tenure after the dead candidate's", acquired); next.Token <= lease.Token {
		t.Errorf("token %d after %d", next.Token, lease.Token)
	}
	if lost, err := tc.client.RenewLeases(tc.ctx, "one", []registry.LeaseRenewal{{Name: leaseName, Token: lease.Token}}); err != nil || len(lost) != 1 {
		t.Errorf("a lost lease was renewed: %v %v", lost, err)
	}
}

// A client that repeats a campaign because the response was lost does not queue behind itself.
func TestLostResponseRetried(t *testing.T) {
	tc := startCluster(t)
	request := registry.LeaseRequest{Candidate: "one", TTLMS: 60_000}
	first, err := tc.client.UpdateLease(tc.ctx, leasetable.Campaign, leaseName, request)
	if err != nil {
		t.Fatal(err)
	}
	retried, err := tc.client.UpdateLease(tc.ctx, leasetable.Campaign, leaseName, request)
	if err != nil || retried.Holder != "one" || retried.Token != first.Token || len(retried.Queue) > 0 {
		t.Errorf("%+v after %+v: %v", retried, first, err)
	}
}

// When the replica that makes the backups is killed, another replica continues them, and the newest file can be read.
func TestBackupsFailOver(t *testing.T) {
	dir := t.TempDir()
	tc := startCluster(t, fmt.Sprintf("[backup]\ndir = %q\nevery_s = 0.1\nkeep = 3", dir))
	register := func(uid string) uint64 {
		result, err := tc.client.Register(tc.ctx, registry.WriteOptions{}, registry.Instance{Target: registry.Target{UID: uid, Endpoint: "127.0.0.1:9"}})
		if err != nil {
			t.Fatal(err)
		}
		return result.Revision
	}
	awaitBackup := func(rev uint64) leasetable.Lease {
		for {
			state, err := tc.client.Lease(tc.ctx, leaderelection.BackupLease)
			if tc.ctx.Err() != nil {
				t.Fatalf("no backup of revision %d: %+v %v", rev, state, err)
			}
			if savedRev, _ := strconv.ParseUint(string(state.Checkpoint), 10, 64); err == nil && savedRev >= rev {
				return state
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	before := awaitBackup(register("a"))
	for _, replica := range tc.cluster.Replicas {
		if strings.HasPrefix(before.Holder, replica.HTTPAddr+"/") {
			replica.Process.Kill()
		}
	}
	rev := uint64(0)
	for i := range 5 {
		rev = register(fmt.Sprint("b", i))
		awaitBackup(rev)
	}
	if after := awaitBackup(rev); after.Holder == before.Holder || after.CheckpointToken <= before.Token {
		t.Errorf("%s still makes the backups, under token %d, after its replica was killed", after.Holder, after.CheckpointToken)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.snapshot"))
	if err != nil || len(files) < 1 || len(files) > 4 { // one more than keep while the oldest is being removed
		t.Fatalf("%v %v", files, err)
	}
	data, err := os.ReadFile(files[len(files)-1])
	if err != nil {
		t.Fatal(err)
	}
	if snapshot, err := registry.ReadSnapshot(bytes.NewReader(data)); err != nil || snapshot.Revision() != rev {
		t.Errorf("the newest backup is unreadable or has another revision: %v", err)
	}
}

// 50 processes that hold 1,000 leases are all killed and started again at once. Each lease is soon held again, by one of the
// new processes and under a later token.
func TestAllHoldersRestarted(t *testing.T) {
	const processes, leasesPerProcess = 50, 20
	tc := startCluster(t)
	dir := t.TempDir()
	var running []*proc.Process
	startAll := func(incarnation int) {
		for process := range processes {
			name := fmt.Sprintf("p%d-%d", process, incarnation)
			args := []string{"duty", "hold", "--who", name, "--ttl", "2s", "--replicas", strings.Join(tc.cluster.HTTPAddrs(), ",")}
			for n := range leasesPerProcess {
				args = append(args, fmt.Sprintf("duty-%d", process*leasesPerProcess+n))
			}
			holder, err := proc.Start(proc.Spec{
				Name: name, Path: proctest.Program(t, "milldeck"), Args: args, Log: filepath.Join(dir, name),
			})
			if err != nil {
				t.Fatal(err)
			}
			running = append(running, holder)
		}
	}
	defer func() {
		for _, holder := range running {
			holder.Kill()
		}
	}()
	awaitAllHeld := func(incarnation int) map[string]uint64 {
		for suffix := fmt.Sprint("-", incarnation); ; time.Sleep(50 * time.Millisecond) {
			list, err := tc.client.Leases(tc.ctx)
			if tc.ctx.Err() != nil {
				t.Fatalf("%d of the leases are not held again: %v", processes*leasesPerProcess-len(list), err)
			}
			tokens := map[string]uint64{}
			for _, lease := range list {
				if strings.HasSuffix(lease.Holder, suffix) {
					tokens[lease.Name] = lease.Token
				}
			}
			if len(tokens) == processes*leasesPerProcess {
				return tokens
			}
		}
	}
	startAll(1)
	first := awaitAllHeld(1)
	for _, holder := range running {
		holder.Kill()
	}
	running = nil
	restartedAt := time.Now()
	startAll(2)
	for name, token := range awaitAllHeld(2) {
		if token <= first[name] {
			t.Errorf("%s: token %d after %d", name, token, first[name])
		}
	}
	t.Logf("1,000 leases are held again %v after the restart, with leases of 2 s", time.Since(restartedAt).Round(time.Millisecond))
}

// After a crash between a step and its checkpoint, the next holder repeats the step under a new token, and the step takes
// effect once.
func TestCrashBeforeCheckpoint(t *testing.T) {
	tc := startCluster(t)
	effects := 0
	step := func(lease *leaderelection.Lease) error {
		var absent uint64
		uid := "step-" + string(lease.Checkpoint)
		target := registry.Instance{Target: registry.Target{UID: uid, Endpoint: "127.0.0.1:9"}}
		_, err := tc.client.Register(tc.ctx, registry.WriteOptions{IfRevision: &absent, Guard: lease.Guard()}, target)
		var status *registry.StatusError
		if errors.As(err, &status) { // the step was done before the crash
			return nil
		}
		effects++
		return err
	}
	for _, crash := range []bool{true, false} {
		work := func(ctx context.Context, lease *leaderelection.Lease) error {
			if err := step(lease); err != nil || crash {
				return err
			}
			return lease.SaveCheckpoint(ctx, []byte("1"))
		}
		opts := leaderelection.Options{TTL: candidateTTL, SingleTenure: true}
		if err := leaderelection.Run(tc.ctx, tc.client, leaseName, opts, work); err != nil {
			t.Fatal(err)
		}
	}
	state, err := tc.client.Lease(tc.ctx, leaseName)
	if err != nil || effects != 1 || string(state.Checkpoint) != "1" {
		t.Errorf("%d effects, checkpoint %q: %v", effects, state.Checkpoint, err)
	}
}
