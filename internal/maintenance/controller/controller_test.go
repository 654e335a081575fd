package controller_test

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
	"milldeck/internal/maintenance"
	"milldeck/internal/maintenance/calendar"
	"milldeck/internal/maintenance/contract"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// testbed is three replicas and controllers as processes, two agents with two sidecars each that report to these over sockets,
// and servers of which one answers as long as it lives.
type testbed struct {
	*testing.T
	ctx            context.Context
	program        string
	dir            string
	cluster        *cluster.Cluster
	client         *registry.Client
	reportAddrs    []string // controllers' addresses
	controllers    []*proc.Process
	serverReady    atomic.Bool  // the server answers that it is ready
	openRequests   atomic.Int64 // requests that each sidecar has open at servers that it keeps off
	agents         []string
	closeMS        atomic.Int64 // no sidecar may be told to keep off from then on; 0: not yet known
	lateExclusions atomic.Int64 // sidecars that were
	exclusionsSeen atomic.Int64 // lines in which one was told to keep off
}

func newTestbed(t *testing.T) *testbed {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
	t.Cleanup(cancel)
	b := &testbed{T: t, ctx: ctx, program: proctest.Program(t, "milldeck"), dir: t.TempDir()}
	b.serverReady.Store(true)
	block, err := proc.TakeBlock()
	b.must(err)
	t.Cleanup(block.Release)
	b.cluster, err = cluster.Start(ctx, 3, cluster.Options{Program: b.program, DataDir: b.dir, Addresses: block})
	t.Cleanup(func() { b.cluster.Close() })
	b.must(err)
	b.client, err = b.cluster.Client()
	b.must(err)
	t.Cleanup(b.client.Close)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !b.serverReady.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(server.Close)
	var instances []registry.Instance
	for i := range 16 {
		instances = append(instances, registry.Instance{Target: registry.Target{UID: fmt.Sprint("s", i), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone: fmt.Sprint("z", i%2), PodGroup: i / 4, State: registry.InstanceReady, Capacity: 1, BootMS: 1}})
	}
	instances[0].Endpoint = strings.TrimPrefix(server.URL, "http://")
	_, err = b.client.Register(ctx, registry.WriteOptions{}, instances...)
	b.must(err)
	for n := range 2 {
		b.reportAddrs = append(b.reportAddrs, block.Addr(211, n, 8550))
	}
	var sidecars sync.WaitGroup
	t.Cleanup(sidecars.Wait)
	t.Cleanup(cancel)
	call := registry.SidecarRequest{TTLMS: 600_000}
	for n := range 2 {
		started, err := agent.Start(agent.Options{Listen: block.Addr(201, n, 8500), Replicas: b.cluster.HTTPAddrs(), ReportAddresses: b.reportAddrs})
		b.must(err)
		t.Cleanup(func() { started.Close() })
		b.agents = append(b.agents, started.Addr())
		for i := range 2 {
			name := fmt.Sprint("car-", n, "-", i)
			call.Sidecars = append(call.Sidecars, registry.Sidecar{Name: name, Ready: true, TTLMS: call.TTLMS})
			sidecars.Go(func() { b.runSidecar(started.Addr(), name) })
		}
	}
	_, err = b.client.RegisterSidecars(ctx, call)
	b.must(err)
	b.setContract(nil)
	return b
}

