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

// registryStub stands in for the list service.
type registryStub struct {
	mu             sync.Mutex
	list           registry.EndpointList
	entries        map[string]placement.Directive
	revision       uint64
	token          uint64 // the one that counts
	unavailable    bool   // no write is answered
	rejectedWrites int    // writes under a token that does not count
}

func (s *registryStub) List(context.Context, bool) (registry.EndpointList, error) { return s.list, nil }

func (s *registryStub) PlacementView(context.Context, bool) (placement.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := placement.Update{Revision: s.revision, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		l.Directives = append(l.Directives, s.entries[id])
	}
	return l, nil
}

func (s *registryStub) SetPlacement(_ context.Context, write registry.WriteOptions, atMS int64, set []placement.Directive, removals ...string) (registry.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return registry.Result{}, errors.New("no leader")
	case write.Guard == nil || write.Guard.Lease != LeaseName || write.Guard.Token != s.token:
		s.rejectedWrites++
		return registry.Result{}, errors.New("the token counts no more")
	case max(atMS-time.Now().UnixMilli(), time.Now().UnixMilli()-atMS) > 1000:
		return registry.Result{}, fmt.Errorf("at %d", atMS)
	}
	s.revision++
	for _, e := range set {
		if err := e.Validate(); err != nil {
			return registry.Result{}, err
		}
		e.Revision = s.revision
		s.entries[e.ID] = e
	}
	for _, id := range removals {
		delete(s.entries, id)
	}
	return registry.Result{Outcome: registry.OutcomeDone, Revision: s.revision}, nil
}

// replicas returns the servers that carry the hot key, and those that warm.
func (s *registryStub) replicas() (active, warming []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.entries[DirectiveID(hotKey)].Copies {
		if c.LoadFraction > 0 {
			active = append(active, c.ServerUID)
		} else {
			warming = append(warming, c.ServerUID)
		}
	}
	return active, warming
}

// waitFor waits until ok, and returns how long it took.
func waitFor(t *testing.T, timeout time.Duration, what string, done func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > timeout {
			t.Fatalf("not within %v: %s", timeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// One driver after the other over a stand-in of the list service, on synctest's clock.
func TestControllerFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registryStub := &registryStub{entries: map[string]placement.Directive{}, token: 7, unavailable: true}
		for i := range 60 {
			registryStub.list.Targets = append(registryStub.list.Targets, registry.Target{UID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), PodGroup: i / 4,
				State: registry.InstanceReady, Capacity: 1})
		}
		all, endAll := context.WithCancel(t.Context())
		reports := loadreport.New(loadreport.Options{})
		var background sync.WaitGroup
		defer background.Wait()
		defer endAll()
		for i := range 30 { // sidecars that each see 300 ms/s of the hot key, of 900
			background.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / 30)
				for ; all.Err() == nil; time.Sleep(time.Second) {
					registryStub.mu.Lock()
					revision := registryStub.revision
					registryStub.mu.Unlock()
					_ = reports.Add(&placement.LoadReport{Sidecar: fmt.Sprint("car", i), PlacementRevision: revision, IntervalMS: 1000, TotalKeyLoad: 900,
						HotKeys: []placement.KeyLoad{{KeyHash: FormatKey(hotKey), Load: 300}}})
				}
			})
		}
		runController := func(controller *Controller, token uint64) (end func() error) {
			ctx, stop := context.WithCancelCause(all)
			ended := make(chan error, 1)
			background.Go(func() { ended <- controller.Run(ctx, &leaderelection.Lease{Name: LeaseName, Token: token}) })
			return func() error { stop(leaderelection.ErrLeaseLost); return <-ended }
		}
		newController := func() *Controller {
			return &Controller{Store: registryStub, Reports: reports, Config: DefaultConfig(1000, 50)}
		}

		first := newController()
		if _, err := first.Drain("s1"); !errors.Is(err, ErrNotLeader) {
			t.Errorf("unheld: %v", err)
		}
		end := runController(first, 7)
		time.Sleep(3 * time.Second)
		registryStub.mu.Lock()
		registryStub.unavailable = false
		registryStub.mu.Unlock()
		waitFor(t, 5*time.Second, "copies that carry once writes pass", func() bool { c, _ := registryStub.replicas(); return len(c) > 3 })
		if err := end(); !errors.Is(err, leaderelection.ErrLeaseLost) {
			t.Errorf("ended by %v", err)
		}

		before, _ := registryStub.replicas()
		registryStub.mu.Lock()
		registryStub.token = 9
		registryStub.mu.Unlock()
		second := newController()
		endStale, end := runController(newController(), 7), runController(second, 9) // and one that believes it still holds
		time.Sleep(3 * time.Second)
		after, _ := registryStub.replicas()
		for _, uid := range before {
			if !slices.Contains(after, uid) {
				t.Errorf("%s carries no more after the takeover", uid)
			}
		}
		if endStale(); registryStub.rejectedWrites == 0 {
			t.Error("the stale holder wrote nothing: the test shows nothing")
		}
		uid := before[0]
		duration := waitFor(t, 25*time.Second, uid+" is emptied", func() bool {
			ready, err := second.Drain(uid)
			if err != nil {
				t.Fatal(err)
			}
			return ready
		})
		active, _ := registryStub.replicas()
		if slices.Contains(active, uid) || len(active) < len(before) {
			t.Errorf("after %v the key is carried by %v, before by %v", duration, active, before)
		}
		if statuses, err := second.Status(); err != nil || len(statuses) != 1 || statuses[0].Active < len(before) {
			t.Errorf("%+v, %v", statuses, err)
		}
		end()
	})
}

