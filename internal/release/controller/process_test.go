package controller

import (
	"context"
	"errors"
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

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
	"milldeck/internal/release"
	"milldeck/internal/supervisor"
)

// serverReplicasEnv names the environment variable that makes the test binary run as a server of the fleet. Its value lists
// the replicas' addresses.
const serverReplicasEnv = "RELEASE_TEST_AS_SERVER"

func TestMain(m *testing.M) {
	if replicas, ok := os.LookupEnv(serverReplicasEnv); ok {
		if err := runServer(strings.Split(replicas, ","), os.Args[1], os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	proctest.Main(m)
}

// runServer registers a server, answers its readiness check, and deregisters it on SIGTERM.
func runServer(replicas []string, name, listen, zone, version string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	http.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	served := make(chan error, 1)
	go func() { served <- http.Serve(listener, nil) }()
	client, err := registry.NewClient(replicas)
	if err != nil {
		return err
	}
	defer client.Close()
	register(ctx, client, registry.Instance{TTLMS: 2000, Version: version, Target: registry.Target{
		UID: name, Endpoint: listen, Zone: zone, Model: "m", PodGroup: int(name[1]) % 3,
		State: registry.InstanceReady, Capacity: 1, BootMS: float64(time.Now().UnixMilli()),
	}})
	for {
		select {
		case err := <-served:
			return err
		case <-ctx.Done():
			deregister(client, name)
			return nil
		case <-time.After(400 * time.Millisecond):
			if _, err := client.RenewInstances(ctx, []string{name}); err != nil && !errors.Is(err, context.Canceled) {
				fmt.Fprintln(os.Stderr, "renew:", err) // the next renewal comes long before the lease expires
			}
		}
	}
}

// register registers an instance, and retries until it succeeds.
func register(ctx context.Context, client *registry.Client, instance registry.Instance) {
	for ctx.Err() == nil {
		if _, err := client.Register(ctx, registry.WriteOptions{}, instance); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// deregister removes an instance. If that fails, its lease expires.
func deregister(client *registry.Client, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := client.Deregister(ctx, registry.WriteOptions{}, name); err != nil {
		fmt.Fprintln(os.Stderr, "deregister:", err)
	}
}

// Guards against a release or drain that stops when a process is killed. Two controller processes in turn are killed while
// they hold the lease, and the next controller has to continue the release. Then the registry's leader is killed during a
// drain, which has to complete.
func TestControllersKilledInTurn(t *testing.T) {
	fleet := newTestFleet(t)
	plan := filepath.Join(fleet.dir, "plan.toml")
	text := "name = \"r\"\non_halt = \"back\"\ndeadline_s = 3600\n[what]\nserver = \"2\"\n[[wave]]\n"
	fleet.must(os.WriteFile(plan, []byte(text), 0o600))
	fleet.waitForSuccess(fleet.startCommand("release", "check", plan, "--dry-run"))
	process := fleet.startCommand("release", "start", plan)
	fleet.waitUntil("the release has begun", func() bool { return fleet.sequence("r") > 3 })
	for range 2 {
		before := fleet.sequence("r")
		fleet.waitUntil("three more changes are written", func() bool { return fleet.sequence("r") > before+3 })
		process.Kill()
		process = fleet.startCommand("release", "start", plan)
	}
	fleet.waitForSuccess(process)
	stored, err := fleet.client.Release(fleet.ctx, "r", false, true)
	if err != nil || stored.Status.Phase != release.PhaseCompleted {
		t.Fatalf("%+v, %v", stored.Status, err)
	}
	for _, name := range fleetServers {
		if oldStarts, newStarts := fleet.startCount(name, "1"), fleet.startCount(name, "2"); oldStarts != 1 || newStarts != 1 {
			t.Errorf("%s was started %d times with version 1 and %d times with version 2, want once each", name, oldStarts, newStarts)
		}
	}
	list, err := fleet.client.List(fleet.ctx, true)
	if err != nil || len(list.Targets) != len(fleetServers) {
		t.Errorf("%d servers in the endpoint list, error %v", len(list.Targets), err)
	}
	fleet.waitForSuccess(fleet.startCommand("release", "finalize", "r"))
	drain := fleet.startCommand("fleet", "drain", "d", "--ids", "server/a2")
	fleet.waitUntil("the drain has begun", func() bool { return fleet.sequence("d") > 2 })
	if leader, err := fleet.cluster.AwaitLeader(fleet.ctx); err == nil {
		leader.Process.Kill()
	}
	fleet.waitForSuccess(drain)
	listed, err := fleet.platform.List(fleet.ctx)
	fleet.must(err)
	if drained := listed.Find("a2"); drained == nil || drained.State != supervisor.Exited {
		t.Errorf("the drained server is %+v, want it exited", drained)
	}
}
