package live

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"milldeck/internal/config"
	"milldeck/internal/lab"
	"milldeck/internal/readiness"
)

// ServerConfig is the configuration of one modelled server that runs as a process of its own (milldeck lab server).
type ServerConfig struct {
	LabAddress   string          `toml:"lab"`     // address of the observing lab; "": no lab, request headers describe the job
	Number       int             `toml:"number"`  // in the lab's plan, from 0
	Zone         int             `toml:"zone"`    // number of the zone
	PodGroup     int             `toml:"pod"`     // number of the pod group
	Speed        float64         `toml:"speed"`   // speed of a core, relative to a standard core; 1 by default
	SlowStartMS  float64         `toml:"cold_ms"` // duration of the slow start
	StartsWarm   bool            `toml:"warm"`    // the first incarnation in the lab's run starts warm
	Seed         uint64          `toml:"seed"`
	HealthChecks bool            `toml:"probes"` // the server answers the sidecars' health checks
	Rules        lab.RulesSpec   `toml:"rules"`
	Kind         lab.ServerSpec  `toml:"kind"`
	Classes      []lab.ClassSpec `toml:"class"`
}

// LoadServerConfig reads a server's configuration and, if regressionPath is not empty, the regression of its version.
// Errors name the file, the line and the key.
func LoadServerConfig(path, regressionPath string) (*ServerConfig, *lab.Regression, error) {
	server, regression := &ServerConfig{Speed: 1}, &lab.Regression{}
	serverFile, err := config.Load(path, server)
	if err != nil {
		return nil, nil, err
	}
	if err := server.validate(serverFile); err != nil {
		return nil, nil, err
	}
	var regressionFile *config.File
	if regressionPath != "" {
		if regressionFile, err = config.Load(regressionPath, regression); err != nil {
			return nil, nil, err
		}
	}
	var first error
	var classNames []string
	for _, class := range server.Classes {
		classNames = append(classNames, class.Name)
	}
	regression.Validate("", classNames, func(key, format string, args ...any) {
		if first == nil && regressionFile != nil {
			first = regressionFile.Errorf(key, format, args...)
		}
	})
	return server, regression, first
}

// validate checks the configuration against the limits of a complete experiment.
func (c *ServerConfig) validate(file *config.File) error {
	c.Kind.Count = lab.Range{Min: 1, Max: 1}
	experiment := lab.Experiment{Servers: []lab.ServerSpec{c.Kind}, Classes: c.Classes}
	if err := experiment.ValidateServer(file); err != nil {
		return err
	}
	c.Kind = experiment.Servers[0]
	switch {
	case c.Number < 0 || c.Zone < 0 || c.PodGroup < 0:
		return file.Errorf("number", "number, zone and pod must not be negative")
	case !(c.Speed > 0 && c.Speed <= 100):
		return file.Errorf("speed", "%v is not within 0 to 100", c.Speed)
	case !(c.SlowStartMS >= 0 && c.SlowStartMS <= 3.6e6):
		return file.Errorf("cold_ms", "%v is not within 0 to 3600000", c.SlowStartMS)
	case len(c.Classes) == 0:
		return file.Errorf("class", "no classes")
	}
	return nil
}

// plan returns a plan whose only server is this one, as number 0.
func (c *ServerConfig) plan() *lab.Plan {
	experiment := &lab.Experiment{Rules: c.Rules, Servers: []lab.ServerSpec{c.Kind}, Classes: c.Classes}
	return &lab.Plan{
		Experiment: experiment, Seed: c.Seed,
		Servers: []lab.ServerPlan{{
			Spec: &experiment.Servers[0], Zone: c.Zone, Cell: c.PodGroup, Speed: c.Speed, SlowStartMS: c.SlowStartMS,
		}},
		Classes: lab.NewClassPlans(experiment.Classes),
	}
}

// Unit identifies a server to its supervisor.
type Unit struct{ Name, Version string }

const (
	// maxDrainDuration bounds the graceful shutdown. A supervisor with a shorter grace period kills the process earlier.
	maxDrainDuration = 60 * time.Second
	leakInterval     = 50 * time.Millisecond
	pageSize         = 4096
)

// errFailsAtStart is returned for a version whose regression is to fail at its start.
var errFailsAtStart = errors.New("this version fails at its start")

