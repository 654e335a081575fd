package live

import (
	"net/http"
	"strconv"
	"syscall"
	"time"

	"milldeck/internal/registry"
)

const (
	processPollInterval   = 20 * time.Millisecond // interval between two polls of the supervisor's child processes
	readinessPollInterval = 50 * time.Millisecond // a draining sidecar reports not ready for ten of these intervals
	unitEnv               = "LAB_UNIT"
	versionEnv            = "LAB_VERSION"
)

// unitProcess is a process of one of the supervisor's units, which are servers and sidecars.
type unitProcess struct{ unit, version string }

// incarnationID returns the ID by which the checker identifies an incarnation of a unit.
func incarnationID(pid int) string { return strconv.Itoa(pid) }

// processStarted reports the start of a unit's process to the checker, once for each process.
func (c *controlPlane) processStarted(unit string, pid int, version string) {
	c.reportExited(unit) // the unit's previous process may have exited since the last poll
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

// processExited reports the exit of a unit's process to the checker, once for each process.
func (c *controlPlane) processExited(pid int) {
	c.mu.Lock()
	process := c.processes[pid]
	delete(c.processes, pid)
	c.mu.Unlock()
	if process != nil && !c.finished.Load() {
		c.checker.ProcessExited(c.now(), process.unit, incarnationID(pid))
	}
}

// watchProcesses polls the supervisor's child processes. It detects starts and exits independently of what the
// supervisor knows or reports.
func (c *controlPlane) watchProcesses() {
	for sleep(c.ctx, processPollInterval) && !c.finished.Load() {
		c.mu.Lock()
		supervisor := c.supervisor
		c.mu.Unlock()
		for _, pid := range childProcesses(supervisor.PID()) {
			unit, version := unitOfProcess(pid)
			if unit == "" {
				continue // between fork and exec, or exited meanwhile
			}
			c.processStarted(unit, pid, version)
		}
		c.reportExited("")
	}
}

// reportExited reports to the checker the processes of a unit, or of all units if unit is "", that have exited.
func (c *controlPlane) reportExited(unit string) {
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

// signalUnit sends a signal to all processes of a unit and returns their PIDs.
func (c *controlPlane) signalUnit(unit string, signal syscall.Signal) (signalled []int) {
	c.mu.Lock()
	var pids []int
	for pid, process := range c.processes {
		if process.unit == unit {
			pids = append(pids, pid)
		}
	}
	c.mu.Unlock()
	for _, pid := range pids {
		if current, _ := unitOfProcess(pid); current == unit { // no process of another unit has reused the PID
			_ = syscall.Kill(pid, signal) // fails only for a process that has exited and needs no signal
			signalled = append(signalled, pid)
		}
	}
	return signalled
}

// newestPID returns the pid of a unit's running process, the highest if there are several, 0 if there is none.
func (c *controlPlane) newestPID(unit string) int {
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

// healthClient opens a new connection for each check, because a kept-alive connection would hide a restart.
var healthClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// readinessStatus returns the HTTP status of a process's readiness check, 0 if the process does not answer.
func readinessStatus(address string) int {
	response, err := healthClient.Get("http://" + address + readyPath)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// isReady reports whether the readiness check at an address succeeds.
func (c *controlPlane) isReady(address string) bool { return readinessStatus(address) == http.StatusOK }

// watchSidecars polls each sidecar's readiness and reports it to the checker. A process that was ready and then reports
// not ready has been requested to terminate.
func (c *controlPlane) watchSidecars() {
	for _, sidecar := range c.fleet.sidecars {
		unit := c.fleet.plan.Sidecars[sidecar.number].Name
		c.background.Go(func() {
			readyPID := 0 // PID of the process that was ready
			for sleep(c.ctx, readinessPollInterval) && !c.finished.Load() {
				pid := c.newestPID(unit)
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

// watchEndpoints watches the registry's endpoint list at one replica, and after an error at the next one.
func (c *controlPlane) watchEndpoints() {
	registryService := c.fleet.registryService
	for attempt := 0; c.ctx.Err() == nil; attempt++ {
		states := map[string]string{}
		replicas := registryService.cluster.Replicas
		replica := replicas[attempt%len(replicas)].HTTPAddr
		apply := func(list *registry.EndpointList, _ time.Duration) error {
			if list != nil && !c.finished.Load() {
				c.reportEndpointChanges(states, list)
			}
			return nil
		}
		if err := registryService.client.WatchEndpoints(c.ctx, replica, 0, 0, apply); err != nil {
			sleep(c.ctx, readyPollInterval)
		}
	}
}

// reportEndpointChanges reports the changes in a watch event to the checker. states has the states reported last.
func (c *controlPlane) reportEndpointChanges(states map[string]string, list *registry.EndpointList) {
	now := c.now()
	next := map[string]string{}
	for _, entry := range list.Targets {
		next[entry.UID] = entry.State
	}
	if list.Complete {
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
