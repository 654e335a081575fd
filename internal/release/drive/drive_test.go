package drive

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milldeck/internal/collect"
	"milldeck/internal/disruption"
	"milldeck/internal/duty"
	"milldeck/internal/placement"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/release/plan"
	"milldeck/internal/supervisor"
	"milldeck/internal/supervisor/core"
	"milldeck/internal/supervisor/fake"
)

// fleet is a list service in memory with the real tables, a platform in virtual time, and sidecars that report. Time is
// that of the bubble.
type fleet struct {
	mu        sync.Mutex
	rev       uint64
	token     uint64
	ledger    *disruption.Ledger
	releases  *release.Table
	platform  *fake.Platform
	servers   map[string]*registry.Target
	launches  map[string]int
	boots     map[string]int64
	versions  map[string]string
	cohort    []string
	broken    bool // the new version fails at start
	stoppedIn []string
	failEvery int // of the calls to the store
	calls     int
}

var names = []string{"a1", "a2", "a3", "b1", "b2", "b3"}

func newFleet() *fleet {
	f := &fleet{ledger: disruption.NewLedger(), releases: release.NewTable(), servers: map[string]*registry.Target{}, launches: map[string]int{},
		boots: map[string]int64{}, versions: map[string]string{}}
	now := time.Now().UnixMilli()
	server := func(v string) core.Version { return core.Version{Kind: supervisor.Server, Name: v} }
	f.platform = fake.New(fake.Options{Versions: map[core.Version]fake.Version{
		server("1"): {Behave: f.behave}, server("2"): {Behave: f.behave}}}, now)
	l, _ := f.platform.List(context.Background())
	for i, n := range names {
		f.servers[n] = &registry.Target{UID: n, Zone: n[:1], State: registry.InstanceReady, Capacity: 1, PodGroup: i % 3}
		f.platform.Do(context.Background(), supervisor.Request{ID: "first-" + n, Op: supervisor.Start, Epoch: l.Epoch, Unit: n,
			Kind: supervisor.Server, Version: "1", Listen: "127.0.0.1:7000", Zone: n[:1]})
	}
	one := 1
	f.rev = 100
	f.ledger.Apply(f.rev, &disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: &disruption.Budget{Name: "all",
		Selector: disruption.Selector{Kind: disruption.KindServer}, MaxUnavailable: disruption.Limit{Count: &one}}})
	return f
}

// behave is told of each launch, within the platform's lock.
func (f *fleet) behave(u supervisor.Unit) fake.Behavior {
	f.launches[u.Name+" "+u.Version]++
	f.boots[u.Name], f.versions[u.Name] = int64(len(f.launches)), u.Version
	if f.broken && u.Version == "2" {
		return fake.Behavior{ReadyAfterMS: -1, ExitAfterMS: 50, ExitText: "exit status 1"}
	}
	return fake.Behavior{ReadyAfterMS: 300, StopAfterMS: 200}
}

// live has a quarter of a second pass for servers and sidecars.
func (f *fleet) live() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform.Advance(time.Now().UnixMilli())
	l, _ := f.platform.List(context.Background())
	for _, n := range names {
		t := f.servers[n]
		at := l.Find(n)
		f.rev++
		id := disruption.UnitID(disruption.KindServer, n)
		if at == nil || at.State == supervisor.Exited {
			f.ledger.MarkLost(f.rev, id)
			continue
		}
		if boot := float64(f.boots[n]); t.BootMS != boot {
			t.BootMS, t.State = boot, registry.InstanceReady
		}
		u := disruption.Unit{ID: id, Kind: disruption.KindServer, Zone: t.Zone, PodGroup: t.PodGroup, Capacity: 1, BootMS: t.BootMS, Version: f.versions[n], Condition: disruption.ConditionUp}
		if t.State == registry.InstanceTerminating {
			u.Condition = disruption.ConditionDraining
		}
		f.ledger.Register(f.rev, u)
		if at.State == supervisor.Running && u.Condition == disruption.ConditionUp {
			f.rev++
			f.ledger.Apply(f.rev, &disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: []disruption.Unit{{ID: id, Condition: disruption.ConditionUp}}})
		}
	}
	for _, s := range []string{"s1", "s2"} {
		f.rev++
		f.ledger.Register(f.rev, disruption.Unit{ID: disruption.UnitID(disruption.KindSidecar, s), Kind: disruption.KindSidecar, Zone: "a", Capacity: 1, Condition: disruption.ConditionUp})
	}
}

