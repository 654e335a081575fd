package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func healthCheckConfig() Config {
	cfg := baseConfig()
	cfg.AllowHealthChecks, cfg.LoadReports, cfg.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{FieldInFlight}
	return cfg
}

// answerHealthChecks answers the probes of acts: servers in dark give no answer, the others hold n requests.
func (g *harness) answerHealthChecks(acts []Action, n float32, dark map[ServerID]bool) []Action {
	var after []Action
	for _, a := range acts {
		if a.Kind != HealthCheck {
			continue
		}
		res := HealthCheckResult{Server: a.Server, LoadReport: []float32{n}}
		if dark[a.Server] {
			res = HealthCheckResult{Server: a.Server, Result: TimedOut}
		}
		after = append(after, g.handle(res)...)
	}
	return after
}

// Links were cut and most probes lost, and the servers next in turn, which nobody could use,
// were probed again for every request.
func TestUnreachableServersAreEjectedAndReturn(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), testServers(3)...)
	dark := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, acts := g.request(idempotentClass)
		if asked := len(acts) - 1; i > 0 && asked > 1 {
			t.Fatalf("request %d: %d servers probed though two are out of reach", id, asked)
		}
		if s, ok := sentServer(g.answerHealthChecks(acts, 0, dark)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	g.now += 10000 // their rest is over and they answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, acts := g.request(idempotentClass)
		s, _ := sentServer(g.answerHealthChecks(acts, 0, nil))
		used[s] = true
		g.finishAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after they came back", used)
	}
}

// A sidecar with little traffic cannot know from its own requests what others fill.
func TestHealthCheckedQueueIsAvoided(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), testServers(3)...)
	g.balancer.servers[0].round.runningWeight = 1000 // its turn
	id, acts := g.request(idempotentClass)
	if hasAction(acts, Send) {
		t.Fatal("sent before the probes were answered")
	}
	g.handle(HealthCheckResult{Server: 1, LoadReport: []float32{5}})
	g.handle(HealthCheckResult{Server: 2, LoadReport: []float32{0}})
	if s, ok := sentServer(g.handle(HealthCheckResult{Server: 3, LoadReport: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the empty server", id, s)
	}
}

func TestRequestWaitsBrieflyForHealthChecks(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), testServers(3)...)
	id, _ := g.request(idempotentClass)
	g.now = g.balancer.requests.open[id].timerAt
	if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, Send) || g.now > 1000+0.1*300 {
		t.Fatalf("at %v: %+v", g.now, acts)
	}
}

