package hotkey

import (
	"fmt"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// ReplicaState is where a copy stands.
type ReplicaState int

// The stages.
const (
	Warming  ReplicaState = iota // it gets a trickle and answers too little to carry
	Active                       // it has a share, by what it has answered
	Retiring                     // it is given up and loses its share
)

// replicatedKey is a key that is spread.
type replicatedKey struct {
	key              uint64
	replicas         []*replica
	lower            float64 // ms/s, of the last decision
	requiredCapacity float64 // ms/s that own servers and copies together have to have room for
	capacityAtDrain  float64 // ms/s that carried it when a server of it was to leave; 0: none is
	maxHeadroom      float64 // part of what a server bears that this key may fill, at most ...
	minHeadroom      float64 // ... and at least
	scaleDownAfter   float64 // s: not narrowed before
	uncertainSince   float64 // s: since when only the floors of reports speak for the key
	published        placement.Directive
	publishedUntil   float64       // s: end of the entry as it was told
	observed         []observation // of sidecars since copies were credited last, one of each
	unconfirmed      bool          // the entry told last is not known to be in force
}

// observation is what a sidecar's report shows of a key: requests asked since its last report, and the revisions that it
// followed at the begin and at the end of that time.
type observation struct {
	sidecar                  string
	requests                 float64
	fromRevision, toRevision uint64
}

type replica struct {
	serverUID      string
	state          ReplicaState
	responses      float64 // requests of the key, as reports show
	revision       uint64  // of the entry that first named it, 0: not known to be in force
	loadShare      float64 // of the key's load that it gets by the entry told last that is known to be in force
	startedAt      float64 // s: when it was begun
	retiredAt      float64 // s: when it began to cool
	inheritedShare float64 // share at which a successor took it over: it carries so much before it has answered anything
}

// DirectiveID is the id of a key's entry.
func DirectiveID(key uint64) string { return "spread/" + FormatKey(key) }

// FormatKey is a key as placements and reports write it.
func FormatKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// rampFactor is the part of its share that a copy can carry, 0 to 1.
func (r *replica) rampFactor(config *Config, now float64) float64 {
	factor := r.inheritedShare
	if r.responses >= config.WarmResponses {
		factor = math.Max(factor, math.Min(r.responses/config.FullShareResponses, 1))
	}
	if r.state == Retiring {
		if config.RetirePeriod == 0 {
			return 0
		}
		factor *= math.Max(1-(now-r.retiredAt)/config.RetirePeriod, 0)
	}
	return factor
}

func (k *replicatedKey) replicaOn(serverUID string) *replica {
	for _, r := range k.replicas {
		if r.serverUID == serverUID {
			return r
		}
	}
	return nil
}

// perReplicaWarmupShare is the part of a key's load that each copy without a share gets, by an entry.
func perReplicaWarmupShare(config *Config, copies []placement.KeyCopy) float64 {
	warming := 0
	for _, c := range copies {
		if !(c.LoadFraction > 0) {
			warming++
		}
	}
	return math.Min(config.WarmupShare, config.MaxWarmupShare/math.Max(float64(warming), 1))
}

// countIn counts the copies at a stage.
func (k *replicatedKey) countIn(state ReplicaState) int {
	n := 0
	for _, r := range k.replicas {
		if r.state == state {
			n++
		}
	}
	return n
}

// remove takes a copy out at once.
func (k *replicatedKey) remove(serverUID string) {
	k.replicas = slices.DeleteFunc(k.replicas, func(r *replica) bool { return r.serverUID == serverUID })
}

// observe keeps what a report shows.
func (k *replicatedKey) observe(next observation) {
	if i := slices.IndexFunc(k.observed, func(o observation) bool { return o.sidecar == next.sidecar }); i >= 0 {
		next.requests += k.observed[i].requests
		next.fromRevision = min(next.fromRevision, k.observed[i].fromRevision)
		k.observed[i] = next
		return
	}
	k.observed = append(k.observed, next)
}

// creditResponses has copies answered their parts of what enough sidecars have shown. One alone makes up at most its part among
// the witnesses, so that none makes a copy warm by itself.
func (k *replicatedKey) creditResponses(fleet *fleetView, requiredReporters int) {
	if len(k.observed) < requiredReporters {
		return
	}
	for _, r := range k.replicas {
		if fleet.servers[fleet.index[r.serverUID]].Overloaded || r.revision == 0 {
			continue
		}
		total, largest := 0.0, 0.0
		for _, seen := range k.observed {
			requests := seen.requests * r.loadShare
			switch {
			case seen.toRevision < r.revision:
				continue
			case seen.fromRevision < r.revision: // it has followed for a part of the time: half of it, where nothing tells more
				requests /= 2
			}
			total += requests
			largest = math.Max(largest, requests)
		}
		if others := total - largest; requiredReporters > 1 {
			total = others + math.Min(largest, others/float64(requiredReporters-1))
		}
		r.responses += total
	}
	k.observed = k.observed[:0]
}

// advance moves copies on: those that answered enough carry, those that have cooled or do not warm are dropped.
func (k *replicatedKey) advance(config *Config, now float64) {
	k.replicas = slices.DeleteFunc(k.replicas, func(r *replica) bool {
		if r.state == Warming && (r.responses >= config.WarmResponses || r.inheritedShare > 0) {
			r.state = Active
		}
		return r.state == Retiring && now-r.retiredAt >= config.RetirePeriod || r.state == Warming && now-r.startedAt >= config.WarmupTimeout
	})
}

// homeCapacity is what the key's own servers bear, those that will leave left out.
func (k *replicatedKey) homeCapacity(fleet *fleetView) float64 {
	capacity := 0.0
	fleet.forEachHomeServer(k.key, func(i int) {
		if !fleet.draining[fleet.servers[i].UID] && k.replicaOn(fleet.servers[i].UID) == nil {
			capacity += fleet.serverCapacity(i)
		}
	})
	return capacity
}

// replicaCapacity is what copies bear by what they can carry already, and what all do that carry or warm; those that will leave
// are left out.
func (k *replicatedKey) replicaCapacity(fleet *fleetView, config *Config) (active, total float64) {
	for _, r := range k.replicas {
		i := fleet.index[r.serverUID]
		if fleet.draining[r.serverUID] || r.state == Retiring {
			continue
		}
		total += fleet.serverCapacity(i)
		if r.state == Active {
			active += fleet.serverCapacity(i) * r.rampFactor(config, 0)
		}
	}
	return active, total
}

// forEachHomeServer calls do for each server that the key has by itself.
func (f *fleetView) forEachHomeServer(key uint64, visit func(i int)) {
	remaining := f.homeServerCount()
	for _, i := range f.preferenceOrder(key) {
		if remaining == 0 {
			return
		}
		if f.servers[i].Ready {
			remaining--
			visit(int(i))
		}
	}
}

// directive is the key as it is to be told. A share is the server's part of what all that carry the key bear, times what
// the copy can carry by now, of what those that get a trickle leave.
func (k *replicatedKey) directive(fleet *fleetView, config *Config, now float64) placement.Directive {
	directive := placement.Directive{ID: DirectiveID(k.key), Kind: placement.KindSpreadKey, KeyHash: FormatKey(k.key), ExpiresAtMS: int64((now + config.DirectiveTTL) * 1000)}
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
			share = math.Round(activeShare*weights[i]/total*1e5) / 1e5
		}
		directive.Copies = append(directive.Copies, placement.KeyCopy{ServerUID: r.serverUID, LoadFraction: share})
	}
	return directive
}

// sharesDiffer tells whether an entry says something that is worth a write: other copies, or a share by a tenth.
func sharesDiffer(a, b []placement.KeyCopy) bool {
	return !slices.EqualFunc(a, b, func(x, y placement.KeyCopy) bool {
		return x.ServerUID == y.ServerUID && (x.LoadFraction > 0) == (y.LoadFraction > 0) && math.Abs(x.LoadFraction-y.LoadFraction) <= 0.1*math.Max(x.LoadFraction, y.LoadFraction)
	})
}
