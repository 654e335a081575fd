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
)

// registryService is the project's own discovery in place of the stand-in: replicas and an agent beside each sidecar,
// all processes of the program. The lab keeps the leases of its servers and follows each agent as a sidecar does,
// so that it knows what sidecars were told.
type registryService struct {
	fleet      *fleet
	cluster    *cluster.Cluster
	client     *registry.Client
	leases     *registry.LeaseKeepAlive
	links      *cluster.Network // nil: no replica is ever cut off
	agents     []*proc.Process  // by sidecar
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// start brings up replicas, registers the servers, and starts the agents.
func (l *registryService) start(ctx context.Context) error {
	fleet := l.fleet
	l.ctx, l.cancel = context.WithCancel(fleet.ctx)
	ctx, cancel := context.WithTimeout(ctx, registryStartTimeout)
	defer cancel()
	if err := l.startReplicas(ctx); err != nil {
		return err
	}
	for _, server := range fleet.servers {
		if server.plan.StartMS == 0 {
			l.leases.Add(l.instance(server))
		}
	}
	if err := l.leases.RenewOnce(ctx); err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	l.background.Go(func() { l.renewLeases() })
	return l.startAgents(ctx)
}

// startReplicas starts the replicas, with no server registered.
func (l *registryService) startReplicas(ctx context.Context) error {
	fleet := l.fleet
	options := cluster.Options{Program: fleet.options.MilldeckPath, DataDir: fleet.options.Dir, Addresses: fleet.addresses.Block}
	if fleet.plan.PartitionsReplicas() {
		l.links = cluster.NewNetwork(fleet.addresses.Block)
		options.Advertise = l.links.Advertise
	}
	var err error
	if l.cluster, err = cluster.Start(ctx, lab.RegistryReplicas, options); err != nil {
		return err
	}
	if l.client, err = l.cluster.Client(); err != nil {
		return err
	}
	l.leases = registry.NewLeaseKeepAlive(l.client)
	return nil
}

func (l *registryService) startAgents(ctx context.Context) error {
	for _, agent := range l.fleet.agents {
		if err := l.startAgent(ctx, agent); err != nil {
			return err
		}
	}
	return nil
}

// renewLeases renews the leases until the run ends; what is registered then goes with the replicas.
func (l *registryService) renewLeases() {
	interval := time.Duration(l.fleet.plan.Experiment.Discovery.LeaseMS) * time.Millisecond / 3
	for sleep(l.ctx, interval) {
		ctx, cancel := context.WithTimeout(l.ctx, interval)
		if err := l.leases.RenewOnce(ctx); err != nil && l.ctx.Err() == nil {
			slog.Debug("leases not renewed", "error", err)
		}
		cancel()
	}
}

func (l *registryService) instance(server *server) registry.Instance {
	entry := l.fleet.endpointOf(server, 0, stateReady)
	return registry.Instance{
		Target: registry.Target{UID: entry.UID, Endpoint: entry.Endpoint, Zone: entry.Zone, Model: entry.Model, PodGroup: entry.PodGroup, State: entry.State, Capacity: entry.Capacity, BootMS: entry.BootMS},
		TTLMS:  l.fleet.plan.Experiment.Discovery.LeaseMS, Version: server.version,
	}
}

// startAgent starts the agent of a sidecar and waits until it has the list.
func (l *registryService) startAgent(ctx context.Context, agent *agent) error {
	f, name := l.fleet, agentProcessName(agent.sidecar)
	path := filepath.Join(f.options.Dir, name+".toml")
	config := fmt.Sprintf("listen = %q\nreplicas = [%q, %q, %q]\nsaved = %q\nfleet = %d\n", agent.address(), l.cluster.Replicas[0].HTTPAddr,
		l.cluster.Replicas[1].HTTPAddr, l.cluster.Replicas[2].HTTPAddr, filepath.Join(f.options.Dir, name+".list"), len(f.agents))
	if f.controlPlane != nil {
		config += f.controlPlane.agentConfig(agent.sidecar, name)
	}
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return err
	}
	if err := l.launchAgent(ctx, agent); err != nil {
		return err
	}
	l.background.Go(func() { l.followAgent(agent) })
	for {
		agent.mu.Lock()
		listed := len(agent.endpoints) > 0
		agent.mu.Unlock()
		if listed {
			return nil
		}
		if !sleep(ctx, readyPollInterval) {
			return fmt.Errorf("%s has no list: %w\n%s", name, ctx.Err(), l.agents[agent.sidecar].Log())
		}
	}
}

