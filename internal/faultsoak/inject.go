package faultsoak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"milldeck/internal/faultsoak/shim"
)

// inject injects one fault and returns when it is over.
func (s *soak) inject(planned fault) {
	target, of := s.sidecars[planned.Sidecar], s.servers[planned.Server]
	until := time.Now().Add(planned.For)
	var err error
	switch planned.Kind {
	case faultTerminate:
		err = s.terminate(planned)
	case faultKill:
		err = target.kill(s.ctx)
	case faultReload:
		err = target.reload(planned.Series)
	case faultHold:
		target.hold(planned.For)
	case faultClockStep:
		s.stepClocks(planned.Step)
	case faultSystemCall:
		target.addRule(shim.Rule{Call: planned.Call, Errno: planned.Errno, Share: planned.Share, Until: until})
	case faultRestart:
		err = s.restartServer(of)
	case faultDrain:
		s.drainServer(of, planned.For, planned.Removed)
	case faultFreeze:
		of.freeze(planned.For)
	case faultErrors, faultReset, faultCut, faultResponses:
		of.faults.begin(planned.Kind, until, planned.Share)
	case faultAgentDown, faultWatchSilent, faultWatchReset:
		s.disturbDiscovery(planned, target, until)
	case faultLeaving, faultFlood, faultPipelining:
		s.clients[planned.Sidecar].faults.begin(planned.Kind, until, planned.Share)
	case faultIdle:
		s.clients[planned.Sidecar].hold(idleConnections, until)
	case faultCrowd:
		s.clients[planned.Sidecar].crowd(until)
	}
	if err != nil && s.ctx.Err() == nil {
		s.records.violate("soak", "", fmt.Sprintf("%v: %v", planned, err))
	}
}

// terminate ends a sidecar while its clients use every connection that is open.
func (s *soak) terminate(planned fault) error {
	target, of := s.sidecars[planned.Sidecar], s.clients[planned.Sidecar]
	random := s.generator("ending", planned.Sidecar, int(planned.At))
	of.openIdle(random)
	ended := make(chan struct{})
	var using sync.WaitGroup
	using.Go(func() { of.useOpen(ended, random) })
	err := target.terminate(s.ctx, planned.Series, func() { close(ended) })
	using.Wait()
	return err
}

// stepClocks steps the one wall clock that all machines read.
func (s *soak) stepClocks(step time.Duration) {
	s.wallStep.Add(int64(step))
	for _, target := range s.sidecars {
		target.stepClock(step)
	}
}

func (s *soak) disturbDiscovery(planned fault, target *sidecar, until time.Time) {
	for _, at := range target.agents {
		switch planned.Kind {
		case faultAgentDown:
			at.agent.goDown(until)
		case faultWatchSilent:
			at.agent.silenceWatches()
		default:
			at.agent.resetWatches()
		}
	}
	for _, of := range s.servers {
		of.mu.Lock()
		of.watchFault[target.number] = time.Now()
		of.mu.Unlock()
	}
}

// freeze stops the process for a time.
func (s *server) freeze(length time.Duration) {
	s.mu.Lock()
	process := s.process
	s.mu.Unlock()
	_ = process.Signal(syscall.SIGSTOP) // of a process that has ended there is nothing to stop
	time.Sleep(length)
	_ = process.Signal(syscall.SIGCONT)
}

// restartServer kills a server and starts it again, in slow start.
func (s *soak) restartServer(of *server) error {
	if !of.lifecycle.TryLock() {
		return nil // it is out for another reason
	}
	defer of.lifecycle.Unlock()
	of.mu.Lock()
	process := of.process
	of.mu.Unlock()
	process.Kill()
	time.Sleep(restartPause)
	startedAt := time.Now()
	if err := s.startServer(of); err != nil {
		return err
	}
	time.Sleep(noticeDelay)
	of.startedAt = startedAt
	s.publish(of, "Ready")
	return nil
}

// drainServer announces a server as terminating, removes it, and has it return.
func (s *soak) drainServer(of *server, length time.Duration, removed bool) {
	if !of.lifecycle.TryLock() {
		return
	}
	defer of.lifecycle.Unlock()
	s.publish(of, "Terminating")
	time.Sleep(drainAnnounced)
	if removed {
		s.publish(of, "Gone")
	}
	time.Sleep(length)
	s.publish(of, "Ready")
}

// publish changes the state of a server at all agents, and records from when on each sidecar has to know it.
func (s *soak) publish(of *server, state string) {
	entry := of.entry
	entry.State = state
	if !of.startedAt.IsZero() {
		entry.BootMS = of.startedAt.Add(time.Duration(s.wallStep.Load())).UnixMilli()
		if of.entry.BootMS != 0 && of.publishedStart.Equal(of.startedAt) {
			entry.BootMS = of.entry.BootMS // the same process: it keeps the time that it was started at
		}
	}
	of.entry, of.publishedStart = entry, of.startedAt
	for _, target := range s.sidecars {
		s.publishTo(target, of, entry)
	}
}

func (s *soak) publishTo(target *sidecar, of *server, entry endpoint) {
	now := time.Now()
	known := now
	agent := target.agents[0].agent
	agent.mu.Lock()
	down := agent.downUntil
	agent.mu.Unlock()
	publish := func() {
		for _, at := range target.agents {
			at.agent.publishState(of.number, entry)
		}
	}
	if down.After(now) {
		known = down
		s.work.Go(func() {
			time.Sleep(time.Until(down))
			publish()
		})
	} else {
		publish()
	}
	of.mu.Lock()
	disturbedAt := of.watchFault[target.number]
	of.mu.Unlock()
	if disturbed := disturbedAt.Add(watchFaultMemory).After(now); disturbed {
		known = laterOf(known, disturbedAt.Add(countsAfter))
		if !s.plan.Push {
			known = laterOf(known, now.Add(countsAfter))
		}
	}
	target.mu.Lock()
	if target.reloadedAt.Add(countsAfterHUP).After(now) {
		known = laterOf(known, target.reloadedAt.Add(countsAfterHUP))
	}
	target.mu.Unlock()
	s.records.addList(listRecord{
		Sidecar: target.number, Server: of.number, publishedAt: now, KnownAt: known, Withdrawn: entry.State != "Ready", StartedAt: of.startedAt,
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
