package live

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
	"milldeck/internal/registry/cluster"
)

const (
	registryStartTimeout = 20 * time.Second
	registryWriteTimeout = 5 * time.Second
	agentStartTimeout    = 15 * time.Second // until an agent listens; many start at a time
)

// registryService runs the project's own discovery in place of the stand-in: registry replicas and an agent for each
// sidecar, all as processes. The lab renews the leases of its servers. It watches each agent like the agent's sidecar, to
// know of which servers the sidecar has been notified.
type registryService struct {
	fleet      *fleet
	cluster    *cluster.Cluster
	client     *registry.Client
	leases     *registry.LeaseKeepAlive
	links      *cluster.Network // nil: the plan never partitions a replica
	agents     []*proc.Process  // by sidecar
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// start starts the replicas, registers the servers, and starts the agents.
func (r *registryService) start(ctx context.Context) error {
	fleet := r.fleet
	r.ctx, r.cancel = context.WithCancel(fleet.ctx)
	ctx, cancel := context.WithTimeout(ctx, registryStartTimeout)
	defer cancel()
	if err := r.startReplicas(ctx); err != nil {
		return err
	}
	for _, server := range fleet.servers {
		if server.plan.StartMS == 0 {
			r.leases.Add(r.instance(server))
		}
	}
	if err := r.leases.RenewOnce(ctx); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	r.background.Go(r.renewLeases)
	return r.startAgents(ctx)
}

// startReplicas starts the replicas, with no server registered.
func (r *registryService) startReplicas(ctx context.Context) error {
	fleet := r.fleet
	options := cluster.Options{Program: fleet.options.MilldeckPath, DataDir: fleet.options.Dir, Addresses: fleet.addresses.AddressBlock}
	if fleet.plan.PartitionsReplicas() {
		r.links = cluster.NewNetwork(fleet.addresses.AddressBlock)
		options.Advertise = r.links.Advertise
	}
	var err error
	if r.cluster, err = cluster.Start(ctx, lab.RegistryReplicas, options); err != nil {
		return err
	}
	if r.client, err = r.cluster.Client(); err != nil {
		return err
	}
	r.leases = registry.NewLeaseKeepAlive(r.client)
	return nil
}

// startAgents starts the agents of all sidecars, one after the other.
func (r *registryService) startAgents(ctx context.Context) error {
	for _, agent := range r.fleet.agents {
		if err := r.startAgent(ctx, agent); err != nil {
			return err
		}
	}
	return nil
}

// renewLeases renews the leases until the run ends. It deregisters no server at the end, because the replicas end too.
func (r *registryService) renewLeases() {
	interval := time.Duration(r.fleet.plan.Experiment.Discovery.LeaseMS) * time.Millisecond / 3
	for sleep(r.ctx, interval) {
		ctx, cancel := context.WithTimeout(r.ctx, interval)
		if err := r.leases.RenewOnce(ctx); err != nil && r.ctx.Err() == nil {
			slog.Debug("lease renewal failed", "error", err)
		}
		cancel()
	}
}

// instance returns a server's registration.
func (r *registryService) instance(server *server) registry.Instance {
	entry := r.fleet.endpointOf(server, 0, stateReady)
	return registry.Instance{
		Target: registry.Target{
			UID: entry.UID, Endpoint: entry.Endpoint, Zone: entry.Zone, Model: entry.Model, PodGroup: entry.PodGroup,
			State: entry.State, Capacity: entry.Capacity, BootMS: entry.BootMS,
		},
		TTLMS: r.fleet.plan.Experiment.Discovery.LeaseMS, Version: server.version,
	}
}

// startAgent starts the agent of a sidecar and waits until it serves the endpoint list.
func (r *registryService) startAgent(ctx context.Context, agent *agent) error {
	f, name := r.fleet, agentProcessName(agent.sidecar)
	path := filepath.Join(f.options.Dir, name+".toml")
	replicas := r.cluster.Replicas
	config := fmt.Sprintf("listen = %q\nreplicas = [%q, %q, %q]\nsaved = %q\nfleet = %d\n",
		agent.address(), replicas[0].HTTPAddr, replicas[1].HTTPAddr, replicas[2].HTTPAddr,
		filepath.Join(f.options.Dir, name+".list"), len(f.agents))
	if f.controlPlane != nil {
		config += f.controlPlane.agentConfig(agent.sidecar, name)
	}
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return err
	}
	if err := r.launchAgent(ctx, agent); err != nil {
		return err
	}
	r.background.Go(func() { r.followAgent(agent) })
	for {
		agent.mu.Lock()
		listed := len(agent.endpoints) > 0
		agent.mu.Unlock()
		if listed {
			return nil
		}
		if !sleep(ctx, readyPollInterval) {
			return fmt.Errorf("%s has no endpoint list: %w\n%s", name, ctx.Err(), r.agents[agent.sidecar].Log())
		}
	}
}

