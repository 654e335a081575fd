package registry_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// TestPlacementSurvivesLeaderLoss kills the leader while watches are open: every watch continues, no acknowledged write is
// lost, and the replica that restarts from its snapshot serves the same placement. A write by anyone but the owner of a
// directive is rejected.
func TestPlacementSurvivesLeaderLoss(t *testing.T) {
	env := startEnv(t, 3, false, "snapshot_every = 10")
	leader := env.awaitLeader()
	guard, otherGuard := env.acquireLease("window/a"), env.acquireLease("window/b")
	var watchers []*placementWatcher
	for ordinal := range 3 {
		watchers = append(watchers, env.watchPlacement(ordinal, nil))
	}
	awaitAllWatchers := func(condition, want string) {
		t.Helper()
		env.eventually(condition, func() bool {
			return !slices.ContainsFunc(watchers, func(watcher *placementWatcher) bool { return watcher.activeIDs() != want })
		})
	}
	if _, status := env.setPlacement(guard, newExclusion("window/a/1", time.Minute), newExclusion("window/a/2", time.Minute)); status != 0 {
		t.Fatalf("write of two directives rejected: status %d", status)
	}
	awaitAllWatchers("all watchers have the first two directives", "window/a/1 window/a/2")
	leader.Process.Kill()
	result, status := env.setPlacement(guard, newExclusion("window/a/3", 2*time.Second), newExclusion("window/a/1", time.Minute))
	if status != 0 {
		t.Fatalf("write after the leader's death rejected: status %d", status)
	}
	for name, tc := range map[string]struct {
		guard *registry.Guard
		entry placement.Directive
		want  int
	}{
		"directive of another owner": {otherGuard, newExclusion("window/a/1", time.Minute), http.StatusConflict},
		"outdated token":             {&registry.Guard{Lease: guard.Lease, Token: guard.Token - 1}, newExclusion("window/a/1", time.Minute), http.StatusConflict},
		"no guard":                   {nil, newExclusion("window/a/1", time.Minute), http.StatusBadRequest},
		"expires in over an hour":    {guard, newExclusion("window/a/1", 2*time.Hour), http.StatusConflict},
		"already expired":            {guard, newExclusion("window/a/1", -time.Second), http.StatusConflict},
		"invalid directive":          {guard, placement.Directive{ID: "window/a/1", Kind: placement.KindSpreadKey, ExpiresAtMS: 1}, http.StatusBadRequest},
		"id of no window":            {guard, newExclusion("window", time.Minute), http.StatusBadRequest},
	} {
		if _, status := env.setPlacement(tc.guard, tc.entry); status != tc.want {
			t.Errorf("%s: status %d, want %d", name, status, tc.want)
		}
	}
	if _, err := env.client.SetPlacement(env.ctx, registry.WriteOptions{Guard: guard}, time.Now().UnixMilli()-3_600_000, []placement.Directive{newExclusion("window/a/1", time.Minute)}); err == nil {
		t.Error("a write is accepted although the writer's clock is an hour behind")
	}
	awaitAllWatchers("no watcher has the third directive after its expiry", "window/a/1 window/a/2")
	env.eventually("the leader removes the expired directive", func() bool {
		list, err := env.client.PlacementView(env.ctx, true)
		return err == nil && list.Revision > result.Revision && directiveIDs(list) == "window/a/1 window/a/2"
	})
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := env.client.RemovePlacement(env.ctx, registry.WriteOptions{Guard: guard}, "window/a/2", "window/a/never"); err != nil {
		t.Fatal(err)
	}
	awaitAllWatchers("the removal reaches all watchers", "window/a/1")
	want, err := env.client.PlacementView(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	restarted := env.newClientFor(leader.HTTPAddr)
	env.eventually("the restarted replica serves the same placement", func() bool {
		list, err := restarted.PlacementView(env.ctx, false)
		return err == nil && list.Revision == want.Revision && list.Epoch == want.Epoch && directiveIDs(list) == "window/a/1"
	})
	for ordinal, watcher := range watchers {
		watcher.mu.Lock()
		if watcher.cache.Revision() != want.Revision {
			t.Errorf("watcher %d has revision %d, want %d", ordinal, watcher.cache.Revision(), want.Revision)
		}
		watcher.mu.Unlock()
	}
}

// A restored backup starts a new epoch: watchers receive the complete placement, without the writes since the backup.
func TestPlacementAfterRestore(t *testing.T) {
	env := startEnv(t, 1, false, "")
	guard := env.acquireLease("window/a")
	watcher := env.watchPlacement(0, nil)
	env.setPlacement(guard, newExclusion("window/a/1", time.Minute))
	backup, err := env.client.SaveSnapshot(env.ctx)
	if err != nil {
		t.Fatal(err)
	}
	env.setPlacement(guard, newExclusion("window/a/2", time.Minute))
	env.eventually("both directives are active", func() bool { return watcher.activeIDs() == "window/a/1 window/a/2" })
	if _, err := env.client.RestoreSnapshot(env.ctx, backup); err != nil {
		t.Fatal(err)
	}
	env.eventually("only the directive of the backup is active", func() bool { return watcher.activeIDs() == "window/a/1" })
	if _, status := env.setPlacement(guard, newExclusion("window/a/3", time.Minute)); status != 0 {
		t.Fatalf("write after the restore rejected: status %d", status)
	}
	env.eventually("the watch continues", func() bool { return watcher.activeIDs() == "window/a/1 window/a/3" })
}

// A change reaches 1,000 watchers that are distributed over three replicas, the leader and the followers.
func TestThousandWatchersReceiveChange(t *testing.T) {
	env := startEnv(t, 3, false, "")
	guard := env.acquireLease("spread")
	const watchers, changes = 1000, 10
	var mu sync.Mutex
	receivedAt := map[uint64][]time.Time{}
	for ordinal := range watchers {
		env.watchPlacement(ordinal, func(revision uint64, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			receivedAt[revision] = append(receivedAt[revision], at)
		})
	}
	receivedCount := func(revision uint64) int { mu.Lock(); defer mu.Unlock(); return len(receivedAt[revision]) }
	initial, err := env.client.PlacementView(env.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	env.eventually("all watchers have the initial placement", func() bool { return receivedCount(initial.Revision) == watchers })
	var latencies []time.Duration
	for round := range changes {
		entry := placement.Directive{ID: fmt.Sprint("spread/", round), Kind: placement.KindSpreadKey, KeyHash: "0123456789abcdef", ExpiresAtMS: time.Now().Add(time.Minute).UnixMilli()}
		for copyIndex := range 8 {
			entry.Copies = append(entry.Copies, placement.KeyCopy{ServerUID: fmt.Sprint("s", copyIndex), LoadFraction: 0.1})
		}
		startedAt := time.Now()
		result, status := env.setPlacement(guard, entry)
		if status != 0 {
			t.Fatalf("write of a change rejected: status %d", status)
		}
		env.eventually("all watchers have the change", func() bool { return receivedCount(result.Revision) == watchers })
		for _, at := range receivedAt[result.Revision] {
			latencies = append(latencies, at.Sub(startedAt))
		}
	}
	slices.Sort(latencies)
	p99 := latencies[len(latencies)*99/100]
	t.Logf("latency from the call to each of %d watchers: p50 %v, p99 %v, maximum %v", watchers, latencies[len(latencies)/2], p99, latencies[len(latencies)-1])
	if p99 > 2*time.Second {
		t.Errorf("p99 latency %v, want at most 2s", p99)
	}
}
