package faultsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/faultsoak/shim"
	"milldeck/internal/lab/proc"
	sidecarpkg "milldeck/internal/sidecar" // the name without a suffix is a type here
)

const (
	readyTimeout      = 10 * time.Second // nine in ten restarted sidecars are ready within this time
	readyPollInterval = 20 * time.Millisecond
	longAgo           = 24 * time.Hour // backdates termAt at a kill, so that clients open no new connections
)

// sidecar is one sidecar: its present process, and the processes that replace it at the same address.
type sidecar struct {
	number   int
	address  string
	options  Options
	records  *records
	settings json.RawMessage
	agents   [2]*agentAddress // a reload switches from one to the other

	killAfter time.Duration // time from SIGTERM to SIGKILL
	limits    sidecarLimits

	lifecycle sync.Mutex // held during a restart, a reload or the final stop

	mu                  sync.Mutex
	process             *proc.Process
	shim                *shim.Supervisor
	expectedExit        bool
	killedAt            time.Time
	killedProcessTermAt time.Time // when the killed process got SIGTERM; zero: it got none
	termAt              time.Time // when the process got SIGTERM or ended; zero: it is serving
	activeAgent         int       // index in agents of the agent that the configuration names
	reloadedAt          time.Time
	wallOffset          time.Duration
	injected            map[string]int
}

type agentAddress struct {
	agent   *agent
	address string
}

// acceptsNew reports whether clients may open new connections.
func (s *sidecar) acceptsNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.termAt.IsZero() || time.Since(s.termAt) < newConnsAfterTerm
}

// killedSince reports whether the process was killed after a time, with a tolerance of hostSlack.
func (s *sidecar) killedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killedAt.After(since.Add(-hostSlack))
}

// excusedByKill reports whether a request may be unanswered because the process was killed. beganAt and sentAt are when the
// request's first and last byte were written. A request that was sent later than graceAfterTerm after SIGTERM is not excused:
// by then, the sidecar had to have closed its connections.
func (s *sidecar) excusedByKill(beganAt, sentAt time.Time) bool {
	if !s.killedSince(beganAt) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killedProcessTermAt.IsZero() || sentAt.Before(s.killedProcessTermAt.Add(graceAfterTerm+hostSlack+s.records.slack))
}

func (s *sidecar) writeConfig() (string, error) {
	s.mu.Lock()
	current := s.agents[s.activeAgent]
	s.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", s.number), "listen": s.address, "discovery": current.address,
		"seed": fmt.Sprintf("%016x", 1+s.number), "limits": map[string]any{"cores": 1, "memory_mb": s.limits.memoryMB, "sockets": s.limits.sockets},
		"known": current.agent.snapshot(), "settings": s.settings,
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.options.Dir, fmt.Sprintf("sidecar%d.json", s.number))
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(temporary, path)
}

// start starts a process under the shim and waits until it is ready. A process that does not become ready is a violation.
func (s *sidecar) start(ctx context.Context) error {
	process, err := s.launch()
	if err != nil {
		return err
	}
	return s.awaitReady(ctx, process)
}

// launch starts a process under the shim.
func (s *sidecar) launch() (*proc.Process, error) {
	path, err := s.writeConfig()
	if err != nil {
		return nil, err
	}
	pipes, err := shim.NewPipes()
	if err != nil {
		return nil, err
	}
	defer pipes.Close()
	process, err := proc.Start(proc.Spec{
		Name: fmt.Sprintf("sidecar %d", s.number), Path: s.options.MilldeckPath, Args: []string{"lab", "soak-launch", s.options.SidecarPath},
		Env: []string{"NODE_CONFIG=" + path, "NODE_LOG_LEVEL=debug"}, Log: s.logPath(),
		ExtraFiles: []*os.File{pipes.ChildNotify, pipes.ChildRelease},
	})
	if err != nil {
		return nil, err
	}
	pipes.ChildNotify.Close()
	supervisor, err := shim.Supervise(process.PID(), pipes.Notify, pipes.Release)
	if err != nil {
		process.Kill()
		return nil, fmt.Errorf("%w; log of the process: %s", err, process.Log())
	}
	s.mu.Lock()
	supervisor.StepClock(s.wallOffset)
	s.process, s.shim, s.expectedExit = process, supervisor, false
	s.reloadedAt = time.Time{}
	s.mu.Unlock()
	go s.watchExit(process)
	return process, nil
}

func (s *sidecar) logPath() string {
	return filepath.Join(s.options.Dir, fmt.Sprintf("sidecar%d.log", s.number))
}

