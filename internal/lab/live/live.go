// Package live runs an experiment of the lab with real sidecar processes, in real time and over real sockets on the
// loopback interface. It owns the processes, the addresses, the modelled network and the injection of faults. Clients,
// servers and discovery are stand-ins in this process that speak the platform's protocol. In an experiment with a control
// plane, servers are processes too (ServeServer), and the registry, the supervisor and the controllers are the project's
// own programs.
//
// The package reports its observations to the checkers of package lab and does not judge them. Package lab also has the
// model of a server. Package sim runs the same plans in simulated time.
package live

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc"
)

const (
	// timeoutToleranceMS is the tolerance that the platform's protocol adds to each time limit on sockets.
	timeoutToleranceMS   = 50
	readyTimeout         = 15 * time.Second
	readyPollInterval    = 10 * time.Millisecond
	stopTimeout          = 5 * time.Second // after SIGTERM: the protocol's 3.7 s, and a margin for a busy machine
	sentRequestRetention = 35 * time.Second
	// schedulingCheckInterval is how often the lab measures the delay with which its own machine schedules it. A delay
	// beyond maxSchedulingDelay excuses all sidecars for its duration.
	schedulingCheckInterval = 5 * time.Millisecond
	maxSchedulingDelay      = 20 * time.Millisecond
	// reservedDescriptors is the number of descriptors that this process needs in addition to listeners and connections.
	reservedDescriptors = 512
)

// Options configure a run.
type Options struct {
	SidecarPath  string         // path of the sidecar program
	MilldeckPath string         // path of the milldeck program, which runs the registry, agents, supervisor and servers
	Dir          string         // folder of configurations and logs
	Progress     func(Progress) // called every second of the run; may be nil
}

// Progress is the state of a run.
type Progress struct {
	LoadShare    float64  // elapsed share of the load's duration, 0 to 1
	AtSeconds    float64  // since the start of the load
	Requests     int      // so far
	ServedShare  float64  // served share of the priority weight so far, 0 to 1
	ActiveFaults []string // labels of the faults in force
}

// Run runs a plan and returns its result. If ctx ends early, Run stops the processes and returns the result so far, marked
// as cut short. The error reports an action that the lab itself could not perform, such as starting a process, opening
// enough descriptors or performing a step. Violations of rules are part of the result.
func Run(ctx context.Context, plan *lab.Plan, options Options) (*lab.Result, error) {
	fleet, err := newFleet(plan, options)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	if err := fleet.start(ctx); err != nil {
		return nil, err
	}
	fleet.startOffset.Store(int64(time.Since(fleet.createdAt)))
	result := fleet.execute(ctx)
	return result, fleet.controlPlane.firstFailure()
}

// fleet holds all parts of a run.
type fleet struct {
	plan      *lab.Plan
	options   Options
	checker   *lab.Checker
	recorder  *lab.Recorder
	effects   *lab.MemoryEffectStore
	addresses addresses
	network   *network

	ctx         context.Context // ends with the run
	cancel      context.CancelFunc
	createdAt   time.Time
	startOffset atomic.Int64 // ns from createdAt to the run's time 0, when all sidecars are ready; 0 before that

	registryService  *registryService // nil: discovery is the stand-in of this process
	controlPlane     *controlPlane    // nil: the experiment has no control plane
	servers          []*server
	agents           []*agent
	sidecars         []*sidecarProcess
	clientGoroutines sync.WaitGroup
	sidecarRestarts  sync.WaitGroup
	openRequests     atomic.Int64
	lastRequestID    atomic.Uint64
	lastAttempt      atomic.Int64
	sentRequests     sync.Map // request id to *sentRequest

	gossip *gossipRelay // nil: sidecars may not exchange gossip

	exhaustions sync.Map // exhaustionKey to *descriptorExhaustion

	publishedMu      sync.Mutex // guards the fields below except discoveryDown
	revision         int64
	publishedStates  map[int]string // by server
	discoveryDelayMS float64        // delay of notifications that the faults in force add
	discoveryDown    atomic.Bool
}

