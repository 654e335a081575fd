package drive

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
const asServer = "DRIVE_TEST_AS_SERVER"

func TestMain(m *testing.M) {
	if replicas, is := os.LookupEnv(asServer); is {
		if err := serve(strings.Split(replicas, ","), os.Args[1], os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	proctest.Main(m)
}

// serve registers in the list, answers its ready check and leaves the list at SIGTERM.
func serve(replicas []string, name, listen, zone, version string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	http.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	go http.Serve(l, nil)
	client, err := registry.NewClient(replicas)
	if err != nil {
		return err
	}
	i := registry.Instance{TTLMS: 2000, Version: version, Target: registry.Target{UID: name, Endpoint: listen, Zone: zone, Model: "m",
		PodGroup: int(name[1]) % 3, State: registry.InstanceReady, Capacity: 1, BootMS: float64(time.Now().UnixMilli())}}
	for {
		if _, err = client.Register(ctx, registry.WriteOptions{}, i); err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for {
		select {
		case <-ctx.Done():
			leave, done := context.WithTimeout(context.Background(), 2*time.Second)
			defer done()
			client.Deregister(leave, registry.WriteOptions{}, name)
			return nil
		case <-time.After(400 * time.Millisecond):
			client.RenewInstances(ctx, []string{name})
		}
	}
}

// site is a whole fleet of processes: replicas, the platform's stand-in and what it has started.
type site struct {
	t        *testing.T
	ctx      context.Context
	block    *proc.Block
	cluster  *cluster.Cluster
	client   *registry.Client
	platform *supervisor.Client
	standIn  *proc.Process
	addr     string // of the platform
	program  string
	dir      string
}

var fleetNames = []string{"a1", "a2", "b1", "b2"}

func newSite(t *testing.T) *site {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
	t.Cleanup(cancel)
	s := &site{t: t, ctx: ctx, program: proctest.Program(t, "milldeck"), dir: t.TempDir()}
	var err error
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	s.block, err = proc.TakeBlock()
	must(err)
	t.Cleanup(s.block.Release)
	s.cluster, err = cluster.Start(ctx, 3, cluster.Options{Program: s.program, DataDir: s.dir, Addresses: s.block})
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(s.cluster.Logs())
		}
		s.cluster.Close()
	})
	must(err)
	s.client, err = s.cluster.Client()
	must(err)
	t.Cleanup(s.client.Close)
	text := ""
	for _, v := range []string{"1", "2"} {
		text += fmt.Sprintf("[[version]]\nname = %q\nkind = \"server\"\nargv = [%q, \"{name}\", \"{listen}\", \"{zone}\", \"{version}\"]\nready = \"/health/ready\"\nenv = { %s = %q }\n",
			v, os.Args[0], asServer, strings.Join(s.cluster.HTTPAddrs(), ","))
	}
	versions := filepath.Join(s.dir, "versions.toml")
	must(os.WriteFile(versions, []byte(text), 0o600))
	s.standIn, err = proc.Start(proc.Spec{Name: "stand-in", Path: s.program, Log: filepath.Join(s.dir, "standin-log"),
		Args: []string{"supervisor", "stand-in", "--versions", versions, "--dir", filepath.Join(s.dir, "units")}})
	must(err)
	t.Cleanup(s.standIn.Kill)
	line, err := s.standIn.WaitLog(ctx, "msg=serves")
	must(err)
	_, after, _ := strings.Cut(line, "listen=")
	s.addr, _, _ = strings.Cut(after, " ")
	s.platform, err = supervisor.NewClient(s.addr)
	must(err)
	t.Cleanup(s.platform.Close)
	one := 1
	_, err = s.client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: &disruption.Budget{Name: "all",
		Selector: disruption.Selector{Kind: disruption.KindServer}, MaxUnavailable: disruption.Limit{Count: &one}}})
	must(err)
	l, err := s.platform.List(ctx)
	must(err)
	for i, n := range fleetNames {
		_, err = s.platform.Do(ctx, supervisor.Request{ID: "first-" + n, Op: supervisor.Start, Epoch: l.Epoch, Unit: n, Kind: supervisor.Server,
			Version: "1", Listen: s.block.Addr(10, i+1, 9000), Zone: n[:1]})
		must(err)
	}
	// Two sidecars that live and have each list at once.
	go func() {
		for ctx.Err() == nil {
			if list, err := s.client.List(ctx, false); err == nil {
				s.client.RegisterSidecars(ctx, registry.SidecarRequest{TTLMS: 5000, Sidecars: []registry.Sidecar{
					{Name: "s1", Zone: "a", Ready: true, ListRevision: list.Revision}, {Name: "s2", Zone: "b", Ready: true, ListRevision: list.Revision}}})
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	// What was started first is warm.
	s.until("all servers are up", func() bool {
		v, err := s.client.LedgerView(ctx, true, true)
		if err != nil || v.Counts[disruption.ConditionUp]+v.Counts[disruption.ConditionWarmingUp] < len(fleetNames)+2 {
			return false
		}
		var seen []disruption.Unit
		for _, u := range v.Units {
			if u.Condition == disruption.ConditionWarmingUp {
				seen = append(seen, disruption.Unit{ID: u.ID, Condition: disruption.ConditionUp, TransitionRevision: u.TransitionRevision})
			}
		}
		if len(seen) > 0 {
			s.client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{Kind: disruption.OpObserve, Owner: "operator/ci", Observed: seen})
		}
		return v.Counts[disruption.ConditionUp] == len(fleetNames)+2
	})
	return s
}

// until waits for a condition; what is waited for always comes, the limit is for bugs.
func (s *site) until(what string, done func() bool) {
	s.t.Helper()
	for !done() {
		select {
		case <-s.ctx.Done():
			s.t.Fatalf("not in time: %s\n%s", what, s.standIn.Log())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// command starts a milldeck process.
func (s *site) command(n int, args ...string) *proc.Process {
	s.t.Helper()
	if args[0] != "release" || args[1] == "start" {
		args = append(args, "--platform", s.addr, "--listen", s.block.Addr(20, n, 8530), "--longest", "300ms", "--warm-after", "200ms")
	}
	p, err := proc.Start(proc.Spec{Name: "milldeck", Path: s.program, Log: filepath.Join(s.dir, fmt.Sprintf("controller-%d", n)),
		Args: append(args, "--replicas", strings.Join(s.cluster.HTTPAddrs(), ","))})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Kill)
	return p
}

// stands tells where releases and the ledger stand.
func (s *site) stands() string {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	out := ""
	for _, name := range []string{"r", "d"} {
		if v, err := s.client.Release(ctx, name, false, true); err == nil {
			out += fmt.Sprintf("%s: %+v\n%+v\n", name, v.Head, v.Units)
		}
	}
	v, err := s.client.LedgerView(ctx, true, false)
	return out + fmt.Sprintf("%+v, %v", v, err)
}

// ended waits for a command to end well.
func (s *site) ended(p *proc.Process) {
	s.t.Helper()
	select {
	case <-p.Done():
	case <-s.ctx.Done():
		s.t.Fatalf("it does not end\n%s\n%s", p.Log(), s.stands())
	}
	if err := p.Exit(); err != nil {
		s.t.Fatalf("%v\n%s", err, p.Log())
	}
}

// started is how often processes of a unit and version were started.
func (s *site) started(unit, version string) int {
	data, err := os.ReadFile(filepath.Join(s.dir, "standin-log"))
	if err != nil {
		s.t.Fatal(err)
	}
	n := 0
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, "msg=started unit="+unit+" ") && strings.Contains(line, "version="+version+" ") {
			n++
		}
	}
	return n
}

// Controllers as processes: each that holds the duty is killed, another goes on; then a drain, beside a lost leader.
func TestControllersAreKilledOneAfterAnother(t *testing.T) {
	s := newSite(t)
	plan := filepath.Join(s.dir, "plan.toml")
	text := "name = \"r\"\non_halt = \"back\"\ndeadline_s = 3600\n[what]\nserver = \"2\"\n[[wave]]\n"
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	seq := func() uint64 {
		v, err := s.client.Release(s.ctx, "r", true, true)
		if err != nil {
			return 0
		}
		return v.Seq
	}
	s.ended(s.command(80, "release", "check", plan, "--dry-run"))
	n := 1
	p := s.command(n, "release", "start", plan)
	s.until("the release begins", func() bool { return seq() > 3 })
	for range 2 {
		at := seq()
		s.until("some steps", func() bool { return seq() > at+3 })
		p.Kill()
		n++
		p = s.command(n, "release", "start", plan)
	}
	s.ended(p)
	v, err := s.client.Release(s.ctx, "r", false, true)
	if err != nil || v.Head.Phase != release.Done {
		t.Fatalf("%+v, %v", v.Head, err)
	}
	for _, name := range fleetNames {
		if one, two := s.started(name, "1"), s.started(name, "2"); one != 1 || two != 1 {
			t.Errorf("%s was started %d times as 1 and %d as 2, want once each", name, one, two)
		}
	}
	list, err := s.client.List(s.ctx, true)
	if err != nil || len(list.Targets) != len(fleetNames) {
		t.Errorf("%d in the list, %v", len(list.Targets), err)
	}
	fin := s.command(90, "release", "finalize", "r")
	s.ended(fin)
	drain := s.command(91, "fleet", "drain", "d", "--ids", "server/a2")
	s.until("the drain begins", func() bool { v, err := s.client.Release(s.ctx, "d", true, true); return err == nil && v.Seq > 2 })
	if leader, err := s.cluster.AwaitLeader(s.ctx); err == nil {
		leader.Process.Kill()
	}
	s.ended(drain)
	l, err := s.platform.List(s.ctx)
	if err != nil || l.Find("a2") == nil || l.Find("a2").State != supervisor.Exited {
		t.Errorf("the drained server is %+v, %v", l.Find("a2"), err)
	}
}
