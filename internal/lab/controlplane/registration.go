package controlplane

import "milldeck/internal/disruption"

const (
	endpointLeaseMS = 4000   // registration lease of servers and sidecars
	massLossHoldMS  = 60_000 // in a mass loss, servers are unknown for this long before they are marked lost
	massLossDivisor = 6      // in a mass loss, more than 1/massLossDivisor of the servers are missing
)

// updateRegistration renews a unit's registration, or handles its missed heartbeat. missingCount is the number of units of
// the unit's kind that send no heartbeats.
func (c *cluster) updateRegistration(target *unit, missingCount int) {
	if !c.registry.available() {
		return
	}
	if target.alive && target.unreachableUntilMS <= c.nowMS && target.agentReachable(c.nowMS) {
		c.renewRegistration(target)
	} else {
		c.missHeartbeat(target, missingCount)
	}
}

// missHeartbeat marks a unit lost once its registration lease has expired. In a mass loss it marks servers unknown first,
// because the registry itself may be the partitioned side.
func (c *cluster) missHeartbeat(target *unit, missingCount int) {
	registry := c.registry
	if target.missingSinceMS == 0 {
		target.missingSinceMS = c.nowMS
	}
	known, ok := registry.ledger.Unit(target.ID)
	missingMS := c.nowMS - max(target.missingSinceMS, registry.leaderSinceMS)
	if !ok || known.Condition == disruption.ConditionLost || missingMS < endpointLeaseMS {
		return
	}
	massLoss := target.sidecar == nil && missingCount*massLossDivisor > len(c.servers)
	if massLoss && missingMS < massLossHoldMS {
		if known.Condition != disruption.ConditionUnknown {
			registry.revision++
			registry.ledger.MarkUnknown(registry.revision, target.ID)
		}
		return
	}
	registry.revision++
	registry.ledger.MarkLost(registry.revision, target.ID)
	if target.decommissioned {
		delete(registry.drainRevisions, target.ID)
	}
}

// renewRegistration registers a unit with the condition that its heartbeats report.
func (c *cluster) renewRegistration(target *unit) {
	registry := c.registry
	target.missingSinceMS = 0
	registration := target.Unit
	registration.Version, registration.BootMS = target.version, float64(target.bootMS)
	known, ok := registry.ledger.Unit(target.ID)
	if ok && known.BootMS != registration.BootMS && registry.drainRevisions[target.ID] != 0 {
		delete(registry.drainRevisions, target.ID) // a new process registers as ready
		registry.revision++
	}
	registration.Condition = c.reportedCondition(target)
	registry.revision++
	registry.ledger.Register(registry.revision, registration)

	known, _ = registry.ledger.Unit(target.ID)
	condition := registration.Condition
	if condition == disruption.ConditionUp && target.warmAtMS > c.nowMS {
		condition = disruption.ConditionWarmingUp
	}
	if condition != disruption.ConditionDraining && known.Condition != condition {
		observed := []disruption.Unit{{ID: target.ID, Condition: condition}}
		registry.commitLedgerOp(&disruption.Op{Kind: disruption.OpObserve, Owner: "prober", Observed: observed})
		known, _ = registry.ledger.Unit(target.ID)
	}
	target.registrationPending = target.starting(c.nowMS) || known.Condition != condition
}

// reportedCondition returns the condition that a unit's heartbeats report.
func (c *cluster) reportedCondition(target *unit) disruption.Condition {
	switch {
	case target.readyAtMS > c.nowMS || target.underMaintenance:
		return disruption.ConditionUnready
	case c.registry.drainRevisions[target.ID] != 0:
		return disruption.ConditionDraining
	default:
		return disruption.ConditionUp
	}
}
