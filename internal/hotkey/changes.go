package hotkey

import (
	"maps"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// shareTolerance is the relative difference of a share up to which a published directive stays as it is.
const shareTolerance = 0.1

// Change is one change of the placement: a directive to be set or, where Set is nil, the id of one to be removed.
type Change struct {
	Set      *placement.Directive
	RemoveID string
}

// DirectiveID is the id of the directive that the change is about.
func (c *Change) DirectiveID() string {
	if c.Set != nil {
		return c.Set.ID
	}
	return c.RemoveID
}

// changes returns the directives that differ from what is published, aren't confirmed or expire soon, and those to be
// removed. It forgets keys without replicas.
func (p *Planner) changes(now float64) []Change {
	var changes []Change
	for _, k := range p.sortedKeys() {
		if len(k.replicas) == 0 {
			if k.published.ID != "" {
				p.pendingRemovals[k.published.ID] = true
			}
			delete(p.keys, k.key)
			continue
		}
		directive := k.directive(&p.fleet, &p.config, now)
		if !p.needsWrite(k, &directive, now) {
			continue
		}
		delete(p.pendingRemovals, directive.ID)
		k.published, k.publishedUntil, k.unconfirmed = directive, now+p.config.DirectiveTTL, true
		changes = append(changes, Change{Set: &directive})
	}
	for _, id := range slices.Sorted(maps.Keys(p.pendingRemovals)) {
		changes = append(changes, Change{RemoveID: id})
	}
	return changes
}

// needsWrite reports whether a key's directive is to be written again.
func (p *Planner) needsWrite(k *replicatedKey, directive *placement.Directive, now float64) bool {
	return k.published.ID != directive.ID ||
		k.unconfirmed ||
		sharesDiffer(directive.Copies, k.published.Copies) ||
		k.publishedUntil-now <= p.config.DirectiveTTL/2
}

// sharesDiffer reports whether replicas differ enough to be worth a write: other servers, or a share by more than
// shareTolerance.
func sharesDiffer(a, b []placement.KeyCopy) bool {
	return !slices.EqualFunc(a, b, func(x, y placement.KeyCopy) bool {
		larger := math.Max(x.LoadFraction, y.LoadFraction)
		return x.ServerUID == y.ServerUID &&
			(x.LoadFraction > 0) == (y.LoadFraction > 0) &&
			math.Abs(x.LoadFraction-y.LoadFraction) <= shareTolerance*larger
	})
}

// Confirm says that the change about a directive's id, of the last plan, is in force from a revision of the placement
// on.
func (p *Planner) Confirm(id string, revision uint64) {
	delete(p.pendingRemovals, id)
	for _, k := range p.keys {
		if k.published.ID == id {
			k.confirm(revision, &p.config)
		}
	}
}
