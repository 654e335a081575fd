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
	RuleSingleResponse   Rule = "answer"   // each request taken gets one final answer in time
	RuleDuplicateEffect  Rule = "twice"    // no effect is done twice
	RuleParallelAttempts Rule = "parallel" // no two attempts of a request are out at once
	RuleDraining         Rule = "drain"    // nothing new to a draining or gone server past the grace
	RuleSlowStart        Rule = "cold"     // no cold server is pushed over by those who know that it is cold
	RuleForeignResponse  Rule = "foreign"  // an answer belongs to its request and was made by a server
	RuleUnknownRequest   Rule = "unknown"  // no request that no client sent
	RuleSidecarCrash     Rule = "crash"    // a sidecar ends only when it is told to

	// The rules of the control plane; see ControlPlaneChecker.
	RuleDisruptionBudget Rule = "budget"   // nothing is taken out where as much is out as may be
	RuleMaintenanceHours Rule = "hours"    // no tenant is kept off a server outside its hours
	RuleDuplicateAction  Rule = "once"     // nothing is done twice
	RuleFinalState       Rule = "stranded" // at the end all are back, on the version that they should have
	RuleHotKeyCost       Rule = "spread"   // no more cold work than its budget
)

// Rules lists them in the order of reports.
var Rules = append(slices.Clone(sidecarRules), ControlPlaneRules...)

var sidecarRules = []Rule{RuleSingleResponse, RuleDuplicateEffect, RuleParallelAttempts, RuleDraining, RuleSlowStart, RuleForeignResponse, RuleUnknownRequest, RuleSidecarCrash}

// ControlPlaneRules lists those of the control plane.
var ControlPlaneRules = []Rule{RuleDisruptionBudget, RuleMaintenanceHours, RuleDuplicateAction, RuleFinalState, RuleHotKeyCost}

// ApplicableRules lists those that an experiment is judged by.
func (f *Experiment) ApplicableRules() []Rule {
	if f.HasControlPlane() {
		return Rules
	}
	return sidecarRules
}

// Violation is a broken rule with the whole story of its request.
type Violation struct {
	Rule    Rule     `json:"rule"`
	AtMS    float64  `json:"at_ms"`
	Request uint64   `json:"request,omitempty"`
	Detail  string   `json:"what"`
	History []string `json:"story,omitempty"`
}

const (
	maxHistoriesPerRule = 20  // broken rules of each kind that keep their story; the others are counted
	maxHistoryEvents    = 100 // of one request
	minInformedShare    = 2. / 3
	// historyRetentionMS is how long in ms past its deadline and window a request is remembered: what a server still
	// does with it by then, as after a cut has healed, is its story too.
	historyRetentionMS = 5000
)

// Checker decides whether rules were broken, from what clients and servers saw and what sidecars were told; it asks
// no sidecar. Slack is what the clocks and sockets in between may add, in ms. It may be called concurrently.
type Checker struct {
	plan    *Plan
	slackMS float64

	mu              sync.Mutex
	histories       map[uint64]*requestHistory
	historyOrder    []uint64 // by the time at which they were asked
	notReadySince   map[sidecarServer]notReadyNotice
	excuses         map[int][]interval
	violationCounts map[Rule]int
	violations      []Violation
}

type sidecarServer struct{ sidecar, server int }

// notReadyNotice is when a sidecar first heard that a server is not ready.
type notReadyNotice struct{ since float64 }

type interval struct{ from, to float64 }

type requestHistory struct {
	id           uint64
	sidecar      int
	class        int
	sentAt       float64
	deadline     float64
	expiresAt    float64
	answered     bool
	respondedBy  map[int]bool // servers that made an answer for it
	effectCount  int
	attemptCount int
	openAttempts []openAttempt
	events       []historyEvent
}

// openAttempt is an attempt that is on an open connection.
type openAttempt struct {
	attempt   int64
	server    int
	startedAt float64
}

type historyEvent struct {
	at     float64
	text   string
	server int // server, -1: none
}

