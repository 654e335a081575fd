package sidecar

import (
	"time"

	"milldeck/balance"
)

// switchDiscovery switches to discovery at another address. It opens a watch there immediately, because the platform's
// protocol counts the new service's list as known soon after the switch. The upstreams stay unchanged until the first list
// arrives.
func (l *eventLoop) switchDiscovery(nowMS float64, address string) {
	l.discovery.switchAddress(address)
	if l.config.settings.Subscribe {
		l.discovery.watch(l.ctx)
		l.dispatch(nowMS, balance.DiscoveryAddressChanged{})
	} else {
		l.discovery.maintainWatch(l.ctx)
	}
}

// applyEndpointUpdate applies a list to the ready upstreams before it notifies the balancer. An attempt that is about to
// write its first byte then checks against a list that is at least as new as the balancer's.
func (l *eventLoop) applyEndpointUpdate(nowMS float64, update endpointUpdate) {
	if update.kind == balance.UpdateFailed {
		l.dispatch(nowMS, balance.EndpointUpdate{Kind: update.kind, DiscoveryUnreachable: update.discoveryUnreachable})
		return
	}
	l.boots.observeWallClock(l.wallNow(), l.clock.unixMS(time.Now()))
	endpoints := update.endpoints.Endpoints
	l.discovery.revision.Store(update.endpoints.Revision)
	servers := make([]balance.Server, 0, len(endpoints))
	listed := make(map[balance.ServerID]bool, len(endpoints))
	removed := map[balance.ServerID]bool{}
	l.addressOwners.beginUpdate()
	for i := range endpoints {
		server, displaced := l.applyEndpoint(nowMS, &endpoints[i])
		servers = append(append(servers, server), displaced...)
		listed[server.ID] = true
		if endpoints[i].State == stateRemoved {
			removed[server.ID] = true
		}
	}
	if update.kind != balance.UpdateDelta {
		l.retireUnlisted(listed)
		l.addressOwners.retain(func(id balance.ServerID) bool { return listed[id] && !removed[id] })
	} else if len(removed) > 0 {
		l.addressOwners.retain(func(id balance.ServerID) bool { return !removed[id] })
	}
	l.dispatch(nowMS, balance.EndpointUpdate{Kind: update.kind, Servers: servers})
}

// applyEndpoint replaces the upstream of an endpoint if the state, address or process has changed. It returns the endpoint
// as a server of the balancer. A server whose address has been taken by another one counts as removed, whatever its entry says;
// displaced holds the one that this endpoint displaces.
func (l *eventLoop) applyEndpoint(nowMS float64, listed *endpoint) (server balance.Server, displaced []balance.Server) {
	server = l.config.toServer(listed)
	if server.State == balance.Ready {
		present, lost, found := l.addressOwners.claim(server.ID, listed)
		if !present {
			server.State = balance.Removed
		}
		if former := l.readyUpstreams[lost]; found && former != nil && former.address == listed.Address {
			l.logDisplaced(former, listed)
			l.retireUpstream(former)
			displaced = append(displaced, balance.Server{ID: lost, State: balance.Removed})
		}
	}
	known := l.readyUpstreams[server.ID]
	sameProcess := known != nil && known.bootMS == listed.BootMS
	if sameProcess {
		server.StartedAt = known.startedAtMS
	} else {
		server.StartedAt = l.boots.startedAtMS(listed.BootMS, nowMS)
	}
	if sameProcess && server.State == balance.Ready && known.address == listed.Address {
		return server, displaced
	}
	l.retireUpstream(known)
	if server.State == balance.Ready {
		l.readyUpstreams[server.ID] = &upstreamHost{
			id:          server.ID,
			address:     listed.Address,
			bootMS:      listed.BootMS,
			zone:        listed.Zone,
			cell:        listed.PodGroup,
			startedAtMS: server.StartedAt,
		}
		traceUpstream("server ready", l.readyUpstreams[server.ID])
	}
	return server, displaced
}

// logDisplaced logs that a server has lost its address to another one.
func (l *eventLoop) logDisplaced(former *upstreamHost, successor *endpoint) {
	loopLog.Info("server displaced by another one at its address", "address", former.address, "former", former.id, "successor", successor.UID)
}

// retireUnlisted retires the upstreams that are missing from a full list.
func (l *eventLoop) retireUnlisted(listed map[balance.ServerID]bool) {
	for id, upstream := range l.readyUpstreams {
		if !listed[id] {
			l.retireUpstream(upstream)
		}
	}
}

// retireUpstream stops the use of a server's process: no new request is sent to it, and its connections are closed. It
// ignores a nil upstream.
func (l *eventLoop) retireUpstream(upstream *upstreamHost) {
	if upstream != nil {
		traceUpstream("server withdrawn", upstream)
		delete(l.readyUpstreams, upstream.id)
		l.pool.retire(upstream)
	}
}
