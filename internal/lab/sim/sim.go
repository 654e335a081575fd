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
	New func(n int, cfg balance.Config) (Instance, error)
}

// Stats say what a run cost; they are no part of its result.
type Stats struct {
	Events  int // of instances and of the world around them
	Elapsed time.Duration
}

const (
	// clientDelay is between an application and its sidecar on the same machine, in ms.
	clientDelay = 0.05
	// slack is what the judge allows in ms beside the rules' own: two ticks.
	slackTicks = 2
	// handshakeTrips are the round trips of a new connection before its first request leaves.
	handshakeTrips = 1
	// idlePart of a server's idle time is how long a sidecar uses a connection again, as the real one does.
	idlePart = 0.85
	// A restarted sidecar takes requests for takes ms after its SIGTERM, answers what it took for at most
	// drains ms, and is back after starts ms: PROTOCOL's figures and a start of a lean program.
	takes, drains, starts = 300, 3500, 100
	// excuseAfter is how long in ms after a freeze answers may still be late: what waited is worked off.
	excuseAfter = 500
	// probeWork is the work of a probe in ms.
	probeWork = 0.3
	// discoveryTrip is how long in ms a call for the list takes.
	discoveryTrip = 5
)

// Run plays a plan to its end.
func Run(ctx context.Context, p *lab.Plan, opts Options) (*lab.Result, Stats, error) {
	began := time.Now()
	e := newEngine(p, opts)
	if err := e.play(ctx); err != nil {
		return nil, Stats{}, err
	}
	r := e.measure.Result("sim", e.opts.Policy, e.judge)
	r.Cut = ctx.Err() != nil
	if e.spread != nil {
		r.Figures = e.spread.judge.Figures()
	}
	return r, Stats{Events: e.events, Elapsed: time.Since(began)}, nil
}

type engine struct {
	plan    *lab.Plan
	opts    Options
	judge   *lab.Judge
	measure *lab.Measure
	rng     *rand.Rand // of the network; drawn from in one order
	tick    float64

	now    float64
	queue  eventQueue
	events int

	hosts   []*host
	nodes   []*node
	byID    map[balance.ServerID]*host
	links   []*lab.Fault // of links, those in force
	down    bool         // discovery tells nothing
	late    float64      // ms by which it tells all later
	lastID  uint64
	lastAtt int64
	open    int // requests whose client still waits
	more    bool
	active  []*node
	failure error
	spread  *spreader // nil: the experiment is not about hot keys
}

