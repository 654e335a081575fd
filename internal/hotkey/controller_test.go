package hotkey

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// registryStub is an in-memory Store.
type registryStub struct {
	mu             sync.Mutex
	list           registry.EndpointList
	directives     map[string]placement.Directive
	revision       uint64
	token          uint64 // fencing token of the lease's holder
	unavailable    bool   // if true, every write fails
	rejectedWrites int    // number of writes under another token
}

func (s *registryStub) List(context.Context, bool) (registry.EndpointList, error) { return s.list, nil }

func (s *registryStub) PlacementView(context.Context, bool) (placement.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := placement.Update{Revision: s.revision, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(s.directives)) {
		update.Directives = append(update.Directives, s.directives[id])
	}
	return update, nil
}

func (s *registryStub) SetPlacement(_ context.Context, write registry.WriteOptions, atMS int64, directives []placement.Directive, removedIDs ...string) (registry.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return registry.Result{}, errors.New("no leader")
	case write.Guard == nil || write.Guard.Lease != LeaseName || write.Guard.Token != s.token:
		s.rejectedWrites++
		return registry.Result{}, errors.New("the fencing token is stale")
	case max(atMS-time.Now().UnixMilli(), time.Now().UnixMilli()-atMS) > 1000:
		return registry.Result{}, fmt.Errorf("the write time %d is more than 1 s off", atMS)
	}
	s.revision++
	for _, directive := range directives {
		if err := directive.Validate(); err != nil {
			return registry.Result{}, err
		}
		directive.Revision = s.revision
		s.directives[directive.ID] = directive
	}
	for _, id := range removedIDs {
		delete(s.directives, id)
	}
	return registry.Result{Outcome: registry.OutcomeDone, Revision: s.revision}, nil
}

// activeServers returns the servers that have active replicas of the hot key.
func (s *registryStub) activeServers() (uids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, replica := range s.directives[DirectiveID(hotKey)].Copies {
		if replica.LoadFraction > 0 {
			uids = append(uids, replica.ServerUID)
		}
	}
	return uids
}

// waitFor waits until done returns true, and returns the time waited.
func waitFor(t *testing.T, timeout time.Duration, what string, done func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > timeout {
			t.Fatalf("timed out after %v waiting for: %s", timeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// A second controller takes over while a stale holder still writes: the stale writes are rejected, the active replicas stay,
// and the second controller drains a server. The test runs on synctest's clock.
func TestControllerFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registryStub{directives: map[string]placement.Directive{}, token: 7, unavailable: true}
		for i := range 60 {
			store.list.Targets = append(store.list.Targets, registry.Target{UID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), PodGroup: i / 4,
				State: registry.InstanceReady, Capacity: 1})
		}
		testCtx, cancelTest := context.WithCancel(t.Context())
		reports := loadreport.New(loadreport.Options{})
		var background sync.WaitGroup
		defer background.Wait()
		defer cancelTest()
		for i := range 30 { // sidecars with 900 ms/s of load each, 300 of it from the hot key
			background.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / 30)
				for ; testCtx.Err() == nil; time.Sleep(time.Second) {
					store.mu.Lock()
					revision := store.revision
					store.mu.Unlock()
					_ = reports.Add(&placement.LoadReport{Sidecar: fmt.Sprint("car", i), PlacementRevision: revision, IntervalMS: 1000, TotalKeyLoad: 900,
						HotKeys: []placement.KeyLoad{{KeyHash: FormatKey(hotKey), Load: 300}}})
				}
			})
		}
		runController := func(controller *Controller, token uint64) (end func() error) {
			ctx, stop := context.WithCancelCause(testCtx)
			ended := make(chan error, 1)
			background.Go(func() { ended <- controller.Run(ctx, &leaderelection.Lease{Name: LeaseName, Token: token}) })
			return func() error { stop(leaderelection.ErrLeaseLost); return <-ended }
		}
		newController := func() *Controller {
			return &Controller{Store: store, Reports: reports, Config: DefaultConfig(1000, 50)}
		}

		first := newController()
		if _, err := first.Drain("s1"); !errors.Is(err, ErrNotLeader) {
			t.Errorf("Drain without the lease: %v, want ErrNotLeader", err)
		}
		end := runController(first, 7)
		time.Sleep(3 * time.Second)
		store.mu.Lock()
		store.unavailable = false
		store.mu.Unlock()
		waitFor(t, 5*time.Second, "active replicas once writes succeed", func() bool { return len(store.activeServers()) > 3 })
		if err := end(); !errors.Is(err, leaderelection.ErrLeaseLost) {
			t.Errorf("Run returned %v, want ErrLeaseLost", err)
		}

		before := store.activeServers()
		store.mu.Lock()
		store.token = 9
		store.mu.Unlock()
		second := newController()
		// The first of these controllers does not know that it has lost the lease.
		endStale, end := runController(newController(), 7), runController(second, 9)
		time.Sleep(3 * time.Second)
		after := store.activeServers()
		for _, uid := range before {
			if !slices.Contains(after, uid) {
				t.Errorf("%s has no active replica after the takeover", uid)
			}
		}
		if err := endStale(); !errors.Is(err, leaderelection.ErrLeaseLost) {
			t.Errorf("Run of the stale holder returned %v, want ErrLeaseLost", err)
		}
		if store.rejectedWrites == 0 {
			t.Error("the stale holder attempted no write, so its rejection was not tested")
		}
		uid := before[0]
		duration := waitFor(t, 25*time.Second, uid+" is drained", func() bool {
			drained, err := second.Drain(uid)
			if err != nil {
				t.Fatal(err)
			}
			return drained
		})
		active := store.activeServers()
		if slices.Contains(active, uid) || len(active) < len(before) {
			t.Errorf("servers with active replicas after a drain of %v: %v, before: %v", duration, active, before)
		}
		if statuses, err := second.Status(); err != nil || len(statuses) != 1 || statuses[0].Active < len(before) {
			t.Errorf("Status after the drain: %+v, %v", statuses, err)
		}
		if err := end(); !errors.Is(err, leaderelection.ErrLeaseLost) {
			t.Errorf("Run returned %v, want ErrLeaseLost", err)
		}
	})
}

// For random sequences of events, directives are valid, place replicas only on servers that may host them, and stay within
// the limits.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig(100, 50)
		config.MaxKeys = 3
		planner := newPlanner(config)
		now, revision, startedReplicas := float64(startTime), uint64(0), map[string]bool{}
		var servers []Server
		for i := range rapid.IntRange(0, 40).Draw(t, "servers") {
			servers = append(servers, Server{UID: fmt.Sprint("s", i), Zone: fmt.Sprint(i % 3), PodGroup: i / 2, Capacity: 1, Ready: true})
		}
		planner.SetServers(servers)
		published := map[string]placement.Directive{}
		uid := func() string { return fmt.Sprint("s", rapid.IntRange(0, 41).Draw(t, "uid")) }
		t.Repeat(map[string]func(*rapid.T){
			"reports": func(t *rapid.T) {
				load := rapid.SampledFrom([]float64{0, 10, 100, 1000, 1e9}).Draw(t, "load")
				key := rapid.Uint64Range(1, 5).Draw(t, "key")
				for i := range rapid.IntRange(1, 8).Draw(t, "sidecars") {
					planner.AddReport(now, &placement.LoadReport{Sidecar: fmt.Sprint(i), PlacementRevision: revision, TotalKeyLoad: load, HotKeys: []placement.KeyLoad{{KeyHash: FormatKey(key), Load: load}}})
				}
			},
			"server": func(t *rapid.T) {
				if len(servers) > 0 {
					s := &servers[rapid.IntRange(0, len(servers)-1).Draw(t, "i")]
					s.Ready, s.Excluded = rapid.Bool().Draw(t, "ready"), rapid.Bool().Draw(t, "excluded")
					s.Overloaded, s.BootMS = rapid.Bool().Draw(t, "overloaded"), float64(rapid.IntRange(0, 1).Draw(t, "boot"))
				}
				planner.SetServers(servers)
			},
			"servers lost": func(t *rapid.T) { servers = servers[:len(servers)*3/4]; planner.SetServers(servers) },
			"drain":        func(*rapid.T) { u := uid(); planner.StartDrain(u); planner.Drained(u) },
			"cancel drain": func(*rapid.T) { planner.CancelDrain(uid()) },
			"successor": func(*rapid.T) {
				planner = newPlanner(config)
				planner.SetServers(servers)
				planner.Restore(now, slices.Collect(maps.Values(published)))
			},
			"plan": func(t *rapid.T) {
				now += rapid.SampledFrom([]float64{0.25, 0.25, 1, 5}).Draw(t, "s")
				writeLost := rapid.IntRange(0, 3).Draw(t, "write") == 0
				for _, change := range planner.Plan(now) {
					if change.Set == nil {
						delete(published, change.RemoveID)
						planner.Confirm(change.RemoveID, revision)
						continue
					}
					if err := change.Set.Validate(); err != nil {
						t.Fatal(err)
					}
					sum := 0.0
					for _, c := range change.Set.Copies {
						if i := slices.IndexFunc(servers, func(s Server) bool { return s.UID == c.ServerUID }); i < 0 || !servers[i].Ready || servers[i].Excluded {
							t.Fatalf("replica on %s, which is not ready, excluded or unknown", c.ServerUID)
						}
						sum += c.LoadFraction
						startedReplicas[change.Set.ID+c.ServerUID] = true
					}
					if sum > 1.0001 || len(planner.keys) > 3 {
						t.Fatalf("shares add up to %v, %d keys are replicated", sum, len(planner.keys))
					}
					if !writeLost {
						revision++
						published[change.Set.ID] = *change.Set
						planner.Confirm(change.Set.ID, revision)
					}
				}
				if budget := (now - startTime + 1) * max(config.MinWarmupBudget, config.WarmupBudget*4000); float64(len(startedReplicas))*config.WarmupWork > budget+1 {
					t.Fatalf("%d replicas were started in %v s, above the budget", len(startedReplicas), now-startTime)
				}
			},
		})
	})
}
