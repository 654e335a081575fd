package balance

import "math"

// server is what this sidecar knows of one server. What a pick reads of many servers comes first.
type server struct {
	Server
	inRotation       bool         // a first attempt may choose it; with key affinity only
	refreshPending   bool         // in rotation.changed
	excluded         bool         // from the current pick, by the placement
	weightGroup      *weightGroup // whose sum it counts in
	contribution     weightTrend  // to that sum
	refreshAt        float64      // when the contribution changes by itself
	refreshHeapIndex int          // in rotation.refreshQueue, from 1; 0: it is not there

	rank        float64 // position in this sidecar's own order
	zoneHealth  *zoneHealth
	round       roundRobinState
	weight      float64 // in the current pick
	keyPosition float64 // in the order of the current key; see keySubset
	loadKnown   bool    // in the current pick: its load counts in selection.load
	logCapacity float64 // learned, beyond that of its kind and zone
	inFlight    int     // attempts of this sidecar

	errors    errorHistory
	ejection  ejectionState
	slowStart slowStartState
	report    loadReport
	gossip    gossipFindings

	healthCheckPending bool
	timelyAnswerAt     float64 // its last answer that was not overdue
}

// roundRobinState is a server's part of the smooth weighted round robin.
type roundRobinState struct {
	runningWeight float64
	creditedUpTo  float64 // the round up to which its weight was added
}

// errorHistory is what is held against a server; see recordError.
type errorHistory struct {
	consecutive       int
	lastAt            float64
	unreachable       int  // consecutive times that it could not be reached
	healthCheckFailed bool // the last one
}

// ejectionState keeps a server out of picks; see eject.
type ejectionState struct {
	until float64 // 0: it is not ejected
	count int     // since its last answer
}

// slowStartState limits the attempts at a server that has just started; see hasSlowStartBudget.
type slowStartState struct {
	since    float64
	tokens   float64 // attempts that it may be sent
	tokensAt float64 // when they were last refilled
}

// loadReport is what a server last reported of itself.
type loadReport struct {
	inFlight    float64
	receivedAt  float64
	sentSince   float64 // attempts of this sidecar
	utilization float64 // smoothed; 0: it was never reported
	listed      bool    // in rotation.reporters
}

// gossipFindings is what was received from other sidecars about a server, and what was published to them.
type gossipFindings struct {
	ejectedUntil   float64 // by what was received; 0: it is not
	observedAt     float64 // when the latest finding was made
	source         int     // the sidecar that published it first; -1: none
	confirmations  int     // times that it was received
	publishedUntil float64 // this sidecar's own finding was published and holds until then
}

// clearFaults clears what is held against a server.
func (s *server) clearFaults() {
	s.ejection = ejectionState{}
	s.errors.consecutive, s.errors.unreachable, s.errors.healthCheckFailed = 0, 0, false
}

// serverLoad is what a server holds: by a fresh load report and what was sent since, else this sidecar's own attempts.
func (b *Balancer) serverLoad(s *server) float64 {
	if b.hasFreshReport(s) {
		return s.report.inFlight + s.report.sentSince
	}
	return float64(s.inFlight)
}

func (b *Balancer) hasFreshReport(s *server) bool {
	return s.report.receivedAt > 0 && b.now-s.report.receivedAt <= reportLifetime*b.longestObjective
}

func (b *Balancer) inOwnZone(s *server) bool { return s.Zone == b.config.Zone }

// addInFlight counts attempts that a server received, or that ended.
func (b *Balancer) addInFlight(s *server, delta int) {
	s.inFlight += delta
	if s.inRotation {
		b.rotation.inFlight += delta
	}
}

// zoneHealth is what this sidecar knows of the servers of a zone together. A sidecar with little traffic meets each server
// seldom: one by one it would take many seconds to find the servers of a lost zone unreachable.
type zoneHealth struct {
	unreachable      []*server // since the last answer from the zone
	unreachableSince float64   // the first of them
	lastAnswerAt     float64
	lost             bool // all of it is taken to be unreachable
	ejectedUntil     float64
	ejections        int
	trialServer      *server // the one that may be tried since the last ejection
}

func (b *Balancer) healthOfZone(zone int) *zoneHealth {
	health := b.zones[zone]
	if health == nil {
		health = &zoneHealth{}
		b.zones[zone] = health
	}
	return health
}

// newServer begins with a random running weight: sidecars that start together would choose in step otherwise.
func (b *Balancer) newServer() *server {
	return &server{
		round:     roundRobinState{runningWeight: baseWeight * b.random(), creditedUpTo: b.selection.round},
		slowStart: slowStartState{since: math.Inf(-1)},
		gossip:    gossipFindings{source: -1},
	}
}

// zoneAnswered clears what is held against a zone, and the ejections that followed from it.
func (b *Balancer) zoneAnswered(zone *zoneHealth) {
	if zone.lost {
		for _, s := range zone.unreachable {
			s.ejection.until = b.now
			b.scheduleRefresh(s)
		}
		b.scheduleZoneRefresh(zone)
	}
	*zone = zoneHealth{lastAnswerAt: b.now}
}

func (b *Balancer) otherZoneAnswered(id int, since float64) bool {
	for other, zone := range b.zones {
		if other != id && zone.lastAnswerAt > since {
			return true
		}
	}
	return false
}
