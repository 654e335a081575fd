package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"

	"milldeck/balance"
)

// Rule names what a sidecar may never do.
type Rule string

// The rules. The first four are those of the wire; the others say what makes a run void.
const (
	RuleAnswer   Rule = "answer"   // each request taken gets one final answer in time
	RuleTwice    Rule = "twice"    // no effect is done twice
	RuleParallel Rule = "parallel" // no two attempts of a request are out at once
	RuleDrain    Rule = "drain"    // nothing new to a draining or gone server past the grace
	RuleCold     Rule = "cold"     // no cold server is pushed over by those who know that it is cold
	RuleForeign  Rule = "foreign"  // an answer belongs to its request and was made by a server
	RuleUnknown  Rule = "unknown"  // no request that no client sent
	RuleCrash    Rule = "crash"    // a sidecar ends only when it is told to

	// The rules of the control plane; see ControlJudge.
	RuleBudget   Rule = "budget"   // nothing is taken out where as much is out as may be
	RuleHours    Rule = "hours"    // no tenant is kept off a server outside its hours
	RuleOnce     Rule = "once"     // nothing is done twice
	RuleStranded Rule = "stranded" // at the end all are back, on the version that they should have
	RuleSpread   Rule = "spread"   // no more cold work than its budget
)

// Rules lists them in the order of reports.
var Rules = append(slices.Clone(wireRules), ControlRules...)

var wireRules = []Rule{RuleAnswer, RuleTwice, RuleParallel, RuleDrain, RuleCold, RuleForeign, RuleUnknown, RuleCrash}

// ControlRules lists those of the control plane.
var ControlRules = []Rule{RuleBudget, RuleHours, RuleOnce, RuleStranded, RuleSpread}

// Judged lists those that an experiment is judged by.
func (f *File) Judged() []Rule {
	if f.Controlled() {
		return Rules
	}
	return wireRules
}

// Broken is a broken rule with the whole story of its request.
type Broken struct {
	Rule    Rule     `json:"rule"`
	AtMS    float64  `json:"at_ms"`
	Request uint64   `json:"request,omitempty"`
	What    string   `json:"what"`
	Story   []string `json:"story,omitempty"`
}

const (
	keptStories = 20  // broken rules of each kind that keep their story; the others are counted
	storyLines  = 100 // of one request
	informedMin = 2. / 3
	// afterlife is how long in ms past its deadline and window a request is remembered: what a server still
	// does with it by then, as after a cut has healed, is its story too.
	afterlife = 5000
)

// Judge decides whether rules were broken, from what clients and servers saw and what sidecars were told; it asks
// no sidecar. Slack is what the clocks and sockets in between may add, in ms. It may be called concurrently.
type Judge struct {
	plan  *Plan
	slack float64

	mu      sync.Mutex
	stories map[uint64]*story
	order   []uint64 // by the time at which they were asked
	told    map[pair]notice
	excused map[int][]span
	counts  map[Rule]int
	broken  []Broken
}

type pair struct{ sidecar, server int }

// notice is when a sidecar first heard that a server is not ready.
type notice struct{ since float64 }

type span struct{ from, to float64 }

type story struct {
	id       uint64
	sidecar  int
	class    int
	asked    float64
	deadline float64
	forget   float64
	answered bool
	served   map[int]bool // servers that made an answer for it
	effects  int
	sent     int
	out      []out
	lines    []line
}

// out is an attempt that is on an open connection.
type out struct {
	attempt int64
	server  int
	since   float64
}

type line struct {
	at   float64
	what string
	n    int // server, -1: none
}

// NewJudge makes the judge of a run.
func NewJudge(p *Plan, slack float64) *Judge {
	return &Judge{
		plan: p, slack: slack, stories: map[uint64]*story{}, told: map[pair]notice{}, excused: map[int][]span{},
		counts: map[Rule]int{},
	}
}

// Asked: a client has written a request's last byte to its sidecar and waits for timeout.
func (j *Judge) Asked(now float64, id uint64, sidecar, class int, timeout float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sweep(now)
	window := 0.0
	if c := &j.plan.Classes[class]; c.Effect == balance.IdempotentWithKey {
		window = c.WindowMS
	}
	s := &story{
		id: id, sidecar: sidecar, class: class, asked: now, deadline: now + timeout,
		forget: now + timeout + window + afterlife,
	}
	s.tell(now, fmt.Sprintf("client asks sidecar %d, class %s, for %.0f ms", sidecar, j.plan.Classes[class].Name, timeout), -1)
	j.stories[id] = s
	j.order = append(j.order, id)
}

func (s *story) tell(now float64, what string, server int) {
	if len(s.lines) < storyLines {
		s.lines = append(s.lines, line{now, what, server})
	}
}

