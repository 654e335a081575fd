package controller

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/lab/proc"
	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
	"milldeck/internal/supervisor"
)

// siteServers names the fleet's servers. The first letter is the zone.
var siteServers = []string{"a1", "a2", "b1", "b2"}

// testSite is a fleet of processes: registry replicas, the stand-in for the platform, and the servers that it starts.
type testSite struct {
	t               *testing.T
	ctx             context.Context
	block           *proc.Block
	cluster         *cluster.Cluster
	client          *registry.Client
	platform        *supervisor.Client
	platformAddress string
	standIn         *proc.Process
	program         string
	dir             string
	commandsStarted int // numbers the addresses and logs of the commands
}

// Address groups in the fleet's block.
const (
	serverAddresses  = 10
	commandAddresses = 20
)

func newSite(t *testing.T) *testSite {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
	t.Cleanup(cancel)
	site := &testSite{t: t, ctx: ctx, program: proctest.Program(t, "milldeck"), dir: t.TempDir()}
	var err error
	site.block, err = proc.ReserveBlock()
	site.must(err)
	t.Cleanup(site.block.Release)
	site.startCluster()
	site.startPlatform()
	site.startServers()
	go site.renewSidecars()
	site.waitUntil("all servers are up", site.serversUp)
	return site
}

func (s *testSite) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *testSite) startCluster() {
	s.t.Helper()
	var err error
	options := cluster.Options{Program: s.program, DataDir: s.dir, Addresses: s.block}
	s.cluster, err = cluster.Start(s.ctx, 3, options)
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.t.Log(s.cluster.Logs())
		}
		if err := s.cluster.Close(); err != nil {
			s.t.Logf("close of the replicas: %v", err) // expected: the test itself kills a replica
		}
	})
	s.must(err)
	s.client, err = s.cluster.Client()
	s.must(err)
	s.t.Cleanup(s.client.Close)
}

// startPlatform starts the stand-in for the platform. Both of its versions run this test binary as a server.
func (s *testSite) startPlatform() {
	s.t.Helper()
	text := ""
	for _, version := range []string{"1", "2"} {
		text += fmt.Sprintf(`[[version]]
name = %q
kind = "server"
argv = [%q, "{name}", "{listen}", "{zone}", "{version}"]
ready = "/health/ready"
env = { %s = %q }
`, version, os.Args[0], serverEnvironment, strings.Join(s.cluster.HTTPAddrs(), ","))
	}
	versions := filepath.Join(s.dir, "versions.toml")
	s.must(os.WriteFile(versions, []byte(text), 0o600))
	var err error
	s.standIn, err = proc.Start(proc.Spec{
		Name: "stand-in", Path: s.program, Log: s.standInLog(),
		Args: []string{"supervisor", "stand-in", "--versions", versions, "--dir", filepath.Join(s.dir, "units")},
	})
	s.must(err)
	s.t.Cleanup(s.standIn.Kill)
	line, err := s.standIn.WaitLog(s.ctx, "msg=serves")
	s.must(err)
	_, after, _ := strings.Cut(line, "listen=")
	s.platformAddress, _, _ = strings.Cut(after, " ")
	s.platform, err = supervisor.NewClient(s.platformAddress)
	s.must(err)
	s.t.Cleanup(s.platform.Close)
}

func (s *testSite) standInLog() string { return filepath.Join(s.dir, "standin-log") }

// startServers starts all servers with version 1, under a budget that allows one unavailable server.
func (s *testSite) startServers() {
	s.t.Helper()
	one := 1
	budget := &disruption.Budget{
		Name:           "all",
		Selector:       disruption.Selector{Kind: disruption.KindServer},
		MaxUnavailable: disruption.Limit{Count: &one},
	}
	op := disruption.Op{Kind: disruption.OpSetBudget, Owner: "operator/ci", Budget: budget}
	_, err := s.client.ApplyLedgerOp(s.ctx, registry.WriteOptions{}, op)
	s.must(err)
	list, err := s.platform.List(s.ctx)
	s.must(err)
	for i, name := range siteServers {
		_, err = s.platform.Do(s.ctx, supervisor.Request{
			ID: "first-" + name, Op: supervisor.Start, Epoch: list.Epoch, Unit: name, Kind: supervisor.Server,
			Version: "1", Listen: s.block.Addr(serverAddresses, i+1, 9000), Zone: name[:1],
		})
		s.must(err)
	}
}

