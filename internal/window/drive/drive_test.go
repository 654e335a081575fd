package drive_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
	"milldeck/internal/window"
	"milldeck/internal/window/contract"
	"milldeck/internal/window/hours"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// limit bounds the whole test; it takes a tenth of it.
const limit = 120 * time.Second

// bed is three replicas and a controller as processes, a server that is always ready, and a sidecar that reports.
type bed struct {
	*testing.T
	ctx        context.Context
	client     *registry.Client
	c          *cluster.Cluster
	controller *proc.Process
	begin      func() // has the next controller begin
}

func start(t *testing.T) *bed {
	t.Helper()
	block, err := proc.TakeBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(block.Release)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	b := &bed{T: t, ctx: ctx}
	program, dir := proctest.Program(t, "milldeck"), t.TempDir()
	b.c, err = cluster.Start(ctx, 3, cluster.Options{Program: program, Dir: dir, Block: block})
	t.Cleanup(func() { b.c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	if b.client, err = b.c.Client(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.client.Close)
	at := block.Addr(210, 0, 8530)
	b.begin = func() {
		b.controller, err = proc.Start(proc.Spec{Name: "window", Path: program, Log: filepath.Join(dir, "window"),
			Args: []string{"window", "run", "--listen", at, "--replicas", strings.Join(b.c.HTTPs(), ",")}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.controller.Kill)
	}
	b.begin()
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(ready.Close)
	for i := range 4 {
		one := registry.Instance{Target: registry.Target{UID: fmt.Sprint("m", i), Zone: "z", Pod: i % 2, State: registry.Ready, Capacity: 1,
			Endpoint: strings.TrimPrefix(ready.URL, "http://")}}
		if i > 0 { // only m0 is asked whether it is back
			one.Endpoint = block.Addr(211, i, 9000)
		}
		if _, err := b.client.Register(ctx, registry.Write{}, one); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.client.RegisterSidecars(ctx, registry.SidecarCall{TTLMS: 60_000, Sidecars: []registry.Sidecar{{Name: "s", Ready: true, BootMS: 1}}}); err != nil {
		t.Fatal(err)
	}
	go b.sidecar("http://" + at + "/reports")
	return b
}

// sidecar follows the placement and reports that nothing is open.
func (b *bed) sidecar(reports string) {
	for ; b.ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		l, err := b.client.PlacementView(b.ctx, true)
		if err != nil {
			continue
		}
		r := placement.Report{Name: "s", Rev: l.Rev, SpanMS: 200, Open: map[string]int{}}
		for _, e := range l.Entries {
			if e.LeftMS > 0 {
				r.Open[e.ID] = 0
			}
		}
		body, _ := json.Marshal(map[string]any{"reports": []placement.Report{r}})
		if resp, err := http.Post(reports, "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
	}
}

func (b *bed) write(op window.Op) {
	b.Helper()
	if _, err := b.client.WriteWindow(b.ctx, registry.Write{}, window.Stamp{}, op); err != nil {
		b.Fatalf("%s: %v", op.Kind, err)
	}
}

func (b *bed) until(what string, done func(v *registry.WindowsView) bool) {
	b.Helper()
	for {
		v, err := b.client.Windows(b.ctx, true)
		if err == nil && done(v) {
			return
		}
		if b.ctx.Err() != nil {
			b.Fatalf("not %s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (b *bed) stage(name string, want window.Stage) {
	b.Helper()
	var last *window.Window
	defer func() {
		if b.Failed() {
			b.Logf("%+v, at %s", last, time.Now())
		}
	}()
	b.until(string(want), func(v *registry.WindowsView) bool {
		last = window.Load(v.Table).Window(name)
		return last != nil && last.Stage == want
	})
	b.Log(name, want, time.Now().Format("05.000"))
}

// A window is drained, freed, returned and done, with the leader killed in the drain and the controller while the
// window is free: the next one goes on there. Another is ended by a contract that is withdrawn.
func TestWindowWithProcessesKilled(t *testing.T) {
	b := start(t)
	always := contract.Contract{Tenant: "portal", Notice: "0s", MinutesAMonth: 10_000, LeastShare: 0.5, WindowsAtOnce: 1, OnOverrun: contract.HaltOthers,
		Spec: hours.Spec{Zone: "UTC", Open: []hours.Rule{{Rule: "FREQ=DAILY", Start: "00:00", Length: "48h", From: "2020-01-01"}}}}
	b.write(window.Op{Kind: window.OpContract, Contract: &always})
	b.write(window.Op{Kind: window.OpPropose, Name: "w", By: "ops", Servers: []string{"m0"}, WorkMS: 8000})
	b.stage("w", window.Draining)
	leader, err := b.c.Leader(b.ctx)
	if err != nil {
		t.Fatal(err)
	}
	leader.Proc.Kill()
	b.stage("w", window.Free)
	b.controller.Kill()
	b.begin()
	b.stage("w", window.Done)
	view, err := b.client.LedgerView(b.ctx, true, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range view.Permits {
		if p.Stage != disruption.Settled {
			t.Errorf("%+v is not over", p)
		}
	}
	b.write(window.Op{Kind: window.OpPropose, Name: "v", By: "ops", Servers: []string{"m0"}, WorkMS: 600_000})
	b.stage("v", window.Free)
	b.write(window.Op{Kind: window.OpWithdraw, Tenant: "portal"})
	l, err := b.client.PlacementView(b.ctx, true)
	if err != nil || len(l.Entries) != 0 {
		t.Errorf("%v are told after the contract ended (%v)", l.Entries, err)
	}
	b.stage("v", window.Halted)
}
