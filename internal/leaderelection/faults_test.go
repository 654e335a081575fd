package leaderelection_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	"milldeck/internal/leaderelection/bench"
	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// testTimeout bounds each test's waiting; hardly any needs a third of it.
const testTimeout = 90 * time.Second

// runFaultBench plays faults with processes and wants no write that counted twice.
func runFaultBench(t *testing.T, opts bench.Options) *bench.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	opts.Program, opts.Dir, opts.Replicas = proctest.Program(t, "milldeck"), t.TempDir(), 3
	opts.TTL, opts.CheckpointInterval, opts.Leases = 600*time.Millisecond, 20*time.Millisecond, 16
	result, err := bench.Run(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	if result.DuplicateWrites > 0 || result.GuardedWrites == 0 {
		t.Errorf("%d writes counted twice of %d: %v", result.DuplicateWrites, result.GuardedWrites, result.Violations)
	}
	return result
}

// requireExclusion is play, and wants no overlap either.
func requireExclusion(t *testing.T, opts bench.Options) *bench.Result {
	t.Helper()
	result := runFaultBench(t, opts)
	if result.Overlaps > 0 || len(result.Violations) > 0 {
		t.Errorf("%d overlaps: %v", result.Overlaps, result.Violations)
	}
	return result
}

// Clocks that run fast, or slow within the margin, or whose wall time is set forward by an hour again and again, let no
// two believe at a time.
func TestClockFaultsWithinSafetyMargin(t *testing.T) {
	requireExclusion(t, bench.Options{Seed: 5, Faults: 40, FreezeHolders: true, ClockFaults: []string{"rate=0.93", "rate=1.5", "jump=1h/300ms", ""}})
}

// Clocks that run at half the speed break the promise: a frozen holder believes on while the next works. What it writes
// then is refused all the same.
func TestGuardRejectsWritesOfSlowClocks(t *testing.T) {
	result := runFaultBench(t, bench.Options{Seed: 6, Faults: 40, FreezeHolders: true, ClockFaults: []string{"rate=0.5"}})
	if result.Overlaps == 0 || result.RejectedWrites == 0 {
		t.Errorf("%d overlaps, %d late writes refused: nothing was shown", result.Overlaps, result.RejectedWrites)
	}
}

// Case 1: the holder is killed 200 times at random moments of its work, others are stopped in good order.
func TestHolderKilled(t *testing.T) {
	if result := requireExclusion(t, bench.Options{Seed: 1, Faults: 300}); result.Kills < 170 {
		t.Errorf("only %d kills", result.Kills)
	}
}

// Case 2: the holder is frozen past its lease and goes on in mid-write; what it then writes is refused.
func TestHolderFrozen(t *testing.T) {
	if result := requireExclusion(t, bench.Options{Seed: 2, Faults: 100, FreezeHolders: true}); result.Freezes < 15 || result.RejectedWrites == 0 {
		t.Errorf("%d freezes, %d late writes refused", result.Freezes, result.RejectedWrites)
	}
}

// Case 4: registry leaders are killed while duties change hands.
func TestRegistryLeaderKilled(t *testing.T) {
	if result := requireExclusion(t, bench.Options{Seed: 4, Faults: 100, FreezeHolders: true, LeaderKillInterval: 1500 * time.Millisecond}); result.LeaderKills == 0 {
		t.Error("no leader was killed")
	}
}

// A play that would go on for ever ends at its limit, and says so.
func TestBenchStopsAtItsTimeout(t *testing.T) {
	const timeout = 3 * time.Second
	opts := bench.Options{Program: proctest.Program(t, "milldeck"), Dir: t.TempDir(), Replicas: 1, Leases: 2, Faults: 1e6, Timeout: timeout}
	opts.TTL, opts.CheckpointInterval = time.Second, 20*time.Millisecond
	if result, err := bench.Run(t.Context(), opts); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("not over after %v", timeout)) {
		t.Errorf("%+v: %v", result, err)
	}
}

