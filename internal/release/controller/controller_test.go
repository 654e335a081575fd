package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/leaderelection"
	"milldeck/internal/loadreport"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
	"milldeck/internal/supervisor/fake"
)

// fakeCluster is a list service in memory with the real tables, a platform in virtual time, and sidecars that report. Time is
// that of the bubble.
type fakeCluster struct {
	mu                sync.Mutex
	revision          uint64
	token             uint64
	ledger            *disruption.Ledger
	releases          *release.Table
	platform          *fake.Platform
	servers           map[string]*registry.Target
	launches          map[string]int
	boots             map[string]int64
	versions          map[string]string
	cohort            []string
	newVersionFails   bool // the new version fails at start
	stoppedWhileReady []string
	failEveryNth      int // of the calls to the store
	storeCalls        int
}

var serverNames = []string{"a1", "a2", "a3", "b1", "b2", "b3"}

func newFakeCluster() *fakeCluster {
	cluster := &fakeCluster{ledger: disruption.NewLedger(), releases: release.NewTable(), servers: map[string]*registry.Target{}, launches: map[string]int{},
		boots: map[string]int64{}, versions: map[string]string{}}
	now := time.Now().UnixMilli()
	server := func(version string) core.Version { return core.Version{Kind: supervisor.Server, Name: version} }
	cluster.platform = fake.New(fake.Options{Versions: map[core.Version]fake.Version{
		server("1"): {Behave: cluster.startProcess}, server("2"): {Behave: cluster.startProcess}}}, now)
	list, _ := cluster.platform.List(context.Background())
	for i, name := range serverNames {
		cluster.servers[name] = &registry.Target{UID: name, Zone: name[:1], State: registry.InstanceReady, Capacity: 1, PodGroup: i % 3}
		cluster.platform.Do(context.Background(), supervisor.Request{ID: "first-" + name, Op: supervisor.Start, Epoch: list.Epoch, Unit: name,
			Kind: supervisor.Server, Version: "1", Listen: "127.0.0.1:7000", Zone: name[:1]})
	}
	one := 1
	cluster.revision = 100
	cluster.ledger.Apply(cluster.revision, &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: &disruption.Budget{Name: "all",
		Selector: disruption.Selector{Kind: disruption.KindServer}, MaxUnavailable: disruption.Limit{Count: &one}}})
	return cluster
}

// startProcess is told of each launch, within the platform's lock.
func (f *fakeCluster) startProcess(unit supervisor.Unit) fake.Behavior {
	f.launches[unit.Name+" "+unit.Version]++
	f.boots[unit.Name], f.versions[unit.Name] = int64(len(f.launches)), unit.Version
	if f.newVersionFails && unit.Version == "2" {
		return fake.Behavior{ReadyAfterMS: -1, ExitAfterMS: 50, ExitText: "exit status 1"}
	}
	return fake.Behavior{ReadyAfterMS: 300, StopAfterMS: 200}
}

// advance has a quarter of a second pass for servers and sidecars.
func (f *fakeCluster) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.Advance(time.Now().UnixMilli())
	list, _ := f.platform.List(context.Background())
	for _, name := range serverNames {
		target := f.servers[name]
		listed := list.Find(name)
		f.revision++
		id := disruption.UnitID(disruption.KindServer, name)
		if listed == nil || listed.State == supervisor.Exited {
			f.ledger.MarkLost(f.revision, id)
			continue
		}
		if boot := float64(f.boots[name]); target.BootMS != boot {
			target.BootMS, target.State = boot, registry.InstanceReady
		}
		unit := disruption.Unit{ID: id, Kind: disruption.KindServer, Zone: target.Zone, PodGroup: target.PodGroup, Capacity: 1, BootMS: target.BootMS, Version: f.versions[name], Condition: disruption.ConditionUp}
		if target.State == registry.InstanceTerminating {
			unit.Condition = disruption.ConditionDraining
		}
		f.ledger.Register(f.revision, unit)
		if listed.State == supervisor.Running && unit.Condition == disruption.ConditionUp {
			f.revision++
			f.ledger.Apply(f.revision, &disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: id, Condition: disruption.ConditionUp}}})
		}
	}
	for _, sidecar := range []string{"s1", "s2"} {
		f.revision++
		f.ledger.Register(f.revision, disruption.Unit{ID: disruption.UnitID(disruption.KindSidecar, sidecar), Kind: disruption.KindSidecar, Zone: "a", Capacity: 1, Condition: disruption.ConditionUp})
	}
}

