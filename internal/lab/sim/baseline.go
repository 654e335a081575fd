package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"milldeck/balance"
)

// Instance is what decides for one sidecar: the module, or a baseline beside it. Actions are valid until the
// next call.
type Instance interface {
	Start(now float64) []balance.Action
	Handle(now float64, ev balance.Event) ([]balance.Action, error)
}

// Module is the name of the decision module among the policies.
const Module = "module"

// pickFunc picks one of the servers that a request may go to; there is at least one.
type pickFunc func(b *baseline, from []*endpoint) *endpoint

var baselines = map[string]pickFunc{
	"random":      func(b *baseline, from []*endpoint) *endpoint { return from[b.rng.IntN(len(from))] },
	"round-robin": roundRobin,
	"least":       func(_ *baseline, from []*endpoint) *endpoint { return slices.MinFunc(from, byInFlight) },
	"two-choices": func(b *baseline, from []*endpoint) *endpoint {
		s, t := from[b.rng.IntN(len(from))], from[b.rng.IntN(len(from))]
		if byInFlight(t, s) < 0 {
			return t
		}
		return s
	},
}

// Policies lists the names that New takes: the module first, then the baselines.
func Policies() []string { return []string{Module, "random", "round-robin", "least", "two-choices"} }

// New makes one sidecar's instance of a policy.
func New(policy string, cfg balance.Config) (Instance, error) {
	if policy == Module {
		return balance.New(cfg)
	}
	choose, known := baselines[policy]
	if !known {
		return nil, fmt.Errorf("unknown policy %q", policy)
	}
	return &baseline{
		config: cfg, pick: choose, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		byID: map[balance.ServerID]*endpoint{}, requests: map[balance.RequestID]*openRequest{},
	}, nil
}

// baseline is a textbook balancer. It keeps the rules on repeats and drains, knows the servers of the list and
// what it has in flight itself, and learns nothing else.
type baseline struct {
	config  balance.Config
	pick    pickFunc
	rng     *rand.Rand
	now     float64
	actions []balance.Action

	endpoints  []*endpoint // in the order in which they were first listed
	byID       map[balance.ServerID]*endpoint
	requests   map[balance.RequestID]*openRequest
	nextServer int
	eligible   []*endpoint
}

type endpoint struct {
	balance.Server
	inFlight int
	number   int // by the order of first listing
}

type openRequest struct {
	balance.Request
	class    *balance.Class
	deadline float64
	attempts []sentAttempt
	inFlight int
	answered bool
}

type sentAttempt struct {
	endpoint      *endpoint
	sentAt        float64
	neverExecuted bool // it never ran
}

func byInFlight(s, t *endpoint) int { return s.inFlight - t.inFlight }

// roundRobin takes the next server after the last one taken that is among those allowed.
func roundRobin(b *baseline, eligible []*endpoint) *endpoint {
	best := eligible[0]
	for _, endpoint := range eligible {
		if endpoint.number >= b.nextServer {
			best = endpoint
			break
		}
	}
	b.nextServer = best.number + 1
	return best
}

func (b *baseline) emit(a balance.Action) { b.actions = append(b.actions, a) }

// Start begins the instance's life.
func (b *baseline) Start(now float64) []balance.Action {
	b.now, b.actions = now, b.actions[:0]
	if b.config.Subscribe {
		b.emit(balance.Action{Kind: balance.WatchEndpoints})
	}
	return b.actions
}