// Whatever comes in whatever order, what is told is valid, on servers that may carry, and within the bounds.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig(100, 50)
		config.MaxKeys = 3
		planner := newPlanner(config)
		now, revision, startedReplicas := float64(startTime), uint64(0), map[string]bool{}
		var servers []Server
		for i := range rapid.IntRange(0, 40).Draw(t, "servers") {
			servers = append(servers, Server{UID: fmt.Sprint("s", i), Zone: fmt.Sprint(i % 3), Pod: i / 2, Capacity: 1, Ready: true})
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
					s.Ready, s.Excluded = rapid.Bool().Draw(t, "ready"), rapid.Bool().Draw(t, "kept off")
					s.Overloaded, s.BootMS = rapid.Bool().Draw(t, "choked"), float64(rapid.IntRange(0, 1).Draw(t, "boot"))
				}
				planner.SetServers(servers)
			},
			"lost":  func(t *rapid.T) { servers = servers[:len(servers)*3/4]; planner.SetServers(servers) },
			"leave": func(*rapid.T) { u := uid(); planner.StartDrain(u); planner.Drained(u) },
			"stay":  func(*rapid.T) { planner.CancelDrain(uid()) },
			"successor": func(*rapid.T) {
				planner = newPlanner(config)
				planner.SetServers(servers)
				planner.Restore(now, slices.Collect(maps.Values(published)))
			},
			"decide": func(t *rapid.T) {
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
							t.Fatalf("a copy on %s", c.ServerUID)
						}
						sum += c.LoadFraction
						startedReplicas[change.Set.ID+c.ServerUID] = true
					}
					if sum > 1.0001 || len(planner.keys) > 3 {
						t.Fatalf("shares of %v, %d keys", sum, len(planner.keys))
					}
					if !writeLost {
						revision++
						published[change.Set.ID] = *change.Set
						planner.Confirm(change.Set.ID, revision)
					}
				}
				if budget := (now - startTime + 1) * max(config.MinWarmupBudget, config.WarmupBudget*4000); float64(len(startedReplicas))*config.WarmupWork > budget+1 {
					t.Fatalf("%d copies were begun in %v s", len(startedReplicas), now-startTime)
				}
			},
		})
	})
}