func newEngine(p *lab.Plan, opts Options) *engine {
	if opts.Policy == "" {
		opts.Policy = Module
	}
	if opts.Workers <= 0 {
		opts.Workers = runtime.GOMAXPROCS(0)
	}
	if opts.New == nil {
		opts.New = func(_ int, cfg balance.Config) (Instance, error) { return New(opts.Policy, cfg) }
	}
	e := &engine{
		plan: p, opts: opts, judge: lab.NewJudge(p, slackTicks*p.Quantum()), measure: lab.NewMeasure(p),
		rng: rand.New(rand.NewPCG(p.Seed, 99)), tick: p.Quantum(), byID: map[balance.ServerID]*host{}, more: true,
	}
	stores := lab.NewStores()
	for i := range p.Servers {
		h := &host{e: e, n: i, plan: &p.Servers[i], model: lab.NewServer(p, i, stores), id: serverID(p.Servers[i].UID), out: map[int64]*attempt{}}
		h.up = h.plan.Born == 0
		h.listed = h.up
		e.hosts = append(e.hosts, h)
		e.byID[h.id] = h
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
	if e.plan.File.Spread != nil {
		var err error
		if e.spread, err = newSpreader(e); err != nil {
			return err
		}
	}
	for i := range e.plan.Sidecars {
		n := &node{e: e, n: i, plan: &e.plan.Sidecars[i], view: map[int]seen{}, tries: map[uint64]*try{}, idle: map[int][]float64{}}
		e.nodes = append(e.nodes, n)
		for _, h := range e.hosts {
			if h.listed {
				n.view[h.n] = seen{}
			}
		}
		n.start(0)
	}
	if e.spread != nil {
		e.spread.begin()
	}
	e.scheduleRolls()
	for i := range e.plan.Faults {
		e.scheduleFault(&e.plan.Faults[i])
	}
	arrivals := e.plan.Arrivals()
	e.nextArrival(arrivals)
	end := e.plan.Duration + e.plan.GoneAfter() + 5000
	progress := 0.0
	for (e.more || e.open > 0) && e.now < end {
		at, any := e.queue.peek()
		if !any {
			break
		}
		// Ticks without any event are skipped.
		e.now = max(e.now+e.tick, math.Ceil(at/e.tick)*e.tick)
		if err := e.step(); err != nil {
			return err
		}
		if e.opts.Progress != nil && e.now >= progress {
			progress = e.now + 1000
			e.opts.Progress(min(1, e.now/e.plan.Duration))
		}
		if ctx.Err() != nil {
			break
		}
	}
	e.judge.Finish(e.now)
	return nil
}

func (e *engine) nextArrival(from *lab.Arrivals) {
	a, more := from.Next()
	if e.more = more; !more {
		return
	}
	e.open++
	e.at(a.At, func(now float64) {
		e.nextArrival(from)
		c := &client{e: e, Arrival: a}
		if a.Leaves > 0 {
			e.at(a.At+a.Leaves, func(now float64) { c.leave(now) })
		}
		c.begin(now)
	})
}

// at has the world do something at a time; what was due before the current tick happens within it.
func (e *engine) at(when float64, do func(now float64)) {
	e.queue.push(when, do)
}

// step is one tick.
func (e *engine) step() error {
	for {
		at, any := e.queue.peek()
		if !any || at > e.now {
			break
		}
		e.events++
		e.queue.pop()(at)
	}
	if len(e.active) == 0 {
		return nil
	}
	active := e.active
	e.active = nil
	e.run(active)
	for _, n := range active {
		if n.err != nil {
			return fmt.Errorf("sidecar %d: %w", n.n, n.err)
		}
		n.busy = false
		for i := range n.acts {
			n.act(&n.acts[i])
		}
		n.acts = n.acts[:0]
	}
	return nil
}

// fewActive instances are run in place: handing them over would cost more.
const fewActive = 4

// run has the instances handle what came for them. Nothing but their own state is touched.
func (e *engine) run(active []*node) {
	for _, n := range active {
		e.events += len(n.inbox)
	}
	workers := min(e.opts.Workers, len(active)/2)
	if len(active) < fewActive || workers < 2 {
		for _, n := range active {
			n.handle(e.now)
		}
		return
	}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(active)); i = next.Add(1) - 1 {
				active[i].handle(e.now)
			}
		})
	}
	wg.Wait()
}

// delay is how long something takes between a sidecar and a server, one way; false: it does not arrive.
func (e *engine) delay(n *node, h *host, there bool) (float64, bool) {
	d := h.plan.Delay[n.plan.Zone]
	d *= 1 + e.plan.File.Network.Jitter*(2*e.rng.Float64()-1)
	from, to := lab.End{Kind: lab.SidecarEnd, N: n.n}, lab.End{Kind: lab.ServerEnd, N: h.n}
	if !there {
		from, to = to, from
	}
	more, passes := e.link(from, to)
	return d + more, passes
}

// link is what the faults in force add to the way from one end to another; false: nothing passes.
func (e *engine) link(from, to lab.End) (float64, bool) {
	more := 0.0
	for _, f := range e.links {
		if !f.Hits(from, to) {
			continue
		}
		switch f.Kind {
		case lab.Cut:
			return 0, false
		case lab.Loss:
			if e.rng.Float64() < f.Part {
				return 0, false
			}
		case lab.Delay:
			more += f.MS
		}
	}
	return more, true
}

// isCut tells whether nothing at all passes from one end to another now.
func (e *engine) isCut(from, to lab.End) bool {
	for _, f := range e.links {
		if f.Kind == lab.Cut && f.Hits(from, to) {
			return true
		}
	}
	return false
}
