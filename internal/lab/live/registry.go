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
	listReady = 20 * time.Second
	writeWait = 5 * time.Second
)

// listService is the project's own discovery in place of the stand-in: replicas and an agent beside each sidecar,
// all processes of the program. The lab keeps the leases of its servers and follows each agent as a sidecar does,
// so that it knows what sidecars were told.
type listService struct {
	f       *fleet
	cluster *cluster.Cluster
	client  *registry.Client
	keeper  *registry.LeaseKeepAlive
	links   *cluster.Network // nil: no replica is ever cut off
	agents  []*proc.Process  // by sidecar
	ctx     context.Context
	stop    context.CancelFunc
	around  sync.WaitGroup
}

// start brings up replicas, registers the servers, and starts the agents.
func (l *listService) start(ctx context.Context) error {
	f := l.f
	l.ctx, l.stop = context.WithCancel(f.ctx)
	ctx, cancel := context.WithTimeout(ctx, listReady)
	defer cancel()
	if err := l.startReplicas(ctx); err != nil {
		return err
	}
	for _, s := range f.servers {
		if s.plan.StartMS == 0 {
			l.keeper.Add(l.instance(s))
		}
	}
	if err := l.keeper.RenewOnce(ctx); err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	l.around.Go(func() { l.keep() })
	return l.startAgents(ctx)
}

// startReplicas starts the replicas, with no server registered.
func (l *listService) startReplicas(ctx context.Context) error {
	f := l.f
	opts := cluster.Options{Program: f.opts.Milldeck, DataDir: f.opts.Dir, Addresses: f.addrs.Block}
	if f.plan.PartitionsReplicas() {
		l.links = cluster.NewNetwork(f.addrs.Block)
		opts.Advertise = l.links.Advertise
	}
	var err error
	if l.cluster, err = cluster.Start(ctx, lab.RegistryReplicas, opts); err != nil {
		return err
	}
	if l.client, err = l.cluster.Client(); err != nil {
		return err
	}
	l.keeper = registry.NewLeaseKeepAlive(l.client)
	return nil
}