type testCluster struct {
	*testing.T
	ctx     context.Context
	cluster *cluster.Cluster
	client  *registry.Client
}

func startCluster(t *testing.T, sections ...string) *testCluster {
	t.Helper()
	block, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	tc := &testCluster{T: t, ctx: ctx}
	tc.cluster, err = cluster.Start(ctx, 3, cluster.Options{Program: proctest.Program(t, "milldeck"), DataDir: t.TempDir(), Addresses: block, ExtraConfig: strings.Join(sections, "\n")})
	t.Cleanup(func() { tc.cluster.Close() })
	if err == nil {
		tc.client, err = tc.cluster.Client()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tc.client.Close)
	return tc
}

// startCandidate takes part in a duty until the test ends; each tenure's lease comes over the channel, and its work lasts until
// it is told to stop.
func (tc *testCluster) startCandidate(client *registry.Client, name, candidate string) (acquired <-chan *leaderelection.Lease, stopCauses <-chan error, stop func()) {
	ctx, cancel := context.WithCancel(tc.ctx)
	leases, causes := make(chan *leaderelection.Lease, 16), make(chan error, 16)
	var background sync.WaitGroup
	background.Go(func() {
		_ = leaderelection.Run(ctx, client, name, leaderelection.Options{Candidate: candidate, TTL: 800 * time.Millisecond}, func(ctx context.Context, lease *leaderelection.Lease) error {
			leases <- lease
			<-ctx.Done()
			causes <- context.Cause(ctx)
			return ctx.Err()
		})
	})
	stop = func() { cancel(); background.Wait() }
	tc.Cleanup(stop)
	return leases, causes, stop
}

func receive[T any](tc *testCluster, what string, from <-chan T) T {
	tc.Helper()
	select {
	case value := <-from:
		return value
	case <-tc.ctx.Done():
		tc.Fatalf("%s did not come", what)
		panic("unreachable")
	}
}

// partitionProxy passes connections on to an address until it is cut: then nothing passes, and nobody is told.
type partitionProxy struct {
	net.Listener
	mu          sync.Mutex
	partitioned bool
	conns       []net.Conn
}

func newPartitionProxy(t *testing.T, target string) *partitionProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &partitionProxy{Listener: listener}
	t.Cleanup(func() { listener.Close(); p.setPartitioned(true) })
	go func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				downstream.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, downstream, upstream)
			p.mu.Unlock()
			go p.forward(downstream, upstream)
			go p.forward(upstream, downstream)
		}
	}()
	return p
}

func (p *partitionProxy) forward(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		partitioned := p.partitioned
		p.mu.Unlock()
		if partitioned {
			continue // a read error ends it below, once the test closes the connection
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				from.Close()
			}
			to.Close()
			return
		}
	}
}

// setPartitioned cuts the links; those that were open are closed when the test is over.
func (p *partitionProxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
}

func (p *partitionProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = false
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}

// Case 3: a holder that is cut off from the registry stops before the next begins, and what it still writes to the
// guarded resource, which it can reach, is refused.
func TestHolderPartitioned(t *testing.T) {
	tc := startCluster(t)
	var proxied []string
	var proxies []*partitionProxy
	for _, stoppedAt := range tc.cluster.HTTPAddrs() {
		proxy := newPartitionProxy(t, stoppedAt)
		proxies = append(proxies, proxy)
		proxied = append(proxied, proxy.Addr().String())
	}
	partitioned, err := registry.NewClient(proxied)
	if err != nil {
		t.Fatal(err)
	}
	first, stopped, _ := tc.startCandidate(partitioned, "d", "first")
	lease := receive(tc, "the first tenure", first)
	second, _, _ := tc.startCandidate(tc.client, "d", "second")
	for _, proxy := range proxies {
		proxy.setPartitioned(true)
	}
	if err := receive(tc, "the stop", stopped); !errors.Is(err, leaderelection.ErrLeaseLost) {
		t.Errorf("it was told %v", err)
	}
	stoppedAt := time.Now()
	next := receive(tc, "the second tenure", second)
	if lease.Valid() || time.Since(stoppedAt) < 0 || next.Token <= lease.Token {
		t.Errorf("tokens %d and %d, the first still valid: %v", lease.Token, next.Token, lease.Valid())
	}
	lateCall := registry.LeaseRequest{Candidate: lease.Holder, Token: lease.Token, Data: []byte("late")}
	if _, err := tc.client.UpdateLease(tc.ctx, leasetable.Checkpoint, "d", lateCall); err == nil {
		t.Error("a late write counted")
	}
	write := registry.WriteOptions{Guard: lease.Guard()}
	if _, err := tc.client.Register(tc.ctx, write, registry.Instance{Target: registry.Target{UID: "x", Endpoint: "127.0.0.1:9"}}); err == nil {
		t.Error("a late registration counted")
	}
	if err := next.SaveCheckpoint(tc.ctx, []byte("new")); err != nil {
		t.Error(err)
	}
	for _, proxy := range proxies {
		proxy.closeConnections()
	}
}

