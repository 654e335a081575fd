package sim

import (
	"maps"
	"math"
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// endpointView is the last state of a server that a sidecar was notified of.
type endpointView struct {
	state     balance.ServerState
	startedAt float64
}

// endpointUpdate is a change of the endpoint list.
type endpointUpdate struct {
	server    *simServer
	state     balance.ServerState
	startedAt float64
}

// endpointList returns all servers that the sidecar was notified of and that discovery has not removed since.
func (s *simSidecar) endpointList(kind balance.UpdateKind) balance.EndpointUpdate {
	update := balance.EndpointUpdate{Kind: kind}
	for _, serverIndex := range slices.Sorted(maps.Keys(s.endpoints)) {
		if view := s.endpoints[serverIndex]; view.state != balance.Removed {
			server := s.engine.servers[serverIndex]
			update.Servers = append(update.Servers, server.listEntry(view.state, view.startedAt))
		}
	}
	return update
}

// fetchEndpoints requests the endpoint list from discovery. With watch it also subscribes to all later changes.
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

// discoveryUnreachable reports whether discovery cannot reach the sidecar.
func (s *simSidecar) discoveryUnreachable() bool {
	return s.engine.discoveryDown || s.engine.isPartitioned(lab.LinkEnd{Kind: lab.DiscoveryEnd}, s.linkEnd())
}

// receiveUpdate queues a change of the endpoint list, and applies the pending changes if discovery notifies the sidecar.
func (s *simSidecar) receiveUpdate(now float64, update endpointUpdate) {
	s.pendingUpdates = append(s.pendingUpdates, update)
	if s.isNotified() {
		s.applyUpdates(now)
	}
}

// applyUpdates delivers the pending changes, unless discovery cannot reach the sidecar.
func (s *simSidecar) applyUpdates(now float64) {
	if s.discoveryUnreachable() {
		return
	}
	for _, update := range s.pendingUpdates {
		s.endpoints[update.server.index] = endpointView{update.state, update.startedAt}
		if s.up {
			s.engine.checker.EndpointNotified(now, s.index, update.server.index, update.state == balance.Ready)
			entry := update.server.listEntry(update.state, update.startedAt)
			s.deliver(balance.EndpointUpdate{Kind: balance.UpdateDelta, Servers: []balance.Server{entry}})
		}
	}
	s.pendingUpdates = nil
}

// publishEndpoint notifies all sidecars of a server's state, each after its own delay.
func (e *simEngine) publishEndpoint(now float64, server *simServer, state balance.ServerState) {
	update := endpointUpdate{server, state, server.startedAt}
	for _, sidecar := range e.sidecars {
		due := now + sidecar.plan.NotificationDelayMS + e.discoveryDelayMS
		sidecar.lastUpdateDue = math.Max(sidecar.lastUpdateDue, due) // changes arrive in order
		e.schedule(sidecar.lastUpdateDue, func(now float64) { sidecar.receiveUpdate(now, update) })
	}
}

// isNotified reports whether discovery notifies the sidecar of changes.
func (s *simSidecar) isNotified() bool {
	return s.engine.plan.Experiment.Discovery.Mode != lab.DiscoverySubscribe || s.subscribed
}
