package sim

import (
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// scheduleRolls has servers come and go as the plan's rolls say.
func (e *engine) scheduleRolls() {
	for _, server := range e.servers {
		if server.plan.StartMS > 0 {
			e.schedule(server.plan.StartMS, func(now float64) { server.boot(now) })
		}
		if server.plan.ReplacedMS > 0 {
			e.schedule(server.plan.ReplacedMS, func(now float64) { server.drain(now, false) })
		}
	}
}

// scheduleFault has a fault begin and end. A roll is in the servers' own times; that descriptors are used up
// is nothing to instances, which have no sockets.
func (e *engine) scheduleFault(fault *lab.Fault) {
	e.schedule(fault.StartMS, func(now float64) { e.beginFault(now, fault) })
	if fault.EndMS > 0 {
		e.schedule(fault.EndMS, func(now float64) { e.endFault(now, fault) })
	}
}

func (e *engine) beginFault(now float64, fault *lab.Fault) {
	for _, i := range fault.Servers {
		server := e.servers[i]
		switch fault.Kind {
		case lab.FaultKill:
			server.crash(now)
			server.scheduleRemoval(now)
		case lab.FaultZoneOutage:
			server.vanished = true
			server.scheduleRemoval(now)
		case lab.FaultRestart:
			server.drain(now, true)
		case lab.FaultFreeze:
			server.frozen = true
		case lab.FaultConnectionRefused:
			server.refusing = true
			server.resetConnections(now, balance.Reset)
		case lab.FaultDiscoveryFalseRemoval:
			if server.listed {
				e.publishEndpoint(now, server, balance.Removed)
			}
		default:
			server.model.SetFault(fault, true)
		}
	}
	for _, i := range fault.Sidecars {
		sidecar := e.sidecars[i]
		switch fault.Kind {
		case lab.FaultKill:
			sidecar.kill(now)
		case lab.FaultRestart:
			sidecar.restart(now)
		case lab.FaultFreeze:
			sidecar.freeze(fault.EndMS)
		case lab.FaultReload:
			sidecar.fetchEndpoints(sidecar.subscribed) // it follows discovery to another address and gets the list anew
		}
	}
	switch fault.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		e.linkFaults = append(e.linkFaults, fault)
		if fault.Kind == lab.FaultPartition {
			e.excusePartitioned(fault)
		}
	case lab.FaultDiscoveryDown, lab.FaultRegistryDown: // agents keep the last list
		e.discoveryDown = true
		for _, sidecar := range e.sidecars {
			if sidecar.subscribed {
				sidecar.subscribed = false
				sidecar.deliver(balance.EndpointUpdate{Kind: balance.UpdateFailed})
			}
		}
	case lab.FaultDiscoveryDelay:
		e.discoveryDelayMS += fault.DelayMS
	case lab.FaultHotKeyControllerDown, lab.FaultLoadReportLoss, lab.FaultFalseLoadReports:
		e.hotKeys.setFault(now, fault, true)
	}
}

// excusePartitioned: what a client that is cut off from its sidecar gets is not the sidecar's doing.
func (e *engine) excusePartitioned(fault *lab.Fault) {
	for _, sidecar := range e.sidecars {
		clientEnd, sidecarEnd := lab.Endpoint{Kind: lab.ClientEndpoint, Index: sidecar.index}, lab.Endpoint{Kind: lab.SidecarEndpoint, Index: sidecar.index}
		if fault.Affects(clientEnd, sidecarEnd) || fault.Affects(sidecarEnd, clientEnd) {
			e.checker.ExcuseSidecar(sidecar.index, fault.StartMS, fault.EndMS+excuseAfterMS)
		}
	}
}

func (e *engine) endFault(now float64, fault *lab.Fault) {
	for _, i := range fault.Servers {
		server := e.servers[i]
		switch fault.Kind {
		case lab.FaultKill:
			if !server.up {
				server.boot(now)
			}
		case lab.FaultZoneOutage:
			if server.vanished {
				server.vanished = false
				server.resetConnections(now, balance.Reset)
				if server.plan.ReplacedMS == 0 || now < server.plan.ReplacedMS {
					server.boot(now)
				}
			}
		case lab.FaultFreeze:
			server.frozen = false
			received := server.waiting
			server.waiting = nil
			for _, attempt := range received {
				server.receive(now, attempt)
			}
			server.advance(now)
			server.scheduleAdvance()
		case lab.FaultConnectionRefused:
			server.refusing = false
		case lab.FaultDiscoveryFalseRemoval:
			if server.listed {
				e.publishEndpoint(now, server, balance.Ready)
			}
		default:
			server.model.SetFault(fault, false)
		}
	}
	for _, i := range fault.Sidecars {
		sidecar := e.sidecars[i]
		switch {
		case fault.Kind == lab.FaultKill && !sidecar.up:
			sidecar.start(now)
		case fault.Kind == lab.FaultFreeze:
			sidecar.unfreeze(now)
		}
	}
	switch fault.Kind {
	case lab.FaultPartition, lab.FaultDelay, lab.FaultPacketLoss:
		e.linkFaults = slices.DeleteFunc(e.linkFaults, func(other *lab.Fault) bool { return other == fault })
	case lab.FaultDiscoveryDown, lab.FaultRegistryDown:
		e.discoveryDown = false
	case lab.FaultDiscoveryDelay:
		e.discoveryDelayMS -= fault.DelayMS
	case lab.FaultHotKeyControllerDown, lab.FaultLoadReportLoss, lab.FaultFalseLoadReports:
		e.hotKeys.setFault(now, fault, false)
	}
	for _, sidecar := range e.sidecars {
		if e.plan.Experiment.Discovery.Mode != "subscribe" || sidecar.subscribed {
			sidecar.applyUpdates(now)
		}
	}
}
