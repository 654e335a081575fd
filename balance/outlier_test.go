package balance

import "testing"

// simulateLostZone makes half of the servers unreachable. With separateZone they are a zone of their own. It returns
// the number of failed connects and of unserved requests from then on.
func simulateLostZone(t *testing.T, separateZone bool) (failedConnects, unserved int) {
	const balancers, lost = 40, 0
	cfg := baseConfig()
	cfg.ConnectTimeout = 250
	servers := testServers(40)
	for i := range servers {
		servers[i].Zone = 0
		if separateZone {
			servers[i].Zone = i % 2
		}
	}
	fleet := newSimulatedFleet(t, cfg, balancers, servers)
	unreachable := false
	fleet.serve = func(s ServerID) (Result, float64) {
		if int(s-1)%2 == lost && unreachable {
			return ConnectFailed, cfg.ConnectTimeout
		}
		return OK, 20
	}
	fleet.onOutcome = func(_ int, o Outcome) {
		if o.Result == ConnectFailed {
			failedConnects++
		}
	}
	fleet.onAction = func(_ int, a Action) {
		if a.Kind == Reject || a.Kind == Fail {
			unserved++
		}
	}
	for i := range 16000 {
		if fleet.now > 5000 {
			unreachable = true
		}
		fleet.run(fleet.now + 1)
		fleet.request(i%balancers, uint64(i)*7919%400)
	}
	return failedConnects, unserved
}

// Each sidecar visits a server once in two seconds. If it ejected the servers of a lost zone one by one,
// requests would fail at unreachable servers for many seconds.
func TestLostZoneIsEjectedTogether(t *testing.T) {
	failedConnects, unserved := simulateLostZone(t, true)
	connectsOneZone, unservedOneZone := simulateLostZone(t, false)
	if failedConnects > connectsOneZone/2 {
		t.Errorf("%d failed connects, and %d where all servers are in one zone", failedConnects, connectsOneZone)
	}
	if unserved > unservedOneZone/2 {
		t.Errorf("%d requests went unserved, and %d where all servers are in one zone", unserved, unservedOneZone)
	}
}

// newTwoZoneHarness returns a sidecar with 24 servers: the first 12 in zone 0, the others in zone 1.
func newTwoZoneHarness(t *testing.T) *harness {
	servers := testServers(24)
	for i := range servers {
		servers[i].Zone = i / 12
	}
	return newHarness(t, baseConfig(), servers...)
}

// requestWithRetries sends an idempotent request and ends its attempts until it is answered. With zoneLost, attempts
// at zone 0 fail to connect. It returns the number of attempts at zone 0.
func (h *harness) requestWithRetries(zoneLost bool) (inZone int) {
	h.t.Helper()
	h.now += 20
	id, actions := h.request(idempotentClass)
	for n := 0; len(h.balancer.requests.open) > 0 && n < 4; n++ {
		s, sent := sentServer(actions)
		if !sent {
			break
		}
		if s <= 12 {
			inZone++
		}
		if s <= 12 && zoneLost {
			actions = h.finishAttempt(id, n, ConnectFailed, 1)
		} else {
			actions = h.finishAttempt(id, n, OK, 5)
		}
	}
	return inZone
}

func TestLostZoneRecovers(t *testing.T) {
	h := newTwoZoneHarness(t)
	countAttempts := func(zoneLost bool) (inZone int) {
		for range 400 {
			inZone += h.requestWithRetries(zoneLost)
		}
		return inZone
	}
	whileLost := countAttempts(true)
	if whileLost > 24 {
		t.Errorf("%d sends to a lost zone in 8 s", whileLost)
	}
	if whileLost == 0 || !h.balancer.healthOfZone(0).lost {
		t.Fatal("the zone does not count as lost")
	}
	if recovered := countAttempts(false); recovered < 100 {
		t.Errorf("%d of 400 requests go to a zone that has recovered", recovered)
	}
}

// A server that is cut off keeps its connections open. Attempts in flight at the server must be cancelled
// and retried elsewhere: otherwise they would wait until their deadline.
func TestAttemptsAtUnreachableServerAreRetriedElsewhere(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	serverOf := map[RequestID]ServerID{}
	for range 8 {
		id, actions := h.request(idempotentClass)
		serverOf[id], _ = sentServer(actions)
	}
	nonIdempotent, actions := h.request(nonIdempotentClass)
	s, _ := sentServer(actions)
	first := RequestID(0)
	for id := RequestID(1); id < nonIdempotent; id++ {
		if serverOf[id] == s {
			first = id
			break
		}
	}
	cancelled := map[RequestID]bool{}
	for _, a := range h.finishAttempt(first, 0, ConnectFailed, 250) {
		if a.Kind == Cancel {
			cancelled[a.Request] = true
		}
	}
	for id, at := range serverOf {
		if id != first && cancelled[id] != (at == s) {
			t.Errorf("request %d at server %d, server %d is unreachable: cancelled %v", id, at, s, cancelled[id])
		}
	}
	if cancelled[nonIdempotent] || len(cancelled) == 0 {
		t.Errorf("cancelled %v; %d must never be executed twice", cancelled, nonIdempotent)
	}
	for id := range cancelled {
		if to, sent := sentServer(h.finishAttempt(id, 0, Cancelled, 250)); !sent || to == s {
			t.Errorf("request %d is not retried elsewhere: %v to server %d", id, sent, to)
		}
	}
}

