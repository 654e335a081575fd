package balance

import (
	"math/rand"
	"testing"
)

// ruleChecker feeds one balancer random but valid events and checks rules 1 to 3 of PROTOCOL at every action.
type ruleChecker struct {
	t                   *testing.T
	random              *rand.Rand
	balancer            *Balancer
	config              Config
	now                 float64
	servers             map[ServerID]*Server
	mayReceive          map[ServerID]bool // may be sent to
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
	w := &ruleChecker{
		t: t, random: random, balancer: mustNew(t, cfg), config: cfg, now: 5000, servers: map[ServerID]*Server{},
		mayReceive: map[ServerID]bool{}, openRequests: map[RequestID]*trackedRequest{},
	}
	w.apply(w.balancer.Start(w.now))
	return w
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
			cfg.AllowHealthChecks, cfg.LoadReports, cfg.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{FieldInFlight, FieldQueueLength, FieldUtilization}
		}
		w := newRuleChecker(t, random, cfg)
		w.randomUpdate(UpdateCached)
		for id := RequestID(1); id <= 1500; id++ {
			w.now += random.ExpFloat64() * 8
			w.fireTimers()
			w.randomEvent(id)
		}
		for w.now += 10; len(w.timers) > 0 && w.anyOpen(); w.now += 10 {
			w.fireTimers()
		}
		if w.anyOpen() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

func (w *ruleChecker) randomEvent(id RequestID) {
	switch n := w.random.Intn(20); {
	case n < 9:
		class := w.random.Intn(len(w.config.Classes))
		left := w.config.Classes[class].Deadline * w.random.Float64()
		if w.random.Intn(20) == 0 {
			left = 0
		}
		w.openRequests[id] = &trackedRequest{class: class, deadline: w.now + left}
		w.handle(Request{ID: id, Class: class, Timeout: left})
	case n < 17:
		w.endRandomAttempt(id)
	case n < 18:
		w.randomUpdate([]UpdateKind{UpdateFull, UpdateDelta, UpdateCached}[w.random.Intn(3)])
	case n < 19:
		if len(w.pendingHealthChecks) > 0 {
			s := w.pendingHealthChecks[0]
			w.pendingHealthChecks = w.pendingHealthChecks[1:]
			w.handle(HealthCheckResult{Server: s, Elapsed: 1, LoadReport: []float32{float32(w.random.Intn(6)), 0, 0.5}})
		}
	default:
		gone := id - RequestID(w.random.Intn(20)) // it may have ended or never existed, and is ignored then
		if o := w.openRequests[gone]; o != nil {
			o.answered = true
		}
		w.handle(ClientDisconnected{Request: gone})
	}
}

// endRandomAttempt ends a random attempt that is in flight.
func (w *ruleChecker) endRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		o := w.openRequests[id]
		if o == nil {
			continue
		}
		for i := range o.attempts {
			if a := &o.attempts[i]; a.inFlight && w.random.Intn(3) > 0 {
				res := []Result{OK, OK, OK, OK, Failed, Overloaded, ConnectFailed, Reset, TimedOut}[w.random.Intn(9)]
				a.inFlight, a.neverExecuted = false, res.NeverExecuted()
				o.answered = o.answered || res == OK
				w.handle(Outcome{
					Request: id, Attempt: i, Server: a.server.ID, Result: res, Elapsed: w.now - a.sentAt, RequestDone: o.answered,
				})
				return
			}
		}
	}
}

func (w *ruleChecker) randomUpdate(kind UpdateKind) {
	var entries []Server
	for i := range 10 {
		id := ServerID(i + 1)
		s := w.servers[id]
		if s == nil || w.random.Intn(4) == 0 {
			s = &Server{ID: id, State: ServerState(w.random.Intn(3) % 2), RelativeCapacity: 1, Cell: i % 3,
				Zone: i % 2, Kind: i % 2}
			if w.random.Intn(3) == 0 {
				s.StartedAt = w.now
			}
			w.servers[id] = s
		}
		if kind == UpdateDelta && w.random.Intn(2) == 0 {
			continue
		}
		if kind != UpdateDelta && w.random.Intn(8) == 0 {
			w.mayReceive[id] = false
			continue
		}
		w.mayReceive[id] = s.State == Ready
		entries = append(entries, *s)
	}
	w.handle(EndpointUpdate{Kind: kind, Servers: entries})
}