// NewChecker makes the judge of a run.
func NewChecker(p *Plan, slack float64) *Checker {
	return &Checker{
		plan: p, slackMS: slack, histories: map[uint64]*requestHistory{}, notReadySince: map[sidecarServer]notReadyNotice{}, excuses: map[int][]interval{},
		violationCounts: map[Rule]int{},
	}
}

// RequestSent: a client has written a request's last byte to its sidecar and waits for timeout.
func (j *Checker) RequestSent(now float64, id uint64, sidecar, class int, timeout float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.expireHistories(now)
	window := 0.0
	if classPlan := &j.plan.Classes[class]; classPlan.Idempotency == balance.IdempotentWithKey {
		window = classPlan.IdempotencyWindowMS
	}
	history := &requestHistory{
		id: id, sidecar: sidecar, class: class, sentAt: now, deadline: now + timeout,
		expiresAt: now + timeout + window + historyRetentionMS,
	}
	history.record(now, fmt.Sprintf("client asks sidecar %d, class %s, for %.0f ms", sidecar, j.plan.Classes[class].Name, timeout), -1)
	j.histories[id] = history
	j.historyOrder = append(j.historyOrder, id)
}

func (s *requestHistory) record(now float64, what string, server int) {
	if len(s.events) < maxHistoryEvents {
		s.events = append(s.events, historyEvent{now, what, server})
	}
}

// expireHistories forgets what is long over, so that a long run stays small.
func (j *Checker) expireHistories(now float64) {
	for len(j.historyOrder) > 0 {
		history := j.histories[j.historyOrder[0]]
		if history != nil && now < history.expiresAt {
			return
		}
		delete(j.histories, j.historyOrder[0])
		j.historyOrder = j.historyOrder[1:]
	}
}

// ResponseReceived: the last byte of an answer has come. Of a served one, owner is the request for which it says that it
// was made and server who says so.
func (j *Checker) ResponseReceived(now float64, id uint64, outcome Outcome, owner uint64, server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.histories[id]
	if history == nil {
		return
	}
	history.record(now, "client gets "+outcomeNames[outcome], -1)
	if history.answered {
		j.report(now, RuleSingleResponse, history, "a second final answer")
		return
	}
	history.answered = true
	if outcome == OutcomeServed && (owner != id || !history.respondedBy[server]) {
		j.report(now, RuleForeignResponse, history, fmt.Sprintf("an answer that server %d made for request %x", server, owner))
	}
	if late := now - history.deadline; late > j.responseSlackMS() && !j.isExcused(history.sidecar, history.sentAt, now) {
		j.report(now, RuleSingleResponse, history, fmt.Sprintf("answered %.0f ms after its deadline", late))
	}
}

// CorruptResponseReceived: what the client got is no whole answer, and it could tell.
func (j *Checker) CorruptResponseReceived(now float64, id uint64) {
	j.ResponseReceived(now, id, OutcomeFailed, 0, -1)
}

var outcomeNames = map[Outcome]string{
	OutcomeServed: "an answer", OutcomeRejected: "a refusal", OutcomeFailed: "a failure", OutcomeNoResponse: "nothing", OutcomeUnreachable: "a closed connection",
}

// responseSlackMS is how long past its deadline a final answer counts.
func (j *Checker) responseSlackMS() float64 { return j.plan.Experiment.Rules.AnswerSlackMS + j.slackMS }

// RequestUnanswered: the client's connection ended, or it has waited long past its deadline, with no answer. The
// request had been taken.
func (j *Checker) RequestUnanswered(now float64, id uint64, outcome Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.histories[id]
	if history == nil || history.answered {
		return
	}
	history.record(now, "client gets "+outcomeNames[outcome], -1)
	history.answered = true
	if !j.isExcused(history.sidecar, history.sentAt, now) {
		j.report(now, RuleSingleResponse, history, "lost: the client got "+outcomeNames[outcome])
	}
}

// ClientDisconnected: the client has gone away; nothing is owed to it any more.
func (j *Checker) ClientDisconnected(now float64, id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.histories[id]
	if history == nil || history.answered {
		return
	}
	history.answered = true
	history.record(now, "client goes away", -1)
	if now > history.deadline+j.responseSlackMS() && !j.isExcused(history.sidecar, history.sentAt, now) {
		j.report(now, RuleSingleResponse, history, "lost: the client went away long after its deadline")
	}
}

