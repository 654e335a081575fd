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
	// slackMS is what PROTOCOL adds to each time limit on sockets.
	slackMS       = 50
	readyWait     = 15 * time.Second
	readyPoll     = 10 * time.Millisecond
	killAfter     = 5 * time.Second // after SIGTERM: PROTOCOL's 3.7 s, and some for a busy machine
	rememberAsked = 35 * time.Second
	// beatEvery is how often the lab looks whether its own machine is late, and lateBeat from when on it is.
	beatEvery = 5 * time.Millisecond
	lateBeat  = 20 * time.Millisecond
	// descriptors each process needs beside its connections.
	spareDescriptors = 512
)

// Options say how a plan is played.
type Options struct {
	Sidecar  string // the program; it is started once for each sidecar
	Milldeck string // the operators' program, for the list service and its agents
	Dir      string // for configurations and logs
	Progress func(Progress)
}

// Progress is how far a run has come.
type Progress struct {
	Done     float64 // of the load, 0 to 1
	AtS      float64
	Requests int
	Served   float64 // share of the worth so far
	Faults   []string
}

// Run plays a plan. When ctx ends early, children are ended and the result so far is returned, marked as cut.
func Run(ctx context.Context, p *lab.Plan, opts Options) (*lab.Result, error) {
	f, err := newFleet(ctx, p, opts)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	f.zero.Store(int64(time.Since(f.made)))
	r := f.play(ctx)
	return r, f.control.failed()
}

// fleet is all that takes part in a run.
type fleet struct {
	plan    *lab.Plan
	opts    Options
	judge   *lab.Checker
	measure *lab.Recorder
	stores  *lab.MemoryEffectStore
	addrs   addresses
	net     *network

	ctx    context.Context // ends with the run
	cancel context.CancelFunc
	made   time.Time
	zero   atomic.Int64 // ns from made to the run's time 0, when all sidecars are ready

	registry *listService // nil: discovery is the lab's stand-in
	control  *control     // nil: there is no control plane
	servers  []*server
	agents   []*agent
	nodes    []*node
	clients  sync.WaitGroup
	restarts sync.WaitGroup // of sidecars
	open     atomic.Int64
	lastID   atomic.Uint64
	attempts atomic.Int64
	asked    sync.Map // request id -> *asked

	peers *relay // nil: sidecars may not tell each other anything

	listMu        sync.Mutex
	rev           int64
	listed        map[int]string
	discoveryLate float64 // ms
	discoveryDown atomic.Bool
}

func newFleet(ctx context.Context, p *lab.Plan, opts Options) (*fleet, error) {
	if err := descriptors(p); err != nil {
		return nil, err
	}
	block, err := proc.TakeBlock()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		plan: p, opts: opts, judge: lab.NewChecker(p, slackMS), measure: lab.NewRecorder(p), stores: lab.NewMemoryEffectStore(),
		addrs: addresses{block}, net: newNetwork(), listed: map[int]string{}, rev: 1,
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.made = time.Now()
	if p.Experiment.Discovery.Source == "registry" {
		f.registry = &listService{f: f}
	}
	if p.Experiment.HasControlPlane() {
		f.control = newControl(f)
	}
	for i := range p.Servers {
		f.servers = append(f.servers, f.newServer(i))
	}
	for i := range p.Sidecars {
		f.agents = append(f.agents, newAgent(f, i))
		f.nodes = append(f.nodes, f.newNode(i))
	}
	if p.Experiment.Limits.AllowGossip {
		f.peers = newRelay(f)
	}
	return f, nil
}

// descriptors refuses a plan whose sockets this process may not hold.
func descriptors(p *lab.Plan) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	listeners := len(p.Servers)*len(p.Sidecars) + 3*len(p.Sidecars)
	// Beside its listener each pair of a sidecar and a server holds a few connections.
	if need := uint64(3*listeners + spareDescriptors); need > limit.Cur {
		return fmt.Errorf("%d sidecars and %d servers need about %d descriptors, the limit is %d: play it with lab sim",
			len(p.Sidecars), len(p.Servers), need, limit.Cur)
	}
	return nil
}

// ms is a time in the run's own ms.
func (f *fleet) ms(t time.Time) float64 {
	return float64(t.Sub(f.made)-time.Duration(f.zero.Load())) / 1e6
}

func (f *fleet) now() float64 { return f.ms(time.Now()) }

func (f *fleet) at(ms float64) time.Time {
	return f.made.Add(time.Duration(f.zero.Load()) + millis(ms))
}