// sweep forgets what is long over, so that a long run stays small.
func (j *Judge) sweep(now float64) {
	for len(j.order) > 0 {
		s := j.stories[j.order[0]]
		if s != nil && now < s.forget {
			return
		}
		delete(j.stories, j.order[0])
		j.order = j.order[1:]
	}
}

// Answered: the last byte of an answer has come. Of a served one, owner is the request for which it says that it
// was made and server who says so.
func (j *Judge) Answered(now float64, id uint64, what Answer, owner uint64, server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil {
		return
	}
	s.tell(now, "client gets "+answerNames[what], -1)
	if s.answered {
		j.breaks(now, RuleAnswer, s, "a second final answer")
		return
	}
	s.answered = true
	if what == Got && (owner != id || !s.served[server]) {
		j.breaks(now, RuleForeign, s, fmt.Sprintf("an answer that server %d made for request %x", server, owner))
	}
	if late := now - s.deadline; late > j.allowed() && !j.isExcused(s.sidecar, s.asked, now) {
		j.breaks(now, RuleAnswer, s, fmt.Sprintf("answered %.0f ms after its deadline", late))
	}
}

// Spoilt: what the client got is no whole answer, and it could tell.
func (j *Judge) Spoilt(now float64, id uint64) { j.Answered(now, id, Failure, 0, -1) }

var answerNames = map[Answer]string{
	Got: "an answer", Refusal: "a refusal", Failure: "a failure", NoAnswer: "nothing", Unreachable: "a closed connection",
}

// allowed is how long past its deadline a final answer counts.
func (j *Judge) allowed() float64 { return j.plan.File.Rules.AnswerSlackMS + j.slack }

// Unanswered: the client's connection ended, or it has waited long past its deadline, with no answer. The
// request had been taken.
func (j *Judge) Unanswered(now float64, id uint64, how Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil || s.answered {
		return
	}
	s.tell(now, "client gets "+answerNames[how], -1)
	s.answered = true
	if !j.isExcused(s.sidecar, s.asked, now) {
		j.breaks(now, RuleAnswer, s, "lost: the client got "+answerNames[how])
	}
}

// Left: the client has gone away; nothing is owed to it any more.
func (j *Judge) Left(now float64, id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil || s.answered {
		return
	}
	s.answered = true
	s.tell(now, "client goes away", -1)
	if now > s.deadline+j.allowed() && !j.isExcused(s.sidecar, s.asked, now) {
		j.breaks(now, RuleAnswer, s, "lost: the client went away long after its deadline")
	}
}

// Crossed: a kept connection ended with not a byte of an answer. It reports whether the close may have crossed the
// request, so that the client sends it once more; a request that a server has seen was taken.
func (j *Judge) Crossed(now float64, id uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil || s.answered {
		return true
	}
	s.tell(now, "the client's connection ends", -1)
	if s.sent == 0 {
		s.answered = true
		return true
	}
	return false
}

// Excuse: for what a sidecar owed within this time it cannot be blamed, as it was killed, frozen or cut off.
func (j *Judge) Excuse(sidecar int, from, to float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.excused[sidecar] = append(j.excused[sidecar], span{from, to})
}

// everybody stands for all sidecars among the excused.
const everybody = -1

// mostSpans bounds the excuses kept of each: a run that needs more is no test of the sidecar.
const mostSpans = 1000

// Pardon: within this time the lab's own machine was late, so no sidecar can be blamed.
func (j *Judge) Pardon(from, to float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.excused[everybody]
	if n := len(all); n > 0 && from <= all[n-1].to || n >= mostSpans {
		all[n-1].to = max(all[n-1].to, to)
		return
	}
	j.excused[everybody] = append(all, span{from, to})
}

func (j *Judge) isExcused(sidecar int, from, to float64) bool {
	within := func(s span) bool { return s.from <= to && from <= s.to }
	return slices.ContainsFunc(j.excused[sidecar], within) || slices.ContainsFunc(j.excused[everybody], within)
}

// Sent: a server has got an attempt whose first byte left its sidecar at first.
func (j *Judge) Sent(now, first float64, id uint64, attempt int64, sidecar, server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil {
		j.breaks(now, RuleUnknown, nil, fmt.Sprintf("server %d gets request %x from sidecar %d, which no client asked", server, id, sidecar))
		return
	}
	s.tell(first, "attempt sent to", server)
	s.sent++
	if at, is := j.told[pair{sidecar, server}]; is && first > at.since+j.plan.File.Rules.DrainGraceMS+j.slack && !j.isExcused(sidecar, at.since, first) {
		j.breaks(now, RuleDrain, s, fmt.Sprintf("sent to server %d %.0f ms after sidecar %d was told that it is not ready", server, first-at.since, sidecar))
	}
	s.out = append(s.out, out{attempt, server, first})
}