// ServeServer runs a modelled server. When ctx ends, it drains and returns nil. If the server fails, by its version's
// regression or by an overload, it returns the error. It closes the listener. Once it accepts connections it
// logs the line of readiness.LogListening, for which tests wait.
func ServeServer(ctx context.Context, listener net.Listener, unit Unit, config *ServerConfig, regression *lab.Regression) error {
	defer listener.Close()
	if regression.FailsAtStart {
		return errFailsAtStart
	}
	process, err := newServerProcess(ctx, unit, config, regression)
	if err != nil {
		return err
	}
	defer process.close()
	go process.acceptLoop(listener)
	if regression.LeakMBPerSecond > 0 {
		go process.leakMemory()
	}
	readiness.LogListening(listener.Addr().String(), "unit", unit.Name, "version", unit.Version)
	select {
	case err := <-process.failure:
		return err
	case <-ctx.Done():
	}
	return process.drain(listener)
}

// serverProcess is a server that runs as a process of its own. It is the host of its frontend.
type serverProcess struct {
	unit             Unit
	config           *ServerConfig
	regression       *lab.Regression
	frontend         frontend
	startedAt        time.Time
	observer         observer
	effects          lab.EffectStore
	terminating      atomic.Bool
	failure          chan error
	openAttempts     atomic.Int64 // attempts that were received and have not ended
	receivedAttempts atomic.Int64
	cores            float64

	ctx    context.Context
	cancel context.CancelFunc
}

// observer receives the reports of a server process: labClient sends them to the lab, standaloneObserver drops them.
type observer interface {
	beginAttempt(requestID uint64, received receivedRequest) (serverAttempt, bool)
	addCounts(apply func(*lab.Counts))
	reportReady()
	reportTerminating()
	jobCompleted(at time.Time, completion lab.JobCompletion)
	overloaded(at time.Time, overload *lab.SlowStartOverload)
	close()
}

// newServerProcess returns a server that is ready to accept connections. The end of ctx does not cancel its work, because
// the process drains first.
func newServerProcess(ctx context.Context, unit Unit, config *ServerConfig, regression *lab.Regression) (*serverProcess, error) {
	process := &serverProcess{
		unit: unit, config: config, regression: regression, startedAt: time.Now(),
		failure: make(chan error, 1), cores: float64(config.Kind.Cores),
	}
	process.ctx, process.cancel = context.WithCancel(context.WithoutCancel(ctx))
	plan := config.plan()
	slowStart := !config.StartsWarm
	if config.LabAddress == "" {
		process.observer, process.effects = &standaloneObserver{process: process}, lab.NewMemoryEffectStore()
	} else {
		client, firstIncarnation, err := dialLab(process)
		if err != nil {
			return nil, err
		}
		process.observer, process.effects = client, client
		slowStart = slowStart || !firstIncarnation
	}
	model := lab.NewServer(plan, 0, process.effects)
	process.frontend = newFrontend(process, config.Number, &plan.Servers[0], model, config.HealthChecks)
	process.frontend.processEndpoint = process.processEndpoint
	process.frontend.applyRegression = process.applyRegression
	process.frontend.up = true
	process.frontend.model.Start(0, slowStart)
	return process, nil
}

func (p *serverProcess) close() {
	p.cancel()
	p.observer.close()
}

// acceptLoop accepts connections until the process terminates.
func (p *serverProcess) acceptLoop(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			if p.ctx.Err() != nil || p.terminating.Load() {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go p.frontend.serveConnection(connection, -1)
	}
}

// processEndpoint answers requests to the process itself: the supervisor's readiness check and queries of the status.
func (p *serverProcess) processEndpoint(path string) (status int, body string, ok bool) {
	switch path {
	case readyPath:
		return p.readiness(), "", true
	case statusPath:
		p.frontend.mu.Lock()
		warmingUp := p.frontend.model.IsWarmingUp(p.now())
		p.frontend.mu.Unlock()
		body := fmt.Sprintf("{\"open\":%d,\"taken\":%d,\"cold\":%v}\n",
			p.openAttempts.Load(), p.receivedAttempts.Load(), warmingUp)
		return http.StatusOK, body, true
	}
	return 0, "", false
}

// The paths that a server's process answers in addition to those of the platform's protocol.
const (
	readyPath  = "/health/ready"
	statusPath = "/lab/seen"
)

