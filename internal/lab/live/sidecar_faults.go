package live

import (
	"context"
	"net"
	"syscall"

	"milldeck/internal/lab"
)

// restartSidecar ends a sidecar as a planned restart does and starts it again.
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

// startSidecar starts a sidecar that has ended and waits until it is ready: told to end sooner, it would not have its
// signals in hand yet.
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

// reloadSidecar moves discovery and tells the sidecar with SIGHUP.
func (f *fleet) reloadSidecar(sidecar *sidecarProcess) {
	agent := f.agents[sidecar.number]
	if f.registryService != nil {
		sidecar.signal(syscall.SIGHUP) // an agent stays where it is
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

// exhaustDescriptors holds as many connections to a sidecar as it has descriptors, and says nothing on them.
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
