package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// The test binary is a server of the fleet where this is set, to the replicas' addresses.
const serverEnvironment = "DRIVE_TEST_AS_SERVER"

func TestMain(m *testing.M) {
	if replicas, ok := os.LookupEnv(serverEnvironment); ok {
		if err := runServer(strings.Split(replicas, ","), os.Args[1], os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	proctest.Main(m)
}

// runServer registers in the list, answers its ready check and leaves the list at SIGTERM.
func runServer(replicas []string, name, listen, zone, version string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	http.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	go http.Serve(listener, nil)
	client, err := registry.NewClient(replicas)
	if err != nil {
		return err
	}
	instance := registry.Instance{TTLMS: 2000, Version: version, Target: registry.Target{UID: name, Endpoint: listen, Zone: zone, Model: "m",
		PodGroup: int(name[1]) % 3, State: registry.InstanceReady, Capacity: 1, BootMS: float64(time.Now().UnixMilli())}}
	for {
		if _, err = client.Register(ctx, registry.WriteOptions{}, instance); err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for {
		select {
		case <-ctx.Done():
			shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancelShutdown()
			client.Deregister(shutdownCtx, registry.WriteOptions{}, name)
			return nil
		case <-time.After(400 * time.Millisecond):
			client.RenewInstances(ctx, []string{name})
		}
	}
}

// testSite is a whole fleet of processes: replicas, the platform's stand-in and what it has started.
type testSite struct {
	t               *testing.T
	ctx             context.Context
	block           *proc.Block
	cluster         *cluster.Cluster
	client          *registry.Client
	platform        *supervisor.Client
	standIn         *proc.Process
	platformAddress string // of the platform
	program         string
	dir             string
}

var siteServers = []string{"a1", "a2", "b1", "b2"}

func newSite(t *testing.T) *testSite {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
	t.Cleanup(cancel)
	site := &testSite{t: t, ctx: ctx, program: proctest.Program(t, "milldeck"), dir: t.TempDir()}
	var err error
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	site.block, err = proc.TakeBlock()
	must(err)
	t.Cleanup(site.block.Release)
	site.cluster, err = cluster.Start(ctx, 3, cluster.Options{Program: site.program, DataDir: site.dir, Addresses: site.block})
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(site.cluster.Logs())
		}
		site.cluster.Close()
	})
	must(err)
	site.client, err = site.cluster.Client()
	must(err)
	t.Cleanup(site.client.Close)
	versionsText := ""
	for _, version := range []string{"1", "2"} {
		versionsText += fmt.Sprintf("[[version]]\nname = %q\nkind = \"server\"\nargv = [%q, \"{name}\", \"{listen}\", \"{zone}\", \"{version}\"]\nready = \"/health/ready\"\nenv = { %s = %q }\n",
			version, os.Args[0], serverEnvironment, strings.Join(site.cluster.HTTPAddrs(), ","))
	}
	versions := filepath.Join(site.dir, "versions.toml")
	must(os.WriteFile(versions, []byte(versionsText), 0o600))
	site.standIn, err = proc.Start(proc.Spec{Name: "stand-in", Path: site.program, Log: filepath.Join(site.dir, "standin-log"),
		Args: []string{"supervisor", "stand-in", "--versions", versions, "--dir", filepath.Join(site.dir, "units")}})
	must(err)
	t.Cleanup(site.standIn.Kill)
	line, err := site.standIn.WaitLog(ctx, "msg=serves")
	must(err)
	_, after, _ := strings.Cut(line, "listen=")
	site.platformAddress, _, _ = strings.Cut(after, " ")
	site.platform, err = supervisor.NewClient(site.platformAddress)
	must(err)
	t.Cleanup(site.platform.Close)
	one := 1
	_, err = site.client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: &disruption.Budget{Name: "all",
		Selector: disruption.Selector{Kind: disruption.KindServer}, MaxUnavailable: disruption.Limit{Count: &one}}})
	must(err)
	list, err := site.platform.List(ctx)
	must(err)
	for i, name := range siteServers {
		_, err = site.platform.Do(ctx, supervisor.Request{ID: "first-" + name, Op: supervisor.Start, Epoch: list.Epoch, Unit: name, Kind: supervisor.Server,
			Version: "1", Listen: site.block.Addr(10, i+1, 9000), Zone: name[:1]})
		must(err)
	}
	// Two sidecars that live and have each list at once.
	go func() {
		for ctx.Err() == nil {
			if list, err := site.client.List(ctx, false); err == nil {
				site.client.RegisterSidecars(ctx, registry.SidecarRequest{TTLMS: 5000, Sidecars: []registry.Sidecar{
					{Name: "s1", Zone: "a", Ready: true, ListRevision: list.Revision}, {Name: "s2", Zone: "b", Ready: true, ListRevision: list.Revision}}})
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	// What was started first is warm.
	site.waitUntil("all servers are up", func() bool {
		version, err := site.client.LedgerView(ctx, true, true)
		if err != nil || version.Counts[disruption.ConditionUp]+version.Counts[disruption.ConditionWarmingUp] < len(siteServers)+2 {
			return false
		}
		var warm []disruption.Unit
		for _, unit := range version.Units {
			if unit.Condition == disruption.ConditionWarmingUp {
				warm = append(warm, disruption.Unit{ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: unit.TransitionRevision})
			}
		}
		if len(warm) > 0 {
			site.client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpObserve, Owner: "operator/ci", Observed: warm})
		}
		return version.Counts[disruption.ConditionUp] == len(siteServers)+2
	})
	return site
}