func agentProcessName(n int) string { return fmt.Sprintf("agent%d", n) }

// launchAgent starts an agent's process, for the first time or again, and waits until the agent listens.
func (r *registryService) launchAgent(ctx context.Context, agent *agent) error {
	dir, name := r.fleet.options.Dir, agentProcessName(agent.sidecar)
	process, err := proc.Start(proc.Spec{
		Name: name, Path: r.fleet.options.MilldeckPath, Args: []string{"agent", "--config", filepath.Join(dir, name+".toml")},
		Log: filepath.Join(dir, name+".log"),
	})
	if err != nil {
		return err
	}
	if agent.sidecar < len(r.agents) {
		r.agents[agent.sidecar] = process
	} else {
		r.agents = append(r.agents, process)
	}
	ctx, cancel := context.WithTimeout(ctx, agentStartTimeout)
	defer cancel()
	_, err = process.WaitListening(ctx)
	return err
}

// followAgent watches an agent like the agent's sidecar, until the run ends.
func (r *registryService) followAgent(agent *agent) {
	revision := uint64(0)
	numberByUID := map[string]int{}
	for _, server := range r.fleet.servers {
		numberByUID[server.plan.UID] = server.number
	}
	for r.ctx.Err() == nil {
		apply := func(update *registry.EndpointList, _ time.Duration) error {
			if update == nil {
				return nil
			}
			revision = update.Revision
			agent.applyUpdate(update, numberByUID)
			return nil
		}
		err := r.client.WatchEndpoints(r.ctx, agent.address(), revision, 0, apply)
		slog.Debug("agent watch ended", "sidecar", agent.sidecar, "error", err)
		sleep(r.ctx, readyPollInterval)
	}
}

// applyUpdate applies a watch event of the real agent, and reports to the checker of which servers the event notifies
// the agent's sidecar.
func (a *agent) applyUpdate(list *registry.EndpointList, index map[string]int) {
	notified := map[int]bool{}
	a.mu.Lock()
	if list.Complete {
		for server := range a.endpoints {
			notified[server] = false
		}
		a.endpoints = map[int]endpoint{}
	}
	a.revision = max(a.revision, int64(list.Revision))
	for _, entry := range list.Targets {
		server, ok := index[entry.UID]
		if !ok {
			continue
		}
		notified[server] = entry.State == stateReady
		a.knownBootMS[server] = entry.BootMS
		if entry.State == stateGone {
			delete(a.endpoints, server)
		} else {
			a.endpoints[server] = endpoint{
				UID: entry.UID, Endpoint: entry.Endpoint, Zone: entry.Zone, Model: entry.Model, PodGroup: entry.PodGroup,
				State: entry.State, Capacity: entry.Capacity, BootMS: entry.BootMS,
			}
		}
	}
	a.mu.Unlock()
	a.notifyChecker(notified)
}

// publishState writes a server's state to the registry. It retries until the write succeeds or a newer state is
// published.
func (r *registryService) publishState(server *server, state string) {
	r.fleet.publishedMu.Lock()
	r.fleet.publishedStates[server.number] = state
	r.fleet.publishedMu.Unlock()
	if state == stateReady {
		r.leases.Add(r.instance(server))
	} else {
		r.leases.Remove(server.plan.UID)
	}
	r.background.Go(func() {
		for r.ctx.Err() == nil && r.fleet.publishedState(server) == state {
			ctx, cancel := context.WithTimeout(r.ctx, registryWriteTimeout)
			var err error
			switch state {
			case stateReady:
				_, err = r.client.Register(ctx, registry.WriteOptions{}, r.instance(server))
			case stateTerminating:
				_, err = r.client.SetState(ctx, registry.WriteOptions{}, server.plan.UID, registry.InstanceTerminating)
			default:
				_, err = r.client.Deregister(ctx, registry.WriteOptions{}, server.plan.UID)
			}
			cancel()
			if err == nil {
				return
			}
			slog.Debug("registry write failed", "server", server.number, "state", state, "error", err)
			sleep(r.ctx, readyPollInterval)
		}
	})
}

// killReplicas kills all replicas and waits until they have exited.
func (r *registryService) killReplicas() {
	_ = forAll(r.cluster.Replicas, func(replica *cluster.Replica) error {
		replica.Process.Kill()
		return nil
	}) // killing does not fail
}

func (r *registryService) restartReplicas() error {
	return forAll(r.cluster.Replicas, (*cluster.Replica).Start)
}

// close kills the agents and the replicas, and waits for the goroutines.
func (r *registryService) close() {
	if r.cancel != nil {
		r.cancel()
	}
	for _, process := range r.agents {
		process.Kill()
	}
	if r.cluster != nil {
		if err := r.cluster.Close(); err != nil {
			slog.Debug("registry shutdown failed", "error", err)
		}
	}
	r.background.Wait()
}
