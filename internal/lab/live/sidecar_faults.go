package live

import (
	"context"
	"syscall"
)

// restartSidecar requests a sidecar to stop, and starts it again once it has stopped.
func (f *fleet) restartSidecar(ctx context.Context, sidecar *sidecarProcess) {
	if f.controlPlane != nil {
		f.controlPlane.recordFailure("restart", f.controlPlane.restartUnit(ctx, f.plan.Sidecars[sidecar.number].Name))
		return
	}
	process := sidecar.requestStop()
	f.sidecarRestarts.Go(func() {
		if process != nil {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			if err := process.AwaitStop(ctx); err != nil {
				f.checker.SidecarCrashed(f.now(), sidecar.number, err.Error())
			}
		}
		logFaultFailure("start of a sidecar", f.startSidecar(sidecar))
	})
}

// startSidecar starts a sidecar whose process has exited. The end of the run waits until the sidecar is ready, because a
// process that is not ready does not handle signals yet: SIGTERM would kill the process without a drain.
func (f *fleet) startSidecar(sidecar *sidecarProcess) error {
	if f.ctx.Err() != nil {
		return nil
	}
	if f.controlPlane != nil {
		f.controlPlane.recordFailure("start of a sidecar", f.controlPlane.startUnit(f.ctx, f.plan.Sidecars[sidecar.number].Name))
		return nil
	}
	if err := sidecar.start(); err != nil {
		return err
	}
	f.sidecarRestarts.Go(func() { logFaultFailure("start of a sidecar", sidecar.awaitReady(f.ctx)) })
	return nil
}

// reloadSidecar moves the discovery agent, writes the new address to the sidecar's configuration and makes the sidecar
// reload it.
func (f *fleet) reloadSidecar(sidecar *sidecarProcess) error {
	agent := f.agents[sidecar.number]
	if f.registryService != nil {
		return sidecar.signal(syscall.SIGHUP) // the real agents do not move: the configuration is reloaded as it is
	}
	agent.mu.Lock()
	err := agent.relocate()
	agent.mu.Unlock()
	if err != nil {
		return err
	}
	sidecar.mu.Lock()
	err = sidecar.writeConfig(f.sidecarConfigPath(sidecar))
	sidecar.mu.Unlock()
	if err != nil {
		return err
	}
	return sidecar.signal(syscall.SIGHUP)
}
