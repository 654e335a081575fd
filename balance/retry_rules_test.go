package balance

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// What may follow the end of a first attempt, for each effect, group and result, within the
// window and after it: another send, a refusal, a failure.
func TestWhatMayFollowAnAttempt(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellScopeClass, allScopeClass, zoneScopeClass} {
		for _, res := range []Result{Failed, Overloaded, TimedOut, ConnectFailed, Reset, Cancelled} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, res, late), func(t *testing.T) {
					checkFollowUp(t, class, res, late)
				})
			}
		}
	}
}

func checkFollowUp(t *testing.T, class int, res Result, late bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // a re-route is worth its while to the end
		cfg.Classes[i].IdempotencyWindow = 200
	}
	g := newHarness(t, cfg, testServers(8)...)
	id, acts := g.request(class)
	first, ok := sentServer(acts)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if g.now += 100; late {
		g.now += 200
	}
	acts = g.finishAttempt(id, 0, res, 100)
	c := cfg.Classes[class]
	mayResend := c.Idempotency == Idempotent || res.NeverExecuted() || c.Idempotency == IdempotentWithKey && !late
	second, sent := sentServer(acts)
	if sent != mayResend {
		t.Fatalf("sent again: %v, want %v (%+v)", sent, mayResend, acts)
	}
	if !sent {
		mayRefuse := c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll
		if hasAction(acts, Reject) != mayRefuse || hasAction(acts, Fail) == mayRefuse {
			t.Fatalf("refusal allowed: %v, got %+v", mayRefuse, acts)
		}
		return
	}
	a, b := g.balancer.serversByID[first], g.balancer.serversByID[second]
	dirty := !res.NeverExecuted()
	if a == b || dirty && class == cellScopeClass && a.Cell != b.Cell || dirty && class == zoneScopeClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Server, a.Server)
	}
}

func TestNothingIsRejectedThatMayHaveRun(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	for _, class := range []int{nonIdempotentClass, cellScopeClass, zoneScopeClass} {
		id, _ := g.request(class)
		g.now = g.balancer.requests.open[id].deadline
		acts := g.handle(TimerFired{Token: uint64(id)})
		if hasAction(acts, Reject) || !hasAction(acts, Fail) {
			t.Errorf("class %d at its deadline with an attempt out: %+v", class, acts)
		}
	}
}

func TestExpiredRequestIsAnsweredAtOnce(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	acts := g.handle(Request{ID: 1, Class: nonIdempotentClass, Timeout: 0})
	if !hasAction(acts, Reject) || hasAction(acts, Send) {
		t.Fatalf("a request without time left: %+v", acts)
	}
}

func TestNoServerAvailable(t *testing.T) {
	drained := testServers(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "draining": drained} {
		g := newHarness(t, baseConfig(), servers...)
		id, acts := g.request(nonIdempotentClass)
		if hasAction(acts, Send) || !hasAction(acts, SetTimer) {
			t.Fatalf("%s: %+v", name, acts)
		}
		refused := false
		for g.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
			g.now += 10
			refused = refused || hasAction(g.handle(TimerFired{Token: uint64(id)}), Reject)
		}
		if !refused || len(g.balancer.requests.open) != 0 {
			t.Fatalf("%s: refused %v, %d requests left", name, refused, len(g.balancer.requests.open))
		}
	}
}

func TestDrainingServerReceivesNothingNew(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	gone := testServers(1)[0]
	gone.State = Draining
	g.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{gone}})
	for range 20 {
		id, acts := g.request(idempotentClass)
		if s, _ := sentServer(acts); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	gone.State = Ready
	g.handle(EndpointUpdate{Kind: UpdateFull, Servers: []Server{gone}}) // the other is left out: it has gone
	id, acts := g.request(idempotentClass)
	if s, _ := sentServer(acts); s != 1 {
		t.Fatalf("sent to %d of request %d", s, id)
	}
}

func TestAttemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	g := newHarness(t, cfg, testServers(4)...)
	id, _ := g.request(idempotentClass)
	if acts := g.finishAttempt(id, 0, Overloaded, 1); hasAction(acts, Send) || !hasAction(acts, Reject) {
		t.Fatalf("after the only attempt allowed: %+v", acts)
	}
}

