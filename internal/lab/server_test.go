package lab

import "testing"

// completions advances a server to a time, and returns the jobs that have ended, by attempt.
func completions(server *Server, until float64) map[int64]JobCompletion {
	byAttempt := map[int64]JobCompletion{}
	server.Advance(until, func(completion JobCompletion) { byAttempt[completion.Attempt] = completion })
	return byAttempt
}

// newServerPlan returns a plan whose first server has twice the standard speed and a slow start of ten seconds. It has two
// cores, a queue of three and an initial share of a quarter in the slow start.
func newServerPlan(t *testing.T) *Plan {
	t.Helper()
	plan := newTestPlan(t)
	plan.Servers[0].Speed, plan.Servers[0].SlowStartMS = 2, 10000
	return plan
}

func newJob(attempt int64, work float64) Job {
	return Job{Attempt: attempt, Request: uint64(attempt), WorkMS: work}
}

func TestServerQueue(t *testing.T) {
	server := NewServer(newServerPlan(t), 0, NewMemoryEffectStore())
	for n := int64(1); n <= 6; n++ {
		if accepted, _ := server.Offer(0, newJob(n, 20)); accepted != (n <= 5) {
			t.Errorf("request %d accepted: %v", n, accepted)
		}
	}
	got := completions(server, 1000)
	for n, want := range map[int64]float64{1: 10, 2: 10, 3: 20, 4: 20, 5: 30} {
		if got[n].At != want {
			t.Errorf("request %d ends at %v, want %v", n, got[n].At, want)
		}
	}
}

func TestServerCache(t *testing.T) {
	server := NewServer(newServerPlan(t), 0, NewMemoryEffectStore())
	duration := func(n int64, now float64, key uint64) float64 {
		server.Offer(now, Job{Attempt: n, Request: uint64(n), WorkMS: 20, Key: key})
		return completions(server, now+50)[n].At - now
	}
	miss, hit, expired := duration(1, 0, 7), duration(2, 100, 7), duration(3, 2000, 7)
	if miss != 10 || hit != 5 || expired != 10 {
		t.Errorf("a miss takes %v, a hit %v, after expiry %v ms, want 10, 5, 10", miss, hit, expired)
	}
}

func TestServerSlowStart(t *testing.T) {
	server := NewServer(newServerPlan(t), 0, NewMemoryEffectStore())
	server.Start(0, true)
	server.Offer(0, newJob(1, 20))
	if at := completions(server, 1000)[1].At; at != 40 {
		t.Errorf("a job ends at %v, want a quarter of the speed: 40", at)
	}
	var overload *SlowStartOverload
	for n := int64(2); n < 1000 && overload == nil; n++ {
		job := newJob(n, 20)
		job.SenderInformed = true
		_, overload = server.Offer(1000, job)
	}
	if overload == nil || !server.Overloaded() || overload.InformedShare < 0.9 {
		t.Errorf("a warming-up server is not overloaded by a flood: %+v", overload)
	}
}

func TestServerCongestion(t *testing.T) {
	server := NewServer(newServerPlan(t), 0, NewMemoryEffectStore())
	for n := int64(1); n <= 5; n++ {
		server.Offer(0, newJob(n, 1000))
	}
	server.Advance(150, func(JobCompletion) {})
	if !server.Congested(150) {
		t.Error("the server is not congested after three jobs have waited for two cores for 150 ms")
	}
	if completions(server, 1e6); server.Congested(1e6) {
		t.Error("the server is still congested long after all work is done")
	}
}

func TestServerDeduplication(t *testing.T) {
	plan := newServerPlan(t)
	effects := NewMemoryEffectStore()
	first, second := NewServer(plan, 0, effects), NewServer(plan, 1, effects)
	payment := Job{Attempt: 1, Request: 1, Class: 1, EffectID: 42, WorkMS: 10}
	first.Offer(0, payment)
	payment.Attempt = 2
	second.Offer(100, payment)
	if a, b := completions(first, 50)[1], completions(second, 200)[2]; !a.EffectApplied || b.EffectApplied {
		t.Errorf("effects %v and %v, want one: both servers are in one scope", a.EffectApplied, b.EffectApplied)
	}
	payment.Attempt = 3
	second.Offer(1500, payment)
	if !completions(second, 2000)[3].EffectApplied {
		t.Error("the effect is still recognised after its window")
	}
}
