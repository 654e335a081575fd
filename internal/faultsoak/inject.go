package faultsoak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/faultsoak/shim"
)

// inject injects one fault. A fault with a set end expires by itself. For any other fault, inject returns when the fault is
// over.
func (s *soak) inject(planned fault) {
	target, srv := s.sidecars[planned.Sidecar], s.servers[planned.Server]
	until := time.Now().Add(planned.For)
	var err error
	switch planned.Kind {
	case faultTerminate:
		err = s.terminate(planned)
	case faultKill:
		err = target.kill(s.ctx)
	case faultReload:
		err = target.reload(planned.Signals)
	case faultSuspend:
		target.suspend(planned.For)
	case faultClockStep:
		s.stepClocks(planned.Step)
	case faultSystemCall:
		target.addRule(shim.Rule{Call: planned.Call, Errno: planned.Errno, Share: planned.Share, Until: until})
	case faultRestart:
		err = s.restartServer(srv)
	case faultDrain:
		s.drainServer(srv, planned.For, planned.Removed)
	case faultFreeze:
		srv.freeze(planned.For)
	case faultErrors, faultReset, faultCut, faultResponses, faultLateErrors:
		srv.faults.add(planned.Kind, until, planned.Share)
	case faultAgentDown, faultWatchSilent, faultWatchReset:
		s.disturbDiscovery(planned, target, until)
	case faultDisconnect, faultFlood, faultPipelining:
		s.clients[planned.Sidecar].faults.add(planned.Kind, until, planned.Share)
	case faultCrossing:
		s.clients[planned.Sidecar].crossIdleTimeouts(planned.At, s.generator("crossing", planned.Sidecar, int(planned.At)))
	case faultPartial:
		s.clients[planned.Sidecar].crowdPartialRequests(until, s.generator("partial", planned.Sidecar, int(planned.At)))
	case faultFast:
		s.clients[planned.Sidecar].sendAtFullSpeed(until)
	case faultIdle:
		s.clients[planned.Sidecar].holdIdleConnections(idleConnections, until)
	case faultDescriptorExhaustion:
		s.clients[planned.Sidecar].exhaustDescriptors(until)
	}
	if err != nil && s.ctx.Err() == nil {
		s.records.addViolation("soak", "", fmt.Sprintf("%v: %v", planned, err))
	}
}

// terminate terminates a sidecar while its clients send requests on all idle connections.
func (s *soak) terminate(planned fault) error {
	target, sidecarClients := s.sidecars[planned.Sidecar], s.clients[planned.Sidecar]
	random := s.generator("ending", planned.Sidecar, int(planned.At))
	sidecarClients.openIdle(random)
	ended := make(chan struct{})
	var using sync.WaitGroup
	using.Go(func() { sidecarClients.reuseIdle(ended, random) })
	err := target.terminate(s.ctx, planned.Signals, func() { close(ended) })
	using.Wait()
	return err
}

// stepClocks steps the wall clock that sidecars and servers share. For servers, the step changes only the boot times that the
// soak publishes afterwards.
func (s *soak) stepClocks(step time.Duration) {
	s.wallOffset.Add(int64(step))
	for _, target := range s.sidecars {
		target.stepClock(step)
	}
}

func (s *soak) disturbDiscovery(planned fault, target *sidecar, until time.Time) {
	for _, agentAt := range target.agents {
		switch planned.Kind {
		case faultAgentDown:
			agentAt.agent.goDown(until)
		case faultWatchSilent:
			agentAt.agent.silenceWatches()
		default:
			agentAt.agent.resetWatches()
		}
	}
	for _, srv := range s.servers {
		srv.mu.Lock()
		srv.watchFaultAt[target.number] = time.Now()
		srv.mu.Unlock()
	}
}

// freeze suspends the server's process for a time.
func (s *server) freeze(length time.Duration) {
	s.mu.Lock()
	process := s.process
	s.mu.Unlock()
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has exited
	time.Sleep(length)
	_ = process.Signal(syscall.SIGCONT)
}

// restartServer kills a server and starts it again. After the restart, the server is in slow start.
func (s *soak) restartServer(srv *server) error {
	if !srv.lifecycle.TryLock() {
		return nil // another restart or drain of the server is in progress
	}
	defer srv.lifecycle.Unlock()
	srv.mu.Lock()
	process := srv.process
	srv.mu.Unlock()
	process.Kill()
	time.Sleep(restartPause)
	startedAt := time.Now()
	if err := s.startServer(srv); err != nil {
		return err
	}
	time.Sleep(discoveryDelay)
	srv.startedAt = startedAt
	s.publish(srv, "Ready")
	return nil
}

// drainServer publishes a server as terminating, removes it from the list if removed is set, and publishes it as ready again.
func (s *soak) drainServer(srv *server, length time.Duration, removed bool) {
	if !srv.lifecycle.TryLock() {
		return
	}
	defer srv.lifecycle.Unlock()
	s.publish(srv, "Terminating")
	time.Sleep(drainNotice)
	if removed {
		s.publish(srv, "Gone")
	}
	time.Sleep(length)
	s.publish(srv, "Ready")
}

// publish changes the state of a server at all agents and records the time at which each sidecar has to know the change.
func (s *soak) publish(srv *server, state string) {
	entry := srv.entry
	entry.State = state
	if !srv.startedAt.IsZero() {
		entry.BootMS = srv.startedAt.Add(time.Duration(s.wallOffset.Load())).UnixMilli()
		if srv.entry.BootMS != 0 && srv.publishedStart.Equal(srv.startedAt) {
			entry.BootMS = srv.entry.BootMS // the same process keeps the boot time that was published, whatever clock steps came since
		}
	}
	srv.entry, srv.publishedStart = entry, srv.startedAt
	for _, target := range s.sidecars {
		s.publishTo(target, srv, entry)
	}
}

func (s *soak) publishTo(target *sidecar, srv *server, entry endpoint) {
	now := time.Now()
	knownAt := now
	agent := target.agents[0].agent
	agent.mu.Lock()
	downUntil := agent.downUntil
	agent.mu.Unlock()
	publish := func() {
		for _, at := range target.agents {
			at.agent.publishState(srv.number, entry)
		}
	}
	if downUntil.After(now) {
		knownAt = downUntil
		s.work.Go(func() {
			time.Sleep(time.Until(downUntil))
			publish()
		})
	} else {
		publish()
	}
	srv.mu.Lock()
	disturbedAt := srv.watchFaultAt[target.number]
	srv.mu.Unlock()
	if disturbed := disturbedAt.Add(watchFaultWindow).After(now); disturbed {
		knownAt = laterOf(knownAt, disturbedAt.Add(knownAfterWatchFault))
		if !s.plan.Push {
			knownAt = laterOf(knownAt, now.Add(knownAfterWatchFault))
		}
	}
	target.mu.Lock()
	if target.reloadedAt.Add(knownAfterReload).After(now) {
		knownAt = laterOf(knownAt, target.reloadedAt.Add(knownAfterReload))
	}
	target.mu.Unlock()
	s.records.addList(listRecord{
		Sidecar: target.number, Server: srv.number, publishedAt: now, KnownAt: knownAt, Withdrawn: entry.State != "Ready", StartedAt: srv.startedAt,
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
