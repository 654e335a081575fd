package balance

import "testing"

// simulateLostZone has half of the servers become unreachable, which are a zone or not, and returns the failed connects and
// the requests that were not served from then on.
func simulateLostZone(t *testing.T, zones bool) (connects, unserved int) {
	const balancers, lost = 40, 0
	cfg := baseConfig()
	cfg.ConnectTimeout = 250
	servers := testServers(40)
	for i := range servers {
		servers[i].Zone = 0
		if zones {
			servers[i].Zone = i % 2
		}
	}
	w := newSimulatedFleet(t, cfg, balancers, servers)
	silent := false
	w.serve = func(s ServerID) (Result, float64) {
		if int(s-1)%2 == lost && silent {
			return ConnectFailed, cfg.ConnectTimeout
		}
		return OK, 20
	}
	w.onOutcome = func(_ int, o Outcome) {
		if o.Result == ConnectFailed {
			connects++
		}
	}
	w.onAction = func(_ int, a Action) {
		if a.Kind == Reject || a.Kind == Fail {
			unserved++
		}
	}
	for i := range 16000 {
		if w.now > 5000 {
			silent = true
		}
		w.run(w.now + 1)
		w.request(i%balancers, uint64(i)*7919%400)
	}
	return connects, unserved
}

// Each sidecar visits a server once in two seconds: one by one it would take many to find the servers of a zone.
func TestLostZoneIsEjectedTogether(t *testing.T) {
	connects, unserved := simulateLostZone(t, true)
	alike, more := simulateLostZone(t, false)
	if connects > alike/2 {
		t.Errorf("%d failed connects, and %d where all servers are in one zone", connects, alike)
	}
	if unserved > more/2 {
		t.Errorf("%d requests went unserved, and %d where all servers are in one zone", unserved, more)
	}
}

func TestLostZoneRecovers(t *testing.T) {
	servers := testServers(24)
	for i := range servers {
		servers[i].Zone = i / 12
	}
	g := newHarness(t, baseConfig(), servers...)
	dead := true
	play := func() (in, out int) {
		for range 400 {
			g.now += 20
			id, actions := g.request(idempotentClass)
			for n := 0; len(g.balancer.requests.open) > 0 && n < 4; n++ {
				s, sent := sentServer(actions)
				if !sent {
					break
				}
				if s <= 12 && dead {
					out++
					actions = g.finishAttempt(id, n, ConnectFailed, 1)
				} else {
					if s <= 12 {
						in++
					}
					actions = g.finishAttempt(id, n, OK, 5)
				}
			}
		}
		return in, out
	}
	_, out := play()
	if out > 24 {
		t.Errorf("%d sends to a lost zone in 8 s", out)
	}
	if out == 0 || !g.balancer.healthOfZone(0).lost {
		t.Fatal("the zone is not taken to be lost")
	}
	dead = false
	if in, _ := play(); in < 100 {
		t.Errorf("%d of 400 requests go to a zone that has recovered", in)
	}
}

// A server that is cut off keeps its connections open: attempts that were sent before would wait in vain.
func TestAttemptsAtUnreachableServerAreRetriedElsewhere(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	waiting := map[RequestID]ServerID{}
	for range 8 {
		id, actions := g.request(idempotentClass)
		waiting[id], _ = sentServer(actions)
	}
	unsafe, actions := g.request(nonIdempotentClass)
	s, _ := sentServer(actions)
	first := RequestID(0)
	for id := RequestID(1); id < unsafe; id++ {
		if waiting[id] == s {
			first = id
			break
		}
	}
	cancelled := map[RequestID]bool{}
	for _, a := range g.finishAttempt(first, 0, ConnectFailed, 250) {
		if a.Kind == Cancel {
			cancelled[a.Request] = true
		}
	}
	for id, at := range waiting {
		if id != first && cancelled[id] != (at == s) {
			t.Errorf("request %d at server %d, server %d is unreachable: cancelled %v", id, at, s, cancelled[id])
		}
	}
	if cancelled[unsafe] || len(cancelled) == 0 {
		t.Errorf("cancelled %v; %d must never run twice", cancelled, unsafe)
	}
	for id := range cancelled {
		if to, sent := sentServer(g.finishAttempt(id, 0, Cancelled, 250)); !sent || to == s {
			t.Errorf("request %d is not retried elsewhere: %v to server %d", id, sent, to)
		}
	}
}

