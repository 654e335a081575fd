package live

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"syscall"
	"time"

	"milldeck/internal/lab"
	"milldeck/internal/lab/proc"
	"milldeck/internal/supervisor"
)

const (
	// supervisorFaultAftermathMS in ms is how long after a fault of the platform's its doing may still show.
	supervisorFaultAftermathMS = 5000
	// supervisorRequestTimeout bounds the question who leads, at the time of a fault.
	supervisorRequestTimeout = 2 * time.Second
	untilRunEndMS            = 1e12 // ms
)

// beginFault begins a fault at processes of the control plane, and tells the judge which units it befalls.
func (c *controlPlane) beginFault(ctx context.Context, fault *lab.Fault) {
	c.announceFault(fault)
	if fault.Leader {
		c.resolveLeader(ctx, fault)
	}
	for _, replica := range fault.Replicas {
		if links := c.fleet.registryService.links; fault.Kind == lab.FaultPartition && links != nil {
			links.Partition(replica, lab.RegistryReplicas, true)
		}
	}
	switch fault.Kind {
	case lab.FaultKill:
		for _, process := range c.affectedProcesses(fault) {
			process.Kill()
		}
	case lab.FaultFreeze:
		signalAll(syscall.SIGSTOP, c.affectedProcesses(fault)...)
	case lab.FaultSupervisor:
		c.recordFailure(fault.Label, c.injectSupervisorFault(ctx, fault))
	}
}

// endFault ends it: what was killed is started again, what was stopped goes on.
func (c *controlPlane) endFault(ctx context.Context, fault *lab.Fault) {
	for _, replica := range fault.Replicas {
		if links := c.fleet.registryService.links; fault.Kind == lab.FaultPartition && links != nil {
			links.Partition(replica, lab.RegistryReplicas, false)
		}
	}
	switch {
	case fault.Kind == lab.FaultFreeze:
		signalAll(syscall.SIGCONT, c.affectedProcesses(fault)...)
	case fault.Kind == lab.FaultKill && ctx.Err() == nil:
		c.recordFailure(fault.Label, c.restartProcesses(ctx, fault))
	}
}

// announceFault tells the judge of units that the lab itself takes out.
func (c *controlPlane) announceFault(fault *lab.Fault) {
	until := fault.EndMS + c.spec.DetectionMS
	if fault.EndMS == 0 {
		until = untilRunEndMS
	}
	switch fault.Kind {
	case lab.FaultSupervisor:
		c.checker.SupervisorFault(fault.Misbehaviour, fault.StartMS, max(fault.StartMS, fault.EndMS)+supervisorFaultAftermathMS)
	case lab.FaultKill, lab.FaultFreeze, lab.FaultRestart, lab.FaultZoneOutage:
		for _, i := range fault.Servers {
			c.checker.FaultInjected(c.fleet.plan.Servers[i].UID, fault.StartMS, until)
		}
		for _, i := range fault.Sidecars {
			c.checker.FaultInjected(c.fleet.plan.Sidecars[i].Name, fault.StartMS, until)
		}
	}
}

// beginServerFault begins a fault at a server that the platform has started.
func (c *controlPlane) beginServerFault(ctx context.Context, server *server, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill, lab.FaultZoneOutage:
		c.signalUnit(server.plan.UID, syscall.SIGKILL)
	case lab.FaultRestart:
		c.recordFailure(fault.Label, c.restartUnit(ctx, server.plan.UID))
	default:
		server.setFault(fault, true) // its process is told with each request
	}
}

// endServerFault ends it.
func (c *controlPlane) endServerFault(ctx context.Context, server *server, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill, lab.FaultZoneOutage:
		if ctx.Err() == nil {
			c.recordFailure(fault.Label, c.startUnit(ctx, server.plan.UID))
		}
	default:
		server.setFault(fault, false)
	}
}

// startUnit has the platform start a unit that a fault has killed, where nobody else has meanwhile.
func (c *controlPlane) startUnit(ctx context.Context, unit string) error {
	return c.changeUnit(ctx, unit, supervisor.Start)
}

