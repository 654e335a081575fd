package faultsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"milldeck/internal/lab/proc"
)

// The size of a run: processes of sidecars and servers, on one machine.
const (
	sidecarCount = 5
	serverCount  = 8
	cellSize     = 2 // number of servers that share idempotency keys

	baseSubnet           = 0
	serverPort           = 8081
	linkPort             = 8082
	sidecarPort          = 8083
	agentPort            = 8084
	secondAgentPort      = 8085
	hostsPerSidecar      = 20
	restartPause         = 300 * time.Millisecond
	discoveryDelay       = 200 * time.Millisecond // until discovery publishes the restart of a server
	drainNotice          = 1500 * time.Millisecond
	knownAfterWatchFault = 6 * time.Second // after a fault of its watch a sidecar has to know changes within this time
	knownAfterReload     = 4 * time.Second // after SIGHUP a sidecar has to know changes within this time
	closeTimeout         = 5 * time.Second
	settleTime           = 2 * time.Second // after the load, until all requests are answered or lost
	watchFaultWindow     = 8 * time.Second // a discovery fault concerns changes that are published within this time after it
)

func cellOf(server int) int { return server / cellSize }

var slowStart = slowStartRules{minCapacity: 0.02, duration: 20 * time.Second, overloadMultiple: 1.5, overloadDuration: 2 * time.Second}

// Options configure a run.
type Options struct {
	Seed         uint64
	Length       time.Duration // of the load
	FaultRate    float64       // faults a second
	FaultKinds   []string      // kinds of faults to draw from; empty: all
	Slack        time.Duration // added to each time limit that is checked, because other work may keep the machine busy
	SidecarPath  string
	MilldeckPath string
	Dir          string // empty folder for configurations and logs
}

// Result is the result of a run.
type Result struct {
	Seed             uint64
	Faults           []string
	Requests         int
	Outcomes         map[string]int
	ServedShare      float64 // share of the plain requests that got a 200
	Attempts         int
	InjectedFailures map[string]int // number of injected system call failures by call and error
	Lateness         Lateness
	Violations       []Violation
}

// soak is the state of a run.
type soak struct {
	options            Options
	plan               plan
	ctx                context.Context
	block              *proc.AddressBlock
	records            *records
	sidecars           []*sidecar
	servers            []*server
	clients            []*clients
	listeners          []net.Listener
	referenceMonotonic time.Duration
	referenceTime      time.Time
	wallOffset         atomic.Int64 // time.Duration; sum of the clock steps
	lateness           *latenessMeter
	work               sync.WaitGroup
}

// server is one server: its present process, and the processes that replace it at the same address.
type server struct {
	number  int
	address string
	faults  *faultSet

	lifecycle sync.Mutex

	mu      sync.Mutex
	process *proc.Process
	entry   endpoint // as last published, without the address
	// Start times of the present process and of the process whose boot time is published. Guarded by the lifecycle lock.
	startedAt, publishedStart time.Time
	watchFaultAt              map[int]time.Time // by sidecar: time of the last discovery fault
}

// Run executes one run and returns its result. An error means that the soak itself failed.
func Run(ctx context.Context, options Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kinds, err := parseFaultKinds(options.FaultKinds)
	if err != nil {
		return nil, err
	}
	if err := requireEmpty(options.Dir); err != nil {
		return nil, err
	}
	block, err := proc.ReserveAddressBlock()
	if err != nil {
		return nil, err
	}
	defer block.Release()
	run := &soak{
		options: options, plan: newPlan(options.Seed, options.Length, options.FaultRate, kinds), ctx: ctx, block: block, records: newRecords(options.Slack),
		referenceMonotonic: monotonicClock(), referenceTime: time.Now(),
	}
	defer run.close()
	if err := run.start(); err != nil {
		return nil, err
	}
	run.runLoadAndFaults()
	return run.result()
}

// requireEmpty returns an error if a folder is not empty. Otherwise logs of an earlier run would be checked as logs of this run.
func requireEmpty(dir string) error {
	entries, err := os.ReadDir(dir)
	if err == nil && len(entries) > 0 {
		return fmt.Errorf("folder %s is not empty", dir)
	}
	return err
}