func newFleet(plan *lab.Plan, options Options) (*fleet, error) {
	if err := checkDescriptorLimit(plan); err != nil {
		return nil, err
	}
	block, err := proc.ReserveAddressBlock()
	if err != nil {
		return nil, err
	}
	fleet := &fleet{
		plan: plan, options: options,
		checker: lab.NewChecker(plan, timeoutToleranceMS), recorder: lab.NewRecorder(plan), effects: lab.NewMemoryEffectStore(),
		addresses: addresses{block}, network: newNetwork(), publishedStates: map[int]string{}, revision: 1,
	}
	fleet.ctx, fleet.cancel = context.WithCancel(context.Background())
	fleet.createdAt = time.Now()
	if plan.Experiment.Discovery.Source == "registry" {
		fleet.registryService = &registryService{fleet: fleet}
	}
	if plan.Experiment.HasControlPlane() {
		fleet.controlPlane = newControlPlane(fleet)
	}
	for i := range plan.Servers {
		fleet.servers = append(fleet.servers, fleet.newServer(i))
	}
	for i := range plan.Sidecars {
		fleet.agents = append(fleet.agents, newAgent(fleet, i))
		fleet.sidecars = append(fleet.sidecars, fleet.newSidecarProcess(i))
	}
	if plan.Experiment.Limits.AllowGossip {
		fleet.gossip = newGossipRelay(fleet)
	}
	return fleet, nil
}

// checkDescriptorLimit rejects a plan that needs more sockets than this process may open.
func checkDescriptorLimit(plan *lab.Plan) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	listeners := len(plan.Servers)*len(plan.Sidecars) + 3*len(plan.Sidecars)
	// Each pair of a sidecar and a server has a few connections in addition to its listener.
	needed := uint64(3*listeners + reservedDescriptors + maxExhaustionConnections(plan))
	if needed > limit.Cur {
		return fmt.Errorf("%d sidecars and %d servers need about %d descriptors, the limit is %d: use lab sim",
			len(plan.Sidecars), len(plan.Servers), needed, limit.Cur)
	}
	return nil
}

// maxExhaustionConnections returns how many connections the faults that exhaust descriptors open at most.
func maxExhaustionConnections(plan *lab.Plan) int {
	connections := 0
	for i := range plan.Faults {
		if fault := &plan.Faults[i]; fault.Kind == lab.FaultDescriptorExhaustion {
			connections += len(fault.Sidecars) * plan.Experiment.Sidecars.Sockets
		}
	}
	return connections
}

// millisecondsAt converts a time to the run's time in ms.
func (f *fleet) millisecondsAt(t time.Time) float64 {
	return float64(t.Sub(f.createdAt)-time.Duration(f.startOffset.Load())) / 1e6
}

// now returns the run's time in ms.
func (f *fleet) now() float64 { return f.millisecondsAt(time.Now()) }

// timeAt converts the run's time in ms to a time.
func (f *fleet) timeAt(ms float64) time.Time {
	return f.createdAt.Add(time.Duration(f.startOffset.Load()) + milliseconds(ms))
}

// unixMS converts the run's time in ms to Unix time in ms, the unit of boot_ms.
func (f *fleet) unixMS(ms float64) float64 {
	return math.Round(float64(f.timeAt(ms).UnixMicro()) / 1000)
}

func (f *fleet) nextRequestID() uint64 { return f.lastRequestID.Add(1) }

// countAttempt counts an attempt that a server has received and reports whether it is a retry of its request.
func (f *fleet) countAttempt(id uint64) bool {
	value, ok := f.sentRequests.Load(id)
	return ok && value.(*sentRequest).attempts.Add(1) > 1
}