// Handle takes one event.
func (b *baseline) Handle(now float64, ev balance.Event) ([]balance.Action, error) {
	b.now, b.actions = now, b.actions[:0]
	switch ev := ev.(type) {
	case balance.Request:
		request := &openRequest{Request: ev, class: &b.config.Classes[ev.Class], deadline: now + ev.Timeout}
		b.requests[ev.ID] = request
		b.advance(request)
	case balance.Outcome:
		request := b.requests[ev.Request]
		if request == nil || ev.Attempt >= len(request.attempts) {
			return nil, fmt.Errorf("outcome of request %d, which is not open", ev.Request)
		}
		request.attempts[ev.Attempt].endpoint.inFlight--
		request.attempts[ev.Attempt].neverExecuted = ev.Result.NeverExecuted()
		request.inFlight--
		request.answered = request.answered || ev.RequestDone
		b.advance(request)
	case balance.ClientDisconnected:
		if request := b.requests[ev.Request]; request != nil {
			request.answered = true
			if request.inFlight > 0 && b.config.AllowCancel {
				b.emit(balance.Action{Kind: balance.Cancel, Request: request.ID, Attempt: len(request.attempts) - 1})
			}
			b.advance(request)
		}
	case balance.EndpointUpdate:
		b.applyUpdate(ev)
	case balance.TimerFired:
		b.emit(balance.Action{Kind: balance.WatchEndpoints})
	}
	return b.actions, nil
}

func (b *baseline) applyUpdate(ev balance.EndpointUpdate) {
	if ev.Kind == balance.UpdateFailed {
		b.emit(balance.Action{Kind: balance.SetTimer, Token: 1, Delay: 1000 + 1000*b.rng.Float64()})
		return
	}
	if ev.Kind != balance.UpdateDelta {
		for _, s := range b.endpoints {
			s.State = balance.Removed
		}
	}
	for _, s := range ev.Servers {
		known := b.byID[s.ID]
		if known == nil {
			known = &endpoint{number: len(b.endpoints)}
			b.byID[s.ID] = known
			b.endpoints = append(b.endpoints, known)
		}
		known.Server = s
	}
}

// advance sends what may be sent, else answers.
func (b *baseline) advance(request *openRequest) {
	switch {
	case request.inFlight > 0:
	case request.answered:
		delete(b.requests, request.ID)
	case len(request.attempts) < b.config.MaxAttempts && b.now < request.deadline && b.collectEligible(request):
		endpoint := b.pick(b, b.eligible)
		endpoint.inFlight++
		request.inFlight++
		request.attempts = append(request.attempts, sentAttempt{endpoint: endpoint, sentAt: b.now})
		b.emit(balance.Action{Kind: balance.Send, Request: request.ID, Server: endpoint.ID})
	default:
		kind := balance.Fail
		if request.isRetrySafe() {
			kind = balance.Reject
		}
		b.emit(balance.Action{Kind: kind, Request: request.ID})
		delete(b.requests, request.ID)
	}
}

// isRetrySafe: the client may be told to try again.
func (r *openRequest) isRetrySafe() bool {
	if r.class.Idempotency == balance.Idempotent || r.class.Idempotency == balance.IdempotentWithKey && r.class.DeduplicationScope == balance.ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(attempt sentAttempt) bool { return !attempt.neverExecuted })
}

// collectEligible lists the servers that the rules allow for the next attempt.
func (b *baseline) collectEligible(request *openRequest) bool {
	b.eligible = b.eligible[:0]
	for _, endpoint := range b.endpoints {
		if endpoint.State == balance.Ready && b.isAllowed(request, endpoint) {
			b.eligible = append(b.eligible, endpoint)
		}
	}
	return len(b.eligible) > 0
}

func (b *baseline) isAllowed(request *openRequest, endpoint *endpoint) bool {
	for _, previous := range request.attempts {
		switch {
		case previous.endpoint == endpoint:
			return false
		case previous.neverExecuted || request.class.Idempotency == balance.Idempotent:
		case request.class.Idempotency == balance.NonIdempotent, b.now+b.config.ConnectTimeout >= previous.sentAt+request.class.IdempotencyWindow,
			request.class.DeduplicationScope == balance.ScopeZone && previous.endpoint.Zone != endpoint.Zone, request.class.DeduplicationScope == balance.ScopeCell && previous.endpoint.Cell != endpoint.Cell:
			return false
		}
	}
	return true
}
