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
	// supervisorFaultRecoveryMS is how long the effects of a supervisor fault may last after the end of the fault.
	supervisorFaultRecoveryMS = 5000
	// supervisorRequestTimeout bounds the wait for a leader, and a request to the supervisor, at the start of a fault.
	supervisorRequestTimeout = 2 * time.Second
	untilRunEndMS            = 1e12 // later than the end of any run
)

// beginFault reports to the checker which units a fault affects, and begins the fault at control-plane processes.
func (c *controlPlane) beginFault(ctx context.Context, fault *lab.Fault) error {
	c.announceFault(fault)
	if fault.Leader {
		c.resolveLeader(ctx, fault)
	}
	c.partitionReplicas(fault, true)
	switch fault.Kind {
	case lab.FaultKill:
		return forAll(c.affectedProcesses(fault), func(process *proc.Process) error {
			process.Kill()
			return nil
		})
	case lab.FaultFreeze:
		return signalAll(syscall.SIGSTOP, c.affectedProcesses(fault)...)
	case lab.FaultSupervisor:
		c.recordFailure(fault.Label, c.injectSupervisorFault(ctx, fault))
	}
	return nil
}

// endFault ends a fault at control-plane processes: it starts the killed ones, without waiting until they are ready, and
// continues the stopped ones.
func (c *controlPlane) endFault(ctx context.Context, fault *lab.Fault) error {
	c.partitionReplicas(fault, false)
	switch {
	case fault.Kind == lab.FaultFreeze:
		return signalAll(syscall.SIGCONT, c.affectedProcesses(fault)...)
	case fault.Kind == lab.FaultKill && ctx.Err() == nil:
		c.restartProcesses(ctx, fault)
	}
	return nil
}

// partitionReplicas partitions the replicas of a fault from the others, or ends the partition.
func (c *controlPlane) partitionReplicas(fault *lab.Fault, partitioned bool) {
	links := c.fleet.registryService.links
	if fault.Kind != lab.FaultPartition || links == nil {
		return
	}
	for _, replica := range fault.Replicas {
		links.Partition(replica, lab.RegistryReplicas, partitioned)
	}
}

// announceFault reports to the checker the units that the lab itself makes unavailable.
func (c *controlPlane) announceFault(fault *lab.Fault) {
	until := fault.EndMS + c.spec.DetectionMS
	if fault.EndMS == 0 {
		until = untilRunEndMS
	}
	switch fault.Kind {
	case lab.FaultSupervisor:
		c.checker.SupervisorFault(fault.Misbehaviour, fault.StartMS, max(fault.StartMS, fault.EndMS)+supervisorFaultRecoveryMS)
	case lab.FaultKill, lab.FaultFreeze, lab.FaultRestart, lab.FaultZoneOutage:
		for _, i := range fault.Servers {
			c.checker.FaultInjected(c.fleet.plan.Servers[i].UID, fault.StartMS, until)
		}
		for _, i := range fault.Sidecars {
			c.checker.FaultInjected(c.fleet.plan.Sidecars[i].Name, fault.StartMS, until)
		}
	}
}

// beginServerFault begins a fault at a server that the supervisor has started.
func (c *controlPlane) beginServerFault(ctx context.Context, server *server, fault *lab.Fault) error {
	switch fault.Kind {
	case lab.FaultKill, lab.FaultZoneOutage:
		return awaitSignalled(syscall.SIGKILL, c.signalUnit(server.plan.UID, syscall.SIGKILL)...)
	case lab.FaultRestart:
		c.recordFailure(fault.Label, c.restartUnit(ctx, server.plan.UID))
	default:
		server.setFault(fault, true) // the server process receives the effect in the BeginReply of each attempt
	}
	return nil
}

// endServerFault ends a fault at a server that the supervisor has started.
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

// startUnit makes the supervisor start a unit that a fault has killed, unless the unit has been started meanwhile.
func (c *controlPlane) startUnit(ctx context.Context, unit string) error {
	return c.changeUnit(ctx, unit, supervisor.Start)
}

// restartUnit makes the supervisor restart a unit, by the operation that planned restarts use.
func (c *controlPlane) restartUnit(ctx context.Context, unit string) error {
	return c.changeUnit(ctx, unit, supervisor.Restart)
}

