package hotkey

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"milldeck/internal/placement"
)

const (
	// scaleUpMargin is what a key that is widened gets beyond what its heat needs, as loads vary.
	scaleUpMargin = 1.15
	// scaleDownStep is the part of a key's copies that one step gives up.
	scaleDownStep = 0.25
	// reclaimThreshold is the part of what widens a key under which its copies are given up early, where another needs them.
	reclaimThreshold = 0.25
	// minReplicaLimit may be there in the smallest fleet.
	minReplicaLimit = 4.0
	// maxLoadReplicas is how many copies of a key are begun for its heat. What stands in for servers that leave needs the rest
	// up to placement.MaxCopies.
	maxLoadReplicas = 56
	// uncertaintyPeriod is the s for which a key is kept wide only because it might be just under what reports list.
	uncertaintyPeriod = 10.0
	// initialObservation is the s after the first report in which nothing is widened: each sidecar is to be heard first.
	initialObservation = 1.2
)

// Change is a change of the placement: an entry to be put, or the id of one to be dropped.
type Change struct {
	Set      *placement.Directive
	RemoveID string
}

// Planner decides what is spread. It is not safe for use by several goroutines.
type Planner struct {
	config          Config
	fleet           fleetView
	loads           loadAggregator
	keys            map[uint64]*replicatedKey
	pendingRemovals map[string]bool          // ids whose entries are to be dropped and are not known to be
	lastPlanned     float64                  // of the last decision
	firstReport     float64                  // of the first report; 0: there was none
	warmupTokens    float64                  // ms of extra cold work that may be caused now
	replicaTokens   float64                  // copies that may be started now
	scaleUpLoad     func(key uint64) float64 // the heat by which keys are widened: the safe one, which tests replace by others
}

// NewPlanner returns a Decider with an empty table. It may cause no cold work yet: a row of deciders that fail one after the
// other keeps the budget too.
func NewPlanner(config Config) (*Planner, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return newPlanner(config), nil
}

func newPlanner(config Config) *Planner {
	p := &Planner{config: config, fleet: newFleetView(config.ServerCapacity), loads: newLoadAggregator(config.HalfLife, config.RequestWork),
		keys: map[uint64]*replicatedKey{}, pendingRemovals: map[string]bool{}}
	p.scaleUpLoad = p.loads.lowerBound
	return p
}

// SetServers takes the whole list of servers. Copies on those that are gone, not ready, kept off or have restarted end.
func (p *Planner) SetServers(servers []Server) {
	bootTimes := map[string]float64{}
	for i := range p.fleet.servers {
		bootTimes[p.fleet.servers[i].UID] = p.fleet.servers[i].BootMS
	}
	p.fleet.setServers(servers)
	for _, k := range p.keys {
		k.replicas = slices.DeleteFunc(k.replicas, func(r *replica) bool {
			i, ok := p.fleet.index[r.serverUID]
			return !ok || !p.fleet.canHostReplica(i) || p.fleet.servers[i].BootMS != bootTimes[r.serverUID]
		})
	}
}

// SetExpectedSidecars says how many sidecars there are, as far as that is known; reports tell of more.
func (p *Planner) SetExpectedSidecars(count int) { p.loads.expectedSidecars = count }

// AddReport takes a sidecar's report; false: it is nonsense or one too many, and counts as lost. It shows what copies have
// answered: a sidecar that follows an entry sends them their parts of what it reports of the key.
func (p *Planner) AddReport(now float64, report *placement.LoadReport) bool {
	previous := p.loads.reports[report.Sidecar]
	if !p.loads.add(now, report) {
		return false
	}
	if p.firstReport == 0 {
		p.firstReport = now
	}
	if previous == nil {
		return true // how long it has counted is not known
	}
	current := p.loads.reports[report.Sidecar]
	for _, load := range current.loads {
		k := p.keys[load.key]
		if k == nil || slices.Contains(report.SuspendedDirectives, DirectiveID(load.key)) {
			continue
		}
		k.observe(observation{report.Sidecar, current.requestedWork(previous, load, p.loads.halfLife) / p.config.RequestWork, previous.revision, current.revision})
	}
	return true
}

