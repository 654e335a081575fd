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

// limit bounds each test's waiting; hardly any needs a tenth of it.
const limit = 150 * time.Second

type bed struct {
	*testing.T
	ctx    context.Context
	c      *cluster.Cluster
	client *registry.Client
	links  *cluster.Links
}

// start starts replicas as processes of the program. linked puts links between them that can be cut.
func start(t *testing.T, n int, linked bool, more string) *bed {
	t.Helper()
	t.Parallel()
	block, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	b := &bed{T: t, ctx: ctx}
	o := cluster.Options{Program: proctest.Program(t, "milldeck"), Dir: t.TempDir(), Block: block, More: more}
	if linked {
		b.links = cluster.NewLinks(block)
		t.Cleanup(b.links.Close)
		o.Advertise = b.links.Advertise
	}
	b.c, err = cluster.Start(ctx, n, o)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(b.c.Logs())
		}
		b.c.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	if b.client, err = b.c.Client(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.client.Close)
	return b
}

func (b *bed) leader() *cluster.Replica {
	b.Helper()
	r, err := b.c.Leader(b.ctx)
	if err != nil {
		b.Fatal(err)
	}
	return r
}

// until waits for a condition, looking often; what is waited for always comes, the limit is for bugs.
func (b *bed) until(what string, done func() bool) {
	b.Helper()
	for !done() {
		select {
		case <-b.ctx.Done():
			b.Fatalf("not within %v: %s", limit, what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// status asks one replica; it is empty while that does not answer.
func (b *bed) status(r *cluster.Replica) registry.Status {
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	st, err := b.client.StatusOf(ctx, r.HTTP)
	if err != nil {
		return registry.Status{}
	}
	return st
}

func (b *bed) register(i registry.Instance) registry.Result {
	b.Helper()
	res, err := b.client.Register(b.ctx, registry.Write{}, i)
	if err != nil {
		b.Fatal(err)
	}
	return res
}

func instance(uid string, n int) registry.Instance {
	return registry.Instance{Target: registry.Target{UID: uid, Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+n%60000), State: registry.Ready, Capacity: 1, BootMS: float64(n)}}
}

// A register with compare-and-set, as porcupine sees one instance: its value is boot_ms.
type casInput struct {
	write  bool
	value  int
	expect uint64 // revision; 0: it must not be there
}

type casOutput struct {
	ok    bool // the write was done; of a read always
	rev   uint64
	value int
}

type casState struct {
	rev   uint64
	value int
}

var casModel = porcupine.Model{
	Init: func() any { return casState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(casState), input.(casInput), output.(casOutput)
		if !in.write {
			return out.rev == s.rev && out.value == s.value, s
		}
		match := in.expect == s.rev
		switch {
		case out.ok:
			return match && out.rev > s.rev, casState{rev: out.rev, value: in.value}
		default:
			return !match, s
		}
	},
}

// 1. The leader is killed amid a stream of writes, 50 seeded times: every acknowledged write is there, none twice,
// and the history is linearizable.
func TestLeaderKilledAmidWrites(t *testing.T) {
	b := start(t, 3, false, "")
	const kills, writers = 50, 6
	ctx := b.ctx
	var stopping atomic.Bool // each call under way is ended, so that its outcome is known
	var mu sync.Mutex
	var ops []porcupine.Operation
	began := time.Now()
	acked := map[string]registry.Result{}
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			client, err := b.c.Client()
			if err != nil {
				t.Error(err)
				return
			}
			defer client.Close()
			rng := rand.New(rand.NewPCG(1, uint64(w)))
			uid, rev := fmt.Sprintf("shared-%d", w/3), uint64(0) // three writers fight for one instance
			for n := 1; !stopping.Load(); n++ {
				value := n*writers + w
				// A write of its own, with an id: done once, whatever is lost.
				own := instance(fmt.Sprintf("own-%d-%d", w, n), value)
				if res, err := client.Register(ctx, registry.Write{}, own); err == nil {
					mu.Lock()
					acked[own.UID] = res
					mu.Unlock()
				}
				in := casInput{write: rng.IntN(2) == 0, value: value, expect: rev}
				call := time.Since(began)
				var out casOutput
				if in.write {
					i := instance(uid, 1)
					i.BootMS = float64(value)
					i.Capacity = 1
					res, err := client.Register(ctx, registry.Write{IfRev: &in.expect}, i)
					var status *registry.StatusError
					switch {
					case err == nil:
						out, rev = casOutput{ok: true, rev: res.Rev}, res.Rev
					case errors.As(err, &status) && (status.Status == http.StatusConflict || status.Status == http.StatusNotFound):
					default:
						t.Error(err)
						return
					}
				} else {
					i, err := client.Get(ctx, uid, true)
					var status *registry.StatusError
					if err != nil && !(errors.As(err, &status) && status.Status == http.StatusNotFound) {
						t.Error(err)
						return
					}
					out, rev = casOutput{ok: true, rev: i.Rev, value: int(i.BootMS)}, i.Rev
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: w, Input: in, Call: int64(call), Output: out, Return: int64(time.Since(began))})
				mu.Unlock()
			}
		})
	}
	rng := rand.New(rand.NewPCG(2, 2))
	count := func() int { mu.Lock(); defer mu.Unlock(); return len(acked) }
	for range kills {
		after := count() + 1 + rng.IntN(200) // a seeded moment amid the writes
		b.until("writes go on", func() bool { return count() >= after })
		r := b.leader()
		r.Proc.Kill()
		b.leader()
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		b.until("the killed replica follows again", func() bool { return b.status(r).Leader != "" })
	}
	stopping.Store(true)
	wg.Wait()
	// Register with a lower boot_ms than the entry's is refused whatever the revision: values only grow per writer,
	// so such a refusal looks like a conflict to the model; it is taken out of the history.
	byKey := map[int][]porcupine.Operation{}
	for _, op := range ops {
		byKey[op.ClientId/3] = append(byKey[op.ClientId/3], op)
	}
	for key, history := range byKey {
		if res := porcupine.CheckOperationsTimeout(casModel, withoutOldBoots(history), 20*time.Second); res != porcupine.Ok {
			t.Errorf("history of shared-%d with %d operations is not linearizable: %s", key, len(history), res)
		}
	}
	l, err := b.client.List(b.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	there := map[string]int{}
	for _, x := range l.Targets {
		there[x.UID]++
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
	t.Logf("%d kills, %d acknowledged writes, %d operations checked", kills, len(acked), len(ops))
}

// withoutOldBoots leaves out writes that were refused: a refusal has no effect, and may be for the boot time in
// place of the revision.
func withoutOldBoots(ops []porcupine.Operation) []porcupine.Operation {
	return slices.DeleteFunc(slices.Clone(ops), func(op porcupine.Operation) bool {
		return op.Input.(casInput).write && !op.Output.(casOutput).ok
	})
}

// 2. The leader is frozen past its lease and continued: it serves no write and no list as fresh.
func TestFrozenLeaderServesNothingFresh(t *testing.T) {
	b := start(t, 3, false, "")
	for n := range 3 {
		old := b.leader()
		b.register(instance("a", 2*n+1))
		if err := old.Freeze(); err != nil {
			t.Fatal(err)
		}
		var others []string
		for _, r := range b.c.Replicas {
			if r != old {
				others = append(others, r.HTTP)
			}
		}
		rest, err := registry.NewClient(others)
		if err != nil {
			t.Fatal(err)
		}
		res, err := rest.Register(b.ctx, registry.Write{}, instance("a", 2*n+2))
		if err != nil {
			t.Fatal(err)
		}
		rest.Close()
		// What it says right after it goes on is asked for while it is still frozen.
		type said struct {
			fresh string
			rev   uint64
			code  int
		}
		answers := make(chan said, 20)
		var wg sync.WaitGroup
		for range cap(answers) {
			wg.Go(func() {
				req, err := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+old.HTTP+"/registry/instances/a?fresh=1", nil)
				if err != nil {
					return
				}
				client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
				resp, err := client.Do(req)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				var buf bytes.Buffer
				buf.ReadFrom(resp.Body)
				_, after, _ := strings.Cut(buf.String(), `"rev":`)
				rev, _ := strconv.ParseUint(strings.TrimRight(strings.SplitN(after, ",", 2)[0], "}\n "), 10, 64)
				answers <- said{resp.Header.Get(registry.FreshHeader), rev, resp.StatusCode}
			})
		}
		if err := old.Thaw(); err != nil {
			t.Fatal(err)
		}
		wg.Wait()
		close(answers)
		for a := range answers {
			if a.code == http.StatusOK && a.rev < res.Rev {
				t.Errorf("the thawed leader answers revision %d as fresh, %d was written since", a.rev, res.Rev)
			}
		}
		b.until("the old leader follows", func() bool { return b.status(old).Rev >= res.Rev })
	}
}

