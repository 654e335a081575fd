package balance

// This file holds what a balancer remembers, and small helpers.

import "math"

// discoveryTimer is the token of the discovery timer; requests use their ID (below 2^52).
const discoveryTimer = 1 << 60

// gossipTimer is that of the messages to other sidecars.
const gossipTimer = 1<<60 + 1

// Balancer is one sidecar's decision maker. It is not safe for concurrent use.
type Balancer struct {
	config           Config
	randomState      uint64
	now              float64
	startedAt        float64
	longestObjective float64 // of all classes
	actions          []Action

	servers              []*server // those listed, in this sidecar's own order
	candidates           []*server // those of the current pick that were looked at
	allEjected           bool      // in the current pick: all servers rest, so all are in
	loadReported         bool      // in the current pick: some server has told lately what it holds
	candidateLoad        float64   // ... and what those that count hold in all, one more included
	candidateWeight      float64   // ... and their weights
	headroom             float64   // ... and how far above its share of that a server may be
	round                float64   // first picks so far
	rotation             rotation  // where keys stay warm
	keyOrders            keyOrderCache
	gossip               gossipState
	keyFrequency         keyFrequencies // how often each key is asked for
	serversByID          map[ServerID]*server
	poolWeight           float64         // sum of weights at the last first pick
	recentPoolWeight     ewma            // ... and at the last ones, over the time of pace
	fullCapacityWeight   float64         // the sum as if none were cold; see fullCapacityPoolWeight
	fullCapacityWeightAt float64         // ... when it was taken
	capacityByKind       map[int]float64 // learned logarithm of size by kind
	capacityByZone       map[int]float64 // ... and by zone
	capacitySamples      float64         // times learn was called
	capacityDrift        float64         // mean step of learn
	meanUtilization      float64         // how busy servers say they are, in the mean of late
	failedPolls          int             // failed list calls in a row

	requests             map[RequestID]*request
	awaitingHealthChecks []*request // that wait for probes
	classStats           []classStats
	busyFraction         float64         // recent part of probed servers that held anything
	tenantStats          []requestCounts // the last is for requests without a tenant

	firstRequestAt, lastAdmissionAt float64   // the first request, and the last one
	sustainedShed                   float64   // part of the load that is refused lastingly
	minLatencyRatio                 float64   // what answers take at the least, as a part of their aim
	firstAnswerAt                   float64   // the first answer: traffic may begin long after the start
	answerMeter, recentAnswerMeter  rateMeter // answers in the time of pace, and in about the last aim
	retryTokens, lastOverloadedAt   float64   // the budget of repeats, and the last time that a server was full
	load, meanLoad, loadUpdatedAt   float64   // attempts in flight, each as one over its aim; see count
	requestMeter                    rateMeter // requests; see reach
	zoneHealth                      map[int]*zoneHealth

	placement *activePlacement // nil: nothing is placed
	excluded  excludedServers  // of the current pick

	selectServer func(r *request, repeat bool) *server // pick, but where a test compares it with another way
	finished     []*request                            // closed by the current event
	freeRequests []*request                            // to be used again
}

// server is what this sidecar knows of one server. What a pick reads of many servers comes first.
type server struct {
	Server
	inRotation       bool         // in the rotation
	refreshPending   bool         // to be looked at before the next pick
	excluded         bool         // kept out of the current pick by the placement
	weightGroup      *weightGroup // it counts in the sums of this one
	contribution     weightTrend  // ... with this
	refreshAt        float64      // when that changes by itself
	refreshHeapIndex int          // its place in the heap of these times, from 1; 0: none

	rank          float64 // place in this sidecar's own order
	zoneHealth    *zoneHealth
	runningWeight float64 // SWRR running value
	creditedRound float64 // the first pick up to which it was credited
	weight        float64 // in the current pick
	keyPosition   float64 // in the order of the current key; see shard
	loadKnown     bool    // in the current pick: what it holds is known as well as can be
	logCapacity   float64 // learned logarithm of size, beyond its kind's and zone's
	inFlight      int     // own attempts

	consecutiveErrors int // consecutive errors
	lastErrorAt       float64
	ejectedUntil      float64 // 0: not rested
	ejections         int
	healthCheckFailed bool // the last probe got no answer
	connectFailures   int  // times in a row that it was out of reach

	slowStartSince    float64 // start of its warm-up
	slowStartTokens   float64 // sends left in the cold budget
	slowStartTokensAt float64

	healthChecking   bool
	reportedInFlight float64 // requests it held at the last report
	reportedAt       float64
	sentSinceReport  float64 // own sends since
	utilization      float64 // how busy it says it is; 0: it never said
	timelyAnswerAt   float64 // its last answer in time

	gossipEjectedUntil  float64 // a rest by what others told; 0: none
	gossipObservedAt    float64 // when that was found
	gossipSource        int     // who told it first
	gossipConfirmations int     // how often
	publishedUntil      float64 // it was told to others, and holds until then
	reportFresh         bool    // in the list of those that told lately
}

// clearFaults clears what was held against a server.
func (s *server) clearFaults() {
	s.consecutiveErrors, s.ejections, s.ejectedUntil, s.connectFailures, s.healthCheckFailed = 0, 0, 0, 0, false
}

type attempt struct {
	server          *server
	sentAt          float64
	inFlight        bool
	neverExecuted   bool // proved never to have run
	overdue         bool
	endsAtObjective bool // given up at the aim
	loadReleased    bool // no longer counted in the load
}

