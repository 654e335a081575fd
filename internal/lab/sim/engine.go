// Package sim simulates a plan of package lab on a virtual clock, without sockets: many instances of the decision module,
// and models of the servers, the clients and the network between them.
//
// The simulation is deterministic. A plan gives the same result byte for byte with any number of workers: within a tick
// instances run in parallel, as they share no state, and everything else runs in a fixed order.
package sim

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// Options configure a simulation.
type Options struct {
	Policy   string             // one of Policies; "": PolicyModule
	Workers  int                // maximum number of instances that run in parallel; 0: one per core. Does not change the result
	Progress func(done float64) // called about every second of the run with the completed share of the run; may be nil

	// InstanceFactory creates the instance of a sidecar instead of Policy, for tests with defective instances.
	InstanceFactory func(sidecar int, config balance.Config) (Instance, error)
}

// Stats are the cost of a run. They are not part of its result.
type Stats struct {
	Events  int // events that the instances and the rest of the simulation handled
	Elapsed time.Duration
}

const (
	// clientDelayMS is the delay between an application and its sidecar on the same machine.
	clientDelayMS = 0.05
	// slackTicks is the number of ticks that the checker allows in addition to the tolerances of the rules.
	slackTicks = 2
	// handshakeRoundTrips is the number of round trips of a new connection before its first request leaves.
	handshakeRoundTrips = 1
	// idleReuseShare is the share of a server's idle timeout for which a sidecar reuses a connection, as a real sidecar does.
	idleReuseShare = 0.85

	// A restarted sidecar accepts requests for drainNoticeMS after its SIGTERM and answers them until drainTimeoutMS after
	// the SIGTERM. It starts again startupMS after its exit.
	drainNoticeMS  = 300
	drainTimeoutMS = 3500
	startupMS      = 100

	// excuseAfterMS is how long after a freeze or partition responses may still be late, as the sidecar processes its backlog.
	excuseAfterMS = 500
	// healthCheckWorkMS is the work of a health check at a server.
	healthCheckWorkMS = 0.3
	// discoveryCallMS is the duration of a call for the endpoint list.
	discoveryCallMS = 5
	// afterLoadMS is how long a run may continue after the load, in addition to the time that a server needs to drain.
	afterLoadMS = 5000
	// progressIntervalMS is the interval between two calls of Options.Progress.
	progressIntervalMS = 1000
	// minParallelSidecars is the number of instances from which it is faster to run them in parallel.
	minParallelSidecars = 4
)

// Random number streams of a simulation, separate from those of its plan.
const (
	streamHotKeys = 98
	streamNetwork = 99
)

// Run simulates a plan to its end. If the context is cancelled, it stops early and marks the result as cut short.
func Run(ctx context.Context, plan *lab.Plan, opts Options) (*lab.Result, Stats, error) {
	began := time.Now()
	e := newEngine(plan, opts)
	if err := e.run(ctx); err != nil {
		return nil, Stats{}, err
	}
	result := e.recorder.Result(lab.ModeSimulation, e.opts.Policy, e.checker)
	result.CutShort = ctx.Err() != nil
	if e.hotKeys != nil {
		result.Metrics = e.hotKeys.checker.Metrics()
	}
	return result, Stats{Events: e.events, Elapsed: time.Since(began)}, nil
}

// simEngine is a running simulation.
type simEngine struct {
	plan     *lab.Plan
	opts     Options
	checker  *lab.Checker
	recorder *lab.Recorder
	rng      *rand.Rand // random numbers for the network
	tickMS   float64

	now    float64
	queue  eventQueue
	events int

	servers          []*simServer
	sidecars         []*simSidecar
	byID             map[balance.ServerID]*simServer
	linkFaults       []*lab.Fault // link faults that are active
	discoveryDown    bool
	discoveryDelayMS float64 // additional delay of notifications
	lastRequest      uint64
	lastAttempt      int64
	openRequests     int               // requests of clients that have not ended
	moreArrivals     bool              // the load has not ended yet
	scheduled        []*simSidecar     // instances that run in this tick
	hotKeys          *hotKeySimulation // nil: the experiment has no hot keys
}