func (s *soak) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err == nil {
		s.listeners = append(s.listeners, listener)
	}
	return listener, err
}

func (s *soak) start() error {
	for number := range serverCount {
		started := &server{
			number: number, address: s.block.Addr(baseSubnet, number, serverPort), faults: newFaultSet(),
			watchFaultAt: map[int]time.Time{},
			entry:        endpoint{UID: fmt.Sprintf("s%d", number), Zone: "z", Model: "k", PodGroup: cellOf(number), State: "Ready", Capacity: 1},
		}
		s.servers = append(s.servers, started)
		if err := s.startServer(started); err != nil {
			return err
		}
	}
	for number := range sidecarCount {
		if err := s.startSidecar(number); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) startServer(started *server) error {
	process, err := proc.Start(proc.Spec{
		Name: fmt.Sprintf("server %d", started.number), Path: s.options.MilldeckPath,
		Args: []string{"lab", "soak-server", "--listen", started.address, "--seed", strconv.FormatUint(s.options.Seed, 10)}, Log: s.serverLog(started.number),
	})
	if err != nil {
		return err
	}
	started.mu.Lock()
	defer started.mu.Unlock()
	started.process = process
	return nil
}

func (s *soak) serverLog(number int) string {
	return filepath.Join(s.options.Dir, fmt.Sprintf("server%d.log", number))
}

// startSidecar starts the links and agents of a sidecar, then its process, and creates its clients.
func (s *soak) startSidecar(number int) error {
	var list []endpoint
	for _, target := range s.servers {
		address := s.block.Addr(baseSubnet, hostsPerSidecar*(number+1)+target.number, linkPort)
		listener, err := s.listen(address)
		if err != nil {
			return err
		}
		proxied := &link{
			sidecar: number, server: target.number, backend: target.address, listener: listener, faults: target.faults,
			records: s.records, ctx: s.ctx, random: s.generator("link", number, target.number),
			lateRandom: s.generator("late errors", number, target.number),
		}
		s.work.Go(proxied.serve)
		entry := target.entry
		entry.Endpoint = address
		list = append(list, entry)
	}
	started := &sidecar{
		number: number, address: s.block.Addr(baseSubnet, hostsPerSidecar*(number+1)+hostsPerSidecar/2, sidecarPort),
		options: s.options, records: s.records, settings: s.settings(number), killAfter: killAfterTerm(s.plan.Classes), limits: s.plan.Limits,
	}
	for i, port := range []int{agentPort, secondAgentPort} {
		listener, err := s.listen(s.block.Addr(baseSubnet, hostsPerSidecar*(number+1)+hostsPerSidecar/2, port))
		if err != nil {
			return err
		}
		served := newAgent(s.ctx, slices.Clone(list), s.generator("agent", number, i))
		started.agents[i] = &agentAddress{served, listener.Addr().String()}
		s.work.Go(func() { served.serve(listener) })
	}
	s.sidecars = append(s.sidecars, started)
	s.clients = append(s.clients, &clients{
		sidecar: started, records: s.records, faults: newFaultSet(), classes: s.plan.Classes, seed: s.options.Seed, lastID: new(atomic.Int64),
	})
	s.clients[number].lastID.Store(int64(number+1) << 24)
	return started.start(s.ctx)
}

// generator returns the generator of the part of the run with a name and numbers.
func (s *soak) generator(part string, numbers ...int) *generator {
	return newGenerator(s.options.Seed, fmt.Sprint(part, " ", numbers))
}

// settings returns the settings in the configuration of a sidecar.
func (s *soak) settings(number int) json.RawMessage {
	discovery := "subscribe"
	if s.plan.Push {
		discovery = "automatic"
	}
	var list []map[string]any
	for _, class := range s.plan.Classes {
		effect, group := "read_like", "all"
		switch {
		case class.keyed:
			effect = "idempotency_key"
		case class.nonIdempotent:
			effect = "non_idempotent"
		}
		if class.byCell {
			group = "cell"
		}
		list = append(list, map[string]any{
			"name": class.name, "effect": effect, "group": group, "window_ms": class.window.Milliseconds(),
			"on_time_ms": class.deadline.Milliseconds() / 2, "hard_limit_ms": class.deadline.Milliseconds(), "worth": 1,
		})
	}
	data, err := json.Marshal(map[string]any{
		"classes": list, "zones": []string{"z"}, "kinds": []string{"k"}, "discovery": discovery, "quantum_ms": 2,
		"my_number": number, "peers_total": sidecarCount, "family_info": map[string]any{"warm_keys": s.plan.WarmKeys},
		"limits": map[string]any{"cancel": true, "conn_idle_ms": 10000, "connect_timeout_ms": 250, "max_attempts": 3, "retry_after": true,
			"max_retry_after_ms": 2000},
		"rules": map[string]any{"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": slowStart.minCapacity,
			"cold_ms": slowStart.duration.Milliseconds(), "drain_grace_ms": drainGrace.Milliseconds(),
			"fall_ms": slowStart.overloadDuration.Milliseconds(), "fall_multiple": slowStart.overloadMultiple},
	})
	if err != nil {
		panic(err) // does not happen: the types can be encoded
	}
	return data
}

// runLoadAndFaults runs the clients and injects the planned faults, then waits for settleTime.
func (s *soak) runLoadAndFaults() {
	load, stopLoad := context.WithTimeout(s.ctx, s.plan.Length)
	defer stopLoad()
	measuring, stopMeasuring := context.WithCancel(s.ctx)
	defer stopMeasuring()
	s.lateness = newLatenessMeter()
	s.work.Go(func() { s.lateness.run(measuring) })
	for _, target := range s.sidecars {
		s.work.Go(func() { target.watchMemory(measuring.Done()) })
	}
	var playing sync.WaitGroup
	for _, sidecarClients := range s.clients {
		playing.Go(func() { sidecarClients.run(load) })
	}
	for _, planned := range s.plan.Faults {
		playing.Go(func() {
			select {
			case <-time.After(planned.At):
				s.inject(planned)
			case <-s.ctx.Done():
			}
		})
	}
	playing.Wait()
	select {
	case <-time.After(settleTime):
	case <-s.ctx.Done():
	}
}

// close stops all processes and closes all listeners.
func (s *soak) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, target := range s.sidecars {
		closing.Go(func() { target.close(ctx) })
	}
	closing.Wait()
	for _, listener := range s.listeners {
		listener.Close()
	}
	for _, srv := range s.servers {
		if srv.process != nil {
			srv.process.Kill()
		}
	}
}

