package balance

import "math"

// server is the state that this sidecar keeps of one server. Fields that a pick reads for many servers come first.
type server struct {
	Server
	inRotation       bool         // a first attempt may choose it; with key affinity only
	refreshPending   bool         // listed in rotation.changed
	excluded         bool         // from the current pick, by the placement
	weightGroup      *weightGroup // the group whose sum includes the contribution
	contribution     weightTrend  // to the sum of weightGroup
	refreshAt        float64      // when the contribution changes by itself
	refreshHeapIndex int          // index in rotation.refreshQueue, from 1; 0: not queued

	rank        float64 // position in this sidecar's own order
	zoneHealth  *zoneHealth
	round       roundRobinState
	weight      float64 // in the current pick
	keyPosition float64 // in the order of the current key; see narrowCandidates
	loadKnown   bool    // in the current pick: its load counts in selection.load
	logCapacity float64 // learned, in addition to that of its kind and zone
	inFlight    int     // attempts of this sidecar

	errors    errorHistory
	ejection  ejectionState
	slowStart slowStartState
	report    loadReport
	gossip    gossipFindings

	healthCheckPending bool
	timelyAnswerAt     float64 // time of its last answer that was not overdue
}

// roundRobinState is the state of a server in the smooth weighted round robin.
type roundRobinState struct {
	runningWeight float64
	creditedUpTo  float64 // the last round for which its weight was added
}

// errorHistory records the recent errors of a server; see recordError.
type errorHistory struct {
	consecutive       int
	lastAt            float64
	unreachable       int  // consecutive times that it was unreachable
	healthCheckFailed bool // the last health check failed
}

// ejectionState keeps a server out of picks; see eject.
type ejectionState struct {
	until float64 // 0: not ejected
	count int     // ejections since its last answer
}

// slowStartState limits the attempts at a server that has recently started; see hasSlowStartBudget.
type slowStartState struct {
	since    float64
	tokens   float64 // attempts that it may receive
	tokensAt float64 // time of the last refill
}

// loadReport is the last load report of a server.
type loadReport struct {
	inFlight    float64
	receivedAt  float64
	sentSince   float64 // attempts that this sidecar has sent since receivedAt
	utilization float64 // smoothed; 0: it was never reported
	listed      bool    // in rotation.reporters
}

// gossipFindings holds the findings about a server that this sidecar received from others or published.
type gossipFindings struct {
	ejectedUntil   float64 // by received findings; 0: not ejected
	observedAt     float64 // time of the latest finding
	source         int     // the sidecar that sent the finding first; -1: none
	confirmations  int     // times that the finding was received
	publishedUntil float64 // until when this sidecar's own published finding holds
}

// clearFaults clears the recorded errors and the ejection of a server.
func (s *server) clearFaults() {
	s.ejection = ejectionState{}
	s.errors.consecutive, s.errors.unreachable, s.errors.healthCheckFailed = 0, 0, false
}

// serverLoad returns the load of a server: by a fresh load report and the attempts sent since, else by this sidecar's
// own attempts.
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

// addInFlight adjusts the number of attempts in flight at a server.
func (b *Balancer) addInFlight(s *server, delta int) {
	s.inFlight += delta
	if s.inRotation {
		b.rotation.inFlight += delta
	}
}

// zoneHealth is the state of the servers of a zone together. A sidecar with little traffic visits each server rarely:
// it would need many seconds to find the servers of a lost zone unreachable one by one.
type zoneHealth struct {
	unreachable      []*server // servers that were unreachable since the last answer from the zone
	unreachableSince float64   // time of the first of them
	lastAnswerAt     float64
	lost             bool // the whole zone counts as unreachable
	ejectedUntil     float64
	ejections        int
	trialServer      *server // the server that may be tried since the last ejection
}

func (b *Balancer) healthOfZone(zone int) *zoneHealth {
	health := b.zones[zone]
	if health == nil {
		health = &zoneHealth{}
		b.zones[zone] = health
	}
	return health
}

// newServer returns a server with a random running weight: otherwise sidecars that start together would
// select the same servers at the same time.
func (b *Balancer) newServer() *server {
	return &server{
		round:     roundRobinState{runningWeight: baseWeight * b.random(), creditedUpTo: b.selection.round},
		slowStart: slowStartState{since: math.Inf(-1)},
		gossip:    gossipFindings{source: -1},
	}
}

// recordZoneAnswer clears the recorded faults of a zone, and the ejections that its loss has caused.
func (b *Balancer) recordZoneAnswer(zone *zoneHealth) {
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
