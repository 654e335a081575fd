package live

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milldeck/internal/disruption"
	"milldeck/internal/lab"
	"milldeck/internal/lab/proc"
	"milldeck/internal/registry"
	"milldeck/internal/supervisor"
)

// The control plane's addresses, in nets that the list service and sidecars leave free.
const (
	planeNet       = 220
	supervisorPort = 8600
	observerPort   = 8601
	controllerPort = 8610
)

const (
	planeReady = 30 * time.Second // for all servers, and then for all sidecars, of one machine that starts them at once
	startBatch = 64               // units that are started in one call
	endWait    = 10 * time.Second // for the platform to end all that it has started
)

// control is the control plane of a run: the platform that starts servers and sidecars, the controllers, and what
// watches them for the judge.
type control struct {
	f     *fleet
	file  *lab.ControlFile
	judge *lab.ControlJudge
	ctx   context.Context
	quit  context.CancelFunc
	over  atomic.Bool // the run is judged; what ends now does so because it is over

	observer    net.Listener
	platform    *proc.Process
	client      *supervisor.Client
	controllers []*controller
	around      sync.WaitGroup

	numbers map[string]int // of servers by unit
	beside  map[string]int // of sidecars by unit

	mu     sync.Mutex
	lives  map[int]*seen               // by pid
	homes  map[string]registry.Sidecar // sidecars as they are registered
	broken error                       // what the lab itself could not do
	abort  func()                      // ends the run's load
}

func newControl(f *fleet) *control {
	c := &control{
		f: f, file: f.plan.File.Control, numbers: map[string]int{}, beside: map[string]int{}, lives: map[int]*seen{}, homes: map[string]registry.Sidecar{},
	}
	c.judge = lab.NewControlJudge(f.plan, f.judge)
	c.ctx, c.quit = context.WithCancel(f.ctx)
	for i := range f.plan.Servers {
		c.numbers[f.plan.Servers[i].UID] = i
	}
	for i := range f.plan.Sidecars {
		c.beside[f.plan.Sidecars[i].Name] = i
	}
	for i := range c.file.Controllers {
		c.controllers = append(c.controllers, newController(c, i))
	}
	return c
}

// now is the run's time; all before its begin is at 0.
func (c *control) now() float64 {
	if c.f.zero.Load() == 0 {
		return 0
	}
	return c.f.now()
}

func (c *control) supervisorAddr() string { return c.f.addrs.Addr(planeNet, 0, supervisorPort) }

func (c *control) observerAddr() string { return c.f.addrs.Addr(planeNet, 0, observerPort) }

