package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/loadreport"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
	"milldeck/internal/supervisor/fake"
)

// advanceInterval is the time between two calls of advance.
const advanceInterval = 250 * time.Millisecond

var (
	serverNames  = []string{"a1", "a2", "a3", "b1", "b2", "b3"} // the first letter is the zone
	sidecarNames = []string{"s1", "s2"}
)

// errNoAnswer is the error of a call whose outcome is unknown to the caller.
var errNoAnswer = errors.New("no answer in time")

// fakeCluster simulates a registry in memory with the real tables, a platform in virtual time, and sidecars that send
// reports. Its time is that of the synctest bubble. It implements Store and ReportSource.
type fakeCluster struct {
	mu                sync.Mutex
	revision          uint64
	token             uint64 // the only valid fencing token
	ledger            *disruption.Ledger
	releases          *release.Table
	platform          *fake.Platform
	servers           map[string]*registry.Target
	startCounts       map[string]int    // by server and version
	bootNumbers       map[string]int64  // number of the latest start, by server
	versions          map[string]string // by server
	cohort            []string
	newVersionFails   bool     // version 2 exits before it is ready
	stoppedWhileReady []string // servers that were stopped while they were Ready in the endpoint list
	failEveryNth      int      // of the calls to the store and the platform; 0: none
	calls             int
}

func newFakeCluster() *fakeCluster {
	cluster := &fakeCluster{
		revision:    100,
		ledger:      disruption.NewLedger(),
		releases:    release.NewTable(),
		servers:     map[string]*registry.Target{},
		startCounts: map[string]int{},
		bootNumbers: map[string]int64{},
		versions:    map[string]string{},
	}
	versions := map[core.Version]fake.Version{}
	for _, version := range []string{"1", "2"} {
		versions[core.Version{Kind: supervisor.Server, Name: version}] = fake.Version{Behave: cluster.startProcess}
	}
	cluster.platform = fake.New(fake.Options{Versions: versions}, time.Now().UnixMilli())
	epoch := cluster.mustList().Epoch
	for i, name := range serverNames {
		zone := name[:1]
		cluster.servers[name] = &registry.Target{
			UID: name, Zone: zone, State: registry.InstanceReady, Capacity: 1, PodGroup: i % 3,
		}
		_, err := cluster.platform.Do(context.Background(), supervisor.Request{
			ID: "first-" + name, Op: supervisor.Start, Epoch: epoch, Unit: name, Kind: supervisor.Server,
			Version: "1", Listen: "127.0.0.1:7000", Zone: zone,
		})
		if err != nil {
			panic(err) // the fake platform fails only where a fault is set
		}
	}
	one := 1
	cluster.ledger.Apply(cluster.revision, &disruption.Op{
		Kind: disruption.OpSetBudget, Owner: "operator/ci",
		Budget: &disruption.Budget{
			Name:           "all",
			Selector:       disruption.Selector{Kind: disruption.KindServer},
			MaxUnavailable: disruption.Limit{Count: &one},
		},
	})
	return cluster
}

func (f *fakeCluster) mustList() *supervisor.List {
	list, err := f.platform.List(context.Background())
	if err != nil {
		panic(err) // the fake platform fails only where a fault is set
	}
	return list
}

// startProcess is called by the platform for each unit that it starts, under the cluster's lock.
func (f *fakeCluster) startProcess(unit supervisor.Unit) fake.Behavior {
	f.startCounts[unit.Name+" "+unit.Version]++
	f.bootNumbers[unit.Name] = int64(len(f.startCounts))
	f.versions[unit.Name] = unit.Version
	if f.newVersionFails && unit.Version == "2" {
		return fake.Behavior{ReadyAfterMS: -1, ExitAfterMS: 50, ExitText: "exit status 1"}
	}
	return fake.Behavior{ReadyAfterMS: 300, StopAfterMS: 200}
}

// advance updates servers and sidecars to the present time: processes start or exit, units register, leases expire.
func (f *fakeCluster) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.Advance(time.Now().UnixMilli())
	list := f.mustList()
	for _, name := range serverNames {
		f.revision++
		f.registerServer(name, list.Find(name))
	}
	for _, name := range sidecarNames {
		f.revision++
		f.ledger.Register(f.revision, disruption.Unit{
			ID: disruption.UnitID(disruption.KindSidecar, name), Kind: disruption.KindSidecar, Zone: "a", Capacity: 1,
			Condition: disruption.ConditionUp,
		})
	}
}

// registerServer registers a running server and reports it as warm, and marks a server that has exited as lost.
func (f *fakeCluster) registerServer(name string, listed *supervisor.Unit) {
	id, target := disruption.UnitID(disruption.KindServer, name), f.servers[name]
	if listed == nil || listed.State == supervisor.Exited {
		f.ledger.MarkLost(f.revision, id)
		return
	}
	if bootNumber := float64(f.bootNumbers[name]); target.BootMS != bootNumber {
		target.BootMS = bootNumber
		target.State = registry.InstanceReady
	}
	unit := disruption.Unit{
		ID: id, Kind: disruption.KindServer, Zone: target.Zone, PodGroup: target.PodGroup, Capacity: 1,
		BootMS: target.BootMS, Version: f.versions[name], Condition: disruption.ConditionUp,
	}
	if target.State == registry.InstanceTerminating {
		unit.Condition = disruption.ConditionDraining
	}
	f.ledger.Register(f.revision, unit)
	if listed.State == supervisor.Running && unit.Condition == disruption.ConditionUp {
		f.revision++
		observed := []disruption.Unit{{ID: id, Condition: disruption.ConditionUp}}
		f.ledger.Apply(f.revision, &disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: observed})
	}
}

// release returns the release r, and whether it is finished.
func (f *fakeCluster) release() (state *release.State, finished bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, _ = f.releases.Get("r")
	return state, state.Status.Phase.Finished()
}

// nextToken makes the next fencing token the only valid one.
func (f *fakeCluster) nextToken() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.token++
	return f.token
}

// SetAccepting implements ReportSource.
func (f *fakeCluster) SetAccepting(bool) {}

// Snapshot implements ReportSource. Each sidecar reports that it has the newest endpoint list.
func (f *fakeCluster) Snapshot() ([]loadreport.ReceivedReport, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var received []loadreport.ReceivedReport
	for _, name := range sidecarNames {
		report := placement.LoadReport{Sidecar: name, Zone: "a", EndpointRevision: f.revision}
		for _, cohort := range []string{"", "r"} {
			for _, zone := range []string{"a", "b"} {
				report.ClassCounts = append(report.ClassCounts, placement.ClassCount{
					Class: "c", Zone: zone, Cohort: cohort, Succeeded: 400, LatencyHistogram: []uint32{300, 60, 40},
				})
			}
		}
		now := time.Duration(time.Now().UnixMilli())
		received = append(received, loadreport.ReceivedReport{LoadReport: report, ReceivedAt: now})
	}
	return received, 0
}

// nextError returns errNoAnswer for every nth call, after the call has taken effect.
func (f *fakeCluster) nextError() error {
	f.calls++
	if f.failEveryNth > 0 && f.calls%f.failEveryNth == 0 {
		return errNoAnswer
	}
	return nil
}

// beginWrite checks the fencing token of a write and assigns the next revision to it.
func (f *fakeCluster) beginWrite(options registry.WriteOptions) error {
	if options.Guard == nil || options.Guard.Token != f.token {
		return &registry.StatusError{StatusCode: http.StatusConflict, Message: "the token is not valid"}
	}
	f.revision++
	return nil
}

func (f *fakeCluster) Release(_ context.Context, name string, _, _ bool) (registry.ReleaseView, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, commands := f.releases.Get(name)
	stateCopy := *state
	stateCopy.Units = slices.Clone(state.Units)
	return registry.ReleaseView{State: &stateCopy, Commands: commands}, f.nextError()
}

func (f *fakeCluster) WriteRelease(
	_ context.Context, options registry.WriteOptions, name string, op release.Operation,
) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginWrite(options); err != nil {
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

func (f *fakeCluster) SetState(_ context.Context, options registry.WriteOptions, uid, state string) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginWrite(options); err != nil {
		return registry.Result{}, err
	}
	f.servers[uid].State = state
	return registry.Result{}, f.nextError()
}

func (f *fakeCluster) SetPlacement(
	_ context.Context, options registry.WriteOptions, _ int64, set []placement.Directive, _ ...string,
) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginWrite(options); err != nil {
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

func (f *fakeCluster) ApplyLedgerOp(
	_ context.Context, options registry.WriteOptions, op disruption.Op,
) (registry.LedgerResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginWrite(options); err != nil {
		return registry.LedgerResult{}, err
	}
	if result := f.ledger.Apply(f.revision, &op); result.Outcome != disruption.OutcomeApplied {
		return registry.LedgerResult{}, &registry.StatusError{StatusCode: http.StatusConflict, Message: result.Reason}
	}
	return registry.LedgerResult{}, f.nextError()
}

// fakePlatform locks the cluster around calls to its platform, because the platform records its starts in the cluster.
type fakePlatform struct{ *fakeCluster }

func (p fakePlatform) Do(ctx context.Context, requests ...supervisor.Request) ([]supervisor.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, request := range requests {
		ready := p.servers[request.Unit].State != registry.InstanceTerminating
		if request.Op == supervisor.Stop && ready && !p.newVersionFails {
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
