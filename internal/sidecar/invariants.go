package sidecar

import "milldeck/balance"

// invariant is a rule that must hold whatever events meet. It is checked at run time, apart from the code that is meant to
// keep it: a violation is a bug. docs/promises.md names the promise behind each.
type invariant uint8

const (
	invariantOneAttempt             invariant = iota // two attempts of a request are never out at once
	invariantNoRepeat                                // what may have been executed is sent again only as its class allows
	invariantNothingAfterAnswer                      // an answered request is not sent
	invariantNothingAfterDisconnect                  // nothing is sent for a client that has gone
	invariantTimeoutPassedOn                         // a server is told no more time than the client has left
	invariantNothingAfterDrain                       // nothing is sent to a server that discovery has withdrawn
	invariantSlowStartBudget                         // a server in slow start gets no attempt without a token
	invariantEveryRequestAnswered                    // a connection is not closed over a request that was read
	invariantCount
)

var invariantNames = [invariantCount]string{
	"one_attempt", "no_repeat", "nothing_after_answer", "nothing_after_disconnect", "timeout_passed", "nothing_after_drain",
	"slow_start_budget", "every_request_answered",
}

// String returns the name under which a violation is logged.
func (i invariant) String() string { return invariantNames[i] }

// recordBalancerViolations counts the violations that the balancer has found in its own actions since the previous call, whose
// counts are given.
func (m *monitor) recordBalancerViolations(previous, current balance.Violations) {
	for _, found := range []struct {
		rule  invariant
		count int
	}{
		{invariantOneAttempt, current.SecondAttempt - previous.SecondAttempt},
		{invariantNoRepeat, current.Repeated - previous.Repeated},
		{invariantNothingAfterDrain, current.NotReady - previous.NotReady},
		{invariantSlowStartBudget, current.SlowStartOverdraw - previous.SlowStartOverdraw},
	} {
		for range found.count {
			m.recordViolation(found.rule, "found_by", "balancer")
		}
	}
}