// A hung server is passed over at once, for what it holds, and rested after several strikes;
// what is stuck there must not look like overload of the whole fleet.
func TestHungServerIsNotOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(6)...)
	hung := 0
	for range 900 {
		g.now += 5
		for _, a := range g.dueTimers() {
			g.handle(a)
		}
		id, acts := g.request(idempotentClass)
		s, ok := sentServer(acts)
		if !ok {
			t.Fatalf("request %d was refused: shed %v", id, g.balancer.admission.sustainedShed)
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

// dueTimers returns the timers of open requests that have come.
func (g *harness) dueTimers() []TimerFired {
	var list []TimerFired
	for id := RequestID(1); id <= g.lastID; id++ {
		if r := g.balancer.requests.open[id]; r != nil && r.timerAt <= g.now && !r.finished {
			list = append(list, TimerFired{Token: uint64(id)})
		}
	}
	return list
}

// In overload every queue filled and all answers came late. What cannot be answered in time is
// refused before it is sent, least worth first.
func TestOverloadShedsLowestPriorityFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	refused := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		g.now += 2
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, acts := g.request(class)
		if hasAction(acts, Reject) {
			refused[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // answers take 300 ms and more
			g.finishAttempt(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if refused[idempotentClass] < 100 || refused[nonIdempotentClass] >= refused[idempotentClass] {
		t.Fatalf("refused %d of low worth and %d of high worth", refused[idempotentClass], refused[nonIdempotentClass])
	}
}

// In a congested fleet all answers are late, and that is no server's fault: once the class is
// known to take long, an attempt of 430 ms with an aim of 300 is no error.
func TestLateAnswerInCongestedFleetIsNoError(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	times := []float64{370, 430, 400}
	for i := range 60 {
		id, acts := g.request(nonIdempotentClass)
		if !hasAction(acts, Send) {
			continue
		}
		end := g.now + times[i%3]
		for r := g.balancer.requests.open[id]; !r.finished && r.timerAt < end; {
			g.now = r.timerAt
			g.handle(TimerFired{Token: uint64(id)})
		}
		g.now = end
		if i > 30 && g.balancer.requests.open[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms is held to be overdue after %v", i, times[i%3], g.balancer.overdueAfter(g.balancer.requests.open[id]))
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

// What hangs is its server's trouble and must not shed load for seconds: it counts for one aim.
func TestHungAttemptIsLoadForOneObjective(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	id, _ := g.request(idempotentClass)
	g.request(idempotentClass)
	if want := 2.0 / 300; g.balancer.admission.load.current != want {
		t.Fatalf("load %v of two requests, want %v", g.balancer.admission.load.current, want)
	}
	g.now += 300
	g.handle(TimerFired{Token: uint64(id)})
	g.finishAttempt(id, 0, OK, 300)
	if want := 1.0 / 300; math.Abs(g.balancer.admission.load.current-want) > 1e-12 {
		t.Fatalf("load %v when one has taken its aim and ended, want %v", g.balancer.admission.load.current, want)
	}
}

// After a crash a sidecar of two requests a second took eight seconds to shed, and what was left choked.
func TestSmallSidecarShedsWithinSeconds(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	for range 6 {
		g.setLoad(g.balancer.admission.sustainedShed, 0.8)
		g.now += 500
		g.balancer.admission.load.updatedAt = g.now
		g.request(idempotentClass)
	}
	if g.balancer.admission.sustainedShed < 0.5 {
		t.Fatalf("%.2f is shed after three seconds of overload", g.balancer.admission.sustainedShed)
	}
}

// A handful of requests that meet by chance is no overload.
func TestFewConcurrentRequestsAreNotShed(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	for range 40 {
		g.now += 2000
		var open []RequestID
		for range 4 {
			id, acts := g.request(idempotentClass)
			if hasAction(acts, Reject) {
				t.Fatalf("request %d was refused", id)
			}
			open = append(open, id)
		}
		g.now += 60
		for _, id := range open {
			g.finishAttempt(id, 0, OK, 60)
		}
	}
}

// setLoad sets the lasting part to shed and fills the fleet so that answers take the given part of the
// aim longer than they may.
func (g *harness) setLoad(lasting, over float64) {
	full := g.balancer.admission.minLatencyRatio + queueingAllowance*(1-g.balancer.admission.minLatencyRatio)
	if g.balancer.admission.sustainedShed = lasting; lasting > 0 {
		g.balancer.admission.sustainedShed += shedDeadband
	}
	rate := g.balancer.answerRate(assumedAnswers)
	assumed := g.balancer.admission.minLatencyRatio * (1 - g.balancer.answerRate(0)/rate)
	g.balancer.admission.load.current, g.balancer.admission.load.updatedAt = (full+over-assumed)*rate, g.now
	g.balancer.admission.load.mean = g.balancer.admission.load.current
}

// measureShedding brings 4000 requests, drawn from turns of (class, tenant), of which 0.4 of the work is to be shed,
// and returns the part refused of each class and of each tenant.
func measureShedding(t *testing.T, cfg Config, turns ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	g := newHarness(t, cfg, testServers(4)...)
	g.balancer.admission.firstRequestAt = 1 // its start is long over
	var asked [2][5]float64
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		turn := turns[draw.IntN(len(turns))]
		g.now++
		g.setLoad(0.4, 0)
		asked[0][turn[0]]++
		asked[1][turn[1]]++
		id := RequestID(i + 1)
		acts := g.handle(Request{ID: id, Class: turn[0], Tenant: turn[1], Timeout: cfg.Classes[turn[0]].Deadline})
		if hasAction(acts, Reject) {
			byClass[turn[0]]++
			byTenant[turn[1]]++
		} else {
			g.finishAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, asked[0][i])
		byTenant[i] /= max(1, asked[1][i])
	}
	return byClass, byTenant
}

// Busy sidecars let queues grow for seconds before enough was shed, and crowded servers
// stayed slow. What is shed follows the load at once, between nothing and twice the lasting part; a
// sidecar that has not shed lately refuses nothing, as its few requests may crowd by chance.
func TestSheddingFollowsLoadAtOnce(t *testing.T) {
	for _, c := range []struct {
		lasting, over float64 // over: of the aim, beyond what answers may take
		least, most   float64 // part refused
	}{{0, 0.5, 0, 0.05}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		g := newHarness(t, baseConfig(), testServers(4)...)
		for range 100 {
			id, _ := g.request(idempotentClass)
			g.now += 5
			g.finishAttempt(id, 0, OK, 50)
		}
		refused := 0.0
		for range 200 {
			g.setLoad(c.lasting, c.over)
			if _, acts := g.request(idempotentClass); hasAction(acts, Reject) {
				refused++
			}
		}
		if refused /= 200; refused < c.least || refused > c.most {
			t.Errorf("%+v: %.2f were refused", c, refused)
		}
	}
}

// Of two tenants with equal shares the one that asks three times as much loses what is beyond its
// share; when both ask for the same they lose the same.
func TestTenantsOverQuotaAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}}
	_, refused := measureShedding(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if refused[0] < 0.4 || refused[1] > 0.1 {
		t.Fatalf("refused %.2f of the tenant with much traffic, %.2f of the other", refused[0], refused[1])
	}
	_, refused = measureShedding(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// The class of least worth was refused wholly although the worst-served class weighs much
// in the goal. Then the classes come near each other; without such a weight the least goes first.
func TestWorstClassObjectiveKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	turns := [][2]int{{idempotentClass, 0}, {nonIdempotentClass, 0}}
	cfg.Objective = Objective{Overall: 1}
	if refused, _ := measureShedding(t, cfg, turns...); refused[idempotentClass] < 0.7 || refused[nonIdempotentClass] > 0.1 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[idempotentClass], refused[nonIdempotentClass])
	}
	cfg.Objective = Objective{Overall: 0.3, WorstClass: 0.7}
	if refused, _ := measureShedding(t, cfg, turns...); refused[idempotentClass] > 0.5 || refused[nonIdempotentClass] < 0.3 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[idempotentClass], refused[nonIdempotentClass])
	}
}

// A tenant beyond its share is not starved where the worst-served tenant weighs in the goal.
func TestWorstTenantObjectiveKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.8}, {Quota: 0.2}}
	turns := [][2]int{{0, 0}, {0, 1}}
	cfg.Objective = Objective{Overall: 1}
	if _, refused := measureShedding(t, cfg, turns...); refused[0] > 0.1 || refused[1] < 0.7 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
	cfg.Objective = Objective{Overall: 0.3, WorstTenant: 0.7}
	if _, refused := measureShedding(t, cfg, turns...); math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// A restarted server starts afresh: nothing of its rests, nor that it was dark, is left.
