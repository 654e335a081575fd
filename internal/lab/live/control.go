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
	planeReady   = 30 * time.Second // for all servers, and then for all sidecars, of one machine that starts them at once
	startBatch   = 64               // units that are started in one call
	sidecarLease = 3 * time.Second  // of a sidecar in the ledger
	endWait      = 10 * time.Second // for the platform to end all that it has started
)

// control is the control plane of a run: the platform that starts servers and sidecars, the controllers, and what
// watches them for the judge.
type control struct {
	f     *fleet
	file  *lab.ControlPlaneSpec
	judge *lab.ControlPlaneChecker
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
	lives  map[int]*seen   // by pid
	broken error           // what the lab itself could not do
	abort  func()          // ends the run's load
	load   context.Context // ends with the load
}

func newControl(f *fleet) *control {
	c := &control{
		f: f, file: f.plan.Experiment.ControlPlane, numbers: map[string]int{}, beside: map[string]int{}, lives: map[int]*seen{},
	}
	c.judge = lab.NewControlPlaneChecker(f.plan, f.judge)
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
	c.around.Go(c.findWarm)
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
		_, err := c.f.registry.client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{
			Kind: disruption.OpSetBudget, Owner: "operator/lab", Budget: &disruption.Budget{
				Name:           b.Name,
				Selector:       disruption.Selector{Kind: disruption.Kind(b.Kind), Zone: b.Zone, Model: b.ServerKind},
				MaxUnavailable: disruption.Limit{Count: b.LedgerMaxOut},
			},
		})
		if err != nil {
			return fmt.Errorf("budget %s: %w", b.Name, err)
		}
	}
	return nil
}

// agentMore is what an agent's configuration says beside the list: the placement, where reports go, and its sidecar,
// which it registers in the ledger.
func (c *control) agentMore(n int, name string) string {
	var reports []string
	for _, k := range c.controllers {
		if k.file.ReceivesReports {
			reports = append(reports, fmt.Sprintf("%q", k.addr))
		}
	}
	p := &c.f.plan.Sidecars[n]
	return fmt.Sprintf("saved_placement = %q\nreports = [%s]\n[sidecar]\nname = %q\naddress = %q\nzone = %q\ntenant = %q\nversion = %q\nlease_ms = %d\n",
		filepath.Join(c.f.opts.Dir, name+".placement"), strings.Join(reports, ", "), p.Name, c.f.addrs.sidecar(n),
		c.f.plan.Experiment.Zones[p.Zone], c.f.plan.Tenant(n), c.file.SidecarVersion, sidecarLease.Milliseconds())
}

// trouble keeps the first thing that the lab itself could not do: such a run says nothing.
func (c *control) trouble(what string, err error) {
	if err == nil || c.over.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.load != nil && c.load.Err() != nil {
		return
	}
	if c.broken == nil {
		c.broken = fmt.Errorf("the lab cannot play %s: %w", what, err)
		if c.abort != nil {
			c.abort()
		}
	}
}

// onTrouble has something done at the first trouble while the load goes on: what is cut off with it is none.
func (c *control) onTrouble(load context.Context, do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load, c.abort = load, do
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
			c.f.judge.SidecarCrashed(c.f.now(), -1, "the supervisor: "+err.Error())
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
				c.f.judge.SidecarCrashed(c.f.now(), n, sign+line)
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
