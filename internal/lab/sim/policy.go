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

// chooser picks one of the servers that a request may go to; there is at least one.
type chooser func(b *baseline, from []*target) *target

var baselines = map[string]chooser{
	"random":      func(b *baseline, from []*target) *target { return from[b.rng.IntN(len(from))] },
	"round-robin": roundRobin,
	"least":       func(_ *baseline, from []*target) *target { return slices.MinFunc(from, byInFlight) },
	"two-choices": func(b *baseline, from []*target) *target {
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
		cfg: cfg, choose: choose, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		byID: map[balance.ServerID]*target{}, open: map[balance.RequestID]*pending{},
	}, nil
}

// baseline is a textbook balancer. It keeps the rules on repeats and drains, knows the servers of the list and
// what it has in flight itself, and learns nothing else.
type baseline struct {
	cfg    balance.Config
	choose chooser
	rng    *rand.Rand
	now    float64
	out    []balance.Action

	servers []*target // in the order in which they were first listed
	byID    map[balance.ServerID]*target
	open    map[balance.RequestID]*pending
	turn    int
	from    []*target
}

type target struct {
	balance.Server
	inFlight int
	number   int // by the order of first listing
}

type pending struct {
	balance.Request
	class *balance.Class
	end   float64
	tries []sent
	live  int
	over  bool
}

type sent struct {
	to    *target
	at    float64
	clean bool // it never ran
}

func byInFlight(s, t *target) int { return s.inFlight - t.inFlight }

// roundRobin takes the next server after the last one taken that is among those allowed.
func roundRobin(b *baseline, from []*target) *target {
	best := from[0]
	for _, s := range from {
		if s.number >= b.turn {
			best = s
			break
		}
	}
	b.turn = best.number + 1
	return best
}

func (b *baseline) emit(a balance.Action) { b.out = append(b.out, a) }

// Start begins the instance's life.
func (b *baseline) Start(now float64) []balance.Action {
	b.now, b.out = now, b.out[:0]
	if b.cfg.Subscribe {
		b.emit(balance.Action{Kind: balance.WatchEndpoints})
	}
	return b.out
}

// Handle takes one event.
func (b *baseline) Handle(now float64, ev balance.Event) ([]balance.Action, error) {
	b.now, b.out = now, b.out[:0]
	switch ev := ev.(type) {
	case balance.Request:
		p := &pending{Request: ev, class: &b.cfg.Classes[ev.Class], end: now + ev.Timeout}
		b.open[ev.ID] = p
		b.step(p)
	case balance.Outcome:
		p := b.open[ev.Request]
		if p == nil || ev.Attempt >= len(p.tries) {
			return nil, fmt.Errorf("outcome of request %d, which is not open", ev.Request)
		}
		p.tries[ev.Attempt].to.inFlight--
		p.tries[ev.Attempt].clean = ev.Result.NeverExecuted()
		p.live--
		p.over = p.over || ev.RequestDone
		b.step(p)
	case balance.ClientDisconnected:
		if p := b.open[ev.Request]; p != nil {
			p.over = true
			if p.live > 0 && b.cfg.AllowCancel {
				b.emit(balance.Action{Kind: balance.Cancel, Request: p.ID, Attempt: len(p.tries) - 1})
			}
			b.step(p)
		}
	case balance.EndpointUpdate:
		b.list(ev)
	case balance.TimerFired:
		b.emit(balance.Action{Kind: balance.WatchEndpoints})
	}
	return b.out, nil
}

func (b *baseline) list(ev balance.EndpointUpdate) {
	if ev.Kind == balance.UpdateFailed {
		b.emit(balance.Action{Kind: balance.SetTimer, Token: 1, Delay: 1000 + 1000*b.rng.Float64()})
		return
	}
	if ev.Kind != balance.UpdateDelta {
		for _, s := range b.servers {
			s.State = balance.Removed
		}
	}
	for _, s := range ev.Servers {
		t := b.byID[s.ID]
		if t == nil {
			t = &target{number: len(b.servers)}
			b.byID[s.ID] = t
			b.servers = append(b.servers, t)
		}
		t.Server = s
	}
}

// step sends what may be sent, else answers.
func (b *baseline) step(p *pending) {
	switch {
	case p.live > 0:
	case p.over:
		delete(b.open, p.ID)
	case len(p.tries) < b.cfg.MaxAttempts && b.now < p.end && b.candidates(p):
		s := b.choose(b, b.from)
		s.inFlight++
		p.live++
		p.tries = append(p.tries, sent{to: s, at: b.now})
		b.emit(balance.Action{Kind: balance.Send, Request: p.ID, Server: s.ID})
	default:
		kind := balance.Fail
		if p.harmless() {
			kind = balance.Reject
		}
		b.emit(balance.Action{Kind: kind, Request: p.ID})
		delete(b.open, p.ID)
	}
}

// harmless: the client may be told to try again.
func (p *pending) harmless() bool {
	if p.class.Idempotency == balance.Idempotent || p.class.Idempotency == balance.IdempotentWithKey && p.class.DeduplicationScope == balance.ScopeAll {
		return true
	}
	return !slices.ContainsFunc(p.tries, func(t sent) bool { return !t.clean })
}

// candidates lists the servers that the rules allow for the next attempt.
func (b *baseline) candidates(p *pending) bool {
	b.from = b.from[:0]
	for _, s := range b.servers {
		if s.State == balance.Ready && b.allowed(p, s) {
			b.from = append(b.from, s)
		}
	}
	return len(b.from) > 0
}

func (b *baseline) allowed(p *pending, s *target) bool {
	for _, t := range p.tries {
		switch {
		case t.to == s:
			return false
		case t.clean || p.class.Idempotency == balance.Idempotent:
		case p.class.Idempotency == balance.NonIdempotent, b.now+b.cfg.ConnectTimeout >= t.at+p.class.IdempotencyWindow,
			p.class.DeduplicationScope == balance.ScopeZone && t.to.Zone != s.Zone, p.class.DeduplicationScope == balance.ScopeCell && t.to.Cell != s.Cell:
			return false
		}
	}
	return true
}
