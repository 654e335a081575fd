package live

import (
	"context"
	"errors"
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
		group.Go(func() { f.injectFault(ctx, i) })
	}
	for _, server := range f.servers {
		if server.plan.StartMS > 0 {
			group.Go(func() { f.startReplacement(ctx, server) })
		}
		if server.plan.ReplacedMS > 0 {
			group.Go(func() { f.replaceServer(ctx, server) })
		}
	}
}

// injectFault begins and ends one fault, and records when it was in force and when it had ended. Both are measured once the
// last port, link or process has changed.
func (f *fleet) injectFault(ctx context.Context, number int) {
	fault := &f.plan.Faults[number]
	if !sleep(ctx, milliseconds(fault.StartMS-f.now())) {
		return
	}
	slog.Debug("fault begins", "fault", fault.Label)
	err := f.beginFault(ctx, fault)
	logFaultFailure(fault.Label, err)
	f.recorder.FaultInForce(number, f.now(), err)
	if fault.EndMS == 0 {
		return
	}
	sleep(ctx, milliseconds(fault.EndMS-f.now()))
	err = f.endFault(ctx, fault)
	logFaultFailure(fault.Label, err)
	f.recorder.FaultEnded(number, f.now(), err)
}

// startReplacement starts a server that replaces another one.
func (f *fleet) startReplacement(ctx context.Context, server *server) {
	if !sleep(ctx, milliseconds(server.plan.StartMS-f.now())) {
		return
	}
	err := f.startServer(server)
	logFaultFailure("start of a server", err)
	f.recorder.ServerReplaced(server.plan.StartMS, f.now(), err)
}

// replaceServer drains and stops a server that is replaced by another one.
func (f *fleet) replaceServer(ctx context.Context, server *server) {
	if !sleep(ctx, milliseconds(server.plan.ReplacedMS-f.now())) {
		return
	}
	draining := f.beginDrain(server)
	f.recorder.ServerReplaced(server.plan.ReplacedMS, f.now(), nil)
	if draining {
		f.finishDrain(ctx, server, false)
	}
}

// logFaultFailure logs an action that the lab itself could not perform.
func logFaultFailure(action string, err error) {
	if err != nil {
		slog.Error("fault injection failed", "fault", action, "error", err)
	}
}

// beginFault begins a fault: on the control plane, then on servers, sidecars, and the network and discovery. It returns once
// the fault is in force.
func (f *fleet) beginFault(ctx context.Context, fault *lab.Fault) error {
	if f.controlPlane != nil {
		if err := f.controlPlane.beginFault(ctx, fault); err != nil {
			return err
		}
	}
	if f.makesUnreachable(fault) {
		f.network.setUnreachable(fault.Servers, true)
	}
	err := forAll(fault.Servers, func(number int) error {
		if f.controlPlane != nil {
			return f.controlPlane.beginServerFault(ctx, f.servers[number], fault)
		}
		return f.beginServerFault(ctx, f.servers[number], fault)
	})
	if err != nil {
		return err
	}
	err = forAll(fault.Sidecars, func(number int) error { return f.beginSidecarFault(ctx, f.sidecars[number], fault) })
	if err != nil {
		return err
	}
	return f.beginInfrastructureFault(fault)
}

// makesUnreachable reports whether nothing passes between the servers of a fault and any sidecar. Servers that a supervisor
// has started are killed instead.
func (f *fleet) makesUnreachable(fault *lab.Fault) bool {
	return f.controlPlane == nil && (fault.Kind == lab.FaultZoneOutage || fault.Kind == lab.FaultFreeze)
}

// reconnectServers makes the servers of a fault reachable. The connections to lost servers are reset before that, so that
// nothing passes on them any more.
func (f *fleet) reconnectServers(fault *lab.Fault) {
	if fault.Kind == lab.FaultZoneOutage {
		_ = forAll(fault.Servers, func(number int) error {
			f.servers[number].resetConnections()
			return nil
		}) // a reset does not fail
	}
	f.network.setUnreachable(fault.Servers, false)
}

// beginServerFault begins a fault on a modelled server that runs in this process.
func (f *fleet) beginServerFault(ctx context.Context, server *server, fault *lab.Fault) error {
	switch fault.Kind {
	case lab.FaultKill:
		err := server.exit()
		f.removeAfterSilence(server) // after the exit, which ends the incarnation
		return err
	case lab.FaultZoneOutage:
		f.removeAfterSilence(server)
		return server.setSilent(true)
	case lab.FaultRestart:
		if f.beginDrain(server) {
			go f.finishDrain(ctx, server, true)
		}
	case lab.FaultFreeze: // the network is all that it affects
	case lab.FaultConnectionRefused:
		err := server.refuse()
		server.resetConnections()
		return err
	case lab.FaultDiscoveryFalseRemoval:
		if f.publishedState(server) == stateReady {
			f.publishState(server, stateGone)
		}
	default:
		server.setFault(fault, true)
	}
	return nil
}

// beginSidecarFault begins a fault on one sidecar process.
func (f *fleet) beginSidecarFault(ctx context.Context, sidecar *sidecarProcess, fault *lab.Fault) error {
	switch fault.Kind {
	case lab.FaultKill:
		return sidecar.kill()
	case lab.FaultRestart:
		f.restartSidecar(ctx, sidecar)
	case lab.FaultFreeze:
		f.checker.ExcuseSidecar(sidecar.number, f.now()-timeoutToleranceMS, fault.EndMS+faultRecoveryMS)
		return sidecar.signal(syscall.SIGSTOP)
	case lab.FaultReload:
		return f.reloadSidecar(sidecar)
	case lab.FaultDescriptorExhaustion:
		return f.beginExhaustion(ctx, sidecar, fault)
	}
	return nil
}

// beginInfrastructureFault begins a fault of the network, the registry or discovery.
func (f *fleet) beginInfrastructureFault(fault *lab.Fault) error {
	switch fault.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		f.network.update(func() { f.network.faults = append(f.network.faults, fault) })
		if fault.Kind == lab.FaultPartition {
			return f.setPartition(fault, true)
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
	return nil
}

// endFault ends a fault, in the same order as beginFault, and returns once it has ended. It ends the other parts of a fault
// even if one part fails. It is also called when the run is interrupted, because a process that is stopped by SIGSTOP has to
// continue before it can exit.
func (f *fleet) endFault(ctx context.Context, fault *lab.Fault) error {
	var errs []error
	if f.controlPlane != nil {
		errs = append(errs, f.controlPlane.endFault(ctx, fault))
	}
	if f.makesUnreachable(fault) {
		f.reconnectServers(fault)
	}
	errs = append(errs, forAll(fault.Servers, func(number int) error {
		if f.controlPlane != nil {
			f.controlPlane.endServerFault(ctx, f.servers[number], fault)
			return nil
		}
		return f.endServerFault(f.servers[number], fault)
	}))
	errs = append(errs, forAll(fault.Sidecars, func(number int) error {
		return f.endSidecarFault(ctx, f.sidecars[number], fault)
	}))
	errs = append(errs, f.endInfrastructureFault(fault))
	if f.registryService == nil {
		for _, agent := range f.agents {
			agent.applyPending()
		}
	}
	return errors.Join(errs...)
}

// endServerFault ends a fault on a modelled server that runs in this process.
func (f *fleet) endServerFault(server *server, fault *lab.Fault) error {
	switch fault.Kind {
	case lab.FaultKill:
		if !server.isUp() {
			return f.startServer(server)
		}
	case lab.FaultZoneOutage:
		if err := server.setSilent(false); err != nil {
			return err
		}
		if server.plan.ReplacedMS == 0 || f.now() < server.plan.ReplacedMS {
			return f.startServer(server)
		}
	case lab.FaultFreeze: // the network is all that it affects
	case lab.FaultConnectionRefused:
		return server.listen()
	case lab.FaultDiscoveryFalseRemoval:
		if f.publishedState(server) == stateGone && server.isUp() {
			f.publishState(server, stateReady)
		}
	default:
		server.setFault(fault, false)
	}
	return nil
}

// endSidecarFault ends a fault on one sidecar process.
func (f *fleet) endSidecarFault(ctx context.Context, sidecar *sidecarProcess, fault *lab.Fault) error {
	switch {
	case fault.Kind == lab.FaultFreeze:
		return sidecar.signal(syscall.SIGCONT)
	case fault.Kind == lab.FaultDescriptorExhaustion:
		f.endExhaustion(sidecar, fault)
	case fault.Kind == lab.FaultKill && ctx.Err() == nil:
		return f.startSidecar(sidecar)
	}
	return nil
}

// endInfrastructureFault ends a fault of the network, the registry or discovery.
func (f *fleet) endInfrastructureFault(fault *lab.Fault) error {
	switch fault.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		f.network.update(func() {
			f.network.faults = slices.DeleteFunc(f.network.faults, func(candidate *lab.Fault) bool { return candidate == fault })
		})
		if fault.Kind == lab.FaultPartition {
			return f.setPartition(fault, false)
		}
	case lab.FaultRegistryDown:
		return f.registryService.restartReplicas()
	case lab.FaultDiscoveryDown:
		f.discoveryDown.Store(false)
	case lab.FaultDiscoveryDelay:
		f.publishedMu.Lock()
		f.discoveryDelayMS -= fault.DelayMS
		f.publishedMu.Unlock()
	}
	return nil
}

