package live

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/lab"
)

const (
	restartPauseMS  = 100 // time between the exit of a server and its next start, as in package sim
	faultRecoveryMS = 500 // time after a freeze or partition in which responses may still be late
)

// injectFaults begins and ends the plan's faults, and starts and replaces servers, at their times. It returns once all
// faults have ended.
func (f *fleet) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := range f.plan.Faults {
		fault := &f.plan.Faults[i]
		group.Go(func() {
			if !sleep(ctx, milliseconds(fault.StartMS-f.now())) {
				return
			}
			slog.Debug("fault begins", "fault", fault.Label)
			f.beginFault(ctx, fault)
			if fault.EndMS == 0 {
				return
			}
			sleep(ctx, milliseconds(fault.EndMS-f.now()))
			f.endFault(ctx, fault)
		})
	}
	for _, server := range f.servers {
		if server.plan.StartMS > 0 {
			group.Go(func() {
				if sleep(ctx, milliseconds(server.plan.StartMS-f.now())) {
					f.startServer(server)
				}
			})
		}
		if server.plan.ReplacedMS > 0 {
			group.Go(func() {
				if sleep(ctx, milliseconds(server.plan.ReplacedMS-f.now())) {
					f.drainServer(ctx, server, false)
				}
			})
		}
	}
}

// logFaultFailure logs an action that the lab itself could not perform.
func logFaultFailure(action string, err error) {
	if err != nil {
		slog.Error("fault injection failed", "fault", action, "error", err)
	}
}

// beginFault begins a fault: on the control plane, then on servers, sidecars, and the network and discovery.
func (f *fleet) beginFault(ctx context.Context, fault *lab.Fault) {
	if f.controlPlane != nil {
		f.controlPlane.beginFault(ctx, fault)
	}
	for _, number := range fault.Servers {
		server := f.servers[number]
		if f.controlPlane != nil {
			f.controlPlane.beginServerFault(ctx, server, fault)
			continue
		}
		f.beginServerFault(ctx, server, fault)
	}
	for _, number := range fault.Sidecars {
		f.beginSidecarFault(ctx, f.sidecars[number], fault)
	}
	f.beginInfrastructureFault(fault)
}

// beginServerFault begins a fault on a modelled server that runs in this process.
func (f *fleet) beginServerFault(ctx context.Context, server *server, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill:
		server.exit()
		f.removeAfterSilence(server)
	case lab.FaultZoneOutage:
		f.network.update(func() { f.network.unreachableServers[server.number] = true })
		logFaultFailure(fault.Label, server.setSilent(true))
		f.removeAfterSilence(server)
	case lab.FaultRestart:
		go f.drainServer(ctx, server, true)
	case lab.FaultFreeze:
		f.network.update(func() { f.network.unreachableServers[server.number] = true })
	case lab.FaultConnectionRefused:
		for _, port := range server.ports {
			port.close()
		}
		server.resetConnections()
	case lab.FaultDiscoveryFalseRemoval:
		if f.publishedState(server) == stateReady {
			f.publishState(server, stateGone)
		}
	default:
		server.setFault(fault, true)
	}
}

// beginSidecarFault begins a fault on one sidecar process.
func (f *fleet) beginSidecarFault(ctx context.Context, sidecar *sidecarProcess, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill:
		sidecar.kill()
	case lab.FaultRestart:
		f.sidecarRestarts.Go(func() { f.restartSidecar(sidecar) })
	case lab.FaultFreeze:
		f.checker.ExcuseSidecar(sidecar.number, f.now()-timeoutToleranceMS, fault.EndMS+faultRecoveryMS)
		sidecar.signal(syscall.SIGSTOP)
	case lab.FaultReload:
		f.reloadSidecar(sidecar)
	case lab.FaultDescriptorExhaustion:
		go f.exhaustDescriptors(ctx, sidecar, fault)
	}
}

// beginInfrastructureFault begins a fault of the network, the registry or discovery.
func (f *fleet) beginInfrastructureFault(fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		f.network.update(func() { f.network.faults = append(f.network.faults, fault) })
		if fault.Kind == lab.FaultPartition {
			f.setPartition(fault, true)
		}
	case lab.FaultRegistryDown:
		f.registryService.killReplicas()
	case lab.FaultDiscoveryDown:
		f.discoveryDown.Store(true)
	case lab.FaultDiscoveryDelay:
		f.publishedMu.Lock()
		f.discoveryDelayMS += fault.DelayMS
		f.publishedMu.Unlock()
	}
}

// endFault ends a fault, in the same order as beginFault. It is also called when the run is interrupted, because a
// process that is stopped by SIGSTOP has to continue before it can exit.
func (f *fleet) endFault(ctx context.Context, fault *lab.Fault) {
	if f.controlPlane != nil {
		f.controlPlane.endFault(ctx, fault)
	}
	for _, number := range fault.Servers {
		server := f.servers[number]
		if f.controlPlane != nil {
			f.controlPlane.endServerFault(ctx, server, fault)
			continue
		}
		f.endServerFault(server, fault)
	}
	for _, number := range fault.Sidecars {
		f.endSidecarFault(ctx, f.sidecars[number], fault)
	}
	f.endInfrastructureFault(fault)
	if f.registryService == nil {
		for _, agent := range f.agents {
			agent.applyPending()
		}
	}
}

