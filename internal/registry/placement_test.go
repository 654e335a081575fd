package registry_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// acquireLease gets a duty for as long as a test lasts.
func (b *testEnv) acquireLease(name string) *registry.Guard {
	b.Helper()
	lease, err := b.client.UpdateLease(b.ctx, leasetable.Campaign, name, registry.LeaseRequest{Candidate: "me", TTLMS: 3600_000})
	if err != nil {
		b.Fatal(err)
	}
	return &registry.Guard{Lease: name, Token: lease.Token}
}

func keepOff(id string, duration time.Duration) placement.Directive {
	return placement.Directive{ID: id, Kind: placement.KindExclude, Tenant: "t", Servers: []string{"s1", "s2"}, MinAvailable: 0.5, ExpiresAtMS: time.Now().Add(duration).UnixMilli()}
}

// setPlacement sets entries, and returns the status that the write was refused with, 0 if it was done.
func (b *testEnv) setPlacement(guard *registry.Guard, entries ...placement.Directive) (registry.Result, int) {
	b.Helper()
	result, err := b.client.SetPlacement(b.ctx, registry.WriteOptions{Guard: guard}, time.Now().UnixMilli(), entries)
	var statusErr *registry.StatusError
	switch {
	case errors.As(err, &statusErr):
		return result, statusErr.StatusCode
	case err != nil:
		b.Fatal(err)
	}
	return result, 0
}

// placementFollower reads the placement of one replica after the other.
type placementFollower struct {
	mu        sync.Mutex
	reader    *placement.Cache
	fullLists int // lists that were told whole
	onUpdate  func(rev uint64, at time.Time)
	startedAt time.Time
}

