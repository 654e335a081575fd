package live

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"milldeck/internal/lab/proc"
	"milldeck/internal/readiness"
)

// sidecarProcess is one sidecar and, unless a supervisor starts it, its process.
type sidecarProcess struct {
	fleet   *fleet
	number  int
	address string
	clients connectionPool

	mu            sync.Mutex
	process       *proc.Process
	incarnation   int
	stopRequested *atomic.Bool // set when the exit of the current process is expected
}

// newSidecarProcess returns a sidecar of the plan that has not been started.
func (f *fleet) newSidecarProcess(number int) *sidecarProcess {
	return &sidecarProcess{fleet: f, number: number, address: f.addresses.sidecar(number)}
}

// start starts the process. The sidecar's configuration contains the endpoint list that the agent has.
func (s *sidecarProcess) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet := s.fleet
	path := fleet.sidecarConfigPath(s)
	if err := s.writeConfig(path); err != nil {
		return err
	}
	process, err := proc.Start(proc.Spec{
		Name: "sidecar " + fleet.plan.Sidecars[s.number].Name,
		Path: fleet.options.SidecarPath, Env: []string{"NODE_CONFIG=" + path},
		Log: filepath.Join(fleet.options.Dir, fleet.plan.Sidecars[s.number].Name+".log"),
	})
	if err != nil {
		return err
	}
	s.process, s.stopRequested = process, new(atomic.Bool)
	s.incarnation++
	fleet.checker.SidecarRestarted(s.number)
	go s.watchExit(process, s.stopRequested)
	return nil
}

func (f *fleet) sidecarConfigPath(sidecar *sidecarProcess) string {
	return filepath.Join(f.options.Dir, f.plan.Sidecars[sidecar.number].Name+".json")
}

// watchExit reports an unexpected exit of a process once the run has started. An earlier exit makes awaitReady fail.
func (s *sidecarProcess) watchExit(process *proc.Process, stopRequested *atomic.Bool) {
	<-process.Done()
	if !stopRequested.Load() && s.fleet.startOffset.Load() != 0 {
		slog.Error("sidecar exited unexpectedly",
			"sidecar", s.fleet.plan.Sidecars[s.number].Name, "error", process.Wait(), "log", process.Log())
		s.fleet.checker.SidecarCrashed(s.fleet.now(), s.number, fmt.Sprint(process.Wait()))
	}
}

func (s *sidecarProcess) writeConfig(path string) error {
	data, err := s.config()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("configuration of sidecar %d: %w", s.number, err)
	}
	return nil
}

// sidecarConfig is a sidecar's configuration file, with the keys in alphabetical order.
type sidecarConfig struct {
	Application  string          `json:"application,omitempty"`
	Discovery    string          `json:"discovery"`
	Known        endpointList    `json:"known"`
	Limits       sidecarLimits   `json:"limits"`
	Listen       string          `json:"listen"`
	Name         string          `json:"name"`
	GossipListen string          `json:"peer_listen,omitempty"`
	GossipPeers  []string        `json:"peers,omitempty"`
	Placement    string          `json:"placement,omitempty"`
	Seed         string          `json:"seed"`
	Settings     json.RawMessage `json:"settings"`
	Version      string          `json:"version,omitempty"`
}

type sidecarLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// config returns the configuration of the sidecar's next incarnation, in JSON.
func (s *sidecarProcess) config() ([]byte, error) {
	fleet, agent := s.fleet, s.fleet.agents[s.number]
	agent.mu.Lock()
	known := agent.completeList()
	discovery := agent.address()
	agent.mu.Unlock()
	spec := fleet.plan.Experiment.Sidecars
	config := sidecarConfig{
		Name:      fleet.plan.Sidecars[s.number].Name,
		Listen:    s.address,
		Discovery: discovery,
		Seed:      fmt.Sprintf("%016x", fleet.plan.IncarnationSeed(s.number, s.incarnation)),
		Limits:    sidecarLimits{Cores: spec.Cores, MemoryMB: spec.MemoryMB, Sockets: spec.Sockets},
		Known:     known,
		Settings:  json.RawMessage(fleet.plan.Settings(s.number)),
	}
	if fleet.gossip != nil {
		config.GossipListen = fleet.addresses.gossipListen(s.number)
		for i := range fleet.sidecars {
			config.GossipPeers = append(config.GossipPeers, fleet.addresses.gossipRelay(i))
		}
	}
	if fleet.controlPlane != nil {
		config.Placement, config.Version = discovery, fleet.plan.Experiment.ControlPlane.SidecarVersion
		config.Application = fleet.plan.Tenant(s.number)
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("configuration of sidecar %d: %w", s.number, err)
	}
	return data, nil
}

// awaitReady waits until the sidecar's readiness check succeeds.
func (s *sidecarProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	s.mu.Lock()
	process := s.process
	s.mu.Unlock()
	return process.WaitReady(ctx, s.address, readiness.Path)
}

// stop ends the process with SIGTERM. If ctx ends first, it kills the process and returns an error.
func (s *sidecarProcess) stop(ctx context.Context) error {
	process := s.requestStop()
	if process == nil {
		return nil
	}
	return process.AwaitStop(ctx)
}

// requestStop sends SIGTERM to the process. It returns nil if no process is running.
func (s *sidecarProcess) requestStop() *proc.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil || !s.process.Running() {
		return nil
	}
	s.stopRequested.Store(true)
	s.process.RequestStop()
	return s.process
}

// kill kills the process and waits until it has exited. The checker does not hold the sidecar responsible for the requests in
// flight.
func (s *sidecarProcess) kill() error {
	if s.fleet.controlPlane != nil {
		return s.signal(syscall.SIGKILL)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil || !s.process.Running() {
		return nil
	}
	s.stopRequested.Store(true)
	now := s.fleet.now()
	s.fleet.checker.ExcuseSidecar(s.number, now-timeoutToleranceMS, now+timeoutToleranceMS)
	s.process.Kill()
	return nil
}

// signal sends a signal to the process, if there is one, and waits until the signal has taken effect.
func (s *sidecarProcess) signal(signal syscall.Signal) error {
	if s.fleet.controlPlane != nil {
		return awaitSignalled(signal, s.fleet.controlPlane.signalUnit(s.fleet.plan.Sidecars[s.number].Name, signal)...)
	}
	s.mu.Lock()
	process := s.process
	s.mu.Unlock()
	if process == nil || !process.Running() {
		return nil
	}
	if err := process.Signal(signal); err != nil {
		return err
	}
	return awaitSignalled(signal, process.PID())
}
