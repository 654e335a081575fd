package balance

import (
	"math"
	"math/rand"
	"testing"
)

// The slow start budget must be computed from answers. Requests include the retries of clients, and a
// budget by requests would overload a server in slow start.
func TestSlowStartBudgetHoldsForAllSidecars(t *testing.T) {
	const sidecars, perSecond, seconds = 4, 150, 6
	cfg := baseConfig()
	sends := 0
	for n := range sidecars {
		cfg.Seed, cfg.SidecarIndex = uint64(n+1), n
		servers := testServers(5)
		h := newHarness(t, cfg, servers...)
		for i := range perSecond * seconds {
			if i == perSecond*3 { // one server restarts half-way
				servers[0].StartedAt = h.now
				h.handle(EndpointUpdate{Kind: UpdateDelta, Servers: servers[:1]})
			}
			id, actions := h.request(idempotentClass)
			s, ok := sentServer(actions)
			if !ok {
				t.Fatal("nothing sent")
			}
			if s == 1 && i >= perSecond*3 && i < perSecond*4 {
				sends++
			}
			h.finishAttempt(id, 0, OK, 10)
			h.now += 1000 / perSecond
		}
	}
	// A server receives a fifth of the traffic. In slow start it can serve SlowStartMinCapacity of that, and slightly
	// more as it warms up. It fails at OverloadMultiple times the traffic that it can serve.
	limit := float64(sidecars*perSecond) / 5 * cfg.OverloadMultiple * (cfg.SlowStartMinCapacity + 0.05)
	if sends == 0 || float64(sends) > limit {
		t.Fatalf("%d sends to a server in slow start in its first second, want 1 to %.0f", sends, limit)
	}
}

// A server that was unreachable and then answers has restarted, whatever the endpoint list states.
func TestServerThatReturnsIsInSlowStart(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(2)...)
	const s = ServerID(1)
	for range 20 { // the server is unreachable for some time
		h.now += 5000
		id, actions := h.request(idempotentClass)
		to, _ := sentServer(actions)
		if to == s {
			h.finishAttempt(id, 0, ConnectFailed, 150)
			h.finishAttempt(id, 1, OK, 10)
			continue
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now += 60000
	for range 8 {
		id, actions := h.request(idempotentClass)
		if again, _ := sentServer(actions); again == s {
			h.finishAttempt(id, 0, OK, 10)
			break
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	if !h.balancer.inSlowStart(h.balancer.serversByID[s]) {
		t.Fatal("the server is not in slow start")
	}
}

// The answer rate of a sidecar includes assumed answers. They must not raise the slow start budget: all
// sidecars together would overload the server. A sidecar without answers may send almost nothing to it.
func TestAssumedAnswersGiveNoSlowStartBudget(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	entry := h.balancer.servers[0].Server
	entry.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{entry}})
	h.now += 2000
	h.request(idempotentClass) // sets the weights
	s := h.balancer.servers[0]
	s.slowStart.tokens, s.slowStart.tokensAt = 0, h.now-2000
	if h.balancer.hasSlowStartBudget(s); s.slowStart.tokens > 0.2 { // with ten assumed answers it would be 1
		t.Fatalf("%.2f sends in two seconds", s.slowStart.tokens)
	}
	for range 400 { // a sidecar with two hundred answers a second may send its share
		id, _ := h.request(idempotentClass)
		h.finishAttempt(id, 0, OK, 0)
	}
	s.slowStart.tokens, s.slowStart.tokensAt = 0, h.now-2000
	if h.balancer.hasSlowStartBudget(s); s.slowStart.tokens < 0.5 {
		t.Fatalf("%.2f sends in two seconds for a busy sidecar", s.slowStart.tokens)
	}
}

// Many sidecars that know only their own traffic must not overload a server in slow start. In any window of
// OverloadDuration, all of them together must send it less than OverloadMultiple of its current capacity, with some
// slack for chance. The traffic before the restart is taken as the capacity of the server, which is the lowest
// possible value.
func TestManySidecarsKeepSlowStartBudget(t *testing.T) {
	for _, c := range []struct{ sidecars, servers int }{{3, 6}, {200, 20}, {600, 60}} {
		cfg := baseConfig()
		random := rand.New(rand.NewSource(5))
		harnesses := make([]*harness, c.sidecars)
		for i := range harnesses {
			cfg.SidecarIndex, cfg.SidecarCount, cfg.Seed = i, c.sidecars, uint64(i)
			harnesses[i] = newHarness(t, cfg, testServers(c.servers)...)
			for _, s := range harnesses[i].balancer.servers {
				s.rank = harnesses[i].balancer.ownOrderRank(s)
			}
			harnesses[i].balancer.dropRemoved()
		}
		const restartAt, end, perServer = 11000.0, 16000.0, 20.0 // perServer: requests a second
		gap := 1000 / perServer / float64(c.servers)
		var slowStartSends []float64
		before := 0.0
		restarted := testServers(1)[0]
		restarted.StartedAt = restartAt
		for now := 1000.0; now < end; now += gap {
			h := harnesses[random.Intn(len(harnesses))]
			h.now = now
			h.actions = h.actions[:0]
			if s := h.balancer.serversByID[1]; now >= restartAt && s.StartedAt != restartAt {
				h.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{restarted}})
			}
			id, actions := h.request(idempotentClass)
			to, ok := sentServer(actions)
			if !ok {
				continue
			}
			if to == 1 && now >= restartAt {
				slowStartSends = append(slowStartSends, now)
			} else if to == 1 {
				before += 1000 / (restartAt - 1000)
			}
			h.finishAttempt(id, 0, OK, 5)
		}
		for i, from := range slowStartSends {
			n := 0
			for n < len(slowStartSends)-i && slowStartSends[i+n] < from+cfg.OverloadDuration {
				n++
			}
			capacity := before * (cfg.SlowStartMinCapacity + (1-cfg.SlowStartMinCapacity)*(from-restartAt)/cfg.SlowStartDuration)
			if limit := cfg.OverloadMultiple * capacity * cfg.OverloadDuration / 1000; float64(n) > limit+math.Sqrt(limit) {
				t.Fatalf("%d sidecars, %d servers: %d sends in a window, %.1f allowed", c.sidecars, c.servers, n, limit)
			}
		}
		if len(slowStartSends) == 0 {
			t.Errorf("%d sidecars, %d servers: the server in slow start gets nothing", c.sidecars, c.servers)
		}
	}
}

