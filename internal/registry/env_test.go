package registry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"milldeck/internal/lab/proc/proctest"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
	"milldeck/internal/registry/cluster/clustertest"
)

func TestMain(m *testing.M) { proctest.Main(m) }

// testTimeout bounds the time for which each test waits. Most tests need less than a tenth of it.
const testTimeout = 150 * time.Second

// testEnv is a cluster of replicas that run as processes of the program.
type testEnv struct {
	*testing.T
	ctx     context.Context
	cluster *cluster.Cluster
	client  *registry.Client
	network *cluster.Network // nil: the cluster cannot be partitioned
}

// startEnv starts a cluster for a test that runs in parallel with others.
func startEnv(t *testing.T, replicas int, partitionable bool, extraConfig string) *testEnv {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	env := &testEnv{T: t, ctx: ctx}
	options := cluster.Options{Addresses: proctest.ReserveAddressBlock(t), ExtraConfig: extraConfig}
	if partitionable {
		env.network = cluster.NewNetwork(options.Addresses)
		t.Cleanup(env.network.Close)
		options.Advertise = env.network.Advertise
	}
	started := clustertest.Start(ctx, t, replicas, options)
	env.cluster, env.client = started.Cluster, started.Client
	return env
}

// awaitLeader waits until the cluster has a leader, and returns it.
func (e *testEnv) awaitLeader() *cluster.Replica {
	e.Helper()
	replica, err := e.cluster.AwaitLeader(e.ctx)
	if err != nil {
		e.Fatal(err)
	}
	return replica
}

// eventually waits until a condition holds; the test fails after testTimeout.
func (e *testEnv) eventually(condition string, satisfied func() bool) {
	e.Helper()
	for !satisfied() {
		select {
		case <-e.ctx.Done():
			e.Fatalf("not within %v: %s", testTimeout, condition)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// status returns the status of a replica, or the zero value if the replica does not respond.
func (e *testEnv) status(replica *cluster.Replica) registry.Status {
	ctx, cancel := context.WithTimeout(e.ctx, time.Second)
	defer cancel()
	status, err := e.client.ReplicaStatus(ctx, replica.HTTPAddr)
	if err != nil {
		return registry.Status{}
	}
	return status
}

// register registers an instance, which must succeed.
func (e *testEnv) register(instance registry.Instance) registry.Result {
	e.Helper()
	result, err := e.client.Register(e.ctx, registry.WriteOptions{}, instance)
	if err != nil {
		e.Fatal(err)
	}
	return result
}

// httpAddrsExcept returns the HTTP addresses of all replicas but one.
func (e *testEnv) httpAddrsExcept(excluded *cluster.Replica) []string {
	var addresses []string
	for _, replica := range e.cluster.Replicas {
		if replica != excluded {
			addresses = append(addresses, replica.HTTPAddr)
		}
	}
	return addresses
}

// newClientFor returns a client that uses only the given replicas.
func (e *testEnv) newClientFor(addresses ...string) *registry.Client {
	e.Helper()
	client, err := registry.NewClient(addresses)
	if err != nil {
		e.Fatal(err)
	}
	e.Cleanup(client.Close)
	return client
}

// watch watches the endpoint list until ctx ends. It starts at the first replica, and continues at the next whenever a
// watch ends. It calls handle with each event.
func (e *testEnv) watch(ctx context.Context, handle func(*registry.EndpointList), replicas ...*cluster.Replica) {
	revision, epoch := uint64(0), uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		err := e.client.WatchEndpoints(ctx, replicas[n%len(replicas)].HTTPAddr, revision, epoch, func(list *registry.EndpointList, _ time.Duration) error {
			if list != nil {
				handle(list)
				revision, epoch = list.Revision, list.Epoch
			}
			return nil
		})
		if ctx.Err() == nil {
			e.Logf("watch ended: %v", err)
		}
	}
}

// newInstance returns an instance whose endpoint and boot_ms are derived from a number.
func newInstance(uid string, ordinal int) registry.Instance {
	return registry.Instance{Target: registry.Target{
		UID: uid, Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+ordinal%60000), State: registry.InstanceReady, Capacity: 1,
		BootMS: float64(ordinal),
	}}
}