func (f *fakeCluster) SetAccepting(bool) {}

// Snapshot is a report of both sidecars, who have the list as it is.
func (f *fakeCluster) Snapshot() ([]loadreport.ReceivedReport, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seen []loadreport.ReceivedReport
	for _, sidecar := range []string{"s1", "s2"} {
		report := placement.LoadReport{Sidecar: sidecar, Zone: "a", EndpointRevision: f.revision}
		for _, cohort := range []string{"", "r"} {
			for _, zone := range []string{"a", "b"} {
				report.ClassCounts = append(report.ClassCounts, placement.ClassCount{Class: "c", Zone: zone, Cohort: cohort, Succeeded: 400, LatencyHistogram: []uint32{300, 60, 40}})
			}
		}
		seen = append(seen, loadreport.ReceivedReport{LoadReport: report, ReceivedAt: time.Duration(time.Now().UnixMilli())})
	}
	return seen, 0
}

// nextError has some calls fail without their outcome being known.
func (f *fakeCluster) nextError() error {
	f.storeCalls++
	if f.failEveryNth > 0 && f.storeCalls%f.failEveryNth == 0 {
		return errors.New("no answer in time")
	}
	return nil
}

func (f *fakeCluster) checkGuard(write registry.WriteOptions) error {
	if write.Guard == nil || write.Guard.Token != f.token {
		return &registry.StatusError{StatusCode: http.StatusConflict, Message: "the token counts no more"}
	}
	f.revision++
	return nil
}

func (f *fakeCluster) Release(_ context.Context, name string, _, _ bool) (registry.ReleaseView, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, commands := f.releases.Get(name)
	own := *state
	own.Units = append([]release.Unit(nil), state.Units...)
	return registry.ReleaseView{State: &own, Commands: commands}, f.nextError()
}

func (f *fakeCluster) WriteRelease(_ context.Context, write registry.WriteOptions, name string, op release.Operation) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkGuard(write); err != nil {
		return registry.Result{}, err
	}
	op.Name = name
	if err := f.releases.Apply(f.revision, &op); err != nil {
		return registry.Result{}, &registry.StatusError{StatusCode: http.StatusConflict, Message: err.Error()}
	}
	return registry.Result{}, f.nextError()
}

func (f *fakeCluster) List(context.Context, bool) (registry.EndpointList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := registry.EndpointList{Revision: f.revision}
	for _, name := range serverNames {
		list.Targets = append(list.Targets, *f.servers[name])
	}
	return list, nil
}

func (f *fakeCluster) SetState(_ context.Context, write registry.WriteOptions, uid, state string) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkGuard(write); err != nil {
		return registry.Result{}, err
	}
	f.servers[uid].State = state
	return registry.Result{}, f.nextError()
}

func (f *fakeCluster) SetPlacement(_ context.Context, write registry.WriteOptions, _ int64, set []placement.Directive, _ ...string) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkGuard(write); err != nil {
		return registry.Result{}, err
	}
	f.cohort = set[0].Servers
	return registry.Result{}, set[0].Validate()
}

func (f *fakeCluster) Sidecars(context.Context) ([]registry.Sidecar, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []registry.Sidecar{{Name: "s1", ListRevision: f.revision}, {Name: "s2"}}, nil
}

func (f *fakeCluster) LedgerView(context.Context, bool, bool) (disruption.View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.View(true), nil
}

func (f *fakeCluster) ApplyLedgerOp(_ context.Context, w registry.WriteOptions, op disruption.Op) (registry.LedgerResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkGuard(w); err != nil {
		return registry.LedgerResult{}, err
	}
	if result := f.ledger.Apply(f.revision, &op); result.Outcome != disruption.OutcomeApplied {
		return registry.LedgerResult{}, &registry.StatusError{StatusCode: http.StatusConflict, Message: result.Reason}
	}
	return registry.LedgerResult{}, f.nextError()
}

// Do and List of the platform are met under the fleet's lock, as its launches are noted there.
type fakePlatform struct{ *fakeCluster }

