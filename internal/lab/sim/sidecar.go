package sim

import (
	"maps"
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// simSidecar is a simulated sidecar: an instance of the decision module, with the connections and the endpoint list that
// a real sidecar keeps outside the module.
type simSidecar struct {
	engine *simEngine
	index  int
	plan   *lab.SidecarPlan

	instance    Instance
	incarnation int
	up          bool
	draining    bool // the sidecar accepts no new requests
	frozen      bool
	deferred    []func(now float64) // socket events that occurred while the sidecar was frozen

	events      []balance.Event
	actions     []balance.Action
	isScheduled bool // the sidecar is in simEngine.scheduled
	err         error

	endpoints      map[int]endpointView // last notified state of the servers, by index
	pendingUpdates []endpointUpdate     // updates not delivered yet, because discovery cannot reach the sidecar
	lastUpdateDue  float64
	subscribed     bool

	requests        map[uint64]*simRequest
	idleConnections map[int][]float64 // by server: when each connection became idle
}

// noServer stands for the index of a server where there is none.
const noServer = -1

// newSidecar returns a sidecar that knows the listed servers and has not started yet.
func newSidecar(e *simEngine, index int) *simSidecar {
	s := &simSidecar{
		engine: e, index: index, plan: &e.plan.Sidecars[index], endpoints: map[int]endpointView{},
		requests: map[uint64]*simRequest{}, idleConnections: map[int][]float64{},
	}
	for _, server := range e.servers {
		if server.listed {
			s.endpoints[server.index] = endpointView{}
		}
	}
	return s
}

// linkEnd returns the sidecar as an end of links.
func (s *simSidecar) linkEnd() lab.LinkEnd {
	return lab.LinkEnd{Kind: lab.SidecarEnd, Index: s.index}
}

// clientLinkEnd returns the sidecar's clients as an end of links.
func (s *simSidecar) clientLinkEnd() lab.LinkEnd {
	return lab.LinkEnd{Kind: lab.ClientEnd, Index: s.index}
}

// start starts a new incarnation of the sidecar with the endpoint list of the previous incarnation.
func (s *simSidecar) start(now float64) {
	config, err := s.engine.plan.Config(s.index, s.incarnation)
	if err == nil {
		s.instance, err = s.engine.opts.InstanceFactory(s.index, config)
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

// deliver queues an event for the instance. The instance handles the event at the end of this tick.
func (s *simSidecar) deliver(event balance.Event) {
	if s.up {
		s.events = append(s.events, event)
		s.schedule()
	}
}

// schedule has the instance run in this tick.
func (s *simSidecar) schedule() {
	if !s.isScheduled && !s.frozen {
		s.isScheduled = true
		s.engine.scheduled = append(s.engine.scheduled, s)
	}
}

// handleEvents has the instance handle its events. Calls for different sidecars run in parallel.
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

// retainActions copies actions, which are valid only until the next call of the instance.
func (s *simSidecar) retainActions(actions []balance.Action) {
	for _, action := range actions {
		action.Data = slices.Clone(action.Data)
		s.actions = append(s.actions, action)
	}
}

// execute executes an action that the instance returned.
func (s *simSidecar) execute(action *balance.Action) {
	engine := s.engine
	switch action.Kind {
	case balance.Send:
		s.send(action)
	case balance.Reject:
		s.answer(action, lab.OutcomeRejected)
	case balance.Fail:
		s.answer(action, lab.OutcomeFailed)
	case balance.Cancel:
		if request := s.requests[uint64(action.Request)]; request != nil && action.Attempt < len(request.attempts) {
			request.attempts[action.Attempt].finish(engine.now, balance.Cancelled)
		}
	case balance.SetTimer:
		s.setTimer(action.Token, action.Delay)
	case balance.HealthCheck:
		s.healthCheck(engine.byID[action.Server])
	case balance.SendGossip:
		s.sendGossip(action.Peer, action.Data)
	case balance.WatchEndpoints, balance.FetchEndpoints:
		s.fetchEndpoints(action.Kind == balance.WatchEndpoints)
	}
}

// answer sends a client the final response that the instance itself gives, instead of a server's response.
func (s *simSidecar) answer(action *balance.Action, outcome lab.Outcome) {
	request := s.requests[uint64(action.Request)]
	if request == nil || request.answered {
		return
	}
	request.answered = true
	request.respond(s.engine.now, outcome, action.RetryAfter, noServer)
	request.releaseIfDone()
}

// setTimer delivers a timer's event after a delay in ms, unless this incarnation has ended by then.
func (s *simSidecar) setTimer(token uint64, delay float64) {
	incarnation := s.incarnation
	s.engine.schedule(s.engine.now+math.Max(delay, 0), func(float64) {
		if s.incarnation == incarnation {
			s.deliver(balance.TimerFired{Token: token})
		}
	})
}
