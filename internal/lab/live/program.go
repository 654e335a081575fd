package live

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"milldeck/internal/config"
	"milldeck/internal/lab"
)

// ServerFile is the configuration of one model server that runs as a program of its own.
type ServerFile struct {
	Lab    string          `toml:"lab"`     // address of the lab that judges it; "": none, and requests speak for themselves
	Number int             `toml:"number"`  // in the lab's plan
	Zone   int             `toml:"zone"`    // number of its zone
	Pod    int             `toml:"pod"`     // its pod group
	Speed  float64         `toml:"speed"`   // of a core; 0: 1
	ColdMS float64         `toml:"cold_ms"` // until it is warm
	Warm   bool            `toml:"warm"`    // its first life in the lab's run begins warm
	Seed   uint64          `toml:"seed"`
	Probes bool            `toml:"probes"` // it answers probes of sidecars
	Rules  lab.RulesSpec   `toml:"rules"`
	Kind   lab.ServerSpec  `toml:"kind"`
	Class  []lab.ClassSpec `toml:"class"`
}

// LoadServer reads a server's configuration and, where a path is given, what its version does wrong.
func LoadServer(path, harm string) (*ServerFile, *lab.Regression, error) {
	f, h := &ServerFile{Speed: 1}, &lab.Regression{}
	c, err := config.Load(path, f)
	if err != nil {
		return nil, nil, err
	}
	if err := f.check(c); err != nil {
		return nil, nil, err
	}
	var hc *config.File
	if harm != "" {
		if hc, err = config.Load(harm, h); err != nil {
			return nil, nil, err
		}
	}
	var first error
	var names []string
	for _, k := range f.Class {
		names = append(names, k.Name)
	}
	h.Validate("", names, func(key, format string, args ...any) {
		if first == nil && hc != nil {
			first = hc.Errorf(key, format, args...)
		}
	})
	return f, h, first
}

// check holds the figures to what a whole experiment may say.
func (f *ServerFile) check(c *config.File) error {
	f.Kind.Count = lab.Range{Min: 1, Max: 1}
	whole := lab.Experiment{Servers: []lab.ServerSpec{f.Kind}, Classes: f.Class}
	if err := whole.ValidateServer(c); err != nil {
		return err
	}
	f.Kind = whole.Servers[0]
	switch {
	case f.Number < 0 || f.Zone < 0 || f.Pod < 0:
		return c.Errorf("number", "number, zone and pod are from 0 on")
	case !(f.Speed > 0 && f.Speed <= 100):
		return c.Errorf("speed", "%v is not within 0 to 100", f.Speed)
	case !(f.ColdMS >= 0 && f.ColdMS <= 3.6e6):
		return c.Errorf("cold_ms", "%v is not within 0 to 3600000", f.ColdMS)
	case len(f.Class) == 0:
		return c.Errorf("class", "no classes")
	}
	return nil
}

// plan is the lab's plan with this server alone, as number 0.
func (f *ServerFile) plan() *lab.Plan {
	whole := &lab.Experiment{Rules: f.Rules, Servers: []lab.ServerSpec{f.Kind}, Classes: f.Class}
	return &lab.Plan{
		Experiment: whole, Seed: f.Seed,
		Servers: []lab.ServerPlan{{Spec: &whole.Servers[0], Zone: f.Zone, Cell: f.Pod, Speed: f.Speed, SlowStartMS: f.ColdMS}},
		Classes: lab.NewClassPlans(whole.Classes),
	}
}

// Unit is who a server is to its platform.
type Unit struct{ Name, Version string }

const (
	// drainMost bounds how long a server that was told to end answers what it has taken; its platform kills it sooner
	// where its grace is shorter.
	drainMost = 60 * time.Second
	leakEvery = 50 * time.Millisecond
	pageBytes = 4096
)

// errHarm is the end of a version that fails at its start.
var errHarm = errors.New("this version fails at its start")

// ServeServer runs a model server until ctx ends, which drains it, or it dies. It logs "serves" once it listens.
func ServeServer(ctx context.Context, ln net.Listener, u Unit, f *ServerFile, h *lab.Regression) error {
	defer ln.Close()
	if h.FailsAtStart {
		return errHarm
	}
	p, err := newProgram(ctx, u, f, h)
	if err != nil {
		return err
	}
	defer p.end()
	go p.accept(ln)
	if h.LeakMBPerSecond > 0 {
		go p.leak()
	}
	slog.Info("serves", "listen", ln.Addr().String(), "unit", u.Name, "version", u.Version)
	select {
	case err := <-p.died:
		return err
	case <-ctx.Done():
	}
	return p.drain(ln)
}

// program is a server as a process: its front's host.
type program struct {
	unit   Unit
	file   *ServerFile
	harm   *lab.Regression
	front  front
	began  time.Time
	judge  observer
	stores lab.EffectStore
	ending atomic.Bool
	died   chan error
	open   atomic.Int64 // attempts that are not over
	taken  atomic.Int64
	cores  float64

	ctx    context.Context
	cancel context.CancelFunc
}

// observer is who watches a server: the lab that judges it, or nobody.
type observer interface {
	call(id uint64, x exchange) (call, bool)
	count(add func(*lab.Counts))
	ready()
	ends()
	ran(at time.Time, end lab.JobCompletion)
	fell(at time.Time, fall *lab.SlowStartOverload)
	close()
}