// 3. A minority is cut off: it still answers reads, marked with their age, expires nobody and accepts no write;
// after healing watchers see each change once and in order.
func TestMinorityCutOff(t *testing.T) {
	b := start(t, 3, true, "")
	i := instance("leased", 1)
	i.TTLMS = 1000
	keeper := registry.NewKeeper(b.client, i)
	ctx, stop := context.WithCancel(b.ctx)
	var kept sync.WaitGroup
	kept.Go(func() { keeper.Run(ctx) })
	defer kept.Wait()
	defer stop()
	b.until("it is registered", func() bool { _, err := b.client.Get(b.ctx, "leased", true); return err == nil })

	cut := b.leader()
	var mu sync.Mutex
	var seen []uint64
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		rev, epoch := uint64(0), uint64(0)
		for ctx.Err() == nil {
			b.client.WatchReplica(ctx, cut.HTTP, rev, epoch, func(l *registry.List, _ time.Duration) error {
				if l != nil && l.Rev > rev {
					rev, epoch = l.Rev, l.Epoch
					mu.Lock()
					for range l.Targets {
						seen = append(seen, l.Rev)
					}
					mu.Unlock()
				}
				return nil
			})
		}
	}()
	b.until("the watch is up", func() bool { mu.Lock(); defer mu.Unlock(); return len(seen) > 0 })

	b.links.Cut(cut.N, 3, true)
	b.until("the cut leader steps down", func() bool { return b.status(cut).Role != "Leader" })
	one, err := registry.NewClient([]string{cut.HTTP})
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	short, cancel := context.WithTimeout(b.ctx, 2*time.Second)
	if _, err := one.Register(short, registry.Write{}, instance("refused", 2)); err == nil {
		t.Error("a replica that is cut off accepts a write")
	}
	cancel()
	b.until("its age grows past the lease", func() bool { return b.status(cut).AgeMS > 1500 })
	l, err := one.List(b.ctx, false)
	if err != nil || len(l.Targets) != 1 {
		t.Errorf("a replica that is cut off answers %+v: %v", l, err)
	}
	// The others have a leader; who missed no renewal there is still there.
	var rest []string
	for _, r := range b.c.Replicas {
		if r != cut {
			rest = append(rest, r.HTTP)
		}
	}
	majority, err := registry.NewClient(rest)
	if err != nil {
		t.Fatal(err)
	}
	defer majority.Close()
	last := uint64(0)
	for n := range 5 {
		res, err := majority.Register(b.ctx, registry.Write{}, instance(fmt.Sprint("w", n), n))
		if err != nil {
			t.Fatal(err)
		}
		last = res.Rev
	}
	b.links.Cut(cut.N, 3, false)
	b.until("the watcher has all", func() bool { mu.Lock(); defer mu.Unlock(); return len(seen) > 0 && seen[len(seen)-1] >= last })
	mu.Lock()
	defer mu.Unlock()
	if !slices.IsSorted(seen) || len(slices.Compact(slices.Clone(seen))) != len(seen) {
		t.Errorf("changes came twice or out of order: %v", seen)
	}
	if l, err := b.client.List(b.ctx, true); err != nil || len(l.Targets) != 6 {
		t.Errorf("%d instances, want the leased one and five: %v", len(l.Targets), err)
	}
}