// endServerFault ends a fault on a modelled server that runs in this process.
func (f *fleet) endServerFault(server *server, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill:
		if !server.isUp() {
			f.startServer(server)
		}
	case lab.FaultZoneOutage:
		server.resetConnections()
		f.network.update(func() { delete(f.network.unreachableServers, server.number) })
		logFaultFailure(fault.Label, server.setSilent(false))
		if server.plan.ReplacedMS == 0 || f.now() < server.plan.ReplacedMS {
			f.startServer(server)
		}
	case lab.FaultFreeze:
		f.network.update(func() { delete(f.network.unreachableServers, server.number) })
	case lab.FaultConnectionRefused:
		logFaultFailure(fault.Label, server.listen())
	case lab.FaultDiscoveryFalseRemoval:
		if f.publishedState(server) == stateGone && server.isUp() {
			f.publishState(server, stateReady)
		}
	default:
		server.setFault(fault, false)
	}
}

// endSidecarFault ends a fault on one sidecar process.
func (f *fleet) endSidecarFault(ctx context.Context, sidecar *sidecarProcess, fault *lab.Fault) {
	switch {
	case fault.Kind == lab.FaultFreeze:
		sidecar.signal(syscall.SIGCONT)
	case fault.Kind == lab.FaultKill && ctx.Err() == nil:
		f.sidecarRestarts.Go(func() { f.startSidecar(sidecar) })
	}
}

// endInfrastructureFault ends a fault of the network, the registry or discovery.
func (f *fleet) endInfrastructureFault(fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		f.network.update(func() {
			f.network.faults = slices.DeleteFunc(f.network.faults, func(candidate *lab.Fault) bool { return candidate == fault })
		})
		if fault.Kind == lab.FaultPartition {
			f.setPartition(fault, false)
		}
	case lab.FaultRegistryDown:
		logFaultFailure(fault.Label, f.registryService.restartReplicas())
	case lab.FaultDiscoveryDown:
		f.discoveryDown.Store(false)
	case lab.FaultDiscoveryDelay:
		f.publishedMu.Lock()
		f.discoveryDelayMS -= fault.DelayMS
		f.publishedMu.Unlock()
	}
}

// setPartition makes the ports between partitioned endpoints silent, or accept connections again. At the start of a
// partition it excuses the sidecars that are partitioned from their own clients.
func (f *fleet) setPartition(fault *lab.Fault, active bool) {
	for number, process := range f.sidecars {
		sidecar, client := sidecarEnd(number), lab.LinkEnd{Kind: lab.ClientEnd, Index: number}
		if active && (fault.Affects(client, sidecar) || fault.Affects(sidecar, client)) {
			f.checker.ExcuseSidecar(process.number, f.now()-timeoutToleranceMS, fault.EndMS+faultRecoveryMS)
		}
		for _, target := range f.servers {
			server := lab.LinkEnd{Kind: lab.ServerEnd, Index: target.number}
			// A TCP handshake needs both directions.
			if fault.Affects(sidecar, server) || fault.Affects(server, sidecar) {
				logFaultFailure(fault.Label, target.ports[number].setSilent(active))
			}
		}
	}
}

// startServer starts a server, in slow start, and publishes it as ready.
func (f *fleet) startServer(server *server) {
	server.mu.Lock()
	overloaded := server.model.Overloaded()
	server.mu.Unlock()
	if overloaded {
		return // an overloaded server stays down for the rest of the run
	}
	if err := server.start(f.now(), true); err != nil {
		logFaultFailure("start of a server", err)
		return
	}
	f.publishState(server, stateReady)
}

// isUp reports whether the server's process runs.
func (s *server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// removeAfterSilence makes the stand-in discovery remove a server that no longer answers, after the time that failure
// detection takes. With the registry the server's lease expires instead.
func (f *fleet) removeAfterSilence(server *server) {
	if f.registryService != nil {
		return // the server's lease expires
	}
	server.mu.Lock()
	incarnation := server.incarnation
	server.mu.Unlock()
	delay := f.plan.Experiment.Discovery.FailureDetectionMS
	time.AfterFunc(milliseconds((delay.Min+delay.Max)/2), func() {
		server.mu.Lock()
		unchanged := server.incarnation == incarnation
		server.mu.Unlock()
		if unchanged && f.ctx.Err() == nil && f.publishedState(server) == stateReady {
			f.publishState(server, stateGone)
		}
	})
}

// drainServer publishes a server as terminating and stops the server after the drain time. If restart is set,
// drainServer starts the server again.
func (f *fleet) drainServer(ctx context.Context, server *server, restart bool) {
	if !server.isUp() || f.publishedState(server) != stateReady {
		return
	}
	f.publishState(server, stateTerminating)
	if !sleep(ctx, milliseconds(f.plan.DrainDurationMS())) || f.publishedState(server) != stateTerminating {
		return
	}
	server.exit()
	if !restart {
		f.publishState(server, stateGone)
	} else if sleep(ctx, restartPauseMS*time.Millisecond) {
		f.startServer(server)
	}
}

// setFault begins or ends a fault in the server's model.
func (s *server) setFault(fault *lab.Fault, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetFault(fault, active)
}
