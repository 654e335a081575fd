package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// In an overloaded fleet every queue fills and all answers are late. Requests that cannot be answered in time must be
// rejected before they are sent, the lowest priority first.
func TestOverloadShedsLowestPriorityFirst(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	rejected := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		h.now += 2
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, actions := h.request(class)
		if hasAction(actions, Reject) {
			rejected[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // answers take 300 ms and more
			h.finishAttempt(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if rejected[idempotentClass] < 100 || rejected[nonIdempotentClass] >= rejected[idempotentClass] {
		t.Fatalf("rejected %d of low and %d of high priority", rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// A hung attempt is a fault of its server, not overload. If it counted as load until it ends, the sidecar
// would shed requests for seconds. It counts as load for one latency objective only.
func TestHungAttemptIsLoadForOneObjective(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(2)...)
	id, _ := h.request(idempotentClass)
	h.request(idempotentClass)
	if want := 2.0 / 300; h.balancer.admission.load.current != want {
		t.Fatalf("load %v of two requests, want %v", h.balancer.admission.load.current, want)
	}
	h.now += 300
	h.handle(TimerFired{Token: uint64(id)})
	h.finishAttempt(id, 0, OK, 300)
	if want := 1.0 / 300; math.Abs(h.balancer.admission.load.current-want) > 1e-12 {
		t.Fatalf("load %v when one has used up its objective and ended, want %v", h.balancer.admission.load.current, want)
	}
}

// After a crash of servers, a sidecar with two requests a second must not take eight seconds to shed load:
// the step of the sustained fraction must grow with the time between requests.
func TestSmallSidecarShedsWithinSeconds(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	for range 6 {
		h.setLoad(h.balancer.admission.sustainedShed, 0.8)
		h.now += 500
		h.balancer.admission.load.updatedAt = h.now
		h.request(idempotentClass)
	}
	if h.balancer.admission.sustainedShed < 0.5 {
		t.Fatalf("%.2f is shed after three seconds of overload", h.balancer.admission.sustainedShed)
	}
}

// At a sidecar with little traffic, a few requests are in flight together by chance. That is not overload,
// and none of these requests may be rejected.
func TestFewConcurrentRequestsAreNotShed(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	for range 40 {
		h.now += 2000
		var open []RequestID
		for range 4 {
			id, actions := h.request(idempotentClass)
			if hasAction(actions, Reject) {
				t.Fatalf("request %d was rejected", id)
			}
			open = append(open, id)
		}
		h.now += 60
		for _, id := range open {
			h.finishAttempt(id, 0, OK, 60)
		}
	}
}

// setLoad sets the sustained fraction to shed, and the load at which the expected latency exceeds the allowed latency
// by excess, a fraction of the objective.
func (h *harness) setLoad(sustained, excess float64) {
	threshold := h.balancer.admission.minLatencyRatio + queueingAllowance*(1-h.balancer.admission.minLatencyRatio)
	if h.balancer.admission.sustainedShed = sustained; sustained > 0 {
		h.balancer.admission.sustainedShed += shedDeadband
	}
	rate := h.balancer.answerRate(assumedAnswers)
	assumed := h.balancer.admission.minLatencyRatio * (1 - h.balancer.answerRate(0)/rate)
	h.balancer.admission.load.current, h.balancer.admission.load.updatedAt = (threshold+excess-assumed)*rate, h.now
	h.balancer.admission.load.mean = h.balancer.admission.load.current
}

// measureShedding sends 4000 requests, drawn from pairs of a class and a tenant, while 0.4 of the work is to be shed.
// It returns the fraction of rejected requests per class and per tenant.
func measureShedding(t *testing.T, cfg Config, pairs ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	h := newHarness(t, cfg, testServers(4)...)
	h.balancer.admission.firstRequestAt = 1 // long ago: the answer rate is meaningful
	var requested [2][5]float64
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		pair := pairs[random.IntN(len(pairs))]
		h.now++
		h.setLoad(0.4, 0)
		requested[0][pair[0]]++
		requested[1][pair[1]]++
		id := RequestID(i + 1)
		actions := h.handle(Request{ID: id, Class: pair[0], Tenant: pair[1], Timeout: cfg.Classes[pair[0]].Deadline})
		if hasAction(actions, Reject) {
			byClass[pair[0]]++
			byTenant[pair[1]]++
		} else {
			h.finishAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, requested[0][i])
		byTenant[i] /= max(1, requested[1][i])
	}
	return byClass, byTenant
}

// Shedding must follow the load immediately, between nothing and twice the sustained fraction, so that
// queues do not grow for seconds. A sidecar that has not shed recently rejects nothing, because a few
// requests may be in flight together by chance.
func TestSheddingFollowsLoadAtOnce(t *testing.T) {
	for _, c := range []struct {
		sustained, excess        float64 // excess: expected minus allowed latency, as a fraction of the objective
		minRejected, maxRejected float64 // fraction of requests
	}{{0, 0.5, 0, 0.05}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		h := newHarness(t, baseConfig(), testServers(4)...)
		for range 100 {
			id, _ := h.request(idempotentClass)
			h.now += 5
			h.finishAttempt(id, 0, OK, 50)
		}
		rejected := 0.0
		for range 200 {
			h.setLoad(c.sustained, c.excess)
			if _, actions := h.request(idempotentClass); hasAction(actions, Reject) {
				rejected++
			}
		}
		if rejected /= 200; rejected < c.minRejected || rejected > c.maxRejected {
			t.Errorf("%+v: %.2f were rejected", c, rejected)
		}
	}
}

// Of two tenants with equal quotas, the tenant that sends three times as much loses the requests over its quota. If
// both send equally, both lose equally.
func TestTenantsOverQuotaAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.5}, {Quota: 0.5}}
	_, rejected := measureShedding(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if rejected[0] < 0.4 || rejected[1] > 0.1 {
		t.Fatalf("rejected %.2f of the tenant with much traffic, %.2f of the other", rejected[0], rejected[1])
	}
	_, rejected = measureShedding(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
}

// If the objective has a weight for the worst-served class, the classes are served alike. Without the weight, the
// class with the lowest priority is shed first.
func TestWorstClassObjectiveKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	pairs := [][2]int{{idempotentClass, 0}, {nonIdempotentClass, 0}}
	cfg.Objective = Objective{Overall: 1}
	if rejected, _ := measureShedding(t, cfg, pairs...); rejected[idempotentClass] < 0.7 || rejected[nonIdempotentClass] > 0.1 {
		t.Fatalf("without the weight %.2f and %.2f are rejected", rejected[idempotentClass], rejected[nonIdempotentClass])
	}
	cfg.Objective = Objective{Overall: 0.3, WorstClass: 0.7}
	if rejected, _ := measureShedding(t, cfg, pairs...); rejected[idempotentClass] > 0.5 || rejected[nonIdempotentClass] < 0.3 {
		t.Fatalf("with the weight %.2f and %.2f are rejected", rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// If the objective has a weight for the worst-served tenant, a tenant over its quota is not starved.
func TestWorstTenantObjectiveKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Quota: 0.8}, {Quota: 0.2}}
	pairs := [][2]int{{0, 0}, {0, 1}}
	cfg.Objective = Objective{Overall: 1}
	if _, rejected := measureShedding(t, cfg, pairs...); rejected[0] > 0.1 || rejected[1] < 0.7 {
		t.Fatalf("without the weight %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
	cfg.Objective = Objective{Overall: 0.3, WorstTenant: 0.7}
	if _, rejected := measureShedding(t, cfg, pairs...); math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("with the weight %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
}

// Traffic that grows tenfold within seconds while answers stay fast is not overload. The expected latency
// is the load in flight over the answer rate: with an outdated, lower answer rate, the sidecar would shed
// requests.
func TestFastGrowthIsNotOverload(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(12)...)
	var open []RequestID
	rejected := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold growth in about nine seconds
		h.now += gap
		id, actions := h.request(idempotentClass)
		if hasAction(actions, Reject) {
			rejected++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && h.balancer.requests.open[open[0]].arrivedAt <= h.now-80 { // each answer takes about 80 ms
			h.finishAttempt(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if rejected > 0 {
		t.Fatalf("%d requests were rejected", rejected)
	}
}

// After a restart of the sidecar there is traffic at once but no answer yet: no request may be shed.
func TestStartIsNotOverload(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(12)...)
	type sent struct {
		id RequestID
		at float64
	}
	var open []sent
	for range 900 {
		h.now += 3
		for len(open) > 0 && open[0].at <= h.now-130 {
			h.finishAttempt(open[0].id, 0, OK, 130)
			open = open[1:]
		}
		id, actions := h.request(idempotentClass)
		if hasAction(actions, Reject) {
			t.Fatalf("request %d was rejected, %v ms after the first", id, h.now-h.balancer.admission.firstRequestAt)
		}
		open = append(open, sent{id, h.now})
	}
}

// When servers become slower, the minimum latency rises. An outdated, lower minimum must not make the
// sidecar shed load forever.
func TestMinLatencyDecays(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	answers := func(took, span float64) {
		for end := h.now + span; h.now < end; {
			id, _ := h.request(idempotentClass)
			h.now += took
			h.finishAttempt(id, 0, OK, took)
		}
	}
	answers(15, 9000)
	if h.balancer.admission.minLatencyRatio > 0.06 {
		t.Fatalf("the minimum latency is %v", h.balancer.admission.minLatencyRatio)
	}
	answers(75, 3*minLatencyDecay)
	if h.balancer.admission.minLatencyRatio < 0.24 {
		t.Errorf("the minimum latency is still %v", h.balancer.admission.minLatencyRatio)
	}
}

// If one class is shed, the answers of the other classes may take a larger fraction of their objective. That must not
// be taken for more overload.
func TestMinLatencyFollowsTheMixOfClasses(t *testing.T) {
	h := newHarness(t, baseConfig(), testServers(4)...)
	answers := func(n int, classes ...int) {
		for i := range n {
			class := classes[i%len(classes)]
			took := 30.0 // a tenth of the objective
			if class == allScopeClass {
				took = 120 // three tenths
			}
			id, _ := h.request(class)
			h.now += took
			h.finishAttempt(id, 0, OK, took)
		}
	}
	answers(800, idempotentClass, idempotentClass, idempotentClass, allScopeClass)
	mixed := h.balancer.admission.minLatencyRatio
	answers(400, allScopeClass)
	if alone := h.balancer.admission.minLatencyRatio; math.Abs(mixed-0.15) > 0.03 || math.Abs(alone-0.3) > 0.03 {
		t.Errorf("mixed %v, want 0.15; alone %v, want 0.3", mixed, alone)
	}
}

// A rejection carries a Retry-After: longer while much load is shed, with jitter, and never longer than clients
// honour. It is 0 if SendRetryAfter is off.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	retryAfters := func(cfg Config, sustained float64) []float64 {
		var delays []float64
		h := newHarness(t, cfg) // no server: every request is rejected
		for range 50 {
			h.balancer.admission.sustainedShed = sustained
			id, _ := h.request(idempotentClass)
			h.now += cfg.Classes[idempotentClass].LatencyObjective
			for _, a := range h.handle(TimerFired{Token: uint64(id)}) {
				if a.Kind == Reject {
					delays = append(delays, a.RetryAfter)
				}
			}
		}
		if len(delays) != 50 {
			t.Fatalf("%d of 50 were rejected", len(delays))
		}
		slices.Sort(delays)
		return delays
	}
	cfg := baseConfig()
	idle, overloaded := retryAfters(cfg, 0), retryAfters(cfg, maxShedFraction)
	if idle[0] <= 0 || overloaded[25] < 2*idle[25] {
		t.Errorf("the Retry-After is %v while nothing is shed, %v while most is", idle, overloaded)
	}
	if overloaded[49] > cfg.MaxRetryAfter || idle[49] < 1.5*idle[0] {
		t.Errorf("the Retry-After is %v and %v, clients honour at most %v", idle, overloaded, cfg.MaxRetryAfter)
	}
	cfg.SendRetryAfter = false
	if none := retryAfters(cfg, maxShedFraction); none[49] != 0 {
		t.Errorf("with SendRetryAfter off, clients got %v", none)
	}
}
