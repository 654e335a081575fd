package balance

import "testing"

// simulateLostZone plays a tier on which a zone goes silent, and returns what happened from then on.
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
		w.request(i%balancers, idempotentClass, uint64(i)*7919%400)
	}
	return connects, unserved
}

// Each sidecar meets a server once in two seconds: one by one it found the servers of a lost zone dead for many.
func TestLostZoneIsEjectedTogether(t *testing.T) {
	connects, unserved := simulateLostZone(t, true)
	alike, more := simulateLostZone(t, false)
	if connects > alike/2 {
		t.Errorf("%d failed connects, and %d where zones tell nothing", connects, alike)
	}
	if unserved > more/2 {
		t.Errorf("%d requests went unserved, and %d where zones tell nothing", unserved, more)
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
			id, acts := g.request(idempotentClass)
			for n := 0; len(g.balancer.requests.open) > 0 && n < 4; n++ {
				s, sent := sentServer(acts)
				if !sent {
					break
				}
				if s <= 12 && dead {
					out++
					acts = g.finishAttempt(id, n, ConnectFailed, 1)
				} else {
					if s <= 12 {
						in++
					}
					acts = g.finishAttempt(id, n, OK, 5)
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
		t.Fatal("the zone is not held to be lost")
	}
	dead = false
	if in, _ := play(); in < 100 {
		t.Errorf("%d of 400 requests go to a zone that is back", in)
	}
}

// A server that is cut off keeps its connections open: what was sent before waits for nothing.
func TestAttemptsAtUnreachableServerAreRetriedElsewhere(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	waiting := map[RequestID]ServerID{}
	for range 8 {
		id, acts := g.request(idempotentClass)
		waiting[id], _ = sentServer(acts)
	}
	unsafe, acts := g.request(nonIdempotentClass)
	s, _ := sentServer(acts)
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
			t.Errorf("request %d at server %d, server %d is out of reach: cancelled %v", id, at, s, cancelled[id])
		}
	}
	if cancelled[unsafe] || len(cancelled) == 0 {
		t.Errorf("cancelled %v; %d must never run twice", cancelled, unsafe)
	}
	for id := range cancelled {
		if to, sent := sentServer(g.finishAttempt(id, 0, Cancelled, 250)); !sent || to == s {
			t.Errorf("request %d is not moved: %v to server %d", id, sent, to)
		}
	}
}

// simulateLateServers plays a tier on which some servers, each met by a sidecar once in three seconds, turn so slow that
// they are late, and returns the sends a second to each of these after a while, and to each of the others.
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
		w.request(i%balancers, idempotentClass, uint64(i)*7919%400+1)
	}
	return toLate, toOthers
}

// A late server stayed full of what sixty sidecars each sent it now and then, and never recovered.
func TestLateServerIsEjectedAtLowTraffic(t *testing.T) {
	toLate, toOthers := simulateLateServers(t, 3)
	if toLate > toOthers/2 {
		t.Errorf("%.1f sends a second to a late server, %.1f to another", toLate, toOthers)
	}
	if toLate == 0 {
		t.Error("late servers are never tried again")
	}
}

// Where most servers are late the load is too high, and resting them would put it all on the rest.
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
		t.Errorf("%d of 40 servers rest, want 1 to %d", resting, most)
	}
}

// The rest of the fleet gets the keys of a lost zone cold, and was choked before its answers showed it.
func TestLoadOfLostZoneIsShedAtOnce(t *testing.T) {
	servers := testServers(24)
	for i := range servers {
		servers[i].Zone = i / 12
	}
	g := newHarness(t, baseConfig(), servers...)
	shed := 0.0
	for range 400 {
		g.now += 20
		id, acts := g.request(idempotentClass)
		for n := 0; len(g.balancer.requests.open) > 0 && n < 4; n++ {
			s, sent := sentServer(acts)
			if !sent {
				break
			}
			if s <= 12 {
				acts = g.finishAttempt(id, n, ConnectFailed, 1)
			} else {
				acts = g.finishAttempt(id, n, OK, 5)
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

// Where load is shed the servers turn cold, and cold answers looked like the load that was shed for: 80 sidecars
// shed nine tenths for ten seconds, with two requests in flight at a server.
func TestSheddingEndsWhenLatencyRecovers(t *testing.T) {
	cfg := baseConfig()
	cfg.KeyAffinity = true
	g := newHarness(t, cfg, testServers(60)...)
	took := 0.32 * cfg.Classes[idempotentClass].LatencyObjective // a little less than is held to be too long
	for start := g.now; g.now < start+1000; {
		id, _ := g.request(idempotentClass)
		g.now += took
		g.finishAttempt(id, 0, OK, took)
	}
	g.balancer.admission.sustainedShed = maxShedFraction + shedDeadband
	start := g.now
	for g.balancer.admission.sustainedShed > shedDeadband && g.now < start+60000 {
		id, acts := g.request(idempotentClass)
		g.now += took
		if _, sent := sentServer(acts); sent {
			g.finishAttempt(id, 0, OK, took)
		}
	}
	if ended := g.now - start; ended > 6000 {
		t.Errorf("shedding went on for %.0f ms", ended)
	}
}
