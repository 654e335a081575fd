package sim

import (
	"maps"
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// simSidecar is one sidecar: an instance, and the sockets and list around it as the real one has them.
type simSidecar struct {
	engine *engine
	index  int
	plan   *lab.SidecarPlan

	instance    Instance
	incarnation int
	up          bool
	draining    bool // it takes no new request: it is about to end
	frozen      bool
	deferred    []func(now float64) // what its sockets would do by themselves but for the freeze

	events      []balance.Event
	actions     []balance.Action
	isScheduled bool // among the active of this tick
	err         error

	endpoints      map[int]endpointView // servers as it was last told
	pendingUpdates []endpointUpdate     // not told yet: discovery is out of reach
	lastNotified   float64
	subscribed     bool

	requests        map[uint64]*request
	idleConnections map[int][]float64 // connections to servers, by when each was put back
}

// endpointView is what a sidecar was told of a server.
type endpointView struct {
	state     balance.ServerState
	startedAt float64
}

// endpointUpdate is one change of the list.
type endpointUpdate struct {
	server    *simServer
	state     balance.ServerState
	startedAt float64
}

// request is a client's request at its sidecar.
type request struct {
	id         uint64
	client     *client
	sidecar    *simSidecar
	deadline   float64
	answered   bool // it has its final answer, or its client is gone
	clientGone bool // its client no longer listens
	attempts   []*attempt
	inFlight   int
}

// attempt is one send of a try.
type attempt struct {
	id                int64
	request           *request
	number            int
	sidecar           *simSidecar
	incarnation       int
	server            *simServer
	serverIncarnation int
	sentAt, deadline  float64
	inFlight          bool
	connected         bool
	arrived           bool
}

// start begins a life of the sidecar; it knows the list as the one before last had it.
func (s *simSidecar) start(now float64) {
	config, err := s.engine.plan.Config(s.index, s.incarnation)
	if err == nil {
		s.instance, err = s.engine.opts.NewInstance(s.index, config)
	}
	if err != nil {
		s.err = err
		s.schedule()
		return
	}
	s.up, s.draining, s.frozen = true, false, false
	if s.engine.hotKeys != nil {
		s.engine.hotKeys.sidecarStarted(s)
	}
	s.retainActions(s.instance.Start(now))
	s.deliver(s.endpointList(balance.UpdateCached))
	s.schedule()
	for _, serverIndex := range slices.Sorted(maps.Keys(s.endpoints)) {
		if s.endpoints[serverIndex].state != balance.Ready {
			s.engine.checker.EndpointNotified(now, s.index, serverIndex, false)
		}
	}
}

// endpointList is all that it was told.
func (s *simSidecar) endpointList(kind balance.UpdateKind) balance.EndpointUpdate {
	update := balance.EndpointUpdate{Kind: kind}
	for _, serverIndex := range slices.Sorted(maps.Keys(s.endpoints)) {
		if view := s.endpoints[serverIndex]; view.state != balance.Removed {
			update.Servers = append(update.Servers, s.engine.servers[serverIndex].endpoint(view.state, view.startedAt))
		}
	}
	return update
}

// deliver hands the instance an event at the end of this tick.
func (s *simSidecar) deliver(event balance.Event) {
	if s.up {
		s.events = append(s.events, event)
		s.schedule()
	}
}

func (s *simSidecar) schedule() {
	if !s.isScheduled && !s.frozen {
		s.isScheduled = true
		s.engine.scheduled = append(s.engine.scheduled, s)
	}
}

// handleEvents lets the instance handle what came. Many nodes do so at a time.
func (s *simSidecar) handleEvents(now float64) {
	for i, event := range s.events {
		if received, ok := event.(balance.Request); ok {
			if request := s.requests[uint64(received.ID)]; request != nil {
				received.Timeout = request.deadline - now
				event = received
			}
		}
		actions, err := s.instance.Handle(now, event)
		if err != nil && s.err == nil {
			s.err = err
		}
		s.retainActions(actions)
		s.events[i] = nil
	}
	s.events = s.events[:0]
}

func (s *simSidecar) retainActions(actions []balance.Action) {
	for _, action := range actions {
		action.Data = slices.Clone(action.Data)
		s.actions = append(s.actions, action)
	}
}

// execute carries out one action.
func (s *simSidecar) execute(action *balance.Action) {
	engine := s.engine
	switch action.Kind {
	case balance.Send:
		s.send(action)
	case balance.Reject, balance.Fail:
		outcome := lab.OutcomeFailed
		if action.Kind == balance.Reject {
			outcome = lab.OutcomeRejected
		}
		if request := s.requests[uint64(action.Request)]; request != nil && !request.answered {
			request.answered = true
			request.respond(engine.now, outcome, action.RetryAfter, -1)
			request.releaseIfDone()
		}
	case balance.Cancel:
		if request := s.requests[uint64(action.Request)]; request != nil && action.Attempt < len(request.attempts) {
			request.attempts[action.Attempt].finish(engine.now, balance.Cancelled)
		}
	case balance.SetTimer:
		token, incarnation := action.Token, s.incarnation
		engine.schedule(engine.now+math.Max(action.Delay, 0), func(float64) {
			if s.incarnation == incarnation {
				s.deliver(balance.TimerFired{Token: token})
			}
		})
	case balance.HealthCheck:
		s.healthCheck(engine.byID[action.Server])
	case balance.SendGossip:
		s.sendGossip(action.Peer, action.Data)
	case balance.WatchEndpoints, balance.FetchEndpoints:
		s.fetchEndpoints(action.Kind == balance.WatchEndpoints)
	}
}

func (s *simSidecar) send(action *balance.Action) {
	engine := s.engine
	request, server := s.requests[uint64(action.Request)], engine.byID[action.Server]
	if request == nil || server == nil {
		s.err = errUnknownTarget
		s.schedule()
		return
	}
	engine.lastAttempt++
	attempt := &attempt{
		id: engine.lastAttempt, request: request, number: len(request.attempts), sidecar: s, incarnation: s.incarnation, server: server, serverIncarnation: server.incarnation, sentAt: engine.now, deadline: request.deadline, inFlight: true,
	}
	if action.Deadline > 0 {
		attempt.deadline = math.Min(attempt.deadline, action.Deadline)
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	if request.answered || len(request.attempts) > engine.plan.Experiment.Limits.MaxAttempts || attempt.deadline <= engine.now {
		engine.schedule(engine.now, func(now float64) { attempt.finish(now, balance.Obsolete) })
		return
	}
	engine.schedule(attempt.deadline, func(now float64) {
		if attempt.connected {
			attempt.finish(now, balance.TimedOut)
		} else {
			attempt.finish(now, balance.Obsolete)
		}
	})
	delay, passes := engine.networkDelay(s, server, true)
	if s.takeIdleConnection(server) {
		attempt.connected = true
		if passes {
			engine.schedule(engine.now+delay, func(now float64) { server.receive(now, attempt) })
		}
		return
	}
	s.connect(attempt, delay, passes)
}

// connect opens a connection for an attempt.
func (s *simSidecar) connect(attempt *attempt, delay float64, passes bool) {
	engine, server := s.engine, attempt.server
	returnDelay, returns := engine.networkDelay(s, server, false)
	if !passes || !returns || server.vanished || server.frozen {
		engine.schedule(engine.now+engine.plan.Experiment.Limits.ConnectTimeoutMS, func(now float64) { attempt.finish(now, balance.ConnectFailed) })
		return
	}
	engine.schedule(engine.now+delay, func(now float64) {
		if !server.up || server.refusing {
			engine.schedule(now+returnDelay, func(now float64) { attempt.finish(now, balance.ConnectFailed) })
			return
		}
		if !attempt.inFlight {
			return
		}
		attempt.connected, attempt.serverIncarnation = true, server.incarnation
		server.connections++
		engine.recorder.AddCounts(func(c *lab.Counts) { c.Handshakes++ })
		server.addBackgroundWork(now, server.plan.Spec.HandshakeMS)
		engine.schedule(now+returnDelay+delay+(handshakeTrips-1)*(returnDelay+delay), func(now float64) { server.receive(now, attempt) })
	})
}

// takeIdleConnection finds a connection to use again.
func (s *simSidecar) takeIdleConnection(server *simServer) bool {
	idle := s.idleConnections[server.index]
	if len(idle) == 0 {
		return false
	}
	s.idleConnections[server.index] = idle[:len(idle)-1]
	return true
}

// returnConnection keeps a connection until it has been idle for too long.
func (s *simSidecar) returnConnection(server *simServer, now float64) {
	s.idleConnections[server.index] = append(s.idleConnections[server.index], now)
	incarnation, serverIncarnation := s.incarnation, server.incarnation
	s.engine.schedule(now+idleReuseShare*server.plan.Spec.IdleCloseMS, func(float64) {
		if s.incarnation != incarnation || server.incarnation != serverIncarnation {
			return
		}
		if i := slices.Index(s.idleConnections[server.index], now); i >= 0 {
			s.idleConnections[server.index] = slices.Delete(s.idleConnections[server.index], i, i+1)
			server.connections--
		}
	})
}

// finish gives an attempt its one outcome.
func (a *attempt) finish(now float64, result balance.Result) {
	sidecar, engine, server := a.sidecar, a.sidecar.engine, a.server
	if !a.inFlight {
		return
	}
	if sidecar.frozen && a.incarnation == sidecar.incarnation {
		sidecar.deferred = append(sidecar.deferred, func(now float64) { a.finish(now, result) })
		return
	}
	a.inFlight = false
	engine.checker.AttemptEnded(now, a.request.id, a.id, attemptResultNames[result])
	engine.recorder.AttemptDone(now, sidecar.index, server.index, a.number > 0, attemptResultNames[result])
	sameConnection := a.connected && a.serverIncarnation == server.incarnation
	switch {
	case sameConnection && (result == balance.OK || result == balance.Failed || result == balance.Overloaded):
		sidecar.returnConnection(server, now)
	case sameConnection:
		server.connections--
		engine.schedule(now+server.plan.DelayByZone[sidecar.plan.Zone], func(now float64) { server.cancelAttempt(now, a) })
	}
	request := a.request
	request.inFlight--
	if sidecar.incarnation != a.incarnation || !sidecar.up {
		return
	}
	if result == balance.OK && !request.answered {
		request.answered = true
		request.respond(now, lab.OutcomeServed, 0, server.index)
	}
	sidecar.deliver(balance.Outcome{
		Request: balance.RequestID(request.id), Attempt: a.number, Server: server.id, Result: result, Elapsed: now - a.sentAt, RequestDone: request.answered,
	})
	request.releaseIfDone()
}

var attemptResultNames = map[balance.Result]string{
	balance.OK: "served", balance.Failed: "error", balance.Overloaded: "full", balance.TimedOut: "timed out",
	balance.ConnectFailed: "no connection", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.Obsolete: "moot",
}

// releaseIfDone forgets a try that is over and has nothing out, once the instance has handled all that it was told of it:
// until then it may still send, and is owed the outcome that this is moot.
func (r *request) releaseIfDone() {
	sidecar := r.sidecar
	switch {
	case !r.answered || r.inFlight > 0 || sidecar.requests[r.id] != r:
	case sidecar.frozen:
		sidecar.deferred = append(sidecar.deferred, func(float64) { r.releaseIfDone() })
	case len(sidecar.events) > 0:
		sidecar.engine.schedule(sidecar.engine.now+sidecar.engine.tickMS, func(float64) { r.releaseIfDone() })
	default:
		delete(sidecar.requests, r.id)
	}
}

// respond brings the client its final answer.
func (r *request) respond(now float64, outcome lab.Outcome, retryAfter float64, server int) {
	engine := r.sidecar.engine
	engine.schedule(now+clientDelayMS, func(now float64) {
		if engine.isPartitioned(lab.Endpoint{Kind: lab.SidecarEndpoint, Index: r.sidecar.index}, lab.Endpoint{Kind: lab.ClientEndpoint, Index: r.sidecar.index}) || r.clientGone {
			return
		}
		r.clientGone = true
		engine.checker.ResponseReceived(now, r.id, outcome, r.id, server)
		r.client.attemptDone(now, outcome, retryAfter)
	})
}

// disconnect: the client no longer listens.
func (r *request) disconnect() {
	r.clientGone = true
	if r.answered {
		return
	}
	r.answered = true
	r.sidecar.deliver(balance.ClientDisconnected{Request: balance.RequestID(r.id)})
	r.releaseIfDone()
}

// kill ends the sidecar at once: clients find their connections closed, servers find theirs closed too.
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
		request := s.requests[id]
		for _, attempt := range request.attempts {
			if attempt.inFlight {
				attempt.inFlight = false
				engine.checker.AttemptEnded(now, id, attempt.id, "its sidecar ended")
				if attempt.connected && attempt.serverIncarnation == attempt.server.incarnation {
					attempt.server.connections--
				}
				engine.schedule(now+attempt.server.plan.DelayByZone[s.plan.Zone], func(now float64) { attempt.server.cancelAttempt(now, attempt) })
			}
		}
		if request.clientGone {
			continue
		}
		request.clientGone, request.answered = true, true
		engine.schedule(now+clientDelayMS, func(now float64) {
			engine.checker.RequestUnanswered(now, request.id, lab.OutcomeUnreachable)
			request.client.attemptDone(now, lab.OutcomeUnreachable, 0)
		})
	}
	s.requests = map[uint64]*request{}
	for serverIndex, idle := range s.idleConnections {
		engine.servers[serverIndex].connections -= len(idle)
	}
	s.idleConnections = map[int][]float64{}
}

