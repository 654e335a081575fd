package controlplane

import (
	"milldeck/internal/disruption"
	"milldeck/internal/maintenance"
)

// applyStaleGrant implements Defects.StaleReads: it grants a permit on availability data that is one second old. Permits
// that were granted this way are kept outside the ledger. It reports whether it has handled the operation.
func (r *registry) applyStaleGrant(op *disruption.Op) bool {
	if op.Permit == nil {
		return false
	}
	staleGrant := r.staleGrants[op.Permit.ID]
	if staleGrant == nil {
		if op.Kind != disruption.OpRequest || !r.cluster.hadCapacity(op.Permit) {
			return false
		}
		grant := *op.Permit
		grant.Stage, grant.GrantRevision = disruption.StageGranted, r.revision
		r.staleGrants[grant.ID] = &grant
		return true
	}
	switch {
	case op.Kind == disruption.OpBegin && staleGrant.Stage == disruption.StageGranted:
		staleGrant.Stage, staleGrant.BeginRevision = disruption.StageActive, r.revision
	case op.Kind == disruption.OpReturn && staleGrant.Stage == disruption.StageActive:
		staleGrant.Stage, staleGrant.ReturnRevision = disruption.StageReturning, r.revision
	case op.Kind == disruption.OpCancel:
		staleGrant.Stage = disruption.StageCancelled
	case op.Kind == disruption.OpComplete && r.allUp(staleGrant.Units):
		staleGrant.Stage = disruption.StageCompleted
	}
	return true
}

// allUp reports whether every unit has condition up in the ledger.
func (r *registry) allUp(unitIDs []string) bool {
	for _, unitID := range unitIDs {
		if known, _ := r.ledger.Unit(unitID); known.Condition != disruption.ConditionUp {
			return false
		}
	}
	return true
}

// hadCapacity reports whether a permit was within every budget one second ago.
func (c *cluster) hadCapacity(permit *disruption.Permit) bool {
	for _, budget := range c.options.budgets() {
		requested := 0
		for _, unitID := range permit.Units {
			if budget.Selector.Matches(&c.unitsByID[unitID].Unit) {
				requested++
			}
		}
		if requested > 0 && c.unavailableBefore[budget.Name]+requested > *budget.MaxUnavailable.Count {
			return false
		}
	}
	return true
}

// recordUnavailable records how many units of each budget are unavailable, for hadCapacity.
func (c *cluster) recordUnavailable() {
	c.registry.indexPermits()
	for _, budget := range c.options.budgets() {
		unavailable := 0
		for _, member := range c.units {
			if !budget.Selector.Matches(&member.Unit) {
				continue
			}
			known, _ := c.registry.ledger.Unit(member.ID)
			_, permitted := c.registry.permitByUnit[member.ID]
			if permitted || known.Condition != disruption.ConditionUp {
				unavailable++
			}
		}
		c.unavailableBefore[budget.Name] = unavailable
	}
}

// completePermitsOf implements Defects.CompletePermitsOnLeaseExpiry.
func (r *registry) completePermitsOf(owner string) {
	for _, permit := range r.ledger.OpenPermits() {
		if permit.Owner != owner || permitFinished(permit.Stage) || permit.Stage == disruption.StageRequested {
			continue
		}
		completed := &disruption.Permit{ID: permit.ID}
		r.commitLedgerOp(&disruption.Op{Kind: disruption.OpForceComplete, Owner: operatorName, Permit: completed})
	}
}

// withHighestToken implements Defects.IgnoreFencingTokens for the maintenance table, which checks tokens itself. It returns
// the operation with the highest token so far in place of a stale token.
func (r *registry) withHighestToken(op *maintenance.Operation) *maintenance.Operation {
	if op.Token == 0 {
		return op
	}
	replaced := *op
	replaced.Token = max(op.Token, r.cluster.highestToken)
	r.cluster.highestToken = replaced.Token
	return &replaced
}