// In overload an alarm came a rounding error before its time and was not set again, so that the
// request got no answer at its deadline.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	id, _ := g.request(nonIdempotentClass)
	g.now = g.balancer.requests.open[id].timerAt - 1e-4
	if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, SetTimer) {
		t.Fatalf("no timer after an early alarm: %+v", acts)
	}
}

// A cold server was pushed over when the budget followed what clients asked, repeats included.
func TestSlowStartBudgetHoldsForAllSidecars(t *testing.T) {
	const sidecars, perSecond, seconds = 4, 150, 6
	cfg := baseConfig()
	toCold := 0
	for n := range sidecars {
		cfg.Seed, cfg.SidecarIndex = uint64(n+1), n
		servers := testServers(5)
		g := newHarness(t, cfg, servers...)
		for i := range perSecond * seconds {
			if i == perSecond*3 { // half-way one server restarts
				servers[0].StartedAt = g.now
				g.handle(EndpointUpdate{Kind: UpdateDelta, Servers: servers[:1]})
			}
			id, acts := g.request(idempotentClass)
			s, ok := sentServer(acts)
			if !ok {
				t.Fatal("nothing sent")
			}
			if s == 1 && i >= perSecond*3 && i < perSecond*4 {
				toCold++
			}
			g.finishAttempt(id, 0, OK, 10)
			g.now += 1000 / perSecond
		}
	}
	// A warm server gets a fifth of the traffic; the cold one can do SlowStartMinCapacity of that and a little
	// more as it warms, and falls at OverloadMultiple times what it can do.
	limit := float64(sidecars*perSecond) / 5 * cfg.OverloadMultiple * (cfg.SlowStartMinCapacity + 0.05)
	if toCold == 0 || float64(toCold) > limit {
		t.Fatalf("%d sends to a cold server in its first second, want 1 to %.0f", toCold, limit)
	}
}

// A server that could not be reached and then answers has restarted, whatever the list says.
func TestServerThatReturnsIsInSlowStart(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	const s = ServerID(1)
	for range 20 { // it is out of reach for some time
		g.now += 5000
		id, acts := g.request(idempotentClass)
		to, _ := sentServer(acts)
		if to == s {
			g.finishAttempt(id, 0, ConnectFailed, 150)
			g.finishAttempt(id, 1, OK, 10)
			continue
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	g.now += 60000
	for range 8 {
		id, acts := g.request(idempotentClass)
		if again, _ := sentServer(acts); again == s {
			g.finishAttempt(id, 0, OK, 10)
			break
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	if !g.balancer.inSlowStart(g.balancer.serversByID[s]) {
		t.Fatal("the server is held to be warm")
	}
}

// Once a streamed answer has begun the client owns it: no deadline, no repeat, no answer of ours.
func TestStartedStreamIsNotInterrupted(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Streaming = true
	g := newHarness(t, cfg, testServers(3)...)
	id, acts := g.request(idempotentClass)
	s, _ := sentServer(acts)
	g.handle(StreamStarted{Request: id, Server: s, Elapsed: 20})
	g.now += 5000
	if acts := g.handle(TimerFired{Token: uint64(id)}); hasAction(acts, Fail) || hasAction(acts, Reject) || hasAction(acts, Send) {
		t.Fatalf("a running stream got %+v", acts)
	}
	g.handle(Outcome{Request: id, Server: s, Result: Reset, Elapsed: 5000, RequestDone: true})
	if len(g.balancer.requests.open) != 0 {
		t.Fatal("an ended stream is remembered")
	}
}

// Failed list calls keep the old list and are made again, ever later, within the limit.
func TestDiscoveryPollsBackOff(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	g := newHarness(t, cfg, testServers(3)...)
	if len(g.actions) != 1 || g.actions[0].Token != discoveryTimer || g.actions[0].At > pollPause*float64(cfg.SidecarCount) {
		t.Fatalf("at the start: %+v", g.actions)
	}
	if !hasAction(g.handle(TimerFired{Token: discoveryTimer}), WatchEndpoints) {
		t.Fatal("not subscribed soon")
	}
	var pauses []float64
	for range 6 {
		acts := g.handle(EndpointUpdate{Kind: UpdateFailed})
		if len(acts) != 1 || acts[0].Token != discoveryTimer || acts[0].At > cfg.PollInterval {
			t.Fatalf("after a failed call: %+v", acts)
		}
		pauses = append(pauses, acts[0].At)
		g.now += acts[0].At
		if !hasAction(g.handle(TimerFired{Token: discoveryTimer}), WatchEndpoints) {
			t.Fatal("not asked again")
		}
	}
	if pauses[5] < 2*pauses[0] || len(g.balancer.servers) != 3 {
		t.Fatalf("pauses %v, %d servers", pauses, len(g.balancer.servers))
	}
}

// What discovery has counts as told 6 s after it can be reached. A call that did not wait in turn is made again within
// 3 s, whatever the fleet's size and however many failed before, and so is the first one. Many sidecars do not come
// back in step; few of them come as soon after a call that did wait.
func TestDiscoveryPollsResumeInTime(t *testing.T) {
	for _, peers := range []int{1, 5, 30, 31, 80, 1000} {
		for _, unqueued := range []bool{true, false} {
			worst, lows := 0.0, 0
			for seed := range uint64(50) {
				cfg := baseConfig()
				cfg.Subscribe, cfg.SidecarCount, cfg.Seed = true, peers, splitmix64(seed+1)
				g := newHarness(t, cfg, testServers(3)...)
				if g.actions[0].At > promptPollPause {
					t.Errorf("%d peers: the first call after %v ms", peers, g.actions[0].At)
				}
				for range 8 {
					g.handle(TimerFired{Token: discoveryTimer})
					pause := g.handle(EndpointUpdate{Kind: UpdateFailed, DiscoveryUnreachable: unqueued})[0].At
					if worst = max(worst, pause); pause < promptPollPause/3 {
						lows++
					}
				}
			}
			if late := worst > promptPollPause; late != (peers > 30 && !unqueued) {
				t.Errorf("%d peers, unqueued %v: a pause of %v ms", peers, unqueued, worst)
			}
			if unqueued && peers > 30 && (lows < 50*8/5 || worst < promptPollPause*0.9) {
				t.Errorf("%d peers: %d of 400 pauses in the first third, the longest %v ms", peers, lows, worst)
			}
		}
	}
}

// Answers assumed for small sidecars counted in the budget of cold servers too, and together
// they pushed one over. A sidecar that has seen no answers may hardly send anything to a cold server.
func TestAssumedAnswersGiveNoSlowStartBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	entry := g.balancer.servers[0].Server
	entry.StartedAt = g.now
	g.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{entry}})
	g.now += 2000
	g.request(idempotentClass) // sets the weights
	s := g.balancer.servers[0]
	s.slowStart.tokens, s.slowStart.tokensAt = 0, g.now-2000
	if g.balancer.hasSlowStartBudget(s); s.slowStart.tokens > 0.2 { // with ten assumed: 1
		t.Fatalf("%.2f sends in two seconds", s.slowStart.tokens)
	}
	for range 400 { // of two hundred answers a second it may have its part
		g.balancer.admission.answers.add(g.now, answerRateSpan*g.balancer.longestObjective)
	}
	s.slowStart.tokens, s.slowStart.tokensAt = 0, g.now-2000
	if g.balancer.hasSlowStartBudget(s); s.slowStart.tokens < 0.5 {
		t.Fatalf("%.2f sends in two seconds for a busy sidecar", s.slowStart.tokens)
	}
}

// After a crash two failed connects refused a request although attempts and time were left; what may have
// run is re-routed once at most.
func TestUnexecutedAttemptsDoNotCountAsRetries(t *testing.T) {
	for res, sends := range map[Result]int{ConnectFailed: 4, Overloaded: 4, Failed: 2} {
		g := newHarness(t, baseConfig(), testServers(8)...)
		id, _ := g.request(idempotentClass)
		n := 1
		for ; hasAction(g.finishAttempt(id, n-1, res, 1), Send); n++ {
		}
		if n != sends {
			t.Errorf("result %v: %d attempts, want %d of at most %d", res, n, sends, baseConfig().MaxAttempts)
		}
	}
}

// Crowded servers turn slow and stay so until they have been idle for a while: a reported wait beyond the
// aim rests a server.
func TestReportedQueueEjectsAServer(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldErrorRate, FieldLatency, FieldQueueLength}
	for queue, rests := range map[float32]bool{2: false, 8: true} {
		g := newHarness(t, cfg, testServers(3)...)
		id, acts := g.request(idempotentClass)
		s, _ := sentServer(acts)
		g.now += 200
		g.handle(Outcome{Request: id, Server: s, Elapsed: 200, RequestDone: true, LoadReport: []float32{0, 50, queue}})
		if got := g.balancer.isEjected(g.balancer.serversByID[s]); got != rests {
			t.Errorf("%v waiting for 50 ms each, aim 300 ms: resting %v", queue, got)
		}
	}
}