// ConnectionClosed: a kept connection ended with not a byte of an answer. It reports whether the close may have crossed the
// request, so that the client sends it once more; a request that a server has seen was taken.
func (j *Checker) ConnectionClosed(now float64, id uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.histories[id]
	if history == nil || history.answered {
		return true
	}
	history.record(now, "the client's connection ends", -1)
	if history.attemptCount == 0 {
		history.answered = true
		return true
	}
	return false
}

// ExcuseSidecar: for what a sidecar owed within this time it cannot be blamed, as it was killed, frozen or cut off.
func (j *Checker) ExcuseSidecar(sidecar int, from, to float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.excuses[sidecar] = append(j.excuses[sidecar], interval{from, to})
}

// allSidecars stands for all sidecars among the excused.
const allSidecars = -1

// maxExcuses bounds the excuses kept of each: a run that needs more is no test of the sidecar.
const maxExcuses = 1000

// ExcuseAll: within this time the lab's own machine was late, so no sidecar can be blamed.
func (j *Checker) ExcuseAll(from, to float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := j.excuses[allSidecars]
	if n := len(all); n > 0 && from <= all[n-1].to || n >= maxExcuses {
		all[n-1].to = max(all[n-1].to, to)
		return
	}
	j.excuses[allSidecars] = append(all, interval{from, to})
}

func (j *Checker) isExcused(sidecar int, from, to float64) bool {
	within := func(s interval) bool { return s.from <= to && from <= s.to }
	return slices.ContainsFunc(j.excuses[sidecar], within) || slices.ContainsFunc(j.excuses[allSidecars], within)
}

// AttemptReceived: a server has got an attempt whose first byte left its sidecar at first.
func (j *Checker) AttemptReceived(now, sentAt float64, id uint64, attempt int64, sidecar, server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.histories[id]
	if history == nil {
		j.report(now, RuleUnknownRequest, nil, fmt.Sprintf("server %d gets request %x from sidecar %d, which no client asked", server, id, sidecar))
		return
	}
	history.record(sentAt, "attempt sent to", server)
	history.attemptCount++
	if notice, ok := j.notReadySince[sidecarServer{sidecar, server}]; ok && sentAt > notice.since+j.plan.Experiment.Rules.DrainGraceMS+j.slackMS && !j.isExcused(sidecar, notice.since, sentAt) {
		j.report(now, RuleDraining, history, fmt.Sprintf("sent to server %d %.0f ms after sidecar %d was told that it is not ready", server, sentAt-notice.since, sidecar))
	}
	history.openAttempts = append(history.openAttempts, openAttempt{attempt, server, sentAt})
}

// AttemptEnded: the attempt is no longer out: answered, or its connection has ended.
func (j *Checker) AttemptEnded(now float64, id uint64, attempt int64, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.histories[id]
	if history == nil {
		return
	}
	i := slices.IndexFunc(history.openAttempts, func(ended openAttempt) bool { return ended.attempt == attempt })
	if i < 0 {
		return
	}
	ended := history.openAttempts[i]
	history.openAttempts = slices.Delete(history.openAttempts, i, i+1)
	history.record(now, "attempt ends ("+reason+") at", ended.server)
	for _, other := range history.openAttempts {
		if overlap := now - math.Max(ended.startedAt, other.startedAt); overlap > j.slackMS && !j.isExcused(history.sidecar, ended.startedAt, now) {
			j.report(now, RuleParallelAttempts, history, fmt.Sprintf("attempts at servers %d and %d were out together for %.0f ms", ended.server, other.server, overlap))
			return
		}
	}
}

// RequestExecuted: a server has done a request's work; effect tells that this was no repeat that it knew.
func (j *Checker) RequestExecuted(now float64, id uint64, server int, effect bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	history := j.histories[id]
	if history == nil {
		return
	}
	history.record(now, "runs at", server)
	if effect && j.plan.Classes[history.class].Idempotency != balance.Idempotent {
		if history.effectCount++; history.effectCount > 1 {
			j.report(now, RuleDuplicateEffect, history, fmt.Sprintf("its effect is done again at server %d", server))
		}
	}
}

