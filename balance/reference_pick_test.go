package balance

import (
	"math"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

// referencePick is pick without the indices of rotation.go and key_order.go: it visits all servers,
// computes each server's position in the key's order and sorts the servers by position. In a pick by key at
// a sidecar that uses only the first of a key's servers in its own order, it adds weight only to the
// running weight of the selected server, as pick does.
func (b *Balancer) referencePick(r *request, retry bool) *server {
	for _, s := range b.servers {
		in := s.State == Ready && !b.referenceEjected(s)
		if in && !s.inRotation {
			s.round.creditedUpTo = b.selection.round
		}
		s.inRotation = in
	}
	totalWeight := b.referenceCandidates(r, false)
	allEjected := totalWeight == 0
	if allEjected && len(b.selection.excluded.servers) > 0 {
		return nil
	}
	if allEjected {
		totalWeight = b.referenceCandidates(r, true)
	}
	b.selection.load, b.selection.weight, b.selection.headroom = 1, 0, loadHeadroom
	for _, s := range b.selection.candidates {
		if s.loadKnown {
			b.selection.load += b.serverLoad(s)
			b.selection.weight += s.weight
		}
	}
	choices, byKey := b.selection.candidates, !retry && r.Key != 0
	if !retry {
		b.selection.round++
		for _, s := range b.selection.excluded.servers {
			s.round.creditedUpTo++
			if s.inRotation {
				b.selection.excluded.weight += b.referenceWeight(s)
			}
		}
		b.recordPool(totalWeight)
	}
	for _, s := range b.selection.candidates {
		if allEjected && !retry {
			s.round.creditedUpTo = b.selection.round - 1
		}
		narrows := len(b.selection.candidates)/fleetPerKeyServer > minServersPerKey && b.lowTraffic()
		switch {
		case allEjected && retry, byKey && !allEjected && narrows:
		default:
			b.referenceCredit(s)
		}
	}
	if byKey {
		b.selection.headroom = keyLoadHeadroom
		if s := b.nextReplica(r.Key); s != nil && s.inRotation && slices.Contains(b.selection.candidates, s) &&
			b.hasCapacity(s) {
			choices = []*server{s}
		} else {
			choices = b.referenceSubset(r.Key)
		}
	}
	var best *server
	bestOverBound := false
	for _, s := range choices {
		if !b.mayReceive(s) {
			continue
		}
		overBound := b.exceedsLoadBound(s)
		if best == nil || bestOverBound && !overBound || overBound == bestOverBound && b.preferred(s, best, retry, overBound) {
			best, bestOverBound = s, overBound
		}
	}
	if best != nil {
		if byKey {
			b.referenceCredit(best)
		}
		b.beginZoneTrial(best)
		best.round.runningWeight = math.Max(best.round.runningWeight-totalWeight, -maxRoundsBehind*totalWeight)
	}
	return best
}

func (b *Balancer) referenceCredit(s *server) {
	rounds := b.selection.round - s.round.creditedUpTo
	s.round.runningWeight = math.Min(s.round.runningWeight+s.weight*rounds, b.pool.current)
	s.round.creditedUpTo = b.selection.round
}

func (b *Balancer) referenceEjected(s *server) bool {
	z := b.healthOfZone(s.Zone)
	return b.now < s.ejection.until || b.now < s.gossip.ejectedUntil || z.lost && b.now < z.ejectedUntil &&
		s.slowStart.since < z.unreachableSince
}

func (b *Balancer) referenceCandidates(r *request, includeEjected bool) float64 {
	totalWeight, anyReport := 0.0, false
	b.selection.candidates = b.selection.candidates[:0]
	for _, s := range b.servers {
		if !b.permitted(r, s) || !includeEjected && b.referenceEjected(s) {
			continue
		}
		s.weight = b.referenceWeight(s)
		totalWeight += s.weight
		s.loadKnown = b.hasFreshReport(s)
		anyReport = anyReport || s.loadKnown
		b.selection.candidates = append(b.selection.candidates, s)
	}
	for _, s := range b.selection.candidates {
		s.loadKnown = s.loadKnown || !anyReport
	}
	return totalWeight
}

func (b *Balancer) referenceWeight(s *server) float64 {
	if b.inOwnZone(s) {
		return b.weight(s) * (1 + zonePreference*b.config.Costs.CrossZone)
	}
	return b.weight(s)
}

func (b *Balancer) referenceSubset(key uint64) []*server {
	candidates := b.selection.candidates
	for _, s := range candidates {
		u := float64(splitmix64(splitmix64(key)^uint64(s.ID))>>11+1) / (1 << 53)
		s.keyPosition = -math.Log(u) / s.RelativeCapacity
	}
	slices.SortFunc(candidates, compareKeyPosition)
	subsetSize := len(candidates) / fleetPerKeyServer
	n := max(minServersPerKey, subsetSize, int(math.Ceil(b.keys.fraction(key)*float64(len(candidates))/maxKeyFraction)))
	n = min(n, len(candidates))
	if subsetSize > minServersPerKey && b.lowTraffic() {
		for _, s := range candidates[:n] {
			s.keyPosition = s.rank * s.RelativeCapacity / s.weight
		}
		slices.SortFunc(candidates[:n], compareKeyPosition)
		n = 1
	}
	if !slices.ContainsFunc(candidates[:n], b.hasCapacity) {
		if more := slices.IndexFunc(candidates[n:], b.hasCapacity); more >= 0 {
			n += more + 1
		} else {
			n = len(candidates)
		}
	}
	return candidates[:n]
}

// differentialPair is two balancers that handle the same events, one with pick and one with referencePick.
type differentialPair struct {
	t         *testing.T
	random    *rand.Rand
	config    Config
	balancers [2]*Balancer
	now       float64
	servers   map[ServerID]Server
	lastID    RequestID
	inFlight  []Action // attempts, as returned in Send actions
	attempts  map[RequestID]int
	timers    []pendingTimer
	lostZone  int // the zone that is unreachable; -1: none
	sends     int
}

func newDifferentialPair(t *testing.T, seed int64) *differentialPair {
	random := rand.New(rand.NewSource(seed))
	cfg := baseConfig()
	cfg.Seed, cfg.SidecarCount, cfg.SidecarIndex = uint64(seed), 30, int(seed)
	cfg.KeyAffinity, cfg.AllowParallelAttempts = true, false
	cfg.Costs.CrossZone = 0.01 * float64(seed%2)
	if seed%3 == 1 {
		cfg.LoadReports, cfg.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldInFlight, FieldUtilization,
			FieldQueueLength, FieldLatency}
	}
	if seed%4 == 3 {
		cfg.AllowGossip, cfg.Costs.Gossip = true, 0.06
	}
	if seed%7 == 3 {
		cfg.SlowStartMinCapacity, cfg.SlowStartDuration = 0, 300
	}
	pair := &differentialPair{t: t, random: random, config: cfg, now: 5000, servers: map[ServerID]Server{},
		attempts: map[RequestID]int{}, lostZone: -1}
	for i := range pair.balancers {
		pair.balancers[i] = mustNew(t, cfg)
		pair.balancers[i].Start(pair.now)
	}
	pair.balancers[1].selectServer = pair.balancers[1].referencePick
	for id := range ServerID([]int{6, 60, 160}[seed%3]) {
		pair.servers[id+1] = pair.server(id + 1)
	}
	pair.updateEndpoints(UpdateFull)
	return pair
}