// Over: the attempt is no longer out: answered, or its connection has ended.
func (j *Judge) Over(now float64, id uint64, attempt int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil {
		return
	}
	i := slices.IndexFunc(s.out, func(o out) bool { return o.attempt == attempt })
	if i < 0 {
		return
	}
	o := s.out[i]
	s.out = slices.Delete(s.out, i, i+1)
	s.tell(now, "attempt ends ("+how+") at", o.server)
	for _, other := range s.out {
		if both := now - math.Max(o.since, other.since); both > j.slack && !j.isExcused(s.sidecar, o.since, now) {
			j.breaks(now, RuleParallel, s, fmt.Sprintf("attempts at servers %d and %d were out together for %.0f ms", o.server, other.server, both))
			return
		}
	}
}

// Ran: a server has done a request's work; effect tells that this was no repeat that it knew.
func (j *Judge) Ran(now float64, id uint64, server int, effect bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil {
		return
	}
	s.tell(now, "runs at", server)
	if effect && j.plan.Classes[s.class].Effect != balance.Idempotent {
		if s.effects++; s.effects > 1 {
			j.breaks(now, RuleTwice, s, fmt.Sprintf("its effect is done again at server %d", server))
		}
	}
}

// Made: a server has made an answer for the request.
func (j *Judge) Made(now float64, id uint64, server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.stories[id]; s != nil {
		if s.served == nil {
			s.served = map[int]bool{}
		}
		s.served[server] = true
		s.tell(now, "answered by", server)
	}
}

// Told: a sidecar has been told whether a server is ready.
func (j *Judge) Told(now float64, sidecar, server int, ready bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	at := pair{sidecar, server}
	if _, known := j.told[at]; ready {
		delete(j.told, at)
	} else if !known {
		j.told[at] = notice{now}
	}
}

// Forget: a sidecar has started anew and knows only what it is told from now on.
func (j *Judge) Forget(sidecar int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for at := range j.told {
		if at.sidecar == sidecar {
			delete(j.told, at)
		}
	}
}

// Fell: a cold server was pushed over.
func (j *Judge) Fell(now float64, server int, f *Fall) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f.Informed >= informedMin {
		j.breaks(now, RuleCold, nil, fmt.Sprintf("server %d was sent %.0f ms of work within %.0f ms and could bear %.0f; %.0f%% came from sidecars that knew that it is cold",
			server, f.Work, j.plan.File.Rules.FallMS, f.Budget, 100*f.Informed))
	}
}

// Crashed: a sidecar has ended by itself.
func (j *Judge) Crashed(now float64, sidecar int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks(now, RuleCrash, nil, fmt.Sprintf("sidecar %d ended: %s", sidecar, how))
}

func (j *Judge) breaks(now float64, rule Rule, s *story, what string) {
	j.counts[rule]++
	if j.counts[rule] > keptStories {
		return
	}
	b := Broken{Rule: rule, AtMS: round(now), What: what}
	if s != nil {
		b.Request, b.Story = s.id, s.write()
	}
	j.broken = append(j.broken, b)
}

func (s *story) write() []string {
	sorted := slices.Clone(s.lines)
	slices.SortStableFunc(sorted, func(a, b line) int { return int(math.Copysign(1, a.at-b.at)) * btoi(a.at != b.at) })
	var out []string
	for _, l := range sorted {
		var b strings.Builder
		fmt.Fprintf(&b, "%.1f ms: %s", l.at, l.what)
		if l.n >= 0 {
			fmt.Fprintf(&b, " server %d", l.n)
		}
		out = append(out, b.String())
	}
	return out
}

// Finish ends the run: what is still owed and past its time is lost, and what is out together stays so.
func (j *Judge) Finish(now float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range j.order {
		s := j.stories[id]
		if s == nil {
			continue
		}
		if !s.answered && now > s.deadline+j.allowed() && !j.isExcused(s.sidecar, s.asked, now) {
			j.breaks(now, RuleAnswer, s, "lost: no answer by the end of the run")
		}
		if len(s.out) > 1 && now-s.out[1].since > j.slack {
			j.breaks(now, RuleParallel, s, fmt.Sprintf("attempts at servers %d and %d are out together", s.out[0].server, s.out[1].server))
		}
	}
}

// Verdict is how often each rule was broken, with the stories that were kept.
func (j *Judge) Verdict() (map[Rule]int, []Broken) {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := map[Rule]int{}
	for r, n := range j.counts {
		counts[r] = n
	}
	return counts, slices.Clone(j.broken)
}

// round keeps figures of reports to a microsecond.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