// restart ends the sidecar as SIGTERM does and starts it again.
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

// stopWhenDrained ends it once all is answered or its time is up.
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

func (s *simSidecar) freeze(until float64) {
	if s.up && !s.frozen {
		s.frozen = true
		s.engine.checker.ExcuseSidecar(s.index, s.engine.now, until+excuseAfterMS)
	}
}

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

// healthCheck asks a server how it is.
func (s *simSidecar) healthCheck(server *simServer) {
	if server == nil {
		return
	}
	engine, sent, incarnation := s.engine, s.engine.now, s.incarnation
	engine.recorder.AddCounts(func(c *lab.Counts) { c.HealthChecks++ })
	result, after := balance.TimedOut, engine.plan.Experiment.Limits.ConnectTimeoutMS
	delay, passes := engine.networkDelay(s, server, true)
	returnDelay, returns := engine.networkDelay(s, server, false)
	if passes && returns && !server.vanished && !server.frozen {
		result, after = balance.ConnectFailed, delay+returnDelay
		if server.up && !server.refusing {
			result = balance.OK
			engine.schedule(sent+delay, func(now float64) { server.addBackgroundWork(now, healthCheckWorkMS) })
		}
	}
	engine.schedule(sent+after, func(now float64) {
		if s.incarnation == incarnation {
			s.deliver(balance.HealthCheckResult{Server: server.id, Result: result, Elapsed: now - sent})
		}
	})
}

