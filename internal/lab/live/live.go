// Package live plays a lab plan with real sidecar processes on loopback addresses of their own: real sockets
// and real time. Servers, discovery and clients are stand-ins that speak PROTOCOL, in this process; the server
// model is that of package lab.
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
	// timeoutToleranceMS is what PROTOCOL adds to each time limit on sockets.
	timeoutToleranceMS   = 50
	readyTimeout         = 15 * time.Second
	readyPollInterval    = 10 * time.Millisecond
	stopTimeout          = 5 * time.Second // after SIGTERM: PROTOCOL's 3.7 s, and some for a busy machine
	sentRequestRetention = 35 * time.Second
	// schedulingCheckInterval is how often the lab looks whether its own machine is late, and maxSchedulingDelay from when on it is.
	schedulingCheckInterval = 5 * time.Millisecond
	maxSchedulingDelay      = 20 * time.Millisecond
	// descriptors each process needs beside its connections.
	reservedDescriptors = 512
)

// Options say how a plan is played.
type Options struct {
	SidecarPath  string // the program; it is started once for each sidecar
	MilldeckPath string // the operators' program, for the list service and its agents
	Dir          string // for configurations and logs
	Progress     func(Progress)
}

// Progress is how far a run has come.
type Progress struct {
	LoadShare    float64 // of the load, 0 to 1
	AtSeconds    float64
	Requests     int
	ServedShare  float64 // share of the worth so far
	ActiveFaults []string
}

// Run plays a plan. When ctx ends early, children are ended and the result so far is returned, marked as cut.
func Run(ctx context.Context, plan *lab.Plan, options Options) (*lab.Result, error) {
	fleet, err := newFleet(ctx, plan, options)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	if err := fleet.start(ctx); err != nil {
		return nil, err
	}
	fleet.startOffset.Store(int64(time.Since(fleet.createdAt)))
	result := fleet.play(ctx)
	return result, fleet.controlPlane.firstFailure()
}

// fleet is all that takes part in a run.
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
	startOffset atomic.Int64 // ns from made to the run's time 0, when all sidecars are ready

	registryService *registryService // nil: discovery is the lab's stand-in
	controlPlane    *controlPlane    // nil: there is no control plane
	servers         []*server
	agents          []*agent
	sidecars        []*sidecarProcess
	openClients     sync.WaitGroup
	sidecarRestarts sync.WaitGroup // of sidecars
	openRequests    atomic.Int64
	lastRequestID   atomic.Uint64
	lastAttempt     atomic.Int64
	sentRequests    sync.Map // request id -> *asked

	gossip *gossipRelay // nil: sidecars may not tell each other anything

	publishedMu      sync.Mutex
	revision         int64
	publishedStates  map[int]string
	discoveryDelayMS float64 // ms
	discoveryDown    atomic.Bool
}

func newFleet(ctx context.Context, plan *lab.Plan, options Options) (*fleet, error) {
	if err := checkDescriptorLimit(plan); err != nil {
		return nil, err
	}
	block, err := proc.ReserveBlock()
	if err != nil {
		return nil, err
	}
	fleet := &fleet{
		plan: plan, options: options, checker: lab.NewChecker(plan, timeoutToleranceMS), recorder: lab.NewRecorder(plan), effects: lab.NewMemoryEffectStore(),
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

// checkDescriptorLimit refuses a plan whose sockets this process may not hold.
func checkDescriptorLimit(plan *lab.Plan) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	listeners := len(plan.Servers)*len(plan.Sidecars) + 3*len(plan.Sidecars)
	// Beside its listener each pair of a sidecar and a server holds a few connections.
	if needed := uint64(3*listeners + reservedDescriptors); needed > limit.Cur {
		return fmt.Errorf("%d sidecars and %d servers need about %d descriptors, the limit is %d: play it with lab sim",
			len(plan.Sidecars), len(plan.Servers), needed, limit.Cur)
	}
	return nil
}

// millisecondsAt is a time in the run's own ms.
func (f *fleet) millisecondsAt(t time.Time) float64 {
	return float64(t.Sub(f.createdAt)-time.Duration(f.startOffset.Load())) / 1e6
}

func (f *fleet) now() float64 { return f.millisecondsAt(time.Now()) }

func (f *fleet) timeAt(ms float64) time.Time {
	return f.createdAt.Add(time.Duration(f.startOffset.Load()) + milliseconds(ms))
}

// unixMS is a time of the run in Unix ms, as boot_ms has it.
func (f *fleet) unixMS(ms float64) float64 {
	return math.Round(float64(f.timeAt(ms).UnixMicro()) / 1000)
}

func (f *fleet) nextRequestID() uint64 { return f.lastRequestID.Add(1) }

// isRetry tells whether a request had an attempt before this one.
func (f *fleet) isRetry(id uint64) bool {
	value, ok := f.sentRequests.Load(id)
	return ok && value.(*sentRequest).attempts.Add(1) > 1
}

// start brings up servers, discovery and sidecars; the run's time begins once all are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, server := range f.servers {
		if server.plan.StartMS > 0 || f.controlPlane != nil {
			continue // a platform starts it
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

// play runs load and faults to the end.
func (f *fleet) play(ctx context.Context) *lab.Result {
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var background sync.WaitGroup
	background.Go(func() { f.watchScheduling(loadContext) })
	background.Go(func() { f.reportProgress(loadContext) })
	background.Go(func() { f.injectFaults(loadContext) })
	if f.controlPlane != nil {
		f.controlPlane.onFailure(loadContext, stopLoad)
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
	f.openClients.Wait()
	f.checker.Finish(f.now())
	result := f.recorder.Result("run", "module", f.checker)
	result.CutShort = ctx.Err() != nil
	if f.controlPlane != nil {
		result.Metrics = f.controlPlane.checker.Metrics()
	}
	return result
}

// awaitOpenRequests waits for what is open after the last request.
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

// watchScheduling watches for the lab's own machine being late, of which no sidecar is to blame.
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

// reportProgress tells of the progress every second.
func (f *fleet) reportProgress(ctx context.Context) {
	if f.options.Progress == nil {
		return
	}
	for sleep(ctx, time.Second) {
		now := f.now()
		requests, served := f.recorder.Progress()
		progress := Progress{LoadShare: min(1, now/f.plan.DurationMS), AtSeconds: now / 1000, Requests: requests, ServedShare: served}
		for i := range f.plan.Faults {
			if fault := &f.plan.Faults[i]; now >= fault.StartMS && now < fault.EndMS {
				progress.ActiveFaults = append(progress.ActiveFaults, fault.Label)
			}
		}
		f.options.Progress(progress)
	}
}

// stopSidecars ends the sidecars in good order.
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

// close ends whatever is left.
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
			server.crash()
		}
	}
	if f.gossip != nil {
		f.gossip.close()
	}
	f.addresses.Release()
}