// simulateLateServers has some servers, each visited by a sidecar once in three seconds, become so slow that they are late.
// It returns the attempts per second at each of these after a while, and at each of the others.
func simulateLateServers(t *testing.T, late int) (toLate, toOthers float64) {
	const balancers, servers, warmUp, settle, span = 60, 50, 4000.0, 1000.0, 5000.0
	cfg := baseConfig()
	cfg.KeyAffinity = true // all servers are in the rotation
	w := newSimulatedFleet(t, cfg, balancers, testServers(servers))
	w.serve = func(s ServerID) (Result, float64) {
		if int(s) <= late && w.now > warmUp {
			return OK, 2 * cfg.Classes[idempotentClass].LatencyObjective
		}
		return OK, 20
	}
	w.onAction = func(_ int, a Action) {
		switch {
		case a.Kind != Send || w.now < warmUp+settle:
		case int(a.Server) <= late:
			toLate += 1e3 / (span - settle) / float64(late)
		default:
			toOthers += 1e3 / (span - settle) / float64(servers-late)
		}
	}
	for i := 0; w.now < warmUp+span; i++ {
		w.run(w.now + 1)
		w.request(i%balancers, uint64(i)*7919%400+1)
	}
	return toLate, toOthers
}

// A late server would stay full of what sixty sidecars each send it now and then, and never recover.
func TestLateServerIsEjectedAtLowTraffic(t *testing.T) {
	toLate, toOthers := simulateLateServers(t, 3)
	if toLate > toOthers/2 {
		t.Errorf("%.1f sends a second to a late server, %.1f to another", toLate, toOthers)
	}
	if toLate == 0 {
		t.Error("late servers are never tried again")
	}
}

// Where most servers are late the load is too high, and ejecting them would put it all on the others.
func TestLateEjectionIsBounded(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(40)...)
	for _, s := range g.balancer.servers {
		g.balancer.recordError(s, false)
	}
	resting := 0
	for _, s := range g.balancer.servers {
		if g.balancer.isEjected(s) {
			resting++
		}
	}
	if most := int(maxLateEjectedFraction*40 + 1); resting == 0 || resting > most {
		t.Errorf("%d of 40 servers are ejected, want 1 to %d", resting, most)
	}
}

// The other zones receive the keys of a lost zone without a warm cache: they would be overloaded before answers show it.
func TestLoadOfLostZoneIsShedAtOnce(t *testing.T) {
	servers := testServers(24)
	for i := range servers {
		servers[i].Zone = i / 12
	}
	g := newHarness(t, baseConfig(), servers...)
	shed := 0.0
	for range 400 {
		g.now += 20
		id, actions := g.request(idempotentClass)
		for n := 0; len(g.balancer.requests.open) > 0 && n < 4; n++ {
			s, sent := sentServer(actions)
			if !sent {
				break
			}
			if s <= 12 {
				actions = g.finishAttempt(id, n, ConnectFailed, 1)
			} else {
				actions = g.finishAttempt(id, n, OK, 5)
			}
		}
		if g.balancer.healthOfZone(0).lost {
			shed = g.balancer.admission.sustainedShed - shedDeadband
			break
		}
	}
	if shed < 0.4 || shed > 0.6 {
		t.Errorf("half the fleet is lost, and %.2f of the load is shed", shed)
	}
}

// Where load is shed caches lose their warmth, and slow answers must not keep the shedding going: without a decay 80
// sidecars shed nine tenths for ten seconds, with two requests in flight at a server.
func TestSheddingEndsWhenLatencyRecovers(t *testing.T) {
	cfg := baseConfig()
	cfg.KeyAffinity = true
	g := newHarness(t, cfg, testServers(60)...)
	took := 0.32 * cfg.Classes[idempotentClass].LatencyObjective // a little less than what counts as too long
	for start := g.now; g.now < start+1000; {
		id, _ := g.request(idempotentClass)
		g.now += took
		g.finishAttempt(id, 0, OK, took)
	}
	g.balancer.admission.sustainedShed = maxShedFraction + shedDeadband
	start := g.now
	for g.balancer.admission.sustainedShed > shedDeadband && g.now < start+60000 {
		id, actions := g.request(idempotentClass)
		g.now += took
		if _, sent := sentServer(actions); sent {
			g.finishAttempt(id, 0, OK, took)
		}
	}
	if ended := g.now - start; ended > 6000 {
		t.Errorf("shedding went on for %.0f ms", ended)
	}
}

