package sim

import (
	"errors"
	"maps"
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

var errUnknownTarget = errors.New("the instance sends a request or to a server that it was not given")

// simServer is one server with the faults it suffers.
type simServer struct {
	engine *engine
	index  int
	plan   *lab.ServerPlan
	model  *lab.Server
	id     balance.ServerID

	up          bool // its process runs
	incarnation int
	vanished    bool // its machine says nothing
	frozen      bool
	refusing    bool
	listed      bool // discovery has it, ready
	startedAt   float64

	connections int
	inFlight    map[int64]*attempt // those that it holds
	waiting     []*attempt         // that came while it was frozen
	wakeAt      float64            // when it is next looked at; 0: not
}

func (s *simServer) endpoint(state balance.ServerState, startedAt float64) balance.Server {
	return balance.Server{
		ID: s.id, State: state, StartedAt: startedAt, RelativeCapacity: 1, Cell: s.plan.Cell, Zone: s.plan.Zone, Kind: s.plan.KindIndex,
	}
}

// receive brings an attempt's request.
func (s *simServer) receive(now float64, attempt *attempt) {
	engine := s.engine
	switch {
	case s.vanished || engine.isPartitioned(lab.Endpoint{Kind: lab.SidecarEndpoint, Index: attempt.sidecar.index}, lab.Endpoint{Kind: lab.ServerEndpoint, Index: s.index}):
		return
	case s.frozen:
		s.waiting = append(s.waiting, attempt)
		return
	case !s.up || attempt.serverIncarnation != s.incarnation:
		s.sendResult(now, attempt, balance.ConnectFailed)
		return
	}
	engine.checker.AttemptReceived(now, attempt.sentAt, attempt.request.id, attempt.id, attempt.sidecar.index, s.index)
	if !attempt.inFlight { // given up while it was on its way
		engine.checker.AttemptEnded(now, attempt.request.id, attempt.id, "given up")
		return
	}
	attempt.arrived = true
	s.advance(now)
	arrival := &attempt.request.client.Arrival
	view, told := attempt.sidecar.endpoints[s.index]
	accepted := false
	if s.connections <= s.plan.Spec.MaxConnections {
		var overload *lab.SlowStartOverload
		accepted, overload = s.model.Offer(now, lab.Job{
			Attempt: attempt.id, Request: attempt.request.id, Class: arrival.Class, Key: arrival.Key, EffectID: arrival.EffectID, WorkMS: arrival.WorkMS,
			ExpiresAt: attempt.deadline, SenderInformed: told && view.startedAt == s.startedAt,
		})
		if overload != nil {
			engine.checker.ServerOverloaded(now, s.index, overload)
			s.crash(now)
			s.scheduleRemoval(now)
			s.sendResult(now, attempt, balance.Reset)
			return
		}
	}
	if !accepted {
		s.sendResult(now, attempt, balance.Overloaded)
		return
	}
	s.inFlight[attempt.id] = attempt
	s.scheduleAdvance()
}

// addBackgroundWork adds work that nobody waits for.
func (s *simServer) addBackgroundWork(now, ms float64) {
	if !s.up || ms <= 0 {
		return
	}
	s.advance(now)
	if _, overload := s.model.Offer(now, lab.Job{WorkMS: ms}); overload != nil {
		s.engine.checker.ServerOverloaded(now, s.index, overload)
		s.crash(now)
		s.scheduleRemoval(now)
	}
	s.scheduleAdvance()
}

// scheduleAdvance sets the time at which the server is looked at again.
func (s *simServer) scheduleAdvance() {
	next := s.model.Next()
	if s.frozen || math.IsInf(next, 1) || s.wakeAt != 0 && s.wakeAt <= next {
		return
	}
	s.wakeAt = next
	s.engine.schedule(next, func(now float64) {
		if s.wakeAt != next { // an earlier look has taken its place
			return
		}
		s.wakeAt = 0
		if !s.frozen && s.up {
			s.advance(now)
			s.scheduleAdvance()
		}
	})
}

func (s *simServer) advance(now float64) {
	if s.frozen {
		return
	}
	s.model.Advance(now, func(end lab.JobCompletion) { s.jobDone(now, end) })
}

// jobDone: a job has ended; its answer, if it gets that far, goes back.
func (s *simServer) jobDone(now float64, completion lab.JobCompletion) {
	engine := s.engine
	if engine.hotKeys != nil {
		engine.hotKeys.checker.JobCompleted(s.index, &completion)
	}
	if completion.Result != lab.JobExpired {
		engine.checker.RequestExecuted(completion.At, completion.Request, s.index, completion.EffectApplied)
	}
	attempt := s.inFlight[completion.Attempt]
	delete(s.inFlight, completion.Attempt)
	if attempt == nil || !attempt.inFlight || s.model.Unresponsive {
		return
	}
	switch {
	case completion.Result == lab.JobExpired:
		s.sendResult(now, attempt, balance.Overloaded)
	case completion.Result == lab.JobFailed:
		s.sendResult(now, attempt, balance.Failed)
	case s.model.ResetShare > 0 && engine.rng.Float64() < s.model.ResetShare, s.model.CorruptShare > 0 && engine.rng.Float64() < s.model.CorruptShare:
		s.sendResult(now, attempt, balance.Reset) // of a spoilt answer the sidecar closes the connection
	default:
		engine.checker.ResponseProduced(now, completion.Request, s.index)
		s.sendResult(now, attempt, balance.OK)
	}
}

// sendResult sends what becomes of an attempt to its sidecar.
func (s *simServer) sendResult(now float64, attempt *attempt, result balance.Result) {
	delay, passes := s.engine.networkDelay(attempt.sidecar, s, false)
	if passes && !s.vanished {
		s.engine.schedule(now+delay, func(now float64) { attempt.finish(now, result) })
	}
}

// cancelAttempt: the sidecar has given an attempt up and closed its connection.
func (s *simServer) cancelAttempt(now float64, attempt *attempt) {
	if s.inFlight[attempt.id] != nil && s.up && !s.frozen && !s.vanished {
		s.advance(now)
		if s.model.Cancel(now, attempt.id) {
			delete(s.inFlight, attempt.id)
		}
		s.scheduleAdvance()
	}
}

// crash ends the process: what it held is reset.
func (s *simServer) crash(now float64) {
	if !s.up {
		return
	}
	s.up = false
	s.resetConnections(now, balance.Reset)
}

// resetConnections ends all that came of the life of a process.
func (s *simServer) resetConnections(now float64, result balance.Result) {
	s.incarnation++
	s.connections = 0
	for _, id := range slices.Sorted(maps.Keys(s.inFlight)) {
		s.sendResult(now, s.inFlight[id], result)
	}
	s.inFlight = map[int64]*attempt{}
	for _, sidecar := range s.engine.sidecars {
		delete(sidecar.idleConnections, s.index)
	}
}

// boot starts the process anew, cold, and lists it.
func (s *simServer) boot(now float64) {
	if s.model.Overloaded() {
		return // it stays down
	}
	s.vanished, s.up, s.startedAt, s.listed = false, true, now, true
	s.model.Start(now, true)
	s.engine.publishEndpoint(now, s, balance.Ready)
}

// scheduleRemoval has discovery find out, late, that the server is gone.
func (s *simServer) scheduleRemoval(now float64) {
	incarnation := s.incarnation
	detection := s.engine.plan.Experiment.Discovery.FailureDetectionMS
	s.engine.schedule(now+detection.Min+(detection.Max-detection.Min)*s.engine.rng.Float64(), func(now float64) {
		if s.listed && s.incarnation == incarnation && (!s.up || s.vanished) {
			s.listed = false
			s.engine.publishEndpoint(now, s, balance.Removed)
		}
	})
}

// drain drains the server and ends it; again has it start anew.
func (s *simServer) drain(now float64, restart bool) {
	if !s.up || !s.listed {
		return
	}
	s.listed = false
	s.engine.publishEndpoint(now, s, balance.Draining)
	incarnation := s.incarnation
	s.engine.schedule(now+s.engine.plan.DrainDurationMS(), func(now float64) {
		if s.incarnation != incarnation || s.listed {
			return
		}
		s.crash(now)
		if restart {
			s.engine.schedule(now+startupMS, func(now float64) { s.boot(now) })
		} else {
			s.engine.publishEndpoint(now, s, balance.Removed)
		}
	})
}

// publishEndpoint tells all sidecars of a server, each after its own time.
func (e *engine) publishEndpoint(now float64, server *simServer, state balance.ServerState) {
	update := endpointUpdate{server, state, server.startedAt}
	for _, sidecar := range e.sidecars {
		sidecar.lastNotified = math.Max(sidecar.lastNotified, now+sidecar.plan.NotificationDelayMS+e.discoveryDelayMS)
		e.schedule(sidecar.lastNotified, func(now float64) { sidecar.receiveUpdate(now, update) })
	}
}
