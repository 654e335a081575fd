package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"milldeck/balance"
)

// Instance makes the decisions of one sidecar: the decision module, or a baseline to compare the module with. Times are ms of
// the run. Returned actions are valid until the next call.
type Instance interface {
	Start(now float64) []balance.Action
	Handle(now float64, event balance.Event) ([]balance.Action, error)
}

// PolicyModule is the name of the decision module among the policies.
const PolicyModule = "module"

// Names of the baselines.
const (
	policyRandom     = "random"
	policyRoundRobin = "round-robin"
	policyLeast      = "least"       // fewest requests in flight
	policyTwoChoices = "two-choices" // fewer requests in flight of two random servers
)

// reconnectTimer is the token of the only timer of a baseline.
const reconnectTimer = 1

// pickFunc picks one of the eligible servers, of which there is at least one.
type pickFunc func(b *baseline, eligible []*baselineServer) *baselineServer

var baselines = map[string]pickFunc{
	policyRandom: pickRandom, policyRoundRobin: pickRoundRobin, policyLeast: pickLeast, policyTwoChoices: pickTwoChoices,
}

// Policies returns the names that NewInstance accepts: the decision module, then the baselines.
func Policies() []string {
	return []string{PolicyModule, policyRandom, policyRoundRobin, policyLeast, policyTwoChoices}
}

// NewInstance returns an instance of a policy.
func NewInstance(policy string, config balance.Config) (Instance, error) {
	if policy == PolicyModule {
		return balance.New(config)
	}
	pick, known := baselines[policy]
	if !known {
		return nil, fmt.Errorf("unknown policy %q", policy)
	}
	return &baseline{
		config: config, pick: pick, rng: rand.New(rand.NewPCG(config.Seed, 1)),
		byID: map[balance.ServerID]*baselineServer{}, requests: map[balance.RequestID]*baselineRequest{},
	}, nil
}

// baseline is a textbook load balancer. It obeys the rules on retries and draining servers. Apart from the endpoint list it
// knows only its own requests in flight.
type baseline struct {
	config  balance.Config
	pick    pickFunc
	rng     *rand.Rand
	now     float64
	actions []balance.Action

	endpoints  []*baselineServer // in the order in which they were first listed
	byID       map[balance.ServerID]*baselineServer
	requests   map[balance.RequestID]*baselineRequest
	nextServer int               // for round-robin
	eligible   []*baselineServer // reused by collectEligible
}

// baselineServer is a server of the endpoint list.
type baselineServer struct {
	balance.Server
	inFlight int
	number   int // position in the order in which servers were first listed
}

// baselineRequest is a request that has no final response or still has an attempt in flight.
type baselineRequest struct {
	balance.Request
	class    *balance.Class
	deadline float64
	attempts []baselineAttempt
	inFlight int
	answered bool
}

// baselineAttempt is an attempt of a request.
type baselineAttempt struct {
	endpoint      *baselineServer
	sentAt        float64
	neverExecuted bool
}

func byInFlight(a, b *baselineServer) int { return a.inFlight - b.inFlight }

func pickRandom(b *baseline, eligible []*baselineServer) *baselineServer {
	return eligible[b.rng.IntN(len(eligible))]
}

func pickLeast(_ *baseline, eligible []*baselineServer) *baselineServer {
	return slices.MinFunc(eligible, byInFlight)
}

func pickTwoChoices(b *baseline, eligible []*baselineServer) *baselineServer {
	first, second := pickRandom(b, eligible), pickRandom(b, eligible)
	if byInFlight(second, first) < 0 {
		return second
	}
	return first
}

// pickRoundRobin picks the first eligible server after the server that it picked last.
func pickRoundRobin(b *baseline, eligible []*baselineServer) *baselineServer {
	next := eligible[0]
	for _, endpoint := range eligible {
		if endpoint.number >= b.nextServer {
			next = endpoint
			break
		}
	}
	b.nextServer = next.number + 1
	return next
}

func (b *baseline) emit(action balance.Action) { b.actions = append(b.actions, action) }

// Start implements Instance.
func (b *baseline) Start(now float64) []balance.Action {
	b.now, b.actions = now, b.actions[:0]
	if b.config.Subscribe {
		b.emit(balance.Action{Kind: balance.WatchEndpoints})
	}
	return b.actions
}

// Handle implements Instance.
func (b *baseline) Handle(now float64, event balance.Event) ([]balance.Action, error) {
	b.now, b.actions = now, b.actions[:0]
	switch event := event.(type) {
	case balance.Request:
		request := &baselineRequest{Request: event, class: &b.config.Classes[event.Class], deadline: now + event.Timeout}
		b.requests[event.ID] = request
		b.advance(request)
	case balance.Outcome:
		if err := b.handleOutcome(event); err != nil {
			return nil, err
		}
	case balance.ClientDisconnected:
		b.handleDisconnect(event)
	case balance.EndpointUpdate:
		b.applyUpdate(event)
	case balance.TimerFired:
		b.emit(balance.Action{Kind: balance.WatchEndpoints})
	}
	return b.actions, nil
}