// simulateLateServers makes some servers so slow that their answers are late. Each sidecar visits a server once in
// three seconds. It returns the attempts per second at each late server after a while, and at each other server.
func simulateLateServers(t *testing.T, lateServers int) (toLate, toOthers float64) {
	const balancers, servers, warmUp, settle, span = 60, 50, 4000.0, 1000.0, 5000.0
	cfg := baseConfig()
	cfg.KeyAffinity = true // all servers are in the rotation
	fleet := newSimulatedFleet(t, cfg, balancers, testServers(servers))
	fleet.serve = func(s ServerID) (Result, float64) {
		if int(s) <= lateServers && fleet.now > warmUp {
			return OK, 2 * cfg.Classes[idempotentClass].LatencyObjective
		}
		return OK, 20
	}
	fleet.onAction = func(_ int, a Action) {
		switch {
		case a.Kind != Send || fleet.now < warmUp+settle:
		case int(a.Server) <= lateServers:
			toLate += 1e3 / (span - settle) / float64(lateServers)
		default:
			toOthers += 1e3 / (span - settle) / float64(servers-lateServers)
		}
	}
	for i := 0; fleet.now < warmUp+span; i++ {
		fleet.run(fleet.now + 1)
		fleet.request(i%balancers, uint64(i)*7919%400+1)
	}
	return toLate, toOthers
}

// If sixty sidecars each sent attempts to a late server from time to time, the server would stay full and never
// recover.
func TestLateServerIsEjectedAtLowTraffic(t *testing.T) {
	toLate, toOthers := simulateLateServers(t, 3)
	if toLate > toOthers/2 {
		t.Errorf("%.1f sends a second to a late server, %.1f to another", toLate, toOthers)
	}
	if toLate == 0 {
		t.Error("late servers are never tried again")
	}
}

// If most servers are late, the load is too high. Ejecting them would move all load to the other servers.
func TestLateEjectionIsBounded(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(40)...)
	for _, s := range h.balancer.servers {
		h.balancer.recordError(s, false)
	}
	ejected := 0
	for _, s := range h.balancer.servers {
		if h.balancer.isEjected(s) {
			ejected++
		}
	}
	if limit := int(maxLateEjectedFraction*40 + 1); ejected == 0 || ejected > limit {
		t.Errorf("%d of 40 servers are ejected, want 1 to %d", ejected, limit)
	}
}

// The other zones receive the keys of a lost zone with cold caches: they would be overloaded before answers show it.
func TestLoadOfLostZoneIsShedAtOnce(t *testing.T) {
	h := newTwoZoneHarness(t)
	shed := 0.0
	for range 400 {
		h.requestWithRetries(true)
		if h.balancer.healthOfZone(0).lost {
			shed = h.balancer.admission.sustainedShed - shedDeadband
			break
		}
	}
	if shed < 0.4 || shed > 0.6 {
		t.Errorf("half the fleet is lost, and %.2f of the load is shed", shed)
	}
}

// While load is shed caches become cold, and the resulting slow answers must not prolong the shedding.
// Without a decay, 80 sidecars shed nine tenths of the load for ten seconds, although each server had only
// two requests in flight.
func TestSheddingEndsWhenLatencyRecovers(t *testing.T) {
	cfg := baseConfig()
	cfg.KeyAffinity = true
	h := newHarness(t, cfg, testServers(60)...)
	took := 0.32 * cfg.Classes[idempotentClass].LatencyObjective // slightly below the threshold of excess latency
	for start := h.now; h.now < start+1000; {
		id, _ := h.request(idempotentClass)
		h.now += took
		h.finishAttempt(id, 0, OK, took)
	}
	h.balancer.admission.sustainedShed = maxShedFraction + shedDeadband
	start := h.now
	for h.balancer.admission.sustainedShed > shedDeadband && h.now < start+60000 {
		id, actions := h.request(idempotentClass)
		h.now += took
		if _, sent := sentServer(actions); sent {
			h.finishAttempt(id, 0, OK, took)
		}
	}
	if duration := h.now - start; duration > 6000 {
		t.Errorf("shedding went on for %.0f ms", duration)
	}
}

