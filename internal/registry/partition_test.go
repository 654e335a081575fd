package registry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"milldeck/internal/registry"
)

// A leader that was paused for longer than its raft lease serves no outdated state as fresh.
func TestFrozenLeaderServesNoStaleReads(t *testing.T) {
	env := startEnv(t, 3, false, "")
	for round := range 3 {
		old := env.awaitLeader()
		env.register(newInstance("a", 2*round+1))
		if err := old.Pause(); err != nil {
			t.Fatal(err)
		}
		majority := env.newClientFor(env.httpAddrsExcept(old)...)
		result, err := majority.Register(env.ctx, registry.WriteOptions{}, newInstance("a", 2*round+2))
		if err != nil {
			t.Fatal(err)
		}
		// The reads are sent while the old leader is still paused, so that it answers them right after it resumes.
		type response struct {
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
				var instance registry.Instance
				if err := json.NewDecoder(httpResponse.Body).Decode(&instance); httpResponse.StatusCode == http.StatusOK && err != nil {
					t.Error(err)
				}
				answers <- response{instance.Revision, httpResponse.StatusCode}
			})
		}
		if err := old.Resume(); err != nil {
			t.Fatal(err)
		}
		wg.Wait()
		close(answers)
		for a := range answers {
			if a.statusCode == http.StatusOK && a.revision < result.Revision {
				t.Errorf("the resumed leader answers revision %d as fresh, %d was written since", a.revision, result.Revision)
			}
		}
		env.eventually("the old leader follows", func() bool { return env.status(old).Revision >= result.Revision })
	}
}

// A replica in the minority still answers reads, marked with the age of its state. It expires no instance and accepts
// no write. After the partition heals, watchers receive each change once and in order.
func TestMinorityPartition(t *testing.T) {
	env := startEnv(t, 3, true, "")
	leased := newInstance("leased", 1)
	leased.TTLMS = 1000
	keepAlive := registry.NewLeaseKeepAlive(env.client, leased)
	ctx, stopKeepAlive := context.WithCancel(env.ctx)
	var background sync.WaitGroup
	background.Go(func() {
		if err := keepAlive.Run(ctx); err != nil {
			t.Logf("keep-alive: %v", err)
		}
	})
	defer background.Wait()
	defer stopKeepAlive()
	env.eventually("the instance is registered", func() bool { _, err := env.client.Get(env.ctx, "leased", true); return err == nil })

	isolated := env.awaitLeader()
	var mu sync.Mutex
	var seen []uint64
	background.Go(func() {
		newest := uint64(0)
		env.watch(ctx, func(list *registry.EndpointList) {
			if list.Revision <= newest {
				return
			}
			newest = list.Revision
			mu.Lock()
			defer mu.Unlock()
			for range list.Targets {
				seen = append(seen, list.Revision)
			}
		}, isolated)
	})
	env.eventually("the watch receives the list", func() bool { mu.Lock(); defer mu.Unlock(); return len(seen) > 0 })

	env.network.Partition(isolated.Index, 3, true)
	env.eventually("the isolated leader steps down", func() bool { return env.status(isolated).Role != "Leader" })
	minority := env.newClientFor(isolated.HTTPAddr)
	shortCtx, cancel := context.WithTimeout(env.ctx, 2*time.Second)
	if _, err := minority.Register(shortCtx, registry.WriteOptions{}, newInstance("refused", 2)); err == nil {
		t.Error("a replica in the minority accepts a write")
	}
	cancel()
	env.eventually("the age of the isolated replica exceeds the lease", func() bool { return env.status(isolated).AgeMS > 1500 })
	list, err := minority.List(env.ctx, false)
	if err != nil || len(list.Targets) != 1 {
		t.Errorf("a replica in the minority answers %+v: %v", list, err)
	}
	// The majority has a leader, and the leased instance has missed no renewal there.
	majority := env.newClientFor(env.httpAddrsExcept(isolated)...)
	last := uint64(0)
	for n := range 5 {
		result, err := majority.Register(env.ctx, registry.WriteOptions{}, newInstance(fmt.Sprint("w", n), n))
		if err != nil {
			t.Fatal(err)
		}
		last = result.Revision
	}
	env.network.Partition(isolated.Index, 3, false)
	env.eventually("all changes arrived", func() bool { mu.Lock(); defer mu.Unlock(); return len(seen) > 0 && seen[len(seen)-1] >= last })
	mu.Lock()
	defer mu.Unlock()
	if !slices.IsSorted(seen) || len(slices.Compact(slices.Clone(seen))) != len(seen) {
		t.Errorf("changes came twice or out of order: %v", seen)
	}
	if list, err := env.client.List(env.ctx, true); err != nil || len(list.Targets) != 6 {
		t.Errorf("%d instances, want the leased one and five: %v", len(list.Targets), err)
	}
}