// sendGossip sends a message to one sidecar or, with -1, to all.
func (s *simSidecar) sendGossip(to int, data []byte) {
	engine := s.engine
	for _, other := range engine.sidecars {
		if other == s || to >= 0 && other.index != to {
			continue
		}
		extra, passes := engine.linkDelay(lab.Endpoint{Kind: lab.SidecarEndpoint, Index: s.index}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: other.index})
		if !passes {
			continue
		}
		after := extra + lab.MinPeerDelayMS + (lab.MaxPeerDelayMS-lab.MinPeerDelayMS)*engine.rng.Float64()
		engine.schedule(engine.now+after, func(float64) {
			if other.up {
				engine.recorder.AddCounts(func(c *lab.Counts) { c.GossipMessages++; c.GossipBytes += len(data) })
				other.deliver(balance.GossipMessage{From: s.index, Data: data})
			}
		})
	}
}

// fetchEndpoints calls discovery, for the list alone or for all that changes from now on.
func (s *simSidecar) fetchEndpoints(watch bool) {
	engine, incarnation := s.engine, s.incarnation
	engine.schedule(engine.now+discoveryCallMS, func(now float64) {
		if s.incarnation != incarnation {
			return
		}
		if s.discoveryUnreachable() {
			engine.schedule(now+engine.plan.Experiment.Limits.ConnectTimeoutMS, func(float64) {
				if s.incarnation == incarnation {
					s.deliver(balance.EndpointUpdate{Kind: balance.UpdateFailed})
				}
			})
			return
		}
		s.subscribed = s.subscribed || watch
		s.applyUpdates(now)
		s.deliver(s.endpointList(balance.UpdateFull))
	})
}

// discoveryUnreachable tells whether discovery cannot reach it.
func (s *simSidecar) discoveryUnreachable() bool {
	return s.engine.discoveryDown || s.engine.isPartitioned(lab.Endpoint{Kind: lab.DiscoveryEndpoint}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: s.index})
}

// receiveUpdate takes news that has come to its machine, in order.
func (s *simSidecar) receiveUpdate(now float64, update endpointUpdate) {
	s.pendingUpdates = append(s.pendingUpdates, update)
	if s.engine.plan.Experiment.Discovery.Mode != "subscribe" || s.subscribed {
		s.applyUpdates(now)
	}
}

// applyUpdates tells the sidecar all that it has not been told yet.
func (s *simSidecar) applyUpdates(now float64) {
	if s.discoveryUnreachable() {
		return
	}
	for _, update := range s.pendingUpdates {
		s.endpoints[update.server.index] = endpointView{update.state, update.startedAt}
		if s.up {
			s.engine.checker.EndpointNotified(now, s.index, update.server.index, update.state == balance.Ready)
			s.deliver(balance.EndpointUpdate{Kind: balance.UpdateDelta, Servers: []balance.Server{update.server.endpoint(update.state, update.startedAt)}})
		}
	}
	s.pendingUpdates = nil
}
