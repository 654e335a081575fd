package sim

import (
	"milldeck/balance"
	"milldeck/internal/lab"
)

// networkDelay returns the one-way delay in ms between a sidecar and a server; false: the message is lost.
func (e *simEngine) networkDelay(sidecar *simSidecar, server *simServer, toServer bool) (float64, bool) {
	delay := server.plan.DelayByZone[sidecar.plan.Zone]
	delay *= 1 + e.plan.Experiment.Network.Jitter*(2*e.rng.Float64()-1)
	from, to := sidecar.linkEnd(), server.linkEnd()
	if !toServer {
		from, to = to, from
	}
	extra, passes := e.linkDelay(from, to)
	return delay + extra, passes
}

// linkDelay returns the delay in ms that faults add to a message between two link ends; false: the message is lost.
func (e *simEngine) linkDelay(from, to lab.LinkEnd) (float64, bool) {
	extra := 0.0
	for _, fault := range e.linkFaults {
		if !fault.Affects(from, to) {
			continue
		}
		switch fault.Kind {
		case lab.FaultPartition:
			return 0, false
		case lab.FaultPacketLoss:
			if e.rng.Float64() < fault.Probability {
				return 0, false
			}
		case lab.FaultDelay:
			extra += fault.DelayMS
		}
	}
	return extra, true
}

// isPartitioned reports whether a partition blocks all messages from one link end to another.
func (e *simEngine) isPartitioned(from, to lab.LinkEnd) bool {
	for _, fault := range e.linkFaults {
		if fault.Kind == lab.FaultPartition && fault.Affects(from, to) {
			return true
		}
	}
	return false
}

// healthCheck sends a health check to a server.
func (s *simSidecar) healthCheck(server *simServer) {
	if server == nil {
		return
	}
	engine, sent, incarnation := s.engine, s.engine.now, s.incarnation
	engine.recorder.AddCounts(func(c *lab.Counts) { c.HealthChecks++ })
	result, after := balance.TimedOut, engine.plan.Experiment.Limits.ConnectTimeoutMS
	delay, passes := engine.networkDelay(s, server, true)
	returnDelay, returns := engine.networkDelay(s, server, false)
	if passes && returns && !server.machineDown && !server.frozen {
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

// sendGossip sends a message to one sidecar, or to all other sidecars if to is negative.
func (s *simSidecar) sendGossip(to int, data []byte) {
	engine := s.engine
	for _, other := range engine.sidecars {
		if other == s || to >= 0 && other.index != to {
			continue
		}
		extra, passes := engine.linkDelay(s.linkEnd(), other.linkEnd())
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