func (pair *differentialPair) server(id ServerID) Server {
	s := Server{ID: id, RelativeCapacity: 0.5 + pair.random.Float64(), Cell: int(id) / 4, Zone: int(id) % 3, Kind: int(id) % 2}
	if pair.random.Intn(8) == 0 {
		s.StartedAt = pair.now
	}
	return s
}

// updateEndpoints delivers all servers, or a random part of them for an UpdateDelta.
func (pair *differentialPair) updateEndpoints(kind UpdateKind) {
	var entries []Server
	for id := ServerID(1); int(id) <= 200; id++ {
		if s, ok := pair.servers[id]; ok && (kind != UpdateDelta || pair.random.Intn(10) == 0) {
			entries = append(entries, s)
		}
	}
	pair.handle(EndpointUpdate{Kind: kind, Servers: entries})
}

// handle lets both balancers handle an event and compares their actions.
func (pair *differentialPair) handle(ev Event) {
	pair.t.Helper()
	actions, err := pair.balancers[0].Handle(pair.now, ev)
	actions = slices.Clone(actions)
	reference, referenceErr := pair.balancers[1].Handle(pair.now, ev)
	if !slices.EqualFunc(actions, reference, func(a, p Action) bool { return reflect.DeepEqual(a, p) }) || err != nil ||
		referenceErr != nil {
		pair.t.Fatalf("at %v, %T %+v: %v %+v, the reference %v %+v", pair.now, ev, ev, err, actions, referenceErr, reference)
	}
	for _, a := range actions {
		switch a.Kind {
		case Send:
			pair.balancers[0].checkSlowStartBudgetKept(pair.t, a)
			pair.sends++
			a.Attempt = pair.attempts[a.Request]
			pair.attempts[a.Request]++
			pair.inFlight = append(pair.inFlight, a)
		case SetTimer:
			if a.Token != discoveryTimer {
				pair.timers = append(pair.timers, pendingTimer{pair.now + a.Delay, a.Token})
			}
		}
	}
}