// watchExit records a violation if the process exits without being stopped or killed by the soak.
func (s *sidecar) watchExit(process *proc.Process) {
	err := process.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == process && !s.expectedExit {
		s.records.addViolation("crash", "", fmt.Sprintf("sidecar %d ended by itself (%v): %s", s.number, err, lastLine(process.Log())))
		s.termAt = time.Now()
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

func (s *sidecar) awaitReady(ctx context.Context, process *proc.Process) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && process.Running() && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		response, err := client.Get("http://" + s.address + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.mu.Lock()
			s.termAt = time.Time{}
			s.mu.Unlock()
			return nil
		}
	}
	if ctx.Err() == nil {
		s.records.addViolation("start", "", fmt.Sprintf("sidecar %d is not ready within %v: %s", s.number, readyTimeout, lastLine(process.Log())))
	}
	return nil
}

// terminate sends SIGTERM and the other signals of the sequence, waits for the exit, and starts a new process. It kills a process
// that is still running killAfter later. It calls ended once the process has exited.
func (s *sidecar) terminate(ctx context.Context, sequence signalSequence, ended func()) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	process := s.process
	s.expectedExit, s.termAt = true, time.Now()
	s.mu.Unlock()
	sequence.send(process)
	select {
	case <-process.Done():
		if err := process.Wait(); err != nil {
			s.records.addViolation("crash", "", fmt.Sprintf("sidecar %d ended with %v after SIGTERM: %s", s.number, err, lastLine(process.Log())))
		}
	case <-time.After(s.killAfter):
		s.markKilled()
		s.mu.Lock()
		s.killedProcessTermAt = s.termAt
		s.mu.Unlock()
		process.Kill()
	}
	ended()
	s.collectInjected()
	if signal := sequence.startupSignal(); signal != nil {
		if err := s.startInterrupted(ctx, signal); err != nil {
			return err
		}
	}
	return s.start(ctx)
}

// kill kills the process and starts a new one.
func (s *sidecar) kill(ctx context.Context) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	process := s.process
	s.expectedExit, s.termAt = true, time.Now().Add(-longAgo)
	s.mu.Unlock()
	s.markKilled()
	process.Kill()
	s.markKilled()
	s.collectInjected()
	return s.start(ctx)
}

func (s *sidecar) markKilled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killedAt, s.killedProcessTermAt = time.Now(), time.Time{}
}

// reload makes the sidecar use its other agent.
func (s *sidecar) reload(sequence signalSequence) error {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	s.activeAgent = 1 - s.activeAgent
	s.mu.Unlock()
	if _, err := s.writeConfig(); err != nil {
		return err
	}
	if sequence == sequenceUnreadableFile {
		s.addRule(shim.Rule{Call: shim.OpenAt, Errno: syscall.ENFILE, Share: 1, Until: time.Now().Add(unreadableFor)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloadedAt = time.Now()
	if sequence == sequenceTwice {
		process := s.process
		time.AfterFunc(secondReloadAfter, func() { _ = process.Signal(syscall.SIGHUP) }) // fails only if the process has exited
	}
	return s.process.Signal(syscall.SIGHUP)
}

// suspend suspends the process for a time.
func (s *sidecar) suspend(length time.Duration) {
	s.mu.Lock()
	process := s.process
	s.mu.Unlock()
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has exited
	time.Sleep(length)
	_ = process.Signal(syscall.SIGCONT)
}

// stepClock steps the sidecar's wall clock. Later processes of the sidecar start with the same offset.
func (s *sidecar) stepClock(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallOffset += step
	s.shim.StepClock(step)
}

func (s *sidecar) addRule(rule shim.Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shim.AddRule(rule)
}

// collectInjected adds the present process's injected failures to the total of the sidecar.
func (s *sidecar) collectInjected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.injected == nil {
		s.injected = map[string]int{}
	}
	for name, count := range s.shim.InjectedFailures() {
		s.injected[name] += count
	}
}

// close stops the process at the end of the run.
func (s *sidecar) close(ctx context.Context) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.mu.Lock()
	process := s.process
	s.expectedExit = true
	s.mu.Unlock()
	if process == nil {
		return
	}
	if err := process.Stop(ctx); err != nil {
		s.records.addViolation("crash", "", fmt.Sprintf("sidecar %d: %v", s.number, err))
	}
	s.collectInjected()
}

// loggedViolations returns the invariant violations and crashes in the log of the sidecar.
func (s *sidecar) loggedViolations() ([]Violation, error) {
	data, err := os.ReadFile(s.logPath())
	if err != nil {
		return nil, err
	}
	var found []Violation
	for line := range strings.SplitSeq(string(data), "\n") {
		switch {
		case strings.Contains(line, sidecarpkg.InvariantViolatedMessage):
			found = append(found, Violation{Rule: "invariant", Detail: fmt.Sprintf("sidecar %d: %s", s.number, line)})
		case strings.Contains(line, "panic:") || strings.HasPrefix(line, "fatal error:"):
			found = append(found, Violation{Rule: "crash", Detail: fmt.Sprintf("sidecar %d: %s", s.number, line)})
		}
	}
	return found, nil
}
