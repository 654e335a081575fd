package hotkey

import (
	"math"
	"strconv"

	"milldeck/internal/placement"
)

// Restore takes over the directives that the previous leader left in the placement. It is called after SetServers.
// Active replicas keep their shares and get no more before they have answered enough again; replicas that were warming up
// start anew.
func (p *Planner) Restore(now float64, directives []placement.Directive) {
	for i := range directives {
		if len(p.keys) >= p.config.MaxKeys {
			return
		}
		directive := &directives[i]
		key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
		if err != nil || directive.Kind != placement.KindSpreadKey || directive.ID != DirectiveID(key) {
			continue // another owner's
		}
		if float64(directive.ExpiresAtMS) <= now*1000 {
			continue
		}
		p.keys[key] = p.restoreKey(now, key, directive)
	}
}

// restoreKey returns a key as a directive describes it, with the replicas whose servers may still host them.
func (p *Planner) restoreKey(now float64, key uint64, directive *placement.Directive) *replicatedKey {
	k := &replicatedKey{
		key:            key,
		scaleDownAfter: now + p.config.ScaleDownStabilization,
		published:      *directive,
		publishedUntil: float64(directive.ExpiresAtMS) / 1000,
	}
	totalShare, activeCount := 0.0, 0
	warmupShare := perReplicaWarmupShare(&p.config, directive.Copies)
	for _, published := range directive.Copies {
		if !p.restorable(k, &published) {
			continue
		}
		if totalShare += published.LoadFraction; published.LoadFraction > 0 {
			activeCount++
		}
		k.replicas = append(k.replicas, &replica{
			serverUID:      published.ServerUID,
			revision:       directive.Revision,
			loadShare:      max(published.LoadFraction, warmupShare),
			startedAt:      now,
			inheritedShare: published.LoadFraction,
		})
	}
	homeCapacity := k.homeCapacity(&p.fleet)
	warming := k.countIn(Warming) - activeCount
	activeShare := 1 - math.Min(p.config.MaxWarmupShare, p.config.WarmupShare*float64(warming))
	for _, r := range k.replicas {
		if r.inheritedShare == 0 {
			continue
		}
		share := r.inheritedShare
		r.state, r.inheritedShare = Active, 1
		// The ramp factor by which directive would compute this share.
		if totalShare < activeShare && homeCapacity > 0 {
			capacity := p.fleet.serverCapacity(p.fleet.index[r.serverUID])
			r.inheritedShare = math.Min(share*homeCapacity/(activeShare-totalShare)/capacity, 1)
		}
	}
	return k
}

// restorable reports whether a published replica is valid, new to the key, and on a server that may host it.
func (p *Planner) restorable(k *replicatedKey, published *placement.KeyCopy) bool {
	if !(published.LoadFraction >= 0 && published.LoadFraction <= 1) || k.replicaOn(published.ServerUID) != nil {
		return false
	}
	i, ok := p.fleet.index[published.ServerUID]
	return ok && p.fleet.canHostReplica(i)
}
