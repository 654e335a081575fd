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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milldeck/internal/agent"
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

// bed is three replicas and controllers as processes, two agents with two sidecars each that report to these over sockets,
// and servers of which one answers as long as it lives.
type bed struct {
	*testing.T
	ctx     context.Context
	program string
	dir     string
	c       *cluster.Cluster
	client  *registry.Client
	at      []string // controllers' addresses
	ctl     []*proc.Process
	live    atomic.Bool  // the server answers that it is ready
	open    atomic.Int64 // requests that each sidecar has open at servers that it keeps off
	agents  []string
	closeMS atomic.Int64 // no sidecar may be told to keep off from then on; 0: not yet known
	late    atomic.Int64 // sidecars that were
	told    atomic.Int64 // lines in which one was told to keep off
}

func newBed(t *testing.T) *bed {
	t.Parallel()
	ctx, stop := context.WithTimeout(t.Context(), 100*time.Second)
	t.Cleanup(stop)
	b := &bed{T: t, ctx: ctx, program: proctest.Program(t, "milldeck"), dir: t.TempDir()}
	b.live.Store(true)
	block, err := proc.TakeBlock()
	b.no(err)
	t.Cleanup(block.Release)
	b.c, err = cluster.Start(ctx, 3, cluster.Options{Program: b.program, Dir: b.dir, Block: block})
	t.Cleanup(func() { b.c.Close() })
	b.no(err)
	b.client, err = b.c.Client()
	b.no(err)
	t.Cleanup(b.client.Close)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !b.live.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(server.Close)
	var list []registry.Instance
	for i := range 16 {
		list = append(list, registry.Instance{Target: registry.Target{UID: fmt.Sprint("s", i), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone: fmt.Sprint("z", i%2), Pod: i / 4, State: registry.Ready, Capacity: 1, BootMS: 1}})
	}
	list[0].Endpoint = strings.TrimPrefix(server.URL, "http://")
	_, err = b.client.Register(ctx, registry.Write{}, list...)
	b.no(err)
	for n := range 2 {
		b.at = append(b.at, block.Addr(211, n, 8550))
	}
	var around sync.WaitGroup
	t.Cleanup(around.Wait)
	t.Cleanup(stop)
	cars := registry.SidecarCall{TTLMS: 600_000}
	for n := range 2 {
		a, err := agent.Start(agent.Options{Listen: block.Addr(201, n, 8500), Replicas: b.c.HTTPs(), ReportAddresses: b.at})
		b.no(err)
		t.Cleanup(func() { a.Close() })
		b.agents = append(b.agents, a.Addr())
		for i := range 2 {
			name := fmt.Sprint("car-", n, "-", i)
			cars.Sidecars = append(cars.Sidecars, registry.Sidecar{Name: name, Ready: true, TTLMS: cars.TTLMS})
			around.Go(func() { b.sidecar(a.Addr(), name) })
		}
	}
	_, err = b.client.RegisterSidecars(ctx, cars)
	b.no(err)
	b.contract(nil)
	return b
}

