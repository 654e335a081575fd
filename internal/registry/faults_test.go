package registry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// testTimeout bounds each test's waiting; hardly any needs a tenth of it.
const testTimeout = 150 * time.Second

type testEnv struct {
	*testing.T
	ctx     context.Context
	cluster *cluster.Cluster
	client  *registry.Client
	network *cluster.Network
}

// startEnv starts replicas as processes of the program. linked puts links between them that can be cut.
func startEnv(t *testing.T, replicas int, partitionable bool, extraConfig string) *testEnv {
	t.Helper()
	t.Parallel()
	block, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	env := &testEnv{T: t, ctx: ctx}
	options := cluster.Options{Program: proctest.Program(t, "milldeck"), DataDir: t.TempDir(), Addresses: block, ExtraConfig: extraConfig}
	if partitionable {
		env.network = cluster.NewNetwork(block)
		t.Cleanup(env.network.Close)
		options.Advertise = env.network.Advertise
	}
	env.cluster, err = cluster.Start(ctx, replicas, options)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(env.cluster.Logs())
		}
		env.cluster.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	if env.client, err = env.cluster.Client(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.client.Close)
	return env
}

func (b *testEnv) leader() *cluster.Replica {
	b.Helper()
	replica, err := b.cluster.AwaitLeader(b.ctx)
	if err != nil {
		b.Fatal(err)
	}
	return replica
}

