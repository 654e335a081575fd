package balance

import "math"

// Balancer makes the decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	config           Config
	now              float64 // time of the current event
	startedAt        float64
	longestObjective float64  // of all classes, at least 1
	randomState      uint64   // state of the generator that random uses
	actions          []Action // returned for the current event

	servers     []*server // the listed servers, in this sidecar's own order; see ownOrderRank
	serversByID map[ServerID]*server
	zones       map[int]*zoneHealth

	selection selectionState
	rotation  rotation // with key affinity only
	keyOrders keyOrderCache
	keys      keyFrequencies
	pool      poolWeights
	capacity  capacityModel

	requests  requestTable
	traffic   rateMeter // rate of requests; see requestRate
	admission admissionState
	retries   retryBudget
	reports   reportStats
	discovery discoveryState
	gossip    gossipState
	placement *activePlacement // nil: none was received

	violations Violations

	selectServer func(r *request, retry bool) *server // pick, unless a test substitutes another implementation
}

// capacityModel holds the learned log capacities of groups of servers; see learnCapacity.
type capacityModel struct {
	byKind  map[int]float64
	byZone  map[int]float64
	samples float64 // answers learned from
	drift   float64 // mean step, which all servers have in common
}

// discoveryState determines the backoff of polls; see schedulePoll.
type discoveryState struct {
	failedPolls  int     // consecutive
	failingSince float64 // start of the first of them
	polling      bool    // a poll has been sent and not answered
	polledAt     float64 // start of the latest poll
}

// New returns a balancer with the given settings, or a ConfigError. The balancer keeps references to the slices of
// config, which must not change afterwards. Start must be called before the first event is handled.
func New(config Config) (*Balancer, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	if config.Objective == (Objective{}) {
		config.Objective.Overall = 1
	}
	b := &Balancer{
		config:           config,
		randomState:      config.Seed,
		longestObjective: 1,
		serversByID:      map[ServerID]*server{},
		zones:            map[int]*zoneHealth{},
		keyOrders:        newKeyOrderCache(),
		keys:             keyFrequencies{counts: map[uint64]float64{}},
		capacity:         capacityModel{byKind: map[int]float64{}, byZone: map[int]float64{}},
		requests:         requestTable{open: map[RequestID]*request{}},
		admission:        newAdmissionState(&config),
		retries:          retryBudget{tokens: retryBudgetMax, lastOverloadedAt: math.Inf(-1)},
		reports:          reportStats{busyFraction: 1},
		gossip:           gossipState{senders: map[int]*gossipSender{}, serversByTag: map[uint32]*server{}},
	}
	for i := range config.Classes {
		b.longestObjective = math.Max(b.longestObjective, config.Classes[i].LatencyObjective)
	}
	b.selectServer = b.pick
	return b, nil
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }
