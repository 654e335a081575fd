package lab

import "testing"

const testExperiment = `name = "tiny"
duration_s = 5
[sidecars]
count = 2
[[server]]
kind = "k"
count = 2
cores = 2
speed = 2
queue = 3
cold_from = 0.25
cold_s = 10
choke_at = 1
choke_for_ms = 100
choke_slower = 4
choke_idle_ms = 500
warm_gain = 0.5
warm_ms = 1000
warm_keys = 2
[[class]]
name = "read"
work_ms = 10
aim_ms = 100
deadline_ms = 200
effect = "safe"
[[class]]
name = "pay"
work_ms = 10
aim_ms = 100
deadline_ms = 200
effect = "keyed"
window_ms = 1000
[[phase]]
rate = 10
`

func newTestPlan(t *testing.T) *Plan {
	t.Helper()
	experiment, err := Parse("tiny.toml", []byte(testExperiment))
	if err != nil {
		t.Fatal(err)
	}
	return experiment.NewPlan(1)
}

// TestCheckerRules passes observations of clients and servers to a checker. It covers the violations that no sidecar can cause
// in a simulation, and the limits of the other rules.
func TestCheckerRules(t *testing.T) {
	const slack = 50
	for _, c := range []struct {
		name    string
		rule    Rule // that is violated once; "": none is
		observe func(checker *Checker)
		sentAt  float64 // when the client sent request 1
	}{
		{"a response in time", "", func(checker *Checker) {
			checker.ResponseProduced(90, 1, 0)
			checker.ResponseReceived(100, 1, OutcomeServed, 1, 0)
		}, 0},
		{"a response to another request", RuleForeignResponse, func(checker *Checker) {
			checker.ResponseProduced(90, 1, 0)
			checker.ResponseReceived(100, 1, OutcomeServed, 2, 0)
		}, 0},
		{"a response that no server produced", RuleForeignResponse, func(checker *Checker) { checker.ResponseReceived(100, 1, OutcomeServed, 1, 0) }, 0},
		{"a second response", RuleSingleResponse, func(checker *Checker) {
			checker.ResponseReceived(100, 1, OutcomeRejected, 0, -1)
			checker.ResponseReceived(110, 1, OutcomeRejected, 0, -1)
		}, 0},
		{"a response within the slack", "", func(checker *Checker) { checker.ResponseReceived(269, 1, OutcomeFailed, 0, -1) }, 0},
		{"a response after the slack", RuleSingleResponse, func(checker *Checker) { checker.ResponseReceived(271, 1, OutcomeFailed, 0, -1) }, 0},
		{"a late response while the machine was late", "", func(checker *Checker) {
			checker.ExcuseAll(150, 400)
			checker.ResponseReceived(380, 1, OutcomeFailed, 0, -1)
		}, 0},
		{"a closed connection", RuleSingleResponse, func(checker *Checker) { checker.RequestUnanswered(100, 1, OutcomeUnreachable) }, 0},
		{"a closed connection of a killed sidecar", "", func(checker *Checker) {
			checker.ExcuseSidecar(0, 99, 101)
			checker.RequestUnanswered(100, 1, OutcomeUnreachable)
		}, 0},
		{"a client that disconnected", "", func(checker *Checker) { checker.ClientDisconnected(100, 1); checker.Finish(1000) }, 0},
		{"no response by the end", RuleSingleResponse, func(checker *Checker) { checker.Finish(1000) }, 0},
		{"a close that crossed the request", "", func(checker *Checker) {
			if !checker.ConnectionClosed(100, 1) {
				panic("the request may not be resent, although no server received it")
			}
		}, 0},
		{"a request that no client sent", RuleUnknownRequest, func(checker *Checker) {
			checker.AttemptReceived(10, 10, 99, 1, 0, 0)
			checker.ClientDisconnected(10, 1)
		}, 0},
		{"two attempts within the slack", "", func(checker *Checker) {
			checker.AttemptReceived(10, 10, 1, 1, 0, 0)
			checker.AttemptReceived(60, 60, 1, 2, 0, 1)
			checker.AttemptEnded(105, 1, 1, "closed")
			checker.ClientDisconnected(110, 1)
		}, 0},
		{"two attempts at the same time", RuleParallelAttempts, func(checker *Checker) {
			checker.AttemptReceived(10, 10, 1, 1, 0, 0)
			checker.AttemptReceived(20, 20, 1, 2, 0, 1)
			checker.AttemptEnded(105, 1, 1, "closed")
			checker.ClientDisconnected(110, 1)
		}, 0},
		{"an attempt within the grace", "", func(checker *Checker) {
			checker.EndpointNotified(0, 0, 1, false)
			checker.EndpointNotified(700, 0, 1, false) // a repeat: the grace starts at the first notification
			checker.AttemptReceived(799, 799, 1, 1, 0, 1)
			checker.ResponseReceived(799, 1, OutcomeFailed, 0, -1)
		}, 700},
		{"an attempt after the grace", RuleDraining, func(checker *Checker) {
			checker.EndpointNotified(0, 0, 1, false)
			checker.AttemptReceived(801, 801, 1, 1, 0, 1)
			checker.ClientDisconnected(801, 1)
		}, 700},
		{"an attempt at a server that is ready again", "", func(checker *Checker) {
			checker.EndpointNotified(0, 0, 1, false)
			checker.EndpointNotified(10, 0, 1, true)
			checker.AttemptReceived(801, 801, 1, 1, 0, 1)
			checker.ClientDisconnected(100, 1)
		}, 0},
		{"a crash", RuleSidecarCrash, func(checker *Checker) { checker.SidecarCrashed(10, 0, "status 2"); checker.ClientDisconnected(10, 1) }, 0},
		{"a warming-up server overloaded by sidecars that did not know of its start", "", func(checker *Checker) {
			checker.ServerOverloaded(10, 0, &SlowStartOverload{WorkMS: 9, BudgetMS: 8, InformedShare: 0.5})
			checker.ClientDisconnected(10, 1)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := NewChecker(newTestPlan(t), slack)
			checker.RequestSent(c.sentAt, 1, 0, 0, 200)
			c.observe(checker)
			counts, violations := checker.Violations()
			switch {
			case c.rule == "" && len(violations) > 0:
				t.Errorf("violations %+v, want none", violations)
			case c.rule != "" && (counts[c.rule] != 1 || len(counts) != 1):
				t.Errorf("violations %v, want one of %s", counts, c.rule)
			}
		})
	}
}

func TestOverloadedRunDiscountsViolations(t *testing.T) {
	for _, c := range []struct {
		lateness    float64
		skippedLate int
		want        bool
	}{{1, 0, false}, {1, 4, false}, {30, 0, true}, {1, 50, true}} {
		result := Result{Counts: Counts{Requests: 1000, SkippedLate: c.skippedLate}, Lateness: c.lateness, ViolationCount: 7}
		result.discountIfOverloaded()
		if result.Overloaded != c.want || (result.ViolationCount == 0) != c.want || result.ViolationCount+result.DiscountedViolations != 7 {
			t.Errorf("%+v: %+v", c, result)
		}
	}
}

func TestCheckerExpiresHistories(t *testing.T) {
	checker := NewChecker(newTestPlan(t), 50)
	for id := range uint64(100_000) {
		now := float64(id) * 10
		checker.RequestSent(now, id, 0, 0, 200)
		checker.ResponseReceived(now+5, id, OutcomeFailed, 0, -1)
	}
	if n := len(checker.histories); n > 1000 {
		t.Errorf("%d histories are retained, want at most 1000", n)
	}
}