// eventually waits for a condition, looking often; what is waited for always comes, the limit is for bugs.
func (b *testEnv) eventually(condition string, satisfied func() bool) {
	b.Helper()
	for !satisfied() {
		select {
		case <-b.ctx.Done():
			b.Fatalf("not within %v: %s", testTimeout, condition)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// status asks one replica; it is empty while that does not answer.
func (b *testEnv) status(replica *cluster.Replica) registry.Status {
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	status, err := b.client.ReplicaStatus(ctx, replica.HTTPAddr)
	if err != nil {
		return registry.Status{}
	}
	return status
}

func (b *testEnv) register(newcomer registry.Instance) registry.Result {
	b.Helper()
	result, err := b.client.Register(b.ctx, registry.WriteOptions{}, newcomer)
	if err != nil {
		b.Fatal(err)
	}
	return result
}

func newInstance(uid string, ordinal int) registry.Instance {
	return registry.Instance{Target: registry.Target{UID: uid, Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+ordinal%60000), State: registry.InstanceReady, Capacity: 1, BootMS: float64(ordinal)}}
}

// A register with compare-and-set, as porcupine sees one instance: its value is boot_ms.
type casInput struct {
	write  bool
	value  int
	expect uint64 // revision; 0: it must not be there
}

type casOutput struct {
	ok       bool // the write was done; of a read always
	revision uint64
	value    int
}

type casState struct {
	revision uint64
	value    int
}

var casModel = porcupine.Model{
	Init: func() any { return casState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(casState), input.(casInput), output.(casOutput)
		if !in.write {
			return out.revision == s.revision && out.value == s.value, s
		}
		match := in.expect == s.revision
		switch {
		case out.ok:
			return match && out.revision > s.revision, casState{revision: out.revision, value: in.value}
		default:
			return !match, s
		}
	},
}

// 1. The leader is killed amid a stream of writes, 50 seeded times: every acknowledged write is there, none twice,
// and the history is linearizable.
func TestLeaderKilledDuringWrites(t *testing.T) {
	env := startEnv(t, 3, false, "")
	const kills, writers = 50, 6
	ctx := env.ctx
	var stopping atomic.Bool // each call under way is ended, so that its outcome is known
	var mutex sync.Mutex
	var operations []porcupine.Operation
	began := time.Now()
	acked := map[string]registry.Result{}
	var writersDone sync.WaitGroup
	for w := range writers {
		writersDone.Go(func() {
			client, err := env.cluster.Client()
			if err != nil {
				t.Error(err)
				return
			}
			defer client.Close()
			random := rand.New(rand.NewPCG(1, uint64(w)))
			uid, revision := fmt.Sprintf("shared-%d", w/3), uint64(0) // three writers fight for one instance
			for attempt := 1; !stopping.Load(); attempt++ {
				value := attempt*writers + w
				// A write of its own, with an id: done once, whatever is lost.
				ownInstance := newInstance(fmt.Sprintf("own-%d-%d", w, attempt), value)
				if result, err := client.Register(ctx, registry.WriteOptions{}, ownInstance); err == nil {
					mutex.Lock()
					acked[ownInstance.UID] = result
					mutex.Unlock()
				}
				input := casInput{write: random.IntN(2) == 0, value: value, expect: revision}
				call := time.Since(began)
				var output casOutput
				if input.write {
					instance := newInstance(uid, 1)
					instance.BootMS = float64(value)
					instance.Capacity = 1
					result, err := client.Register(ctx, registry.WriteOptions{IfRevision: &input.expect}, instance)
					var status *registry.StatusError
					switch {
					case err == nil:
						output, revision = casOutput{ok: true, revision: result.Revision}, result.Revision
					case errors.As(err, &status) && (status.StatusCode == http.StatusConflict || status.StatusCode == http.StatusNotFound):
					default:
						t.Error(err)
						return
					}
				} else {
					instance, err := client.Get(ctx, uid, true)
					var status *registry.StatusError
					if err != nil && !(errors.As(err, &status) && status.StatusCode == http.StatusNotFound) {
						t.Error(err)
						return
					}
					output, revision = casOutput{ok: true, revision: instance.Revision, value: int(instance.BootMS)}, instance.Revision
				}
				mutex.Lock()
				operations = append(operations, porcupine.Operation{ClientId: w, Input: input, Call: int64(call), Output: output, Return: int64(time.Since(began))})
				mutex.Unlock()
			}
		})
	}
	random := rand.New(rand.NewPCG(2, 2))
	count := func() int { mutex.Lock(); defer mutex.Unlock(); return len(acked) }
	for range kills {
		after := count() + 1 + random.IntN(200) // a seeded moment amid the writes
		env.eventually("writes go on", func() bool { return count() >= after })
		victim := env.leader()
		victim.Process.Kill()
		env.leader()
		if err := victim.Start(); err != nil {
			t.Fatal(err)
		}
		env.eventually("the killed replica follows again", func() bool { return env.status(victim).Leader != "" })
	}
	stopping.Store(true)
	writersDone.Wait()
	// Register with a lower boot_ms than the entry's is refused whatever the revision: values only grow per writer,
	// so such a refusal looks like a conflict to the model; it is taken out of the history.
	byKey := map[int][]porcupine.Operation{}
	for _, op := range operations {
		byKey[op.ClientId/3] = append(byKey[op.ClientId/3], op)
	}
	for key, history := range byKey {
		if result := porcupine.CheckOperationsTimeout(casModel, withoutRejectedWrites(history), 20*time.Second); result != porcupine.Ok {
			t.Errorf("history of shared-%d with %d operations is not linearizable: %s", key, len(history), result)
		}
	}
	list, err := env.client.List(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	there := map[string]int{}
	for _, target := range list.Targets {
		there[target.UID]++
	}
	lost := 0
	for uid := range acked {
		if there[uid] != 1 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d acknowledged writes are not there, or twice", lost, len(acked))
	}
	t.Logf("%d kills, %d acknowledged writes, %d operations checked", kills, len(acked), len(operations))
}

// withoutRejectedWrites leaves out writes that were refused: a refusal has no effect, and may be for the boot time in
// place of the revision.
func withoutRejectedWrites(ops []porcupine.Operation) []porcupine.Operation {
	return slices.DeleteFunc(slices.Clone(ops), func(op porcupine.Operation) bool {
		return op.Input.(casInput).write && !op.Output.(casOutput).ok
	})
}

// 2. The leader is frozen past its lease and continued: it serves no write and no list as fresh.
func TestFrozenLeaderServesNoStaleReads(t *testing.T) {
	env := startEnv(t, 3, false, "")
	for round := range 3 {
		old := env.leader()
		env.register(newInstance("a", 2*round+1))
		if err := old.Pause(); err != nil {
			t.Fatal(err)
		}
		var others []string
		for _, replica := range env.cluster.Replicas {
			if replica != old {
				others = append(others, replica.HTTPAddr)
			}
		}
		majority, err := registry.NewClient(others)
		if err != nil {
			t.Fatal(err)
		}
		result, err := majority.Register(env.ctx, registry.WriteOptions{}, newInstance("a", 2*round+2))
		if err != nil {
			t.Fatal(err)
		}
		majority.Close()
		// What it says right after it goes on is asked for while it is still frozen.
		type response struct {
			fresh      string
			revision   uint64
			statusCode int
		}
		answers := make(chan response, 20)
		var wg sync.WaitGroup
		for range cap(answers) {
			wg.Go(func() {
				request, err := http.NewRequestWithContext(env.ctx, http.MethodGet, "http://"+old.HTTPAddr+"/registry/instances/a?fresh=1", nil)
				if err != nil {
					return
				}
				client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
				httpResponse, err := client.Do(request)
				if err != nil {
					return
				}
				defer httpResponse.Body.Close()
				var buffer bytes.Buffer
				buffer.ReadFrom(httpResponse.Body)
				_, after, _ := strings.Cut(buffer.String(), `"rev":`)
				revision, _ := strconv.ParseUint(strings.TrimRight(strings.SplitN(after, ",", 2)[0], "}\n "), 10, 64)
				answers <- response{httpResponse.Header.Get(registry.FreshHeader), revision, httpResponse.StatusCode}
			})
		}
		if err := old.Resume(); err != nil {
			t.Fatal(err)
		}
		wg.Wait()
		close(answers)
		for a := range answers {
			if a.statusCode == http.StatusOK && a.revision < result.Revision {
				t.Errorf("the thawed leader answers revision %d as fresh, %d was written since", a.revision, result.Revision)
			}
		}
		env.eventually("the old leader follows", func() bool { return env.status(old).Revision >= result.Revision })
	}
}

// 3. A minority is cut off: it still answers reads, marked with their age, expires nobody and accepts no write;
// after healing watchers see each change once and in order.
func TestMinorityPartition(t *testing.T) {
	env := startEnv(t, 3, true, "")
	leased := newInstance("leased", 1)
	leased.TTLMS = 1000
	keepAlive := registry.NewLeaseKeepAlive(env.client, leased)
	ctx, stopKeepAlive := context.WithCancel(env.ctx)
	var background sync.WaitGroup
	background.Go(func() { keepAlive.Run(ctx) })
	defer background.Wait()
	defer stopKeepAlive()
	env.eventually("it is registered", func() bool { _, err := env.client.Get(env.ctx, "leased", true); return err == nil })

	cut := env.leader()
	var mu sync.Mutex
	var seen []uint64
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		revision, epoch := uint64(0), uint64(0)
		for ctx.Err() == nil {
			env.client.WatchEndpoints(ctx, cut.HTTPAddr, revision, epoch, func(list *registry.EndpointList, _ time.Duration) error {
				if list != nil && list.Revision > revision {
					revision, epoch = list.Revision, list.Epoch
					mu.Lock()
					for range list.Targets {
						seen = append(seen, list.Revision)
					}
					mu.Unlock()
				}
				return nil
			})
		}
	}()
	env.eventually("the watch is up", func() bool { mu.Lock(); defer mu.Unlock(); return len(seen) > 0 })

	env.network.Partition(cut.Index, 3, true)
	env.eventually("the cut leader steps down", func() bool { return env.status(cut).Role != "Leader" })
	one, err := registry.NewClient([]string{cut.HTTPAddr})
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	short, cancel := context.WithTimeout(env.ctx, 2*time.Second)
	if _, err := one.Register(short, registry.WriteOptions{}, newInstance("refused", 2)); err == nil {
		t.Error("a replica that is cut off accepts a write")
	}
	cancel()
	env.eventually("its age grows past the lease", func() bool { return env.status(cut).AgeMS > 1500 })
	list, err := one.List(env.ctx, false)
	if err != nil || len(list.Targets) != 1 {
		t.Errorf("a replica that is cut off answers %+v: %v", list, err)
	}
	// The others have a leader; who missed no renewal there is still there.
	var majorityAddrs []string
	for _, replica := range env.cluster.Replicas {
		if replica != cut {
			majorityAddrs = append(majorityAddrs, replica.HTTPAddr)
		}
	}
	majority, err := registry.NewClient(majorityAddrs)
	if err != nil {
		t.Fatal(err)
	}
	defer majority.Close()
	last := uint64(0)
	for n := range 5 {
		res, err := majority.Register(env.ctx, registry.WriteOptions{}, newInstance(fmt.Sprint("w", n), n))
		if err != nil {
			t.Fatal(err)
		}
		last = res.Revision
	}
	env.network.Partition(cut.Index, 3, false)
	env.eventually("the watcher has all", func() bool { mu.Lock(); defer mu.Unlock(); return len(seen) > 0 && seen[len(seen)-1] >= last })
	mu.Lock()
	defer mu.Unlock()
	if !slices.IsSorted(seen) || len(slices.Compact(slices.Clone(seen))) != len(seen) {
		t.Errorf("changes came twice or out of order: %v", seen)
	}
	if list, err := env.client.List(env.ctx, true); err != nil || len(list.Targets) != 6 {
		t.Errorf("%d instances, want the leased one and five: %v", len(list.Targets), err)
	}
}

// flipByte flips a byte in a file, at a part of its length.
func flipByte(t *testing.T, path string, fraction float64) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[int(fraction*float64(len(data)))] ^= 0xff
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// 4. All replicas are killed together in mid-write and started again; a store that is torn makes its replica refuse
// with one clear line while the others go on, and a member replaced from empty catches up by snapshot.
func TestAllReplicasKilledAndCorruptStores(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 50")
	ctx, stop := context.WithCancel(env.ctx)
	acked := map[string]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				instance := newInstance(fmt.Sprintf("w%d-%d", w, n%100), 1)
				instance.BootMS = float64(n)
				if _, err := env.client.Register(ctx, registry.WriteOptions{}, instance); err == nil {
					mu.Lock()
					acked[instance.UID] = true
					mu.Unlock()
				}
			}
		})
	}
	env.eventually("snapshots are made", func() bool {
		for _, replica := range env.cluster.Replicas {
			found, err := filepath.Glob(filepath.Join(replica.DataDir, "snapshots", "*[0-9]", "state.bin"))
			if err != nil || len(found) == 0 {
				return false
			}
		}
		return true
	})
	for _, replica := range env.cluster.Replicas {
		replica.Process.Kill()
	}
	stop()
	wg.Wait()

	// One has a flipped byte in its newest snapshot; one's log has lost its tail.
	victim := env.cluster.Replicas[0]
	snapshots, err := filepath.Glob(filepath.Join(victim.DataDir, "snapshots", "*[0-9]", "state.bin")) // others are unfinished
	if err != nil || len(snapshots) == 0 {
		t.Fatal("no snapshot", err)
	}
	for _, path := range snapshots {
		flipByte(t, path, 0.6)
	}
	for _, replica := range env.cluster.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	failsToStart := func(replica *cluster.Replica, reason string) {
		t.Helper()
		select {
		case <-replica.Process.Done():
		case <-time.After(20 * time.Second):
			t.Fatalf("with a torn %s replica %d goes on", reason, replica.Index)
		}
		lines := strings.Split(strings.TrimSpace(replica.Process.Log()), "\n")
		last := lines[len(lines)-1]
		if replica.Process.Exit() == nil || !strings.HasPrefix(last, "milldeck: ") || !strings.Contains(last, reason) {
			t.Errorf("it ended with %v and said %q, want a line about %q", replica.Process.Exit(), last, reason)
		}
	}
	failsToStart(victim, "snapshot")
	env.leader()
	list, err := env.client.List(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	there := map[string]bool{}
	for _, target := range list.Targets {
		there[target.UID] = true
	}
	for uid := range acked {
		if !there[uid] {
			t.Errorf("%s was acknowledged and is not there", uid)
		}
	}

	// Replaced from empty it catches up by snapshot: the log before it is gone at the others.
	replaceFromEmpty := func(replica *cluster.Replica) {
		t.Helper()
		if err := os.RemoveAll(replica.DataDir); err != nil {
			t.Fatal(err)
		}
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
		env.eventually("the replaced replica catches up", func() bool {
			return env.status(replica).Revision == list.Revision && env.status(replica).Instances == len(list.Targets)
		})
		if found, err := filepath.Glob(filepath.Join(replica.DataDir, "snapshots", "*", "state.bin")); err != nil || len(found) == 0 {
			t.Errorf("it caught up without a snapshot: %v", err)
		}
	}
	replaceFromEmpty(victim)

	// A flipped byte in the store, and a store cut short.
	for name, damage := range map[string]func(string){
		"flipped": func(path string) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			at := bytes.LastIndex(data, []byte(`"instances":[{"uid"`))
			if at < 0 {
				t.Fatal("no record in the store")
			}
			for k := 0; ; { // in every copy that the store holds of records
				n := bytes.Index(data[k:], []byte(`"instances":[{"uid"`))
				if n < 0 {
					break
				}
				data[k+n+3] ^= 0x20
				k += n + 1
			}
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"torn": func(path string) {
			if err := os.Truncate(path, 6000); err != nil {
				t.Fatal(err)
			}
		},
	} {
		victim := env.cluster.Replicas[1]
		victim.Process.Kill()
		damage(filepath.Join(victim.DataDir, "raft.db"))
		if err := victim.Start(); err != nil {
			t.Fatal(err)
		}
		failsToStart(victim, victim.DataDir)
		env.leader() // the others go on
		if _, err := env.client.List(env.ctx, true); err != nil {
			t.Error(name, err)
		}
		replaceFromEmpty(victim)
	}

	// A folder that cannot be made, and a disk that is full: the limit on the size of its files stands in for it.
	if out, err := exec.Command(env.cluster.Replicas[0].Process.Path(), "registry", "serve", "--config", unwritableConfig(t, env)).CombinedOutput(); err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "dir") {
		t.Errorf("a folder that cannot be made: %v, said %q", err, out)
	}
}

