package controlplane

import (
	"milldeck/internal/placement"
)

// syncSidecars has sidecars take in what their agents have, and end what is over.
func (c *cluster) syncSidecars() {
	if revision := max(c.registry.placements.Revision(), c.registry.revision); revision != c.syncedRevision {
		c.syncedRevision, c.syncUntilMS = revision, c.nowMS+3000
	}
	if c.nowMS > c.syncUntilMS && c.nowMS%5000 != 0 {
		return
	}
	leaderMS := c.nowMS + c.registry.leaderClock.offsetMS
	update := c.registry.placements.CompleteUpdate(leaderMS)
	for _, member := range c.sidecars {
		sidecar := member.sidecar
		for _, directiveID := range sortedKeys(sidecar.exclusions) {
			if active := sidecar.exclusions[directiveID]; active.expiresMS <= c.nowMS {
				c.endExclusion(member, directiveID, active.expiresMS)
			}
		}
		if !member.alive || member.readyAtMS > c.nowMS || sidecar.agentDownUntilMS > c.nowMS || c.nowMS%1000 < sidecar.pollDelayMS%1000-tickMS {
			continue
		}
		sidecar.endpointRevision = c.registry.revision
		if sidecar.placementRevision == update.Revision && sidecar.placementEpoch == update.Epoch {
			continue
		}
		previousRevision := sidecar.placementRevision
		if sidecar.placementEpoch != update.Epoch {
			previousRevision = 0
		}
		sidecar.placementRevision, sidecar.placementEpoch = update.Revision, update.Epoch
		directives := map[string]bool{}
		for index := range update.Directives {
			if directive := &update.Directives[index]; directive.Kind == placement.KindExclude {
				directives[directive.ID] = true
				if directive.Revision > previousRevision || sidecar.exclusions[directive.ID] == nil {
					c.applyExclusion(member, directive, directive.ExpiresAtMS-leaderMS)
				}
			}
		}
		for _, directiveID := range sortedKeys(sidecar.exclusions) {
			if !directives[directiveID] {
				c.endExclusion(member, directiveID, c.nowMS)
			}
		}
	}
}

// applyExclusion has a sidecar follow an entry: until its own clock says that it is over, or what was left of it has passed.
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

func (c *cluster) endExclusion(target *unit, directiveID string, endMS int64) {
	ended := target.sidecar.exclusions[directiveID]
	delete(target.sidecar.exclusions, directiveID)
	c.checker.observeExclusion(target, ended.tenant, ended.startedMS, min(ended.expiresMS, endMS))
}

func (c *cluster) endAllExclusions(target *unit) {
	for _, id := range sortedKeys(target.sidecar.exclusions) {
		c.endExclusion(target, id, c.nowMS)
	}
}
