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
	controlPlaneNet     = 220
	supervisorPort      = 8600
	labServicePort      = 8601
	firstControllerPort = 8610
)

const (
	startupTimeout  = 30 * time.Second // for all servers, and then for all sidecars, of one machine that starts them at once
	startBatchSize  = 64               // units that are started in one call
	sidecarLeaseTTL = 3 * time.Second  // of a sidecar in the ledger
	shutdownTimeout = 10 * time.Second // for the platform to end all that it has started
)

// controlPlane is the control plane of a run: the platform that starts servers and sidecars, the controllers, and what
// watches them for the judge.
type controlPlane struct {
	fleet    *fleet
	spec     *lab.ControlPlaneSpec
	checker  *lab.ControlPlaneChecker
	ctx      context.Context
	cancel   context.CancelFunc
	finished atomic.Bool // the run is judged; what ends now does so because it is over

	listener         net.Listener
	supervisor       *proc.Process
	supervisorClient *supervisor.Client
	controllers      []*controller
	background       sync.WaitGroup

	serverByUnit  map[string]int // of servers by unit
	sidecarByUnit map[string]int // of sidecars by unit

	mu          sync.Mutex
	processes   map[int]*unitProcess // by pid
	failure     error                // what the lab itself could not do
	abortLoad   func()               // ends the run's load
	loadContext context.Context      // ends with the load
}

func newControlPlane(fleet *fleet) *controlPlane {
	plane := &controlPlane{
		fleet: fleet, spec: fleet.plan.Experiment.ControlPlane, serverByUnit: map[string]int{}, sidecarByUnit: map[string]int{}, processes: map[int]*unitProcess{},
	}
	plane.checker = lab.NewControlPlaneChecker(fleet.plan, fleet.checker)
	plane.ctx, plane.cancel = context.WithCancel(fleet.ctx)
	for i := range fleet.plan.Servers {
		plane.serverByUnit[fleet.plan.Servers[i].UID] = i
	}
	for i := range fleet.plan.Sidecars {
		plane.sidecarByUnit[fleet.plan.Sidecars[i].Name] = i
	}
	for i := range plane.spec.Controllers {
		plane.controllers = append(plane.controllers, newController(plane, i))
	}
	return plane
}

// now is the run's time; all before its begin is at 0.
func (c *controlPlane) now() float64 {
	if c.fleet.startOffset.Load() == 0 {
		return 0
	}
	return c.fleet.now()
}

func (c *controlPlane) supervisorAddress() string {
	return c.fleet.addresses.Addr(controlPlaneNet, 0, supervisorPort)
}

func (c *controlPlane) labServiceAddress() string {
	return c.fleet.addresses.Addr(controlPlaneNet, 0, labServicePort)
}