// Case 4: with all replicas killed the holder stops in time; when they are back somebody holds the duty again, under
// a later token, and finds the checkpoint.
func TestAllReplicasKilled(t *testing.T) {
	tc := startCluster(t)
	acquired, stopped, _ := tc.startCandidate(tc.client, "d", "one")
	lease := receive(tc, "the first tenure", acquired)
	if err := lease.SaveCheckpoint(tc.ctx, []byte("so far")); err != nil {
		t.Fatal(err)
	}
	for _, replica := range tc.cluster.Replicas {
		replica.Process.Kill()
	}
	if err := receive(tc, "the stop", stopped); !errors.Is(err, leaderelection.ErrLeaseLost) || time.Until(lease.ValidUntil()) > 50*time.Millisecond {
		t.Errorf("it was told %v, %v before its lease ended", err, time.Until(lease.ValidUntil()))
	}
	for _, replica := range tc.cluster.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if again := receive(tc, "the next tenure", acquired); again.Token <= lease.Token || string(again.Checkpoint) != "so far" {
		t.Errorf("token %d after %d, checkpoint %q", again.Token, lease.Token, again.Checkpoint)
	}
}

// Case 6: a duty handed over to a candidate that has just died goes to the next after its lease; of many who seek one
// duty at once one gets it, and a holder that has lost it renews nothing.
func TestConcurrentOperations(t *testing.T) {
	tc := startCluster(t)
	var candidates sync.WaitGroup
	tokens := make([]uint64, 20)
	for i := range tokens {
		candidates.Go(func() {
			candidate := fmt.Sprint("s", i)
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
		t.Errorf("%d of 20 seekers hold the duty", holders)
	}

	acquired, stopped, _ := tc.startCandidate(tc.client, "d", "one")
	lease := receive(tc, "the first tenure", acquired)
	for _, candidate := range []string{"dead", "later"} { // neither ever renews
		if _, err := tc.client.UpdateLease(tc.ctx, leasetable.Campaign, "d", registry.LeaseRequest{Candidate: candidate, TTLMS: 800}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := tc.client.UpdateLease(tc.ctx, leasetable.Handover, "d", registry.LeaseRequest{Successor: "dead"}); err != nil {
		t.Fatal(err)
	}
	if err := receive(tc, "the stop", stopped); !errors.Is(err, leaderelection.ErrStepDownRequested) {
		t.Errorf("it was told %v", err)
	}
	if again := receive(tc, "the tenure after the dead", acquired); again.Token <= lease.Token {
		t.Errorf("token %d after %d", again.Token, lease.Token)
	}
	if lost, err := tc.client.RenewLeases(tc.ctx, "one", []registry.LeaseRenewal{{Name: "d", Token: lease.Token}}); err != nil || len(lost) != 1 {
		t.Errorf("a lost duty was renewed: %v %v", lost, err)
	}
}

// Case 7: a client that asks again because the answer was lost does not wait for itself.
func TestLostResponseRetried(t *testing.T) {
	tc := startCluster(t)
	call := registry.LeaseRequest{Candidate: "one", TTLMS: 60_000}
	first, err := tc.client.UpdateLease(tc.ctx, leasetable.Campaign, "d", call)
	if err != nil {
		t.Fatal(err)
	}
	again, err := tc.client.UpdateLease(tc.ctx, leasetable.Campaign, "d", call)
	if err != nil || again.Holder != "one" || again.Token != first.Token || len(again.Queue) > 0 {
		t.Errorf("%+v after %+v: %v", again, first, err)
	}
}

// The list service's own backups are a duty: when the replica that makes them is killed another goes on, and each
// file can be read.
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
		t.Errorf("%s goes on under token %d after its replica was killed", after.Holder, after.CheckpointToken)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.snapshot"))
	if err != nil || len(files) < 1 || len(files) > 4 { // one more while the oldest is being removed
		t.Fatalf("%v %v", files, err)
	}
	data, err := os.ReadFile(files[len(files)-1])
	if err != nil {
		t.Fatal(err)
	}
	if snapshot, err := registry.ReadSnapshot(bytes.NewReader(data)); err != nil || snapshot.Revision() != rev {
		t.Errorf("the newest backup cannot be used: %v", err)
	}
}

// Case 8: 50 processes with 1,000 duties are all killed and started again at once; each duty is soon held again, once.
func TestAllHoldersRestarted(t *testing.T) {
	const processes, leasesPerProcess = 50, 20
	tc := startCluster(t)
	dir := t.TempDir()
	var running []*proc.Process
	startAll := func(incarnation int) {
		for process := range processes {
			args := []string{"duty", "hold", "--who", fmt.Sprintf("p%d-%d", process, incarnation), "--ttl", "2s", "--replicas", strings.Join(tc.cluster.HTTPAddrs(), ",")}
			for d := range leasesPerProcess {
				args = append(args, fmt.Sprintf("duty-%d", process*leasesPerProcess+d))
			}
			holder, err := proc.Start(proc.Spec{
				Name: args[3], Path: proctest.Program(t, "milldeck"), Args: args, Log: filepath.Join(dir, args[3]),
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
				t.Fatalf("%d of the duties are not held again: %v", processes*leasesPerProcess-len(list), err)
			}
			tokens := map[string]uint64{}
			for _, d := range list {
				if strings.HasSuffix(d.Holder, suffix) {
					tokens[d.Name] = d.Token
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
	t.Logf("1,000 duties are held again %v after the restart, with leases of 2 s", time.Since(restartedAt).Round(time.Millisecond))
}

// Case 9: a crash between the end of a step and its checkpoint has the successor do the step again, under a new
// token, and the resource sees its effect once.
func TestCrashBeforeCheckpoint(t *testing.T) {
	tc := startCluster(t)
	effects := 0
	step := func(lease *leaderelection.Lease) error {
		var absent uint64
		uid := "step-" + string(lease.Checkpoint)
		target := registry.Instance{Target: registry.Target{UID: uid, Endpoint: "127.0.0.1:9"}}
		_, err := tc.client.Register(tc.ctx, registry.WriteOptions{IfRevision: &absent, Guard: lease.Guard()}, target)
		var status *registry.StatusError
		if errors.As(err, &status) { // it is there
			return nil
		}
		effects++
		return err
	}
	for _, crash := range []bool{true, false} {
		err := leaderelection.Run(tc.ctx, tc.client, "d", leaderelection.Options{TTL: 800 * time.Millisecond, SingleTenure: true}, func(ctx context.Context, lease *leaderelection.Lease) error {
			if err := step(lease); err != nil || crash {
				return err
			}
			return lease.SaveCheckpoint(ctx, []byte("1"))
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	state, err := tc.client.Lease(tc.ctx, "d")
	if err != nil || effects != 1 || string(state.Checkpoint) != "1" {
		t.Errorf("%d effects, checkpoint %q: %v", effects, state.Checkpoint, err)
	}
}
