package sim

import (
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// simRequest is a request that a sidecar receives. Each attempt of a client is a separate request.
type simRequest struct {
	id         uint64
	client     *clientRequest
	sidecar    *simSidecar
	deadline   float64
	answered   bool // the sidecar has sent the final response, or the client has disconnected
	clientDone bool // the client has received the response, or has disconnected
	attempts   []*simAttempt
	inFlight   int // number of attempts that have not ended
}

// simAttempt is an attempt of a sidecar at a server.
type simAttempt struct {
	id                int64
	request           *simRequest
	number            int
	sidecar           *simSidecar
	incarnation       int
	server            *simServer
	serverIncarnation int // the server's incarnation to which the attempt is connected
	sentAt, deadline  float64
	inFlight          bool
	connected         bool
}

// send starts an attempt, on an idle connection if there is one.
func (s *simSidecar) send(action *balance.Action) {
	engine := s.engine
	request, server := s.requests[uint64(action.Request)], engine.byID[action.Server]
	if request == nil || server == nil {
		s.err = errUnknownTarget
		s.schedule()
		return
	}
	engine.lastAttempt++
	attempt := &simAttempt{
		id: engine.lastAttempt, request: request, number: len(request.attempts),
		sidecar: s, incarnation: s.incarnation, server: server, serverIncarnation: server.incarnation,
		sentAt: engine.now, deadline: request.deadline, inFlight: true,
	}
	if action.Deadline > 0 {
		attempt.deadline = math.Min(attempt.deadline, action.Deadline)
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	exceedsLimit := len(request.attempts) > engine.plan.Experiment.Limits.MaxAttempts
	if request.answered || exceedsLimit || attempt.deadline <= engine.now {
		engine.schedule(engine.now, func(now float64) { attempt.finish(now, balance.Obsolete) })
		return
	}
	engine.schedule(attempt.deadline, attempt.timeOut)
	delay, passes := engine.networkDelay(s, server, true)
	if s.acquireIdleConnection(server) {
		attempt.connected = true
		if passes {
			engine.schedule(engine.now+delay, func(now float64) { server.receive(now, attempt) })
		}
		return
	}
	s.connect(attempt, delay, passes)
}

// connect opens a connection for an attempt. delay is the delay to the server; passes is false if the message is lost.
func (s *simSidecar) connect(attempt *simAttempt, delay float64, passes bool) {
	engine, server := s.engine, attempt.server
	returnDelay, returns := engine.networkDelay(s, server, false)
	if !passes || !returns || server.machineDown || server.frozen {
		timeout := engine.plan.Experiment.Limits.ConnectTimeoutMS
		engine.schedule(engine.now+timeout, func(now float64) { attempt.finish(now, balance.ConnectFailed) })
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
		arrival := now + returnDelay + delay + (handshakeRoundTrips-1)*(returnDelay+delay)
		engine.schedule(arrival, func(now float64) { server.receive(now, attempt) })
	})
}

// acquireIdleConnection takes an idle connection to a server, and reports whether there was one.
func (s *simSidecar) acquireIdleConnection(server *simServer) bool {
	idle := s.idleConnections[server.index]
	if len(idle) == 0 {
		return false
	}
	s.idleConnections[server.index] = idle[:len(idle)-1]
	return true
}

// returnConnection makes a connection idle, and closes it after its idle timeout.
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

// timeOut ends an attempt at its deadline.
func (a *simAttempt) timeOut(now float64) {
	if a.connected {
		a.finish(now, balance.TimedOut)
	} else {
		a.finish(now, balance.Obsolete)
	}
}

// finish ends an attempt with its result, and reports the outcome to the instance. Later results are ignored.
func (a *simAttempt) finish(now float64, result balance.Result) {
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
	a.releaseConnection(now, result)
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
		Request: balance.RequestID(request.id), Attempt: a.number, Server: server.id, Result: result,
		Elapsed: now - a.sentAt, RequestDone: request.answered,
	})
	request.releaseIfDone()
}

// releaseConnection makes the connection of an attempt idle after a complete response, and closes it otherwise.
func (a *simAttempt) releaseConnection(now float64, result balance.Result) {
	sidecar, server := a.sidecar, a.server
	if !a.connected || a.serverIncarnation != server.incarnation {
		return
	}
	switch result {
	case balance.OK, balance.Failed, balance.Overloaded:
		sidecar.returnConnection(server, now)
	default:
		server.connections--
		closedAt := now + server.plan.DelayByZone[sidecar.plan.Zone]
		sidecar.engine.schedule(closedAt, func(now float64) { server.cancelAttempt(now, a) })
	}
}

// attemptResultNames are the names of attempt results in reports.
var attemptResultNames = map[balance.Result]string{
	balance.OK: "served", balance.Failed: "error", balance.Overloaded: "full", balance.TimedOut: "timed out",
	balance.ConnectFailed: "no connection", balance.Reset: "reset", balance.Cancelled: "cancelled", balance.Obsolete: "moot",
}

// releaseIfDone deletes a request that is answered and has no attempt in flight, once the instance has handled all its
// queued events. Before that, the instance may still send attempts; their outcome is Obsolete.
func (r *simRequest) releaseIfDone() {
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

// respond sends the final response to the client.
func (r *simRequest) respond(now float64, outcome lab.Outcome, retryAfter float64, server int) {
	engine := r.sidecar.engine
	engine.schedule(now+clientDelayMS, func(now float64) {
		if r.clientDone || engine.isPartitioned(r.sidecar.linkEnd(), r.sidecar.clientLinkEnd()) {
			return
		}
		r.clientDone = true
		engine.checker.ResponseReceived(now, r.id, outcome, r.id, server)
		r.client.attemptDone(now, outcome, retryAfter)
	})
}

// disconnect handles a client that closes its connection before the response.
func (r *simRequest) disconnect() {
	r.clientDone = true
	if r.answered {
		return
	}
	r.answered = true
	r.sidecar.deliver(balance.ClientDisconnected{Request: balance.RequestID(r.id)})
	r.releaseIfDone()
}
