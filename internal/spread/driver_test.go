package spread

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

	"milldeck/internal/collect"
	"milldeck/internal/duty"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// store stands in for the list service.
type store struct {
	mu      sync.Mutex
	list    registry.List
	entries map[string]placement.Directive
	rev     uint64
	token   uint64 // the one that counts
	down    bool   // no write is answered
	refused int    // writes under a token that does not count
}

func (s *store) List(context.Context, bool) (registry.List, error) { return s.list, nil }

func (s *store) PlacementView(context.Context, bool) (placement.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := placement.Update{Revision: s.rev, Complete: true}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		l.Directives = append(l.Directives, s.entries[id])
	}
	return l, nil
}

func (s *store) SetPlacement(_ context.Context, w registry.Write, atMS int64, set []placement.Directive, drop ...string) (registry.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return registry.Result{}, errors.New("no leader")
	case w.Guard == nil || w.Guard.Duty != Duty || w.Guard.Token != s.token:
		s.refused++
		return registry.Result{}, errors.New("the token counts no more")
	case max(atMS-time.Now().UnixMilli(), time.Now().UnixMilli()-atMS) > 1000:
		return registry.Result{}, fmt.Errorf("at %d", atMS)
	}
	s.rev++
	for _, e := range set {
		if err := e.Validate(); err != nil {
			return registry.Result{}, err
		}
		e.Revision = s.rev
		s.entries[e.ID] = e
	}
	for _, id := range drop {
		delete(s.entries, id)
	}
	return registry.Result{Outcome: registry.Done, Rev: s.rev}, nil
}

// copies returns the servers that carry the hot key, and those that warm.
func (s *store) copies() (carry, warm []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.entries[ID(hotKey)].Copies {
		if c.LoadFraction > 0 {
			carry = append(carry, c.ServerUID)
		} else {
			warm = append(warm, c.ServerUID)
		}
	}
	return carry, warm
}

// waitFor waits until ok, and returns how long it took.
func waitFor(t *testing.T, most time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > most {
			t.Fatalf("not within %v: %s", most, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// One driver after the other over a stand-in of the list service, on synctest's clock.
func TestDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{entries: map[string]placement.Directive{}, token: 7, down: true}
		for i := range 60 {
			s.list.Targets = append(s.list.Targets, registry.Target{UID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), Pod: i / 4,
				State: registry.Ready, Capacity: 1})
		}
		all, endAll := context.WithCancel(t.Context())
		reports := collect.New(collect.Options{})
		var around sync.WaitGroup
		defer around.Wait()
		defer endAll()
		for i := range 30 { // sidecars that each see 300 ms/s of the hot key, of 900
			around.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / 30)
				for ; all.Err() == nil; time.Sleep(time.Second) {
					s.mu.Lock()
					rev := s.rev
					s.mu.Unlock()
					_ = reports.Add(&placement.LoadReport{Sidecar: fmt.Sprint("car", i), PlacementRevision: rev, IntervalMS: 1000, TotalKeyLoad: 900,
						HotKeys: []placement.KeyLoad{{KeyHash: Name(hotKey), Load: 300}}})
				}
			})
		}
		hold := func(dr *Driver, token uint64) (end func() error) {
			ctx, stop := context.WithCancelCause(all)
			ended := make(chan error, 1)
			around.Go(func() { ended <- dr.Work(ctx, &duty.Lease{Name: Duty, Token: token}) })
			return func() error { stop(duty.ErrLeaseLost); return <-ended }
		}
		driver := func() *Driver { return &Driver{Store: s, Reports: reports, Config: Default(1000, 50)} }

		first := driver()
		if _, err := first.MakeBeforeBreak("s1"); !errors.Is(err, ErrNotHeld) {
			t.Errorf("unheld: %v", err)
		}
		end := hold(first, 7)
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		waitFor(t, 5*time.Second, "copies that carry once writes pass", func() bool { c, _ := s.copies(); return len(c) > 3 })
		if err := end(); !errors.Is(err, duty.ErrLeaseLost) {
			t.Errorf("ended by %v", err)
		}

		before, _ := s.copies()
		s.mu.Lock()
		s.token = 9
		s.mu.Unlock()
		second := driver()
		endStale, end := hold(driver(), 7), hold(second, 9) // and one that believes it still holds
		time.Sleep(3 * time.Second)
		after, _ := s.copies()
		for _, uid := range before {
			if !slices.Contains(after, uid) {
				t.Errorf("%s carries no more after the takeover", uid)
			}
		}
		if endStale(); s.refused == 0 {
			t.Error("the stale holder wrote nothing: the test shows nothing")
		}
		uid := before[0]
		took := waitFor(t, 25*time.Second, uid+" is emptied", func() bool {
			ready, err := second.MakeBeforeBreak(uid)
			if err != nil {
				t.Fatal(err)
			}
			return ready
		})
		carry, _ := s.copies()
		if slices.Contains(carry, uid) || len(carry) < len(before) {
			t.Errorf("after %v the key is carried by %v, before by %v", took, carry, before)
		}
		if rows, err := second.Table(); err != nil || len(rows) != 1 || rows[0].Carrying < len(before) {
			t.Errorf("%+v, %v", rows, err)
		}
		end()
	})
}

