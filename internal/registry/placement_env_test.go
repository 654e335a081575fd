package registry_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"milldeck/internal/leaderelection/leasetable"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// acquireLease acquires a lease with a TTL longer than any test.
func (e *testEnv) acquireLease(name string) *registry.Guard {
	e.Helper()
	lease, err := e.client.UpdateLease(e.ctx, leasetable.Campaign, name, registry.LeaseRequest{Candidate: "me", TTLMS: 3600_000})
	if err != nil {
		e.Fatal(err)
	}
	return &registry.Guard{Lease: name, Token: lease.Token}
}

// newExclusion returns a directive that excludes two servers for a tenant.
func newExclusion(id string, duration time.Duration) placement.Directive {
	return placement.Directive{ID: id, Kind: placement.KindExclude, Tenant: "t", Servers: []string{"s1", "s2"}, MinAvailable: 0.5, ExpiresAtMS: time.Now().Add(duration).UnixMilli()}
}

// setPlacement sets directives. The returned HTTP status is that of a rejection, or 0 if the directives were set.
func (e *testEnv) setPlacement(guard *registry.Guard, entries ...placement.Directive) (registry.Result, int) {
	e.Helper()
	result, err := e.client.SetPlacement(e.ctx, registry.WriteOptions{Guard: guard}, time.Now().UnixMilli(), entries)
	var statusErr *registry.StatusError
	switch {
	case errors.As(err, &statusErr):
		return result, statusErr.StatusCode
	case err != nil:
		e.Fatal(err)
	}
	return result, 0
}

type placementWatcher struct {
	mu              sync.Mutex
	cache           *placement.Cache
	completeUpdates int
	onUpdate        func(rev uint64, at time.Time)
	startedAt       time.Time
}

// watchPlacement watches the placement until the test ends. It starts at one replica, and continues at the next whenever a
// watch ends.
func (e *testEnv) watchPlacement(firstReplica int, onUpdate func(uint64, time.Time)) *placementWatcher {
	watcher := &placementWatcher{cache: placement.NewCache(), startedAt: time.Now(), onUpdate: onUpdate}
	ctx, cancel := context.WithCancel(e.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; firstReplica++ {
			watcher.mu.Lock()
			revision, epoch := watcher.cache.Revision(), watcher.cache.Epoch()
			watcher.mu.Unlock()
			address := e.cluster.Replicas[firstReplica%len(e.cluster.Replicas)].HTTPAddr
			err := e.client.WatchPlacement(ctx, address, revision, epoch, func(list *placement.Update, _ time.Duration) error {
				if list == nil {
					return nil
				}
				watcher.mu.Lock()
				defer watcher.mu.Unlock()
				if list.Complete {
					watcher.completeUpdates++
				}
				updated, err := watcher.cache.Apply(list, time.Now().UnixMilli(), time.Since(watcher.startedAt).Milliseconds())
				if updated && watcher.onUpdate != nil {
					watcher.onUpdate(list.Revision, time.Now())
				}
				return err
			})
			if ctx.Err() == nil {
				e.Logf("watch of %s ended: %v", address, err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	e.Cleanup(func() { cancel(); <-done })
	return watcher
}

func (f *placementWatcher) activeIDs() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return directiveIDs(f.cache.Active(time.Now().UnixMilli(), time.Since(f.startedAt).Milliseconds()))
}

// directiveIDs returns the ids of directives, joined by spaces.
func directiveIDs(list placement.Update) string {
	var uids []string
	for _, entry := range list.Directives {
		uids = append(uids, entry.ID)
	}
	return strings.Join(uids, " ")
}