// waitUntil waits for a condition; what is waited for always comes, the limit is for bugs.
func (s *testSite) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	for !condition() {
		select {
		case <-s.ctx.Done():
			s.t.Fatalf("not in time: %s\n%s", what, s.standIn.Log())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// startCommand starts a milldeck process.
func (s *testSite) startCommand(number int, args ...string) *proc.Process {
	s.t.Helper()
	if args[0] != "release" || args[1] == "start" {
		args = append(args, "--platform", s.platformAddress, "--listen", s.block.Addr(20, number, 8530), "--longest", "300ms", "--warm-after", "200ms")
	}
	process, err := proc.Start(proc.Spec{Name: "milldeck", Path: s.program, Log: filepath.Join(s.dir, fmt.Sprintf("controller-%d", number)),
		Args: append(args, "--replicas", strings.Join(s.cluster.HTTPAddrs(), ","))})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(process.Kill)
	return process
}

// describe tells where releases and the ledger stand.
func (s *testSite) describe() string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	text := ""
	for _, name := range []string{"r", "d"} {
		if view, err := s.client.Release(ctx, name, false, true); err == nil {
			text += fmt.Sprintf("%s: %+v\n%+v\n", name, view.Status, view.Units)
		}
	}
	view, err := s.client.LedgerView(ctx, true, false)
	return text + fmt.Sprintf("%+v, %v", view, err)
}

// waitForSuccess waits for a command to end well.
func (s *testSite) waitForSuccess(process *proc.Process) {
	s.t.Helper()
	select {
	case <-process.Done():
	case <-s.ctx.Done():
		s.t.Fatalf("it does not end\n%s\n%s", process.Log(), s.describe())
	}
	if err := process.Exit(); err != nil {
		s.t.Fatalf("%v\n%s", err, process.Log())
	}
}

// startCount is how often processes of a unit and version were started.
func (s *testSite) startCount(unit, version string) int {
	data, err := os.ReadFile(filepath.Join(s.dir, "standin-log"))
	if err != nil {
		s.t.Fatal(err)
	}
	count := 0
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, "msg=started unit="+unit+" ") && strings.Contains(line, "version="+version+" ") {
			count++
		}
	}
	return count
}

// Controllers as processes: each that holds the duty is killed, another goes on; then a drain, beside a lost leader.
func TestControllersKilledInTurn(t *testing.T) {
	site := newSite(t)
	plan := filepath.Join(site.dir, "plan.toml")
	text := "name = \"r\"\non_halt = \"back\"\ndeadline_s = 3600\n[what]\nserver = \"2\"\n[[wave]]\n"
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	sequence := func() uint64 {
		stored, err := site.client.Release(site.ctx, "r", true, true)
		if err != nil {
			return 0
		}
		return stored.Sequence
	}
	site.waitForSuccess(site.startCommand(80, "release", "check", plan, "--dry-run"))
	number := 1
	process := site.startCommand(number, "release", "start", plan)
	site.waitUntil("the release begins", func() bool { return sequence() > 3 })
	for range 2 {
		before := sequence()
		site.waitUntil("some steps", func() bool { return sequence() > before+3 })
		process.Kill()
		number++
		process = site.startCommand(number, "release", "start", plan)
	}
	site.waitForSuccess(process)
	stored, err := site.client.Release(site.ctx, "r", false, true)
	if err != nil || stored.Status.Phase != release.PhaseCompleted {
		t.Fatalf("%+v, %v", stored.Status, err)
	}
	for _, name := range siteServers {
		if one, two := site.startCount(name, "1"), site.startCount(name, "2"); one != 1 || two != 1 {
			t.Errorf("%s was started %d times as 1 and %d as 2, want once each", name, one, two)
		}
	}
	list, err := site.client.List(site.ctx, true)
	if err != nil || len(list.Targets) != len(siteServers) {
		t.Errorf("%d in the list, %v", len(list.Targets), err)
	}
	finalize := site.startCommand(90, "release", "finalize", "r")
	site.waitForSuccess(finalize)
	drain := site.startCommand(91, "fleet", "drain", "d", "--ids", "server/a2")
	site.waitUntil("the drain begins", func() bool {
		stored, err := site.client.Release(site.ctx, "d", true, true)
		return err == nil && stored.Sequence > 2
	})
	if leader, err := site.cluster.AwaitLeader(site.ctx); err == nil {
		leader.Process.Kill()
	}
	site.waitForSuccess(drain)
	listed, err := site.platform.List(site.ctx)
	if err != nil || listed.Find("a2") == nil || listed.Find("a2").State != supervisor.Exited {
		t.Errorf("the drained server is %+v, %v", listed.Find("a2"), err)
	}
}
