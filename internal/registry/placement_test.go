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

	"milldeck/internal/duty/table"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
)

// seek gets a duty for as long as a test lasts.
func (b *bed) seek(name string) *registry.Guard {
	b.Helper()
	d, err := b.client.Duty(b.ctx, table.Campaign, name, registry.DutyCall{Who: "me", TTLMS: 3600_000})
	if err != nil {
		b.Fatal(err)
	}
	return &registry.Guard{Duty: name, Token: d.Token}
}

func keepOff(id string, length time.Duration) placement.Directive {
	return placement.Directive{ID: id, Kind: placement.KindExclude, Tenant: "t", Servers: []string{"s1", "s2"}, MinAvailable: 0.5, ExpiresAtMS: time.Now().Add(length).UnixMilli()}
}

// place sets entries, and returns the status that the write was refused with, 0 if it was done.
func (b *bed) place(g *registry.Guard, entries ...placement.Directive) (registry.Result, int) {
	b.Helper()
	res, err := b.client.SetPlacement(b.ctx, registry.Write{Guard: g}, time.Now().UnixMilli(), entries)
	var status *registry.StatusError
	switch {
	case errors.As(err, &status):
		return res, status.Status
	case err != nil:
		b.Fatal(err)
	}
	return res, 0
}

// follower reads the placement of one replica after the other.
type follower struct {
	mu     sync.Mutex
	reader *placement.Cache
	whole  int // lists that were told whole
	news   func(rev uint64, at time.Time)
	began  time.Time
}