func TestRestartClearsFaults(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	s := g.balancer.servers[0]
	g.handle(HealthCheckResult{Server: s.ID, Result: TimedOut})
	if !s.errors.healthCheckFailed || !g.balancer.isEjected(s) {
		t.Fatal("a probe without answer does not rest the server")
	}
	entry := s.Server
	entry.StartedAt = g.now
	g.handle(EndpointUpdate{Kind: UpdateDelta, Servers: []Server{entry}})
	if s.errors.healthCheckFailed || s.ejection.count != 0 || g.balancer.isEjected(s) {
		t.Fatalf("after the restart: dark %v, rests %d", s.errors.healthCheckFailed, s.ejection.count)
	}
}

// Twice as fast a server is found to be larger, and its kind with it.
func TestCapacityIsLearned(t *testing.T) {
	servers := testServers(4)
	servers[2].Kind, servers[3].Kind = 1, 1
	g := newHarness(t, baseConfig(), servers...)
	hits := map[ServerID]int{}
	for range 1500 {
		id, acts := g.request(idempotentClass)
		s, _ := sentServer(acts)
		hits[s]++
		g.now += 5
		g.finishAttempt(id, 0, OK, map[bool]float64{true: 20, false: 40}[s > 2])
	}
	if hits[3]+hits[4] < 3*(hits[1]+hits[2])/2 {
		t.Fatalf("hits %v", hits)
	}
	if g.balancer.capacity.byKind[1] <= g.balancer.capacity.byKind[0] {
		t.Fatalf("kinds %v", g.balancer.capacity.byKind)
	}
}