// start starts servers, discovery and sidecars, and waits until all of them are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, server := range f.servers {
		if server.plan.StartMS > 0 || f.controlPlane != nil {
			continue // the fleet starts this server later, or the supervisor starts it
		}
		if err := server.start(0, false); err != nil {
			return err
		}
		f.publishedStates[server.number] = stateReady
		for number, agent := range f.agents {
			agent.endpoints[server.number] = f.endpointOf(server, number, stateReady)
			agent.knownBootMS[server.number] = 0
		}
	}
	if f.controlPlane != nil {
		return f.controlPlane.start(ctx)
	}
	if f.registryService != nil {
		if err := f.registryService.start(ctx); err != nil {
			return err
		}
	} else {
		for _, agent := range f.agents {
			if err := agent.listen(); err != nil {
				return err
			}
			go agent.receiveChanges()
		}
	}
	if f.gossip != nil {
		if err := f.gossip.open(); err != nil {
			return err
		}
	}
	for _, sidecar := range f.sidecars {
		if err := sidecar.start(); err != nil {
			return err
		}
	}
	for _, sidecar := range f.sidecars {
		if err := sidecar.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// execute runs the load and the faults to their end, stops the sidecars and returns the result.
func (f *fleet) execute(ctx context.Context) *lab.Result {
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var background sync.WaitGroup
	background.Go(func() { f.watchScheduling(loadContext) })
	background.Go(func() { f.reportProgress(loadContext) })
	background.Go(func() { f.injectFaults(loadContext) })
	if f.controlPlane != nil {
		f.controlPlane.setLoad(loadContext, stopLoad)
		background.Go(func() { f.controlPlane.runSteps(loadContext) })
	}
	f.generateLoad(loadContext)
	f.awaitOpenRequests(ctx)
	stopLoad()
	if f.controlPlane != nil {
		f.controlPlane.finish()
	}
	background.Wait()
	f.sidecarRestarts.Wait()
	f.stopSidecars()
	f.cancel()
	f.clientGoroutines.Wait()
	f.checker.Finish(f.now())
	result := f.recorder.Result("run", "module", f.checker)
	result.CutShort = ctx.Err() != nil
	if f.controlPlane != nil {
		result.Metrics = f.controlPlane.checker.Metrics()
	}
	return result
}

// awaitOpenRequests waits until the requests in flight have ended, for at most the longest deadline of a class and a
// margin for late responses.
func (f *fleet) awaitOpenRequests(ctx context.Context) {
	longest := 0.0
	for i := range f.plan.Classes {
		longest = max(longest, f.plan.Classes[i].DeadlineMS)
	}
	deadline := time.Now().Add(milliseconds(longest) + 2*lateResponseWait)
	for f.openRequests.Load() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(readyPollInterval)
	}
}

// watchScheduling detects when the lab's own machine is overloaded, and excuses all sidecars for that time.
func (f *fleet) watchScheduling(ctx context.Context) {
	for {
		due := time.Now().Add(schedulingCheckInterval)
		if !sleep(ctx, schedulingCheckInterval) {
			return
		}
		if delay := time.Since(due); delay > maxSchedulingDelay {
			f.checker.ExcuseAll(f.millisecondsAt(due), f.now()+timeoutToleranceMS)
		}
	}
}

// reportProgress calls Options.Progress every second.
func (f *fleet) reportProgress(ctx context.Context) {
	if f.options.Progress == nil {
		return
	}
	for sleep(ctx, time.Second) {
		now := f.now()
		requests, served := f.recorder.Progress()
		progress := Progress{
			LoadShare: min(1, now/f.plan.DurationMS), AtSeconds: now / 1000, Requests: requests, ServedShare: served,
		}
		for i := range f.plan.Faults {
			if fault := &f.plan.Faults[i]; now >= fault.StartMS && now < fault.EndMS {
				progress.ActiveFaults = append(progress.ActiveFaults, fault.Label)
			}
		}
		f.options.Progress(progress)
	}
}

// stopSidecars ends all sidecars gracefully.
func (f *fleet) stopSidecars() {
	if f.controlPlane != nil {
		f.controlPlane.stop()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, sidecar := range f.sidecars {
		group.Go(func() {
			sidecar.clients.close()
			if err := sidecar.stop(ctx); err != nil {
				f.checker.SidecarCrashed(f.now(), sidecar.number, err.Error())
			}
		})
	}
	group.Wait()
}

// close kills the remaining processes and closes all listeners.
func (f *fleet) close() {
	f.cancel()
	if f.controlPlane != nil {
		f.controlPlane.close()
	}
	for _, sidecar := range f.sidecars {
		sidecar.clients.close()
		sidecar.mu.Lock()
		if sidecar.process != nil {
			sidecar.stopRequested.Store(true)
			sidecar.process.Kill()
		}
		sidecar.mu.Unlock()
	}
	for _, agent := range f.agents {
		agent.close()
	}
	if f.registryService != nil {
		f.registryService.close()
	}
	for _, server := range f.servers {
		if f.controlPlane == nil {
			server.close()
		}
	}
	if f.gossip != nil {
		f.gossip.close()
	}
	f.addresses.Release()
}
