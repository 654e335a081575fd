package balance

import "testing"

// checkSend must count each send that violates a rule. The policy files never cause one, so the test calls checkSend.
func TestSendsAgainstTheRulesAreCounted(t *testing.T) {
	for name, test := range map[string]struct {
		idempotency Idempotency
		scope       DeduplicationScope
		change      func(*Balancer, *request, *server)
		want        Violations
	}{
		"a first attempt": {NonIdempotent, ScopeAll, func(*Balancer, *request, *server) {}, Violations{}},
		"an attempt in flight": {Idempotent, ScopeAll, func(_ *Balancer, r *request, s *server) {
			r.attempts, r.inFlight = []attempt{{server: s, inFlight: true}}, 1
		}, Violations{SecondAttempt: 1}},
		"a repeat that is forbidden": {NonIdempotent, ScopeAll, func(_ *Balancer, r *request, s *server) {
			r.attempts = []attempt{{server: s}}
		}, Violations{Repeated: 1}},
		"a repeat of what was never executed": {NonIdempotent, ScopeAll, func(_ *Balancer, r *request, s *server) {
			r.attempts = []attempt{{server: s, neverExecuted: true}}
		}, Violations{}},
		"another zone": {IdempotentWithKey, ScopeZone, func(_ *Balancer, r *request, _ *server) {
			r.attempts = []attempt{{server: &server{Server: Server{Zone: 7}}}}
		}, Violations{Repeated: 1}},
		"another cell": {IdempotentWithKey, ScopeCell, func(_ *Balancer, r *request, _ *server) {
			r.attempts = []attempt{{server: &server{Server: Server{Cell: 7}}}}
		}, Violations{Repeated: 1}},
		"a window that is over": {IdempotentWithKey, ScopeAll, func(b *Balancer, r *request, s *server) {
			r.attempts = []attempt{{server: s, sentAt: b.now - r.class.IdempotencyWindow}}
		}, Violations{Repeated: 1}},
		"a draining server": {Idempotent, ScopeAll, func(_ *Balancer, _ *request, s *server) {
			s.State = Draining
		}, Violations{NotReady: 1}},
		"slow start without a token": {Idempotent, ScopeAll, func(b *Balancer, _ *request, s *server) {
			b.beginSlowStart(s, b.now)
			s.slowStart.tokens = 0.5
		}, Violations{SlowStartBudgetExceeded: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			config := baseConfig()
			config.SlowStartDuration, config.AllowParallelAttempts = 1000, false
			b := mustNew(t, config)
			b.now = 1e6
			class := config.Classes[0]
			class.Idempotency, class.DeduplicationScope, class.IdempotencyWindow = test.idempotency, test.scope, 500
			r, s := &request{class: &class}, b.newServer()
			test.change(b, r, s)
			b.checkSend(r, s)
			if got := b.Violations(); got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}