// start brings up the list service, the platform, servers, agents, sidecars and controllers, in this order.
func (c *controlPlane) start(ctx context.Context) error {
	fleet := c.fleet
	registryService := fleet.registryService
	registryService.ctx, registryService.cancel = context.WithCancel(fleet.ctx)
	startContext, cancel := context.WithTimeout(ctx, registryStartTimeout)
	defer cancel()
	if err := registryService.startReplicas(startContext); err != nil {
		return err
	}
	registryService.background.Go(registryService.renewLeases)
	if err := c.listenForServers(); err != nil {
		return err
	}
	if err := c.startSupervisor(startContext); err != nil {
		return err
	}
	c.background.Go(c.watchProcesses)
	c.background.Go(c.watchSidecars)
	c.background.Go(c.watchEndpoints)
	if err := c.startServers(ctx); err != nil {
		return err
	}
	if err := registryService.startAgents(ctx); err != nil {
		return err
	}
	for _, agent := range fleet.agents {
		c.background.Go(func() { c.watchPlacement(agent) })
	}
	if fleet.gossip != nil {
		if err := fleet.gossip.open(); err != nil {
			return err
		}
	}
	if err := c.startSidecars(ctx); err != nil {
		return err
	}
	if err := c.setBudgets(startContext); err != nil {
		return err
	}
	c.background.Go(c.reportWarmedUp)
	for _, controller := range c.controllers {
		if controller.spec.AtS > 0 {
			continue
		}
		if err := controller.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// setBudgets tells the ledger what may be out.
func (c *controlPlane) setBudgets(ctx context.Context) error {
	for i := range c.spec.Budgets {
		budget := &c.spec.Budgets[i]
		_, err := c.fleet.registryService.client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{
			Kind: disruption.OpSetBudget, Owner: "operator/lab", Budget: &disruption.Budget{
				Name:           budget.Name,
				Selector:       disruption.Selector{Kind: disruption.Kind(budget.Kind), Zone: budget.Zone, Model: budget.ServerKind},
				MaxUnavailable: disruption.Limit{Count: budget.LedgerMaxOut},
			},
		})
		if err != nil {
			return fmt.Errorf("budget %s: %w", budget.Name, err)
		}
	}
	return nil
}

// agentConfig is what an agent's configuration says beside the list: the placement, where reports go, and its sidecar,
// which it registers in the ledger.
func (c *controlPlane) agentConfig(sidecar int, agentName string) string {
	var reports []string
	for _, controller := range c.controllers {
		if controller.spec.ReceivesReports {
			reports = append(reports, fmt.Sprintf("%q", controller.address))
		}
	}
	plan := &c.fleet.plan.Sidecars[sidecar]
	return fmt.Sprintf("saved_placement = %q\nreports = [%s]\n[sidecar]\nname = %q\naddress = %q\nzone = %q\ntenant = %q\nversion = %q\nlease_ms = %d\n",
		filepath.Join(c.fleet.options.Dir, agentName+".placement"), strings.Join(reports, ", "), plan.Name, c.fleet.addresses.sidecar(sidecar),
		c.fleet.plan.Experiment.Zones[plan.Zone], c.fleet.plan.Tenant(sidecar), c.spec.SidecarVersion, sidecarLeaseTTL.Milliseconds())
}

// recordFailure keeps the first thing that the lab itself could not do: such a run says nothing.
func (c *controlPlane) recordFailure(action string, err error) {
	if err == nil || c.finished.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadContext != nil && c.loadContext.Err() != nil {
		return
	}
	if c.failure == nil {
		c.failure = fmt.Errorf("the lab cannot play %s: %w", action, err)
		if c.abortLoad != nil {
			c.abortLoad()
		}
	}
}

// onFailure has something done at the first trouble while the load goes on: what is cut off with it is none.
func (c *controlPlane) onFailure(load context.Context, abort func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadContext, c.abortLoad = load, abort
}

// firstFailure is what made the run say nothing.
func (c *controlPlane) firstFailure() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// finish judges how all stands, before anything is ended.
func (c *controlPlane) finish() {
	c.checker.Finish(c.now())
	c.finished.Store(true)
}

// stop ends controllers, and then all that the platform has started.
func (c *controlPlane) stop() {
	c.finished.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, controller := range c.controllers {
		group.Go(func() { controller.stop(ctx) })
	}
	group.Wait()
	for _, sidecar := range c.fleet.sidecars {
		sidecar.clients.close()
	}
	if c.supervisor != nil {
		if err := c.supervisor.Stop(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			c.fleet.checker.SidecarCrashed(c.fleet.now(), -1, "the supervisor: "+err.Error())
		}
	}
	c.findSidecarCrashes()
}

// findSidecarCrashes looks for sidecars that ended by a fault of their own, as their logs tell.
func (c *controlPlane) findSidecarCrashes() {
	for unit, sidecar := range c.sidecarByUnit {
		content, err := os.ReadFile(filepath.Join(c.fleet.options.Dir, "units", unit+".log"))
		if err != nil {
			continue // it never logged
		}
		for _, marker := range []string{"panic: ", "fatal error: ", "DATA RACE"} {
			if _, after, found := strings.Cut(string(content), marker); found {
				line, _, _ := strings.Cut(after, "\n")
				c.fleet.checker.SidecarCrashed(c.fleet.now(), sidecar, marker+line)
				break
			}
		}
	}
}

// close ends whatever is left.
func (c *controlPlane) close() {
	c.finished.Store(true)
	c.cancel()
	for _, controller := range c.controllers {
		controller.kill()
	}
	c.mu.Lock()
	supervisor := c.supervisor
	c.mu.Unlock()
	if supervisor != nil {
		supervisor.Signal(syscall.SIGCONT)
		supervisor.Kill() // the kernel ends what it has started with it
	}
	if c.listener != nil {
		c.listener.Close()
	}
	if c.supervisorClient != nil {
		c.supervisorClient.Close()
	}
	c.background.Wait()
	if network := c.fleet.registryService.links; network != nil {
		network.Close()
	}
}