// A hung server is passed over at once because of its load, and ejected after several errors. Its hung attempts must
// not look like overload of the fleet.
func TestHungServerIsNotOverload(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(6)...)
	hung := 0
	for range 900 {
		h.now += 5
		for _, a := range h.dueTimers() {
			h.handle(a)
		}
		id, actions := h.request(idempotentClass)
		s, ok := sentServer(actions)
		if !ok {
			t.Fatalf("request %d was rejected: shed %v", id, h.balancer.admission.sustainedShed)
		}
		if s == 1 {
			hung++
			continue
		}
		h.now++
		h.finishAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung server got %d of 900", hung)
	}
}

// dueTimers returns the timers of open requests that are due.
func (h *harness) dueTimers() []TimerFired {
	var list []TimerFired
	for id := RequestID(1); id <= h.lastID; id++ {
		if r := h.balancer.requests.open[id]; r != nil && r.timerAt <= h.now && !r.finished {
			list = append(list, TimerFired{Token: uint64(id)})
		}
	}
	return list
}

// In a congested fleet all answers are late, through no fault of a server. Once the mean latency of the
// class is known to be high, an attempt of 430 ms with an objective of 300 ms is no error.
func TestLateAnswerInCongestedFleetIsNoError(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	times := []float64{370, 430, 400}
	for i := range 60 {
		id, actions := h.request(nonIdempotentClass)
		if !hasAction(actions, Send) {
			continue
		}
		end := h.now + times[i%3]
		for r := h.balancer.requests.open[id]; !r.finished && r.timerAt < end; {
			h.now = r.timerAt
			h.handle(TimerFired{Token: uint64(id)})
		}
		h.now = end
		if i > 30 && h.balancer.requests.open[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms counts as overdue after %v", i, times[i%3],
				h.balancer.overdueAfter(h.balancer.requests.open[id]))
		}
		h.finishAttempt(id, 0, OK, times[i%3])
	}
	h.balancer.admission.sustainedShed = 0
	id, _ := h.request(nonIdempotentClass)
	r := h.balancer.requests.open[id]
	for !r.attempts[0].overdue {
		if h.now = r.timerAt; h.now >= r.deadline {
			t.Fatal("the attempt is not checked before its deadline")
		}
		h.handle(TimerFired{Token: uint64(id)})
	}
	if r.attempts[0].server.errors.consecutive == 0 {
		t.Fatal("an attempt far beyond all others is no error")
	}
}

// A restart must clear the ejections of a server and its failed health check.
func TestRestartClearsFaults(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(2)...)
	s := h.balancer.servers[0]
	h.handle(HealthCheckResult{Server: s.ID, Result: TimedOut})
	if !s.errors.healthCheckFailed || !h.balancer.isEjected(s) {
		t.Fatal("a failed health check does not eject the server")
	}
	entry := s.Server
	entry.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{entry}})
	if s.errors.healthCheckFailed || s.ejection.count != 0 || h.balancer.isEjected(s) {
		t.Fatalf("after the restart: health check failed %v, ejections %d", s.errors.healthCheckFailed, s.ejection.count)
	}
}

// A server that leaves several attempts unanswered must be ejected, and used again after an answer.
func TestConsecutiveErrorsEjectAServer(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(3)...)
	sendSequence(h, 20) // the servers are visited often
	s := h.balancer.servers[0]
	for range errorsBeforeEjection - 1 {
		h.balancer.recordError(s, false)
	}
	if h.balancer.isEjected(s) {
		t.Fatal("ejected before the last error")
	}
	h.balancer.recordError(s, false)
	if !h.balancer.isEjected(s) {
		t.Fatal("not ejected after the last error")
	}
	for range 12 {
		id, actions := h.request(idempotentClass)
		if to, _ := sentServer(actions); to == s.ID {
			t.Fatal("an ejected server got a request")
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now = s.ejection.until
	for range 12 {
		id, actions := h.request(idempotentClass)
		to, _ := sentServer(actions)
		if h.finishAttempt(id, 0, OK, 10); to == s.ID && s.ejection.until == 0 && s.errors.consecutive == 0 {
			return
		}
	}
	t.Fatal("the server was not tried after its ejection")
}

// If all servers are ejected, the cause is probably outside of the servers, and all servers are used.
func TestAllEjectedServersAreUsed(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(3)...)
	for _, s := range h.balancer.servers {
		h.balancer.recordError(s, true)
	}
	if _, actions := h.request(idempotentClass); !hasAction(actions, Send) {
		t.Fatalf("nothing was sent: %+v", actions)
	}
}
