package live

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milldeck/internal/lab/proc"
)

// sidecarProcess is one sidecar's process.
type sidecarProcess struct {
	fleet   *fleet
	number  int
	address string
	clients connectionPool

	mu            sync.Mutex
	process       *proc.Process
	incarnation   int
	stopRequested *atomic.Bool // this process was told to end
}

func (f *fleet) newSidecarProcess(number int) *sidecarProcess {
	return &sidecarProcess{fleet: f, number: number, address: f.addresses.sidecar(number)}
}

// start starts the process with what its agent knows.
func (n *sidecarProcess) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	fleet := n.fleet
	path := fleet.sidecarConfigPath(n)
	if err := n.writeConfig(path); err != nil {
		return err
	}
	process, err := proc.Start(proc.Spec{
		Name: "sidecar " + fleet.plan.Sidecars[n.number].Name, Path: fleet.options.SidecarPath, Env: []string{"NODE_CONFIG=" + path},
		Log: filepath.Join(fleet.options.Dir, fleet.plan.Sidecars[n.number].Name+".log"),
	})
	if err != nil {
		return err
	}
	n.process, n.stopRequested = process, new(atomic.Bool)
	n.incarnation++
	fleet.checker.SidecarRestarted(n.number)
	go n.watchExit(process, n.stopRequested)
	return nil
}

func (f *fleet) sidecarConfigPath(sidecar *sidecarProcess) string {
	return filepath.Join(f.options.Dir, f.plan.Sidecars[sidecar.number].Name+".json")
}

// watchExit notices a process that ends by itself once the run has begun; before, its start has failed.
func (n *sidecarProcess) watchExit(process *proc.Process, stopRequested *atomic.Bool) {
	<-process.Done()
	if !stopRequested.Load() && n.fleet.startOffset.Load() != 0 {
		slog.Error("a sidecar ended by itself", "sidecar", n.fleet.plan.Sidecars[n.number].Name, "error", process.Wait(), "log", process.Log())
		n.fleet.checker.SidecarCrashed(n.fleet.now(), n.number, fmt.Sprint(process.Wait()))
	}
}

// writeConfig writes the configuration.
func (n *sidecarProcess) writeConfig(path string) error {
	data, err := n.config()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("configuration of sidecar %d: %w", n.number, err)
	}
	return nil
}

// config is the configuration of the sidecar's next life.
func (n *sidecarProcess) config() ([]byte, error) {
	fleet, agent := n.fleet, n.fleet.agents[n.number]
	agent.mu.Lock()
	endpoints := agent.fullList()
	discovery := agent.address()
	agent.mu.Unlock()
	spec := fleet.plan.Experiment.Sidecars
	type object = map[string]any
	config := object{
		"name": fleet.plan.Sidecars[n.number].Name, "listen": n.address, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", fleet.plan.IncarnationSeed(n.number, n.incarnation)),
		"limits": object{"cores": spec.Cores, "memory_mb": spec.MemoryMB, "sockets": spec.Sockets},
		"known":  endpoints, "settings": json.RawMessage(fleet.plan.Settings(n.number)),
	}
	if fleet.gossip != nil {
		var gossipAddresses []string
		for i := range fleet.sidecars {
			gossipAddresses = append(gossipAddresses, fleet.addresses.gossipRelay(i))
		}
		config["peer_listen"], config["peers"] = fleet.addresses.gossipListen(n.number), gossipAddresses
	}
	if fleet.controlPlane != nil {
		config["placement"], config["version"] = discovery, fleet.plan.Experiment.ControlPlane.SidecarVersion
		if tenant := fleet.plan.Tenant(n.number); tenant != "" {
			config["application"] = tenant
		}
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("configuration of sidecar %d: %w", n.number, err)
	}
	return data, nil
}

// awaitReady waits until the sidecar says that it is.
func (n *sidecarProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + n.address + "/health/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !process.Running() {
			return fmt.Errorf("%s ended before it was ready (%v); its log ends:\n%s", process.Name, process.Wait(), process.Log())
		}
		if !sleep(ctx, readyPollInterval) {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return fmt.Errorf("%s did not get ready within %v; its log ends:\n%s", process.Name, readyTimeout, process.Log())
			}
			return ctx.Err()
		}
	}
}

// stop ends the process with SIGTERM; ctx bounds it.
func (n *sidecarProcess) stop(ctx context.Context) error {
	n.mu.Lock()
	process := n.process
	if process == nil || !process.Running() {
		n.mu.Unlock()
		return nil
	}
	n.stopRequested.Store(true)
	n.mu.Unlock()
	return process.Stop(ctx)
}

// kill ends the process at once. What it owed is not its fault.
func (n *sidecarProcess) kill() {
	if n.fleet.controlPlane != nil {
		n.fleet.controlPlane.signalUnit(n.fleet.plan.Sidecars[n.number].Name, syscall.SIGKILL)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.Running() {
		return
	}
	n.stopRequested.Store(true)
	now := n.fleet.now()
	n.fleet.checker.ExcuseSidecar(n.number, now-timeoutToleranceMS, now+timeoutToleranceMS)
	n.process.Kill()
}

func (n *sidecarProcess) signal(signal syscall.Signal) {
	if n.fleet.controlPlane != nil {
		n.fleet.controlPlane.signalUnit(n.fleet.plan.Sidecars[n.number].Name, signal)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Signal(signal)
	}
}
