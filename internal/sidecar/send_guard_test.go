package sidecar

import (
	"errors"
	"testing"
	"time"

	"milldeck/balance"
)

// The guard rejects each decision of the balancer that violates an invariant, and records the violation.
func TestGuardRejectsInvariantViolations(t *testing.T) {
	for name, test := range map[string]struct {
		idempotency balance.Idempotency
		scope       balance.DeduplicationScope
		earlier     func(earlier *attempt)
		want        error
		rule        invariant
	}{
		"another attempt is in flight": {balance.Idempotent, balance.ScopeAll, func(earlier *attempt) {
			earlier.ended = false
			earlier.fullyWritten.Store(true)
		}, errInvariantViolation, invariantOneAttempt},
		"a non-idempotent request may have been executed": {balance.NonIdempotent, balance.ScopeAll, func(*attempt) {}, errInvariantViolation, invariantNoRepeat},
		"the key is not known in another zone":            {balance.IdempotentWithKey, balance.ScopeZone, func(earlier *attempt) { earlier.upstream.zone = "b" }, errInvariantViolation, invariantNoRepeat},
		"the key is not known in another cell":            {balance.IdempotentWithKey, balance.ScopeCell, func(earlier *attempt) { earlier.upstream.cell = 2 }, errInvariantViolation, invariantNoRepeat},
		"the key is known in the zone":                    {balance.IdempotentWithKey, balance.ScopeZone, func(earlier *attempt) { earlier.upstream.cell = 2 }, nil, 0},
		"the key is known to all":                         {balance.IdempotentWithKey, balance.ScopeAll, func(earlier *attempt) { earlier.upstream.zone = "b" }, nil, 0},
		"an idempotent request":                           {balance.Idempotent, balance.ScopeAll, func(earlier *attempt) { earlier.upstream.zone = "b" }, nil, 0},
		"it was never executed":                           {balance.NonIdempotent, balance.ScopeAll, func(earlier *attempt) { earlier.mayHaveExecuted = false }, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			guard := sendGuard{&monitor{}}
			request := &call{deadline: time.Now().Add(testTimeout), class: &balance.Class{Idempotency: test.idempotency, DeduplicationScope: test.scope}}
			earlier := &attempt{call: request, upstream: &upstreamHost{zone: "a", cell: 1}, ended: true, mayHaveExecuted: true}
			test.earlier(earlier)
			request.startedAttempts = []*attempt{earlier}
			next := &attempt{call: request, number: 1, upstream: &upstreamHost{zone: "a", cell: 1}, deadline: request.deadline}
			err := guard.admit(next, time.Now())
			if !errors.Is(err, test.want) || err != nil && !errors.Is(err, errObsolete) {
				t.Errorf("admitted with %v, want %v", err, test.want)
			}
			violations := guard.monitor.violations[test.rule].Load()
			if total := guard.monitor.totalViolations(); (violations == 1) != (test.want != nil) || total != violations && test.want != nil {
				t.Errorf("%d violations of %v, %d in all", violations, test.rule, total)
			}
		})
	}
}

// A request that was written with too long a timeout, or after its response, is recorded as a violation.
func TestGuardCountsViolationsAfterWrite(t *testing.T) {
	guard := sendGuard{&monitor{}}
	request := &call{deadline: time.Now().Add(time.Second)}
	written := &attempt{call: request, startedAt: time.Now()}
	guard.checkWritten(written, time.Second, time.Now())
	if got := guard.monitor.totalViolations(); got != 0 {
		t.Fatalf("%d violations of an attempt that violates nothing", got)
	}
	guard.checkWritten(written, time.Second+2*timeoutSlack, time.Now())
	request.responded.Store(true)
	guard.checkWritten(written, 0, time.Now())
	for _, rule := range []invariant{invariantTimeoutPassedOn, invariantNothingAfterAnswer} {
		if got := guard.monitor.violations[rule].Load(); got != 1 {
			t.Errorf("%d violations of %v, want 1", got, rule)
		}
	}
}
