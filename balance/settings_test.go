package balance

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// TestOtherSettings covers settings that are rare in deployments. Each run checks rules 1 to 3 of the platform's
// protocol.
func TestOtherSettings(t *testing.T) {
	for name, change := range map[string]func(*Config, *int){
		"one server":  func(_ *Config, n *int) { *n = 1 },
		"hundreds":    func(_ *Config, n *int) { *n = 300 },
		"one attempt": func(c *Config, _ *int) { c.MaxAttempts = 1 },
		"no cancels":  func(c *Config, _ *int) { c.AllowCancel, c.AllowParallelAttempts = false, false },
		"streams":     func(c *Config, _ *int) { c.Classes[idempotentClass].Streaming = true },
		"tenants":     func(c *Config, _ *int) { c.Tenants = []Tenant{{Quota: 0.9}, {Quota: 0.1}, {}} },
		"no slow start rules": func(c *Config, _ *int) {
			c.SlowStartDuration, c.OverloadDuration, c.OverloadMultiple, c.SlowStartMinCapacity = 0, 0, 0, 0
		},
		"health checks, no cost": func(c *Config, _ *int) {
			c.AllowHealthChecks, c.LoadReports, c.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{FieldInFlight}
		},
		"health checks, high cost": func(c *Config, _ *int) {
			c.AllowHealthChecks, c.LoadReports, c.Costs.HealthCheck = true, LoadReportHealthCheck, 10
		},
		"health checks, unknown field": func(c *Config, _ *int) {
			c.AllowHealthChecks, c.LoadReports, c.LoadReportFields = true, LoadReportHealthCheck, []LoadReportField{FieldUnknown}
		},
		"piggyback": func(c *Config, _ *int) {
			c.LoadReports, c.LoadReportFields = LoadReportPiggyback, []LoadReportField{FieldUtilization, FieldRequestRate}
		},
		"objectives of zero": func(c *Config, _ *int) {
			c.Classes[idempotentClass].LatencyObjective, c.Classes[nonIdempotentClass].PriorityWeight = 0, 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, n := baseConfig(), 6
			change(&cfg, &n)
			checker := newRuleChecker(t, rand.New(rand.NewSource(7)), cfg)
			list := testServers(n)
			for i := range list {
				checker.servers[list[i].ID], checker.mayReceive[list[i].ID] = &list[i], true
			}
			checker.handle(EndpointUpdate{Kind: UpdateFull, Servers: list})
			sent := 0
			for id := RequestID(1); id <= 400; id++ {
				checker.now += 9
				checker.fireTimers()
				class := int(id) % len(cfg.Classes)
				checker.openRequests[id] = &trackedRequest{class: class, deadline: checker.now + 300}
				checker.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Timeout: 300})
				for len(checker.pendingHealthChecks) > 0 {
					s := checker.pendingHealthChecks[0]
					checker.pendingHealthChecks = checker.pendingHealthChecks[1:]
					checker.handle(HealthCheckResult{Server: s, LoadReport: []float32{1}})
				}
				sent += len(checker.openRequests[id].attempts)
				if id > 2 {
					checker.answerAttempts(id - 2)
				}
			}
			for checker.now += 1000; checker.anyOpen() && len(checker.timers) > 0; checker.now += 1000 {
				checker.fireTimers()
			}
			if checker.anyOpen() || sent < 300 {
				t.Fatalf("unanswered requests: %v; %d of 400 sent", checker.anyOpen(), sent)
			}
		})
	}
}

// answerAttempts answers the attempts in flight of a request.
func (checker *ruleChecker) answerAttempts(id RequestID) {
	o := checker.openRequests[id]
	for i := range o.attempts {
		if a := &o.attempts[i]; a.inFlight {
			a.inFlight, o.answered = false, true
			checker.handle(Outcome{
				Request: id, Attempt: i, Server: a.server.ID, Elapsed: checker.now - a.sentAt, RequestDone: true,
			})
		}
	}
}

// Requests that have ended, servers that were removed and waits for health checks must be released.
func TestMemoryStaysFlat(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), testServers(5)...)
	for i := range 20000 {
		h.actions = h.actions[:0]
		h.now += 5
		id, actions := h.request(idempotentClass)
		actions = append(actions, h.answerHealthChecks(actions, 0, nil)...)
		if _, ok := sentServer(actions); ok {
			h.finishAttempt(id, 0, OK, 5)
		}
		if i%20 == 0 { // a rolling deployment: the server IDs keep changing
			list := testServers(5)
			for k := range list {
				list[k].ID = ServerID(i + k + 1)
			}
			h.handle(EndpointUpdate{Kind: UpdateFull, Servers: list})
		}
	}
	b := h.balancer
	if len(b.requests.open) > 1 || len(b.servers) != 5 || len(b.serversByID) != 5 ||
		len(b.requests.awaitingHealthChecks) > 1 || cap(b.actions) > 100 {
		t.Fatalf("%d requests, %d servers, %d by ID, %d waiting, room for %d actions",
			len(b.requests.open), len(b.servers), len(b.serversByID), len(b.requests.awaitingHealthChecks), cap(b.actions))
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{12, 100, 300} {
		b.Run(fmt.Sprintf("%d-servers", n), func(b *testing.B) {
			balancer := mustNew(b, baseConfig())
			balancer.Start(0)
			if _, err := balancer.Handle(0, EndpointUpdate{Kind: UpdateFull, Servers: testServers(n)}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			now := 0.0
			for i := range b.N {
				now += 5
				id := RequestID(i + 1)
				actions, err := balancer.Handle(now, Request{ID: id, Timeout: 1500})
				if err != nil || len(actions) == 0 {
					b.Fatal(err, actions)
				}
				if actions[0].Kind != Send {
					continue
				}
				if _, err := balancer.Handle(now+4, Outcome{Request: id, Server: actions[0].Server, Elapsed: 4,
					RequestDone: true}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Invalid settings must yield a ConfigError that names the field, never a balancer that misbehaves later.
func TestInvalidConfig(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Classes":                       func(c *Config) { c.Classes = nil },
		"Classes[1].Idempotency":        func(c *Config) { c.Classes[1].Idempotency = 9 },
		"Classes[1].DeduplicationScope": func(c *Config) { c.Classes[1].DeduplicationScope = 9 },
		"Classes[0].PriorityWeight":     func(c *Config) { c.Classes[0].PriorityWeight = math.NaN() },
		"Classes[2].IdempotencyWindow":  func(c *Config) { c.Classes[2].IdempotencyWindow = -1 },
		"Classes[0].Deadline":           func(c *Config) { c.Classes[0].Deadline = 0 },
		"Classes[0].LatencyObjective":   func(c *Config) { c.Classes[0].LatencyObjective = math.Inf(1) },
		"SlowStartDuration":             func(c *Config) { c.SlowStartDuration = -1 },
		"MaxAttempts":                   func(c *Config) { c.MaxAttempts = -1 },
		"OverloadDuration":              func(c *Config) { c.OverloadDuration = math.Inf(1) },
		"Costs.CrossZone":               func(c *Config) { c.Costs.CrossZone = -0.1 },
		"Tenants[0].QuotaRate":          func(c *Config) { c.Tenants = []Tenant{{QuotaRate: -1}} },
	} {
		cfg := baseConfig()
		invalidate(&cfg)
		b, err := New(cfg)
		var invalid *ConfigError
		if b != nil || !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("%s: balancer %v, error %v", field, b != nil, err)
		}
	}
}