// corrupt flips a byte in a file, at a part of its length.
func corrupt(t *testing.T, path string, at float64) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[int(at*float64(len(data)))] ^= 0xff
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// 4. All replicas are killed together in mid-write and started again; a store that is torn makes its replica refuse
// with one clear line while the others go on, and a member replaced from empty catches up by snapshot.
func TestAllKilledAndTornStores(t *testing.T) {
	b := start(t, 3, false, "snapshot_every = 50")
	ctx, stop := context.WithCancel(b.ctx)
	acked := map[string]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				i := instance(fmt.Sprintf("w%d-%d", w, n%100), 1)
				i.BootMS = float64(n)
				if _, err := b.client.Register(ctx, registry.Write{}, i); err == nil {
					mu.Lock()
					acked[i.UID] = true
					mu.Unlock()
				}
			}
		})
	}
	b.until("snapshots are made", func() bool {
		for _, r := range b.c.Replicas {
			found, err := filepath.Glob(filepath.Join(r.Dir, "snapshots", "*[0-9]", "state.bin"))
			if err != nil || len(found) == 0 {
				return false
			}
		}
		return true
	})
	for _, r := range b.c.Replicas {
		r.Proc.Kill()
	}
	stop()
	wg.Wait()

	// One has a flipped byte in its newest snapshot; one's log has lost its tail.
	victim := b.c.Replicas[0]
	snaps, err := filepath.Glob(filepath.Join(victim.Dir, "snapshots", "*[0-9]", "state.bin")) // others are unfinished
	if err != nil || len(snaps) == 0 {
		t.Fatal("no snapshot", err)
	}
	for _, path := range snaps {
		corrupt(t, path, 0.6)
	}
	for _, r := range b.c.Replicas {
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	refuses := func(r *cluster.Replica, why string) {
		t.Helper()
		select {
		case <-r.Proc.Done():
		case <-time.After(20 * time.Second):
			t.Fatalf("with a torn %s replica %d goes on", why, r.N)
		}
		lines := strings.Split(strings.TrimSpace(r.Proc.Log()), "\n")
		last := lines[len(lines)-1]
		if r.Proc.Exit() == nil || !strings.HasPrefix(last, "milldeck: ") || !strings.Contains(last, why) {
			t.Errorf("it ended with %v and said %q, want a line about %q", r.Proc.Exit(), last, why)
		}
	}
	refuses(victim, "snapshot")
	b.leader()
	l, err := b.client.List(b.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	there := map[string]bool{}
	for _, x := range l.Targets {
		there[x.UID] = true
	}
	for uid := range acked {
		if !there[uid] {
			t.Errorf("%s was acknowledged and is not there", uid)
		}
	}

	// Replaced from empty it catches up by snapshot: the log before it is gone at the others.
	replace := func(r *cluster.Replica) {
		t.Helper()
		if err := os.RemoveAll(r.Dir); err != nil {
			t.Fatal(err)
		}
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		b.until("the replaced replica catches up", func() bool { return b.status(r).Rev == l.Rev && b.status(r).Instances == len(l.Targets) })
		if found, err := filepath.Glob(filepath.Join(r.Dir, "snapshots", "*", "state.bin")); err != nil || len(found) == 0 {
			t.Errorf("it caught up without a snapshot: %v", err)
		}
	}
	replace(victim)

	// A flipped byte in the store, and a store cut short.
	for name, spoil := range map[string]func(string){
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
		victim := b.c.Replicas[1]
		victim.Proc.Kill()
		spoil(filepath.Join(victim.Dir, "raft.db"))
		if err := victim.Start(); err != nil {
			t.Fatal(err)
		}
		refuses(victim, victim.Dir)
		b.leader() // the others go on
		if _, err := b.client.List(b.ctx, true); err != nil {
			t.Error(name, err)
		}
		replace(victim)
	}

	// A folder that cannot be made, and a disk that is full: the limit on the size of its files stands in for it.
	if out, err := exec.Command(b.c.Replicas[0].Proc.Path(), "registry", "serve", "--config", unwritable(t, b)).CombinedOutput(); err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "dir") {
		t.Errorf("a folder that cannot be made: %v, said %q", err, out)
	}
}

