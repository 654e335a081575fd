package controlplane

import "milldeck/internal/placement"

const (
	syncMS       = 3000 // all sidecars poll a new revision within this time
	syncPeriodMS = 5000 // time between polls while there is no new revision
)

// syncSidecars has the sidecars poll the registry, and ends expired exclusions.
func (c *cluster) syncSidecars() {
	if revision := max(c.registry.placements.Revision(), c.registry.revision); revision != c.syncedRevision {
		c.syncedRevision, c.syncUntilMS = revision, c.nowMS+syncMS
	}
	if c.nowMS > c.syncUntilMS && c.nowMS%syncPeriodMS != 0 {
		return
	}
	leaderMS := c.registry.leaderTimeMS()
	update := c.registry.placements.CompleteUpdate(leaderMS)
	for _, member := range c.sidecars {
		c.endExpiredExclusions(member)
		polls := c.nowMS%1000 >= member.sidecar.pollDelayMS%1000-tickMS
		if member.ready(c.nowMS) && member.agentReachable(c.nowMS) && polls {
			c.syncSidecar(member, &update, leaderMS)
		}
	}
}

// syncSidecar applies the newest placement to a sidecar: exclusions begin, are extended or end.
func (c *cluster) syncSidecar(target *unit, update *placement.Update, leaderMS int64) {
	sidecar := target.sidecar
	sidecar.endpointRevision = c.registry.revision
	if sidecar.placementRevision == update.Revision && sidecar.placementEpoch == update.Epoch {
		return
	}
	previousRevision := sidecar.placementRevision
	if sidecar.placementEpoch != update.Epoch {
		previousRevision = 0
	}
	sidecar.placementRevision, sidecar.placementEpoch = update.Revision, update.Epoch
	current := map[string]bool{}
	for index := range update.Directives {
		directive := &update.Directives[index]
		if directive.Kind != placement.KindExclude {
			continue
		}
		current[directive.ID] = true
		if directive.Revision > previousRevision || sidecar.exclusions[directive.ID] == nil {
			c.applyExclusion(target, directive, directive.ExpiresAtMS-leaderMS)
		}
	}
	for _, directiveID := range sortedKeys(sidecar.exclusions) {
		if !current[directiveID] {
			c.endExclusion(target, directiveID, c.nowMS)
		}
	}
}

// applyExclusion has a sidecar apply a directive until its own clock reaches the expiry, or until remainingMS, the time
// left by the leader's clock, has passed, whichever comes first.
func (c *cluster) applyExclusion(target *unit, directive *placement.Directive, remainingMS int64) {
	sidecar := target.sidecar
	expiresMS := min(directive.ExpiresAtMS-sidecar.offsetMS, c.nowMS+remainingMS)
	active := sidecar.exclusions[directive.ID]
	if active != nil && active.expiresMS <= c.nowMS {
		c.endExclusion(target, directive.ID, active.expiresMS)
		active = nil
	}
	if expiresMS <= c.nowMS {
		return
	}
	if active == nil {
		active = &exclusion{tenant: directive.Tenant, startedMS: c.nowMS, drainedMS: c.nowMS + 1000 + c.random.Int64N(8000)}
		sidecar.exclusions[directive.ID] = active
	}
	active.expiresMS = expiresMS
}

// endExclusion ends an exclusion at endMS, or at its expiry if that is earlier.
func (c *cluster) endExclusion(target *unit, directiveID string, endMS int64) {
	ended := target.sidecar.exclusions[directiveID]
	delete(target.sidecar.exclusions, directiveID)
	c.checker.observeExclusion(target, ended.tenant, ended.startedMS, min(ended.expiresMS, endMS))
}

func (c *cluster) endExpiredExclusions(target *unit) {
	for _, directiveID := range sortedKeys(target.sidecar.exclusions) {
		if active := target.sidecar.exclusions[directiveID]; active.expiresMS <= c.nowMS {
			c.endExclusion(target, directiveID, active.expiresMS)
		}
	}
}

func (c *cluster) endAllExclusions(target *unit) {
	for _, directiveID := range sortedKeys(target.sidecar.exclusions) {
		c.endExclusion(target, directiveID, c.nowMS)
	}
}

// loadReport returns a sidecar's load report: the requests in flight to the servers that it excludes.
func (c *cluster) loadReport(source *unit) placement.LoadReport {
	report := placement.LoadReport{
		Sidecar:           source.name,
		PlacementRevision: source.sidecar.placementRevision,
		ExcludedInFlight:  map[string]int{},
	}
	for directiveID, active := range source.sidecar.exclusions {
		if active.expiresMS <= c.nowMS {
			continue
		}
		report.ExcludedInFlight[directiveID] = 0
		if active.drainedMS > c.nowMS {
			report.ExcludedInFlight[directiveID] = 1
		}
	}
	return report
}