// changeUnit makes the supervisor perform an operation on a unit with its current version and configuration. A unit that
// has been removed or started meanwhile stays unchanged, which is not an error.
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
		ID: fmt.Sprintf("lab/%s/%s/%d", op, unit, known.Incarnation), Op: op, Epoch: inventory.Epoch,
		Unit: unit, Incarnation: known.Incarnation,
		Kind: known.Kind, Version: known.Version, Listen: known.Listen, Zone: known.Zone, ConfigName: known.ConfigName,
	})
	return err
}

// resolveLeader sets the replica that a fault of the leader affects: the current leader, or replica 0 if there is none.
func (c *controlPlane) resolveLeader(ctx context.Context, fault *lab.Fault) {
	ctx, cancel := context.WithTimeout(ctx, supervisorRequestTimeout)
	defer cancel()
	leader, err := c.fleet.registryService.cluster.AwaitLeader(ctx)
	if err != nil {
		slog.Warn("no leader, the fault affects replica 0", "fault", fault.Label)
		fault.Replicas = []int{0}
		return
	}
	fault.Replicas = []int{leader.Index}
}

// affectedProcesses returns the processes of the control plane that a fault affects.
func (c *controlPlane) affectedProcesses(fault *lab.Fault) []*proc.Process {
	var processes []*proc.Process
	for _, index := range fault.Replicas {
		processes = append(processes, c.fleet.registryService.cluster.Replicas[index].Process)
	}
	for _, index := range fault.Agents {
		processes = append(processes, c.fleet.registryService.agents[index])
	}
	for _, controller := range c.affectedControllers(fault) {
		if process := controller.currentProcess(); process != nil {
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

// affectedControllers returns the controllers that a fault names.
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

// restartProcesses starts the replicas, agents and controllers that a fault has killed. It returns once replicas and
// controllers are started; the end of the run waits until agents and controllers are ready.
func (c *controlPlane) restartProcesses(ctx context.Context, fault *lab.Fault) {
	registryService := c.fleet.registryService
	c.recordFailure(fault.Label, forAll(fault.Replicas, func(index int) error {
		return registryService.cluster.Replicas[index].Start()
	}))
	for _, index := range fault.Agents {
		c.fleet.sidecarRestarts.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, controllerReadyTimeout)
			defer cancel()
			c.recordFailure(fault.Label, registryService.launchAgent(ctx, c.fleet.agents[index]))
		})
	}
	_ = forAll(c.affectedControllers(fault), func(controller *controller) error {
		c.restartController(ctx, controller, fault)
		return nil
	}) // the calls record their failures
}

// restartController starts a controller and returns once its process is started or has failed to start.
func (c *controlPlane) restartController(ctx context.Context, controller *controller, fault *lab.Fault) {
	killed := controller.currentProcess()
	startCtx, cancel := context.WithCancel(ctx)
	c.fleet.sidecarRestarts.Go(func() {
		defer cancel()
		c.recordFailure(fault.Label, controller.start(ctx))
	})
	for controller.currentProcess() == killed && sleep(startCtx, signalEffectPollInterval) {
	}
}

// supervisorFault is the body of a request to the stand-in supervisor's /faults.
type supervisorFault struct {
	Count      int    `json:"count"`
	DelayMS    int64  `json:"delay_ms"`
	DurationMS int64  `json:"for_ms"`
	Kind       string `json:"kind"`
	Operation  string `json:"on"`
}

// injectSupervisorFault makes the stand-in supervisor misbehave.
func (c *controlPlane) injectSupervisorFault(ctx context.Context, fault *lab.Fault) error {
	body, err := json.Marshal(supervisorFault{
		Kind: fault.Misbehaviour, Operation: fault.Operation, Count: fault.CallCount,
		DurationMS: int64(max(0, fault.EndMS-fault.StartMS)), DelayMS: int64(fault.DelayMS),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, supervisorRequestTimeout)
	defer cancel()
	url := "http://" + c.supervisorAddress() + "/faults"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
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
		err = fmt.Errorf("the supervisor answered %s: %s", response.Status, outputTail(output))
	}
	return err
}
