package balance

import (
	"cmp"
	"slices"
	"testing"
)

// harness drives one balancer with a script of events and records its actions.
type harness struct {
	t        *testing.T
	balancer *Balancer
	now      float64
	actions  []Action
	lastID   RequestID
}

// baseConfig has one class for each idempotency and deduplication scope. The constants below are their indices.
func baseConfig() Config {
	withKey := func(scope DeduplicationScope) Class {
		return Class{
			Idempotency: IdempotentWithKey, DeduplicationScope: scope, IdempotencyWindow: 1200,
			LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3,
		}
	}
	return Config{
		Seed: 1, SidecarCount: 3, EventInterval: 4, PollInterval: 10000, DrainGracePeriod: 2000, AnswerGracePeriod: 16,
		MaxAttempts: 4, AllowParallelAttempts: true, AllowCancel: true, SendRetryAfter: true, MaxRetryAfter: 1000,
		SlowStartMinCapacity: 0.2, SlowStartDuration: 20000, OverloadMultiple: 2.5, OverloadDuration: 1000,
		Classes: []Class{
			idempotentClass:    {Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1},
			nonIdempotentClass: {Idempotency: NonIdempotent, LatencyObjective: 300, Deadline: 600, PriorityWeight: 5},
			cellScopeClass:     withKey(ScopeCell),
			allScopeClass:      withKey(ScopeAll),
			zoneScopeClass:     withKey(ScopeZone),
		},
	}
}

const (
	idempotentClass = iota
	nonIdempotentClass
	cellScopeClass
	allScopeClass
	zoneScopeClass
)

func newHarness(t *testing.T, cfg Config, servers ...Server) *harness {
	h := &harness{t: t, balancer: mustNew(t, cfg), now: 1000}
	h.actions = append(h.actions, h.balancer.Start(h.now)...)
	h.handle(EndpointUpdate{Kind: UpdateCached, Servers: servers})
	for _, s := range h.balancer.servers {
		s.round.runningWeight, s.rank = 0, float64(s.ID) // random initial weights and ranks would obscure the sequence
	}
	h.balancer.sortServers()
	return h
}

// sortServers restores the order by rank after a test has changed ranks.
func (b *Balancer) sortServers() {
	slices.SortFunc(b.servers, func(s, t *server) int { return cmp.Compare(s.rank, t.rank) })
}

func mustNew(t testing.TB, cfg Config) *Balancer {
	t.Helper()
	b, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// testServers returns n equal servers with IDs from 1, two per cell and four per zone.
func testServers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), RelativeCapacity: 1, Cell: i / 2, Zone: i / 4}
	}
	return list
}

func (h *harness) handle(ev Event) []Action {
	h.t.Helper()
	actions, err := h.balancer.Handle(h.now, ev)
	if err != nil {
		h.t.Fatalf("%#v: %v", ev, err)
	}
	actions = append([]Action(nil), actions...)
	h.actions = append(h.actions, actions...)
	return actions
}

// request sends a request to the balancer and returns its ID with the actions.
func (h *harness) request(class int) (RequestID, []Action) {
	h.t.Helper()
	h.lastID++
	return h.lastID, h.handle(Request{ID: h.lastID, Class: class, Timeout: h.balancer.config.Classes[class].Deadline})
}

// finishAttempt ends an attempt with a result.
func (h *harness) finishAttempt(id RequestID, attempt int, result Result, took float64) []Action {
	h.t.Helper()
	s := h.balancer.requests.open[id].attempts[attempt].server
	done := result == OK || h.balancer.requests.open[id].finished
	return h.handle(Outcome{Request: id, Attempt: attempt, Server: s.ID, Result: result, Elapsed: took, RequestDone: done})
}

func sentServer(actions []Action) (ServerID, bool) {
	for _, a := range actions {
		if a.Kind == Send {
			return a.Server, true
		}
	}
	return 0, false
}

func hasAction(actions []Action, kind ActionKind) bool {
	for _, a := range actions {
		if a.Kind == kind {
			return true
		}
	}
	return false
}