// unwritableConfig is a configuration whose folder cannot be made, whoever runs the test.
func unwritableConfig(t *testing.T, env *testEnv) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "replica.toml")
	text := "http = \"127.0.0.1:0\"\nraft = \"127.0.0.1:0\"\ndir = \"/proc/none/of/this\"\n"
	text = strings.ReplaceAll(text, "127.0.0.1:0", "127.0.0.1:1")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// 4, the full disk: a replica whose store cannot grow takes no part; the others go on, and it is back when there is
// room again.
func TestFullDisk(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 100000")
	victim := env.cluster.Replicas[0]
	if err := victim.Process.LimitFiles(256 << 10); err != nil {
		t.Fatal(err)
	}
	batch := make([]registry.Instance, 200)
	for n := range 20 {
		for k := range batch {
			batch[k] = newInstance(fmt.Sprintf("%s-%d", strings.Repeat("x", 90), k), n)
		}
		if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, batch...); err != nil {
			t.Fatal(err)
		}
	}
	result := env.register(newInstance("last", 1))
	env.leader()
	victim.Process.Kill()
	if err := victim.Start(); err != nil {
		t.Fatal(err)
	}
	env.eventually("with room again it catches up", func() bool { return env.status(victim).Revision >= result.Revision })
}

// 5. The cluster is restored from an older backup: the epoch says so, and no revision goes back.
func TestRestoreFromOlderBackup(t *testing.T) {
	env := startEnv(t, 3, false, "")
	env.register(newInstance("old", 1))
	backup, err := env.client.SaveSnapshot(env.ctx)
	if err != nil {
		t.Fatal(err)
	}
	env.register(newInstance("new", 2))
	before, err := env.client.List(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := env.client.RestoreSnapshot(env.ctx, append([]byte("x"), backup...)); err == nil {
		t.Error("a spoilt backup was taken")
	}
	if _, err := env.client.RestoreSnapshot(env.ctx, backup); err != nil {
		t.Fatal(err)
	}
	after, err := env.client.List(env.ctx, true)
	if err != nil || len(after.Targets) != 1 || after.Epoch == before.Epoch || after.Revision <= before.Revision {
		t.Errorf("after the restore %+v (%v), before %+v", after, err, before)
	}
	// A cursor of the old epoch gets the whole list from every replica.
	for _, replica := range env.cluster.Replicas {
		env.eventually("the replica has the restored list", func() bool { return env.status(replica).Revision == after.Revision })
		ctx, cancel := context.WithCancel(env.ctx)
		err := env.client.WatchEndpoints(ctx, replica.HTTPAddr, before.Revision, before.Epoch, func(list *registry.EndpointList, _ time.Duration) error {
			if !list.Full || len(list.Targets) != 1 {
				t.Errorf("a watcher of the old epoch is told %+v", list)
			}
			cancel()
			return nil
		})
		if !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

// 7. Every instance misses its renewals for longer than its time to live because the registry was away: nobody is
// removed.
func TestRegistryOutageLongerThanLeases(t *testing.T) {
	env := startEnv(t, 3, false, "")
	var all []registry.Instance
	for n := range 30 {
		instance := newInstance(fmt.Sprint("i", n), n)
		instance.TTLMS = 1000
		all = append(all, instance)
	}
	ctx, cancel := context.WithCancel(env.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { registry.NewLeaseKeepAlive(env.client, all...).Run(ctx) })
	env.eventually("all are registered", func() bool { list, err := env.client.List(env.ctx, true); return err == nil && len(list.Targets) == 30 })
	removed := make(chan string, 100)
	go func() {
		revision, epoch := uint64(0), uint64(0)
		for at := 0; ctx.Err() == nil; at++ {
			env.client.WatchEndpoints(ctx, env.cluster.Replicas[at%3].HTTPAddr, revision, epoch, func(list *registry.EndpointList, _ time.Duration) error {
				if list != nil {
					revision, epoch = list.Revision, list.Epoch
					for _, target := range list.Targets {
						if target.State == registry.InstanceRemoved {
							removed <- target.UID
						}
					}
				}
				return nil
			})
		}
	}()
	for _, replica := range env.cluster.Replicas {
		replica.Process.Kill()
	}
	// Away for three leases. The time itself is what is tested.
	select {
	case <-time.After(3 * time.Second):
	case <-env.ctx.Done():
	}
	for _, replica := range env.cluster.Replicas {
		if err := replica.Start(); err != nil {
			t.Fatal(err)
		}
	}
	env.leader()
	leaderSince := time.Now()
	env.eventually("two leases have passed under the new leader", func() bool { return time.Since(leaderSince) > 2*time.Second })
	list, err := env.client.List(env.ctx, true)
	if err != nil || len(list.Targets) != 30 {
		t.Errorf("%d instances are left: %v", len(list.Targets), err)
	}
	select {
	case uid := <-removed:
		t.Errorf("%s was told as gone", uid)
	default:
	}
	cancel()
	wg.Wait()
}

// Many leases that end at once are held back until an operator decides.
func TestMassExpiryIsHeldBack(t *testing.T) {
	env := startEnv(t, 1, false, "")
	var all []registry.Instance
	for n := range 10 {
		instance := newInstance(fmt.Sprint("i", n), n)
		instance.TTLMS = 600
		all = append(all, instance)
	}
	if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, all...); err != nil {
		t.Fatal(err)
	}
	replica := env.cluster.Replicas[0]
	// Eight never renew; two do.
	renew := func() bool {
		_, err := env.client.RenewInstances(env.ctx, []string{"i8", "i9"})
		return err == nil && env.status(replica).Suspects == 8
	}
	env.eventually("eight are held back", renew)
	if status := env.status(replica); status.Instances != 10 {
		t.Errorf("%d instances are left of 10", status.Instances)
	}
	if _, err := env.client.RenewInstances(env.ctx, []string{"i0"}); err != nil {
		t.Fatal(err)
	}
	if status := env.status(replica); status.Suspects != 7 {
		t.Errorf("after a renewal %d are held back, want 7", status.Suspects)
	}
	if _, err := env.client.ResolveSuspects(env.ctx, true); err != nil {
		t.Fatal(err)
	}
	if status := env.status(replica); status.Instances != 3 || status.Suspects != 0 {
		t.Errorf("after the decision %+v", status)
	}
}

// 8. The same uid from two addresses; a restart with a new boot_ms; deregister racing with renew. And bad input:
// one line that names the field, and nothing changed.
func TestContendingWrites(t *testing.T) {
	env := startEnv(t, 1, false, "")
	first := newInstance("u", 1)
	first.BootMS, first.TTLMS = 100, 60_000
	env.register(first)
	other := first
	other.Endpoint = "127.0.0.1:2"
	var status *registry.StatusError
	if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, other); !errors.As(err, &status) || status.StatusCode != http.StatusConflict {
		t.Errorf("a second process with the uid and no later start: %v", err)
	}
	other.BootMS = 200
	env.register(other)
	if _, err := env.client.Register(env.ctx, registry.WriteOptions{}, first); !errors.As(err, &status) || status.StatusCode != http.StatusConflict {
		t.Errorf("the old process comes back: %v", err)
	}
	id := registry.NewID()
	result, err := env.client.Deregister(env.ctx, registry.WriteOptions{ID: id}, "u")
	if err != nil {
		t.Fatal(err)
	}
	if again, err := env.client.Deregister(env.ctx, registry.WriteOptions{ID: id}, "u"); err != nil || again != result {
		t.Errorf("the same write again: %+v, want %+v: %v", again, result, err)
	}
	if renewed, err := env.client.RenewInstances(env.ctx, []string{"u"}); err != nil || !slices.Equal(renewed.Unknown, []string{"u"}) {
		t.Errorf("a renewal after the end: %+v %v", renewed, err)
	}
	if list, err := env.client.List(env.ctx, true); err != nil || len(list.Targets) != 0 {
		t.Errorf("a renewal has brought it back: %+v %v", list, err)
	}

	before := env.status(env.cluster.Replicas[0]).AppliedIndex
	for _, tc := range []struct{ path, body, want string }{
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"nowhere"}]}`, "targets[0].endpoint"},
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"127.0.0.1:1","ttl_ms":-5}]}`, "ttl_ms"},
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"127.0.0.1:1","state":"Happy"}]}`, "state"},
		{"/registry/instances", `{"targets":[{"uid":"x","endpoint":"127.0.0.1:1","capacity_hint":-1}]}`, "capacity_hint"},
		{"/registry/instances", `{"targets":[]}`, "targets"},
		{"/registry/instances", `{"targets":7}`, "targets"},
		{"/registry/instances", `no json`, "invalid"},
		{"/registry/state", `{"uid":"x","state":"Gone"}`, "state"},
		{"/registry/renew", `{"uids":[]}`, "uids"},
		{"/registry/instances", `{"id":"` + strings.Repeat("x", 5<<20) + `"}`, "body"},
	} {
		response, err := http.Post("http://"+env.cluster.Replicas[0].HTTPAddr+tc.path, "application/json", strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		var body bytes.Buffer
		body.ReadFrom(response.Body)
		response.Body.Close()
		if response.StatusCode < 400 || response.StatusCode > 499 || strings.Count(body.String(), "\n") != 1 || !strings.Contains(body.String(), tc.want) {
			t.Errorf("%.60s: %d, %q, want 4xx and one line with %q", tc.body, response.StatusCode, body.String(), tc.want)
		}
	}
	if after := env.status(env.cluster.Replicas[0]).AppliedIndex; after != before {
		t.Errorf("bad input has reached the log: %d entries", after-before)
	}
}

// Members are taken in and out while the cluster runs.
func TestMembershipChange(t *testing.T) {
	env := startEnv(t, 3, false, "")
	env.register(newInstance("a", 1))
	added, err := env.cluster.Add()
	if err != nil {
		t.Fatal(err)
	}
	env.eventually("the new replica listens", func() bool { return env.status(added).HTTPAddr != "" })
	if _, err := env.client.AddMember(env.ctx, added.Member()); err != nil {
		t.Fatal(err)
	}
	env.eventually("the new replica has the list", func() bool { return env.status(added).Instances == 1 })
	removed := env.leader()
	members, err := env.client.RemoveMember(env.ctx, removed.HTTPAddr)
	if err != nil || len(members) != 3 {
		t.Fatalf("%v: %v", members, err)
	}
	removed.Process.Kill()
	env.register(newInstance("b", 2))
	env.eventually("the new replica follows the new leader", func() bool { return env.status(added).Instances == 2 })
}