// setPartition makes the ports between partitioned endpoints silent, or accept connections again. At the start of a
// partition it excuses the sidecars that are partitioned from their own clients.
func (f *fleet) setPartition(fault *lab.Fault, active bool) error {
	var ports []*port
	for number, process := range f.sidecars {
		sidecar, client := sidecarEnd(number), lab.LinkEnd{Kind: lab.ClientEnd, Index: number}
		if active && (fault.Affects(client, sidecar) || fault.Affects(sidecar, client)) {
			f.checker.ExcuseSidecar(process.number, f.now()-timeoutToleranceMS, fault.EndMS+faultRecoveryMS)
		}
		for _, target := range f.servers {
			server := lab.LinkEnd{Kind: lab.ServerEnd, Index: target.number}
			// A TCP handshake needs both directions.
			if fault.Affects(sidecar, server) || fault.Affects(server, sidecar) {
				ports = append(ports, target.ports[number])
			}
		}
	}
	return forAll(ports, func(port *port) error { return port.setSilent(active) })
}

// startServer starts a server, in slow start, and publishes it as ready.
func (f *fleet) startServer(server *server) error {
	server.mu.Lock()
	overloaded := server.model.Overloaded()
	server.mu.Unlock()
	if overloaded {
		return nil // an overloaded server stays down for the rest of the run
	}
	if err := server.start(f.now(), true); err != nil {
		return err
	}
	f.publishState(server, stateReady)
	return nil
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

// beginDrain publishes a server as terminating. It returns false if the server is not in service.
func (f *fleet) beginDrain(server *server) bool {
	if !server.isUp() || f.publishedState(server) != stateReady {
		return false
	}
	f.publishState(server, stateTerminating)
	return true
}

// finishDrain stops a terminating server after the drain time. If restart is set, finishDrain starts the server again.
func (f *fleet) finishDrain(ctx context.Context, server *server, restart bool) {
	if !sleep(ctx, milliseconds(f.plan.DrainDurationMS())) || f.publishedState(server) != stateTerminating {
		return
	}
	logFaultFailure("exit of a server", server.exit())
	if !restart {
		f.publishState(server, stateGone)
	} else if sleep(ctx, restartPauseMS*time.Millisecond) {
		logFaultFailure("start of a server", f.startServer(server))
	}
}

// setFault begins or ends a fault in the server's model.
func (s *server) setFault(fault *lab.Fault, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetFault(fault, active)
}
