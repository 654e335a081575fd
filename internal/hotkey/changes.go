package hotkey

import (
	"maps"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// shareTolerance is the relative change of a share up to which a directive is not written again.
const shareTolerance = 0.1

// Change is a change of the placement: a directive to set or, if Set is nil, the ID of a directive to remove.
type Change struct {
	Set      *placement.Directive
	RemoveID string
}

// DirectiveID returns the ID of the directive that is set or removed.
func (c *Change) DirectiveID() string {
	if c.Set != nil {
		return c.Set.ID
	}
	return c.RemoveID
}

// changes returns the directives to write: those that differ from the published ones, are not confirmed or expire soon. It
// also returns the directives to remove, and drops keys without replicas.
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

// needsWrite reports whether a key's directive must be written.
func (p *Planner) needsWrite(k *replicatedKey, directive *placement.Directive, now float64) bool {
	return k.published.ID != directive.ID ||
		k.unconfirmed ||
		sharesDiffer(directive.Copies, k.published.Copies) ||
		k.publishedUntil-now <= p.config.DirectiveTTL/2
}

// sharesDiffer reports whether two lists of replicas differ enough for a write: in their servers, in whether a replica has a
// share, or in a share by more than shareTolerance.
func sharesDiffer(a, b []placement.KeyCopy) bool {
	return !slices.EqualFunc(a, b, func(x, y placement.KeyCopy) bool {
		larger := math.Max(x.LoadFraction, y.LoadFraction)
		return x.ServerUID == y.ServerUID &&
			(x.LoadFraction > 0) == (y.LoadFraction > 0) &&
			math.Abs(x.LoadFraction-y.LoadFraction) <= shareTolerance*larger
	})
}

// Confirm records that the last planned change of the directive with this ID is in force from the given revision of the
// placement on.
func (p *Planner) Confirm(id string, revision uint64) {
	delete(p.pendingRemovals, id)
	for _, k := range p.keys {
		if k.published.ID == id {
			k.confirm(revision, &p.config)
		}
	}
}
