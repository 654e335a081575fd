package hotkey

import (
	"fmt"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// shareDigits is the precision of published shares: they are rounded to a multiple of its inverse.
const shareScale = 1e5

// replicatedKey is a key that has replicas, or is to get some.
type replicatedKey struct {
	key      uint64
	replicas []*replica

	loadLowerBound   float64 // lower bound of its load at the last plan, ms of work a second
	requiredCapacity float64 // that home servers and replicas together are to have, ms of work a second
	capacityAtDrain  float64 // that it had when the drain of one of its servers began; 0: none drains
	maxHeadroom      float64 // upper bound of the fraction of a server's capacity that it may fill
	minHeadroom      float64 // lower bound of the same

	scaleDownAfter float64 // time before which it isn't scaled down
	uncertainSince float64 // time since which only the bounds of unlisted keys speak for its load; 0: they don't

	published      placement.Directive
	publishedUntil float64       // time at which the published directive expires
	unconfirmed    bool          // the published directive isn't known to be in force
	observed       []observation // since responses were credited last, one for each sidecar
}

// observation is what a sidecar's report shows of a key.
type observation struct {
	sidecar  string
	requests float64 // since its last report
	// fromRevision and toRevision are the placement's revisions that it followed at the begin and the end of that time.
	fromRevision, toRevision uint64
}

// DirectiveID is the id of a key's directive.
func DirectiveID(key uint64) string { return "spread/" + FormatKey(key) }

// FormatKey formats a key as directives and reports do: 16 hexadecimal digits.
func FormatKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// replicaOn returns the replica on a server, nil where there is none.
func (k *replicatedKey) replicaOn(serverUID string) *replica {
	for _, r := range k.replicas {
		if r.serverUID == serverUID {
			return r
		}
	}
	return nil
}

// countIn counts the replicas in a state.
func (k *replicatedKey) countIn(state ReplicaState) int {
	count := 0
	for _, r := range k.replicas {
		if r.state == state {
			count++
		}
	}
	return count
}

// remove removes the replica on a server at once.
func (k *replicatedKey) remove(serverUID string) {
	k.replicas = slices.DeleteFunc(k.replicas, func(r *replica) bool { return r.serverUID == serverUID })
}

// observe adds what a report shows to what the same sidecar has shown since responses were credited last.
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

// creditResponses credits replicas with their fractions of the observed requests, once enough sidecars have reported.
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

// advance makes replicas active that have answered enough, and removes those that have retired or do not warm up.
func (k *replicatedKey) advance(config *Config, now float64) {
	k.replicas = slices.DeleteFunc(k.replicas, func(r *replica) bool {
		r.advance(config)
		return r.expired(config, now)
	})
}

// confirm notes that the published directive is in force from a revision on.
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

// homeCapacity is the capacity of the key's home servers, without those that drain.
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

// replicaCapacity returns the capacity of active replicas by the shares that they can take already, and the total
// capacity of those that are active or warming up. Draining servers are left out.
func (k *replicatedKey) replicaCapacity(fleet *fleetView, config *Config) (active, total float64) {
	for _, r := range k.replicas {
		if fleet.draining[r.serverUID] || r.state == Retiring {
			continue
		}
		capacity := fleet.serverCapacity(fleet.index[r.serverUID])
		total += capacity
		if r.state == Active {
			active += capacity * r.rampFactor(config, 0) // the time counts for retiring replicas alone
		}
	}
	return active, total
}

// activeCapacity is the capacity that serves the key now: its home servers, and active replicas by the shares that they
// can take already.
func (k *replicatedKey) activeCapacity(fleet *fleetView, config *Config) float64 {
	active, _ := k.replicaCapacity(fleet, config)
	return k.homeCapacity(fleet) + active
}

// plannedCapacity is the capacity of the key's home servers and of all its replicas, once they are warmed up.
func (k *replicatedKey) plannedCapacity(fleet *fleetView, config *Config) float64 {
	_, total := k.replicaCapacity(fleet, config)
	return k.homeCapacity(fleet) + total
}

// directive is the key's directive as it is to be published. A replica's share is its server's part of the capacity of
// all that serve the key, times its ramp factor, of the load that replicas in warm-up leave.
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