// A server that leaves several attempts unanswered is rested, and used again after an answer.
func TestConsecutiveErrorsEjectAServer(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	sendSequence(g, 20) // servers that are met often
	s := g.balancer.servers[0]
	for range errorsBeforeEjection - 1 {
		g.balancer.recordError(s, false)
	}
	if g.balancer.isEjected(s) {
		t.Fatal("rested before the last strike")
	}
	g.balancer.recordError(s, false)
	if !g.balancer.isEjected(s) {
		t.Fatal("not rested after the last strike")
	}
	for range 12 {
		id, acts := g.request(idempotentClass)
		if to, _ := sentServer(acts); to == s.ID {
			t.Fatal("a resting server got a request")
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	g.now = s.ejection.until
	for range 12 {
		id, acts := g.request(idempotentClass)
		to, _ := sentServer(acts)
		if g.finishAttempt(id, 0, OK, 10); to == s.ID && s.ejection.until == 0 && s.errors.consecutive == 0 {
			return
		}
	}
	t.Fatal("the server was not tried after its rest")
}

// When all servers rest the cause is hardly theirs.
func TestAllEjectedServersAreUsed(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(3)...)
	for _, s := range g.balancer.servers {
		g.balancer.recordError(s, true)
	}
	if _, acts := g.request(idempotentClass); !hasAction(acts, Send) {
		t.Fatalf("nothing was sent: %+v", acts)
	}
}

// Probes cost: in quiet hours a few find an idle server, in busy ones all are asked.
func TestHealthChecksFollowBusyFraction(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), testServers(12)...)
	asked := func(holds float32) int {
		n := 0
		for range 60 {
			g.now += 10
			id, acts := g.request(idempotentClass)
			n = 0
			for _, a := range acts {
				if a.Kind == HealthCheck {
					n++
				}
			}
			g.answerHealthChecks(acts, holds, nil)
			g.finishAttempt(id, 0, OK, 10)
		}
		return n
	}
	idle := asked(0)
	if busy := asked(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers probed when all are idle, %d when all are busy", idle, busy)
	}
}

// Where crossing zones has a price, the own zone gets more, and others still take their part.
func TestOwnZoneIsPreferredWhenCrossingCosts(t *testing.T) {
	for price, least := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Costs.CrossZone, cfg.Zone = price, 1
		g := newHarness(t, cfg, testServers(8)...)
		own := 0
		for _, s := range sendSequence(g, 40) {
			if s > 4 {
				own++
			}
		}
		if own < least || own > 38 || price == 0 && own > 20 {
			t.Errorf("price %v: %d of 40 in the own zone", price, own)
		}
	}
}

// Traffic grew sevenfold within seconds on an enlarged fleet; answers stayed fast, but the attempts
// in flight were set against the rate of answers of some time before, and half was refused.
func TestFastGrowthIsNotOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	var open []RequestID
	refused := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold in some nine seconds
		g.now += gap
		id, acts := g.request(idempotentClass)
		if hasAction(acts, Reject) {
			refused++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && g.balancer.requests.open[open[0]].arrivedAt <= g.now-80 { // each answer takes about 80 ms
			g.finishAttempt(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if refused > 0 {
		t.Fatalf("%d requests were refused", refused)
	}
}

// A restarted sidecar with few requests used slow servers as much as fast ones for a minute.
func TestCapacityIsLearnedFastAtFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(2)...)
	fast, slow := g.balancer.servers[0], g.balancer.servers[1]
	for range 20 {
		g.balancer.learnCapacity(fast, 0.5)
		g.balancer.learnCapacity(slow, 1.5)
	}
	early := fast.logCapacity - slow.logCapacity
	for range 2000 { // much later, of two servers alike, one turns fast
		g.balancer.learnCapacity(fast, 1)
		g.balancer.learnCapacity(slow, 1)
	}
	before := fast.logCapacity - slow.logCapacity
	for range 20 {
		g.balancer.learnCapacity(fast, 0.5)
		g.balancer.learnCapacity(slow, 1.5)
	}
	if late := fast.logCapacity - slow.logCapacity - before; early < 3*late || late <= 0 {
		t.Fatalf("learned %.3f at first and %.3f later", early, late)
	}
}