func (p fakePlatform) Do(ctx context.Context, requests ...supervisor.Request) ([]supervisor.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, request := range requests {
		if target := p.servers[request.Unit]; request.Op == supervisor.Stop && target.State != registry.InstanceTerminating && !p.newVersionFails {
			p.stoppedWhileReady = append(p.stoppedWhileReady, request.Unit)
		}
	}
	outcomes, err := p.platform.Do(ctx, requests...)
	if err == nil {
		err = p.nextError()
	}
	return outcomes, err
}

func (p fakePlatform) List(ctx context.Context) (*supervisor.List, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.platform.List(ctx)
}

// runRelease carries a release out over drivers that follow one another, each cancelled after some steps.
func (f *fakeCluster) runRelease(t *testing.T, shortTerms int) *release.State {
	t.Helper()
	releasePlan, err := plan.Parse("p.toml", []byte("name = \"r\"\non_halt = \"back\"\ndeadline_s = 3600\n[what]\nserver = \"2\"\n[[wave]]\ncount = 1\nbake_s = 10\n[[wave]]\n"))
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		time.Sleep(250 * time.Millisecond)
		f.advance()
	}
	list, _ := f.platform.List(context.Background())
	state, err := release.New(releasePlan, time.Now().UnixMilli(), f.ledger.Units(), f.ledger.Budgets(), list)
	if err == nil {
		f.revision++
		err = f.releases.Apply(f.revision, &release.Operation{Start: state})
	}
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var background sync.WaitGroup
	background.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			f.advance()
		}
	})
	defer background.Wait()
	defer cancel()
	for i := range 400 {
		f.mu.Lock()
		f.token++
		token := f.token
		state, _ := f.releases.Get("r")
		finished := state.Status.Phase.Finished()
		f.mu.Unlock()
		if finished {
			return state
		}
		limit := time.Duration(1000+i*370) * time.Millisecond
		if i >= shortTerms {
			limit = 20 * time.Minute
		}
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		controller := &Controller{Name: "r", Store: f, Platform: fakePlatform{f}, Reports: f, MaxRequestDuration: 2 * time.Second, Strata: 2}
		done := make(chan error, 1)
		go func() { done <- controller.Run(ctx, &leaderelection.Lease{Name: release.Owner("r"), Token: token}) }()
		for ended := false; !ended; {
			select {
			case <-done:
				ended = true
			case <-time.After(time.Second):
				f.mu.Lock()
				state, _ := f.releases.Get("r")
				finished := state.Status.Phase.Finished()
				f.mu.Unlock()
				if finished {
					cancel()
				}
			}
		}
		cancel()
	}
	state, _ = f.releases.Get("r")
	return state
}

func (f *fakeCluster) checkVersion(t *testing.T, version string) {
	t.Helper()
	for _, name := range serverNames {
		if f.versions[name] != version || f.platform.LiveProcesses(name) != 1 {
			t.Errorf("%s runs %s in %d processes, want one of %s", name, f.versions[name], f.platform.LiveProcesses(name), version)
		}
	}
	for launch, name := range f.launches {
		if name > 1 {
			t.Errorf("%s was started %d times", launch, name)
		}
	}
	if len(f.stoppedWhileReady) > 0 {
		t.Errorf("%v were stopped while they were Ready in the list", f.stoppedWhileReady)
	}
}

func TestSuccessiveControllers(t *testing.T) {
	for _, c := range []struct{ tenures, failEvery int }{{0, 0}, {40, 0}, {10, 7}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newFakeCluster()
				cluster.failEveryNth = c.failEvery
				if state := cluster.runRelease(t, c.tenures); state.Status.Phase != release.PhaseCompleted {
					t.Fatalf("%s: %s, %+v", state.Status.Phase, state.Status.HaltReason, state.Units)
				}
				cluster.checkVersion(t, "2")
				if len(cluster.cohort) == 0 {
					t.Error("no sidecar was told to count the new version apart")
				}
			})
		})
	}
}

func TestBrokenVersionRollsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster()
		cluster.newVersionFails = true
		if state := cluster.runRelease(t, 0); state.Status.Phase != release.PhaseRolledBack {
			t.Fatalf("%s: %s, %+v", state.Status.Phase, state.Status.HaltReason, state.Units)
		}
		for _, name := range serverNames {
			if cluster.versions[name] != "1" || cluster.platform.LiveProcesses(name) != 1 {
				t.Errorf("%s runs %s", name, cluster.versions[name])
			}
		}
	})
}