// Restore takes over the table that a predecessor left in the placement, after Servers. Copies carry what they carried
// and not more before they have shown again that they can; those that were warming begin anew.
func (p *Planner) Restore(now float64, entries []placement.Directive) {
	for i := range entries {
		directive := &entries[i]
		key, err := strconv.ParseUint(directive.KeyHash, 16, 64)
		if directive.Kind != placement.KindSpreadKey || err != nil || directive.ID != DirectiveID(key) || float64(directive.ExpiresAtMS) <= now*1000 || len(p.keys) >= p.config.MaxKeys {
			continue
		}
		k := &replicatedKey{key: key, scaleDownAfter: now + p.config.ScaleDownStabilization, published: *directive, publishedUntil: float64(directive.ExpiresAtMS) / 1000}
		totalShare, activeCount, warmupShare := 0.0, 0, perReplicaWarmupShare(&p.config, directive.Copies)
		for _, c := range directive.Copies {
			i, ok := p.fleet.index[c.ServerUID]
			if !(c.LoadFraction >= 0 && c.LoadFraction <= 1) || k.replicaOn(c.ServerUID) != nil || !ok || !p.fleet.canHostReplica(i) {
				continue
			}
			if totalShare += c.LoadFraction; c.LoadFraction > 0 {
				activeCount++
			}
			k.replicas = append(k.replicas, &replica{serverUID: c.ServerUID, revision: directive.Revision, loadShare: max(c.LoadFraction, warmupShare), startedAt: now, inheritedShare: c.LoadFraction})
		}
		homeCapacity, activeShare := k.homeCapacity(&p.fleet), 1-math.Min(p.config.MaxWarmupShare, p.config.WarmupShare*float64(k.countIn(Warming)-activeCount))
		for _, c := range k.replicas {
			if c.inheritedShare == 0 {
				continue
			}
			share := c.inheritedShare
			c.state, c.inheritedShare = Active, 1
			if totalShare < activeShare && homeCapacity > 0 { // as entry makes shares of what copies carry
				c.inheritedShare = math.Min(share*homeCapacity/(activeShare-totalShare)/p.fleet.serverCapacity(p.fleet.index[c.serverUID]), 1)
			}
		}
		p.keys[key] = k
	}
}

// Confirm says that the effect about an id, of the last decision, is in force from a revision on. An effect of which that
// is not said is decided again.
func (p *Planner) Confirm(id string, revision uint64) {
	delete(p.pendingRemovals, id)
	for _, k := range p.keys {
		if k.published.ID != id {
			continue
		}
		k.unconfirmed = false
		warmupShare := perReplicaWarmupShare(&p.config, k.published.Copies)
		for _, published := range k.published.Copies {
			if r := k.replicaOn(published.ServerUID); r != nil {
				if r.loadShare = published.LoadFraction; r.loadShare == 0 {
					r.loadShare = warmupShare
				}
				if r.revision == 0 {
					r.revision = revision
				}
			}
		}
	}
}

// sortedKeys returns the keys of the table in a fixed order.
func (p *Planner) sortedKeys() []*replicatedKey {
	keys := make([]*replicatedKey, 0, len(p.keys))
	for _, key := range slices.Sorted(maps.Keys(p.keys)) {
		keys = append(keys, p.keys[key])
	}
	return keys
}

// Plan returns what is to change. It is called a few times a second, with a time that does not run back.
func (p *Planner) Plan(now float64) []Change {
	elapsed := math.Min(math.Max(now-p.lastPlanned, 0), 1)
	if p.lastPlanned == 0 {
		elapsed = 0
	}
	p.lastPlanned = now
	budget := math.Max(p.config.WarmupBudget*p.fleet.totalCapacity, p.config.MinWarmupBudget)
	p.warmupTokens = math.Min(p.warmupTokens+elapsed*budget, math.Max(budget, p.config.WarmupWork))
	p.replicaTokens = math.Min(p.replicaTokens+elapsed*p.replicaLimit(), math.Max(p.replicaLimit(), 1))
	p.loads.aggregate(now)
	for _, k := range p.sortedKeys() {
		k.creditResponses(&p.fleet, p.loads.requiredReporters())
		k.advance(&p.config, now)
	}
	if p.firstReport > 0 && now >= p.firstReport+initialObservation {
		p.detectHotKeys(now)
	}
	for _, k := range p.sortedKeys() {
		p.updateDemand(k)
		p.drainReplicas(k, now)
		p.scaleDown(k, now)
	}
	p.scaleUp(now)
	return p.changes(now)
}

// headroom is the part of what a server bears that a key may fill beside all the rest: most by what is surely there, least
// by what may be. A key is too hot for its servers by the one; there is room elsewhere by the other.
func (p *Planner) headroom(lower float64) (maxHeadroom, minHeadroom float64) {
	if p.fleet.totalCapacity == 0 {
		return 0, 0
	}
	return p.config.TargetUtilization - math.Max(p.loads.observedTotal-lower, 0)/p.fleet.totalCapacity, p.config.TargetUtilization - math.Max(p.loads.maxTotal-lower, 0)/p.fleet.totalCapacity
}

