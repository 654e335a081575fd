package balance

import "testing"

// The learned capacity of a server that is twice as fast, and of its kind, must be higher.
func TestCapacityIsLearned(t *testing.T) {
	servers := testServers(4)
	servers[2].Kind, servers[3].Kind = 1, 1
	h := newHarness(t, baseConfig(), servers...)
	hits := map[ServerID]int{}
	for range 1500 {
		id, actions := h.request(idempotentClass)
		s, _ := sentServer(actions)
		hits[s]++
		h.now += 5
		h.finishAttempt(id, 0, OK, map[bool]float64{true: 20, false: 40}[s > 2])
	}
	if hits[3]+hits[4] < 3*(hits[1]+hits[2])/2 {
		t.Fatalf("requests per server %v, want more at 3 and 4 than at 1 and 2", hits)
	}
	if h.balancer.capacity.byKind[1] <= h.balancer.capacity.byKind[0] {
		t.Fatalf("learned log capacity by kind %v, want kind 1 above kind 0", h.balancer.capacity.byKind)
	}
}

// If crossing zones has a cost, the own zone receives more requests, and the other zones still receive some.
func TestOwnZoneIsPreferredWhenCrossingCosts(t *testing.T) {
	for cost, minimum := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Costs.CrossZone, cfg.Zone = cost, 1
		h := newHarness(t, cfg, testServers(8)...)
		own := 0
		for _, s := range sendSequence(h, 40) {
			if s > 4 {
				own++
			}
		}
		if own < minimum || own > 38 || cost == 0 && own > 20 {
			t.Errorf("cost %v: %d of 40 in the own zone", cost, own)
		}
	}
}

// A restarted sidecar knows no capacity. With few requests and small learning steps, it would send slow
// servers as much as fast servers for a minute.
func TestCapacityIsLearnedFastAtFirst(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(2)...)
	fast, slow := h.balancer.servers[0], h.balancer.servers[1]
	for range 20 {
		h.balancer.learnCapacity(fast, 0.5)
		h.balancer.learnCapacity(slow, 1.5)
	}
	early := fast.logCapacity - slow.logCapacity
	for range 2000 { // much later, one of two equal servers becomes fast
		h.balancer.learnCapacity(fast, 1)
		h.balancer.learnCapacity(slow, 1)
	}
	before := fast.logCapacity - slow.logCapacity
	for range 20 {
		h.balancer.learnCapacity(fast, 0.5)
		h.balancer.learnCapacity(slow, 1.5)
	}
	if late := fast.logCapacity - slow.logCapacity - before; early < 3*late || late <= 0 {
		t.Fatalf("learned %.3f at first and %.3f later", early, late)
	}
}

// If some connections of a healthy server break, its learned capacity must not fall, one failed connect must not
// eject it, and the next answer must not put it into slow start.
func TestBrokenConnectionsDoNotLowerCapacity(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	sends := 0
	for range 400 {
		h.now += 20
		id, actions := h.request(idempotentClass)
		s, _ := sentServer(actions)
		h.now += 30
		if s == 1 {
			sends++
		}
		if s == 1 && sends%2 == 0 {
			h.finishAttempt(id, 0, []Result{ConnectFailed, Reset}[sends/2%2], 30)
			if b := h.balancer; b.serversByID[1].errors.consecutive == 1 && b.isEjected(b.serversByID[1]) {
				t.Fatal("one error ejects the server")
			}
			h.finishAttempt(id, 1, OK, 30)
			continue
		}
		h.finishAttempt(id, 0, OK, 30)
	}
	if s := h.balancer.serversByID[1]; h.balancer.inSlowStart(s) || s.logCapacity < -0.2 {
		t.Errorf("slow start %v, log capacity %v", h.balancer.inSlowStart(s), s.logCapacity)
	}
}

// While load is shed, all servers answer fast, so latency alone would send too much load to the fast
// servers. A slow server with a low utilization must not receive less than a fast server that is fully
// utilized.
func TestIdleServersGainCapacity(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldUtilization}
	h := newHarness(t, cfg, testServers(2)...)
	sent := map[ServerID]int{}
	for i := range 4000 {
		h.now += 5
		id, actions := h.request(idempotentClass)
		s, _ := sentServer(actions)
		took, utilization := 40.0, float32(1)
		if s == 1 {
			took, utilization = 56, 0.3
		}
		h.handle(Outcome{
			Request: id, Server: s, Result: OK, Elapsed: took, RequestDone: true, LoadReport: []float32{utilization},
		})
		if i >= 3000 {
			sent[s]++
		}
	}
	if sent[1] < sent[2] {
		t.Errorf("the idle server gets %d, the full one %d", sent[1], sent[2])
	}
}
