package sidecar

import "milldeck/balance"

// invariant is a rule that must hold for any order of events. Checks at run time are separate from the code that ensures
// the rule, so a violation is a bug. docs/promises.md lists the promise behind each invariant.
type invariant uint8

const (
	invariantOneAttempt             invariant = iota // a request never has two attempts in flight
	invariantNoRepeat                                // a request that may have been executed is retried only as its class allows
	invariantNothingAfterAnswer                      // an answered request is not sent
	invariantNothingAfterDisconnect                  // no request of a disconnected client is sent
	invariantTimeoutPassedOn                         // the timeout sent to a server does not exceed the client's remaining time
	invariantNothingAfterDrain                       // nothing is sent to a server that discovery has withdrawn
	invariantSlowStartBudget                         // a server in slow start gets no attempt without a token
	invariantEveryRequestAnswered                    // a connection is not closed before a request that was read is answered
	invariantCount
)

var invariantNames = [invariantCount]string{
	"one_attempt", "no_repeat", "nothing_after_answer", "nothing_after_disconnect", "timeout_passed", "nothing_after_drain",
	"slow_start_budget", "every_request_answered",
}

// String returns the name of the invariant in logs.
func (i invariant) String() string { return invariantNames[i] }

// recordBalancerViolations records the violations that the balancer has found in its own actions, by the difference between
// two readings of its counts.
func (m *monitor) recordBalancerViolations(previous, current balance.Violations) {
	for _, found := range []struct {
		rule  invariant
		count int
	}{
		{invariantOneAttempt, current.SecondAttempt - previous.SecondAttempt},
		{invariantNoRepeat, current.Repeated - previous.Repeated},
		{invariantNothingAfterDrain, current.NotReady - previous.NotReady},
		{invariantSlowStartBudget, current.SlowStartBudgetExceeded - previous.SlowStartBudgetExceeded},
	} {
		for range found.count {
			m.recordViolation(found.rule, "found_by", "balancer")
		}
	}
}