func (b *bed) no(err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// serve starts a controller and waits until it says that it is ready.
func (b *bed) serve(n int, more ...string) *proc.Process {
	b.Helper()
	args := append([]string{"window", "serve", "--reports-listen", b.at[n], "--replicas", strings.Join(b.c.HTTPs(), ","), "--ttl", "2s",
		"--ready-path", "/ready"}, more...)
	p, err := proc.Start(proc.Spec{Name: fmt.Sprint("controller ", len(b.ctl)), Path: b.program, Args: args,
		Log: filepath.Join(b.dir, fmt.Sprint("controller", len(b.ctl)))})
	b.no(err)
	b.Cleanup(p.Kill)
	b.ctl = append(b.ctl, p)
	_, err = p.WaitLog(b.ctx, "serves")
	b.no(err)
	return p
}

func (b *bed) until(what string, ok func() bool) {
	b.Helper()
	for !ok() {
		select {
		case <-b.ctx.Done():
			for _, p := range b.ctl {
				b.Log(p.Log())
			}
			b.Fatalf("not in time: %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// write makes an operator's operation.
func (b *bed) write(op window.Op) {
	b.Helper()
	if _, err := b.client.WriteWindow(b.ctx, registry.Write{}, window.Stamp{}, op); err != nil {
		b.Fatalf("%s: %v", op.Kind, err)
	}
}

// contract brings one into force that approves all day, and the present hours as a grant says.
func (b *bed) contract(g *window.Grant) {
	b.Helper()
	all := []hours.Rule{{Rule: "FREQ=DAILY", Start: "00:00", Length: "23h", From: "2020-01-01"},
		{Rule: "FREQ=DAILY", Start: "12:00", Length: "23h", From: "2020-01-01"}}
	b.write(window.Op{Kind: window.OpContract, Grant: g, Contract: &contract.Contract{Tenant: "portal", Notice: "0s", MinutesAMonth: 6000,
		LeastShare: 0.5, WindowsAtOnce: 1, OnOverrun: contract.HaltOthers, Spec: hours.Spec{Zone: "UTC", Open: all}}})
}

// propose asks for the server that answers.
func (b *bed) propose(name string, work time.Duration) {
	b.Helper()
	b.write(window.Op{Kind: window.OpPropose, Name: name, By: "operator/eva", Servers: []string{"s0"}, WorkMS: work.Milliseconds()})
}

// window looks until a window is as it should be.
func (b *bed) window(what, name string, ok func(w *window.Window, v *window.Saved) bool) (last *window.Window) {
	b.Helper()
	b.until(name+": "+what, func() bool {
		ctx, stop := context.WithTimeout(b.ctx, 3*time.Second)
		defer stop()
		v, err := b.client.Windows(ctx, true)
		if err != nil {
			return false
		}
		last = window.Load(v.Table).Window(name)
		return last != nil && ok(last, v.Table)
	})
	return last
}

// stage waits for a window to come to a stage.
func (b *bed) stage(name string, want window.Stage) *window.Window {
	b.Helper()
	return b.window(string(want), name, func(w *window.Window, _ *window.Saved) bool {
		if w.Ended() && w.Stage != want {
			b.Fatalf("%s is %s: %s", name, w.Stage, w.Why)
		}
		return w.Stage == want
	})
}

// places is what an agent tells its sidecar.
func (b *bed) places(agent string) (l placement.Update) {
	ctx, stop := context.WithTimeout(b.ctx, time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent+"/registry/placement", nil)
	if err != nil {
		return l
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return l
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&l) != nil {
		return placement.Update{} // nothing is known there yet
	}
	return l
}

// keepsOff tells whether an agent has its sidecars keep off.
func (b *bed) keepsOff() bool {
	for _, a := range b.agents {
		if len(b.places(a).Directives) > 0 {
			return true
		}
	}
	return false
}

// sidecar follows what its agent tells, reports it, and minds what it is told after the close.
func (b *bed) sidecar(addr, name string) {
	for b.ctx.Err() == nil {
		l := b.places(addr)
		r := placement.LoadReport{Sidecar: name, PlacementRevision: l.Revision, PlacementEpoch: l.Epoch, IntervalMS: 100, ExcludedInFlight: map[string]int{}}
		for _, e := range l.Directives {
			r.ExcludedInFlight[e.ID] = int(b.open.Load())
			b.told.Add(1)
			if end := b.closeMS.Load(); end != 0 && time.Now().UnixMilli() >= end {
				b.late.Add(1)
			}
		}
		if data, err := json.Marshal(r); err == nil {
			if resp, err := http.Post("http://"+addr+"/registry/report", "application/json", bytes.NewReader(data)); err == nil {
				resp.Body.Close()
			}
		}
		select {
		case <-b.ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// settled waits until nothing is out, by the ledger, and nothing is told to sidecars.
func (b *bed) settled() {
	b.Helper()
	b.until("all is back", func() bool {
		v, err := b.client.LedgerView(b.ctx, true, true)
		if err != nil {
			return false
		}
		for _, p := range v.Permits {
			if p.Stage != disruption.StageCompleted && p.Stage != disruption.StageCancelled {
				return false
			}
		}
		return !b.keepsOff()
	})
}

// Case 8: the list service's leader is killed in a drain, and the controller while the window is free. Its successor leaves the
// work its time and brings the window back before the close. Then a contract is withdrawn in the middle of another.
func TestCase8ControllerKilledWhileFree(t *testing.T) {
	b := newBed(t)
	first := b.serve(0)
	_, err := first.WaitLog(b.ctx, "what=acquired")
	b.no(err)
	b.serve(1)
	b.open.Store(1)
	b.propose("disks", 4*time.Second)
	b.stage("disks", window.Draining)
	b.until("sidecars are told", b.keepsOff)
	leader, err := b.c.Leader(b.ctx)
	b.no(err)
	leader.Proc.Kill()
	_, err = b.c.Leader(b.ctx)
	b.no(err)
	if w := b.stage("disks", window.Draining); w.FreeMS != 0 {
		t.Errorf("free with requests open: %+v", w)
	}
	b.open.Store(0)
	free := b.stage("disks", window.Free)
	if !b.keepsOff() {
		t.Error("free, and no agent tells its sidecars to keep off")
	}
	first.Kill()
	done := b.stage("disks", window.Done)
	if done.FreeMS != free.FreeMS || done.ReturnMS < free.FreeMS+done.WorkMS || done.BackMS >= done.CloseMS || done.Attempt != 1 {
		t.Errorf("%+v", done)
	}
	b.settled()

	b.propose("fans", time.Hour)
	b.stage("fans", window.Free)
	b.write(window.Op{Kind: window.OpWithdraw, Tenant: "portal"})
	at := time.Now()
	b.until("no sidecar keeps off", func() bool { return !b.keepsOff() })
	t.Logf("sidecars keep off no more %v after a contract is withdrawn", time.Since(at))
	if w := b.stage("fans", window.Halted); w.Why != "a contract has changed" || w.BackMS == 0 {
		t.Errorf("%+v", w)
	}
	b.settled()
}

// Case 8: a server does not come back and the close comes while the controller is dead, or all of the list service. What
// sidecars are told ends by itself; who comes after it finds the overrun and halts the tenant's other windows.
func TestCase8CloseWhileDead(t *testing.T) {
	t.Parallel()
	for name, registryToo := range map[string]bool{"controller": false, "registry": true} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			ctl := b.serve(0)
			b.propose("disks", time.Hour)
			b.stage("disks", window.Free)
			b.live.Store(false)
			now := time.Now()
			closes := now.Add(8 * time.Second).UnixMilli()
			b.closeMS.Store(closes)
			month := hours.Month{Name: "2026-01", Interval: hours.Interval{From: now.Add(-time.Hour).UnixMilli(), Until: closes + 24*3600_000}}
			b.contract(&window.Grant{Tenant: "portal", OpenMS: month.From, CloseMS: closes, Months: []hours.Month{month}})
			w := b.stage("disks", window.Returning)
			if w.CloseMS != closes || w.ToldMS > closes-window.GuardMS {
				t.Errorf("told until %d, the close is %d", w.ToldMS, w.CloseMS)
			}
			ctl.Kill()
			if registryToo {
				for _, r := range b.c.Replicas {
					r.Proc.Kill()
				}
			}
			told := b.told.Load()
			b.until("the close has come", func() bool { return time.Now().UnixMilli() > closes+500 })
			if b.told.Load() == told {
				t.Error("nobody kept off any more before the close")
			}
			if b.keepsOff() || b.late.Load() > 0 {
				t.Errorf("%d lines told sidecars to keep off after the close", b.late.Load())
			}
			if registryToo {
				for _, r := range b.c.Replicas {
					b.no(r.Start())
				}
				_, err := b.c.Leader(b.ctx)
				b.no(err)
			}
			b.serve(1)
			b.window("the overrun is found", "disks", func(w *window.Window, v *window.Saved) bool {
				return w.Stage == window.Overrun && w.Out() && v.Halts["tenant/portal"] != ""
			})
			b.live.Store(true)
			b.window("it is back", "disks", func(w *window.Window, _ *window.Saved) bool { return w.Ended() })
			b.settled()
			if b.late.Load() > 0 {
				t.Errorf("%d lines told sidecars to keep off after the close", b.late.Load())
			}
		})
	}
}

// Case 8: the controller's clock is an hour off. Its steps are refused when they are applied and nothing is taken out, until
// one with a right clock goes on.
func TestCase8ClockAnHourOff(t *testing.T) {
	t.Parallel()
	for _, ahead := range []string{"1h", "-1h"} {
		t.Run(ahead, func(t *testing.T) {
			b := newBed(t)
			wrong := b.serve(0, "--clock-ahead", ahead)
			b.propose("disks", 100*time.Millisecond)
			_, err := wrong.WaitLog(b.ctx, "outcome=doubt")
			b.no(err)
			b.window("doubt", "disks", func(w *window.Window, v *window.Saved) bool { return w.Stage == window.Proposed && v.Doubt != "" })
			b.no(wrong.Stop(b.ctx))
			if b.told.Load() > 0 {
				t.Error("a sidecar was told to keep off")
			}
			b.serve(1)
			b.stage("disks", window.Done)
			b.settled()
		})
	}
}