// renewSidecars registers two sidecars again and again until the test ends. They always have the newest endpoint list.
func (s *testSite) renewSidecars() {
	for s.ctx.Err() == nil {
		if list, err := s.client.List(s.ctx, false); err == nil {
			request := registry.SidecarRequest{TTLMS: 5000, Sidecars: []registry.Sidecar{
				{Name: "s1", Zone: "a", Ready: true, ListRevision: list.Revision},
				{Name: "s2", Zone: "b", Ready: true, ListRevision: list.Revision},
			}}
			_, _ = s.client.RegisterSidecars(s.ctx, request) // repeated until it succeeds
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// serversUp reports whether all servers and sidecars are up. Once all are registered, it reports the servers to the ledger as
// warm.
func (s *testSite) serversUp() bool {
	const sidecars = 2
	view, err := s.client.LedgerView(s.ctx, true, true)
	registered := view.Counts[disruption.ConditionUp] + view.Counts[disruption.ConditionWarmingUp]
	if err != nil || registered < len(siteServers)+sidecars {
		return false
	}
	var warm []disruption.Unit
	for _, unit := range view.Units {
		if unit.Condition == disruption.ConditionWarmingUp {
			warm = append(warm, disruption.Unit{
				ID: unit.ID, Condition: disruption.ConditionUp, TransitionRevision: unit.TransitionRevision,
			})
		}
	}
	if len(warm) > 0 {
		op := disruption.Op{Kind: disruption.OpObserve, Owner: "operator/ci", Observed: warm}
		_, _ = s.client.ApplyLedgerOp(s.ctx, registry.WriteOptions{}, op) // repeated until it succeeds
	}
	return view.Counts[disruption.ConditionUp] == len(siteServers)+sidecars
}

// waitUntil waits until a condition holds. Only a bug makes it reach the time limit.
func (s *testSite) waitUntil(awaited string, condition func() bool) {
	s.t.Helper()
	for !condition() {
		select {
		case <-s.ctx.Done():
			s.t.Fatalf("timed out before: %s\n%s", awaited, s.standIn.Log())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// startCommand starts a milldeck process.
func (s *testSite) startCommand(args ...string) *proc.Process {
	s.t.Helper()
	s.commandsStarted++
	number := s.commandsStarted
	if args[0] != "release" || args[1] == "start" {
		args = append(args, "--platform", s.platformAddress, "--listen", s.block.Addr(commandAddresses, number, 8530),
			"--longest", "300ms", "--warm-after", "200ms")
	}
	args = append(args, "--replicas", strings.Join(s.cluster.HTTPAddrs(), ","))
	log := filepath.Join(s.dir, fmt.Sprintf("controller-%d", number))
	process, err := proc.Start(proc.Spec{Name: "milldeck", Path: s.program, Log: log, Args: args})
	s.must(err)
	s.t.Cleanup(process.Kill)
	return process
}

// describe returns the state of the releases and of the ledger.
func (s *testSite) describe() string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	text := ""
	for _, name := range []string{"r", "d"} {
		if stored, err := s.client.Release(ctx, name, false, true); err == nil {
			text += fmt.Sprintf("%s: %+v\n%+v\n", name, stored.Status, stored.Units)
		}
	}
	view, err := s.client.LedgerView(ctx, true, false)
	return text + fmt.Sprintf("%+v, %v", view, err)
}

// waitForSuccess waits until a command has exited, and fails the test if it exited with an error.
func (s *testSite) waitForSuccess(process *proc.Process) {
	s.t.Helper()
	select {
	case <-process.Done():
	case <-s.ctx.Done():
		s.t.Fatalf("the command does not end\n%s\n%s", process.Log(), s.describe())
	}
	if err := process.Wait(); err != nil {
		s.t.Fatalf("%v\n%s", err, process.Log())
	}
}

// sequence returns how many changes of a release were written, or 0 if the release cannot be read.
func (s *testSite) sequence(name string) uint64 {
	stored, err := s.client.Release(s.ctx, name, true, true)
	if err != nil {
		return 0
	}
	return stored.Sequence
}

// startCount returns how often the stand-in has started a version of a unit, according to the stand-in's log.
func (s *testSite) startCount(unit, version string) int {
	s.t.Helper()
	data, err := os.ReadFile(s.standInLog())
	s.must(err)
	count := 0
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "msg=started unit="+unit+" ") && strings.Contains(line, "version="+version+" ") {
			count++
		}
	}
	return count
}