// follow begins with a replica and goes on to the next where a watch ends, until the test does.
func (b *bed) follow(n int, news func(uint64, time.Time)) *follower {
	f := &follower{reader: placement.NewCache(), began: time.Now(), news: news}
	ctx, stop := context.WithCancel(b.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ; ctx.Err() == nil; n++ {
			f.mu.Lock()
			rev, epoch := f.reader.Revision(), f.reader.Epoch()
			f.mu.Unlock()
			at := b.c.Replicas[n%len(b.c.Replicas)].HTTP
			err := b.client.WatchPlacement(ctx, at, rev, epoch, func(l *placement.Update, _ time.Duration) error {
				if l == nil {
					return nil
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				if l.Complete {
					f.whole++
				}
				is, err := f.reader.Apply(l, time.Now().UnixMilli(), time.Since(f.began).Milliseconds())
				if is && f.news != nil {
					f.news(l.Revision, time.Now())
				}
				return err
			})
			if ctx.Err() == nil {
				b.Logf("watch of %s ended: %v", at, err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	b.Cleanup(func() { stop(); <-done })
	return f
}

// has gives the ids in force.
func (f *follower) has() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ids(f.reader.Active(time.Now().UnixMilli(), time.Since(f.began).Milliseconds()))
}

func ids(l placement.Update) string {
	var out []string
	for _, e := range l.Directives {
		out = append(out, e.ID)
	}
	return strings.Join(out, " ")
}

// The leader is killed while watches are open: every one goes on where it was, nothing acknowledged is lost, and the
// replica that comes back from its snapshot tells the same. What is not its owner's is refused before and after.
func TestPlacementOverALostLeader(t *testing.T) {
	b := start(t, 3, false, "snapshot_every = 10")
	leader := b.leader()
	g, other := b.seek("window/a"), b.seek("window/b")
	var all []*follower
	for n := range 3 {
		all = append(all, b.follow(n, nil))
	}
	everyone := func(what, want string) {
		t.Helper()
		b.until(what, func() bool {
			return !slices.ContainsFunc(all, func(f *follower) bool { return f.has() != want })
		})
	}
	if _, status := b.place(g, keepOff("window/a/1", time.Minute), keepOff("window/a/2", time.Minute)); status != 0 {
		t.Fatalf("refused: %d", status)
	}
	everyone("all have the first two", "window/a/1 window/a/2")
	leader.Proc.Kill()
	res, status := b.place(g, keepOff("window/a/3", 2*time.Second), keepOff("window/a/1", time.Minute))
	if status != 0 {
		t.Fatalf("refused: %d", status)
	}
	for name, c := range map[string]struct {
		g    *registry.Guard
		e    placement.Directive
		want int
	}{
		"another's entry":   {other, keepOff("window/a/1", time.Minute), http.StatusConflict},
		"an old token":      {&registry.Guard{Duty: g.Duty, Token: g.Token - 1}, keepOff("window/a/1", time.Minute), http.StatusConflict},
		"no duty":           {nil, keepOff("window/a/1", time.Minute), http.StatusBadRequest},
		"beyond an hour":    {g, keepOff("window/a/1", 2*time.Hour), http.StatusConflict},
		"ended":             {g, keepOff("window/a/1", -time.Second), http.StatusConflict},
		"what cannot be":    {g, placement.Directive{ID: "window/a/1", Kind: placement.KindSpreadKey, ExpiresAtMS: 1}, http.StatusBadRequest},
		"not of any window": {g, keepOff("window", time.Minute), http.StatusBadRequest},
	} {
		if _, status := b.place(c.g, c.e); status != c.want {
			t.Errorf("%s: %d, want %d", name, status, c.want)
		}
	}
	if _, err := b.client.SetPlacement(b.ctx, registry.Write{Guard: g}, time.Now().UnixMilli()-3_600_000, []placement.Directive{keepOff("window/a/1", time.Minute)}); err == nil {
		t.Error("a writer whose clock is an hour behind is taken")
	}
	everyone("all have the third, and none longer than it lasts", "window/a/1 window/a/2")
	b.until("the leader drops what ended", func() bool {
		l, err := b.client.PlacementView(b.ctx, true)
		return err == nil && l.Revision > res.Rev && ids(l) == "window/a/1 window/a/2"
	})
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := b.client.DropPlacement(b.ctx, registry.Write{Guard: g}, "window/a/2", "window/a/never"); err != nil {
		t.Fatal(err)
	}
	everyone("the drop reaches all", "window/a/1")
	want, err := b.client.PlacementView(b.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	one, err := registry.NewClient([]string{leader.HTTP})
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	b.until("the killed one tells the same", func() bool {
		l, err := one.PlacementView(b.ctx, false)
		return err == nil && l.Revision == want.Revision && l.Epoch == want.Epoch && ids(l) == "window/a/1"
	})
	for n, f := range all {
		f.mu.Lock()
		if f.reader.Revision() != want.Revision {
			t.Errorf("follower %d has revision %d, want %d", n, f.reader.Revision(), want.Revision)
		}
		f.mu.Unlock()
	}
}

// A restored backup begins another history: watchers get it whole, and what was written since it was taken is gone.
func TestPlacementOfAnOlderBackup(t *testing.T) {
	b := start(t, 1, false, "")
	g := b.seek("window/a")
	f := b.follow(0, nil)
	b.place(g, keepOff("window/a/1", time.Minute))
	backup, err := b.client.SaveSnapshot(b.ctx)
	if err != nil {
		t.Fatal(err)
	}
	b.place(g, keepOff("window/a/2", time.Minute))
	b.until("both are there", func() bool { return f.has() == "window/a/1 window/a/2" })
	if _, err := b.client.RestoreSnapshot(b.ctx, backup); err != nil {
		t.Fatal(err)
	}
	b.until("the older one is told", func() bool { return f.has() == "window/a/1" })
	if _, status := b.place(g, keepOff("window/a/3", time.Minute)); status != 0 {
		t.Fatalf("refused: %d", status)
	}
	b.until("and goes on", func() bool { return f.has() == "window/a/1 window/a/3" })
}

// A change reaches 1,000 watchers on three replicas, followers of the leader among them.
func TestAThousandWatchersGetAChange(t *testing.T) {
	b := start(t, 3, false, "")
	g := b.seek("spread")
	const watchers, changes = 1000, 10
	var mu sync.Mutex
	got := map[uint64][]time.Time{}
	for n := range watchers {
		b.follow(n, func(rev uint64, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			got[rev] = append(got[rev], at)
		})
	}
	count := func(rev uint64) int { mu.Lock(); defer mu.Unlock(); return len(got[rev]) }
	first, err := b.client.PlacementView(b.ctx, true)
	if err != nil {
		t.Fatal(err)
	}
	b.until("all watch", func() bool { return count(first.Revision) == watchers })
	var took []time.Duration
	for k := range changes {
		e := placement.Directive{ID: fmt.Sprint("spread/", k), Kind: placement.KindSpreadKey, KeyHash: "0123456789abcdef", ExpiresAtMS: time.Now().Add(time.Minute).UnixMilli()}
		for c := range 8 {
			e.Copies = append(e.Copies, placement.KeyCopy{ServerUID: fmt.Sprint("s", c), LoadFraction: 0.1})
		}
		asked := time.Now()
		res, status := b.place(g, e)
		if status != 0 {
			t.Fatalf("refused: %d", status)
		}
		b.until("all have the change", func() bool { return count(res.Rev) == watchers })
		for _, at := range got[res.Rev] {
			took = append(took, at.Sub(asked))
		}
	}
	slices.SortFunc(took, func(x, y time.Duration) int { return cmp.Compare(x, y) })
	p99 := took[len(took)*99/100]
	t.Logf("from the call to the last of %d watchers: p50 %v, p99 %v, most %v", watchers, took[len(took)/2], p99, took[len(took)-1])
	if p99 > 2*time.Second {
		t.Errorf("p99 %v", p99)
	}
}