// In full queues everything served was late. While load is shed an unsafe request is given up at its aim,
// which is no error of the server's; others are not, as their clients would try again.
func TestNonIdempotentAttemptsEndAtObjectiveWhileShedding(t *testing.T) {
	for class, cuts := range map[int]bool{nonIdempotentClass: true, idempotentClass: false, cellScopeClass: false} {
		for _, lasting := range []float64{0, 0.2} {
			g := newHarness(t, baseConfig(), testServers(4)...)
			g.balancer.admission.sustainedShed = lasting
			if lasting > 0 {
				g.balancer.admission.sustainedShed += shedDeadband
			}
			id, acts := g.request(class)
			s, ok := sentServer(acts)
			for n := 0; !ok && n < 50; n++ {
				id, acts = g.request(class)
				s, ok = sentServer(acts)
			}
			want := 0.0
			if cuts && lasting > 0 {
				want = g.now + g.balancer.config.Classes[class].LatencyObjective
			}
			for _, a := range acts {
				if a.Kind == Send && a.At != want {
					t.Errorf("class %d, %v shed: given up at %v, want %v", class, lasting, a.At, want)
				}
			}
			if want > 0 {
				g.now += 200
				if g.finishAttempt(id, 0, TimedOut, 200); g.balancer.serversByID[s].errors.consecutive != 0 {
					t.Error("an attempt that was cut is held against its server")
				}
			}
		}
	}
}

// Half of the first second after each restart was shed: traffic is there at once, its answers are not.
func TestStartIsNotOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(12)...)
	type sent struct {
		id RequestID
		at float64
	}
	var open []sent
	for range 900 {
		g.now += 3
		for len(open) > 0 && open[0].at <= g.now-130 {
			g.finishAttempt(open[0].id, 0, OK, 130)
			open = open[1:]
		}
		id, acts := g.request(idempotentClass)
		if hasAction(acts, Reject) {
			t.Fatalf("request %d was refused, %v ms after the first", id, g.now-g.balancer.admission.firstRequestAt)
		}
		open = append(open, sent{id, g.now})
	}
}

// Servers change, and with them how quick they can be: load was shed for ever by what once had been.
func TestMinLatencyDecays(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	answers := func(took, span float64) {
		for end := g.now + span; g.now < end; {
			id, _ := g.request(idempotentClass)
			g.now += took
			g.finishAttempt(id, 0, OK, took)
		}
	}
	answers(15, 9000)
	if g.balancer.admission.minLatencyRatio > 0.06 {
		t.Fatalf("the quickest is %v", g.balancer.admission.minLatencyRatio)
	}
	answers(75, 3*minLatencyDecay)
	if g.balancer.admission.minLatencyRatio < 0.24 {
		t.Errorf("the quickest is still %v", g.balancer.admission.minLatencyRatio)
	}
}

// Where one class is shed, the answers of the others may take a larger part of their aim. That was taken for
// more overload, and still more of the class was shed.
func TestMinLatencyFollowsTheMixOfClasses(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	answers := func(n int, classes ...int) {
		for i := range n {
			class := classes[i%len(classes)]
			took := 30.0 // a tenth of the aim
			if class == allScopeClass {
				took = 120 // three tenths
			}
			id, _ := g.request(class)
			g.now += took
			g.finishAttempt(id, 0, OK, took)
		}
	}
	answers(800, idempotentClass, idempotentClass, idempotentClass, allScopeClass)
	mixed := g.balancer.admission.minLatencyRatio
	answers(400, allScopeClass)
	if alone := g.balancer.admission.minLatencyRatio; math.Abs(mixed-0.15) > 0.03 || math.Abs(alone-0.3) > 0.03 {
		t.Errorf("mixed %v, want 0.15; alone %v, want 0.3", mixed, alone)
	}
}

// On days when connections broke, servers that were well were held to be small and rested after one failed
// connect, and to be cold after the next answer: half the fleet stood idle.
func TestBrokenConnectionsDoNotLowerCapacity(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	sends := 0
	for range 400 {
		g.now += 20
		id, acts := g.request(idempotentClass)
		s, _ := sentServer(acts)
		g.now += 30
		if s == 1 {
			sends++
		}
		if s == 1 && sends%2 == 0 {
			g.finishAttempt(id, 0, []Result{ConnectFailed, Reset}[sends/2%2], 30)
			if b := g.balancer; b.serversByID[1].errors.consecutive == 1 && b.isEjected(b.serversByID[1]) {
				t.Fatal("one error rests the server")
			}
			g.finishAttempt(id, 1, OK, 30)
			continue
		}
		g.finishAttempt(id, 0, OK, 30)
	}
	if s := g.balancer.serversByID[1]; g.balancer.inSlowStart(s) || s.logCapacity < -0.2 {
		t.Errorf("cold is %v, size %v", g.balancer.inSlowStart(s), s.logCapacity)
	}
}

// While load is shed answers stay quick everywhere, and slow servers stood idle beside fast ones that were full.
func TestIdleServersGainCapacity(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldUtilization}
	g := newHarness(t, cfg, testServers(2)...)
	sent := map[ServerID]int{}
	for i := range 4000 {
		g.now += 5
		id, acts := g.request(idempotentClass)
		s, _ := sentServer(acts)
		took, util := 40.0, float32(1)
		if s == 1 {
			took, util = 56, 0.3
		}
		g.handle(Outcome{Request: id, Server: s, Result: OK, Elapsed: took, RequestDone: true, LoadReport: []float32{util}})
		if i >= 3000 {
			sent[s]++
		}
	}
	if sent[1] < sent[2] {
		t.Errorf("the idle server gets %d, the full one %d", sent[1], sent[2])
	}
}

// Who is turned away is told when to come back: later while much is shed, not all at one time, and never later
// than clients obey. Where clients are told nothing there is no advice.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	advice := func(cfg Config, steady float64) []float64 {
		var all []float64
		g := newHarness(t, cfg) // no server: all is refused
		for range 50 {
			g.balancer.admission.sustainedShed = steady
			id, _ := g.request(idempotentClass)
			g.now += cfg.Classes[idempotentClass].LatencyObjective
			for _, a := range g.handle(TimerFired{Token: uint64(id)}) {
				if a.Kind == Reject {
					all = append(all, a.At)
				}
			}
		}
		if len(all) != 50 {
			t.Fatalf("%d of 50 were refused", len(all))
		}
		slices.Sort(all)
		return all
	}
	cfg := baseConfig()
	calm, crowded := advice(cfg, 0), advice(cfg, maxShedFraction)
	if calm[0] <= 0 || crowded[25] < 2*calm[25] {
		t.Errorf("the advice is %v while nothing is shed, %v while most is", calm, crowded)
	}
	if crowded[49] > cfg.MaxRetryAfter || calm[49] < 1.5*calm[0] {
		t.Errorf("the advice is %v and %v, at most %v can be told", calm, crowded, cfg.MaxRetryAfter)
	}
	cfg.SendRetryAfter = false
	if none := advice(cfg, maxShedFraction); none[49] != 0 {
		t.Errorf("clients that take no advice got %v", none)
	}
}

// Where all servers are full, repeats stay a part of first sends, and all else is refused at once. Without a budget
// each request was sent as often as is allowed: at twice the load the fleet could bear 5.9 times for each request.
func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(10)...)
	first, repeats := 0, 0
	for range 2000 {
		g.now += 5
		id, acts := g.request(idempotentClass)
		for n := 0; len(acts) > 0; n++ {
			if _, sent := sentServer(acts); !sent {
				break
			}
			if n == 0 {
				first++
			} else {
				repeats++
			}
			acts = g.finishAttempt(id, n, Overloaded, 1)
		}
		if g.balancer.requests.open[id] != nil {
			t.Fatal("a request waits though all servers are full and its budget is spent")
		}
	}
	if most := retryBudgetMax + retryBudgetRatio*float64(first); float64(repeats) > most || repeats < first/10 {
		t.Errorf("%d repeats of %d first sends, at most %.0f", repeats, first, most)
	}
}
