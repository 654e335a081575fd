package balance

import (
	"math/rand"
	"testing"
)

// ruleChecker sends random but valid events to one balancer and checks rules 1 to 3 of the platform's protocol at every
// action.
type ruleChecker struct {
	t                   *testing.T
	random              *rand.Rand
	balancer            *Balancer
	config              Config
	now                 float64
	servers             map[ServerID]*Server
	mayReceive          map[ServerID]bool // servers that may receive attempts
	openRequests        map[RequestID]*trackedRequest
	timers              []pendingTimer
	pendingHealthChecks []ServerID
}

type trackedRequest struct {
	class    int
	deadline float64
	answered bool
	attempts []trackedAttempt
}

type trackedAttempt struct {
	server        Server
	sentAt        float64
	inFlight      bool
	neverExecuted bool
}

type pendingTimer struct {
	at    float64
	token uint64
}

func newRuleChecker(t *testing.T, random *rand.Rand, cfg Config) *ruleChecker {
	checker := &ruleChecker{
		t: t, random: random, balancer: mustNew(t, cfg), config: cfg, now: 5000, servers: map[ServerID]*Server{},
		mayReceive: map[ServerID]bool{}, openRequests: map[RequestID]*trackedRequest{},
	}
	checker.apply(checker.balancer.Start(checker.now))
	return checker
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		cfg := baseConfig()
		cfg.Seed = uint64(seed)
		cfg.AllowParallelAttempts, cfg.AllowCancel = seed%2 == 0, seed%3 != 0
		cfg.MaxAttempts = 1 + int(seed%4)
		cfg.Subscribe = seed%5 == 0
		if seed%4 == 1 {
			cfg.AllowHealthChecks, cfg.LoadReports, cfg.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{
				FieldInFlight, FieldQueueLength, FieldUtilization,
			}
		}
		checker := newRuleChecker(t, random, cfg)
		checker.randomUpdate(UpdateCached)
		for id := RequestID(1); id <= 1500; id++ {
			checker.now += random.ExpFloat64() * 8
			checker.fireTimers()
			checker.randomEvent(id)
		}
		for checker.now += 10; len(checker.timers) > 0 && checker.anyOpen(); checker.now += 10 {
			checker.fireTimers()
		}
		if checker.anyOpen() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

func (checker *ruleChecker) randomEvent(id RequestID) {
	switch n := checker.random.Intn(20); {
	case n < 9:
		class := checker.random.Intn(len(checker.config.Classes))
		left := checker.config.Classes[class].Deadline * checker.random.Float64()
		if checker.random.Intn(20) == 0 {
			left = 0
		}
		checker.openRequests[id] = &trackedRequest{class: class, deadline: checker.now + left}
		checker.handle(Request{ID: id, Class: class, Timeout: left})
	case n < 17:
		checker.endRandomAttempt(id)
	case n < 18:
		checker.randomUpdate([]UpdateKind{UpdateFull, UpdateDelta, UpdateCached}[checker.random.Intn(3)])
	case n < 19:
		if len(checker.pendingHealthChecks) > 0 {
			s := checker.pendingHealthChecks[0]
			checker.pendingHealthChecks = checker.pendingHealthChecks[1:]
			checker.handle(HealthCheckResult{
				Server: s, Elapsed: 1, LoadReport: []float32{float32(checker.random.Intn(6)), 0, 0.5},
			})
		}
	default:
		gone := id - RequestID(checker.random.Intn(20)) // the request may have ended or not exist, and the event is then ignored
		if o := checker.openRequests[gone]; o != nil {
			o.answered = true
		}
		checker.handle(ClientDisconnected{Request: gone})
	}
}

// endRandomAttempt ends a random attempt that is in flight.
func (checker *ruleChecker) endRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		o := checker.openRequests[id]
		if o == nil {
			continue
		}
		for i := range o.attempts {
			if a := &o.attempts[i]; a.inFlight && checker.random.Intn(3) > 0 {
				res := []Result{OK, OK, OK, OK, Failed, Overloaded, ConnectFailed, Reset, TimedOut}[checker.random.Intn(9)]
				a.inFlight, a.neverExecuted = false, res.NeverExecuted()
				o.answered = o.answered || res == OK
				checker.handle(Outcome{
					Request: id, Attempt: i, Server: a.server.ID, Result: res,
					Elapsed: checker.now - a.sentAt, RequestDone: o.answered,
				})
				return
			}
		}
	}
}

