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

// node is one sidecar's process.
type node struct {
	f    *fleet
	n    int
	addr string
	app  app

	mu   sync.Mutex
	proc *proc.Process
	life int
	told *atomic.Bool // this process was told to end
}

func (f *fleet) newNode(n int) *node { return &node{f: f, n: n, addr: f.addrs.sidecar(n)} }

// start starts the process with what its agent knows.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.f
	path := f.configPath(n)
	if err := n.write(path); err != nil {
		return err
	}
	p, err := proc.Start(proc.Spec{
		Name: "sidecar " + f.plan.Sidecars[n.n].Name, Path: f.opts.Sidecar, Env: []string{"NODE_CONFIG=" + path},
		Log: filepath.Join(f.opts.Dir, f.plan.Sidecars[n.n].Name+".log"),
	})
	if err != nil {
		return err
	}
	n.proc, n.told = p, new(atomic.Bool)
	n.life++
	f.judge.SidecarRestarted(n.n)
	go n.mind(p, n.told)
	return nil
}

func (f *fleet) configPath(n *node) string {
	return filepath.Join(f.opts.Dir, f.plan.Sidecars[n.n].Name+".json")
}

// mind notices a process that ends by itself once the run has begun; before, its start has failed.
func (n *node) mind(p *proc.Process, told *atomic.Bool) {
	<-p.Done()
	if !told.Load() && n.f.zero.Load() != 0 {
		slog.Error("a sidecar ended by itself", "sidecar", n.f.plan.Sidecars[n.n].Name, "error", p.Exit(), "log", p.Log())
		n.f.judge.SidecarCrashed(n.f.now(), n.n, fmt.Sprint(p.Exit()))
	}
}

// write writes the configuration.
func (n *node) write(path string) error {
	data, err := n.config()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("configuration of sidecar %d: %w", n.n, err)
	}
	return nil
}

// config is the configuration of the sidecar's next life.
func (n *node) config() ([]byte, error) {
	f, a := n.f, n.f.agents[n.n]
	a.mu.Lock()
	known := a.all()
	discovery := a.addr()
	a.mu.Unlock()
	s := f.plan.Experiment.Sidecars
	type m = map[string]any
	config := m{
		"name": f.plan.Sidecars[n.n].Name, "listen": n.addr, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", f.plan.IncarnationSeed(n.n, n.life)),
		"limits": m{"cores": s.Cores, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":  known, "settings": json.RawMessage(f.plan.Settings(n.n)),
	}
	if f.peers != nil {
		var all []string
		for i := range f.nodes {
			all = append(all, f.addrs.peer(i))
		}
		config["peer_listen"], config["peers"] = f.addrs.peerListen(n.n), all
	}
	if f.control != nil {
		config["placement"], config["version"] = discovery, f.plan.Experiment.ControlPlane.SidecarVersion
		if tenant := f.plan.Tenant(n.n); tenant != "" {
			config["application"] = tenant
		}
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("configuration of sidecar %d: %w", n.n, err)
	}
	return data, nil
}

// ready waits until the sidecar says that it is.
func (n *node) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	n.mu.Lock()
	p := n.proc
	n.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + n.addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !p.Running() {
			return fmt.Errorf("%s ended before it was ready (%v); its log ends:\n%s", p.Name, p.Exit(), p.Log())
		}
		if !sleep(ctx, readyPoll) {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return fmt.Errorf("%s did not get ready within %v; its log ends:\n%s", p.Name, readyWait, p.Log())
			}
			return ctx.Err()
		}
	}
}

// stop ends the process with SIGTERM; ctx bounds it.
func (n *node) stop(ctx context.Context) error {
	n.mu.Lock()
	p := n.proc
	if p == nil || !p.Running() {
		n.mu.Unlock()
		return nil
	}
	n.told.Store(true)
	n.mu.Unlock()
	return p.Stop(ctx)
}

// kill ends the process at once. What it owed is not its fault.
func (n *node) kill() {
	if n.f.control != nil {
		n.f.control.signal(n.f.plan.Sidecars[n.n].Name, syscall.SIGKILL)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc == nil || !n.proc.Running() {
		return
	}
	n.told.Store(true)
	now := n.f.now()
	n.f.judge.ExcuseSidecar(n.n, now-slackMS, now+slackMS)
	n.proc.Kill()
}

func (n *node) signal(sig syscall.Signal) {
	if n.f.control != nil {
		n.f.control.signal(n.f.plan.Sidecars[n.n].Name, sig)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc != nil {
		n.proc.Signal(sig)
	}
}