func (f *fleet) SetAccepting(bool) {}

// Snapshot is a report of both sidecars, who have the list as it is.
func (f *fleet) Snapshot() ([]collect.ReceivedReport, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []collect.ReceivedReport
	for _, s := range []string{"s1", "s2"} {
		r := placement.LoadReport{Sidecar: s, Zone: "a", EndpointRevision: f.rev}
		for _, cohort := range []string{"", "r"} {
			for _, zone := range []string{"a", "b"} {
				r.ClassCounts = append(r.ClassCounts, placement.ClassCount{Class: "c", Zone: zone, Cohort: cohort, Succeeded: 400, LatencyHistogram: []uint32{300, 60, 40}})
			}
		}
		out = append(out, collect.ReceivedReport{LoadReport: r, ReceivedAt: time.Duration(time.Now().UnixMilli())})
	}
	return out, 0
}

// fails has some calls fail without their outcome being known.
func (f *fleet) fails() error {
	f.calls++
	if f.failEvery > 0 && f.calls%f.failEvery == 0 {
		return errors.New("no answer in time")
	}
	return nil
}

func (f *fleet) guarded(w registry.WriteOptions) error {
	if w.Guard == nil || w.Guard.Token != f.token {
		return &registry.StatusError{StatusCode: http.StatusConflict, Message: "the token counts no more"}
	}
	f.rev++
	return nil
}

func (f *fleet) Release(_ context.Context, name string, _, _ bool) (registry.ReleaseView, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, told := f.releases.Get(name)
	c := *s
	c.Units = append([]release.Unit(nil), s.Units...)
	return registry.ReleaseView{State: &c, Commands: told}, f.fails()
}

func (f *fleet) WriteRelease(_ context.Context, w registry.WriteOptions, name string, op release.Op) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.guarded(w); err != nil {
		return registry.Result{}, err
	}
	op.Name = name
	if err := f.releases.Apply(f.rev, &op); err != nil {
		return registry.Result{}, &registry.StatusError{StatusCode: http.StatusConflict, Message: err.Error()}
	}
	return registry.Result{}, f.fails()
}

func (f *fleet) List(context.Context, bool) (registry.EndpointList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := registry.EndpointList{Revision: f.rev}
	for _, n := range names {
		l.Targets = append(l.Targets, *f.servers[n])
	}
	return l, nil
}

func (f *fleet) SetState(_ context.Context, w registry.WriteOptions, uid, state string) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.guarded(w); err != nil {
		return registry.Result{}, err
	}
	f.servers[uid].State = state
	return registry.Result{}, f.fails()
}

func (f *fleet) SetPlacement(_ context.Context, w registry.WriteOptions, _ int64, set []placement.Directive, _ ...string) (registry.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.guarded(w); err != nil {
		return registry.Result{}, err
	}
	f.cohort = set[0].Servers
	return registry.Result{}, set[0].Validate()
}

func (f *fleet) Sidecars(context.Context) ([]registry.Sidecar, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []registry.Sidecar{{Name: "s1", ListRevision: f.rev}, {Name: "s2"}}, nil
}

func (f *fleet) LedgerView(context.Context, bool, bool) (disruption.View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.View(true), nil
}

func (f *fleet) ApplyLedgerOp(_ context.Context, w registry.WriteOptions, op disruption.Op) (registry.LedgerResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.guarded(w); err != nil {
		return registry.LedgerResult{}, err
	}
	if out, why := f.ledger.Apply(f.rev, &op); out != disruption.OutcomeApplied {
		return registry.LedgerResult{}, &registry.StatusError{StatusCode: http.StatusConflict, Message: why}
	}
	return registry.LedgerResult{}, f.fails()
}

// Do and List of the platform are met under the fleet's lock, as its launches are noted there.
type platform struct{ *fleet }