func (pair *differentialPair) step() {
	pair.now += pair.random.ExpFloat64() * 6
	for i := 0; i < len(pair.timers); i++ {
		if p := pair.timers[i]; p.at <= pair.now {
			pair.timers = slices.Delete(pair.timers, i, i+1)
			pair.handle(TimerFired{Token: p.token})
			i = -1
		}
	}
	switch n := pair.random.Intn(200); {
	case n < 80:
		pair.lastID++
		class := pair.random.Intn(len(pair.config.Classes))
		key := uint64(pair.random.Intn(40) * pair.random.Intn(10)) // frequent keys, rare keys and requests without a key
		pair.handle(Request{ID: pair.lastID, Class: class, Key: key, Timeout: pair.config.Classes[class].Deadline})
	case n < 180 && len(pair.inFlight) > 0:
		pair.endAttempt(pair.random.Intn(len(pair.inFlight)))
	case n < 182:
		pair.lostZone = pair.random.Intn(5) - 1
	case n < 184: // time for ejections, load reports and slow starts to end
		pair.now += 3000 * pair.random.Float64()
	case n < 186:
		findings := []finding{{findingFault, serverTag(ServerID(1 + pair.random.Intn(60))), pair.now},
			{findingRecovery, serverTag(1), pair.now}}
		pair.handle(GossipMessage{From: pair.random.Intn(30), Data: encodeGossip(pair.now, findings)})
	case n < 192: // one server changes, is added or removed
		id := ServerID(1 + pair.random.Intn(len(pair.servers)+2))
		s, known := pair.servers[id]
		switch {
		case !known:
			pair.servers[id] = pair.server(id)
		case pair.random.Intn(3) == 0 && len(pair.servers) > 3:
			delete(pair.servers, id)
		default:
			s.StartedAt, s.State, s.RelativeCapacity = pair.now, ServerState(pair.random.Intn(6)/5), 0.5+pair.random.Float64()
			pair.servers[id] = s
		}
		pair.updateEndpoints([]UpdateKind{UpdateFull, UpdateDelta, UpdateDelta}[pair.random.Intn(3)])
	}
}

// endAttempt ends an attempt with a random result, or with ConnectFailed if its zone is lost.
func (pair *differentialPair) endAttempt(i int) {
	a := pair.inFlight[i]
	pair.inFlight = slices.Delete(pair.inFlight, i, i+1)
	result := []Result{OK, OK, OK, OK, OK, OK, OK, Failed, Overloaded, TimedOut}[pair.random.Intn(10)]
	if int(a.Server)%3 == pair.lostZone {
		result = ConnectFailed
	}
	outcome := Outcome{Request: a.Request, Attempt: a.Attempt, Server: a.Server, Result: result, RequestDone: result == OK}
	if outcome.Elapsed = 5 + pair.random.Float64()*40*float64(1+a.Server%3); result == OK &&
		pair.config.LoadReports == LoadReportPiggyback {
		outcome.LoadReport = []float32{float32(pair.random.Intn(9)), pair.random.Float32(), float32(pair.random.Intn(3)), 20}
	}
	pair.handle(outcome)
}

// randomPlacement delivers a random placement. Some of its entries are expired, invalid or name unlisted servers.
func (pair *differentialPair) randomPlacement() {
	servers := func() (ids []ServerID) {
		for range pair.random.Intn(1 + len(pair.servers)/2) {
			ids = append(ids, ServerID(1+pair.random.Intn(len(pair.servers)+5)))
		}
		return ids
	}
	var p Placement
	for id := range pair.random.Intn(4) {
		p.Exclusions = append(p.Exclusions, Exclusion{
			ID: id, Tenant: pair.random.Intn(2) - 1, Servers: servers(),
			MinAvailable: pair.random.Float64() * 0.8, ExpiresAt: pair.now + 2000*pair.random.Float64() - 100,
		})
	}
	for key := range uint64(pair.random.Intn(5)) {
		s := HotKey{Key: key * 3, ExpiresAt: pair.now + 2000*pair.random.Float64() - 100}
		for _, id := range servers() {
			s.Replicas = append(s.Replicas, Replica{id, 0.4*pair.random.Float64() - 0.1})
		}
		p.HotKeys = append(p.HotKeys, s)
	}
	pair.handle(p)
}

// The indices reduce the cost of a pick but must not change its result: on random events, with lost zones, restarts
// and list updates, every action must equal that of the reference.
func TestIndexedPickMatchesReference(t *testing.T) {
	for seed := range int64(21) {
		pair := newDifferentialPair(t, seed)
		for range 2000 {
			pair.step()
		}
		if pair.sends < 150 {
			t.Fatalf("seed %d: only %d sends", seed, pair.sends)
		}
		total, sum := pair.balancers[0].refreshRotation(), 0.0
		for _, s := range pair.balancers[0].servers {
			if s.inRotation {
				sum += pair.balancers[0].weight(s) * s.weightGroup.factor /
					math.Exp(pair.balancers[0].capacity.byKind[s.Kind]+pair.balancers[0].capacity.byZone[s.Zone])
			}
		}
		if sum = math.Max(sum, 1e-6); math.Abs(total-sum) > 1e-9*sum+1e-5 {
			t.Fatalf("seed %d: the weights of the rotation sum to %v, and the index has %v", seed, sum, total)
		}
	}
}