func (b *testbed) must(err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// startController starts a controller and waits until it says that it is ready.
func (b *testbed) startController(n int, more ...string) *proc.Process {
	b.Helper()
	args := append([]string{"window", "serve", "--reports-listen", b.reportAddrs[n], "--replicas", strings.Join(b.cluster.HTTPAddrs(), ","), "--ttl", "2s",
		"--ready-path", "/ready"}, more...)
	process, err := proc.Start(proc.Spec{Name: fmt.Sprint("controller ", len(b.controllers)), Path: b.program, Args: args,
		Log: filepath.Join(b.dir, fmt.Sprint("controller", len(b.controllers)))})
	b.must(err)
	b.Cleanup(process.Kill)
	b.controllers = append(b.controllers, process)
	_, err = process.WaitLog(b.ctx, "serves")
	b.must(err)
	return process
}

func (b *testbed) eventually(condition string, holds func() bool) {
	b.Helper()
	for !holds() {
		select {
		case <-b.ctx.Done():
			for _, process := range b.controllers {
				b.Log(process.Log())
			}
			b.Fatalf("not in time: %s", condition)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// write makes an operator's operation.
func (b *testbed) write(op maintenance.Operation) {
	b.Helper()
	if _, err := b.client.WriteWindow(b.ctx, registry.WriteOptions{}, maintenance.Timestamp{}, op); err != nil {
		b.Fatalf("%s: %v", op.Kind, err)
	}
}

// setContract brings one into force that approves all day, and the present hours as a grant says.
func (b *testbed) setContract(approval *maintenance.Approval) {
	b.Helper()
	allDay := []calendar.Rule{{Recurrence: "FREQ=DAILY", Start: "00:00", Length: "23h", FirstDay: "2020-01-01"},
		{Recurrence: "FREQ=DAILY", Start: "12:00", Length: "23h", FirstDay: "2020-01-01"}}
	b.write(maintenance.Operation{Kind: maintenance.OpSetContract, CurrentApproval: approval, Contract: &contract.Contract{Tenant: "portal", Notice: "0s", MinutesPerMonth: 6000,
		MinAvailableShare: 0.5, MaxConcurrentWindows: 1, OverrunPolicy: contract.OverrunHaltsTenant, Spec: calendar.Spec{Zone: "UTC", ApprovedHours: allDay}}})
}

// propose asks for the server that answers.
func (b *testbed) propose(name string, work time.Duration) {
	b.Helper()
	b.write(maintenance.Operation{Kind: maintenance.OpPropose, Window: name, Operator: "operator/eva", ServerUIDs: []string{"s0"}, WorkMS: work.Milliseconds()})
}

// awaitWindow looks until a window is as it should be.
func (b *testbed) awaitWindow(condition, name string, holds func(w *maintenance.Window, view *maintenance.Snapshot) bool) (last *maintenance.Window) {
	b.Helper()
	b.eventually(name+": "+condition, func() bool {
		ctx, cancel := context.WithTimeout(b.ctx, 3*time.Second)
		defer cancel()
		view, err := b.client.Windows(ctx, true)
		if err != nil {
			return false
		}
		last = maintenance.Restore(view.Table).Window(name)
		return last != nil && holds(last, view.Table)
	})
	return last
}

// awaitStage waits for a window to come to a stage.
func (b *testbed) awaitStage(name string, want maintenance.Stage) *maintenance.Window {
	b.Helper()
	return b.awaitWindow(string(want), name, func(w *maintenance.Window, _ *maintenance.Snapshot) bool {
		if w.Finished() && w.Stage != want {
			b.Fatalf("%s is %s: %s", name, w.Stage, w.Reason)
		}
		return w.Stage == want
	})
}

// placement is what an agent tells its sidecar.
func (b *testbed) placement(agent string) (list placement.Update) {
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent+"/registry/placement", nil)
	if err != nil {
		return list
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return list
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(&list) != nil {
		return placement.Update{} // nothing is known there yet
	}
	return list
}

// excluded tells whether an agent has its sidecars keep off.
func (b *testbed) excluded() bool {
	for _, address := range b.agents {
		if len(b.placement(address).Directives) > 0 {
			return true
		}
	}
	return false
}

// runSidecar follows what its agent tells, reports it, and minds what it is told after the close.
func (b *testbed) runSidecar(addr, name string) {
	for b.ctx.Err() == nil {
		list := b.placement(addr)
		report := placement.LoadReport{Sidecar: name, PlacementRevision: list.Revision, PlacementEpoch: list.Epoch, IntervalMS: 100, ExcludedInFlight: map[string]int{}}
		for _, entry := range list.Directives {
			report.ExcludedInFlight[entry.ID] = int(b.openRequests.Load())
			b.exclusionsSeen.Add(1)
			if closeMS := b.closeMS.Load(); closeMS != 0 && time.Now().UnixMilli() >= closeMS {
				b.lateExclusions.Add(1)
			}
		}
		if data, err := json.Marshal(report); err == nil {
			if response, err := http.Post("http://"+addr+"/registry/report", "application/json", bytes.NewReader(data)); err == nil {
				response.Body.Close()
			}
		}
		select {
		case <-b.ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// awaitSettled waits until nothing is out, by the ledger, and nothing is told to sidecars.
func (b *testbed) awaitSettled() {
	b.Helper()
	b.eventually("all is back", func() bool {
		view, err := b.client.LedgerView(b.ctx, true, true)
		if err != nil {
			return false
		}
		for _, permit := range view.Permits {
			if permit.Stage != disruption.StageCompleted && permit.Stage != disruption.StageCancelled {
				return false
			}
		}
		return !b.excluded()
	})
}

// Case 8: the list service's leader is killed in a drain, and the controller while the window is free. Its successor leaves the
// work its time and brings the window back before the close. Then a contract is withdrawn in the middle of another.
func TestControllerKilledWhileDrained(t *testing.T) {
	b := newTestbed(t)
	first := b.startController(0)
	_, err := first.WaitLog(b.ctx, "what=acquired")
	b.must(err)
	b.startController(1)
	b.openRequests.Store(1)
	b.propose("disks", 4*time.Second)
	b.awaitStage("disks", maintenance.StageDraining)
	b.eventually("sidecars are told", b.excluded)
	leader, err := b.cluster.AwaitLeader(b.ctx)
	b.must(err)
	leader.Process.Kill()
	_, err = b.cluster.AwaitLeader(b.ctx)
	b.must(err)
	if w := b.awaitStage("disks", maintenance.StageDraining); w.DrainedAtMS != 0 {
		t.Errorf("free with requests open: %+v", w)
	}
	b.openRequests.Store(0)
	free := b.awaitStage("disks", maintenance.StageDrained)
	if !b.excluded() {
		t.Error("free, and no agent tells its sidecars to keep off")
	}
	first.Kill()
	done := b.awaitStage("disks", maintenance.StageDone)
	if done.DrainedAtMS != free.DrainedAtMS || done.ReturnStartedAtMS < free.DrainedAtMS+done.WorkMS || done.ReturnedAtMS >= done.ClosesAtMS || done.Attempt != 1 {
		t.Errorf("%+v", done)
	}
	b.awaitSettled()

	b.propose("fans", time.Hour)
	b.awaitStage("fans", maintenance.StageDrained)
	b.write(maintenance.Operation{Kind: maintenance.OpWithdrawContract, Tenant: "portal"})
	at := time.Now()
	b.eventually("no sidecar keeps off", func() bool { return !b.excluded() })
	t.Logf("sidecars keep off no more %v after a contract is withdrawn", time.Since(at))
	if w := b.awaitStage("fans", maintenance.StageHalted); w.Reason != "a contract has changed" || w.ReturnedAtMS == 0 {
		t.Errorf("%+v", w)
	}
	b.awaitSettled()
}

// Case 8: a server does not come back and the close comes while the controller is dead, or all of the list service. What
// sidecars are told ends by itself; who comes after it finds the overrun and halts the tenant's other windows.
func TestCloseWhileControllerIsDown(t *testing.T) {
	t.Parallel()
	for name, registryDown := range map[string]bool{"controller": false, "registry": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			controller := b.startController(0)
			b.propose("disks", time.Hour)
			b.awaitStage("disks", maintenance.StageDrained)
			b.serverReady.Store(false)
			now := time.Now()
			closesAtMS := now.Add(8 * time.Second).UnixMilli()
			b.closeMS.Store(closesAtMS)
			month := calendar.Month{Name: "2026-01", Interval: calendar.Interval{StartMS: now.Add(-time.Hour).UnixMilli(), EndMS: closesAtMS + 24*3600_000}}
			b.setContract(&maintenance.Approval{Tenant: "portal", OpensAtMS: month.StartMS, ClosesAtMS: closesAtMS, Months: []calendar.Month{month}})
			w := b.awaitStage("disks", maintenance.StageReturning)
			if w.ClosesAtMS != closesAtMS || w.ExcludedUntilMS > closesAtMS-maintenance.CloseGuardMS {
				t.Errorf("told until %d, the close is %d", w.ExcludedUntilMS, w.ClosesAtMS)
			}
			controller.Kill()
			if registryDown {
				for _, replica := range b.cluster.Replicas {
					replica.Process.Kill()
				}
			}
			exclusionsBefore := b.exclusionsSeen.Load()
			b.eventually("the close has come", func() bool { return time.Now().UnixMilli() > closesAtMS+500 })
			if b.exclusionsSeen.Load() == exclusionsBefore {
				t.Error("nobody kept off any more before the close")
			}
			if b.excluded() || b.lateExclusions.Load() > 0 {
				t.Errorf("%d lines told sidecars to keep off after the close", b.lateExclusions.Load())
			}
			if registryDown {
				for _, replica := range b.cluster.Replicas {
					b.must(replica.Start())
				}
				_, err := b.cluster.AwaitLeader(b.ctx)
				b.must(err)
			}
			b.startController(1)
			b.awaitWindow("the overrun is found", "disks", func(w *maintenance.Window, snapshot *maintenance.Snapshot) bool {
				return w.Stage == maintenance.StageOverrun && w.OutOfService() && snapshot.Halts["tenant/portal"] != ""
			})
			b.serverReady.Store(true)
			b.awaitWindow("it is back", "disks", func(w *maintenance.Window, _ *maintenance.Snapshot) bool { return w.Finished() })
			b.awaitSettled()
			if b.lateExclusions.Load() > 0 {
				t.Errorf("%d lines told sidecars to keep off after the close", b.lateExclusions.Load())
			}
		})
	}
}

// Case 8: the controller's clock is an hour off. Its steps are refused when they are applied and nothing is taken out, until
// one with a right clock goes on.
func TestControllerClockAnHourOff(t *testing.T) {
	t.Parallel()
	for _, ahead := range []string{"1h", "-1h"} {
		t.Run(ahead, func(t *testing.T) {
			b := newTestbed(t)
			wrong := b.startController(0, "--clock-ahead", ahead)
			b.propose("disks", 100*time.Millisecond)
			_, err := wrong.WaitLog(b.ctx, "outcome=doubt")
			b.must(err)
			b.awaitWindow("doubt", "disks", func(w *maintenance.Window, snapshot *maintenance.Snapshot) bool {
				return w.Stage == maintenance.StageProposed && snapshot.ClockFault != ""
			})
			b.must(wrong.Stop(b.ctx))
			if b.exclusionsSeen.Load() > 0 {
				t.Error("a sidecar was told to keep off")
			}
			b.startController(1)
			b.awaitStage("disks", maintenance.StageDone)
			b.awaitSettled()
		})
	}
}
