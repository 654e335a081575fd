package sim

import (
	"milldeck/balance"
	"milldeck/internal/lab"
)

// clientRequest is a request of a client with all attempts of the client.
type clientRequest struct {
	engine *simEngine
	lab.Arrival
	attempts int
	done     bool
	current  *simRequest // the attempt whose response the client waits for, or nil
}

// sendAttempt sends the next attempt to the sidecar.
func (c *clientRequest) sendAttempt(now float64) {
	if c.done {
		return
	}
	engine, sidecar := c.engine, c.engine.sidecars[c.Sidecar]
	c.attempts++
	timeout := engine.plan.AttemptTimeout(&c.Arrival, now)
	switch {
	case engine.isPartitioned(sidecar.clientLinkEnd(), sidecar.linkEnd()):
		engine.schedule(now+timeout, func(now float64) { c.attemptDone(now, lab.OutcomeNoResponse, 0) })
		return
	case !sidecar.up || sidecar.draining:
		engine.schedule(now+2*clientDelayMS, func(now float64) { c.attemptDone(now, lab.OutcomeUnreachable, 0) })
		return
	}
	engine.lastRequest++
	request := &simRequest{id: engine.lastRequest, client: c, sidecar: sidecar, deadline: now + timeout}
	c.current = request
	sidecar.requests[request.id] = request
	engine.checker.RequestSent(now, request.id, sidecar.index, c.Class, timeout)
	engine.schedule(now+clientDelayMS, func(float64) {
		if request.answered || sidecar.requests[request.id] != request {
			return
		}
		event := balance.Request{
			ID: balance.RequestID(request.id), Class: c.Class, Tenant: -1, ExpectedWork: c.ExpectedWorkMS, Key: c.Key, Timeout: timeout,
			ClientRetry: c.attempts > 1, Write: engine.plan.Classes[c.Class].Idempotency != balance.Idempotent,
		}
		if engine.hotKeys != nil {
			engine.hotKeys.requestReceived(engine.now, sidecar, &event)
		}
		sidecar.deliver(event)
	})
	engine.schedule(request.deadline+engine.plan.Experiment.Rules.AnswerSlackMS+slackTicks*engine.tickMS+2*clientDelayMS, func(now float64) {
		if request.clientDone {
			return
		}
		engine.checker.RequestUnanswered(now, request.id, lab.OutcomeNoResponse)
		request.disconnect()
		c.attemptDone(now, lab.OutcomeNoResponse, 0)
	})
}

// attemptDone ends an attempt. Then the client retries, or the request ends.
func (c *clientRequest) attemptDone(now float64, outcome lab.Outcome, retryAfter float64) {
	if c.done {
		return
	}
	c.current = nil
	if at, retry := c.engine.plan.NextRetry(&c.Arrival, c.attempts-1, outcome, now, retryAfter); retry {
		c.engine.schedule(at, c.sendAttempt)
		return
	}
	c.finish(now, outcome, false)
}

// disconnect closes the client's connection before the client has received a response.
func (c *clientRequest) disconnect(now float64) {
	if c.done {
		return
	}
	if c.current != nil {
		c.engine.checker.ClientDisconnected(now, c.current.id)
		c.current.disconnect()
	}
	c.finish(now, lab.OutcomeNoResponse, true)
}

// finish records the end of the request.
func (c *clientRequest) finish(now float64, outcome lab.Outcome, disconnected bool) {
	c.done = true
	c.engine.openRequests--
	if s := c.engine.hotKeys; s != nil {
		s.checker.RequestDone(&c.Arrival, outcome, disconnected, now)
	}
	c.engine.recorder.RequestDone(&c.Arrival, c.attempts, outcome, disconnected, now)
}
