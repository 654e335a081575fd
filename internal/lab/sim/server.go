package sim

import (
	"errors"
	"maps"
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// errUnknownTarget is returned if an instance sends an unknown request, or sends to an unknown server.
var errUnknownTarget = errors.New("the instance sent an unknown request, or sent a request to an unknown server")

// simServer is a simulated server: the model of package lab with a process, connections and faults.
type simServer struct {
	engine *simEngine
	index  int
	plan   *lab.ServerPlan
	model  *lab.Server
	id     balance.ServerID

	up          bool // the process runs
	incarnation int
	machineDown bool // the machine does not respond because of a zone outage
	frozen      bool
	refusing    bool // the server refuses connections
	listed      bool // the endpoint list has the server as ready
	startedAt   float64

	connections     int
	inFlight        map[int64]*simAttempt // running and waiting attempts, by attempt ID
	pendingAttempts []*simAttempt         // attempts received while the server is frozen
	nextAdvance     float64               // time for which advance is scheduled; 0: none
}

// newServer returns a server of the plan. The server runs if the plan starts it at time 0.
func newServer(e *simEngine, index int, effects lab.EffectStore) *simServer {
	plan := &e.plan.Servers[index]
	initial := plan.StartMS == 0
	return &simServer{
		engine: e, index: index, plan: plan, model: lab.NewServer(e.plan, index, effects), id: serverID(plan.UID),
		inFlight: map[int64]*simAttempt{}, up: initial, listed: initial,
	}
}

// linkEnd returns the server as an end of links.
func (s *simServer) linkEnd() lab.LinkEnd {
	return lab.LinkEnd{Kind: lab.ServerEnd, Index: s.index}
}

// listEntry returns the server's entry in the endpoint list for a state.
func (s *simServer) listEntry(state balance.ServerState, startedAt float64) balance.Server {
	return balance.Server{
		ID: s.id, State: state, StartedAt: startedAt, RelativeCapacity: 1,
		Cell: s.plan.Cell, Zone: s.plan.Zone, Kind: s.plan.KindIndex,
	}
}

// receive handles an attempt that arrives at the server.
func (s *simServer) receive(now float64, attempt *simAttempt) {
	engine := s.engine
	switch {
	case s.machineDown || engine.isPartitioned(attempt.sidecar.linkEnd(), s.linkEnd()):
		return
	case s.frozen:
		s.pendingAttempts = append(s.pendingAttempts, attempt)
		return
	case !s.up || attempt.serverIncarnation != s.incarnation:
		s.sendResult(now, attempt, balance.ConnectFailed)
		return
	}
	engine.checker.AttemptReceived(now, attempt.sentAt, attempt.request.id, attempt.id, attempt.sidecar.index, s.index)
	if !attempt.inFlight { // the attempt was cancelled before it arrived
		engine.checker.AttemptEnded(now, attempt.request.id, attempt.id, "given up")
		return
	}
	s.advance(now)
	accepted := false
	if s.connections <= s.plan.Spec.MaxConnections {
		var overload *lab.SlowStartOverload
		accepted, overload = s.model.Offer(now, s.job(attempt))
		if overload != nil {
			s.crashOverloaded(now, overload)
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

// job returns the job of an attempt for the model.
func (s *simServer) job(attempt *simAttempt) lab.Job {
	arrival := &attempt.request.client.Arrival
	view, notified := attempt.sidecar.endpoints[s.index]
	return lab.Job{
		Attempt: attempt.id, Request: attempt.request.id, Class: arrival.Class, Key: arrival.Key,
		EffectID: arrival.EffectID, WorkMS: arrival.WorkMS, ExpiresAt: attempt.deadline,
		SenderInformed: notified && view.startedAt == s.startedAt,
	}
}

// crashOverloaded ends the process of a warming-up server that was overloaded.
func (s *simServer) crashOverloaded(now float64, overload *lab.SlowStartOverload) {
	s.engine.checker.ServerOverloaded(now, s.index, overload)
	s.crash(now)
	s.scheduleRemoval(now)
}

// addBackgroundWork adds work that produces no response.
func (s *simServer) addBackgroundWork(now, ms float64) {
	if !s.up || ms <= 0 {
		return
	}
	s.advance(now)
	if _, overload := s.model.Offer(now, lab.Job{WorkMS: ms}); overload != nil {
		s.crashOverloaded(now, overload)
	}
	s.scheduleAdvance()
}

// scheduleAdvance schedules advance for the end of the next job.
func (s *simServer) scheduleAdvance() {
	next := s.model.Next()
	if s.frozen || math.IsInf(next, 1) || s.nextAdvance != 0 && s.nextAdvance <= next {
		return
	}
	s.nextAdvance = next
	s.engine.schedule(next, func(now float64) {
		if s.nextAdvance != next { // an earlier time has been scheduled since
			return
		}
		s.nextAdvance = 0
		if !s.frozen && s.up {
			s.advance(now)
			s.scheduleAdvance()
		}
	})
}

// advance ends the jobs that are due.
func (s *simServer) advance(now float64) {
	if s.frozen {
		return
	}
	s.model.Advance(now, func(completion lab.JobCompletion) { s.jobDone(now, completion) })
}

// jobDone records a job that has ended and sends its response.
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
	case s.breaksResponse():
		s.sendResult(now, attempt, balance.Reset)
	default:
		engine.checker.ResponseProduced(now, completion.Request, s.index)
		s.sendResult(now, attempt, balance.OK)
	}
}

// breaksResponse draws whether a fault resets the connection of a response or corrupts the response. A sidecar closes the
// connection of a corrupt response.
func (s *simServer) breaksResponse() bool {
	rng := s.engine.rng
	return s.model.ResetShare > 0 && rng.Float64() < s.model.ResetShare ||
		s.model.CorruptShare > 0 && rng.Float64() < s.model.CorruptShare
}

// sendResult sends the result of an attempt to its sidecar.
func (s *simServer) sendResult(now float64, attempt *simAttempt, result balance.Result) {
	delay, passes := s.engine.networkDelay(attempt.sidecar, s, false)
	if passes && !s.machineDown {
		s.engine.schedule(now+delay, func(now float64) { attempt.finish(now, result) })
	}
}

// cancelAttempt cancels the job of an attempt whose connection the sidecar has closed.
func (s *simServer) cancelAttempt(now float64, attempt *simAttempt) {
	if s.inFlight[attempt.id] != nil && s.up && !s.frozen && !s.machineDown {
		s.advance(now)
		if s.model.Cancel(now, attempt.id) {
			delete(s.inFlight, attempt.id)
		}
		s.scheduleAdvance()
	}
}

// crash ends the process, which resets its connections.
func (s *simServer) crash(now float64) {
	if !s.up {
		return
	}
	s.up = false
	s.resetConnections(now, balance.Reset)
}

// resetConnections closes all connections. The attempts on these connections end with the given result.
func (s *simServer) resetConnections(now float64, result balance.Result) {
	s.incarnation++
	s.connections = 0
	for _, id := range slices.Sorted(maps.Keys(s.inFlight)) {
		s.sendResult(now, s.inFlight[id], result)
	}
	s.inFlight = map[int64]*simAttempt{}
	for _, sidecar := range s.engine.sidecars {
		delete(sidecar.idleConnections, s.index)
	}
}

// boot starts a new process with a slow start, and adds the server to the endpoint list.
func (s *simServer) boot(now float64) {
	if s.model.Overloaded() {
		return // a server that crashed from overload stays down
	}
	s.machineDown, s.up, s.startedAt, s.listed = false, true, now, true
	s.model.Start(now, true)
	s.engine.publishEndpoint(now, s, balance.Ready)
}

// scheduleRemoval schedules the removal of a failed server from the endpoint list, after a drawn detection delay.
func (s *simServer) scheduleRemoval(now float64) {
	incarnation := s.incarnation
	detection := s.engine.plan.Experiment.Discovery.FailureDetectionMS
	detectedAt := now + detection.Min + (detection.Max-detection.Min)*s.engine.rng.Float64()
	s.engine.schedule(detectedAt, func(now float64) {
		if s.listed && s.incarnation == incarnation && (!s.up || s.machineDown) {
			s.listed = false
			s.engine.publishEndpoint(now, s, balance.Removed)
		}
	})
}

// drain drains the server, then ends it or restarts it.
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