func (w *ruleChecker) handle(ev Event) {
	actions, err := w.balancer.Handle(w.now, ev)
	if err != nil {
		w.t.Fatalf("%#v: %v", ev, err)
	}
	w.apply(actions)
}

func (w *ruleChecker) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, pendingTimer{w.now + a.Delay, a.Token})
		case HealthCheck:
			if !w.config.AllowHealthChecks {
				w.t.Fatal("health check where none are allowed")
			}
			w.pendingHealthChecks = append(w.pendingHealthChecks, a.Server)
		case Send:
			w.checkSend(a)
		case Reject, Fail:
			w.checkFinalAnswer(a)
		case Cancel:
			if !w.config.AllowCancel || a.Attempt >= len(w.openRequests[a.Request].attempts) {
				w.t.Fatalf("cancel of %+v", a)
			}
		}
	}
}

func (w *ruleChecker) checkSend(a Action) {
	o, c := w.openRequests[a.Request], w.config.Classes[w.openRequests[a.Request].class]
	switch {
	case o.answered:
		w.t.Fatalf("request %d was sent after its answer", a.Request)
	case !w.mayReceive[a.Server]:
		w.t.Fatalf("request %d was sent to server %d, which drains or was removed", a.Request, a.Server)
	case len(o.attempts) >= w.config.MaxAttempts:
		w.t.Fatalf("request %d was sent too often", a.Request)
	}
	w.balancer.checkSlowStartBudgetKept(w.t, a)
	to := *w.servers[a.Server]
	for _, p := range o.attempts {
		if p.inFlight && !w.config.AllowParallelAttempts {
			w.t.Fatalf("request %d is in flight twice", a.Request)
		}
		if p.neverExecuted || c.Idempotency == Idempotent {
			continue
		}
		otherCell := c.DeduplicationScope == ScopeCell && p.server.Cell != to.Cell
		otherZone := c.DeduplicationScope == ScopeZone && p.server.Zone != to.Zone
		if c.Idempotency == NonIdempotent || otherCell || otherZone || w.now >= p.sentAt+c.IdempotencyWindow {
			w.t.Fatalf("request %d may have been executed and was sent again", a.Request)
		}
	}
	o.attempts = append(o.attempts, trackedAttempt{server: to, sentAt: w.now, inFlight: true})
}

// checkSlowStartBudgetKept checks that every attempt at a server in slow start spends its budget.
func (b *Balancer) checkSlowStartBudgetKept(t *testing.T, a Action) {
	if s := b.serversByID[a.Server]; a.Kind == Send && b.inSlowStart(s) && s.slowStart.tokens < 0 {
		t.Fatalf("at %v request %d was sent to server in slow start %d, whose budget is spent", b.now, a.Request, a.Server)
	}
}

func (w *ruleChecker) checkFinalAnswer(a Action) {
	o, c := w.openRequests[a.Request], w.config.Classes[w.openRequests[a.Request].class]
	if o.answered || w.now > o.deadline+w.config.AnswerGracePeriod {
		w.t.Fatalf("request %d: a second or late answer at %v, deadline %v", a.Request, w.now, o.deadline)
	}
	o.answered = true
	if a.Kind == Fail || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll {
		return
	}
	for _, p := range o.attempts {
		if !p.neverExecuted {
			w.t.Fatalf("request %d may have been executed and was rejected", a.Request)
		}
	}
}

// fireTimers fires the timers that are due, each at its own time.
func (w *ruleChecker) fireTimers() {
	end := w.now
	for {
		next := -1
		for i, p := range w.timers {
			if p.at <= end && (next < 0 || p.at < w.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := w.timers[next]
		w.timers = append(w.timers[:next], w.timers[next+1:]...)
		w.now = p.at
		w.handle(TimerFired{Token: p.token})
	}
	w.now = end
}

func (w *ruleChecker) anyOpen() bool {
	for _, o := range w.openRequests {
		if !o.answered {
			return true
		}
	}
	return false
}
