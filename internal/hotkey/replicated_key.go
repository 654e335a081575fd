package hotkey

import (
	"fmt"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// shareScale is the precision of published shares: each is rounded to a multiple of 1/shareScale.
const shareScale = 1e5

// replicatedKey is a key that has replicas or needs some.
type replicatedKey struct {
	key      uint64
	replicas []*replica

	loadLowerBound     float64 // at the last plan, ms of work per second
	requiredCapacity   float64 // that home servers and replicas together need, ms of work per second
	capacityAtDrain    float64 // of the key's servers before a drain of one of them began; 0 if none drains
	headroomUpperBound float64 // upper bound of the fraction of a server's capacity that the key may use
	headroomLowerBound float64 // lower bound of the same fraction

	scaleDownAfter float64 // time before which the key is not scaled down
	uncertainSince float64 // time since which only bounds for unlisted keys prevent a scale-down; 0 if they do not

	published      placement.Directive
	publishedUntil float64       // time at which the published directive expires
	unconfirmed    bool          // the published directive is not known to be in force
	observed       []observation // since creditResponses last credited responses, one per sidecar
}

// observation is what one or more successive reports of a sidecar show of a key.
type observation struct {
	sidecar  string
	requests float64 // that the sidecar received in the time that these reports cover
	// fromRevision and toRevision are the revisions of the placement that the sidecar followed at the start and the end of
	// that time.
	fromRevision, toRevision uint64
}

// DirectiveID returns the ID of a key's directive.
func DirectiveID(key uint64) string { return "spread/" + FormatKey(key) }

// FormatKey returns a key in the format of directives and reports: 16 hexadecimal digits.
func FormatKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// replicaOn returns the replica on a server, or nil.
func (k *replicatedKey) replicaOn(serverUID string) *replica {
	for _, r := range k.replicas {
		if r.serverUID == serverUID {
			return r
		}
	}
	return nil
}

func (k *replicatedKey) countIn(state ReplicaState) int {
	count := 0
	for _, r := range k.replicas {
		if r.state == state {
			count++
		}
	}
	return count
}

// remove removes the replica on a server without retiring it first.
func (k *replicatedKey) remove(serverUID string) {
	k.replicas = slices.DeleteFunc(k.replicas, func(r *replica) bool { return r.serverUID == serverUID })
}

// observe merges an observation with the same sidecar's observation since creditResponses last credited responses.
func (k *replicatedKey) observe(next observation) {
	i := slices.IndexFunc(k.observed, func(o observation) bool { return o.sidecar == next.sidecar })
	if i < 0 {
		k.observed = append(k.observed, next)
		return
	}
	next.requests += k.observed[i].requests
	next.fromRevision = min(next.fromRevision, k.observed[i].fromRevision)
	k.observed[i] = next
}

// creditResponses increases the replicas' numbers of responses by estimates from the observed requests, once enough sidecars
// have reported. It credits no responses to replicas on overloaded servers.
func (k *replicatedKey) creditResponses(fleet *fleetView, requiredReporters int) {
	if len(k.observed) < requiredReporters {
		return
	}
	for _, r := range k.replicas {
		if fleet.servers[fleet.index[r.serverUID]].Overloaded || r.revision == 0 {
			continue
		}
		r.responses += r.estimateResponses(k.observed, requiredReporters)
	}
	k.observed = k.observed[:0]
}

// advance makes replicas with enough responses active, and removes replicas that have retired or failed to warm up.
func (k *replicatedKey) advance(config *Config, now float64) {
	k.replicas = slices.DeleteFunc(k.replicas, func(r *replica) bool {
		r.advance(config)
		return r.expired(config, now)
	})
}

// confirm records that the published directive is in force from the given revision on.
func (k *replicatedKey) confirm(revision uint64, config *Config) {
	k.unconfirmed = false
	warmupShare := perReplicaWarmupShare(config, k.published.Copies)
	for _, published := range k.published.Copies {
		r := k.replicaOn(published.ServerUID)
		if r == nil {
			continue
		}
		if r.loadShare = published.LoadFraction; r.loadShare == 0 {
			r.loadShare = warmupShare
		}
		if r.revision == 0 {
			r.revision = revision
		}
	}
}

// homeCapacity returns the capacity of the key's home servers, except those that drain or host a replica of the key.
func (k *replicatedKey) homeCapacity(fleet *fleetView) float64 {
	capacity := 0.0
	fleet.forEachHomeServer(k.key, func(i int) {
		uid := fleet.servers[i].UID
		if !fleet.draining[uid] && k.replicaOn(uid) == nil {
			capacity += fleet.serverCapacity(i)
		}
	})
	return capacity
}

// replicaCapacity returns the capacity of active replicas, scaled by their ramp factors, and the total capacity of
// replicas that are active or warming up. Draining servers are excluded.
func (k *replicatedKey) replicaCapacity(fleet *fleetView, config *Config) (active, total float64) {
	for _, r := range k.replicas {
		if fleet.draining[r.serverUID] || r.state == Retiring {
			continue
		}
		capacity := fleet.serverCapacity(fleet.index[r.serverUID])
		total += capacity
		if r.state == Active {
			active += capacity * r.rampFactor(config, 0) // the time affects retiring replicas only
		}
	}
	return active, total
}

// activeCapacity returns the capacity that serves the key now: that of its home servers, and that of active replicas scaled
// by their ramp factors.
func (k *replicatedKey) activeCapacity(fleet *fleetView, config *Config) float64 {
	active, _ := k.replicaCapacity(fleet, config)
	return k.homeCapacity(fleet) + active
}

// plannedCapacity returns the capacity of the key's home servers and replicas once all replicas are warm.
func (k *replicatedKey) plannedCapacity(fleet *fleetView, config *Config) float64 {
	_, total := k.replicaCapacity(fleet, config)
	return k.homeCapacity(fleet) + total
}

// directive returns the key's directive to publish. The load that remains after the warm-up shares is divided among home
// servers and replicas in proportion to capacity; the capacity of a replica is multiplied by its ramp factor.
func (k *replicatedKey) directive(fleet *fleetView, config *Config, now float64) placement.Directive {
	directive := placement.Directive{
		ID:          DirectiveID(k.key),
		Kind:        placement.KindSpreadKey,
		KeyHash:     FormatKey(k.key),
		ExpiresAtMS: int64((now + config.DirectiveTTL) * 1000),
	}
	weights, total := make([]float64, len(k.replicas)), 0.0
	fleet.forEachHomeServer(k.key, func(i int) {
		if k.replicaOn(fleet.servers[i].UID) == nil {
			total += fleet.serverCapacity(i)
		}
	})
	for i, r := range k.replicas {
		if factor := r.rampFactor(config, now); factor > 0 && r.state != Warming {
			weights[i] = fleet.serverCapacity(fleet.index[r.serverUID]) * factor
			total += weights[i]
		}
	}
	activeShare := 1 - math.Min(config.MaxWarmupShare, config.WarmupShare*float64(k.countIn(Warming)))
	for i, r := range k.replicas {
		share := 0.0
		if total > 0 {
			share = math.Round(activeShare*weights[i]/total*shareScale) / shareScale
		}
		directive.Copies = append(directive.Copies, placement.KeyCopy{ServerUID: r.serverUID, LoadFraction: share})
	}
	return directive
}
