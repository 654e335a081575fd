package spread_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milldeck/internal/agent"
	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
	"milldeck/internal/spread"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// bed is three replicas and two deciders as processes, two agents, and thirty sidecars that report to these over sockets.
// The first decider holds the duty.
type bed struct {
	*testing.T
	ctx      context.Context
	c        *cluster.Cluster
	client   *registry.Client
	deciders []*proc.Process
	at       []string // their addresses
	hot      atomic.Uint64
	lossy    atomic.Bool  // each second report of a sidecar is lost
	life     atomic.Int64 // of the sidecars: they restart when it changes
}

func newBed(t *testing.T) *bed {
	t.Parallel()
	ctx, stop := context.WithTimeout(t.Context(), 100*time.Second)
	t.Cleanup(stop)
	b := &bed{T: t, ctx: ctx}
	block, err := proc.TakeBlock()
	b.no(err)
	t.Cleanup(block.Release)
	program, dir := proctest.Program(t, "milldeck"), t.TempDir()
	b.c, err = cluster.Start(ctx, 3, cluster.Options{Program: program, Dir: dir, Block: block})
	t.Cleanup(func() { b.c.Close() })
	b.no(err)
	b.client, err = b.c.Client()
	b.no(err)
	t.Cleanup(b.client.Close)
	var list []registry.Instance
	for i := range 60 {
		list = append(list, registry.Instance{Target: registry.Target{UID: fmt.Sprint("s", i), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone: fmt.Sprint("z", i%3), Pod: i / 4, State: registry.Ready, Capacity: 1}})
	}
	_, err = b.client.Register(ctx, registry.Write{}, list...)
	b.no(err)
	for n := range 2 {
		addr := block.Addr(210, n, 8520)
		p, err := proc.Start(proc.Spec{Name: fmt.Sprint("decider ", n), Path: program, Log: filepath.Join(dir, fmt.Sprint("decider", n)),
			Args: []string{"spread", "serve", "--listen", addr, "--replicas", strings.Join(b.c.HTTPs(), ","), "--cold-for", "0s"}})
		b.no(err)
		t.Cleanup(p.Kill)
		b.deciders, b.at = append(b.deciders, p), append(b.at, addr)
		b.log(n, []string{"what=acquired", "serves"}[n])
	}
	var around sync.WaitGroup
	t.Cleanup(around.Wait)
	t.Cleanup(stop)
	for n := range 2 {
		a, err := agent.Start(agent.Options{Listen: block.Addr(201, n, 8500), Replicas: b.c.HTTPs(), ReportAddresses: b.at})
		b.no(err)
		t.Cleanup(func() { a.Close() })
		for i := range 15 {
			around.Go(func() { b.sidecar(a.Addr(), fmt.Sprint("car-", n, "-", i), n+i == 0) })
		}
	}
	return b
}

