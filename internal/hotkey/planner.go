package hotkey

import (
	"maps"
	"math"
	"slices"

	"milldeck/internal/placement"
)

// initialObservation is the time in s after the first report in which no new key is replicated. Each sidecar
// reports at least once in this time.
const initialObservation = 1.2

// Planner decides which keys are replicated and on which servers. It is not safe for concurrent use.
type Planner struct {
	config Config
	fleet  fleetView
	loads  loadAggregator
	keys   map[uint64]*replicatedKey

	// pendingRemovals holds the IDs of directives whose removal is not confirmed yet.
	pendingRemovals map[string]bool

	lastPlanned   float64 // time of the last plan; 0 before the first
	firstReport   float64 // time of the first report; 0 before it
	warmupTokens  float64 // ms of work that may be spent now on warming up replicas
	replicaTokens float64 // replicas that may be started now

	// scaleUpLoad returns the load of a key for scale-up decisions: the lower bound. Tests replace it.
	scaleUpLoad func(key uint64) float64
}

// NewPlanner returns a Planner without replicated keys, or an error if a setting is out of its range. The warm-up budget
// starts empty, so that a series of leaders that each fail soon does not exceed the budget either.
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

// SetServers replaces the list of servers. It removes replicas on servers that are missing, not ready, excluded or restarted.
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

// SetExpectedSidecars sets the known number of sidecars. If more sidecars report, their number is used.
func (p *Planner) SetExpectedSidecars(count int) { p.loads.expectedSidecars = count }

// AddReport handles a sidecar's load report that was received at time now. It returns false if the report is invalid or
// the limit of sidecars is reached; such a report counts as lost.
//
// The responses of replicas are derived from reports, too: a sidecar that follows a directive sends each replica the
// fraction of the key's requests that the directive states.
func (p *Planner) AddReport(now float64, report *placement.LoadReport) (accepted bool) {
	previous := p.loads.reports[report.Sidecar]
	if !p.loads.add(now, report) {
		return false
	}
	if p.firstReport == 0 {
		p.firstReport = now
	}
	if previous == nil {
		return true // the time that the average covers is unknown
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

// Plan returns the changes to make to the placement. It is called a few times per second, with times that never decrease.
// It returns a change again until the change is confirmed.
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

// refillTokens adds the tokens of both budgets for the time since the last plan. At most one second's tokens accumulate.
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
