package lab

import (
	"strings"
	"testing"
)

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
	f, err := Parse("tiny.toml", []byte(testExperiment))
	if err != nil {
		t.Fatal(err)
	}
	return f.NewPlan(1)
}

// What clients and servers saw, told to the judge by hand: those rules that no instance of the module can break
// in sim, and the limits of the others.
func TestCheckerRules(t *testing.T) {
	const slack = 50
	for _, c := range []struct {
		name string
		rule Rule // "": nothing is broken
		tell func(j *Checker)
	}{
		{"an answer in time", "", func(j *Checker) {
			j.ResponseProduced(90, 1, 0)
			j.ResponseReceived(100, 1, OutcomeServed, 1, 0)
		}},
		{"an answer made for another request", RuleForeignResponse, func(j *Checker) {
			j.ResponseProduced(90, 1, 0)
			j.ResponseReceived(100, 1, OutcomeServed, 2, 0)
		}},
		{"an answer that no server made", RuleForeignResponse, func(j *Checker) { j.ResponseReceived(100, 1, OutcomeServed, 1, 0) }},
		{"a second answer", RuleSingleResponse, func(j *Checker) {
			j.ResponseReceived(100, 1, OutcomeRejected, 0, -1)
			j.ResponseReceived(110, 1, OutcomeRejected, 0, -1)
		}},
		{"an answer within the slack", "", func(j *Checker) { j.ResponseReceived(269, 1, OutcomeFailed, 0, -1) }},
		{"an answer past the slack", RuleSingleResponse, func(j *Checker) { j.ResponseReceived(271, 1, OutcomeFailed, 0, -1) }},
		{"a late answer while the lab was late", "", func(j *Checker) {
			j.ExcuseAll(150, 400)
			j.ResponseReceived(380, 1, OutcomeFailed, 0, -1)
		}},
		{"a closed connection", RuleSingleResponse, func(j *Checker) { j.RequestUnanswered(100, 1, OutcomeUnreachable) }},
		{"a closed connection of a killed sidecar", "", func(j *Checker) {
			j.ExcuseSidecar(0, 99, 101)
			j.RequestUnanswered(100, 1, OutcomeUnreachable)
		}},
		{"a client that left", "", func(j *Checker) { j.ClientDisconnected(100, 1); j.Finish(1000) }},
		{"no answer by the end", RuleSingleResponse, func(j *Checker) { j.Finish(1000) }},
		{"a close that crossed the request", "", func(j *Checker) {
			if !j.ConnectionClosed(100, 1) {
				panic("a server has not seen it")
			}
		}},
		{"a request that no client sent", RuleUnknownRequest, func(j *Checker) {
			j.AttemptReceived(10, 10, 99, 1, 0, 0)
			j.ClientDisconnected(10, 1)
		}},
		{"two attempts within the slack", "", func(j *Checker) {
			j.AttemptReceived(10, 10, 1, 1, 0, 0)
			j.AttemptReceived(60, 60, 1, 2, 0, 1)
			j.AttemptEnded(105, 1, 1, "closed")
			j.ClientDisconnected(110, 1)
		}},
		{"two attempts at once", RuleParallelAttempts, func(j *Checker) {
			j.AttemptReceived(10, 10, 1, 1, 0, 0)
			j.AttemptReceived(20, 20, 1, 2, 0, 1)
			j.AttemptEnded(105, 1, 1, "closed")
			j.ClientDisconnected(110, 1)
		}},
		{"a send within the grace", "", func(j *Checker) {
			j.EndpointNotified(0, 0, 1, false)
			j.EndpointNotified(700, 0, 1, false) // told again: the first time counts
			j.AttemptReceived(799, 799, 1, 1, 0, 1)
			j.ResponseReceived(799, 1, OutcomeFailed, 0, -1)
		}},
		{"a send past the grace", RuleDraining, func(j *Checker) {
			j.EndpointNotified(0, 0, 1, false)
			j.AttemptReceived(801, 801, 1, 1, 0, 1)
			j.ClientDisconnected(801, 1)
		}},
		{"a send to a server that is back", "", func(j *Checker) {
			j.EndpointNotified(0, 0, 1, false)
			j.EndpointNotified(10, 0, 1, true)
			j.AttemptReceived(801, 801, 1, 1, 0, 1)
			j.ClientDisconnected(100, 1)
		}},
		{"a crash", RuleSidecarCrash, func(j *Checker) { j.SidecarCrashed(10, 0, "status 2"); j.ClientDisconnected(10, 1) }},
		{"a cold server pushed over by those who did not know", "", func(j *Checker) {
			j.ServerOverloaded(10, 0, &SlowStartOverload{WorkMS: 9, BudgetMS: 8, InformedShare: 0.5})
			j.ClientDisconnected(10, 1)
		}},
	} {
		j := NewChecker(newTestPlan(t), slack)
		class := 0
		j.RequestSent(0, 1, 0, class, 200)
		if c.name == "a send within the grace" || strings.HasPrefix(c.name, "a send past") {
			j = NewChecker(newTestPlan(t), slack)
			j.RequestSent(700, 1, 0, class, 200)
		}
		c.tell(j)
		counts, broken := j.Violations()
		switch {
		case c.rule == "" && len(broken) > 0:
			t.Errorf("%s: broken %+v", c.name, broken)
		case c.rule != "" && (counts[c.rule] != 1 || len(counts) != 1):
			t.Errorf("%s: broken %v, want %s once", c.name, counts, c.rule)
		}
	}
}