// Whatever comes in whatever order, what is told is valid, on servers that may carry, and within the bounds.
func TestAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Default(100, 50)
		cfg.MaxKeys = 3
		d := newDecider(cfg)
		now, rev, began := float64(start), uint64(0), map[string]bool{}
		var list []Server
		for i := range rapid.IntRange(0, 40).Draw(t, "servers") {
			list = append(list, Server{UID: fmt.Sprint("s", i), Zone: fmt.Sprint(i % 3), Pod: i / 2, Capacity: 1, Ready: true})
		}
		d.Servers(list)
		table := map[string]placement.Directive{}
		uid := func() string { return fmt.Sprint("s", rapid.IntRange(0, 41).Draw(t, "uid")) }
		t.Repeat(map[string]func(*rapid.T){
			"reports": func(t *rapid.T) {
				load := rapid.SampledFrom([]float64{0, 10, 100, 1000, 1e9}).Draw(t, "load")
				key := rapid.Uint64Range(1, 5).Draw(t, "key")
				for i := range rapid.IntRange(1, 8).Draw(t, "sidecars") {
					d.Report(now, &placement.LoadReport{Sidecar: fmt.Sprint(i), PlacementRevision: rev, TotalKeyLoad: load, HotKeys: []placement.KeyLoad{{KeyHash: Name(key), Load: load}}})
				}
			},
			"server": func(t *rapid.T) {
				if len(list) > 0 {
					s := &list[rapid.IntRange(0, len(list)-1).Draw(t, "i")]
					s.Ready, s.KeptOff = rapid.Bool().Draw(t, "ready"), rapid.Bool().Draw(t, "kept off")
					s.Choked, s.Boot = rapid.Bool().Draw(t, "choked"), float64(rapid.IntRange(0, 1).Draw(t, "boot"))
				}
				d.Servers(list)
			},
			"lost":  func(t *rapid.T) { list = list[:len(list)*3/4]; d.Servers(list) },
			"leave": func(*rapid.T) { u := uid(); d.Leave(u); d.May(u) },
			"stay":  func(*rapid.T) { d.Stay(uid()) },
			"successor": func(*rapid.T) {
				d = newDecider(cfg)
				d.Servers(list)
				d.Resume(now, slices.Collect(maps.Values(table)))
			},
			"decide": func(t *rapid.T) {
				now += rapid.SampledFrom([]float64{0.25, 0.25, 1, 5}).Draw(t, "s")
				lost := rapid.IntRange(0, 3).Draw(t, "write") == 0
				for _, f := range d.Decide(now) {
					if f.Put == nil {
						delete(table, f.Drop)
						d.Wrote(f.Drop, rev)
						continue
					}
					if err := f.Put.Validate(); err != nil {
						t.Fatal(err)
					}
					sum := 0.0
					for _, c := range f.Put.Copies {
						if i := slices.IndexFunc(list, func(s Server) bool { return s.UID == c.ServerUID }); i < 0 || !list[i].Ready || list[i].KeptOff {
							t.Fatalf("a copy on %s", c.ServerUID)
						}
						sum += c.LoadFraction
						began[f.Put.ID+c.ServerUID] = true
					}
					if sum > 1.0001 || len(d.keys) > 3 {
						t.Fatalf("shares of %v, %d keys", sum, len(d.keys))
					}
					if !lost {
						rev++
						table[f.Put.ID] = *f.Put
						d.Wrote(f.Put.ID, rev)
					}
				}
				if most := (now - start + 1) * max(cfg.Least, cfg.Budget*4000); float64(len(began))*cfg.ColdWork > most+1 {
					t.Fatalf("%d copies were begun in %v s", len(began), now-start)
				}
			},
		})
	})
}
