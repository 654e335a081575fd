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
	controllerReadyTimeout = 15 * time.Second
	// commandTimeout bounds an operator's command. A command that follows the progress of its own operation is killed
	// at this timeout.
	commandTimeout = 60 * time.Second
	maxOutputBytes = 500 // bytes of a command's output or an HTTP response that an error quotes
)

// controller is a process of a controller under test, such as the release controller.
type controller struct {
	controlPlane *controlPlane
	spec         *lab.ControllerSpec
	address      string

	mu      sync.Mutex
	process *proc.Process
}

func newController(plane *controlPlane, number int) *controller {
	return &controller{
		controlPlane: plane, spec: &plane.spec.Controllers[number],
		address: plane.fleet.addresses.Addr(controlPlaneNet, 0, firstControllerPort+number),
	}
}

// placeholders holds the values of the placeholders that differ between processes.
type placeholders struct {
	name     string // name of the controller, or "step"
	listen   string // address at which the controller listens
	config   string // path of the controller's configuration
	stepFile string // path of the step's file
}

// expandPlaceholders replaces the placeholders that an experiment may use in configurations, arguments and the files of
// steps.
func (c *controlPlane) expandPlaceholders(text string, own placeholders) string {
	replicas := c.fleet.registryService.cluster.HTTPAddrs()
	var quoted []string
	for _, replica := range replicas {
		quoted = append(quoted, fmt.Sprintf("%q", replica))
	}
	replacements := []string{
		"{replicas}", strings.Join(replicas, ","),
		"{list}", "[" + strings.Join(quoted, ", ") + "]",
		"{supervisor}", c.supervisorAddress(),
		"{listen}", own.listen,
		"{name}", own.name,
		"{dir}", filepath.Join(c.fleet.options.Dir, own.name),
		"{config}", own.config,
		"{file}", own.stepFile,
	}
	for _, controller := range c.controllers {
		replacements = append(replacements, "{at:"+controller.spec.Name+"}", controller.address)
	}
	for i := range c.fleet.plan.Servers {
		replacements = append(replacements, fmt.Sprintf("{server:%d}", i), c.fleet.plan.Servers[i].UID)
	}
	return strings.NewReplacer(replacements...).Replace(text)
}

// start writes the controller's configuration, starts its process and waits until it is ready.
func (c *controller) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controllerReadyTimeout)
	defer cancel()
	dir, name := c.controlPlane.fleet.options.Dir, c.spec.Name
	if err := os.MkdirAll(filepath.Join(dir, name), 0o755); err != nil {
		return fmt.Errorf("controller %s: %w", name, err)
	}
	path := filepath.Join(dir, name+".toml")
	own := placeholders{name: name, listen: c.address, config: path}
	config := c.controlPlane.expandPlaceholders(c.spec.Config, own)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return fmt.Errorf("controller %s: %w", name, err)
	}
	var arguments []string
	for _, argument := range c.spec.Args {
		arguments = append(arguments, c.controlPlane.expandPlaceholders(argument, own))
	}
	process, err := proc.Start(proc.Spec{
		Name: "controller " + name, Path: c.controlPlane.fleet.options.MilldeckPath, Args: arguments,
		Log: filepath.Join(dir, name+".log"),
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.process = process
	c.mu.Unlock()
	return process.WaitReady(ctx, c.address, c.spec.ReadyPath)
}

// currentProcess returns the process that was started last, or nil before the first start. It may have exited.
func (c *controller) currentProcess() *proc.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process
}

// kill kills the process and waits for its exit.
func (c *controller) kill() {
	if process := c.currentProcess(); process != nil {
		process.Kill()
	}
}

// stop ends the process gracefully. A failure is logged only: the checker does not judge the shutdown of controllers.
func (c *controller) stop(ctx context.Context) {
	if process := c.currentProcess(); process != nil && process.Running() {
		if err := process.Stop(ctx); err != nil {
			slog.Warn("controller shutdown failed", "controller", c.spec.Name, "error", err)
		}
	}
}

// runSteps starts the controllers that have a start time and performs the operator's steps, each at its time. It
// returns when all of these actions have ended.
func (c *controlPlane) runSteps(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, controller := range c.controllers {
		if controller.spec.AtS == 0 {
			continue
		}
		group.Go(func() {
			if sleep(ctx, milliseconds(1000*controller.spec.AtS-c.fleet.now())) {
				c.recordFailure("controller "+controller.spec.Name, controller.start(ctx))
			}
		})
	}
	for i := range c.spec.Steps {
		step := &c.spec.Steps[i]
		group.Go(func() {
			if !sleep(ctx, milliseconds(1000*step.AtS-c.fleet.now())) {
				return
			}
			slog.Debug("operator step", "args", step.Args, "action", step.Action)
			description := fmt.Sprintf("step %d", i)
			if step.Action != "" {
				c.recordFailure(description, c.performAction(ctx, i, step))
				return
			}
			c.recordFailure(description, c.runCommand(ctx, i, step))
		})
	}
}

// runCommand runs an operator's milldeck command. It fails if the exit status differs from the status that the step expects.
func (c *controlPlane) runCommand(ctx context.Context, stepNumber int, step *lab.StepSpec) error {
	path := filepath.Join(c.fleet.options.Dir, fmt.Sprintf("step%d.toml", stepNumber))
	own := placeholders{name: "step", stepFile: path}
	if err := os.WriteFile(path, []byte(c.expandPlaceholders(step.File, own)), 0o600); err != nil {
		return err
	}
	var arguments []string
	for _, argument := range step.Args {
		arguments = append(arguments, c.expandPlaceholders(argument, own))
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, c.fleet.options.MilldeckPath, arguments...).CombinedOutput()
	logPath := filepath.Join(c.fleet.options.Dir, fmt.Sprintf("step%d.log", stepNumber))
	if writeError := os.WriteFile(logPath, output, 0o644); writeError != nil {
		return writeError
	}
	status := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) && ctx.Err() == nil {
		status, err = exit.ExitCode(), nil
	}
	if err == nil && status != step.ExitStatus {
		err = fmt.Errorf("milldeck %s exited with status %d, not %d: %s",
			strings.Join(arguments, " "), status, step.ExitStatus, outputTail(output))
	}
	return err
}

// outputTail returns the end of an output, for an error message.
func outputTail(output []byte) string {
	return strings.TrimSpace(string(output[max(0, len(output)-maxOutputBytes):]))
}

// signalAll sends a signal to all processes that are running, and waits until the signal has taken effect.
func signalAll(signal syscall.Signal, processes ...*proc.Process) error {
	var pids []int
	for _, process := range processes {
		if process == nil || !process.Running() {
			continue
		}
		if err := process.Signal(signal); err != nil {
			return err
		}
		pids = append(pids, process.PID())
	}
	return awaitSignalled(signal, pids...)
}