// ResponseProduced: a server has made an answer for the request.
func (j *Checker) ResponseProduced(now float64, id uint64, server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if history := j.histories[id]; history != nil {
		if history.respondedBy == nil {
			history.respondedBy = map[int]bool{}
		}
		history.respondedBy[server] = true
		history.record(now, "answered by", server)
	}
}

// EndpointNotified: a sidecar has been told whether a server is ready.
func (j *Checker) EndpointNotified(now float64, sidecar, server int, ready bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	key := sidecarServer{sidecar, server}
	if _, known := j.notReadySince[key]; ready {
		delete(j.notReadySince, key)
	} else if !known {
		j.notReadySince[key] = notReadyNotice{now}
	}
}

// SidecarRestarted: a sidecar has started anew and knows only what it is told from now on.
func (j *Checker) SidecarRestarted(sidecar int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key := range j.notReadySince {
		if key.sidecar == sidecar {
			delete(j.notReadySince, key)
		}
	}
}

// ServerOverloaded: a cold server was pushed over.
func (j *Checker) ServerOverloaded(now float64, server int, overload *SlowStartOverload) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if overload.InformedShare >= minInformedShare {
		j.report(now, RuleSlowStart, nil, fmt.Sprintf("server %d was sent %.0f ms of work within %.0f ms and could bear %.0f; %.0f%% came from sidecars that knew that it is cold",
			server, overload.WorkMS, j.plan.Experiment.Rules.OverloadWindowMS, overload.BudgetMS, 100*overload.InformedShare))
	}
}

// SidecarCrashed: a sidecar has ended by itself.
func (j *Checker) SidecarCrashed(now float64, sidecar int, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report(now, RuleSidecarCrash, nil, fmt.Sprintf("sidecar %d ended: %s", sidecar, reason))
}

func (j *Checker) report(now float64, rule Rule, history *requestHistory, detail string) {
	j.violationCounts[rule]++
	if j.violationCounts[rule] > maxHistoriesPerRule {
		return
	}
	violation := Violation{Rule: rule, AtMS: roundMicros(now), Detail: detail}
	if history != nil {
		violation.Request, violation.History = history.id, history.format()
	}
	j.violations = append(j.violations, violation)
}

func (s *requestHistory) format() []string {
	sorted := slices.Clone(s.events)
	slices.SortStableFunc(sorted, func(a, b historyEvent) int { return int(math.Copysign(1, a.at-b.at)) * boolToInt(a.at != b.at) })
	var out []string
	for _, l := range sorted {
		var b strings.Builder
		fmt.Fprintf(&b, "%.1f ms: %s", l.at, l.text)
		if l.server >= 0 {
			fmt.Fprintf(&b, " server %d", l.server)
		}
		out = append(out, b.String())
	}
	return out
}

// Finish ends the run: what is still owed and past its time is lost, and what is out together stays so.
func (j *Checker) Finish(now float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range j.historyOrder {
		history := j.histories[id]
		if history == nil {
			continue
		}
		if !history.answered && now > history.deadline+j.responseSlackMS() && !j.isExcused(history.sidecar, history.sentAt, now) {
			j.report(now, RuleSingleResponse, history, "lost: no answer by the end of the run")
		}
		if len(history.openAttempts) > 1 && now-history.openAttempts[1].startedAt > j.slackMS {
			j.report(now, RuleParallelAttempts, history, fmt.Sprintf("attempts at servers %d and %d are out together", history.openAttempts[0].server, history.openAttempts[1].server))
		}
	}
}

// Violations is how often each rule was broken, with the stories that were kept.
func (j *Checker) Violations() (map[Rule]int, []Violation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := map[Rule]int{}
	for rule, count := range j.violationCounts {
		counts[rule] = count
	}
	return counts, slices.Clone(j.violations)
}

// roundMicros keeps figures of reports to a microsecond.
func roundMicros(v float64) float64 { return math.Round(v*1000) / 1000 }