// unwritable is a configuration whose folder cannot be made, whoever runs the test.
func unwritable(t *testing.T, b *bed) string {
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
	b := start(t, 3, false, "snapshot_every = 100000")
	victim := b.c.Replicas[0]
	if err := victim.Proc.LimitFiles(256 << 10); err != nil {
		t.Fatal(err)
	}
	big := make([]registry.Instance, 200)
	for n := range 20 {
		for k := range big {
			big[k] = instance(fmt.Sprintf("%s-%d", strings.Repeat("x", 90), k), n)
		}
		if _, err := b.client.Register(b.ctx, registry.Write{}, big...); err != nil {
			t.Fatal(err)
		}
	}
	res := b.register(instance("last", 1))
	b.leader()
	victim.Proc.Kill()
	if err := victim.Start(); err != nil {
		t.Fatal(err)
	}
	b.until("with room again it catches up", func() bool { return b.status(victim).Rev >= res.Rev })
}

// 5. The cluster is restored from an older backup: the epoch says so, and no revision goes back.
func TestRestoreFromOlderBackup(t *testing.T) {
	b := start(t, 3, false, "")
	b.register(instance("old", 1))
	backup, err := b.client.SaveSnapshot(b.ctx)
	if err != nil {
		t.Fatal(err)
	}
	b.register(instance("new", 2))
	before, err := b.client.List(b.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.client.RestoreSnapshot(b.ctx, append([]byte("x"), backup...)); err == nil {
		t.Error("a spoilt backup was taken")
	}
	if _, err := b.client.RestoreSnapshot(b.ctx, backup); err != nil {
		t.Fatal(err)
	}
	after, err := b.client.List(b.ctx, true)
	if err != nil || len(after.Targets) != 1 || after.Epoch == before.Epoch || after.Rev <= before.Rev {
		t.Errorf("after the restore %+v (%v), before %+v", after, err, before)
	}
	// A cursor of the old epoch gets the whole list from every replica.
	for _, r := range b.c.Replicas {
		b.until("the replica has the restored list", func() bool { return b.status(r).Rev == after.Rev })
		ctx, cancel := context.WithCancel(b.ctx)
		err := b.client.WatchReplica(ctx, r.HTTP, before.Rev, before.Epoch, func(l *registry.List, _ time.Duration) error {
			if !l.All || len(l.Targets) != 1 {
				t.Errorf("a watcher of the old epoch is told %+v", l)
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
func TestRegistryAwayLongerThanLeases(t *testing.T) {
	b := start(t, 3, false, "")
	var all []registry.Instance
	for n := range 30 {
		i := instance(fmt.Sprint("i", n), n)
		i.TTLMS = 1000
		all = append(all, i)
	}
	ctx, stop := context.WithCancel(b.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { registry.NewKeeper(b.client, all...).Run(ctx) })
	b.until("all are registered", func() bool { l, err := b.client.List(b.ctx, true); return err == nil && len(l.Targets) == 30 })
	gone := make(chan string, 100)
	go func() {
		rev, epoch := uint64(0), uint64(0)
		for at := 0; ctx.Err() == nil; at++ {
			b.client.WatchReplica(ctx, b.c.Replicas[at%3].HTTP, rev, epoch, func(l *registry.List, _ time.Duration) error {
				if l != nil {
					rev, epoch = l.Rev, l.Epoch
					for _, x := range l.Targets {
						if x.State == registry.Gone {
							gone <- x.UID
						}
					}
				}
				return nil
			})
		}
	}()
	for _, r := range b.c.Replicas {
		r.Proc.Kill()
	}
	// Away for three leases. The time itself is what is tested.
	select {
	case <-time.After(3 * time.Second):
	case <-b.ctx.Done():
	}
	for _, r := range b.c.Replicas {
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
	}
	b.leader()
	led := time.Now()
	b.until("two leases have passed under the new leader", func() bool { return time.Since(led) > 2*time.Second })
	l, err := b.client.List(b.ctx, true)
	if err != nil || len(l.Targets) != 30 {
		t.Errorf("%d instances are left: %v", len(l.Targets), err)
	}
	select {
	case uid := <-gone:
		t.Errorf("%s was told as gone", uid)
	default:
	}
	stop()
	wg.Wait()
}

// Many leases that end at once are held back until an operator decides.
func TestMassExpiryIsHeldBack(t *testing.T) {
	b := start(t, 1, false, "")
	var all []registry.Instance
	for n := range 10 {
		i := instance(fmt.Sprint("i", n), n)
		i.TTLMS = 600
		all = append(all, i)
	}
	if _, err := b.client.Register(b.ctx, registry.Write{}, all...); err != nil {
		t.Fatal(err)
	}
	r := b.c.Replicas[0]
	// Eight never renew; two do.
	renew := func() bool {
		_, err := b.client.Renew(b.ctx, []string{"i8", "i9"})
		return err == nil && b.status(r).Suspects == 8
	}
	b.until("eight are held back", renew)
	if st := b.status(r); st.Instances != 10 {
		t.Errorf("%d instances are left of 10", st.Instances)
	}
	if _, err := b.client.Renew(b.ctx, []string{"i0"}); err != nil {
		t.Fatal(err)
	}
	if st := b.status(r); st.Suspects != 7 {
		t.Errorf("after a renewal %d are held back, want 7", st.Suspects)
	}
	if _, err := b.client.Suspects(b.ctx, true); err != nil {
		t.Fatal(err)
	}
	if st := b.status(r); st.Instances != 3 || st.Suspects != 0 {
		t.Errorf("after the decision %+v", st)
	}
}

// 8. The same uid from two addresses; a restart with a new boot_ms; deregister racing with renew. And bad input:
// one line that names the field, and nothing changed.
func TestWritesThatContend(t *testing.T) {
	b := start(t, 1, false, "")
	first := instance("u", 1)
	first.BootMS, first.TTLMS = 100, 60_000
	b.register(first)
	other := first
	other.Endpoint = "127.0.0.1:2"
	var status *registry.StatusError
	if _, err := b.client.Register(b.ctx, registry.Write{}, other); !errors.As(err, &status) || status.Status != http.StatusConflict {
		t.Errorf("a second process with the uid and no later start: %v", err)
	}
	other.BootMS = 200
	b.register(other)
	if _, err := b.client.Register(b.ctx, registry.Write{}, first); !errors.As(err, &status) || status.Status != http.StatusConflict {
		t.Errorf("the old process comes back: %v", err)
	}
	id := registry.NewID()
	res, err := b.client.Deregister(b.ctx, registry.Write{ID: id}, "u")
	if err != nil {
		t.Fatal(err)
	}
	if again, err := b.client.Deregister(b.ctx, registry.Write{ID: id}, "u"); err != nil || again != res {
		t.Errorf("the same write again: %+v, want %+v: %v", again, res, err)
	}
	if renewed, err := b.client.Renew(b.ctx, []string{"u"}); err != nil || !slices.Equal(renewed.Unknown, []string{"u"}) {
		t.Errorf("a renewal after the end: %+v %v", renewed, err)
	}
	if l, err := b.client.List(b.ctx, true); err != nil || len(l.Targets) != 0 {
		t.Errorf("a renewal has brought it back: %+v %v", l, err)
	}

	before := b.status(b.c.Replicas[0]).Applied
	for _, c := range []struct{ path, body, want string }{
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
		resp, err := http.Post("http://"+b.c.Replicas[0].HTTP+c.path, "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		text.ReadFrom(resp.Body)
		resp.Body.Close()
		if resp.StatusCode < 400 || resp.StatusCode > 499 || strings.Count(text.String(), "\n") != 1 || !strings.Contains(text.String(), c.want) {
			t.Errorf("%.60s: %d, %q, want 4xx and one line with %q", c.body, resp.StatusCode, text.String(), c.want)
		}
	}
	if after := b.status(b.c.Replicas[0]).Applied; after != before {
		t.Errorf("bad input has reached the log: %d entries", after-before)
	}
}

// Members are taken in and out while the cluster runs.
func TestMembersLive(t *testing.T) {
	b := start(t, 3, false, "")
	b.register(instance("a", 1))
	more, err := b.c.Add()
	if err != nil {
		t.Fatal(err)
	}
	b.until("the new replica listens", func() bool { return b.status(more).HTTP != "" })
	if _, err := b.client.AddMember(b.ctx, more.Member()); err != nil {
		t.Fatal(err)
	}
	b.until("the new replica has the list", func() bool { return b.status(more).Instances == 1 })
	gone := b.leader()
	list, err := b.client.RemoveMember(b.ctx, gone.HTTP)
	if err != nil || len(list) != 3 {
		t.Fatalf("%v: %v", list, err)
	}
	gone.Proc.Kill()
	b.register(instance("b", 2))
	b.until("the new replica follows the new leader", func() bool { return b.status(more).Instances == 2 })
}
