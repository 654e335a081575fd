package balance

import "math"

// Balancer takes the decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	config           Config
	now              float64 // time of the current event
	startedAt        float64
	longestObjective float64  // of all classes
	randomState      uint64   // of random
	actions          []Action // of the current event

	servers     []*server // those listed, in this sidecar's own order; see ownOrderRank
	serversByID map[ServerID]*server
	zones       map[int]*zoneHealth

	selection selectionState
	rotation  rotation // with key affinity only
	keyOrders keyOrderCache
	keys      keyFrequencies
	pool      poolWeights
	capacity  capacityModel

	requests  requestTable
	traffic   rateMeter // requests; see requestRate
	admission admissionState
	retries   retryBudget
	reports   reportStats
	discovery discoveryState
	gossip    gossipState
	placement *activePlacement // nil: none was received

	selectServer func(r *request, retry bool) *server // pick, unless a test compares it with another implementation
}

// selectionState is what the pick of a server works with.
type selectionState struct {
	round        float64         // first attempts so far: the rounds of the weighted round robin
	candidates   []*server       // servers looked at in the current pick
	allEjected   bool            // in the current pick: all servers are ejected, so all are candidates
	excluded     excludedServers // from the current pick, by the placement
	loadReported bool            // in the current pick: the load is known from fresh load reports

	// Bounded load: a server may hold headroom × load × its weight / weight.
	load     float64 // in flight at the servers whose load is known, with the attempt to be sent
	weight   float64 // sum of these servers' weights
	headroom float64
}

// poolWeights are sums of the weights that a first attempt chooses from. The budget of servers in slow start is a part
// of them.
type poolWeights struct {
	current        float64 // at the last first attempt
	recent         ewma    // at the last ones, over the span of the answer rate
	fullCapacity   float64 // as if no server were in slow start; see fullCapacityPoolWeight
	fullCapacityAt float64 // when that was computed
}

// capacityModel is what was learned of the capacity of groups of servers, in logarithms; see learnCapacity.
type capacityModel struct {
	byKind  map[int]float64
	byZone  map[int]float64
	samples float64 // answers learned from
	drift   float64 // mean step: what all servers have in common
}

// admissionState is what load shedding goes by; see admit.
type admissionState struct {
	classes []classStats
	tenants []requestCounts // the last is for requests without a tenant

	firstRequestAt  float64
	updatedAt       float64 // the last request
	sustainedShed   float64 // fraction of the load that is shed lastingly, shedDeadband included
	minLatencyRatio float64 // least latency of recent answers, as a fraction of the objective

	firstAnswerAt float64 // traffic may begin long after the start
	answers       rateMeter
	recentAnswers rateMeter // over about one objective
	load          inFlightLoad
}

// inFlightLoad is what is in flight, each attempt as 1 / its latency objective; see trackLoad.
type inFlightLoad struct{ current, mean, updatedAt float64 }

// retryBudget is a token bucket that first attempts fill; see retryAllowed.
type retryBudget struct {
	tokens           float64
	lastOverloadedAt float64 // when a server last rejected an attempt
}

// reportStats summarises the load reports of all servers.
type reportStats struct {
	busyFraction    float64 // recent fraction of reports of a server with anything in flight
	meanUtilization float64 // recent mean
}

type discoveryState struct {
	failedPolls int // in a row
}

// New returns a balancer with the given settings, or a ConfigError. It retains the slices of config, which must not change
// afterwards. Start has to be called before the first event.
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

func newAdmissionState(config *Config) admissionState {
	state := admissionState{
		classes:         make([]classStats, len(config.Classes)),
		tenants:         make([]requestCounts, len(config.Tenants)+1),
		minLatencyRatio: initialLatencyRatio,
	}
	for i := range config.Classes {
		state.classes[i] = classStats{
			requestCounts:   requestCounts{received: 1, servedInTime: 1},
			priorityWeight:  config.Classes[i].PriorityWeight,
			minLatencyRatio: initialLatencyRatio,
		}
	}
	for i := range state.tenants {
		state.tenants[i] = requestCounts{received: 1, servedInTime: 1}
		if i < len(config.Tenants) {
			state.tenants[i].quota = config.Tenants[i].Quota
		}
	}
	return state
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }
