// Package sim plays a lab plan on a virtual clock: many instances of the decision module, the model of the
// servers, clients and a network, without sockets. The same plan gives the same result to the byte, whatever the
// number of workers: within one tick instances run beside each other, since they share nothing, and all else
// happens in one order.
package sim

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// Options say how a plan is played.
type Options struct {
	Policy   string // one of Policies; "" is the module
	Workers  int    // instances that run at a time; 0: one for each core. It does not change the result
	Progress func(done float64)

	// New makes a sidecar's instance in place of Policy's; for tests that plant faults.
	NewInstance func(n int, cfg balance.Config) (Instance, error)
}

// Stats say what a run cost; they are no part of its result.
type Stats struct {
	Events  int // of instances and of the world around them
	Elapsed time.Duration
}

const (
	// clientDelayMS is between an application and its sidecar on the same machine, in ms.
	clientDelayMS = 0.05
	// slack is what the judge allows in ms beside the rules' own: two ticks.
	slackTicks = 2
	// handshakeTrips are the round trips of a new connection before its first request leaves.
	handshakeTrips = 1
	// idleReuseShare of a server's idle time is how long a sidecar uses a connection again, as the real one does.
	idleReuseShare = 0.85
	// A restarted sidecar takes requests for takes ms after its SIGTERM, answers what it took for at most
	// drains ms, and is back after starts ms: PROTOCOL's figures and a start of a lean program.
	drainNoticeMS, drainTimeoutMS, startupMS = 300, 3500, 100
	// excuseAfterMS is how long in ms after a freeze answers may still be late: what waited is worked off.
	excuseAfterMS = 500
	// healthCheckWorkMS is the work of a probe in ms.
	healthCheckWorkMS = 0.3
	// discoveryCallMS is how long in ms a call for the list takes.
	discoveryCallMS = 5
)

// Run plays a plan to its end.
func Run(ctx context.Context, plan *lab.Plan, opts Options) (*lab.Result, Stats, error) {
	began := time.Now()
	engine := newEngine(plan, opts)
	if err := engine.play(ctx); err != nil {
		return nil, Stats{}, err
	}
	result := engine.recorder.Result("sim", engine.opts.Policy, engine.checker)
	result.CutShort = ctx.Err() != nil
	if engine.hotKeys != nil {
		result.Metrics = engine.hotKeys.checker.Metrics()
	}
	return result, Stats{Events: engine.events, Elapsed: time.Since(began)}, nil
}

type engine struct {
	plan     *lab.Plan
	opts     Options
	checker  *lab.Checker
	recorder *lab.Recorder
	rng      *rand.Rand // of the network; drawn from in one order
	tickMS   float64

	now    float64
	queue  eventQueue
	events int

	servers          []*simServer
	sidecars         []*simSidecar
	byID             map[balance.ServerID]*simServer
	linkFaults       []*lab.Fault // of links, those in force
	discoveryDown    bool         // discovery tells nothing
	discoveryDelayMS float64      // ms by which it tells all later
	lastRequest      uint64
	lastAttempt      int64
	openRequests     int // requests whose client still waits
	moreArrivals     bool
	scheduled        []*simSidecar
	failure          error
	hotKeys          *hotKeyController // nil: the experiment is not about hot keys
}

func newEngine(plan *lab.Plan, opts Options) *engine {
	if opts.Policy == "" {
		opts.Policy = Module
	}
	if opts.Workers <= 0 {
		opts.Workers = runtime.GOMAXPROCS(0)
	}
	if opts.NewInstance == nil {
		opts.NewInstance = func(_ int, cfg balance.Config) (Instance, error) { return New(opts.Policy, cfg) }
	}
	e := &engine{
		plan: plan, opts: opts, checker: lab.NewChecker(plan, slackTicks*plan.TickMS()), recorder: lab.NewRecorder(plan),
		rng: rand.New(rand.NewPCG(plan.Seed, 99)), tickMS: plan.TickMS(), byID: map[balance.ServerID]*simServer{}, moreArrivals: true,
	}
	stores := lab.NewMemoryEffectStore()
	for i := range plan.Servers {
		server := &simServer{engine: e, index: i, plan: &plan.Servers[i], model: lab.NewServer(plan, i, stores), id: serverID(plan.Servers[i].UID), inFlight: map[int64]*attempt{}}
		server.up = server.plan.StartMS == 0
		server.listed = server.up
		e.servers = append(e.servers, server)
		e.byID[server.id] = server
	}
	return e
}

// serverID is the number that a real sidecar gives a server, so that both modes rank servers alike.
func serverID(uid string) balance.ServerID {
	h := fnv.New64a()
	io.WriteString(h, uid)
	return balance.ServerID(h.Sum64())
}

// play runs the events of the world and, tick by tick, the instances that have any.
func (e *engine) play(ctx context.Context) error {
	if e.plan.Experiment.HotKeys != nil {
		var err error
		if e.hotKeys, err = newHotKeyController(e); err != nil {
			return err
		}
	}
	for i := range e.plan.Sidecars {
		sidecar := &simSidecar{engine: e, index: i, plan: &e.plan.Sidecars[i], endpoints: map[int]endpointView{}, requests: map[uint64]*request{}, idleConnections: map[int][]float64{}}
		e.sidecars = append(e.sidecars, sidecar)
		for _, server := range e.servers {
			if server.listed {
				sidecar.endpoints[server.index] = endpointView{}
			}
		}
		sidecar.start(0)
	}
	if e.hotKeys != nil {
		e.hotKeys.start()
	}
	e.scheduleRolls()
	for i := range e.plan.Faults {
		e.scheduleFault(&e.plan.Faults[i])
	}
	arrivals := e.plan.Arrivals()
	e.nextArrival(arrivals)
	end := e.plan.DurationMS + e.plan.DrainDurationMS() + 5000
	progress := 0.0
	for (e.moreArrivals || e.openRequests > 0) && e.now < end {
		at, any := e.queue.peek()
		if !any {
			break
		}
		// Ticks without any event are skipped.
		e.now = max(e.now+e.tickMS, math.Ceil(at/e.tickMS)*e.tickMS)
		if err := e.runTick(); err != nil {
			return err
		}
		if e.opts.Progress != nil && e.now >= progress {
			progress = e.now + 1000
			e.opts.Progress(min(1, e.now/e.plan.DurationMS))
		}
		if ctx.Err() != nil {
			break
		}
	}
	e.checker.Finish(e.now)
	return nil
}

func (e *engine) nextArrival(arrivals *lab.Arrivals) {
	arrival, more := arrivals.Next()
	if e.moreArrivals = more; !more {
		return
	}
	e.openRequests++
	e.schedule(arrival.StartMS, func(now float64) {
		e.nextArrival(arrivals)
		c := &client{engine: e, Arrival: arrival}
		if arrival.DisconnectAfterMS > 0 {
			e.schedule(arrival.StartMS+arrival.DisconnectAfterMS, func(now float64) { c.disconnect(now) })
		}
		c.sendAttempt(now)
	})
}

// schedule has the world do something at a time; what was due before the current tick happens within it.
func (e *engine) schedule(when float64, run func(now float64)) {
	e.queue.push(when, run)
}

// runTick is one tick.
func (e *engine) runTick() error {
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
	e.handleEvents(active)
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

// minParallelSidecars instances are run in place: handing them over would cost more.
const minParallelSidecars = 4

// handleEvents has the instances handle what came for them. Nothing but their own state is touched.
func (e *engine) handleEvents(active []*simSidecar) {
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

// networkDelay is how long something takes between a sidecar and a server, one way; false: it does not arrive.
func (e *engine) networkDelay(sidecar *simSidecar, server *simServer, toServer bool) (float64, bool) {
	delay := server.plan.DelayByZone[sidecar.plan.Zone]
	delay *= 1 + e.plan.Experiment.Network.Jitter*(2*e.rng.Float64()-1)
	from, to := lab.Endpoint{Kind: lab.SidecarEndpoint, Index: sidecar.index}, lab.Endpoint{Kind: lab.ServerEndpoint, Index: server.index}
	if !toServer {
		from, to = to, from
	}
	extra, passes := e.linkDelay(from, to)
	return delay + extra, passes
}

// linkDelay is what the faults in force add to the way from one end to another; false: nothing passes.
func (e *engine) linkDelay(from, to lab.Endpoint) (float64, bool) {
	extra := 0.0
	for _, fault := range e.linkFaults {
		if !fault.Affects(from, to) {
			continue
		}
		switch fault.Kind {
		case lab.FaultPartition:
			return 0, false
		case lab.FaultPacketLoss:
			if e.rng.Float64() < fault.Probability {
				return 0, false
			}
		case lab.FaultDelay:
			extra += fault.DelayMS
		}
	}
	return extra, true
}

// isPartitioned tells whether nothing at all passes from one end to another now.
func (e *engine) isPartitioned(from, to lab.Endpoint) bool {
	for _, fault := range e.linkFaults {
		if fault.Kind == lab.FaultPartition && fault.Affects(from, to) {
			return true
		}
	}
	return false
}
