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

// The control plane's addresses, in subnets that the registry and the sidecars do not use.
const (
	controlPlaneNet     = 220
	supervisorPort      = 8600
	labServicePort      = 8601
	firstControllerPort = 8610
)

const (
	startupTimeout  = 30 * time.Second // until all servers, or all sidecars, are ready; they start simultaneously on one machine
	startBatchSize  = 64               // units in one request to the supervisor
	sidecarLeaseTTL = 3 * time.Second  // lease of a sidecar's registration in the ledger
	shutdownTimeout = 10 * time.Second // for the supervisor and all its units to exit
)

// controlPlane is the control plane of a run: the stand-in supervisor that starts servers and sidecars, the controllers
// under test, and the goroutines that observe all of them for the checker.
type controlPlane struct {
	fleet    *fleet
	spec     *lab.ControlPlaneSpec
	checker  *lab.ControlPlaneChecker
	ctx      context.Context
	cancel   context.CancelFunc
	finished atomic.Bool // the checker has judged the final state: processes that exit later belong to the shutdown

	listener         net.Listener // for RPC connections of server processes
	supervisor       *proc.Process
	supervisorClient *supervisor.Client
	controllers      []*controller
	background       sync.WaitGroup

	serverByUnit  map[string]int // numbers of servers by unit name
	sidecarByUnit map[string]int // numbers of sidecars by unit name

	mu          sync.Mutex
	processes   map[int]*unitProcess // by pid
	failure     error                // error of the first action that the lab itself could not perform
	abortLoad   func()               // ends the run's load
	loadContext context.Context      // ends with the load
}

func newControlPlane(fleet *fleet) *controlPlane {
	plane := &controlPlane{
		fleet: fleet, spec: fleet.plan.Experiment.ControlPlane,
		serverByUnit: map[string]int{}, sidecarByUnit: map[string]int{},
		processes: map[int]*unitProcess{},
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

// now returns the run's time in ms, 0 before the run starts.
func (c *controlPlane) now() float64 {
	if c.fleet.startOffset.Load() == 0 {
		return 0
	}
	return c.fleet.now()
}

// supervisorAddress returns the address at which the supervisor listens.
func (c *controlPlane) supervisorAddress() string {
	return c.fleet.addresses.Addr(controlPlaneNet, 0, supervisorPort)
}

// labServiceAddress returns the address at which the lab listens for server processes.
func (c *controlPlane) labServiceAddress() string {
	return c.fleet.addresses.Addr(controlPlaneNet, 0, labServicePort)
}

// start starts the registry, the supervisor, servers, agents, sidecars and controllers, in this order.
func (c *controlPlane) start(ctx context.Context) error {
	fleet := c.fleet
	for i := range c.spec.Controllers {
		if err := c.spec.Controllers[i].CheckListens(); err != nil {
			return fmt.Errorf("control.controller[%d].args: %w", i, err)
		}
	}
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

// setBudgets writes the experiment's disruption budgets to the ledger.
func (c *controlPlane) setBudgets(ctx context.Context) error {
	for i := range c.spec.Budgets {
		budget := &c.spec.Budgets[i]
		_, err := c.fleet.registryService.client.ApplyLedgerOp(ctx, registry.WriteOptions{}, disruption.Op{
			Kind: disruption.OpSetBudget, Owner: ledgerOwner, Budget: &disruption.Budget{
				Name:           budget.Name,
				Selector:       disruption.Selector{Kind: disruption.Kind(budget.Kind), Zone: budget.Zone, Model: budget.ServerKind},
				MaxUnavailable: disruption.Limit{Count: budget.LedgerMaxUnavailable},
			},
		})
		if err != nil {
			return fmt.Errorf("budget %s: %w", budget.Name, err)
		}
	}
	return nil
}

// agentConfig returns the part of an agent's configuration that only an experiment with a control plane needs: the
// placement file, the receivers of load reports, and the sidecar that the agent registers in the ledger.
func (c *controlPlane) agentConfig(sidecar int, agentName string) string {
	var reports []string
	for _, controller := range c.controllers {
		if controller.spec.ReceivesReports {
			reports = append(reports, fmt.Sprintf("%q", controller.address))
		}
	}
	plan := &c.fleet.plan.Sidecars[sidecar]
	var text strings.Builder
	fmt.Fprintf(&text, "saved_placement = %q\n", filepath.Join(c.fleet.options.Dir, agentName+".placement"))
	fmt.Fprintf(&text, "reports = [%s]\n", strings.Join(reports, ", "))
	text.WriteString("[sidecar]\n")
	fmt.Fprintf(&text, "name = %q\naddress = %q\n", plan.Name, c.fleet.addresses.sidecar(sidecar))
	fmt.Fprintf(&text, "zone = %q\ntenant = %q\n", c.fleet.plan.Experiment.Zones[plan.Zone], c.fleet.plan.Tenant(sidecar))
	fmt.Fprintf(&text, "version = %q\nlease_ms = %d\n", c.spec.SidecarVersion, sidecarLeaseTTL.Milliseconds())
	return text.String()
}

// recordFailure stores the error of the first action that the lab itself could not perform and ends the load: the run is
// void. It ignores errors after the end of the load, as the end may have interrupted the action.
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
		c.failure = fmt.Errorf("the lab cannot perform %s: %w", action, err)
		if c.abortLoad != nil {
			c.abortLoad()
		}
	}
}

// setLoad stores the load's context and the function that ends the load. recordFailure ignores errors once the context
// has ended.
func (c *controlPlane) setLoad(load context.Context, abort func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadContext, c.abortLoad = load, abort
}

// firstFailure returns the error that makes the run void. It is nil if there is no error or no control plane.
func (c *controlPlane) firstFailure() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// finish makes the checker judge the final state. It has to be called before any process is stopped.
func (c *controlPlane) finish() {
	c.checker.Finish(c.now())
	c.finished.Store(true)
}

// stop ends the controllers, then the supervisor with all its units, and then searches the sidecars' logs for crashes.
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

// findSidecarCrashes reports the sidecars whose logs show a panic, a runtime error or a data race.
func (c *controlPlane) findSidecarCrashes() {
	for unit, sidecar := range c.sidecarByUnit {
		content, err := os.ReadFile(filepath.Join(c.fleet.options.Dir, "units", unit+".log"))
		if err != nil {
			continue // the unit has logged nothing
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

// close kills the remaining processes and waits for the goroutines.
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
		_ = supervisor.Signal(syscall.SIGCONT) // fails only if the supervisor has exited, which Kill handles
		supervisor.Kill()                      // the kernel kills the units when the supervisor exits
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