func (checker *ruleChecker) randomUpdate(kind UpdateKind) {
	var entries []Server
	for i := range 10 {
		id := ServerID(i + 1)
		s := checker.servers[id]
		if s == nil || checker.random.Intn(4) == 0 {
			s = &Server{ID: id, State: ServerState(checker.random.Intn(3) % 2), RelativeCapacity: 1, Cell: i % 3,
				Zone: i % 2, Kind: i % 2}
			if checker.random.Intn(3) == 0 {
				s.StartedAt = checker.now
			}
			checker.servers[id] = s
		}
		if kind == UpdateDelta && checker.random.Intn(2) == 0 {
			continue
		}
		if kind != UpdateDelta && checker.random.Intn(8) == 0 {
			checker.mayReceive[id] = false
			continue
		}
		checker.mayReceive[id] = s.State == Ready
		entries = append(entries, *s)
	}
	checker.handle(EndpointUpdate{Kind: kind, Servers: entries})
}

func (checker *ruleChecker) handle(ev Event) {
	actions, err := checker.balancer.Handle(checker.now, ev)
	if err != nil {
		checker.t.Fatalf("%#v: %v", ev, err)
	}
	checker.apply(actions)
	if violations := checker.balancer.Violations(); violations != (Violations{}) {
		checker.t.Fatalf("%#v: violations found by the balancer itself: %+v", ev, violations)
	}
}

func (checker *ruleChecker) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			checker.timers = append(checker.timers, pendingTimer{checker.now + a.Delay, a.Token})
		case HealthCheck:
			if !checker.config.AllowHealthChecks {
				checker.t.Fatal("health check where none are allowed")
			}
			checker.pendingHealthChecks = append(checker.pendingHealthChecks, a.Server)
		case Send:
			checker.checkSend(a)
		case Reject, Fail:
			checker.checkFinalAnswer(a)
		case Cancel:
			if !checker.config.AllowCancel || a.Attempt >= len(checker.openRequests[a.Request].attempts) {
				checker.t.Fatalf("invalid cancel: %+v", a)
			}
		}
	}
}

func (checker *ruleChecker) checkSend(a Action) {
	o, c := checker.openRequests[a.Request], checker.config.Classes[checker.openRequests[a.Request].class]
	switch {
	case o.answered:
		checker.t.Fatalf("request %d was sent after its answer", a.Request)
	case !checker.mayReceive[a.Server]:
		checker.t.Fatalf("request %d was sent to server %d, which is draining or was removed", a.Request, a.Server)
	case len(o.attempts) >= checker.config.MaxAttempts:
		checker.t.Fatalf("request %d was sent too often", a.Request)
	}
	checker.balancer.checkSlowStartBudgetKept(checker.t, a)
	to := *checker.servers[a.Server]
	for _, p := range o.attempts {
		if p.inFlight && !checker.config.AllowParallelAttempts {
			checker.t.Fatalf("request %d is in flight twice", a.Request)
		}
		if p.neverExecuted || c.Idempotency == Idempotent {
			continue
		}
		otherCell := c.DeduplicationScope == ScopeCell && p.server.Cell != to.Cell
		otherZone := c.DeduplicationScope == ScopeZone && p.server.Zone != to.Zone
		if c.Idempotency == NonIdempotent || otherCell || otherZone || checker.now >= p.sentAt+c.IdempotencyWindow {
			checker.t.Fatalf("request %d may have been executed and was sent again", a.Request)
		}
	}
	o.attempts = append(o.attempts, trackedAttempt{server: to, sentAt: checker.now, inFlight: true})
}

// checkSlowStartBudgetKept checks that an attempt at a server in slow start does not exceed the server's budget.
func (b *Balancer) checkSlowStartBudgetKept(t *testing.T, a Action) {
	if s := b.serversByID[a.Server]; a.Kind == Send && b.inSlowStart(s) && s.slowStart.tokens < 0 {
		t.Fatalf("at %v request %d was sent to server %d in slow start, whose budget is spent", b.now, a.Request, a.Server)
	}
}

func (checker *ruleChecker) checkFinalAnswer(a Action) {
	o, c := checker.openRequests[a.Request], checker.config.Classes[checker.openRequests[a.Request].class]
	if o.answered || checker.now > o.deadline+checker.config.AnswerGracePeriod {
		checker.t.Fatalf("request %d: a second or late answer at %v, deadline %v", a.Request, checker.now, o.deadline)
	}
	o.answered = true
	if a.Kind == Fail || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll {
		return
	}
	for _, p := range o.attempts {
		if !p.neverExecuted {
			checker.t.Fatalf("request %d may have been executed and was rejected", a.Request)
		}
	}
}

// fireTimers fires the timers that are due, each at its own time.
func (checker *ruleChecker) fireTimers() {
	end := checker.now
	for {
		next := -1
		for i, p := range checker.timers {
			if p.at <= end && (next < 0 || p.at < checker.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := checker.timers[next]
		checker.timers = append(checker.timers[:next], checker.timers[next+1:]...)
		checker.now = p.at
		checker.handle(TimerFired{Token: p.token})
	}
	checker.now = end
}

func (checker *ruleChecker) anyOpen() bool {
	for _, o := range checker.openRequests {
		if !o.answered {
			return true
		}
	}
	return false
}
