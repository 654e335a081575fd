package balance

import "testing"

func healthCheckConfig() Config {
	cfg := baseConfig()
	cfg.AllowHealthChecks, cfg.LoadReports, cfg.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{FieldInFlight}
	return cfg
}

// answerHealthChecks answers the health checks in actions: unreachable servers time out, the others report n requests
// in flight.
func (h *harness) answerHealthChecks(actions []Action, n float32, unreachable map[ServerID]bool) []Action {
	var after []Action
	for _, a := range actions {
		if a.Kind != HealthCheck {
			continue
		}
		result := HealthCheckResult{Server: a.Server, LoadReport: []float32{n}}
		if unreachable[a.Server] {
			result = HealthCheckResult{Server: a.Server, Result: TimedOut}
		}
		after = append(after, h.handle(result)...)
	}
	return after
}

// Unreachable servers receive no requests and so stay next in turn. They must not receive a health check
// for every request.
func TestUnreachableServersAreEjectedAndReturn(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), testServers(3)...)
	unreachable := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, actions := h.request(idempotentClass)
		if checked := len(actions) - 1; i > 0 && checked > 1 {
			t.Fatalf("request %d: %d servers checked though two are unreachable", id, checked)
		}
		if s, ok := sentServer(h.answerHealthChecks(actions, 0, unreachable)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now += 10000 // the ejections are over and the servers answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, actions := h.request(idempotentClass)
		s, _ := sentServer(h.answerHealthChecks(actions, 0, nil))
		used[s] = true
		h.finishAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("servers used after 1 and 2 recovered: %v, want both among them", used)
	}
}

// A sidecar with little traffic cannot know from its own requests which servers have queues of other
// sidecars' requests. Without health checks, it would send its request into such a queue.
func TestHealthCheckedQueueIsAvoided(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), testServers(3)...)
	h.balancer.servers[0].round.runningWeight = 1000 // the server is next in turn
	id, actions := h.request(idempotentClass)
	if hasAction(actions, Send) {
		t.Fatal("sent before the health checks were answered")
	}
	h.handle(HealthCheckResult{Server: 1, LoadReport: []float32{5}})
	h.handle(HealthCheckResult{Server: 2, LoadReport: []float32{0}})
	if s, ok := sentServer(h.handle(HealthCheckResult{Server: 3, LoadReport: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the empty server", id, s)
	}
}

func TestRequestWaitsBrieflyForHealthChecks(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), testServers(3)...)
	id, _ := h.request(idempotentClass)
	h.now = h.balancer.requests.open[id].timerAt
	if actions := h.handle(TimerFired{Token: uint64(id)}); !hasAction(actions, Send) || h.now > 1000+0.1*300 {
		t.Fatalf("at %v: %+v", h.now, actions)
	}
}

// Health checks have a cost: a few of them find an idle server at low load, all servers are checked at high load.
func TestHealthChecksFollowBusyFraction(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), testServers(12)...)
	countChecked := func(inFlight float32) int {
		n := 0
		for range 60 {
			h.now += 10
			id, actions := h.request(idempotentClass)
			n = 0
			for _, a := range actions {
				if a.Kind == HealthCheck {
					n++
				}
			}
			h.answerHealthChecks(actions, inFlight, nil)
			h.finishAttempt(id, 0, OK, 10)
		}
		return n
	}
	idle := countChecked(0)
	if busy := countChecked(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers checked when all are idle, %d when all are busy", idle, busy)
	}
}