func newEngine(plan *lab.Plan, opts Options) *simEngine {
	if opts.Policy == "" {
		opts.Policy = PolicyModule
	}
	if opts.Workers <= 0 {
		opts.Workers = runtime.GOMAXPROCS(0)
	}
	if opts.InstanceFactory == nil {
		opts.InstanceFactory = func(_ int, config balance.Config) (Instance, error) { return NewInstance(opts.Policy, config) }
	}
	e := &simEngine{
		plan: plan, opts: opts, checker: lab.NewChecker(plan, slackTicks*plan.TickMS()), recorder: lab.NewRecorder(plan),
		rng: rand.New(rand.NewPCG(plan.Seed, streamNetwork)), tickMS: plan.TickMS(),
		byID: map[balance.ServerID]*simServer{}, moreArrivals: true,
	}
	effects := lab.NewMemoryEffectStore()
	for i := range plan.Servers {
		server := newServer(e, i, effects)
		e.servers = append(e.servers, server)
		e.byID[server.id] = server
	}
	return e
}

// serverID returns the ID that a real sidecar gives a server, so that real and simulated sidecars rank servers alike.
func serverID(uid string) balance.ServerID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(uid)) // writing to a hash never fails
	return balance.ServerID(hash.Sum64())
}

// run runs the simulation to its end.
func (e *simEngine) run(ctx context.Context) error {
	if err := e.start(); err != nil {
		return err
	}
	end := e.plan.DurationMS + e.plan.DrainDurationMS() + afterLoadMS
	nextProgress := 0.0
	for (e.moreArrivals || e.openRequests > 0) && e.now < end {
		due, pending := e.queue.peek()
		if !pending {
			break
		}
		// Ticks without an event are skipped.
		e.now = max(e.now+e.tickMS, math.Ceil(due/e.tickMS)*e.tickMS)
		if err := e.runTick(); err != nil {
			return err
		}
		if e.opts.Progress != nil && e.now >= nextProgress {
			nextProgress = e.now + progressIntervalMS
			e.opts.Progress(min(1, e.now/e.plan.DurationMS))
		}
		if ctx.Err() != nil {
			break
		}
	}
	e.checker.Finish(e.now)
	return nil
}

// start starts the sidecars and schedules the faults and the first arrival.
func (e *simEngine) start() error {
	if e.plan.Experiment.HotKeys != nil {
		var err error
		if e.hotKeys, err = newHotKeySimulation(e); err != nil {
			return err
		}
	}
	for i := range e.plan.Sidecars {
		sidecar := newSidecar(e, i)
		e.sidecars = append(e.sidecars, sidecar)
		sidecar.start(0)
	}
	if e.hotKeys != nil {
		e.hotKeys.start()
	}
	e.scheduleReplacements()
	for i := range e.plan.Faults {
		e.scheduleFault(&e.plan.Faults[i])
	}
	e.nextArrival(e.plan.Arrivals())
	return nil
}

// nextArrival schedules the next request of the load.
func (e *simEngine) nextArrival(arrivals *lab.Arrivals) {
	arrival, more := arrivals.Next()
	e.moreArrivals = more
	if !more {
		return
	}
	e.openRequests++
	e.schedule(arrival.StartMS, func(now float64) {
		e.nextArrival(arrivals)
		client := &clientRequest{engine: e, Arrival: arrival}
		if arrival.DisconnectAfterMS > 0 {
			e.schedule(arrival.StartMS+arrival.DisconnectAfterMS, client.disconnect)
		}
		client.sendAttempt(now)
	})
}

// schedule schedules an event for a time. An event that is due before the current tick runs within the tick.
func (e *simEngine) schedule(when float64, run func(now float64)) {
	e.queue.push(when, run)
}

// runTick runs the events that are due and then the scheduled instances. It executes their actions in a fixed order.
func (e *simEngine) runTick() error {
	for {
		due, pending := e.queue.peek()
		if !pending || due > e.now {
			break
		}
		e.events++
		e.queue.pop()(due)
	}
	if len(e.scheduled) == 0 {
		return nil
	}
	active := e.scheduled
	e.scheduled = nil
	e.runInstances(active)
	for _, sidecar := range active {
		if sidecar.err != nil {
			return fmt.Errorf("sidecar %d: %w", sidecar.index, sidecar.err)
		}
		sidecar.isScheduled = false
		for i := range sidecar.actions {
			sidecar.execute(&sidecar.actions[i])
		}
		sidecar.actions = sidecar.actions[:0]
	}
	return nil
}

// runInstances has the scheduled instances handle their events, in parallel if there are enough instances. An instance
// changes no state but its own.
func (e *simEngine) runInstances(active []*simSidecar) {
	for _, sidecar := range active {
		e.events += len(sidecar.events)
	}
	workers := min(e.opts.Workers, len(active)/2)
	if len(active) < minParallelSidecars || workers < 2 {
		for _, sidecar := range active {
			sidecar.handleEvents(e.now)
		}
		return
	}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(active)); i = next.Add(1) - 1 {
				active[i].handleEvents(e.now)
			}
		})
	}
	wg.Wait()
}