func (p platform) Do(ctx context.Context, reqs ...supervisor.Request) ([]supervisor.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reqs {
		if t := p.servers[r.Unit]; r.Op == supervisor.Stop && t.State != registry.InstanceTerminating && !p.broken {
			p.stoppedIn = append(p.stoppedIn, r.Unit)
		}
	}
	out, err := p.platform.Do(ctx, reqs...)
	if err == nil {
		err = p.fails()
	}
	return out, err
}

func (p platform) List(ctx context.Context) (*supervisor.List, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.platform.List(ctx)
}

// play carries a release out over drivers that follow one another, each cancelled after some steps.
func (f *fleet) play(t *testing.T, tenures int) *release.State {
	t.Helper()
	p, err := plan.Parse("p.toml", []byte("name = \"r\"\non_halt = \"back\"\ndeadline_s = 3600\n[what]\nserver = \"2\"\n[[wave]]\ncount = 1\nbake_s = 10\n[[wave]]\n"))
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		time.Sleep(250 * time.Millisecond)
		f.live()
	}
	l, _ := f.platform.List(context.Background())
	s, err := release.New(p, time.Now().UnixMilli(), f.ledger.Units(), f.ledger.Budgets(), l)
	if err == nil {
		f.rev++
		err = f.releases.Apply(f.rev, &release.Op{Start: s})
	}
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var around sync.WaitGroup
	around.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(250 * time.Millisecond)
			f.live()
		}
	})
	defer around.Wait()
	defer stop()
	for i := range 400 {
		f.mu.Lock()
		f.token++
		token := f.token
		s, _ := f.releases.Get("r")
		over := s.Head.Phase.Over()
		f.mu.Unlock()
		if over {
			return s
		}
		limit := time.Duration(1000+i*370) * time.Millisecond
		if i >= tenures {
			limit = 20 * time.Minute
		}
		ctx, stop := context.WithTimeout(t.Context(), limit)
		d := &Driver{Name: "r", Store: f, Platform: platform{f}, Reports: f, Longest: 2 * time.Second, Strata: 2}
		done := make(chan error, 1)
		go func() { done <- d.Work(ctx, &duty.Lease{Name: release.Owner("r"), Token: token}) }()
		for ended := false; !ended; {
			select {
			case <-done:
				ended = true
			case <-time.After(time.Second):
				f.mu.Lock()
				s, _ := f.releases.Get("r")
				over := s.Head.Phase.Over()
				f.mu.Unlock()
				if over {
					stop()
				}
			}
		}
		stop()
	}
	s, _ = f.releases.Get("r")
	return s
}

func (f *fleet) check(t *testing.T, version string) {
	t.Helper()
	for _, n := range names {
		if f.versions[n] != version || f.platform.LiveProcesses(n) != 1 {
			t.Errorf("%s runs %s in %d processes, want one of %s", n, f.versions[n], f.platform.LiveProcesses(n), version)
		}
	}
	for what, n := range f.launches {
		if n > 1 {
			t.Errorf("%s was started %d times", what, n)
		}
	}
	if len(f.stoppedIn) > 0 {
		t.Errorf("%v were stopped while they were Ready in the list", f.stoppedIn)
	}
}

func TestDriversFollowOneAnother(t *testing.T) {
	for _, c := range []struct{ tenures, failEvery int }{{0, 0}, {40, 0}, {10, 7}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				f.failEvery = c.failEvery
				if s := f.play(t, c.tenures); s.Head.Phase != release.Done {
					t.Fatalf("%s: %s, %+v", s.Head.Phase, s.Head.Why, s.Units)
				}
				f.check(t, "2")
				if len(f.cohort) == 0 {
					t.Error("no sidecar was told to count the new version apart")
				}
			})
		})
	}
}

func TestABrokenVersionGoesBackByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.broken = true
		if s := f.play(t, 0); s.Head.Phase != release.Backed {
			t.Fatalf("%s: %s, %+v", s.Head.Phase, s.Head.Why, s.Units)
		}
		for _, n := range names {
			if f.versions[n] != "1" || f.platform.LiveProcesses(n) != 1 {
				t.Errorf("%s runs %s", n, f.versions[n])
			}
		}
	})
}