// A hung server is passed over at once for its load and ejected after several errors. What is stuck there must not look
// like overload of the fleet.
func TestHungServerIsNotOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(6)...)
	hung := 0
	for range 900 {
		g.now += 5
		for _, a := range g.dueTimers() {
			g.handle(a)
		}
		id, actions := g.request(idempotentClass)
		s, ok := sentServer(actions)
		if !ok {
			t.Fatalf("request %d was rejected: shed %v", id, g.balancer.admission.sustainedShed)
		}
		if s == 1 {
			hung++
			continue
		}
		g.now++
		g.finishAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung server got %d of 900", hung)
	}
}

// dueTimers returns the timers of open requests that are due.
func (g *harness) dueTimers() []TimerFired {
	var list []TimerFired
	for id := RequestID(1); id <= g.lastID; id++ {
		if r := g.balancer.requests.open[id]; r != nil && r.timerAt <= g.now && !r.finished {
			list = append(list, TimerFired{Token: uint64(id)})
		}
	}
	return list
}

// In a congested fleet all answers are late, by no server's fault: once the class is known to take long, an attempt of
// 430 ms with an objective of 300 is no error.
func TestLateAnswerInCongestedFleetIsNoError(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	times := []float64{370, 430, 400}
	for i := range 60 {
		id, actions := g.request(nonIdempotentClass)
		if !hasAction(actions, Send) {
			continue
		}
		end := g.now + times[i%3]
		for r := g.balancer.requests.open[id]; !r.finished && r.timerAt < end; {
			g.now = r.timerAt
			g.handle(TimerFired{Token: uint64(id)})
		}
		g.now = end
		if i > 30 && g.balancer.requests.open[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms is taken to be overdue after %v", i, times[i%3],
				g.balancer.overdueAfter(g.balancer.requests.open[id]))
		}
		g.finishAttempt(id, 0, OK, times[i%3])
	}
	g.balancer.admission.sustainedShed = 0
	id, _ := g.request(nonIdempotentClass)
	r := g.balancer.requests.open[id]
	for !r.attempts[0].overdue {
		if g.now = r.timerAt; g.now >= r.deadline {
			t.Fatal("nothing looks at the attempt before its deadline")
		}
		g.handle(TimerFired{Token: uint64(id)})
	}
	if r.attempts[0].server.errors.consecutive == 0 {
		t.Fatal("an attempt far beyond all others is no error")
	}
}

// A restart clears the ejections of a server and its failed health check.
func TestRestartClearsFaults(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	s := g.balancer.servers[0]
	g.handle(HealthCheckResult{Server: s.ID, Result: TimedOut})
	if !s.errors.healthCheckFailed || !g.balancer.isEjected(s) {
		t.Fatal("a failed health check does not eject the server")
	}
	entry := s.Server
	entry.StartedAt = g.now
	g.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{entry}})
	if s.errors.healthCheckFailed || s.ejection.count != 0 || g.balancer.isEjected(s) {
		t.Fatalf("after the restart: health check failed %v, ejections %d", s.errors.healthCheckFailed, s.ejection.count)
	}
}

// A server that leaves several attempts unanswered is ejected, and used again after an answer.
func TestConsecutiveErrorsEjectAServer(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	sendSequence(g, 20) // servers that are visited often
	s := g.balancer.servers[0]
	for range errorsBeforeEjection - 1 {
		g.balancer.recordError(s, false)
	}
	if g.balancer.isEjected(s) {
		t.Fatal("ejected before the last error")
	}
	g.balancer.recordError(s, false)
	if !g.balancer.isEjected(s) {
		t.Fatal("not ejected after the last error")
	}
	for range 12 {
		id, actions := g.request(idempotentClass)
		if to, _ := sentServer(actions); to == s.ID {
			t.Fatal("an ejected server got a request")
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	g.now = s.ejection.until
	for range 12 {
		id, actions := g.request(idempotentClass)
		to, _ := sentServer(actions)
		if g.finishAttempt(id, 0, OK, 10); to == s.ID && s.ejection.until == 0 && s.errors.consecutive == 0 {
			return
		}
	}
	t.Fatal("the server was not tried after its ejection")
}

// If all servers are ejected the cause is hardly theirs.
func TestAllEjectedServersAreUsed(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	for _, s := range g.balancer.servers {
		g.balancer.recordError(s, true)
	}
	if _, actions := g.request(idempotentClass); !hasAction(actions, Send) {
		t.Fatalf("nothing was sent: %+v", actions)
	}
}