func newProgram(ctx context.Context, u Unit, f *ServerFile, h *lab.Regression) (*program, error) {
	p := &program{unit: u, file: f, harm: h, began: time.Now(), died: make(chan error, 1), cores: float64(f.Kind.Cores)}
	p.ctx, p.cancel = context.WithCancel(context.WithoutCancel(ctx))
	plan := f.plan()
	cold := !f.Warm
	if f.Lab == "" {
		p.judge, p.stores = &alone{p: p}, lab.NewMemoryEffectStore()
	} else {
		r, first, err := dialLab(p)
		if err != nil {
			return nil, err
		}
		p.judge, p.stores = r, r
		cold = cold || !first
	}
	p.front = newFront(p, f.Number, &plan.Servers[0], lab.NewServer(plan, 0, p.stores), f.Probes)
	p.front.own = p.own
	p.front.harm = p.befall
	p.front.up = true
	p.front.model.Start(0, cold)
	return p, nil
}

func (p *program) end() {
	p.cancel()
	p.judge.close()
}

func (p *program) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if p.ctx.Err() != nil || p.ending.Load() {
				return
			}
			time.Sleep(time.Millisecond) // out of descriptors: the queue holds them meanwhile
			continue
		}
		go p.front.serve(c, -1)
	}
}

// own answers what is asked of the process itself: the platform's ready check, and what it has seen.
func (p *program) own(path string) (status int, body string, mine bool) {
	switch path {
	case readyPath:
		return p.health(), "", true
	case seenPath:
		p.front.mu.Lock()
		cold := p.front.model.IsWarmingUp(p.now())
		p.front.mu.Unlock()
		return http.StatusOK, fmt.Sprintf("{\"open\":%d,\"taken\":%d,\"cold\":%v}\n", p.open.Load(), p.taken.Load(), cold), true
	}
	return 0, "", false
}

// The paths that a server's process answers beside the wire's.
const (
	readyPath = "/health/ready"
	seenPath  = "/lab/seen"
)

// health answers the platform's ready check. The lab lists the server at its first good answer.
func (p *program) health() int {
	if p.harm.NeverReady || p.ending.Load() {
		return http.StatusServiceUnavailable
	}
	p.judge.ready()
	return http.StatusOK
}

// befall lets the version's harm act on a request.
func (p *program) befall(j *lab.Job) {
	p.front.mu.Lock()
	load := float64(p.front.model.Load()) / p.cores
	p.front.mu.Unlock()
	fails, slower := p.harm.Apply(p.file.Class[j.Class].Name, j.Tenant, load, rand.Float64())
	j.FailImmediately = j.FailImmediately || fails
	j.WorkMS *= slower
}

// leak loses memory as the version does until the platform would kill it.
func (p *program) leak() {
	var lost [][]byte
	most := int(p.harm.LeakLimitMB * 1e6)
	for total := 0; sleep(p.ctx, leakEvery); {
		part := make([]byte, int(p.harm.LeakMBPerSecond*1e6*leakEvery.Seconds()))
		for i := 0; i < len(part); i += pageBytes {
			part[i] = 1 // a page that was never written takes no memory
		}
		lost = append(lost, part)
		if total += len(part); total > most {
			p.die(fmt.Errorf("out of memory: %d MB in %d parts", total/1e6, len(lost)))
			return
		}
	}
}

func (p *program) die(err error) {
	select {
	case p.died <- err:
	default:
	}
}

// drain answers what was taken, and what still comes on connections that are open, until nothing is left.
func (p *program) drain(ln net.Listener) error {
	p.ending.Store(true)
	p.judge.ends()
	if p.harm.LosesAnswers {
		p.front.lose()
		return nil
	}
	ln.Close()
	end := time.Now().Add(drainMost)
	for quiet := 0; quiet < drainQuiet && time.Now().Before(end); quiet++ {
		if p.open.Load() > 0 {
			quiet = 0
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// drainQuiet is for how many looks in a row nothing may be open before it ends: a request that was under way to it when
// it was told to end has come by then.
const drainQuiet = 10

func (p *program) running() context.Context { return p.ctx }

func (p *program) now() float64 { return float64(time.Since(p.began)) / 1e6 }

func (p *program) lateness(float64) {}

func (p *program) count(add func(*lab.Counts)) { p.judge.count(add) }

func (p *program) at(ms float64) time.Time { return p.began.Add(millis(ms)) }

func (p *program) ran(end lab.JobCompletion) { p.judge.ran(p.at(end.At), end) }

func (p *program) fell(now float64, fall *lab.SlowStartOverload) {
	p.judge.fell(p.at(now), fall)
	p.die(errors.New("pushed over while it was cold"))
}

func (p *program) link(int) link { return near{} }

func (p *program) call(id uint64, _ int, x exchange) (call, bool) {
	k, mine := p.judge.call(id, x)
	p.open.Add(1)
	p.taken.Add(1)
	return &counted{call: k, open: &p.open}, mine
}

// counted is an attempt that counts as open until it is over.
type counted struct {
	call
	open *atomic.Int64
}

func (c *counted) over(how string) {
	c.call.over(how)
	c.open.Add(-1)
}

// near is a way that takes no time and loses nothing: that of the platform and of sidecars whose name is not known.
type near struct{}

func (near) arrives(context.Context, bool) bool { return true }

func (near) returns(context.Context) bool { return true }