func TestOverloadedRunDiscountsViolations(t *testing.T) {
	for _, c := range []struct {
		lateness float64
		labLate  int
		want     bool
	}{{1, 0, false}, {1, 4, false}, {30, 0, true}, {1, 50, true}} {
		r := Result{Counts: Counts{Requests: 1000, SentTooLate: c.labLate}, Lateness: c.lateness, ViolationCount: 7}
		r.discountIfOverloaded()
		if r.Overloaded != c.want || (r.ViolationCount == 0) != c.want || r.ViolationCount+r.DiscountedViolations != 7 {
			t.Errorf("%+v: %+v", c, r)
		}
	}
}

func TestCheckerExpiresHistories(t *testing.T) {
	j := NewChecker(newTestPlan(t), 50)
	for id := range uint64(100_000) {
		now := float64(id) * 10
		j.RequestSent(now, id, 0, 0, 200)
		j.ResponseReceived(now+5, id, OutcomeFailed, 0, -1)
	}
	if n := len(j.histories); n > 1000 {
		t.Errorf("%d stories are kept", n)
	}
}

// completions are the times at which a server's jobs end.
func completions(s *Server, until float64) map[int64]JobCompletion {
	out := map[int64]JobCompletion{}
	s.Advance(until, func(e JobCompletion) { out[e.Attempt] = e })
	return out
}

func TestServerModel(t *testing.T) {
	p := newTestPlan(t)
	p.Servers[0].Speed, p.Servers[0].SlowStartMS = 2, 10000
	job := func(n int64, work float64) Job { return Job{Attempt: n, Request: uint64(n), WorkMS: work} }

	s := NewServer(p, 0, NewMemoryEffectStore())
	for n := int64(1); n <= 6; n++ { // two cores, three places to wait
		if taken, _ := s.Offer(0, job(n, 20)); taken != (n <= 5) {
			t.Errorf("request %d taken: %v", n, taken)
		}
	}
	got := completions(s, 1000)
	for n, want := range map[int64]float64{1: 10, 2: 10, 3: 20, 4: 20, 5: 30} {
		if got[n].At != want {
			t.Errorf("request %d ends at %v, want %v", n, got[n].At, want)
		}
	}

	s = NewServer(p, 0, NewMemoryEffectStore())
	warm := func(n int64, now float64, key uint64) float64 {
		s.Offer(now, Job{Attempt: n, Request: uint64(n), WorkMS: 20, Key: key})
		return completions(s, now+50)[n].At - now
	}
	if a, b, c := warm(1, 0, 7), warm(2, 100, 7), warm(3, 2000, 7); a != 10 || b != 5 || c != 10 {
		t.Errorf("a key takes %v, warm %v, forgotten %v ms", a, b, c)
	}

	s = NewServer(p, 0, NewMemoryEffectStore())
	s.Start(0, true)
	s.Offer(0, job(1, 20))
	if at := completions(s, 1000)[1].At; at != 40 {
		t.Errorf("cold work ends at %v, want a quarter of the speed: 40", at)
	}
	var fall *SlowStartOverload
	for n := int64(2); n < 1000 && fall == nil; n++ {
		j := job(n, 20)
		j.SenderInformed = true
		_, fall = s.Offer(1000, j)
	}
	if fall == nil || !s.Overloaded() || fall.InformedShare < 0.9 {
		t.Errorf("a flood does not push a cold server over: %+v", fall)
	}

	s = NewServer(p, 0, NewMemoryEffectStore())
	for n := int64(1); n <= 5; n++ {
		s.Offer(0, job(n, 1000))
	}
	s.Advance(150, func(JobCompletion) {})
	if !s.Congested(150) {
		t.Error("three that wait for two cores for 150 ms do not choke it")
	}
	if completions(s, 1e6); s.Congested(1e6) {
		t.Error("it is still choked long after all work is done")
	}

	stores := NewMemoryEffectStore()
	one, two := NewServer(p, 0, stores), NewServer(p, 1, stores)
	pay := Job{Attempt: 1, Request: 1, Class: 1, EffectID: 42, WorkMS: 10}
	one.Offer(0, pay)
	pay.Attempt = 2
	two.Offer(100, pay)
	if a, b := completions(one, 50)[1], completions(two, 200)[2]; !a.EffectApplied || b.EffectApplied {
		t.Errorf("effects %v and %v, want one: both servers share the memory", a.EffectApplied, b.EffectApplied)
	}
	pay.Attempt = 3
	two.Offer(1500, pay)
	if !completions(two, 2000)[3].EffectApplied {
		t.Error("past its window the effect is still remembered")
	}
}
