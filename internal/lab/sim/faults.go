package sim

import (
	"slices"

	"milldeck/balance"
	"milldeck/internal/lab"
)

// scheduleReplacements schedules the starts and drains of servers in a rolling replacement.
func (e *simEngine) scheduleReplacements() {
	for _, server := range e.servers {
		if server.plan.StartMS > 0 {
			e.schedule(server.plan.StartMS, server.boot)
		}
		if server.plan.ReplacedMS > 0 {
			e.schedule(server.plan.ReplacedMS, func(now float64) { server.drain(now, false) })
		}
	}
}

// scheduleFault schedules the start and the end of a fault. Rolling replacements are part of the plans of the servers.
// Exhausted file descriptors have no effect, as simulated sidecars have no sockets.
func (e *simEngine) scheduleFault(fault *lab.Fault) {
	e.schedule(fault.StartMS, func(now float64) { e.beginFault(now, fault) })
	if fault.EndMS > 0 {
		e.schedule(fault.EndMS, func(now float64) { e.endFault(now, fault) })
	}
}

func (e *simEngine) beginFault(now float64, fault *lab.Fault) {
	for _, i := range fault.Servers {
		e.servers[i].beginFault(now, fault)
	}
	for _, i := range fault.Sidecars {
		e.sidecars[i].beginFault(now, fault)
	}
	switch fault.Kind {
	case lab.FaultPartition:
		e.linkFaults = append(e.linkFaults, fault)
		e.excusePartitioned(fault)
	case lab.FaultDelay, lab.FaultPacketLoss:
		e.linkFaults = append(e.linkFaults, fault)
	case lab.FaultDiscoveryDown, lab.FaultRegistryDown: // agents retain the last endpoint list
		e.stopDiscovery()
	case lab.FaultDiscoveryDelay:
		e.discoveryDelayMS += fault.DelayMS
	case lab.FaultHotKeyControllerDown, lab.FaultLoadReportLoss, lab.FaultFalseLoadReports:
		e.hotKeys.setFault(now, fault, true)
	}
}

func (e *simEngine) endFault(now float64, fault *lab.Fault) {
	for _, i := range fault.Servers {
		e.servers[i].endFault(now, fault)
	}
	for _, i := range fault.Sidecars {
		e.sidecars[i].endFault(now, fault)
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
		if sidecar.isNotified() {
			sidecar.applyUpdates(now)
		}
	}
}

// stopDiscovery makes discovery unavailable, which ends the watches of sidecars.
func (e *simEngine) stopDiscovery() {
	e.discoveryDown = true
	for _, sidecar := range e.sidecars {
		if sidecar.subscribed {
			sidecar.subscribed = false
			sidecar.deliver(balance.EndpointUpdate{Kind: balance.UpdateFailed})
		}
	}
}

// excusePartitioned excuses late responses of the sidecars that are partitioned from their clients.
func (e *simEngine) excusePartitioned(fault *lab.Fault) {
	for _, sidecar := range e.sidecars {
		client := sidecar.clientLinkEnd()
		if fault.Affects(client, sidecar.linkEnd()) || fault.Affects(sidecar.linkEnd(), client) {
			e.checker.ExcuseSidecar(sidecar.index, fault.StartMS, fault.EndMS+excuseAfterMS)
		}
	}
}

func (s *simServer) beginFault(now float64, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill:
		s.crash(now)
		s.scheduleRemoval(now)
	case lab.FaultZoneOutage:
		s.machineDown = true
		s.scheduleRemoval(now)
	case lab.FaultRestart:
		s.drain(now, true)
	case lab.FaultFreeze:
		s.frozen = true
	case lab.FaultConnectionRefused:
		s.refusing = true
		s.resetConnections(now, balance.Reset)
	case lab.FaultDiscoveryFalseRemoval:
		if s.listed {
			s.engine.publishEndpoint(now, s, balance.Removed)
		}
	default:
		s.model.SetFault(fault, true)
	}
}

func (s *simServer) endFault(now float64, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill:
		if !s.up {
			s.boot(now)
		}
	case lab.FaultZoneOutage:
		s.endOutage(now)
	case lab.FaultFreeze:
		s.unfreeze(now)
	case lab.FaultConnectionRefused:
		s.refusing = false
	case lab.FaultDiscoveryFalseRemoval:
		if s.listed {
			s.engine.publishEndpoint(now, s, balance.Ready)
		}
	default:
		s.model.SetFault(fault, false)
	}
}

// endOutage starts a server again after a zone outage, unless the plan has replaced the server in the meantime.
func (s *simServer) endOutage(now float64) {
	if !s.machineDown {
		return
	}
	s.machineDown = false
	s.resetConnections(now, balance.Reset)
	if s.plan.ReplacedMS == 0 || now < s.plan.ReplacedMS {
		s.boot(now)
	}
}

// unfreeze resumes the server. The server handles the requests that arrived while it was frozen.
func (s *simServer) unfreeze(now float64) {
	s.frozen = false
	received := s.pendingAttempts
	s.pendingAttempts = nil
	for _, attempt := range received {
		s.receive(now, attempt)
	}
	s.advance(now)
	s.scheduleAdvance()
}

func (s *simSidecar) beginFault(now float64, fault *lab.Fault) {
	switch fault.Kind {
	case lab.FaultKill:
		s.kill(now)
	case lab.FaultRestart:
		s.restart(now)
	case lab.FaultFreeze:
		s.freeze(fault.EndMS)
	case lab.FaultReload:
		s.fetchEndpoints(s.subscribed) // the sidecar connects to discovery at another address and gets the complete list
	}
}

func (s *simSidecar) endFault(now float64, fault *lab.Fault) {
	switch {
	case fault.Kind == lab.FaultKill && !s.up:
		s.start(now)
	case fault.Kind == lab.FaultFreeze:
		s.unfreeze(now)
	}
}