func agentProcessName(n int) string { return fmt.Sprintf("agent%d", n) }

// launchAgent starts an agent's process, once more after it has ended.
func (l *registryService) launchAgent(ctx context.Context, agent *agent) error {
	dir, name := l.fleet.options.Dir, agentProcessName(agent.sidecar)
	process, err := proc.Start(proc.Spec{
		Name: name, Path: l.fleet.options.MilldeckPath, Args: []string{"agent", "--config", filepath.Join(dir, name+".toml")},
		Log: filepath.Join(dir, name+".log"),
	})
	if err != nil {
		return err
	}
	if agent.sidecar < len(l.agents) {
		l.agents[agent.sidecar] = process
	} else {
		l.agents = append(l.agents, process)
	}
	_, err = process.WaitLog(ctx, "msg=serves")
	return err
}

// followAgent watches an agent as its sidecar does.
func (l *registryService) followAgent(agent *agent) {
	revision := uint64(0)
	numberByUID := map[string]int{}
	for _, server := range l.fleet.servers {
		numberByUID[server.plan.UID] = server.number
	}
	for l.ctx.Err() == nil {
		err := l.client.WatchEndpoints(l.ctx, agent.address(), revision, 0, func(update *registry.EndpointList, _ time.Duration) error {
			if update == nil {
				return nil
			}
			revision = update.Revision
			agent.applyUpdate(update, numberByUID)
			return nil
		})
		slog.Debug("agent's watch ended", "sidecar", agent.sidecar, "error", err)
		sleep(l.ctx, readyPollInterval)
	}
}

// applyUpdate takes over what the agent has told, to it and to its sidecar.
func (a *agent) applyUpdate(list *registry.EndpointList, index map[string]int) {
	notified := map[int]bool{}
	a.mu.Lock()
	if list.Full {
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
			a.endpoints[server] = endpoint{entry.UID, entry.Endpoint, entry.Zone, entry.Model, entry.PodGroup, entry.State, entry.Capacity, entry.BootMS}
		}
	}
	a.mu.Unlock()
	a.notifyChecker(notified)
}

// publishState tells the list service of a server.
func (l *registryService) publishState(server *server, state string) {
	l.fleet.publishedMu.Lock()
	l.fleet.publishedStates[server.number] = state
	l.fleet.publishedMu.Unlock()
	if state == stateReady {
		l.leases.Add(l.instance(server))
	} else {
		l.leases.Remove(server.plan.UID)
	}
	// In order, and again until the list service is back: a server that has gone must be told as gone.
	l.background.Go(func() {
		for l.ctx.Err() == nil && l.fleet.publishedState(server) == state {
			ctx, cancel := context.WithTimeout(l.ctx, registryWriteTimeout)
			var err error
			switch state {
			case stateReady:
				_, err = l.client.Register(ctx, registry.WriteOptions{}, l.instance(server))
			case stateTerminating:
				_, err = l.client.SetState(ctx, registry.WriteOptions{}, server.plan.UID, registry.InstanceTerminating)
			default:
				_, err = l.client.Deregister(ctx, registry.WriteOptions{}, server.plan.UID)
			}
			cancel()
			if err == nil {
				return
			}
			slog.Debug("list service not told", "server", server.number, "state", state, "error", err)
			sleep(l.ctx, readyPollInterval)
		}
	})
}

// killReplicas ends all replicas at once.
func (l *registryService) killReplicas() {
	for _, replica := range l.cluster.Replicas {
		replica.Process.Kill()
	}
}

func (l *registryService) restartReplicas() error {
	for _, replica := range l.cluster.Replicas {
		if err := replica.Start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends agents and replicas.
func (l *registryService) close() {
	if l.cancel != nil {
		l.cancel()
	}
	for _, process := range l.agents {
		process.Kill()
	}
	if l.cluster != nil {
		if err := l.cluster.Close(); err != nil {
			slog.Debug("replicas", "error", err)
		}
	}
	l.background.Wait()
}