// readiness returns the HTTP status of the supervisor's readiness check. The lab publishes the server at the first
// success.
func (p *serverProcess) readiness() int {
	if p.regression.NeverReady || p.terminating.Load() {
		return http.StatusServiceUnavailable
	}
	p.observer.reportReady()
	return http.StatusOK
}

// applyRegression applies the version's regression to a job.
func (p *serverProcess) applyRegression(job *lab.Job) {
	p.frontend.mu.Lock()
	load := float64(p.frontend.model.Load()) / p.cores
	p.frontend.mu.Unlock()
	fail, slowdown := p.regression.Apply(p.config.Classes[job.Class].Name, job.Tenant, load, rand.Float64())
	job.FailImmediately = job.FailImmediately || fail
	job.WorkMS *= slowdown
}

// leakMemory leaks memory at the rate of the version's regression. It ends the process with an error at the limit at which
// a supervisor would kill the process.
func (p *serverProcess) leakMemory() {
	var leaked [][]byte
	limit := int(p.regression.LeakLimitMB * 1e6)
	for total := 0; sleep(p.ctx, leakInterval); {
		chunk := make([]byte, int(p.regression.LeakMBPerSecond*1e6*leakInterval.Seconds()))
		for i := 0; i < len(chunk); i += pageSize {
			chunk[i] = 1 // the kernel allocates a page when it is first written
		}
		leaked = append(leaked, chunk)
		if total += len(chunk); total > limit {
			p.fail(fmt.Errorf("out of memory: %d MB in %d parts", total/1e6, len(leaked)))
			return
		}
	}
}

// fail ends the process with an error. Later errors are ignored.
func (p *serverProcess) fail(err error) {
	select {
	case p.failure <- err:
	default:
	}
}

// drain shuts down gracefully: it answers the requests in flight, and those that still arrive on open connections, until
// no request has been in flight for drainIdlePolls polls.
func (p *serverProcess) drain(listener net.Listener) error {
	p.terminating.Store(true)
	p.observer.reportTerminating()
	if p.regression.ExitsWithoutDraining {
		p.frontend.resetConnections()
		return nil
	}
	listener.Close()
	deadline := time.Now().Add(maxDrainDuration)
	for idlePolls := 0; idlePolls < drainIdlePolls && time.Now().Before(deadline); idlePolls++ {
		if p.openAttempts.Load() > 0 {
			idlePolls = 0
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// drainIdlePolls is the number of consecutive polls without a request in flight after which the process exits. A request
// that was on the network when the process was requested to terminate has arrived by then.
const drainIdlePolls = 10

func (p *serverProcess) runContext() context.Context { return p.ctx }

func (p *serverProcess) now() float64 { return float64(time.Since(p.startedAt)) / 1e6 }

func (p *serverProcess) recordLateness(float64) {}

func (p *serverProcess) addCounts(apply func(*lab.Counts)) { p.observer.addCounts(apply) }

func (p *serverProcess) timeAt(ms float64) time.Time { return p.startedAt.Add(milliseconds(ms)) }

func (p *serverProcess) jobCompleted(completion lab.JobCompletion) {
	p.observer.jobCompleted(p.timeAt(completion.At), completion)
}

func (p *serverProcess) overloaded(now float64, overload *lab.SlowStartOverload) {
	p.observer.overloaded(p.timeAt(now), overload)
	p.fail(errors.New("overloaded during slow start"))
}

func (p *serverProcess) pathTo(int) networkPath { return directPath{} }

func (p *serverProcess) beginAttempt(requestID uint64, _ int, received receivedRequest) (serverAttempt, bool) {
	attempt, ok := p.observer.beginAttempt(requestID, received)
	p.openAttempts.Add(1)
	p.receivedAttempts.Add(1)
	return &countedAttempt{serverAttempt: attempt, openAttempts: &p.openAttempts}, ok
}

// countedAttempt is an attempt that is counted as open until it has ended.
type countedAttempt struct {
	serverAttempt
	openAttempts *atomic.Int64
}

func (a *countedAttempt) ended(result string) {
	a.serverAttempt.ended(result)
	a.openAttempts.Add(-1)
}

// directPath is a network path without delay and loss. The supervisor and unknown sidecars use it.
type directPath struct{}

func (directPath) deliverRequest(context.Context, bool) bool { return true }

func (directPath) deliverResponse(context.Context) bool { return true }