// start brings up the list service, the platform, servers, agents, sidecars and controllers, in this order.
func (c *control) start(ctx context.Context) error {
	f := c.f
	l := f.registry
	l.ctx, l.stop = context.WithCancel(f.ctx)
	ready, cancel := context.WithTimeout(ctx, listReady)
	defer cancel()
	if err := l.startReplicas(ready); err != nil {
		return err
	}
	l.around.Go(l.keep)
	if err := c.observe(); err != nil {
		return err
	}
	if err := c.startPlatform(ready); err != nil {
		return err
	}
	c.around.Go(c.watchProcesses)
	c.around.Go(c.watchSidecars)
	c.around.Go(c.registerSidecars)
	c.around.Go(c.watchList)
	if err := c.startServers(ctx); err != nil {
		return err
	}
	if err := l.startAgents(ctx); err != nil {
		return err
	}
	for _, a := range f.agents {
		c.around.Go(func() { c.watchPlacement(a) })
	}
	if f.peers != nil {
		if err := f.peers.open(); err != nil {
			return err
		}
	}
	if err := c.startSidecars(ctx); err != nil {
		return err
	}
	if err := c.budgets(ready); err != nil {
		return err
	}
	for _, k := range c.controllers {
		if k.file.AtS > 0 {
			continue
		}
		if err := k.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// budgets tells the ledger what may be out.
func (c *control) budgets(ctx context.Context) error {
	for i := range c.file.Budgets {
		b := &c.file.Budgets[i]
		_, err := c.f.registry.client.Ledger(ctx, registry.Write{}, disruption.Op{
			Kind: disruption.OpBudget, Owner: "operator/lab", Budget: &disruption.Budget{
				Name:   b.Name,
				Select: disruption.Selector{Kind: disruption.Kind(b.Kind), Zone: b.Zone, Model: b.Of},
				MaxOut: disruption.Limit{Count: b.Told},
			},
		})
		if err != nil {
			return fmt.Errorf("budget %s: %w", b.Name, err)
		}
	}
	return nil
}

// startPlatform writes the versions' file and starts the platform.
func (c *control) startPlatform(ctx context.Context) error {
	text, err := c.versions()
	if err != nil {
		return err
	}
	dir := c.f.opts.Dir
	path := filepath.Join(dir, "versions.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	if c.client, err = supervisor.NewClient(c.supervisorAddr()); err != nil {
		return err
	}
	return c.launchPlatform(ctx)
}

func (c *control) launchPlatform(ctx context.Context) error {
	dir := c.f.opts.Dir
	p, err := proc.Start(proc.Spec{
		Name: "supervisor", Path: c.f.opts.Milldeck, Log: filepath.Join(dir, "supervisor.log"),
		Args: []string{"supervisor", "stand-in", "--listen", c.supervisorAddr(), "--versions", filepath.Join(dir, "versions.toml"),
			"--dir", filepath.Join(dir, "units")},
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.platform = p
	c.mu.Unlock()
	_, err = p.WaitLog(ctx, "msg=serves")
	return err
}

// versions is the platform's file, with a file beside it for what each version of servers does wrong.
func (c *control) versions() (string, error) {
	var b strings.Builder
	for i := range c.file.Versions {
		v := &c.file.Versions[i]
		fmt.Fprintf(&b, "[[version]]\nname = %q\nkind = %q\nready = %q\nrestarts = %d\ngrace_ms = %d\n", v.Name, v.Kind, readyPath, v.Restarts, v.GraceMS)
		env := fmt.Sprintf("%s = \"{name}\", %s = \"{version}\"", unitEnv, versionEnv)
		if v.Kind == "sidecar" {
			fmt.Fprintf(&b, "argv = [%q]\nenv = { NODE_CONFIG = \"{config}\", %s }\n", c.f.opts.Sidecar, env)
			continue
		}
		path := filepath.Join(c.f.opts.Dir, "harm-"+v.Name+".toml")
		if err := os.WriteFile(path, []byte(v.Harm.Text()), 0o600); err != nil {
			return "", fmt.Errorf("version %s: %w", v.Name, err)
		}
		fmt.Fprintf(&b, "argv = [%q, \"lab\", \"server\", \"--listen\", \"{listen}\", \"--name\", \"{name}\", \"--version\", \"{version}\", \"--config\", \"{config}\", \"--harm\", %q]\nenv = { %s }\n",
			c.f.opts.Milldeck, path, env)
	}
	return b.String(), nil
}

// launch asks the platform to start units that it does not know.
func (c *control) launch(ctx context.Context, all []supervisor.Request) error {
	known, err := c.client.List(ctx)
	if err != nil {
		return err
	}
	for len(all) > 0 {
		n := min(len(all), startBatch)
		for i := range all[:n] {
			all[i].Memory = known.Memory
		}
		out, err := c.client.Do(ctx, all[:n]...)
		if err != nil {
			return err
		}
		for i := range out {
			if err := out[i].Err(); err != nil {
				return err
			}
		}
		all = all[n:]
	}
	return nil
}

func (c *control) startServers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, planeReady)
	defer cancel()
	var all []supervisor.Request
	for _, s := range c.f.servers {
		all = append(all, supervisor.Request{
			ID: "lab/start/" + s.plan.UID, Op: supervisor.Start, Unit: s.plan.UID, Kind: supervisor.Server,
			Version: c.file.ServerVersion, Listen: c.f.addrs.server(s.plan.Slot, 0), Zone: c.f.plan.File.Zones[s.plan.Zone],
			Config: "base", File: c.serverFile(s),
		})
	}
	if err := c.launch(ctx, all); err != nil {
		return fmt.Errorf("servers: %w", err)
	}
	for _, s := range c.f.servers {
		for !s.isUp() {
			if !sleep(ctx, readyPoll) {
				return fmt.Errorf("server %s did not get ready within %v: %w; %s", s.plan.UID, planeReady, ctx.Err(), c.platform.Log())
			}
		}
		if err := c.register(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func (c *control) startSidecars(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, planeReady)
	defer cancel()
	var all []supervisor.Request
	for _, n := range c.f.nodes {
		text, err := n.config()
		if err != nil {
			return err
		}
		p := &c.f.plan.Sidecars[n.n]
		all = append(all, supervisor.Request{
			ID: "lab/start/" + p.Name, Op: supervisor.Start, Unit: p.Name, Kind: supervisor.Sidecar,
			Version: c.file.SidecarVersion, Listen: n.addr, Zone: c.f.plan.File.Zones[p.Zone], Config: "base", File: string(text),
		})
	}
	if err := c.launch(ctx, all); err != nil {
		return fmt.Errorf("sidecars: %w", err)
	}
	for _, n := range c.f.nodes {
		for !c.answers(n.addr) {
			if !sleep(ctx, readyPoll) {
				return fmt.Errorf("sidecar %s did not get ready within %v: %w", c.f.plan.Sidecars[n.n].Name, planeReady, ctx.Err())
			}
		}
	}
	return nil
}

// agentMore is what agents' configurations say beside the list.
func (c *control) agentMore(name string) string {
	var reports []string
	for _, k := range c.controllers {
		if k.file.Reports {
			reports = append(reports, fmt.Sprintf("%q", k.addr))
		}
	}
	return fmt.Sprintf("saved_placement = %q\nreports = [%s]\n", filepath.Join(c.f.opts.Dir, name+".placement"), strings.Join(reports, ", "))
}

// trouble keeps the first thing that the lab itself could not do: such a run says nothing.
func (c *control) trouble(what string, err error) {
	if err == nil || c.over.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.broken = fmt.Errorf("the lab cannot play %s: %w", what, err)
		if c.abort != nil {
			c.abort()
		}
	}
}

// failed is what made the run say nothing.
func (c *control) failed() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// finish judges how all stands, before anything is ended.
func (c *control) finish() {
	c.judge.Finish(c.now())
	c.over.Store(true)
}

// stop ends controllers, and then all that the platform has started.
func (c *control) stop() {
	c.over.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), endWait)
	defer cancel()
	var all sync.WaitGroup
	for _, k := range c.controllers {
		all.Go(func() { k.stop(ctx) })
	}
	all.Wait()
	for _, n := range c.f.nodes {
		n.app.close()
	}
	if c.platform != nil {
		if err := c.platform.Stop(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			c.f.judge.Crashed(c.f.now(), -1, "the supervisor: "+err.Error())
		}
	}
	c.crashes()
}

// crashes looks for sidecars that ended by a fault of their own, as their logs tell.
func (c *control) crashes() {
	for unit, n := range c.beside {
		data, err := os.ReadFile(filepath.Join(c.f.opts.Dir, "units", unit+".log"))
		if err != nil {
			continue // it never logged
		}
		for _, sign := range []string{"panic: ", "fatal error: ", "DATA RACE"} {
			if _, rest, found := strings.Cut(string(data), sign); found {
				line, _, _ := strings.Cut(rest, "\n")
				c.f.judge.Crashed(c.f.now(), n, sign+line)
				break
			}
		}
	}
}

// close ends whatever is left.
func (c *control) close() {
	c.over.Store(true)
	c.quit()
	for _, k := range c.controllers {
		k.kill()
	}
	c.mu.Lock()
	p := c.platform
	c.mu.Unlock()
	if p != nil {
		p.Signal(syscall.SIGCONT)
		p.Kill() // the kernel ends what it has started with it
	}
	if c.observer != nil {
		c.observer.Close()
	}
	if c.client != nil {
		c.client.Close()
	}
	c.around.Wait()
	if l := c.f.registry.links; l != nil {
		l.Close()
	}
}
