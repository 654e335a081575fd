package balance

import (
	"maps"
	"math"
	"testing"
)

// sendSequence sends n idempotent requests, each of which is answered before the next.
func sendSequence(h *harness, n int) []ServerID {
	var ids []ServerID
	for range n {
		id, actions := h.request(idempotentClass)
		s, ok := sentServer(actions)
		if !ok {
			h.t.Fatal("nothing was sent")
		}
		ids = append(ids, s)
		h.balancer.requests.open[id].stats.samples = 0 // no capacity is learned from these answers
		h.finishAttempt(id, 0, OK, 10)
	}
	return ids
}

func TestRotationFollowsWeights(t *testing.T) {
	servers := testServers(3)
	servers[0].RelativeCapacity = 5
	got := sendSequence(newHarness(t, baseConfig(), servers...), 7)
	want := []ServerID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("sequence %v, want %v", got, want)
		}
	}
}

func TestHealthMultiplierFallsRecoversAndHasAFloor(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(2)...)
	s := h.balancer.servers[0]
	if m := h.balancer.health(s); m != 1 {
		t.Fatalf("health without errors is %v", m)
	}
	s.errors.consecutive, s.errors.lastAt = 2, h.now
	if m := h.balancer.health(s); math.Abs(m-(1-2*errorPenalty)) > 1e-9 {
		t.Fatalf("health after two errors is %v", m)
	}
	h.balancer.now += errorHalfLife
	if m := h.balancer.health(s); math.Abs(m-(1-errorPenalty)) > 1e-9 {
		t.Fatalf("health after a half-life is %v", m)
	}
	s.errors.consecutive = 1000
	if m := h.balancer.health(s); m != minHealth {
		t.Fatalf("health after very many errors is %v, want minHealth", m)
	}
	if m := h.balancer.health(h.balancer.servers[1]); m != 1 {
		t.Fatalf("another server's errors changed health to %v", m)
	}
	s.errors.consecutive = 2
	id, _ := h.request(idempotentClass)
	h.balancer.requests.open[id].attempts[0].server = s
	s.inFlight, h.balancer.servers[1].inFlight = 1, 0
	h.finishAttempt(id, 0, OK, 10)
	if m := h.balancer.health(s); m != 1 {
		t.Fatalf("health after a success is %v", m)
	}
}

func TestServerAtMinHealthStillReceives(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	hits := 0
	for range 40 { // a success clears the errors
		h.balancer.servers[2].errors.consecutive, h.balancer.servers[2].errors.lastAt = 1000, h.now
		if sendSequence(h, 1)[0] == 3 {
			hits++
		}
	}
	if hits == 0 || hits >= 10 {
		t.Fatalf("the server at minHealth got %d of 40", hits)
	}
}

func TestRetryGoesToHealthiestUntriedServer(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	for _, s := range h.balancer.servers {
		s.errors.consecutive, s.errors.lastAt = 2, h.now
	}
	h.balancer.servers[2].errors.consecutive = 1
	h.balancer.servers[1].round.runningWeight = 1000 // next in turn, though not the healthiest
	id, actions := h.request(idempotentClass)
	if s, _ := sentServer(actions); s != 2 {
		t.Fatalf("first sent to %d, want 2", s)
	}
	h.balancer.servers[3].round.runningWeight = 1000 // next in turn, which must not matter for a retry
	if s, ok := sentServer(h.finishAttempt(id, 0, Overloaded, 1)); !ok || s != 3 {
		t.Fatalf("retried at %d, want 3", s)
	}
}

// If every server exceeds its load bound, a first attempt goes to the server with the least load for its weight, and
// a retry still goes by health. While one server is within its bound, the running weight decides.
func TestFirstAttemptGoesToLeastLoadedWhenAllExceedBound(t *testing.T) {
	for _, c := range []struct {
		inFlight [4]int
		want     ServerID
	}{
		{[4]int{4, 3, 4, 4}, 2}, // all exceed the bound
		{[4]int{4, 4, 1, 0}, 3}, // 3 and 4 are within the bound, and 3 is next
	} {
		h := newHarness(t, baseConfig(), testServers(4)...)
		for i, s := range h.balancer.servers {
			s.inFlight, s.round.runningWeight = c.inFlight[i], float64(10*(4-i))
		}
		h.balancer.servers[1].errors.consecutive, h.balancer.servers[1].errors.lastAt = 1, h.now-5000
		r := &request{Request: Request{}, class: &h.balancer.config.Classes[idempotentClass]}
		if c.want == 2 {
			if s := h.balancer.pick(r, true); s.ID == 2 {
				t.Errorf("%v: the retry went to the least healthy server", c.inFlight)
			}
			for i, s := range h.balancer.servers {
				s.round.runningWeight = float64(10 * (4 - i))
			}
		}
		if s := h.balancer.pick(r, false); s.ID != c.want {
			t.Errorf("%v: sent to %d, not %d", c.inFlight, s.ID, c.want)
		}
	}
}

// Each sidecar with little traffic uses few servers, all sidecars together use all servers evenly, and a restarted
// sidecar uses the same servers again.
func TestLowTrafficSidecarUsesSmallRotation(t *testing.T) {
	sidecars, servers := 400, 60
	total := map[ServerID]int{}
	used := func(index, seed int) map[ServerID]int {
		cfg := baseConfig()
		cfg.SidecarIndex, cfg.SidecarCount, cfg.Seed = index, sidecars, uint64(seed)
		h := newHarness(t, cfg, testServers(servers)...)
		for _, s := range h.balancer.servers {
			s.rank = h.balancer.ownOrderRank(s)
		}
		h.balancer.sortServers()
		hits := map[ServerID]int{}
		for range 60 {
			h.now += 1000
			id, actions := h.request(idempotentClass)
			s, _ := sentServer(actions)
			hits[s]++
			h.finishAttempt(id, 0, OK, 10)
		}
		return hits
	}
	for n := range sidecars {
		hits := used(n, n)
		if len(hits) != minRotationSize {
			t.Fatalf("sidecar %d uses %d servers", n, len(hits))
		}
		for s, k := range hits {
			total[s] += k
		}
		if n == 0 && !maps.Equal(hits, used(0, 77)) {
			t.Fatal("a restarted sidecar uses other servers")
		}
	}
	for s, k := range total {
		if mean := 60 * sidecars / servers; k < mean/2 || k > 2*mean {
			t.Errorf("server %d got %d of a mean of %d", s, k, mean)
		}
	}
}

// A sidecar uses as many servers as it can visit often. If some of these servers are ejected, it uses other
// servers instead.
func TestRotationGrowsWithTrafficAndWithFailures(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(60)...)
	count := func(gap float64, n int) int {
		hits := map[ServerID]bool{}
		for range n {
			h.now += gap
			id, actions := h.request(idempotentClass)
			s, _ := sentServer(actions)
			hits[s] = true
			h.finishAttempt(id, 0, OK, 10)
		}
		return len(hits)
	}
	if n := count(1000, 30); n != minRotationSize {
		t.Fatalf("%d servers for one request a second", n)
	}
	for _, s := range h.balancer.servers[:2] {
		h.balancer.recordError(s, true)
	}
	if n := count(50, 6); n < minRotationSize {
		t.Fatalf("%d servers when two of the first are ejected", n)
	}
	if n := count(10, 3000); n != 60 {
		t.Fatalf("%d servers of 60 for a hundred requests a second", n)
	}
}