// A sidecar that has just started learns capacities in large steps. If its load rises meanwhile, all warm servers
// answer more slowly than before and are learned to be slow. A server in slow start, of which nothing is learned,
// then has a larger share of the pool. In the fault soak (seed 1010) a restarted sidecar sent 16 attempts a second to
// a server that was 3 s old; other sidecars sent it 2, and the warm servers received 20. The budget must not follow
// the learned capacity of other servers alone.
func TestSlowStartBudgetIgnoresLearnedCapacityOfOthers(t *testing.T) {
	refill := func(learned float64) float64 {
		h := newHarness(t, baseConfig(), testServers(4)...)
		entry := h.balancer.servers[0].Server
		entry.StartedAt = h.now
		h.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{entry}})
		for _, s := range h.balancer.servers[1:] {
			s.logCapacity = learned
		}
		for range 400 {
			h.now += 5
			id, actions := h.request(idempotentClass)
			if _, sent := sentServer(actions); sent {
				h.finishAttempt(id, 0, OK, 1)
			}
			for _, s := range h.balancer.servers[1:] {
				s.logCapacity = learned // regardless of the answers
			}
		}
		s := h.balancer.servers[0]
		s.slowStart.tokens, s.slowStart.tokensAt = 0, h.now
		h.now += 5
		h.balancer.now = h.now
		h.balancer.hasSlowStartBudget(s)
		return s.slowStart.tokens
	}
	baseline, withSlowOthers := refill(0), refill(-2)
	if baseline == 0 || withSlowOthers > 1.01*baseline {
		t.Errorf("in 5 ms it earns %.5f tokens, and %.5f where the others are learned to be slow", baseline, withSlowOthers)
	}
}
