package lab

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
)

const (
	// minInformedShare is the share of a server's work that must come from sidecars notified of its slow start for an
	// overload to be a violation.
	minInformedShare = 2. / 3
	// allSidecars is the key in Checker.excuses of the periods in which all sidecars are excused.
	allSidecars = -1
	// maxExcuses bounds the number of periods in which all sidecars are excused, as a run with more does not test sidecars, and
	// the number of periods in which the supervisor misbehaves.
	maxExcuses = 1000
)

// Checker detects violations of the rules of sidecars. Its input is what clients and servers observe and the endpoint changes
// that sidecars are notified of; it never queries a sidecar. Times are ms since the start of the run. It may be used
// concurrently.
type Checker struct {
	plan    *Plan
	slackMS float64

	mu              sync.Mutex
	histories       map[uint64]*requestHistory
	historyOrder    []uint64                  // requests by the time at which they were sent
	notReadySince   map[sidecarServer]float64 // when a sidecar was notified that a server is not ready
	excuses         map[int][]interval        // by sidecar
	violationCounts map[Rule]int
	violations      []Violation
}

type sidecarServer struct{ sidecar, server int }

type interval struct{ from, to float64 }

// NewChecker returns the checker of a run. The slack in ms covers differences between the observers' clocks and delays of
// sockets.
func NewChecker(p *Plan, slack float64) *Checker {
	return &Checker{
		plan: p, slackMS: slack, histories: map[uint64]*requestHistory{}, notReadySince: map[sidecarServer]float64{},
		excuses: map[int][]interval{}, violationCounts: map[Rule]int{},
	}
}

// expireHistories drops the histories of requests that ended long ago, which bounds the memory of long runs.
func (c *Checker) expireHistories(now float64) {
	for len(c.historyOrder) > 0 {
		history := c.histories[c.historyOrder[0]]
		if history != nil && now < history.expiresAt {
			return
		}
		delete(c.histories, c.historyOrder[0])
		c.historyOrder = c.historyOrder[1:]
	}
}

// ExcuseSidecar excuses a sidecar within a period in which it is killed, frozen or partitioned. Late and lost responses,
// parallel attempts and attempts at draining servers are then no violations.
func (c *Checker) ExcuseSidecar(sidecar int, from, to float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excuses[sidecar] = append(c.excuses[sidecar], interval{from, to})
}

// ExcuseAll excuses all sidecars within a period in which the machine that runs the experiment was late.
func (c *Checker) ExcuseAll(from, to float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.excuses[allSidecars]
	if n := len(all); n > 0 && from <= all[n-1].to || n >= maxExcuses {
		all[n-1].to = max(all[n-1].to, to)
		return
	}
	c.excuses[allSidecars] = append(all, interval{from, to})
}

// isExcused reports whether a sidecar is excused at any time within a period.
func (c *Checker) isExcused(sidecar int, from, to float64) bool {
	overlaps := func(excuse interval) bool { return excuse.from <= to && from <= excuse.to }
	return slices.ContainsFunc(c.excuses[sidecar], overlaps) || slices.ContainsFunc(c.excuses[allSidecars], overlaps)
}

// EndpointNotified records that a sidecar was notified of the readiness of a server.
func (c *Checker) EndpointNotified(now float64, sidecar, server int, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := sidecarServer{sidecar, server}
	if _, known := c.notReadySince[key]; ready {
		delete(c.notReadySince, key)
	} else if !known {
		c.notReadySince[key] = now
	}
}

// SidecarRestarted records that a sidecar was restarted and lost the readiness of servers that it had been notified of.
func (c *Checker) SidecarRestarted(sidecar int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.notReadySince {
		if key.sidecar == sidecar {
			delete(c.notReadySince, key)
		}
	}
}

// SidecarCrashed records that a sidecar exited without a request to terminate.
func (c *Checker) SidecarCrashed(now float64, sidecar int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(now, RuleSidecarCrash, nil, fmt.Sprintf("sidecar %d ended: %s", sidecar, reason))
}

// ServerOverloaded records that a warming-up server was overloaded.
func (c *Checker) ServerOverloaded(now float64, server int, overload *SlowStartOverload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if overload.InformedShare < minInformedShare {
		return
	}
	c.report(now, RuleSlowStart, nil, fmt.Sprintf(
		"server %d was sent %.0f ms of work within %.0f ms and could bear %.0f; %.0f%% came from sidecars that knew that it is cold",
		server, overload.WorkMS, c.plan.Experiment.Rules.OverloadWindowMS, overload.BudgetMS, 100*overload.InformedShare))
}

// report records a violation. The history may be nil.
func (c *Checker) report(now float64, rule Rule, history *requestHistory, detail string) {
	c.violationCounts[rule]++
	if c.violationCounts[rule] > maxHistoriesPerRule {
		return
	}
	violation := Violation{Rule: rule, AtMS: roundMicros(now), Detail: detail}
	if history != nil {
		violation.Request, violation.History = history.id, history.format()
	}
	c.violations = append(c.violations, violation)
}

// Finish ends the run. It reports requests without a response whose deadline has passed, and attempts of one request that
// are still open in parallel.
func (c *Checker) Finish(now float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.historyOrder {
		history := c.histories[id]
		if history == nil {
			continue
		}
		if !history.answered && c.isOverdue(history, now) {
			c.report(now, RuleSingleResponse, history, "lost: no answer by the end of the run")
		}
		open := history.openAttempts
		if len(open) > 1 && now-open[1].startedAt > c.slackMS {
			c.report(now, RuleParallelAttempts, history,
				fmt.Sprintf("attempts at servers %d and %d are out together", open[0].server, open[1].server))
		}
	}
}

// Violations returns how often each rule was violated, and the retained violations.
func (c *Checker) Violations() (map[Rule]int, []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.violationCounts), slices.Clone(c.violations)
}

// roundMicros rounds ms to a microsecond, the resolution of reports.
func roundMicros(ms float64) float64 { return math.Round(ms*1000) / 1000 }