// followPlacement begins with a replica and goes on to the next where a watch ends, until the test does.
func (b *testEnv) followPlacement(first int, onUpdate func(uint64, time.Time)) *placementFollower {
	follower := &placementFollower{reader: placement.NewCache(), startedAt: time.Now(), onUpdate: onUpdate}
	ctx, cancel := context.WithCancel(b.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; first++ {
			follower.mu.Lock()
			revision, epoch := follower.reader.Revision(), follower.reader.Epoch()
			follower.mu.Unlock()
			address := b.cluster.Replicas[first%len(b.cluster.Replicas)].HTTPAddr
			err := b.client.WatchPlacement(ctx, address, revision, epoch, func(list *placement.Update, _ time.Duration) error {
				if list == nil {
					return nil
				}
				follower.mu.Lock()
				defer follower.mu.Unlock()
				if list.Complete {
					follower.fullLists++
				}
				updated, err := follower.reader.Apply(list, time.Now().UnixMilli(), time.Since(follower.startedAt).Milliseconds())
				if updated && follower.onUpdate != nil {
					follower.onUpdate(list.Revision, time.Now())
				}
				return err
			})
			if ctx.Err() == nil {
				b.Logf("watch of %s ended: %v", address, err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	b.Cleanup(func() { cancel(); <-done })
	return follower
}

// entryIDs gives the ids in force.
func (f *placementFollower) entryIDs() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ids(f.reader.Active(time.Now().UnixMilli(), time.Since(f.startedAt).Milliseconds()))
}

func ids(list placement.Update) string {
	var entryIDs []string
	for _, entry := range list.Directives {
		entryIDs = append(entryIDs, entry.ID)
	}
	return strings.Join(entryIDs, " ")
}

// The leader is killed while watches are open: every one goes on where it was, nothing acknowledged is lost, and the
// replica that comes back from its snapshot tells the same. What is not its owner's is refused before and after.
func TestPlacementSurvivesLeaderLoss(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 10")
	leader := env.leader()
	guard, other := env.acquireLease("window/a"), env.acquireLease("window/b")
	var followers []*placementFollower
	for ordinal := range 3 {
		followers = append(followers, env.followPlacement(ordinal, nil))
	}
	allFollowersHave := func(what, want string) {
		t.Helper()
		env.eventually(what, func() bool {
			return !slices.ContainsFunc(followers, func(follower *placementFollower) bool { return follower.entryIDs() != want })
		})
	}
	if _, status := env.setPlacement(guard, keepOff("window/a/1", time.Minute), keepOff("window/a/2", time.Minute)); status != 0 {
		t.Fatalf("refused: %d", status)
	}
	allFollowersHave("all have the first two", "window/a/1 window/a/2")
	leader.Process.Kill()
	result, status := env.setPlacement(guard, keepOff("window/a/3", 2*time.Second), keepOff("window/a/1", time.Minute))
	if status != 0 {
		t.Fatalf("refused: %d", status)
	}
	for name, tc := range map[string]struct {
		guard *registry.Guard
		entry placement.Directive
		want  int
	}{
		"another's entry":   {other, keepOff("window/a/1", time.Minute), http.StatusConflict},
		"an old token":      {&registry.Guard{Lease: guard.Lease, Token: guard.Token - 1}, keepOff("window/a/1", time.Minute), http.StatusConflict},
		"no duty":           {nil, keepOff("window/a/1", time.Minute), http.StatusBadRequest},
		"beyond an hour":    {guard, keepOff("window/a/1", 2*time.Hour), http.StatusConflict},
		"ended":             {guard, keepOff("window/a/1", -time.Second), http.StatusConflict},
		"what cannot be":    {guard, placement.Directive{ID: "window/a/1", Kind: placement.KindSpreadKey, ExpiresAtMS: 1}, http.StatusBadRequest},
		"not of any window": {guard, keepOff("window", time.Minute), http.StatusBadRequest},
	} {
		if _, status := env.setPlacement(tc.guard, tc.entry); status != tc.want {
			t.Errorf("%s: %d, want %d", name, status, tc.want)
		}
	}
	if _, err := env.client.SetPlacement(env.ctx, registry.WriteOptions{Guard: guard}, time.Now().UnixMilli()-3_600_000, []placement.Directive{keepOff("window/a/1", time.Minute)}); err == nil {
		t.Error("a writer whose clock is an hour behind is taken")
	}
	allFollowersHave("all have the third, and none longer than it lasts", "window/a/1 window/a/2")
	env.eventually("the leader drops what ended", func() bool {
		list, err := env.client.PlacementView(env.ctx, true)
		return err == nil && list.Revision > result.Revision && ids(list) == "window/a/1 window/a/2"
	})
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := env.client.RemovePlacement(env.ctx, registry.WriteOptions{Guard: guard}, "window/a/2", "window/a/never"); err != nil {
		t.Fatal(err)
	}
	allFollowersHave("the drop reaches all", "window/a/1")
	want, err := env.client.PlacementView(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	restarted, err := registry.NewClient([]string{leader.HTTPAddr})
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	env.eventually("the killed one tells the same", func() bool {
		list, err := restarted.PlacementView(env.ctx, false)
		return err == nil && list.Revision == want.Revision && list.Epoch == want.Epoch && ids(list) == "window/a/1"
	})
	for ordinal, follower := range followers {
		follower.mu.Lock()
		if follower.reader.Revision() != want.Revision {
			t.Errorf("follower %d has revision %d, want %d", ordinal, follower.reader.Revision(), want.Revision)
		}
		follower.mu.Unlock()
	}
}

// A restored backup begins another history: watchers get it whole, and what was written since it was taken is gone.
func TestPlacementAfterRestore(t *testing.T) {
	env := startEnv(t, 1, false, "")
	guard := env.acquireLease("window/a")
	follower := env.followPlacement(0, nil)
	env.setPlacement(guard, keepOff("window/a/1", time.Minute))
	backup, err := env.client.SaveSnapshot(env.ctx)
	if err != nil {
		t.Fatal(err)
	}
	env.setPlacement(guard, keepOff("window/a/2", time.Minute))
	env.eventually("both are there", func() bool { return follower.entryIDs() == "window/a/1 window/a/2" })
	if _, err := env.client.RestoreSnapshot(env.ctx, backup); err != nil {
		t.Fatal(err)
	}
	env.eventually("the older one is told", func() bool { return follower.entryIDs() == "window/a/1" })
	if _, status := env.setPlacement(guard, keepOff("window/a/3", time.Minute)); status != 0 {
		t.Fatalf("refused: %d", status)
	}
	env.eventually("and goes on", func() bool { return follower.entryIDs() == "window/a/1 window/a/3" })
}

// A change reaches 1,000 watchers on three replicas, followers of the leader among them.
func TestThousandWatchersReceiveChange(t *testing.T) {
	env := startEnv(t, 3, false, "")
	guard := env.acquireLease("spread")
	const watchers, changes = 1000, 10
	var mu sync.Mutex
	got := map[uint64][]time.Time{}
	for ordinal := range watchers {
		env.followPlacement(ordinal, func(revision uint64, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			got[revision] = append(got[revision], at)
		})
	}
	count := func(revision uint64) int { mu.Lock(); defer mu.Unlock(); return len(got[revision]) }
	first, err := env.client.PlacementView(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	env.eventually("all watch", func() bool { return count(first.Revision) == watchers })
	var latencies []time.Duration
	for round := range changes {
		entry := placement.Directive{ID: fmt.Sprint("spread/", round), Kind: placement.KindSpreadKey, KeyHash: "0123456789abcdef", ExpiresAtMS: time.Now().Add(time.Minute).UnixMilli()}
		for copyIndex := range 8 {
			entry.Copies = append(entry.Copies, placement.KeyCopy{ServerUID: fmt.Sprint("s", copyIndex), LoadFraction: 0.1})
		}
		startedAt := time.Now()
		result, status := env.setPlacement(guard, entry)
		if status != 0 {
			t.Fatalf("refused: %d", status)
		}
		env.eventually("all have the change", func() bool { return count(result.Revision) == watchers })
		for _, at := range got[result.Revision] {
			latencies = append(latencies, at.Sub(startedAt))
		}
	}
	slices.SortFunc(latencies, func(first, second time.Duration) int { return cmp.Compare(first, second) })
	p99 := latencies[len(latencies)*99/100]
	t.Logf("from the call to the last of %d watchers: p50 %v, p99 %v, most %v", watchers, latencies[len(latencies)/2], p99, latencies[len(latencies)-1])
	if p99 > 2*time.Second {
		t.Errorf("p99 %v", p99)
	}
}