// result stops the processes and checks the records.
func (s *soak) result() (*Result, error) {
	s.close()
	for _, srv := range s.servers {
		if err := readExecutions(s.serverLog(srv.number), srv.number, s.records, s.referenceMonotonic, s.referenceTime); err != nil {
			return nil, err
		}
	}
	result := &Result{Seed: s.plan.Seed, Lateness: s.lateness.result(), Outcomes: map[string]int{}, InjectedFailures: map[string]int{}}
	for _, planned := range s.plan.Faults {
		result.Faults = append(result.Faults, planned.String())
	}
	slices.Sort(result.Faults)
	for _, target := range s.sidecars {
		for name, count := range target.injected {
			result.InjectedFailures[name] += count
		}
		logged, err := target.loggedViolations()
		if err != nil {
			return nil, err
		}
		result.Violations = append(result.Violations, logged...)
	}
	result.Violations = append(result.Violations, s.records.check(slowStart)...)
	s.summarize(result)
	return result, nil
}

func (s *soak) summarize(result *Result) {
	plain, served := 0, 0
	for _, request := range s.records.requests {
		result.Requests++
		result.Attempts += len(request.Attempts)
		name := string(request.Outcome)
		if request.Outcome == outcomeAnswered {
			name = fmt.Sprintf("answered %d", request.Status)
		}
		result.Outcomes[name]++
		if request.Kind == "plain" {
			plain++
			if request.Status == 200 {
				served++
			}
		}
	}
	result.ServedShare = float64(served) / float64(max(plain, 1))
	if result.ServedShare < minServedShare {
		result.Violations = append(result.Violations, Violation{Rule: "served", Detail: fmt.Sprintf("%.2f of the plain requests, %.2f wanted",
			result.ServedShare, minServedShare)})
	}
}
