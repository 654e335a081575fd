package hotkey

import (
	"math"
	"strconv"

	"milldeck/internal/placement"
)

// Restore takes over the directives that the previous leader left in the placement. It is called after SetServers.
// Active replicas keep their shares, which grow only after enough further responses; replicas in warm-up start it again.
func (p *Planner) Restore(now float64, directives []placement.Directive) {
	for i := range directives {
		if len(p.keys) >= p.config.MaxKeys {
			return
		}
		directive := &directives[i]
		key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
		if err != nil || directive.Kind != placement.KindSpreadKey || directive.ID != DirectiveID(key) {
			continue // not written by this controller
		}
		if float64(directive.ExpiresAtMS) <= now*1000 {
			continue
		}
		p.keys[key] = p.restoreKey(now, key, directive)
	}
}

// restoreKey returns the key of a directive, with the replicas whose servers may still host them.
func (p *Planner) restoreKey(now float64, key uint64, directive *placement.Directive) *replicatedKey {
	k := &replicatedKey{
		key:            key,
		scaleDownAfter: now + p.config.ScaleDownStabilization,
		published:      *directive,
		publishedUntil: float64(directive.ExpiresAtMS) / 1000,
	}
	warmupShare := perReplicaWarmupShare(&p.config, directive.Copies)
	for _, published := range directive.Copies {
		if !p.restorable(k, &published) {
			continue
		}
		k.replicas = append(k.replicas, &replica{
			serverUID:           published.ServerUID,
			revision:            directive.Revision,
			loadShare:           max(published.LoadFraction, warmupShare),
			startedAt:           now,
			inheritedRampFactor: published.LoadFraction, // the published share, until restoreRampFactors replaces it
		})
	}
	p.restoreRampFactors(k)
	return k
}

// restoreRampFactors makes the replicas that were published with a share active, and sets their inherited ramp factors so
// that directive computes the same shares again. Before the call, the inherited ramp factors hold the published shares.
func (p *Planner) restoreRampFactors(k *replicatedKey) {
	totalShare, warming := 0.0, 0
	for _, r := range k.replicas {
		totalShare += r.inheritedRampFactor
		if r.inheritedRampFactor == 0 {
			warming++
		}
	}
	homeCapacity := k.homeCapacity(&p.fleet)
	activeShare := 1 - math.Min(p.config.MaxWarmupShare, p.config.WarmupShare*float64(warming))
	for _, r := range k.replicas {
		if r.inheritedRampFactor == 0 {
			continue
		}
		share := r.inheritedRampFactor
		r.state, r.inheritedRampFactor = Active, 1
		if totalShare < activeShare && homeCapacity > 0 {
			capacity := p.fleet.serverCapacity(p.fleet.index[r.serverUID])
			r.inheritedRampFactor = math.Min(share*homeCapacity/(activeShare-totalShare)/capacity, 1)
		}
	}
}

// restorable reports whether a published replica is valid, not yet added to the key, and on a server that may host it.
func (p *Planner) restorable(k *replicatedKey, published *placement.KeyCopy) bool {
	if !(published.LoadFraction >= 0 && published.LoadFraction <= 1) || k.replicaOn(published.ServerUID) != nil {
		return false
	}
	i, ok := p.fleet.index[published.ServerUID]
	return ok && p.fleet.canHostReplica(i)
}