// restartUnit has the platform restart a unit, as its planned restarts do.
func (c *controlPlane) restartUnit(ctx context.Context, unit string) error {
	return c.changeUnit(ctx, unit, supervisor.Restart)
}

// changeUnit asks the platform for one thing, as it was before. What others have done to the unit meanwhile is no trouble.
func (c *controlPlane) changeUnit(ctx context.Context, unit string, op supervisor.Op) error {
	inventory, err := c.supervisorClient.List(ctx)
	if err != nil {
		return err
	}
	known := inventory.Find(unit)
	if known == nil || op == supervisor.Start && known.State != supervisor.Exited {
		return nil
	}
	_, err = c.supervisorClient.Do(ctx, supervisor.Request{
		ID: fmt.Sprintf("lab/%s/%s/%d", op, unit, known.Incarnation), Op: op, Epoch: inventory.Epoch, Unit: unit, Incarnation: known.Incarnation,
		Kind: known.Kind, Version: known.Version, Listen: known.Listen, Zone: known.Zone, ConfigName: known.ConfigName,
	})
	return err
}

// resolveLeader finds who leads now, once for a fault.
func (c *controlPlane) resolveLeader(ctx context.Context, fault *lab.Fault) {
	ctx, cancel := context.WithTimeout(ctx, supervisorRequestTimeout)
	defer cancel()
	leader, err := c.fleet.registryService.cluster.AwaitLeader(ctx)
	if err != nil {
		slog.Warn("nobody leads, so that replica 0 is taken", "fault", fault.Label)
		fault.Replicas = []int{0}
		return
	}
	fault.Replicas = []int{leader.Index}
}

// affectedProcesses are the processes that a fault befalls.
func (c *controlPlane) affectedProcesses(fault *lab.Fault) []*proc.Process {
	var processes []*proc.Process
	for _, index := range fault.Replicas {
		processes = append(processes, c.fleet.registryService.cluster.Replicas[index].Process)
	}
	for _, index := range fault.Agents {
		processes = append(processes, c.fleet.registryService.agents[index])
	}
	for _, controller := range c.affectedControllers(fault) {
		if process := controller.runningProcess(); process != nil {
			processes = append(processes, process)
		}
	}
	if fault.Supervisor {
		c.mu.Lock()
		processes = append(processes, c.supervisor)
		c.mu.Unlock()
	}
	return processes
}

// affectedControllers are the controllers that a fault names.
func (c *controlPlane) affectedControllers(fault *lab.Fault) []*controller {
	var controllers []*controller
	for _, name := range fault.Controllers {
		for _, controller := range c.controllers {
			if controller.spec.Name == name {
				controllers = append(controllers, controller)
			}
		}
	}
	return controllers
}

// restartProcesses starts what a fault has killed.
func (c *controlPlane) restartProcesses(ctx context.Context, fault *lab.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, controllerReadyTimeout)
	defer cancel()
	for _, index := range fault.Replicas {
		if err := c.fleet.registryService.cluster.Replicas[index].Start(); err != nil {
			return err
		}
	}
	for _, index := range fault.Agents {
		if err := c.fleet.registryService.launchAgent(ctx, c.fleet.agents[index]); err != nil {
			return err
		}
	}
	for _, controller := range c.affectedControllers(fault) {
		if err := controller.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// injectSupervisorFault has the platform do wrong.
func (c *controlPlane) injectSupervisorFault(ctx context.Context, fault *lab.Fault) error {
	body, err := json.Marshal(map[string]any{
		"kind": fault.Misbehaviour, "on": fault.Operation, "count": fault.CallCount, "for_ms": int64(max(0, fault.EndMS-fault.StartMS)), "delay_ms": int64(fault.DelayMS),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, supervisorRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.supervisorAddress()+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	output, err := io.ReadAll(io.LimitReader(response.Body, maxOutputBytes))
	if err == nil && response.StatusCode/100 != 2 {
		err = fmt.Errorf("the platform answers %s: %s", response.Status, outputTail(output))
	}
	return err
}
