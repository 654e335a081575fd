package live

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"milldeck/internal/registry"
)

const (
	processPollInterval   = 20 * time.Millisecond // nothing announces that another process has started one
	readinessPollInterval = 50 * time.Millisecond // a sidecar that drains says so for ten times as long
	unitEnv               = "LAB_UNIT"
	versionEnv            = "LAB_VERSION"
)

// unitProcess is a process of a unit.
type unitProcess struct{ unit, version string }

func incarnationID(pid int) string { return strconv.Itoa(pid) }

// processStarted notes a process of a unit, once.
func (c *controlPlane) processStarted(unit string, pid int, version string) {
	c.reapExited(unit) // the one before it may have ended since the last look
	c.mu.Lock()
	_, known := c.processes[pid]
	c.processes[pid] = &unitProcess{unit, version}
	c.mu.Unlock()
	if known || c.finished.Load() {
		return
	}
	c.checker.ProcessStarted(c.now(), unit, incarnationID(pid), version)
	if sidecar, ok := c.sidecarByUnit[unit]; ok {
		c.fleet.checker.SidecarRestarted(sidecar)
	}
}

// processExited notes its end, once.
func (c *controlPlane) processExited(pid int) {
	c.mu.Lock()
	process := c.processes[pid]
	delete(c.processes, pid)
	c.mu.Unlock()
	if process != nil && !c.finished.Load() {
		c.checker.ProcessExited(c.now(), process.unit, incarnationID(pid))
	}
}

// watchProcesses looks which processes the platform has: it sees what runs, whatever the platform knows or says.
func (c *controlPlane) watchProcesses() {
	for sleep(c.ctx, processPollInterval) && !c.finished.Load() {
		c.mu.Lock()
		supervisor := c.supervisor
		c.mu.Unlock()
		for _, pid := range childProcesses(supervisor.PID()) {
			unit, version := unitOfProcess(pid)
			if unit == "" {
				continue // between its fork and its program, or ended meanwhile
			}
			c.processStarted(unit, pid, version)
		}
		c.reapExited("")
	}
}

// reapExited notes which processes of a unit have ended, of all where it is "".
func (c *controlPlane) reapExited(unit string) {
	c.mu.Lock()
	var exited []int
	for pid, process := range c.processes {
		if (unit == "" || process.unit == unit) && !isProcessRunning(pid) {
			exited = append(exited, pid)
		}
	}
	c.mu.Unlock()
	for _, pid := range exited {
		c.processExited(pid)
	}
}

// childProcesses are the processes that one has started and that have not been waited for.
func childProcesses(pid int) []int {
	var running []int
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid)) // the pattern is well-formed
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		for _, text := range strings.Fields(string(data)) {
			if child, err := strconv.Atoi(text); err == nil && isProcessRunning(child) {
				running = append(running, child)
			}
		}
	}
	return running
}

// isProcessRunning tells whether a process runs; one that has ended and was not waited for does not.
func isProcessRunning(pid int) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, fields, ok := strings.Cut(string(data), ") ")
	return ok && fields != "" && fields[0] != 'Z' && fields[0] != 'X'
}

// unitOfProcess is which unit a process is, on which version.
func unitOfProcess(pid int) (unit, version string) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return "", ""
	}
	for entry := range strings.SplitSeq(string(content), "\x00") {
		switch key, value, _ := strings.Cut(entry, "="); key {
		case unitEnv:
			unit = value
		case versionEnv:
			version = value
		}
	}
	return unit, version
}

// signalUnit sends a signal to all processes of a unit.
func (c *controlPlane) signalUnit(unit string, signal syscall.Signal) {
	c.mu.Lock()
	var pids []int
	for pid, process := range c.processes {
		if process.unit == unit {
			pids = append(pids, pid)
		}
	}
	c.mu.Unlock()
	for _, pid := range pids {
		if current, _ := unitOfProcess(pid); current == unit { // the number is not another's by now
			syscall.Kill(pid, signal) // an error is one that has ended
		}
	}
}

// newestProcess is the process of a unit that runs, 0 if none does.
func (c *controlPlane) newestProcess(unit string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pid := 0
	for candidate, process := range c.processes {
		if process.unit == unit {
			pid = max(pid, candidate)
		}
	}
	return pid
}

var healthClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// readinessStatus asks a process whether it is ready; 0: it does not answer.
func readinessStatus(address string) int {
	response, err := healthClient.Get("http://" + address + readyPath)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (c *controlPlane) isReady(address string) bool { return readinessStatus(address) == http.StatusOK }

// watchSidecars asks each sidecar whether it is ready. One that was and says that it is not any more was told to end.
func (c *controlPlane) watchSidecars() {
	for _, sidecar := range c.fleet.sidecars {
		unit := c.fleet.plan.Sidecars[sidecar.number].Name
		c.background.Go(func() {
			readyPID := 0 // the process that was ready
			for sleep(c.ctx, readinessPollInterval) && !c.finished.Load() {
				pid := c.newestProcess(unit)
				if pid == 0 {
					continue
				}
				switch status := readinessStatus(sidecar.address); {
				case status == http.StatusOK && readyPID != pid:
					readyPID = pid
					c.checker.ReadinessChanged(c.now(), unit, incarnationID(pid), true)
				case status == http.StatusServiceUnavailable && readyPID == pid:
					c.checker.TerminationRequested(c.now(), unit, incarnationID(pid))
				}
			}
		})
	}
}

// watchEndpoints follows the list as the replicas tell it.
func (c *controlPlane) watchEndpoints() {
	registryService := c.fleet.registryService
	for attempt := 0; c.ctx.Err() == nil; attempt++ {
		states := map[string]string{}
		err := registryService.client.WatchEndpoints(c.ctx, registryService.cluster.Replicas[attempt%len(registryService.cluster.Replicas)].HTTPAddr, 0, 0, func(list *registry.EndpointList, _ time.Duration) error {
			if list == nil || c.finished.Load() {
				return nil
			}
			c.applyEndpointList(states, list)
			return nil
		})
		if err != nil {
			sleep(c.ctx, readyPollInterval)
		}
	}
}

// applyEndpointList tells the judge what a line of a watch changes.
func (c *controlPlane) applyEndpointList(states map[string]string, list *registry.EndpointList) {
	now := c.now()
	next := map[string]string{}
	for _, entry := range list.Targets {
		next[entry.UID] = entry.State
	}
	if list.Full {
		for unit := range c.serverByUnit {
			if _, listed := next[unit]; !listed {
				next[unit] = ""
			}
		}
	}
	for unit, state := range next {
		if previous, ok := states[unit]; ok && previous == state {
			continue
		}
		states[unit] = state
		c.checker.EndpointStateChanged(now, unit, state)
	}
}
