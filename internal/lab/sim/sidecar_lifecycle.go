package sim

import (
	"maps"
	"slices"

	"milldeck/internal/lab"
)

// kill ends the sidecar at once, which closes its connections to clients and servers.
func (s *simSidecar) kill(now float64) {
	if !s.up {
		return
	}
	engine := s.engine
	s.up, s.frozen = false, false
	s.incarnation++
	s.events, s.actions, s.deferred, s.subscribed = nil, nil, nil, false
	engine.checker.ExcuseSidecar(s.index, now, now+2*clientDelayMS)
	engine.checker.SidecarRestarted(s.index)
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		s.requests[id].reset(now)
	}
	s.requests = map[uint64]*simRequest{}
	for serverIndex, idle := range s.idleConnections {
		engine.servers[serverIndex].connections -= len(idle)
	}
	s.idleConnections = map[int][]float64{}
}

// reset ends a request whose sidecar was killed.
func (r *simRequest) reset(now float64) {
	engine := r.sidecar.engine
	for _, attempt := range r.attempts {
		attempt.reset(now)
	}
	if r.clientDone {
		return
	}
	r.clientDone, r.answered = true, true
	engine.schedule(now+clientDelayMS, func(now float64) {
		engine.checker.RequestUnanswered(now, r.id, lab.OutcomeUnreachable)
		r.client.attemptDone(now, lab.OutcomeUnreachable, 0)
	})
}

// reset ends an attempt whose sidecar was killed.
func (a *simAttempt) reset(now float64) {
	if !a.inFlight {
		return
	}
	a.inFlight = false
	engine, server := a.sidecar.engine, a.server
	engine.checker.AttemptEnded(now, a.request.id, a.id, "its sidecar ended")
	if a.connected && a.serverIncarnation == server.incarnation {
		server.connections--
	}
	engine.schedule(now+server.plan.DelayByZone[a.sidecar.plan.Zone], func(now float64) { server.cancelAttempt(now, a) })
}

// restart ends the sidecar gracefully, as SIGTERM does, and starts it again.
func (s *simSidecar) restart(now float64) {
	if !s.up {
		return
	}
	incarnation := s.incarnation
	s.engine.schedule(now+drainNoticeMS, func(now float64) {
		if s.incarnation == incarnation {
			s.draining = true
			s.stopWhenDrained(now, now+drainTimeoutMS-drainNoticeMS, incarnation)
		}
	})
}

// stopWhenDrained ends the sidecar once all its requests have ended, at the latest at time until, and starts it again.
func (s *simSidecar) stopWhenDrained(now, until float64, incarnation int) {
	if s.incarnation != incarnation {
		return
	}
	if len(s.requests) > 0 && now < until {
		s.engine.schedule(now+10*s.engine.tickMS, func(now float64) { s.stopWhenDrained(now, until, incarnation) })
		return
	}
	s.kill(now)
	s.engine.schedule(now+startupMS, func(now float64) { s.start(now) })
}

// freeze suspends the sidecar, as SIGSTOP does, and excuses its late responses until excuseAfterMS after time until.
func (s *simSidecar) freeze(until float64) {
	if s.up && !s.frozen {
		s.frozen = true
		s.engine.checker.ExcuseSidecar(s.index, s.engine.now, until+excuseAfterMS)
	}
}

// unfreeze resumes the sidecar and runs the socket events that occurred while it was frozen.
func (s *simSidecar) unfreeze(now float64) {
	if !s.frozen {
		return
	}
	s.frozen = false
	s.schedule()
	deferred := s.deferred
	s.deferred = nil
	for _, run := range deferred {
		run(now)
	}
}