func (l *listService) startAgents(ctx context.Context) error {
	for _, a := range l.f.agents {
		if err := l.startAgent(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

// keep renews the leases until the run ends; what is registered then goes with the replicas.
func (l *listService) keep() {
	wait := time.Duration(l.f.plan.Experiment.Discovery.LeaseMS) * time.Millisecond / 3
	for sleep(l.ctx, wait) {
		ctx, cancel := context.WithTimeout(l.ctx, wait)
		if err := l.keeper.RenewOnce(ctx); err != nil && l.ctx.Err() == nil {
			slog.Debug("leases not renewed", "error", err)
		}
		cancel()
	}
}

func (l *listService) instance(s *server) registry.Instance {
	t := l.f.entry(s, 0, ready)
	return registry.Instance{
		Target: registry.Target{UID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Model: t.Model, PodGroup: t.Pod, State: t.State, Capacity: t.Capacity, BootMS: t.Boot},
		TTLMS:  l.f.plan.Experiment.Discovery.LeaseMS, Version: s.version,
	}
}

// startAgent starts the agent of a sidecar and waits until it has the list.
func (l *listService) startAgent(ctx context.Context, a *agent) error {
	f, name := l.f, agentName(a.n)
	path := filepath.Join(f.opts.Dir, name+".toml")
	text := fmt.Sprintf("listen = %q\nreplicas = [%q, %q, %q]\nsaved = %q\nfleet = %d\n", a.addr(), l.cluster.Replicas[0].HTTPAddr,
		l.cluster.Replicas[1].HTTPAddr, l.cluster.Replicas[2].HTTPAddr, filepath.Join(f.opts.Dir, name+".list"), len(f.agents))
	if f.control != nil {
		text += f.control.agentMore(a.n, name)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if err := l.launchAgent(ctx, a); err != nil {
		return err
	}
	l.around.Go(func() { l.follow(a) })
	for {
		a.mu.Lock()
		have := len(a.entries) > 0
		a.mu.Unlock()
		if have {
			return nil
		}
		if !sleep(ctx, readyPoll) {
			return fmt.Errorf("%s has no list: %w\n%s", name, ctx.Err(), l.agents[a.n].Log())
		}
	}
}

func agentName(n int) string { return fmt.Sprintf("agent%d", n) }

// launchAgent starts an agent's process, once more after it has ended.
func (l *listService) launchAgent(ctx context.Context, a *agent) error {
	dir, name := l.f.opts.Dir, agentName(a.n)
	p, err := proc.Start(proc.Spec{
		Name: name, Path: l.f.opts.Milldeck, Args: []string{"agent", "--config", filepath.Join(dir, name+".toml")},
		Log: filepath.Join(dir, name+".log"),
	})
	if err != nil {
		return err
	}
	if a.n < len(l.agents) {
		l.agents[a.n] = p
	} else {
		l.agents = append(l.agents, p)
	}
	_, err = p.WaitLog(ctx, "msg=serves")
	return err
}

// follow watches an agent as its sidecar does.
func (l *listService) follow(a *agent) {
	rev := uint64(0)
	index := map[string]int{}
	for _, s := range l.f.servers {
		index[s.plan.UID] = s.n
	}
	for l.ctx.Err() == nil {
		err := l.client.WatchEndpoints(l.ctx, a.addr(), rev, 0, func(list *registry.EndpointList, _ time.Duration) error {
			if list == nil {
				return nil
			}
			rev = list.Revision
			a.took(list, index)
			return nil
		})
		slog.Debug("agent's watch ended", "sidecar", a.n, "error", err)
		sleep(l.ctx, readyPoll)
	}
}

// took takes over what the agent has told, to it and to its sidecar.
func (a *agent) took(list *registry.EndpointList, index map[string]int) {
	told := map[int]bool{}
	a.mu.Lock()
	if list.Full {
		for n := range a.entries {
			told[n] = false
		}
		a.entries = map[int]target{}
	}
	a.rev = max(a.rev, int64(list.Revision))
	for _, t := range list.Targets {
		n, mine := index[t.UID]
		if !mine {
			continue
		}
		told[n] = t.State == ready
		a.boots[n] = t.BootMS
		if t.State == gone {
			delete(a.entries, n)
		} else {
			a.entries[n] = target{t.UID, t.Endpoint, t.Zone, t.Model, t.PodGroup, t.State, t.Capacity, t.BootMS}
		}
	}
	a.mu.Unlock()
	a.tell(told)
}

// publish tells the list service of a server.
func (l *listService) publish(s *server, state string) {
	l.f.listMu.Lock()
	l.f.listed[s.n] = state
	l.f.listMu.Unlock()
	if state == ready {
		l.keeper.Add(l.instance(s))
	} else {
		l.keeper.Remove(s.plan.UID)
	}
	// In order, and again until the list service is back: a server that has gone must be told as gone.
	l.around.Go(func() {
		for l.ctx.Err() == nil && l.f.state(s) == state {
			ctx, cancel := context.WithTimeout(l.ctx, writeWait)
			var err error
			switch state {
			case ready:
				_, err = l.client.Register(ctx, registry.WriteOptions{}, l.instance(s))
			case terminating:
				_, err = l.client.SetState(ctx, registry.WriteOptions{}, s.plan.UID, registry.InstanceTerminating)
			default:
				_, err = l.client.Deregister(ctx, registry.WriteOptions{}, s.plan.UID)
			}
			cancel()
			if err == nil {
				return
			}
			slog.Debug("list service not told", "server", s.n, "state", state, "error", err)
			sleep(l.ctx, readyPoll)
		}
	})
}

// kill ends all replicas at once.
func (l *listService) kill() {
	for _, r := range l.cluster.Replicas {
		r.Process.Kill()
	}
}

func (l *listService) startAgain() error {
	for _, r := range l.cluster.Replicas {
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends agents and replicas.
func (l *listService) close() {
	if l.stop != nil {
		l.stop()
	}
	for _, p := range l.agents {
		p.Kill()
	}
	if l.cluster != nil {
		if err := l.cluster.Close(); err != nil {
			slog.Debug("replicas", "error", err)
		}
	}
	l.around.Wait()
}
