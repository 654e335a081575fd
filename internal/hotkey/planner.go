package hotkey

import (
	"maps"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// initialObservation is the time in s after the first report in which no key is scaled up: each sidecar is to report
// first.
const initialObservation = 1.2

// Planner decides which keys are replicated, and where. It is not safe for concurrent use.
type Planner struct {
	config Config
	fleet  fleetView
	loads  loadAggregator
	keys   map[uint64]*replicatedKey

	// pendingRemovals are the ids of directives that are to be removed and whose removal isn't confirmed.
	pendingRemovals map[string]bool

	lastPlanned   float64 // time of the last plan; 0: there was none
	firstReport   float64 // time of the first report; 0: there was none
	warmupTokens  float64 // ms of extra work that warming up replicas may cause now
	replicaTokens float64 // replicas that may be started now

	// scaleUpLoad is the load by which a key is scaled up: the lower bound. Tests replace it.
	scaleUpLoad func(key uint64) float64
}

// NewPlanner returns a Planner without keys, or an error where a setting is out of its range. Its warm-up budget begins
// empty, so that a series of leaders that fail one after the other keeps the budget too.
func NewPlanner(config Config) (*Planner, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return newPlanner(config), nil
}

func newPlanner(config Config) *Planner {
	p := &Planner{
		config:          config,
		fleet:           newFleetView(config.ServerCapacity),
		loads:           newLoadAggregator(config.HalfLife, config.RequestWork),
		keys:            map[uint64]*replicatedKey{},
		pendingRemovals: map[string]bool{},
	}
	p.scaleUpLoad = p.loads.lowerBound
	return p
}

// SetServers replaces the list of servers. Replicas on servers that are missing, not ready, excluded or restarted end.
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

// SetExpectedSidecars says how many sidecars there are, as far as that is known. Where more report, these count.
func (p *Planner) SetExpectedSidecars(count int) { p.loads.expectedSidecars = count }

// AddReport handles a sidecar's load report that arrived at a time. It returns false for a report that is invalid, or of
// one sidecar too many: that counts as lost.
//
// Reports also show what replicas have answered: a sidecar that follows a directive sends each replica its fraction of
// the requests that it reports of the key.
func (p *Planner) AddReport(now float64, report *placement.LoadReport) (accepted bool) {
	previous := p.loads.reports[report.Sidecar]
	if !p.loads.add(now, report) {
		return false
	}
	if p.firstReport == 0 {
		p.firstReport = now
	}
	if previous == nil {
		return true // the time that its average covers isn't known
	}
	current := p.loads.reports[report.Sidecar]
	for _, load := range current.loads {
		k := p.keys[load.key]
		if k == nil || slices.Contains(report.SuspendedDirectives, DirectiveID(load.key)) {
			continue
		}
		k.observe(observation{
			sidecar:      report.Sidecar,
			requests:     current.requestedWork(previous, load, p.loads.halfLife) / p.config.RequestWork,
			fromRevision: previous.revision,
			toRevision:   current.revision,
		})
	}
	return true
}

// Plan returns the changes of the placement that are due. It is called a few times a second, with a time that never runs
// backwards. A change that isn't confirmed is returned again.
func (p *Planner) Plan(now float64) []Change {
	p.refillTokens(now)
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

// refillTokens adds what has accrued of the two budgets since the last plan; of each at most a second's is saved up.
func (p *Planner) refillTokens(now float64) {
	elapsed := math.Min(math.Max(now-p.lastPlanned, 0), 1)
	if p.lastPlanned == 0 {
		elapsed = 0
	}
	p.lastPlanned = now
	budget := math.Max(p.config.WarmupBudget*p.fleet.totalCapacity, p.config.MinWarmupBudget)
	p.warmupTokens = math.Min(p.warmupTokens+elapsed*budget, math.Max(budget, p.config.WarmupWork))
	p.replicaTokens = math.Min(p.replicaTokens+elapsed*p.replicaLimit(), math.Max(p.replicaLimit(), 1))
}

// sortedKeys returns the replicated keys in a fixed order.
func (p *Planner) sortedKeys() []*replicatedKey {
	keys := make([]*replicatedKey, 0, len(p.keys))
	for _, key := range slices.Sorted(maps.Keys(p.keys)) {
		keys = append(keys, p.keys[key])
	}
	return keys
}
