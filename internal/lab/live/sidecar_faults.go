package live

import (
	"context"
	"net"
	"syscall"

	"milldeck/internal/lab"
)

// restartSidecar stops a sidecar gracefully and starts it again.
func (f *fleet) restartSidecar(sidecar *sidecarProcess) {
	if f.controlPlane != nil {
		f.controlPlane.recordFailure("restart", f.controlPlane.restartUnit(f.ctx, f.plan.Sidecars[sidecar.number].Name))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := sidecar.stop(ctx); err != nil {
		f.checker.SidecarCrashed(f.now(), sidecar.number, err.Error())
	}
	f.startSidecar(sidecar)
}

// startSidecar starts a sidecar whose process has exited and waits until the sidecar is ready. A process that is not ready
// does not handle signals yet: SIGTERM would kill the process without a drain.
func (f *fleet) startSidecar(sidecar *sidecarProcess) {
	if f.ctx.Err() != nil {
		return
	}
	if f.controlPlane != nil {
		f.controlPlane.recordFailure("start of a sidecar", f.controlPlane.startUnit(f.ctx, f.plan.Sidecars[sidecar.number].Name))
		return
	}
	err := sidecar.start()
	if err == nil {
		err = sidecar.awaitReady(f.ctx)
	}
	logFaultFailure("start of a sidecar", err)
}

// reloadSidecar moves the discovery agent, writes the new address to the sidecar's configuration and makes the sidecar
// reload it.
func (f *fleet) reloadSidecar(sidecar *sidecarProcess) {
	agent := f.agents[sidecar.number]
	if f.registryService != nil {
		sidecar.signal(syscall.SIGHUP) // the real agents do not move: the configuration is reloaded as it is
		return
	}
	agent.mu.Lock()
	err := agent.relocate()
	agent.mu.Unlock()
	if err != nil {
		logFaultFailure("reload", err)
		return
	}
	sidecar.mu.Lock()
	err = sidecar.writeConfig(f.sidecarConfigPath(sidecar))
	sidecar.mu.Unlock()
	if err != nil {
		logFaultFailure("reload", err)
		return
	}
	sidecar.signal(syscall.SIGHUP)
}

// exhaustDescriptors keeps as many idle connections open to a sidecar as the sidecar may have sockets, until the fault
// ends.
func (f *fleet) exhaustDescriptors(ctx context.Context, sidecar *sidecarProcess, fault *lab.Fault) {
	var connections []net.Conn
	defer func() {
		for _, connection := range connections {
			connection.Close()
		}
	}()
	for f.now() < fault.EndMS && ctx.Err() == nil {
		connection, err := net.DialTimeout("tcp4", sidecar.address, dialTimeout)
		if err != nil || len(connections) >= f.plan.Experiment.Sidecars.Sockets {
			sleep(ctx, readyPollInterval)
		}
		if err != nil {
			continue
		}
		if connections = append(connections, connection); len(connections) > f.plan.Experiment.Sidecars.Sockets {
			connections[0].Close()
			connections = connections[1:]
		}
	}
}
