package live

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc"
)

const (
	controllerReady = 15 * time.Second
	// stepWait bounds a command of an operator's: one that follows what it has started is to be killed by then.
	stepWait = 60 * time.Second
	mostSaid = 500 // bytes of a command's output in an error
)

// controller is a process of the program that acts on the fleet.
type controller struct {
	c    *control
	file *lab.ControllerSpec
	addr string

	mu   sync.Mutex
	proc *proc.Process
}

func newController(c *control, n int) *controller {
	return &controller{c: c, file: &c.file.Controllers[n], addr: c.f.addrs.Addr(planeNet, 0, controllerPort+n)}
}

// fill puts in what placeholders stand for.
func (c *control) fill(text, name, listen, config, file string) string {
	https := c.f.registry.cluster.HTTPAddrs()
	var quoted []string
	for _, a := range https {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	pairs := []string{
		"{replicas}", strings.Join(https, ","), "{list}", "[" + strings.Join(quoted, ", ") + "]", "{supervisor}", c.supervisorAddr(),
		"{listen}", listen, "{name}", name, "{dir}", filepath.Join(c.f.opts.Dir, name), "{config}", config, "{file}", file,
	}
	for _, k := range c.controllers {
		pairs = append(pairs, "{at:"+k.file.Name+"}", k.addr)
	}
	for i := range c.f.plan.Servers {
		pairs = append(pairs, fmt.Sprintf("{server:%d}", i), c.f.plan.Servers[i].UID)
	}
	return strings.NewReplacer(pairs...).Replace(text)
}

func (k *controller) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controllerReady)
	defer cancel()
	dir, name := k.c.f.opts.Dir, k.file.Name
	if err := os.MkdirAll(filepath.Join(dir, name), 0o755); err != nil {
		return fmt.Errorf("controller %s: %w", name, err)
	}
	path := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(path, []byte(k.c.fill(k.file.Config, name, k.addr, path, "")), 0o600); err != nil {
		return fmt.Errorf("controller %s: %w", name, err)
	}
	var args []string
	for _, a := range k.file.Args {
		args = append(args, k.c.fill(a, name, k.addr, path, ""))
	}
	p, err := proc.Start(proc.Spec{Name: "controller " + name, Path: k.c.f.opts.Milldeck, Args: args, Log: filepath.Join(dir, name+".log")})
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.proc = p
	k.mu.Unlock()
	_, err = p.WaitLog(ctx, k.file.ReadyLine)
	return err
}

func (k *controller) running() *proc.Process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.proc
}

func (k *controller) kill() {
	if p := k.running(); p != nil {
		p.Kill()
	}
}

// stop ends it as at a planned end. It is no part of what is judged whether it does so in time.
func (k *controller) stop(ctx context.Context) {
	if p := k.running(); p != nil && p.Running() {
		if err := p.Stop(ctx); err != nil {
			slog.Warn("a controller did not end well", "error", err)
		}
	}
}

// steps plays what an operator does, each step at its time.
func (c *control) steps(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, k := range c.controllers {
		if k.file.AtS == 0 {
			continue
		}
		all.Go(func() {
			if sleep(ctx, millis(1000*k.file.AtS-c.f.now())) {
				c.trouble("controller "+k.file.Name, k.start(ctx))
			}
		})
	}
	for i := range c.file.Steps {
		s := &c.file.Steps[i]
		all.Go(func() {
			if !sleep(ctx, millis(1000*s.AtS-c.f.now())) {
				return
			}
			slog.Debug("step", "args", s.Args, "do", s.Action)
			what := fmt.Sprintf("step %d", i)
			if s.Action != "" {
				c.trouble(what, c.act(ctx, i, s))
				return
			}
			c.trouble(what, c.command(ctx, i, s))
		})
	}
}

// command runs a command of the program, which has to end with the step's status.
func (c *control) command(ctx context.Context, n int, s *lab.StepSpec) error {
	path := filepath.Join(c.f.opts.Dir, fmt.Sprintf("step%d.toml", n))
	if err := os.WriteFile(path, []byte(c.fill(s.File, "step", "", "", path)), 0o600); err != nil {
		return err
	}
	var args []string
	for _, a := range s.Args {
		args = append(args, c.fill(a, "step", "", "", path))
	}
	ctx, cancel := context.WithTimeout(ctx, stepWait)
	defer cancel()
	out, err := exec.CommandContext(ctx, c.f.opts.Milldeck, args...).CombinedOutput()
	if logged := os.WriteFile(filepath.Join(c.f.opts.Dir, fmt.Sprintf("step%d.log", n)), out, 0o644); logged != nil {
		return logged
	}
	status := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) && ctx.Err() == nil {
		status, err = exit.ExitCode(), nil
	}
	if err == nil && status != s.ExitStatus {
		err = fmt.Errorf("milldeck %s ended with status %d, not %d: %s", strings.Join(args, " "), status, s.ExitStatus, tail(out))
	}
	return err
}

func tail(out []byte) string {
	return strings.TrimSpace(string(out[max(0, len(out)-mostSaid):]))
}

// signalAll sends a signal to a process where there is one.
func signalAll(sig syscall.Signal, all ...*proc.Process) {
	for _, p := range all {
		if p != nil {
			p.Signal(sig)
		}
	}
}