// A busy sidecar rested a crowded server for a whole aim on one report, and crowded the others: the rest is
// one turn of the rotation.
func TestReportedQueueEjectsForOneRotation(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldLatency, FieldQueueLength}
	g := newHarness(t, cfg, testServers(3)...)
	for range 400 { // a hundred requests a second
		g.now += 10
		id, acts := g.request(idempotentClass)
		to, _ := sentServer(acts)
		g.handle(Outcome{Request: id, Server: to, Elapsed: 5, RequestDone: true, LoadReport: []float32{50, 0}})
	}
	id, acts := g.request(idempotentClass)
	to, _ := sentServer(acts)
	s := g.balancer.serversByID[to]
	g.handle(Outcome{Request: id, Server: to, Elapsed: 5, RequestDone: true, LoadReport: []float32{50, 40}})
	if rest := s.ejection.until - g.now; rest < 10 || rest > 60 {
		t.Fatalf("rests for %.0f ms, a turn over three servers takes 30", rest)
	}
}

// Many sidecars that know only themselves must not push a cold server over: in any window of the stated length
// all of them together send it less than the stated multiple of what it can do at that moment, with a little
// slack for chance. What it got while warm is taken to be its capacity: the least that this can be.
func TestManySidecarsKeepSlowStartBudget(t *testing.T) {
	for _, c := range []struct{ sidecars, servers int }{{3, 6}, {200, 20}, {600, 60}} {
		cfg := baseConfig()
		rnd := rand.New(rand.NewSource(5))
		rigs := make([]*harness, c.sidecars)
		for i := range rigs {
			cfg.SidecarIndex, cfg.SidecarCount, cfg.Seed = i, c.sidecars, uint64(i)
			rigs[i] = newHarness(t, cfg, testServers(c.servers)...)
			for _, s := range rigs[i].balancer.servers {
				s.rank = rigs[i].balancer.ownOrderRank(s)
			}
			rigs[i].balancer.dropRemoved()
		}
		const warm, end, perServer = 11000.0, 16000.0, 20.0 // perServer: requests a second
		gap := 1000 / perServer / float64(c.servers)
		var cold []float64
		before := 0.0
		restarted := testServers(1)[0]
		restarted.StartedAt = warm
		for now := 1000.0; now < end; now += gap {
			g := rigs[rnd.Intn(len(rigs))]
			g.now = now
			g.actions = g.actions[:0]
			if s := g.balancer.serversByID[1]; now >= warm && s.StartedAt != warm {
				g.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{restarted}})
			}
			id, acts := g.request(idempotentClass)
			to, ok := sentServer(acts)
			if !ok {
				continue
			}
			if to == 1 && now >= warm {
				cold = append(cold, now)
			} else if to == 1 {
				before += 1000 / (warm - 1000)
			}
			g.finishAttempt(id, 0, OK, 5)
		}
		for i, from := range cold {
			n := 0
			for n < len(cold)-i && cold[i+n] < from+cfg.OverloadDuration {
				n++
			}
			capacity := before * (cfg.SlowStartMinCapacity + (1-cfg.SlowStartMinCapacity)*(from-warm)/cfg.SlowStartDuration)
			if limit := cfg.OverloadMultiple * capacity * cfg.OverloadDuration / 1000; float64(n) > limit+math.Sqrt(limit) {
				t.Fatalf("%d sidecars, %d servers: %d sends in a window, %.1f allowed", c.sidecars, c.servers, n, limit)
			}
		}
		if len(cold) == 0 {
			t.Errorf("%d sidecars, %d servers: the cold server gets nothing", c.sidecars, c.servers)
		}
	}
}

// A repeat decided just before its key is forgotten came to a server after that, as it had to connect first.
func TestRetryLeavesTimeToConnect(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnectTimeout = 100
	for wait, want := range map[float64]bool{1000: true, 1150: false} { // of a window of 1200
		g := newHarness(t, cfg, testServers(4)...)
		id, _ := g.request(cellScopeClass)
		g.now += wait
		acts := g.finishAttempt(id, 0, Reset, wait)
		if _, sent := sentServer(acts); sent != want {
			t.Errorf("after %v ms: sent again is %v", wait, sent)
		}
	}
}