func (b *baseline) handleOutcome(outcome balance.Outcome) error {
	request := b.requests[outcome.Request]
	if request == nil || outcome.Attempt >= len(request.attempts) {
		return fmt.Errorf("outcome for request %d, which is unknown or has no such attempt", outcome.Request)
	}
	attempt := &request.attempts[outcome.Attempt]
	attempt.endpoint.inFlight--
	attempt.neverExecuted = outcome.Result.NeverExecuted()
	request.inFlight--
	request.answered = request.answered || outcome.RequestDone
	b.advance(request)
	return nil
}

func (b *baseline) handleDisconnect(event balance.ClientDisconnected) {
	request := b.requests[event.Request]
	if request == nil {
		return
	}
	request.answered = true
	if request.inFlight > 0 && b.config.AllowCancel {
		b.emit(balance.Action{Kind: balance.Cancel, Request: request.ID, Attempt: len(request.attempts) - 1})
	}
	b.advance(request)
}

// applyUpdate updates the endpoints. After a failure the baseline watches the endpoint list again in one to two seconds.
func (b *baseline) applyUpdate(update balance.EndpointUpdate) {
	if update.Kind == balance.UpdateFailed {
		b.emit(balance.Action{Kind: balance.SetTimer, Token: reconnectTimer, Delay: 1000 + 1000*b.rng.Float64()})
		return
	}
	if update.Kind != balance.UpdateDelta {
		for _, endpoint := range b.endpoints {
			endpoint.State = balance.Removed
		}
	}
	for _, server := range update.Servers {
		endpoint := b.byID[server.ID]
		if endpoint == nil {
			endpoint = &baselineServer{number: len(b.endpoints)}
			b.byID[server.ID] = endpoint
			b.endpoints = append(b.endpoints, endpoint)
		}
		endpoint.Server = server
	}
}

// advance sends the next attempt of a request if there is an eligible server, and answers the request otherwise.
func (b *baseline) advance(request *baselineRequest) {
	switch {
	case request.inFlight > 0:
	case request.answered:
		delete(b.requests, request.ID)
	case len(request.attempts) < b.config.MaxAttempts && b.now < request.deadline && b.collectEligible(request):
		endpoint := b.pick(b, b.eligible)
		endpoint.inFlight++
		request.inFlight++
		request.attempts = append(request.attempts, baselineAttempt{endpoint: endpoint, sentAt: b.now})
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

// isRetrySafe reports whether the client can retry without executing the request twice.
func (r *baselineRequest) isRetrySafe() bool {
	switch {
	case r.class.Idempotency == balance.Idempotent:
		return true
	case r.class.Idempotency == balance.IdempotentWithKey && r.class.DeduplicationScope == balance.ScopeAll:
		return true
	default:
		return !slices.ContainsFunc(r.attempts, func(attempt baselineAttempt) bool { return !attempt.neverExecuted })
	}
}

// collectEligible collects the servers that the rules allow for the next attempt, and reports whether there are any.
func (b *baseline) collectEligible(request *baselineRequest) bool {
	b.eligible = b.eligible[:0]
	for _, endpoint := range b.endpoints {
		if endpoint.State == balance.Ready && b.isAllowed(request, endpoint) {
			b.eligible = append(b.eligible, endpoint)
		}
	}
	return len(b.eligible) > 0
}

// isAllowed reports whether the retry rules allow an attempt at a server, given the previous attempts of the request.
func (b *baseline) isAllowed(request *baselineRequest, endpoint *baselineServer) bool {
	for i := range request.attempts {
		previous := &request.attempts[i]
		if previous.endpoint == endpoint {
			return false
		}
		if !previous.neverExecuted && !b.isRepeatAllowed(request.class, previous, endpoint) {
			return false
		}
	}
	return true
}

// isRepeatAllowed reports whether a request may be sent to a server although a previous attempt may have executed it.
func (b *baseline) isRepeatAllowed(class *balance.Class, previous *baselineAttempt, endpoint *baselineServer) bool {
	switch class.Idempotency {
	case balance.Idempotent:
		return true
	case balance.NonIdempotent:
		return false
	}
	if b.now+b.config.ConnectTimeout >= previous.sentAt+class.IdempotencyWindow {
		return false
	}
	switch class.DeduplicationScope {
	case balance.ScopeZone:
		return previous.endpoint.Zone == endpoint.Zone
	case balance.ScopeCell:
		return previous.endpoint.Cell == endpoint.Cell
	default:
		return true
	}
}