// unix is a time of the run in Unix ms, as boot_ms has it.
func (f *fleet) unix(ms float64) float64 { return math.Round(float64(f.at(ms).UnixMicro()) / 1000) }

func (f *fleet) nextID() uint64 { return f.lastID.Add(1) }

// isRepeat tells whether a request had an attempt before this one.
func (f *fleet) isRepeat(id uint64) bool {
	v, known := f.asked.Load(id)
	return known && v.(*asked).attempts.Add(1) > 1
}

// start brings up servers, discovery and sidecars; the run's time begins once all are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, s := range f.servers {
		if s.plan.StartMS > 0 || f.control != nil {
			continue // a platform starts it
		}
		if err := s.start(0, false); err != nil {
			return err
		}
		f.listed[s.n] = ready
		for i, a := range f.agents {
			a.entries[s.n] = f.entry(s, i, ready)
			a.boots[s.n] = 0
		}
	}
	if f.control != nil {
		return f.control.start(ctx)
	}
	if f.registry != nil {
		if err := f.registry.start(ctx); err != nil {
			return err
		}
	} else {
		for _, a := range f.agents {
			if err := a.open(); err != nil {
				return err
			}
			go a.receive()
		}
	}
	if f.peers != nil {
		if err := f.peers.open(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// play runs load and faults to the end.
func (f *fleet) play(ctx context.Context) *lab.Result {
	load, stop := context.WithCancel(ctx)
	defer stop()
	var around sync.WaitGroup
	around.Go(func() { f.beat(load) })
	around.Go(func() { f.report(load) })
	around.Go(func() { f.inject(load) })
	if f.control != nil {
		f.control.onTrouble(load, stop)
		around.Go(func() { f.control.steps(load) })
	}
	f.load(load)
	f.settle(ctx)
	stop()
	if f.control != nil {
		f.control.finish()
	}
	around.Wait()
	f.restarts.Wait()
	f.stopNodes()
	f.cancel()
	f.clients.Wait()
	f.judge.Finish(f.now())
	r := f.measure.Result("run", "module", f.judge)
	r.CutShort = ctx.Err() != nil
	if f.control != nil {
		r.Metrics = f.control.judge.Metrics()
	}
	return r
}

// settle waits for what is open after the last request.
func (f *fleet) settle(ctx context.Context) {
	longest := 0.0
	for i := range f.plan.Classes {
		longest = max(longest, f.plan.Classes[i].DeadlineMS)
	}
	end := time.Now().Add(millis(longest) + 2*answerWait)
	for f.open.Load() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(readyPoll)
	}
}

// beat watches for the lab's own machine being late, of which no sidecar is to blame.
func (f *fleet) beat(ctx context.Context) {
	for {
		due := time.Now().Add(beatEvery)
		if !sleep(ctx, beatEvery) {
			return
		}
		if late := time.Since(due); late > lateBeat {
			f.judge.ExcuseAll(f.ms(due), f.now()+slackMS)
		}
	}
}

// report tells of the progress every second.
func (f *fleet) report(ctx context.Context) {
	if f.opts.Progress == nil {
		return
	}
	for sleep(ctx, time.Second) {
		now := f.now()
		requests, served := f.measure.Progress()
		p := Progress{Done: min(1, now/f.plan.DurationMS), AtS: now / 1000, Requests: requests, Served: served}
		for i := range f.plan.Faults {
			if ft := &f.plan.Faults[i]; now >= ft.StartMS && now < ft.EndMS {
				p.Faults = append(p.Faults, ft.Label)
			}
		}
		f.opts.Progress(p)
	}
}

// stopNodes ends the sidecars in good order.
func (f *fleet) stopNodes() {
	if f.control != nil {
		f.control.stop()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), killAfter)
	defer cancel()
	var all sync.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() {
			n.app.close()
			if err := n.stop(ctx); err != nil {
				f.judge.SidecarCrashed(f.now(), n.n, err.Error())
			}
		})
	}
	all.Wait()
}

// close ends whatever is left.
func (f *fleet) close() {
	f.cancel()
	if f.control != nil {
		f.control.close()
	}
	for _, n := range f.nodes {
		n.app.close()
		n.mu.Lock()
		if n.proc != nil {
			n.told.Store(true)
			n.proc.Kill()
		}
		n.mu.Unlock()
	}
	for _, a := range f.agents {
		a.close()
	}
	if f.registry != nil {
		f.registry.close()
	}
	for _, s := range f.servers {
		if f.control == nil {
			s.die()
		}
	}
	if f.peers != nil {
		f.peers.close()
	}
	f.addrs.Release()
}
