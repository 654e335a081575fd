package lab

import (
	"strings"
	"testing"
)

const tiny = `name = "tiny"
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

func tinyPlan(t *testing.T) *Plan {
	t.Helper()
	f, err := Parse("tiny.toml", []byte(tiny))
	if err != nil {
		t.Fatal(err)
	}
	return f.Draw(1)
}

// What clients and servers saw, told to the judge by hand: those rules that no instance of the module can break
// in sim, and the limits of the others.
func TestJudgeByHand(t *testing.T) {
	const slack = 50
	for _, c := range []struct {
		name string
		rule Rule // "": nothing is broken
		tell func(j *Judge)
	}{
		{"an answer in time", "", func(j *Judge) {
			j.Made(90, 1, 0)
			j.Answered(100, 1, Got, 1, 0)
		}},
		{"an answer made for another request", RuleForeign, func(j *Judge) {
			j.Made(90, 1, 0)
			j.Answered(100, 1, Got, 2, 0)
		}},
		{"an answer that no server made", RuleForeign, func(j *Judge) { j.Answered(100, 1, Got, 1, 0) }},
		{"a second answer", RuleAnswer, func(j *Judge) {
			j.Answered(100, 1, Refusal, 0, -1)
			j.Answered(110, 1, Refusal, 0, -1)
		}},
		{"an answer within the slack", "", func(j *Judge) { j.Answered(269, 1, Failure, 0, -1) }},
		{"an answer past the slack", RuleAnswer, func(j *Judge) { j.Answered(271, 1, Failure, 0, -1) }},
		{"a late answer while the lab was late", "", func(j *Judge) {
			j.Pardon(150, 400)
			j.Answered(380, 1, Failure, 0, -1)
		}},
		{"a closed connection", RuleAnswer, func(j *Judge) { j.Unanswered(100, 1, Unreachable) }},
		{"a closed connection of a killed sidecar", "", func(j *Judge) {
			j.Excuse(0, 99, 101)
			j.Unanswered(100, 1, Unreachable)
		}},
		{"a client that left", "", func(j *Judge) { j.Left(100, 1); j.Finish(1000) }},
		{"no answer by the end", RuleAnswer, func(j *Judge) { j.Finish(1000) }},
		{"a close that crossed the request", "", func(j *Judge) {
			if !j.Crossed(100, 1) {
				panic("a server has not seen it")
			}
		}},
		{"a request that no client sent", RuleUnknown, func(j *Judge) {
			j.Sent(10, 10, 99, 1, 0, 0)
			j.Left(10, 1)
		}},
		{"two attempts within the slack", "", func(j *Judge) {
			j.Sent(10, 10, 1, 1, 0, 0)
			j.Sent(60, 60, 1, 2, 0, 1)
			j.Over(105, 1, 1, "closed")
			j.Left(110, 1)
		}},
		{"two attempts at once", RuleParallel, func(j *Judge) {
			j.Sent(10, 10, 1, 1, 0, 0)
			j.Sent(20, 20, 1, 2, 0, 1)
			j.Over(105, 1, 1, "closed")
			j.Left(110, 1)
		}},
		{"a send within the grace", "", func(j *Judge) {
			j.Told(0, 0, 1, false)
			j.Told(700, 0, 1, false) // told again: the first time counts
			j.Sent(799, 799, 1, 1, 0, 1)
			j.Answered(799, 1, Failure, 0, -1)
		}},
		{"a send past the grace", RuleDrain, func(j *Judge) {
			j.Told(0, 0, 1, false)
			j.Sent(801, 801, 1, 1, 0, 1)
			j.Left(801, 1)
		}},
		{"a send to a server that is back", "", func(j *Judge) {
			j.Told(0, 0, 1, false)
			j.Told(10, 0, 1, true)
			j.Sent(801, 801, 1, 1, 0, 1)
			j.Left(100, 1)
		}},
		{"a crash", RuleCrash, func(j *Judge) { j.Crashed(10, 0, "status 2"); j.Left(10, 1) }},
		{"a cold server pushed over by those who did not know", "", func(j *Judge) {
			j.Fell(10, 0, &Fall{Work: 9, Budget: 8, Informed: 0.5})
			j.Left(10, 1)
		}},
	} {
		j := NewJudge(tinyPlan(t), slack)
		class := 0
		j.Asked(0, 1, 0, class, 200)
		if c.name == "a send within the grace" || strings.HasPrefix(c.name, "a send past") {
			j = NewJudge(tinyPlan(t), slack)
			j.Asked(700, 1, 0, class, 200)
		}
		c.tell(j)
		counts, broken := j.Verdict()
		switch {
		case c.rule == "" && len(broken) > 0:
			t.Errorf("%s: broken %+v", c.name, broken)
		case c.rule != "" && (counts[c.rule] != 1 || len(counts) != 1):
			t.Errorf("%s: broken %v, want %s once", c.name, counts, c.rule)
		}
	}
}

func TestALabThatIsLateJudgesNobody(t *testing.T) {
	for _, c := range []struct {
		lateness float64
		labLate  int
		want     bool
	}{{1, 0, false}, {1, 4, false}, {30, 0, true}, {1, 50, true}} {
		r := Result{Counts: Counts{Requests: 1000, LabLate: c.labLate}, Lateness: c.lateness, BrokenRules: 7}
		r.overload()
		if r.Overloaded != c.want || (r.BrokenRules == 0) != c.want || r.BrokenRules+r.NotCounted != 7 {
			t.Errorf("%+v: %+v", c, r)
		}
	}
}

func TestTheJudgeForgetsWhatIsOver(t *testing.T) {
	j := NewJudge(tinyPlan(t), 50)
	for id := range uint64(100_000) {
		now := float64(id) * 10
		j.Asked(now, id, 0, 0, 200)
		j.Answered(now+5, id, Failure, 0, -1)
	}
	if n := len(j.stories); n > 1000 {
		t.Errorf("%d stories are kept", n)
	}
}

// ends are the times at which a server's jobs end.
func ends(s *Server, until float64) map[int64]Ended {
	out := map[int64]Ended{}
	s.Advance(until, func(e Ended) { out[e.Attempt] = e })
	return out
}

func TestServerModel(t *testing.T) {
	p := tinyPlan(t)
	p.Servers[0].Speed, p.Servers[0].ColdMS = 2, 10000
	job := func(n int64, work float64) Job { return Job{Attempt: n, Request: uint64(n), Work: work} }

	s := NewServer(p, 0, NewStores())
	for n := int64(1); n <= 6; n++ { // two cores, three places to wait
		if taken, _ := s.Offer(0, job(n, 20)); taken != (n <= 5) {
			t.Errorf("request %d taken: %v", n, taken)
		}
	}
	got := ends(s, 1000)
	for n, want := range map[int64]float64{1: 10, 2: 10, 3: 20, 4: 20, 5: 30} {
		if got[n].At != want {
			t.Errorf("request %d ends at %v, want %v", n, got[n].At, want)
		}
	}

	s = NewServer(p, 0, NewStores())
	warm := func(n int64, now float64, key uint64) float64 {
		s.Offer(now, Job{Attempt: n, Request: uint64(n), Work: 20, Key: key})
		return ends(s, now+50)[n].At - now
	}
	if a, b, c := warm(1, 0, 7), warm(2, 100, 7), warm(3, 2000, 7); a != 10 || b != 5 || c != 10 {
		t.Errorf("a key takes %v, warm %v, forgotten %v ms", a, b, c)
	}

	s = NewServer(p, 0, NewStores())
	s.Start(0, true)
	s.Offer(0, job(1, 20))
	if at := ends(s, 1000)[1].At; at != 40 {
		t.Errorf("cold work ends at %v, want a quarter of the speed: 40", at)
	}
	var fall *Fall
	for n := int64(2); n < 1000 && fall == nil; n++ {
		j := job(n, 20)
		j.Informed = true
		_, fall = s.Offer(1000, j)
	}
	if fall == nil || !s.Fallen() || fall.Informed < 0.9 {
		t.Errorf("a flood does not push a cold server over: %+v", fall)
	}

	s = NewServer(p, 0, NewStores())
	for n := int64(1); n <= 5; n++ {
		s.Offer(0, job(n, 1000))
	}
	s.Advance(150, func(Ended) {})
	if !s.Choked(150) {
		t.Error("three that wait for two cores for 150 ms do not choke it")
	}
	if ends(s, 1e6); s.Choked(1e6) {
		t.Error("it is still choked long after all work is done")
	}

	stores := NewStores()
	one, two := NewServer(p, 0, stores), NewServer(p, 1, stores)
	pay := Job{Attempt: 1, Request: 1, Class: 1, Effect: 42, Work: 10}
	one.Offer(0, pay)
	pay.Attempt = 2
	two.Offer(100, pay)
	if a, b := ends(one, 50)[1], ends(two, 200)[2]; !a.Effect || b.Effect {
		t.Errorf("effects %v and %v, want one: both servers share the memory", a.Effect, b.Effect)
	}
	pay.Attempt = 3
	two.Offer(1500, pay)
	if !ends(two, 2000)[3].Effect {
		t.Error("past its window the effect is still remembered")
	}
}
