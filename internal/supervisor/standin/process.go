package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"milldeck/internal/lab/proc"
	"milldeck/internal/supervisor/core"
)

const (
	minHealthCheckInterval = 5 * time.Millisecond // a sidecar is ready about 20 ms after its start
	maxHealthCheckInterval = 250 * time.Millisecond
	healthCheckTimeout     = time.Second     // of one check
	processStopTimeout     = 3 * time.Second // for all processes, when the platform stops
	maxExitTextBytes       = 200             // limit of a unit's exit text
)

var (
	errPlatformClosed = errors.New("not started: the platform ends")
	errNoConfig       = errors.New("not started: it has no configuration file")
)

// startProcess starts a process and the goroutines that watch it. The caller holds mu.
func (p *platform) startProcess(launch *core.Launch) error {
	u := &launch.Unit
	version := p.versions.find(u.Kind, u.Version)
	if p.closed || version == nil {
		return errPlatformClosed
	}
	if launch.ConfigText != "" {
		if err := p.writeConfig(u.Name, launch.ConfigText); err != nil {
			return err
		}
	}
	argv, env, usesConfig := version.command(u, p.configPath(u.Name))
	if usesConfig {
		if _, err := os.Stat(p.configPath(u.Name)); err != nil {
			return errNoConfig
		}
	}
	process, err := proc.Start(proc.Spec{Name: u.Name, Path: argv[0], Args: argv[1:], Env: env, Log: p.logPath(u.Name)})
	if err != nil {
		return fmt.Errorf("not started: %w", err)
	}
	slog.Info(startedMessage, "unit", u.Name, "version", u.Version, "incarnation", u.Incarnation, "pid", process.PID())
	p.processes[launch.Process] = process
	p.loggedUnits[u.Name] = true
	p.background.Go(func() { p.awaitExit(launch.Process, process) })
	if version.ReadyPath == "" {
		p.core.ProcessReady(p.now(), launch.Process)
	} else {
		p.background.Go(func() { p.awaitReady(launch.Process, process, "http://"+u.Listen+version.ReadyPath) })
	}
	return nil
}

// startedMessage is the message of each start. Tests count these lines.
const startedMessage = "started"

// StartedMarker returns the part of a line by which a reader finds the starts of a unit, of all versions if version is "".
func StartedMarker(unit, version string) string {
	marker := fmt.Sprintf("%s=%s unit=%s version=", slog.MessageKey, startedMessage, unit)
	if version == "" {
		return marker
	}
	return marker + version + " "
}

// awaitExit waits until a process has exited, and reports the exit to the core.
func (p *platform) awaitExit(number uint64, process *proc.Process) {
	<-process.Done()
	exit := exitText(process)
	slog.Info("process exited", "unit", process.Name, "pid", process.PID(), "exit", exit)
	p.update(func(now int64) {
		delete(p.processes, number)
		p.core.ProcessExited(now, number, exit)
	})
}

// exitText returns how a process has exited. For an exit with an error status, the text includes the last line of the
// process's log as the reason.
func exitText(process *proc.Process) string {
	err := process.Wait()
	if err == nil {
		return "exit status 0"
	}
	var exitError *exec.ExitError
	if errors.As(err, &exitError) && exitError.Exited() {
		return oneLine(oneLine(err.Error()) + " " + lastLine(process.Log()))
	}
	return oneLine(err.Error())
}

// awaitReady repeats health checks until a process is ready, and reports the readiness to the core.
func (p *platform) awaitReady(number uint64, process *proc.Process, url string) {
	for wait := minHealthCheckInterval; ; wait = min(wait*3/2, maxHealthCheckInterval) {
		select {
		case <-process.Done():
			return
		case <-p.ctx.Done():
			return
		case <-time.After(wait):
		}
		if p.healthy(url) && process.Running() {
			p.update(func(now int64) { p.core.ProcessReady(now, number) })
			return
		}
	}
}

// healthy performs one health check.
func (p *platform) healthy(url string) bool {
	req, err := http.NewRequestWithContext(p.ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := p.healthClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close stops all running processes, listed or not, and waits for them and for the goroutines. The caller has to end the
// platform's context first.
func (p *platform) close() {
	p.mu.Lock()
	p.closed = true
	var processes []*proc.Process
	for _, process := range p.processes {
		processes = append(processes, process)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), processStopTimeout)
	defer cancel()
	for _, process := range processes {
		p.background.Go(func() {
			if err := process.Stop(ctx); err != nil {
				slog.Debug("process stopped with the platform", "unit", process.Name, "error", err)
			}
		})
	}
	p.background.Wait()
	p.healthClient.CloseIdleConnections()
}

func lastLine(log string) string {
	log = strings.TrimSpace(log)
	return log[strings.LastIndexByte(log, '\n')+1:]
}

// oneLine returns a text on one line of at most maxExitTextBytes.
func oneLine(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	return cmp.Or(text[:min(len(text), maxExitTextBytes)], "no reason given")
}