func (b *bed) no(err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func (b *bed) log(n int, text string) {
	b.Helper()
	_, err := b.deciders[n].WaitLog(b.ctx, text)
	b.no(err)
}

func (b *bed) until(what string, ok func() bool) {
	b.Helper()
	for !ok() {
		select {
		case <-b.ctx.Done():
			b.Fatalf("not in time: %s\n%s\n%s", what, b.deciders[0].Log(), b.deciders[1].Log())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// get calls a decider; false where it does not answer 200.
func (b *bed) get(method, url string, v any) bool {
	req, err := http.NewRequestWithContext(b.ctx, method, url, nil)
	b.no(err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(v) == nil
}

// carried is the part of a key that copies carry by the placement, and by which servers.
func (b *bed) carried(key uint64) (part float64, by []string) {
	l, err := b.client.PlacementView(b.ctx, false)
	if err != nil {
		return 0, nil
	}
	for _, e := range l.Directives {
		for _, c := range e.Copies {
			if e.ID == spread.ID(key) && c.LoadFraction > 0 {
				part += c.LoadFraction
				by = append(by, c.ServerUID)
			}
		}
	}
	return part, by
}

// sidecar reports once a second what it sees of the hot key, and the revision that its agent has. One that tells
// nonsense makes up a key of its own.
func (b *bed) sidecar(addr, name string, nonsense bool) {
	for n := 0; b.ctx.Err() == nil; n++ {
		var l placement.Update
		if !b.get(http.MethodGet, "http://"+addr+"/registry/placement", &l) {
			l = placement.Update{} // nothing is known there yet
		}
		r := placement.LoadReport{Sidecar: fmt.Sprint(name, "-", b.life.Load()), PlacementRevision: l.Revision, PlacementEpoch: l.Epoch, IntervalMS: 1000, TotalKeyLoad: 900,
			HotKeys: []placement.KeyLoad{{KeyHash: spread.Name(b.hot.Load()), Load: 300}}}
		if nonsense {
			r.TotalKeyLoad, r.HotKeys = 7000, []placement.KeyLoad{{KeyHash: spread.Name(999), Load: 7000}}
		}
		if data, err := json.Marshal(r); err == nil && !(b.lossy.Load() && (n+len(name))%2 == 0) {
			if resp, err := http.Post("http://"+addr+"/registry/report", "application/json", bytes.NewReader(data)); err == nil {
				resp.Body.Close()
			}
		}
		select {
		case <-b.ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// Case 9: a key takes a third of all load, then another does; the decider is killed while copies of that warm, and the
// leader of the list service with it; half of the reports are lost; a sidecar reports nonsense.
func TestCase9HotKeys(t *testing.T) {
	b := newBed(t)
	b.hot.Store(1)
	b.until("copies of the first key carry", func() bool { part, _ := b.carried(1); return part > 0.5 })
	before, _ := b.carried(1)
	b.lossy.Store(true)
	b.hot.Store(2)
	b.until("copies of the second key warm", func() bool {
		var rows []spread.Row
		return b.get(http.MethodGet, "http://"+b.at[0]+"/spread", &rows) && slices.ContainsFunc(rows, func(r spread.Row) bool {
			return r.Key == spread.Name(2) && r.Warming > 0
		})
	})
	leader, err := b.c.Leader(b.ctx)
	b.no(err)
	b.deciders[0].Kill()
	leader.Proc.Kill()
	if part, _ := b.carried(1); part < 0.5*before {
		b.Errorf("with the decider dead %v is carried of the first key, %v before", part, before)
	}
	b.log(1, "what=acquired")
	b.until("copies of the second key carry", func() bool { part, _ := b.carried(2); return part > 0.4 })
	if _, by := b.carried(999); len(by) > 0 {
		b.Errorf("one sidecar alone has a key carried by %v", by)
	}
}

// Case 10: servers with warm copies are drained, then lost with others, while all sidecars restart.
func TestCase10WarmCopiesDrainedThenLost(t *testing.T) {
	b := newBed(t)
	b.hot.Store(1)
	var by []string
	b.until("copies carry", func() bool {
		var part float64
		part, by = b.carried(1)
		return part > 0.5 && len(by) >= 4
	})
	b.life.Add(1)
	for _, uid := range by[:2] {
		b.until(uid+" is emptied", func() bool {
			var l spread.Leaving
			return b.get(http.MethodPost, "http://"+b.at[0]+"/spread/leave?uid="+uid, &l) && l.Ready
		})
		if part, _ := b.carried(1); part < 0.4 {
			b.Errorf("%s is emptied and %v is carried", uid, part)
		}
	}
	for _, uid := range by[:4] {
		_, err := b.client.Deregister(b.ctx, registry.Write{}, uid)
		b.no(err)
	}
	b.until("others carry for those lost", func() bool {
		part, now := b.carried(1)
		return part > 0.5 && !slices.ContainsFunc(by[:4], func(uid string) bool { return slices.Contains(now, uid) })
	})
}