type request struct {
	Request
	class                *Class
	stats                *classStats
	tenant               *requestCounts
	arrivedAt            float64
	deadline             float64
	attempts             []attempt
	inFlight             int
	finished             bool
	streaming            bool
	timerAt              float64   // when its next timer comes
	healthChecked        []*server // asked before the first send
	healthCheckWaitUntil float64
}

func (r *request) hasHealthChecked(s *server) bool {
	for _, checked := range r.healthChecked {
		if checked == s {
			return true
		}
	}
	return false
}

// classStats follows how long answers of a class take, and counts its requests.
type classStats struct {
	requestCounts
	samples, meanLatency, meanDeviation, priorityWeight float64

	recentLatencyRatio, recentSamples, minLatencyRatio, minLatencyUpdatedAt float64 // recent and least mean time, as a part of the aim; see time
}

// requestCounts counts the requests of a class or tenant, and those served within the aim. Both start at 1,
// so that neither is ever 0.
type requestCounts struct{ received, servedInTime, quota float64 }

func (t *requestCounts) servedLessThan(other *requestCounts) bool {
	return t.servedInTime*other.received < other.servedInTime*t.received
}

// demandTotals is what all requests of this sidecar ask for, and who is served the least part of it.
type demandTotals struct {
	received, priorityWeight float64
	worstClass               *classStats
	worstTenant              *requestCounts
}

// tenantCounts returns the tally of a tenant; the last is for requests without one.
func (b *Balancer) tenantCounts(index int) *requestCounts {
	if index < 0 || index >= len(b.config.Tenants) {
		index = len(b.config.Tenants)
	}
	return &b.tenantStats[index]
}

// rateMeter counts events and forgets them exponentially.
type rateMeter struct{ count, updatedAt float64 }

func (m *rateMeter) add(now, span float64) {
	m.count, m.updatedAt = m.count*math.Exp((m.updatedAt-now)/span)+1, now
}

// rate is the number a millisecond since the start, some assumed ones included.
func (m *rateMeter) rate(now, since, span, assumed float64) float64 {
	return (m.count*math.Exp((m.updatedAt-now)/span)/math.Max(-math.Expm1((since-now)/span), 0.05) + assumed) / span
}

// ewma is a mean over time that forgets exponentially.
type ewma struct{ mean, updatedAt float64 }

func (e *ewma) add(now, span, value float64) {
	e.mean += (value - e.mean) * -math.Expm1((e.updatedAt-now)/span)
	e.updatedAt = now
}

// fullCapacityWeightTTL is the ms for which fullCapacityPoolWeight holds: it goes over all servers, while any of them is cold, and requests come
// hundreds of times a second.
const fullCapacityWeightTTL = 100

// fullCapacityPoolWeight is the sum of the weights of the servers in use as if none of them were cold; 0 where keys do not stay warm:
// there a rotation grows with the traffic, and what it held of late does not compare with what it holds now.
func (b *Balancer) fullCapacityPoolWeight() float64 {
	if !b.config.KeyAffinity {
		return 0
	}
	if b.now < b.fullCapacityWeightAt+fullCapacityWeightTTL {
		return b.fullCapacityWeight
	}
	b.fullCapacityWeight, b.fullCapacityWeightAt = 0, b.now
	for _, s := range b.servers {
		if s.State != Ready || b.isEjected(s) {
			continue
		}
		weight := b.weight(s) / b.slowStartFactor(s)
		if b.inOwnZone(s) {
			weight *= b.ownZoneFactor()
		}
		b.fullCapacityWeight += weight
	}
	return b.fullCapacityWeight
}

// maxFreeRequests requests are kept for use again: as many as one sidecar hardly has open.
const maxFreeRequests = 256

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// random is splitmix64 from the seed.
func (b *Balancer) random() float64 {
	b.randomState += 0x9e3779b97f4a7c15
	return float64(splitmix64(b.randomState)>>11) / (1 << 53)
}

// splitmix64 is the finalizer of splitmix64.
func splitmix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// inOwnZone tells whether a server is in the own zone.
func (b *Balancer) inOwnZone(s *server) bool { return s.Zone == b.config.Zone }

func clamp(value, least, most float64) float64 { return math.Max(least, math.Min(most, value)) }

// zoneHealth is what this sidecar knows of the servers of a zone together. It meets each of them seldom: one
// by one it would find the servers of a lost zone dead for many seconds.
type zoneHealth struct {
	unreachable      []*server // out of reach since the last answer from the zone
	unreachableSince float64   // the first of them
	lastAnswerAt     float64   // the last answer
	ejectedUntil     float64
	ejections        int
	lost             bool    // held to be lost
	trialServer      *server // since its last rest
}

func (b *Balancer) healthOfZone(healthOfZone int) *zoneHealth {
	health := b.zoneHealth[healthOfZone]
	if health == nil {
		health = &zoneHealth{}
		b.zoneHealth[healthOfZone] = health
	}
	return health
}

func (b *Balancer) serverLoad(s *server) float64 { // by a fresh report and what was sent since, else the own ones
	if b.hasFreshReport(s) {
		return s.reportedInFlight + s.sentSinceReport
	}
	return float64(s.inFlight)
}

func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= reportLifetime*b.longestObjective
}