// detectHotKeys takes keys into the table whose least heat is more than their own servers have room for.
func (p *Planner) detectHotKeys(now float64) {
	for _, key := range p.loads.candidates { // the hottest first
		lower := p.scaleUpLoad(key)
		maxHeadroom, minHeadroom := p.headroom(lower)
		if p.keys[key] != nil {
			continue
		}
		if len(p.keys) >= p.config.MaxKeys {
			return
		}
		if p.loads.sumOf(key).lower <= p.config.MinHeadroom*p.fleet.unitCapacity { // one server bears it, and all after it
			return
		}
		k := &replicatedKey{key: key}
		if minHeadroom >= p.config.MinHeadroom && lower > k.homeCapacity(&p.fleet)*maxHeadroom {
			k.scaleDownAfter = now + p.config.ScaleDownStabilization
			p.keys[key] = k
		}
	}
}

// updateDemand brings up to date what a key needs. As the least heat goes up fast and its servers are shared, it only grows
// beyond what there is where that is too little by the least figure.
func (p *Planner) updateDemand(k *replicatedKey) {
	k.lower = p.scaleUpLoad(k.key)
	k.maxHeadroom, k.minHeadroom = p.headroom(k.lower)
	_, replicaCapacity := k.replicaCapacity(&p.fleet, &p.config)
	capacity := k.homeCapacity(&p.fleet) + replicaCapacity
	k.requiredCapacity = k.capacityAtDrain
	if k.minHeadroom >= p.config.MinHeadroom && k.lower > capacity*k.maxHeadroom {
		k.requiredCapacity = math.Max(k.requiredCapacity, math.Min(scaleUpMargin*k.lower/k.maxHeadroom, p.fleet.totalCapacity))
	}
}

// scaleDown gives copies up where the most that the heat can be is far less than what they have room for.
func (p *Planner) scaleDown(k *replicatedKey, now float64) {
	headroom := math.Max(k.minHeadroom, p.config.MinHeadroom)
	activeCapacity, _ := k.replicaCapacity(&p.fleet, &p.config)
	homeCapacity := k.homeCapacity(&p.fleet)
	var candidates []*replica
	for _, r := range k.replicas {
		if r.state != Retiring && !p.fleet.draining[r.serverUID] {
			candidates = append(candidates, r)
		}
	}
	count := int(math.Ceil(scaleDownStep * float64(len(candidates))))
	if count == 0 || k.capacityAtDrain > 0 {
		return
	}
	remaining := homeCapacity + activeCapacity
	for _, r := range candidates[len(candidates)-count:] {
		if r.state == Active {
			remaining -= p.fleet.serverCapacity(p.fleet.index[r.serverUID]) * r.rampFactor(&p.config, now)
		}
	}
	fits := func(upper float64) bool { return upper <= p.config.ScaleDownUtilization*headroom*remaining }
	if !fits(p.loads.upperBound(k.key, false)) {
		k.uncertainSince = 0
		return
	}
	if !fits(p.loads.upperBound(k.key, true)) {
		if k.uncertainSince == 0 {
			k.uncertainSince = now
		}
		if now-k.uncertainSince < uncertaintyPeriod {
			return
		}
	} else {
		k.uncertainSince = 0
	}
	replicasScarce := float64(p.replicaCount()) >= p.replicaLimit() && k.lower < reclaimThreshold*headroom*homeCapacity
	if now < k.scaleDownAfter && !replicasScarce {
		return
	}
	for _, r := range candidates[len(candidates)-count:] {
		if r.state == Warming {
			k.remove(r.serverUID)
		} else {
			r.state, r.retiredAt = Retiring, now
		}
	}
	k.scaleDownAfter = math.Max(k.scaleDownAfter, now+p.config.ScaleDownInterval)
}

// replicaLimit is how many copies there may be, and how many may be begun a second.
func (p *Planner) replicaLimit() float64 {
	return math.Max(p.config.ReplicasPerServer*float64(p.fleet.readyCount), minReplicaLimit)
}

// replicaCount counts all, also those that cool: they are in the placement, and where heat moves on there are many.
func (p *Planner) replicaCount() int {
	count := 0
	for _, k := range p.keys {
		count += len(k.replicas)
	}
	return count
}

// changes returns the entries that changed, are not known to be in force, or whose end is near, and those to be dropped.
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
		if k.published.ID == directive.ID && !k.unconfirmed && !sharesDiffer(directive.Copies, k.published.Copies) && k.publishedUntil-now > p.config.DirectiveTTL/2 {
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
